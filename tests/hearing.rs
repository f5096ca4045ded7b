//! Machines that hear nothing, copies of reports that come late, a controller alone
//! with its workers, and one that stood still.

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

/// A desk whose machine 1 runs a task; calls to workers are refused.
fn at_work() -> (Desk, Attempt) {
    let mut d = Desk::new(5);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    d.beat(&report(1, 2, Token(0)));
    let told = d.beat(&runs(3, a));
    assert!(told.is_some());
    (d, a)
}

fn runs(seq: u64, a: Attempt) -> Report {
    let mut r = report(1, seq, Token(0));
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    r
}

/// From now on no answer reaches machine 1, which has a second task to start; its
/// reports go on until the leader sees that.
fn goes_deaf(d: &mut Desk, a: Attempt) -> u64 {
    d.hear = false;
    d.submit(&job(2, 1));
    assert!(d.attempt("job-000002", 0).is_some());
    for seq in 4..8 {
        d.wait(3.0);
        d.beat(&runs(seq, a));
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_some());
    8
}

/// Best fit chose it again and again, and what was placed there never began.
#[test]
fn a_machine_that_shows_no_effect_of_what_it_is_told_gets_nothing_more() {
    let (mut d, a) = at_work();
    let seq = goes_deaf(&mut d, a);
    d.submit(&job(3, 1));
    assert_eq!(
        d.attempt("job-000003", 0),
        None,
        "placed where nobody listens"
    );
    // What it was told may yet begin there: it is not placed elsewhere before the
    // lease must be over, or a later session is there.
    d.beat(&report(2, 1, Token(0)));
    assert_eq!(
        d.s.jobs[&"job-000003".into()].live[&TaskIndex(0)].host,
        host(2)
    );
    let there = |d: &Desk| d.s.jobs[&"job-000002".into()].live[&TaskIndex(0)].host == host(1);
    assert!(there(&d));
    let mut r = runs(seq, a);
    r.session = Session(2);
    r.tasks.clear();
    d.beat(&r);
    assert!(
        !there(&d),
        "a later session proves that all there has ended"
    );
    assert!(d.s.machines[&host(1)].unreachable_since.is_some());
}

/// A cancellation holds by the lease, even though no command gets through: nothing
/// that it might hear renews it.
#[test]
fn what_is_to_end_there_ends_with_the_lease() {
    let (mut d, a) = at_work();
    let mut seq = goes_deaf(&mut d, a);
    let answered = d.s.machines[&host(1)].answered;
    d.ask(Request::Cancel(JOB.into()));
    let cancelled = d.now;
    while d.attempt(JOB, 0).is_some() {
        assert!(d.beat(&runs(seq, a)).is_none(), "its lease was renewed");
        seq += 1;
        d.wait(3.0);
        assert!(d.now < cancelled + 30_000_000, "never taken for gone");
    }
    // Not a moment before it must have run out: 20 s, by any clock.
    assert!(Time(d.now) > answered + Span::secs(20.0));
}

#[test]
fn it_is_used_again_once_it_has_shown_that_it_hears() {
    let (mut d, a) = at_work();
    let seq = goes_deaf(&mut d, a);
    d.submit(&job(3, 1));
    let token = d.s.machines[&host(1)].token;
    let mut r = runs(seq, a);
    r.token = token;
    d.beat(&r);
    assert!(d.attempt("job-000003", 0).is_some());
}

