//! Leader election by a leased key; every leadership has a new and larger epoch.
//!
//! A controller that finds the key held by an earlier process of its own does
//! not wait for that lease to expire: it revokes the lease and campaigns as soon as
//! no answer of that process may be told any more, see [`ANSWER_VALIDITY`].
//! For why that is safe, and when it is not done, see docs/notes/quick-restarts.md.

use crate::ids::{ControllerId, Epoch, Instance, Revision};
use crate::store::client::{ReadError, StateStore, TxnOutcome};
use crate::store::{EPOCH_KEY, FORMAT_KEY, LEADER_KEY};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// How often a follower reads the leader's key.
const POLL_INTERVAL: Span = Span(400_000);
/// The same while the state service does not answer: shorter, as users have already
/// waited long when it recovers.
const POLL_INTERVAL_UNAVAILABLE: Span = Span(200_000);
/// The same while the leader is suspected to have failed.
const POLL_INTERVAL_SUSPECTED: Span = Span(120_000);
/// Number of reads at that interval after a suspicion.
const POLLS_AFTER_SUSPICION: u32 = 16;
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 4;

/// How long an answer to a user may be told after the leader has decided it, by whichever
/// controller the user asked. That controller may have stood still since it received the
/// answer, and another leader may have told the user's job to be over.
pub const ANSWER_VALIDITY: Span = Span(240_000);
/// How long after its last answer a leader's lease may be revoked: the validity of answers,
/// with a margin for clocks that run at different rates.
pub const REVOCATION_DELAY: Span = Span(250_000);

/// Until when an answer that rests on the leadership may be told.
pub fn answer_valid_until(decided_at: Time, lease_valid_until: Time) -> Time {
    lease_valid_until.min(decided_at + ANSWER_VALIDITY)
}

/// The address at which a process listens for the other controllers. The
/// operating system binds an address to one process at a time, so the process that
/// holds it knows that every earlier holder has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddress {
    /// The address of the listening socket.
    pub addr: SocketAddr,
    /// The boot id and the network namespace that the address belongs to; none where the
    /// operating system does not report them.
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

    /// Whether only one of two processes with these addresses can be alive. That is
    /// unknown after a reboot or on another machine with the same address: the earlier
    /// process may be partitioned rather than dead. Where the system is unknown, the
    /// address must be unique to one machine.
    fn excludes(&self, other: &BoundAddress) -> bool {
        let ip = self.addr.ip();
        let unique = !ip.is_unspecified() && !ip.is_loopback();
        let same_system = match (&self.system, &other.system) {
            (Some(own), Some(others)) => own == others,
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
    /// The epoch of its leadership.
    pub epoch: Epoch,
    /// Distinguishes its process from earlier ones with the same label.
    pub instance: Instance,
    /// Where its process listens; earlier versions don't write it.
    #[serde(rename = "home", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<BoundAddress>,
}

/// A controller process that takes part in the election.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The label of this controller.
    pub label: ControllerId,
    /// The instance of this process.
    pub instance: Instance,
    /// Where it listens for the other controllers, if known.
    pub address: Option<BoundAddress>,
    /// When it had bound that address: every earlier process there had ended by then.
    pub bound_at: Time,
}

impl Candidate {
    /// Whether `record` was written by a process of this controller that has ended.
    /// Valid only while this process does not lead; then it is also true of a campaign
    /// of its own that was abandoned because its outcome was unclear.
    fn has_replaced(&self, record: &LeaderRecord) -> bool {
        let addresses = self.address.as_ref().zip(record.address.as_ref());
        record.label == self.label && addresses.is_some_and(|(own, others)| own.excludes(others))
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

/// The outcome of an election step.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionOutcome {
    /// This controller follows the given leader, or none is known.
    Following(Option<LeaderRecord>),
    /// This controller was elected.
    Elected {
        /// The epoch of the new leadership.
        epoch: Epoch,
        /// The revision of the leader's key, the condition of all later writes.
        revision: Revision,
        /// When the lease was requested: the lease is proven as of this time.
        proven: Time,
    },
    /// The lease was renewed; it is proven as of the time at which the renewal was sent.
    Renewed(Time),
    /// The lease has expired or was revoked.
    LeaseLost,
    /// The state service did not answer.
    Unavailable,
}

/// Takes part in the election one step at a time; the caller waits between steps.
pub struct Elector<S> {
    state: S,
    candidate: Candidate,
    lease_duration: Span,
    /// The lease of the leader's key while this controller leads.
    lease: Option<u64>,
    /// Number of reads left at the short interval.
    fast_polls_left: u32,
    /// The last step got no answer from the state service.
    unavailable: bool,
    /// How long after the last step the lease of an earlier process may be revoked.
    revocation_in: Option<Span>,
}

impl<S: StateStore> Elector<S> {
    /// Starts as a follower; leases are granted for `lease_duration`.
    pub fn new(state: S, candidate: Candidate, lease_duration: Span) -> Self {
        Elector {
            state,
            candidate,
            lease_duration,
            lease: None,
            fast_polls_left: 0,
            unavailable: false,
            revocation_in: None,
        }
    }

