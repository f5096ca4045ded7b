//! How a new leader recovers the tasks that it finds in the state service.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{Config, DirectResult, Event};
use hookworks::time::{Time, WallTime};
use hookworks::wire::cloud::ListedHost;
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report, task};
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
    let mut loaded = Job::decode(&record, Time(first.now), WallTime(1_000_000)).unwrap();
    (loaded.parts[0].version, loaded.parts[0].stored_version) = (1, 1);
    assert_eq!(loaded.active.len(), loaded.spec.tasks as usize);
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

const ALL_CAUSES: [Cause; 8] = [
    Cause::Done,
    Cause::Stopped,
    Cause::PeersGone,
    Cause::Alone,
    Cause::Error,
    Cause::NoRoom,
    Cause::InUse,
    Cause::Unknown,
];

/// A leader that finds a gang of two on record, on machines 1 and 2, beside an empty
/// machine 3. Returns the attempt, and which task is on machine 1.
fn inherit_gang() -> (Desk, Attempt, u32) {
    let mut first = Desk::new(5);
    for n in 1..=2 {
        first.beat(&report(n, 1, Token(0)));
    }
    let mut gang = job(1, 2);
    (gang.kind, gang.cpus) = (JobKind::Gang, 6.0);
    first.submit(&gang);
    let attempt = first.attempt(JOB, 0).expect("placed");
    let (index, _) = task_on_first(&first);
    let mut desk = inherit(&first, |_| {});
    // Nobody reads the answers to copies.
    desk.hear = false;
    desk.beat(&report(3, 1, Token(Epoch(6).base())));
    (desk, attempt, index)
}

fn host(n: u32) -> Host {
    report(n, 0, Token(0)).host
}

/// A task on machine 1, and its attempt.
fn task_on_first(desk: &Desk) -> (u32, Attempt) {
    let active = &desk.s.jobs[&JobId::from(JOB)].active;
    let on_first = active.iter().find(|(_, a)| a.host == host(1));
    let (index, attempt) = on_first.expect("a task on machine 1");
    (index.0, attempt.attempt)
}

/// The cloud lists machine 1 as running.
fn list_running(desk: &mut Desk) {
    let first = report(1, 0, Token(0));
    desk.event(Event::Listed(vec![ListedHost {
        host: first.host,
        addr: first.addr,
        build: first.build,
        zone: first.zone,
        spot: first.spot,
        status: "running".into(),
        age_s: 0.0,
    }]));
}

/// Takes the call to machine 1 that is under way.
fn call_to_first(desk: &mut Desk) -> (CallId, Host, Commands) {
    let mut calls = desk.direct().into_iter();
    calls
        .find(|(_, called, _)| *called == host(1))
        .expect("a call to machine 1")
}

/// Answers the call to machine 1 that is to confirm the token, with what is there.
fn confirm(desk: &mut Desk, tasks: Vec<TaskReport>) {
    confirm_in(desk, Session(1), tasks);
}

fn confirm_in(desk: &mut Desk, session: Session, tasks: Vec<TaskReport>) {
    desk.wait(0.5);
    let (call, called, commands) = call_to_first(desk);
    assert_eq!(commands.commands, []);
    assert_eq!(commands.session, session);
    let shown = Report {
        session,
        tasks,
        ..report(1, 19, commands.token)
    };
    desk.event(Event::Direct(
        call,
        called,
        DirectResult::Done(Box::new(shown)),
    ));
}

/// Guards against a task on two machines: a replaced member of a gang keeps its attempt
/// number, and a copy of a report that showed the end of the member before it reached the
/// next leader first, which then started the task elsewhere (review case 4).
#[test]
fn an_end_shown_before_the_token_was_received_ends_no_attempt() {
    for cause in ALL_CAUSES {
        let (mut desk, attempt, index) = inherit_gang();
        let mut copy = report(1, 2, Token(Epoch(5).base()));
        copy.tasks = vec![ended(JOB, index, attempt, cause)];
        desk.beat(&copy);
        assert_eq!(desk.attempt(JOB, index), Some(attempt), "{cause:?}");
        let waits = task(JOB, index, attempt, TaskState::Waiting);
        confirm(&mut desk, vec![waits]);
        assert_eq!(desk.attempt(JOB, index), Some(attempt), "{cause:?}");
        let active = &desk.s.jobs[&JobId::from(JOB)].active;
        assert_eq!(active[&TaskIndex(index)].host, host(1), "{cause:?}");
    }
}

/// Guards against a slow failover: the room of a member that did end is free after one call,
/// not after two heartbeats.
#[test]
fn an_end_of_a_gang_member_counts_once_the_worker_has_received_the_token() {
    for cause in ALL_CAUSES {
        let (mut desk, attempt, index) = inherit_gang();
        let mut report = report(1, 2, Token(Epoch(5).base()));
        report.tasks = vec![ended(JOB, index, attempt, cause)];
        desk.beat(&report);
        confirm(&mut desk, report.tasks.clone());
        assert!(
            !desk.s.machines[&host(1)]
                .allocations
                .keys()
                .any(|task| task.index.0 == index),
            "{cause:?}"
        );
    }
}

