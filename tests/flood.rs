//! Four one-task jobs a second for minutes, a quarter of them cancelled, also just as they
//! end, with failovers and a slow state service.

mod world;

use hookworks::wire::peer::Request;
use hookworks::wire::user::JobState;
use world::handover::{Act, Change, Conditions};
use world::{Ev, World, job};

const JOBS_PER_SECOND: u64 = 4;
const DURATION_S: u64 = 240;
/// The number of unfinished jobs, and of pending writes, stays below what is submitted in
/// this time.
const BACKLOG_S: u64 = 25;
/// Every job ends within this time after its submission, failovers included.
const MAX_JOB_S: u64 = 45;

/// Submits all jobs, and cancels every fifth one while it is queued or runs.
fn submit_all(world: &mut World) {
    for n in 0..JOBS_PER_SECOND * DURATION_S {
        let mut spec = job(n, 1);
        spec.cpus = 1.0;
        spec.team = ["red", "blue"][n as usize % 2].into();
        let at = n as f64 / JOBS_PER_SECOND as f64;
        let body = serde_json::to_vec(&spec).unwrap();
        let id = spec.id.to_string();
        world.specs.insert(spec.id.clone(), spec);
        world.insists(at, Request::Submit(body));
        if n % 5 == 0 {
            let delay_s = (n / 5 % 16) as f64 * 0.4;
            world.insists(at + delay_s, Request::Cancel(id.clone()));
        }
        for k in 0..12 {
            world.at(at + 5.0 * k as f64, Ev::User(Request::Poll(id.clone())));
        }
    }
}

/// Asserts that the leader's state does not grow with the number of finished jobs.
fn assert_bounded(world: &World) {
    let Some(i) = world.leader() else { return };
    let (jobs, dirty) = (world.sched(i).jobs.len(), world.sched(i).write_queue.len());
    let max_pending = (JOBS_PER_SECOND * BACKLOG_S) as usize;
    assert!(jobs <= max_pending, "{jobs} jobs at {}", world.now);
    assert!(dirty <= max_pending, "{dirty} writes at {}", world.now);
}

fn flood(seed: u64) -> World {
    let mut world = World::new(seed, 3);
    (world.wealth, world.capacity, world.run_s) = (10.0, 6, 3.0);
    world.set(Conditions {
        writes: Some((0.01, 1.2)),
        ..Conditions::default()
    });
    world.submissions.cancel_at_end = 0.2;
    world.run(2.0);
    submit_all(&mut world);
    for k in 0..DURATION_S / 20 {
        world.run(20.0);
        assert_bounded(&world);
        let change = [Change::InOrder, Change::Ends][k as usize % 2];
        let back_s = 0.3 * (1 + k % 4) as f64;
        world.at(0.0, Ev::HandOver(Act::Change(change, back_s)));
    }
    world
}

#[test]
fn four_jobs_a_second_all_end_during_failovers_and_slow_writes() {
    for seed in 0..2 {
        let mut world = flood(seed);
        world.run(MAX_JOB_S as f64 + 20.0);
        let i = world.leader().expect("a leader");
        assert!(
            world.sched(i).jobs.is_empty(),
            "{:?}",
            world.sched(i).jobs.keys()
        );
        assert!(world.sched(i).write_queue.is_empty());
        world.set(Conditions::default());
        let mut ended = [0, 0];
        for (id, state) in world.states() {
            match state {
                Some(JobState::Done) => ended[0] += 1,
                Some(JobState::Cancelled) => ended[1] += 1,
                other => panic!("{id}: {other:?}"),
            }
        }
        let broken = &world.broken;
        assert!(
            broken.is_empty(),
            "seed {seed}: {:#?}",
            &broken[..broken.len().min(5)]
        );
        assert!(ended[0] > 600 && ended[1] > 120, "{ended:?}");
    }
}
