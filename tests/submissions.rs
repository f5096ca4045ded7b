//! Submissions that are malformed, can never run or are repeated, and cancellations at the
//! end of a job's last task or during a change of leader.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::{Final, Job};
use hookworks::sched::{Config, Event};
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, JobState};
use serde_json::{Value, json};
use world::desk::Desk;
use world::handover::{Act, Change};
use world::submissions::never_run;
use world::{Ev, World, flavor, job};

const JOB: &str = "job-000001";
const DONE: Final = Final {
    state: JobState::Done,
    done: 1,
};

fn body_of(spec: &JobSpec) -> Vec<u8> {
    serde_json::to_vec(spec).unwrap()
}

fn body_with(field: &str, v: &Value) -> Vec<u8> {
    let mut body = serde_json::to_value(job(1, 1)).unwrap();
    body[field] = v.clone();
    body.to_string().into_bytes()
}

fn body_without(field: &str) -> Vec<u8> {
    let mut body = serde_json::to_value(job(1, 1)).unwrap();
    body.as_object_mut().unwrap().remove(field);
    body.to_string().into_bytes()
}

/// Submits a job while the store holds that final state of it, if any: a read of the final
/// state returns it, and the job's first record conflicts with it.
fn submit(d: &mut Desk, body: &[u8], stored: Option<Final>) -> (u16, String) {
    d.stores = stored.is_none();
    let req = d.ask(Request::Submit(body.to_vec()));
    if d.answer(req).is_none() {
        d.event(Event::FinalRead(JOB.into(), Ok(stored)));
    }
    if let (None, Some(stored)) = (d.answer(req), stored) {
        d.event(Event::AlreadyFinal(JOB.into(), stored));
    }
    let a = d.answer(req).expect("answered");
    (a.status, a.body.clone())
}

fn desk(proves: bool, types_known: bool) -> Desk {
    let mut d = Desk::new(5);
    d.proves = proves;
    if !types_known {
        d.event(Event::MachineTypes(vec![]));
    }
    if !proves {
        d.now += 60_000_000;
    }
    d
}

/// Fields with invalid values.
fn invalid_fields() -> Vec<(&'static str, Vec<Value>)> {
    let names = vec![Value::Null, json!(""), json!(7), json!(["x"])];
    let amounts = vec![
        Value::Null,
        json!(-0.5),
        json!("1"),
        json!([1]),
        json!(true),
    ];
    let flags = vec![Value::Null, json!(1), json!("true")];
    let maybe = vec![json!(7), json!({}), json!(false)];
    let ids = json!(["", "task-1", "job-", "job-1x", "job-1/2", "JOB-1", 7, null]);
    let counts = json!([null, 0, -1, 1.5, 100_001, 4e9, "3", [1]]);
    let lists = json!(["m8", [7], [null], {}, 3]);
    let dues = json!([-1, "soon", [], {}]);
    let all = |v: Value| v.as_array().unwrap().clone();
    vec![
        ("Id", all(ids)),
        ("Jobline", names.clone()),
        ("Crew", names.clone()),
        ("Bundle", names),
        ("Shape", all(json!([null, "round", "Batch", 1]))),
        ("Urgency", all(json!([null, "urgent", "", 1]))),
        ("Pieces", all(counts)),
        ("Vcpus", amounts.clone()),
        ("Accelerators", amounts.clone()),
        ("RamGb", amounts.clone()),
        ("SizeGb", amounts.clone()),
        ("GuessS", amounts.clone()),
        ("BookmarkS", amounts.clone()),
        ("StowS", amounts),
        ("OneZone", flags.clone()),
        ("Scatter", flags.clone()),
        ("Lendable", flags),
        ("Builds", all(lists)),
        ("Yard", maybe),
        ("DueS", all(dues)),
    ]
}

/// The bodies, each with the field that the response must name.
fn malformed_bodies() -> Vec<(String, Vec<u8>)> {
    let mut all = vec![];
    for (field, values) in invalid_fields() {
        let bodies = values.iter().map(|v| body_with(field, v));
        all.extend(bodies.map(|b| (field.to_string(), b)));
        if !matches!(field, "Builds" | "Yard" | "DueS") {
            all.push((field.to_string(), body_without(field)));
        }
    }
    // A number out of range.
    let text = String::from_utf8(body_with("Vcpus", &json!("INF"))).unwrap();
    let text = text.replace("\"INF\"", "1e999");
    all.push(("Vcpus".into(), text.into_bytes()));
    let job = String::from_utf8(body_of(&job(1, 1))).unwrap();
    let not_objects = [
        "",
        " ",
        "nonsense",
        "[]",
        "7",
        "null",
        "\"job-000001\"",
        "{",
        "{}",
    ];
    let more = [format!("[{job}]"), format!("{job} {job}"), job[1..].into()];
    let bodies = not_objects.map(String::from).into_iter().chain(more);
    all.extend(bodies.map(|b| (String::new(), b.into_bytes())));
    all.push((String::new(), vec![b'{', 0xff, b'}']));
    all
}

