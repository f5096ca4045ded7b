//! Users of pipelines: they submit the jobs one after another, each as soon as those
//! that it needs are accepted, by way of any controller; some submit the last one only
//! when the others are over. Some pipelines are cancelled at one of their jobs.

use super::needs::NEEDS;
use super::{Ev, S, World};
use hookworks::ids::*;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobSpec, JobState};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

/// A user looks so often at what it may send next.
const LOOKS_EVERY_S: f64 = 0.4;
/// Submissions that one user sends at a time.
const SENT_AT_A_TIME: usize = 8;
/// A user waits so long for an answer before it sends again.
const SENDS_AGAIN_S: (f64, f64) = (1.0, 3.0);
const POLLS_EVERY_S: (f64, f64) = (3.0, 7.0);
/// A cancellation comes so long after the first submission, at most.
const CANCELS_WITHIN_S: f64 = 60.0;

/// How the jobs of a pipeline need each other. Each has as many tasks as its user likes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// So many jobs, each of which needs the one before.
    Chain(usize),
    /// One job, so many that need it, and one that needs all of those.
    Fan(usize),
    /// Layers of so many jobs, each of which needs some of the layer before.
    Layers(usize, usize),
}

impl Shape {
    /// For each job the numbers of those that it needs.
    fn needs(self, rng: &mut StdRng) -> Vec<BTreeSet<usize>> {
        match self {
            Shape::Chain(jobs) => (0..jobs)
                .map(|n| n.checked_sub(1).into_iter().collect())
                .collect(),
            Shape::Fan(width) => {
                let mut all = vec![BTreeSet::new()];
                all.extend((0..width).map(|_| BTreeSet::from([0])));
                all.push((1..=width).collect());
                all
            }
            Shape::Layers(layers, width) => {
                let mut some = |n: usize| -> BTreeSet<usize> {
                    let Some(from) = (n / width).checked_sub(1).map(|l| l * width) else {
                        return BTreeSet::new();
                    };
                    (from..from + width)
                        .filter(|_| rng.random_bool(0.6))
                        .collect()
                };
                (0..layers * width).map(&mut some).collect()
            }
        }
    }
}

/// One job of a pipeline and what its user has made of it so far.
struct Stage {
    id: JobId,
    needs: BTreeSet<JobId>,
    body: Vec<u8>,
    /// It is sent only when all that it needs is over.
    after_end: bool,
    sends_at: u64,
    polls_at: u64,
}

struct Pipeline {
    stages: Vec<Stage>,
    /// The job at which its user cancels it, and when.
    cancels: Option<(JobId, u64)>,
}

/// All pipelines, with draws of their own, so that other stories go on as they were.
pub struct Pipelines {
    all: Vec<Pipeline>,
    rng: StdRng,
    /// Share of the pipelines that are cancelled at some job.
    pub cancelled: f64,
    /// Share of the pipelines of which the last job is sent only when the others are over.
    pub last_after_end: f64,
    /// Chance that the first job of a pipeline needs a job of another user as well.
    pub linked: f64,
    /// A fault put in: users don't wait until all controllers are new.
    pub before_all_new: bool,
}

impl Pipelines {
    pub(super) fn new(seed: u64) -> Pipelines {
        Pipelines {
            all: vec![],
            rng: StdRng::seed_from_u64(seed),
            cancelled: 0.1,
            last_after_end: 0.2,
            linked: 0.3,
            before_all_new: false,
        }
    }

    /// All jobs of all pipelines.
    pub fn jobs(&self) -> Vec<JobId> {
        let stages = self.all.iter().flat_map(|p| &p.stages);
        stages.map(|s| s.id.clone()).collect()
    }
}

impl World {
    /// A user begins in `in_s` seconds to submit jobs of that shape, which are numbered
    /// from `first`; `change` says what each is like. Returns their names.
    pub fn pipeline_of(
        &mut self,
        in_s: f64,
        first: u64,
        shape: Shape,
        mut change: impl FnMut(usize, &mut JobSpec),
    ) -> Vec<JobId> {
        let needs = shape.needs(&mut self.pipelines.rng);
        let mut specs: Vec<JobSpec> = (0..needs.len())
            .map(|n| super::job(first + n as u64, 1))
            .collect();
        for (n, spec) in specs.iter_mut().enumerate() {
            change(n, spec);
        }
        let ids: Vec<JobId> = specs.iter().map(|s| s.id.clone()).collect();
        let mut named: Vec<BTreeSet<JobId>> = needs
            .iter()
            .map(|of| of.iter().map(|n| ids[*n].clone()).collect())
            .collect();
        if let Some(other) = self.job_of_another_user() {
            named[0].insert(other);
        }
        self.begin_pipeline(in_s, specs, named);
        ids
    }

    /// Some job that was accepted, of whatever team and in whatever state, drawn
    /// now and then.
    fn job_of_another_user(&mut self) -> Option<JobId> {
        let linked = self.pipelines.linked;
        if linked == 0.0 || !self.pipelines.rng.random_bool(linked) {
            return None;
        }
        let ends = |id: &&JobId| {
            let spec = self.specs.get(*id);
            spec.is_some_and(|s| s.kind != hookworks::wire::user::JobKind::Service)
        };
        let accepted = self.told.iter().filter(|(_, t)| t.accepted);
        let known: Vec<&JobId> = accepted.map(|(id, _)| id).filter(ends).collect();
        if known.is_empty() {
            return None;
        }
        let n = self.pipelines.rng.random_range(0..known.len());
        Some(known[n].clone())
    }

