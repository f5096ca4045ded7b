//! Group commit: turns changed records into transactions that stay within the
//! service's limits. No I/O: what to send comes out, what became of it goes in.
//!
//! Every transaction is conditioned on the stamp of the leader's key and on
//! that of each record it changes, so what arrives late or from a leader that
//! is none any more fails.

mod counts;
mod draft;
mod outcomes;
mod records;
mod set_aside;

pub use counts::ChangeCounts;

use super::budget::Budget;
use super::format::RecordFormat;
use super::limits::{LimitsInForce, TxnSize};
use super::{FENCES, LEADER};
use crate::ids::{JobId, Stamp, TxnId};
use crate::sched::{PendingWrite, Purpose, Scheduler};
use crate::settings::{LimitValues, StateLimits};
use crate::time::Time;
use crate::wire::state::Txn;
use draft::{Draft, KeyWrite, SizedChange, What, Work};
use serde_json::Value;
use set_aside::SetAside;
use std::collections::{HashMap, HashSet};

/// Transactions under way at a time, and with those that somebody waits for:
/// a slow state service once made submissions queue behind all else.
const LANES: usize = 3;
const LANES_NOW: usize = 6;
/// Share of the write budget that must be left for litter to be swept.
const LITTER_RESERVE: f64 = 0.4;
/// Shares of the service's limits: what is left is for elections, reads and the
/// other controllers.
const WRITES_SHARE: f64 = 0.9;
const WRITES_BURST: f64 = 0.8;
/// A record in so many values must be written in one go, however few changes a second
/// there are.
const LEAST_BURST: f64 = 4.0;
const REQUESTS_SHARE: f64 = 0.6;
const REQUESTS_BURST: f64 = 0.3;

/// What became of an entry of the queue.
enum Taken {
    /// It is in the transaction, or there is nothing to be written any more.
    Yes,
    /// Something else of the job is under way.
    Busy,
    /// The transaction has no room left for it.
    Full,
    /// No transaction has room for it.
    TooLarge,
}

struct Sent {
    works: Vec<Work>,
    size: TxnSize,
}

pub struct Committer {
    leader: Stamp,
    limits: LimitsInForce,
    format: RecordFormat,
    stamps: HashMap<String, Stamp>,
    under_way: HashMap<TxnId, Sent>,
    /// Jobs in a transaction or being read back: nothing else of them is sent.
    busy: HashSet<JobId>,
    /// Keys being read back, for the job that waits for them.
    reading: HashMap<String, JobId>,
    /// Records left over from large jobs that are done, as they were last seen.
    litter: Vec<(String, Stamp)>,
    /// Records that the limits don't hold, and when they are tried again.
    set_aside: HashMap<(JobId, usize), SetAside>,
    /// So many transactions hold one record each: one of those in a transaction
    /// was refused, and the others are not to be refused with it.
    singly: usize,
    writes: Budget,
    requests: Budget,
    rest_until: Time,
    /// Since when changes have been refused for their rate, without a break.
    refused_since: Option<Time>,
    sent: ChangeCounts,
    summed_up: (Time, ChangeCounts),
    next: u64,
}

/// What the committer asks of its surroundings.
#[derive(Debug, PartialEq)]
pub enum Step {
    Read(String),
    /// The leader's key is no longer ours.
    Deposed,
}

impl Committer {
    pub fn new(leader: Stamp, settings: &StateLimits) -> Committer {
        let limits = LimitsInForce::new(settings);
        let (writes, requests) = budgets(limits.values());
        Committer {
            leader,
            limits,
            format: RecordFormat::default(),
            stamps: HashMap::new(),
            under_way: HashMap::new(),
            busy: HashSet::new(),
            reading: HashMap::new(),
            litter: vec![],
            set_aside: HashMap::new(),
            singly: 0,
            writes,
            requests,
            rest_until: Time::default(),
            refused_since: None,
            sent: ChangeCounts::default(),
            summed_up: (Time::default(), ChangeCounts::default()),
            next: 1,
        }
    }

    /// The form in which records are written from now on. The compact one is never
    /// given up again.
    pub fn set_format(&mut self, format: RecordFormat) {
        if format > self.format {
            self.format = format;
            self.retry_set_aside();
        }
    }

    /// Records found when the leader loaded its state.
    pub fn know(&mut self, key: String, stamp: Stamp) {
        self.stamps.insert(key, stamp);
    }

