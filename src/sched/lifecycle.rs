//! A job's life beyond placing: holds, limits of retries, what has happened and
//! what was used. All of it is stored with the job's records, and told once it is.

use super::dependencies::ParentOutcome;
use super::job::{ActiveAttempt, Final, Job, Phase, ReplyKind};
use super::records::Purpose;
use super::requests::job_view_json;
use super::{Effect, Scheduler};
use crate::ids::{Class, Host, JobId, ReqId, TaskId, TaskIx, Team};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Ask};
use crate::wire::user::{HoldView, JobDetail, JobState, JobView, Kind, TaskSeconds};
use hookworks_job_lifecycle::{
    Failure, History, Hold, HoldKind, HoldRequest, Holds, JobEvent as What, ReleaseRequest,
    RetryDecision, WallMillis as At,
};
use hookworks_listing::Line;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Reads of finished jobs' records under way at a time.
const MAX_RECORDS: usize = 64;
/// Who puts the hold of a job that has failed too often.
const LIMIT: &str = "retry-limit";

impl Scheduler {
    /// Answers what can't be held or released, which is over; true if it did.
    fn refuse_unless_active(&mut self, now: Time, req: ReqId, id: &JobId, ask: &Ask) -> bool {
        if let Some(f) = self.finals.get(id) {
            let a = Answer::new(409, job_view_json(id, f.state, f.done, 0));
            self.answer(req, a);
        } else if !self.may_start(now) {
            self.answer_unconfirmed(req);
        } else if self.unreadable.contains_key(id) {
            self.answer(req, Answer::later("the job's record can't be read", 30));
        } else if !self.ancestors_known(id) {
            self.answer(req, Answer::later("what it needs is being looked up", 1));
        } else if let Some(j) = self.jobs.get_mut(id) {
            if j.closing_state.is_some() {
                // Told with its final state, once that is stored.
                j.waiters.push((u64::MAX, req, ReplyKind::Hold(false)));
            } else if j.cancelled && j.parts[0].stored_version >= j.cancel_version {
                let a = Answer::new(409, job_view_json(id, JobState::Cancelled, j.done_count, 0));
                self.answer(req, a);
            } else if j.cancelled {
                self.answer(req, Answer::later("the job is being cancelled", 1));
            } else {
                return false;
            }
        } else {
            self.look_up_final(now, req, id.clone(), ask.clone());
        }
        true
    }

    pub(super) fn hold(&mut self, now: Time, req: ReqId, id: JobId, body: Vec<u8>) {
        let r = match HoldRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.refuse_unless_active(now, req, &id, &Ask::Hold(id.to_string(), body)) {
            return;
        }
        let hold = Hold {
            kind: r.kind,
            by: r.by,
            why: r.why,
            at: self.wall.into(),
        };
        tracing::info!(job = %id, kind = ?hold.kind, by = %hold.by, stop = r.stop, "held");
        self.put_hold(now, &id, hold, Purpose::Now);
        self.answer_when_stored(req, &id, true);
        if r.stop {
            self.stop_running(now, &id);
        }
    }

    /// The job starts nothing from now on; what is on its way is called back.
    pub(super) fn put_hold(&mut self, now: Time, id: &JobId, hold: Hold, purpose: Purpose) {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.holds.put(hold) {
            j.history.note(What::Held, wall.into());
            j.holds_version = j.mark_changed(0, &mut self.write_queue, purpose);
        }
        self.stop_unstarted(now, id);
        self.replan = true;
    }

