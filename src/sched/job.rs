//! A job, its tasks, and how both are kept in the store.

use super::inheritance::Inherited;
use super::needs::Needs;
use super::places::{Place, Places};
use super::records::Purpose;
use super::room::Room;
use crate::ids::{Attempt, Host, JobId, ReqId, Seq, TaskIx};
use crate::time::{Time, Wall};
use crate::wire::user::{JobSpec, JobState, Kind};
use hookworks_job_lifecycle::{
    FailureCounts as Attempts, History, Holds, JobEvent as What, WallMillis as At,
};
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
    pub placed_wall: Wall,
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
    pub submitted: Wall,
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
    retry: BTreeSet<TaskIx>,
    pub live: BTreeMap<TaskIx, Live>,
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
    pub waiters: Vec<(u64, ReqId, Waiting)>,
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
    pub ended: Option<Wall>,
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
    pub ready_at: Option<Wall>,
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

/// Bytes kept for the job itself in its first record.
const HEADER: f64 = 1100.0;
/// What holds and a history take at least, once there are any.
pub const LATER: usize = 320;
/// Bytes that a started task takes in a record, and one hold.
const PER_TASK: f64 = 42.0;
const HOLD: usize = 320;
/// Bytes for a job's history: what it has at least, and at the most.
const LEAST_HISTORY: usize = 130;
const MOST_HISTORY: usize = 700;

/// A job that failed on so many machines and worked on none is at fault.
const MACHINES_TO_BLAME: usize = 3;
/// Enough finished tasks for a median that later ones hardly move.
const RUNTIMES_KEPT: usize = 15;

#[derive(Serialize, Deserialize)]
struct Header {
    spec: JobSpec,
    at: u64,
    seq: u64,
    #[serde(default)]
    cancelled: bool,
    part_size: u32,
    #[serde(default)]
    runtimes: Vec<f64>,
    first: PartRecord,
    #[serde(default, skip_serializing_if = "Holds::is_empty")]
    holds: Holds,
    #[serde(default, skip_serializing_if = "none_met")]
    met: u32,
    #[serde(default, skip_serializing_if = "none_met")]
    never: u32,
    #[serde(default, skip_serializing_if = "Needs::is_empty")]
    needs: Needs,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<u64>,
    /// Of a record from before there were histories there is none.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    history: Option<serde_json::Value>,
    #[serde(flatten)]
    rest: Rest,
}

fn none_met(met: &u32) -> bool {
    *met == 0
}

#[derive(Default, Serialize, Deserialize)]
struct PartRecord {
    /// Bits of the finished tasks, in hex words.
    #[serde(rename = "d", default)]
    done: String,
    #[serde(rename = "a", default)]
    live: Vec<(u32, u64, Host, u64)>,
    /// Failures that count, a hex digit for each task.
    #[serde(rename = "e", default, skip_serializing_if = "String::is_empty")]
    failures: String,
    /// Where the live attempts are.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    places: Option<Places>,
    #[serde(flatten)]
    rest: Rest,
}

/// The final state of a job, kept for ever.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct Final {
    pub state: JobState,
    pub done: u32,
}

