//! Publishes the version of this process in the state service, for a leader that it
//! can't reach: a key of its own, attached to a lease, until the switch to compact
//! records is stored.

use super::{OWN_VERSION, VersionTable};
use crate::ids::{ControllerId, ControllerVersion, Instance};
use crate::store::client::{StateStore, TxnOutcome};
use crate::store::{FORMAT_KEY, FormatRecord, VERSIONS_PREFIX};
use crate::time::{Span, Time};
use crate::wire::state::{Change, Item, Txn};
use serde::{Deserialize, Serialize};

/// Lifetime of the key's lease, and how often it is renewed.
const LEASE_TTL: Span = Span(10_000_000);
const RENEW_INTERVAL: Span = Span(3_000_000);
/// Initial and maximum backoff after a failed request.
const RETRY_BACKOFF: (Span, Span) = (Span(300_000), Span(5_000_000));

/// The value of a controller's key under [`VERSIONS_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// What the process understands.
    pub speaks: ControllerVersion,
    /// Identifies the process.
    pub instance: Instance,
}

/// The key under which a controller publishes its version.
pub fn version_key(label: &ControllerId) -> String {
    format!("{VERSIONS_PREFIX}{label}")
}

/// Records the version stored under a key of [`VERSIONS_PREFIX`].
pub fn record_stored_version(now: Time, item: &Item, versions: &mut VersionTable) {
    let label = ControllerId::from(item.key.trim_start_matches(VERSIONS_PREFIX));
    let Ok(record) = VersionRecord::deserialize(&item.value) else {
        tracing::warn!(key = %item.key, "stored version of a controller can't be parsed");
        return;
    };
    if let Some(version) = versions.record_stored(now, &label, record.instance, record.speaks) {
        tracing::info!(%label, %version, source = "record", "version of a controller");
    }
}

/// Publishes the version of this process step by step; the caller waits between steps.
pub struct Announcer<S> {
    state: S,
    label: ControllerId,
    instance: Instance,
    /// The lease of the key, once it is written.
    lease: Option<u64>,
    /// The pause after the next failure.
    backoff: Span,
    pause: Span,
}

impl<S: StateStore> Announcer<S> {
    /// Creates an announcer that has published nothing yet.
    pub fn new(state: S, label: ControllerId, instance: Instance) -> Announcer<S> {
        Announcer {
            state,
            label,
            instance,
            lease: None,
            backoff: RETRY_BACKOFF.0,
            pause: Span::ZERO,
        }
    }

    /// How long to wait before the next step.
    pub fn pause(&self) -> Span {
        self.pause
    }

    /// The state service, for other requests of the same thread.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Writes the key or renews its lease. Returns the format record once the switch is
    /// stored; nothing has to be published after that.
    pub fn step(&mut self) -> Option<FormatRecord> {
        match self.state.get(FORMAT_KEY) {
            Ok(Some(item)) => {
                self.withdraw();
                return Some(FormatRecord::read(&item.value));
            }
            Ok(None) if self.ensure_written() => {
                self.pause = RENEW_INTERVAL;
                self.backoff = RETRY_BACKOFF.0;
            }
            Ok(None) | Err(_) => {
                self.pause = self.backoff;
                self.backoff = Span(2 * self.backoff.0).min(RETRY_BACKOFF.1);
            }
        }
        None
    }

    /// Renews the lease, or writes the key if there is no lease. True if the key exists.
    fn ensure_written(&mut self) -> bool {
        match self.lease.map(|lease| self.state.renew(lease)) {
            Some(Ok(true)) => true,
            Some(Err(_)) => false,
            Some(Ok(false)) | None => self.write(),
        }
    }

    fn write(&mut self) -> bool {
        self.lease = None;
        let Ok(lease) = self.state.grant(LEASE_TTL.0 / 1000) else {
            return false;
        };
        let record = VersionRecord {
            speaks: OWN_VERSION,
            instance: self.instance,
        };
        let put = Change::Put {
            key: version_key(&self.label),
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: Some(lease),
        };
        let txn = Txn {
            conditions: vec![],
            changes: vec![put],
        };
        match self.state.txn(&txn) {
            TxnOutcome::Ok(_) => {
                self.lease = Some(lease);
                true
            }
            _ => {
                // If it is applied late, the key is deleted with the lease.
                self.state.revoke(lease);
                false
            }
        }
    }

    /// Deletes the key by revoking its lease.
    fn withdraw(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.state.revoke(lease);
        }
    }
}
