//! Quotas of teams: what each is guaranteed, its limit, and what it uses now.

use super::resources::Resources;
use crate::ids::Team;
use crate::settings::TeamLimit;
use std::collections::BTreeMap;

struct TeamUsage {
    guarantee: Resources,
    limit: Resources,
    used: Resources,
}

/// Usage counts every attempt that is not proven to have ended.
pub struct Teams(BTreeMap<Team, TeamUsage>);

impl Teams {
    pub fn new(limits: &[TeamLimit]) -> Teams {
        // A team with neither amount has no guarantee, whereas an amount left out
        // beside another one is unlimited.
        let guarantee = |limit: &TeamLimit| match (limit.cpus, limit.gpus) {
            (0.0, 0.0) => Resources::default(),
            (cpus, gpus) => Resources::limit(cpus, gpus),
        };
        let usage = |limit: &TeamLimit| TeamUsage {
            guarantee: guarantee(limit),
            limit: Resources::limit(limit.cpus_max, limit.gpus_max),
            used: Resources::default(),
        };
        Teams(
            limits
                .iter()
                .map(|limit| (limit.name.clone(), usage(limit)))
                .collect(),
        )
    }
    pub fn used(&self, team: &Team) -> Option<Resources> {
        self.0.get(team).map(|usage| usage.used)
    }
    pub fn limit(&self, team: &Team) -> Option<Resources> {
        self.0.get(team).map(|usage| usage.limit)
    }
    pub fn guarantee(&self, team: &Team) -> Option<Resources> {
        self.0.get(team).map(|usage| usage.guarantee)
    }
    /// What the team may still use within its limit.
    pub fn remaining(&self, team: &Team) -> Resources {
        match self.0.get(team) {
            Some(usage) => usage.limit.minus(&usage.used),
            None => Resources::default(),
        }
    }
    /// Whether the team uses more than it is guaranteed.
    pub fn exceeds_guarantee(&self, team: &Team) -> bool {
        let exceeds = |usage: &TeamUsage| {
            usage.used.cpu > usage.guarantee.cpu || usage.used.gpu > usage.guarantee.gpu
        };
        self.0.get(team).is_some_and(exceeds)
    }
    pub fn add(&mut self, team: &Team, need: &Resources) {
        if let Some(usage) = self.0.get_mut(team) {
            usage.used += *need;
        }
    }
    pub fn subtract(&mut self, team: &Team, need: &Resources) {
        if let Some(usage) = self.0.get_mut(team) {
            usage.used -= *need;
        }
    }
    pub fn overview(&self) -> serde_json::Value {
        let entry = |(team, usage): (&Team, &TeamUsage)| {
            let value = serde_json::json!({
                "cpus": usage.used.cpu as f64 / 1000.0,
                "gpus": usage.used.gpu as f64 / 1000.0,
            });
            (team.to_string(), value)
        };
        serde_json::Value::Object(self.0.iter().map(entry).collect())
    }
}
