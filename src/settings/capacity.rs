//! How much of everything a controller holds, by its memory, sockets and processor.

use super::{Settings, SettingsError, field_error};
use hookworks_http_server::{BYTES_PER_CONNECTION, Bounds, LimitedBy, RequestClass};

/// What an unfinished job takes, with its line in lists, measured (docs/sizes.md).
const JOB_BYTES: f64 = 2_400.0;
/// What the final state of a job takes at hand.
const FINAL_STATE_BYTES: f64 = 250.0;
/// What a machine takes with some tasks on it.
const MACHINE_BYTES: f64 = 2_500.0;
/// Shares of the memory. Connections have up to half of it, and the program, its
/// own threads and what is on its way the rest.
const JOBS_SHARE: f64 = 0.3;
const FINALS_SHARE: f64 = 0.05;
const MACHINES_SHARE: f64 = 0.08;
const MAX_JOBS: usize = 20_000;
const MAX_FINALS: usize = 50_000;
/// Messages on their way that are no requests: results of calls, ticks.
const INTERNAL_MESSAGES: usize = 1024;
/// From this share of the workers' connections on, answers end their connections.
const KEEP_ALIVE_SHARE: f64 = 0.95;
/// A connection that is opened for a single report holds its slot for so long.
const REPORT_SLOT_S: f64 = 0.2;
/// Processor time of a controller that serves everything by itself, for each report:
/// the slopes of leader and follower in docs/CAPACITY.md, at a report each 3 s.
const CORE_S_PER_REPORT: f64 = 3.0 * (0.031 + 0.018) / 1000.0;

/// Bounds in force; all worked out, none set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Workers that can keep a connection open here, with no other controller left.
    pub worker_connections: usize,
    /// Machines whose workers can all report here with no other controller left, some
    /// of them with a connection for each report.
    pub single_controller: SingleControllerLimit,
    /// Unfinished jobs; more are turned away.
    pub jobs: usize,
    /// Final states kept at hand; others are read from the state service.
    pub finals: usize,
    /// Requests without an answer, of callers and of other controllers.
    pub requests: usize,
    /// Messages that wait for the main loop; who sends more waits.
    pub inbox: usize,
    /// Bytes that connections, jobs, final states and machines take at the most.
    pub bytes: [u64; 4],
}

/// How many machines a lone controller can look after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingleControllerLimit {
    pub max_machines: usize,
    /// The setting that keeps it from being more.
    pub limited_by: &'static str,
}

impl SingleControllerLimit {
    fn plan(s: &Settings, b: &Bounds) -> SingleControllerLimit {
        let limits = &s.platform.params.machine_limits;
        let report_s = s.platform.params.workers.report_s;
        let slots = b.max_for(RequestClass::Workers) as f64;
        let in_turn = slots * (1.0 - KEEP_ALIVE_SHARE) * report_s / REPORT_SLOT_S;
        let connections = match b.limited_by {
            LimitedBy::Memory => "params.machine_limits.ram_mb",
            LimitedBy::Sockets => "params.machine_limits.max_connections",
            LimitedBy::Descriptors => "the system's limit of descriptors (ulimit -n)",
        };
        let all = [
            (slots * KEEP_ALIVE_SHARE + in_turn, connections),
            (
                limits.ram_mb * 1e6 * MACHINES_SHARE / MACHINE_BYTES,
                "params.machine_limits.ram_mb",
            ),
            (
                limits.core_share * report_s / CORE_S_PER_REPORT,
                "params.machine_limits.core_share",
            ),
        ];
        let first = all.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let (most, limited_by) = first.unwrap_or((0.0, connections));
        SingleControllerLimit {
            max_machines: most as usize,
            limited_by,
        }
    }
}

impl CapacityLimits {
    pub fn plan(s: &Settings, b: &Bounds) -> CapacityLimits {
        let memory = s.platform.params.machine_limits.ram_mb * 1e6;
        let part = |share: f64, each: f64| (memory * share / each) as usize;
        let jobs = part(JOBS_SHARE, JOB_BYTES).min(MAX_JOBS);
        let finals = part(FINALS_SHARE, FINAL_STATE_BYTES).min(MAX_FINALS);
        let alone = SingleControllerLimit::plan(s, b);
        // A caller has one request at a time, and each of the other controllers
        // passes on what its callers ask.
        let requests = b.connections * (1 + s.platform.seeds.len());
        let bytes = [
            b.connections as u64 * BYTES_PER_CONNECTION,
            (jobs as f64 * JOB_BYTES) as u64,
            (finals as f64 * FINAL_STATE_BYTES) as u64,
            (alone.max_machines as f64 * MACHINE_BYTES) as u64,
        ];
        CapacityLimits {
            worker_connections: b.max_for(RequestClass::Workers),
            single_controller: alone,
            jobs,
            finals,
            requests,
            inbox: requests + INTERNAL_MESSAGES,
            bytes,
        }
    }
}

impl Settings {
    /// The sizes in force under these settings.
    ///
    /// # Errors
    /// When next to nothing could be served.
    pub fn capacity_limits(&self) -> Result<CapacityLimits, SettingsError> {
        let bounds = crate::api::bounds(self);
        let bounds =
            bounds.map_err(|e| field_error("connections", "connections", &e.to_string()))?;
        Ok(CapacityLimits::plan(self, &bounds))
    }

    /// Whether a controller that is left alone can hold the machines that operators
    /// say there are (`<connections><machines>`).
    ///
    /// # Errors
    /// Names the setting that is too low, and how many machines would be held.
    pub fn check_machines(&self, file: &str) -> Result<(), SettingsError> {
        let needed = self.tuning.connections.machines;
        let alone = self.capacity_limits()?.single_controller;
        if alone.max_machines >= needed {
            return Ok(());
        }
        let why = format!(
            "too low: with no other controller left {} machines would be held, {needed} are needed",
            alone.max_machines
        );
        Err(field_error(file, alone.limited_by, &why))
    }
}
