//! Holds: what keeps a job from starting anything.

use crate::At;
use serde::{Deserialize, Serialize};

/// Bytes of a name and of a reason; both are stored with the job.
const BY: usize = 64;
const WHY: usize = 160;

/// Whose hold it is. Each kind is put and released on its own; a job goes on
/// when none is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldKind {
    User,
    Operator,
    /// Put by the scheduler itself: a limit has been reached.
    System,
}

/// One kind's hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    #[serde(rename = "Kind")]
    pub kind: HoldKind,
    #[serde(rename = "By")]
    pub by: String,
    #[serde(rename = "Why")]
    pub why: String,
    #[serde(rename = "AtMs")]
    pub at: At,
}

/// The holds of a job, one of each kind at the most.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holds(Vec<Hold>);

impl Holds {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Hold> {
        self.0.iter()
    }

    pub fn get(&self, kind: HoldKind) -> Option<&Hold> {
        self.0.iter().find(|h| h.kind == kind)
    }

    /// False if this kind holds the job already: who did so first, and why,
    /// stays on record.
    pub fn put(&mut self, mut hold: Hold) -> bool {
        if self.get(hold.kind).is_some() {
            return false;
        }
        shorten(&mut hold.by, BY);
        shorten(&mut hold.why, WHY);
        self.0.push(hold);
        self.0.sort_by_key(|h| h.kind);
        true
    }

    /// The same without reasons and with names cut short, some 70 bytes each,
    /// where a record has no room for more.
    pub fn brief(&self) -> Holds {
        let mut all = self.clone();
        for h in &mut all.0 {
            shorten(&mut h.by, 16);
            h.why.clear();
        }
        all
    }

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
    #[serde(rename = "Kind", default = "user")]
    pub kind: HoldKind,
    #[serde(rename = "By")]
    pub by: String,
    #[serde(rename = "Why", default)]
    pub why: String,
    /// What runs is stopped, with time to save; otherwise it goes on.
    #[serde(rename = "Stop", default)]
    pub stop: bool,
}

/// The body of a request to release a job.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ReleaseRequest {
    #[serde(rename = "Kind", default = "user")]
    pub kind: HoldKind,
    #[serde(rename = "By")]
    pub by: String,
}

fn check_by(by: &str) -> Result<(), String> {
    match by.len() {
        1..=BY => Ok(()),
        _ => Err(format!("By: must have 1 to {BY} bytes")),
    }
}

impl HoldRequest {
    /// Reads a body; the error names the field that is wrong.
    pub fn parse(body: &[u8]) -> Result<HoldRequest, String> {
        let r: HoldRequest = crate::parse(body)?;
        check_by(&r.by)?;
        if r.why.len() > WHY {
            return Err(format!("Why: must have at most {WHY} bytes"));
        }
        if r.kind == HoldKind::System {
            return Err("Kind: a system hold is put by the scheduler alone".into());
        }
        Ok(r)
    }
}

impl ReleaseRequest {
    /// Reads a body; the error names the field that is wrong.
    pub fn parse(body: &[u8]) -> Result<ReleaseRequest, String> {
        let r: ReleaseRequest = crate::parse(body)?;
        check_by(&r.by)?;
        Ok(r)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hold(kind: HoldKind, by: &str) -> Hold {
        Hold {
            kind,
            by: by.into(),
            why: "é".repeat(200),
            at: At(7),
        }
    }

    #[test]
    fn kinds_are_put_and_released_on_their_own() {
        let mut h = Holds::default();
        assert!(h.put(hold(HoldKind::Operator, "ann")));
        assert!(h.put(hold(HoldKind::User, "bob")));
        assert!(
            !h.put(hold(HoldKind::Operator, "eve")),
            "a second one of a kind"
        );
        assert_eq!(h.get(HoldKind::Operator).unwrap().by, "ann");
        // What is stored is bounded, and cut between two letters.
        assert_eq!(h.get(HoldKind::User).unwrap().why.len(), WHY);
        assert_eq!(h.release(HoldKind::Operator).unwrap().by, "ann");
        assert!(h.release(HoldKind::Operator).is_none() && !h.is_empty());
        let stored = serde_json::to_string(&h).unwrap();
        assert_eq!(serde_json::from_str::<Holds>(&stored).unwrap(), h);
    }

    #[test]
    fn a_wrong_body_names_its_field() {
        let hold = |b: &str| HoldRequest::parse(b.as_bytes()).unwrap_err();
        assert!(hold("[]").contains("object"));
        assert!(hold("{}").contains("By"));
        assert!(hold(r#"{"By":""}"#).contains("By"));
        assert!(hold(r#"{"By":"a","Kind":"boss"}"#).contains("Kind"));
        assert!(hold(r#"{"By":"a","Kind":"system"}"#).contains("Kind"));
        assert!(hold(r#"{"By":"a","Stop":1}"#).contains("Stop"));
        assert!(hold(r#"{"By":"a"}x"#).contains("trailing"));
        let r = HoldRequest::parse(br#"{"By":"a","New":1}"#).unwrap();
        assert_eq!((r.kind, r.stop), (HoldKind::User, false));
        assert!(ReleaseRequest::parse(br#"{"By":"a","Kind":"system"}"#).is_ok());
    }
}
