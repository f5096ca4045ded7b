//! A job, its tasks and their attempts.

pub mod compact;
mod record;

pub use record::{MIN_PART_TASKS, compact_part_size, part_size};

use super::inheritance::Inherited;
use super::records::Purpose;
use hookworks_job_lifecycle::{FailureCounts, History, Holds, WallMillis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

use super::attempt_places::AttemptPlace;
use super::dependency_ids::DependencyIds;
use super::resources::Resources;
use crate::ids::{Attempt, Host, JobId, RequestId, Seq, TaskIndex};
use crate::time::{Time, WallTime};
use crate::wire::user::{JobKind, JobSpec, JobState};

/// Progress of an attempt, as last reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not reported by its machine yet.
    Placed,
    Fetching,
    Waiting,
    Running,
    Saving,
}

/// One attempt of a task. It occupies its machine, its team's quota and its zone until it is
/// known to have ended.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    pub attempt: Attempt,
    pub host: Host,
    /// Zone, build and kind of the machine; unknown for records stored without it.
    pub place: Option<AttemptPlace>,
    /// Version of its part that must be stored before `run` is sent.
    pub required_version: u64,
    pub phase: Phase,
    pub placed: Time,
    pub placed_wall: WallTime,
    pub running_since: Option<Time>,
    /// Placed by an earlier leader and not yet seen by this one before it ran.
    pub inherited: bool,
    /// The heartbeat in whose response `run` was last sent.
    pub run_sent_in: Option<Seq>,
    /// `run` has been sent, directly or in a heartbeat response.
    pub run_sent: bool,
    pub stop: Option<Stop>,
    /// It was stopped for exceeding its time limit.
    pub timed_out: bool,
}

/// A request to end an attempt, with the time in seconds that it has for saving.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub leeway_s: f64,
}

/// A range of a job's tasks that is stored as one record.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub version: u64,
    pub stored_version: u64,
    /// The purpose for which it is queued to be written.
    pub queued: Option<Purpose>,
    /// Unknown fields written by a later version, which are preserved.
    rest: Rest,
}

type Rest = serde_json::Map<String, serde_json::Value>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    Accept,
    Known,
    Cancel,
    /// A hold (`true`) or a release (`false`).
    Hold(bool),
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub need: Resources,
    pub seq: u64,
    pub arrived: Time,
    /// When its last dependency was done; the time of arrival if it has none.
    pub ready_since: Time,
    pub submitted: WallTime,
    pub cancelled: bool,
    /// Version of the first part that contains the cancellation; users are told only once
    /// that is stored.
    pub cancel_version: u64,
    /// Nothing is left to run; this final state is being stored.
    pub closing_state: Option<JobState>,
    /// Transactions with the final state that were sent and whose outcome is unknown: others
    /// may already have read the state from the store.
    pub unresolved_final_writes: u32,
    done: Vec<u64>,
    pub done_count: u32,
    next_unstarted: u32,
    retry_tasks: BTreeSet<TaskIndex>,
    pub active: BTreeMap<TaskIndex, ActiveAttempt>,
    pub parts: Vec<Part>,
    pub part_size: u32,
    pub runtimes: Vec<f64>,
    /// Median of the runtimes; cached because every pass needs it.
    pub median_runtime: Option<f64>,
    pub backoff_until: Time,
    /// Since when any of its tasks has waited to start, without interruption.
    pub waiting_since: Option<Time>,
    pub errors: u32,
    pub error_hosts: BTreeSet<Host>,
    /// Failed tasks under earlier leaders, on any machine.
    failed_before: u32,
    /// All tasks of the gang were running at the same time at some point.
    pub gang_ran: bool,
    pub waiters: Vec<(u64, RequestId, ReplyKind)>,
    pub holds: Holds,
    /// Holds that are durably stored; only these are shown to users, as newer ones could be
    /// lost. Then the version of the first part with the latest change of holds.
    pub stored_holds: Holds,
    pub holds_version: u64,
    /// Version of the first part with the latest release; nothing starts before it is
    /// stored.
    pub release_version: u64,
    /// Failures per task that count towards the retry limit.
    pub failure_counts: FailureCounts,
    pub history: History,
    pub ended: Option<WallTime>,
    /// Bit set of the start conditions that are met.
    pub conditions_met: u32,
    /// Bit set of the start conditions that can't be met any more and led to a hold: once
    /// released, that hold is not set again.
    pub conditions_unmeetable: u32,
    /// Jobs that must be done before any task of this one starts.
    pub needs: DependencyIds,
    /// How many dependencies were done since the job was last stored.
    pub needs_met_unsaved: u32,
    /// When the last dependency was done, if there were any.
    pub ready_at: Option<WallTime>,
    /// The dependency whose cancellation cancelled this job.
    pub cancelled_with: Option<JobId>,
    /// What it inherits from jobs that depend on it.
    pub(super) inherited: Inherited,
    /// For a job whose tasks each wait for the same task of another job: the tasks that need
    /// not wait any more, and how many still do.
    open_tasks: Vec<u64>,
    closed_count: u32,
    /// A part of its record could not be read.
    pub damaged: bool,
    /// Unknown fields written by a later version, which are preserved.
    unknown_fields: Rest,
}

