//! How long a task is expected to run: the estimate in the submission until three tasks
//! of the job have finished, then their median.

use super::job::Job;
use super::machine::ENDLESS;
use crate::time::Span;
use crate::wire::user::JobKind;

/// Finished tasks after which their median replaces the estimate of the submission.
pub const MIN_FINISHED_TASKS: usize = 3;

pub fn of(job: &Job) -> Span {
    if job.spec.kind == JobKind::Service {
        return ENDLESS;
    }
    Span::secs(job.median_runtime.unwrap_or(job.spec.estimate_s))
}

/// The median of these runtimes; none if there are too few to replace the estimate of
/// the submission.
pub fn median(runtimes: &[f64]) -> Option<f64> {
    let mut sorted = runtimes.to_vec();
    sorted.sort_by(f64::total_cmp);
    (sorted.len() >= MIN_FINISHED_TASKS).then(|| sorted[sorted.len() / 2])
}

/// δ: how far apart the remaining runtimes of the tasks on a machine may be.
pub fn max_runtime_spread(estimate: Span, factor: f64, floor_s: f64) -> Span {
    Span::secs((estimate.as_secs() * factor).max(floor_s))
}
