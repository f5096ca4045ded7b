//! The format in which records are written.
//!
//! Controllers of two versions serve side by side during an upgrade. Until every
//! one of them is known to read the compact format, records are written in the format
//! of the earlier version. The switch is stored under [`FORMAT_KEY`] and never undone.

use serde::{Deserialize, Serialize};

/// Holds a [`FormatRecord`] once every controller reads compact records.
pub const FORMAT_KEY: &str = "hookworks/format";

/// The format in which the leader writes records. Both are always readable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordFormat {
    /// Read and written by versions before the compact format.
    #[default]
    Legacy,
    /// Smaller, and split over several keys when it exceeds the size limit of a value.
    Compact,
}

/// The value stored under [`FORMAT_KEY`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The format in which the leader writes records.
    pub records: RecordFormat,
    /// Wall-clock time of the switch in milliseconds; for display only.
    #[serde(default)]
    pub since: u64,
}

impl FormatRecord {
    /// Reads the value under [`FORMAT_KEY`]. If the key exists, every
    /// controller reads compact records, even if a later version has stored a format of
    /// its own.
    pub fn read(value: &serde_json::Value) -> FormatRecord {
        FormatRecord::deserialize(value).unwrap_or_else(|error| {
            tracing::error!(%error, %value, "unknown record format; using compact records");
            FormatRecord {
                records: RecordFormat::Compact,
                since: 0,
            }
        })
    }
}
