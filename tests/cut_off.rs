//! Network partitions of zones and controller outages longer than a lease, and arrays
//! bound to one zone that lose machines, with cancellations and failovers meanwhile.

mod world;

use hookworks::ids::*;
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobSpec;
use rand::RngExt;
use world::links::Link;
use world::{Ev, World, job};

/// Lease of workers in the simulated cluster, in seconds.
const LEASE_S: f64 = 20.0;
const CONTROLLERS: usize = 3;

fn id(n: u64) -> String {
    format!("job-{n:06}")
}

/// Three zones, each with a controller and some machines that run these jobs.
fn at_work(seed: u64, jobs: u64, change: impl Fn(u64, &mut JobSpec)) -> World {
    let mut w = World::wide(seed, &["a", "b", "c"], 4);
    w.run_s = 35.0;
    w.run(2.0);
    for n in 1..=jobs {
        let mut j = job(n, 8);
        change(n, &mut j);
        w.submit(j);
    }
    w.run(25.0);
    assert!(w.started > 0);
    w
}

/// A user repeats a cancellation until it is confirmed.
fn cancel(w: &mut World, n: u64, in_s: f64) {
    for k in 0..10 {
        let ask = Request::Cancel(id(n));
        w.at(in_s + 4.0 * f64::from(k), Ev::User(ask));
    }
}

/// After all faults: no invariant was violated, and every job ends.
fn ends_well(mut w: World, jobs: u64) {
    w.all_quiet();
    for n in 1..=jobs {
        for k in 0..40 {
            w.at(5.0 * f64::from(k), Ev::User(Request::Poll(id(n))));
        }
    }
    w.run(210.0);
    w.assert_rules();
    let leader = w.leader().expect("a leader");
    let left: Vec<&JobId> = w.sched(leader).jobs.keys().collect();
    assert!(left.is_empty(), "left: {left:?}");
}

/// The leases expire: every worker ends its tasks and begins a new session.
#[test]
fn invariants_hold_when_all_controllers_are_down_for_longer_than_a_lease() {
    for (seed, away_s) in [LEASE_S - 1.0, LEASE_S + 1.0, 30.0, 43.0, 90.0]
        .into_iter()
        .enumerate()
    {
        let mut w = at_work(seed as u64, 4, |_, _| {});
        cancel(&mut w, 1, 0.0);
        // The second one fails until a controller has restarted.
        cancel(&mut w, 2, 1.5);
        for i in 0..CONTROLLERS {
            w.at(1.0, Ev::Kill(i));
            w.at(1.0 + away_s + 0.3 * i as f64, Ev::Restart(i));
        }
        w.run(1.0 + away_s + 2.0);
        assert!(w.leader().is_some(), "nobody leads");
        assert!(w.cancellations() >= 1);
        ends_well(w, 4);
    }
}

/// The leader or a follower is partitioned together with the workers of its zone.
#[test]
fn invariants_hold_when_a_zone_with_a_controller_is_partitioned_for_longer_than_a_lease() {
    let mut seed = 0;
    for link in [Link::Cut, Link::Held, Link::Reset] {
        for leads in [true, false] {
            seed += 1;
            let mut w = at_work(seed, 4, |_, _| {});
            let leader = w.leader().expect("a leader");
            let inside = match leads {
                true => leader,
                false => (leader + 1) % CONTROLLERS,
            };
            let zone = w.zone_of(inside);
            let there = w.machines_in(zone.as_str());
            let at_work = (1..=4).flat_map(|n| w.hosts_of(&id(n).as_str().into()));
            let at_work = at_work.filter(|h| there.contains(h)).count();
            assert!(at_work > 0, "nothing runs there");
            let cut_s = LEASE_S + w.rng.random_range(1.0..40.0);
            w.set_zone(zone.as_str(), link);
            cancel(&mut w, 1, 3.0);
            cancel(&mut w, 2, cut_s - 1.0);
            w.run(cut_s);
            assert_ne!(w.leader().map(|i| w.zone_of(i)), Some(zone.clone()));
            w.set_zone(zone.as_str(), Link::Open);
            w.run(10.0);
            ends_well(w, 4);
        }
    }
}

/// Lost tasks restart in the zone of the remaining ones, or in any zone if none remain.
#[test]
fn arrays_bound_to_one_zone_that_lose_machines_stay_in_one_zone() {
    for seed in 0..12 {
        let mut w = at_work(seed, 4, |n, j| {
            j.tasks = 6;
            j.one_zone = true;
            j.zone = (n == 1).then(|| "b".into());
        });
        let hosts: Vec<Host> = w.workers.keys().cloned().collect();
        for host in hosts {
            let at = w.rng.random_range(0.0..20.0);
            match w.rng.random_range(0..4) {
                0 => w.at(at, Ev::Preempt(host)),
                1 => w.at(at, Ev::Reborn(host)),
                2 => {
                    w.at(at, Ev::Hang(host.clone(), true));
                    w.at(at + 30.0, Ev::Hang(host, false));
                }
                _ => {}
            }
        }
        let leader = w.leader().expect("a leader");
        w.at(5.0, Ev::Kill(leader));
        w.at(5.3, Ev::Restart(leader));
        w.run(55.0);
        ends_well(w, 4);
    }
}
