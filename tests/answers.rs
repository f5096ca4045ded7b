//! No controller ever returns a state older than one that any user got before the request
//! was sent. Users ask all controllers while final states are written, responses get lost,
//! followers are partitioned and leaders change.

mod world;

use hookworks::election::{Candidate, ElectionOutcome, Elector};
use hookworks::ids::*;
use hookworks::store::TxnOutcome;
use hookworks::store::commit::{Committer, Step};
use hookworks::time::{Span, Time};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobSpec, JobState};
use hookworks::wire::worker::{Cause, TaskState};
use rand::RngExt;
use world::close_looks::CloseLooks;
use world::desk::{Desk, ended, report, task};
use world::links::Link;
use world::store::Handle;
use world::{Chaos, Ev, World, job, settings};

const JOB: &str = "job-000001";
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A controller in each zone, and users that check every response.
fn fleet(seed: u64, cancels: f64) -> World {
    let mut w = World::wide(seed, &ZONES, 2);
    w.run_s = 4.0;
    w.close_looks = Some(CloseLooks::new(seed, cancels));
    w.run(2.0);
    w
}

/// Controller `i` reaches the state service and its users, but no other controller.
fn cut_from_peers(w: &mut World, i: usize, link: Link) {
    let here = w.zone_of(i);
    for other in ZONES.into_iter().filter(|z| *z != here.as_str()) {
        w.set_link(here.as_str(), other, link);
        w.set_link(other, here.as_str(), link);
    }
}

fn submits(w: &mut World, j: &JobSpec) -> Request {
    w.specs.insert(j.id.clone(), j.clone());
    Request::Submit(serde_json::to_vec(j).unwrap())
}

/// Users poll the job at every controller in turn for `for_s` seconds.
fn ask_everywhere(w: &mut World, id: &str, from_s: f64, for_s: f64) {
    let n = (for_s / 0.06) as usize;
    for k in 0..n {
        let ask = Request::Poll(id.into());
        w.at(from_s + 0.06 * k as f64, Ev::UserVia(k % 3, ask));
    }
}

/// What happens to a write whose response is lost.
#[derive(Clone, Copy, Debug)]
enum LostWrite {
    CarriedOut,
    /// Arrives after its replacement was written, so it fails.
    Late,
}

/// Two jobs run to the end and two are cancelled; the leader may crash after a while. The
/// response to write `n` is lost while a follower that is partitioned from the others reads
/// the written state.
fn run_with_one_lost_write(n: u64, lost_write: LostWrite, leader_ends_s: Option<f64>) -> World {
    let mut w = fleet(n, 0.0);
    let leader = w.leader().expect("a leader");
    cut_from_peers(&mut w, (leader + 1) % 3, Link::Cut);
    let write = w.transactions + n;
    match lost_write {
        LostWrite::CarriedOut => w.lost_answers.one = Some(write),
        LostWrite::Late => w.late_one = Some((write, 30.0)),
    }
    // One after the other, so that each has writes of its own.
    for number in 1..=4 {
        let mut j = job(number, 2);
        // In the zone whose machines reach the leader and the next one.
        let third = (leader + 2) % 3;
        j.zone = Some(w.zone_of(third));
        let (ask, at) = (submits(&mut w, &j), 1.1 * (number - 1) as f64);
        for k in 0..35 {
            w.at(at + 2.0 * k as f64, Ev::UserVia(leader, ask.clone()));
            w.at(at + 2.0 * k as f64, Ev::UserVia(third, ask.clone()));
        }
        ask_everywhere(&mut w, j.id.as_str(), at, 45.0);
        for k in (0..8).filter(|_| number % 2 == 0) {
            let at = 5.0 + 0.7 * n as f64 + k as f64;
            let cancel = Request::Cancel(j.id.to_string());
            w.at(at, Ev::UserVia(third, cancel));
        }
    }
    let end = w.now + 40_000_000;
    while w.transactions < write && w.step(end) {}
    if let Some(s) = leader_ends_s {
        w.at(s, Ev::Kill(leader));
        w.at(s + 9.0, Ev::Restart(leader));
    }
    w.run(50.0);
    // The current leader may have had no path to any machine.
    cut_from_peers(&mut w, (leader + 1) % 3, Link::Open);
    w.run(60.0);
    w
}

