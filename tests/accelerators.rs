//! Machines whose accelerators are the scarcest resource: services, gangs and arrays on
//! them.

mod world;

use hookworks::ids::*;
use hookworks::sched::{Effect, Event, RentalResult};
use hookworks::wire::cloud::MachineType;
use hookworks::wire::cloud::RentalRequest;
use hookworks::wire::user::{JobKind, JobSpec, Priority};
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report, task};
use world::job;

/// 16 CPUs and two accelerators.
fn g2() -> MachineType {
    serde_json::from_value(serde_json::json!({
        "Label": "g2", "Vcpus": 16, "Accelerators": 2, "RamGb": 64, "LocalGb": 70,
        "FetchGbPerS": 0.5, "Hourly": 7.0, "SpotPrice": 2.5, "BootS": 45,
        "Yards": ["a", "b", "c"]
    }))
    .unwrap()
}

/// Teams are limited in accelerators alone.
fn desk() -> Desk {
    let mut d = Desk::set_up(1, vec![], |c| {
        for t in &mut c.teams {
            (t.cpus, t.cpus_max, t.gpus, t.gpus_max) = (0.0, 0.0, 8.0, 40.0);
        }
    });
    d.event(Event::MachineTypes(vec![g2()]));
    d
}

/// A task takes one accelerator and a third of the CPUs.
fn half(n: u64, tasks: u32) -> JobSpec {
    let mut j = job(n, tasks);
    (j.cpus, j.gpus, j.memory_gb) = (5.0, 1.0, 20.0);
    (j.image, j.image_gb, j.estimate_s) = ("half".into(), 7.0, 100.0);
    j
}

fn machine(n: u32, zone: &str, spot: bool, seq: u64) -> Report {
    let mut r = report(n, seq, Token(0));
    (r.build, r.zone, r.spot) = ("g2".into(), zone.into(), spot);
    r
}

fn hosts(d: &Desk, id: &str) -> Vec<String> {
    let j = &d.s.jobs[&JobId::from(id)];
    j.active.values().map(|l| l.host.to_string()).collect()
}

#[test]
fn amount_of_0_is_no_limit_and_the_exceeded_limit_is_named() {
    let mut d = desk();
    let fine = d.submit(&half(1, 50));
    assert_eq!(d.status(fine), Some(201));
    let with = |n: u64, change: &dyn Fn(&mut JobSpec)| {
        let mut j = half(n, 4);
        change(&mut j);
        j
    };
    let refused = [
        ("Accelerators", with(2, &|j| j.gpus = 3.0)),
        ("RamGb", with(3, &|j| j.memory_gb = 65.0)),
        ("Vcpus", with(4, &|j| j.cpus = 17.0)),
        (
            "Accelerators",
            with(5, &|j| (j.kind, j.tasks) = (JobKind::Gang, 41)),
        ),
        ("Builds", with(6, &|j| j.builds = Some(vec!["x".into()]))),
        ("Yard", with(7, &|j| j.zone = Some("elsewhere".into()))),
        (
            "Scatter",
            with(8, &|j| {
                (j.kind, j.spread, j.one_zone) = (JobKind::Service, true, true)
            }),
        ),
    ];
    for (field, j) in refused {
        let req = d.submit(&j);
        d.event(Event::FinalRead(j.id.clone(), Ok(None)));
        assert_eq!(d.status(req), Some(422), "{field}");
        let a = &d.answer(req).unwrap().body;
        assert!(a.contains(field), "{field}: {a}");
    }
    // The limit on accelerators still applies.
    for n in 1..=30 {
        d.beat(&machine(n, "a", false, 1));
    }
    assert_eq!(hosts(&d, "job-000001").len(), 40);
}

/// A service replica: it may not use spot machines.
fn service(n: u64, tasks: u32) -> JobSpec {
    let mut j = half(n, tasks);
    (j.kind, j.priority, j.spot) = (JobKind::Service, Priority::Production, false);
    (j.class, j.image, j.estimate_s) = ("quick".into(), "live".into(), 0.0);
    j
}

/// Each task takes a machine, all in one zone.
fn gang(n: u64, tasks: u32) -> JobSpec {
    let mut j = half(n, tasks);
    (j.kind, j.spot, j.one_zone) = (JobKind::Gang, false, true);
    (j.cpus, j.gpus, j.memory_gb) = (14.0, 2.0, 50.0);
    (j.image, j.team) = ("gang".into(), "blue".into());
    j
}

