//! Commands, writes and answers that take effect late, after newer ones.

mod world;

use hookworks::election::{Candidate, ElectionOutcome, Elector};
use hookworks::ids::*;
use hookworks::node::state_loading::load_state;
use hookworks::sched::{DirectResult, Event, Purpose};
use hookworks::store::client::StateStore;
use hookworks::store::commit::{Committer, Step};
use hookworks::store::{FENCES_KEY, TxnOutcome};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobState;
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report, task};
use world::store::Handle;
use world::{Ev, World, job, settings};

const JOB: &str = "job-000001";
const PART: &str = "hookworks/part/job-000001/000001";

/// Elects a leader in the store and returns the revision of its key.
fn elect_leader(s: &Handle) -> Revision {
    let me = Candidate {
        label: "a".into(),
        instance: Instance(1),
        address: None,
        bound_at: Time(0),
    };
    match Elector::new(s.clone(), me, Span::secs(2.0)).step(|| Time(0)) {
        ElectionOutcome::Elected {
            revision: stamp, ..
        } => stamp,
        e => panic!("{e:?}"),
    }
}

/// Sends pending writes and reads back records in conflict.
fn write_all(s: &Handle, c: &mut Committer, d: &mut Desk) {
    for _ in 0..20 {
        d.now += 300_000;
        let Some((id, txn)) = c.next_txn(Time(d.now), &mut d.s) else {
            continue;
        };
        let outcome = s.apply(&txn);
        let (mut events, steps) = c.handle_outcome(Time(d.now), id, outcome, &mut d.s);
        for step in steps {
            let Step::Read(key) = step else {
                panic!("{step:?}")
            };
            let item = s.read(&key);
            events.extend(c.handle_read(key, item, &mut d.s).0);
        }
        for e in events {
            d.event(e);
        }
    }
}

/// A leader ended between the first records of a large submission, and the next one
/// deleted the leftovers. That deletion got no answer and was applied after the user
/// had submitted the job again: a record with active tasks was lost, and a later leader
/// would have started them elsewhere.
#[test]
fn a_late_garbage_collection_deletes_nothing_newer() {
    let s = Handle::default();
    let leader = elect_leader(&s);
    s.put(PART, serde_json::json!({"left": "by an earlier leader"}));
    let l = load_state(&s, Epoch(5), leader, Time(1), WallTime(1)).unwrap();
    let mut c = Committer::new(leader, &settings("x").platform.params.state);
    for (key, stamp) in l.garbage {
        c.add_garbage(key, stamp);
    }
    let mut d = Desk::new(5);
    d.stores = false;
    let (id, late) = c.next_txn(Time(d.now), &mut d.s).expect("it is swept");
    c.handle_outcome(Time(d.now), id, TxnOutcome::Unknown, &mut d.s);
    d.submit(&job(1, 300));
    let j = d.s.jobs.get_mut(&JobId::from(JOB)).unwrap();
    assert!(j.parts.len() > 1);
    j.mark_changed(1, &mut d.s.write_queue, Purpose::Start);
    write_all(&s, &mut c, &mut d);
    let written = s.get(PART).unwrap().unwrap();
    assert!(written.value.get("left").is_none(), "{written:?}");
    assert_eq!(d.s.jobs[&JobId::from(JOB)].parts[1].stored_version, 1);
    let outcome = s.apply(&late);
    assert!(matches!(outcome, TxnOutcome::Conflict(_)), "{outcome:?}");
    assert!(s.get(PART).unwrap().is_some());
}

/// Leftover records unchanged since they were loaded are deleted.
#[test]
fn unchanged_garbage_is_collected() {
    let s = Handle::default();
    let leader = elect_leader(&s);
    s.put(PART, serde_json::json!({}));
    let l = load_state(&s, Epoch(5), leader, Time(1), WallTime(1)).unwrap();
    let mut c = Committer::new(leader, &settings("x").platform.params.state);
    for (key, stamp) in l.garbage {
        c.add_garbage(key, stamp);
    }
    write_all(&s, &mut c, &mut Desk::new(5));
    assert!(s.get(PART).unwrap().is_none());
}

/// A read of the final state was sent before the job was known and returned after it
/// had been accepted, cancelled and stored: the user got a 404.
#[test]
fn a_slow_read_does_not_hide_a_job_finished_meanwhile() {
    let mut d = Desk::new(5);
    let poll = d.ask(Request::Poll(JOB.into()));
    assert_eq!(d.status(poll), None, "it is looked up");
    let submitted = d.submit(&job(1, 1));
    let cancelled = d.ask(Request::Cancel(JOB.into()));
    assert_eq!(d.status(submitted), Some(201));
    assert_eq!(d.status(cancelled), Some(200));
    assert!(d.s.jobs.is_empty(), "it is over");
    d.event(Event::FinalRead(JOB.into(), Ok(None)));
    let a = d.answer(poll).expect("answered");
    assert!(a.status == 200 && a.body.contains("\"cancelled\""), "{a:?}");
}

