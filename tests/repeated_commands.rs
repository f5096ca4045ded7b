//! Direct calls that a worker has carried out and answered arrive there once more, after
//! their attempts were cleared.

mod world;

use hookworks::ids::*;
use hookworks::sched::{DirectResult, Event};
use hookworks::wire::peer::Request;
use hookworks::wire::state::{Change, Txn};
use hookworks::wire::user::JobKind;
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report};
use world::worker::Worker;
use world::{Ev, World, job};

const JOB: &str = "job-000001";
/// When the repetitions arrive, in seconds after the calls.
const DELAYS_S: [f64; 8] = [0.3, 1.0, 2.0, 4.0, 6.6, 10.0, 30.0, 100.0];
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

/// A small fleet whose direct calls all arrive once more, with jobs of a kind.
fn world_with_repetitions(seed: u64, after_s: f64, kind: JobKind) -> World {
    let mut world = World::new(seed, 3);
    world.repeated_calls.each_after_s = Some(after_s);
    world.run(2.0);
    for n in 0..9 {
        let team = if n % 2 == 0 { "red" } else { "blue" };
        world.submit_of(n, 2, team, kind);
        world.run(1.5);
    }
    world
}

fn hosts(world: &World) -> Vec<Host> {
    world.workers.keys().cloned().collect()
}

/// Plays the story once for each delay, and judges the rules.
fn assert_repetitions_start_nothing(kind: JobKind, story: impl Fn(&mut World)) {
    let mut arrived = 0;
    for (seed, after_s) in DELAYS_S.into_iter().enumerate() {
        let mut world = world_with_repetitions(seed as u64, after_s, kind);
        story(&mut world);
        world.run(120.0);
        let (broken, log) = (&world.broken, &world.log);
        assert!(broken.is_empty(), "after {after_s} s: {broken:#?}\n{log:?}");
        arrived += world.repeated_calls.arrived;
    }
    assert!(arrived > 20, "hardly any repetition arrived: {arrived}");
}

/// Every task on these machines fails for a while, so that it moves.
fn fail_tasks_for_a_while(world: &mut World) {
    for (n, host) in hosts(world).into_iter().enumerate() {
        let from = 4.0 * n as f64;
        world.at(from, Ev::Sick(host.clone(), true));
        world.at(from + 5.0, Ev::Sick(host, false));
    }
}

/// job-364308/8 of the incident.
#[test]
fn a_repeated_start_does_not_run_a_task_that_was_moved_since() {
    assert_repetitions_start_nothing(JobKind::Array, fail_tasks_for_a_while);
}

#[test]
fn a_repeated_start_does_not_run_a_task_that_was_cancelled_since() {
    assert_repetitions_start_nothing(JobKind::Array, |world| {
        for n in 0..9 {
            let cancel = Request::Cancel(format!("job-{n:06}"));
            world.at(0.7 * n as f64, Ev::User(cancel));
        }
    });
}

#[test]
fn a_repeated_start_does_not_run_a_task_that_is_done() {
    assert_repetitions_start_nothing(JobKind::Array, |world| world.run_s = 3.0);
}

#[test]
fn a_repeated_start_does_not_run_members_of_a_gang_that_moved() {
    assert_repetitions_start_nothing(JobKind::Gang, fail_tasks_for_a_while);
}

#[test]
fn a_repeated_start_runs_nothing_after_the_leader_came_back_in_300_ms() {
    assert_repetitions_start_nothing(JobKind::Array, |world| {
        fail_tasks_for_a_while(world);
        for round in 0..5 {
            let led = world.leader().unwrap_or(0);
            let at = 0.1 + 5.0 * round as f64;
            world.at(at, Ev::Kill(led));
            world.at(at + 0.3, Ev::Restart(led));
        }
    });
}

#[test]
fn a_repeated_start_runs_nothing_after_its_machine_came_back_in_a_next_session() {
    assert_repetitions_start_nothing(JobKind::Array, |world| {
        for (n, host) in hosts(world).into_iter().enumerate() {
            world.at(0.3 + 1.3 * n as f64, Ev::Reborn(host));
        }
    });
}

/// Starts task 0 of the job by this direct call.
fn started_by_call(desk: &mut Desk) -> (Commands, Attempt) {
    desk.beat(&report(1, 1, Token(0)));
    desk.submit(&job(1, 1));
    let attempt = desk.attempt(JOB, 0).expect("placed");
    let (call, host, commands) = desk.direct().remove(0);
    let mut shows = report(1, 2, commands.token);
    shows.tasks = vec![world::desk::task(JOB, 0, attempt, TaskState::Fetching)];
    let shows = DirectResult::Done(Box::new(shows));
    desk.event(Event::Direct(call, host, shows));
    (commands, attempt)
}

