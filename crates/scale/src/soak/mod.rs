//! Soak: real controllers under troubles drawn from a seed, two or three at a time,
//! judged from the stand-ins' own records until every accepted job has been served.

mod options;
pub mod schedule;
mod troubles;
mod verdict;

pub use options::SoakOptions;
pub use verdict::SoakVerdict;

use crate::judge::Answer;
use crate::options::RunOptions;
use crate::run::{RunError, Site, TURN, start_error};
use crate::workload::{self, Plan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedule::{Frame, Trouble, draw};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use troubles::Troubles;

/// No job is left waiting beside room for longer, once the troubles are over.
const WAITS_BESIDE_ROOM: Duration = Duration::from_secs(90);
/// Questions that are asked at every controller in turn, a second.
const ASKED_EVERYWHERE_PER_S: f64 = 10.0;
/// How controllers log that something came to pass that never must.
const VIOLATION_LINE: &str = "invariant violated";
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Plays one seed.
///
/// # Errors
/// When it can't start; nothing is left running.
pub fn run_seed(
    options: &SoakOptions,
    seed: u64,
    interrupted: &Arc<AtomicBool>,
) -> Result<SoakVerdict, RunError> {
    options.check()?;
    let run = options.run_options(seed);
    let frame = Frame {
        controllers: run.controllers,
        zones: run.zones,
        length_s: run.length_s,
        kinds: options.kinds(),
    };
    let schedule = draw(seed, &frame);
    std::fs::create_dir_all(&run.out).map_err(start_error("folder"))?;
    remove_logs(&run);
    keep_schedule(&schedule, &run.out).map_err(start_error("schedule"))?;
    let site = Site::start(&run)?;
    site.wait_until_healthy(interrupted)?;
    site.wait(Duration::from_secs_f64(run.warm_up_s), interrupted)?;
    let plans = workload::plans(&run);
    let asked: Vec<Plan> = plans.clone();
    let from = Instant::now();
    site.users
        .start(from, plans, vec![])
        .map_err(start_error("users"))?;
    let asker = ask_everywhere(&site, asked, seed).map_err(start_error("questions"))?;
    let mut soak = Soak {
        site: &site,
        from,
        troubles: Troubles::new(schedule.clone(), seed),
        next_sweep: from,
        last_turn: from,
        longest_stall: Duration::ZERO,
        ended: vec![],
    };
    soak.under_troubles(run.length(), interrupted)?;
    let served_within = WAITS_BESIDE_ROOM
        + Duration::from_secs_f64(run.lease_s)
        + Duration::from_secs_f64(2.0 * run.run_s);
    let served_after = soak.until_served(served_within, interrupted)?;
    let verdict = soak.verdict(seed, schedule, served_after);
    drop(site);
    let _ = asker.join();
    Ok(verdict)
}

fn keep_schedule(schedule: &[Trouble], folder: &Path) -> std::io::Result<()> {
    let lines: Vec<String> = schedule.iter().map(Trouble::to_string).collect();
    std::fs::write(folder.join("schedule.txt"), lines.join("\n") + "\n")
}

/// A soak that is under way.
struct Soak<'a> {
    site: &'a Site,
    from: Instant,
    troubles: Troubles,
    next_sweep: Instant,
    last_turn: Instant,
    longest_stall: Duration,
    /// Controllers that ended by themselves.
    ended: Vec<usize>,
}

