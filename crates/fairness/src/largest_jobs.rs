//! How long the largest jobs of a class wait for their first start.
//!
//! They are the first to be overtaken, and an average over all jobs hides them. A job
//! counts among the largest if it has at least as many tasks as nine in ten jobs of its
//! class that were accepted since this controller became leader.

use hdrhistogram::Histogram;
use hookworks_base::time::Span;
use serde::Serialize;

/// The largest number of tasks that the protocol allows for a job.
const MAX_TASKS: u64 = 100_000;

/// The largest jobs of one class.
#[derive(Clone, Debug)]
pub struct LargestJobs {
    sizes: Histogram<u64>,
    metrics: LargestJobsMetrics,
}

/// Metrics of the largest jobs of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LargestJobsMetrics {
    /// The smallest number of tasks with which a job counts among them.
    pub tasks_from: u64,
    /// Jobs that have started under this leader.
    pub begun: u64,
    /// The longest wait for the first start among them, in seconds.
    pub longest_s: f64,
    /// Jobs that wait for their first start now.
    pub waiting: u64,
    /// The longest wait among them so far, in seconds.
    pub oldest_s: f64,
}

impl Default for LargestJobs {
    fn default() -> Self {
        LargestJobs {
            // The library accepts these bounds.
            sizes: Histogram::new_with_max(MAX_TASKS, 1).expect("valid bounds"),
            metrics: LargestJobsMetrics::default(),
        }
    }
}

impl LargestJobs {
    /// Records the size of a job that was accepted, or loaded by a new leader.
    pub fn record_size(&mut self, tasks: u64) {
        self.sizes.saturating_record(tasks);
    }

    /// Whether a job with this number of tasks counts among the largest.
    pub fn is_among_largest(&self, tasks: u64) -> bool {
        tasks >= self.min_tasks()
    }

    fn min_tasks(&self) -> u64 {
        let size = self.sizes.value_at_quantile(0.9);
        self.sizes.lowest_equivalent(size)
    }

    /// Records the first start of a job, `waited` after it was accepted.
    pub fn record_start(&mut self, tasks: u64, waited: Span) {
        if self.is_among_largest(tasks) {
            self.metrics.begun += 1;
            self.metrics.longest_s = self.metrics.longest_s.max(waited.as_secs());
        }
    }

    /// The metrics, given the number of tasks and the wait of each job that waits for
    /// its first start now.
    pub fn metrics(&self, waiting: impl Iterator<Item = (u64, Span)>) -> LargestJobsMetrics {
        let tasks_from = self.min_tasks();
        let initial = LargestJobsMetrics {
            tasks_from,
            ..self.metrics
        };
        waiting.filter(|(tasks, _)| *tasks >= tasks_from).fold(
            initial,
            |mut metrics, (_, waited)| {
                metrics.waiting += 1;
                metrics.oldest_s = metrics.oldest_s.max(waited.as_secs());
                metrics
            },
        )
    }
}
