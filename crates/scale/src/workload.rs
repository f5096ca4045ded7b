//! The jobs that users submit on their own, drawn in advance from the seed.

use crate::options::RunOptions;
use hookworks::ids::{JobId, Team};
use hookworks::wire::user::{JobKind, JobSpec, Priority};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The class of jobs that are to start at once.
pub const URGENT: &str = "urgent";
/// The class of all other jobs that need no others.
pub const ORDINARY: &str = "ordinary";
/// The class of jobs of pipelines.
pub const PIPELINE: &str = "pipeline";
/// Images that jobs use; small enough to be fetched in a fraction of a second.
const IMAGES: u32 = 20;
const IMAGE_GB: f64 = 0.2;
/// What a task takes of its machine.
const TASK_CPUS: f64 = 1.0;
const TASK_MEMORY_GB: f64 = 1.0;
/// Share of submissions that are sent once more after they were accepted.
const REPEATED: f64 = 0.05;

/// A job, and what its user and its tasks will do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What its user submits.
    pub spec: JobSpec,
    /// When its user submits it first, counted from the first arrival.
    pub at: Duration,
    /// How long each task runs.
    pub run: Duration,
    /// The user cancels it so long after it was accepted.
    pub cancel_after: Option<Duration>,
    /// The user submits it once more after it was accepted.
    pub repeated: bool,
}

impl Plan {
    /// It is to start at once.
    pub fn is_urgent(&self) -> bool {
        self.spec.class.as_str() == URGENT
    }

    /// The body of its submission.
    pub fn submission(&self) -> Vec<u8> {
        serde_json::to_vec(&self.spec).unwrap_or_default()
    }
}

/// The name of a team by its number.
pub fn team(number: usize) -> Team {
    Team::from(format!("team-{number:03}").as_str())
}

/// A job's size and class; all else that a submission holds is drawn.
pub(crate) struct Draft {
    pub id: JobId,
    pub class: &'static str,
    pub priority: Priority,
    pub tasks: u32,
    pub run_s: f64,
    pub deadline_s: Option<f64>,
}

impl Draft {
    /// Draws what is missing: image, cancellation, team, estimate, repetition.
    pub fn draw(self, rng: &mut StdRng, teams: usize, cancelled: f64, cancel_s: f64) -> Plan {
        let image = rng.random_range(0..IMAGES);
        let is_cancelled = cancelled > 0.0 && rng.random_bool(cancelled);
        let run_s = self.run_s;
        let spec = JobSpec {
            id: self.id,
            class: self.class.into(),
            team: team(rng.random_range(0..teams)),
            kind: JobKind::Array,
            priority: self.priority,
            tasks: self.tasks,
            cpus: TASK_CPUS,
            gpus: 0.0,
            memory_gb: TASK_MEMORY_GB,
            image: format!("image-{image:02}").as_str().into(),
            image_gb: IMAGE_GB,
            builds: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: run_s * rng.random_range(0.8..1.2),
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: self.deadline_s,
            limit_s: None,
            start_conditions: vec![],
            dependencies: vec![],
        };
        Plan {
            spec,
            at: Duration::ZERO,
            run: Duration::from_secs_f64(run_s),
            cancel_after: is_cancelled.then(|| random_duration(rng, cancel_s)),
            repeated: rng.random_bool(REPEATED),
        }
    }
}

/// Some time until a cancellation, `most_s` at the most.
pub(crate) fn random_duration(rng: &mut StdRng, most_s: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(0.2..most_s))
}

/// A run time of `mean_s`, give or take 30%.
pub(crate) fn random_run_s(rng: &mut StdRng, mean_s: f64) -> f64 {
    mean_s * rng.random_range(0.7..1.3)
}

/// Time until the next of arrivals that come at random, `rate` a second.
fn gap(rng: &mut StdRng, rate: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() / rate
}

/// Seconds at which something arrives at random, `rate` times a second.
pub(crate) fn arrivals(rng: &mut StdRng, rate: f64, length_s: f64) -> Vec<f64> {
    let mut times = vec![];
    if rate <= 0.0 {
        return times;
    }
    let mut at = gap(rng, rate);
    while at < length_s {
        times.push(at);
        at += gap(rng, rate);
    }
    times
}

/// All jobs of a run that need no others, in the order of their arrival:
/// `starts` tasks a second in jobs of `job_tasks`, and `urgent` jobs of one task
/// a second.
pub fn plans(options: &RunOptions) -> Vec<Plan> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let ordinary = (options.starts - options.urgent).max(0.0) / f64::from(options.job_tasks);
    let times = arrivals(&mut rng, ordinary, options.length_s);
    let mut all: Vec<(f64, bool)> = times.into_iter().map(|t| (t, false)).collect();
    let urgent = arrivals(&mut rng, options.urgent, options.length_s);
    all.extend(urgent.into_iter().map(|t| (t, true)));
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let numbered = all.into_iter().enumerate();
    numbered
        .map(|(number, (at, urgent))| {
            let id = JobId::from(format!("job-{number:06}").as_str());
            let plan = match urgent {
                true => draw_urgent(&mut rng, options, id),
                false => draw_ordinary(&mut rng, options, id),
            };
            Plan {
                at: Duration::from_secs_f64(at),
                ..plan
            }
        })
        .collect()
}

fn draw_urgent(rng: &mut StdRng, options: &RunOptions, id: JobId) -> Plan {
    let draft = Draft {
        id,
        class: URGENT,
        priority: Priority::High,
        tasks: 1,
        run_s: random_run_s(rng, options.run_s),
        deadline_s: None,
    };
    draft.draw(rng, options.teams, 0.0, options.run_s)
}

fn draw_ordinary(rng: &mut StdRng, options: &RunOptions, id: JobId) -> Plan {
    let draft = Draft {
        id,
        class: ORDINARY,
        priority: Priority::Normal,
        tasks: options.job_tasks,
        run_s: random_run_s(rng, options.run_s),
        deadline_s: None,
    };
    draft.draw(rng, options.teams, options.cancelled, options.run_s)
}
