//! The state service: its client, the budget of requests and the group commit.

pub mod budget;
pub mod client;
pub mod commit;
pub mod format;
pub mod limits;
pub mod pieces;

pub use client::{Outcome, StateClient};
pub use commit::Committer;
pub use format::{FORMAT, FormatRecord, RecordFormat};

use crate::ids::JobId;

/// Holds who leads; attached to a lease, so that it goes when its owner does.
pub const LEADER: &str = "hookworks/leader";
/// Counts the terms of leadership; only ever grows.
pub const EPOCH: &str = "hookworks/epoch";
/// Zones whose workers are not answered.
pub const FENCES: &str = "hookworks/fences";
/// Versions of controllers, until all can read compact records; each goes with a lease
/// of its own.
pub const VERSIONS: &str = "hookworks/versions/";
/// Unfinished jobs.
pub const LIVE: &str = "hookworks/live/";
/// Further tasks of large unfinished jobs.
pub const PARTS: &str = "hookworks/part/";
/// Further pieces of records that are larger than a value may be.
pub const PIECES: &str = "hookworks/piece/";

/// Finished jobs.
pub const FINALS: &str = "hookworks/final/";

/// Final states are kept for ever, out of the way of what a new leader loads.
pub fn final_key(id: &JobId) -> String {
    format!("{FINALS}{id}")
}

pub fn part_key(id: &JobId, part: usize) -> String {
    if part == 0 {
        format!("{LIVE}{id}")
    } else {
        format!("{PARTS}{id}/{part:06}")
    }
}
