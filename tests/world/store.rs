//! The state service, in memory.

use hookworks::ids::Revision;
use hookworks::store::TxnOutcome;
use hookworks::store::client::{ReadError, StateStore};
use hookworks::wire::state::{Change, Item, Page, Txn};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// What the service takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub value_bytes: usize,
    /// Changes in one transaction.
    pub changes: usize,
    /// Changes a second, with bursts of one second's worth.
    pub changes_per_s: f64,
}

/// What every controller is told of when it begins; without a limit on the rate.
const MOST_VALUE_BYTES: usize = 8 * 1024;
const MOST_CHANGES: usize = 8;

/// Limits that are in force, which may fall below what controllers were told of.
struct Enforced {
    limits: Limits,
    /// Changes that may be made at once, as of then.
    have: f64,
    as_of: u64,
}

impl Enforced {
    /// Why a transaction is refused, if it is.
    fn refuses(&mut self, t: &Txn, now: u64) -> Option<Why> {
        let per_s = self.limits.changes_per_s;
        let refilled = (now - self.as_of) as f64 / 1e6 * per_s;
        (self.have, self.as_of) = ((self.have + refilled).min(per_s), now);
        if t.changes.len() > self.limits.changes || largest(t) > self.limits.value_bytes {
            return Some(Why::TooLarge);
        }
        let changes = t.changes.len() as f64;
        if self.have < changes {
            return Some(Why::TooMany);
        }
        self.have -= changes;
        None
    }
}

/// Bytes of the largest value in it.
fn largest(t: &Txn) -> usize {
    let size = |c: &Change| match c {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    t.changes.iter().map(size).max().unwrap_or(0)
}

/// Why a transaction is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It has too many changes, or one of its values is too large: 400.
    TooLarge,
    /// Too many changes in too little time: 429.
    TooMany,
}

impl Why {
    /// What its sender learns.
    fn outcome(self) -> TxnOutcome {
        match self {
            Why::TooLarge => TxnOutcome::TooLarge,
            Why::TooMany => TxnOutcome::RateLimited,
        }
    }
}

/// A transaction that was refused: when, why, and what was in it.
#[derive(Clone, Debug)]
pub struct Refused {
    pub at: u64,
    pub why: Why,
    pub what: String,
}

#[derive(Default)]
pub struct FakeStore {
    now: u64,
    revision: u64,
    keys: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    down: bool,
    /// Controllers that get 503 while the others are served.
    refused: BTreeSet<usize>,
    /// Transactions without an answer that are yet to be carried out, and when.
    late: Vec<(u64, Txn)>,
    /// The next one of these controllers is late by so much.
    delay_next: BTreeMap<usize, u64>,
    pub lose_next_answer: bool,
    pub writes: u64,
    enforced: Option<Enforced>,
    pub refusals: Vec<Refused>,
}

/// The service as one controller sees it, or as the world does.
#[derive(Clone, Default)]
pub struct Handle(pub Arc<Mutex<FakeStore>>, Option<usize>);

impl Handle {
    /// As controller `i` sees it.
    pub fn of(&self, i: usize) -> Handle {
        Handle(self.0.clone(), Some(i))
    }

    /// Refuses controller `i` alone, or no longer.
    pub fn refuse(&self, i: usize, refused: bool) {
        let mut s = self.0.lock().unwrap();
        match refused {
            true => s.refused.insert(i),
            false => s.refused.remove(&i),
        };
    }

    /// The next transaction of this controller's election gets no answer and is
    /// carried out so much later.
    pub fn delay_next(&self, by: u64) {
        let who = self.1.expect("a controller's");
        self.0.lock().unwrap().delay_next.insert(who, by);
    }

    /// What this caller gets now is 503.
    fn refuses(&self, s: &FakeStore) -> bool {
        s.down || self.1.is_some_and(|i| s.refused.contains(&i))
    }

