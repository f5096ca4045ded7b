//! Which machines are rented, watched, returned and written off.

mod rent;

use super::job::Phase;
use super::machine::{Life, Machine};
use super::place::allowed;
use super::{Effect, Sched};
use crate::ids::{ControllerId, Epoch, Host, JobId, MachineTypeId, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::cloud::{ListedHost, RentalRequest};
use crate::wire::user::JobKind;
use hookworks_job_lifecycle::Failure;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A machine costs at least this long.
const MIN_PAID_TIME: Span = Span(60_000_000);
/// Unreachable machines are returned one in so long: many at a time are likely to be a
/// matter of the network.
const UNREACHABLE_RETURN_INTERVAL: Span = Span(2_000_000);
/// A worker whose controller has lost the leader reports elsewhere after so long.
const REROUTE_TIME: Span = Span(8_000_000);
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
const TAKEN_AFTER_SILENCE: Span = Span(4_500_000);
/// A machine of an unknown type boots for so long.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Machines returned in one request.
const MAX_RETURNS_PER_REQUEST: usize = 100;
/// A return is asked for again if no answer says that the machine is gone.
const RETURN_RETRY_INTERVAL: Span = Span(6_000_000);

/// What can be asked of the cloud.
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

    fn of_request(hire: &RentalRequest) -> MachineKind {
        MachineKind {
            build: hire.build.clone(),
            zone: hire.zone.clone(),
            spot: hire.spot,
        }
    }
}

/// Tasks of a job that found no room.
#[derive(Clone, Debug)]
pub struct Short {
    pub job: JobId,
    pub tasks: i64,
    /// The only zone in which room is of use.
    pub zone: Option<Zone>,
}

impl Short {
    pub fn anywhere(job: &JobId, tasks: i64) -> Short {
        Short {
            job: job.clone(),
            tasks,
            zone: None,
        }
    }
}

/// A rental request that has no final answer yet.
struct PendingRental {
    hire: RentalRequest,
    /// When to send it again; none while it is under way.
    repeat_at: Option<Time>,
    repeats: u32,
}

/// What is known of the fleet besides its machines.
pub struct Fleet {
    epoch: Epoch,
    counter: u64,
    /// Jobs with tasks that found no room though their team may run them.
    pub short: Vec<Short>,
    /// Rental requests by name.
    requests: BTreeMap<String, PendingRental>,
    /// When each kind of machine was last refused.
    refused: HashMap<MachineKind, Time>,
    /// Machines that were returned for certain.
    gone: HashSet<Host>,
    /// When other controllers were last found out of reach.
    pub out_of_reach: HashMap<ControllerId, Time>,
    /// The sequence number of the first job that came in this term; those before it
    /// were loaded.
    pub first_own: u64,
    /// The next unreachable machine may be returned then.
    return_unreachable_at: Time,
}

impl Fleet {
    pub fn new(epoch: Epoch) -> Fleet {
        Fleet {
            epoch,
            counter: 0,
            short: vec![],
            requests: BTreeMap::new(),
            refused: HashMap::new(),
            gone: HashSet::new(),
            out_of_reach: HashMap::new(),
            first_own: 0,
            return_unreachable_at: Time::default(),
        }
    }

    /// Heartbeats by way of that controller may not have come through.
    fn cut_off(&self, now: Time, via: &Option<ControllerId>) -> bool {
        let since = via.as_ref().and_then(|label| self.out_of_reach.get(label));
        since.is_some_and(|since| now - *since < REROUTE_TIME)
    }

    /// Returned for certain: whatever still arrives from there is late.
    pub fn is_gone(&self, host: &Host) -> bool {
        self.gone.contains(host)
    }

    /// Rental requests without an answer yet.
    pub fn under_way(&self) -> usize {
        self.requests.len()
    }

    /// Some kind of machine was not refused lately, or is on its way.
    pub fn can_rent(&self, now: Time) -> bool {
        let mut refused = self.refused.keys();
        !self.requests.is_empty() || refused.all(|kind| !self.refused_lately(now, kind))
    }

