//! How much of everything a controller holds, by its memory and connections.

use super::{Settings, SettingsError, bad};
use hookworks_http_server::{BYTES_PER_CONNECTION, Bounds, RequestClass};

/// What an unfinished job takes, with its line in lists, measured (docs/sizes.md).
const JOB: f64 = 2_400.0;
/// What the final state of a job takes at hand.
const FINAL: f64 = 250.0;
/// What a machine takes with some tasks on it.
const MACHINE: f64 = 2_500.0;
/// Shares of the memory. Connections have up to half of it, and the program, its
/// own threads and what is on its way the rest.
const JOBS_SHARE: f64 = 0.3;
const FINALS_SHARE: f64 = 0.05;
const MOST_JOBS: usize = 20_000;
const MOST_FINALS: usize = 50_000;
/// Messages on their way that are no requests: results of calls, ticks.
const RESULTS: usize = 1024;

/// Bounds in force; all worked out, none set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Machines whose workers all report here, with no other controller left.
    pub machines: usize,
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

impl Sizes {
    pub fn plan(s: &Settings, b: &Bounds) -> Sizes {
        let memory = s.platform.params.machine_limits.ram_mb * 1e6;
        let part = |share: f64, each: f64| (memory * share / each) as usize;
        let jobs = part(JOBS_SHARE, JOB).min(MOST_JOBS);
        let finals = part(FINALS_SHARE, FINAL).min(MOST_FINALS);
        let machines = b.max_for(RequestClass::Workers);
        // A caller has one request at a time, and each of the other controllers
        // passes on what its callers ask.
        let requests = b.connections * (1 + s.platform.seeds.len());
        let bytes = [
            b.connections as u64 * BYTES_PER_CONNECTION,
            (jobs as f64 * JOB) as u64,
            (finals as f64 * FINAL) as u64,
            (machines as f64 * MACHINE) as u64,
        ];
        Sizes {
            machines,
            jobs,
            finals,
            requests,
            inbox: requests + RESULTS,
            bytes,
        }
    }
}

impl Settings {
    /// The sizes in force under these settings.
    ///
    /// # Errors
    /// When next to nothing could be served.
    pub fn sizes(&self) -> Result<Sizes, SettingsError> {
        let bounds = crate::api::bounds(self);
        let bounds = bounds.map_err(|e| bad("connections", "connections", &e.to_string()))?;
        Ok(Sizes::plan(self, &bounds))
    }
}
