//! Placement, gangs, preemption, quotas, and submissions and settings that are refused.

mod world;

use hookworks::ids::*;
use hookworks::sched::Event;
use hookworks::sched::job::part_size;
use hookworks::settings::{Platform, Tuning};
use hookworks::store::client::TxnOutcome;
use hookworks::store::commit::Committer;
use hookworks::time::Time;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, Priority};
use hookworks::wire::worker::*;
use std::collections::BTreeSet;
use world::desk::{Desk, ended, report, task};
use world::{World, job, settings};

fn host(n: u32) -> Host {
    Host::from(format!("n-{n:06}").as_str())
}

fn hosts_of(d: &Desk, j: &str) -> Vec<Host> {
    let j = &d.s.jobs[&JobId::from(j)];
    j.active.values().map(|l| l.host.clone()).collect()
}

/// Reports everything placed on the machine as running.
fn all_run(d: &mut Desk, n: u32, seq: u64) {
    let mut r = report(n, seq, Token(0));
    for j in d.s.jobs.values() {
        for (t, l) in j.active.iter().filter(|(_, l)| l.host == r.host) {
            let name = j.id().to_string();
            r.tasks
                .push(task(&name, t.0, l.attempt, TaskState::Running));
        }
    }
    d.beat(&r);
}

#[test]
fn spread_check_then_best_fit_then_free_join_then_empty_machine() {
    let mut d = Desk::new(1);
    d.s.config.tuning.delta_floor_s = 10.0;
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    let place = |d: &mut Desk, n: u64, estimate: f64, cpus: f64| {
        let mut j = job(n, 1);
        (j.estimate_s, j.cpus) = (estimate, cpus);
        j.team = "blue".into();
        d.submit(&j);
        hosts_of(d, j.id.as_str())[0].clone()
    };
    let first = place(&mut d, 1, 100.0, 2.0);
    // Within δ of the first (50 s): joins it.
    assert_eq!(place(&mut d, 2, 120.0, 1.0), first);
    // Far longer than the tasks there: neither a balanced join nor a free one.
    let second = place(&mut d, 3, 2000.0, 3.0);
    assert_ne!(second, first);
    // δ of a short task is 10 s: it is balanced on neither, but joins a machine that
    // stays up anyway; by best fit the one with less left.
    assert_eq!(place(&mut d, 4, 5.0, 1.0), first);
    // Balanced on the second machine only.
    assert_eq!(place(&mut d, 5, 1500.0, 1.0), second);
    let empty = place(&mut d, 6, 90_000.0, 1.0);
    assert!(empty != first && empty != second);
}

#[test]
fn median_of_three_finished_tasks_replaces_the_estimate() {
    let mut d = Desk::new(1);
    let mut j = job(1, 4);
    j.estimate_s = 500.0;
    d.submit(&j);
    d.beat(&report(1, 1, Token(0)));
    all_run(&mut d, 1, 2);
    let estimate_s = |d: &Desk| {
        let m = &d.s.machines[&host(1)];
        m.allocations.values().next().unwrap().estimate.as_secs()
    };
    let attempts: Vec<_> = (0..4)
        .map(|t| d.attempt("job-000001", t).unwrap())
        .collect();
    for (seq, t) in (3..).zip(0..3) {
        assert_eq!(estimate_s(&d), 500.0);
        d.wait(10.0);
        let mut r = report(1, seq, Token(0));
        for k in 0..4u32 {
            let a = attempts[k as usize];
            r.tasks.push(if k <= t {
                ended("job-000001", k, a, Cause::Done)
            } else {
                task("job-000001", k, a, TaskState::Running)
            });
        }
        d.beat(&r);
    }
    assert_eq!(estimate_s(&d), 20.0);
}