/// Each write in turn, with and without a change of leader soon after it.
#[test]
fn no_stale_response_while_a_write_outcome_is_unknown() {
    let (mut read, mut lost, mut cancelled) = (0, 0, 0);
    let lost_writes = [LostWrite::CarriedOut, LostWrite::Late];
    let ends = [None, Some(0.3), Some(1.2)];
    for n in 1..=12 {
        for (lost_write, ends) in lost_writes.iter().flat_map(|f| ends.map(|e| (*f, e))) {
            let mut w = run_with_one_lost_write(n, lost_write, ends);
            let b = w.broken.first();
            assert!(
                b.is_none(),
                "write {n}, {lost_write:?}, leader ends {ends:?}: {b:?}"
            );
            for number in 1..=4 {
                match w.state_of(&format!("job-{number:06}")) {
                    Some(JobState::Cancelled) if number % 2 == 0 => cancelled += 1,
                    end => assert_eq!(
                        end,
                        Some(JobState::Done),
                        "{n} {lost_write:?} {ends:?} {number}"
                    ),
                }
            }
            read += w.questions.read_by_followers;
            lost += w.lost_answers.lost;
        }
    }
    assert!(read > 1000, "followers hardly read any: {read}");
    assert!(lost > 25, "hardly any answer was lost: {lost}");
    assert!(cancelled > 20, "hardly any job was cancelled: {cancelled}");
}

/// The committer of an elected leader.
fn committer(s: &Handle) -> Committer {
    let me = Candidate {
        label: "a".into(),
        instance: Instance(1),
        address: None,
        bound_at: Time(0),
    };
    match Elector::new(s.clone(), me, Span::secs(2.0)).step(|| Time(0)) {
        ElectionOutcome::Elected {
            revision: stamp, ..
        } => Committer::new(stamp, &settings("x").platform.params.state),
        e => panic!("{e:?}"),
    }
}

/// Writes the next transaction. It gets the given outcome, or else the store's; it is
/// carried out unless the outcome is `NotDone`.
fn write(s: &Handle, c: &mut Committer, d: &mut Desk, outcome: Option<TxnOutcome>) -> bool {
    d.now += 300_000;
    let Some((id, txn)) = c.next_txn(Time(d.now), &mut d.s) else {
        return false;
    };
    let o = match outcome {
        Some(TxnOutcome::NotApplied) => TxnOutcome::NotApplied,
        Some(o) => {
            s.apply(&txn);
            o
        }
        None => s.apply(&txn),
    };
    let (mut events, steps) = c.handle_outcome(Time(d.now), id, o, &mut d.s);
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
    true
}

/// A job whose only task is done, which is not stored yet.
fn desk_with_unstored_end(s: &Handle, c: &mut Committer) -> Desk {
    let mut d = Desk::new(5);
    d.stores = false;
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    while write(s, c, &mut d, None) {}
    let attempt = d.attempt(JOB, 0).expect("placed");
    let mut r = report(1, 2, Token(0));
    r.tasks = vec![task(JOB, 0, attempt, TaskState::Running)];
    d.beat(&r);
    while write(s, c, &mut d, None) {}
    let mut r = report(1, 3, Token(0));
    r.tasks = vec![ended(JOB, 0, attempt, Cause::Done)];
    d.beat(&r);
    d
}

/// A final state was written and the response was lost. Readers of the state service
/// returned `done` while the leader still returned `running`.
#[test]
fn leader_returns_no_stale_state_while_its_final_write_is_unclear() {
    let s = Handle::default();
    let mut c = committer(&s);
    let mut d = desk_with_unstored_end(&s, &mut c);
    let before = d.ask(Request::Poll(JOB.into()));
    assert_eq!(d.status(before), Some(200), "nothing of it was sent yet");
    assert!(write(&s, &mut c, &mut d, Some(TxnOutcome::Unknown)));
    let asked = [
        d.ask(Request::Poll(JOB.into())),
        d.submit(&job(1, 1)),
        d.ask(Request::Cancel(JOB.into())),
    ];
    for req in asked {
        assert_eq!(d.status(req), None, "it may be older than what is stored");
    }
    while write(&s, &mut c, &mut d, None) {}
    for req in asked {
        let a = d.answer(req).expect("answered");
        assert!(a.status == 200 && a.body.contains("\"done\""), "{a:?}");
    }
}

