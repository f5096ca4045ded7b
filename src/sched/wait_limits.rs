//! Bounds on how long a job waits while some machine has resources for it. Several
//! rules keep a job from free resources for the sake of others: a rental that would
//! suit it better, a machine on which it failed, headroom for quick classes, machines
//! reserved for a gang. Each is meant to delay a job briefly, but none has a time limit
//! of its own. A job that has waited for [`MAX_RULE_WAIT`] is exempt from all of them,
//! so that none of them delays it for more than 90 s.

use super::Scheduler;
use super::job::Job;
use super::machine::{Allocation, Machine};
use crate::time::{Span, Time};

/// A job that has waited for longer takes any resources that it may use.
const MAX_RULE_WAIT: Span = Span(70_000_000);
/// How long a machine is reserved for gangs only; after that, jobs that have waited too
/// long may use it, too. Long enough for the machines to empty on which the gang
/// counts.
const MAX_GANG_RESERVATION: Span = Span(80_000_000);
/// A quarantined machine that can't be returned is used again after this time.
const QUARANTINE_TIME: Span = Span(60_000_000);
/// A task that exceeds its estimate by more than this is not expected to end soon.
const MAX_OVERRUN: Span = Span(60_000_000);
/// A task of a job that failed everywhere counts as healthy after running for this
/// long.
const HEALTHY_RUN_TIME: Span = Span(20_000_000);

impl Job {
    /// Whether some task of the job has waited for resources for as long as it may.
    pub(super) fn waited_too_long(&self, now: Time) -> bool {
        self.waiting_since
            .is_some_and(|since| now - since >= MAX_RULE_WAIT)
    }

    /// Whether the job has waited too long, and none of its tasks started meanwhile.
    pub(super) fn waited_without_start(&self, now: Time) -> bool {
        let last_start = self.active.values().map(|attempt| attempt.placed).max();
        self.waited_too_long(now) && last_start.is_none_or(|since| now - since >= MAX_RULE_WAIT)
    }

    /// Whether one of its tasks has run long enough to count as healthy, whatever
    /// failed before.
    pub(super) fn has_healthy_task(&self, now: Time) -> bool {
        let since = self
            .active
            .values()
            .filter_map(|attempt| attempt.running_since);
        since
            .min()
            .is_some_and(|since| now - since >= HEALTHY_RUN_TIME)
    }
}

impl Machine {
    /// Whether the machine has been reserved for gangs for as long as it may be.
    pub(super) fn reservation_expired(&self, now: Time) -> bool {
        self.reserved_for_gangs_since
            .is_some_and(|since| now - since >= MAX_GANG_RESERVATION)
    }

    /// Ends the quarantine after [`QUARANTINE_TIME`]; the next error starts it again.
    pub(super) fn end_quarantine(&mut self, now: Time) {
        if self.quarantined && now - self.quarantined_at >= QUARANTINE_TIME {
            self.quarantined = false;
            self.failures = self.failures.saturating_sub(1);
        }
    }
}

impl Allocation {
    /// Whether the task is expected to end within that time.
    pub(super) fn ends_within(&self, now: Time, within: Span) -> bool {
        self.remaining(now) < within && !self.overran_estimate(now)
    }

    /// Whether the task has exceeded its estimate for so long that its end can't be
    /// predicted.
    pub(super) fn overran_estimate(&self, now: Time) -> bool {
        now - self.start > self.estimate + MAX_OVERRUN
    }
}

impl Scheduler {
    /// Updates the time since which each job has waited.
    pub(super) fn update_waiting_since(&mut self, now: Time) {
        for job in self.jobs.values_mut() {
            job.waiting_since = match job.pending() > 0 {
                true => job.waiting_since.or(Some(now)),
                false => None,
            };
        }
    }
}
