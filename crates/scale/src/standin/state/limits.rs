//! What the state service takes, and why it refuses a transaction.

use crate::options::RunOptions;
use hookworks::wire::state::{Change, Txn};

/// Size of a transaction at the most.
const TXN_BYTES: usize = 64 * 1024;
/// Conditions of a transaction at the most, for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;

/// What the service takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub requests: f64,
    /// Puts and deletes a second.
    pub changes: f64,
    /// Puts and deletes of a transaction at the most.
    pub txn_ops: usize,
    /// Size of a value at the most.
    pub value_bytes: usize,
}

impl Limits {
    /// The limits with which a run begins.
    pub fn at_start(options: &RunOptions) -> Limits {
        Limits {
            requests: options.state_rps,
            changes: options.state_write_rps,
            txn_ops: options.txn_ops,
            value_bytes: bytes(options.value_kb),
        }
    }

    /// The limits that come into force later in the run.
    pub fn later(options: &RunOptions) -> Limits {
        let (now, next) = (Limits::at_start(options), &options.next_limits);
        Limits {
            requests: now.requests,
            changes: next.write_rps.unwrap_or(now.changes),
            txn_ops: next.txn_ops.unwrap_or(now.txn_ops),
            value_bytes: next.value_kb.map_or(now.value_bytes, bytes),
        }
    }
}

impl Limits {
    /// Reads a transaction that is within the limits.
    pub(super) fn admit(&self, body: &[u8]) -> Result<Txn, Rejection> {
        let parsed = serde_json::from_slice::<Txn>(body);
        let txn = parsed.map_err(|_| Rejection::Malformed)?;
        let conditions = CONDITIONS_PER_CHANGE * self.txn_ops;
        if body.len() > TXN_BYTES || txn.conditions.len() > conditions {
            return Err(Rejection::Malformed);
        }
        if txn.changes.len() > self.txn_ops {
            return Err(Rejection::TooManyOperations);
        }
        match txn.changes.iter().all(|c| self.value_fits(c)) {
            true => Ok(txn),
            false => Err(Rejection::ValueTooLarge),
        }
    }

    fn value_fits(&self, change: &Change) -> bool {
        match change {
            Change::Put { value, .. } => value.to_string().len() <= self.value_bytes,
            Change::Delete { .. } => true,
        }
    }
}

fn bytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

/// Why a transaction is refused with 400, as it is counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum Rejection {
    Malformed,
    ValueTooLarge,
    TooManyOperations,
}

impl Rejection {
    pub(super) fn name(self) -> &'static str {
        match self {
            Rejection::Malformed => "malformed",
            Rejection::ValueTooLarge => "value too large",
            Rejection::TooManyOperations => "too many operations",
        }
    }
}
