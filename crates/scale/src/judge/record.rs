//! What the record holds of one job.

use crate::workload::Plan;
use hookworks::wire::user::JobState;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub(super) struct JobRecord {
    pub plan: Arc<Plan>,
    pub submitted: Instant,
    pub accepted: Option<Instant>,
    pub asked_to_cancel: bool,
    /// The first final state that was told, and when.
    pub final_state: Option<(Instant, JobState)>,
    /// The last answer to a question about it.
    last_answer: Option<Instant>,
    /// When the first question after that was asked, if it was not answered.
    no_answer_since: Option<Instant>,
    pub first_start: Option<Instant>,
    /// Tasks that have completed.
    pub done: HashSet<u32>,
    /// When the last of its tasks completed.
    pub completed: Option<Instant>,
}

/// What became of a job.
#[derive(Clone, Copy, Debug)]
pub struct JobOutcome {
    /// When its user submitted it first.
    pub submitted: Instant,
    /// Its user was told a state of it.
    pub accepted: bool,
    /// When the last of its tasks completed.
    pub completed: Option<Instant>,
    /// Its user was told that it is done or cancelled.
    pub is_over: bool,
    /// Its user was told that it is cancelled.
    pub cancelled: bool,
    /// Its user asked for its cancellation.
    pub was_asked_to_cancel: bool,
}

impl JobRecord {
    pub fn new(plan: Arc<Plan>, submitted: Instant) -> JobRecord {
        JobRecord {
            plan,
            submitted,
            accepted: None,
            asked_to_cancel: false,
            final_state: None,
            last_answer: None,
            no_answer_since: None,
            first_start: None,
            done: HashSet::new(),
            completed: None,
        }
    }

    /// A question that was asked at `asked` was answered by `now`, or was not.
    pub fn note_answer(&mut self, asked: Instant, now: Instant, was_answered: bool) {
        if was_answered {
            self.last_answer = Some(now);
            self.no_answer_since = None;
        } else {
            self.no_answer_since.get_or_insert(asked);
        }
    }

    /// Since when questions about an accepted job have not been answered. Users ask
    /// all the time about one that is not over; about another they may pause.
    pub fn silent_since(&self) -> Option<Instant> {
        let first_unanswered = self.no_answer_since.filter(|_| self.accepted.is_some())?;
        match self.is_unfinished() {
            true => Some(self.last_answer.unwrap_or(first_unanswered)),
            false => Some(first_unanswered),
        }
    }

    /// It was counted as forgotten; from now on it may be so again.
    pub fn counted_as_forgotten(&mut self) {
        self.no_answer_since = None;
    }

    /// A task completed.
    pub fn task_done(&mut self, now: Instant, number: u32) {
        self.done.insert(number);
        if self.done.len() == self.plan.spec.tasks as usize {
            self.completed.get_or_insert(now);
        }
    }

    /// When the user was told that the job is cancelled.
    pub fn cancelled_at(&self) -> Option<Instant> {
        match self.final_state {
            Some((at, JobState::Cancelled)) => Some(at),
            _ => None,
        }
    }

    /// The user was told more than `within` ago that the job is cancelled.
    pub fn is_cancelled_for_longer(&self, now: Instant, within: Duration) -> bool {
        let at = self.cancelled_at();
        at.is_some_and(|at| now.saturating_duration_since(at) > within)
    }

    /// All its tasks have completed, and nobody was told that it is cancelled.
    pub fn is_done(&self) -> bool {
        self.completed.is_some() && self.cancelled_at().is_none()
    }

    /// It was accepted and told to be neither done nor cancelled.
    pub fn is_unfinished(&self) -> bool {
        self.accepted.is_some() && self.final_state.is_none()
    }

    pub fn outcome(&self) -> JobOutcome {
        JobOutcome {
            submitted: self.submitted,
            accepted: self.accepted.is_some(),
            completed: self.completed,
            is_over: self.final_state.is_some(),
            cancelled: self.cancelled_at().is_some(),
            was_asked_to_cancel: self.asked_to_cancel,
        }
    }
}
