//! What controllers decide comes into effect, and what becomes of it comes back.

use super::{Ev, World};
use hookworks::ids::*;
use hookworks::sched::{DirectResult, Effect, Event};
use hookworks::store::TxnOutcome;
use hookworks::store::commit::Step;
use hookworks::wire::worker::ReportResponse;
use rand::RngExt;

impl World {
    pub(super) fn flush(&mut self, i: usize) {
        let now = self.time();
        let mut out = vec![];
        if let Some(t) = &mut self.ctls[i].term {
            while let Some((id, txn)) = t.commit.next_txn(now, &mut t.sched) {
                out.push((t.epoch, id, txn));
            }
        }
        for (epoch, id, txn) in out {
            let mut d = self.delay();
            // Drawn only where it may happen: other stories go on as they were.
            if self.chaos.late_txn > 0.0 && self.rng.random_bool(self.chaos.late_txn) {
                d = self.rng.random_range(2.0..12.0);
            }
            self.transactions += 1;
            if let Some((_, by)) = self.late_one.filter(|l| l.0 == self.transactions) {
                d = by;
            }
            if let Some(lags) = self.slow_write() {
                d = lags;
            }
            self.note_sent(i, epoch, id);
            if let Some(after) = self.gives_up(d, 1.0) {
                // Given up by the sender, carried out later all the same.
                self.at(after, Ev::TxnDone(i, epoch, id, TxnOutcome::Unknown));
            }
            self.at(d, Ev::Txn(i, epoch, id, txn));
        }
    }

    pub(super) fn effect(&mut self, i: usize, epoch: Epoch, f: Effect) {
        self.effect_log.add(self.now, i, epoch, &f);
        let d = self.delay();
        match f {
            Effect::Answer(req, a) => {
                if self.answers_question(i, req, &a) {
                    return;
                }
                if let Some(ask) = self.asks.remove(&req) {
                    self.note_hold(req, &ask, &a);
                    self.heard(ask, a);
                } else if let Some((host, sent)) = self.beats.remove(&req)
                    && !self.rng.random_bool(self.chaos.lose_answer)
                {
                    if let Ok(a) = serde_json::from_str::<ReportResponse>(&a.body) {
                        self.check_held(&a.commands);
                        self.commands_leave(&host, &a.commands);
                    }
                    self.at(d, Ev::ToWorker(host, sent, a, i));
                }
            }
            Effect::ReadFinal(id) => self.at(d, Ev::Final(i, epoch, id)),
            Effect::ReadRecord(req, id) => self.at(d, Ev::Record(i, epoch, req, id)),
            Effect::Orders {
                call, host, orders, ..
            } => {
                self.check_held(&orders.commands);
                self.commands_leave(&host, &orders.commands);
                if let Some(after) = self.gives_up(d, 2.5) {
                    let e = Ev::Direct(i, epoch, call, host.clone(), DirectResult::Unclear);
                    self.at(after, e);
                }
                self.at(d, Ev::Orders(i, epoch, call, host, orders));
            }
            Effect::Rent(h) => {
                let d = self.cloud_delay();
                self.at(d, Ev::Hire(i, epoch, h));
            }
            Effect::Release(h) => {
                let d = self.cloud_delay();
                self.at(d, Ev::Release(i, epoch, h));
            }
        }
    }

    pub(super) fn steps_down(&mut self, i: usize) {
        self.ctls[i].term = None;
        self.ctls[i].sees = None;
    }

    pub(super) fn leads(&self, i: usize, epoch: Epoch) -> bool {
        self.ctls[i].up && self.ctls[i].term.as_ref().is_some_and(|t| t.epoch == epoch)
    }

    pub(super) fn in_term(&mut self, i: usize, epoch: Epoch, e: Event) {
        if self.leads(i, epoch) {
            self.event(i, e);
        }
    }

    pub(super) fn after(&mut self, i: usize, epoch: Epoch, events: Vec<Event>, steps: Vec<Step>) {
        for e in events {
            self.in_term(i, epoch, e);
        }
        for s in steps {
            match s {
                Step::Read(k) => self.at(0.003, Ev::Read(i, epoch, k)),
                Step::Deposed => self.steps_down(i),
            }
        }
        self.flush(i);
    }
}