/// Takes the rental requests made since the last call.
fn take_rental_requests(d: &mut Desk) -> Vec<RentalRequest> {
    let one = |e: &Effect| match e {
        Effect::Rent(h) => Some(h.clone()),
        _ => None,
    };
    let asked = d.fx.iter().filter_map(one).collect();
    d.fx.retain(|e| !matches!(e, Effect::Rent(_)));
    asked
}

/// Grants every rental request; returns zone, spot flag and count of the machines
/// rented.
fn rent_all(d: &mut Desk, next: &mut u32) -> Vec<(String, bool, u32)> {
    let mut rented = vec![];
    for _ in 0..20 {
        d.wait(0.25);
        for h in take_rental_requests(d) {
            let names = (0..h.count).map(|k| format!("n-9{:05}", *next + k));
            let hosts: Vec<Host> = names.map(|n| n.as_str().into()).collect();
            *next += h.count;
            rented.push((h.zone.to_string(), h.spot, h.count));
            d.event(Event::RentalResult(h, RentalResult::Ok(hosts)));
        }
    }
    rented
}

fn count(rented: &[(String, bool, u32)], spot: bool) -> u32 {
    rented.iter().filter(|r| r.1 == spot).map(|r| r.2).sum()
}

/// Reports everything placed on the machine as running.
fn runs(d: &mut Desk, mut r: Report) {
    for j in d.s.jobs.values() {
        for (t, l) in j.active.iter().filter(|(_, l)| l.host == r.host) {
            let name = j.id().to_string();
            let t = task(&name, t.0, l.attempt, TaskState::Running);
            r.tasks.push(t);
        }
    }
    d.beat(&r);
}

#[test]
fn expected_machines_of_another_kind_do_not_prevent_rentals() {
    let mut d = desk();
    let mut next = 0;
    d.submit(&half(1, 10));
    let first = rent_all(&mut d, &mut next);
    assert_eq!((count(&first, true), count(&first, false)), (5, 0));
    // The five spot machines that boot are no use to replicas or a gang.
    d.submit(&service(2, 4));
    let second = rent_all(&mut d, &mut next);
    assert_eq!(count(&second, true), 0);
    // Two machines for the replicas, and as many for the headroom of their class.
    assert!(count(&second, false) >= 2, "{second:?}");
}

/// Guards against renting again and again in the zone of a gang: replicas that can use
/// any expected machine reserve the gang's.
#[test]
fn gang_rents_only_the_missing_machines_in_one_zone_and_once() {
    let mut d = desk();
    d.beat(&machine(1, "a", false, 1));
    d.beat(&machine(2, "a", false, 1));
    d.beat(&machine(3, "b", false, 1));
    let mut next = 0;
    d.submit(&gang(1, 4));
    let mut many = service(2, 12);
    many.class = "work".into();
    d.submit(&many);
    let rented = rent_all(&mut d, &mut next);
    let there = |z: &str| rented.iter().filter(|r| r.0 == z).map(|r| r.2).sum::<u32>();
    assert!(hosts(&d, "job-000001").is_empty());
    // The gang lacks at most four machines; the replicas need six, less those that are
    // up.
    assert!(there("a") + there("b") + there("c") <= 4 + 6, "{rented:?}");
    let again = rent_all(&mut d, &mut next);
    assert!(again.is_empty(), "requested again: {again:?}");
}

#[test]
fn gang_that_lacks_machines_reserves_some_and_preempts_nothing() {
    let mut d = Desk::set_up(1, vec![], |c| {
        for (t, gpus) in c.teams.iter_mut().zip([1.0, 8.0]) {
            (t.cpus, t.cpus_max, t.gpus, t.gpus_max) = (0.0, 0.0, gpus, 40.0);
        }
    });
    d.event(Event::MachineTypes(vec![g2()]));
    for n in 1..=2 {
        d.beat(&machine(n, "a", false, 1));
    }
    d.submit(&half(1, 2));
    let on: Vec<_> = hosts(&d, "job-000001");
    assert_eq!(on[0], on[1], "best fit: one machine stays empty");
    for n in 1..=2 {
        runs(&mut d, machine(n, "a", false, 2));
    }
    d.submit(&gang(2, 2));
    // One machine is empty and reserved for the gang: other jobs don't use it.
    let mut plain = half(3, 1);
    plain.spot = false;
    plain.estimate_s = 5000.0;
    d.submit(&plain);
    d.wait(1.0);
    assert!(hosts(&d, "job-000002").is_empty());
    assert!(hosts(&d, "job-000003").is_empty());
    let stopped = d.s.jobs[&JobId::from("job-000001")].active.values();
    assert_eq!(stopped.filter(|l| l.stop.is_some()).count(), 0);
    d.beat(&machine(3, "a", false, 1));
    assert_eq!(hosts(&d, "job-000002").len(), 2);
}

