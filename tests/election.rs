//! One leader by a leased key, whoever ends and comes back in whatever order.

mod world;

use hookworks::election::{BoundAddress, Candidate, ElectionOutcome, Elector};
use hookworks::ids::*;
use hookworks::sched::job::Final;
use hookworks::sched::{Event, Key};
use hookworks::store::client::{ReadError, StateStore};
use hookworks::store::commit::{Committer, Step};
use hookworks::store::{EPOCH_KEY, LEADER_KEY, TxnOutcome};
use hookworks::time::{Span, Time};
use hookworks::wire::peer::Request;
use hookworks::wire::state::{Change, Item, Page, Txn};
use hookworks::wire::user::JobState;
use std::cell::Cell;
use world::desk::Desk;
use world::store::Handle;
use world::{job, settings};

const JOB: &str = "job-000001";
const DONE: &str = "\"Status\":\"done\"";

fn elector(s: &Handle, name: &str) -> Elector<Handle> {
    candidate(s, name, 1, None)
}

fn candidate(
    s: &Handle,
    name: &str,
    instance: u64,
    address: Option<BoundAddress>,
) -> Elector<Handle> {
    let me = Candidate {
        label: name.into(),
        instance: Instance(instance),
        address,
    };
    Elector::new(s.clone(), me, Span::secs(2.0))
}

#[test]
fn each_term_has_a_larger_epoch_and_one_leader() {
    let s = Handle::default();
    let (mut a, mut b) = (elector(&s, "a"), elector(&s, "b"));
    let won = |e: ElectionOutcome| match e {
        ElectionOutcome::Elected { epoch, .. } => epoch,
        e => panic!("{e:?}"),
    };
    assert_eq!(won(a.step(|| Time(0))), Epoch(1));
    assert!(matches!(
        b.step(|| Time(0)),
        ElectionOutcome::Following(Some(_))
    ));
    s.at(1_900_000);
    assert_eq!(a.step(|| Time(7)), ElectionOutcome::Renewed(Time(7)));
    s.at(4_000_000);
    assert_eq!(won(b.step(|| Time(0))), Epoch(2));
    assert_eq!(a.step(|| Time(0)), ElectionOutcome::LeaseLost);
    b.resign();
    assert_eq!(won(a.step(|| Time(0))), Epoch(3));
}

