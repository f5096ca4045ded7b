//! The scheduler itself: no I/O, no clock, no threads. Whatever happens comes
//! in as an event with its time; what is to be done goes out as effects.

mod admission;
mod allowed_zones;
mod audit;
mod beats;
mod catchup;
mod dependencies;
mod direct;
mod estimate;
mod fences;
mod fleet;
mod gang;
mod hearing;
mod inheritance;
pub mod job;
mod life;
pub mod machine;
mod named_jobs;
pub mod needs;
mod order;
mod overview;
mod place;
pub mod places;
mod preempt;
mod records;
mod report;
mod room;
mod served;
mod spare;
mod team;
mod users;
mod waiting;
mod zones;

pub use fences::FenceRecord;
pub use life::detail_of_record;
pub use records::{Dirty, DirtyQueue, Key, Purpose};
pub use room::Room;
pub use users::{LookUpCounts, answer_final};

use crate::ids::{
    Attempt, CallId, Class, ControllerId, Epoch, Host, JobId, MachineTypeId, RequestId, TaskId,
    Token, Zone,
};
use crate::settings::{Settings, Tuning, WorkerParams};
use crate::store::RecordFormat;
use crate::store::budget::Budget;
use crate::time::{Span, Time, WallTime};
use crate::wire::cloud::{ListedHost, MachineType, RentalRequest};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::JobState;
use crate::wire::worker::{Commands, Report};
use hookworks_job_lifecycle::RetryPolicy as RetryRule;
use job::{Final, Job};
use machine::{Life, Machine, Slot};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What may happen to the scheduler.
#[derive(Debug)]
pub enum Event {
    Ask(RequestId, Request),
    /// A worker's report by way of another controller.
    Relayed(RequestId, ControllerId, Vec<u8>),
    /// Controllers that can't be talked to at the moment.
    OutOfReach(Vec<ControllerId>),
    /// A part of a job, or its final state, is in the store for certain.
    Stored(Key, u64),
    /// The state service refuses to store anything of this job for now.
    NotStored(JobId),
    /// The store already holds a final state for a job that was to be new.
    AlreadyFinal(JobId, Final),
    /// A consistent read of a final state came back, or failed.
    FinalRead(JobId, Result<Option<Final>, ()>),
    /// The same for the whole record, which somebody wants to see.
    RecordRead(RequestId, JobId, Result<Option<serde_json::Value>, ()>),
    Direct(CallId, Host, DirectResult),
    Flavors(Vec<MachineType>),
    Listed(Vec<ListedHost>),
    Hired(RentalRequest, HireResult),
    Released(Vec<Host>, bool),
    /// Leadership is proven as of this moment, when the renewal was sent.
    Proven(Time),
    Tick(WallTime),
    /// Requests have waited here for so long that answers may come too late.
    Behind,
    /// The moment that `wake_at` named.
    Wake,
}

#[derive(Debug)]
pub enum DirectResult {
    Done(Box<Report>),
    /// Not executed: the token or the session was not right.
    Conflict(Box<Report>),
    /// The connection was refused, so nothing was sent.
    Refused,
    /// It waited for too long here and was not sent: no word on the worker.
    Unsent,
    /// May be executed at any later time.
    Unclear,
}

#[derive(Debug, PartialEq)]
pub enum HireResult {
    Ok(Vec<Host>),
    NoCapacity,
    /// Not carried out; the same request may be sent again.
    Busy,
    /// May have been carried out; to be repeated under the same name.
    Unclear,
    /// Will never be carried out.
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
    Hire(RentalRequest),
    Release(Vec<Host>),
}

