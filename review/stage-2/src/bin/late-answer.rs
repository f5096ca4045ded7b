//! A controller stands still for a moment with answers of the leader on their way to it;
//! meanwhile the leader ends, is back at once, and confirms a cancellation.

use hookworks_review_stage::http;
use hookworks_review_stage::scene::Scene;
use hookworks_review_stage::sites::{job, scriptwell_fleet};
use hookworks_review_stage::world::Status;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const JOB: &str = "job-000412";

/// An answer to a question: when it was asked and answered, and what it was.
type Answer = (Instant, Instant, u16, Value);

fn main() {
    let scene = Scene::new(scriptwell_fleet());
    let world = scene.world.clone();
    for n in 0..4 {
        let zone = scene.net.zones[n % 2].clone();
        world.add_machine(&zone, false, Duration::ZERO);
    }
    world.inner().capacity = 4;
    scene.wait_for_leader();
    scene.sleep(6.0);
    let spec = job(JOB, "script-render", "floor-ops", "batch", 2, json!({"GuessS": 100.0}));
    if !scene.submit(&spec, 100.0) {
        scene.finish(vec!["the job was refused".into()]);
    }
    scene.wait("the job runs", 15.0, || {
        let runs = |i: u64| scene.places(&format!("{JOB}/{i}")).iter().any(|p| p.1 == Status::Running);
        (runs(0) && runs(1)).then_some(())
    });
    scene.sleep(6.0);
    let leader = scene.wait_for_leader();
    // The follower in the other zone, if the leader is in one by itself.
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let far = |n: &&usize| scene.net.zones[**n] != scene.net.zones[leader];
    let asked = *others.iter().find(far).unwrap_or(&others[0]);
    let other = others.into_iter().find(|n| *n != asked).unwrap();
    // Users ask again and again.
    let (answers, stop): (Arc<Mutex<Vec<Answer>>>, Arc<AtomicBool>) = Default::default();
    for _ in 0..8 {
        let (answers, stop, to) = (answers.clone(), stop.clone(), scene.listen[asked]);
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let from = Instant::now();
                let path = format!("/v2/runs/{JOB}");
                let answer = http::call(to, "GET", &path, b"", Duration::from_secs(2));
                if let Ok((status, v)) = answer {
                    answers.lock().unwrap().push((from, Instant::now(), status, v));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
    }
    scene.sleep(1.0);
    if scene.trouble {
        scene.signal(asked, "STOP");
        scene.sleep(0.02);
        scene.kill(leader);
        scene.sleep(0.05);
        scene.start(leader);
        // It leads again; the load balancer would send users to it or to the third one.
        scene.wait("it leads again", 1.0, || {
            let t = Duration::from_millis(100);
            let v = http::call(scene.listen[leader], "GET", "/v2/overview", b"", t);
            v.is_ok_and(|(_, v)| v["role"] == "leader").then_some(())
        });
        scene.sleep(0.05);
    }
    let answer = scene.ask(other, "POST", &format!("/v2/runs/{JOB}/abort"), b"", 5.0);
    let told = Instant::now();
    if scene.trouble {
        scene.signal(asked, "CONT");
    }
    let confirmed = matches!(&answer, Some((200, v)) if v["Status"] == "cancelled");
    if !confirmed {
        scene.end();
        hookworks_review_stage::scene::give_up("the cancellation was not confirmed at once");
    }
    scene.sleep(3.0);
    stop.store(true, Ordering::Relaxed);
    scene.sleep(0.3);
    let (mut broken, mut written) = (vec![], 0);
    for (from, at, status, v) in answers.lock().unwrap().iter() {
        let asked_ms = from.saturating_duration_since(told).as_millis() as i64 - told.saturating_duration_since(*from).as_millis() as i64;
        let late_ms = at.saturating_duration_since(told).as_millis();
        if *at <= told {
            continue;
        }
        if *status == 404 || *status == 200 && v["Status"] != "cancelled" {
            broken.push(format!("went_back: {late_ms} ms after it was called cancelled, {} calls it {v}", scene.labels[asked]));
        }
        written += 1;
        if written > 60 {
            continue;
        }
        scene.record.line(format!("asked {asked_ms} ms after the confirmation, answered {late_ms} ms after it: {status} {v}"));
    }
    broken.truncate(3);
    scene.finish(broken);
}
