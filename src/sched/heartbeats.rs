//! Answers to workers' heartbeats: which are answered, and when. An answer renews the
//! worker's lease.

use super::Scheduler;
use super::machine::{Machine, MachineState, SentAnswer};
use super::report_reconciliation::ReportSource;
use super::worker_commands::Delivery;
use crate::ids::{ControllerId, Host, RequestId, Seq, Session};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::worker::{Report, ReportResponse};

/// The longest time an answer waits until the fence of its zone is removed from the
/// record.
const MAX_FENCE_WAIT: Span = Span(1_000_000);

/// Fencing tokens per epoch; a larger token was issued by a later leader.
const TOKENS_PER_EPOCH: u64 = 1 << 24;

/// A heartbeat that has not been answered yet.
pub(super) struct PendingHeartbeat {
    req: RequestId,
    received_at: Time,
    /// Session and sequence number, which order the heartbeats of a worker.
    position: (Session, Seq),
    /// The worker has received our token, so it drops answers of earlier leaders.
    has_our_token: bool,
    /// The newest one of its worker, whose answer may carry any command.
    newest: bool,
}

impl Scheduler {
    /// Handles a heartbeat, forwarded by the controller `via` unless it came directly,
    /// and answers it now or later.
    pub(super) fn handle_heartbeat(
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
        if !self.may_report(now) || self.fleet.is_returned(&report.host) {
            self.reports_refused += 1;
            return self.answer(
                req,
                Answer::later("leadership is not proven or machine is released", 1),
            );
        }
        if report.token.0 >= self.epoch.base() + TOKENS_PER_EPOCH {
            return self.answer(
                req,
                Answer::error(503, "worker carries the token of a later leader"),
            );
        }
        let host = report.host.clone();
        let tasks_before = self.tasks_on(&host);
        let newest = self.apply_report(now, &report, ReportSource::Heartbeat);
        if newest && let Some(machine) = self.machines.get_mut(&host) {
            machine.relayed_by = via;
        }
        let freed = self.tasks_on(&host) < tasks_before;
        let heartbeat = PendingHeartbeat {
            req,
            received_at: now,
            position: (report.session, report.seq),
            has_our_token: report.token >= self.base_token(),
            newest,
        };
        if !self.supersedes_waiting(&host, &heartbeat) {
            return self.answer(req, Answer::later("superseded by a newer report", 1));
        }
        if newest && self.should_hold_answer(now, &host, freed) {
            self.reports_held += 1;
            self.held_heartbeats.insert(host, heartbeat);
        } else {
            self.answer_heartbeat(now, &host, heartbeat);
        }
    }

    fn tasks_on(&self, host: &Host) -> usize {
        let machine = self.machines.get(host);
        machine.map_or(0, |machine| machine.allocations.len())
    }

    /// A worker has one heartbeat in flight, so it has given up on an earlier one still
    /// waiting for its answer. Returns false if a newer one is waiting: then this one
    /// is a duplicate.
    fn supersedes_waiting(&mut self, host: &Host, heartbeat: &PendingHeartbeat) -> bool {
        let waiting = self
            .held_heartbeats
            .get(host)
            .or(self.fenced_heartbeats.get(host));
        if waiting.is_some_and(|waiting| waiting.position >= heartbeat.position) {
            return false;
        }
        let earlier = self.held_heartbeats.remove(host);
        if let Some(earlier) = earlier.or_else(|| self.fenced_heartbeats.remove(host)) {
            self.answer(
                earlier.req,
                Answer::later("superseded by a newer report", 1),
            );
        }
        true
    }

