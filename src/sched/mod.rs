//! The scheduler as a state machine without I/O, clock or threads. Events enter with their
//! time through [`Scheduler::handle`], which returns the effects to be carried out.

mod admission;
mod allowed_zones;
pub mod attempt_places;
mod consistency;
mod dependencies;
pub mod dependency_ids;
mod direct_calls;
mod estimate;
mod fair_share;
mod fences;
mod fencing;
mod fleet;
mod gang;
mod headroom;
mod heartbeats;
mod inheritance;
pub mod job;
mod lifecycle;
pub mod machine;
mod order;
mod overview;
mod place;
mod preempt;
mod reachability;
mod records;
mod recovery;
mod referenced_jobs;
mod report_reconciliation;
mod requests;
mod resources;
mod team;
mod wait_limits;
mod worker_commands;
mod worker_messages;
mod zones;

use crate::store::RecordFormat;
use crate::store::budget::Budget;
use crate::store::pieces::RecordLimits;
use crate::wire::user::JobState;
pub use fences::FenceRecord;
use hookworks_job_lifecycle::RetryPolicy;
use job::{Final, Job};
pub use lifecycle::detail_of_record;
use machine::{Allocation, Machine, MachineState};
pub use records::{Key, PendingWrite, Purpose, WriteQueue};
pub use requests::{LookUpCounts, answer_final};
pub use resources::Resources;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::ids::{
    Attempt, CallId, Class, ControllerId, Epoch, Host, JobId, MachineTypeId, RequestId, TaskId,
    Token, Zone,
};
use crate::settings::{Settings, Tuning, WorkerParams};
use crate::time::{Span, Time, WallTime};
use crate::wire::cloud::{ListedHost, MachineType, RentalRequest};
use crate::wire::peer::{Answer, Request};
use crate::wire::worker::{Commands, Report};

/// An input of the scheduler.
#[derive(Debug)]
pub enum Event {
    Ask(RequestId, Request),
    /// A heartbeat that another controller forwarded.
    Relayed(RequestId, ControllerId, Vec<u8>),
    /// Controllers that are currently unreachable.
    Unreachable(Vec<ControllerId>),
    /// A record is durably stored, up to this version.
    Stored(Key, u64),
    /// The state service currently refuses writes for this job.
    NotStored(JobId),
    /// The store already holds a final state for a job that was taken for new.
    AlreadyFinal(JobId, Final),
    /// Result of a consistent read of a final state; `Err` if the read failed.
    FinalRead(JobId, Result<Option<Final>, ()>),
    /// Result of a consistent read of the whole final record, for a request that shows the
    /// job.
    RecordRead(RequestId, JobId, Result<Option<serde_json::Value>, ()>),
    Direct(CallId, Host, DirectResult),
    MachineTypes(Vec<MachineType>),
    Listed(Vec<ListedHost>),
    RentalResult(RentalRequest, RentalResult),
    Released(Vec<Host>, bool),
    /// The leader lease was renewed; the time is when the renewal was sent.
    LeadershipConfirmed(Time),
    Tick(WallTime),
    /// Requests have queued here for so long that their responses may arrive too late.
    Overloaded,
    /// The time returned by [`Scheduler::wake_at`] has come.
    Wake,
}

#[derive(Debug)]
pub enum DirectResult {
    Done(Box<Report>),
    /// Not executed: the fencing token or the session did not match.
    Conflict(Box<Report>),
    /// The connection was refused, so nothing was sent.
    Refused,
    /// It was queued here for too long and not sent; this says nothing about the worker.
    Unsent,
    /// The outcome is unknown; the command may still be executed at any later time.
    Unclear,
}

#[derive(Debug, PartialEq)]
pub enum RentalResult {
    Ok(Vec<Host>),
    NoCapacity,
    /// Not carried out; the same request may be retried.
    Busy,
    /// The outcome is unknown; to be retried under the same idempotency name.
    Unclear,
    /// Rejected for good.
    Invalid,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    Answer(RequestId, Answer),
    ReadFinal(JobId),
    ReadRecord(RequestId, JobId),
    Orders {
        call: CallId,
        host: Host,
        addr: String,
        orders: Commands,
    },
    Rent(RentalRequest),
    Release(Vec<Host>),
}

