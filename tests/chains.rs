//! Jobs that need others (`Awaits`): admission, waiting, starts, cancellation with
//! what they need, and the order in which a chain is served.

mod world;

use hookworks::ids::*;
use hookworks::sched::dependency_ids::DependencyIds;
use hookworks::sched::job::{Final, Job};
use hookworks::sched::{Config, Effect, Event, Key};
use hookworks::store::RecordFormat;
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, JobState, Priority};
use hookworks::wire::worker::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use world::desk::{Desk, ended, report, task};
use world::job;

fn id(n: u64) -> JobId {
    format!("job-{n:06}").as_str().into()
}

fn needing(n: u64, needs: impl IntoIterator<Item = u64>) -> JobSpec {
    let mut j = job(n, 1);
    j.dependencies = needs.into_iter().map(id).collect();
    j
}

fn desk(epoch: u64, jobs: Vec<Job>) -> Desk {
    let mut d = Desk::with(epoch, jobs);
    d.s.set_format(RecordFormat::Compact);
    d
}

fn machines(d: &mut Desk, n: u32) {
    for m in 1..=n {
        d.beat(&Report {
            addr: None,
            ..report(m, 1, Token(0))
        });
    }
}

fn placed(d: &Desk, n: u64) -> bool {
    d.attempt(id(n).as_str(), 0).is_some()
}

fn submit(d: &mut Desk, spec: &JobSpec) -> Option<u16> {
    let asked = d.submit(spec);
    d.status(asked)
}

fn poll(d: &mut Desk, n: u64) -> (u16, String) {
    let asked = d.ask(Request::Poll(id(n).to_string()));
    let a = d.answer(asked).expect("answered");
    let v: serde_json::Value = serde_json::from_str(&a.body).unwrap_or_default();
    (a.status, v["Status"].as_str().unwrap_or_default().into())
}

fn state(d: &mut Desk, n: u64) -> String {
    poll(d, n).1
}

/// The job's only task begins on machine 1.
fn run(d: &mut Desk, n: u64, seq: u64) {
    let a = d.attempt(id(n).as_str(), 0).expect("placed");
    let mut r = report(1, seq, Token(5 << 24));
    r.addr = None;
    d.beat(&r);
    r.seq = Seq(seq + 1);
    r.tasks = vec![task(id(n).as_str(), 0, a, TaskState::Running)];
    d.beat(&r);
}

/// And is done.
fn finish(d: &mut Desk, n: u64, seq: u64) {
    let a = d.attempt(id(n).as_str(), 0).expect("placed");
    let mut r = report(1, seq, Token(5 << 24));
    r.addr = None;
    r.tasks = vec![ended(id(n).as_str(), 0, a, Cause::Done)];
    d.beat(&r);
}

