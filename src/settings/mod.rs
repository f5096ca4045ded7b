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

/// Why settings are refused.
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
    /// A value can't be served.
    #[error("{file}: {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The field, with the elements that it stands in.
        field: String,
        /// What is wrong.
        why: String,
    },
}

/// Everything a controller is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the platform hands over.
    pub platform: Platform,
    /// What the operators set.
    pub tuning: Tuning,
}

impl Settings {
    /// Reads both files; without an XML file the defaults hold.
    pub fn load(platform: &str, tuning_file: Option<&str>) -> Result<Settings, SettingsError> {
        let platform = Platform::parse(platform, &read(platform)?)?;
        let tuning = match tuning_file {
            Some(f) => Tuning::parse(f, &read(f)?)?,
            None => Tuning::default(),
        };
        let settings = Settings { platform, tuning };
        // What can't be served is refused now, not when the first caller comes.
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

/// Numbers that must lie in a range each: name, value, least, most. `of` is the
/// element that they stand in, with a slash; empty at the top.
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
