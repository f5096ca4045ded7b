//! Gang scheduling: resources for all tasks are reserved before the first task starts,
//! all tasks share one attempt number, and they end together.

use super::Scheduler;
use super::fleet::Shortage;
use super::job::{ActiveAttempt, Job, Phase};
use super::machine::{ENDLESS, Machine, MachineState};
use super::order::Order;
use super::place::{Candidate, JobView, Score, may_run_on};
use crate::ids::{Attempt, Host, JobId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Members of a stopped gang get this many seconds in addition to the time for saving.
const SAVE_MARGIN_S: f64 = 1.0;

/// Where a gang will get machines, and how many are yet to be rented there.
struct Target {
    /// The only zone whose machines are of use, if there is one.
    zone: Option<Zone>,
    /// Tasks for which no machine is up yet.
    lacks: i64,
    /// Tasks for which no machine is up or boots.
    to_rent: i64,
    /// Machines that are reserved for the gang.
    reserved: Vec<Host>,
}

/// A machine that may soon run tasks of a gang.
struct SoonFree<'a> {
    machine: &'a Machine,
    /// The time until it can; [`ENDLESS`] for a machine that boots.
    after: Span,
    /// The number of tasks that it can run.
    tasks: i64,
}

/// The machines for a whole gang, one entry for each task.
struct GangMachines {
    /// Tasks whose image fetch takes longer than an objective allows.
    late_images: i64,
    hosts: Vec<Host>,
}

