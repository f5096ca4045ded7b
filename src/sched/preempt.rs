//! Preemption: which running tasks are stopped for others, in the cases that the
//! protocol allows.

use super::allowed_zones::AllowedZones;
use super::fleet::Short;
use super::job::{Job, Phase};
use super::machine::Machine;
use super::order::{Order, Rank};
use super::place::{allowed, task_id};
use super::spare::Spare;
use super::{Room, Sched, estimate};
use crate::ids::{Host, JobId, TaskIndex, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks stopped in one go; the next pass sees what came of it.
const MAX_STOPS: usize = 12;
/// Tasks examined in one go, for all claims together.
const MAX_EXAMINED: u32 = 40_000;
/// A task that has run for this share of its estimate is let finish.
const NEARLY_DONE_SHARE: f64 = 0.85;
/// Seconds of work that a task may lose to make room for what is not urgent.
const MAX_CHEAP_LOSS_S: f64 = 6.0;
/// The same for borrowed quota that its owner wants back.
const MAX_BORROWED_LOSS_S: f64 = 12.0;
/// A job that made room waits so long before it starts anything.
const YIELD_BACKOFF: Span = Span(1_000_000);
/// A start that is undone sooner did not count, in seconds.
const SETTLED_AFTER_S: f64 = 31.0;

/// A task that might be stopped for some job.
struct Victim<'a> {
    /// Work that would be lost, in seconds of a CPU.
    cost: f64,
    /// The same in seconds.
    lost: f64,
    /// Its start has counted, it saves, and little is lost.
    cheap: bool,
    rank: &'a Rank,
    job: &'a Job,
    task: TaskIndex,
    machine: &'a Machine,
    taken: bool,
}

/// A job that found no room and may have some made.
struct Claim<'a> {
    now: Time,
    job: &'a Job,
    rank: &'a Rank,
    /// Its team is within its guarantee.
    within: bool,
    tasks: i64,
    /// Zones in which its tasks may not be, given where the others are.
    closed: BTreeSet<&'a Zone>,
}

impl Victim<'_> {
    fn loses_little(&self) -> bool {
        self.cheap || self.lost < MAX_BORROWED_LOSS_S
    }
}

impl Claim<'_> {
    fn is_urgent(&self) -> bool {
        self.job.priority() <= Priority::High
    }
}

/// The tasks that could be stopped, the cheapest first, and those chosen so far.
struct Selection<'a> {
    sched: &'a Sched,
    order: &'a Order,
    /// All machines' resources.
    whole: Room,
    victims: Vec<Victim<'a>>,
    /// Positions of the victims that lose little.
    little_loss: Vec<usize>,
    /// Positions among the victims, by machine.
    on_machine: BTreeMap<&'a Host, Vec<usize>>,
    /// Resources of tasks that are being stopped already.
    stopping: Room,
    examined: u32,
    stops: Vec<(JobId, TaskIndex)>,
}

