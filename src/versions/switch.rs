//! The switch to compact records, as the leader decides and stores it.

use super::{JOB_CHAINS, VersionTable, announce};
use crate::ids::Stamp;
use crate::store::client::Outcome;
use crate::store::{FORMAT, FormatRecord, LEADER, RecordFormat};
use crate::time::{Span, Time, Wall};
use crate::wire::state::{Change, Condition, Item, Txn};

/// The versions that controllers have written to the state service are read so often
/// while they are needed.
const READ_EVERY: Span = Span(1_000_000);
/// After a request that failed, the next one is made so much later.
const RETRY_AFTER: Span = Span(300_000);

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read what the controllers have written of their versions.
    ReadVersions,
    /// Store the switch.
    Store(Txn),
    /// Read whether the switch is stored.
    ReadFormat,
}

/// What became of a [`Step`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// The keys of the controllers that have written their versions.
    Versions(Result<Vec<Item>, ()>),
    /// What became of the transaction.
    Store(Outcome),
    /// The key with the switch.
    Format(Result<Option<Item>, ()>),
}

/// What a reply has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing that others need to know.
    Nothing,
    /// Compact records are on record: they may be written from now on.
    Compact(FormatRecord),
    /// The leader's key is no longer ours.
    Deposed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Until all controllers are known to read compact records.
    Waiting,
    /// A read is under way.
    Reading,
    /// The transaction that stores this is under way.
    Storing(FormatRecord),
    /// The outcome of the transaction is unclear, or the key was found to exist.
    Unclear,
    /// The switch is on record.
    Stored,
}

/// The switch, in one term of the leader.
#[derive(Clone, Debug)]
pub struct Switch {
    leader: Stamp,
    state: State,
    not_before: Time,
    next_read: Time,
}

impl Switch {
    /// The leader's key has this stamp; `format` is what it has read as it took over.
    pub fn new(leader: Stamp, format: RecordFormat) -> Switch {
        Switch {
            leader,
            state: match format {
                RecordFormat::Legacy => State::Waiting,
                RecordFormat::Compact => State::Stored,
            },
            not_before: Time::default(),
            next_read: Time::default(),
        }
    }

    /// The next request, if one is due. The leadership must be proven.
    pub fn next(&mut self, now: Time, day: Wall, versions: &VersionTable) -> Option<Step> {
        if now < self.not_before {
            return None;
        }
        let step = match self.state {
            State::Reading | State::Storing(_) | State::Stored => return None,
            State::Unclear => Step::ReadFormat,
            State::Waiting if versions.all_read(RecordFormat::Compact) => {
                return Some(self.store(day));
            }
            State::Waiting if now < self.next_read => return None,
            State::Waiting if versions.is_record_needed(now, RecordFormat::Compact) => {
                self.next_read = now + READ_EVERY;
                Step::ReadVersions
            }
            State::Waiting => return None,
        };
        self.state = State::Reading;
        Some(step)
    }

    fn store(&mut self, day: Wall) -> Step {
        let record = FormatRecord {
            records: RecordFormat::Compact,
            since: day.0,
        };
        self.state = State::Storing(record);
        let when = |key: &str, stamp| Condition {
            key: key.into(),
            stamp,
        };
        Step::Store(Txn {
            conditions: vec![when(LEADER, self.leader), when(FORMAT, Stamp(0))],
            changes: vec![Change::Put {
                key: FORMAT.into(),
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: None,
            }],
        })
    }

    /// Takes what became of the request under way.
    pub fn reply(&mut self, now: Time, reply: Reply, versions: &mut VersionTable) -> Decision {
        match reply {
            Reply::Versions(read) => {
                self.state = State::Waiting;
                for item in read.into_iter().flatten() {
                    announce::take_stored(now, &item, versions);
                }
                Decision::Nothing
            }
            Reply::Store(outcome) => self.take_outcome(now, outcome, versions),
            Reply::Format(Ok(Some(item))) => {
                self.is_stored(now, FormatRecord::read(&item.value), versions)
            }
            Reply::Format(Ok(None)) => self.again(now, State::Waiting),
            Reply::Format(Err(())) => self.again(now, State::Unclear),
        }
    }

    fn take_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        versions: &mut VersionTable,
    ) -> Decision {
        match (outcome, self.state) {
            (Outcome::Ok(_), State::Storing(record)) => self.is_stored(now, record, versions),
            (Outcome::Conflict(failed), _) if failed.iter().any(|key| key == LEADER) => {
                Decision::Deposed
            }
            (Outcome::NotDone | Outcome::TooLarge | Outcome::TooMany | Outcome::NoLease, _) => {
                self.again(now, State::Waiting)
            }
            (Outcome::Ok(_) | Outcome::Conflict(_) | Outcome::Unclear, _) => {
                self.state = State::Unclear;
                Decision::Nothing
            }
        }
    }

    fn is_stored(
        &mut self,
        now: Time,
        record: FormatRecord,
        versions: &mut VersionTable,
    ) -> Decision {
        self.state = State::Stored;
        versions.record_format(now, JOB_CHAINS);
        Decision::Compact(record)
    }

    fn again(&mut self, now: Time, state: State) -> Decision {
        self.state = state;
        self.not_before = now + RETRY_AFTER;
        Decision::Nothing
    }
}
