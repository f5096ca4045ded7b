//! Group commit: turns changed records into transactions that stay within the
//! service's limits. No I/O: what to send comes out, what became of it goes in.
//!
//! Every transaction is conditioned on the stamp of the leader's key and on
//! that of each record it changes, so what arrives late or from a leader that
//! is none any more fails.

use super::budget::Budget;
use super::client::Outcome;
use super::format::RecordFormat;
use super::{FENCES, LEADER, final_key, part_key};
use crate::ids::{JobId, Stamp, TxnId};
use crate::sched::job::Final;
use crate::sched::{Dirty, Event, Key, Purpose, Sched};
use crate::settings::StateLimits;
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use std::collections::{HashMap, HashSet};

/// Transactions under way at a time, and with those that somebody waits for:
/// a slow state service once made submissions queue behind all else.
const LANES: usize = 3;
const LANES_NOW: usize = 6;
/// Share of the write budget that must be left for litter to be swept.
const LITTER_RESERVE: f64 = 0.4;
/// Room left in a transaction of 64 KiB.
const MAX_BYTES: usize = 56 * 1024;

struct Work {
    job: JobId,
    purpose: Purpose,
    /// The part and its version, or the end of the job.
    what: What,
    keys: Vec<(String, bool)>,
}

enum What {
    Part(usize, u64),
    End,
    /// The record of fenced zones, which belongs to no job.
    Fences(u64),
}

pub struct Committer {
    leader: Stamp,
    limits: StateLimits,
    format: RecordFormat,
    stamps: HashMap<String, Stamp>,
    under_way: HashMap<TxnId, Vec<Work>>,
    /// Jobs in a transaction or being read back: nothing else of them is sent.
    busy: HashSet<JobId>,
    /// Keys being read back, for the job that waits for them.
    reading: HashMap<String, JobId>,
    /// Records left over from large jobs that are done, as they were last seen.
    litter: Vec<(String, Stamp)>,
    burst: f64,
    writes: Budget,
    requests: Budget,
    rest_until: Time,
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
    pub fn new(leader: Stamp, limits: &StateLimits) -> Committer {
        // Part of each limit is left to elections, reads and the other nodes.
        let writes = limits.write_rps * 0.9;
        let requests = limits.rps * 0.6;
        Committer {
            leader,
            limits: limits.clone(),
            format: RecordFormat::default(),
            stamps: HashMap::new(),
            under_way: HashMap::new(),
            busy: HashSet::new(),
            reading: HashMap::new(),
            litter: vec![],
            burst: limits.write_rps * 0.8,
            writes: Budget::new(writes, limits.write_rps * 0.8),
            requests: Budget::new(requests, requests * 0.5),
            rest_until: Time::default(),
            next: 1,
        }
    }

