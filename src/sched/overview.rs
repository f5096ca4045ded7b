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
        for m in self.machines.values() {
            up += (m.state == MachineState::Up) as u32;
            booting += (m.state == MachineState::Booting) as u32;
            used += m.used;
            if m.spot {
                spot += (m.state == MachineState::Up) as u32;
                spot_used += m.used;
            }
            if m.state == MachineState::Up {
                capacity += m.capacity;
            }
            if m.accepts_tasks(now, fresh) {
                free += m.free();
            }
        }
        for j in self.jobs.values() {
            pending += j.need.scaled(j.pending() as i64);
            let is_starting = |l: &&job::ActiveAttempt| l.running_since.is_none();
            let n = j.active.values().filter(is_starting).count();
            starting += j.need.scaled(n as i64);
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
        for j in self.jobs.values() {
            let e = by_class.entry(j.spec.class.to_string()).or_default();
            e.0 += j.pending() as u64;
            e.1 += j.active.len() as u64;
        }
        let (mut capacity, mut used) = (Resources::default(), Resources::default());
        let mut machines_up = 0;
        for m in self.machines.values() {
            used += m.used;
            if m.state == MachineState::Up {
                machines_up += 1;
                capacity += m.capacity;
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
        let waits = |j: &&Job| j.spec.kind == JobKind::Gang && j.pending() > 0;
        let one = |j: &Job| {
            let short = self.fleet.shortages.iter().find(|s| s.job == *j.id());
            let left = self.teams.remaining(&j.spec.team).tasks_that_fit(&j.need);
            let waits_for = match short {
                _ if !j.active.is_empty() => "its members to be gone or replaced",
                _ if left < j.pending() as i64 => "its team's limit",
                Some(_) => "machines",
                None => "the next pass",
            };
            serde_json::json!({
                "job": j.id(),
                "tasks": j.spec.tasks,
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
            .filter(|j| j.spec.kind == JobKind::Service);
        for j in services.filter(|j| !j.cancelled && j.needs.is_empty()) {
            let n = j.spec.tasks - j.running();
            if n > 0 {
                *missing.entry(j.spec.class.to_string()).or_default() += n;
            }
        }
        missing
    }
}