/// A job as a later leader finds it.
fn on_record(d: &Desk, n: u64) -> Job {
    let v = d.s.jobs[&id(n)].encode(0);
    let mut j = Job::decode(&v, Time(d.now), WallTime(d.now / 1000)).unwrap();
    (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
    j
}

fn over(state: JobState) -> Final {
    Final { state, done: 0 }
}

fn reads(d: &Desk) -> Vec<(RequestId, JobId)> {
    let read = |f: &Effect| match f {
        Effect::ReadRecord(r, i) => Some((*r, i.clone())),
        _ => None,
    };
    d.fx.iter().filter_map(read).collect()
}

/// Everything asked for so far for this request has this answer.
fn answer_reads(d: &mut Desk, req: RequestId, answer: Result<Option<serde_json::Value>, ()>) {
    let ours = reads(d).into_iter().filter(|(r, _)| *r == req);
    for (_, i) in ours.collect::<Vec<_>>() {
        d.event(Event::RecordRead(req, i, answer.clone()));
    }
    d.fx.retain(|f| !matches!(f, Effect::ReadRecord(r, _) if *r == req));
}

#[test]
fn malformed_names_get_400_with_the_field_and_null_is_none() {
    let body = |awaits: serde_json::Value| {
        let mut v = serde_json::to_value(job(2, 1)).unwrap();
        v["Awaits"] = awaits;
        v.to_string().into_bytes()
    };
    for wrong in [
        json!("job-000001"),
        json!(["job-1x"]),
        json!([1]),
        json!({"a": 1}),
        json!([null]),
        json!(7),
    ] {
        let e = JobSpec::parse(&body(wrong.clone())).expect_err("refused");
        assert!(e.contains("Awaits"), "{wrong}: {e}");
    }
    for none in [json!(null), json!([])] {
        assert!(JobSpec::parse(&body(none)).unwrap().dependencies.is_empty());
    }
    let twice = JobSpec::parse(&body(json!(["job-2", "job-1", "job-2"]))).unwrap();
    assert_eq!(twice.dependencies, ["job-1".into(), "job-2".into()]);
}

#[test]
fn names_of_any_team_in_any_state_are_taken_and_unknown_ones_refused() {
    let mut d = desk(5, vec![]);
    assert_eq!(submit(&mut d, &job(1, 1)), Some(201));
    let mut other = needing(2, [1]);
    other.team = "blue".into();
    assert_eq!(submit(&mut d, &other), Some(201));
    assert_eq!(state(&mut d, 2), "queued");
    // One that nobody knows: refused after consistent reads alone, each time.
    for _ in 0..2 {
        let asked = d.submit(&needing(3, [1, 8, 9]));
        assert_eq!(d.status(asked), None, "refused without a read");
        assert_eq!(reads(&d).len(), 3, "its own, and those that are unknown");
        answer_reads(&mut d, asked, Ok(None));
        let a = d.answer(asked).unwrap();
        assert!(a.status == 422 && a.body.contains("job-000008"), "{a:?}");
    }
    // The state service can't tell: nothing is stored, and its user comes again.
    let (asked, written) = (d.submit(&needing(3, [9])), d.written);
    answer_reads(&mut d, asked, Err(()));
    assert_eq!((d.status(asked), d.written), (Some(503), written));
    // Over long ago: taken.
    let asked = d.submit(&needing(3, [9]));
    let of = |i: &JobId| (*i == id(9)).then(|| json!({"state": "done", "done": 1}));
    for (r, i) in reads(&d) {
        d.event(Event::RecordRead(r, i.clone(), Ok(of(&i))));
    }
    assert_eq!(d.status(asked), Some(201));
    assert!(d.s.jobs[&id(3)].needs.is_empty());
}

#[test]
fn a_job_that_needs_itself_is_refused_unless_it_was_accepted_once() {
    let mut d = desk(5, vec![]);
    for (read, status) in [(None, 422), (Some(over(JobState::Done)), 200)] {
        let asked = d.submit(&needing(1, [1]));
        assert_eq!(d.status(asked), None);
        d.event(Event::FinalRead(id(1), Ok(read)));
        assert_eq!(d.status(asked), Some(status));
    }
}

#[test]
fn nothing_is_taken_before_every_controller_knows_of_needs() {
    let mut d = Desk::new(5);
    d.submit(&job(1, 1));
    let asked = d.submit(&needing(2, [1]));
    let a = d.answer(asked).unwrap();
    assert!(a.status == 503 && a.retry_after == Some(1), "{a:?}");
    assert_eq!(submit(&mut d, &job(3, 1)), Some(201));
    d.s.set_format(RecordFormat::Compact);
    d.s.set_format(RecordFormat::Legacy);
    assert_eq!(submit(&mut d, &needing(2, [1])), Some(201), "for ever");
}

#[test]
fn a_name_whose_first_write_is_under_way_is_not_refused() {
    let mut d = desk(5, vec![]);
    d.stores = false;
    d.submit(&job(1, 1));
    assert_eq!(submit(&mut d, &needing(2, [1])), Some(503));
    d.stores = true;
    d.wait(1.0);
    assert_eq!(submit(&mut d, &needing(2, [1])), Some(201));
}

/// Whatever has become of the names, or of the settings.
#[test]
fn a_repeated_submission_of_an_accepted_job_gets_200() {
    let mut d = desk(5, vec![]);
    d.submit(&job(1, 1));
    assert_eq!(submit(&mut d, &needing(2, [1])), Some(201));
    assert_eq!(submit(&mut d, &needing(2, [1, 77])), Some(200));
    // A later leader, one that takes no new ones.
    let found = vec![on_record(&d, 1), on_record(&d, 2)];
    let mut next = Desk::with(6, found);
    assert_eq!(submit(&mut next, &needing(2, [1])), Some(200));
    // It is over, and its name unknown by now.
    let mut last = desk(7, vec![]);
    let asked = last.submit(&needing(2, [1]));
    let own = |i: &JobId| (*i == id(2)).then(|| json!({"state": "cancelled", "done": 0}));
    for (r, i) in reads(&last) {
        last.event(Event::RecordRead(r, i.clone(), Ok(own(&i))));
    }
    let a = last.answer(asked).unwrap();
    assert!(a.status == 200 && a.body.contains("cancelled"), "{a:?}");
}

/// A body holds five thousand names; the look-ups of earlier tries count.
#[test]
fn a_thousand_unknown_names_are_looked_up_over_several_tries() {
    let mut d = desk(5, vec![]);
    let spec = needing(5000, 1..=1000);
    let mut most = 0;
    for tries in 1..=60 {
        let asked = d.submit(&spec);
        while d.status(asked).is_none() {
            let now = reads(&d);
            most = most.max(now.len());
            d.fx.retain(|f| !matches!(f, Effect::ReadRecord(..)));
            for (r, i) in now {
                let end = json!({"state": "done", "done": 1});
                let end = (i != spec.id).then_some(end);
                d.event(Event::RecordRead(r, i, Ok(end)));
            }
            d.wait(0.25);
        }
        if d.status(asked) == Some(201) {
            assert!(most <= 64, "{most} reads at once");
            assert!(tries > 1 && d.s.jobs[&spec.id].needs.is_empty());
            return;
        }
        assert_eq!(d.status(asked), Some(503));
    }
    panic!("never accepted");
}

/// Whatever the body holds is taken as long as its record fits under the smallest limits;
/// beyond that the user comes again, since jobs that are done need not be stored.
#[test]
fn thousands_of_unfinished_names_are_taken_or_come_again_later() {
    let smaller = |c: &mut Config| {
        (c.min_limits.value_kb, c.min_limits.txn_ops, c.max_jobs) = (2.0, 4, 10_000);
    };
    let unfinished = |n: u64| {
        let mut j = Job::new(
            job(n * 199, 1),
            n,
            Time(4_000_000_000),
            WallTime(1_000_000),
            64,
        );
        (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
        j
    };
    let found = (1..=5000).map(unfinished).collect();
    let mut d = Desk::set_up(5, found, smaller);
    d.s.set_format(RecordFormat::Compact);
    let many = |n: u64, names: u64| needing(n, (1..=names).map(|n| n * 199));
    let mut wide = many(2, 2000);
    wide.tasks = 3000;
    for spec in [many(1, 2000), wide] {
        assert_eq!(submit(&mut d, &spec), Some(201));
        // Made smaller to fit, the record once lost what the job needs.
        assert_eq!(d.s.jobs[&spec.id].needs.len(), 2000);
        assert_eq!(d.s.jobs[&spec.id].pending(), 0);
    }
    let asked = d.submit(&many(3, 5000));
    let a = d.answer(asked).unwrap();
    assert!(a.status == 503 && a.body.contains("Awaits"), "{a:?}");
}

#[test]
fn a_job_that_waits_is_queued_and_takes_no_part_of_guarantee_or_shares() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    run(&mut d, 1, 10);
    let mut large = needing(2, [1]);
    large.tasks = 400;
    d.submit(&large);
    d.submit(&job(3, 1));
    for seq in 20..160 {
        let tasks = |n: u64| {
            let a = d.attempt(id(n).as_str(), 0).expect("placed");
            task(id(n).as_str(), 0, a, TaskState::Running)
        };
        let mut r = report(1, seq, Token(5 << 24));
        (r.addr, r.tasks) = (None, vec![tasks(1), tasks(3)]);
        d.beat(&r);
        d.wait(1.0);
    }
    assert_eq!(state(&mut d, 2), "queued");
    assert_eq!(d.s.jobs[&id(2)].pending(), 0);
    assert!(d.s.jobs[&id(2)].waiting_since.is_none(), "neglected");
    let hires = d.fx.iter().filter(|f| matches!(f, Effect::Rent(_)));
    assert_eq!(hires.count(), 0, "rented for what can't start");
    let shares = &d.s.overview(Time(d.now))["served"];
    assert_eq!(shares["classes"]["work"]["recent"]["came"], 2);
    // Its times and its place in the order count from the moment that it can start.
    assert!(d.s.jobs[&id(2)].seq < d.s.jobs[&id(3)].seq);
    finish(&mut d, 1, 200);
    let j = &d.s.jobs[&id(2)];
    assert!(j.seq > d.s.jobs[&id(3)].seq);
    assert_eq!(j.ready_since, Time(d.now));
    let again = on_record(&d, 2);
    assert!((again.ready_since - Time(d.now)).0 < 1000 && again.arrived < again.ready_since);
}

#[test]
fn nothing_starts_before_the_end_of_what_it_needs_is_stored() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    d.submit(&needing(2, [1]));
    run(&mut d, 1, 10);
    d.stores = false;
    let stored = on_record(&d, 1);
    finish(&mut d, 1, 20);
    d.wait(3.0);
    assert!(!placed(&d, 2), "placed though no end is stored");
    // Its leader ends here, before the write or after it: the next one knows by the
    // records alone, whatever machines report.
    let found = on_record(&d, 2);
    let mut next = desk(6, vec![found.clone(), stored]);
    machines(&mut next, 1);
    next.wait(3.0);
    assert!(!placed(&next, 2));
    let mut next = desk(6, vec![found]);
    machines(&mut next, 1);
    next.wait(1.0);
    assert!(!placed(&next, 2));
    assert_eq!(poll(&mut next, 2).0, 503, "it may have been cancelled");
    next.event(Event::FinalRead(id(1), Err(())));
    next.wait(1.0);
    assert!(!placed(&next, 2), "no answer is no end");
    next.event(Event::FinalRead(id(1), Ok(Some(over(JobState::Done)))));
    next.wait(1.0);
    assert!(placed(&next, 2));
    // And in the first term.
    d.stores = true;
    d.wait(1.0);
    assert!(placed(&d, 2));
}