impl Scheduler {
    /// Starts the whole gang, or replaces lost members of a gang that has not run yet.
    /// Returns the tasks that lack resources.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        id: &JobId,
        reserved: &mut BTreeSet<Host>,
        order: &Order,
    ) -> Option<Shortage> {
        let job = self.jobs.get(id)?;
        let pending = job.pending() as i64;
        if self
            .teams
            .remaining(&job.spec.team)
            .tasks_that_fit(&job.need)
            < pending
        {
            return None;
        }
        if let Some(member) = job.active.values().next() {
            let attempt = member.attempt;
            if !takes_replacement(job, attempt) {
                return None;
            }
            return self.replace_members(now, id, pending, attempt, reserved, order);
        }
        if let Some(hosts) = self.machines_for_all(now, id, reserved, order) {
            self.start_gang(now, id, hosts);
            return None;
        }
        let target = self.target(now, job, reserved)?;
        let zone = target.zone.as_ref();
        let not_rentable = target.to_rent > 0 && !self.rentable(now, job, zone);
        if !not_rentable || reserved.is_empty() {
            // Of the gangs for which no machine can be rented, only one at a time
            // reserves machines.
            reserved.extend(target.reserved);
        }
        Some(Shortage {
            job: id.clone(),
            tasks: target.lacks,
            zone: target.zone,
        })
    }

    /// Starts replacements for the lost members of a gang that has not run yet, under
    /// its attempt number.
    fn replace_members(
        &mut self,
        now: Time,
        id: &JobId,
        pending: i64,
        attempt: Attempt,
        reserved: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Shortage> {
        for missing in (1..=pending).rev() {
            let Some(host) = self.choose(now, id, reserved, order) else {
                return Some(Shortage::anywhere(id, missing));
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

    /// Machines for every task of the gang, the best first; none if there are too few.
    fn machines_for_all(
        &self,
        now: Time,
        id: &JobId,
        reserved: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Vec<Host>> {
        let job = self.jobs.get(id)?;
        let candidates = self.suitable_machines(now, job, reserved, order);
        if !job.spec.one_zone {
            return fill(job, &candidates, None).map(|machines| machines.hosts);
        }
        // A gang starts together with its slowest member, so the zone with the fewest
        // late images is best.
        let zones: BTreeSet<&Zone> = candidates.iter().map(|(_, m)| &m.zone).collect();
        let fills = zones
            .into_iter()
            .filter_map(|zone| fill(job, &candidates, Some(zone)));
        let best = fills.min_by_key(|machines| machines.late_images);
        best.map(|machines| machines.hosts)
    }

    /// The machines on which a task of the gang may start, the best first.
    fn suitable_machines(
        &self,
        now: Time,
        job: &Job,
        reserved: &BTreeSet<Host>,
        order: &Order,
    ) -> Vec<(Score, &Machine)> {
        let max_age = self.max_heartbeat_age();
        let view = JobView::of(self, now, job, order, false);
        let mut suitable = vec![];
        for machine in self
            .machines
            .values()
            .filter(|m| m.accepts_tasks(now, max_age))
        {
            let candidate = Candidate {
                machine,
                free: machine.free(),
                remaining: machine.remaining_range(now),
                reserved: reserved.contains(&machine.host),
            };
            if let Some(score) = view.score(&candidate) {
                suitable.push((score, machine));
            }
        }
        suitable.sort_by(|a, b| a.0.cmp(&b.0));
        suitable
    }

    /// Where a gang that lacks machines gets them soonest, and what is reserved for it
    /// there: machines that are empty, or will be before one could be rented.
    fn target(&self, now: Time, job: &Job, reserved: &BTreeSet<Host>) -> Option<Target> {
        let zones = self.soon_free_by_zone(now, job, reserved);
        let tasks = job.spec.tasks as i64;
        if !job.spec.one_zone {
            let machines = zones.into_values().flatten().collect();
            return Some(Target::among(None, machines, tasks));
        }
        let targets = zones
            .into_iter()
            .map(|(zone, machines)| Target::among(Some(zone), machines, tasks));
        let not_rentable =
            |target: &Target| target.to_rent > 0 && !self.rentable(now, job, target.zone.as_ref());
        targets.min_by_key(|target| (not_rentable(target), target.to_rent, target.lacks))
    }

    /// The machines that are free soon, by zone; includes every zone in which machines
    /// for the job can be rented.
    fn soon_free_by_zone<'a>(
        &'a self,
        now: Time,
        job: &Job,
        reserved: &BTreeSet<Host>,
    ) -> BTreeMap<&'a Zone, Vec<SoonFree<'a>>> {
        let mut zones: BTreeMap<&Zone, Vec<SoonFree>> = BTreeMap::new();
        let waited_too_long = job.waited_too_long(now);
        for machine in self.machines.values() {
            let is_reserved = reserved.contains(&machine.host)
                && !(waited_too_long && machine.reservation_expired(now));
            if !may_run_on(&job.spec, machine)
                || is_reserved
                || self.zone_monitor.is_silent(&machine.zone)
            {
                continue;
            }
            if let Some(soon_free) = self.soon_free(now, job, machine) {
                zones.entry(&machine.zone).or_default().push(soon_free);
            }
        }
        let rentable = self
            .machine_types
            .values()
            .flat_map(|machine_type| &machine_type.zones);
        let is_allowed = |zone: &&Zone| job.spec.zone.as_ref().is_none_or(|only| only == *zone);
        for zone in rentable.filter(is_allowed) {
            zones.entry(zone).or_default();
        }
        zones
    }

    /// Whether the machine has free resources, or will have some before one could be
    /// rented.
    fn soon_free<'a>(&self, now: Time, job: &Job, machine: &'a Machine) -> Option<SoonFree<'a>> {
        let tasks_if_empty = machine.capacity.tasks_that_fit(&job.need);
        let soon_free = |after, tasks| SoonFree {
            machine,
            after,
            tasks,
        };
        if machine.state == MachineState::Booting {
            return Some(soon_free(ENDLESS, tasks_if_empty));
        }
        if !machine.accepts_tasks(now, self.max_heartbeat_age()) {
            return None;
        }
        let free_tasks = machine.free().tasks_that_fit(&job.need);
        if free_tasks > 0 {
            return Some(soon_free(Span::ZERO, free_tasks));
        }
        let boot_wait = Span::secs(self.boot_s(&machine.build) * self.config.tuning.wait_share);
        let empty_after = machine
            .remaining_range(now)
            .map_or(Span::ZERO, |(_, high)| high);
        let any_overran = || {
            machine
                .allocations
                .values()
                .any(|allocation| allocation.overran_estimate(now))
        };
        (empty_after < boot_wait && !any_overran()).then(|| soon_free(empty_after, tasks_if_empty))
    }

    /// A member ended without being done: the other members can't continue for long.
    pub(super) fn gang_member_lost(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.kind != JobKind::Gang {
            return;
        }
        if job.active.is_empty() {
            job.gang_ran = false;
        } else if job.gang_ran {
            self.stop_members(now, id, 0.0);
        }
    }

    /// Stops all members at the same time, with time to save.
    pub(super) fn stop_gang(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let grace_s = job.spec.save_s + SAVE_MARGIN_S;
        self.stop_members(now, id, grace_s);
    }

    fn stop_members(&mut self, now: Time, id: &JobId, grace_s: f64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let running = job
            .active
            .iter()
            .filter(|(_, member)| member.stop.is_none());
        let tasks: Vec<_> = running.map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop_attempt(now, id, task, grace_s);
        }
    }
}

