//! Controllers that crash and restart under the same label, at once or later.

mod world;

use hookworks::election::REVOCATION_DELAY;
use hookworks::ids::JobId;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobState, Priority};
use rand::RngExt;
use world::handover::{Act, Change};
use world::{Ev, World, job};

/// A small fleet with a steady load; each job is submitted until it is accepted.
fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, 3);
    world.run(2.0);
    for n in 0..8 {
        let mut spec = job(n, 3);
        spec.team = if n % 2 == 0 { "red" } else { "blue" }.into();
        if n % 4 == 3 {
            spec.priority = Priority::High;
        }
        let body = serde_json::to_vec(&spec).unwrap();
        world.specs.insert(spec.id.clone(), spec);
        for k in 0..8 {
            let at = n as f64 * 2.0 + 4.0 * k as f64;
            world.at(at, Ev::User(Request::Submit(body.clone())));
        }
        for k in 0..30 {
            let poll = Request::Poll(format!("job-{n:06}"));
            world.at(3.0 * k as f64, Ev::User(poll));
        }
    }
    world
}

/// Asserts that all jobs finish and that no invariant was violated.
fn assert_all_jobs_finish(mut world: World, what: &str) {
    world.run(150.0);
    assert!(world.broken.is_empty(), "{what}: {:?}", world.broken);
    for id in world.specs.keys().cloned().collect::<Vec<JobId>>() {
        let state = world.state_of(id.as_str());
        assert_eq!(state, Some(JobState::Done), "{what}: {id}");
    }
}

/// The leader crashes after each event in turn, be it of placement, writes, commands or
/// failovers, and restarts after a delay.
#[test]
fn leader_may_crash_at_any_event_and_restart_at_any_time() {
    for (k, back) in [0.05, 0.3, 1.0, 6.0].into_iter().enumerate() {
        for n in 0..60 {
            let mut world = busy_world(7);
            world.run(12.0);
            let end = world.now + 60_000_000;
            for _ in 0..n * 5 + k {
                world.step(end);
            }
            let led = world.leader().unwrap();
            world.at(0.0, Ev::Kill(led));
            world.at(back, Ev::Restart(led));
            // A second crash, while the state is loaded.
            world.at(back + 0.004 * n as f64, Ev::Kill(led));
            world.at(2.0 * back + 0.004 * n as f64, Ev::Restart(led));
            assert_all_jobs_finish(world, &format!("event {n}, back after {back} s"));
        }
    }
}

#[test]
fn all_controllers_may_crash_at_once_four_times_in_eight_seconds() {
    for seed in 0..12 {
        let mut world = busy_world(seed);
        for (k, at) in [10.0, 12.0, 15.0, 18.0].into_iter().enumerate() {
            for i in 0..3 {
                world.at(at, Ev::Kill(i));
                world.at(at + 0.3 + 0.07 * ((i + k) % 3) as f64, Ev::Restart(i));
            }
        }
        assert_all_jobs_finish(world, &format!("seed {seed}"));
    }
}

/// All controllers crash in the middle of an outage, 50 ms before its end, and at its end.
#[test]
fn all_controllers_may_crash_during_a_state_service_outage() {
    for seed in 0..12 {
        let mut world = busy_world(seed);
        world.at(10.0, Ev::StoreDown(true));
        world.at(22.0, Ev::StoreDown(false));
        for at in [14.0, 21.95, 22.0] {
            for i in 0..3 {
                world.at(at, Ev::Kill(i));
                world.at(at + 0.3, Ev::Restart(i));
            }
        }
        assert_all_jobs_finish(world, &format!("seed {seed}"));
    }
}

/// A leader that restarts within 0.3 s leads again within 50 ms once no answer of its earlier
/// process may be told any more, and not before.
#[test]
fn leader_that_restarts_at_once_leads_at_once() {
    let mut world = busy_world(3);
    world.run(12.0);
    let led = world.leader().unwrap();
    world.at(0.0, Ev::Kill(led));
    world.at(0.3, Ev::Restart(led));
    world.run(0.29 + REVOCATION_DELAY.as_secs());
    assert_eq!(world.leader(), None);
    world.run(0.05);
    assert_eq!(world.leader(), Some(led));
    assert_all_jobs_finish(world, "immediate restart");
}

/// Users ask at a follower all the time; it stands still with the leader's answers on their
/// way, while the leader ends, or resigns, and is back at once or another one leads. What the
/// earlier leader has answered is not told after the next one has begun (the world's rule
/// `told_after_next_leader`). Guards against an older answer after a newer one (review case 6).
#[test]
fn follower_that_stood_still_tells_nothing_of_an_earlier_leader() {
    let mut passed_back = 0;
    for seed in 0..60 {
        let mut world = busy_world(seed);
        world.run(12.0);
        let led = world.leader().unwrap();
        let asked = (led + 1 + seed as usize % 2) % 3;
        for k in 0..600 {
            let poll = Request::Poll(format!("job-{:06}", k % 8));
            world.at(0.002 * k as f64, Ev::UserVia(asked, poll));
        }
        let long = world.rng.random_range(0.1..1.5);
        let back = world.rng.random_range(0.02..0.5);
        world.at(0.2, Ev::Freeze(asked, long));
        if seed % 3 == 0 {
            world.at(0.21, Ev::HandOver(Act::Change(Change::InOrder, back)));
        } else {
            world.at(0.21, Ev::Kill(led));
            world.at(0.21 + back, Ev::Restart(led));
        }
        for n in 0..8 {
            let cancel = Request::Cancel(format!("job-{n:06}"));
            world.at(0.25 + 0.1 * n as f64, Ev::User(cancel));
        }
        world.run(30.0);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        passed_back += world.questions.passed_back;
    }
    assert!(
        passed_back > 5_000,
        "hardly anything was passed on: {passed_back}"
    );
}

