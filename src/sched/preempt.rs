//! Preemption: which running tasks are stopped for others, in the cases that the
//! protocol allows.

use super::Resources;
use super::Scheduler;
use super::allowed_zones::AllowedZones;
use super::estimate;
use super::fleet::Shortage;
use super::headroom::FreeCapacity;
use super::job::{Job, Phase};
use super::machine::Machine;
use super::order::{Order, Rank};
use super::place::{may_run_on, task_id};
use crate::ids::{Host, JobId, TaskIndex, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks stopped in one round; the next pass sees the effect.
const MAX_STOPS: usize = 12;
/// Tasks examined in one round, for all preemptors together.
const MAX_EXAMINED: u32 = 40_000;
/// A task that has run for this share of its estimate is allowed to finish.
const NEARLY_DONE_SHARE: f64 = 0.85;
/// Seconds of work that a task may lose for a job that is not urgent.
const MAX_CHEAP_LOSS_S: f64 = 6.0;
/// Seconds of work that a task on borrowed quota may lose when the owner of the quota
/// needs it.
const MAX_BORROWED_LOSS_S: f64 = 12.0;
/// How long a preempted job waits before it starts tasks again.
const PREEMPTED_BACKOFF: Span = Span(1_000_000);
/// A task that has run for less than this does not count as started, in seconds.
const MIN_RUN_S: f64 = 31.0;

/// A task that might be stopped for some job.
struct Victim<'a> {
    /// Work that would be lost, in CPU seconds.
    cost: f64,
    /// Work that would be lost, in seconds.
    lost_s: f64,
    /// The task has counted as started, saves checkpoints, and would lose little.
    cheap: bool,
    rank: &'a Rank,
    job: &'a Job,
    task: TaskIndex,
    machine: &'a Machine,
    chosen: bool,
}

/// A job that lacks resources and may preempt tasks of others.
struct Preemptor<'a> {
    now: Time,
    job: &'a Job,
    rank: &'a Rank,
    /// The job is within the guarantee of its team.
    within_guarantee: bool,
    tasks: i64,
    /// Zones in which its tasks may not start, given where the others are.
    excluded_zones: BTreeSet<&'a Zone>,
}

impl Victim<'_> {
    fn loses_little(&self) -> bool {
        self.cheap || self.lost_s < MAX_BORROWED_LOSS_S
    }
}

impl Preemptor<'_> {
    fn is_urgent(&self) -> bool {
        self.job.priority() <= Priority::High
    }
}

/// The tasks that could be stopped, the cheapest first, and those chosen so far.
struct Selection<'a> {
    sched: &'a Scheduler,
    order: &'a Order,
    /// All machines' resources.
    fleet_capacity: Resources,
    victims: Vec<Victim<'a>>,
    /// Positions of the victims that lose little.
    little_loss: Vec<usize>,
    /// Positions of the victims on each machine.
    on_machine: BTreeMap<&'a Host, Vec<usize>>,
    /// Resources of tasks that are being stopped already.
    stopping: Resources,
    examined: u32,
    stops: Vec<(JobId, TaskIndex)>,
}

