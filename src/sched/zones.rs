//! The fleet in zones: gathers what is known of each, closes and opens their
//! machines, and gives back those of a lost zone whose work is worth starting
//! elsewhere. What a verdict means for an attempt is nothing: proof is as ever.

use super::fleet::boot_timeout;
use super::job::{ActiveAttempt, Job, Phase};
use super::machine::{Machine, MachineState};
use super::{Config, Resources, Scheduler, estimate};
use crate::ids::{Host, Label, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{Kind, Priority};
use hookworks_zones::{
    AttemptAtRisk, AttemptKind, Budget, Change, Evidence, LostMachine, State, Zones, plan_releases,
};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// What is worth moving is looked into so often.
const PLAN_INTERVAL: Span = Span(1_000_000);

/// What became of the work of a zone, since its latest trouble began.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Tally {
    /// Attempts whose machines were given back for it.
    moved: u64,
    /// Attempts that their leases ended.
    ended: u64,
    /// Attempts that went on.
    returned: u64,
    /// Machines given back, for whatever reason.
    machines_given_back: u64,
}

/// What the scheduler keeps of zones.
pub(super) struct ZoneMonitor {
    pub zones: Zones,
    /// Where the other controllers are.
    controllers: BTreeMap<Label, Zone>,
    /// Direct calls that failed since the last look.
    failed_calls: BTreeMap<Zone, u32>,
    tally: BTreeMap<Zone, Tally>,
    next_plan_at: Time,
    /// Verdicts are acted on.
    act_on_verdicts: bool,
}

impl ZoneMonitor {
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

    pub fn note_failed_call(&mut self, z: &Zone) {
        *self.failed_calls.entry(z.clone()).or_default() += 1;
    }

    /// Attempts there were ended by their machine's lease.
    pub fn note_lease_expired(&mut self, z: &Zone, n: usize) {
        if self.zones.last_heard_before_outage(z).is_some() {
            self.tally.entry(z.clone()).or_default().ended += n as u64;
        }
    }

    /// A machine there has been given back.
    pub fn note_released(&mut self, z: &Zone) {
        if self.zones.last_heard_before_outage(z).is_some() {
            self.tally.entry(z.clone()).or_default().machines_given_back += 1;
        }
    }

    /// The share of the zone that may be used.
    pub fn usable_share(&self, now: Time, z: &Zone) -> f64 {
        match self.act_on_verdicts {
            true => self.zones.usable_share(now, z),
            false => 1.0,
        }
    }

    /// It gets nothing new: nothing is heard from there.
    pub fn is_silent(&self, z: &Zone) -> bool {
        self.act_on_verdicts && self.zones.state(z).silent()
    }
}

