//! Many small tasks on one machine: its worker's report grows beyond what the controllers
//! take, so that the worker loses its lease and all that runs there, again and again.

use crate::fleet::{Flavor, Times};
use crate::site::{Plan, Site, Submission, Team};
use crate::state::Limits;
use crate::Start;
use std::time::Duration;

/// Small tasks that fit the machine; fewer without the disruption.
const TASKS: u64 = 1400;
const FEWER: u64 = 400;

fn plan() -> Plan {
    let zones = vec!["kochi-rack", "trivandrum-dc", "calicut-spare"];
    let team = |name| Team {
        name,
        cpus: 600.0,
        cpus_max: 1500.0,
    };
    // A guest team without a guarantee: 0 means none.
    let guests = Team {
        name: "cusat-interns",
        cpus: 0.0,
        cpus_max: 0.0,
    };
    Plan {
        zones: zones.clone(),
        zone_of_controller: [0, 1, 2],
        teams: vec![team("batch-desk-00"), team("batch-desk-01"), guests],
        objectives: vec![("finished", "archive-compact", 150.0)],
        times: Times {
            report_s: 4.0,
            lease_s: 20.0,
        },
        gang_wait_s: 50.0,
        cancel_s: 45.0,
        limits: Limits {
            rps: 80.0,
            write_rps: 25.0,
            value_kb: 4.0,
            txn_ops: 12,
        },
        next: None,
        cloud_rps: 6.0,
        ram_mb: 104.0,
        core_share: 0.16,
        connections: 2000,
        flavor: Flavor {
            // The machine type of the protocol's examples.
            label: "g8",
            cpus: 96.0,
            ram_gb: 768.0,
            zones: zones.iter().map(|z| z.to_string()).collect(),
        },
        boot_s: 45.0,
        most_machines: 1,
    }
}

pub fn run(start: Start) -> Vec<String> {
    let site = Site::new(plan(), start.record.clone(), start.root, start.temp);
    let record = &start.record;
    site.watch(Duration::from_secs(118));
    site.cloud
        .add("kochi-rack", Duration::ZERO, Duration::from_secs(600));
    for i in 0..3 {
        site.start_controller(i);
    }
    site.wait_for("a controller leads", 15.0, || site.leader().is_some());
    let batch = Submission {
        id: "job-000001",
        class: "archive-compact",
        team: "batch-desk-00",
        urgency: "normal",
        tasks: 1,
        cpus: 2.0,
        ram_gb: 4.0,
        image: "img-07",
        image_gb: 0.5,
        builds: None,
        yard: None,
        daemon: false,
        run_s: Some(40.0),
        guess_s: 40.0,
    };
    let accept = |j: Submission| {
        let body = site.job(j);
        if !matches!(site.submit(&body), Some((200 | 201, _))) {
            site.fail("a job is not accepted");
        }
    };
    accept(batch.clone());
    site.wait_for("the other team's job runs", 15.0, || {
        record.on_machines("job-000001") == 1
    });
    let small = Submission {
        id: "job-000002",
        class: "ping-swarm",
        team: "cusat-interns",
        urgency: "best_effort",
        tasks: if start.trouble { TASKS } else { FEWER },
        cpus: 0.03,
        ram_gb: 0.25,
        run_s: Some(30.0),
        guess_s: 30.0,
        ..batch
    };
    let total = small.tasks as usize;
    accept(small);
    let done = || record.done_of("job-000001") == 1 && record.done_of("job-000002") == total;
    site.within(95.0, done);
    let polled = |id: &str| site.poll(id).1.get("Status").text();
    std::thread::sleep(Duration::from_secs(3));
    let mut broken = vec![];
    for (id, tasks) in [("job-000001", 1), ("job-000002", total)] {
        let starts = record.starts_of(id, 0.0).len();
        let (status, done) = (polled(id), record.done_of(id));
        if done < tasks {
            broken.push(format!(
                "{id} is {status}: {done} of {tasks} tasks are done after {starts} starts"
            ));
        }
    }
    site.end();
    broken
}