#[test]
fn gang_uses_the_zone_that_has_its_image() {
    let mut d = Desk::set_up(1, vec![], |c| {
        c.teams[1].gpus_max = 40.0;
        c.teams[1].cpus_max = 0.0;
        c.objectives[0].class = Some("gangs".into());
        c.objectives[0].within_s = Some(15.0);
    });
    d.event(Event::MachineTypes(vec![g2()]));
    for (n, z) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        d.beat(&machine(n, z, false, 1));
    }
    for n in 3..=4 {
        let m =
            d.s.machines
                .get_mut(&Host::from(format!("n-{n:06}").as_str()));
        m.unwrap().note_image_use(&"gang".into(), 9.0);
    }
    let mut g = gang(1, 2);
    (g.class, g.image_gb) = ("gangs".into(), 9.0);
    d.submit(&g);
    assert_eq!(hosts(&d, "job-000001"), ["n-000003", "n-000004"]);
}

#[test]
fn image_fetch_longer_than_the_objective_counts_more_than_the_fit() {
    let starts = |image_gb: f64| {
        let mut d = desk();
        d.s.config.objectives[0].within_s = Some(12.0);
        d.event(Event::MachineTypes(vec![g2()]));
        for n in 1..=3 {
            d.beat(&machine(n, "a", false, 1));
        }
        // The first holds a replica and fits best; the third has the image.
        let mut other = service(1, 1);
        (other.image, other.class) = ("other".into(), "work".into());
        d.submit(&other);
        let third = d.s.machines.get_mut(&Host::from("n-000003")).unwrap();
        third.note_image_use(&"live".into(), image_gb);
        let mut s = service(2, 1);
        s.image_gb = image_gb;
        d.submit(&s);
        hosts(&d, "job-000002")
    };
    assert_eq!(starts(9.0), ["n-000003"]);
    // A short fetch is in time anywhere, and the best fit wins.
    assert_eq!(starts(0.5), ["n-000001"]);
}

#[test]
fn lendable_job_leaves_empty_ordinary_machines_to_others_while_it_can_rent() {
    let mut d = desk();
    let mut full = service(1, 2);
    full.class = "work".into();
    d.submit(&full);
    for n in 1..=3 {
        d.beat(&machine(n, "a", false, 1));
    }
    let mut array = half(2, 1);
    array.team = "blue".into();
    d.submit(&array);
    assert!(hosts(&d, "job-000002").is_empty());
    d.beat(&machine(4, "b", true, 1));
    assert_eq!(hosts(&d, "job-000002"), ["n-000004"]);
    // If none can be rented, the ordinary machines that are up are used.
    let mut more = half(3, 4);
    more.team = "blue".into();
    d.submit(&more);
    for seq in 2..8 {
        d.wait(0.5);
        for h in take_rental_requests(&mut d) {
            d.event(Event::RentalResult(h, RentalResult::NoCapacity));
        }
        d.beat(&machine(3, "a", false, seq));
    }
    let on = hosts(&d, "job-000003");
    assert!(on.iter().any(|h| h != "n-000004"), "{on:?}");
}

#[test]
fn free_cpus_without_a_free_accelerator_do_not_count() {
    let mut d = desk();
    for n in 1..=2 {
        d.beat(&machine(n, "a", false, 1));
    }
    // Two machines hold four replicas: no accelerator is left, but 12 CPUs.
    d.submit(&service(1, 4));
    assert_eq!(hosts(&d, "job-000001").len(), 4);
    let mut next = 0;
    let rented = rent_all(&mut d, &mut next);
    assert!(
        count(&rented, false) >= 2,
        "headroom of replicas: {rented:?}"
    );
}

