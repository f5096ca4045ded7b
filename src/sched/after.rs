//! Jobs that wait for others. What a condition has come to is stored with the
//! job that waits, since the other one's record may be gone by then.

use super::Sched;
use super::job::{Final, Job};
use super::records::Purpose;
use crate::ids::{JobId, ReqId, TaskIx};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Ask};
use crate::wire::user::{After, JobSpec, JobState, Kind, When};
use hookworks_job_lifecycle::{Hold, HoldKind};
use serde_json::Value;
use std::collections::{BTreeSet, HashMap};

/// Reads of other jobs' records under way for submissions.
const MAX_WAITING: usize = 64;
/// A final state that could not be read is asked for again after so long.
const AGAIN: Span = Span(3_000_000);
/// Who holds a job whose condition can't come true any more.
const NEVER: &str = "dependency";

/// What has become of a job that others wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Came {
    /// A task of it has run.
    Started,
    /// Held, since it has failed too often; it may still go on.
    Failed,
    Over(JobState),
}

/// What a condition makes of that: met, or never to be met; `None`: neither.
fn judge(when: When, came: Came) -> Option<bool> {
    match (when, came) {
        (When::Start, Came::Started | Came::Over(JobState::Done)) => Some(true),
        (When::Start, Came::Over(_)) => Some(false),
        (When::End, Came::Over(_)) => Some(true),
        (When::Success, Came::Over(s)) => Some(s == JobState::Done),
        (When::Failure, Came::Failed) => Some(true),
        (When::Failure, Came::Over(s)) => Some(s == JobState::Cancelled),
        _ => None,
    }
}

/// A submission that names jobs of which this leader does not know all.
struct Waiting {
    spec: JobSpec,
    body: Vec<u8>,
    /// Still to be read.
    missing: BTreeSet<JobId>,
    /// Read: state and team, as far as its record tells.
    found: HashMap<JobId, (Final, Option<String>)>,
}

/// Who waits for whom.
#[derive(Default)]
pub(super) struct Waits {
    /// By the job that is waited for.
    children: HashMap<JobId, Vec<JobId>>,
    submissions: HashMap<ReqId, Waiting>,
    /// Ended before this leader came, or unknown why not: to be read.
    unread: BTreeSet<JobId>,
    read_at: Time,
}

impl Job {
    /// The job whose tasks those of this one wait for, one by one.
    pub fn counterpart(&self) -> Option<&JobId> {
        self.spec.after.iter().find(|a| a.each).map(|a| &a.job)
    }

    /// A condition on a job as a whole is not met yet.
    pub fn blocked(&self) -> bool {
        let whole = |(_, a): &(usize, &After)| !a.each;
        let conditions = self.spec.after.iter().enumerate().filter(whole);
        conditions.fold(0, |all, (n, _)| all | 1u32 << n) & !self.met != 0
    }
}

impl Sched {
    /// Looks at the jobs that a submission names. True: it is answered, or
    /// waits for reads; false: go on with it.
    pub(super) fn named_jobs(&mut self, req: ReqId, spec: &JobSpec, body: &[u8]) -> bool {
        if spec.after.is_empty() {
            return false;
        }
        let unknown = |a: &&After| !self.jobs.contains_key(&a.job);
        let mut missing: BTreeSet<JobId> = spec
            .after
            .iter()
            .filter(unknown)
            .map(|a| a.job.clone())
            .collect();
        if missing.is_empty() {
            return self.refuse_named(req, spec, &HashMap::new());
        }
        // Its own record, too: a repeated submission is never refused.
        missing.insert(spec.id.clone());
        let under_way: usize = self
            .waits
            .submissions
            .values()
            .map(|w| w.missing.len())
            .sum();
        if under_way + missing.len() > MAX_WAITING {
            self.answer(req, Answer::later("too many look-ups at a time", 1));
            return true;
        }
        for id in &missing {
            self.out.push(super::Effect::ReadRecord(req, id.clone()));
        }
        let waiting = Waiting {
            spec: spec.clone(),
            body: body.to_vec(),
            missing,
            found: HashMap::new(),
        };
        self.waits.submissions.insert(req, waiting);
        true
    }

