//! Jobs that depend on others: conditions (`After`), whose failure holds a job, and
//! needs (`Awaits`, DAG dependency), whose failure cancels it.
//!
//! Both hear of their parents by the same way. What has become of a parent counts
//! once it is stored, so that a later leader finds the same. What a condition has come
//! to is stored with the job that waits, since the parent's record may be gone by then;
//! of needs those stay on record that are not known to be done.
//!
//! That a job is cancelled since one that it needs was cancelled is derived from what
//! is stored, by every leader anew, and for ever. So it is told at once, and its own
//! record is written when there is time.

use super::Scheduler;
use super::job::Job;
use super::records::Purpose;
use crate::ids::{JobId, TaskIndex};
use crate::store::budget::Budget;
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::user::{ConditionTrigger, JobKind, JobState, StartCondition};
use hookworks_fairness::JobEvent;
use hookworks_job_lifecycle::{Hold, HoldKind};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::ops::Bound;

/// Once all final states that are wanted were asked for, those that could not be read
/// are asked for again after so long.
const READ_AGAIN: Span = Span(3_000_000);
/// Who holds a job whose condition can't be met any more.
const HELD_BY: &str = "dependency";
/// Children that are told of their parents in one event.
const CHILDREN_PER_EVENT: usize = 256;
/// Ancestors looked at for one question.
const ANCESTORS_PER_QUESTION: usize = 256;
/// A job of which so many needs are done is stored without them.
const SAVE_MET_NEEDS: u32 = 16;

/// What has become of a job that others wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ParentOutcome {
    /// A task of it has run.
    Started,
    /// Held, since it has failed too often; it may still go on.
    Failed,
    /// Its cancellation is stored; tasks of it may still be on machines.
    Cancelled,
    Over(JobState),
}

/// What a condition makes of that: met, or never to be met; `None`: neither.
fn judge(when: ConditionTrigger, outcome: ParentOutcome) -> Option<bool> {
    match (when, outcome) {
        (ConditionTrigger::Start, ParentOutcome::Started | ParentOutcome::Over(JobState::Done)) => {
            Some(true)
        }
        (ConditionTrigger::Start, ParentOutcome::Over(_)) => Some(false),
        (ConditionTrigger::End, ParentOutcome::Over(_)) => Some(true),
        (ConditionTrigger::Success, ParentOutcome::Over(s)) => Some(s == JobState::Done),
        (ConditionTrigger::Failure, ParentOutcome::Failed) => Some(true),
        (ConditionTrigger::Failure, ParentOutcome::Over(s)) => Some(s == JobState::Cancelled),
        _ => None,
    }
}

/// The same for a need.
fn judge_need(outcome: ParentOutcome) -> Option<bool> {
    match outcome {
        ParentOutcome::Cancelled => Some(false),
        other => judge(ConditionTrigger::Success, other),
    }
}

/// What some children are still to be told.
struct Announcement {
    parent: JobId,
    outcome: ParentOutcome,
    children: Vec<JobId>,
}

/// Who depends on whom.
pub(super) struct Dependencies {
    /// By the job that is waited for.
    children: HashMap<JobId, Vec<JobId>>,
    announcements: VecDeque<Announcement>,
    /// Ended before this leader came, or unknown why not: to be read.
    unread: BTreeSet<JobId>,
    /// Neither live nor over, on record: those that need them wait.
    absent: BTreeSet<JobId>,
    /// The latest of them that was asked for, the next round, and what there is for
    /// that of the state service's requests.
    asked_up_to: Option<JobId>,
    ask_at: Time,
    budget: Budget,
}

impl Dependencies {
    /// With so many reads of final states a second.
    pub fn new(reads_per_s: f64) -> Dependencies {
        Dependencies {
            children: HashMap::new(),
            announcements: VecDeque::new(),
            unread: BTreeSet::new(),
            absent: BTreeSet::new(),
            asked_up_to: None,
            ask_at: Time::default(),
            budget: Budget::new(reads_per_s, (2.0 * reads_per_s).max(1.0)),
        }
    }

    /// The next one to be read, each once a round.
    fn next_unread(&mut self, now: Time) -> Option<JobId> {
        if now < self.ask_at || !self.budget.has(now, 1.0) {
            return None;
        }
        let from = match &self.asked_up_to {
            Some(id) => Bound::Excluded(id),
            None => Bound::Unbounded,
        };
        let next = self.unread.range((from, Bound::Unbounded)).next().cloned();
        match &next {
            Some(_) => self.budget.take(now, 1.0),
            None => self.ask_at = now + READ_AGAIN,
        }
        self.asked_up_to = next.clone();
        next
    }

