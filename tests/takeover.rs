//! What a new leader makes of the tasks that it finds on record.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::time::{Time, Wall};
use hookworks::wire::worker::*;
use world::desk::{Desk, report};
use world::job;

const JOB: &str = "job-000001";

/// An earlier leader may have given the room of what it never began to others,
/// and ended before that was stored: beginning it took a team past its limit.
#[test]
fn what_an_earlier_leader_never_began_is_placed_anew() {
    let mut first = Desk::set_up(5, vec![], |c| c.teams[0].cpus_max = 99.0);
    for n in 1..=2 {
        first.beat(&report(n, 1, Token(0)));
    }
    first.submit(&job(1, 8));
    let record = first.s.jobs[&JobId::from(JOB)].encode(0);
    let old = first.attempt(JOB, 0).unwrap();
    let loaded = Job::decode(&record, Time(first.now), Wall(1_000_000)).unwrap();
    assert_eq!(loaded.live.len(), 8);
    let mut d = Desk::with(6, vec![loaded]);
    let confirmed = Token(Epoch(6).base());
    for (seq, token) in [(2, Token(0)), (3, confirmed), (4, confirmed)] {
        for n in 1..=2 {
            let a = d.beat(&report(n, seq, token)).unwrap();
            let begun =
                |o: &Order| matches!(o, Order::Run { attempt, .. } if attempt.0 <= old.0 + 8);
            assert!(!a.orders.iter().any(begun), "{:?}", a.orders);
        }
    }
    let live = &d.s.jobs[&JobId::from(JOB)].live;
    assert_eq!(live.len(), 6, "as many as the limit allows");
}
