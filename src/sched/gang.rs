//! Gangs: room for all tasks is held before the first starts, one attempt
//! number serves all, and they end together.

use super::Sched;
use super::fleet::Short;
use super::job::{Job, Live, Phase};
use super::machine::{ENDLESS, Life, Machine};
use super::order::Order;
use super::place::{Candidate, Score, View, allowed};
use crate::ids::{Host, JobId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::Kind;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Where a gang is to find room, and how much is still to be rented there.
struct Aim {
    zone: Option<Zone>,
    lacks: i64,
    /// What is lacking besides machines that boot already.
    to_rent: i64,
    held: Vec<Host>,
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
        let j = self.jobs.get(id)?;
        let n = j.pending() as i64;
        if self.teams.left(&j.spec.team).times(&j.need) < n {
            return None;
        }
        if let Some(l) = j.live.values().next() {
            // Some of it is still on machines. A gang that waits takes a
            // replacement with its number; any other must be gone first.
            let attempt = l.attempt;
            // After a take-over it isn't known yet whether it waits or has run.
            let told = |l: &Live| !(l.sent && l.phase == Phase::Placed);
            let waits = |l: &Live| l.stop.is_none() && l.attempt == attempt && told(l);
            if j.gang_ran || !j.live.values().all(waits) {
                return None;
            }
            for left in (1..=n).rev() {
                let Some(host) = self.choose(now, id, held, order) else {
                    return Some(Short::anywhere(id, left));
                };
                self.start(now, id, &host, Some(attempt));
            }
            return None;
        }
        if let Some(hosts) = self.room_for_all(now, id, held, order) {
            let attempt = self.next_attempt();
            tracing::info!(job = %id, tasks = n, "gang placed");
            if let Some(j) = self.jobs.get_mut(id) {
                j.gang_ran = false;
            }
            for h in hosts {
                self.start(now, id, &h, Some(attempt));
            }
            return None;
        }
        let aim = self.aim(now, id, held)?;
        let hopeless = aim.to_rent > 0 && !self.rentable(now, j, aim.zone.as_ref());
        if !hopeless || held.is_empty() {
            // Of gangs that could wait for ever only one keeps machines idle.
            held.extend(aim.held);
        }
        Some(Short {
            job: id.clone(),
            tasks: aim.lacks,
            zone: aim.zone,
        })
    }

    /// Machines for every task, in the order of the design; or none at all.
    fn room_for_all(
        &self,
        now: Time,
        id: &JobId,
        held: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Vec<Host>> {
        let j = self.jobs.get(id)?;
        let fresh = self.heard_within();
        let view = View::of(self, now, j, order, false);
        let mut fit: Vec<(Score, &Machine)> = vec![];
        for m in self.machines.values() {
            if !m.open(now, fresh) {
                continue;
            }
            let kept = held.contains(&m.host);
            let (free, span) = (m.free(), m.remaining(now));
            let c = Candidate {
                m,
                free,
                span,
                kept,
            };
            if let Some(score) = view.score(&c) {
                fit.push((score, m));
            }
        }
        fit.sort_by(|a, b| a.0.cmp(&b.0));
        let zones: BTreeSet<&Zone> = fit.iter().map(|f| &f.1.zone).collect();
        let n = j.spec.tasks as i64;
        let most = if j.spec.spread { (n + 1) / 2 } else { n };
        let fill = |only: Option<&Zone>| {
            let mut in_zone: BTreeMap<&Zone, i64> = BTreeMap::new();
            let mut hosts = vec![];
            let mut late = 0;
            for (score, m) in &fit {
                if only.is_some_and(|z| *z != m.zone) {
                    continue;
                }
                let used = in_zone.entry(&m.zone).or_default();
                let k = m.free().times(&j.need).min(most - *used);
                let k = k.min(n - hosts.len() as i64).max(0);
                *used += k;
                late += if score.late { k } else { 0 };
                hosts.extend((0..k).map(|_| m.host.clone()));
            }
            (hosts.len() as i64 == n).then_some((late, hosts))
        };
        if j.spec.one_zone {
            // The gang begins with its last task: the zone with most images.
            let fills = zones.into_iter().filter_map(|z| fill(Some(z)));
            fills.min_by_key(|f| f.0).map(|f| f.1)
        } else {
            fill(None).map(|f| f.1)
        }
    }

    /// Where a gang without room gets some soonest, and what is kept free for
    /// it there: machines that are empty or will be before one could be rented.
    fn aim(&self, now: Time, id: &JobId, held: &BTreeSet<Host>) -> Option<Aim> {
        let j = self.jobs.get(id)?;
        let n = j.spec.tasks as i64;
        let mut zones: BTreeMap<&Zone, Vec<(Span, i64, &Machine)>> = BTreeMap::new();
        let (fresh, overdue) = (self.heard_within(), j.overdue(now));
        for m in self.machines.values() {
            let kept = held.contains(&m.host) && !(overdue && m.kept_long(now));
            if !allowed(&j.spec, m) || kept || self.watch.silent(&m.zone) {
                continue;
            }
            if m.life == Life::Booting {
                let k = m.capacity.times(&j.need);
                zones.entry(&m.zone).or_default().push((ENDLESS, k, m));
            }
            if !m.open(now, fresh) {
                continue;
            }
            let soon = Span::secs(self.boot_s(&m.build) * self.cfg.tuning.wait_share);
            let free = m.free().times(&j.need);
            let until = m.remaining(now).map_or(Span::ZERO, |(_, high)| high);
            if free > 0 {
                zones
                    .entry(&m.zone)
                    .or_default()
                    .push((Span::ZERO, free, m));
            } else if until < soon && !m.slots.values().any(|s| s.overruns(now)) {
                let k = m.capacity.times(&j.need);
                zones.entry(&m.zone).or_default().push((until, k, m));
            }
        }
        let flavored = self.flavors.values().flat_map(|f| &f.zones);
        for z in flavored.filter(|z| j.spec.zone.as_ref().is_none_or(|w| w == *z)) {
            zones.entry(z).or_default();
        }
        let aim = |zone: Option<&Zone>, mut v: Vec<(Span, i64, &Machine)>| {
            v.sort_by_key(|x| (x.0, Reverse(x.1)));
            let (mut lacks, mut to_rent) = (n, n);
            let mut held = vec![];
            for (until, k, m) in v {
                if to_rent <= 0 {
                    break;
                }
                to_rent = (to_rent - k).max(0);
                if until != ENDLESS {
                    lacks = to_rent;
                }
                held.push(m.host.clone());
            }
            let zone = zone.cloned();
            Aim {
                zone,
                lacks,
                to_rent,
                held,
            }
        };
        if !j.spec.one_zone {
            return Some(aim(None, zones.into_values().flatten().collect()));
        }
        let aims = zones.into_iter().map(|(z, v)| aim(Some(z), v));
        let cant = |a: &Aim| a.to_rent > 0 && !self.rentable(now, j, a.zone.as_ref());
        aims.min_by_key(|a| (cant(a), a.to_rent, a.lacks))
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
