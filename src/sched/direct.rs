//! Direct calls: commands that go straight to a worker, not to lose the time until its
//! next heartbeat, and what their answers prove.

use super::job::{Live, Phase};
use super::machine::{Life, Machine};
use super::report::{Delivery, ReportSource};
use super::{DirectResult, Effect, Sched};
use crate::ids::{CallId, Host, JobId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::{Command, Commands};

/// After a refused or unanswered direct call, none follows for so long: the next
/// heartbeat has to do.
const FAILED_CALL_BACKOFF: Span = Span(4_000_000);
/// Only a worker that was heard within so many heartbeat intervals is called.
const MAX_INTERVALS_SINCE_HEARD: f64 = 1.5;

/// The attempt is stored or about to be, and no command has left for it.
fn awaits_command(live: &Live) -> bool {
    live.phase == Phase::Placed && !live.sent
}

impl Sched {
    /// Sends what waits for this worker, with the answer that is held for it or by a
    /// direct call.
    pub(super) fn push(&mut self, now: Time, host: &Host) {
        if let Some(beat) = self.held.remove(host) {
            return self.answer_beat(now, host, beat);
        }
        let Some(addr) = self.callable_address(now, host) else {
            return;
        };
        if !self.may_start(now) {
            return;
        }
        let orders = self.orders_for(now, host, Delivery::DirectCall);
        let is_urgent = |order: &Command| !matches!(order, Command::Clear { .. });
        if !orders.iter().any(is_urgent) {
            return;
        }
        let call = self.next_call_id();
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.direct = Some(call);
        let orders = Commands {
            token: machine.token,
            session: machine.session,
            commands: orders,
        };
        self.out.push(Effect::Orders {
            call,
            host: host.clone(),
            addr,
            orders,
        });
    }

    /// Where the worker listens, if a direct call to it may be made now.
    fn callable_address(&self, now: Time, host: &Host) -> Option<String> {
        let machine = self.machines.get(host)?;
        let fresh = Span::secs(self.cfg.workers.report_s * MAX_INTERVALS_SINCE_HEARD);
        let callable = machine.reported
            && machine.life == Life::Up
            && machine.direct.is_none()
            && machine.doubt.is_none()
            // Calls to a zone that is cut off hold up those to others.
            && !self.watch.silent(&machine.zone)
            && now >= machine.no_push_until
            && now - machine.reached < fresh;
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
    pub(super) fn outdate_call(&mut self, host: &Host) {
        let token = self.next_token();
        if let Some(machine) = self.machines.get_mut(host)
            && machine.direct.is_some()
        {
            machine.token = token;
        }
    }

    /// Something of this job is stored: commands that waited for that may leave.
    pub(super) fn note_ready(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for live in job.live.values().filter(|live| awaits_command(live)) {
            self.ready.insert(live.host.clone());
        }
    }

    /// Sends what has become ready during this event.
    pub(super) fn push_ready(&mut self, now: Time) {
        for host in std::mem::take(&mut self.ready) {
            self.push(now, &host);
        }
    }

    /// Tries all machines again for which commands wait.
    pub(super) fn push_all(&mut self, now: Time) {
        for host in std::mem::take(&mut self.unsent) {
            if self.any_awaits_command(&host) {
                self.push(now, &host);
                self.unsent.insert(host);
            }
        }
    }

    fn any_awaits_command(&self, host: &Host) -> bool {
        let Some(machine) = self.machines.get(host) else {
            return false;
        };
        machine.slots.keys().any(|task| {
            let job = self.jobs.get(&task.job);
            let live = job.and_then(|job| job.live.get(&task.index));
            live.is_some_and(awaits_command)
        })
    }

    /// A direct call has ended.
    pub(super) fn direct_result(
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
        if machine.direct != Some(call) {
            return;
        }
        machine.direct = None;
        self.take_call_result(now, &host, token, result);
        self.probed(now, call);
    }

    /// `token`: a new one, for a worker that may still carry the call out.
    fn take_call_result(&mut self, now: Time, host: &Host, token: Token, result: DirectResult) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        match result {
            DirectResult::Done(report) => {
                self.take_report(now, &report, ReportSource::DirectCall);
                self.push(now, host);
            }
            DirectResult::Conflict(report) => {
                // A probe of a machine that had not reported yet ends so, too.
                if machine.reported {
                    machine.no_push_until = now + FAILED_CALL_BACKOFF;
                }
                self.take_report(now, &report, ReportSource::DirectCall);
            }
            DirectResult::Unsent => {}
            DirectResult::Refused => {
                machine.no_push_until = now + FAILED_CALL_BACKOFF;
                let zone = machine.zone.clone();
                self.watch.unanswered(&zone);
            }
            DirectResult::Unclear => {
                // It may be carried out minutes from now, unless the worker has
                // heard a higher token by then.
                machine.no_push_until = now + FAILED_CALL_BACKOFF;
                machine.doubt_until(token);
                let zone = machine.zone.clone();
                self.watch.unanswered(&zone);
            }
        }
    }
}

impl Machine {
    /// What was sent may be carried out until the worker has confirmed this token.
    pub(super) fn doubt_until(&mut self, token: Token) {
        self.token = token;
        self.doubt = Some(token);
    }
}
