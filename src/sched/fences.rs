//! Fences: zones whose workers are not answered, on record, so that a leader elected
//! while a zone is lost knows how long ago the leases there began to expire, and need
//! not count them from its own election.
//!
//! The record of epoch `n` says of a zone: no leader of an epoch up to `n` has
//! answered any of its workers since then, nor will one while this stands. Who
//! has written so answers them only once it is stored that it no longer holds.
//! A later leader relies on the record of the very epoch before its own and on
//! no other: a leader in between may have answered without knowing of it.

use super::Sched;
use super::machine::Machine;
use crate::ids::{Epoch, Zone};
use crate::time::{Span, Time, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The record, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The leadership that has written it.
    pub epoch: Epoch,
    /// The last moment at which one of the zone's workers may have been
    /// answered, in milliseconds of the time of day.
    pub since: BTreeMap<Zone, u64>,
}

impl FenceRecord {
    /// As many zones as so many bytes hold. Nothing is known of one that is left
    /// out, so that the next leader waits for its leases from its own beginning.
    pub fn within(mut self, bytes: usize) -> FenceRecord {
        while self.since.len() > 1
            && serde_json::to_string(&self).is_ok_and(|text| text.len() > bytes)
        {
            self.since.pop_last();
        }
        self
    }
}

/// What is on record, what is to be, and what earlier terms left.
#[derive(Default)]
pub struct Fences {
    /// Zones that are not answered, since when.
    wanted: BTreeMap<Zone, WallTime>,
    /// Zones that the state service may name under our epoch.
    written: BTreeSet<Zone>,
    /// Counts the changes of `wanted`.
    version: u64,
    /// The version that was given out to be written.
    sent: u64,
    /// The version that is stored.
    stored: u64,
    /// What the leader before us left, as moments of our clock.
    inherited: BTreeMap<Zone, Time>,
    /// When a worker of a zone was last answered by this leader.
    answered: BTreeMap<Zone, Time>,
}

impl Fences {
    /// A worker there must not be answered: the record that says so stands, or
    /// may do so.
    pub fn closed(&self, zone: &Zone) -> bool {
        self.written.contains(zone)
    }

    /// A worker of the zone is answered.
    pub fn note_answer(&mut self, zone: &Zone, now: Time) {
        match self.answered.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.answered.insert(zone.clone(), now);
            }
        }
    }

    /// When a worker of the zone that this leader never heard may have been answered
    /// last, if the leader before us left word of it.
    pub fn inherited(&self, zone: &Zone) -> Option<Time> {
        self.inherited.get(zone).copied()
    }

    /// The record to be written next, with its version.
    pub fn next_write(&mut self, epoch: Epoch) -> Option<(FenceRecord, u64)> {
        if self.sent == self.version {
            return None;
        }
        self.sent = self.version;
        self.written.extend(self.wanted.keys().cloned());
        let wanted = self.wanted.iter();
        let since = wanted.map(|(zone, since)| (zone.clone(), since.0));
        let since = since.collect();
        Some((FenceRecord { epoch, since }, self.version))
    }

    /// The record could not be written, as far as is known.
    pub fn again(&mut self) {
        self.sent = self.stored;
    }

    /// That version of the record is stored.
    pub fn stored(&mut self, version: u64) {
        self.stored = self.stored.max(version);
        // What is on record is what was wanted, if nothing has changed since.
        if self.stored == self.version {
            self.written = self.wanted.keys().cloned().collect();
        }
    }

    /// A machine that this leader never heard was not answered later than its zone
    /// was, if the leader before us left word of that.
    pub fn bound(&self, machine: &mut Machine) {
        if machine.reported_at.is_none()
            && let Some(at) = self.inherited(&machine.zone)
        {
            machine.answered = machine.answered.min(at);
            // Nor was it heard: that would have lowered the fence.
            machine.heard = machine.heard.min(at);
            machine.reached = machine.reached.min(at);
        }
    }

    fn raise(&mut self, zone: Zone, since: WallTime) {
        self.wanted.insert(zone, since);
        self.version += 1;
    }
}

/// A time of day on our clock, never too early: both clocks may be off, in
/// opposite directions. It may lie ahead, where an earlier leader could still answer.
fn moment(now: Time, wall: WallTime, at: WallTime, clock_error: Span) -> Time {
    let error = Span(2 * clock_error.0);
    if at.0 > wall.0 {
        return now + Span::millis(at.0 - wall.0).stretched() + error;
    }
    let ago = Span::millis(wall.0 - at.0).shrunk() - error;
    Time(now.0.saturating_sub(ago.0))
}

impl Sched {
    /// The record of fenced zones, if it is to be written, and its version.
    pub fn fences_to_write(&mut self) -> Option<(FenceRecord, u64)> {
        self.fences.next_write(self.epoch)
    }

    /// That record could not be written, as far as is known.
    pub fn fences_again(&mut self) {
        self.fences.again();
    }

    /// Takes the record that was stored when this leadership began. The time of day
    /// must have been read no later than `now`: what follows from it is then never too
    /// early.
    pub fn take_fences(&mut self, now: Time, wall: WallTime, record: FenceRecord) {
        if record.epoch.0 + 1 != self.epoch.0 {
            return;
        }
        for (zone, since) in record.since {
            let at = moment(now, wall, WallTime(since), self.cfg.clock_error);
            let ago_s = now.0 as f64 / 1e6 - at.0 as f64 / 1e6;
            tracing::info!(%zone, ago_s, "not answered under the term before");
            self.fences.inherited.insert(zone.clone(), at);
            // On record again under this epoch, for the next leader.
            self.fences.raise(zone, WallTime(since));
        }
    }

    /// The zone's workers are not answered from now on.
    /// To be called with the tick that told the time of day.
    pub(super) fn raise_fence(&mut self, now: Time, zone: &Zone) {
        let inherited = self.fences.inherited(zone);
        let answered = self.fences.answered.get(zone).copied();
        let at = answered.or(inherited).unwrap_or(self.began);
        // Earlier leaders may have gone on for a while after our beginning, but
        // for those of which the leader before us left word.
        let earlier = inherited.unwrap_or(self.began + self.cfg.report_grace());
        let at = at.max(earlier);
        // The time of day was told with this very moment, or read after it:
        // what goes on record is never too early.
        let since = if at >= now {
            self.wall.0 + (at - now).0.div_ceil(1000)
        } else {
            self.wall.0.saturating_sub((now - at).0 / 1000)
        };
        self.fences.raise(zone.clone(), WallTime(since));
    }

    /// One of its workers is heard: it is answered once that is on record.
    pub(super) fn lower_fence(&mut self, zone: &Zone) {
        self.fences.inherited.remove(zone);
        if self.fences.wanted.remove(zone).is_some() {
            self.fences.version += 1;
        }
    }
}
