//! The checker of the tests' world sees what it is for: for each rule a fault is put
//! in on purpose, past the controllers, and noticed.

mod world;

use hookworks::ids::*;
use hookworks::wire::peer::{Answer, Ask};
use hookworks::wire::user::{After, JobSpec, Kind, When};
use hookworks::wire::worker::{Order, Orders};
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
        ix: TaskIx(ix),
    }
}

/// A machine in that zone, of that kind, which nobody has rented, runs a task.
fn starts_elsewhere(w: &mut World, zone: &str, spot: bool, ix: u32, attempt: u64) {
    let host = Host::from(format!("n-9{ix:05}").as_str());
    let mut m = world::worker::Worker::new(host.clone(), zone.into(), spot, w.now);
    m.up = true;
    let orders = Orders {
        token: Token(u64::MAX / 4),
        session: Session(1),
        orders: vec![Order::Run {
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
fn told(w: &mut World, ask: Ask, status: u16, state: &str) {
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
    let mut w = running(|j| (j.kind, j.tasks, j.spread) = (Kind::Service, 4, true));
    for ix in 0..4 {
        starts_elsewhere(&mut w, "a", true, ix, 7);
    }
    assert!(noticed(&w, "not scattered"), "{:?}", w.broken);
}

/// On a machine that is cut off and hangs, too; not a moment before 42 s.
#[test]
fn a_task_that_outlives_its_cancellation() {
    let mut w = running(|_| {});
    told(&mut w, Ask::Cancel(JOB.into()), 200, "cancelled");
    w.run(41.9);
    assert!(!noticed(&w, "ran_cancelled"));
    w.run(0.3);
    assert!(noticed(&w, "ran_cancelled"));
    let mut w = running(|_| {});
    w.user(Ask::Cancel(JOB.into()));
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
        w.user(Ask::Cancel(JOB.into()));
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
        told(&mut w, Ask::Poll(JOB.into()), status, "queued");
        assert!(noticed(&w, "forgotten"), "{status}");
    }
    // No answer for 75 s, once all troubles are over.
    for (silent_s, forgotten) in [(70.0, false), (80.0, true)] {
        let mut w = running(|_| {});
        w.ignores_one_in = Some(1);
        w.all_quiet();
        w.run(silent_s);
        w.user(Ask::Poll(JOB.into()));
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
    w.told_by_mistake(Ask::Submit(body), Answer::new(201, view.into()));
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
    assert!(neglected(|j| (j.kind, j.tasks) = (Kind::Gang, 2), 93.0));
    // Too large for the room there is, as a whole, by itself or beside its team's.
    assert!(!neglected(|j| (j.kind, j.tasks) = (Kind::Gang, 3), 93.0));
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
        let (job, when, each) = (JOB.into(), When::End, false);
        j.after = vec![After { job, when, each }];
    });
    w.all_quiet();
    w.run(120.0);
    assert!(!noticed(&w, "neglected"), "{:?}", w.broken);
}

#[test]
fn a_job_that_nobody_submitted() {
    let mut w = World::new(3, 3);
    told(&mut w, Ask::Poll(JOB.into()), 200, "queued");
    assert!(noticed(&w, "invented"));
}

#[test]
fn a_job_called_done_too_early() {
    let mut w = running(|_| {});
    told(&mut w, Ask::Poll(JOB.into()), 200, "done");
    assert!(noticed(&w, "not_done"));
}

#[test]
fn an_older_answer_after_a_newer_one() {
    for (first, then) in [("cancelled", "running"), ("cancelled", "done")] {
        let mut w = running(|_| {});
        told(&mut w, Ask::Cancel(JOB.into()), 200, first);
        assert!(!noticed(&w, "went_back"));
        told(&mut w, Ask::Poll(JOB.into()), 200, then);
        assert!(noticed(&w, "went_back"));
    }
    // Called cancelled, though its user never asked for that.
    let mut w = running(|_| {});
    told(&mut w, Ask::Poll(JOB.into()), 200, "cancelled");
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
            told(&mut w, Ask::Submit(body.clone()), status, "queued");
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
    let ask = Ask::Submit(serde_json::to_vec(&body).unwrap());
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
        told(&mut w, Ask::Submit(body), status, "queued");
        assert!(noticed(&w, "forgotten"), "{status}");
    }
}

/// Faults put in: a command to run leaves after the cancellation was told, or a machine
/// starts a task with none under way. One that left before may be carried out late.
#[test]
fn a_start_after_a_confirmed_cancellation() {
    let run = |ix| Order::Run {
        task: task(ix),
        attempt: Attempt(7),
    };
    let host = Host::from("n-900007");
    let mut w = running(|j| j.tasks = 9);
    w.commands_leave(&host, &[run(7)]);
    told(&mut w, Ask::Cancel(JOB.into()), 200, "cancelled");
    starts_elsewhere(&mut w, "a", true, 7, 7);
    assert!(!noticed(&w, "started_cancelled"), "{:?}", w.broken);
    w.commands_leave(&host, &[run(8)]);
    assert!(noticed(&w, "started_cancelled"));
    let mut w = running(|j| j.tasks = 9);
    told(&mut w, Ask::Cancel(JOB.into()), 200, "cancelled");
    starts_elsewhere(&mut w, "a", true, 8, 7);
    assert!(noticed(&w, "started_cancelled"));
}
/// What was told before the question was sent counts, by whomever; of two questions
/// that overlap either may be answered first.
#[test]
fn an_answer_older_than_one_told_before_the_question_was_sent() {
    let view = |state: &str| format!(r#"{{"Id":"{JOB}","Status":"{state}","done":0,"running":0}}"#);
    let poll = || Ask::Poll(JOB.into());
    for (sent_later, went_back) in [(true, true), (false, false)] {
        let mut w = running(|_| {});
        let before = w.now;
        w.run(1.0);
        told(&mut w, Ask::Cancel(JOB.into()), 200, "cancelled");
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
            let again = Ask::Submit(serde_json::to_vec(&w.specs[&JobId::from(JOB)]).unwrap());
            for ask in [poll(), again] {
                let a = Answer::new(status, "{}".into());
                w.told_by_mistake_since(ask, a, sent);
                assert_eq!(noticed(&w, "forgotten"), forgotten, "{:?}", w.broken);
            }
        }
    }
}
