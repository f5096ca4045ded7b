//! The rules about jobs that need others. Each fault is put in past the
//! controllers, into a record that is otherwise in order, and is noticed.

use clap::Parser;
use hookworks::ids::{Attempt, Host, JobId, Session, TaskId, TaskIndex, Token, Zone};
use hookworks::wire::user::JobState;
use hookworks::wire::worker::{Command, Commands};
use hookworks_scale::judge::{Answer, Judge, Rule};
use hookworks_scale::layout::Layout;
use hookworks_scale::machine::{Context, Heartbeat, Machine};
use hookworks_scale::options::RunOptions;
use hookworks_scale::pipeline::{Pipeline, PipelineFigures, pipelines};
use hookworks_scale::place;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CANCEL_WITHIN: Duration = Duration::from_secs(50);
const FIRST: usize = 0;
const MIDDLE: usize = 1;
const LAST: usize = 2;

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

fn options() -> RunOptions {
    let arguments = "scale --pipelines 1 --pipeline-stages 3 --pipeline-fan-out 1 \
                     --pipeline-tasks 1 --pipeline-cancelled 0 --pipeline-late 0";
    Options::parse_from(arguments.split_whitespace()).run
}

/// A pipeline of three jobs with one task each, of which all were accepted.
struct Story {
    start: Instant,
    judge: Judge,
    pipeline: Pipeline,
}

impl Story {
    fn new() -> Story {
        let start = Instant::now();
        let pipeline = pipelines(&options()).remove(0);
        let mut story = Story {
            start,
            judge: Judge::new(start, CANCEL_WITHIN, HashMap::new()),
            pipeline,
        };
        for number in [FIRST, MIDDLE, LAST] {
            let plan = Arc::new(story.pipeline.jobs[number].clone());
            story.judge.submitted(start, plan);
            story.told(0, number, JobState::Queued);
        }
        story
    }

    fn at(&self, second: u64) -> Instant {
        self.start + Duration::from_secs(second)
    }

    fn job(&self, number: usize) -> JobId {
        self.pipeline.jobs[number].spec.id.clone()
    }

    fn task(&self, number: usize) -> TaskId {
        let job = self.job(number);
        TaskId {
            job,
            index: TaskIndex(0),
        }
    }

    fn told(&mut self, second: u64, number: usize, state: JobState) {
        let (at, job) = (self.at(second), self.job(number));
        self.judge.answered(at, at, &job, Answer::State(state));
    }

    fn cancelled(&mut self, second: u64, number: usize) {
        let job = self.job(number);
        self.judge.asked_to_cancel(&job);
        self.told(second, number, JobState::Cancelled);
    }

    fn started(&mut self, second: u64, number: usize) {
        let (at, task) = (self.at(second), self.task(number));
        let (host, zone) = (Host::from("n-1"), Zone::from("zone-00"));
        self.judge.started(at, &task, &host, &zone);
    }

    fn completed(&mut self, second: u64, number: usize) {
        let (at, task) = (self.at(second), self.task(number));
        self.judge.gone(at, &task, &Host::from("n-1"), true);
    }

    fn runs(&mut self, second: u64, number: usize) {
        self.started(second, number);
        self.completed(second + 1, number);
        self.told(second + 1, number, JobState::Done);
    }

    fn broken(&mut self, second: u64) -> Vec<Rule> {
        let at = self.at(second);
        self.judge.verdict(at).broken.into_keys().collect()
    }

    fn figures(&self, second: u64) -> PipelineFigures {
        let all = std::slice::from_ref(&self.pipeline);
        PipelineFigures::of(&self.judge, all, self.at(second))
    }
}

#[test]
fn jobs_that_start_one_after_the_other_break_nothing_and_are_done_by_the_deadline() {
    let mut s = Story::new();
    for number in [FIRST, MIDDLE, LAST] {
        s.runs(1 + 2 * number as u64, number);
    }
    assert_eq!(s.broken(200), []);
    let figures = s.figures(200);
    let counts = (figures.accepted, figures.due, figures.done_by_deadline);
    assert_eq!(counts, (1, 1, 1));
    assert_eq!((figures.cancelled, figures.jobs_unfinished), (0, 0));
}

