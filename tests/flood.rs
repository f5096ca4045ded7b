//! One-task jobs come four a second for minutes, a quarter of them cancelled, at their
//! end too, while the leader changes and the state service is slow.

mod world;

use hookworks::wire::peer::Request;
use hookworks::wire::user::JobState;
use world::handover::{Act, Change, Conditions};
use world::{Ev, World, job};

const PER_SECOND: u64 = 4;
const SECONDS: u64 = 240;
/// No more is unfinished, or waits to be written, than what comes in so long.
const BACKLOG_S: u64 = 25;
/// Any job is over so long after its submission, with the changes of leader in between.
const LASTS_S: u64 = 45;

/// Submits them all, and calls every fifth off while it waits or runs.
fn submit_all(w: &mut World) {
    for n in 0..PER_SECOND * SECONDS {
        let mut j = job(n, 1);
        j.cpus = 1.0;
        j.team = ["red", "blue"][n as usize % 2].into();
        let at = n as f64 / PER_SECOND as f64;
        let body = serde_json::to_vec(&j).unwrap();
        let id = j.id.to_string();
        w.specs.insert(j.id.clone(), j);
        w.insists(at, Request::Submit(body));
        if n % 5 == 0 {
            let early = (n / 5 % 16) as f64 * 0.4;
            w.insists(at + early, Request::Cancel(id.clone()));
        }
        for k in 0..12 {
            w.at(at + 5.0 * k as f64, Ev::User(Request::Poll(id.clone())));
        }
    }
}

/// What the leader keeps does not grow with the number of jobs that there have been.
fn bounded(w: &World) {
    let Some(i) = w.leader() else { return };
    let (jobs, dirty) = (w.sched(i).jobs.len(), w.sched(i).write_queue.len());
    let most = (PER_SECOND * BACKLOG_S) as usize;
    assert!(jobs <= most, "{jobs} jobs at {}", w.now);
    assert!(dirty <= most, "{dirty} writes at {}", w.now);
}

fn flood(seed: u64) -> World {
    let mut w = World::new(seed, 3);
    (w.wealth, w.capacity, w.run_s) = (10.0, 6, 3.0);
    w.set(Conditions {
        writes: Some((0.01, 1.2)),
        ..Conditions::default()
    });
    w.submissions.cancel_at_end = 0.2;
    w.run(2.0);
    submit_all(&mut w);
    for k in 0..SECONDS / 20 {
        w.run(20.0);
        bounded(&w);
        let change = [Change::InOrder, Change::Ends][k as usize % 2];
        let back_s = 0.3 * (1 + k % 4) as f64;
        w.at(0.0, Ev::HandOver(Act::Change(change, back_s)));
    }
    w
}

#[test]
fn one_task_jobs_four_a_second_all_end_while_leaders_change_and_writes_are_slow() {
    for seed in 0..2 {
        let mut w = flood(seed);
        w.run(LASTS_S as f64 + 20.0);
        let i = w.leader().expect("a leader");
        assert!(w.sched(i).jobs.is_empty(), "{:?}", w.sched(i).jobs.keys());
        assert!(w.sched(i).write_queue.is_empty());
        w.set(Conditions::default());
        let mut ended = [0, 0];
        for (id, state) in w.states() {
            match state {
                Some(JobState::Done) => ended[0] += 1,
                Some(JobState::Cancelled) => ended[1] += 1,
                other => panic!("{id}: {other:?}"),
            }
        }
        let b = &w.broken;
        assert!(b.is_empty(), "seed {seed}: {:#?}", &b[..b.len().min(5)]);
        assert!(ended[0] > 600 && ended[1] > 120, "{ended:?}");
    }
}
