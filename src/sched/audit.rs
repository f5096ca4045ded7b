//! Sums that are kept up as things happen, held against the plain computation.

use super::{Room, Sched};
use crate::ids::Team;
use std::collections::BTreeMap;

impl Sched {
    /// What does not add up; nothing, unless there is a mistake in the code.
    pub fn audit(&self) -> Vec<String> {
        let mut wrong = vec![];
        let mut by_team: BTreeMap<&Team, Room> = BTreeMap::new();
        let mut lives = 0;
        for j in self.jobs.values() {
            for (t, l) in &j.live {
                *by_team.entry(&j.spec.team).or_default() += j.need;
                lives += 1;
                let task = crate::ids::TaskId {
                    job: j.id().clone(),
                    index: *t,
                };
                let m = self.machines.get(&l.host);
                if !m.is_some_and(|m| m.slots.contains_key(&task)) {
                    wrong.push(format!("{task} has no place on {}", l.host));
                }
            }
            let listed = j.live.len() as u32 + j.done_count;
            if listed > j.spec.tasks {
                wrong.push(format!("{}: {listed} of {}", j.id(), j.spec.tasks));
            }
        }
        let mut slots = 0;
        for m in self.machines.values() {
            let mut used = Room::default();
            for s in m.slots.values() {
                used += s.need;
            }
            slots += m.slots.len();
            if used != m.used {
                wrong.push(format!("{}: {used} in use, not {}", m.host, m.used));
            }
        }
        if slots != lives {
            wrong.push(format!("{slots} claims of {lives} attempts"));
        }
        for (team, used) in by_team {
            let kept = self.teams.used(team);
            if kept.is_some_and(|k| k != used) {
                wrong.push(format!("{team} uses {used}, not {kept:?}"));
            }
        }
        wrong
    }
}
