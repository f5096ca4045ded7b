//! The state service: its client, the budget of requests and the group commit.

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

/// Holds who leads; attached to a lease, so that it goes when its owner does.
pub const LEADER_KEY: &str = "hookworks/leader";
/// Counts the terms of leadership; only ever grows.
pub const EPOCH_KEY: &str = "hookworks/epoch";
/// Zones whose workers are not answered.
pub const FENCES_KEY: &str = "hookworks/fences";
/// Versions of controllers, until all can read compact records; each goes with a lease
/// of its own.
pub const VERSIONS_PREFIX: &str = "hookworks/versions/";
/// Unfinished jobs.
pub const UNFINISHED_PREFIX: &str = "hookworks/live/";
/// Further tasks of large unfinished jobs.
pub const PARTS_PREFIX: &str = "hookworks/part/";
/// Further pieces of records that are larger than a value may be.
pub const PIECES_PREFIX: &str = "hookworks/piece/";

/// Finished jobs.
pub const FINALS_PREFIX: &str = "hookworks/final/";

/// Final states are kept for ever, out of the way of what a new leader loads.
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
