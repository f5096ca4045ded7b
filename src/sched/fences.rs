//! Zone fences: a stored record of zones whose workers get no answers. With it a leader
//! elected during a zone outage knows when the leases there were last renewed and need
//! not count them from its own election.
//!
//! The record of epoch `n` states for a zone: no leader of an epoch up to `n` has
//! answered any of its workers since the given time, nor will while the record stands.
//! The leader that wrote it answers them only once the removal is stored. A later
//! leader relies only on the record of the epoch immediately before its own: a leader
//! in between may have answered workers without knowing of the record.

use super::Scheduler;
use super::machine::Machine;
use crate::ids::{Epoch, Zone};
use crate::time::{Span, Time, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The stored record of fenced zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The epoch of the leader that wrote it.
    pub epoch: Epoch,
    /// For each zone the last time at which one of its workers may have been answered,
    /// in milliseconds of wall-clock time.
    pub since: BTreeMap<Zone, u64>,
}

impl FenceRecord {
    /// Drops zones until the record fits into `bytes`. For a dropped zone the next
    /// leader counts the leases from its own election.
    pub fn truncated_to(mut self, bytes: usize) -> FenceRecord {
        while self.since.len() > 1
            && serde_json::to_string(&self).is_ok_and(|text| text.len() > bytes)
        {
            self.since.pop_last();
        }
        self
    }
}

/// Fences as stored, as wanted, and as inherited from the previous epoch.
#[derive(Default)]
pub struct Fences {
    /// Zones to be fenced, with the time of the last possible answer.
    wanted: BTreeMap<Zone, WallTime>,
    /// Zones that the stored record of our epoch may name.
    possibly_written: BTreeSet<Zone>,
    /// Incremented with each change of `wanted`.
    wanted_version: u64,
    /// The version last handed out for writing.
    sent_version: u64,
    /// The latest version known to be stored.
    stored_version: u64,
    /// Fences left by the previous leader, as times of our clock.
    inherited: BTreeMap<Zone, Time>,
    /// When a worker of a zone was last answered by this leader.
    last_answered: BTreeMap<Zone, Time>,
}

impl Fences {
    /// Whether workers of the zone must not be answered, because a record that names it
    /// is or may be stored.
    pub fn is_fenced(&self, zone: &Zone) -> bool {
        self.possibly_written.contains(zone)
    }

    /// Records an answer to a worker of the zone.
    pub fn note_answer(&mut self, zone: &Zone, now: Time) {
        match self.last_answered.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.last_answered.insert(zone.clone(), now);
            }
        }
    }

    /// The last time at which earlier leaders may have answered a worker of the zone,
    /// if the previous leader left a fence.
    pub fn inherited_since(&self, zone: &Zone) -> Option<Time> {
        self.inherited.get(zone).copied()
    }

    /// The record to be written next, with its version.
    pub fn next_write(&mut self, epoch: Epoch) -> Option<(FenceRecord, u64)> {
        if self.sent_version == self.wanted_version {
            return None;
        }
        self.sent_version = self.wanted_version;
        self.possibly_written.extend(self.wanted.keys().cloned());
        let wanted = self.wanted.iter();
        let since = wanted.map(|(zone, since)| (zone.clone(), since.0));
        let since = since.collect();
        Some((FenceRecord { epoch, since }, self.wanted_version))
    }

    /// The write failed or its outcome is unknown, so it must be repeated.
    pub fn write_failed(&mut self) {
        self.sent_version = self.stored_version;
    }

    /// That version of the record is stored.
    pub fn stored(&mut self, version: u64) {
        self.stored_version = self.stored_version.max(version);
        // The stored record equals `wanted` if nothing has changed since.
        if self.stored_version == self.wanted_version {
            self.possibly_written = self.wanted.keys().cloned().collect();
        }
    }

    /// Limits the lease and contact times of a machine that has not reported to this
    /// leader by the inherited fence of its zone.
    pub fn bound_machine_times(&self, machine: &mut Machine) {
        if machine.last_report.is_none()
            && let Some(at) = self.inherited_since(&machine.zone)
        {
            machine.last_renewal = machine.last_renewal.min(at);
            // It can't have been heard later either: that would have removed the fence.
            machine.last_heartbeat = machine.last_heartbeat.min(at);
            machine.last_contact = machine.last_contact.min(at);
        }
    }

    fn raise(&mut self, zone: Zone, since: WallTime) {
        self.wanted.insert(zone, since);
        self.wanted_version += 1;
    }
}

/// Converts wall-clock time `at` to our monotonic clock, never too early: both wall
/// clocks may be off in opposite directions. It may lie in the future, where an earlier
/// leader could still answer.
fn to_local_time(now: Time, wall: WallTime, at: WallTime, clock_error: Span) -> Time {
    let error = Span(2 * clock_error.0);
    if at.0 > wall.0 {
        return now + Span::millis(at.0 - wall.0).stretched() + error;
    }
    let ago = Span::millis(wall.0 - at.0).shrunk() - error;
    Time(now.0.saturating_sub(ago.0))
}

impl Scheduler {
    /// The record of fenced zones and its version, if it must be written.
    pub fn fences_to_write(&mut self) -> Option<(FenceRecord, u64)> {
        self.fences.next_write(self.epoch)
    }

    /// The write of that record failed or its outcome is unknown.
    pub fn fence_write_failed(&mut self) {
        self.fences.write_failed();
    }

    /// Loads the record stored when this leadership began; ignored unless it is of the
    /// previous epoch. `wall` must have been read no later than `now`, so that
    /// converted times are never too early.
    pub fn load_fences(&mut self, now: Time, wall: WallTime, record: FenceRecord) {
        if record.epoch.0 + 1 != self.epoch.0 {
            return;
        }
        for (zone, since) in record.since {
            let at = to_local_time(now, wall, WallTime(since), self.config.clock_error);
            let ago_s = now.0 as f64 / 1e6 - at.0 as f64 / 1e6;
            tracing::info!(%zone, ago_s, "zone was fenced by the previous leader");
            self.fences.inherited.insert(zone.clone(), at);
            // Recorded again under this epoch, for the next leader.
            self.fences.raise(zone, WallTime(since));
        }
    }

    /// Fences the zone: its workers get no answers from now on. Must be called in the
    /// tick that read the wall clock.
    pub(super) fn raise_fence(&mut self, now: Time, zone: &Zone) {
        let inherited = self.fences.inherited_since(zone);
        let answered = self.fences.last_answered.get(zone).copied();
        let at = answered.or(inherited).unwrap_or(self.leading_since);
        // Without an inherited fence, earlier leaders may have answered for the grace
        // period after our election.
        let earlier = inherited.unwrap_or(self.leading_since + self.config.report_grace());
        let at = at.max(earlier);
        // The wall clock was read at this time or later, so the recorded time is never
        // too early.
        let since = if at >= now {
            self.wall.0 + (at - now).0.div_ceil(1000)
        } else {
            self.wall.0.saturating_sub((now - at).0 / 1000)
        };
        self.fences.raise(zone.clone(), WallTime(since));
    }

    /// Removes the fence because a worker of the zone was heard; the worker is answered
    /// once the removal is stored.
    pub(super) fn lower_fence(&mut self, zone: &Zone) {
        self.fences.inherited.remove(zone);
        if self.fences.wanted.remove(zone).is_some() {
            self.fences.wanted_version += 1;
        }
    }
}
