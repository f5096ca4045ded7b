//! The jobs that users submit, drawn in advance from the seed.

use crate::options::RunOptions;
use hookworks::ids::{JobId, Team};
use hookworks::wire::user::{JobSpec, Kind, Priority};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The class of jobs that are to start at once.
pub const URGENT: &str = "urgent";
/// The class of all others.
pub const ORDINARY: &str = "ordinary";
/// Images that jobs use; small enough to be fetched in a fraction of a second.
const IMAGES: u32 = 20;
const IMAGE_GB: f64 = 0.2;
/// What a task takes of its machine.
const TASK_CPUS: f64 = 1.0;
const TASK_MEMORY_GB: f64 = 1.0;

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
}

/// The name of a team by its number.
pub fn team(number: usize) -> Team {
    Team::from(format!("team-{number:03}").as_str())
}

/// Time until the next of arrivals that come at random, `rate` a second.
fn gap(rng: &mut StdRng, rate: f64) -> f64 {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    -u.ln() / rate
}

fn arrivals(rng: &mut StdRng, rate: f64, length_s: f64) -> Vec<f64> {
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

/// All jobs of a run in the order of their arrival: `starts` tasks a second in
/// jobs of `job_tasks`, and `urgent` jobs of one task a second.
pub fn plans(o: &RunOptions) -> Vec<Plan> {
    let mut rng = StdRng::seed_from_u64(o.seed);
    let ordinary = (o.starts - o.urgent).max(0.0) / f64::from(o.job_tasks);
    let times = arrivals(&mut rng, ordinary, o.length_s);
    let mut all: Vec<(f64, bool)> = times.into_iter().map(|t| (t, false)).collect();
    let urgent = arrivals(&mut rng, o.urgent, o.length_s);
    all.extend(urgent.into_iter().map(|t| (t, true)));
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let numbered = all.into_iter().enumerate();
    numbered
        .map(|(n, (at, urgent))| draw(&mut rng, o, n, at, urgent))
        .collect()
}

fn draw(rng: &mut StdRng, o: &RunOptions, number: usize, at: f64, urgent: bool) -> Plan {
    let run_s = o.run_s * rng.random_range(0.7..1.3);
    let image = rng.random_range(0..IMAGES);
    let cancelled = !urgent && rng.random_bool(o.cancelled);
    let spec = JobSpec {
        id: JobId::from(format!("job-{number:06}").as_str()),
        class: if urgent { URGENT } else { ORDINARY }.into(),
        team: team(rng.random_range(0..o.teams)),
        kind: Kind::Array,
        priority: if urgent {
            Priority::High
        } else {
            Priority::Normal
        },
        tasks: if urgent { 1 } else { o.job_tasks },
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
        deadline_s: None,
        limit_s: None,
        after: vec![],
        needs: vec![],
    };
    Plan {
        spec,
        at: Duration::from_secs_f64(at),
        run: Duration::from_secs_f64(run_s),
        cancel_after: cancelled.then(|| Duration::from_secs_f64(rng.random_range(0.2..o.run_s))),
        repeated: rng.random_bool(0.05),
    }
}