/// Under a flood of jobs answers came too late, and most of a fleet counted as deaf,
/// was answered 503, and lost what it ran with its leases.
#[test]
fn answers_that_come_too_late_say_nothing_of_a_machine() {
    let (mut d, a) = at_work();
    d.hear = false;
    d.submit(&job(2, 1));
    for seq in 4..9 {
        d.event(Event::Behind);
        d.wait(3.0);
        assert!(d.beat(&runs(seq, a)).is_some());
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
    // One that was found so before is answered on meanwhile.
    let (mut d, a) = at_work();
    let seq = goes_deaf(&mut d, a);
    assert!(d.beat(&runs(seq, a)).is_none());
    d.event(Event::Behind);
    assert!(d.beat(&runs(seq + 1, a)).is_some());
}

/// Each report took a token, of which a term has sixteen million.
#[test]
fn a_report_takes_no_token() {
    let (mut d, a) = at_work();
    for seq in 4..60 {
        d.beat(&runs(seq, a));
    }
    d.submit(&job(2, 1));
    let second = d.attempt("job-000002", 0).unwrap();
    assert!(second.0 - a.0 < 20, "{} numbers used", second.0 - a.0);
}

/// One lost answer is nothing.
#[test]
fn an_answer_that_is_lost_now_and_then_puts_nobody_aside() {
    let (mut d, a) = at_work();
    d.submit(&job(2, 1));
    for seq in 4..12 {
        // Every other one is lost, and the next report shows no effect of it.
        d.beat(&runs(seq, a));
        let second = d.attempt("job-000002", 0).unwrap();
        if seq % 2 == 0 {
            continue;
        }
        let mut r = runs(seq, a);
        r.seq = Seq(seq * 100);
        r.tasks
            .push(task("job-000002", 0, second, TaskState::Fetching));
        d.beat(&r);
        break;
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
}

/// A whole zone that hears nothing is a matter of the network, as a rule.
#[test]
fn many_that_hear_nothing_are_given_back_one_by_one() {
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
    let deaf = |m: &&hookworks::sched::machine::Machine| m.unreachable_since.is_some();
    assert!(d.s.machines.values().filter(deaf).count() > 30);
    let gone: BTreeSet<Host> = d.released().into_iter().collect();
    let gone = gone.len();
    assert!((1..=30).contains(&gone), "{gone} of 60 given back");
}

/// A desk that inherits a task, told to machine 1 in session 2.
fn inherits() -> (Desk, Attempt) {
    let mut d = Desk::new(5);
    d.refuses = true;
    let mut r = report(1, 1, Token(0));
    r.session = Session(2);
    d.beat(&r);
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    let j = &d.s.jobs[&JOB.into()];
    let mut j = Job::decode(&j.encode(0), Time(d.now), WallTime(d.now / 1000)).unwrap();
    (j.parts[0].ver, j.parts[0].stored) = (1, 1);
    let mut d = Desk::with(6, vec![j]);
    d.refuses = true;
    (d, a)
}

/// The copy made the worker's present session look new, so that what it had been
/// told was taken for gone, and ran twice.
#[test]
fn a_copy_from_an_earlier_session_ends_nothing() {
    let (mut d, a) = inherits();
    // The worker never gets the answer to the copy.
    d.hear = false;
    d.beat(&report(2, 1, Token(0)));
    let old = Token(Epoch(5).base() + 7);
    d.beat(&report(1, 900, old));
    let mut r = report(1, 3, old);
    r.session = Session(2);
    d.beat(&r);
    assert_eq!(d.attempt(JOB, 0), Some(a), "it may have begun meanwhile");
    // Nor is what an earlier leader told it out of force yet.
    assert!(d.s.machines[&host(1)].doubt.is_some());
    // Sent in this term, a report of that session says what there is; and a later
    // one proves that all that was there before has ended.
    r.token = Token(Epoch(6).base());
    r.seq = Seq(4);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.beat(&r);
    assert_eq!(d.attempt(JOB, 0), Some(a));
    (r.session, r.seq, r.tasks) = (Session(3), Seq(5), vec![]);
    d.beat(&r);
    assert_ne!(d.attempt(JOB, 0), Some(a));
}

/// After a take-over nobody remembers which machines were given back.
#[test]
fn a_machine_of_which_there_is_only_a_copy_gets_nothing() {
    let mut d = Desk::new(6);
    (d.lists, d.refuses) = (false, true);
    let mut copy = report(1, 70, Token(Epoch(5).base() + 9));
    copy.notice_s = Some(9.0);
    d.beat(&copy);
    d.submit(&job(1, 1));
    assert_eq!(d.attempt(JOB, 0), None, "placed on a ghost");
    assert!(d.s.machines[&host(1)].notice_until.is_none());
    // Listed, it is there after all.
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

/// A copy of what is known has no effect: not as news, not as a sign of life.
#[test]
fn a_copy_of_a_known_report_is_no_sign_of_life() {
    let (mut d, a) = at_work();
    let heard = d.s.machines[&host(1)].heard;
    for _ in 0..4 {
        d.wait(2.5);
        d.beat(&runs(3, a));
        d.beat(&report(1, 2, Token(0)));
    }
    assert_eq!(d.s.machines[&host(1)].heard, heard);
    assert_eq!(
        d.attempt(JOB, 0),
        Some(a),
        "an old report said that it is gone"
    );
}

/// A leader that has lost the state service and the others, but not its workers,
/// sends them away at once; with others in reach it is an outage for all.
#[test]
fn a_leader_alone_with_its_workers_sends_them_away() {
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
            d.event(Event::OutOfReach(away));
            if busy {
                d.event(Event::Behind);
            }
            d.wait(0.5);
            let proven = d.s.may_start(Time(d.now));
            let answered = d.beat(&report(1, n, Token(0))).is_some();
            // One that is too busy to hear the others is not alone for that.
            assert_eq!(answered, proven || !alone || busy, "{:?} after {n}", d.now);
        }
        assert!(!d.s.may_start(Time(d.now)));
    }
}

/// It woke, took what it had not heard for silence, and released those machines
/// that did not report first.
#[test]
fn what_was_not_heard_while_standing_still_is_no_silence() {
    let mut d = Desk::new(5);
    for n in 1..=5 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.wait(1.0);
    // Less than a lease, and more than the patience with a silent machine.
    d.now += 14_000_000;
    d.event(Event::Tick(WallTime(d.now / 1000)));
    // More than half of them report before the others.
    for n in 1..=3 {
        d.beat(&report(n, 2, Token(0)));
    }
    d.wait(2.0);
    assert_eq!(d.released(), vec![], "released after its own pause");
    // Silent from then on is silent.
    for k in 0..5 {
        for n in 1..=3 {
            d.beat(&report(n, 3 + k, Token(0)));
        }
        d.wait(2.5);
    }
    let gone: BTreeSet<Host> = d.released().into_iter().collect();
    assert_eq!(gone.len(), 2);
}

/// The freeze falls between any two steps of a submission: it is never told what
/// is not stored, and a write of a later term stands.
#[test]
fn a_pause_at_any_step_of_a_submission_tells_nothing_unproven() {
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
        // The lease of the workers goes on for the grace, and no command leaves.
        assert!(beat.is_none_or(|a| a.commands.is_empty()));
    }
}

/// An answered call proves presence, whatever token the worker has heard.
#[test]
fn a_machine_that_answers_a_call_is_there() {
    let (mut d, a) = inherits();
    d.refuses = false;
    d.lists = false;
    d.beat(&report(1, 900, Token(3)));
    d.wait(0.25);
    let (call, h, orders) = d.direct().remove(0);
    assert!(orders.commands.is_empty(), "asked for nothing but its word");
    let mut r = report(1, 3, orders.token);
    r.session = Session(2);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.event(Event::Direct(call, h, DirectResult::Done(Box::new(r))));
    let m = &d.s.machines[&host(1)];
    assert!(m.certain && m.doubt.is_none());
    assert_eq!(d.attempt(JOB, 0), Some(a));
}
