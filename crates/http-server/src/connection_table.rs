//! Who may hold a connection: the decisions, with no I/O, clock or threads.
//!
//! Connections belong to lanes. Each lane has a share that no other can take;
//! what lanes leave unused of theirs may be borrowed. A connection that has
//! not sent a request yet is in the smallest lane, whatever it turns out to
//! be. When there is no room, the longest idle connection makes some: among
//! those without a request the oldest; then users and watchers, whose clients
//! open another one by themselves; a worker's last, and one within its lane's
//! share never for another lane.

use crate::bounds::Bounds;
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// What a connection is for, as told by its latest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lane {
    /// No request yet.
    Fresh,
    Users,
    /// Health checks and operators.
    Watch,
    Workers,
}

impl Lane {
    pub const COUNT: usize = 4;
    pub const ALL: [Lane; Lane::COUNT] = [Lane::Fresh, Lane::Users, Lane::Watch, Lane::Workers];
    /// Those that a connection can belong to once it has sent a request.
    const ROUTED: [Lane; 3] = [Lane::Users, Lane::Watch, Lane::Workers];
}

/// How long a connection may stay in a phase, in all.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From the opening of the connection to the end of its first head.
    pub first_head: Duration,
    /// From the first to the last byte of a later head.
    pub head: Duration,
    /// From the end of the head to the end of the body.
    pub body: Duration,
    /// For the client to take the answer.
    pub write: Duration,
    /// Between two requests.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            first_head: Duration::from_secs(8),
            head: Duration::from_secs(8),
            body: Duration::from_secs(10),
            write: Duration::from_secs(10),
            idle: Duration::from_secs(60),
        }
    }
}

/// A new connection has so long to say something before another may take its
/// place: long enough for its thread to find what is there already.
const SAY_SOMETHING: Duration = Duration::from_millis(20);

/// A connection, numbered in the order of opening; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Open, but its thread does not read yet.
    Seating,
    /// Open, with nothing or part of a first head.
    Silent,
    Idle,
    Head,
    Body,
    /// The service works on the answer.
    Service,
    Write,
}

/// Why a connection has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// For another one.
    Room,
    /// It took too long over this.
    Slow(Phase),
}

/// What becomes of a new connection.
#[derive(Debug, PartialEq)]
pub enum Arrival<H> {
    Admitted(ConnId),
    /// Once this other one has been told to go.
    Instead(ConnId, H),
    /// None has been silent for long enough to make room.
    Refused,
}

/// What becomes of a request, given the lane that it is for.
#[derive(Debug, PartialEq)]
pub enum Verdict<H> {
    Go,
    /// Once this other connection has been told to go.
    GoInstead(H),
    /// The lane has no room.
    Full,
    /// The connection itself has been told to go.
    Gone(Why),
}

struct Conn<H> {
    lane: Lane,
    phase: Phase,
    since: Instant,
    opened: Instant,
    told: Option<Why>,
    handle: H,
}

/// Counts of one lane, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub requests: u64,
    /// Requests that found no room.
    pub refused: u64,
    /// Connections that had to make room.
    pub made_room: u64,
    /// Connections that took too long over something.
    pub too_slow: u64,
}

/// All connections of a controller. `H` is what reaches one from outside.
pub struct Lanes<H> {
    bounds: Bounds,
    limits: Limits,
    conns: HashMap<ConnId, Conn<H>>,
    next: u64,
    used: [usize; Lane::COUNT],
    /// Those that can make room, the longest waiting first.
    idle: [BTreeSet<(Instant, ConnId)>; Lane::COUNT],
    /// When a phase will have taken too long.
    due: BTreeSet<(Instant, ConnId)>,
    counts: [Counts; Lane::COUNT],
    /// Steps taken by the searches here, for tests: must not grow with connections.
    steps: u64,
}

impl<H: Clone> Lanes<H> {
    pub fn new(bounds: Bounds, limits: Limits) -> Lanes<H> {
        Lanes {
            bounds,
            limits,
            conns: HashMap::new(),
            next: 1,
            used: [0; Lane::COUNT],
            idle: Default::default(),
            due: BTreeSet::new(),
            counts: Default::default(),
            steps: 0,
        }
    }

