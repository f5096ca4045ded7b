//! Answers to workers' heartbeats: who is entitled to one, and when it leaves.

use super::Sched;
use super::machine::{Life, Machine, SentAnswer};
use super::report::{Delivery, ReportSource};
use crate::ids::{ControllerId, Host, RequestId, Seq, Session};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::worker::{Report, ReportResponse};

/// An answer waits no longer for its zone to be taken back on record.
const MAX_WAIT_AT_FENCE: Span = Span(1_000_000);

/// Tokens that one leadership may give out; a larger one comes from a later leader.
const TOKENS_PER_EPOCH: u64 = 1 << 24;

/// A heartbeat that is being answered.
pub(super) struct Beat {
    req: RequestId,
    since: Time,
    /// Orders the heartbeats of a worker.
    order: (Session, Seq),
    /// The worker has heard our token: it drops the answers of earlier leaders.
    heard_our_token: bool,
    /// The newest of its worker, which may be told what to do.
    newest: bool,
}

impl Sched {
    /// Takes a heartbeat, which came by way of the controller `via` if not directly,
    /// and answers it now or holds the answer back.
    pub(super) fn beat(
        &mut self,
        now: Time,
        req: RequestId,
        body: &[u8],
        via: Option<ControllerId>,
    ) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => return self.answer(req, Answer::error(400, &e.to_string())),
        };
        if !self.may_report(now) || self.fleet.is_gone(&report.host) {
            self.reports_refused += 1;
            return self.answer(req, Answer::later("not entitled to answer", 1));
        }
        if report.token.0 >= self.epoch.base() + TOKENS_PER_EPOCH {
            return self.answer(req, Answer::error(503, "a later leader has spoken"));
        }
        let host = report.host.clone();
        let tasks_before = self.tasks_on(&host);
        let newest = self.take_report(now, &report, ReportSource::Heartbeat);
        if newest && let Some(machine) = self.machines.get_mut(&host) {
            machine.via = via;
        }
        let freed = self.tasks_on(&host) < tasks_before;
        let beat = Beat {
            req,
            since: now,
            order: (report.session, report.seq),
            heard_our_token: report.token >= self.base_token(),
            newest,
        };
        if !self.supersedes_waiting(&host, &beat) {
            return self.answer(req, Answer::later("a newer report is here", 1));
        }
        if newest && self.worth_holding(now, &host, freed) {
            self.reports_held += 1;
            self.held.insert(host, beat);
        } else {
            self.answer_beat(now, &host, beat);
        }
    }

    fn tasks_on(&self, host: &Host) -> usize {
        let machine = self.machines.get(host);
        machine.map_or(0, |machine| machine.slots.len())
    }

    /// A worker has one heartbeat in flight, so it has given up an earlier one that
    /// still waits for its answer. False if a newer one waits: then this is a copy.
    fn supersedes_waiting(&mut self, host: &Host, beat: &Beat) -> bool {
        let waiting = self.held.get(host).or(self.at_fence.get(host));
        if waiting.is_some_and(|waiting| waiting.order >= beat.order) {
            return false;
        }
        let earlier = self.held.remove(host);
        if let Some(earlier) = earlier.or_else(|| self.at_fence.remove(host)) {
            self.answer(earlier.req, Answer::later("a newer report is here", 1));
        }
        true
    }

    /// Answers a heartbeat with what the worker is to do, which renews its lease, unless
    /// that must not be or has to wait.
    pub(super) fn answer_beat(&mut self, now: Time, host: &Host, beat: Beat) {
        if !self.may_report(now) {
            return self.answer(beat.req, Answer::later("not entitled to answer", 1));
        }
        let Some(machine) = self.machines.get(host) else {
            return self.answer(beat.req, Answer::later("unknown machine", 1));
        };
        let unreachable = machine.unreachable_since.is_some();
        // Its lease may go on only once the record no longer says otherwise: also
        // a record that has not left yet must not say so later.
        let zone = machine.zone.clone();
        self.lower_fence(&zone);
        if self.fences.closed(&zone) {
            return self.hold_at_fence(now, host, beat);
        }
        if unreachable && self.keeps_up(now) && self.ends_something(host) {
            // An unreachable worker ends what it has with its lease, which no answer
            // of ours may renew: a cancellation holds by that.
            self.reports_refused += 1;
            return self.answer(beat.req, Answer::later("it does not hear", 1));
        }
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.note_answer(now, &beat);
        let token = machine.token;
        self.fences.note_answer(&zone, now);
        // An older one was passed by the answer to a call; it renews the lease all the
        // same, so it tells what is to end.
        let newest = beat.newest;
        let orders = self.orders_for(now, host, Delivery::Answer { newest });
        let answer = ReportResponse {
            token,
            commands: orders,
        };
        let body = serde_json::to_string(&answer).unwrap_or_default();
        self.answer(beat.req, Answer::new(200, body));
    }

    /// The answer waits until it is on record that the zone is answered again: a worker
    /// that is sent away comes back only after its lease has expired.
    fn hold_at_fence(&mut self, now: Time, host: &Host, beat: Beat) {
        if now - beat.since >= MAX_WAIT_AT_FENCE {
            self.reports_refused += 1;
            return self.answer(beat.req, Answer::later("its zone is being taken back", 1));
        }
        self.at_fence.insert(host.clone(), beat);
    }

    /// Answers that waited at a fence: those whose zone is open, and those that
    /// have waited for too long.
    pub(super) fn answer_at_fence(&mut self, now: Time) {
        for (host, beat) in std::mem::take(&mut self.at_fence) {
            self.answer_beat(now, &host, beat);
        }
    }

    /// What the worker is to do next will be known in a moment: its answer can
    /// wait for that, which saves a direct call and further heartbeats.
    fn worth_holding(&self, now: Time, host: &Host, freed: bool) -> bool {
        if self.cfg.hold == Span::ZERO || !self.may_start(now) {
            return false;
        }
        let able = |machine: &Machine| machine.life == Life::Up && machine.direct.is_none();
        let waits = self.unsent.contains(host) || freed && !self.fleet.short.is_empty();
        waits && self.machines.get(host).is_some_and(able)
    }

    /// Answers to heartbeats that need not, or may not, wait any longer; `passed`: a
    /// placement pass has just ended.
    pub(super) fn answer_held(&mut self, now: Time, passed: bool) {
        let hold = self.cfg.hold;
        let unsent = &self.unsent;
        let due = |(host, beat): (&Host, &Beat)| {
            let idle = passed && !unsent.contains(host);
            (idle || now - beat.since >= hold).then(|| host.clone())
        };
        let hosts: Vec<Host> = self.held.iter().filter_map(due).collect();
        for host in hosts {
            if let Some(beat) = self.held.remove(&host) {
                self.answer_beat(now, &host, beat);
            }
        }
    }

    /// When the next held answer is due.
    pub(super) fn held_until(&self) -> Option<Time> {
        let first = self.held.values().map(|beat| beat.since).min();
        first.map(|since| since + self.cfg.hold)
    }
}

impl Machine {
    /// Notes that a heartbeat is answered with 200, which renews the worker's lease.
    fn note_answer(&mut self, now: Time, beat: &Beat) {
        // Until the worker has heard our token, an earlier leader may renew it, too.
        self.answered = if beat.heard_our_token {
            now
        } else {
            self.answered.max(now)
        };
        if beat.newest {
            self.last_answer = Some(SentAnswer {
                at: now,
                seq: self.seq,
                token: self.token,
            });
        }
    }
}
