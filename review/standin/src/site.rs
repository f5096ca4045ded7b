//! A small deployment on loopback: three controllers as separate processes, and the
//! stand-ins for all that surrounds them.

use crate::fleet::{Cloud, Flavor, JobInfo, Jobs, Times};
use crate::http;
use crate::json::{amount, n, obj, s, J};
use crate::record::Record;
use crate::state::{Limits, State};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

pub struct Plan {
    pub zones: Vec<&'static str>,
    pub zone_of_controller: [usize; 3],
    pub teams: Vec<Team>,
    /// Kind, class, within.
    pub objectives: Vec<(&'static str, &'static str, f64)>,
    pub times: Times,
    pub gang_wait_s: f64,
    pub cancel_s: f64,
    pub limits: Limits,
    pub next: Option<Limits>,
    pub cloud_rps: f64,
    pub ram_mb: f64,
    pub core_share: f64,
    pub connections: u64,
    pub flavor: Flavor,
    pub boot_s: f64,
    pub most_machines: usize,
}

pub struct Site {
    pub record: Arc<Record>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub jobs: Jobs,
    pub controllers: Arc<Vec<(String, SocketAddr)>>,
    settings: Vec<PathBuf>,
    pub folder: PathBuf,
    processes: Arc<Mutex<Vec<Option<Child>>>>,
    program: Vec<String>,
    root: PathBuf,
    turn: std::sync::atomic::AtomicUsize,
    pub cancel_s: f64,
}

