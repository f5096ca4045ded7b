//! Messages between controllers and workers.

use crate::ids::{Attempt, ControllerId, Host, MachineTypeId, Seq, Session, TaskId, Token, Zone};
use serde::{Deserialize, Serialize};

/// A worker's heartbeat with all attempts on its machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The machine that it runs on.
    #[serde(rename = "Host")]
    pub host: Host,
    /// Address for direct calls, `HOST:PORT`.
    #[serde(rename = "Endpoint", default)]
    pub addr: Option<String>,
    /// The machine's type.
    #[serde(rename = "Build")]
    pub build: MachineTypeId,
    /// The machine's zone.
    #[serde(rename = "Yard")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "Lendable", default)]
    pub spot: bool,
    /// The worker's session: a new one begins when it has lost its lease.
    #[serde(rename = "Shift")]
    pub session: Session,
    /// Grows with each message; the one with the larger session and number is newer.
    #[serde(rename = "Tally")]
    pub seq: Seq,
    /// The largest fencing token that the worker has received.
    #[serde(rename = "Baton", default)]
    pub token: Token,
    /// Seconds until the cloud reclaims the spot instance, once announced.
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    /// Every attempt on the machine, including ended ones that were not cleared.
    #[serde(rename = "Pieces", default)]
    pub tasks: Vec<TaskReport>,
}

/// One attempt as its worker sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "Piece")]
    pub task: TaskId,
    /// Which start of the task it is.
    #[serde(rename = "Try")]
    pub attempt: Attempt,
    /// How far it is.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why it has ended, if it has.
    #[serde(rename = "Cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether the progress of a stopped attempt was saved.
    #[serde(rename = "Kept", default)]
    pub kept: bool,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// A member of a gang that waits for the others.
    Waiting,
    /// It runs.
    Running,
    /// It was told to stop and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// It is over and waits to be cleared.
    Ended,
}

/// Why an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It completed.
    Done,
    /// It was stopped by command.
    Stopped,
    /// Another member of its gang is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang was not complete in time.
    Alone,
    /// It failed.
    Error,
    /// Start refused: not enough resources on the machine.
    NoRoom,
    /// Start refused: another attempt of the task is on the machine.
    InUse,
    /// A cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb")]
pub enum Command {
    /// Start a task; nothing happens if that attempt is there already.
    #[serde(rename = "run")]
    Run {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// The number of this start.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Kill {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Which start of it.
        #[serde(rename = "Try")]
        attempt: Attempt,
        /// Seconds that it has to save; it does so only if that is long enough for it.
        #[serde(rename = "LeewayS")]
        leeway_s: f64,
    },
    /// Forget an attempt that has ended.
    #[serde(rename = "clear")]
    Clear {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Which start of it.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
}

impl Command {
    /// Whether it starts an attempt.
    pub fn is_run(&self) -> bool {
        matches!(self, Command::Run { .. })
    }

    /// Whether it makes the worker forget an attempt that has ended.
    pub fn is_clear(&self) -> bool {
        matches!(self, Command::Clear { .. })
    }
}

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// The leader's fencing token for this worker.
    #[serde(rename = "Baton")]
    pub token: Token,
    /// What the worker is to do.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    /// The leader's fencing token: the worker rejects one smaller than the largest received.
    #[serde(rename = "Baton")]
    pub token: Token,
    /// The session that they are addressed to; rejected in any other.
    #[serde(rename = "Shift")]
    pub session: Session,
    /// What the worker is to do.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Redirects a worker to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to.
    #[serde(rename = "Foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<ControllerId>,
}
