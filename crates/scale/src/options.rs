//! What a scale run is told, and what is refused before anything starts.

mod next_limits;
mod pipelines;

pub use next_limits::NextLimitsOptions;
pub use pipelines::PipelineOptions;

use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// Nothing runs for longer, whatever was asked for.
pub const LONGEST_S: f64 = 3600.0;
/// Memory of this program for each worker, with its sockets' buffers.
const PER_WORKER_MB: f64 = 0.06;
/// Memory of this program besides.
const OWN_MB: f64 = 60.0;
/// Descriptors for each worker: its listener, its connection, a command.
const PER_WORKER_DESCRIPTORS: u64 = 3;
/// Descriptors for all else: users, state service, cloud, links.
const OTHER_DESCRIPTORS: u64 = 400;

/// Options of one run; rates are per second.
#[derive(Args, Clone, Debug, Serialize)]
pub struct RunOptions {
    /// Workers, all up at the start.
    #[arg(long, default_value_t = 200)]
    pub workers: usize,
    /// Controllers.
    #[arg(long, default_value_t = 3)]
    pub controllers: usize,
    /// Teams with a guarantee and a limit.
    #[arg(long, default_value_t = 10)]
    pub teams: usize,
    /// Zones; workers and controllers are spread over them.
    #[arg(long, default_value_t = 3)]
    pub zones: usize,
    /// Regions; zones are spread over them.
    #[arg(long, default_value_t = 1)]
    pub regions: usize,
    /// Delay between two regions, one way.
    #[arg(long, default_value_t = 20.0)]
    pub region_delay_ms: f64,
    /// Tasks that arrive a second.
    #[arg(long, default_value_t = 15.0)]
    pub starts: f64,
    /// Urgent jobs of one task that arrive a second; part of `starts`.
    #[arg(long, default_value_t = 1.0)]
    pub urgent: f64,
    /// Tasks of a job that is not urgent.
    #[arg(long, default_value_t = 20)]
    pub job_tasks: u32,
    /// Run time of a task, give or take 30%.
    #[arg(long, default_value_t = 20.0)]
    pub run_s: f64,
    /// Share of jobs that their users cancel.
    #[arg(long, default_value_t = 0.03)]
    pub cancelled: f64,
    /// How long users submit.
    #[arg(long, default_value_t = 30.0)]
    pub length_s: f64,
    /// How long workers report before users submit.
    #[arg(long, default_value_t = 8.0)]
    pub warm_up_s: f64,
    /// How often a worker reports.
    #[arg(long, default_value_t = 5.0)]
    pub report_s: f64,
    /// A worker's lease.
    #[arg(long, default_value_t = 26.5)]
    pub lease_s: f64,
    /// By when the tasks of a cancelled job must be gone.
    #[arg(long, default_value_t = 51.5)]
    pub cancel_s: f64,
    /// Requests that the state service takes a second.
    #[arg(long, default_value_t = 150.0)]
    pub state_rps: f64,
    /// Puts and deletes that it takes a second.
    #[arg(long, default_value_t = 40.0)]
    pub state_write_rps: f64,
    /// Puts and deletes of a transaction at the most.
    #[arg(long, default_value_t = 12)]
    pub txn_ops: usize,
    /// Size of a stored value at the most.
    #[arg(long, default_value_t = 4.0)]
    pub value_kb: f64,
    /// The smaller limits that the state service gets later.
    #[command(flatten)]
    pub next_limits: NextLimitsOptions,
    /// The pipelines that users submit.
    #[command(flatten)]
    pub pipelines: PipelineOptions,
    /// Memory that a controller is told it has.
    #[arg(long, default_value_t = 158.0)]
    pub controller_mb: f64,
    /// Sockets that a controller is told it has.
    #[arg(long, default_value_t = 3046)]
    pub max_connections: usize,
    /// Fault: the controller with the lease is killed so long after the first arrival.
    #[arg(long)]
    pub kill_leader_after_s: Option<f64>,
    /// How many controllers are killed at that moment: that one, and others.
    #[arg(long, default_value_t = 1)]
    pub killed: usize,
    /// They are started again so much later.
    #[arg(long, default_value_t = 6.0)]
    pub back_after_s: f64,
    /// Fault: the workers of one zone are cut off so long after the first arrival.
    #[arg(long)]
    pub zone_away_after_s: Option<f64>,
    /// The cut lasts so long.
    #[arg(long, default_value_t = 15.0)]
    pub zone_away_for_s: f64,
    /// Fault: machines that end a second; others can be rented for them.
    #[arg(long, default_value_t = 0.0)]
    pub machine_ends: f64,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Port that controllers, workers and the others listen at, each on a
    /// loopback address of its own.
    #[arg(long, default_value_t = 18_080)]
    pub port: u16,
    /// Network of the loopback addresses: 127.N.x.y.
    #[arg(long, default_value_t = 20)]
    pub network: u8,
    /// Program of the controllers.
    #[arg(long, default_value = "target/release/hookworks")]
    pub program: PathBuf,
    /// The operators' settings for the controllers. Without them the run writes
    /// its own, by which idle machines are kept.
    #[arg(long)]
    pub tuning: Option<PathBuf>,
    /// Folder for figures, plot, settings and the controllers' logs.
    #[arg(long, default_value = "target/scale")]
    pub out: PathBuf,
}

