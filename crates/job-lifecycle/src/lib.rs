//! A job's life, beyond what is placed where: who holds it and why, how often
//! its tasks may fail, what has happened to it, and what it has used.
//!
//! All of it is plain data that is changed by plain calls: no I/O, clock or
//! threads. It is stored with the job's own records, so it is as safe as they
//! are, and what it takes there is bounded.

mod hold;
mod ledger;
mod retry;

pub use hold::{Hold, HoldKind, HoldRequest, Holds, ReleaseRequest};
pub use ledger::{Entry, History, Usage, What};
pub use retry::{Attempts, Causes, Failure, Outcome, RetryRule};

use serde::{Deserialize, Serialize};

/// A time of day, in milliseconds since 1970; good for the bound on clocks
/// that the platform states.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct At(pub u64);

impl From<hookworks_base::time::Wall> for At {
    fn from(w: hookworks_base::time::Wall) -> At {
        At(w.0)
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