/// While the state service refuses writes, polls are answered from memory: a refused write
/// is stored nowhere. The same holds before the write is sent.
#[test]
fn polls_are_answered_from_memory_while_final_writes_are_refused() {
    let s = Handle::default();
    let mut c = committer(&s);
    let mut d = desk_with_unstored_end(&s, &mut c);
    for _ in 0..5 {
        assert!(write(&s, &mut c, &mut d, Some(TxnOutcome::NotApplied)));
        let poll = d.ask(Request::Poll(JOB.into()));
        assert_eq!(d.status(poll), Some(200));
    }
    // A write without a response may still be carried out.
    assert!(write(&s, &mut c, &mut d, Some(TxnOutcome::Unknown)));
    assert!(write(&s, &mut c, &mut d, Some(TxnOutcome::NotApplied)));
    let poll = d.ask(Request::Poll(JOB.into()));
    assert_eq!(d.status(poll), None);
    while write(&s, &mut c, &mut d, None) {}
    assert_eq!(d.status(poll), Some(200));
}

/// Polls wait only milliseconds while the final state is being written.
#[test]
fn polls_at_the_end_of_a_job_wait_no_longer_than_a_write_takes() {
    let mut w = fleet(5, 0.0);
    w.submit(job(1, 3));
    ask_everywhere(&mut w, JOB, 1.0, 40.0);
    w.run(45.0);
    w.assert_rules();
    let polls = w.answers.iter().filter(|a| matches!(a.0, Request::Poll(_)));
    let (fine, refused): (Vec<_>, Vec<_>) = polls.partition(|a| a.1.status == 200);
    assert!(fine.len() > 600, "{}", fine.len());
    assert!(refused.is_empty(), "{:?}", refused.first());
    assert_eq!(w.state_of(JOB), Some(JobState::Done));
}

/// One job that is polled all the time.
fn one_job(seed: u64) -> World {
    let mut w = fleet(seed, 0.0);
    w.submit(job(1, 2));
    ask_everywhere(&mut w, JOB, 1.0, 40.0);
    w
}

/// The time at which the leader learns that the last task is done.
fn end_of_last_task(seed: u64) -> u64 {
    let mut w = one_job(seed);
    w.run(5.0);
    let (i, end) = (w.leader().expect("a leader"), w.now + 60_000_000);
    let lives = |w: &World| {
        let j = w.sched(i).jobs.get(&JobId::from(JOB));
        j.is_some_and(|j| j.closing_state.is_none())
    };
    assert!(lives(&w));
    while lives(&w) && w.step(end) {}
    w.now
}

/// A cancellation, polls and repeated submissions at all controllers around the end of the
/// last task, without other faults.
#[test]
fn responses_agree_when_cancellation_races_with_the_last_task() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..3 {
        let end = end_of_last_task(seed);
        for by_ms in -30..30 {
            let mut w = one_job(seed);
            let at = (end as i64 + by_ms * 1000 - w.now as i64) as f64 / 1e6;
            let again = submits(&mut w, &job(1, 2));
            for i in 0..3 {
                let cancel = Request::Cancel(JOB.into());
                w.at(at + 0.003 * i as f64, Ev::UserVia(i, again.clone()));
                w.at(at + 0.004 * i as f64, Ev::UserVia(i, cancel));
            }
            w.run(at + 6.0);
            w.assert_rules();
            match w.state_of(JOB) {
                Some(JobState::Done) => done += 1,
                Some(JobState::Cancelled) => cancelled += 1,
                s => panic!("{seed} {by_ms}: {s:?}"),
            }
        }
    }
    assert!(
        done > 10 && cancelled > 10,
        "{done} done, {cancelled} cancelled"
    );
}

