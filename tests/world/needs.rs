//! Jobs that need others, as their users sent them, and the rules on them: no task
//! starts before all jobs that its job needs are done (`too_early`), and what needs a
//! cancelled job is told as cancelled in time (`orphaned`). Both are judged from what
//! users sent and were told, from the ends of tasks on the workers, and from what is
//! stored, never from what a controller believes.

use super::rules::Told;
use super::submissions::submitted_id;
use super::{S, World};
use hookworks::ids::*;
use hookworks::sched::job::Final;
use hookworks::store::final_key;
use hookworks::wire::user::JobState;
use hookworks::wire::worker::Command;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The field of a submission that names the jobs it needs.
pub const NEEDS: &str = "Awaits";

/// What became of the names in a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Names {
    /// All of them were accepted before it was sent.
    Accepted,
    /// One of them is the job itself, or was never accepted.
    Unknown,
    /// One of them may have been accepted, or not.
    Unsettled,
}

#[derive(Default)]
pub struct Needs {
    /// The jobs that each job needs, and the other way round.
    parents: BTreeMap<JobId, BTreeSet<JobId>>,
    children: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Submissions as they were first sent.
    bodies: BTreeMap<JobId, Vec<u8>>,
    /// When a user was first told that a job before this one is cancelled.
    cancelled_before: BTreeMap<JobId, u64>,
    /// Jobs before which one was asked to be cancelled.
    cancel_asked_before: BTreeSet<JobId>,
    /// For how long any job was still told as queued or running after that.
    pub longest_orphan: u64,
}

impl Needs {
    /// All jobs that need this one, directly or through others.
    pub fn descendants(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            for child in self.children.get(&id).into_iter().flatten() {
                if found.insert(child.clone()) {
                    next.push(child.clone());
                }
            }
        }
        found
    }

    pub fn parents_of(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.parents.get(id).into_iter().flatten()
    }

    /// Jobs that need others.
    pub fn waiting(&self) -> impl Iterator<Item = &JobId> {
        self.parents.keys()
    }

    /// When a user was first told that a job before this one is cancelled.
    pub fn cancelled_before(&self, id: &JobId) -> Option<u64> {
        self.cancelled_before.get(id).copied()
    }

    pub(super) fn cancel_asked_before(&self, id: &JobId) -> bool {
        self.cancel_asked_before.contains(id)
    }

    /// A user sends this for the first time.
    pub(super) fn register(&mut self, id: &JobId, parents: BTreeSet<JobId>) {
        if parents.is_empty() || self.parents.contains_key(id) {
            return;
        }
        for parent in &parents {
            let children = self.children.entry(parent.clone()).or_default();
            children.insert(id.clone());
        }
        self.parents.insert(id.clone(), parents);
    }

    pub(super) fn note_cancel_asked(&mut self, id: &JobId) {
        let all = self.descendants(id);
        self.cancel_asked_before.extend(all);
    }

    pub(super) fn note_cancelled(&mut self, id: &JobId, at: u64) {
        for child in self.descendants(id) {
            self.cancelled_before.entry(child).or_insert(at);
        }
    }
}

/// The jobs that a submission names; `None` if that is no list of names of jobs.
pub(super) fn named(v: &Value) -> Option<BTreeSet<JobId>> {
    if v.is_null() {
        return Some(BTreeSet::new());
    }
    let name = |v: &Value| {
        v.as_str()
            .filter(|s| JobId::is_well_formed(s))
            .map(JobId::from)
    };
    v.as_array()?.iter().map(name).collect()
}

impl World {
    /// A user sends a submission.
    pub(super) fn note_submission(&mut self, body: &[u8]) {
        let Some(id) = submitted_id(body) else { return };
        let first = self.needs.bodies.entry(id.clone());
        first.or_insert_with(|| body.to_vec());
        let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
        if let Some(parents) = named(&parsed[NEEDS]) {
            self.add_needs(&id, parents);
        }
    }

    /// The job needs these, as far as users know.
    pub fn add_needs(&mut self, id: &JobId, parents: BTreeSet<JobId>) {
        let told = |p: &JobId| self.told.get(p);
        let asked = |p: &JobId| {
            told(p).is_some_and(|t| t.cancel_asked) || self.needs.cancel_asked_before(p)
        };
        let cancelled = |p: &JobId| {
            let itself = told(p).and_then(|t| t.cancelled_at);
            itself
                .into_iter()
                .chain(self.needs.cancelled_before(p))
                .min()
        };
        let asked = parents.iter().any(asked);
        let cancelled = parents.iter().filter_map(cancelled).min();
        self.needs.register(id, parents);
        if asked {
            self.needs.cancel_asked_before.insert(id.clone());
        }
        if let Some(at) = cancelled {
            self.needs.cancelled_before.entry(id.clone()).or_insert(at);
        }
    }

    /// What a user sends to submit this job.
    pub fn body_of(&self, id: &JobId) -> Vec<u8> {
        match self.needs.bodies.get(id) {
            Some(body) => body.clone(),
            None => serde_json::to_vec(&self.specs[id]).unwrap(),
        }
    }

