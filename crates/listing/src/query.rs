//! What a reader asks for.

use serde::{Deserialize, Serialize};

/// Lines of a page, unless asked otherwise, and at the most.
const PAGE: usize = 100;
const MOST: usize = 200;

/// Which jobs, by their state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Show {
    /// No task of it has started.
    Queued,
    /// Some of its tasks have started.
    Running,
    /// It is held.
    Held,
    /// It is done.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Queued or running.
    Unfinished,
    /// Done or cancelled.
    Finished,
}

const SHOWN: [(&str, Show); 7] = [
    ("queued", Show::Queued),
    ("running", Show::Running),
    ("held", Show::Held),
    ("done", Show::Done),
    ("cancelled", Show::Cancelled),
    ("unfinished", Show::Unfinished),
    ("finished", Show::Finished),
];

/// Reads the part of a URL behind `?` that asks for changes.
///
/// # Errors
/// One line that names what is wrong.
pub fn since(text: &str) -> Result<Option<crate::Mark>, String> {
    let mut mark = None;
    for (name, value) in form_urlencoded::parse(text.as_bytes()) {
        match name.as_ref() {
            "since" => mark = Some(crate::Mark::try_from(value.into_owned())?),
            other => return Err(format!("{other}: not known")),
        }
    }
    Ok(mark)
}

/// Where a page begins: after this job. Unfinished ones come first, so a job
/// that ends while somebody turns the pages is not missed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Position {
    /// After this unfinished job.
    Unfinished(String),
    /// After this finished job; empty: before the first of them.
    Finished(String),
}

impl TryFrom<String> for Position {
    type Error = String;
    fn try_from(s: String) -> Result<Position, String> {
        match s.split_once(':') {
            Some(("unfinished", id)) => Ok(Position::Unfinished(id.into())),
            Some(("finished", id)) => Ok(Position::Finished(id.into())),
            _ => Err("after: must be what an earlier page gave as Next".into()),
        }
    }
}

impl From<Position> for String {
    fn from(p: Position) -> String {
        match p {
            Position::Unfinished(id) => format!("unfinished:{id}"),
            Position::Finished(id) => format!("finished:{id}"),
        }
    }
}

/// A request for a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Of this team.
    pub team: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// In this state.
    pub show: Option<Show>,
    /// Submitted no earlier, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Where the page begins; none: with the first job.
    pub after: Option<Position>,
    /// Most lines.
    pub page: usize,
}

impl Query {
    /// Reads the part of a URL behind `?`.
    ///
    /// # Errors
    /// One line that names what is wrong; what is not known is refused, too,
    /// since a filter that is misspelt would show too much.
    pub fn parse(text: &str) -> Result<Query, String> {
        let mut q = Query {
            team: None,
            class: None,
            show: None,
            since_ms: None,
            after: None,
            page: PAGE,
        };
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let value = value.into_owned();
            match name.as_ref() {
                "team" => q.team = Some(value),
                "class" => q.class = Some(value),
                "state" => {
                    let known = SHOWN.iter().find(|s| s.0 == value);
                    let names = SHOWN.map(|s| s.0).join(", ");
                    q.show = Some(known.ok_or(format!("state: must be one of {names}"))?.1);
                }
                "since" => {
                    let ms = value.parse().ok();
                    q.since_ms = Some(ms.ok_or("since: must be milliseconds since 1970")?);
                }
                "after" => q.after = Some(Position::try_from(value)?),
                "page" => {
                    let n = value.parse().ok().filter(|n| (1..=MOST).contains(n));
                    q.page = n.ok_or(format!("page: must be 1 to {MOST}"))?;
                }
                other => return Err(format!("{other}: not known")),
            }
        }
        Ok(q)
    }

    /// Finished jobs can match.
    pub fn wants_finished(&self) -> bool {
        matches!(
            self.show,
            None | Some(Show::Done | Show::Cancelled | Show::Finished)
        )
    }

    /// Unfinished jobs can match, and the page is not past them.
    pub fn wants_unfinished(&self) -> bool {
        let over = matches!(
            self.show,
            Some(Show::Done | Show::Cancelled | Show::Finished)
        );
        !over && !matches!(self.after, Some(Position::Finished(_)))
    }
}
