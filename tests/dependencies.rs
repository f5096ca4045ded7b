//! Jobs that wait for others, and tasks that may not run for ever.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::{Final, Job};
use hookworks::sched::{Effect, Event};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{ConditionTrigger, JobSpec, JobState, StartCondition};
use hookworks::wire::worker::*;
use serde_json::json;
use world::desk::{Desk, ended, report, task};
use world::job;

fn waits(n: u64, parent: u64, when: ConditionTrigger) -> JobSpec {
    let mut j = job(n, 1);
    let job = JobId::from(format!("job-{parent:06}").as_str());
    let each = false;
    j.start_conditions = vec![StartCondition { job, when, each }];
    j
}

fn id(n: u64) -> JobId {
    format!("job-{n:06}").as_str().into()
}

fn machine(d: &mut Desk) {
    d.beat(&Report {
        addr: None,
        ..report(1, 1, Token(0))
    });
}

/// The job's only task runs, then ends so.
fn play(d: &mut Desk, n: u64, seq: u64, cause: Option<Cause>) {
    let name = id(n).to_string();
    let a = d.attempt(&name, 0).expect("placed");
    let mut r = Report {
        addr: None,
        ..report(1, seq, Token(5 << 24))
    };
    d.beat(&r);
    r.seq = Seq(seq + 1);
    r.tasks = vec![task(&name, 0, a, TaskState::Running)];
    d.beat(&r);
    if let Some(c) = cause {
        r.seq = Seq(seq + 2);
        r.tasks = vec![ended(&name, 0, a, c)];
        d.beat(&r);
    }
}

fn placed(d: &Desk, n: u64) -> bool {
    d.attempt(id(n).as_str(), 0).is_some()
}

#[test]
fn each_condition_opens_when_it_is_met_and_not_before() {
    let mut d = Desk::new(5);
    machine(&mut d);
    d.submit(&job(1, 1));
    for (n, when) in [
        (2, ConditionTrigger::Start),
        (3, ConditionTrigger::End),
        (4, ConditionTrigger::Success),
        (5, ConditionTrigger::Failure),
    ] {
        let asked = d.submit(&waits(n, 1, when));
        assert_eq!(d.status(asked), Some(201));
    }
    d.wait(2.0);
    assert!((2..=5).all(|n| !placed(&d, n)));
    play(&mut d, 1, 10, None);
    d.wait(1.0);
    assert!(placed(&d, 2) && !placed(&d, 3));
    // Its end counts once that is stored.
    d.stores = false;
    let a = d.attempt(id(1).as_str(), 0).unwrap();
    let mut r = report(1, 20, Token(5 << 24));
    r.tasks = vec![ended(id(1).as_str(), 0, a, Cause::Done)];
    d.beat(&r);
    d.wait(2.0);
    assert!(!placed(&d, 3), "begun before the end was stored");
    d.stores = true;
    d.wait(2.0);
    assert!(placed(&d, 3) && placed(&d, 4) && !placed(&d, 5));
    // What can't come about any more is held, with its cause, and not over.
    let j = &d.s.jobs[&id(5)];
    let why = &j.holds.iter().next().expect("held").why;
    assert!(why.contains("failure of job-000001"), "{why}");
}

#[test]
fn a_cancelled_job_is_a_failure_and_no_success() {
    let mut d = Desk::new(5);
    machine(&mut d);
    d.submit(&job(1, 1));
    d.submit(&waits(2, 1, ConditionTrigger::Failure));
    d.submit(&waits(3, 1, ConditionTrigger::Success));
    d.ask(Request::Cancel(id(1).to_string()));
    d.wait(2.0);
    assert!(placed(&d, 2) && !placed(&d, 3) && d.s.jobs[&id(3)].held());
}

/// A hold for a condition that can't be met any more came back with each leader
/// although somebody had released it; and a hold was shown before it was stored.
#[test]
fn a_released_hold_stays_released_and_none_is_shown_before_it_is_stored() {
    let mut d = Desk::new(5);
    d.submit(&job(1, 1));
    d.submit(&waits(2, 1, ConditionTrigger::Success));
    let shown = |d: &Desk| d.s.jobs[&id(2)].detail().into_line().held.len();
    d.stores = false;
    d.ask(Request::Cancel(id(1).to_string()));
    while !d.s.jobs[&id(2)].held() {
        assert!(d.store_one());
    }
    assert_eq!(shown(&d), 0);
    d.store();
    assert_eq!(shown(&d), 1);
    let body = r#"{"By":"ops","Kind":"system"}"#;
    d.ask(Request::Release(id(2).to_string(), body.into()));
    assert_eq!(shown(&d), 1, "the release is not stored yet");
    d.store();
    assert_eq!(shown(&d), 0);
    let record = d.s.jobs[&id(2)].encode(0);
    let mut found = Job::decode(&record, Time(d.now), WallTime(1)).unwrap();
    (found.parts[0].version, found.parts[0].stored_version) = (1, 1);
    let mut next = Desk::with(6, vec![found]);
    let f = Final {
        state: JobState::Cancelled,
        done: 0,
    };
    next.event(Event::FinalRead(id(1), Ok(Some(f))));
    next.wait(1.0);
    let j = &next.s.jobs[&id(2)];
    assert!(j.holds.is_empty() && j.blocked(), "held again, or let go");
}

