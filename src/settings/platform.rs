//! The settings file that the platform provides.

use super::{SettingsError, field_error};
use crate::ids::{Class, ControllerId, Team, Zone};
use crate::store::limits::{MAX_SINGLE_RECORD_TXN_BYTES, VALUE_OVERHEAD_BYTES};
use crate::time::Span;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    pub label: ControllerId,
    pub zone: Zone,
    pub listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    #[serde(default)]
    pub seeds: Vec<Seed>,
    pub services: Services,
    pub params: Params,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Seed {
    pub label: ControllerId,
    pub zone: Zone,
    pub peer_addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    #[serde(default)]
    pub zones: Vec<Zone>,
    pub teams: Vec<TeamLimit>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerParams,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub machine_limits: MachineLimits,
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// Guarantee and quota of a team; 0 means that there is no such guarantee or limit.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimit {
    pub name: Team,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<Class>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WorkerParams {
    pub report_s: f64,
    pub lease_s: f64,
    #[serde(default)]
    pub gang_wait_s: f64,
    #[serde(default)]
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that take effect later, without further notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state service; absent fields don't change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the state service at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitValues {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

impl LimitValues {
    /// Maximum size of a value in bytes. No value may take more than a transaction does,
    /// whatever its own limit.
    pub fn value_bytes(&self) -> usize {
        let bytes = (self.value_kb * 1024.0) as usize;
        bytes.min(MAX_SINGLE_RECORD_TXN_BYTES - VALUE_OVERHEAD_BYTES)
    }

    /// Maximum number of changes of one record: the service allows bursts of one second's
    /// worth, so a transaction with more would be refused each time.
    pub fn max_record_changes(&self) -> usize {
        self.txn_ops.min((self.write_rps as usize).max(MIN_TXN_OPS))
    }

    /// The minimum of each field.
    pub fn min(&self, other: &LimitValues) -> LimitValues {
        LimitValues {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_kb: self.value_kb.min(other.value_kb),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

impl StateLimits {
    pub fn current(&self) -> LimitValues {
        LimitValues {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        }
    }

    /// The future limits, if any are announced.
    pub fn announced(&self) -> Option<LimitValues> {
        let next = self.next.as_ref()?;
        Some(LimitValues {
            rps: next.rps.unwrap_or(self.rps),
            write_rps: next.write_rps.unwrap_or(self.write_rps),
            value_kb: next.value_kb.unwrap_or(self.value_kb),
            txn_ops: next.txn_ops.unwrap_or(self.txn_ops),
        })
    }

    /// The minimum of the current and the announced limits.
    pub fn smallest(&self) -> LimitValues {
        let now = self.current();
        self.announced().map_or(now, |next| now.min(&next))
    }

    /// The first field with an unusable value, and the requirement.
    fn first_invalid_field(&self) -> Option<(String, String)> {
        let sets = [("", Some(self.current())), ("next.", self.announced())];
        for (of, limits) in sets {
            let Some(l) = limits else { continue };
            let positive = [
                ("rps", l.rps),
                ("write_rps", l.write_rps),
                ("value_kb", l.value_kb),
            ];
            let named = |field: &str| format!("params.state.{of}{field}");
            for (field, v) in positive {
                if !(v.is_finite() && v > 0.0) {
                    return Some((named(field), "must be above 0".into()));
                }
            }
            if l.txn_ops < MIN_TXN_OPS {
                let why = format!("must be at least {MIN_TXN_OPS}");
                return Some((named("txn_ops"), why));
            }
            if l.value_kb < MIN_VALUE_KB {
                let why = format!("must be at least {MIN_VALUE_KB}, or no job fits");
                return Some((named("value_kb"), why));
            }
        }
        None
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineLimits {
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

impl WorkerParams {
    /// Time after which a worker's lease has expired by any clock, plus a margin of one
    /// second.
    pub fn lease_bound(&self) -> Span {
        Span::secs(self.lease_s).stretched() + Span::secs(1.0)
    }
}

/// Minimum number of sockets that a controller needs to communicate.
const MIN_CONNECTIONS: usize = 64;
/// Size of a job record with a few tasks.
const MIN_VALUE_KB: f64 = 2.0;
/// The final write of a large job changes two records, and a large record takes four
/// values.
const MIN_TXN_OPS: usize = 4;

impl Platform {
    /// The other controllers and their zones.
    pub fn controllers(&self) -> BTreeMap<ControllerId, Zone> {
        let all = self.seeds.iter();
        all.map(|s| (s.label.clone(), s.zone.clone())).collect()
    }

    fn machine_limits_too_low(&self) -> bool {
        self.params.machine_limits.max_connections < MIN_CONNECTIONS
    }

    pub fn parse(file: &str, text: &str) -> Result<Platform, SettingsError> {
        let p: Platform = serde_json::from_str(text).map_err(|e| SettingsError::Read {
            file: file.into(),
            why: e.to_string(),
        })?;
        let positive = [
            ("params.workers.report_s", p.params.workers.report_s),
            ("params.workers.lease_s", p.params.workers.lease_s),
            ("params.workers.cancel_s", p.params.workers.cancel_s),
            ("params.cloud.rps", p.params.cloud.rps),
        ];
        for (field, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                return Err(field_error(file, field, "must be above 0"));
            }
        }
        if let Some((field, why)) = p.params.state.first_invalid_field() {
            return Err(field_error(file, &field, &why));
        }
        if p.machine_limits_too_low() {
            return Err(field_error(
                file,
                "params.machine_limits.max_connections",
                &format!("must be at least {MIN_CONNECTIONS}"),
            ));
        }
        let least = p.params.workers.lease_bound();
        if Span::secs(p.params.workers.cancel_s) < least {
            return Err(field_error(
                file,
                "params.workers.cancel_s",
                &format!(
                    "must be at least {:.3}, which is lease_s by the slowest clock and a second, \
                     or a cancelled task could outlive it",
                    least.as_secs()
                ),
            ));
        }
        for t in &p.params.teams {
            if [t.cpus, t.cpus_max, t.gpus, t.gpus_max]
                .iter()
                .any(|v| !v.is_finite() || *v < 0.0)
            {
                return Err(field_error(
                    file,
                    "params.teams",
                    "amounts must be 0 or more",
                ));
            }
        }
        Ok(p)
    }
}
