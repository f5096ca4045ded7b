//! The leader's view of a rented machine.

use super::resources::Resources;
use super::worker_messages;
use crate::ids::{
    Attempt, CallId, ControllerId, Host, Image, JobId, MachineTypeId, Seq, Session, TaskId, Token,
    Zone,
};
use crate::time::{Span, Time};
use crate::wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};

/// The phase of a machine's rental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its worker has not reported yet.
    Booting,
    /// Its worker has reported.
    Up,
    /// Being released; `next` is when the release is requested next.
    Leaving { next: Time },
}

/// The resources that a task holds on its machine, with what the placement rules need
/// to know of it.
#[derive(Clone, Debug)]
pub struct Allocation {
    pub need: Resources,
    pub start: Time,
    pub estimate: Span,
    pub endless: bool,
    pub image: Image,
}

/// A rented machine, its worker's lease and what runs there.
#[derive(Clone, Debug)]
pub struct Machine {
    pub host: Host,
    pub addr: Option<String>,
    pub build: MachineTypeId,
    pub zone: Zone,
    pub spot: bool,
    pub state: MachineState,
    pub capacity: Resources,
    pub used: Resources,
    pub allocations: BTreeMap<TaskId, Allocation>,
    pub rented_at: Time,
    pub session: Session,
    pub seq: Seq,
    /// The fencing token carried by this leader's commands to the worker.
    pub token: Token,
    /// The token under which the last start was sent to the worker.
    pub last_start_token: Option<Token>,
    /// The token under which the worker was last told to clear an attempt.
    pub last_clear_token: Option<Token>,
    /// Set while an earlier command may still be executed: until the worker confirms
    /// this token.
    pub unconfirmed_token: Option<Token>,
    /// The direct call in flight, if any.
    pub direct_call: Option<CallId>,
    /// Backoff after a failed direct call.
    pub no_direct_call_until: Time,
    /// When its last heartbeat arrived, or it was first seen. An answer to a direct
    /// call does not prove that heartbeats arrive, so it does not prove that the lease
    /// can be renewed.
    pub last_heartbeat: Time,
    /// When it last sent anything, answers to direct calls included.
    pub last_contact: Time,
    /// The controller that forwarded its last heartbeat; none if it came directly.
    pub relayed_by: Option<ControllerId>,
    /// When the last answer to one of its heartbeats was sent. The worker's lease
    /// starts earlier, when it sent the heartbeat.
    pub last_renewal: Time,
    /// It has reported to this leader.
    pub has_reported: bool,
    /// When its last report to this leader arrived.
    pub last_report: Option<Time>,
    /// It is known to exist: rented or listed under this leader, or its worker has
    /// answered this leader. A duplicate of an old report proves nothing; that machine
    /// may have been released long ago.
    pub existence_confirmed: bool,
    /// Its session is known from a message sent under this leader, so a later session
    /// proves that everything started before has ended.
    pub session_confirmed: bool,
    /// The answer to its latest heartbeat.
    pub last_answer: Option<SentAnswer>,
    /// Consecutive answers that had no effect visible in the next heartbeat.
    pub ineffective_answers: u32,
    /// It sends heartbeats, but answers and commands do not reach it: nothing is placed
    /// there until it confirms the token issued at that moment.
    pub unreachable_since: Option<Time>,
    /// Its zone is in an outage or still recovering: no new tasks are placed here.
    pub closed: bool,
    /// When the cloud reclaims this spot machine, by its notice.
    pub spot_notice_until: Option<Time>,
    pub idle_since: Time,
    /// Images expected in its cache with their sizes in GB, least recently used first.
    pub cached_images: Vec<(Image, f64)>,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    /// Attempts in its last report that do not belong there by our records; true if the
    /// attempt has ended.
    pub unknown_attempts: BTreeMap<(TaskId, Attempt), bool>,
    /// Task failures since the last success.
    pub failures: u32,
    /// The jobs of these failures.
    pub failed_jobs: BTreeSet<JobId>,
    pub quarantined: bool,
    pub quarantined_at: Time,
    /// Since when it has been reserved for gangs.
    pub reserved_for_gangs_since: Option<Time>,
    /// No new task is placed here before, after a refused start or a failure.
    pub backoff_until: Time,
}

/// The last answer sent to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct SentAnswer {
    /// When it was sent.
    pub at: Time,
    /// The sequence number of the heartbeat.
    pub seq: Seq,
    /// The fencing token in the answer.
    pub token: Token,
}

/// Safety factor: a fetch may take a third longer than the nominal rate predicts.
const FETCH_MARGIN: f64 = 1.33;
/// The most images tracked per machine.
const MAX_CACHED_IMAGES: usize = 100;

