//! What a run notes while it goes on, and the figures worked out at its end.

use crate::counters::{Counters, StateRequests, TrafficTotals};
use crate::figures::{ControllerFigures, Figures, Sample, Times};
use crate::judge::Judge;
use crate::options::RunOptions;
use crate::pipeline::{self, PipelineFigures};
use crate::process::Usage;
use crate::run::Site;
use crate::workload;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// An urgent job should start within this.
const URGENT_WITHIN: Duration = Duration::from_millis(2200);
const SUBMITTED_WITHIN_MS: u64 = 200;
/// Seconds over which the peak is taken.
const PEAK_OVER: usize = 5;

/// What the counters show at one moment.
pub(crate) struct Snapshot {
    pub at: Instant,
    pub usages: Vec<Usage>,
    pub traffic: Vec<TrafficTotals>,
    pub state: BTreeMap<String, StateRequests>,
    pub starts: u64,
}

/// What the run noted while it watched.
#[derive(Default)]
pub(crate) struct Log {
    pub samples: Vec<Sample>,
    pub faults: Vec<String>,
    pub ended: Vec<String>,
    pub last_usage: Vec<Usage>,
    pub last_starts: u64,
}

/// What was asked of the state service between two snapshots, by purpose.
fn state_requests(first: &Snapshot, last: &Snapshot) -> BTreeMap<String, StateRequests> {
    let mut requests = last.state.clone();
    for (purpose, before) in &first.state {
        let now = requests.entry(purpose.clone()).or_default();
        now.requests -= before.requests;
        now.changes -= before.changes;
        now.refused -= before.refused;
    }
    requests
}

/// The largest mean of starts a second over some seconds in a row.
fn peak_starts_per_s(samples: &[Sample]) -> f64 {
    let seconds = PEAK_OVER.min(samples.len()).max(1);
    let starts = |window: &[Sample]| window.iter().map(|s| s.starts).sum::<u64>();
    let most = samples.windows(seconds).map(starts).max();
    most.unwrap_or(0) as f64 / seconds as f64
}

fn mean(samples: &[Sample], value: fn(&Sample) -> usize) -> f64 {
    let sum: usize = samples.iter().map(value).sum();
    sum as f64 / samples.len().max(1) as f64
}

/// Tasks that arrive a second in jobs that need no others.
fn arrivals_per_s(options: &RunOptions) -> f64 {
    let plans = workload::plans(options);
    let tasks: u32 = plans.iter().map(|plan| plan.spec.tasks).sum();
    f64::from(tasks) / options.length_s
}

impl Site {
    pub fn figures(&self, first: Snapshot, last: Snapshot, log: Log, load: [f64; 2]) -> Figures {
        let now = Instant::now();
        let options = &self.options;
        let samples = &log.samples;
        let measured_s = (last.at - first.at).as_secs_f64();
        let numbers = 0..options.controllers;
        let controllers = numbers.map(|c| self.of_controller(c, &first, &last, samples));
        let controllers = controllers.collect();
        let (urgent, submissions) = (self.urgent(now), self.submissions());
        let observations = self.users.observations();
        let mut judge = self.shared.judge();
        let counters = &self.shared.counters;
        Figures {
            options: options.clone(),
            load_average: load,
            measured_s,
            arrivals_per_s: arrivals_per_s(options),
            starts_per_s: (last.starts - first.starts) as f64 / measured_s,
            peak_starts_per_s: peak_starts_per_s(samples),
            running_mean: mean(samples, |s| s.running),
            unfinished_mean: mean(samples, |s| s.unfinished_jobs),
            finished_jobs: judge.finished(),
            urgent,
            submissions,
            given_up: observations.given_up,
            polls: observations.polls,
            polls_failed: observations.polls_failed,
            cancelled: observations.cancelled,
            pipelines: pipeline_figures(options, &judge, now),
            refusals: counters.refusals().values().sum(),
            refusals_by_reason: refusals_by_reason(counters),
            lost_tasks: counters.lost_tasks.load(Ordering::Relaxed),
            lease_ends: counters.lease_ends.load(Ordering::Relaxed),
            controllers,
            state: state_requests(&first, &last),
            faults: log.faults,
            ended_by_themselves: log.ended,
            verdict: judge.verdict(now),
            samples: log.samples,
        }
    }

