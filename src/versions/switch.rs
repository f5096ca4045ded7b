//! The switch to compact records, which the leader decides and stores.

use super::{JOB_CHAINS, VersionTable, announce};
use crate::ids::Revision;
use crate::store::client::TxnOutcome;
use crate::store::{FORMAT_KEY, FormatRecord, LEADER_KEY, RecordFormat};
use crate::time::{Span, Time, WallTime};
use crate::wire::state::{Change, Condition, Item, Txn};

/// Interval between reads of the controllers' stored versions while they are needed.
const READ_INTERVAL: Span = Span(1_000_000);
/// Delay after a failed request.
const RETRY_DELAY: Span = Span(300_000);

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the stored versions of the controllers.
    ReadVersions,
    /// Store the switch.
    Store(Txn),
    /// Read whether the switch is stored.
    ReadFormat,
}

/// Result of a [`Step`].
#[derive(Clone, Debug)]
pub enum StepResult {
    /// The stored versions of the controllers.
    Versions(Result<Vec<Item>, ()>),
    /// Outcome of the transaction.
    Store(TxnOutcome),
    /// The key with the switch.
    Format(Result<Option<Item>, ()>),
}

/// What follows from a result.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// No action.
    Nothing,
    /// The switch is stored: compact records may be written from now on.
    Compact(FormatRecord),
    /// This controller no longer owns the leader's key.
    Deposed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwitchState {
    /// Until all controllers are known to read compact records.
    Waiting,
    /// A read is in flight.
    Reading,
    /// The transaction that stores this is in flight.
    Storing(FormatRecord),
    /// The outcome of the transaction is unknown, or the key already exists.
    Unclear,
    /// The switch is stored.
    Stored,
}

/// State of the switch during one leadership.
#[derive(Clone, Debug)]
pub struct FormatSwitch {
    leader_revision: Revision,
    state: SwitchState,
    not_before: Time,
    next_read: Time,
}

impl FormatSwitch {
    /// `leader` is the revision of the leader's key, `format` the record format that was
    /// loaded at the start of the leadership.
    pub fn new(leader: Revision, format: RecordFormat) -> FormatSwitch {
        FormatSwitch {
            leader_revision: leader,
            state: match format {
                RecordFormat::Legacy => SwitchState::Waiting,
                RecordFormat::Compact => SwitchState::Stored,
            },
            not_before: Time::default(),
            next_read: Time::default(),
        }
    }

    /// The next request, if one is due. The leadership must be confirmed.
    pub fn next_step(&mut self, now: Time, day: WallTime, versions: &VersionTable) -> Option<Step> {
        if now < self.not_before {
            return None;
        }
        let step = match self.state {
            SwitchState::Reading | SwitchState::Storing(_) | SwitchState::Stored => return None,
            SwitchState::Unclear => Step::ReadFormat,
            SwitchState::Waiting if versions.all_read(RecordFormat::Compact) => {
                return Some(self.store_switch(day));
            }
            SwitchState::Waiting if now < self.next_read => return None,
            SwitchState::Waiting if versions.needs_stored_versions(now, RecordFormat::Compact) => {
                self.next_read = now + READ_INTERVAL;
                Step::ReadVersions
            }
            SwitchState::Waiting => return None,
        };
        self.state = SwitchState::Reading;
        Some(step)
    }

    fn store_switch(&mut self, day: WallTime) -> Step {
        let record = FormatRecord {
            records: RecordFormat::Compact,
            since: day.0,
        };
        self.state = SwitchState::Storing(record);
        let when = |key: &str, stamp| Condition {
            key: key.into(),
            revision: stamp,
        };
        Step::Store(Txn {
            conditions: vec![
                when(LEADER_KEY, self.leader_revision),
                when(FORMAT_KEY, Revision(0)),
            ],
            changes: vec![Change::Put {
                key: FORMAT_KEY.into(),
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: None,
            }],
        })
    }

    /// Handles the result of the request in flight.
    pub fn handle_result(
        &mut self,
        now: Time,
        reply: StepResult,
        versions: &mut VersionTable,
    ) -> Decision {
        match reply {
            StepResult::Versions(read) => {
                self.state = SwitchState::Waiting;
                for item in read.into_iter().flatten() {
                    announce::record_stored_version(now, &item, versions);
                }
                Decision::Nothing
            }
            StepResult::Store(outcome) => self.handle_outcome(now, outcome, versions),
            StepResult::Format(Ok(Some(item))) => {
                self.mark_stored(now, FormatRecord::read(&item.value), versions)
            }
            StepResult::Format(Ok(None)) => self.retry_later(now, SwitchState::Waiting),
            StepResult::Format(Err(())) => self.retry_later(now, SwitchState::Unclear),
        }
    }

    fn handle_outcome(
        &mut self,
        now: Time,
        outcome: TxnOutcome,
        versions: &mut VersionTable,
    ) -> Decision {
        match (outcome, self.state) {
            (TxnOutcome::Ok(_), SwitchState::Storing(record)) => {
                self.mark_stored(now, record, versions)
            }
            (TxnOutcome::Conflict(failed), _) if failed.iter().any(|key| key == LEADER_KEY) => {
                Decision::Deposed
            }
            (
                TxnOutcome::NotApplied
                | TxnOutcome::TooLarge
                | TxnOutcome::RateLimited
                | TxnOutcome::NoLease,
                _,
            ) => self.retry_later(now, SwitchState::Waiting),
            (TxnOutcome::Ok(_) | TxnOutcome::Conflict(_) | TxnOutcome::Unknown, _) => {
                self.state = SwitchState::Unclear;
                Decision::Nothing
            }
        }
    }

    fn mark_stored(
        &mut self,
        now: Time,
        record: FormatRecord,
        versions: &mut VersionTable,
    ) -> Decision {
        self.state = SwitchState::Stored;
        versions.record_format(now, JOB_CHAINS);
        Decision::Compact(record)
    }

    fn retry_later(&mut self, now: Time, state: SwitchState) -> Decision {
        self.state = state;
        self.not_before = now + RETRY_DELAY;
        Decision::Nothing
    }
}