/// Three generations, and the leader ends right after it has confirmed.
#[test]
fn cancelling_takes_along_all_that_needs_it_also_across_leaders() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    d.submit(&needing(2, [1]));
    d.submit(&needing(3, [2]));
    run(&mut d, 1, 10);
    d.stores = false;
    let asked = d.ask(Request::Cancel(id(1).to_string()));
    assert_eq!(state(&mut d, 3), "queued", "not confirmed, and may go back");
    while d.status(asked).is_none() {
        assert!(d.store_one());
    }
    assert_eq!(state(&mut d, 2), "cancelled");
    assert_eq!(state(&mut d, 3), "cancelled");
    // Without any further write, and without proof: it is for ever.
    d.proves = false;
    d.wait(20.0);
    assert_eq!(state(&mut d, 3), "cancelled");
    // The next leader finds what was stored: the first one's cancellation alone.
    let mut parent = on_record(&d, 1);
    assert!(parent.cancelled);
    parent.cancel_version = 0;
    let waiting = |n: u64, need: u64| {
        let mut before = desk(4, vec![]);
        before.submit(&job(need, 1));
        before.submit(&needing(n, [need]));
        on_record(&before, n)
    };
    let (two, three) = (waiting(2, 1), waiting(3, 2));
    let mut next = desk(6, vec![parent, two.clone(), three.clone()]);
    next.stores = false;
    for n in [2, 3] {
        assert_eq!(state(&mut next, n), "cancelled");
    }
    // Or the first is over by then: nothing else is told before that is read.
    let mut last = desk(7, vec![two, three]);
    machines(&mut last, 1);
    for n in [2, 3] {
        assert_eq!(poll(&mut last, n).0, 503);
    }
    last.event(Event::FinalRead(id(1), Ok(Some(over(JobState::Cancelled)))));
    for n in [2, 3] {
        assert_eq!(state(&mut last, n), "cancelled");
    }
    last.wait(2.0);
    assert!(
        !last.s.jobs.contains_key(&id(3)),
        "its end is stored in time"
    );
}

