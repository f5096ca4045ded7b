//! A job and its tasks.

pub mod compact;
mod record;

pub use record::{LATER, LEAST_PART, compact_part_size, part_size};

use super::inheritance::Inherited;
use super::needs::Needs;
use super::places::Place;
use super::records::Purpose;
use super::room::Room;
use crate::ids::{Attempt, Host, JobId, RequestId, Seq, TaskIndex};
use crate::time::{Time, WallTime};
use crate::wire::user::{JobKind, JobSpec, JobState};
use hookworks_job_lifecycle::{FailureCounts as Attempts, History, Holds, WallMillis as At};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far a started task is, as far as its worker has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not seen on its machine yet.
    Placed,
    Fetching,
    Waiting,
    Running,
    Saving,
}

/// One start of a task. It holds its machine, quota and zone until it is
/// proven gone.
#[derive(Clone, Debug)]
pub struct Live {
    pub attempt: Attempt,
    pub host: Host,
    /// Where that is; not known of what was stored without it.
    pub place: Option<Place>,
    /// Version of its part of the job that must be stored before `run` leaves.
    pub ver: u64,
    pub phase: Phase,
    pub placed: Time,
    pub placed_wall: WallTime,
    pub running_since: Option<Time>,
    /// Placed under an earlier leader, and not seen before it ran.
    pub inherited: bool,
    /// The report in whose answer `run` was last sent.
    pub told: Option<Seq>,
    /// `run` has left by some way or other.
    pub sent: bool,
    pub stop: Option<Stop>,
    /// It was stopped for having run for too long.
    pub timed_out: bool,
}

/// An attempt that must end.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub leeway_s: f64,
}

/// A share of a job's tasks that is stored as one record.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub ver: u64,
    pub stored: u64,
    /// It waits to be written, for this purpose.
    pub queued: Option<Purpose>,
    /// Fields of a later version, which are not to be lost.
    rest: Rest,
}

type Rest = serde_json::Map<String, serde_json::Value>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    Accept,
    Known,
    Cancel,
    /// A hold, or a release.
    Hold(bool),
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub need: Room,
    pub seq: u64,
    pub arrived: Time,
    /// When the last job that it needs was done; when it arrived, if it needs none.
    pub ready: Time,
    pub submitted: WallTime,
    pub cancelled: bool,
    /// Version of the first part that says so; told only once stored.
    pub cancel_ver: u64,
    /// Nothing is left to do; the final state is being stored.
    pub closing: Option<JobState>,
    /// Transactions with the final state that were sent and of which it isn't known
    /// whether they were carried out: others may have read it there already.
    pub unresolved_final_writes: u32,
    done: Vec<u64>,
    pub done_count: u32,
    fresh: u32,
    retry: BTreeSet<TaskIndex>,
    pub live: BTreeMap<TaskIndex, Live>,
    pub parts: Vec<Part>,
    pub part_size: u32,
    pub runtimes: Vec<f64>,
    /// Of the runtimes; kept, since every pass asks for it.
    pub median: Option<f64>,
    pub backoff_until: Time,
    /// Since when some of it has waited to start, without a break.
    pub waiting_since: Option<Time>,
    pub errors: u32,
    pub error_hosts: BTreeSet<Host>,
    /// Tasks that failed under earlier leaders, wherever that was.
    failed_before: u32,
    /// All tasks of the gang's attempt were running at some time.
    pub gang_ran: bool,
    pub waiters: Vec<(u64, RequestId, Waiting)>,
    pub holds: Holds,
    /// What of that is stored for certain: nobody is shown more, as it could go
    /// back; and the version of the first part with the latest change.
    pub shown: Holds,
    pub holds_ver: u64,
    /// Version of the first part with the latest release; nothing starts
    /// before that is stored.
    pub release_ver: u64,
    /// Failures that count.
    pub attempts: Attempts,
    pub history: History,
    pub ended: Option<WallTime>,
    /// Which of the conditions to start are met, a bit each.
    pub met: u32,
    /// Which can't be met any more, and were told so by a hold: released, that
    /// hold does not come back.
    pub never: u32,
    /// Jobs that are to be done before anything of this one starts.
    pub needs: Needs,
    /// How many of them were done since the job was last stored.
    pub needs_met_unsaved: u32,
    /// When the last of them was done, if it needed any.
    pub ready_at: Option<WallTime>,
    /// The job that it needed and that was cancelled, by which it is cancelled.
    pub cancelled_with: Option<JobId>,
    /// What it takes over from jobs that need it.
    pub(super) inherited: Inherited,
    /// Of a job whose tasks wait for those of another: which need not wait any
    /// more, and how many still do.
    opened: Vec<u64>,
    closed: u32,
    /// A part of its record could not be read.
    pub damaged: bool,
    /// Fields of a later version, which are not to be lost.
    rest: Rest,
}

/// A job that failed on so many machines and worked on none is at fault.
const MACHINES_TO_BLAME: usize = 3;
/// Enough finished tasks for a median that later ones hardly move.
const RUNTIMES_KEPT: usize = 15;

