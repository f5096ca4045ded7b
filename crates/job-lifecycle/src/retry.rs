//! The retry policy: how often a task may fail before its job is held, and the
//! backoff between its attempts.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A count is stored as one hex digit.
const MAX_COUNT: u8 = 15;
/// Failures of a job whose machines are remembered, while a leader leads.
pub const MAX_BLAMED: usize = 64;

/// How an attempt ended without being done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// It failed by itself.
    Error,
    /// It ran for longer than it may.
    TimedOut,
    /// Its machine was lost, or its worker's session.
    Lost,
    /// It was stopped: for others, for a drain, by a hold.
    Stopped,
}

/// Which failures count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedFailures {
    /// [`Failure::Error`] counts.
    pub error: bool,
    /// [`Failure::TimedOut`] counts.
    pub timed_out: bool,
    /// [`Failure::Lost`] counts.
    pub lost: bool,
    /// [`Failure::Stopped`] counts.
    pub stopped: bool,
}

impl Default for CountedFailures {
    fn default() -> Self {
        CountedFailures {
            error: true,
            timed_out: true,
            lost: false,
            stopped: false,
        }
    }
}

impl CountedFailures {
    /// Whether this failure counts.
    pub fn count(&self, failure: Failure) -> bool {
        match failure {
            Failure::Error => self.error,
            Failure::TimedOut => self.timed_out,
            Failure::Lost => self.lost,
            Failure::Stopped => self.stopped,
        }
    }
}

/// The retry policy of a class. The default is no limit and no backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts that may fail, of one task; 0: no limit.
    pub most: u8,
    /// Which failures count.
    pub counts: CountedFailures,
    /// Backoff after the first failure that counts; doubled by each further one.
    pub backoff: Duration,
    /// The longest backoff.
    pub backoff_most: Duration,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It does not count; the task may be retried at once.
    NotCounted,
    /// The task may be retried after this backoff.
    RetryAfter(Duration),
    /// The task has failed as often as it may: nothing more of the job starts.
    Exhausted(u8),
}

/// The failures of a job's tasks that count, by task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailureCounts {
    /// By task; empty as long as none has failed.
    counts: Vec<u8>,
    /// Where they failed, the latest last.
    blamed: Vec<(u32, String)>,
}

impl FailureCounts {
    /// Records a failure of a task, of so many tasks, on a machine.
    pub fn failed(
        &mut self,
        (task, of): (u32, u32),
        host: &str,
        cause: Failure,
        policy: &RetryPolicy,
    ) -> RetryDecision {
        if !policy.counts.count(cause)
            || (policy.most == 0 && policy.backoff.is_zero())
            || task >= of
        {
            return RetryDecision::NotCounted;
        }
        if self.counts.is_empty() {
            self.counts = vec![0; of as usize];
        }
        let n = &mut self.counts[task as usize];
        *n = (*n + 1).min(MAX_COUNT);
        if self.blamed.len() == MAX_BLAMED {
            self.blamed.remove(0);
        }
        self.blamed.push((task, host.into()));
        if policy.most > 0 && *n >= policy.most {
            return RetryDecision::Exhausted(*n);
        }
        let doubled = policy.backoff.saturating_mul(1 << (*n - 1).min(MAX_COUNT));
        RetryDecision::RetryAfter(doubled.min(policy.backoff_most.max(policy.backoff)))
    }

    /// That machine was faulty: what failed there does not count. Returns whether any
    /// count is lower now.
    pub fn forgive(&mut self, host: &str) -> bool {
        let before = self.blamed.len();
        let counts = &mut self.counts;
        self.blamed.retain(|(task, h)| {
            if h == host {
                let n = &mut counts[*task as usize];
                *n = n.saturating_sub(1);
            }
            h != host
        });
        self.blamed.len() < before
    }

    /// Whether any task has failed as often as it may.
    pub fn exhausted(&self, policy: &RetryPolicy) -> bool {
        policy.most > 0 && self.counts.iter().any(|n| *n >= policy.most)
    }

    /// A task is done: its failures no longer count.
    pub fn done(&mut self, task: u32) {
        if let Some(n) = self.counts.get_mut(task as usize) {
            *n = 0;
            self.blamed.retain(|(t, _)| *t != task);
        }
    }

    /// Failures whose machines are remembered.
    pub fn remembered(&self) -> usize {
        self.blamed.len()
    }

    /// Forgets all failures, as when the job is released.
    pub fn reset(&mut self) {
        *self = FailureCounts::default();
    }

    /// The failures of a task that count.
    pub fn of(&self, task: u32) -> u8 {
        self.counts.get(task as usize).copied().unwrap_or(0)
    }

    /// The counts of these tasks, a hex digit each; empty if all are 0.
    pub fn encode(&self, from: u32, to: u32) -> String {
        let range = self.counts.get(from as usize..to as usize).unwrap_or(&[]);
        if range.iter().all(|n| *n == 0) {
            return String::new();
        }
        let digit = |n: &u8| char::from_digit(*n as u32, 16).unwrap_or('f');
        range.iter().map(digit).collect()
    }

    /// Reads what [`FailureCounts::encode`] wrote; `None` if it is not that.
    pub fn decode(&mut self, from: u32, of: u32, text: &str) -> Option<()> {
        if text.is_empty() {
            return Some(());
        }
        if from as usize + text.len() > of as usize {
            return None;
        }
        if self.counts.is_empty() {
            self.counts = vec![0; of as usize];
        }
        for (i, c) in text.chars().enumerate() {
            *self.counts.get_mut(from as usize + i)? = c.to_digit(16)? as u8;
        }
        Some(())
    }
}