#[test]
fn show_tells_what_a_job_waits_for_and_what_took_it_along() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    d.submit(&needing(2, [1]));
    run(&mut d, 1, 10);
    let show = |d: &mut Desk| {
        let asked = d.ask(Request::Show(id(2).to_string()));
        let v: serde_json::Value = serde_json::from_str(&d.answer(asked).unwrap().body).unwrap();
        v
    };
    assert_eq!(show(&mut d)["Awaits"], json!(["job-000001"]));
    d.stores = false;
    d.ask(Request::Cancel(id(1).to_string()));
    d.store_one();
    let v = show(&mut d);
    assert_eq!(v["Status"], "cancelled");
    assert_eq!(v["CancelledWith"], "job-000001");
    let j = &d.s.jobs[&id(2)];
    let f = d.s.final_of(&id(2)).expect("closing");
    let told = hookworks::sched::detail_of_record(&id(2), j.final_record(f)).unwrap();
    assert_eq!(told.cancelled_with, Some(id(1)));
}

#[test]
fn submitted_after_the_cancellation_it_is_accepted_and_cancelled() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    run(&mut d, 1, 10);
    // Cancelled, its task still on the machine.
    d.ask(Request::Cancel(id(1).to_string()));
    let asked = d.submit(&needing(2, [1]));
    let a = d.answer(asked).unwrap();
    assert!(a.status == 201 && a.body.contains("cancelled"), "{a:?}");
    assert_eq!(state(&mut d, 2), "cancelled");
    // Over, and known by its final state alone.
    let mut next = desk(6, vec![]);
    let asked = next.submit(&needing(3, [1]));
    let of = |i: &JobId| (*i == id(1)).then(|| json!({"state": "cancelled", "done": 0}));
    for (r, i) in reads(&next) {
        next.event(Event::RecordRead(r, i.clone(), Ok(of(&i))));
    }
    assert_eq!(next.status(asked), Some(201));
    assert_eq!(state(&mut next, 3), "cancelled");
}

