//! Who is served, by class and by team, and room for who hardly is.
//!
//! The figures are [`hookworks_fairness`]'s; here is what happens to jobs, what
//! waits, and what follows for placing. A class or team below the floor gets the
//! room set aside for it ahead of all but production work, and keeps it from being
//! stopped, until it has that much; the rest of its jobs keep their place in the
//! order. Gangs, services and jobs of a single zone are counted, but not lifted:
//! room for them is found by other rules.

use super::Resources;
use super::Scheduler;
use super::job::Job;
use super::place::is_placed_individually;
use crate::ids::{Class, JobId, TaskId, TaskIx, Team};
use crate::time::{Span, Time};
use hookworks_fairness::{
    FairnessPolicy, GroupMetrics, JobEvent, LargestJobs, LargestJobsMetrics, ShareTracker,
    WaitingJobs,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// GroupMetrics are made up so often.
const UPDATE_INTERVAL: Span = Span(1_000_000);
/// Share of the fleet that goes ahead at a look to jobs that were overtaken for long.
const MAX_OVERTAKEN_SHARE: f64 = 0.01;
/// A class without aims may wait so long.
const DEFAULT_MAX_WAIT_S: f64 = 120.0;

/// GroupMetrics by class and by team.
#[derive(Default, Serialize)]
pub struct FairnessOverview {
    pub classes: BTreeMap<String, GroupMetrics>,
    pub teams: BTreeMap<String, GroupMetrics>,
    /// The largest jobs of each class, until they begin.
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
    /// Tasks that may start ahead of others until the next look.
    boosted: BTreeMap<JobId, i64>,
    /// Jobs that go first as a whole, as no part of them can start by itself.
    starved: BTreeSet<JobId>,
    /// Who is below the floor.
    below_minimum: (BTreeSet<Class>, BTreeSet<Team>),
    /// Tasks that were started so, until they are gone.
    protected: BTreeSet<TaskId>,
}

impl FairnessState {
    pub fn new(floor: FairnessPolicy) -> FairnessState {
        FairnessState {
            policy: floor,
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

    pub fn record(&mut self, now: Time, class: &Class, team: &Team, what: JobEvent) {
        self.classes.record(now, class, what);
        self.teams.record(now, team, what);
    }

    fn record_size(&mut self, class: &Class, tasks: u32) {
        if !self.largest.contains_key(class) {
            self.largest.insert(class.clone(), LargestJobs::default());
        }
        if let Some(l) = self.largest.get_mut(class) {
            l.record_size(tasks as u64);
        }
    }

    /// So many of its tasks may start ahead of others.
    pub fn boosted_tasks(&self, id: &JobId) -> Option<i64> {
        self.boosted.get(id).copied().filter(|n| *n > 0)
    }

    /// It has been overtaken for as long as it may be, and goes first.
    pub fn is_starved(&self, id: &JobId) -> bool {
        self.starved.contains(id)
    }

    pub fn boosted_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.boosted
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|(id, _)| id)
    }

    /// One of its tasks starts.
    pub fn task_started(&mut self, id: &JobId, ix: TaskIx) {
        if let Some(n) = self.boosted.get_mut(id).filter(|n| **n > 0) {
            *n -= 1;
            let job = id.clone();
            self.protected.insert(TaskId { job, ix });
        }
    }

    pub fn task_ended(&mut self, t: &TaskId) {
        self.protected.remove(t);
    }

    /// It is not stopped for others: its room was set aside for it.
    pub fn is_protected(&self, t: &TaskId) -> bool {
        self.protected.contains(t)
    }

    pub fn overview(&self) -> FairnessOverview {
        let (classes, teams) = &self.metrics;
        let names = |(k, f): (&Class, &GroupMetrics)| (k.to_string(), *f);
        let teams = teams.iter().map(|(k, f)| (k.to_string(), *f));
        FairnessOverview {
            classes: classes.iter().map(names).collect(),
            teams: teams.collect(),
            largest: self
                .largest_metrics
                .iter()
                .map(|(k, f)| (k.to_string(), *f))
                .collect(),
        }
    }
}

/// Since when a job has waited for a start of the tasks that it still has.
fn waiting_for_start_since(j: &Job) -> Time {
    let latest = j.active.values().map(|l| l.placed).max();
    latest.map_or(j.ready_since, |t| t.max(j.ready_since))
}

impl Scheduler {
    /// JobEvent a class may wait: the longest of its aims.
    fn max_wait_by_class(&self) -> BTreeMap<Class, Span> {
        let mut all: BTreeMap<Class, f64> = BTreeMap::new();
        for o in &self.config.objectives {
            if let (Some(c), Some(s)) = (&o.class, o.within_s) {
                let longest = all.entry(c.clone()).or_default();
                *longest = longest.max(s);
            }
        }
        all.into_iter().map(|(c, s)| (c, Span::secs(s))).collect()
    }

    /// Jobs that a new leader finds on record.
    pub(super) fn record_loaded_jobs(&mut self, now: Time) {
        for j in self.jobs.values().filter(|j| j.needs.is_empty()) {
            let (class, team) = (&j.spec.class, &j.spec.team);
            self.service_shares
                .record(now, class, team, JobEvent::Accepted);
            self.service_shares.record_size(class, j.spec.tasks);
            if j.history.first_start().is_some() {
                self.service_shares
                    .record(now, class, team, JobEvent::Started);
            }
        }
    }

    pub(super) fn record_job_event(&mut self, now: Time, id: &JobId, what: JobEvent) {
        if let Some(j) = self.jobs.get(id) {
            self.service_shares
                .record(now, &j.spec.class, &j.spec.team, what);
            let class = &j.spec.class;
            match what {
                JobEvent::Accepted => self.service_shares.record_size(class, j.spec.tasks),
                JobEvent::Started => {
                    if let Some(l) = self.service_shares.largest.get_mut(class) {
                        l.record_start(j.spec.tasks as u64, now - j.ready_since);
                    }
                }
                _ => {}
            }
        }
    }

    /// Makes the figures up, and decides who is below the floor.
    pub(super) fn update_fairness(&mut self, now: Time) {
        if now < self.service_shares.update_at {
            return;
        }
        self.service_shares.update_at = now + UPDATE_INTERVAL;
        let patience = self.max_wait_by_class();
        let usual = Span::secs(DEFAULT_MAX_WAIT_S);
        let mut by_class: BTreeMap<Class, WaitingJobs> = BTreeMap::new();
        let mut by_team: BTreeMap<Team, WaitingJobs> = BTreeMap::new();
        let mut unbegun: BTreeMap<Class, Vec<(u64, Span)>> = BTreeMap::new();
        // One that fails everywhere waits for its user, not for room.
        let waits = |j: &&Job| j.pending() > 0 && !j.failed_on_many_machines();
        for j in self.jobs.values().filter(waits) {
            let (tasks, waited) = (j.pending() as u64, now - waiting_for_start_since(j));
            let came = now - j.ready_since;
            let p = patience.get(&j.spec.class).copied().unwrap_or(usual);
            let class = by_class.entry(j.spec.class.clone()).or_default();
            class.add(tasks, came, waited, p);
            let team = by_team.entry(j.spec.team.clone()).or_default();
            team.add(tasks, came, waited, p);
            if j.history.first_start().is_none() {
                let class = unbegun.entry(j.spec.class.clone()).or_default();
                class.push((j.spec.tasks as u64, came));
            }
        }
        let b = &mut self.service_shares;
        b.metrics = (
            b.classes.metrics(now, &by_class),
            b.teams.metrics(now, &by_team),
        );
        let figures = |(class, l): (&Class, &LargestJobs)| {
            let waiting = unbegun.get(class).into_iter().flatten().copied();
            (class.clone(), l.metrics(waiting))
        };
        b.largest_metrics = b.largest.iter().map(figures).collect();
        self.boost_below_minimum();
        self.boost_overtaken(now);
    }

    /// Jobs that have been overtaken for as long as they may be without any start.
    /// Where many large ones were late for all their aims, they came last of all and
    /// never began. A little at a time, the longest waiting first: under a flood with
    /// hundreds of them, a part of each at once took all writes there were, and the
    /// leader could not keep up.
    fn boost_overtaken(&mut self, now: Time) {
        let floor = self.service_shares.policy;
        let waits = |j: &&Job| {
            let begun = j.history.first_start().is_some() || !j.active.is_empty();
            j.pending() > 0 && !begun && now >= j.backoff_until && !j.failed_on_many_machines()
        };
        let ahead = |j: &Job| {
            let waiting = j.pending() as u64;
            floor.boosted_tasks(j.spec.tasks as u64, waiting, now - j.ready_since) as i64
        };
        let mut late: Vec<(&Job, i64)> = self
            .jobs
            .values()
            .filter(waits)
            .map(|j| (j, ahead(j)))
            .filter(|(_, n)| *n > 0)
            .collect();
        late.sort_by_key(|(j, _)| (j.ready_since, j.seq));
        let fleet: i64 = self.machines.values().map(|m| m.capacity.cpu).sum();
        let mut left = (fleet as f64 * MAX_OVERTAKEN_SHARE) as i64;
        let mut first = BTreeSet::new();
        for (j, n) in late {
            if is_placed_individually(j) {
                first.insert(j.id().clone());
                left -= j.need.cpu * j.pending() as i64;
            } else {
                let lifted = self
                    .service_shares
                    .boosted
                    .entry(j.id().clone())
                    .or_default();
                *lifted = n.max(*lifted);
                left -= j.need.cpu * n;
            }
            if left <= 0 {
                break;
            }
        }
        self.service_shares.starved = first;
    }

    /// Room for the classes and teams below the floor, job by job.
    fn boost_below_minimum(&mut self) {
        let floor = self.service_shares.policy;
        let (classes, teams) = &self.service_shares.metrics;
        let mut classes: BTreeMap<Class, i64> =
            groups_below_minimum(classes, &self.service_shares.below_minimum.0, &floor);
        let mut teams: BTreeMap<Team, i64> =
            groups_below_minimum(teams, &self.service_shares.below_minimum.1, &floor);
        self.service_shares.below_minimum.0 = classes.keys().cloned().collect();
        self.service_shares.below_minimum.1 = teams.keys().cloned().collect();
        self.service_shares.boosted.clear();
        if classes.is_empty() && teams.is_empty() {
            return;
        }
        let mut fleet = Resources::default();
        for m in self.machines.values() {
            fleet += m.capacity;
        }
        for j in self.jobs.values() {
            let uses = j.need.cpu * j.active.len() as i64;
            if let Some(n) = classes.get_mut(&j.spec.class) {
                *n += uses;
            }
            if let Some(n) = teams.get_mut(&j.spec.team) {
                *n += uses;
            }
        }
        // Both tables together are set aside no more than the floor.
        let part = |groups: usize, others: usize| match others {
            0 => fleet.cpu,
            _ => fleet.cpu * groups as i64 / (groups + others) as i64,
        };
        let (c, t) = (classes.len(), teams.len());
        let mut classes = floor.budgets(part(c, t), &classes);
        let mut teams = floor.budgets(part(t, c), &teams);
        // Those that have waited for longest first.
        let waits = |j: &&Job| {
            j.pending() > 0 && !is_placed_individually(j) && !j.failed_on_many_machines()
        };
        let mut waiting: Vec<&Job> = self.jobs.values().filter(waits).collect();
        waiting.sort_by_key(|j| (waiting_for_start_since(j), j.seq));
        let mut lifted = BTreeMap::new();
        for j in waiting {
            let class = classes.get_mut(&j.spec.class).filter(|n| **n > 0);
            let left = match class {
                Some(n) => Some(n),
                None => teams.get_mut(&j.spec.team).filter(|n| **n > 0),
            };
            let Some(left) = left else { continue };
            let need = j.need.cpu.max(1);
            let tasks = (*left).div_euclid(need).max(1).min(j.pending() as i64);
            *left -= tasks * need;
            lifted.insert(j.id().clone(), tasks);
        }
        self.service_shares.boosted = lifted;
    }

    /// CPUs that a team's attempts take, all that are not proven gone.
    pub fn team_cpus_used(&self, t: &Team) -> f64 {
        let used = self.teams.used(t).unwrap_or_default();
        used.cpu as f64 / 1000.0
    }

    /// One line for whoever reads the log.
    pub(super) fn log_fairness(&self) {
        let line = |all: BTreeMap<String, GroupMetrics>| {
            let one = |(k, f): (String, GroupMetrics)| {
                let (r, w) = (f.recent, f.waiting_jobs);
                let (oldest, share) = (f.oldest_wait_s, f.share);
                format!(
                    "{k}: came {} begun {} done {} refused {} waits {w}/{} oldest {oldest:.0} share {share:.2}",
                    r.came, r.begun, r.done, r.refused, f.waiting_tasks
                )
            };
            let all: Vec<String> = all.into_iter().map(one).collect();
            all.join("; ")
        };
        let v = self.service_shares.overview();
        let below = self.service_shares.boosted_jobs().count();
        let one = |(k, f): (&String, &LargestJobsMetrics)| {
            let (from, begun, waiting) = (f.tasks_from, f.begun, f.waiting);
            let (longest, oldest) = (f.longest_s, f.oldest_s);
            format!(
                "{k}: from {from} tasks begun {begun} after {longest:.0} at most, waits {waiting} for {oldest:.0}"
            )
        };
        let largest: Vec<String> = v.largest.iter().map(one).collect();
        tracing::info!(largest = %largest.join("; "), classes = %line(v.classes), teams = %line(v.teams), lifted_jobs = below, "served");
    }
}

/// Groups below the floor; what they use is yet to be added up.
fn groups_below_minimum<K: Ord + Clone>(
    all: &BTreeMap<K, GroupMetrics>,
    were: &BTreeSet<K>,
    floor: &FairnessPolicy,
) -> BTreeMap<K, i64> {
    let low = all
        .iter()
        .filter(|(k, f)| floor.is_below_minimum(were.contains(k), f));
    low.map(|(k, _)| (k.clone(), 0)).collect()
}