impl<'a> Selection<'a> {
    fn new(sched: &'a Scheduler, now: Time, order: &'a Order) -> Selection<'a> {
        let (stopping, mut victims) = sched.stoppable(now, order);
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut on_machine: BTreeMap<&Host, Vec<usize>> = BTreeMap::new();
        for (i, victim) in victims.iter().enumerate() {
            on_machine.entry(&victim.machine.host).or_default().push(i);
        }
        let little_loss = |i: &usize| victims[*i].loses_little();
        let little_loss = (0..victims.len()).filter(little_loss).collect();
        let mut fleet_capacity = Resources::default();
        for machine in sched.machines.values() {
            fleet_capacity += machine.capacity;
        }
        Selection {
            sched,
            order,
            fleet_capacity,
            victims,
            little_loss,
            on_machine,
            stopping,
            examined: 0,
            stops: vec![],
        }
    }

    /// Whether this round chooses no more tasks.
    fn is_full(&self) -> bool {
        self.stops.len() >= MAX_STOPS || self.examined > MAX_EXAMINED
    }

    /// Chooses tasks to stop for a preemptor, until it has enough resources.
    fn serve(&mut self, preemptor: &Preemptor) {
        // Tasks that are being stopped already make room for the first preemptors.
        let resource = self.fleet_capacity.dominant_resource(&preemptor.job.need);
        let requested = preemptor.job.need.scaled(preemptor.tasks);
        let mut lacking = (resource(&requested) - resource(&self.stopping)).max(0);
        self.stopping = self.stopping.minus(&requested).at_least_zero();
        let candidates = if preemptor.is_urgent() {
            self.victims.len()
        } else {
            self.little_loss.len()
        };
        for position in 0..candidates {
            let first = if preemptor.is_urgent() {
                position
            } else {
                self.little_loss[position]
            };
            if lacking <= 0 || self.stops.len() >= MAX_STOPS {
                return;
            }
            self.examined += 1;
            if self.examined > MAX_EXAMINED {
                return;
            }
            let victim = &self.victims[first];
            if victim.chosen || !self.sched.may_preempt(victim, preemptor, self.order) {
                continue;
            }
            for i in self.stops_to_fit(preemptor, first) {
                lacking -= resource(&self.victims[i].job.need);
                self.stop(i);
            }
        }
    }

    /// Tasks on one machine, the victim `first` among them, whose end lets a task of
    /// the preemptor start there; empty if even all of them are not enough.
    fn stops_to_fit(&mut self, preemptor: &Preemptor, first: usize) -> Vec<usize> {
        let machine = self.victims[first].machine;
        let beside = self.on_machine.get(&machine.host);
        let beside = beside.map_or(&[][..], |positions| positions);
        self.examined += beside.len() as u32;
        let mut free = machine.free();
        let mut stops = vec![];
        if free.fits(&preemptor.job.need) {
            // Something other than a lack of resources keeps its tasks from starting
            // here.
            return stops;
        }
        let others = beside.iter().copied().filter(|i| *i != first);
        for i in std::iter::once(first).chain(others) {
            let victim = &self.victims[i];
            let may_stop = preemptor.is_urgent() || victim.loses_little();
            if victim.chosen || !may_stop || !self.sched.may_preempt(victim, preemptor, self.order)
            {
                continue;
            }
            free += victim.job.need;
            stops.push(i);
            if free.fits(&preemptor.job.need) {
                return stops;
            }
        }
        vec![]
    }

    /// Logs what has been chosen since `before` in one line: rounds of a dozen tasks come
    /// several times a second.
    fn log_stops(&self, preemptor: &Preemptor, before: usize) {
        let (for_job, class) = (preemptor.job.id(), &preemptor.job.spec.class);
        let names = |(job, task): &(JobId, TaskIndex)| format!("{job}/{task}");
        let tasks: Vec<String> = self.stops[before..].iter().map(names).collect();
        if !tasks.is_empty() {
            tracing::info!(%for_job, %class, tasks = tasks.join(" "), "preempted");
        }
    }

    fn stop(&mut self, i: usize) {
        let victim = &mut self.victims[i];
        victim.chosen = true;
        self.stops.push((victim.job.id().clone(), victim.task));
    }
}

impl Scheduler {
    /// Stops tasks for jobs that lack resources and may preempt.
    pub(super) fn preempt(&mut self, now: Time, order: &Order) {
        for (id, task) in self.chosen_stops(now, order) {
            if let Some(job) = self.jobs.get_mut(&id) {
                // Other jobs go first; otherwise it takes the same resources again.
                job.backoff_until = job.backoff_until.max(now + PREEMPTED_BACKOFF);
            }
            self.stop_attempt(now, &id, task, 0.0);
        }
    }

    fn chosen_stops(&self, now: Time, order: &Order) -> Vec<(JobId, TaskIndex)> {
        let preemptors = self.preemptors(now, order);
        if preemptors.is_empty() {
            return vec![];
        }
        let mut selection = Selection::new(self, now, order);
        for preemptor in &preemptors {
            let before = selection.stops.len();
            selection.serve(preemptor);
            selection.log_stops(preemptor, before);
            if selection.is_full() {
                break;
            }
        }
        selection.stops
    }

    fn preemptors<'a>(&'a self, now: Time, order: &'a Order) -> Vec<Preemptor<'a>> {
        if self.fleet.shortages.is_empty() {
            return vec![];
        }
        let free = self.free_above_headroom(now);
        let zones: BTreeSet<&Zone> = self.machines.values().map(|m| &m.zone).collect();
        let shortages = self.fleet.shortages.iter();
        let preemptors =
            shortages.filter_map(|shortage| self.preemptor(now, shortage, order, &free, &zones));
        preemptors.collect()
    }