    /// Ends what has not begun. A command that is under way may still start it;
    /// then it is told to end as soon as it is seen.
    fn stop_unstarted(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let leeway = j.spec.save_s + 1.0;
        let begun = |l: &ActiveAttempt| matches!(l.phase, Phase::Running | Phase::Saving);
        if j.spec.kind == Kind::Gang {
            // It begins together or not at all.
            if !j.gang_ran && !j.active.values().any(begun) {
                self.stop_gang(now, id);
            }
            return;
        }
        // What an earlier leader placed may run, unseen as yet.
        let on_its_way =
            |l: &ActiveAttempt| l.phase == Phase::Placed && l.stop.is_none() && !l.inherited;
        let some = j.active.iter().filter(|(_, l)| on_its_way(l));
        let tasks: Vec<TaskIx> = some.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop_attempt(now, id, t, leeway);
        }
    }

    /// What runs is told to save and end; a gang all at once.
    fn stop_running(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        if j.spec.kind == Kind::Gang {
            return self.stop_gang(now, id);
        }
        let leeway = j.spec.save_s + 1.0;
        let goes_on = j.active.iter().filter(|(_, l)| l.stop.is_none());
        let tasks: Vec<TaskIx> = goes_on.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop_attempt(now, id, t, leeway);
        }
    }

    pub(super) fn release(&mut self, now: Time, req: ReqId, id: JobId, body: Vec<u8>) {
        let r = match ReleaseRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.refuse_unless_active(now, req, &id, &Ask::Release(id.to_string(), body)) {
            return;
        }
        if self.remove_hold(&id, r.kind, &r.by)
            && r.kind == HoldKind::System
            && let Some(j) = self.jobs.get_mut(&id)
        {
            // Whoever lets it go on wants it tried anew.
            for part in j.parts_with_failures() {
                j.mark_changed(part, &mut self.write_queue, Purpose::Now);
            }
            j.failure_counts.reset();
        }
        self.answer_when_stored(req, &id, false);
    }

    /// Answers once all that is known of the job's holds is stored; also where
    /// nothing has changed, as what was asked first may not be stored yet.
    fn answer_when_stored(&mut self, req: ReqId, id: &JobId, held: bool) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let ver = j.parts[0].version;
        if j.parts[0].stored_version < ver {
            return j.waiters.push((ver, req, ReplyKind::Hold(held)));
        }
        let a = self.hold_answer(id, held);
        self.answer(req, a);
    }

    /// A hold, or a release, is stored.
    pub(super) fn hold_answer(&self, id: &JobId, held: bool) -> Answer {
        match self.jobs.get(id) {
            Some(j) if j.cancelled => Answer::later("the job is being cancelled", 1),
            Some(j) => {
                let v = HoldView {
                    job: j.job_view(),
                    held,
                };
                Answer::new(200, serde_json::to_string(&v).unwrap_or_default())
            }
            None => Answer::later("the job is over", 1),
        }
    }

    /// Nothing starts before the release is stored: a new leader would find
    /// the job held, and tasks that began all the same. False: it was not held.
    fn remove_hold(&mut self, id: &JobId, kind: HoldKind, by: &str) -> bool {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        if j.holds.release(kind).is_none() {
            return false;
        }
        tracing::info!(job = %id, ?kind, by, "released");
        j.history.note(What::Released, wall.into());
        j.release_version = j.mark_changed(0, &mut self.write_queue, Purpose::Now);
        j.holds_version = j.release_version;
        self.replan = true;
        true
    }

    /// An attempt ended without being done. What follows for the job is stored
    /// along with that.
    pub(super) fn note_failure(&mut self, now: Time, t: &TaskId, l: &ActiveAttempt, why: Failure) {
        let wall = self.wall;
        let faulty = self.machines.get(&l.host).is_some_and(|m| m.quarantined);
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let what = match why {
            Failure::Error => What::Failed,
            Failure::TimedOut => What::TimedOut,
            Failure::Lost => What::Lost,
            Failure::Stopped => What::Stopped,
        };
        j.history.note(what, wall.into());
        if why == Failure::Error && faulty || j.cancelled {
            return;
        }
        let rule = self
            .retry_policies
            .get(&j.spec.class)
            .copied()
            .unwrap_or_default();
        let of = (t.ix.0, j.spec.tasks);
        match j.failure_counts.failed(of, l.host.as_str(), why, &rule) {
            RetryDecision::NotCounted => {}
            RetryDecision::RetryAfter(pause) => {
                let pause = Span(pause.as_micros() as u64);
                j.backoff_until = j.backoff_until.max(now + pause);
            }
            RetryDecision::Exhausted(n) => {
                let hold = Hold {
                    kind: HoldKind::System,
                    by: LIMIT.into(),
                    why: format!("task {} failed {n} times, at last on {}", t.ix, l.host),
                    at: wall.into(),
                };
                tracing::info!(job = %t.job, why = %hold.why, "held at its limit");
                let id = t.job.clone();
                self.put_hold(now, &id, hold, Purpose::Start);
                self.announce(&id, ParentOutcome::Failed);
            }
        }
    }

    /// A machine has turned out to be faulty: what failed there does not count,
    /// and who was held for it goes on.
    pub(super) fn discard_failures_on(&mut self, host: &Host) {
        let mut free = vec![];
        for j in self.jobs.values_mut() {
            let parts = j.parts_with_failures();
            if !j.failure_counts.forgive(host.as_str()) {
                continue;
            }
            for p in parts {
                j.mark_changed(p, &mut self.write_queue, Purpose::Progress);
            }
            let rule = self
                .retry_policies
                .get(&j.spec.class)
                .copied()
                .unwrap_or_default();
            if j.failed_too_often() && !j.failure_counts.exhausted(&rule) {
                free.push(j.id().clone());
            }
        }
        for id in free {
            tracing::info!(job = %id, %host, "its machine was faulty");
            // The failures elsewhere stay counted.
            self.remove_hold(&id, HoldKind::System, "hookworks");
        }
    }

    /// Lines of jobs that have changed since they were last asked for; `Err`:
    /// it is over, with the state that it came to.
    pub fn take_changed(&mut self) -> Vec<(JobId, Result<Line, Option<JobState>>)> {
        let changed = std::mem::take(&mut self.write_queue.changed);
        let mut lines = Vec::with_capacity(changed.len());
        for id in changed {
            if !self.ancestors_known(&id) {
                self.write_queue.changed.insert(id);
                continue;
            }
            match self.jobs.get(&id) {
                // What is not stored is not told: it could go back.
                Some(j) if j.parts[0].stored_version == 0 => {}
                Some(j) if j.cancelled && !j.cancellation_stored() => {}
                Some(j) => lines.push((id, Ok(j.detail().line()))),
                None => {
                    let state = self.finals.get(&id).map(|f| f.state);
                    lines.push((id, Err(state)));
                }
            }
        }
        lines
    }

    /// What the whole record of a job says; of a finished one it is read.
    pub(super) fn show_job(&mut self, now: Time, req: ReqId, id: JobId) {
        if !self.may_start(now) {
            return self.answer_unconfirmed(req);
        }
        if self.unreadable.contains_key(&id) {
            return self.answer(req, Answer::later("the job's record can't be read", 30));
        }
        if !self.ancestors_known(&id) {
            return self.answer(req, Answer::later("what it needs is being looked up", 1));
        }
        let open = |j: &Job| j.closing_state.is_none() || j.cancelled_with.is_some();
        let stored = |j: &Job| j.parts[0].stored_version > 0 && open(j);
        match self.jobs.get(&id) {
            Some(j) if stored(j) && (!j.cancelled || j.cancellation_stored()) => {
                let body = serde_json::to_string(&j.detail()).unwrap_or_default();
                self.answer(req, Answer::new(200, body));
            }
            Some(_) => self.answer(req, Answer::later("the job is being stored", 1)),
            None if !JobId::well_formed(id.as_str()) => {
                self.answer(req, Answer::error(404, "no such job"));
            }
            None if self.record_reads_in_flight >= MAX_RECORDS
                || !self.lookup_budget.has(now, 1.0) =>
            {
                self.answer(req, Answer::later("too many look-ups at a time", 1));
            }
            None => {
                self.record_reads_in_flight += 1;
                self.lookup_budget.take(now, 1.0);
                self.effects.push(Effect::ReadRecord(req, id));
            }
        }
    }

    pub(super) fn record_read(
        &mut self,
        now: Time,
        req: ReqId,
        id: JobId,
        r: Result<Option<Value>, ()>,
    ) {
        if self.referenced_read(now, req, &id, &r) {
            return;
        }
        self.record_reads_in_flight = self.record_reads_in_flight.saturating_sub(1);
        let detail = |v: Value| detail_of_record(&id, v);
        let a = match r {
            Err(()) => Answer::later("the state service does not answer", 1),
            Ok(Some(v)) => match detail(v) {
                Some(d) => Answer::new(200, serde_json::to_string(&d).unwrap_or_default()),
                None => Answer::later("the job's record can't be read", 30),
            },
            Ok(None) if !self.may_start(now) => return self.answer_unconfirmed(req),
            // It may have been accepted since the read was asked for.
            Ok(None) if self.jobs.contains_key(&id) || self.finals.contains_key(&id) => {
                return self.show_job(now, req, id);
            }
            Ok(None) => Answer::error(404, "no such job"),
        };
        self.answer(req, a);
    }
}

