//! Fairness between classes of jobs and between teams: the share of each that starts in
//! time, a guaranteed minimum, and a bound on starvation.
//!
//! A fleet can do well as a whole while one class or team gets next to nothing.
//! [`ShareTracker`] counts job events by group over the last minutes and, together with
//! the jobs that wait now, computes the share of each group that starts in time.
//! [`FairnessPolicy`] decides which groups are below the guaranteed minimum, so that a
//! part of the fleet is reserved for them, and how much each of them gets.
//!
//! Events go in with their time, metrics come out. Memory is bounded: a few counters
//! for each group and each ten seconds of [`WINDOW`].
//!
//! The crate does no I/O, reads no clock and starts no threads. It never starts or
//! stops a task; it only says which jobs go first.

mod largest_jobs;

pub use largest_jobs::{LargestJobs, LargestJobsMetrics};

use hookworks_base::time::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// The period over which shares are computed.
pub const WINDOW: Span = Span(300_000_000);
/// Events are counted in buckets of this length.
const BUCKET: Span = Span(10_000_000);

/// What happened to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// The job was accepted, or loaded by a new leader.
    Accepted,
    /// The first task of the job has started.
    Started,
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled.
    Cancelled,
    /// A submission was refused, to be retried later.
    Refused,
}

/// Numbers of jobs by event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// See [`JobEvent::Accepted`].
    pub came: u64,
    /// See [`JobEvent::Started`].
    pub begun: u64,
    /// See [`JobEvent::Done`].
    pub done: u64,
    /// See [`JobEvent::Cancelled`].
    pub cancelled: u64,
    /// See [`JobEvent::Refused`].
    pub refused: u64,
}

impl Counts {
    fn record(&mut self, event: JobEvent) {
        let counter = match event {
            JobEvent::Accepted => &mut self.came,
            JobEvent::Started => &mut self.begun,
            JobEvent::Done => &mut self.done,
            JobEvent::Cancelled => &mut self.cancelled,
            JobEvent::Refused => &mut self.refused,
        };
        *counter += 1;
    }

    fn add(&mut self, other: &Counts) {
        self.came += other.came;
        self.begun += other.begun;
        self.done += other.done;
        self.cancelled += other.cancelled;
        self.refused += other.refused;
    }
}

/// The jobs of one group that wait now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingJobs {
    /// Jobs with waiting tasks.
    pub jobs: u64,
    /// Waiting tasks.
    pub tasks: u64,
    /// The longest wait for a start among them.
    pub oldest: Span,
    /// Jobs that have waited for a start longer than the limit of their class.
    pub overdue: u64,
    /// Jobs that were accepted longer ago than that limit, even if some of their tasks
    /// started since.
    pub late: u64,
}

impl WaitingJobs {
    /// Adds a job with `tasks` waiting tasks that was accepted `age` ago and has waited
    /// for a start for `waited`; `max_wait` is the limit of its class.
    pub fn add(&mut self, tasks: u64, age: Span, waited: Span, max_wait: Span) {
        self.jobs += 1;
        self.late += (age > max_wait) as u64;
        self.tasks += tasks;
        self.oldest = self.oldest.max(waited);
        self.overdue += (waited > max_wait) as u64;
    }
}

/// The metrics of one group, under the field names of the overview.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GroupMetrics {
    /// Since this controller became leader.
    pub total: Counts,
    /// Within [`WINDOW`].
    pub recent: Counts,
    /// Jobs with waiting tasks.
    pub waiting_jobs: u64,
    /// Waiting tasks.
    pub waiting_tasks: u64,
    /// The longest wait for a start among them, in seconds.
    pub oldest_wait_s: f64,
    /// Jobs that have waited for a start longer than the limit of their class.
    pub overdue_jobs: u64,
    /// Jobs that were accepted longer ago than that limit, even if some of their tasks
    /// started since.
    pub late_jobs: u64,
    /// The share of jobs that started within [`WINDOW`], among these and the overdue
    /// ones; 1 if there are neither.
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    total: Counts,
    recent: VecDeque<(u64, Counts)>,
}

/// Counts job events by group.
#[derive(Clone, Debug)]
pub struct ShareTracker<K>(BTreeMap<K, Group>);

impl<K> Default for ShareTracker<K> {
    fn default() -> Self {
        ShareTracker(BTreeMap::new())
    }
}

impl<K: Ord + Clone> ShareTracker<K> {
    /// Counts an event.
    pub fn record(&mut self, now: Time, group: &K, event: JobEvent) {
        if !self.0.contains_key(group) {
            self.0.insert(group.clone(), Group::default());
        }
        let Some(entry) = self.0.get_mut(group) else {
            return;
        };
        entry.total.record(event);
        let bucket = now.0 / BUCKET.0;
        entry.drop_expired(bucket);
        match entry.recent.back_mut().filter(|(at, _)| *at == bucket) {
            Some((_, counts)) => counts.record(event),
            None => {
                let mut counts = Counts::default();
                counts.record(event);
                entry.recent.push_back((bucket, counts));
            }
        }
    }

