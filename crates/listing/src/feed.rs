//! A feed of changes, with a position that a reader comes back with.

use crate::Line;
use rpds::RedBlackTreeMapSync;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// Changes kept; who comes later has to list anew.
const KEPT: u64 = 4096;
/// Changes told at a time.
const PAGE: usize = 200;

/// A place in the feed: a term of leadership, and how many changes in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Mark {
    pub term: u64,
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
    pub job: Line,
}

/// What has changed since a mark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Changes {
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

    pub fn push(&mut self, at_ms: u64, job: Line) {
        self.changes
            .insert_mut(self.next, Arc::new(Change { at_ms, job }));
        if self.next >= KEPT {
            self.changes.remove_mut(&(self.next - KEPT));
        }
        self.next += 1;
    }

    pub fn since(&self, mark: Option<Mark>) -> Changes {
        let now = Mark {
            term: self.term,
            n: self.next,
        };
        let oldest = self.next.saturating_sub(KEPT);
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
        let some = self.changes.range(range).take(PAGE);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn line(n: u64) -> Line {
        Line {
            id: format!("job-{n}"),
            ..Line::default()
        }
    }

    #[test]
    fn a_reader_that_comes_back_misses_nothing_or_is_told_so() {
        let mut f = Feed::new(7);
        let begin = f.since(None);
        assert!(begin.reset && begin.events.is_empty());
        let mut mark = begin.next;
        let mut seen = vec![];
        for round in 0..10u64 {
            for n in 0..300 {
                f.push(round, line(round * 300 + n));
            }
            loop {
                let c = f.since(Some(mark));
                assert!(!c.reset && c.events.len() <= PAGE);
                seen.extend(c.events.into_iter().map(|e| e.job.id));
                mark = c.next;
                if !c.more {
                    break;
                }
            }
        }
        let all: Vec<String> = (0..3000).map(|n| line(n).id).collect();
        assert_eq!(seen, all);
        // Away for too long, of another term, or of a future that never was.
        for _ in 0..=KEPT {
            f.push(0, line(0));
        }
        for m in [
            mark,
            Mark { term: 6, n: 1 },
            Mark {
                term: 7,
                n: 1 << 40,
            },
        ] {
            let c = f.since(Some(m));
            assert!(c.reset && c.events.is_empty() && c.next.term == 7, "{m:?}");
        }
        assert_eq!(f.changes.size() as u64, KEPT);
        let text = String::from(Mark { term: 5, n: 9 });
        assert_eq!(Mark::try_from(text), Ok(Mark { term: 5, n: 9 }));
        assert!(Mark::try_from("5".to_string()).is_err());
    }
}
