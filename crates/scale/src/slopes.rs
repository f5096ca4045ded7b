//! Slopes: what grows with what, from runs of several sizes that differ in one
//! option each.

use crate::counters::Counterpart;
use crate::figures::{ControllerFigures, Figures};
use crate::fit::Fit;
use crate::options::RunOptions;
use crate::process::MAIN_THREAD;
use crate::run::{RunError, run};
use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Fewest sizes that a slope is fitted from.
const FEWEST_SIZES: usize = 4;
/// Share of the arrivals that must start for a size to hold.
const STARTED: f64 = 0.9;
/// Share of urgent jobs that must start in time for a size to hold.
const URGENT_IN_TIME: f64 = 0.9;
/// Share of submissions that must be answered in time for a size to hold.
const SUBMITTED_IN_TIME: f64 = 0.9;

/// What the sizes of a series differ in.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ValueEnum, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Workers.
    Workers,
    /// Task starts a second.
    Starts,
    /// Teams.
    Teams,
    /// Zones.
    Zones,
}

impl Axis {
    fn set(self, options: &mut RunOptions, size: f64) {
        match self {
            Axis::Workers => options.workers = size as usize,
            Axis::Starts => options.starts = size,
            Axis::Teams => options.teams = size as usize,
            Axis::Zones => options.zones = size as usize,
        }
    }

    /// What the runs really had, which may be less than was asked for.
    fn reached(self, f: &Figures) -> f64 {
        match self {
            Axis::Starts => f.starts_per_s,
            Axis::Workers => f.options.workers as f64,
            Axis::Teams => f.options.teams as f64,
            Axis::Zones => f.options.zones as f64,
        }
    }
}

/// What is measured against an axis; all a second or at the end of a run.
pub const MEASURES: [Measure; 15] = [
    measure("leader cores", |f| f.leader().map(|c| c.cores_mean)),
    measure("leader cores, peak second", |f| {
        f.leader().map(|c| c.cores_peak)
    }),
    measure("leader main loop cores", |f| main_loop(f.leader()?)),
    measure("leader memory MB", |f| f.leader().map(|c| c.most_memory_mb)),
    measure("leader peer KB/s", |f| {
        bytes(f.leader()?, Counterpart::Peers, f)
    }),
    measure("leader messages/s", |f| messages(f.leader()?, f)),
    measure("follower cores", |f| follower(f, |c| c.cores_mean)),
    measure("follower memory MB", |f| follower(f, |c| c.most_memory_mb)),
    measure("follower threads", |f| follower(f, |c| c.threads as f64)),
    measure("follower connections", |f| {
        follower(f, |c| c.sockets as f64)
    }),
    measure("state requests/s", |f| Some(f.state_per_s().0)),
    measure("state changes/s", |f| Some(f.state_per_s().1)),
    measure("worker report bytes/s", |f| Some(f.worker_bytes_per_s())),
    measure("urgent median s", |f| {
        f.urgent.median_s.is_finite().then_some(f.urgent.median_s)
    }),
    measure("submissions within 200 ms", |f| {
        Some(f.submissions.share_in_time)
    }),
];

/// A figure of a run, by its name.
pub struct Measure {
    /// What it is called.
    pub name: &'static str,
    of: fn(&Figures) -> Option<f64>,
}

const fn measure(name: &'static str, of: fn(&Figures) -> Option<f64>) -> Measure {
    Measure { name, of }
}

fn main_loop(c: &ControllerFigures) -> Option<f64> {
    c.cores_by_thread.get(MAIN_THREAD).copied()
}

fn bytes(c: &ControllerFigures, with: Counterpart, f: &Figures) -> Option<f64> {
    let amount = c.traffic.get(&with)?;
    Some((amount.to_controller + amount.from_controller) as f64 / f.measured_s / 1e3)
}

fn messages(c: &ControllerFigures, f: &Figures) -> Option<f64> {
    let all = c.traffic.values().map(|a| a.messages);
    Some(all.sum::<u64>() as f64 / f.measured_s)
}

