//! What a run measured, as JSON and as one page of text.

use crate::counters::{Counterpart, StateRequests, TrafficTotals};
use crate::judge::Verdict;
use crate::options::RunOptions;
use crate::pipeline::PipelineFigures;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    pub at_s: f64,
    pub starts: u64,
    pub running: usize,
    pub unfinished_jobs: usize,
    /// Cores used in this second, by controller.
    pub cores: Vec<f64>,
    pub memory_mb: Vec<f64>,
    pub threads: Vec<u64>,
    /// Open file descriptors, by controller.
    pub descriptors: Vec<usize>,
    pub leader: usize,
}

/// Times in seconds; a share counts all of `count`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Times {
    pub count: u64,
    pub share_in_time: f64,
    pub median_s: f64,
    pub p99_s: f64,
    pub never: u64,
}

/// What a controller took between the first arrival and the end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControllerFigures {
    pub label: String,
    /// Share of the seconds in which it led.
    pub led: f64,
    pub cores_mean: f64,
    pub cores_peak: f64,
    pub cores_by_thread: BTreeMap<String, f64>,
    pub memory_mb: f64,
    pub most_memory_mb: f64,
    pub threads: u64,
    pub most_threads: u64,
    pub sockets: usize,
    /// Most open file descriptors; most of them are sockets.
    pub most_descriptors: usize,
    /// Totals between the first arrival and the end.
    pub traffic: TrafficTotals,
}

/// All that a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    pub options: RunOptions,
    /// Load average of the machine, which others share, before and after.
    pub load_average: [f64; 2],
    pub measured_s: f64,
    /// Tasks of all jobs that came and needed no others, over the run's length.
    pub arrivals_per_s: f64,
    pub starts_per_s: f64,
    /// The largest mean over five seconds.
    pub peak_starts_per_s: f64,
    pub running_mean: f64,
    pub unfinished_mean: f64,
    pub finished_jobs: usize,
    pub urgent: Times,
    pub submissions: Times,
    pub given_up: u64,
    pub polls: u64,
    pub polls_failed: u64,
    pub cancelled: u64,
    /// What became of pipelines; none were submitted in a run without.
    pub pipelines: Option<PipelineFigures>,
    pub refusals: u64,
    /// What the refusals were, by name.
    pub refusals_by_reason: BTreeMap<String, u64>,
    pub lost_tasks: u64,
    pub lease_ends: u64,
    pub controllers: Vec<ControllerFigures>,
    pub state: BTreeMap<String, StateRequests>,
    pub faults: Vec<String>,
    pub ended_by_themselves: Vec<String>,
    pub verdict: Verdict,
    pub samples: Vec<Sample>,
}

impl Figures {
    /// The controller that led longest.
    pub fn leader(&self) -> Option<&ControllerFigures> {
        let all = self.controllers.iter();
        all.max_by(|a, b| a.led.total_cmp(&b.led))
    }

    /// Controllers but the leader.
    pub fn followers(&self) -> Vec<&ControllerFigures> {
        let leader = self.leader().map(|l| l.label.clone());
        let all = self.controllers.iter();
        all.filter(|c| Some(&c.label) != leader.as_ref()).collect()
    }

    /// Requests, changes and refusals at the state service a second.
    pub fn state_per_s(&self) -> (f64, f64, f64) {
        let sum = |f: fn(&StateRequests) -> u64| self.state.values().map(f).sum::<u64>() as f64;
        let per_s = |n: f64| n / self.measured_s;
        (
            per_s(sum(|a| a.requests)),
            per_s(sum(|a| a.changes)),
            per_s(sum(|a| a.refused)),
        )
    }

    /// Bytes a second that a worker's reports take, both ways.
    pub fn worker_bytes_per_s(&self) -> f64 {
        let reports = self
            .controllers
            .iter()
            .filter_map(|c| c.traffic.get(&Counterpart::Reports));
        let bytes: u64 = reports.map(|a| a.to_controller + a.from_controller).sum();
        bytes as f64 / self.measured_s / self.options.workers as f64
    }

    /// Every rule held and no controller ended by itself.
    pub fn holds(&self) -> bool {
        self.verdict.holds() && self.ended_by_themselves.is_empty()
    }

    /// The page that a run prints.
    pub fn page(&self) -> String {
        let mut page = String::new();
        // Writing into a string can't fail.
        let _ = self.write_page(&mut page);
        page
    }

