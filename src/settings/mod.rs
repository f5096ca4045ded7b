//! Settings: the platform's JSON file and the operators' own XML file.

#[allow(missing_docs)]
mod capacity;
mod classes;
mod connections;
#[allow(missing_docs)]
mod platform;
mod starvation;
mod tuning;
mod zones;

pub use capacity::CapacityLimits;
pub use classes::Classes;
pub use connections::Connections;
pub use platform::{
    LimitValues, MachineLimits, NextLimits, Objective, Params, Platform, Seed, StateLimits,
    TeamLimit, WorkerParams,
};
pub use starvation::StarvationLimits;
pub use tuning::Tuning;
pub use zones::ZoneLimits;

use thiserror::Error;

/// Why settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read, or is malformed.
    #[error("{file}: {why}")]
    Read {
        /// The file.
        file: String,
        /// What is wrong.
        why: String,
    },
    /// A value is invalid or can't be served.
    #[error("{file}: {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The field, with its enclosing elements.
        field: String,
        /// What is wrong.
        why: String,
    },
}

/// All settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Provided by the platform.
    pub platform: Platform,
    /// Set by the operators.
    pub tuning: Tuning,
}

impl Settings {
    /// Reads both files; without an XML file the defaults apply.
    pub fn load(platform: &str, tuning_file: Option<&str>) -> Result<Settings, SettingsError> {
        let platform = Platform::parse(platform, &read(platform)?)?;
        let tuning = match tuning_file {
            Some(f) => Tuning::parse(f, &read(f)?)?,
            None => Tuning::default(),
        };
        let settings = Settings { platform, tuning };
        // Limits that can't be served are rejected at the start, not at the first request.
        let file = tuning_file.unwrap_or("connections");
        crate::api::bounds(&settings)
            .map_err(|e| field_error(file, "connections", &e.to_string()))?;
        Ok(settings)
    }
}

fn read(file: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|e| SettingsError::Read {
        file: file.into(),
        why: e.to_string(),
    })
}

/// Checks that numbers are in range: name, value, minimum, maximum. `of` is the
/// enclosing element with a slash; empty at the top level.
fn check_ranges(
    file: &str,
    of: &str,
    all: impl IntoIterator<Item = (&'static str, f64, f64, f64)>,
) -> Result<(), SettingsError> {
    for (field, v, low, high) in all {
        if !(v.is_finite() && (low..=high).contains(&v)) {
            let field = format!("{of}{field}");
            return Err(field_error(
                file,
                &field,
                &format!("must be {low} to {high}"),
            ));
        }
    }
    Ok(())
}

fn field_error(file: &str, field: &str, why: &str) -> SettingsError {
    SettingsError::Field {
        file: file.into(),
        field: field.into(),
        why: why.into(),
    }
}
