//! Counts changes by purpose.

use super::Committer;
use crate::sched::{Purpose, Scheduler};
use crate::time::{Span, Time};

/// Interval between log lines with the changes by purpose; a queue from which nothing was
/// sent for so long, although nothing is in flight, is stalled.
const LOG_INTERVAL: Span = Span(10_000_000);

/// Number of changes sent, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ChangeCounts {
    pub now: u64,
    pub start: u64,
    pub end: u64,
    pub progress: u64,
    pub garbage: u64,
    pub fences: u64,
}

impl ChangeCounts {
    pub(super) fn record(&mut self, purpose: Purpose, changes: usize) {
        let count = match purpose {
            Purpose::Now => &mut self.now,
            Purpose::Start => &mut self.start,
            Purpose::End => &mut self.end,
            Purpose::Progress => &mut self.progress,
        };
        *count += changes as u64;
    }
}

impl Committer {
    pub(super) fn log_changes(&mut self, now: Time, sched: &Scheduler) {
        let (at, before) = self.last_logged;
        if now - at < LOG_INTERVAL {
            return;
        }
        self.last_logged = (now, self.changes_sent);
        let s = self.changes_sent;
        let [urgent, starts, ends, progress] = sched.write_queue.lengths();
        if s == before && urgent > 0 && self.in_flight.is_empty() {
            tracing::error!(
                urgent,
                starts,
                ends,
                progress,
                set_aside = self.oversized.len(),
                "records wait to be written, and none is sent"
            );
        }
        if s != before {
            tracing::info!(
                now = s.now - before.now,
                start = s.start - before.start,
                end = s.end - before.end,
                progress = s.progress - before.progress,
                garbage = s.garbage - before.garbage,
                fences = s.fences - before.fences,
                write_rps = self.limits.values().write_rps,
                set_aside = self.oversized.len(),
                waiting = sched.write_queue.len(),
                "state service changes by purpose"
            );
        }
    }
}