/// Why a run does not start.
#[derive(Debug, thiserror::Error)]
pub enum BadInput {
    #[error("--{option}: must be {range}, is {value}")]
    /// An option is out of its range.
    Range {
        /// The option.
        option: &'static str,
        /// What it may be.
        range: String,
        /// What it was.
        value: f64,
    },
    #[error("{0}: {1}")]
    /// A file can't be used.
    File(String, std::io::Error),
    #[error("{address} can't be listened at: {why}")]
    /// An address can't be listened at.
    Port {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        why: std::io::Error,
    },
    #[error(
        "too little memory: the run needs {needed_mb:.0} MB, {have_mb:.0} MB may be used (half of what is there)"
    )]
    /// There is too little memory.
    Memory {
        /// What the run needs.
        needed_mb: f64,
        /// What it may use.
        have_mb: f64,
    },
    #[error("too few file descriptors: {who} needs {needed}, the limit is {limit}")]
    /// There are too few file descriptors.
    Descriptors {
        /// Who needs them.
        who: &'static str,
        /// How many are needed.
        needed: u64,
        /// How many there may be.
        limit: u64,
    },
    #[error(
        "--zone-away-after-s, --kill-leader-after-s and --limits-fall-after-s: must lie within the run's length"
    )]
    /// A fault would come after the end.
    LateFault,
    #[error(
        "--limits-fall-after-s and --next-unannounced: need one of --next-value-kb, --next-txn-ops, --next-write-rps"
    )]
    /// Limits would change, but none is given.
    NoNextLimits,
}

pub(crate) fn within(
    option: &'static str,
    value: f64,
    least: f64,
    most: f64,
) -> Result<(), BadInput> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    let range = format!("{least} to {most}");
    Err(BadInput::Range {
        option,
        range,
        value,
    })
}

impl RunOptions {
    /// Checks that every option is within its range.
    ///
    /// # Errors
    /// Names the first option that is not.
    pub fn check_ranges(&self) -> Result<(), BadInput> {
        self.check_sizes()?;
        self.check_rates()?;
        self.check_state_limits()?;
        self.check_faults()
    }

    fn check_sizes(&self) -> Result<(), BadInput> {
        within("workers", self.workers as f64, 1.0, 20_000.0)?;
        within("controllers", self.controllers as f64, 1.0, 6.0)?;
        within("teams", self.teams as f64, 1.0, 1000.0)?;
        within("zones", self.zones as f64, 1.0, 64.0)?;
        within("regions", self.regions as f64, 1.0, self.zones as f64)?;
        within("region-delay-ms", self.region_delay_ms, 0.0, 1000.0)?;
        within("controller-mb", self.controller_mb, 32.0, 8192.0)?;
        within("max-connections", self.max_connections as f64, 64.0, 1e5)?;
        within("network", f64::from(self.network), 1.0, 255.0)?;
        within("port", f64::from(self.port), 1024.0, 65_534.0)
    }

