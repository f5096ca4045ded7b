//! Answers to workers' reports: who is entitled to one, and when it leaves.

use super::Sched;
use super::machine::{Life, Machine, Told};
use super::report::By;
use crate::ids::{Host, Label, ReqId, Seq, Session};
use crate::time::{Span, Time};
use crate::wire::peer::Answer;
use crate::wire::worker::{Report, ReportAnswer};

/// An answer waits no longer for its zone to be taken back on record.
const AT_FENCE: Span = Span(1_000_000);

/// A report that is being answered.
pub(super) struct Beat {
    req: ReqId,
    since: Time,
    order: (Session, Seq),
    ours: bool,
    /// The newest of its worker, which may be told what to do.
    newest: bool,
}

impl Sched {
    pub(super) fn beat(&mut self, now: Time, req: ReqId, body: &[u8], via: Option<Label>) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => return self.answer(req, Answer::error(400, &e.to_string())),
        };
        if !self.may_report(now) || self.fleet.is_gone(&report.host) {
            self.reports_refused += 1;
            return self.answer(req, Answer::later("not entitled to answer", 1));
        }
        if report.token.0 >= self.epoch.base() + (1 << 24) {
            // A later leader has spoken to it.
            return self.answer(req, Answer::error(503, "a later leader has spoken"));
        }
        let host = report.host.clone();
        let base = self.base_token();
        let slots = |s: &Sched| s.machines.get(&host).map_or(0, |m| m.slots.len());
        let before = slots(self);
        let newer = self.take_report(now, &report, true);
        if newer && let Some(m) = self.machines.get_mut(&host) {
            m.via = via;
        }
        let freed = slots(self) < before;
        let order = (report.session, report.seq);
        let waiting = self.held.get(&host).or(self.at_fence.get(&host));
        if waiting.is_some_and(|b| b.order >= order) {
            // A copy: the worker waits for the answer to the newer one.
            return self.answer(req, Answer::later("a newer report is here", 1));
        }
        // A worker has one report in flight, so it has given that one up.
        let earlier = self.held.remove(&host);
        if let Some(h) = earlier.or_else(|| self.at_fence.remove(&host)) {
            self.answer(h.req, Answer::later("a newer report is here", 1));
        }
        let beat = Beat {
            req,
            since: now,
            order,
            // Only a worker that has heard our token drops the answers of an
            // earlier leader; until then its lease may be renewed there.
            ours: report.token >= base,
            newest: newer,
        };
        if newer && self.worth_holding(now, &host, freed) {
            self.reports_held += 1;
            self.held.insert(host, beat);
        } else {
            self.answer_beat(now, &host, beat);
        }
    }

    pub(super) fn answer_beat(&mut self, now: Time, host: &Host, b: Beat) {
        if !self.may_report(now) {
            return self.answer(b.req, Answer::later("not entitled to answer", 1));
        }
        let Some(m) = self.machines.get_mut(host) else {
            return self.answer(b.req, Answer::later("unknown machine", 1));
        };
        // Its lease may go on only once the record no longer says otherwise: also
        // a record that has not left yet must not say so later.
        let zone = m.zone.clone();
        self.lower_fence(&zone);
        if self.fences.closed(&zone) {
            return self.hold_at_fence(now, host, b);
        }
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        if m.deaf_since.is_some() && self.keeps_up(now) && self.ends_something(host) {
            // What does not hear ends what it has with its lease, which no answer
            // of ours may renew: a cancellation holds by that.
            self.reports_refused += 1;
            return self.answer(b.req, Answer::later("it does not hear", 1));
        }
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.answered = if b.ours { now } else { m.answered.max(now) };
        let token = m.token;
        if b.newest {
            let (at, seq) = (now, m.seq);
            m.told = Some(Told { at, seq, token });
        }
        self.fences.note_answer(&m.zone, now);
        // An older one was passed by the answer to a call; it renews the lease all the
        // same, so it tells what is to end.
        let orders = self.orders_for(now, host, By::Answer { newest: b.newest });
        let a = ReportAnswer { token, orders };
        let body = serde_json::to_string(&a).unwrap_or_default();
        self.answer(b.req, Answer::new(200, body));
    }

    /// The answer waits until it is on record that the zone is answered again:
    /// sent away, workers came back just after their leases had run out.
    fn hold_at_fence(&mut self, now: Time, host: &Host, b: Beat) {
        if now - b.since >= AT_FENCE {
            self.reports_refused += 1;
            return self.answer(b.req, Answer::later("its zone is being taken back", 1));
        }
        self.at_fence.insert(host.clone(), b);
    }

    /// Answers that waited at a fence: those whose zone is open, and those that
    /// have waited for too long.
    pub(super) fn answer_at_fence(&mut self, now: Time) {
        for (h, b) in std::mem::take(&mut self.at_fence) {
            self.answer_beat(now, &h, b);
        }
    }

    /// What the worker is to do next will be known in a moment: its answer can
    /// wait for that, which saves a direct call and further reports.
    fn worth_holding(&self, now: Time, host: &Host, freed: bool) -> bool {
        if self.cfg.hold == Span::ZERO || !self.may_start(now) {
            return false;
        }
        let able = |m: &Machine| m.life == Life::Up && m.direct.is_none();
        let waits = self.unsent.contains(host) || freed && !self.fleet.short.is_empty();
        waits && self.machines.get(host).is_some_and(able)
    }

    /// Answers to reports that need not, or may not, wait any longer.
    pub(super) fn answer_held(&mut self, now: Time, passed: bool) {
        let hold = self.cfg.hold;
        let unsent = &self.unsent;
        let over = |(h, b): (&Host, &Beat)| {
            let idle = passed && !unsent.contains(h);
            (idle || now - b.since >= hold).then(|| h.clone())
        };
        let hosts: Vec<Host> = self.held.iter().filter_map(over).collect();
        for h in hosts {
            if let Some(b) = self.held.remove(&h) {
                self.answer_beat(now, &h, b);
            }
        }
    }

    /// When the next held answer is due.
    pub(super) fn held_until(&self) -> Option<Time> {
        let first = self.held.values().map(|b| b.since).min();
        first.map(|t| t + self.cfg.hold)
    }
}
