//! Election: one leader by a leased key, every term with a new, larger epoch.
//!
//! A controller that finds the key held by an earlier process of its own does
//! not wait for that lease to run out: it ends it and campaigns at once. Why that
//! is safe, and when it is not done, is told in docs/notes/quick-restarts.md.

use crate::ids::{Epoch, Instance, Label, Stamp};
use crate::store::client::{Outcome, State};
use crate::store::{EPOCH, LEADER};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where a process listens for the other controllers. The system gives the
/// address to one process at a time, so whoever holds it knows that any other
/// that ever held it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    pub addr: SocketAddr,
    /// Which running system, and which network of it, the address belongs to;
    /// none where the system does not tell.
    #[serde(default)]
    pub system: Option<String>,
}

impl Home {
    /// To be called by whoever has just bound `addr`, and holds it for good.
    pub fn held(addr: SocketAddr) -> Home {
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
        let network = std::fs::read_link("/proc/self/ns/net");
        let system = boot
            .ok()
            .zip(network.ok())
            .map(|(b, n)| format!("{} {}", b.trim(), n.display()));
        Home { addr, system }
    }

    /// Only one of two processes that were given these can be alive. A machine
    /// that was started anew, or another one with the same address, is not the
    /// same place: what ran there may be cut off rather than gone. Where systems
    /// don't tell who they are, the address must be one that no other has.
    fn excludes(&self, other: &Home) -> bool {
        let ip = self.addr.ip();
        let own = !ip.is_unspecified() && !ip.is_loopback();
        let system = match (&self.system, &other.system) {
            (Some(a), Some(b)) => a == b,
            _ => own,
        };
        self.addr == other.addr && system
    }
}

/// The value of the leader's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    pub label: Label,
    pub epoch: Epoch,
    /// Tells this process from an earlier one of the same name.
    pub instance: Instance,
    /// Unknown of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<Home>,
}

/// Who stands for election.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub label: Label,
    pub instance: Instance,
    pub home: Option<Home>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Elect {
    /// Somebody else leads, or nobody does as far as can be seen.
    Seen(Option<Leader>),
    Won {
        epoch: Epoch,
        stamp: Stamp,
        proven: Time,
    },
    /// Renewed; proven as of the moment at which the renewal was sent.
    Proven(Time),
    Lost,
    /// The state service did not answer.
    NoAnswer,
}

/// How often a follower looks who leads.
const LOOK: Span = Span(400_000);
/// The same while the state service gives no answer: when it does again, users
/// have waited for long.
const LOOK_IN_VAIN: Span = Span(200_000);
/// The same when the leader is thought to be gone, so many times.
const LOOK_SOON: (Span, u32) = (Span(120_000), 16);

enum Role {
    Follower,
    Leader { lease: u64 },
}

/// A step at a time; whoever drives it does the waiting.
pub struct Elector<S> {
    state: S,
    me: Candidate,
    ttl: Span,
    role: Role,
    /// Looks that are to follow soon.
    hurry: u32,
    in_vain: bool,
}

impl<S: State> Elector<S> {
    pub fn new(state: S, me: Candidate, ttl: Span) -> Self {
        Elector {
            state,
            me,
            ttl,
            role: Role::Follower,
            hurry: 0,
            in_vain: false,
        }
    }

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// How long to wait before the next step.
    pub fn pause(&self) -> Span {
        match self.role {
            Role::Follower if self.hurry > 0 => LOOK_SOON.0,
            Role::Follower if self.in_vain => LOOK_IN_VAIN,
            Role::Follower => LOOK,
            Role::Leader { .. } => Span(self.ttl.0 / 4),
        }
    }

    /// The leader seems to be gone: its key is looked at more often for a while.
    pub fn hurry(&mut self) {
        self.hurry = LOOK_SOON.1;
    }

