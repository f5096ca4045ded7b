//! What is rented, of which kind and where; and what becomes of requests.

use super::{Flavoured, MAX_HIRE, Pending, REFUSED_REST, Short};
use crate::ids::{Build, Zone};
use crate::sched::allowed_zones::AllowedZones;
use crate::sched::job::Job;
use crate::sched::machine::{Life, Machine};
use crate::sched::{Effect, HireResult, Room, Sched};
use crate::time::{Span, Time};
use crate::wire::cloud::Hire;
use std::collections::BTreeMap;

/// Machines' worth of room that is on its way.
#[derive(Default)]
struct Coming {
    room: f64,
    /// Of machines that will be empty.
    whole: f64,
}

impl Coming {
    /// Sets room aside for so many tasks; answers for how many there is some.
    fn serve(&mut self, tasks: f64, per_machine: f64) -> f64 {
        if per_machine <= 0.0 {
            return 0.0;
        }
        // What takes a machine to itself has no use for a corner of one.
        let have = match per_machine <= 1.0 {
            true => self.whole.min(self.room),
            false => self.room,
        };
        let machines = have.min(tasks / per_machine).max(0.0);
        self.room -= machines;
        self.whole = (self.whole - machines).max(0.0);
        machines * per_machine
    }
}

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
        j: Option<(&Job, Option<&Zone>)>,
        in_zone: &BTreeMap<Zone, usize>,
    ) -> Vec<(f64, Flavoured)> {
        let mut v = vec![];
        let j = j.map(|(j, zone)| (j, AllowedZones::of(self, j), zone));
        for f in self.flavors.values() {
            let per = Room::of_flavor(f).times(need);
            if per == 0 {
                continue;
            }
            for z in &f.zones {
                // What is rented in a zone that is lost boots and is paid for,
                // and never reports.
                if self.watch.silent(z) {
                    continue;
                }
                for spot in [true, false] {
                    let Some(price) = (if spot { f.spot_price } else { Some(f.price) }) else {
                        continue;
                    };
                    let kind = (f.build.clone(), z.clone(), spot);
                    let fits = j.as_ref();
                    let fits = fits.is_none_or(|(j, zones, zone)| suits(j, zones, &kind, *zone));
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
        for m in self.machines.values().filter(|m| !m.shut) {
            *n.entry(m.zone.clone()).or_default() += 1;
        }
        n
    }

    pub(super) fn rent(&mut self, now: Time) {
        if self.fleet.pending.values().any(|p| p.next.is_none()) {
            return; // One request at a time; its answer says what is left.
        }
        let mut coming = self.coming(now);
        let zones = self.machines_by_zone();
        let mut left: BTreeMap<_, Room> = BTreeMap::new();
        let mut wanted: BTreeMap<Flavoured, f64> = BTreeMap::new();
        // What only some kind of machine serves has its say before the others:
        // when those that could do with any took a gang's machines into
        // account, its zone was rented for again and again.
        let found = |s: &'_ Short| Some((s.zone.clone(), s.tasks, self.jobs.get(&s.job)?));
        let mut short: Vec<_> = self.fleet.short.iter().filter_map(found).collect();
        short.sort_by_key(|(zone, _, j)| (zone.is_none(), j.spec.spot));
        let plain_wanted = self.jobs.values().any(|j| !j.spec.spot);
        for (zone, tasks, j) in short {
            let zone = zone.as_ref();
            let team = &j.spec.team;
            let left = left
                .entry(team.clone())
                .or_insert_with(|| self.teams.left(team));
            let n = tasks.min(left.times(&j.need));
            if n <= 0 {
                continue;
            }
            *left -= j.need.scaled(n);
            let mut n = n as f64;
            // Nor does lendable work count on plain machines if it can rent others.
            let only_spot = j.spec.spot && plain_wanted && self.spot_rentable(now, j);
            let allowed = AllowedZones::of(self, j);
            for (kind, c) in coming.iter_mut() {
                if n > 0.0 && (kind.2 || !only_spot) && suits(j, &allowed, kind, zone) {
                    n -= c.serve(n, self.per_machine(kind, &j.need));
                }
            }
            if n <= 0.0 || self.rented_before(now, j) {
                continue;
            }
            let kinds = self.kinds_for(now, &j.need, Some((j, zone)), &zones);
            let Some((_, kind)) = kinds.into_iter().next() else {
                continue;
            };
            let per = self.per_machine(&kind, &j.need).max(1.0);
            *wanted.entry(kind).or_default() += n / per;
        }
        if wanted.is_empty()
            && let Some((kind, mut share)) = self.headroom_short(now)
        {
            for (k, c) in coming.iter_mut() {
                if !kind.2 && k.2 {
                    continue;
                }
                share -= c.serve(share, 1.0);
            }
            wanted.insert(kind, share);
        }
        for (kind, n) in wanted {
            if n < 0.2 {
                continue;
            }
            // A zone that comes back is rented in by degrees.
            let most = (MAX_HIRE as f64 * self.watch.open(now, &kind.1)).ceil() as u32;
            let count = (n.ceil() as u32).clamp(1, most.max(1));
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

    /// An earlier leader may have rented for the job what no list shows yet: rented
    /// for again by each leader, ten changes in twenty seconds took many times the
    /// machines. Until lists show all that was rented before this term, only jobs
    /// that came in this term are rented for.
    fn rented_before(&self, now: Time, j: &Job) -> bool {
        j.seq < self.fleet.first_own && now < self.began + self.cfg.oldest_list
    }

    /// What is on its way, by kind: machines that boot or are asked for, and
    /// room that running tasks leave before one rented now would be up.
    fn coming(&self, now: Time) -> BTreeMap<Flavoured, Coming> {
        let mut all: BTreeMap<Flavoured, Coming> = BTreeMap::new();
        for p in self.fleet.pending.values() {
            let h = &p.hire;
            let kind = (h.build.clone(), h.zone.clone(), h.spot);
            if self.watch.silent(&h.zone) {
                continue;
            }
            let c = all.entry(kind).or_default();
            c.room += h.count as f64;
            c.whole += h.count as f64;
        }
        for m in self.machines.values() {
            let soon = Span::secs(self.boot_s(&m.build) * self.cfg.tuning.wait_share);
            let (room, whole) = match m.life {
                // Nothing can be counted on in a zone that is silent.
                _ if self.watch.silent(&m.zone) => continue,
                Life::Booting => (1.0, 1.0),
                Life::Up if m.shut => {
                    let free = m.free().at_least_zero().share_of(&m.capacity);
                    (free, m.slots.is_empty() as u8 as f64)
                }
                Life::Up if m.notice_until.is_none() && m.capacity.cpu > 0 => {
                    let mut freed = Room::default();
                    let mut last = 0;
                    for s in m.slots.values() {
                        match s.ends_within(now, soon) {
                            true => freed += s.need,
                            false => last += 1,
                        }
                    }
                    let empties = last == 0 && !m.slots.is_empty();
                    (freed.share_of(&m.capacity), empties as u8 as f64)
                }
                _ => continue,
            };
            if room > 0.0 {
                let kind = (m.build.clone(), m.zone.clone(), m.spot);
                let c = all.entry(kind).or_default();
                c.room += room;
                c.whole += whole;
            }
        }
        all
    }

    pub(in crate::sched) fn boot_s(&self, build: &Build) -> f64 {
        self.flavors.get(build).map_or(0.0, |f| f.boot_s)
    }

    fn per_machine(&self, kind: &Flavoured, need: &Room) -> f64 {
        let f = self.flavors.get(&kind.0);
        f.map_or(0.0, |f| Room::of_flavor(f).times(need) as f64)
    }

    /// Machines for the job were not refused lately in that zone.
    pub(in crate::sched) fn rentable(&self, now: Time, j: &Job, zone: Option<&Zone>) -> bool {
        let none = BTreeMap::new();
        !self
            .kinds_for(now, &j.need, Some((j, zone)), &none)
            .is_empty()
    }

    /// Spot machines for the job were not refused lately.
    pub(in crate::sched) fn spot_rentable(&self, now: Time, j: &Job) -> bool {
        let none = BTreeMap::new();
        let kinds = self.kinds_for(now, &j.need, Some((j, None)), &none);
        kinds.iter().any(|k| k.1.2)
    }

    /// A machine to rent when less is free than is to be kept free.
    fn headroom_short(&self, now: Time) -> Option<(Flavoured, f64)> {
        let keep = self.headroom(now);
        let free = self.free_room(now);
        let need = Room {
            cpu: 1000,
            gpu: 0,
            mem: 1000,
        };
        let zones = self.machines_by_zone();
        let plain = !free.plain.covers(&keep.plain);
        if !plain && free.all.covers(&keep.all) {
            return None;
        }
        let kinds = self.kinds_for(now, &need, None, &zones);
        let (_, kind) = kinds.into_iter().find(|k| !plain || !k.1.2)?;
        let whole = Room::of_flavor(self.flavors.get(&kind.0)?);
        let lack = match plain {
            true => keep.plain.minus(&free.plain),
            false => keep.all.minus(&free.all),
        };
        Some((kind, lack.at_least_zero().share_of(&whole)))
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
                    let m = self.machines.entry(h.clone()).or_insert_with(|| {
                        let (b, z) = (hire.build.clone(), hire.zone.clone());
                        let mut m = Machine::new(h, b, z, hire.spot, now, token);
                        if let Some(f) = flavor {
                            m.set_flavor(f);
                        }
                        m
                    });
                    // Nobody else has ever told it anything. It may have reported before
                    // this answer came; nothing was placed there until now.
                    self.replan |= m.reported && !m.certain;
                    (m.certain, m.in_term) = (true, true);
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

/// The job may run on machines of that kind, in that zone if any.
fn suits(j: &Job, zones: &AllowedZones, kind: &Flavoured, zone: Option<&Zone>) -> bool {
    let s = &j.spec;
    s.builds.as_ref().is_none_or(|b| b.contains(&kind.0))
        && s.zone.as_ref().is_none_or(|w| *w == kind.1)
        && zone.is_none_or(|w| *w == kind.1)
        && (s.spot || !kind.2)
        && zones.contains(&kind.1)
}