/// The largest of the followers' values.
fn follower(f: &Figures, value: fn(&ControllerFigures) -> f64) -> Option<f64> {
    f.followers().into_iter().map(value).reduce(f64::max)
}

/// One run of a series.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Size {
    /// The size that was asked for.
    pub asked: f64,
    /// The size that came of it.
    pub reached: f64,
    /// What broke at this size, or the first bound that was passed.
    pub broke: Option<String>,
    /// Load average of the machine before and after.
    pub load_average: [f64; 2],
    /// Tasks on machines, the mean.
    pub running_mean: f64,
    /// Task starts a second.
    pub starts_per_s: f64,
    /// Share of urgent jobs that started within 2.2 s.
    pub urgent_in_time: f64,
    /// Share of submissions answered within 200 ms.
    pub submissions_in_time: f64,
    /// Requests of users and workers that failed or were refused.
    pub refusals: u64,
    /// What was measured, by the measure's name.
    pub values: BTreeMap<String, f64>,
}

/// All sizes along one axis, and a line for each measure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// What the sizes differ in.
    pub axis: Axis,
    /// The options that all sizes share.
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
    /// How long users submitted.
    pub length_s: f64,
    /// The version of the controllers, in words; none in older files.
    #[serde(default)]
    pub version: Option<String>,
    /// The sizes, from the smallest.
    pub sizes: Vec<Size>,
    /// A line for each measure.
    pub fits: BTreeMap<String, Fit>,
    /// Measures whose points stray from their lines.
    pub not_linear: Vec<String>,
    /// The largest size up to which all held.
    pub largest_that_held: Option<f64>,
    /// What broke at the first size that did not hold.
    pub broke_first: Option<String>,
}

/// The file of all series.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Slopes {
    /// The machine, and what else it did.
    pub machine: String,
    /// The series by their axes.
    pub series: BTreeMap<Axis, Series>,
}

/// Options of a series; those of a run hold for each of its sizes.
#[derive(Args, Clone, Debug)]
pub struct SlopeOptions {
    /// What the sizes differ in.
    #[arg(long, value_enum)]
    pub axis: Axis,
    /// The sizes, at least four.
    #[arg(long, value_delimiter = ',', required = true)]
    pub sizes: Vec<f64>,
    /// The file that the series is put into.
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    pub into: PathBuf,
    /// The version of the controllers, in words, for the page.
    #[arg(id = "controllers-version", long = "controllers-version")]
    pub version: Option<String>,
    #[command(flatten)]
    /// The options that all sizes share.
    pub run: RunOptions,
}

/// Why there are no slopes.
#[derive(Debug, thiserror::Error)]
pub enum SlopeError {
    #[error("--sizes: at least {FEWEST_SIZES} different sizes are needed")]
    /// Too few sizes.
    TooFew,
    #[error("size {0}: {1}")]
    /// A size could not be run.
    Run(f64, RunError),
    #[error("{0}: {1}")]
    /// A file can't be used.
    File(String, std::io::Error),
}

/// Why a size did not hold, if it did not: the first thing that broke.
pub fn broke(f: &Figures) -> Option<String> {
    if let Some(rule) = f.verdict.broken.keys().next() {
        return Some(format!("rule {rule:?}"));
    }
    if let Some(label) = f.ended_by_themselves.first() {
        return Some(format!("{label} ended by itself"));
    }
    let shares = [
        (
            f.submissions.share_in_time,
            SUBMITTED_IN_TIME,
            "submissions within 200 ms",
        ),
        (
            f.urgent.share_in_time,
            URGENT_IN_TIME,
            "urgent starts within 2.2 s",
        ),
        (
            f.starts_per_s / f.arrivals_per_s,
            STARTED,
            "starts of arrivals",
        ),
    ];
    let missed = shares.iter().find(|(share, least, _)| share < least);
    missed.map(|(share, least, what)| format!("{what}: {share:.2}, below {least}"))
}

