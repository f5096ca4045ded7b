//! Group commit: turns changed records into transactions that stay within the
//! service's limits. No I/O: it returns transactions and takes their outcomes.
//!
//! Every transaction is conditioned on the revision of the leader's key and on that of
//! each record it changes, so late transactions and those of a deposed leader fail.

mod counts;
mod draft;
mod outcomes;
mod records;

pub use counts::ChangeCounts;

use super::budget::Budget;
use super::format::RecordFormat;
use crate::sched::{PendingWrite, Purpose, Scheduler};
use crate::settings::{LimitValues, StateLimits};
use crate::time::Time;
use crate::wire::state::Txn;
use serde_json::Value;
use std::collections::{HashMap, HashSet};
mod oversized;
use super::limits::{EffectiveLimits, MAX_SINGLE_RECORD_TXN_BYTES, TxnSize};
use super::{FENCES_KEY, LEADER_KEY};
use crate::ids::{JobId, Revision, TxnId};
use draft::{Draft, KeyWrite, RecordWrite, SizedChange, WriteTarget, total_bytes};
use oversized::OversizedRecord;

/// Maximum number of transactions in flight, and the maximum while a caller waits for a
/// write: a slow state service once made submissions queue behind all other writes.
const MAX_TXNS_IN_FLIGHT: usize = 3;
const MAX_TXNS_IN_FLIGHT_URGENT: usize = 6;
/// Garbage is deleted only while at least this share of the change budget is left.
const GARBAGE_RESERVE_SHARE: f64 = 0.4;
/// Shares of the service's limits; the rest is left for elections, reads and the other
/// controllers.
const CHANGE_RATE_SHARE: f64 = 0.9;
const CHANGE_BURST_SHARE: f64 = 0.8;
/// Minimum burst of changes, however low the rate limit is.
const MIN_CHANGE_BURST: f64 = 4.0;
const REQUEST_RATE_SHARE: f64 = 0.6;
const REQUEST_BURST_SHARE: f64 = 0.3;

/// Result of adding an entry of the write queue to a transaction.
enum AddOutcome {
    /// It was added, or there is nothing left to write.
    Handled,
    /// Another write of the job is in flight, or its first record has to go before.
    Busy,
    /// It does not fit into what is left of the transaction.
    Full,
    /// It does not fit into any transaction.
    TooLarge,
}

/// What is left of the write queue after a transaction was filled from it.
#[derive(PartialEq)]
enum QueueState {
    /// Nothing that may be sent now, or the transaction is full.
    Drained,
    /// Its next record needs more of the budget than there is. Nothing less urgent is
    /// sent before it, or the budget would never suffice.
    WaitsForBudget,
}

struct InFlightTxn {
    writes: Vec<RecordWrite>,
    size: TxnSize,
}

pub struct Committer {
    leader_revision: Revision,
    limits: EffectiveLimits,
    format: RecordFormat,
    revisions: HashMap<String, Revision>,
    in_flight: HashMap<TxnId, InFlightTxn>,
    /// Jobs in a transaction or being read back; no other write of them is sent.
    busy: HashSet<JobId>,
    /// Jobs whose first write had an unclear outcome and was not repeated with a clear one:
    /// it may still be applied.
    unclear_first_writes: HashSet<JobId>,
    /// Keys being read back, with the job that waits for them.
    pending_reads: HashMap<String, JobId>,
    /// Records to delete, with the revisions at which they were last seen.
    garbage: Vec<(String, Revision)>,
    /// Records that exceed the limits, and when they are retried.
    oversized: HashMap<(JobId, usize), OversizedRecord>,
    /// The next transactions, this many, hold one record each: after a rejection, only
    /// the record that is too large is to be rejected again.
    single_record_txns: usize,
    change_budget: Budget,
    request_budget: Budget,
    backoff_until: Time,
    /// Since when every transaction has been rejected for its rate.
    refused_since: Option<Time>,
    changes_sent: ChangeCounts,
    last_logged: (Time, ChangeCounts),
    next_txn_id: u64,
}