/// Settings of the scheduler, fixed for one leadership.
#[derive(Clone, Debug)]
pub struct Config {
    pub workers: WorkerParams,
    pub tuning: Tuning,
    pub teams: Vec<crate::settings::TeamLimit>,
    pub objectives: Vec<crate::settings::Objective>,
    pub value_kb: f64,
    /// The smallest limits that the state service is announced to have at any time.
    pub min_limits: crate::settings::LimitValues,
    /// Reads of finished jobs per second for requests that show one job.
    pub lookup_reads_per_s: f64,
    pub leader_lease: Span,
    pub pass_interval: Span,
    pub heartbeat_hold: Span,
    /// When a zone counts as lost, and how the scheduler reacts.
    pub zones: hookworks_zones::Limits,
    /// Whether zone verdicts are acted on, or only shown.
    pub act_on_zones: bool,
    /// Maximum number of unfinished jobs; further submissions are rejected.
    pub max_jobs: usize,
    /// Maximum number of final states cached in memory; older ones are read from the store.
    pub max_finals: usize,
    /// Minimum share of resources for classes and teams that get hardly any.
    pub fairness: hookworks_fairness::FairnessPolicy,
    /// Maximum error of the wall clock.
    pub clock_error: Span,
    /// Maximum age of the cloud's list of machines.
    pub max_list_age: Span,
    /// The other controllers and their zones.
    pub controllers: BTreeMap<ControllerId, Zone>,
}

impl Config {
    pub fn from(s: &Settings) -> Config {
        // Settings with invalid sizes were rejected at startup.
        let sizes = s.capacity_limits().ok();
        Config {
            max_jobs: sizes.map_or(DEFAULT_MAX_JOBS, |s| s.jobs),
            max_finals: sizes.map_or(DEFAULT_MAX_JOBS, |s| s.finals),
            workers: s.platform.params.workers.clone(),
            tuning: s.tuning.clone(),
            teams: s.platform.params.teams.clone(),
            objectives: s.platform.params.objectives.clone(),
            value_kb: s.platform.params.state.value_kb,
            min_limits: s.platform.params.state.smallest(),
            lookup_reads_per_s: s.platform.params.state.rps * LOOKUP_REQUEST_SHARE,
            leader_lease: Span::secs(s.tuning.leader_lease_s),
            pass_interval: Span::secs(s.tuning.pass_ms / 1000.0),
            heartbeat_hold: Span::secs(s.tuning.hold_ms / 1000.0),
            zones: s.tuning.zones.limits(s.platform.params.workers.report_s),
            act_on_zones: s.tuning.zones.act,
            fairness: s.tuning.served.fairness_policy(),
            clock_error: Span::secs(s.platform.params.clock_error_ms / 1000.0),
            max_list_age: Span::secs(s.platform.params.cloud.list_lag_s * 2.0),
            controllers: s.platform.controllers(),
        }
    }
    /// How long after its last lease renewal a leader may still answer heartbeats: every
    /// task that it keeps running this way has still ended `cancel_s` later.
    pub fn report_grace(&self) -> Span {
        let s = self.workers.cancel_s - self.workers.lease_s - 2.0;
        Span::secs(s).max(self.leader_lease).shrunk()
    }
}

