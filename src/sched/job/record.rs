//! How a job and its tasks are kept in the store.

use super::compact::{StartedTask, TaskRecord};
use super::{Job, Live, Phase, RUNTIMES_KEPT, Rest};
use crate::ids::{Attempt, Host, TaskIndex};
use crate::sched::estimate;
use crate::sched::needs::Needs;
use crate::sched::places::Places;
use crate::store::pieces::{self, RecordLimits};
use crate::time::{Time, WallTime};
use crate::wire::user::JobSpec;
use hookworks_job_lifecycle::{
    History, Hold, HoldKind, Holds, JobEvent as What, MAX_REASON_BYTES, WallMillis as At,
};
use serde::{Deserialize, Serialize};

/// Bytes kept for the job itself in its first record.
const HEADER: f64 = 1100.0;
/// What holds and a history take at least, once there are any.
pub const LATER: usize = 320;
/// Bytes that a started task takes in a record, and one hold.
const PER_TASK: f64 = 42.0;
const HOLD: usize = 320;
/// Bytes that a started task takes in the compact form, most of the time; a started
/// task at the most; and what such a record takes besides.
const COMPACT_TASK: usize = 5;
const COMPACT_TASK_MOST: usize = 16;
const COMPACT_BASE: usize = 320;
/// The longest runtime that is kept, in seconds, and the most that the counts of a
/// history take.
const LONGEST_RUNTIME: f64 = 99_999_999.9;
const COUNTS_MOST: usize = 180;
/// Bytes for a job's history: what it has at least, and at the most.
const LEAST_HISTORY: usize = 130;
const MOST_HISTORY: usize = 700;

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
    first: StoredPart,
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

/// The tasks of a record in either form. The earlier version can't read the compact
/// one, and so leaves the job alone.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredPart {
    Compact(String),
    CompactAndMore {
        #[serde(rename = "a")]
        text: String,
        #[serde(flatten)]
        rest: Rest,
    },
    Legacy(PartRecord),
}

impl StoredPart {
    fn compact(tasks: &TaskRecord, rest: Rest) -> StoredPart {
        let text = tasks.encode();
        match rest.is_empty() {
            true => StoredPart::Compact(text),
            false => StoredPart::CompactAndMore { text, rest },
        }
    }
}

/// The moment of the steady clock at which the clock on the wall showed `at`; `now` and
/// `wall` are what both show at present.
fn steady_time(now: Time, wall: WallTime, at: WallTime) -> Time {
    Time(now.0.saturating_sub(1000 * wall.0.saturating_sub(at.0)))
}

