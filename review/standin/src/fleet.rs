//! The cloud and the workers on its machines.

use crate::http::{self, Answer, Request};
use crate::json::{amount, n, obj, s, J};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type; the only one of a case.
#[derive(Clone, Debug)]
pub struct Flavor {
    pub label: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub zones: Vec<String>,
}

pub const FETCH_GB_PER_S: f64 = 1.0;
const CACHE_GB: f64 = 50.0;

/// What the workers need to know of a job: its users upload it.
#[derive(Clone, Debug)]
pub struct JobInfo {
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub image_gb: f64,
    /// None: until it is told to stop.
    pub run_s: Option<f64>,
    pub tasks: u64,
}

pub type Jobs = Arc<Mutex<BTreeMap<String, JobInfo>>>;

#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Fetching(Instant),
    Running(Option<Instant>),
    Ended(&'static str),
}

struct Task {
    phase: Phase,
}

struct Inner {
    shift: u64,
    tally: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    results: BTreeSet<String>,
    changed: bool,
    baton_noted: Option<Instant>,
    gone: bool,
}

pub struct Worker {
    pub host: String,
    pub zone: String,
    endpoint: String,
    flavor: Flavor,
    times: Times,
    jobs: Jobs,
    record: Arc<Record>,
    inner: Mutex<Inner>,
    stop: Arc<AtomicBool>,
}

fn num(v: f64) -> String {
    format!("{v}")
}

impl Worker {
    fn start(
        host: String,
        zone: String,
        flavor: Flavor,
        times: Times,
        jobs: Jobs,
        record: Arc<Record>,
        controllers: Arc<Vec<(String, SocketAddr)>>,
        number: usize,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker's socket");
        let endpoint = listener.local_addr().unwrap().to_string();
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Arc::new(Worker {
            host,
            zone,
            endpoint,
            flavor,
            times,
            jobs,
            record,
            stop: stop.clone(),
            inner: Mutex::new(Inner {
                shift: 1,
                tally: 0,
                baton: 0,
                lease_from: Instant::now(),
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                results: BTreeSet::new(),
                changed: false,
                baton_noted: None,
                gone: false,
            }),
        });
        let direct = worker.clone();
        http::serve(listener, stop, move |r| direct.direct(r));
        let reporting = worker.clone();
        let built = std::thread::Builder::new().stack_size(512 * 1024);
        let _ = built.spawn(move || reporting.report_loop(&controllers, number));
        worker
    }

    fn advance(&self, inner: &mut Inner) {
        let now = Instant::now();
        if inner.gone {
            return;
        }
        if now - inner.lease_from > Duration::from_secs_f64(self.times.lease_s) {
            self.record.note(&format!(
                "lease  {} session {} ends",
                self.host, inner.shift
            ));
            self.forget_all(inner, "lease expired");
            inner.shift += 1;
            inner.tally = 0;
            inner.lease_from = now;
            inner.changed = true;
        }
        let mut fetched = vec![];
        for ((piece, _), task) in &mut inner.tasks {
            let job = piece.split('/').next().unwrap_or("");
            if let Phase::Fetching(until) = task.phase {
                if until <= now {
                    let jobs = self.jobs.lock().unwrap();
                    let Some(info) = jobs.get(job) else { continue };
                    fetched.push(info.image.clone());
                    if inner.results.contains(piece) {
                        task.phase = Phase::Ended("done");
                    } else {
                        let ends = info.run_s.map(|r| until + Duration::from_secs_f64(r));
                        task.phase = Phase::Running(ends);
                        drop(jobs);
                        self.record.started(piece, &self.host);
                    }
                    inner.changed = true;
                }
            }
            if let Phase::Running(Some(ends)) = task.phase {
                if ends <= now {
                    task.phase = Phase::Ended("done");
                    inner.results.insert(piece.clone());
                    inner.changed = true;
                    self.record.ended(piece, &self.host, "done");
                }
            }
        }
        inner.images.extend(fetched);
    }

    fn forget_all(&self, inner: &mut Inner, why: &str) {
        for ((piece, _), task) in std::mem::take(&mut inner.tasks) {
            if matches!(task.phase, Phase::Running(_)) {
                self.record.ended(&piece, &self.host, why);
            }
        }
    }