impl Scheduler {
    /// A task has begun to run; it may have a limit.
    pub(super) fn track_time_limit(&mut self, t: &TaskId, since: Time) {
        let limit = self.jobs.get(&t.job).and_then(|j| j.spec.limit_s);
        if let Some(s) = limit {
            self.time_limits.insert((since + Span::secs(s), t.clone()));
        }
    }

    /// Those that have run for longer than they may are told to save and end,
    /// and a while later to end at once.
    pub(super) fn enforce_time_limits(&mut self, now: Time) {
        while let Some((at, t)) = self.time_limits.first().cloned()
            && at <= now
        {
            self.time_limits.pop_first();
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let (Some(limit), Some(l)) = (j.spec.limit_s, j.active.get(&t.ix)) else {
                continue;
            };
            let Some(since) = l.running_since else {
                continue;
            };
            let over = since + Span::secs(limit);
            if now < over {
                // Another attempt by now.
                self.time_limits.insert((over, t));
                continue;
            }
            let saves = j.spec.save_s + 1.0;
            if l.timed_out {
                self.stop_attempt(now, &t.job, t.ix, 0.0);
                continue;
            }
            tracing::info!(task = %t, limit, "ran for longer than it may");
            let again = now + Span::secs(saves + self.config.workers.report_s);
            if j.spec.kind == Kind::Gang {
                self.stop_gang(now, &t.job);
            } else {
                self.stop_attempt(now, &t.job, t.ix, saves);
            }
            if let Some(l) = self.active_attempt_mut(&t) {
                l.timed_out = true;
                self.time_limits.insert((again, t));
            }
        }
    }
}

