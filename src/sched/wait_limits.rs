//! How long a job may wait while some machine has room for it. Several rules keep room
//! from a job for the good of others: a rental that would suit it better, a machine
//! that has failed it, room for quick classes, machines for a gang. Each of them is
//! meant to be short, and none has an end of its own. A job that has waited for
//! [`PATIENCE`] is bound by none of them, so that it is left waiting for no more
//! than 90 s.

use super::Scheduler;
use super::job::Job;
use super::machine::{Allocation, Machine};
use crate::time::{Span, Time};

/// A job that waits for longer takes any room that it may run on.
const MAX_RULE_WAIT: Span = Span(70_000_000);
/// A machine is kept free for a gang for so long; then it is for who is overdue, too.
/// Long enough for those to empty that the gang counts on.
const MAX_GANG_RESERVATION: Span = Span(80_000_000);
/// A faulty machine that can't be given back is tried again after so long.
const QUARANTINE_TIME: Span = Span(60_000_000);
/// A task that exceeds its estimate by more is not expected to end soon.
const MAX_OVERRUN: Span = Span(60_000_000);
/// A task of a job that failed everywhere works if it has run for so long.
const HEALTHY_RUN_TIME: Span = Span(20_000_000);

impl Job {
    /// Some of it has waited for room for as long as it may.
    pub(super) fn waited_too_long(&self, now: Time) -> bool {
        self.waiting_since.is_some_and(|t| now - t >= MAX_RULE_WAIT)
    }

    /// The same, and nothing of it was started meanwhile.
    pub(super) fn waited_without_start(&self, now: Time) -> bool {
        let started = self.active.values().map(|l| l.placed).max();
        self.waited_too_long(now) && started.is_none_or(|t| now - t >= MAX_RULE_WAIT)
    }

    /// One of its tasks runs as it should, whatever failed before.
    pub(super) fn has_healthy_task(&self, now: Time) -> bool {
        let since = self.active.values().filter_map(|l| l.running_since);
        since.min().is_some_and(|t| now - t >= HEALTHY_RUN_TIME)
    }
}

impl Machine {
    /// It has been kept free for gangs for as long as it may be.
    pub(super) fn reservation_expired(&self, now: Time) -> bool {
        self.reserved_for_gangs_since
            .is_some_and(|t| now - t >= MAX_GANG_RESERVATION)
    }

    /// It is put aside no longer; the next error puts it aside again.
    pub(super) fn end_quarantine(&mut self, now: Time) {
        if self.quarantined && now - self.quarantined_at >= QUARANTINE_TIME {
            self.quarantined = false;
            self.failures = self.failures.saturating_sub(1);
        }
    }
}

impl Allocation {
    /// The task is expected to end within that time.
    pub(super) fn ends_within(&self, now: Time, within: Span) -> bool {
        self.remaining(now) < within && !self.overran_estimate(now)
    }

    /// It has exceeded its estimate for so long that its end is not to be foreseen.
    pub(super) fn overran_estimate(&self, now: Time) -> bool {
        now - self.start > self.estimate + MAX_OVERRUN
    }
}

impl Scheduler {
    /// Since when each job waits.
    pub(super) fn update_waiting_since(&mut self, now: Time) {
        for j in self.jobs.values_mut() {
            j.waiting_since = match j.pending() > 0 {
                true => j.waiting_since.or(Some(now)),
                false => None,
            };
        }
    }
}
