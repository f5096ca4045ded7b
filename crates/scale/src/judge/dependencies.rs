//! The rules about jobs that need others (DAG dependencies).

use super::{Judge, Rule};
use crate::workload::Plan;
use hookworks::ids::{JobId, TaskId};
use hookworks::wire::user::JobState;
use std::collections::HashSet;
use std::time::Instant;

impl Judge {
    /// A task has started: all that its job needs must be done.
    pub(super) fn check_needs(&mut self, now: Instant, task: &TaskId, plan: &Plan) {
        let is_done = |need: &&JobId| self.jobs.get(*need).is_some_and(|r| r.is_done());
        let unmet = plan.spec.dependencies.iter().find(|need| !is_done(need));
        if let Some(need) = unmet {
            let what = format!("{task} started before {need} was done");
            self.record_breach(Rule::TooEarly, now, what);
        }
    }

    /// A submission was refused: not because of a job that it needs and that was
    /// accepted before.
    pub(super) fn check_refused(&mut self, asked: Instant, now: Instant, job: &JobId) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        let was_accepted = |need: &JobId| {
            let accepted = self.jobs.get(need).and_then(|r| r.accepted);
            accepted.is_some_and(|at| at <= asked)
        };
        let needs = &record.plan.spec.dependencies;
        if !needs.is_empty() && needs.iter().all(was_accepted) {
            let what = format!("{job} is refused, and all that it needs was accepted");
            self.record_breach(Rule::Forgotten, now, what);
        }
    }

    /// A job was called queued or running: no job that it needs may have been
    /// told to be cancelled for long when its user asked.
    pub(super) fn check_orphaned(
        &mut self,
        asked: Instant,
        now: Instant,
        job: &JobId,
        state: JobState,
    ) {
        let is_late = |need: &&JobId| {
            let record = self.jobs.get(*need);
            record.is_some_and(|r| r.is_cancelled_for_longer(asked, self.cancel_within))
        };
        let needs = self.needs_of(job);
        if let Some(need) = needs.iter().find(is_late) {
            let what = format!("{job} is called {state:?}, but {need} is cancelled");
            self.record_breach(Rule::Orphaned, now, what);
        }
    }

    /// Its user cancelled the job, or one that it needs, directly or through
    /// others, and of which nobody was told that it is done.
    pub(super) fn may_be_cancelled(&self, job: &JobId) -> bool {
        let asked = |job: &JobId| self.jobs.get(job).is_some_and(|r| r.asked_to_cancel);
        asked(job) || self.needs_of(job).iter().any(asked)
    }

    /// All jobs that a job needs, directly or through others, up to those that
    /// were told to be done.
    fn needs_of(&self, job: &JobId) -> Vec<JobId> {
        let mut seen: HashSet<&JobId> = HashSet::new();
        let mut to_visit = vec![job];
        while let Some(next) = to_visit.pop() {
            let Some(record) = self.jobs.get(next) else {
                continue;
            };
            let open = |need: &&JobId| !self.was_told_done(need);
            for need in record.plan.spec.dependencies.iter().filter(open) {
                if seen.insert(need) {
                    to_visit.push(need);
                }
            }
        }
        seen.into_iter().cloned().collect()
    }

    fn was_told_done(&self, job: &JobId) -> bool {
        let told = self.jobs.get(job).and_then(|r| r.final_state);
        told.is_some_and(|(_, state)| state == JobState::Done)
    }
}