    /// The preemptor for a job that lacks resources, if it may preempt.
    fn preemptor<'a>(
        &'a self,
        now: Time,
        shortage: &Shortage,
        order: &'a Order,
        free: &FreeCapacity,
        zones: &BTreeSet<&'a Zone>,
    ) -> Option<Preemptor<'a>> {
        let job = self.jobs.get(&shortage.job)?;
        let rank = order.rank(&shortage.job)?;
        let within_guarantee = order.is_within_guarantee(&shortage.job);
        // A gang needs whole machines in one place: stopping single tasks here and
        // there does not help it.
        let is_gang = job.spec.kind == JobKind::Gang;
        if is_gang || job.priority() == Priority::Low && !within_guarantee {
            return None;
        }
        // Headroom is not for other classes: stopping tasks would only fill it up.
        let is_quick = self.is_quick(&job.spec.class);
        if !is_quick && !free.has_no_shortage(&job.need, job.spec.spot) {
            return None;
        }
        let allowed_zones = AllowedZones::of(self, job);
        let excluded_zones = zones
            .iter()
            .copied()
            .filter(|zone| !allowed_zones.contains(zone));
        Some(Preemptor {
            now,
            job,
            rank,
            within_guarantee,
            tasks: shortage.tasks,
            excluded_zones: excluded_zones.collect(),
        })
    }

    /// The resources of all tasks that are being stopped already, and every task that
    /// could be stopped for some job.
    fn stoppable<'a>(&'a self, now: Time, order: &'a Order) -> (Resources, Vec<Victim<'a>>) {
        let max_age = self.max_heartbeat_age();
        let mut stopping = Resources::default();
        let mut victims = vec![];
        for job in self.jobs.values().filter(|job| !job.active.is_empty()) {
            let estimate_s = estimate::of(job).as_secs();
            let rank = order.rank(job.id());
            for (task, attempt) in &job.active {
                if attempt.stop.is_some() {
                    stopping += job.need;
                    continue;
                }
                let (Some(machine), Some(rank)) = (self.machines.get(&attempt.host), rank) else {
                    continue;
                };
                let ran_s = match (attempt.phase, attempt.running_since) {
                    (Phase::Running, Some(since)) => (now - since).as_secs(),
                    _ => 0.0,
                };
                let is_array = job.spec.kind == JobKind::Array;
                // Tasks started from the reserved share are protected.
                let is_protected = self.service_shares.is_protected(&task_id(job.id(), *task));
                let nearly_done = ran_s > NEARLY_DONE_SHARE * estimate_s;
                if is_protected || !is_array || nearly_done || !machine.accepts_tasks(now, max_age)
                {
                    continue;
                }
                victims.push(Victim::new(job, *task, ran_s, rank, machine));
            }
        }
        (stopping, victims)
    }

    /// Whether the victim may be stopped for the preemptor: for a job of higher
    /// priority, or if the victim's team has borrowed beyond its guarantee and the
    /// preemptor is within its own.
    fn may_preempt(&self, victim: &Victim, preemptor: &Preemptor, order: &Order) -> bool {
        if preemptor.excluded_zones.contains(&victim.machine.zone) {
            return false;
        }
        // Resources left by a job that is served earlier would go back to it.
        if victim.rank <= preemptor.rank {
            return false;
        }
        let (theirs, ours) = (&victim.job.spec, &preemptor.job.spec);
        let (their_priority, our_priority) = (victim.job.priority(), preemptor.job.priority());
        let has_lower_priority = their_priority > our_priority;
        if has_lower_priority && (preemptor.is_urgent() || victim.cheap) {
            return may_run_on(ours, victim.machine);
        }
        // If the fetch of the image takes longer than the work that is lost, nobody
        // gains time.
        let machine = victim.machine;
        let fetch_time = machine.fetch_time(preemptor.now, &ours.image, ours.image_gb);
        preemptor.within_guarantee
            && victim.lost_s < MAX_BORROWED_LOSS_S
            && fetch_time.as_secs() < MAX_BORROWED_LOSS_S
            && theirs.team != ours.team
            && their_priority >= our_priority
            && !order.is_within_guarantee(victim.job.id())
            && self.teams.exceeds_guarantee(&theirs.team)
            && may_run_on(ours, machine)
    }
}

impl<'a> Victim<'a> {
    fn new(
        job: &'a Job,
        task: TaskIndex,
        ran_s: f64,
        rank: &'a Rank,
        machine: &'a Machine,
    ) -> Victim<'a> {
        let checkpoint_s = job.spec.checkpoint_s;
        let saves = checkpoint_s > 0.0;
        let lost = if saves { ran_s % checkpoint_s } else { ran_s };
        Victim {
            cost: lost * job.spec.cpus,
            lost_s: lost,
            // For jobs that are not urgent, only tasks are stopped that lose little and
            // that have counted as started.
            cheap: saves && lost < MAX_CHEAP_LOSS_S && ran_s > MIN_RUN_S,
            rank,
            job,
            task,
            machine,
            chosen: false,
        }
    }
}
