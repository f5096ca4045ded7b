//! Requests that controllers pass on among themselves, across the ends of processes.

use hookworks::ids::{ControllerId, Epoch, Instance};
use hookworks::node::{first_request_id, leader_restarted};

/// Reports that a leader was asked before it ended waited for its answer until
/// their workers gave up, though it led again under the same name.
#[test]
fn a_leader_that_leads_again_has_forgotten_what_it_was_asked() {
    let of = |l: &str, e| (ControllerId::from(l), Epoch(e));
    let asked = of("a", 4);
    assert!(leader_restarted(&asked, Some(&of("a", 5))));
    assert!(!leader_restarted(&asked, Some(&of("a", 4))));
    // Another leads: the answer may be on its way yet.
    assert!(!leader_restarted(&asked, Some(&of("b", 5))));
    assert!(!leader_restarted(&asked, None));
}

/// A follower was back after 0.3 s with request 1 open when the leader's
/// answer to request 1 of its earlier process arrived.
#[test]
fn no_two_processes_of_a_label_number_their_requests_alike() {
    let of = |i: u64| {
        first_request_id(Instance(i))..first_request_id(Instance(i)) + (u32::MAX as u64 - 1)
    };
    for (a, b) in [(0, 1), (7, 8), (u32::MAX as u64 - 1, u32::MAX as u64)] {
        assert!(!of(a).contains(&first_request_id(Instance(b))));
        assert!(!of(b).contains(&first_request_id(Instance(a))));
    }
}
