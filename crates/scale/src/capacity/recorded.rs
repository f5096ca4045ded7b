//! Runs that are kept for the page.

use crate::figures::{ControllerFigures, Figures};
use crate::slopes::{Axis, Size};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// A run kept for the page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Recorded {
    /// What it is called.
    pub name: String,
    /// Workers.
    pub workers: usize,
    /// Task starts a second that arrive.
    pub starts: f64,
    /// Teams.
    pub teams: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Run time of a task.
    pub run_s: f64,
    /// Seconds between the first arrival and the end.
    pub measured_s: f64,
    /// The faults that were carried out.
    pub faults: Vec<String>,
    /// Tasks that ended otherwise than by completion or command.
    pub lost_tasks: u64,
    /// Workers' leases that ended.
    pub lease_ends: u64,
    /// 99% of urgent jobs started within this; none if not so many did.
    pub urgent_p99_s: Option<f64>,
    /// 99% of submissions were answered within this.
    pub submissions_p99_s: f64,
    /// The rules that broke.
    pub rules_broken: Vec<String>,
    /// The version of the controllers, in words; runs kept before this was noted have none.
    #[serde(default)]
    pub version: Option<String>,
    /// Requests of users and workers that came to nothing, by their reasons; runs
    /// kept before this was noted have none.
    #[serde(default)]
    pub refusals_by_reason: BTreeMap<String, u64>,
    /// The most that each controller took; runs kept before this was noted have none.
    #[serde(default)]
    pub peaks: Vec<Peak>,
    /// The run as a size of a series.
    pub size: Size,
}

/// The most that a controller took in a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peak {
    /// The controller.
    pub label: String,
    /// Threads.
    pub threads: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Memory.
    pub memory_mb: f64,
    /// Processor time of a second.
    pub cores: f64,
}

impl Peak {
    fn of(c: &ControllerFigures) -> Peak {
        Peak {
            label: c.label.clone(),
            threads: c.most_threads,
            descriptors: c.most_descriptors,
            memory_mb: c.most_memory_mb,
            cores: c.cores_peak,
        }
    }
}

impl Recorded {
    /// Made from a run's figures.
    pub fn of(name: &str, version: Option<&str>, f: &Figures) -> Recorded {
        let options = &f.options;
        let broken = f.verdict.broken.keys().map(|r| format!("{r:?}"));
        Recorded {
            name: name.into(),
            workers: options.workers,
            starts: options.starts,
            teams: options.teams,
            zones: options.zones,
            regions: options.regions,
            run_s: options.run_s,
            measured_s: f.measured_s,
            faults: f.faults.clone(),
            lost_tasks: f.lost_tasks,
            lease_ends: f.lease_ends,
            urgent_p99_s: Some(f.urgent.p99_s).filter(|s| s.is_finite()),
            submissions_p99_s: f.submissions.p99_s,
            rules_broken: broken.collect(),
            version: version.map(Into::into),
            refusals_by_reason: f.refusals_by_reason.clone(),
            peaks: f.controllers.iter().map(Peak::of).collect(),
            size: Size::of(Axis::Workers, options.workers as f64, f),
        }
    }

    /// Adds the run to a file, in place of one of the same name.
    ///
    /// # Errors
    /// When the file can't be read or written.
    pub fn keep(self, file: &Path) -> std::io::Result<()> {
        let mut all = read_runs(file)?;
        all.insert(self.name.clone(), self);
        if let Some(folder) = file.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let mut text = serde_json::to_vec_pretty(&all)?;
        text.push(b'\n');
        std::fs::write(file, text)
    }
}

pub(super) fn read_runs(file: &Path) -> std::io::Result<BTreeMap<String, Recorded>> {
    match std::fs::read(file) {
        Ok(text) => Ok(serde_json::from_slice(&text)?),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(BTreeMap::new()),
        Err(e) => Err(e),
    }
}
