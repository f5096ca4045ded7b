//! What the version in production reads: a copy of its serde and bincode structs, as
//! the commit named in `deploy/service.toml` has them, with short names of fields only
//! where the stored form needs them. Not to be changed along with the code: it stands
//! for processes that are in service.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// `wire::user::JobSpec`.
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Id")]
    pub id: String,
    #[serde(rename = "Jobline")]
    class: String,
    #[serde(rename = "Crew")]
    team: String,
    #[serde(rename = "Shape")]
    kind: Kind,
    #[serde(rename = "Urgency")]
    priority: Priority,
    #[serde(rename = "Pieces")]
    tasks: u32,
    #[serde(rename = "Vcpus")]
    cpus: f64,
    #[serde(rename = "Accelerators")]
    gpus: f64,
    #[serde(rename = "RamGb")]
    memory_gb: f64,
    #[serde(rename = "Bundle")]
    image: String,
    #[serde(rename = "SizeGb")]
    image_gb: f64,
    #[serde(rename = "Builds", default, skip_serializing_if = "Option::is_none")]
    builds: Option<Vec<String>>,
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(rename = "OneZone")]
    one_zone: bool,
    #[serde(rename = "Scatter")]
    spread: bool,
    #[serde(rename = "Lendable")]
    spot: bool,
    #[serde(rename = "GuessS")]
    estimate_s: f64,
    #[serde(rename = "BookmarkS")]
    checkpoint_s: f64,
    #[serde(rename = "StowS")]
    save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    #[serde(rename = "LimitS", default, skip_serializing_if = "Option::is_none")]
    limit_s: Option<f64>,
    #[serde(rename = "After", default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<After>,
}

#[derive(Serialize, Deserialize)]
struct After {
    #[serde(rename = "Job")]
    job: String,
    #[serde(rename = "When")]
    when: When,
    #[serde(rename = "Each", default, skip_serializing_if = "std::ops::Not::not")]
    each: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum When {
    Start,
    End,
    Success,
    Failure,
}

#[derive(Serialize, Deserialize)]
enum Kind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

#[derive(Serialize, Deserialize)]
enum Priority {
    #[serde(rename = "production")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// `sched::job::Header`.
#[derive(Deserialize)]
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
    #[serde(default)]
    holds: Vec<Hold>,
    #[serde(default)]
    met: u32,
    #[serde(default)]
    never: u32,
    #[serde(rename = "h", default)]
    history: Option<Value>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// `sched::job::PartRecord`.
#[derive(Default, Deserialize)]
struct PartRecord {
    #[serde(rename = "d", default)]
    done: String,
    #[serde(rename = "a", default)]
    live: Vec<(u32, u64, String, u64)>,
    #[serde(rename = "e", default)]
    failures: String,
    #[serde(rename = "z", default)]
    places: Option<Places>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// `sched::places::Places`.
#[derive(Deserialize)]
struct Places {
    #[serde(rename = "k")]
    kinds: Vec<(String, String, bool)>,
    #[serde(rename = "i")]
    each: String,
    #[serde(rename = "c")]
    checksum: u32,
}

impl Places {
    fn of_each(&self, entries: &[(u32, u64, String, u64)]) -> Vec<Value> {
        let mut h = crc32fast::Hasher::new();
        for (_, attempt, host, _) in entries {
            h.update(&attempt.to_le_bytes());
            h.update(host.as_bytes());
        }
        let fits = self.each.len() == entries.len() && self.checksum == h.finalize();
        let place = |c: char| {
            let (zone, build, spot) = self.kinds.get(c.to_digit(36)? as usize)?.clone();
            Some(json!([zone, build, spot]))
        };
        let all: Option<Vec<Value>> = self.each.chars().map(place).collect();
        all.filter(|_| fits).unwrap_or_default()
    }
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HoldKind {
    User,
    Operator,
    System,
}

#[derive(Serialize, Deserialize)]
struct Hold {
    #[serde(rename = "Kind")]
    kind: HoldKind,
    #[serde(rename = "By")]
    by: String,
    #[serde(rename = "Why")]
    why: String,
    #[serde(rename = "AtMs")]
    at: u64,
}

/// `history::Record`.
#[derive(Deserialize)]
struct History {
    #[serde(rename = "c")]
    counts: Vec<u32>,
    #[serde(rename = "u")]
    usage: (u64, u64),
    #[serde(rename = "s", default)]
    first_start: Option<u32>,
    #[serde(rename = "e", default)]
    entries: Vec<(u8, u32, u32, u32)>,
}

const EVENTS: [&str; 8] = [
    "started",
    "stopped",
    "lost",
    "failed",
    "timed-out",
    "held",
    "released",
    "done",
];

/// What is read of a job.
pub struct Job {
    header: Header,
    done: Vec<u32>,
    live: BTreeMap<u32, Value>,
    failures: Vec<u8>,
    /// Fields that this version does not know, of the job and of each part.
    pub unknown: Vec<Map<String, Value>>,
}

/// A job's first record, as `Job::decode` reads it; none if that refuses it.
pub fn read_live(value: &Value) -> Option<Job> {
    let mut header = Header::deserialize(value).ok()?;
    if header.part_size == 0 || !header.part_size.is_multiple_of(64) || header.spec.tasks == 0 {
        return None;
    }
    let first = std::mem::take(&mut header.first);
    let mut job = Job {
        done: vec![],
        live: BTreeMap::new(),
        failures: vec![0; header.spec.tasks as usize],
        unknown: vec![std::mem::take(&mut header.rest)],
        header,
    };
    job.take_part(0, first)?;
    Some(job)
}

impl Job {
    /// A further record of it, as `Job::decode_part` reads it.
    pub fn read_part(&mut self, part: u32, value: &Value) -> Option<()> {
        let parts = self.header.spec.tasks.div_ceil(self.header.part_size);
        if part == 0 || part >= parts {
            return None;
        }
        self.take_part(part, PartRecord::deserialize(value).ok()?)
    }

