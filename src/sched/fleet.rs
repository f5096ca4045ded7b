//! Which machines are rented, watched, returned and written off.

mod rent;

use super::job::Phase;
use super::machine::{Machine, MachineState};
use super::place::may_run_on;
use super::{Effect, Scheduler};
use crate::ids::{Build, Epoch, Host, JobId, Label, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::cloud::{Hire, Listed};
use crate::wire::user::Kind;
use hookworks_job_lifecycle::Failure;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A machine costs at least this long.
const MIN_PAID_TIME: Span = Span(60_000_000);
/// Unreachable machines are returned one in so long: many at a time are likely to be a
/// matter of the network.
const UNREACHABLE_RETURN_INTERVAL: Span = Span(2_000_000);
/// A worker whose controller has lost the leader reports elsewhere after so long.
const REROUTE_TIMEOUT: Span = Span(8_000_000);
/// Errors in a row that quarantine a machine.
const MAX_ERRORS_IN_A_ROW: u32 = 2;
/// A machine whose task failed gets no new one for so long.
const FAILED_TASK_BACKOFF: Span = Span(5_000_000);
/// A job that fails everywhere starts nothing for so long, and twice that after every
/// few more errors, up to eight times: short enough that it is not left waiting once
/// the cause is mended.
const FAILING_JOB_BACKOFF_S: f64 = 5.0;
const ERRORS_PER_DOUBLING: u32 = 3;
const MAX_DOUBLINGS: u32 = 3;
/// A machine that was to be taken and has been silent for so long has been taken.
const RECLAIMED_AFTER_SILENCE: Span = Span(4_500_000);
/// A machine of an unknown type boots for so long.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Machines returned in one request.
const MAX_RETURNS_PER_REQUEST: usize = 100;
/// A return is asked for again if no answer says that the machine is gone.
const RETURN_RETRY_INTERVAL: Span = Span(6_000_000);

/// What can be asked of the cloud.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MachineKind {
    build: Build,
    zone: Zone,
    spot: bool,
}

