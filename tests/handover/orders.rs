//! What leaves for a machine while a report of it, or a cancellation, is being taken.

use crate::world::desk::{Desk, report, task};
use crate::world::job;
use hookworks::ids::*;
use hookworks::sched::{DirectResult, Event};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use hookworks::wire::worker::*;

const FIRST: &str = "job-000001";
const LATER: &str = "job-000002";

/// Attempts that direct commands under way tell to run.
fn runs(d: &mut Desk) -> Vec<(TaskId, Attempt)> {
    let orders = d.direct().into_iter().flat_map(|(_, _, o)| o.commands);
    let run = |o| match o {
        Command::Run { task, attempt } => Some((task, attempt)),
        _ => None,
    };
    orders.filter_map(run).collect()
}

/// The tasks of `id` are told to run directly, and are seen to run.
fn begins(d: &mut Desk, id: &str, tasks: u32, seq: u64) -> Vec<TaskReport> {
    let (call, host, _) = d.direct().pop().expect("a direct command");
    let run = |ix| task(id, ix, d.attempt(id, ix).unwrap(), TaskState::Running);
    let shown: Vec<_> = (0..tasks).map(run).collect();
    let r = Report {
        tasks: shown.clone(),
        ..report(1, seq, Token(0))
    };
    d.event(Event::Direct(call, host, DirectResult::Done(Box::new(r))));
    shown
}

/// One task more, which the answer to a report tells to run; whether that arrives is
/// not known, and a direct command may leave again.
fn told_in_an_answer(d: &mut Desk, shown: &[TaskReport], j: &str, ix: u32) -> Attempt {
    let told = d.attempt(j, ix).expect("placed");
    let r = Report {
        tasks: shown.to_vec(),
        ..report(1, 10, Token(0))
    };
    let orders = d.beat(&r).expect("an answer").commands;
    let run = |o: &Command| matches!(o, Command::Run { attempt, .. } if *attempt == told);
    assert!(orders.iter().any(run), "{orders:?}");
    d.refuses = false;
    // Longer than a refused call keeps others back, shorter than its report counts.
    d.wait(4.25);
    assert_eq!(runs(d), []);
    told
}

/// A machine's next session shows that all it had is gone. One member of its gang
/// stopped the other at once, and that command told a task to run that the same
/// report proved gone: it was placed anew elsewhere, and ran twice.
#[test]
fn nothing_that_a_report_proves_gone_is_told_to_run_while_it_is_taken() {
    let mut d = Desk::set_up(5, vec![], |c| c.teams[0].cpus_max = 99.0);
    d.beat(&report(1, 1, Token(0)));
    let mut gang = job(1, 2);
    gang.kind = JobKind::Gang;
    d.submit(&gang);
    let shown = begins(&mut d, FIRST, 2, 5);
    d.refuses = true;
    d.submit(&job(2, 1));
    let told = told_in_an_answer(&mut d, &shown, LATER, 0);
    d.beat(&Report {
        session: Session(2),
        ..report(1, 11, Token(0))
    });
    assert_ne!(d.attempt(LATER, 0), Some(told), "not taken for gone");
    let under_way = runs(&mut d);
    assert!(under_way.iter().all(|r| r.1 != told), "{under_way:?}");
}

/// A cancelled job's first task that was stopped took a `run` along for the next one,
/// which could begin after its user had been told.
#[test]
fn a_cancellation_tells_no_task_of_its_job_to_run() {
    let mut d = Desk::new(5);
    d.beat(&report(1, 1, Token(0)));
    d.refuses = true;
    d.submit(&job(1, 2));
    let told = told_in_an_answer(&mut d, &[], FIRST, 1);
    d.ask(Request::Cancel(FIRST.into()));
    let under_way = runs(&mut d);
    assert!(under_way.iter().all(|r| r.1 != told), "{under_way:?}");
}
