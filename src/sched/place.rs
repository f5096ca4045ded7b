//! Placement: selects the machine on which a task starts. Machines that pass the
//! time-balance check come first, by best fit; then machines that stay in use long
//! enough anyway, so that the task costs nothing more; then renting; then, when nothing
//! is ready or rentable, any machine with enough free resources.
//!
//! A pass serves all pending jobs: it gathers the machines with free resources once and
//! scores each of them once for each job. `choose` makes the same decision for a single
//! task from scratch. It serves jobs whose tasks affect each other's zones, and debug
//! builds check the pass against it.

use super::Resources;
use super::Scheduler;
use super::allowed_zones::AllowedZones;
use super::attempt_places::AttemptPlace;
use super::estimate;
use super::fleet::Shortage;
use super::headroom::FreeCapacity;
use super::job::{ActiveAttempt, Job, Phase};
use super::machine::{Allocation, ENDLESS, Machine};
use super::order::{Order, Turn};
use super::records::Purpose;
use crate::ids::{Attempt, Host, JobId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, JobSpec};
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Machines scored for jobs in one pass, some tens of milliseconds of work.
const MAX_SCORED_PER_PASS: u64 = 40_000;
/// How often the scheduler looks for tasks to preempt.
const PREEMPTION_INTERVAL: Span = Span(200_000);
/// A machine whose last heartbeat is older than this many heartbeat intervals, plus a
/// margin, takes no new tasks.
const MAX_HEARTBEAT_AGE_INTERVALS: f64 = 1.25;
/// The margin, in seconds.
const HEARTBEAT_AGE_MARGIN_S: f64 = 2.0;

/// The result of a pass over some turns.
#[derive(Default)]
struct Plan {
    /// The tasks to start, each a job and a machine, in this order.
    starts: Vec<(JobId, Host)>,
    /// The jobs that lack resources, and for how many tasks.
    shortages: Vec<Shortage>,
    /// The number of turns that were served.
    served: usize,
}

/// A machine with free resources, as it will be once the planned tasks have started.
pub(super) struct Candidate<'a> {
    pub machine: &'a Machine,
    pub free: Resources,
    /// The smallest and the largest remaining runtime of its tasks.
    pub remaining: Option<(Span, Span)>,
    /// The machine is reserved for a gang.
    pub reserved: bool,
}

impl Scheduler {
    /// One pass over all waiting jobs, or as many of them as one pass may score: an
    /// unbounded pass takes a second with 600 jobs waiting, in which no request is
    /// answered. The next pass continues where this one stopped, after the urgent jobs.
    pub(super) fn place(&mut self, now: Time) {
        let job_order = self.job_order(now);
        let (turns, turns_ahead) = job_order.turns(self, now);
        let mut shortages = vec![];
        let mut reserved = BTreeSet::new();
        let mut remaining_turns = &turns[..];
        let score_limit = self.machines_evaluated.get() + MAX_SCORED_PER_PASS;
        while !remaining_turns.is_empty() && self.machines_evaluated.get() < score_limit {
            // Jobs that are placed individually split the turns, as each has to start
            // before the next job is looked at.
            let is_individual =
                |turn: &Turn| self.jobs.get(&turn.job).is_some_and(is_placed_individually);
            let batch = remaining_turns
                .iter()
                .position(is_individual)
                .unwrap_or(remaining_turns.len());
            let plan = self.plan(
                now,
                &remaining_turns[..batch],
                &reserved,
                &job_order,
                score_limit,
            );
            for (id, host) in plan.starts {
                self.start(now, &id, &host, None);
            }
            shortages.extend(plan.shortages);
            if plan.served < batch {
                remaining_turns = &remaining_turns[plan.served..];
                break;
            }
            if let Some(turn) = remaining_turns.get(batch) {
                let (shortage, finished) =
                    self.place_individually(now, &turn.job, &mut reserved, &job_order, score_limit);
                shortages.extend(shortage);
                if !finished {
                    remaining_turns = &remaining_turns[batch..];
                    break;
                }
            }
            remaining_turns = remaining_turns.get(batch + 1..).unwrap_or(&[]);
        }
        // Jobs that this pass did not reach keep the shortages of the last one.
        let unreached: BTreeSet<&JobId> = remaining_turns.iter().map(|turn| &turn.job).collect();
        shortages.extend(
            self.fleet
                .shortages
                .drain(..)
                .filter(|s| unreached.contains(&s.job)),
        );
        self.fleet.shortages = shortages;
        // If the jobs ahead take the whole pass, the next pass skips them.
        self.pass_stalled = !remaining_turns.is_empty()
            && turns_ahead > 0
            && remaining_turns.len() + turns_ahead >= turns.len();
        if !self.pass_stalled {
            self.resume_pass_at = remaining_turns.first().map(|turn| turn.job.clone());
        }
        for machine in self.machines.values_mut() {
            let is_reserved = reserved.contains(&machine.host);
            machine.reserved_for_gangs_since =
                is_reserved.then(|| machine.reserved_for_gangs_since.unwrap_or(now));
        }
        if now >= self.next_preemption_at {
            self.next_preemption_at = now + PREEMPTION_INTERVAL;
            self.preempt(now, &job_order);
        }
    }

