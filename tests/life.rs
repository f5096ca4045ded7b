//! Holds, retry limits and histories: stored before they are shown, and preserved across
//! failover.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{DirectResult, Effect, Event};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobDetail, JobKind, JobState};
use hookworks::wire::worker::*;
use hookworks_job_lifecycle::{Hold, HoldKind, JobEvent};
use serde_json::{Value, json};
use world::desk::{Desk, ended, report, task};
use world::job;

const JOB: &str = "job-000001";

fn hold(d: &mut Desk, body: Value) -> RequestId {
    d.ask(Request::Hold(JOB.into(), body.to_string().into_bytes()))
}

fn release(d: &mut Desk, body: Value) -> RequestId {
    d.ask(Request::Release(JOB.into(), body.to_string().into_bytes()))
}

fn show(d: &mut Desk) -> JobDetail {
    let req = d.ask(Request::Show(JOB.into()));
    serde_json::from_str(&d.answer(req).unwrap().body).unwrap()
}

fn held(d: &Desk) -> bool {
    d.s.jobs[&JobId::from(JOB)].held()
}

/// The job as a new leader would load it.
fn stored(d: &Desk) -> Job {
    let v = d.s.jobs[&JobId::from(JOB)].encode(0);
    let mut j = Job::decode(&v, Time(d.now), WallTime(d.now / 1000)).unwrap();
    for p in &mut j.parts {
        (p.version, p.stored_version) = (1, 1);
    }
    j
}

/// The machine of a task of the job.
fn placed_on(d: &Desk, ix: u32) -> Host {
    d.s.jobs[&JobId::from(JOB)].active[&TaskIndex(ix)]
        .host
        .clone()
}

/// The number of one of the two machines.
fn number(host: &Host) -> u32 {
    if host.as_str().ends_with('1') { 1 } else { 2 }
}

/// Whether the orders start a task.
fn runs(orders: &[Command]) -> bool {
    orders.iter().any(|o| matches!(o, Command::Run { .. }))
}

/// A limit of three attempts, and a backoff of one second after the first failure.
fn desk_with_retry_limit(epoch: u64, jobs: Vec<Job>) -> Desk {
    let xml = "<hookworks><classes><class name='work'><attempts>3</attempts>\
               <backoff-s>1</backoff-s></class></classes></hookworks>";
    Desk::set_up(epoch, jobs, |cfg| {
        cfg.tuning = hookworks::settings::Tuning::parse("t", xml).unwrap();
    })
}

/// Two machines that take commands only in heartbeat responses.
fn machines(d: &mut Desk) {
    for n in [1, 2] {
        d.beat(&Report {
            addr: None,
            ..report(n, 1, Token(0))
        });
    }
}

/// The task fails on its machine, which is returned.
fn fail_once(d: &mut Desk, seq: u64) -> Option<Host> {
    let j = d.s.jobs.get(&JobId::from(JOB))?;
    let l = j.active.get(&TaskIndex(0))?;
    let (host, attempt) = (l.host.clone(), l.attempt);
    let n = number(&host);
    let mut r = report(n, seq, Token(5 << 24));
    d.beat(&r);
    r.seq = Seq(seq + 1);
    r.tasks = vec![ended(JOB, 0, attempt, Cause::Error)];
    d.beat(&r);
    Some(host)
}

#[test]
fn hold_is_confirmed_only_once_stored_and_survives_failover() {
    let mut d = Desk::new(5);
    d.submit(&job(1, 2));
    d.stores = false;
    let asked = hold(&mut d, json!({"By": "ann", "Why": "wrong table"}));
    assert_eq!(d.status(asked), None, "told before it was stored");
    d.event(Event::NotStored(JOB.into()));
    assert_eq!(d.status(asked), Some(503));
    let again = hold(&mut d, json!({"By": "ann"}));
    assert_eq!(d.status(again), None, "told by what is to be stored yet");
    d.store();
    assert_eq!(d.status(again), Some(200));
    // A hold that is already stored is confirmed at once.
    let again = hold(&mut d, json!({"By": "ann"}));
    assert_eq!(d.status(again), Some(200));
    let mut next = Desk::with(6, vec![stored(&d)]);
    machines(&mut next);
    next.wait(5.0);
    assert_eq!(next.attempt(JOB, 0), None, "a held job was started");
    let seen = show(&mut next);
    assert_eq!(
        (seen.held[0].by.as_str(), seen.held[0].why.as_str()),
        ("ann", "wrong table")
    );
    assert_eq!(seen.job.state, JobState::Queued);
}

