//! A machine takes no more tasks than its worker's report can list, and than the commands of
//! one message can end.

mod world;

use hookworks::ids::*;
use hookworks::sched::Event;
use hookworks::wire::cloud::MachineType;
use hookworks::wire::user::{JobKind, JobSpec};
use hookworks::wire::worker::{Cause, Report, TaskReport, TaskState};
use std::collections::BTreeMap;
use world::desk::{Desk, report};
use world::job;

/// The most bytes of the body of a request or of a line of an answer.
const MAX_BODY: usize = 64 * 1024;

fn large_machine() -> MachineType {
    let mut flavor = world::flavor();
    (flavor.cpus, flavor.memory_gb) = (96.0, 768.0);
    flavor
}

fn desk(machines: u32) -> Desk {
    let mut d = Desk::set_up(2, vec![], |cfg| {
        for t in &mut cfg.teams {
            (t.cpus, t.cpus_max) = (1e6, 1e6);
        }
    });
    d.event(Event::MachineTypes(vec![large_machine()]));
    for n in 1..=machines {
        d.beat(&report(n, 1, Token(0)));
    }
    d
}

fn tiny(id: &str, tasks: u32) -> JobSpec {
    let mut spec = job(1, tasks);
    spec.id = id.into();
    (spec.cpus, spec.memory_gb) = (0.03, 0.1);
    spec
}

/// The report of a worker with these tasks, in their longest state.
fn full_report(d: &Desk, host: &Host, seq: u64, cause: Cause, kept: bool) -> Report {
    let mut r = report(1, seq, Token(0));
    let tasks = d.s.jobs.values().flat_map(|j| {
        let here = j.active.iter().filter(|(_, a)| a.host == *host);
        here.map(|(ix, a)| (j.id().clone(), *ix, a.attempt))
    });
    r.host = host.clone();
    r.tasks = tasks
        .map(|(job, index, attempt)| TaskReport {
            task: TaskId { job, index },
            attempt,
            state: TaskState::Ended,
            cause: Some(cause),
            kept,
        })
        .collect();
    r
}

/// The text of a report as workers send it: false is left out.
fn body(report: &Report) -> String {
    let text = serde_json::to_string(report).unwrap();
    text.replace(",\"Kept\":false", "")
}

fn tasks_by_host(d: &Desk) -> BTreeMap<Host, usize> {
    let mut tasks = BTreeMap::new();
    for active in d.s.jobs.values().flat_map(|j| j.active.values()) {
        *tasks.entry(active.host.clone()).or_default() += 1;
    }
    tasks
}

/// Guards against a worker whose report is too large to be taken, so that its lease runs
/// out with all tasks on its machine (review, case 3).
#[test]
fn a_machine_takes_no_more_tasks_than_a_report_can_list() {
    let long_id = format!("job-{}", "7".repeat(60));
    for (id, kind, cause, kept) in [
        ("job-000002", JobKind::Array, Cause::Stopped, false),
        (&long_id, JobKind::Array, Cause::Stopped, true),
        (&long_id, JobKind::Service, Cause::Unknown, false),
        (&long_id, JobKind::Gang, Cause::PeersGone, true),
    ] {
        let mut d = desk(4);
        let mut spec = tiny(id, 1400);
        spec.kind = kind;
        spec.checkpoint_s = if kept { 10.0 } else { 0.0 };
        d.submit(&spec);
        d.wait(20.0);
        let placed = tasks_by_host(&d);
        assert_eq!(
            placed.values().sum::<usize>(),
            1400,
            "{kind:?}: on several machines"
        );
        for (host, tasks) in &placed {
            let bytes = body(&full_report(&d, host, 99, cause, kept)).len();
            assert!(bytes < MAX_BODY, "{tasks} tasks, {bytes} bytes");
        }
        if id == "job-000002" {
            let most = placed.values().max().copied().unwrap_or(0);
            assert!(most >= 700, "{most} tasks: the room of a machine is used");
        }
    }
}

/// Guards against tasks that are placed while those that ended are still listed.
#[test]
fn tasks_that_ended_count_until_they_are_cleared() {
    let mut d = desk(1);
    let host = report(1, 1, Token(0)).host;
    d.submit(&tiny("job-000002", 1400));
    d.wait(3.0);
    let first = tasks_by_host(&d)[&host];
    assert!(first < 1400);
    let ended = full_report(&d, &host, 50, Cause::Done, false);
    let orders = d.beat(&ended).expect("an answer");
    let text = serde_json::to_string(&orders).unwrap();
    assert!(text.len() < MAX_BODY, "{} bytes", text.len());
    assert!(
        tasks_by_host(&d).is_empty(),
        "nothing is placed beside them"
    );
    // Cleared, they make room for the rest.
    d.beat(&report(1, 60, Token(0)));
    d.wait(1.0);
    assert_eq!(tasks_by_host(&d)[&host], 1400 - first);
}

/// Guards against commands that a worker can't take in one message.
#[test]
fn the_commands_that_end_all_tasks_of_a_machine_fit_a_message() {
    let mut d = desk(1);
    let host = report(1, 1, Token(0)).host;
    let id = format!("job-{}", "7".repeat(60));
    d.submit(&tiny(&id, 1400));
    d.wait(3.0);
    let mut running = full_report(&d, &host, 50, Cause::Done, false);
    for task in &mut running.tasks {
        (task.state, task.cause) = (TaskState::Running, None);
    }
    d.beat(&running);
    d.ask(hookworks::wire::peer::Request::Cancel(id));
    running.seq = Seq(60);
    let orders = d.beat(&running).expect("an answer");
    assert_eq!(
        orders.commands.len(),
        running.tasks.len(),
        "each is stopped"
    );
    let text = serde_json::to_string(&orders).unwrap();
    assert!(text.len() < MAX_BODY, "{} bytes", text.len());
}