    /// A record without its job: what a finished large job left behind, or a
    /// submission that was never accepted. Its user may yet send that again, so it
    /// is deleted only as it was found.
    pub fn add_litter(&mut self, key: String, stamp: Stamp) {
        self.litter.push((key, stamp));
    }

    /// Shares of the budgets of changes and of requests that are used up.
    pub fn budgets_used(&mut self, now: Time) -> (f64, f64) {
        (
            1.0 - self.writes.left(now) / self.writes.burst(),
            1.0 - self.requests.left(now) / self.requests.burst(),
        )
    }

    /// Numbers for operators.
    pub fn overview(&mut self, now: Time) -> Value {
        let (changes, requests) = self.budgets_used(now);
        serde_json::json!({
            "changes_used": changes, "requests_used": requests,
            "transactions": self.under_way(),
            "limits": self.limits.overview(),
            "records": self.format,
            "set_aside": self.set_aside.len(),
            "changes": self.sent,
        })
    }

    /// The limits that are in force, as far as is known.
    pub fn limits(&self) -> &LimitsInForce {
        &self.limits
    }

    /// Changes sent so far, by what they were for.
    pub fn changes_sent(&self) -> ChangeCounts {
        self.sent
    }

    /// Records that the limits don't hold at the moment.
    pub fn set_aside(&self) -> usize {
        self.set_aside.len()
    }

    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    pub fn idle(&self) -> bool {
        self.under_way.is_empty() && self.reading.is_empty()
    }

    fn stamp(&self, key: &str) -> Stamp {
        self.stamps.get(key).copied().unwrap_or_default()
    }

    /// The next transaction to send, if any may be sent now.
    pub fn next(&mut self, now: Time, sched: &mut Scheduler) -> Option<(TxnId, Txn)> {
        self.sum_up(now);
        if self.limits.recover(now) {
            self.set_budgets(now);
        }
        if !self.may_send(now, sched) {
            return None;
        }
        if let Some(fences) = self.fences(now, sched) {
            return Some(fences);
        }
        self.queue_set_aside(now, sched);
        if sched.write_queue.is_empty() && self.litter.is_empty() {
            return None;
        }
        let budget = self.writes.left(now) as usize;
        let mut draft = Draft::new(self.limits.values().txn_ops.min(budget));
        if draft.most == 0 {
            return None;
        }
        self.add_records(now, sched, &mut draft);
        self.sweep_some(now, &mut draft);
        if draft.txn.changes.is_empty() {
            return None;
        }
        Some(self.send(now, draft))
    }

    fn may_send(&mut self, now: Time, sched: &Scheduler) -> bool {
        let lanes = if sched.write_queue.lengths()[0] > 0 {
            LANES_NOW
        } else {
            LANES
        };
        now >= self.rest_until && self.under_way.len() < lanes && self.requests.has(now, 1.0)
    }

    /// The share of the budget of changes that the draft leaves.
    fn share_left(&mut self, now: Time, draft: &Draft) -> f64 {
        let budget = self.writes.left(now) as usize;
        (budget as f64 - draft.changes() as f64) / self.writes.burst()
    }

    fn add_records(&mut self, now: Time, sched: &mut Scheduler, draft: &mut Draft) {
        let mut skipped = vec![];
        let alone = self.singly > 0;
        while (!alone || draft.works.is_empty())
            && let Some(d) = sched.write_queue.next(now, self.share_left(now, draft))
        {
            match self.add_record(sched, &d, draft) {
                Taken::Yes => {}
                Taken::Busy => skipped.push(d),
                Taken::TooLarge => self.put_aside(now, sched, (d.job, d.part), d.purpose),
                Taken::Full => {
                    if let Some(j) = sched.jobs.get_mut(&d.job) {
                        j.parts[d.part].queued = Some(d.purpose);
                    }
                    sched.write_queue.push_front(d);
                    break;
                }
            }
        }
        for d in skipped.into_iter().rev() {
            sched.write_queue.push_front(d);
        }
    }

