//! The state service: keys with revisions, transactions, leases, limits.

use crate::http::{Answer, Request};
use crate::world::{random, secs};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

struct Item {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, left: rate, at: Instant::now() }
    }

    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.left >= n;
        if enough {
            self.left -= n;
        }
        enough
    }
}

struct Store {
    ledger: u64,
    items: BTreeMap<String, Item>,
    grants: HashMap<u64, (Duration, Instant)>,
    next_grant: u64,
    requests: Bucket,
    changes: Bucket,
    outage: bool,
    refused: Vec<bool>,
}

pub struct State {
    /// Which controller took the lead, by epoch.
    pub led: Mutex<HashMap<u64, usize>>,
    store: Mutex<Store>,
    txn_ops: usize,
    value_bytes: usize,
    latency: Mutex<Duration>,
    /// Shares of the transactions without an answer: carried out 2 to 12 s late, and at once.
    pub unanswered: Mutex<(f64, f64)>,
}

impl State {
    pub fn new(limits: &Value, nodes: usize, latency: Duration) -> State {
        let number = |name: &str| limits[name].as_f64().unwrap_or(100.0);
        State {
            led: Mutex::default(),
            store: Mutex::new(Store {
                ledger: 1,
                items: BTreeMap::new(),
                grants: HashMap::new(),
                next_grant: 1,
                requests: Bucket::new(number("rps")),
                changes: Bucket::new(number("write_rps")),
                outage: false,
                refused: vec![false; nodes],
            }),
            txn_ops: number("txn_ops") as usize,
            value_bytes: (number("value_kb") * 1024.0) as usize,
            latency: Mutex::new(latency),
            unanswered: Mutex::default(),
        }
    }

    /// An outage begins or ends: nobody is served, and no lease runs out meanwhile.
    pub fn set_outage(&self, out: bool) {
        let mut store = self.store.lock().unwrap();
        store.expire();
        store.outage = out;
        let now = Instant::now();
        for (life, ends) in store.grants.values_mut() {
            *ends = now + *life;
        }
    }

    /// One controller alone is refused, or served again.
    pub fn set_refused(&self, node: usize, refused: bool) {
        self.store.lock().unwrap().refused[node] = refused;
    }

    pub fn answer(&self, node: usize, r: &Request) -> Answer {
        let latency = *self.latency.lock().unwrap();
        std::thread::sleep(latency);
        if r.path == "/txn" {
            let (late, lost) = *self.unanswered.lock().unwrap();
            if random() < late {
                std::thread::sleep(secs(2.0 + 10.0 * random()));
                self.answer_now(node, r);
                return None;
            }
            if random() < lost {
                self.answer_now(node, r);
                return None;
            }
        }
        self.answer_now(node, r)
    }

    pub fn set_latency(&self, latency: Duration) {
        *self.latency.lock().unwrap() = latency;
    }

    fn answer_now(&self, node: usize, r: &Request) -> Answer {
        let mut store = self.store.lock().unwrap();
        store.expire();
        if store.outage || store.refused[node] {
            return Some((503, json!({"error": "trouble"})));
        }
        if !store.requests.take(1.0) {
            return Some((429, json!({"error": "too many requests"})));
        }
        let path = r.path.trim_start_matches('/');
        let (head, rest) = path.split_once('/').unwrap_or((path, ""));
        Some(match (r.method.as_str(), head) {
            ("GET", "store") if rest.is_empty() => store.page(r),
            ("GET", "store") => match store.items.get(rest) {
                Some(i) => (200, pair(rest, i)),
                None => (404, json!({"Ledger": store.ledger})),
            },
            ("POST", "txn") => self.txn(node, &mut store, r),
            ("POST", "grants") if rest.is_empty() => {
                let life = r.json().and_then(|b| b["LifeMs"].as_u64()).unwrap_or(1000);
                let life = Duration::from_millis(life);
                let id = store.next_grant;
                store.next_grant += 1;
                store.grants.insert(id, (life, Instant::now() + life));
                (200, json!({"Permit": id}))
            }
            ("POST", "grants") => {
                let id = rest.trim_end_matches("/renew").parse().unwrap_or(0);
                match store.grants.get_mut(&id) {
                    Some((life, ends)) => {
                        *ends = Instant::now() + *life;
                        (200, json!({}))
                    }
                    None => (404, json!({"error": "no such lease"})),
                }
            }
            ("DELETE", "grants") => {
                store.end_grant(rest.parse().unwrap_or(0));
                (200, json!({}))
            }
            _ => (400, json!({"error": "malformed"})),
        })
    }

