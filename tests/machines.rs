//! Machines that hang and resume, machines reached only by direct calls, and duplicate
//! reports that reach a new leader, each combined with another fault.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{DirectResult, Event};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use hookworks::wire::worker::*;
use world::desk::{Desk, report, task};
use world::{Ev, World, job};

const JOB: &str = "job-000001";

fn host(n: u32) -> Host {
    Host::from(format!("n-{n:06}").as_str())
}

/// Machine 1 answers each direct call in flight, reporting `running` and what the call
/// starts.
fn answer_calls(d: &mut Desk, seq: &mut u64, running: &[(&str, Attempt)]) {
    for (call, h, orders) in d.direct() {
        *seq += 1;
        let mut r = report(1, *seq, orders.token);
        let shown = running
            .iter()
            .map(|(j, a)| task(j, 0, *a, TaskState::Running));
        r.tasks.extend(shown);
        for o in &orders.commands {
            if let Command::Run { task: t, attempt } = o {
                let started = task(t.job.as_str(), 0, *attempt, TaskState::Fetching);
                r.tasks.push(started);
            }
        }
        d.event(Event::Direct(call, h, DirectResult::Done(Box::new(r))));
    }
}

/// Answers to direct calls made a machine look alive: it got more and more tasks, which
/// all ended when the lease expired, as no call renews it.
#[test]
fn a_machine_that_answers_calls_but_sends_no_heartbeats_gets_no_new_tasks() {
    let mut d = Desk::new(5);
    let mut seq = 1;
    d.beat(&report(1, seq, Token(0)));
    d.submit(&job(1, 1));
    answer_calls(&mut d, &mut seq, &[]);
    let first = d.attempt(JOB, 0).expect("placed");
    // From here on its heartbeats stop arriving.
    d.wait(3.0);
    d.submit(&job(2, 1));
    answer_calls(&mut d, &mut seq, &[(JOB, first)]);
    d.wait(4.0);
    d.submit(&job(3, 1));
    assert_eq!(
        d.attempt("job-000003", 0),
        None,
        "placed where the lease will expire"
    );
    let calls = d.direct();
    let starts = |o: &Command| matches!(o, Command::Run { .. });
    assert!(!calls.iter().any(|c| c.2.commands.iter().any(starts)));
    // It is released like any silent machine, and its tasks wait for that.
    d.wait(6.0);
    assert_eq!(d.released(), vec![host(1)]);
    assert_eq!(d.attempt(JOB, 0), Some(first));
}

/// An attempt still waiting to be stored when the heartbeats stop is not started by a
/// direct call.
#[test]
fn a_direct_call_starts_nothing_after_heartbeats_have_stopped() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let mut seq = 1;
    answer_calls(&mut d, &mut seq, &[]);
    d.wait(4.0);
    d.stores = false;
    d.submit(&job(2, 1));
    assert!(d.attempt("job-000002", 0).is_some(), "placed");
    d.ask(Request::Cancel(JOB.into()));
    answer_calls(&mut d, &mut seq, &[]);
    assert_eq!(d.attempt(JOB, 0), None, "a call ended it");
    d.wait(2.0);
    d.store();
    d.event(Event::Wake);
    let calls = d.direct();
    let starts = |o: &Command| matches!(o, Command::Run { .. });
    assert!(!calls.iter().any(|c| c.2.commands.iter().any(starts)));
}

