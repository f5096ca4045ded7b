use clap::{Parser, Subcommand};
use hookworks::settings::Settings;
use hookworks::{api, client, node};
use hookworks_gate::Lane;
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
            let one = |l: Lane| b.guaranteed[l as usize];
            println!("connections: {} at a time, {}", b.connections, b.limited_by);
            for (who, lane) in [
                ("workers", Lane::Workers),
                ("users", Lane::Users),
                ("health checks and operators", Lane::Watch),
                ("without a request yet (also the most)", Lane::Fresh),
            ] {
                println!(
                    "  {who}: {} guaranteed, {} at the most",
                    one(lane),
                    match lane {
                        Lane::Fresh => one(lane),
                        _ => b.most(lane),
                    }
                );
            }
            println!("  large bodies: {} KiB together", b.body_bytes / 1024);
            println!("  sockets set aside for calls to others: {}", b.set_aside);
            Ok(ExitCode::SUCCESS)
        }
        Verb::Submit { to, file } => Ok(tell(client::submit(&to, &file))),
        Verb::Status { to, job } => Ok(tell(client::status(&to, job.as_deref()))),
        Verb::Cancel { to, job } => Ok(tell(client::cancel(&to, &job))),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().verb) {
        Ok(code) | Err(code) => code,
    }
}
