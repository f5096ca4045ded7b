//! Pipelines: stages of jobs that need those of the stage before (DAG
//! dependencies), drawn in advance from the seed. Only the last job has a deadline.

mod outcome;
mod progress;

pub use outcome::PipelineFigures;
pub use progress::{Pipelines, Progress};

use crate::options::{PipelineOptions, RunOptions};
use crate::workload::{Draft, PIPELINE, Plan, arrivals, random_duration, random_run_s};
use hookworks::ids::JobId;
use hookworks::wire::user::Priority;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Ids of pipelines' jobs begin here; other jobs stay below.
const FIRST_NUMBER: usize = 50_000_000;
/// Keeps what pipelines draw apart from what other jobs draw.
const SEED_OFFSET: u64 = 0x7069_7065;
/// Chance that a job needs a second one of the stage before.
const SECOND_NEED: f64 = 0.5;

/// Jobs that need each other, and how their user submits them.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// When the first job is submitted, counted from the first arrival.
    pub at: Duration,
    /// Its jobs; each comes after those that it needs.
    pub jobs: Vec<Plan>,
    /// The last job is submitted only when all others are over.
    pub last_is_late: bool,
}

/// All pipelines of a run in the order of their arrival.
pub fn pipelines(options: &RunOptions) -> Vec<Pipeline> {
    let mut rng = StdRng::seed_from_u64(options.seed.wrapping_add(SEED_OFFSET));
    let times = arrivals(&mut rng, options.pipelines.rate, options.length_s);
    let mut next_number = FIRST_NUMBER;
    let draw = |at: f64| {
        let pipeline = draw(&mut rng, options, next_number, at);
        next_number += pipeline.jobs.len();
        pipeline
    };
    times.into_iter().map(draw).collect()
}

fn draw(rng: &mut StdRng, options: &RunOptions, first_number: usize, at: f64) -> Pipeline {
    let shape = &options.pipelines;
    let mut jobs: Vec<Plan> = vec![];
    let mut before = 0..0;
    for stage in 0..shape.stages {
        let from = jobs.len();
        for position in 0..width(shape, stage) {
            let needs = needs(rng, shape, stage, position, before.clone());
            let needs = needs.into_iter().map(|n| jobs[n].spec.id.clone());
            let needs = needs.collect();
            let draft = draft(rng, shape, first_number + jobs.len());
            let mut plan = draft.draw(rng, options.teams, 0.0, shape.run_s);
            plan.spec.dependencies = needs;
            jobs.push(plan);
        }
        before = from..jobs.len();
    }
    set_deadline(&mut jobs, shape.due);
    if rng.random_bool(shape.cancelled) {
        let chosen = rng.random_range(0..jobs.len());
        let most_s = shape.run_s * shape.stages as f64;
        jobs[chosen].cancel_after = Some(random_duration(rng, most_s));
    }
    Pipeline {
        at: Duration::from_secs_f64(at),
        jobs,
        last_is_late: rng.random_bool(shape.late),
    }
}

/// Jobs side by side in a stage.
fn width(shape: &PipelineOptions, stage: usize) -> usize {
    let is_edge = stage == 0 || stage + 1 == shape.stages;
    if is_edge { 1 } else { shape.fan_out }
}

/// Which jobs of the stage `before` a job needs. Each of those is needed by
/// some job of this stage; the last job needs all of them.
fn needs(
    rng: &mut StdRng,
    shape: &PipelineOptions,
    stage: usize,
    position: usize,
    before: Range<usize>,
) -> Vec<usize> {
    if before.len() < 2 || stage + 1 == shape.stages {
        return before.collect();
    }
    let nth = |n: usize| before.start + n % before.len();
    let mut needs = vec![nth(position)];
    if rng.random_bool(SECOND_NEED) {
        needs.push(nth(position + 1));
    }
    needs
}

fn draft(rng: &mut StdRng, shape: &PipelineOptions, number: usize) -> Draft {
    Draft {
        id: JobId::from(format!("job-{number}").as_str()),
        class: PIPELINE,
        priority: Priority::Normal,
        tasks: rng.random_range(1..=shape.tasks),
        run_s: random_run_s(rng, shape.run_s),
        deadline_s: None,
    }
}

/// The last job alone is urgent and has a deadline, `due` times the run times on
/// the longest way to its end.
fn set_deadline(jobs: &mut [Plan], due: f64) {
    let longest_s = longest_way_s(jobs);
    if let Some(last) = jobs.last_mut() {
        last.spec.priority = Priority::High;
        last.spec.deadline_s = Some(longest_s * due);
    }
}

/// Run times on the longest way through the jobs (critical path).
fn longest_way_s(jobs: &[Plan]) -> f64 {
    let mut ends: Vec<(&JobId, f64)> = vec![];
    for job in jobs {
        let needed = ends
            .iter()
            .filter(|(id, _)| job.spec.dependencies.contains(id));
        let start = needed.map(|(_, end)| *end).fold(0.0, f64::max);
        ends.push((&job.spec.id, start + job.run.as_secs_f64()));
    }
    ends.last().map_or(0.0, |(_, end)| *end)
}
