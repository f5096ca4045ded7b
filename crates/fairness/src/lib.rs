//! Fairness between classes of jobs and between teams: which share of each starts in
//! time, a guaranteed minimum, and a bound on starvation.
//!
//! A fleet can do well as a whole while one class or team gets next to nothing. [`ShareTracker`]
//! counts by group what came and what became of it, over the last minutes, and
//! with what waits now tells the share that is served. [`FairnessPolicy`] says who has
//! fallen so low that a part of the fleet is reserved, and how much for each.
//!
//! Events go in with their time, metrics come out. The package promises bounded
//! memory: a few counters for each group and ten seconds, for [`WINDOW`].
//!
//! It must never do I/O, read a clock or start a thread, and it never starts or stops
//! a task: it only says which jobs go first.

mod largest_jobs;

pub use largest_jobs::{LargestJobs, LargestJobsMetrics};

use hookworks_base::time::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Shares are of what happened within so long.
pub const WINDOW: Span = Span(300_000_000);
/// Events within so long are counted together.
const BUCKET: Span = Span(10_000_000);

/// What happened to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// It was accepted, or loaded by a new leader.
    Accepted,
    /// The first of its tasks has started.
    Started,
    /// All its tasks are done.
    Done,
    /// It was cancelled.
    Cancelled,
    /// A submission was told to come back later.
    Refused,
}

/// Jobs by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// See [`JobEvent::Came`].
    pub came: u64,
    /// See [`JobEvent::Begun`].
    pub begun: u64,
    /// See [`JobEvent::Done`].
    pub done: u64,
    /// See [`JobEvent::Cancelled`].
    pub cancelled: u64,
    /// See [`JobEvent::Refused`].
    pub refused: u64,
}

impl Counts {
    fn record(&mut self, what: JobEvent) {
        let n = match what {
            JobEvent::Accepted => &mut self.came,
            JobEvent::Started => &mut self.begun,
            JobEvent::Done => &mut self.done,
            JobEvent::Cancelled => &mut self.cancelled,
            JobEvent::Refused => &mut self.refused,
        };
        *n += 1;
    }

    fn add(&mut self, o: &Counts) {
        self.came += o.came;
        self.begun += o.begun;
        self.done += o.done;
        self.cancelled += o.cancelled;
        self.refused += o.refused;
    }
}

/// What waits now, of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingJobs {
    /// Jobs with waiting tasks.
    pub jobs: u64,
    /// Waiting tasks.
    pub tasks: u64,
    /// The longest that any of them has waited.
    pub oldest: Span,
    /// Jobs that have waited for longer than their class is to wait at all.
    pub overdue: u64,
    /// The same, of those that came so long ago, whatever began of them since.
    pub late: u64,
}

impl WaitingJobs {
    /// A job with so many waiting tasks, that came so long ago and has waited for
    /// a start since then; `patience` is what its class may wait.
    pub fn add(&mut self, tasks: u64, came: Span, waited: Span, patience: Span) {
        self.jobs += 1;
        self.late += (came > patience) as u64;
        self.tasks += tasks;
        self.oldest = self.oldest.max(waited);
        self.overdue += (waited > patience) as u64;
    }
}

/// The metrics of one group; field names are those of the overview.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GroupMetrics {
    /// Since this leader began.
    pub total: Counts,
    /// Within [`WINDOW`].
    pub recent: Counts,
    /// Jobs with waiting tasks.
    pub waiting_jobs: u64,
    /// Waiting tasks.
    pub waiting_tasks: u64,
    /// The longest that any of them has waited, in seconds.
    pub oldest_wait_s: f64,
    /// Jobs that have waited for longer than their class is to wait.
    pub overdue_jobs: u64,
    /// Jobs that came so long ago, whatever of them has started since.
    pub late_jobs: u64,
    /// Of those that began lately or should have: the share that did. 1 where
    /// nothing was due.
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    total: Counts,
    recent: VecDeque<(u64, Counts)>,
}

/// Counts by group.
#[derive(Clone, Debug)]
pub struct ShareTracker<K>(BTreeMap<K, Group>);

impl<K> Default for ShareTracker<K> {
    fn default() -> Self {
        ShareTracker(BTreeMap::new())
    }
}

impl<K: Ord + Clone> ShareTracker<K> {
    /// Counts an event.
    pub fn record(&mut self, now: Time, group: &K, what: JobEvent) {
        if !self.0.contains_key(group) {
            self.0.insert(group.clone(), Group::default());
        }
        let Some(g) = self.0.get_mut(group) else {
            return;
        };
        g.total.record(what);
        let step = now.0 / BUCKET.0;
        g.drop_expired(step);
        match g.recent.back_mut().filter(|(s, _)| *s == step) {
            Some((_, c)) => c.record(what),
            None => {
                let mut c = Counts::default();
                c.record(what);
                g.recent.push_back((step, c));
            }
        }
    }

