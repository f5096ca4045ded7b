//! Reconciliation of workers' reports with the attempts on record: what a report
//! proves, which commands its worker gets next, and when an attempt is proven gone.
//! Whether and when a report is answered is decided in `heartbeats`.

use super::dependencies::ParentOutcome;
use super::fencing::CommandBatch;
use super::job::{ActiveAttempt, Phase, Stop};
use super::machine::{Machine, MachineState};
use super::reachability::SessionChange;
use super::worker_messages;
use super::{Scheduler, estimate};
use crate::ids::{Attempt, Host, JobId, Seq, Session, TaskId, TaskIndex};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use crate::wire::worker::{Cause, Command, Report, TaskReport, TaskState};
use hookworks_fairness::JobEvent::Started;
use hookworks_job_lifecycle::{Failure, JobEvent};
use std::collections::{BTreeMap, BTreeSet};

/// The most commands in one message; commands that end something are not limited.
const MAX_ORDERS: usize = 200;
/// Backoff of a machine that refused a start.
const REFUSED_START_BACKOFF: Span = Span(2_000_000);
/// Backoff of a job whose attempt ended for an unknown reason.
const UNKNOWN_END_BACKOFF: Span = Span(3_000_000);

/// How commands are delivered to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// A direct call, which renews no lease.
    DirectCall,
    /// The answer to a heartbeat. If that is not the worker's newest report, it does
    /// not show what the worker has now.
    Answer { newest: bool },
}

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

    /// The commands for a worker. A worker that misses an answer sends another
    /// heartbeat and gets the same commands again. Commands that end attempts are not
    /// limited in number: a report lists no more attempts than one message can end.
    /// Others wait for the next message once this one is full.
    pub(super) fn commands_for(
        &mut self,
        now: Time,
        host: &Host,
        delivery: Delivery,
    ) -> CommandBatch {
        // Nothing is started while the leadership is not proven.
        let may_run = self.may_start_on(now, host, delivery) && self.may_start(now);
        let Some(machine) = self.machines.get(host) else {
            return CommandBatch::default();
        };
        // A direct call in flight and this message could overtake each other; only
        // commands that end attempts are safe in any order.
        let only_kill =
            machine.direct_call.is_some() || delivery == Delivery::Answer { newest: false };
        let mut commands = self.orders_for_unknown_attempts(machine, only_kill);
        let waiting_for_clear = self.starts_waiting_for_clear(machine);
        let seq = machine.seq;
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            let may_run = may_run && !only_kill && commands.len() < MAX_ORDERS;
            let may_run = may_run && !waiting_for_clear.contains(&task);
            commands.extend(self.order_for_attempt(task, seq, delivery, may_run));
        }
        worker_messages::limit_clears(&mut commands);
        CommandBatch {
            may_reuse_attempts: commands
                .iter()
                .any(|command| self.starts_gang_member(command)),
            start_waits_for_clear: !waiting_for_clear.is_empty(),
            commands,
        }
    }

    /// Tasks that are to start here while the worker still lists an ended attempt with the
    /// same number: it would ignore the start.
    fn starts_waiting_for_clear(&self, machine: &Machine) -> BTreeSet<TaskId> {
        let is_waiting = |(task, attempt): &&(TaskId, Attempt)| {
            let job = self.jobs.get(&task.job);
            let active = job.and_then(|job| job.active.get(&task.index));
            active.is_some_and(|active| active.host == machine.host && active.attempt == *attempt)
        };
        let listed = machine.unknown_attempts.keys().filter(is_waiting);
        listed.map(|(task, _)| task.clone()).collect()
    }

    fn starts_gang_member(&self, command: &Command) -> bool {
        let Command::Run { task, .. } = command else {
            return false;
        };
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.spec.kind == JobKind::Gang)
    }

    /// A direct call starts nothing on a worker whose heartbeats have stopped: its
    /// lease is about to expire.
    fn may_start_on(&self, now: Time, host: &Host, delivery: Delivery) -> bool {
        let fresh = self.max_heartbeat_age();
        let takes = |machine: &Machine| {
            let reports = delivery != Delivery::DirectCall || now - machine.last_heartbeat < fresh;
            machine.state == MachineState::Up && reports
        };
        self.machines.get(host).is_some_and(takes)
    }

    /// Commands to end attempts that are not ours, and to clear them once ended.
    fn orders_for_unknown_attempts(&self, machine: &Machine, only_kill: bool) -> Vec<Command> {
        let may_clear = !only_kill && machine.unconfirmed_token.is_none();
        let order = |((task, attempt), ended): (&(TaskId, Attempt), &bool)| {
            let (task, attempt) = (task.clone(), *attempt);
            if !ended {
                return Some(Command::Kill {
                    task,
                    attempt,
                    leeway_s: 0.0,
                });
            }
            (may_clear && self.can_clear(&task)).then_some(Command::Clear { task, attempt })
        };
        machine.unknown_attempts.iter().filter_map(order).collect()
    }

    /// The command for an attempt of ours, if any; `seq`: the worker's last report.
    fn order_for_attempt(
        &mut self,
        task: TaskId,
        seq: Seq,
        delivery: Delivery,
        may_run: bool,
    ) -> Option<Command> {
        let answers = delivery != Delivery::DirectCall;
        let job = self.jobs.get(&task.job)?;
        // The first record's write alone is conditioned on the absent final state: before it
        // is applied the job may be over already.
        let is_new = !job.first_record_stored();
        let stored = job.parts[job.part_of(task.index)].stored_version;
        let active = self.active_attempt_mut(&task)?;
        let attempt = active.attempt;
        match (active.phase, active.stop) {
            (Phase::Placed, None) => {
                let is_stored = !is_new && stored >= active.required_version;
                if active.inherited || !may_run || !is_stored {
                    return None;
                }
                active.run_sent = true;
                if answers {
                    active.run_sent_in = Some(seq);
                }
                Some(Command::Run { task, attempt })
            }
            // The attempt may start between this report and the answer, so an answer
            // that renews the lease must repeat every stop. A direct call renews no
            // lease.
            (Phase::Placed, Some(_)) if !(answers && active.run_sent) => None,
            (_, Some(stop)) => Some(Command::Kill {
                task,
                attempt,
                leeway_s: stop.leeway_s,
            }),
            (_, None) => None,
        }
    }

    /// An ended attempt may be cleared once its outcome is stored.
    fn can_clear(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            // The record of its outcome can't be read.
            None if self.unreadable.contains_key(&task.job) => false,
            Some(job) if task.index.0 < job.spec.tasks => {
                job.closing_state.is_none() && job.part_stored(task.index)
            }
            _ => true,
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
