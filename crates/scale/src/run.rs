//! One run: everything is checked, started, measured, judged and ended.

use crate::controllers::{Controllers, team_cpus};
use crate::counters::Counterpart;
use crate::faults::Faults;
use crate::figures::Figures;
use crate::http::{Client, Request, Response, serve};
use crate::judge::Judge;
use crate::layout::Layout;
use crate::links::Link;
use crate::machine::Heartbeat;
use crate::measure::{Log, Snapshot};
use crate::options::{BadInput, RunOptions};
use crate::pipeline;
use crate::standin::Shared;
use crate::standin::cloud::Cloud;
use crate::standin::state::{Limits, StateService};
use crate::standin::users::Users;
use crate::standin::workers::Workers;
use crate::workload;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Threads that hold the workers' sockets.
const WORKER_THREADS: usize = 2;
/// By then every controller answers health checks, or the run fails.
const HEALTHY_WITHIN: Duration = Duration::from_secs(20);
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
pub(crate) const TURN: Duration = Duration::from_millis(20);
const LEADER_KEY: &str = hookworks::store::LEADER_KEY;

/// Why a run gave no figures.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    /// What was asked for can't be done.
    Input(#[from] BadInput),
    #[error("{0}: {1}")]
    /// Something could not be started.
    Start(String, std::io::Error),
    #[error("controller-{0} did not become healthy within {HEALTHY_WITHIN:?}, see its log")]
    /// A controller did not become healthy.
    NotHealthy(usize),
    #[error("interrupted")]
    /// Somebody interrupted the run.
    Interrupted,
}

pub(crate) fn start_error(what: &str) -> impl Fn(std::io::Error) -> RunError {
    move |e| RunError::Start(what.into(), e)
}

fn bind(address: SocketAddr) -> Result<TcpListener, BadInput> {
    TcpListener::bind(address).map_err(|why| BadInput::Port { address, why })
}

/// Ends all that a run started, however the run ends.
struct Ending {
    stop: Arc<AtomicBool>,
    controllers: Controllers,
    /// Threads that listen; their addresses are free once they have ended.
    listening: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.controllers.kill_all();
        self.stop.store(true, Ordering::SeqCst);
        let listening = std::mem::take(&mut *self.listening());
        for thread in listening {
            let _ = thread.join();
        }
    }
}

impl Ending {
    fn listening(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.listening.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Everything at work.
pub(crate) struct Site {
    pub options: RunOptions,
    pub shared: Arc<Shared>,
    pub state: Arc<StateService>,
    pub cloud: Arc<Cloud>,
    pub workers: Arc<Workers>,
    pub users: Arc<Users>,
    pub controllers: Controllers,
    ending: Ending,
}

/// Carries out a run. `interrupted` ends it early.
///
/// # Errors
/// When it can't start; nothing is left running.
pub fn run(options: &RunOptions, interrupted: &Arc<AtomicBool>) -> Result<Figures, RunError> {
    options.check()?;
    let before = load_average();
    let site = Site::start(options)?;
    site.wait_until_healthy(interrupted)?;
    site.wait(Duration::from_secs_f64(options.warm_up_s), interrupted)?;
    let first = site.snapshot();
    let from = Instant::now();
    let (plans, pipelines) = (workload::plans(options), pipeline::pipelines(options));
    site.users
        .start(from, plans, pipelines)
        .map_err(start_error("users"))?;
    let mut log = Log {
        last_usage: first.usages.clone(),
        last_starts: first.starts,
        ..Log::default()
    };
    site.watch(from, &mut log, interrupted)?;
    let last = site.snapshot();
    Ok(site.figures(first, last, log, [before, load_average()]))
}

impl Site {
    pub(crate) fn start(options: &RunOptions) -> Result<Site, RunError> {
        let layout = Layout::new(options);
        let stop = Arc::new(AtomicBool::new(false));
        let judge = judge(options);
        let shared = Arc::new(Shared::new(layout.clone(), judge, stop.clone()));
        for c in 0..options.controllers {
            // Tried only: the controllers themselves take them.
            bind(layout.controller(c))?;
            bind(layout.cluster(c))?;
        }
        let controllers = Controllers::prepare(options, &layout, &options.out);
        let controllers = controllers.map_err(start_error("settings"))?;
        let ending = Ending {
            stop,
            controllers: controllers.clone(),
            listening: Mutex::default(),
        };
        let heartbeat = Heartbeat::of(options);
        let workers = Workers::start(&shared, heartbeat, WORKER_THREADS, options.seed);
        let (workers, running) = workers.map_err(start_error("workers"))?;
        ending.listening().extend(running);
        let workers = Arc::new(workers);
        let remover = workers.clone();
        let remove = Box::new(move |numbers: &[usize]| remover.remove(numbers));
        let site = Site {
            options: options.clone(),
            state: Arc::new(StateService::new(Limits::at_start(options))),
            cloud: Arc::new(Cloud::new(&layout, options.workers, remove)),
            users: Arc::new(Users::new(shared.clone())),
            shared,
            workers,
            controllers,
            ending,
        };
        site.serve()?;
        site.add_workers(site.cloud.places())?;
        hook_panics(&site.controllers);
        site.start_controllers()?;
        Ok(site)
    }

    fn start_controllers(&self) -> Result<(), RunError> {
        for number in 0..self.options.controllers {
            let started = self.controllers.start(number);
            started.map_err(start_error("controller"))?;
        }
        Ok(())
    }

    /// The services and links begin to serve.
    fn serve(&self) -> Result<(), RunError> {
        let layout = &self.shared.layout;
        for c in 0..layout.controllers {
            let (state, counters) = (self.state.clone(), self.shared.counters.clone());
            let undisturbed = Arc::new(move |r: &Request| state.answer(r, &counters));
            let interference = self.shared.interference.clone();
            let answer = move |r: &Request| interference.state_answer(c, r, undisturbed.clone());
            self.serve_one(layout.state(c), c, Counterpart::State, answer)?;
            let cloud = self.cloud.clone();
            let interference = self.shared.interference.clone();
            let answer = move |r: &Request| Some(interference.cloud_answer(|| cloud.answer(r)));
            self.serve_one(layout.cloud(c), c, Counterpart::Cloud, answer)?;
            for to in (0..layout.controllers).filter(|to| *to != c) {
                let listener = bind(layout.link(c, to))?;
                let link = Link::new(&self.shared, c, to);
                let thread = link.serve(listener).map_err(start_error("link"))?;
                self.ending.listening().push(thread);
            }
        }
        Ok(())
    }

    fn serve_one(
        &self,
        address: SocketAddr,
        controller: usize,
        with: Counterpart,
        answer: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    ) -> Result<(), RunError> {
        let listener = bind(address)?;
        let delay = self.shared.layout.service_delay(controller);
        let handler = move |r: &Request| {
            std::thread::sleep(delay);
            let response = answer(r);
            std::thread::sleep(delay);
            response
        };
        let counters = self.shared.counters.clone();
        // For the controller a request goes out and a response comes in.
        let count = move |request, response| counters.add(controller, with, response, request);
        let stop = self.shared.stop.clone();
        let served = serve(listener, stop, Arc::new(handler), Arc::new(count));
        let thread = served.map_err(start_error("service"))?;
        self.ending.listening().push(thread);
        Ok(())
    }

    pub(crate) fn add_workers(
        &self,
        places: Vec<(usize, crate::machine::Place)>,
    ) -> Result<(), BadInput> {
        for (number, place) in places {
            let address = self.shared.layout.worker(number);
            let added = self.workers.add(number, place);
            added.map_err(|why| BadInput::Port { address, why })?;
        }
        Ok(())
    }

    pub(crate) fn wait(&self, time: Duration, interrupted: &AtomicBool) -> Result<(), RunError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if interrupted.load(Ordering::Relaxed) {
                return Err(RunError::Interrupted);
            }
            std::thread::sleep(TURN);
        }
        Ok(())
    }

