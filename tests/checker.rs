//! The checker of the tests' world sees what it is for: for each rule a fault is put
//! in on purpose, past the controllers, and noticed.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Final;
use hookworks::store::{TxnOutcome, final_key};
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::state::{Change, Txn};
use hookworks::wire::user::{ConditionTrigger, JobKind, JobSpec, JobState, StartCondition};
use hookworks::wire::worker::{Command, Commands};
use world::store::{Handle, Limits, Why};
use world::submissions::Verdict;
use world::{Ev, World, job};

const JOB: &str = "job-000001";

/// A world in which that job runs, and as many empty machines as there may be.
fn running(change: impl Fn(&mut JobSpec)) -> World {
    let mut w = World::new(3, 3);
    w.run_s = 400.0;
    w.run(2.0);
    let mut j = job(1, 2);
    change(&mut j);
    w.submit(j);
    w.run(30.0);
    w.assert_rules();
    assert!(w.started > 0);
    w
}

fn task(ix: u32) -> TaskId {
    TaskId {
        job: JOB.into(),
        index: TaskIndex(ix),
    }
}

/// A machine in that zone, of that kind, which nobody has rented, runs a task.
fn starts_elsewhere(w: &mut World, zone: &str, spot: bool, ix: u32, attempt: u64) {
    let host = Host::from(format!("n-9{ix:05}").as_str());
    let mut m = world::worker::Worker::new(host.clone(), zone.into(), spot, w.now);
    m.up = true;
    let orders = Commands {
        token: Token(u64::MAX / 4),
        session: Session(1),
        commands: vec![Command::Run {
            task: task(ix),
            attempt: Attempt(attempt),
        }],
    };
    assert!(m.direct(w.now, orders, &w.specs, 400.0).is_ok());
    w.workers.insert(host, m);
    w.run(2.0);
}

fn noticed(w: &World, rule: &str) -> bool {
    w.broken.iter().any(|b| b.contains(rule))
}

/// A user is told this, whoever says so.
fn told(w: &mut World, ask: Request, status: u16, state: &str) {
    let id = JOB;
    let body = format!(r#"{{"Id":"{id}","Status":"{state}","done":0,"running":0}}"#);
    w.told_by_mistake(ask, Answer::new(status, body));
}

#[test]
fn a_task_on_two_machines() {
    let mut w = running(|_| {});
    starts_elsewhere(&mut w, "a", true, 0, 7);
    assert!(noticed(&w, "ran_twice"), "{:?}", w.broken);
}

#[test]
fn more_than_a_team_may_use() {
    let mut w = running(|j| j.tasks = 9);
    for ix in 0..9 {
        if !w.is_on(&task(ix)) {
            starts_elsewhere(&mut w, "a", true, ix, 7);
        }
    }
    assert!(noticed(&w, "quota"), "{:?}", w.broken);
}

#[test]
fn a_task_in_a_place_that_its_job_does_not_allow() {
    let mut w = running(|j| (j.tasks, j.spot) = (9, false));
    starts_elsewhere(&mut w, "a", true, 8, 7);
    assert!(noticed(&w, "wrong_place"), "{:?}", w.broken);
    let mut w = running(|j| (j.tasks, j.zone) = (9, Some("b".into())));
    starts_elsewhere(&mut w, "a", true, 8, 7);
    assert!(noticed(&w, "wrong_place"), "{:?}", w.broken);
    let mut w = running(|j| (j.tasks, j.one_zone) = (9, true));
    let zones = ["a", "b"].into_iter().zip([7, 8]);
    for (zone, ix) in zones {
        starts_elsewhere(&mut w, zone, true, ix, 7);
    }
    assert!(noticed(&w, "wrong_place"), "{:?}", w.broken);
    let mut w = running(|j| (j.kind, j.tasks, j.spread) = (JobKind::Service, 4, true));
    for ix in 0..4 {
        starts_elsewhere(&mut w, "a", true, ix, 7);
    }
    assert!(noticed(&w, "not scattered"), "{:?}", w.broken);
}

/// On a machine that is cut off and hangs, too; not a moment before 42 s.
#[test]
fn a_task_that_outlives_its_cancellation() {
    let mut w = running(|_| {});
    told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
    w.run(41.9);
    assert!(!noticed(&w, "ran_cancelled"));
    w.run(0.3);
    assert!(noticed(&w, "ran_cancelled"));
    let mut w = running(|_| {});
    w.user(Request::Cancel(JOB.into()));
    w.run(60.0);
    assert!(!noticed(&w, "ran_cancelled"), "{:?}", w.broken);
    // It starts long after: out of nowhere, on a machine that then hangs.
    starts_elsewhere(&mut w, "a", true, 0, 7);
    w.at(0.0, Ev::Hang("n-900000".into(), true));
    w.run(1.0);
    assert!(noticed(&w, "ran_cancelled"));
}

/// Its machines hang through the cancellation and the lease, and go on with it long
/// after; and a healthy worker, which ends all with its lease, is not blamed.
#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung() {
    for (hangs_s, forgets, broken) in [
        (15.0, false, false),
        (60.0, false, false),
        (60.0, true, true),
        (43.5, true, true),
    ] {
        let mut w = running(|_| {});
        w.refuses_releases = true;
        for h in w.hosts_of(&JOB.into()) {
            w.workers.get_mut(&h).unwrap().forgets_lease = forgets;
            w.at(0.0, Ev::Hang(h.clone(), true));
            w.at(hangs_s, Ev::Hang(h, false));
        }
        w.run(0.1);
        w.user(Request::Cancel(JOB.into()));
        w.run(41.9);
        assert!(!noticed(&w, "ran_cancelled"));
        w.run(30.0);
        assert_eq!(noticed(&w, "ran_cancelled"), broken, "{hangs_s} {forgets}");
    }
}