    /// A connection is opened.
    pub fn arrive(&mut self, now: Instant, handle: H) -> Arrival<H> {
        let fresh = Lane::Fresh as usize;
        let mut victim = None;
        if self.used[fresh] >= self.bounds.guaranteed[fresh] {
            victim = self.make_room(&[Lane::Fresh], now - SAY_SOMETHING);
            if victim.is_none() {
                return Arrival::Refused;
            }
        }
        let id = ConnId(self.next);
        self.next += 1;
        let conn = Conn {
            lane: Lane::Fresh,
            phase: Phase::Seating,
            since: now,
            opened: now,
            told: None,
            handle,
        };
        self.conns.insert(id, conn);
        self.used[fresh] += 1;
        self.schedule(id);
        match victim {
            None => Arrival::Admitted(id),
            Some(v) => Arrival::Instead(id, v),
        }
    }

    /// Part of a head has come. False: the connection has been told to go.
    pub fn began(&mut self, id: ConnId, now: Instant) -> bool {
        match self.conns.get(&id) {
            // The first head counts from the opening of the connection.
            Some(c) if c.phase == Phase::Silent => c.told.is_none(),
            _ => self.enter(id, Phase::Head, now).is_none(),
        }
    }

    /// A head is complete, and its request is for this lane. Without room
    /// there, others make some only if `make_room` says so.
    pub fn routed(&mut self, id: ConnId, lane: Lane, make_room: bool, now: Instant) -> Verdict<H> {
        if let Some(why) = self.enter(id, Phase::Body, now) {
            return Verdict::Gone(why);
        }
        let Some(from) = self.conns.get(&id).map(|c| c.lane) else {
            return Verdict::Gone(Why::Room);
        };
        let mut verdict = Verdict::Go;
        if from != lane {
            self.used[from as usize] -= 1;
            if !self.has_room(lane) {
                let victim = make_room.then(|| self.make_room_for(lane, now)).flatten();
                let Some(v) = victim else {
                    self.used[from as usize] += 1;
                    return Verdict::Full;
                };
                verdict = Verdict::GoInstead(v);
            }
            self.used[lane as usize] += 1;
            if let Some(c) = self.conns.get_mut(&id) {
                c.lane = lane;
            }
        }
        self.counts[lane as usize].requests += 1;
        verdict
    }

    /// A request was refused for want of room.
    pub fn refused(&mut self, lane: Lane) {
        self.counts[lane as usize].refused += 1;
    }

    /// The connection's next phase.
    pub fn enter(&mut self, id: ConnId, phase: Phase, now: Instant) -> Option<Why> {
        self.unschedule(id);
        let c = self.conns.get_mut(&id)?;
        if c.told.is_some() {
            return c.told;
        }
        (c.phase, c.since) = (phase, now);
        self.schedule(id);
        None
    }

    /// The connection is closed, for whatever reason.
    pub fn left(&mut self, id: ConnId) {
        self.unschedule(id);
        if let Some(c) = self.conns.remove(&id)
            && c.told.is_none()
        {
            self.used[c.lane as usize] -= 1;
        }
    }

    /// Those that took too long, each once, with what they were at.
    pub fn overdue(&mut self, now: Instant) -> Vec<(H, Phase)> {
        let mut late = vec![];
        while let Some(&(at, id)) = self.due.first()
            && at <= now
        {
            self.steps += 1;
            let Some(phase) = self.conns.get(&id).map(|c| c.phase) else {
                self.due.pop_first();
                continue;
            };
            if let Some((lane, h)) = self.tell(id, Why::Slow(phase)) {
                // Silence between two requests is no fault of anyone's.
                self.counts[lane as usize].too_slow += (phase != Phase::Idle) as u64;
                late.push((h, phase));
            }
        }
        late
    }

    /// The one that can best be spared, when the machine itself runs out.
    pub fn spare_one(&mut self, now: Instant) -> Option<H> {
        self.make_room(&[Lane::Fresh], now)
            .or_else(|| self.make_room(&[Lane::Users, Lane::Watch], now))
            .or_else(|| self.make_room(&[Lane::Workers], now))
    }

    /// Everybody who waits for a request is told to go.
    pub fn close(&mut self, now: Instant) -> Vec<H> {
        std::iter::from_fn(|| self.spare_one(now)).collect()
    }