#[test]
fn a_start_while_a_needed_job_is_not_done_is_too_early() {
    let mut s = Story::new();
    s.started(1, FIRST);
    s.started(2, MIDDLE);
    assert_eq!(s.broken(3), [Rule::TooEarly]);
}

#[test]
fn a_start_after_a_cancelled_job_is_too_early_even_if_its_tasks_have_completed() {
    let mut s = Story::new();
    s.started(1, FIRST);
    s.completed(2, FIRST);
    s.cancelled(2, FIRST);
    s.started(3, MIDDLE);
    assert_eq!(s.broken(4), [Rule::TooEarly]);
}

#[test]
fn a_command_past_the_controllers_is_noticed_as_too_early() {
    let mut s = Story::new();
    let heartbeat = Heartbeat {
        interval: Duration::from_secs(5),
        lease: Duration::from_secs(26),
    };
    let place = place(&Layout::new(&options()), 1, 0);
    let mut machine = Machine::new(place, heartbeat, s.start, s.start);
    let run = Command::Run {
        task: s.task(LAST),
        attempt: Attempt(1),
    };
    let orders = Commands {
        token: Token(1),
        session: Session(1),
        commands: vec![run],
    };
    let mut context = Context {
        now: s.start,
        judge: &mut s.judge,
    };
    assert!(machine.commanded(&mut context, &orders));
    context.now += Duration::from_secs(1);
    machine.pass_time(&mut context);
    assert_eq!(s.broken(2), [Rule::TooEarly]);
}

#[test]
fn jobs_cancelled_along_break_nothing_within_the_bound_and_are_counted() {
    let mut s = Story::new();
    s.runs(1, FIRST);
    s.cancelled(10, MIDDLE);
    s.told(59, LAST, JobState::Queued);
    s.told(61, LAST, JobState::Cancelled);
    assert_eq!(s.broken(100), []);
    let figures = s.figures(500);
    assert_eq!((figures.cancelled, figures.jobs_cancelled_along), (1, 1));
    // A cancelled pipeline counts neither as done nor as missed.
    assert_eq!((figures.due, figures.done_by_deadline), (0, 0));
}

#[test]
fn a_job_called_queued_or_running_after_the_bound_is_orphaned() {
    for (number, state) in [(MIDDLE, JobState::Queued), (LAST, JobState::Running)] {
        let mut s = Story::new();
        s.started(1, FIRST);
        s.completed(2, FIRST);
        s.cancelled(10, FIRST);
        s.told(60, number, state);
        assert_eq!(s.broken(60), []);
        s.told(61, number, state);
        assert_eq!(s.broken(62), [Rule::Orphaned], "{state:?}");
    }
}

#[test]
fn a_cancellation_answered_with_done_takes_nothing_along() {
    let mut s = Story::new();
    s.judge.asked_to_cancel(&s.job(FIRST));
    s.runs(1, FIRST);
    s.told(100, MIDDLE, JobState::Queued);
    assert_eq!(s.broken(101), []);
    s.told(102, MIDDLE, JobState::Cancelled);
    assert_eq!(s.broken(103), [Rule::WentBack]);
}

#[test]
fn a_refusal_is_in_order_only_while_a_needed_job_was_not_accepted() {
    let mut s = Story::new();
    s.runs(1, FIRST);
    let mut plan = s.pipeline.jobs[LAST].clone();
    plan.spec.id = JobId::from("job-777");
    plan.spec.dependencies.push(JobId::from("job-888"));
    let needed = plan.spec.dependencies.clone();
    for (needs, expected) in [
        (needed.clone(), vec![]),
        (needed[..1].to_vec(), vec![Rule::Forgotten]),
    ] {
        plan.spec.dependencies = needs;
        let at = s.at(20);
        s.judge.submitted(at, Arc::new(plan.clone()));
        s.judge.answered(at, at, &plan.spec.id, Answer::Refused);
        assert_eq!(s.broken(21), expected);
    }
}
