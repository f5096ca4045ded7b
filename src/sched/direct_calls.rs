//! Direct calls: commands that go straight to a worker, not to lose the time until its
//! next heartbeat, and what their answers prove.

use super::job::{ActiveAttempt, Phase};
use super::machine::{Machine, MachineState};
use super::report_reconciliation::{Delivery, ReportSource};
use super::{DirectResult, Effect, Scheduler};
use crate::ids::{CallId, Host, JobId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::{Order, Orders};

/// After a refused or unanswered direct call, none follows for so long: the next
/// heartbeat has to do.
const FAILED_CALL_BACKOFF: Span = Span(4_000_000);
/// Only a worker that was heard within so many heartbeat intervals is called.
const MAX_INTERVALS_SINCE_HEARD: f64 = 1.5;

/// The attempt is stored or about to be, and no command has left for it.
fn awaits_command(live: &ActiveAttempt) -> bool {
    live.phase == Phase::Placed && !live.run_sent
}

impl Scheduler {
    /// Sends what waits for this worker, with the answer that is held for it or by a
    /// direct call.
    pub(super) fn send_commands(&mut self, now: Time, host: &Host) {
        if let Some(beat) = self.held_heartbeats.remove(host) {
            return self.answer_heartbeat(now, host, beat);
        }
        let Some(addr) = self.callable_address(now, host) else {
            return;
        };
        if !self.may_start(now) {
            return;
        }
        let orders = self.orders_for(now, host, Delivery::DirectCall);
        let is_urgent = |order: &Order| !matches!(order, Order::Clear { .. });
        if !orders.iter().any(is_urgent) {
            return;
        }
        let call = self.next_call_id();
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.direct_call = Some(call);
        let orders = Orders {
            token: machine.token,
            session: machine.session,
            orders,
        };
        self.effects.push(Effect::Orders {
            call,
            host: host.clone(),
            addr,
            orders,
        });
    }

    /// Where the worker listens, if a direct call to it may be made now.
    fn callable_address(&self, now: Time, host: &Host) -> Option<String> {
        let machine = self.machines.get(host)?;
        let fresh = Span::secs(self.config.workers.report_s * MAX_INTERVALS_SINCE_HEARD);
        let callable = machine.has_reported
            && machine.state == MachineState::Up
            && machine.direct_call.is_none()
            && machine.unconfirmed_token.is_none()
            // Calls to a zone that is cut off hold up those to others.
            && !self.zone_monitor.is_silent(&machine.zone)
            && now >= machine.no_direct_call_until
            && now - machine.last_contact < fresh;
        machine.addr.clone().filter(|_| callable)
    }

    pub(super) fn next_call_id(&mut self) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        call
    }

    /// A call under way may start what is to end. Answers to heartbeats tell that, and
    /// renew the lease; one that overtakes the call tells a worker to end what it does
    /// not have yet, and the call would start it under the renewed lease. So they carry
    /// a token from now on that puts the call out of force.
    pub(super) fn invalidate_call(&mut self, host: &Host) {
        let token = self.next_token();
        if let Some(machine) = self.machines.get_mut(host)
            && machine.direct_call.is_some()
        {
            machine.token = token;
        }
    }

    /// Something of this job is stored: commands that waited for that may leave.
    pub(super) fn note_job_stored(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for live in job.active.values().filter(|live| awaits_command(live)) {
            self.machines_to_push.insert(live.host.clone());
        }
    }

    /// Sends what has become ready during this event.
    pub(super) fn send_ready_commands(&mut self, now: Time) {
        for host in std::mem::take(&mut self.machines_to_push) {
            self.send_commands(now, &host);
        }
    }

    /// Tries all machines again for which commands wait.
    pub(super) fn retry_unsent_commands(&mut self, now: Time) {
        for host in std::mem::take(&mut self.machines_with_unsent_runs) {
            if self.any_awaits_command(&host) {
                self.send_commands(now, &host);
                self.machines_with_unsent_runs.insert(host);
            }
        }
    }

    fn any_awaits_command(&self, host: &Host) -> bool {
        let Some(machine) = self.machines.get(host) else {
            return false;
        };
        machine.allocations.keys().any(|task| {
            let job = self.jobs.get(&task.job);
            let live = job.and_then(|job| job.active.get(&task.ix));
            live.is_some_and(awaits_command)
        })
    }

    /// A direct call has ended.
    pub(super) fn handle_call_result(
        &mut self,
        now: Time,
        call: CallId,
        host: Host,
        result: DirectResult,
    ) {
        let token = self.next_token();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        if machine.direct_call != Some(call) {
            return;
        }
        machine.direct_call = None;
        self.apply_call_result(now, &host, token, result);
        self.probe_finished(now, call);
    }

    /// `token`: a new one, for a worker that may still carry the call out.
    fn apply_call_result(&mut self, now: Time, host: &Host, token: Token, result: DirectResult) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        match result {
            DirectResult::Done(report) => {
                self.apply_report(now, &report, ReportSource::DirectCall);
                self.send_commands(now, host);
            }
            DirectResult::Conflict(report) => {
                // A probe of a machine that had not reported yet ends so, too.
                if machine.has_reported {
                    machine.no_direct_call_until = now + FAILED_CALL_BACKOFF;
                }
                self.apply_report(now, &report, ReportSource::DirectCall);
            }
            DirectResult::Unsent => {}
            DirectResult::Refused => {
                machine.no_direct_call_until = now + FAILED_CALL_BACKOFF;
                let zone = machine.zone.clone();
                self.zone_monitor.note_failed_call(&zone);
            }
            DirectResult::Unclear => {
                // It may be carried out minutes from now, unless the worker has
                // heard a higher token by then.
                machine.no_direct_call_until = now + FAILED_CALL_BACKOFF;
                machine.await_confirmation(token);
                let zone = machine.zone.clone();
                self.zone_monitor.note_failed_call(&zone);
            }
        }
    }
}

impl Machine {
    /// What was sent may be carried out until the worker has confirmed this token.
    pub(super) fn await_confirmation(&mut self, token: Token) {
        self.token = token;
        self.unconfirmed_token = Some(token);
    }
}
