//! Which records wait to be written, and what happens when they are.

use super::dependencies::ParentOutcome;
use super::job::{Final, Job};
use super::{Effect, Sched};
use crate::ids::{JobId, TaskIndex};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::user::{JobKind, JobState, Priority};
use hookworks_fairness::JobEvent as What;
use std::collections::{HashSet, VecDeque};

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    Part(JobId, usize),
    Final(JobId),
    /// Zones whose workers are not answered.
    Fences,
}

/// What a write is for, in the order in which the few writes there are go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A user waits for it, or a task that is to start quickly.
    Now,
    /// Tasks are to start.
    Start,
    /// A job is over.
    End,
    /// What tasks have come to; it can be written along with later changes.
    Progress,
}

const PURPOSES: [Purpose; 4] = [
    Purpose::Now,
    Purpose::Start,
    Purpose::End,
    Purpose::Progress,
];
/// Share of the write budget that must be left for each purpose.
const RESERVE: [f64; 4] = [0.0, 0.25, 0.3, 0.5];
/// Progress waits so long, since more of the same record may come; and so long where
/// less than this share of the write budget is left.
const GATHER: Span = Span(1_000_000);
const GATHER_WHEN_SHORT: Span = Span(3_000_000);
const SHORT: f64 = 0.8;
/// The end of a job waits no longer than that for starts of others.
const END_WITHIN: Span = Span(1_500_000);

/// A record that is to be written.
#[derive(Clone, Debug)]
pub struct Dirty {
    pub job: JobId,
    pub part: usize,
    pub purpose: Purpose,
    since: Time,
}

/// Records to be written. A part may stand here for more than one purpose; it
/// counts for the one that it names itself.
#[derive(Default)]
pub struct DirtyQueue {
    pub(super) now: Time,
    queues: [VecDeque<Dirty>; 4],
    /// Jobs of which readers see something that is out of date.
    pub(super) changed: HashSet<JobId>,
}

impl DirtyQueue {
    /// The next to be written, with this share of the write budget left.
    pub fn next(&mut self, now: Time, left: f64) -> Option<Dirty> {
        // What a user or a quick start waits for passes even those: hundreds of jobs
        // of one task that ended within a minute took all changes there were.
        if let Some(d) = self.queues[Purpose::Now as usize].pop_front() {
            return Some(d);
        }
        let old = |d: &Dirty| now - d.since > END_WITHIN;
        let end = Purpose::End as usize;
        if self.queues[end].front().is_some_and(old) {
            return self.queues[end].pop_front();
        }
        let gather = if left < SHORT {
            GATHER_WHEN_SHORT
        } else {
            GATHER
        };
        for p in PURPOSES {
            let q = &mut self.queues[p as usize];
            let gathers = |d: &Dirty| p == Purpose::Progress && now - d.since < gather;
            if left >= RESERVE[p as usize] && q.front().is_some_and(|d| !gathers(d)) {
                return q.pop_front();
            }
        }
        None
    }

    /// Whatever comes next, without regard to any budget.
    pub fn pop(&mut self) -> Option<Dirty> {
        self.queues.iter_mut().find_map(|q| q.pop_front())
    }

    /// Could not be written now; it keeps its place.
    pub fn put_back(&mut self, d: Dirty) {
        self.queues[d.purpose as usize].push_front(d);
    }

    pub fn len(&self) -> usize {
        self.queues.iter().map(|q| q.len()).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many wait for each purpose, in their order.
    pub fn lengths(&self) -> [usize; 4] {
        self.queues.each_ref().map(|q| q.len())
    }
}

impl Job {
    /// Notes a change; answers the version that must be stored for it.
    pub fn touch(&mut self, part: usize, dirty: &mut DirtyQueue, purpose: Purpose) -> u64 {
        self.parts[part].ver += 1;
        dirty.changed.insert(self.spec.id.clone());
        self.queue(part, dirty, purpose);
        self.parts[part].ver
    }

    /// The part is to be written, as it will be by then. What waits for less
    /// moves up: starts once waited behind the progress of all others.
    pub fn queue(&mut self, part: usize, dirty: &mut DirtyQueue, purpose: Purpose) {
        let p = &mut self.parts[part];
        if p.queued.is_none_or(|q| purpose < q) {
            p.queued = Some(purpose);
            dirty.queues[purpose as usize].push_back(Dirty {
                job: self.spec.id.clone(),
                part,
                purpose,
                since: dirty.now,
            });
        }
    }

