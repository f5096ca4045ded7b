//! Random histories of zone outages of all kinds, combined with other faults; the
//! invariants hold in all of them.

mod world;

use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, Priority};
use rand::RngExt;
use world::links::Link;
use world::{Chaos, Ev, World, job};

/// One history: a fleet in two or three zones with random outages, while controllers
/// end, users cancel jobs, and the state service is down at times.
fn history(seed: u64) -> World {
    let three = !seed.is_multiple_of(3);
    let zones: &[&str] = if three { &["a", "b", "c"] } else { &["a", "b"] };
    let mut w = World::wide(seed, zones, 8);
    w.wealth = 4.0;
    w.run_s = w.rng.random_range(5.0..40.0);
    w.chaos = Chaos {
        lose_answer: 0.02,
        late: 0.01,
        lose_txn_answer: 0.02,
        refuse_txn: 0.01,
        copy: 0.05,
        late_txn: 0.01,
        repeat_call: 0.3,
        repeat_txn: 0.1,
        ..Chaos::default()
    };
    w.run(2.0);
    let mut services = vec![];
    for n in 0..12 {
        let mut j = job(n, w.rng.random_range(2..20));
        match n % 6 {
            2 => (j.kind, j.tasks, j.one_zone) = (JobKind::Gang, j.tasks.min(6), n % 4 == 2),
            3 => {
                (j.kind, j.tasks) = (JobKind::Service, j.tasks.min(4));
                (j.priority, j.spread) = (Priority::Production, n % 4 == 3);
                services.push(j.id.clone());
            }
            4 => j.zone = Some(w.zones[n as usize % zones.len()].clone()),
            5 => j.priority = Priority::High,
            _ => {}
        }
        let at = w.rng.random_range(0.0..120.0);
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j.clone());
        for k in 0..8 {
            w.at(at + 9.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
        for k in 0..40 {
            w.at(
                at + 6.0 * k as f64,
                Ev::User(Request::Poll(j.id.to_string())),
            );
        }
        if w.rng.random_bool(0.2) {
            let at = w.rng.random_range(30.0..160.0);
            w.at(at, Ev::User(Request::Cancel(j.id.to_string())));
        }
    }
    for _ in 0..3 {
        let (at, i) = (w.rng.random_range(20.0..180.0), w.rng.random_range(0..3));
        w.at(at, Ev::Kill(i));
        let back = w.rng.random_range(0.02..8.0);
        w.at(at + back, Ev::Restart(i));
    }
    if w.rng.random_bool(0.5) {
        let (at, long) = (
            w.rng.random_range(30.0..150.0),
            w.rng.random_range(3.0..20.0),
        );
        w.at(at, Ev::StoreDown(true));
        w.at(at + long, Ev::StoreDown(false));
    }
    // Zones are cut off in one or both directions for random times.
    let mut left = 190.0;
    while left > 5.0 {
        let pause = w.rng.random_range(2.0..25.0f64).min(left);
        w.run(pause);
        left -= pause;
        let zone = zones[w.rng.random_range(0..zones.len())];
        let link = [Link::Cut, Link::Held, Link::Reset][w.rng.random_range(0..3)];
        let other = zones[w.rng.random_range(0..zones.len())];
        let one_way = w.rng.random_bool(0.25) && other != zone;
        if one_way {
            w.set_link(zone, other, link);
        } else {
            w.set_zone(zone, link);
        }
        // The leader may be in that zone, and the next one may end soon after.
        if w.rng.random_bool(0.5) {
            for _ in 0..w.rng.random_range(1..3) {
                let (at, i) = (w.rng.random_range(0.0..20.0), w.rng.random_range(0..3));
                w.at(at, Ev::Kill(i));
                let back = w.rng.random_range(0.02..8.0);
                w.at(at + back, Ev::Restart(i));
            }
        }
        let long = [3.0, 9.0, 16.0, 30.0, 55.0][w.rng.random_range(0..5)];
        w.run(f64::min(long, left));
        left -= long;
        if one_way {
            w.set_link(zone, other, Link::Open);
        } else {
            w.set_zone(zone, Link::Open);
        }
    }
    w.chaos = Chaos::default();
    for i in 0..3 {
        if !w.ctls[i].up {
            w.at(0.1, Ev::Restart(i));
        }
    }
    for id in services {
        for k in 0..6 {
            w.at(
                60.0 + 8.0 * k as f64,
                Ev::User(Request::Cancel(id.to_string())),
            );
        }
    }
    w.run(330.0);
    w
}

/// The environment variable `HISTORIES` sets the number of histories.
#[test]
fn invariants_hold_in_random_zone_histories() {
    let more = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let (mut repeated, mut transactions) = (0, 0);
    for seed in 0..more.unwrap_or(20) {
        let w = history(seed);
        let (broken, log) = (&w.broken[..w.broken.len().min(5)], &w.log);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}\n{log:#?}");
        assert!(w.started > 20, "seed {seed}: hardly anything ran");
        let i = w.leader().expect("a leader in the end");
        let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
        assert!(left.is_empty(), "seed {seed}: never finished {left:?}");
        repeated += w.repeated_calls.carried_out;
        transactions += w.repeated_calls.transactions;
    }
    assert!(
        transactions > 100,
        "hardly any transaction was repeated: {transactions}"
    );
    assert!(
        repeated > 20,
        "hardly any repeated call was carried out: {repeated}"
    );
}
