//! Two faults at once: seeded simulations of two or three machines with jobs of one to
//! three tasks, a gang and a service. The faults occur close to the relevant deadlines: the
//! renewal and the expiry of the leader's lease, a worker's timeout for an answer, its
//! lease, the grace period, and the time limit of a cancellation.

mod troubles;
mod world;

use hookworks::ids::*;
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use rand::RngExt;
use troubles::{TROUBLES, Trouble, near, strike};
use world::handover::Conditions;
use world::{Chaos, Ev, World, job};

/// Runs one simulation: a small fleet under load, two faults, and recovery.
fn run_pair(seed: u64, pair: (Trouble, Trouble), setup: impl Fn(&mut World)) -> World {
    let mut world = World::new(seed, 3);
    setup(&mut world);
    world.capacity = 1;
    world.run_s = [2.0, 9.0, 25.0, 90.0, 90.0][world.rng.random_range(0..5)];
    world.run(2.0);
    let mut ids = vec![];
    for n in 0..7 {
        let mut spec = job(n, world.rng.random_range(1..4));
        match n {
            1 => {
                (spec.kind, spec.tasks, spec.one_zone) =
                    (JobKind::Gang, 2, world.rng.random_bool(0.5))
            }
            2 => (spec.kind, spec.tasks) = (JobKind::Service, 1),
            3 => (spec.team, spec.spot) = ("blue".into(), false),
            4 => spec.one_zone = true,
            5 => spec.zone = Some("b".into()),
            _ => {}
        }
        let at = if n < 5 { 0.0 } else { 22.0 + near(&mut world) };
        let body = serde_json::to_vec(&spec).unwrap();
        world.specs.insert(spec.id.clone(), spec.clone());
        for k in 0..6 {
            world.at(at + 7.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
        ids.push(spec.id.to_string());
    }
    world.run(24.0);
    strike(&mut world, pair.0, 0.0);
    let second = near(&mut world);
    strike(&mut world, pair.1, second);
    // Some workers keep reporting to the current leader, whatever happens.
    let old_leader = world.leader();
    let (pinned, accept_calls) = (world.rng.random_bool(0.6), world.rng.random_bool(0.6));
    for h in world.workers.keys().cloned().collect::<Vec<Host>>() {
        if pinned && world.rng.random_bool(0.8) {
            let until = second + near(&mut world);
            world.at(0.0, Ev::Home(h.clone(), old_leader));
            world.at(until + 50.0, Ev::Home(h.clone(), None));
            if !accept_calls {
                world.at(0.0, Ev::NoCalls(h.clone(), true));
                world.at(until + 50.0, Ev::NoCalls(h, false));
            }
        }
    }
    // Users poll and cancel meanwhile, by any controller.
    for id in &ids {
        if world.rng.random_bool(0.6) {
            // Around the second fault, or soon after the first one.
            let at = match world.rng.random_bool(0.5) {
                true => second + world.rng.random_range(-3.0..3.0),
                false => world.rng.random_range(0.0..8.0),
            };
            for k in 0..4 {
                let e = match world.rng.random_bool(0.5) {
                    true => Ev::User(Request::Cancel(id.clone())),
                    false => Ev::UserVia(world.rng.random_range(0..3), Request::Cancel(id.clone())),
                };
                world.at(at + 1.3 * k as f64, e);
            }
        }
        for k in 0..60 {
            let at = 1.5 * k as f64 + world.rng.random_range(0.0..1.0);
            let i = world.rng.random_range(0..4);
            let poll = Request::Poll(id.clone());
            world.at(
                at,
                if i == 3 {
                    Ev::User(poll)
                } else {
                    Ev::UserVia(i, poll)
                },
            );
        }
    }
    // Ten failovers take longer.
    let has_ten_failovers = [pair.0, pair.1].contains(&Trouble::TenLeaders);
    world.run(second + if has_ten_failovers { 130.0 } else { 95.0 });
    world.chaos = Chaos::default();
    world.set(Conditions::default());
    world.all_quiet();
    // Long enough for all remaining tasks to run one after the other.
    let rest = 120.0 + 4.0 * world.run_s;
    for id in &ids {
        for k in 0..(rest / 5.0) as u32 {
            world.at(5.0 * k as f64, Ev::User(Request::Poll(id.clone())));
        }
    }
    for k in 0..4 {
        let end = Ev::User(Request::Cancel(ids[2].clone()));
        world.at(20.0 + 5.0 * k as f64, end);
    }
    world.run(rest);
    world
}

/// The pair of faults of a seed. In each round of as many consecutive seeds as there are
/// faults, every fault occurs once as the first and once as the second.
fn pair(seed: u64) -> (Trouble, Trouble) {
    let n = TROUBLES.len() as u64;
    let (first, shift) = (seed % n, seed / n);
    (
        TROUBLES[first as usize],
        TROUBLES[((first + shift) % n) as usize],
    )
}

#[test]
fn each_pair_of_faults_is_drawn_once_and_evenly() {
    let n = TROUBLES.len() as u64;
    let all: Vec<_> = (0..n * n).map(pair).collect();
    for (k, p) in all.iter().enumerate() {
        assert!(!all[..k].contains(p), "{p:?} twice");
    }
    for t in TROUBLES {
        for round in all.chunks(n as usize) {
            assert_eq!(round.iter().filter(|p| p.0 == t).count(), 1);
            assert_eq!(round.iter().filter(|p| p.1 == t).count(), 1);
        }
    }
}

/// All pairs of faults; `MEETINGS` sets another number of seeds, `MEETINGS_FROM` the first.
#[test]
fn invariants_hold_for_each_pair_of_faults() {
    let seed_count = std::env::var("MEETINGS").ok().and_then(|n| n.parse().ok());
    let from = std::env::var("MEETINGS_FROM")
        .ok()
        .and_then(|n| n.parse().ok());
    let from = from.unwrap_or(0);
    let (mut ran, mut gangs, mut cancelled) = (0, 0, 0);
    let mut failures = vec![];
    let pairs = (TROUBLES.len() * TROUBLES.len()) as u64;
    for seed in from..from + seed_count.unwrap_or(pairs) {
        let pair = pair(seed);
        let world = run_pair(seed, pair, |_| {});
        let i = world.leader().expect("a leader after the faults");
        let left: Vec<_> = world.sched(i).jobs.keys().cloned().collect();
        if !left.is_empty() || !world.broken.is_empty() {
            let broken = &world.broken[..world.broken.len().min(3)];
            let text = format!("seed {seed} {pair:?}: {broken:?} {left:?}");
            eprintln!("{text}");
            failures.push(text);
        }
        ran += world.started;
        gangs += world.gangs_begun;
        cancelled += world.cancellations();
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    if from == 0 {
        assert!(ran > 1000, "too few tasks ran: {ran}");
        assert!(gangs > 40, "too few gangs started: {gangs}");
        assert!(cancelled > 150, "too few cancellations: {cancelled}");
    }
}

/// The checker detects the violations that these simulations look for: if controllers
/// assume a much longer time limit for cancellations, some task outlives its cancellation.
#[test]
fn too_long_a_grace_period_is_detected() {
    let pair = (Trouble::Refused, Trouble::Outage);
    let outlived = |world: World| world.broken.iter().any(|b| b.starts_with("ran_cancelled"));
    let mut faulty = (0..40).map(|s| run_pair(s, pair, |world| world.believed_s = Some(90.0)));
    assert!(faulty.any(outlived));
}
