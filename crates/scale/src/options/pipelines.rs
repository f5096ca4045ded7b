//! Options of the pipelines that users submit.

use super::{BadInput, LONGEST_S, RunOptions, within};
use clap::Args;
use serde::Serialize;

/// Longest chain of jobs that need each other.
const MOST_STAGES: usize = 50;
/// Most jobs of a pipeline.
const MOST_JOBS: usize = 2000;

/// Pipelines: jobs that need others (DAG dependencies), with one deadline.
#[derive(Args, Clone, Debug, Serialize)]
pub struct PipelineOptions {
    /// Pipelines that arrive a second, besides `starts`.
    #[arg(id = "pipelines", long = "pipelines", default_value_t = 0.0)]
    pub rate: f64,
    /// Stages of a pipeline; the first and the last have one job.
    #[arg(id = "pipeline-stages", long = "pipeline-stages", default_value_t = 4)]
    pub stages: usize,
    /// Jobs of each stage between the first and the last.
    #[arg(
        id = "pipeline-fan-out",
        long = "pipeline-fan-out",
        default_value_t = 2
    )]
    pub fan_out: usize,
    /// Tasks of a pipeline's job at the most.
    #[arg(id = "pipeline-tasks", long = "pipeline-tasks", default_value_t = 6)]
    pub tasks: u32,
    /// Run time of its tasks, give or take 30%.
    #[arg(id = "pipeline-run-s", long = "pipeline-run-s", default_value_t = 3.0)]
    pub run_s: f64,
    /// Deadline of the last job, as a multiple of the run times on the longest way to it.
    #[arg(id = "pipeline-due", long = "pipeline-due", default_value_t = 3.0)]
    pub due: f64,
    /// Share of pipelines whose last job is submitted only when all others are over.
    #[arg(id = "pipeline-late", long = "pipeline-late", default_value_t = 0.2)]
    pub late: f64,
    /// Share of pipelines that are cancelled at a random job.
    #[arg(
        id = "pipeline-cancelled",
        long = "pipeline-cancelled",
        default_value_t = 0.1
    )]
    pub cancelled: f64,
}

impl PipelineOptions {
    /// Checks that every option is within its range.
    pub(super) fn check_ranges(&self) -> Result<(), BadInput> {
        within("pipelines", self.rate, 0.0, 50.0)?;
        let most = MOST_STAGES as f64;
        within("pipeline-stages", self.stages as f64, 1.0, most)?;
        let most = (MOST_JOBS / self.stages) as f64;
        within("pipeline-fan-out", self.fan_out as f64, 1.0, most)?;
        within("pipeline-tasks", f64::from(self.tasks), 1.0, 10_000.0)?;
        within("pipeline-run-s", self.run_s, 0.5, LONGEST_S)?;
        within("pipeline-due", self.due, 1.0, 1000.0)?;
        within("pipeline-late", self.late, 0.0, 1.0)?;
        within("pipeline-cancelled", self.cancelled, 0.0, 1.0)
    }
}

impl RunOptions {
    /// Whether users submit pipelines in this run.
    pub fn has_pipelines(&self) -> bool {
        self.pipelines.rate > 0.0
    }
}
