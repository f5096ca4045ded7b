//! The load of these simulations: submitted and cancelled jobs, and machine faults.

use crate::world::handover::Conditions;
use crate::world::{Chaos, Ev, World, job};
use hookworks::ids::*;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, JobState, Priority};
use rand::RngExt;

/// Submits the job repeatedly until it is accepted, and polls it.
pub fn submit(world: &mut World, n: u64, at: f64, tasks: u32, change: impl Fn(&mut JobSpec)) {
    let mut spec = job(n, tasks);
    change(&mut spec);
    let (id, body) = (spec.id.to_string(), serde_json::to_vec(&spec).unwrap());
    world.specs.insert(spec.id.clone(), spec);
    for k in 0..12 {
        let e = Ev::User(Request::Submit(body.clone()));
        world.at(at + 5.0 * k as f64, e);
    }
    for k in 0..80 {
        let at = at + 1.7 * k as f64;
        let via = world.rng.random_range(0..4);
        let poll = Request::Poll(id.clone());
        let e = match via {
            3 => Ev::User(poll),
            i => Ev::UserVia(i, poll),
        };
        world.at(at, e);
    }
}

/// Submits a mix of arrays, gangs and zone-bound jobs of both teams, some of them urgent,
/// within that many seconds.
pub fn submit_mix(world: &mut World, jobs: u64, within_s: f64) {
    for n in 0..jobs {
        let at = world.rng.random_range(0.0..within_s);
        let tasks = world.rng.random_range(1..4);
        submit(world, n, at, tasks, |j| {
            match n % 6 {
                1 => (j.kind, j.tasks, j.one_zone) = (JobKind::Gang, 2, true),
                2 => j.one_zone = true,
                3 => j.zone = Some("b".into()),
                _ => {}
            }
            if n % 2 == 1 {
                (j.team, j.spot) = ("blue".into(), n % 4 == 1);
            }
            if n % 5 == 4 {
                j.priority = Priority::High;
            }
        });
    }
}

/// Cancels the job at that time, repeatedly and by any controller, until a request is
/// received.
pub fn cancel(world: &mut World, id: &str, at: f64) {
    for k in 0..6 {
        let ask = Request::Cancel(id.into());
        let e = match world.rng.random_range(0..4) {
            3 => Ev::User(ask),
            i => Ev::UserVia(i, ask),
        };
        world.at(at + 0.7 * k as f64, e);
    }
}

/// Some machines are partitioned, hang, receive no answers, restart or are preempted, each
/// at a random time.
pub fn inject_machine_faults(world: &mut World, within_s: f64) {
    for n in 1..8 {
        let host = Host::from(format!("n-{n:06}").as_str());
        let at = world.rng.random_range(5.0..within_s);
        let long = world.rng.random_range(1.0..60.0);
        let e = |h: Host, on| match n % 3 {
            0 => Ev::Cut(h, on),
            1 => Ev::Hang(h, on),
            _ => Ev::Deaf(h, on),
        };
        match world.rng.random_range(0..6) {
            0 => world.at(at, Ev::Preempt(host)),
            1 => world.at(at, Ev::Reborn(host)),
            2 | 3 => {
                world.at(at, e(host.clone(), true));
                world.at(at + long, e(host, false));
            }
            _ => {}
        }
    }
}

/// Ends all faults, and asserts that all jobs finish within that many seconds.
pub fn assert_all_jobs_finish(world: &mut World, what: &str, within_s: f64) {
    world.chaos = Chaos::default();
    world.set(Conditions::default());
    world.all_quiet();
    for i in 0..3 {
        if !world.ctls[i].up {
            world.at(0.1, Ev::Restart(i));
        }
    }
    let ids: Vec<JobId> = world.specs.keys().cloned().collect();
    for id in &ids {
        let body = serde_json::to_vec(&world.specs[id]).unwrap();
        world.at(1.0, Ev::User(Request::Submit(body)));
        for k in 0..(within_s / 5.0) as u32 {
            world.at(
                2.0 + 5.0 * k as f64,
                Ev::User(Request::Poll(id.to_string())),
            );
        }
    }
    world.run(within_s);
    let broken = &world.broken[..world.broken.len().min(5)];
    assert!(broken.is_empty(), "{what}: {broken:#?}\n{:#?}", world.log);
    let i = world.leader().expect("a leader after the faults");
    let left: Vec<_> = world.sched(i).jobs.keys().cloned().collect();
    assert!(left.is_empty(), "{what}: never finished {left:?}");
    for id in ids {
        let finished = [Some(JobState::Done), Some(JobState::Cancelled)];
        let state = world.state_of(id.as_str());
        assert!(finished.contains(&state), "{what}: {id} {state:?}");
    }
}
