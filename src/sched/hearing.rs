//! Machines whose reports arrive while answers and commands don't reach them.
//!
//! Such a machine looks alive, its lease is not renewed whatever it is answered, and
//! what it is told has no effect: best fit chose it again and again. What shows it is
//! that reports sent after an answer bear no trace of it: neither its token, nor what
//! it told to run; or that a session ended though its reports were answered.
//!
//! Nothing is placed there until it has confirmed a token that it was first told
//! after that, which also puts commands that may still be under way out of force.
//! While it has anything that is to end, its reports are not answered with 200: it
//! might hear that very answer, and every one that renews its lease would have to
//! tell it all there is to tell. What it has is gone by the usual proofs: a later
//! session, the release carried out, a lease that ran out since the last 200.

use super::Sched;
use super::job::{Live, Phase};
use super::machine::Machine;
use crate::ids::{Host, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::Report;
use std::collections::BTreeSet;

/// Answers in a row without effect. One is lost now and then.
const IN_VAIN: u32 = 2;
/// The same while none of its reports was sent in this term for certain: the first may
/// be a copy, whose answer nobody hears.
const IN_VAIN_UNPROVEN: u32 = 3;
/// A worker sends no report sooner after another. One that comes sooner after an answer
/// was sent before that, or is a copy, and shows nothing of it.
const REPORTS_APART: Span = Span(500_000);
/// So long after requests last waited for too long, answers are in time again.
const CAUGHT_UP: Span = Span(10_000_000);
/// A worker takes an answer that comes so long after its report.
const TAKES_FOR: Span = Span(4_000_000);

/// The session of a report, against that of the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionSeen {
    Same,
    /// A later one than was heard in this term.
    Later,
    /// A later one than a report told that may be a copy of an old one.
    Unproven,
}

impl Machine {
    /// The worker tells that it has heard this token.
    pub(super) fn confirms(&mut self, now: Time, token: Token) -> bool {
        if self.doubt.is_some_and(|d| token >= d) {
            self.doubt = None;
        }
        let hears = token >= self.token && self.deaf_since.is_some();
        if hears {
            tracing::info!(host = %self.host, "hears again");
            (self.deaf_since, self.in_vain, self.told) = (None, 0, None);
            self.idle_since = now;
        }
        hears
    }
}

impl Sched {
    /// What a new report shows of the answer to the one before; `shown`: the
    /// attempts of ours on it.
    pub(super) fn note_hearing(
        &mut self,
        now: Time,
        r: &Report,
        shown: &BTreeSet<TaskId>,
        session: SessionSeen,
    ) {
        let keeps_up = self.keeps_up(now);
        let Some(m) = self.machines.get_mut(&r.host) else {
            return;
        };
        let Some(told) = m.told.take() else { return };
        if !keeps_up {
            m.in_vain = 0;
            return;
        }
        if now - told.at < REPORTS_APART {
            return;
        }
        let lease = Span::secs(self.cfg.workers.lease_s).shrunk() - TAKES_FOR;
        let lost = session == SessionSeen::Later && now < m.answered + lease;
        let began = |t: &TaskId| {
            let l = self.jobs.get(&t.job).and_then(|j| j.live.get(&t.ix));
            let waits = |l: &Live| l.phase == Phase::Placed && l.told == Some(told.seq);
            !l.is_some_and(waits) || shown.contains(t)
        };
        let same = session == SessionSeen::Same;
        let missed = lost || r.token < told.token || same && !m.slots.keys().all(began);
        m.in_vain = match missed {
            true if lost => IN_VAIN,
            true => m.in_vain + 1,
            false => 0,
        };
        let enough = match m.in_term {
            true => IN_VAIN,
            false => IN_VAIN_UNPROVEN,
        };
        if m.in_vain < enough || m.deaf_since.is_some() {
            return;
        }
        // Only now: a number for each report would use up the term's within hours.
        let fresh = self.next_token();
        let Some(m) = self.machines.get_mut(&r.host) else {
            return;
        };
        m.deaf_since = Some(now);
        (m.token, m.doubt) = (fresh, Some(fresh));
        tracing::info!(host = %r.host, tasks = m.slots.len(), "does not hear");
        // What was not told to start there can start elsewhere at once.
        let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
        for t in tasks {
            if self.live_mut(&t).is_some_and(|l| !l.sent) {
                self.gone(now, &t);
            }
        }
    }

    /// Answers leave in time. Where they don't, workers drop them, and what their
    /// reports show says nothing of them: under a flood of jobs most of a fleet
    /// once counted as deaf, was answered 503, and lost 15,000 tasks by its leases.
    pub(super) fn keeps_up(&self, now: Time) -> bool {
        now - self.behind > CAUGHT_UP
    }

    /// Something on the machine is to end: what was stopped or is no longer ours,
    /// and what was told to start and has not been seen, which waits elsewhere.
    /// If so, it is tried directly as well, which renews no lease.
    pub(super) fn ends_something(&mut self, host: &Host) -> bool {
        let Some(m) = self.machines.get(host) else {
            return false;
        };
        let ends = |t: &TaskId| {
            let l = self.jobs.get(&t.job).and_then(|j| j.live.get(&t.ix));
            l.is_some_and(|l| l.stop.is_some() || l.phase == Phase::Placed)
        };
        let any = m.strays.values().any(|ended| !ended) || m.slots.keys().any(ends);
        if any {
            self.wish_for_token(host);
        }
        any
    }
}
