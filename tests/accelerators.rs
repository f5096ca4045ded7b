//! Machines whose accelerators run short before anything else: services, gangs
//! and arrays on them.

mod world;

use hookworks::ids::*;
use hookworks::sched::Event;
use hookworks::wire::cloud::Flavor;
use hookworks::wire::user::{JobSpec, Kind};
use hookworks::wire::worker::*;
use world::desk::{Desk, report};
use world::job;

/// 16 CPUs and two accelerators.
fn g2() -> Flavor {
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
    d.event(Event::Flavors(vec![g2()]));
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
    j.live.values().map(|l| l.host.to_string()).collect()
}

#[test]
fn an_amount_of_0_is_no_limit_and_what_passes_one_is_named() {
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
            with(5, &|j| (j.kind, j.tasks) = (Kind::Gang, 41)),
        ),
        ("Builds", with(6, &|j| j.builds = Some(vec!["x".into()]))),
        ("Yard", with(7, &|j| j.zone = Some("elsewhere".into()))),
        (
            "Scatter",
            with(8, &|j| {
                (j.kind, j.spread, j.one_zone) = (Kind::Service, true, true)
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
    // The limit on accelerators holds all the same.
    for n in 1..=30 {
        d.beat(&machine(n, "a", false, 1));
    }
    assert_eq!(hosts(&d, "job-000001").len(), 40);
}