/// The final state of a job, kept for ever.
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
            need: Room::of_task(&spec),
            spec,
            seq,
            arrived: now,
            ready: now,
            submitted: wall,
            cancelled: false,
            cancel_ver: 0,
            closing: None,
            unresolved_final_writes: 0,
            done: vec![0; n.div_ceil(64) as usize],
            done_count: 0,
            fresh: 0,
            retry: BTreeSet::new(),
            live: BTreeMap::new(),
            parts: vec![Part::default(); n.div_ceil(part_size) as usize],
            part_size,
            runtimes: vec![],
            median: None,
            backoff_until: Time::default(),
            waiting_since: None,
            errors: 0,
            error_hosts: BTreeSet::new(),
            failed_before: 0,
            gang_ran: false,
            waiters: vec![],
            holds: Holds::default(),
            shown: Holds::default(),
            holds_ver: 0,
            release_ver: 0,
            attempts: Attempts::default(),
            history: History::new(At(wall.0)),
            ended: None,
            met: 0,
            never: 0,
            needs: needs.into_iter().collect(),
            needs_met_unsaved: 0,
            ready_at: None,
            cancelled_with: None,
            inherited: Inherited::default(),
            opened: vec![],
            closed: 0,
            damaged: false,
            rest: Rest::default(),
        }
    }

    pub fn id(&self) -> &JobId {
        &self.spec.id
    }

    /// What a record that can't be read as a whole says for certain.
    pub fn state_of_unreadable(value: &serde_json::Value) -> JobState {
        match value.get("cancelled").and_then(serde_json::Value::as_bool) {
            Some(true) => JobState::Cancelled,
            _ => JobState::Queued,
        }
    }

    /// It is cancelled, and a later leader will find that.
    pub fn cancellation_stored(&self) -> bool {
        self.cancelled && self.parts[0].stored >= self.cancel_ver
    }

    /// The state to show to users, of what is stored.
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
        let on = |l: &&Live| matches!(l.phase, Phase::Running | Phase::Saving);
        self.live.values().filter(on).count() as u32
    }

    pub fn is_done(&self, t: TaskIndex) -> bool {
        self.done[t.0 as usize / 64] >> (t.0 % 64) & 1 == 1
    }

    pub fn set_done(&mut self, t: TaskIndex) {
        if !self.is_done(t) {
            self.done[t.0 as usize / 64] |= 1 << (t.0 % 64);
            self.done_count += 1;
            self.retry.remove(&t);
        }
    }

    /// It has failed on several machines and succeeded on none: the fault is
    /// likely its own.
    pub fn fails_everywhere(&self) -> bool {
        let before = self.failed_before as usize;
        self.done_count == 0 && self.error_hosts.len().max(before) >= MACHINES_TO_BLAME
    }

    /// Tasks that neither run nor are done.
    pub fn pending(&self) -> u32 {
        if self.cancelled || self.closing.is_some() || self.held() || self.blocked() {
            return 0;
        }
        if self.spec.kind == JobKind::Gang && self.done_count > 0 {
            return 0; // It completes together, or has.
        }
        self.spec.tasks - self.done_count - self.live.len() as u32 - self.closed
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done_count
    }

    /// The next task to start, which is then no longer pending.
    pub fn take_pending(&mut self) -> Option<TaskIndex> {
        if let Some(t) = self.retry.pop_first() {
            return Some(t);
        }
        while self.fresh < self.spec.tasks {
            let t = TaskIndex(self.fresh);
            self.fresh += 1;
            if !self.is_done(t) && !self.live.contains_key(&t) {
                return Some(t);
            }
        }
        None
    }

    /// Tasks wait for their counterparts from now on, but for those that have
    /// begun already.
    pub fn shut(&mut self) {
        self.fresh = self.spec.tasks;
        self.retry.clear();
        self.opened = vec![0; self.done.len()];
        self.closed = self.spec.tasks;
        for t in (0..self.spec.tasks).map(TaskIndex) {
            if self.is_done(t) || self.live.contains_key(&t) {
                self.open(t);
            }
        }
    }

    /// The task's counterpart is done. True if it waited for that.
    pub fn open(&mut self, t: TaskIndex) -> bool {
        let (word, bit) = (t.0 as usize / 64, 1 << (t.0 % 64));
        match self.opened.get_mut(word) {
            Some(w) if *w & bit == 0 => *w |= bit,
            _ => return false,
        }
        self.closed -= 1;
        if !self.is_done(t) && !self.live.contains_key(&t) {
            self.retry.insert(t);
        }
        true
    }

    /// The task has been started before, and waits to be started again.
    pub fn awaits_start(&self, t: TaskIndex) -> bool {
        let (word, bit) = (t.0 as usize / 64, 1 << (t.0 % 64));
        let open = self.opened.is_empty() || self.opened.get(word).is_some_and(|w| w & bit != 0);
        t.0 < self.spec.tasks && open && !self.is_done(t) && !self.live.contains_key(&t)
    }

    /// A started task is gone without being done.
    pub fn put_back(&mut self, t: TaskIndex) {
        if !self.is_done(t) && t.0 < self.fresh {
            self.retry.insert(t);
        }
    }

    pub fn part_of(&self, t: TaskIndex) -> usize {
        (t.0 / self.part_size) as usize
    }

    /// Everything that was ever changed in this part is stored.
    pub fn part_stored(&self, t: TaskIndex) -> bool {
        let p = &self.parts[self.part_of(t)];
        p.stored >= p.ver
    }

    /// The tasks of a part.
    pub fn part_range(&self, part: usize) -> (u32, u32) {
        let from = part as u32 * self.part_size;
        (from, (from + self.part_size).min(self.spec.tasks))
    }

    pub fn learn_runtime(&mut self, s: f64) {
        if self.runtimes.len() < RUNTIMES_KEPT {
            // Tenths will do, and keep the record small.
            self.runtimes.push((s * 10.0).round() / 10.0);
            self.median = crate::sched::estimate::median(&self.runtimes);
        }
    }
}
