//! Teams: what each is guaranteed, may use at the most, and uses now.

use super::room::Room;
use crate::ids::Team;
use crate::settings::TeamLimit;
use std::collections::BTreeMap;

struct One {
    guarantee: Room,
    limit: Room,
    used: Room,
}

/// Usage counts every attempt that is not proven gone.
pub struct Teams(BTreeMap<Team, One>);

impl Teams {
    pub fn new(limits: &[TeamLimit]) -> Teams {
        // A team that is guaranteed nothing at all has no guarantee, whereas
        // an amount left out beside another one is simply not counted.
        let guarantee = |t: &TeamLimit| match (t.cpus, t.gpus) {
            (0.0, 0.0) => Room::default(),
            (cpus, gpus) => Room::limit(cpus, gpus),
        };
        let one = |t: &TeamLimit| One {
            guarantee: guarantee(t),
            limit: Room::limit(t.cpus_max, t.gpus_max),
            used: Room::default(),
        };
        Teams(limits.iter().map(|t| (t.name.clone(), one(t))).collect())
    }
    pub fn used(&self, t: &Team) -> Option<Room> {
        self.0.get(t).map(|o| o.used)
    }
    pub fn limit(&self, t: &Team) -> Option<Room> {
        self.0.get(t).map(|o| o.limit)
    }
    pub fn guarantee(&self, t: &Team) -> Option<Room> {
        self.0.get(t).map(|o| o.guarantee)
    }
    /// What the team may still start.
    pub fn left(&self, t: &Team) -> Room {
        match self.0.get(t) {
            Some(o) => o.limit.minus(&o.used),
            None => Room::default(),
        }
    }
    /// How far the team is above what it is guaranteed.
    pub fn beyond_guarantee(&self, t: &Team) -> bool {
        let over = |o: &One| o.used.cpu > o.guarantee.cpu || o.used.gpu > o.guarantee.gpu;
        self.0.get(t).is_some_and(over)
    }
    pub fn add(&mut self, t: &Team, need: &Room) {
        if let Some(o) = self.0.get_mut(t) {
            o.used += *need;
        }
    }
    pub fn sub(&mut self, t: &Team, need: &Room) {
        if let Some(o) = self.0.get_mut(t) {
            o.used -= *need;
        }
    }
    pub fn overview(&self) -> serde_json::Value {
        let one = |(t, o): (&Team, &One)| {
            let v = serde_json::json!({
                "cpus": o.used.cpu as f64 / 1000.0,
                "gpus": o.used.gpu as f64 / 1000.0,
            });
            (t.to_string(), v)
        };
        serde_json::Value::Object(self.0.iter().map(one).collect())
    }
}