/// What the caller has to do for the committer.
#[derive(Debug, PartialEq)]
pub enum Step {
    Read(String),
    /// This controller no longer owns the leader's key.
    Deposed,
}

impl Committer {
    pub fn new(leader: Revision, settings: &StateLimits) -> Committer {
        let limits = EffectiveLimits::new(settings);
        let (writes, requests) = budgets(limits.values());
        Committer {
            leader_revision: leader,
            limits,
            format: RecordFormat::default(),
            revisions: HashMap::new(),
            in_flight: HashMap::new(),
            busy: HashSet::new(),
            unclear_first_writes: HashSet::new(),
            pending_reads: HashMap::new(),
            garbage: vec![],
            oversized: HashMap::new(),
            single_record_txns: 0,
            change_budget: writes,
            request_budget: requests,
            backoff_until: Time::default(),
            refused_since: None,
            changes_sent: ChangeCounts::default(),
            last_logged: (Time::default(), ChangeCounts::default()),
            next_txn_id: 1,
        }
    }

    /// Sets the format in which records are written. Never returns from the compact to the
    /// legacy format.
    pub fn set_format(&mut self, format: RecordFormat) {
        if format > self.format {
            self.format = format;
            self.retry_oversized();
        }
    }

    /// Records the revision of a key that was loaded at the start of the leadership.
    pub fn record_revision(&mut self, key: String, stamp: Revision) {
        self.revisions.insert(key, stamp);
    }

    /// Adds a record without a job: left over from a finished large job, or a submission
    /// that was never accepted. The user may still repeat the submission, so the record
    /// is deleted only at this revision.
    pub fn add_garbage(&mut self, key: String, stamp: Revision) {
        self.garbage.push((key, stamp));
    }

    /// Used shares of the change budget and of the request budget.
    pub fn budgets_used(&mut self, now: Time) -> (f64, f64) {
        (
            1.0 - self.change_budget.available(now) / self.change_budget.burst(),
            1.0 - self.request_budget.available(now) / self.request_budget.burst(),
        )
    }

    /// Status for the overview.
    pub fn overview(&mut self, now: Time) -> Value {
        let (changes, requests) = self.budgets_used(now);
        serde_json::json!({
            "changes_used": changes, "requests_used": requests,
            "transactions": self.in_flight(),
            "limits": self.limits.overview(),
            "records": self.format,
            "set_aside": self.oversized.len(),
            "changes": self.changes_sent,
        })
    }

    /// The limits that are in force, as far as known.
    pub fn limits(&self) -> &EffectiveLimits {
        &self.limits
    }

    /// Number of changes sent so far, by purpose.
    pub fn changes_sent(&self) -> ChangeCounts {
        self.changes_sent
    }

    /// Number of records that exceed the limits at present.
    pub fn oversized_records(&self) -> usize {
        self.oversized.len()
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.pending_reads.is_empty()
    }

    fn revision(&self, key: &str) -> Revision {
        self.revisions.get(key).copied().unwrap_or_default()
    }

    /// The next transaction to send, if any may be sent now.
    pub fn next_txn(&mut self, now: Time, sched: &mut Scheduler) -> Option<(TxnId, Txn)> {
        self.log_changes(now, sched);
        if self.limits.recover(now) {
            self.apply_limits(now);
        }
        if !self.may_send(now, sched) {
            return None;
        }
        if let Some(fences) = self.fences_txn(now, sched) {
            return Some(fences);
        }
        self.requeue_oversized(now, sched);
        if sched.write_queue.is_empty() && self.garbage.is_empty() {
            return None;
        }
        let mut draft = self.new_draft(now);
        if draft.max_changes == 0 {
            return None;
        }
        if self.add_records(now, sched, &mut draft) == QueueState::WaitsForBudget {
            return None;
        }
        self.delete_some_garbage(now, &mut draft);
        if draft.txn.changes.is_empty() {
            return None;
        }
        Some(self.send(now, draft))
    }