    /// The form in which records are written from now on. The compact one is never
    /// given up again.
    pub fn set_format(&mut self, format: RecordFormat) {
        self.format = self.format.max(format);
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
        let writes = 1.0 - self.writes.left(now) / self.burst;
        (
            writes,
            1.0 - self.requests.left(now) / (self.limits.rps * 0.3),
        )
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

    /// Changes for one entry of the queue, or none if nothing is to be written.
    fn work(&self, sched: &Sched, d: &Dirty) -> Option<(Work, Vec<Change>)> {
        let (job, part) = (&d.job, d.part);
        let j = sched.jobs.get(job)?;
        let put = |key: &str, value| Change::Put {
            key: key.into(),
            value,
            lease: None,
        };
        let mut changes = vec![];
        let mut keys = vec![];
        let what = if j.closing.is_some() {
            let key = final_key(job);
            let f = sched.final_of(job)?;
            changes.push(put(&key, j.final_record(f)));
            keys.push((key, true));
            let first = part_key(job, 0);
            // The first record names the job; the others are litter without it.
            if self.stamps.contains_key(&first) {
                changes.push(Change::Delete { key: first.clone() });
            }
            // As far as we know it was never stored, otherwise. Its first write may
            // have been carried out all the same, without an answer: left there, the
            // next leader would find the job as it was at first.
            keys.push((first, false));
            What::End
        } else {
            let key = part_key(job, part);
            changes.push(put(&key, j.encode(part)));
            keys.push((key, true));
            What::Part(part, j.parts[part].ver)
        };
        let work = Work {
            job: job.clone(),
            purpose: d.purpose,
            what,
            keys,
        };
        Some((work, changes))
    }

    /// The next transaction to send, if any may be sent now.
    pub fn next(&mut self, now: Time, sched: &mut Sched) -> Option<(TxnId, Txn)> {
        let lanes = if sched.dirty.lengths()[0] > 0 {
            LANES_NOW
        } else {
            LANES
        };
        if now < self.rest_until || self.under_way.len() >= lanes {
            return None;
        }
        if !self.requests.has(now, 1.0) {
            return None;
        }
        if let Some(fences) = self.fences(now, sched) {
            return Some(fences);
        }
        if sched.dirty.is_empty() && self.litter.is_empty() {
            return None;
        }
        let budget = self.writes.left(now) as usize;
        let most = self.limits.txn_ops.min(budget);
        let mut txn = Txn::default();
        let mut works: Vec<Work> = vec![];
        let mut bytes = 0;
        let mut skipped = vec![];
        let share = |n: usize| (budget as f64 - n as f64) / self.burst;
        while let Some(d) = sched.dirty.next(now, share(txn.changes.len())) {
            // Within one transaction a job may appear with several parts.
            if self.busy.contains(&d.job) && !works.iter().any(|w| w.job == d.job) {
                skipped.push(d);
                continue;
            }
            let Some(j) = sched.jobs.get_mut(&d.job) else {
                continue;
            };
            if !j.unqueue(d.part, d.purpose) {
                continue;
            }
            let (job, part) = (d.job.clone(), d.part);
            let ended = works
                .iter()
                .any(|w| w.job == job && matches!(w.what, What::End));
            let Some((work, changes)) = self.work(sched, &d).filter(|_| !ended) else {
                continue;
            };
            let mut size = 0;
            for c in &changes {
                size += c.key().len() * 2 + 80;
                if let Change::Put { value, .. } = c {
                    size += value.to_string().len();
                }
            }
            if txn.changes.len() + changes.len() > most || bytes + size > MAX_BYTES {
                if let Some(j) = sched.jobs.get_mut(&job) {
                    j.parts[part].queued = Some(d.purpose);
                }
                sched.dirty.put_back(d);
                break;
            }
            bytes += size;
            for (key, _) in &work.keys {
                let stamp = self.stamp(key);
                txn.conditions.push(Condition {
                    key: key.clone(),
                    stamp,
                });
            }
            if let What::Part(0, _) = work.what
                && self.stamp(&work.keys[0].0) == Stamp(0)
            {
                // A new job: unless it is over already.
                let key = final_key(&job);
                txn.conditions.push(Condition {
                    key,
                    stamp: Stamp(0),
                });
            }
            txn.changes.extend(changes);
            if matches!(work.what, What::End) {
                sched.final_write_sent(&job);
            }
            self.busy.insert(job);
            works.push(work);
        }
        for d in skipped.into_iter().rev() {
            sched.dirty.put_back(d);
        }
        // A little at a time along with the rest, and never what others wait for:
        // the 300 records of one job once took all changes there were for 15 s.
        let some = if works.is_empty() { most } else { 1 };
        for _ in 0..some {
            let n = txn.changes.len();
            if n >= most || share(n) < LITTER_RESERVE {
                break;
            }
            let Some((key, stamp)) = self.litter.pop() else {
                break;
            };
            let when = key.clone();
            txn.conditions.push(Condition { key: when, stamp });
            txn.changes.push(Change::Delete { key });
        }
        if txn.changes.is_empty() {
            return None;
        }
        Some(self.send(now, txn, works))
    }

    fn send(&mut self, now: Time, mut txn: Txn, works: Vec<Work>) -> (TxnId, Txn) {
        txn.conditions.push(Condition {
            key: LEADER.into(),
            stamp: self.leader,
        });
        self.writes.take(now, txn.changes.len() as f64);
        self.requests.take(now, 1.0);
        let id = TxnId(self.next);
        self.next += 1;
        self.under_way.insert(id, works);
        (id, txn)
    }

    /// The record of fenced zones goes first: workers wait for it. It takes its
    /// turns like a job's record, under a name that no job has.
    fn fences(&mut self, now: Time, sched: &mut Sched) -> Option<(TxnId, Txn)> {
        let job = JobId::from("");
        if self.busy.contains(&job) {
            return None;
        }
        let (record, ver) = sched.fences_to_write()?;
        let stamp = self.stamp(FENCES);
        let txn = Txn {
            conditions: vec![Condition {
                key: FENCES.into(),
                stamp,
            }],
            changes: vec![Change::Put {
                key: FENCES.into(),
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: None,
            }],
        };
        self.busy.insert(job.clone());
        let work = Work {
            job,
            purpose: Purpose::Now,
            what: What::Fences(ver),
            keys: vec![(FENCES.into(), true)],
        };
        Some(self.send(now, txn, vec![work]))
    }

    fn requeue(&mut self, sched: &mut Sched, works: Vec<Work>) {
        for w in works.into_iter().rev() {
            self.busy.remove(&w.job);
            Self::queue_again(sched, w);
        }
    }

    /// A transaction with these has certainly not been carried out.
    fn not_carried_out(sched: &mut Sched, works: &[Work]) {
        for w in works.iter().filter(|w| matches!(w.what, What::End)) {
            sched.final_write_failed(&w.job);
        }
    }

    fn queue_again(sched: &mut Sched, w: Work) {
        let part = match w.what {
            What::Part(p, _) => p,
            What::End => 0,
            What::Fences(_) => return sched.fences_again(),
        };
        if let Some(j) = sched.jobs.get_mut(&w.job) {
            j.queue(part, &mut sched.dirty, w.purpose);
        }
    }

    /// What became of a transaction.
    pub fn finished(
        &mut self,
        now: Time,
        id: TxnId,
        outcome: Outcome,
        sched: &mut Sched,
    ) -> (Vec<Event>, Vec<Step>) {
        let mut events = vec![];
        let mut steps = vec![];
        let Some(works) = self.under_way.remove(&id) else {
            return (events, steps);
        };
        match outcome {
            Outcome::Ok(stamp) => {
                for w in works {
                    self.busy.remove(&w.job);
                    for (key, put) in w.keys {
                        if put && !matches!(w.what, What::End) {
                            self.stamps.insert(key, stamp);
                        } else {
                            self.stamps.remove(&key);
                        }
                    }
                    match w.what {
                        What::Part(p, ver) => events.push(Event::Stored(Key::Part(w.job, p), ver)),
                        What::Fences(ver) => events.push(Event::Stored(Key::Fences, ver)),
                        What::End => {
                            self.sweep(sched, &w.job);
                            events.push(Event::Stored(Key::Final(w.job), 0));
                        }
                    }
                }
            }
            Outcome::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                steps.push(Step::Deposed);
            }
            Outcome::Conflict(failed) => {
                Self::not_carried_out(sched, &works);
                // Ours alone may write here, so these are earlier writes of our
                // own whose answers were lost: read back, then go on from there.
                let (hit, fine): (Vec<Work>, Vec<Work>) = works.into_iter().partition(|w| {
                    let end = final_key(&w.job);
                    let of_job = |k: &String| *k == end || w.keys.iter().any(|(x, _)| x == k);
                    failed.iter().any(of_job)
                });
                self.requeue(sched, fine);
                for w in hit {
                    let mut keys: Vec<String> = w.keys.iter().map(|k| k.0.clone()).collect();
                    keys.push(final_key(&w.job));
                    keys.dedup();
                    for k in keys {
                        if failed.contains(&k) {
                            self.reading.insert(k.clone(), w.job.clone());
                            steps.push(Step::Read(k));
                        }
                    }
                    Self::queue_again(sched, w);
                }
            }
            Outcome::NotDone | Outcome::NoLease => {
                self.rest_until = now + Span::millis(250);
                Self::not_carried_out(sched, &works);
                // Whoever waits for these is told at once to come again.
                events.extend(works.iter().map(|w| Event::NotStored(w.job.clone())));
                self.requeue(sched, works);
            }
            Outcome::Unclear => {
                self.rest_until = now + Span::millis(100);
                self.requeue(sched, works);
            }
        }
        (events, steps)
    }

