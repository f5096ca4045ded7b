//! Records that exceed the limits in force: they are retried later and do not block
//! others.

use super::Committer;
use super::draft::Draft;
use crate::ids::JobId;
use crate::sched::{PendingWrite, Purpose, Scheduler};
use crate::store::{RecordFormat, part_key};
use crate::time::{Span, Time};

/// Initial and maximum backoff before an oversized record is retried.
const RETRY_INITIAL: Span = Span(5_000_000);
const RETRY_MAX: Span = Span(60_000_000);
/// A record that exceeds the limits in force, and when it is retried.
pub(super) struct OversizedRecord {
    pub(super) due: Time,
    pub(super) backoff: Span,
    pub(super) purpose: Purpose,
    /// It has been queued for a retry.
    pub(super) queued: bool,
}

impl Committer {
    /// Retries all at once, as the records may fit now.
    pub(super) fn retry_oversized(&mut self) {
        for aside in self.oversized.values_mut() {
            aside.due = Time::default();
        }
    }

    /// A record exceeds the limits: a job that was never stored is refused, and the record
    /// of any other is deferred.
    pub(super) fn handle_oversized(
        &mut self,
        now: Time,
        sched: &mut Scheduler,
        draft: &Draft,
        write: PendingWrite,
    ) {
        let PendingWrite {
            job, part, purpose, ..
        } = write;
        let certainly_absent = part == 0
            && !draft.has_job(&job)
            && !self.revisions.contains_key(&part_key(&job, 0))
            && !self.unclear_first_writes.contains(&job);
        // Records that exceed the legacy format may fit the compact one later.
        let final_format = self.format == RecordFormat::Compact;
        if certainly_absent && final_format && sched.refuse_unstorable(now, &job) {
            self.oversized.remove(&(job, part));
        } else {
            self.defer_oversized(now, sched, (job, part), purpose);
        }
    }

    /// Defers a record that exceeds the limits; other records are written without it.
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
            tracing::error!(%job, part, ?format, "record exceeds the state service limits; write deferred");
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

    /// Queues the deferred records whose backoff has elapsed.
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
