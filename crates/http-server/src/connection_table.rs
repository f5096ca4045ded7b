//! Which connections may be open: admission by request class, without any I/O,
//! clock or threads.
//!
//! Every connection belongs to a class. Each class has a guaranteed share that no
//! other can take; what a class leaves unused may be borrowed. A connection that
//! has not sent a request yet is in the smallest class, whatever it turns out to
//! be. When there is no free slot, the slot of the longest idle connection is
//! reclaimed: first of those without a request; then of users and health checks,
//! whose clients reconnect by themselves; a worker's last. A connection within
//! its class's share never loses its slot to another class.

use crate::bounds::Bounds;
use crate::phase::{CloseReason, Phase, Timeouts};
use crate::request_class::{ClassCounts, RequestClass};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// A new connection has so long to begin its first request before its slot may be
/// reclaimed: long enough for its thread to find what is there already.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(20);

/// A connection, numbered in the order of opening; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What becomes of a new connection.
#[derive(Debug, PartialEq)]
pub enum Admission<H> {
    /// It has a slot.
    Admitted(ConnectionId),
    /// It has the slot of this other one, which the caller has to shut down.
    AdmittedReplacing(ConnectionId, H),
    /// No slot is free, and none can be reclaimed.
    Refused,
}

/// What becomes of a request, given its class.
#[derive(Debug, PartialEq)]
pub enum RequestDecision<H> {
    /// It is served.
    Proceed,
    /// It is served in the slot of this other connection, which the caller has to
    /// shut down.
    ProceedReplacing(H),
    /// Its class has no free slot.
    Full,
    /// The connection itself is being closed.
    Closing(CloseReason),
}

struct Entry<H> {
    class: RequestClass,
    phase: Phase,
    phase_since: Instant,
    opened: Instant,
    closing: Option<CloseReason>,
    handle: H,
}

/// All open connections. `H` is the handle by which the caller shuts one down.
pub struct ConnectionTable<H> {
    bounds: Bounds,
    timeouts: Timeouts,
    entries: HashMap<ConnectionId, Entry<H>>,
    next_id: u64,
    /// Slots taken in each class.
    used: [usize; RequestClass::COUNT],
    /// Connections whose slots can be reclaimed, the longest idle first.
    idle: [BTreeSet<(Instant, ConnectionId)>; RequestClass::COUNT],
    /// When each connection runs into the timeout of its phase.
    deadlines: BTreeSet<(Instant, ConnectionId)>,
    counts: [ClassCounts; RequestClass::COUNT],
    /// Steps taken by the searches here, for tests: must not grow with connections.
    steps: u64,
}

impl<H: Clone> ConnectionTable<H> {
    /// An empty table.
    pub fn new(bounds: Bounds, timeouts: Timeouts) -> ConnectionTable<H> {
        ConnectionTable {
            bounds,
            timeouts,
            entries: HashMap::new(),
            next_id: 1,
            used: [0; RequestClass::COUNT],
            idle: Default::default(),
            deadlines: BTreeSet::new(),
            counts: Default::default(),
            steps: 0,
        }
    }

    /// A connection has been accepted.
    pub fn admit(&mut self, now: Instant, handle: H) -> Admission<H> {
        let fresh = RequestClass::Fresh as usize;
        let mut victim = None;
        if self.used[fresh] >= self.bounds.guaranteed[fresh] {
            victim = self.reclaim_idle(&[RequestClass::Fresh], now - FIRST_REQUEST_GRACE);
            if victim.is_none() {
                return Admission::Refused;
            }
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            class: RequestClass::Fresh,
            phase: Phase::Starting,
            phase_since: now,
            opened: now,
            closing: None,
            handle,
        };
        self.entries.insert(id, entry);
        self.used[fresh] += 1;
        self.schedule(id);
        match victim {
            None => Admission::Admitted(id),
            Some(replaced) => Admission::AdmittedReplacing(id, replaced),
        }
    }

