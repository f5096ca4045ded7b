//! Fair shares of classes and teams: metrics by class and by team, and boosts for those
//! that get too little.
//!
//! The metrics are computed by [`hookworks_fairness`]; this module feeds it with job
//! events and waiting jobs, and derives what follows for placement. A class or team
//! below the guaranteed minimum is served from the reserved part of the fleet, before
//! all jobs but production work, and the tasks started that way are protected from
//! preemption, until the group has that much; the rest of its jobs keep their position
//! in the order. Gangs, services and jobs of a single zone are counted, but not
//! boosted: other rules place them.

use super::Resources;
use super::Scheduler;
use super::job::Job;
use super::place::is_placed_individually;
use crate::ids::{Class, JobId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use hookworks_fairness::{
    FairnessPolicy, GroupMetrics, JobEvent, LargestJobs, LargestJobsMetrics, ShareTracker,
    WaitingJobs,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How often the metrics are updated.
const UPDATE_INTERVAL: Span = Span(1_000_000);
/// Share of the fleet that each update boosts for jobs that were overtaken too long.
const MAX_OVERTAKEN_SHARE: f64 = 0.01;
/// How long a job of a class without objectives may wait.
const DEFAULT_MAX_WAIT_S: f64 = 120.0;

/// Fair-share metrics by class and by team.
#[derive(Default, Serialize)]
pub struct FairnessOverview {
    pub classes: BTreeMap<String, GroupMetrics>,
    pub teams: BTreeMap<String, GroupMetrics>,
    /// Waits for the first start of the largest jobs of each class.
    pub largest: BTreeMap<String, LargestJobsMetrics>,
}

pub struct FairnessState {
    policy: FairnessPolicy,
    classes: ShareTracker<Class>,
    teams: ShareTracker<Team>,
    metrics: (BTreeMap<Class, GroupMetrics>, BTreeMap<Team, GroupMetrics>),
    largest: BTreeMap<Class, LargestJobs>,
    largest_metrics: BTreeMap<Class, LargestJobsMetrics>,
    update_at: Time,
    /// How many tasks of each job may start ahead of others until the next update.
    boosted: BTreeMap<JobId, i64>,
    /// Overtaken jobs that go first as a whole, as no part of them can start by itself.
    starved: BTreeSet<JobId>,
    /// The classes and teams below the guaranteed minimum.
    below_minimum: (BTreeSet<Class>, BTreeSet<Team>),
    /// Boosted tasks that were started and have not ended; they are not preempted.
    protected: BTreeSet<TaskId>,
}

impl FairnessState {
    pub fn new(policy: FairnessPolicy) -> FairnessState {
        FairnessState {
            policy,
            classes: ShareTracker::default(),
            teams: ShareTracker::default(),
            metrics: Default::default(),
            largest: BTreeMap::new(),
            largest_metrics: BTreeMap::new(),
            update_at: Time::default(),
            boosted: BTreeMap::new(),
            starved: BTreeSet::new(),
            below_minimum: Default::default(),
            protected: BTreeSet::new(),
        }
    }

    pub fn record(&mut self, now: Time, class: &Class, team: &Team, event: JobEvent) {
        self.classes.record(now, class, event);
        self.teams.record(now, team, event);
    }

    fn record_size(&mut self, class: &Class, tasks: u32) {
        if !self.largest.contains_key(class) {
            self.largest.insert(class.clone(), LargestJobs::default());
        }
        if let Some(sizes) = self.largest.get_mut(class) {
            sizes.record_size(tasks as u64);
        }
    }

    /// How many of its tasks may start ahead of others, if any.
    pub fn boosted_tasks(&self, id: &JobId) -> Option<i64> {
        self.boosted.get(id).copied().filter(|tasks| *tasks > 0)
    }

    /// Whether the job has been overtaken for as long as it may be, and goes first as a
    /// whole.
    pub fn is_starved(&self, id: &JobId) -> bool {
        self.starved.contains(id)
    }

    pub fn boosted_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.boosted
            .iter()
            .filter(|(_, tasks)| **tasks > 0)
            .map(|(id, _)| id)
    }

    /// A task of the job starts; counts it against the boost of the job, if there is
    /// one.
    pub fn task_started(&mut self, id: &JobId, ix: TaskIndex) {
        if let Some(tasks) = self.boosted.get_mut(id).filter(|tasks| **tasks > 0) {
            *tasks -= 1;
            let job = id.clone();
            self.protected.insert(TaskId { job, index: ix });
        }
    }

    pub fn task_ended(&mut self, task: &TaskId) {
        self.protected.remove(task);
    }

    /// Whether the task is protected from preemption, as it was started from reserved
    /// capacity.
    pub fn is_protected(&self, task: &TaskId) -> bool {
        self.protected.contains(task)
    }

    pub fn overview(&self) -> FairnessOverview {
        let (classes, teams) = &self.metrics;
        let named = |(name, metrics): (&Class, &GroupMetrics)| (name.to_string(), *metrics);
        let teams = teams
            .iter()
            .map(|(name, metrics)| (name.to_string(), *metrics));
        FairnessOverview {
            classes: classes.iter().map(named).collect(),
            teams: teams.collect(),
            largest: self
                .largest_metrics
                .iter()
                .map(|(name, metrics)| (name.to_string(), *metrics))
                .collect(),
        }
    }
}

/// The time since which the job has waited for a start of its remaining tasks.
fn waiting_for_start_since(job: &Job) -> Time {
    let last_start = job.active.values().map(|attempt| attempt.placed).max();
    last_start.map_or(job.ready_since, |start| start.max(job.ready_since))
}

impl Scheduler {
    /// The longest wait that the objectives of each class allow.
    fn max_wait_by_class(&self) -> BTreeMap<Class, Span> {
        let mut max_waits: BTreeMap<Class, f64> = BTreeMap::new();
        for objective in &self.config.objectives {
            if let (Some(class), Some(limit_s)) = (&objective.class, objective.within_s) {
                let longest = max_waits.entry(class.clone()).or_default();
                *longest = longest.max(limit_s);
            }
        }
        max_waits
            .into_iter()
            .map(|(class, limit_s)| (class, Span::secs(limit_s)))
            .collect()
    }

    /// Records the jobs that a new leader has loaded.
    pub(super) fn record_loaded_jobs(&mut self, now: Time) {
        for job in self.jobs.values().filter(|job| job.needs.is_empty()) {
            let (class, team) = (&job.spec.class, &job.spec.team);
            self.service_shares
                .record(now, class, team, JobEvent::Accepted);
            self.service_shares.record_size(class, job.spec.tasks);
            if job.history.first_start().is_some() {
                self.service_shares
                    .record(now, class, team, JobEvent::Started);
            }
        }
    }

    pub(super) fn record_job_event(&mut self, now: Time, id: &JobId, event: JobEvent) {
        if let Some(job) = self.jobs.get(id) {
            self.service_shares
                .record(now, &job.spec.class, &job.spec.team, event);
            let class = &job.spec.class;
            match event {
                JobEvent::Accepted => self.service_shares.record_size(class, job.spec.tasks),
                JobEvent::Started => {
                    if let Some(largest) = self.service_shares.largest.get_mut(class) {
                        largest.record_start(job.spec.tasks as u64, now - job.ready_since);
                    }
                }
                _ => {}
            }
        }
    }

    /// Updates the metrics, and decides which groups are below the guaranteed minimum.
    pub(super) fn update_fairness(&mut self, now: Time) {
        if now < self.service_shares.update_at {
            return;
        }
        self.service_shares.update_at = now + UPDATE_INTERVAL;
        let max_waits = self.max_wait_by_class();
        let default_max_wait = Span::secs(DEFAULT_MAX_WAIT_S);
        let mut by_class: BTreeMap<Class, WaitingJobs> = BTreeMap::new();
        let mut by_team: BTreeMap<Team, WaitingJobs> = BTreeMap::new();
        let mut not_started: BTreeMap<Class, Vec<(u64, Span)>> = BTreeMap::new();
        // A job that fails everywhere waits for its user, not for resources.
        let is_waiting = |job: &&Job| job.pending() > 0 && !job.failed_on_many_machines();
        for job in self.jobs.values().filter(is_waiting) {
            let (tasks, waited) = (job.pending() as u64, now - waiting_for_start_since(job));
            let age = now - job.ready_since;
            let max_wait = max_waits
                .get(&job.spec.class)
                .copied()
                .unwrap_or(default_max_wait);
            let class = by_class.entry(job.spec.class.clone()).or_default();
            class.add(tasks, age, waited, max_wait);
            let team = by_team.entry(job.spec.team.clone()).or_default();
            team.add(tasks, age, waited, max_wait);
            if job.history.first_start().is_none() {
                let class = not_started.entry(job.spec.class.clone()).or_default();
                class.push((job.spec.tasks as u64, age));
            }
        }
        let state = &mut self.service_shares;
        state.metrics = (
            state.classes.metrics(now, &by_class),
            state.teams.metrics(now, &by_team),
        );
        let metrics = |(class, largest): (&Class, &LargestJobs)| {
            let waiting = not_started.get(class).into_iter().flatten().copied();
            (class.clone(), largest.metrics(waiting))
        };
        state.largest_metrics = state.largest.iter().map(metrics).collect();
        self.boost_below_minimum();
        self.boost_overtaken(now);
    }

    /// Boosts jobs that have been overtaken for as long as they may be without any
    /// start. Otherwise many large jobs that are late for all their objectives come
    /// last and never start. Boosts are limited per update, the longest waiting first:
    /// under a flood with hundreds of such jobs, a part of each at once takes all
    /// writes of the state service, and the leader falls behind.
    fn boost_overtaken(&mut self, now: Time) {
        let policy = self.service_shares.policy;
        let is_waiting = |job: &&Job| {
            let has_started = job.history.first_start().is_some() || !job.active.is_empty();
            job.pending() > 0
                && !has_started
                && now >= job.backoff_until
                && !job.failed_on_many_machines()
        };
        let boost = |job: &Job| {
            let waiting = job.pending() as u64;
            policy.boosted_tasks(job.spec.tasks as u64, waiting, now - job.ready_since) as i64
        };
        let mut overtaken: Vec<(&Job, i64)> = self
            .jobs
            .values()
            .filter(is_waiting)
            .map(|job| (job, boost(job)))
            .filter(|(_, tasks)| *tasks > 0)
            .collect();
        overtaken.sort_by_key(|(job, _)| (job.ready_since, job.seq));
        let fleet_cpu: i64 = self.machines.values().map(|m| m.capacity.cpu).sum();
        let mut budget = (fleet_cpu as f64 * MAX_OVERTAKEN_SHARE) as i64;
        let mut starved = BTreeSet::new();
        for (job, tasks) in overtaken {
            if is_placed_individually(job) {
                starved.insert(job.id().clone());
                budget -= job.need.cpu * job.pending() as i64;
            } else {
                let boosted = self
                    .service_shares
                    .boosted
                    .entry(job.id().clone())
                    .or_default();
                *boosted = tasks.max(*boosted);
                budget -= job.need.cpu * tasks;
            }
            if budget <= 0 {
                break;
            }
        }
        self.service_shares.starved = starved;
    }

    /// Boosts jobs of the classes and teams below the guaranteed minimum, within the
    /// budget of each group.
    fn boost_below_minimum(&mut self) {
        let policy = self.service_shares.policy;
        let (classes, teams) = &self.service_shares.metrics;
        let mut classes: BTreeMap<Class, i64> =
            groups_below_minimum(classes, &self.service_shares.below_minimum.0, &policy);
        let mut teams: BTreeMap<Team, i64> =
            groups_below_minimum(teams, &self.service_shares.below_minimum.1, &policy);
        self.service_shares.below_minimum.0 = classes.keys().cloned().collect();
        self.service_shares.below_minimum.1 = teams.keys().cloned().collect();
        self.service_shares.boosted.clear();
        if classes.is_empty() && teams.is_empty() {
            return;
        }
        let mut fleet = Resources::default();
        for machine in self.machines.values() {
            fleet += machine.capacity;
        }
        for job in self.jobs.values() {
            let cpu_used = job.need.cpu * job.active.len() as i64;
            if let Some(amount) = classes.get_mut(&job.spec.class) {
                *amount += cpu_used;
            }
            if let Some(amount) = teams.get_mut(&job.spec.team) {
                *amount += cpu_used;
            }
        }
        // Classes and teams together get no more than the reserved share.
        let fleet_part = |groups: usize, others: usize| match others {
            0 => fleet.cpu,
            _ => fleet.cpu * groups as i64 / (groups + others) as i64,
        };
        let (class_count, team_count) = (classes.len(), teams.len());
        let mut classes = policy.budgets(fleet_part(class_count, team_count), &classes);
        let mut teams = policy.budgets(fleet_part(team_count, class_count), &teams);
        // Those that have waited longest come first.
        let is_waiting = |job: &&Job| {
            job.pending() > 0 && !is_placed_individually(job) && !job.failed_on_many_machines()
        };
        let mut waiting: Vec<&Job> = self.jobs.values().filter(is_waiting).collect();
        waiting.sort_by_key(|job| (waiting_for_start_since(job), job.seq));
        let mut boosted = BTreeMap::new();
        for job in waiting {
            let class = classes
                .get_mut(&job.spec.class)
                .filter(|amount| **amount > 0);
            let budget = match class {
                Some(amount) => Some(amount),
                None => teams.get_mut(&job.spec.team).filter(|amount| **amount > 0),
            };
            let Some(budget) = budget else { continue };
            let need = job.need.cpu.max(1);
            let tasks = (*budget).div_euclid(need).max(1).min(job.pending() as i64);
            *budget -= tasks * need;
            boosted.insert(job.id().clone(), tasks);
        }
        self.service_shares.boosted = boosted;
    }

    /// CPUs used by the team's attempts, counting all that are not proven to have
    /// ended.
    pub fn team_cpus_used(&self, team: &Team) -> f64 {
        let used = self.teams.used(team).unwrap_or_default();
        used.cpu as f64 / 1000.0
    }

    /// Logs the fair-share metrics in one line.
    pub(super) fn log_fairness(&self) {
        let line = |all: BTreeMap<String, GroupMetrics>| {
            let entry = |(name, metrics): (String, GroupMetrics)| {
                let (recent, waiting_jobs) = (metrics.recent, metrics.waiting_jobs);
                let (oldest, share) = (metrics.oldest_wait_s, metrics.share);
                format!(
                    "{name}: came {} begun {} done {} refused {} waits {waiting_jobs}/{} oldest {oldest:.0} share {share:.2}",
                    recent.came, recent.begun, recent.done, recent.refused, metrics.waiting_tasks
                )
            };
            let all: Vec<String> = all.into_iter().map(entry).collect();
            all.join("; ")
        };
        let overview = self.service_shares.overview();
        let boosted_jobs = self.service_shares.boosted_jobs().count();
        let entry = |(name, metrics): (&String, &LargestJobsMetrics)| {
            let (from, begun, waiting) = (metrics.tasks_from, metrics.begun, metrics.waiting);
            let (longest, oldest) = (metrics.longest_s, metrics.oldest_s);
            format!(
                "{name}: from {from} tasks begun {begun} after {longest:.0} at most, waits {waiting} for {oldest:.0}"
            )
        };
        let largest: Vec<String> = overview.largest.iter().map(entry).collect();
        tracing::info!(largest = %largest.join("; "), classes = %line(overview.classes), teams = %line(overview.teams), lifted_jobs = boosted_jobs, "fair-share metrics");
    }
}

/// The groups below the guaranteed minimum, with a usage of 0 that the caller adds up.
fn groups_below_minimum<K: Ord + Clone>(
    all: &BTreeMap<K, GroupMetrics>,
    were_below: &BTreeSet<K>,
    policy: &FairnessPolicy,
) -> BTreeMap<K, i64> {
    let below = all
        .iter()
        .filter(|(group, metrics)| policy.is_below_minimum(were_below.contains(group), metrics));
    below.map(|(group, _)| (group.clone(), 0)).collect()
}
