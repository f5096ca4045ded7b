//! What users send: submissions, judged by the rules on malformed ones and on those
//! that can never run, and cancellations with the commands and starts that follow them.

use super::needs::{NEEDS, Names, named};
use super::rules::Told;
use super::{Ev, S, World, settings};
use hookworks::ids::*;
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::user::{JobSpec, JobState, JobView};
use hookworks::wire::worker::Command;
use rand::RngExt;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What a submission has to be answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Accepted,
    Malformed,
    NeverRuns,
}

/// What must be in a field of a submission.
enum Form {
    JobName,
    Name,
    OneOf(&'static [&'static str]),
    Tasks,
    Amount,
    Flag,
    /// Null, left out, or a list of names.
    Names,
    /// Null, left out, or a name.
    MaybeName,
    /// Null, left out, or an amount.
    MaybeAmount,
}

const FIELDS: [(&str, Form); 19] = [
    ("Id", Form::JobName),
    ("Jobline", Form::Name),
    ("Crew", Form::Name),
    ("Shape", Form::OneOf(&["batch", "gang", "daemon"])),
    (
        "Urgency",
        Form::OneOf(&["production", "high", "normal", "best_effort"]),
    ),
    ("Pieces", Form::Tasks),
    ("Vcpus", Form::Amount),
    ("Accelerators", Form::Amount),
    ("RamGb", Form::Amount),
    ("Bundle", Form::Name),
    ("SizeGb", Form::Amount),
    ("Builds", Form::Names),
    ("Yard", Form::MaybeName),
    ("OneZone", Form::Flag),
    ("Scatter", Form::Flag),
    ("Lendable", Form::Flag),
    ("GuessS", Form::Amount),
    ("BookmarkS", Form::Amount),
    ("StowS", Form::Amount),
];

impl Form {
    fn holds(&self, v: &Value) -> bool {
        let amount = |v: &Value| v.as_f64().is_some_and(|n| n.is_finite() && n >= 0.0);
        match self {
            Form::JobName => v.as_str().is_some_and(JobId::is_well_formed),
            Form::Name => v.as_str().is_some_and(|s| !s.is_empty()),
            Form::OneOf(all) => v.as_str().is_some_and(|s| all.contains(&s)),
            Form::Tasks => v.as_u64().is_some_and(|n| (1..=100_000).contains(&n)),
            Form::Amount => amount(v),
            Form::Flag => v.is_boolean(),
            Form::Names => {
                let all = v.as_array().map(|a| a.iter().all(Value::is_string));
                v.is_null() || all == Some(true)
            }
            Form::MaybeName => v.is_null() || v.is_string(),
            Form::MaybeAmount => v.is_null() || amount(v),
        }
    }
}

/// The job that a submission names, malformed or not.
pub fn submitted_id(body: &[u8]) -> Option<JobId> {
    let v: Value = serde_json::from_slice(body).ok()?;
    v["Id"].as_str().map(JobId::from)
}

fn well_formed(v: &Value) -> bool {
    let due = Form::MaybeAmount.holds(&v["DueS"]);
    let names = named(&v[NEEDS]).is_some();
    v.is_object() && due && names && FIELDS.iter().all(|(name, form)| form.holds(&v[*name]))
}

#[derive(Default)]
pub struct Submissions {
    /// The definite answer that each body got first: its status, and why not.
    answered: BTreeMap<Vec<u8>, (u16, String)>,
    /// When a command to run a task there first left a controller.
    runs: BTreeMap<(Host, TaskId), u64>,
    /// Share of the jobs that are called off at the end of their last task.
    pub cancel_at_end: f64,
    called_off: BTreeSet<JobId>,
    odd_sent: u64,
}

impl World {
    /// What the protocol says of this body; of machines and teams as they are here.
    pub fn verdict(&self, body: &[u8]) -> Verdict {
        match serde_json::from_slice::<Value>(body) {
            Ok(v) if well_formed(&v) && self.may_ever_run(&v) => Verdict::Accepted,
            Ok(v) if well_formed(&v) => Verdict::NeverRuns,
            _ => Verdict::Malformed,
        }
    }

    fn may_ever_run(&self, v: &Value) -> bool {
        let amount = |name: &str| v[name].as_f64().unwrap_or(0.0);
        let teams = settings("x").platform.params.teams;
        let Some(team) = teams
            .iter()
            .find(|t| Some(t.name.as_str()) == v["Crew"].as_str())
        else {
            return false;
        };
        let together = v["Shape"] != "batch";
        let tasks = if together { amount("Pieces") } else { 1.0 };
        // A limit that is not given is none.
        let within = |limit: f64, name: &str| {
            limit == 0.0 || amount(name) * tasks <= limit * self.wealth + 1e-6
        };
        let fits = amount("Vcpus") <= 8.0 && amount("Accelerators") <= 2.0;
        let types = v["Builds"].as_array();
        let type_allowed = types.is_none_or(|t| t.iter().any(|t| t == "m8"));
        let zones: Vec<&Zone> = self
            .zones
            .iter()
            .filter(|z| v["Yard"].as_str().is_none_or(|only| z.as_str() == only))
            .collect();
        let single = zones.len() == 1 || v["OneZone"] == true;
        let scatters = v["Scatter"] == true && tasks > 1.0;
        within(team.cpus_max, "Vcpus")
            && within(team.gpus_max, "Accelerators")
            && fits
            && amount("RamGb") <= 32.0
            && type_allowed
            && !zones.is_empty()
            && !(scatters && single)
    }

