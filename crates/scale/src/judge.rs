//! Judges the protocol's rules from the stand-ins' own record. It is told what
//! happened, with its time, in the order in which it happened; it does no I/O.

mod dependencies;
mod record;

pub use record::JobOutcome;

use crate::workload::Plan;
use hookworks::ids::{Host, JobId, TaskId, Team, Zone};
use hookworks::wire::user::JobState;
use record::JobRecord;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Breaches listed one by one; more are only counted.
const MOST_LISTED: usize = 50;
/// An accepted job is forgotten if no question about it is answered for so long while
/// no trouble is under way, however others fare.
const NO_ANSWER: Duration = Duration::from_secs(75);
/// Sums of processors are exact up to this.
const ROUNDING: f64 = 1e-6;

/// The rules of the protocol that are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task started on one machine while it was on another.
    RanTwice,
    /// A team used more than its limit.
    Quota,
    /// A task started where its job does not allow it.
    WrongPlace,
    /// A task was on a machine, or started, too long after its job was cancelled.
    RanCancelled,
    /// An accepted job was not found, refused, or never answered for; or one that
    /// needs accepted jobs was refused.
    Forgotten,
    /// A job that nobody submitted was answered for, or one accepted that needs
    /// such a job.
    Invented,
    /// A job was called done before all of its tasks were.
    NotDone,
    /// A final state changed, or a job was cancelled although nobody cancelled it
    /// or a job that it needs.
    WentBack,
    /// A task started before all jobs that its job needs were done.
    TooEarly,
    /// A job was called queued or running too long after its user was told that
    /// a job that it needs, directly or through others, is cancelled.
    Orphaned,
    /// A command that arrived once more started an attempt that had been there before.
    StartedAgain,
    /// No task was started.
    NothingRan,
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// What happened.
    pub what: String,
}

/// What a controller said of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// This state.
    State(JobState),
    /// 404.
    NotFound,
    /// 400 or 422 to a submission.
    Refused,
    /// Nothing that counts: no response, or any other status.
    Missing,
}

/// Troubles that were put in.
struct Troubles {
    under_way: usize,
    last_ended: Instant,
}

impl Troubles {
    fn new(start: Instant) -> Troubles {
        Troubles {
            under_way: 0,
            last_ended: start,
        }
    }
}

/// The record, and what broke by it.
pub struct Judge {
    start: Instant,
    cancel_within: Duration,
    limits: HashMap<Team, f64>,
    used: HashMap<Team, f64>,
    jobs: HashMap<JobId, JobRecord>,
    /// The machines that each task is on.
    hosts: HashMap<TaskId, Vec<Host>>,
    starts: u64,
    troubles: Troubles,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge of a run that begins at `start`; `limits` are the teams' most
    /// processors.
    pub fn new(start: Instant, cancel_within: Duration, limits: HashMap<Team, f64>) -> Judge {
        Judge {
            start,
            cancel_within,
            limits,
            used: HashMap::new(),
            jobs: HashMap::new(),
            hosts: HashMap::new(),
            starts: 0,
            troubles: Troubles::new(start),
            breaches: vec![],
            counts: BTreeMap::new(),
        }
    }

    fn record_breach(&mut self, rule: Rule, now: Instant, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MOST_LISTED {
            let at_s = now.saturating_duration_since(self.start).as_secs_f64();
            self.breaches.push(Breach { rule, at_s, what });
        }
    }

    /// A user submits a job for the first time.
    pub fn submitted(&mut self, now: Instant, plan: Arc<Plan>) {
        let job = plan.spec.id.clone();
        self.jobs.insert(job, JobRecord::new(plan, now));
    }

    /// The plan of a job that was submitted.
    pub fn plan(&self, job: &JobId) -> Option<Arc<Plan>> {
        self.jobs.get(job).map(|record| record.plan.clone())
    }

    /// The task has completed before; its result is kept.
    pub fn is_done(&self, task: &TaskId) -> bool {
        let record = self.jobs.get(&task.job);
        record.is_some_and(|r| r.done.contains(&task.index.0))
    }