    /// An empty transaction with the limits that the budget sets. A record of more changes
    /// than the budget can save up is sent alone once the budget is full, and leaves it
    /// negative; otherwise no such record would ever be sent.
    fn new_draft(&mut self, now: Time) -> Draft {
        let budget = self.change_budget.available(now) as usize;
        let max_changes = self.limits.values().txn_ops.min(budget);
        let max_record_changes = match self.change_budget.is_full(now) {
            true => self.limits.max_record_changes(),
            false => max_changes,
        };
        Draft::new(max_changes, max_record_changes)
    }

    fn may_send(&mut self, now: Time, sched: &Scheduler) -> bool {
        let lanes = if sched.write_queue.lengths()[0] > 0 {
            MAX_TXNS_IN_FLIGHT_URGENT
        } else {
            MAX_TXNS_IN_FLIGHT
        };
        now >= self.backoff_until
            && self.in_flight.len() < lanes
            && self.request_budget.has(now, 1.0)
    }

    /// Share of the change budget that is left after the draft.
    fn budget_share_left(&mut self, now: Time, draft: &Draft) -> f64 {
        let budget = self.change_budget.available(now) as usize;
        (budget as f64 - draft.changes() as f64) / self.change_budget.burst()
    }

    fn add_records(&mut self, now: Time, sched: &mut Scheduler, draft: &mut Draft) -> QueueState {
        let mut state = QueueState::Drained;
        let mut skipped = vec![];
        let alone = self.single_record_txns > 0;
        while (!alone || draft.writes.is_empty())
            && let Some(d) = sched
                .write_queue
                .next(now, self.budget_share_left(now, draft))
        {
            match self.add_record(sched, &d, draft) {
                AddOutcome::Handled => {}
                AddOutcome::Busy => skipped.push(d),
                AddOutcome::TooLarge => self.handle_oversized(now, sched, draft, d),
                AddOutcome::Full => {
                    if let Some(j) = sched.jobs.get_mut(&d.job) {
                        j.parts[d.part].queued = Some(d.purpose);
                    }
                    sched.write_queue.push_front(d);
                    if draft.is_empty() {
                        state = QueueState::WaitsForBudget;
                    }
                    break;
                }
            }
        }
        for d in skipped.into_iter().rev() {
            sched.write_queue.push_front(d);
        }
        state
    }

    fn add_record(
        &mut self,
        sched: &mut Scheduler,
        d: &PendingWrite,
        draft: &mut Draft,
    ) -> AddOutcome {
        // Within one transaction a job may appear with several parts.
        if self.busy.contains(&d.job) && !draft.has_job(&d.job) {
            return AddOutcome::Busy;
        }
        let Some(j) = sched.jobs.get_mut(&d.job) else {
            return AddOutcome::Handled;
        };
        // The first record's write is conditioned on the job's absent final state, and the
        // others of a new job rely on it.
        if d.part > 0 && !j.first_record_stored() && !draft.has_first_record(&d.job) {
            return AddOutcome::Busy;
        }
        if !j.dequeue_write(d.part, d.purpose) || draft.has_final_write(&d.job) {
            return AddOutcome::Handled;
        }
        let end = sched.final_of(&d.job);
        let Some(j) = sched.jobs.get(&d.job) else {
            return AddOutcome::Handled;
        };
        let aside = (d.job.clone(), d.part);
        if end.is_none() && self.oversized.get(&aside).is_some_and(|a| !a.queued) {
            // It is queued again when its backoff has elapsed.
            return AddOutcome::Handled;
        }
        let (what, keys, changes) = match end {
            Some(end) => self.final_write(j, end),
            None => self.part_write(j, d.part),
        };
        if self.is_oversized(&changes) {
            return AddOutcome::TooLarge;
        }
        if !draft.has_room(&changes) {
            return AddOutcome::Full;
        }
        self.oversized.remove(&aside);
        self.add_conditions(draft, &d.job, &what, &keys);
        changes.into_iter().for_each(|c| draft.add(c));
        if matches!(what, WriteTarget::End) {
            sched.final_write_sent(&d.job);
        }
        self.busy.insert(d.job.clone());
        draft.writes.push(RecordWrite {
            job: d.job.clone(),
            purpose: d.purpose,
            since: d.since,
            target: what,
            keys,
        });
        AddOutcome::Handled
    }

