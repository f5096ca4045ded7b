//! A small deployment: controllers as processes of their own, started with the command
//! of the deploy file, beside the stand-ins.

use crate::http;
use crate::net::Net;
use crate::record::Record;
use crate::state::State;
use crate::world::{JobFacts, Rules, World, secs};
use serde_json::{Value, json};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

/// The script ends by then, whatever happens.
const LONGEST: Duration = Duration::from_secs(114);

pub struct Site {
    pub zones: Vec<&'static str>,
    pub params: Value,
    pub build: Value,
}

pub struct Scene {
    pub world: Arc<World>,
    pub state: Arc<State>,
    pub net: Arc<Net>,
    pub record: Arc<Record>,
    pub trouble: bool,
    children: Arc<Mutex<Vec<Option<Child>>>>,
    settings: Vec<PathBuf>,
    logs: PathBuf,
    temporary: PathBuf,
    pub labels: Vec<String>,
    pub listen: Vec<SocketAddr>,
    command: Vec<String>,
}

/// The case can't run.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2)
}

/// A free port below those that the system gives to clients, so that a controller that
/// is started anew finds it free.
fn free_port() -> SocketAddr {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let from = (std::process::id() % 1700) as u16 * 10;
    for _ in 0..2000 {
        let port = 12_000 + (from + TRIED.fetch_add(1, Ordering::Relaxed)) % 17_000;
        if let Ok(l) = TcpListener::bind(("127.0.0.1", port)) {
            return l.local_addr().unwrap_or_else(|e| give_up(&e.to_string()));
        }
    }
    give_up("no free port")
}

fn command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").unwrap_or_else(|e| give_up(&e.to_string()));
    let run = text.lines().find_map(|l| l.strip_prefix("run")?.trim().strip_prefix('=')).unwrap_or_default();
    let words: Vec<String> = run.trim().trim_matches('"').split_whitespace().map(String::from).collect();
    if words.is_empty() || !Path::new(&words[0]).exists() {
        give_up("the program of deploy/service.toml is not built");
    }
    words
}

