//! The state service: a small store with revisions, leases, a watch and limits.

mod limits;

pub use limits::Limits;

use crate::counters::Counters;
use crate::http::{Request, Response};
use hookworks::ids::Revision;
use hookworks::store::budget::Budget;
use hookworks::time::Clock;
use hookworks::wire::state::{Change, Item, Lease, LeaseRequest, Page, Txn, TxnApplied, TxnFailed};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Changes that the watch remembers.
const REMEMBERED: usize = 10_000;
/// Items and bytes of a page.
const PAGE_ITEMS: usize = 1000;
const PAGE_BYTES: usize = 512 * 1024;
const LONGEST_WATCH_MS: u64 = 60_000;

struct LeaseEntry {
    life: Duration,
    ends: Instant,
}

struct Store {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, LeaseEntry>,
    /// Outages under way: no lease ends during one.
    outages: usize,
    next_lease: u64,
    history: VecDeque<(u64, String, Option<Value>)>,
    limits: Limits,
    requests: Budget,
    changes: Budget,
}

/// The service; shared by all its connections.
pub struct StateService {
    clock: Clock,
    store: Mutex<Store>,
    changed: Condvar,
}

/// What a key is for: the part behind the project's name.
pub fn purpose(key: &str) -> String {
    let part = key.split('/').nth(1);
    part.unwrap_or(key).to_string()
}

impl StateService {
    /// A service that holds nothing.
    pub fn new(limits: Limits) -> StateService {
        let store = Store {
            revision: 1,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            outages: 0,
            next_lease: 1,
            history: VecDeque::new(),
            limits,
            requests: Budget::new(limits.requests, limits.requests),
            changes: Budget::new(limits.changes, limits.changes),
        };
        StateService {
            clock: Clock::start(),
            store: Mutex::new(store),
            changed: Condvar::new(),
        }
    }

    /// From now on these limits hold; what is stored stays readable.
    pub fn set_limits(&self, limits: Limits) {
        let mut store = self.store();
        store.limits = limits;
        store.requests = Budget::new(limits.requests, limits.requests);
        store.changes = Budget::new(limits.changes, limits.changes);
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(|e| e.into_inner());
        store.expire(Instant::now());
        store
    }

    /// The service is out for everybody: no lease ends until that is over.
    pub fn outage_began(&self) {
        self.store().outages += 1;
    }

    /// An outage is over; with the last one every lease has its full time again.
    pub fn outage_ended(&self) {
        let mut store = self.store();
        store.outages = store.outages.saturating_sub(1);
        if store.outages == 0 {
            let now = Instant::now();
            for lease in store.leases.values_mut() {
                lease.ends = now + lease.life;
            }
        }
    }

    /// The value of a key, for who looks from outside.
    pub fn peek(&self, key: &str) -> Option<Value> {
        self.store().items.get(key).map(|i| i.value.clone())
    }

    /// Answers a request and counts it by its purpose.
    pub fn answer(&self, r: &Request, counters: &Counters) -> Response {
        let allowed = {
            let mut store = self.store();
            let now = self.clock.now();
            let allowed = store.requests.has(now, 1.0);
            if allowed {
                store.requests.take(now, 1.0);
            }
            allowed
        };
        let path = r.path.trim_start_matches('/');
        if !allowed {
            counters.count_state_request(path.split('/').next().unwrap_or(""), &[], true);
            return Response::error(429, "too many requests");
        }
        let (head, rest) = path.split_once('/').unwrap_or((path, ""));
        if (r.method.as_str(), head) == ("POST", "txn") {
            return self.txn(&r.body, counters);
        }
        let name = match (r.method.as_str(), head) {
            ("GET", "store") if rest.is_empty() => "page",
            ("GET", "store") => "read",
            ("POST", "grants") if rest.is_empty() => "grant",
            ("POST", "grants") => "renew",
            ("DELETE", "grants") => "revoke",
            ("GET", "watch") => "watch",
            _ => return Response::error(400, "no such request"),
        };
        counters.count_state_request(name, &[], false);
        match name {
            "page" => self.page(r),
            "read" => self.read(rest),
            "grant" => self.grant(&r.body),
            "renew" => self.renew(rest.trim_end_matches("/renew")),
            "revoke" => self.revoke(rest),
            _ => self.watch(r),
        }
    }

    fn read(&self, key: &str) -> Response {
        let store = self.store();
        match store.items.get(key) {
            Some(item) => Response::json(200, item),
            None => Response::json(404, &json!({ "Ledger": store.revision })),
        }
    }

    fn page(&self, r: &Request) -> Response {
        let prefix = r.parameter("Under").unwrap_or_default();
        let after = r.parameter("Since");
        let most = r.parameter("Page").and_then(|p| p.parse().ok());
        let most = most.unwrap_or(PAGE_ITEMS).min(PAGE_ITEMS);
        let from = match &after {
            Some(key) => Bound::Excluded(key.clone()),
            None => Bound::Included(prefix.clone()),
        };
        let store = self.store();
        let mut page = Page {
            items: vec![],
            more: false,
        };
        let mut bytes = 0;
        for (key, item) in store.items.range((from, Bound::Unbounded)) {
            if !key.starts_with(&prefix) {
                break;
            }
            bytes += key.len() + item.value.to_string().len();
            if page.items.len() >= most || bytes > PAGE_BYTES {
                page.more = true;
                break;
            }
            page.items.push(item.clone());
        }
        let mut body = json!(page);
        body["Ledger"] = json!(store.revision);
        Response::json(200, &body)
    }