/// A command to run was delayed in flight when the job was cancelled. The answer to the
/// next heartbeat renewed the lease without a stop, so a task started in between ran on
/// until the heartbeat after that.
#[test]
fn every_answer_that_renews_a_lease_carries_all_stops() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let attempt = d.attempt(JOB, 0).unwrap();
    let (call, host, held) = d.direct().remove(0);
    assert!(matches!(&held.commands[..], [Command::Run { .. }]));
    d.event(Event::Direct(call, host, DirectResult::Unclear));
    let cancel = d.ask(Request::Cancel(JOB.into()));
    assert_eq!(d.status(cancel), Some(200));
    // The worker had not received the command when it sent this heartbeat.
    let a = d
        .beat(&report(1, 2, Token(0)))
        .expect("its lease is renewed");
    let kills = |o: &Command| {
        let it = TaskId {
            job: JOB.into(),
            index: TaskIndex(0),
        };
        matches!(o, Command::Kill { task, attempt: a, .. } if *task == it && *a == attempt)
    };
    assert!(a.commands.iter().any(kills), "{:?}", a.commands);
}

/// A direct call renews no lease, so none is made for such a stop alone: its answer
/// would show nothing new, and each call would lead to another.
#[test]
fn no_direct_call_is_made_to_stop_an_attempt_not_yet_reported() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let (call, host, orders) = d.direct().remove(0);
    // The job is cancelled meanwhile; the answer does not show the task yet.
    d.ask(Request::Cancel(JOB.into()));
    let r = report(1, 2, orders.token);
    d.event(Event::Direct(call, host, DirectResult::Done(Box::new(r))));
    let calls = d.direct();
    let kills = |o: &Command| matches!(o, Command::Kill { .. });
    let any = calls.iter().any(|(_, _, o)| o.commands.iter().any(kills));
    assert!(!any, "{calls:?}");
}

/// The answer to a direct call overtook a heartbeat. The answer to that heartbeat
/// renewed the lease without stopping cancelled attempts.
#[test]
fn the_answer_to_an_overtaken_heartbeat_carries_all_stops() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    let (call, host, orders) = d.direct().remove(0);
    let mut passes = report(1, 3, orders.token);
    passes.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.event(Event::Direct(
        call,
        host,
        DirectResult::Done(Box::new(passes)),
    ));
    d.ask(Request::Cancel(JOB.into()));
    d.submit(&job(2, 1));
    let told = d
        .beat(&report(1, 2, Token(0)))
        .expect("its lease is renewed");
    let kill = |o: &Command| matches!(o, Command::Kill { attempt, .. } if *attempt == a);
    assert!(told.commands.iter().any(kill), "{:?}", told.commands);
    // An overtaken heartbeat does not show the current state, so its answer starts
    // nothing.
    let others = told.commands.iter().filter(|o| !kill(o)).count();
    assert_eq!(others, 0, "{:?}", told.commands);
}

/// A job's record could not be read for a while, and the results of its tasks were
/// cleared from their machines: with a later release that can read the record they
/// would run again.
#[test]
fn results_of_a_job_with_an_unreadable_record_are_not_cleared() {
    let mut d = Desk::new(5);
    let unreadable = [(JobId::from(JOB), JobState::Queued)];
    d.s.load(Time(d.now), vec![], unreadable.into_iter().collect());
    let done = ended(JOB, 0, Attempt(7), Cause::Done);
    let lost = ended("job-000009", 0, Attempt(8), Cause::Done);
    let token = Token(Epoch(5).base());
    let mut r = report(1, 1, token);
    r.tasks = vec![done, lost];
    for seq in 1..4 {
        r.seq = Seq(seq);
        let a = d.beat(&r).expect("answered");
        let cleared = |job: &str| {
            let of =
                |o: &&Command| matches!(o, Command::Clear { task, .. } if task.job.as_str() == job);
            a.commands.iter().filter(of).count()
        };
        assert_eq!(cleared(JOB), 0, "report {seq}");
        assert_eq!(
            cleared("job-000009"),
            1,
            "results of an unknown job are cleared"
        );
    }
}

