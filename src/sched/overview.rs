//! What operators see: the line of figures in the log, and the overview.

use super::job::{self, Job};
use super::machine::Life;
use super::{Room, Sched};
use crate::time::Time;
use crate::wire::user::JobKind;
use std::collections::BTreeMap;

/// Waiting gangs that are told of one by one.
const MOST_GANGS: usize = 20;

fn room_view(capacity: &Room, used: &Room) -> serde_json::Value {
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

impl Sched {
    /// How full the fleet is, for whoever reads the log.
    pub(super) fn sum_up(&self, now: Time) {
        let fresh = self.heard_within();
        let (mut up, mut booting, mut spot) = (0, 0, 0);
        let (mut spot_used, mut starting) = (Room::default(), Room::default());
        let mut capacity = Room::default();
        let (mut used, mut free, mut pending) = (capacity, capacity, capacity);
        for m in self.machines.values() {
            up += (m.life == Life::Up) as u32;
            booting += (m.life == Life::Booting) as u32;
            used += m.used;
            if m.spot {
                spot += (m.life == Life::Up) as u32;
                spot_used += m.used;
            }
            if m.life == Life::Up {
                capacity += m.capacity;
            }
            if m.open(now, fresh) {
                free += m.free();
            }
        }
        for j in self.jobs.values() {
            pending += j.need.scaled(j.pending() as i64);
            let begins = |l: &&job::Live| l.running_since.is_none();
            let n = j.live.values().filter(begins).count();
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
            writes = ?self.dirty.lengths(),
            "fleet"
        );
    }

    /// Numbers for operators.
    pub fn overview(&self, now: Time) -> serde_json::Value {
        let mut by_class: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for j in self.jobs.values() {
            let e = by_class.entry(j.spec.class.to_string()).or_default();
            e.0 += j.pending() as u64;
            e.1 += j.live.len() as u64;
        }
        let (mut capacity, mut used) = (Room::default(), Room::default());
        let mut machines_up = 0;
        for m in self.machines.values() {
            used += m.used;
            if m.life == Life::Up {
                machines_up += 1;
                capacity += m.capacity;
            }
        }
        let writes = self.dirty.lengths();
        serde_json::json!({
            "epoch": self.epoch,
            "proven": self.may_start(now),
            "jobs": self.jobs.len(),
            "machines": self.machines.len(),
            "machines_up": machines_up,
            "zones": self.zones_overview(now),
            "room": room_view(&capacity, &used),
            "gangs_waiting": self.gangs_waiting(),
            "replicas_missing": self.replicas_missing(),
            "classes": by_class.into_iter().map(|(c, (p, l))|
                (c, serde_json::json!({"pending": p, "started": l}))).collect::<serde_json::Map<_, _>>(),
            "teams": self.teams.overview(),
            "served": self.books.view(),
            "unwritten": self.dirty.len(),
            "writes_waiting": {
                "now": writes[0], "starts": writes[1], "ends": writes[2], "progress": writes[3],
            },
            "look_ups": self.look_up_counts,
            "judged": self.judged.get(),
            "reports_held": self.reports_held,
            "reports_refused": self.reports_refused,
            "rentals_under_way": self.fleet.under_way(),
        })
    }

    /// Gangs that have not started, and what each waits for.
    fn gangs_waiting(&self) -> Vec<serde_json::Value> {
        let waits = |j: &&Job| j.spec.kind == JobKind::Gang && j.pending() > 0;
        let one = |j: &Job| {
            let short = self.fleet.short.iter().find(|s| s.job == *j.id());
            let left = self.teams.left(&j.spec.team).times(&j.need);
            let waits_for = match short {
                _ if !j.live.is_empty() => "its members to be gone or replaced",
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
        gangs.take(MOST_GANGS).map(one).collect()
    }

    /// Replicas of services that are not up, by class.
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