    /// Whether this controller was elected and does not know of the loss of its lease.
    pub fn leads(&self) -> bool {
        self.lease.is_some()
    }

    /// How long to wait before the next step.
    pub fn step_interval(&self) -> Span {
        if self.leads() {
            Span(self.lease_duration.0 / RENEWALS_PER_LEASE)
        } else if let Some(wait) = self.revocation_in {
            wait.min(POLL_INTERVAL)
        } else if self.fast_polls_left > 0 {
            POLL_INTERVAL_SUSPECTED
        } else if self.unavailable {
            POLL_INTERVAL_UNAVAILABLE
        } else {
            POLL_INTERVAL
        }
    }

    /// Reads the leader's key more often for a while, as the leader may have failed.
    pub fn suspect_leader(&mut self) {
        self.fast_polls_left = POLLS_AFTER_SUSPICION;
    }

    /// Renews the lease as leader, or reads the leader's key as follower and
    /// campaigns if it is free.
    pub fn step(&mut self, now: impl Fn() -> Time) -> ElectionOutcome {
        self.fast_polls_left = self.fast_polls_left.saturating_sub(1);
        self.revocation_in = None;
        let outcome = match self.lease {
            Some(lease) => self.renew(lease, now),
            None => self.follow(now),
        };
        let outcome = outcome.unwrap_or(ElectionOutcome::Unavailable);
        self.unavailable = outcome == ElectionOutcome::Unavailable;
        outcome
    }

    fn renew(&mut self, lease: u64, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        let sent_at = now();
        if self.state.renew(lease)? {
            return Ok(ElectionOutcome::Renewed(sent_at));
        }
        self.lease = None;
        Ok(ElectionOutcome::LeaseLost)
    }

    fn follow(&mut self, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        match self.state.get(LEADER_KEY)? {
            Some(leader_key) => self.follow_or_replace(leader_key, now),
            None => self.campaign(now),
        }
    }

    /// Handles a key that is held by another controller, or by an earlier process of this
    /// one.
    fn follow_or_replace(
        &mut self,
        leader_key: Item,
        now: impl Fn() -> Time,
    ) -> Result<ElectionOutcome, ReadError> {
        let leader: Option<LeaderRecord> = serde_json::from_value(leader_key.value).ok();
        let (Some(record), Some(lease)) = (&leader, leader_key.lease) else {
            return Ok(ElectionOutcome::Following(leader));
        };
        if !self.candidate.has_replaced(record) {
            return Ok(ElectionOutcome::Following(leader));
        }
        let (time, may_revoke_at) = (now(), self.candidate.bound_at + REVOCATION_DELAY);
        if time < may_revoke_at {
            self.revocation_in = Some(may_revoke_at - time);
            return Ok(ElectionOutcome::Following(leader));
        }
        if self.state.get(FORMAT_KEY)?.is_none() {
            // The earlier process may be of a version whose answers are valid as long as
            // its lease, which has to expire by itself.
            return Ok(ElectionOutcome::Following(leader));
        }
        tracing::info!(epoch = %record.epoch, lease, "revoking the leader lease of an earlier process of this controller");
        self.state.revoke(lease);
        // If the revocation failed, the key is still held and the campaign fails.
        self.campaign(now)
    }

    fn campaign(&mut self, now: impl Fn() -> Time) -> Result<ElectionOutcome, ReadError> {
        let sent_at = now();
        let lease = self.state.grant(self.lease_duration.0 / 1000)?;
        let last_epoch = self.state.get(EPOCH_KEY)?;
        let record = self.candidate.record(next_epoch(last_epoch.as_ref()));
        let txn = campaign_txn(&record, last_epoch.as_ref(), lease);
        match self.state.txn(&txn) {
            TxnOutcome::Ok(stamp) => Ok(self.elected(lease, record.epoch, stamp, sent_at)),
            TxnOutcome::Unknown => Ok(self.read_back(lease, &record, sent_at)),
            TxnOutcome::Conflict(_) => {
                self.state.revoke(lease);
                Ok(ElectionOutcome::Following(None))
            }
            // The transaction was not applied.
            _ => Ok(ElectionOutcome::Unavailable),
        }
    }

    /// Reads the key back after the answer to the campaign was lost: the transaction may
    /// have been applied.
    fn read_back(&mut self, lease: u64, record: &LeaderRecord, sent_at: Time) -> ElectionOutcome {
        if let Ok(Some(leader_key)) = self.state.get(LEADER_KEY)
            && serde_json::from_value(leader_key.value).is_ok_and(|r: LeaderRecord| r == *record)
        {
            return self.elected(lease, record.epoch, leader_key.revision, sent_at);
        }
        // If the transaction is applied later, the key is deleted with this lease.
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
            revision: stamp,
            proven,
        }
    }

    /// Revokes the own lease, so that the next leader need not wait for its expiry. To be
    /// called no sooner than [`REVOCATION_DELAY`] after the last answer to a user.
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

/// A transaction that takes the leader's key and increments the epoch, provided that
/// neither was changed meanwhile.
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
