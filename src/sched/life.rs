//! A job's life beyond placing: holds, limits of retries, what has happened and
//! what was used. All of it is stored with the job's records, and told once it is.

use super::dependencies::ParentOutcome;
use super::job::{Final, Job, Live, Phase, Waiting};
use super::records::Purpose;
use super::users::view;
use super::{Effect, Sched};
use crate::ids::{Class, Host, JobId, RequestId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{HoldView, JobDetail, JobKind, JobState, JobView, ResourceSeconds};
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

impl Sched {
    /// Answers what can't be held or released, which is over; true if it did.
    fn over(&mut self, now: Time, req: RequestId, id: &JobId, ask: &Request) -> bool {
        if let Some(f) = self.finals.get(id) {
            let a = Answer::new(409, view(id, f.state, f.done, 0));
            self.answer(req, a);
        } else if !self.may_start(now) {
            self.no_proof(req);
        } else if self.unreadable.contains_key(id) {
            self.answer(req, Answer::later("the job's record can't be read", 30));
        } else if !self.ancestors_known(id) {
            self.answer(req, Answer::later("what it needs is being looked up", 1));
        } else if let Some(j) = self.jobs.get_mut(id) {
            if j.closing.is_some() {
                // Told with its final state, once that is stored.
                j.waiters.push((u64::MAX, req, Waiting::Hold(false)));
            } else if j.cancelled && j.parts[0].stored >= j.cancel_ver {
                let a = Answer::new(409, view(id, JobState::Cancelled, j.done_count, 0));
                self.answer(req, a);
            } else if j.cancelled {
                self.answer(req, Answer::later("the job is being cancelled", 1));
            } else {
                return false;
            }
        } else {
            self.look_up(now, req, id.clone(), ask.clone());
        }
        true
    }

    pub(super) fn hold(&mut self, now: Time, req: RequestId, id: JobId, body: Vec<u8>) {
        let r = match HoldRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.over(now, req, &id, &Request::Hold(id.to_string(), body)) {
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
        self.tell_stored(req, &id, true);
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
            j.holds_ver = j.touch(0, &mut self.dirty, purpose);
        }
        self.call_back(now, id);
        self.replan = true;
    }

    /// Ends what has not begun. A command that is under way may still start it;
    /// then it is told to end as soon as it is seen.
    fn call_back(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let leeway = j.spec.save_s + 1.0;
        let begun = |l: &Live| matches!(l.phase, Phase::Running | Phase::Saving);
        if j.spec.kind == JobKind::Gang {
            // It begins together or not at all.
            if !j.gang_ran && !j.live.values().any(begun) {
                self.stop_gang(now, id);
            }
            return;
        }
        // What an earlier leader placed may run, unseen as yet.
        let on_its_way = |l: &Live| l.phase == Phase::Placed && l.stop.is_none() && !l.inherited;
        let some = j.live.iter().filter(|(_, l)| on_its_way(l));
        let tasks: Vec<TaskIndex> = some.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop(now, id, t, leeway);
        }
    }

    /// What runs is told to save and end; a gang all at once.
    fn stop_running(&mut self, now: Time, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        if j.spec.kind == JobKind::Gang {
            return self.stop_gang(now, id);
        }
        let leeway = j.spec.save_s + 1.0;
        let goes_on = j.live.iter().filter(|(_, l)| l.stop.is_none());
        let tasks: Vec<TaskIndex> = goes_on.map(|(t, _)| *t).collect();
        for t in tasks {
            self.stop(now, id, t, leeway);
        }
    }

    pub(super) fn release(&mut self, now: Time, req: RequestId, id: JobId, body: Vec<u8>) {
        let r = match ReleaseRequest::parse(&body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e)),
        };
        if self.over(now, req, &id, &Request::Release(id.to_string(), body)) {
            return;
        }
        if self.take_hold(&id, r.kind, &r.by)
            && r.kind == HoldKind::System
            && let Some(j) = self.jobs.get_mut(&id)
        {
            // Whoever lets it go on wants it tried anew.
            for part in j.parts_with_failures() {
                j.touch(part, &mut self.dirty, Purpose::Now);
            }
            j.attempts.reset();
        }
        self.tell_stored(req, &id, false);
    }

    /// Answers once all that is known of the job's holds is stored; also where
    /// nothing has changed, as what was asked first may not be stored yet.
    fn tell_stored(&mut self, req: RequestId, id: &JobId, held: bool) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let ver = j.parts[0].ver;
        if j.parts[0].stored < ver {
            return j.waiters.push((ver, req, Waiting::Hold(held)));
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
    fn take_hold(&mut self, id: &JobId, kind: HoldKind, by: &str) -> bool {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        if j.holds.release(kind).is_none() {
            return false;
        }
        tracing::info!(job = %id, ?kind, by, "released");
        j.history.note(What::Released, wall.into());
        j.release_ver = j.touch(0, &mut self.dirty, Purpose::Now);
        j.holds_ver = j.release_ver;
        self.replan = true;
        true
    }

    /// An attempt ended without being done. What follows for the job is stored
    /// along with that.
    pub(super) fn note_failure(&mut self, now: Time, t: &TaskId, l: &Live, why: Failure) {
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
        let rule = self.rules.get(&j.spec.class).copied().unwrap_or_default();
        let of = (t.index.0, j.spec.tasks);
        match j.attempts.failed(of, l.host.as_str(), why, &rule) {
            RetryDecision::NotCounted => {}
            RetryDecision::RetryAfter(pause) => {
                let pause = Span(pause.as_micros() as u64);
                j.backoff_until = j.backoff_until.max(now + pause);
            }
            RetryDecision::Exhausted(n) => {
                let hold = Hold {
                    kind: HoldKind::System,
                    by: LIMIT.into(),
                    why: format!("task {} failed {n} times, at last on {}", t.index, l.host),
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
    pub(super) fn forgive(&mut self, host: &Host) {
        let mut free = vec![];
        for j in self.jobs.values_mut() {
            let parts = j.parts_with_failures();
            if !j.attempts.forgive(host.as_str()) {
                continue;
            }
            for p in parts {
                j.touch(p, &mut self.dirty, Purpose::Progress);
            }
            let rule = self.rules.get(&j.spec.class).copied().unwrap_or_default();
            if j.failed_too_often() && !j.attempts.exhausted(&rule) {
                free.push(j.id().clone());
            }
        }
        for id in free {
            tracing::info!(job = %id, %host, "its machine was faulty");
            // The failures elsewhere stay counted.
            self.take_hold(&id, HoldKind::System, "hookworks");
        }
    }

    /// Lines of jobs that have changed since they were last asked for; `Err`:
    /// it is over, with the state that it came to.
    pub fn take_changed(&mut self) -> Vec<(JobId, Result<Line, Option<JobState>>)> {
        let changed = std::mem::take(&mut self.dirty.changed);
        let mut lines = Vec::with_capacity(changed.len());
        for id in changed {
            if !self.ancestors_known(&id) {
                self.dirty.changed.insert(id);
                continue;
            }
            match self.jobs.get(&id) {
                // What is not stored is not told: it could go back.
                Some(j) if j.parts[0].stored == 0 => {}
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

    /// What the whole record of a job says; of a finished one it is read.
    pub(super) fn show(&mut self, now: Time, req: RequestId, id: JobId) {
        if !self.may_start(now) {
            return self.no_proof(req);
        }
        if self.unreadable.contains_key(&id) {
            return self.answer(req, Answer::later("the job's record can't be read", 30));
        }
        if !self.ancestors_known(&id) {
            return self.answer(req, Answer::later("what it needs is being looked up", 1));
        }
        let open = |j: &Job| j.closing.is_none() || j.cancelled_with.is_some();
        let stored = |j: &Job| j.parts[0].stored > 0 && open(j);
        match self.jobs.get(&id) {
            Some(j) if stored(j) && (!j.cancelled || j.cancellation_stored()) => {
                let body = serde_json::to_string(&j.detail()).unwrap_or_default();
                self.answer(req, Answer::new(200, body));
            }
            Some(_) => self.answer(req, Answer::later("the job is being stored", 1)),
            None if !JobId::is_well_formed(id.as_str()) => {
                self.answer(req, Answer::error(404, "no such job"));
            }
            None if self.record_reads >= MAX_RECORDS || !self.look_ups.has(now, 1.0) => {
                self.answer(req, Answer::later("too many look-ups at a time", 1));
            }
            None => {
                self.record_reads += 1;
                self.look_ups.take(now, 1.0);
                self.out.push(Effect::ReadRecord(req, id));
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
        if self.named_read(now, req, &id, &r) {
            return;
        }
        self.record_reads = self.record_reads.saturating_sub(1);
        let detail = |v: Value| detail_of_record(&id, v);
        let a = match r {
            Err(()) => Answer::later("the state service does not answer", 1),
            Ok(Some(v)) => match detail(v) {
                Some(d) => Answer::new(200, serde_json::to_string(&d).unwrap_or_default()),
                None => Answer::later("the job's record can't be read", 30),
            },
            Ok(None) if !self.may_start(now) => return self.no_proof(req),
            // It may have been accepted since the read was asked for.
            Ok(None) if self.jobs.contains_key(&id) || self.finals.contains_key(&id) => {
                return self.show(now, req, id);
            }
            Ok(None) => Answer::error(404, "no such job"),
        };
        self.answer(req, a);
    }
}

impl Sched {
    /// A task has begun to run; it may have a limit.
    pub(super) fn note_limit(&mut self, t: &TaskId, since: Time) {
        let limit = self.jobs.get(&t.job).and_then(|j| j.spec.limit_s);
        if let Some(s) = limit {
            self.time_limits.insert((since + Span::secs(s), t.clone()));
        }
    }

    /// Those that have run for longer than they may are told to save and end,
    /// and a while later to end at once.
    pub(super) fn end_overlong(&mut self, now: Time) {
        while let Some((at, t)) = self.time_limits.first().cloned()
            && at <= now
        {
            self.time_limits.pop_first();
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let (Some(limit), Some(l)) = (j.spec.limit_s, j.live.get(&t.index)) else {
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
                self.stop(now, &t.job, t.index, 0.0);
                continue;
            }
            tracing::info!(task = %t, limit, "ran for longer than it may");
            let again = now + Span::secs(saves + self.cfg.workers.report_s);
            if j.spec.kind == JobKind::Gang {
                self.stop_gang(now, &t.job);
            } else {
                self.stop(now, &t.job, t.index, saves);
            }
            if let Some(l) = self.live_mut(&t) {
                l.timed_out = true;
                self.time_limits.insert((again, t));
            }
        }
    }
}

impl Job {
    /// Nothing of it may start: it is held, or its release is not stored yet.
    pub fn held(&self) -> bool {
        !self.holds.is_empty() || self.parts[0].stored < self.release_ver
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
            !self.attempts.encode(from, to).is_empty()
        };
        (0..self.parts.len()).filter(has).collect()
    }

    /// A run of a task is over; what of it was of use.
    pub(super) fn account(&mut self, now: Time, l: &Live, done: bool, kept: bool) {
        let Some(since) = l.running_since else { return };
        let ran = (now - since).0 / 1000;
        let step = (self.spec.checkpoint_s * 1000.0) as u64;
        let useful = match self.spec.kind {
            _ if done || kept => ran,
            // A replica was of use for as long as it ran.
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

    /// All that is known of the job.
    pub fn detail(&self) -> JobDetail {
        let detail = self.facts().detail(self.job_view(), &self.shown);
        JobDetail {
            dependencies: self.shown_needs(),
            dependency_count: self.needs.len(),
            ..detail
        }
    }

    /// For whoever asks: not all of them, if there are very many.
    fn shown_needs(&self) -> Vec<JobId> {
        self.needs.iter().take(NEEDS_SHOWN).cloned().collect()
    }

    fn facts(&self) -> Facts {
        let s = &self.spec;
        Facts {
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
        let facts = Some(self.facts());
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
struct Facts {
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
    facts: Option<Facts>,
}

impl Facts {
    fn detail(&self, job: JobView, holds: &Holds) -> JobDetail {
        let at = At(self.submitted);
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
            dependencies: vec![],
            dependency_count: 0,
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
    let none = || Facts {
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