    /// The metrics of every group that has recorded an event or waits now.
    pub fn metrics(
        &mut self,
        now: Time,
        waiting: &BTreeMap<K, WaitingJobs>,
    ) -> BTreeMap<K, GroupMetrics> {
        let mut all: BTreeMap<K, GroupMetrics> = BTreeMap::new();
        for (key, group) in &mut self.0 {
            group.drop_expired(now.0 / BUCKET.0);
            all.insert(key.clone(), GroupMetrics::of(group, waiting.get(key)));
        }
        for (key, jobs) in waiting {
            all.entry(key.clone())
                .or_insert_with(|| GroupMetrics::of(&Group::default(), Some(jobs)));
        }
        all
    }
}

impl Group {
    fn drop_expired(&mut self, bucket: u64) {
        let buckets = WINDOW.0 / BUCKET.0;
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| at + buckets < bucket)
        {
            self.recent.pop_front();
        }
    }
}

impl GroupMetrics {
    fn of(group: &Group, waiting: Option<&WaitingJobs>) -> GroupMetrics {
        let mut recent = Counts::default();
        for (_, counts) in &group.recent {
            recent.add(counts);
        }
        let waiting = waiting.copied().unwrap_or_default();
        let due = recent.begun + waiting.overdue;
        GroupMetrics {
            total: group.total,
            recent,
            waiting_jobs: waiting.jobs,
            waiting_tasks: waiting.tasks,
            oldest_wait_s: waiting.oldest.as_secs(),
            overdue_jobs: waiting.overdue,
            late_jobs: waiting.late,
            share: match due {
                0 => 1.0,
                _ => recent.begun as f64 / due as f64,
            },
        }
    }
}

/// Which groups are served before all others, and with how much of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairnessPolicy {
    /// Share of the fleet that is reserved for all groups below the minimum together; 0
    /// disables the guaranteed minimum.
    pub reserved_share: f64,
    /// The guaranteed minimum: a group is below it if a smaller share of its jobs
    /// starts in time.
    pub min_share: f64,
    /// How long a job without any started task may be overtaken by others; no bound if
    /// none.
    pub max_overtaken: Option<Span>,
}

/// One in so many tasks of a job that was overtaken too long starts ahead of others.
const TASKS_PER_BOOSTED_TASK: u64 = 10;

impl FairnessPolicy {
    /// Whether a group is below the minimum share: it has overdue jobs, and too few
    /// started within [`WINDOW`]. A group that was below (`was_below`) stays so until
    /// none of its jobs is late: otherwise the first start alone would leave the rest
    /// to wait as long again.
    pub fn is_below_minimum(&self, was_below: bool, metrics: &GroupMetrics) -> bool {
        let falls_below = metrics.overdue_jobs > 0 && metrics.share < self.min_share;
        self.reserved_share > 0.0 && (falls_below || was_below && metrics.late_jobs > 0)
    }

    /// How many tasks of a job start ahead of others, if `waiting` of its `tasks` wait
    /// and none has started for `waited`. Only a part of them: jobs of thousands of
    /// tasks would preempt everyone else's.
    pub fn boosted_tasks(&self, tasks: u64, waiting: u64, waited: Span) -> u64 {
        match self.max_overtaken {
            Some(max) if waited >= max => tasks.div_ceil(TASKS_PER_BOOSTED_TASK).min(waiting),
            _ => 0,
        }
    }

    /// The budget of each group below the minimum share: how much more it may take
    /// ahead of others, given what the groups use of a fleet of size `fleet`. It is
    /// negative for a group that already has more than an equal part, for instance one
    /// that floods the fleet and is below the minimum only for that reason; its part
    /// goes to the other groups.
    pub fn budgets<K: Ord + Clone>(&self, fleet: i64, used: &BTreeMap<K, i64>) -> BTreeMap<K, i64> {
        let reserved = (fleet as f64 * self.reserved_share) as i64;
        let mut usages: Vec<i64> = used.values().copied().collect();
        usages.sort_unstable();
        // Drops the largest users one by one while they have more than an equal part.
        while usages.len() > 1
            && usages
                .last()
                .is_some_and(|u| *u > reserved / usages.len() as i64)
        {
            usages.pop();
        }
        let part = reserved / usages.len().max(1) as i64;
        let max = usages.last().copied().unwrap_or(0);
        let budget = |(key, used): (&K, &i64)| match *used > max {
            true => (key.clone(), -used),
            false => (key.clone(), part - used),
        };
        used.iter().map(budget).collect()
    }
}