    fn refused_lately(&self, now: Time, kind: &MachineKind) -> bool {
        let refused = self.refused.get(kind);
        refused.is_some_and(|at| now - *at <= rent::REFUSED_KIND_BACKOFF)
    }
}

/// What the silence of machines means at the moment.
struct Silence {
    /// Machines that are silent for longer have failed, as far as can be told.
    limit: Span,
    /// The same for those whose controller may not reach this one.
    limit_cut_off: Span,
    /// What was not heard while this process was suspended is no silence of theirs.
    awake: Time,
    /// This leader has been there for long enough to have heard all machines.
    settled: bool,
    /// It is long and of few enough machines to be no fault on our side.
    is_theirs: bool,
}

impl Silence {
    fn limit_for(&self, cut_off: bool) -> Span {
        if cut_off {
            self.limit_cut_off
        } else {
            self.limit
        }
    }
}

/// A machine that has not come up by then will not.
pub(super) fn late_boot(boot_s: f64) -> Span {
    Span::secs(boot_s * 2.5 + 10.0)
}

impl Sched {
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
    pub(super) fn listed(&mut self, now: Time, list: Vec<ListedHost>) {
        let mut unexpected = 0;
        let mut unreported = vec![];
        for listed in list {
            if self.fleet.is_gone(&listed.host) {
                continue;
            }
            if !self.machines.contains_key(&listed.host) {
                unexpected += 1;
                self.add_unexpected(now, &listed);
            }
            if self.take_listed(now, &listed) {
                unreported.push(listed.host);
            }
        }
        self.request_reports(now, unreported);
        if unexpected > 0 {
            tracing::info!(machines = unexpected, "not expected but listed");
        }
    }

    fn add_unexpected(&mut self, now: Time, listed: &ListedHost) {
        tracing::debug!(host = %listed.host, status = %listed.status, "a machine that was not expected is listed");
        let token = self.base_token();
        let rented = Time(now.0.saturating_sub(Span::secs(listed.age_s).0));
        let (host, build, zone) = (&listed.host, listed.build.clone(), listed.zone.clone());
        let mut machine = Machine::new(host.clone(), build, zone, listed.spot, rented, token);
        machine.answered = self.maybe_renewed(now);
        self.machines.insert(host.clone(), machine);
    }

    /// True if the machine runs and has not reported yet.
    fn take_listed(&mut self, now: Time, listed: &ListedHost) -> bool {
        let Some(machine) = self.machines.get_mut(&listed.host) else {
            return false;
        };
        if !machine.reported {
            // Loaded attempts name a machine, but not its type and zone.
            machine.build = listed.build.clone();
            machine.zone = listed.zone.clone();
            machine.spot = listed.spot;
            if let Some(flavor) = self.flavors.get(&machine.build) {
                machine.set_flavor(flavor);
            }
        }
        machine.certain = true;
        if machine.addr.is_none() {
            machine.addr = listed.addr.clone();
        }
        self.fences.bound(machine);
        if listed.status == "failed" && !matches!(machine.life, Life::Leaving { .. }) {
            tracing::info!(host = %machine.host, "stopped on its own, released");
            machine.life = Life::Leaving { next: now };
        }
        listed.status == "running" && !machine.reported
    }

    /// Until when the lease of a worker that we have just met may have been
    /// renewed: an earlier leader may go on for a while after our beginning.
    pub(super) fn maybe_renewed(&self, now: Time) -> Time {
        now.max(self.began + self.cfg.report_grace())
    }