    /// Places a gang, or a job whose tasks affect each other's zones. The second value
    /// is false if the pass had to stop within the job.
    fn place_individually(
        &mut self,
        now: Time,
        id: &JobId,
        reserved: &mut BTreeSet<Host>,
        order: &Order,
        score_limit: u64,
    ) -> (Option<Shortage>, bool) {
        let is_gang = |job: &Job| job.spec.kind == JobKind::Gang;
        if self.jobs.get(id).is_some_and(is_gang) {
            return (self.place_gang(now, id, reserved, order), true);
        }
        while let Some(job) = self.jobs.get(id) {
            let wanted = (job.pending() as i64).min(
                self.teams
                    .remaining(&job.spec.team)
                    .tasks_that_fit(&job.need),
            );
            if wanted == 0 {
                break;
            }
            if self.machines_evaluated.get() >= score_limit {
                return (None, false);
            }
            // All its tasks have to be in the zone of the first one, and without a
            // spread no task excludes that zone for the next one.
            if job.spec.one_zone && !job.spec.spread && !job.active.is_empty() {
                return self.place_beside_others(now, id, reserved, order, score_limit);
            }
            let Some(host) = self.choose(now, id, reserved, order) else {
                return (Some(Shortage::anywhere(id, wanted)), true);
            };
            self.start(now, id, &host, None);
        }
        (None, true)
    }

    /// Places a job whose zone is determined by its active tasks.
    fn place_beside_others(
        &mut self,
        now: Time,
        id: &JobId,
        reserved: &BTreeSet<Host>,
        order: &Order,
        score_limit: u64,
    ) -> (Option<Shortage>, bool) {
        let turn = Turn {
            job: id.clone(),
            max_tasks: None,
            boosted: false,
        };
        let mut plan = self.plan(now, &[turn], reserved, order, score_limit);
        for (id, host) in plan.starts {
            self.start(now, &id, &host, None);
        }
        (plan.shortages.pop(), plan.served > 0)
    }

    /// Plans the starts of the jobs in this order, as far as free resources and quota
    /// allow.
    fn plan(
        &self,
        now: Time,
        turns: &[Turn],
        reserved: &BTreeSet<Host>,
        order: &Order,
        score_limit: u64,
    ) -> Plan {
        if turns.is_empty() {
            return Plan::default();
        }
        let mut planner = Planner::new(self, now, turns, reserved, order);
        for turn in turns {
            if self.machines_evaluated.get() >= score_limit {
                break;
            }
            planner.serve(turn);
            planner.plan.served += 1;
        }
        planner.plan
    }

    /// Whether `choose` selects this machine, too; checks the pass in debug builds.
    fn matches_choose(
        &self,
        now: Time,
        id: &JobId,
        reserved: &BTreeSet<Host>,
        order: &Order,
        machine: &Machine,
    ) -> bool {
        let scored = self.machines_evaluated.get();
        let chosen = self.choose(now, id, reserved, order);
        self.machines_evaluated.set(scored);
        chosen.as_ref() == Some(&machine.host)
    }