impl Machine {
    /// A machine just rented or first seen, with no report yet.
    pub fn new(
        host: Host,
        build: MachineTypeId,
        zone: Zone,
        spot: bool,
        now: Time,
        token: Token,
    ) -> Self {
        Machine {
            host,
            addr: None,
            build,
            zone,
            spot,
            state: MachineState::Booting,
            capacity: Resources::default(),
            used: Resources::default(),
            allocations: BTreeMap::new(),
            rented_at: now,
            session: Session(0),
            seq: Seq(0),
            token,
            last_start_token: None,
            last_clear_token: None,
            unconfirmed_token: None,
            direct_call: None,
            no_direct_call_until: Time::default(),
            last_heartbeat: now,
            last_contact: now,
            relayed_by: None,
            last_renewal: now,
            has_reported: false,
            last_report: None,
            existence_confirmed: false,
            session_confirmed: false,
            last_answer: None,
            ineffective_answers: 0,
            unreachable_since: None,
            closed: false,
            spot_notice_until: None,
            idle_since: now,
            cached_images: vec![],
            cache_gb: 0.0,
            fetch_gb_per_s: 0.0,
            unknown_attempts: BTreeMap::new(),
            failures: 0,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            quarantined_at: Time::default(),
            reserved_for_gangs_since: None,
            backoff_until: Time::default(),
        }
    }

    /// Capacity that no task holds; negative components where it is overcommitted.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity.minus(&self.used);
        let unknown = self.unknown_attempts.keys();
        free.report -= unknown
            .map(|(task, _)| worker_messages::attempt_report_bytes(task))
            .sum::<i64>();
        free
    }

    /// Whether new tasks may be placed here now; `fresh` is the longest time since its
    /// last heartbeat.
    pub fn accepts_tasks(&self, now: Time, fresh: Span) -> bool {
        self.state == MachineState::Up
            && self.has_reported
            && self.existence_confirmed
            && self.unreachable_since.is_none()
            && !self.closed
            && !self.quarantined
            && self.spot_notice_until.is_none()
            && now >= self.backoff_until
            && now - self.last_heartbeat < fresh
    }

    /// Marks the image as most recently used; evicts the least recently used ones when
    /// the cache is full.
    pub fn note_image_use(&mut self, image: &Image, gb: f64) {
        if self.cached_images.last().is_some_and(|i| i.0 == *image) {
            return;
        }
        self.cached_images.retain(|i| i.0 != *image);
        self.cached_images.push((image.clone(), gb));
        let cached_gb = |v: &[(Image, f64)]| v.iter().map(|i| i.1).sum::<f64>();
        while self.cached_images.len() > MAX_CACHED_IMAGES
            || cached_gb(&self.cached_images) > self.cache_gb
        {
            self.cached_images.remove(0);
        }
    }

    /// Whether the image is expected in its cache.
    pub fn has_image(&self, image: &Image) -> bool {
        self.cached_images.iter().any(|i| i.0 == *image)
    }

    /// Sets capacity, cache size and fetch rate from the machine type.
    pub fn set_machine_type(&mut self, machine_type: &MachineType) {
        self.capacity = Resources::of_machine_type(machine_type);
        self.cache_gb = machine_type.cache_gb;
        self.fetch_gb_per_s = machine_type.fetch_gb_per_s;
    }

    /// Upper estimate of the time a task waits here for its image. Images fetched at
    /// the same time share the rate.
    pub fn fetch_time(&self, now: Time, image: &Image, gb: f64) -> Span {
        if self.fetch_gb_per_s <= 0.0 || self.has_image(image) {
            return Span::ZERO;
        }
        let fetch_alone = Span::secs(gb / self.fetch_gb_per_s * FETCH_MARGIN);
        let mut fetched: Vec<&Image> = vec![];
        for allocation in self.allocations.values() {
            if allocation.image == *image {
                return fetch_alone - (now - allocation.start);
            }
            if !fetched.contains(&&allocation.image) && !self.has_image(&allocation.image) {
                fetched.push(&allocation.image);
            }
        }
        Span(fetch_alone.0 * (1 + fetched.len() as u64))
    }

    /// The smallest and the largest remaining runtime of its tasks.
    pub fn remaining_range(&self, now: Time) -> Option<(Span, Span)> {
        let each = self.allocations.values().map(|s| s.remaining(now));
        each.fold(None, |acc, r| match acc {
            None => Some((r, r)),
            Some((low, high)) => Some((r.min(low), r.max(high))),
        })
    }
}

/// Stands for the remaining runtime of services, which run until they are cancelled.
pub const ENDLESS: Span = Span(u64::MAX / 4);

impl Allocation {
    /// Remaining runtime by the estimate; [`ENDLESS`] for services.
    pub fn remaining(&self, now: Time) -> Span {
        if self.endless {
            ENDLESS
        } else {
            self.estimate - (now - self.start)
        }
    }
}
