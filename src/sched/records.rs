//! Which records wait to be written, and what happens when they are.

use super::job::{Final, Job};
use super::{Effect, Sched};
use crate::ids::{JobId, TaskIx};
use crate::time::Time;
use crate::wire::peer::Answer;
use crate::wire::user::{JobState, Kind};
use std::collections::VecDeque;

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    Part(JobId, usize),
    Final(JobId),
}

/// Records to be written, the urgent ones first; each stands here once.
#[derive(Default)]
pub struct DirtyQueue {
    urgent: VecDeque<(JobId, usize)>,
    usual: VecDeque<(JobId, usize)>,
}

impl DirtyQueue {
    pub fn pop(&mut self) -> Option<(JobId, usize)> {
        self.urgent.pop_front().or_else(|| self.usual.pop_front())
    }
    pub fn push_back(&mut self, job: JobId, part: usize) {
        self.usual.push_back((job, part));
    }
    pub fn push_front(&mut self, job: JobId, part: usize) {
        self.urgent.push_front((job, part));
    }
    pub fn len(&self) -> usize {
        self.urgent.len() + self.usual.len()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Job {
    /// Notes a change; answers the version that must be stored for it.
    pub fn touch(&mut self, part: usize, dirty: &mut DirtyQueue, urgent: bool) -> u64 {
        self.parts[part].ver += 1;
        self.queue(part, dirty, urgent);
        self.parts[part].ver
    }

    /// The part is to be written, as it will be by then.
    pub fn queue(&mut self, part: usize, dirty: &mut DirtyQueue, urgent: bool) {
        let p = &mut self.parts[part];
        if !p.queued {
            p.queued = true;
            let id = self.spec.id.clone();
            if urgent {
                dirty.urgent.push_back((id, part));
            } else {
                dirty.usual.push_back((id, part));
            }
        }
    }
}

impl Sched {
    /// A user waits for it, or a task that should start.
    pub(super) fn touch(&mut self, id: &JobId, part: usize, urgent: bool) -> u64 {
        match self.jobs.get_mut(id) {
            Some(j) => j.touch(part, &mut self.dirty, urgent),
            None => 0,
        }
    }

    pub(super) fn touch_task(&mut self, id: &JobId, t: TaskIx, urgent: bool) -> u64 {
        let part = self.jobs.get(id).map(|j| j.part_of(t)).unwrap_or(0);
        self.touch(id, part, urgent)
    }

    /// Once nothing of a job is left to run, its final state gets stored.
    pub(super) fn finish_if_over(&mut self, _now: Time, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.closing.is_some() || !j.live.is_empty() {
            return;
        }
        if j.spec.kind == Kind::Gang && j.done_count > 0 {
            // If one task of a gang is done, every one is.
            for t in 0..j.spec.tasks {
                j.set_done(TaskIx(t));
            }
        }
        if j.cancelled {
            j.closing = Some(JobState::Cancelled);
        } else if j.unfinished() == 0 {
            j.closing = Some(JobState::Done);
        } else {
            return;
        }
        j.touch(0, &mut self.dirty, true);
    }

    pub fn final_of(&self, id: &JobId) -> Option<Final> {
        let j = self.jobs.get(id)?;
        Some(Final {
            state: j.closing?,
            done: j.done_count,
        })
    }

    pub(super) fn stored(&mut self, now: Time, key: Key, ver: u64) {
        match key {
            Key::Part(id, part) => {
                let Some(j) = self.jobs.get_mut(&id) else {
                    return;
                };
                let p = &mut j.parts[part];
                p.stored = p.stored.max(ver);
                if part == 0 {
                    let (ready, rest) = std::mem::take(&mut j.waiters)
                        .into_iter()
                        .partition(|w| w.0 <= ver);
                    j.waiters = rest;
                    self.tell_waiters(&id, ready);
                }
                self.replan = true;
                self.push_job(now, &id);
            }
            Key::Final(id) => {
                let Some(f) = self.final_of(&id) else {
                    return;
                };
                self.remember_final(&id, f);
                if let Some(j) = self.jobs.remove(&id) {
                    self.tell_waiters_final(&id, j.waiters, f);
                }
            }
        }
    }

    /// Users need not wait for a state service that refuses: a retry is safe.
    pub(super) fn not_stored(&mut self, id: &JobId) {
        let waiters = match self.jobs.get_mut(id) {
            Some(j) => std::mem::take(&mut j.waiters),
            None => return,
        };
        for (_, req, _) in waiters {
            self.answer(req, Answer::later("the state service refuses changes", 1));
        }
    }

    pub(super) fn already_final(&mut self, now: Time, id: JobId, f: Final) {
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        if j.closing.is_some() {
            // Our own write, whose answer was lost.
            return self.stored(now, Key::Final(id), 0);
        }
        // A very late retry of a job that is over: it never became live again.
        let waiters = std::mem::take(&mut j.waiters);
        // What was placed meanwhile never left: its record was not stored.
        self.stop_all(now, &id);
        if self.jobs.get(&id).is_some_and(|j| j.live.is_empty()) {
            self.jobs.remove(&id);
        }
        self.remember_final(&id, f);
        self.tell_waiters_final(&id, waiters, f);
    }

    pub(super) fn read_final(&mut self, id: &JobId) {
        self.out.push(Effect::ReadFinal(id.clone()));
    }
}
