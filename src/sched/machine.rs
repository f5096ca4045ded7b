//! A rented machine as the leader knows it.

use super::room::Room;
use crate::ids::{
    Attempt, CallId, ControllerId, Host, Image, JobId, MachineTypeId, Seq, Session, TaskId, Token,
    Zone,
};
use crate::time::{Span, Time};
use crate::wire::cloud::MachineType;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Rented, has not reported yet.
    Booting,
    Up,
    /// To be given back; `next` is when to ask the cloud (again).
    Leaving {
        next: Time,
    },
}

/// A task's claim on its machine, with what the spread check needs.
#[derive(Clone, Debug)]
pub struct Slot {
    pub need: Room,
    pub start: Time,
    pub estimate: Span,
    pub endless: bool,
    pub image: Image,
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub host: Host,
    pub addr: Option<String>,
    pub build: MachineTypeId,
    pub zone: Zone,
    pub spot: bool,
    pub life: Life,
    pub capacity: Room,
    pub used: Room,
    pub slots: BTreeMap<TaskId, Slot>,
    pub hired: Time,
    pub session: Session,
    pub seq: Seq,
    /// The token that our commands to this worker carry.
    pub token: Token,
    /// An unanswered direct command may be carried out until the worker has
    /// confirmed this token.
    pub doubt: Option<Token>,
    pub direct: Option<CallId>,
    pub no_push_until: Time,
    /// When it last reported by itself, or was met. An answer to a call is no proof
    /// that its reports arrive, and so none that its lease can be renewed.
    pub heard: Time,
    /// When it last sent anything, answers to calls included: calls reach it.
    pub reached: Time,
    /// The controller that passed its last report on, if not the leader itself.
    pub via: Option<ControllerId>,
    /// When the last answer to one of its reports left; its lease counts from
    /// an earlier moment.
    pub answered: Time,
    pub reported: bool,
    /// Its last report in this term.
    pub reported_at: Option<Time>,
    /// It is there: rented or listed in this term, or heard in answer to it. A
    /// copy of an earlier report proves nothing, and may be of one long gone.
    pub certain: bool,
    /// Its session is known from what it sent in this term, so whatever it was
    /// told before has ended once it reports a later one.
    pub in_term: bool,
    /// What its latest report was answered with.
    pub last_answer: Option<SentAnswer>,
    /// Answers in a row whose effect the next heartbeat did not show.
    pub unheard_answers: u32,
    /// It reports, but answers and commands do not reach it: nothing more is placed
    /// there until it has confirmed the token of that moment.
    pub unreachable_since: Option<Time>,
    /// Its zone is in trouble, or not back in full: it takes nothing new.
    pub shut: bool,
    pub notice_until: Option<Time>,
    pub idle_since: Time,
    /// Images that it should still hold, with their sizes, the latest last.
    pub images: Vec<(Image, f64)>,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    /// Attempts that its last report showed and that are no longer ours.
    pub strays: BTreeMap<(TaskId, Attempt), bool>,
    pub fails: u32,
    pub fail_jobs: BTreeSet<JobId>,
    pub quarantined: bool,
    pub quarantined_at: Time,
    /// Since when it is kept free for gangs.
    pub kept_since: Option<Time>,
    pub rest_until: Time,
}

/// An answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct SentAnswer {
    /// When it left.
    pub at: Time,
    /// The heartbeat that it answers.
    pub seq: Seq,
    /// The token that it carried.
    pub token: Token,
}

/// A fetch may take a third longer than the rate says.
const FETCH_MARGIN: f64 = 1.33;
const IMAGES_REMEMBERED: usize = 100;

impl Machine {
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
            life: Life::Booting,
            capacity: Room::default(),
            used: Room::default(),
            slots: BTreeMap::new(),
            hired: now,
            session: Session(0),
            seq: Seq(0),
            token,
            doubt: None,
            direct: None,
            no_push_until: Time::default(),
            heard: now,
            reached: now,
            via: None,
            answered: now,
            reported: false,
            reported_at: None,
            certain: false,
            in_term: false,
            last_answer: None,
            unheard_answers: 0,
            unreachable_since: None,
            shut: false,
            notice_until: None,
            idle_since: now,
            images: vec![],
            cache_gb: 0.0,
            fetch_gb_per_s: 0.0,
            strays: BTreeMap::new(),
            fails: 0,
            fail_jobs: BTreeSet::new(),
            quarantined: false,
            quarantined_at: Time::default(),
            kept_since: None,
            rest_until: Time::default(),
        }
    }

    pub fn free(&self) -> Room {
        self.capacity.minus(&self.used)
    }

    /// May take tasks now.
    pub fn open(&self, now: Time, fresh: Span) -> bool {
        self.life == Life::Up
            && self.reported
            && self.certain
            && self.unreachable_since.is_none()
            && !self.shut
            && !self.quarantined
            && self.notice_until.is_none()
            && now >= self.rest_until
            && now - self.heard < fresh
    }

    /// The image has been used here; the longest unused go as the cache fills.
    pub fn saw_image(&mut self, image: &Image, gb: f64) {
        if self.images.last().is_some_and(|i| i.0 == *image) {
            return;
        }
        self.images.retain(|i| i.0 != *image);
        self.images.push((image.clone(), gb));
        let held = |v: &[(Image, f64)]| v.iter().map(|i| i.1).sum::<f64>();
        while self.images.len() > IMAGES_REMEMBERED || held(&self.images) > self.cache_gb {
            self.images.remove(0);
        }
    }

    pub fn has_image(&self, image: &Image) -> bool {
        self.images.iter().any(|i| i.0 == *image)
    }

    /// What the cloud says of this type of machine.
    pub fn set_flavor(&mut self, f: &MachineType) {
        self.capacity = Room::of_flavor(f);
        self.cache_gb = f.cache_gb;
        self.fetch_gb_per_s = f.fetch_gb_per_s;
    }

    /// How long a task would wait here for its image, by the slowest rate to be
    /// expected. Images fetched at the same time share the rate.
    pub fn fetch_time(&self, now: Time, image: &Image, gb: f64) -> Span {
        if self.fetch_gb_per_s <= 0.0 || self.has_image(image) {
            return Span::ZERO;
        }
        let whole = Span::secs(gb / self.fetch_gb_per_s * FETCH_MARGIN);
        let mut fetched: Vec<&Image> = vec![];
        for s in self.slots.values() {
            if s.image == *image {
                return whole - (now - s.start);
            }
            if !fetched.contains(&&s.image) && !self.has_image(&s.image) {
                fetched.push(&s.image);
            }
        }
        Span(whole.0 * (1 + fetched.len() as u64))
    }

    /// Remaining runtimes of its tasks, the smallest and the largest.
    pub fn remaining(&self, now: Time) -> Option<(Span, Span)> {
        let each = self.slots.values().map(|s| s.remaining(now));
        each.fold(None, |acc, r| match acc {
            None => Some((r, r)),
            Some((low, high)) => Some((r.min(low), r.max(high))),
        })
    }
}

/// Services run until they are cancelled.
pub const ENDLESS: Span = Span(u64::MAX / 4);

impl Slot {
    pub fn remaining(&self, now: Time) -> Span {
        if self.endless {
            ENDLESS
        } else {
            self.estimate - (now - self.start)
        }
    }
}