pub struct Scheduler {
    pub config: Config,
    pub epoch: Epoch,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<Host, Machine>,
    pub machine_types: BTreeMap<MachineTypeId, MachineType>,
    pub write_queue: WriteQueue,
    /// The format in which records are written.
    record_format: RecordFormat,
    /// Limits of a record that rejections have shown, if lower than before.
    lowered_limits: Option<RecordLimits>,
    teams: team::Teams,
    /// Classes whose start target is shorter than the time to rent a machine.
    fast_start_classes: BTreeSet<Class>,
    /// Retry policy of each class.
    retry_policies: BTreeMap<Class, RetryPolicy>,
    arrivals: headroom::RecentArrivals,
    fleet: fleet::Fleet,
    probes: recovery::Probes,
    service_shares: fair_share::FairnessState,
    zone_monitor: zones::ZoneMonitor,
    fences: fences::Fences,
    finals: HashMap<JobId, Final>,
    finals_order: VecDeque<JobId>,
    dependencies: dependencies::Dependencies,
    inheritance: inheritance::InheritanceQueue,
    submission_lookups: referenced_jobs::Lookups,
    /// When running tasks reach their time limit.
    time_limits: BTreeSet<(Time, TaskId)>,
    pending_final_reads: HashMap<JobId, Vec<(RequestId, Request)>>,
    record_reads_in_flight: usize,
    lookup_budget: Budget,
    /// Budget for polls of jobs that are finished or unknown.
    poll_budget: Budget,
    lookup_counts: LookUpCounts,
    id_counter: u64,
    next_seq: u64,
    next_call: u64,
    leadership_confirmed: Time,
    leading_since: Time,
    /// The latest tick, and the end of the latest pause of this process. Missing heartbeats
    /// during such a pause are no evidence against workers or controllers.
    last_tick: Time,
    resumed_at: Time,
    /// When requests were last found to have queued for too long.
    overloaded_at: Time,
    wall: WallTime,
    /// Something has changed that requires another placement pass.
    replan: bool,
    /// Earliest time of the next placement pass; passes are batched.
    next_pass_at: Time,
    /// No placement pass before this time, however urgent, so that other work gets its
    /// share.
    no_pass_before: Time,
    next_preemption_at: Time,
    next_summary_at: Time,
    /// The job at which the next placement pass resumes.
    resume_pass_at: Option<JobId>,
    /// The last pass ended within the jobs that are served ahead of `resume_pass_at`.
    pass_stalled: bool,
    /// Machines evaluated for tasks since the leadership began: a measure of placement work.
    machines_evaluated: std::cell::Cell<u64>,
    reports_held: u64,
    reports_refused: u64,
    /// Newly accepted jobs; written after the next pass, together with the starts of that
    /// pass.
    newly_accepted: Vec<JobId>,
    /// Machines with attempts whose `run` command has not been sent yet.
    machines_with_unsent_runs: BTreeSet<Host>,
    /// Machines for which something has been stored since commands were last sent.
    machines_to_push: BTreeSet<Host>,
    /// Heartbeats whose response waits for a write to be stored.
    held_heartbeats: BTreeMap<Host, heartbeats::PendingHeartbeat>,
    /// Heartbeats that wait until the removal of their zone's fence is stored.
    fenced_heartbeats: BTreeMap<Host, heartbeats::PendingHeartbeat>,
    effects: Vec<Effect>,
    /// Jobs with unreadable records, and whether the readable part says that they were
    /// cancelled. They are left untouched but stay known.
    unreadable: BTreeMap<JobId, JobState>,
}

/// Share of the state service's request quota for look-ups; the rest is for requests of
/// users and workers that must not wait.
const LOOKUP_REQUEST_SHARE: f64 = 0.1;
/// Longest gap between ticks, which come four times a second; after a longer gap this
/// process was paused.
const MAX_TICK_GAP: Span = Span(2_000_000);
/// Limit for jobs and cached final states where the settings give no valid sizes.
const DEFAULT_MAX_JOBS: usize = 1000;
/// Interval of the log line about fleet utilization.
const SUMMARY_INTERVAL: Span = Span(10_000_000);

