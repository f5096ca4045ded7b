//! Reconciliation of workers' reports with the attempts on record: what a report
//! proves, and when an attempt is proven gone. Which commands its worker gets next is
//! decided in `worker_commands`, whether and when it is answered in `heartbeats`.

use super::dependencies::ParentOutcome;
use super::job::{ActiveAttempt, Phase, Stop};
use super::machine::{Machine, MachineState};
use super::reachability::SessionChange;
use super::{Scheduler, estimate};
use crate::ids::{Attempt, Host, JobId, Session, TaskId, TaskIndex};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use crate::wire::worker::{Cause, Report, TaskReport, TaskState};
use hookworks_fairness::JobEvent::Started;
use hookworks_job_lifecycle::{Failure, JobEvent};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff of a machine that refused a start.
const REFUSED_START_BACKOFF: Span = Span(2_000_000);
/// Backoff of a job whose attempt ended for an unknown reason.
const UNKNOWN_END_BACKOFF: Span = Span(3_000_000);

/// How a report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// Sent by the worker as a heartbeat; it may be a duplicate of an old one.
    Heartbeat,
    /// The response to a direct call of this leader.
    DirectCall,
}

impl TaskReport {
    /// Whether the attempt has not ended.
    fn is_active(&self) -> bool {
        self.state != TaskState::Ended
    }
}

impl Phase {
    /// None for an attempt that has ended.
    fn of(state: TaskState) -> Option<Phase> {
        match state {
            TaskState::Fetching => Some(Phase::Fetching),
            TaskState::Waiting => Some(Phase::Waiting),
            TaskState::Running => Some(Phase::Running),
            TaskState::Saving => Some(Phase::Saving),
            TaskState::Ended => None,
        }
    }
}

impl Machine {
    /// Compares the session with that of the previous report. After a failover the
    /// first report proves nothing about earlier sessions: the loaded attempts may
    /// belong to this one.
    fn compare_session(&self, session: Session) -> SessionChange {
        if self.session == Session(0) || session <= self.session {
            SessionChange::Same
        } else if self.session_confirmed {
            SessionChange::Later
        } else {
            SessionChange::Unproven
        }
    }

    /// Updates the machine from a newer report.
    fn update_from_report(&mut self, now: Time, report: &Report, source: ReportSource) {
        self.session = report.session;
        self.seq = report.seq;
        self.last_contact = now;
        if source == ReportSource::Heartbeat || self.last_report.is_none() {
            self.last_heartbeat = now;
        }
        self.last_report = Some(now);
        self.build = report.build.clone();
        self.zone = report.zone.clone();
        self.spot = report.spot;
        if report.addr.is_some() {
            self.addr = report.addr.clone();
        }
        if self.state == MachineState::Booting {
            self.state = MachineState::Up;
        }
    }

    fn update_spot_notice(&mut self, now: Time, notice_s: Option<f64>) {
        let noticed = self.spot_notice_until.is_some();
        let notice_s = notice_s.filter(|_| self.session_confirmed);
        self.spot_notice_until = notice_s.map(|s| now + Span::secs(s));
        if let Some(seconds) = notice_s
            && !noticed
        {
            tracing::info!(host = %self.host, seconds, "spot notice");
        }
    }
}

impl Scheduler {
    /// Applies a report. Returns false if a newer one has been applied already.
    pub(super) fn apply_report(
        &mut self,
        now: Time,
        report: &Report,
        source: ReportSource,
    ) -> bool {
        let Some(session) = self.update_worker(now, report, source) else {
            return false;
        };
        if session == SessionChange::Later {
            self.new_session(now, report);
        }
        let shown = self.apply_tasks(now, report);
        if source == ReportSource::Heartbeat {
            self.check_answer_effect(now, report, &shown, session);
        }
        self.handle_missing_attempts(now, &report.host, &shown, source);
        true
    }