#[test]
fn hold_stops_only_attempts_that_have_not_begun() {
    let mut d = Desk::new(5);
    machines(&mut d);
    d.submit(&job(1, 2));
    let (a, b) = (d.attempt(JOB, 0).unwrap(), d.attempt(JOB, 1).unwrap());
    let host = |d: &Desk, t| {
        d.s.jobs[&JobId::from(JOB)].active[&TaskIndex(t)]
            .host
            .clone()
    };
    assert_eq!(host(&d, 0), host(&d, 1), "a machine of their own each");
    let n = number(&placed_on(&d, 0));
    let mut r = Report {
        addr: None,
        ..report(n, 2, Token(5 << 24))
    };
    assert!(runs(&d.beat(&r).unwrap().commands));
    // The first is reported running; the second one's command is still in flight.
    r.seq = Seq(3);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    d.beat(&r);
    let asked = hold(&mut d, json!({"By": "ann"}));
    assert_eq!(d.status(asked), Some(200));
    r.seq = Seq(4);
    r.tasks.push(task(JOB, 1, b, TaskState::Fetching));
    let orders = d.beat(&r).unwrap().commands;
    assert!(!runs(&orders));
    let killed = |o: &Command| matches!(o, Command::Kill { attempt, .. } if *attempt == b);
    assert!(orders.iter().any(killed), "{orders:?}");
    assert_eq!(orders.len(), 1, "what ran was told something: {orders:?}");
    r.seq = Seq(5);
    r.tasks = vec![
        ended(JOB, 0, a, Cause::Done),
        ended(JOB, 1, b, Cause::Stopped),
    ];
    d.beat(&r);
    d.wait(5.0);
    assert!(d.attempt(JOB, 1).is_none() && held(&d));
    assert_eq!(show(&mut d).job.done, 1);
}

/// A direct command without a response may be executed minutes later.
#[test]
fn hold_stops_a_start_in_flight_once_it_is_reported() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    let (call, host, orders) = d.direct().remove(0);
    assert!(runs(&orders.commands));
    let asked = hold(&mut d, json!({"By": "ann"}));
    assert_eq!(d.status(asked), Some(200));
    d.event(Event::Direct(call, host, DirectResult::Unclear));
    assert_eq!(d.attempt(JOB, 0), Some(a), "it may still begin");
    let mut r = report(1, 2, Token(5 << 24));
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    let orders = d.beat(&r).unwrap().commands;
    assert!(matches!(orders[..], [Command::Kill { .. }]), "{orders:?}");
}

#[test]
fn hold_with_stop_lets_a_whole_gang_save() {
    let mut d = Desk::new(5);
    machines(&mut d);
    let mut j = job(1, 2);
    (j.kind, j.checkpoint_s, j.save_s) = (JobKind::Gang, 10.0, 4.0);
    d.submit(&j);
    let (a, b) = (d.attempt(JOB, 0).unwrap(), d.attempt(JOB, 1).unwrap());
    let n = number(&placed_on(&d, 0));
    let mut r = Report {
        addr: None,
        ..report(n, 2, Token(5 << 24))
    };
    d.beat(&r);
    r.seq = Seq(3);
    r.tasks = vec![
        task(JOB, 0, a, TaskState::Running),
        task(JOB, 1, b, TaskState::Running),
    ];
    d.beat(&r);
    hold(&mut d, json!({"By": "ann"}));
    r.seq = Seq(4);
    assert_eq!(d.beat(&r).unwrap().commands, [], "a gang that runs goes on");
    hold(&mut d, json!({"By": "ann", "Stop": true}));
    r.seq = Seq(5);
    let orders = d.beat(&r).unwrap().commands;
    let saves = |o: &&Command| matches!(o, Command::Kill { leeway_s, .. } if *leeway_s >= 4.0);
    assert_eq!(orders.iter().filter(saves).count(), 2, "{orders:?}");
}

