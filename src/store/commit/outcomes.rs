//! Handles the outcomes of transactions.

use super::super::client::ReadError;
use super::super::pieces::piece_key;
use super::super::{LEADER_KEY, final_key, part_key};
use super::draft::{RecordWrite, WriteTarget};
use super::{Committer, InFlightTxn, Step};
use crate::ids::{JobId, Revision, TxnId};
use crate::sched::job::Final;
use crate::sched::{Event, Key, PendingWrite, Scheduler};
use crate::store::TxnOutcome;
use crate::time::{Span, Time};
use crate::wire::state::Item;

/// Backoff after a rejection, and after a rejection for the rate.
const REFUSAL_BACKOFF: Span = Span(250_000);
const RATE_LIMIT_BACKOFF: Span = Span(100_000);
/// Once changes were rate limited for this long, callers that wait for a write are told
/// to retry.
const MAX_RATE_LIMITED: Span = Span(1_000_000);
impl Committer {
    /// Returns writes that were not applied to the queue, in their order.
    fn requeue(&mut self, sched: &mut Scheduler, works: Vec<RecordWrite>) {
        for w in works.into_iter().rev() {
            self.busy.remove(&w.job);
            Self::requeue_write(sched, w);
        }
    }

    /// Marks final writes of a transaction that was certainly not applied.
    fn mark_not_applied(sched: &mut Scheduler, works: &[RecordWrite]) {
        for w in works
            .iter()
            .filter(|w| matches!(w.target, WriteTarget::End))
        {
            sched.final_write_failed(&w.job);
        }
    }

    fn requeue_write(sched: &mut Scheduler, w: RecordWrite) {
        let part = match w.target {
            WriteTarget::Part(p, _) => p,
            WriteTarget::End => 0,
            WriteTarget::Fences(_) => return sched.fence_write_failed(),
        };
        if let Some(j) = sched.jobs.get_mut(&w.job) {
            let write = PendingWrite {
                job: w.job,
                part,
                purpose: w.purpose,
                since: w.since,
            };
            j.return_write(write, &mut sched.write_queue);
        }
    }

    /// Handles the outcome of a transaction.
    pub fn handle_outcome(
        &mut self,
        now: Time,
        id: TxnId,
        outcome: TxnOutcome,
        sched: &mut Scheduler,
    ) -> (Vec<Event>, Vec<Step>) {
        let Some(sent) = self.in_flight.remove(&id) else {
            return (vec![], vec![]);
        };
        if outcome != TxnOutcome::RateLimited {
            self.refused_since = None;
        }
        let events = match outcome {
            TxnOutcome::Ok(stamp) => self.handle_applied(sent.writes, stamp, sched),
            TxnOutcome::Conflict(failed) if failed.iter().any(|k| k == LEADER_KEY) => {
                return (vec![], vec![Step::Deposed]);
            }
            TxnOutcome::Conflict(failed) => {
                return (vec![], self.handle_conflict(sent.writes, &failed, sched));
            }
            TxnOutcome::NotApplied | TxnOutcome::NoLease => {
                self.handle_refused(now, sent.writes, sched)
            }
            TxnOutcome::TooLarge => self.handle_too_large(now, sent, sched),
            TxnOutcome::RateLimited => self.handle_rate_limited(now, sent, sched),
            TxnOutcome::Unknown => {
                self.note_unclear_writes(&sent.writes);
                self.backoff_until = now + RATE_LIMIT_BACKOFF;
                self.requeue(sched, sent.writes);
                vec![]
            }
        };
        (events, vec![])
    }

    /// Notes jobs whose first record may have been stored, or may be later.
    fn note_unclear_writes(&mut self, works: &[RecordWrite]) {
        for w in works {
            if let WriteTarget::Part(0, _) = w.target
                && !self.revisions.contains_key(&part_key(&w.job, 0))
            {
                self.unclear_first_writes.insert(w.job.clone());
            }
        }
    }

    fn handle_applied(
        &mut self,
        works: Vec<RecordWrite>,
        stamp: Revision,
        sched: &Scheduler,
    ) -> Vec<Event> {
        let mut events = vec![];
        for w in works {
            self.busy.remove(&w.job);
            self.unclear_first_writes.remove(&w.job);
            for k in w.keys {
                if k.put && !matches!(w.target, WriteTarget::End) {
                    self.revisions.insert(k.key, stamp);
                } else {
                    self.revisions.remove(&k.key);
                }
            }
            events.push(match w.target {
                WriteTarget::Part(p, ver) => Event::Stored(Key::Part(w.job, p), ver),
                WriteTarget::Fences(ver) => Event::Stored(Key::Fences, ver),
                WriteTarget::End => {
                    self.collect_garbage(sched, &w.job);
                    Event::Stored(Key::Final(w.job), 0)
                }
            });
        }
        events
    }