    /// What became of the names in a submission that was sent then.
    pub(super) fn judge_names(&self, body: &[u8], sent: u64) -> Names {
        let v: Value = serde_json::from_slice(body).unwrap_or_default();
        let names = named(&v[NEEDS]).unwrap_or_default();
        let itself = submitted_id(body);
        let never = |n: &JobId| itself.as_ref() == Some(n) || self.never_accepted(n);
        let accepted = |n: &JobId| self.told.get(n).is_some_and(|t| t.accepted_before(sent));
        if names.iter().any(never) {
            Names::Unknown
        } else if names.iter().all(accepted) {
            Names::Accepted
        } else {
            Names::Unsettled
        }
    }

    /// Nobody submitted it.
    fn never_accepted(&self, id: &JobId) -> bool {
        let told = self.told.get(id).is_some_and(|t| t.accepted);
        !told && !self.needs.bodies.contains_key(id)
    }

    /// A job that this one needs and that is not done, by the ends of its tasks and
    /// by what is stored.
    pub(super) fn unmet_need(&self, id: &JobId) -> Option<&JobId> {
        let done = |p: &&JobId| self.all_tasks_done(p) && self.stored_done(p);
        self.needs.parents_of(id).find(|p| !done(p))
    }

    fn all_tasks_done(&self, id: &JobId) -> bool {
        let Some(spec) = self.specs.get(id) else {
            return false;
        };
        let task = |ix| TaskId {
            job: id.clone(),
            index: TaskIndex(ix),
        };
        (0..spec.tasks).all(|ix| self.done_tasks.contains(&task(ix)))
    }

    fn stored_done(&self, id: &JobId) -> bool {
        let stored = self.store.peek(&final_key(id));
        let end = stored.and_then(|v| serde_json::from_value::<Final>(v).ok());
        end.is_some_and(|f| f.state == JobState::Done)
    }

    /// Commands leave a controller: none runs what waits for others.
    pub(super) fn check_commands_wait(&mut self, orders: &[Command]) {
        for o in orders {
            let Command::Run { task, .. } = o else {
                continue;
            };
            if let Some(parent) = self.unmet_need(&task.job) {
                let text = format!("too_early: {task} is told to run before {parent} is done");
                self.broken.push(text);
            }
        }
    }

    /// No leader has a place for what waits for others.
    pub(super) fn check_places_wait(&mut self, i: usize) {
        let Some(term) = &self.ctls[i].term else {
            return;
        };
        let placed = |id: &&JobId| {
            let job = term.sched.jobs.get(*id);
            job.is_some_and(|j| !j.active.is_empty())
        };
        let placed = self.needs.waiting().filter(placed);
        let early = placed.filter_map(|id| Some((id, self.unmet_need(id)?)));
        let early: Vec<String> = early
            .map(|(id, parent)| format!("too_early: {id} has a place before {parent} is done"))
            .collect();
        self.broken.extend(early);
    }

    /// What is on the machines now: nothing has started that waits for others, and
    /// nothing is left of what needs a cancelled job.
    pub(super) fn check_tasks_wait(&mut self, on: &BTreeMap<TaskId, BTreeSet<Host>>) {
        for (task, hosts) in on {
            let before = self.on.get(task);
            let started = hosts.iter().any(|h| !before.is_some_and(|b| b.contains(h)));
            if started && let Some(parent) = self.unmet_need(&task.job) {
                let text = format!("too_early: {task} starts before {parent} is done");
                self.broken.push(text);
            }
            if self.is_orphan(&task.job) {
                self.broken
                    .push(format!("orphaned: {task} is on {hosts:?}"));
            }
        }
    }

    /// A user was told that a job before it is cancelled, too long ago.
    fn is_orphan(&self, id: &JobId) -> bool {
        let since = self.needs.cancelled_before(id);
        since.is_some_and(|at| self.now > at + (self.cancel_s * S as f64) as u64)
    }

    /// A user is told this state of a job.
    pub(super) fn check_told_orphan(&mut self, id: &JobId, state: JobState) {
        if !matches!(state, JobState::Queued | JobState::Running) {
            return;
        }
        let Some(at) = self.needs.cancelled_before(id) else {
            return;
        };
        let late = self.now - at;
        self.needs.longest_orphan = self.needs.longest_orphan.max(late);
        if self.is_orphan(id) {
            let text = format!("orphaned: {id} is called {state:?} {} s later", late / S);
            self.broken.push(text);
        }
    }

    /// Jobs of which a user was told that one before them is cancelled, and that are
    /// not yet told as cancelled themselves.
    pub fn not_told_cancelled(&self) -> Vec<JobId> {
        let open = |id: &&JobId| {
            let told = self.told.get(*id);
            told.is_some_and(|t: &Told| t.accepted && t.over != Some(JobState::Cancelled))
        };
        let after = self.needs.cancelled_before.keys();
        after.filter(open).cloned().collect()
    }
}
