//! A state service in memory that holds its callers to its limits, which may fall, and a
//! leader that writes to it.

use super::desk::{Desk, report};
use super::given;
use hookworks::ids::*;
use hookworks::node::state_loading::load_state;
use hookworks::sched::job::{ActiveAttempt, Job};
use hookworks::sched::{Effect, Event, Scheduler};
use hookworks::settings::{Platform, StateLimits};
use hookworks::store::client::{ReadError, StateStore};
use hookworks::store::commit::{Committer, Step};
use hookworks::store::{LEADER_KEY, RecordFormat, TxnOutcome, final_key};
use hookworks::time::{Time, WallTime};
use hookworks::wire::state::{Change, Item, Page, Txn};
use hookworks_job_lifecycle::JobEvent;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The most bytes of a transaction.
const TXN_BYTES: usize = 64 * 1024;
pub const WALL: WallTime = WallTime(1_800_000_000_000);

/// A state service that holds its callers to limits, which may fall.
pub struct Limited {
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub keys: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    pub too_large: u32,
    /// Changes a second that are allowed, if that is judged; what is left of them,
    /// and when that was.
    pub rate: Option<f64>,
    pub left: f64,
    pub now: u64,
    pub too_many: u32,
}

impl Limited {
    pub fn new() -> Limited {
        let mut s = Limited {
            value_bytes: 32 * 1024,
            txn_ops: 12,
            keys: BTreeMap::new(),
            revision: 0,
            too_large: 0,
            rate: None,
            left: 0.0,
            now: 0,
            too_many: 0,
        };
        s.put(LEADER_KEY, json!("a"));
        s
    }

    pub fn fall(&mut self, value_bytes: usize, txn_ops: usize) {
        (self.value_bytes, self.txn_ops) = (value_bytes, txn_ops);
    }

    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.keys.insert(key.into(), (value, self.revision));
    }

    pub fn item(&self, key: &str) -> Option<Item> {
        Reader(self.keys.clone()).get(key).ok().flatten()
    }

    pub fn stamp(&self, key: &str) -> Revision {
        Revision(self.keys.get(key).map_or(0, |v| v.1))
    }

    /// Bursts of one second's worth are allowed.
    pub fn at(&mut self, now: u64) {
        let rate = self.rate.unwrap_or(0.0);
        let past = (now - self.now) as f64 / 1e6;
        (self.left, self.now) = ((self.left + past * rate).min(rate), now);
    }

    pub fn apply(&mut self, t: &Txn) -> TxnOutcome {
        let changes = t.changes.len() as f64;
        if self.rate.is_some() && self.left < changes {
            self.too_many += 1;
            return TxnOutcome::RateLimited;
        }
        self.left -= changes;
        let large = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len() > self.value_bytes,
            Change::Delete { .. } => false,
        };
        if t.changes.len() > self.txn_ops
            || t.conditions.len() > 4 * self.txn_ops
            || t.changes.iter().any(large)
            || serde_json::to_vec(t).map_or(0, |body| body.len()) > TXN_BYTES
        {
            self.too_large += 1;
            return TxnOutcome::TooLarge;
        }
        let wrong = t
            .conditions
            .iter()
            .filter(|c| self.stamp(&c.key) != c.revision);
        let failed: Vec<String> = wrong.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        self.revision += 1;
        for c in &t.changes {
            match c {
                Change::Put { key, value, .. } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                Change::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        TxnOutcome::Ok(Revision(self.revision))
    }
}

/// The same as a new leader reads it.
pub struct Reader(BTreeMap<String, (Value, u64)>);

