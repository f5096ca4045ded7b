//! Controllers that end and are back under the same name at once, or later.

mod world;

use hookworks::ids::JobId;
use hookworks::wire::peer::Ask;
use hookworks::wire::user::{JobState, Priority};
use world::{Ev, World, job};

/// Jobs that keep a small fleet busy, asked for again until they are taken.
fn busy(seed: u64) -> World {
    let mut w = World::new(seed, 3);
    w.run(2.0);
    for n in 0..8 {
        let mut j = job(n, 3);
        j.team = if n % 2 == 0 { "red" } else { "blue" }.into();
        if n % 4 == 3 {
            j.priority = Priority::High;
        }
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j);
        for k in 0..8 {
            let at = n as f64 * 2.0 + 4.0 * k as f64;
            w.at(at, Ev::User(Ask::Submit(body.clone())));
        }
        for k in 0..30 {
            let poll = Ask::Poll(format!("job-{n:06}"));
            w.at(3.0 * k as f64, Ev::User(poll));
        }
    }
    w
}

/// Everything comes to its end, and no rule was broken on the way.
fn ends_well(mut w: World, what: &str) {
    w.run(150.0);
    assert!(w.broken.is_empty(), "{what}: {:?}", w.broken);
    for id in w.specs.keys().cloned().collect::<Vec<JobId>>() {
        let state = w.state_of(id.as_str());
        assert_eq!(state, Some(JobState::Done), "{what}: {id}");
    }
}

/// The leader ends after each event in turn, of placing, writing, telling, and
/// of the take-overs in between, and is back after so long.
#[test]
fn a_leader_may_end_at_any_event_and_be_back_at_any_time() {
    for (k, back) in [0.05, 0.3, 1.0, 6.0].into_iter().enumerate() {
        for n in 0..60 {
            let mut w = busy(7);
            w.run(12.0);
            let end = w.now + 60_000_000;
            for _ in 0..n * 5 + k {
                w.step(end);
            }
            let led = w.leader().unwrap();
            w.at(0.0, Ev::Kill(led));
            w.at(back, Ev::Restart(led));
            // And once more, in the midst of catching up.
            w.at(back + 0.004 * n as f64, Ev::Kill(led));
            w.at(2.0 * back + 0.004 * n as f64, Ev::Restart(led));
            ends_well(w, &format!("event {n}, back after {back} s"));
        }
    }
}

#[test]
fn all_may_end_at_once_four_times_in_eight_seconds() {
    for seed in 0..12 {
        let mut w = busy(seed);
        for (k, at) in [10.0, 12.0, 15.0, 18.0].into_iter().enumerate() {
            for i in 0..3 {
                w.at(at, Ev::Kill(i));
                w.at(at + 0.3 + 0.07 * ((i + k) % 3) as f64, Ev::Restart(i));
            }
        }
        ends_well(w, &format!("seed {seed}"));
    }
}

/// In an outage, 50 ms before its end, and as it ends.
#[test]
fn all_may_end_while_the_state_service_is_down() {
    for seed in 0..12 {
        let mut w = busy(seed);
        w.at(10.0, Ev::StoreDown(true));
        w.at(22.0, Ev::StoreDown(false));
        for at in [14.0, 21.95, 22.0] {
            for i in 0..3 {
                w.at(at, Ev::Kill(i));
                w.at(at + 0.3, Ev::Restart(i));
            }
        }
        ends_well(w, &format!("seed {seed}"));
    }
}

/// From the end of a leader that is back after 0.3 s until somebody leads.
#[test]
fn a_leader_that_is_back_at_once_leads_at_once() {
    let mut w = busy(3);
    w.run(12.0);
    let led = w.leader().unwrap();
    w.at(0.0, Ev::Kill(led));
    w.at(0.3, Ev::Restart(led));
    w.run(0.29);
    assert_eq!(w.leader(), None);
    w.run(0.05);
    assert_eq!(w.leader(), Some(led));
    ends_well(w, "back at once");
}