impl Scheduler {
    /// New evidence of all zones, and what follows from it.
    pub(super) fn update_zones(&mut self, now: Time) {
        // A leader that can't prove that it is one may be cut off itself.
        if !self.may_start(now) {
            return;
        }
        let seen = self.collect_evidence(now);
        for c in self.zone_monitor.zones.update(now, seen) {
            self.zone_changed(now, &c);
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

    fn zone_changed(&mut self, now: Time, c: &Change) {
        let e = &c.evidence;
        tracing::info!(zone = %c.zone, from = c.from.as_str(), to = c.to.as_str(),
            lasted_s = c.previous_duration.as_secs(), machines = e.machines, overdue = e.overdue,
            controllers = e.controllers, away = e.unreachable_controllers, unanswered = e.failed_calls,
            late_boots = e.overdue_boots, tally = ?self.zone_monitor.tally.get(&c.zone), "zone");
        if c.to == State::Doubt && c.from == State::Well {
            self.zone_monitor
                .tally
                .insert(c.zone.clone(), Tally::default());
        }
        let quiet = self.zone_monitor.zones.limits().quiet_after;
        let heard = e.last_heard.is_some_and(|t| now - t < quiet);
        if self.zone_monitor.act_on_verdicts && c.to.silent() && !heard {
            self.raise_fence(now, &c.zone);
        }
        self.replan = true;
    }

    fn collect_evidence(&mut self, now: Time) -> BTreeMap<Zone, Evidence> {
        let late = self.zone_monitor.zones.limits().overdue_after();
        let mut all: BTreeMap<Zone, Evidence> = BTreeMap::new();
        for f in self.machine_types.values() {
            for z in &f.zones {
                all.entry(z.clone()).or_default();
            }
        }
        for (label, z) in &self.zone_monitor.controllers {
            let e = all.entry(z.clone()).or_default();
            e.controllers += 1;
            let away = self.fleet.unreachable_controllers.get(label);
            e.unreachable_controllers += away.is_some_and(|t| now - *t < Span::secs(1.0)) as u32;
        }
        for (z, n) in std::mem::take(&mut self.zone_monitor.failed_calls) {
            all.entry(z).or_default().failed_calls += n;
        }
        for m in self.machines.values() {
            if m.zone.as_str().is_empty() {
                continue;
            }
            if !all.contains_key(&m.zone) {
                all.insert(m.zone.clone(), Evidence::default());
            }
            let Some(e) = all.get_mut(&m.zone) else {
                continue;
            };
            match m.state {
                MachineState::Booting => e.overdue_boots += self.is_boot_overdue(now, m) as u32,
                MachineState::Up => {
                    e.machines += 1;
                    e.reported += m.last_report.is_some() as u32;
                    let gone = self.zone_monitor.zones.last_heard_before_outage(&m.zone);
                    e.returned += gone.is_some_and(|t| m.last_contact > t) as u32;
                    e.last_heard = e.last_heard.max(m.last_report);
                    if now - m.last_contact.max(self.resumed_at) > late {
                        e.overdue += 1;
                        e.overdue_last_heard = Some(match e.overdue_last_heard {
                            None => (m.last_contact, m.last_contact),
                            Some((a, b)) => (a.min(m.last_contact), b.max(m.last_contact)),
                        });
                    }
                }
                MachineState::Leaving { .. } => {}
            }
        }
        all
    }

    /// It should have come up long ago.
    fn is_boot_overdue(&self, now: Time, m: &Machine) -> bool {
        let boot = self.machine_types.get(&m.build).map_or(60.0, |f| f.boot_s);
        now - m.rented_at > boot_timeout(boot)
    }

    /// Machines of zones in trouble take nothing new; those of one that comes
    /// back open by degrees, as they are heard.
    fn close_and_reopen_machines(&mut self, now: Time) {
        let zones = &self.zone_monitor.zones;
        // How many of each zone that comes back may be open.
        let mut most: BTreeMap<&Zone, usize> = BTreeMap::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up)
        {
            if zones.state(&m.zone) == State::Returning {
                *most.entry(&m.zone).or_default() += 1;
            }
        }
        for (z, n) in &mut most {
            *n = (*n as f64 * zones.usable_share(now, z)).ceil() as usize;
        }
        for m in self.machines.values() {
            let back = zones
                .last_heard_before_outage(&m.zone)
                .is_none_or(|t| m.last_contact > t);
            if back
                && !m.closed
                && let Some(n) = most.get_mut(&m.zone)
            {
                *n = n.saturating_sub(1);
            }
        }
        let (mut closed, mut opened) = (vec![], vec![]);
        for m in self.machines.values() {
            let back = zones
                .last_heard_before_outage(&m.zone)
                .is_none_or(|t| m.last_contact > t);
            match (m.closed, back) {
                (false, false) => closed.push(m.host.clone()),
                (true, true) => {
                    if let Some(n) = most.get_mut(&m.zone) {
                        if *n == 0 {
                            continue;
                        }
                        *n -= 1;
                    }
                    opened.push(m.host.clone());
                }
                _ => {}
            }
        }
        for h in opened {
            let Some(m) = self.machines.get_mut(&h) else {
                continue;
            };
            m.closed = false;
            // It had no chance to be anything but idle.
            m.idle_since = now;
            let (z, n) = (m.zone.clone(), m.allocations.len() as u64);
            self.zone_monitor.tally.entry(z).or_default().returned += n;
            self.replan = true;
        }
        for h in closed {
            self.close_machine(now, &h);
        }
    }

    /// The machine gets nothing new. What was to start there and has not been
    /// told to can start elsewhere at once.
    fn close_machine(&mut self, now: Time, host: &Host) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.closed = true;
        let tasks: Vec<TaskId> = m.allocations.keys().cloned().collect();
        for t in tasks {
            if self.active_attempt_mut(&t).is_some_and(|l| !l.run_sent) {
                self.attempt_gone(now, &t);
            }
        }
    }

