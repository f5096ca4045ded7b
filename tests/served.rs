//! Fair shares: no class and no team starves under a flood of other work.

mod world;

use hookworks::ids::{JobId, Team};
use hookworks::time::Span;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, Priority};
use world::{Ev, World, job};

/// A fleet of four machines for sixteen tasks, more work than it can do for five
/// minutes, and one job of another kind at the beginning.
fn flood(floor: f64, other: &JobSpec, steady: impl Fn(&mut JobSpec)) -> World {
    let mut w = World::new(11, 3);
    (w.floor, w.capacity, w.wealth, w.run_s) = (floor, 1, 100.0, 10.0);
    let submit = |w: &mut World, at: f64, j: JobSpec| {
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j);
        for k in 0..3 {
            w.at(at + 2.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
    };
    for n in 0..240 {
        let mut j = job(100 + n, 4);
        steady(&mut j);
        submit(&mut w, 3.0 + 1.25 * n as f64, j);
    }
    submit(&mut w, 20.0, other.clone());
    w
}

/// The number of finished tasks of the job.
fn done(w: &World, id: &JobId) -> usize {
    w.done_tasks.iter().filter(|t| t.job == *id).count()
}

fn share_of(w: &World, class: &str) -> f64 {
    let s = w.sched(w.leader().unwrap());
    let v = s.overview(hookworks::time::Time(w.now));
    v["served"]["classes"][class]["share"].as_f64().unwrap()
}

fn urgent(j: &mut JobSpec) {
    (j.class, j.priority, j.team) = ("quick".into(), Priority::High, "blue".into());
}

/// Guards against starvation of low-priority work under a steady flood of urgent work.
#[test]
fn class_under_a_flood_of_urgent_work_gets_its_share() {
    let mut low = job(1, 6);
    low.priority = Priority::Low;
    let mut w = flood(0.0, &low, urgent);
    w.run(290.0);
    assert_eq!(
        done(&w, &low.id),
        0,
        "the flood leaves nothing without a guaranteed minimum"
    );
    assert_eq!(share_of(&w, "work"), 0.0);

    let mut w = flood(0.13, &low, urgent);
    // It may wait for 120 s; then capacity is reserved for one task at a time, which is
    // free as soon as any other task ends.
    w.run(20.0 + 120.0 + 20.0);
    let begun = |w: &World| {
        let runs = w.workers.values().flat_map(|m| &m.runs);
        runs.filter(|(t, _)| t.job == low.id).count()
    };
    assert!(begun(&w) >= 1, "none of its tasks started in time");
    w.run(130.0);
    assert!(done(&w, &low.id) >= 4, "{}", done(&w, &low.id));
    // Reserved capacity was not taken away again, and stays within its share.
    let red = Team::from("red");
    let starts = begun(&w);
    assert!(starts <= 6, "started {starts} times");
    let used = w.sched(w.leader().unwrap()).team_cpus_used(&red);
    assert!(used <= 4.0, "{used} of 32 CPUs");
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// Guards against starvation of a team beside one that fills the fleet with work of the
/// same class and priority, which goes first as it finishes sooner.
#[test]
fn team_beside_one_that_fills_the_fleet_gets_its_share() {
    // Larger than its team's guarantee.
    let mut large = job(1, 500);
    (large.team, large.priority) = ("blue".into(), Priority::Low);
    let red = |j: &mut JobSpec| j.team = "red".into();
    let mut w = flood(0.0, &large, red);
    w.run(290.0);
    assert_eq!(done(&w, &large.id), 0);
    let mut w = flood(0.13, &large, red);
    w.run(290.0);
    assert!(done(&w, &large.id) >= 4, "{}", done(&w, &large.id));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// Urgent work still meets its objectives while other groups get their reserved share.
#[test]
fn guaranteed_minimum_leaves_the_rest_to_urgent_work() {
    let mut low = job(1, 40);
    low.priority = Priority::Low;
    let urgent_done = |floor: f64| {
        let mut w = flood(floor, &low, urgent);
        w.run(290.0);
        let n = w.done_tasks.iter().filter(|t| t.job != low.id).count();
        n as f64
    };
    let (without, with) = (urgent_done(0.0), urgent_done(0.13));
    assert!(with >= 0.85 * without, "{with} of {without}");
}

/// Guards against large jobs being overtaken indefinitely: the part of the fleet that a
/// job would fill counts against it, and a job that is late for all its objectives goes
/// last.
#[test]
fn largest_jobs_start_within_four_minutes_under_any_load() {
    let large = |n: u64| {
        let mut j = job(n, 60);
        (j.priority, j.team) = (Priority::Low, "red".into());
        j
    };
    let mut gang = job(2, 4);
    (gang.kind, gang.one_zone, gang.team) = (JobKind::Gang, true, "red".into());
    // A steady flood alone; with a failover each minute; with a lost zone; with five
    // times the load.
    for trouble in 0..4 {
        let takeovers = trouble == 1;
        let mut w = flood(0.0, &large(1), urgent);
        w.overtaken = Some(Span::secs(130.0));
        w.specs.insert(gang.id.clone(), gang.clone());
        let body = serde_json::to_vec(&gang).unwrap();
        w.at(20.0, Ev::User(Request::Submit(body)));
        for k in 1..=4 {
            for i in (0..3).filter(|_| takeovers) {
                w.at(60.0 * k as f64, Ev::Kill(i));
                w.at(60.0 * k as f64 + 0.3, Ev::Restart(i));
            }
        }
        if trouble == 2 {
            w.at(50.0, Ev::CutZone("b".into(), true));
            w.at(110.0, Ev::CutZone("b".into(), false));
        }
        for n in (0..200).filter(|_| trouble == 3) {
            let mut j = job(1000 + n, 4);
            urgent(&mut j);
            let body = serde_json::to_vec(&j).unwrap();
            w.specs.insert(j.id.clone(), j);
            w.at(60.0 + 0.25 * n as f64, Ev::User(Request::Submit(body)));
        }
        w.run(20.0 + 240.0);
        w.assert_rules();
        let s = w.sched(w.leader().unwrap());
        let v = s.overview(hookworks::time::Time(w.now));
        let f = &v["served"]["largest"]["work"];
        assert_eq!(f["waiting"], 0, "{f}");
        assert!(f["longest_s"].as_f64().unwrap() <= 240.0, "{f}");
        for id in ["job-000001", "job-000002"] {
            let id = JobId::from(id);
            assert!(done(&w, &id) > 0, "{id} has not started, trouble {trouble}");
        }
        // The flood continues: only one in ten tasks is boosted, and not all of them at
        // once.
        assert!(done(&w, &"job-000001".into()) < 40);
        let urgent = w
            .done_tasks
            .iter()
            .filter(|t| t.job.as_str() > "job-000099");
        assert!(urgent.count() > 200, "too few urgent tasks were done");
    }
}
