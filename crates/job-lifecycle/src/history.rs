//! What has happened to a job, and what it has used. Bounded: older details
//! fold into counts, and what is stored keeps to the room that it is given.

use crate::At;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Details kept at a time.
const KEPT: usize = 24;

/// What may happen to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
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
    Held,
    Released,
    /// A task is done.
    Done,
}

impl What {
    pub const ALL: [What; 8] = [
        What::Started,
        What::Stopped,
        What::Lost,
        What::Failed,
        What::TimedOut,
        What::Held,
        What::Released,
        What::Done,
    ];
}

/// The same, some times in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Entry {
    pub what: What,
    /// The first and the last of them, in milliseconds from the submission.
    pub from: u32,
    pub to: u32,
    pub times: u32,
}

/// Run time of a job's tasks, in task-milliseconds. All tasks of a job take the
/// same, so CPU-, accelerator- and GB-seconds follow by multiplication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Of tasks that are done, and progress that was saved.
    pub useful_ms: u64,
    /// What was run in vain.
    pub lost_ms: u64,
}

/// A job's history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    submitted: At,
    counts: [u32; What::ALL.len()],
    usage: Usage,
    entries: VecDeque<Entry>,
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
    pub fn new(submitted: At) -> History {
        History {
            submitted,
            ..History::default()
        }
    }

    fn since(&self, at: At) -> u32 {
        at.0.saturating_sub(self.submitted.0).min(u32::MAX as u64) as u32
    }

    pub fn note(&mut self, what: What, at: At) {
        let at = self.since(at);
        let n = &mut self.counts[what as usize];
        *n = n.saturating_add(1);
        if what == What::Started {
            self.first_start.get_or_insert(at);
        }
        match self.entries.back_mut() {
            Some(last) if last.what == what => {
                last.to = at;
                last.times += 1;
            }
            _ => {
                if self.entries.len() == KEPT {
                    self.entries.pop_front();
                }
                self.entries.push_back(Entry {
                    what,
                    from: at,
                    to: at,
                    times: 1,
                });
            }
        }
    }

    /// A task has run for so long, of which so much was of use.
    pub fn used(&mut self, ran_ms: u64, useful_ms: u64) {
        let useful = useful_ms.min(ran_ms);
        self.usage.useful_ms += useful;
        self.usage.lost_ms += ran_ms - useful;
    }

    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// How often this has happened, folded details included.
    pub fn count(&self, what: What) -> u32 {
        self.counts[what as usize]
    }

    pub fn first_start(&self) -> Option<At> {
        self.first_start.map(|ms| At(self.submitted.0 + ms as u64))
    }

    /// The latest details, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// For the record, in at most so many bytes: the oldest details go first.
    /// The counts and sums always stay, some 100 bytes.
    pub fn encode(&self, bytes: usize) -> serde_json::Value {
        let mut keep = self.entries.len();
        loop {
            let from = self.entries.len() - keep;
            let entry = |e: &Entry| (e.what as u8, e.from, e.to - e.from, e.times);
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
    pub fn decode(submitted: At, value: &serde_json::Value) -> Option<History> {
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
                let what = *What::ALL.get(what as usize)?;
                let to = from.checked_add(long)?;
                Some(Entry {
                    what,
                    from,
                    to,
                    times,
                })
            });
        h.entries = known.take(KEPT).collect();
        Some(h)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_life_stays_small_and_loses_no_count() {
        let mut h = History::new(At(1_000));
        for n in 0..10_000u64 {
            h.note(What::Started, At(1_000 + n * 500));
            h.note(What::Lost, At(1_200 + n * 500));
            h.used(300, 100);
        }
        h.note(What::Started, At(0));
        assert_eq!(h.entries().count(), KEPT);
        for bytes in [10, 200, 300, 400, 2048] {
            let v = h.encode(bytes);
            assert!(v.to_string().len() <= bytes.max(120), "{bytes}: {v}");
            let back = History::decode(At(1_000), &v).unwrap();
            assert_eq!(
                (back.count(What::Started), back.count(What::Lost)),
                (10_001, 10_000)
            );
            assert_eq!(back.usage().lost_ms, 2_000_000);
            assert_eq!(back.first_start(), Some(At(1_000)));
        }
        assert_eq!(History::decode(At(1_000), &h.encode(4096)).unwrap(), h);
    }

    #[test]
    fn the_same_in_a_row_is_one_entry() {
        let mut h = History::new(At(0));
        for at in [5, 6, 9] {
            h.note(What::Started, At(at));
        }
        h.note(What::Done, At(20));
        let all: Vec<_> = h
            .entries()
            .map(|e| (e.what, e.from, e.to, e.times))
            .collect();
        assert_eq!(all, [(What::Started, 5, 9, 3), (What::Done, 20, 20, 1)]);
    }

    /// Controllers are restarted one after the other, so records of a later
    /// version are read by an earlier one.
    #[test]
    fn what_a_later_version_adds_does_not_get_in_the_way() {
        let v = serde_json::json!({"c":[1,0,0,0,0,0,0,4,9,9],"u":[5,6],"x":1,"e":[[0,1,1,1],[200,1,1,1]]});
        let h = History::decode(At(0), &v).unwrap();
        assert_eq!((h.count(What::Done), h.entries().count()), (4, 1));
        assert!(History::decode(At(0), &serde_json::json!({"c":"no"})).is_none());
    }
}
