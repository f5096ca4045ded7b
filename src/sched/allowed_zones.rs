//! In which zones another task of a job may start, if the job's tasks bear on each
//! other's zones. Judged against all of its tasks that may still be somewhere, once
//! for a job: asked for each machine, it made the work of a pass grow with machines
//! times tasks times tasks.

use super::Scheduler;
use super::job::Job;
use crate::ids::Zone;
use std::collections::{BTreeMap, BTreeSet};

/// The zones that are open for another task of a job.
pub(super) enum AllowedZones {
    /// Any zone.
    All,
    /// The zone in which all of its tasks are.
    Only(Zone),
    /// All but those that hold as many of its tasks as they may.
    AllBut(BTreeSet<Zone>),
    /// None: a task of it may be in any zone.
    Unknown,
}

impl AllowedZones {
    /// Judged against the tasks of the job as they are now.
    pub fn of(s: &Scheduler, job: &Job) -> AllowedZones {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return AllowedZones::All;
        }
        let mut counts: BTreeMap<&Zone, u32> = BTreeMap::new();
        for live in job.active.values() {
            match s.machines.get(&live.host) {
                Some(m) if !m.zone.as_str().is_empty() => *counts.entry(&m.zone).or_default() += 1,
                _ => return AllowedZones::Unknown,
            }
        }
        let most = spec.tasks.div_ceil(2);
        let full = |count: u32| spec.spread && count >= most;
        if !spec.one_zone {
            let closed = counts.iter().filter(|(_, count)| full(**count));
            return AllowedZones::AllBut(closed.map(|(zone, _)| (*zone).clone()).collect());
        }
        let mut zones = counts.iter();
        match (zones.next(), zones.next()) {
            (None, _) => AllowedZones::All,
            (Some((zone, count)), None) if !full(*count) => AllowedZones::Only((*zone).clone()),
            _ => AllowedZones::Unknown,
        }
    }

    /// Another task may start in this zone.
    pub fn contains(&self, zone: &Zone) -> bool {
        match self {
            AllowedZones::All => true,
            AllowedZones::Only(only) => only == zone,
            AllowedZones::AllBut(closed) => !closed.contains(zone),
            AllowedZones::Unknown => false,
        }
    }
}