    /// How long after its submission the job's first task started.
    pub fn first_start(&self, job: &JobId) -> Option<Duration> {
        let record = self.jobs.get(job)?;
        let first = record.first_start?;
        Some(first.saturating_duration_since(record.submitted))
    }

    /// What became of a job so far; none if it was never submitted.
    pub fn outcome(&self, job: &JobId) -> Option<JobOutcome> {
        self.jobs.get(job).map(JobRecord::outcome)
    }

    /// A task is on its machine: it has its image.
    pub fn started(&mut self, now: Instant, task: &TaskId, host: &Host, zone: &Zone) {
        self.starts += 1;
        let others = self.hosts.entry(task.clone()).or_default();
        others.push(host.clone());
        if others.len() > 1 {
            let what = format!("{task} on {others:?}");
            self.record_breach(Rule::RanTwice, now, what);
        }
        let Some(record) = self.jobs.get_mut(&task.job) else {
            return self.record_breach(Rule::Invented, now, format!("{task} of no job"));
        };
        record.first_start.get_or_insert(now);
        let plan = record.plan.clone();
        if record.is_cancelled_for_longer(now, self.cancel_within) {
            self.record_breach(Rule::RanCancelled, now, format!("{task} started"));
        }
        if plan.spec.zone.as_ref().is_some_and(|z| z != zone) {
            self.record_breach(Rule::WrongPlace, now, format!("{task} in {zone}"));
        }
        self.check_needs(now, task, &plan);
        self.use_cpus(now, task, &plan);
    }

    /// A command that was carried out before has started this attempt on its machine.
    pub fn started_again(&mut self, now: Instant, task: &TaskId, host: &Host) {
        let what = format!("{task} on {host}");
        self.record_breach(Rule::StartedAgain, now, what);
    }

    /// Counts a started task's processors towards its team's limit.
    fn use_cpus(&mut self, now: Instant, task: &TaskId, plan: &Plan) {
        let team = &plan.spec.team;
        let used = self.used.entry(team.clone()).or_default();
        *used += plan.spec.cpus;
        let (used, limit) = (*used, self.limits.get(team).copied());
        if limit.is_some_and(|l| used > l + ROUNDING) {
            self.record_breach(Rule::Quota, now, format!("{team} uses {used} with {task}"));
        }
    }

    /// A task that was on its machine is no longer; `done`: it completed.
    pub fn gone(&mut self, now: Instant, task: &TaskId, host: &Host, done: bool) {
        let Some(hosts) = self.hosts.get_mut(task) else {
            return;
        };
        if let Some(i) = hosts.iter().position(|h| h == host) {
            hosts.swap_remove(i);
        }
        if hosts.is_empty() {
            self.hosts.remove(task);
        }
        let Some(record) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if done {
            record.task_done(now, task.index.0);
        }
        if let Some(used) = self.used.get_mut(&record.plan.spec.team) {
            *used -= record.plan.spec.cpus;
        }
        if record.is_cancelled_for_longer(now, self.cancel_within) {
            let what = format!("{task} was there until now");
            self.record_breach(Rule::RanCancelled, now, what);
        }
    }

