//! Shares of started jobs, the guaranteed minimum and the bound on overtaking.

use hookworks_base::time::{Span, Time};
use hookworks_fairness::{FairnessPolicy, GroupMetrics, JobEvent, ShareTracker, WaitingJobs};
use std::collections::BTreeMap;

fn at(s: u64) -> Time {
    Time(10_000_000_000 + s * 1_000_000)
}

fn waits(jobs: &[(u64, f64, f64)]) -> WaitingJobs {
    let mut waiting = WaitingJobs::default();
    for (tasks, waited, max_wait) in jobs {
        let waited = Span::secs(*waited);
        waiting.add(*tasks, waited, waited, Span::secs(*max_wait));
    }
    waiting
}

fn share(tracker: &mut ShareTracker<&'static str>, now: Time, waiting: WaitingJobs) -> f64 {
    tracker.metrics(now, &BTreeMap::from([("a", waiting)]))["a"].share
}

#[test]
fn share_counts_started_and_overdue_jobs() {
    let mut tracker = ShareTracker::default();
    for n in 0..6 {
        tracker.record(at(n), &"a", JobEvent::Accepted);
    }
    assert_eq!(share(&mut tracker, at(10), waits(&[(3, 5.0, 60.0)])), 1.0);
    tracker.record(at(11), &"a", JobEvent::Started);
    // Two of them are overdue; one was accepted just now.
    let waiting = waits(&[(3, 61.0, 60.0), (1, 90.0, 60.0), (9, 2.0, 60.0)]);
    assert_eq!(share(&mut tracker, at(12), waiting), 1.0 / 3.0);
    let metrics = tracker.metrics(at(12), &BTreeMap::from([("a", waiting)]))["a"];
    assert_eq!(
        (
            metrics.waiting_jobs,
            metrics.waiting_tasks,
            metrics.overdue_jobs
        ),
        (3, 13, 2)
    );
    assert_eq!((metrics.recent.came, metrics.oldest_wait_s), (6, 90.0));
}

/// Guards against starvation hidden by starts from before the window.
#[test]
fn old_starts_do_not_count() {
    let mut tracker = ShareTracker::default();
    for n in 0..100 {
        tracker.record(at(n), &"a", JobEvent::Started);
    }
    let waiting = waits(&[(1, 90.0, 60.0)]);
    assert!(share(&mut tracker, at(100), waiting) > 0.99);
    assert_eq!(share(&mut tracker, at(500), waiting), 0.0);
    let metrics = tracker.metrics(at(500), &BTreeMap::new())["a"];
    assert_eq!(
        (metrics.total.begun, metrics.recent.begun, metrics.share),
        (100, 0, 1.0)
    );
    // A group without any recorded event is shown if it waits.
    let all = tracker.metrics(at(500), &BTreeMap::from([("b", waiting)]));
    assert_eq!(all["b"].share, 0.0);
}

#[test]
fn groups_below_the_minimum_share_have_overdue_jobs() {
    let policy = FairnessPolicy {
        reserved_share: 0.1,
        min_share: 0.7,
        max_overtaken: None,
    };
    let metrics = |overdue_jobs, share| GroupMetrics {
        overdue_jobs,
        share,
        ..GroupMetrics::default()
    };
    assert!(policy.is_below_minimum(false, &metrics(3, 0.5)));
    assert!(!policy.is_below_minimum(false, &metrics(3, 0.9)));
    assert!(!policy.is_below_minimum(false, &metrics(0, 0.0)));
    let late = GroupMetrics {
        late_jobs: 1,
        ..metrics(0, 0.5)
    };
    assert!(policy.is_below_minimum(true, &late) && !policy.is_below_minimum(false, &late));
    let off = FairnessPolicy {
        reserved_share: 0.0,
        ..policy
    };
    assert!(!off.is_below_minimum(true, &metrics(3, 0.5)));
}

/// Guards against the largest jobs being overtaken indefinitely by a flood of small
/// ones.
#[test]
fn overtaken_job_starts_a_part_of_its_tasks_first() {
    let policy = FairnessPolicy {
        reserved_share: 0.0,
        min_share: 0.7,
        max_overtaken: Some(Span::secs(100.0)),
    };
    let ahead = |tasks, waiting, s| policy.boosted_tasks(tasks, waiting, Span::secs(s));
    assert_eq!(ahead(3000, 3000, 99.0), 0);
    assert_eq!((ahead(3000, 3000, 100.0), ahead(1, 1, 100.0)), (300, 1));
    assert_eq!(ahead(3000, 7, 500.0), 7);
    let never = FairnessPolicy {
        max_overtaken: None,
        ..policy
    };
    assert_eq!(never.boosted_tasks(3000, 3000, Span::secs(1e6)), 0);
}

/// Guards against a class that floods the fleet, and for that reason starts less than
/// half of its jobs in time, taking the part of a class that has nothing.
#[test]
fn groups_above_an_equal_part_get_no_budget() {
    let policy = FairnessPolicy {
        reserved_share: 0.1,
        min_share: 0.7,
        max_overtaken: None,
    };
    let used = BTreeMap::from([("flood", 900), ("none", 0), ("little", 20)]);
    let budgets = policy.budgets(1000, &used);
    assert_eq!(
        (budgets["none"], budgets["little"], budgets["flood"]),
        (50, 30, -900)
    );
    assert_eq!(policy.budgets(0, &BTreeMap::from([("a", 0)]))["a"], 0);
}

/// Whatever the groups use, all budgets together stay within the reserved share.
#[test]
fn reserved_share_is_bounded() {
    arbtest::arbtest(|u| {
        let policy = FairnessPolicy {
            reserved_share: 0.1,
            min_share: 0.7,
            max_overtaken: None,
        };
        let fleet: i64 = u.int_in_range(0..=10_000_000)?;
        let mut used = BTreeMap::new();
        for k in 0..u.int_in_range(1..=8)? {
            used.insert(k, u.int_in_range(0..=fleet)?);
        }
        let budgets = policy.budgets(fleet, &used);
        let parts = budgets.iter().filter(|(_, budget)| **budget >= 0);
        let reserved: i64 = parts.map(|(k, budget)| budget + used[k]).sum();
        assert!(reserved as f64 <= fleet as f64 * 0.1 + 1.0);
        assert_eq!(budgets.len(), used.len());
        Ok(())
    });
}
