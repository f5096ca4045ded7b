//! Reconciliation of workers' reports with the attempts on record: what a report
//! proves, what its worker is to do next, and when an attempt is proven gone.
//! Whether and when a report is answered is decided in `beats`.

use super::dependencies::ParentOutcome;
use super::job::{ActiveAttempt, Phase, Stop};
use super::machine::{Machine, MachineState};
use super::reachability::SessionChange;
use super::{Scheduler, estimate};
use crate::ids::{Attempt, Host, JobId, Seq, Session, TaskId, TaskIx};
use crate::time::{Span, Time};
use crate::wire::user::Kind;
use crate::wire::worker::{Cause, Order, Report, TaskReport, TaskState};
use hookworks_fairness::JobEvent::Started;
use hookworks_job_lifecycle::{Failure, JobEvent};
use std::collections::{BTreeMap, BTreeSet};

/// The most commands in one message, but for those that end something.
const MAX_ORDERS: usize = 200;
/// A machine that refused a start gets no new task for so long.
const REFUSED_START_BACKOFF: Span = Span(2_000_000);
/// A job whose attempt ended for no known cause starts nothing for so long.
const UNKNOWN_END_BACKOFF: Span = Span(3_000_000);

/// How a worker is told what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// A direct call, which renews no lease.
    DirectCall,
    /// The answer to a report; one that is not the newest says nothing of what the
    /// worker has by now.
    Answer { newest: bool },
}

