//! Placement: selects the machine on which a task starts. Machines that pass the
//! time-balance check come first, by best fit; then machines that stay in use long
//! enough anyway, so that the task costs nothing more; then renting; then, when nothing
//! is ready or rentable, any machine with enough free resources.
//!
//! A pass serves all pending jobs: it gathers the machines with free resources once and
//! scores each of them once for each job. `choose` makes the same decision for a single
//! task from scratch. It serves jobs whose tasks affect each other's zones, and debug
//! builds check the pass against it.

use super::allowed_zones::AllowedZones;
use super::attempt_places::AttemptPlace;
use super::fleet::Shortage;
use super::headroom::FreeCapacity;
use super::job::{Job, Live, Phase};
use super::machine::{ENDLESS, Machine, Slot};
use super::order::{Order, Turn};
use super::records::Purpose;
use super::{Resources, Sched, estimate};
use crate::ids::{Attempt, Host, JobId, TaskId, TaskIx, Team};
use crate::time::{Span, Time};
use crate::wire::user::{JobSpec, Kind};
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
    short: Vec<Shortage>,
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

impl Sched {
    /// One pass over all waiting jobs, or as many of them as one pass may score: an
    /// unbounded pass takes a second with 600 jobs waiting, in which no request is
    /// answered. The next pass continues where this one stopped, after the urgent jobs.
    pub(super) fn place(&mut self, now: Time) {
        let job_order = self.job_order(now);
        let (turns, turns_ahead) = job_order.turns(self, now);
        let mut shortages = vec![];
        let mut reserved = BTreeSet::new();
        let mut remaining_turns = &turns[..];
        let score_limit = self.judged.get() + MAX_SCORED_PER_PASS;
        while !remaining_turns.is_empty() && self.judged.get() < score_limit {
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
            shortages.extend(plan.short);
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
        self.stuck = !remaining_turns.is_empty()
            && turns_ahead > 0
            && remaining_turns.len() + turns_ahead >= turns.len();
        if !self.stuck {
            self.goes_on_at = remaining_turns.first().map(|turn| turn.job.clone());
        }
        for machine in self.machines.values_mut() {
            let is_reserved = reserved.contains(&machine.host);
            machine.kept_since = is_reserved.then(|| machine.kept_since.unwrap_or(now));
        }
        if now >= self.preempt_at {
            self.preempt_at = now + PREEMPTION_INTERVAL;
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
        let is_gang = |job: &Job| job.spec.kind == Kind::Gang;
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
            if self.judged.get() >= score_limit {
                return (None, false);
            }
            // All its tasks have to be in the zone of the first one, and without a
            // spread no task excludes that zone for the next one.
            if job.spec.one_zone && !job.spec.spread && !job.live.is_empty() {
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
        (plan.short.pop(), plan.served > 0)
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
            if self.judged.get() >= score_limit {
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
        held: &BTreeSet<Host>,
        order: &Order,
        m: &Machine,
    ) -> bool {
        let judged = self.judged.get();
        let plain = self.choose(now, id, held, order);
        self.judged.set(judged);
        plain.as_ref() == Some(&m.host)
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
            if !machine.open(now, max_age) {
                continue;
            }
            if !view.may_use(&free, machine.spot, 0) {
                continue;
            }
            if !allowed_zones.contains(&machine.zone) {
                continue;
            }
            let (free, span) = (machine.free(), machine.remaining(now));
            let kept = reserved.contains(&machine.host);
            let candidate = Candidate {
                machine: machine,
                free,
                remaining: span,
                reserved: kept,
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
        Span::secs(self.cfg.workers.report_s * MAX_HEARTBEAT_AGE_INTERVALS + HEARTBEAT_AGE_MARGIN_S)
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
        let is_quick = self.quick.contains(&job.spec.class);
        self.books.task_started(id, task);
        let purpose = if is_quick {
            Purpose::Now
        } else {
            Purpose::Start
        };
        let machine = self.machines.get(host);
        let place = machine.map(|m| AttemptPlace {
            zone: m.zone.clone(),
            build: m.build.clone(),
            spot: m.spot,
        });
        let version = job.touch(record_part, &mut self.dirty, purpose);
        job.live.insert(
            task,
            Live {
                attempt,
                host: host.clone(),
                place,
                ver: version,
                phase: Phase::Placed,
                placed: now,
                placed_wall: wall,
                running_since: None,
                inherited: false,
                told: None,
                sent: false,
                stop: None,
                timed_out: false,
            },
        );
        self.teams.add(&job.spec.team, &job.need);
        let mut holds_image = false;
        if let Some(m) = self.machines.get_mut(host) {
            holds_image = m.has_image(&job.spec.image);
            m.used += job.need;
            let allocation = Slot {
                need: job.need,
                start: now,
                estimate: expected,
                endless: expected == ENDLESS,
                image: job.spec.image.clone(),
            };
            m.slots.insert(task_id(id, task), allocation);
        }
        self.unsent.insert(host.clone());
        tracing::debug!(job = %id, class = %job.spec.class, task = %task, %host, holds_image, "placed");
    }
}

/// Serves the turns in their order, and keeps account of what is left for the next.
struct Planner<'a> {
    sched: &'a Sched,
    now: Time,
    order: &'a Order,
    held: &'a BTreeSet<Host>,
    can_rent: bool,
    /// More is requested than is free: all machines fill up, so that the image decides
    /// first; otherwise that would spoil the best fit.
    crowded: bool,
    candidates: Vec<Candidate<'a>>,
    spare: FreeCapacity,
    /// The remaining quota of each team.
    quota: BTreeMap<&'a Team, Resources>,
    /// The number of tasks of each job that were placed in earlier turns.
    placed: BTreeMap<&'a JobId, i64>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(
        sched: &'a Sched,
        now: Time,
        turns: &'a [Turn],
        held: &'a BTreeSet<Host>,
        order: &'a Order,
    ) -> Planner<'a> {
        let candidates = candidates(sched, now, held);
        let mut open = Resources::default();
        for candidate in candidates.iter().filter(|candidate| !candidate.reserved) {
            open += candidate.free;
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
            held,
            can_rent: sched.fleet.can_rent(now),
            crowded: !open.covers(&wanted),
            candidates,
            spare: sched.free_above_headroom(now),
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
        let left = *quota.or_insert_with(|| sched.teams.remaining(team));
        let placed_before = self.placed.get(&turn.job).copied().unwrap_or(0);
        let wanted = (job.pending() as i64 - placed_before).min(left.tasks_that_fit(&job.need));
        let wanted = turn.max_tasks.map_or(wanted, |most| wanted.min(most));
        let placed = self.place_tasks(turn, job, wanted);
        self.quota
            .insert(team, left.minus(&job.need.scaled(placed)));
        self.placed.insert(&turn.job, placed_before + placed);
        // A boosted job has another turn, and is reported as short only then.
        if placed < wanted && turn.max_tasks.is_none() {
            let short = Shortage::anywhere(&turn.job, wanted - placed);
            self.plan.short.push(short);
        }
    }

    /// Places up to `wanted` tasks of a job; returns how many were placed.
    fn place_tasks(&mut self, turn: &Turn, job: &Job, wanted: i64) -> i64 {
        let mut view = JobView::of(self.sched, self.now, job, self.order, self.can_rent);
        view.image_first |= self.crowded;
        // Headroom is for quick classes, and for boosted jobs.
        let may_take =
            |spare: &FreeCapacity, spot, placed| turn.boosted || view.may_use(spare, spot, placed);
        if wanted <= 0 || !may_take(&self.spare, true, 0) {
            return 0;
        }
        let mut best_first = self.scores(job, &view);
        let mut placed = 0;
        while placed < wanted && may_take(&self.spare, true, placed) {
            let Some(Reverse((_, i))) = best_first.pop() else {
                break;
            };
            if !may_take(&self.spare, self.candidates[i].machine.spot, placed) {
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
        let zones = AllowedZones::of(self.sched, job);
        let candidates = self.candidates.iter().enumerate();
        let allowed = candidates.filter(|(_, candidate)| zones.contains(&candidate.machine.zone));
        let scores = allowed.filter_map(|(i, c)| Some(Reverse((view.score(c)?, i))));
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
        self.spare.take(&job.need, candidate.machine.spot);
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
                .matches_choose(self.now, &turn.job, self.held, self.order, machine)
    }
}

/// The machines with free CPUs, except those reserved for a gang.
fn candidates<'a>(sched: &'a Sched, now: Time, held: &BTreeSet<Host>) -> Vec<Candidate<'a>> {
    let fresh = sched.max_heartbeat_age();
    let mut candidates = vec![];
    for machine in sched.machines.values().filter(|m| m.open(now, fresh)) {
        let (free, kept) = (machine.free(), held.contains(&machine.host));
        if free.cpu <= 0 || kept && !machine.reservation_expired(now) {
            continue;
        }
        candidates.push(Candidate {
            machine,
            free,
            remaining: machine.remaining(now),
            reserved: kept,
        });
    }
    candidates
}

pub(super) fn task_id(id: &JobId, ix: TaskIx) -> TaskId {
    TaskId {
        job: id.clone(),
        ix,
    }
}

/// What is the same for all tasks of a job in one pass.
pub(super) struct JobView<'a> {
    now: Time,
    job: &'a Job,
    estimate: Span,
    max_spread: Span,
    quick: bool,
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
        s: &'a Sched,
        now: Time,
        j: &'a Job,
        order: &Order,
        can_rent: bool,
    ) -> JobView<'a> {
        let t = &s.cfg.tuning;
        let est = estimate::of(j);
        let quick = s.is_quick(&j.spec.class);
        let spares_plain = j.spec.spot && order.ordinary_machines_wanted;
        JobView {
            now,
            job: j,
            estimate: est,
            max_spread: estimate::max_runtime_spread(est, t.delta_factor, t.delta_floor_s),
            quick,
            waited_too_long: j.waited_too_long(now),
            waited_without_start: j.waited_without_start(now),
            image_first: quick,
            scored: &s.judged,
            // Jobs that can't wait for a machine to boot don't rent one.
            can_rent: can_rent && !quick && !j.waited_too_long(now),
            failed_all: j.error_hosts.len() >= s.machines.len(),
            start_by: s.start_by(now, j, order.is_within_guarantee(j.id())),
            avoids_ordinary: spares_plain,
            gang_is_waiting: spares_plain && order.gang_is_waiting,
            can_rent_spot: spares_plain && s.spot_rentable(now, j),
        }
    }