    /// The machine for one task, computed from scratch.
    pub(super) fn choose(
        &self,
        now: Time,
        id: &JobId,
        reserved: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Host> {
        let job = self.jobs.get(id)?;
        let max_age = self.max_heartbeat_age();
        let view = JobView::of(self, now, job, order, self.fleet.can_rent(now));
        let allowed_zones = AllowedZones::of(self, job);
        let free = self.free_above_headroom(now);
        let mut best: Option<(Score, &Machine)> = None;
        for machine in self.machines.values() {
            if !machine.accepts_tasks(now, max_age) {
                continue;
            }
            if !view.may_use(&free, machine.spot, 0) {
                continue;
            }
            if !allowed_zones.contains(&machine.zone) {
                continue;
            }
            let (free, remaining) = (machine.free(), machine.remaining_range(now));
            let is_reserved = reserved.contains(&machine.host);
            let candidate = Candidate {
                machine,
                free,
                remaining: remaining,
                reserved: is_reserved,
            };
            let Some(score) = view.score(&candidate) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(best_score, _)| score < *best_score)
            {
                best = Some((score, machine));
            }
        }
        best.map(|(_, machine)| machine.host.clone())
    }

    /// A machine whose last heartbeat is older takes no new tasks.
    pub(super) fn max_heartbeat_age(&self) -> Span {
        Span::secs(
            self.config.workers.report_s * MAX_HEARTBEAT_AGE_INTERVALS + HEARTBEAT_AGE_MARGIN_S,
        )
    }

    pub(super) fn start(&mut self, now: Time, id: &JobId, host: &Host, attempt: Option<Attempt>) {
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        let wall = self.wall;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.take_pending() else {
            return;
        };
        let expected = estimate::of(job);
        let record_part = job.part_of(task);
        let is_quick = self.fast_start_classes.contains(&job.spec.class);
        self.service_shares.task_started(id, task);
        let purpose = if is_quick {
            Purpose::Now
        } else {
            Purpose::Start
        };
        let machine = self.machines.get(host);
        let place = machine.map(|machine| AttemptPlace {
            zone: machine.zone.clone(),
            build: machine.build.clone(),
            spot: machine.spot,
        });
        let version = job.mark_changed(record_part, &mut self.write_queue, purpose);
        job.active.insert(
            task,
            ActiveAttempt {
                attempt,
                host: host.clone(),
                place,
                required_version: version,
                phase: Phase::Placed,
                placed: now,
                placed_wall: wall,
                running_since: None,
                inherited: false,
                run_sent_in: None,
                run_sent: false,
                stop: None,
                timed_out: false,
            },
        );
        self.teams.add(&job.spec.team, &job.need);
        let mut holds_image = false;
        if let Some(machine) = self.machines.get_mut(host) {
            holds_image = machine.has_image(&job.spec.image);
            machine.used += job.need;
            let allocation = Allocation {
                need: job.need,
                start: now,
                estimate: expected,
                endless: expected == ENDLESS,
                image: job.spec.image.clone(),
            };
            machine.allocations.insert(task_id(id, task), allocation);
        }
        self.machines_with_unsent_runs.insert(host.clone());
        tracing::debug!(job = %id, class = %job.spec.class, task = %task, %host, holds_image, "placed");
    }
}