    /// A submission's answer, if it is one: what it had to be, and the same each time.
    pub(super) fn judge_submission(&mut self, body: &[u8], a: &Answer, sent: u64) {
        let given = match a.status {
            200..300 => Verdict::Accepted,
            400 => Verdict::Malformed,
            422 => Verdict::NeverRuns,
            _ => return,
        };
        // Whether a job that it waits for is known depends on more than the body.
        if given == Verdict::NeverRuns && a.body.contains("After: ") {
            return;
        }
        let text = String::from_utf8_lossy(body).into_owned();
        let right = match (self.verdict(body), self.judge_names(body, sent)) {
            (Verdict::Accepted, Names::Unknown) => Verdict::NeverRuns,
            // Accepted or not, that may be right.
            (Verdict::Accepted, Names::Unsettled) => return,
            (verdict, _) => verdict,
        };
        // Of a job that is known its state is told, whatever is asked for now.
        let accepted = |t: &Told| t.accepted;
        let known = submitted_id(body).and_then(|id| self.told.get(&id).map(accepted));
        let known = known == Some(true) && right == Verdict::NeverRuns;
        if given == Verdict::Accepted && right != given && !known {
            self.broken
                .push(format!("accepted_wrongly: {right:?} {text}"));
        }
        if given != Verdict::Accepted && given != right {
            let why = &a.body;
            self.broken
                .push(format!("refused_wrongly: {} {why} {text}", a.status));
        }
        let why = match given {
            Verdict::Accepted => (200, String::new()),
            _ => (a.status, a.body.clone()),
        };
        let first = self.submissions.answered.entry(body.to_vec());
        let first = first.or_insert(why.clone());
        if *first != why {
            self.broken
                .push(format!("answers_differ: {first:?} {why:?} {text}"));
        }
    }

    /// Commands leave a controller: none runs what its user knows to be cancelled.
    pub fn commands_leave(&mut self, host: &Host, orders: &[Command]) {
        let now = self.now;
        self.check_commands_wait(orders);
        for o in orders {
            let Command::Run { task, .. } = o else {
                continue;
            };
            let told = self.told.get(&task.job);
            if told.is_some_and(|t| t.cancelled_at.is_some()) {
                self.broken
                    .push(format!("started_cancelled: {task} told to run on {host}"));
            }
            let key = (host.clone(), task.clone());
            self.submissions.runs.entry(key).or_insert(now);
        }
    }

    /// What is on the machines now. A start after a confirmed cancellation comes from
    /// a command that had left before, or breaks the rule.
    pub(super) fn check_starts(&mut self, on: &BTreeMap<TaskId, BTreeSet<Host>>) {
        for (t, hosts) in on {
            let told = self.told.get(&t.job);
            let Some(at) = told.and_then(|t| t.cancelled_at) else {
                continue;
            };
            for h in hosts {
                let before = self.on.get(t).is_some_and(|b| b.contains(h));
                let key = (h.clone(), t.clone());
                let sent = self.submissions.runs.get(&key);
                if !before && sent.is_none_or(|sent| *sent > at) {
                    self.broken.push(format!("started_cancelled: {t} on {h}"));
                }
            }
        }
    }

    /// Tasks have ended on this machine. Some jobs are called off as their last one
    /// does: just before the report of it arrives, at that moment, or after it.
    pub(super) fn tasks_end(&mut self, host: &Host, ended: Vec<TaskId>) {
        self.done_tasks.extend(ended.iter().cloned());
        if self.submissions.cancel_at_end == 0.0 {
            return;
        }
        let jobs: BTreeSet<JobId> = ended.into_iter().map(|t| t.job).collect();
        for id in jobs {
            let tasks = self.specs[&id].tasks;
            let done = |ix| {
                let job = id.clone();
                self.done_tasks.contains(&TaskId {
                    job,
                    index: TaskIndex(ix),
                })
            };
            let share = self.submissions.cancel_at_end;
            if !(0..tasks).all(done)
                || !self.submissions.called_off.insert(id.clone())
                || !self.rng.random_bool(share)
            {
                continue;
            }
            let next = self.workers.get(host).map_or(0, |w| w.next_beat);
            let report_s = next.saturating_sub(self.now) as f64 / 1e6;
            self.at(report_s, Ev::Beat(host.clone()));
            let off_s = self.rng.random_range(-0.004..0.02);
            self.insists(
                f64::max(report_s + off_s, 0.0),
                Request::Cancel(id.to_string()),
            );
        }
    }