    /// A user begins to ask for a cancellation.
    pub fn asked_to_cancel(&mut self, job: &JobId) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.asked_to_cancel = true;
        }
    }

    /// A user was told this of a job it submitted; it had asked at `asked`.
    pub fn answered(&mut self, asked: Instant, now: Instant, job: &JobId, answer: Answer) {
        let Some(record) = self.jobs.get_mut(job) else {
            if matches!(answer, Answer::State(_)) {
                self.record_breach(Rule::Invented, now, format!("{job} was never submitted"));
            }
            return;
        };
        record.note_answer(asked, now, answer != Answer::Missing);
        let was_accepted = record.accepted.is_some_and(|t| t <= asked);
        match answer {
            Answer::Missing => {}
            Answer::NotFound | Answer::Refused if was_accepted => {
                self.record_breach(Rule::Forgotten, now, format!("{job}: {answer:?}"));
            }
            Answer::Refused => self.check_refused(asked, now, job),
            Answer::NotFound => {}
            Answer::State(state) => self.answered_state(asked, now, job, state),
        }
    }

    fn answered_state(&mut self, asked: Instant, now: Instant, job: &JobId, state: JobState) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.accepted.get_or_insert(now);
        let before = record.final_state;
        let is_final = matches!(state, JobState::Done | JobState::Cancelled);
        if is_final && before.is_none() {
            record.final_state = Some((now, state));
        }
        if state == JobState::Done && record.completed.is_none() {
            self.record_breach(Rule::NotDone, now, format!("{job} is called done"));
        }
        if before.is_some_and(|(at, was)| at <= asked && was != state) {
            let what = format!("{job}: {before:?}, now {state:?}");
            self.record_breach(Rule::WentBack, now, what);
        }
        if state == JobState::Cancelled && !self.may_be_cancelled(job) {
            self.record_breach(
                Rule::WentBack,
                now,
                format!("{job}: nobody cancelled it or a job that it needs"),
            );
        }
        if !is_final {
            self.check_orphaned(asked, now, job, state);
        }
    }

    /// Looks for what has lasted too long.
    pub fn sweep(&mut self, now: Instant) {
        let within = self.cancel_within;
        let late = self.hosts.iter().filter(|(task, _)| {
            let record = self.jobs.get(&task.job);
            record.is_some_and(|r| r.is_cancelled_for_longer(now, within))
        });
        let late: Vec<String> = late.map(|(t, h)| format!("{t} is on {h:?}")).collect();
        for what in late {
            self.record_breach(Rule::RanCancelled, now, what);
        }
        self.sweep_silent(now);
    }

    /// A trouble has begun: a controller is gone, a zone cut off and the like.
    pub fn trouble_began(&mut self) {
        self.troubles.under_way += 1;
    }

    /// A trouble is over.
    pub fn trouble_ended(&mut self, now: Instant) {
        self.troubles.under_way = self.troubles.under_way.saturating_sub(1);
        self.troubles.last_ended = self.troubles.last_ended.max(now);
    }

    /// Looks for accepted jobs that nobody answers for any more.
    fn sweep_silent(&mut self, now: Instant) {
        if self.troubles.under_way > 0 {
            return;
        }
        let troubles_ended = self.troubles.last_ended;
        let silent = self.jobs.iter_mut().filter_map(|(job, record)| {
            let since = record.silent_since()?.max(troubles_ended);
            let forgotten = now.saturating_duration_since(since) > NO_ANSWER;
            forgotten.then(|| {
                record.counted_as_forgotten();
                format!("{job}: no answer for {NO_ANSWER:?}")
            })
        });
        for what in silent.collect::<Vec<_>>() {
            self.record_breach(Rule::Forgotten, now, what);
        }
    }

    /// Task starts so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Tasks on machines now.
    pub fn on_machines(&self) -> usize {
        self.hosts.len()
    }

    /// Accepted jobs that have been told to be neither done nor cancelled.
    pub fn unfinished(&self) -> usize {
        self.jobs.values().filter(|r| r.is_unfinished()).count()
    }

    /// Jobs that were told to be done or cancelled.
    pub fn finished(&self) -> usize {
        let over = |r: &&JobRecord| r.final_state.is_some();
        self.jobs.values().filter(over).count()
    }

    /// The verdict at the end of the run.
    pub fn verdict(&mut self, now: Instant) -> Verdict {
        self.sweep(now);
        if self.starts == 0 {
            self.record_breach(Rule::NothingRan, now, "no task was started".into());
        }
        Verdict {
            broken: self.counts.clone(),
            breaches: self.breaches.clone(),
        }
    }
}

/// Which rules broke, how often, and the first of the breaches.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How often each rule broke.
    pub broken: BTreeMap<Rule, u64>,
    /// The first breaches, one by one.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// No rule broke.
    pub fn holds(&self) -> bool {
        self.broken.is_empty()
    }
}