impl Job {
    /// Nothing of it may start: it is held, or its release is not stored yet.
    pub fn held(&self) -> bool {
        !self.holds.is_empty() || self.parts[0].stored_version < self.release_version
    }

    /// Held by the scheduler, since a task has failed as often as it may.
    pub(super) fn failed_too_often(&self) -> bool {
        self.holds
            .get(HoldKind::System)
            .is_some_and(|h| h.by == LIMIT)
    }

    fn parts_with_failures(&self) -> Vec<usize> {
        let has = |p: &usize| {
            let (from, to) = self.part_range(*p);
            !self.failure_counts.encode(from, to).is_empty()
        };
        (0..self.parts.len()).filter(has).collect()
    }

    /// A run of a task is over; what of it was of use.
    pub(super) fn record_usage(&mut self, now: Time, l: &ActiveAttempt, done: bool, kept: bool) {
        let Some(since) = l.running_since else { return };
        let ran = (now - since).0 / 1000;
        let step = (self.spec.checkpoint_s * 1000.0) as u64;
        let useful = match self.spec.kind {
            _ if done || kept => ran,
            // A replica was of use for as long as it ran.
            Kind::Service => ran,
            _ if step > 0 => ran / step * step,
            _ => 0,
        };
        self.history.used(ran, useful);
    }

    fn job_view(&self) -> JobView {
        JobView {
            id: self.id().clone(),
            state: self.state(),
            done: self.done_count,
            running: self.running(),
        }
    }

