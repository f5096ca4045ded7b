//! A feed of changes, with a position that a reader comes back with.

use crate::Line;
use rpds::RedBlackTreeMapSync;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// Changes kept; a reader that comes later has to list anew.
pub const FEED_LENGTH: u64 = 4096;
/// Most changes of one answer.
pub const FEED_PAGE: usize = 200;

/// A place in the feed: a term of leadership, and how many changes in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Mark {
    /// The term.
    pub term: u64,
    /// Changes before this place.
    pub n: u64,
}

impl TryFrom<String> for Mark {
    type Error = String;
    fn try_from(s: String) -> Result<Mark, String> {
        let parts = s.split_once('-');
        let mark = parts.and_then(|(t, n)| {
            let (term, n) = (t.parse().ok()?, n.parse().ok()?);
            Some(Mark { term, n })
        });
        mark.ok_or("since: must be what an earlier answer gave as Next".into())
    }
}

impl From<Mark> for String {
    fn from(m: Mark) -> String {
        format!("{}-{}", m.term, m.n)
    }
}

/// A job as it was after a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Change {
    /// When it was published, in milliseconds since 1970.
    pub at_ms: u64,
    /// The job.
    pub job: Line,
}

/// What has changed since a mark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Changes {
    /// The changes, oldest first.
    pub events: Vec<Change>,
    /// Where to go on.
    pub next: Mark,
    /// The feed does not go back as far as the mark: list the jobs anew, then
    /// go on from `next`.
    pub reset: bool,
    /// More follows at once.
    pub more: bool,
}

/// The latest changes of a term.
#[derive(Clone, Default)]
pub(crate) struct Feed {
    term: u64,
    next: u64,
    changes: RedBlackTreeMapSync<u64, Arc<Change>>,
}

impl Feed {
    pub fn new(term: u64) -> Feed {
        Feed {
            term,
            ..Feed::default()
        }
    }

    pub fn len(&self) -> usize {
        self.changes.size()
    }

    pub fn push(&mut self, at_ms: u64, job: Line) {
        self.changes
            .insert_mut(self.next, Arc::new(Change { at_ms, job }));
        if self.next >= FEED_LENGTH {
            self.changes.remove_mut(&(self.next - FEED_LENGTH));
        }
        self.next += 1;
    }

    pub fn since(&self, mark: Option<Mark>) -> Changes {
        let now = Mark {
            term: self.term,
            n: self.next,
        };
        let oldest = self.next.saturating_sub(FEED_LENGTH);
        let known = |m: &Mark| m.term == self.term && (oldest..=self.next).contains(&m.n);
        let Some(from) = mark.filter(known) else {
            return Changes {
                events: vec![],
                next: now,
                reset: true,
                more: false,
            };
        };
        let range = (Bound::Included(from.n), Bound::Unbounded);
        let some = self.changes.range(range).take(FEED_PAGE);
        let events: Vec<Change> = some.map(|(_, c)| Change::clone(c)).collect();
        let n = from.n + events.len() as u64;
        Changes {
            next: Mark { n, ..now },
            more: n < self.next,
            reset: false,
            events,
        }
    }
}
