//! Who has to make room, in the cases that the protocol allows.

use super::allowed_zones::AllowedZones;
use super::fleet::Short;
use super::job::{Job, Phase};
use super::machine::Machine;
use super::order::{Order, Rank};
use super::place::{allowed, task_id};
use super::{Room, Sched, estimate};
use crate::ids::{Host, JobId, TaskIx, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks stopped in one go; the next pass sees what came of it.
const MAX_STOPS: usize = 12;
/// Tasks looked at in one go, for all that claim room: with a thousand jobs short of
/// room after a take-over, each of them looked at fifteen thousand.
const MOST_LOOKED: u32 = 40_000;
/// A task that has run for this share of its estimate is let finish.
const NEARLY_DONE: f64 = 0.85;

/// Work that a task may lose to make room for what is not urgent.
const CHEAP_S: f64 = 6.0;
/// The same for borrowed room that its owner wants back.
const BORROWED_S: f64 = 12.0;
/// A job that made room waits so long before it starts anything.
const YIELD: Span = Span(1_000_000);
/// A start that is undone sooner was in vain.
const SETTLED_S: f64 = 31.0;

/// A task that might be stopped for some job.
struct Victim<'a> {
    cost: f64,
    lost: f64,
    /// Its start has counted, it saves, and little is lost.
    cheap: bool,
    rank: &'a Rank,
    job: &'a Job,
    task: TaskIx,
    machine: &'a Machine,
    taken: bool,
}

/// A job that found no room and may have some made.
struct Claim<'a> {
    now: Time,
    job: &'a Job,
    rank: &'a Rank,
    within: bool,
    tasks: i64,
    /// Zones in which its tasks may not be, given where the others are.
    closed: BTreeSet<&'a Zone>,
}

impl Victim<'_> {
    /// Little is lost with it.
    fn little(&self) -> bool {
        self.cheap || self.lost < BORROWED_S
    }
}

impl Claim<'_> {
    fn urgent(&self) -> bool {
        self.job.priority() <= Priority::High
    }
}

impl Sched {
    /// Stops tasks for those that found no room and have a right to it.
    pub(super) fn preempt(&mut self, now: Time, order: &Order) {
        let stops = self.chosen_stops(now, order);
        for (id, t) in stops {
            if let Some(j) = self.jobs.get_mut(&id) {
                // Others first, or it takes the same room again.
                j.backoff_until = j.backoff_until.max(now + YIELD);
            }
            self.stop(now, &id, t, 0.0);
        }
    }

    fn chosen_stops(&self, now: Time, order: &Order) -> Vec<(JobId, TaskIx)> {
        let claims = self.claims(now, order);
        if claims.is_empty() {
            return vec![];
        }
        let (mut stopping, mut all) = self.stoppable(now, order);
        let mut whole = Room::default();
        for m in self.machines.values() {
            whole += m.capacity;
        }
        // The cheapest first: what would lose least.
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let little: Vec<usize> = (0..all.len()).filter(|i| all[*i].little()).collect();
        let mut here: BTreeMap<&Host, Vec<usize>> = BTreeMap::new();
        for (i, v) in all.iter().enumerate() {
            here.entry(&v.machine.host).or_default().push(i);
        }
        let any: Vec<usize> = (0..all.len()).collect();
        let mut stops = vec![];
        let mut looked = 0u32;
        for c in claims {
            // What is being stopped already makes room for the first of them.
            let part = whole.scarcest(&c.job.need);
            let asked = c.job.need.scaled(c.tasks);
            let mut need = (part(&asked) - part(&stopping)).max(0);
            stopping = stopping.minus(&asked).at_least_zero();
            for i in if c.urgent() { &any } else { &little } {
                if need <= 0 || stops.len() >= MAX_STOPS {
                    break;
                }
                looked += 1;
                if looked > MOST_LOOKED {
                    return stops;
                }
                let v = &all[*i];
                if v.taken || !self.gives_way(v, &c, order) {
                    continue;
                }
                let beside = here.get(&v.machine.host).map_or(&[][..], |h| h);
                looked += beside.len() as u32;
                for k in self.makes_room(&c, &all, *i, beside, order) {
                    let v = &mut all[k];
                    tracing::info!(job = %v.job.id(), task = %v.task, host = %v.machine.host,
                        for_job = %c.job.id(), class = %c.job.spec.class, "preempted");
                    v.taken = true;
                    need -= part(&v.job.need);
                    stops.push((v.job.id().clone(), v.task));
                }
            }
            if stops.len() >= MAX_STOPS {
                break;
            }
        }
        stops
    }