/// Whichever end is stored, those that need the job follow that one.
#[test]
fn a_cancellation_that_meets_the_end_of_the_last_task_leads_to_one_end() {
    for cancel_first in [true, false] {
        let mut d = desk(5, vec![]);
        machines(&mut d, 1);
        d.submit(&job(1, 1));
        d.submit(&needing(2, [1]));
        run(&mut d, 1, 10);
        d.stores = false;
        let cancel = |d: &mut Desk| d.ask(Request::Cancel(id(1).to_string()));
        let asked = match cancel_first {
            true => {
                let asked = cancel(&mut d);
                finish(&mut d, 1, 20);
                asked
            }
            false => {
                finish(&mut d, 1, 20);
                cancel(&mut d)
            }
        };
        d.stores = true;
        d.wait(2.0);
        let body = d.answer(asked).unwrap().body.clone();
        assert_eq!(body.contains("cancelled"), cancel_first, "{body}");
        assert_eq!(placed(&d, 2), !cancel_first);
        assert_eq!(state(&mut d, 2) == "cancelled", cancel_first);
    }
    // The write of an earlier leader came first, and says the other thing.
    for (stored, placed_then) in [(JobState::Done, true), (JobState::Cancelled, false)] {
        let mut d = desk(5, vec![]);
        machines(&mut d, 1);
        d.submit(&job(1, 1));
        d.submit(&needing(2, [1]));
        d.stores = false;
        d.ask(Request::Cancel(id(1).to_string()));
        d.event(Event::AlreadyFinal(id(1), over(stored)));
        d.stores = true;
        d.wait(2.0);
        assert_eq!(placed(&d, 2), placed_then, "{stored:?}");
    }
}

#[test]
fn of_two_needs_one_done_and_one_cancelled_at_once_the_job_is_cancelled() {
    for done_first in [true, false] {
        let mut d = desk(5, vec![]);
        machines(&mut d, 1);
        d.submit(&job(1, 1));
        d.submit(&job(2, 1));
        d.submit(&needing(3, [1, 2]));
        run(&mut d, 1, 10);
        d.stores = false;
        finish(&mut d, 1, 20);
        d.ask(Request::Cancel(id(2).to_string()));
        let version = d.s.jobs[&id(2)].parts[0].version;
        let mut keys = [(Key::Final(id(1)), 0), (Key::Part(id(2), 0), version)];
        if !done_first {
            keys.reverse();
        }
        for (key, version) in keys {
            d.event(Event::Stored(key, version));
        }
        d.stores = true;
        d.wait(1.0);
        assert!(!placed(&d, 3));
        assert_eq!(state(&mut d, 3), "cancelled", "{done_first}");
    }
}

