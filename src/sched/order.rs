//! The order in which jobs are served, computed once for each pass.

use super::fleet::Shortage;
use super::inheritance::LATE_FACTOR;
use super::job::Job;
use super::{Resources, Scheduler, estimate};
use crate::ids::{JobId, Team};
use crate::settings::Objective;
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Weight of the time for which a job would fill the fleet; it counts against the job.
const WORK_WEIGHT: f64 = 12.0;

/// The tiers up to this one are urgent: production and high priority.
const MAX_URGENT_TIER: u8 = 1;

/// The position of a job in the order; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    tier: u8,
    latest_start_s: f64,
    seq: u64,
}

/// One turn of a job in a pass.
#[derive(Clone, Debug)]
pub(super) struct Turn {
    pub job: JobId,
    /// At most this many of its tasks start in this turn; none: no bound.
    pub max_tasks: Option<i64>,
    /// The turn is ahead of the job's position in the order, where it has another turn.
    pub boosted: bool,
}

/// The ranks of all jobs at one moment.
pub(super) struct Order {
    within_guarantee: HashSet<JobId>,
    /// Some job that is ready may not use machines that the cloud can reclaim.
    pub ordinary_machines_wanted: bool,
    /// A gang found too few machines in the last pass.
    pub gang_is_waiting: bool,
    ranks: HashMap<JobId, Rank>,
}

impl Order {
    /// Whether the job fits within its team's guarantee, along with the team's earlier
    /// jobs.
    pub fn is_within_guarantee(&self, id: &JobId) -> bool {
        self.within_guarantee.contains(id)
    }

    pub fn rank(&self, id: &JobId) -> Option<&Rank> {
        self.ranks.get(id)
    }

    /// The turns of the jobs with tasks to start, in the order of service. Boosted
    /// tasks of jobs below the guaranteed minimum come first; such jobs have a second
    /// turn at their own position. The second value is the number of turns before that
    /// of the job at which the last pass stopped.
    pub fn turns(&self, sched: &Scheduler, now: Time) -> (Vec<Turn>, usize) {
        let may_start = |job: &&Job| job.pending() > 0 && now >= job.backoff_until;
        let boosted = sched
            .service_shares
            .boosted_jobs()
            .filter_map(|id| sched.jobs.get(id));
        let boosted = boosted.filter(may_start).map(|job| Turn {
            job: job.id().clone(),
            max_tasks: sched.service_shares.boosted_tasks(job.id()),
            boosted: true,
        });
        let waiting = sched.jobs.values().filter(may_start);
        let mut ranked: Vec<(&Rank, &JobId)> = waiting
            .filter_map(|job| Some((self.ranks.get(job.id())?, job.id())))
            .collect();
        ranked.sort_by(|a, b| a.0.partial_cmp(b.0).unwrap_or(std::cmp::Ordering::Equal));
        // A job that fails everywhere is tried with one task at a time: with all of its
        // tasks it takes machines from others, and fetches its image on each, in vain.
        let tried_singly = |job: &&Job| job.failed_on_many_machines() && !job.has_healthy_task(now);
        let remaining = |job: &Job| 1 - job.active.len().min(1) as i64;
        let singly_limit = |id: &JobId| sched.jobs.get(id).filter(tried_singly).map(remaining);
        // Continues where the last pass stopped, after the urgent jobs.
        let start = sched.resume_pass_at.as_ref();
        let start = start.and_then(|id| ranked.iter().position(|entry| entry.1 == id));
        let (before, following) = ranked.split_at(start.unwrap_or(0));
        let (urgent, others): (Vec<_>, Vec<_>) = before
            .iter()
            .partition(|entry| entry.0.tier <= MAX_URGENT_TIER);
        let urgent_count = urgent.len();
        let ranked = urgent.into_iter().chain(following).chain(others);
        let turns = ranked.map(|(_, id)| Turn {
            job: (*id).clone(),
            max_tasks: singly_limit(id),
            boosted: false,
        });
        let mut all_turns: Vec<Turn> = boosted.collect();
        let turns_ahead = all_turns.len() + urgent_count;
        all_turns.extend(turns);
        if sched.pass_stalled {
            all_turns.rotate_left(turns_ahead);
            return (all_turns, 0);
        }
        (all_turns, turns_ahead)
    }
}

impl Scheduler {
    pub(super) fn job_order(&self, now: Time) -> Order {
        let within_guarantee = self.jobs_within_guarantee();
        let mut capacity = Resources::default();
        for machine in self.machines.values().filter(|machine| !machine.closed) {
            capacity += machine.capacity;
        }
        let rank = |job: &Job| {
            let within_guarantee = within_guarantee.contains(job.id());
            let starved = self.service_shares.is_starved(job.id());
            let tier = match job.priority() {
                _ if starved => 0,
                Priority::Production => 0,
                Priority::High => 1,
                _ if within_guarantee => 2,
                Priority::Normal => 3,
                Priority::Low => 4,
            };
            let latest_start_s = match starved {
                true => 0.0,
                false => self.latest_start(now, job, within_guarantee, &capacity),
            };
            let seq = job.seq;
            (
                job.id().clone(),
                Rank {
                    tier,
                    latest_start_s: latest_start_s,
                    seq,
                },
            )
        };
        let in_order = |job: &&Job| job.needs.is_empty() || !job.active.is_empty();
        let ranks = self.jobs.values().filter(in_order).map(rank).collect();
        let ordinary_machines_wanted = self
            .jobs
            .values()
            .any(|job| !job.spec.spot && job.needs.is_empty());
        let is_ordinary_gang = |shortage: &Shortage| {
            let job = self.jobs.get(&shortage.job);
            job.is_some_and(|job| job.spec.kind == JobKind::Gang && !job.spec.spot)
        };
        let gang_is_waiting = self.fleet.shortages.iter().any(is_ordinary_gang);
        Order {
            within_guarantee: within_guarantee,
            ordinary_machines_wanted: ordinary_machines_wanted,
            gang_is_waiting: gang_is_waiting,
            ranks,
        }
    }

