//! Gangs: room for all tasks is held before the first starts, one attempt
//! number serves all, and they end together.

use super::job::{Job, Phase};
use super::machine::Machine;
use super::place::allowed;
use super::{Room, Sched, estimate};
use crate::ids::{Host, JobId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::Kind;
use std::collections::{BTreeMap, BTreeSet};

/// A gang that has waited so long gets machines kept free for it.
const HOLD_AFTER: Span = Span(20_000_000);

impl Sched {
    /// Starts the whole gang, or a lost member of one that still waits.
    /// Answers how many tasks found no room.
    pub(super) fn place_gang(&mut self, now: Time, id: &JobId, held: &mut BTreeSet<Host>) -> i64 {
        let Some(j) = self.jobs.get(id) else { return 0 };
        let n = j.pending() as i64;
        if self.teams.left(&j.spec.team).times(&j.need) < n {
            return 0;
        }
        if let Some(l) = j.live.values().next() {
            // Some of it is still on machines. A gang that waits takes a
            // replacement with its number; any other must be gone first.
            let attempt = l.attempt;
            let waits = |l: &super::job::Live| l.stop.is_none() && l.attempt == attempt;
            if j.gang_ran || !j.live.values().all(waits) {
                return 0;
            }
            for left in (1..=n).rev() {
                let Some(host) = self.choose(now, id, held) else {
                    return left;
                };
                self.start(now, id, &host, Some(attempt));
            }
            return 0;
        }
        match self.room_for_all(now, id, held) {
            Some(hosts) => {
                let attempt = self.next_attempt();
                tracing::info!(job = %id, tasks = n, "gang placed");
                if let Some(j) = self.jobs.get_mut(id) {
                    j.gang_ran = false;
                }
                for h in hosts {
                    self.start(now, id, &h, Some(attempt));
                }
                0
            }
            None => {
                self.hold(now, id, held);
                n
            }
        }
    }

    /// Machines for every task, in the order of the design; or none at all.
    fn room_for_all(&self, now: Time, id: &JobId, held: &BTreeSet<Host>) -> Option<Vec<Host>> {
        let j = self.jobs.get(id)?;
        let t = &self.cfg.tuning;
        let est = estimate::of(j);
        let delta = estimate::delta(est, t.delta_factor, t.delta_floor_s);
        let fresh = self.heard_within();
        let mut fit: Vec<(u8, f64, &Machine)> = vec![];
        for m in self.machines.values() {
            if !m.open(now, fresh) || !allowed(&j.spec, m) || held.contains(&m.host) {
                continue;
            }
            if m.free().fits(&j.need) && !j.error_hosts.contains(&m.host) {
                let left = m.free().minus(&j.need).share_of(&m.capacity);
                fit.push((super::place::class(m, now, est, delta), left, m));
            }
        }
        fit.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let zones: BTreeSet<&Zone> = fit.iter().map(|f| &f.2.zone).collect();
        let n = j.spec.tasks as i64;
        let most = if j.spec.spread { (n + 1) / 2 } else { n };
        let fill = |only: Option<&Zone>| {
            let mut in_zone: BTreeMap<&Zone, i64> = BTreeMap::new();
            let mut hosts = vec![];
            for (_, _, m) in &fit {
                if only.is_some_and(|z| *z != m.zone) {
                    continue;
                }
                let used = in_zone.entry(&m.zone).or_default();
                let k = m.free().times(&j.need).min(most - *used);
                let k = k.min(n - hosts.len() as i64).max(0);
                *used += k;
                hosts.extend((0..k).map(|_| m.host.clone()));
            }
            (hosts.len() as i64 == n).then_some(hosts)
        };
        if j.spec.one_zone {
            zones.into_iter().find_map(|z| fill(Some(z)))
        } else {
            fill(None)
        }
    }

    /// Keeps machines free of others until a starving gang fits.
    fn hold(&self, now: Time, id: &JobId, held: &mut BTreeSet<Host>) {
        let Some(j) = self.jobs.get(id) else { return };
        if now - j.arrived < HOLD_AFTER || !held.is_empty() {
            return;
        }
        let mut fit: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| allowed(&j.spec, m) && !m.quarantined && m.reported)
            .collect();
        if j.spec.one_zone
            && let Some(z) = roomiest(&fit, &j.need)
        {
            fit.retain(|m| m.zone == z);
        }
        fit.sort_by_key(|m| -m.free().times(&j.need));
        let mut n = j.spec.tasks as i64;
        for m in fit {
            if n <= 0 {
                break;
            }
            n -= m.capacity.times(&j.need);
            held.insert(m.host.clone());
        }
    }

    /// A member ended without being done: the rest can't go on for long.
    pub(super) fn gang_lost_one(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.spec.kind != Kind::Gang {
            return;
        }
        if j.live.is_empty() {
            j.gang_ran = false;
        } else if j.gang_ran {
            self.stop_members(now, id, 0.0);
        }
    }

    /// All members are told to save and end, at the same time.
    pub(super) fn stop_gang(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let leeway = j.spec.save_s + 1.0;
        self.stop_members(now, id, leeway);
    }

    fn stop_members(&mut self, now: Time, id: &JobId, leeway_s: f64) {
        let Some(j) = self.jobs.get(id) else { return };
        let going_on = j.live.iter().filter(|(_, l)| l.stop.is_none());
        let rest: Vec<_> = going_on.map(|(t, _)| *t).collect();
        for t in rest {
            self.stop(now, id, t, leeway_s);
        }
    }
}

impl Job {
    /// Members of a gang that has run can't be replaced.
    pub(super) fn note_phase(&mut self, phase: Phase) {
        if self.spec.kind == Kind::Gang && matches!(phase, Phase::Running | Phase::Saving) {
            self.gang_ran = true;
        }
    }
}

fn roomiest(fit: &[&Machine], need: &Room) -> Option<Zone> {
    let mut by_zone: BTreeMap<&Zone, i64> = BTreeMap::new();
    for m in fit {
        *by_zone.entry(&m.zone).or_default() += m.capacity.times(need);
    }
    by_zone.into_iter().max_by_key(|z| z.1).map(|z| z.0.clone())
}