    /// Whether the job may use capacity of a machine, `spot` or ordinary, as far as
    /// headroom is concerned: headroom is for quick classes, and for a single task of a
    /// job that waited too long without a start. `placed` is the number of its tasks
    /// that this pass has placed.
    fn may_use(&self, spare: &FreeCapacity, spot: bool, got: i64) -> bool {
        self.quick
            || self.waited_without_start && got == 0
            || spare.covers_task(&self.job.need, spot)
    }

    /// How well the machine suits; none if it may not be used at all.
    pub(super) fn score(&self, c: &Candidate) -> Option<Score> {
        let j = self.job;
        self.scored.set(self.scored.get() + 1);
        if !c.free.fits(&j.need) || !may_run_on(&j.spec, c.machine) {
            return None;
        }
        if c.reserved && !(self.waited_too_long && c.machine.reservation_expired(self.now)) {
            return None;
        }
        // A machine on which this job failed is not tried again soon.
        if !(self.failed_all || self.waited_too_long) && j.error_hosts.contains(&c.machine.host) {
            return None;
        }
        let mut class = fit_class(c.remaining, self.estimate, self.max_spread);
        // A machine that services keep in use will not empty for a gang. Others do,
        // unless work for spot machines fills them up again and again.
        let empties = c.remaining.is_none_or(|(_, high)| high < ENDLESS);
        if self.gang_is_waiting && !self.waited_too_long && !c.machine.spot && empties {
            return None;
        }
        // An empty ordinary machine costs several times what a spot machine does,
        // whether it is used by jobs that need one or stays up until it is returned.
        if self.can_rent_spot && !c.machine.spot && c.remaining.is_none() {
            class = LAST_RESORT;
        }
        if class == LAST_RESORT && self.can_rent {
            return None;
        }
        let no_image = !c.machine.has_image(&j.spec.image);
        // A fetch that takes longer than the objective allows counts more than the fit;
        // otherwise starts are late on machines that fit best.
        let late = no_image
            && self.start_by.is_some_and(|by| {
                self.now
                    + c.machine
                        .fetch_time(self.now, &j.spec.image, j.spec.image_gb)
                    > by
            });
        Some(Score {
            image_late: late,
            class,
            image_missing_first: self.image_first && no_image,
            ordinary_avoided: self.avoids_ordinary && !c.machine.spot,
            strands_accelerators: j.need.gpu == 0 && c.machine.capacity.gpu > 0,
            extends_machine_use: c.remaining.is_some_and(|(_, high)| high < self.estimate),
            leftover_share: c
                .free
                .minus(&j.need)
                .largest_free_share(&c.machine.capacity, &j.need),
            image_missing: no_image,
        })
    }
}