    /// Why this connection was told to go, if it was.
    pub fn told(&self, id: ConnId) -> Option<Why> {
        self.conns.get(&id).and_then(|c| c.told)
    }

    /// Nearly nothing left for this lane: whoever got an answer had better
    /// come back with a new connection, so that others get a turn.
    pub fn crowded(&self, lane: Lane) -> bool {
        let most = self.room_for(lane);
        self.used[lane as usize] * 20 >= most * 19
    }

    pub fn open(&self) -> usize {
        self.conns.len()
    }

    pub fn used(&self, lane: Lane) -> usize {
        self.used[lane as usize]
    }

    pub fn idle(&self, lane: Lane) -> usize {
        self.idle[lane as usize].len()
    }

    pub fn counts(&self, lane: Lane) -> Counts {
        self.counts[lane as usize]
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Steps of all searches so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// What the lane may have at present, given what others have and keep.
    fn room_for(&self, lane: Lane) -> usize {
        let kept = |l: Lane| self.used[l as usize].max(self.bounds.guaranteed[l as usize]);
        let others: usize = Lane::ROUTED
            .iter()
            .filter(|l| **l != lane)
            .map(|l| kept(*l))
            .sum();
        let all = self.bounds.connections - self.bounds.guaranteed[Lane::Fresh as usize];
        all.saturating_sub(others)
    }

    fn has_room(&self, lane: Lane) -> bool {
        self.used[lane as usize] < self.room_for(lane)
    }

    /// The longest idle of those that may be asked to make room for this lane.
    fn make_room_for(&mut self, lane: Lane, now: Instant) -> Option<H> {
        let may = |l: &&Lane| {
            **l == lane || self.used[**l as usize] > self.bounds.guaranteed[**l as usize]
        };
        let first: Vec<Lane> = [Lane::Users, Lane::Watch]
            .iter()
            .filter(may)
            .copied()
            .collect();
        let last = [Lane::Workers].iter().any(|l| may(&l));
        self.make_room(&first, now).or_else(|| {
            last.then(|| self.make_room(&[Lane::Workers], now))
                .flatten()
        })
    }

    /// Of those idle at that time and since, the first.
    fn make_room(&mut self, lanes: &[Lane], by: Instant) -> Option<H> {
        self.steps += lanes.len() as u64;
        let longest = lanes.iter().filter_map(|l| self.idle[*l as usize].first());
        let (_, id) = *longest.min().filter(|(since, _)| *since <= by)?;
        let (lane, h) = self.tell(id, Why::Room)?;
        self.counts[lane as usize].made_room += 1;
        Some(h)
    }

    /// It leaves its lane at once; its thread and socket follow in a moment.
    fn tell(&mut self, id: ConnId, why: Why) -> Option<(Lane, H)> {
        self.unschedule(id);
        let c = self.conns.get_mut(&id)?;
        if c.told.replace(why).is_some() {
            return None;
        }
        self.used[c.lane as usize] -= 1;
        Some((c.lane, c.handle.clone()))
    }

    /// When the present phase will have taken too long.
    fn due_at(&self, c: &Conn<H>) -> Option<Instant> {
        match c.phase {
            Phase::Seating | Phase::Silent => Some(c.opened + self.limits.first_head),
            Phase::Idle => Some(c.since + self.limits.idle),
            Phase::Head => Some(c.since + self.limits.head),
            Phase::Body => Some(c.since + self.limits.body),
            Phase::Write => Some(c.since + self.limits.write),
            // The service has limits of its own.
            Phase::Service => None,
        }
    }

    fn schedule(&mut self, id: ConnId) {
        let Some(c) = self.conns.get(&id) else { return };
        if matches!(c.phase, Phase::Silent | Phase::Idle) {
            self.idle[c.lane as usize].insert((c.since, id));
        }
        if let Some(at) = self.due_at(c) {
            self.due.insert((at, id));
        }
    }

    fn unschedule(&mut self, id: ConnId) {
        let Some(c) = self.conns.get(&id) else { return };
        self.idle[c.lane as usize].remove(&(c.since, id));
        if let Some(at) = self.due_at(c) {
            self.due.remove(&(at, id));
        }
    }
}