impl Size {
    /// Made from a run's figures.
    pub fn of(axis: Axis, asked: f64, f: &Figures) -> Size {
        let value = |m: &Measure| Some((m.name.to_string(), (m.of)(f)?));
        Size {
            asked,
            reached: axis.reached(f),
            broke: broke(f),
            load_average: f.load_average,
            running_mean: f.running_mean,
            starts_per_s: f.starts_per_s,
            urgent_in_time: f.urgent.share_in_time,
            submissions_in_time: f.submissions.share_in_time,
            refusals: f.refusals,
            values: MEASURES.iter().filter_map(value).collect(),
        }
    }
}

impl Series {
    /// Fits a line for each measure through all sizes.
    pub fn of(axis: Axis, options: &RunOptions, sizes: Vec<Size>) -> Series {
        let fit = |m: &Measure| {
            let points = sizes
                .iter()
                .filter_map(|s| Some((s.reached, *s.values.get(m.name)?)));
            let fit = Fit::of(&points.collect::<Vec<_>>())?;
            Some((m.name.to_string(), fit))
        };
        let fits: BTreeMap<String, Fit> = MEASURES.iter().filter_map(fit).collect();
        let bent = fits.iter().filter(|(_, f)| !f.linear);
        let held = sizes.iter().take_while(|s| s.broke.is_none());
        let broke_first = sizes.iter().find_map(|s| {
            let what = s.broke.as_ref()?;
            Some(format!("{what} (size {})", s.asked))
        });
        Series {
            axis,
            workers: options.workers,
            starts: options.starts,
            teams: options.teams,
            zones: options.zones,
            regions: options.regions,
            run_s: options.run_s,
            length_s: options.length_s,
            version: None,
            not_linear: bent.map(|(name, _)| name.clone()).collect(),
            largest_that_held: held.last().map(|s| s.asked),
            broke_first,
            fits,
            sizes,
        }
    }
}

impl Slopes {
    /// Reads the file; none yet is an empty one.
    ///
    /// # Errors
    /// When it can't be read or is something else.
    pub fn read(file: &std::path::Path) -> std::io::Result<Slopes> {
        match std::fs::read(file) {
            Ok(text) => Ok(serde_json::from_slice(&text)?),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Slopes::default()),
            Err(e) => Err(e),
        }
    }

    /// Writes the file.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn write(&self, file: &std::path::Path) -> std::io::Result<()> {
        if let Some(folder) = file.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let mut text = serde_json::to_vec_pretty(self)?;
        text.push(b'\n');
        std::fs::write(file, text)
    }
}

/// Runs all sizes from the smallest, fits, and puts the series into the file.
/// Each page is handed to `show`.
///
/// # Errors
/// When a size can't be run; sizes so far are lost.
pub fn measure_series(
    options: &SlopeOptions,
    interrupted: &Arc<AtomicBool>,
    show: impl Fn(&Figures),
) -> Result<Series, SlopeError> {
    let mut asked = options.sizes.clone();
    asked.sort_by(f64::total_cmp);
    asked.dedup();
    if asked.len() < FEWEST_SIZES {
        return Err(SlopeError::TooFew);
    }
    let name = options.into.display().to_string();
    let file_error = |e| SlopeError::File(name.clone(), e);
    let mut slopes = Slopes::read(&options.into).map_err(file_error)?;
    let options_of = |size: f64| {
        let mut run = options.run.clone();
        options.axis.set(&mut run, size);
        run
    };
    for size in &asked {
        let checked = options_of(*size).check();
        checked.map_err(|e| SlopeError::Run(*size, e.into()))?;
    }
    let mut sizes = vec![];
    for size in asked {
        let figures = run(&options_of(size), interrupted);
        let figures = figures.map_err(|e| SlopeError::Run(size, e))?;
        show(&figures);
        sizes.push(Size::of(options.axis, size, &figures));
    }
    let mut series = Series::of(options.axis, &options.run, sizes);
    series.version.clone_from(&options.version);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    slopes.machine = format!("{cores} cores, shared with other work while measured");
    slopes.series.insert(options.axis, series.clone());
    slopes.write(&options.into).map_err(file_error)?;
    Ok(series)
}
