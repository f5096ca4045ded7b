//! How much of everything a controller holds, by its memory and connections.

use super::{Settings, SettingsError, bad};
use hookworks_gate::{Bounds, Lane};

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
        let machines = b.most(Lane::Workers);
        // A caller has one request at a time, and each of the other controllers
        // passes on what its callers ask.
        let requests = b.connections * (1 + s.platform.seeds.len());
        let bytes = [
            b.connections as u64 * hookworks_gate::PER_CONNECTION,
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::{Platform, Tuning};

    fn sizes(ram_mb: f64, sockets: usize) -> Sizes {
        let text = serde_json::json!({
            "label": "a", "zone": "z", "listen": "10.0.0.1:1", "cluster_listen": "10.0.0.1:2",
            "seeds": [{"label": "b", "zone": "z", "peer_addr": "10.0.0.2:2"},
                      {"label": "c", "zone": "z", "peer_addr": "10.0.0.3:2"}],
            "services": {"cloud": "10.0.0.4:1", "state": "10.0.0.4:2"},
            "params": {
                "teams": [],
                "workers": {"report_s": 5.0, "lease_s": 26.0, "cancel_s": 50.0},
                "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 4.0, "txn_ops": 12},
                "cloud": {"rps": 8.0, "list_lag_s": 3.0},
                "machine_limits": {"core_share": 0.24, "ram_mb": ram_mb, "max_connections": sockets}
            }
        });
        let platform = Platform::parse("t", &text.to_string()).unwrap();
        let s = Settings {
            platform,
            tuning: Tuning::default(),
        };
        s.sizes().unwrap()
    }

    /// Whatever the machine, the bounds together fit its memory with a part left
    /// for the program itself.
    #[test]
    fn all_sizes_together_fit_the_memory() {
        for ram_mb in [32.0, 56.0, 104.0, 158.0, 188.0, 400.0, 2000.0] {
            for sockets in [300, 560, 1800, 3000, 20_000] {
                let s = sizes(ram_mb, sockets);
                let sum: u64 = s.bytes.iter().sum();
                assert!(sum as f64 <= 0.93 * ram_mb * 1e6, "{ram_mb} MB: {s:?}");
            }
        }
    }

    /// 4,000 jobs were the bound everywhere, and 1,500 open requests: with held
    /// answers of 1,982 machines users would have been refused.
    #[test]
    fn sizes_follow_the_machine() {
        let (small, large) = (sizes(56.0, 560), sizes(158.0, 3000));
        assert!(small.jobs >= 4000 && large.jobs > 19_000);
        assert!(large.requests >= 1982 + 1000, "{large:?}");
        // Alone it holds almost as many workers as the largest fleets have; one
        // that small can't, and turns the others away.
        assert!(large.machines >= 1300, "{large:?}");
        assert!(small.machines >= 350, "{small:?}");
        assert!(large.finals > small.finals);
    }
}
