//! Election: one leader by a leased key, every term with a new, larger epoch.

use crate::ids::{Epoch, Label, Stamp};
use crate::store::client::{Outcome, State};
use crate::store::{EPOCH, LEADER};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use serde::{Deserialize, Serialize};

/// The value of the leader's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    pub label: Label,
    pub epoch: Epoch,
    /// Tells this process from an earlier one of the same name.
    pub instance: u64,
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

enum Role {
    Follower,
    Leader { lease: u64 },
}

/// A step at a time; whoever drives it does the waiting.
pub struct Elector<S> {
    state: S,
    label: Label,
    instance: u64,
    ttl: Span,
    role: Role,
}

impl<S: State> Elector<S> {
    pub fn new(state: S, label: Label, instance: u64, ttl: Span) -> Self {
        Elector {
            state,
            label,
            instance,
            ttl,
            role: Role::Follower,
        }
    }

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// How long to wait before the next step.
    pub fn pause(&self) -> Span {
        match self.role {
            Role::Follower => Span::millis(400),
            Role::Leader { .. } => Span(self.ttl.0 / 4),
        }
    }

    pub fn step(&mut self, now: impl Fn() -> Time) -> Elect {
        match self.role {
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
                Ok(Some(i)) => Elect::Seen(serde_json::from_value(i.value).ok()),
                Ok(None) => self.campaign(now),
                Err(_) => Elect::NoAnswer,
            },
        }
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
            label: self.label.clone(),
            epoch: Epoch(last + 1),
            instance: self.instance,
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