/// Direct calls renew no lease: an attempt is gone once the lease renewed by the last
/// heartbeat answer has expired, however often its machine answers calls.
#[test]
fn answers_to_direct_calls_renew_no_lease() {
    let mut d = Desk::new(5);
    let mut seq = 1;
    d.beat(&report(1, seq, Token(0)));
    seq += 1;
    d.beat(&report(1, seq, Token(0)));
    let answered = d.s.machines[&host(1)].last_renewal;
    d.submit(&job(1, 1));
    answer_calls(&mut d, &mut seq, &[]);
    let first = d.attempt(JOB, 0).unwrap();
    d.wait(3.0);
    d.submit(&job(2, 1));
    assert!(d.attempt("job-000002", 0).is_some());
    let before = seq;
    answer_calls(&mut d, &mut seq, &[(JOB, first)]);
    assert!(seq > before, "it answered a call");
    while d.attempt(JOB, 0) == Some(first) {
        assert_eq!(d.s.machines[&host(1)].last_renewal, answered);
        d.wait(1.0);
        assert!(d.now < 4_030_000_000, "its lease seemed to be renewed");
    }
    assert!(Time(d.now) > answered + Span::secs(20.0), "too early");
}

/// A direct call to start a task was in flight when the job was cancelled. The answer
/// to a heartbeat overtook it: the worker was told to stop a task it did not have, its
/// lease was renewed, and the call then started the task.
#[test]
fn an_answer_that_overtakes_a_direct_call_invalidates_it() {
    let mut d = Desk::new(5);
    d.hear = false;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let (call, h, held) = d.direct().remove(0);
    assert!(matches!(&held.commands[..], [Command::Run { .. }]));
    let cancel = d.ask(Request::Cancel(JOB.into()));
    assert_eq!(d.status(cancel), Some(200));
    let a = d.beat(&report(1, 2, held.token)).expect("answered");
    assert!(a.token > held.token, "the call would be carried out");
    // The worker rejects the invalidated call, and the attempt is gone.
    let conflict = Box::new(report(1, 3, a.token));
    d.event(Event::Direct(call, h, DirectResult::Conflict(conflict)));
    d.beat(&report(1, 4, a.token));
    assert_eq!(d.attempt(JOB, 0), None);
}

