//! How long a task will run: the owner's estimate until three tasks of the job
//! have finished, then their median.

use super::job::Job;
use super::machine::ENDLESS;
use crate::time::Span;
use crate::wire::user::JobKind;

/// This many finished tasks replace the owner's estimate.
pub const ENOUGH: usize = 3;

pub fn of(job: &Job) -> Span {
    if job.spec.kind == JobKind::Service {
        return ENDLESS;
    }
    Span::secs(job.median.unwrap_or(job.spec.estimate_s))
}

/// The median that replaces the owner's estimate, once there are enough.
pub fn median(runtimes: &[f64]) -> Option<f64> {
    let mut v = runtimes.to_vec();
    v.sort_by(f64::total_cmp);
    (v.len() >= ENOUGH).then(|| v[v.len() / 2])
}

/// δ: how far apart the remaining runtimes on a machine may be.
pub fn delta(estimate: Span, factor: f64, floor_s: f64) -> Span {
    Span::secs((estimate.as_secs() * factor).max(floor_s))
}