impl StateStore for Reader {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        let found = self.0.get(key).map(|(value, stamp)| Item {
            key: key.into(),
            value: value.clone(),
            revision: Revision(*stamp),
            lease: None,
        });
        Ok(found)
    }

    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let keys = self.0.keys();
        let wanted = |k: &&String| k.starts_with(prefix) && after.is_none_or(|a| k.as_str() > a);
        let wanted: Vec<&String> = keys.filter(wanted).collect();
        let more = wanted.len() > limit as usize;
        let items = wanted.into_iter().take(limit as usize);
        let items = items.filter_map(|k| self.get(k).ok().flatten()).collect();
        Ok(Page { items, more })
    }

    fn txn(&self, _: &Txn) -> TxnOutcome {
        TxnOutcome::NotApplied
    }
    fn grant(&self, _: u64) -> Result<u64, ReadError> {
        Err(ReadError::Failed)
    }
    fn renew(&self, _: u64) -> Result<bool, ReadError> {
        Err(ReadError::Failed)
    }
    fn revoke(&self, _: u64) {}
}

impl Limited {
    /// What the next leader finds.
    pub fn load(&self) -> hookworks::node::state_loading::LoadedState {
        let reader = Reader(self.keys.clone());
        load_state(&reader, Epoch(2), self.stamp(LEADER_KEY), Time(1), WALL).expect("it answers")
    }
}

pub fn limits(next: Option<Value>) -> StateLimits {
    let mut text = given::platform("x");
    let state = &mut text["params"]["state"];
    *state = json!({"rps": 100.0, "write_rps": 40.0, "value_kb": 32.0, "txn_ops": 12});
    if let Some(next) = next {
        state["next"] = next;
    }
    Platform::parse("t", &text.to_string())
        .unwrap()
        .params
        .state
}

pub fn announced() -> StateLimits {
    limits(Some(
        json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0}),
    ))
}

/// A leader with its service; time goes on as it writes.
pub struct Term {
    pub d: Desk,
    pub c: Committer,
    pub s: Limited,
    pub rate_refused: bool,
}

impl Term {
    pub fn new(limits: &StateLimits, format: RecordFormat, jobs: Vec<Job>) -> Term {
        let mut d = Desk::set_up(2, jobs, |cfg| {
            cfg.value_kb = limits.value_kb;
            cfg.min_limits = limits.smallest();
            for t in &mut cfg.teams {
                (t.cpus, t.cpus_max) = (1e6, 1e6);
            }
        });
        d.stores = false;
        d.s.set_format(format);
        let s = Limited::new();
        let mut c = Committer::new(s.stamp(LEADER_KEY), limits);
        c.set_format(format);
        let rate_refused = false;
        Term {
            d,
            c,
            s,
            rate_refused,
        }
    }

    pub fn now(&self) -> Time {
        Time(self.d.now)
    }

    /// The next transaction, and what the scheduler was led to say by that.
    pub fn next(&mut self) -> Option<(TxnId, Txn)> {
        let next = self.c.next_txn(self.now(), &mut self.d.s);
        self.take_effects();
        next
    }

    pub fn take_effects(&mut self) {
        let effects = self
            .d
            .s
            .handle(self.now(), Event::LeadershipConfirmed(self.now()));
        self.d.fx.extend(effects);
    }

    pub fn told(&mut self, events: Vec<Event>) {
        self.take_effects();
        for e in events {
            self.d.event(e);
        }
    }

    /// Whatever can be written in so long is; answers how many transactions were sent.
    pub fn write(&mut self, seconds: f64) -> u32 {
        let mut sent = 0;
        for _ in 0..(seconds * 20.0) as u32 {
            while let Some((id, txn)) = self.next() {
                sent += 1;
                let outcome = match self.rate_refused {
                    true => TxnOutcome::RateLimited,
                    false => self.s.apply(&txn),
                };
                let steps = self.outcome(id, outcome);
                assert!(steps.is_empty(), "{steps:?}");
            }
            self.read_finals();
            self.d.now += 50_000;
            self.s.at(self.d.now);
        }
        sent
    }

    fn outcome(&mut self, id: TxnId, outcome: TxnOutcome) -> Vec<Step> {
        let now = self.now();
        let (events, steps) = self.c.handle_outcome(now, id, outcome, &mut self.d.s);
        self.told(events);
        steps
    }