    fn txn(&self, body: &[u8], counters: &Counters) -> Response {
        let mut store = self.store();
        let txn = match store.limits.admit(body) {
            Ok(txn) => txn,
            Err(rejection) => {
                counters.count_state_request(rejection.name(), &[], true);
                return Response::error(400, rejection.name());
            }
        };
        let purposes: Vec<String> = txn.changes.iter().map(|c| purpose(c.key())).collect();
        let name = purposes
            .first()
            .map_or("compare", String::as_str)
            .to_string();
        let now = self.clock.now();
        let cost = txn.changes.len() as f64;
        if !store.changes.has(now, cost) {
            counters.count_state_request(&name, &purposes, true);
            return Response::error(429, "too many changes");
        }
        store.changes.take(now, cost);
        counters.count_state_request(&name, &purposes, false);
        let response = store.apply(&txn);
        drop(store);
        self.changed.notify_all();
        response
    }

    fn grant(&self, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice::<LeaseRequest>(body) else {
            return Response::error(400, "malformed");
        };
        let life = Duration::from_millis(request.ttl_ms);
        let mut store = self.store();
        let lease = store.next_lease;
        store.next_lease += 1;
        let ends = Instant::now() + life;
        store.leases.insert(lease, LeaseEntry { life, ends });
        Response::json(200, &Lease { lease })
    }

    fn renew(&self, id: &str) -> Response {
        let mut store = self.store();
        let entry = id
            .parse()
            .ok()
            .and_then(|id: u64| store.leases.get_mut(&id));
        match entry {
            Some(entry) => {
                entry.ends = Instant::now() + entry.life;
                Response::json(200, &json!({}))
            }
            None => Response::error(404, "no such lease"),
        }
    }

    fn revoke(&self, id: &str) -> Response {
        let mut store = self.store();
        if let Ok(id) = id.parse::<u64>() {
            store.end_lease(id);
        }
        Response::json(200, &json!({}))
    }

    fn watch(&self, r: &Request) -> Response {
        let prefix = r.parameter("Under").unwrap_or_default();
        let number = |name| r.parameter(name).and_then(|v| v.parse::<u64>().ok());
        let since = number("Since").unwrap_or(0);
        let hold = number("HoldMs").unwrap_or(0).min(LONGEST_WATCH_MS);
        let until = Instant::now() + Duration::from_millis(hold);
        let mut store = self.store();
        loop {
            let oldest = store.history.front().map_or(0, |h| h.0);
            if store.history.len() >= REMEMBERED && since + 1 < oldest {
                return Response::error(410, "too old");
            }
            let news = store.news(&prefix, since);
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return Response::json(200, &json!({"Ledger": store.revision, "Events": news}));
            }
            let waited = self
                .changed
                .wait_timeout(store, left.min(Duration::from_millis(100)));
            store = waited.unwrap_or_else(|e| e.into_inner()).0;
            store.expire(Instant::now());
        }
    }
}

impl Store {
    fn expire(&mut self, now: Instant) {
        if self.outages > 0 {
            return;
        }
        let over = self.leases.iter().filter(|(_, l)| l.ends < now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let with = self.items.values().filter(|i| i.lease == Some(id));
        let keys: Vec<String> = with.map(|i| i.key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.items.remove(&key);
            self.remember(key, None);
        }
    }

    fn remember(&mut self, key: String, value: Option<Value>) {
        self.history.push_back((self.revision, key, value));
        while self.history.len() > REMEMBERED {
            self.history.pop_front();
        }
    }

    fn news(&self, prefix: &str, since: u64) -> Vec<Value> {
        let new = self.history.iter();
        let new = new.filter(|(at, key, _)| *at > since && key.starts_with(prefix));
        new.map(|(at, key, value)| match value {
            Some(v) => json!({"Put": key, "V": v, "Stamp": at}),
            None => json!({"Delete": key, "Stamp": at}),
        })
        .collect()
    }

    fn apply(&mut self, txn: &Txn) -> Response {
        let no_lease = |c: &Change| match c {
            Change::Put { lease: Some(l), .. } => !self.leases.contains_key(l),
            _ => false,
        };
        if txn.changes.iter().any(no_lease) {
            return Response::error(400, "no such lease");
        }
        let stamp_of = |key: &str| self.items.get(key).map_or(Revision(0), |i| i.revision);
        let differs = txn
            .conditions
            .iter()
            .filter(|c| stamp_of(&c.key) != c.revision);
        let failed: Vec<String> = differs.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return Response::json(409, &TxnFailed { failed });
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        for change in &txn.changes {
            self.change(change);
        }
        let revision = Revision(self.revision);
        Response::json(200, &TxnApplied { revision })
    }

    fn change(&mut self, change: &Change) {
        let stamp = Revision(self.revision);
        match change.clone() {
            Change::Put { key, value, lease } => {
                self.remember(key.clone(), Some(value.clone()));
                let item = Item {
                    key: key.clone(),
                    value,
                    revision: stamp,
                    lease,
                };
                self.items.insert(key, item);
            }
            Change::Delete { key } => {
                self.items.remove(&key);
                self.remember(key, None);
            }
        }
    }
}
