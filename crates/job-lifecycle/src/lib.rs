//! The lifecycle of a job beyond placement: holds ([`Holds`]), the retry policy and
//! the failures that count against it ([`RetryPolicy`], [`FailureCounts`]), history
//! and usage ([`History`]).
//!
//! It is plain data changed by plain calls, stored with the job's own records. The
//! package promises that what it stores is bounded, and that records stay readable
//! by the release before and the release after.
//!
//! It must never do I/O, read a clock or start a thread; times are passed in.

mod history;
mod hold;
mod retry;

pub use history::{History, HistoryEntry, JobEvent, MAX_ENTRIES, Usage};
pub use hold::{Hold, HoldKind, HoldRequest, Holds, MAX_REASON_BYTES, ReleaseRequest};
pub use retry::{CountedFailures, Failure, FailureCounts, MAX_BLAMED, RetryDecision, RetryPolicy};

use serde::{Deserialize, Serialize};

/// A time of day, in milliseconds since 1970, as exact as the platform says that
/// clocks are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallMillis(pub u64);

impl From<hookworks_base::time::WallTime> for WallMillis {
    fn from(w: hookworks_base::time::WallTime) -> WallMillis {
        WallMillis(w.0)
    }
}

/// Reads a JSON object; the error names the field that is wrong.
fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        return Err("body: must be a JSON object".into());
    }
    let mut de = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|e| e.to_string())?;
    de.end().map_err(|e| e.to_string())?;
    Ok(value)
}