impl<'a> Selection<'a> {
    fn new(sched: &'a Sched, now: Time, order: &'a Order) -> Selection<'a> {
        let (stopping, mut victims) = sched.stoppable(now, order);
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut on_machine: BTreeMap<&Host, Vec<usize>> = BTreeMap::new();
        for (i, victim) in victims.iter().enumerate() {
            on_machine.entry(&victim.machine.host).or_default().push(i);
        }
        let little_loss = |i: &usize| victims[*i].loses_little();
        let little_loss = (0..victims.len()).filter(little_loss).collect();
        let mut whole = Room::default();
        for machine in sched.machines.values() {
            whole += machine.capacity;
        }
        Selection {
            sched,
            order,
            whole,
            victims,
            little_loss,
            on_machine,
            stopping,
            examined: 0,
            stops: vec![],
        }
    }

    /// No more are chosen in this go.
    fn is_over(&self) -> bool {
        self.stops.len() >= MAX_STOPS || self.examined > MAX_EXAMINED
    }

    /// Chooses tasks to be stopped for a claim, until it has room.
    fn serve(&mut self, claim: &Claim) {
        // What is being stopped already makes room for the first claims.
        let part = self.whole.scarcest(&claim.job.need);
        let asked = claim.job.need.scaled(claim.tasks);
        let mut lacking = (part(&asked) - part(&self.stopping)).max(0);
        self.stopping = self.stopping.minus(&asked).at_least_zero();
        let candidates = if claim.is_urgent() {
            self.victims.len()
        } else {
            self.little_loss.len()
        };
        for position in 0..candidates {
            let first = if claim.is_urgent() {
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
            if victim.taken || !self.sched.gives_way(victim, claim, self.order) {
                continue;
            }
            for i in self.makes_room(claim, first) {
                lacking -= part(&self.victims[i].job.need);
                self.stop(claim, i);
            }
        }
    }

    /// Tasks on one machine, this one first, whose end lets a task of the claim begin
    /// there; none if it would not.
    fn makes_room(&mut self, claim: &Claim, first: usize) -> Vec<usize> {
        let machine = self.victims[first].machine;
        let beside = self.on_machine.get(&machine.host);
        let beside = beside.map_or(&[][..], |positions| positions);
        self.examined += beside.len() as u32;
        let mut room = machine.free();
        let mut stops = vec![];
        if room.fits(&claim.job.need) {
            // It is not for want of room that nothing of it begins here.
            return stops;
        }
        let others = beside.iter().copied().filter(|i| *i != first);
        for i in std::iter::once(first).chain(others) {
            let victim = &self.victims[i];
            let may_stop = claim.is_urgent() || victim.loses_little();
            if victim.taken || !may_stop || !self.sched.gives_way(victim, claim, self.order) {
                continue;
            }
            room += victim.job.need;
            stops.push(i);
            if room.fits(&claim.job.need) {
                return stops;
            }
        }
        vec![]
    }

    fn stop(&mut self, claim: &Claim, i: usize) {
        let victim = &mut self.victims[i];
        tracing::info!(job = %victim.job.id(), task = %victim.task, host = %victim.machine.host,
            for_job = %claim.job.id(), class = %claim.job.spec.class, "preempted");
        victim.taken = true;
        self.stops.push((victim.job.id().clone(), victim.task));
    }
}

impl Sched {
    /// Stops tasks for those that found no room and have a right to it.
    pub(super) fn preempt(&mut self, now: Time, order: &Order) {
        for (id, task) in self.chosen_stops(now, order) {
            if let Some(job) = self.jobs.get_mut(&id) {
                // Others first, or it takes the same room again.
                job.backoff_until = job.backoff_until.max(now + YIELD_BACKOFF);
            }
            self.stop(now, &id, task, 0.0);
        }
    }

    fn chosen_stops(&self, now: Time, order: &Order) -> Vec<(JobId, TaskIndex)> {
        let claims = self.claims(now, order);
        if claims.is_empty() {
            return vec![];
        }
        let mut selection = Selection::new(self, now, order);
        for claim in &claims {
            selection.serve(claim);
            if selection.is_over() {
                break;
            }
        }
        selection.stops
    }

    fn claims<'a>(&'a self, now: Time, order: &'a Order) -> Vec<Claim<'a>> {
        if self.fleet.short.is_empty() {
            return vec![];
        }
        let spare = self.spare(now);
        let zones: BTreeSet<&Zone> = self.machines.values().map(|m| &m.zone).collect();
        let short = self.fleet.short.iter();
        let claims = short.filter_map(|short| self.claim(now, short, order, &spare, &zones));
        claims.collect()
    }

