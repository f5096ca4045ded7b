//! What workers' reports say, what they are told, and when an attempt is proven
//! gone. How reports are answered is in `beats`.

use super::dependencies::ParentOutcome;
use super::hearing::SessionSeen;
use super::job::{Phase, Stop};
use super::machine::{Life, Machine};
use super::{Sched, estimate};
use crate::ids::{Attempt, Host, JobId, Session, TaskId, TaskIx};
use crate::time::{Span, Time};
use crate::wire::user::Kind;
use crate::wire::worker::{Cause, Order, Report, TaskReport, TaskState};
use hookworks_fairness::JobEvent::Begun;
use hookworks_job_lifecycle::{Failure, JobEvent as What};
use std::collections::BTreeSet;

/// Commands in one message.
const MAX_ORDERS: usize = 200;

/// How a worker is told what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum By {
    /// A direct call, which renews no lease.
    Call,
    /// The answer to a report; one that is not the newest says nothing of what the
    /// worker has by now.
    Answer { newest: bool },
}

impl Sched {
    /// Takes what a report says, unless a newer one was there before.
    pub(super) fn take_report(&mut self, now: Time, r: &Report, beat: bool) -> bool {
        let token = self.base_token();
        let renewed = self.maybe_renewed(now);
        let m = self.machines.entry(r.host.clone()).or_insert_with(|| {
            tracing::info!(host = %r.host, "a machine that was not expected reports");
            let (b, z) = (r.build.clone(), r.zone.clone());
            let mut m = Machine::new(r.host.clone(), b, z, r.spot, now, token);
            m.answered = renewed;
            m
        });
        if (r.session, r.seq) <= (m.session, m.seq) {
            return false;
        }
        // After a take-over the first report tells nothing of what went before:
        // the loaded attempts may well be of this very session. It may be a copy
        // of an old one besides, unless it was sent in this term: it carries our
        // token, or answers a call.
        let sent_in_term = !beat || r.token >= token;
        let new_session = m.session != Session(0) && r.session > m.session;
        let known = m.in_term;
        m.in_term |= sent_in_term;
        m.certain |= sent_in_term;
        (m.session, m.seq) = (r.session, r.seq);
        m.reached = now;
        if beat || m.reported_at.is_none() {
            m.heard = now;
        }
        m.reported_at = Some(now);
        m.build = r.build.clone();
        m.zone = r.zone.clone();
        m.spot = r.spot;
        if let Some(f) = self.flavors.get(&m.build) {
            m.set_flavor(f);
        }
        if r.addr.is_some() {
            m.addr = r.addr.clone();
        }
        if m.life == Life::Booting {
            m.life = Life::Up;
        }
        if !m.reported || new_session {
            // Its session may have begun as late as now, long after it was rented,
            // and its lease with it.
            m.answered = m.answered.max(now);
        }
        if !m.reported {
            m.reported = true;
            m.idle_since = now;
            self.replan = true;
        }
        self.replan |= m.confirms(now, r.token);
        let noticed = m.notice_until.is_some();
        let notice = r.notice_s.filter(|_| m.in_term);
        m.notice_until = notice.map(|s| now + Span::secs(s));
        if m.notice_until.is_some() && !noticed {
            tracing::info!(host = %r.host, seconds = r.notice_s, "spot notice");
        }
        if new_session {
            self.new_session(now, &r.host, known);
        }
        let mut strays = std::collections::BTreeMap::new();
        let mut shown = BTreeSet::new();
        for t in &r.tasks {
            if self.take_task(now, &r.host, t) {
                shown.insert(t.task.clone());
            } else {
                let ended = t.state == TaskState::Ended;
                if ended && t.cause == Some(Cause::Done) {
                    self.done_late(t);
                }
                strays.insert((t.task.clone(), t.attempt), ended);
            }
        }
        if let Some(m) = self.machines.get_mut(&r.host) {
            m.strays = strays;
        }
        if beat {
            let session = match (new_session, known) {
                (false, _) => SessionSeen::Same,
                (true, true) => SessionSeen::Later,
                (true, false) => SessionSeen::Unproven,
            };
            self.note_hearing(now, r, &shown, session);
        }
        self.take_missing(now, &r.host, &shown, beat);
        true
    }

