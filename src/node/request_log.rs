//! Counts of answered and refused requests, by kind of request and reason. A summary is
//! logged at a fixed interval.

use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use serde::Serialize;
use std::collections::BTreeMap;

/// How often the summary is logged.
const SUMMARY_INTERVAL: Span = Span(10_000_000);
/// The most refusal reasons that are counted separately for each kind.
const MAX_REASONS: usize = 64;
/// The name under which all further reasons are counted.
const OTHER_REASONS: &str = "other";
/// Statuses from here on ask the client to retry.
pub(super) const FIRST_RETRYABLE_STATUS: u16 = 429;

/// The kind of a request, as far as statistics and limits depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum RequestKind {
    /// A user polls a job.
    Question,
    /// A user submits a job.
    Submission,
    /// A worker's heartbeat.
    Heartbeat,
    /// Cancellations, holds, lists and the like.
    Other,
}

impl From<&Request> for RequestKind {
    fn from(ask: &Request) -> RequestKind {
        match ask {
            Request::Poll(_) => RequestKind::Question,
            Request::Submit(_) => RequestKind::Submission,
            Request::Report(_) => RequestKind::Heartbeat,
            _ => RequestKind::Other,
        }
    }
}

/// Answers of one kind of request since the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct KindCounts {
    answered: u64,
    /// Those of them sent after the client had timed out.
    late: u64,
    /// Answers that ask the client to retry, by reason.
    refused: BTreeMap<String, u64>,
}

impl KindCounts {
    fn count_refusal(&mut self, reason: String) {
        let is_new = !self.refused.contains_key(&reason);
        let reason = match is_new && self.refused.len() >= MAX_REASONS {
            true => OTHER_REASONS.to_string(),
            false => reason,
        };
        *self.refused.entry(reason).or_default() += 1;
    }

    /// The counts since `earlier`.
    fn since(&self, earlier: Option<&KindCounts>) -> KindCounts {
        let before = |reason: &String| earlier.and_then(|e| e.refused.get(reason)).copied();
        let refused = self.refused.iter().map(|(reason, count)| {
            let new = count - before(reason).unwrap_or(0);
            (reason.clone(), new)
        });
        KindCounts {
            answered: self.answered - earlier.map_or(0, |e| e.answered),
            late: self.late - earlier.map_or(0, |e| e.late),
            refused: refused.filter(|(_, new)| *new > 0).collect(),
        }
    }
}

/// Election steps: renewals of the leader's lease and reads of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct ElectionCounts {
    /// Steps that the state service answered.
    pub answered: u64,
    /// Steps that it did not answer.
    pub unavailable: u64,
}

/// Counts of answers and of steps of the election.
#[derive(Default)]
pub(super) struct RequestLog {
    counts: BTreeMap<RequestKind, KindCounts>,
    pub election: ElectionCounts,
    logged: BTreeMap<RequestKind, KindCounts>,
    logged_at: Time,
}

impl RequestLog {
    /// Counts an answer that is sent; `in_time` if the client still waits for it.
    pub fn record(&mut self, kind: RequestKind, answer: &Answer, in_time: bool) {
        let counts = self.counts.entry(kind).or_default();
        if answer.status >= FIRST_RETRYABLE_STATUS {
            return counts.count_refusal(reason_of(answer));
        }
        counts.answered += 1;
        counts.late += u64::from(!in_time);
    }

    /// The counts since the last summary as JSON, if another one is due.
    pub fn take_summary(&mut self, now: Time) -> Option<String> {
        if now - self.logged_at < SUMMARY_INTERVAL {
            return None;
        }
        self.logged_at = now;
        let earlier = std::mem::replace(&mut self.logged, self.counts.clone());
        let recent = self.counts.iter().map(|(kind, counts)| {
            let new = counts.since(earlier.get(kind));
            (*kind, new)
        });
        let recent: BTreeMap<RequestKind, KindCounts> = recent
            .filter(|(_, new)| *new != KindCounts::default())
            .collect();
        (!recent.is_empty()).then(|| serde_json::to_string(&recent).unwrap_or_default())
    }

    /// All counts since the start, for the overview.
    pub fn overview(&self) -> serde_json::Value {
        serde_json::json!({ "requests": self.counts, "election_steps": self.election })
    }
}

/// The reason given to the client, or the status if there is none.
fn reason_of(answer: &Answer) -> String {
    let body: Option<serde_json::Value> = serde_json::from_str(&answer.body).ok();
    let text = body.as_ref().and_then(|body| body["error"].as_str());
    text.map_or_else(|| answer.status.to_string(), str::to_string)
}