/// A free address for a controller: a loopback address of this case alone, and a port
/// below those that the system hands out by itself.
fn free_address(next_port: &mut u16) -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    loop {
        let address = SocketAddr::from(([127, 64 + a % 64, b, c], *next_port));
        *next_port += 1;
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The program and its arguments, from the deploy file.
fn run_command(root: &std::path::Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy file");
    let line = text
        .lines()
        .find(|l| l.trim_start().starts_with("run"))
        .expect("run =");
    let value = line.split_once('=').unwrap().1.trim().trim_matches('"');
    value.split_whitespace().map(str::to_string).collect()
}

impl Site {
    pub fn new(plan: Plan, record: Arc<Record>, root: PathBuf, folder: PathBuf) -> Site {
        let stop = Arc::new(AtomicBool::new(false));
        let state = Arc::new(State::new(plan.limits));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state_addr = listener.local_addr().unwrap();
        let answering = state.clone();
        http::serve(listener, stop.clone(), move |r| answering.answer(r));
        let mut controllers = vec![];
        let mut peers = vec![];
        let mut next_port = 18080;
        for i in 0..3 {
            controllers.push((format!("bullock-{i}"), free_address(&mut next_port)));
            peers.push(free_address(&mut next_port));
        }
        let controllers = Arc::new(controllers);
        let jobs: Jobs = Arc::default();
        let cloud = Cloud::new(
            plan.flavor.clone(),
            plan.times,
            jobs.clone(),
            record.clone(),
            controllers.clone(),
            plan.most_machines,
            plan.boot_s,
        );
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let cloud_addr = listener.local_addr().unwrap();
        let answering = cloud.clone();
        http::serve(listener, stop, move |r| answering.answer(r));
        let limits = |l: &Limits| {
            vec![
                ("rps", amount(l.rps)),
                ("write_rps", amount(l.write_rps)),
                ("value_kb", amount(l.value_kb)),
                ("txn_ops", n(l.txn_ops)),
            ]
        };
        let mut settings = vec![];
        for i in 0..3 {
            let zone = |i: usize| plan.zones[plan.zone_of_controller[i]];
            let seeds = (0..3).filter(|o| *o != i).map(|o| {
                obj(vec![
                    ("label", s(&controllers[o].0)),
                    ("zone", s(zone(o))),
                    ("peer_addr", s(peers[o])),
                ])
            });
            let mut state_limits = limits(&plan.limits);
            if let Some(next) = &plan.next {
                state_limits.push(("next", obj(limits(next))));
            }
            let teams = plan.teams.iter().map(|t| {
                obj(vec![
                    ("name", s(t.name)),
                    ("cpus", amount(t.cpus)),
                    ("cpus_max", amount(t.cpus_max)),
                    ("gpus", amount(0.0)),
                    ("gpus_max", amount(0.0)),
                ])
            });
            let objectives = plan.objectives.iter().map(|(kind, class, within)| {
                obj(vec![
                    ("kind", s(kind)),
                    ("class", s(class)),
                    ("within_s", amount(*within)),
                    ("share", amount(0.9)),
                ])
            });
            let params = obj(vec![
                ("count", n(3)),
                ("zones", J::Arr(plan.zones.iter().map(s).collect())),
                ("teams", J::Arr(teams.collect())),
                ("objectives", J::Arr(objectives.collect())),
                (
                    "workers",
                    obj(vec![
                        ("report_s", amount(plan.times.report_s)),
                        ("lease_s", amount(plan.times.lease_s)),
                        ("gang_wait_s", amount(plan.gang_wait_s)),
                        ("gang_peer_s", amount(8.0)),
                        ("cancel_s", amount(plan.cancel_s)),
                    ]),
                ),
                ("state", obj(state_limits)),
                (
                    "cloud",
                    obj(vec![
                        ("rps", amount(plan.cloud_rps)),
                        ("list_lag_s", amount(3.0)),
                    ]),
                ),
                (
                    "machine_limits",
                    obj(vec![
                        ("core_share", amount(plan.core_share)),
                        ("ram_mb", amount(plan.ram_mb)),
                        ("max_connections", n(plan.connections)),
                    ]),
                ),
                ("clock_error_ms", amount(100.0)),
            ]);
            let file = obj(vec![
                ("label", s(&controllers[i].0)),
                ("zone", s(zone(i))),
                ("listen", s(controllers[i].1)),
                ("cluster_listen", s(peers[i])),
                ("seeds", J::Arr(seeds.collect())),
                (
                    "services",
                    obj(vec![("cloud", s(cloud_addr)), ("state", s(state_addr))]),
                ),
                ("params", params),
            ]);
            let path = folder.join(format!("bullock-{i}.json"));
            std::fs::write(&path, file.to_string()).expect("settings file");
            settings.push(path);
        }
        Site {
            record,
            state,
            cloud,
            jobs,
            controllers,
            settings,
            folder,
            processes: Arc::new(Mutex::new(vec![None, None, None])),
            program: run_command(&root),
            root,
            turn: Default::default(),
            cancel_s: plan.cancel_s,
        }
    }

    /// Ends all controllers when the case takes too long.
    pub fn watch(&self, limit: Duration) {
        let (processes, record) = (self.processes.clone(), self.record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(limit);
            record.note("case   out of time");
            end_all(&processes);
            std::process::exit(2);
        });
    }

    pub fn start_controller(&self, i: usize) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("bullock-{i}.log")))
            .expect("log file");
        let level = std::env::var("LOG_LEVEL").unwrap_or("info".into());
        let child = Command::new(self.root.join(&self.program[0]))
            .args(&self.program[1..])
            .arg(&self.settings[i])
            .current_dir(&self.root)
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record
                    .note(&format!("start  bullock-{i}, process {}", child.id()));
                let pids = self.folder.join("processes");
                let file = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(pids);
                if let Ok(mut file) = file {
                    let _ = writeln!(file, "{}", child.id());
                }
                self.processes.lock().unwrap()[i] = Some(child);
            }
            Err(e) => self.fail(&format!("bullock-{i} can't be started: {e}")),
        }
    }

    /// Ends a controller without a signal that it could handle.
    pub fn kill_controller(&self, i: usize) {
        if let Some(mut child) = self.processes.lock().unwrap()[i].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("kill   bullock-{i}"));
        }
    }

    /// The number of controllers that ended by themselves.
    pub fn ended_by_themselves(&self) -> usize {
        let mut all = self.processes.lock().unwrap();
        let mut ended = 0;
        for child in all.iter_mut().flatten() {
            ended += matches!(child.try_wait(), Ok(Some(_))) as usize;
        }
        ended
    }

    /// The case can't run.
    pub fn fail(&self, why: &str) -> ! {
        self.record.note(&format!("case   can't run: {why}"));
        eprintln!("case can't run: {why}");
        self.end();
        std::process::exit(2)
    }

    pub fn end(&self) {
        end_all(&self.processes);
    }

    /// The label that the leader's key names, and its number.
    pub fn leader(&self) -> Option<usize> {
        let label = self.state.peek("hookworks/leader")?.get("label").text();
        self.controllers.iter().position(|c| c.0 == label)
    }

    pub fn wait_for(&self, what: &str, limit_s: f64, mut done: impl FnMut() -> bool) {
        if !self.within(limit_s, &mut done) {
            self.fail(&format!("not within {limit_s} s: {what}"));
        }
        self.record.note(&format!("case   {what}"));
    }

    pub fn within(&self, limit_s: f64, mut done: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        while Instant::now() < until {
            if done() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        done()
    }

    /// One request to some controller, as through the load balancer: the next one is
    /// tried when one refuses the connection.
    pub fn ask(&self, method: &str, path: &str, body: &str, timeout_s: f64) -> (u16, J, f64) {
        let timeout = Duration::from_secs_f64(timeout_s);
        for _ in 0..3 {
            let i = self.turn.fetch_add(1, Ordering::SeqCst) % 3;
            if self.processes.lock().unwrap()[i].is_none() {
                continue;
            }
            let answer = http::request(self.controllers[i].1, method, path, body, timeout);
            let short = if body.len() > 300 { &body[..300] } else { body };
            return match answer {
                Some(r) => {
                    let text = String::from_utf8_lossy(&r.body).into_owned();
                    self.record.note(&format!(
                        "user   {method} {path} {short} at bullock-{i} -> {} {text}",
                        r.status
                    ));
                    (
                        r.status,
                        J::parse(&r.body).unwrap_or(J::Null),
                        r.retry_after.unwrap_or(1.0),
                    )
                }
                None => {
                    self.record.note(&format!(
                        "user   {method} {path} {short} at bullock-{i} -> no answer"
                    ));
                    (0, J::Null, 1.0)
                }
            };
        }
        (0, J::Null, 1.0)
    }

    /// A request that is repeated for up to 60 s until it gets an answer that ends it.
    /// The answer, or none if there was none in that time.
    pub fn persist(&self, method: &str, path: &str, body: &str) -> Option<(u16, J)> {
        let began = Instant::now();
        loop {
            let (status, answer, retry) = self.ask(method, path, body, 5.0);
            if [200, 201, 400, 422, 404].contains(&status) {
                return Some((status, answer));
            }
            let pause = Duration::from_secs_f64(retry.clamp(1.0, 30.0));
            if began.elapsed() + pause > Duration::from_secs(60) {
                self.record
                    .note(&format!("user   {method} {path} is given up after 60 s"));
                return None;
            }
            std::thread::sleep(pause);
        }
    }

    /// Uploads the description of a job and gives its submission.
    pub fn job(&self, j: Submission) -> String {
        let info = JobInfo {
            cpus: j.cpus,
            ram_gb: j.ram_gb,
            image: j.image.to_string(),
            image_gb: j.image_gb,
            run_s: j.run_s,
            tasks: j.tasks,
        };
        self.jobs.lock().unwrap().insert(j.id.to_string(), info);
        let builds = match &j.builds {
            Some(b) => J::Arr(b.iter().map(s).collect()),
            None => J::Null,
        };
        obj(vec![
            ("Id", s(j.id)),
            ("Jobline", s(j.class)),
            ("Crew", s(j.team)),
            (
                "Shape",
                s(if j.run_s.is_some() || !j.daemon {
                    "batch"
                } else {
                    "daemon"
                }),
            ),
            ("Urgency", s(j.urgency)),
            ("Pieces", n(j.tasks)),
            ("Vcpus", amount(j.cpus)),
            ("Accelerators", amount(0.0)),
            ("RamGb", amount(j.ram_gb)),
            ("Bundle", s(j.image)),
            ("SizeGb", amount(j.image_gb)),
            ("Builds", builds),
            ("Yard", j.yard.map_or(J::Null, s)),
            ("OneZone", J::Bool(false)),
            ("Scatter", J::Bool(false)),
            ("Lendable", J::Bool(false)),
            ("GuessS", amount(j.guess_s)),
            ("BookmarkS", amount(0.0)),
            ("StowS", amount(0.0)),
        ])
        .to_string()
    }

    pub fn submit(&self, body: &str) -> Option<(u16, J)> {
        self.persist("POST", "/v2/runs", body)
    }

    pub fn cancel(&self, id: &str) -> Option<(u16, J)> {
        self.persist("POST", &format!("/v2/runs/{id}/abort"), "")
    }

    pub fn poll(&self, id: &str) -> (u16, J) {
        let (status, answer, _) = self.ask("GET", &format!("/v2/runs/{id}"), "", 2.0);
        (status, answer)
    }
}

fn end_all(processes: &Mutex<Vec<Option<Child>>>) {
    let mut all = match processes.lock() {
        Ok(all) => all,
        Err(e) => e.into_inner(),
    };
    for child in all.iter_mut().filter_map(Option::take) {
        let mut child = child;
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

#[derive(Clone)]
pub struct Submission<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub team: &'a str,
    pub urgency: &'a str,
    pub tasks: u64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: &'a str,
    pub image_gb: f64,
    pub builds: Option<Vec<String>>,
    pub yard: Option<&'a str>,
    pub daemon: bool,
    pub run_s: Option<f64>,
    pub guess_s: f64,
}