    fn claims<'a>(&'a self, now: Time, order: &'a Order) -> Vec<Claim<'a>> {
        if self.fleet.short.is_empty() {
            return vec![];
        }
        let spare = self.spare(now);
        let zones: BTreeSet<&Zone> = self.machines.values().map(|m| &m.zone).collect();
        let claim = |s: &Short| {
            let id = &s.job;
            let job = self.jobs.get(id)?;
            let within = order.within(id);
            // Room that is kept for quick classes is not for the others;
            // stopping tasks would only fill it up.
            let quick = self.is_quick(&job.spec.class);
            // A gang needs whole machines in one place: stopping a task here
            // and there made no room for it, and went on as it stayed short.
            let gang = job.spec.kind == Kind::Gang;
            let may = (job.priority() != Priority::Low || within) && !gang;
            let rank = order.rank(id)?;
            let allowed = AllowedZones::of(self, job);
            let shut = |z: &&Zone| !allowed.contains(z);
            let closed = zones.iter().copied().filter(shut).collect();
            (may && (quick || spare.holds(&job.need, job.spec.spot))).then_some(Claim {
                now,
                job,
                rank,
                within,
                tasks: s.tasks,
                closed,
            })
        };
        self.fleet.short.iter().filter_map(claim).collect()
    }

    /// Every task that could be stopped for anyone, and the room of those that
    /// are being stopped already.
    fn stoppable<'a>(&'a self, now: Time, order: &'a Order) -> (Room, Vec<Victim<'a>>) {
        let fresh = self.heard_within();
        let mut stopping = Room::default();
        let mut victims = vec![];
        for job in self.jobs.values().filter(|j| !j.live.is_empty()) {
            let est = estimate::of(job).as_secs();
            let rank = order.rank(job.id());
            for (t, l) in &job.live {
                if l.stop.is_some() {
                    stopping += job.need;
                    continue;
                }
                let (Some(machine), Some(rank)) = (self.machines.get(&l.host), rank) else {
                    continue;
                };
                let ran = match (l.phase, l.running_since) {
                    (Phase::Running, Some(s)) => (now - s).as_secs(),
                    _ => 0.0,
                };
                let array = job.spec.kind == Kind::Array;
                // What was set aside for it is not taken away again.
                let guarded = self.books.guards(&task_id(job.id(), *t));
                if guarded || !array || ran > NEARLY_DONE * est || !machine.open(now, fresh) {
                    continue;
                }
                let saves = job.spec.checkpoint_s > 0.0;
                let lost = if saves {
                    ran % job.spec.checkpoint_s
                } else {
                    ran
                };
                victims.push(Victim {
                    cost: lost * job.spec.cpus,
                    lost,
                    // For what is not urgent only those stop that lose little,
                    // and whose start has counted.
                    cheap: saves && lost < CHEAP_S && ran > SETTLED_S,
                    rank,
                    job,
                    task: *t,
                    machine,
                    taken: false,
                });
            }
        }
        (stopping, victims)
    }

    /// Tasks on one machine, this one first, whose end lets a task of the claim begin
    /// there; none if it would not. Stopped wherever they were cheapest, tasks made no
    /// room for a larger one, were placed anew and stopped again, and never began.
    fn makes_room(
        &self,
        c: &Claim,
        all: &[Victim],
        first: usize,
        beside: &[usize],
        order: &Order,
    ) -> Vec<usize> {
        let mut room = all[first].machine.free();
        let mut stops = vec![];
        if room.fits(&c.job.need) {
            // It is not for want of room that nothing of it begins here.
            return stops;
        }
        let others = beside.iter().copied().filter(|k| *k != first);
        for k in std::iter::once(first).chain(others) {
            let v = &all[k];
            let may = c.urgent() || v.little();
            if v.taken || !may || !self.gives_way(v, c, order) {
                continue;
            }
            room += v.job.need;
            stops.push(k);
            if room.fits(&c.job.need) {
                return stops;
            }
        }
        vec![]
    }

    /// A task may be stopped for work of higher priority, or if its team has
    /// borrowed beyond its guarantee and the other is within its own.
    fn gives_way(&self, v: &Victim, c: &Claim, order: &Order) -> bool {
        // Replicas that were to be in other zones had tasks stopped by the
        // hundred, while a zone was cut off, where they could not go.
        if c.closed.contains(&v.machine.zone) {
            return false;
        }
        // Room left by one that is served earlier would go back to it: tasks
        // were stopped and placed anew many times a second.
        if v.rank <= c.rank {
            return false;
        }
        let (theirs, ours) = (&v.job.spec, &c.job.spec);
        let (their_priority, our_priority) = (v.job.priority(), c.job.priority());
        let lower = their_priority > our_priority;
        let urgent = our_priority <= Priority::High;
        if lower && (urgent || v.cheap) {
            return allowed(ours, v.machine);
        }
        // What is fetched for longer than is lost for nothing gains nobody
        // time: arrays stopped each other all day.
        let spec = &c.job.spec;
        let fetch = v.machine.fetch_time(c.now, &spec.image, spec.image_gb);
        c.within
            && v.lost < BORROWED_S
            && fetch.as_secs() < BORROWED_S
            && theirs.team != ours.team
            && their_priority >= our_priority
            && !order.within(v.job.id())
            && self.teams.beyond_guarantee(&theirs.team)
            && allowed(ours, v.machine)
    }
}
