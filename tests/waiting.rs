//! Bounds on waiting: each rule that keeps a job from free resources has a time limit,
//! so that no job waits indefinitely beside a machine that could run it.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::ActiveAttempt;
use hookworks::sched::{Config, Effect};
use hookworks::time::Time;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, Priority};
use hookworks::wire::worker::*;
use rand::RngExt;
use world::desk::{Desk, ended, report, task};
use world::{Ev, World, job};

fn host(n: u32) -> Host {
    Host::from(format!("n-{n:06}").as_str())
}

fn id(n: u64) -> JobId {
    JobId::from(format!("job-{n:06}").as_str())
}

/// The machines of the job's active tasks.
fn hosts_of(d: &Desk, n: u64) -> Vec<Host> {
    let Some(j) = d.s.jobs.get(&id(n)) else {
        return vec![];
    };
    j.active.values().map(|l| l.host.clone()).collect()
}

/// The report of a worker on which everything placed there runs.
fn running(d: &Desk, n: u32, seq: u64) -> Report {
    let mut r = report(n, seq, Token(0));
    for j in d.s.jobs.values() {
        let goes_on = |l: &ActiveAttempt| l.host == r.host && l.stop.is_none();
        for (ix, l) in j.active.iter().filter(|(_, l)| goes_on(l)) {
            let name = j.id().as_str();
            r.tasks
                .push(task(name, ix.0, l.attempt, TaskState::Running));
        }
    }
    r
}

/// Lets these machines report for a while; `seq`: the sequence number of their last
/// report.
fn report_for(d: &mut Desk, machines: u32, seconds: u32, seq: &mut u64) {
    for _ in 0..seconds / 3 {
        d.wait(3.0);
        *seq += 1;
        for n in 1..=machines {
            let r = running(d, n, *seq);
            d.beat(&r);
        }
    }
}

fn desk_without_quotas(change: impl Fn(&mut Config)) -> Desk {
    let mut d = Desk::set_up(1, vec![], |cfg| {
        for t in &mut cfg.teams {
            (t.cpus, t.cpus_max, t.gpus_max) = (1e6, 1e6, 1e6);
        }
        change(cfg);
    });
    d.refuses = true;
    d
}

fn with(n: u64, tasks: u32, change: impl Fn(&mut JobSpec)) -> JobSpec {
    let mut j = job(n, tasks);
    change(&mut j);
    j
}

/// The cloud never answers a rental request. The only machine runs a short task, beside
/// which a long one is placed only if nothing can be rented.
#[test]
fn pending_rental_delays_a_job_for_at_most_seventy_seconds() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    report_for(&mut d, 1, 6, &mut seq);
    d.submit(&with(2, 1, |j| j.estimate_s = 3000.0));
    report_for(&mut d, 1, 66, &mut seq);
    assert!(hosts_of(&d, 2).is_empty(), "it waits for the rental");
    report_for(&mut d, 1, 12, &mut seq);
    assert!(d.fx.iter().any(|f| matches!(f, Effect::Rent(_))));
    assert_eq!(hosts_of(&d, 2), [host(1)]);
}

/// The job fails on one of two machines, and the other one has no free resources for
/// it.
#[test]
fn machine_that_failed_a_job_is_tried_again_when_no_other_has_room() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 1));
    d.beat(&report(2, 1, Token(0)));
    d.submit(&with(2, 1, |j| (j.kind, j.cpus) = (JobKind::Service, 8.0)));
    assert_eq!(
        (hosts_of(&d, 1), hosts_of(&d, 2)),
        (vec![host(1)], vec![host(2)])
    );
    let failed = d.attempt("job-000001", 0).unwrap();
    let mut r = report(1, 2, Token(0));
    r.tasks.push(ended("job-000001", 0, failed, Cause::Error));
    d.beat(&r);
    seq += 1;
    report_for(&mut d, 2, 60, &mut seq);
    assert!(hosts_of(&d, 1).is_empty(), "it avoids the machine at first");
    report_for(&mut d, 2, 18, &mut seq);
    assert_eq!(hosts_of(&d, 1), [host(1)]);
}