pub(super) fn is_placed_individually(j: &Job) -> bool {
    j.spec.kind == Kind::Gang || j.spec.one_zone || j.spec.spread
}

fn fit_class(span: Option<(Span, Span)>, est: Span, delta: Span) -> u8 {
    match span {
        Some((low, high)) if high.max(est) - low.min(est) <= delta => 0,
        // The machine stays in use that long anyway.
        Some((_, high)) if high >= est => 1,
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
    class: u8,
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
    fn cmp(&self, o: &Score) -> Ordering {
        let first = |s: &Score| {
            (
                s.image_late,
                s.class,
                s.image_missing_first,
                s.ordinary_avoided,
                s.strands_accelerators,
                s.extends_machine_use,
            )
        };
        let first = first(self).cmp(&first(o));
        let then = first.then_with(|| self.leftover_share.total_cmp(&o.leftover_share));
        then.then_with(|| self.image_missing.cmp(&o.image_missing))
    }
}
impl PartialOrd for Score {
    fn partial_cmp(&self, o: &Score) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl PartialEq for Score {
    fn eq(&self, o: &Score) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Score {}

/// Whether the constraints of the job allow this machine.
pub(super) fn may_run_on(s: &JobSpec, m: &Machine) -> bool {
    s.builds.as_ref().is_none_or(|b| b.contains(&m.build))
        && s.zone.as_ref().is_none_or(|z| *z == m.zone)
        && (s.spot || !m.spot)
}