/// A job that failed on so many machines and succeeded on none is itself at fault.
const MIN_FAILED_MACHINES: usize = 3;
/// Runtimes kept per job: enough for a median that further ones hardly change.
const MAX_RUNTIMES: usize = 15;

/// The final state of a job, stored forever.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct Final {
    pub state: JobState,
    pub done: u32,
}

impl Job {
    pub fn new(mut spec: JobSpec, seq: u64, now: Time, wall: WallTime, part_size: u32) -> Job {
        let n = spec.tasks;
        let needs = std::mem::take(&mut spec.dependencies);
        Job {
            need: Resources::of_task(&spec),
            spec,
            seq,
            arrived: now,
            ready_since: now,
            submitted: wall,
            cancelled: false,
            cancel_version: 0,
            closing_state: None,
            unresolved_final_writes: 0,
            done: vec![0; n.div_ceil(64) as usize],
            done_count: 0,
            next_unstarted: 0,
            retry_tasks: BTreeSet::new(),
            active: BTreeMap::new(),
            parts: vec![Part::default(); n.div_ceil(part_size) as usize],
            part_size,
            runtimes: vec![],
            median_runtime: None,
            backoff_until: Time::default(),
            waiting_since: None,
            errors: 0,
            error_hosts: BTreeSet::new(),
            failed_before: 0,
            gang_ran: false,
            waiters: vec![],
            holds: Holds::default(),
            stored_holds: Holds::default(),
            holds_version: 0,
            release_version: 0,
            failure_counts: FailureCounts::default(),
            history: History::new(WallMillis(wall.0)),
            ended: None,
            conditions_met: 0,
            conditions_unmeetable: 0,
            needs: needs.into_iter().collect(),
            needs_met_unsaved: 0,
            ready_at: None,
            cancelled_with: None,
            inherited: Inherited::default(),
            open_tasks: vec![],
            closed_count: 0,
            damaged: false,
            unknown_fields: Rest::default(),
        }
    }

    pub fn id(&self) -> &JobId {
        &self.spec.id
    }

    /// The state that is certain from a record that can't be read as a whole.
    pub fn state_of_unreadable(value: &serde_json::Value) -> JobState {
        match value.get("cancelled").and_then(serde_json::Value::as_bool) {
            Some(true) => JobState::Cancelled,
            _ => JobState::Queued,
        }
    }

    /// The job is on record, so it was not over before, and a later leader will find it.
    pub fn first_record_stored(&self) -> bool {
        self.parts[0].stored_version > 0
    }

    /// The cancellation is stored, so a later leader will find it.
    pub fn cancellation_stored(&self) -> bool {
        self.cancelled && self.parts[0].stored_version >= self.cancel_version
    }

