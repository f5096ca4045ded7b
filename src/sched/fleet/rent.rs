//! Scale out: what is rented, of which kind and where; and what becomes of requests.

use super::{MachineKind, PendingRental};
use crate::sched::Effect;
use crate::sched::RentalResult;
use crate::sched::Resources;
use crate::sched::Scheduler;
use crate::sched::machine::MachineState;

/// A kind of machine that was refused is not asked for again so soon.
pub(super) const REFUSED_KIND_BACKOFF: Span = Span(15_000_000);
/// The most machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// For less than this part of a machine none is rented.
const MIN_MACHINE_SHARE: f64 = 0.2;
/// A request without an answer is repeated after a second, then after one more each
/// time, up to this.
const MAX_RETRY_DELAY_S: u32 = 5;

/// Resources that are on their way, in machines of a kind.
#[derive(Default)]
struct ExpectedCapacity {
    /// All of them.
    machines: f64,
    /// Those of machines that will be empty.
    empty_machines: f64,
}

impl ExpectedCapacity {
    /// Sets resources aside for so many tasks; answers for how many there are some.
    fn reserve(&mut self, tasks: f64, tasks_per_machine: f64) -> f64 {
        if tasks_per_machine <= 0.0 {
            return 0.0;
        }
        // What takes a machine to itself has no use for a corner of one.
        let available = if tasks_per_machine <= 1.0 {
            self.empty_machines.min(self.machines)
        } else {
            self.machines
        };
        let machines = available.min(tasks / tasks_per_machine).max(0.0);
        self.machines -= machines;
        self.empty_machines = (self.empty_machines - machines).max(0.0);
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

impl Scheduler {
    /// Repeats the rental requests that had no answer, when they are due.
    pub(super) fn repeat_rental_requests(&mut self, now: Time) {
        for request in self.fleet.requests.values_mut() {
            if request.retry_at.is_some_and(|at| now >= at) {
                request.retry_at = None;
                self.effects.push(Effect::Rent(request.hire.clone()));
            }
        }
    }

    /// Rents for what found no room, or else for the headroom.
    pub(super) fn rent(&mut self, now: Time) {
        // One request at a time; its answer says what is left.
        let mut requests = self.fleet.requests.values();
        if requests.any(|request| request.retry_at.is_none()) {
            return;
        }
        let mut coming = self.expected_capacity(now);
        let mut wanted = self.wanted_for_jobs(now, &mut coming);
        if wanted.is_empty() {
            wanted.extend(self.wanted_for_headroom(now, &mut coming));
        }
        for (kind, machines) in wanted {
            if machines >= MIN_MACHINE_SHARE {
                self.request_machines(now, kind, machines);
            }
        }
    }

    /// How many machines of each kind the jobs without room need besides what is coming.
    fn wanted_for_jobs(
        &self,
        now: Time,
        coming: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> BTreeMap<MachineKind, f64> {
        let machines = self.machines_by_zone();
        let plain_wanted = self.jobs.values().any(|job| !job.spec.spot);
        let mut left: BTreeMap<&Team, Resources> = BTreeMap::new();
        let mut wanted = BTreeMap::new();
        for (demand, tasks) in self.demands() {
            let job = demand.job;
            let team = &job.spec.team;
            let left = left
                .entry(team)
                .or_insert_with(|| self.teams.remaining(team));
            let tasks = tasks.min(left.tasks_that_fit(&job.need));
            if tasks <= 0 {
                continue;
            }
            *left -= job.need.scaled(tasks);
            let lacking = self.reserve_expected(now, demand, tasks, plain_wanted, coming);
            if lacking <= 0.0 || self.may_be_rented_already(now, job) {
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
        for short in &self.fleet.shortages {
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
    fn reserve_expected(
        &self,
        now: Time,
        demand: Demand,
        tasks: i64,
        plain_wanted: bool,
        coming: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> f64 {
        let job = demand.job;
        // Work for spot machines does not count on plain ones if it can rent others.
        let only_spot = job.spec.spot && plain_wanted && self.spot_rentable(now, job);
        let allowed = AllowedZones::of(self, job);
        let mut lacking = tasks as f64;
        for (kind, coming) in coming.iter_mut() {
            if lacking > 0.0 && (kind.spot || !only_spot) && suits(demand, &allowed, kind) {
                lacking -= coming.reserve(lacking, self.tasks_per_machine(kind, &job.need));
            }
        }
        lacking
    }

    /// How much of a machine to rent when less is free than is to be kept free.
    fn wanted_for_headroom(
        &self,
        now: Time,
        coming: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> Option<(MachineKind, f64)> {
        let (kind, mut machines) = self.missing_headroom(now)?;
        for (coming_kind, coming) in coming.iter_mut() {
            if kind.spot || !coming_kind.spot {
                machines -= coming.reserve(machines, 1.0);
            }
        }
        Some((kind, machines))
    }

    fn request_machines(&mut self, now: Time, kind: MachineKind, machines: f64) {
        // A zone that comes back is rented in by degrees.
        let open = self.zone_monitor.usable_share(now, &kind.zone);
        let max = (MAX_MACHINES_PER_REQUEST as f64 * open).ceil() as u32;
        let count = (machines.ceil() as u32).clamp(1, max.max(1));
        self.fleet.last_request_number += 1;
        let name = format!("hw-{}-{}", self.fleet.epoch, self.fleet.last_request_number);
        let hire = Hire {
            name: name.clone(),
            build: kind.build,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        tracing::info!(request = %name, build = %hire.build, zone = %hire.zone,
            spot = hire.spot, count, "renting");
        self.effects.push(Effect::Rent(hire.clone()));
        let request = PendingRental {
            hire,
            retry_at: None,
            retries: 0,
        };
        self.fleet.requests.insert(name, request);
    }

    /// An earlier leader may have rented for the job what no list shows yet. Until lists
    /// show all that was rented before this leadership, only jobs that came in since are
    /// rented for.
    fn may_be_rented_already(&self, now: Time, job: &Job) -> bool {
        job.seq < self.fleet.first_submitted_seq
            && now < self.leading_since + self.config.max_list_age
    }

    /// What is on its way, by kind: machines that boot or are asked for, and
    /// resources that running tasks leave before a machine rented now would be up.
    fn expected_capacity(&self, now: Time) -> BTreeMap<MachineKind, ExpectedCapacity> {
        let mut all: BTreeMap<MachineKind, ExpectedCapacity> = BTreeMap::new();
        for request in self.fleet.requests.values() {
            let hire = &request.hire;
            if self.zone_monitor.is_silent(&hire.zone) {
                continue;
            }
            let coming = all.entry(MachineKind::of_request(hire)).or_default();
            coming.machines += hire.count as f64;
            coming.empty_machines += hire.count as f64;
        }
        for machine in self.machines.values() {
            // Nothing can be counted on in a zone that is silent.
            if self.zone_monitor.is_silent(&machine.zone) {
                continue;
            }
            let of_machine = self.expected_on_machine(now, machine);
            if of_machine.machines > 0.0 {
                let coming = all.entry(MachineKind::of_machine(machine)).or_default();
                coming.machines += of_machine.machines;
                coming.empty_machines += of_machine.empty_machines;
            }
        }
        all
    }

    fn expected_on_machine(&self, now: Time, machine: &Machine) -> ExpectedCapacity {
        match machine.state {
            MachineState::Booting => ExpectedCapacity {
                machines: 1.0,
                empty_machines: 1.0,
            },
            MachineState::Up if machine.closed => ExpectedCapacity {
                machines: machine
                    .free()
                    .at_least_zero()
                    .dominant_share_of(&machine.capacity),
                empty_machines: machine.allocations.is_empty() as u8 as f64,
            },
            MachineState::Up if machine.spot_notice_until.is_none() && machine.capacity.cpu > 0 => {
                self.freed_soon(now, machine)
            }
            MachineState::Up | MachineState::Leaving { .. } => ExpectedCapacity::default(),
        }
    }

    /// What the tasks of a machine leave before one rented now would be up.
    fn freed_soon(&self, now: Time, machine: &Machine) -> ExpectedCapacity {
        let soon = Span::secs(self.boot_s(&machine.build) * self.config.tuning.wait_share);
        let mut freed = Resources::default();
        let mut staying = 0;
        for slot in machine.allocations.values() {
            if slot.ends_within(now, soon) {
                freed += slot.need;
            } else {
                staying += 1;
            }
        }
        let empties = staying == 0 && !machine.allocations.is_empty();
        ExpectedCapacity {
            machines: freed.dominant_share_of(&machine.capacity),
            empty_machines: empties as u8 as f64,
        }
    }

    /// Kinds of machine that hold a task of this need, and suit the demand if there is
    /// one, the cheapest first; `machines`: how many there are in each zone.
    fn kinds_for(
        &self,
        now: Time,
        need: &Resources,
        demand: Option<Demand>,
        machines: &BTreeMap<Zone, usize>,
    ) -> Vec<PricedKind> {
        let demand = demand.map(|demand| (demand, AllowedZones::of(self, demand.job)));
        let suits = |kind: &MachineKind| {
            let demand = demand.as_ref();
            demand.is_none_or(|(demand, allowed)| suits(*demand, allowed, kind))
        };
        let mut kinds = vec![];
        for flavor in self.machine_types.values() {
            let tasks = Resources::of_machine_type(flavor).tasks_that_fit(need);
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
    fn offers(&self, now: Time, flavor: &Flavor) -> Vec<(MachineKind, f64)> {
        let mut offers = vec![];
        // What is rented in a zone that is lost boots and is paid for, and never
        // reports.
        for zone in flavor
            .zones
            .iter()
            .filter(|zone| !self.zone_monitor.is_silent(zone))
        {
            let spot = flavor.spot_price.map(|price| (true, price));
            for (spot, price) in spot.into_iter().chain([(false, flavor.price)]) {
                let kind = MachineKind {
                    build: flavor.build.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !self.fleet.recently_refused(now, &kind) {
                    offers.push((kind, price));
                }
            }
        }
        offers
    }

    fn machines_by_zone(&self) -> BTreeMap<Zone, usize> {
        let mut machines = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| !machine.closed) {
            *machines.entry(machine.zone.clone()).or_default() += 1;
        }
        machines
    }

    /// How long a machine of that type boots, in seconds.
    pub(in crate::sched) fn boot_s(&self, build: &Build) -> f64 {
        self.machine_types
            .get(build)
            .map_or(0.0, |flavor| flavor.boot_s)
    }

    fn tasks_per_machine(&self, kind: &MachineKind, need: &Resources) -> f64 {
        let flavor = self.machine_types.get(&kind.build);
        flavor.map_or(0.0, |flavor| {
            Resources::of_machine_type(flavor).tasks_that_fit(need) as f64
        })
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
    fn missing_headroom(&self, now: Time) -> Option<(MachineKind, f64)> {
        let keep = self.headroom(now);
        let free = self.free_capacity(now);
        let plain = !free.plain.covers(&keep.plain);
        if !plain && free.all.covers(&keep.all) {
            return None;
        }
        let least_task = Resources {
            cpu: 1000,
            gpu: 0,
            mem: 1000,
        };
        let kinds = self.kinds_for(now, &least_task, None, &self.machines_by_zone());
        let mut kinds = kinds.into_iter().map(|priced| priced.kind);
        let kind = kinds.find(|kind| !plain || !kind.spot)?;
        let whole = Resources::of_machine_type(self.machine_types.get(&kind.build)?);
        let lacking = if plain {
            keep.plain.minus(&free.plain)
        } else {
            keep.all.minus(&free.all)
        };
        Some((kind, lacking.at_least_zero().dominant_share_of(&whole)))
    }

    /// The cloud's answer to a rental request.
    pub(in crate::sched) fn rental_answered(
        &mut self,
        now: Time,
        hire: Hire,
        result: RentalResult,
    ) {
        let kind = MachineKind::of_request(&hire);
        match result {
            RentalResult::Ok(hosts) => {
                self.fleet.requests.remove(&hire.name);
                let rented = hosts.len() as u32;
                if rented < hire.count {
                    self.fleet.refused.insert(kind, now);
                }
                tracing::info!(request = %hire.name, got = rented, "rented");
                for host in hosts {
                    if !self.fleet.is_returned(&host) {
                        self.add_rented(now, host, &hire);
                    }
                }
                if rented == hire.count && hire.count == MAX_MACHINES_PER_REQUEST {
                    // Likely not all of it: the rest is asked for at once.
                    self.rent(now);
                }
            }
            RentalResult::NoCapacity => {
                tracing::info!(request = %hire.name, zone = %hire.zone, spot = hire.spot, "none to rent");
                self.fleet.requests.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
                // The next kind is asked for at once.
                self.rent(now);
            }
            RentalResult::Invalid => {
                tracing::warn!(request = %hire.name, "rental request refused as invalid");
                self.fleet.requests.remove(&hire.name);
                self.fleet.refused.insert(kind, now);
            }
            RentalResult::Busy | RentalResult::Unclear => {
                if let Some(request) = self.fleet.requests.get_mut(&hire.name) {
                    request.retries += 1;
                    let delay_s = request.retries.min(MAX_RETRY_DELAY_S);
                    request.retry_at = Some(now + Span::secs(delay_s as f64));
                }
            }
        }
    }

    fn add_rented(&mut self, now: Time, host: Host, hire: &Hire) {
        let token = self.base_token();
        let flavor = self.machine_types.get(&hire.build);
        let machine = self.machines.entry(host.clone()).or_insert_with(|| {
            let (build, zone) = (hire.build.clone(), hire.zone.clone());
            let mut machine = Machine::new(host, build, zone, hire.spot, now, token);
            if let Some(flavor) = flavor {
                machine.set_machine_type(flavor);
            }
            machine
        });
        // Nobody else has ever told it anything. It may have reported before
        // this answer came; nothing was placed there until now.
        self.replan |= machine.has_reported && !machine.existence_confirmed;
        machine.existence_confirmed = true;
        machine.session_confirmed = true;
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

use crate::ids::{Build, Host, Team, Zone};
use crate::sched::allowed_zones::AllowedZones;
use crate::sched::job::Job;
use crate::sched::machine::{Life, Machine};
use crate::time::{Span, Time};
use crate::wire::cloud::{Flavor, Hire};
use std::collections::BTreeMap;
