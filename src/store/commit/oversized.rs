//! Records that the limits in force don't hold: they wait, and hold up no others.

use super::Committer;
use crate::ids::JobId;
use crate::sched::{Purpose, Scheduler};
use crate::time::{Span, Time};

/// A record that the limits don't hold is tried again after so long at first, and at
/// the most.
const RETRY_INITIAL: Span = Span(5_000_000);
const RETRY_MAX: Span = Span(60_000_000);
/// A record that the limits don't hold, and when it is tried again.
pub(super) struct OversizedRecord {
    pub(super) due: Time,
    pub(super) backoff: Span,
    pub(super) purpose: Purpose,
    /// It is being tried.
    pub(super) queued: bool,
}

impl Committer {
    /// What was too large may fit now.
    pub(super) fn retry_oversized(&mut self) {
        for aside in self.oversized.values_mut() {
            aside.due = Time::default();
        }
    }

    /// The limits don't hold this record: the others go on without it.
    pub(super) fn defer_oversized(
        &mut self,
        now: Time,
        sched: &mut Scheduler,
        of: (JobId, usize),
        purpose: Purpose,
    ) {
        sched.not_stored(&of.0);
        if !self.oversized.contains_key(&of) {
            let (job, part) = &of;
            let format = self.format;
            tracing::error!(%job, part, ?format, "a record is too large for the limits in force");
        }
        let aside = self.oversized.entry(of).or_insert(OversizedRecord {
            due: now,
            backoff: RETRY_INITIAL,
            purpose,
            queued: false,
        });
        aside.due = now + aside.backoff;
        aside.backoff = RETRY_MAX.min(Span(aside.backoff.0 * 2));
        aside.purpose = aside.purpose.min(purpose);
        aside.queued = false;
    }

    /// What was set aside is tried again.
    pub(super) fn requeue_oversized(&mut self, now: Time, sched: &mut Scheduler) {
        self.oversized.retain(|(job, part), aside| {
            let Some(j) = sched.jobs.get_mut(job) else {
                return false;
            };
            if !aside.queued && aside.due <= now {
                aside.queued = true;
                j.enqueue_write(*part, &mut sched.write_queue, aside.purpose);
            }
            true
        });
    }
}
