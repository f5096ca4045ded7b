//! Two versions side by side: what the version in production has written is read, what
//! is written while it may lead is what it reads, and the switch to compact records is
//! made only once every controller is new.

mod world;

use hookworks::ids::*;
use hookworks::node::routing::{KnownLeader, Route, route};
use hookworks::sched::FenceRecord;
use hookworks::sched::job::{ActiveAttempt, Job};
use hookworks::settings::Platform;
use hookworks::store::{
    EPOCH_KEY, FENCES_KEY, FINALS_PREFIX, FORMAT_KEY, LEADER_KEY, PARTS_PREFIX, RecordFormat,
    UNFINISHED_PREFIX,
};
use hookworks::time::{Time, WallTime};
use hookworks::versions::{OWN_VERSION, VersionTable};
use hookworks::wire::peer::{Answer, PeerMessage, PingExtension, PingIdentity, Request};
use hookworks::wire::peer_frame::{encode, read};
use hookworks::wire::user::JobState;
use hookworks::wire::worker::{Cause, Command};
use hookworks_job_lifecycle::JobEvent;
use hookworks_membership::ReportedVersion;
use rand::RngExt;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use world::desk::{Desk, ended, report};
use world::old_version::production;
use world::versions::{OLD, SwitchFault, VersionAct};
use world::{Ev, World, job};

const S: u64 = 1_000_000;

