//! Leaders that change often, new machines that are up at once, work over slow
//! links: seeded stories in which many orders are played, under the rules.

mod orders;
mod work;
#[path = "../world/mod.rs"]
mod world;

use hookworks::ids::*;
use rand::RngExt;
use std::collections::BTreeSet;
use work::{all_end, cancel, machines_in_trouble, mixed, send};
use world::handover::{Act, Change, Conditions};
use world::{Chaos, Ev, World};

/// `HANDOVERS` asks for other seeds than the usual ones, from `HANDOVERS_FROM` on.
fn seeds() -> std::ops::Range<u64> {
    let from_env = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from: u64 = from_env("HANDOVERS_FROM").unwrap_or(0);
    from..from + from_env("HANDOVERS").unwrap_or(30)
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
        if seed % 4 > 1 {
            machines_in_trouble(&mut w, 90.0);
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

/// All of the above at once, each by chance.
#[test]
fn rules_hold_when_many_of_these_troubles_meet() {
    let mut cancelled = 0;
    for seed in seeds() {
        let mut w = World::new(seed, 3);
        w.capacity = w.rng.random_range(1..4);
        let mut c = Conditions::default();
        let mut some = || w.rng.random_bool(0.5);
        c.boot = some().then_some((0.02, 2.0));
        c.cloud = some().then_some((0.05, 1.5));
        c.links = some().then_some((0.2, 2.0));
        c.writes = some().then_some((0.05, 4.0));
        c.load = some().then_some((0.02, 1.5));
        c.list_lag_s = if some() { 3.0 } else { 0.0 };
        w.chaos = Chaos {
            lose_answer: 0.05,
            lose_txn_answer: 0.1,
            late_txn: 0.05,
            copy: 0.1,
            ..Chaos::default()
        };
        w.set(c);
        w.run_s = [5.0, 25.0, 80.0][w.rng.random_range(0..3)];
        w.run(2.0);
        mixed(&mut w, 10, 80.0);
        let times = w.rng.random_range(2..11);
        w.change_leaders(5.0, times, 100.0);
        machines_in_trouble(&mut w, 100.0);
        if w.rng.random_bool(0.5) {
            let (at, long) = (w.rng.random_range(5.0..80.0), w.rng.random_range(2.0..50.0));
            w.at(at, Ev::StoreDown(true));
            w.at(at + long, Ev::StoreDown(false));
        }
        for n in 0..6 {
            let at = w.rng.random_range(10.0..120.0);
            cancel(&mut w, &format!("job-{n:06}"), at);
        }
        w.run(170.0);
        cancelled += w.cancellations();
        let rest = 160.0 + 8.0 * w.run_s;
        all_end(&mut w, &format!("seed {seed}"), rest);
        assert!(w.rented() <= 40, "seed {seed}: {} rented", w.rented());
    }
    let least = seeds().count();
    assert!(
        cancelled > least,
        "hardly anything was cancelled: {cancelled}"
    );
}

/// What each new leader adds to the lease of a machine that it has not heard counts
/// from its own beginning: after ten changes the task of a machine that is cut off
/// runs elsewhere as soon as after one, and not while it may still run there.
#[test]
fn ten_changes_of_leader_delay_a_lost_machines_tasks_no_longer_than_the_last_one() {
    for seed in 0..8 {
        let mut w = World::new(seed, 3);
        w.run_s = 30.0;
        w.run(2.0);
        send(&mut w, 1, 0.0, 1, |_| {});
        w.run(20.0);
        let task = TaskId {
            job: "job-000001".into(),
            index: TaskIndex(0),
        };
        let at = w.workers.values().find(|m| m.present().contains(&task));
        let host = at.expect("it runs").host.clone();
        w.at(0.0, Ev::Cut(host.clone(), true));
        for k in 0..10 {
            let e = Act::Change(Change::Ends, 0.05);
            w.at(0.5 + 4.0 * k as f64, Ev::HandOver(e));
        }
        w.run(36.6);
        let last = w.now;
        let done = |w: &World| w.done_tasks.contains(&task);
        while !done(&w) && w.now < last + 200_000_000 {
            w.run(0.5);
        }
        w.assert_rules();
        // Grace, lease, a new machine, and the task itself.
        let took = (w.now - last) as f64 / 1e6;
        assert!(took < 20.0 + 21.1 + 20.0 + 31.0, "seed {seed}: {took} s");
    }
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