    fn of_controller(
        &self,
        c: usize,
        first: &Snapshot,
        last: &Snapshot,
        samples: &[Sample],
    ) -> ControllerFigures {
        let (before, after) = (&first.usages[c], &last.usages[c]);
        let seconds = (last.at - first.at).as_secs_f64();
        let cores = || samples.iter().filter_map(|s| s.cores.get(c).copied());
        let led = samples.iter().filter(|s| s.leader == c).count();
        let thread = |(name, now): (&String, &f64)| {
            let was = before.by_thread.get(name).copied().unwrap_or(0.0);
            (name.clone(), (now - was).max(0.0) / seconds)
        };
        let traffic = last.traffic[c].iter();
        let traffic = traffic.map(|(with, a)| (*with, a.since(first.traffic[c][with])));
        ControllerFigures {
            label: self.shared.layout.label(c).to_string(),
            led: led as f64 / samples.len().max(1) as f64,
            cores_mean: cores().sum::<f64>() / samples.len().max(1) as f64,
            cores_peak: cores().fold(0.0, f64::max),
            cores_by_thread: after.by_thread.iter().map(thread).collect(),
            memory_mb: after.memory_mb,
            // Of a process that was started again the earlier one counts too.
            most_memory_mb: samples
                .iter()
                .filter_map(|s| s.memory_mb.get(c).copied())
                .fold(after.most_memory_mb, f64::max),
            threads: after.threads,
            most_threads: most(samples, |s| s.threads.get(c).copied()).max(after.threads),
            sockets: after.sockets,
            most_descriptors: most(samples, |s| s.descriptors.get(c).copied())
                .max(after.descriptors),
            traffic: traffic.collect(),
        }
    }

    /// How soon urgent jobs started; those submitted just before the end are
    /// left out.
    fn urgent(&self, now: Instant) -> Times {
        let observations = self.users.observations();
        let judge = self.shared.judge();
        let old_enough = observations
            .urgent
            .iter()
            .filter(|(_, at)| *at + URGENT_WITHIN < now);
        let waits: Vec<Option<Duration>> =
            old_enough.map(|(job, _)| judge.first_start(job)).collect();
        let mut started: Vec<Duration> = waits.iter().flatten().copied().collect();
        started.sort_unstable();
        let in_time = started.iter().filter(|w| **w <= URGENT_WITHIN).count();
        let quantile = |q: f64| {
            let i = ((waits.len() as f64 * q).ceil() as usize).saturating_sub(1);
            // One that never started counts as longer than all.
            started.get(i).map_or(f64::INFINITY, Duration::as_secs_f64)
        };
        Times {
            count: waits.len() as u64,
            share_in_time: in_time as f64 / waits.len().max(1) as f64,
            median_s: quantile(0.5),
            p99_s: quantile(0.99),
            never: (waits.len() - started.len()) as u64,
        }
    }

    fn submissions(&self) -> Times {
        let observations = self.users.observations();
        let taken = &observations.submissions;
        let in_time = taken.count_between(0, SUBMITTED_WITHIN_MS);
        Times {
            count: observations.submitted,
            share_in_time: in_time as f64 / observations.submitted.max(1) as f64,
            median_s: taken.value_at_quantile(0.5) as f64 / 1e3,
            p99_s: taken.value_at_quantile(0.99) as f64 / 1e3,
            never: observations.submitted - taken.len(),
        }
    }
}

fn refusals_by_reason(counters: &Counters) -> BTreeMap<String, u64> {
    let refusals = counters.refusals().into_iter();
    refusals.map(|(why, n)| (why.to_string(), n)).collect()
}

/// What became of the pipelines of a run that has some.
fn pipeline_figures(options: &RunOptions, judge: &Judge, now: Instant) -> Option<PipelineFigures> {
    let pipelines = options
        .has_pipelines()
        .then(|| pipeline::pipelines(options))?;
    Some(PipelineFigures::of(judge, &pipelines, now))
}

/// The largest value that any sample has.
fn most<T: Ord + Default>(samples: &[Sample], value: impl Fn(&Sample) -> Option<T>) -> T {
    samples.iter().filter_map(value).max().unwrap_or_default()
}

impl Log {
    pub fn take(&mut self, site: &Site, at: Duration) {
        let leader = site.leader().unwrap_or(site.shared.leader());
        site.shared.set_leader(leader);
        let (starts, running, unfinished_jobs) = {
            let judge = site.shared.judge();
            (judge.starts(), judge.on_machines(), judge.unfinished())
        };
        let all = 0..site.options.controllers;
        let usage = |c| site.controllers.usage(c, false).unwrap_or_default();
        let usages: Vec<Usage> = all.map(usage).collect();
        for c in site.controllers.ended() {
            let label = site.shared.layout.label(c).to_string();
            if !self.ended.contains(&label) {
                self.ended.push(label);
            }
        }
        let cores = self.cores_since_last(at, &usages);
        self.samples.push(Sample {
            at_s: at.as_secs_f64(),
            starts: starts - self.last_starts,
            running,
            unfinished_jobs,
            cores,
            memory_mb: usages.iter().map(|u| u.memory_mb).collect(),
            threads: usages.iter().map(|u| u.threads).collect(),
            descriptors: usages.iter().map(|u| u.descriptors).collect(),
            leader,
        });
        self.last_usage = usages;
        self.last_starts = starts;
    }

    /// Cores that each controller used since the last sample.
    fn cores_since_last(&self, at: Duration, usages: &[Usage]) -> Vec<f64> {
        let passed_s = at.as_secs_f64() - self.samples.last().map_or(0.0, |s| s.at_s);
        let cores = usages.iter().enumerate().map(|(number, usage)| {
            let last = self.last_usage.get(number);
            let before = last.map_or(usage.processor_s, |l| l.processor_s);
            // Less than before: it was started again.
            (usage.processor_s - before).max(0.0) / passed_s
        });
        cores.collect()
    }
}
