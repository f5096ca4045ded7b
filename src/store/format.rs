//! The form in which records are written.
//!
//! Controllers of two versions serve side by side during an upgrade. Until every
//! one of them is known to read the compact form, records are written as the
//! earlier version writes and reads them. That all can is itself on record, under
//! [`FORMAT`], and never withdrawn.

use serde::{Deserialize, Serialize};

/// Holds a [`FormatRecord`] once every controller reads compact records.
pub const FORMAT_KEY: &str = "hookworks/format";

/// The form in which the leader writes records. Both are always read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordFormat {
    /// What versions before the compact form read and write.
    #[default]
    Legacy,
    /// Smaller, and split over several keys if it has to be.
    Compact,
}

/// The value stored under [`FORMAT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The form in which the leader writes records.
    pub records: RecordFormat,
    /// When that was decided, in milliseconds of the time of day; for display.
    #[serde(default)]
    pub since: u64,
}

impl FormatRecord {
    /// Reads the value under [`FORMAT`]. That there is one says that every controller
    /// reads compact records, also where a later version has stored a form of its own.
    pub fn read(value: &serde_json::Value) -> FormatRecord {
        FormatRecord::deserialize(value).unwrap_or_else(|error| {
            tracing::error!(%error, %value, "the form of records is not one of this version");
            FormatRecord {
                records: RecordFormat::Compact,
                since: 0,
            }
        })
    }
}
