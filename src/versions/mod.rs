//! Versions of the controllers: the capabilities of each version, which one each
//! controller runs, and when all of them can read compact records.
//!
//! During an upgrade controllers of two versions serve side by side, and either may
//! lead. Records in the compact format, which the earlier version can't read, are
//! therefore written only once every controller of the settings is known to run a
//! version that reads them. The decision is stored, conditioned on the leader's key,
//! before it takes effect, and is never undone.
//!
//! Nothing here does I/O or reads a clock except [`announce`], which uses the state
//! service that its caller passes in.

pub mod announce;
pub mod switch;
mod table;

pub use announce::Announcer;
pub use switch::FormatSwitch;
pub use table::{VersionSource, VersionTable};

use crate::ids::ControllerVersion;
use crate::store::RecordFormat;

/// Submissions, polls, cancellations and reports.
pub const EARLIEST: ControllerVersion = ControllerVersion(0);
/// Holds, histories and lists.
pub const JOB_LIFECYCLE: ControllerVersion = ControllerVersion(1);
/// Compact records, and jobs that wait for others.
pub const JOB_CHAINS: ControllerVersion = ControllerVersion(2);
/// The version of this program.
pub const OWN_VERSION: ControllerVersion = JOB_CHAINS;

/// The newest record format that a controller of this version reads.
pub fn newest_readable_format(version: ControllerVersion) -> RecordFormat {
    match version >= JOB_CHAINS {
        true => RecordFormat::Compact,
        false => RecordFormat::Legacy,
    }
}
