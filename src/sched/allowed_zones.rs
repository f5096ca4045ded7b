//! The zones in which another task of a job may start, if the job requires one zone or
//! a spread over zones. Computed once for a job against all of its attempts that may
//! still run: computed for each machine, the work of a pass grows with the number of
//! machines times the square of the number of tasks.

use super::Scheduler;
use super::job::Job;
use crate::ids::Zone;
use std::collections::{BTreeMap, BTreeSet};

/// The zones in which another task of a job may start.
pub(super) enum AllowedZones {
    /// Any zone.
    All,
    /// Only the zone in which all of its active tasks are.
    Only(Zone),
    /// All zones but those that hold as many of its tasks as they may.
    AllBut(BTreeSet<Zone>),
    /// None: the zone of one of its active tasks is not known, or no zone is left.
    Unknown,
}

impl AllowedZones {
    /// Computed from the tasks of the job that are active now.
    pub fn of(sched: &Scheduler, job: &Job) -> AllowedZones {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return AllowedZones::All;
        }
        let mut counts: BTreeMap<&Zone, u32> = BTreeMap::new();
        for live in job.active.values() {
            match sched.machines.get(&live.host) {
                Some(machine) if !machine.zone.as_str().is_empty() => {
                    *counts.entry(&machine.zone).or_default() += 1
                }
                _ => return AllowedZones::Unknown,
            }
        }
        let max_in_zone = spec.tasks.div_ceil(2);
        let full = |count: u32| spec.spread && count >= max_in_zone;
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

    /// Whether another task may start in this zone.
    pub fn contains(&self, zone: &Zone) -> bool {
        match self {
            AllowedZones::All => true,
            AllowedZones::Only(only) => only == zone,
            AllowedZones::AllBut(closed) => !closed.contains(zone),
            AllowedZones::Unknown => false,
        }
    }
}