/// Tasks on a quarantined machine continue, and the machine is used again after a
/// while.
#[test]
fn quarantined_machine_is_used_again() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 2;
    d.beat(&report(1, 1, Token(0)));
    d.submit(&with(1, 1, |j| j.kind = JobKind::Service));
    for n in 2..=3 {
        d.submit(&job(n, 1));
    }
    let mut r = running(&d, 1, 2);
    for t in r.tasks.iter_mut().filter(|t| t.task.job != id(1)) {
        (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error));
    }
    assert_eq!(r.tasks.len(), 3);
    d.beat(&r);
    assert!(d.s.machines[&host(1)].quarantined);
    report_for(&mut d, 1, 54, &mut seq);
    assert!(d.s.machines[&host(1)].quarantined);
    report_for(&mut d, 1, 12, &mut seq);
    assert!(!d.s.machines[&host(1)].quarantined);
    report_for(&mut d, 1, 18, &mut seq);
    assert_eq!(hosts_of(&d, 2), [host(1)]);
    // One more error quarantines it again.
    let mut r = running(&d, 1, seq + 1);
    for t in r.tasks.iter_mut().filter(|t| t.task.job == id(2)) {
        (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error));
    }
    d.beat(&r);
    assert!(d.s.machines[&host(1)].quarantined);
}

/// A job that failed everywhere is tried one task at a time. Once one task runs well,
/// the whole job continues, although a service is never done.
#[test]
fn job_that_failed_everywhere_resumes_once_a_task_is_healthy() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.submit(&with(1, 3, |j| (j.kind, j.cpus) = (JobKind::Service, 5.0)));
    assert_eq!(hosts_of(&d, 1).len(), 3);
    seq += 1;
    for n in 1..=3 {
        let mut r = running(&d, n, seq);
        for t in &mut r.tasks {
            (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error));
        }
        d.beat(&r);
    }
    assert!(d.s.jobs[&id(1)].failed_on_many_machines());
    report_for(&mut d, 3, 18, &mut seq);
    assert_eq!(hosts_of(&d, 1).len(), 1, "one task at a time");
    report_for(&mut d, 3, 33, &mut seq);
    assert_eq!(hosts_of(&d, 1).len(), 3);
}

/// However often the job has failed, its next attempt comes within forty seconds.
#[test]
fn backoff_of_a_job_that_fails_everywhere_is_bounded() {
    let mut d = desk_without_quotas(|_| {});
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    // Another job keeps these machines in use, so that they are not returned.
    d.submit(&with(2, 3, |j| (j.kind, j.cpus) = (JobKind::Service, 5.0)));
    d.submit(&job(1, 1));
    let mut longest: f64 = 0.0;
    for seq in 2..200 {
        for n in 1..=3 {
            let mut r = running(&d, n, seq);
            for t in r.tasks.iter_mut().filter(|t| t.task.job == id(1)) {
                (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error));
            }
            d.beat(&r);
        }
        let pause = d.s.jobs[&id(1)].backoff_until - Time(d.now);
        longest = longest.max(pause.as_secs());
        d.wait(3.0);
    }
    assert!(d.s.jobs[&id(1)].errors > 12);
    assert!((30.0..=40.0).contains(&longest), "{longest}");
}

/// Quick classes had recent arrivals, so all free capacity is kept as their headroom.
#[test]
fn headroom_delays_a_job_for_at_most_seventy_seconds() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    let quick = |n| with(n, 2, |j| j.class = "quick".into());
    d.submit(&with(1, 1, |j| j.kind = JobKind::Service));
    for n in 2..=3 {
        d.submit(&quick(n));
        d.ask(Request::Cancel(id(n).to_string()));
        report_for(&mut d, 1, 6, &mut seq);
    }
    let m = &d.s.machines[&host(1)];
    assert_eq!(m.free().cpu, 6000, "only the service is there");
    d.submit(&job(4, 3));
    // Jobs of the quick class keep arriving.
    for n in 5..=15 {
        report_for(&mut d, 1, 6, &mut seq);
        d.submit(&quick(n));
        d.ask(Request::Cancel(id(n).to_string()));
    }
    assert!(
        hosts_of(&d, 4).is_empty(),
        "capacity is kept for the quick class"
    );
    report_for(&mut d, 1, 12, &mut seq);
    assert_eq!(hosts_of(&d, 4), [host(1)], "one task of it, not all");
}

/// A gang needs four whole machines; there are two, and none can be rented.
#[test]
fn machines_reserved_for_a_blocked_gang_are_used_after_a_while() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    let gang = |j: &mut JobSpec| {
        (j.kind, j.priority, j.cpus) = (JobKind::Gang, Priority::High, 8.0);
        j.spot = false;
    };
    d.submit(&with(1, 4, gang));
    report_for(&mut d, 2, 3, &mut seq);
    d.submit(&job(2, 1));
    report_for(&mut d, 2, 72, &mut seq);
    assert!(hosts_of(&d, 2).is_empty(), "both are reserved for the gang");
    report_for(&mut d, 2, 12, &mut seq);
    assert_eq!(hosts_of(&d, 2).len(), 1);
}