/// The record of the other job may be gone by the time that a leader ends.
#[test]
fn what_is_met_is_stored_and_what_ended_in_a_take_over_is_read() {
    let mut d = Desk::new(5);
    d.submit(&job(1, 1));
    d.submit(&waits(2, 1, ConditionTrigger::End));
    let found = |d: &Desk, n| {
        let v = d.s.jobs[&id(n)].encode(0);
        let mut j = Job::decode(&v, Time(d.now), WallTime(1)).unwrap();
        (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
        j
    };
    // The earlier leader stored the other's end, and ended itself.
    let mut next = Desk::with(6, vec![found(&d, 2)]);
    machine(&mut next);
    next.wait(1.0);
    assert!(!placed(&next, 2));
    let asks = |f: &Effect| matches!(f, Effect::ReadFinal(i) if *i == id(1));
    assert!(next.fx.iter().any(asks), "never asked what became of it");
    next.event(Event::FinalRead(id(1), Err(())));
    next.wait(1.0);
    assert!(!placed(&next, 2), "no answer is no end");
    let f = Final {
        state: JobState::Done,
        done: 1,
    };
    next.event(Event::FinalRead(id(1), Ok(Some(f))));
    next.wait(1.0);
    assert!(placed(&next, 2));
    // One more take-over: it need not be read again.
    let mut third = Desk::with(7, vec![found(&next, 2)]);
    third.wait(5.0);
    assert!(!third.s.jobs[&id(2)].blocked() && !third.fx.iter().any(asks));
}

#[test]
fn unknown_jobs_and_those_of_other_teams_are_refused() {
    let mut d = Desk::new(5);
    let asked = d.submit(&waits(2, 1, ConditionTrigger::End));
    assert_eq!(d.status(asked), None, "refused without a consistent read");
    let reads: Vec<JobId> =
        d.fx.iter()
            .filter_map(|f| match f {
                Effect::ReadRecord(r, i) if *r == asked => Some(i.clone()),
                _ => None,
            })
            .collect();
    assert_eq!(reads.len(), 2, "the named one and its own");
    for i in reads {
        d.event(Event::RecordRead(asked, i, Ok(None)));
    }
    let a = d.answer(asked).unwrap();
    assert!(
        a.status == 422 && a.body.contains("no job job-000001"),
        "{a:?}"
    );
    // Finished long ago, of the same and of another team.
    let record = |team: &str| json!({"state": "done", "done": 1, "j": {"t": team}});
    for (n, team, status) in [(3, "blue", 422), (4, "red", 201)] {
        let asked = d.submit(&waits(n, 9, ConditionTrigger::Success));
        d.event(Event::RecordRead(asked, id(9), Ok(Some(record(team)))));
        d.event(Event::RecordRead(asked, id(n), Ok(None)));
        assert_eq!(d.status(asked), Some(status), "{team}");
    }
    // One whose own record says that it is over: never refused.
    let asked = d.submit(&waits(5, 8, ConditionTrigger::End));
    d.event(Event::RecordRead(asked, id(8), Ok(None)));
    d.event(Event::RecordRead(
        asked,
        id(5),
        Ok(Some(json!({"state": "done", "done": 1}))),
    ));
    let a = d.answer(asked).unwrap();
    assert!(a.status == 200 && a.body.contains("done"), "{a:?}");
    let body = |s: &str| s.replace("\"Id\":\"job-000002\"", "\"Id\":\"job-000001\"");
    let text = serde_json::to_string(&waits(2, 1, ConditionTrigger::End)).unwrap();
    let asked = d.ask(Request::Submit(body(&text).into_bytes()));
    let a = d.answer(asked).unwrap();
    assert!(a.status == 400 && a.body.contains("itself"), "{a:?}");
}

/// The counterpart of a task, one by one; what is done counts once stored.
#[test]
fn tasks_wait_for_their_counterparts_one_by_one() {
    let mut d = Desk::new(5);
    machine(&mut d);
    d.submit(&job(1, 3));
    let mut child = waits(2, 1, ConditionTrigger::Success);
    (child.tasks, child.start_conditions[0].each) = (3, true);
    let asked = d.submit(&child);
    assert_eq!(d.status(asked), Some(201));
    let live = |d: &Desk, n: u64| {
        d.s.jobs
            .get(&id(n))
            .map_or(vec![], |j| j.active.keys().map(|t| t.0).collect::<Vec<_>>())
    };
    assert_eq!((live(&d, 1), live(&d, 2)), (vec![0, 1, 2], vec![]));
    let a = d.attempt(id(1).as_str(), 1).unwrap();
    let mut r = report(1, 10, Token(5 << 24));
    r.addr = None;
    d.beat(&r);
    r.seq = Seq(11);
    r.tasks = vec![ended(id(1).as_str(), 1, a, Cause::Done)];
    d.stores = false;
    d.beat(&r);
    d.wait(1.0);
    assert_eq!(live(&d, 2), [0u32; 0], "begun before the other was stored");
    d.stores = true;
    d.wait(1.0);
    assert_eq!(live(&d, 2), [1]);
    // A new leader finds out by the other's record.
    let found = |d: &Desk, n| {
        let v = d.s.jobs[&id(n)].encode(0);
        let mut j = Job::decode(&v, Time(d.now), WallTime(1)).unwrap();
        (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
        j
    };
    let mut next = Desk::with(6, vec![found(&d, 1), found(&d, 2)]);
    next.wait(1.0);
    assert_eq!(next.s.jobs[&id(2)].pending(), 0);
    // Or that it is over: then all may start.
    let mut last = Desk::with(7, vec![found(&d, 2)]);
    assert_eq!(last.s.jobs[&id(2)].pending(), 0);
    let f = Final {
        state: JobState::Done,
        done: 3,
    };
    last.event(Event::FinalRead(id(1), Ok(Some(f))));
    assert_eq!(last.s.jobs[&id(2)].pending(), 2);
    // An array of another size has no counterparts.
    let mut odd = waits(3, 2, ConditionTrigger::Success);
    (odd.tasks, odd.start_conditions[0].each) = (4, true);
    let asked = d.submit(&odd);
    assert_eq!(d.status(asked), Some(422));
}

/// Sixty-four submissions once could ask for a thousand records at a time, out
/// of the requests that starts are stored with.
#[test]
fn reads_for_submissions_have_a_bound_together() {
    let mut d = Desk::new(5);
    let mut statuses = vec![];
    for n in 1..=5u64 {
        let mut j = waits(n, 100, ConditionTrigger::End);
        let named = |k| StartCondition {
            job: id(100 * n + k),
            when: ConditionTrigger::End,
            each: false,
        };
        j.start_conditions = (1..=16).map(named).collect();
        let asked = d.submit(&j);
        statuses.push(d.status(asked));
    }
    let reads = d.fx.iter().filter(|f| matches!(f, Effect::ReadRecord(..)));
    assert_eq!(reads.count(), 3 * 17);
    assert_eq!(statuses, [None, None, None, Some(503), Some(503)]);
}

/// Each event looks at the children of one job, however long the chain.
#[test]
fn a_long_chain_is_one_step_at_a_time() {
    let mut d = Desk::new(5);
    d.submit(&job(1, 1));
    for n in 2..=400 {
        let asked = d.submit(&waits(n, n - 1, ConditionTrigger::End));
        assert_eq!(d.status(asked), Some(201), "{n}");
    }
    let written = d.written;
    d.ask(Request::Cancel(id(1).to_string()));
    d.wait(1.0);
    assert!(!d.s.jobs[&id(2)].blocked() && d.s.jobs[&id(3)].blocked());
    assert!(d.written - written <= 6, "{}", d.written - written);
}

#[test]
fn a_task_past_its_limit_saves_and_ends_and_that_counts() {
    let mut d = Desk::new(5);
    machine(&mut d);
    let mut j = job(1, 1);
    (j.limit_s, j.checkpoint_s, j.save_s) = (Some(30.0), 10.0, 3.0);
    d.submit(&j);
    play(&mut d, 1, 10, None);
    let a = d.attempt(id(1).as_str(), 0).unwrap();
    let mut r = Report {
        addr: None,
        ..report(1, 20, Token(5 << 24))
    };
    r.tasks = vec![task(id(1).as_str(), 0, a, TaskState::Running)];
    let mut told = vec![];
    for k in 0..50 {
        d.now += Span::secs(1.0).0;
        r.seq = Seq(20 + k);
        d.event(Event::Tick(WallTime(d.now / 1000)));
        let orders = d.beat(&r).unwrap().commands;
        if let [Command::Kill { leeway_s, .. }] = orders[..] {
            told.push((k, leeway_s));
        }
    }
    let (first, leeway) = told[0];
    assert!((28..=31).contains(&first) && leeway >= 3.0, "{told:?}");
    let last = told.last().unwrap();
    assert!(
        last.1 == 0.0 && last.0 - first >= 4,
        "never ended: {told:?}"
    );
    r.seq = Seq(99);
    r.tasks = vec![ended(id(1).as_str(), 0, a, Cause::Stopped)];
    d.beat(&r);
    let h = &d.s.jobs[&id(1)].history;
    assert_eq!(h.count(hookworks_job_lifecycle::JobEvent::TimedOut), 1);
    assert_eq!(
        h.usage().useful_ms % 10_000,
        0,
        "progress up to a checkpoint"
    );
    d.wait(1.0);
    assert!(
        d.attempt(id(1).as_str(), 0).is_some_and(|b| b != a),
        "tried again"
    );
}
