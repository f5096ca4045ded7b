//! Commands that go straight to a worker, not to lose the time until its next
//! report, and what their answers prove.

use super::job::Phase;
use super::machine::{Life, Machine};
use super::report::By;
use super::{DirectResult, Effect, Sched};
use crate::ids::{CallId, Host, JobId, Token};
use crate::time::{Span, Time};
use crate::wire::worker::{Order, Orders};

/// After a refused or unanswered direct call, the next report has to do.
const PUSH_REST: Span = Span(4_000_000);

impl Sched {
    /// Sends what waits for this worker straight to it, not to lose the time
    /// until its next report.
    pub(super) fn push(&mut self, now: Time, host: &Host) {
        if let Some(b) = self.held.remove(host) {
            return self.answer_beat(now, host, b);
        }
        let Some(m) = self.machines.get(host) else {
            return;
        };
        let fresh = Span::secs(self.cfg.workers.report_s * 1.5);
        let ready = m.reported
            && m.life == Life::Up
            && m.direct.is_none()
            && m.doubt.is_none()
            // Calls to a zone that is cut off hold up those to others.
            && !self.watch.silent(&m.zone)
            && now >= m.no_push_until
            && now - m.reached < fresh;
        let Some(addr) = m.addr.clone().filter(|_| ready) else {
            return;
        };
        if !self.may_start(now) {
            return;
        }
        let orders = self.orders_for(now, host, By::Call);
        let worth = |o: &Order| !matches!(o, Order::Clear { .. });
        if !orders.iter().any(worth) {
            return;
        }
        let call = CallId(self.next_call);
        self.next_call += 1;
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.direct = Some(call);
        let orders = Orders {
            token: m.token,
            session: m.session,
            orders,
        };
        self.out.push(Effect::Orders {
            call,
            host: host.clone(),
            addr,
            orders,
        });
    }

    /// A call under way may start what is to end. Answers to reports tell that, and
    /// renew the lease; one that overtakes the call tells a worker to end what it does
    /// not have yet, and the call would start it under the renewed lease. So they carry
    /// a token from now on that puts the call out of force.
    pub(super) fn outdate_call(&mut self, host: &Host) {
        let fresh = self.next_token();
        let under_way = |m: &&mut Machine| m.direct.is_some();
        if let Some(m) = self.machines.get_mut(host).filter(under_way) {
            m.token = fresh;
        }
    }

    /// Something of this job is stored: what waited for that may leave.
    pub(super) fn note_ready(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let waits = |l: &&super::job::Live| l.phase == Phase::Placed && !l.sent;
        for l in j.live.values().filter(waits) {
            self.ready.insert(l.host.clone());
        }
    }

    pub(super) fn push_ready(&mut self, now: Time) {
        for h in std::mem::take(&mut self.ready) {
            self.push(now, &h);
        }
    }

    pub(super) fn push_all(&mut self, now: Time) {
        for h in std::mem::take(&mut self.unsent) {
            let waits = |m: &Machine| {
                m.slots.keys().any(|t| {
                    let live = self.jobs.get(&t.job).and_then(|j| j.live.get(&t.ix));
                    live.is_some_and(|l| l.phase == Phase::Placed && !l.sent)
                })
            };
            if self.machines.get(&h).is_some_and(waits) {
                self.push(now, &h);
                self.unsent.insert(h);
            }
        }
    }

    pub(super) fn direct_result(&mut self, now: Time, call: CallId, host: Host, r: DirectResult) {
        let fresh = self.next_token();
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        if m.direct != Some(call) {
            return;
        }
        m.direct = None;
        self.direct_answer(now, &host, fresh, r);
        self.probed(now, call);
    }

    fn direct_answer(&mut self, now: Time, host: &Host, fresh: Token, r: DirectResult) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        match r {
            DirectResult::Done(report) => {
                self.take_report(now, &report, false);
                self.push(now, host);
            }
            DirectResult::Conflict(report) => {
                // A probe of a machine that had not reported yet ends so, too.
                if m.reported {
                    m.no_push_until = now + PUSH_REST;
                }
                self.take_report(now, &report, false);
            }
            DirectResult::Unsent => {}
            DirectResult::Refused => {
                m.no_push_until = now + PUSH_REST;
                let zone = m.zone.clone();
                self.watch.unanswered(&zone);
            }
            DirectResult::Unclear => {
                // It may be carried out minutes from now, unless the worker has
                // heard a higher token by then.
                m.no_push_until = now + PUSH_REST;
                m.token = fresh;
                m.doubt = Some(fresh);
                let zone = m.zone.clone();
                self.watch.unanswered(&zone);
            }
        }
    }
}