impl Job {
    fn legacy_part(&self, part: usize) -> PartRecord {
        let (from, to) = self.part_range(part);
        let words = &self.done[from as usize / 64..to.div_ceil(64) as usize];
        let done = if words.iter().all(|w| *w == 0) {
            String::new()
        } else {
            words.iter().map(|w| format!("{w:016x}")).collect()
        };
        let live = || self.live.range(TaskIndex(from)..TaskIndex(to));
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

    /// The tasks of a part, numbered from its first.
    fn task_record(&self, part: usize) -> TaskRecord {
        let (from, to) = self.part_range(part);
        let failures = self.attempts.encode(from, to);
        let digit = |c: char| c.to_digit(16).unwrap_or(0) as u8;
        let started = |(t, l): (&TaskIndex, &Live)| StartedTask {
            task: t.0 - from,
            attempt: l.attempt,
            host: l.host.clone(),
            placed: l.placed_wall,
            place: l.place.clone(),
        };
        let live = self.live.range(TaskIndex(from)..TaskIndex(to));
        TaskRecord {
            done: (from..to).map(|t| self.is_done(TaskIndex(t))).collect(),
            failures: failures.chars().map(digit).collect(),
            started: live.map(started).collect(),
        }
    }

    fn take_stored(
        &mut self,
        part: usize,
        stored: StoredPart,
        now: Time,
        wall: WallTime,
    ) -> Option<()> {
        let (text, rest) = match stored {
            StoredPart::Legacy(record) => return self.take_legacy(part, record, now, wall),
            StoredPart::Compact(text) => (text, Rest::default()),
            StoredPart::CompactAndMore { text, rest } => (text, rest),
        };
        let decoded = TaskRecord::decode(&text);
        let record = decoded
            .inspect_err(
                |e| tracing::error!(job = %self.id(), part, error = %e, "a compact record"),
            )
            .ok()?;
        self.parts[part].rest = rest;
        self.take_tasks(part, record, now, wall)
    }

    fn take_legacy(&mut self, part: usize, r: PartRecord, now: Time, wall: WallTime) -> Option<()> {
        let from = (part as u32).checked_mul(self.part_size)?;
        for (i, word) in r.done.as_bytes().chunks(16).enumerate() {
            let w = u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()?;
            for bit in (0..64).filter(|b| w >> b & 1 == 1) {
                let t = from + i as u32 * 64 + bit;
                if t >= self.spec.tasks {
                    return None;
                }
                self.set_done(TaskIndex(t));
            }
        }
        let places = r.places.map(|p| p.of_each(&r.live)).unwrap_or_default();
        let mut places = places.into_iter();
        for (t, attempt, host, at) in r.live {
            let started = StartedTask {
                task: t,
                attempt: Attempt(attempt),
                host,
                placed: WallTime(at),
                place: places.next(),
            };
            self.take_started(started, now, wall)?;
        }
        self.attempts.decode(from, self.spec.tasks, &r.failures)?;
        self.parts[part].rest = r.rest;
        Some(())
    }

    fn take_tasks(&mut self, part: usize, r: TaskRecord, now: Time, wall: WallTime) -> Option<()> {
        let (from, to) = self.part_range(part);
        let in_part = |count: usize| count <= (to - from) as usize;
        if !in_part(r.done.len()) || !in_part(r.failures.len()) {
            return None;
        }
        for (t, _) in (from..).zip(&r.done).filter(|(_, done)| **done) {
            self.set_done(TaskIndex(t));
        }
        for mut started in r.started {
            started.task = started.task.checked_add(from).filter(|t| *t < to)?;
            self.take_started(started, now, wall)?;
        }
        let digit = |n: &u8| char::from_digit(*n as u32, 16);
        let failures: Option<String> = r.failures.iter().map(digit).collect();
        self.attempts.decode(from, self.spec.tasks, &failures?)
    }

    /// A task that an earlier leader started.
    fn take_started(&mut self, started: StartedTask, now: Time, wall: WallTime) -> Option<()> {
        if started.task >= self.spec.tasks {
            return None;
        }
        let ago = crate::time::Span::millis(wall.0.saturating_sub(started.placed.0));
        let live = Live {
            attempt: started.attempt,
            host: started.host,
            place: started.place,
            ver: 0,
            phase: Phase::Placed,
            placed: Time(now.0.saturating_sub(ago.0)),
            placed_wall: started.placed,
            running_since: None,
            inherited: true,
            told: None,
            sent: true,
            stop: None,
            timed_out: false,
        };
        self.live.insert(TaskIndex(started.task), live);
        Some(())
    }

    fn header(&self, first: StoredPart, holds: Holds, history_bytes: usize) -> serde_json::Value {
        let header = Header {
            spec: self.spec.clone(),
            at: self.submitted.0,
            seq: self.seq,
            cancelled: self.cancelled,
            part_size: self.part_size,
            runtimes: self.runtimes.clone(),
            first,
            holds,
            met: self.met,
            never: self.never,
            needs: self.needs.clone(),
            ready_at: self.ready_at.map(|w| w.0),
            history: Some(self.history.encode(history_bytes)),
            rest: self.rest.clone(),
        };
        serde_json::to_value(header).unwrap_or_default()
    }

    /// The record of one part; the first also holds the job itself.
    pub fn encode(&self, part: usize) -> serde_json::Value {
        let record = self.legacy_part(part);
        if part > 0 {
            return serde_json::to_value(record).unwrap_or_default();
        }
        // What the tasks leave of the room that their number was made for.
        let used = PER_TASK as usize * record.live.len() + record.done.len();
        let used = used + record.places.as_ref().map_or(0, Places::size);
        let used = used + record.failures.len() + HOLD * self.holds.iter().count();
        let room = (PER_TASK as usize * self.part_size as usize).saturating_sub(used);
        let history = room.clamp(LEAST_HISTORY, MOST_HISTORY);
        let mut value = self.header(StoredPart::Legacy(record), self.holds.clone(), history);
        // A record that the state service does not take would keep the job
        // from ever being stored again.
        let most = (HEADER + PER_TASK * self.part_size as f64) as usize;
        if !self.holds.is_empty() && value.to_string().len() > most {
            value["holds"] = serde_json::to_value(self.holds.abbreviated()).unwrap_or_default();
        }
        value
    }

    /// The same in the compact form. It has as much of the history as leaves it in
    /// one value, or else in as many as it may have; with no room for that,
    /// the reasons of holds are left out, and then where its tasks are.
    pub fn encode_compact(&self, part: usize, room: RecordLimits) -> serde_json::Value {
        let mut tasks = self.task_record(part);
        let rest = || self.parts[part].rest.clone();
        if part > 0 {
            let full = StoredPart::compact(&tasks, rest());
            let value = serde_json::to_value(full).unwrap_or_default();
            if room.fits(&value) {
                return value;
            }
            tasks.forget_places();
            return serde_json::to_value(StoredPart::compact(&tasks, rest())).unwrap_or_default();
        }
        let least = |tasks: &TaskRecord, holds: &Holds| {
            self.header(
                StoredPart::compact(tasks, rest()),
                holds.clone(),
                LEAST_HISTORY,
            )
        };
        let mut holds = self.holds.clone();
        let mut value = least(&tasks, &holds);
        if !room.fits(&value) {
            holds = holds.abbreviated();
            value = least(&tasks, &holds);
        }
        if !room.fits(&value) {
            tasks.forget_places();
            value = least(&tasks, &holds);
        }
        let bytes = value["h"].to_string().len() + room.growth_bytes(&value);
        if bytes > LEAST_HISTORY && self.history.entries().next().is_some() {
            value["h"] = self.history.encode(bytes.min(MOST_HISTORY));
        }
        value
    }

    /// As many values as the first record may ever take in the compact form, with all
    /// its tasks started, failed before and held three times.
    pub fn most_values(&self, value_bytes: usize) -> usize {
        let (from, to) = self.part_range(0);
        let text = "x".repeat(COMPACT_BASE + COMPACT_TASK_MOST * (to - from) as usize);
        let mut holds = Holds::default();
        for kind in [HoldKind::User, HoldKind::Operator, HoldKind::System] {
            holds.put(Hold {
                kind,
                by: "\u{1}".repeat(MAX_REASON_BYTES),
                why: String::new(),
                at: At(u64::MAX),
            });
        }
        let mut value = self.header(StoredPart::Compact(text), holds.abbreviated(), 0);
        value["runtimes"] = vec![LONGEST_RUNTIME; RUNTIMES_KEPT].into();
        value["h"] = "x".repeat(COUNTS_MOST).into();
        if !self.needs.is_empty() {
            value["ready_at"] = u64::MAX.into();
        }
        pieces::values_needed(&value.to_string(), value_bytes)
    }

    pub fn decode(value: &serde_json::Value, now: Time, wall: WallTime) -> Option<Job> {
        let h = Header::deserialize(value).ok()?;
        // Parts begin at whole words of the bit set.
        if h.part_size == 0 || !h.part_size.is_multiple_of(64) || h.spec.tasks == 0 {
            return None;
        }
        let mut job = Job::new(h.spec, h.seq, now, WallTime(h.at), h.part_size);
        job.arrived = steady_time(now, wall, WallTime(h.at));
        let ready = h.ready_at.map(|at| steady_time(now, wall, WallTime(at)));
        job.ready = ready.unwrap_or(job.arrived);
        job.ready_at = h.ready_at.map(WallTime);
        job.needs = h.needs;
        job.cancelled = h.cancelled;
        job.median = estimate::median(&h.runtimes);
        job.runtimes = h.runtimes;
        job.holds = h.holds;
        job.shown = job.holds.clone();
        (job.met, job.never) = (h.met, h.never);
        let history = h.history.and_then(|v| History::decode(At(h.at), &v));
        job.history = history.unwrap_or_else(|| History::new(At(h.at)));
        job.failed_before = job.history.count(What::Failed);
        job.rest = h.rest;
        job.take_stored(0, h.first, now, wall)?;
        Some(job)
    }

    pub fn decode_part(
        &mut self,
        part: usize,
        value: &serde_json::Value,
        now: Time,
        wall: WallTime,
    ) -> Option<()> {
        let stored = StoredPart::deserialize(value).ok()?;
        if part == 0 || part >= self.parts.len() {
            return None;
        }
        self.take_stored(part, stored, now, wall)
    }
}

/// Parts begin and end at whole words of the bit set.
pub const LEAST_PART: u32 = 64;
const MOST_PART: u32 = 512;

fn whole_words(tasks: u32) -> u32 {
    (tasks / LEAST_PART * LEAST_PART).clamp(LEAST_PART, MOST_PART)
}

/// How many tasks share a record, so that a full one stays under the limit.
pub fn part_size(value_kb: f64) -> u32 {
    whole_words(((value_kb * 1024.0 - HEADER) / PER_TASK).max(0.0) as u32)
}

/// The same for the compact form, so that a record mostly is one value.
pub fn compact_part_size(value_bytes: usize) -> u32 {
    whole_words((value_bytes.saturating_sub(COMPACT_BASE / 4) / COMPACT_TASK) as u32)
}