#[test]
fn team_limit_counts_attempts_that_may_still_run() {
    let mut d = Desk::new(1);
    d.refuses = true;
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.submit(&job(1, 10));
    assert_eq!(d.s.jobs[&JobId::from("job-000001")].active.len(), 6);
    // Cancelled and told to stop, but not proven to have ended: the next job waits.
    for n in 1..=2 {
        all_run(&mut d, n, 2);
    }
    d.ask(Request::Cancel("job-000001".into()));
    d.submit(&job(2, 1));
    assert!(d.s.jobs[&JobId::from("job-000002")].active.is_empty());
    for n in 1..=2 {
        d.beat(&report(n, 3, Token(0)));
    }
    assert_eq!(d.s.jobs[&JobId::from("job-000002")].active.len(), 1);
}

fn gang(n: u64, tasks: u32) -> JobSpec {
    let mut j = job(n, tasks);
    j.kind = JobKind::Gang;
    j.team = "blue".into();
    j
}

#[test]
fn gang_starts_and_restarts_as_a_whole_under_one_attempt_number() {
    let mut d = Desk::new(1);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&gang(1, 6));
    let id = JobId::from("job-000001");
    assert!(
        d.s.jobs[&id].active.is_empty(),
        "resources for four of six tasks only"
    );
    d.beat(&report(2, 1, Token(0)));
    let numbers: BTreeSet<_> = d.s.jobs[&id].active.values().map(|l| l.attempt).collect();
    assert_eq!((d.s.jobs[&id].active.len(), numbers.len()), (6, 1));
    all_run(&mut d, 1, 2);
    all_run(&mut d, 2, 2);
    // One member fails: the others are told to stop, and none restarts before all have
    // ended.
    let mut r = report(1, 3, Token(0));
    let mine: Vec<_> = d.s.jobs[&id]
        .active
        .iter()
        .filter(|(_, l)| l.host == host(1))
        .map(|(t, l)| (t.0, l.attempt))
        .collect();
    for (k, (t, a)) in mine.iter().enumerate() {
        r.tasks.push(if k == 0 {
            ended("job-000001", *t, *a, Cause::PeersGone)
        } else {
            task("job-000001", *t, *a, TaskState::Running)
        });
    }
    let a = d.beat(&r).unwrap();
    let kills = a
        .commands
        .iter()
        .filter(|o| matches!(o, Command::Kill { .. }))
        .count();
    assert!(kills > 0);
    assert_eq!(d.s.jobs[&id].active.len(), 5);
    d.beat(&report(1, 4, Token(0)));
    assert!(d.s.jobs[&id].active.values().all(|l| l.stop.is_some()));
    d.beat(&report(2, 3, Token(0)));
    let again: BTreeSet<_> = d.s.jobs[&id].active.values().map(|l| l.attempt).collect();
    assert_eq!((d.s.jobs[&id].active.len(), again.len()), (6, 1));
    assert!(again.is_disjoint(&numbers));
}

#[test]
fn waiting_gang_replaces_a_member_under_its_attempt_number() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    d.submit(&gang(1, 3));
    let a = d.attempt("job-000001", 0).unwrap();
    let mut r = report(1, 2, Token(0));
    r.tasks = vec![
        ended("job-000001", 0, a, Cause::Alone),
        task("job-000001", 1, a, TaskState::Waiting),
        task("job-000001", 2, a, TaskState::Waiting),
    ];
    d.beat(&r);
    assert_eq!(d.attempt("job-000001", 0), Some(a));
}

/// Guards against a gang that mixes attempt numbers: a member is replaced before any
/// report says that the gang runs, and then the gang falls apart.
#[test]
fn broken_gang_restarts_under_another_attempt_number() {
    let mut d = Desk::new(1);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&gang(1, 3));
    let id = JobId::from("job-000001");
    let old = d.attempt("job-000001", 0).unwrap();
    let seen = |seq: u64, states: &[TaskReport]| {
        let mut r = report(1, seq, Token(0));
        r.tasks = states.to_vec();
        r
    };
    let on = |t: u32| task("job-000001", t, old, TaskState::Waiting);
    let lost = |t: u32| ended("job-000001", t, old, Cause::PeersGone);
    let alone = ended("job-000001", 0, old, Cause::Alone);
    d.beat(&seen(2, &[alone, on(1), on(2)]));
    assert_eq!(d.attempt("job-000001", 0), Some(old), "replaced");
    let a = d.beat(&seen(3, &[on(1), on(2)])).unwrap();
    assert!(a.commands.iter().any(|o| matches!(o, Command::Run { .. })));
    d.beat(&seen(4, &[on(0), lost(1), lost(2)]));
    assert!(d.s.jobs[&id].active[&TaskIndex(0)].stop.is_some());
    assert_eq!(d.s.jobs[&id].active.len(), 1, "no member joins it any more");
    d.beat(&report(1, 5, Token(0)));
    let again = d.attempt("job-000001", 0).unwrap();
    assert!(again != old && d.s.jobs[&id].active.len() == 3);
}