/// A leader that loads a task placed by an earlier one; direct calls are refused.
fn new_leader_with_inherited_task() -> (Desk, Attempt) {
    let mut d = Desk::new(5);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    let a = d.attempt(JOB, 0).unwrap();
    let j = &d.s.jobs[&JOB.into()];
    let mut j = Job::decode(&j.encode(0), Time(d.now), WallTime(d.now / 1000)).unwrap();
    (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
    let mut d = Desk::with(6, vec![j]);
    (d.refuses, d.hear) = (true, false);
    (d, a)
}

/// A new leader took consecutive duplicates for heartbeats without effect of its
/// answers: the machine was marked unreachable, its heartbeats were refused, and its
/// tasks ended when the lease expired.
#[test]
fn consecutive_duplicates_do_not_mark_a_machine_unreachable() {
    let (mut d, a) = new_leader_with_inherited_task();
    let old = Token(Epoch(5).base() + 3);
    let mut r = report(1, 0, old);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    for seq in 10..18 {
        r.seq = Seq(seq);
        d.beat(&r);
        d.now += 40_000;
    }
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
    // One lost answer in addition, then the worker confirms the token.
    d.wait(2.0);
    r.seq = Seq(30);
    assert!(d.beat(&r).is_some());
    d.wait(3.0);
    (r.seq, r.token) = (Seq(31), Token(Epoch(6).base()));
    assert!(d.beat(&r).is_some());
    assert!(d.s.machines[&host(1)].unreachable_since.is_none());
    assert_eq!(d.attempt(JOB, 0), Some(a));
}

/// A duplicate from an earlier session, then the worker's current heartbeat: its later
/// session does not prove that answers were lost.
#[test]
fn a_session_later_than_that_of_a_duplicate_does_not_mark_a_machine_unreachable() {
    let (mut d, a) = new_leader_with_inherited_task();
    let old = Token(Epoch(5).base() + 3);
    d.beat(&report(1, 900, old));
    d.wait(2.0);
    let mut r = report(1, 7, old);
    r.session = Session(2);
    r.tasks = vec![task(JOB, 0, a, TaskState::Running)];
    // The answer to its first current heartbeat is lost in addition.
    for seq in [7, 8] {
        r.seq = Seq(seq);
        assert!(d.beat(&r).is_some());
        assert!(d.s.machines[&host(1)].unreachable_since.is_none());
        d.wait(3.0);
    }
    assert_eq!(d.attempt(JOB, 0), Some(a));
}

/// A duplicate of an old report caused the answer that the worker was waiting for to be
/// refused.
#[test]
fn a_duplicate_of_an_old_report_displaces_no_held_answer() {
    let mut d = Desk::set_up(5, vec![], |c| c.heartbeat_hold = Span::millis(300));
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.stores = false;
    d.submit(&job(1, 1));
    assert!(d.attempt(JOB, 0).is_some(), "placed, not stored");
    let ask = |d: &mut Desk, seq| {
        let body = serde_json::to_vec(&report(1, seq, Token(0))).unwrap();
        d.ask(Request::Report(body))
    };
    let waits = ask(&mut d, 3);
    assert_eq!(d.status(waits), None, "held");
    for seq in [1, 2, 3] {
        let copy = ask(&mut d, seq);
        assert_eq!(d.status(copy), Some(503));
    }
    assert_eq!(d.status(waits), None, "refused because of a duplicate");
    d.stores = true;
    d.wait(0.5);
    assert_eq!(d.status(waits), Some(200));
}

/// A busy fleet: long arrays, a service and a gang of both teams.
fn busy_fleet(seed: u64, change: impl Fn(&mut World)) -> World {
    let mut w = World::new(seed, 3);
    w.run_s = 400.0;
    change(&mut w);
    w.run(2.0);
    w.submit_of(1, 3, "red", JobKind::Array);
    w.submit_of(2, 2, "red", JobKind::Service);
    w.submit_of(3, 4, "blue", JobKind::Array);
    w.submit_of(4, 2, "blue", JobKind::Gang);
    w.run(40.0);
    w.assert_rules();
    assert!(w.started >= 8, "hardly anything runs: {}", w.started);
    w
}

fn change_leader(w: &mut World, in_s: f64) {
    let leader = w.leader().expect("a leader");
    w.at(in_s, Ev::Kill(leader));
    w.at(in_s + 0.4, Ev::Restart(leader));
}

/// Duplicates of reports to earlier leaders, from current and earlier sessions, reach
/// all controllers with each new leader: no task is lost or runs twice, and no machine
/// is marked unreachable.
#[test]
fn duplicates_that_reach_each_new_leader_change_nothing() {
    for seed in 0..8 {
        let mut w = busy_fleet(seed, |w| w.at(0.0, Ev::KeepReports(0.3)));
        let begun = w.started;
        for n in 0..3 {
            change_leader(&mut w, 0.0);
            w.run(7.0 + 3.0 * n as f64);
            let i = w.leader().expect("a leader");
            let unreachable =
                |m: &hookworks::sched::machine::Machine| m.unreachable_since.is_some();
            assert!(
                !w.sched(i).machines.values().any(unreachable),
                "seed {seed}"
            );
        }
        w.assert_rules();
        assert_eq!(w.started, begun, "seed {seed}: something began anew");
        // Duplicates from an earlier session, too.
        for h in w.workers.keys().cloned().collect::<Vec<Host>>() {
            w.at(0.0, Ev::Reborn(h));
        }
        change_leader(&mut w, 1.5);
        w.run(40.0);
        change_leader(&mut w, 0.0);
        w.run(60.0);
        w.assert_rules();
    }
}

/// Submits small jobs between the two times; each is cancelled soon after its start.
fn submit_and_cancel_small_jobs(w: &mut World, from_s: f64, until_s: f64) -> Vec<JobId> {
    let mut ids = vec![];
    let mut at = from_s;
    while at < until_s {
        let j = job(100 + ids.len() as u64, 1);
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j.clone());
        for k in 0..3 {
            w.at(at + 0.3 * k as f64, Ev::User(Request::Submit(body.clone())));
            let ask = Request::Cancel(j.id.to_string());
            w.at(at + 1.5 + 0.3 * k as f64, Ev::User(ask));
        }
        ids.push(j.id);
        at += 2.0;
    }
    ids
}

