//! Protection of classes and teams against starvation.

use super::{SettingsError, check_ranges};
use crate::time::Span;
use hookworks_fairness::FairnessPolicy;
use serde::{Deserialize, Serialize};

/// `<served><room>0.1</room><below>0.7</below></served>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct StarvationLimits {
    /// Share of the fleet reserved for all classes and teams below the floor together;
    /// with 0 they are only reported.
    pub room: f64,
    /// A class or team with overdue jobs is below the floor if a smaller share of them
    /// started within the last five minutes.
    pub below: f64,
    /// After this many seconds without a started task, a tenth of a job's tasks is placed
    /// ahead of others, within its team's limit; a gang, a service or a job of one zone
    /// is placed ahead as a whole. 0: never.
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
    /// The policy for the scheduler.
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