/// Guards against a team beyond its limit: an attempt that an earlier leader had resumed in
/// its worker's second session lost its room to a copy of a report of the first one, which
/// showed its end there (history 1533).
#[test]
fn an_end_in_an_earlier_session_ends_no_resumed_attempt() {
    for cause in ALL_CAUSES {
        let first = eight_placed();
        let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
        desk.hear = false;
        let (index, attempt) = task_on_first(&desk);
        let mut copy = report(1, 2, Token(Epoch(5).base()));
        copy.tasks = vec![ended(JOB, index, attempt, cause)];
        desk.beat(&copy);
        assert_eq!(desk.attempt(JOB, index), Some(attempt), "{cause:?}");
        // A call shows what is there by now.
        desk.wait(0.5);
        let (call, called, _) = call_to_first(&mut desk);
        let mut current = report(1, 9, Token(Epoch(5).base()));
        current.session = Session(2);
        current.tasks = vec![task(JOB, index, attempt, TaskState::Running)];
        let answer = DirectResult::Conflict(Box::new(current));
        desk.event(Event::Direct(call, called, answer));
        assert_eq!(desk.attempt(JOB, index), Some(attempt), "{cause:?}");
    }
}

/// Guards against a slow failover: the first answer of a worker to a call shows its current
/// session, and what has ended there counts at once.
#[test]
fn an_end_in_the_current_session_counts_without_the_token() {
    for cause in ALL_CAUSES {
        let first = eight_placed();
        let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
        desk.hear = false;
        let (index, attempt) = task_on_first(&desk);
        list_running(&mut desk);
        let (call, called, _) = call_to_first(&mut desk);
        let mut current = report(1, 2, Token(Epoch(5).base()));
        current.tasks = vec![ended(JOB, index, attempt, cause)];
        let answer = DirectResult::Conflict(Box::new(current));
        desk.event(Event::Direct(call, called, answer));
        assert_ne!(desk.attempt(JOB, index), Some(attempt), "{cause:?}");
    }
}

/// Guards against a task on two machines: an attempt that an earlier leader had resumed in
/// its worker's second session was taken for gone with the first one, because a copy of a
/// report of the first session reached the next leader before any other (review case 5).
#[test]
fn a_session_known_from_a_copy_ends_no_attempt() {
    let first = eight_placed();
    let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    desk.hear = false;
    let (index, attempt) = task_on_first(&desk);
    for (session, state) in [(1, TaskState::Running), (1, TaskState::Fetching)] {
        let mut copy = report(1, 2, Token(Epoch(5).base()));
        copy.session = Session(session);
        copy.tasks = vec![task(JOB, index, attempt, state)];
        desk.beat(&copy);
    }
    desk.wait(0.5);
    // The worker is in its second session: it refuses the call, and shows what is there.
    let (call, called, _) = call_to_first(&mut desk);
    let mut current = report(1, 9, Token(Epoch(5).base()));
    current.session = Session(2);
    current.tasks = vec![task(JOB, index, attempt, TaskState::Running)];
    let answer = DirectResult::Conflict(Box::new(current.clone()));
    desk.event(Event::Direct(call, called, answer));
    assert_eq!(desk.attempt(JOB, index), Some(attempt));
    // And what a report of that session lacks may still be begun by the earlier leader.
    (current.seq, current.tasks) = (Seq(10), vec![]);
    desk.beat(&current);
    assert_eq!(desk.attempt(JOB, index), Some(attempt));
    desk.wait(4.0);
    current.seq = Seq(11);
    desk.beat(&current);
    // Not so once the worker has received our token, which a call brings about.
    confirm_in(&mut desk, Session(2), vec![]);
    assert_ne!(desk.attempt(JOB, index), Some(attempt));
}

/// A worker may take up an attempt just after its session has begun: what a report shows is
/// there, whatever its session proves of others.
#[test]
fn an_attempt_that_a_later_session_shows_is_there() {
    let first = eight_placed();
    let mut desk = inherit(&first, |c| c.teams[0].cpus_max = 99.0);
    desk.hear = false;
    let (index, attempt) = task_on_first(&desk);
    let mut report = report(1, 2, Token(Epoch(6).base()));
    report.tasks = vec![task(JOB, index, attempt, TaskState::Running)];
    desk.beat(&report);
    (report.session, report.seq) = (Session(2), Seq(3));
    desk.beat(&report);
    assert_eq!(desk.attempt(JOB, index), Some(attempt));
    // What it lacks has ended with the session.
    (report.session, report.seq, report.tasks) = (Session(3), Seq(4), vec![]);
    desk.beat(&report);
    assert_ne!(desk.attempt(JOB, index), Some(attempt));
}