/// Injects a random fault at a controller or the state service.
fn inject_fault(w: &mut World, at: f64) {
    let i = w.leader().unwrap_or(0);
    let other = (i + w.rng.random_range(1..3)) % 3;
    let long = w.rng.random_range(0.2..4.0);
    let (begin, end) = match w.rng.random_range(0..7) {
        0 => (Ev::Kill(i), Ev::Restart(i)),
        1 => (Ev::Refuse(i, true), Ev::Refuse(i, false)),
        2 => (Ev::StoreDown(true), Ev::StoreDown(false)),
        3 => (Ev::Lonely(i, true), Ev::Lonely(i, false)),
        4 => (Ev::Lonely(other, true), Ev::Lonely(other, false)),
        5 => (Ev::Freeze(i, long), Ev::LostElection),
        _ => (Ev::StepDown(i), Ev::LostElection),
    };
    w.at(at, begin);
    w.at(at + long, end);
}

/// Jobs are accepted, end and are cancelled all the time while responses of the state
/// service are lost, writes are late, messages are delayed and leaders change.
fn random_run(seed: u64) -> World {
    let mut w = fleet(seed, 0.25);
    w.questions.held = [0.0, 0.02, 0.2][w.rng.random_range(0..3)];
    w.chaos.lost_answer = [0.0, 0.1, 0.3][w.rng.random_range(0..3)];
    w.chaos.late_txn = [0.0, 0.1, 0.3][w.rng.random_range(0..3)];
    let cut = w.rng.random_range(0..3);
    let link = [Link::Cut, Link::Held, Link::Open][w.rng.random_range(0..3)];
    cut_from_peers(&mut w, cut, link);
    for n in 0..10 {
        let mut j = job(n, w.rng.random_range(1..4));
        if link != Link::Open {
            j.zone = Some(w.zone_of((cut + 1) % 3));
        }
        let ask = submits(&mut w, &j);
        let at = w.rng.random_range(0.0..20.0);
        for k in 0..20 {
            let via = w.rng.random_range(0..3);
            w.at(at + 1.7 * k as f64, Ev::UserVia(via, ask.clone()));
        }
        ask_everywhere(&mut w, j.id.as_str(), at, 40.0);
    }
    for _ in 0..4 {
        let at = w.rng.random_range(0.0..35.0);
        inject_fault(&mut w, at);
    }
    w.run(42.0);
    w.chaos = Chaos::default();
    w.questions.held = 0.0;
    cut_from_peers(&mut w, cut, Link::Open);
    w.run(60.0);
    w
}

#[test]
fn no_controller_returns_a_stale_state() {
    let more = std::env::var("ANSWERS").ok().and_then(|n| n.parse().ok());
    let (mut read, mut passed, mut lost, mut cancelled) = (0, 0, 0, 0);
    let mut faults = vec![];
    for seed in 0..more.unwrap_or(40) {
        let w = random_run(seed);
        if let Some(b) = w.broken.first() {
            faults.push(format!("seed {seed}: {b}"));
        }
        read += w.questions.read_by_followers;
        passed += w.questions.passed_back;
        lost += w.lost_answers.lost;
        cancelled += w.cancellations();
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let counts = format!("{read} read, {passed} passed on, {lost} lost, {cancelled} cancelled");
    assert!(
        read > 200 && passed > 2000 && lost > 50 && cancelled > 40,
        "{counts}"
    );
}

/// A follower that can't reach the leader returns no state of an unfinished job. One whose
/// leader has stopped doesn't forward polls to it for long.
#[test]
fn follower_without_a_leader_returns_final_states_only() {
    let mut w = fleet(3, 0.0);
    w.close_looks = None;
    w.submit(job(1, 1));
    w.run(30.0);
    w.run_s = 500.0;
    w.submit(job(2, 1));
    w.run(30.0);
    let i = (w.leader().unwrap() + 1) % 3;
    cut_from_peers(&mut w, i, Link::Cut);
    for id in [JOB, "job-000002", "job-000009"] {
        w.at(0.1, Ev::UserVia(i, Request::Poll(id.into())));
    }
    let before = w.answers.len();
    w.run(1.0);
    w.assert_rules();
    let told: Vec<_> = w.answers[before..].iter().map(|a| a.1.status).collect();
    assert_eq!(told.len(), 3);
    assert_eq!(w.answers_to(JOB).last(), Some(&200));
    assert_eq!(w.answers_to("job-000002").last(), Some(&503));
    assert_eq!(w.answers_to("job-000009").last(), Some(&503));
}
