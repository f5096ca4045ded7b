//! When a class or team counts as hardly served, and what it is given then.

use super::{SettingsError, within};
use hookworks_served::Floor;
use serde::{Deserialize, Serialize};

/// `<served><room>0.1</room><below>0.7</below></served>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServedLimits {
    /// Share of the fleet that goes to all classes and teams below the floor
    /// together, ahead of others; 0 only shows them.
    pub room: f64,
    /// Below the floor is a class or team with overdue jobs of which a smaller
    /// share began within the last five minutes.
    pub below: f64,
}

impl Default for ServedLimits {
    fn default() -> Self {
        ServedLimits {
            room: 0.0,
            below: 0.7,
        }
    }
}

impl ServedLimits {
    pub fn floor(&self) -> Floor {
        Floor {
            room: self.room,
            below: self.below,
        }
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let all = [
            ("room", self.room, 0.0, 0.5),
            ("below", self.below, 0.0, 1.0),
        ];
        within(file, "served/", all)
    }
}