    fn take_part(&mut self, part: u32, r: PartRecord) -> Option<()> {
        let from = part.checked_mul(self.header.part_size)?;
        let tasks = self.header.spec.tasks;
        for (i, word) in r.done.as_bytes().chunks(16).enumerate() {
            let w = u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()?;
            for bit in (0..64).filter(|b| w >> b & 1 == 1) {
                let task = from + i as u32 * 64 + bit;
                if task >= tasks {
                    return None;
                }
                self.done.push(task);
            }
        }
        let places = r.places.map(|p| p.of_each(&r.live)).unwrap_or_default();
        let mut places = places.into_iter();
        for (task, attempt, host, placed) in r.live {
            let place = places.next();
            if task >= tasks {
                return None;
            }
            let live = json!({
                "task": task, "attempt": attempt, "host": host, "placed": placed, "place": place,
            });
            self.live.insert(task, live);
        }
        if from as usize + r.failures.len() > tasks as usize {
            return None;
        }
        for (i, c) in r.failures.chars().enumerate() {
            self.failures[from as usize + i] = c.to_digit(16)? as u8;
        }
        self.unknown.push(r.rest);
        Some(())
    }

    /// As `dump_fixtures.rs` writes it.
    pub fn facts(&self) -> Value {
        let h = &self.header;
        let none = History {
            counts: vec![],
            usage: (0, 0),
            first_start: None,
            entries: vec![],
        };
        let read = h
            .history
            .as_ref()
            .and_then(|v| History::deserialize(v).ok());
        let history = read.unwrap_or(none);
        let mut counts = [0; EVENTS.len()];
        for (n, c) in counts.iter_mut().zip(&history.counts) {
            *n = *c;
        }
        let entry = |(what, from, long, times): &(u8, u32, u32, u32)| {
            let what = EVENTS.get(*what as usize)?;
            let to = from.checked_add(*long)?;
            Some(json!({"What": what, "From": from, "To": to, "Times": times}))
        };
        let entries = history.entries.iter().filter_map(entry).take(24);
        json!({
            "spec": h.spec, "seq": h.seq, "submitted": h.at,
            "cancelled": h.cancelled, "part_size": h.part_size, "runtimes": h.runtimes,
            "done": self.done, "live": self.live.values().collect::<Vec<_>>(),
            "failures": self.failures, "holds": h.holds, "met": h.met, "never": h.never,
            "counts": counts,
            "usage": {"useful_ms": history.usage.0, "lost_ms": history.usage.1},
            "first_start": history.first_start.map(|ms| h.at + u64::from(ms)),
            "history": entries.collect::<Vec<Value>>(),
        })
    }
}

/// What `node::load` finds in the records of unfinished jobs.
#[derive(Debug, Default, PartialEq)]
pub struct Loaded {
    pub jobs: Vec<String>,
    /// Left alone, and told as queued or cancelled.
    pub unreadable: Vec<String>,
    /// Deleted.
    pub litter: Vec<String>,
}

/// Reads all keys of the state service as a leader of this version does.
pub fn load(stored: &BTreeMap<String, Value>) -> Loaded {
    let mut found = Loaded::default();
    for (key, value) in stored {
        if let Some(id) = key.strip_prefix("hookworks/live/") {
            match read_live(value) {
                Some(job) if job.header.spec.id == id => found.jobs.push(id.into()),
                _ => found.unreadable.push(id.into()),
            }
        }
    }
    let parts = stored
        .keys()
        .filter_map(|k| k.strip_prefix("hookworks/part/"));
    for (id, part) in parts.filter_map(|name| name.rsplit_once('/')) {
        let is = |known: &[String]| known.iter().any(|k| k == id);
        if !is(&found.unreadable) && !is(&found.jobs) {
            found.litter.push(format!("{id}/{part}"));
        }
    }
    found
}

/// `sched::job::Final`, and what `sched::life` keeps beside it.
#[derive(Deserialize, Serialize)]
pub struct FinalRecord {
    state: FinalState,
    done: u32,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    facts: Option<Facts>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FinalState {
    Queued,
    Running,
    Done,
    Cancelled,
}

#[derive(Deserialize, Serialize)]
struct Facts {
    #[serde(rename = "c")]
    class: String,
    #[serde(rename = "t")]
    team: String,
    #[serde(rename = "n")]
    tasks: u32,
    #[serde(rename = "r")]
    takes: (f64, f64, f64),
    #[serde(rename = "at")]
    submitted: u64,
    #[serde(rename = "to", default, skip_serializing_if = "Option::is_none")]
    ended: Option<u64>,
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    due: Option<u64>,
    #[serde(rename = "h")]
    history: Value,
}

/// `lead::Leader`.
#[derive(Deserialize, Serialize)]
pub struct Leader {
    label: String,
    epoch: u64,
    instance: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    home: Option<Home>,
}

#[derive(Deserialize, Serialize)]
struct Home {
    addr: std::net::SocketAddr,
    #[serde(default)]
    system: Option<String>,
}

/// `sched::fences::FenceRecord`.
#[derive(Deserialize, Serialize)]
pub struct FenceRecord {
    epoch: u64,
    since: BTreeMap<String, u64>,
}

/// `wire::peer::Ask`.
#[derive(Debug, PartialEq, Encode, Decode)]
pub enum Ask {
    Submit(Vec<u8>),
    Poll(String),
    Cancel(String),
    Report(Vec<u8>),
    Hold(String, Vec<u8>),
    Release(String, Vec<u8>),
    Show(String),
    List(String),
    Events(String),
}

/// `wire::peer::PeerMsg`, with the answer as it is on the wire.
#[derive(Debug, PartialEq, Encode, Decode)]
pub enum PeerMsg {
    Ping {
        from: String,
        leader: Option<(String, u64)>,
        hears: Vec<String>,
        workers: u32,
    },
    Ask {
        id: u64,
        from: String,
        to: String,
        ask: Ask,
    },
    Tell {
        id: u64,
        to: String,
        answer: Answer,
    },
}

#[derive(Debug, PartialEq, Encode, Decode)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<u32>,
    pub valid_us: Option<u64>,
}

#[derive(Debug, PartialEq, Encode, Decode)]
pub struct PingMore {
    pub workers_most: Option<u32>,
    pub speaks: u32,
}

#[derive(Debug, PartialEq, Encode, Decode)]
pub struct PingSelf {
    pub instance: u64,
}

/// What follows a ping in its frame.
pub type Tail = (PingMore, Option<PingSelf>);

/// A frame, as `wire::peer_frame::read` reads it: what follows the tail is ignored.
pub fn read_frame(frame: &[u8]) -> Option<(PeerMsg, Option<Tail>)> {
    let config = bincode::config::standard();
    let length = u32::from_be_bytes(frame.get(..4)?.try_into().ok()?) as usize;
    let body = frame.get(4..4 + length)?;
    let (message, taken) = bincode::decode_from_slice(body, config).ok()?;
    let Ok((more, n)) = bincode::decode_from_slice(&body[taken..], config) else {
        return Some((message, None));
    };
    let own = bincode::decode_from_slice(&body[taken + n..], config);
    Some((message, Some((more, own.map(|o| o.0).ok()))))
}
