//! Lists of jobs by pages.
//!
//! Whoever knows all unfinished jobs keeps a [`Board`] up to date, a line for
//! each job that has changed, and publishes a [`Snapshot`]: a copy that shares
//! what has not changed, so that publishing costs the same however many jobs
//! there are. Readers take their pages from it on their own time, in the order
//! of job ids, and hold nobody up.

mod feed;
mod query;
mod rows;

use feed::Feed;
pub use feed::{Change, Changes, Mark};
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
    pub id: String,
    /// `queued`, `running`, `done` or `cancelled`.
    pub status: String,
    pub class: String,
    pub team: String,
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    /// Attempts that failed, timed out or were lost.
    pub failures: u32,
    pub submitted_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_start_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    /// Past its deadline, or ended after it.
    pub late: bool,
    /// Who holds it, and why; empty if nobody does.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<String>,
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
    pub fn len(&self) -> usize {
        self.lines.size()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
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

#[cfg(test)]
mod tests {
    use super::*;

    fn line(n: u32) -> Line {
        Line {
            id: format!("job-{n:06}"),
            status: if n.is_multiple_of(2) {
                "queued"
            } else {
                "running"
            }
            .into(),
            team: if n.is_multiple_of(3) { "red" } else { "blue" }.into(),
            due_ms: Some(n as u64),
            ..Line::default()
        }
    }

    fn ids(snapshot: &Snapshot, mut q: Query) -> (Vec<String>, Option<Position>) {
        let mut all = vec![];
        loop {
            let page = snapshot.page(&q, 50);
            assert!(page.jobs.len() <= q.page);
            all.extend(page.jobs.into_iter().map(|l| l.id));
            match page.next {
                Some(Position::Unfinished(id)) => q.after = Some(Position::Unfinished(id)),
                end => return (all, end),
            }
        }
    }

    #[test]
    fn pages_follow_one_another_though_jobs_come_and_go() {
        let mut b = Board::default();
        for n in (0..100).rev() {
            b.put(line(n), 0);
        }
        let snapshot = b.publish();
        let q = |text: &str| Query::parse(text).unwrap();
        let (all, end) = ids(&snapshot, q("page=7"));
        assert_eq!(all.len(), 100);
        assert!(all.is_sorted() && end == Some(Position::Finished(String::new())));
        let (some, end) = ids(&snapshot, q("state=queued&team=red&page=3"));
        assert_eq!((some.len(), end), (17, None));
        // A page begins after a job that is gone by then, and readers of the
        // earlier snapshot see it still.
        b.remove("job-000050", "done", 60);
        b.put(line(200), 61);
        b.put(line(200), 62);
        let later = b.publish();
        let (rest, _) = ids(&later, q("after=unfinished:job-000050"));
        assert_eq!((rest.len(), rest[0].as_str()), (50, "job-000051"));
        assert_eq!((snapshot.len(), later.len()), (100, 100));
        // The feed goes on from where the earlier snapshot stood.
        let mark = snapshot.changes(None).next;
        let changes = later.changes(Some(mark));
        let seen = |c: &Change| (c.at_ms, c.job.id.clone(), c.job.status.clone(), c.job.late);
        assert_eq!(
            changes.events.iter().map(seen).collect::<Vec<_>>(),
            [
                (60, "job-000050".into(), "done".into(), true),
                (61, "job-000200".into(), "queued".into(), false),
            ]
        );
    }

    #[test]
    fn what_is_late_is_told_by_the_clock_of_the_reader() {
        let mut b = Board::default();
        b.put(line(49), 0);
        b.put(line(51), 0);
        let page = b.publish().page(&Query::parse("").unwrap(), 50);
        let late: Vec<bool> = page.jobs.iter().map(|l| l.late).collect();
        assert_eq!(late, [true, false]);
    }
}
