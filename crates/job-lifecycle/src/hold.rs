//! Holds: a job that is held starts no task.

use crate::WallMillis;
use serde::{Deserialize, Serialize};

/// Bytes of a name; it is stored with the job.
const MAX_NAME_BYTES: usize = 64;
/// Bytes of a reason; it is stored with the job.
pub const MAX_REASON_BYTES: usize = 160;
/// Bytes of a name where a record has no room for more.
const SHORT_NAME_BYTES: usize = 16;

/// Whose hold it is. Each kind is put and released on its own; the job starts tasks
/// again when none is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldKind {
    /// Put by the user whose job it is.
    User,
    /// Put by an operator.
    Operator,
    /// Put by the scheduler itself: a limit has been reached.
    System,
}

/// The hold of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Whose hold it is.
    #[serde(rename = "Kind")]
    pub kind: HoldKind,
    /// Who put it.
    #[serde(rename = "By")]
    pub by: String,
    /// The reason given.
    #[serde(rename = "Why")]
    pub why: String,
    /// When it was put.
    #[serde(rename = "AtMs")]
    pub at: WallMillis,
}

/// The holds of a job, one of each kind at the most.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holds(Vec<Hold>);

impl Holds {
    /// Nothing holds the job.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All holds, by kind.
    pub fn iter(&self) -> impl Iterator<Item = &Hold> {
        self.0.iter()
    }

    /// The hold of a kind.
    pub fn get(&self, kind: HoldKind) -> Option<&Hold> {
        self.0.iter().find(|h| h.kind == kind)
    }

    /// Puts a hold. False if this kind holds the job already: the earlier hold stays.
    pub fn put(&mut self, mut hold: Hold) -> bool {
        if self.get(hold.kind).is_some() {
            return false;
        }
        shorten(&mut hold.by, MAX_NAME_BYTES);
        shorten(&mut hold.why, MAX_REASON_BYTES);
        self.0.push(hold);
        self.0.sort_by_key(|h| h.kind);
        true
    }

    /// The same without reasons and with shortened names, some 70 bytes each, where
    /// a record has no room for more.
    pub fn abbreviated(&self) -> Holds {
        let mut all = self.clone();
        for h in &mut all.0 {
            shorten(&mut h.by, SHORT_NAME_BYTES);
            h.why.clear();
        }
        all
    }

    /// The same without reasons and names, some 60 bytes each, for a record that would
    /// not fit otherwise.
    pub fn anonymous(&self) -> Holds {
        let mut all = self.clone();
        for h in &mut all.0 {
            h.by.clear();
            h.why.clear();
        }
        all
    }

    /// Removes the hold of a kind.
    pub fn release(&mut self, kind: HoldKind) -> Option<Hold> {
        let at = self.0.iter().position(|h| h.kind == kind)?;
        Some(self.0.remove(at))
    }
}

fn shorten(text: &mut String, bytes: usize) {
    let mut end = text.len().min(bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}

fn user() -> HoldKind {
    HoldKind::User
}

/// The body of a request to hold a job.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HoldRequest {
    /// Whose hold it is.
    #[serde(rename = "Kind", default = "user")]
    pub kind: HoldKind,
    /// Who asks.
    #[serde(rename = "By")]
    pub by: String,
    /// The reason.
    #[serde(rename = "Why", default)]
    pub why: String,
    /// Running tasks are stopped, with time to save; otherwise they go on.
    #[serde(rename = "Stop", default)]
    pub stop: bool,
}

/// The body of a request to release a job.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ReleaseRequest {
    /// Whose hold is to be released.
    #[serde(rename = "Kind", default = "user")]
    pub kind: HoldKind,
    /// Who asks.
    #[serde(rename = "By")]
    pub by: String,
}

fn check_by(by: &str) -> Result<(), String> {
    match by.len() {
        1..=MAX_NAME_BYTES => Ok(()),
        _ => Err(format!("By: must have 1 to {MAX_NAME_BYTES} bytes")),
    }
}

impl HoldRequest {
    /// Parses a body.
    ///
    /// # Errors
    /// One line that names the field that is wrong.
    pub fn parse(body: &[u8]) -> Result<HoldRequest, String> {
        let r: HoldRequest = crate::parse(body)?;
        check_by(&r.by)?;
        if r.why.len() > MAX_REASON_BYTES {
            return Err(format!("Why: must have at most {MAX_REASON_BYTES} bytes"));
        }
        if r.kind == HoldKind::System {
            return Err("Kind: a system hold is put by the scheduler alone".into());
        }
        Ok(r)
    }
}

impl ReleaseRequest {
    /// Parses a body.
    ///
    /// # Errors
    /// One line that names the field that is wrong.
    pub fn parse(body: &[u8]) -> Result<ReleaseRequest, String> {
        let r: ReleaseRequest = crate::parse(body)?;
        check_by(&r.by)?;
        Ok(r)
    }
}