/// The answer that clears the attempt, once its end is stored.
fn cleared(desk: &mut Desk, token: Token, attempt: TaskReport) -> ReportResponse {
    desk.refuses = true;
    let mut shows = report(1, 3, token);
    shows.tasks = vec![attempt];
    for seq in 3..6 {
        shows.seq = Seq(seq);
        let answer = desk.beat(&shows).expect("answered");
        if answer.commands.iter().any(Command::is_clear) {
            return answer;
        }
    }
    panic!("not cleared: {shows:?}");
}

#[test]
fn an_answer_that_clears_an_attempt_puts_its_start_out_of_force() {
    for cause in ALL_CAUSES {
        let mut desk = Desk::new(5);
        let (start, attempt) = started_by_call(&mut desk);
        let answer = cleared(&mut desk, start.token, ended(JOB, 0, attempt, cause));
        assert!(
            answer.token > start.token,
            "{cause:?}: the start is valid still"
        );
    }
}

#[test]
fn a_direct_call_that_clears_an_attempt_puts_its_start_out_of_force() {
    let mut desk = Desk::new(5);
    let (start, attempt) = started_by_call(&mut desk);
    let mut cleared_under = None;
    // Clears go along with starts; each call shows the first attempt as ended.
    for n in 2..6 {
        desk.submit(&job(n, 1));
        for (call, host, commands) in desk.direct() {
            if commands.commands.iter().any(Command::is_clear) {
                cleared_under.get_or_insert(commands.token);
            }
            let mut shows = report(1, n + 1, commands.token);
            shows.tasks = vec![ended(JOB, 0, attempt, Cause::Done)];
            let shows = DirectResult::Done(Box::new(shows));
            desk.event(Event::Direct(call, host, shows));
        }
    }
    let cleared_under = cleared_under.expect("a call cleared it");
    assert!(cleared_under > start.token, "the start is valid still");
}

/// The start was told in an answer that is still on its way when a direct call repeats it.
#[test]
fn an_answer_under_way_starts_no_attempt_that_was_cleared_since() {
    let mut desk = Desk::new(5);
    desk.beat(&report(1, 1, Token(0)));
    desk.refuses = true;
    desk.submit(&job(1, 1));
    let attempt = desk.attempt(JOB, 0).expect("placed");
    let under_way = desk.beat(&report(1, 2, Token(0))).expect("answered");
    assert!(matches!(under_way.commands[..], [Command::Run { .. }]));
    let failed = ended(JOB, 0, attempt, Cause::Error);
    let clears = cleared(&mut desk, under_way.token, failed);
    assert!(clears.token > under_way.token);
}

/// What no controller can exclude until the start has been cleared: such a worker knows
/// neither token nor session of before.
#[test]
fn a_worker_that_begins_again_at_session_1_without_a_token_takes_a_repeated_start() {
    let mut desk = Desk::new(5);
    let (start, attempt) = started_by_call(&mut desk);
    let specs = [(JobId::from(JOB), job(1, 1))].into_iter().collect();
    let begin_again = || {
        let mut worker = Worker::new("n-000001".into(), "a".into(), false, 0);
        worker.up = true;
        worker
    };
    let mut unaware = begin_again();
    let answer = unaware.direct(1, start.clone(), &specs, 15.0);
    assert!(answer.is_ok() && unaware.runs.len() == 1);
    let clears = cleared(&mut desk, start.token, ended(JOB, 0, attempt, Cause::Error));
    let mut answered = begin_again();
    answered.answered(1, 0, clears, &specs, 15.0);
    let answer = answered.direct(2, start, &specs, 15.0);
    assert!(answer.is_err() && answered.runs.is_empty());
}

/// The checker itself: a transaction without a condition is applied each time.
#[test]
fn a_repeated_transaction_that_is_applied_again_is_noticed() {
    let mut world = World::new(1, 3);
    let value = serde_json::json!({});
    let change = Change::Put {
        key: "some/record".into(),
        value,
        lease: None,
    };
    let unconditional = Txn {
        conditions: vec![],
        changes: vec![change],
    };
    world.at(0.0, Ev::RepeatedTxn(0, unconditional));
    world.run(0.1);
    assert!(world.broken.iter().any(|b| b.contains("applied_again")));
}
