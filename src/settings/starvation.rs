//! When a class or team counts as hardly served, and what it is given then.

use super::{SettingsError, check_ranges};
use crate::time::Span;
use hookworks_fairness::FairnessPolicy;
use serde::{Deserialize, Serialize};

/// `<served><room>0.1</room><below>0.7</below></served>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct StarvationLimits {
    /// Share of the fleet that goes to all classes and teams below the floor
    /// together, ahead of others; 0 only shows them.
    pub room: f64,
    /// Below the floor is a class or team with overdue jobs of which a smaller
    /// share began within the last five minutes.
    pub below: f64,
    /// A job of which nothing has begun for so many seconds has a tenth of its tasks
    /// begun ahead of others, as far as its team's limit goes; a gang, a service or a
    /// job of one zone goes first as a whole. 0: never.
    pub overtaken_s: f64,
}

impl Default for StarvationLimits {
    fn default() -> Self {
        StarvationLimits {
            room: 0.0,
            below: 0.7,
            overtaken_s: 0.0,
        }
    }
}

impl StarvationLimits {
    /// What the scheduler is told.
    pub fn fairness_policy(&self) -> FairnessPolicy {
        FairnessPolicy {
            reserved_share: self.room,
            min_share: self.below,
            max_overtaken: (self.overtaken_s > 0.0).then(|| Span::secs(self.overtaken_s)),
        }
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let all = [
            ("room", self.room, 0.0, 0.5),
            ("below", self.below, 0.0, 1.0),
            ("overtaken-s", self.overtaken_s, 0.0, 1e6),
        ];
        check_ranges(file, "served/", all)
    }
}
