//! What each event does: who gets it, and what follows from that.

use super::worker::Worker;
use super::{Ev, S, World};
use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{DirectResult, Event};
use hookworks::store::{TxnOutcome, final_key};
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::state::{Item, Txn};
use hookworks::wire::worker::{Commands, ReportResponse};
use hookworks_job_lifecycle::HoldKind;
use rand::RngExt;

impl World {
    pub(super) fn take(&mut self, e: Ev) {
        let arrives = self.awake(e).and_then(|e| self.passes(e));
        let Some(e) = arrives.and_then(|e| self.machine_takes(e)) else {
            return;
        };
        match e {
            Ev::Elect(i) => self.elect(i),
            Ev::ElectOnce(i) => self.stand(i),
            Ev::Tick(i) => self.tick(i),
            Ev::Wake(i) => self.wake(i),
            Ev::List(i) => {
                self.list_to(i);
                self.at(5.0, Ev::List(i));
            }
            Ev::ListOnce(i) => self.list_to(i),
            Ev::Beat(h) => self.beat(h),
            Ev::ToCtl(i, host, sent, body) => self.report_arrives(i, host, sent, body),
            Ev::ToWorker(h, sent, a, _) => self.answer_arrives(h, sent, a),
            Ev::Orders(i, epoch, call, h, orders) => self.orders_arrive(i, epoch, call, h, orders),
            Ev::RepeatedTxn(i, txn) => self.repeated_txn_arrives(i, &txn),
            Ev::RepeatedCall(h, commands) => self.repeated_call_arrives(h, commands),
            Ev::Direct(i, epoch, call, h, r) => self.in_term(i, epoch, Event::Direct(call, h, r)),
            Ev::Txn(i, epoch, id, txn) => self.transaction_arrives(i, epoch, id, txn),
            Ev::TxnDone(i, epoch, id, o) => self.transaction_done(i, epoch, id, o),
            Ev::Read(i, epoch, key) => match self.store.of(i).read(&key) {
                Ok(item) => self.at(0.003, Ev::ReadDone(i, epoch, key, item)),
                Err(_) => self.at(0.3, Ev::Read(i, epoch, key)),
            },
            Ev::ReadDone(i, epoch, key, item) => self.read_done(i, epoch, key, item),
            Ev::Final(i, epoch, id) => self.read_final(i, epoch, id),
            Ev::Record(i, epoch, req, id) => self.read_record(i, epoch, req, id),
            Ev::Hire(i, epoch, h) => self.hire(i, epoch, h),
            Ev::Release(i, epoch, hosts) => self.release(i, epoch, hosts),
            Ev::CloudDone(i, epoch, e) => self.in_term(i, epoch, *e),
            Ev::User(ask) => self.user(ask),
            Ev::Kill(i) => self.end_process(i),
            Ev::Restart(i) => self.begin_process(i),
            Ev::Cut(h, cut) => self.cut(&h, cut),
            Ev::CutZone(z, cut) => {
                for h in self.machines_in(z.as_str()) {
                    self.cut(&h, cut);
                }
            }
            Ev::Hang(h, hangs) => self.hang(h, hangs),
            Ev::Mute(h, on) => self.change_worker(&h, |w| w.mute = on),
            Ev::KeepReports(share) => self.keep_reports(share),
            Ev::CancelNow(jobs, hang_s) => self.cancel_now(jobs, hang_s),
            Ev::Sick(h, sick) => self.change_worker(&h, |w| w.sick = sick),
            Ev::UserVia(i, ask) => self.ask_via(i, ask),
            Ev::Question(i, q, leg) => self.question(i, q, leg),
            Ev::LostElection => self.store.lose_next_answer(),
            Ev::StoreDown(d) => self.store.down(d),
            Ev::Preempt(h) => {
                self.workers.remove(&h);
            }
            Ev::Deaf(h, deaf) => self.change_worker(&h, |w| w.deaf = deaf),
            Ev::Reborn(h) => self.begin_machine_anew(h),
            Ev::Copy(i, body) => self.copy_arrives(i, body),
            Ev::Freeze(i, s) => self.ctls[i].frozen_until = self.now + (s * 1e6) as u64,
            Ev::Lonely(i, lonely) => self.ctls[i].lonely = lonely,
            Ev::Refuse(i, refused) => self.store.refuse(i, refused),
            Ev::Home(h, i) => self.change_worker(&h, |w| w.home = i),
            Ev::NoCalls(h, on) => self.change_worker(&h, |w| w.no_calls = on),
            Ev::StepDown(i) => self.steps_down(i),
            Ev::Chances(c) => self.chaos = c,
            Ev::OddRequests(until) => self.odd_requests(until),
            Ev::HandOver(a) => self.act(a),
            Ev::Pipeline(n) => self.pipeline(n),
            Ev::StateLimits(limits) => self.store.set_limits(limits),
            Ev::Versions(a) => self.version_act(a),
            Ev::LateElection(i, by_s) => self.store.of(i).delay_next((by_s * 1e6) as u64),
        }
    }

    fn tick(&mut self, i: usize) {
        if self.ctls[i].up {
            let away = self.out_of_reach(i);
            let wall = self.wall();
            self.event(i, Event::Unreachable(away));
            self.event(i, Event::Tick(wall));
            self.audit(i);
            self.check_places_wait(i);
            self.check_readable();
        }
        self.at(0.25, Ev::Tick(i));
    }

