//! Balancing of workers over the controllers, within the limit of each.

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

/// Guards against a small controller that is assigned as many workers as a large one.
#[test]
fn no_controller_is_assigned_more_workers_than_its_limit() {
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
    // The limits together are too small: the rest is assigned to no controller.
    let few = [
        capacity(1.0, Some(10)),
        capacity(1.0, Some(20)),
        capacity(8.0, Some(30)),
    ];
    assert_eq!(split(1000.0, &few), [10, 20, 30]);
}

#[test]
fn worker_is_redirected_to_the_controller_with_most_free_capacity() {
    let load = |l: &str, workers, most| PeerLoad {
        label: l.into(),
        workers,
        max_workers: most,
    };
    let loads = [
        load("a", 500, Some(600)),
        load("b", 100, Some(150)),
        load("old", 0, None),
    ];
    let target = most_free_controller(&loads).unwrap();
    assert!(format!("{target:?}").contains("a") && format!("{target:?}").contains("100"));
    assert!(most_free_controller(&loads[2..]).is_none());
    assert!(most_free_controller(&[load("a", 600, Some(600))]).is_none());
}

/// All workers may report to one controller, as after the failure of another.
#[test]
fn excess_workers_are_redirected_a_few_at_a_time_and_never_twice() {
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
    let mut redirected = vec![];
    for n in 0..60 {
        if balance.redirect_target(now, &host(n)).is_some() {
            redirected.push(n);
        }
    }
    assert_eq!(redirected.len() as u32, MAX_REDIRECTS_PER_TICK);
    balance.tick(now, own, others);
    assert_eq!(balance.redirect_target(now, &host(redirected[0])), None);
    // Without other controllers no worker is redirected.
    balance.tick(now, own, vec![]);
    assert_eq!(balance.redirect_target(now, &host(99)), None);
}