    /// The state shown to users, from what is stored.
    pub fn state(&self) -> JobState {
        if self.cancelled {
            JobState::Cancelled
        } else if self.running() > 0 {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    pub fn running(&self) -> u32 {
        let is_running = |l: &&ActiveAttempt| matches!(l.phase, Phase::Running | Phase::Saving);
        self.active.values().filter(is_running).count() as u32
    }

    pub fn is_done(&self, t: TaskIndex) -> bool {
        self.done[t.0 as usize / 64] >> (t.0 % 64) & 1 == 1
    }

    pub fn set_done(&mut self, t: TaskIndex) {
        if !self.is_done(t) {
            self.done[t.0 as usize / 64] |= 1 << (t.0 % 64);
            self.done_count += 1;
            self.retry_tasks.remove(&t);
        }
    }

    /// It has failed on several machines and succeeded on none, so the job itself is likely
    /// at fault.
    pub fn failed_on_many_machines(&self) -> bool {
        let before = self.failed_before as usize;
        self.done_count == 0 && self.error_hosts.len().max(before) >= MIN_FAILED_MACHINES
    }

    /// Number of tasks that could be started now: neither active nor done, and not waiting.
    pub fn pending(&self) -> u32 {
        if self.cancelled || self.closing_state.is_some() || self.held() || self.blocked() {
            return 0;
        }
        if self.spec.kind == JobKind::Gang && self.done_count > 0 {
            return 0; // A gang completes as a whole, or has completed.
        }
        self.spec.tasks - self.done_count - self.active.len() as u32 - self.closed_count
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done_count
    }

    /// Takes the next task to start, which is then no longer pending.
    pub fn take_pending(&mut self) -> Option<TaskIndex> {
        if let Some(t) = self.retry_tasks.pop_first() {
            return Some(t);
        }
        while self.next_unstarted < self.spec.tasks {
            let t = TaskIndex(self.next_unstarted);
            self.next_unstarted += 1;
            if !self.is_done(t) && !self.active.contains_key(&t) {
                return Some(t);
            }
        }
        None
    }

    /// From now on each task waits for its counterpart in another job, except those already
    /// started or done.
    pub fn close_tasks(&mut self) {
        self.next_unstarted = self.spec.tasks;
        self.retry_tasks.clear();
        self.open_tasks = vec![0; self.done.len()];
        self.closed_count = self.spec.tasks;
        for t in (0..self.spec.tasks).map(TaskIndex) {
            if self.is_done(t) || self.active.contains_key(&t) {
                self.open_task(t);
            }
        }
    }

    /// The task's counterpart is done. Returns true if the task waited for it.
    pub fn open_task(&mut self, t: TaskIndex) -> bool {
        let (word, bit) = (t.0 as usize / 64, 1 << (t.0 % 64));
        match self.open_tasks.get_mut(word) {
            Some(w) if *w & bit == 0 => *w |= bit,
            _ => return false,
        }
        self.closed_count -= 1;
        if !self.is_done(t) && !self.active.contains_key(&t) {
            self.retry_tasks.insert(t);
        }
        true
    }

    /// Whether the task may be started: not waiting, active or done.
    pub fn is_startable(&self, t: TaskIndex) -> bool {
        let (word, bit) = (t.0 as usize / 64, 1 << (t.0 % 64));
        let open =
            self.open_tasks.is_empty() || self.open_tasks.get(word).is_some_and(|w| w & bit != 0);
        t.0 < self.spec.tasks && open && !self.is_done(t) && !self.active.contains_key(&t)
    }

    /// Requeues a task whose attempt ended without success.
    pub fn requeue(&mut self, t: TaskIndex) {
        if !self.is_done(t) && t.0 < self.next_unstarted {
            self.retry_tasks.insert(t);
        }
    }

    pub fn part_of(&self, t: TaskIndex) -> usize {
        (t.0 / self.part_size) as usize
    }

    /// Whether every change of the task's part is stored.
    pub fn part_stored(&self, t: TaskIndex) -> bool {
        let p = &self.parts[self.part_of(t)];
        p.stored_version >= p.version
    }

    /// First task of a part and the task after its last.
    pub fn part_range(&self, part: usize) -> (u32, u32) {
        let from = part as u32 * self.part_size;
        (from, (from + self.part_size).min(self.spec.tasks))
    }

    pub fn record_runtime(&mut self, s: f64) {
        if self.runtimes.len() < MAX_RUNTIMES {
            // Tenths of a second suffice and keep the record small.
            self.runtimes.push((s * 10.0).round() / 10.0);
            self.median_runtime = crate::sched::estimate::median(&self.runtimes);
        }
    }
}
