//! The controllers' processes: their settings, start, end, and what they take.

use crate::layout::Layout;
use crate::options::RunOptions;
use crate::process::Usage;
use crate::workload;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};

/// Processors of a machine; tasks take one each.
pub const MACHINE_CPUS: f64 = 8.0;
/// Guarantees of all teams together, as a share of all machines.
const GUARANTEED: f64 = 0.8;
/// A team's limit, as a multiple of its guarantee.
const LIMIT_FACTOR: f64 = 3.0;
/// By default idle machines are kept, so that a run's size stays what it is.
const OWN_TUNING: &str =
    "<hookworks>\n  <idle-s>1000000</idle-s>\n  <idle-spot-s>1000000</idle-spot-s>\n</hookworks>\n";

/// A team's guaranteed and most processors.
pub fn team_cpus(options: &RunOptions) -> (f64, f64) {
    let all = options.workers as f64 * MACHINE_CPUS;
    let guaranteed = (all * GUARANTEED / options.teams as f64).floor().max(1.0);
    (guaranteed, guaranteed * LIMIT_FACTOR)
}

/// The settings file of a controller.
pub fn settings(options: &RunOptions, layout: &Layout, number: usize) -> Value {
    let zone_of = |c| layout.zone(layout.zone_of_controller(c));
    let others = (0..options.controllers).filter(|c| *c != number);
    let seed = |c| json!({"label": layout.label(c), "zone": zone_of(c), "peer_addr": layout.link(number, c)});
    let seeds: Vec<Value> = others.map(seed).collect();
    json!({
        "label": layout.label(number),
        "zone": zone_of(number),
        "listen": layout.controller(number),
        "cluster_listen": layout.cluster(number),
        "seeds": seeds,
        "services": {"cloud": layout.cloud(number), "state": layout.state(number)},
        "params": platform(options, layout)
    })
}

/// What all controllers are told of the platform.
fn platform(options: &RunOptions, layout: &Layout) -> Value {
    let (cpus, cpus_max) = team_cpus(options);
    let team = |t| json!({"name": workload::team(t), "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0});
    let teams: Vec<Value> = (0..options.teams).map(team).collect();
    let zones: Vec<_> = (0..options.zones).map(|z| layout.zone(z)).collect();
    json!({
        "count": options.controllers,
        "zones": zones,
        "teams": teams,
        "objectives": [
            {"kind": "wait", "class": workload::URGENT, "within_s": 2.0, "share": 0.9},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.9}
        ],
        "workers": {"report_s": options.report_s, "lease_s": options.lease_s, "gang_wait_s": 50.0,
                    "gang_peer_s": 8.0, "cancel_s": options.cancel_s},
        "state": state_limits(options),
        "cloud": {"rps": 8.0, "list_lag_s": 3.0},
        "machine_limits": {"core_share": 0.24, "ram_mb": options.controller_mb,
                           "max_connections": options.max_connections},
        "clock_error_ms": 100.0
    })
}

/// The state service's limits, with those of later if they are announced.
fn state_limits(options: &RunOptions) -> Value {
    let mut limits = json!({
        "rps": options.state_rps, "write_rps": options.state_write_rps,
        "value_kb": options.value_kb, "txn_ops": options.txn_ops
    });
    let next = &options.next_limits;
    if next.is_any() && !next.unannounced {
        limits["next"] = json!({
            "write_rps": next.write_rps.unwrap_or(options.state_write_rps),
            "value_kb": next.value_kb.unwrap_or(options.value_kb),
            "txn_ops": next.txn_ops.unwrap_or(options.txn_ops)
        });
    }
    limits
}

/// All controllers of a run. They are ended when this is dropped.
#[derive(Clone)]
pub struct Controllers {
    program: PathBuf,
    tuning: PathBuf,
    out: PathBuf,
    children: Arc<Mutex<Vec<Option<Child>>>>,
}

impl Controllers {
    /// Writes the settings into `out`.
    ///
    /// # Errors
    /// When a file can't be written.
    pub fn prepare(
        options: &RunOptions,
        layout: &Layout,
        out: &Path,
    ) -> std::io::Result<Controllers> {
        std::fs::create_dir_all(out)?;
        let own = out.join("tuning.xml");
        std::fs::write(&own, OWN_TUNING)?;
        for number in 0..options.controllers {
            let text = serde_json::to_vec_pretty(&settings(options, layout, number))?;
            std::fs::write(out.join(format!("controller-{number}.json")), text)?;
        }
        Ok(Controllers {
            program: options.program.clone(),
            tuning: options.tuning.clone().unwrap_or(own),
            out: out.to_path_buf(),
            children: Arc::new(Mutex::new((0..options.controllers).map(|_| None).collect())),
        })
    }

    fn children(&self) -> MutexGuard<'_, Vec<Option<Child>>> {
        self.children.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts a controller; its log goes to a file.
    ///
    /// # Errors
    /// When its program can't be started.
    pub fn start(&self, number: usize) -> std::io::Result<()> {
        let log = self.out.join(format!("controller-{number}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config");
        command.arg(self.out.join(format!("controller-{number}.json")));
        command.arg("--tuning").arg(&self.tuning);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command.spawn()?;
        self.children()[number] = Some(child);
        Ok(())
    }

    /// Ends a controller at once, and waits until it is gone.
    pub fn kill(&self, number: usize) {
        let child = self.children()[number].take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a controller's process without ending it; true if there was one.
    pub fn pause(&self, number: usize) -> bool {
        self.signal(number, Signal::SIGSTOP)
    }

    /// Lets a controller go on that was stopped.
    pub fn resume(&self, number: usize) {
        self.signal(number, Signal::SIGCONT);
    }

    fn signal(&self, number: usize, signal: Signal) -> bool {
        let children = self.children();
        let pid = children[number].as_ref().map(Child::id);
        let pid = pid.and_then(|pid| i32::try_from(pid).ok());
        pid.is_some_and(|pid| kill(Pid::from_raw(pid), signal).is_ok())
    }

    /// The controller was ended, and has not been started since.
    pub fn is_down(&self, number: usize) -> bool {
        self.children()[number].is_none()
    }

    /// Ends all controllers at once.
    pub fn kill_all(&self) {
        let children = self.children().len();
        for number in 0..children {
            self.kill(number);
        }
    }

    /// What a controller takes; none while it is down.
    pub fn usage(&self, number: usize, threads: bool) -> Option<Usage> {
        let pid = self.children()[number].as_ref()?.id();
        Usage::read(pid, threads)
    }

    /// Controllers that ended by themselves.
    pub fn ended(&self) -> Vec<usize> {
        let mut children = self.children();
        let all = children.iter_mut().enumerate();
        let over = |c: &mut Option<Child>| {
            let status = c.as_mut().map(Child::try_wait);
            matches!(status, Some(Ok(Some(_))))
        };
        all.filter_map(|(n, c)| over(c).then_some(n)).collect()
    }
}
