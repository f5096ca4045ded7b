//! Reconciliation of workers' reports with the attempts on record: what a report
//! proves, what its worker is to do next, and when an attempt is proven gone.
//! Whether and when a report is answered is decided in `beats`.

use super::dependencies::ParentOutcome;
use super::hearing::SessionSeen;
use super::job::{Live, Phase, Stop};
use super::machine::{Life, Machine};
use super::{Sched, estimate};
use crate::ids::{Attempt, Host, JobId, Seq, Session, TaskId, TaskIndex};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use crate::wire::worker::{Cause, Command, Report, TaskReport, TaskState};
use hookworks_fairness::JobEvent::Begun;
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
    fn session_seen(&self, session: Session) -> SessionSeen {
        if self.session == Session(0) || session <= self.session {
            SessionSeen::Same
        } else if self.in_term {
            SessionSeen::Later
        } else {
            SessionSeen::Unproven
        }
    }

    /// Notes what a newer report says of the machine itself.
    fn note_report(&mut self, now: Time, report: &Report, source: ReportSource) {
        self.session = report.session;
        self.seq = report.seq;
        self.reached = now;
        if source == ReportSource::Heartbeat || self.reported_at.is_none() {
            self.heard = now;
        }
        self.reported_at = Some(now);
        self.build = report.build.clone();
        self.zone = report.zone.clone();
        self.spot = report.spot;
        if report.addr.is_some() {
            self.addr = report.addr.clone();
        }
        if self.life == Life::Booting {
            self.life = Life::Up;
        }
    }

    fn note_spot_notice(&mut self, now: Time, notice_s: Option<f64>) {
        let noticed = self.notice_until.is_some();
        let notice_s = notice_s.filter(|_| self.in_term);
        self.notice_until = notice_s.map(|s| now + Span::secs(s));
        if let Some(seconds) = notice_s
            && !noticed
        {
            tracing::info!(host = %self.host, seconds, "spot notice");
        }
    }
}