    /// Part of a request head has come. False: the connection is being closed.
    pub fn head_started(&mut self, id: ConnectionId, now: Instant) -> bool {
        match self.entries.get(&id) {
            // The first head counts from the opening of the connection.
            Some(entry) if entry.phase == Phase::FirstHead => entry.closing.is_none(),
            _ => self.enter_phase(id, Phase::Head, now).is_none(),
        }
    }

    /// A head is complete, and its request is of this class. Without a free slot
    /// there, one is reclaimed only if `reclaim` says so.
    pub fn classify(
        &mut self,
        id: ConnectionId,
        class: RequestClass,
        reclaim: bool,
        now: Instant,
    ) -> RequestDecision<H> {
        if let Some(reason) = self.enter_phase(id, Phase::Body, now) {
            return RequestDecision::Closing(reason);
        }
        let Some(from) = self.entries.get(&id).map(|entry| entry.class) else {
            return RequestDecision::Closing(CloseReason::Reclaimed);
        };
        let mut verdict = RequestDecision::Proceed;
        if from != class {
            self.used[from as usize] -= 1;
            if !self.has_capacity(class) {
                let victim = reclaim.then(|| self.reclaim_for(class, now)).flatten();
                let Some(replaced) = victim else {
                    self.used[from as usize] += 1;
                    return RequestDecision::Full;
                };
                verdict = RequestDecision::ProceedReplacing(replaced);
            }
            self.used[class as usize] += 1;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.class = class;
            }
        }
        self.counts[class as usize].requests += 1;
        verdict
    }

    /// A request was refused for want of a slot.
    pub fn record_refusal(&mut self, class: RequestClass) {
        self.counts[class as usize].refused += 1;
    }

    /// The connection's next phase; why not, if it is being closed.
    pub fn enter_phase(
        &mut self,
        id: ConnectionId,
        phase: Phase,
        now: Instant,
    ) -> Option<CloseReason> {
        self.unschedule(id);
        let entry = self.entries.get_mut(&id)?;
        if entry.closing.is_some() {
            return entry.closing;
        }
        (entry.phase, entry.phase_since) = (phase, now);
        self.schedule(id);
        None
    }

    /// The connection is closed, for whatever reason.
    pub fn remove(&mut self, id: ConnectionId) {
        self.unschedule(id);
        if let Some(entry) = self.entries.remove(&id)
            && entry.closing.is_none()
        {
            self.used[entry.class as usize] -= 1;
        }
    }

    /// Connections that ran into a timeout, each once, with the phase it was in.
    pub fn expire(&mut self, now: Instant) -> Vec<(H, Phase)> {
        let mut timed_out = vec![];
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.steps += 1;
            let Some(phase) = self.entries.get(&id).map(|entry| entry.phase) else {
                self.deadlines.pop_first();
                continue;
            };
            if let Some((class, handle)) = self.mark_closing(id, CloseReason::TimedOut(phase)) {
                // A connection that stays idle between two requests is no failure.
                self.counts[class as usize].too_slow += (phase != Phase::Idle) as u64;
                timed_out.push((handle, phase));
            }
        }
        timed_out
    }

    /// Reclaims the least important idle slot, when the process itself runs out of
    /// descriptors, or closes.
    pub fn reclaim_any(&mut self, now: Instant) -> Option<H> {
        self.reclaim_idle(&[RequestClass::Fresh], now)
            .or_else(|| self.reclaim_idle(&[RequestClass::Users, RequestClass::Watch], now))
            .or_else(|| self.reclaim_idle(&[RequestClass::Workers], now))
    }

    /// Reclaims the slots of all idle connections, in good order for a shutdown.
    pub fn reclaim_all(&mut self, now: Instant) -> Vec<H> {
        std::iter::from_fn(|| self.reclaim_any(now)).collect()
    }

    /// Why this connection is being closed, if it is.
    pub fn close_reason(&self, id: ConnectionId) -> Option<CloseReason> {
        self.entries.get(&id).and_then(|entry| entry.closing)
    }

    /// Nearly no slot is left for this class: the connections that are served had
    /// better end with their answer, so that others get a turn.
    pub fn is_nearly_full(&self, class: RequestClass) -> bool {
        let most = self.capacity_for(class);
        self.used[class as usize] * 20 >= most * 19
    }

    /// Connections that are open, those being closed included.
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Slots taken in a class.
    pub fn used(&self, class: RequestClass) -> usize {
        self.used[class as usize]
    }

    /// Idle connections of a class.
    pub fn idle(&self, class: RequestClass) -> usize {
        self.idle[class as usize].len()
    }

    /// Counts of a class, since the start.
    pub fn counts(&self, class: RequestClass) -> ClassCounts {
        self.counts[class as usize]
    }

    /// The bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Steps of all searches so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Slots that the class may have at present, given what the others use and are
    /// guaranteed.
    fn capacity_for(&self, class: RequestClass) -> usize {
        let kept = |other: RequestClass| {
            self.used[other as usize].max(self.bounds.guaranteed[other as usize])
        };
        let others: usize = RequestClass::OF_REQUESTS
            .iter()
            .filter(|other| **other != class)
            .map(|other| kept(*other))
            .sum();
        let all = self.bounds.connections - self.bounds.guaranteed[RequestClass::Fresh as usize];
        all.saturating_sub(others)
    }

    fn has_capacity(&self, class: RequestClass) -> bool {
        self.used[class as usize] < self.capacity_for(class)
    }

    /// Reclaims the slot of the longest idle connection that may lose it to this class.
    fn reclaim_for(&mut self, class: RequestClass, now: Instant) -> Option<H> {
        let may_lose = |other: &&RequestClass| {
            let used = self.used[**other as usize];
            **other == class || used > self.bounds.guaranteed[**other as usize]
        };
        let preferred: Vec<RequestClass> = [RequestClass::Users, RequestClass::Watch]
            .iter()
            .filter(may_lose)
            .copied()
            .collect();
        let workers_too = [RequestClass::Workers]
            .iter()
            .any(|workers| may_lose(&workers));
        self.reclaim_idle(&preferred, now).or_else(|| {
            workers_too
                .then(|| self.reclaim_idle(&[RequestClass::Workers], now))
                .flatten()
        })
    }

    /// Reclaims the slot of the longest idle connection of these classes, if it has
    /// been idle since `by` or earlier.
    fn reclaim_idle(&mut self, classes: &[RequestClass], by: Instant) -> Option<H> {
        self.steps += classes.len() as u64;
        let longest = classes
            .iter()
            .filter_map(|class| self.idle[*class as usize].first());
        let (_, id) = *longest.min().filter(|(since, _)| *since <= by)?;
        let (class, handle) = self.mark_closing(id, CloseReason::Reclaimed)?;
        self.counts[class as usize].made_room += 1;
        Some(handle)
    }

    /// Frees the slot at once; the thread and the socket follow a moment later.
    fn mark_closing(&mut self, id: ConnectionId, reason: CloseReason) -> Option<(RequestClass, H)> {
        self.unschedule(id);
        let entry = self.entries.get_mut(&id)?;
        if entry.closing.replace(reason).is_some() {
            return None;
        }
        self.used[entry.class as usize] -= 1;
        Some((entry.class, entry.handle.clone()))
    }

    /// When the present phase runs into its timeout.
    fn deadline(&self, entry: &Entry<H>) -> Option<Instant> {
        match entry.phase {
            Phase::Starting | Phase::FirstHead => Some(entry.opened + self.timeouts.first_head),
            Phase::Idle => Some(entry.phase_since + self.timeouts.idle),
            Phase::Head => Some(entry.phase_since + self.timeouts.head),
            Phase::Body => Some(entry.phase_since + self.timeouts.body),
            Phase::Write => Some(entry.phase_since + self.timeouts.write),
            // The service has timeouts of its own.
            Phase::Handling => None,
        }
    }

    fn schedule(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if matches!(entry.phase, Phase::FirstHead | Phase::Idle) {
            self.idle[entry.class as usize].insert((entry.phase_since, id));
        }
        if let Some(at) = self.deadline(entry) {
            self.deadlines.insert((at, id));
        }
    }

    fn unschedule(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        self.idle[entry.class as usize].remove(&(entry.phase_since, id));
        if let Some(at) = self.deadline(entry) {
            self.deadlines.remove(&(at, id));
        }
    }
}
