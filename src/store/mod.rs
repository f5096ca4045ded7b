//! Access to the state service: client, rate budgets and group commit.

pub mod budget;
pub mod client;
pub mod commit;
pub mod format;
pub mod limits;
pub mod pieces;

pub use client::{StateClient, TxnOutcome};
pub use commit::Committer;
pub use format::{FORMAT_KEY, FormatRecord, RecordFormat};

use crate::ids::JobId;

/// Holds the current leader; attached to a lease, so that it is deleted when the
/// leader stops renewing it.
pub const LEADER_KEY: &str = "hookworks/leader";
/// Holds the latest leadership epoch; increases monotonically.
pub const EPOCH_KEY: &str = "hookworks/epoch";
/// Holds the fenced zones, whose workers get no response.
pub const FENCES_KEY: &str = "hookworks/fences";
/// Versions of controllers, kept until all can read compact records; each key has a
/// lease of its own.
pub const VERSIONS_PREFIX: &str = "hookworks/versions/";
/// Unfinished jobs.
pub const UNFINISHED_PREFIX: &str = "hookworks/live/";
/// Further tasks of large unfinished jobs.
pub const PARTS_PREFIX: &str = "hookworks/part/";
/// Further pieces of records that exceed the size limit of a value.
pub const PIECES_PREFIX: &str = "hookworks/piece/";

/// Finished jobs.
pub const FINALS_PREFIX: &str = "hookworks/final/";

/// Key of a job's final state. Final states are never deleted, and a new leader does
/// not load them.
pub fn final_key(id: &JobId) -> String {
    format!("{FINALS_PREFIX}{id}")
}

pub fn part_key(id: &JobId, part: usize) -> String {
    if part == 0 {
        format!("{UNFINISHED_PREFIX}{id}")
    } else {
        format!("{PARTS_PREFIX}{id}/{part:06}")
    }
}
