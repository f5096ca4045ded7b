//! The form in which records are written.
//!
//! Controllers of two versions serve side by side during an upgrade. Until every
//! one of them is known to read the compact form, records are written as the
//! earlier version writes and reads them. That all can is itself on record, under
//! [`FORMAT`], and never withdrawn.

use serde::{Deserialize, Serialize};

/// Holds a [`FormatRecord`] once every controller reads compact records.
pub const FORMAT: &str = "hookworks/format";

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
    pub records: RecordFormat,
}