    fn report(&self, inner: &mut Inner) -> J {
        inner.tally += 1;
        let pieces = inner.tasks.iter().map(|((piece, attempt), task)| {
            let mut fields = vec![("Piece", s(piece)), ("Try", n(attempt))];
            match &task.phase {
                Phase::Fetching(_) => fields.push(("Status", s("fetching"))),
                Phase::Running(_) => fields.push(("Status", s("running"))),
                Phase::Ended(why) => {
                    fields.push(("Status", s("ended")));
                    fields.push(("Cause", s(why)));
                }
            }
            obj(fields)
        });
        let pieces: Vec<J> = pieces.collect();
        obj(vec![
            ("Host", s(&self.host)),
            ("Endpoint", s(&self.endpoint)),
            ("Build", s(self.flavor.label)),
            ("Yard", s(&self.zone)),
            ("Lendable", J::Bool(false)),
            ("Shift", n(inner.shift)),
            ("Tally", n(inner.tally)),
            ("Baton", n(inner.baton)),
            ("WarningS", J::Null),
            ("Pieces", J::Arr(pieces)),
        ])
    }

    fn carry_out(&self, inner: &mut Inner, orders: &[J]) {
        let now = Instant::now();
        for order in orders {
            let piece = order.get("Piece").text();
            let attempt = order.get("Try").u64().unwrap_or(0);
            let key = (piece.clone(), attempt);
            match order.get("Verb").str().unwrap_or("") {
                "run" => {
                    if inner.tasks.contains_key(&key) {
                        continue;
                    }
                    let phase = self.start_phase(inner, &piece, now);
                    inner.tasks.insert(key, Task { phase });
                    inner.changed = true;
                }
                "kill" => {
                    if let Some(task) = inner.tasks.get_mut(&key) {
                        let ran = matches!(task.phase, Phase::Running(_));
                        if !matches!(task.phase, Phase::Ended(_)) {
                            task.phase = Phase::Ended("stopped");
                            inner.changed = true;
                        }
                        if ran {
                            self.record.ended(&piece, &self.host, "stopped");
                        }
                    }
                }
                "clear" => {
                    if matches!(inner.tasks.get(&key), Some(t) if matches!(t.phase, Phase::Ended(_)))
                    {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
        self.advance(inner);
    }

    fn start_phase(&self, inner: &Inner, piece: &str, now: Instant) -> Phase {
        let jobs = self.jobs.lock().unwrap();
        let (job, index) = piece.split_once('/').unwrap_or((piece, "x"));
        let Some(info) = jobs.get(job) else {
            return Phase::Ended("unknown");
        };
        if !index.parse::<u64>().is_ok_and(|i| i < info.tasks) {
            return Phase::Ended("unknown");
        }
        let active = |t: &Task| !matches!(t.phase, Phase::Ended(_));
        if inner
            .tasks
            .iter()
            .any(|((p, _), t)| p == piece && active(t))
        {
            return Phase::Ended("in_use");
        }
        let (mut cpus, mut ram) = (info.cpus, info.ram_gb);
        for ((p, _), _) in inner.tasks.iter().filter(|(_, t)| active(t)) {
            if let Some(other) = jobs.get(p.split('/').next().unwrap_or("")) {
                cpus += other.cpus;
                ram += other.ram_gb;
            }
        }
        if cpus > self.flavor.cpus + 1e-6 || ram > self.flavor.ram_gb + 1e-6 {
            return Phase::Ended("no_room");
        }
        match inner.images.contains(&info.image) {
            true => Phase::Fetching(now),
            false => Phase::Fetching(now + Duration::from_secs_f64(info.image_gb / FETCH_GB_PER_S)),
        }
    }

    fn note_baton(&self, inner: &mut Inner, baton: u64) {
        if baton > inner.baton {
            inner.baton = baton;
            let half = Duration::from_secs_f64(self.times.lease_s / 2.0);
            if inner.baton_noted.is_none_or(|at| at.elapsed() >= half) {
                inner.baton_noted = Some(Instant::now());
                inner.changed = true;
            }
        }
    }

    fn direct(&self, r: Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if inner.gone {
            return None;
        }
        self.advance(&mut inner);
        if r.path == "/show" {
            return Some((200, self.report(&mut inner).to_string()));
        }
        let body = J::parse(&r.body).unwrap_or(J::Null);
        let (Some(baton), Some(shift)) = (body.get("Baton").u64(), body.get("Shift").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < inner.baton {
            return Some((409, self.report(&mut inner).to_string()));
        }
        self.note_baton(&mut inner, baton);
        if shift != inner.shift {
            return Some((409, self.report(&mut inner).to_string()));
        }
        self.carry_out(&mut inner, body.get("Orders").arr());
        Some((200, self.report(&mut inner).to_string()))
    }

    fn report_loop(&self, controllers: &[(String, SocketAddr)], number: usize) {
        let mut at = number % controllers.len();
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut due = Instant::now() + Duration::from_millis((number as u64 * 137) % 2000);
        let mut refused = String::new();
        while !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let (body, shift) = {
                let mut inner = self.inner.lock().unwrap();
                self.advance(&mut inner);
                let early = inner.changed && now - last >= Duration::from_millis(500);
                if inner.gone || !(now >= due || early && due > now && refused.is_empty()) {
                    continue;
                }
                inner.changed = false;
                (self.report(&mut inner).to_string(), inner.shift)
            };
            last = now;
            // The interval, give or take a quarter.
            let vary = 0.75
                + 0.5 * ((now.elapsed().subsec_nanos() ^ number as u32 * 7919) % 1000) as f64
                    / 1000.0;
            due = now + Duration::from_secs_f64(self.times.report_s * vary);
            let to = controllers[at].1;
            let answer = http::request(to, "POST", "/agent/beat", &body, Duration::from_secs(4));
            let status = answer.as_ref().map_or(0, |a| a.status);
            if status == 200 {
                refused.clear();
                let parsed = answer.and_then(|a| J::parse(&a.body)).unwrap_or(J::Null);
                let mut inner = self.inner.lock().unwrap();
                self.advance(&mut inner);
                let baton = parsed.get("Baton").u64();
                if inner.shift == shift && !inner.gone && baton.is_some_and(|b| b >= inner.baton) {
                    self.note_baton(&mut inner, baton.unwrap_or(0));
                    inner.lease_from = now;
                    self.carry_out(&mut inner, parsed.get("Orders").arr());
                }
                continue;
            }
            let why = format!("{status}");
            if refused != why && status != 421 {
                self.record.note(&format!(
                    "beat   {} gets {} from {} for a report of {} bytes",
                    self.host,
                    if status == 0 {
                        "no answer".to_string()
                    } else {
                        why.clone()
                    },
                    controllers[at].0,
                    body.len()
                ));
                refused = why;
            }
            let named = answer
                .filter(|a| a.status == 421)
                .and_then(|a| J::parse(&a.body));
            let named = named.map(|b| b.get("Foreman").text()).unwrap_or_default();
            match controllers
                .iter()
                .position(|c| c.0 == named)
                .filter(|i| *i != at)
            {
                Some(other) => {
                    at = other;
                    due = Instant::now();
                }
                None => {
                    at = (at + 1) % controllers.len();
                    due = Instant::now() + Duration::from_secs(1);
                }
            }
        }
    }

    fn remove(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        self.forget_all(&mut inner, "machine returned");
        self.stop.store(true, Ordering::SeqCst);
    }
}

struct Machine {
    zone: String,
    rented: Instant,
    up_at: Instant,
    worker: Option<Arc<Worker>>,
}

struct CloudInner {
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    next: usize,
}

pub struct Cloud {
    flavor: Flavor,
    times: Times,
    jobs: Jobs,
    record: Arc<Record>,
    controllers: Arc<Vec<(String, SocketAddr)>>,
    most: usize,
    inner: Mutex<CloudInner>,
    boot_s: f64,
}

impl Cloud {
    pub fn new(
        flavor: Flavor,
        times: Times,
        jobs: Jobs,
        record: Arc<Record>,
        controllers: Arc<Vec<(String, SocketAddr)>>,
        most: usize,
        boot_s: f64,
    ) -> Arc<Cloud> {
        Arc::new(Cloud {
            flavor,
            times,
            jobs,
            record,
            controllers,
            most,
            boot_s,
            inner: Mutex::new(CloudInner {
                machines: BTreeMap::new(),
                hires: BTreeMap::new(),
                next: 1,
            }),
        })
    }

    /// A machine that comes up so much later; those of the start were rented long ago.
    pub fn add(self: &Arc<Cloud>, zone: &str, up_in: Duration, held: Duration) -> String {
        let (host, number) = {
            let mut inner = self.inner.lock().unwrap();
            let number = inner.next;
            inner.next += 1;
            let host = format!("n-{number:06}");
            let now = Instant::now();
            inner.machines.insert(
                host.clone(),
                Machine {
                    zone: zone.to_string(),
                    rented: now.checked_sub(held).unwrap_or(now),
                    up_at: now + up_in,
                    worker: None,
                },
            );
            (host, number)
        };
        let (cloud, name, zone) = (self.clone(), host.clone(), zone.to_string());
        std::thread::spawn(move || {
            std::thread::sleep(up_in);
            let mut inner = cloud.inner.lock().unwrap();
            if let Some(machine) = inner.machines.get_mut(&name) {
                cloud.record.note(&format!("cloud  {name} is up in {zone}"));
                machine.worker = Some(Worker::start(
                    name.clone(),
                    zone,
                    cloud.flavor.clone(),
                    cloud.times,
                    cloud.jobs.clone(),
                    cloud.record.clone(),
                    cloud.controllers.clone(),
                    number,
                ));
            }
        });
        host
    }

    /// The machines that are up now.
    pub fn up(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let up = inner.machines.iter().filter(|(_, m)| m.worker.is_some());
        up.map(|(h, _)| h.clone()).collect()
    }

    pub fn answer(self: &Arc<Cloud>, r: Request) -> Answer {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/flavors") => {
                let f = &self.flavor;
                let yards = f.zones.iter().map(s).collect();
                let build = obj(vec![
                    ("Label", s(f.label)),
                    ("Vcpus", amount(f.cpus)),
                    ("Accelerators", amount(0.0)),
                    ("RamGb", amount(f.ram_gb)),
                    ("LocalGb", amount(CACHE_GB)),
                    ("FetchGbPerS", amount(FETCH_GB_PER_S)),
                    ("Hourly", amount(0.68)),
                    ("SpotPrice", J::Null),
                    ("BootS", amount(self.boot_s)),
                    ("Yards", J::Arr(yards)),
                ]);
                Some((200, obj(vec![("Builds", J::Arr(vec![build]))]).to_string()))
            }
            ("GET", "/hosts") => Some((200, self.list(&r))),
            ("POST", "/hosts") => Some(self.rent(&r)),
            ("POST", "/hosts/release") => {
                let body = J::parse(&r.body).unwrap_or(J::Null);
                for host in body.get("Hosts").arr() {
                    let host = host.text();
                    let machine = self.inner.lock().unwrap().machines.remove(&host);
                    if let Some(machine) = machine {
                        self.record.note(&format!("cloud  {host} is returned"));
                        if let Some(worker) = machine.worker {
                            worker.remove();
                        }
                    }
                }
                Some((200, "{}".into()))
            }
            _ => Some((400, "{}".into())),
        }
    }

    fn rent(self: &Arc<Cloud>, r: &Request) -> (u16, String) {
        let body = J::parse(&r.body).unwrap_or(J::Null);
        let name = body.get("Hire").text();
        let answer = |hosts: &[String]| {
            let hosts = hosts.iter().map(s).collect();
            (200, obj(vec![("Hosts", J::Arr(hosts))]).to_string())
        };
        if let Some(hosts) = self.inner.lock().unwrap().hires.get(&name) {
            return answer(hosts);
        }
        let zone = body.get("Yard").text();
        let wanted = body.get("HowMany").u64().unwrap_or(0).min(50) as usize;
        let rented = self.inner.lock().unwrap().machines.len();
        let count = wanted.min(self.most.saturating_sub(rented));
        if count == 0 || body.get("Lendable") == &J::Bool(true) {
            return (503, "{\"error\":\"no capacity\"}".into());
        }
        let boot = Duration::from_secs_f64(self.boot_s);
        let hosts: Vec<String> = (0..count)
            .map(|_| self.add(&zone, boot, Duration::ZERO))
            .collect();
        self.record
            .note(&format!("cloud  {name} rents {hosts:?} in {zone}"));
        self.inner.lock().unwrap().hires.insert(name, hosts.clone());
        answer(&hosts)
    }

    fn list(&self, r: &Request) -> String {
        let since = r.param("Since").unwrap_or_default();
        let page: usize = r
            .param("Page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(500)
            .min(500);
        let inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let after: Vec<_> = inner.machines.iter().filter(|(h, _)| **h > since).collect();
        let hosts = after.iter().take(page).map(|(host, m)| {
            let up = m.up_at <= now && m.worker.is_some();
            let endpoint = m.worker.as_ref().map_or(J::Null, |w| s(&w.endpoint));
            obj(vec![
                ("Id", s(host)),
                ("Endpoint", endpoint),
                ("Build", s(self.flavor.label)),
                ("Yard", s(&m.zone)),
                ("Lendable", J::Bool(false)),
                ("Status", s(if up { "running" } else { "booting" })),
                ("HeldS", J::Num(num((now - m.rented).as_secs_f64()))),
            ])
        });
        let hosts: Vec<J> = hosts.collect();
        obj(vec![
            ("Hosts", J::Arr(hosts)),
            ("Truncated", J::Bool(after.len() > page)),
        ])
        .to_string()
    }
}