#[test]
fn an_accepted_job_that_is_not_known() {
    for status in [400, 404, 422] {
        let mut w = running(|_| {});
        told(&mut w, Request::Poll(JOB.into()), status, "queued");
        assert!(noticed(&w, "forgotten"), "{status}");
    }
    // No answer for 75 s, once all troubles are over.
    for (silent_s, forgotten) in [(70.0, false), (80.0, true)] {
        let mut w = running(|_| {});
        w.ignores_one_in = Some(1);
        w.all_quiet();
        w.run(silent_s);
        w.user(Request::Poll(JOB.into()));
        w.run(0.1);
        assert_eq!(noticed(&w, "forgotten"), forgotten, "{:?}", w.broken);
    }
}

/// A job that is accepted, and of which no controller knows.
fn hidden(w: &mut World, change: impl Fn(&mut JobSpec)) {
    let mut j = job(2, 1);
    change(&mut j);
    let body = serde_json::to_vec(&j).unwrap();
    w.specs.insert(j.id.clone(), j);
    let view = r#"{"Id":"job-000002","Status":"queued","done":0,"running":0}"#;
    w.told_by_mistake(Request::Submit(body), Answer::new(201, view.into()));
}

/// For 90 s, with all troubles over, beside one machine with room for it.
#[test]
fn a_job_left_waiting_while_a_machine_has_room() {
    let neglected = |change: fn(&mut JobSpec), seconds: f64| {
        let mut w = running(|_| {});
        hidden(&mut w, change);
        w.all_quiet();
        w.run(seconds);
        noticed(&w, "neglected: job-000002")
    };
    assert!(!neglected(|_| {}, 89.0));
    assert!(neglected(|_| {}, 93.0));
    assert!(neglected(|j| (j.kind, j.tasks) = (JobKind::Gang, 2), 93.0));
    // Too large for the room there is, as a whole, by itself or beside its team's.
    assert!(!neglected(|j| (j.kind, j.tasks) = (JobKind::Gang, 3), 93.0));
    assert!(!neglected(|j| j.cpus = 5.0, 93.0));
    assert!(!neglected(|j| j.gpus = 2.5, 93.0));
    // On no machine that there is.
    assert!(!neglected(|j| j.spot = false, 93.0));
    assert!(!neglected(|j| j.zone = Some("b".into()), 93.0));
}

