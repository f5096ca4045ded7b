//! The retry policy, and the failures that count against it.

use hookworks_job_lifecycle::{
    CountedFailures, Failure, FailureCounts, MAX_BLAMED, RetryDecision, RetryPolicy,
};
use std::time::Duration;

const POLICY: RetryPolicy = RetryPolicy {
    most: 3,
    counts: CountedFailures {
        error: true,
        timed_out: true,
        lost: false,
        stopped: false,
    },
    backoff: Duration::from_secs(2),
    backoff_most: Duration::from_secs(3),
};

#[test]
fn task_is_exhausted_after_its_last_allowed_failure() {
    let mut a = FailureCounts::default();
    let mut fail = |cause| a.failed((4, 10), "n-1", cause, &POLICY);
    assert_eq!(fail(Failure::Lost), RetryDecision::NotCounted);
    assert_eq!(fail(Failure::Stopped), RetryDecision::NotCounted);
    assert_eq!(
        fail(Failure::Error),
        RetryDecision::RetryAfter(Duration::from_secs(2))
    );
    assert_eq!(
        fail(Failure::TimedOut),
        RetryDecision::RetryAfter(Duration::from_secs(3))
    );
    assert_eq!(fail(Failure::Error), RetryDecision::Exhausted(3));
    assert!(a.exhausted(&POLICY) && a.of(4) == 3 && a.of(5) == 0);
    a.reset();
    assert!(!a.exhausted(&POLICY));
}

/// A limit was once reached by way of one faulty machine.
#[test]
fn failures_on_a_faulty_machine_are_forgiven() {
    let mut a = FailureCounts::default();
    for host in ["good", "bad", "bad"] {
        a.failed((0, 2), host, Failure::Error, &POLICY);
    }
    assert!(a.exhausted(&POLICY));
    assert!(a.forgive("bad"));
    assert!(!a.exhausted(&POLICY) && a.of(0) == 1);
    assert!(!a.forgive("bad"), "forgiven twice");
}

#[test]
fn without_a_policy_nothing_is_counted_or_stored() {
    let mut a = FailureCounts::default();
    let none = RetryPolicy::default();
    for _ in 0..100 {
        assert_eq!(
            a.failed((0, 9), "n", Failure::Error, &none),
            RetryDecision::NotCounted
        );
    }
    assert_eq!(a, FailureCounts::default());
    assert_eq!(a.encode(0, 9), "");
}

#[test]
fn failure_counts_are_stored_in_a_digit_each() {
    let mut a = FailureCounts::default();
    let policy = RetryPolicy { most: 4, ..POLICY };
    for task in 0..100_000 {
        for _ in 0..3 {
            a.failed((task, 100_000), "n", Failure::Error, &policy);
        }
    }
    let text = a.encode(512, 1024);
    assert_eq!(text.len(), 512);
    let mut b = FailureCounts::default();
    b.decode(512, 100_000, &text).unwrap();
    assert_eq!((b.of(511), b.of(512), b.of(1023)), (0, 3, 3));
    assert!(b.remembered() <= MAX_BLAMED && a.remembered() <= MAX_BLAMED);
    assert_eq!(b.decode(99_999, 100_000, "12"), None, "past the end");
    assert_eq!(b.decode(0, 100_000, "x"), None, "no digit");
}
