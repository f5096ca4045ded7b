//! An old report of a gang's task reaches every controller just as a new leader begins.

use hookworks_review_stage::http;
use hookworks_review_stage::scene::Scene;
use hookworks_review_stage::sites::{job, voiceline};
use hookworks_review_stage::world::Status;
use serde_json::json;
use std::time::Duration;

const GANG: &str = "job-000002";

fn main() {
    let scene = Scene::new(voiceline());
    let world = scene.world.clone();
    let zone = "cairns-south";
    let hosts: Vec<String> = (0..6).map(|_| world.add_machine(zone, false, Duration::ZERO)).collect();
    {
        let mut inner = world.inner();
        inner.capacity = 6;
        inner.cloud_latency = Duration::from_millis(150);
        // An earlier job of the class has left its image on all machines but the last, which
        // has yet to fetch it, at a rate a third below the nominal one.
        for (n, host) in hosts.iter().enumerate() {
            inner.machines.get_mut(host).unwrap().node = n;
        }
        for host in &hosts[..5] {
            inner.machines.get_mut(host).unwrap().images.insert("img-listener".into());
        }
        inner.machines.get_mut(&hosts[5]).unwrap().fetch_rate = 0.4;
    }
    scene.wait_for_leader();
    scene.sleep(4.0);
    let whole = json!({"Vcpus": 14.0, "Accelerators": 2.0, "RamGb": 51.0, "Bundle": "img-listener", "SizeGb": 25.0,
        "OneZone": true, "Lendable": false, "GuessS": 60.0, "BookmarkS": 30.0, "StowS": 5.0});
    // A gang of four that takes the first machines for a while.
    let first = job("job-000001", "listener-retrain", "cairns-legacy", "gang", 4, whole.clone());
    if !scene.submit(&first, 52.5) {
        scene.finish(vec!["a job was refused".into()]);
    }
    scene.wait("the first job runs", 10.0, || {
        scene.places("job-000001/0").first().filter(|p| p.1 == Status::Running).map(|_| ())
    });
    let mut gang = whole;
    gang["GuessS"] = json!(200.0);
    let gang = job(GANG, "listener-retrain", "call-reviewers", "gang", 2, gang);
    if !scene.submit(&gang, 100.0) {
        scene.finish(vec!["a job was refused".into()]);
    }
    let waits = |attempt: Option<u64>| {
        let all = [0, 1].map(|i| scene.places(&format!("{GANG}/{i}")));
        let found = all.iter().enumerate().find_map(|(i, p)| {
            let w = p.iter().find(|p| p.1 == Status::Waiting && attempt.is_none_or(|a| a == p.2))?;
            Some((i, w.0.clone(), w.2))
        });
        found
    };
    let (index, host, attempt) = scene.wait("a task of the gang waits", 10.0, || waits(None));
    let task = format!("{GANG}/{index}");
    let ended = |r: &serde_json::Value| {
        r["Pieces"].as_array().is_some_and(|p| {
            p.iter().any(|t| t["Piece"] == task.as_str() && t["Status"] == "ended" && t["Cause"] == "alone")
        })
    };
    let old = scene.wait("a report of its end was answered", 60.0, || {
        let inner = world.inner();
        inner.machines[&host].delivered.iter().find(|r| ended(r)).cloned()
    });
    let again = scene.wait("it waits again", 8.0, || waits(Some(attempt)));
    scene.record.line(format!("-- {task} try {attempt} waited on {host}, and waits again on {}", again.1));
    scene.wait("the first job is over", 30.0, || scene.places("job-000001/0").is_empty().then_some(()));
    // Just now this worker was answered, and others are about to report.
    scene.wait("its worker was answered, others are about to report", 7.0, || {
        let mut inner = world.inner();
        let report = inner.machines[&host].reports.last().filter(|r| !ended(&r.1))?;
        if report.0.elapsed() > Duration::from_millis(60) {
            return None;
        }
        // Give or take a quarter, each worker reports when it likes: here about 0.8 s from
        // now, or as near to that as it may.
        let due = |h: &String| {
            let ago = inner.machines[h].reports.last().map_or(9.0, |r| r.0.elapsed().as_secs_f64());
            let interval = (ago + 0.8).clamp(1.52, 2.48);
            (interval - ago, interval / 2.0 - 1.0)
        };
        let soon: Vec<_> = hosts[..4].iter().map(|h| (h.clone(), due(h))).collect();
        let soon: Vec<_> = soon.into_iter().filter(|(_, d)| (0.15..1.3).contains(&d.0)).collect();
        if soon.len() < 2 {
            return None;
        }
        for (h, (_, pace)) in soon {
            inner.machines.get_mut(&h)?.pace = pace;
        }
        // It takes its time with the next one, a fifth more than usual.
        inner.machines.get_mut(&host)?.pace = 0.2;
        Some(())
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
    scene.sleep(8.0);
    scene.finish(vec![]);
}
