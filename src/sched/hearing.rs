//! Unreachable workers: their heartbeats arrive while answers and commands don't
//! reach them.
//!
//! Such a machine looks alive, its lease is not renewed whatever it is answered, and
//! what it is told has no effect. What shows it is that heartbeats sent after an answer
//! bear no trace of it: neither its token, nor what it told to run; or that a session
//! ended though its heartbeats were answered.
//!
//! Nothing is placed there until it has confirmed a token that it was first told
//! after that, which also puts commands that may still be under way out of force.
//! While it has anything that is to end, its heartbeats are not answered with 200: it
//! might hear that very answer, and every one that renews its lease would have to
//! tell it all there is to tell. What it has is gone by the usual proofs: a later
//! session, the release carried out, a lease that expired since the last 200.

use super::Sched;
use super::job::{Live, Phase};
use super::machine::{Machine, SentAnswer};
use crate::ids::{Host, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::Report;
use std::collections::BTreeSet;

/// So many answers in a row without effect make a worker unreachable. One is lost now
/// and then.
const MAX_UNHEARD_ANSWERS: u32 = 2;
/// The same while none of its heartbeats was sent under this leader for certain: the
/// first may be a copy, whose answer nobody hears.
const MAX_UNHEARD_ANSWERS_UNPROVEN: u32 = 3;
/// A worker sends no heartbeat sooner after another. One that comes sooner after an
/// answer was sent before that, or is a copy, and shows nothing of it.
const MIN_HEARTBEAT_INTERVAL: Span = Span(500_000);
/// So long after requests last waited for too long, answers are in time again.
const RECOVERY_AFTER_OVERLOAD: Span = Span(10_000_000);
/// The longest time from a heartbeat to an answer that its worker still takes.
const MAX_ANSWER_DELAY: Span = Span(4_000_000);

/// The session of a report, against that of the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionSeen {
    /// The same one, or there was none before.
    Same,
    /// A later one than was heard under this leader.
    Later,
    /// A later one than a report told that may be a copy of an old one.
    Unproven,
}

impl Machine {
    /// The worker tells that it has heard this token. True if that makes an unreachable
    /// worker reachable again.
    pub(super) fn confirms(&mut self, now: Time, token: Token) -> bool {
        if self.doubt.is_some_and(|doubt| token >= doubt) {
            self.doubt = None;
        }
        let reachable_again = token >= self.token && self.unreachable_since.is_some();
        if reachable_again {
            tracing::info!(host = %self.host, "hears again");
            self.unreachable_since = None;
            self.unheard_answers = 0;
            self.last_answer = None;
            self.idle_since = now;
        }
        reachable_again
    }

    fn is_unreachable(&self) -> bool {
        let enough = if self.in_term {
            MAX_UNHEARD_ANSWERS
        } else {
            MAX_UNHEARD_ANSWERS_UNPROVEN
        };
        self.unheard_answers >= enough
    }
}

impl Sched {
    /// Notes what a heartbeat shows of the answer to the one before; `shown`: the
    /// attempts of ours on it.
    pub(super) fn note_hearing(
        &mut self,
        now: Time,
        report: &Report,
        shown: &BTreeSet<TaskId>,
        session: SessionSeen,
    ) {
        let keeps_up = self.keeps_up(now);
        let Some(machine) = self.machines.get_mut(&report.host) else {
            return;
        };
        let Some(answer) = machine.last_answer.take() else {
            return;
        };
        if !keeps_up {
            machine.unheard_answers = 0;
            return;
        }
        if now - answer.at < MIN_HEARTBEAT_INTERVAL {
            return;
        }
        let lost_lease = session == SessionSeen::Later && self.answered_in_time(now, &report.host);
        let heard = report.token >= answer.token
            && (session != SessionSeen::Same || self.has_begun(&report.host, answer, shown));
        let Some(machine) = self.machines.get_mut(&report.host) else {
            return;
        };
        if lost_lease {
            machine.unheard_answers = MAX_UNHEARD_ANSWERS;
        } else if heard {
            machine.unheard_answers = 0;
        } else {
            machine.unheard_answers += 1;
        }
        if machine.is_unreachable() && machine.unreachable_since.is_none() {
            self.mark_unreachable(now, &report.host);
        }
    }

    /// Whether the last answer should have kept the worker's lease up.
    fn answered_in_time(&self, now: Time, host: &Host) -> bool {
        let lease = Span::secs(self.cfg.workers.lease_s).shrunk() - MAX_ANSWER_DELAY;
        let machine = self.machines.get(host);
        machine.is_some_and(|machine| now < machine.answered + lease)
    }

    /// Whether all that this answer told to run is shown, or has been seen before.
    fn has_begun(&self, host: &Host, answer: SentAnswer, shown: &BTreeSet<TaskId>) -> bool {
        let waits = |live: &Live| live.phase == Phase::Placed && live.told == Some(answer.seq);
        let begun = |task: &TaskId| {
            let live = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.live.get(&task.index));
            !live.is_some_and(waits) || shown.contains(task)
        };
        let machine = self.machines.get(host);
        machine.is_none_or(|machine| machine.slots.keys().all(begun))
    }

    fn mark_unreachable(&mut self, now: Time, host: &Host) {
        // Only now: a number for each heartbeat would use up the epoch's within hours.
        let token = self.next_token();
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.unreachable_since = Some(now);
        machine.doubt_until(token);
        tracing::info!(%host, tasks = machine.slots.len(), "does not hear");
        // What was not told to start there can start elsewhere at once.
        let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
        for task in tasks {
            if self.live_mut(&task).is_some_and(|live| !live.sent) {
                self.gone(now, &task);
            }
        }
    }

    /// Answers leave in time. Where they don't, workers drop them, and what their
    /// heartbeats show says nothing of them: a flood of jobs must not make most of a
    /// fleet count as unreachable.
    pub(super) fn keeps_up(&self, now: Time) -> bool {
        now - self.behind > RECOVERY_AFTER_OVERLOAD
    }

    /// Something on the machine is to end: what was stopped or is no longer ours,
    /// and what was told to start and has not been seen, which waits elsewhere.
    /// If so, it is tried directly as well, which renews no lease.
    pub(super) fn ends_something(&mut self, host: &Host) -> bool {
        let Some(machine) = self.machines.get(host) else {
            return false;
        };
        let ends = |task: &TaskId| {
            let live = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.live.get(&task.index));
            live.is_some_and(|live| live.stop.is_some() || live.phase == Phase::Placed)
        };
        let running_strays = machine.strays.values().any(|ended| !ended);
        let any = running_strays || machine.slots.keys().any(ends);
        if any {
            self.request_confirmation(host);
        }
        any
    }
}