    /// Takes the part out of the queue; false if this entry is out of date.
    pub fn unqueue(&mut self, part: usize, purpose: Purpose) -> bool {
        let p = &mut self.parts[part];
        let counts = p.queued == Some(purpose);
        if counts {
            p.queued = None;
        }
        counts
    }
}

impl Sched {
    /// What has become of a task is to be written.
    pub(super) fn note_progress(&mut self, id: &JobId, t: TaskIndex) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.touch(j.part_of(t), &mut self.dirty, Purpose::Progress);
        }
    }

    /// Once nothing of a job is left to run, its final state gets stored.
    pub(super) fn finish_if_over(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.closing.is_some() || !j.live.is_empty() {
            return;
        }
        if j.spec.kind == JobKind::Gang && j.done_count > 0 {
            // If one task of a gang is done, every one is.
            for t in 0..j.spec.tasks {
                j.set_done(TaskIndex(t));
            }
        }
        if j.cancelled {
            j.closing = Some(JobState::Cancelled);
        } else if j.unfinished() == 0 {
            j.closing = Some(JobState::Done);
        } else {
            return;
        }
        j.ended = Some(self.wall);
        let needed = !self.dependencies.children_of(id).is_empty();
        let purpose = match j.closing {
            // That it is cancelled with another is on record by that one.
            _ if j.cancelled_with.is_some() => Purpose::Progress,
            // Others start once this is stored.
            Some(JobState::Done) if needed && j.priority() <= Priority::High => Purpose::Now,
            Some(JobState::Done) if needed => Purpose::Start,
            _ => Purpose::End,
        };
        j.touch(0, &mut self.dirty, purpose);
    }

    pub fn final_of(&self, id: &JobId) -> Option<Final> {
        let j = self.jobs.get(id)?;
        Some(Final {
            state: j.closing?,
            done: j.done_count,
        })
    }

    /// A transaction with the job's final state leaves.
    pub fn final_write_sent(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.unresolved_final_writes += 1;
        }
    }

    /// One that was sent has not been carried out, and never will be.
    pub fn final_write_failed(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.unresolved_final_writes = j.unresolved_final_writes.saturating_sub(1);
        }
    }

    pub(super) fn stored(&mut self, now: Time, key: Key, ver: u64) {
        match key {
            Key::Part(id, part) => {
                let Some(j) = self.jobs.get_mut(&id) else {
                    return;
                };
                let cancelled_before = j.cancellation_stored();
                let p = &mut j.parts[part];
                p.stored = p.stored.max(ver);
                let cancelled_now = j.cancellation_stored() && !cancelled_before;
                self.dirty.changed.insert(id.clone());
                if part == 0 {
                    if ver >= j.holds_ver {
                        j.shown = j.holds.clone();
                    }
                    let (ready, rest) = std::mem::take(&mut j.waiters)
                        .into_iter()
                        .partition(|w| w.0 <= ver);
                    j.waiters = rest;
                    self.tell_waiters(now, &id, ready);
                }
                if cancelled_now {
                    self.announce(&id, ParentOutcome::Cancelled);
                }
                self.open_counterparts(&id, part, None);
                self.note_ready(&id);
            }
            Key::Fences => {
                self.fences.stored(ver);
                self.answer_at_fence(now);
            }
            Key::Final(id) => {
                let Some(f) = self.final_of(&id) else {
                    return;
                };
                self.remember_final(&id, f);
                self.dirty.changed.insert(id.clone());
                let what = match f.state {
                    JobState::Cancelled => What::Cancelled,
                    _ => What::Done,
                };
                // What still needed others never counted as having come.
                if self.jobs.get(&id).is_some_and(|j| j.needs.is_empty()) {
                    self.book(now, &id, what);
                }
                if let Some(j) = self.jobs.remove(&id) {
                    // Cancelled with one that it needs before its own first write.
                    let new = j.cancelled_with.is_some();
                    self.tell_waiters_final(&id, j.waiters, f, new);
                }
                self.announce(&id, ParentOutcome::Over(f.state));
            }
        }
    }

    /// Users need not wait for a state service that refuses: a retry is safe.
    pub(crate) fn not_stored(&mut self, id: &JobId) {
        let waiters = match self.jobs.get_mut(id) {
            Some(j) => std::mem::take(&mut j.waiters),
            None => return,
        };
        for (_, req, _) in waiters {
            self.answer(req, Answer::later("the state service refuses changes", 1));
        }
    }

    pub(super) fn already_final(&mut self, now: Time, id: JobId, f: Final) {
        let mine = self.final_of(&id);
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        if mine.is_some_and(|m| m.state == f.state) {
            // Our own write, whose answer was lost.
            return self.stored(now, Key::Final(id), 0);
        }
        // A very late retry of a job that is over: it never became live again.
        let waiters = std::mem::take(&mut j.waiters);
        // What was placed meanwhile never left: its record was not stored.
        self.stop_all(now, &id);
        if self.jobs.get(&id).is_some_and(|j| j.live.is_empty()) {
            self.jobs.remove(&id);
            self.dirty.changed.insert(id.clone());
        }
        self.remember_final(&id, f);
        self.tell_waiters_final(&id, waiters, f, false);
        self.announce(&id, ParentOutcome::Over(f.state));
    }

    pub(super) fn read_final(&mut self, id: &JobId) {
        self.out.push(Effect::ReadFinal(id.clone()));
    }
}
