use clap::{Parser, Subcommand};
use hookworks_scale::options::RunOptions;
use hookworks_scale::run::{RunError, run, write};
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
    Run(Box<RunOptions>),
}

/// Ends with 0 if all held, 1 if something broke or failed, 2 for bad input.
fn one(o: &RunOptions, interrupted: &Arc<AtomicBool>) -> ExitCode {
    let figures = match run(o, interrupted) {
        Ok(figures) => figures,
        Err(e) => return failed(&e),
    };
    print!("{}", figures.page());
    if let Err(e) = write(&figures, &o.out) {
        eprintln!("hookworks-scale: {}: {e}", o.out.display());
        return ExitCode::from(1);
    }
    match figures.holds() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}

fn failed(e: &RunError) -> ExitCode {
    eprintln!("hookworks-scale: {e}");
    match e {
        RunError::Input(_) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
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
        Verb::Run(o) => one(&o, &interrupted),
    }
}
