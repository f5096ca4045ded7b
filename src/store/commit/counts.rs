//! Counts changes by purpose.

use super::Committer;
use crate::sched::Purpose;
use crate::time::{Span, Time};

/// Interval between log lines with the changes by purpose.
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
    pub(super) fn log_changes(&mut self, now: Time) {
        let (at, before) = self.last_logged;
        if now - at < LOG_INTERVAL {
            return;
        }
        self.last_logged = (now, self.changes_sent);
        let s = self.changes_sent;
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
                "state service changes by purpose"
            );
        }
    }
}
