//! The state service: its client, the budget of requests and the group commit.

pub mod budget;
pub mod client;
pub mod commit;
pub mod format;

pub use client::{Outcome, StateClient};
pub use commit::Committer;
pub use format::{FORMAT, RecordFormat};

use crate::ids::JobId;

/// Holds who leads; attached to a lease, so that it goes when its owner does.
pub const LEADER: &str = "hookworks/leader";
/// Counts the terms of leadership; only ever grows.
pub const EPOCH: &str = "hookworks/epoch";
/// Zones whose workers are not answered.
pub const FENCES: &str = "hookworks/fences";
/// Unfinished jobs.
pub const LIVE: &str = "hookworks/live/";
/// Further tasks of large unfinished jobs.
pub const PARTS: &str = "hookworks/part/";

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
