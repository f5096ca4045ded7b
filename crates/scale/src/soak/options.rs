//! What a soak is told, and what is refused before anything starts.

use crate::interference::TroubleKind;
use crate::options::{BadInput, LONGEST_S, RunOptions};
use clap::{Args, Parser, ValueEnum};
use std::path::PathBuf;

/// Seeds of one call at the most.
const MOST_SEEDS: u64 = 10_000;
/// A soak needs time for some troubles.
const SHORTEST_S: f64 = 10.0;
/// Links between controllers need two of them.
const LEAST_CONTROLLERS: f64 = 2.0;
/// The hollow workers of a soak report often and have short leases, so that much
/// happens in little time.
const REPORT_S: f64 = 2.0;
const LEASE_S: f64 = 10.0;
const CANCEL_S: f64 = 25.0;
/// What users submit: small jobs, many of which are cancelled.
const STARTS_PER_S: f64 = 8.0;
const URGENT_PER_S: f64 = 1.0;
const JOB_TASKS: u32 = 6;
const RUN_S: f64 = 4.0;
const CANCELLED: f64 = 0.2;

/// Options of a soak.
#[derive(Args, Clone, Debug)]
pub struct SoakOptions {
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// How long users submit and troubles come, for each seed.
    #[arg(long, default_value_t = 45.0)]
    pub length_s: f64,
    /// Workers, all up at the start.
    #[arg(long, default_value_t = 60)]
    pub workers: usize,
    /// Controllers.
    #[arg(long, default_value_t = 3)]
    pub controllers: usize,
    /// The kinds of trouble, with commas between them; all if none is given.
    #[arg(long, value_delimiter = ',')]
    pub troubles: Vec<TroubleKind>,
    /// Port that everybody listens at, each on a loopback address of its own.
    #[arg(long, default_value_t = 18_090)]
    pub port: u16,
    /// Network of the loopback addresses: 127.N.x.y.
    #[arg(long, default_value_t = 40)]
    pub network: u8,
    /// Program of the controllers.
    #[arg(long, default_value = "target/release/hookworks")]
    pub program: PathBuf,
    /// Folder for schedules, logs and verdicts, a folder in it for each seed.
    #[arg(long, default_value = "target/soak")]
    pub out: PathBuf,
}

impl ValueEnum for TroubleKind {
    fn value_variants<'a>() -> &'a [TroubleKind] {
        &TroubleKind::ALL
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(self.name().into())
    }
}

/// The scale run's options with their defaults.
#[derive(Parser)]
struct Defaults {
    #[command(flatten)]
    run: RunOptions,
}

impl SoakOptions {
    /// The kinds that are drawn.
    pub fn kinds(&self) -> Vec<TroubleKind> {
        match self.troubles.is_empty() {
            true => TroubleKind::ALL.to_vec(),
            false => self.troubles.clone(),
        }
    }

    /// What the site of a seed is started with.
    pub fn run_options(&self, seed: u64) -> RunOptions {
        let defaults = Defaults::parse_from(["soak"]).run;
        RunOptions {
            workers: self.workers,
            controllers: self.controllers,
            starts: STARTS_PER_S,
            urgent: URGENT_PER_S,
            job_tasks: JOB_TASKS,
            run_s: RUN_S,
            cancelled: CANCELLED,
            length_s: self.length_s,
            warm_up_s: REPORT_S,
            report_s: REPORT_S,
            lease_s: LEASE_S,
            cancel_s: CANCEL_S,
            seed,
            port: self.port,
            network: self.network,
            program: self.program.clone(),
            out: self.out.join(format!("seed-{seed}")),
            ..defaults
        }
    }

    /// The arguments that play one seed again.
    pub fn arguments_of(&self, seed: u64) -> String {
        let names: Vec<&str> = self.troubles.iter().map(|kind| kind.name()).collect();
        let troubles = match names.is_empty() {
            true => String::new(),
            false => format!(" --troubles {}", names.join(",")),
        };
        format!(
            "--first-seed {seed} --length-s {} --workers {} --controllers {}{troubles} --program {}",
            self.length_s,
            self.workers,
            self.controllers,
            self.program.display()
        )
    }

    /// Checks what only a soak has; the rest is checked as of a scale run.
    ///
    /// # Errors
    /// Names the option.
    pub fn check(&self) -> Result<(), BadInput> {
        let checks = [
            ("seeds", self.seeds as f64, 1.0, MOST_SEEDS as f64),
            ("length-s", self.length_s, SHORTEST_S, LONGEST_S),
            (
                "controllers",
                self.controllers as f64,
                LEAST_CONTROLLERS,
                6.0,
            ),
        ];
        for (option, value, least, most) in checks {
            crate::options::within(option, value, least, most)?;
        }
        self.run_options(self.first_seed).check()
    }
}
