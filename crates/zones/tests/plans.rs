//! Release plans: which machines of a lost zone are released, and how many at a time.

use hookworks_base::time::Span;
use hookworks_zones::{
    AttemptAtRisk, AttemptKind, Budget, LostMachine, plan_releases, release_benefit,
};

fn s(seconds: f64) -> Span {
    Span::secs(seconds)
}

/// An attempt that has run for `ran` of 60 seconds.
fn attempt(standing: AttemptKind, ran: f64) -> AttemptAtRisk {
    AttemptAtRisk {
        kind: standing,
        unsaved_work: s(ran),
        rerun_time: s(60.0),
        remaining: s(60.0 - ran),
        due_in: None,
        machine_share: 0.25,
    }
}

fn lost_machine(machine: u32, lease_left: f64, stakes: Vec<AttemptAtRisk>) -> LostMachine<u32> {
    let (lease_left, boot) = (s(lease_left), s(30.0));
    LostMachine {
        machine,
        attempts: stakes,
        lease_remaining: lease_left,
        boot_time: boot,
    }
}

const PLENTY: Budget = Budget {
    free: 1e6,
    preemptible: 1e6,
};

#[test]
fn attempts_that_complete_before_lease_expiry_are_left_alone() {
    let nearly = lost_machine(1, 15.0, vec![attempt(AttemptKind::Other, 50.0); 4]);
    assert!(release_benefit(s(12.0), &nearly) < 0.0);
    // So is work that would have to start again.
    let half = lost_machine(1, 15.0, vec![attempt(AttemptKind::Urgent, 30.0); 4]);
    assert!(release_benefit(s(12.0), &half) < 0.0);
}

#[test]
fn replicas_come_first_and_longer_waits_raise_the_benefit() {
    let replicas = lost_machine(1, 20.0, vec![attempt(AttemptKind::Replica, 0.0); 4]);
    let urgent = lost_machine(2, 20.0, vec![attempt(AttemptKind::Urgent, 2.0); 4]);
    assert!(release_benefit(s(10.0), &replicas) > 0.0);
    assert!(release_benefit(s(10.0), &replicas) > release_benefit(s(10.0), &urgent));
    let longer = lost_machine(1, 45.0, vec![attempt(AttemptKind::Replica, 0.0); 4]);
    assert!(release_benefit(s(10.0), &longer) > release_benefit(s(10.0), &replicas));
    let p = plan_releases(s(10.0), vec![urgent, replicas.clone()], PLENTY);
    assert_eq!(p.machines.first(), Some(&1));
}

/// With capacity for one machine, the one with the highest benefit is chosen, in
/// whatever order they are given.
#[test]
fn a_limited_budget_goes_to_the_highest_benefit() {
    let all = [(1, 20.0), (2, 45.0), (3, 30.0)];
    let cases = |order: &[usize]| {
        let one = |i: &usize| {
            lost_machine(
                all[*i].0,
                all[*i].1,
                vec![attempt(AttemptKind::BrokenGang, 0.0); 4],
            )
        };
        order.iter().map(one).collect::<Vec<_>>()
    };
    let room = Budget {
        free: 1.0,
        preemptible: 0.0,
    };
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        assert_eq!(plan_releases(s(20.0), cases(&order), room).machines, [2]);
    }
    assert_eq!(
        plan_releases(s(20.0), cases(&[0, 1, 2]), PLENTY).machines,
        [2, 3, 1]
    );
}

/// A completed task whose result can't be seen: restarting it pays with a long wait
/// ahead, and not with a short one.
#[test]
fn completed_tasks_are_restarted_only_when_the_wait_is_long() {
    let done = |lease| lost_machine(1, lease, vec![attempt(AttemptKind::Other, 60.0); 4]);
    assert!(release_benefit(s(20.0), &done(50.0)) > 0.0);
    assert!(release_benefit(s(20.0), &done(4.0)) < 0.0);
}

#[test]
fn a_deadline_met_only_by_restarting_raises_the_benefit() {
    let mut pressed = attempt(AttemptKind::Other, 0.0);
    (pressed.rerun_time, pressed.remaining, pressed.due_in) = (s(10.0), s(40.0), Some(s(20.0)));
    let mut easy = pressed;
    easy.due_in = Some(s(300.0));
    let at = |x| release_benefit(s(15.0), &lost_machine(1, 25.0, vec![x; 4]));
    assert!(at(pressed) > at(easy) + 20.0);
}

/// No more is released at a time than can start soon: neither free nor preemptible
/// capacity is used twice.
#[test]
fn no_more_is_released_than_can_start_elsewhere() {
    let all: Vec<LostMachine<u32>> = (0..50)
        .map(|n| lost_machine(n, 30.0, vec![attempt(AttemptKind::BrokenGang, 0.0); 4]))
        .collect();
    let few = Budget {
        free: 3.2,
        preemptible: 100.0,
    };
    let p = plan_releases(s(20.0), all, few);
    assert_eq!((p.machines.len(), p.worthwhile), (3, 50));
    let replicas: Vec<LostMachine<u32>> = (0..50)
        .map(|n| lost_machine(n, 30.0, vec![attempt(AttemptKind::Replica, 0.0); 4]))
        .collect();
    let made = Budget {
        free: 2.0,
        preemptible: 5.0,
    };
    assert_eq!(plan_releases(s(20.0), replicas, made).machines.len(), 7);
    assert!(
        plan_releases(s(20.0), vec![lost_machine(1, 30.0, vec![])], PLENTY)
            .machines
            .is_empty()
    );
}

/// For random inputs a plan stays within its budget and never names a machine twice.
#[test]
fn plans_stay_within_their_budgets() {
    arbtest::arbtest(|u| {
        let standings = [
            AttemptKind::Replica,
            AttemptKind::BrokenGang,
            AttemptKind::Urgent,
            AttemptKind::Other,
        ];
        let n: u32 = u.int_in_range(0..=12)?;
        let mut cases = vec![];
        for machine in 0..n {
            let mut stakes = vec![];
            for _ in 0..u.int_in_range(0..=4u32)? {
                let mut x = attempt(*u.choose(&standings)?, u.int_in_range(0..=59u32)? as f64);
                x.machine_share = u.int_in_range(1..=25u32)? as f64 / 100.0;
                stakes.push(x);
            }
            cases.push(lost_machine(
                machine,
                u.int_in_range(0..=60u32)? as f64,
                stakes,
            ));
        }
        let budget = Budget {
            free: u.int_in_range(0..=4u32)? as f64,
            preemptible: u.int_in_range(0..=4u32)? as f64,
        };
        let p = plan_releases(s(u.int_in_range(0..=90u32)? as f64), cases, budget);
        let mut once = p.machines.clone();
        once.dedup();
        assert_eq!(once.len(), p.machines.len());
        assert!(
            p.remaining.free >= -1e-6 && p.remaining.preemptible >= -1e-6,
            "{:?}",
            p.remaining
        );
        assert!(p.machines.len() <= p.worthwhile);
        Ok(())
    });
}
