//! Leaders that change often, new machines that are up at once, work over slow
//! links: seeded stories in which many orders are played, under the rules.

mod world;

use hookworks::ids::*;
use hookworks::wire::peer::Ask;
use hookworks::wire::user::{JobState, Kind, Priority};
use rand::RngExt;
use std::collections::BTreeSet;
use world::handover::{Act, Change, Conditions};
use world::{Chaos, Ev, World, job};

/// `HANDOVERS` asks for other seeds than the usual ones, from `HANDOVERS_FROM` on.
fn seeds() -> std::ops::Range<u64> {
    let from_env = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from: u64 = from_env("HANDOVERS_FROM").unwrap_or(0);
    from..from + from_env("HANDOVERS").unwrap_or(30)
}

/// Users send the job until it is taken, and ask how it goes.
fn send(
    w: &mut World,
    n: u64,
    at: f64,
    tasks: u32,
    change: impl Fn(&mut hookworks::wire::user::JobSpec),
) {
    let mut j = job(n, tasks);
    change(&mut j);
    let (id, body) = (j.id.to_string(), serde_json::to_vec(&j).unwrap());
    w.specs.insert(j.id.clone(), j);
    for k in 0..12 {
        let e = Ev::User(Ask::Submit(body.clone()));
        w.at(at + 5.0 * k as f64, e);
    }
    for k in 0..80 {
        let at = at + 1.7 * k as f64;
        let via = w.rng.random_range(0..4);
        let poll = Ask::Poll(id.clone());
        let e = match via {
            3 => Ev::User(poll),
            i => Ev::UserVia(i, poll),
        };
        w.at(at, e);
    }
}

