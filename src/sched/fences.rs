//! Zones whose workers are not answered, on record: so that a leader elected
//! while a zone is lost knows how long ago the leases there began to run out,
//! and need not count them from its own election.
//!
//! The record of term `n` says of a zone: no leader of a term up to `n` has
//! answered any of its workers since then, nor will one while this stands. Who
//! has written so answers them only once it is stored that it no longer holds.
//! A later leader relies on the record of the very term before its own and on
//! no other: a term in between may have answered without knowing of it.

use super::Sched;
use super::machine::Machine;
use crate::ids::{Epoch, Zone};
use crate::time::{Span, Time, Wall};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The record, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FenceRecord {
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
    /// Zones that are not answered.
    wanted: BTreeMap<Zone, Wall>,
    /// Zones that the store may name under our term.
    written: BTreeSet<Zone>,
    ver: u64,
    sent: u64,
    stored: u64,
    /// What the term before ours left, as moments of our clock.
    inherited: BTreeMap<Zone, Time>,
    /// When a worker of a zone was last answered in this term.
    answered: BTreeMap<Zone, Time>,
}

impl Fences {
    /// A worker there must not be answered: the record that says so stands, or
    /// may do so.
    pub fn closed(&self, z: &Zone) -> bool {
        self.written.contains(z)
    }

    pub fn note_answer(&mut self, z: &Zone, now: Time) {
        match self.answered.get_mut(z) {
            Some(t) => *t = now,
            None => {
                self.answered.insert(z.clone(), now);
            }
        }
    }

    /// When a worker of the zone that was never heard in this term may have been
    /// answered last, if the term before ours left word of it.
    pub fn inherited(&self, z: &Zone) -> Option<Time> {
        self.inherited.get(z).copied()
    }

    /// The record to be written next, with its version.
    pub fn next_write(&mut self, epoch: Epoch) -> Option<(FenceRecord, u64)> {
        if self.sent == self.ver {
            return None;
        }
        self.sent = self.ver;
        self.written.extend(self.wanted.keys().cloned());
        let since = self.wanted.iter().map(|(z, w)| (z.clone(), w.0)).collect();
        Some((FenceRecord { epoch, since }, self.ver))
    }

    /// It could not be written, as far as is known.
    pub fn again(&mut self) {
        self.sent = self.stored;
    }

    pub fn stored(&mut self, ver: u64) {
        self.stored = self.stored.max(ver);
        // What is on record is what was wanted, if nothing has changed since.
        if self.stored == self.ver {
            self.written = self.wanted.keys().cloned().collect();
        }
    }

    /// A machine that was never heard in this term was not answered later than
    /// its zone was, if the term before ours left word of that.
    pub fn bound(&self, m: &mut Machine) {
        if m.reported_at.is_none()
            && let Some(t) = self.inherited(&m.zone)
        {
            m.answered = m.answered.min(t);
            // Nor was it heard: that would have lowered the fence.
            m.heard = m.heard.min(t);
            m.reached = m.reached.min(t);
        }
    }
}

/// A time of day on our clock, never too early: both clocks may be off, in
/// opposite directions. It may lie ahead, where an earlier leader could still
/// answer: taken for now, it once ended leases six seconds early.
fn moment(now: Time, wall: Wall, at: Wall, clock_error: Span) -> Time {
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

    /// What the store held when this term began. The time of day must have been
    /// read no later than `now`: what follows from it is then never too early.
    pub fn take_fences(&mut self, now: Time, wall: Wall, r: FenceRecord) {
        if r.epoch.0 + 1 != self.epoch.0 {
            return;
        }
        for (z, since) in r.since {
            let at = moment(now, wall, Wall(since), self.cfg.clock_error);
            let ago_s = now.0 as f64 / 1e6 - at.0 as f64 / 1e6;
            tracing::info!(zone = %z, ago_s, "not answered under the term before");
            self.fences.inherited.insert(z.clone(), at);
            // On record again under this term, for the next.
            self.fences.wanted.insert(z, Wall(since));
            self.fences.ver += 1;
        }
    }

    /// The zone's workers are not answered from now on.
    /// To be called with the tick that told the time of day.
    pub(super) fn raise_fence(&mut self, now: Time, z: &Zone) {
        let ours = self.fences.answered.get(z).copied();
        let at = match (ours, self.fences.inherited(z)) {
            (Some(t), _) => t,
            (None, Some(t)) => t,
            (None, None) => self.began,
        };
        // Earlier terms may have gone on for a while after our beginning, but
        // for those of which the term before ours left word.
        let earlier = match self.fences.inherited(z) {
            Some(t) => t,
            None => self.began + self.cfg.report_grace(),
        };
        let at = at.max(earlier);
        // The time of day was told with this very moment, or read after it:
        // what goes on record is never too early.
        let since = match at >= now {
            true => self.wall.0 + (at - now).0.div_ceil(1000),
            false => self.wall.0.saturating_sub((now - at).0 / 1000),
        };
        self.fences.wanted.insert(z.clone(), Wall(since));
        self.fences.ver += 1;
    }

    /// One of its workers is heard: it is answered once that is on record.
    pub(super) fn lower_fence(&mut self, z: &Zone) {
        self.fences.inherited.remove(z);
        if self.fences.wanted.remove(z).is_some() {
            self.fences.ver += 1;
        }
    }
}