impl Scheduler {
    pub fn new(cfg: Config, epoch: Epoch, proven: Time, now: Time, wall: WallTime) -> Scheduler {
        let look_ups = 2.0 * cfg.lookup_reads_per_s;
        Scheduler {
            teams: team::Teams::new(&cfg.teams),
            fast_start_classes: BTreeSet::new(),
            retry_policies: cfg.tuning.retry_policies(),
            record_reads_in_flight: 0,
            lookup_budget: Budget::new(
                cfg.lookup_reads_per_s,
                (2.0 * cfg.lookup_reads_per_s).max(1.0),
            ),
            poll_budget: Budget::new(
                2.0 * cfg.lookup_reads_per_s,
                (4.0 * cfg.lookup_reads_per_s).max(1.0),
            ),
            lookup_counts: LookUpCounts::default(),
            arrivals: Default::default(),
            fleet: fleet::Fleet::new(epoch),
            probes: Default::default(),
            service_shares: fair_share::FairnessState::new(cfg.fairness),
            zone_monitor: zones::ZoneMonitor::new(&cfg, now),
            fences: Default::default(),
            config: cfg,
            epoch,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_types: BTreeMap::new(),
            write_queue: WriteQueue::default(),
            record_format: RecordFormat::default(),
            lowered_limits: None,
            finals: HashMap::new(),
            finals_order: VecDeque::new(),
            dependencies: dependencies::Dependencies::new(look_ups),
            inheritance: Default::default(),
            submission_lookups: referenced_jobs::Lookups::new(look_ups),
            time_limits: BTreeSet::new(),
            pending_final_reads: HashMap::new(),
            id_counter: 0,
            next_seq: 1,
            next_call: 1,
            leadership_confirmed: proven,
            leading_since: now,
            last_tick: now,
            resumed_at: Time::default(),
            overloaded_at: Time::default(),
            wall,
            replan: false,
            next_pass_at: now,
            no_pass_before: Time::default(),
            next_preemption_at: now,
            next_summary_at: now,
            resume_pass_at: None,
            pass_stalled: false,
            machines_evaluated: Default::default(),
            reports_held: 0,
            reports_refused: 0,
            newly_accepted: vec![],
            machines_with_unsent_runs: BTreeSet::new(),
            machines_to_push: BTreeSet::new(),
            held_heartbeats: BTreeMap::new(),
            fenced_heartbeats: BTreeMap::new(),
            effects: vec![],
            unreadable: Default::default(),
        }
    }

    /// Sets the format of records written from now on. The compact format is never reverted.
    pub fn set_format(&mut self, format: RecordFormat) {
        self.record_format = self.record_format.max(format);
    }

    /// Whether jobs with dependencies may be accepted: every controller can read their
    /// records.
    pub fn accepts_dependencies(&self) -> bool {
        self.record_format == RecordFormat::Compact
    }

