//! The version that each controller runs, from its pings and stored versions.

use super::{OWN_VERSION, newest_readable_format};
use crate::ids::{ControllerId, ControllerVersion, Instance};
use crate::store::RecordFormat;
use crate::time::{Span, Time};
use hookworks_membership::ReportedVersion;
use std::collections::BTreeMap;

/// The stored version of a controller with a ping this recent is not read: pings come
/// twice a second and are newer.
const RECENT_PING: Span = Span(2_000_000);

/// How the version of a controller is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// A ping of its latest process.
    Ping,
    /// What its process wrote to the state service.
    Record,
    /// The stored record format shows that all controllers run at least this version.
    Format,
}

/// A version that a controller was found to run, other than by a ping.
#[derive(Clone, Copy, Debug)]
struct StoredEvidence {
    instance: Option<Instance>,
    version: ControllerVersion,
    source: VersionSource,
    /// When this was first read here.
    since: Time,
}

/// Evidence of the version of one controller.
#[derive(Clone, Debug, Default)]
struct Evidence {
    ping: Option<ReportedVersion>,
    record: Option<StoredEvidence>,
}

impl Evidence {
    /// The version of the latest known process. A ping received after the stored version
    /// was first read comes from the same or a later process.
    fn version(&self) -> Option<(ControllerVersion, VersionSource)> {
        let by_ping = |p: ReportedVersion| (p.version, VersionSource::Ping);
        let by_record = |r: StoredEvidence| (r.version, r.source);
        match (self.ping, self.record) {
            (Some(p), Some(r)) if p.instance.is_some() && p.instance == r.instance => {
                Some(by_ping(p))
            }
            (Some(p), Some(r)) if p.at >= r.since => Some(by_ping(p)),
            (_, Some(r)) => Some(by_record(r)),
            (p, None) => p.map(by_ping),
        }
    }
}

/// The versions of all controllers of the settings.
#[derive(Clone, Debug)]
pub struct VersionTable {
    own: (ControllerId, ControllerVersion),
    others: BTreeMap<ControllerId, Evidence>,
}

impl VersionTable {
    /// Creates a table in which the versions of the others are unknown.
    pub fn new(me: ControllerId, others: impl IntoIterator<Item = ControllerId>) -> VersionTable {
        let unknown = |label| (label, Evidence::default());
        VersionTable {
            own: (me, OWN_VERSION),
            others: others.into_iter().map(unknown).collect(),
        }
    }

    /// Records the version that the latest process of a controller reports in its pings.
    /// Returns the controller's version if that was not known before.
    pub fn record_ping(
        &mut self,
        label: &ControllerId,
        reported: ReportedVersion,
    ) -> Option<ControllerVersion> {
        self.update(label, |evidence| evidence.ping = Some(reported))
    }

    /// Records the stored version of a controller's process. Returns the
    /// controller's version if that was not known before.
    pub fn record_stored(
        &mut self,
        now: Time,
        label: &ControllerId,
        instance: Instance,
        version: ControllerVersion,
    ) -> Option<ControllerVersion> {
        self.update(label, |evidence| {
            let known = evidence.record.and_then(|r| r.instance) == Some(instance);
            if !known {
                evidence.record = Some(StoredEvidence {
                    instance: Some(instance),
                    version,
                    source: VersionSource::Record,
                    since: now,
                });
            }
        })
    }

    /// Records that the switch to a record format is stored, which shows that every
    /// controller runs at least this version.
    pub fn record_format(&mut self, now: Time, version: ControllerVersion) {
        for evidence in self.others.values_mut() {
            if evidence.version().is_none_or(|(v, _)| v < version) {
                evidence.record = Some(StoredEvidence {
                    instance: None,
                    version,
                    source: VersionSource::Format,
                    since: now,
                });
            }
        }
    }

    fn update(
        &mut self,
        label: &ControllerId,
        change: impl FnOnce(&mut Evidence),
    ) -> Option<ControllerVersion> {
        // Controllers that are not in the settings are ignored.
        let evidence = self.others.get_mut(label)?;
        let before = evidence.version().map(|(version, _)| version);
        change(evidence);
        let after = evidence.version().map(|(version, _)| version);
        after.filter(|_| after != before)
    }

    /// The version of a controller, and how it is known.
    pub fn version(&self, label: &ControllerId) -> Option<(ControllerVersion, VersionSource)> {
        self.others.get(label)?.version()
    }

    /// Whether a controller is known to understand what needs this version.
    pub fn understands(&self, label: &ControllerId, needs: ControllerVersion) -> bool {
        needs == super::EARLIEST || self.version(label).is_some_and(|(v, _)| v >= needs)
    }

    /// Whether every controller of the settings is known to read this record format.
    pub fn all_read(&self, format: RecordFormat) -> bool {
        let versions = self.others.values().map(|e| e.version().map(|(v, _)| v));
        let mut all = versions.chain([Some(self.own.1)]);
        all.all(|version| version.is_some_and(|v| newest_readable_format(v) >= format))
    }

    /// Whether some controller is neither known to read this format nor has sent a recent
    /// ping, so that its stored version has to be read.
    pub fn needs_stored_versions(&self, now: Time, format: RecordFormat) -> bool {
        self.others.values().any(|evidence| {
            let known = evidence
                .version()
                .is_some_and(|(v, _)| newest_readable_format(v) >= format);
            let heard = evidence.ping.is_some_and(|p| now - p.at < RECENT_PING);
            !known && !heard
        })
    }

    /// All controllers, this one included, with their versions as far as known.
    pub fn all(
        &self,
    ) -> impl Iterator<Item = (&ControllerId, Option<(ControllerVersion, VersionSource)>)> {
        let others = self.others.iter().map(|(l, e)| (l, e.version()));
        // The own version is always known.
        others.chain([(&self.own.0, Some((self.own.1, VersionSource::Ping)))])
    }
}
