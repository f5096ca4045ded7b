//! A hollow worker does what the protocol says a worker does.

use clap::Parser;
use hookworks::ids::{Attempt, JobId, Session, TaskId, TaskIndex, Token};
use hookworks::wire::worker::{Cause, Command, Commands, Report, ReportResponse, TaskState};
use hookworks_scale::judge::{Judge, Rule};
use hookworks_scale::layout::Layout;
use hookworks_scale::machine::{Context, Heartbeat, Machine};
use hookworks_scale::options::RunOptions;
use hookworks_scale::place;
use hookworks_scale::workload;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

struct Story {
    start: Instant,
    judge: Judge,
    machine: Machine,
    job: JobId,
}

impl Story {
    fn new() -> Story {
        let o = Options::parse_from(["scale", "--urgent", "0", "--run-s", "10"]).run;
        let start = Instant::now();
        let mut judge = Judge::new(start, Duration::from_secs(50), HashMap::new());
        let plan = workload::plans(&o).remove(0);
        let job = plan.spec.id.clone();
        judge.submitted(start, Arc::new(plan));
        let heartbeat = Heartbeat {
            interval: Duration::from_secs(5),
            lease: Duration::from_secs(26),
        };
        let machine = Machine::new(place(&Layout::new(&o), 1, 0), heartbeat, start, start);
        Story {
            start,
            judge,
            machine,
            job,
        }
    }

    fn order(&mut self, second: u64, token: u64, orders: Vec<Command>) -> bool {
        let now = self.start + Duration::from_secs(second);
        let orders = Commands {
            token: Token(token),
            session: Session(1),
            commands: orders,
        };
        let mut context = Context {
            now,
            judge: &mut self.judge,
        };
        self.machine.commanded(&mut context, &orders)
    }

    fn run(&self, number: u32) -> Command {
        Command::Run {
            task: self.task(number),
            attempt: Attempt(1),
        }
    }

    fn task(&self, number: u32) -> TaskId {
        TaskId {
            job: self.job.clone(),
            index: TaskIndex(number),
        }
    }

    fn at(&mut self, second: u64) -> Report {
        let now = self.start + Duration::from_secs(second);
        self.machine.pass_time(&mut Context {
            now,
            judge: &mut self.judge,
        });
        self.machine.report()
    }
}

#[test]
fn a_task_fetches_runs_ends_and_is_cleared() {
    let mut s = Story::new();
    let run = s.run(0);
    assert!(s.order(0, 1, vec![run.clone(), run]));
    assert_eq!(s.at(0).tasks[0].state, TaskState::Fetching);
    assert_eq!(s.at(1).tasks[0].state, TaskState::Running);
    let ended = s.at(15);
    assert_eq!(ended.tasks.len(), 1);
    assert_eq!(ended.tasks[0].cause, Some(Cause::Done));
    let clear = Command::Clear {
        task: s.task(0),
        attempt: Attempt(1),
    };
    s.order(16, 1, vec![clear]);
    assert!(s.at(16).tasks.is_empty());
}

#[test]
fn a_start_beyond_the_machine_or_of_no_job_is_refused() {
    let mut s = Story::new();
    let runs = (0..9).map(|n| s.run(n)).collect();
    s.order(0, 1, runs);
    assert_eq!(s.at(0).tasks[8].cause, Some(Cause::NoRoom));
    let task = TaskId {
        job: JobId::from("job-99"),
        index: TaskIndex(0),
    };
    s.order(
        0,
        1,
        vec![Command::Run {
            task,
            attempt: Attempt(1),
        }],
    );
    assert_eq!(s.at(0).tasks[9].cause, Some(Cause::Unknown));
}

#[test]
fn an_answer_with_a_lower_token_is_dropped_and_renews_nothing() {
    let mut s = Story::new();
    let run = s.run(0);
    s.order(0, 7, vec![run.clone()]);
    assert!(!s.order(1, 6, vec![s.run(1)]));
    let (_, sent) = s
        .machine
        .begin_report(s.start + Duration::from_secs(20), 0.5);
    let old = ReportResponse {
        token: Token(6),
        commands: vec![s.run(1)],
    };
    let now = s.start + Duration::from_secs(20);
    s.machine.answered(
        &mut Context {
            now,
            judge: &mut s.judge,
        },
        sent,
        &old,
    );
    assert_eq!(s.at(20).tasks.len(), 1);
    // The lease of 26 s counts from the beginning: it was never renewed.
    let after = s.at(27);
    assert_eq!((after.session, after.tasks.len()), (Session(2), 0));
}

#[test]
fn a_repeated_start_after_its_clear_is_noticed_unless_the_token_is_larger() {
    for (clear_token, broken) in [(1, vec![Rule::StartedAgain]), (2, vec![])] {
        let mut s = Story::new();
        let run = s.run(0);
        s.order(0, 1, vec![run.clone()]);
        s.at(1);
        s.at(15);
        let clear = Command::Clear {
            task: s.task(0),
            attempt: Attempt(1),
        };
        s.order(16, clear_token, vec![clear]);
        let now = s.start + Duration::from_secs(17);
        let repeated = Commands {
            token: Token(1),
            session: Session(1),
            commands: vec![run],
        };
        let judge = &mut s.judge;
        s.machine
            .commanded_again(&mut Context { now, judge }, &repeated);
        let verdict = s.judge.verdict(now);
        let rules: Vec<Rule> = verdict.broken.keys().copied().collect();
        assert_eq!(rules, broken, "cleared under token {clear_token}");
    }
}