#[test]
fn one_zone_and_scatter_count_attempts_that_may_still_run() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    let mut near = job(1, 6);
    near.one_zone = true;
    d.submit(&near);
    d.beat(&report(2, 1, Token(0)));
    assert!(hosts_of(&d, "job-000001").iter().all(|h| *h == host(1)));
    let mut d = Desk::new(1);
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    let mut wide = job(2, 5);
    wide.spread = true;
    wide.cpus = 1.0;
    d.submit(&wide);
    let on = hosts_of(&d, "job-000002");
    assert_eq!(on.len(), 5);
    assert_eq!(on.iter().filter(|h| **h == on[0]).count(), 3);
}

#[test]
fn urgent_job_preempts_the_cheapest_low_tasks_but_none_of_equal_priority() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    let mut low = job(1, 4);
    low.priority = Priority::Low;
    d.submit(&low);
    all_run(&mut d, 1, 2);
    let mut urgent = job(2, 1);
    (urgent.priority, urgent.team) = (Priority::High, "blue".into());
    d.submit(&urgent);
    d.wait(0.5);
    let stopped = |d: &Desk, id: &str| {
        let j = &d.s.jobs[&JobId::from(id)];
        j.active.values().filter(|l| l.stop.is_some()).count()
    };
    assert_eq!(stopped(&d, "job-000001"), 1, "as many as are needed");
    let mut same = job(3, 1);
    (same.priority, same.team) = (Priority::Low, "red".into());
    d.submit(&same);
    d.wait(0.5);
    assert_eq!(stopped(&d, "job-000001"), 1);
}

#[test]
fn service_runs_until_cancelled_and_moves_before_its_machine_is_reclaimed() {
    let mut d = Desk::new(1);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    let mut s = job(1, 1);
    (s.kind, s.estimate_s) = (JobKind::Service, 0.0);
    d.submit(&s);
    all_run(&mut d, 1, 2);
    d.beat(&report(2, 1, Token(0)));
    let a = d.attempt("job-000001", 0).unwrap();
    let mut r = report(1, 3, Token(0));
    r.notice_s = Some(20.0);
    r.tasks = vec![task("job-000001", 0, a, TaskState::Running)];
    d.beat(&r);
    d.wait(0.5);
    r.seq = Seq(4);
    r.tasks = vec![ended("job-000001", 0, a, Cause::Stopped)];
    d.beat(&r);
    assert_eq!(hosts_of(&d, "job-000001"), vec![host(2)]);
    d.ask(Request::Cancel("job-000001".into()));
    d.beat(&report(2, 2, Token(0)));
    assert!(d.s.jobs.is_empty());
}

#[test]
fn job_of_100_000_tasks_is_accepted_with_one_small_record() {
    let mut d = Desk::new(1);
    d.stores = false;
    let req = d.submit(&job(1, 100_000));
    let limits = settings("x").platform.params.state;
    let mut c = Committer::new(Revision(1), &limits);
    let (id, txn) = c.next_txn(Time(d.now), &mut d.s).unwrap();
    assert_eq!(txn.changes.len(), 1, "one record makes it accepted");
    let (events, _) = c.handle_outcome(Time(d.now), id, TxnOutcome::Ok(Revision(2)), &mut d.s);
    for e in events {
        d.event(e);
    }
    assert_eq!(d.status(req), Some(201));
    d.stores = true;
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    let j = &d.s.jobs[&JobId::from("job-000001")];
    assert_eq!(j.active.len(), 6, "as many as the team may run");
    // Even a full record fits into the smallest value limit of a store.
    let mut small = hookworks::sched::job::Job::new(
        job(2, 100),
        1,
        Time(1),
        hookworks::time::WallTime(1_700_000_000_000),
        part_size(4.0),
    );
    for t in 0..small.part_size {
        let mut l = j.active.values().next().unwrap().clone();
        l.attempt = Attempt(Epoch(900).base() + 77);
        l.placed_wall = hookworks::time::WallTime(1_700_000_000_000);
        small.active.insert(TaskIndex(t), l);
    }
    let size = small.encode(0).to_string().len();
    assert!(size <= 4096, "{size}");
}

