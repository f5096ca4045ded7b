//! Leader election by a leased key; every leadership has a new, larger epoch.
//!
//! A controller that finds the key held by an earlier process of its own does
//! not wait for that lease to expire: it revokes it and campaigns at once. Why
//! that is safe, and when it is not done: docs/notes/quick-restarts.md.

use crate::ids::{ControllerId, Epoch, Instance, Revision};
use crate::store::client::{ReadError, StateStore, TxnOutcome};
use crate::store::{EPOCH_KEY, LEADER_KEY};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// How often a follower reads the leader's key.
const POLL_INTERVAL: Span = Span(400_000);
/// The same while the state service gives no answer: when it does again, users
/// have waited for long.
const POLL_INTERVAL_UNAVAILABLE: Span = Span(200_000);
/// The same while the leader is suspected to have failed.
const POLL_INTERVAL_SUSPECTED: Span = Span(120_000);
/// So many reads follow at that interval after a suspicion.
const POLLS_AFTER_SUSPICION: u32 = 16;
/// A leader renews its lease so many times within the lease's duration.
const RENEWALS_PER_LEASE: u64 = 4;

/// The address at which a process listens for the other controllers. The
/// operating system gives an address to one process at a time, so whoever holds
/// it knows that every other process that ever held it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddress {
    /// What the listening socket is bound to.
    pub addr: SocketAddr,
    /// The boot and the network namespace that the address belongs to; none
    /// where the operating system does not tell.
    #[serde(default)]
    pub system: Option<String>,
}

impl BoundAddress {
    /// Describes `addr`, which this process has just bound and holds until it ends.
    pub fn of_this_process(addr: SocketAddr) -> BoundAddress {
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
        let network = std::fs::read_link("/proc/self/ns/net");
        let system = boot
            .ok()
            .zip(network.ok())
            .map(|(boot, network)| format!("{} {}", boot.trim(), network.display()));
        BoundAddress { addr, system }
    }

    /// Whether only one of two processes with these addresses can be alive. After
    /// a reboot, or on another machine with the same address, that is not known:
    /// the earlier process may be cut off rather than gone. Where the system is
    /// unknown, the address must be one that no other machine has.
    fn excludes(&self, other: &BoundAddress) -> bool {
        let ip = self.addr.ip();
        let unique = !ip.is_unspecified() && !ip.is_loopback();
        let same_system = match (&self.system, &other.system) {
            (Some(mine), Some(theirs)) => mine == theirs,
            _ => unique,
        };
        self.addr == other.addr && same_system
    }
}

/// The value of the leader's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Which controller leads.
    pub label: ControllerId,
    /// The number of its leadership.
    pub epoch: Epoch,
    /// Tells its process from an earlier one of the same label.
    pub instance: Instance,
    /// Where its process listens; versions before that field left it out.
    #[serde(rename = "home", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<BoundAddress>,
}

/// Who stands for election.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The label of this controller.
    pub label: ControllerId,
    /// This process of it.
    pub instance: Instance,
    /// Where it listens for the other controllers, if that is known.
    pub address: Option<BoundAddress>,
}

impl Candidate {
    /// Whether `record` was written by a process of this controller that has
    /// ended. To be asked while this one does not lead: then it is also true of
    /// an election of its own that was given up because its outcome was unclear.
    fn has_replaced(&self, record: &LeaderRecord) -> bool {
        let addresses = self.address.as_ref().zip(record.address.as_ref());
        record.label == self.label && addresses.is_some_and(|(mine, theirs)| mine.excludes(theirs))
    }

    fn record(&self, epoch: Epoch) -> LeaderRecord {
        LeaderRecord {
            label: self.label.clone(),
            epoch,
            instance: self.instance,
            address: self.address.clone(),
        }
    }
}

/// What a step of the election has shown.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionOutcome {
    /// This controller follows: another one leads, or none does that is known.
    Following(Option<LeaderRecord>),
    /// This controller was elected.
    Elected {
        /// The number of the new leadership.
        epoch: Epoch,
        /// The revision of the leader's key, the condition of all later writes.
        stamp: Revision,
        /// The leadership is proven as of this time.
        proven: Time,
    },
    /// The lease was renewed; the leadership is proven as of the time at which
    /// the renewal was sent.
    Renewed(Time),
    /// The lease has expired or was revoked.
    LeaseLost,
    /// The state service did not answer.
    Unavailable,
}

/// Takes part in the election, a step at a time; the caller waits between steps.
pub struct Elector<S> {
    state: S,
    candidate: Candidate,
    lease_duration: Span,
    /// The lease of the leader's key while this controller leads.
    lease: Option<u64>,
    /// Reads that follow at the short interval.
    fast_polls_left: u32,
    /// The last step got no answer from the state service.
    unavailable: bool,
}

impl<S: StateStore> Elector<S> {
    /// Starts as a follower; leases are asked for with `lease_duration`.
    pub fn new(state: S, candidate: Candidate, lease_duration: Span) -> Self {
        Elector {
            state,
            candidate,
            lease_duration,
            lease: None,
            fast_polls_left: 0,
            unavailable: false,
        }
    }

    /// Whether this controller was elected and has not seen its lease lost.
    pub fn leads(&self) -> bool {
        self.lease.is_some()
    }

