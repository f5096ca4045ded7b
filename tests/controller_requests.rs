//! Requests forwarded between controllers, across restarts of their processes.

use hookworks::ids::{ControllerId, Epoch, Instance};
use hookworks::node::{first_request_id, leader_restarted};

/// Guards against heartbeats that wait for a restarted leader: it leads again under the
/// same label, but does not know the requests sent to its earlier process.
#[test]
fn leader_with_a_larger_epoch_does_not_know_earlier_requests() {
    let of = |l: &str, e| (ControllerId::from(l), Epoch(e));
    let forwarded_to = of("a", 4);
    assert!(leader_restarted(&forwarded_to, Some(&of("a", 5))));
    assert!(!leader_restarted(&forwarded_to, Some(&of("a", 4))));
    // Another controller leads: the answer may still arrive.
    assert!(!leader_restarted(&forwarded_to, Some(&of("b", 5))));
    assert!(!leader_restarted(&forwarded_to, None));
}

/// Guards against a wrong answer: a follower restarted within 0.3 s and had request 1 open
/// when the leader's answer to request 1 of its earlier process arrived.
#[test]
fn request_ids_of_two_processes_do_not_overlap() {
    let ids_of = |instance: u64| {
        first_request_id(Instance(instance))
            ..first_request_id(Instance(instance)) + (u32::MAX as u64 - 1)
    };
    for (a, b) in [(0, 1), (7, 8), (u32::MAX as u64 - 1, u32::MAX as u64)] {
        assert!(!ids_of(a).contains(&first_request_id(Instance(b))));
        assert!(!ids_of(b).contains(&first_request_id(Instance(a))));
    }
}
