//! The operators' own settings, in XML.

use super::{Classes, Connections, SettingsError, StarvationLimits, ZoneLimits, check_ranges};
use crate::ids::Class;
use hookworks_job_lifecycle::RetryPolicy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `<hookworks><delta-factor>0.5</delta-factor>…</hookworks>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename = "hookworks", rename_all = "kebab-case", default)]
pub struct Tuning {
    /// Share of a task's estimate that makes δ.
    pub delta_factor: f64,
    /// δ is never less than this.
    pub delta_floor_s: f64,
    /// How long the key of the leader lives without a renewal.
    pub leader_lease_s: f64,
    /// A silent machine is released after this share of the workers' lease.
    pub silent_share: f64,
    /// An ordinary machine is given back after idling this long.
    pub idle_s: f64,
    /// A spot machine is given back after idling this long.
    pub idle_spot_s: f64,
    /// How much of the seen arrivals is kept free for classes that want quick starts.
    pub headroom: f64,
    /// Pending tasks are placed at most once in so many milliseconds.
    pub pass_ms: f64,
    /// An answer to a report waits up to so many milliseconds for commands
    /// that are about to be stored.
    pub hold_ms: f64,
    /// Room that tasks leave within this share of a boot time is waited for.
    pub wait_share: f64,
    /// What callers may take of this controller.
    pub connections: Connections,
    /// What classes of jobs may do.
    pub classes: Classes,
    /// When a zone counts as lost, and how it comes back.
    pub zones: ZoneLimits,
    /// When a class or team counts as hardly served.
    pub served: StarvationLimits,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            delta_factor: 0.5,
            delta_floor_s: 600.0,
            leader_lease_s: 1.6,
            silent_share: 0.6,
            idle_s: 8.0,
            idle_spot_s: 15.0,
            headroom: 2.0,
            pass_ms: 40.0,
            hold_ms: 300.0,
            wait_share: 0.8,
            connections: Connections::default(),
            classes: Classes::default(),
            zones: ZoneLimits::default(),
            served: StarvationLimits::default(),
        }
    }
}

impl Tuning {
    /// How often tasks may fail, by class.
    pub fn retry_policies(&self) -> BTreeMap<Class, RetryPolicy> {
        self.classes.retry_policies()
    }

    /// Reads and checks the operators' file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Malformed XML, or a value out of its range.
    pub fn parse(file: &str, text: &str) -> Result<Tuning, SettingsError> {
        let t: Tuning = quick_xml::de::from_str(text).map_err(|e| SettingsError::Read {
            file: file.into(),
            why: e.to_string(),
        })?;
        let all = [
            ("delta-factor", t.delta_factor, 0.0, 1e3),
            ("delta-floor-s", t.delta_floor_s, 0.0, 1e6),
            ("leader-lease-s", t.leader_lease_s, 1.0, 60.0),
            ("silent-share", t.silent_share, 0.3, 2.0),
            ("idle-s", t.idle_s, 0.0, 1e6),
            ("idle-spot-s", t.idle_spot_s, 0.0, 1e6),
            ("headroom", t.headroom, 0.0, 100.0),
            ("pass-ms", t.pass_ms, 0.0, 1000.0),
            ("hold-ms", t.hold_ms, 0.0, 2000.0),
            ("wait-share", t.wait_share, 0.0, 10.0),
        ];
        check_ranges(file, "", all)?;
        t.connections.check(file)?;
        t.classes.check(file)?;
        t.zones.check(file)?;
        t.served.check(file)?;
        Ok(t)
    }
}