    /// Machines that fell silent, never came up or are about to be taken.
    pub(super) fn watch_machines(&mut self, now: Time) {
        self.look_at_zones(now);
        let lease = self.lease_bound();
        let silence = self.silence(now);
        let kept: HashSet<Zone> = self.kept_zones(now);
        let mut expired: Vec<Host> = vec![];
        let mut evicted: Vec<TaskId> = vec![];
        for machine in self.machines.values_mut() {
            let zone_kept = kept.contains(&machine.zone);
            let has_worker = machine.life != Life::Booting;
            match machine.life {
                Life::Booting => {
                    let boot_s = self.flavors.get(&machine.build).map(|f| f.boot_s);
                    let limit = late_boot(boot_s.unwrap_or(DEFAULT_BOOT_S));
                    // A new leader has not heard from those that are up.
                    if now - machine.hired > limit && !zone_kept && silence.settled {
                        tracing::info!(host = %machine.host, "never came up, released");
                        machine.life = Life::Leaving { next: now };
                    }
                }
                Life::Up => {
                    machine.end_quarantine(now);
                    // One that comes back has as long as any other to report.
                    let returned = self.watch.zones.returned(&machine.zone);
                    let heard = machine.heard.max(returned).max(silence.awake);
                    let cut_off = self.fleet.cut_off(now, &machine.via);
                    let silent = now - heard > silence.limit_for(cut_off) && silence.is_theirs;
                    let taken = machine.notice_until.is_some_and(|until| now > until)
                        && now - heard > TAKEN_AFTER_SILENCE;
                    if (silent && !zone_kept) || taken {
                        tracing::info!(host = %machine.host, tasks = machine.slots.len(), "silent, released");
                        machine.life = Life::Leaving { next: now };
                    }
                    if machine.notice_until.is_some() {
                        evicted.extend(machine.slots.keys().cloned());
                    }
                }
                Life::Leaving { .. } => {}
            }
            if has_worker && now > machine.answered + lease {
                expired.push(machine.host.clone());
            }
        }
        for host in expired {
            self.lease_over(now, &host);
        }
        for task in evicted {
            self.evict(now, &task);
        }
    }

    /// What the silence of machines means at the moment.
    fn silence(&self, now: Time) -> Silence {
        let workers = &self.cfg.workers;
        let heartbeats_s = workers.report_s * 1.25 * 2.0 + 2.0;
        let share_of_lease_s = workers.lease_s * self.cfg.tuning.silent_share;
        let limit = Span::secs(share_of_lease_s.max(heartbeats_s));
        // Zones in trouble are one matter, and machines that fall silent another.
        let watched = |machine: &&Machine| {
            machine.life == Life::Up && machine.certain && !self.watch.silent(&machine.zone)
        };
        let awake = self.awake;
        let is_silent = |machine: &&Machine| now - machine.heard.max(awake) > limit;
        let all = self.machines.values().filter(watched).count();
        let silent = self.machines.values().filter(watched).filter(is_silent);
        // When most fall silent at once, the fault is likely on our side.
        let is_ours = all > 2 && silent.count() * 2 > all;
        let settled = now - self.began.max(awake) > limit;
        Silence {
            limit,
            limit_cut_off: limit.max(Span::secs(workers.lease_s)),
            awake,
            settled,
            is_theirs: settled && !is_ours,
        }
    }

