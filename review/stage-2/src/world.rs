//! Machines, the workers on them, the cloud that rents them, and the judge who sees all
//! of it. One lock and one clock for everything; `tick` advances it.

use crate::http::{self, Answer, Request};
use crate::net::Net;
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often the world advances.
const TICK: Duration = Duration::from_millis(5);

/// A number from 0 to 1, from a seed that `seed` has set.
pub fn random() -> f64 {
    let mut x = SEED.load(std::sync::atomic::Ordering::Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    SEED.store(x, std::sync::atomic::Ordering::Relaxed);
    (x >> 11) as f64 / (1u64 << 53) as f64
}

static SEED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0x2545_f491_4f6c_dd1d);

pub fn seed(n: u64) {
    SEED.store(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, std::sync::atomic::Ordering::Relaxed);
}

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Fetching,
    Waiting,
    Running,
    Flushing,
    Ended(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub job: String,
    pub index: u64,
    pub attempt: u64,
    pub status: Status,
    pub kept: bool,
    /// When its present status began, and when it is over.
    since: Instant,
    until: Option<Instant>,
    /// It has its image: it is on the machine until it ends.
    pub on: bool,
}

impl Task {
    pub fn name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    fn is_over(&self) -> bool {
        matches!(self.status, Status::Ended(_))
    }

    fn set(&mut self, now: Instant, status: Status) {
        self.status = status;
        self.since = now;
        self.until = None;
        if self.is_over() {
            self.on = false;
        }
    }

    fn report(&self) -> Value {
        let mut v = json!({"Piece": self.name(), "Try": self.attempt});
        v["Status"] = json!(match self.status {
            Status::Fetching => "fetching",
            Status::Waiting => "waiting",
            Status::Running => "running",
            Status::Flushing => "flushing",
            Status::Ended(_) => "ended",
        });
        if let Status::Ended(why) = self.status {
            v["Cause"] = json!(why);
            if self.kept {
                v["Kept"] = json!(true);
            }
        }
        v
    }
}

pub struct Machine {
    pub host: String,
    pub zone: String,
    pub spot: bool,
    pub address: SocketAddr,
    pub up_at: Instant,
    rented: Instant,
    listed_at: Instant,
    pub gone: bool,
    /// It does not carry out anything until it goes on.
    pub hangs: bool,
    /// Its reports reach no controller.
    pub mute: bool,
    /// No answer and no order reaches it.
    pub deaf: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    session_began: Instant,
    answered: Option<Instant>,
    pub tasks: Vec<Task>,
    pub images: BTreeSet<String>,
    /// GB a second.
    pub fetch_rate: f64,
    changed: bool,
    token_told: Instant,
    /// The share of `report_s` by which its next interval is longer or shorter.
    pub pace: f64,
    /// Bodies of the reports that were answered with 200, with their times.
    pub reports: Vec<(Instant, Value)>,
    /// Bodies of all reports that were answered with 200, also where the worker dropped that.
    pub delivered: Vec<Value>,
    /// The controller it reports to.
    pub node: usize,
}

/// What the platform is told of a job by its user.
pub struct JobFacts {
    pub spec: Value,
    pub run: Duration,
    pub cancelled_at: Option<Instant>,
}

pub struct Rules {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub build: Value,
    pub list_lag_s: f64,
    /// Team name, most CPUs, most accelerators; 0: no limit.
    pub teams: Vec<(String, f64, f64)>,
}

pub struct Inner {
    pub machines: BTreeMap<String, Machine>,
    pub jobs: HashMap<String, JobFacts>,
    pub broken: Vec<String>,
    pub started: u64,
    /// Tasks that have completed.
    pub done: BTreeSet<String>,
    hires: HashMap<String, Vec<String>>,
    next_host: u64,
    /// How many machines there may be.
    pub capacity: usize,
    /// How long the cloud takes to answer.
    pub cloud_latency: Duration,
    pub boot: Duration,
    /// The share of orders that are held up, unanswered, and carried out 2 to 16 s late.
    pub late_orders: f64,
    /// The share of orders that are carried out while only their answer is lost.
    pub lost_answers: f64,
}