    /// Answers what can't be taken; true if it did.
    fn refuse_named(
        &mut self,
        req: ReqId,
        spec: &JobSpec,
        found: &HashMap<JobId, (Final, Option<String>)>,
    ) -> bool {
        // What is not stored yet may never be; then this would wait for ever.
        let not_yet = |a: &After| {
            let j = self.jobs.get(&a.job);
            j.is_some_and(|j| j.parts[0].stored == 0)
        };
        if spec.after.iter().any(not_yet) {
            let text = "After: a job it names is being stored";
            self.answer(req, Answer::later(text, 1));
            return true;
        }
        for a in &spec.after {
            let team = match (self.jobs.get(&a.job), found.get(&a.job)) {
                (Some(j), _) => Some(j.spec.team.to_string()),
                (None, Some((_, team))) => team.clone(),
                (None, None) => {
                    let text = format!("After: no job {}", a.job);
                    self.answer(req, Answer::error(422, &text));
                    return true;
                }
            };
            let tasks = self.jobs.get(&a.job).map(|j| (j.spec.tasks, j.spec.kind));
            if a.each && tasks.is_some_and(|t| t != (spec.tasks, Kind::Array)) {
                let text = format!("After.Each: {} is no array of {} tasks", a.job, spec.tasks);
                self.answer(req, Answer::error(422, &text));
                return true;
            }
            // The team of a job from before there were histories is not known.
            if team.is_some_and(|t| t != spec.team.as_str()) {
                let text = format!("After: {} is another team's", a.job);
                self.answer(req, Answer::error(422, &text));
                return true;
            }
        }
        false
    }

    /// A record that a submission waits for; true if it was one.
    pub(super) fn named_read(
        &mut self,
        now: Time,
        req: ReqId,
        id: &JobId,
        r: &Result<Option<Value>, ()>,
    ) -> bool {
        let Some(w) = self.waits.submissions.get_mut(&req) else {
            return false;
        };
        w.missing.remove(id);
        match r {
            Err(()) => {
                self.waits.submissions.remove(&req);
                self.answer(req, Answer::later("the state service does not answer", 1));
                return true;
            }
            Ok(Some(v)) => {
                if let Ok(f) = serde_json::from_value::<Final>(v.clone()) {
                    let team = v["j"]["t"].as_str().map(str::to_string);
                    w.found.insert(id.clone(), (f, team));
                }
            }
            Ok(None) => {}
        }
        if !w.missing.is_empty() {
            return true;
        }
        let Some(w) = self.waits.submissions.remove(&req) else {
            return true;
        };
        if let Some((f, _)) = w.found.get(&w.spec.id) {
            // It was over long ago.
            let f = *f;
            self.remember_final(&w.spec.id, f);
            self.ask(now, req, Ask::Submit(w.body));
        } else if !self.may_start(now) {
            self.no_proof(req);
        } else if self.jobs.contains_key(&w.spec.id) {
            // Submitted meanwhile by way of another request.
            self.ask(now, req, Ask::Submit(w.body));
        } else if !self.refuse_named(req, &w.spec, &w.found) {
            for (id, (f, _)) in &w.found {
                self.remember_final(id, *f);
            }
            self.submit_named(now, req, w.spec, w.body);
        }
        true
    }

    /// A new job is taken: what it waits for may have come about already.
    pub(super) fn begin_waiting(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let mut known = vec![];
        for a in j.spec.after.clone() {
            if let Some(p) = self.jobs.get(&a.job) {
                if p.history.first_start().is_some() {
                    known.push((a.job.clone(), Came::Started));
                }
                if p.failed_too_often() {
                    known.push((a.job.clone(), Came::Failed));
                }
            } else if let Some(f) = self.finals.get(&a.job) {
                known.push((a.job.clone(), Came::Over(f.state)));
            } else {
                // Over before this leader came.
                self.waits.unread.insert(a.job.clone());
            }
            let children = self.waits.children.entry(a.job).or_default();
            if !children.contains(id) {
                children.push(id.clone());
            }
        }
        if let Some(j) = self.jobs.get_mut(id)
            && let Some(other) = j.counterpart().cloned()
        {
            j.shut();
            let parts = self.jobs.get(&other).map_or(0, |p| p.parts.len());
            for part in 0..parts {
                self.open_counterparts(&other, part, Some(id));
            }
        }
        for (parent, came) in known {
            self.tell_child(now, id, &parent, came);
        }
    }