    /// The metrics of every group that ever had any, or waits now.
    pub fn metrics(
        &mut self,
        now: Time,
        waits: &BTreeMap<K, WaitingJobs>,
    ) -> BTreeMap<K, GroupMetrics> {
        let mut all: BTreeMap<K, GroupMetrics> = BTreeMap::new();
        for (k, g) in &mut self.0 {
            g.drop_expired(now.0 / BUCKET.0);
            all.insert(k.clone(), GroupMetrics::of(g, waits.get(k)));
        }
        for (k, w) in waits {
            all.entry(k.clone())
                .or_insert_with(|| GroupMetrics::of(&Group::default(), Some(w)));
        }
        all
    }
}

impl Group {
    fn drop_expired(&mut self, step: u64) {
        let steps = WINDOW.0 / BUCKET.0;
        while self.recent.front().is_some_and(|(s, _)| s + steps < step) {
            self.recent.pop_front();
        }
    }
}

impl GroupMetrics {
    fn of(g: &Group, waits: Option<&WaitingJobs>) -> GroupMetrics {
        let mut recent = Counts::default();
        for (_, c) in &g.recent {
            recent.add(c);
        }
        let w = waits.copied().unwrap_or_default();
        let due = recent.begun + w.overdue;
        GroupMetrics {
            total: g.total,
            recent,
            waiting_jobs: w.jobs,
            waiting_tasks: w.tasks,
            oldest_wait_s: w.oldest.as_secs(),
            overdue_jobs: w.overdue,
            late_jobs: w.late,
            share: match due {
                0 => 1.0,
                _ => recent.begun as f64 / due as f64,
            },
        }
    }
}

/// Which groups go ahead of all others, and with how much of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairnessPolicy {
    /// Share of the fleet that is reserved for all such groups together; 0 switches
    /// the guaranteed minimum off.
    pub reserved_share: f64,
    /// The guaranteed minimum: a group with a smaller share of jobs that start in
    /// time is below it.
    pub min_share: f64,
    /// A job without any started task is overtaken by others for no longer than this;
    /// none: without a bound.
    pub max_overtaken: Option<Span>,
}

/// Of a job that was overtaken for so long, one in so many tasks starts.
const TASKS_PER_BOOSTED_TASK: u64 = 10;

impl FairnessPolicy {
    /// Whether a group is below the minimum share: jobs of it are overdue, and too few
    /// began meanwhile. One that was stays so until none of its jobs is late: the
    /// first start alone would leave the rest to wait as long again.
    pub fn is_below_minimum(&self, was: bool, f: &GroupMetrics) -> bool {
        let falls = f.overdue_jobs > 0 && f.share < self.min_share;
        self.reserved_share > 0.0 && (falls || was && f.late_jobs > 0)
    }

    /// How many tasks of a job go ahead of others, of which so many wait and none
    /// has begun for so long. A part only: jobs of thousands of tasks would stop
    /// everyone else's.
    pub fn boosted_tasks(&self, tasks: u64, waiting: u64, waited: Span) -> u64 {
        match self.max_overtaken {
            Some(most) if waited >= most => tasks.div_ceil(TASKS_PER_BOOSTED_TASK).min(waiting),
            _ => 0,
        }
    }

    /// What each of the groups below the minimum share may still take ahead of others,
    /// given what they use of a fleet of this size. Below zero: it has more than
    /// its part already, as one has that floods the fleet and is not served by half
    /// for that; its part is the others'.
    pub fn budgets<K: Ord + Clone>(&self, fleet: i64, used: &BTreeMap<K, i64>) -> BTreeMap<K, i64> {
        let all = (fleet as f64 * self.reserved_share) as i64;
        let mut uses: Vec<i64> = used.values().copied().collect();
        uses.sort_unstable();
        // The largest leave, one by one, as long as they have more than an equal part.
        while uses.len() > 1 && uses.last().is_some_and(|u| *u > all / uses.len() as i64) {
            uses.pop();
        }
        let part = all / uses.len().max(1) as i64;
        let most = uses.last().copied().unwrap_or(0);
        let left = |(k, used): (&K, &i64)| match *used > most {
            true => (k.clone(), -used),
            false => (k.clone(), part - used),
        };
        used.iter().map(left).collect()
    }
}
