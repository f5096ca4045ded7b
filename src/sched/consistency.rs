//! Consistency check: compares incrementally maintained totals with totals computed
//! from scratch.

use super::{Resources, Scheduler};
use crate::ids::Team;
use std::collections::BTreeMap;

impl Scheduler {
    /// Describes every inconsistency found; empty unless the scheduler has a bug.
    pub fn check_totals(&self) -> Vec<String> {
        let mut inconsistencies = vec![];
        let mut by_team: BTreeMap<&Team, Resources> = BTreeMap::new();
        let mut active_attempts = 0;
        for job in self.jobs.values() {
            for (ix, active) in &job.active {
                *by_team.entry(&job.spec.team).or_default() += job.need;
                active_attempts += 1;
                let task = crate::ids::TaskId {
                    job: job.id().clone(),
                    index: *ix,
                };
                let machine = self.machines.get(&active.host);
                if !machine.is_some_and(|machine| machine.allocations.contains_key(&task)) {
                    inconsistencies.push(format!("{task} has no allocation on {}", active.host));
                }
            }
            let listed = job.active.len() as u32 + job.done_count;
            if listed > job.spec.tasks {
                inconsistencies.push(format!(
                    "{}: {listed} tasks active or done, of {}",
                    job.id(),
                    job.spec.tasks
                ));
            }
        }
        let mut allocations = 0;
        for machine in self.machines.values() {
            let mut used = Resources::default();
            for allocation in machine.allocations.values() {
                used += allocation.need;
            }
            allocations += machine.allocations.len();
            if used != machine.used {
                inconsistencies.push(format!(
                    "{}: allocations sum up to {used}, recorded are {}",
                    machine.host, machine.used
                ));
            }
        }
        if allocations != active_attempts {
            inconsistencies.push(format!(
                "{allocations} allocations for {active_attempts} active attempts"
            ));
        }
        for (team, used) in by_team {
            let recorded = self.teams.used(team);
            if recorded.is_some_and(|recorded| recorded != used) {
                inconsistencies.push(format!(
                    "{team}: active attempts use {used}, recorded are {recorded:?}"
                ));
            }
        }
        inconsistencies
    }
}