    /// What of this part is done is stored: tasks that waited for that may
    /// start. The work is that of one part.
    pub(super) fn open_counterparts(&mut self, id: &JobId, part: usize, only: Option<&JobId>) {
        let Some(children) = self.waits.children.get(id) else {
            return;
        };
        let Some(j) = self.jobs.get(id) else { return };
        if j.parts[part].stored < j.parts[part].ver {
            // What came since is stored later, and told then.
            return;
        }
        let (from, to) = j.part_range(part);
        let done: Vec<TaskIx> = (from..to).map(TaskIx).filter(|t| j.is_done(*t)).collect();
        let children: Vec<JobId> = children
            .iter()
            .filter(|c| only.is_none_or(|o| o == *c))
            .cloned()
            .collect();
        for c in children {
            let Some(child) = self.jobs.get_mut(&c) else {
                continue;
            };
            if child.counterpart() != Some(id) {
                continue;
            }
            for t in &done {
                self.replan |= child.open(*t);
            }
        }
    }

    /// Something has become of a job: those that wait for it hear of it. The
    /// work is that of its own children, however long a chain hangs on them.
    pub(super) fn came(&mut self, now: Time, id: &JobId, came: Came) {
        let children = match came {
            Came::Over(_) => self.waits.children.remove(id),
            _ => self.waits.children.get(id).cloned(),
        };
        self.waits.unread.remove(id);
        for c in children.unwrap_or_default() {
            self.tell_child(now, &c, id, came);
        }
    }

    fn tell_child(&mut self, now: Time, child: &JobId, parent: &JobId, came: Came) {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(child) else {
            return;
        };
        let mut never = None;
        let before = j.met;
        for (n, a) in j.spec.after.iter().enumerate() {
            if a.job != *parent || j.met >> n & 1 == 1 {
                continue;
            }
            match judge(a.when, came) {
                Some(true) => j.met |= 1 << n,
                // Told once: released, the hold came back with each new leader.
                Some(false) if j.never >> n & 1 == 0 => {
                    j.never |= 1 << n;
                    never = Some(a.when);
                }
                _ => {}
            }
        }
        if came == Came::Over(JobState::Done) && j.counterpart() == Some(parent) {
            for t in (0..j.spec.tasks).map(TaskIx) {
                j.open(t);
            }
        }
        if j.met != before {
            j.touch(0, &mut self.dirty, Purpose::Start);
            self.replan = true;
        }
        if let Some(when) = never {
            let hold = Hold {
                kind: HoldKind::System,
                by: NEVER.into(),
                why: format!("waits for the {when} of {parent}, which is over otherwise"),
                at: wall.into(),
            };
            self.put_hold(now, child, hold, Purpose::Start);
        }
    }

    /// What a new leader finds waiting.
    pub(super) fn load_waiting(&mut self, now: Time) {
        let waits = |j: &Job| j.blocked() || j.counterpart().is_some();
        let blocked = |j: &&Job| waits(j) && j.closing.is_none();
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(blocked)
            .map(|j| j.id().clone())
            .collect();
        for id in ids {
            self.begin_waiting(now, &id);
        }
    }

    /// Asks for final states that are not known yet.
    pub(super) fn read_parents(&mut self, now: Time) {
        if self.waits.unread.is_empty() || now < self.waits.read_at {
            return;
        }
        self.waits.read_at = now + AGAIN;
        let some: Vec<JobId> = self
            .waits
            .unread
            .iter()
            .take(MAX_WAITING)
            .cloned()
            .collect();
        for id in some {
            self.read_final(&id);
        }
    }
}
