//! The command line: runs a controller, checks settings, or acts as a client.

use clap::{Parser, Subcommand};
use hookworks::settings::Settings;
use hookworks::{api, client, node};
use hookworks_http_server::RequestClass;
use std::process::ExitCode;

/// A cluster scheduler that balances the tasks of each machine in time.
#[derive(Parser)]
#[command(name = "hookworks", version)]
struct Cli {
    #[command(subcommand)]
    verb: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller.
    Serve {
        /// Settings of the platform, a JSON file.
        #[arg(long)]
        config: String,
        /// Settings of the operators, an XML file.
        #[arg(long)]
        tuning: Option<String>,
    },
    /// Check the settings files and print the values in effect.
    Check {
        #[arg(long)]
        config: String,
        #[arg(long)]
        tuning: Option<String>,
    },
    /// Submit a job described in a JSON file.
    Submit {
        /// Address of a controller, HOST:PORT.
        #[arg(long)]
        to: String,
        file: String,
    },
    /// Show a job, or the controller itself.
    Status {
        #[arg(long)]
        to: String,
        job: Option<String>,
    },
    /// Show a job in full: its history, its resource usage and its holds.
    Show {
        #[arg(long)]
        to: String,
        job: String,
    },
    /// Hold a job: none of its tasks is started.
    Hold {
        #[arg(long)]
        to: String,
        job: String,
        /// The person who asks, for the record.
        #[arg(long)]
        by: String,
        #[arg(long, default_value = "")]
        why: String,
        /// Place the hold as an operator rather than as the job's user.
        #[arg(long)]
        operator: bool,
        /// Also stop running tasks, after a grace period to save their state.
        #[arg(long)]
        stop: bool,
    },
    /// Release a hold, so that the job continues.
    Release {
        #[arg(long)]
        to: String,
        job: String,
        #[arg(long)]
        by: String,
        /// The kind of hold: user, operator or system.
        #[arg(long, default_value = "user")]
        kind: String,
    },
    /// List jobs, a page at a time.
    Jobs {
        #[arg(long)]
        to: String,
        /// Filters as in the API: state=held team=red after=… page=200
        filters: Vec<String>,
    },
    /// Cancel a job.
    Cancel {
        #[arg(long)]
        to: String,
        job: String,
    },
}

fn init_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = level.parse().unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
}

fn load_settings(config: &str, tuning: Option<&str>) -> Result<Settings, ExitCode> {
    Settings::load(config, tuning).map_err(|e| {
        eprintln!("hookworks: {e}");
        ExitCode::from(2)
    })
}

fn print_result(result: Result<String, String>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("hookworks: {e}");
            ExitCode::from(1)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, ExitCode> {
    match command {
        Command::Serve { config, tuning } => {
            let settings = load_settings(&config, tuning.as_deref())?;
            init_logging();
            match node::serve(settings) {
                Ok(()) => Ok(ExitCode::SUCCESS),
                Err(e) => {
                    eprintln!("hookworks: {e}");
                    Err(ExitCode::from(1))
                }
            }
        }
        Command::Check { config, tuning } => {
            let settings = load_settings(&config, tuning.as_deref())?;
            println!("{:#?}", settings.platform);
            println!("{:#?}", settings.tuning);
            let bounds = api::bounds(&settings).map_err(|_| ExitCode::from(2))?;
            let guaranteed = |class: RequestClass| bounds.guaranteed[class as usize];
            println!(
                "connections: {} at a time, {}",
                bounds.connections, bounds.limited_by
            );
            println!("  threads that serve them: {} at the most", bounds.threads);
            for (name, class) in [
                ("workers", RequestClass::Workers),
                ("users", RequestClass::Users),
                ("health checks and operators", RequestClass::Watch),
                ("without a request yet (also the most)", RequestClass::Fresh),
            ] {
                println!(
                    "  {name}: {} guaranteed, {} at the most",
                    guaranteed(class),
                    match class {
                        RequestClass::Fresh => guaranteed(class),
                        _ => bounds.max_for(class),
                    }
                );
            }
            let sizes = settings.capacity_limits().map_err(|_| ExitCode::from(2))?;
            let [connections, jobs, finals, machines] = sizes.bytes.map(|n| n / 1_000_000);
            println!(
                "sizes: {} machines with no other controller left, limited by {}; {} of them can keep a connection open",
                sizes.single_controller.max_machines,
                sizes.single_controller.limited_by,
                sizes
                    .worker_connections
                    .min(sizes.single_controller.max_machines)
            );
            println!(
                "  {} unfinished jobs, {} final states at hand, {} open requests, {} messages",
                sizes.jobs, sizes.finals, sizes.requests, sizes.inbox
            );
            println!(
                "  memory at the most: connections {connections} MB, jobs {jobs} MB, final states {finals} MB, machines {machines} MB of {} MB",
                settings.platform.params.machine_limits.ram_mb
            );
            println!("  large bodies: {} KiB together", bounds.body_bytes / 1024);
            println!(
                "  sockets set aside for calls to others: {}",
                bounds.set_aside
            );
            let workers = &settings.platform.params.workers;
            let zone_limits = settings.tuning.zones.limits(workers.report_s);
            println!(
                "zones: {}",
                match settings.tuning.zones.act {
                    true => "verdicts are acted on",
                    false => "verdicts are shown, not acted on",
                }
            );
            println!(
                "  in doubt when nothing is heard for {} s and {}% of its machines are overdue ({} s)",
                zone_limits.quiet_after.as_secs(),
                zone_limits.overdue_share * 100.0,
                zone_limits.overdue_after().as_secs()
            );
            println!(
                "  lost {} s later; its machines are kept for {} s",
                zone_limits.lost_after.as_secs(),
                zone_limits.retain_for.as_secs()
            );
            println!(
                "  back in full after {} to {} s",
                zone_limits.recovery_ramp.as_secs(),
                zone_limits.max_recovery_ramp.as_secs()
            );
            if let Err(e) = settings.check_machines(&config) {
                eprintln!("hookworks: {e}");
                return Err(ExitCode::from(2));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Submit { to, file } => Ok(print_result(client::submit(&to, &file))),
        Command::Status { to, job } => Ok(print_result(client::status(&to, job.as_deref()))),
        Command::Show { to, job } => Ok(print_result(client::show(&to, &job))),
        Command::Hold {
            to,
            job,
            by,
            why,
            operator,
            stop,
        } => {
            let kind = if operator { "operator" } else { "user" };
            Ok(print_result(client::hold(&to, &job, kind, &by, &why, stop)))
        }
        Command::Release { to, job, by, kind } => {
            Ok(print_result(client::release(&to, &job, &kind, &by)))
        }
        Command::Jobs { to, filters } => Ok(print_result(client::jobs(&to, &filters))),
        Command::Cancel { to, job } => Ok(print_result(client::cancel(&to, &job))),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().verb) {
        Ok(code) | Err(code) => code,
    }
}