/// Three hundred at once and a hundred in a row: told at once, written in time, and
/// each event does a bounded part.
#[test]
fn a_fan_of_three_hundred_and_a_chain_of_a_hundred_are_cancelled_whole() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    d.submit(&job(1, 1));
    for n in 2..=301 {
        assert_eq!(submit(&mut d, &needing(n, [1])), Some(201));
    }
    for n in 302..=400 {
        assert_eq!(submit(&mut d, &needing(n, [n - 1])), Some(201));
    }
    run(&mut d, 1, 10);
    d.stores = false;
    let asked = d.ask(Request::Cancel(id(1).to_string()));
    while d.status(asked).is_none() {
        d.store_one();
    }
    let marked = |d: &Desk| d.s.jobs.values().filter(|j| j.cancelled).count();
    assert!((2..=257).contains(&marked(&d)), "{} at once", marked(&d));
    // Until all are marked nobody is told anything else.
    assert!(d.s.wake_at().is_some_and(|t| t <= Time(d.now)));
    for n in 2..=400 {
        let (status, state) = poll(&mut d, n);
        assert!(
            status == 503 || state == "cancelled",
            "{n}: {status} {state}"
        );
    }
    d.event(Event::Wake);
    d.event(Event::Wake);
    assert_eq!(marked(&d), 400);
    for n in [2, 301, 302, 400] {
        assert_eq!(state(&mut d, n), "cancelled");
    }
    d.stores = true;
    d.wait(2.0);
    assert!(d.s.jobs.len() <= 1 && !placed(&d, 400));
}

/// What an earlier leader did not note as done is read: within the budget, each in its
/// turn, also behind those that can't be read.
#[test]
fn ends_that_a_new_leader_has_to_read_are_read_in_turn() {
    let mut d = desk(5, vec![]);
    let mut found = vec![];
    for n in 1..=100 {
        d.submit(&job(n, 1));
        d.submit(&needing(1000 + n, [n]));
        found.push(on_record(&d, 1000 + n));
    }
    let mut next = desk(6, found);
    let mut asked: Vec<usize> = vec![];
    let mut done = std::collections::BTreeSet::new();
    while done.len() < 90 && asked.len() < 400 {
        next.wait(0.25);
        let fx = std::mem::take(&mut next.fx);
        let read = fx.into_iter().filter_map(|f| match f {
            Effect::ReadFinal(i) => Some(i),
            _ => None,
        });
        let read: Vec<JobId> = read.collect();
        asked.push(read.len());
        for i in read {
            // The first ten never answer.
            let answers = i > id(10);
            let r = answers.then(|| Some(over(JobState::Done))).ok_or(());
            next.event(Event::FinalRead(i.clone(), r));
            done.extend(answers.then_some(i));
        }
    }
    let seconds: Vec<usize> = asked.chunks(4).map(|c| c.iter().sum()).collect();
    assert_eq!(done.len(), 90, "{seconds:?}");
    // A fifth of the requests that the state service takes, twice that at first.
    let most = next.s.config.lookup_reads_per_s * 2.0;
    let later = seconds.iter().skip(1).all(|n| *n as f64 <= most + 1.0);
    assert!(
        later && seconds[0] as f64 <= 3.0 * most + 1.0,
        "{seconds:?}"
    );
    assert_eq!(poll(&mut next, 1001).0, 503);
    assert_eq!(poll(&mut next, 1100).0, 200);
}

/// Of one that was lost nobody was told anything else: those that need it wait, and say
/// so, and questions about them are answered.
#[test]
fn a_job_that_needs_one_of_which_nothing_is_on_record_waits() {
    let mut d = desk(5, vec![]);
    d.submit(&job(1, 1));
    d.submit(&needing(2, [1]));
    let mut next = desk(6, vec![on_record(&d, 2)]);
    machines(&mut next, 1);
    assert_eq!(poll(&mut next, 2).0, 503);
    next.event(Event::FinalRead(id(1), Ok(None)));
    next.wait(10.0);
    assert_eq!(state(&mut next, 2), "queued");
    assert!(!placed(&next, 2));
    assert_eq!(next.s.jobs[&id(2)].detail().dependencies, [id(1)]);
}

/// Two ways of other lengths to the last job: the longest counts.
#[test]
fn the_longest_way_decides_by_when_a_job_is_to_be_done() {
    let mut d = desk(5, vec![]);
    d.submit(&job(1, 1));
    for (n, needs, run) in [(2, vec![1], 100.0), (3, vec![1], 10.0), (4, vec![3], 40.0)] {
        let mut j = needing(n, needs);
        j.estimate_s = run;
        d.submit(&j);
    }
    let mut last = needing(5, [2, 4]);
    (last.deadline_s, last.estimate_s) = (Some(600.0), 50.0);
    d.submit(&last);
    let due = |n: u64| {
        let due = d.s.jobs[&id(n)].inherited_due();
        due.map(|t| (t - Time(d.now)).as_secs())
    };
    let all = [5, 4, 3, 2, 1].map(due);
    assert_eq!(
        all,
        [None, Some(550.0), Some(510.0), Some(550.0), Some(450.0)]
    );
}