    /// A transaction comes to this, and what has to be read for that is.
    pub fn finish(&mut self, id: TxnId, outcome: TxnOutcome) {
        for step in self.outcome(id, outcome) {
            let Step::Read(key) = step else {
                panic!("deposed")
            };
            let item = self.s.item(&key);
            let (events, steps) = self.c.handle_read(key, Ok(item), &mut self.d.s);
            assert!(steps.is_empty(), "{steps:?}");
            self.told(events);
        }
    }

    /// Answers the look-ups of final states from what is stored.
    pub fn read_finals(&mut self) {
        let is_read = |effect: &mut Effect| matches!(effect, Effect::ReadFinal(_));
        let reads: Vec<Effect> = self.d.fx.extract_if(.., is_read).collect();
        for read in reads {
            let Effect::ReadFinal(id) = read else {
                continue;
            };
            let stored = self.s.keys.get(&final_key(&id));
            let found = stored.and_then(|(value, _)| serde_json::from_value(value.clone()).ok());
            self.d.event(Event::FinalRead(id, Ok(found)));
        }
    }

    pub fn keys(&self, prefix: &str) -> Vec<&String> {
        let of = |k: &&String| k.starts_with(prefix);
        self.s.keys.keys().filter(of).collect()
    }

    /// What is stored says of each job what the leader knows of it.
    pub fn check_stored(&self) {
        let loaded = self.s.load();
        assert!(loaded.unreadable.is_empty());
        assert_eq!(loaded.jobs.len(), self.d.s.jobs.len());
        for found in &loaded.jobs {
            assert_same(&self.d.s.jobs[found.id()], found);
        }
    }
}

pub fn assert_same(j: &Job, found: &Job) {
    assert!(!found.damaged, "{}", j.id());
    assert_eq!(found.spec, j.spec);
    assert_eq!((found.cancelled, found.seq), (j.cancelled, j.seq));
    assert_eq!(found.submitted, j.submitted);
    assert_eq!(found.runtimes, j.runtimes);
    assert_eq!(found.done_count, j.done_count);
    for t in (0..j.spec.tasks).map(TaskIndex) {
        assert_eq!(found.is_done(t), j.is_done(t), "{t:?}");
        assert_eq!(
            found.failure_counts.of(t.0),
            j.failure_counts.of(t.0),
            "{t:?}"
        );
    }
    let live = |j: &Job| j.active.keys().copied().collect::<Vec<_>>();
    assert_eq!(live(found), live(j));
    for (a, b) in found.active.values().zip(j.active.values()) {
        assert_eq!((a.attempt, &a.host), (b.attempt, &b.host));
        assert_eq!(a.placed_wall, b.placed_wall);
        assert!(a.place.is_none() || a.place == b.place);
    }
    let kinds = |j: &Job| j.holds.iter().map(|h| h.kind).collect::<Vec<_>>();
    assert_eq!(kinds(found), kinds(j));
    assert_eq!(found.history.usage(), j.history.usage());
    for what in JobEvent::ALL {
        assert_eq!(found.history.count(what), j.history.count(what));
    }
}

/// A fleet that takes this many tasks of two CPUs.
pub fn machines(t: &mut Term, tasks: u32) {
    for n in 1..=tasks.div_ceil(4) {
        t.d.beat(&report(n, 1, Token(0)));
    }
}

/// A part is to be written, as after a change in it.
pub fn touch(s: &mut Scheduler, id: &JobId, part: usize) {
    use hookworks::sched::Purpose;
    let j = s.jobs.get_mut(id).expect("a job");
    j.mark_changed(part, &mut s.write_queue, Purpose::Now);
}

/// A started task as some leader might have left it.
pub fn started_task() -> ActiveAttempt {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&given::job(1, 1));
    d.s.jobs[&JobId::from("job-000001")].active[&TaskIndex(0)].clone()
}
