//! The zones and machine types of attempts, as stored in a job's records.

use hookworks::sched::attempt_places::{AttemptPlace, AttemptPlaces};
use hookworks::sched::job::Job;
use hookworks::time::{Time, WallTime};
use hookworks::wire::user::JobSpec;

fn place(zone: &str) -> AttemptPlace {
    AttemptPlace {
        zone: zone.into(),
        build: "m8".into(),
        spot: zone == "b",
    }
}

/// A job with active attempts, decoded from its record.
fn job(parts: serde_json::Value) -> Job {
    let spec = serde_json::json!({
        "Id": "job-1", "Jobline": "w", "Crew": "red", "Shape": "batch", "Urgency": "normal",
        "Pieces": 64, "Vcpus": 1.0, "Accelerators": 0.0, "RamGb": 1.0, "OneZone": false,
        "Scatter": false, "Lendable": true, "Bundle": "i", "SizeGb": 1.0, "GuessS": 9.0,
        "BookmarkS": 0.0, "StowS": 0.0,
    });
    let spec = JobSpec::parse(spec.to_string().as_bytes()).unwrap();
    let mut record = serde_json::json!({"spec": spec, "at": 0, "seq": 1, "part_size": 64});
    record["first"] = parts;
    Job::decode(&record, Time(9_000_000), WallTime(9_000)).unwrap()
}

#[test]
fn places_are_restored_only_for_the_attempts_they_describe() {
    let mut j = job(serde_json::json!({"a": [[0, 7, "n-1", 5], [3, 8, "n-2", 6]]}));
    assert!(
        j.active.values().all(|l| l.place.is_none()),
        "an older record"
    );
    for (l, zone) in j.active.values_mut().zip(["a", "b"]) {
        l.place = Some(place(zone));
    }
    let record = j.encode(0);
    let again = Job::decode(&record, Time(9_000_000), WallTime(9_000)).unwrap();
    let places: Vec<_> = again
        .active
        .values()
        .map(|l| l.place.clone().unwrap())
        .collect();
    assert_eq!(places, [place("a"), place("b")]);
    // An earlier release rewrites the attempts and keeps the field, which it doesn't
    // know: the places would be those of other machines.
    let mut stale = record.clone();
    stale["first"]["a"][1][2] = "n-3".into();
    let stale = Job::decode(&stale, Time(9_000_000), WallTime(9_000)).unwrap();
    assert!(stale.active.values().all(|l| l.place.is_none()));
    // The places are left out where a record is full.
    assert!(AttemptPlaces::of(j.active.values(), 20).is_none());
    assert!(
        AttemptPlaces::of(j.active.values(), 200)
            .unwrap()
            .max_encoded_bytes()
            <= 200
    );
}
