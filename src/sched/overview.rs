//! Figures for operators: the periodic log line and the overview page.

use super::Resources;
use super::Scheduler;
use super::job::{self, Job};
use super::machine::MachineState;
use crate::time::Time;
use crate::wire::user::JobKind;
use std::collections::BTreeMap;

/// Maximum waiting gangs listed one by one.
const MAX_GANGS_SHOWN: usize = 20;

fn resources_view(capacity: &Resources, used: &Resources) -> serde_json::Value {
    let one = |of: i64, n: i64| {
        let (of, n) = (of as f64 / 1000.0, n as f64 / 1000.0);
        serde_json::json!({"up": of, "used": n})
    };
    serde_json::json!({
        "cpus": one(capacity.cpu, used.cpu),
        "accelerators": one(capacity.gpu, used.gpu),
        "memory_gb": one(capacity.mem, used.mem),
    })
}

impl Scheduler {
    /// Logs the utilization of the fleet.
    pub(super) fn log_summary(&self, now: Time) {
        let fresh = self.max_heartbeat_age();
        let (mut up, mut booting, mut spot) = (0, 0, 0);
        let (mut spot_used, mut starting) = (Resources::default(), Resources::default());
        let mut capacity = Resources::default();
        let (mut used, mut free, mut pending) = (capacity, capacity, capacity);
        for machine in self.machines.values() {
            up += (machine.state == MachineState::Up) as u32;
            booting += (machine.state == MachineState::Booting) as u32;
            used += machine.used;
            if machine.spot {
                spot += (machine.state == MachineState::Up) as u32;
                spot_used += machine.used;
            }
            if machine.state == MachineState::Up {
                capacity += machine.capacity;
            }
            if machine.accepts_tasks(now, fresh) {
                free += machine.free();
            }
        }
        for job in self.jobs.values() {
            pending += job.need.scaled(job.pending() as i64);
            let is_starting = |l: &&job::ActiveAttempt| l.running_since.is_none();
            let n = job.active.values().filter(is_starting).count();
            starting += job.need.scaled(n as i64);
        }
        tracing::info!(
            jobs = self.jobs.len(),
            up,
            spot,
            booting,
            %capacity,
            %used,
            %spot_used,
            %starting,
            %free,
            %pending,
            writes = ?self.write_queue.lengths(),
            "fleet"
        );
    }

    /// The scheduler's part of the overview page, as JSON.
    pub fn overview(&self, now: Time) -> serde_json::Value {
        let mut by_class: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for job in self.jobs.values() {
            let e = by_class.entry(job.spec.class.to_string()).or_default();
            e.0 += job.pending() as u64;
            e.1 += job.active.len() as u64;
        }
        let (mut capacity, mut used) = (Resources::default(), Resources::default());
        let mut machines_up = 0;
        for machine in self.machines.values() {
            used += machine.used;
            if machine.state == MachineState::Up {
                machines_up += 1;
                capacity += machine.capacity;
            }
        }
        let writes = self.write_queue.lengths();
        serde_json::json!({
            "epoch": self.epoch,
            "proven": self.may_start(now),
            "jobs": self.jobs.len(),
            "machines": self.machines.len(),
            "machines_up": machines_up,
            "zones": self.zones_overview(now),
            "room": resources_view(&capacity, &used),
            "gangs_waiting": self.gangs_waiting(),
            "replicas_missing": self.replicas_missing(),
            "classes": by_class.into_iter().map(|(c, (p, l))|
                (c, serde_json::json!({"pending": p, "started": l}))).collect::<serde_json::Map<_, _>>(),
            "teams": self.teams.overview(),
            "served": self.service_shares.overview(),
            "unwritten": self.write_queue.len(),
            "writes_waiting": {
                "now": writes[0], "starts": writes[1], "ends": writes[2], "progress": writes[3],
            },
            "look_ups": self.lookup_counts,
            "judged": self.machines_evaluated.get(),
            "reports_held": self.reports_held,
            "reports_refused": self.reports_refused,
            "rentals_under_way": self.fleet.requests_in_flight(),
        })
    }

    /// Gangs that have not started, and what each waits for.
    fn gangs_waiting(&self) -> Vec<serde_json::Value> {
        let waits = |job: &&Job| job.spec.kind == JobKind::Gang && job.pending() > 0;
        let one = |job: &Job| {
            let short = self.fleet.shortages.iter().find(|s| s.job == *job.id());
            let left = self
                .teams
                .remaining(&job.spec.team)
                .tasks_that_fit(&job.need);
            let waits_for = match short {
                _ if !job.active.is_empty() => "its members to be gone or replaced",
                _ if left < job.pending() as i64 => "its team's limit",
                Some(_) => "machines",
                None => "the next pass",
            };
            serde_json::json!({
                "job": job.id(),
                "tasks": job.spec.tasks,
                "waits_for": waits_for,
                "lacks": short.map(|s| s.tasks),
                "zone": short.and_then(|s| s.zone.clone()),
            })
        };
        let gangs = self.jobs.values().filter(waits);
        gangs.take(MAX_GANGS_SHOWN).map(one).collect()
    }

    /// Number of service replicas that are not running, by class.
    fn replicas_missing(&self) -> BTreeMap<String, u32> {
        let mut missing = BTreeMap::new();
        let services = self
            .jobs
            .values()
            .filter(|job| job.spec.kind == JobKind::Service);
        for job in services.filter(|job| !job.cancelled && job.needs.is_empty()) {
            let n = job.spec.tasks - job.running();
            if n > 0 {
                *missing.entry(job.spec.class.to_string()).or_default() += n;
            }
        }
        missing
    }
}