/// A mix of arrays, gangs and zone-bound work of both teams, some of it urgent, that
/// comes within so many seconds.
fn mixed(w: &mut World, jobs: u64, within_s: f64) {
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..within_s);
        let tasks = w.rng.random_range(1..4);
        send(w, n, at, tasks, |j| {
            match n % 6 {
                1 => (j.kind, j.tasks, j.one_zone) = (Kind::Gang, 2, true),
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
fn cancel(w: &mut World, id: &str, at: f64) {
    for k in 0..6 {
        let ask = Ask::Cancel(id.into());
        let e = match w.rng.random_range(0..4) {
            3 => Ev::User(ask),
            i => Ev::UserVia(i, ask),
        };
        w.at(at + 0.7 * k as f64, e);
    }
}

/// The troubles are over: within so many seconds all jobs end.
fn all_end(w: &mut World, what: &str, within_s: f64) {
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
        w.at(1.0, Ev::User(Ask::Submit(body)));
        for k in 0..(within_s / 5.0) as u32 {
            w.at(2.0 + 5.0 * k as f64, Ev::User(Ask::Poll(id.to_string())));
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

/// Machines that are up before the cloud has answered, and before any list shows them.
const UP_AT_ONCE: Conditions = Conditions {
    boot: Some((0.02, 2.0)),
    cloud: Some((0.05, 1.5)),
    list_lag_s: 3.0,
    links: None,
    writes: Some((0.3, 4.0)),
    load: Some((0.02, 1.0)),
};

/// New machines get work at once; writes take seconds, some come late or get no
/// answer, and the leader ends, again and again.
#[test]
fn rules_hold_when_machines_are_up_at_once_while_writes_lag_and_the_leader_ends() {
    let (mut ran, mut before_answer) = (0, 0);
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.set(UP_AT_ONCE);
        w.chaos = Chaos {
            late_txn: 0.1,
            lose_txn_answer: 0.1,
            ..Chaos::default()
        };
        w.run_s = [3.0, 20.0, 60.0][w.rng.random_range(0..3)];
        w.run(2.0);
        mixed(&mut w, 9, 30.0);
        for k in 0..6 {
            // Soon after the work has come, when all is under way.
            let at = 1.0 + 6.0 * k as f64 + w.rng.random_range(0.0..5.0);
            let back = w.rng.random_range(0.02..3.0);
            let change = [Change::Ends, Change::InOrder][k % 2];
            w.at(at, Ev::HandOver(Act::Change(change, back)));
        }
        w.run(60.0);
        ran += w.started;
        before_answer += w.handover.before_answer;
        let rest = 120.0 + 4.0 * w.run_s;
        all_end(&mut w, &format!("seed {seed}"), rest);
        assert!(w.rented() <= 24, "seed {seed}: {} rented", w.rented());
    }
    assert!(
        ran > 15 * seeds().count() as u64,
        "hardly anything ran: {ran}"
    );
    assert!(
        before_answer > seeds().count(),
        "{before_answer} machines were up before the answer"
    );
}

/// Ten changes of leader within two minutes, in any way; every other history has an
/// outage of the state service among them.
#[test]
fn rules_hold_when_leaders_change_ten_times_in_two_minutes() {
    let (mut ways, mut terms) = (BTreeSet::new(), 0);
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.set(Conditions {
            list_lag_s: 3.0,
            load: Some((0.02, 1.5)),
            ..Conditions::default()
        });
        w.run_s = [5.0, 25.0, 80.0][w.rng.random_range(0..3)];
        w.run(2.0);
        mixed(&mut w, 9, 100.0);
        w.change_leaders(5.0, 10, 120.0);
        if seed % 2 == 1 {
            let (at, long) = (
                w.rng.random_range(10.0..90.0),
                w.rng.random_range(5.0..60.0),
            );
            w.at(at, Ev::StoreDown(true));
            w.at(at + long, Ev::StoreDown(false));
        }
        for n in 0..4 {
            let at = w.rng.random_range(30.0..130.0);
            cancel(&mut w, &format!("job-{n:06}"), at);
        }
        w.run(155.0);
        ways.extend(w.handover.changes.clone());
        terms += w.log.len();
        let rest = 120.0 + 4.0 * w.run_s;
        all_end(&mut w, &format!("seed {seed}"), rest);
        assert!(w.rented() <= 32, "seed {seed}: {} rented", w.rented());
    }
    assert_eq!(ways.len(), 4, "{ways:?}");
    assert!(
        terms > 6 * seeds().count(),
        "hardly any change: {terms} terms"
    );
}

/// After an outage in which leaders changed, somebody leads within seconds.
#[test]
fn somebody_leads_within_seconds_after_an_outage_in_which_leaders_ended() {
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.run(2.0);
        mixed(&mut w, 6, 5.0);
        w.run(12.0);
        w.at(0.0, Ev::StoreDown(true));
        w.at(30.0, Ev::StoreDown(false));
        for k in 0..10 {
            let at = w.rng.random_range(0.0..30.0);
            let back = w.rng.random_range(0.02..1.0);
            w.at(at, Ev::Kill(k % 3));
            w.at(at + back, Ev::Restart(k % 3));
        }
        w.run(29.9);
        let terms = w.log.len();
        assert_eq!(terms, 1, "seed {seed}: elected in an outage: {:?}", w.log);
        // The key of the earlier leader has its full time again, unless it is ended by
        // its successor on the same machine.
        w.run(2.5);
        assert!(w.leader().is_some(), "seed {seed}: nobody leads");
        all_end(&mut w, &format!("seed {seed}"), 200.0);
    }
}

/// Jobs are cancelled in the seconds in which the work of one controller changes
/// hands, in order or not; no word that was given is taken back.
#[test]
fn cancellations_hold_when_asked_for_while_work_changes_hands() {
    let mut cancelled = 0;
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.run_s = 90.0;
        w.run(2.0);
        if seed % 3 == 0 {
            w.set(Conditions {
                writes: Some((0.05, 1.5)),
                load: Some((0.02, 1.0)),
                ..Conditions::default()
            });
        }
        mixed(&mut w, 8, 3.0);
        w.run(25.0);
        for k in 0..4 {
            let at = 12.0 * k as f64;
            let change = [Change::InOrder, Change::Ends][w.rng.random_range(0..2)];
            let back = w.rng.random_range(0.02..1.0);
            w.at(at, Ev::HandOver(Act::Change(change, back)));
            for n in [2 * k, 2 * k + 1] {
                let at = at + w.rng.random_range(0.0..4.0);
                cancel(&mut w, &format!("job-{n:06}"), at);
            }
        }
        w.run(60.0);
        cancelled += w.cancellations();
        all_end(&mut w, &format!("seed {seed}"), 300.0);
    }
    let least = 5 * seeds().count();
    assert!(
        cancelled > least,
        "hardly anything was cancelled: {cancelled}"
    );
}

/// More work than room, a third of it urgent, while each message takes 0.2 to 2 s,
/// each way; in every other history the leader changes, too.
#[test]
fn rules_hold_when_there_is_more_work_than_room_over_slow_links() {
    let (mut ran, mut stopped) = (0, 0);
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.capacity = 1;
        w.set(Conditions {
            links: Some((0.2, 2.0)),
            list_lag_s: 3.0,
            ..Conditions::default()
        });
        w.run_s = [5.0, 20.0, 40.0][w.rng.random_range(0..3)];
        w.run(2.0);
        mixed(&mut w, 14, 60.0);
        if seed % 2 == 1 {
            w.change_leaders(15.0, 4, 60.0);
        }
        for n in 0..4 {
            let at = w.rng.random_range(10.0..90.0);
            cancel(&mut w, &format!("job-{n:06}"), at);
        }
        w.run(120.0);
        ran += w.started;
        stopped += w.cancellations();
        let rest = 200.0 + 8.0 * w.run_s;
        all_end(&mut w, &format!("seed {seed}"), rest);
        assert!(w.rented() <= 12, "seed {seed}: {} rented", w.rented());
    }
    let n = seeds().count();
    assert!(ran > 12 * n as u64, "hardly anything ran: {ran}");
    assert!(stopped > n, "hardly anything was cancelled: {stopped}");
}

/// A leader that is elected anew every two seconds finds in no list what the one
/// before has just rented: ten of them once rented for the same job ten times.
#[test]
fn ten_leaders_do_not_rent_ten_times_the_machines() {
    let rented = |changes: u32, seed: u64| {
        let mut w = World::wide(seed, &["a", "b"], 40);
        w.set(Conditions {
            list_lag_s: 3.0,
            ..Conditions::default()
        });
        w.run_s = 60.0;
        w.run(2.0);
        // Eight machines' worth.
        send(&mut w, 1, 0.0, 32, |_| {});
        for k in 0..changes {
            let at = 0.8 + 2.0 * k as f64;
            w.at(at, Ev::HandOver(Act::Change(Change::Ends, 0.1)));
        }
        w.run(40.0);
        all_end(&mut w, &format!("seed {seed}"), 300.0);
        w.rented()
    };
    for seed in 0..8 {
        let (usual, most) = (rented(0, seed), rented(10, seed));
        assert!(
            most <= 2 * usual,
            "seed {seed}: {most} machines, {usual} without changes"
        );
    }
}
