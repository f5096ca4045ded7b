//! Bytes and messages of each controller by counterpart, and what the state
//! service was asked for, counted at the stand-ins.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Whom a controller exchanges messages with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Counterpart {
    /// Reports and their responses.
    Reports,
    /// Commands that go straight to workers.
    Commands,
    /// Submissions, polls and cancellations.
    Users,
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Other controllers; messages are pieces of the stream here.
    Peers,
}

impl Counterpart {
    /// Each of them, in the order of their numbers.
    pub const ALL: [Counterpart; 6] = [
        Counterpart::Reports,
        Counterpart::Commands,
        Counterpart::Users,
        Counterpart::State,
        Counterpart::Cloud,
        Counterpart::Peers,
    ];
}

#[derive(Default)]
struct Traffic {
    messages: AtomicU64,
    to_controller: AtomicU64,
    from_controller: AtomicU64,
}

/// Messages and bytes so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TrafficTotal {
    /// Requests with their responses, or pieces of a stream.
    pub messages: u64,
    /// Bytes that the controller received.
    pub to_controller: u64,
    /// Bytes that the controller sent.
    pub from_controller: u64,
}

impl TrafficTotal {
    /// What was added since `before`.
    pub fn since(self, before: TrafficTotal) -> TrafficTotal {
        TrafficTotal {
            messages: self.messages - before.messages,
            to_controller: self.to_controller - before.to_controller,
            from_controller: self.from_controller - before.from_controller,
        }
    }
}

/// What the state service was asked for under one purpose.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StateRequests {
    /// Requests, refused ones too.
    pub requests: u64,
    /// Puts and deletes that were carried out.
    pub changes: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// TrafficTotals by counterpart.
pub type TrafficTotals = BTreeMap<Counterpart, TrafficTotal>;

/// Why a request of a user or a worker came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No connection, or no whole response on it.
    Connection,
    /// No response in time.
    Timeout,
    /// The response had this status.
    Status(u16),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Connection => f.write_str("no connection or response"),
            Refusal::Timeout => f.write_str("no response in time"),
            Refusal::Status(status) => write!(f, "status {status}"),
        }
    }
}

/// All counters of a run.
pub struct Counters {
    controllers: Vec<[Traffic; Counterpart::ALL.len()]>,
    state: Mutex<BTreeMap<String, StateRequests>>,
    refusals: Mutex<BTreeMap<Refusal, u64>>,
    /// Tasks that ended otherwise than by completion or command.
    pub lost_tasks: AtomicU64,
    /// Workers' leases that ended.
    pub lease_ends: AtomicU64,
}

impl Counters {
    /// Counters of so many controllers, all at zero.
    pub fn new(controllers: usize) -> Counters {
        Counters {
            controllers: (0..controllers).map(|_| Default::default()).collect(),
            state: Mutex::default(),
            refusals: Mutex::default(),
            lost_tasks: AtomicU64::new(0),
            lease_ends: AtomicU64::new(0),
        }
    }

    /// A message, or a request with its response.
    pub fn add(&self, controller: usize, with: Counterpart, to: usize, from: usize) {
        let t = &self.controllers[controller][with as usize];
        t.messages.fetch_add(1, Ordering::Relaxed);
        t.to_controller.fetch_add(to as u64, Ordering::Relaxed);
        t.from_controller.fetch_add(from as u64, Ordering::Relaxed);
    }

    /// What a controller exchanged so far.
    pub fn amounts(&self, controller: usize) -> TrafficTotals {
        let one = |c: Counterpart| {
            let t = &self.controllers[controller][c as usize];
            let amount = TrafficTotal {
                messages: t.messages.load(Ordering::Relaxed),
                to_controller: t.to_controller.load(Ordering::Relaxed),
                from_controller: t.from_controller.load(Ordering::Relaxed),
            };
            (c, amount)
        };
        Counterpart::ALL.into_iter().map(one).collect()
    }

    /// A request of a user or a worker came to nothing.
    pub fn count_refusal(&self, why: Refusal) {
        let mut refusals = self.refusals.lock().unwrap_or_else(|e| e.into_inner());
        *refusals.entry(why).or_default() += 1;
    }

    /// Requests of users and workers that came to nothing, by their reasons.
    pub fn refusals(&self) -> BTreeMap<Refusal, u64> {
        let refusals = self.refusals.lock().unwrap_or_else(|e| e.into_inner());
        refusals.clone()
    }

    /// A request to the state service, with the purpose of each of its changes.
    pub fn count_state_request(&self, purpose: &str, changes: &[String], refused: bool) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let asked = state.entry(purpose.to_string()).or_default();
        asked.requests += 1;
        asked.refused += u64::from(refused);
        if refused {
            return;
        }
        for change in changes {
            state.entry(change.clone()).or_default().changes += 1;
        }
    }

    /// What the state service was asked for so far, by purpose.
    pub fn state(&self) -> BTreeMap<String, StateRequests> {
        self.state.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}