    /// Gives back what is better started elsewhere, as far as that can be.
    fn release_from_lost_zones(&mut self, now: Time) {
        let zones = &self.zone_monitor.zones;
        let lost: Vec<(Zone, Span)> = zones
            .views(now)
            .into_iter()
            .filter(|v| v.state == State::Lost)
            .map(|v| {
                let known = self.fences.inherited_since(&v.zone).unwrap_or(now);
                let silent = zones.silent_for(now, &v.zone).max(now - known);
                (v.zone, silent)
            })
            .collect();
        if lost.is_empty() {
            return;
        }
        let mut budget = self.capacity_elsewhere(now);
        for (zone, silent) in lost {
            let mut cases = vec![];
            for m in self.machines.values() {
                if m.zone == zone
                    && m.state == MachineState::Up
                    && m.closed
                    && !m.allocations.is_empty()
                {
                    cases.push(self.lost_machine(now, m));
                }
            }
            let n = cases.len();
            let chosen = plan_releases(silent, cases, budget);
            if n > 0 {
                tracing::info!(%zone, silent_s = silent.as_secs(), machines = n, worth_moving = chosen.worthwhile,
                    chosen = chosen.machines.len(), free = budget.free, made = budget.preemptible, "lost zone");
            }
            budget = chosen.remaining;
            let mut moved = 0;
            for h in chosen.machines {
                let Some(m) = self.machines.get_mut(&h) else {
                    continue;
                };
                moved += m.allocations.len() as u64;
                m.state = MachineState::Leaving { next: now };
                tracing::info!(host = %h, %zone, tasks = m.allocations.len(), "given back for its work");
            }
            let t = self.zone_monitor.tally.entry(zone).or_default();
            t.moved += moved;
        }
    }

    fn lost_machine(&self, now: Time, m: &Machine) -> LostMachine<Host> {
        let lease = self.lease_bound();
        let stake = |t: &TaskId| {
            let j = self.jobs.get(&t.job)?;
            let l = j.active.get(&t.ix)?;
            Some(self.attempt_at_risk(now, m, j, l))
        };
        LostMachine {
            machine: m.host.clone(),
            attempts: m.allocations.keys().filter_map(stake).collect(),
            lease_remaining: m.last_renewal + lease - now,
            boot_time: Span::secs(self.boot_s(&m.build)),
        }
    }

    fn attempt_at_risk(&self, now: Time, m: &Machine, j: &Job, l: &ActiveAttempt) -> AttemptAtRisk {
        let size = j.need.dominant_share_of(&m.capacity);
        let est = estimate::of(j);
        let ran = match (l.phase, l.running_since) {
            (Phase::Running, Some(s)) => now - s,
            // Of what an earlier leader started only that is known.
            _ if l.inherited => now - l.placed,
            _ => Span::ZERO,
        };
        let saves = j.spec.checkpoint_s;
        let unsaved = match saves > 0.0 {
            true => Span::secs(ran.as_secs() % saves),
            false => ran,
        };
        let gang = j.spec.kind == Kind::Gang;
        // A gang goes on only as a whole: one that has lost a member, or is
        // being stopped, waits for nothing but the proof of the others' end.
        let whole =
            j.active.len() as u32 == j.spec.tasks && j.active.values().all(|l| l.stop.is_none());
        let standing = match j.spec.kind {
            Kind::Service => AttemptKind::Replica,
            Kind::Gang if !whole || l.stop.is_some() => AttemptKind::BrokenGang,
            _ if j.priority() <= Priority::High || self.is_quick(&j.spec.class) => {
                AttemptKind::Urgent
            }
            _ => AttemptKind::Other,
        };
        AttemptAtRisk {
            kind: standing,
            unsaved_work: match gang {
                true => Span(unsaved.0 * j.spec.tasks as u64),
                false => unsaved,
            },
            rerun_time: match saves > 0.0 {
                true => (est - ran) + unsaved,
                false => est,
            },
            remaining: est - ran,
            due_in: self.next_deadline(now, j).map(|t| t - now),
            machine_share: size,
        }
    }

