//! The largest jobs of a class: how long they wait for their first start.
//!
//! They are the first to be overtaken, and an average over all jobs hides them. A
//! job counts among the largest if it has at least as many tasks as nine in ten of
//! its class that came since this leader began.

use hdrhistogram::Histogram;
use hookworks_base::time::Span;
use serde::Serialize;

/// Most tasks of a job, by the protocol.
const MAX_TASKS: u64 = 100_000;

/// The largest jobs of one class.
#[derive(Clone, Debug)]
pub struct LargestJobs {
    sizes: Histogram<u64>,
    metrics: LargestJobsMetrics,
}

/// GroupMetrics of the largest jobs of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LargestJobsMetrics {
    /// Tasks from which on a job counts among them.
    pub tasks_from: u64,
    /// Those that have begun under this leader.
    pub begun: u64,
    /// The longest that any of these waited for its first start, in seconds.
    pub longest_s: f64,
    /// Those that wait for their first start now.
    pub waiting: u64,
    /// The longest that any of these has waited, in seconds.
    pub oldest_s: f64,
}

impl Default for LargestJobs {
    fn default() -> Self {
        LargestJobs {
            // Bounds that the library takes.
            sizes: Histogram::new_with_max(MAX_TASKS, 1).expect("valid bounds"),
            metrics: LargestJobsMetrics::default(),
        }
    }
}

impl LargestJobs {
    /// A job of so many tasks came, or was found by a new leader.
    pub fn record_size(&mut self, tasks: u64) {
        self.sizes.saturating_record(tasks);
    }

    /// Whether a job of so many tasks counts among the largest.
    pub fn is_among_largest(&self, tasks: u64) -> bool {
        tasks >= self.min_tasks()
    }

    fn min_tasks(&self) -> u64 {
        let at = self.sizes.value_at_quantile(0.9);
        self.sizes.lowest_equivalent(at)
    }

    /// The first task of a job of so many runs, so long after it came.
    pub fn record_start(&mut self, tasks: u64, waited: Span) {
        if self.is_among_largest(tasks) {
            self.metrics.begun += 1;
            self.metrics.longest_s = self.metrics.longest_s.max(waited.as_secs());
        }
    }

    /// The figures, given what waits for its first start now: tasks and for how long.
    pub fn metrics(&self, waiting: impl Iterator<Item = (u64, Span)>) -> LargestJobsMetrics {
        let tasks_from = self.min_tasks();
        let start = LargestJobsMetrics {
            tasks_from,
            ..self.metrics
        };
        waiting
            .filter(|(n, _)| *n >= tasks_from)
            .fold(start, |mut f, (_, waited)| {
                f.waiting += 1;
                f.oldest_s = f.oldest_s.max(waited.as_secs());
                f
            })
    }
}
