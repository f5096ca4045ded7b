//! Controllers that end and are back under the same name at once, or later.

mod world;

use hookworks::ids::JobId;
use hookworks::wire::peer::Request;
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
            w.at(at, Ev::User(Request::Submit(body.clone())));
        }
        for k in 0..30 {
            let poll = Request::Poll(format!("job-{n:06}"));
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

/// The leader's process stands still after each event in turn, of a submission, an
/// answer to a report, a direct call, a write, a renewal, for less than a lease of
/// the leadership, for more, and for longer than a lease of the workers.
#[test]
fn a_leader_may_stand_still_at_any_event() {
    for long in [0.7, 2.4, 11.0, 30.0] {
        for n in 0..40 {
            let mut w = busy(7);
            w.run(12.0);
            let end = w.now + 60_000_000;
            for _ in 0..n * 3 {
                w.step(end);
            }
            let led = w.leader().unwrap();
            w.at(0.0, Ev::Freeze(led, long));
            ends_well(w, &format!("event {n}, still for {long} s"));
        }
    }
}

/// The same for the leader that loses state service and other controllers, but not
/// its workers, for as long; alone, or all of them one after the other.
#[test]
fn a_controller_may_be_alone_with_its_workers_at_any_event() {
    for (all, long) in [(false, 3.0), (false, 30.0), (true, 12.0), (true, 24.0)] {
        for n in 0..30 {
            let mut w = busy(5);
            w.run(12.0);
            let end = w.now + 60_000_000;
            for _ in 0..n * 3 {
                w.step(end);
            }
            let led = w.leader().unwrap();
            for i in (0..3).filter(|i| all || *i == led) {
                w.at(0.2 * i as f64, Ev::Lonely(i, true));
                w.at(long + 0.1 * i as f64, Ev::Lonely(i, false));
            }
            ends_well(w, &format!("event {n}, all {all}, for {long} s"));
        }
    }
}

#[test]
fn two_of_three_may_end_in_turn_every_moment() {
    for seed in 0..10 {
        let mut w = busy(seed);
        for k in 0..33 {
            let at = 10.0 + 0.3 * k as f64;
            w.at(at, Ev::Kill(k % 2));
            w.at(at + 0.25, Ev::Restart(k % 2));
        }
        ends_well(w, &format!("seed {seed}"));
    }
}

/// A machine that is back at once, under a new session, while what it was told in
/// the one before is still under way.
#[test]
fn machines_may_be_back_at_once_while_their_orders_are_under_way() {
    for n in 0..40 {
        let mut w = busy(9);
        w.chaos.late = 0.1;
        w.run(12.0);
        let end = w.now + 60_000_000;
        for _ in 0..n * 4 {
            w.step(end);
        }
        let hosts: Vec<_> = w.workers.keys().cloned().collect();
        for (k, h) in hosts.into_iter().enumerate() {
            w.at(0.1 * k as f64, Ev::Reborn(h));
        }
        let led = w.leader().unwrap();
        w.at(0.15, Ev::Kill(led));
        w.at(0.4, Ev::Restart(led));
        ends_well(w, &format!("event {n}"));
    }
}

/// What a machine that hears nothing has runs elsewhere once its lease is over, and
/// not before; the most that a job takes longer for it.
#[test]
fn the_tasks_of_a_machine_that_hears_nothing_run_elsewhere() {
    let took = |deaf: bool, seed: u64| {
        let mut w = busy(seed);
        w.run(14.0);
        let busiest = w.workers.values().max_by_key(|w| w.present().len());
        let host = busiest.unwrap().host.clone();
        if deaf {
            w.at(0.0, Ev::Deaf(host, true));
        }
        // Some more, for which it looks as good as any.
        for n in 8..20 {
            let mut j = job(n, 1);
            j.team = "blue".into();
            let body = serde_json::to_vec(&j).unwrap();
            w.specs.insert(j.id.clone(), j);
            w.at(1.5 * (n - 7) as f64, Ev::User(Request::Submit(body)));
        }
        let from = w.now;
        let all: usize = w.specs.values().map(|s| s.tasks as usize).sum();
        while w.done_tasks.len() < all && w.now < from + 300_000_000 {
            w.run(0.5);
        }
        w.assert_rules();
        (w.now - from) as f64 / 1e6
    };
    let longer = (1..=24).map(|seed| took(true, seed) - took(false, seed));
    let longer: Vec<f64> = longer.collect();
    let mean = longer.iter().sum::<f64>() / longer.len() as f64;
    let most = longer.iter().copied().fold(0.0, f64::max);
    println!("with a machine that hears nothing {mean:.1} s longer, at most {most} s");
    // 6.4 s and 12.5 s; 35 s and 250 s where it goes on being chosen.
    assert!(mean <= 7.0 && most <= 13.0, "{longer:?}");
}
