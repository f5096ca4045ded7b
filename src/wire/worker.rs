//! Talk with workers.

use crate::ids::{Attempt, Build, Host, Label, Seq, Session, TaskId, Token, Zone};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "Host")]
    pub host: Host,
    #[serde(rename = "Endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "Build")]
    pub build: Build,
    #[serde(rename = "Yard")]
    pub zone: Zone,
    #[serde(rename = "Lendable", default)]
    pub spot: bool,
    #[serde(rename = "Shift")]
    pub session: Session,
    #[serde(rename = "Tally")]
    pub seq: Seq,
    #[serde(rename = "Baton", default)]
    pub token: Token,
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Pieces", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "Piece")]
    pub task: TaskId,
    #[serde(rename = "Try")]
    pub attempt: Attempt,
    #[serde(rename = "Status")]
    pub state: TaskState,
    #[serde(rename = "Cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(rename = "Kept", default)]
    pub kept: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    Alone,
    Error,
    NoRoom,
    InUse,
    #[serde(other)]
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb")]
pub enum Order {
    #[serde(rename = "run")]
    Run {
        #[serde(rename = "Piece")]
        task: TaskId,
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
    #[serde(rename = "kill")]
    Kill {
        #[serde(rename = "Piece")]
        task: TaskId,
        #[serde(rename = "Try")]
        attempt: Attempt,
        #[serde(rename = "LeewayS")]
        leeway_s: f64,
    },
    #[serde(rename = "clear")]
    Clear {
        #[serde(rename = "Piece")]
        task: TaskId,
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "Baton")]
    pub token: Token,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// Commands that go straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "Baton")]
    pub token: Token,
    #[serde(rename = "Shift")]
    pub session: Session,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// Sends a worker to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "Foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<Label>,
}