/// Serves the turns in their order, and keeps account of what is left for the next.
struct Planner<'a> {
    sched: &'a Scheduler,
    now: Time,
    order: &'a Order,
    reserved: &'a BTreeSet<Host>,
    can_rent: bool,
    /// More is requested than is free: all machines fill up, so that the image decides
    /// first; otherwise that would spoil the best fit.
    crowded: bool,
    candidates: Vec<Candidate<'a>>,
    free_above_headroom: FreeCapacity,
    /// The remaining quota of each team.
    quota: BTreeMap<&'a Team, Resources>,
    /// The number of tasks of each job that were placed in earlier turns.
    placed: BTreeMap<&'a JobId, i64>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(
        sched: &'a Scheduler,
        now: Time,
        turns: &'a [Turn],
        reserved: &'a BTreeSet<Host>,
        order: &'a Order,
    ) -> Planner<'a> {
        let candidates = candidates(sched, now, reserved);
        let mut open_capacity = Resources::default();
        for candidate in candidates.iter().filter(|candidate| !candidate.reserved) {
            open_capacity += candidate.free;
        }
        let mut wanted = Resources::default();
        for turn in turns.iter().filter(|turn| !turn.boosted) {
            if let Some(job) = sched.jobs.get(&turn.job) {
                wanted += job.need.scaled(job.pending() as i64);
            }
        }
        Planner {
            sched,
            now,
            order,
            reserved,
            can_rent: sched.fleet.can_rent(now),
            crowded: !open_capacity.covers(&wanted),
            candidates,
            free_above_headroom: sched.free_above_headroom(now),
            quota: BTreeMap::new(),
            placed: BTreeMap::new(),
            plan: Plan::default(),
        }
    }

    fn serve(&mut self, turn: &'a Turn) {
        let sched = self.sched;
        let Some(job) = sched.jobs.get(&turn.job) else {
            return;
        };
        let team = &job.spec.team;
        let quota = self.quota.entry(team);
        let remaining = *quota.or_insert_with(|| sched.teams.remaining(team));
        let placed_before = self.placed.get(&turn.job).copied().unwrap_or(0);
        let wanted =
            (job.pending() as i64 - placed_before).min(remaining.tasks_that_fit(&job.need));
        let wanted = turn
            .max_tasks
            .map_or(wanted, |max_tasks| wanted.min(max_tasks));
        let placed = self.place_tasks(turn, job, wanted);
        self.quota
            .insert(team, remaining.minus(&job.need.scaled(placed)));
        self.placed.insert(&turn.job, placed_before + placed);
        // A boosted job has another turn, and is reported as short only then.
        if placed < wanted && turn.max_tasks.is_none() {
            let shortage = Shortage::anywhere(&turn.job, wanted - placed);
            self.plan.shortages.push(shortage);
        }
    }

    /// Places up to `wanted` tasks of a job; returns how many were placed.
    fn place_tasks(&mut self, turn: &Turn, job: &Job, wanted: i64) -> i64 {
        let mut view = JobView::of(self.sched, self.now, job, self.order, self.can_rent);
        view.image_first |= self.crowded;
        // Headroom is for quick classes, and for boosted jobs.
        let may_use =
            |free: &FreeCapacity, spot, placed| turn.boosted || view.may_use(free, spot, placed);
        if wanted <= 0 || !may_use(&self.free_above_headroom, true, 0) {
            return 0;
        }
        let mut best_first = self.scores(job, &view);
        let mut placed = 0;
        while placed < wanted && may_use(&self.free_above_headroom, true, placed) {
            let Some(Reverse((_, i))) = best_first.pop() else {
                break;
            };
            if !may_use(
                &self.free_above_headroom,
                self.candidates[i].machine.spot,
                placed,
            ) {
                continue;
            }
            debug_assert!(
                self.matches_choose(turn, self.candidates[i].machine),
                "{}: pass and choose selected different machines",
                turn.job
            );
            self.plan_start(&turn.job, job, view.estimate, i);
            placed += 1;
            if let Some(score) = view.score(&self.candidates[i]) {
                best_first.push(Reverse((score, i)));
            }
        }
        placed
    }

    /// The suitable candidates for a job, the best on top.
    fn scores(&self, job: &Job, view: &JobView) -> BinaryHeap<Reverse<(Score, usize)>> {
        let allowed_zones = AllowedZones::of(self.sched, job);
        let candidates = self.candidates.iter().enumerate();
        let allowed =
            candidates.filter(|(_, candidate)| allowed_zones.contains(&candidate.machine.zone));
        let scores =
            allowed.filter_map(|(i, candidate)| Some(Reverse((view.score(candidate)?, i))));
        scores.collect::<Vec<_>>().into()
    }

    /// Plans the start of a task of the job on this candidate.
    fn plan_start(&mut self, id: &JobId, job: &Job, estimate: Span, i: usize) {
        let candidate = &mut self.candidates[i];
        candidate.free -= job.need;
        candidate.remaining = Some(match candidate.remaining {
            None => (estimate, estimate),
            Some((low, high)) => (low.min(estimate), high.max(estimate)),
        });
        self.free_above_headroom
            .take(&job.need, candidate.machine.spot);
        let host = candidate.machine.host.clone();
        self.plan.starts.push((id.clone(), host));
    }

    /// Whether the choice agrees with `choose`. Only the first start of a pass is
    /// compared, and only where nothing but the fit decides.
    fn matches_choose(&self, turn: &Turn, machine: &Machine) -> bool {
        !self.plan.starts.is_empty()
            || self.crowded
            || turn.max_tasks.is_some()
            || self
                .sched
                .matches_choose(self.now, &turn.job, self.reserved, self.order, machine)
    }
}

