//! How a job and its tasks are kept in the store.

use super::{Job, Live, Phase, Rest};
use crate::ids::{Attempt, Host, TaskIx};
use crate::sched::estimate;
use crate::sched::places::Places;
use crate::time::{Time, Wall};
use crate::wire::user::JobSpec;
use hookworks_job_lifecycle::{History, Holds, JobEvent as What, WallMillis as At};
use serde::{Deserialize, Serialize};

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

impl Job {
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
        job.arrived = Time(now.0.saturating_sub(1000 * wall.0.saturating_sub(h.at)));
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
}

/// How many tasks share a record, so that a full one stays under the limit.
pub fn part_size(value_kb: f64) -> u32 {
    let n = ((value_kb * 1024.0 - HEADER) / PER_TASK).max(64.0) as u32;
    (n / 64 * 64).clamp(64, 512)
}
