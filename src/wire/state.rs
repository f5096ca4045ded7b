//! Talk with the state service.

use crate::ids::Stamp;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "K")]
    pub key: String,
    #[serde(rename = "V")]
    pub value: Value,
    #[serde(rename = "Stamp")]
    pub stamp: Stamp,
    /// The lease that the key goes with, if any.
    #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    #[serde(rename = "Pairs")]
    pub items: Vec<Item>,
    #[serde(rename = "Truncated", default)]
    pub more: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "K")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub stamp: Stamp,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "Put")]
        key: String,
        #[serde(rename = "V")]
        value: Value,
        #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "When", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    #[serde(rename = "Ledger")]
    pub revision: Stamp,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Failed {
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "Permit")]
    pub lease: u64,
}
