//! The command line: a controller, its check of settings, and the client.

use clap::{Parser, Subcommand};
use hookworks::settings::Settings;
use hookworks::{api, client, node};
use hookworks_http_server::RequestClass;
use std::process::ExitCode;

/// A cluster scheduler that balances machines in time.
#[derive(Parser)]
#[command(name = "hookworks", version)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a controller.
    Serve {
        /// The platform's settings, JSON.
        #[arg(long)]
        config: String,
        /// The operators' settings, XML.
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
    /// Show a job whole: what happened to it, what it used, who holds it.
    Show {
        #[arg(long)]
        to: String,
        job: String,
    },
    /// Keep a job from starting anything.
    Hold {
        #[arg(long)]
        to: String,
        job: String,
        /// Who asks.
        #[arg(long)]
        by: String,
        #[arg(long, default_value = "")]
        why: String,
        /// Put by operators rather than by the job's user.
        #[arg(long)]
        operator: bool,
        /// Stop what runs, with time to save.
        #[arg(long)]
        stop: bool,
    },
    /// Let a held job go on.
    Release {
        #[arg(long)]
        to: String,
        job: String,
        #[arg(long)]
        by: String,
        /// Which hold: user, operator or system.
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

fn logs() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = level.parse().unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
}

fn load(config: &str, tuning: Option<&str>) -> Result<Settings, ExitCode> {
    Settings::load(config, tuning).map_err(|e| {
        eprintln!("hookworks: {e}");
        ExitCode::from(2)
    })
}

fn tell(r: Result<String, String>) -> ExitCode {
    match r {
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

fn run(verb: Verb) -> Result<ExitCode, ExitCode> {
    match verb {
        Verb::Serve { config, tuning } => {
            let settings = load(&config, tuning.as_deref())?;
            logs();
            match node::serve(settings) {
                Ok(()) => Ok(ExitCode::SUCCESS),
                Err(e) => {
                    eprintln!("hookworks: {e}");
                    Err(ExitCode::from(1))
                }
            }
        }
        Verb::Check { config, tuning } => {
            let s = load(&config, tuning.as_deref())?;
            println!("{:#?}", s.platform);
            println!("{:#?}", s.tuning);
            let b = api::bounds(&s).map_err(|_| ExitCode::from(2))?;
            let one = |l: RequestClass| b.guaranteed[l as usize];
            println!("connections: {} at a time, {}", b.connections, b.limited_by);
            println!("  threads that serve them: {} at the most", b.threads);
            for (who, class) in [
                ("workers", RequestClass::Workers),
                ("users", RequestClass::Users),
                ("health checks and operators", RequestClass::Watch),
                ("without a request yet (also the most)", RequestClass::Fresh),
            ] {
                println!(
                    "  {who}: {} guaranteed, {} at the most",
                    one(class),
                    match class {
                        RequestClass::Fresh => one(class),
                        _ => b.max_for(class),
                    }
                );
            }
            let z = s.capacity_limits().map_err(|_| ExitCode::from(2))?;
            let [c, j, f, m] = z.bytes.map(|n| n / 1_000_000);
            println!(
                "sizes: {} machines with no other controller left, limited by {}; {} of them can keep a connection open",
                z.single_controller.max_machines,
                z.single_controller.limited_by,
                z.worker_connections.min(z.single_controller.max_machines)
            );
            println!(
                "  {} unfinished jobs, {} final states at hand, {} open requests, {} messages",
                z.jobs, z.finals, z.requests, z.inbox
            );
            println!(
                "  memory at the most: connections {c} MB, jobs {j} MB, final states {f} MB, machines {m} MB of {} MB",
                s.platform.params.machine_limits.ram_mb
            );
            println!("  large bodies: {} KiB together", b.body_bytes / 1024);
            println!("  sockets set aside for calls to others: {}", b.set_aside);
            let w = &s.platform.params.workers;
            let z = s.tuning.zones.limits(w.report_s);
            println!(
                "zones: {}",
                match s.tuning.zones.act {
                    true => "verdicts are acted on",
                    false => "verdicts are shown, not acted on",
                }
            );
            println!(
                "  in doubt when nothing is heard for {} s and {}% of its machines are overdue ({} s)",
                z.quiet.as_secs(),
                z.overdue_share * 100.0,
                z.overdue_after().as_secs()
            );
            println!(
                "  lost {} s later; its machines are kept for {} s",
                z.lost_after.as_secs(),
                z.keep.as_secs()
            );
            println!(
                "  back in full after {} to {} s",
                z.settle.as_secs(),
                z.settle_most.as_secs()
            );
            if let Err(e) = s.check_machines(&config) {
                eprintln!("hookworks: {e}");
                return Err(ExitCode::from(2));
            }
            Ok(ExitCode::SUCCESS)
        }
        Verb::Submit { to, file } => Ok(tell(client::submit(&to, &file))),
        Verb::Status { to, job } => Ok(tell(client::status(&to, job.as_deref()))),
        Verb::Show { to, job } => Ok(tell(client::show(&to, &job))),
        Verb::Hold {
            to,
            job,
            by,
            why,
            operator,
            stop,
        } => {
            let kind = if operator { "operator" } else { "user" };
            Ok(tell(client::hold(&to, &job, kind, &by, &why, stop)))
        }
        Verb::Release { to, job, by, kind } => Ok(tell(client::release(&to, &job, &kind, &by))),
        Verb::Jobs { to, filters } => Ok(tell(client::jobs(&to, &filters))),
        Verb::Cancel { to, job } => Ok(tell(client::cancel(&to, &job))),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().verb) {
        Ok(code) | Err(code) => code,
    }
}