/// The reservation time of a machine starts anew once it was not reserved, so that jobs
/// that waited too long leave the next gang its time.
#[test]
fn reservation_time_starts_anew_for_the_next_gang() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    let whole = |j: &mut JobSpec| (j.cpus, j.priority) = (8.0, Priority::High);
    let gang = |n| {
        let mut j = with(n, 4, whole);
        j.kind = JobKind::Gang;
        j
    };
    d.submit(&gang(1));
    report_for(&mut d, 2, 30, &mut seq);
    d.ask(Request::Cancel(id(1).to_string()));
    d.submit(&with(2, 2, |j| (j.cpus, j.kind) = (8.0, JobKind::Service)));
    assert_eq!(hosts_of(&d, 2).len(), 2);
    d.submit(&job(3, 1));
    report_for(&mut d, 2, 90, &mut seq);
    d.submit(&gang(4));
    d.ask(Request::Cancel(id(2).to_string()));
    report_for(&mut d, 2, 72, &mut seq);
    assert!(hosts_of(&d, 3).is_empty(), "both are reserved for the gang");
    report_for(&mut d, 2, 15, &mut seq);
    assert_eq!(hosts_of(&d, 3).len(), 1);
}

/// An urgent job needs more than is free on the machine beside the tasks that may be
/// stopped.
#[test]
fn no_task_is_preempted_where_that_frees_too_little() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    let service = |j: &mut JobSpec| (j.kind, j.cpus) = (JobKind::Service, 5.0);
    d.submit(&with(1, 1, service));
    let urgent = |j: &mut JobSpec| (j.cpus, j.priority) = (4.0, Priority::High);
    d.submit(&with(2, 1, urgent));
    d.submit(&with(3, 2, |j| (j.cpus, j.estimate_s) = (1.0, 900.0)));
    for _ in 0..10 {
        report_for(&mut d, 1, 3, &mut seq);
        assert_eq!(hosts_of(&d, 3).len(), 2, "preempted in vain");
    }
    // Stopping both of them makes room for a task that needs three.
    let urgent = |j: &mut JobSpec| (j.cpus, j.priority) = (3.0, Priority::High);
    d.submit(&with(4, 1, urgent));
    report_for(&mut d, 1, 9, &mut seq);
    assert_eq!(hosts_of(&d, 4), [host(1)]);
}

/// More urgent jobs that can't be placed than a pass may score, and behind them a job
/// that can be placed.
#[test]
fn urgent_jobs_that_do_not_fit_do_not_use_up_every_pass() {
    let mut d = desk_without_quotas(|_| {});
    for n in 1..=400 {
        let mut r = report(n, 1, Token(0));
        r.spot = true;
        d.beat(&r);
    }
    // They need machines that the cloud can't reclaim, of which there are none.
    for n in 1..=260 {
        let urgent = |j: &mut JobSpec| (j.spot, j.priority) = (false, Priority::High);
        d.submit(&with(n, 1, urgent));
    }
    d.submit(&with(500, 1, |j| j.priority = Priority::Low));
    d.wait(2.0);
    assert_eq!(hosts_of(&d, 500).len(), 1);
}

/// A task runs far longer than estimated: nothing waits for its resources.
#[test]
fn tasks_that_overrun_their_estimate_do_not_keep_machines_from_being_rented() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    let whole = |j: &mut JobSpec| (j.cpus, j.estimate_s) = (8.0, 20.0);
    d.submit(&with(1, 1, whole));
    report_for(&mut d, 1, 60, &mut seq);
    d.submit(&with(2, 1, whole));
    let rents = |d: &Desk| d.fx.iter().any(|f| matches!(f, Effect::Rent(_)));
    assert!(!rents(&d), "tasks that end soon are waited for");
    report_for(&mut d, 1, 36, &mut seq);
    assert!(rents(&d));
}

/// The same for a gang, which would wait for whole machines.
#[test]
fn gang_does_not_wait_for_machines_of_tasks_that_overrun() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    let whole = |j: &mut JobSpec| (j.cpus, j.estimate_s) = (8.0, 20.0);
    d.submit(&with(1, 2, whole));
    report_for(&mut d, 2, 15, &mut seq);
    d.submit(&with(2, 2, |j| (j.kind, j.cpus) = (JobKind::Gang, 8.0)));
    let rents = |d: &Desk| d.fx.iter().any(|f| matches!(f, Effect::Rent(_)));
    report_for(&mut d, 2, 60, &mut seq);
    assert!(!rents(&d), "tasks that end soon are waited for");
    report_for(&mut d, 2, 36, &mut seq);
    assert!(rents(&d));
}