/// A follower responds by `JobSpec::parse` alone. A leader must respond the same in any
/// state, also for a job that is accepted or finished: none of these bodies can repeat an
/// accepted submission.
#[test]
fn malformed_submissions_get_the_same_400_from_every_controller() {
    let mut desks = [(true, true), (true, false), (false, true), (false, false)]
        .map(|(proves, types)| desk(proves, types));
    let mut knows = Desk::new(5);
    submit(&mut knows, &body_of(&job(1, 1)), None);
    for (field, body) in malformed_bodies() {
        let text = String::from_utf8_lossy(&body).into_owned();
        let e = JobSpec::parse(&body).expect_err(&text);
        assert!(e.contains(&field), "{text}: {e}");
        let follower = hookworks::wire::peer::Answer::error(400, &e).body;
        for d in desks.iter_mut().chain([&mut knows]) {
            for stored in [None, Some(DONE)] {
                let a = submit(d, &body, stored);
                assert_eq!(a, (400, follower.clone()), "{text}");
            }
        }
        assert!(desks.iter().all(|d| d.s.jobs.is_empty()), "{text}");
    }
}

#[test]
fn optional_fields_may_be_absent_and_limit_values_are_accepted() {
    for field in ["Builds", "Yard", "DueS"] {
        for body in [body_without(field), body_with(field, &Value::Null)] {
            let a = submit(&mut Desk::new(5), &body, None);
            assert_eq!(a.0, 201, "{field}: {}", a.1);
        }
    }
    for (field, v) in [
        ("Pieces", json!(100_000)),
        ("Vcpus", json!(8)),
        ("Vcpus", json!(0)),
        ("Accelerators", json!(2.0)),
        ("RamGb", json!(32)),
        ("GuessS", json!(0)),
        ("DueS", json!(0)),
        ("Builds", json!(["m9", "m8"])),
        ("Yard", json!("b")),
        ("Scatter", json!(true)),
        ("Jobline", json!("of no objective")),
        ("Unknown", json!({"to": "us"})),
    ] {
        let a = submit(&mut Desk::new(5), &body_with(field, &v), None);
        assert_eq!(a.0, 201, "{field} {v}: {}", a.1);
    }
    // The team's whole limit at once, and an array of far more than that.
    for (kind, tasks, cpus) in [
        (JobKind::Gang, 6, 2.0),
        (JobKind::Service, 12, 1.0),
        (JobKind::Array, 900, 8.0),
    ] {
        let mut j = job(1, tasks);
        (j.kind, j.cpus) = (kind, cpus);
        let a = submit(&mut Desk::new(5), &body_of(&j), None);
        assert_eq!(a.0, 201, "{kind:?}: {}", a.1);
    }
}

/// Jobs that can never run, each with the field that the response must name.
fn unsatisfiable_bodies() -> Vec<(&'static str, Vec<u8>)> {
    let gang = |change: &dyn Fn(&mut JobSpec)| {
        let mut j = job(1, 2);
        j.kind = JobKind::Gang;
        change(&mut j);
        body_of(&j)
    };
    let mut all: Vec<_> = never_run()
        .into_iter()
        .filter(|(field, _)| *field != "Pieces")
        .map(|(field, v)| (field, body_with(field, &v)))
        .collect();
    all.extend([
        ("Vcpus", gang(&|j| j.tasks = 7)),
        (
            "Vcpus",
            gang(&|j| (j.kind, j.tasks, j.cpus) = (JobKind::Service, 100_000, 8.0)),
        ),
        ("Vcpus", gang(&|j| (j.tasks, j.cpus) = (100_000, 1e300))),
        (
            "RamGb",
            gang(&|j| (j.tasks, j.cpus, j.memory_gb) = (100_000, 0.0, 1e300)),
        ),
        ("Accelerators", gang(&|j| j.gpus = 2.0)),
        ("Builds", gang(&|j| j.builds = Some(vec![]))),
        ("Scatter", gang(&|j| (j.spread, j.one_zone) = (true, true))),
        (
            "Scatter",
            gang(&|j| (j.spread, j.zone) = (true, Some("a".into()))),
        ),
    ]);
    all
}

