//! Records that no transaction can hold: none is accepted, and one that is there already
//! holds up no other.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::settings::StateLimits;
use hookworks::store::pieces::{self, RecordLimits};
use hookworks::store::{FINALS_PREFIX, RecordFormat};
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobSpec;
use hookworks_job_lifecycle::{Failure, Hold, HoldKind, JobEvent, WallMillis};
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
    let old = Job::new(wordy(1, 1, 90_000, 'x'), 1, Time(1), WALL, 64);
    for format in [RecordFormat::Legacy, RecordFormat::Compact] {
        let mut t = term(&ample(), format, vec![old.clone()]);
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
