//! Scale out: what is rented, of which kind and where; and what becomes of requests.

use super::{MachineKind, PendingRental};
use crate::ids::{Host, MachineTypeId, Team, Zone};
use crate::sched::allowed_zones::AllowedZones;
use crate::sched::job::Job;
use crate::sched::machine::{Life, Machine};
use crate::sched::{Effect, HireResult, Room, Sched};
use crate::time::{Span, Time};
use crate::wire::cloud::{MachineType, RentalRequest};
use std::collections::BTreeMap;

/// A kind of machine that was refused is not asked for again so soon.
pub(super) const REFUSED_KIND_BACKOFF: Span = Span(15_000_000);
/// The most machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// For less than this part of a machine none is rented.
const MIN_PART_OF_A_MACHINE: f64 = 0.2;
/// A request without an answer is repeated after a second, then after one more each
/// time, up to this.
const MAX_RETRY_DELAY_S: u32 = 5;

/// Resources that are on their way, in machines of a kind.
#[derive(Default)]
struct Coming {
    /// All of them.
    room: f64,
    /// Those of machines that will be empty.
    whole: f64,
}

impl Coming {
    /// Sets resources aside for so many tasks; answers for how many there are some.
    fn serve(&mut self, tasks: f64, tasks_per_machine: f64) -> f64 {
        if tasks_per_machine <= 0.0 {
            return 0.0;
        }
        // What takes a machine to itself has no use for a corner of one.
        let available = if tasks_per_machine <= 1.0 {
            self.whole.min(self.room)
        } else {
            self.room
        };
        let machines = available.min(tasks / tasks_per_machine).max(0.0);
        self.room -= machines;
        self.whole = (self.whole - machines).max(0.0);
        machines * tasks_per_machine
    }
}

/// A job whose tasks lack room, and the only zone in which room is of use to them, if
/// there is one.
#[derive(Clone, Copy)]
struct Demand<'a> {
    job: &'a Job,
    zone: Option<&'a Zone>,
}

/// A kind of machine with its price for each task.
struct PricedKind {
    price_per_task: f64,
    kind: MachineKind,
}

impl Sched {
    /// Repeats the rental requests that had no answer, when they are due.
    pub(super) fn repeat_rental_requests(&mut self, now: Time) {
        for request in self.fleet.requests.values_mut() {
            if request.repeat_at.is_some_and(|at| now >= at) {
                request.repeat_at = None;
                self.out.push(Effect::Hire(request.hire.clone()));
            }
        }
    }

    /// Rents for what found no room, or else for the headroom.
    pub(super) fn rent(&mut self, now: Time) {
        // One request at a time; its answer says what is left.
        let mut requests = self.fleet.requests.values();
        if requests.any(|request| request.repeat_at.is_none()) {
            return;
        }
        let mut coming = self.coming(now);
        let mut wanted = self.wanted_for_jobs(now, &mut coming);
        if wanted.is_empty() {
            wanted.extend(self.wanted_for_headroom(now, &mut coming));
        }
        for (kind, machines) in wanted {
            if machines >= MIN_PART_OF_A_MACHINE {
                self.request_machines(now, kind, machines);
            }
        }
    }

    /// How many machines of each kind the jobs without room need besides what is coming.
    fn wanted_for_jobs(
        &self,
        now: Time,
        coming: &mut BTreeMap<MachineKind, Coming>,
    ) -> BTreeMap<MachineKind, f64> {
        let machines = self.machines_by_zone();
        let plain_wanted = self.jobs.values().any(|job| !job.spec.spot);
        let mut left: BTreeMap<&Team, Room> = BTreeMap::new();
        let mut wanted = BTreeMap::new();
        for (demand, tasks) in self.demands() {
            let job = demand.job;
            let team = &job.spec.team;
            let left = left.entry(team).or_insert_with(|| self.teams.left(team));
            let tasks = tasks.min(left.times(&job.need));
            if tasks <= 0 {
                continue;
            }
            *left -= job.need.scaled(tasks);
            let lacking = self.take_from_coming(now, demand, tasks, plain_wanted, coming);
            if lacking <= 0.0 || self.rented_before(now, job) {
                continue;
            }
            let kinds = self.kinds_for(now, &job.need, Some(demand), &machines);
            let Some(PricedKind { kind, .. }) = kinds.into_iter().next() else {
                continue;
            };
            let tasks_per_machine = self.tasks_per_machine(&kind, &job.need).max(1.0);
            *wanted.entry(kind).or_default() += lacking / tasks_per_machine;
        }
        wanted
    }

