//! Encoding of jobs and their tasks in the state service.

use super::compact::{StartedTask, TaskRecord};
use super::{ActiveAttempt, Job, MAX_RUNTIMES, Phase, Rest};
use crate::ids::{Attempt, Host, TaskIndex};
use crate::sched::attempt_places::AttemptPlaces;
use crate::sched::dependency_ids::DependencyIds;
use crate::sched::estimate;
use crate::store::pieces::{self, RecordLimits};
use crate::time::{Time, WallTime};
use crate::wire::user::JobSpec;
use hookworks_job_lifecycle::{
    History, Hold, HoldKind, Holds, JobEvent, MAX_REASON_BYTES, WallMillis,
};
use serde::{Deserialize, Serialize};

/// Bytes reserved for the job itself in its first record.
const HEADER_BYTES: f64 = 1100.0;
/// Bytes of a started task in a legacy record, typically and at most with its failures, the
/// fixed size of such a record, and the bytes of one hold.
const BYTES_PER_TASK: f64 = 42.0;
const LEGACY_TASK_MAX_BYTES: usize = 48;
const LEGACY_BASE_BYTES: usize = 40;
const HOLD_BYTES: usize = 320;
/// Bytes of a started task in the compact format, typically and at most, and the fixed size
/// of such a record.
const COMPACT_TASK_BYTES: usize = 5;
const COMPACT_TASK_MAX_BYTES: usize = 16;
const COMPACT_BASE_BYTES: usize = 320;
/// The longest runtime that is stored, in seconds, and the maximum size in bytes of a
/// history's counts.
const MAX_RUNTIME_S: f64 = 99_999_999.9;
const MAX_COUNTS_BYTES: usize = 180;
/// Minimum and maximum bytes for a job's history.
const MIN_HISTORY_BYTES: usize = 130;
const MAX_HISTORY_BYTES: usize = 700;

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
    #[serde(default, skip_serializing_if = "DependencyIds::is_empty")]
    needs: DependencyIds,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<u64>,
    /// Absent in records written before histories were introduced.
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
    /// Bit set of the finished tasks, in hex words.
    #[serde(rename = "d", default)]
    done: String,
    #[serde(rename = "a", default)]
    live: Vec<(u32, u64, Host, u64)>,
    /// Failures that count towards the retry limit, a hex digit per task.
    #[serde(rename = "e", default, skip_serializing_if = "String::is_empty")]
    failures: String,
    /// Zone, build and kind of the machines of the active attempts.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    places: Option<AttemptPlaces>,
    #[serde(flatten)]
    rest: Rest,
}

/// The tasks of a record in either format. The earlier version can't read the compact one
/// and therefore leaves the job untouched.
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

/// A hold of each kind, with names that take the most bytes.
fn all_holds() -> Holds {
    let mut holds = Holds::default();
    for kind in [HoldKind::User, HoldKind::Operator, HoldKind::System] {
        holds.put(Hold {
            kind,
            by: "\u{1}".repeat(MAX_REASON_BYTES),
            why: String::new(),
            at: WallMillis(u64::MAX),
        });
    }
    holds
}

/// Leaves out of a job's record what no leader needs to run the job: its history and the
/// runtimes of its tasks.
fn forget_the_past(record: &mut serde_json::Value) {
    if let Some(fields) = record.as_object_mut() {
        fields.remove("h");
        fields.remove("runtimes");
    }
}

