//! No job is left waiting while a machine has room for it: judged once a second, from
//! what the stand-ins themselves hold, once all troubles are over.

use super::rules::Told;
use super::worker::Worker;
use super::{S, World};
use hookworks::ids::*;
use hookworks::store::{final_key, part_key};
use hookworks::wire::user::{ConditionTrigger, JobKind, JobSpec, JobState};
use std::collections::{BTreeMap, BTreeSet};

/// A job may wait so long beside a machine with room for it.
const LEFT_FOR: u64 = 90 * S;
const JUDGE_EVERY: u64 = S;

/// Where one task of a job fits; of a gang, all of its tasks fit as a whole.
type Place = Option<Host>;

#[derive(Default)]
pub(super) struct IdleRoom {
    judged: u64,
    /// Since when a job has waited while there was room at that place.
    since: BTreeMap<(JobId, Place), u64>,
}

impl World {
    pub(super) fn check_idle_room(&mut self) {
        let due = self.idle_room.judged + JUDGE_EVERY;
        if self.quiet_since.is_none() || self.now < due {
            return;
        }
        self.idle_room.judged = self.now;
        let now = self.now;
        let open = self.jobs_with_room();
        let since = &mut self.idle_room.since;
        since.retain(|waits, _| open.contains(waits));
        for waits in open {
            let from = *since.entry(waits.clone()).or_insert(now);
            if now - from >= LEFT_FOR {
                let (id, place) = &waits;
                self.broken.push(format!("neglected: {id} {place:?}"));
                since.insert(waits, now);
            }
        }
    }

    /// Jobs that could start something, and where.
    fn jobs_with_room(&self) -> BTreeSet<(JobId, Place)> {
        let mut used: BTreeMap<&Team, (f64, f64)> = BTreeMap::new();
        let mut placed: BTreeMap<&JobId, Vec<(&TaskId, &Worker)>> = BTreeMap::new();
        for w in self.workers.values() {
            for t in w.unfinished() {
                let s = &self.specs[&t.job];
                let of_team = used.entry(&s.team).or_default();
                (of_team.0, of_team.1) = (of_team.0 + s.cpus, of_team.1 + s.gpus);
                placed.entry(&t.job).or_default().push((t, w));
            }
        }
        let mut all = BTreeSet::new();
        for (id, told) in &self.told {
            let Some(s) = self.specs.get(id).filter(|_| self.may_start(id, told)) else {
                continue;
            };
            let none = vec![];
            let placed = placed.get(id).unwrap_or(&none);
            let waiting = self.waiting_tasks(s, placed);
            let used = used.get(&s.team).copied().unwrap_or_default();
            if waiting == 0 || self.team_allows(s, used) == 0 {
                continue;
            }
            if s.kind == JobKind::Gang {
                let whole = placed.is_empty() && self.team_allows(s, used) >= s.tasks;
                if whole && self.gang_fits(s) {
                    all.insert((id.clone(), None));
                }
                continue;
            }
            let fits = |w: &&Worker| self.takes(w, s) > 0 && zone_suits(s, &w.zone, placed);
            let hosts = self.workers.values().filter(fits);
            all.extend(hosts.map(|w| (id.clone(), Some(w.host.clone()))));
        }
        all
    }

    /// Accepted, neither over nor called off nor held, and its conditions are met.
    fn may_start(&self, id: &JobId, told: &Told) -> bool {
        if !told.accepted || told.over.is_some() || told.cancel_asked {
            return false;
        }
        if self.unmet_need(id).is_some() || self.needs.cancel_asked_before(id) {
            return false;
        }
        let read = |key: String| self.store.read(&key).ok().flatten().map(|i| i.value);
        let held = |v: &serde_json::Value| v.get("holds").is_some();
        let over = read(final_key(id)).is_some();
        if over || read(part_key(id, 0)).as_ref().is_some_and(held) {
            return false;
        }
        let met = |key: String, when: ConditionTrigger| {
            let state = read(key).and_then(|v| serde_json::from_value(v["state"].clone()).ok());
            match when {
                ConditionTrigger::Success => state == Some(JobState::Done),
                _ => state.is_some(),
            }
        };
        let after = &self.specs[id].start_conditions;
        after.iter().all(|a| met(final_key(&a.job), a.when))
    }

    /// Tasks of the job that are neither done nor on any machine.
    fn waiting_tasks(&self, s: &JobSpec, placed: &[(&TaskId, &Worker)]) -> u32 {
        let waits = |ix: &u32| {
            let t = TaskId {
                job: s.id.clone(),
                index: TaskIndex(*ix),
            };
            !self.done_tasks.contains(&t) && placed.iter().all(|(p, _)| **p != t)
        };
        (0..s.tasks).filter(waits).count() as u32
    }

    /// How many tasks of the job its team may start beside what it uses.
    fn team_allows(&self, s: &JobSpec, used: (f64, f64)) -> u32 {
        let (cpus, gpus) = match s.team.as_str() {
            "red" => (12.0, 3.0),
            _ => (16.0, f64::INFINITY),
        };
        let times = |limit: f64, used: f64, need: f64| match need > 0.0 {
            true => ((limit * self.wealth - used) / need + 1e-6).max(0.0) as u32,
            false => u32::MAX,
        };
        times(cpus, used.0, s.cpus).min(times(gpus, used.1, s.gpus))
    }

    /// How many tasks of the job the machine has room for.
    fn takes(&self, w: &Worker, s: &JobSpec) -> u32 {
        let well = w.up && !(w.cut || w.hangs || w.deaf || w.sick);
        let allowed = (s.spot || !w.spot) && s.zone.as_ref().is_none_or(|z| *z == w.zone);
        match well && allowed {
            true => w.room_for(s, &self.specs),
            false => 0,
        }
    }

    fn gang_fits(&self, s: &JobSpec) -> bool {
        let mut by_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
        for w in self.workers.values() {
            *by_zone.entry(&w.zone).or_default() += self.takes(w, s);
        }
        match s.one_zone {
            true => by_zone.values().any(|n| *n >= s.tasks),
            false => by_zone.values().sum::<u32>() >= s.tasks,
        }
    }
}

/// The zone is allowed, given where the other tasks of the job are.
fn zone_suits(s: &JobSpec, zone: &Zone, placed: &[(&TaskId, &Worker)]) -> bool {
    let here = placed.iter().filter(|(_, w)| w.zone == *zone).count();
    let elsewhere = s.one_zone && here < placed.len();
    let crowded = s.spread && here >= s.tasks.div_ceil(2) as usize;
    !(elsewhere || crowded)
}
