//! How far the users are with their pipelines: which job is submitted next.

use super::Pipeline;
use crate::workload::Plan;
use hookworks::ids::JobId;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// One pipeline on its way.
pub struct Progress {
    /// Jobs that are not submitted yet, each after those that it needs.
    to_submit: Vec<Arc<Plan>>,
    last: JobId,
    last_is_late: bool,
    accepted: HashSet<JobId>,
    /// Jobs but the last that are neither done nor cancelled.
    open: HashSet<JobId>,
}

impl Progress {
    /// A pipeline of which nothing is submitted; none if it has no jobs.
    pub fn new(pipeline: Pipeline) -> Option<Progress> {
        let last = pipeline.jobs.last()?.spec.id.clone();
        let ids = pipeline.jobs.iter().map(|p| p.spec.id.clone());
        Some(Progress {
            open: ids.filter(|id| *id != last).collect(),
            to_submit: pipeline.jobs.into_iter().map(Arc::new).collect(),
            last,
            last_is_late: pipeline.last_is_late,
            accepted: HashSet::new(),
        })
    }

    /// Takes out the jobs that can be submitted now: all that they need is
    /// accepted, and for a late last job, all others are over.
    pub fn take_ready(&mut self) -> Vec<Arc<Plan>> {
        let to_submit = std::mem::take(&mut self.to_submit);
        let (ready, rest) = to_submit.into_iter().partition(|p| self.is_ready(p));
        self.to_submit = rest;
        ready
    }

    fn is_ready(&self, plan: &Plan) -> bool {
        let is_held_back = self.last_is_late && plan.spec.id == self.last && !self.open.is_empty();
        !is_held_back
            && plan
                .spec
                .dependencies
                .iter()
                .all(|need| self.accepted.contains(need))
    }

    /// A job of it was accepted.
    pub fn accepted(&mut self, job: &JobId) -> Vec<Arc<Plan>> {
        self.accepted.insert(job.clone());
        self.take_ready()
    }

    /// The user was told that a job of it is done or cancelled.
    pub fn over(&mut self, job: &JobId) -> Vec<Arc<Plan>> {
        self.open.remove(job);
        self.take_ready()
    }
}

/// All pipelines of a run on their way.
#[derive(Default)]
pub struct Pipelines {
    progress: Vec<Progress>,
    of_job: HashMap<JobId, usize>,
}

impl Pipelines {
    /// Takes a pipeline in, and gives the jobs that are submitted first.
    pub fn begin(&mut self, pipeline: Pipeline) -> Vec<Arc<Plan>> {
        let ids: Vec<JobId> = pipeline.jobs.iter().map(|p| p.spec.id.clone()).collect();
        let Some(mut progress) = Progress::new(pipeline) else {
            return vec![];
        };
        let number = self.progress.len();
        self.of_job.extend(ids.into_iter().map(|id| (id, number)));
        let first = progress.take_ready();
        self.progress.push(progress);
        first
    }

    /// A job was accepted; gives those that are submitted next.
    pub fn accepted(&mut self, job: &JobId) -> Vec<Arc<Plan>> {
        let progress = self.progress_of(job);
        progress.map_or(vec![], |p| p.accepted(job))
    }

    /// A job is done or cancelled; gives those that are submitted next.
    pub fn over(&mut self, job: &JobId) -> Vec<Arc<Plan>> {
        let progress = self.progress_of(job);
        progress.map_or(vec![], |p| p.over(job))
    }

    fn progress_of(&mut self, job: &JobId) -> Option<&mut Progress> {
        let number = *self.of_job.get(job)?;
        self.progress.get_mut(number)
    }
}