    /// The jobs that fit within their team's guarantee along with the team's earlier
    /// unfinished ones. A job with unfinished dependencies is not counted; its position
    /// is set when they are done.
    fn jobs_within_guarantee(&self) -> HashSet<JobId> {
        let is_counted = |job: &&Job| !job.cancelled && job.needs.is_empty();
        let mut by_seq: Vec<_> = self.jobs.values().filter(is_counted).collect();
        by_seq.sort_by_key(|job| job.seq);
        let mut used: BTreeMap<&Team, (Resources, Resources)> = BTreeMap::new();
        let mut within = HashSet::new();
        for job in by_seq {
            let team = &job.spec.team;
            let Some(guarantee) = self.teams.guarantee(team) else {
                continue;
            };
            let (total, guarantee) = used
                .entry(team)
                .or_insert((Resources::default(), guarantee));
            *total += job.need.scaled(job.unfinished() as i64);
            if total.cpu <= guarantee.cpu && total.gpu <= guarantee.gpu {
                within.insert(job.id().clone());
            }
        }
        within
    }

    /// The latest start, in seconds, for the next of its objectives that the job can
    /// still meet; jobs that can meet none come last.
    fn latest_start(
        &self,
        now: Time,
        job: &Job,
        within_guarantee: bool,
        capacity: &Resources,
    ) -> f64 {
        let run_s = estimate::of(job).as_secs();
        let run_s = if run_s > 1e9 { 0.0 } else { run_s };
        let arrived_s = job.arrived.0 as f64 / 1e6;
        let ready_s = job.ready_since.0 as f64 / 1e6;
        let now_s = now.0 as f64 / 1e6;
        let mut earliest_s = f64::INFINITY;
        let mut consider = |start_s: f64| {
            if start_s >= now_s && start_s < earliest_s {
                earliest_s = start_s;
            }
        };
        if let Some(deadline_s) = job.spec.deadline_s {
            consider(arrived_s + deadline_s - run_s);
            consider(arrived_s + LATE_FACTOR * deadline_s - run_s);
        }
        // Deadlines inherited from dependent jobs, over the longest path.
        let inherited = job.inherited.due;
        for due in [inherited.in_time, inherited.late].into_iter().flatten() {
            consider(due.0 as f64 / 1e6 - run_s);
        }
        for objective in &self.config.objectives {
            let is_own_class = objective.class.as_ref() == Some(&job.spec.class);
            let Some(limit_s) = objective.within_s else {
                continue;
            };
            match objective.kind.as_str() {
                "finished" if is_own_class => consider(ready_s + limit_s - run_s),
                "wait" if is_own_class => consider(ready_s + limit_s),
                "guarantee" if within_guarantee => consider(ready_s + limit_s),
                _ => {}
            }
        }
        // Of two jobs with similar latest starts, the one that needs less of the fleet
        // goes first: more jobs meet their objectives that way.
        let fleet_seconds = job.need.dominant_share_of(capacity) * job.unfinished() as f64 * run_s;
        earliest_s + WORK_WEIGHT * fleet_seconds
    }

    /// The next deadline of the job that is not past yet.
    pub(super) fn next_deadline(&self, now: Time, job: &Job) -> Option<Time> {
        let is_own_class = |objective: &&Objective| {
            objective.kind == "finished" && objective.class.as_ref() == Some(&job.spec.class)
        };
        let objectives = self
            .config
            .objectives
            .iter()
            .filter(is_own_class)
            .filter_map(|objective| objective.within_s);
        let objectives = objectives.map(|limit_s| job.ready_since + Span::secs(limit_s));
        let deadline = job.spec.deadline_s.into_iter();
        let deadline = deadline.flat_map(|deadline_s| [deadline_s, LATE_FACTOR * deadline_s]);
        let deadline = deadline.map(|limit_s| job.arrived + Span::secs(limit_s));
        let inherited = [job.inherited.due.in_time, job.inherited.due.late];
        let deadlines = objectives
            .chain(deadline)
            .chain(inherited.into_iter().flatten());
        deadlines.filter(|deadline| *deadline > now).min()
    }

    /// The time by which a task of the job should start, for the next of its waiting
    /// objectives that it can still meet.
    pub(super) fn start_by(&self, now: Time, job: &Job, within_guarantee: bool) -> Option<Time> {
        let applies = |objective: &&Objective| match objective.kind.as_str() {
            "wait" => objective.class.as_ref() == Some(&job.spec.class),
            "guarantee" => within_guarantee,
            _ => false,
        };
        let objectives = self.config.objectives.iter().filter(applies);
        let start_times = objectives
            .filter_map(|objective| Some(job.ready_since + Span::secs(objective.within_s?)));
        start_times.filter(|start| *start > now).min()
    }
}
