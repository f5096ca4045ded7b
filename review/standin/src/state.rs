//! The state service: keys, transactions, leases and limits, as in the protocol's section
//! "Controller nodes -> state service". Watches are not used by the controllers.

use crate::http::{Answer, Request};
use crate::json::{n, obj, s, J};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Allows a burst of one second's worth.
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let allowed = self.tokens >= count;
        if allowed {
            self.tokens -= count;
        }
        allowed
    }
}

struct Entry {
    value: J,
    stamp: u64,
    permit: Option<u64>,
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    ledger: u64,
    permits: BTreeMap<u64, (Duration, Instant)>,
    next_permit: u64,
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
}

impl State {
    pub fn new(limits: Limits) -> State {
        let now = Instant::now();
        let full = |tokens| Bucket { tokens, at: now };
        State {
            inner: Mutex::new(Inner {
                keys: BTreeMap::new(),
                ledger: 1,
                permits: BTreeMap::new(),
                next_permit: 1,
                limits,
                requests: full(limits.rps),
                writes: full(limits.write_rps),
            }),
        }
    }

    /// The limits are lowered, without notice.
    pub fn set_limits(&self, limits: Limits) {
        self.inner.lock().unwrap().limits = limits;
    }

    /// The value of a key, for the case to look at.
    pub fn peek(&self, key: &str) -> Option<J> {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        inner.keys.get(key).map(|e| e.value.clone())
    }

    pub fn answer(&self, r: Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        let rps = inner.limits.rps;
        if !inner.requests.take(rps, 1.0) {
            return Some((429, "{\"error\":\"too many requests\"}".into()));
        }
        Some(match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/store") => inner.list(&r),
            ("GET", path) if path.starts_with("/store/") => inner.get(&path[7..]),
            ("POST", "/txn") => inner.txn(&r.body),
            ("POST", "/grants") => inner.grant(&r.body),
            ("POST", path) if path.ends_with("/renew") => {
                let id = path
                    .split('/')
                    .nth(2)
                    .and_then(|i| i.parse().ok())
                    .unwrap_or(0);
                match inner.permits.get_mut(&id) {
                    Some((life, until)) => {
                        *until = Instant::now() + *life;
                        (200, format!("{{\"Permit\":{id}}}"))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/grants/") => {
                let id = path[8..].parse().unwrap_or(0);
                match inner.permits.remove(&id) {
                    Some(_) => {
                        inner.drop_keys_of(id);
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            _ => (400, "{\"error\":\"malformed\"}".into()),
        })
    }
}

impl Inner {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .permits
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.permits.remove(&id);
            self.drop_keys_of(id);
        }
    }

    fn drop_keys_of(&mut self, permit: u64) {
        let before = self.keys.len();
        self.keys.retain(|_, e| e.permit != Some(permit));
        if self.keys.len() != before {
            self.ledger += 1;
        }
    }

    fn item(key: &str, e: &Entry) -> J {
        let mut fields = vec![("K", s(key)), ("V", e.value.clone()), ("Stamp", n(e.stamp))];
        if let Some(p) = e.permit {
            fields.push(("Permit", n(p)));
        }
        obj(fields)
    }

    fn get(&self, key: &str) -> (u16, String) {
        match self.keys.get(key) {
            Some(e) => (200, Self::item(key, e).to_string()),
            None => (404, obj(vec![("Ledger", n(self.ledger))]).to_string()),
        }
    }

    fn list(&self, r: &Request) -> (u16, String) {
        let prefix = r.param("Under").unwrap_or_default();
        let since = r.param("Since").unwrap_or_default();
        let page: usize = r
            .param("Page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let mut pairs = vec![];
        let (mut bytes, mut truncated) = (0, false);
        let matching = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && (since.is_empty() || **k > since));
        for (k, e) in matching {
            let item = Self::item(k, e);
            bytes += item.to_string().len() + 1;
            if pairs.len() >= page || (bytes > 500 * 1024 && !pairs.is_empty()) {
                truncated = true;
                break;
            }
            pairs.push(item);
        }
        let body = obj(vec![
            ("Pairs", J::Arr(pairs)),
            ("Truncated", J::Bool(truncated)),
            ("Ledger", n(self.ledger)),
        ]);
        (200, body.to_string())
    }

    fn txn(&mut self, body: &[u8]) -> (u16, String) {
        let malformed = |why: &str| (400, obj(vec![("error", s(why))]).to_string());
        let Some(txn) = J::parse(body) else {
            return malformed("malformed");
        };
        let (when, apply) = (txn.get("When").arr(), txn.get("Apply").arr());
        if body.len() > 64 * 1024
            || apply.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
        {
            return malformed("transaction too large");
        }
        let most = (self.limits.value_kb * 1024.0) as usize;
        if apply
            .iter()
            .any(|a| a.get("Put").str().is_some() && a.get("V").to_string().len() > most)
        {
            return malformed("value too large");
        }
        let rate = self.limits.write_rps;
        if !self.writes.take(rate, apply.len() as f64) {
            return (429, "{\"error\":\"too many changes\"}".into());
        }
        for a in apply {
            if let Some(p) = a.get("Permit").u64() {
                if !self.permits.contains_key(&p) {
                    return malformed("no such lease");
                }
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |e| e.stamp);
        let failed: Vec<J> = when
            .iter()
            .filter(|w| stamp(&w.get("K").text()) != w.get("Stamp").u64().unwrap_or(0))
            .map(|w| w.get("K").clone())
            .collect();
        if !failed.is_empty() {
            let body = obj(vec![("failed", J::Arr(failed)), ("Ledger", n(self.ledger))]);
            return (409, body.to_string());
        }
        if !apply.is_empty() {
            self.ledger += 1;
        }
        for a in apply {
            if let Some(key) = a.get("Put").str() {
                let entry = Entry {
                    value: a.get("V").clone(),
                    stamp: self.ledger,
                    permit: a.get("Permit").u64(),
                };
                self.keys.insert(key.to_string(), entry);
            } else if let Some(key) = a.get("Delete").str() {
                self.keys.remove(key);
            }
        }
        (200, obj(vec![("Ledger", n(self.ledger))]).to_string())
    }

    fn grant(&mut self, body: &[u8]) -> (u16, String) {
        let ms = J::parse(body).and_then(|b| b.get("LifeMs").u64());
        let Some(ms) = ms.filter(|ms| (100..=600_000).contains(ms)) else {
            return (400, "{}".into());
        };
        let id = self.next_permit;
        self.next_permit += 1;
        let life = Duration::from_millis(ms);
        self.permits.insert(id, (life, Instant::now() + life));
        (200, format!("{{\"Permit\":{id}}}"))
    }
}
