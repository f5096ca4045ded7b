//! Records that no transaction can hold: none is accepted, and one that is there already
//! holds up no other.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::settings::StateLimits;
use hookworks::store::pieces::{self, RecordLimits};
use hookworks::store::{FINALS_PREFIX, PIECES_PREFIX, RecordFormat, TxnOutcome, part_key};
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobSpec;
use hookworks_job_lifecycle::{Failure, Hold, HoldKind, JobEvent, WallMillis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use world::job;
use world::limited_store::*;

/// Limits of a service whose transactions could hold far more than 64 KiB by their number
/// of values.
fn ample() -> StateLimits {
    let mut limits = limits(None);
    (limits.value_kb, limits.txn_ops, limits.write_rps) = (32.0, 16, 40.0);
    limits
}

/// A submission that lists machine types, so that its description has about so many bytes.
fn wordy(n: u64, tasks: u32, bytes: usize, name: char) -> JobSpec {
    let mut spec = job(n, tasks);
    let types = 63;
    let name = name.to_string();
    let escaped = serde_json::to_string(&name).unwrap().len() - 2;
    let each = (bytes / types).saturating_sub(8) / escaped;
    let mut builds = vec![MachineTypeId::from("m8")];
    builds.extend((0..types).map(|i| format!("{i:03}-{}", name.repeat(each)).as_str().into()));
    spec.builds = Some(builds);
    spec
}

/// A leader under these limits, whose service holds it to them.
fn term(limits: &StateLimits, format: RecordFormat, jobs: Vec<Job>) -> Term {
    let mut t = Term::new(limits, format, jobs);
    t.s.fall((limits.value_kb * 1024.0) as usize, limits.txn_ops);
    t.s.rate = Some(limits.write_rps);
    t.s.now = t.d.now;
    t.s.left = limits.write_rps;
    t
}

/// Everything that may come to a job whose record grows: tasks that run, failures, holds,
/// runtimes, a full history.
fn grow(j: &mut Job) {
    let rule = world::settings("x").tuning.retry_policies()[&Class::from("frail")];
    let (from, to) = j.part_range(0);
    let template = started_task();
    for t in from..to {
        j.failure_counts
            .failed((t, j.spec.tasks), "n-000001", Failure::Error, &rule);
        let mut active = template.clone();
        active.attempt = Attempt(Epoch(900 + t as u64 % 40).base() + 977 * t as u64);
        active.host = Host::from(format!("n-{:06}", (t as u64 * 7919) % 1_000_000).as_str());
        active.placed_wall = WallTime(WALL.0 + 104_729 * (t as u64 * 31 % 977));
        j.active.insert(TaskIndex(t), active);
    }
    for n in 0..60 {
        let what = JobEvent::ALL[n % 8];
        j.history
            .note(what, WallMillis(WALL.0 + n as u64 * 999_983));
    }
    for _ in 0..20 {
        j.record_runtime(86_400.0);
    }
    for kind in [HoldKind::User, HoldKind::Operator, HoldKind::System] {
        j.holds.put(Hold {
            kind,
            by: "b".repeat(64),
            why: "w".repeat(160),
            at: WallMillis(WALL.0),
        });
    }
}

/// Guards against a leader that stores nothing any more after one submission that no
/// transaction can hold (review, case 2).
#[test]
fn a_submission_too_large_for_a_transaction_is_refused_and_holds_up_nothing() {
    let mut t = term(&ample(), RecordFormat::Compact, vec![]);
    machines(&mut t, 40);
    let first = t.d.submit(&job(1, 2));
    t.write(1.0);
    let large = t.d.submit(&wordy(2, 2, 59_000, 'x'));
    t.write(1.0);
    let later = t.d.submit(&job(3, 2));
    let cancelled = t.d.ask(Request::Cancel("job-000001".into()));
    t.write(5.0);
    assert_eq!(t.d.status(first), Some(201));
    assert_eq!(t.d.status(large), Some(400), "a clear and final answer");
    assert_eq!(t.d.status(later), Some(201));
    assert_eq!(t.d.status(cancelled), Some(200));
    assert!(t.d.s.write_queue.is_empty());
}

/// Guards against a leader that can't write a record which an earlier one accepted a
/// little below the size of a transaction, and nothing else either.
#[test]
fn a_record_that_outgrew_a_full_transaction_is_written_by_a_later_leader() {
    for bytes in [50_000, 54_500, 55_500] {
        let mut old = Job::new(wordy(1, 512, bytes, 'x'), 1, Time(1), WALL, 512);
        let room = RecordLimits {
            max_value_bytes: 32 * 1024,
            max_values: 16,
        };
        let values = pieces::split_record(old.encode_compact(0, room), room.max_value_bytes);
        let mut s = Limited::new();
        let keys = pieces::record_keys(old.id(), 0, values.len());
        keys.zip(values).for_each(|(key, value)| s.put(&key, value));
        let loaded = s.load();
        assert_eq!(loaded.jobs.len(), 1);
        grow(&mut old);
        let mut t = term(&ample(), RecordFormat::Compact, loaded.jobs);
        for (key, revision) in loaded.revisions {
            t.c.record_revision(key, revision);
        }
        t.s.keys = s.keys;
        let id = old.id().clone();
        let j = t.d.s.jobs.get_mut(&id).unwrap();
        (j.active, j.holds) = (old.active.clone(), old.holds.clone());
        (j.runtimes, j.history) = (old.runtimes.clone(), old.history.clone());
        (j.failure_counts, j.cancelled) = (old.failure_counts.clone(), true);
        touch(&mut t.d.s, &id, 0);
        let small = t.d.submit(&job(2, 1));
        t.write(3.0);
        assert_eq!(t.d.status(small), Some(201), "{bytes}");
        assert_eq!((t.s.too_large, t.c.oversized_records()), (0, 0), "{bytes}");
        let found = t.s.load();
        let found = found.jobs.iter().find(|j| *j.id() == id).expect("readable");
        assert!(found.cancelled && !found.damaged);
        assert_eq!(found.active.len(), 512);
        assert_eq!(found.holds.iter().count(), 3);
    }
}

/// Guards against one record beyond all limits that stops a later leader: it is set aside,
/// and its job can still be cancelled.
#[test]
fn a_record_beyond_all_limits_is_set_aside_and_ends_when_its_job_does() {
    let mut old = Job::new(wordy(1, 1, 90_000, 'x'), 1, Time(1), WALL, 64);
    (old.parts[0].version, old.parts[0].stored_version) = (1, 1);
    for format in [RecordFormat::Legacy, RecordFormat::Compact] {
        let mut t = term(&ample(), format, vec![old.clone()]);
        let key = part_key(old.id(), 0);
        t.s.put(&key, json!("stored by an earlier leader"));
        t.c.record_revision(key.clone(), t.s.stamp(&key));
        machines(&mut t, 40);
        touch(&mut t.d.s, old.id(), 0);
        let small: Vec<RequestId> = (2..9).map(|n| t.d.submit(&job(n, 2))).collect();
        t.write(4.0);
        assert!(small.iter().all(|r| t.d.status(*r) == Some(201)));
        assert_eq!((t.s.too_large, t.c.oversized_records()), (0, 1));
        let cancelled = t.d.ask(Request::Cancel(old.id().to_string()));
        t.write(4.0);
        assert_eq!(t.d.status(cancelled), Some(200));
        assert_eq!(
            (t.keys(FINALS_PREFIX).len(), t.c.oversized_records()),
            (1, 0)
        );
    }
}

/// Guards against a job that is accepted although its record takes more changes than the
/// service allows in a second, and never stored.
#[test]
fn a_record_of_more_changes_than_a_second_allows_is_refused() {
    let mut limits = ample();
    (limits.value_kb, limits.write_rps) = (2.0, 10.0);
    let mut t = term(&limits, RecordFormat::Compact, vec![]);
    machines(&mut t, 40);
    // Nine values: more than the leader's own burst, and within that of the service.
    let fits = t.d.submit(&wordy(1, 1, 15_800, 'x'));
    t.write(4.0);
    assert_eq!(t.d.status(fits), Some(201));
    assert!(
        t.keys(PIECES_PREFIX).len() >= 8,
        "{}",
        t.keys(PIECES_PREFIX).len()
    );
    // Thirteen values.
    let large = t.d.submit(&wordy(2, 1, 23_000, 'x'));
    let small = t.d.submit(&job(3, 1));
    t.write(4.0);
    assert_eq!(t.d.status(large), Some(400));
    assert_eq!(t.d.status(small), Some(201));
    assert_eq!((t.s.too_large, t.s.too_many), (0, 0));
    // It is written again, whatever else there is to write.
    touch(&mut t.d.s, &"job-000001".into(), 0);
    let more: Vec<RequestId> = (4..12).map(|n| t.d.submit(&job(n, 1))).collect();
    t.write(8.0);
    assert!(more.iter().all(|r| t.d.status(*r) == Some(201)));
    assert!(t.d.s.write_queue.is_empty() && t.c.oversized_records() == 0);
    t.check_stored();
}

/// Guards against an accepted record that waits for minutes after the service has refused
/// changes for their rate for a while, as the leader's own burst was lowered.
#[test]
fn refusals_of_the_rate_keep_no_accepted_record_from_being_written() {
    let mut limits = ample();
    (limits.value_kb, limits.write_rps) = (2.0, 25.0);
    let mut t = term(&limits, RecordFormat::Compact, vec![]);
    machines(&mut t, 40);
    let large = t.d.submit(&wordy(1, 1, 22_000, 'x'));
    t.write(3.0);
    assert_eq!(t.d.status(large), Some(201));
    t.rate_refused = true;
    for n in 0..40 {
        touch(&mut t.d.s, &"job-000001".into(), 0);
        t.d.submit(&job(2 + n, 1));
        t.write(1.0);
    }
    assert!(t.c.limits().values().write_rps < 5.0);
    t.rate_refused = false;
    touch(&mut t.d.s, &"job-000001".into(), 0);
    t.write(40.0);
    assert!(t.d.s.write_queue.is_empty() && t.c.oversized_records() == 0);
    t.check_stored();
}

/// Guards against a record of many values that waits for as long as there is something to
/// sweep, as each deletion takes from the budget that it needs whole.
#[test]
fn records_to_delete_do_not_starve_a_record_of_many_values() {
    let mut limits = ample();
    (limits.value_kb, limits.write_rps) = (2.0, 16.0);
    let mut t = term(&limits, RecordFormat::Compact, vec![]);
    machines(&mut t, 40);
    let id = JobId::from("job-000999");
    for part in 1..600 {
        let key = part_key(&id, part);
        t.s.put(&key, json!({}));
        t.c.add_garbage(key.clone(), t.s.stamp(&key));
    }
    t.write(2.0);
    let large = t.d.submit(&wordy(1, 1, 17_500, 'x'));
    t.write(3.0);
    assert_eq!(t.d.status(large), Some(201));
    assert!(
        t.keys(&part_prefix()).len() > 100,
        "there is more to delete"
    );
}

fn part_prefix() -> String {
    hookworks::store::PARTS_PREFIX.into()
}

/// Guards against a submission that is told to come again for ever after limits that
/// nobody announced, and against its answer without a look at how the job ended.
#[test]
fn a_submission_that_lowered_limits_cannot_store_gets_a_final_answer() {
    let mut t = Term::new(&ample(), RecordFormat::Compact, vec![]);
    machines(&mut t, 40);
    let spec = wordy(1, 2, 30_000, 'x');
    t.s.fall(2048, 4);
    let large = t.d.submit(&spec);
    let small: Vec<RequestId> = (2..8).map(|n| t.d.submit(&job(n, 2))).collect();
    t.write(6.0);
    assert_eq!(t.d.status(large), Some(400));
    assert!(small.iter().all(|r| t.d.status(*r) == Some(201)));
    assert!(!t.d.s.jobs.contains_key(&spec.id));
    assert_eq!(t.c.oversized_records(), 0);
    // Over long ago, it is told so.
    let ended = json!({"state": "done", "done": 2});
    t.s.put(&hookworks::store::final_key(&"job-000009".into()), ended);
    let again = t.d.submit(&wordy(9, 2, 30_000, 'x'));
    t.write(2.0);
    assert_eq!(t.d.status(again), Some(200));
}

/// Guards against a record that outgrows a value while an earlier version still serves, so
/// that it can be neither split nor written.
#[test]
fn a_record_of_the_legacy_format_is_written_with_all_that_comes_to_it() {
    let mut written = 0;
    for value_kb in [4.0, 8.0, 32.0, 100.0] {
        for bytes in (0..60_000).step_by(150) {
            let mut limits = ample();
            limits.value_kb = value_kb;
            let mut t = term(&limits, RecordFormat::Legacy, vec![]);
            let spec = wordy(1, 600, bytes, 'x');
            let req = t.d.submit(&spec);
            t.write(0.5);
            if t.d.status(req) == Some(400) {
                break;
            }
            assert_eq!(t.d.status(req), Some(201));
            grow(t.d.s.jobs.get_mut(&spec.id).unwrap());
            touch(&mut t.d.s, &spec.id, 0);
            t.write(0.5);
            assert_eq!(t.c.oversized_records(), 0, "{value_kb} KiB, {bytes} bytes");
            let found = t.s.load();
            assert_eq!(
                found.jobs[0].active.len(),
                t.d.s.jobs[&spec.id].active.len()
            );
            assert_eq!(found.jobs[0].holds.iter().count(), 3);
            written += 1;
        }
    }
    assert!(written > 100, "{written}");
}

/// Guards against a final refusal of a job whose first write may have been carried out.
#[test]
fn a_submission_whose_first_write_is_unclear_is_not_refused() {
    let mut t = Term::new(&ample(), RecordFormat::Compact, vec![]);
    let spec = wordy(1, 2, 30_000, 'x');
    let req = t.d.submit(&spec);
    let (id, txn) = t.next().unwrap();
    t.s.apply(&txn);
    let unclear = TxnOutcome::Unknown;
    let (events, _) = t.c.handle_outcome(t.now(), id, unclear, &mut t.d.s);
    t.told(events);
    t.s.fall(2048, 4);
    t.write(4.0);
    assert_eq!(t.d.status(req), Some(503));
    assert!(t.d.s.jobs.contains_key(&spec.id));
    assert_eq!(t.c.oversized_records(), 1);
}

fn any_limits(rng: &mut StdRng) -> StateLimits {
    let value_kb = |rng: &mut StdRng| [2.0, 4.0, 8.0, 32.0, 100.0][rng.random_range(0..5)];
    let ops = |rng: &mut StdRng| rng.random_range(4..=24);
    let rate = |rng: &mut StdRng| rng.random_range(6..60) as f64;
    let next: Option<Value> = rng
        .random_bool(0.5)
        .then(|| json!({"value_kb": value_kb(rng), "txn_ops": ops(rng), "write_rps": rate(rng)}));
    let mut limits = limits(next);
    (limits.value_kb, limits.txn_ops, limits.write_rps) = (value_kb(rng), ops(rng), rate(rng));
    limits
}

/// Guards against any bound that admission does not know of: whatever the limits, the
/// format and the size, a submission is accepted or refused for good, what was accepted is
/// written again with all that may come to it, also by a later leader under the announced
/// limits, and others go on beside it.
#[test]
fn whatever_is_accepted_is_written_and_whatever_is_not_is_refused() {
    let mut rng = StdRng::seed_from_u64(66);
    let (mut accepted, mut refused) = (0, 0);
    for round in 0..120 {
        let limits = any_limits(&mut rng);
        let format = match rng.random_bool(0.3) {
            true => RecordFormat::Legacy,
            false => RecordFormat::Compact,
        };
        let told = format!("round {round}: {limits:?} {format:?}");
        let mut t = term(&limits, format, vec![]);
        machines(&mut t, 40);
        let names = ['x', '"', '\u{1}', 'é', '\\'];
        let spec = wordy(
            1,
            [1, 64, 700][rng.random_range(0..3)],
            rng.random_range(100..62_000),
            names[rng.random_range(0..5)],
        );
        let large = t.d.submit(&spec);
        let small = t.d.submit(&job(2, 1));
        t.write(6.0);
        assert_eq!(t.d.status(small), Some(201), "{told}");
        match t.d.status(large) {
            Some(201) => accepted += 1,
            Some(400) => {
                refused += 1;
                continue;
            }
            other => panic!("{told}: {other:?}"),
        }
        // From now on the announced limits hold, and all is compact.
        t.c.set_format(RecordFormat::Compact);
        t.d.s.set_format(RecordFormat::Compact);
        let least = limits.smallest();
        t.s.fall((least.value_kb * 1024.0) as usize, least.txn_ops);
        t.s.rate = Some(least.write_rps);
        for later in [false, true] {
            if later {
                let loaded = t.s.load();
                let (keys, revisions) = (t.s.keys.clone(), loaded.revisions);
                t = term(&limits, RecordFormat::Compact, loaded.jobs);
                t.s.fall((least.value_kb * 1024.0) as usize, least.txn_ops);
                t.s.rate = Some(least.write_rps);
                t.s.keys = keys;
                for (key, revision) in revisions {
                    t.c.record_revision(key, revision);
                }
            }
            grow(t.d.s.jobs.get_mut(&spec.id).unwrap());
            touch(&mut t.d.s, &spec.id, 0);
            let small = t.d.submit(&job(3 + later as u64, 1));
            t.write(8.0);
            assert_eq!(t.d.status(small), Some(201), "{told} {later}");
            let left = (t.c.oversized_records(), t.d.s.write_queue.lengths()[0]);
            assert_eq!(left, (0, 0), "{told} {later}");
            let found = t.s.load();
            let found = found.jobs.iter().find(|j| *j.id() == spec.id).unwrap();
            assert_eq!(found.holds.iter().count(), 3, "{told} {later}");
            assert_eq!(
                found.active.len(),
                t.d.s.jobs[&spec.id].active.len(),
                "{told}"
            );
        }
    }
    println!("{accepted} accepted, {refused} refused");
    assert!(accepted > 20 && refused > 20, "{accepted} {refused}");
}
