//! Seeded simulations of frequent failovers, machines that boot at once, slow writes and
//! slow links, in many orders of events, checked against the invariants.

mod orders;
mod work;
#[path = "../world/mod.rs"]
mod world;

use hookworks::ids::*;
use rand::RngExt;
use std::collections::BTreeSet;
use work::{assert_all_jobs_finish, cancel, inject_machine_faults, submit, submit_mix};
use world::handover::{Act, Change, Conditions};
use world::{Chaos, Ev, World};

/// The seeds to run: `HANDOVERS` sets their number, `HANDOVERS_FROM` the first one.
fn seeds() -> std::ops::Range<u64> {
    let from_env = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from: u64 = from_env("HANDOVERS_FROM").unwrap_or(0);
    from..from + from_env("HANDOVERS").unwrap_or(30)
}

/// Machines report before the cloud has answered the rental and before any list shows
/// them.
const FAST_BOOT: Conditions = Conditions {
    boot: Some((0.02, 2.0)),
    cloud: Some((0.05, 1.5)),
    list_lag_s: 3.0,
    links: None,
    writes: Some((0.3, 4.0)),
    load: Some((0.02, 1.0)),
};

/// New machines get tasks at once, while writes take seconds, arrive late or lose their
/// answer, and the leader crashes or resigns repeatedly.
#[test]
fn invariants_hold_with_fast_boots_slow_writes_and_failovers() {
    let (mut ran, mut before_answer) = (0, 0);
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.set(FAST_BOOT);
        world.chaos = Chaos {
            late_txn: 0.1,
            lose_txn_answer: 0.1,
            ..Chaos::default()
        };
        world.run_s = [3.0, 20.0, 60.0][world.rng.random_range(0..3)];
        world.run(2.0);
        submit_mix(&mut world, 9, 30.0);
        for k in 0..6 {
            // Soon after the jobs were submitted, while their writes are in flight.
            let at = 1.0 + 6.0 * k as f64 + world.rng.random_range(0.0..5.0);
            let back = world.rng.random_range(0.02..3.0);
            let change = [Change::Ends, Change::InOrder][k % 2];
            world.at(at, Ev::HandOver(Act::Change(change, back)));
        }
        world.run(60.0);
        ran += world.started;
        before_answer += world.handover.before_answer;
        let rest = 120.0 + 4.0 * world.run_s;
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), rest);
        assert!(
            world.rented() <= 24,
            "seed {seed}: {} rented",
            world.rented()
        );
    }
    assert!(
        ran > 15 * seeds().count() as u64,
        "too few tasks ran: {ran}"
    );
    assert!(
        before_answer > seeds().count(),
        "{before_answer} machines were up before the answer"
    );
}

/// Ten failovers of any kind within two minutes; every other seed also has an outage of
/// the state service.
#[test]
fn invariants_hold_with_ten_failovers_in_two_minutes() {
    let (mut failover_kinds, mut leaderships) = (BTreeSet::new(), 0);
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.set(Conditions {
            list_lag_s: 3.0,
            load: Some((0.02, 1.5)),
            ..Conditions::default()
        });
        world.run_s = [5.0, 25.0, 80.0][world.rng.random_range(0..3)];
        world.run(2.0);
        submit_mix(&mut world, 9, 100.0);
        world.change_leaders(5.0, 10, 120.0);
        if seed % 2 == 1 {
            let (at, long) = (
                world.rng.random_range(10.0..90.0),
                world.rng.random_range(5.0..60.0),
            );
            world.at(at, Ev::StoreDown(true));
            world.at(at + long, Ev::StoreDown(false));
        }
        if seed % 4 > 1 {
            inject_machine_faults(&mut world, 90.0);
        }
        for n in 0..4 {
            let at = world.rng.random_range(30.0..130.0);
            cancel(&mut world, &format!("job-{n:06}"), at);
        }
        world.run(155.0);
        failover_kinds.extend(world.handover.changes.clone());
        leaderships += world.log.len();
        let rest = 120.0 + 4.0 * world.run_s;
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), rest);
        assert!(
            world.rented() <= 32,
            "seed {seed}: {} rented",
            world.rented()
        );
    }
    assert_eq!(failover_kinds.len(), 4, "{failover_kinds:?}");
    assert!(
        leaderships > 6 * seeds().count(),
        "too few failovers: {leaderships} leaderships"
    );
}