pub struct World {
    pub rules: Rules,
    inner: Mutex<Inner>,
    pub record: Arc<Record>,
    pub nodes: Mutex<Vec<(String, SocketAddr)>>,
    pub net: Arc<Net>,
    /// Who leads by token, if known; set by the scene.
    pub led: Mutex<Option<Box<dyn Fn(u64) -> Option<usize> + Send>>>,
}

impl World {
    pub fn new(rules: Rules, record: Arc<Record>, net: Arc<Net>) -> Arc<World> {
        let world = Arc::new(World {
            rules,
            inner: Mutex::new(Inner {
                machines: BTreeMap::new(),
                jobs: HashMap::new(),
                broken: vec![],
                started: 0,
                done: BTreeSet::new(),
                hires: HashMap::new(),
                next_host: 1,
                capacity: 0,
                cloud_latency: Duration::from_millis(100),
                boot: Duration::from_secs(20),
                late_orders: 0.0,
                lost_answers: 0.0,
            }),
            record,
            nodes: Mutex::new(vec![]),
            net,
            led: Mutex::new(None),
        });
        let w = world.clone();
        std::thread::spawn(move || {
            loop {
                w.tick(Instant::now());
                std::thread::sleep(TICK);
            }
        });
        world
    }

    pub fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// A machine that is up from now on; its worker begins to report.
    pub fn add_machine(self: &Arc<World>, zone: &str, spot: bool, boot: Duration) -> String {
        let host = {
            let mut inner = self.inner();
            inner.next_host += 1;
            format!("n-{:06}", inner.next_host - 1)
        };
        let (w, h) = (self.clone(), host.clone());
        let address = http::serve(Arc::new(move |r: &Request| w.orders(&h, r)));
        let now = Instant::now();
        let up_at = now + boot;
        let machine = Machine {
            host: host.clone(),
            zone: zone.into(),
            spot,
            address,
            up_at,
            rented: now,
            listed_at: match boot.is_zero() {
                true => now,
                false => now + secs(self.rules.list_lag_s),
            },
            gone: false,
            hangs: false,
            mute: false,
            deaf: false,
            session: 1,
            seq: 0,
            token: 0,
            session_began: up_at,
            answered: None,
            tasks: vec![],
            images: BTreeSet::new(),
            fetch_rate: self.rules.build["FetchGbPerS"].as_f64().unwrap_or(1.0),
            changed: false,
            token_told: now,
            pace: 0.0,
            reports: vec![],
            delivered: vec![],
            node: 0,
        };
        self.inner().machines.insert(host.clone(), machine);
        let (w, h) = (self.clone(), host.clone());
        std::thread::spawn(move || w.report_loop(&h));
        host
    }

    fn body(&self, m: &mut Machine) -> Value {
        m.seq += 1;
        json!({"Host": m.host, "Endpoint": m.address.to_string(), "Build": self.rules.build["Label"],
            "Yard": m.zone, "Lendable": m.spot, "Shift": m.session, "Tally": m.seq, "Baton": m.token,
            "WarningS": null, "Pieces": m.tasks.iter().map(Task::report).collect::<Vec<_>>()})
    }

    // --- the worker ---