    pub fn children_of(&self, id: &JobId) -> &[JobId] {
        self.children.get(id).map_or(&[], |c| c)
    }

    /// There are children that have yet to be told of their parents.
    pub fn is_announcing(&self) -> bool {
        !self.announcements.is_empty()
    }

    fn add_child(&mut self, parent: &JobId, child: &JobId) {
        let children = self.children.entry(parent.clone()).or_default();
        // Of one child all names are added in a row.
        if children.last() != Some(child) {
            children.push(child.clone());
        }
    }
}

impl Job {
    /// The job whose tasks those of this one wait for, one by one.
    pub fn counterpart(&self) -> Option<&JobId> {
        self.spec
            .start_conditions
            .iter()
            .find(|a| a.each)
            .map(|a| &a.job)
    }

    /// A condition on a job as a whole is not met yet, or a job that it needs is
    /// not known to be done.
    pub fn blocked(&self) -> bool {
        if !self.needs.is_empty() {
            return true;
        }
        let whole = |(_, a): &(usize, &StartCondition)| !a.each;
        let conditions = self.spec.start_conditions.iter().enumerate().filter(whole);
        conditions.fold(0, |all, (n, _)| all | 1u32 << n) & !self.conditions_met != 0
    }
}

impl Scheduler {
    /// A new job is taken, or found on record: what it depends on may have come about
    /// already.
    pub(super) fn register_dependencies(&mut self, now: Time, id: &JobId) {
        self.register_conditions(now, id);
        self.register_needs(now, id);
    }

    fn register_conditions(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let mut known = vec![];
        for a in j.spec.start_conditions.clone() {
            if let Some(p) = self.jobs.get(&a.job) {
                if p.history.first_start().is_some() {
                    known.push((a.job.clone(), ParentOutcome::Started));
                }
                if p.failed_too_often() {
                    known.push((a.job.clone(), ParentOutcome::Failed));
                }
            } else if let Some(f) = self.finals.get(&a.job) {
                known.push((a.job.clone(), ParentOutcome::Over(f.state)));
            } else {
                // Over before this leader came.
                self.dependencies.unread.insert(a.job.clone());
            }
            self.dependencies.add_child(&a.job, id);
        }
        if let Some(j) = self.jobs.get_mut(id)
            && let Some(other) = j.counterpart().cloned()
        {
            j.close_tasks();
            let parts = self.jobs.get(&other).map_or(0, |p| p.parts.len());
            for part in 0..parts {
                self.open_counterparts(&other, part, Some(id));
            }
        }
        for (parent, outcome) in known {
            self.tell_child(now, id, &parent, outcome);
        }
    }