/// Its user sets priority and deadline on the last job alone.
#[test]
fn a_job_counts_with_the_priority_and_the_deadline_of_the_last_that_needs_it() {
    let mut d = desk(5, vec![]);
    let mut first = job(1, 1);
    first.priority = Priority::Low;
    d.submit(&first);
    d.submit(&needing(2, [1]));
    assert_eq!(d.s.jobs[&id(1)].priority(), Priority::Normal);
    let mut last = needing(3, [2]);
    (last.priority, last.deadline_s) = (Priority::High, Some(300.0));
    d.submit(&last);
    assert_eq!(d.s.jobs[&id(1)].priority(), Priority::High);
    // 300 s, less twenty for the last and twenty for the one before it.
    let due = |d: &Desk, n: u64| {
        d.s.jobs[&id(n)]
            .inherited_due()
            .map(|t| (t - Time(d.now)).as_secs())
    };
    assert_eq!((due(&d, 1), due(&d, 2)), (Some(260.0), Some(280.0)));
    let now = d.now;
    // A later leader works out the same.
    let found = [1, 2, 3].map(|n| on_record(&d, n)).to_vec();
    let mut next = desk(6, found);
    next.wait(0.25);
    assert_eq!(next.s.jobs[&id(1)].priority(), Priority::High);
    // It is called off: the others count as before.
    d.ask(Request::Cancel(id(3).to_string()));
    assert_eq!(d.now, now);
    assert_eq!(d.s.jobs[&id(1)].priority(), Priority::Normal);
    assert_eq!(due(&d, 1), None);
}

/// Others start only once it is stored.
#[test]
fn the_end_of_a_job_that_others_need_is_written_ahead_of_other_ends() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    for n in 1..=3 {
        d.submit(&job(n, 1));
    }
    d.submit(&needing(4, [2]));
    let mut urgent = needing(5, [3]);
    urgent.priority = Priority::High;
    d.submit(&urgent);
    for n in 1..=3 {
        run(&mut d, n, 10 * n);
    }
    d.stores = false;
    let ends = (1..=3).map(|n| {
        let a = d.attempt(id(n).as_str(), 0).expect("placed");
        ended(id(n).as_str(), 0, a, Cause::Done)
    });
    let mut r = report(1, 100, Token(5 << 24));
    (r.addr, r.tasks) = (None, ends.collect());
    d.beat(&r);
    let mut written = vec![];
    while let Some(next) = d.s.write_queue.pop() {
        let Some(j) = d.s.jobs.get_mut(&next.job) else {
            continue;
        };
        if j.dequeue_write(next.part, next.purpose) {
            written.push(next.job);
        }
    }
    assert_eq!(written, [id(3), id(2), id(1)]);
}

/// A thousand that need one, and a chain above it: no event looks at all of them.
#[test]
fn what_is_inherited_goes_up_a_bounded_number_of_steps_at_a_time() {
    let mut d = desk(5, vec![]);
    d.submit(&job(1, 1));
    for n in 2..=600 {
        assert_eq!(submit(&mut d, &needing(n, [n - 1])), Some(201));
    }
    let mut last = needing(700, [600]);
    last.priority = Priority::High;
    d.submit(&last);
    let high = |d: &Desk| {
        let all = d.s.jobs.values();
        all.filter(|j| j.priority() == Priority::High).count()
    };
    assert!(high(&d) < 600, "{} in one event", high(&d));
    d.wait(1.0);
    assert_eq!(high(&d), 601);
}

