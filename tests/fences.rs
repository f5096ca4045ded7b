//! Zone fences: what a later leader may conclude from the stored record, and what keeps
//! the record true.

mod world;

use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{Event, FenceRecord, Key};
use hookworks::time::{Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::worker::{Cause, Command, Report, ReportResponse, TaskState};
use world::desk::{Desk, ended, report, task};
use world::job;

const JOB: &str = "job-000001";
/// The wall-clock time at the start of a leadership in these tests, in milliseconds.
const DAY: u64 = 1_000_000;

/// A record of that epoch with zone `b` fenced `ago_s` seconds before `DAY`.
fn record(epoch: u64, ago_s: u64) -> FenceRecord {
    FenceRecord {
        epoch: Epoch(epoch),
        since: [(Zone::from("b"), DAY - ago_s * 1000)].into(),
    }
}

/// A job with a task on a machine in zone `b`, as an earlier leader stored it.
fn job_in_zone_b() -> Job {
    let mut d = Desk::new(4);
    d.beat(&report(2, 1, Token(0)));
    d.submit(&job(1, 1));
    let v = d.s.jobs[&JobId::from(JOB)].encode(0);
    let j = Job::decode(&v, Time(d.now), WallTime(DAY)).unwrap();
    assert_eq!(j.active.len(), 1);
    j
}

/// How long a new leader waits until the task is proven gone, in seconds.
fn seconds_until_gone(mut d: Desk) -> f64 {
    let from = d.now;
    while !d.s.jobs[&JobId::from(JOB)].active.is_empty() {
        d.wait(0.5);
        assert!(d.now - from < 90_000_000, "never proven gone");
    }
    (d.now - from) as f64 / 1e6
}

/// The lease is 20 s, and an earlier leader may answer for 20 s more: without a fence
/// the leader waits 41 s, with one of the previous epoch only the rest of 21 s. A
/// leader in between may have answered without knowing of the record.
#[test]
fn only_the_record_of_the_previous_epoch_counts() {
    let unknown = seconds_until_gone(Desk::with(6, vec![job_in_zone_b()]));
    assert!((40.0..43.0).contains(&unknown), "{unknown}");
    let told = seconds_until_gone(Desk::fenced(6, vec![job_in_zone_b()], record(5, 12)));
    // 21 s from then, with the clocks' error against us.
    assert!((8.9..11.0).contains(&told), "{told}");
    for epoch in [4, 3, 6, 7] {
        let waited = seconds_until_gone(Desk::fenced(6, vec![job_in_zone_b()], record(epoch, 12)));
        assert!(waited > 40.0, "of term {epoch}: {waited}");
    }
}

/// A leader in the lost zone may go on answering there for a while, so the record names
/// a time in the future. A next leader elected before that time took it for "now", and
/// fourteen tasks ran twice (journal scriptwell-qld-fleet, zone).
#[test]
fn a_fence_time_in_the_future_is_respected() {
    let mut r = record(5, 0);
    r.since = [(Zone::from("b"), DAY + 6_000)].into();
    let waited = seconds_until_gone(Desk::fenced(6, vec![job_in_zone_b()], r));
    assert!((27.0..29.5).contains(&waited), "{waited}");
}

/// A fence of one zone has no effect on another.
#[test]
fn a_fence_applies_only_to_its_zone() {
    let mut r = record(5, 12);
    r.since = [(Zone::from("a"), DAY - 12_000)].into();
    assert!(seconds_until_gone(Desk::fenced(6, vec![job_in_zone_b()], r)) > 40.0);
}

/// If a worker were answered while the record names its zone, a later leader would
/// count its lease from too early.
#[test]
fn no_worker_is_answered_before_the_removal_of_the_fence_is_stored() {
    let mut d = Desk::fenced(6, vec![], record(5, 12));
    let (first, ver) = d.s.fences_to_write().unwrap();
    assert_eq!((first.epoch, first.since.len()), (Epoch(6), 1));
    d.event(Event::Stored(Key::Fences, ver));
    // Zone `a` is answered as ever.
    assert!(d.beat(&report(1, 1, Token(0))).is_some());
    let b = |seq| Report {
        addr: None,
        ..report(2, seq, Token(0))
    };
    let send = |d: &mut Desk, seq| d.ask(Request::Report(serde_json::to_vec(&b(seq)).unwrap()));
    let waits = send(&mut d, 1);
    assert_eq!(d.status(waits), None);
    let (second, ver) = d.s.fences_to_write().unwrap();
    assert!(second.since.is_empty());
    // The outcome of the write is unknown, so the fence counts as neither present nor
    // removed.
    d.s.fence_write_failed();
    assert_eq!(d.s.fences_to_write().map(|w| w.1), Some(ver));
    d.wait(1.5);
    assert_eq!(
        d.status(waits),
        Some(503),
        "told to come again after a while"
    );
    let waits = send(&mut d, 2);
    assert_eq!(d.status(waits), None);
    d.event(Event::Stored(Key::Fences, ver));
    assert_eq!(d.status(waits), Some(200));
    assert!(d.beat(&b(3)).is_some());
}

/// A write may be queued. A worker answered meanwhile would then have been recorded as
/// not answered since long before.
#[test]
fn a_zone_answered_before_the_record_was_sent_is_not_in_it() {
    let mut d = Desk::fenced(6, vec![], record(5, 12));
    assert!(d.beat(&report(2, 1, Token(0))).is_some());
    let (r, _) = d.s.fences_to_write().unwrap();
    assert!(r.since.is_empty(), "{r:?}");
}

/// A delayed answer may be to a heartbeat older than one seen since: a start or clear
/// in it would be executed after the attempt was declared lost. Stops are safe at any
/// time and must be sent, as the answer renews the lease.
#[test]
fn an_older_waiting_heartbeat_is_answered_only_with_stops() {
    let mut d = Desk::fenced(6, vec![], record(5, 12));
    let (_, ver) = d.s.fences_to_write().unwrap();
    d.event(Event::Stored(Key::Fences, ver));
    let stray = task("job-000009", 0, Attempt(7), TaskState::Running);
    let over = ended("job-000009", 1, Attempt(8), Cause::Done);
    let b = |seq| Report {
        addr: None,
        tasks: vec![stray.clone(), over.clone()],
        ..report(2, seq, Token(Epoch(6).base()))
    };
    let send = |d: &mut Desk, seq| d.ask(Request::Report(serde_json::to_vec(&b(seq)).unwrap()));
    let newer = send(&mut d, 5);
    d.wait(1.5);
    assert_eq!(d.status(newer), Some(503));
    let older = send(&mut d, 3);
    let (_, ver) = d.s.fences_to_write().unwrap();
    d.event(Event::Stored(Key::Fences, ver));
    let orders = |d: &Desk, req| {
        let body = &d.answer(req).expect("answered").body;
        serde_json::from_str::<ReportResponse>(body)
            .unwrap()
            .commands
    };
    let kill = Command::Kill {
        task: stray.task.clone(),
        attempt: Attempt(7),
        leeway_s: 0.0,
    };
    assert_eq!(orders(&d, older), std::slice::from_ref(&kill));
    let newest = send(&mut d, 6);
    let clear = Command::Clear {
        task: over.task.clone(),
        attempt: Attempt(8),
    };
    assert_eq!(orders(&d, newest), [kill, clear]);
}

/// The recorded time is never before the last answer, nor before an earlier leader must
/// have stopped answering.
#[test]
fn the_recorded_time_is_the_last_answer() {
    for (quiet_from, earliest_s) in [(5.0, 20.0), (30.0, 30.0)] {
        let mut d = Desk::new(6);
        let began = d.now;
        let mut seq = 0;
        let mut last = 0;
        loop {
            seq += 1;
            let t = (d.now - began) as f64 / 1e6;
            for n in 1..=8 {
                if n % 2 == 1 || t <= quiet_from {
                    let r = Report {
                        addr: None,
                        ..report(n, seq, Token(Epoch(6).base()))
                    };
                    assert!(d.beat(&r).is_some());
                    last = if n % 2 == 0 { d.now } else { last };
                }
            }
            d.wait(1.0);
            if let Some((r, _)) = d.s.fences_to_write() {
                let since = r.since[&Zone::from("b")];
                let least = (last / 1000).max((began as f64 / 1e3 + earliest_s * 1e3) as u64 - 100);
                assert!(since >= least, "{since} before {least}");
                assert!(since <= least + 1_500, "{since} long after {least}");
                break;
            }
            assert!(t < quiet_from + 15.0, "never put on record");
        }
    }
}
