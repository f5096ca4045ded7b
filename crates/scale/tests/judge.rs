//! Each rule, broken by a record that is otherwise in order, is judged as broken;
//! the record in order is not.

use clap::Parser;
use hookworks::ids::{Host, JobId, TaskId, TaskIndex, Team, Zone};
use hookworks::wire::user::JobState;
use hookworks_scale::judge::{Answer, Judge, Rule};
use hookworks_scale::options::RunOptions;
use hookworks_scale::workload::{self, Plan};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CANCEL_WITHIN: Duration = Duration::from_secs(50);

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

/// A record with one job of two tasks; the team's limit is three processors.
struct Story {
    start: Instant,
    judge: Judge,
    job: JobId,
}

impl Story {
    fn new() -> Story {
        let options =
            Options::parse_from(["scale", "--teams", "1", "--job-tasks", "2", "--urgent", "0"]);
        let plan = workload::plans(&options.run).remove(0);
        Story::with(plan)
    }

    fn with(plan: Plan) -> Story {
        let start = Instant::now();
        let limits: HashMap<Team, f64> = [(workload::team(0), 3.0)].into();
        let mut judge = Judge::new(start, CANCEL_WITHIN, limits);
        let job = plan.spec.id.clone();
        judge.submitted(start, Arc::new(plan));
        let mut story = Story { start, judge, job };
        story.told(0, Answer::State(JobState::Queued));
        story
    }

    fn at(&self, second: u64) -> Instant {
        self.start + Duration::from_secs(second)
    }

    fn task(&self, number: u32) -> TaskId {
        TaskId {
            job: self.job.clone(),
            index: TaskIndex(number),
        }
    }

    fn told(&mut self, second: u64, told: Answer) {
        let at = self.at(second);
        self.judge.answered(at, at, &self.job.clone(), told);
    }

    fn started(&mut self, second: u64, task: u32, host: &str) {
        let (at, task) = (self.at(second), self.task(task));
        self.judge
            .started(at, &task, &Host::from(host), &Zone::from("zone-00"));
    }

    fn gone(&mut self, second: u64, task: u32, host: &str, done: bool) {
        let (at, task) = (self.at(second), self.task(task));
        self.judge.gone(at, &task, &Host::from(host), done);
    }

    fn broken(&mut self, second: u64) -> Vec<Rule> {
        let at = self.at(second);
        self.judge.verdict(at).broken.into_keys().collect()
    }
}

#[test]
fn a_job_that_runs_and_is_called_done_breaks_nothing() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.started(1, 1, "n-1");
    s.gone(5, 0, "n-1", false);
    s.started(6, 0, "n-2");
    s.gone(9, 0, "n-2", true);
    s.gone(9, 1, "n-1", true);
    s.told(10, Answer::State(JobState::Done));
    s.told(20, Answer::State(JobState::Done));
    assert_eq!(s.broken(100), []);
}

#[test]
fn a_start_while_the_task_is_elsewhere_is_ran_twice() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.started(2, 0, "n-2");
    assert_eq!(s.broken(3), [Rule::RanTwice]);
}

#[test]
fn a_team_over_its_limit_breaks_the_quota() {
    let mut s = Story::new();
    let mut plan = (*s.judge.plan(&s.job).unwrap()).clone();
    plan.spec.cpus = 2.0;
    s = Story::with(plan);
    s.started(1, 0, "n-1");
    assert_eq!(s.broken(1), []);
    s.started(1, 1, "n-2");
    assert_eq!(s.broken(2), [Rule::Quota]);
}

#[test]
fn a_start_in_a_zone_that_the_job_does_not_allow_is_the_wrong_place() {
    let mut s = Story::new();
    let mut plan = (*s.judge.plan(&s.job).unwrap()).clone();
    plan.spec.zone = Some(Zone::from("zone-01"));
    s = Story::with(plan);
    s.started(1, 0, "n-1");
    assert_eq!(s.broken(2), [Rule::WrongPlace]);
}

#[test]
fn a_task_on_a_machine_after_the_bound_ran_cancelled() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.judge.asked_to_cancel(&s.job.clone());
    s.told(10, Answer::State(JobState::Cancelled));
    assert_eq!(s.broken(59), []);
    assert_eq!(s.broken(61), [Rule::RanCancelled]);
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.gone(2, 0, "n-1", false);
    s.judge.asked_to_cancel(&s.job.clone());
    s.told(10, Answer::State(JobState::Cancelled));
    s.started(62, 1, "n-1");
    assert_eq!(s.broken(62), [Rule::RanCancelled]);
}

