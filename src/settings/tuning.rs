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
    /// Lower bound of δ, in seconds.
    pub delta_floor_s: f64,
    /// Duration of the leader's lease in seconds.
    pub leader_lease_s: f64,
    /// A machine without heartbeats is released after this share of the workers' lease.
    pub silent_share: f64,
    /// An on-demand machine is returned after being idle for this many seconds.
    pub idle_s: f64,
    /// A spot machine is returned after being idle for this many seconds.
    pub idle_spot_s: f64,
    /// Headroom for classes with start-time objectives, as a multiple of the observed
    /// arrivals.
    pub headroom: f64,
    /// Minimum interval between placement passes in milliseconds.
    pub pass_ms: f64,
    /// Maximum time in milliseconds that the response to a heartbeat is held back for
    /// commands whose records are being stored.
    pub hold_ms: f64,
    /// Placement waits for resources that become free within this share of a boot time.
    pub wait_share: f64,
    /// Connection limits.
    pub connections: Connections,
    /// Retry rules of classes.
    pub classes: Classes,
    /// Detection and recovery of lost zones.
    pub zones: ZoneLimits,
    /// Protection against starvation.
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
    /// Retry policies by class.
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
