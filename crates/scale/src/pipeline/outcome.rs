//! What became of a run's pipelines, for its page.

use super::Pipeline;
use crate::judge::{JobOutcome, Judge};
use serde::Serialize;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Counts of pipelines and of their jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PipelineFigures {
    /// Pipelines of which some job was submitted.
    pub begun: u64,
    /// Pipelines of which every job was accepted.
    pub accepted: u64,
    /// Pipelines whose last job was submitted only when all others were over.
    pub last_was_late: u64,
    /// Pipelines whose last job is complete.
    pub done: u64,
    /// Pipelines that were not cancelled and are done or past their deadline.
    pub due: u64,
    /// Those of them whose last job was complete by its deadline.
    pub done_by_deadline: u64,
    /// Pipelines with a job that its user cancelled.
    pub cancelled: u64,
    /// Jobs that were cancelled because of a job that they need.
    pub jobs_cancelled_along: u64,
    /// Jobs that their users were told are neither done nor cancelled.
    pub jobs_unfinished: u64,
}

impl PipelineFigures {
    /// Worked out from the record as of `now`.
    pub fn of(judge: &Judge, pipelines: &[Pipeline], now: Instant) -> PipelineFigures {
        let mut figures = PipelineFigures::default();
        for pipeline in pipelines {
            figures.add(judge, pipeline, now);
        }
        figures
    }

    fn add(&mut self, judge: &Judge, pipeline: &Pipeline, now: Instant) {
        let outcomes = pipeline.jobs.iter().map(|p| judge.outcome(&p.spec.id));
        let outcomes: Vec<Option<JobOutcome>> = outcomes.collect();
        let submitted = || outcomes.iter().flatten();
        let was_cancelled = submitted().any(|o| o.cancelled && o.was_asked_to_cancel);
        let along = submitted().filter(|o| o.cancelled && !o.was_asked_to_cancel);
        let all_accepted = outcomes
            .iter()
            .all(|o| o.as_ref().is_some_and(|o| o.accepted));
        self.begun += u64::from(submitted().next().is_some());
        self.accepted += u64::from(all_accepted);
        self.cancelled += u64::from(was_cancelled);
        self.jobs_cancelled_along += along.count() as u64;
        self.jobs_unfinished += submitted().filter(|o| o.accepted && !o.is_over).count() as u64;
        if let Some(Some(last)) = outcomes.last() {
            self.add_last(pipeline, last, was_cancelled, now);
        }
    }

    fn add_last(&mut self, pipeline: &Pipeline, last: &JobOutcome, cancelled: bool, now: Instant) {
        let plan = pipeline.jobs.last();
        let deadline_s = plan.and_then(|p| p.spec.deadline_s).unwrap_or(f64::MAX);
        let within = |took: Duration| took.as_secs_f64() <= deadline_s;
        let took = last
            .completed
            .map(|at| at.saturating_duration_since(last.submitted));
        let is_past = !within(now.saturating_duration_since(last.submitted));
        self.last_was_late += u64::from(pipeline.last_is_late);
        self.done += u64::from(took.is_some());
        if cancelled {
            return;
        }
        self.due += u64::from(took.is_some() || is_past);
        self.done_by_deadline += u64::from(took.is_some_and(within));
    }

    /// Writes the lines of the page.
    pub(crate) fn write(&self, page: &mut String) -> std::fmt::Result {
        writeln!(
            page,
            "pipelines: {} begun, {} accepted whole, {} with the last job submitted late; {} done",
            self.begun, self.accepted, self.last_was_late, self.done
        )?;
        writeln!(
            page,
            "  by their deadline: {} of {} due; cancelled: {}, {} jobs cancelled along; {} jobs unfinished",
            self.done_by_deadline,
            self.due,
            self.cancelled,
            self.jobs_cancelled_along,
            self.jobs_unfinished
        )
    }
}