impl MachineKind {
    fn of_machine(machine: &Machine) -> MachineKind {
        MachineKind {
            build: machine.build.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    fn of_request(hire: &Hire) -> MachineKind {
        MachineKind {
            build: hire.build.clone(),
            zone: hire.zone.clone(),
            spot: hire.spot,
        }
    }
}

/// Tasks of a job that found no room.
#[derive(Clone, Debug)]
pub struct Shortage {
    pub job: JobId,
    pub tasks: i64,
    /// The only zone in which room is of use.
    pub zone: Option<Zone>,
}

impl Shortage {
    pub fn anywhere(job: &JobId, tasks: i64) -> Shortage {
        Shortage {
            job: job.clone(),
            tasks,
            zone: None,
        }
    }
}

/// A rental request that has no final answer yet.
struct PendingRental {
    hire: Hire,
    /// When to send it again; none while it is under way.
    retry_at: Option<Time>,
    retries: u32,
}

/// What is known of the fleet besides its machines.
pub struct Fleet {
    epoch: Epoch,
    last_request_number: u64,
    /// Jobs with tasks that found no room though their team may run them.
    pub shortages: Vec<Shortage>,
    /// Rental requests by name.
    requests: BTreeMap<String, PendingRental>,
    /// When each kind of machine was last refused.
    refused: HashMap<MachineKind, Time>,
    /// Machines that were returned for certain.
    returned: HashSet<Host>,
    /// When other controllers were last found out of reach.
    pub unreachable_controllers: HashMap<Label, Time>,
    /// The sequence number of the first job that came in this term; those before it
    /// were loaded.
    pub first_submitted_seq: u64,
    /// The next unreachable machine may be returned then.
    return_unreachable_at: Time,
}

impl Fleet {
    pub fn new(epoch: Epoch) -> Fleet {
        Fleet {
            epoch,
            last_request_number: 0,
            shortages: vec![],
            requests: BTreeMap::new(),
            refused: HashMap::new(),
            returned: HashSet::new(),
            unreachable_controllers: HashMap::new(),
            first_submitted_seq: 0,
            return_unreachable_at: Time::default(),
        }
    }

    /// Heartbeats by way of that controller may not have come through.
    fn route_may_be_lost(&self, now: Time, via: &Option<Label>) -> bool {
        let since = via
            .as_ref()
            .and_then(|label| self.unreachable_controllers.get(label));
        since.is_some_and(|since| now - *since < REROUTE_TIMEOUT)
    }

    /// Returned for certain: whatever still arrives from there is late.
    pub fn is_returned(&self, host: &Host) -> bool {
        self.returned.contains(host)
    }

    /// Rental requests without an answer yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Some kind of machine was not refused lately, or is on its way.
    pub fn can_rent(&self, now: Time) -> bool {
        let mut refused = self.refused.keys();
        !self.requests.is_empty() || refused.all(|kind| !self.recently_refused(now, kind))
    }

    fn recently_refused(&self, now: Time, kind: &MachineKind) -> bool {
        let refused = self.refused.get(kind);
        refused.is_some_and(|at| now - *at <= rent::REFUSED_KIND_BACKOFF)
    }
}

/// What the silence of machines means at the moment.
struct Silence {
    /// Machines that are silent for longer have failed, as far as can be told.
    limit: Span,
    /// The same for those whose controller may not reach this one.
    limit_route_lost: Span,
    /// What was not heard while this process was suspended is no silence of theirs.
    resumed_at: Time,
    /// This leader has been there for long enough to have heard all machines.
    settled: bool,
    /// It is long and of few enough machines to be no fault on our side.
    is_machine_fault: bool,
}

impl Silence {
    fn limit_for(&self, cut_off: bool) -> Span {
        if cut_off {
            self.limit_route_lost
        } else {
            self.limit
        }
    }
}

/// A machine that has not come up by then will not.
pub(super) fn boot_timeout(boot_s: f64) -> Span {
    Span::secs(boot_s * 2.5 + 10.0)
}

impl Scheduler {
    /// Rents for what found no room, and returns what idles.
    pub(super) fn plan_fleet(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        self.repeat_rental_requests(now);
        self.rent(now);
        self.return_idle(now);
        self.request_returns(now);
    }

    /// A page of the cloud's list of machines.
    pub(super) fn machines_listed(&mut self, now: Time, list: Vec<Listed>) {
        let mut unexpected = 0;
        let mut unreported = vec![];
        for listed in list {
            if self.fleet.is_returned(&listed.host) {
                continue;
            }
            if !self.machines.contains_key(&listed.host) {
                unexpected += 1;
                self.add_unexpected(now, &listed);
            }
            if self.update_listed(now, &listed) {
                unreported.push(listed.host);
            }
        }
        self.request_reports(now, unreported);
        if unexpected > 0 {
            tracing::info!(machines = unexpected, "not expected but listed");
        }
    }

    fn add_unexpected(&mut self, now: Time, listed: &Listed) {
        tracing::debug!(host = %listed.host, status = %listed.status, "a machine that was not expected is listed");
        let token = self.base_token();
        let rented = Time(now.0.saturating_sub(Span::secs(listed.age_s).0));
        let (host, build, zone) = (&listed.host, listed.build.clone(), listed.zone.clone());
        let mut machine = Machine::new(host.clone(), build, zone, listed.spot, rented, token);
        machine.last_renewal = self.latest_lease_renewal(now);
        self.machines.insert(host.clone(), machine);
    }

    /// True if the machine runs and has not reported yet.
    fn update_listed(&mut self, now: Time, listed: &Listed) -> bool {
        let Some(machine) = self.machines.get_mut(&listed.host) else {
            return false;
        };
        if !machine.has_reported {
            // Loaded attempts name a machine, but not its type and zone.
            machine.build = listed.build.clone();
            machine.zone = listed.zone.clone();
            machine.spot = listed.spot;
            if let Some(flavor) = self.machine_types.get(&machine.build) {
                machine.set_machine_type(flavor);
            }
        }
        machine.existence_confirmed = true;
        if machine.addr.is_none() {
            machine.addr = listed.addr.clone();
        }
        self.fences.bound_machine_times(machine);
        if listed.status == "failed" && !matches!(machine.state, MachineState::Leaving { .. }) {
            tracing::info!(host = %machine.host, "stopped on its own, released");
            machine.state = MachineState::Leaving { next: now };
        }
        listed.status == "running" && !machine.has_reported
    }

    /// Until when the lease of a worker that we have just met may have been
    /// renewed: an earlier leader may go on for a while after our beginning.
    pub(super) fn latest_lease_renewal(&self, now: Time) -> Time {
        now.max(self.leading_since + self.config.report_grace())
    }

    /// Machines that fell silent, never came up or are about to be taken.
    pub(super) fn watch_machines(&mut self, now: Time) {
        self.update_zones(now);
        let lease = self.lease_bound();
        let silence = self.silence(now);
        let kept: HashSet<Zone> = self.retained_zones(now);
        let mut expired: Vec<Host> = vec![];
        let mut evicted: Vec<TaskId> = vec![];
        for machine in self.machines.values_mut() {
            let zone_kept = kept.contains(&machine.zone);
            let has_worker = machine.state != MachineState::Booting;
            match machine.state {
                MachineState::Booting => {
                    let boot_s = self.machine_types.get(&machine.build).map(|f| f.boot_s);
                    let limit = boot_timeout(boot_s.unwrap_or(DEFAULT_BOOT_S));
                    // A new leader has not heard from those that are up.
                    if now - machine.rented_at > limit && !zone_kept && silence.settled {
                        tracing::info!(host = %machine.host, "never came up, released");
                        machine.state = MachineState::Leaving { next: now };
                    }
                }
                MachineState::Up => {
                    machine.end_quarantine(now);
                    // One that comes back has as long as any other to report.
                    let returned = self.zone_monitor.zones.returned_at(&machine.zone);
                    let heard = machine.last_heartbeat.max(returned).max(silence.resumed_at);
                    let cut_off = self.fleet.route_may_be_lost(now, &machine.relayed_by);
                    let silent =
                        now - heard > silence.limit_for(cut_off) && silence.is_machine_fault;
                    let taken = machine.spot_notice_until.is_some_and(|until| now > until)
                        && now - heard > RECLAIMED_AFTER_SILENCE;
                    if (silent && !zone_kept) || taken {
                        tracing::info!(host = %machine.host, tasks = machine.allocations.len(), "silent, released");
                        machine.state = MachineState::Leaving { next: now };
                    }
                    if machine.spot_notice_until.is_some() {
                        evicted.extend(machine.allocations.keys().cloned());
                    }
                }
                MachineState::Leaving { .. } => {}
            }
            if has_worker && now > machine.last_renewal + lease {
                expired.push(machine.host.clone());
            }
        }
        for host in expired {
            self.worker_lease_expired(now, &host);
        }
        for task in evicted {
            self.evict(now, &task);
        }
    }

    /// What the silence of machines means at the moment.
    fn silence(&self, now: Time) -> Silence {
        let workers = &self.config.workers;
        let heartbeats_s = workers.report_s * 1.25 * 2.0 + 2.0;
        let share_of_lease_s = workers.lease_s * self.config.tuning.silent_share;
        let limit = Span::secs(share_of_lease_s.max(heartbeats_s));
        // Zones in trouble are one matter, and machines that fall silent another.
        let watched = |machine: &&Machine| {
            machine.state == MachineState::Up
                && machine.existence_confirmed
                && !self.zone_monitor.is_silent(&machine.zone)
        };
        let awake = self.resumed_at;
        let is_silent = |machine: &&Machine| now - machine.last_heartbeat.max(awake) > limit;
        let all = self.machines.values().filter(watched).count();
        let silent = self.machines.values().filter(watched).filter(is_silent);
        // When most fall silent at once, the fault is likely on our side.
        let is_ours = all > 2 && silent.count() * 2 > all;
        let settled = now - self.leading_since.max(awake) > limit;
        Silence {
            limit,
            limit_route_lost: limit.max(Span::secs(workers.lease_s)),
            resumed_at: awake,
            settled,
            is_machine_fault: settled && !is_ours,
        }
    }

    /// The worker's lease has expired by any clock, so its tasks are gone.
    fn worker_lease_expired(&mut self, now: Time, host: &Host) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.last_renewal = now;
        machine.has_reported = false;
        // An unreachable one, which reports all the same, is looked after in
        // `return_idle`.
        let failed = machine.state == MachineState::Up && machine.unreachable_since.is_none();
        let zone = machine.zone.clone();
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        // A lost zone's machines are good for its next session, when it is back.
        if failed
            && !self.retains_zone(now, &zone)
            && let Some(machine) = self.machines.get_mut(host)
        {
            machine.state = MachineState::Leaving { next: now };
        }
        self.zone_monitor.note_lease_expired(&zone, tasks.len());
        if !tasks.is_empty() {
            tracing::info!(%host, tasks = tasks.len(), "lease has run out, tasks restart");
        }
        for task in tasks {
            self.attempt_gone_with(now, &task, Some(Failure::Lost), false);
        }
    }

    /// Graceful eviction of a task from a machine that is about to be taken: it saves
    /// while it can.
    fn evict(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(live) = job.active.get(&task.ix) else {
            return;
        };
        let machine = self.machines.get(&live.host);
        let Some(until) = machine.and_then(|machine| machine.spot_notice_until) else {
            return;
        };
        if live.stop.is_some() {
            return;
        }
        let (kind, save_s) = (job.spec.kind, job.spec.save_s);
        let margin = Span::secs(save_s * 1.5 + 4.0);
        let saves = job.spec.checkpoint_s > 0.0 && live.phase == Phase::Running;
        let saves_now = saves && now + margin >= until;
        match kind {
            // Moved while its machine still stands.
            Kind::Service => self.stop_attempt(now, &task.job, task.ix, save_s + 1.0),
            Kind::Gang if saves_now => self.stop_gang(now, &task.job),
            Kind::Array if saves_now => self.stop_attempt(now, &task.job, task.ix, save_s + 1.0),
            Kind::Gang | Kind::Array => {}
        }
    }

    /// A task ended with an error: the machine's fault, or the job's?
    pub(super) fn task_failed(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.errors += 1;
        job.error_hosts.insert(host.clone());
        let works_elsewhere = job.done_count > 0;
        if job.failed_on_many_machines() {
            return self.job_fails_everywhere(now, &task.job);
        }
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.failures += 1;
        machine.failed_jobs.insert(task.job.clone());
        machine.backoff_until = now + FAILED_TASK_BACKOFF;
        let blamed = machine.failed_jobs.len() > 1 || works_elsewhere;
        if machine.failures >= MAX_ERRORS_IN_A_ROW && blamed && !machine.quarantined {
            tracing::info!(%host, fails = machine.failures, "quarantined");
            machine.quarantined = true;
            machine.quarantined_at = now;
            self.discard_failures_on(host);
        }
    }

    /// The job fails on all machines, so that they are not to blame.
    fn job_fails_everywhere(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let doublings = (job.errors / ERRORS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let pause = FAILING_JOB_BACKOFF_S * 2f64.powi(doublings as i32);
        job.backoff_until = now + Span::secs(pause);
        tracing::info!(job = %id, pause, "fails everywhere, backs off");
        for machine in self.machines.values_mut() {
            if machine.failed_jobs.remove(id) && machine.failed_jobs.is_empty() {
                machine.failures = 0;
                machine.quarantined = false;
            }
        }
    }

    /// Scale in: returns machines that idle or can't be used.
    fn return_idle(&mut self, now: Time) {
        let keep = self.headroom(now);
        let mut free = self.free_capacity(now);
        let is_idle = |machine: &&Machine| {
            let up = machine.state == MachineState::Up && machine.has_reported;
            up && !machine.closed && machine.allocations.is_empty()
        };
        let idle = self.machines.values().filter(is_idle);
        let mut idle: Vec<(bool, Time, Host)> = idle
            .map(|machine| (machine.spot, machine.idle_since, machine.host.clone()))
            .collect();
        // Ordinary machines cost more, so they go first.
        idle.sort();
        for (spot, _, host) in idle {
            let Some(machine) = self.machines.get(&host) else {
                continue;
            };
            let mut unusable = machine.quarantined || machine.spot_notice_until.is_some();
            if let Some(since) = machine.unreachable_since {
                let long = now - since >= self.lease_bound() + self.lease_bound();
                if !long || now < self.fleet.return_unreachable_at {
                    continue;
                }
                self.fleet.return_unreachable_at = now + UNREACHABLE_RETURN_INTERVAL;
                unusable = true;
            }
            if !unusable {
                let mut rest = free;
                rest.take(&machine.capacity, spot);
                let kept = !rest.all.covers(&keep.all) || !spot && !rest.plain.covers(&keep.plain);
                if kept || !self.idle_timeout_expired(now, machine) || self.is_wanted(machine) {
                    continue;
                }
                free = rest;
            }
            tracing::info!(%host, spot, "given back");
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.state = MachineState::Leaving { next: now };
            }
        }
    }

    fn idle_timeout_expired(&self, now: Time, machine: &Machine) -> bool {
        let tuning = &self.config.tuning;
        let limit_s = if machine.spot {
            tuning.idle_spot_s
        } else {
            tuning.idle_s
        };
        now - machine.idle_since > Span::secs(limit_s) && now - machine.rented_at > MIN_PAID_TIME
    }

    /// Some job without room could use the machine.
    fn is_wanted(&self, machine: &Machine) -> bool {
        self.fleet.shortages.iter().any(|short| {
            let job = self.jobs.get(&short.job);
            let zone = short.zone.as_ref();
            job.is_some_and(|job| may_run_on(&job.spec, machine))
                && zone.is_none_or(|zone| *zone == machine.zone)
        })
    }

    /// Asks the cloud to take back the machines that leave.
    fn request_returns(&mut self, now: Time) {
        let mut hosts = vec![];
        for machine in self.machines.values_mut() {
            if let MachineState::Leaving { next } = &mut machine.state
                && now >= *next
                && hosts.len() < MAX_RETURNS_PER_REQUEST
            {
                *next = now + RETURN_RETRY_INTERVAL;
                hosts.push(machine.host.clone());
            }
        }
        if !hosts.is_empty() {
            self.effects.push(Effect::Release(hosts));
        }
    }

    /// The cloud's answer to a return; `ok`: the machines are gone for certain, and with
    /// them what ran there.
    pub(super) fn machines_returned(&mut self, now: Time, hosts: Vec<Host>, ok: bool) {
        if !ok {
            return;
        }
        for host in hosts {
            let Some(machine) = self.machines.get(&host) else {
                continue;
            };
            if !matches!(machine.state, MachineState::Leaving { .. }) {
                continue;
            }
            let zone = machine.zone.clone();
            let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
            for task in tasks {
                self.attempt_gone_with(now, &task, Some(Failure::Lost), false);
            }
            self.zone_monitor.note_released(&zone);
            self.machines.remove(&host);
            self.fleet.returned.insert(host);
        }
    }
}
