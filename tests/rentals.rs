//! Rental requests and their names, and machines that were not expected.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{Effect, Event, RentalResult};
use hookworks::time::{Time, WallTime};
use hookworks::wire::cloud::{ListedHost, RentalRequest};
use hookworks::wire::worker::Report;
use world::desk::{Desk, report};
use world::job;

/// Rental requests made so far.
fn rental_requests(d: &Desk) -> Vec<RentalRequest> {
    let h = |f: &Effect| match f {
        Effect::Rent(h) => Some(h.clone()),
        _ => None,
    };
    d.fx.iter().filter_map(h).collect()
}

#[test]
fn request_names_are_unique_and_reused_only_for_retries() {
    let mut names = std::collections::BTreeSet::new();
    for epoch in [5, 6] {
        let mut d = Desk::new(epoch);
        d.submit(&job(1, 3));
        d.wait(1.0);
        let first = rental_requests(&d).remove(0);
        assert!(names.insert(first.name.clone()));
        d.event(Event::RentalResult(first.clone(), RentalResult::Unclear));
        d.wait(2.0);
        assert_eq!(
            rental_requests(&d).last(),
            Some(&first),
            "the same request is retried"
        );
        d.event(Event::RentalResult(first.clone(), RentalResult::NoCapacity));
        d.wait(1.0);
        let next = rental_requests(&d).pop().unwrap();
        assert!(names.insert(next.name.clone()));
        assert_ne!((next.zone, next.spot), (first.zone, first.spot));
    }
}

#[test]
fn unexpected_machine_is_used_or_returned() {
    let mut d = Desk::new(5);
    d.beat(&report(7, 1, Token(0)));
    for seq in 2..45 {
        d.wait(3.0);
        d.beat(&report(7, seq, Token(0)));
    }
    assert!(d.released().contains(&Host::from("n-000007")));
}

/// The machine boots at once: its first report may also be a copy from the time of an
/// earlier leader.
#[test]
fn machine_that_reports_before_its_rental_is_answered_is_used_after_the_answer() {
    let mut d = Desk::new(5);
    d.lists = false;
    d.submit(&job(1, 1));
    d.wait(1.0);
    let hire = rental_requests(&d).remove(0);
    d.beat(&Report {
        zone: hire.zone.clone(),
        spot: hire.spot,
        ..report(7, 1, Token(0))
    });
    assert_eq!(d.attempt("job-000001", 0), None);
    let up = RentalResult::Ok(vec!["n-000007".into()]);
    d.event(Event::RentalResult(hire, up));
    assert!(d.attempt("job-000001", 0).is_some());
}

/// Machines that an earlier leader has just rented for a job are on no list yet.
#[test]
fn loaded_job_is_rented_for_once_lists_show_earlier_rentals() {
    let mut first = Desk::new(5);
    first.submit(&job(1, 3));
    first.wait(1.0);
    let record = first.s.jobs[&JobId::from("job-000001")].encode(0);
    let loaded = Job::decode(&record, Time(first.now), WallTime(1_000_000)).unwrap();
    let mut d = Desk::with(6, vec![loaded]);
    d.wait(5.5);
    assert_eq!(rental_requests(&d), []);
    d.wait(1.0);
    assert_eq!(rental_requests(&d).len(), 1);
    // A job submitted under this leader is rented for at once.
    let mut own = Desk::new(6);
    own.submit(&job(2, 3));
    own.wait(1.0);
    assert_eq!(rental_requests(&own).len(), 1);
}

/// A new leader finds the whole fleet in the cloud's list before any report arrives; a
/// machine that never reports is still given up.
#[test]
fn machine_rented_long_ago_has_time_to_report_to_a_new_leader() {
    let mut d = Desk::new(5);
    d.refuses = true;
    d.event(Event::Listed(vec![ListedHost {
        host: "n-000007".into(),
        addr: Some("10.1.0.7:9000".into()),
        build: "small".into(),
        zone: "a".into(),
        spot: false,
        status: "running".into(),
        age_s: 600.0,
    }]));
    d.wait(5.0);
    assert_eq!(d.released(), []);
    d.wait(30.0);
    assert!(d.released().contains(&Host::from("n-000007")));
}
