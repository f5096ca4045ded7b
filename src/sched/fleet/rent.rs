//! Scale out: which machines are rented, of which kind and in which zone, and how
//! rental requests are answered.

use super::{MachineKind, PendingRental};
use crate::ids::{Host, MachineTypeId, Team, Zone};
use crate::sched::allowed_zones::AllowedZones;
use crate::sched::job::Job;
use crate::sched::machine::{Machine, MachineState};
use crate::sched::{Effect, RentalResult, Resources, Scheduler};
use crate::time::{Span, Time};
use crate::wire::cloud::{MachineType, RentalRequest};
use std::collections::BTreeMap;

/// A kind of machine that was refused is not requested again for this time.
pub(super) const REFUSED_KIND_BACKOFF: Span = Span(15_000_000);
/// The maximum number of machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// No machine is rented if less than this share of it is needed.
const MIN_MACHINE_SHARE: f64 = 0.2;
/// A request without an answer is retried after one second, then with a delay that
/// grows by one second each time, up to this maximum.
const MAX_RETRY_DELAY_S: u32 = 5;

/// Capacity that is expected soon, in machines of one kind.
#[derive(Default)]
struct ExpectedCapacity {
    /// All of it.
    machines: f64,
    /// The part on machines that will be empty.
    empty_machines: f64,
}

impl ExpectedCapacity {
    /// Reserves capacity for up to this many tasks; returns for how many it suffices.
    fn reserve(&mut self, tasks: f64, tasks_per_machine: f64) -> f64 {
        if tasks_per_machine <= 0.0 {
            return 0.0;
        }
        // A task that needs a whole machine can't use the free part of another one.
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

/// A job whose tasks lack resources, and the only zone whose machines are of use to
/// them, if there is one.
#[derive(Clone, Copy)]
struct Demand<'a> {
    job: &'a Job,
    zone: Option<&'a Zone>,
}

/// A kind of machine and its price for each task.
struct PricedKind {
    price_per_task: f64,
    kind: MachineKind,
}

impl Scheduler {
    /// Retries the rental requests that had no answer, when they are due.
    pub(super) fn repeat_rental_requests(&mut self, now: Time) {
        for pending in self.fleet.requests.values_mut() {
            if pending.retry_at.is_some_and(|at| now >= at) {
                pending.retry_at = None;
                self.effects.push(Effect::Rent(pending.request.clone()));
            }
        }
    }

    /// Rents machines for tasks that lack resources, or else for the headroom.
    pub(super) fn rent(&mut self, now: Time) {
        // One request is in flight at a time; its answer shows what is still needed.
        let mut requests = self.fleet.requests.values();
        if requests.any(|pending| pending.retry_at.is_none()) {
            return;
        }
        let mut expected = self.expected_capacity(now);
        let mut wanted = self.wanted_for_jobs(now, &mut expected);
        if wanted.is_empty() {
            wanted.extend(self.wanted_for_headroom(now, &mut expected));
        }
        for (kind, machines) in wanted {
            if machines >= MIN_MACHINE_SHARE {
                self.request_machines(now, kind, machines);
            }
        }
    }

