//! Judges the protocol's rules from the stand-ins' own record. It is told what
//! happened, with its time, in the order in which it happened; it does no I/O.

use crate::workload::Plan;
use hookworks::ids::{Host, JobId, TaskId, Team, Zone};
use hookworks::wire::user::JobState;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Breaches listed one by one; more are only counted.
const MOST_LISTED: usize = 50;
/// An accepted job whose every poll fails for so long is forgotten, if most
/// others get answers.
const NO_ANSWER: Duration = Duration::from_secs(90);

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
    /// An accepted job was not found, refused, or never answered for.
    Forgotten,
    /// A job that nobody submitted was answered for.
    Invented,
    /// A job was called done before all of its tasks were.
    NotDone,
    /// A final state changed, or a job was cancelled that nobody cancelled.
    WentBack,
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
pub enum Told {
    /// This state.
    State(JobState),
    /// 404.
    NotFound,
    /// 400 or 422 to a submission.
    Refused,
    /// Nothing that counts: no response, or any other status.
    Nothing,
}

#[derive(Debug)]
struct Known {
    plan: Arc<Plan>,
    accepted: Option<Instant>,
    asked_to_cancel: bool,
    /// The first final state that was told, and when.
    last_word: Option<(Instant, JobState)>,
    /// Since when every poll has failed.
    no_answer_since: Option<Instant>,
    done: HashSet<u32>,
    first_start: Option<Instant>,
    submitted: Instant,
}

