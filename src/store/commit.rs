//! Group commit: turns changed records into transactions that stay within the
//! service's limits. No I/O: what to send comes out, what became of it goes in.
//!
//! Every transaction is conditioned on the stamp of the leader's key and on
//! that of each record it changes, so what arrives late or from a leader that
//! is none any more fails.

use super::budget::Budget;
use super::client::Outcome;
use super::format::RecordFormat;
use super::limits::{LimitsInForce, TxnSize};
use super::pieces::{self, RecordRoom, piece_key};
use super::{FENCES, LEADER, final_key, part_key};
use crate::ids::{JobId, Stamp, TxnId};
use crate::sched::job::{Final, Job};
use crate::sched::{Dirty, Event, Key, Purpose, Sched};
use crate::settings::{LimitValues, StateLimits};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Condition, Item, Txn};
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// Transactions under way at a time, and with those that somebody waits for:
/// a slow state service once made submissions queue behind all else.
const LANES: usize = 3;
const LANES_NOW: usize = 6;
/// Share of the write budget that must be left for litter to be swept.
const LITTER_RESERVE: f64 = 0.4;
/// Room left in a transaction of 64 KiB.
const MAX_BYTES: usize = 56 * 1024;

/// A record that the limits don't hold is tried again after so long at first, and at
/// the most.
const SET_ASIDE: Span = Span(5_000_000);
const SET_ASIDE_MOST: Span = Span(60_000_000);
/// After a refusal, and after one of the rate.
const REST: Span = Span(250_000);
const REST_OF_RATE: Span = Span(100_000);
/// Who waits for a write is told to come again once changes were refused for so long.
const REFUSED_FOR: Span = Span(1_000_000);
/// Shares of the service's limits: what is left is for elections, reads and the
/// other controllers.
const WRITES_SHARE: f64 = 0.9;
const WRITES_BURST: f64 = 0.8;
/// A record in so many values must be written in one go, however few changes a second
/// there are.
const LEAST_BURST: f64 = 4.0;
const REQUESTS_SHARE: f64 = 0.6;
const REQUESTS_BURST: f64 = 0.3;
/// How often the changes by purpose go to the log.
const SUM_UP_EVERY: Span = Span(10_000_000);

struct Work {
    job: JobId,
    purpose: Purpose,
    /// The part and its version, or the end of the job.
    what: What,
    keys: Vec<KeyWrite>,
}

/// A key that a transaction changes, or only looks at.
struct KeyWrite {
    key: String,
    put: bool,
}

enum What {
    Part(usize, u64),
    End,
    /// The record of fenced zones, which belongs to no job.
    Fences(u64),
}

/// A change, and the bytes that its value takes.
struct SizedChange {
    change: Change,
    value_bytes: usize,
}

impl SizedChange {
    fn put(key: String, value: Value) -> SizedChange {
        SizedChange {
            value_bytes: value.to_string().len(),
            change: Change::Put {
                key,
                value,
                lease: None,
            },
        }
    }

    fn delete(key: String) -> SizedChange {
        SizedChange {
            value_bytes: 0,
            change: Change::Delete { key },
        }
    }

    /// What it takes of a transaction, with its condition.
    fn bytes(&self) -> usize {
        self.change.key().len() * 2 + 80 + self.value_bytes
    }
}

/// A transaction that is being put together.
struct Draft {
    txn: Txn,
    works: Vec<Work>,
    bytes: usize,
    most: usize,
    size: TxnSize,
}

impl Draft {
    fn new(most: usize) -> Draft {
        Draft {
            txn: Txn::default(),
            works: vec![],
            bytes: 0,
            most,
            size: TxnSize::default(),
        }
    }

    fn changes(&self) -> usize {
        self.txn.changes.len()
    }

    fn has_room(&self, changes: &[SizedChange]) -> bool {
        let bytes: usize = changes.iter().map(SizedChange::bytes).sum();
        self.changes() + changes.len() <= self.most && self.bytes + bytes <= MAX_BYTES
    }

    fn require(&mut self, key: String, stamp: Stamp) {
        self.txn.conditions.push(Condition { key, stamp });
    }

    fn add(&mut self, change: SizedChange) {
        self.bytes += change.bytes();
        self.size.changes += 1;
        self.size.largest_value = self.size.largest_value.max(change.value_bytes);
        self.txn.changes.push(change.change);
    }

    fn has_end_of(&self, job: &JobId) -> bool {
        let ends = |w: &Work| w.job == *job && matches!(w.what, What::End);
        self.works.iter().any(ends)
    }