impl Sched {
    /// Takes what a report says. False if a newer one was there before.
    pub(super) fn take_report(&mut self, now: Time, report: &Report, source: ReportSource) -> bool {
        let Some(session) = self.note_worker(now, report, source) else {
            return false;
        };
        if session != SessionSeen::Same {
            self.new_session(now, &report.host, session);
        }
        let shown = self.take_tasks(now, report);
        if source == ReportSource::Heartbeat {
            self.note_hearing(now, report, &shown, session);
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
    ) -> Option<SessionSeen> {
        let token = self.base_token();
        let renewed = self.maybe_renewed(now);
        let machines = self.machines.entry(report.host.clone());
        let machine = machines.or_insert_with(|| {
            tracing::info!(host = %report.host, "a machine that was not expected reports");
            let (build, zone) = (report.build.clone(), report.zone.clone());
            let mut machine =
                Machine::new(report.host.clone(), build, zone, report.spot, now, token);
            machine.answered = renewed;
            machine
        });
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return None;
        }
        let session = machine.session_seen(report.session);
        // A heartbeat may be a copy of an old one, unless it carries our token.
        let sent_in_term = source == ReportSource::DirectCall || report.token >= token;
        machine.in_term |= sent_in_term;
        machine.certain |= sent_in_term;
        machine.note_report(now, report, source);
        if let Some(flavor) = self.flavors.get(&machine.build) {
            machine.set_flavor(flavor);
        }
        if !machine.reported || session != SessionSeen::Same {
            // Its session may have begun as late as now, long after it was rented,
            // and its lease with it.
            machine.answered = machine.answered.max(now);
        }
        if !machine.reported {
            machine.reported = true;
            machine.idle_since = now;
            self.replan = true;
        }
        self.replan |= machine.confirms(now, report.token);
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
            machine.strays = strays;
        }
        shown
    }

    /// The worker's lease has expired, so all that was there is gone. If the session
    /// before is not proven to be of this leadership, only what is known to be of it:
    /// a copy of an old report can make the present session look new.
    fn new_session(&mut self, now: Time, host: &Host, session: SessionSeen) {
        let proven = session == SessionSeen::Later;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if proven {
            machine.doubt = None;
        }
        let ended = |live: &&mut Live| {
            let seen = !live.inherited || live.phase != Phase::Placed;
            live.sent && (proven || seen)
        };
        let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
        for task in tasks {
            if self.live_mut(&task).filter(ended).is_some() {
                tracing::debug!(%host, %task, "gone with its worker's session");
                self.gone_by(now, &task, Some(Failure::Lost), false);
            }
        }
    }

    /// The attempt of a task, if it has one.
    pub(super) fn live_mut(&mut self, task: &TaskId) -> Option<&mut Live> {
        self.jobs.get_mut(&task.job)?.live.get_mut(&task.index)
    }

    /// Takes what a report says of a task. True if it is a live attempt of ours on
    /// that machine.
    fn take_task(&mut self, now: Time, host: &Host, report: &TaskReport) -> bool {
        let task = &report.task;
        let Some(live) = self.live_mut(task) else {
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
        let Some(live) = job.live.get_mut(&task.index) else {
            return;
        };
        let changed = live.phase != phase;
        live.phase = phase;
        // What is seen to fetch or to wait has not begun to run.
        live.inherited &= phase == Phase::Running;
        job.note_phase(phase);
        if !changed {
            return;
        }
        self.dirty.changed.insert(task.job.clone());
        let fetched = matches!(phase, Phase::Waiting | Phase::Running);
        if fetched && let Some(machine) = self.machines.get_mut(host) {
            machine.saw_image(&job.spec.image, job.spec.image_gb);
        }
    }

    /// The attempt was first seen to run.
    fn started(&mut self, now: Time, host: &Host, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(live) = job.live.get_mut(&task.index) else {
            return;
        };
        // Under an earlier leader it may have begun long ago: its placement, which is
        // on record, tells when.
        let since = if live.inherited { live.placed } else { now };
        live.running_since = Some(since);
        let after_s = (now - live.placed).as_secs();
        let waited_s = (now - job.ready).as_secs();
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        tracing::debug!(%task, class = %job.spec.class, %host, after_s, waited_s, %image, gb, "running");
        let first_of_job = job.history.first_start().is_none();
        if !live.inherited || first_of_job {
            job.history.note(JobEvent::Started, self.wall.into());
        }
        if let Some(machine) = self.machines.get_mut(host)
            && let Some(slot) = machine.slots.get_mut(task)
        {
            slot.start = since;
        }
        self.note_limit(task, since);
        if first_of_job {
            self.book(now, &task.job, Begun);
            self.announce(&task.job, ParentOutcome::Started);
        }
    }

    fn ended(&mut self, now: Time, host: &Host, report: &TaskReport, running_since: Option<Time>) {
        let task = &report.task;
        match report.cause {
            Some(Cause::Done) => {
                if let Some(machine) = self.machines.get_mut(host) {
                    machine.fails = 0;
                    machine.fail_jobs.clear();
                }
                self.completed(now, task, running_since);
            }
            Some(Cause::Error) => {
                self.failed(now, host, task);
                self.gone_by(now, task, Some(Failure::Error), false);
            }
            Some(Cause::NoRoom | Cause::InUse) => {
                tracing::info!(%host, %task, cause = ?report.cause, "start refused");
                if let Some(machine) = self.machines.get_mut(host) {
                    machine.rest_until = now + REFUSED_START_BACKOFF;
                }
                self.gone(now, task);
            }
            Some(Cause::Unknown) | None => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.backoff_until = now + UNKNOWN_END_BACKOFF;
                }
                self.gone(now, task);
            }
            Some(Cause::PeersGone) => {
                // So the gang had begun, even if no report said so: members
                // added under its number would wait for ever.
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.gang_ran = true;
                }
                self.gone(now, task);
            }
            Some(Cause::Stopped) => {
                let timed_out = self.live_mut(task).is_some_and(|live| live.timed_out);
                let failure = if timed_out {
                    Failure::TimedOut
                } else {
                    Failure::Stopped
                };
                self.gone_by(now, task, Some(failure), report.kept);
            }
            Some(Cause::Alone) => self.gone_by(now, task, None, false),
        }
    }

    fn completed(&mut self, now: Time, task: &TaskId, running_since: Option<Time>) {
        self.release_slot(now, task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let live = job.live.remove(&task.index);
        let inherited = live.as_ref().is_some_and(|live| live.inherited);
        if let Some(live) = &live {
            job.account(now, live, true, false);
            job.history.note(JobEvent::Done, self.wall.into());
        }
        job.attempts.done(task.index.0);
        job.set_done(task.index);
        job.errors = 0;
        if let Some(since) = running_since.filter(|_| !inherited) {
            job.learn_runtime((now - since).as_secs());
            if job.runtimes.len() == estimate::ENOUGH {
                self.refresh_estimates(&task.job);
            }
        }
        self.note_progress(&task.job, task.index);
        self.finish_if_over(&task.job);
    }

    /// An attempt that was given up had been done all the same: its task need not run
    /// again. One that has started anew meanwhile ends by itself, with the same result.
    fn completed_late(&mut self, report: &TaskReport) {
        let task = &report.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let waits = job.closing.is_none() && !job.cancelled && job.awaits_start(task.index);
        if job.spec.kind != JobKind::Array || !waits {
            return;
        }
        tracing::debug!(%task, attempt = %report.attempt, "done under an attempt given up");
        job.history.note(JobEvent::Done, self.wall.into());
        job.attempts.done(task.index.0);
        job.set_done(task.index);
        self.note_progress(&task.job, task.index);
        self.finish_if_over(&task.job);
    }

    /// Gives the running tasks of a job its present estimate.
    fn refresh_estimates(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let estimate = estimate::of(job);
        for (ix, live) in &job.live {
            let task = TaskId {
                job: id.clone(),
                index: *ix,
            };
            if let Some(machine) = self.machines.get_mut(&live.host)
                && let Some(slot) = machine.slots.get_mut(&task)
            {
                slot.estimate = estimate;
            }
        }
    }

    /// The attempt's claim on machine, quota and zone ends.
    fn release_slot(&mut self, now: Time, task: &TaskId) {
        self.books.gone(task);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(live) = job.live.get(&task.index) else {
            return;
        };
        self.teams.sub(&job.spec.team, &job.need);
        if let Some(machine) = self.machines.get_mut(&live.host)
            && machine.slots.remove(task).is_some()
        {
            machine.used -= job.need;
            if machine.slots.is_empty() {
                machine.idle_since = now;
            }
        }
        self.replan = true;
    }

    /// The attempt is proven gone, and nobody is to blame.
    pub(super) fn gone(&mut self, now: Time, task: &TaskId) {
        self.gone_by(now, task, None, false);
    }

    /// The attempt is proven gone without being done; `kept`: what it had
    /// worked out was saved.
    pub(super) fn gone_by(
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
        let Some(live) = job.live.remove(&task.index) else {
            return;
        };
        job.account(now, &live, false, kept);
        if let Some(failure) = failure {
            self.note_failure(now, task, &live, failure);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && job.done_count > 0 {
            // A gang completes together: this one's end was not reported.
            job.set_done(task.index);
        }
        job.put_back(task.index);
        self.gang_lost_one(now, &task.job);
        self.note_progress(&task.job, task.index);
        self.finish_if_over(&task.job);
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
        let clear = machine.doubt.is_none() && machine.direct.is_none();
        let seq = machine.seq;
        let missing = machine.slots.keys().filter(|task| !shown.contains(*task));
        let missing: Vec<TaskId> = missing.cloned().collect();
        for task in missing {
            let Some(live) = self.live_mut(&task) else {
                continue;
            };
            let gone = match (live.phase, live.stop) {
                // Never begun under an earlier leader: it is begun now, or, if
                // its room may be others' by now, placed anew.
                (Phase::Placed, None) if live.inherited && !clear => {
                    self.request_confirmation(host);
                    false
                }
                (Phase::Placed, None) => live.inherited && !self.resume(now, host, &task),
                // It is not to start any more: gone once no command that may
                // still be carried out could start it.
                (Phase::Placed, Some(_)) => {
                    let answered = live.told.is_none_or(|told| told < seq);
                    !live.sent || (clear && source == ReportSource::Heartbeat && answered)
                }
                _ => clear,
            };
            if gone {
                self.gone(now, &task);
            }
        }
    }

    /// What the worker is to do. In an answer to a report nothing is lost: a
    /// worker that did not get it reports again, and hears the same. What is to
    /// end is told without any limit.
    pub(super) fn orders_for(
        &mut self,
        now: Time,
        host: &Host,
        delivery: Delivery,
    ) -> Vec<Command> {
        // Without proof of the leadership nothing new is started.
        let may_run = self.takes_starts(now, host, delivery) && self.may_start(now);
        let Some(machine) = self.machines.get(host) else {
            return vec![];
        };
        // While a direct call is on its way the two could overtake each other, which
        // matters for all but ending what is there.
        let only_kill = machine.direct.is_some() || delivery == Delivery::Answer { newest: false };
        let mut orders = self.orders_for_strays(machine, only_kill);
        let seq = machine.seq;
        let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
        for task in tasks {
            let may_run = may_run && !only_kill && orders.len() < MAX_ORDERS;
            orders.extend(self.order_for_attempt(task, seq, delivery, may_run));
        }
        orders
    }

    /// A call starts nothing where no reports come from: its lease expires.
    fn takes_starts(&self, now: Time, host: &Host, delivery: Delivery) -> bool {
        let fresh = self.heard_within();
        let takes = |machine: &Machine| {
            let reports = delivery != Delivery::DirectCall || now - machine.heard < fresh;
            machine.life == Life::Up && reports
        };
        self.machines.get(host).is_some_and(takes)
    }

    /// Attempts there that are not ours are to end, and to be forgotten once ended.
    fn orders_for_strays(&self, machine: &Machine, only_kill: bool) -> Vec<Command> {
        let may_clear = !only_kill && machine.doubt.is_none();
        let order = |((task, attempt), ended): (&(TaskId, Attempt), &bool)| {
            let (task, attempt) = (task.clone(), *attempt);
            if !ended {
                return Some(Command::Kill {
                    task,
                    attempt,
                    leeway_s: 0.0,
                });
            }
            (may_clear && self.may_clear(&task)).then_some(Command::Clear { task, attempt })
        };
        machine.strays.iter().filter_map(order).collect()
    }

    /// What a worker is to do with an attempt of ours, if anything; `seq`: its last
    /// report.
    fn order_for_attempt(
        &mut self,
        task: TaskId,
        seq: Seq,
        delivery: Delivery,
        may_run: bool,
    ) -> Option<Command> {
        let answers = delivery != Delivery::DirectCall;
        let job = self.jobs.get(&task.job)?;
        let stored = job.parts[job.part_of(task.index)].stored;
        let live = self.live_mut(&task)?;
        let attempt = live.attempt;
        match (live.phase, live.stop) {
            (Phase::Placed, None) => {
                if live.inherited || !may_run || stored < live.ver {
                    return None;
                }
                live.sent = true;
                if answers {
                    live.told = Some(seq);
                }
                Some(Command::Run { task, attempt })
            }
            // It may begin after this report and before the answer: an answer that
            // renews the lease tells all that is to end. A call renews nothing.
            (Phase::Placed, Some(_)) if !(answers && live.sent) => None,
            (_, Some(stop)) => Some(Command::Kill {
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
            Some(job) if task.index.0 < job.spec.tasks => {
                job.closing.is_none() && job.part_stored(task.index)
            }
            _ => true,
        }
    }

    /// The attempt is to end, saving for so long. The command leaves once the event
    /// has been taken in whole: in the middle of it, it would carry `run` for attempts
    /// that are about to be stopped or taken for gone.
    pub(super) fn stop(&mut self, now: Time, id: &JobId, ix: TaskIndex, leeway_s: f64) {
        let task = TaskId {
            job: id.clone(),
            index: ix,
        };
        let Some(live) = self.live_mut(&task) else {
            return;
        };
        if !live.sent {
            return self.gone(now, &task);
        }
        live.stop = Some(Stop { leeway_s });
        let (host, unseen) = (live.host.clone(), live.phase == Phase::Placed);
        if unseen {
            self.outdate_call(&host);
        }
        self.ready.insert(host);
    }
}
