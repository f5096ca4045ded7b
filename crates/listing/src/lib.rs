//! Lists of jobs by pages, and a feed of changes.
//!
//! Whoever knows all unfinished jobs keeps a [`Board`] up to date, a line for
//! each job that has changed, and publishes a [`Snapshot`]: a copy that shares
//! what has not changed, so that publishing costs the same however many jobs
//! there are. Readers take their pages from it on their own time, in the order
//! of job ids, and hold nobody up.
//!
//! The package promises that a page or an answer of the feed is bounded, and that a
//! reader of the feed misses no change without being told. It must never do I/O, read
//! a clock or start a thread; what it lists is no proof of a job's state.

mod feed;
mod query;
mod rows;

use feed::Feed;
pub use feed::{Change, Changes, FEED_LENGTH, FEED_PAGE, Mark};
pub use query::{Position, Query, Show, since};
pub use rows::rows;

use rpds::RedBlackTreeMapSync;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// What a console needs of a job, in one line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Line {
    /// Its id.
    pub id: String,
    /// `queued`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// Attempts that failed, timed out or were lost.
    pub failures: u32,
    /// When it was submitted, in milliseconds since 1970, as are all times here.
    pub submitted_ms: u64,
    /// When its first task started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_start_ms: Option<u64>,
    /// When it was done or cancelled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Its deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    /// Past its deadline, or ended after it.
    pub late: bool,
    /// Who holds it, and why; empty if nobody does.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<String>,
    /// Jobs that are to be done before it starts; the first of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub awaits: Vec<String>,
    /// How many there are.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub awaits_count: usize,
    /// The job that it needed and whose cancellation cancelled it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_with: Option<String>,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

impl Line {
    /// Whether it is late at this time of day.
    fn is_late(&self, now_ms: u64) -> bool {
        self.due_ms
            .is_some_and(|due| self.ended_ms.unwrap_or(now_ms) > due)
    }

    /// Whether the query asks for it.
    pub fn matches(&self, q: &Query) -> bool {
        let is = |wanted: &Option<String>, has: &str| wanted.as_deref().is_none_or(|w| w == has);
        let shown = match q.show {
            None => true,
            Some(Show::Held) => !self.held.is_empty(),
            Some(Show::Queued) => self.status == "queued",
            Some(Show::Running) => self.status == "running",
            Some(Show::Done) => self.status == "done",
            Some(Show::Cancelled) => self.status == "cancelled",
            Some(Show::Unfinished) => self.status == "queued" || self.status == "running",
            Some(Show::Finished) => self.status == "done" || self.status == "cancelled",
        };
        shown
            && is(&q.team, &self.team)
            && is(&q.class, &self.class)
            && q.since_ms.is_none_or(|s| self.submitted_ms >= s)
    }
}

/// A page, and where the next one begins.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Page {
    /// The jobs of the page, by id.
    pub jobs: Vec<Line>,
    /// For `after`; absent at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Position>,
}

type Lines = RedBlackTreeMapSync<Arc<str>, Arc<Line>>;

/// The unfinished jobs, kept up by one and read by many.
#[derive(Default)]
pub struct Board {
    lines: Lines,
    feed: Feed,
}

impl Board {
    /// The board of a term of leadership; the feed begins with it.
    pub fn new(term: u64) -> Board {
        Board {
            lines: Lines::default(),
            feed: Feed::new(term),
        }
    }

    /// A job's line as it is now. What is the same as before is no change.
    pub fn put(&mut self, line: Line, now_ms: u64) {
        let before = self.lines.get(line.id.as_str());
        if before.is_some_and(|b| **b == line) {
            return;
        }
        self.feed.push(now_ms, line.clone());
        self.lines
            .insert_mut(line.id.as_str().into(), Arc::new(line));
    }

    /// The job is over, with this state.
    pub fn remove(&mut self, id: &str, status: &str, now_ms: u64) {
        let Some(line) = self.lines.get(id) else {
            return;
        };
        let mut line = Line::clone(line);
        line.status = status.into();
        line.running = 0;
        line.ended_ms = Some(now_ms);
        line.late = line.is_late(now_ms);
        if status == "done" {
            line.done = line.tasks;
        }
        self.feed.push(now_ms, line);
        self.lines.remove_mut(id);
    }

    /// What readers see from now on; what they hold stays as it is.
    pub fn publish(&self) -> Snapshot {
        Snapshot {
            lines: self.lines.clone(),
            feed: self.feed.clone(),
        }
    }
}

/// All unfinished jobs at one moment.
#[derive(Clone, Default)]
pub struct Snapshot {
    lines: Lines,
    feed: Feed,
}

impl Snapshot {
    /// How many unfinished jobs there are.
    pub fn len(&self) -> usize {
        self.lines.size()
    }

    /// There are no unfinished jobs.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// How many changes the feed holds.
    pub fn feed_length(&self) -> usize {
        self.feed.len()
    }

    /// What has changed since that mark; without one, where to begin.
    pub fn changes(&self, since: Option<Mark>) -> Changes {
        self.feed.since(since)
    }

    /// The page that the query asks for. After the last unfinished job the
    /// finished ones follow, unless none of them can match.
    pub fn page(&self, q: &Query, now_ms: u64) -> Page {
        let after = match &q.after {
            Some(Position::Unfinished(id)) => Bound::Excluded(id.as_str()),
            Some(Position::Finished(_)) => return Page::default(),
            None => Bound::Unbounded,
        };
        let mut page = Page::default();
        for (id, line) in self.lines.range::<str, _>((after, Bound::Unbounded)) {
            if page.jobs.len() == q.page {
                let last = page.jobs.last().map_or(id.to_string(), |l| l.id.clone());
                page.next = Some(Position::Unfinished(last));
                return page;
            }
            if line.matches(q) {
                let mut line = Line::clone(line);
                line.late = line.is_late(now_ms);
                page.jobs.push(line);
            }
        }
        if q.wants_finished() {
            page.next = Some(Position::Finished(String::new()));
        }
        page
    }
}
