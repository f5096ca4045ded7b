//! Leader election by a leased key, with processes that crash and restart in any order.

mod world;

use hookworks::election::{
    BoundAddress, Candidate, ElectionOutcome, Elector, REVOCATION_DELAY, answer_valid_until,
};
use hookworks::ids::*;
use hookworks::sched::job::Final;
use hookworks::sched::{Event, Key};
use hookworks::store::client::{ReadError, StateStore};
use hookworks::store::commit::{Committer, Step};
use hookworks::store::{EPOCH_KEY, FORMAT_KEY, LEADER_KEY, TxnOutcome};
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

fn elector(store: &Handle, name: &str) -> Elector<Handle> {
    candidate(store, name, 1, None)
}

/// A process that is up for so long that no answer of an earlier one may be told any more;
/// it is on record that every controller is of this version.
fn candidate(
    store: &Handle,
    name: &str,
    instance: u64,
    address: Option<BoundAddress>,
) -> Elector<Handle> {
    if store.peek(FORMAT_KEY).is_none() {
        store.put(FORMAT_KEY, serde_json::json!({}));
    }
    candidate_bound_at(Time(0), store, name, instance, address)
}

fn candidate_bound_at(
    bound_at: Time,
    store: &Handle,
    name: &str,
    instance: u64,
    address: Option<BoundAddress>,
) -> Elector<Handle> {
    let candidate = Candidate {
        label: name.into(),
        instance: Instance(instance),
        address,
        bound_at,
    };
    Elector::new(store.clone(), candidate, Span::secs(2.0))
}

/// A moment long after the start of a process.
const LATER: Time = Time(1_000_000);

#[test]
fn each_leadership_has_a_larger_epoch_and_one_leader() {
    let store = Handle::default();
    let (mut a, mut b) = (elector(&store, "a"), elector(&store, "b"));
    let elected = |e: ElectionOutcome| match e {
        ElectionOutcome::Elected { epoch, .. } => epoch,
        e => panic!("{e:?}"),
    };
    assert_eq!(elected(a.step(|| Time(0))), Epoch(1));
    assert!(matches!(
        b.step(|| Time(0)),
        ElectionOutcome::Following(Some(_))
    ));
    store.at(1_900_000);
    assert_eq!(a.step(|| Time(7)), ElectionOutcome::Renewed(Time(7)));
    store.at(4_000_000);
    assert_eq!(elected(b.step(|| Time(0))), Epoch(2));
    assert_eq!(a.step(|| Time(0)), ElectionOutcome::LeaseLost);
    b.resign();
    assert_eq!(elected(a.step(|| Time(0))), Epoch(3));
}

