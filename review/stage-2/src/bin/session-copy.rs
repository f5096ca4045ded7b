//! All controllers are away for longer than a lease, and a task begins again under the
//! number of its attempt; then an old report from the session before reaches every
//! controller just as a new leader begins.

use hookworks_review_stage::http;
use hookworks_review_stage::scene::Scene;
use hookworks_review_stage::sites::{job, scriptwell_fleet};
use hookworks_review_stage::world::Status;
use serde_json::{Value, json};
use std::time::Duration;

const FIRST: &str = "job-000101/0";

fn main() {
    let scene = Scene::new(scriptwell_fleet());
    let world = scene.world.clone();
    let (north, east) = ("brisbane-north", "townsville-east");
    let host = world.add_machine(north, false, Duration::ZERO);
    world.add_machine(east, false, Duration::ZERO);
    {
        let mut inner = world.inner();
        inner.capacity = 2;
        inner.cloud_latency = Duration::from_millis(120);
        for (n, m) in inner.machines.values_mut().enumerate() {
            m.node = n;
            // An earlier job of the class has left its image.
            m.images.insert("img-01".into());
        }
    }
    let runs = |task: &str, on: &str| {
        scene.places(task).iter().any(|p| p.0 == on && p.1 == Status::Running).then_some(())
    };
    let last = || {
        let inner = world.inner();
        inner.machines[&host].reports.last().cloned()
    };
    let submit = |id: &str, guess: f64, more: Value| {
        let mut spec = job(id, "script-render", "floor-ops", "batch", 1, json!({"GuessS": guess}));
        for (name, value) in more.as_object().into_iter().flatten() {
            spec[name.as_str()] = value.clone();
        }
        if !scene.submit(&spec, 300.0) {
            scene.finish(vec![format!("{id} was refused")]);
        }
    };
    scene.wait_for_leader();
    scene.sleep(4.0);
    submit("job-000101", 300.0, json!({}));
    scene.wait("the first task runs", 12.0, || runs(FIRST, &host));
    // A report of that, in the first session, which will come once more.
    let shows = |r: &Value| {
        let pieces = r["Pieces"].as_array().cloned().unwrap_or_default();
        pieces.iter().any(|t| t["Piece"] == FIRST && t["Status"] == "running")
    };
    let old = scene.wait("its report was answered", 8.0, || last().filter(|r| shows(&r.1)).map(|r| r.1));
    if scene.trouble {
        (0..3).for_each(|n| scene.kill(n));
        scene.wait("the lease has run out on both machines", 35.0, || {
            let inner = world.inner();
            inner.machines.values().all(|m| m.session > 1).then_some(())
        });
        (0..3).for_each(|n| scene.start(n));
        scene.wait_for_leader();
    }
    scene.wait("the first task runs", 15.0, || runs(FIRST, &host));
    // Further work: the machine is full, and a job waits for room in its zone.
    submit("job-000102", 300.0, json!({"Yard": north, "Vcpus": 14.0, "RamGb": 20.0}));
    scene.wait("the other runs", 12.0, || runs("job-000102/0", &host));
    submit("job-000103", 40.0, json!({"Yard": north}));
    scene.wait("the worker was just answered", 8.0, || {
        last().filter(|r| r.0.elapsed() < Duration::from_millis(60) && shows(&r.1)).map(|_| ())
    });
    if scene.trouble {
        let leader = scene.wait_for_leader();
        scene.kill(leader);
        scene.wait_for_leader();
        let body = old.to_string();
        for n in (0..3).filter(|n| *n != leader) {
            scene.record.line(format!("copy of an old report -> {}: {body}", scene.labels[n]));
            let (to, body) = (scene.listen[n], body.clone());
            std::thread::spawn(move || {
                let _ = http::call(to, "POST", "/agent/beat", body.as_bytes(), Duration::from_secs(4));
            });
        }
    }
    scene.sleep(10.0);
    scene.finish(vec![]);
}