/// Takes a small fleet through all kinds of writes: submissions, first starts,
/// progress, ends, a hold and its release, a cancellation, zone fences; under one
/// leader, or with a change of leader.
fn all_kinds_of_writes(late_one: Option<(u64, f64)>, another: bool) -> World {
    let mut w = World::wide(5, &["a", "b", "c"], 8);
    w.late_one = late_one;
    w.run_s = 25.0;
    w.run(2.0);
    let mut at = |in_s: f64, ask: Request| w.at(in_s, Ev::User(ask));
    for n in 1..=4 {
        let j = job(n, if n == 4 { 40 } else { 3 });
        let body = serde_json::to_vec(&j).unwrap();
        for k in 0..4 {
            at(
                3.0 * n as f64 + 4.0 * k as f64,
                Request::Submit(body.clone()),
            );
        }
        for k in 0..60 {
            at(2.8 * k as f64, Request::Poll(j.id.to_string()));
        }
    }
    let hold = br#"{"By":"ann","Kind":"user","Why":"","Stop":true}"#.to_vec();
    let release = br#"{"By":"ann","Kind":"user"}"#.to_vec();
    for k in 0..4 {
        let again = 2.0 * k as f64;
        at(
            10.0 + again,
            Request::Hold("job-000002".into(), hold.clone()),
        );
        at(
            24.0 + again,
            Request::Release("job-000002".into(), release.clone()),
        );
        at(16.0 + again, Request::Cancel("job-000003".into()));
        at(90.0 + again, Request::Cancel("job-000004".into()));
    }
    for n in 1..=4 {
        let j = job(n, if n == 4 { 40 } else { 3 });
        w.specs.insert(j.id.clone(), j);
    }
    w.at(30.0, Ev::CutZone("b".into(), true));
    w.at(60.0, Ev::CutZone("b".into(), false));
    if another {
        // It no longer leads when some of its writes are applied.
        w.at(17.0, Ev::Kill(0));
        w.at(17.5, Ev::Restart(0));
        w.at(18.0, Ev::LateElection(1, 2.5));
        w.at(18.0, Ev::LateElection(2, 4.0));
    }
    w.run(170.0);
    w
}

/// Each write in turn gets no answer and is applied after newer ones of the same
/// controller, or after another one leads.
#[test]
fn any_write_may_be_applied_late() {
    for another in [false, true] {
        let well = all_kinds_of_writes(None, another);
        let all = well.transactions;
        assert!(all > 25, "hardly any writes: {all}");
        assert!(
            well.store.keys().iter().any(|k| k == FENCES_KEY),
            "no fence"
        );
        for n in 1..=all {
            for by in [1.3, 9.0] {
                let mut w = all_kinds_of_writes(Some((n, by)), another);
                let b = &w.broken;
                assert!(
                    b.is_empty(),
                    "write {n}, {by} s, {another}: {:?}",
                    b.first()
                );
                let done = w.state_of(JOB);
                assert_eq!(done, Some(JobState::Done), "write {n}, {by} s, {another}");
                let end = w.state_of("job-000003");
                assert_eq!(
                    end,
                    Some(JobState::Cancelled),
                    "write {n}, {by} s, {another}"
                );
                let i = w.leader().expect("a leader");
                assert!(w.sched(i).jobs.is_empty(), "write {n}, {by} s, {another}");
            }
        }
    }
}

/// A repeated cancellation waits until it is stored, like the first: otherwise a leader
/// could confirm it and end, and the next one would not know of it.
#[test]
fn a_second_cancellation_waits_for_the_record_as_the_first_does() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    d.stores = false;
    let first = d.ask(Request::Cancel(JOB.into()));
    let second = d.ask(Request::Cancel(JOB.into()));
    let poll = d.ask(Request::Poll(JOB.into()));
    assert_eq!((d.status(first), d.status(second)), (None, None));
    assert_eq!(
        d.status(poll),
        Some(503),
        "neither the old state nor the new"
    );
    d.stores = true;
    d.event(Event::Wake);
    for req in [first, second] {
        let a = d.answer(req).expect("answered");
        assert!(a.status == 200 && a.body.contains("\"cancelled\""), "{a:?}");
    }
}

/// Attempts placed while the leadership was proven but stored afterwards are not
/// started by answers during the grace period: another leader may have confirmed a
/// cancellation meanwhile.
#[test]
fn attempts_stored_after_the_leadership_proof_expired_are_not_started() {
    let mut d = Desk::new(5);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.stores = false;
    d.submit(&job(1, 1));
    assert!(d.attempt(JOB, 0).is_some(), "placed");
    d.proves = false;
    d.wait(3.0);
    d.store();
    let told = |d: &mut Desk, seq| d.beat(&report(1, seq, Token(0))).map(|a| a.commands);
    assert_eq!(told(&mut d, 2), Some(vec![]), "within the grace");
    d.proves = true;
    d.event(Event::Wake);
    let runs = told(&mut d, 3).expect("answered");
    assert!(matches!(&runs[..], [Command::Run { .. }]), "{runs:?}");
}