#[test]
fn lost_campaign_answer_is_read_back() {
    let store = Handle::default();
    let mut a = elector(&store, "a");
    store.lose_next_answer();
    assert!(matches!(
        a.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    assert!(store.read(LEADER_KEY).unwrap().is_some());
}

fn bound_address(addr: &str, system: Option<&str>) -> BoundAddress {
    BoundAddress {
        addr: addr.parse().unwrap(),
        system: system.map(String::from),
    }
}

/// Whether a process at address `new` revokes the lease of an earlier one with the same
/// label at address `old`.
fn revokes(old: Option<BoundAddress>, new: Option<BoundAddress>) -> bool {
    let store = Handle::default();
    let mut first = candidate(&store, "a", 1, old);
    assert!(matches!(
        first.step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    let elected = matches!(
        candidate(&store, "a", 2, new).step(|| LATER),
        ElectionOutcome::Elected {
            epoch: Epoch(2),
            ..
        }
    );
    // The earlier process would learn of it at its next renewal.
    assert_eq!(
        first.step(|| Time(9)) == ElectionOutcome::LeaseLost,
        elected
    );
    elected
}

/// Guards against a restarted controller that waits for its predecessor's lease: after a
/// restart of 0.3 s it waited more than a second for it to expire.
#[test]
fn lease_of_an_earlier_process_at_the_same_address_is_revoked() {
    let at = |system| Some(bound_address("10.0.0.1:81", system));
    assert!(revokes(at(None), at(None)));
    assert!(revokes(at(Some("boot 1")), at(Some("boot 1"))));
    // Where the system is known, the address need not be unique.
    let local = Some(bound_address("127.0.0.1:81", Some("boot 1")));
    assert!(revokes(local.clone(), local));
}

/// Guards against an older answer after a newer one: a follower that stood still told answers
/// of the leader's earlier process after the next one had led and confirmed a cancellation
/// (review case 6).
#[test]
fn lease_of_an_earlier_process_is_not_revoked_while_its_answers_may_be_told() {
    let store = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    candidate(&store, "a", 1, at()).step(|| Time(0));
    let lease = store.read(LEADER_KEY).unwrap().unwrap().lease.unwrap();
    let bound_at = Time(500_000);
    let mut next = candidate_bound_at(bound_at, &store, "a", 2, at());
    // Whatever the earlier process answered, it did before the address was free.
    let last_told = answer_valid_until(bound_at, Time(u64::MAX));
    for now in [
        bound_at,
        last_told,
        Time(bound_at.0 + REVOCATION_DELAY.0 - 1),
    ] {
        let outcome = next.step(|| now);
        assert!(matches!(outcome, ElectionOutcome::Following(Some(_))));
        assert_eq!(store.renew(lease), Ok(true));
        // It comes back at the very moment.
        assert_eq!(now + next.step_interval(), bound_at + REVOCATION_DELAY);
    }
    let outcome = next.step(|| bound_at + REVOCATION_DELAY);
    assert!(matches!(outcome, ElectionOutcome::Elected { .. }));
    assert_eq!(store.renew(lease), Ok(false));
}

#[test]
fn answer_is_valid_for_a_short_time_and_no_longer_than_the_lease() {
    let decided_at = Time(7_000_000);
    let long = answer_valid_until(decided_at, Time(9_000_000));
    assert!(long > decided_at && long < decided_at + REVOCATION_DELAY);
    let short = answer_valid_until(decided_at, Time(7_000_001));
    assert_eq!(short, Time(7_000_001));
}

/// While some controller may be of the version before, whose answers are valid as long as its
/// lease, that lease is left to expire.
#[test]
fn lease_of_an_earlier_process_expires_by_itself_before_the_switch() {
    let store = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    let new = |instance| candidate_bound_at(Time(0), &store, "a", instance, at());
    new(1).step(|| Time(0));
    let lease = store.read(LEADER_KEY).unwrap().unwrap().lease.unwrap();
    let mut next = new(2);
    assert!(matches!(next.step(|| LATER), ElectionOutcome::Following(_)));
    assert_eq!(store.renew(lease), Ok(true));
    store.at(3_000_000);
    assert!(matches!(
        next.step(|| LATER),
        ElectionOutcome::Elected { .. }
    ));
}

/// A process that may be alive relies on its lease: it answers polls and starts tasks
/// until the lease expires.
#[test]
fn lease_of_a_process_that_may_be_alive_is_not_revoked() {
    let at = |a: &str, system| Some(bound_address(a, system));
    let address = at("10.0.0.1:81", None);
    // The same label, misconfigured on another machine.
    assert!(!revokes(address.clone(), at("10.0.0.2:81", None)));
    // A machine that has taken over the address of a partitioned one.
    let (one, two) = (Some("boot 1"), Some("boot 2"));
    assert!(!revokes(at("10.0.0.1:81", one), at("10.0.0.1:81", two)));
    // Addresses that every machine has, on an unknown system.
    for a in ["0.0.0.0:81", "127.0.0.1:81", "[::]:81", "[::1]:81"] {
        assert!(!revokes(at(a, None), at(a, None)), "{a}");
    }
    // An earlier version does not record its address.
    assert!(!revokes(None, address.clone()));
    assert!(!revokes(address, None));
}

/// The lease of a controller with another label is never revoked, at any address.
#[test]
fn lease_of_another_controller_is_not_revoked() {
    let store = Handle::default();
    let address = Some(bound_address("10.0.0.1:81", None));
    candidate(&store, "a", 1, address.clone()).step(|| Time(0));
    let seen = candidate(&store, "b", 1, address).step(|| Time(0));
    assert!(matches!(seen, ElectionOutcome::Following(Some(l)) if l.label == "a".into()));
}

/// Two processes may draw the same random instance number: the address decides.
#[test]
fn repeated_instance_number_is_resolved_by_address() {
    let store = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    candidate(&store, "a", 7, at()).step(|| Time(0));
    let mut next = candidate(&store, "a", 7, at());
    let elected = next.step(|| LATER);
    assert!(matches!(
        elected,
        ElectionOutcome::Elected {
            epoch: Epoch(2),
            ..
        }
    ));
    assert_eq!(next.step(|| Time(5)), ElectionOutcome::Renewed(Time(5)));
}

/// A campaign abandoned because its outcome was unclear may be applied later.
#[test]
fn own_campaign_applied_late_is_revoked_and_repeated() {
    let store = Handle::default();
    let mut a = candidate(&store, "a", 1, Some(bound_address("10.0.0.1:81", None)));
    let lease = store.grant(2_000).unwrap();
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
    assert!(matches!(store.apply(&txn), TxnOutcome::Ok(_)));
    assert!(matches!(a.step(|| LATER), ElectionOutcome::Elected { .. }));
    assert_eq!(store.renew(lease), Ok(false));
}

/// Transactions in flight from the replaced process arrive after its lease was revoked,
/// before and after the next election.
#[test]
fn transactions_of_a_replaced_process_are_refused() {
    let store = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = candidate(&store, "a", 1, at()).step(|| Time(0))
    else {
        panic!()
    };
    let (_, _, txn, _) = submitted(stamp);
    // Its lease is revoked, nobody leads yet.
    let lease = store.read(LEADER_KEY).unwrap().unwrap().lease.unwrap();
    store.revoke(lease);
    assert!(matches!(store.apply(&txn), TxnOutcome::Conflict(_)));
    candidate(&store, "a", 2, at()).step(|| LATER);
    assert!(matches!(store.apply(&txn), TxnOutcome::Conflict(_)));
    assert!(!store.keys().iter().any(|k| k.contains(JOB)));
    // A renewal in flight does not bring the lease back.
    assert_eq!(store.renew(lease), Ok(false));
}

/// During an outage no lease is revoked; the first step after it revokes the lease and
/// campaigns.
#[test]
fn outage_only_delays_the_revocation() {
    let store = Handle::default();
    let at = || Some(bound_address("10.0.0.1:81", None));
    candidate(&store, "a", 1, at()).step(|| Time(0));
    store.down(true);
    let mut next = candidate(&store, "a", 2, at());
    assert_eq!(next.step(|| LATER), ElectionOutcome::Unavailable);
    assert!(next.step_interval() < Span::millis(400));
    store.down(false);
    assert!(matches!(
        next.step(|| LATER),
        ElectionOutcome::Elected { .. }
    ));
}

/// A new job through scheduler and committer, up to its transaction.
fn submitted(stamp: Revision) -> (Desk, Committer, hookworks::wire::state::Txn, TxnId) {
    let mut desk = Desk::new(1);
    desk.stores = false;
    desk.submit(&job(1, 2));
    let mut committer = Committer::new(stamp, &settings("x").platform.params.state);
    let (id, txn) = committer
        .next_txn(Time(desk.now), &mut desk.s)
        .expect("something to write");
    (desk, committer, txn, id)
}

#[test]
fn deposed_leader_writes_nothing() {
    let store = Handle::default();
    let mut a = elector(&store, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut desk, mut committer, txn, id) = submitted(stamp);
    store.at(5_000_000);
    assert!(matches!(
        elector(&store, "b").step(|| Time(0)),
        ElectionOutcome::Elected { .. }
    ));
    // The late transaction arrives: not even a new key is written.
    let outcome = store.apply(&txn);
    assert!(!store.keys().iter().any(|k| k.contains(JOB)));
    let (events, steps) = committer.handle_outcome(Time(desk.now), id, outcome, &mut desk.s);
    assert!(events.is_empty());
    assert_eq!(steps, vec![Step::Deposed]);
}

#[test]
fn write_with_a_lost_answer_is_read_back_before_it_counts_as_stored() {
    let store = Handle::default();
    let mut a = elector(&store, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut desk, mut committer, txn, id) = submitted(stamp);
    store.apply(&txn);
    let (events, _) =
        committer.handle_outcome(Time(desk.now), id, TxnOutcome::Unknown, &mut desk.s);
    assert!(events.is_empty(), "unclear outcome reported as stored");
    desk.now += 500_000;
    let (id, txn) = committer.next_txn(Time(desk.now), &mut desk.s).unwrap();
    let outcome = store.apply(&txn);
    assert!(matches!(outcome, TxnOutcome::Conflict(_)));
    let (_, steps) = committer.handle_outcome(Time(desk.now), id, outcome, &mut desk.s);
    for step in steps {
        let Step::Read(key) = step else { panic!() };
        let item = store.read(&key).unwrap();
        committer.handle_read(key, Ok(item), &mut desk.s);
    }
    let (id, txn) = committer.next_txn(Time(desk.now), &mut desk.s).unwrap();
    let outcome = store.apply(&txn);
    let (events, _) = committer.handle_outcome(Time(desk.now), id, outcome, &mut desk.s);
    assert!(matches!(&events[..], [Event::Stored(Key::Part(j, 0), _)] if j.as_str() == JOB));
}

#[test]
fn transactions_stay_within_the_limits() {
    let mut desk = Desk::new(1);
    desk.stores = false;
    for n in 0..200 {
        desk.submit(&job(n, 1));
    }
    let limits = settings("x").platform.params.state;
    let mut committer = Committer::new(Revision(1), &limits);
    let mut changes = 0;
    for step in 0..40 {
        let now = Time(desk.now + step * 25_000);
        while let Some((id, txn)) = committer.next_txn(now, &mut desk.s) {
            assert!(txn.changes.len() <= limits.txn_ops);
            assert!(txn.conditions.len() <= 4 * limits.txn_ops);
            changes += txn.changes.len();
            committer.handle_outcome(now, id, TxnOutcome::Ok(Revision(9)), &mut desk.s);
        }
    }
    // The rate of one second plus the burst that the service allows.
    assert!(changes as f64 <= 2.0 * limits.write_rps, "{changes}");
    assert!(changes as f64 > 0.8 * limits.write_rps, "{changes}");
}

/// Guards against starved submissions: the garbage collection of a large job once used
/// the whole write rate for fifteen seconds, and the final states of many small jobs were
/// written before waiting submissions.
#[test]
fn garbage_collection_and_final_states_do_not_delay_submissions() {
    let mut desk = Desk::new(1);
    desk.stores = false;
    let limits = settings("x").platform.params.state;
    let mut committer = Committer::new(Revision(1), &limits);
    for n in 0..2000 {
        committer.add_garbage(format!("hookworks/part/job-900000/{n:06}"), Revision(1));
    }
    for n in 0..200 {
        desk.submit(&job(100 + n, 1));
    }
    desk.store();
    for n in 0..200 {
        desk.ask(Request::Cancel(format!("job-{:06}", 100 + n)));
    }
    // The cancellations are stored; the final states wait.
    let lengths = desk.s.write_queue.lengths();
    assert!(lengths[0] + lengths[2] >= 200, "{lengths:?}");
    let (mut collected, mut ended, mut longest_wait) = (0, 0, 0);
    let mut waiting: Option<(RequestId, u64)> = None;
    let mut burst: Vec<RequestId> = vec![];
    for step in 0..800 {
        desk.now += 25_000;
        let now = Time(desk.now);
        desk.s.handle(now, Event::LeadershipConfirmed(now));
        if step == 760 {
            assert!(desk.s.write_queue.is_empty(), "only garbage is left");
            burst = (0..8).map(|n| desk.submit(&job(5000 + n, 1))).collect();
        } else if step == 764 {
            let answered = burst.iter().filter(|r| desk.status(**r).is_some()).count();
            assert_eq!(answered, 8, "garbage collection used the whole write rate");
        }
        if step % 20 == 0 && waiting.is_none() && step > 200 && step < 700 {
            waiting = Some((desk.submit(&job(1000 + step, 1)), desk.now));
        }
        while let Some((id, txn)) = committer.next_txn(now, &mut desk.s) {
            let is_garbage = |change: &&Change| change.key().contains("job-900000");
            collected += txn.changes.iter().filter(is_garbage).count();
            let (events, _) =
                committer.handle_outcome(now, id, TxnOutcome::Ok(Revision(9)), &mut desk.s);
            for e in events {
                ended += matches!(&e, Event::Stored(Key::Final(_), _)) as u32;
                let fx = desk.s.handle(now, e);
                desk.fx.extend(fx);
            }
        }
        if let Some((req, since)) = waiting.filter(|(r, _)| desk.status(*r).is_some()) {
            assert_eq!(desk.status(req), Some(201));
            longest_wait = longest_wait.max(desk.now - since);
            waiting = None;
        }
    }
    assert!(
        (25_000..200_000).contains(&longest_wait.max(25_000)),
        "{longest_wait} us"
    );
    assert!(waiting.is_none(), "a submission was not answered");
    // Both still make progress.
    assert!(
        collected > 20 && ended > 50,
        "{collected} collected, {ended} ended"
    );
}

/// A store whose client process crashes at the request after `left` others: that request
/// is carried out without an answer, or not at all.
struct CrashingStore {
    store: Handle,
    left: Cell<u32>,
    carried_out: bool,
}

impl CrashingStore {
    /// None if the process has crashed.
    fn call<T>(&self, request: impl FnOnce(&Handle) -> T) -> Option<T> {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        let done = (left > 0 || self.carried_out).then(|| request(&self.store));
        done.filter(|_| left > 0)
    }
}

impl StateStore for CrashingStore {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        self.call(|store| store.get(key))
            .unwrap_or(Err(ReadError::Failed))
    }
    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let page = self.call(|store| store.page(prefix, after, limit));
        page.unwrap_or(Err(ReadError::Failed))
    }
    fn txn(&self, txn: &Txn) -> TxnOutcome {
        self.call(|store| store.txn(txn))
            .unwrap_or(TxnOutcome::Unknown)
    }
    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        let lease = self.call(|store| store.grant(ttl_ms));
        lease.unwrap_or(Err(ReadError::Failed))
    }
    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        let alive = self.call(|store| store.renew(lease));
        alive.unwrap_or(Err(ReadError::Failed))
    }
    fn revoke(&self, lease: u64) {
        self.call(|store| store.revoke(lease));
    }
}