/// Converts the wall clock time `at` to the monotonic clock; `now` and `wall` are the
/// current times of both clocks.
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
        let live = || self.active.range(TaskIndex(from)..TaskIndex(to));
        let failures = self.failure_counts.encode(from, to);
        // Bytes left of the space that the part size was chosen for.
        let used = BYTES_PER_TASK as usize * live().count() + done.len() + failures.len();
        let left = (BYTES_PER_TASK as usize * self.part_size as usize).saturating_sub(used);
        PartRecord {
            done,
            live: live()
                .map(|(t, active)| {
                    (
                        t.0,
                        active.attempt.0,
                        active.host.clone(),
                        active.placed_wall.0,
                    )
                })
                .collect(),
            failures,
            places: AttemptPlaces::of(
                live().map(|(_, active)| active),
                left.saturating_sub(MIN_HISTORY_BYTES),
            ),
            rest: self.parts[part].rest.clone(),
        }
    }

    /// The tasks of a part, numbered from its first.
    fn task_record(&self, part: usize) -> TaskRecord {
        let (from, to) = self.part_range(part);
        let failures = self.failure_counts.encode(from, to);
        let digit = |c: char| c.to_digit(16).unwrap_or(0) as u8;
        let started = |(t, active): (&TaskIndex, &ActiveAttempt)| StartedTask {
            task: t.0 - from,
            attempt: active.attempt,
            host: active.host.clone(),
            placed: active.placed_wall,
            place: active.place.clone(),
        };
        let live = self.active.range(TaskIndex(from)..TaskIndex(to));
        TaskRecord {
            done: (from..to).map(|t| self.is_done(TaskIndex(t))).collect(),
            failures: failures.chars().map(digit).collect(),
            started: live.map(started).collect(),
        }
    }

    fn load_part(
        &mut self,
        part: usize,
        stored: StoredPart,
        now: Time,
        wall: WallTime,
    ) -> Option<()> {
        let (text, rest) = match stored {
            StoredPart::Legacy(record) => return self.load_legacy(part, record, now, wall),
            StoredPart::Compact(text) => (text, Rest::default()),
            StoredPart::CompactAndMore { text, rest } => (text, rest),
        };
        let decoded = TaskRecord::decode(&text);
        let record = decoded
            .inspect_err(
                |e| tracing::error!(job = %self.id(), part, error = %e, "compact record can't be decoded")
            )
            .ok()?;
        self.parts[part].rest = rest;
        self.load_tasks(part, record, now, wall)
    }

    fn load_legacy(&mut self, part: usize, r: PartRecord, now: Time, wall: WallTime) -> Option<()> {
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
        let places = r.places.map(|p| p.for_entries(&r.live)).unwrap_or_default();
        let mut places = places.into_iter();
        for (t, attempt, host, at) in r.live {
            let started = StartedTask {
                task: t,
                attempt: Attempt(attempt),
                host,
                placed: WallTime(at),
                place: places.next(),
            };
            self.load_started(started, now, wall)?;
        }
        self.failure_counts
            .decode(from, self.spec.tasks, &r.failures)?;
        self.parts[part].rest = r.rest;
        Some(())
    }

    fn load_tasks(&mut self, part: usize, r: TaskRecord, now: Time, wall: WallTime) -> Option<()> {
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
            self.load_started(started, now, wall)?;
        }
        let digit = |n: &u8| char::from_digit(*n as u32, 16);
        let failures: Option<String> = r.failures.iter().map(digit).collect();
        self.failure_counts
            .decode(from, self.spec.tasks, &failures?)
    }

    /// Takes over an attempt that an earlier leader started.
    fn load_started(&mut self, started: StartedTask, now: Time, wall: WallTime) -> Option<()> {
        if started.task >= self.spec.tasks {
            return None;
        }
        let age = crate::time::Span::millis(wall.0.saturating_sub(started.placed.0));
        let live = ActiveAttempt {
            attempt: started.attempt,
            host: started.host,
            place: started.place,
            required_version: 0,
            phase: Phase::Placed,
            placed: Time(now.0.saturating_sub(age.0)),
            placed_wall: started.placed,
            running_since: None,
            inherited: true,
            run_sent_in: None,
            run_sent: true,
            stop: None,
            timed_out: false,
        };
        self.active.insert(TaskIndex(started.task), live);
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
            met: self.conditions_met,
            never: self.conditions_unmeetable,
            needs: self.needs.clone(),
            ready_at: self.ready_at.map(|w| w.0),
            history: Some(self.history.encode(history_bytes)),
            rest: self.unknown_fields.clone(),
        };
        serde_json::to_value(header).unwrap_or_default()
    }

    /// Encodes one part in the legacy format; the first part also contains the job itself.
    pub fn encode(&self, part: usize) -> serde_json::Value {
        let record = self.legacy_part(part);
        if part > 0 {
            return serde_json::to_value(record).unwrap_or_default();
        }
        // Bytes left of the space that the part size was chosen for.
        let used = BYTES_PER_TASK as usize * record.live.len() + record.done.len();
        let used = used
            + record
                .places
                .as_ref()
                .map_or(0, AttemptPlaces::max_encoded_bytes);
        let used = used + record.failures.len() + HOLD_BYTES * self.holds.iter().count();
        let room = (BYTES_PER_TASK as usize * self.part_size as usize).saturating_sub(used);
        let history = room.clamp(MIN_HISTORY_BYTES, MAX_HISTORY_BYTES);
        let mut value = self.header(StoredPart::Legacy(record), self.holds.clone(), history);
        // A record that exceeds the limit of the state service would keep the job from ever
        // being stored again.
        let max_bytes = (HEADER_BYTES + BYTES_PER_TASK * self.part_size as f64) as usize;
        if !self.holds.is_empty() && value.to_string().len() > max_bytes {
            value["holds"] = serde_json::to_value(self.holds.abbreviated()).unwrap_or_default();
        }
        value
    }

    /// Encodes one part in the legacy format for a value of at most `max_bytes`. If that does
    /// not suffice, the places of its tasks are left out, then the reasons of holds, then
    /// its history, its runtimes and the names in holds.
    pub fn encode_legacy(&self, part: usize, max_bytes: usize) -> serde_json::Value {
        let mut value = self.encode(part);
        let fits = |value: &serde_json::Value| value.to_string().len() <= max_bytes;
        if !fits(&value) {
            let tasks = if part == 0 {
                &mut value["first"]
            } else {
                &mut value
            };
            tasks.as_object_mut().map(|fields| fields.remove("z"));
        }
        if part == 0 && !fits(&value) && !self.holds.is_empty() {
            value["holds"] = serde_json::to_value(self.holds.abbreviated()).unwrap_or_default();
        }
        if part == 0 && !fits(&value) {
            forget_the_past(&mut value);
            if !self.holds.is_empty() {
                value["holds"] = serde_json::to_value(self.holds.anonymous()).unwrap_or_default();
            }
        }
        value
    }

    /// Encodes one part in the compact format. The history is cut to fit into one value, or
    /// else into as many values as the record may have. If that does not suffice, the
    /// reasons of holds are left out, then the places of its tasks, then its history and
    /// runtimes.
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
        let minimal = |tasks: &TaskRecord, holds: &Holds| {
            self.header(
                StoredPart::compact(tasks, rest()),
                holds.clone(),
                MIN_HISTORY_BYTES,
            )
        };
        let mut holds = self.holds.clone();
        let mut value = minimal(&tasks, &holds);
        if !room.fits(&value) {
            holds = holds.abbreviated();
            value = minimal(&tasks, &holds);
        }
        if !room.fits(&value) {
            tasks.forget_places();
            value = minimal(&tasks, &holds);
        }
        if !room.fits(&value) {
            forget_the_past(&mut value);
            return value;
        }
        let bytes = value["h"].to_string().len() + room.growth_bytes(&value);
        if bytes > MIN_HISTORY_BYTES && self.history.entries().next().is_some() {
            value["h"] = self.history.encode(bytes.min(MAX_HISTORY_BYTES));
        }
        value
    }

    /// Upper bound of the values that the first record needs in the compact format.
    pub fn max_values(&self, value_bytes: usize) -> usize {
        pieces::values_needed(&self.largest_record().to_string(), value_bytes)
    }

    /// The first record in the compact format at its largest, with all its tasks started,
    /// failed before and held three times.
    pub fn largest_record(&self) -> serde_json::Value {
        let (from, to) = self.part_range(0);
        let bytes = COMPACT_BASE_BYTES + COMPACT_TASK_MAX_BYTES * (to - from) as usize;
        let mut value = self.with_largest_fields(bytes, all_holds().abbreviated());
        value["runtimes"] = vec![MAX_RUNTIME_S; MAX_RUNTIMES].into();
        value["h"] = "x".repeat(MAX_COUNTS_BYTES).into();
        value
    }

    /// The same in the legacy format, without all that [`Job::encode_legacy`] can leave out.
    pub fn largest_legacy_record(&self) -> serde_json::Value {
        let (from, to) = self.part_range(0);
        let bytes = LEGACY_BASE_BYTES + LEGACY_TASK_MAX_BYTES * (to - from) as usize;
        let mut value = self.with_largest_fields(bytes, all_holds().anonymous());
        forget_the_past(&mut value);
        value
    }

    /// A first record whose tasks take so many bytes, with the largest numbers that it may
    /// get later.
    fn with_largest_fields(&self, task_bytes: usize, holds: Holds) -> serde_json::Value {
        let tasks = StoredPart::Compact("x".repeat(task_bytes));
        let mut value = self.header(tasks, holds, 0);
        if !self.needs.is_empty() {
            value["ready_at"] = u64::MAX.into();
        }
        if !self.spec.start_conditions.is_empty() {
            value["met"] = u32::MAX.into();
            value["never"] = u32::MAX.into();
        }
        value
    }

    pub fn decode(value: &serde_json::Value, now: Time, wall: WallTime) -> Option<Job> {
        let header = Header::deserialize(value).ok()?;
        // Parts begin at whole words of the bit set.
        if header.part_size == 0 || !header.part_size.is_multiple_of(64) || header.spec.tasks == 0 {
            return None;
        }
        let mut job = Job::new(
            header.spec,
            header.seq,
            now,
            WallTime(header.at),
            header.part_size,
        );
        job.arrived = steady_time(now, wall, WallTime(header.at));
        let ready = header
            .ready_at
            .map(|at| steady_time(now, wall, WallTime(at)));
        job.ready_since = ready.unwrap_or(job.arrived);
        job.ready_at = header.ready_at.map(WallTime);
        job.needs = header.needs;
        job.cancelled = header.cancelled;
        job.median_runtime = estimate::median(&header.runtimes);
        job.runtimes = header.runtimes;
        job.holds = header.holds;
        job.stored_holds = job.holds.clone();
        (job.conditions_met, job.conditions_unmeetable) = (header.met, header.never);
        let history = header
            .history
            .and_then(|v| History::decode(WallMillis(header.at), &v));
        job.history = history.unwrap_or_else(|| History::new(WallMillis(header.at)));
        job.failed_before = job.history.count(JobEvent::Failed);
        job.unknown_fields = header.rest;
        // All parts are stored: their version counters start at 1.
        for part in &mut job.parts {
            part.version = 1;
            part.stored_version = 1;
        }
        job.load_part(0, header.first, now, wall)?;
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
        self.load_part(part, stored, now, wall)
    }
}

/// Parts begin and end at whole words of the bit set.
pub const MIN_PART_TASKS: u32 = 64;
const MAX_PART_TASKS: u32 = 512;

fn whole_words(tasks: u32) -> u32 {
    (tasks / MIN_PART_TASKS * MIN_PART_TASKS).clamp(MIN_PART_TASKS, MAX_PART_TASKS)
}

/// Number of tasks per record, such that a full record stays within the value limit.
pub fn part_size(value_kb: f64) -> u32 {
    whole_words(((value_kb * 1024.0 - HEADER_BYTES) / BYTES_PER_TASK).max(0.0) as u32)
}

/// Number of tasks per record in the compact format, such that a record usually fits into
/// one value.
pub fn compact_part_size(value_bytes: usize) -> u32 {
    whole_words((value_bytes.saturating_sub(COMPACT_BASE_BYTES / 4) / COMPACT_TASK_BYTES) as u32)
}