#[test]
fn an_election_whose_answer_is_lost_is_read_back() {
    let s = Handle::default();
    let mut a = elector(&s, "a");
    s.lose_next_answer();
    assert!(matches!(
        a.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    assert!(s.read(LEADER_KEY).unwrap().is_some());
}

fn bound_address(addr: &str, system: Option<&str>) -> BoundAddress {
    BoundAddress {
        addr: addr.parse().unwrap(),
        system: system.map(String::from),
    }
}

/// Whether a process at `now` ends what an earlier one of its label led at `then`.
fn ends(then: Option<BoundAddress>, now: Option<BoundAddress>) -> bool {
    let s = Handle::default();
    let mut first = candidate(&s, "a", 1, then);
    assert!(matches!(
        first.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    let won = matches!(
        candidate(&s, "a", 2, now).step(|| Time(0)),
        ElectionOutcome::Elected {
            epoch: Epoch(2),
            ..
        }
    );
    // The earlier one, were it alive, would hear of it with its next renewal.
    assert_eq!(first.step(|| Time(9)) == ElectionOutcome::LeaseLost, won);
    won
}

/// A controller was back after 0.3 s and waited more than a second for the
/// lease of the very process that it had replaced.
#[test]
fn the_lease_of_an_earlier_process_at_the_same_place_is_ended() {
    let at = |system| Some(bound_address("10.0.0.1:81", system));
    assert!(ends(at(None), at(None)));
    assert!(ends(at(Some("boot 1")), at(Some("boot 1"))));
    // Where the system tells who it is, any address will do.
    let local = Some(bound_address("127.0.0.1:81", Some("boot 1")));
    assert!(ends(local.clone(), local));
}

/// Whoever may be alive elsewhere counts on its lease: it answers polls and
/// starts tasks until that has run out.
#[test]
fn the_lease_of_a_process_that_may_be_alive_is_left_alone() {
    let at = |a: &str, system| Some(bound_address(a, system));
    let place = at("10.0.0.1:81", None);
    // The same label by mistake, elsewhere.
    assert!(!ends(place.clone(), at("10.0.0.2:81", None)));
    // A machine that has taken the address of one that is cut off.
    let (one, two) = (Some("boot 1"), Some("boot 2"));
    assert!(!ends(at("10.0.0.1:81", one), at("10.0.0.1:81", two)));
    // Addresses that every machine has, on one that does not tell which it is.
    for a in ["0.0.0.0:81", "127.0.0.1:81", "[::]:81", "[::1]:81"] {
        assert!(!ends(at(a, None), at(a, None)), "{a}");
    }
    // An earlier version does not say where it is.
    assert!(!ends(None, place.clone()));
    assert!(!ends(place, None));
}

/// Another label leads: its lease is nobody else's to end, wherever it is.
#[test]
fn the_lease_of_another_controller_is_left_alone() {
    let s = Handle::default();
    let place = Some(bound_address("10.0.0.1:81", None));
    candidate(&s, "a", 1, place.clone()).step(|| Time(0));
    let seen = candidate(&s, "b", 1, place).step(|| Time(0));
    assert!(matches!(seen, ElectionOutcome::Following(Some(l)) if l.label == "a".into()));
}

/// The same number may come up for two processes in turn: the place decides.
#[test]
fn an_instance_that_comes_up_twice_is_told_apart_by_what_it_leads() {
    let s = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    candidate(&s, "a", 7, at()).step(|| Time(0));
    let mut next = candidate(&s, "a", 7, at());
    let won = next.step(|| Time(0));
    assert!(matches!(
        won,
        ElectionOutcome::Elected {
            epoch: Epoch(2),
            ..
        }
    ));
    assert_eq!(next.step(|| Time(5)), ElectionOutcome::Renewed(Time(5)));
}

/// An election given up as its outcome was unclear may be carried out later.
#[test]
fn an_own_election_that_took_effect_late_is_ended_and_held_anew() {
    let s = Handle::default();
    let mut a = candidate(&s, "a", 1, Some(bound_address("10.0.0.1:81", None)));
    let lease = s.grant(2_000).unwrap();
    let late = serde_json::json!({
        "label": "a", "epoch": 1, "instance": 1, "home": bound_address("10.0.0.1:81", None)
    });
    let put = |key: &str, value, lease| hookworks::wire::state::Change::Put {
        key: key.into(),
        value,
        lease,
    };
    let txn = hookworks::wire::state::Txn {
        conditions: vec![],
        changes: vec![put(LEADER_KEY, late, Some(lease))],
    };
    assert!(matches!(s.apply(&txn), TxnOutcome::Ok(_)));
    assert!(matches!(
        a.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    assert_eq!(s.renew(lease), Ok(false));
}

/// What the replaced process had under way arrives after its lease was ended:
/// before the next leader is there, and after.
#[test]
fn what_a_replaced_process_sent_is_not_applied_any_more() {
    let s = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = candidate(&s, "a", 1, at()).step(|| Time(0))
    else {
        panic!()
    };
    let (_, _, txn, _) = submitted(stamp);
    // Its lease is ended, nobody leads yet.
    let lease = s.read(LEADER_KEY).unwrap().unwrap().lease.unwrap();
    s.revoke(lease);
    assert!(matches!(s.apply(&txn), TxnOutcome::Conflict(_)));
    candidate(&s, "a", 2, at()).step(|| Time(0));
    assert!(matches!(s.apply(&txn), TxnOutcome::Conflict(_)));
    assert!(!s.keys().iter().any(|k| k.contains(JOB)));
    // Nor does a renewal under way bring the lease back.
    assert_eq!(s.renew(lease), Ok(false));
}

/// During an outage nothing is ended; the step after it does both at once.
#[test]
fn an_outage_only_puts_the_end_of_that_lease_off() {
    let s = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    candidate(&s, "a", 1, at()).step(|| Time(0));
    s.down(true);
    let mut next = candidate(&s, "a", 2, at());
    assert_eq!(next.step(|| Time(0)), ElectionOutcome::Unavailable);
    assert!(next.step_interval() < Span::millis(400));
    s.down(false);
    assert!(matches!(
        next.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
}

/// A new job through scheduler and committer, up to its transaction.
fn submitted(stamp: Revision) -> (Desk, Committer, hookworks::wire::state::Txn, TxnId) {
    let mut d = Desk::new(1);
    d.stores = false;
    d.submit(&job(1, 2));
    let mut c = Committer::new(stamp, &settings("x").platform.params.state);
    let (id, txn) = c
        .next_txn(Time(d.now), &mut d.s)
        .expect("something to write");
    (d, c, txn, id)
}

#[test]
fn a_deposed_leader_writes_nothing() {
    let s = Handle::default();
    let mut a = elector(&s, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut d, mut c, txn, id) = submitted(stamp);
    s.at(5_000_000);
    assert!(matches!(
        elector(&s, "b").step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    // The late transaction arrives: even a new key is not written.
    let o = s.apply(&txn);
    assert!(!s.keys().iter().any(|k| k.contains(JOB)));
    let (events, steps) = c.handle_outcome(Time(d.now), id, o, &mut d.s);
    assert!(events.is_empty());
    assert_eq!(steps, vec![Step::Deposed]);
}

#[test]
fn a_write_whose_answer_is_lost_is_read_back_not_taken_for_granted() {
    let s = Handle::default();
    let mut a = elector(&s, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut d, mut c, txn, id) = submitted(stamp);
    s.apply(&txn);
    let (events, _) = c.handle_outcome(Time(d.now), id, TxnOutcome::Unknown, &mut d.s);
    assert!(events.is_empty(), "an unclear outcome told as stored");
    d.now += 500_000;
    let (id, txn) = c.next_txn(Time(d.now), &mut d.s).unwrap();
    let o = s.apply(&txn);
    assert!(matches!(o, TxnOutcome::Conflict(_)));
    let (_, steps) = c.handle_outcome(Time(d.now), id, o, &mut d.s);
    for step in steps {
        let Step::Read(key) = step else { panic!() };
        let item = s.read(&key).unwrap();
        c.handle_read(key, Ok(item), &mut d.s);
    }
    let (id, txn) = c.next_txn(Time(d.now), &mut d.s).unwrap();
    let o = s.apply(&txn);
    let (events, _) = c.handle_outcome(Time(d.now), id, o, &mut d.s);
    assert!(matches!(&events[..], [Event::Stored(Key::Part(j, 0), _)] if j.as_str() == JOB));
}

#[test]
fn transactions_stay_within_the_limits() {
    let mut d = Desk::new(1);
    d.stores = false;
    for n in 0..200 {
        d.submit(&job(n, 1));
    }
    let limits = settings("x").platform.params.state;
    let mut c = Committer::new(Revision(1), &limits);
    let mut changes = 0;
    for step in 0..40 {
        let now = Time(d.now + step * 25_000);
        while let Some((id, txn)) = c.next_txn(now, &mut d.s) {
            assert!(txn.changes.len() <= limits.txn_ops);
            assert!(txn.conditions.len() <= 4 * limits.txn_ops);
            changes += txn.changes.len();
            c.handle_outcome(now, id, TxnOutcome::Ok(Revision(9)), &mut d.s);
        }
    }
    // A second's worth and the burst that the service allows.
    assert!(changes as f64 <= 2.0 * limits.write_rps, "{changes}");
    assert!(changes as f64 > 0.8 * limits.write_rps, "{changes}");
}

/// What a large job left behind took all changes while its sweeping went on, for
/// fifteen seconds; and the ends of many small jobs passed those who waited.
#[test]
fn neither_litter_nor_ends_hold_up_who_waits() {
    let mut d = Desk::new(1);
    d.stores = false;
    let limits = settings("x").platform.params.state;
    let mut c = Committer::new(Revision(1), &limits);
    for n in 0..2000 {
        c.add_garbage(format!("hookworks/part/job-900000/{n:06}"), Revision(1));
    }
    for n in 0..200 {
        d.submit(&job(100 + n, 1));
    }
    d.store();
    for n in 0..200 {
        d.ask(Request::Cancel(format!("job-{:06}", 100 + n)));
    }
    // The cancellations themselves are stored; the ends wait.
    let lengths = d.s.write_queue.lengths();
    assert!(lengths[0] + lengths[2] >= 200, "{lengths:?}");
    let (mut swept, mut ended, mut longest) = (0, 0, 0);
    let mut waiting: Option<(RequestId, u64)> = None;
    let mut burst: Vec<RequestId> = vec![];
    for step in 0..800 {
        d.now += 25_000;
        let now = Time(d.now);
        d.s.handle(now, Event::LeadershipConfirmed(now));
        if step == 760 {
            assert!(d.s.write_queue.is_empty(), "nothing but litter is left");
            burst = (0..8).map(|n| d.submit(&job(5000 + n, 1))).collect();
        } else if step == 764 {
            let told = burst.iter().filter(|r| d.status(**r).is_some()).count();
            assert_eq!(told, 8, "sweeping left nothing for them");
        }
        if step % 20 == 0 && waiting.is_none() && step > 200 && step < 700 {
            waiting = Some((d.submit(&job(1000 + step, 1)), d.now));
        }
        while let Some((id, txn)) = c.next_txn(now, &mut d.s) {
            let litter = |x: &&Change| x.key().contains("job-900000");
            swept += txn.changes.iter().filter(litter).count();
            let (events, _) = c.handle_outcome(now, id, TxnOutcome::Ok(Revision(9)), &mut d.s);
            for e in events {
                ended += matches!(&e, Event::Stored(Key::Final(_), _)) as u32;
                let fx = d.s.handle(now, e);
                d.fx.extend(fx);
            }
        }
        if let Some((req, since)) = waiting.filter(|(r, _)| d.status(*r).is_some()) {
            assert_eq!(d.status(req), Some(201));
            longest = longest.max(d.now - since);
            waiting = None;
        }
    }
    assert!(
        (25_000..200_000).contains(&longest.max(25_000)),
        "{longest} us"
    );
    assert!(waiting.is_none(), "a submission still waits");
    // All the same, both go on.
    assert!(swept > 20 && ended > 50, "{swept} swept, {ended} ended");
}

/// Its process ends with the `left`-th request: that one is carried out without
/// an answer, or not at all.
struct Dying {
    store: Handle,
    left: Cell<u32>,
    carried_out: bool,
}

impl Dying {
    /// None: the process is no more.
    fn ask<T>(&self, request: impl FnOnce(&Handle) -> T) -> Option<T> {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        let done = (left > 0 || self.carried_out).then(|| request(&self.store));
        done.filter(|_| left > 0)
    }
}

impl StateStore for Dying {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        self.ask(|s| s.get(key)).unwrap_or(Err(ReadError::Failed))
    }
    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let page = self.ask(|s| s.page(prefix, after, limit));
        page.unwrap_or(Err(ReadError::Failed))
    }
    fn txn(&self, t: &Txn) -> TxnOutcome {
        self.ask(|s| s.txn(t)).unwrap_or(TxnOutcome::Unknown)
    }
    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        let lease = self.ask(|s| s.grant(ttl_ms));
        lease.unwrap_or(Err(ReadError::Failed))
    }
    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        let alive = self.ask(|s| s.renew(lease));
        alive.unwrap_or(Err(ReadError::Failed))
    }
    fn revoke(&self, lease: u64) {
        self.ask(|s| s.revoke(lease));
    }
}

/// A process ends at each request of ending its predecessor's lease and being
/// elected, that request carried out or not; the next one leads at once, in a
/// term of its own, and nobody else's word is left.
#[test]
fn a_process_may_end_anywhere_in_ending_the_lease_of_the_one_before() {
    let at = || Some(bound_address("10.0.0.1:81", None));
    let me = |instance| Candidate {
        label: "a".into(),
        instance: Instance(instance),
        address: at(),
    };
    for left in 0..8 {
        for carried_out in [false, true] {
            let s = Handle::default();
            candidate(&s, "a", 1, at()).step(|| Time(0));
            let store = Dying {
                store: s.clone(),
                left: Cell::new(left),
                carried_out,
            };
            let mut second = Elector::new(store, me(2), Span::secs(2.0));
            let won = matches!(second.step(|| Time(0)), ElectionOutcome::Elected { .. });
            let mut third = candidate(&s, "a", 3, at());
            let ElectionOutcome::Elected {
                epoch,
                revision: stamp,
                ..
            } = third.step(|| Time(0))
            else {
                panic!("not at once: {left} {carried_out}");
            };
            let key = s.read(LEADER_KEY).unwrap().unwrap();
            assert_eq!(key.revision, stamp);
            assert_eq!(key.value["instance"], 3);
            assert!(epoch > Epoch(if won { 2 } else { 1 }));
            assert_eq!(s.read(EPOCH_KEY).unwrap().unwrap().value, epoch.0);
        }
    }
}

/// A job was cancelled while nobody knew whether its first write had been carried
/// out. It had: its record stayed beside the final state, and the next leader
/// took the job for one that waits to run.
#[test]
fn a_job_that_ends_while_its_first_write_is_unclear_leaves_no_record() {
    let s = Handle::default();
    let mut a = elector(&s, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut d, mut c, txn, id) = submitted(stamp);
    assert!(matches!(s.apply(&txn), TxnOutcome::Ok(_)));
    c.handle_outcome(Time(d.now), id, TxnOutcome::Unknown, &mut d.s);
    d.ask(hookworks::wire::peer::Request::Cancel(JOB.into()));
    for _ in 0..6 {
        d.now += 300_000;
        let Some((id, txn)) = c.next_txn(Time(d.now), &mut d.s) else {
            break;
        };
        let outcome = s.apply(&txn);
        let (events, steps) = c.handle_outcome(Time(d.now), id, outcome, &mut d.s);
        for e in events {
            d.event(e);
        }
        for step in steps {
            let Step::Read(key) = step else { panic!() };
            let item = s.read(&key);
            let (events, _) = c.handle_read(key, item, &mut d.s);
            for e in events {
                d.event(e);
            }
        }
    }
    let left: Vec<String> = s.keys().into_iter().filter(|k| k.contains(JOB)).collect();
    assert_eq!(left, [hookworks::store::final_key(&JOB.into())]);
}

/// A submission was sent again after its job was done and another leader had
/// come; before the store answered, it was cancelled. The conflict of that end
/// with the one on record was taken for a lost answer: done became cancelled.
#[test]
fn a_late_retry_that_is_cancelled_at_once_tells_what_is_on_record() {
    let mut d = Desk::new(6);
    d.stores = false;
    let submitted = d.submit(&job(1, 7));
    let cancelled = d.ask(hookworks::wire::peer::Request::Cancel(JOB.into()));
    let f = Final {
        state: JobState::Done,
        done: 7,
    };
    d.event(Event::AlreadyFinal(JOB.into(), f));
    for req in [submitted, cancelled] {
        let a = d.answer(req).expect("answered");
        assert!(a.status == 200 && a.body.contains(DONE), "{a:?}");
    }
    let poll = d.ask(hookworks::wire::peer::Request::Poll(JOB.into()));
    assert!(d.answer(poll).unwrap().body.contains(DONE));
    assert!(d.s.jobs.is_empty());
}