    /// Parts of a finished job that did not fit into its last transaction.
    fn sweep(&mut self, sched: &Sched, job: &JobId) {
        let parts = sched.jobs.get(job).map_or(0, |j| j.parts.len());
        for key in (0..parts).map(|p| part_key(job, p)) {
            if let Some(stamp) = self.stamps.remove(&key) {
                self.litter.push((key, stamp));
            }
        }
    }

    /// A key that was read back; `Err` makes it be read again.
    pub fn read_back(
        &mut self,
        key: String,
        r: Result<Option<Item>, ()>,
        sched: &mut Sched,
    ) -> (Vec<Event>, Vec<Step>) {
        let Ok(item) = r else {
            return (vec![], vec![Step::Read(key)]);
        };
        let Some(job) = self.reading.remove(&key) else {
            return (vec![], vec![]);
        };
        let mut events = vec![];
        let is_final = key == final_key(&job);
        match item {
            Some(i) if is_final => {
                if let Ok(f) = serde_json::from_value::<Final>(i.value) {
                    self.sweep(sched, &job);
                    events.push(Event::AlreadyFinal(job.clone(), f));
                }
            }
            Some(i) => {
                self.stamps.insert(key, i.stamp);
            }
            None => {
                self.stamps.remove(&key);
            }
        }
        if !self.reading.values().any(|j| *j == job) {
            self.busy.remove(&job);
        }
        (events, vec![])
    }
}