    fn txn(&self, node: usize, store: &mut Store, r: &Request) -> (u16, Value) {
        let Some(body) = r.json().filter(|_| r.body.len() <= 64 * 1024) else {
            return (400, json!({"error": "malformed"}));
        };
        let none = vec![];
        let when = body["When"].as_array().unwrap_or(&none);
        let apply = body["Apply"].as_array().unwrap_or(&none);
        let large = apply.iter().any(|c| c["V"].to_string().len() > self.value_bytes);
        if apply.len() > self.txn_ops || when.len() > 4 * self.txn_ops || large {
            return (400, json!({"error": "too large"}));
        }
        if !store.changes.take(apply.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let no_grant = |c: &Value| c["Permit"].as_u64().is_some_and(|g| !store.grants.contains_key(&g));
        if apply.iter().any(no_grant) {
            return (400, json!({"error": "no such lease"}));
        }
        let stamp = |k: &str| store.items.get(k).map_or(0, |i| i.stamp);
        let failed: Vec<&str> = when
            .iter()
            .filter(|c| stamp(c["K"].as_str().unwrap_or_default()) != c["Stamp"].as_u64().unwrap_or(0))
            .filter_map(|c| c["K"].as_str())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Ledger": store.ledger}));
        }
        if !apply.is_empty() {
            store.ledger += 1;
        }
        for c in apply {
            if let Some(key) = c["Put"].as_str() {
                if let (true, Some(epoch)) = (c["Permit"].is_u64(), c["V"]["epoch"].as_u64()) {
                    self.led.lock().unwrap().insert(epoch, node);
                }
                let item = Item {
                    value: c["V"].clone(),
                    stamp: store.ledger,
                    permit: c["Permit"].as_u64(),
                };
                store.items.insert(key.into(), item);
            } else if let Some(key) = c["Delete"].as_str() {
                store.items.remove(key);
            }
        }
        (200, json!({"Ledger": store.ledger}))
    }
}

fn pair(key: &str, i: &Item) -> Value {
    let mut v = json!({"K": key, "V": i.value, "Stamp": i.stamp});
    if let Some(p) = i.permit {
        v["Permit"] = json!(p);
    }
    v
}

impl Store {
    fn expire(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = self.grants.iter().filter(|g| g.1.1 < now).map(|g| *g.0).collect();
        for id in over {
            self.end_grant(id);
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let before = self.items.len();
        self.items.retain(|_, i| i.permit != Some(id));
        if self.items.len() < before {
            self.ledger += 1;
        }
    }

    fn page(&self, r: &Request) -> (u16, Value) {
        let under = r.parameter("Under").unwrap_or("");
        let since = r.parameter("Since").unwrap_or("");
        let most: usize = r.parameter("Page").and_then(|p| p.parse().ok()).unwrap_or(1000);
        let all = self.items.iter().filter(|(k, _)| k.starts_with(under) && k.as_str() > since);
        let mut pairs = vec![];
        let (mut bytes, mut more) = (0, false);
        for (k, i) in all {
            let v = pair(k, i);
            bytes += v.to_string().len();
            if pairs.len() >= most.min(1000) || bytes > 512 * 1024 {
                more = true;
                break;
            }
            pairs.push(v);
        }
        (200, json!({"Pairs": pairs, "Truncated": more, "Ledger": self.ledger}))
    }
}
