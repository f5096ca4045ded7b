//! Gang scheduling: room for all tasks is held before the first starts, one attempt
//! number serves all, and they end together.

use super::Sched;
use super::fleet::Short;
use super::job::{Job, Live, Phase};
use super::machine::{ENDLESS, Life, Machine};
use super::order::Order;
use super::place::{Candidate, Score, View, allowed};
use crate::ids::{Attempt, Host, JobId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Members of a stopped gang have so many seconds more than saving takes.
const SAVE_MARGIN_S: f64 = 1.0;

/// Where a gang is to find room, and how much is still to be rented there.
struct Target {
    /// The only zone in which room is of use, if there is one.
    zone: Option<Zone>,
    /// Tasks for which there is no machine yet.
    lacks: i64,
    /// The same, not counting those for which machines boot.
    to_rent: i64,
    /// Machines that are kept free for it.
    held: Vec<Host>,
}

/// A machine that may serve a gang soon.
struct SoonFree<'a> {
    machine: &'a Machine,
    /// How long until it can; [`ENDLESS`] for one that boots.
    after: Span,
    /// For how many tasks.
    tasks: i64,
}

/// Machines for the whole gang.
struct Places {
    /// Tasks whose image is fetched for longer than an aim allows.
    late: i64,
    hosts: Vec<Host>,
}

impl Sched {
    /// Starts the whole gang, or a lost member of one that still waits.
    /// Answers what found no room.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        id: &JobId,
        held: &mut BTreeSet<Host>,
        order: &Order,
    ) -> Option<Short> {
        let job = self.jobs.get(id)?;
        let pending = job.pending() as i64;
        if self.teams.left(&job.spec.team).times(&job.need) < pending {
            return None;
        }
        if let Some(live) = job.live.values().next() {
            let attempt = live.attempt;
            if !takes_replacement(job, attempt) {
                return None;
            }
            return self.replace_members(now, id, pending, attempt, held, order);
        }
        if let Some(hosts) = self.room_for_all(now, id, held, order) {
            self.start_gang(now, id, hosts);
            return None;
        }
        let target = self.target(now, job, held)?;
        let zone = target.zone.as_ref();
        let hopeless = target.to_rent > 0 && !self.rentable(now, job, zone);
        if !hopeless || held.is_empty() {
            // Of gangs that could wait for ever only one keeps machines idle.
            held.extend(target.held);
        }
        Some(Short {
            job: id.clone(),
            tasks: target.lacks,
            zone: target.zone,
        })
    }

    /// Starts the lost members of a gang that still waits, under its number.
    fn replace_members(
        &mut self,
        now: Time,
        id: &JobId,
        pending: i64,
        attempt: Attempt,
        held: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Short> {
        for left in (1..=pending).rev() {
            let Some(host) = self.choose(now, id, held, order) else {
                return Some(Short::anywhere(id, left));
            };
            self.start(now, id, &host, Some(attempt));
        }
        None
    }

    fn start_gang(&mut self, now: Time, id: &JobId, hosts: Vec<Host>) {
        let attempt = self.next_attempt();
        tracing::info!(job = %id, tasks = hosts.len(), "gang placed");
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang_ran = false;
        }
        for host in hosts {
            self.start(now, id, &host, Some(attempt));
        }
    }

    /// Machines for every task, the best first; or none at all.
    fn room_for_all(
        &self,
        now: Time,
        id: &JobId,
        held: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Vec<Host>> {
        let job = self.jobs.get(id)?;
        let suitable = self.suitable_machines(now, job, held, order);
        if !job.spec.one_zone {
            return fill(job, &suitable, None).map(|places| places.hosts);
        }
        // The gang begins with its last task: the zone with most images.
        let zones: BTreeSet<&Zone> = suitable.iter().map(|(_, m)| &m.zone).collect();
        let fills = zones
            .into_iter()
            .filter_map(|zone| fill(job, &suitable, Some(zone)));
        let best = fills.min_by_key(|places| places.late);
        best.map(|places| places.hosts)
    }

    /// Machines that a task of the gang may start on, the best first.
    fn suitable_machines(
        &self,
        now: Time,
        job: &Job,
        held: &BTreeSet<Host>,
        order: &Order,
    ) -> Vec<(Score, &Machine)> {
        let fresh = self.heard_within();
        let view = View::of(self, now, job, order, false);
        let mut suitable = vec![];
        for machine in self.machines.values().filter(|m| m.open(now, fresh)) {
            let candidate = Candidate {
                m: machine,
                free: machine.free(),
                span: machine.remaining(now),
                kept: held.contains(&machine.host),
            };
            if let Some(score) = view.score(&candidate) {
                suitable.push((score, machine));
            }
        }
        suitable.sort_by(|a, b| a.0.cmp(&b.0));
        suitable
    }

    /// Where a gang without room gets some soonest, and what is kept free for
    /// it there: machines that are empty or will be before one could be rented.
    fn target(&self, now: Time, job: &Job, held: &BTreeSet<Host>) -> Option<Target> {
        let zones = self.soon_free_by_zone(now, job, held);
        let tasks = job.spec.tasks as i64;
        if !job.spec.one_zone {
            let machines = zones.into_values().flatten().collect();
            return Some(Target::among(None, machines, tasks));
        }
        let targets = zones
            .into_iter()
            .map(|(zone, machines)| Target::among(Some(zone), machines, tasks));
        let hopeless =
            |target: &Target| target.to_rent > 0 && !self.rentable(now, job, target.zone.as_ref());
        targets.min_by_key(|target| (hopeless(target), target.to_rent, target.lacks))
    }

    /// By zone, all in which machines for the job can be rented included.
    fn soon_free_by_zone<'a>(
        &'a self,
        now: Time,
        job: &Job,
        held: &BTreeSet<Host>,
    ) -> BTreeMap<&'a Zone, Vec<SoonFree<'a>>> {
        let mut zones: BTreeMap<&Zone, Vec<SoonFree>> = BTreeMap::new();
        let overdue = job.overdue(now);
        for machine in self.machines.values() {
            let kept = held.contains(&machine.host) && !(overdue && machine.kept_long(now));
            if !allowed(&job.spec, machine) || kept || self.watch.silent(&machine.zone) {
                continue;
            }
            if let Some(soon_free) = self.soon_free(now, job, machine) {
                zones.entry(&machine.zone).or_default().push(soon_free);
            }
        }
        let rentable = self.flavors.values().flat_map(|flavor| &flavor.zones);
        let wanted = |zone: &&Zone| job.spec.zone.as_ref().is_none_or(|only| only == *zone);
        for zone in rentable.filter(wanted) {
            zones.entry(zone).or_default();
        }
        zones
    }

    /// Whether the machine has room, or will have some before one could be rented.
    fn soon_free<'a>(&self, now: Time, job: &Job, machine: &'a Machine) -> Option<SoonFree<'a>> {
        let whole = machine.capacity.times(&job.need);
        let soon_free = |after, tasks| SoonFree {
            machine,
            after,
            tasks,
        };
        if machine.life == Life::Booting {
            return Some(soon_free(ENDLESS, whole));
        }
        if !machine.open(now, self.heard_within()) {
            return None;
        }
        let free = machine.free().times(&job.need);
        if free > 0 {
            return Some(soon_free(Span::ZERO, free));
        }
        let boot = Span::secs(self.boot_s(&machine.build) * self.cfg.tuning.wait_share);
        let empty_after = machine.remaining(now).map_or(Span::ZERO, |(_, high)| high);
        let overruns = || machine.slots.values().any(|slot| slot.overruns(now));
        (empty_after < boot && !overruns()).then(|| soon_free(empty_after, whole))
    }

    /// A member ended without being done: the rest can't go on for long.
    pub(super) fn gang_lost_one(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.kind != JobKind::Gang {
            return;
        }
        if job.live.is_empty() {
            job.gang_ran = false;
        } else if job.gang_ran {
            self.stop_members(now, id, 0.0);
        }
    }

    /// All members are told to save and end, at the same time.
    pub(super) fn stop_gang(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let leeway_s = job.spec.save_s + SAVE_MARGIN_S;
        self.stop_members(now, id, leeway_s);
    }

    fn stop_members(&mut self, now: Time, id: &JobId, leeway_s: f64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let going_on = job.live.iter().filter(|(_, live)| live.stop.is_none());
        let tasks: Vec<_> = going_on.map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop(now, id, task, leeway_s);
        }
    }
}