fn fixture(name: &str) -> Value {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/production");
    let text = std::fs::read_to_string(format!("{folder}/{name}.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Everything stored at a moment, and what the version in production reads in it.
struct Snapshot {
    name: String,
    now: Time,
    wall: WallTime,
    stored: BTreeMap<String, Value>,
    read: BTreeMap<String, Value>,
}

fn snapshots() -> Vec<Snapshot> {
    let all: BTreeMap<String, Value> = serde_json::from_value(fixture("records")).unwrap();
    let of = |(name, v): (String, Value)| Snapshot {
        name,
        now: Time(v["now"].as_u64().unwrap()),
        wall: WallTime(v["wall"].as_u64().unwrap()),
        stored: serde_json::from_value(v["stored"].clone()).unwrap(),
        read: serde_json::from_value(v["read"].clone()).unwrap(),
    };
    all.into_iter().map(of).collect()
}

impl Snapshot {
    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let keys = self
            .stored
            .iter()
            .filter(move |(k, _)| k.starts_with(prefix));
        keys.map(move |(k, v)| (k.trim_start_matches(prefix), v))
    }

    /// Parts of a job, the first one included.
    fn parts(&self, id: &str) -> BTreeMap<usize, Value> {
        let first = self.stored[&format!("{UNFINISHED_PREFIX}{id}")].clone();
        let further = self.under(PARTS_PREFIX).filter_map(|(key, value)| {
            let part = key.strip_prefix(id)?.strip_prefix('/')?;
            Some((part.parse().unwrap(), value.clone()))
        });
        further.chain([(0, first)]).collect()
    }
}

/// What is read now, in the form in which the fixtures hold what was read then.
fn facts(job: &Job) -> Value {
    let live = |(t, l): (&TaskIndex, &ActiveAttempt)| {
        let place = l.place.as_ref();
        json!({
            "task": t.0, "attempt": l.attempt.0, "host": l.host, "placed": l.placed_wall.0,
            "place": place.map(|p| json!([p.zone, p.build, p.spot])),
        })
    };
    let tasks = || (0..job.spec.tasks).map(TaskIndex);
    json!({
        "spec": job.spec, "seq": job.seq, "submitted": job.submitted.0,
        "cancelled": job.cancelled, "part_size": job.part_size, "runtimes": job.runtimes,
        "done": tasks().filter(|t| job.is_done(*t)).map(|t| t.0).collect::<Vec<u32>>(),
        "live": job.active.iter().map(live).collect::<Vec<Value>>(),
        "failures": tasks().map(|t| job.failure_counts.of(t.0)).collect::<Vec<u8>>(),
        "holds": job.holds, "met": job.conditions_met, "never": job.conditions_unmeetable,
        "counts": JobEvent::ALL.map(|e| job.history.count(e)), "usage": job.history.usage(),
        "first_start": job.history.first_start().map(|t| t.0),
        "history": job.history.entries().collect::<Vec<_>>(),
    })
}

fn read_now(parts: &BTreeMap<usize, Value>, now: Time, wall: WallTime) -> Job {
    let mut job = Job::decode(&parts[&0], now, wall).unwrap();
    for (part, value) in parts.range(1..) {
        job.decode_part(*part, value, now, wall).unwrap();
    }
    job
}

fn read_by_production(parts: &BTreeMap<usize, Value>) -> production::Job {
    let mut job = production::read_live(&parts[&0]).unwrap();
    for (part, value) in parts.range(1..) {
        job.read_part(*part as u32, value).unwrap();
    }
    job
}

/// Field by field, so that a failure names the field.
fn assert_same(context: &str, got: &Value, wanted: &Value) {
    let fields = wanted.as_object().unwrap();
    for (field, value) in fields {
        assert_eq!(&got[field], value, "{context}: {field}");
    }
}

/// The copy of the reader in production is held against what that read by itself.
#[test]
fn records_of_production_are_read_as_production_reads_them() {
    let mut seen = BTreeSet::new();
    for s in snapshots() {
        for (id, wanted) in &s.read {
            let parts = s.parts(id);
            let context = format!("{} {id}", s.name);
            assert_same(&context, &read_by_production(&parts).facts(), wanted);
            let job = read_now(&parts, s.now, s.wall);
            assert_same(&context, &facts(&job), wanted);
            seen.extend(wanted["holds"].as_array().unwrap().first().map(|_| "holds"));
            seen.extend((parts.len() > 1).then_some("parts"));
            seen.extend((!job.active.is_empty()).then_some("live"));
            seen.extend((job.done_count > 0).then_some("done"));
            seen.extend(
                job.active
                    .values()
                    .any(|l| l.place.is_some())
                    .then_some("places"),
            );
            let failures = wanted["failures"].as_array().unwrap();
            seen.extend(failures.iter().any(|n| *n != 0).then_some("failures"));
            seen.extend(job.cancelled.then_some("cancelled"));
            seen.extend((!job.runtimes.is_empty()).then_some("runtimes"));
            seen.extend((job.history.entries().count() > 1).then_some("history"));
        }
        for (id, value) in s.under(FINALS_PREFIX) {
            let then = serde_json::to_value(production::FinalRecord::deserialize(value).unwrap());
            assert_eq!(&then.unwrap(), value, "{id}");
            let detail = hookworks::sched::detail_of_record(&id.into(), value.clone()).unwrap();
            assert_eq!(detail.job.state.as_str(), value["state"], "{id}");
            assert_eq!(detail.job.done, value["done"], "{id}");
            assert_eq!(detail.tasks, value["j"]["n"], "{id}");
            seen.insert(if value["state"] == "done" {
                "final"
            } else {
                "final cancelled"
            });
        }
        assert_eq!(
            s.stored[EPOCH_KEY].as_u64(),
            s.stored[LEADER_KEY]["epoch"].as_u64()
        );
        if let Some(value) = s.stored.get(FENCES_KEY) {
            let now: FenceRecord = serde_json::from_value(value.clone()).unwrap();
            assert_eq!(&serde_json::to_value(&now).unwrap(), value);
            seen.extend((!now.since.is_empty()).then_some("fences"));
        }
    }
    let all = [
        "cancelled",
        "done",
        "failures",
        "fences",
        "final",
        "final cancelled",
        "history",
        "holds",
        "live",
        "parts",
        "places",
        "runtimes",
    ];
    let missing: Vec<_> = all.iter().filter(|name| !seen.contains(*name)).collect();
    assert!(
        missing.is_empty(),
        "the fixtures show nothing of {missing:?}"
    );
}

/// What is written before the switch is read by production as this version reads it;
/// fields that either does not know are kept.
#[test]
fn production_reads_what_is_written_before_the_switch() {
    for s in snapshots() {
        for id in s.read.keys() {
            let mut parts = s.parts(id);
            for value in parts.values_mut() {
                value["later"] = json!({"by": "another version"});
            }
            parts.get_mut(&0).unwrap()["first"]["later"] = json!([1, 2]);
            let job = read_now(&parts, s.now, s.wall);
            let written = parts.keys().map(|p| (*p, job.encode(*p))).collect();
            let then = read_by_production(&written);
            let context = format!("{} {id}", s.name);
            assert_same(&context, &then.facts(), &facts(&job));
            assert_same(&context, &then.facts(), &s.read[id]);
            for (part, value) in &written {
                assert_eq!(value["later"]["by"], "another version", "{context} {part}");
            }
            assert_eq!(written[&0]["first"]["later"], json!([1, 2]), "{context}");
            assert!(
                then.unknown.iter().all(|u| u.contains_key("later")),
                "{context}"
            );
        }
    }
}

/// As `dump_fixtures.rs` has them.
fn messages() -> Vec<PeerMessage> {
    let ask = |ask| PeerMessage::Request {
        id: (9 << 32) + 5,
        from: "c1".into(),
        to: "c0".into(),
        request: ask,
    };
    let tell = |answer| PeerMessage::Response {
        id: (9 << 32) + 5,
        to: "c1".into(),
        answer,
    };
    let mut valid = Answer::new(200, r#"{"Id":"job-000001","Status":"queued"}"#.into());
    valid.valid_us = Some(1_234_567);
    vec![
        PeerMessage::Ping {
            from: "c1".into(),
            leader: Some(("c0".into(), 300)),
            reachable: vec!["c0".into(), "c2".into()],
            workers: 270,
        },
        PeerMessage::Ping {
            from: "c2".into(),
            leader: None,
            reachable: vec![],
            workers: 0,
        },
        ask(Request::Submit(br#"{"Id":"job-000001"}"#.to_vec())),
        ask(Request::Poll("job-000001".into())),
        ask(Request::Cancel("job-000001".into())),
        ask(Request::Report(br#"{"Host":"n-000001"}"#.to_vec())),
        ask(Request::Hold(
            "job-000001".into(),
            br#"{"By":"ann"}"#.to_vec(),
        )),
        ask(Request::Release(
            "job-000001".into(),
            br#"{"By":"ann"}"#.to_vec(),
        )),
        ask(Request::Show("job-000001".into())),
        ask(Request::List("state=held".into())),
        ask(Request::Events("since=4".into())),
        tell(Answer::later("taking over", 1)),
        tell(valid),
    ]
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2);
    let byte = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

#[test]
fn frames_are_read_in_both_directions() {
    let frames: Vec<String> = serde_json::from_value(fixture("frames")).unwrap();
    assert_eq!(frames.len(), messages().len());
    for (frame, message) in frames.iter().zip(messages()) {
        let frame = bytes(frame);
        let (got, tail) = read(&mut &frame[..]).unwrap();
        assert_eq!(got, message);
        let is_ping = matches!(message, PeerMessage::Ping { .. });
        let more = PingExtension {
            max_workers: Some(700),
            version: OLD.0,
        };
        let then = (more, Some(PingIdentity { instance: 77 }));
        assert_eq!(tail, if is_ping { then } else { Default::default() });
        // What is sent now differs by the version alone.
        let more = PingExtension {
            version: OWN_VERSION.0,
            ..more
        };
        let mut sent = vec![];
        encode(&message, (more, PingIdentity { instance: 77 }), &mut sent).unwrap();
        let (by_production, tail) = production::read_frame(&sent).unwrap();
        let (as_sent, _) = production::read_frame(&frame).unwrap();
        assert_eq!(by_production, as_sent);
        assert_eq!(tail.is_some(), is_ping);
        if let Some((more, own)) = tail {
            assert_eq!((more.workers_most, more.speaks), (Some(700), OWN_VERSION.0));
            assert_eq!(own.map(|o| o.instance), Some(77));
        }
    }
}

/// Settings of later are read by both versions, which differ in what they make of
/// the limits to come alone.
#[test]
fn settings_of_later_are_read() {
    let fixture = fixture("settings");
    let now = Platform::parse("later", &fixture["settings"].to_string()).unwrap();
    let then = &fixture["read"];
    let state = &now.params.state;
    assert_eq!(now.label.as_str(), then["label"]);
    assert_eq!(
        json!([state.rps, state.write_rps, state.value_kb, state.txn_ops]),
        json!([
            then["rps"],
            then["write_rps"],
            then["value_kb"],
            then["txn_ops"]
        ])
    );
}

fn reported(instance: u64, version: ControllerVersion, at_s: u64) -> ReportedVersion {
    ReportedVersion {
        instance: Some(Instance(instance)),
        version,
        at: Time(at_s * S),
    }
}

/// A ping and what is stored may be of different processes; the later one counts.
#[test]
fn version_of_the_latest_process_counts() {
    let (b, c) = (ControllerId::from("b"), ControllerId::from("c"));
    let mut t = VersionTable::new("a".into(), [b.clone(), c.clone()]);
    assert!(!t.all_read(RecordFormat::Compact));
    t.record_ping(&b, reported(1, OWN_VERSION, 10));
    t.record_ping(&c, reported(1, OLD, 10));
    assert!(!t.all_read(RecordFormat::Compact));
    // In touch, its pings are newer than anything stored.
    assert!(!t.needs_stored_versions(Time(11 * S), RecordFormat::Compact));
    assert!(t.needs_stored_versions(Time(13 * S), RecordFormat::Compact));
    t.record_stored(Time(13 * S), &c, Instance(2), OWN_VERSION);
    assert!(t.all_read(RecordFormat::Compact));
    // The process before was heard late, or another one has followed: not known.
    t.record_ping(&c, reported(3, OLD, 14));
    t.record_stored(Time(15 * S), &c, Instance(2), OWN_VERSION);
    assert!(!t.all_read(RecordFormat::Compact));
    t.record_ping(&c, reported(4, OWN_VERSION, 16));
    assert!(t.all_read(RecordFormat::Compact));
    // Whoever the settings don't name is not asked.
    t.record_ping(&"d".into(), reported(1, OLD, 16));
    assert!(t.all_read(RecordFormat::Compact));
}

/// An old leader would start a job that waits for others at once.
#[test]
fn chains_are_not_passed_on_to_a_leader_that_may_be_old() {
    let submit = |awaits: Value| {
        let mut body = serde_json::to_value(job(1, 4)).unwrap();
        body["Awaits"] = awaits;
        Request::Submit(body.to_string().into())
    };
    let chain = submit(json!(["job-000002"]));
    let escaped = match &chain {
        Request::Submit(b) => String::from_utf8_lossy(b).replace("Awaits", "\\u0041waits"),
        _ => unreachable!(),
    };
    let (leader, mut t) = (
        ControllerId::from("b"),
        VersionTable::new("a".into(), ["b".into()]),
    );
    let goes = |ask: &Request, t: &VersionTable| {
        let known = KnownLeader {
            label: leader.clone(),
            epoch: Epoch(3),
            reachable: true,
            supports_request: t.understands(&leader, ask.min_version()),
        };
        matches!(route(ask, Some(known)), Route::Forward(..))
    };
    for version in [None, Some(OLD), Some(OWN_VERSION)] {
        if let Some(v) = version {
            t.record_ping(&leader, reported(v.0.into(), v, v.0.into()));
        }
        let new = version == Some(OWN_VERSION);
        assert_eq!(goes(&chain, &t), new, "{version:?}");
        assert_eq!(
            goes(&Request::Submit(escaped.clone().into()), &t),
            new,
            "{version:?}"
        );
        for loose in [json!([]), Value::Null] {
            assert!(goes(&submit(loose), &t), "{version:?}");
        }
        assert!(
            goes(&Request::Cancel("job-000001".into()), &t),
            "{version:?}"
        );
    }
}

/// Jobs of all kinds, some of which end while controllers are replaced.
fn fleet(seed: u64) -> World {
    let mut w = World::wide(seed, &["a", "b"], 24);
    w.run_versions(&[OLD, OLD, OLD]);
    w.run(2.0);
    for n in 1..=6 {
        w.submit(job(n, 12));
    }
    w.run(10.0);
    assert_eq!(w.versions.terms, [OLD]);
    w
}

/// Whatever is stored before the switch is read by production, as the new one reads it.
fn production_reads_all(w: &World) {
    let (now, wall) = (Time(w.now), WallTime(w.now / 1000));
    for key in w
        .store
        .keys()
        .iter()
        .filter(|k| k.starts_with(UNFINISHED_PREFIX))
    {
        let value = w.store.peek(key).unwrap();
        let then = production::read_live(&value).expect(key);
        let job = Job::decode(&value, now, wall).unwrap();
        assert_same(key, &then.facts(), &facts(&job));
    }
    if let Some(value) = w.store.peek(LEADER_KEY) {
        let then = production::Leader::deserialize(&value).unwrap();
        assert_eq!(serde_json::to_value(then).unwrap(), value);
    }
    if let Some(value) = w.store.peek(FENCES_KEY) {
        let then = production::FenceRecord::deserialize(&value).unwrap();
        assert_eq!(serde_json::to_value(then).unwrap(), value);
    }
}

/// All jobs end as done, no rule was broken, and the switch came once all were new.
fn all_done(w: &mut World, within_s: f64) {
    w.run(within_s);
    for n in 1..=6 {
        let id = format!("job-{n:06}");
        assert_eq!(w.state_of(&id), Some(JobState::Done), "{id}");
    }
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let (new, stored) = (w.versions.all_new_at, w.versions.stored_at);
    assert!(stored >= new && new.is_some(), "{stored:?} {new:?}");
}

/// Seconds from when the last controller was new until the switch was on record.
fn switch_took(w: &World) -> f64 {
    let (new, stored) = (w.versions.all_new_at.unwrap(), w.versions.stored_at);
    (stored.expect("the switch is on record") - new) as f64 / S as f64
}

#[test]
fn switch_is_on_record_two_seconds_after_the_last_controller_is_new() {
    for seed in 0..20 {
        let mut w = fleet(seed);
        let mut order = [0, 1, 2];
        order.rotate_left(seed as usize % 3);
        for (k, i) in order.into_iter().enumerate() {
            w.replace(i, 1.0 + 7.0 * k as f64, 5.0, OWN_VERSION);
        }
        for _ in 0..19 {
            w.run(1.0);
            if w.versions.stored_at.is_none() {
                production_reads_all(&w);
            }
        }
        // The last one is back now; the one before may have been the leader.
        assert!(w.versions.stored_at.is_none() || w.versions.all_new_at.is_some());
        w.run(4.0);
        assert!(switch_took(&w) <= 2.0, "seed {seed}: {}", switch_took(&w));
        let leader = w.leader().unwrap();
        assert!(w.sched(leader).accepts_dependencies());
        // A later leader reads it as it takes over.
        w.at(0.1, Ev::Kill(leader));
        w.at(3.0, Ev::Restart(leader));
        w.run(12.0);
        let next = w.leader().unwrap();
        assert!(w.sched(next).accepts_dependencies(), "seed {seed}");
        all_done(&mut w, 120.0);
        // Nothing of the versions is left once it is on record.
        let versions = hookworks::store::VERSIONS_PREFIX;
        assert!(!w.store.keys().iter().any(|k| k.starts_with(versions)));
    }
}

/// Controllers end every few seconds, and come back old or new, until at the end all
/// are new; the lead goes back and forth between the versions.
#[test]
fn work_goes_on_while_old_and_new_lead_in_turn() {
    let mut back_and_forth = 0;
    for seed in 100..130 {
        let mut w = fleet(seed);
        let mut new = BTreeSet::new();
        for _ in 0..10 {
            // Mostly whoever leads; at the most two are new in the end, and none goes back.
            let any = w.rng.random_range(0..3);
            let led = w.leader().filter(|_| w.rng.random_bool(0.8));
            let i = led.unwrap_or(any);
            if new.len() < 2 && w.rng.random_bool(0.5) {
                new.insert(i);
            }
            let version = if new.contains(&i) { OWN_VERSION } else { OLD };
            let back_s = w.rng.random_range(0.3..4.0);
            w.replace(i, 0.5, back_s, version);
            for _ in 0..5 {
                w.run(1.0);
                production_reads_all(&w);
                assert!(w.store.peek(FORMAT_KEY).is_none(), "seed {seed}");
            }
        }
        for i in (0..3).filter(|i| !new.contains(i)) {
            w.replace(i, 0.5 + 3.0 * i as f64, 2.0, OWN_VERSION);
        }
        all_done(&mut w, 150.0);
        let turns = w.versions.terms.windows(2).filter(|t| t[0] != t[1]).count();
        back_and_forth += usize::from(turns >= 2);
    }
    assert!(back_and_forth >= 10, "{back_and_forth} histories of 30");
}

/// The leader never hears the last one: that it is new is in the state service.
#[test]
fn switch_is_made_while_a_link_between_controllers_is_cut() {
    for seed in 200..210 {
        let mut w = fleet(seed);
        for i in 0..2 {
            w.replace(i, 1.0 + 7.0 * i as f64, 5.0, OWN_VERSION);
        }
        w.run(20.0);
        for i in 0..2 {
            w.at(0.0, Ev::Versions(VersionAct::CutPings(i, 2, true)));
        }
        w.replace(2, 1.0, 5.0, OWN_VERSION);
        w.run(14.0);
        let leader = w.leader().unwrap();
        assert!(switch_took(&w) <= 2.0, "seed {seed}: {}", switch_took(&w));
        assert!(w.sched(leader).accepts_dependencies());
        all_done(&mut w, 120.0);
    }
}

/// What is stored of a process that was replaced by an old one says nothing.
#[test]
fn old_process_that_is_back_holds_the_switch_up() {
    let mut w = fleet(300);
    w.replace(0, 1.0, 3.0, OWN_VERSION);
    w.replace(1, 1.0, 3.0, OWN_VERSION);
    w.run(15.0);
    assert!(w.store.peek(FORMAT_KEY).is_none());
    assert_eq!(w.known_version(0, 2), Some(OLD));
    // Old again, as one that crashed before its turn would come back.
    w.replace(2, 1.0, 3.0, OLD);
    w.run(15.0);
    assert!(w.store.peek(FORMAT_KEY).is_none());
    w.replace(2, 1.0, 3.0, OWN_VERSION);
    w.run(8.0);
    assert!(w.store.peek(FORMAT_KEY).is_some());
    all_done(&mut w, 120.0);
}

/// The answer of the transaction with the switch is lost, or comes from nowhere, or
/// the leader ends right after it was sent.
#[test]
fn switch_with_an_unclear_outcome_is_found_out() {
    use SwitchFault::{AnswerLost, Late, LeaderEnds, Lost, Refused};
    let faults: [&[SwitchFault]; 6] = [
        &[AnswerLost],
        &[Lost],
        &[Lost, Refused, AnswerLost],
        &[Late(S), Lost],
        &[Refused, Refused],
        &[LeaderEnds],
    ];
    for (seed, faults) in (400..).zip(faults) {
        let mut w = fleet(seed);
        w.versions.faults = faults.iter().rev().copied().collect();
        for i in 0..3 {
            w.replace(i, 1.0 + i as f64, 4.0, OWN_VERSION);
        }
        w.run(25.0);
        assert!(w.versions.faults.is_empty(), "{faults:?}");
        let leader = w.leader().unwrap();
        assert!(w.sched(leader).accepts_dependencies(), "{faults:?}");
        all_done(&mut w, 120.0);
    }
}

/// Back on the old version after the switch, a leader leaves compact records alone: it
/// neither starts their tasks nor deletes what belongs to them.
#[test]
fn production_leaves_compact_records_alone() {
    let mut w = fleet(500);
    for i in 0..3 {
        w.replace(i, 1.0 + i as f64, 4.0, OWN_VERSION);
    }
    w.run(25.0);
    assert!(w.store.peek(FORMAT_KEY).is_some());
    w.run_s = 60.0;
    for n in 11..=13 {
        w.submit(job(n, [4, 90, 400][n as usize - 11]));
    }
    w.run(30.0);
    let keys = w.store.keys();
    let value = |key: &String| w.store.peek(key).unwrap();
    let stored: BTreeMap<String, Value> = keys.iter().map(|k| (k.clone(), value(k))).collect();
    let found = production::load(&stored);
    let later: Vec<String> = (11..=13).map(|n| format!("job-{n:06}")).collect();
    assert_eq!((found.unreadable, found.litter), (later, vec![]));
    all_done(&mut w, 300.0);
}

#[test]
fn a_clear_puts_every_start_of_an_earlier_term_out_of_force() {
    let last_of_term = Token(Epoch(6).base() - 1);
    let mut desk = Desk::new(6);
    let mut shows = report(1, 1, last_of_term);
    shows.tasks = vec![ended(
        "job-000009",
        0,
        Attempt(last_of_term.0),
        Cause::Error,
    )];
    let answer = desk.beat(&shows).expect("answered");
    assert!(answer.commands.iter().any(Command::is_clear), "{answer:?}");
    assert!(answer.token > last_of_term);
    assert!(answer.token < Token(Epoch(7).base()));
}