    /// Only this leader writes these keys, so a conflict comes from an earlier write of its
    /// own whose response was lost: reads the keys back before the next write.
    fn handle_conflict(
        &mut self,
        works: Vec<RecordWrite>,
        failed: &[String],
        sched: &mut Scheduler,
    ) -> Vec<Step> {
        Self::mark_not_applied(sched, &works);
        let mut steps = vec![];
        let (hit, fine): (Vec<RecordWrite>, Vec<RecordWrite>) = works.into_iter().partition(|w| {
            let end = final_key(&w.job);
            let of_job = |k: &String| *k == end || w.keys.iter().any(|x| x.key == *k);
            failed.iter().any(of_job)
        });
        self.requeue(sched, fine);
        for w in hit.into_iter().rev() {
            let mut keys: Vec<String> = w.keys.iter().map(|k| k.key.clone()).collect();
            keys.push(final_key(&w.job));
            keys.dedup();
            for k in keys.into_iter().filter(|k| failed.contains(k)) {
                self.pending_reads.insert(k.clone(), w.job.clone());
                steps.push(Step::Read(k));
            }
            Self::requeue_write(sched, w);
        }
        steps
    }

    /// The service applies no transactions at the moment.
    fn handle_refused(
        &mut self,
        now: Time,
        works: Vec<RecordWrite>,
        sched: &mut Scheduler,
    ) -> Vec<Event> {
        self.backoff_until = now + REFUSAL_BACKOFF;
        Self::mark_not_applied(sched, &works);
        // Callers that wait for these are told at once to retry.
        let events = works.iter().map(|w| Event::NotStored(w.job.clone()));
        let events = events.collect();
        self.requeue(sched, works);
        events
    }

    /// Retries with smaller transactions and values, if that can help.
    fn handle_too_large(
        &mut self,
        now: Time,
        sent: InFlightTxn,
        sched: &mut Scheduler,
    ) -> Vec<Event> {
        if self.limits.handle_size_refusal(sent.size) {
            self.apply_limits(now);
            sched.lower_record_limits(self.record_limits());
            Self::mark_not_applied(sched, &sent.writes);
            self.requeue(sched, sent.writes);
            return vec![];
        }
        if sent.writes.len() > 1 {
            // One of the records is too large: each gets a transaction of its own.
            self.single_record_txns = sent.writes.len();
            Self::mark_not_applied(sched, &sent.writes);
            self.requeue(sched, sent.writes);
            return vec![];
        }
        self.defer_refused(now, sent.writes, sched);
        vec![]
    }

    /// Sets aside records that were rejected by themselves; others are written without them.
    fn defer_refused(&mut self, now: Time, works: Vec<RecordWrite>, sched: &mut Scheduler) {
        Self::mark_not_applied(sched, &works);
        for w in works {
            self.busy.remove(&w.job);
            match w.target {
                WriteTarget::Part(part, _) => {
                    self.defer_oversized(now, sched, (w.job, part), w.purpose)
                }
                WriteTarget::End => self.defer_oversized(now, sched, (w.job, 0), w.purpose),
                WriteTarget::Fences(_) => {
                    self.backoff_until = now + REFUSAL_BACKOFF;
                    sched.fence_write_failed();
                }
            }
        }
    }

    /// Callers keep waiting, as the writes are retried after a short backoff.
    fn handle_rate_limited(
        &mut self,
        now: Time,
        sent: InFlightTxn,
        sched: &mut Scheduler,
    ) -> Vec<Event> {
        let since = *self.refused_since.get_or_insert(now);
        if self.limits.handle_rate_refusal(now) {
            self.apply_limits(now);
        }
        self.change_budget.drain(now);
        if sent.writes.len() == 1 && sent.size.changes > self.change_budget.burst() as usize {
            // The rate limit may be lower than this record alone needs.
            self.backoff_until = now + RATE_LIMIT_BACKOFF;
            self.defer_refused(now, sent.writes, sched);
            return vec![];
        }
        if now - since > MAX_RATE_LIMITED {
            return self.handle_refused(now, sent.writes, sched);
        }
        self.backoff_until = now + RATE_LIMIT_BACKOFF;
        Self::mark_not_applied(sched, &sent.writes);
        self.requeue(sched, sent.writes);
        vec![]
    }

    /// Adds the remaining records of a finished job to the garbage.
    fn collect_garbage(&mut self, sched: &Scheduler, job: &JobId) {
        let parts = sched.jobs.get(job).map_or(0, |j| j.parts.len());
        for part in 0..parts {
            let pieces = (1..).map(|n| piece_key(job, part, n));
            let stored = pieces.take_while(|k| self.revisions.contains_key(k));
            let keys: Vec<String> = stored.chain([part_key(job, part)]).collect();
            for key in keys {
                if let Some(stamp) = self.revisions.remove(&key) {
                    self.garbage.push((key, stamp));
                }
            }
        }
    }

    /// Handles a key that was read back; after `Err` it is read again.
    pub fn handle_read(
        &mut self,
        key: String,
        r: Result<Option<Item>, ReadError>,
        sched: &mut Scheduler,
    ) -> (Vec<Event>, Vec<Step>) {
        let Ok(item) = r else {
            return (vec![], vec![Step::Read(key)]);
        };
        let Some(job) = self.pending_reads.remove(&key) else {
            return (vec![], vec![]);
        };
        let mut events = vec![];
        let is_final = key == final_key(&job);
        match item {
            Some(i) if is_final => {
                if let Ok(f) = serde_json::from_value::<Final>(i.value) {
                    self.collect_garbage(sched, &job);
                    events.push(Event::AlreadyFinal(job.clone(), f));
                }
            }
            Some(i) => {
                self.revisions.insert(key, i.revision);
            }
            None => {
                self.revisions.remove(&key);
            }
        }
        if !self.pending_reads.values().any(|j| *j == job) {
            self.busy.remove(&job);
        }
        (events, vec![])
    }
}