#[test]
fn records_decode_to_what_was_encoded() {
    let mut j = hookworks::sched::job::Job::new(
        job(1, 300),
        3,
        Time(5_000_000),
        hookworks::time::WallTime(5),
        128,
    );
    for t in [0, 63, 64, 127, 128, 299] {
        j.set_done(TaskIndex(t));
    }
    let (now, wall) = (Time(9_000_000), hookworks::time::WallTime(9));
    let mut back = hookworks::sched::job::Job::decode(&j.encode(0), now, wall).unwrap();
    for p in 1..3 {
        back.decode_part(p, &j.encode(p), now, wall).unwrap();
    }
    assert_eq!(back.done_count, 6);
    assert!((0..300).all(|t| back.is_done(TaskIndex(t)) == j.is_done(TaskIndex(t))));
}

#[test]
fn bad_submissions_name_the_field() {
    let good = serde_json::to_value(job(1, 1)).unwrap();
    let with = |k: &str, v: serde_json::Value| {
        let mut j = good.clone();
        j[k] = v;
        JobSpec::parse(j.to_string().as_bytes())
    };
    assert!(with("Extra", 1.into()).is_ok());
    for (k, v) in [
        ("Pieces", serde_json::json!(0)),
        ("Pieces", serde_json::json!(100_001)),
        ("Pieces", serde_json::json!(1.5)),
        ("Vcpus", serde_json::json!(-1)),
        ("RamGb", serde_json::json!("much")),
        ("Id", serde_json::json!("task-1")),
        ("Shape", serde_json::json!("round")),
        ("Builds", serde_json::json!([7])),
        ("Crew", serde_json::json!(null)),
    ] {
        let e = with(k, v.clone()).expect_err(k);
        assert!(e.contains(k), "{k} {v}: {e}");
    }
    let mut short = good.clone();
    short.as_object_mut().unwrap().remove("GuessS");
    assert!(
        JobSpec::parse(short.to_string().as_bytes())
            .expect_err("missing")
            .contains("GuessS")
    );
    for body in ["", "nonsense", "[]", "{} {}", "7"] {
        assert!(JobSpec::parse(body.as_bytes()).is_err(), "{body}");
    }
}

#[test]
fn settings_errors_name_file_and_field() {
    let t = Tuning::parse(
        "t.xml",
        "<hookworks><delta-factor>0.25</delta-factor></hookworks>",
    )
    .unwrap();
    assert_eq!((t.delta_factor, t.delta_floor_s), (0.25, 600.0));
    let bad = |x: &str| Tuning::parse("t.xml", x).unwrap_err().to_string();
    let e = bad("<hookworks><headroom>-3</headroom></hookworks>");
    assert!(e.contains("t.xml") && e.contains("headroom"), "{e}");
    assert!(bad("<hookworks><headroom>x</headroom></hookworks>").contains("t.xml"));
    // Limits that can't be served are refused at start, by name.
    for (field, v) in [
        ("state/write_rps", 0.0),
        ("cloud/rps", 0.0),
        ("machine_limits/max_connections", 0.0),
        ("state/value_kb", 0.5),
        // A lease of 20 s by the slowest clock, plus a second: with less, a cancelled
        // task could still run after `cancel_s`.
        ("workers/cancel_s", 20.5),
        ("workers/cancel_s", 21.01),
    ] {
        let mut json = world::given::platform("c");
        *json.pointer_mut(&format!("/params/{field}")).unwrap() = v.into();
        if field.ends_with("connections") {
            json["params"]["machine_limits"]["max_connections"] = 0.into();
        }
        let e = Platform::parse("p.json", &json.to_string()).unwrap_err();
        let named = format!("params.{}", field.replace('/', "."));
        assert!(e.to_string().contains(&named), "{e}");
    }
    let mut json = world::given::platform("c");
    *json.pointer_mut("/params/workers/cancel_s").unwrap() = 21.02.into();
    assert!(Platform::parse("p.json", &json.to_string()).is_ok());
    let e = Platform::parse("p.json", "{}").unwrap_err().to_string();
    assert!(e.contains("p.json") && e.contains("label"), "{e}");
}