    /// The worker's lease ran out, so all that was there is gone; if the session
    /// before is not `known` from this term, all that is known to be of it. A copy
    /// of a report from before once made the present session look new: what an
    /// earlier leader had told it was taken for gone, and ran twice.
    fn new_session(&mut self, now: Time, host: &Host, known: bool) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        if known {
            m.doubt = None;
        }
        let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
        for t in tasks {
            let of_it = |l: &&mut super::job::Live| {
                let seen = !l.inherited || l.phase != Phase::Placed;
                l.sent && (known || seen)
            };
            if self.live_mut(&t).filter(of_it).is_some() {
                tracing::debug!(%host, task = %t, "gone with its worker's session");
                self.gone_by(now, &t, Some(Failure::Lost), false);
            }
        }
    }

    pub(super) fn live_mut(&mut self, t: &TaskId) -> Option<&mut super::job::Live> {
        self.jobs.get_mut(&t.job)?.live.get_mut(&t.ix)
    }

    /// True if the task is a live attempt of ours on that machine.
    fn take_task(&mut self, now: Time, host: &Host, r: &TaskReport) -> bool {
        let Some(job) = self.jobs.get_mut(&r.task.job) else {
            return false;
        };
        let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(l) = job.live.get_mut(&r.task.ix) else {
            return false;
        };
        if l.attempt != r.attempt || l.host != *host {
            return false;
        }
        let phase = match r.state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => {
                let since = l.running_since;
                self.ended(now, host, r, since);
                return false;
            }
        };
        let fetched = matches!(phase, Phase::Waiting | Phase::Running);
        if fetched
            && l.phase != phase
            && let Some(m) = self.machines.get_mut(host)
        {
            m.saw_image(&image, gb);
        }
        if l.phase != phase {
            self.dirty.changed.insert(r.task.job.clone());
        }
        l.phase = phase;
        job.note_phase(phase);
        let Some(l) = job.live.get_mut(&r.task.ix) else {
            return false;
        };
        // What is seen to fetch or to wait has not begun to run.
        l.inherited &= phase == Phase::Running;
        if phase == Phase::Running && l.running_since.is_none() {
            // After a take-over every task seemed to have just begun: machines
            // looked busy for longer than they were, and runtimes were learnt
            // that were far too short. The time of its start is on record.
            let since = if l.inherited { l.placed } else { now };
            l.running_since = Some(since);
            let after_s = (now - l.placed).as_secs();
            let waited_s = (now - job.ready).as_secs();
            tracing::debug!(task = %r.task, class = %job.spec.class, %host, after_s, waited_s, %image, gb, "running");
            let first = job.history.first_start().is_none();
            if !l.inherited || first {
                job.history.note(What::Started, self.wall.into());
            }
            if let Some(m) = self.machines.get_mut(host)
                && let Some(s) = m.slots.get_mut(&r.task)
            {
                s.start = since;
            }
            self.note_limit(&r.task, since);
            if first {
                self.book(now, &r.task.job, Begun);
                self.announce(&r.task.job, ParentOutcome::Started);
            }
        }
        true
    }

    fn ended(&mut self, now: Time, host: &Host, r: &TaskReport, since: Option<Time>) {
        let t = &r.task;
        match r.cause {
            Some(Cause::Done) => {
                if let Some(m) = self.machines.get_mut(host) {
                    m.fails = 0;
                    m.fail_jobs.clear();
                }
                self.done(now, t, since);
            }
            Some(Cause::Error) => {
                self.failed(now, host, t);
                self.gone_by(now, t, Some(Failure::Error), false);
            }
            Some(Cause::NoRoom | Cause::InUse) => {
                tracing::info!(%host, task = %t, cause = ?r.cause, "start refused");
                if let Some(m) = self.machines.get_mut(host) {
                    m.rest_until = now + Span::secs(2.0);
                }
                self.gone(now, t);
            }
            Some(Cause::Unknown) | None => {
                if let Some(j) = self.jobs.get_mut(&t.job) {
                    j.backoff_until = now + Span::secs(3.0);
                }
                self.gone(now, t);
            }
            Some(Cause::PeersGone) => {
                // So the gang had begun, even if no report said so: members
                // added under its number would wait for ever.
                if let Some(j) = self.jobs.get_mut(&t.job) {
                    j.gang_ran = true;
                }
                self.gone(now, t);
            }
            Some(Cause::Stopped) => {
                let late = self.live_mut(t).is_some_and(|l| l.timed_out);
                let why = if late {
                    Failure::TimedOut
                } else {
                    Failure::Stopped
                };
                self.gone_by(now, t, Some(why), r.kept);
            }
            Some(Cause::Alone) => self.gone_by(now, t, None, false),
        }
    }

    fn done(&mut self, now: Time, t: &TaskId, since: Option<Time>) {
        self.release_slot(now, t);
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let live = j.live.remove(&t.ix);
        let inherited = live.as_ref().is_some_and(|l| l.inherited);
        if let Some(l) = &live {
            j.account(now, l, true, false);
            j.history.note(What::Done, self.wall.into());
        }
        j.attempts.done(t.ix.0);
        j.set_done(t.ix);
        j.errors = 0;
        if let Some(s) = since.filter(|_| !inherited) {
            j.learn_runtime((now - s).as_secs());
            if j.runtimes.len() == estimate::ENOUGH {
                self.refresh_estimates(&t.job);
            }
        }
        self.note_progress(&t.job, t.ix);
        self.finish_if_over(&t.job);
    }

    /// An attempt whose place was given away had been done all the same: its
    /// task need not run again. One that has started anew meanwhile ends by
    /// itself, with the same result.
    fn done_late(&mut self, r: &TaskReport) {
        let t = &r.task;
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let waits = j.closing.is_none() && !j.cancelled && j.awaits_start(t.ix);
        if j.spec.kind != Kind::Array || !waits {
            return;
        }
        tracing::debug!(task = %t, attempt = %r.attempt, "done under an attempt given up");
        j.history.note(What::Done, self.wall.into());
        j.attempts.done(t.ix.0);
        j.set_done(t.ix);
        self.note_progress(&t.job, t.ix);
        self.finish_if_over(&t.job);
    }

    fn refresh_estimates(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let e = estimate::of(j);
        for (t, l) in &j.live {
            let task = TaskId {
                job: id.clone(),
                ix: *t,
            };
            if let Some(s) = self
                .machines
                .get_mut(&l.host)
                .and_then(|m| m.slots.get_mut(&task))
            {
                s.estimate = e;
            }
        }
    }

    /// The attempt's claim on machine, quota and zone ends.
    fn release_slot(&mut self, now: Time, t: &TaskId) {
        self.books.gone(t);
        let Some(j) = self.jobs.get(&t.job) else {
            return;
        };
        let Some(l) = j.live.get(&t.ix) else { return };
        self.teams.sub(&j.spec.team, &j.need);
        if let Some(m) = self.machines.get_mut(&l.host)
            && m.slots.remove(t).is_some()
        {
            m.used -= j.need;
            if m.slots.is_empty() {
                m.idle_since = now;
            }
        }
        self.replan = true;
    }

    /// The attempt is proven gone, and nobody is to blame.
    pub(super) fn gone(&mut self, now: Time, t: &TaskId) {
        self.gone_by(now, t, None, false);
    }

    /// The attempt is proven gone without being done; `kept`: what it had
    /// worked out was saved.
    pub(super) fn gone_by(&mut self, now: Time, t: &TaskId, why: Option<Failure>, kept: bool) {
        self.release_slot(now, t);
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let live = j.live.remove(&t.ix);
        if let Some(l) = &live {
            j.account(now, l, false, kept);
        }
        if let (Some(l), Some(why)) = (&live, why) {
            self.note_failure(now, t, l, why);
        }
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        if live.is_some() {
            if j.spec.kind == Kind::Gang && j.done_count > 0 {
                // A gang completes together: this one's word was lost.
                j.set_done(t.ix);
            }
            j.put_back(t.ix);
            self.gang_lost_one(now, &t.job);
            self.note_progress(&t.job, t.ix);
            self.finish_if_over(&t.job);
        }
    }

    /// Attempts that a newer report does not show.
    fn take_missing(&mut self, now: Time, host: &Host, shown: &BTreeSet<TaskId>, beat: bool) {
        let Some(m) = self.machines.get(host) else {
            return;
        };
        let clear = m.doubt.is_none() && m.direct.is_none();
        let seq = m.seq;
        let missing: Vec<TaskId> = m
            .slots
            .keys()
            .filter(|t| !shown.contains(*t))
            .cloned()
            .collect();
        for t in missing {
            let Some(l) = self.live_mut(&t) else { continue };
            let over = match (l.phase, l.stop) {
                // Never begun under an earlier leader: it is begun now, or, if
                // its room may be others' by now, placed anew.
                (Phase::Placed, None) if l.inherited && !clear => {
                    self.wish_for_token(host);
                    false
                }
                (Phase::Placed, None) => l.inherited && !self.resume(now, host, &t),
                // It is not to start any more: gone once no command that may
                // still be carried out could start it.
                (Phase::Placed, Some(_)) => {
                    !l.sent || (clear && beat && l.told.is_none_or(|s| s < seq))
                }
                _ => clear,
            };
            if over {
                self.gone(now, &t);
            }
        }
    }

    /// What the worker is to do. In an answer to a report nothing is lost: a
    /// worker that did not get it reports again, and hears the same. What is to
    /// end is told without any limit.
    pub(super) fn orders_for(&mut self, now: Time, host: &Host, by: By) -> Vec<Order> {
        // Without proof of the leadership nothing new is started.
        // A call starts nothing where no reports come from: its lease runs out.
        let fresh = self.heard_within();
        let takes = |m: &Machine| m.life == Life::Up && (by != By::Call || now - m.heard < fresh);
        let up = self.machines.get(host).is_some_and(takes);
        let may_run = up && self.may_start(now);
        let Some(m) = self.machines.get(host) else {
            return vec![];
        };
        // While a direct call is on its way the two could overtake each other,
        // which matters for all but ending what is there: while calls to a zone
        // that was cut off waited in line, a cancelled task once ran on.
        let only_kill = m.direct.is_some() || by == By::Answer { newest: false };
        let answer = by != By::Call;
        let mut orders = vec![];
        let seq = m.seq;
        for ((task, attempt), ended) in &m.strays {
            let (task, attempt) = (task.clone(), *attempt);
            if !ended {
                let leeway_s = 0.0;
                orders.push(Order::Kill {
                    task,
                    attempt,
                    leeway_s,
                });
            } else if !only_kill && m.doubt.is_none() && self.may_clear(&task, attempt) {
                orders.push(Order::Clear { task, attempt });
            }
        }
        let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
        for task in tasks {
            let room = orders.len() < MAX_ORDERS;
            let stored = match self.jobs.get(&task.job) {
                Some(j) => j.parts[j.part_of(task.ix)].stored,
                None => continue,
            };
            let Some(l) = self.live_mut(&task) else {
                continue;
            };
            let attempt = l.attempt;
            match (l.phase, l.stop) {
                (Phase::Placed, None) if l.inherited => {}
                (Phase::Placed, None) if room && may_run && !only_kill && stored >= l.ver => {
                    l.sent = true;
                    if answer {
                        l.told = Some(seq);
                    }
                    orders.push(Order::Run { task, attempt });
                }
                (Phase::Placed, None) => {}
                // It may begin after this report and before the answer: an answer that
                // renews the lease tells all that is to end. A call renews nothing.
                (Phase::Placed, Some(_)) if !(answer && l.sent) => {}
                (_, Some(s)) => orders.push(Order::Kill {
                    task,
                    attempt,
                    leeway_s: s.leeway_s,
                }),
                (_, None) => {}
            }
        }
        orders
    }

    /// An ended attempt may be forgotten once nothing of it waits to be stored.
    fn may_clear(&self, task: &TaskId, _attempt: Attempt) -> bool {
        match self.jobs.get(&task.job) {
            // What it has done is on no record that we can read.
            None if self.unreadable.contains_key(&task.job) => false,
            Some(j) if task.ix.0 < j.spec.tasks => j.closing.is_none() && j.part_stored(task.ix),
            _ => true,
        }
    }

    /// The attempt is to end, saving for so long. The command leaves once the event
    /// has been taken in whole: in the middle of it, it would carry `run` for attempts
    /// that are about to be stopped or taken for gone.
    pub(super) fn stop(&mut self, now: Time, id: &JobId, ix: TaskIx, leeway_s: f64) {
        let t = TaskId {
            job: id.clone(),
            ix,
        };
        let Some(l) = self.live_mut(&t) else { return };
        if !l.sent {
            return self.gone(now, &t);
        }
        l.stop = Some(Stop { leeway_s });
        let (host, unseen) = (l.host.clone(), l.phase == Phase::Placed);
        if unseen {
            self.outdate_call(&host);
        }
        self.ready.insert(host);
    }
}
