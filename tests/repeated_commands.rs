//! Direct calls that a worker has carried out and answered arrive there once more, after
//! their attempts were cleared.

mod world;

use hookworks::ids::Host;
use hookworks::wire::user::JobKind;
use world::{Ev, World};

/// When the repetitions arrive, in seconds after the calls.
const DELAYS_S: [f64; 8] = [0.3, 1.0, 2.0, 4.0, 6.6, 10.0, 30.0, 100.0];

/// A small fleet whose direct calls all arrive once more, with jobs of a kind.
fn world_with_repetitions(seed: u64, after_s: f64, kind: JobKind) -> World {
    let mut world = World::new(seed, 3);
    world.repeated_calls.each_after_s = Some(after_s);
    world.run(2.0);
    for n in 0..6 {
        let team = if n % 2 == 0 { "red" } else { "blue" };
        world.submit_of(n, 2, team, kind);
        world.run(1.5);
    }
    world
}

fn hosts(world: &World) -> Vec<Host> {
    world.workers.keys().cloned().collect()
}

/// Plays the story once for each delay, and judges the rules.
fn assert_repetitions_start_nothing(kind: JobKind, story: impl Fn(&mut World)) {
    let mut arrived = 0;
    for (seed, after_s) in DELAYS_S.into_iter().enumerate() {
        let mut world = world_with_repetitions(seed as u64, after_s, kind);
        story(&mut world);
        world.run(120.0);
        let (broken, log) = (&world.broken, &world.log);
        assert!(broken.is_empty(), "after {after_s} s: {broken:#?}\n{log:?}");
        arrived += world.repeated_calls.arrived;
    }
    assert!(arrived > 20, "hardly any repetition arrived: {arrived}");
}

/// Every task on these machines fails for a while, so that it moves.
fn fail_tasks_for_a_while(world: &mut World) {
    for (n, host) in hosts(world).into_iter().enumerate() {
        let from = 4.0 * n as f64;
        world.at(from, Ev::Sick(host.clone(), true));
        world.at(from + 5.0, Ev::Sick(host, false));
    }
}

/// job-364308/8 of the incident.
#[test]
fn a_repeated_start_does_not_run_a_task_that_was_moved_since() {
    assert_repetitions_start_nothing(JobKind::Array, fail_tasks_for_a_while);
}
