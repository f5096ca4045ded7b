//! The history of a job, and its record.

use hookworks_job_lifecycle::{History, JobEvent, MAX_ENTRIES, WallMillis};

#[test]
fn long_history_stays_bounded_and_loses_no_count() {
    let mut h = History::new(WallMillis(1_000));
    for n in 0..10_000u64 {
        h.note(JobEvent::Started, WallMillis(1_000 + n * 500));
        h.note(JobEvent::Lost, WallMillis(1_200 + n * 500));
        h.used(300, 100);
    }
    h.note(JobEvent::Started, WallMillis(0));
    assert_eq!(h.entries().count(), MAX_ENTRIES);
    for bytes in [10, 200, 300, 400, 2048] {
        let v = h.encode(bytes);
        assert!(v.to_string().len() <= bytes.max(120), "{bytes}: {v}");
        let back = History::decode(WallMillis(1_000), &v).unwrap();
        assert_eq!(
            (back.count(JobEvent::Started), back.count(JobEvent::Lost)),
            (10_001, 10_000)
        );
        assert_eq!(back.usage().lost_ms, 2_000_000);
        assert_eq!(back.first_start(), Some(WallMillis(1_000)));
    }
    assert_eq!(
        History::decode(WallMillis(1_000), &h.encode(4096)).unwrap(),
        h
    );
}

#[test]
fn repeated_event_is_one_entry() {
    let mut h = History::new(WallMillis(0));
    for at in [5, 6, 9] {
        h.note(JobEvent::Started, WallMillis(at));
    }
    h.note(JobEvent::Done, WallMillis(20));
    let all: Vec<_> = h
        .entries()
        .map(|e| (e.what, e.from, e.to, e.times))
        .collect();
    assert_eq!(
        all,
        [(JobEvent::Started, 5, 9, 3), (JobEvent::Done, 20, 20, 1)]
    );
}

/// Controllers are restarted one after the other, so records of a later
/// version are read by an earlier one.
#[test]
fn record_of_a_later_version_is_readable() {
    let v =
        serde_json::json!({"c":[1,0,0,0,0,0,0,4,9,9],"u":[5,6],"x":1,"e":[[0,1,1,1],[200,1,1,1]]});
    let h = History::decode(WallMillis(0), &v).unwrap();
    assert_eq!((h.count(JobEvent::Done), h.entries().count()), (4, 1));
    assert!(History::decode(WallMillis(0), &serde_json::json!({"c":"no"})).is_none());
}

/// The next leader's time of day was a little earlier: a record can't be written with
/// an entry that ends before it begins.
#[test]
fn a_clock_that_is_behind_ends_no_entry_before_its_beginning() {
    let mut h = History::new(WallMillis(1_000));
    h.note(JobEvent::Started, WallMillis(5_000));
    h.note(JobEvent::Started, WallMillis(4_900));
    let back = History::decode(WallMillis(1_000), &h.encode(4096)).unwrap();
    assert_eq!(back, h);
    assert!(h.entries().all(|e| e.to >= e.from && e.times == 2));
}
