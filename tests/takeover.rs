//! What a new leader makes of the tasks that it finds on record.

mod world;

use hookworks::ids::*;
use hookworks::sched::Config;
use hookworks::sched::job::Job;
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::worker::*;
use world::desk::{Desk, report};
use world::job;

const JOB: &str = "job-000001";

/// A leader with room for all places eight tasks on two machines, and tells nobody.
fn eight_placed() -> Desk {
    let mut d = Desk::set_up(5, vec![], |c| c.teams[0].cpus_max = 99.0);
    for n in 1..=2 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.submit(&job(1, 8));
    d
}

/// Loads what `first` has on record of a job, as the next leader does.
fn inherit(first: &Desk, change: impl Fn(&mut Config)) -> Desk {
    let record = first.s.jobs[&JobId::from(JOB)].encode(0);
    let loaded = Job::decode(&record, Time(first.now), WallTime(1_000_000)).unwrap();
    assert_eq!(loaded.active.len(), 8);
    Desk::set_up(6, vec![loaded], change)
}

/// Machines 1 and 2 report thrice, the token known from the second time on; what
/// they are told to run.
fn reports(d: &mut Desk) -> Vec<(TaskId, Attempt)> {
    let confirmed = Token(Epoch(6).base());
    let mut runs = vec![];
    for (seq, token) in [(2, Token(0)), (3, confirmed), (4, confirmed)] {
        for n in 1..=2 {
            let a = d.beat(&report(n, seq, token)).unwrap();
            for o in a.commands {
                if let Command::Run { task, attempt } = o {
                    assert!(seq > 2, "an earlier leader's command may be under way");
                    runs.push((task, attempt));
                }
            }
        }
    }
    runs
}

/// What was stored and never begun is begun by the next leader under the same
/// attempt: placed anew, a thousand tasks waited for a write each.
#[test]
fn what_an_earlier_leader_never_began_is_begun_without_a_write() {
    let first = eight_placed();
    let mut d = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    d.refuses = true;
    let mut runs = reports(&mut d);
    runs.sort();
    runs.dedup();
    let old = |t: u32| first.attempt(JOB, t).unwrap();
    assert_eq!(runs.len(), 8);
    assert!(runs.iter().all(|(t, a)| *a == old(t.index.0)), "{runs:?}");
    assert_eq!(d.written, 0);
}

/// An earlier leader may have given the room of what it never began to others,
/// and ended before that was stored: beginning it took a team past its limit.
#[test]
fn what_does_not_fit_the_limit_any_more_is_not_begun() {
    let first = eight_placed();
    let mut d = inherit(&first, |_| {});
    d.refuses = true;
    let mut runs = reports(&mut d);
    runs.sort();
    runs.dedup();
    assert_eq!(runs.len(), 6, "as many as the limit allows: {runs:?}");
    assert_eq!(d.s.jobs[&JobId::from(JOB)].active.len(), 6);
}

/// Held, cancelled or on a machine that takes nothing: nothing is begun there.
#[test]
fn what_may_not_start_now_is_not_begun_either() {
    let first = eight_placed();
    let mut d = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    d.refuses = true;
    d.ask(Request::Hold(
        JOB.into(),
        br#"{"By":"ann","Kind":"user","Why":""}"#.to_vec(),
    ));
    assert_eq!(reports(&mut d), []);
    let mut d = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    d.refuses = true;
    for n in 1..=2 {
        let noticed = Report {
            notice_s: Some(20.0),
            ..report(n, 3, Token(Epoch(6).base()))
        };
        let a = d.beat(&noticed).unwrap();
        assert_eq!(a.commands, [], "a machine that is about to be taken");
    }
}
