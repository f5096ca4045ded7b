//! Capacity limits of a controller, derived from its memory, sockets and processor.

use super::{Settings, SettingsError, field_error};
use hookworks_http_server::{BYTES_PER_CONNECTION, Bounds, LimitedBy, RequestClass};

/// Memory of an unfinished job with its line in lists, measured (docs/sizes.md).
const JOB_BYTES: f64 = 2_400.0;
/// Memory of the cached final state of a job.
const FINAL_STATE_BYTES: f64 = 250.0;
/// Memory of a machine with some tasks on it.
const MACHINE_BYTES: f64 = 2_500.0;
/// Shares of the memory. Connections get up to half of it; the rest is for the program,
/// its threads and messages in flight.
const JOBS_SHARE: f64 = 0.3;
const FINALS_SHARE: f64 = 0.05;
const MACHINES_SHARE: f64 = 0.08;
const MAX_JOBS: usize = 20_000;
const MAX_FINALS: usize = 50_000;
/// Queued messages that are no requests: results of calls, ticks.
const INTERNAL_MESSAGES: usize = 1024;
/// Above this share of the workers' connections, responses close their connections.
const KEEP_ALIVE_SHARE: f64 = 0.95;
/// Seconds for which a connection opened for a single heartbeat occupies its slot.
const REPORT_SLOT_S: f64 = 0.2;
/// Processor time per heartbeat of a controller that serves everything by itself: the
/// slopes of leader and follower in docs/CAPACITY.md, with a heartbeat every 3 s.
const CORE_S_PER_REPORT: f64 = 3.0 * (0.031 + 0.018) / 1000.0;

/// Limits in force; all are derived, none is a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Workers that can keep a connection open to this controller when it is the only one
    /// left.
    pub worker_connections: usize,
    /// Machines whose workers can all report to this controller when it is the only one
    /// left, some of them with a new connection for each heartbeat.
    pub single_controller: SingleControllerLimit,
    /// Unfinished jobs; further submissions are rejected.
    pub jobs: usize,
    /// Cached final states; others are read from the state service.
    pub finals: usize,
    /// Pending requests of callers and of other controllers.
    pub requests: usize,
    /// Capacity of the main loop's inbox; senders block when it is full.
    pub inbox: usize,
    /// Maximum bytes of connections, jobs, final states and machines.
    pub bytes: [u64; 4],
}

/// Number of machines that a single remaining controller can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingleControllerLimit {
    pub max_machines: usize,
    /// The setting that limits it.
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
        // A caller has one request at a time, and each of the other controllers forwards
        // the requests of its callers.
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
    /// The capacity limits under these settings.
    ///
    /// # Errors
    /// If the machine is too small to serve requests.
    pub fn capacity_limits(&self) -> Result<CapacityLimits, SettingsError> {
        let bounds = crate::api::bounds(self);
        let bounds =
            bounds.map_err(|e| field_error("connections", "connections", &e.to_string()))?;
        Ok(CapacityLimits::plan(self, &bounds))
    }

    /// Checks that a single remaining controller can serve the number of machines that
    /// operators set (`<connections><machines>`).
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
