//! Zone outages: collects evidence for each zone, closes and reopens machines for new
//! tasks, and releases machines of a lost zone where it pays to restart their tasks
//! elsewhere. A verdict on a zone never ends an attempt: attempts are proven gone as
//! usual.

use super::fleet::boot_timeout;
use super::job::{ActiveAttempt, Job, Phase};
use super::machine::{Machine, MachineState};
use super::{Config, Resources, Scheduler, estimate};
use crate::ids::{ControllerId, Host, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use hookworks_zones::{
    AttemptAtRisk, AttemptKind, Budget, Change, Evidence, LostMachine, State, Zones, plan_releases,
};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// How often releases from lost zones are planned.
const PLAN_INTERVAL: Span = Span(1_000_000);

/// What happened to the attempts of a zone since its latest outage began.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Tally {
    /// Attempts whose machines were released to restart them elsewhere.
    moved: u64,
    /// Attempts ended by lease expiry.
    ended: u64,
    /// Attempts that were still running when their machines returned.
    returned: u64,
    /// Machines released, for any reason.
    machines_given_back: u64,
}

/// The scheduler's state about zones.
pub(super) struct ZoneMonitor {
    pub zones: Zones,
    /// The zones of the other controllers.
    controllers: BTreeMap<ControllerId, Zone>,
    /// Direct calls that failed since the last update.
    failed_calls: BTreeMap<Zone, u32>,
    tally: BTreeMap<Zone, Tally>,
    next_plan_at: Time,
    /// Verdicts are acted on, not only shown.
    act_on_verdicts: bool,
}

impl ZoneMonitor {
    /// No zone has evidence at first.
    pub fn new(cfg: &Config, now: Time) -> ZoneMonitor {
        ZoneMonitor {
            zones: Zones::new(cfg.zones, now),
            controllers: cfg.controllers.clone(),
            act_on_verdicts: cfg.act_on_zones,
            failed_calls: BTreeMap::new(),
            tally: BTreeMap::new(),
            next_plan_at: now,
        }
    }

    /// A direct call to a machine of the zone failed.
    pub fn note_failed_call(&mut self, zone: &Zone) {
        *self.failed_calls.entry(zone.clone()).or_default() += 1;
    }

    /// Counts attempts of the zone ended by lease expiry.
    pub fn note_lease_expired(&mut self, zone: &Zone, attempts: usize) {
        if self.zones.last_heard_before_outage(zone).is_some() {
            self.tally.entry(zone.clone()).or_default().ended += attempts as u64;
        }
    }

    /// Counts a released machine of the zone.
    pub fn note_released(&mut self, zone: &Zone) {
        if self.zones.last_heard_before_outage(zone).is_some() {
            self.tally
                .entry(zone.clone())
                .or_default()
                .machines_given_back += 1;
        }
    }

    /// The share of the zone's machines that may take new tasks.
    pub fn usable_share(&self, now: Time, zone: &Zone) -> f64 {
        match self.act_on_verdicts {
            true => self.zones.usable_share(now, zone),
            false => 1.0,
        }
    }

    /// Whether nothing is heard from the zone, so that it gets no new tasks.
    pub fn is_silent(&self, zone: &Zone) -> bool {
        self.act_on_verdicts && self.zones.state(zone).silent()
    }
}

impl Scheduler {
    /// Collects new evidence for all zones and acts on it.
    pub(super) fn update_zones(&mut self, now: Time) {
        // A leader that can't prove its leadership may be partitioned itself.
        if !self.may_start(now) {
            return;
        }
        let evidence = self.collect_evidence(now);
        for change in self.zone_monitor.zones.update(now, evidence) {
            self.zone_changed(now, &change);
        }
        if !self.zone_monitor.act_on_verdicts {
            return;
        }
        if self.zone_monitor.zones.any_unhealthy() || self.machines.values().any(|m| m.closed) {
            self.close_and_reopen_machines(now);
        }
        if now >= self.zone_monitor.next_plan_at {
            self.zone_monitor.next_plan_at = now + PLAN_INTERVAL;
            self.release_from_lost_zones(now);
        }
    }

    fn zone_changed(&mut self, now: Time, change: &Change) {
        let evidence = &change.evidence;
        tracing::info!(zone = %change.zone, from = change.from.as_str(), to = change.to.as_str(),
            lasted_s = change.previous_duration.as_secs(), machines = evidence.machines, overdue = evidence.overdue,
            controllers = evidence.controllers, away = evidence.unreachable_controllers, unanswered = evidence.failed_calls,
            late_boots = evidence.overdue_boots, tally = ?self.zone_monitor.tally.get(&change.zone), "zone state changed");
        if change.to == State::Doubt && change.from == State::Well {
            self.zone_monitor
                .tally
                .insert(change.zone.clone(), Tally::default());
        }
        let quiet = self.zone_monitor.zones.limits().quiet_after;
        let heard = evidence.last_heard.is_some_and(|at| now - at < quiet);
        if self.zone_monitor.act_on_verdicts && change.to.silent() && !heard {
            self.raise_fence(now, &change.zone);
        }
        self.replan = true;
    }

