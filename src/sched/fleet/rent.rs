//! What is rented, of which kind and where; and what becomes of requests.

use super::{Flavoured, MAX_HIRE, Pending, REFUSED_REST};
use crate::ids::Zone;
use crate::sched::job::Job;
use crate::sched::machine::{Life, Machine};
use crate::sched::{Effect, HireResult, Room, Sched};
use crate::time::{Span, Time};
use crate::wire::cloud::Hire;
use std::collections::BTreeMap;

impl Sched {
    pub(super) fn send_pending(&mut self, now: Time) {
        for p in self.fleet.pending.values_mut() {
            if p.next.is_some_and(|t| now >= t) {
                p.next = None;
                self.out.push(Effect::Hire(p.hire.clone()));
            }
        }
    }

    /// Kinds of machine that could serve the job, the cheapest first.
    fn kinds_for(
        &self,
        now: Time,
        need: &Room,
        j: Option<&Job>,
        in_zone: &BTreeMap<Zone, usize>,
    ) -> Vec<(f64, Flavoured)> {
        let mut v = vec![];
        for f in self.flavors.values() {
            let per = Room::of_flavor(f).times(need);
            if per == 0 {
                continue;
            }
            for z in &f.zones {
                for spot in [true, false] {
                    let Some(price) = (if spot { f.spot_price } else { Some(f.price) }) else {
                        continue;
                    };
                    let kind = (f.build.clone(), z.clone(), spot);
                    let fits = j.is_none_or(|j| {
                        let s = &j.spec;
                        s.builds.as_ref().is_none_or(|b| b.contains(&f.build))
                            && s.zone.as_ref().is_none_or(|w| w == z)
                            && (s.spot || !spot)
                    });
                    let rests = self.fleet.refused.get(&kind);
                    if fits && rests.is_none_or(|t| now - *t > REFUSED_REST) {
                        v.push((price / per as f64, kind));
                    }
                }
            }
        }
        // Among equals the zone with the fewest machines, so that the loss of
        // one zone hurts less.
        let in_zone = |z: &Zone| in_zone.get(z).copied().unwrap_or(0);
        v.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| in_zone(&a.1.1).cmp(&in_zone(&b.1.1)))
        });
        v
    }

    fn machines_by_zone(&self) -> BTreeMap<Zone, usize> {
        let mut n = BTreeMap::new();
        for m in self.machines.values() {
            *n.entry(m.zone.clone()).or_default() += 1;
        }
        n
    }

    pub(super) fn rent(&mut self, now: Time) {
        if self.fleet.pending.values().any(|p| p.next.is_none()) {
            return; // One request at a time; its answer says what is left.
        }
        let mut coming: f64 = self
            .machines
            .values()
            .filter(|m| m.life == Life::Booting)
            .count() as f64;
        coming += self
            .fleet
            .pending
            .values()
            .map(|p| p.hire.count as f64)
            .sum::<f64>();
        coming += self.freed_soon(now);
        let zones = self.machines_by_zone();
        let mut left: BTreeMap<_, Room> = BTreeMap::new();
        let mut wanted: BTreeMap<Flavoured, f64> = BTreeMap::new();
        for (id, n) in &self.fleet.short {
            let Some(j) = self.jobs.get(id) else { continue };
            let team = &j.spec.team;
            let left = left
                .entry(team.clone())
                .or_insert_with(|| self.teams.left(team));
            let n = (*n).min(left.times(&j.need));
            if n <= 0 {
                continue;
            }
            *left -= j.need.scaled(n);
            let Some((_, kind)) = self
                .kinds_for(now, &j.need, Some(j), &zones)
                .into_iter()
                .next()
            else {
                continue;
            };
            let Some(f) = self.flavors.get(&kind.0) else {
                continue;
            };
            let per = Room::of_flavor(f).times(&j.need).max(1);
            *wanted.entry(kind).or_default() += n as f64 / per as f64;
        }
        if wanted.is_empty()
            && let Some((kind, share)) = self.headroom_short(now)
        {
            wanted.insert(kind, share);
        }
        for (kind, machines) in wanted {
            let n = machines - coming;
            coming = (coming - machines).max(0.0);
            if n < 0.2 {
                continue;
            }
            let count = (n.ceil() as u32).clamp(1, MAX_HIRE);
            self.fleet.counter += 1;
            let name = format!("hw-{}-{}", self.fleet.epoch, self.fleet.counter);
            let hire = Hire {
                name: name.clone(),
                build: kind.0,
                zone: kind.1,
                spot: kind.2,
                count,
            };
            tracing::info!(request = %name, build = %hire.build, zone = %hire.zone,
                spot = hire.spot, count, "renting");
            self.out.push(Effect::Hire(hire.clone()));
            let p = Pending {
                hire,
                next: None,
                tries: 0,
            };
            self.fleet.pending.insert(name, p);
        }
    }

    /// Machines' worth of room that running tasks will leave before a machine
    /// rented now would be up.
    fn freed_soon(&self, now: Time) -> f64 {
        let share = self.cfg.tuning.wait_share;
        let mut sum = 0.0;
        for m in self.machines.values() {
            let boot = self.flavors.get(&m.build).map_or(0.0, |f| f.boot_s);
            let soon = Span::secs(boot * share);
            let leaves = m.slots.values().filter(|s| s.remaining(now) < soon);
            let cpu: i64 = leaves.map(|s| s.need.cpu).sum();
            if m.life == Life::Up && m.notice_until.is_none() && m.capacity.cpu > 0 {
                sum += cpu as f64 / m.capacity.cpu as f64;
            }
        }
        sum
    }

    /// A machine to rent when less is free than is to be kept free.
    fn headroom_short(&self, now: Time) -> Option<(Flavoured, f64)> {
        let keep = self.fleet.headroom(now, &self.cfg.tuning);
        let fresh = self.heard_within();
        let open = self.machines.values().filter(|m| m.open(now, fresh));
        let free: i64 = open.map(|m| m.free().cpu.max(0)).sum();
        if keep == 0 || free >= keep {
            return None;
        }
        let need = Room {
            cpu: 1000,
            gpu: 0,
            mem: 1000,
        };
        let zones = self.machines_by_zone();
        let (_, kind) = self
            .kinds_for(now, &need, None, &zones)
            .into_iter()
            .next()?;
        let whole = Room::of_flavor(self.flavors.get(&kind.0)?);
        Some((kind, (keep - free) as f64 / whole.cpu.max(1) as f64))
    }

    pub(in crate::sched) fn hired(&mut self, now: Time, hire: Hire, r: HireResult) {
        let token = self.base_token();
        let kind = (hire.build.clone(), hire.zone.clone(), hire.spot);
        match r {
            HireResult::Ok(hosts) => {
                self.fleet.pending.remove(&hire.name);
                if (hosts.len() as u32) < hire.count {
                    self.fleet.refused.insert(kind, now);
                }
                tracing::info!(request = %hire.name, got = hosts.len(), "rented");
                let whole = hosts.len() as u32 == hire.count;
                for h in hosts {
                    if self.fleet.is_gone(&h) {
                        continue;
                    }
                    let flavor = self.flavors.get(&hire.build);
                    self.machines.entry(h.clone()).or_insert_with(|| {
                        let (b, z) = (hire.build.clone(), hire.zone.clone());
                        let mut m = Machine::new(h, b, z, hire.spot, now, token);
                        if let Some(f) = flavor {
                            m.set_flavor(f);
                        }
                        m
                    });
                }
                if whole && hire.count == MAX_HIRE {
                    // Likely not all of it: the rest is asked for at once.
                    self.rent(now);
                }
            }
            HireResult::NoCapacity => {
                tracing::info!(request = %hire.name, zone = %hire.zone, spot = hire.spot, "none to rent");
                self.fleet.pending.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
                // The next kind is asked for at once.
                self.rent(now);
            }
            HireResult::Invalid => {
                tracing::warn!(request = %hire.name, "rental request refused as invalid");
                self.fleet.pending.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
            }
            HireResult::Busy | HireResult::Unclear => {
                if let Some(p) = self.fleet.pending.get_mut(&hire.name) {
                    p.tries += 1;
                    p.next = Some(now + Span::secs(p.tries.min(5) as f64));
                }
            }
        }
    }
}