    /// The jobs without room, with so many tasks each. What only some kinds of machine
    /// serve comes first: otherwise those that could do with any would count on its
    /// machines, and they would be rented again and again.
    fn demands(&self) -> Vec<(Demand<'_>, i64)> {
        let mut demands = vec![];
        for short in &self.fleet.short {
            if let Some(job) = self.jobs.get(&short.job) {
                let zone = short.zone.as_ref();
                demands.push((Demand { job, zone }, short.tasks));
            }
        }
        demands.sort_by_key(|(demand, _)| (demand.zone.is_none(), demand.job.spec.spot));
        demands
    }

    /// Sets resources that are coming aside for so many tasks of a job; answers how many
    /// lack some.
    fn take_from_coming(
        &self,
        now: Time,
        demand: Demand,
        tasks: i64,
        plain_wanted: bool,
        coming: &mut BTreeMap<MachineKind, Coming>,
    ) -> f64 {
        let job = demand.job;
        // Work for spot machines does not count on plain ones if it can rent others.
        let only_spot = job.spec.spot && plain_wanted && self.spot_rentable(now, job);
        let allowed = AllowedZones::of(self, job);
        let mut lacking = tasks as f64;
        for (kind, coming) in coming.iter_mut() {
            if lacking > 0.0 && (kind.spot || !only_spot) && suits(demand, &allowed, kind) {
                lacking -= coming.serve(lacking, self.tasks_per_machine(kind, &job.need));
            }
        }
        lacking
    }

    /// How much of a machine to rent when less is free than is to be kept free.
    fn wanted_for_headroom(
        &self,
        now: Time,
        coming: &mut BTreeMap<MachineKind, Coming>,
    ) -> Option<(MachineKind, f64)> {
        let (kind, mut machines) = self.headroom_short(now)?;
        for (coming_kind, coming) in coming.iter_mut() {
            if kind.spot || !coming_kind.spot {
                machines -= coming.serve(machines, 1.0);
            }
        }
        Some((kind, machines))
    }