    fn write_page(&self, page: &mut String) -> std::fmt::Result {
        self.write_head(page)?;
        self.write_times(page)?;
        if let Some(pipelines) = &self.pipelines {
            pipelines.write(page)?;
        }
        writeln!(
            page,
            "refusals and failed requests: {}; tasks lost: {}; leases that ended: {}; polls: {} ({} failed)",
            self.refusals, self.lost_tasks, self.lease_ends, self.polls, self.polls_failed
        )?;
        for (why, count) in &self.refusals_by_reason {
            writeln!(page, "  {why}: {count}")?;
        }
        for controller in &self.controllers {
            controller.write(page, self.measured_s)?;
        }
        self.write_state(page)?;
        writeln!(
            page,
            "a worker's reports: {:.0} bytes a second",
            self.worker_bytes_per_s()
        )?;
        self.write_verdict(page)
    }

    fn write_head(&self, page: &mut String) -> std::fmt::Result {
        let options = &self.options;
        let verdict = if self.holds() {
            "all rules held"
        } else {
            "BROKEN"
        };
        writeln!(page, "scale run, seed {}: {verdict}", options.seed)?;
        writeln!(
            page,
            "  {} workers, {} controllers, {} teams, {} zones in {} regions, {:.0} s measured",
            options.workers,
            options.controllers,
            options.teams,
            options.zones,
            options.regions,
            self.measured_s
        )?;
        writeln!(
            page,
            "  load average of the machine {:.1} before, {:.1} after; others share it",
            self.load_average[0], self.load_average[1]
        )?;
        writeln!(
            page,
            "starts: {:.1} a second of {:.1} that arrived, {:.1} at the peak; {:.0} running, {:.0} jobs unfinished (means), {} jobs finished",
            self.starts_per_s,
            self.arrivals_per_s,
            self.peak_starts_per_s,
            self.running_mean,
            self.unfinished_mean,
            self.finished_jobs
        )
    }

    fn write_state(&self, page: &mut String) -> std::fmt::Result {
        let (requests, changes, refused) = self.state_per_s();
        writeln!(
            page,
            "state service: {requests:.1} requests, {changes:.1} changes, {refused:.1} refused a second"
        )?;
        for (purpose, asked) in &self.state {
            writeln!(
                page,
                "  {purpose}: {} requests, {} changes, {} refused",
                asked.requests, asked.changes, asked.refused
            )?;
        }
        Ok(())
    }

    fn write_verdict(&self, page: &mut String) -> std::fmt::Result {
        for fault in &self.faults {
            writeln!(page, "fault: {fault}")?;
        }
        for label in &self.ended_by_themselves {
            writeln!(page, "ENDED by itself: {label}")?;
        }
        for (rule, count) in &self.verdict.broken {
            writeln!(page, "BROKEN {rule:?}: {count} times")?;
        }
        for breach in self.verdict.breaches.iter().take(10) {
            let (at_s, rule, what) = (breach.at_s, breach.rule, &breach.what);
            writeln!(page, "  {at_s:.1} s {rule:?}: {what}")?;
        }
        Ok(())
    }

    fn write_times(&self, page: &mut String) -> std::fmt::Result {
        let u = &self.urgent;
        writeln!(
            page,
            "urgent: {} jobs, {:.3} within 2.2 s; median {:.2} s, 99% {:.2} s; {} never started",
            u.count, u.share_in_time, u.median_s, u.p99_s, u.never
        )?;
        let s = &self.submissions;
        writeln!(
            page,
            "submissions: {}, {:.3} within 200 ms; median {:.3} s, 99% {:.3} s; {} without an answer",
            s.count, s.share_in_time, s.median_s, s.p99_s, s.never
        )
    }
}

impl ControllerFigures {
    fn write(&self, page: &mut String, seconds: f64) -> std::fmt::Result {
        writeln!(
            page,
            "{}: led {:.2}; cores {:.3} mean, {:.3} peak; memory {:.0} MB, {:.0} at the most",
            self.label,
            self.led,
            self.cores_mean,
            self.cores_peak,
            self.memory_mb,
            self.most_memory_mb
        )?;
        writeln!(
            page,
            "  {} threads, {} at the most; {} sockets, {} descriptors at the most",
            self.threads, self.most_threads, self.sockets, self.most_descriptors
        )?;
        let mut threads: Vec<_> = self.cores_by_thread.iter().collect();
        threads.sort_by(|a, b| b.1.total_cmp(a.1));
        let shown = threads.iter().take(6).map(|(n, c)| format!("{n} {c:.3}"));
        writeln!(
            page,
            "  cores by thread: {}",
            shown.collect::<Vec<_>>().join(", ")
        )?;
        for (with, a) in &self.traffic {
            let per_s = |n: u64| n as f64 / seconds;
            writeln!(
                page,
                "  {with:?}: {:.1} messages, {:.1} KB in, {:.1} KB out a second",
                per_s(a.messages),
                per_s(a.to_controller) / 1e3,
                per_s(a.from_controller) / 1e3
            )?;
        }
        Ok(())
    }
}