    fn report_loop(self: &Arc<World>, host: &str) {
        let mut last = Instant::now() - Duration::from_secs(60);
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let (body, session, node) = {
                let mut inner = self.inner();
                let Some(m) = inner.machines.get_mut(host).filter(|m| !m.gone) else {
                    return;
                };
                let now = Instant::now();
                let pace = 1.0 + m.pace.clamp(-0.25, 0.25);
                let due = last + secs(self.rules.report_s * pace);
                let soon = m.changed && now >= last + Duration::from_millis(500);
                if now < m.up_at || m.hangs || m.mute || !(now >= due || soon) {
                    continue;
                }
                m.changed = false;
                // Give or take a quarter.
                m.pace = random() / 2.0 - 0.25;
                let body = self.body(m);
                (body, m.session, m.node)
            };
            last = Instant::now();
            let nodes = self.nodes.lock().unwrap().clone();
            if nodes.is_empty() {
                continue;
            }
            let text = body.to_string();
            let (label, address) = &nodes[node % nodes.len()];
            let zone = self.inner().machines[host].zone.clone();
            let at = node % nodes.len();
            while self.net.worker_cut(at, &zone) && last.elapsed() < Duration::from_secs(4) {
                std::thread::sleep(Duration::from_millis(10));
            }
            if self.net.worker_cut(at, &zone) {
                // It is delivered once the cut is over; nobody waits for the answer.
                let (net, address, zone) = (self.net.clone(), *address, zone.clone());
                std::thread::spawn(move || {
                    net.hold(|n| n.worker_cut(at, &zone));
                    let _ = http::call(address, "POST", "/agent/beat", text.as_bytes(), Duration::from_secs(4));
                });
                self.record.line(format!("report {host} -> {label} is held up"));
                self.move_on(host, node + 1);
                std::thread::sleep(Duration::from_secs(1));
                last = Instant::now() - Duration::from_secs(60);
                continue;
            }
            self.record.line(format!("report {host} -> {label}: {text}"));
            let answer = http::call(*address, "POST", "/agent/beat", text.as_bytes(), Duration::from_secs(4));
            match answer {
                Ok((200, v)) => self.answered(host, session, last, body, &v),
                Ok((421, v)) => {
                    self.record.line(format!("answer to {host}: 421 {v}"));
                    let named = v["Foreman"].as_str();
                    let to = nodes.iter().position(|n| Some(n.0.as_str()) == named);
                    let other = to.filter(|t| *t != node % nodes.len());
                    self.move_on(host, other.unwrap_or(node + 1));
                    if other.is_none() {
                        std::thread::sleep(Duration::from_secs(1));
                    }
                    last = Instant::now() - Duration::from_secs(60);
                }
                other => {
                    let text = match other {
                        Ok((status, v)) => format!("{status} {v}"),
                        Err(e) => format!("none ({e})"),
                    };
                    self.record.line(format!("answer to {host}: {text}"));
                    self.move_on(host, node + 1);
                    std::thread::sleep(Duration::from_secs(1));
                    last = Instant::now() - Duration::from_secs(60);
                }
            }
        }
    }

    fn move_on(&self, host: &str, node: usize) {
        if let Some(m) = self.inner().machines.get_mut(host) {
            m.node = node;
        }
    }

    fn answered(&self, host: &str, session: u64, sent: Instant, body: Value, v: &Value) {
        let now = Instant::now();
        let late = now - sent > Duration::from_secs(4);
        let mut guard = self.inner();
        let inner = &mut *guard;
        let Some(m) = inner.machines.get_mut(host).filter(|m| !m.gone && !m.hangs) else {
            return;
        };
        if m.deaf {
            return;
        }
        m.delivered.push(body.clone());
        let token = v["Baton"].as_u64();
        if late || m.session != session || token.is_none_or(|t| t < m.token) {
            self.record.line(format!("answer to {host} dropped: {v}"));
            return;
        }
        self.record.line(format!("answer to {host}: 200 {v}"));
        see_token(m, now, token.unwrap_or(0), self.rules.lease_s);
        m.answered = Some(sent);
        m.reports.push((sent, body));
        if let Some(orders) = v["Orders"].as_array() {
            self.carry_out(inner, host, now, orders);
        }
    }

    /// `/orders` and `/show`.
    fn orders(&self, host: &str, r: &Request) -> Answer {
        let (late, lost) = {
            let inner = self.inner();
            (inner.late_orders, inner.lost_answers)
        };
        let late = r.method == "POST" && random() < late;
        if late {
            self.record.line(format!("orders to {host} held up: {}", String::from_utf8_lossy(&r.body)));
            std::thread::sleep(secs(2.0 + 14.0 * random()));
        }
        let token = r.json().and_then(|v| v["Baton"].as_u64()).unwrap_or(0);
        let caller = self.led.lock().unwrap().as_ref().and_then(|f| f(token));
        let zone = self.inner().machines.get(host).map(|m| m.zone.clone());
        if let (Some(caller), Some(zone)) = (caller, zone) {
            self.net.hold(|n| n.worker_cut(caller, &zone));
        }
        let answer = self.orders_now(host, r);
        answer.filter(|_| !late && random() >= lost)
    }

    fn orders_now(&self, host: &str, r: &Request) -> Answer {
        let (mut guard, now) = loop {
            let guard = self.inner();
            let m = guard.machines.get(host)?;
            let now = Instant::now();
            if m.gone || now < m.up_at {
                return None;
            }
            if m.deaf {
                drop(guard);
                std::thread::sleep(Duration::from_secs(3));
                return None;
            }
            if !m.hangs {
                break (guard, now);
            }
            drop(guard);
            std::thread::sleep(Duration::from_millis(10));
        };
        let inner = &mut *guard;
        if r.method == "GET" && r.path == "/show" {
            let m = inner.machines.get_mut(host)?;
            return Some((200, self.body(m)));
        }
        let v = r.json().unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (v["Baton"].as_u64(), v["Shift"].as_u64()) else {
            return Some((400, json!({"error": "Baton or Shift is missing"})));
        };
        let m = inner.machines.get_mut(host)?;
        let before = m.token;
        see_token(m, now, token, self.rules.lease_s);
        if token < before || session != m.session {
            let body = self.body(m);
            self.record.line(format!("orders to {host}: {v}: 409 {body}"));
            return Some((409, body));
        }
        let none = vec![];
        self.carry_out(inner, host, now, v["Orders"].as_array().unwrap_or(&none));
        let m = inner.machines.get_mut(host)?;
        let body = self.body(m);
        self.record.line(format!("orders to {host}: {v}: 200 {body}"));
        Some((200, body))
    }

    fn carry_out(&self, inner: &mut Inner, host: &str, now: Instant, orders: &[Value]) {
        for order in orders {
            let piece = order["Piece"].as_str().unwrap_or_default();
            let attempt = order["Try"].as_u64().unwrap_or(0);
            let Some((job, index)) = piece.split_once('/') else { continue };
            let index: u64 = index.parse().unwrap_or(0);
            match order["Verb"].as_str() {
                Some("run") => self.run(inner, host, now, job, index, attempt),
                Some("kill") => {
                    let leeway = order["LeewayS"].as_f64().unwrap_or(0.0);
                    let stow = inner.jobs.get(job).map_or((0.0, 0.0), |j| {
                        let f = |n: &str| j.spec[n].as_f64().unwrap_or(0.0);
                        (f("BookmarkS"), f("StowS"))
                    });
                    let Some(m) = inner.machines.get_mut(host) else { return };
                    let all = m.tasks.iter_mut();
                    for t in all.filter(|t| t.job == job && t.index == index && t.attempt == attempt) {
                        match t.status {
                            Status::Ended(_) => continue,
                            Status::Running if stow.0 > 0.0 && leeway >= stow.1 => {
                                t.set(now, Status::Flushing);
                                t.until = Some(now + secs(stow.1));
                            }
                            Status::Flushing if leeway > 0.0 => continue,
                            _ => t.set(now, Status::Ended("stopped")),
                        }
                        self.record.line(format!("{host}: {} try {} -> {:?}", t.name(), t.attempt, t.status));
                        m.changed = true;
                    }
                }
                Some("clear") => {
                    let Some(m) = inner.machines.get_mut(host) else { return };
                    m.tasks.retain(|t| {
                        !(t.job == job && t.index == index && t.attempt == attempt && t.is_over())
                    });
                }
                _ => {}
            }
        }
    }

    fn run(&self, inner: &mut Inner, host: &str, now: Instant, job: &str, index: u64, attempt: u64) {
        let amounts = |v: &Value| {
            ["Vcpus", "Accelerators", "RamGb"].map(|n| v[n].as_f64().unwrap_or(0.0))
        };
        let Some(m) = inner.machines.get(host) else { return };
        let same = |t: &&Task| t.job == job && t.index == index;
        if m.tasks.iter().filter(same).any(|t| t.attempt == attempt) {
            return;
        }
        let mut status = Status::Fetching;
        let mut until = None;
        match inner.jobs.get(job) {
            None => status = Status::Ended("unknown"),
            Some(facts) => {
                let mut left = amounts(&self.rules.build);
                for t in m.tasks.iter().filter(|t| !t.is_over()) {
                    if let Some(f) = inner.jobs.get(&t.job) {
                        let used = amounts(&f.spec);
                        (0..3).for_each(|i| left[i] -= used[i]);
                    }
                }
                let need = amounts(&facts.spec);
                if m.tasks.iter().filter(same).any(|t| !t.is_over()) {
                    status = Status::Ended("in_use");
                } else if (0..3).any(|i| left[i] + 1e-6 < need[i]) {
                    status = Status::Ended("no_room");
                } else {
                    let gb = facts.spec["SizeGb"].as_f64().unwrap_or(0.0);
                    let image = facts.spec["Bundle"].as_str().unwrap_or_default();
                    let cached = m.images.contains(image);
                    // One fetch for all tasks that wait for the image.
                    let other = m.tasks.iter().find(|t| {
                        t.status == Status::Fetching
                            && inner.jobs.get(&t.job).is_some_and(|f| f.spec["Bundle"] == facts.spec["Bundle"])
                    });
                    until = match (cached, other) {
                        (true, _) => Some(now),
                        (_, Some(t)) => t.until,
                        _ => Some(now + secs(gb / m.fetch_rate)),
                    };
                }
            }
        }
        let task = Task {
            job: job.into(),
            index,
            attempt,
            status,
            kept: false,
            since: now,
            until,
            on: false,
        };
        self.record.line(format!("{host}: {} try {attempt} -> {status:?}", task.name()));
        if let Some(m) = inner.machines.get_mut(host) {
            m.tasks.push(task);
            m.changed = true;
        }
    }

    // --- time ---

    fn tick(&self, now: Instant) {
        let mut guard = self.inner();
        let inner = &mut *guard;
        let hosts: Vec<String> = inner.machines.keys().cloned().collect();
        for host in &hosts {
            self.tick_machine(inner, host, now);
        }
        self.tick_gangs(inner, now);
        self.judge_cancelled(inner, now);
    }

    fn tick_machine(&self, inner: &mut Inner, host: &str, now: Instant) {
        let Some(m) = inner.machines.get_mut(host) else { return };
        if m.gone || m.hangs || now < m.up_at {
            return;
        }
        let from = m.answered.unwrap_or(m.session_began);
        if now.saturating_duration_since(from) > secs(self.rules.lease_s) {
            self.record.line(format!("{host}: the lease of session {} has run out", m.session));
            m.tasks.clear();
            m.session += 1;
            m.session_began = now;
            m.answered = None;
            m.changed = true;
        }
        let mut begun = vec![];
        for t in &mut m.tasks {
            let due = t.until.is_some_and(|u| now >= u);
            let facts = inner.jobs.get(&t.job);
            match t.status {
                Status::Fetching if due => {
                    let Some(f) = facts else { continue };
                    m.images.insert(f.spec["Bundle"].as_str().unwrap_or_default().into());
                    t.on = true;
                    match f.spec["Shape"] == "gang" {
                        true => t.set(now, Status::Waiting),
                        false => {
                            t.set(now, Status::Running);
                            if f.spec["Shape"] == "batch" {
                                t.until = Some(now + f.run);
                            }
                        }
                    }
                    begun.push(t.clone());
                }
                Status::Waiting if now >= t.since + secs(self.rules.gang_wait_s) => {
                    t.set(now, Status::Ended("alone"));
                }
                Status::Running if due => {
                    t.set(now, Status::Ended("done"));
                    inner.done.insert(t.name());
                }
                Status::Flushing if due => {
                    t.set(now, Status::Ended("stopped"));
                    t.kept = true;
                }
                _ => continue,
            }
            m.changed = true;
            self.record.line(format!("{host}: {} try {} -> {:?}", t.name(), t.attempt, t.status));
        }
        for t in begun {
            self.judge_start(inner, host, &t);
        }
    }

    /// Gangs begin once all their tasks wait, and end when one is lost.
    fn tick_gangs(&self, inner: &mut Inner, now: Instant) {
        let mut gangs: BTreeMap<(String, u64), Vec<(String, u64, Status)>> = BTreeMap::new();
        for m in inner.machines.values().filter(|m| !m.gone) {
            for t in &m.tasks {
                let gang = inner.jobs.get(&t.job).is_some_and(|f| f.spec["Shape"] == "gang");
                if gang && !m.hangs {
                    let all = gangs.entry((t.job.clone(), t.attempt)).or_default();
                    all.push((m.host.clone(), t.index, t.status));
                }
            }
        }
        for ((job, attempt), members) in gangs {
            let Some(facts) = inner.jobs.get(&job) else { continue };
            let (pieces, run) = (facts.spec["Pieces"].as_u64().unwrap_or(1), facts.run);
            let waiting: BTreeSet<u64> =
                members.iter().filter(|m| m.2 == Status::Waiting).map(|m| m.1).collect();
            let complete = waiting.len() as u64 == pieces;
            let alive = members.iter().filter(|m| m.2 == Status::Running).count() as u64;
            let lost = alive > 0
                && alive < pieces
                && !members.iter().any(|m| m.2 == Status::Ended("done"));
            for m in inner.machines.values_mut() {
                let all = m.tasks.iter_mut().filter(|t| t.job == job && t.attempt == attempt);
                for t in all {
                    if complete && t.status == Status::Waiting {
                        t.set(now, Status::Running);
                        t.until = Some(now + run);
                    } else if lost && t.status == Status::Running && !m.hangs {
                        t.set(now, Status::Ended("mates_gone"));
                    } else {
                        continue;
                    }
                    m.changed = true;
                    self.record.line(format!("{}: {} try {} -> {:?}", m.host, t.name(), t.attempt, t.status));
                }
            }
        }
    }

    // --- the cloud ---

    pub fn cloud(self: &Arc<World>, r: &Request) -> Answer {
        let latency = self.inner().cloud_latency;
        std::thread::sleep(latency);
        let now = Instant::now();
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/flavors") => Some((200, json!({"Builds": [self.rules.build]}))),
            ("GET", "/hosts") => {
                let inner = self.inner();
                let since = r.parameter("Since").unwrap_or("");
                let listed = |m: &&Machine| m.host.as_str() > since && !m.gone && now >= m.listed_at;
                let entry = |m: &Machine| {
                    let status = if now >= m.up_at { "running" } else { "booting" };
                    json!({"Id": m.host, "Endpoint": m.address.to_string(), "Build": self.rules.build["Label"],
                        "Yard": m.zone, "Lendable": m.spot, "Status": status,
                        "HeldS": (now - m.rented).as_secs_f64()})
                };
                let hosts: Vec<Value> = inner.machines.values().filter(listed).map(entry).collect();
                Some((200, json!({"Hosts": hosts, "Truncated": false})))
            }
            ("POST", "/hosts") => {
                let v = r.json().unwrap_or(Value::Null);
                self.record.line(format!("hire {v}"));
                let name = v["Hire"].as_str().unwrap_or_default().to_string();
                let known = self.inner().hires.get(&name).cloned();
                let hosts = match known {
                    Some(hosts) => hosts,
                    None => {
                        let (free, boot) = {
                            let inner = self.inner();
                            let held = inner.machines.values().filter(|m| !m.gone).count();
                            (inner.capacity.saturating_sub(held), inner.boot)
                        };
                        let count = free.min(v["HowMany"].as_u64().unwrap_or(0) as usize);
                        let zone = v["Yard"].as_str().unwrap_or_default();
                        let spot = v["Lendable"].as_bool().unwrap_or(false);
                        let new = (0..count).map(|_| self.add_machine(zone, spot, boot));
                        let new: Vec<String> = new.collect();
                        if !new.is_empty() {
                            self.inner().hires.insert(name, new.clone());
                        }
                        new
                    }
                };
                if hosts.is_empty() {
                    return Some((503, json!({"error": "no capacity"})));
                }
                Some((200, json!({"Hosts": hosts})))
            }
            ("POST", "/hosts/release") => {
                let v = r.json().unwrap_or(Value::Null);
                self.record.line(format!("release {v}"));
                let mut inner = self.inner();
                for host in v["Hosts"].as_array().into_iter().flatten() {
                    if let Some(m) = inner.machines.get_mut(host.as_str().unwrap_or_default()) {
                        m.gone = true;
                        m.tasks.clear();
                    }
                }
                Some((200, json!({})))
            }
            _ => Some((400, json!({"error": "malformed"}))),
        }
    }

    // --- the judge ---

    fn broke(&self, inner: &mut Inner, what: String) {
        self.record.line(format!("RULE BROKEN: {what}"));
        inner.broken.push(what);
    }

    fn judge_start(&self, inner: &mut Inner, host: &str, t: &Task) {
        inner.started += 1;
        let name = t.name();
        let mut found = vec![];
        for m in inner.machines.values().filter(|m| !m.gone && m.host != host) {
            for o in m.tasks.iter().filter(|o| o.on && o.job == t.job && o.index == t.index) {
                found.push(format!(
                    "ran_twice: {name} try {} starts on {host} while try {} of it is on {} ({:?})",
                    t.attempt, o.attempt, m.host, o.status
                ));
            }
        }
        if let Some(facts) = inner.jobs.get(&t.job) {
            let spec = facts.spec.clone();
            let (zone, spot) = inner.machines.get(host).map_or((String::new(), false), |m| (m.zone.clone(), m.spot));
            if spot && spec["Lendable"] != true {
                found.push(format!("wrong_place: {name} starts on a spot machine"));
            }
            if spec["Yard"].as_str().is_some_and(|y| y != zone) {
                found.push(format!("wrong_place: {name} starts in {zone}"));
            }
            let mut others: HashMap<String, u64> = HashMap::new();
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for m in inner.machines.values().filter(|m| !m.gone) {
                for o in m.tasks.iter().filter(|o| o.on) {
                    if o.job == t.job {
                        *others.entry(m.zone.clone()).or_default() += 1;
                    }
                    if let Some(f) = inner.jobs.get(&o.job).filter(|f| f.spec["Crew"] == spec["Crew"]) {
                        cpus += f.spec["Vcpus"].as_f64().unwrap_or(0.0);
                        gpus += f.spec["Accelerators"].as_f64().unwrap_or(0.0);
                    }
                }
            }
            if spec["OneZone"] == true && others.len() > 1 {
                found.push(format!("wrong_place: {name} starts in {zone}, others are elsewhere"));
            }
            let half = spec["Pieces"].as_u64().unwrap_or(1).div_ceil(2);
            if spec["Scatter"] == true && others.get(&zone).copied().unwrap_or(0) > half {
                found.push(format!("wrong_place: {name} is one too many in {zone}"));
            }
            for (team, most_cpus, most_gpus) in &self.rules.teams {
                let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
                if spec["Crew"] == team.as_str() && (over(cpus, *most_cpus) || over(gpus, *most_gpus)) {
                    found.push(format!("quota: {team} uses {cpus} CPUs and {gpus} accelerators"));
                }
            }
        }
        for what in found {
            self.broke(inner, what);
        }
    }

    fn judge_cancelled(&self, inner: &mut Inner, now: Instant) {
        let mut found = vec![];
        for m in inner.machines.values().filter(|m| !m.gone) {
            for t in m.tasks.iter().filter(|t| t.on) {
                let at = inner.jobs.get(&t.job).and_then(|f| f.cancelled_at);
                if at.is_some_and(|at| now > at + secs(self.rules.cancel_s)) {
                    found.push((t.job.clone(), format!("ran_cancelled: {} is on {} ({:?})", t.name(), m.host, t.status)));
                }
            }
        }
        for (job, what) in found {
            self.broke(inner, what);
            if let Some(f) = inner.jobs.get_mut(&job) {
                f.cancelled_at = None;
            }
        }
    }
}

fn see_token(m: &mut Machine, now: Instant, token: u64, lease_s: f64) {
    if token > m.token {
        m.token = token;
        if now.saturating_duration_since(m.token_told) >= secs(lease_s / 2.0) {
            m.token_told = now;
            m.changed = true;
        }
    }
}