/// The response is the same each time, also from the next leader; it is 503 while it can't
/// be decided.
#[test]
fn unsatisfiable_jobs_get_the_same_422_from_every_leader() {
    for (field, body) in unsatisfiable_bodies() {
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(
            JobSpec::parse(&body).is_ok(),
            "followers pass it on: {text}"
        );
        let mut first = Desk::new(5);
        let a = submit(&mut first, &body, None);
        assert!(a.0 == 422 && a.1.contains(field), "{text}: {a:?}");
        for mut d in [first, Desk::new(6)] {
            assert_eq!(submit(&mut d, &body, None), a, "{text}");
            assert!(d.s.jobs.is_empty(), "{text}");
        }
        let early = submit(&mut desk(true, false), &body, None);
        assert!(early.0 == 503 || early == a, "{text}: {early:?}");
        assert_eq!(submit(&mut desk(false, true), &body, None).0, 503, "{text}");
    }
}

/// A repeated submission is recognized by its name alone.
#[test]
fn repeated_submission_returns_the_state_of_the_accepted_job() {
    let mut d = Desk::new(5);
    assert_eq!(submit(&mut d, &body_of(&job(1, 1)), None).0, 201);
    let others = unsatisfiable_bodies().into_iter().map(|(_, body)| body);
    for body in others.chain([body_of(&job(1, 9))]) {
        let a = submit(&mut d, &body, None);
        assert!(a.0 == 200 && a.1.contains("queued"), "{a:?}");
        let a = submit(&mut Desk::new(6), &body, Some(DONE));
        assert!(a.0 == 200 && a.1.contains("done"), "{a:?}");
    }
}

type SettingsChange = fn(&mut Config);