    pub(crate) fn wait_until_healthy(&self, interrupted: &AtomicBool) -> Result<(), RunError> {
        let until = Instant::now() + HEALTHY_WITHIN;
        for c in 0..self.options.controllers {
            while !self.is_healthy(c) {
                if Instant::now() > until {
                    return Err(RunError::NotHealthy(c));
                }
                self.wait(5 * TURN, interrupted)?;
            }
        }
        Ok(())
    }

    pub(crate) fn is_healthy(&self, controller: usize) -> bool {
        let timeout = Duration::from_secs(1);
        let address = self.shared.layout.controller(controller);
        let client = Client::connect(address, timeout);
        let exchange = client.and_then(|mut c| c.call("GET", "/healthz", b"", timeout));
        exchange.is_ok_and(|e| e.response.status == 200)
    }

    /// The controller that the leader's key names.
    pub fn leader(&self) -> Option<usize> {
        let value = self.state.peek(LEADER_KEY)?.to_string();
        let layout = &self.shared.layout;
        let named = |c: &usize| value.contains(&format!("\"{}\"", layout.label(*c)));
        (0..layout.controllers).find(named)
    }

    /// The epoch in the leader's key.
    pub fn leader_epoch(&self) -> Option<u64> {
        self.state.peek(LEADER_KEY)?["epoch"].as_u64()
    }

    fn snapshot(&self) -> Snapshot {
        let all = 0..self.options.controllers;
        let usage = |c| self.controllers.usage(c, true).unwrap_or_default();
        Snapshot {
            at: Instant::now(),
            usages: all.clone().map(usage).collect(),
            traffic: all.map(|c| self.shared.counters.amounts(c)).collect(),
            state: self.shared.counters.state(),
            starts: self.shared.judge().starts(),
        }
    }

    /// Samples every second, and carries the faults out, until the run's length
    /// is over.
    fn watch(
        &self,
        from: Instant,
        log: &mut Log,
        interrupted: &AtomicBool,
    ) -> Result<(), RunError> {
        let mut next = from + SAMPLE_EVERY;
        let mut faults = Faults::new(&self.options, from);
        while from.elapsed() < self.options.length() {
            if interrupted.load(Ordering::Relaxed) {
                return Err(RunError::Interrupted);
            }
            std::thread::sleep(TURN);
            let now = Instant::now();
            self.add_workers(self.cloud.come_up(now))?;
            faults.carry_out(self, now, log);
            if now >= next {
                next += SAMPLE_EVERY;
                log.take(self, now - from);
                self.shared.judge().sweep(now);
            }
        }
        Ok(())
    }
}

/// A judge that knows the teams' limits.
fn judge(options: &RunOptions) -> Judge {
    let (_, most) = team_cpus(options);
    let teams = (0..options.teams).map(workload::team);
    let limits = teams.map(|team| (team, most)).collect();
    let cancel_within = Duration::from_secs_f64(options.cancel_s);
    Judge::new(Instant::now(), cancel_within, limits)
}

/// A panic anywhere ends the controllers too.
fn hook_panics(controllers: &Controllers) {
    let controllers = controllers.clone();
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        controllers.kill_all();
        before(info);
    }));
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|t| t.parse().ok()).unwrap_or(0.0)
}

/// Writes a run's figures and plot into its folder.
///
/// # Errors
/// When a file can't be written.
pub fn write(f: &Figures, out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::write(out.join("figures.json"), serde_json::to_vec_pretty(f)?)?;
    crate::plot::write(f, &out.join("run.svg"))
}