    fn collect_evidence(&mut self, now: Time) -> BTreeMap<Zone, Evidence> {
        let overdue_after = self.zone_monitor.zones.limits().overdue_after();
        let mut all: BTreeMap<Zone, Evidence> = BTreeMap::new();
        for machine_type in self.machine_types.values() {
            for zone in &machine_type.zones {
                all.entry(zone.clone()).or_default();
            }
        }
        for (label, zone) in &self.zone_monitor.controllers {
            let evidence = all.entry(zone.clone()).or_default();
            evidence.controllers += 1;
            let since = self.fleet.unreachable_controllers.get(label);
            evidence.unreachable_controllers +=
                since.is_some_and(|t| now - *t < Span::secs(1.0)) as u32;
        }
        for (zone, failed) in std::mem::take(&mut self.zone_monitor.failed_calls) {
            all.entry(zone).or_default().failed_calls += failed;
        }
        for machine in self.machines.values() {
            if machine.zone.as_str().is_empty() {
                continue;
            }
            if !all.contains_key(&machine.zone) {
                all.insert(machine.zone.clone(), Evidence::default());
            }
            let Some(evidence) = all.get_mut(&machine.zone) else {
                continue;
            };
            match machine.state {
                MachineState::Booting => {
                    evidence.overdue_boots += self.is_boot_overdue(now, machine) as u32
                }
                MachineState::Up => {
                    evidence.machines += 1;
                    evidence.reported += machine.last_report.is_some() as u32;
                    let outage = self
                        .zone_monitor
                        .zones
                        .last_heard_before_outage(&machine.zone);
                    evidence.returned += outage.is_some_and(|t| machine.last_contact > t) as u32;
                    evidence.last_heard = evidence.last_heard.max(machine.last_report);
                    if now - machine.last_contact.max(self.resumed_at) > overdue_after {
                        evidence.overdue += 1;
                        evidence.overdue_last_heard = Some(match evidence.overdue_last_heard {
                            None => (machine.last_contact, machine.last_contact),
                            Some((first, last)) => (
                                first.min(machine.last_contact),
                                last.max(machine.last_contact),
                            ),
                        });
                    }
                }
                MachineState::Leaving { .. } => {}
            }
        }
        all
    }

    /// Whether the machine has exceeded its boot timeout.
    fn is_boot_overdue(&self, now: Time, machine: &Machine) -> bool {
        let boot = self
            .machine_types
            .get(&machine.build)
            .map_or(60.0, |f| f.boot_s);
        now - machine.rented_at > boot_timeout(boot)
    }