    /// Updates machine and worker from a report; none if a newer one has been applied
    /// already.
    fn update_worker(
        &mut self,
        now: Time,
        report: &Report,
        source: ReportSource,
    ) -> Option<SessionChange> {
        let token = self.base_token();
        let renewed = self.latest_lease_renewal(now);
        let machines = self.machines.entry(report.host.clone());
        let machine = machines.or_insert_with(|| {
            tracing::info!(host = %report.host, "report from an unknown machine");
            let (build, zone) = (report.build.clone(), report.zone.clone());
            let mut machine =
                Machine::new(report.host.clone(), build, zone, report.spot, now, token);
            machine.last_renewal = renewed;
            machine
        });
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return None;
        }
        let session = machine.compare_session(report.session);
        // A heartbeat may be a duplicate of an old one unless it carries our token.
        let sent_under_this_leader = source == ReportSource::DirectCall || report.token >= token;
        machine.session_confirmed |= sent_under_this_leader;
        machine.existence_confirmed |= sent_under_this_leader;
        machine.update_from_report(now, report, source);
        if let Some(machine_type) = self.machine_types.get(&machine.build) {
            machine.set_machine_type(machine_type);
        }
        if !machine.has_reported || session != SessionChange::Same {
            // The session, and with it the lease, may have started just now, long after
            // the machine was rented.
            machine.last_renewal = machine.last_renewal.max(now);
        }
        if !machine.has_reported {
            machine.has_reported = true;
            machine.idle_since = now;
            self.replan = true;
        }
        self.replan |= machine.confirm_token(now, report.token);
        machine.update_spot_notice(now, report.notice_s);
        Some(session)
    }

    /// Applies each task of a report. Returns our active attempts; the others are kept
    /// as unknown attempts.
    fn apply_tasks(&mut self, now: Time, report: &Report) -> BTreeSet<TaskId> {
        let mut unknown_attempts = BTreeMap::new();
        let mut shown = BTreeSet::new();
        for task in &report.tasks {
            if self.apply_task(now, report, task) {
                shown.insert(task.task.clone());
                continue;
            }
            let ended = task.state == TaskState::Ended;
            if ended && task.cause == Some(Cause::Done) {
                self.completed_after_loss(task);
            }
            unknown_attempts.insert((task.task.clone(), task.attempt), ended);
        }
        if let Some(machine) = self.machines.get_mut(&report.host) {
            machine.unknown_attempts = unknown_attempts;
        }
        shown
    }

    /// A session later than one that was heard in this term proves that the old lease has
    /// expired, so everything has ended that the worker does not show. Not so where the
    /// earlier session is known from a heartbeat that may be a copy: an earlier leader may
    /// have resumed an attempt in the later one under its number. What is missing then ends
    /// as in any report, in `handle_missing_attempts`.
    fn new_session(&mut self, now: Time, report: &Report) {
        let host = &report.host;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.unconfirmed_token = None;
        let shown = |task: &TaskId, attempt: Attempt| {
            let is_shown = |reported: &TaskReport| {
                reported.task == *task && reported.attempt == attempt && reported.is_active()
            };
            report.tasks.iter().any(is_shown)
        };
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            let ended =
                |active: &&mut ActiveAttempt| active.run_sent && !shown(&task, active.attempt);
            if self.active_attempt_mut(&task).filter(ended).is_some() {
                tracing::debug!(%host, %task, "attempt ended with its worker's session");
                self.attempt_gone_with(now, &task, Some(Failure::Lost), false);
            }
        }
    }

    /// The active attempt of a task, if any.
    pub(super) fn active_attempt_mut(&mut self, task: &TaskId) -> Option<&mut ActiveAttempt> {
        self.jobs.get_mut(&task.job)?.active.get_mut(&task.index)
    }

    /// Applies what a report says of one task. Returns true if it is an active attempt of
    /// ours on that machine.
    fn apply_task(&mut self, now: Time, report: &Report, reported: &TaskReport) -> bool {
        let (host, task) = (&report.host, &reported.task);
        let Some(active) = self.active_attempt_mut(task) else {
            return false;
        };
        if active.attempt != reported.attempt || active.host != *host {
            return false;
        }
        let (running_since, run_sent) = (active.running_since, active.run_sent);
        if !run_sent && self.was_listed_as_ended(host, task, reported.attempt) {
            // An earlier member of the gang, replaced by this one under the same number.
            return false;
        }
        let Some(phase) = Phase::of(reported.state) else {
            if !self.is_end_final(report, task) {
                return self.await_proof_of_end(host, run_sent);
            }
            self.attempt_ended(now, host, reported, running_since);
            return false;
        };
        self.set_phase(host, task, phase);
        if phase == Phase::Running && running_since.is_none() {
            self.first_seen_running(now, host, task);
        }
        true
    }

    /// Whether an attempt that this report shows as ended can't have been started again
    /// under its number since the report was sent.
    ///
    /// An array task or a replica is started again only in a later session: within one, its
    /// worker lists it as ended until the outcome is stored. A member of a gang may be
    /// replaced in the same session, by a command of an earlier leader that is still under
    /// way, so the worker must have received our token.
    fn is_end_final(&self, report: &Report, task: &TaskId) -> bool {
        let machine = self.machines.get(&report.host);
        let session_is_current = machine.is_some_and(|machine| machine.session_confirmed);
        let job = self.jobs.get(&task.job);
        let is_gang = job.is_some_and(|job| job.spec.kind == JobKind::Gang);
        report.token >= self.base_token() || session_is_current && !is_gang
    }

    /// The end of an attempt is not proven to be that of its latest start: a call that
    /// confirms our token is to show what is there now. Returns true if the attempt counts
    /// as shown until then; one that this leader has not started is to be cleared first.
    fn await_proof_of_end(&mut self, host: &Host, run_sent: bool) -> bool {
        if run_sent {
            self.request_confirmation(host);
        }
        run_sent
    }

    /// Whether the previous report of the machine listed the attempt as one that is over.
    fn was_listed_as_ended(&self, host: &Host, task: &TaskId, attempt: Attempt) -> bool {
        let machine = self.machines.get(host);
        let listed = machine.and_then(|m| m.unknown_attempts.get(&(task.clone(), attempt)));
        listed.is_some_and(|ended| *ended)
    }

    fn set_phase(&mut self, host: &Host, task: &TaskId, phase: Phase) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(active) = job.active.get_mut(&task.index) else {
            return;
        };
        let changed = active.phase != phase;
        active.phase = phase;
        // An attempt seen fetching or waiting has not started to run.
        active.inherited &= phase == Phase::Running;
        job.update_gang_ran(phase);
        if !changed {
            return;
        }
        self.write_queue.changed.insert(task.job.clone());
        let fetched = matches!(phase, Phase::Waiting | Phase::Running);
        if fetched && let Some(machine) = self.machines.get_mut(host) {
            machine.note_image_use(&job.spec.image, job.spec.image_gb);
        }
    }

    /// Records that the attempt was first seen running.
    fn first_seen_running(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(active) = job.active.get_mut(&task.index) else {
            return;
        };
        // An attempt of an earlier leader may have been running for long: the recorded
        // placement time is used instead.
        let since = if active.inherited { active.placed } else { now };
        active.running_since = Some(since);
        let after_s = (now - active.placed).as_secs();
        let waited_s = (now - job.ready_since).as_secs();
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        tracing::debug!(%task, class = %job.spec.class, %host, after_s, waited_s, %image, gb, "running");
        let first_of_job = job.history.first_start().is_none();
        if !active.inherited || first_of_job {
            job.history.note(JobEvent::Started, self.wall.into());
        }
        if let Some(machine) = self.machines.get_mut(host)
            && let Some(allocation) = machine.allocations.get_mut(task)
        {
            allocation.start = since;
        }
        self.track_time_limit(task, since);
        if first_of_job {
            self.record_job_event(now, &task.job, Started);
            self.announce(&task.job, ParentOutcome::Started);
        }
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        host: &Host,
        report: &TaskReport,
        running_since: Option<Time>,
    ) {
        let task = &report.task;
        match report.cause {
            Some(Cause::Done) => {
                if let Some(machine) = self.machines.get_mut(host) {
                    machine.failures = 0;
                    machine.failed_jobs.clear();
                }
                self.completed(now, task, running_since);
            }
            Some(Cause::Error) => {
                self.task_failed(now, host, task);
                self.attempt_gone_with(now, task, Some(Failure::Error), false);
            }
            Some(Cause::NoRoom | Cause::InUse) => {
                tracing::info!(%host, %task, cause = ?report.cause, "start refused");
                if let Some(machine) = self.machines.get_mut(host) {
                    machine.backoff_until = now + REFUSED_START_BACKOFF;
                }
                self.attempt_gone(now, task);
            }
            Some(Cause::Unknown) | None => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.backoff_until = now + UNKNOWN_END_BACKOFF;
                }
                self.attempt_gone(now, task);
            }
            Some(Cause::PeersGone) => {
                // So the gang had started, even if no report showed it: members added
                // to the same gang attempt would wait forever.
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.gang_ran = true;
                }
                self.attempt_gone(now, task);
            }
            Some(Cause::Stopped) => {
                let timed_out = self
                    .active_attempt_mut(task)
                    .is_some_and(|active| active.timed_out);
                let failure = if timed_out {
                    Failure::TimedOut
                } else {
                    Failure::Stopped
                };
                self.attempt_gone_with(now, task, Some(failure), report.kept);
            }
            Some(Cause::Alone) => self.attempt_gone_with(now, task, None, false),
        }
    }

    fn completed(&mut self, now: Time, task: &TaskId, running_since: Option<Time>) {
        self.release_allocation(now, task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let active = job.active.remove(&task.index);
        let inherited = active.as_ref().is_some_and(|active| active.inherited);
        if let Some(active) = &active {
            job.record_usage(now, active, true, false);
            job.history.note(JobEvent::Done, self.wall.into());
        }
        job.failure_counts.done(task.index.0);
        job.set_done(task.index);
        job.errors = 0;
        if let Some(since) = running_since.filter(|_| !inherited) {
            job.record_runtime((now - since).as_secs());
            if job.runtimes.len() == estimate::MIN_FINISHED_TASKS {
                self.refresh_estimates(&task.job);
            }
        }
        self.note_progress(&task.job, task.index);
        self.finish_if_complete(&task.job);
    }

    /// An attempt that was presumed lost had in fact completed: its task need not run
    /// again. An attempt started meanwhile ends by itself, with the same result.
    fn completed_after_loss(&mut self, report: &TaskReport) {
        let task = &report.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let waits = job.closing_state.is_none() && !job.cancelled && job.is_startable(task.index);
        if job.spec.kind != JobKind::Array || !waits {
            return;
        }
        tracing::debug!(%task, attempt = %report.attempt, "task completed by an attempt presumed lost");
        job.history.note(JobEvent::Done, self.wall.into());
        job.failure_counts.done(task.index.0);
        job.set_done(task.index);
        self.note_progress(&task.job, task.index);
        self.finish_if_complete(&task.job);
    }

    /// Updates the runtime estimate of the job's running tasks.
    fn refresh_estimates(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let estimate = estimate::of(job);
        for (ix, active) in &job.active {
            let task = TaskId {
                job: id.clone(),
                index: *ix,
            };
            if let Some(machine) = self.machines.get_mut(&active.host)
                && let Some(allocation) = machine.allocations.get_mut(&task)
            {
                allocation.estimate = estimate;
            }
        }
    }

    /// Releases the attempt's resources on the machine and its share of the team quota.
    fn release_allocation(&mut self, now: Time, task: &TaskId) {
        self.service_shares.task_ended(task);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(active) = job.active.get(&task.index) else {
            return;
        };
        self.teams.subtract(&job.spec.team, &job.need);
        if let Some(machine) = self.machines.get_mut(&active.host)
            && machine.allocations.remove(task).is_some()
        {
            machine.used -= job.need;
            if machine.allocations.is_empty() {
                machine.idle_since = now;
            }
        }
        self.replan = true;
    }

    /// The attempt is proven gone without a failure to record.
    pub(super) fn attempt_gone(&mut self, now: Time, task: &TaskId) {
        self.attempt_gone_with(now, task, None, false);
    }

    /// The attempt is proven gone without having completed; `kept`: its progress was
    /// saved.
    pub(super) fn attempt_gone_with(
        &mut self,
        now: Time,
        task: &TaskId,
        failure: Option<Failure>,
        kept: bool,
    ) {
        self.release_allocation(now, task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(active) = job.active.remove(&task.index) else {
            return;
        };
        job.record_usage(now, &active, false, kept);
        if let Some(failure) = failure {
            self.note_failure(now, task, &active, failure);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && job.done_count > 0 {
            // A gang completes as a whole: only this member's completion was not
            // reported.
            job.set_done(task.index);
        }
        job.requeue(task.index);
        self.gang_member_lost(now, &task.job);
        self.note_progress(&task.job, task.index);
        self.finish_if_complete(&task.job);
    }

    /// Handles attempts that are missing from a newer report.
    fn handle_missing_attempts(
        &mut self,
        now: Time,
        host: &Host,
        shown: &BTreeSet<TaskId>,
        source: ReportSource,
    ) {
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let no_command_pending =
            machine.unconfirmed_token.is_none() && machine.direct_call.is_none();
        let seq = machine.seq;
        let missing = machine
            .allocations
            .keys()
            .filter(|task| !shown.contains(*task));
        let missing: Vec<TaskId> = missing.cloned().collect();
        for task in missing {
            let Some(active) = self.active_attempt_mut(&task) else {
                continue;
            };
            let gone = match (active.phase, active.stop) {
                // Never started by an earlier leader: it is started now, or placed
                // again if its resources may have been given away.
                (Phase::Placed, None) if active.inherited && !no_command_pending => {
                    self.request_confirmation(host);
                    false
                }
                (Phase::Placed, None) => active.inherited && !self.resume_attempt(now, host, &task),
                // Stopped before it was seen: gone once no command that may still be
                // executed could start it.
                (Phase::Placed, Some(_)) => {
                    let answered = active.run_sent_in.is_none_or(|sent_in| sent_in < seq);
                    !active.run_sent
                        || (no_command_pending && source == ReportSource::Heartbeat && answered)
                }
                _ if !no_command_pending => {
                    self.request_confirmation(host);
                    false
                }
                _ => true,
            };
            if gone {
                self.attempt_gone(now, &task);
            }
        }
    }

    /// Stops an attempt, with `leeway_s` seconds to save its progress. The command is
    /// sent after the current event has been processed: sent earlier, it could carry
    /// `run` for attempts that the same event stops or declares gone.
    pub(super) fn stop_attempt(&mut self, now: Time, id: &JobId, ix: TaskIndex, leeway_s: f64) {
        let task = TaskId {
            job: id.clone(),
            index: ix,
        };
        let Some(active) = self.active_attempt_mut(&task) else {
            return;
        };
        if !active.run_sent {
            return self.attempt_gone(now, &task);
        }
        active.stop = Some(Stop { leeway_s });
        let (host, not_seen) = (active.host.clone(), active.phase == Phase::Placed);
        if not_seen {
            self.invalidate_call(&host);
        }
        self.machines_to_push.insert(host);
    }
}