/// Its condition is not met as long as the other one runs.
#[test]
fn a_job_that_may_not_start_is_not_left_waiting() {
    let mut w = running(|_| {});
    hidden(&mut w, |j| {
        let (job, when, each) = (JOB.into(), ConditionTrigger::End, false);
        j.start_conditions = vec![StartCondition { job, when, each }];
    });
    w.all_quiet();
    w.run(120.0);
    assert!(!noticed(&w, "neglected"), "{:?}", w.broken);
}

#[test]
fn a_job_that_nobody_submitted() {
    let mut w = World::new(3, 3);
    told(&mut w, Request::Poll(JOB.into()), 200, "queued");
    assert!(noticed(&w, "invented"));
}

#[test]
fn a_job_called_done_too_early() {
    let mut w = running(|_| {});
    told(&mut w, Request::Poll(JOB.into()), 200, "done");
    assert!(noticed(&w, "not_done"));
}

#[test]
fn an_older_answer_after_a_newer_one() {
    for (first, then) in [("cancelled", "running"), ("cancelled", "done")] {
        let mut w = running(|_| {});
        told(&mut w, Request::Cancel(JOB.into()), 200, first);
        assert!(!noticed(&w, "went_back"));
        told(&mut w, Request::Poll(JOB.into()), 200, then);
        assert!(noticed(&w, "went_back"));
    }
    // Called cancelled, though its user never asked for that.
    let mut w = running(|_| {});
    told(&mut w, Request::Poll(JOB.into()), 200, "cancelled");
    assert!(noticed(&w, "went_back"), "{:?}", w.broken);
}

/// Fault put in: a submission that lacks a field, or can never run, is answered as if it
/// had been accepted; one that may run is refused.
#[test]
fn a_submission_that_is_answered_wrongly() {
    let good = serde_json::to_value(job(1, 2)).unwrap();
    let with = |field: &str, v: serde_json::Value| {
        let mut j = good.clone();
        j[field] = v;
        j.to_string().into_bytes()
    };
    let mut lacks = good.clone();
    lacks.as_object_mut().unwrap().remove("StowS");
    let lacks = lacks.to_string().into_bytes();
    let cases = [
        (with("Crew", "nobody".into()), Verdict::NeverRuns),
        (with("Vcpus", 8.5.into()), Verdict::NeverRuns),
        (with("Builds", serde_json::json!(["x"])), Verdict::NeverRuns),
        (with("Yard", "elsewhere".into()), Verdict::NeverRuns),
        (with("Pieces", 1.5.into()), Verdict::Malformed),
        (with("Vcpus", (-1).into()), Verdict::Malformed),
        (with("OneZone", serde_json::Value::Null), Verdict::Malformed),
        (lacks, Verdict::Malformed),
        (b"[]".to_vec(), Verdict::Malformed),
        (good.to_string().into_bytes(), Verdict::Accepted),
    ];
    for (body, verdict) in cases {
        let text = String::from_utf8_lossy(&body).into_owned();
        for status in [201, 400, 422] {
            let mut w = World::new(3, 1);
            w.specs.insert(JOB.into(), job(1, 2));
            assert_eq!(w.verdict(&body), verdict, "{text}");
            told(&mut w, Request::Submit(body.clone()), status, "queued");
            let right = match verdict {
                Verdict::Accepted => 201,
                Verdict::Malformed => 400,
                Verdict::NeverRuns => 422,
            };
            let rule = match status {
                201 => "accepted_wrongly",
                _ => "refused_wrongly",
            };
            assert_eq!(noticed(&w, rule), status != right, "{status} {text}");
        }
    }
}

/// Fault put in: the second answer to the same body is another one.
#[test]
fn a_submission_that_is_answered_in_two_ways() {
    let mut body = job(1, 2);
    body.team = "nobody".into();
    let ask = Request::Submit(serde_json::to_vec(&body).unwrap());
    let text = |why: &str| Answer::error(422, why);
    let says = |second: Answer| {
        let mut w = World::new(3, 1);
        w.told_by_mistake(ask.clone(), text("Crew: no team nobody"));
        w.told_by_mistake(ask.clone(), Answer::later("no leader", 1));
        w.told_by_mistake(ask.clone(), second);
        noticed(&w, "answers_differ")
    };
    assert!(!says(text("Crew: no team nobody")));
    assert!(says(text("Vcpus: more than the team's limit")));
    assert!(says(Answer::error(400, "Crew: no team nobody")));
}

