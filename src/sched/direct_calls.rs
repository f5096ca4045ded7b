//! Direct calls: commands sent to a worker without waiting for its next heartbeat, and
//! the handling of their results.

use super::job::{ActiveAttempt, Phase};
use super::machine::MachineState;
use super::report_reconciliation::ReportSource;
use super::worker_commands::Delivery;
use super::{DirectResult, Effect, Scheduler};
use crate::ids::{CallId, Host, JobId};
use crate::time::{Span, Time};
use crate::wire::worker::Commands;

/// Backoff after a refused or unanswered direct call; until then commands go with
/// heartbeat answers.
const FAILED_CALL_BACKOFF: Span = Span(4_000_000);
/// Only a worker that sent something within this many heartbeat intervals is called.
const MAX_INTERVALS_SINCE_HEARD: f64 = 1.5;

/// Whether the attempt is placed and its start has not been sent yet.
fn awaits_command(active: &ActiveAttempt) -> bool {
    active.phase == Phase::Placed && !active.run_sent
}

impl Scheduler {
    /// Sends pending commands to this worker, with its held heartbeat answer or by a
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
        let batch = self.commands_for(now, host, Delivery::DirectCall);
        if !batch.is_urgent() {
            return;
        }
        let call = self.next_call_id();
        let proof_age = now - self.leadership_confirmed;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        let token = machine.token_for(&batch);
        machine.log_commands(&batch, Delivery::DirectCall, proof_age);
        machine.direct_call = Some(call);
        let orders = Commands {
            token,
            session: machine.session,
            commands: batch.commands,
        };
        self.effects.push(Effect::Orders {
            call,
            host: host.clone(),
            addr,
            orders,
        });
    }

    /// The worker's address, if a direct call to it may be made now.
    fn callable_address(&self, now: Time, host: &Host) -> Option<String> {
        let machine = self.machines.get(host)?;
        let fresh = Span::secs(self.config.workers.report_s * MAX_INTERVALS_SINCE_HEARD);
        let callable = machine.has_reported
            && machine.state == MachineState::Up
            && machine.direct_call.is_none()
            && machine.unconfirmed_token.is_none()
            // Calls to an unreachable zone would delay calls to other zones.
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

    /// Invalidates a direct call in flight that may start an attempt to be stopped. An
    /// answer to a heartbeat that overtakes the call would stop an attempt that the
    /// worker does not have yet and renew the lease; the call would then start it. So
    /// commands carry a new fencing token from now on, which makes the worker reject
    /// the call.
    pub(super) fn invalidate_call(&mut self, host: &Host) {
        if let Some(machine) = self.machines.get_mut(host)
            && machine.direct_call.is_some()
        {
            machine.raise_token();
        }
    }

    /// A write of this job is stored: commands that waited for it may be sent.
    pub(super) fn note_job_stored(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for active in job.active.values().filter(|active| awaits_command(active)) {
            self.machines_to_push.insert(active.host.clone());
        }
    }

    /// Sends commands that became ready during this event.
    pub(super) fn send_ready_commands(&mut self, now: Time) {
        for host in std::mem::take(&mut self.machines_to_push) {
            self.send_commands(now, &host);
        }
    }

    /// Retries all machines with unsent commands.
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
            let active = job.and_then(|job| job.active.get(&task.index));
            active.is_some_and(awaits_command)
        })
    }

    /// Handles the end of a direct call.
    pub(super) fn handle_call_result(
        &mut self,
        now: Time,
        call: CallId,
        host: Host,
        result: DirectResult,
    ) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        if machine.direct_call != Some(call) {
            return;
        }
        machine.direct_call = None;
        self.apply_call_result(now, &host, result);
        self.probe_finished(now, call);
    }

    fn apply_call_result(&mut self, now: Time, host: &Host, result: DirectResult) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        match result {
            DirectResult::Done(report) => {
                self.apply_report(now, &report, ReportSource::DirectCall);
                self.send_commands(now, host);
            }
            DirectResult::Conflict(report) => {
                // A probe of a machine that has not reported yet also ends this way.
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
                // The call may be executed minutes from now, unless the worker receives
                // a higher token before.
                machine.no_direct_call_until = now + FAILED_CALL_BACKOFF;
                machine.await_confirmation();
                let zone = machine.zone.clone();
                self.zone_monitor.note_failed_call(&zone);
            }
        }
    }
}
