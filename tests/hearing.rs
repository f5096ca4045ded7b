//! Unreachable workers, late duplicates of reports, a leader that reaches only its
//! workers, and a leader process that was suspended.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{DirectResult, Event};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::cloud::ListedHost;
use hookworks::wire::peer::Request;
use hookworks::wire::worker::*;
use std::collections::BTreeSet;
use world::desk::{Desk, report, task};
use world::job;

const JOB: &str = "job-000001";

fn host(n: u32) -> Host {
    Host::from(format!("n-{n:06}").as_str())
}

/// A scheduler whose machine 1 runs a task; direct calls are refused.
fn with_running_task() -> (Desk, Attempt) {
    let mut d = Desk::new(5);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    d.beat(&report(1, 2, Token(0)));
    let told = d.beat(&report_with_running_task(3, a));
    assert!(told.is_some());
    (d, a)
}

fn report_with_running_task(seq: u64, a: Attempt) -> Report {
    let mut r = report(1, seq, Token(0));
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    r
}

/// From now on no answer reaches machine 1, which has a second task to start; its
/// heartbeats continue until the leader marks it unreachable.
fn become_unreachable(d: &mut Desk, a: Attempt) -> u64 {
    d.hear = false;
    d.submit(&job(2, 1));
    assert!(d.attempt("job-000002", 0).is_some());
    for seq in 4..8 {
        d.wait(3.0);
        d.beat(&report_with_running_task(seq, a));
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_some());
    8
}

/// Best fit kept choosing an unreachable machine, and tasks placed there never started.
#[test]
fn an_unreachable_machine_gets_no_new_tasks() {
    let (mut d, a) = with_running_task();
    let seq = become_unreachable(&mut d, a);
    d.submit(&job(3, 1));
    assert_eq!(
        d.attempt("job-000003", 0),
        None,
        "placed on an unreachable machine"
    );
    // The second task may still start there: it is not placed elsewhere before the
    // lease has expired or a later session is reported.
    d.beat(&report(2, 1, Token(0)));
    assert_eq!(
        d.s.jobs[&"job-000003".into()].active[&TaskIndex(0)].host,
        host(2)
    );
    let there = |d: &Desk| d.s.jobs[&"job-000002".into()].active[&TaskIndex(0)].host == host(1);
    assert!(there(&d));
    let mut r = report_with_running_task(seq, a);
    r.session = Session(2);
    r.tasks.clear();
    d.beat(&r);
    assert!(
        !there(&d),
        "a later session proves that all there has ended"
    );
    assert!(d.s.machines[&host(1)].unreachable_since.is_some());
}

/// A cancellation takes effect through lease expiry although no command gets through:
/// no answer may renew the lease.
#[test]
fn a_cancelled_task_on_an_unreachable_machine_ends_with_the_lease() {
    let (mut d, a) = with_running_task();
    let mut seq = become_unreachable(&mut d, a);
    let answered = d.s.machines[&host(1)].last_renewal;
    d.ask(Request::Cancel(JOB.into()));
    let cancelled = d.now;
    while d.attempt(JOB, 0).is_some() {
        assert!(
            d.beat(&report_with_running_task(seq, a)).is_none(),
            "its lease was renewed"
        );
        seq += 1;
        d.wait(3.0);
        assert!(d.now < cancelled + 30_000_000, "the attempt never ended");
    }
    // Not before the lease must have expired: 20 s by any clock.
    assert!(Time(d.now) > answered + Span::secs(20.0));
}

#[test]
fn an_unreachable_machine_is_used_again_once_it_confirms_the_token() {
    let (mut d, a) = with_running_task();
    let seq = become_unreachable(&mut d, a);
    d.submit(&job(3, 1));
    let token = d.s.machines[&host(1)].token;
    let mut r = report_with_running_task(seq, a);
    r.token = token;
    d.beat(&r);
    assert!(d.attempt("job-000003", 0).is_some());
}