/// The leader's process is suspended after each event in turn, be it a submission, an
/// answer to a heartbeat, a direct call, a write or a renewal: for less than the leader's
/// lease, for longer, and for longer than a worker's lease.
#[test]
fn leader_may_be_suspended_at_any_event() {
    for long in [0.7, 2.4, 11.0, 30.0] {
        for n in 0..40 {
            let mut world = busy_world(7);
            world.run(12.0);
            let end = world.now + 60_000_000;
            for _ in 0..n * 3 {
                world.step(end);
            }
            let led = world.leader().unwrap();
            world.at(0.0, Ev::Freeze(led, long));
            assert_all_jobs_finish(world, &format!("event {n}, suspended for {long} s"));
        }
    }
}

/// The leader loses the state service and the other controllers, but not its workers;
/// either only the leader, or all controllers one after the other.
#[test]
fn controller_may_be_isolated_with_its_workers_at_any_event() {
    for (all, long) in [(false, 3.0), (false, 30.0), (true, 12.0), (true, 24.0)] {
        for n in 0..30 {
            let mut world = busy_world(5);
            world.run(12.0);
            let end = world.now + 60_000_000;
            for _ in 0..n * 3 {
                world.step(end);
            }
            let led = world.leader().unwrap();
            for i in (0..3).filter(|i| all || *i == led) {
                world.at(0.2 * i as f64, Ev::Lonely(i, true));
                world.at(long + 0.1 * i as f64, Ev::Lonely(i, false));
            }
            assert_all_jobs_finish(world, &format!("event {n}, all {all}, for {long} s"));
        }
    }
}

#[test]
fn two_of_three_controllers_may_crash_in_turn_every_300_ms() {
    for seed in 0..10 {
        let mut world = busy_world(seed);
        for k in 0..33 {
            let at = 10.0 + 0.3 * k as f64;
            world.at(at, Ev::Kill(k % 2));
            world.at(at + 0.25, Ev::Restart(k % 2));
        }
        assert_all_jobs_finish(world, &format!("seed {seed}"));
    }
}

/// Machines restart at once with a new session, while commands of the earlier session are
/// still in flight.
#[test]
fn machines_may_restart_while_their_commands_are_in_flight() {
    for n in 0..40 {
        let mut world = busy_world(9);
        world.chaos.late = 0.1;
        world.run(12.0);
        let end = world.now + 60_000_000;
        for _ in 0..n * 4 {
            world.step(end);
        }
        let hosts: Vec<_> = world.workers.keys().cloned().collect();
        for (k, h) in hosts.into_iter().enumerate() {
            world.at(0.1 * k as f64, Ev::Reborn(h));
        }
        let led = world.leader().unwrap();
        world.at(0.15, Ev::Kill(led));
        world.at(0.4, Ev::Restart(led));
        assert_all_jobs_finish(world, &format!("event {n}"));
    }
}

/// The tasks of a machine that receives no answers run elsewhere after its lease has
/// expired, and not before. Bounds how much longer the jobs take for that.
#[test]
fn tasks_of_a_machine_without_answers_run_elsewhere() {
    let took = |deaf: bool, seed: u64| {
        let mut world = busy_world(seed);
        world.run(14.0);
        let busiest = world
            .workers
            .values()
            .max_by_key(|worker| worker.present().len());
        let host = busiest.unwrap().host.clone();
        if deaf {
            world.at(0.0, Ev::Deaf(host, true));
        }
        // More jobs, for which that machine looks as suitable as any other.
        for n in 8..20 {
            let mut spec = job(n, 1);
            spec.team = "blue".into();
            let body = serde_json::to_vec(&spec).unwrap();
            world.specs.insert(spec.id.clone(), spec);
            world.at(1.5 * (n - 7) as f64, Ev::User(Request::Submit(body)));
        }
        let from = world.now;
        let all: usize = world.specs.values().map(|s| s.tasks as usize).sum();
        while world.done_tasks.len() < all && world.now < from + 300_000_000 {
            world.run(0.5);
        }
        world.assert_rules();
        (world.now - from) as f64 / 1e6
    };
    let longer = (1..=24).map(|seed| took(true, seed) - took(false, seed));
    let longer: Vec<f64> = longer.collect();
    let mean = longer.iter().sum::<f64>() / longer.len() as f64;
    let most = longer.iter().copied().fold(0.0, f64::max);
    println!("with a machine that receives no answers {mean:.1} s longer, at most {most} s");
    // Measured: mean 6.4 s and maximum 12.5 s; 35 s and 250 s if such a machine is still
    // chosen for new tasks.
    assert!(mean <= 7.0 && most <= 13.0, "{longer:?}");
}