/// Machines reach no controller, for less and for more than a lease, around a change of
/// leader. Their tasks restart elsewhere once proven gone, and nothing is started there
/// that would end when the lease expires.
#[test]
fn tasks_on_machines_reached_only_by_calls_restart_elsewhere_and_run_once() {
    for seed in 0..24 {
        let mute_s = [8.0, 19.0, 23.0, 70.0][seed as usize % 4];
        let changes = seed % 3 != 0;
        let mut w = busy_fleet(seed, |w| {
            (w.wealth, w.refuses_releases) = (2.0, seed % 3 != 1);
        });
        // The last machine has free resources.
        let all: Vec<Host> = w.workers.keys().rev().cloned().collect();
        let many = if seed % 2 == 0 { 1 } else { all.len() };
        for h in all.iter().take(many) {
            w.at(0.0, Ev::Mute(h.clone(), true));
            w.at(mute_s, Ev::Mute(h.clone(), false));
        }
        if changes {
            change_leader(&mut w, seed as f64 / 3.0);
        }
        let ids = submit_and_cancel_small_jobs(&mut w, 1.0, mute_s);
        w.run(mute_s);
        // Jobs submitted after its last heartbeat was too old; a new leader treats it
        // as just met.
        let late = &ids[3..];
        let started = |h: &Host| late.iter().map(|id| w.runs_on(id, h)).sum::<usize>();
        let died: usize = all.iter().take(many).map(started).sum();
        let most = if changes { 4 } else { 0 };
        assert!(died <= most, "seed {seed}: {died} starts without reports");
        w.run(150.0);
        w.assert_rules();
        for n in [2, 3] {
            let on = w.hosts_of(&job(n, 1).id).len();
            let done = w.done_tasks.iter().any(|t| t.job == job(n, 1).id);
            assert!(on > 0 || done, "seed {seed}: job {n} runs nowhere");
        }
    }
}

/// Every team is at its quota and more jobs wait; the running ones are cancelled within
/// 0.2 s, their machines hang, and the leader changes. Attempts not proven gone keep
/// their resources and quota; once the last is gone, the waiting jobs get all of it
/// within seconds.
#[test]
fn resources_of_hanging_attempts_are_reused_only_once_they_are_gone() {
    for seed in 0..40 {
        let hang_s = [0.7, 3.9, 11.0, 19.6, 20.6, 24.0, 41.0, 43.0][seed as usize % 8];
        let mut w = World::new(seed, 3);
        w.run_s = 400.0;
        w.refuses_releases = seed % 3 == 0;
        w.run(2.0);
        let old = w.submit_of(1, 6, "red", JobKind::Service);
        w.submit_of(2, 8, "blue", JobKind::Service);
        w.run(45.0);
        assert_eq!((w.cpus_of("red"), w.cpus_of("blue")), (12.0, 16.0));
        let new = w.submit_of(3, 6, "red", JobKind::Service);
        w.submit_of(4, 8, "blue", JobKind::Service);
        w.run(4.0);
        w.at(0.0, Ev::CancelNow(2, Some(hang_s)));
        match seed % 5 {
            0 => {}
            n => change_leader(&mut w, [0.0, 0.1, 1.0, 6.0][n as usize - 1]),
        }
        let mut waited = 0;
        while w.cpus_of("red") < 12.0 || !w.hosts_of(&old).is_empty() {
            w.run(1.0);
            waited += 1;
            // The previous leader's grace period, a lease, and the boot of a machine.
            assert!(waited < 75, "seed {seed}: resources are kept for too long");
        }
        assert!(!w.hosts_of(&new).is_empty());
        w.run(80.0);
        w.assert_rules();
        assert_eq!(
            (w.cpus_of("red"), w.cpus_of("blue")),
            (12.0, 16.0),
            "seed {seed}"
        );
    }
}