    pub fn step(&mut self, now: impl Fn() -> Time) -> Elect {
        self.hurry = self.hurry.saturating_sub(1);
        let e = match self.role {
            Role::Leader { lease } => {
                let sent = now();
                match self.state.renew(lease) {
                    Ok(true) => Elect::Proven(sent),
                    Ok(false) => {
                        self.role = Role::Follower;
                        Elect::Lost
                    }
                    Err(_) => Elect::NoAnswer,
                }
            }
            Role::Follower => match self.state.get(LEADER) {
                Ok(Some(i)) => self.seen(i, now),
                Ok(None) => self.campaign(now),
                Err(_) => Elect::NoAnswer,
            },
        };
        self.in_vain = e == Elect::NoAnswer;
        e
    }

    /// The key is held: by somebody else, or by what this controller was before.
    fn seen(&mut self, i: Item, now: impl Fn() -> Time) -> Elect {
        let leader: Option<Leader> = serde_json::from_value(i.value).ok();
        let ended = leader.as_ref().is_some_and(|l| self.was_us(l));
        let Some(lease) = i.lease.filter(|_| ended) else {
            return Elect::Seen(leader);
        };
        tracing::info!(leader = ?leader, "led here before, that lease is ended");
        self.state.revoke(lease);
        // Was it not carried out, the key is still there, and this fails.
        self.campaign(now)
    }

    /// This controller does not lead, so the process that wrote this has ended
    /// if it was at this very place, or it was an election of our own that was
    /// given up as its outcome was unclear.
    fn was_us(&self, l: &Leader) -> bool {
        let home = self.me.home.as_ref().zip(l.home.as_ref());
        l.label == self.me.label && home.is_some_and(|(mine, then)| mine.excludes(then))
    }

    fn campaign(&mut self, now: impl Fn() -> Time) -> Elect {
        let sent = now();
        let Ok(lease) = self.state.grant(self.ttl.0 / 1000) else {
            return Elect::NoAnswer;
        };
        let Ok(epoch) = self.state.get(EPOCH) else {
            return Elect::NoAnswer;
        };
        let (last, stamp) = match &epoch {
            Some(i) => (i.value.as_u64().unwrap_or(0), i.stamp),
            None => (0, Stamp(0)),
        };
        let me = Leader {
            label: self.me.label.clone(),
            epoch: Epoch(last + 1),
            instance: self.me.instance,
            home: self.me.home.clone(),
        };
        let put = |key: &str, value, lease| Change::Put {
            key: key.into(),
            value,
            lease,
        };
        let when = |key: &str, stamp| Condition {
            key: key.into(),
            stamp,
        };
        let txn = Txn {
            conditions: vec![when(LEADER, Stamp(0)), when(EPOCH, stamp)],
            changes: vec![
                put(
                    LEADER,
                    serde_json::to_value(&me).unwrap_or_default(),
                    Some(lease),
                ),
                put(EPOCH, me.epoch.0.into(), None),
            ],
        };
        match self.state.txn(&txn) {
            Outcome::Ok(stamp) => self.won(lease, me.epoch, stamp, sent),
            // The answer may have been lost after all was done: look.
            Outcome::Unclear => match self.state.get(LEADER) {
                Ok(Some(i)) if Self::is(&i, &me) => self.won(lease, me.epoch, i.stamp, sent),
                _ => {
                    // If it still arrives, the key goes with this lease.
                    self.state.revoke(lease);
                    Elect::NoAnswer
                }
            },
            Outcome::Conflict(_) => {
                self.state.revoke(lease);
                Elect::Seen(None)
            }
            _ => Elect::NoAnswer,
        }
    }

    fn is(i: &Item, me: &Leader) -> bool {
        serde_json::from_value::<Leader>(i.value.clone()).is_ok_and(|l| l == *me)
    }

    fn won(&mut self, lease: u64, epoch: Epoch, stamp: Stamp, proven: Time) -> Elect {
        self.role = Role::Leader { lease };
        self.hurry = 0;
        Elect::Won {
            epoch,
            stamp,
            proven,
        }
    }

    /// Gives the leadership up, so that the next leader need not wait.
    pub fn resign(&mut self) {
        if let Role::Leader { lease } = self.role {
            self.role = Role::Follower;
            self.state.revoke(lease);
        }
    }
}
