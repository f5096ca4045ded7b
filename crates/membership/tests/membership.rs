//! Membership, against pings and closed links in all orders.

use hookworks_base::ids::{ControllerId, Epoch, Instance};
use hookworks_base::time::{Span, Time};
use hookworks_membership::{LinkId, Membership, PeerStatus, PingOutcome};

const SUSPECT_AFTER: Span = Span(1_700_000);

fn label(s: &str) -> ControllerId {
    ControllerId::from(s)
}

fn members() -> Membership {
    Membership::new(label("a"), vec![label("b"), label("c")], SUSPECT_AFTER)
}

fn status(instance: u64, leader: Option<(&str, u64)>, hears: &[&str]) -> PeerStatus {
    PeerStatus {
        instance: Some(Instance(instance)),
        leader: leader.map(|(l, e)| (label(l), Epoch(e))),
        live_peers: hears.iter().map(|l| label(l)).collect(),
        ..PeerStatus::default()
    }
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

/// Requests went on to the next process of the leader's label, which leads
/// nothing, for as long as somebody spoke of the term of the one before.
#[test]
fn restarted_leader_no_longer_counts_as_leader() {
    let mut m = members();
    m.set_leader(Some((label("b"), Epoch(4))));
    m.record_ping(
        at(0),
        &label("b"),
        LinkId(1),
        status(1, Some(("b", 4)), &["a"]),
    );
    m.record_ping(
        at(0),
        &label("c"),
        LinkId(2),
        status(1, Some(("b", 4)), &["a", "b"]),
    );
    assert_eq!(m.latest_leader(at(1)), Some((label("b"), Epoch(4))));
    let news = m.record_ping(at(300), &label("b"), LinkId(3), status(2, None, &[]));
    assert_eq!(news, PingOutcome::Restarted);
    assert_eq!(
        (m.latest_leader(at(301)), m.announced_leader()),
        (None, None)
    );
    // Its next term counts, from whomever it is heard.
    m.record_ping(
        at(400),
        &label("c"),
        LinkId(2),
        status(1, Some(("b", 5)), &["a", "b"]),
    );
    assert_eq!(m.latest_leader(at(401)), Some((label("b"), Epoch(5))));
}

/// A new process led again before it was heard, and from then on counted as leading nothing.
#[test]
fn leadership_known_from_the_state_service_before_its_process_is_heard_still_counts() {
    let mut m = members();
    let leads = |instance, epoch| status(instance, Some(("b", epoch)), &["a"]);
    m.set_leader(Some((label("b"), Epoch(4))));
    m.record_ping(at(0), &label("b"), LinkId(1), leads(1, 4));
    m.link_closed(LinkId(1));
    // Connections between controllers are refused meanwhile; the state service is not.
    m.set_leader(Some((label("b"), Epoch(5))));
    let third = status(1, Some(("b", 5)), &["a"]);
    m.record_ping(at(5000), &label("c"), LinkId(2), third);
    let first = m.record_ping(at(5100), &label("b"), LinkId(3), leads(2, 5));
    assert_eq!(first, PingOutcome::Restarted);
    let leader = Some((label("b"), Epoch(5)));
    assert_eq!(m.latest_leader(at(5101)), leader);
    assert_eq!(m.announced_leader(), leader);
}

/// A controller that had just started read the later process's connection first, took that
/// process for replaced, and never heard it again.
#[test]
fn process_that_connected_earlier_does_not_replace_a_later_one() {
    let mut m = members();
    let later = status(2, Some(("b", 5)), &["a"]);
    m.record_ping(at(0), &label("b"), LinkId(2), later.clone());
    let earlier = status(1, Some(("b", 4)), &["a"]);
    let outcome = m.record_ping(at(1), &label("b"), LinkId(1), earlier);
    assert_eq!(outcome, PingOutcome::Stale);
    let next = m.record_ping(at(500), &label("b"), LinkId(2), later);
    assert_eq!(next, PingOutcome::Unchanged);
    assert!(m.reachable(at(501), &label("b")));
    assert_eq!(m.latest_leader(at(501)), Some((label("b"), Epoch(5))));
}

/// Its first ping was sent before the election, and arrives after word of that.
#[test]
fn leadership_counts_once_its_process_claims_it_itself() {
    let mut m = members();
    m.record_ping(
        at(0),
        &label("b"),
        LinkId(1),
        status(1, Some(("b", 4)), &["a"]),
    );
    m.set_leader(Some((label("b"), Epoch(5))));
    m.record_ping(at(300), &label("b"), LinkId(2), status(2, None, &["a"]));
    m.record_ping(
        at(800),
        &label("b"),
        LinkId(2),
        status(2, Some(("b", 5)), &["a"]),
    );
    assert_eq!(m.latest_leader(at(801)), Some((label("b"), Epoch(5))));
    // An epoch of the process before is over all the same.
    m.set_leader(Some((label("b"), Epoch(4))));
    assert_eq!(m.announced_leader(), None);
}

/// What was on its way when a process ended arrives after its successor's
/// first word, on a connection of its own.
#[test]
fn ping_of_a_replaced_process_is_ignored() {
    let mut m = members();
    m.record_ping(
        at(0),
        &label("b"),
        LinkId(1),
        status(1, Some(("b", 4)), &["a"]),
    );
    m.record_ping(at(300), &label("b"), LinkId(2), status(2, None, &["a"]));
    let late = m.record_ping(
        at(310),
        &label("b"),
        LinkId(1),
        status(1, Some(("b", 4)), &["a"]),
    );
    assert_eq!((late, m.latest_leader(at(311))), (PingOutcome::Stale, None));
    // Nor does the end of its link say anything of its successor.
    assert_eq!(m.link_closed(LinkId(1)), None);
    assert!(m.reachable(at(312), &label("b")));
}

/// A process may end and be back before its silence is noticed.
#[test]
fn closed_link_voids_the_status_that_came_by_it() {
    let mut m = members();
    let first = m.record_ping(
        at(0),
        &label("b"),
        LinkId(1),
        status(1, Some(("b", 4)), &["a"]),
    );
    assert_eq!(first, PingOutcome::Joined);
    assert_eq!(m.link_closed(LinkId(1)), Some(label("b")));
    assert!(!m.any_reachable(at(1)) && m.latest_leader(at(1)).is_none());
    assert_eq!(m.unreachable(at(1)), [label("b"), label("c")]);
    // The same process on a new link, as after a reset, goes on.
    let again = m.record_ping(
        at(100),
        &label("b"),
        LinkId(2),
        status(1, Some(("b", 4)), &["a"]),
    );
    assert_eq!(again, PingOutcome::Joined);
    assert_eq!(m.latest_leader(at(101)), Some((label("b"), Epoch(4))));
    // A restart is one even with a silence in between.
    m.link_closed(LinkId(2));
    let next = m.record_ping(at(600), &label("b"), LinkId(3), status(2, None, &["a"]));
    assert_eq!(next, PingOutcome::Restarted);
}

/// During a roll one version tells its instance and the other doesn't.
#[test]
fn pings_without_an_instance_are_accepted() {
    let mut m = members();
    let old = PeerStatus {
        instance: None,
        ..status(0, Some(("b", 4)), &["a"])
    };
    assert_eq!(
        m.record_ping(at(0), &label("b"), LinkId(1), old.clone()),
        PingOutcome::Joined
    );
    assert_eq!(
        m.record_ping(at(500), &label("b"), LinkId(2), old.clone()),
        PingOutcome::Unchanged
    );
    m.record_ping(at(900), &label("b"), LinkId(3), status(7, None, &["a"]));
    // Back to the earlier version: a new process as well.
    assert_eq!(
        m.record_ping(at(1000), &label("b"), LinkId(4), old),
        PingOutcome::Restarted
    );
}

#[test]
fn route_goes_through_the_third_controller_if_the_direct_way_is_cut() {
    let mut m = members();
    m.record_ping(at(0), &label("b"), LinkId(1), status(1, None, &["c"]));
    m.record_ping(at(0), &label("c"), LinkId(2), status(1, None, &["a", "b"]));
    assert_eq!(m.route(at(1), &label("b")), Some(&label("c")));
    assert_eq!(m.route(at(1), &label("c")), Some(&label("c")));
    assert!(m.status(at(1), &label("b")).is_none());
    // Silent for too long, nobody is a way.
    assert_eq!(m.route(at(1701), &label("b")), None);
}

/// Whatever comes in whatever order, no leader is named whose process is
/// known to have been replaced, and the newest process is the one heard.
#[test]
fn replaced_process_stays_replaced_in_any_order_of_pings() {
    arbtest::arbtest(|u| {
        let mut m = members();
        let (mut newest, mut led, mut now) = (1u64, 0u64, 0u64);
        for _ in 0..u.int_in_range(1..=40)? {
            now += u.int_in_range(0..=900)?;
            match u.int_in_range(0..=4)? {
                0 => newest += 1,
                // It leads a new term.
                1 => led = led.max(newest * 10 + 1),
                2 => {
                    let l = (led / 10 == newest).then_some(("b", led));
                    m.record_ping(
                        at(now),
                        &label("b"),
                        LinkId(newest),
                        status(newest, l, &["a"]),
                    );
                }
                3 if newest > 1 => {
                    let old = u.int_in_range(1..=newest - 1)?;
                    if m.latest_instance(&label("b")) == Some(Instance(newest)) {
                        let l = Some(("b", old * 10 + 1));
                        m.record_ping(at(now), &label("b"), LinkId(old), status(old, l, &["a"]));
                        // Only processes that were heard can be told apart.
                        if m.is_replaced(&label("b"), Instance(old)) {
                            assert_eq!(m.latest_instance(&label("b")), Some(Instance(newest)));
                        } else {
                            return Ok(());
                        }
                    }
                }
                _ => {
                    m.link_closed(LinkId(u.int_in_range(1..=newest)?));
                }
            }
            if m.latest_instance(&label("b")) == Some(Instance(newest))
                && let Some((_, e)) = m.latest_leader(at(now))
            {
                assert_eq!(e.0 / 10, newest, "a term of a process that has ended");
            }
        }
        Ok(())
    });
}