    /// How long to wait before the next step.
    pub fn step_interval(&self) -> Span {
        if self.leads() {
            Span(self.lease_duration.0 / RENEWALS_PER_LEASE)
        } else if self.fast_polls_left > 0 {
            POLL_INTERVAL_SUSPECTED
        } else if self.unavailable {
            POLL_INTERVAL_UNAVAILABLE
        } else {
            POLL_INTERVAL
        }
    }

    /// The leader is suspected to have failed: reads its key more often for a while.
    pub fn suspect_leader(&mut self) {
        self.fast_polls_left = POLLS_AFTER_SUSPICION;
    }

    /// Renews the lease as leader, or reads the leader's key as follower and
    /// campaigns if nobody holds it.
    pub fn step(&mut self, now: impl Fn() -> Time) -> ElectionOutcome {
        self.fast_polls_left = self.fast_polls_left.saturating_sub(1);
        let outcome = match self.lease {
            Some(lease) => self.renew(lease, now),
            None => self.follow(now),
        };
        let outcome = outcome.unwrap_or(ElectionOutcome::Unavailable);
        self.unavailable = outcome == ElectionOutcome::Unavailable;
        outcome
    }

    fn renew(&mut self, lease: u64, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        let sent = now();
        if self.state.renew(lease)? {
            return Ok(ElectionOutcome::Renewed(sent));
        }
        self.lease = None;
        Ok(ElectionOutcome::LeaseLost)
    }

    fn follow(&mut self, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        match self.state.get(LEADER_KEY)? {
            Some(held) => self.follow_or_replace(held, now),
            None => self.campaign(now),
        }
    }

    /// The key is held: by another controller, or by an earlier process of this one.
    fn follow_or_replace(
        &mut self,
        held: Item,
        now: impl Fn() -> Time,
    ) -> Result<ElectionOutcome, ReadError> {
        let leader: Option<LeaderRecord> = serde_json::from_value(held.value).ok();
        let (Some(record), Some(lease)) = (&leader, held.lease) else {
            return Ok(ElectionOutcome::Following(leader));
        };
        if !self.candidate.has_replaced(record) {
            return Ok(ElectionOutcome::Following(leader));
        }
        tracing::info!(epoch = %record.epoch, lease, "lease of an earlier process revoked");
        self.state.revoke(lease);
        // If the revocation was not carried out, the key is still held and this fails.
        self.campaign(now)
    }

    fn campaign(&mut self, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        let sent = now();
        let lease = self.state.grant(self.lease_duration.0 / 1000)?;
        let last_epoch = self.state.get(EPOCH_KEY)?;
        let record = self.candidate.record(next_epoch(last_epoch.as_ref()));
        let txn = campaign_txn(&record, last_epoch.as_ref(), lease);
        match self.state.txn(&txn) {
            TxnOutcome::Ok(stamp) => Ok(self.elected(lease, record.epoch, stamp, sent)),
            TxnOutcome::Unknown => Ok(self.read_back(lease, &record, sent)),
            TxnOutcome::Conflict(_) => {
                self.state.revoke(lease);
                Ok(ElectionOutcome::Following(None))
            }
            // Not carried out.
            _ => Ok(ElectionOutcome::Unavailable),
        }
    }

    /// The answer to the campaign was lost, perhaps after it was carried out.
    fn read_back(&mut self, lease: u64, record: &LeaderRecord, sent: Time) -> ElectionOutcome {
        if let Ok(Some(held)) = self.state.get(LEADER_KEY)
            && serde_json::from_value(held.value).is_ok_and(|r: LeaderRecord| r == *record)
        {
            return self.elected(lease, record.epoch, held.revision, sent);
        }
        // If the campaign is still carried out, the key goes with this lease.
        self.state.revoke(lease);
        ElectionOutcome::Unavailable
    }

    fn elected(
        &mut self,
        lease: u64,
        epoch: Epoch,
        stamp: Revision,
        proven: Time,
    ) -> ElectionOutcome {
        self.lease = Some(lease);
        self.fast_polls_left = 0;
        ElectionOutcome::Elected {
            epoch,
            stamp,
            proven,
        }
    }

    /// Gives the leadership up, so that the next leader need not wait.
    pub fn resign(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.state.revoke(lease);
        }
    }
}

fn next_epoch(last: Option<&Item>) -> Epoch {
    let last = last.and_then(|item| item.value.as_u64());
    Epoch(last.unwrap_or(0) + 1)
}

/// Takes the leader's key and counts the epoch up, if nobody else has done either.
fn campaign_txn(record: &LeaderRecord, last_epoch: Option<&Item>, lease: u64) -> Txn {
    let unchanged = |key: &str, stamp| Condition {
        key: key.into(),
        revision: stamp,
    };
    let put = |key: &str, value: Value, lease| Change::Put {
        key: key.into(),
        value,
        lease,
    };
    let leader = serde_json::to_value(record).unwrap_or_default();
    let epoch_stamp = last_epoch.map_or(Revision(0), |item| item.revision);
    Txn {
        conditions: vec![
            unchanged(LEADER_KEY, Revision(0)),
            unchanged(EPOCH_KEY, epoch_stamp),
        ],
        changes: vec![
            put(LEADER_KEY, leader, Some(lease)),
            put(EPOCH_KEY, record.epoch.0.into(), None),
        ],
    }
}