/// How a report came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// The worker sent it by itself; it may be a copy of an old one.
    Heartbeat,
    /// It answers a direct call of this leader.
    DirectCall,
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
    /// What this session is, against that of the report before. After a failover the
    /// first report tells nothing of what went before: the loaded attempts may well
    /// be of this very session.
    fn session_seen(&self, session: Session) -> SessionChange {
        if self.session == Session(0) || session <= self.session {
            SessionChange::Same
        } else if self.session_confirmed {
            SessionChange::Later
        } else {
            SessionChange::Unproven
        }
    }

    /// Notes what a newer report says of the machine itself.
    fn note_report(&mut self, now: Time, report: &Report, source: ReportSource) {
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

    fn note_spot_notice(&mut self, now: Time, notice_s: Option<f64>) {
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
    /// Takes what a report says. False if a newer one was there before.
    pub(super) fn apply_report(
        &mut self,
        now: Time,
        report: &Report,
        source: ReportSource,
    ) -> bool {
        let Some(session) = self.note_worker(now, report, source) else {
            return false;
        };
        if session != SessionChange::Same {
            self.new_session(now, &report.host, session);
        }
        let shown = self.take_tasks(now, report);
        if source == ReportSource::Heartbeat {
            self.check_answer_effect(now, report, &shown, session);
        }
        self.take_missing(now, &report.host, &shown, source);
        true
    }

    /// Notes what a report says of machine and worker; none if a newer one was there.
    fn note_worker(
        &mut self,
        now: Time,
        report: &Report,
        source: ReportSource,
    ) -> Option<SessionChange> {
        let token = self.base_token();
        let renewed = self.latest_lease_renewal(now);
        let machines = self.machines.entry(report.host.clone());
        let machine = machines.or_insert_with(|| {
            tracing::info!(host = %report.host, "a machine that was not expected reports");
            let (build, zone) = (report.build.clone(), report.zone.clone());
            let mut machine =
                Machine::new(report.host.clone(), build, zone, report.spot, now, token);
            machine.last_renewal = renewed;
            machine
        });
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return None;
        }
        let session = machine.session_seen(report.session);
        // A heartbeat may be a copy of an old one, unless it carries our token.
        let sent_in_term = source == ReportSource::DirectCall || report.token >= token;
        machine.session_confirmed |= sent_in_term;
        machine.existence_confirmed |= sent_in_term;
        machine.note_report(now, report, source);
        if let Some(flavor) = self.machine_types.get(&machine.build) {
            machine.set_machine_type(flavor);
        }
        if !machine.has_reported || session != SessionChange::Same {
            // Its session may have begun as late as now, long after it was rented,
            // and its lease with it.
            machine.last_renewal = machine.last_renewal.max(now);
        }
        if !machine.has_reported {
            machine.has_reported = true;
            machine.idle_since = now;
            self.replan = true;
        }
        self.replan |= machine.confirm_token(now, report.token);
        machine.note_spot_notice(now, report.notice_s);
        Some(session)
    }

    /// Takes task by task what a report shows. Answers the live attempts of ours; the
    /// others are noted as strays.
    fn take_tasks(&mut self, now: Time, report: &Report) -> BTreeSet<TaskId> {
        let mut strays = BTreeMap::new();
        let mut shown = BTreeSet::new();
        for task in &report.tasks {
            if self.take_task(now, &report.host, task) {
                shown.insert(task.task.clone());
                continue;
            }
            let ended = task.state == TaskState::Ended;
            if ended && task.cause == Some(Cause::Done) {
                self.completed_late(task);
            }
            strays.insert((task.task.clone(), task.attempt), ended);
        }
        if let Some(machine) = self.machines.get_mut(&report.host) {
            machine.unknown_attempts = strays;
        }
        shown
    }

    /// The worker's lease has expired, so all that was there is gone. If the session
    /// before is not proven to be of this leadership, only what is known to be of it:
    /// a copy of an old report can make the present session look new.
    fn new_session(&mut self, now: Time, host: &Host, session: SessionChange) {
        let proven = session == SessionChange::Later;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if proven {
            machine.unconfirmed_token = None;
        }
        let ended = |live: &&mut ActiveAttempt| {
            let seen = !live.inherited || live.phase != Phase::Placed;
            live.run_sent && (proven || seen)
        };
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            if self.active_attempt_mut(&task).filter(ended).is_some() {
                tracing::debug!(%host, %task, "gone with its worker's session");
                self.attempt_gone_with(now, &task, Some(Failure::Lost), false);
            }
        }
    }

    /// The attempt of a task, if it has one.
    pub(super) fn active_attempt_mut(&mut self, task: &TaskId) -> Option<&mut ActiveAttempt> {
        self.jobs.get_mut(&task.job)?.active.get_mut(&task.ix)
    }

    /// Takes what a report says of a task. True if it is a live attempt of ours on
    /// that machine.
    fn take_task(&mut self, now: Time, host: &Host, report: &TaskReport) -> bool {
        let task = &report.task;
        let Some(live) = self.active_attempt_mut(task) else {
            return false;
        };
        if live.attempt != report.attempt || live.host != *host {
            return false;
        }
        let running_since = live.running_since;
        let Some(phase) = Phase::of(report.state) else {
            self.ended(now, host, report, running_since);
            return false;
        };
        self.set_phase(host, task, phase);
        if phase == Phase::Running && running_since.is_none() {
            self.started(now, host, task);
        }
        true
    }

    fn set_phase(&mut self, host: &Host, task: &TaskId, phase: Phase) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(live) = job.active.get_mut(&task.ix) else {
            return;
        };
        let changed = live.phase != phase;
        live.phase = phase;
        // What is seen to fetch or to wait has not begun to run.
        live.inherited &= phase == Phase::Running;
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

    /// The attempt was first seen to run.
    fn started(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(live) = job.active.get_mut(&task.ix) else {
            return;
        };
        // Under an earlier leader it may have begun long ago: its placement, which is
        // on record, tells when.
        let since = if live.inherited { live.placed } else { now };
        live.running_since = Some(since);
        let after_s = (now - live.placed).as_secs();
        let waited_s = (now - job.ready_since).as_secs();
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        tracing::debug!(%task, class = %job.spec.class, %host, after_s, waited_s, %image, gb, "running");
        let first_of_job = job.history.first_start().is_none();
        if !live.inherited || first_of_job {
            job.history.note(JobEvent::Started, self.wall.into());
        }
        if let Some(machine) = self.machines.get_mut(host)
            && let Some(slot) = machine.allocations.get_mut(task)
        {
            slot.start = since;
        }
        self.track_time_limit(task, since);
        if first_of_job {
            self.record_job_event(now, &task.job, Started);
            self.announce(&task.job, ParentOutcome::Started);
        }
    }

    fn ended(&mut self, now: Time, host: &Host, report: &TaskReport, running_since: Option<Time>) {
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
                // So the gang had begun, even if no report said so: members
                // added under its number would wait for ever.
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.gang_ran = true;
                }
                self.attempt_gone(now, task);
            }
            Some(Cause::Stopped) => {
                let timed_out = self
                    .active_attempt_mut(task)
                    .is_some_and(|live| live.timed_out);
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
        self.release_slot(now, task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let live = job.active.remove(&task.ix);
        let inherited = live.as_ref().is_some_and(|live| live.inherited);
        if let Some(live) = &live {
            job.record_usage(now, live, true, false);
            job.history.note(JobEvent::Done, self.wall.into());
        }
        job.failure_counts.done(task.ix.0);
        job.set_done(task.ix);
        job.errors = 0;
        if let Some(since) = running_since.filter(|_| !inherited) {
            job.record_runtime((now - since).as_secs());
            if job.runtimes.len() == estimate::MIN_FINISHED_TASKS {
                self.refresh_estimates(&task.job);
            }
        }
        self.note_progress(&task.job, task.ix);
        self.finish_if_complete(&task.job);
    }

    /// An attempt that was given up had been done all the same: its task need not run
    /// again. One that has started anew meanwhile ends by itself, with the same result.
    fn completed_late(&mut self, report: &TaskReport) {
        let task = &report.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let waits = job.closing_state.is_none() && !job.cancelled && job.is_startable(task.ix);
        if job.spec.kind != Kind::Array || !waits {
            return;
        }
        tracing::debug!(%task, attempt = %report.attempt, "done under an attempt given up");
        job.history.note(JobEvent::Done, self.wall.into());
        job.failure_counts.done(task.ix.0);
        job.set_done(task.ix);
        self.note_progress(&task.job, task.ix);
        self.finish_if_complete(&task.job);
    }

    /// Gives the running tasks of a job its present estimate.
    fn refresh_estimates(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let estimate = estimate::of(job);
        for (ix, live) in &job.active {
            let task = TaskId {
                job: id.clone(),
                ix: *ix,
            };
            if let Some(machine) = self.machines.get_mut(&live.host)
                && let Some(slot) = machine.allocations.get_mut(&task)
            {
                slot.estimate = estimate;
            }
        }
    }

    /// The attempt's claim on machine, quota and zone ends.
    fn release_slot(&mut self, now: Time, task: &TaskId) {
        self.service_shares.task_ended(task);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(live) = job.active.get(&task.ix) else {
            return;
        };
        self.teams.subtract(&job.spec.team, &job.need);
        if let Some(machine) = self.machines.get_mut(&live.host)
            && machine.allocations.remove(task).is_some()
        {
            machine.used -= job.need;
            if machine.allocations.is_empty() {
                machine.idle_since = now;
            }
        }
        self.replan = true;
    }

    /// The attempt is proven gone, and nobody is to blame.
    pub(super) fn attempt_gone(&mut self, now: Time, task: &TaskId) {
        self.attempt_gone_with(now, task, None, false);
    }

    /// The attempt is proven gone without being done; `kept`: what it had
    /// worked out was saved.
    pub(super) fn attempt_gone_with(
        &mut self,
        now: Time,
        task: &TaskId,
        failure: Option<Failure>,
        kept: bool,
    ) {
        self.release_slot(now, task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(live) = job.active.remove(&task.ix) else {
            return;
        };
        job.record_usage(now, &live, false, kept);
        if let Some(failure) = failure {
            self.note_failure(now, task, &live, failure);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.spec.kind == Kind::Gang && job.done_count > 0 {
            // A gang completes together: this one's end was not reported.
            job.set_done(task.ix);
        }
        job.requeue(task.ix);
        self.gang_member_lost(now, &task.job);
        self.note_progress(&task.job, task.ix);
        self.finish_if_complete(&task.job);
    }

    /// Attempts that a newer report does not show.
    fn take_missing(
        &mut self,
        now: Time,
        host: &Host,
        shown: &BTreeSet<TaskId>,
        source: ReportSource,
    ) {
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let clear = machine.unconfirmed_token.is_none() && machine.direct_call.is_none();
        let seq = machine.seq;
        let missing = machine
            .allocations
            .keys()
            .filter(|task| !shown.contains(*task));
        let missing: Vec<TaskId> = missing.cloned().collect();
        for task in missing {
            let Some(live) = self.active_attempt_mut(&task) else {
                continue;
            };
            let gone = match (live.phase, live.stop) {
                // Never begun under an earlier leader: it is begun now, or, if
                // its room may be others' by now, placed anew.
                (Phase::Placed, None) if live.inherited && !clear => {
                    self.request_confirmation(host);
                    false
                }
                (Phase::Placed, None) => live.inherited && !self.resume_attempt(now, host, &task),
                // It is not to start any more: gone once no command that may
                // still be carried out could start it.
                (Phase::Placed, Some(_)) => {
                    let answered = live.run_sent_in.is_none_or(|told| told < seq);
                    !live.run_sent || (clear && source == ReportSource::Heartbeat && answered)
                }
                _ => clear,
            };
            if gone {
                self.attempt_gone(now, &task);
            }
        }
    }

    /// What the worker is to do. In an answer to a report nothing is lost: a
    /// worker that did not get it reports again, and hears the same. What is to
    /// end is told without any limit.
    pub(super) fn orders_for(&mut self, now: Time, host: &Host, delivery: Delivery) -> Vec<Order> {
        // Without proof of the leadership nothing new is started.
        let may_run = self.takes_starts(now, host, delivery) && self.may_start(now);
        let Some(machine) = self.machines.get(host) else {
            return vec![];
        };
        // While a direct call is on its way the two could overtake each other, which
        // matters for all but ending what is there.
        let only_kill =
            machine.direct_call.is_some() || delivery == Delivery::Answer { newest: false };
        let mut orders = self.orders_for_strays(machine, only_kill);
        let seq = machine.seq;
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            let may_run = may_run && !only_kill && orders.len() < MAX_ORDERS;
            orders.extend(self.order_for_attempt(task, seq, delivery, may_run));
        }
        orders
    }

    /// A call starts nothing where no reports come from: its lease expires.
    fn takes_starts(&self, now: Time, host: &Host, delivery: Delivery) -> bool {
        let fresh = self.max_heartbeat_age();
        let takes = |machine: &Machine| {
            let reports = delivery != Delivery::DirectCall || now - machine.last_heartbeat < fresh;
            machine.state == MachineState::Up && reports
        };
        self.machines.get(host).is_some_and(takes)
    }

    /// Attempts there that are not ours are to end, and to be forgotten once ended.
    fn orders_for_strays(&self, machine: &Machine, only_kill: bool) -> Vec<Order> {
        let may_clear = !only_kill && machine.unconfirmed_token.is_none();
        let order = |((task, attempt), ended): (&(TaskId, Attempt), &bool)| {
            let (task, attempt) = (task.clone(), *attempt);
            if !ended {
                return Some(Order::Kill {
                    task,
                    attempt,
                    leeway_s: 0.0,
                });
            }
            (may_clear && self.may_clear(&task)).then_some(Order::Clear { task, attempt })
        };
        machine.unknown_attempts.iter().filter_map(order).collect()
    }

    /// What a worker is to do with an attempt of ours, if anything; `seq`: its last
    /// report.
    fn order_for_attempt(
        &mut self,
        task: TaskId,
        seq: Seq,
        delivery: Delivery,
        may_run: bool,
    ) -> Option<Order> {
        let answers = delivery != Delivery::DirectCall;
        let job = self.jobs.get(&task.job)?;
        let stored = job.parts[job.part_of(task.ix)].stored_version;
        let live = self.active_attempt_mut(&task)?;
        let attempt = live.attempt;
        match (live.phase, live.stop) {
            (Phase::Placed, None) => {
                if live.inherited || !may_run || stored < live.required_version {
                    return None;
                }
                live.run_sent = true;
                if answers {
                    live.run_sent_in = Some(seq);
                }
                Some(Order::Run { task, attempt })
            }
            // It may begin after this report and before the answer: an answer that
            // renews the lease tells all that is to end. A call renews nothing.
            (Phase::Placed, Some(_)) if !(answers && live.run_sent) => None,
            (_, Some(stop)) => Some(Order::Kill {
                task,
                attempt,
                leeway_s: stop.leeway_s,
            }),
            (_, None) => None,
        }
    }

    /// An ended attempt may be forgotten once nothing of it waits to be stored.
    fn may_clear(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            // What it has done is on no record that we can read.
            None if self.unreadable.contains_key(&task.job) => false,
            Some(job) if task.ix.0 < job.spec.tasks => {
                job.closing_state.is_none() && job.part_stored(task.ix)
            }
            _ => true,
        }
    }

    /// The attempt is to end, saving for so long. The command leaves once the event
    /// has been taken in whole: in the middle of it, it would carry `run` for attempts
    /// that are about to be stopped or taken for gone.
    pub(super) fn stop_attempt(&mut self, now: Time, id: &JobId, ix: TaskIx, leeway_s: f64) {
        let task = TaskId {
            job: id.clone(),
            ix,
        };
        let Some(live) = self.active_attempt_mut(&task) else {
            return;
        };
        if !live.run_sent {
            return self.attempt_gone(now, &task);
        }
        live.stop = Some(Stop { leeway_s });
        let (host, unseen) = (live.host.clone(), live.phase == Phase::Placed);
        if unseen {
            self.invalidate_call(&host);
        }
        self.machines_to_push.insert(host);
    }
}
