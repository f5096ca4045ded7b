//! Commands sent to a machine while its heartbeat, or a cancellation, is being handled.

use crate::world::desk::{Desk, report, task};
use crate::world::job;
use hookworks::ids::*;
use hookworks::sched::{DirectResult, Event};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use hookworks::wire::worker::*;

const FIRST: &str = "job-000001";
const LATER: &str = "job-000002";

/// The attempts that direct calls in flight start.
fn attempts_started(desk: &mut Desk) -> Vec<(TaskId, Attempt)> {
    let orders = desk.direct().into_iter().flat_map(|(_, _, o)| o.commands);
    let run = |o| match o {
        Command::Run { task, attempt } => Some((task, attempt)),
        _ => None,
    };
    orders.filter_map(run).collect()
}

/// Answers the direct call that starts the tasks of `id`, and reports them as running.
fn confirm_start(desk: &mut Desk, id: &str, tasks: u32, seq: u64) -> Vec<TaskReport> {
    let (call, host, _) = desk.direct().pop().expect("a direct call");
    let run = |ix| task(id, ix, desk.attempt(id, ix).unwrap(), TaskState::Running);
    let reported: Vec<_> = (0..tasks).map(run).collect();
    let heartbeat = Report {
        tasks: reported.clone(),
        ..report(1, seq, Token(0))
    };
    desk.event(Event::Direct(
        call,
        host,
        DirectResult::Done(Box::new(heartbeat)),
    ));
    reported
}

/// Starts one more task by the answer to a heartbeat. Whether that answer arrives is
/// unknown, and direct calls are possible again.
fn start_in_heartbeat_answer(
    desk: &mut Desk,
    reported: &[TaskReport],
    job_id: &str,
    ix: u32,
) -> Attempt {
    let attempt_sent = desk.attempt(job_id, ix).expect("placed");
    let heartbeat = Report {
        tasks: reported.to_vec(),
        ..report(1, 10, Token(0))
    };
    let orders = desk.beat(&heartbeat).expect("an answer").commands;
    let run = |o: &Command| matches!(o, Command::Run { attempt, .. } if *attempt == attempt_sent);
    assert!(orders.iter().any(run), "{orders:?}");
    desk.refuses = false;
    // Longer than a refused call delays the next one, shorter than the heartbeat is valid.
    desk.wait(4.25);
    assert_eq!(attempts_started(desk), []);
    attempt_sent
}

/// Guards against a task that runs twice: a machine's new session proves that all its
/// tasks are gone. The first lost gang member stopped the other one at once, and that
/// command also started a task that the same heartbeat proved gone and that was then
/// placed elsewhere.
#[test]
fn attempts_that_a_heartbeat_proves_gone_are_not_started_meanwhile() {
    let mut desk = Desk::set_up(5, vec![], |c| c.teams[0].cpus_max = 99.0);
    desk.beat(&report(1, 1, Token(0)));
    let mut gang = job(1, 2);
    gang.kind = JobKind::Gang;
    desk.submit(&gang);
    let reported = confirm_start(&mut desk, FIRST, 2, 5);
    desk.refuses = true;
    desk.submit(&job(2, 1));
    let attempt_sent = start_in_heartbeat_answer(&mut desk, &reported, LATER, 0);
    desk.beat(&Report {
        session: Session(2),
        ..report(1, 11, Token(0))
    });
    assert_ne!(
        desk.attempt(LATER, 0),
        Some(attempt_sent),
        "attempt not recognized as gone"
    );
    let in_flight = attempts_started(&mut desk);
    assert!(
        in_flight.iter().all(|r| r.1 != attempt_sent),
        "{in_flight:?}"
    );
}

/// Guards against a start after a confirmed cancellation: the command that stopped the
/// first task of a cancelled job also carried a `run` for the next one.
#[test]
fn cancellation_starts_no_task_of_its_job() {
    let mut desk = Desk::new(5);
    desk.beat(&report(1, 1, Token(0)));
    desk.refuses = true;
    desk.submit(&job(1, 2));
    let attempt_sent = start_in_heartbeat_answer(&mut desk, &[], FIRST, 1);
    desk.ask(Request::Cancel(FIRST.into()));
    let in_flight = attempts_started(&mut desk);
    assert!(
        in_flight.iter().all(|r| r.1 != attempt_sent),
        "{in_flight:?}"
    );
}