/// Fault put in: an accepted job is refused as its submission is repeated.
#[test]
fn a_repeated_submission_that_is_refused() {
    for status in [400, 422] {
        let mut w = running(|_| {});
        let body = serde_json::to_vec(&w.specs[&JobId::from(JOB)]).unwrap();
        told(&mut w, Request::Submit(body), status, "queued");
        assert!(noticed(&w, "forgotten"), "{status}");
    }
}

/// Faults put in: a command to run leaves after the cancellation was told, or a machine
/// starts a task with none under way. One that left before may be carried out late.
#[test]
fn a_start_after_a_confirmed_cancellation() {
    let run = |ix| Command::Run {
        task: task(ix),
        attempt: Attempt(7),
    };
    let host = Host::from("n-900007");
    let mut w = running(|j| j.tasks = 9);
    w.commands_leave(&host, &[run(7)]);
    told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
    starts_elsewhere(&mut w, "a", true, 7, 7);
    assert!(!noticed(&w, "started_cancelled"), "{:?}", w.broken);
    w.commands_leave(&host, &[run(8)]);
    assert!(noticed(&w, "started_cancelled"));
    let mut w = running(|j| j.tasks = 9);
    told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
    starts_elsewhere(&mut w, "a", true, 8, 7);
    assert!(noticed(&w, "started_cancelled"));
}
/// What was told before the question was sent counts, by whomever; of two questions
/// that overlap either may be answered first.
#[test]
fn an_answer_older_than_one_told_before_the_question_was_sent() {
    let view = |state: &str| format!(r#"{{"Id":"{JOB}","Status":"{state}","done":0,"running":0}}"#);
    let poll = || Request::Poll(JOB.into());
    for (sent_later, went_back) in [(true, true), (false, false)] {
        let mut w = running(|_| {});
        let before = w.now;
        w.run(1.0);
        told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
        w.run(1.0);
        let sent = if sent_later { w.now } else { before };
        w.told_by_mistake_since(poll(), Answer::new(200, view("running")), sent);
        assert_eq!(noticed(&w, "went_back"), went_back, "{:?}", w.broken);
        // Two final states are never both right.
        w.told_by_mistake_since(poll(), Answer::new(200, view("done")), before);
        assert!(noticed(&w, "went_back"), "{:?}", w.broken);
    }
    for status in [400, 404, 422] {
        for (sent_later, forgotten) in [(true, true), (false, false)] {
            let mut w = running(|_| {});
            let sent = if sent_later { w.now } else { 1 };
            let again = Request::Submit(serde_json::to_vec(&w.specs[&JobId::from(JOB)]).unwrap());
            for ask in [poll(), again] {
                let a = Answer::new(status, "{}".into());
                w.told_by_mistake_since(ask, a, sent);
                assert_eq!(noticed(&w, "forgotten"), forgotten, "{:?}", w.broken);
            }
        }
    }
}

/// The other job, which needs the first, is accepted and known to users alone.
fn needs_the_first(w: &mut World) -> JobId {
    hidden(w, |_| {});
    let id = JobId::from("job-000002");
    w.add_needs(&id, [JOB.into()].into());
    id
}

fn other_task(id: &JobId) -> TaskId {
    TaskId {
        job: id.clone(),
        index: TaskIndex(0),
    }
}

/// Starts the only task of the other job on a machine that nobody has rented.
fn starts_other(w: &mut World, id: &JobId) {
    let host = Host::from("n-900100");
    let mut m = world::worker::Worker::new(host.clone(), "a".into(), true, w.now);
    m.up = true;
    let orders = Commands {
        token: Token(u64::MAX / 4),
        session: Session(1),
        commands: vec![Command::Run {
            task: other_task(id),
            attempt: Attempt(7),
        }],
    };
    assert!(m.direct(w.now, orders, &w.specs, 400.0).is_ok());
    w.workers.insert(host, m);
    w.run(2.0);
}

/// What is stored of a job that ended so.
fn end(state: JobState) -> serde_json::Value {
    serde_json::to_value(Final { state, done: 2 }).unwrap()
}

/// Faults put in: a task starts, or is told to, while a job that its job needs runs;
/// while its end is not stored although all its tasks have ended; and while its end is
/// stored although a task of it has not ended.
#[test]
fn a_start_before_a_job_that_it_needs_is_done() {
    let mut w = running(|_| {});
    let id = needs_the_first(&mut w);
    assert!(!noticed(&w, "too_early"));
    starts_other(&mut w, &id);
    assert!(
        noticed(&w, "too_early: job-000002/0 starts"),
        "{:?}",
        w.broken
    );

    let done = |ended: bool, stored: bool| {
        let mut w = running(|_| {});
        let id = needs_the_first(&mut w);
        if ended {
            w.done_tasks.extend([task(0), task(1)]);
        }
        if stored {
            w.store.put(&final_key(&JOB.into()), end(JobState::Done));
        }
        let run = Command::Run {
            task: other_task(&id),
            attempt: Attempt(7),
        };
        w.commands_leave(&"n-900100".into(), &[run]);
        let told = noticed(&w, "too_early: job-000002/0 is told to run");
        starts_other(&mut w, &id);
        let started = noticed(&w, "too_early: job-000002/0 starts");
        assert_eq!(told, started, "{:?}", w.broken);
        started
    };
    assert!(done(false, false) && done(false, true) && done(true, false));
    assert!(!done(true, true));
}

/// A job that was cancelled is never done, though all its tasks have ended.
#[test]
fn a_start_after_a_job_that_it_needs_was_cancelled() {
    let mut w = running(|_| {});
    let id = needs_the_first(&mut w);
    w.done_tasks.extend([task(0), task(1)]);
    w.store
        .put(&final_key(&JOB.into()), end(JobState::Cancelled));
    starts_other(&mut w, &id);
    assert!(noticed(&w, "too_early"), "{:?}", w.broken);
}

fn view(id: &str, state: &str) -> Answer {
    let body = format!(r#"{{"Id":"{id}","Status":"{state}","done":0,"running":0}}"#);
    Answer::new(200, body)
}

/// Faults put in: what needs a cancelled job, directly or through another, is told as
/// queued or running 42 s after the cancellation was told, and not a moment before.
#[test]
fn a_job_that_outlives_the_cancellation_of_one_that_it_needs() {
    for state in ["queued", "running", "cancelled"] {
        for (direct, cancelled_first) in [(true, false), (false, false), (true, true)] {
            let mut w = running(|_| {});
            if cancelled_first {
                told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
            }
            let mut id = needs_the_first(&mut w);
            if !direct {
                let parent = std::mem::replace(&mut id, "job-000003".into());
                w.specs.insert(id.clone(), job(3, 1));
                w.told_by_mistake(Request::Poll(id.to_string()), view(id.as_str(), "queued"));
                w.add_needs(&id, [parent].into());
            }
            if !cancelled_first {
                told(&mut w, Request::Cancel(JOB.into()), 200, "cancelled");
            }
            let poll = |w: &mut World| {
                let ask = Request::Poll(id.to_string());
                w.told_by_mistake(ask, view(id.as_str(), state));
            };
            w.run(41.9);
            poll(&mut w);
            assert!(!noticed(&w, "orphaned"), "{:?}", w.broken);
            w.run(0.2);
            poll(&mut w);
            let orphaned = noticed(&w, "orphaned: job-00000");
            assert_eq!(orphaned, state != "cancelled", "{:?}", w.broken);
            assert!(!noticed(&w, "went_back"), "{:?}", w.broken);
        }
    }
}

/// Called done, a job goes on; what needs it is no orphan, and may not be cancelled.
#[test]
fn a_cancellation_answered_with_done_takes_nothing_along() {
    let mut w = running(|_| {});
    let id = needs_the_first(&mut w);
    told(&mut w, Request::Cancel(JOB.into()), 200, "done");
    w.run(60.0);
    w.told_by_mistake(Request::Poll(id.to_string()), view(id.as_str(), "queued"));
    assert!(!noticed(&w, "orphaned"), "{:?}", w.broken);
}

/// Called cancelled, though nobody asked for that of it or of a job before it.
#[test]
fn a_job_that_is_cancelled_without_cause() {
    for asked in [false, true] {
        let mut w = running(|_| {});
        let id = needs_the_first(&mut w);
        if asked {
            w.user(Request::Cancel(JOB.into()));
        }
        w.told_by_mistake(
            Request::Poll(id.to_string()),
            view(id.as_str(), "cancelled"),
        );
        assert_eq!(noticed(&w, "went_back"), !asked, "{:?}", w.broken);
    }
}

/// Faults put in: a submission that names a job which nobody submitted, or itself, is
/// accepted; one that names accepted jobs alone is refused; so is one with names that
/// are none, or the other way round.
#[test]
fn names_in_a_submission_that_are_answered_wrongly() {
    let names = |names: serde_json::Value| {
        let mut body = serde_json::to_value(job(5, 1)).unwrap();
        body["Awaits"] = names;
        body.to_string().into_bytes()
    };
    let answered = |body: &[u8], status: u16| {
        let mut w = running(|_| {});
        w.specs.insert("job-000005".into(), job(5, 1));
        let a = view("job-000005", "queued");
        w.told_by_mistake(Request::Submit(body.to_vec()), Answer::new(status, a.body));
        w
    };
    let cases = [
        (serde_json::json!([JOB]), 201),
        (serde_json::json!([]), 201),
        (serde_json::Value::Null, 201),
        (serde_json::json!([JOB, "job-000099"]), 422),
        (serde_json::json!(["job-000005"]), 422),
        (serde_json::json!("job-000001"), 400),
        (serde_json::json!([1]), 400),
        (serde_json::json!(["job-x"]), 400),
    ];
    for (named, right) in cases {
        for status in [201, 400, 422] {
            let w = answered(&names(named.clone()), status);
            let wrong = noticed(&w, "accepted_wrongly") || noticed(&w, "refused_wrongly");
            assert_eq!(wrong, status != right, "{status} {named} {:?}", w.broken);
        }
    }
}

/// The stand-in of the state service keeps to limits that fall: a value or a transaction
/// beyond them is refused, and changes beyond the rate are, with bursts of a second's
/// worth; what is stored stays readable.
#[test]
fn limits_of_the_state_service_that_fall() {
    let put = |key: &str, bytes: usize| Change::Put {
        key: key.into(),
        value: "x".repeat(bytes - 2).into(),
        lease: None,
    };
    let txn = |changes: Vec<Change>| Txn {
        conditions: vec![],
        changes,
    };
    let carried_out = |o: TxnOutcome| matches!(o, TxnOutcome::Ok(_));
    let store = Handle::default();
    store.at(1_000_000);
    let large = txn(vec![put("a", 8 * 1024)]);
    let many = txn((0..8).map(|n| put(&format!("k{n}"), 10)).collect());
    assert!(carried_out(store.apply(&large)) && carried_out(store.apply(&many)));
    store.set_limits(Limits {
        value_bytes: 2048,
        changes: 4,
        changes_per_s: 18.0,
    });
    assert!(!carried_out(store.apply(&large)) && !carried_out(store.apply(&many)));
    assert_eq!(
        store.read("a").unwrap().unwrap().value.to_string().len(),
        8192
    );
    let refused = |store: &Handle, why: Why| {
        let all = store.refusals();
        all.iter().filter(|r| r.why == why).count()
    };
    assert_eq!(refused(&store, Why::TooLarge), 2);
    let fits = txn((0..4).map(|n| put(&format!("k{n}"), 2048)).collect());
    let burst = (0..10).filter(|_| carried_out(store.apply(&fits))).count();
    assert_eq!((burst, refused(&store, Why::TooMany)), (4, 6));
    let mut in_ten_s = 0;
    for step in 1..=100 {
        store.at(1_000_000 + 100_000 * step);
        in_ten_s += 4 * usize::from(carried_out(store.apply(&fits)));
    }
    assert!((172..=184).contains(&in_ten_s), "{in_ten_s}");
}