/// The record, and what broke by it.
pub struct Judge {
    start: Instant,
    cancel_within: Duration,
    limits: HashMap<Team, f64>,
    used: HashMap<Team, f64>,
    jobs: HashMap<JobId, Known>,
    on: HashMap<TaskId, Vec<Host>>,
    starts: u64,
    answered_polls: u64,
    failed_polls: u64,
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
            on: HashMap::new(),
            starts: 0,
            answered_polls: 0,
            failed_polls: 0,
            breaches: vec![],
            counts: BTreeMap::new(),
        }
    }

    fn broke(&mut self, rule: Rule, now: Instant, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MOST_LISTED {
            let at_s = now.saturating_duration_since(self.start).as_secs_f64();
            self.breaches.push(Breach { rule, at_s, what });
        }
    }

    /// A user submits a job for the first time.
    pub fn submitted(&mut self, now: Instant, plan: Arc<Plan>) {
        let known = Known {
            plan: plan.clone(),
            accepted: None,
            asked_to_cancel: false,
            last_word: None,
            no_answer_since: None,
            done: HashSet::new(),
            first_start: None,
            submitted: now,
        };
        self.jobs.insert(plan.spec.id.clone(), known);
    }

    /// The plan of a job that was submitted.
    pub fn plan(&self, job: &JobId) -> Option<Arc<Plan>> {
        self.jobs.get(job).map(|k| k.plan.clone())
    }

    /// The task has completed before; its result is kept.
    pub fn is_done(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|k| k.done.contains(&task.ix.0))
    }

    /// How long after its submission the job's first task started.
    pub fn first_start(&self, job: &JobId) -> Option<Duration> {
        let known = self.jobs.get(job)?;
        Some(
            known
                .first_start?
                .saturating_duration_since(known.submitted),
        )
    }

    /// A task is on its machine: it has its image.
    pub fn started(&mut self, now: Instant, task: &TaskId, host: &Host, zone: &Zone) {
        self.starts += 1;
        let others = self.on.entry(task.clone()).or_default();
        others.push(host.clone());
        if others.len() > 1 {
            let what = format!("{task} on {others:?}");
            self.broke(Rule::RanTwice, now, what);
        }
        let Some(known) = self.jobs.get_mut(&task.job) else {
            return self.broke(Rule::Invented, now, format!("{task} of no job"));
        };
        known.first_start.get_or_insert(now);
        let plan = known.plan.clone();
        let late = known
            .cancelled_for(now)
            .is_some_and(|t| t > self.cancel_within);
        if late {
            self.broke(Rule::RanCancelled, now, format!("{task} started"));
        }
        if plan.spec.zone.as_ref().is_some_and(|z| z != zone) {
            self.broke(Rule::WrongPlace, now, format!("{task} in {zone}"));
        }
        let team = &plan.spec.team;
        let used = self.used.entry(team.clone()).or_default();
        *used += plan.spec.cpus;
        let (used, limit) = (*used, self.limits.get(team).copied());
        if limit.is_some_and(|l| used > l + 1e-6) {
            self.broke(Rule::Quota, now, format!("{team} uses {used} with {task}"));
        }
    }

    /// A task that was on its machine is no longer; `done`: it completed.
    pub fn gone(&mut self, now: Instant, task: &TaskId, host: &Host, done: bool) {
        let Some(hosts) = self.on.get_mut(task) else {
            return;
        };
        if let Some(i) = hosts.iter().position(|h| h == host) {
            hosts.swap_remove(i);
        }
        if hosts.is_empty() {
            self.on.remove(task);
        }
        let Some(known) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if done {
            known.done.insert(task.ix.0);
        }
        if let Some(used) = self.used.get_mut(&known.plan.spec.team) {
            *used -= known.plan.spec.cpus;
        }
        if known
            .cancelled_for(now)
            .is_some_and(|t| t > self.cancel_within)
        {
            self.broke(
                Rule::RanCancelled,
                now,
                format!("{task} was there until now"),
            );
        }
    }

    /// A user begins to ask for a cancellation.
    pub fn asked_to_cancel(&mut self, job: &JobId) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.asked_to_cancel = true;
        }
    }

    /// A user was told this of a job it submitted; it had asked at `asked`.
    pub fn told(&mut self, asked: Instant, now: Instant, job: &JobId, told: Told) {
        match told {
            Told::Nothing => self.failed_polls += 1,
            _ => self.answered_polls += 1,
        }
        let Some(known) = self.jobs.get_mut(job) else {
            if matches!(told, Told::State(_)) {
                self.broke(Rule::Invented, now, format!("{job} was never submitted"));
            }
            return;
        };
        if told == Told::Nothing {
            known.no_answer_since.get_or_insert(asked);
        } else {
            known.no_answer_since = None;
        }
        let was_accepted = known.accepted.is_some_and(|t| t <= asked);
        match told {
            Told::Nothing => {}
            Told::NotFound | Told::Refused if was_accepted => {
                self.broke(Rule::Forgotten, now, format!("{job}: {told:?}"));
            }
            Told::NotFound | Told::Refused => {}
            Told::State(state) => self.told_state(asked, now, job, state),
        }
    }

    fn told_state(&mut self, asked: Instant, now: Instant, job: &JobId, state: JobState) {
        let Some(known) = self.jobs.get_mut(job) else {
            return;
        };
        known.accepted.get_or_insert(now);
        let before = known.last_word;
        let is_final = matches!(state, JobState::Done | JobState::Cancelled);
        if is_final && before.is_none() {
            known.last_word = Some((now, state));
        }
        let complete = known.done.len() == known.plan.spec.tasks as usize;
        let unasked = state == JobState::Cancelled && !known.asked_to_cancel;
        if before.is_some_and(|(at, was)| at <= asked && was != state) {
            self.broke(
                Rule::WentBack,
                now,
                format!("{job}: {before:?}, now {state:?}"),
            );
        }
        if unasked {
            self.broke(Rule::WentBack, now, format!("{job}: nobody cancelled it"));
        }
        if state == JobState::Done && !complete {
            self.broke(Rule::NotDone, now, format!("{job} is called done"));
        }
    }

    /// Looks for what has lasted too long.
    pub fn sweep(&mut self, now: Instant) {
        let within = self.cancel_within;
        let late = self.on.iter().filter(|(task, _)| {
            let job = self.jobs.get(&task.job);
            job.and_then(|k| k.cancelled_for(now))
                .is_some_and(|t| t > within)
        });
        let late: Vec<String> = late.map(|(t, h)| format!("{t} is on {h:?}")).collect();
        for what in late {
            self.broke(Rule::RanCancelled, now, what);
        }
        if self.failed_polls >= self.answered_polls {
            return;
        }
        let silent = self.jobs.iter_mut().filter_map(|(job, k)| {
            let since = k.no_answer_since.filter(|_| k.accepted.is_some())?;
            let forgotten = now.saturating_duration_since(since) > NO_ANSWER;
            forgotten.then(|| {
                k.no_answer_since = None;
                format!("{job}: no answer for {NO_ANSWER:?}")
            })
        });
        for what in silent.collect::<Vec<_>>() {
            self.broke(Rule::Forgotten, now, what);
        }
    }

    /// Task starts so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Tasks on machines now.
    pub fn on_machines(&self) -> usize {
        self.on.len()
    }

    /// Accepted jobs that have been told to be neither done nor cancelled.
    pub fn unfinished(&self) -> usize {
        let open = |k: &&Known| k.accepted.is_some() && k.last_word.is_none();
        self.jobs.values().filter(open).count()
    }

    /// Jobs that were told to be done or cancelled.
    pub fn finished(&self) -> usize {
        self.jobs.values().filter(|k| k.last_word.is_some()).count()
    }

    /// The verdict at the end of the run.
    pub fn verdict(&mut self, now: Instant) -> Verdict {
        self.sweep(now);
        if self.starts == 0 {
            self.broke(Rule::NothingRan, now, "no task was started".into());
        }
        Verdict {
            broken: self.counts.clone(),
            breaches: self.breaches.clone(),
        }
    }
}

impl Known {
    /// How long ago the user was told that the job is cancelled.
    fn cancelled_for(&self, now: Instant) -> Option<Duration> {
        match self.last_word {
            Some((at, JobState::Cancelled)) => Some(now.saturating_duration_since(at)),
            _ => None,
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