#[test]
fn hold_kinds_are_separate_and_starts_wait_for_the_stored_release() {
    let mut d = Desk::new(5);
    let bodies = [
        json!({"By": "ann"}),
        json!({"By": "ops", "Kind": "operator"}),
    ];
    d.submit(&job(1, 1));
    for b in &bodies {
        hold(&mut d, b.clone());
    }
    machines(&mut d);
    release(&mut d, bodies[0].clone());
    d.wait(1.0);
    assert_eq!(d.attempt(JOB, 0), None, "the operators' hold still stands");
    d.stores = false;
    let asked = release(&mut d, bodies[1].clone());
    d.wait(1.0);
    assert_eq!((d.status(asked), d.attempt(JOB, 0)), (None, None));
    d.store();
    assert_eq!(d.status(asked), Some(200));
    d.stores = true;
    d.wait(1.0);
    assert!(d.attempt(JOB, 0).is_some());
    // Releasing a job without a hold changes nothing and succeeds.
    let asked = release(&mut d, bodies[0].clone());
    d.wait(0.5);
    assert_eq!(d.status(asked), Some(200));
}

#[test]
fn invalid_hold_requests_get_a_clear_error() {
    let mut d = Desk::new(5);
    for (body, field) in [
        ("[]", "object"),
        ("{}", "By"),
        (r#"{"By":"a","Kind":"x"}"#, "Kind"),
    ] {
        let asked = d.ask(Request::Hold(JOB.into(), body.into()));
        let a = d.answer(asked).unwrap();
        assert!(a.status == 400 && a.body.contains(field), "{a:?}");
    }
    // 404 only after a consistent read; a finished job is returned with its final state.
    let asked = hold(&mut d, json!({"By": "a"}));
    assert_eq!(d.status(asked), None);
    d.event(Event::FinalRead(JOB.into(), Ok(None)));
    assert_eq!(d.status(asked), Some(404));
    d.submit(&job(1, 1));
    d.ask(Request::Cancel(JOB.into()));
    for asked in [
        hold(&mut d, json!({"By": "a"})),
        release(&mut d, json!({"By": "a"})),
    ] {
        let a = d.answer(asked).unwrap();
        assert!(a.status == 409 && a.body.contains("cancelled"), "{a:?}");
    }
}

#[test]
fn job_at_its_retry_limit_is_held_with_a_reason() {
    let mut d = desk_with_retry_limit(5, vec![]);
    machines(&mut d);
    d.submit(&job(1, 1));
    let mut failed = vec![];
    for k in 0..3 {
        d.wait(2.0 + k as f64 * 4.0);
        failed.extend(fail_once(&mut d, 10 + 10 * k));
    }
    assert_eq!(failed.len(), 3);
    d.wait(30.0);
    assert_eq!(d.attempt(JOB, 0), None, "tried once more than it may");
    let seen = show(&mut d);
    assert_eq!(
        (seen.job.state, seen.held[0].kind),
        (JobState::Queued, HoldKind::System)
    );
    assert!(
        seen.held[0].why.contains("failed 3 times"),
        "{:?}",
        seen.held
    );
    assert_eq!(seen.counts[&JobEvent::Failed], 3);
    // The next leader knows the hold; releasing it resets the failure count.
    let mut next = desk_with_retry_limit(6, vec![stored(&d)]);
    machines(&mut next);
    next.wait(5.0);
    assert_eq!(next.attempt(JOB, 0), None);
    release(&mut next, json!({"By": "ops", "Kind": "system"}));
    next.wait(1.0);
    assert!(next.attempt(JOB, 0).is_some());
    assert_eq!(next.s.jobs[&JobId::from(JOB)].failure_counts.of(0), 0);
}

/// The worker reports a failed task until it is told to clear it, which waits until the
/// count is stored: a failover in between must count it once.
#[test]
fn failure_is_counted_once_across_failover() {
    let mut d = desk_with_retry_limit(5, vec![]);
    machines(&mut d);
    d.submit(&job(1, 1));
    d.wait(1.0);
    let before = stored(&d);
    fail_once(&mut d, 10);
    assert_eq!(d.s.jobs[&JobId::from(JOB)].failure_counts.of(0), 1);
    for found in [before, stored(&d)] {
        let a = found
            .active
            .get(&TaskIndex(0))
            .map(|l| (l.host.clone(), l.attempt));
        let mut next = desk_with_retry_limit(6, vec![found]);
        if let Some((host, a)) = a {
            let mut r = report(number(&host), 20, Token(5 << 24));
            r.tasks = vec![ended(JOB, 0, a, Cause::Error)];
            next.beat(&r);
            let counts = &next.s.jobs[&JobId::from(JOB)].failure_counts;
            assert_eq!(counts.of(0), 0, "the report may be an old copy");
            // From the second one on the worker has received the new token.
            for seq in 21..=23 {
                r.seq = Seq(seq);
                next.beat(&r);
            }
        }
        assert_eq!(next.s.jobs[&JobId::from(JOB)].failure_counts.of(0), 1);
    }
}

#[test]
fn job_held_because_of_a_faulty_machine_is_released() {
    let mut d = desk_with_retry_limit(5, vec![]);
    d.beat(&Report {
        addr: None,
        ..report(1, 1, Token(0))
    });
    d.submit(&job(1, 1));
    d.wait(1.0);
    let host = d.s.jobs[&JobId::from(JOB)].active[&TaskIndex(0)]
        .host
        .clone();
    let j = d.s.jobs.get_mut(&JobId::from(JOB)).unwrap();
    let rule = d.s.config.tuning.retry_policies()[&Class::from("work")];
    for _ in 0..2 {
        j.failure_counts.failed(
            (0, 1),
            host.as_str(),
            hookworks_job_lifecycle::Failure::Error,
            &rule,
        );
    }
    fail_once(&mut d, 10);
    assert!(held(&d), "three failures are the limit");
    // Another job fails there as well: the machine is quarantined and at fault.
    d.submit(&job(2, 1));
    d.wait(6.0);
    let a = d.attempt("job-000002", 0).expect("placed");
    let mut r = report(1, 30, Token(5 << 24));
    d.beat(&r);
    r.seq = Seq(31);
    r.tasks = vec![ended("job-000002", 0, a, Cause::Error)];
    d.beat(&r);
    assert!(!held(&d), "held for what a faulty machine did");
}

#[test]
fn history_has_useful_and_lost_time_also_of_finished_jobs() {
    let mut d = Desk::new(5);
    machines(&mut d);
    d.submit(&job(1, 2));
    let n = number(&placed_on(&d, 0));
    let (a, b) = (d.attempt(JOB, 0).unwrap(), d.attempt(JOB, 1).unwrap());
    let mut r = Report {
        addr: None,
        ..report(n, 2, Token(5 << 24))
    };
    d.beat(&r);
    r.seq = Seq(3);
    r.tasks = vec![
        task(JOB, 0, a, TaskState::Running),
        task(JOB, 1, b, TaskState::Running),
    ];
    d.beat(&r);
    d.now += Span::secs(8.0).0;
    r.seq = Seq(4);
    r.tasks = vec![
        ended(JOB, 0, a, Cause::Done),
        ended(JOB, 1, b, Cause::Error),
    ];
    d.stores = false;
    d.beat(&r);
    let seen = &d.s.jobs[&JobId::from(JOB)];
    let u = seen.history.usage();
    assert_eq!((u.useful_ms, u.lost_ms), (8_000, 8_000));
    let detail = seen.detail();
    assert_eq!((detail.useful.cpu, detail.lost.memory_gb), (16.0, 16.0));
    // The final record contains all that and still decodes as a final state.
    let f = hookworks::sched::job::Final {
        state: JobState::Done,
        done: 2,
    };
    let record = seen.final_record(f);
    assert!(record.to_string().len() < 1024, "{record}");
    let read: hookworks::sched::job::Final = serde_json::from_value(record.clone()).unwrap();
    assert_eq!(read, f);
    let asked = d.ask(Request::Show("job-000009".into()));
    d.event(Event::RecordRead(
        asked,
        "job-000009".into(),
        Ok(Some(record)),
    ));
    let told: JobDetail = serde_json::from_str(&d.answer(asked).unwrap().body).unwrap();
    assert_eq!(
        (told.job.state, told.counts[&JobEvent::Done]),
        (JobState::Done, 1)
    );
    // The state of a job from before histories were introduced is shown.
    let asked = d.ask(Request::Show("job-000008".into()));
    let old = json!({"state": "cancelled", "done": 3});
    d.event(Event::RecordRead(asked, "job-000008".into(), Ok(Some(old))));
    assert!(d.answer(asked).unwrap().body.contains("cancelled"));
    // A job that never existed gets 404, after a consistent read.
    let asked = d.ask(Request::Show("job-000007".into()));
    assert_eq!(d.status(asked), None);
    d.event(Event::RecordRead(asked, "job-000007".into(), Ok(None)));
    assert_eq!(d.status(asked), Some(404));
}

/// A record written by version 0.1.0, before holds were introduced.
const RECORD_OF_0_1_0: &str = r#"{"at":1700000000000,"cancelled":false,"first":{"a":[[1,83886081,"n-000001",1700000000500]],"d":"0000000000000001"},"part_size":128,"runtimes":[1.5],"seq":3,"spec":{"Accelerators":0.0,"BookmarkS":0.0,"Bundle":"img","Crew":"red","GuessS":20.0,"Id":"job-000001","Jobline":"work","Lendable":true,"OneZone":false,"Pieces":4,"RamGb":2.0,"Scatter":false,"Shape":"batch","SizeGb":1.0,"StowS":0.0,"Urgency":"normal","Vcpus":2.0}}"#;

#[test]
fn earlier_records_load_and_unknown_fields_are_preserved() {
    let mut v: Value = serde_json::from_str(RECORD_OF_0_1_0).unwrap();
    let j = Job::decode(&v, Time(1), WallTime(2)).expect("an old record");
    assert!((j.done_count, j.active.len()) == (1, 1) && !j.held());
    // Fields of a later version are preserved by an earlier one.
    v["later"] = json!({"x": [1, 2]});
    v["first"]["more"] = json!("y");
    let back = Job::decode(&v, Time(1), WallTime(2)).unwrap().encode(0);
    assert_eq!(back["later"], v["later"]);
    assert_eq!(back["first"]["more"], v["first"]["more"]);
    assert_eq!(back["first"]["a"], v["first"]["a"]);
    let mut large = Job::new(job(1, 300), 1, Time(0), WallTime(0), 128);
    large
        .decode_part(
            1,
            &json!({"d": "", "a": [], "new": 5}),
            Time(1),
            WallTime(1),
        )
        .unwrap();
    assert_eq!(large.encode(1)["new"], 5);
}

#[test]
fn largest_record_fits_the_smallest_value_limit() {
    let size = hookworks::sched::job::part_size(4.0);
    let mut d = desk_with_retry_limit(5, vec![]);
    machines(&mut d);
    d.submit(&job(1, 1));
    let live = d.s.jobs[&JobId::from(JOB)].active[&TaskIndex(0)].clone();
    let rule = d.s.config.tuning.retry_policies()[&Class::from("work")];
    let now = WallTime(1_700_000_000_000);
    let mut j = Job::new(job(2, 100_000), 1, Time(1), now, size);
    for t in 0..size {
        let mut l = live.clone();
        (l.attempt, l.placed_wall) = (Attempt(Epoch(900).base() + 77), now);
        j.active.insert(TaskIndex(t), l);
    }
    for t in 0..100_000 {
        for _ in 0..3 {
            j.failure_counts.failed(
                (t, 100_000),
                "n-000001",
                hookworks_job_lifecycle::Failure::Error,
                &rule,
            );
        }
        j.history.note(
            JobEvent::ALL[t as usize % 8],
            hookworks_job_lifecycle::WallMillis(now.0 + t as u64 * 1000),
        );
    }
    j.spec.class = "c".repeat(150).as_str().into();
    for kind in [HoldKind::System, HoldKind::User, HoldKind::Operator] {
        j.holds.put(Hold {
            kind,
            by: "b".repeat(64),
            why: "w".repeat(160),
            at: hookworks_job_lifecycle::WallMillis(now.0),
        });
    }
    for part in [0, 1] {
        let bytes = j.encode(part).to_string().len();
        assert!(bytes <= 4096, "part {part}: {bytes}");
    }
    // Only the reasons were cut: it is held by all three.
    let back = Job::decode(&j.encode(0), Time(1), now).unwrap();
    assert_eq!(back.holds.iter().count(), 3);
}

/// Looking up finished jobs one by one, as a script does, must not use the quota for
/// requests of users and starts; rejected requests are answered at once.
#[test]
fn lookups_of_finished_jobs_have_a_budget() {
    let mut d = Desk::new(5);
    let mut round = |seconds: f64| {
        d.wait(seconds);
        d.fx.clear();
        let asked: Vec<RequestId> = (0..200)
            .map(|n| d.ask(Request::Show(format!("job-{n:06}"))))
            .collect();
        let reads = d.fx.iter().filter(|f| matches!(f, Effect::ReadRecord(..)));
        let reads = reads.count();
        let refused = asked.iter().filter(|r| d.status(**r) == Some(503)).count();
        assert_eq!(reads + refused, 200);
        for (n, r) in asked.iter().enumerate() {
            if d.status(*r).is_none() {
                let id = JobId::from(format!("job-{n:06}").as_str());
                d.event(Event::RecordRead(*r, id, Ok(None)));
            }
        }
        reads
    };
    // A tenth of 100 requests per second, and a burst of twice that.
    assert_eq!(round(60.0), 20);
    assert_eq!(round(0.0), 0);
    assert!((9..=11).contains(&round(1.0)));
}
