//! Records that the limits in force don't hold: they wait, and hold up no others.

use super::Committer;
use crate::ids::JobId;
use crate::sched::{Purpose, Scheduler};
use crate::time::{Span, Time};

/// A record that the limits don't hold is tried again after so long at first, and at
/// the most.
const SET_ASIDE: Span = Span(5_000_000);
const SET_ASIDE_MOST: Span = Span(60_000_000);
/// A record that the limits don't hold, and when it is tried again.
pub(super) struct SetAside {
    pub(super) due: Time,
    pub(super) backoff: Span,
    pub(super) purpose: Purpose,
    /// It is being tried.
    pub(super) queued: bool,
}

impl Committer {
    /// What was too large may fit now.
    pub(super) fn retry_set_aside(&mut self) {
        for aside in self.set_aside.values_mut() {
            aside.due = Time::default();
        }
    }

    /// The limits don't hold this record: the others go on without it.
    pub(super) fn put_aside(
        &mut self,
        now: Time,
        sched: &mut Scheduler,
        of: (JobId, usize),
        purpose: Purpose,
    ) {
        sched.not_stored(&of.0);
        if !self.set_aside.contains_key(&of) {
            let (job, part) = &of;
            let format = self.format;
            tracing::error!(%job, part, ?format, "a record is too large for the limits in force");
        }
        let aside = self.set_aside.entry(of).or_insert(SetAside {
            due: now,
            backoff: SET_ASIDE,
            purpose,
            queued: false,
        });
        aside.due = now + aside.backoff;
        aside.backoff = SET_ASIDE_MOST.min(Span(aside.backoff.0 * 2));
        aside.purpose = aside.purpose.min(purpose);
        aside.queued = false;
    }

    /// What was set aside is tried again.
    pub(super) fn queue_set_aside(&mut self, now: Time, sched: &mut Scheduler) {
        self.set_aside.retain(|(job, part), aside| {
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