/// A process crashes at each request while it revokes its predecessor's lease and
/// campaigns, with that request carried out or not. The next process leads at once, in a
/// larger epoch and with its own record in the key.
#[test]
fn process_may_crash_at_any_request_while_it_replaces_its_predecessor() {
    let at = || Some(bound_address("10.0.0.1:81", None));
    let candidate_of = |instance| Candidate {
        label: "a".into(),
        instance: Instance(instance),
        address: at(),
        bound_at: Time(0),
    };
    for left in 0..8 {
        for carried_out in [false, true] {
            let store = Handle::default();
            candidate(&store, "a", 1, at()).step(|| Time(0));
            let crashing_store = CrashingStore {
                store: store.clone(),
                left: Cell::new(left),
                carried_out,
            };
            let mut second = Elector::new(crashing_store, candidate_of(2), Span::secs(2.0));
            let elected = matches!(second.step(|| LATER), ElectionOutcome::Elected { .. });
            let mut third = candidate(&store, "a", 3, at());
            let ElectionOutcome::Elected {
                epoch,
                revision: stamp,
                ..
            } = third.step(|| LATER)
            else {
                panic!("not elected at once: {left} {carried_out}");
            };
            let key = store.read(LEADER_KEY).unwrap().unwrap();
            assert_eq!(key.revision, stamp);
            assert_eq!(key.value["instance"], 3);
            assert!(epoch > Epoch(if elected { 2 } else { 1 }));
            assert_eq!(store.read(EPOCH_KEY).unwrap().unwrap().value, epoch.0);
        }
    }
}