    /// What a leader holds of its jobs agrees with itself.
    fn audit(&mut self, i: usize) {
        let Some(t) = &self.ctls[i].term else { return };
        let held = |j: &&Job| j.holds.get(HoldKind::System).is_some();
        let held = t.sched.jobs.values().filter(held);
        self.limited.extend(held.map(|j| j.id().clone()));
        let wrong = t.sched.check_totals();
        self.broken.extend(wrong);
    }

    fn wake(&mut self, i: usize) {
        self.ctls[i].wakes = false;
        if self.ctls[i].up {
            self.event(i, Event::Wake);
        }
    }

    fn report_arrives(&mut self, i: usize, host: Host, sent: u64, body: Vec<u8>) {
        if self.ctls[i].up && self.ctls[i].term.is_some() {
            let req = RequestId(self.next_req);
            self.next_req += 1;
            self.beats.insert(req, (host, sent));
            self.event(i, Event::Ask(req, Request::Report(body)));
        }
    }

    /// The answer to a report reaches its worker, or is dropped there.
    fn answer_arrives(&mut self, h: Host, sent: u64, a: Answer) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&h) else {
            return;
        };
        // Dropped once the worker has given up on that report.
        let waits = w.sent_at == sent && now - sent < 4 * S;
        if a.status == 200 && waits && !(w.cut || w.deaf) {
            let a: ReportResponse = serde_json::from_str(&a.body).unwrap();
            if w.answered(now, sent, a, &self.specs, self.run_s) {
                self.at(0.5, Ev::Beat(h));
            }
        }
    }

    fn orders_arrive(&mut self, i: usize, epoch: Epoch, call: CallId, h: Host, orders: Commands) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&h) else {
            return;
        };
        if !w.up {
            let r = DirectResult::Refused;
            return self.at(0.002, Ev::Direct(i, epoch, call, h, r));
        }
        if w.deaf || w.no_calls {
            let r = DirectResult::Unclear;
            return self.at(1.0, Ev::Direct(i, epoch, call, h, r));
        }
        let r = match w.direct(now, orders.clone(), &self.specs, self.run_s) {
            Ok(r) => DirectResult::Done(r),
            Err(r) => DirectResult::Conflict(r),
        };
        if matches!(r, DirectResult::Done(_)) {
            self.maybe_repeat_call(&h, &orders);
        }
        let d = self.delay();
        self.at(d, Ev::Direct(i, epoch, call, h.clone(), r));
        self.at(0.5, Ev::Beat(h));
    }

    fn transaction_arrives(&mut self, i: usize, epoch: Epoch, id: TxnId, txn: Txn) {
        let outcome = if self.rng.random_bool(self.chaos.refuse_txn) {
            TxnOutcome::NotApplied
        } else {
            self.store.of(i).apply(&txn)
        };
        if matches!(outcome, TxnOutcome::Ok(_)) {
            self.maybe_repeat_txn(i, &txn);
        }
        self.answer_transaction(i, epoch, id, outcome);
    }

    fn transaction_done(&mut self, i: usize, epoch: Epoch, id: TxnId, o: TxnOutcome) {
        let now = self.time();
        if !self.leads(i, epoch) {
            return;
        }
        let t = self.ctls[i].term.as_mut().unwrap();
        let (events, steps) = t.commit.handle_outcome(now, id, o, &mut t.sched);
        self.after(i, epoch, events, steps);
    }

    fn read_done(&mut self, i: usize, epoch: Epoch, key: String, item: Option<Item>) {
        if self.leads(i, epoch) {
            let t = self.ctls[i].term.as_mut().unwrap();
            let (events, steps) = t.commit.handle_read(key, Ok(item), &mut t.sched);
            self.after(i, epoch, events, steps);
        }
    }

    fn read_final(&mut self, i: usize, epoch: Epoch, id: JobId) {
        let r = self.store.of(i).read(&final_key(&id)).map_err(|_| ());
        let f = r.map(|o| o.map(|x| serde_json::from_value(x.value).unwrap()));
        self.in_term(i, epoch, Event::FinalRead(id, f));
    }

    fn read_record(&mut self, i: usize, epoch: Epoch, req: RequestId, id: JobId) {
        let r = self.store.of(i).read(&final_key(&id)).map_err(|_| ());
        let r = r.map(|o| o.map(|x| x.value));
        self.in_term(i, epoch, Event::RecordRead(req, id, r));
    }

    fn end_process(&mut self, i: usize) {
        self.ctls[i].up = false;
        self.ctls[i].term = None;
    }

    fn begin_process(&mut self, i: usize) {
        let life = self.ctls[i].life + 1;
        self.ctls[i] = self.new_ctl(i, life);
        // A new process looks at once who leads, and hears of machines.
        self.stand(i);
        let pause = self.ctls[i].elector.step_interval().as_secs();
        self.at(pause, Ev::ElectOnce(i));
        self.at(0.1, Ev::ListOnce(i));
    }

    fn change_worker(&mut self, h: &Host, change: impl FnOnce(&mut Worker)) {
        if let Some(w) = self.workers.get_mut(h) {
            change(w);
        }
    }

    fn begin_machine_anew(&mut self, h: Host) {
        if let Some(w) = self.workers.get_mut(&h) {
            w.begin_anew(self.now);
            self.at(0.05, Ev::Beat(h));
        }
    }
}
