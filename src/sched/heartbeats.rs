//! Answers to workers' heartbeats: who is entitled to one, and when it leaves.

use super::Scheduler;
use super::machine::{Machine, MachineState, SentAnswer};
use super::report_reconciliation::{Delivery, ReportSource};
use crate::ids::{Host, Label, ReqId, Seq, Session};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::worker::{Report, ReportAnswer};

/// An answer waits no longer for its zone to be taken back on record.
const MAX_FENCE_WAIT: Span = Span(1_000_000);

/// Tokens that one leadership may give out; a larger one comes from a later leader.
const TOKENS_PER_EPOCH: u64 = 1 << 24;

/// A heartbeat that is being answered.
pub(super) struct PendingHeartbeat {
    req: ReqId,
    received_at: Time,
    /// Orders the heartbeats of a worker.
    position: (Session, Seq),
    /// The worker has heard our token: it drops the answers of earlier leaders.
    has_our_token: bool,
    /// The newest of its worker, which may be told what to do.
    newest: bool,
}

impl Scheduler {
    /// Takes a heartbeat, which came by way of the controller `via` if not directly,
    /// and answers it now or holds the answer back.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Time,
        req: ReqId,
        body: &[u8],
        via: Option<Label>,
    ) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => return self.answer(req, Answer::error(400, &e.to_string())),
        };
        if !self.may_report(now) || self.fleet.is_returned(&report.host) {
            self.reports_refused += 1;
            return self.answer(req, Answer::later("not entitled to answer", 1));
        }
        if report.token.0 >= self.epoch.base() + TOKENS_PER_EPOCH {
            return self.answer(req, Answer::error(503, "a later leader has spoken"));
        }
        let host = report.host.clone();
        let tasks_before = self.tasks_on(&host);
        let newest = self.apply_report(now, &report, ReportSource::Heartbeat);
        if newest && let Some(machine) = self.machines.get_mut(&host) {
            machine.relayed_by = via;
        }
        let freed = self.tasks_on(&host) < tasks_before;
        let beat = PendingHeartbeat {
            req,
            received_at: now,
            position: (report.session, report.seq),
            has_our_token: report.token >= self.base_token(),
            newest,
        };
        if !self.supersedes_waiting(&host, &beat) {
            return self.answer(req, Answer::later("a newer report is here", 1));
        }
        if newest && self.should_hold_answer(now, &host, freed) {
            self.reports_held += 1;
            self.held_heartbeats.insert(host, beat);
        } else {
            self.answer_heartbeat(now, &host, beat);
        }
    }

    fn tasks_on(&self, host: &Host) -> usize {
        let machine = self.machines.get(host);
        machine.map_or(0, |machine| machine.allocations.len())
    }

    /// A worker has one heartbeat in flight, so it has given up an earlier one that
    /// still waits for its answer. False if a newer one waits: then this is a copy.
    fn supersedes_waiting(&mut self, host: &Host, beat: &PendingHeartbeat) -> bool {
        let waiting = self
            .held_heartbeats
            .get(host)
            .or(self.fenced_heartbeats.get(host));
        if waiting.is_some_and(|waiting| waiting.position >= beat.position) {
            return false;
        }
        let earlier = self.held_heartbeats.remove(host);
        if let Some(earlier) = earlier.or_else(|| self.fenced_heartbeats.remove(host)) {
            self.answer(earlier.req, Answer::later("a newer report is here", 1));
        }
        true
    }

    /// Answers a heartbeat with what the worker is to do, which renews its lease, unless
    /// that must not be or has to wait.
    pub(super) fn answer_heartbeat(&mut self, now: Time, host: &Host, beat: PendingHeartbeat) {
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
        if self.fences.is_fenced(&zone) {
            return self.hold_at_fence(now, host, beat);
        }
        if unreachable && self.answers_are_timely(now) && self.check_pending_stops(host) {
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
        let answer = ReportAnswer { token, orders };
        let body = serde_json::to_string(&answer).unwrap_or_default();
        self.answer(beat.req, Answer::new(200, body));
    }

    /// The answer waits until it is on record that the zone is answered again: a worker
    /// that is sent away comes back only after its lease has expired.
    fn hold_at_fence(&mut self, now: Time, host: &Host, beat: PendingHeartbeat) {
        if now - beat.received_at >= MAX_FENCE_WAIT {
            self.reports_refused += 1;
            return self.answer(beat.req, Answer::later("its zone is being taken back", 1));
        }
        self.fenced_heartbeats.insert(host.clone(), beat);
    }

    /// Answers that waited at a fence: those whose zone is open, and those that
    /// have waited for too long.
    pub(super) fn answer_fenced_heartbeats(&mut self, now: Time) {
        for (host, beat) in std::mem::take(&mut self.fenced_heartbeats) {
            self.answer_heartbeat(now, &host, beat);
        }
    }

    /// What the worker is to do next will be known in a moment: its answer can
    /// wait for that, which saves a direct call and further heartbeats.
    fn should_hold_answer(&self, now: Time, host: &Host, freed: bool) -> bool {
        if self.config.heartbeat_hold == Span::ZERO || !self.may_start(now) {
            return false;
        }
        let able =
            |machine: &Machine| machine.state == MachineState::Up && machine.direct_call.is_none();
        let waits = self.machines_with_unsent_runs.contains(host)
            || freed && !self.fleet.shortages.is_empty();
        waits && self.machines.get(host).is_some_and(able)
    }

    /// Answers to heartbeats that need not, or may not, wait any longer; `passed`: a
    /// placement pass has just ended.
    pub(super) fn answer_held_heartbeats(&mut self, now: Time, passed: bool) {
        let hold = self.config.heartbeat_hold;
        let unsent = &self.machines_with_unsent_runs;
        let due = |(host, beat): (&Host, &PendingHeartbeat)| {
            let idle = passed && !unsent.contains(host);
            (idle || now - beat.received_at >= hold).then(|| host.clone())
        };
        let hosts: Vec<Host> = self.held_heartbeats.iter().filter_map(due).collect();
        for host in hosts {
            if let Some(beat) = self.held_heartbeats.remove(&host) {
                self.answer_heartbeat(now, &host, beat);
            }
        }
    }

    /// When the next held answer is due.
    pub(super) fn next_held_deadline(&self) -> Option<Time> {
        let first = self
            .held_heartbeats
            .values()
            .map(|beat| beat.received_at)
            .min();
        first.map(|since| since + self.config.heartbeat_hold)
    }
}

impl Machine {
    /// Notes that a heartbeat is answered with 200, which renews the worker's lease.
    fn note_answer(&mut self, now: Time, beat: &PendingHeartbeat) {
        // Until the worker has heard our token, an earlier leader may renew it, too.
        self.last_renewal = if beat.has_our_token {
            now
        } else {
            self.last_renewal.max(now)
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
