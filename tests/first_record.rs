//! A job's first record, whose write is conditioned on its absent final state, goes before
//! everything else of the job: its further records and the start of its tasks.

mod world;

use hookworks::ids::*;
use hookworks::sched::{DirectResult, Event};
use hookworks::store::{PARTS_PREFIX, RecordFormat, TxnOutcome, final_key, part_key};
use hookworks::wire::user::JobSpec;
use hookworks::wire::worker::Command;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeSet;
use world::desk::report;
use world::job;
use world::limited_store::*;

const MACHINES: u32 = 40;

/// A job of small tasks; some classes have a quick start.
fn array(n: u64, tasks: u32, class: &str) -> JobSpec {
    let mut spec = job(n, tasks);
    (spec.cpus, spec.memory_gb, spec.class) = (0.1, 0.01, class.into());
    spec
}

/// The tasks that the workers are told to run by now.
fn told_to_run(t: &mut Term) -> BTreeSet<TaskId> {
    let mut commands = vec![];
    for (call, host, direct) in t.d.direct() {
        commands.extend(direct.commands);
        let refused = Event::Direct(call, host, DirectResult::Refused);
        t.d.event(refused);
    }
    for n in 1..=MACHINES {
        let answer = t.d.beat(&report(n, 1 + t.d.now / 50_000, Token(0)));
        commands.extend(answer.map(|a| a.commands).unwrap_or_default());
    }
    let runs = commands.into_iter().filter_map(|command| match command {
        Command::Run { task, .. } => Some(task),
        _ => None,
    });
    runs.collect()
}

/// Records of a job's tasks are stored only beside its first record or its final state.
fn assert_no_part_alone(t: &Term) {
    for key in t.keys(PARTS_PREFIX) {
        let name = key.strip_prefix(PARTS_PREFIX).unwrap();
        let id = JobId::from(name.rsplit_once('/').unwrap().0);
        let known = [part_key(&id, 0), final_key(&id)];
        assert!(known.iter().any(|k| t.s.keys.contains_key(k)), "{key}");
    }
}

/// Guards against tasks of a cancelled job that start again when its submission is repeated
/// to a later leader and the first transaction is refused (review, case 1).
#[test]
fn no_task_of_a_cancelled_job_starts_when_its_submission_is_repeated() {
    let refusals = [
        TxnOutcome::TooLarge,
        TxnOutcome::RateLimited,
        TxnOutcome::NotApplied,
        TxnOutcome::Unknown,
    ];
    for refusal in refusals {
        for class in ["quick", "work"] {
            let mut t = Term::new(&announced(), RecordFormat::Compact, vec![]);
            told_to_run(&mut t);
            let ended = json!({"state": "cancelled", "done": 0});
            t.s.put(&final_key(&"job-000001".into()), ended);
            if refusal == TxnOutcome::TooLarge {
                t.s.fall(2048, 4);
            }
            let req = t.d.submit(&array(1, 1600, class));
            let mut refused = false;
            for _ in 0..40 {
                while let Some((id, txn)) = t.next() {
                    let outcome = match refused {
                        true => t.s.apply(&txn),
                        false => refusal.clone(),
                    };
                    refused = true;
                    t.finish(id, outcome);
                }
                assert_eq!(told_to_run(&mut t).len(), 0, "{refusal:?} {class}");
                assert_no_part_alone(&t);
                t.d.now += 50_000;
            }
            t.read_finals();
            let status = t.d.answer(req).map(|a| a.status);
            assert!(status == Some(200) || status == Some(503), "{status:?}");
            assert!(t.d.s.jobs.is_empty(), "{refusal:?} {class} {status:?}");
        }
    }
}

/// Guards against any order of a queue that stores or starts a part of a job first: random
/// refusals of random transactions, jobs of several records in classes of both kinds.
#[test]
fn nothing_of_a_job_is_stored_or_started_before_its_first_record() {
    let mut rng = StdRng::seed_from_u64(67);
    for round in 0..15 {
        let mut t = Term::new(&announced(), RecordFormat::Compact, vec![]);
        told_to_run(&mut t);
        if rng.random_bool(0.5) {
            t.s.fall(2048, 4);
        }
        let trouble_until = t.d.now + 6_000_000;
        let (mut next, mut submitted) = (1, vec![]);
        let mut started = 0;
        for step in 0..240 {
            if t.d.now < trouble_until && rng.random_bool(0.08) {
                let class = ["quick", "work"][rng.random_range(0..2)];
                let tasks = rng.random_range(1..2500);
                submitted.push(t.d.submit(&array(next, tasks, class)));
                next += 1;
            }
            while let Some((id, txn)) = t.next() {
                let troubled = t.d.now < trouble_until && rng.random_bool(0.4);
                let outcome = match rng.random_range(0..4) {
                    0 if troubled => TxnOutcome::RateLimited,
                    1 if troubled => TxnOutcome::NotApplied,
                    2 if troubled => TxnOutcome::Unknown,
                    3 if troubled => {
                        t.s.apply(&txn);
                        TxnOutcome::Unknown
                    }
                    _ => t.s.apply(&txn),
                };
                t.finish(id, outcome);
                assert_no_part_alone(&t);
            }
            let told = match step % 4 {
                0 => told_to_run(&mut t),
                _ => BTreeSet::new(),
            };
            for task in told {
                let first = part_key(&task.job, 0);
                assert!(t.s.keys.contains_key(&first), "round {round}: {task}");
                started += 1;
            }
            t.d.now += 50_000;
        }
        assert!(submitted.is_empty() || started > 0, "round {round}");
        assert!(t.d.s.write_queue.is_empty(), "round {round}");
    }
}

/// Guards against a queue that turns the order of writes round when it takes them back.
#[test]
fn writes_that_are_taken_back_keep_their_order() {
    let mut t = Term::new(&announced(), RecordFormat::Compact, vec![]);
    for n in 1..=10 {
        t.d.submit(&job(n, 1));
    }
    let keys = |txn: &hookworks::wire::state::Txn| -> Vec<String> {
        txn.changes.iter().map(|c| c.key().to_string()).collect()
    };
    let (id, first) = t.next().unwrap();
    t.finish(id, TxnOutcome::NotApplied);
    t.d.now += 1_000_000;
    let (_, again) = t.next().unwrap();
    assert!(keys(&first).len() > 3);
    assert_eq!(keys(&again), keys(&first));
}