#[test]
fn all_jobs_finish_after_a_leader_failure() {
    let mut w = World::new(3, 3);
    w.run(2.0);
    for n in 0..4 {
        w.submit(job(n, 4));
    }
    w.run(14.0);
    let first = w.leader().unwrap();
    w.at(0.0, world::Ev::Kill(first));
    w.run(6.0);
    assert_ne!(w.leader(), Some(first));
    w.run(120.0);
    for n in 0..4 {
        let state = w.state_of(&format!("job-{n:06}"));
        assert_eq!(state, Some(hookworks::wire::user::JobState::Done));
    }
    w.assert_rules();
}

#[test]
fn unrequested_release_event_changes_nothing() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    d.event(Event::Released(vec![host(1), host(9)], true));
    assert!(d.s.machines.contains_key(&host(1)));
}

#[test]
fn job_served_earlier_is_not_preempted_for_a_later_one() {
    // Guards against repeated preemption: low work within its team's guarantee is
    // stopped for normal work beyond its own, takes the resources back and is stopped
    // again, many times a second.
    let mut d = Desk::new(1);
    d.refuses = true;
    d.beat(&report(1, 1, Token(0)));
    let mut low = job(1, 4);
    (low.priority, low.checkpoint_s, low.save_s) = (Priority::Low, 15.0, 1.0);
    low.estimate_s = 300.0;
    d.submit(&low);
    all_run(&mut d, 1, 2);
    for seq in 3..14 {
        d.wait(3.0);
        all_run(&mut d, 1, seq);
    }
    let mut normal = job(2, 9);
    normal.team = "blue".into();
    d.submit(&normal);
    d.wait(2.0);
    let j = &d.s.jobs[&JobId::from("job-000001")];
    assert!(j.active.values().all(|l| l.stop.is_none()));
    assert_eq!(j.active.len(), 4);
}

/// For docs/results.md: `cargo test --release -- --ignored --nocapture measure`.
#[test]
#[ignore = "measures, and takes a while"]
fn measure_a_job_of_100_000_tasks() {
    let rss = || {
        let s = std::fs::read_to_string("/proc/self/statm").unwrap();
        let pages: f64 = s.split(' ').nth(1).unwrap().parse().unwrap();
        pages * 4096.0 / 1e6
    };
    let before = rss();
    let mut d = Desk::new(1);
    d.refuses = true;
    let mut j = job(1, 100_000);
    (j.cpus, j.memory_gb, j.team) = (0.5, 0.1, "blue".into());
    let clock = std::time::Instant::now();
    d.submit(&j);
    println!("accepted after {:?}", clock.elapsed());
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    let mut seq = 2;
    let mut slowest = std::time::Duration::ZERO;
    while !d.s.jobs.is_empty() {
        for n in 1..=2 {
            let mut r = report(n, seq, Token(0));
            for j in d.s.jobs.values() {
                for (t, l) in j.active.iter().filter(|(_, l)| l.host == r.host) {
                    r.tasks
                        .push(ended("job-000001", t.0, l.attempt, Cause::Done));
                }
            }
            let one = std::time::Instant::now();
            d.now += 500_000;
            d.beat(&r);
            slowest = slowest.max(one.elapsed());
            d.fx.clear();
        }
        seq += 1;
    }
    println!(
        "all done after {:?}, slowest report {slowest:?}, memory {:.1} MB more",
        clock.elapsed(),
        rss() - before
    );
}