/// Changes of the settings under which an accepted job would now be rejected.
fn stricter_settings() -> [(&'static str, SettingsChange); 4] {
    [
        ("nothing", |_| {}),
        ("team gone", |c| c.teams.clear()),
        ("limit lowered", |c| c.teams[0].cpus_max = 1.0),
        ("less to be stored", |c| c.value_kb = 0.5),
    ]
}

/// A job whose description exceeds the limit of the state service got 400 even if it had
/// been accepted and had finished, as its final state was not read.
#[test]
fn repeated_submission_is_recognized_after_settings_change() {
    let body = body_of(&job(1, 1));
    let mut first = Desk::new(5);
    submit(&mut first, &body, None);
    let record = first.s.jobs[&JobId::from(JOB)].encode(0);
    for (what, change) in stricter_settings() {
        for types in [vec![], vec![flavor()], vec![other_type()]] {
            let live = Job::decode(&record, Time(first.now), WallTime(1_000_000)).unwrap();
            let mut d = Desk::set_up(6, vec![live], change);
            d.event(Event::MachineTypes(types.clone()));
            assert_eq!(submit(&mut d, &body, None).0, 200, "{what}: live");
            let mut d = Desk::set_up(6, vec![], change);
            d.event(Event::MachineTypes(types.clone()));
            let a = submit(&mut d, &body, Some(DONE));
            let waits = types.is_empty() && a.0 == 503;
            assert!(a.0 == 200 || waits, "{what}: over: {a:?}");
        }
    }
    // A new job is rejected, each time.
    let mut d = Desk::set_up(6, vec![], |c| c.value_kb = 0.5);
    for _ in 0..2 {
        let a = submit(&mut d, &body, None);
        assert!(a.0 == 400 && a.1.contains("too large"), "{a:?}");
    }
}

fn other_type() -> hookworks::wire::cloud::MachineType {
    let mut f = flavor();
    (f.build, f.cpus) = ("m1".into(), 1.0);
    f
}

#[test]
fn cancelling_a_finished_or_unknown_job_changes_nothing() {
    let mut d = Desk::new(5);
    for (stored, status, says) in [(Some(DONE), 200, "done"), (None, 404, "no such job")] {
        for _ in 0..2 {
            let req = d.ask(Request::Cancel(JOB.into()));
            if d.answer(req).is_none() {
                d.event(Event::FinalRead(JOB.into(), Ok(stored)));
            }
            let a = d.answer(req).unwrap();
            assert!(a.status == status && a.body.contains(says), "{a:?}");
        }
        assert_eq!(d.written, 0);
        d = Desk::new(6);
    }
    // A rejected job was never accepted.
    let (_, body) = unsatisfiable_bodies().remove(0);
    assert_eq!(submit(&mut d, &body, None).0, 422);
    let req = d.ask(Request::Cancel(JOB.into()));
    d.event(Event::FinalRead(JOB.into(), Ok(None)));
    assert_eq!(d.status(req), Some(404));
}

/// Jobs of one to three tasks, submitted with retries and polled to the end.
fn small_jobs(w: &mut World, from: u64, to: u64, every_s: f64) {
    for n in from..to {
        let mut j = job(n, 1 + (n % 3) as u32);
        j.cpus = 1.0;
        j.team = ["red", "blue"][n as usize % 2].into();
        let at = every_s * (n - from) as f64;
        let body = body_of(&j);
        let id = j.id.to_string();
        w.specs.insert(j.id.clone(), j);
        w.insists(at, Request::Submit(body));
        for k in 0..12 {
            w.at(at + 3.1 * k as f64, Ev::User(Request::Poll(id.clone())));
        }
    }
}

/// Checks that each submission was accepted, each job is done or cancelled, and none is
/// left.
fn check_all_jobs_ended(w: &mut World, what: &str) {
    w.run(90.0);
    assert!(
        w.broken.is_empty(),
        "{what}: {:#?}",
        &w.broken[..w.broken.len().min(5)]
    );
    let i = w.leader().expect("a leader");
    let left: Vec<_> = w.sched(i).jobs.keys().collect();
    assert!(left.is_empty(), "{what}: {left:?}");
    for (id, state) in w.states() {
        let over = matches!(state, Some(JobState::Done | JobState::Cancelled));
        assert!(over, "{what}: {id} {state:?}");
    }
    assert!(w.broken.is_empty(), "{what}: {:?}", w.broken);
}

/// Without other faults: the cancellation reaches the leader just before, at the same time
/// as, or after the heartbeat that reports the end.
#[test]
fn cancellation_may_race_with_the_end_of_the_last_task() {
    let (mut cancelled, mut jobs) = (0, 0);
    for seed in 0..6 {
        let mut w = World::new(seed, 3);
        w.run_s = 4.0;
        w.submissions.cancel_at_end = 1.0;
        w.run(2.0);
        small_jobs(&mut w, 0, 30, 0.7);
        w.run(100.0);
        check_all_jobs_ended(&mut w, &format!("seed {seed}"));
        cancelled += w.cancellations();
        jobs += w.specs.len();
    }
    assert!(
        cancelled > 10 && cancelled + 10 < jobs,
        "{cancelled} of {jobs}"
    );
}

fn leader_stops(in_order: bool, back_s: f64) -> Ev {
    let change = match in_order {
        true => Change::InOrder,
        false => Change::Ends,
    };
    Ev::HandOver(Act::Change(change, back_s))
}

#[test]
fn invalid_requests_change_nothing_during_leader_changes() {
    for seed in 0..4 {
        let mut w = World::new(seed, 3);
        w.run_s = 6.0;
        w.run(2.0);
        small_jobs(&mut w, 0, 20, 1.0);
        w.odd_requests_for(60.0);
        w.run(10.0);
        for k in 0..5 {
            w.at(0.0, leader_stops(k % 2 == 0, 0.5));
            w.run(10.0);
        }
        w.run(40.0);
        let refused = |s| w.answers.iter().filter(|(_, a)| a.status == s).count();
        assert!(refused(400) > 30 && refused(422) > 30);
        w.specs.retain(|id, _| id.as_str() < "job-8");
        check_all_jobs_ended(&mut w, &format!("seed {seed}"));
    }
}

/// The leader or another controller stops, orderly or by a crash, and is back after 0.02 to
/// 1 s; jobs are cancelled in the seconds before and after.
#[test]
fn jobs_may_be_cancelled_during_failover() {
    let mut cancelled = 0;
    for seed in 0..24 {
        let mut w = World::new(seed, 3);
        w.run_s = 60.0;
        w.run(2.0);
        small_jobs(&mut w, 0, 12, 0.3);
        w.run(12.0);
        let back_s = [0.02, 0.1, 0.4, 1.0][(seed / 2 % 4) as usize];
        if seed % 4 == 3 {
            // A follower, which forwards users' requests.
            let led = w.leader().expect("a leader");
            w.at(1.0, Ev::Kill((led + 1) % 3));
            w.at(1.0 + back_s, Ev::Restart((led + 1) % 3));
        } else {
            w.at(1.0, leader_stops(seed % 2 == 0, back_s));
        }
        // In some runs writes are slow, so that the cancellation is not stored yet.
        if seed % 3 > 0 {
            w.conditions(0.5, 4.0, |c| c.writes = Some((0.05, 0.8)));
        }
        w.at(0.85, Ev::CancelNow(2, None));
        for k in 0..5 {
            w.at(0.6 + 0.5 * k as f64, Ev::CancelNow(2, None));
        }
        w.run(200.0);
        check_all_jobs_ended(&mut w, &format!("seed {seed}, back after {back_s} s"));
        cancelled += w.cancellations();
    }
    assert!(cancelled > 100, "{cancelled}");
}
