//! The fleet in zones: gathers what is known of each, closes and opens their
//! machines, and gives back those of a lost zone whose work is worth starting
//! elsewhere. What a verdict means for an attempt is nothing: proof is as ever.

use super::fleet::late_boot;
use super::job::{Job, Live, Phase};
use super::machine::{Life, Machine};
use super::{Config, Room, Sched, estimate};
use crate::ids::{ControllerId, Host, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use hookworks_zones::{Budget, Case, Change, Evidence, Stake, Standing, State, Zones, plan};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// What is worth moving is looked into so often.
const PLAN_EVERY: Span = Span(1_000_000);

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
pub(super) struct Watch {
    pub zones: Zones,
    /// Where the other controllers are.
    controllers: BTreeMap<ControllerId, Zone>,
    /// Direct calls that failed since the last look.
    unanswered: BTreeMap<Zone, u32>,
    tally: BTreeMap<Zone, Tally>,
    plan_at: Time,
    /// Verdicts are acted on.
    act: bool,
}

impl Watch {
    pub fn new(cfg: &Config, now: Time) -> Watch {
        Watch {
            zones: Zones::new(cfg.zones, now),
            controllers: cfg.controllers.clone(),
            act: cfg.act_on_zones,
            unanswered: BTreeMap::new(),
            tally: BTreeMap::new(),
            plan_at: now,
        }
    }

    pub fn unanswered(&mut self, z: &Zone) {
        *self.unanswered.entry(z.clone()).or_default() += 1;
    }

    /// Attempts there were ended by their machine's lease.
    pub fn ended(&mut self, z: &Zone, n: usize) {
        if self.zones.gone_since(z).is_some() {
            self.tally.entry(z.clone()).or_default().ended += n as u64;
        }
    }

    /// A machine there has been given back.
    pub fn given_back(&mut self, z: &Zone) {
        if self.zones.gone_since(z).is_some() {
            self.tally.entry(z.clone()).or_default().machines_given_back += 1;
        }
    }

    /// The share of the zone that may be used.
    pub fn open(&self, now: Time, z: &Zone) -> f64 {
        match self.act {
            true => self.zones.open(now, z),
            false => 1.0,
        }
    }

    /// It gets nothing new: nothing is heard from there.
    pub fn silent(&self, z: &Zone) -> bool {
        self.act && self.zones.state(z).silent()
    }
}

impl Sched {
    /// New evidence of all zones, and what follows from it.
    pub(super) fn look_at_zones(&mut self, now: Time) {
        // A leader that can't prove that it is one may be cut off itself.
        if !self.may_start(now) {
            return;
        }
        let seen = self.evidence(now);
        for c in self.watch.zones.look(now, seen) {
            self.changed_zone(now, &c);
        }
        if !self.watch.act {
            return;
        }
        if self.watch.zones.troubled() || self.machines.values().any(|m| m.shut) {
            self.shut_and_open(now);
        }
        if now >= self.watch.plan_at {
            self.watch.plan_at = now + PLAN_EVERY;
            self.move_from_lost(now);
        }
    }

    fn changed_zone(&mut self, now: Time, c: &Change) {
        let e = &c.evidence;
        tracing::info!(zone = %c.zone, from = c.from.as_str(), to = c.to.as_str(),
            lasted_s = c.lasted.as_secs(), machines = e.machines, overdue = e.overdue,
            controllers = e.controllers, away = e.away, unanswered = e.unanswered,
            late_boots = e.late_boots, tally = ?self.watch.tally.get(&c.zone), "zone");
        if c.to == State::Doubt && c.from == State::Well {
            self.watch.tally.insert(c.zone.clone(), Tally::default());
        }
        let quiet = self.watch.zones.limits().quiet;
        let heard = e.newest.is_some_and(|t| now - t < quiet);
        if self.watch.act && c.to.silent() && !heard {
            self.raise_fence(now, &c.zone);
        }
        self.replan = true;
    }

    fn evidence(&mut self, now: Time) -> BTreeMap<Zone, Evidence> {
        let late = self.watch.zones.limits().overdue_after();
        let mut all: BTreeMap<Zone, Evidence> = BTreeMap::new();
        for f in self.flavors.values() {
            for z in &f.zones {
                all.entry(z.clone()).or_default();
            }
        }
        for (label, z) in &self.watch.controllers {
            let e = all.entry(z.clone()).or_default();
            e.controllers += 1;
            let away = self.fleet.out_of_reach.get(label);
            e.away += away.is_some_and(|t| now - *t < Span::secs(1.0)) as u32;
        }
        for (z, n) in std::mem::take(&mut self.watch.unanswered) {
            all.entry(z).or_default().unanswered += n;
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
            match m.life {
                Life::Booting => e.late_boots += self.boots_late(now, m) as u32,
                Life::Up => {
                    e.machines += 1;
                    e.heard += m.reported_at.is_some() as u32;
                    let gone = self.watch.zones.gone_since(&m.zone);
                    e.back += gone.is_some_and(|t| m.reached > t) as u32;
                    e.newest = e.newest.max(m.reported_at);
                    if now - m.reached.max(self.awake) > late {
                        e.overdue += 1;
                        e.fell_silent = Some(match e.fell_silent {
                            None => (m.reached, m.reached),
                            Some((a, b)) => (a.min(m.reached), b.max(m.reached)),
                        });
                    }
                }
                Life::Leaving { .. } => {}
            }
        }
        all
    }

    /// It should have come up long ago.
    fn boots_late(&self, now: Time, m: &Machine) -> bool {
        let boot = self.flavors.get(&m.build).map_or(60.0, |f| f.boot_s);
        now - m.hired > late_boot(boot)
    }

    /// Machines of zones in trouble take nothing new; those of one that comes
    /// back open by degrees, as they are heard.
    fn shut_and_open(&mut self, now: Time) {
        let zones = &self.watch.zones;
        // How many of each zone that comes back may be open.
        let mut most: BTreeMap<&Zone, usize> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.life == Life::Up) {
            if zones.state(&m.zone) == State::Returning {
                *most.entry(&m.zone).or_default() += 1;
            }
        }
        for (z, n) in &mut most {
            *n = (*n as f64 * zones.open(now, z)).ceil() as usize;
        }
        for m in self.machines.values() {
            let back = zones.gone_since(&m.zone).is_none_or(|t| m.reached > t);
            if back
                && !m.shut
                && let Some(n) = most.get_mut(&m.zone)
            {
                *n = n.saturating_sub(1);
            }
        }
        let (mut closed, mut opened) = (vec![], vec![]);
        for m in self.machines.values() {
            let back = zones.gone_since(&m.zone).is_none_or(|t| m.reached > t);
            match (m.shut, back) {
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
            m.shut = false;
            // It had no chance to be anything but idle.
            m.idle_since = now;
            let (z, n) = (m.zone.clone(), m.slots.len() as u64);
            self.watch.tally.entry(z).or_default().returned += n;
            self.replan = true;
        }
        for h in closed {
            self.shut(now, &h);
        }
    }

    /// The machine gets nothing new. What was to start there and has not been
    /// told to can start elsewhere at once.
    fn shut(&mut self, now: Time, host: &Host) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.shut = true;
        let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
        for t in tasks {
            if self.live_mut(&t).is_some_and(|l| !l.sent) {
                self.gone(now, &t);
            }
        }
    }

    /// Gives back what is better started elsewhere, as far as that can be.
    fn move_from_lost(&mut self, now: Time) {
        let zones = &self.watch.zones;
        let lost: Vec<(Zone, Span)> = zones
            .views(now)
            .into_iter()
            .filter(|v| v.state == State::Lost)
            .map(|v| {
                let known = self.fences.inherited(&v.zone).unwrap_or(now);
                let silent = zones.silent_for(now, &v.zone).max(now - known);
                (v.zone, silent)
            })
            .collect();
        if lost.is_empty() {
            return;
        }
        let mut budget = self.room_elsewhere(now);
        for (zone, silent) in lost {
            let mut cases = vec![];
            for m in self.machines.values() {
                if m.zone == zone && m.life == Life::Up && m.shut && !m.slots.is_empty() {
                    cases.push(self.case(now, m));
                }
            }
            let n = cases.len();
            let chosen = plan(silent, cases, budget);
            if n > 0 {
                tracing::info!(%zone, silent_s = silent.as_secs(), machines = n, worth_moving = chosen.worthy,
                    chosen = chosen.machines.len(), free = budget.free, made = budget.made, "lost zone");
            }
            budget = chosen.left;
            let mut moved = 0;
            for h in chosen.machines {
                let Some(m) = self.machines.get_mut(&h) else {
                    continue;
                };
                moved += m.slots.len() as u64;
                m.life = Life::Leaving { next: now };
                tracing::info!(host = %h, %zone, tasks = m.slots.len(), "given back for its work");
            }
            let t = self.watch.tally.entry(zone).or_default();
            t.moved += moved;
        }
    }

    fn case(&self, now: Time, m: &Machine) -> Case<Host> {
        let lease = self.lease_bound();
        let stake = |t: &TaskId| {
            let j = self.jobs.get(&t.job)?;
            let l = j.live.get(&t.index)?;
            Some(self.stake(now, m, j, l))
        };
        Case {
            machine: m.host.clone(),
            stakes: m.slots.keys().filter_map(stake).collect(),
            lease_left: m.answered + lease - now,
            boot: Span::secs(self.boot_s(&m.build)),
        }
    }

    fn stake(&self, now: Time, m: &Machine, j: &Job, l: &Live) -> Stake {
        let size = j.need.share_of(&m.capacity);
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
        let gang = j.spec.kind == JobKind::Gang;
        // A gang goes on only as a whole: one that has lost a member, or is
        // being stopped, waits for nothing but the proof of the others' end.
        let whole =
            j.live.len() as u32 == j.spec.tasks && j.live.values().all(|l| l.stop.is_none());
        let standing = match j.spec.kind {
            JobKind::Service => Standing::Replica,
            JobKind::Gang if !whole || l.stop.is_some() => Standing::Broken,
            _ if j.priority() <= Priority::High || self.is_quick(&j.spec.class) => Standing::Urgent,
            _ => Standing::Other,
        };
        Stake {
            standing,
            unsaved: match gang {
                true => Span(unsaved.0 * j.spec.tasks as u64),
                false => unsaved,
            },
            again: match saves > 0.0 {
                true => (est - ran) + unsaved,
                false => est,
            },
            left: est - ran,
            due: self.next_due(now, j).map(|t| t - now),
            size,
        }
    }

    /// What the zones that are well can start soon, beyond what waits already.
    fn room_elsewhere(&self, now: Time) -> Budget {
        let fresh = self.heard_within();
        let keep = self.headroom(now);
        let mut free = Room::default();
        let (mut whole, mut n) = (Room::default(), 0u32);
        let (mut lower, mut soon_free) = (Room::default(), Room::default());
        let mut within = Span::secs(1.0);
        for m in self.machines.values().filter(|m| m.open(now, fresh)) {
            free += m.free().at_least_zero();
            whole += m.capacity;
            n += 1;
            let soon = Span::secs(self.boot_s(&m.build) * self.cfg.tuning.wait_share);
            within = within.max(soon);
            for (t, s) in &m.slots {
                if s.remaining(now) < soon {
                    soon_free += s.need;
                } else if self.jobs.get(&t.job).is_some_and(gives_way) {
                    lower += s.need;
                }
            }
        }
        for s in &self.fleet.short {
            if let Some(j) = self.jobs.get(&s.job) {
                free -= j.need.scaled(s.tasks);
            }
        }
        let free = free.minus(&keep.all).at_least_zero();
        // Of what running tasks leave until the next look, half is for those
        // who wait already.
        let turns = 2.0 * within.as_secs() / PLAN_EVERY.as_secs();
        let turn = soon_free.least_share_of(&whole) / turns;
        Budget {
            free: n as f64 * (free.least_share_of(&whole) + turn),
            made: n as f64 * lower.least_share_of(&whole),
        }
    }

    /// Until when the lease of a worker may run, counted from the last answer.
    pub(super) fn lease_bound(&self) -> Span {
        self.cfg.workers.lease_bound()
    }

    /// Machines of a zone in trouble are not given up for their silence: while
    /// it lasts, and for as long as others in their place would cost more.
    pub(super) fn keeps_zone(&self, now: Time, z: &Zone) -> bool {
        let keep = self.watch.zones.limits().keep;
        self.watch.silent(z) && self.watch.zones.silent_for(now, z) < keep
    }

    pub(super) fn kept_zones(&self, now: Time) -> HashSet<Zone> {
        let all = self.watch.zones.views(now).into_iter().map(|v| v.zone);
        all.filter(|z| self.keeps_zone(now, z)).collect()
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
            match m.life {
                Life::Up => c.up += 1,
                Life::Booting => c.booting += 1,
                Life::Leaving { .. } => c.leaving += 1,
            }
            c.shut += m.shut as u32;
            c.tasks += m.slots.len();
            if self.watch.silent(&m.zone) {
                c.tasks_out_of_reach += m.slots.len();
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
            o["since_trouble"] = serde_json::json!(self.watch.tally.get(&v.zone));
            o
        };
        self.watch.zones.views(now).into_iter().map(one).collect()
    }
}

/// Production and urgent work may have room made by it.
fn gives_way(j: &Job) -> bool {
    j.spec.kind == JobKind::Array && j.priority() > Priority::High
}