    /// The claim of a job that found no room, if it may have some made.
    fn claim<'a>(
        &'a self,
        now: Time,
        short: &Short,
        order: &'a Order,
        spare: &Spare,
        zones: &BTreeSet<&'a Zone>,
    ) -> Option<Claim<'a>> {
        let job = self.jobs.get(&short.job)?;
        let rank = order.rank(&short.job)?;
        let within = order.within(&short.job);
        // A gang needs whole machines in one place: stopping a task here and there
        // makes no room for it.
        let is_gang = job.spec.kind == JobKind::Gang;
        if is_gang || job.priority() == Priority::Low && !within {
            return None;
        }
        // Room that is kept for quick classes is not for the others;
        // stopping tasks would only fill it up.
        let quick = self.is_quick(&job.spec.class);
        if !quick && !spare.holds(&job.need, job.spec.spot) {
            return None;
        }
        let allowed = AllowedZones::of(self, job);
        let closed = zones.iter().copied().filter(|zone| !allowed.contains(zone));
        Some(Claim {
            now,
            job,
            rank,
            within,
            tasks: short.tasks,
            closed: closed.collect(),
        })
    }

    /// Every task that could be stopped for anyone, and the resources of those that
    /// are being stopped already.
    fn stoppable<'a>(&'a self, now: Time, order: &'a Order) -> (Room, Vec<Victim<'a>>) {
        let fresh = self.heard_within();
        let mut stopping = Room::default();
        let mut victims = vec![];
        for job in self.jobs.values().filter(|job| !job.live.is_empty()) {
            let estimate_s = estimate::of(job).as_secs();
            let rank = order.rank(job.id());
            for (task, live) in &job.live {
                if live.stop.is_some() {
                    stopping += job.need;
                    continue;
                }
                let (Some(machine), Some(rank)) = (self.machines.get(&live.host), rank) else {
                    continue;
                };
                let ran_s = match (live.phase, live.running_since) {
                    (Phase::Running, Some(since)) => (now - since).as_secs(),
                    _ => 0.0,
                };
                let is_array = job.spec.kind == JobKind::Array;
                // What was set aside for it is not taken away again.
                let guarded = self.books.guards(&task_id(job.id(), *task));
                let nearly_done = ran_s > NEARLY_DONE_SHARE * estimate_s;
                if guarded || !is_array || nearly_done || !machine.open(now, fresh) {
                    continue;
                }
                victims.push(Victim::new(job, *task, ran_s, rank, machine));
            }
        }
        (stopping, victims)
    }

    /// A task may be stopped for work of higher priority, or if its team has
    /// borrowed beyond its guarantee and the other is within its own.
    fn gives_way(&self, victim: &Victim, claim: &Claim, order: &Order) -> bool {
        if claim.closed.contains(&victim.machine.zone) {
            return false;
        }
        // Room left by one that is served earlier would go back to it.
        if victim.rank <= claim.rank {
            return false;
        }
        let (theirs, ours) = (&victim.job.spec, &claim.job.spec);
        let (their_priority, our_priority) = (victim.job.priority(), claim.job.priority());
        let lower = their_priority > our_priority;
        if lower && (claim.is_urgent() || victim.cheap) {
            return allowed(ours, victim.machine);
        }
        // What is fetched for longer than is lost for nothing gains nobody time.
        let machine = victim.machine;
        let fetch = machine.fetch_time(claim.now, &ours.image, ours.image_gb);
        claim.within
            && victim.lost < MAX_BORROWED_LOSS_S
            && fetch.as_secs() < MAX_BORROWED_LOSS_S
            && theirs.team != ours.team
            && their_priority >= our_priority
            && !order.within(victim.job.id())
            && self.teams.beyond_guarantee(&theirs.team)
            && allowed(ours, machine)
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
            lost,
            // For what is not urgent only those stop that lose little,
            // and whose start has counted.
            cheap: saves && lost < MAX_CHEAP_LOSS_S && ran_s > SETTLED_AFTER_S,
            rank,
            job,
            task,
            machine,
            taken: false,
        }
    }
}
