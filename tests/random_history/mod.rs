//! Random histories of jobs among troubles, for the tests that judge them.

use crate::world::{Chaos, Ev, World, job};
use hookworks::wire::peer::Request;
use hookworks::wire::user::{ConditionTrigger, JobKind, Priority, StartCondition};
use rand::RngExt;

/// One history: jobs, polls and cancellations among crashes, cuts and outages,
/// pauses, machines that hear nothing, and copies that come late.
pub fn history(seed: u64) -> World {
    history_with(seed, |_| {})
}

/// The same, with a fault put into the world before it begins.
pub fn history_with(seed: u64, fault: impl Fn(&mut World)) -> World {
    let mut w = World::new(seed, 3);
    fault(&mut w);
    w.chaos = Chaos {
        lose_answer: 0.03,
        late: 0.02,
        lose_txn_answer: 0.03,
        refuse_txn: 0.02,
        copy: 0.05,
        late_txn: 0.01,
        repeat_call: 0.3,
        ..Chaos::default()
    };
    w.run(2.0);
    let (mut ids, mut services): (Vec<hookworks::ids::JobId>, _) = (vec![], vec![]);
    let mut last = 0.0;
    let (mut by_task, mut frail) = (vec![], vec![]);
    for n in 0..14 {
        let tasks = w.rng.random_range(1..9);
        let mut j = job(n, tasks);
        if n % 3 == 1 {
            j.team = "blue".into();
            j.spot = false;
        }
        j.one_zone = n % 5 == 4;
        if n % 5 == 0 {
            // It may fail so often and run so long, and no more.
            (j.class, j.limit_s) = ("frail".into(), (n % 10 == 0).then_some(1.0));
            frail.push(j.id.clone());
        }
        if n % 4 == 2 {
            // An accelerator and memory besides, so that both run short.
            (j.gpus, j.memory_gb) = (1.0, 9.0);
        }
        match n % 7 {
            3 => (j.kind, j.tasks, j.one_zone) = (JobKind::Gang, j.tasks.min(4), true),
            // One of these waits for a service, until that is cancelled.
            5 => {
                (j.kind, j.tasks) = (JobKind::Service, j.tasks.min(3));
                (j.priority, j.spread) = (Priority::Production, !j.one_zone);
                services.push(j.id.clone());
            }
            _ => {}
        }
        let mut at = w.rng.random_range(0.0..150.0);
        if n % 4 == 3 {
            // It waits for the end of the one before, which was sent first.
            let (job, when) = (ids[n as usize - 1].clone(), ConditionTrigger::End);
            let each = false;
            j.start_conditions = vec![StartCondition { job, when, each }];
            at = last + w.rng.random_range(0.0..20.0);
        }
        if n % 7 == 2 && w.specs[&ids[n as usize - 1]].kind == JobKind::Array {
            // Task by task; where the other is cancelled, so is this one.
            let other = &w.specs[&ids[n as usize - 1]];
            let (job, when, each) = (other.id.clone(), ConditionTrigger::Success, true);
            j.tasks = other.tasks;
            j.start_conditions = vec![StartCondition { job, when, each }];
            at = last + w.rng.random_range(0.0..20.0);
            by_task.push(j.id.clone());
        }
        last = at;
        ids.push(j.id.clone());
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j);
        // Users try again until they are heard.
        for k in 0..6 {
            w.at(at + 8.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
    }
    for id in &ids {
        for k in 1..60 {
            let at = k as f64 * 5.0 + w.rng.random_range(0.0..2.0);
            w.at(at, Ev::User(Request::Poll(id.to_string())));
        }
        if w.rng.random_bool(0.5) {
            hold_and_release(&mut w, id);
        }
        if w.rng.random_bool(0.25) {
            let at = w.rng.random_range(60.0..200.0);
            w.at(at, Ev::User(Request::Cancel(id.to_string())));
        }
    }
    for _ in 0..4 {
        let (at, i) = (w.rng.random_range(10.0..200.0), w.rng.random_range(0..3));
        // Back in a moment or after longer than every lease of a leader; now and
        // then all of them, one after the other within a second.
        let back = match w.rng.random_bool(0.6) {
            true => w.rng.random_range(0.02..1.0),
            false => w.rng.random_range(1.0..9.0),
        };
        let all = w.rng.random_bool(0.3);
        for i in (0..3).filter(|j| all || i == *j) {
            let at = at + w.rng.random_range(0.0..0.6);
            w.at(at, Ev::Kill(i));
            w.at(at + back, Ev::Restart(i));
        }
    }
    let at = w.rng.random_range(20.0..180.0);
    let long = w.rng.random_range(3.0..25.0);
    w.at(at, Ev::StoreDown(true));
    w.at(at + long, Ev::StoreDown(false));
    for k in 1..7 {
        let host = hookworks::ids::Host::from(format!("n-{k:06}").as_str());
        let at = w.rng.random_range(20.0..200.0);
        if w.rng.random_bool(0.3) {
            w.at(at, Ev::Preempt(host));
        } else if w.rng.random_bool(0.3) {
            let long = w.rng.random_range(2.0..50.0);
            w.at(at, Ev::Sick(host.clone(), true));
            w.at(at + long, Ev::Sick(host, false));
        } else if w.rng.random_bool(0.3) {
            let long = w.rng.random_range(2.0..50.0);
            w.at(at, Ev::Hang(host.clone(), true));
            w.at(at + long, Ev::Hang(host, false));
        } else if w.rng.random_bool(0.5) {
            let long = w.rng.random_range(2.0..60.0);
            w.at(at, Ev::Deaf(host.clone(), true));
            w.at(at + long, Ev::Deaf(host, false));
        } else {
            let long = w.rng.random_range(2.0..50.0);
            w.at(at, Ev::Cut(host.clone(), true));
            w.at(at + long, Ev::Cut(host, false));
        }
    }
    let at = w.rng.random_range(20.0..200.0);
    let long = w.rng.random_range(5.0..60.0);
    w.at(at, Ev::CutZone("b".into(), true));
    w.at(at + long, Ev::CutZone("b".into(), false));
    for _ in 0..2 {
        let (at, i) = (w.rng.random_range(10.0..200.0), w.rng.random_range(0..3));
        let long = [1.0, 2.5, 8.0, 25.0][w.rng.random_range(0..4)];
        w.at(at, Ev::Freeze(i, long));
        let (at, i) = (w.rng.random_range(10.0..180.0), w.rng.random_range(0..3));
        let long = w.rng.random_range(2.0..45.0);
        w.at(at, Ev::Lonely(i, true));
        w.at(at + long, Ev::Lonely(i, false));
    }
    w.run(240.0);
    // The storm is over: everything accepted must come to its end, and stays known.
    w.chaos = Chaos::default();
    w.at(0.0, Ev::KeepReports(0.0));
    w.all_quiet();
    for id in &ids {
        for k in 0..48 {
            let at = k as f64 * 5.0 + w.rng.random_range(0.0..2.0);
            w.at(at, Ev::User(Request::Poll(id.to_string())));
        }
    }
    for i in 0..3 {
        if !w.ctls[i].up {
            w.at(0.1, Ev::Restart(i));
        }
    }
    for id in services {
        for k in 0..6 {
            let e = Ev::User(Request::Cancel(id.to_string()));
            w.at(1.0 + 8.0 * k as f64, e);
        }
    }
    for id in &frail {
        // Operators let them go on, until some are given up.
        for k in 0..10 {
            let body = r#"{"By":"ops","Kind":"system"}"#.into();
            w.at(
                8.0 * k as f64,
                Ev::User(Request::Release(id.to_string(), body)),
            );
        }
    }
    by_task.extend(frail);
    for id in by_task {
        // Long enough for those that can end by themselves.
        w.at(200.0, Ev::User(Request::Cancel(id.to_string())));
    }
    w.run(240.0);
    w
}

/// Held by one or two, by way of whoever leads, and released again, at times
/// that may cross; the job is looked at meanwhile.
fn hold_and_release(w: &mut World, id: &hookworks::ids::JobId) {
    for kind in ["user", "operator"] {
        if w.rng.random_bool(0.4) {
            continue;
        }
        let at = w.rng.random_range(1.0..150.0);
        let long = w.rng.random_range(0.0..40.0);
        let stop = w.rng.random_bool(0.3);
        let hold = serde_json::json!({"By": "a", "Kind": kind, "Why": "b", "Stop": stop});
        let release = serde_json::json!({"By": "a", "Kind": kind});
        let hold = Request::Hold(id.to_string(), hold.to_string().into());
        let via = w.rng.random_range(0..3);
        w.at(at, Ev::User(hold));
        // And at the same moment by way of one that may lead no more.
        let both = Request::Release(id.to_string(), release.to_string().into());
        if w.rng.random_bool(0.2) {
            w.at(at, Ev::UserVia(via, both));
            w.at(at, Ev::UserVia(via, Request::Cancel(id.to_string())));
        }
        // Users try again until they are heard, also after the storm.
        for k in 0..30 {
            let body = release.to_string().into();
            let at = at + long + 10.0 * k as f64;
            w.at(at, Ev::User(Request::Release(id.to_string(), body)));
        }
        w.at(at + 3.0, Ev::User(Request::Show(id.to_string())));
    }
}
