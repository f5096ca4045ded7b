//! The work of these stories: what users send and cancel, and which machines are in
//! trouble meanwhile.

use crate::world::handover::Conditions;
use crate::world::{Chaos, Ev, World, job};
use hookworks::ids::*;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, JobState, Priority};
use rand::RngExt;

/// Users send the job until it is taken, and ask how it goes.
pub fn send(w: &mut World, n: u64, at: f64, tasks: u32, change: impl Fn(&mut JobSpec)) {
    let mut j = job(n, tasks);
    change(&mut j);
    let (id, body) = (j.id.to_string(), serde_json::to_vec(&j).unwrap());
    w.specs.insert(j.id.clone(), j);
    for k in 0..12 {
        let e = Ev::User(Request::Submit(body.clone()));
        w.at(at + 5.0 * k as f64, e);
    }
    for k in 0..80 {
        let at = at + 1.7 * k as f64;
        let via = w.rng.random_range(0..4);
        let poll = Request::Poll(id.clone());
        let e = match via {
            3 => Ev::User(poll),
            i => Ev::UserVia(i, poll),
        };
        w.at(at, e);
    }
}

/// A mix of arrays, gangs and zone-bound work of both teams, some of it urgent, that
/// comes within so many seconds.
pub fn mixed(w: &mut World, jobs: u64, within_s: f64) {
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..within_s);
        let tasks = w.rng.random_range(1..4);
        send(w, n, at, tasks, |j| {
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

/// Cancels the job at that moment, again and again until that is heard, by way of
/// any controller.
pub fn cancel(w: &mut World, id: &str, at: f64) {
    for k in 0..6 {
        let ask = Request::Cancel(id.into());
        let e = match w.rng.random_range(0..4) {
            3 => Ev::User(ask),
            i => Ev::UserVia(i, ask),
        };
        w.at(at + 0.7 * k as f64, e);
    }
}

/// Some machines can't be reached, hang, hear nothing, begin anew or are taken, each at a
/// moment of its own.
pub fn machines_in_trouble(w: &mut World, within_s: f64) {
    for n in 1..8 {
        let host = Host::from(format!("n-{n:06}").as_str());
        let at = w.rng.random_range(5.0..within_s);
        let long = w.rng.random_range(1.0..60.0);
        let e = |h: Host, on| match n % 3 {
            0 => Ev::Cut(h, on),
            1 => Ev::Hang(h, on),
            _ => Ev::Deaf(h, on),
        };
        match w.rng.random_range(0..6) {
            0 => w.at(at, Ev::Preempt(host)),
            1 => w.at(at, Ev::Reborn(host)),
            2 | 3 => {
                w.at(at, e(host.clone(), true));
                w.at(at + long, e(host, false));
            }
            _ => {}
        }
    }
}

/// The troubles are over: within so many seconds all jobs end.
pub fn all_end(w: &mut World, what: &str, within_s: f64) {
    w.chaos = Chaos::default();
    w.set(Conditions::default());
    w.all_quiet();
    for i in 0..3 {
        if !w.ctls[i].up {
            w.at(0.1, Ev::Restart(i));
        }
    }
    let ids: Vec<JobId> = w.specs.keys().cloned().collect();
    for id in &ids {
        let body = serde_json::to_vec(&w.specs[id]).unwrap();
        w.at(1.0, Ev::User(Request::Submit(body)));
        for k in 0..(within_s / 5.0) as u32 {
            w.at(
                2.0 + 5.0 * k as f64,
                Ev::User(Request::Poll(id.to_string())),
            );
        }
    }
    w.run(within_s);
    let broken = &w.broken[..w.broken.len().min(5)];
    assert!(broken.is_empty(), "{what}: {broken:#?}\n{:#?}", w.log);
    let i = w.leader().expect("a leader after the troubles");
    let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
    assert!(left.is_empty(), "{what}: never finished {left:?}");
    for id in ids {
        let over = [Some(JobState::Done), Some(JobState::Cancelled)];
        let state = w.state_of(id.as_str());
        assert!(over.contains(&state), "{what}: {id} {state:?}");
    }
}