    /// A user asks, and again while the answer may not have come.
    pub fn insists(&mut self, in_s: f64, ask: Request) {
        for again_s in [0.0, 1.1, 2.3, 4.0, 8.0, 15.0] {
            self.at(in_s + again_s, Ev::User(ask.clone()));
        }
    }

    /// Users send what is odd until then: submissions of jobs that were accepted, once
    /// more; cancellations of what is done, or unknown; what can never run or is
    /// malformed, several times by way of several controllers.
    pub(super) fn odd_requests(&mut self, until: u64) {
        if self.now >= until {
            return;
        }
        let known = |t: &(&JobId, &Told)| t.1.accepted;
        let done = |t: &(&JobId, &Told)| t.1.over == Some(JobState::Done);
        let pick =
            |all: Vec<JobId>, n: usize| (!all.is_empty()).then(|| all[n % all.len()].clone());
        let ids = |which: &dyn Fn(&(&JobId, &Told)) -> bool| -> Vec<JobId> {
            let which = self.told.iter().filter(|t| which(t));
            which.map(|t| t.0.clone()).collect()
        };
        let (known, done) = (ids(&known), ids(&done));
        let n = self.rng.random_range(0..1_000_000);
        match self.rng.random_range(0..4) {
            0 => {
                if let Some(id) = pick(known, n) {
                    let body = self.body_of(&id);
                    self.insists(0.0, Request::Submit(body));
                }
            }
            1 => {
                let id = pick(done, n).unwrap_or_else(|| "job-999999".into());
                self.insists(0.0, Request::Cancel(id.to_string()));
            }
            malformed => {
                let body = self.odd_body(n, malformed == 2);
                if let Ok(spec) = JobSpec::parse(&body) {
                    self.specs.insert(spec.id.clone(), spec);
                }
                self.insists(0.0, Request::Submit(body.clone()));
                for i in 0..self.ctls.len() {
                    let in_s = self.rng.random_range(0.0..9.0);
                    self.at(in_s, Ev::UserVia(i, Request::Submit(body.clone())));
                }
            }
        }
        let next = self.rng.random_range(0.2..0.8);
        self.at(next, Ev::OddRequests(until));
    }

    /// Asks for all jobs, twenty a second, and answers what was said of each.
    pub fn states(&mut self) -> BTreeMap<JobId, Option<JobState>> {
        let ids: Vec<JobId> = self.specs.keys().cloned().collect();
        let before = self.answers.len();
        for id in &ids {
            self.user(Request::Poll(id.to_string()));
            self.run(0.05);
        }
        self.run(1.0);
        let mut states: BTreeMap<_, _> = ids.into_iter().map(|id| (id, None)).collect();
        for (ask, a) in &self.answers[before..] {
            if let (Request::Poll(id), Ok(v)) = (ask, serde_json::from_str::<JobView>(&a.body)) {
                states.insert(id.as_str().into(), Some(v.state));
            }
        }
        states
    }

    /// For so many seconds from now.
    pub fn odd_requests_for(&mut self, seconds: f64) {
        let until = self.now + (seconds * S as f64) as u64;
        self.at(0.0, Ev::OddRequests(until));
    }

    /// A submission that lacks a field or can never run, of a job of its own.
    fn odd_body(&mut self, n: usize, malformed: bool) -> Vec<u8> {
        self.submissions.odd_sent += 1;
        let id = 800_000 + self.submissions.odd_sent;
        let mut v = serde_json::to_value(super::job(id, 2)).unwrap();
        if malformed {
            // Not the name of the job: nobody could ask for it.
            let (field, _) = &FIELDS[1 + n % (FIELDS.len() - 1)];
            match n / FIELDS.len() % 2 {
                0 if !matches!(*field, "Builds" | "Yard") => {
                    v.as_object_mut().unwrap().remove(*field);
                }
                _ => v[*field] = serde_json::json!({}),
            }
        } else {
            let (field, bad) = &never_run()[n % never_run().len()];
            v[*field] = bad.clone();
            if *field == "Pieces" {
                v["Shape"] = "gang".into();
            }
        }
        v.to_string().into_bytes()
    }
}

/// Fields and what makes a job of them that can never run.
pub fn never_run() -> [(&'static str, Value); 8] {
    [
        ("Crew", "nobody".into()),
        ("Vcpus", 9.into()),
        ("Vcpus", 1e300.into()),
        ("Accelerators", 2.5.into()),
        ("RamGb", 32.1.into()),
        ("Builds", serde_json::json!(["m9"])),
        ("Yard", "elsewhere".into()),
        // As a gang: two CPUs each.
        ("Pieces", 90_000.into()),
    ]
}
