//! A transaction under construction, and the records that it writes.

use super::super::limits::{
    CHANGE_OVERHEAD_BYTES, MAX_SINGLE_RECORD_TXN_BYTES, MAX_TXN_BYTES, TxnSize,
};
use crate::ids::{JobId, Revision};
use crate::sched::Purpose;
use crate::time::Time;
use crate::wire::state::{Change, Condition, Txn};
use serde_json::Value;

pub(super) struct RecordWrite {
    pub(super) job: JobId,
    pub(super) purpose: Purpose,
    /// When it was queued first.
    pub(super) since: Time,
    /// The part and its version, or the final state of the job.
    pub(super) target: WriteTarget,
    pub(super) keys: Vec<KeyWrite>,
}

/// A key that a transaction changes, or only has a condition on.
pub(super) struct KeyWrite {
    pub(super) key: String,
    pub(super) put: bool,
}

pub(super) enum WriteTarget {
    Part(usize, u64),
    End,
    /// The record of fenced zones, which belongs to no job.
    Fences(u64),
}

/// A change and the size of its value in bytes.
pub(super) struct SizedChange {
    pub(super) change: Change,
    pub(super) value_bytes: usize,
}

impl SizedChange {
    pub(super) fn put(key: String, value: Value) -> SizedChange {
        SizedChange {
            value_bytes: value.to_string().len(),
            change: Change::Put {
                key,
                value,
                lease: None,
            },
        }
    }

    pub(super) fn delete(key: String) -> SizedChange {
        SizedChange {
            value_bytes: 0,
            change: Change::Delete { key },
        }
    }

    /// Bytes that it takes in a transaction, with its condition.
    pub(super) fn bytes(&self) -> usize {
        self.change.key().len() * 2 + CHANGE_OVERHEAD_BYTES + self.value_bytes
    }
}

/// Bytes that these changes take in a transaction, with their conditions.
pub(super) fn total_bytes(changes: &[SizedChange]) -> usize {
    changes.iter().map(SizedChange::bytes).sum()
}

/// A transaction under construction.
pub(super) struct Draft {
    pub(super) txn: Txn,
    pub(super) writes: Vec<RecordWrite>,
    pub(super) bytes: usize,
    pub(super) max_changes: usize,
    /// The same for a single record.
    pub(super) max_record_changes: usize,
    pub(super) size: TxnSize,
}

impl Draft {
    pub(super) fn new(max_changes: usize, max_record_changes: usize) -> Draft {
        Draft {
            txn: Txn::default(),
            writes: vec![],
            bytes: 0,
            max_changes,
            max_record_changes,
            size: TxnSize::default(),
        }
    }

    pub(super) fn changes(&self) -> usize {
        self.txn.changes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.txn.changes.is_empty()
    }

    /// Whether the changes of a record still fit. A draft without changes has room for
    /// every record that is not oversized, once the budget allows it.
    pub(super) fn has_room(&self, changes: &[SizedChange]) -> bool {
        let (max_changes, max_bytes) = match self.is_empty() {
            true => (self.max_record_changes, MAX_SINGLE_RECORD_TXN_BYTES),
            false => (self.max_changes, MAX_TXN_BYTES),
        };
        self.changes() + changes.len() <= max_changes
            && self.bytes + total_bytes(changes) <= max_bytes
    }

    pub(super) fn add_condition(&mut self, key: String, stamp: Revision) {
        self.txn.conditions.push(Condition {
            key,
            revision: stamp,
        });
    }

    pub(super) fn add(&mut self, change: SizedChange) {
        self.bytes += change.bytes();
        self.size.changes += 1;
        self.size.largest_value = self.size.largest_value.max(change.value_bytes);
        self.txn.changes.push(change.change);
    }

    pub(super) fn has_final_write(&self, job: &JobId) -> bool {
        let ends = |w: &RecordWrite| w.job == *job && matches!(w.target, WriteTarget::End);
        self.writes.iter().any(ends)
    }

    pub(super) fn has_first_record(&self, job: &JobId) -> bool {
        let is_first =
            |w: &RecordWrite| w.job == *job && matches!(w.target, WriteTarget::Part(0, _));
        self.writes.iter().any(is_first)
    }

    pub(super) fn has_job(&self, job: &JobId) -> bool {
        self.writes.iter().any(|w| w.job == *job)
    }
}