/// Under a flood of jobs answers came too late; most of a fleet counted as unreachable,
/// was answered 503 and lost its tasks as the leases expired.
#[test]
fn late_answers_under_overload_do_not_mark_machines_unreachable() {
    let (mut d, a) = with_running_task();
    d.hear = false;
    d.submit(&job(2, 1));
    for seq in 4..9 {
        d.event(Event::Overloaded);
        d.wait(3.0);
        assert!(d.beat(&report_with_running_task(seq, a)).is_some());
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
    // A machine marked unreachable before is answered during the overload.
    let (mut d, a) = with_running_task();
    let seq = become_unreachable(&mut d, a);
    assert!(d.beat(&report_with_running_task(seq, a)).is_none());
    d.event(Event::Overloaded);
    assert!(d.beat(&report_with_running_task(seq + 1, a)).is_some());
}

/// Each heartbeat consumed a token, of which an epoch has sixteen million.
#[test]
fn heartbeats_consume_no_tokens() {
    let (mut d, a) = with_running_task();
    for seq in 4..60 {
        d.beat(&report_with_running_task(seq, a));
    }
    d.submit(&job(2, 1));
    let second = d.attempt("job-000002", 0).unwrap();
    assert!(second.0 - a.0 < 20, "{} numbers used", second.0 - a.0);
}

#[test]
fn single_lost_answers_do_not_mark_a_machine_unreachable() {
    let (mut d, a) = with_running_task();
    d.submit(&job(2, 1));
    for seq in 4..12 {
        // Every other answer is lost, and the next heartbeat shows no effect of it.
        d.beat(&report_with_running_task(seq, a));
        let second = d.attempt("job-000002", 0).unwrap();
        if seq % 2 == 0 {
            continue;
        }
        let mut r = report_with_running_task(seq, a);
        r.seq = Seq(seq * 100);
        r.tasks
            .push(task("job-000002", 0, second, TaskState::Fetching));
        d.beat(&r);
        break;
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
}

/// If all machines are unreachable, the network is the likely cause, so they are
/// released gradually.
#[test]
fn many_unreachable_machines_are_released_gradually() {
    let mut d = Desk::new(5);
    (d.refuses, d.hear) = (true, false);
    let mut seq = 1;
    while d.now < 4_000_000_000 + 100_000_000 {
        for n in 1..=60 {
            d.beat(&report(n, seq, Token(0)));
        }
        seq += 1;
        d.wait(3.0);
    }
    let unreachable = |m: &&hookworks::sched::machine::Machine| m.unreachable_since.is_some();
    assert!(d.s.machines.values().filter(unreachable).count() > 30);
    let gone: BTreeSet<Host> = d.released().into_iter().collect();
    let gone = gone.len();
    assert!((1..=30).contains(&gone), "{gone} of 60 given back");
}

/// A new leader that inherits a task sent to machine 1 in session 2.
fn with_inherited_task() -> (Desk, Attempt) {
    let mut d = Desk::new(5);
    d.refuses = true;
    let mut r = report(1, 1, Token(0));
    r.session = Session(2);
    d.beat(&r);
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    let j = &d.s.jobs[&JOB.into()];
    let mut j = Job::decode(&j.encode(0), Time(d.now), WallTime(d.now / 1000)).unwrap();
    (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
    let mut d = Desk::with(6, vec![j]);
    d.refuses = true;
    (d, a)
}

/// A duplicate made the worker's current session look new, so its attempts were
/// declared gone and ran twice.
#[test]
fn a_duplicate_from_an_earlier_session_ends_no_attempt() {
    let (mut d, a) = with_inherited_task();
    // The worker never gets the answer to the duplicate.
    d.hear = false;
    d.beat(&report(2, 1, Token(0)));
    let old = Token(Epoch(5).base() + 7);
    d.beat(&report(1, 900, old));
    let mut r = report(1, 3, old);
    r.session = Session(2);
    d.beat(&r);
    assert_eq!(d.attempt(JOB, 0), Some(a), "it may have begun meanwhile");
    // Commands of an earlier leader are not invalidated yet either.
    assert!(d.s.machines[&host(1)].unconfirmed_token.is_some());
    // Sent under this leader, a report of that session shows what is there; a later
    // session proves that everything before has ended.
    r.token = Token(Epoch(6).base());
    r.seq = Seq(4);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.beat(&r);
    assert_eq!(d.attempt(JOB, 0), Some(a));
    (r.session, r.seq, r.tasks) = (Session(3), Seq(5), vec![]);
    d.beat(&r);
    assert_ne!(d.attempt(JOB, 0), Some(a));
}

/// After a failover the leader does not know which machines were released.
#[test]
fn a_machine_known_only_from_a_duplicate_report_gets_no_tasks() {
    let mut d = Desk::new(6);
    (d.lists, d.refuses) = (false, true);
    let mut copy = report(1, 70, Token(Epoch(5).base() + 9));
    copy.notice_s = Some(9.0);
    d.beat(&copy);
    d.submit(&job(1, 1));
    assert_eq!(
        d.attempt(JOB, 0),
        None,
        "placed on a machine that may not exist"
    );
    assert!(d.s.machines[&host(1)].spot_notice_until.is_none());
    // The cloud lists it, so it exists.
    let listed = ListedHost {
        host: host(1),
        addr: None,
        build: "m8".into(),
        zone: "a".into(),
        spot: false,
        status: "running".into(),
        age_s: 60.0,
    };
    d.event(Event::Listed(vec![listed]));
    d.wait(0.25);
    assert!(d.attempt(JOB, 0).is_some());
}

/// A duplicate of a known report neither changes attempts nor counts as contact.
#[test]
fn a_duplicate_of_a_known_report_is_ignored() {
    let (mut d, a) = with_running_task();
    let heard = d.s.machines[&host(1)].last_heartbeat;
    for _ in 0..4 {
        d.wait(2.5);
        d.beat(&report_with_running_task(3, a));
        d.beat(&report(1, 2, Token(0)));
    }
    assert_eq!(d.s.machines[&host(1)].last_heartbeat, heard);
    assert_eq!(d.attempt(JOB, 0), Some(a), "ended by an old report");
}

/// A leader that has lost the state service and all other controllers refuses its
/// workers at once. While it reaches another controller, the outage affects all and it
/// goes on answering.
#[test]
fn a_partitioned_leader_refuses_its_workers() {
    for (alone, busy) in [(true, false), (false, false), (true, true)] {
        let others = [("b", "a"), ("c", "b")];
        let others = others.map(|(l, z)| (ControllerId::from(l), Zone::from(z)));
        let mut d = Desk::set_up(5, vec![], |c| {
            c.controllers = others.iter().cloned().collect()
        });
        d.beat(&report(1, 1, Token(0)));
        d.proves = false;
        for n in 2..20 {
            let away = if alone { vec!["b", "c"] } else { vec!["b"] };
            let away = away.into_iter().map(ControllerId::from).collect();
            d.event(Event::Unreachable(away));
            if busy {
                d.event(Event::Overloaded);
            }
            d.wait(0.5);
            let proven = d.s.may_start(Time(d.now));
            let answered = d.beat(&report(1, n, Token(0))).is_some();
            // A leader too busy to process messages is not considered partitioned.
            assert_eq!(answered, proven || !alone || busy, "{:?} after {n}", d.now);
        }
        assert!(!d.s.may_start(Time(d.now)));
    }
}

/// After a suspension the leader took the missed heartbeats for silence and released
/// the machines that were not the first to report.
#[test]
fn heartbeats_missed_while_the_leader_was_suspended_do_not_count() {
    let mut d = Desk::new(5);
    for n in 1..=5 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.wait(1.0);
    // Less than a lease, but longer than a silent machine is kept.
    d.now += 14_000_000;
    d.event(Event::Tick(WallTime(d.now / 1000)));
    // More than half of them report before the others.
    for n in 1..=3 {
        d.beat(&report(n, 2, Token(0)));
    }
    d.wait(2.0);
    assert_eq!(d.released(), vec![], "released after its own pause");
    // Silence after the suspension counts.
    for k in 0..5 {
        for n in 1..=3 {
            d.beat(&report(n, 3 + k, Token(0)));
        }
        d.wait(2.5);
    }
    let gone: BTreeSet<Host> = d.released().into_iter().collect();
    assert_eq!(gone.len(), 2);
}

/// The leader is suspended between any two steps of a submission: it never reports
/// state that is not stored, and a write of a later epoch stands.
#[test]
fn a_pause_at_any_step_of_a_submission_reveals_nothing_unproven() {
    for pause_at in 0..3 {
        let mut d = Desk::new(5);
        d.beat(&report(1, 1, Token(0)));
        (d.stores, d.proves) = (false, false);
        let pause = |d: &mut Desk, step| {
            if step == pause_at {
                d.now += 10_000_000;
            }
        };
        pause(&mut d, 0);
        let req = d.submit(&job(1, 1));
        pause(&mut d, 1);
        d.wait(0.25);
        pause(&mut d, 2);
        let poll = d.ask(Request::Poll(JOB.into()));
        let beat = d.beat(&report(1, 2, Token(0)));
        assert_ne!(d.status(poll), Some(200), "pause at {pause_at}");
        assert!(d.direct().is_empty());
        if pause_at == 0 {
            assert_eq!(d.status(req), Some(503));
        }
        // Workers' leases are renewed during the grace period, but no command is sent.
        assert!(beat.is_none_or(|a| a.commands.is_empty()));
    }
}

/// An answered direct call proves that the machine exists, whatever token the worker
/// carries.
#[test]
fn an_answered_call_confirms_that_a_machine_exists() {
    let (mut d, a) = with_inherited_task();
    d.refuses = false;
    d.lists = false;
    d.beat(&report(1, 900, Token(3)));
    d.wait(0.25);
    let (call, h, orders) = d.direct().remove(0);
    assert!(orders.commands.is_empty(), "a probe carries no commands");
    let mut r = report(1, 3, orders.token);
    r.session = Session(2);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.event(Event::Direct(call, h, DirectResult::Done(Box::new(r))));
    let m = &d.s.machines[&host(1)];
    assert!(m.existence_confirmed && m.unconfirmed_token.is_none());
    assert_eq!(d.attempt(JOB, 0), Some(a));
}
