//! The queue of records to be written, and what follows once they are stored.

use super::dependencies::ParentOutcome;
use super::job::{Final, Job};
use super::{Effect, Scheduler};
use crate::ids::{JobId, TaskIndex};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::user::{JobKind, JobState, Priority};
use hookworks_fairness::JobEvent;
use std::collections::{HashSet, VecDeque};

/// A record in the state service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    Part(JobId, usize),
    Final(JobId),
    /// The fenced zones, whose workers get no response.
    Fences,
}

/// The purpose of a write, from the most to the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A user waits for it, or a task that must start quickly.
    Now,
    /// Tasks start once it is stored.
    Start,
    /// A job has finished.
    End,
    /// Progress of tasks; can be batched with later changes.
    Progress,
}

const ALL_PURPOSES: [Purpose; 4] = [
    Purpose::Now,
    Purpose::Start,
    Purpose::End,
    Purpose::Progress,
];
/// Share of the write budget that must be left for a write of each purpose to be sent.
const MIN_BUDGET_LEFT: [f64; 4] = [0.0, 0.25, 0.3, 0.5];
/// How long progress is batched, as more changes of the same record may come; and how long
/// if less than the share `LOW_BUDGET` of the write budget is left.
const BATCH_DELAY: Span = Span(1_000_000);
const LOW_BUDGET_BATCH_DELAY: Span = Span(3_000_000);
const LOW_BUDGET: f64 = 0.8;
/// Maximum time that the end of a job waits behind starts of other jobs.
const MAX_END_DELAY: Span = Span(1_500_000);

/// A record that waits to be written.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub job: JobId,
    pub part: usize,
    pub purpose: Purpose,
    /// When it was queued first.
    pub since: Time,
}

/// Records that wait to be written. A part may be queued for more than one purpose; only the
/// entry whose purpose the part itself names is valid.
#[derive(Default)]
pub struct WriteQueue {
    pub(super) now: Time,
    queues: [VecDeque<PendingWrite>; 4],
    /// Jobs whose published lines are out of date.
    pub(super) changed: HashSet<JobId>,
}

impl WriteQueue {
    /// Takes the next record to write, given the share of the write budget that is left.
    pub fn next(&mut self, now: Time, left: f64) -> Option<PendingWrite> {
        // Writes that a user or an urgent start waits for come before overdue ends: hundreds
        // of single-task jobs that ended within a minute once used up the whole write
        // budget.
        if let Some(write) = self.queues[Purpose::Now as usize].pop_front() {
            return Some(write);
        }
        let is_overdue = |write: &PendingWrite| now - write.since > MAX_END_DELAY;
        let end = Purpose::End as usize;
        if self.queues[end].front().is_some_and(is_overdue) {
            return self.queues[end].pop_front();
        }
        let batch_delay = if left < LOW_BUDGET {
            LOW_BUDGET_BATCH_DELAY
        } else {
            BATCH_DELAY
        };
        for p in ALL_PURPOSES {
            let q = &mut self.queues[p as usize];
            let is_batching =
                |write: &PendingWrite| p == Purpose::Progress && now - write.since < batch_delay;
            if left >= MIN_BUDGET_LEFT[p as usize]
                && q.front().is_some_and(|write| !is_batching(write))
            {
                return q.pop_front();
            }
        }
        None
    }

    /// Takes the next record regardless of any budget.
    pub fn pop(&mut self) -> Option<PendingWrite> {
        self.queues.iter_mut().find_map(|q| q.pop_front())
    }

    /// Returns a record that could not be written now to the front of its queue.
    pub fn push_front(&mut self, write: PendingWrite) {
        self.queues[write.purpose as usize].push_front(write);
    }

    pub fn len(&self) -> usize {
        self.queues.iter().map(|q| q.len()).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queue length of each purpose, in the order of [`Purpose`].
    pub fn lengths(&self) -> [usize; 4] {
        self.queues.each_ref().map(|q| q.len())
    }
}

impl Job {
    /// Records a change of a part. Returns the version that must be stored for it.
    pub fn mark_changed(&mut self, part: usize, dirty: &mut WriteQueue, purpose: Purpose) -> u64 {
        self.parts[part].version += 1;
        dirty.changed.insert(self.spec.id.clone());
        self.enqueue_write(part, dirty, purpose);
        self.parts[part].version
    }

    /// Queues the part, which is encoded only when it is written. A part queued for a less
    /// urgent purpose moves up: starts once waited behind the progress of all other jobs.
    pub fn enqueue_write(&mut self, part: usize, dirty: &mut WriteQueue, purpose: Purpose) {
        let p = &mut self.parts[part];
        if p.queued.is_none_or(|q| purpose < q) {
            p.queued = Some(purpose);
            dirty.queues[purpose as usize].push_back(PendingWrite {
                job: self.spec.id.clone(),
                part,
                purpose,
                since: dirty.now,
            });
        }
    }

    /// Returns a write that was not applied to the front of its queue, unless the part is
    /// queued for a purpose as urgent. Writes returned in reverse keep their order.
    pub fn return_write(&mut self, write: PendingWrite, queue: &mut WriteQueue) {
        let p = &mut self.parts[write.part];
        if p.queued.is_none_or(|queued| write.purpose < queued) {
            p.queued = Some(write.purpose);
            queue.push_front(write);
        }
    }