#[test]
fn an_accepted_job_that_is_not_found_or_refused_is_forgotten() {
    for told in [Answer::NotFound, Answer::Refused] {
        let mut s = Story::new();
        s.started(1, 0, "n-1");
        s.told(5, told);
        assert_eq!(s.broken(6), [Rule::Forgotten], "{told:?}");
    }
}

#[test]
fn an_accepted_job_without_an_answer_for_75_s_is_forgotten() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    for second in 1..20 {
        s.told(second, Answer::State(JobState::Running));
    }
    s.told(30, Answer::Missing);
    s.told(90, Answer::Missing);
    assert_eq!(s.broken(94), []);
    assert_eq!(s.broken(95), [Rule::Forgotten]);
}

#[test]
fn a_service_that_answers_nobody_forgets_though_most_questions_fail() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    for second in 1..20 {
        s.told(5 * second, Answer::Missing);
    }
    assert_eq!(s.broken(75), []);
    assert_eq!(s.broken(76), [Rule::Forgotten]);
}

#[test]
fn one_job_in_twenty_without_an_answer_is_forgotten() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    let template = s.judge.plan(&s.job).unwrap();
    let others = (1..20).map(|number| JobId::from(format!("job-{number:06}").as_str()));
    let others: Vec<JobId> = others.collect();
    for id in &others {
        let mut plan = (*template).clone();
        plan.spec.id = id.clone();
        s.judge.submitted(s.start, Arc::new(plan));
    }
    for second in 1..20 {
        let at = s.at(5 * second);
        s.told(5 * second, Answer::Missing);
        for id in &others {
            s.judge
                .answered(at, at, id, Answer::State(JobState::Queued));
        }
    }
    let at = s.at(96);
    let verdict = s.judge.verdict(at);
    assert_eq!(verdict.broken.get(&Rule::Forgotten), Some(&1));
}

#[test]
fn silence_counts_from_the_end_of_the_last_trouble() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.judge.trouble_began();
    s.told(5, Answer::Missing);
    s.told(100, Answer::Missing);
    assert_eq!(s.broken(100), []);
    let over = s.at(110);
    s.judge.trouble_ended(over);
    s.told(120, Answer::Missing);
    assert_eq!(s.broken(185), []);
    assert_eq!(s.broken(186), [Rule::Forgotten]);
}

#[test]
fn a_finished_job_is_forgotten_75_s_after_the_first_question_without_an_answer() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.started(1, 1, "n-1");
    s.gone(9, 0, "n-1", true);
    s.gone(9, 1, "n-1", true);
    s.told(10, Answer::State(JobState::Done));
    s.told(200, Answer::Missing);
    assert_eq!(s.broken(275), []);
    assert_eq!(s.broken(276), [Rule::Forgotten]);
}

#[test]
fn a_final_state_that_changes_went_back_but_an_answer_asked_before_may_be_older() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.gone(1, 0, "n-1", false);
    s.judge.asked_to_cancel(&s.job.clone());
    s.told(10, Answer::State(JobState::Cancelled));
    let (asked, now) = (s.at(9), s.at(11));
    let job = s.job.clone();
    s.judge
        .answered(asked, now, &job, Answer::State(JobState::Running));
    assert_eq!(s.broken(12), []);
    s.told(12, Answer::State(JobState::Running));
    assert_eq!(s.broken(13), [Rule::WentBack]);
}

#[test]
fn a_cancellation_that_nobody_asked_for_went_back() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.gone(1, 0, "n-1", false);
    s.told(10, Answer::State(JobState::Cancelled));
    assert_eq!(s.broken(12), [Rule::WentBack]);
}

#[test]
fn done_before_the_last_task_is_not_done() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    s.gone(5, 0, "n-1", true);
    s.told(6, Answer::State(JobState::Done));
    assert_eq!(s.broken(7), [Rule::NotDone]);
}

#[test]
fn an_answer_for_a_job_that_nobody_submitted_is_invented() {
    let mut s = Story::new();
    s.started(1, 0, "n-1");
    let (at, stray) = (s.at(2), JobId::from("job-999"));
    s.judge.answered(at, at, &stray, Answer::NotFound);
    assert_eq!(s.broken(3), []);
    s.judge
        .answered(at, at, &stray, Answer::State(JobState::Queued));
    assert_eq!(s.broken(3), [Rule::Invented]);
}

#[test]
fn a_run_without_a_start_is_nothing_ran() {
    assert_eq!(Story::new().broken(9), [Rule::NothingRan]);
}
