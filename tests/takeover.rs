//! How a new leader recovers the tasks that it finds in the state service.

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

/// A leader places eight tasks on two machines, and no command has reached a worker.
fn eight_placed() -> Desk {
    let mut desk = Desk::set_up(5, vec![], |c| c.teams[0].cpus_max = 99.0);
    for n in 1..=2 {
        desk.beat(&report(n, 1, Token(0)));
    }
    desk.submit(&job(1, 8));
    desk
}

/// Loads the job record that `first` has stored, as the next leader does.
fn inherit(first: &Desk, change: impl Fn(&mut Config)) -> Desk {
    let record = first.s.jobs[&JobId::from(JOB)].encode(0);
    let loaded = Job::decode(&record, Time(first.now), WallTime(1_000_000)).unwrap();
    assert_eq!(loaded.active.len(), 8);
    Desk::set_up(6, vec![loaded], change)
}

/// Sends three heartbeats of machines 1 and 2, with the current token from the second one
/// on. Returns the attempts that the answers start.
fn send_heartbeats(desk: &mut Desk) -> Vec<(TaskId, Attempt)> {
    let confirmed = Token(Epoch(6).base());
    let mut runs = vec![];
    for (seq, token) in [(2, Token(0)), (3, confirmed), (4, confirmed)] {
        for n in 1..=2 {
            let a = desk.beat(&report(n, seq, token)).unwrap();
            for o in a.commands {
                if let Command::Run { task, attempt } = o {
                    assert!(seq > 2, "an earlier leader's command may be in flight");
                    runs.push((task, attempt));
                }
            }
        }
    }
    runs
}

/// A placement that is stored but not started is started by the next leader under the
/// same attempt. Guards against a slow failover: new attempts for a thousand tasks had to
/// wait for one write each.
#[test]
fn stored_placements_are_started_without_a_write() {
    let first = eight_placed();
    let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    desk.refuses = true;
    let mut runs = send_heartbeats(&mut desk);
    runs.sort();
    runs.dedup();
    let old = |t: u32| first.attempt(JOB, t).unwrap();
    assert_eq!(runs.len(), 8);
    assert!(runs.iter().all(|(t, a)| *a == old(t.index.0)), "{runs:?}");
    assert_eq!(desk.written, 0);
}

/// Guards against an exceeded team limit: an earlier leader may have assigned the resources
/// of tasks that it never started to others, and failed before that was stored.
#[test]
fn stored_placements_beyond_the_team_limit_are_not_started() {
    let first = eight_placed();
    let mut desk = inherit(&first, |_| {});
    desk.refuses = true;
    let mut runs = send_heartbeats(&mut desk);
    runs.sort();
    runs.dedup();
    assert_eq!(runs.len(), 6, "as many as the limit allows: {runs:?}");
    assert_eq!(desk.s.jobs[&JobId::from(JOB)].active.len(), 6);
}

/// Tasks of a held job, or on a machine that accepts no tasks, are not started.
#[test]
fn placements_that_may_not_start_are_not_started() {
    let first = eight_placed();
    let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    desk.refuses = true;
    desk.ask(Request::Hold(
        JOB.into(),
        br#"{"By":"ann","Kind":"user","Why":""}"#.to_vec(),
    ));
    assert_eq!(send_heartbeats(&mut desk), []);
    let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    desk.refuses = true;
    for n in 1..=2 {
        let noticed = Report {
            notice_s: Some(20.0),
            ..report(n, 3, Token(Epoch(6).base()))
        };
        let a = desk.beat(&noticed).unwrap();
        assert_eq!(a.commands, [], "a machine with a preemption notice");
    }
}