/// After an outage of the state service in which controllers crashed, a leader is elected
/// within seconds.
#[test]
fn leader_is_elected_within_seconds_after_an_outage_with_crashes() {
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.run(2.0);
        submit_mix(&mut world, 6, 5.0);
        world.run(12.0);
        world.at(0.0, Ev::StoreDown(true));
        world.at(30.0, Ev::StoreDown(false));
        for k in 0..10 {
            let at = world.rng.random_range(0.0..30.0);
            let back = world.rng.random_range(0.02..1.0);
            world.at(at, Ev::Kill(k % 3));
            world.at(at + back, Ev::Restart(k % 3));
        }
        world.run(29.9);
        let leaderships = world.log.len();
        assert_eq!(
            leaderships, 1,
            "seed {seed}: elected during the outage: {:?}",
            world.log
        );
        // The earlier leader's lease has its full duration again after the outage, unless
        // its successor on the same machine revokes it.
        world.run(2.5);
        assert!(world.leader().is_some(), "seed {seed}: no leader");
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), 200.0);
    }
}

/// Jobs are cancelled during failovers, planned or not; no confirmed cancellation is
/// lost.
#[test]
fn cancellations_during_failovers_hold() {
    let mut cancelled = 0;
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.run_s = 90.0;
        world.run(2.0);
        if seed % 3 == 0 {
            world.set(Conditions {
                writes: Some((0.05, 1.5)),
                load: Some((0.02, 1.0)),
                ..Conditions::default()
            });
        }
        submit_mix(&mut world, 8, 3.0);
        world.run(25.0);
        for k in 0..4 {
            let at = 12.0 * k as f64;
            let change = [Change::InOrder, Change::Ends][world.rng.random_range(0..2)];
            let back = world.rng.random_range(0.02..1.0);
            world.at(at, Ev::HandOver(Act::Change(change, back)));
            for n in [2 * k, 2 * k + 1] {
                let at = at + world.rng.random_range(0.0..4.0);
                cancel(&mut world, &format!("job-{n:06}"), at);
            }
        }
        world.run(60.0);
        cancelled += world.cancellations();
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), 300.0);
    }
    let min_cancelled = 5 * seeds().count();
    assert!(
        cancelled > min_cancelled,
        "too few cancellations: {cancelled}"
    );
}

/// More tasks than capacity, a fifth of the jobs urgent, while each message takes 0.2 to 2 s each
/// way; every other seed also has failovers.
#[test]
fn invariants_hold_with_more_tasks_than_capacity_over_slow_links() {
    let (mut ran, mut cancelled) = (0, 0);
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.capacity = 1;
        world.set(Conditions {
            links: Some((0.2, 2.0)),
            list_lag_s: 3.0,
            ..Conditions::default()
        });
        world.run_s = [5.0, 20.0, 40.0][world.rng.random_range(0..3)];
        world.run(2.0);
        submit_mix(&mut world, 14, 60.0);
        if seed % 2 == 1 {
            world.change_leaders(15.0, 4, 60.0);
        }
        for n in 0..4 {
            let at = world.rng.random_range(10.0..90.0);
            cancel(&mut world, &format!("job-{n:06}"), at);
        }
        world.run(120.0);
        ran += world.started;
        cancelled += world.cancellations();
        let rest = 200.0 + 8.0 * world.run_s;
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), rest);
        assert!(
            world.rented() <= 12,
            "seed {seed}: {} rented",
            world.rented()
        );
    }
    let seed_count = seeds().count();
    assert!(ran > 12 * seed_count as u64, "too few tasks ran: {ran}");
    assert!(cancelled > seed_count, "too few cancellations: {cancelled}");
}