/// A gang that waits takes a replacement with its number; of any other, what is still
/// on machines must be gone first.
fn takes_replacement(job: &Job, attempt: Attempt) -> bool {
    // After a failover it isn't known yet whether it waits or has run.
    let known = |live: &Live| !(live.sent && live.phase == Phase::Placed);
    let waits = |live: &Live| live.stop.is_none() && live.attempt == attempt && known(live);
    !job.gang_ran && job.live.values().all(waits)
}

/// Fills the machines in their order, those of one zone if it is given; none if they do
/// not hold all tasks.
fn fill(job: &Job, suitable: &[(Score, &Machine)], only: Option<&Zone>) -> Option<Places> {
    let tasks = job.spec.tasks as i64;
    let max_in_zone = if job.spec.spread {
        (tasks + 1) / 2
    } else {
        tasks
    };
    let mut in_zone: BTreeMap<&Zone, i64> = BTreeMap::new();
    let mut places = Places {
        late: 0,
        hosts: vec![],
    };
    for (score, machine) in suitable {
        if only.is_some_and(|zone| *zone != machine.zone) {
            continue;
        }
        let used = in_zone.entry(&machine.zone).or_default();
        let left = tasks - places.hosts.len() as i64;
        let fits = machine.free().times(&job.need);
        let count = fits.min(max_in_zone - *used).min(left).max(0);
        *used += count;
        places.late += if score.late { count } else { 0 };
        places
            .hosts
            .extend((0..count).map(|_| machine.host.clone()));
    }
    (places.hosts.len() as i64 == tasks).then_some(places)
}

impl Target {
    /// The machines that serve so many tasks soonest.
    fn among(zone: Option<&Zone>, mut machines: Vec<SoonFree>, tasks: i64) -> Target {
        machines.sort_by_key(|soon_free| (soon_free.after, Reverse(soon_free.tasks)));
        let mut target = Target {
            zone: zone.cloned(),
            lacks: tasks,
            to_rent: tasks,
            held: vec![],
        };
        for soon_free in machines {
            if target.to_rent <= 0 {
                break;
            }
            target.to_rent = (target.to_rent - soon_free.tasks).max(0);
            if soon_free.after != ENDLESS {
                target.lacks = target.to_rent;
            }
            target.held.push(soon_free.machine.host.clone());
        }
        target
    }
}

impl Job {
    /// Members of a gang that has run can't be replaced.
    pub(super) fn note_phase(&mut self, phase: Phase) {
        if self.spec.kind == JobKind::Gang && matches!(phase, Phase::Running | Phase::Saving) {
            self.gang_ran = true;
        }
    }
}