    fn add_record(&mut self, sched: &mut Scheduler, d: &PendingWrite, draft: &mut Draft) -> Taken {
        // Within one transaction a job may appear with several parts.
        if self.busy.contains(&d.job) && !draft.has_job(&d.job) {
            return Taken::Busy;
        }
        let Some(j) = sched.jobs.get_mut(&d.job) else {
            return Taken::Yes;
        };
        if !j.dequeue_write(d.part, d.purpose) || draft.has_end_of(&d.job) {
            return Taken::Yes;
        }
        let end = sched.final_of(&d.job);
        let Some(j) = sched.jobs.get(&d.job) else {
            return Taken::Yes;
        };
        let aside = (d.job.clone(), d.part);
        if end.is_none() && self.set_aside.get(&aside).is_some_and(|a| !a.queued) {
            // It is queued again when its time has come.
            return Taken::Yes;
        }
        let (what, keys, changes) = match end {
            Some(end) => self.end_write(j, end),
            None => self.part_write(j, d.part),
        };
        let room = self.record_room();
        if changes.len() > room.values || changes.iter().any(|c| c.value_bytes > room.value_bytes) {
            return Taken::TooLarge;
        }
        if !draft.has_room(&changes) {
            return Taken::Full;
        }
        self.set_aside.remove(&aside);
        self.require(draft, &d.job, &what, &keys);
        changes.into_iter().for_each(|c| draft.add(c));
        if matches!(what, What::End) {
            sched.final_write_sent(&d.job);
        }
        self.busy.insert(d.job.clone());
        draft.works.push(Work {
            job: d.job.clone(),
            purpose: d.purpose,
            what,
            keys,
        });
        Taken::Yes
    }

    /// A little at a time along with the rest, and never what others wait for:
    /// the 300 records of one job once took all changes there were for 15 s.
    fn sweep_some(&mut self, now: Time, draft: &mut Draft) {
        let some = if draft.works.is_empty() {
            draft.most
        } else {
            1
        };
        for _ in 0..some {
            if draft.changes() >= draft.most || self.share_left(now, draft) < LITTER_RESERVE {
                break;
            }
            let Some((key, stamp)) = self.litter.pop() else {
                break;
            };
            draft.require(key.clone(), stamp);
            draft.add(SizedChange::delete(key));
            self.sent.garbage += 1;
        }
    }

    fn send(&mut self, now: Time, mut draft: Draft) -> (TxnId, Txn) {
        draft.require(LEADER.into(), self.leader);
        self.writes.take(now, draft.changes() as f64);
        self.requests.take(now, 1.0);
        self.singly = self.singly.saturating_sub(1);
        for w in &draft.works {
            match w.what {
                What::Fences(_) => self.sent.fences += 1,
                _ => self.sent.note(w.purpose, w.keys.len()),
            }
        }
        let id = TxnId(self.next);
        self.next += 1;
        let sent = Sent {
            works: draft.works,
            size: draft.size,
        };
        self.under_way.insert(id, sent);
        (id, draft.txn)
    }

    fn set_budgets(&mut self, now: Time) {
        let (writes, requests) = budgets(self.limits.values());
        self.writes.change_to(now, writes);
        self.requests.change_to(now, requests);
    }

    /// The record of fenced zones goes first: workers wait for it. It takes its
    /// turns like a job's record, under a name that no job has.
    fn fences(&mut self, now: Time, sched: &mut Scheduler) -> Option<(TxnId, Txn)> {
        let job = JobId::from("");
        if self.busy.contains(&job) {
            return None;
        }
        let (record, ver) = sched.fences_to_write()?;
        let record = record.truncated_to(self.limits.value_bytes());
        let value = serde_json::to_value(record).unwrap_or_default();
        let mut draft = Draft::new(1);
        draft.require(FENCES.into(), self.stamp(FENCES));
        draft.add(SizedChange::put(FENCES.into(), value));
        self.busy.insert(job.clone());
        draft.works.push(Work {
            job,
            purpose: Purpose::Now,
            what: What::Fences(ver),
            keys: vec![KeyWrite {
                key: FENCES.into(),
                put: true,
            }],
        });
        Some(self.send(now, draft))
    }
}

/// The budgets of changes and of requests under these limits.
fn budgets(limits: &LimitValues) -> (Budget, Budget) {
    let burst = (limits.write_rps * WRITES_BURST).max(LEAST_BURST);
    let writes = Budget::new(limits.write_rps * WRITES_SHARE, burst);
    let requests = Budget::new(limits.rps * REQUESTS_SHARE, limits.rps * REQUESTS_BURST);
    (writes, requests)
}