    /// The worker's lease has expired by any clock, so its tasks are gone.
    fn lease_over(&mut self, now: Time, host: &Host) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.answered = now;
        machine.reported = false;
        // An unreachable one, which reports all the same, is looked after in
        // `return_idle`.
        let failed = machine.life == Life::Up && machine.unreachable_since.is_none();
        let zone = machine.zone.clone();
        let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
        // A lost zone's machines are good for its next session, when it is back.
        if failed
            && !self.keeps_zone(now, &zone)
            && let Some(machine) = self.machines.get_mut(host)
        {
            machine.life = Life::Leaving { next: now };
        }
        self.watch.ended(&zone, tasks.len());
        if !tasks.is_empty() {
            tracing::info!(%host, tasks = tasks.len(), "lease has run out, tasks restart");
        }
        for task in tasks {
            self.gone_by(now, &task, Some(Failure::Lost), false);
        }
    }

    /// Graceful eviction of a task from a machine that is about to be taken: it saves
    /// while it can.
    fn evict(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(live) = job.live.get(&task.index) else {
            return;
        };
        let machine = self.machines.get(&live.host);
        let Some(until) = machine.and_then(|machine| machine.notice_until) else {
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
            JobKind::Service => self.stop(now, &task.job, task.index, save_s + 1.0),
            JobKind::Gang if saves_now => self.stop_gang(now, &task.job),
            JobKind::Array if saves_now => self.stop(now, &task.job, task.index, save_s + 1.0),
            JobKind::Gang | JobKind::Array => {}
        }
    }

    /// A task ended with an error: the machine's fault, or the job's?
    pub(super) fn failed(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.errors += 1;
        job.error_hosts.insert(host.clone());
        let works_elsewhere = job.done_count > 0;
        if job.fails_everywhere() {
            return self.fails_everywhere(now, &task.job);
        }
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.fails += 1;
        machine.fail_jobs.insert(task.job.clone());
        machine.rest_until = now + FAILED_TASK_BACKOFF;
        let blamed = machine.fail_jobs.len() > 1 || works_elsewhere;
        if machine.fails >= MAX_ERRORS_IN_A_ROW && blamed && !machine.quarantined {
            tracing::info!(%host, fails = machine.fails, "quarantined");
            machine.quarantined = true;
            machine.quarantined_at = now;
            self.forgive(host);
        }
    }

    /// The job fails on all machines, so that they are not to blame.
    fn fails_everywhere(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let doublings = (job.errors / ERRORS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let pause = FAILING_JOB_BACKOFF_S * 2f64.powi(doublings as i32);
        job.backoff_until = now + Span::secs(pause);
        tracing::info!(job = %id, pause, "fails everywhere, backs off");
        for machine in self.machines.values_mut() {
            if machine.fail_jobs.remove(id) && machine.fail_jobs.is_empty() {
                machine.fails = 0;
                machine.quarantined = false;
            }
        }
    }

    /// Scale in: returns machines that idle or can't be used.
    fn return_idle(&mut self, now: Time) {
        let keep = self.headroom(now);
        let mut free = self.free_room(now);
        let is_idle = |machine: &&Machine| {
            let up = machine.life == Life::Up && machine.reported;
            up && !machine.shut && machine.slots.is_empty()
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
            let mut unusable = machine.quarantined || machine.notice_until.is_some();
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
                if kept || !self.idles_for_long(now, machine) || self.is_wanted(machine) {
                    continue;
                }
                free = rest;
            }
            tracing::info!(%host, spot, "given back");
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.life = Life::Leaving { next: now };
            }
        }
    }

    fn idles_for_long(&self, now: Time, machine: &Machine) -> bool {
        let tuning = &self.cfg.tuning;
        let limit_s = if machine.spot {
            tuning.idle_spot_s
        } else {
            tuning.idle_s
        };
        now - machine.idle_since > Span::secs(limit_s) && now - machine.hired > MIN_PAID_TIME
    }

    /// Some job without room could use the machine.
    fn is_wanted(&self, machine: &Machine) -> bool {
        self.fleet.short.iter().any(|short| {
            let job = self.jobs.get(&short.job);
            let zone = short.zone.as_ref();
            job.is_some_and(|job| allowed(&job.spec, machine))
                && zone.is_none_or(|zone| *zone == machine.zone)
        })
    }

    /// Asks the cloud to take back the machines that leave.
    fn request_returns(&mut self, now: Time) {
        let mut hosts = vec![];
        for machine in self.machines.values_mut() {
            if let Life::Leaving { next } = &mut machine.life
                && now >= *next
                && hosts.len() < MAX_RETURNS_PER_REQUEST
            {
                *next = now + RETURN_RETRY_INTERVAL;
                hosts.push(machine.host.clone());
            }
        }
        if !hosts.is_empty() {
            self.out.push(Effect::Release(hosts));
        }
    }

    /// The cloud's answer to a return; `ok`: the machines are gone for certain, and with
    /// them what ran there.
    pub(super) fn released(&mut self, now: Time, hosts: Vec<Host>, ok: bool) {
        if !ok {
            return;
        }
        for host in hosts {
            let Some(machine) = self.machines.get(&host) else {
                continue;
            };
            if !matches!(machine.life, Life::Leaving { .. }) {
                continue;
            }
            let zone = machine.zone.clone();
            let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
            for task in tasks {
                self.gone_by(now, &task, Some(Failure::Lost), false);
            }
            self.watch.given_back(&zone);
            self.machines.remove(&host);
            self.fleet.gone.insert(host);
        }
    }
}