    /// Closes machines of zones in an outage for new tasks, and gradually reopens those
    /// of a returning zone as they are heard.
    fn close_and_reopen_machines(&mut self, now: Time) {
        let zones = &self.zone_monitor.zones;
        // The most machines that may be open in each returning zone.
        let mut max_open: BTreeMap<&Zone, usize> = BTreeMap::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.state == MachineState::Up)
        {
            if zones.state(&machine.zone) == State::Returning {
                *max_open.entry(&machine.zone).or_default() += 1;
            }
        }
        for (zone, count) in &mut max_open {
            *count = (*count as f64 * zones.usable_share(now, zone)).ceil() as usize;
        }
        for machine in self.machines.values() {
            let back = zones
                .last_heard_before_outage(&machine.zone)
                .is_none_or(|t| machine.last_contact > t);
            if back
                && !machine.closed
                && let Some(count) = max_open.get_mut(&machine.zone)
            {
                *count = count.saturating_sub(1);
            }
        }
        let (mut closed, mut opened) = (vec![], vec![]);
        for machine in self.machines.values() {
            let back = zones
                .last_heard_before_outage(&machine.zone)
                .is_none_or(|t| machine.last_contact > t);
            match (machine.closed, back) {
                (false, false) => closed.push(machine.host.clone()),
                (true, true) => {
                    if let Some(count) = max_open.get_mut(&machine.zone) {
                        if *count == 0 {
                            continue;
                        }
                        *count -= 1;
                    }
                    opened.push(machine.host.clone());
                }
                _ => {}
            }
        }
        for host in opened {
            let Some(machine) = self.machines.get_mut(&host) else {
                continue;
            };
            machine.closed = false;
            // It could not take tasks while it was closed, so its idle time starts now.
            machine.idle_since = now;
            let (zone, count) = (machine.zone.clone(), machine.allocations.len() as u64);
            self.zone_monitor.tally.entry(zone).or_default().returned += count;
            self.replan = true;
        }
        for host in closed {
            self.close_machine(now, &host);
        }
    }

    /// Closes a machine for new tasks. Attempts whose start was never sent can start
    /// elsewhere at once.
    fn close_machine(&mut self, now: Time, host: &Host) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.closed = true;
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            if self
                .active_attempt_mut(&task)
                .is_some_and(|active| !active.run_sent)
            {
                self.attempt_gone(now, &task);
            }
        }
    }

    /// Releases machines of lost zones whose tasks are better restarted elsewhere,
    /// within the free capacity there.
    fn release_from_lost_zones(&mut self, now: Time) {
        let zones = &self.zone_monitor.zones;
        let lost: Vec<(Zone, Span)> = zones
            .views(now)
            .into_iter()
            .filter(|view| view.state == State::Lost)
            .map(|view| {
                let known = self.fences.inherited_since(&view.zone).unwrap_or(now);
                let silent = zones.silent_for(now, &view.zone).max(now - known);
                (view.zone, silent)
            })
            .collect();
        if lost.is_empty() {
            return;
        }
        let mut budget = self.capacity_elsewhere(now);
        for (zone, silent) in lost {
            let mut lost_machines = vec![];
            for machine in self.machines.values() {
                if machine.zone == zone
                    && machine.state == MachineState::Up
                    && machine.closed
                    && !machine.allocations.is_empty()
                {
                    lost_machines.push(self.lost_machine(now, machine));
                }
            }
            let candidates = lost_machines.len();
            let plan = plan_releases(silent, lost_machines, budget);
            if candidates > 0 {
                tracing::info!(%zone, silent_s = silent.as_secs(), machines = candidates, worth_moving = plan.worthwhile,
                    chosen = plan.machines.len(), free = budget.free, made = budget.preemptible, "planned releases from a lost zone");
            }
            budget = plan.remaining;
            let mut moved = 0;
            for host in plan.machines {
                let Some(machine) = self.machines.get_mut(&host) else {
                    continue;
                };
                moved += machine.allocations.len() as u64;
                machine.state = MachineState::Leaving { next: now };
                tracing::info!(%host, %zone, tasks = machine.allocations.len(), "releasing machine of a lost zone to restart its tasks elsewhere");
            }
            let tally = self.zone_monitor.tally.entry(zone).or_default();
            tally.moved += moved;
        }
    }

    fn lost_machine(&self, now: Time, machine: &Machine) -> LostMachine<Host> {
        let lease = self.lease_bound();
        let at_risk = |task: &TaskId| {
            let job = self.jobs.get(&task.job)?;
            let active = job.active.get(&task.index)?;
            Some(self.attempt_at_risk(now, machine, job, active))
        };
        LostMachine {
            machine: machine.host.clone(),
            attempts: machine.allocations.keys().filter_map(at_risk).collect(),
            lease_remaining: machine.last_renewal + lease - now,
            boot_time: Span::secs(self.boot_s(&machine.build)),
        }
    }

    fn attempt_at_risk(
        &self,
        now: Time,
        machine: &Machine,
        job: &Job,
        active: &ActiveAttempt,
    ) -> AttemptAtRisk {
        let machine_share = job.need.dominant_share_of(&machine.capacity);
        let estimate_total = estimate::of(job);
        let ran_for = match (active.phase, active.running_since) {
            (Phase::Running, Some(since)) => now - since,
            // For attempts started by an earlier leader only the placement time is
            // known.
            _ if active.inherited => now - active.placed,
            _ => Span::ZERO,
        };
        let checkpoint_s = job.spec.checkpoint_s;
        let unsaved_work = match checkpoint_s > 0.0 {
            true => Span::secs(ran_for.as_secs() % checkpoint_s),
            false => ran_for,
        };
        let gang = job.spec.kind == JobKind::Gang;
        // A gang runs only as a whole: one that has lost a member or is being stopped
        // only waits for proof that the other members have ended.
        let complete = job.active.len() as u32 == job.spec.tasks
            && job.active.values().all(|active| active.stop.is_none());
        let kind = match job.spec.kind {
            JobKind::Service => AttemptKind::Replica,
            JobKind::Gang if !complete || active.stop.is_some() => AttemptKind::BrokenGang,
            _ if job.priority() <= Priority::High || self.is_quick(&job.spec.class) => {
                AttemptKind::Urgent
            }
            _ => AttemptKind::Other,
        };
        AttemptAtRisk {
            kind,
            unsaved_work: match gang {
                true => Span(unsaved_work.0 * job.spec.tasks as u64),
                false => unsaved_work,
            },
            rerun_time: match checkpoint_s > 0.0 {
                true => (estimate_total - ran_for) + unsaved_work,
                false => estimate_total,
            },
            remaining: estimate_total - ran_for,
            due_in: self.next_deadline(now, job).map(|deadline| deadline - now),
            machine_share,
        }
    }

    /// The capacity that healthy zones can offer soon, beyond the tasks already
    /// waiting.
    fn capacity_elsewhere(&self, now: Time) -> Budget {
        let fresh = self.max_heartbeat_age();
        let headroom = self.headroom(now);
        let mut free = Resources::default();
        let (mut total, mut open_machines) = (Resources::default(), 0u32);
        let (mut preemptible, mut freed_soon) = (Resources::default(), Resources::default());
        let mut horizon = Span::secs(1.0);
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.accepts_tasks(now, fresh))
        {
            free += machine.free().at_least_zero();
            total += machine.capacity;
            open_machines += 1;
            let soon = Span::secs(self.boot_s(&machine.build) * self.config.tuning.wait_share);
            horizon = horizon.max(soon);
            for (task, allocation) in &machine.allocations {
                if allocation.remaining(now) < soon {
                    freed_soon += allocation.need;
                } else if self.jobs.get(&task.job).is_some_and(may_be_preempted) {
                    preemptible += allocation.need;
                }
            }
        }
        for s in &self.fleet.shortages {
            if let Some(j) = self.jobs.get(&s.job) {
                free -= j.need.scaled(s.tasks);
            }
        }
        let free = free.minus(&headroom.all).at_least_zero();
        // Half of the resources freed by running tasks until the next plan is left to
        // tasks already waiting.
        let plans = 2.0 * horizon.as_secs() / PLAN_INTERVAL.as_secs();
        let freed_per_plan = freed_soon.smallest_share_of(&total) / plans;
        Budget {
            free: open_machines as f64 * (free.smallest_share_of(&total) + freed_per_plan),
            preemptible: open_machines as f64 * preemptible.smallest_share_of(&total),
        }
    }

    /// The longest time from an answer to a heartbeat until the worker's lease has
    /// expired.
    pub(super) fn lease_bound(&self) -> Span {
        self.config.workers.lease_bound()
    }

    /// Whether silent machines of this zone are kept: during an outage, for as long as
    /// renting replacements would cost more.
    pub(super) fn retains_zone(&self, now: Time, zone: &Zone) -> bool {
        let retain_for = self.zone_monitor.zones.limits().retain_for;
        self.zone_monitor.is_silent(zone)
            && self.zone_monitor.zones.silent_for(now, zone) < retain_for
    }

    /// The zones whose silent machines are kept.
    pub(super) fn retained_zones(&self, now: Time) -> HashSet<Zone> {
        let all = self
            .zone_monitor
            .zones
            .views(now)
            .into_iter()
            .map(|view| view.zone);
        all.filter(|zone| self.retains_zone(now, zone)).collect()
    }

    /// The zones part of the operators' overview.
    pub(super) fn zones_overview(&self, now: Time) -> Vec<serde_json::Value> {
        #[derive(Default, Serialize)]
        struct Counts {
            up: u32,
            booting: u32,
            leaving: u32,
            shut: u32,
            tasks: usize,
            tasks_out_of_reach: usize,
            tasks_waiting_for_it: u32,
        }
        let mut counts: BTreeMap<&Zone, Counts> = BTreeMap::new();
        for machine in self.machines.values() {
            let counted = counts.entry(&machine.zone).or_default();
            match machine.state {
                MachineState::Up => counted.up += 1,
                MachineState::Booting => counted.booting += 1,
                MachineState::Leaving { .. } => counted.leaving += 1,
            }
            counted.shut += machine.closed as u32;
            counted.tasks += machine.allocations.len();
            if self.zone_monitor.is_silent(&machine.zone) {
                counted.tasks_out_of_reach += machine.allocations.len();
            }
        }
        for job in self.jobs.values() {
            if let Some(zone) = &job.spec.zone {
                counts.entry(zone).or_default().tasks_waiting_for_it += job.pending();
            }
        }
        let entry_of = |view: hookworks_zones::View| {
            let mut entry = serde_json::json!(view);
            entry["work"] = serde_json::json!(counts.get(&view.zone));
            entry["since_trouble"] = serde_json::json!(self.zone_monitor.tally.get(&view.zone));
            entry
        };
        self.zone_monitor
            .zones
            .views(now)
            .into_iter()
            .map(entry_of)
            .collect()
    }
}

/// Whether production and urgent tasks may preempt this job.
fn may_be_preempted(job: &Job) -> bool {
    job.spec.kind == JobKind::Array && job.priority() > Priority::High
}