    fn register_needs(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id).filter(|j| !j.needs.is_empty()) else {
            return;
        };
        let needs: Vec<JobId> = j.needs.iter().cloned().collect();
        let mut known = vec![];
        for parent in needs {
            match self.outcome_of(&parent) {
                Some(outcome) => known.push((parent, outcome)),
                None => {
                    if !self.is_known(&parent) && !self.dependencies.absent.contains(&parent) {
                        self.dependencies.unread.insert(parent.clone());
                    }
                    self.dependencies.add_child(&parent, id);
                }
            }
        }
        for (parent, outcome) in known {
            self.tell_child(now, id, &parent, outcome);
        }
        self.pass_up(id);
    }

    /// What is stored of a job's end, if this leader knows it.
    fn outcome_of(&self, id: &JobId) -> Option<ParentOutcome> {
        if let Some(f) = self.finals.get(id) {
            return Some(ParentOutcome::Over(f.state));
        }
        if self.unreadable.get(id) == Some(&JobState::Cancelled) {
            return Some(ParentOutcome::Cancelled);
        }
        let j = self.jobs.get(id)?;
        j.cancellation_stored().then_some(ParentOutcome::Cancelled)
    }

    /// What of this part is done is stored: tasks that waited for that may
    /// start. The work is that of one part.
    pub(super) fn open_counterparts(&mut self, id: &JobId, part: usize, only: Option<&JobId>) {
        let Some(children) = self.dependencies.children.get(id) else {
            return;
        };
        let Some(j) = self.jobs.get(id) else { return };
        if j.parts[part].stored_version < j.parts[part].version {
            // What came since is stored later, and told then.
            return;
        }
        let waits = |c: &&JobId| {
            let child = self.jobs.get(*c);
            child.is_some_and(|c| c.counterpart() == Some(id))
        };
        let children: Vec<JobId> = children
            .iter()
            .filter(|c| only.is_none_or(|o| o == *c))
            .filter(waits)
            .cloned()
            .collect();
        if children.is_empty() {
            return;
        }
        let (from, to) = j.part_range(part);
        let done: Vec<TaskIndex> = (from..to)
            .map(TaskIndex)
            .filter(|t| j.is_done(*t))
            .collect();
        for c in children {
            let Some(child) = self.jobs.get_mut(&c) else {
                continue;
            };
            for t in &done {
                self.replan |= child.open_task(*t);
            }
        }
    }

    /// Something has become of a job, and is stored: those that depend on it are told,
    /// in this event or, where there are many, in the next ones.
    pub(super) fn announce(&mut self, id: &JobId, outcome: ParentOutcome) {
        self.dependencies.unread.remove(id);
        let children = match outcome {
            ParentOutcome::Over(_) => self.dependencies.children.remove(id),
            _ => self.dependencies.children.get(id).cloned(),
        };
        if let Some(children) = children {
            let parent = id.clone();
            self.dependencies.announcements.push_back(Announcement {
                parent,
                outcome,
                children,
            });
        }
    }

    /// A number of steps of what is still to be announced.
    pub(super) fn tell_children(&mut self, now: Time) {
        for _ in 0..CHILDREN_PER_EVENT {
            let Some(a) = self.dependencies.announcements.front_mut() else {
                return;
            };
            let (parent, outcome) = (a.parent.clone(), a.outcome);
            match a.children.pop() {
                Some(child) => self.tell_child(now, &child, &parent, outcome),
                None => {
                    self.dependencies.announcements.pop_front();
                }
            }
        }
    }

    fn tell_child(&mut self, now: Time, child: &JobId, parent: &JobId, outcome: ParentOutcome) {
        self.tell_conditions(now, child, parent, outcome);
        let needs = |j: &Job| j.needs.contains(parent);
        if self.jobs.get(child).is_some_and(needs) {
            match judge_need(outcome) {
                Some(true) => self.need_met(now, child, parent),
                Some(false) => self.cancel_with(now, child, parent),
                None => {}
            }
        }
    }

    fn tell_conditions(&mut self, now: Time, child: &JobId, parent: &JobId, came: ParentOutcome) {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(child) else {
            return;
        };
        let mut never = None;
        let before = j.conditions_met;
        for (n, a) in j.spec.start_conditions.iter().enumerate() {
            if a.job != *parent || j.conditions_met >> n & 1 == 1 {
                continue;
            }
            match judge(a.when, came) {
                Some(true) => j.conditions_met |= 1 << n,
                // Told once: released, the hold came back with each new leader.
                Some(false) if j.conditions_unmeetable >> n & 1 == 0 => {
                    j.conditions_unmeetable |= 1 << n;
                    never = Some(a.when);
                }
                _ => {}
            }
        }
        if came == ParentOutcome::Over(JobState::Done) && j.counterpart() == Some(parent) {
            for t in (0..j.spec.tasks).map(TaskIndex) {
                j.open_task(t);
            }
        }
        if j.conditions_met != before {
            j.mark_changed(0, &mut self.write_queue, Purpose::Start);
            self.replan = true;
        }
        if let Some(when) = never {
            let hold = Hold {
                kind: HoldKind::System,
                by: HELD_BY.into(),
                why: format!("waits for the {when} of {parent}, which is over otherwise"),
                at: wall.into(),
            };
            self.put_hold(now, child, hold, Purpose::Start);
        }
    }

    /// A job that it needs is done, on record.
    fn need_met(&mut self, now: Time, id: &JobId, parent: &JobId) {
        let Some(j) = self.jobs.get_mut(id).filter(|j| !j.cancelled) else {
            return;
        };
        j.needs.remove(parent);
        j.needs_met_unsaved += 1;
        if j.needs.is_empty() {
            return self.all_needs_met(now, id);
        }
        // A later leader reads again what became of those that are still on record.
        if j.needs_met_unsaved >= SAVE_MET_NEEDS && j.parts[0].stored_version > 0 {
            j.needs_met_unsaved = 0;
            j.mark_changed(0, &mut self.write_queue, Purpose::Progress);
        }
    }

    /// From now on the job counts: its times, its place in the order of arrival, its
    /// part of guarantees and shares.
    fn all_needs_met(&mut self, now: Time, id: &JobId) {
        let seq = self.next_seq;
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        self.next_seq += 1;
        j.seq = seq;
        j.ready_since = now;
        j.ready_at = Some(wall);
        if j.parts[0].version > 0 {
            j.mark_changed(0, &mut self.write_queue, Purpose::Progress);
        }
        tracing::debug!(job = %id, class = %j.spec.class, "all that it needs is done");
        self.note_ready_to_run(now, id);
        self.replan = true;
    }

    /// The job can start from now on: it needs no other, or those are done.
    pub(super) fn note_ready_to_run(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let quick = self.is_quick(&j.spec.class);
        if quick && j.spec.kind != JobKind::Gang {
            self.arrivals.record(now, j);
        }
        if quick {
            self.next_pass_at = now;
        }
        self.record_job_event(now, id, JobEvent::Accepted);
    }

    /// A job that it needs was cancelled, on record: it is cancelled with it. Nothing
    /// of it has ever started.
    fn cancel_with(&mut self, now: Time, id: &JobId, parent: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.cancelled_with.is_some() || j.closing_state == Some(JobState::Done) {
            return;
        }
        tracing::info!(job = %id, with = %parent, "cancelled with a job that it needs");
        j.cancelled_with = Some(parent.clone());
        j.cancelled = true;
        // Told at once, whatever is stored of this job.
        j.cancel_version = 0;
        j.mark_changed(0, &mut self.write_queue, Purpose::Progress);
        self.stop_all(now, id);
        self.finish_if_complete(id);
        self.withdraw_from_parents(id);
        self.announce(id, ParentOutcome::Cancelled);
        self.replan = true;
    }

    /// The answer for a job that is cancelled with one that it needs. What is stored
    /// says so for ever: the one that it needs is never done, and no leader will call
    /// this one anything else. So no proof of the leadership is asked for.
    pub(super) fn cancelled_for_ever(&self, id: &JobId) -> Option<Answer> {
        let j = self.jobs.get(id)?;
        let accepted = j.parts[0].stored_version > 0;
        (accepted && j.cancelled_with.is_some()).then(|| {
            let body = super::requests::job_view_json(id, JobState::Cancelled, j.done_count, 0);
            Answer::new(200, body)
        })
    }

    /// Whether it is known that no job on the way to this one was cancelled. An earlier
    /// leader may have told of this one that it is cancelled, so nothing else may be
    /// told before.
    pub(super) fn ancestors_known(&self, id: &JobId) -> bool {
        let needs = |id: &JobId| self.jobs.get(id).filter(|j| !j.needs.is_empty());
        let Some(j) = needs(id) else { return true };
        if self.dependencies.is_announcing() {
            return false;
        }
        if self.dependencies.unread.is_empty() {
            return true;
        }
        let mut seen: BTreeSet<&JobId> = j.needs.iter().collect();
        let mut next: Vec<&JobId> = seen.iter().copied().collect();
        while let Some(ancestor) = next.pop() {
            if seen.len() > ANCESTORS_PER_QUESTION || self.dependencies.unread.contains(ancestor) {
                return false;
            }
            if let Some(j) = needs(ancestor) {
                next.extend(j.needs.iter().filter(|n| seen.insert(*n)));
            }
        }
        true
    }

    /// What a new leader finds waiting.
    pub(super) fn load_dependencies(&mut self, now: Time) {
        let waits = |j: &Job| j.blocked() || j.counterpart().is_some();
        let blocked = |j: &&Job| waits(j) && j.closing_state.is_none();
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(blocked)
            .map(|j| j.id().clone())
            .collect();
        for id in ids {
            self.register_dependencies(now, &id);
        }
    }

    /// Nothing is on record of a job that others wait for, though it was known when they
    /// were accepted. So nobody can have been told that it is cancelled.
    pub(super) fn parent_is_absent(&mut self, id: &JobId) {
        if !self.jobs.contains_key(id) && self.dependencies.unread.remove(id) {
            tracing::error!(job = %id, "nothing is on record of a job that others wait for");
            self.dependencies.absent.insert(id.clone());
        }
    }

    /// Asks for final states that are not known yet.
    pub(super) fn read_parents(&mut self, now: Time) {
        if self.dependencies.unread.is_empty() {
            return;
        }
        while let Some(id) = self.dependencies.next_unread(now) {
            self.read_final(&id);
        }
    }
}
