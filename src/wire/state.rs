//! Messages of the state service.

use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "K")]
    pub key: String,
    /// Its value.
    #[serde(rename = "V")]
    pub value: Value,
    /// The revision of its latest change.
    #[serde(rename = "Stamp")]
    pub revision: Revision,
    /// The lease that the key is attached to, if any.
    #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of the keys under a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page, in order.
    #[serde(rename = "Pairs")]
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(rename = "Truncated", default)]
    pub more: bool,
}

/// A condition of a compare-and-swap: the key has this revision, 0 if it must not exist.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "K")]
    pub key: String,
    /// The revision that it must have.
    #[serde(rename = "Stamp")]
    pub revision: Revision,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Set a value.
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: String,
        /// Its new value.
        #[serde(rename = "V")]
        value: Value,
        /// The lease that the key is attached to, if any.
        #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        #[serde(rename = "Delete")]
        key: String,
    },
}

/// A compare-and-swap transaction: applies all changes if all conditions hold, else
/// none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions on key revisions.
    #[serde(rename = "When", default)]
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// Response to a transaction that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnApplied {
    /// The new revision of all changed keys.
    #[serde(rename = "Ledger")]
    pub revision: Revision,
}

/// Response to a transaction whose conditions did not hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnFailed {
    /// Keys whose conditions failed.
    pub failed: Vec<String>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "Permit")]
    pub lease: u64,
}