/// Whether a lost member may be replaced under the attempt number of the gang: only
/// while the gang has not run. In any other case all its attempts must end first.
fn takes_replacement(job: &Job, attempt: Attempt) -> bool {
    // After a failover it isn't known yet whether an attempt waits or has run.
    let state_known = |member: &ActiveAttempt| !(member.run_sent && member.phase == Phase::Placed);
    let is_waiting = |member: &ActiveAttempt| {
        member.stop.is_none() && member.attempt == attempt && state_known(member)
    };
    !job.gang_ran && job.active.values().all(is_waiting)
}

/// Assigns the tasks to the machines in their order, only in one zone if it is given;
/// none if not all tasks fit.
fn fill(job: &Job, suitable: &[(Score, &Machine)], only: Option<&Zone>) -> Option<GangMachines> {
    let tasks = job.spec.tasks as i64;
    let max_in_zone = if job.spec.spread {
        (tasks + 1) / 2
    } else {
        tasks
    };
    let mut in_zone: BTreeMap<&Zone, i64> = BTreeMap::new();
    let mut machines = GangMachines {
        late_images: 0,
        hosts: vec![],
    };
    for (score, machine) in suitable {
        if only.is_some_and(|zone| *zone != machine.zone) {
            continue;
        }
        let used_in_zone = in_zone.entry(&machine.zone).or_default();
        let unassigned = tasks - machines.hosts.len() as i64;
        let free_tasks = machine.free().tasks_that_fit(&job.need);
        let count = free_tasks
            .min(max_in_zone - *used_in_zone)
            .min(unassigned)
            .max(0);
        *used_in_zone += count;
        machines.late_images += if score.image_late { count } else { 0 };
        machines
            .hosts
            .extend((0..count).map(|_| machine.host.clone()));
    }
    (machines.hosts.len() as i64 == tasks).then_some(machines)
}

impl Target {
    /// The target that uses the machines that are free soonest.
    fn among(zone: Option<&Zone>, mut machines: Vec<SoonFree>, tasks: i64) -> Target {
        machines.sort_by_key(|soon_free| (soon_free.after, Reverse(soon_free.tasks)));
        let mut result = Target {
            zone: zone.cloned(),
            lacks: tasks,
            to_rent: tasks,
            reserved: vec![],
        };
        for soon_free in machines {
            if result.to_rent <= 0 {
                break;
            }
            result.to_rent = (result.to_rent - soon_free.tasks).max(0);
            if soon_free.after != ENDLESS {
                result.lacks = result.to_rent;
            }
            result.reserved.push(soon_free.machine.host.clone());
        }
        result
    }
}

impl Job {
    /// Notes that the gang has run: its members can't be replaced any more.
    pub(super) fn update_gang_ran(&mut self, phase: Phase) {
        if self.spec.kind == JobKind::Gang && matches!(phase, Phase::Running | Phase::Saving) {
            self.gang_ran = true;
        }
    }
}
