//! Sizes of the messages between controllers and a worker. The body of a report may have
//! 64 KiB, and it lists all tasks of the machine, ended ones included until they are
//! cleared. So a machine takes only as many tasks as its report can list, however few
//! resources they need. The commands that end or clear that many attempts fit an answer,
//! too.

use crate::ids::{Epoch, TaskId};
use crate::wire::user::{JobKind, JobSpec};
use crate::wire::worker::Command;

/// Bytes for the tasks of a report: 64 KiB, less what its other fields take.
pub const MAX_TASK_BYTES: i64 = 60 * 1024;
/// The last epoch for which the numbers of attempts are counted with all their digits.
const MAX_EPOCH: Epoch = Epoch(100_000);
/// Text of an entry around the names, the number and the cause.
const ENTRY: &str = r#"{"Piece":"/","Try":,"Status":"ended","Cause":""},"#;
/// Added where progress can be saved.
const SAVED: &str = r#","Kept":true"#;
/// The longest causes of an end, of a task by itself and of a member of a gang.
const TASK_CAUSE: &str = "stopped";
const GANG_CAUSE: &str = "mates_gone";
/// Bytes for the commands of one message to a worker: 64 KiB, less what its other fields
/// take.
const MAX_COMMAND_BYTES: usize = 63 * 1024;
/// Text of a command around the names and numbers.
const COMMAND: &str = r#"{"Verb":"clear","Piece":"/","Try":,"LeewayS":999999999.0},"#;

fn digits(number: u64) -> usize {
    number.max(1).ilog10() as usize + 1
}

fn entry_bytes(job_id: &str, index: u32) -> usize {
    ENTRY.len() + job_id.len() + digits(index as u64) + digits(MAX_EPOCH.base())
}

/// The most bytes that a task of the job takes in a report.
pub fn task_report_bytes(spec: &JobSpec) -> i64 {
    let cause = match spec.kind {
        JobKind::Gang => GANG_CAUSE,
        JobKind::Array | JobKind::Service => TASK_CAUSE,
    };
    let saved = if spec.checkpoint_s > 0.0 {
        SAVED.len()
    } else {
        0
    };
    let bytes = entry_bytes(spec.id.as_str(), spec.tasks) + cause.len() + saved;
    bytes as i64
}

/// The same for an attempt of which only its name is known.
pub fn attempt_report_bytes(task: &TaskId) -> i64 {
    let bytes = entry_bytes(task.job.as_str(), task.index.0) + GANG_CAUSE.len() + SAVED.len();
    bytes as i64
}

fn command_bytes(command: &Command) -> usize {
    let (Command::Run { task, attempt }
    | Command::Kill { task, attempt, .. }
    | Command::Clear { task, attempt }) = command;
    COMMAND.len() + task.job.as_str().len() + digits(task.index.0 as u64) + digits(attempt.0)
}

/// Leaves out of a message the clears that it has no room for: they are sent again with the
/// next one. Commands that stop attempts always stay, and those that start some are few.
pub fn limit_clears(commands: &mut Vec<Command>) {
    let others = commands.iter().filter(|command| !command.is_clear());
    let mut bytes: usize = others.map(command_bytes).sum();
    commands.retain(|command| {
        if !command.is_clear() {
            return true;
        }
        bytes += command_bytes(command);
        bytes <= MAX_COMMAND_BYTES
    });
}