impl Soak<'_> {
    fn under_troubles(
        &mut self,
        length: Duration,
        interrupted: &AtomicBool,
    ) -> Result<(), RunError> {
        while self.from.elapsed() < length || !self.troubles.are_over() {
            self.turn(interrupted)?;
        }
        Ok(())
    }

    /// Waits until every accepted job is over and every controller is healthy; answers
    /// how long that took, or none if it has not come to that.
    fn until_served(
        &mut self,
        within: Duration,
        interrupted: &AtomicBool,
    ) -> Result<Option<Duration>, RunError> {
        let from = Instant::now();
        while from.elapsed() < within {
            self.turn(interrupted)?;
            let served = self.site.shared.judge().unfinished() == 0;
            if served && self.unhealthy().is_empty() {
                return Ok(Some(from.elapsed()));
            }
        }
        Ok(None)
    }

    /// Controllers that don't answer health checks with 200.
    fn unhealthy(&self) -> Vec<usize> {
        let all = 0..self.site.options.controllers;
        all.filter(|number| !self.site.is_healthy(*number))
            .collect()
    }

    fn turn(&mut self, interrupted: &AtomicBool) -> Result<(), RunError> {
        if interrupted.load(Ordering::Relaxed) {
            return Err(RunError::Interrupted);
        }
        std::thread::sleep(TURN);
        let now = Instant::now();
        let stall = now - std::mem::replace(&mut self.last_turn, now);
        self.longest_stall = self.longest_stall.max(stall);
        self.site.add_workers(self.site.cloud.come_up(now))?;
        // Before any is ended on purpose: those are taken out by whoever ends them.
        for number in self.site.controllers.ended() {
            if !self.ended.contains(&number) {
                self.ended.push(number);
            }
        }
        self.troubles.carry_out(self.site, now, now - self.from);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.site.shared.judge().sweep(now);
        }
        Ok(())
    }

    fn verdict(
        &self,
        seed: u64,
        schedule: Vec<Trouble>,
        served_after: Option<Duration>,
    ) -> SoakVerdict {
        let unhealthy = self.unhealthy();
        let now = Instant::now();
        let mut judge = self.site.shared.judge();
        let observations = self.site.users.observations();
        SoakVerdict {
            seed,
            schedule,
            effects: self.site.shared.interference.effects(),
            rules: judge.verdict(now),
            starts: judge.starts(),
            finished_jobs: judge.finished(),
            unserved_jobs: judge.unfinished(),
            polls: observations.polls,
            polls_failed: observations.polls_failed,
            unhealthy,
            violations: violations_logged(&self.site.options),
            ended_by_themselves: self.ended.clone(),
            served_after_s: served_after.map(|d| d.as_secs_f64()),
            longest_stall_s: self.longest_stall.as_secs_f64(),
        }
    }
}

fn log_files(options: &RunOptions) -> impl Iterator<Item = PathBuf> {
    (0..options.controllers).map(|n| options.out.join(format!("controller-{n}.log")))
}

/// Logs of an earlier soak of the same seed are not to be judged.
fn remove_logs(options: &RunOptions) {
    for log in log_files(options) {
        // Most likely there is none.
        let _ = std::fs::remove_file(log);
    }
}

/// Counts the violations that the controllers have logged.
fn violations_logged(options: &RunOptions) -> usize {
    let texts = log_files(options).filter_map(|log| std::fs::read_to_string(log).ok());
    texts.map(|text| text.matches(VIOLATION_LINE).count()).sum()
}

/// Asks about jobs at every controller in turn, all the time.
fn ask_everywhere(site: &Site, plans: Vec<Plan>, seed: u64) -> std::io::Result<JoinHandle<()>> {
    let users = site.users.clone();
    let shared = site.shared.clone();
    let thread = std::thread::Builder::new().name("questions".into());
    thread.spawn(move || {
        let mut rng = StdRng::seed_from_u64(seed);
        let pause = Duration::from_secs_f64(1.0 / ASKED_EVERYWHERE_PER_S);
        while !shared.stopping() && !plans.is_empty() {
            std::thread::sleep(pause);
            let job = &plans[rng.random_range(0..plans.len())].spec.id;
            let is_accepted = shared.judge().outcome(job).is_some_and(|o| o.accepted);
            if is_accepted {
                for controller in 0..shared.layout.controllers {
                    let _: Answer = users.ask_at(controller, job);
                }
            }
        }
    })
}