/// What the scheduler is told once, at the start of a term.
#[derive(Clone, Debug)]
pub struct Config {
    pub workers: WorkerParams,
    pub tuning: Tuning,
    pub teams: Vec<crate::settings::TeamLimit>,
    pub objectives: Vec<crate::settings::Objective>,
    pub value_kb: f64,
    /// The smallest limits that the state service is known to have at some time.
    pub smallest: crate::settings::LimitValues,
    /// Finished jobs read one by one for whoever wants to see them, a second.
    pub look_ups: f64,
    pub leader_lease: Span,
    pub pass_every: Span,
    pub hold: Span,
    /// When a zone counts as lost, and what follows.
    pub zones: hookworks_zones::Limits,
    /// Verdicts on zones are acted on, not only shown.
    pub act_on_zones: bool,
    /// Unfinished jobs; more are turned away.
    pub most_jobs: usize,
    /// Final states kept at hand; older ones are read from the store.
    pub finals: usize,
    /// Room for classes and teams that are hardly served.
    pub floor: hookworks_fairness::FairnessPolicy,
    /// How far the time of day may be off.
    pub clock_error: Span,
    /// How old the cloud's list of machines may be at most.
    pub oldest_list: Span,
    /// The other controllers and their zones.
    pub controllers: BTreeMap<ControllerId, Zone>,
}

impl Config {
    pub fn from(s: &Settings) -> Config {
        // Settings that can't be served were refused at start.
        let sizes = s.capacity_limits().ok();
        Config {
            most_jobs: sizes.map_or(LEAST_JOBS, |s| s.jobs),
            finals: sizes.map_or(LEAST_JOBS, |s| s.finals),
            workers: s.platform.params.workers.clone(),
            tuning: s.tuning.clone(),
            teams: s.platform.params.teams.clone(),
            objectives: s.platform.params.objectives.clone(),
            value_kb: s.platform.params.state.value_kb,
            smallest: s.platform.params.state.smallest(),
            look_ups: s.platform.params.state.rps * LOOK_UPS,
            leader_lease: Span::secs(s.tuning.leader_lease_s),
            pass_every: Span::secs(s.tuning.pass_ms / 1000.0),
            hold: Span::secs(s.tuning.hold_ms / 1000.0),
            zones: s.tuning.zones.limits(s.platform.params.workers.report_s),
            act_on_zones: s.tuning.zones.act,
            floor: s.tuning.served.fairness_policy(),
            clock_error: Span::secs(s.platform.params.clock_error_ms / 1000.0),
            oldest_list: Span::secs(s.platform.params.cloud.list_lag_s * 2.0),
            controllers: s.platform.controllers(),
        }
    }
    /// For this long after its last proof a leader may go on answering
    /// reports: whatever it keeps alive is still gone `cancel_s` later.
    pub fn report_grace(&self) -> Span {
        let s = self.workers.cancel_s - self.workers.lease_s - 2.0;
        Span::secs(s).max(self.leader_lease).shrunk()
    }
}

pub struct Sched {
    pub cfg: Config,
    pub epoch: Epoch,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<Host, Machine>,
    pub flavors: BTreeMap<MachineTypeId, MachineType>,
    pub dirty: DirtyQueue,
    /// The form in which records are written.
    record_format: RecordFormat,
    teams: team::Teams,
    /// Classes that want to start sooner than a machine can be rented.
    quick: BTreeSet<Class>,
    /// How often tasks of a class may fail.
    rules: BTreeMap<Class, RetryRule>,
    arrivals: spare::Arrivals,
    fleet: fleet::Fleet,
    probes: catchup::Probes,
    books: served::Books,
    watch: zones::Watch,
    fences: fences::Fences,
    finals: HashMap<JobId, Final>,
    finals_order: VecDeque<JobId>,
    dependencies: dependencies::Dependencies,
    inheritance: inheritance::InheritanceQueue,
    look_ups_for_submissions: named_jobs::LookUps,
    /// When running tasks reach their limit.
    time_limits: BTreeSet<(Time, TaskId)>,
    reads: HashMap<JobId, Vec<(RequestId, Request)>>,
    record_reads: usize,
    look_ups: Budget,
    /// The same for polls of jobs that are over or unknown.
    poll_reads: Budget,
    look_up_counts: LookUpCounts,
    counter: u64,
    next_seq: u64,
    next_call: u64,
    proven: Time,
    began: Time,
    /// The latest tick, and the end of the latest pause in which this process stood
    /// still: what was not heard meanwhile says nothing of others.
    ticked: Time,
    awake: Time,
    /// When requests were last found to have waited for too long.
    behind: Time,
    wall: WallTime,
    /// Something has changed that the next pass over the jobs should see.
    replan: bool,
    /// Passes gather what happens meanwhile: no next one before this moment.
    pass_at: Time,
    /// Nor before this one, however urgent: the rest has its share.
    rests_until: Time,
    preempt_at: Time,
    sum_up_at: Time,
    /// The job with which the next pass goes on.
    goes_on_at: Option<JobId>,
    /// The last pass got no further than who is served ahead of that job.
    stuck: bool,
    /// Machines judged for tasks since the beginning: how much work placing is.
    judged: std::cell::Cell<u64>,
    reports_held: u64,
    reports_refused: u64,
    /// Jobs just taken; written after the next pass, along with what it starts.
    taken: Vec<JobId>,
    /// Machines with attempts whose `run` has not left yet.
    unsent: BTreeSet<Host>,
    /// Machines for which something has been stored since commands last left.
    ready: BTreeSet<Host>,
    /// Reports whose answers wait for what is being stored.
    held: BTreeMap<Host, beats::Beat>,
    /// Those that wait for their zone to be taken back on record.
    at_fence: BTreeMap<Host, beats::Beat>,
    out: Vec<Effect>,
    /// Jobs whose records can't be read, and whether what can be says that they
    /// were cancelled. They are left alone, but known.
    unreadable: BTreeMap<JobId, JobState>,
}

