//! The program of the scale run: one run, several for slopes, or the capacity page.

use clap::{Parser, Subcommand};
use hookworks_scale::capacity::{self, CapacityOptions, Recorded};
use hookworks_scale::options::RunOptions;
use hookworks_scale::run::{RunError, run, write};
use hookworks_scale::slopes::{SlopeError, SlopeOptions, measure_series};
use hookworks_scale::soak::{self, SoakOptions};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Real controllers beside hollow workers, cloud, state service and users.
#[derive(Parser)]
#[command(name = "hookworks-scale", version)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// One run; prints a page, and writes figures.json and run.svg.
    Run {
        #[command(flatten)]
        options: Box<RunOptions>,
        /// Keep the run under this name for the capacity page.
        #[arg(long)]
        name: Option<String>,
        /// The version of the controllers, in words, for the page.
        #[arg(
            id = "controllers-version",
            long = "controllers-version",
            requires = "name"
        )]
        version: Option<String>,
        /// The file of kept runs.
        #[arg(long, default_value = "docs/capacity/runs.json")]
        keep: PathBuf,
    },
    /// Controllers under troubles drawn from seeds, judged until all jobs are served.
    Soak(SoakOptions),
    /// Runs of several sizes, and lines fitted through them.
    Slopes(Box<SlopeOptions>),
    /// Write the capacity page from the slopes and the kept runs.
    Capacity(CapacityOptions),
}

/// Where a run is kept for the capacity page, and under which name.
struct Keep {
    name: String,
    version: Option<String>,
    file: PathBuf,
}

/// Ends with 0 if all held, 1 if something broke or failed, 2 for bad input.
fn one(options: &RunOptions, keep: Option<&Keep>, interrupted: &Arc<AtomicBool>) -> ExitCode {
    let figures = match run(options, interrupted) {
        Ok(figures) => figures,
        Err(e) => return failed(&e, matches!(e, RunError::Input(_))),
    };
    print!("{}", figures.page());
    if let Err(e) = write(&figures, &options.out) {
        return failed(&format!("{}: {e}", options.out.display()), false);
    }
    if let Some(keep) = keep
        && let Err(e) = Recorded::of(&keep.name, keep.version.as_deref(), &figures).keep(&keep.file)
    {
        return failed(&format!("{}: {e}", keep.file.display()), false);
    }
    match figures.holds() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}

fn several(options: &SlopeOptions, interrupted: &Arc<AtomicBool>) -> ExitCode {
    match measure_series(options, interrupted, |f| println!("{}", f.page())) {
        Ok(series) => {
            let held = series.largest_that_held;
            let first = series.broke_first.as_deref().unwrap_or("nothing broke");
            println!(
                "{:?}: the largest size that held: {held:?}; {first}",
                series.axis
            );
            ExitCode::SUCCESS
        }
        Err(e) => {
            let input = matches!(
                e,
                SlopeError::TooFew | SlopeError::Run(_, RunError::Input(_))
            );
            failed(&e, input)
        }
    }
}

fn soak_seeds(options: &SoakOptions, interrupted: &Arc<AtomicBool>) -> ExitCode {
    let mut broken = vec![];
    for seed in options.first_seed..options.first_seed + options.seeds {
        let verdict = match soak::run_seed(options, seed, interrupted) {
            Ok(verdict) => verdict,
            Err(e) => return failed(&e, matches!(e, RunError::Input(_))),
        };
        print!("{verdict}");
        if !verdict.holds() {
            broken.push(seed);
            let folder = options.out.join(format!("seed-{seed}"));
            println!("  schedule and logs: {}", folder.display());
            println!(
                "  again: hookworks-scale soak {}",
                options.arguments_of(seed)
            );
        }
    }
    println!(
        "{} seeds run, {} broken {broken:?}",
        options.seeds,
        broken.len()
    );
    match broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}

fn failed(why: &impl std::fmt::Display, input: bool) -> ExitCode {
    eprintln!("hookworks-scale: {why}");
    ExitCode::from(if input { 2 } else { 1 })
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    if let Err(e) = ctrlc::set_handler(move || flag.store(true, Ordering::SeqCst)) {
        eprintln!("hookworks-scale: no handler for interrupts: {e}");
        return ExitCode::from(1);
    }
    match cli.verb {
        Verb::Run {
            options,
            name,
            version,
            keep: file,
        } => {
            let keep = name.map(|name| Keep {
                name,
                version,
                file,
            });
            one(&options, keep.as_ref(), &interrupted)
        }
        Verb::Soak(options) => soak_seeds(&options, &interrupted),
        Verb::Slopes(options) => several(&options, &interrupted),
        Verb::Capacity(options) => match capacity::write(&options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => failed(&e, false),
        },
    }
}