impl Job {
    pub fn new(mut spec: JobSpec, seq: u64, now: Time, wall: Wall, part_size: u32) -> Job {
        let n = spec.tasks;
        let needs = std::mem::take(&mut spec.needs);
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

    pub fn is_done(&self, t: TaskIx) -> bool {
        self.done[t.0 as usize / 64] >> (t.0 % 64) & 1 == 1
    }

    pub fn set_done(&mut self, t: TaskIx) {
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
        if self.spec.kind == Kind::Gang && self.done_count > 0 {
            return 0; // It completes together, or has.
        }
        self.spec.tasks - self.done_count - self.live.len() as u32 - self.closed
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done_count
    }

    /// The next task to start, which is then no longer pending.
    pub fn take_pending(&mut self) -> Option<TaskIx> {
        if let Some(t) = self.retry.pop_first() {
            return Some(t);
        }
        while self.fresh < self.spec.tasks {
            let t = TaskIx(self.fresh);
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
        for t in (0..self.spec.tasks).map(TaskIx) {
            if self.is_done(t) || self.live.contains_key(&t) {
                self.open(t);
            }
        }
    }

    /// The task's counterpart is done. True if it waited for that.
    pub fn open(&mut self, t: TaskIx) -> bool {
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
    pub fn awaits_start(&self, t: TaskIx) -> bool {
        let (word, bit) = (t.0 as usize / 64, 1 << (t.0 % 64));
        let open = self.opened.is_empty() || self.opened.get(word).is_some_and(|w| w & bit != 0);
        t.0 < self.spec.tasks && open && !self.is_done(t) && !self.live.contains_key(&t)
    }

    /// A started task is gone without being done.
    pub fn put_back(&mut self, t: TaskIx) {
        if !self.is_done(t) && t.0 < self.fresh {
            self.retry.insert(t);
        }
    }

    pub fn part_of(&self, t: TaskIx) -> usize {
        (t.0 / self.part_size) as usize
    }

    /// Everything that was ever changed in this part is stored.
    pub fn part_stored(&self, t: TaskIx) -> bool {
        let p = &self.parts[self.part_of(t)];
        p.stored >= p.ver
    }

    /// The tasks of a part.
    pub fn part_range(&self, part: usize) -> (u32, u32) {
        let from = part as u32 * self.part_size;
        (from, (from + self.part_size).min(self.spec.tasks))
    }

    fn part_record(&self, part: usize) -> PartRecord {
        let (from, to) = self.part_range(part);
        let words = &self.done[from as usize / 64..to.div_ceil(64) as usize];
        let done = if words.iter().all(|w| *w == 0) {
            String::new()
        } else {
            words.iter().map(|w| format!("{w:016x}")).collect()
        };
        let live = || self.live.range(TaskIx(from)..TaskIx(to));
        let failures = self.attempts.encode(from, to);
        // What the tasks leave of the room that their number was made for.
        let used = PER_TASK as usize * live().count() + done.len() + failures.len();
        let left = (PER_TASK as usize * self.part_size as usize).saturating_sub(used);
        PartRecord {
            done,
            live: live()
                .map(|(t, l)| (t.0, l.attempt.0, l.host.clone(), l.placed_wall.0))
                .collect(),
            failures,
            places: Places::of(live().map(|(_, l)| l), left.saturating_sub(LEAST_HISTORY)),
            rest: self.parts[part].rest.clone(),
        }
    }

    fn take_part(&mut self, part: usize, r: PartRecord, now: Time, wall: Wall) -> Option<()> {
        let from = (part as u32).checked_mul(self.part_size)?;
        for (i, word) in r.done.as_bytes().chunks(16).enumerate() {
            let w = u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()?;
            for bit in (0..64).filter(|b| w >> b & 1 == 1) {
                let t = from + i as u32 * 64 + bit;
                if t >= self.spec.tasks {
                    return None;
                }
                self.set_done(TaskIx(t));
            }
        }
        let places = r.places.map(|p| p.of_each(&r.live)).unwrap_or_default();
        let mut places = places.into_iter();
        for (t, attempt, host, at) in r.live {
            let place = places.next();
            if t >= self.spec.tasks {
                return None;
            }
            let ago = crate::time::Span::millis(wall.0.saturating_sub(at));
            let live = Live {
                attempt: Attempt(attempt),
                host,
                place,
                ver: 0,
                phase: Phase::Placed,
                placed: Time(now.0.saturating_sub(ago.0)),
                placed_wall: Wall(at),
                running_since: None,
                inherited: true,
                told: None,
                sent: true,
                stop: None,
                timed_out: false,
            };
            self.live.insert(TaskIx(t), live);
        }
        self.attempts.decode(from, self.spec.tasks, &r.failures)?;
        self.parts[part].rest = r.rest;
        Some(())
    }

    /// The record of one part; the first also holds the job itself.
    pub fn encode(&self, part: usize) -> serde_json::Value {
        let record = self.part_record(part);
        let value = if part == 0 {
            // What the tasks leave of the room that their number was made for.
            let used = PER_TASK as usize * record.live.len() + record.done.len();
            let used = used + record.places.as_ref().map_or(0, Places::size);
            let used = used + record.failures.len() + HOLD * self.holds.iter().count();
            let room = (PER_TASK as usize * self.part_size as usize).saturating_sub(used);
            let history = self.history.encode(room.clamp(LEAST_HISTORY, MOST_HISTORY));
            serde_json::to_value(Header {
                spec: self.spec.clone(),
                at: self.submitted.0,
                seq: self.seq,
                cancelled: self.cancelled,
                part_size: self.part_size,
                runtimes: self.runtimes.clone(),
                first: record,
                holds: self.holds.clone(),
                met: self.met,
                never: self.never,
                needs: self.needs.clone(),
                ready_at: self.ready_at.map(|w| w.0),
                history: Some(history),
                rest: self.rest.clone(),
            })
        } else {
            serde_json::to_value(record)
        };
        let mut value = value.unwrap_or_default();
        // A record that the state service does not take would keep the job
        // from ever being stored again.
        let most = (HEADER + PER_TASK * self.part_size as f64) as usize;
        if part == 0 && !self.holds.is_empty() && value.to_string().len() > most {
            value["holds"] = serde_json::to_value(self.holds.abbreviated()).unwrap_or_default();
        }
        value
    }

    pub fn decode(value: &serde_json::Value, now: Time, wall: Wall) -> Option<Job> {
        let h = Header::deserialize(value).ok()?;
        // Parts begin at whole words of the bit set.
        if h.part_size == 0 || !h.part_size.is_multiple_of(64) || h.spec.tasks == 0 {
            return None;
        }
        let mut job = Job::new(h.spec, h.seq, now, Wall(h.at), h.part_size);
        let time_of = |at: u64| Time(now.0.saturating_sub(1000 * wall.0.saturating_sub(at)));
        job.arrived = time_of(h.at);
        job.ready = h.ready_at.map_or(job.arrived, time_of);
        job.ready_at = h.ready_at.map(Wall);
        job.needs = h.needs;
        job.cancelled = h.cancelled;
        job.median = super::estimate::median(&h.runtimes);
        job.runtimes = h.runtimes;
        job.holds = h.holds;
        job.shown = job.holds.clone();
        (job.met, job.never) = (h.met, h.never);
        let history = h.history.and_then(|v| History::decode(At(h.at), &v));
        job.history = history.unwrap_or_else(|| History::new(At(h.at)));
        job.failed_before = job.history.count(What::Failed);
        job.rest = h.rest;
        job.take_part(0, h.first, now, wall)?;
        Some(job)
    }

    pub fn decode_part(
        &mut self,
        part: usize,
        value: &serde_json::Value,
        now: Time,
        wall: Wall,
    ) -> Option<()> {
        let r = PartRecord::deserialize(value).ok()?;
        if part == 0 || part >= self.parts.len() {
            return None;
        }
        self.take_part(part, r, now, wall)
    }

    pub fn learn_runtime(&mut self, s: f64) {
        if self.runtimes.len() < RUNTIMES_KEPT {
            // Tenths will do, and keep the record small.
            self.runtimes.push((s * 10.0).round() / 10.0);
            self.median = super::estimate::median(&self.runtimes);
        }
    }
}

/// How many tasks share a record, so that a full one stays under the limit.
pub fn part_size(value_kb: f64) -> u32 {
    let n = ((value_kb * 1024.0 - HEADER) / PER_TASK).max(64.0) as u32;
    (n / 64 * 64).clamp(64, 512)
}