/// Share of the state service's requests that look-ups may take: the rest is for
/// what users and workers wait for.
const LOOK_UPS: f64 = 0.1;
/// Ticks come four times a second; so long without any, this process stood still.
const STOOD_STILL: Span = Span(2_000_000);
/// Where sizes can't be told.
const LEAST_JOBS: usize = 1000;
/// How full the fleet is goes to the log so often.
const SUM_UP_EVERY: Span = Span(10_000_000);

impl Sched {
    pub fn new(cfg: Config, epoch: Epoch, proven: Time, now: Time, wall: WallTime) -> Sched {
        let look_ups = 2.0 * cfg.look_ups;
        Sched {
            teams: team::Teams::new(&cfg.teams),
            quick: BTreeSet::new(),
            rules: cfg.tuning.retry_policies(),
            record_reads: 0,
            look_ups: Budget::new(cfg.look_ups, (2.0 * cfg.look_ups).max(1.0)),
            poll_reads: Budget::new(2.0 * cfg.look_ups, (4.0 * cfg.look_ups).max(1.0)),
            look_up_counts: LookUpCounts::default(),
            arrivals: Default::default(),
            fleet: fleet::Fleet::new(epoch),
            probes: Default::default(),
            books: served::Books::new(cfg.floor),
            watch: zones::Watch::new(&cfg, now),
            fences: Default::default(),
            cfg,
            epoch,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            flavors: BTreeMap::new(),
            dirty: DirtyQueue::default(),
            record_format: RecordFormat::default(),
            finals: HashMap::new(),
            finals_order: VecDeque::new(),
            dependencies: dependencies::Dependencies::new(look_ups),
            inheritance: Default::default(),
            look_ups_for_submissions: named_jobs::LookUps::new(look_ups),
            time_limits: BTreeSet::new(),
            reads: HashMap::new(),
            counter: 0,
            next_seq: 1,
            next_call: 1,
            proven,
            began: now,
            ticked: now,
            awake: Time::default(),
            behind: Time::default(),
            wall,
            replan: false,
            pass_at: now,
            rests_until: Time::default(),
            preempt_at: now,
            sum_up_at: now,
            goes_on_at: None,
            stuck: false,
            judged: Default::default(),
            reports_held: 0,
            reports_refused: 0,
            taken: vec![],
            unsent: BTreeSet::new(),
            ready: BTreeSet::new(),
            held: BTreeMap::new(),
            at_fence: BTreeMap::new(),
            out: vec![],
            unreadable: Default::default(),
        }
    }

    /// The form in which records are written from now on. The compact one is never
    /// given up again.
    pub fn set_format(&mut self, format: RecordFormat) {
        self.record_format = self.record_format.max(format);
    }

    /// Jobs that wait for others may be taken: every controller knows what their
    /// records say.
    pub fn accepts_dependencies(&self) -> bool {
        self.record_format == RecordFormat::Compact
    }

