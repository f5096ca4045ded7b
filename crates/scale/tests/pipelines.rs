//! Pipelines as they are drawn, and in which order their users submit them.

use clap::Parser;
use hookworks::ids::JobId;
use hookworks_scale::options::RunOptions;
use hookworks_scale::pipeline::{Pipeline, Progress, pipelines};
use hookworks_scale::workload::{self, Plan};
use std::collections::HashSet;
use std::sync::Arc;

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

fn drawn(arguments: &str) -> (RunOptions, Vec<Pipeline>) {
    let all = ["scale"].into_iter().chain(arguments.split_whitespace());
    let options = Options::parse_from(all).run;
    let pipelines = pipelines(&options);
    (options, pipelines)
}

fn ids(plans: &[Arc<Plan>]) -> Vec<JobId> {
    plans.iter().map(|p| p.spec.id.clone()).collect()
}

#[test]
fn each_job_needs_earlier_ones_and_is_needed_by_a_later_one() {
    let shape = "--pipelines 2 --pipeline-stages 5 --pipeline-fan-out 4";
    let (options, all) = drawn(shape);
    assert!(options.check_ranges().is_ok() && all.len() > 20);
    let mut seen = HashSet::new();
    for pipeline in &all {
        assert_eq!(pipeline.jobs.len(), 1 + 3 * 4 + 1);
        let mut before = HashSet::new();
        for (number, plan) in pipeline.jobs.iter().enumerate() {
            assert_eq!(plan.spec.dependencies.is_empty(), number == 0);
            assert!(
                plan.spec
                    .dependencies
                    .iter()
                    .all(|need| before.contains(need))
            );
            assert!(seen.insert(plan.spec.id.clone()), "an id comes twice");
            before.insert(plan.spec.id.clone());
            let is_last = number + 1 == pipeline.jobs.len();
            assert_eq!(plan.spec.deadline_s.is_some(), is_last);
            let needed = pipeline
                .jobs
                .iter()
                .any(|p| p.spec.dependencies.contains(&plan.spec.id));
            assert!(needed || is_last);
        }
    }
    let cancelled = |p: &&Pipeline| p.jobs.iter().any(|j| j.cancel_after.is_some());
    let cancelled = all.iter().filter(cancelled).count();
    assert!(cancelled > 0 && cancelled < all.len() / 2, "{cancelled}");
}

#[test]
fn pipelines_are_in_the_submission_and_leave_other_jobs_as_they_were() {
    let (options, all) = drawn("--pipelines 1");
    let plan = &all[0].jobs[1];
    let body: serde_json::Value = serde_json::from_slice(&plan.submission()).unwrap();
    assert_eq!(body["Awaits"], serde_json::json!(plan.spec.dependencies));
    assert_eq!(body["Id"], serde_json::json!(plan.spec.id));
    let (without, none) = drawn("");
    assert!(none.is_empty());
    let (with, without) = (workload::plans(&options), workload::plans(&without));
    let bodies = |plans: &[Plan]| plans.iter().map(Plan::submission).collect::<Vec<_>>();
    assert_eq!(bodies(&with), bodies(&without));
    let loose: serde_json::Value = serde_json::from_slice(&with[0].submission()).unwrap();
    assert_eq!(loose.get("Awaits"), None);
}

#[test]
fn a_job_is_submitted_once_all_that_it_needs_is_accepted() {
    let shape = "--pipelines 1 --pipeline-stages 3 --pipeline-fan-out 2 --pipeline-late 0";
    let pipeline = drawn(shape).1.remove(0);
    let jobs: Vec<JobId> = pipeline.jobs.iter().map(|p| p.spec.id.clone()).collect();
    let mut progress = Progress::new(pipeline).unwrap();
    assert_eq!(ids(&progress.take_ready()), jobs[..1]);
    assert_eq!(ids(&progress.accepted(&jobs[0])), jobs[1..3]);
    assert_eq!(ids(&progress.accepted(&jobs[1])), []);
    assert_eq!(ids(&progress.accepted(&jobs[2])), jobs[3..]);
    assert_eq!(ids(&progress.take_ready()), []);
}

#[test]
fn a_late_last_job_is_submitted_when_all_others_are_over() {
    let shape = "--pipelines 1 --pipeline-stages 3 --pipeline-fan-out 1 --pipeline-late 1";
    let pipeline = drawn(shape).1.remove(0);
    let jobs: Vec<JobId> = pipeline.jobs.iter().map(|p| p.spec.id.clone()).collect();
    let mut progress = Progress::new(pipeline).unwrap();
    progress.take_ready();
    assert_eq!(ids(&progress.accepted(&jobs[0])), jobs[1..2]);
    assert_eq!(ids(&progress.accepted(&jobs[1])), []);
    assert_eq!(ids(&progress.over(&jobs[0])), []);
    assert_eq!(ids(&progress.over(&jobs[1])), jobs[2..]);
}