    fn request_machines(&mut self, now: Time, kind: MachineKind, machines: f64) {
        // A zone that comes back is rented in by degrees.
        let open = self.watch.open(now, &kind.zone);
        let max = (MAX_MACHINES_PER_REQUEST as f64 * open).ceil() as u32;
        let count = (machines.ceil() as u32).clamp(1, max.max(1));
        self.fleet.counter += 1;
        let name = format!("hw-{}-{}", self.fleet.epoch, self.fleet.counter);
        let hire = RentalRequest {
            name: name.clone(),
            build: kind.build,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        tracing::info!(request = %name, build = %hire.build, zone = %hire.zone,
            spot = hire.spot, count, "renting");
        self.out.push(Effect::Hire(hire.clone()));
        let request = PendingRental {
            hire,
            repeat_at: None,
            repeats: 0,
        };
        self.fleet.requests.insert(name, request);
    }

    /// An earlier leader may have rented for the job what no list shows yet. Until lists
    /// show all that was rented before this leadership, only jobs that came in since are
    /// rented for.
    fn rented_before(&self, now: Time, job: &Job) -> bool {
        job.seq < self.fleet.first_own && now < self.began + self.cfg.oldest_list
    }

    /// What is on its way, by kind: machines that boot or are asked for, and
    /// resources that running tasks leave before a machine rented now would be up.
    fn coming(&self, now: Time) -> BTreeMap<MachineKind, Coming> {
        let mut all: BTreeMap<MachineKind, Coming> = BTreeMap::new();
        for request in self.fleet.requests.values() {
            let hire = &request.hire;
            if self.watch.silent(&hire.zone) {
                continue;
            }
            let coming = all.entry(MachineKind::of_request(hire)).or_default();
            coming.room += hire.count as f64;
            coming.whole += hire.count as f64;
        }
        for machine in self.machines.values() {
            // Nothing can be counted on in a zone that is silent.
            if self.watch.silent(&machine.zone) {
                continue;
            }
            let of_machine = self.coming_of(now, machine);
            if of_machine.room > 0.0 {
                let coming = all.entry(MachineKind::of_machine(machine)).or_default();
                coming.room += of_machine.room;
                coming.whole += of_machine.whole;
            }
        }
        all
    }

    fn coming_of(&self, now: Time, machine: &Machine) -> Coming {
        match machine.life {
            Life::Booting => Coming {
                room: 1.0,
                whole: 1.0,
            },
            Life::Up if machine.shut => Coming {
                room: machine.free().at_least_zero().share_of(&machine.capacity),
                whole: machine.slots.is_empty() as u8 as f64,
            },
            Life::Up if machine.notice_until.is_none() && machine.capacity.cpu > 0 => {
                self.freed_soon(now, machine)
            }
            Life::Up | Life::Leaving { .. } => Coming::default(),
        }
    }

    /// What the tasks of a machine leave before one rented now would be up.
    fn freed_soon(&self, now: Time, machine: &Machine) -> Coming {
        let soon = Span::secs(self.boot_s(&machine.build) * self.cfg.tuning.wait_share);
        let mut freed = Room::default();
        let mut staying = 0;
        for slot in machine.slots.values() {
            if slot.ends_within(now, soon) {
                freed += slot.need;
            } else {
                staying += 1;
            }
        }
        let empties = staying == 0 && !machine.slots.is_empty();
        Coming {
            room: freed.share_of(&machine.capacity),
            whole: empties as u8 as f64,
        }
    }

    /// Kinds of machine that hold a task of this need, and suit the demand if there is
    /// one, the cheapest first; `machines`: how many there are in each zone.
    fn kinds_for(
        &self,
        now: Time,
        need: &Room,
        demand: Option<Demand>,
        machines: &BTreeMap<Zone, usize>,
    ) -> Vec<PricedKind> {
        let demand = demand.map(|demand| (demand, AllowedZones::of(self, demand.job)));
        let suits = |kind: &MachineKind| {
            let demand = demand.as_ref();
            demand.is_none_or(|(demand, allowed)| suits(*demand, allowed, kind))
        };
        let mut kinds = vec![];
        for flavor in self.flavors.values() {
            let tasks = Room::of_flavor(flavor).times(need);
            if tasks == 0 {
                continue;
            }
            for (kind, price) in self.offers(now, flavor) {
                if suits(&kind) {
                    let price_per_task = price / tasks as f64;
                    kinds.push(PricedKind {
                        price_per_task,
                        kind,
                    });
                }
            }
        }
        // Among equals the zone with the fewest machines, so that the loss of
        // one zone hurts less.
        let machines_in = |kind: &MachineKind| machines.get(&kind.zone).copied().unwrap_or(0);
        kinds.sort_by(|a, b| {
            a.price_per_task
                .total_cmp(&b.price_per_task)
                .then_with(|| machines_in(&a.kind).cmp(&machines_in(&b.kind)))
        });
        kinds
    }

    /// The kinds of a machine type that may be asked for now, with their prices.
    fn offers(&self, now: Time, flavor: &MachineType) -> Vec<(MachineKind, f64)> {
        let mut offers = vec![];
        // What is rented in a zone that is lost boots and is paid for, and never
        // reports.
        for zone in flavor.zones.iter().filter(|zone| !self.watch.silent(zone)) {
            let spot = flavor.spot_price.map(|price| (true, price));
            for (spot, price) in spot.into_iter().chain([(false, flavor.price)]) {
                let kind = MachineKind {
                    build: flavor.build.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !self.fleet.refused_lately(now, &kind) {
                    offers.push((kind, price));
                }
            }
        }
        offers
    }

    fn machines_by_zone(&self) -> BTreeMap<Zone, usize> {
        let mut machines = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| !machine.shut) {
            *machines.entry(machine.zone.clone()).or_default() += 1;
        }
        machines
    }

    /// How long a machine of that type boots, in seconds.
    pub(in crate::sched) fn boot_s(&self, build: &MachineTypeId) -> f64 {
        self.flavors.get(build).map_or(0.0, |flavor| flavor.boot_s)
    }

    fn tasks_per_machine(&self, kind: &MachineKind, need: &Room) -> f64 {
        let flavor = self.flavors.get(&kind.build);
        flavor.map_or(0.0, |flavor| Room::of_flavor(flavor).times(need) as f64)
    }

    /// Machines for the job were not refused lately in that zone.
    pub(in crate::sched) fn rentable(&self, now: Time, job: &Job, zone: Option<&Zone>) -> bool {
        let demand = Demand { job, zone };
        let kinds = self.kinds_for(now, &job.need, Some(demand), &BTreeMap::new());
        !kinds.is_empty()
    }

    /// Spot machines for the job were not refused lately.
    pub(in crate::sched) fn spot_rentable(&self, now: Time, job: &Job) -> bool {
        let demand = Demand { job, zone: None };
        let kinds = self.kinds_for(now, &job.need, Some(demand), &BTreeMap::new());
        kinds.iter().any(|priced| priced.kind.spot)
    }

    /// A machine to rent when less is free than is to be kept free, and how much of it
    /// is lacking.
    fn headroom_short(&self, now: Time) -> Option<(MachineKind, f64)> {
        let keep = self.headroom(now);
        let free = self.free_room(now);
        let plain = !free.plain.covers(&keep.plain);
        if !plain && free.all.covers(&keep.all) {
            return None;
        }
        let least_task = Room {
            cpu: 1000,
            gpu: 0,
            mem: 1000,
        };
        let kinds = self.kinds_for(now, &least_task, None, &self.machines_by_zone());
        let mut kinds = kinds.into_iter().map(|priced| priced.kind);
        let kind = kinds.find(|kind| !plain || !kind.spot)?;
        let whole = Room::of_flavor(self.flavors.get(&kind.build)?);
        let lacking = if plain {
            keep.plain.minus(&free.plain)
        } else {
            keep.all.minus(&free.all)
        };
        Some((kind, lacking.at_least_zero().share_of(&whole)))
    }

    /// The cloud's answer to a rental request.
    pub(in crate::sched) fn hired(&mut self, now: Time, hire: RentalRequest, result: HireResult) {
        let kind = MachineKind::of_request(&hire);
        match result {
            HireResult::Ok(hosts) => {
                self.fleet.requests.remove(&hire.name);
                let rented = hosts.len() as u32;
                if rented < hire.count {
                    self.fleet.refused.insert(kind, now);
                }
                tracing::info!(request = %hire.name, got = rented, "rented");
                for host in hosts {
                    if !self.fleet.is_gone(&host) {
                        self.add_rented(now, host, &hire);
                    }
                }
                if rented == hire.count && hire.count == MAX_MACHINES_PER_REQUEST {
                    // Likely not all of it: the rest is asked for at once.
                    self.rent(now);
                }
            }
            HireResult::NoCapacity => {
                tracing::info!(request = %hire.name, zone = %hire.zone, spot = hire.spot, "none to rent");
                self.fleet.requests.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
                // The next kind is asked for at once.
                self.rent(now);
            }
            HireResult::Invalid => {
                tracing::warn!(request = %hire.name, "rental request refused as invalid");
                self.fleet.requests.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
            }
            HireResult::Busy | HireResult::Unclear => {
                if let Some(request) = self.fleet.requests.get_mut(&hire.name) {
                    request.repeats += 1;
                    let delay_s = request.repeats.min(MAX_RETRY_DELAY_S);
                    request.repeat_at = Some(now + Span::secs(delay_s as f64));
                }
            }
        }
    }

    fn add_rented(&mut self, now: Time, host: Host, hire: &RentalRequest) {
        let token = self.base_token();
        let flavor = self.flavors.get(&hire.build);
        let machine = self.machines.entry(host.clone()).or_insert_with(|| {
            let (build, zone) = (hire.build.clone(), hire.zone.clone());
            let mut machine = Machine::new(host, build, zone, hire.spot, now, token);
            if let Some(flavor) = flavor {
                machine.set_flavor(flavor);
            }
            machine
        });
        // Nobody else has ever told it anything. It may have reported before
        // this answer came; nothing was placed there until now.
        self.replan |= machine.reported && !machine.certain;
        machine.certain = true;
        machine.in_term = true;
    }
}

/// The demand can be met by machines of that kind.
fn suits(demand: Demand, allowed: &AllowedZones, kind: &MachineKind) -> bool {
    let spec = &demand.job.spec;
    spec.builds
        .as_ref()
        .is_none_or(|builds| builds.contains(&kind.build))
        && spec.zone.as_ref().is_none_or(|zone| *zone == kind.zone)
        && demand.zone.is_none_or(|zone| *zone == kind.zone)
        && (spec.spot || !kind.spot)
        && allowed.contains(&kind.zone)
}