/// A gang waits for machines in zone b. Jobs that may use spot machines leave ordinary
/// ones to it, in other zones too, but only for a while.
#[test]
fn ordinary_machines_left_to_a_gang_are_used_after_a_while() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    d.beat(&report(1, 1, Token(0)));
    let gang = |j: &mut JobSpec| {
        (j.kind, j.spot) = (JobKind::Gang, false);
        j.zone = Some("b".into());
    };
    d.submit(&with(1, 4, gang));
    d.submit(&job(2, 1));
    report_for(&mut d, 1, 66, &mut seq);
    assert!(
        hosts_of(&d, 2).is_empty(),
        "it leaves the machine to the gang"
    );
    report_for(&mut d, 1, 12, &mut seq);
    assert_eq!(hosts_of(&d, 2), [host(1)]);
}

/// The wait of a job ends when its last task starts; the next wait is counted
/// separately.
#[test]
fn wait_is_counted_from_the_last_time_without_waiting_tasks() {
    let mut d = desk_without_quotas(|_| {});
    let mut seq = 1;
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.submit(&with(1, 1, |j| j.kind = JobKind::Service));
    d.submit(&with(2, 1, |j| (j.kind, j.cpus) = (JobKind::Service, 7.0)));
    report_for(&mut d, 2, 120, &mut seq);
    assert_eq!((hosts_of(&d, 1).len(), hosts_of(&d, 2).len()), (1, 1));
    // The job fails, and does not return to the same machine at once.
    let at = hosts_of(&d, 1).remove(0);
    let n = if at == host(1) { 1 } else { 2 };
    seq += 1;
    let mut r = running(&d, n, seq);
    for t in r.tasks.iter_mut().filter(|t| t.task.job == id(1)) {
        (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error));
    }
    d.beat(&r);
    report_for(&mut d, 2, 30, &mut seq);
    assert!(!hosts_of(&d, 1).contains(&at));
}

/// More work than capacity, in a small simulated deployment: jobs of all kinds and
/// sizes, machines that fail what they start, some faults, and then minutes without
/// any.
fn overloaded_world(seed: u64) -> World {
    let mut w = World::new(seed, 3);
    w.capacity = w.rng.random_range(1..3);
    w.wealth = [1.0, 100.0][w.rng.random_range(0..2)];
    w.run_s = [9.0, 25.0, 90.0, 400.0][w.rng.random_range(0..4)];
    w.run(2.0);
    for n in 0..14 {
        let mut j = job(n, w.rng.random_range(1..5));
        j.cpus = [1.0, 2.0, 3.0, 8.0][w.rng.random_range(0..4)];
        j.estimate_s = [20.0, 900.0, 3000.0][w.rng.random_range(0..3)];
        j.spot = w.rng.random_bool(0.6);
        match w.rng.random_range(0..8) {
            0 | 1 => j.kind = JobKind::Gang,
            2 => (j.kind, j.tasks) = (JobKind::Service, 2),
            3 => (j.kind, j.tasks, j.spread) = (JobKind::Service, 2, true),
            4 => j.one_zone = true,
            5 => j.zone = Some("b".into()),
            6 => j.team = "blue".into(),
            _ => j.gpus = 1.0,
        }
        j.priority = [Priority::High, Priority::Normal, Priority::Low][n as usize % 3];
        let at = w.rng.random_range(0.0..90.0);
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j);
        for k in 0..6 {
            w.at(at + 7.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
    }
    for _ in 0..3 {
        let n = w.rng.random_range(1..7);
        let (at, long) = (
            w.rng.random_range(20.0..80.0),
            w.rng.random_range(2.0..40.0),
        );
        let e = |on| match n % 3 {
            0 => Ev::Cut(host(n), on),
            1 => Ev::Deaf(host(n), on),
            _ => Ev::Sick(host(n), on),
        };
        w.at(at, e(true));
        w.at(at + long, e(false));
    }
    let (at, i) = (w.rng.random_range(20.0..110.0), w.rng.random_range(0..3));
    w.at(at, Ev::Kill(i));
    w.at(at + 0.5, Ev::Restart(i));
    w.run(125.0);
    w.all_quiet();
    w.run(300.0);
    w
}

/// `WORLDS` sets the number of seeds and `WORLDS_FROM` the first one. Five of the
/// default seeds guard against tasks that are preempted again and again without making
/// enough room.
#[test]
fn no_job_waits_indefinitely_in_overloaded_worlds() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from: u64 = number("WORLDS_FROM").unwrap_or(1065);
    let mut faults = vec![];
    for seed in from..from + number("WORLDS").unwrap_or(40) {
        let w = overloaded_world(seed);
        if !w.broken.is_empty() {
            faults.push(format!("{seed}: {:?}", &w.broken[..w.broken.len().min(3)]));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