    /// All that is known of the job.
    pub fn detail(&self) -> JobDetail {
        let detail = self.summary().detail(self.job_view(), &self.stored_holds);
        JobDetail {
            needs: self.shown_needs(),
            needs_count: self.needs.len(),
            ..detail
        }
    }

    /// For whoever asks: not all of them, if there are very many.
    fn shown_needs(&self) -> Vec<JobId> {
        self.needs.iter().take(NEEDS_SHOWN).cloned().collect()
    }

    fn summary(&self) -> JobSummary {
        let s = &self.spec;
        JobSummary {
            class: s.class.clone(),
            team: s.team.clone(),
            tasks: s.tasks,
            takes: (s.cpus, s.gpus, s.memory_gb),
            submitted: self.submitted.0,
            ended: self.ended.map(|w| w.0),
            due: s.deadline_s.map(|d| self.submitted.0 + (d * 1000.0) as u64),
            history: self.history.encode(FINAL_HISTORY),
            cancelled_with: self.cancelled_with.clone(),
        }
    }

    /// The final record of a job that is over: its state, and its life.
    pub fn final_record(&self, f: Final) -> Value {
        let facts = Some(self.summary());
        let record = FinalRecord { end: f, facts };
        serde_json::to_value(record).unwrap_or_default()
    }
}

/// Needed jobs that are told one by one.
const NEEDS_SHOWN: usize = 100;
/// Bytes for the history of a finished job.
const FINAL_HISTORY: usize = 500;

/// What stays of a job besides its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct JobSummary {
    #[serde(rename = "c")]
    class: Class,
    #[serde(rename = "t")]
    team: Team,
    #[serde(rename = "n")]
    tasks: u32,
    /// CPUs, accelerators and memory of each task.
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
    /// The job that it needed and that was cancelled.
    #[serde(rename = "cw", default, skip_serializing_if = "Option::is_none")]
    cancelled_with: Option<JobId>,
}

#[derive(Serialize, Deserialize)]
struct FinalRecord {
    #[serde(flatten)]
    end: Final,
    /// Of jobs that ended before there were histories there is none.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    facts: Option<JobSummary>,
}

impl JobSummary {
    fn detail(&self, job: JobView, holds: &Holds) -> JobDetail {
        let at = At(self.submitted);
        let h = History::decode(at, &self.history).unwrap_or_else(|| History::new(at));
        let of = |ms: u64| {
            let t = ms as f64 / 1000.0;
            let (cpu, accelerator, memory_gb) = self.takes;
            TaskSeconds {
                cpu: t * cpu,
                accelerator: t * accelerator,
                memory_gb: t * memory_gb,
            }
        };
        let times = |w: &What| (*w, h.count(*w));
        JobDetail {
            job,
            class: self.class.clone(),
            team: self.team.clone(),
            tasks: self.tasks,
            submitted_ms: self.submitted,
            first_start_ms: h.first_start().map(|a| a.0),
            ended_ms: self.ended,
            due_ms: self.due,
            held: holds.iter().cloned().collect(),
            needs: vec![],
            needs_count: 0,
            cancelled_with: self.cancelled_with.clone(),
            counts: What::ALL.iter().map(times).filter(|c| c.1 > 0).collect(),
            useful: of(h.usage().useful_ms),
            lost: of(h.usage().lost_ms),
            history: h.entries().copied().collect(),
        }
    }
}

/// What the final record of a job tells; `None` if it can't be read.
pub fn detail_of_record(id: &JobId, record: Value) -> Option<JobDetail> {
    let r: FinalRecord = serde_json::from_value(record).ok()?;
    let job = JobView {
        id: id.clone(),
        state: r.end.state,
        done: r.end.done,
        running: 0,
    };
    let none = || JobSummary {
        class: "".into(),
        team: "".into(),
        tasks: r.end.done,
        takes: (0.0, 0.0, 0.0),
        submitted: 0,
        ended: None,
        due: None,
        history: Value::Null,
        cancelled_with: None,
    };
    let facts = r.facts.unwrap_or_else(none);
    Some(facts.detail(job, &Holds::default()))
}
