//! Shares of started jobs, the guaranteed minimum and the bound on overtaking.

use hookworks_base::time::{Span, Time};
use hookworks_fairness::{FairnessPolicy, GroupMetrics, JobEvent, ShareTracker, WaitingJobs};
use std::collections::BTreeMap;

fn at(s: u64) -> Time {
    Time(10_000_000_000 + s * 1_000_000)
}

fn waits(jobs: &[(u64, f64, f64)]) -> WaitingJobs {
    let mut w = WaitingJobs::default();
    for (tasks, waited, patience) in jobs {
        let waited = Span::secs(*waited);
        w.add(*tasks, waited, waited, Span::secs(*patience));
    }
    w
}

fn share(s: &mut ShareTracker<&'static str>, now: Time, w: WaitingJobs) -> f64 {
    s.metrics(now, &BTreeMap::from([("a", w)]))["a"].share
}

#[test]
fn share_counts_started_and_overdue_jobs() {
    let mut s = ShareTracker::default();
    for n in 0..6 {
        s.record(at(n), &"a", JobEvent::Accepted);
    }
    assert_eq!(share(&mut s, at(10), waits(&[(3, 5.0, 60.0)])), 1.0);
    s.record(at(11), &"a", JobEvent::Started);
    // Two of them should have begun; one has come just now.
    let w = waits(&[(3, 61.0, 60.0), (1, 90.0, 60.0), (9, 2.0, 60.0)]);
    assert_eq!(share(&mut s, at(12), w), 1.0 / 3.0);
    let f = s.metrics(at(12), &BTreeMap::from([("a", w)]))["a"];
    assert_eq!(
        (f.waiting_jobs, f.waiting_tasks, f.overdue_jobs),
        (3, 13, 2)
    );
    assert_eq!((f.recent.came, f.oldest_wait_s), (6, 90.0));
}

/// A class that began well in the morning starved unseen at noon.
#[test]
fn old_starts_do_not_count() {
    let mut s = ShareTracker::default();
    for n in 0..100 {
        s.record(at(n), &"a", JobEvent::Started);
    }
    let w = waits(&[(1, 90.0, 60.0)]);
    assert!(share(&mut s, at(100), w) > 0.99);
    assert_eq!(share(&mut s, at(500), w), 0.0);
    let f = s.metrics(at(500), &BTreeMap::new())["a"];
    assert_eq!((f.total.begun, f.recent.begun, f.share), (100, 0, 1.0));
    // A group of which nothing was ever heard but that it waits is shown.
    let all = s.metrics(at(500), &BTreeMap::from([("b", w)]));
    assert_eq!(all["b"].share, 0.0);
}

#[test]
fn groups_below_the_minimum_share_have_overdue_jobs() {
    let policy = FairnessPolicy {
        reserved_share: 0.1,
        min_share: 0.7,
        max_overtaken: None,
    };
    let of = |overdue_jobs, share| GroupMetrics {
        overdue_jobs,
        share,
        ..GroupMetrics::default()
    };
    assert!(policy.is_below_minimum(false, &of(3, 0.5)));
    assert!(!policy.is_below_minimum(false, &of(3, 0.9)));
    assert!(!policy.is_below_minimum(false, &of(0, 0.0)));
    let late = GroupMetrics {
        late_jobs: 1,
        ..of(0, 0.5)
    };
    assert!(policy.is_below_minimum(true, &late) && !policy.is_below_minimum(false, &late));
    let off = FairnessPolicy {
        reserved_share: 0.0,
        ..policy
    };
    assert!(!off.is_below_minimum(true, &of(3, 0.5)));
}

/// The largest jobs were overtaken for ever by a flood of small ones.
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

/// A class floods the fleet, is served by less than half for that, and is not
/// to take the part of one that has nothing.
#[test]
fn groups_above_an_equal_part_get_no_budget() {
    let policy = FairnessPolicy {
        reserved_share: 0.1,
        min_share: 0.7,
        max_overtaken: None,
    };
    let used = BTreeMap::from([("flood", 900), ("none", 0), ("little", 20)]);
    let left = policy.budgets(1000, &used);
    assert_eq!(
        (left["none"], left["little"], left["flood"]),
        (50, 30, -900)
    );
    assert_eq!(policy.budgets(0, &BTreeMap::from([("a", 0)]))["a"], 0);
}

/// Whatever they use, together they are never set aside more than the policy.
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
        let left = policy.budgets(fleet, &used);
        let parts = left.iter().filter(|(_, l)| **l >= 0);
        let most: i64 = parts.map(|(k, l)| l + used[k]).sum();
        assert!(most as f64 <= fleet as f64 * 0.1 + 1.0);
        assert_eq!(left.len(), used.len());
        Ok(())
    });
}