    /// The only way in: an event at a time leads to effects.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.dirty.now = now;
        // One for a turn of the loop, not one for each of its messages: with a pass
        // due again after each, a turn took 5.8 s, and reports waited for it.
        let turn_ends = matches!(event, Event::Wake | Event::Tick(_));
        let may_pass = turn_ends || self.cfg.pass_every == Span::ZERO;
        match event {
            Event::Ask(req, ask) => self.ask(now, req, ask),
            Event::Relayed(req, by, body) => self.beat(now, req, &body, Some(by)),
            Event::OutOfReach(away) => {
                for l in away {
                    self.fleet.out_of_reach.insert(l, now);
                }
            }
            Event::Stored(key, ver) => self.stored(now, key, ver),
            Event::NotStored(job) => self.not_stored(&job),
            Event::AlreadyFinal(job, f) => self.already_final(now, job, f),
            Event::FinalRead(job, r) => self.final_read(now, job, r),
            Event::RecordRead(req, job, r) => self.record_read(now, req, job, r),
            Event::Direct(call, host, r) => self.direct_result(now, call, host, r),
            Event::Flavors(f) => self.take_flavors(f),
            Event::Listed(l) => self.listed(now, l),
            Event::Hired(h, r) => self.hired(now, h, r),
            Event::Released(hosts, ok) => self.released(now, hosts, ok),
            Event::Proven(t) => self.proven = self.proven.max(t),
            Event::Behind => self.behind = now,
            Event::Wake => {
                self.push_ready(now);
                self.answer_held(now, false);
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
            self.pass_at = now + self.cfg.pass_every;
            self.place(now);
            for id in std::mem::take(&mut self.taken) {
                if let Some(j) = self.jobs.get_mut(&id).filter(|j| j.parts[0].stored == 0) {
                    j.queue(0, &mut self.dirty, Purpose::Now);
                }
            }
            self.answer_held(now, true);
        }
        if self.cfg.pass_every == Span::ZERO {
            self.push_ready(now);
        }
        std::mem::take(&mut self.out)
    }

    fn pass_due(&self) -> Time {
        self.pass_at.max(self.rests_until)
    }

    /// No pass before this moment: the last one has taken so much that the rest is
    /// to have its turn.
    pub fn rest(&mut self, until: Time) {
        self.rests_until = until;
    }

    /// When `Wake` is due, if there is anything for it to do: the next pass,
    /// commands that may leave, answers that have waited.
    pub fn wake_at(&self) -> Option<Time> {
        let pass = self.replan.then_some(self.pass_due());
        let ready = (!self.ready.is_empty()).then_some(Time::default());
        let goes_on = self.dependencies.is_announcing() || !self.inheritance.is_empty();
        let goes_on = goes_on.then_some(Time::default());
        let due = [pass, ready, goes_on, self.held_until()];
        due.into_iter().flatten().min()
    }

    /// Leadership is proven at this moment; anything new needs that.
    pub fn may_start(&self, now: Time) -> bool {
        now < self.proven_until()
    }

    /// Until when the leadership is proven.
    pub fn proven_until(&self) -> Time {
        self.proven + (self.cfg.leader_lease.shrunk() - Span::millis(50))
    }

    /// Reports may be answered for a while after the last proof: in an outage of
    /// the state service for all. Who hears no other controller either may be the
    /// only one that has lost it, and its workers are served better elsewhere.
    pub fn may_report(&self, now: Time) -> bool {
        self.may_start(now) || now < self.proven + self.cfg.report_grace() && !self.alone(now)
    }

    /// There are other controllers, and none of them can be talked to; unless it is
    /// this one that is too busy to hear them.
    fn alone(&self, now: Time) -> bool {
        let away = |l| self.fleet.out_of_reach.get(l);
        let lately = |l| away(l).is_some_and(|t| now - *t < Span::secs(1.0));
        let others = &self.cfg.controllers;
        !others.is_empty() && self.keeps_up(now) && others.keys().all(lately)
    }

    fn next_token(&mut self) -> Token {
        self.counter += 1;
        Token(self.epoch.base() + self.counter)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.counter += 1;
        Attempt(self.epoch.base() + self.counter)
    }