/// A random subset of all faults above at the same time.
#[test]
fn invariants_hold_with_random_combinations_of_faults() {
    let mut cancelled = 0;
    for seed in seeds() {
        let mut world = World::new(seed, 3);
        world.capacity = world.rng.random_range(1..4);
        let mut conditions = Conditions::default();
        let mut draw = || world.rng.random_bool(0.5);
        conditions.boot = draw().then_some((0.02, 2.0));
        conditions.cloud = draw().then_some((0.05, 1.5));
        conditions.links = draw().then_some((0.2, 2.0));
        conditions.writes = draw().then_some((0.05, 4.0));
        conditions.load = draw().then_some((0.02, 1.5));
        conditions.list_lag_s = if draw() { 3.0 } else { 0.0 };
        world.chaos = Chaos {
            lose_answer: 0.05,
            lose_txn_answer: 0.1,
            late_txn: 0.05,
            copy: 0.1,
            ..Chaos::default()
        };
        world.set(conditions);
        world.run_s = [5.0, 25.0, 80.0][world.rng.random_range(0..3)];
        world.run(2.0);
        submit_mix(&mut world, 10, 80.0);
        let times = world.rng.random_range(2..11);
        world.change_leaders(5.0, times, 100.0);
        inject_machine_faults(&mut world, 100.0);
        if world.rng.random_bool(0.5) {
            let (at, long) = (
                world.rng.random_range(5.0..80.0),
                world.rng.random_range(2.0..50.0),
            );
            world.at(at, Ev::StoreDown(true));
            world.at(at + long, Ev::StoreDown(false));
        }
        for n in 0..6 {
            let at = world.rng.random_range(10.0..120.0);
            cancel(&mut world, &format!("job-{n:06}"), at);
        }
        world.run(170.0);
        cancelled += world.cancellations();
        let rest = 160.0 + 8.0 * world.run_s;
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), rest);
        assert!(
            world.rented() <= 40,
            "seed {seed}: {} rented",
            world.rented()
        );
    }
    let min_cancelled = seeds().count();
    assert!(
        cancelled > min_cancelled,
        "too few cancellations: {cancelled}"
    );
}

/// Each new leader waits a full lease, counted from its own start, for a machine that it
/// has not heard from. After ten failovers the task of a partitioned machine must run
/// elsewhere as soon as after one, and not while it may still run there.
#[test]
fn ten_failovers_delay_the_tasks_of_a_lost_machine_no_longer_than_one() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3);
        world.run_s = 30.0;
        world.run(2.0);
        submit(&mut world, 1, 0.0, 1, |_| {});
        world.run(20.0);
        let task = TaskId {
            job: "job-000001".into(),
            index: TaskIndex(0),
        };
        let found = world.workers.values().find(|m| m.present().contains(&task));
        let host = found.expect("the task runs").host.clone();
        world.at(0.0, Ev::Cut(host.clone(), true));
        for k in 0..10 {
            let e = Act::Change(Change::Ends, 0.05);
            world.at(0.5 + 4.0 * k as f64, Ev::HandOver(e));
        }
        world.run(36.6);
        let last_failover = world.now;
        let done = |world: &World| world.done_tasks.contains(&task);
        while !done(&world) && world.now < last_failover + 200_000_000 {
            world.run(0.5);
        }
        world.assert_rules();
        // Grace period, lease, boot of a new machine, and the task itself.
        let took_s = (world.now - last_failover) as f64 / 1e6;
        assert!(
            took_s < 20.0 + 21.1 + 20.0 + 31.0,
            "seed {seed}: {took_s} s"
        );
    }
}

/// Guards against repeated rentals: with a failover every two seconds, the cloud's list
/// does not yet show what the previous leader has rented. Ten leaders once rented machines
/// for the same job ten times.
#[test]
fn ten_leaders_do_not_rent_ten_times_the_machines() {
    let rented = |changes: u32, seed: u64| {
        let mut world = World::wide(seed, &["a", "b"], 40);
        world.set(Conditions {
            list_lag_s: 3.0,
            ..Conditions::default()
        });
        world.run_s = 60.0;
        world.run(2.0);
        // Enough tasks for eight machines.
        submit(&mut world, 1, 0.0, 32, |_| {});
        for k in 0..changes {
            let at = 0.8 + 2.0 * k as f64;
            world.at(at, Ev::HandOver(Act::Change(Change::Ends, 0.1)));
        }
        world.run(40.0);
        assert_all_jobs_finish(&mut world, &format!("seed {seed}"), 300.0);
        world.rented()
    };
    for seed in 0..8 {
        let (usual, with_failovers) = (rented(0, seed), rented(10, seed));
        assert!(
            with_failovers <= 2 * usual,
            "seed {seed}: {with_failovers} machines, {usual} without failovers"
        );
    }
}