/// The machines with free CPUs, except those reserved for a gang.
fn candidates<'a>(
    sched: &'a Scheduler,
    now: Time,
    reserved: &BTreeSet<Host>,
) -> Vec<Candidate<'a>> {
    let max_age = sched.max_heartbeat_age();
    let mut candidates = vec![];
    for machine in sched
        .machines
        .values()
        .filter(|m| m.accepts_tasks(now, max_age))
    {
        let (free, is_reserved) = (machine.free(), reserved.contains(&machine.host));
        if free.cpu <= 0 || is_reserved && !machine.reservation_expired(now) {
            continue;
        }
        candidates.push(Candidate {
            machine,
            free,
            remaining: machine.remaining_range(now),
            reserved: is_reserved,
        });
    }
    candidates
}

pub(super) fn task_id(id: &JobId, ix: TaskIndex) -> TaskId {
    TaskId {
        job: id.clone(),
        index: ix,
    }
}

/// What is the same for all tasks of a job in one pass.
pub(super) struct JobView<'a> {
    now: Time,
    job: &'a Job,
    estimate: Span,
    max_spread: Span,
    is_quick: bool,
    /// It has waited for as long as any rule may delay it.
    waited_too_long: bool,
    /// It has waited that long, and none of its tasks started meanwhile.
    waited_without_start: bool,
    /// A machine that has the image comes before a better fit.
    image_first: bool,
    scored: &'a Cell<u64>,
    can_rent: bool,
    /// Every machine has failed the job: none is avoided.
    failed_all: bool,
    /// A task that runs by then meets the next waiting objective.
    start_by: Option<Time>,
    /// A job that may use spot machines leaves ordinary ones to jobs that may not.
    avoids_ordinary: bool,
    /// A gang waits for whole ordinary machines, and may get them soon.
    gang_is_waiting: bool,
    /// Spot machines for the job can be rented.
    can_rent_spot: bool,
}