    /// Answers a heartbeat with commands, which renews the worker's lease. Refuses or
    /// delays the answer where the lease must not be renewed now.
    pub(super) fn answer_heartbeat(&mut self, now: Time, host: &Host, heartbeat: PendingHeartbeat) {
        if !self.may_report(now) {
            return self.answer(heartbeat.req, Answer::later("leadership is not proven", 1));
        }
        let Some(machine) = self.machines.get(host) else {
            return self.answer(heartbeat.req, Answer::later("unknown machine", 1));
        };
        let unreachable = machine.unreachable_since.is_some();
        // The lease may be renewed only once no stored fence of the zone remains; a
        // fence record still to be written must not name the zone either.
        let zone = machine.zone.clone();
        self.lower_fence(&zone);
        if self.fences.is_fenced(&zone) {
            return self.wait_for_fence(now, host, heartbeat);
        }
        if unreachable && self.answers_are_timely(now) && self.check_pending_stops(host) {
            // An unreachable worker ends its attempts when its lease expires, so no
            // answer may renew it: cancellations rely on this.
            self.reports_refused += 1;
            return self.answer(
                heartbeat.req,
                Answer::later("machine is unreachable and must end attempts", 1),
            );
        }
        self.fences.note_answer(&zone, now);
        // An older heartbeat was overtaken by the answer to a direct call. Its answer
        // still renews the lease, so it carries all stops.
        let newest = heartbeat.newest;
        let delivery = Delivery::Answer { newest };
        let batch = self.commands_for(now, host, delivery);
        let proof_age = now - self.leadership_confirmed;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        let token = machine.token_for(&batch);
        machine.log_commands(&batch, delivery, proof_age);
        machine.note_answer(now, &heartbeat);
        let answer = ReportResponse {
            token,
            commands: batch.commands,
        };
        let body = serde_json::to_string(&answer).unwrap_or_default();
        self.answer(heartbeat.req, Answer::new(200, body));
    }

    /// The answer waits until the fence of the zone is removed from the record: a
    /// worker that is refused returns only after its lease has expired.
    fn wait_for_fence(&mut self, now: Time, host: &Host, heartbeat: PendingHeartbeat) {
        if now - heartbeat.received_at >= MAX_FENCE_WAIT {
            self.reports_refused += 1;
            return self.answer(
                heartbeat.req,
                Answer::later("zone fence is still being removed", 1),
            );
        }
        self.fenced_heartbeats.insert(host.clone(), heartbeat);
    }

    /// Answers heartbeats that waited for a fence and whose zone is no longer fenced;
    /// refuses those that have waited for too long.
    pub(super) fn answer_fenced_heartbeats(&mut self, now: Time) {
        for (host, heartbeat) in std::mem::take(&mut self.fenced_heartbeats) {
            self.answer_heartbeat(now, &host, heartbeat);
        }
    }

    /// Whether commands for this worker are expected soon: holding the answer for them
    /// saves a direct call and further heartbeats.
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

    /// Answers held heartbeats that need not or may not wait any longer; `passed`: a
    /// placement pass has just ended.
    pub(super) fn answer_held_heartbeats(&mut self, now: Time, passed: bool) {
        let hold = self.config.heartbeat_hold;
        let unsent = &self.machines_with_unsent_runs;
        let due = |(host, heartbeat): (&Host, &PendingHeartbeat)| {
            let idle = passed && !unsent.contains(host);
            (idle || now - heartbeat.received_at >= hold).then(|| host.clone())
        };
        let hosts: Vec<Host> = self.held_heartbeats.iter().filter_map(due).collect();
        for host in hosts {
            if let Some(heartbeat) = self.held_heartbeats.remove(&host) {
                self.answer_heartbeat(now, &host, heartbeat);
            }
        }
    }

    /// When the next held heartbeat must be answered.
    pub(super) fn next_held_deadline(&self) -> Option<Time> {
        let first = self
            .held_heartbeats
            .values()
            .map(|heartbeat| heartbeat.received_at)
            .min();
        first.map(|since| since + self.config.heartbeat_hold)
    }
}

impl Machine {
    /// Records a 200 answer to a heartbeat, which renews the worker's lease.
    fn note_answer(&mut self, now: Time, heartbeat: &PendingHeartbeat) {
        // Until the worker has received our token, an earlier leader may renew its
        // lease, too.
        self.last_renewal = if heartbeat.has_our_token {
            now
        } else {
            self.last_renewal.max(now)
        };
        if heartbeat.newest {
            self.last_answer = Some(SentAnswer {
                at: now,
                seq: self.seq,
                token: self.token,
            });
        }
    }
}