    /// What the zones that are well can start soon, beyond what waits already.
    fn capacity_elsewhere(&self, now: Time) -> Budget {
        let fresh = self.max_heartbeat_age();
        let keep = self.headroom(now);
        let mut free = Resources::default();
        let (mut whole, mut n) = (Resources::default(), 0u32);
        let (mut lower, mut soon_free) = (Resources::default(), Resources::default());
        let mut within = Span::secs(1.0);
        for m in self
            .machines
            .values()
            .filter(|m| m.accepts_tasks(now, fresh))
        {
            free += m.free().at_least_zero();
            whole += m.capacity;
            n += 1;
            let soon = Span::secs(self.boot_s(&m.build) * self.config.tuning.wait_share);
            within = within.max(soon);
            for (t, s) in &m.allocations {
                if s.remaining(now) < soon {
                    soon_free += s.need;
                } else if self.jobs.get(&t.job).is_some_and(may_be_preempted) {
                    lower += s.need;
                }
            }
        }
        for s in &self.fleet.shortages {
            if let Some(j) = self.jobs.get(&s.job) {
                free -= j.need.scaled(s.tasks);
            }
        }
        let free = free.minus(&keep.all).at_least_zero();
        // Of what running tasks leave until the next look, half is for those
        // who wait already.
        let turns = 2.0 * within.as_secs() / PLAN_INTERVAL.as_secs();
        let turn = soon_free.smallest_share_of(&whole) / turns;
        Budget {
            free: n as f64 * (free.smallest_share_of(&whole) + turn),
            preemptible: n as f64 * lower.smallest_share_of(&whole),
        }
    }

    /// Until when the lease of a worker may run, counted from the last answer.
    pub(super) fn lease_bound(&self) -> Span {
        self.config.workers.lease_bound()
    }

    /// Machines of a zone in trouble are not given up for their silence: while
    /// it lasts, and for as long as others in their place would cost more.
    pub(super) fn retains_zone(&self, now: Time, z: &Zone) -> bool {
        let keep = self.zone_monitor.zones.limits().retain_for;
        self.zone_monitor.is_silent(z) && self.zone_monitor.zones.silent_for(now, z) < keep
    }

    pub(super) fn retained_zones(&self, now: Time) -> HashSet<Zone> {
        let all = self
            .zone_monitor
            .zones
            .views(now)
            .into_iter()
            .map(|v| v.zone);
        all.filter(|z| self.retains_zone(now, z)).collect()
    }

    /// What operators see of zones.
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
        for m in self.machines.values() {
            let c = counts.entry(&m.zone).or_default();
            match m.state {
                MachineState::Up => c.up += 1,
                MachineState::Booting => c.booting += 1,
                MachineState::Leaving { .. } => c.leaving += 1,
            }
            c.shut += m.closed as u32;
            c.tasks += m.allocations.len();
            if self.zone_monitor.is_silent(&m.zone) {
                c.tasks_out_of_reach += m.allocations.len();
            }
        }
        for j in self.jobs.values() {
            if let Some(z) = &j.spec.zone {
                counts.entry(z).or_default().tasks_waiting_for_it += j.pending();
            }
        }
        let one = |v: hookworks_zones::View| {
            let mut o = serde_json::json!(v);
            o["work"] = serde_json::json!(counts.get(&v.zone));
            o["since_trouble"] = serde_json::json!(self.zone_monitor.tally.get(&v.zone));
            o
        };
        self.zone_monitor
            .zones
            .views(now)
            .into_iter()
            .map(one)
            .collect()
    }
}

/// Production and urgent work may have room made by it.
fn may_be_preempted(j: &Job) -> bool {
    j.spec.kind == Kind::Array && j.priority() > Priority::High
}
