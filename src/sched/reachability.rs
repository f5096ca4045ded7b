//! Detection of unreachable workers, whose heartbeats arrive while answers and commands
//! don't reach them.
//!
//! Such a machine looks alive, but its lease is not renewed and commands have no
//! effect. It is detected by heartbeats that show no effect of an answer sent before
//! them (neither its token nor the attempts it started), or by a session that ended
//! although its heartbeats were answered.
//!
//! Nothing is placed there until it confirms a token issued after the detection; that
//! token also invalidates commands that may still be in flight. While it has attempts
//! that must end, its heartbeats are not answered with 200: that answer might arrive
//! and renew the lease, and would then have to carry every stop. Its attempts are
//! proven gone as usual: by a later session, by the release of the machine, or by a
//! lease that expired since the last 200.

use super::Scheduler;
use super::job::{ActiveAttempt, Phase};
use super::machine::{Machine, SentAnswer};
use crate::ids::{Host, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::Report;
use std::collections::BTreeSet;

/// Consecutive answers without effect after which a worker counts as unreachable. A
/// single answer is lost now and then.
const MAX_INEFFECTIVE_ANSWERS: u32 = 2;
/// The same while no heartbeat is proven to have been sent under this leader: the first
/// may be a duplicate, whose answer nobody receives.
const MAX_INEFFECTIVE_ANSWERS_UNPROVEN: u32 = 3;
/// The shortest interval between heartbeats. One that arrives sooner after an answer
/// was sent before it, or is a duplicate, and can't show its effect.
const MIN_HEARTBEAT_INTERVAL: Span = Span(500_000);
/// After an overload, answers count as timely again once no request has waited too long
/// for this time.
const RECOVERY_AFTER_OVERLOAD: Span = Span(10_000_000);
/// The longest time from a heartbeat to an answer that the worker still accepts.
const MAX_ANSWER_DELAY: Span = Span(4_000_000);

/// The session of a report compared with that of the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionChange {
    /// The same session, or there was no previous report.
    Same,
    /// Later than a session proven under this leader.
    Later,
    /// Later than a session known only from a report that may be a duplicate of an old
    /// one.
    Unproven,
}

impl Machine {
    /// Handles a token confirmed by the worker. Returns true if that makes an
    /// unreachable worker reachable again.
    pub(super) fn confirm_token(&mut self, now: Time, token: Token) -> bool {
        if self
            .unconfirmed_token
            .is_some_and(|unconfirmed| token >= unconfirmed)
        {
            self.unconfirmed_token = None;
        }
        let reachable_again = token >= self.token && self.unreachable_since.is_some();
        if reachable_again {
            tracing::info!(host = %self.host, "unreachable worker is reachable again");
            self.unreachable_since = None;
            self.ineffective_answers = 0;
            self.last_answer = None;
            self.idle_since = now;
        }
        reachable_again
    }

    fn is_unreachable(&self) -> bool {
        let limit = if self.session_confirmed {
            MAX_INEFFECTIVE_ANSWERS
        } else {
            MAX_INEFFECTIVE_ANSWERS_UNPROVEN
        };
        self.ineffective_answers >= limit
    }
}

impl Scheduler {
    /// Checks whether a heartbeat shows the effect of the previous answer; `shown`: our
    /// active attempts in the heartbeat.
    pub(super) fn check_answer_effect(
        &mut self,
        now: Time,
        report: &Report,
        shown: &BTreeSet<TaskId>,
        session: SessionChange,
    ) {
        let answers_are_timely = self.answers_are_timely(now);
        let Some(machine) = self.machines.get_mut(&report.host) else {
            return;
        };
        let Some(answer) = machine.last_answer.take() else {
            return;
        };
        if !answers_are_timely {
            machine.ineffective_answers = 0;
            return;
        }
        if now - answer.at < MIN_HEARTBEAT_INTERVAL {
            return;
        }
        let lease_expired =
            session == SessionChange::Later && self.answered_in_time(now, &report.host);
        let took_effect = report.token >= answer.token
            && (session != SessionChange::Same
                || self.orders_took_effect(&report.host, answer, shown));
        let Some(machine) = self.machines.get_mut(&report.host) else {
            return;
        };
        if lease_expired {
            machine.ineffective_answers = MAX_INEFFECTIVE_ANSWERS;
        } else if took_effect {
            machine.ineffective_answers = 0;
        } else {
            machine.ineffective_answers += 1;
        }
        if machine.is_unreachable() && machine.unreachable_since.is_none() {
            self.mark_unreachable(now, &report.host);
        }
    }

    /// Whether the last answer was sent early enough to keep the worker's lease from
    /// expiring.
    fn answered_in_time(&self, now: Time, host: &Host) -> bool {
        let lease = Span::secs(self.config.workers.lease_s).shrunk() - MAX_ANSWER_DELAY;
        let machine = self.machines.get(host);
        machine.is_some_and(|machine| now < machine.last_renewal + lease)
    }

    /// Whether every attempt that this answer started is shown, or was seen before.
    fn orders_took_effect(
        &self,
        host: &Host,
        answer: SentAnswer,
        shown: &BTreeSet<TaskId>,
    ) -> bool {
        let waits = |active: &ActiveAttempt| {
            active.phase == Phase::Placed && active.run_sent_in == Some(answer.seq)
        };
        let started = |task: &TaskId| {
            let active = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.active.get(&task.index));
            !active.is_some_and(waits) || shown.contains(task)
        };
        let machine = self.machines.get(host);
        machine.is_none_or(|machine| machine.allocations.keys().all(started))
    }

    fn mark_unreachable(&mut self, now: Time, host: &Host) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.unreachable_since = Some(now);
        machine.await_confirmation();
        tracing::info!(%host, tasks = machine.allocations.len(), "worker unreachable: heartbeats arrive but answers have no effect");
        // Attempts whose start was never sent can start elsewhere at once.
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            if self
                .active_attempt_mut(&task)
                .is_some_and(|active| !active.run_sent)
            {
                self.attempt_gone(now, &task);
            }
        }
    }

    /// Whether answers are sent in time. Workers drop late answers, so heartbeats then
    /// prove nothing about reachability: a flood of jobs must not make most of the
    /// fleet count as unreachable.
    pub(super) fn answers_are_timely(&self, now: Time) -> bool {
        now - self.overloaded_at > RECOVERY_AFTER_OVERLOAD
    }

    /// Whether something on the machine must end: attempts stopped or no longer ours,
    /// and attempts not yet seen running, which wait to start elsewhere. If so, a
    /// direct call is requested as well, which renews no lease.
    pub(super) fn check_pending_stops(&mut self, host: &Host) -> bool {
        let Some(machine) = self.machines.get(host) else {
            return false;
        };
        let ends = |task: &TaskId| {
            let active = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.active.get(&task.index));
            active.is_some_and(|active| active.stop.is_some() || active.phase == Phase::Placed)
        };
        let running_unknown = machine.unknown_attempts.values().any(|ended| !ended);
        let any = running_unknown || machine.allocations.keys().any(ends);
        if any {
            self.request_confirmation(host);
        }
        any
    }
}
