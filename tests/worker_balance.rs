//! Workers are spread over the controllers, none above its bound.

use hookworks::ids::{ControllerId, Host};
use hookworks::node::balance::{
    Capacity, ControllerLoad, MAX_REDIRECTS_PER_TICK, WorkerBalance, most_free_controller, shares,
};
use hookworks::peer::PeerLoad;
use hookworks::time::Time;

fn capacity(weight: f64, max_workers: Option<u32>) -> Capacity {
    Capacity {
        weight,
        max_workers,
    }
}

/// A small controller once got as many workers as a large one.
#[test]
fn nobody_is_counted_on_to_hold_more_than_its_bound() {
    let split = |all, capacities: &[Capacity]| -> Vec<u32> {
        shares(all, capacities)
            .iter()
            .map(|s| s.round() as u32)
            .collect()
    };
    let even = [
        capacity(1.0, None),
        capacity(1.0, Some(900)),
        capacity(8.0, Some(900)),
    ];
    assert_eq!(split(850.0, &even), [400, 400, 50]);
    let small = [
        capacity(1.0, Some(100)),
        capacity(1.0, Some(900)),
        capacity(8.0, Some(900)),
    ];
    assert_eq!(split(919.0, &small), [100, 728, 91]);
    // All bounds together are too few: nobody is named for the rest.
    let few = [
        capacity(1.0, Some(10)),
        capacity(1.0, Some(20)),
        capacity(8.0, Some(30)),
    ];
    assert_eq!(split(1000.0, &few), [10, 20, 30]);
}

#[test]
fn a_worker_without_a_seat_goes_where_most_are_free() {
    let load = |l: &str, workers, most| PeerLoad {
        label: l.into(),
        workers,
        max_workers: most,
    };
    let near = [
        load("a", 500, Some(600)),
        load("b", 100, Some(150)),
        load("old", 0, None),
    ];
    let e = most_free_controller(&near).unwrap();
    assert!(format!("{e:?}").contains("a") && format!("{e:?}").contains("100"));
    assert!(most_free_controller(&near[2..]).is_none());
    assert!(most_free_controller(&[load("a", 600, Some(600))]).is_none());
}

/// All workers may come to one controller, as after the end of another.
#[test]
fn too_many_workers_are_sent_on_a_few_at_a_time_and_no_one_twice() {
    let mut balance = WorkerBalance::default();
    let host = |n: u32| Host::from(format!("m{n}").as_str());
    let other = |label: &str, workers, capacity| ControllerLoad {
        label: ControllerId::from(label),
        workers,
        capacity,
    };
    let now = Time(100_000_000);
    let own = capacity(2.0, Some(900));
    let others = vec![
        other("x", 0, capacity(1.0, None)),
        other("y", 5, capacity(1.0, Some(900))),
    ];
    balance.tick(now, own, others.clone());
    let mut sent = vec![];
    for n in 0..60 {
        if balance.redirect_target(now, &host(n)).is_some() {
            sent.push(n);
        }
    }
    assert_eq!(sent.len() as u32, MAX_REDIRECTS_PER_TICK);
    balance.tick(now, own, others);
    assert_eq!(balance.redirect_target(now, &host(sent[0])), None);
    // Alone there is nobody to send to.
    balance.tick(now, own, vec![]);
    assert_eq!(balance.redirect_target(now, &host(99)), None);
}