    /// Removes the part from the queue; false if this entry is out of date.
    pub fn dequeue_write(&mut self, part: usize, purpose: Purpose) -> bool {
        let p = &mut self.parts[part];
        let is_current = p.queued == Some(purpose);
        if is_current {
            p.queued = None;
        }
        is_current
    }
}

impl Scheduler {
    /// Queues the progress of a task to be written.
    pub(super) fn note_progress(&mut self, id: &JobId, t: TaskIndex) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.mark_changed(job.part_of(t), &mut self.write_queue, Purpose::Progress);
        }
    }

    /// Queues the final state of a job once nothing of it is left to run.
    pub(super) fn finish_if_complete(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.closing_state.is_some() || !job.active.is_empty() {
            return;
        }
        if job.spec.kind == JobKind::Gang && job.done_count > 0 {
            // If one task of a gang is done, all are.
            for t in 0..job.spec.tasks {
                job.set_done(TaskIndex(t));
            }
        }
        if job.cancelled {
            job.closing_state = Some(JobState::Cancelled);
        } else if job.unfinished() == 0 {
            job.closing_state = Some(JobState::Done);
        } else {
            return;
        }
        job.ended = Some(self.wall);
        let has_dependents = !self.dependencies.children_of(id).is_empty();
        let purpose = match job.closing_state {
            // The cancelled dependency's record already implies this cancellation.
            _ if job.cancelled_with.is_some() => Purpose::Progress,
            // Dependent jobs start once this is stored.
            Some(JobState::Done) if has_dependents && job.priority() <= Priority::High => {
                Purpose::Now
            }
            Some(JobState::Done) if has_dependents => Purpose::Start,
            _ => Purpose::End,
        };
        job.mark_changed(0, &mut self.write_queue, purpose);
    }

    pub fn final_of(&self, id: &JobId) -> Option<Final> {
        let job = self.jobs.get(id)?;
        Some(Final {
            state: job.closing_state?,
            done: job.done_count,
        })
    }

    /// Counts a transaction with the job's final state that is being sent.
    pub fn final_write_sent(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.unresolved_final_writes += 1;
        }
    }

    /// Counts such a transaction that was not and never will be carried out.
    pub fn final_write_failed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.unresolved_final_writes = job.unresolved_final_writes.saturating_sub(1);
        }
    }

    pub(super) fn stored(&mut self, now: Time, key: Key, ver: u64) {
        match key {
            Key::Part(id, part) => {
                let Some(job) = self.jobs.get_mut(&id) else {
                    return;
                };
                let cancelled_before = job.cancellation_stored();
                let p = &mut job.parts[part];
                p.stored_version = p.stored_version.max(ver);
                let cancelled_now = job.cancellation_stored() && !cancelled_before;
                self.write_queue.changed.insert(id.clone());
                if part == 0 {
                    if ver >= job.holds_version {
                        job.stored_holds = job.holds.clone();
                    }
                    let (ready, waiting) = std::mem::take(&mut job.waiters)
                        .into_iter()
                        .partition(|w| w.0 <= ver);
                    job.waiters = waiting;
                    self.answer_waiters(now, &id, ready);
                }
                if cancelled_now {
                    self.announce(&id, ParentOutcome::Cancelled);
                }
                self.open_counterparts(&id, part, None);
                self.note_job_stored(&id);
            }
            Key::Fences => {
                self.fences.stored(ver);
                self.answer_fenced_heartbeats(now);
            }
            Key::Final(id) => {
                let Some(final_state) = self.final_of(&id) else {
                    return;
                };
                self.cache_final(&id, final_state);
                self.write_queue.changed.insert(id.clone());
                let what = match final_state.state {
                    JobState::Cancelled => JobEvent::Cancelled,
                    _ => JobEvent::Done,
                };
                // A job that still had unmet dependencies was never counted as arrived.
                if self.jobs.get(&id).is_some_and(|job| job.needs.is_empty()) {
                    self.record_job_event(now, &id, what);
                }
                if let Some(job) = self.jobs.remove(&id) {
                    // Cancelled with a dependency before its own first write.
                    let new = job.cancelled_with.is_some();
                    self.answer_waiters_final(&id, job.waiters, final_state, new);
                }
                self.announce(&id, ParentOutcome::Over(final_state.state));
            }
        }
    }

    /// Answers users at once when the state service refuses writes: a retry is safe.
    pub(crate) fn not_stored(&mut self, id: &JobId) {
        let waiters = match self.jobs.get_mut(id) {
            Some(job) => std::mem::take(&mut job.waiters),
            None => return,
        };
        for (_, req, _) in waiters {
            self.answer(req, Answer::later("the state service refuses changes", 1));
        }
    }

    pub(super) fn already_final(&mut self, now: Time, id: JobId, final_state: Final) {
        let own_final = self.final_of(&id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if own_final.is_some_and(|m| m.state == final_state.state) {
            // Our own write, whose response was lost.
            return self.stored(now, Key::Final(id), 0);
        }
        // A very late retry of a finished job: it never became active again.
        let waiters = std::mem::take(&mut job.waiters);
        // Attempts placed meanwhile were never sent, as their record was not stored.
        self.stop_all(now, &id);
        if self.jobs.get(&id).is_some_and(|job| job.active.is_empty()) {
            self.jobs.remove(&id);
            self.write_queue.changed.insert(id.clone());
        }
        self.cache_final(&id, final_state);
        self.answer_waiters_final(&id, waiters, final_state, false);
        self.announce(&id, ParentOutcome::Over(final_state.state));
    }

    pub(super) fn read_final(&mut self, id: &JobId) {
        self.effects.push(Effect::ReadFinal(id.clone()));
    }
}
