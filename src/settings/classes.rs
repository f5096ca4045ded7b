//! Retry rules of job classes.

use super::{SettingsError, field_error};
use crate::ids::Class;
use hookworks_job_lifecycle::{CountedFailures, Failure, RetryPolicy};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Failure counts are stored as one hexadecimal digit each.
const MAX_ATTEMPTS: u8 = 15;

/// `<classes><class name="…"><attempts>3</attempts>…</class></classes>`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Classes {
    #[serde(rename = "class")]
    rules: Vec<ClassRule>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
struct ClassRule {
    #[serde(rename = "@name")]
    name: Class,
    /// Most attempts of a task that may fail; 0: no limit.
    #[serde(default)]
    attempts: u8,
    /// Which failures count, by their names with spaces between.
    #[serde(default)]
    counts: Option<String>,
    /// Backoff in seconds after the first failure; doubles with each further one.
    #[serde(default)]
    backoff_s: f64,
    #[serde(default)]
    backoff_most_s: Option<f64>,
}

fn parse_failure(name: &str) -> Option<Failure> {
    let all = [
        ("error", Failure::Error),
        ("timed-out", Failure::TimedOut),
        ("lost", Failure::Lost),
        ("stopped", Failure::Stopped),
    ];
    all.iter().find(|(n, _)| *n == name).map(|(_, f)| *f)
}

impl ClassRule {
    fn counted_failures(&self) -> Result<CountedFailures, String> {
        let Some(text) = &self.counts else {
            return Ok(CountedFailures::default());
        };
        let mut c = CountedFailures {
            error: false,
            timed_out: false,
            lost: false,
            stopped: false,
        };
        for name in text.split_whitespace() {
            match parse_failure(name) {
                Some(Failure::Error) => c.error = true,
                Some(Failure::TimedOut) => c.timed_out = true,
                Some(Failure::Lost) => c.lost = true,
                Some(Failure::Stopped) => c.stopped = true,
                None => return Err(format!("{name}: not error, timed-out, lost or stopped")),
            }
        }
        Ok(c)
    }
}

impl Classes {
    pub(super) fn retry_policies(&self) -> BTreeMap<Class, RetryPolicy> {
        let rule = |c: &ClassRule| RetryPolicy {
            most: c.attempts,
            counts: c.counted_failures().unwrap_or_default(),
            backoff: Duration::from_secs_f64(c.backoff_s),
            backoff_most: Duration::from_secs_f64(c.backoff_most_s.unwrap_or(60.0)),
        };
        self.rules
            .iter()
            .map(|c| (c.name.clone(), rule(c)))
            .collect()
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        for (n, c) in self.rules.iter().enumerate() {
            let wrong = |field: &str, why: &str| {
                Err(field_error(
                    file,
                    &format!("classes/{}/{field}", c.name),
                    why,
                ))
            };
            if self.rules[..n].iter().any(|o| o.name == c.name) {
                return wrong("name", "is listed twice");
            }
            if c.attempts > MAX_ATTEMPTS {
                return wrong("attempts", &format!("must be 0 to {MAX_ATTEMPTS}"));
            }
            if let Err(e) = c.counted_failures() {
                return wrong("counts", &e);
            }
            for (field, v) in [
                ("backoff-s", c.backoff_s),
                ("backoff-most-s", c.backoff_most_s.unwrap_or(60.0)),
            ] {
                if !(v.is_finite() && (0.0..=86_400.0).contains(&v)) {
                    return wrong(field, "must be 0 to 86400");
                }
            }
        }
        Ok(())
    }
}
