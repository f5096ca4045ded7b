//! Detection and recovery of lost zones.

use super::{SettingsError, check_ranges};
use hookworks_base::time::Span;
use hookworks_zones::Limits;
use serde::{Deserialize, Serialize};

/// `<zones><act>true</act>…</zones>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ZoneLimits {
    /// Whether the scheduler acts on the state of zones; otherwise it is only reported.
    pub act: bool,
    /// First condition of doubt: no heartbeat from the whole zone for this many seconds.
    pub quiet_s: f64,
    /// Second condition: this share of its machines has missed a heartbeat.
    pub overdue_share: f64,
    /// Share of missed heartbeats that puts a zone in doubt even if others still arrive.
    pub most_share: f64,
    /// A zone with fewer machines is not evaluated.
    pub least_machines: u32,
    /// A zone is lost after being in doubt for this many seconds.
    pub lost_after_s: f64,
    /// A recovered zone is used in full after this many seconds; doubled for each
    /// remembered outage.
    pub settle_s: f64,
    /// Upper bound of that time in seconds.
    pub settle_most_s: f64,
    /// Outages are remembered for this many seconds.
    pub memory_s: f64,
    /// Machines of a lost zone are kept for this many seconds.
    pub keep_s: f64,
}

impl Default for ZoneLimits {
    fn default() -> Self {
        let l = Limits::of(Span::ZERO);
        ZoneLimits {
            act: false,
            quiet_s: l.quiet_after.as_secs(),
            overdue_share: l.overdue_share,
            most_share: l.partial_outage_share,
            least_machines: l.min_machines,
            lost_after_s: l.lost_after.as_secs(),
            settle_s: l.recovery_ramp.as_secs(),
            settle_most_s: l.max_recovery_ramp.as_secs(),
            memory_s: l.outage_memory.as_secs(),
            keep_s: l.retain_for.as_secs(),
        }
    }
}

impl ZoneLimits {
    /// The limits for workers that send a heartbeat every `report_s` seconds.
    pub fn limits(&self, report_s: f64) -> Limits {
        Limits {
            report: Span::secs(report_s),
            quiet_after: Span::secs(self.quiet_s),
            overdue_share: self.overdue_share,
            partial_outage_share: self.most_share,
            min_machines: self.least_machines,
            lost_after: Span::secs(self.lost_after_s),
            recovery_ramp: Span::secs(self.settle_s),
            max_recovery_ramp: Span::secs(self.settle_most_s),
            outage_memory: Span::secs(self.memory_s),
            retain_for: Span::secs(self.keep_s),
        }
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let all = [
            ("quiet-s", self.quiet_s, 0.5, 60.0),
            ("overdue-share", self.overdue_share, 0.01, 1.0),
            ("most-share", self.most_share, 0.3, 1.0),
            ("least-machines", self.least_machines as f64, 2.0, 1e6),
            ("lost-after-s", self.lost_after_s, 0.0, 600.0),
            ("settle-s", self.settle_s, 0.0, 600.0),
            ("settle-most-s", self.settle_most_s, 0.0, 3600.0),
            ("memory-s", self.memory_s, 0.0, 1e5),
            ("keep-s", self.keep_s, 1.0, 1e5),
        ];
        check_ranges(file, "zones/", all)
    }
}
