//! A cancelled job runs again: its submission is repeated at a later leader. The state
//! service has the limits of `state.next` from the start.

use crate::fleet::{Flavor, Times};
use crate::site::{Plan, Site, Submission, Team};
use crate::state::Limits;
use crate::Start;
use std::time::Duration;

const MACHINES: usize = 60;
const TASKS: u64 = 1600;
const JOB: &str = "job-000412";

pub fn plan() -> Plan {
    let limits = Limits {
        rps: 80.0,
        write_rps: 25.0,
        value_kb: 4.0,
        txn_ops: 12,
    };
    let zones = vec!["kochi-rack", "trivandrum-dc", "calicut-spare"];
    Plan {
        zones: zones.clone(),
        zone_of_controller: [0, 1, 2],
        teams: vec![
            Team {
                name: "batch-desk-00",
                cpus: 600.0,
                cpus_max: 3500.0,
            },
            Team {
                name: "batch-desk-01",
                cpus: 600.0,
                cpus_max: 3500.0,
            },
        ],
        objectives: vec![
            ("wait", "slot-reconcile", 2.0),
            ("finished", "archive-compact", 150.0),
        ],
        times: Times {
            report_s: 4.0,
            lease_s: 20.0,
        },
        gang_wait_s: 50.0,
        cancel_s: 45.0,
        limits,
        next: Some(LOWERED),
        cloud_rps: 6.0,
        ram_mb: 104.0,
        core_share: 0.16,
        connections: 2000,
        flavor: Flavor {
            label: "vallam-8",
            cpus: 8.0,
            ram_gb: 16.0,
            zones: zones.iter().map(|z| z.to_string()).collect(),
        },
        boot_s: 30.0,
        most_machines: MACHINES,
    }
}

/// `state.next` of the deployment.
const LOWERED: Limits = Limits {
    rps: 80.0,
    write_rps: 18.0,
    value_kb: 2.0,
    txn_ops: 4,
};

pub fn run(start: Start) -> Vec<String> {
    let plan = plan();
    let zones = plan.zones.clone();
    let site = Site::new(plan, start.record.clone(), start.root, start.temp);
    let record = &start.record;
    site.watch(Duration::from_secs(117));
    for i in 0..MACHINES {
        site.cloud.add(
            zones[i % zones.len()],
            Duration::ZERO,
            Duration::from_secs(600),
        );
    }
    site.state.set_limits(LOWERED);
    record.note("state  has the limits of state.next");
    for i in 0..3 {
        site.start_controller(i);
    }
    site.wait_for("a controller leads", 15.0, || site.leader().is_some());
    // A replica on each machine: it keeps the machine, and the image on it.
    let replicas = Submission {
        id: "job-000001",
        class: "archive-compact",
        team: "batch-desk-01",
        urgency: "normal",
        tasks: MACHINES as u64,
        cpus: 4.1,
        ram_gb: 4.0,
        image: "img-07",
        image_gb: 0.9,
        builds: None,
        yard: None,
        daemon: true,
        run_s: None,
        guess_s: 0.0,
    };
    let body = site.job(replicas.clone());
    if !matches!(site.submit(&body), Some((200 | 201, _))) {
        site.fail("the replicas are not accepted");
    }
    site.wait_for("every machine has a replica", 25.0, || {
        record.on_machines("job-000001") == MACHINES
    });
    site.wait_for("the present form of records is in use", 15.0, || {
        site.state.peek("hookworks/format").is_some()
    });
    let job = Submission {
        id: JOB,
        class: "slot-reconcile",
        team: "batch-desk-00",
        urgency: "high",
        tasks: TASKS,
        cpus: 0.125,
        ram_gb: 0.1,
        daemon: false,
        run_s: Some(300.0),
        guess_s: 300.0,
        ..replicas
    };
    let body = site.job(job);
    if !matches!(site.submit(&body), Some((200 | 201, _))) {
        site.fail("the job is not accepted");
    }
    site.wait_for("the job runs", 15.0, || {
        record.on_machines(JOB) as u64 == TASKS
    });
    match site.cancel(JOB) {
        Some((200, answer)) if answer.get("Status").str() == Some("cancelled") => {}
        _ => site.fail("the job is not cancelled"),
    }
    let told = record.now();
    site.wait_for("no task of the job is left", site.cancel_s, || {
        record.on_machines(JOB) == 0
    });
    site.wait_for("the job's final state is stored", 10.0, || {
        site.state.peek(&format!("hookworks/final/{JOB}")).is_some()
    });
    let mut dead = None;
    if start.trouble {
        let Some(leader) = site.leader() else {
            site.fail("nobody leads")
        };
        site.kill_controller(leader);
        dead = Some(leader);
    }
    std::thread::sleep(Duration::from_secs(6));
    if let Some(i) = dead {
        site.start_controller(i);
    }
    site.wait_for("a controller leads", 15.0, || site.leader().is_some());
    let since = told + site.cancel_s;
    site.wait_for("the time for the cancellation is over", 60.0, || {
        record.now() > since + 0.5
    });
    if site.ended_by_themselves() > 0 {
        record.note("case   a controller ended by itself");
    }
    // The retry may come at any later time, also after the job is over.
    let answer = site.submit(&body);
    record.note(&format!(
        "case   the repeated submission got {:?}",
        answer.map(|a| a.0)
    ));
    let watched_until = record.now() + 15.0;
    while record.now() < watched_until {
        site.poll(JOB);
        std::thread::sleep(Duration::from_secs(3));
    }
    let late = record.starts_of(JOB, since);
    let mut broken = vec![];
    if let Some((at, task, host)) = late.first() {
        broken.push(format!(
            "ran_cancelled: {JOB} was told cancelled at {told:.3} s, cancel_s is {}; {} starts of its tasks \
             after {since:.3} s, the first {task} on {host} at {at:.3} s",
            site.cancel_s,
            late.len()
        ));
    }
    site.end();
    broken
}
