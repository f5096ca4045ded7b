//! The history of a job and its usage. Bounded: older entries are dropped, their
//! counts stay, and a record keeps to the bytes that it is given.

use crate::WallMillis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Entries kept at a time.
pub const MAX_ENTRIES: usize = 24;

/// What may happen to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEvent {
    /// A task runs.
    Started,
    /// A task was stopped.
    Stopped,
    /// A task's machine was lost.
    Lost,
    /// A task failed.
    Failed,
    /// A task ran for longer than it may.
    TimedOut,
    /// A hold was put.
    Held,
    /// A hold was released.
    Released,
    /// A task is done.
    Done,
}

impl JobEvent {
    /// All of them, in the order of their stored numbers.
    pub const ALL: [JobEvent; 8] = [
        JobEvent::Started,
        JobEvent::Stopped,
        JobEvent::Lost,
        JobEvent::Failed,
        JobEvent::TimedOut,
        JobEvent::Held,
        JobEvent::Released,
        JobEvent::Done,
    ];
}

/// An event that happened once or several times in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HistoryEntry {
    /// What happened.
    pub what: JobEvent,
    /// When it first did, in milliseconds from the submission.
    pub from: u32,
    /// When it last did, in milliseconds from the submission.
    pub to: u32,
    /// How often it did.
    pub times: u32,
}

/// Run time of a job's tasks, in task-milliseconds. All tasks of a job take the
/// same, so CPU-, accelerator- and GB-seconds follow by multiplication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Of tasks that are done, and progress that was saved.
    pub useful_ms: u64,
    /// Of attempts whose progress was lost.
    pub lost_ms: u64,
}

/// The history of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    submitted: WallMillis,
    counts: [u32; JobEvent::ALL.len()],
    usage: Usage,
    entries: VecDeque<HistoryEntry>,
    /// The first start of all, which folding must not lose.
    first_start: Option<u32>,
}

/// As it is stored: small names, small numbers.
#[derive(Serialize, Deserialize)]
struct Record {
    #[serde(rename = "c")]
    counts: Vec<u32>,
    #[serde(rename = "u")]
    usage: (u64, u64),
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    first_start: Option<u32>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    entries: Vec<(u8, u32, u32, u32)>,
}

impl History {
    /// The history of a job that was submitted then.
    pub fn new(submitted: WallMillis) -> History {
        History {
            submitted,
            ..History::default()
        }
    }

    fn since(&self, at: WallMillis) -> u32 {
        at.0.saturating_sub(self.submitted.0).min(u32::MAX as u64) as u32
    }

    /// Records an event.
    pub fn note(&mut self, what: JobEvent, at: WallMillis) {
        let at = self.since(at);
        let n = &mut self.counts[what as usize];
        *n = n.saturating_add(1);
        if what == JobEvent::Started {
            self.first_start.get_or_insert(at);
        }
        match self.entries.back_mut() {
            Some(last) if last.what == what => {
                // The next leader's clock may be behind.
                last.to = last.to.max(at);
                last.times += 1;
            }
            _ => {
                if self.entries.len() == MAX_ENTRIES {
                    self.entries.pop_front();
                }
                self.entries.push_back(HistoryEntry {
                    what,
                    from: at,
                    to: at,
                    times: 1,
                });
            }
        }
    }

    /// Records the run time of an attempt, and how much of it was useful.
    pub fn used(&mut self, ran_ms: u64, useful_ms: u64) {
        let useful = useful_ms.min(ran_ms);
        self.usage.useful_ms += useful;
        self.usage.lost_ms += ran_ms - useful;
    }

    /// The run time so far.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// How often this has happened, entries that were dropped included.
    pub fn count(&self, what: JobEvent) -> u32 {
        self.counts[what as usize]
    }

    /// When the first task of all started.
    pub fn first_start(&self) -> Option<WallMillis> {
        self.first_start
            .map(|ms| WallMillis(self.submitted.0 + ms as u64))
    }

    /// The latest entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// For the record, in at most so many bytes: the oldest entries are left out
    /// first. The counts and sums always stay, some 100 bytes.
    pub fn encode(&self, bytes: usize) -> serde_json::Value {
        let mut keep = self.entries.len();
        loop {
            let from = self.entries.len() - keep;
            let entry = |e: &HistoryEntry| (e.what as u8, e.from, e.to - e.from, e.times);
            let record = Record {
                counts: self.counts.to_vec(),
                usage: (self.usage.useful_ms, self.usage.lost_ms),
                first_start: self.first_start,
                entries: self.entries.range(from..).map(entry).collect(),
            };
            let text = serde_json::to_string(&record).unwrap_or_default();
            if text.len() <= bytes || keep == 0 {
                return serde_json::to_value(record).unwrap_or_default();
            }
            // Each takes 12 bytes or more.
            keep -= (text.len() - bytes).div_ceil(24).min(keep);
        }
    }

    /// Reads what [`History::encode`] wrote, or what a later version did: what
    /// is not known is left out.
    pub fn decode(submitted: WallMillis, value: &serde_json::Value) -> Option<History> {
        let r = Record::deserialize(value).ok()?;
        let mut h = History::new(submitted);
        for (n, c) in h.counts.iter_mut().zip(r.counts) {
            *n = c;
        }
        h.usage = Usage {
            useful_ms: r.usage.0,
            lost_ms: r.usage.1,
        };
        h.first_start = r.first_start;
        let known = r
            .entries
            .into_iter()
            .filter_map(|(what, from, long, times)| {
                let what = *JobEvent::ALL.get(what as usize)?;
                let to = from.checked_add(long)?;
                Some(HistoryEntry {
                    what,
                    from,
                    to,
                    times,
                })
            });
        h.entries = known.take(MAX_ENTRIES).collect();
        Some(h)
    }
}