/// Guards against a leftover job record: a job was cancelled while the outcome of its
/// first write was unclear. The write had been applied, so its record stayed beside the
/// final state, and the next leader took the job for a queued one.
#[test]
fn cancellation_during_an_unclear_first_write_leaves_no_job_record() {
    let store = Handle::default();
    let mut a = elector(&store, "a");
    let ElectionOutcome::Elected {
        revision: stamp, ..
    } = a.step(|| Time(0))
    else {
        panic!()
    };
    let (mut desk, mut committer, txn, id) = submitted(stamp);
    assert!(matches!(store.apply(&txn), TxnOutcome::Ok(_)));
    committer.handle_outcome(Time(desk.now), id, TxnOutcome::Unknown, &mut desk.s);
    desk.ask(hookworks::wire::peer::Request::Cancel(JOB.into()));
    for _ in 0..6 {
        desk.now += 300_000;
        let Some((id, txn)) = committer.next_txn(Time(desk.now), &mut desk.s) else {
            break;
        };
        let outcome = store.apply(&txn);
        let (events, steps) = committer.handle_outcome(Time(desk.now), id, outcome, &mut desk.s);
        for e in events {
            desk.event(e);
        }
        for step in steps {
            let Step::Read(key) = step else { panic!() };
            let item = store.read(&key);
            let (events, _) = committer.handle_read(key, item, &mut desk.s);
            for e in events {
                desk.event(e);
            }
        }
    }
    let left: Vec<String> = store
        .keys()
        .into_iter()
        .filter(|k| k.contains(JOB))
        .collect();
    assert_eq!(left, [hookworks::store::final_key(&JOB.into())]);
}

/// Guards against a done job that becomes cancelled: a submission was repeated under a
/// new leader after its job was done, and cancelled before the store had answered. The
/// conflict of that final state with the stored one was taken for a lost answer.
#[test]
fn cancelled_late_resubmission_reports_the_stored_final_state() {
    let mut desk = Desk::new(6);
    desk.stores = false;
    let submitted = desk.submit(&job(1, 7));
    let cancelled = desk.ask(hookworks::wire::peer::Request::Cancel(JOB.into()));
    let stored = Final {
        state: JobState::Done,
        done: 7,
    };
    desk.event(Event::AlreadyFinal(JOB.into(), stored));
    for req in [submitted, cancelled] {
        let answer = desk.answer(req).expect("answered");
        assert!(
            answer.status == 200 && answer.body.contains(DONE),
            "{answer:?}"
        );
    }
    let poll = desk.ask(hookworks::wire::peer::Request::Poll(JOB.into()));
    assert!(desk.answer(poll).unwrap().body.contains(DONE));
    assert!(desk.s.jobs.is_empty());
}