    fn has_job(&self, job: &JobId) -> bool {
        self.works.iter().any(|w| w.job == *job)
    }
}

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

/// A record that the limits don't hold, and when it is tried again.
struct SetAside {
    due: Time,
    backoff: Span,
    purpose: Purpose,
    /// It is being tried.
    queued: bool,
}

struct Sent {
    works: Vec<Work>,
    size: TxnSize,
}

/// Changes that were sent, by what they were for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ChangeCounts {
    pub now: u64,
    pub start: u64,
    pub end: u64,
    pub progress: u64,
    pub garbage: u64,
    pub fences: u64,
}

impl ChangeCounts {
    fn note(&mut self, purpose: Purpose, changes: usize) {
        let count = match purpose {
            Purpose::Now => &mut self.now,
            Purpose::Start => &mut self.start,
            Purpose::End => &mut self.end,
            Purpose::Progress => &mut self.progress,
        };
        *count += changes as u64;
    }
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

    /// What was too large may fit now.
    fn retry_set_aside(&mut self) {
        for aside in self.set_aside.values_mut() {
            aside.due = Time::default();
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

    /// The values of a part's record.
    fn values(&self, job: &Job, part: usize) -> Vec<Value> {
        if self.format == RecordFormat::Legacy {
            return vec![job.encode(part)];
        }
        let room = self.record_room();
        pieces::split(job.encode_compact(part, room), room.value_bytes)
    }

    fn record_room(&self) -> RecordRoom {
        RecordRoom {
            value_bytes: self.limits.value_bytes(),
            values: self
                .limits
                .values()
                .txn_ops
                .min(self.writes.burst() as usize),
        }
    }

    fn part_write(&self, job: &Job, part: usize) -> (What, Vec<KeyWrite>, Vec<SizedChange>) {
        let values = self.values(job, part);
        let keys: Vec<String> = pieces::keys(job.id(), part, values.len()).collect();
        let puts = keys.iter().cloned().zip(values);
        let puts = puts.map(|(key, value)| SizedChange::put(key, value));
        let puts = puts.collect();
        let keys = keys.into_iter().map(|key| KeyWrite { key, put: true });
        (What::Part(part, job.parts[part].ver), keys.collect(), puts)
    }

    fn end_write(&self, job: &Job, end: Final) -> (What, Vec<KeyWrite>, Vec<SizedChange>) {
        let key = final_key(job.id());
        let mut change = SizedChange::put(key.clone(), job.final_record(end));
        if change.value_bytes > self.limits.value_bytes() {
            // Its state must be kept, whatever its names are.
            let state = serde_json::to_value(end).unwrap_or_default();
            change = SizedChange::put(key.clone(), state);
        }
        let mut changes = vec![change];
        let first = part_key(job.id(), 0);
        // The first record names the job; the others are litter without it.
        if self.stamps.contains_key(&first) {
            changes.push(SizedChange::delete(first.clone()));
        }
        // As far as we know it was never stored, otherwise. Its first write may
        // have been carried out all the same, without an answer: left there, the
        // next leader would find the job as it was at first.
        let keys = [(key, true), (first, false)];
        let keys = keys.map(|(key, put)| KeyWrite { key, put });
        (What::End, keys.into(), changes)
    }

    /// The next transaction to send, if any may be sent now.
    pub fn next(&mut self, now: Time, sched: &mut Sched) -> Option<(TxnId, Txn)> {
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
        if sched.dirty.is_empty() && self.litter.is_empty() {
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

    fn may_send(&mut self, now: Time, sched: &Sched) -> bool {
        let lanes = if sched.dirty.lengths()[0] > 0 {
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

    fn add_records(&mut self, now: Time, sched: &mut Sched, draft: &mut Draft) {
        let mut skipped = vec![];
        let alone = self.singly > 0;
        while (!alone || draft.works.is_empty())
            && let Some(d) = sched.dirty.next(now, self.share_left(now, draft))
        {
            match self.add_record(sched, &d, draft) {
                Taken::Yes => {}
                Taken::Busy => skipped.push(d),
                Taken::TooLarge => self.put_aside(now, sched, (d.job, d.part), d.purpose),
                Taken::Full => {
                    if let Some(j) = sched.jobs.get_mut(&d.job) {
                        j.parts[d.part].queued = Some(d.purpose);
                    }
                    sched.dirty.put_back(d);
                    break;
                }
            }
        }
        for d in skipped.into_iter().rev() {
            sched.dirty.put_back(d);
        }
    }

    fn add_record(&mut self, sched: &mut Sched, d: &Dirty, draft: &mut Draft) -> Taken {
        // Within one transaction a job may appear with several parts.
        if self.busy.contains(&d.job) && !draft.has_job(&d.job) {
            return Taken::Busy;
        }
        let Some(j) = sched.jobs.get_mut(&d.job) else {
            return Taken::Yes;
        };
        if !j.unqueue(d.part, d.purpose) || draft.has_end_of(&d.job) {
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

    fn require(&self, draft: &mut Draft, job: &JobId, what: &What, keys: &[KeyWrite]) {
        for k in keys {
            draft.require(k.key.clone(), self.stamp(&k.key));
        }
        if let What::Part(0, _) = what
            && self.stamp(&keys[0].key) == Stamp(0)
        {
            // A new job: unless it is over already.
            draft.require(final_key(job), Stamp(0));
        }
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

    /// The limits don't hold this record: the others go on without it.
    fn put_aside(&mut self, now: Time, sched: &mut Sched, of: (JobId, usize), purpose: Purpose) {
        sched.not_stored(&of.0);
        if !self.set_aside.contains_key(&of) {
            let (job, part) = &of;
            let format = self.format;
            tracing::error!(%job, part, ?format, "a record is too large for the limits in force");
        }
        let aside = self.set_aside.entry(of).or_insert(SetAside {
            due: now,
            backoff: SET_ASIDE,
            purpose,
            queued: false,
        });
        aside.due = now + aside.backoff;
        aside.backoff = SET_ASIDE_MOST.min(Span(aside.backoff.0 * 2));
        aside.purpose = aside.purpose.min(purpose);
        aside.queued = false;
    }

    /// What was set aside is tried again.
    fn queue_set_aside(&mut self, now: Time, sched: &mut Sched) {
        self.set_aside.retain(|(job, part), aside| {
            let Some(j) = sched.jobs.get_mut(job) else {
                return false;
            };
            if !aside.queued && aside.due <= now {
                aside.queued = true;
                j.queue(*part, &mut sched.dirty, aside.purpose);
            }
            true
        });
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

    fn sum_up(&mut self, now: Time) {
        let (at, before) = self.summed_up;
        if now - at < SUM_UP_EVERY {
            return;
        }
        self.summed_up = (now, self.sent);
        let s = self.sent;
        if s != before {
            tracing::info!(
                now = s.now - before.now,
                start = s.start - before.start,
                end = s.end - before.end,
                progress = s.progress - before.progress,
                garbage = s.garbage - before.garbage,
                fences = s.fences - before.fences,
                write_rps = self.limits.values().write_rps,
                set_aside = self.set_aside.len(),
                "changes by purpose"
            );
        }
    }

    /// The record of fenced zones goes first: workers wait for it. It takes its
    /// turns like a job's record, under a name that no job has.
    fn fences(&mut self, now: Time, sched: &mut Sched) -> Option<(TxnId, Txn)> {
        let job = JobId::from("");
        if self.busy.contains(&job) {
            return None;
        }
        let (record, ver) = sched.fences_to_write()?;
        let record = record.within(self.limits.value_bytes());
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
        let Some(sent) = self.under_way.remove(&id) else {
            return (vec![], vec![]);
        };
        if outcome != Outcome::TooMany {
            self.refused_since = None;
        }
        let events = match outcome {
            Outcome::Ok(stamp) => self.carried_out(sent.works, stamp, sched),
            Outcome::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                return (vec![], vec![Step::Deposed]);
            }
            Outcome::Conflict(failed) => {
                return (vec![], self.conflict(sent.works, &failed, sched));
            }
            Outcome::NotDone | Outcome::NoLease => self.refused(now, sent.works, sched),
            Outcome::TooLarge => self.too_large(now, sent, sched),
            Outcome::TooMany => self.too_many(now, sent.works, sched),
            Outcome::Unclear => {
                self.rest_until = now + REST_OF_RATE;
                self.requeue(sched, sent.works);
                vec![]
            }
        };
        (events, vec![])
    }

    fn carried_out(&mut self, works: Vec<Work>, stamp: Stamp, sched: &Sched) -> Vec<Event> {
        let mut events = vec![];
        for w in works {
            self.busy.remove(&w.job);
            for k in w.keys {
                if k.put && !matches!(w.what, What::End) {
                    self.stamps.insert(k.key, stamp);
                } else {
                    self.stamps.remove(&k.key);
                }
            }
            events.push(match w.what {
                What::Part(p, ver) => Event::Stored(Key::Part(w.job, p), ver),
                What::Fences(ver) => Event::Stored(Key::Fences, ver),
                What::End => {
                    self.sweep(sched, &w.job);
                    Event::Stored(Key::Final(w.job), 0)
                }
            });
        }
        events
    }

    /// Ours alone may write here, so these are earlier writes of our own whose
    /// answers were lost: read back, then go on from there.
    fn conflict(&mut self, works: Vec<Work>, failed: &[String], sched: &mut Sched) -> Vec<Step> {
        Self::not_carried_out(sched, &works);
        let mut steps = vec![];
        let (hit, fine): (Vec<Work>, Vec<Work>) = works.into_iter().partition(|w| {
            let end = final_key(&w.job);
            let of_job = |k: &String| *k == end || w.keys.iter().any(|x| x.key == *k);
            failed.iter().any(of_job)
        });
        self.requeue(sched, fine);
        for w in hit {
            let mut keys: Vec<String> = w.keys.iter().map(|k| k.key.clone()).collect();
            keys.push(final_key(&w.job));
            keys.dedup();
            for k in keys.into_iter().filter(|k| failed.contains(k)) {
                self.reading.insert(k.clone(), w.job.clone());
                steps.push(Step::Read(k));
            }
            Self::queue_again(sched, w);
        }
        steps
    }

    /// Nothing is carried out at the moment.
    fn refused(&mut self, now: Time, works: Vec<Work>, sched: &mut Sched) -> Vec<Event> {
        self.rest_until = now + REST;
        Self::not_carried_out(sched, &works);
        // Whoever waits for these is told at once to come again.
        let events = works.iter().map(|w| Event::NotStored(w.job.clone()));
        let events = events.collect();
        self.requeue(sched, works);
        events
    }

    /// It is sent again in smaller transactions and values, if that may help.
    fn too_large(&mut self, now: Time, sent: Sent, sched: &mut Sched) -> Vec<Event> {
        if self.limits.refused_size(sent.size) {
            self.set_budgets(now);
            Self::not_carried_out(sched, &sent.works);
            self.requeue(sched, sent.works);
            return vec![];
        }
        if sent.works.len() > 1 {
            // One of them is at fault.
            self.singly = sent.works.len();
            Self::not_carried_out(sched, &sent.works);
            self.requeue(sched, sent.works);
            return vec![];
        }
        Self::not_carried_out(sched, &sent.works);
        for w in sent.works {
            self.busy.remove(&w.job);
            match w.what {
                What::Part(part, _) => self.put_aside(now, sched, (w.job, part), w.purpose),
                What::End => self.put_aside(now, sched, (w.job, 0), w.purpose),
                What::Fences(_) => {
                    self.rest_until = now + REST;
                    sched.fences_again();
                }
            }
        }
        vec![]
    }

    /// Who waits for these need not ask again: they are sent in a moment.
    fn too_many(&mut self, now: Time, works: Vec<Work>, sched: &mut Sched) -> Vec<Event> {
        let since = *self.refused_since.get_or_insert(now);
        if self.limits.refused_rate(now) {
            self.set_budgets(now);
        }
        self.writes.empty(now);
        if now - since > REFUSED_FOR {
            return self.refused(now, works, sched);
        }
        self.rest_until = now + REST_OF_RATE;
        Self::not_carried_out(sched, &works);
        self.requeue(sched, works);
        vec![]
    }

    /// Parts of a finished job that did not fit into its last transaction.
    fn sweep(&mut self, sched: &Sched, job: &JobId) {
        let parts = sched.jobs.get(job).map_or(0, |j| j.parts.len());
        for part in 0..parts {
            let pieces = (1..).map(|n| piece_key(job, part, n));
            let stored = pieces.take_while(|k| self.stamps.contains_key(k));
            let keys: Vec<String> = stored.chain([part_key(job, part)]).collect();
            for key in keys {
                if let Some(stamp) = self.stamps.remove(&key) {
                    self.litter.push((key, stamp));
                }
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

/// The budgets of changes and of requests under these limits.
fn budgets(limits: &LimitValues) -> (Budget, Budget) {
    let burst = (limits.write_rps * WRITES_BURST).max(LEAST_BURST);
    let writes = Budget::new(limits.write_rps * WRITES_SHARE, burst);
    let requests = Budget::new(limits.rps * REQUESTS_SHARE, limits.rps * REQUESTS_BURST);
    (writes, requests)
}