impl Scene {
    /// Arguments of the program: the folder for `record.txt`. The present folder is the
    /// repository's root.
    pub fn new(site: Site) -> Scene {
        let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("no folder named"));
        let record = Record::new(&Path::new(&folder).join("record.txt"));
        let record = Arc::new(record.unwrap_or_else(|e| give_up(&e.to_string())));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        record.line(format!("trouble: {trouble}"));
        let p = &site.params;
        let number = |of: &str, n: &str| p[of][n].as_f64().unwrap_or(0.0);
        let team = |t: &Value| {
            let f = |n: &str| t[n].as_f64().unwrap_or(0.0);
            (t["name"].as_str().unwrap_or_default().to_string(), f("cpus_max"), f("gpus_max"))
        };
        let rules = Rules {
            report_s: number("workers", "report_s"),
            lease_s: number("workers", "lease_s"),
            gang_wait_s: number("workers", "gang_wait_s"),
            gang_peer_s: number("workers", "gang_peer_s"),
            cancel_s: number("workers", "cancel_s"),
            build: site.build.clone(),
            list_lag_s: number("cloud", "list_lag_s"),
            teams: p["teams"].as_array().into_iter().flatten().map(team).collect(),
        };
        let count = 3;
        let zone = |n: usize| site.zones[n % site.zones.len()];
        let net = Arc::new(Net::new((0..count).map(|n| zone(n).to_string()).collect()));
        let world = World::new(rules, record.clone(), net.clone());
        let state = Arc::new(State::new(&p["state"], count, Duration::from_millis(3)));
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).unwrap_or_else(|e| give_up(&e.to_string()));
        let labels: Vec<String> = (0..count).map(|n| format!("bullock-{n}")).collect();
        let listen: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let mut settings = vec![];
        for n in 0..count {
            let (s, held) = (state.clone(), net.clone());
            let at = http::serve(Arc::new(move |r: &http::Request| {
                held.hold(|net| net.state_cut(n));
                s.answer(n, r)
            }));
            let (w, held) = (world.clone(), net.clone());
            let cloud = http::serve(Arc::new(move |r: &http::Request| {
                held.hold(|net| net.region_cut(n));
                w.cloud(r)
            }));
            let others = (0..count).filter(|o| *o != n);
            let seeds: Vec<Value> = others
                .map(|o| json!({"label": labels[o], "zone": zone(o), "peer_addr": net.link(n, o, peers[o])}))
                .collect();
            let v = json!({"label": labels[n], "zone": zone(n), "listen": listen[n],
                "cluster_listen": peers[n], "seeds": seeds,
                "services": {"cloud": cloud, "state": at}, "params": p});
            let path = temporary.join(format!("settings-{n}.json"));
            std::fs::write(&path, v.to_string()).unwrap_or_else(|e| give_up(&e.to_string()));
            settings.push(path);
        }
        let nodes = labels.iter().cloned().zip(listen.iter().copied()).collect();
        *world.nodes.lock().unwrap() = nodes;
        let children: Arc<Mutex<Vec<Option<Child>>>> =
            Arc::new(Mutex::new((0..count).map(|_| None).collect()));
        let (c, t) = (children.clone(), temporary.clone());
        std::thread::spawn(move || {
            let longer = std::env::var("LONGEST").ok().and_then(|s| s.parse().ok()).map(secs);
            std::thread::sleep(longer.unwrap_or(LONGEST));
            end_all(&c);
            let _ = std::fs::remove_dir_all(&t);
            give_up("it took too long");
        });
        let logs = std::env::var("LOGS").map_or(temporary.clone(), PathBuf::from);
        let s = state.clone();
        *world.led.lock().unwrap() =
            Some(Box::new(move |token| s.led.lock().unwrap().get(&(token >> 24)).copied()));
        let scene = Scene {
            world,
            state,
            net,
            record,
            trouble,
            children,
            settings,
            logs,
            temporary,
            labels,
            listen,
            command: command(),
        };
        (0..count).for_each(|n| scene.start(n));
        scene
    }

    pub fn start(&self, n: usize) {
        let log = File::options().create(true).append(true).open(self.logs.join(format!("log-{n}")));
        let log = log.unwrap_or_else(|e| give_up(&e.to_string()));
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .arg(&self.settings[n])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // It ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        let child = child.unwrap_or_else(|e| give_up(&e.to_string()));
        self.record.line(format!("{} started, process {}", self.labels[n], child.id()));
        self.children.lock().unwrap()[n] = Some(child);
    }

    /// Ends a controller at once.
    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.children.lock().unwrap()[n].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("{} ended", self.labels[n]));
        }
    }

    /// Stops a controller's process, or lets it go on.
    pub fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.children.lock().unwrap()[n] {
            let kill = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
            self.record.line(format!("{} gets {name}", self.labels[n]));
        }
    }

    /// Controllers that ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let mut ended = vec![];
        for (n, child) in children.iter_mut().enumerate() {
            if let Some(c) = child
                && let Ok(Some(status)) = c.try_wait()
            {
                ended.push(format!("{} ended by itself: {status}", self.labels[n]));
            }
        }
        ended
    }

    /// The controller that says that it leads, if exactly one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let t = Duration::from_millis(300);
            let v = http::call(self.listen[*n], "GET", "/v2/overview", b"", t);
            v.is_ok_and(|(_, v)| v["role"] == "leader" && v["scheduler"]["proven"] != false)
        };
        let all: Vec<usize> = (0..self.listen.len())
            .filter(|n| self.children.lock().unwrap()[*n].is_some())
            .filter(leads)
            .collect();
        (all.len() == 1).then(|| all[0])
    }

    pub fn wait_for_leader(&self) -> usize {
        let leader = self.wait("a leader", 20.0, || self.leader());
        if let Some(ended) = self.ended().first() {
            self.end();
            give_up(ended);
        }
        leader
    }

    /// Waits until that is so; the case can't run if it takes longer.
    pub fn wait<T>(&self, what: &str, most_s: f64, f: impl Fn() -> Option<T>) -> T {
        let until = Instant::now() + secs(most_s);
        loop {
            if let Some(found) = f() {
                self.record.line(format!("-- {what}"));
                return found;
            }
            if Instant::now() > until {
                self.record.line(format!("-- no {what} within {most_s} s"));
                self.end();
                give_up(&format!("no {what} within {most_s} s"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn sleep(&self, s: f64) {
        std::thread::sleep(secs(s));
    }

    /// The controller that leads in this epoch, as the state service was told.
    pub fn led_by(&self, epoch: u64) -> Option<usize> {
        self.state.led.lock().unwrap().get(&epoch).copied()
    }

    /// A request of a user to a controller: status and body, or none without an answer.
    pub fn ask(&self, n: usize, method: &str, path: &str, body: &[u8], wait_s: f64) -> Option<(u16, Value)> {
        if self.net.region_cut(n) {
            return None;
        }
        let answer = http::call(self.listen[n], method, path, body, secs(wait_s));
        let text = match &answer {
            Ok((status, v)) => format!("{status} {v}"),
            Err(e) => format!("none ({e})"),
        };
        let body = String::from_utf8_lossy(body);
        self.record.line(format!("user {method} {path} {body} -> {}: {text}", self.labels[n]));
        answer.ok()
    }

    /// A user submits a job and repeats it until it is answered; true if it was accepted.
    pub fn submit(&self, spec: &Value, run_s: f64) -> bool {
        let id = spec["Id"].as_str().unwrap_or_default().to_string();
        let facts = JobFacts { spec: spec.clone(), run: secs(run_s), cancelled_at: None };
        self.world.inner().jobs.insert(id, facts);
        for n in 0..60 {
            let answer = self.ask(n % 3, "POST", "/v2/runs", spec.to_string().as_bytes(), 5.0);
            match answer.map(|a| a.0) {
                Some(200 | 201) => return true,
                Some(400 | 422) => return false,
                _ => self.sleep(1.0),
            }
        }
        false
    }

    pub fn poll(&self, n: usize, id: &str) -> Option<(u16, Value)> {
        self.ask(n, "GET", &format!("/v2/runs/{id}"), b"", 2.0)
    }

    /// The status of a task on each machine that lists it.
    pub fn places(&self, task: &str) -> Vec<(String, crate::world::Status, u64)> {
        let inner = self.world.inner();
        let all = inner.machines.values().filter(|m| !m.gone);
        let of = |m: &crate::world::Machine| {
            let t = m.tasks.iter().filter(|t| t.name() == task);
            t.map(|t| (m.host.clone(), t.status, t.attempt)).collect::<Vec<_>>()
        };
        all.flat_map(of).collect()
    }

    pub fn end(&self) {
        end_all(&self.children);
        let _ = std::fs::remove_dir_all(&self.temporary);
    }

    /// Ends everything; 1 if a rule was broken, 0 if not.
    pub fn finish(&self, more: Vec<String>) -> ! {
        let mut broken = self.world.inner().broken.clone();
        broken.extend(more);
        let mut ended = self.ended();
        broken.append(&mut ended);
        self.end();
        for b in &broken {
            self.record.line(format!("broken: {b}"));
            println!("broken: {b}");
        }
        let result = i32::from(!broken.is_empty());
        self.record.line(format!("result {result}"));
        println!("result {result}");
        exit(result)
    }
}

fn end_all(children: &Mutex<Vec<Option<Child>>>) {
    for child in children.lock().unwrap().iter_mut() {
        if let Some(mut c) = child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}