    fn base_token(&self) -> Token {
        Token(self.epoch.base())
    }

    fn answer(&mut self, req: RequestId, a: Answer) {
        self.out.push(Effect::Answer(req, a));
    }

    fn take_flavors(&mut self, flavors: Vec<MachineType>) {
        let usable = |f: &MachineType| {
            let fine = f.cpus > 0.0 && f.gpus >= 0.0 && f.memory_gb >= 0.0;
            if !fine {
                tracing::warn!(build = %f.build, "a machine type without room is ignored");
            }
            fine
        };
        let flavors = flavors.into_iter().filter(usable);
        self.flavors = flavors.map(|f| (f.build.clone(), f)).collect();
        self.note_quick();
        for m in self.machines.values_mut() {
            if let Some(f) = self.flavors.get(&m.build) {
                m.set_flavor(f);
            }
        }
        self.replan = true;
    }

    /// Takes over what earlier leaders stored; called before any event.
    pub fn load(&mut self, now: Time, jobs: Vec<Job>, unreadable: BTreeMap<JobId, JobState>) {
        self.unreadable = unreadable;
        for mut job in jobs {
            if job.damaged {
                // What the lost part had on machines is not known: it is over, by
                // our word or with its lease, before anything of the job starts.
                job.backoff_until =
                    self.maybe_renewed(now) + self.lease_bound() + self.lease_bound();
            }
            self.next_seq = self.next_seq.max(job.seq + 1);
            let id = job.id().clone();
            let estimate = estimate::of(&job);
            for (t, l) in &job.live {
                let slot = Slot {
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
                m.life = Life::Up;
                if let Some(p) = &l.place {
                    (m.zone, m.build, m.spot) = (p.zone.clone(), p.build.clone(), p.spot);
                }
                // Earlier leaders may have answered its reports until now, and
                // one that doesn't know of us yet may for some time to come.
                m.answered = now.max(self.began + self.cfg.report_grace());
                self.fences.bound(m);
                m.doubt = Some(token);
                m.used += job.need;
                let task = TaskId {
                    job: id.clone(),
                    index: *t,
                };
                m.slots.insert(task, slot);
                self.teams.add(&job.spec.team, &job.need);
            }
            self.jobs.insert(id.clone(), job);
            self.finish_if_over(&id);
            // A cancelled job's tasks are to go; who told its user counts on it.
            if self.jobs.get(&id).is_some_and(|j| j.cancelled) {
                self.stop_all(now, &id);
            }
        }
        self.fleet.first_own = self.next_seq;
        self.book_loaded(now);
        self.load_dependencies(now);
        self.dirty.changed.extend(self.jobs.keys().cloned());
        self.replan = true;
    }

    fn remember_final(&mut self, id: &JobId, f: Final) {
        if self.finals.insert(id.clone(), f).is_none() {
            self.finals_order.push_back(id.clone());
            if self.finals_order.len() > self.cfg.finals
                && let Some(old) = self.finals_order.pop_front()
            {
                self.finals.remove(&old);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let pause = now - std::mem::replace(&mut self.ticked, now);
        if pause > STOOD_STILL {
            tracing::warn!(seconds = pause.as_secs(), "stood still");
            self.awake = now;
        }
        self.push_ready(now);
        self.answer_held(now, false);
        self.answer_at_fence(now);
        self.watch_machines(now);
        self.note_waiting(now);
        self.probe(now);
        self.tell_progress(now);
        self.plan_fleet(now);
        self.push_all(now);
        self.look_at_shares(now);
        self.read_parents(now);
        self.go_on_looking_up(now);
        self.end_overlong(now);
        // What waits for time alone, such as a back-off, is tried again.
        self.replan = true;
        if now >= self.sum_up_at {
            self.sum_up_at = now + SUM_UP_EVERY;
            self.sum_up(now);
            self.tell_shares();
        }
    }

    /// Reads of final states so far.
    pub fn look_up_counts(&self) -> LookUpCounts {
        self.look_up_counts
    }

    /// Machines judged for tasks so far, a measure of the work of placing.
    pub fn judged(&self) -> u64 {
        self.judged.get()
    }
}