impl<'a> JobView<'a> {
    pub(super) fn of(
        sched: &'a Scheduler,
        now: Time,
        job: &'a Job,
        order: &Order,
        can_rent: bool,
    ) -> JobView<'a> {
        let tuning = &sched.config.tuning;
        let estimate = estimate::of(job);
        let is_quick = sched.is_quick(&job.spec.class);
        let avoids_ordinary = job.spec.spot && order.ordinary_machines_wanted;
        JobView {
            now,
            job,
            estimate,
            max_spread: estimate::max_runtime_spread(
                estimate,
                tuning.delta_factor,
                tuning.delta_floor_s,
            ),
            is_quick,
            waited_too_long: job.waited_too_long(now),
            waited_without_start: job.waited_without_start(now),
            image_first: is_quick,
            scored: &sched.machines_evaluated,
            // Jobs that can't wait for a machine to boot don't rent one.
            can_rent: can_rent && !is_quick && !job.waited_too_long(now),
            failed_all: job.error_hosts.len() >= sched.machines.len(),
            start_by: sched.start_by(now, job, order.is_within_guarantee(job.id())),
            avoids_ordinary,
            gang_is_waiting: avoids_ordinary && order.gang_is_waiting,
            can_rent_spot: avoids_ordinary && sched.spot_rentable(now, job),
        }
    }

    /// Whether the job may use capacity of a machine, `spot` or ordinary, as far as
    /// headroom is concerned: headroom is for quick classes, and for a single task of a
    /// job that waited too long without a start. `placed` is the number of its tasks
    /// that this pass has placed.
    fn may_use(&self, free: &FreeCapacity, spot: bool, placed: i64) -> bool {
        self.is_quick
            || self.waited_without_start && placed == 0
            || free.covers_task(&self.job.need, spot)
    }

    /// How well the machine suits; none if it may not be used at all.
    pub(super) fn score(&self, candidate: &Candidate) -> Option<Score> {
        let job = self.job;
        self.scored.set(self.scored.get() + 1);
        if !candidate.free.fits(&job.need) || !may_run_on(&job.spec, candidate.machine) {
            return None;
        }
        if candidate.reserved
            && !(self.waited_too_long && candidate.machine.reservation_expired(self.now))
        {
            return None;
        }
        // A machine on which this job failed is not tried again soon.
        if !(self.failed_all || self.waited_too_long)
            && job.error_hosts.contains(&candidate.machine.host)
        {
            return None;
        }
        let mut fit = fit_class(candidate.remaining, self.estimate, self.max_spread);
        // A machine that services keep in use will not empty for a gang. Others do,
        // unless work for spot machines fills them up again and again.
        let empties = candidate.remaining.is_none_or(|(_, high)| high < ENDLESS);
        if self.gang_is_waiting && !self.waited_too_long && !candidate.machine.spot && empties {
            return None;
        }
        // An empty ordinary machine costs several times what a spot machine does,
        // whether it is used by jobs that need one or stays up until it is returned.
        if self.can_rent_spot && !candidate.machine.spot && candidate.remaining.is_none() {
            fit = LAST_RESORT;
        }
        if fit == LAST_RESORT && self.can_rent {
            return None;
        }
        let image_missing = !candidate.machine.has_image(&job.spec.image);
        // A fetch that takes longer than the objective allows counts more than the fit;
        // otherwise starts are late on machines that fit best.
        let image_late = image_missing
            && self.start_by.is_some_and(|limit| {
                self.now
                    + candidate
                        .machine
                        .fetch_time(self.now, &job.spec.image, job.spec.image_gb)
                    > limit
            });
        Some(Score {
            image_late,
            fit,
            image_missing_first: self.image_first && image_missing,
            ordinary_avoided: self.avoids_ordinary && !candidate.machine.spot,
            strands_accelerators: job.need.gpu == 0 && candidate.machine.capacity.gpu > 0,
            extends_machine_use: candidate
                .remaining
                .is_some_and(|(_, high)| high < self.estimate),
            leftover_share: candidate
                .free
                .minus(&job.need)
                .largest_free_share(&candidate.machine.capacity, &job.need),
            image_missing,
        })
    }
}

pub(super) fn is_placed_individually(job: &Job) -> bool {
    job.spec.kind == JobKind::Gang || job.spec.one_zone || job.spec.spread
}

fn fit_class(remaining: Option<(Span, Span)>, estimate: Span, max_spread: Span) -> u8 {
    match remaining {
        Some((low, high)) if high.max(estimate) - low.min(estimate) <= max_spread => 0,
        // The machine stays in use that long anyway.
        Some((_, high)) if high >= estimate => 1,
        // Rented already and ready: costs as much as renting, but starts sooner.
        None => 2,
        // Only if nothing else has free resources.
        Some(_) => LAST_RESORT,
    }
}

const LAST_RESORT: u8 = 3;
/// Smaller is better; fields are compared in this order.
#[derive(Clone, Debug)]
pub(super) struct Score {
    pub image_late: bool,
    fit: u8,
    image_missing_first: bool,
    ordinary_avoided: bool,
    /// It would use CPUs beside accelerators that it does not need.
    strands_accelerators: bool,
    /// The machine would have to stay in use longer. Of the machines that pass the
    /// spread check, one that stays in use long enough anyway costs nothing more.
    extends_machine_use: bool,
    leftover_share: f64,
    image_missing: bool,
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> Ordering {
        let rank = |score: &Score| {
            (
                score.image_late,
                score.fit,
                score.image_missing_first,
                score.ordinary_avoided,
                score.strands_accelerators,
                score.extends_machine_use,
            )
        };
        let rank = rank(self).cmp(&rank(other));
        let by_leftover = rank.then_with(|| self.leftover_share.total_cmp(&other.leftover_share));
        by_leftover.then_with(|| self.image_missing.cmp(&other.image_missing))
    }
}
impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Score {
    fn eq(&self, other: &Score) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Score {}

/// Whether the constraints of the job allow this machine.
pub(super) fn may_run_on(spec: &JobSpec, machine: &Machine) -> bool {
    spec.builds
        .as_ref()
        .is_none_or(|builds| builds.contains(&machine.build))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