#[test]
fn class_is_quick_if_its_objective_is_shorter_than_a_boot() {
    let kept = |within_s: f64| {
        let mut d = desk();
        d.s.config.objectives[0].within_s = Some(within_s);
        d.event(Event::MachineTypes(vec![g2()]));
        d.beat(&machine(1, "a", false, 1));
        d.submit(&service(1, 1));
        let mut next = 0;
        !rent_all(&mut d, &mut next).is_empty()
    };
    assert!(kept(26.0), "machines boot in 45 s, seldom under 27");
    assert!(!kept(60.0));
}

#[test]
fn gang_gets_no_replacement_after_a_failover_before_its_members_report() {
    let mut first = desk();
    for n in 1..=3 {
        first.beat(&machine(n, "a", false, 1));
    }
    let mut anywhere = gang(1, 3);
    anywhere.one_zone = false;
    first.submit(&anywhere);
    let record = {
        let j = first.s.jobs.get_mut(&JobId::from("job-000001")).unwrap();
        j.active.remove(&TaskIndex(2));
        j.encode(0)
    };
    let now = hookworks::time::Time(4_000_000_000);
    let wall = hookworks::time::WallTime(1_000_000);
    let job = hookworks::sched::job::Job::decode(&record, now, wall).unwrap();
    let a = job.active[&TaskIndex(0)].attempt;
    let mut d = Desk::set_up(2, vec![job], |c| c.teams[1].cpus_max = 0.0);
    d.event(Event::MachineTypes(vec![g2()]));
    d.beat(&machine(3, "a", false, 2));
    assert_eq!(hosts(&d, "job-000001").len(), 2, "it may be running");
    for n in 1..=2u32 {
        let mut r = machine(n, "a", false, 2);
        r.tasks = vec![task("job-000001", n - 1, a, TaskState::Waiting)];
        d.beat(&r);
    }
    assert_eq!(d.attempt("job-000001", 2), Some(a));
}

#[test]
fn lendable_job_joins_only_machines_of_services_while_a_gang_waits() {
    let joins = |gang_waits: bool, held_open: bool| {
        let mut d = desk();
        d.beat(&machine(1, "a", false, 1));
        let mut first = match held_open {
            true => service(1, 1),
            false => half(1, 1),
        };
        (first.spot, first.class) = (false, "work".into());
        d.submit(&first);
        if gang_waits {
            d.submit(&gang(2, 2));
        }
        let mut array = half(3, 1);
        array.team = "blue".into();
        d.submit(&array);
        !hosts(&d, "job-000003").is_empty()
    };
    assert!(joins(false, false));
    assert!(joins(true, true));
    assert!(!joins(true, false), "the gang would wait indefinitely");
}

/// Guards against a failover that resets the start of every task: machines seem busy
/// for longer than they are, and measured runtimes are far too short.
#[test]
fn task_that_ran_before_a_failover_keeps_its_start_time() {
    let mut first = desk();
    first.beat(&machine(1, "a", false, 1));
    first.submit(&half(1, 2));
    let record = first.s.jobs[&JobId::from("job-000001")].encode(0);
    let now = hookworks::time::Time(4_060_000_000);
    let wall = hookworks::time::WallTime(1_060_000);
    let job = hookworks::sched::job::Job::decode(&record, now, wall).unwrap();
    let mut d = Desk::with(2, vec![job]);
    d.event(Event::MachineTypes(vec![g2()]));
    d.now = now.0;
    runs(&mut d, machine(1, "a", false, 2));
    let m = &d.s.machines[&Host::from("n-000001")];
    let left = m.remaining_range(hookworks::time::Time(d.now)).unwrap().1;
    // About 60 of 100 s have passed.
    assert!(left.as_secs() < 41.0, "{left:?}");
    let a = d.attempt("job-000001", 0).unwrap();
    let mut r = machine(1, "a", false, 3);
    r.tasks = vec![ended("job-000001", 0, a, Cause::Done)];
    d.beat(&r);
    assert!(d.s.jobs[&JobId::from("job-000001")].runtimes.is_empty());
}

#[test]
fn overview_shows_what_gangs_wait_for_and_missing_replicas() {
    let mut d = desk();
    d.beat(&machine(1, "a", false, 1));
    d.submit(&gang(1, 3));
    d.submit(&service(2, 3));
    let v = d.s.overview(hookworks::time::Time(d.now));
    assert_eq!(v["gangs_waiting"][0]["waits_for"], "machines");
    assert!(v["gangs_waiting"][0]["zone"].is_string());
    assert_eq!(v["replicas_missing"]["quick"], 3);
    assert_eq!(v["room"]["accelerators"]["up"], 2.0);
}