    /// Handles one event and returns the resulting effects. This is the only entry point.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.write_queue.now = now;
        // At most one placement pass per turn of the main loop, not one per message: with a
        // pass due after each message, a turn took 5.8 s and heartbeats waited for it.
        let turn_ends = matches!(event, Event::Wake | Event::Tick(_));
        let may_pass = turn_ends || self.config.pass_interval == Span::ZERO;
        match event {
            Event::Ask(req, ask) => self.handle_request(now, req, ask),
            Event::Relayed(req, by, body) => self.handle_heartbeat(now, req, &body, Some(by)),
            Event::Unreachable(away) => {
                for l in away {
                    self.fleet.unreachable_controllers.insert(l, now);
                }
            }
            Event::Stored(key, ver) => self.stored(now, key, ver),
            Event::NotStored(job) => self.not_stored(&job),
            Event::AlreadyFinal(job, f) => self.already_final(now, job, f),
            Event::FinalRead(job, r) => self.final_read(now, job, r),
            Event::RecordRead(req, job, r) => self.record_read(now, req, job, r),
            Event::Direct(call, host, r) => self.handle_call_result(now, call, host, r),
            Event::MachineTypes(f) => self.set_machine_types(f),
            Event::Listed(l) => self.machines_listed(now, l),
            Event::RentalResult(h, r) => self.rental_answered(now, h, r),
            Event::Released(hosts, ok) => self.machines_returned(now, hosts, ok),
            Event::LeadershipConfirmed(t) => {
                self.leadership_confirmed = self.leadership_confirmed.max(t)
            }
            Event::Overloaded => self.overloaded_at = now,
            Event::Wake => {
                self.send_ready_commands(now);
                self.answer_held_heartbeats(now, false);
            }
            Event::Tick(wall) => {
                self.wall = wall;
                self.tick(now);
            }
        }
        self.tell_children(now);
        self.inherit();
        if may_pass && self.replan && now >= self.pass_due() && self.may_start(now) {
            self.replan = false;
            self.next_pass_at = now + self.config.pass_interval;
            self.place(now);
            for id in std::mem::take(&mut self.newly_accepted) {
                if let Some(j) = self
                    .jobs
                    .get_mut(&id)
                    .filter(|j| j.parts[0].stored_version == 0)
                {
                    j.enqueue_write(0, &mut self.write_queue, Purpose::Now);
                }
            }
            self.answer_held_heartbeats(now, true);
        }
        if self.config.pass_interval == Span::ZERO {
            self.send_ready_commands(now);
        }
        std::mem::take(&mut self.effects)
    }

    fn pass_due(&self) -> Time {
        self.next_pass_at.max(self.no_pass_before)
    }

    /// Allows no placement pass before `until`: the last one took so long that other work
    /// must run first.
    pub fn defer_pass(&mut self, until: Time) {
        self.no_pass_before = until;
    }

    /// When [`Event::Wake`] is due, if there is anything to do: the next pass, commands that
    /// can be sent, or held heartbeats to be answered.
    pub fn wake_at(&self) -> Option<Time> {
        let pass = self.replan.then_some(self.pass_due());
        let ready = (!self.machines_to_push.is_empty()).then_some(Time::default());
        let has_dependency_work = self.dependencies.is_announcing() || !self.inheritance.is_empty();
        let has_dependency_work = has_dependency_work.then_some(Time::default());
        let due = [pass, ready, has_dependency_work, self.next_held_deadline()];
        due.into_iter().flatten().min()
    }

    /// Whether the leader lease is valid at `now`; every new action requires it.
    pub fn may_start(&self, now: Time) -> bool {
        now < self.leadership_valid_until()
    }

    /// When the confirmed leader lease ends, with a safety margin.
    pub fn leadership_valid_until(&self) -> Time {
        self.leadership_confirmed + (self.config.leader_lease.shrunk() - Span::millis(50))
    }

    /// Heartbeats are answered for a grace period after the last lease renewal, so that an
    /// outage of the state service affects no worker. A controller that reaches no other one
    /// may be the only one cut off from the state service; its workers are better served by
    /// another.
    pub fn may_report(&self, now: Time) -> bool {
        self.may_start(now)
            || now < self.leadership_confirmed + self.config.report_grace()
                && !self.is_isolated(now)
    }

    /// There are other controllers and all are unreachable, while this one is not
    /// overloaded.
    fn is_isolated(&self, now: Time) -> bool {
        let away = |l| self.fleet.unreachable_controllers.get(l);
        let lately = |l| away(l).is_some_and(|t| now - *t < Span::secs(1.0));
        let others = &self.config.controllers;
        !others.is_empty() && self.answers_are_timely(now) && others.keys().all(lately)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.id_counter += 1;
        Attempt(self.epoch.base() + self.id_counter)
    }

    fn base_token(&self) -> Token {
        Token(self.epoch.base())
    }

    fn answer(&mut self, req: RequestId, a: Answer) {
        self.effects.push(Effect::Answer(req, a));
    }

    fn set_machine_types(&mut self, flavors: Vec<MachineType>) {
        let usable = |f: &MachineType| {
            let fine = f.cpus > 0.0 && f.gpus >= 0.0 && f.memory_gb >= 0.0;
            if !fine {
                tracing::warn!(build = %f.build, "machine type ignored: negative capacity or no CPUs");
            }
            fine
        };
        let flavors = flavors.into_iter().filter(usable);
        self.machine_types = flavors.map(|f| (f.build.clone(), f)).collect();
        self.update_quick_classes();
        for m in self.machines.values_mut() {
            if let Some(f) = self.machine_types.get(&m.build) {
                m.set_machine_type(f);
            }
        }
        self.replan = true;
    }

    /// Loads the jobs stored by earlier leaders; called before any event.
    pub fn load(&mut self, now: Time, jobs: Vec<Job>, unreadable: BTreeMap<JobId, JobState>) {
        self.unreadable = unreadable;
        for mut job in jobs {
            if job.damaged {
                // Attempts in the unreadable part are unknown: they have ended, by command
                // or by lease expiry, before anything of the job starts.
                job.backoff_until =
                    self.latest_lease_renewal(now) + self.lease_bound() + self.lease_bound();
            }
            self.next_seq = self.next_seq.max(job.seq + 1);
            let id = job.id().clone();
            let estimate = estimate::of(&job);
            for (t, l) in &job.active {
                let slot = Allocation {
                    need: job.need,
                    start: l.placed,
                    estimate,
                    endless: estimate == machine::ENDLESS,
                    image: job.spec.image.clone(),
                };
                let token = Token(self.epoch.base());
                let m = self.machines.entry(l.host.clone()).or_insert_with(|| {
                    let b = MachineTypeId::from("");
                    Machine::new(l.host.clone(), b, "".into(), false, now, token)
                });
                m.state = MachineState::Up;
                if let Some(p) = &l.place {
                    (m.zone, m.build, m.spot) = (p.zone.clone(), p.build.clone(), p.spot);
                }
                // Earlier leaders may have answered its heartbeats until now, and one that
                // has not noticed the new leadership may do so for some time.
                m.last_renewal = now.max(self.leading_since + self.config.report_grace());
                self.fences.bound_machine_times(m);
                m.unconfirmed_token = Some(token);
                m.used += job.need;
                let task = TaskId {
                    job: id.clone(),
                    index: *t,
                };
                m.allocations.insert(task, slot);
                self.teams.add(&job.spec.team, &job.need);
            }
            self.jobs.insert(id.clone(), job);
            self.finish_if_complete(&id);
            // Tasks of a cancelled job must end: the cancellation was confirmed to its user.
            if self.jobs.get(&id).is_some_and(|j| j.cancelled) {
                self.stop_all(now, &id);
            }
        }
        self.fleet.first_submitted_seq = self.next_seq;
        self.record_loaded_jobs(now);
        self.load_dependencies(now);
        self.write_queue.changed.extend(self.jobs.keys().cloned());
        self.replan = true;
    }

    fn cache_final(&mut self, id: &JobId, f: Final) {
        if self.finals.insert(id.clone(), f).is_none() {
            self.finals_order.push_back(id.clone());
            if self.finals_order.len() > self.config.max_finals
                && let Some(old) = self.finals_order.pop_front()
            {
                self.finals.remove(&old);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let gap = now - std::mem::replace(&mut self.last_tick, now);
        if gap > MAX_TICK_GAP {
            tracing::warn!(
                seconds = gap.as_secs(),
                "process was paused: no tick for longer than the limit"
            );
            self.resumed_at = now;
        }
        self.send_ready_commands(now);
        self.answer_held_heartbeats(now, false);
        self.answer_fenced_heartbeats(now);
        self.watch_machines(now);
        self.update_waiting_since(now);
        self.probe(now);
        self.log_recovery_progress(now);
        self.plan_fleet(now);
        self.retry_unsent_commands(now);
        self.update_fairness(now);
        self.read_parents(now);
        self.continue_lookups(now);
        self.enforce_time_limits(now);
        // Jobs that wait only for time to pass, such as a backoff, are tried again.
        self.replan = true;
        if now >= self.next_summary_at {
            self.next_summary_at = now + SUMMARY_INTERVAL;
            self.log_summary(now);
            self.log_fairness();
        }
    }

    /// Counters of final-state reads since the leadership began.
    pub fn lookup_counts(&self) -> LookUpCounts {
        self.lookup_counts
    }

    /// Machines evaluated for tasks since the leadership began: a measure of placement work.
    pub fn machines_evaluated(&self) -> u64 {
        self.machines_evaluated.get()
    }
}