    fn check_rates(&self) -> Result<(), BadInput> {
        within("starts", self.starts, 0.1, 2000.0)?;
        within("urgent", self.urgent, 0.0, self.starts)?;
        within("job-tasks", f64::from(self.job_tasks), 1.0, 10_000.0)?;
        within("run-s", self.run_s, 0.5, LONGEST_S)?;
        within("cancelled", self.cancelled, 0.0, 1.0)?;
        within("length-s", self.length_s, 1.0, LONGEST_S)?;
        within("warm-up-s", self.warm_up_s, 1.0, 600.0)?;
        within("report-s", self.report_s, 0.5, 60.0)?;
        within("lease-s", self.lease_s, self.report_s, 600.0)?;
        within("cancel-s", self.cancel_s, self.lease_s + 1.1, 1200.0)?;
        self.pipelines.check_ranges()
    }

    fn check_state_limits(&self) -> Result<(), BadInput> {
        within("state-rps", self.state_rps, 1.0, 1e6)?;
        within("state-write-rps", self.state_write_rps, 1.0, 1e6)?;
        within("txn-ops", self.txn_ops as f64, 4.0, 1000.0)?;
        within("value-kb", self.value_kb, 2.0, 64.0)?;
        self.next_limits.check_ranges(self)
    }

    fn check_faults(&self) -> Result<(), BadInput> {
        within("killed", self.killed as f64, 1.0, self.controllers as f64)?;
        within("back-after-s", self.back_after_s, 0.0, LONGEST_S)?;
        within("zone-away-for-s", self.zone_away_for_s, 0.0, LONGEST_S)?;
        within("machine-ends", self.machine_ends, 0.0, 100.0)?;
        let faults = [
            self.kill_leader_after_s,
            self.zone_away_after_s,
            self.next_limits.after_s,
        ];
        let fits = |s: &f64| (0.0..=self.length_s).contains(s);
        match faults.iter().flatten().all(fits) {
            true => Ok(()),
            false => Err(BadInput::LateFault),
        }
    }

    /// Checks that the machine has the memory and the descriptors.
    ///
    /// # Errors
    /// Names what there is too little of.
    pub fn check_machine(&self, memory: Memory, descriptors: u64) -> Result<(), BadInput> {
        let own = OWN_MB + PER_WORKER_MB * self.workers as f64;
        let needed_mb = own + self.controller_mb * self.controllers as f64;
        let have_mb = (memory.total_mb / 2.0).min(memory.available_mb);
        if needed_mb > have_mb {
            return Err(BadInput::Memory { needed_mb, have_mb });
        }
        let needed = PER_WORKER_DESCRIPTORS * self.workers as u64 + OTHER_DESCRIPTORS;
        if needed > descriptors {
            let (who, limit) = ("this program", descriptors);
            return Err(BadInput::Descriptors { who, needed, limit });
        }
        Ok(())
    }

    /// Checks all that can be checked before anything starts; ports are tried
    /// when they are taken.
    ///
    /// # Errors
    /// Names the cause.
    pub fn check(&self) -> Result<(), BadInput> {
        self.check_ranges()?;
        for file in [Some(&self.program), self.tuning.as_ref()]
            .into_iter()
            .flatten()
        {
            let name = file.display().to_string();
            std::fs::metadata(file).map_err(|e| BadInput::File(name, e))?;
        }
        let memory = Memory::read().map_err(|e| BadInput::File("/proc/meminfo".into(), e))?;
        let descriptors = rlimit::Resource::NOFILE.get_soft();
        let descriptors = descriptors.map_err(|e| BadInput::File("descriptors".into(), e))?;
        self.check_machine(memory, descriptors)
    }

    /// How long users submit.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }
}

/// What the machine has.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// Memory of the machine.
    pub total_mb: f64,
    /// What of it is free.
    pub available_mb: f64,
}

impl Memory {
    fn read() -> std::io::Result<Memory> {
        let text = std::fs::read_to_string("/proc/meminfo")?;
        let field = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
            kb.map(|kb| kb / 1024.0)
                .ok_or(std::io::ErrorKind::InvalidData)
        };
        Ok(Memory {
            total_mb: field("MemTotal:")?,
            available_mb: field("MemAvailable:")?,
        })
    }
}