    /// Whether no transaction can hold these changes of a record, however empty it is and
    /// however much of the budget is left.
    fn is_oversized(&self, changes: &[SizedChange]) -> bool {
        let room = self.record_limits();
        changes.len() > room.max_values
            || changes.iter().any(|c| c.value_bytes > room.max_value_bytes)
            || total_bytes(changes) > MAX_SINGLE_RECORD_TXN_BYTES
    }

    /// Deletes one record along with other writes, more only if there are none: the 300
    /// records of one job once used up the change budget for 15 s.
    fn delete_some_garbage(&mut self, now: Time, draft: &mut Draft) {
        let some = if draft.writes.is_empty() {
            draft.max_changes
        } else {
            1
        };
        for _ in 0..some {
            if self.budget_share_left(now, draft) < GARBAGE_RESERVE_SHARE {
                break;
            }
            let Some((key, stamp)) = self.garbage.pop() else {
                break;
            };
            let deletion = SizedChange::delete(key.clone());
            if !draft.has_room(std::slice::from_ref(&deletion)) {
                self.garbage.push((key, stamp));
                break;
            }
            draft.add_condition(key, stamp);
            draft.add(deletion);
            self.changes_sent.garbage += 1;
        }
    }

    fn send(&mut self, now: Time, mut draft: Draft) -> (TxnId, Txn) {
        draft.add_condition(LEADER_KEY.into(), self.leader_revision);
        self.change_budget.take(now, draft.changes() as f64);
        self.request_budget.take(now, 1.0);
        self.single_record_txns = self.single_record_txns.saturating_sub(1);
        for w in &draft.writes {
            match w.target {
                WriteTarget::Fences(_) => self.changes_sent.fences += 1,
                _ => self.changes_sent.record(w.purpose, w.keys.len()),
            }
        }
        let id = TxnId(self.next_txn_id);
        self.next_txn_id += 1;
        let sent = InFlightTxn {
            writes: draft.writes,
            size: draft.size,
        };
        self.in_flight.insert(id, sent);
        (id, draft.txn)
    }

    fn apply_limits(&mut self, now: Time) {
        let (writes, requests) = budgets(self.limits.values());
        self.change_budget.reconfigure(now, writes);
        self.request_budget.reconfigure(now, requests);
    }

    /// Writes the record of fenced zones ahead of others, as workers wait for it. Like a
    /// job it has one write in flight at a time, tracked under the empty job name.
    fn fences_txn(&mut self, now: Time, sched: &mut Scheduler) -> Option<(TxnId, Txn)> {
        let job = JobId::from("");
        if self.busy.contains(&job) {
            return None;
        }
        let (record, ver) = sched.fences_to_write()?;
        let record = record.truncated_to(self.limits.value_bytes());
        let value = serde_json::to_value(record).unwrap_or_default();
        let mut draft = Draft::new(1, 1);
        draft.add_condition(FENCES_KEY.into(), self.revision(FENCES_KEY));
        draft.add(SizedChange::put(FENCES_KEY.into(), value));
        self.busy.insert(job.clone());
        draft.writes.push(RecordWrite {
            job,
            purpose: Purpose::Now,
            since: now,
            target: WriteTarget::Fences(ver),
            keys: vec![KeyWrite {
                key: FENCES_KEY.into(),
                put: true,
            }],
        });
        Some(self.send(now, draft))
    }
}

/// The budgets of changes and of requests under these limits.
fn budgets(limits: &LimitValues) -> (Budget, Budget) {
    let burst = (limits.write_rps * CHANGE_BURST_SHARE).max(MIN_CHANGE_BURST);
    let writes = Budget::new(limits.write_rps * CHANGE_RATE_SHARE, burst);
    let requests = Budget::new(
        limits.rps * REQUEST_RATE_SHARE,
        limits.rps * REQUEST_BURST_SHARE,
    );
    (writes, requests)
}
