//! What a job takes over from those that need it, directly or through others:
//! the highest priority, and the earliest moment by which it must be done so that
//! the last job on the longest way (critical path) can meet its deadline.
//!
//! A new job passes both up to the jobs that it needs, and these pass on what has
//! changed for them. A job that falls away has them worked out anew for those that
//! it needed. Either is done a bounded number of steps at a time.

use super::job::Job;
use super::machine::ENDLESS;
use super::{Scheduler, estimate};
use crate::ids::JobId;
use crate::time::{Span, Time};
use crate::wire::user::Priority;
use std::collections::{BTreeSet, VecDeque};

/// Jobs looked at for this in one event.
const STEPS_PER_EVENT: usize = 256;
/// Past its deadline by so much a job still counts for an aim.
pub(super) const LATE_FACTOR: f64 = 1.5;

/// When a job must be done, for a deadline and for half as much time again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Due {
    pub in_time: Option<Time>,
    pub late: Option<Time>,
}

/// What a job takes over from those that need it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Inherited {
    pub priority: Option<Priority>,
    pub due: Due,
}

/// Work that is left over from earlier events.
#[derive(Default)]
pub(super) struct InheritanceQueue {
    /// A job, and those of the jobs that it needs which are still to be told.
    up: VecDeque<(JobId, Vec<JobId>)>,
    /// Jobs for which all is worked out anew.
    anew: BTreeSet<JobId>,
}

impl InheritanceQueue {
    pub fn is_empty(&self) -> bool {
        self.up.is_empty() && self.anew.is_empty()
    }
}

fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}

impl Due {
    fn earlier(self, other: Due) -> Due {
        Due {
            in_time: earlier(self.in_time, other.in_time),
            late: earlier(self.late, other.late),
        }
    }

    fn less(self, run: Span) -> Due {
        let before = |t: Time| Time(t.0.saturating_sub(run.0));
        Due {
            in_time: self.in_time.map(before),
            late: self.late.map(before),
        }
    }
}

impl Inherited {
    /// With what one more job that needs it passes up.
    fn with(self, other: Inherited) -> Inherited {
        Inherited {
            // The most urgent is the smallest.
            priority: self.priority.into_iter().chain(other.priority).min(),
            due: self.due.earlier(other.due),
        }
    }
}

impl Job {
    /// Its own priority, or that of a more urgent job that needs it.
    pub fn priority(&self) -> Priority {
        let inherited = self.inherited.priority.unwrap_or(self.spec.priority);
        self.spec.priority.min(inherited)
    }

    /// By when it must be done for the deadline of the last job that needs it.
    pub fn inherited_due(&self) -> Option<Time> {
        self.inherited.due.in_time
    }

    fn own_due(&self) -> Due {
        let after = |factor: f64| {
            let deadline = self.spec.deadline_s?;
            Some(self.arrived + Span::secs(factor * deadline))
        };
        Due {
            in_time: after(1.0),
            late: after(LATE_FACTOR),
        }
    }

    /// What it passes up to the jobs that it needs.
    fn passes_up(&self) -> Inherited {
        let run = match estimate::of(self) {
            ENDLESS => Span::ZERO,
            run => run,
        };
        Inherited {
            priority: Some(self.priority()),
            due: self.own_due().earlier(self.inherited.due).less(run),
        }
    }
}

impl Scheduler {
    /// What the job passes up has changed, or is new.
    pub(super) fn pass_up(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get(id).filter(|j| !j.needs.is_empty()) {
            let parents = j.needs.iter().cloned().collect();
            self.inheritance.up.push_back((id.clone(), parents));
        }
    }

    /// The job counts no more for those that it needed.
    pub(super) fn withdraw_from_parents(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get(id) {
            self.inheritance.anew.extend(j.needs.iter().cloned());
        }
    }

    /// A number of steps of what is left to pass up.
    pub(super) fn inherit(&mut self) {
        let mut steps = 0;
        while steps < STEPS_PER_EVENT {
            if let Some((id, parents)) = self.inheritance.up.front_mut() {
                steps += 1;
                match parents.pop() {
                    Some(parent) => {
                        let id = id.clone();
                        self.pass_up_to(&id, &parent);
                    }
                    None => {
                        self.inheritance.up.pop_front();
                    }
                }
            } else if let Some(id) = self.inheritance.anew.pop_first() {
                steps += 1 + self.inherit_anew(&id);
            } else {
                return;
            }
        }
    }

    fn pass_up_to(&mut self, id: &JobId, parent: &JobId) {
        let Some(child) = self.jobs.get(id).filter(|j| !j.cancelled) else {
            return;
        };
        let passed = child.passes_up();
        if let Some(p) = self.jobs.get(parent) {
            let inherited = p.inherited.with(passed);
            self.set_inherited(parent, inherited);
        }
    }

    /// Answers how many jobs it has looked at.
    fn inherit_anew(&mut self, id: &JobId) -> usize {
        let Some(j) = self.jobs.get(id).filter(|j| !j.cancelled) else {
            return 0;
        };
        let before = j.inherited;
        let mut inherited = Inherited::default();
        let mut looked = 0;
        for child in self.dependencies.children_of(id) {
            looked += 1;
            let needs_it = |c: &&Job| !c.cancelled && c.needs.contains(id);
            if let Some(c) = self.jobs.get(child).filter(needs_it) {
                inherited = inherited.with(c.passes_up());
            }
            if inherited == before {
                // No other can make it less.
                return looked;
            }
        }
        self.set_inherited(id, inherited);
        if before != inherited {
            // It may count for less with those above, too.
            self.withdraw_from_parents(id);
        }
        looked
    }

    fn set_inherited(&mut self, id: &JobId, inherited: Inherited) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.inherited != inherited {
            j.inherited = inherited;
            self.replan = true;
            self.pass_up(id);
        }
    }
}
