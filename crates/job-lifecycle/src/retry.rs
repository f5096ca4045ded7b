//! How often a task may fail before its job is held.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A count is stored as one hex digit.
pub const MOST: u8 = 15;
/// Machines remembered for failures, of a job; only as long as a leader leads.
const BLAMED: usize = 64;

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
pub struct Causes {
    pub error: bool,
    pub timed_out: bool,
    pub lost: bool,
    pub stopped: bool,
}

impl Default for Causes {
    fn default() -> Self {
        Causes {
            error: true,
            timed_out: true,
            lost: false,
            stopped: false,
        }
    }
}

impl Causes {
    pub fn count(&self, f: Failure) -> bool {
        match f {
            Failure::Error => self.error,
            Failure::TimedOut => self.timed_out,
            Failure::Lost => self.lost,
            Failure::Stopped => self.stopped,
        }
    }
}

/// What a class allows. The default is no limit and no back-off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryRule {
    /// Most attempts that may fail, of one task; 0: no limit.
    pub most: u8,
    pub counts: Causes,
    /// After the first failure that counts; doubled by each further one.
    pub backoff: Duration,
    pub backoff_most: Duration,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It does not count.
    Free,
    /// The task may be tried again after this.
    Again(Duration),
    /// The task has failed as often as it may: nothing more of the job starts.
    Exhausted(u8),
}

/// The failures of a job's tasks that count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempts {
    /// By task; empty as long as none has failed.
    counts: Vec<u8>,
    /// Where they failed, the latest last.
    blamed: Vec<(u32, String)>,
}

impl Attempts {
    /// A task of so many has failed on that machine.
    pub fn failed(
        &mut self,
        (task, of): (u32, u32),
        host: &str,
        cause: Failure,
        rule: &RetryRule,
    ) -> Outcome {
        if !rule.counts.count(cause) || (rule.most == 0 && rule.backoff.is_zero()) || task >= of {
            return Outcome::Free;
        }
        if self.counts.is_empty() {
            self.counts = vec![0; of as usize];
        }
        let n = &mut self.counts[task as usize];
        *n = (*n + 1).min(MOST);
        if self.blamed.len() == BLAMED {
            self.blamed.remove(0);
        }
        self.blamed.push((task, host.into()));
        if rule.most > 0 && *n >= rule.most {
            return Outcome::Exhausted(*n);
        }
        let doubled = rule.backoff.saturating_mul(1 << (*n - 1).min(MOST));
        Outcome::Again(doubled.min(rule.backoff_most.max(rule.backoff)))
    }

    /// That machine was faulty: what failed there was no fault of the job's.
    /// Answers whether any count is lower now.
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
    pub fn exhausted(&self, rule: &RetryRule) -> bool {
        rule.most > 0 && self.counts.iter().any(|n| *n >= rule.most)
    }

    /// A task is done: what went before is no matter.
    pub fn done(&mut self, task: u32) {
        if let Some(n) = self.counts.get_mut(task as usize) {
            *n = 0;
            self.blamed.retain(|(t, _)| *t != task);
        }
    }

    /// All begin anew, as when somebody releases the job.
    pub fn reset(&mut self) {
        *self = Attempts::default();
    }

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

    /// Reads what [`Attempts::encode`] wrote; `None` if it is not that.
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

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: RetryRule = RetryRule {
        most: 3,
        counts: Causes {
            error: true,
            timed_out: true,
            lost: false,
            stopped: false,
        },
        backoff: Duration::from_secs(2),
        backoff_most: Duration::from_secs(3),
    };

    #[test]
    fn a_task_fails_as_often_as_it_may_and_then_no_more() {
        let mut a = Attempts::default();
        let mut fail = |cause| a.failed((4, 10), "n-1", cause, &RULE);
        assert_eq!(fail(Failure::Lost), Outcome::Free);
        assert_eq!(fail(Failure::Stopped), Outcome::Free);
        assert_eq!(fail(Failure::Error), Outcome::Again(Duration::from_secs(2)));
        assert_eq!(
            fail(Failure::TimedOut),
            Outcome::Again(Duration::from_secs(3))
        );
        assert_eq!(fail(Failure::Error), Outcome::Exhausted(3));
        assert!(a.exhausted(&RULE) && a.of(4) == 3 && a.of(5) == 0);
        a.reset();
        assert!(!a.exhausted(&RULE));
    }

    /// A limit was once reached by way of one faulty machine.
    #[test]
    fn what_failed_on_a_faulty_machine_is_forgiven() {
        let mut a = Attempts::default();
        for host in ["good", "bad", "bad"] {
            a.failed((0, 2), host, Failure::Error, &RULE);
        }
        assert!(a.exhausted(&RULE));
        assert!(a.forgive("bad"));
        assert!(!a.exhausted(&RULE) && a.of(0) == 1);
        assert!(!a.forgive("bad"), "forgiven twice");
    }

    #[test]
    fn without_a_rule_nothing_is_counted_or_stored() {
        let mut a = Attempts::default();
        let none = RetryRule::default();
        for _ in 0..100 {
            assert_eq!(a.failed((0, 9), "n", Failure::Error, &none), Outcome::Free);
        }
        assert_eq!(a, Attempts::default());
        assert_eq!(a.encode(0, 9), "");
    }

    #[test]
    fn a_hundred_thousand_tasks_with_three_failures_each_are_a_digit_each() {
        let mut a = Attempts::default();
        let rule = RetryRule { most: 4, ..RULE };
        for task in 0..100_000 {
            for _ in 0..3 {
                a.failed((task, 100_000), "n", Failure::Error, &rule);
            }
        }
        let text = a.encode(512, 1024);
        assert_eq!(text.len(), 512);
        let mut b = Attempts::default();
        b.decode(512, 100_000, &text).unwrap();
        assert_eq!((b.of(511), b.of(512), b.of(1023)), (0, 3, 3));
        assert!(b.blamed.len() <= BLAMED && a.blamed.len() <= BLAMED);
        assert_eq!(b.decode(99_999, 100_000, "12"), None, "past the end");
        assert_eq!(b.decode(0, 100_000, "x"), None, "no digit");
    }
}