    /// How many machines of each kind the jobs that lack resources need in addition to
    /// the expected capacity.
    fn wanted_for_jobs(
        &self,
        now: Time,
        expected: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> BTreeMap<MachineKind, f64> {
        let machines = self.machines_by_zone();
        let ordinary_wanted = self.jobs.values().any(|job| !job.spec.spot);
        let mut quota: BTreeMap<&Team, Resources> = BTreeMap::new();
        let mut machines_wanted = BTreeMap::new();
        for (demand, tasks) in self.demands() {
            let job = demand.job;
            let team = &job.spec.team;
            let quota = quota
                .entry(team)
                .or_insert_with(|| self.teams.remaining(team));
            let tasks = tasks.min(quota.tasks_that_fit(&job.need));
            if tasks <= 0 {
                continue;
            }
            *quota -= job.need.scaled(tasks);
            let lacking = self.reserve_expected(now, demand, tasks, ordinary_wanted, expected);
            if lacking <= 0.0 || self.may_be_rented_already(now, job) {
                continue;
            }
            let kinds = self.kinds_for(now, &job.need, Some(demand), &machines);
            let Some(PricedKind { kind, .. }) = kinds.into_iter().next() else {
                continue;
            };
            let tasks_per_machine = self.tasks_per_machine(&kind, &job.need).max(1.0);
            *machines_wanted.entry(kind).or_default() += lacking / tasks_per_machine;
        }
        machines_wanted
    }

    /// The jobs that lack resources, with the number of their tasks. Jobs that only
    /// some kinds of machine can serve come first: otherwise jobs that could use any
    /// kind reserve those machines, and they are rented again and again.
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

    /// Reserves expected capacity for tasks of a job; returns how many tasks lack some.
    fn reserve_expected(
        &self,
        now: Time,
        demand: Demand,
        tasks: i64,
        ordinary_wanted: bool,
        expected: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> f64 {
        let job = demand.job;
        // A job that may use spot machines does not count on ordinary ones if it can
        // rent spot machines.
        let spot_only = job.spec.spot && ordinary_wanted && self.spot_rentable(now, job);
        let allowed_zones = AllowedZones::of(self, job);
        let mut lacking = tasks as f64;
        for (kind, expected) in expected.iter_mut() {
            if lacking > 0.0 && (kind.spot || !spot_only) && suits(demand, &allowed_zones, kind) {
                lacking -= expected.reserve(lacking, self.tasks_per_machine(kind, &job.need));
            }
        }
        lacking
    }

    /// How much of a machine to rent when less capacity is free than the headroom
    /// requires.
    fn wanted_for_headroom(
        &self,
        now: Time,
        expected: &mut BTreeMap<MachineKind, ExpectedCapacity>,
    ) -> Option<(MachineKind, f64)> {
        let (kind, mut machines) = self.missing_headroom(now)?;
        for (expected_kind, expected) in expected.iter_mut() {
            if kind.spot || !expected_kind.spot {
                machines -= expected.reserve(machines, 1.0);
            }
        }
        Some((kind, machines))
    }

    fn request_machines(&mut self, now: Time, kind: MachineKind, machines: f64) {
        // Rentals in a zone that has just returned are increased gradually.
        let open_share = self.zone_monitor.usable_share(now, &kind.zone);
        let max = (MAX_MACHINES_PER_REQUEST as f64 * open_share).ceil() as u32;
        let count = (machines.ceil() as u32).clamp(1, max.max(1));
        self.fleet.last_request_number += 1;
        let name = format!("hw-{}-{}", self.fleet.epoch, self.fleet.last_request_number);
        let request = RentalRequest {
            name: name.clone(),
            build: kind.build,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        tracing::info!(request = %name, build = %request.build, zone = %request.zone,
            spot = request.spot, count, "renting");
        self.effects.push(Effect::Rent(request.clone()));
        let pending = PendingRental {
            request,
            retry_at: None,
            retries: 0,
        };
        self.fleet.requests.insert(name, pending);
    }

    /// Whether an earlier leader may have rented machines for the job that no list
    /// shows yet. Until the cloud's lists show everything that was rented before this
    /// leadership, machines are rented only for jobs submitted since.
    fn may_be_rented_already(&self, now: Time, job: &Job) -> bool {
        job.seq < self.fleet.first_submitted_seq
            && now < self.leading_since + self.config.max_list_age
    }

    /// The expected capacity by kind: machines that boot or are requested, and
    /// resources that running tasks free before a machine rented now would be up.
    fn expected_capacity(&self, now: Time) -> BTreeMap<MachineKind, ExpectedCapacity> {
        let mut all: BTreeMap<MachineKind, ExpectedCapacity> = BTreeMap::new();
        for pending in self.fleet.requests.values() {
            let request = &pending.request;
            if self.zone_monitor.is_silent(&request.zone) {
                continue;
            }
            let expected = all.entry(MachineKind::of_request(request)).or_default();
            expected.machines += request.count as f64;
            expected.empty_machines += request.count as f64;
        }
        for machine in self.machines.values() {
            // No capacity is expected in a silent zone.
            if self.zone_monitor.is_silent(&machine.zone) {
                continue;
            }
            let on_machine = self.expected_on_machine(now, machine);
            if on_machine.machines > 0.0 {
                let expected = all.entry(MachineKind::of_machine(machine)).or_default();
                expected.machines += on_machine.machines;
                expected.empty_machines += on_machine.empty_machines;
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

    /// The capacity that tasks of a machine free before one rented now would be up.
    fn freed_soon(&self, now: Time, machine: &Machine) -> ExpectedCapacity {
        let boot_wait = Span::secs(self.boot_s(&machine.build) * self.config.tuning.wait_share);
        let mut freed = Resources::default();
        let mut staying = 0;
        for allocation in machine.allocations.values() {
            if allocation.ends_within(now, boot_wait) {
                freed += allocation.need;
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

    /// The kinds of machine that fit a task of this need and suit the demand, if there
    /// is one, the cheapest first; `machines`: the number of machines in each zone.
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
        for machine_type in self.machine_types.values() {
            let tasks = Resources::of_machine_type(machine_type).tasks_that_fit(need);
            if tasks == 0 {
                continue;
            }
            for (kind, price) in self.offers(now, machine_type) {
                if suits(&kind) {
                    let price_per_task = price / tasks as f64;
                    kinds.push(PricedKind {
                        price_per_task,
                        kind,
                    });
                }
            }
        }
        // At equal prices the zone with the fewest machines comes first, so that the
        // loss of one zone hurts less.
        let machines_in = |kind: &MachineKind| machines.get(&kind.zone).copied().unwrap_or(0);
        kinds.sort_by(|a, b| {
            a.price_per_task
                .total_cmp(&b.price_per_task)
                .then_with(|| machines_in(&a.kind).cmp(&machines_in(&b.kind)))
        });
        kinds
    }

    /// The kinds of a machine type that may be requested now, with their prices.
    fn offers(&self, now: Time, machine_type: &MachineType) -> Vec<(MachineKind, f64)> {
        let mut offers = vec![];
        // Machines rented in a lost zone boot and are billed, but never report.
        for zone in machine_type
            .zones
            .iter()
            .filter(|zone| !self.zone_monitor.is_silent(zone))
        {
            let spot = machine_type.spot_price.map(|price| (true, price));
            for (spot, price) in spot.into_iter().chain([(false, machine_type.price)]) {
                let kind = MachineKind {
                    build: machine_type.build.clone(),
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

    /// The boot time of a machine of that type, in seconds.
    pub(in crate::sched) fn boot_s(&self, build: &MachineTypeId) -> f64 {
        self.machine_types
            .get(build)
            .map_or(0.0, |machine_type| machine_type.boot_s)
    }

    fn tasks_per_machine(&self, kind: &MachineKind, need: &Resources) -> f64 {
        let machine_type = self.machine_types.get(&kind.build);
        machine_type.map_or(0.0, |machine_type| {
            Resources::of_machine_type(machine_type).tasks_that_fit(need) as f64
        })
    }

    /// Whether some kind of machine for the job was not refused recently in that zone.
    pub(in crate::sched) fn rentable(&self, now: Time, job: &Job, zone: Option<&Zone>) -> bool {
        let demand = Demand { job, zone };
        let kinds = self.kinds_for(now, &job.need, Some(demand), &BTreeMap::new());
        !kinds.is_empty()
    }

    /// Whether some kind of spot machine for the job was not refused recently.
    pub(in crate::sched) fn spot_rentable(&self, now: Time, job: &Job) -> bool {
        let demand = Demand { job, zone: None };
        let kinds = self.kinds_for(now, &job.need, Some(demand), &BTreeMap::new());
        kinds.iter().any(|priced| priced.kind.spot)
    }

    /// The kind of machine to rent when less capacity is free than the headroom
    /// requires, and how much of it is missing.
    fn missing_headroom(&self, now: Time) -> Option<(MachineKind, f64)> {
        let headroom = self.headroom(now);
        let free = self.free_capacity(now);
        let lacks_ordinary = !free.ordinary.covers(&headroom.ordinary);
        if !lacks_ordinary && free.all.covers(&headroom.all) {
            return None;
        }
        let least_task = Resources {
            cpu: 1000,
            gpu: 0,
            mem: 1000,
            report: 0,
        };
        let kinds = self.kinds_for(now, &least_task, None, &self.machines_by_zone());
        let mut kinds = kinds.into_iter().map(|priced| priced.kind);
        let kind = kinds.find(|kind| !lacks_ordinary || !kind.spot)?;
        let capacity = Resources::of_machine_type(self.machine_types.get(&kind.build)?);
        let lacking = if lacks_ordinary {
            headroom.ordinary.minus(&free.ordinary)
        } else {
            headroom.all.minus(&free.all)
        };
        Some((kind, lacking.at_least_zero().dominant_share_of(&capacity)))
    }

    /// The cloud's answer to a rental request.
    pub(in crate::sched) fn rental_answered(
        &mut self,
        now: Time,
        request: RentalRequest,
        result: RentalResult,
    ) {
        let kind = MachineKind::of_request(&request);
        match result {
            RentalResult::Ok(hosts) => {
                self.fleet.requests.remove(&request.name);
                let rented = hosts.len() as u32;
                if rented < request.count {
                    self.fleet.refused.insert(kind, now);
                }
                tracing::info!(request = %request.name, got = rented, "rented");
                for host in hosts {
                    if !self.fleet.is_returned(&host) {
                        self.add_rented(now, host, &request);
                    }
                }
                if rented == request.count && request.count == MAX_MACHINES_PER_REQUEST {
                    // The request was probably capped; the rest is requested at once.
                    self.rent(now);
                }
            }
            RentalResult::NoCapacity => {
                tracing::info!(request = %request.name, zone = %request.zone, spot = request.spot, "cloud has no capacity for the rental request");
                self.fleet.requests.remove(&request.name);
                self.fleet.refused.insert(kind, now);
                // The next kind is requested at once.
                self.rent(now);
            }
            RentalResult::Invalid => {
                tracing::warn!(request = %request.name, "cloud refused the rental request as invalid");
                self.fleet.requests.remove(&request.name);
                self.fleet.refused.insert(kind, now);
            }
            RentalResult::Busy | RentalResult::Unclear => {
                if let Some(pending) = self.fleet.requests.get_mut(&request.name) {
                    pending.retries += 1;
                    let delay_s = pending.retries.min(MAX_RETRY_DELAY_S);
                    pending.retry_at = Some(now + Span::secs(delay_s as f64));
                }
            }
        }
    }

    fn add_rented(&mut self, now: Time, host: Host, request: &RentalRequest) {
        let token = self.base_token();
        let machine_type = self.machine_types.get(&request.build);
        let machine = self.machines.entry(host.clone()).or_insert_with(|| {
            let (build, zone) = (request.build.clone(), request.zone.clone());
            let mut machine = Machine::new(host, build, zone, request.spot, now, token);
            if let Some(machine_type) = machine_type {
                machine.set_machine_type(machine_type);
            }
            machine
        });
        // No other leader has sent commands to it. It may have reported before this
        // answer came; nothing was placed on it until now.
        self.replan |= machine.has_reported && !machine.existence_confirmed;
        machine.existence_confirmed = true;
        machine.session_confirmed = true;
    }
}

/// Whether machines of that kind can serve the demand.
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