/// Low work that an urgent job needs has room made for it, and makes none itself.
#[test]
fn preemption_goes_by_the_priority_of_what_needs_a_job() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 1);
    // Normal work fills the machine.
    for n in 1..=4 {
        d.submit(&job(n, 1));
    }
    let mut r = report(1, 10, Token(5 << 24));
    r.addr = None;
    d.beat(&r);
    r.seq = Seq(11);
    let running = |n: u64| {
        let a = d.attempt(id(n).as_str(), 0).expect("placed");
        task(id(n).as_str(), 0, a, TaskState::Running)
    };
    r.tasks = (1..=4).map(running).collect();
    d.beat(&r);
    let mut low = job(5, 1);
    low.priority = Priority::Low;
    d.submit(&low);
    let stops = |d: &Desk| {
        let all = d.s.jobs.values().flat_map(|j| j.active.values());
        all.filter(|l| l.stop.is_some()).count()
    };
    d.wait(2.0);
    assert_eq!(stops(&d), 0);
    let mut urgent = needing(6, [5]);
    urgent.priority = Priority::High;
    d.submit(&urgent);
    d.wait(2.0);
    assert_eq!(
        stops(&d),
        1,
        "no room was made for what an urgent job needs"
    );
}

#[test]
fn a_gang_and_a_service_may_need_others() {
    let mut d = desk(5, vec![]);
    machines(&mut d, 2);
    d.submit(&job(1, 1));
    let mut gang = needing(2, [1]);
    (gang.kind, gang.tasks) = (JobKind::Gang, 2);
    let mut service = needing(3, [1]);
    service.kind = JobKind::Service;
    assert_eq!(submit(&mut d, &gang), Some(201));
    assert_eq!(submit(&mut d, &service), Some(201));
    d.wait(1.0);
    assert!(!placed(&d, 2) && !placed(&d, 3));
    let host = d.s.jobs[&id(1)].active[&TaskIndex(0)].host.clone();
    assert_eq!(host, report(1, 1, Token(0)).host);
    run(&mut d, 1, 10);
    finish(&mut d, 1, 20);
    d.wait(1.0);
    assert!(placed(&d, 2) && placed(&d, 3));
}

/// A chain through a record that can't be read waits, and says so.
#[test]
fn a_job_that_needs_one_whose_record_cant_be_read_waits() {
    let mut d = desk(5, vec![]);
    d.submit(&job(1, 1));
    d.submit(&needing(2, [1]));
    let found = on_record(&d, 2);
    let mut next = desk(6, vec![]);
    let unreadable = |state| [(id(1), state)].into_iter().collect();
    next.s.load(
        Time(next.now),
        vec![found.clone()],
        unreadable(JobState::Queued),
    );
    machines(&mut next, 1);
    next.wait(2.0);
    assert!(!placed(&next, 2));
    assert_eq!(state(&mut next, 2), "queued");
    assert_eq!(next.s.jobs[&id(2)].detail().dependencies, [id(1)]);
    // A further one may name it all the same.
    assert_eq!(submit(&mut next, &needing(3, [1])), Some(201));
    // What can be read of it says that it was cancelled.
    let mut next = desk(7, vec![]);
    next.s
        .load(Time(next.now), vec![found], unreadable(JobState::Cancelled));
    assert_eq!(state(&mut next, 2), "cancelled");
}

/// Leading zeros, and names too long for the arithmetic, too.
#[test]
fn needs_are_read_as_they_were_written() {
    for seed in 0..300 {
        let mut r = StdRng::seed_from_u64(seed);
        let mut name = || {
            let digits = match r.random_range(0..3) {
                0 => r.random_range(1..8),
                1 => r.random_range(36..61),
                _ => 6,
            };
            let digit = |_| char::from(b'0' + r.random_range(0..10u8));
            let digits: String = (0..digits).map(digit).collect();
            JobId::from(format!("job-{digits}").as_str())
        };
        let needs: DependencyIds = (0..seed % 60).map(|_| name()).collect();
        assert_eq!(DependencyIds::decode(&needs.encode()), Some(needs));
    }
}

#[test]
fn two_hundred_names_take_a_few_hundred_bytes() {
    for seed in 0..100 {
        let mut r = StdRng::seed_from_u64(seed);
        let needs: DependencyIds = (0..200).map(|_| id(r.random_range(0..1_000_000))).collect();
        let bytes = needs.encode().len();
        assert!(bytes <= 640, "{bytes} bytes");
    }
}

#[test]
fn what_is_no_list_of_needs_is_not_read() {
    for wrong in [
        "x", "6:~", "2:yMgBk", "=12x", "40:A", "6:g", "6", "=", "-1:A",
    ] {
        assert_eq!(DependencyIds::decode(wrong), None, "{wrong}");
    }
}
