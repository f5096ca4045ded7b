//! One large submission, sent once, stops every later write of the leader.

use crate::fleet::{Flavor, Times};
use crate::site::{Plan, Site, Submission, Team};
use crate::state::Limits;
use crate::Start;
use std::time::Duration;

pub fn plan() -> Plan {
    let zones = vec!["brisbane-north", "townsville-east"];
    let team = |name| Team {
        name,
        cpus: 3500.0,
        cpus_max: 9000.0,
    };
    Plan {
        zones: zones.clone(),
        zone_of_controller: [0, 1, 0],
        teams: vec![team("script-writers"), team("member-services")],
        objectives: vec![
            ("wait", "urgent-recall", 2.0),
            ("finished", "script-render", 100.0),
        ],
        times: Times {
            report_s: 5.0,
            lease_s: 26.5,
        },
        gang_wait_s: 30.0,
        cancel_s: 46.5,
        limits: Limits {
            rps: 180.0,
            write_rps: 70.0,
            value_kb: 32.0,
            txn_ops: 16,
        },
        next: None,
        cloud_rps: 3.0,
        ram_mb: 188.0,
        core_share: 0.28,
        connections: 3129,
        flavor: Flavor {
            label: "paddock-16",
            cpus: 16.0,
            ram_gb: 32.0,
            zones: zones.iter().map(|z| z.to_string()).collect(),
        },
        boot_s: 35.0,
        most_machines: 2,
    }
}

pub fn run(start: Start) -> Vec<String> {
    let site = Site::new(plan(), start.record.clone(), start.root, start.temp);
    let record = &start.record;
    site.watch(Duration::from_secs(118));
    site.cloud
        .add("brisbane-north", Duration::ZERO, Duration::from_secs(600));
    for i in 0..3 {
        site.start_controller(i);
    }
    site.wait_for("a controller leads", 15.0, || site.leader().is_some());
    let script = Submission {
        id: "job-000001",
        class: "script-render",
        team: "script-writers",
        urgency: "normal",
        tasks: 2,
        cpus: 2.0,
        ram_gb: 3.5,
        image: "img-07",
        image_gb: 0.5,
        builds: None,
        yard: None,
        daemon: true,
        run_s: None,
        guess_s: 0.0,
    };
    let accept = |j: Submission| {
        let body = site.job(j);
        if !matches!(site.submit(&body), Some((200 | 201, _))) {
            site.fail("a job is not accepted");
        }
    };
    // A service that keeps the machine and is cancelled later.
    accept(script.clone());
    site.wait_for("the service runs", 15.0, || {
        record.on_machines("job-000001") == 2
    });
    site.wait_for("the present form of records is in use", 15.0, || {
        site.state.peek("hookworks/format").is_some()
    });
    // Accepted now, and waits for the machine that comes up soon.
    let waiting = Submission {
        id: "job-000002",
        yard: Some("townsville-east"),
        daemon: false,
        run_s: Some(5.0),
        guess_s: 5.0,
        ..script.clone()
    };
    accept(waiting.clone());
    let new_machine = site
        .cloud
        .add("townsville-east", Duration::from_secs(3), Duration::ZERO);
    // A submission of 63 KB: a list of machine types, one of them real.
    let mut builds = vec!["paddock-16".to_string()];
    if start.trouble {
        builds.extend((1..64).map(|i| format!("paddock-16-{i:03}-{}", "x".repeat(960))));
    }
    let large = Submission {
        id: "job-000003",
        team: "member-services",
        builds: Some(builds),
        ..waiting.clone()
    };
    let body = site.job(large);
    record.note(&format!(
        "case   job-000003 is submitted with {} bytes",
        body.len()
    ));
    let broken = std::thread::scope(|scope| {
        let (site, body) = (&site, &body);
        // Its user sends it once and does not repeat it.
        scope.spawn(move || site.ask("POST", "/v2/runs", body, 5.0));
        std::thread::sleep(Duration::from_secs(6));
        let cancelled = scope.spawn(move || site.cancel("job-000001"));
        let later = Submission {
            id: "job-000004",
            yard: None,
            ..waiting.clone()
        };
        let later = site.job(later);
        let later = scope.spawn(move || site.submit(&later));
        site.wait_for("the second machine is up", 20.0, || {
            site.cloud.up().contains(&new_machine)
        });
        // A report after a boot, and a pass: from here on there is room.
        std::thread::sleep(Duration::from_secs(2));
        let room_since = record.now();
        let mut broken = vec![];
        let ran = site.within(90.0, || record.done_of("job-000002") == 2);
        let (_, view) = site.poll("job-000002");
        if !ran && record.starts_of("job-000002", 0.0).is_empty() {
            broken.push(format!(
                "job-000002, accepted before, is still {} after 90 s with room on {new_machine} since {room_since:.1} s",
                view.get("Status")
            ));
        }
        if cancelled.join().ok().flatten().is_none() {
            broken.push(
                "the cancellation of job-000001 was repeated for 60 s and never answered".into(),
            );
        }
        match later.join().ok().flatten() {
            Some((200 | 201, _)) => {}
            other => broken.push(format!(
                "job-000004, submitted after it, was not accepted within 60 s: {:?}",
                other.map(|o| o.0)
            )),
        }
        broken
    });
    site.end();
    broken
}
