//! Holds, retry limits, time limits, history and resource usage of jobs. All of it is stored
//! with the job's records and shown once it is stored.

use super::dependencies::ParentOutcome;
use super::job::{ActiveAttempt, Final, Job, Phase, ReplyKind};
use super::records::Purpose;
use super::requests::job_view_json;
use super::{Effect, Scheduler};
use crate::ids::{Class, Host, JobId, RequestId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{HoldView, JobDetail, JobKind, JobState, JobView, ResourceSeconds};
use hookworks_job_lifecycle::{
    Failure, History, Hold, HoldKind, HoldRequest, Holds, JobEvent, ReleaseRequest, RetryDecision,
    WallMillis,
};
use hookworks_listing::Line;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum reads of finished jobs' records in flight.
const MAX_RECORD_READS: usize = 64;
/// Author of the hold on a job that has exhausted its retries.
const RETRY_LIMIT_AUTHOR: &str = "retry-limit";

impl Scheduler {
    /// Answers a hold or release of a job that is not active. Returns true if it answered.
    fn refuse_unless_active(
        &mut self,
        now: Time,
        req: RequestId,
        id: &JobId,
        ask: &Request,
    ) -> bool {
        if let Some(f) = self.finals.get(id) {
            let a = Answer::new(409, job_view_json(id, f.state, f.done, 0));
            self.answer(req, a);
        } else if !self.may_start(now) {
            self.answer_unconfirmed(req);
        } else if self.unreadable.contains_key(id) {
            self.answer(req, Answer::later("the job's record can't be read", 30));
        } else if !self.ancestors_known(id) {
            self.answer(
                req,
                Answer::later("the job's dependencies are being looked up", 1),
            );
        } else if let Some(j) = self.jobs.get_mut(id) {
            if j.closing_state.is_some() {
                // Answered with the final state once that is stored.
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

    pub(super) fn hold(&mut self, now: Time, req: RequestId, id: JobId, body: Vec<u8>) {
        let r = match HoldRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.refuse_unless_active(now, req, &id, &Request::Hold(id.to_string(), body)) {
            return;
        }
        let hold = Hold {
            kind: r.kind,
            by: r.by,
            why: r.why,
            at: self.wall.into(),
        };
        tracing::info!(job = %id, kind = ?hold.kind, by = %hold.by, stop = r.stop, "job held");
        self.put_hold(now, &id, hold, Purpose::Now);
        self.answer_when_stored(req, &id, true);
        if r.stop {
            self.stop_running(now, &id);
        }
    }

    /// Puts a hold on the job: nothing more starts, and attempts that have not begun are
    /// stopped.
    pub(super) fn put_hold(&mut self, now: Time, id: &JobId, hold: Hold, purpose: Purpose) {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.holds.put(hold) {
            j.history.note(JobEvent::Held, wall.into());
            j.holds_version = j.mark_changed(0, &mut self.write_queue, purpose);
        }
        self.stop_unstarted(now, id);
        self.replan = true;
    }

    /// Stops attempts that have not begun. A command in flight may still start one, which is
    /// then stopped as soon as a heartbeat reports it.
    fn stop_unstarted(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let leeway = j.spec.save_s + 1.0;
        let has_begun = |l: &ActiveAttempt| matches!(l.phase, Phase::Running | Phase::Saving);
        if j.spec.kind == JobKind::Gang {
            // A gang begins as a whole or not at all.
            if !j.gang_ran && !j.active.values().any(has_begun) {
                self.stop_gang(now, id);
            }
            return;
        }
        // An attempt placed by an earlier leader may be running without having been reported
        // yet.
        let not_begun =
            |l: &ActiveAttempt| l.phase == Phase::Placed && l.stop.is_none() && !l.inherited;
        let some = j.active.iter().filter(|(_, l)| not_begun(l));
        let tasks: Vec<TaskIndex> = some.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop_attempt(now, id, t, leeway);
        }
    }

    /// Tells active attempts to save and end; a gang as a whole.
    fn stop_running(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        if j.spec.kind == JobKind::Gang {
            return self.stop_gang(now, id);
        }
        let leeway = j.spec.save_s + 1.0;
        let not_stopping = j.active.iter().filter(|(_, l)| l.stop.is_none());
        let tasks: Vec<TaskIndex> = not_stopping.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop_attempt(now, id, t, leeway);
        }
    }

    pub(super) fn release(&mut self, now: Time, req: RequestId, id: JobId, body: Vec<u8>) {
        let r = match ReleaseRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.refuse_unless_active(now, req, &id, &Request::Release(id.to_string(), body)) {
            return;
        }
        if self.remove_hold(&id, r.kind, &r.by)
            && r.kind == HoldKind::System
            && let Some(j) = self.jobs.get_mut(&id)
        {
            // Releasing the system hold starts the retries anew.
            for part in j.parts_with_failures() {
                j.mark_changed(part, &mut self.write_queue, Purpose::Now);
            }
            j.failure_counts.reset();
        }
        self.answer_when_stored(req, &id, false);
    }

    /// Answers once all changes of the job are stored, also if this request changed nothing,
    /// as an earlier one may not be stored yet.
    fn answer_when_stored(&mut self, req: RequestId, id: &JobId, held: bool) {
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

    /// The response to a hold or release that is stored.
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

    /// Removes a hold; false if there was none. Nothing starts before the release is stored:
    /// otherwise a new leader could find the job held, with tasks that began all the same.
    fn remove_hold(&mut self, id: &JobId, kind: HoldKind, by: &str) -> bool {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        if j.holds.release(kind).is_none() {
            return false;
        }
        tracing::info!(job = %id, ?kind, by, "job hold released");
        j.history.note(JobEvent::Released, wall.into());
        j.release_version = j.mark_changed(0, &mut self.write_queue, Purpose::Now);
        j.holds_version = j.release_version;
        self.replan = true;
        true
    }

    /// Records that an attempt ended without success. The consequences for the job are
    /// stored with it.
    pub(super) fn note_failure(&mut self, now: Time, t: &TaskId, l: &ActiveAttempt, why: Failure) {
        let wall = self.wall;
        let host_quarantined = self.machines.get(&l.host).is_some_and(|m| m.quarantined);
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let what = match why {
            Failure::Error => JobEvent::Failed,
            Failure::TimedOut => JobEvent::TimedOut,
            Failure::Lost => JobEvent::Lost,
            Failure::Stopped => JobEvent::Stopped,
        };
        j.history.note(what, wall.into());
        if why == Failure::Error && host_quarantined || j.cancelled {
            return;
        }
        let rule = self
            .retry_policies
            .get(&j.spec.class)
            .copied()
            .unwrap_or_default();
        let of = (t.index.0, j.spec.tasks);
        match j.failure_counts.failed(of, l.host.as_str(), why, &rule) {
            RetryDecision::NotCounted => {}
            RetryDecision::RetryAfter(pause) => {
                let pause = Span(pause.as_micros() as u64);
                j.backoff_until = j.backoff_until.max(now + pause);
            }
            RetryDecision::Exhausted(n) => {
                let hold = Hold {
                    kind: HoldKind::System,
                    by: RETRY_LIMIT_AUTHOR.into(),
                    why: format!("task {} failed {n} times, at last on {}", t.index, l.host),
                    at: wall.into(),
                };
                tracing::info!(job = %t.job, why = %hold.why, "job held: retry limit reached");
                let id = t.job.clone();
                self.put_hold(now, &id, hold, Purpose::Start);
                self.announce(&id, ParentOutcome::Failed);
            }
        }
    }

    /// Discards failures on a machine that turned out to be faulty, and releases jobs that
    /// were held only because of them.
    pub(super) fn discard_failures_on(&mut self, host: &Host) {
        let mut releasable = vec![];
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
                releasable.push(j.id().clone());
            }
        }
        for id in releasable {
            tracing::info!(job = %id, %host, "job hold lifted: failures were caused by a faulty machine");
            // Failures on other machines stay counted.
            self.remove_hold(&id, HoldKind::System, "hookworks");
        }
    }

    /// Lines of jobs that changed since the last call; `Err` for a finished job, with its
    /// final state if that is cached.
    pub fn take_changed(&mut self) -> Vec<(JobId, Result<Line, Option<JobState>>)> {
        let changed = std::mem::take(&mut self.write_queue.changed);
        let mut lines = Vec::with_capacity(changed.len());
        for id in changed {
            if !self.ancestors_known(&id) {
                self.write_queue.changed.insert(id);
                continue;
            }
            match self.jobs.get(&id) {
                // Only stored state is shown: any other could be lost.
                Some(j) if j.parts[0].stored_version == 0 => {}
                Some(j) if j.cancelled && !j.cancellation_stored() => {}
                Some(j) => lines.push((id, Ok(j.detail().into_line()))),
                None => {
                    let state = self.finals.get(&id).map(|f| f.state);
                    lines.push((id, Err(state)));
                }
            }
        }
        lines
    }

    /// Answers with all details of a job; the record of a finished one is read from the
    /// store.
    pub(super) fn show_job(&mut self, now: Time, req: RequestId, id: JobId) {
        if !self.may_start(now) {
            return self.answer_unconfirmed(req);
        }
        if self.unreadable.contains_key(&id) {
            return self.answer(req, Answer::later("the job's record can't be read", 30));
        }
        if !self.ancestors_known(&id) {
            return self.answer(
                req,
                Answer::later("the job's dependencies are being looked up", 1),
            );
        }
        let open = |j: &Job| j.closing_state.is_none() || j.cancelled_with.is_some();
        let stored = |j: &Job| j.parts[0].stored_version > 0 && open(j);
        match self.jobs.get(&id) {
            Some(j) if stored(j) && (!j.cancelled || j.cancellation_stored()) => {
                let body = serde_json::to_string(&j.detail()).unwrap_or_default();
                self.answer(req, Answer::new(200, body));
            }
            Some(_) => self.answer(req, Answer::later("the job is being stored", 1)),
            None if !JobId::is_well_formed(id.as_str()) => {
                self.answer(req, Answer::error(404, "no such job"));
            }
            None if self.record_reads_in_flight >= MAX_RECORD_READS
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
        req: RequestId,
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
            // It may have been accepted since the read was sent.
            Ok(None) if self.jobs.contains_key(&id) || self.finals.contains_key(&id) => {
                return self.show_job(now, req, id);
            }
            Ok(None) => Answer::error(404, "no such job"),
        };
        self.answer(req, a);
    }
}

impl Scheduler {
    /// Schedules the time limit of a task that has begun to run, if it has one.
    pub(super) fn track_time_limit(&mut self, t: &TaskId, since: Time) {
        let limit = self.jobs.get(&t.job).and_then(|j| j.spec.limit_s);
        if let Some(s) = limit {
            self.time_limits.insert((since + Span::secs(s), t.clone()));
        }
    }

    /// Tells tasks that exceed their time limit to save and end, and some time later to end
    /// at once.
    pub(super) fn enforce_time_limits(&mut self, now: Time) {
        while let Some((at, t)) = self.time_limits.first().cloned()
            && at <= now
        {
            self.time_limits.pop_first();
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let (Some(limit), Some(l)) = (j.spec.limit_s, j.active.get(&t.index)) else {
                continue;
            };
            let Some(since) = l.running_since else {
                continue;
            };
            let over = since + Span::secs(limit);
            if now < over {
                // Meanwhile it is another attempt.
                self.time_limits.insert((over, t));
                continue;
            }
            let saves = j.spec.save_s + 1.0;
            if l.timed_out {
                self.stop_attempt(now, &t.job, t.index, 0.0);
                continue;
            }
            tracing::info!(task = %t, limit, "task exceeded its time limit");
            let again = now + Span::secs(saves + self.config.workers.report_s);
            if j.spec.kind == JobKind::Gang {
                self.stop_gang(now, &t.job);
            } else {
                self.stop_attempt(now, &t.job, t.index, saves);
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

    /// Held by the scheduler because a task has exhausted its retries.
    pub(super) fn failed_too_often(&self) -> bool {
        self.holds
            .get(HoldKind::System)
            .is_some_and(|h| h.by == RETRY_LIMIT_AUTHOR)
    }

    fn parts_with_failures(&self) -> Vec<usize> {
        let has = |p: &usize| {
            let (from, to) = self.part_range(*p);
            !self.failure_counts.encode(from, to).is_empty()
        };
        (0..self.parts.len()).filter(has).collect()
    }

    /// Records the useful and the lost time of an attempt that has ended.
    pub(super) fn record_usage(&mut self, now: Time, l: &ActiveAttempt, done: bool, kept: bool) {
        let Some(since) = l.running_since else { return };
        let ran = (now - since).0 / 1000;
        let step = (self.spec.checkpoint_s * 1000.0) as u64;
        let useful = match self.spec.kind {
            _ if done || kept => ran,
            // A replica is useful for as long as it runs.
            JobKind::Service => ran,
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

    /// All details of the job.
    pub fn detail(&self) -> JobDetail {
        let detail = self.summary().detail(self.job_view(), &self.stored_holds);
        JobDetail {
            dependencies: self.shown_needs(),
            dependency_count: self.needs.len(),
            ..detail
        }
    }

    /// The first dependencies, at most `MAX_DEPENDENCIES_SHOWN`.
    fn shown_needs(&self) -> Vec<JobId> {
        self.needs
            .iter()
            .take(MAX_DEPENDENCIES_SHOWN)
            .cloned()
            .collect()
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
            history: self.history.encode(FINAL_HISTORY_BYTES),
            cancelled_with: self.cancelled_with.clone(),
        }
    }

    /// The final record of a finished job: its state and its summary.
    pub fn final_record(&self, f: Final) -> Value {
        let facts = Some(self.summary());
        let record = FinalRecord { end: f, facts };
        serde_json::to_value(record).unwrap_or_default()
    }
}

/// Maximum dependencies listed one by one.
const MAX_DEPENDENCIES_SHOWN: usize = 100;
/// Maximum bytes for the history of a finished job.
const FINAL_HISTORY_BYTES: usize = 500;

/// What is kept of a finished job besides its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct JobSummary {
    #[serde(rename = "c")]
    class: Class,
    #[serde(rename = "t")]
    team: Team,
    #[serde(rename = "n")]
    tasks: u32,
    /// CPUs, accelerators and memory in GB of each task.
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
    /// The dependency whose cancellation cancelled this job.
    #[serde(rename = "cw", default, skip_serializing_if = "Option::is_none")]
    cancelled_with: Option<JobId>,
}

#[derive(Serialize, Deserialize)]
struct FinalRecord {
    #[serde(flatten)]
    end: Final,
    /// Absent for jobs that ended before histories were introduced.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    facts: Option<JobSummary>,
}

impl JobSummary {
    fn detail(&self, job: JobView, holds: &Holds) -> JobDetail {
        let at = WallMillis(self.submitted);
        let h = History::decode(at, &self.history).unwrap_or_else(|| History::new(at));
        let of = |ms: u64| {
            let t = ms as f64 / 1000.0;
            let (cpu, accelerator, memory_gb) = self.takes;
            ResourceSeconds {
                cpu: t * cpu,
                accelerator: t * accelerator,
                memory_gb: t * memory_gb,
            }
        };
        let event_count = |w: &JobEvent| (*w, h.count(*w));
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
            dependencies: vec![],
            dependency_count: 0,
            cancelled_with: self.cancelled_with.clone(),
            counts: JobEvent::ALL
                .iter()
                .map(event_count)
                .filter(|c| c.1 > 0)
                .collect(),
            useful: of(h.usage().useful_ms),
            lost: of(h.usage().lost_ms),
            history: h.entries().copied().collect(),
        }
    }
}

/// The details in the final record of a job; `None` if it can't be decoded.
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
