//! Fleet management: renting machines, watching their heartbeats, returning them and
//! writing them off.

mod rent;

use super::job::Phase;
use super::machine::{Machine, MachineState};
use super::place::may_run_on;
use super::{Effect, Scheduler};
use crate::ids::{ControllerId, Epoch, Host, JobId, MachineTypeId, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::cloud::{ListedHost, RentalRequest};
use crate::wire::user::JobKind;
use hookworks_job_lifecycle::Failure;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The shortest time for which a machine is billed.
const MIN_PAID_TIME: Span = Span(60_000_000);
/// Unreachable machines are returned one per interval: many at a time are likely to be
/// a network fault.
const UNREACHABLE_RETURN_INTERVAL: Span = Span(2_000_000);
/// A worker whose controller has lost the leader sends its heartbeats through another
/// controller after this time.
const REROUTE_TIMEOUT: Span = Span(8_000_000);
/// Consecutive errors that quarantine a machine.
const MAX_ERRORS_IN_A_ROW: u32 = 2;
/// A machine on which a task failed gets no new task for this time.
const FAILED_TASK_BACKOFF: Span = Span(5_000_000);
/// Backoff of a job that fails everywhere. It doubles after every few more errors, up
/// to eight times this value: short enough that the job restarts soon after the cause
/// is fixed.
const FAILING_JOB_BACKOFF_S: f64 = 5.0;
const ERRORS_PER_DOUBLING: u32 = 3;
const MAX_DOUBLINGS: u32 = 3;
/// A machine that the cloud announced to reclaim counts as reclaimed after this time
/// without a heartbeat.
const RECLAIMED_AFTER_SILENCE: Span = Span(4_500_000);
/// The boot time assumed for a machine of an unknown type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Machines returned in one request.
const MAX_RETURNS_PER_REQUEST: usize = 100;
/// A return request is repeated after this time if no answer confirms that the machine
/// is gone.
const RETURN_RETRY_INTERVAL: Span = Span(6_000_000);

/// The kind of a machine, as it is requested from the cloud.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MachineKind {
    build: MachineTypeId,
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

    fn of_request(request: &RentalRequest) -> MachineKind {
        MachineKind {
            build: request.build.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// Tasks of a job for which no free resources were found.
#[derive(Clone, Debug)]
pub struct Shortage {
    pub job: JobId,
    pub tasks: i64,
    /// The only zone whose machines are of use, if there is one.
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

/// A rental request without a final answer yet.
struct PendingRental {
    request: RentalRequest,
    /// When to send the request again; none while it is in flight.
    retry_at: Option<Time>,
    retries: u32,
}

/// The state of the fleet besides its machines.
pub struct Fleet {
    epoch: Epoch,
    last_request_number: u64,
    /// Jobs with tasks that lack resources though their team's quota allows them.
    pub shortages: Vec<Shortage>,
    /// Rental requests by name.
    requests: BTreeMap<String, PendingRental>,
    /// When each kind of machine was last refused.
    refused: HashMap<MachineKind, Time>,
    /// Machines whose return the cloud has confirmed.
    returned: HashSet<Host>,
    /// When other controllers were last found unreachable.
    pub unreachable_controllers: HashMap<ControllerId, Time>,
    /// The sequence number of the first job that was submitted under this leader; jobs
    /// before it were loaded.
    pub first_submitted_seq: u64,
    /// The earliest time at which the next unreachable machine may be returned.
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

    /// Whether heartbeats through that controller may have been lost.
    fn route_may_be_lost(&self, now: Time, controller: &Option<ControllerId>) -> bool {
        let since = controller
            .as_ref()
            .and_then(|label| self.unreachable_controllers.get(label));
        since.is_some_and(|since| now - *since < REROUTE_TIMEOUT)
    }

    /// Whether the return of the machine is confirmed: whatever still arrives from it
    /// is late.
    pub fn is_returned(&self, host: &Host) -> bool {
        self.returned.contains(host)
    }

    /// The number of rental requests without a final answer.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether some kind of machine was not refused recently, or is on its way.
    pub fn can_rent(&self, now: Time) -> bool {
        let mut refused = self.refused.keys();
        !self.requests.is_empty() || refused.all(|kind| !self.recently_refused(now, kind))
    }

    fn recently_refused(&self, now: Time, kind: &MachineKind) -> bool {
        let refused = self.refused.get(kind);
        refused.is_some_and(|at| now - *at <= rent::REFUSED_KIND_BACKOFF)
    }
}

/// How missing heartbeats are judged at the moment.
struct Silence {
    /// Machines without a heartbeat for longer are presumed to have failed.
    limit: Span,
    /// The same limit for machines whose controller may not reach this one.
    limit_route_lost: Span,
    /// When this process last resumed after a suspension; heartbeats missed before do
    /// not count.
    resumed_at: Time,
    /// This leader has led for long enough to have received heartbeats from all
    /// machines.
    settled: bool,
    /// Missing heartbeats are the machines' fault: this leader has led long enough, and
    /// too few machines are silent for a fault on this side.
    is_machine_fault: bool,
}

impl Silence {
    fn limit_for(&self, route_may_be_lost: bool) -> Span {
        if route_may_be_lost {
            self.limit_route_lost
        } else {
            self.limit
        }
    }
}

/// The time after which a machine that has not come up is given up.
pub(super) fn boot_timeout(boot_s: f64) -> Span {
    Span::secs(boot_s * 2.5 + 10.0)
}

impl Scheduler {
    /// Rents machines for tasks that lack resources, and returns idle ones.
    pub(super) fn plan_fleet(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        self.repeat_rental_requests(now);
        self.rent(now);
        self.return_idle(now);
        self.request_returns(now);
    }

    /// Processes a page of the cloud's list of machines.
    pub(super) fn machines_listed(&mut self, now: Time, list: Vec<ListedHost>) {
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
            tracing::info!(
                machines = unexpected,
                "unexpected machines in the cloud's list"
            );
        }
    }

    fn add_unexpected(&mut self, now: Time, listed: &ListedHost) {
        tracing::debug!(host = %listed.host, status = %listed.status, "unexpected machine in the cloud's list");
        let token = self.base_token();
        let rented = Time(now.0.saturating_sub(Span::secs(listed.age_s).0));
        let (host, build, zone) = (&listed.host, listed.build.clone(), listed.zone.clone());
        let mut machine = Machine::new(host.clone(), build, zone, listed.spot, rented, token);
        machine.last_renewal = self.latest_lease_renewal(now);
        self.machines.insert(host.clone(), machine);
    }

    /// Updates a machine from the list; true if it runs and has not reported yet.
    fn update_listed(&mut self, now: Time, listed: &ListedHost) -> bool {
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
            tracing::info!(host = %machine.host, "machine failed in the cloud; returning it");
            machine.state = MachineState::Leaving { next: now };
        }
        listed.status == "running" && !machine.has_reported
    }

    /// The latest time at which an earlier leader may have renewed the lease of a
    /// worker that this leader has just met: an earlier leader may continue for a while
    /// after this one began.
    pub(super) fn latest_lease_renewal(&self, now: Time) -> Time {
        now.max(self.leading_since + self.config.report_grace())
    }

    /// Gives up machines without heartbeats and machines that never came up, and evicts
    /// tasks from machines that are about to be reclaimed.
    pub(super) fn watch_machines(&mut self, now: Time) {
        self.update_zones(now);
        let lease_bound = self.lease_bound();
        let silence = self.silence(now);
        let kept_zones: HashSet<Zone> = self.retained_zones(now);
        let mut expired: Vec<Host> = vec![];
        let mut to_evict: Vec<TaskId> = vec![];
        for machine in self.machines.values_mut() {
            let zone_kept = kept_zones.contains(&machine.zone);
            let has_worker = machine.state != MachineState::Booting;
            match machine.state {
                MachineState::Booting => {
                    let boot_s = self.machine_types.get(&machine.build).map(|f| f.boot_s);
                    let limit = boot_timeout(boot_s.unwrap_or(DEFAULT_BOOT_S));
                    // A new leader has not received a heartbeat yet from machines that
                    // are up.
                    if now - machine.rented_at > limit && !zone_kept && silence.settled {
                        tracing::info!(host = %machine.host, "machine did not come up in time; returning it");
                        machine.state = MachineState::Leaving { next: now };
                    }
                }
                MachineState::Up => {
                    machine.end_quarantine(now);
                    // After its zone returns, a machine has as long as any other to
                    // report.
                    let returned = self.zone_monitor.zones.returned_at(&machine.zone);
                    let last_heartbeat =
                        machine.last_heartbeat.max(returned).max(silence.resumed_at);
                    let route_may_be_lost = self.fleet.route_may_be_lost(now, &machine.relayed_by);
                    let is_silent = now - last_heartbeat > silence.limit_for(route_may_be_lost)
                        && silence.is_machine_fault;
                    let is_reclaimed = machine.spot_notice_until.is_some_and(|until| now > until)
                        && now - last_heartbeat > RECLAIMED_AFTER_SILENCE;
                    if (is_silent && !zone_kept) || is_reclaimed {
                        tracing::info!(host = %machine.host, tasks = machine.allocations.len(), "no heartbeat from machine; returning it");
                        machine.state = MachineState::Leaving { next: now };
                    }
                    if machine.spot_notice_until.is_some() {
                        to_evict.extend(machine.allocations.keys().cloned());
                    }
                }
                MachineState::Leaving { .. } => {}
            }
            if has_worker && now > machine.last_renewal + lease_bound {
                expired.push(machine.host.clone());
            }
        }
        for host in expired {
            self.worker_lease_expired(now, &host);
        }
        for task in to_evict {
            self.evict(now, &task);
        }
    }

    /// How missing heartbeats are judged at the moment.
    fn silence(&self, now: Time) -> Silence {
        let workers = &self.config.workers;
        let heartbeats_s = workers.report_s * 1.25 * 2.0 + 2.0;
        let share_of_lease_s = workers.lease_s * self.config.tuning.silent_share;
        let limit = Span::secs(share_of_lease_s.max(heartbeats_s));
        // Machines of silent zones are judged by zone and not counted here.
        let watched = |machine: &&Machine| {
            machine.state == MachineState::Up
                && machine.existence_confirmed
                && !self.zone_monitor.is_silent(&machine.zone)
        };
        let resumed_at = self.resumed_at;
        let is_silent = |machine: &&Machine| now - machine.last_heartbeat.max(resumed_at) > limit;
        let watched_count = self.machines.values().filter(watched).count();
        let silent_machines = self.machines.values().filter(watched).filter(is_silent);
        // If most machines are silent at once, the fault is likely on this side.
        let is_own_fault = watched_count > 2 && silent_machines.count() * 2 > watched_count;
        let settled = now - self.leading_since.max(resumed_at) > limit;
        Silence {
            limit,
            limit_route_lost: limit.max(Span::secs(workers.lease_s)),
            resumed_at,
            settled,
            is_machine_fault: settled && !is_own_fault,
        }
    }

    /// The worker's lease has expired by any clock, so its tasks have ended.
    fn worker_lease_expired(&mut self, now: Time, host: &Host) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.last_renewal = now;
        machine.has_reported = false;
        // An unreachable machine that still reports is handled in `return_idle`.
        let failed = machine.state == MachineState::Up && machine.unreachable_since.is_none();
        let zone = machine.zone.clone();
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        // The machines of a lost zone are kept for new sessions when the zone is back.
        if failed
            && !self.retains_zone(now, &zone)
            && let Some(machine) = self.machines.get_mut(host)
        {
            machine.state = MachineState::Leaving { next: now };
        }
        self.zone_monitor.note_lease_expired(&zone, tasks.len());
        if !tasks.is_empty() {
            tracing::info!(%host, tasks = tasks.len(), "worker lease expired; its tasks restart");
        }
        for task in tasks {
            self.attempt_gone_with(now, &task, Some(Failure::Lost), false);
        }
    }

    /// Evicts a task gracefully from a machine that is about to be reclaimed: the task
    /// saves while it can.
    fn evict(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(live) = job.active.get(&task.index) else {
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
            // A service is moved while its machine is still up.
            JobKind::Service => self.stop_attempt(now, &task.job, task.index, save_s + 1.0),
            JobKind::Gang if saves_now => self.stop_gang(now, &task.job),
            JobKind::Array if saves_now => {
                self.stop_attempt(now, &task.job, task.index, save_s + 1.0)
            }
            JobKind::Gang | JobKind::Array => {}
        }
    }

    /// A task ended with an error: decides whether the machine or the job is at fault.
    pub(super) fn task_failed(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.errors += 1;
        job.error_hosts.insert(host.clone());
        let done_elsewhere = job.done_count > 0;
        if job.failed_on_many_machines() {
            return self.job_fails_everywhere(now, &task.job);
        }
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.failures += 1;
        machine.failed_jobs.insert(task.job.clone());
        machine.backoff_until = now + FAILED_TASK_BACKOFF;
        let machine_at_fault = machine.failed_jobs.len() > 1 || done_elsewhere;
        if machine.failures >= MAX_ERRORS_IN_A_ROW && machine_at_fault && !machine.quarantined {
            tracing::info!(%host, fails = machine.failures, "quarantined");
            machine.quarantined = true;
            machine.quarantined_at = now;
            self.discard_failures_on(host);
        }
    }

    /// The job fails on all machines: backs it off, and clears its errors from the
    /// machines.
    fn job_fails_everywhere(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let doublings = (job.errors / ERRORS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let backoff_s = FAILING_JOB_BACKOFF_S * 2f64.powi(doublings as i32);
        job.backoff_until = now + Span::secs(backoff_s);
        tracing::info!(job = %id, pause = backoff_s, "job fails on every machine; backing off");
        for machine in self.machines.values_mut() {
            if machine.failed_jobs.remove(id) && machine.failed_jobs.is_empty() {
                machine.failures = 0;
                machine.quarantined = false;
            }
        }
    }

    /// Scale in: returns machines that are idle or unusable.
    fn return_idle(&mut self, now: Time) {
        let headroom = self.headroom(now);
        let mut free = self.free_capacity(now);
        let is_idle = |machine: &&Machine| {
            let up = machine.state == MachineState::Up && machine.has_reported;
            up && !machine.closed && machine.allocations.is_empty()
        };
        let idle = self.machines.values().filter(is_idle);
        let mut idle: Vec<(bool, Time, Host)> = idle
            .map(|machine| (machine.spot, machine.idle_since, machine.host.clone()))
            .collect();
        // Ordinary machines cost more, so they are returned first.
        idle.sort();
        for (spot, _, host) in idle {
            let Some(machine) = self.machines.get(&host) else {
                continue;
            };
            let mut unusable = machine.quarantined || machine.spot_notice_until.is_some();
            if let Some(since) = machine.unreachable_since {
                let silent_for_long = now - since >= self.lease_bound() + self.lease_bound();
                if !silent_for_long || now < self.fleet.return_unreachable_at {
                    continue;
                }
                self.fleet.return_unreachable_at = now + UNREACHABLE_RETURN_INTERVAL;
                unusable = true;
            }
            if !unusable {
                let mut free_after = free;
                free_after.take(&machine.capacity, spot);
                let needed_for_headroom = !free_after.all.covers(&headroom.all)
                    || !spot && !free_after.ordinary.covers(&headroom.ordinary);
                if needed_for_headroom
                    || !self.idle_timeout_expired(now, machine)
                    || self.is_wanted(machine)
                {
                    continue;
                }
                free = free_after;
            }
            tracing::info!(%host, spot, "returning idle or unusable machine");
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

    /// Whether some job that lacks resources could use the machine.
    fn is_wanted(&self, machine: &Machine) -> bool {
        self.fleet.shortages.iter().any(|shortage| {
            let job = self.jobs.get(&shortage.job);
            let zone = shortage.zone.as_ref();
            job.is_some_and(|job| may_run_on(&job.spec, machine))
                && zone.is_none_or(|zone| *zone == machine.zone)
        })
    }

    /// Asks the cloud to take back the machines that are being returned.
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

    /// The cloud's answer to a return request; `ok`: the return is confirmed, and with
    /// it the end of all tasks on these machines.
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
