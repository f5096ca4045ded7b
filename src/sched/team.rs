//! Teams: what each is guaranteed, may use at the most, and uses now.

use super::resources::Resources;
use crate::ids::Team;
use crate::settings::TeamLimit;
use std::collections::BTreeMap;

struct TeamUsage {
    guarantee: Resources,
    limit: Resources,
    used: Resources,
}

/// Usage counts every attempt that is not proven gone.
pub struct Teams(BTreeMap<Team, TeamUsage>);

impl Teams {
    pub fn new(limits: &[TeamLimit]) -> Teams {
        // A team that is guaranteed nothing at all has no guarantee, whereas
        // an amount left out beside another one is simply not counted.
        let guarantee = |t: &TeamLimit| match (t.cpus, t.gpus) {
            (0.0, 0.0) => Resources::default(),
            (cpus, gpus) => Resources::limit(cpus, gpus),
        };
        let one = |t: &TeamLimit| TeamUsage {
            guarantee: guarantee(t),
            limit: Resources::limit(t.cpus_max, t.gpus_max),
            used: Resources::default(),
        };
        Teams(limits.iter().map(|t| (t.name.clone(), one(t))).collect())
    }
    pub fn used(&self, t: &Team) -> Option<Resources> {
        self.0.get(t).map(|o| o.used)
    }
    pub fn limit(&self, t: &Team) -> Option<Resources> {
        self.0.get(t).map(|o| o.limit)
    }
    pub fn guarantee(&self, t: &Team) -> Option<Resources> {
        self.0.get(t).map(|o| o.guarantee)
    }
    /// What the team may still start.
    pub fn remaining(&self, t: &Team) -> Resources {
        match self.0.get(t) {
            Some(o) => o.limit.minus(&o.used),
            None => Resources::default(),
        }
    }
    /// How far the team is above what it is guaranteed.
    pub fn exceeds_guarantee(&self, t: &Team) -> bool {
        let over = |o: &TeamUsage| o.used.cpu > o.guarantee.cpu || o.used.gpu > o.guarantee.gpu;
        self.0.get(t).is_some_and(over)
    }
    pub fn add(&mut self, t: &Team, need: &Resources) {
        if let Some(o) = self.0.get_mut(t) {
            o.used += *need;
        }
    }
    pub fn subtract(&mut self, t: &Team, need: &Resources) {
        if let Some(o) = self.0.get_mut(t) {
            o.used -= *need;
        }
    }
    pub fn overview(&self) -> serde_json::Value {
        let one = |(t, o): (&Team, &TeamUsage)| {
            let v = serde_json::json!({
                "cpus": o.used.cpu as f64 / 1000.0,
                "gpus": o.used.gpu as f64 / 1000.0,
            });
            (t.to_string(), v)
        };
        serde_json::Value::Object(self.0.iter().map(one).collect())
    }
}