    /// Time goes on; leases end. During an outage none does.
    pub fn at(&self, now: u64) {
        let mut s = self.0.lock().unwrap();
        let past = now - s.now.min(now);
        s.now = now;
        if !s.late.is_empty() && !s.down {
            let late = std::mem::take(&mut s.late);
            let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|l| l.0 <= now);
            s.late = rest;
            drop(s);
            for (_, t) in due {
                Handle(self.0.clone(), None).apply(&t);
            }
            s = self.0.lock().unwrap();
        }
        if s.down {
            for l in s.leases.values_mut() {
                l.0 += past;
            }
            return;
        }
        let over: Vec<u64> = s
            .leases
            .iter()
            .filter(|(_, (end, _))| *end < now)
            .map(|(l, _)| *l)
            .collect();
        for l in over {
            s.end(l);
        }
    }

    pub fn down(&self, d: bool) {
        let mut s = self.0.lock().unwrap();
        s.down = d;
        if !d {
            let now = s.now;
            for l in s.leases.values_mut() {
                l.0 = now + l.1;
            }
        }
    }

    pub fn apply(&self, t: &Txn) -> TxnOutcome {
        let mut s = self.0.lock().unwrap();
        if self.refuses(&s) {
            return TxnOutcome::NotApplied;
        }
        let ended = |c: &Change| match c {
            Change::Put { lease, .. } => lease.is_some_and(|l| !s.leases.contains_key(&l)),
            Change::Delete { .. } => false,
        };
        if t.changes.iter().any(ended) {
            return TxnOutcome::NoLease;
        }
        if let Some(refused) = s.beyond_limits(t) {
            return refused;
        }
        s.writes += 1;
        let stamp = |s: &FakeStore, k: &str| s.keys.get(k).map_or(0, |v| v.1);
        let failed: Vec<String> = t
            .conditions
            .iter()
            .filter(|c| stamp(&s, &c.key) != c.revision.0)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        s.revision += 1;
        let r = s.revision;
        for c in &t.changes {
            match c {
                Change::Put { key, value, lease } => {
                    s.keys.insert(key.clone(), (value.clone(), r, *lease));
                }
                Change::Delete { key } => {
                    s.keys.remove(key);
                }
            }
        }
        TxnOutcome::Ok(Revision(r))
    }

    pub fn read(&self, key: &str) -> Result<Option<Item>, ReadError> {
        let s = self.0.lock().unwrap();
        if self.refuses(&s) {
            return Err(ReadError::Failed);
        }
        Ok(s.keys.get(key).map(|v| Item {
            key: key.into(),
            value: v.0.clone(),
            revision: Revision(v.1),
            lease: v.2,
        }))
    }

    /// From now on these limits are in force.
    pub fn set_limits(&self, limits: Limits) {
        let mut s = self.0.lock().unwrap();
        let per_s = limits.changes_per_s;
        let have = s.enforced.as_ref().map_or(per_s, |e| e.have.min(per_s));
        let as_of = s.now;
        s.enforced = Some(Enforced {
            limits,
            have,
            as_of,
        });
    }

    /// What was refused for its size or rate so far.
    pub fn refusals(&self) -> Vec<Refused> {
        self.0.lock().unwrap().refusals.clone()
    }

    /// What is stored there, also during an outage.
    pub fn peek(&self, key: &str) -> Option<serde_json::Value> {
        let s = self.0.lock().unwrap();
        s.keys.get(key).map(|v| v.0.clone())
    }

    /// All that is stored, also during an outage.
    pub fn all(&self) -> Vec<(String, serde_json::Value)> {
        let s = self.0.lock().unwrap();
        let keys = s.keys.iter();
        keys.map(|(k, v)| (k.clone(), v.0.clone())).collect()
    }

    /// Writes a key by other means.
    pub fn put(&self, key: &str, value: serde_json::Value) {
        let mut s = self.0.lock().unwrap();
        s.revision += 1;
        let r = s.revision;
        s.keys.insert(key.into(), (value, r, None));
    }

    /// Removes a key by other means.
    pub fn remove(&self, key: &str) {
        self.0.lock().unwrap().keys.remove(key);
    }

    pub fn keys(&self) -> Vec<String> {
        self.0.lock().unwrap().keys.keys().cloned().collect()
    }

    pub fn lose_next_answer(&self) {
        self.0.lock().unwrap().lose_next_answer = true;
    }
}

impl FakeStore {
    /// What the sender of a transaction that is too large, or one too many, gets.
    fn beyond_limits(&mut self, t: &Txn) -> Option<TxnOutcome> {
        let now = self.now;
        let Some(enforced) = &mut self.enforced else {
            assert!(t.changes.len() <= MOST_CHANGES, "more changes than allowed");
            assert!(largest(t) <= MOST_VALUE_BYTES, "value too large");
            return None;
        };
        let why = enforced.refuses(t, now)?;
        let keys = t.changes.iter().map(|c| match c {
            Change::Put { key, .. } | Change::Delete { key } => key.as_str(),
        });
        let what = format!(
            "{} bytes: {}",
            largest(t),
            keys.collect::<Vec<_>>().join(" ")
        );
        let at = now;
        self.refusals.push(Refused { at, why, what });
        Some(why.outcome())
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.keys.retain(|_, v| v.2 != Some(lease));
        self.revision += 1;
    }
}

impl StateStore for Handle {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        self.read(key)
    }
    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let s = self.0.lock().unwrap();
        if self.refuses(&s) {
            return Err(ReadError::Failed);
        }
        let mut items: Vec<Item> = s
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && after.is_none_or(|a| k.as_str() > a))
            .take(limit.min(7) as usize + 1)
            .map(|(k, v)| Item {
                key: k.clone(),
                value: v.0.clone(),
                revision: Revision(v.1),
                lease: v.2,
            })
            .collect();
        let more = items.len() > limit.min(7) as usize;
        items.truncate(limit.min(7) as usize);
        Ok(Page { items, more })
    }
    fn txn(&self, t: &Txn) -> TxnOutcome {
        let delay = self.1.and_then(|i| {
            let mut s = self.0.lock().unwrap();
            let by = s.delay_next.remove(&i)?;
            let due = s.now + by;
            s.late.push((due, t.clone()));
            Some(())
        });
        if delay.is_some() {
            return TxnOutcome::Unknown;
        }
        let o = self.apply(t);
        let mut s = self.0.lock().unwrap();
        if std::mem::take(&mut s.lose_next_answer) {
            return TxnOutcome::Unknown;
        }
        o
    }
    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        let mut s = self.0.lock().unwrap();
        if self.refuses(&s) {
            return Err(ReadError::Failed);
        }
        s.next_lease += 1;
        let (l, ttl, now) = (s.next_lease, ttl_ms * 1000, s.now);
        s.leases.insert(l, (now + ttl, ttl));
        Ok(l)
    }
    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        let mut s = self.0.lock().unwrap();
        if self.refuses(&s) {
            return Err(ReadError::Failed);
        }
        let now = s.now;
        Ok(match s.leases.get_mut(&lease) {
            Some(l) => {
                l.0 = now + l.1;
                true
            }
            None => false,
        })
    }
    fn revoke(&self, lease: u64) {
        let mut s = self.0.lock().unwrap();
        if !self.refuses(&s) {
            s.end(lease);
        }
    }
}