    fn begin_pipeline(&mut self, in_s: f64, specs: Vec<JobSpec>, needs: Vec<BTreeSet<JobId>>) {
        let late = self.pipelines.last_after_end;
        let last = match self.pipelines.rng.random_bool(late) {
            true => specs.len() - 1,
            false => usize::MAX,
        };
        let mut stages = vec![];
        for (n, (spec, needs)) in specs.into_iter().zip(needs).enumerate() {
            let body = submission(&spec, &needs);
            let parsed = JobSpec::parse(&body).expect("a submission as it should be");
            self.specs.insert(spec.id.clone(), parsed);
            stages.push(Stage {
                id: spec.id,
                needs,
                body,
                after_end: n == last,
                sends_at: 0,
                polls_at: 0,
            });
        }
        let begins = self.now + (in_s * S as f64) as u64;
        let cancelled = self.pipelines.cancelled;
        let rng = &mut self.pipelines.rng;
        let cancels = rng.random_bool(cancelled).then(|| {
            let stage = &stages[rng.random_range(0..stages.len())];
            let after_s = rng.random_range(0.0..CANCELS_WITHIN_S);
            (stage.id.clone(), begins + (after_s * S as f64) as u64)
        });
        self.pipelines.all.push(Pipeline { stages, cancels });
        self.at(in_s, Ev::Pipeline(self.pipelines.all.len() - 1));
    }

    /// The user of this pipeline looks at what it knows, and sends what is next.
    pub(super) fn pipeline(&mut self, n: usize) {
        let mut pipelines = std::mem::take(&mut self.pipelines.all);
        let pipeline = &mut pipelines[n];
        self.send_next(pipeline);
        self.poll_accepted(pipeline);
        self.cancel_if_due(pipeline);
        let over = pipeline.stages.iter().all(|s| self.is_told_over(&s.id));
        self.pipelines.all = pipelines;
        if !over {
            self.at(LOOKS_EVERY_S, Ev::Pipeline(n));
        }
    }

    pub fn is_told_accepted(&self, id: &JobId) -> bool {
        self.told.get(id).is_some_and(|t| t.accepted)
    }

    /// The end that a user was told of, if any was.
    pub fn told_over(&self, id: &JobId) -> Option<JobState> {
        self.told.get(id).and_then(|t| t.over)
    }

    fn is_told_over(&self, id: &JobId) -> bool {
        self.told_over(id).is_some()
    }

    fn send_next(&mut self, pipeline: &mut Pipeline) {
        // Nothing new is asked of the service before all controllers are new.
        if !self.all_new() && !self.pipelines.before_all_new {
            return;
        }
        let mut sent = 0;
        for stage in &mut pipeline.stages {
            let needs_met = stage.needs.iter().all(|n| match stage.after_end {
                true => self.is_told_over(n),
                false => self.is_told_accepted(n),
            });
            let waits = self.is_told_accepted(&stage.id) || self.now < stage.sends_at;
            if waits || !needs_met || sent == SENT_AT_A_TIME {
                continue;
            }
            sent += 1;
            stage.sends_at = self.now + self.pause(SENDS_AGAIN_S);
            self.ask_any(Request::Submit(stage.body.clone()));
        }
    }

    fn poll_accepted(&mut self, pipeline: &mut Pipeline) {
        for stage in &mut pipeline.stages {
            let over = self.is_told_over(&stage.id);
            if over || !self.is_told_accepted(&stage.id) || self.now < stage.polls_at {
                continue;
            }
            stage.polls_at = self.now + self.pause(POLLS_EVERY_S);
            self.ask_any(Request::Poll(stage.id.to_string()));
        }
    }

    fn cancel_if_due(&mut self, pipeline: &mut Pipeline) {
        let Some((id, at)) = &mut pipeline.cancels else {
            return;
        };
        if self.now < *at || !self.is_told_accepted(id) || self.is_told_over(id) {
            return;
        }
        *at = self.now + self.pause(SENDS_AGAIN_S);
        let ask = Request::Cancel(id.to_string());
        self.ask_any(ask);
    }

    fn pause(&mut self, (least, most): (f64, f64)) -> u64 {
        (self.pipelines.rng.random_range(least..most) * S as f64) as u64
    }

    /// By way of any controller, now.
    fn ask_any(&mut self, ask: Request) {
        let via = self.pipelines.rng.random_range(0..self.ctls.len());
        self.at(0.0, Ev::UserVia(via, ask));
    }
}

/// What a user sends to submit a job that needs these.
pub fn submission(spec: &JobSpec, needs: &BTreeSet<JobId>) -> Vec<u8> {
    let mut body = serde_json::to_value(spec).unwrap();
    if !needs.is_empty() {
        body[NEEDS] = needs.iter().map(JobId::as_str).collect();
    }
    body.to_string().into_bytes()
}
