//! Thresholds and times for zone states.

use hookworks_base::time::Span;

/// The parameters of zone states; most are settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The heartbeat interval of workers, which varies by up to a quarter.
    pub report: Span,
    /// First condition for doubt: nothing at all heard from the zone for this long.
    pub quiet_after: Span,
    /// Second condition for doubt: this share of its machines is overdue.
    pub overdue_share: f64,
    /// The overdue share that puts a zone in doubt although some machines are still
    /// heard.
    pub partial_outage_share: f64,
    /// Zones with fewer machines have no state of their own; their machines are judged
    /// one by one.
    pub min_machines: u32,
    /// A zone in doubt for this long counts as lost.
    pub lost_after: Span,
    /// The time over which a returning zone is reopened; doubled for each earlier
    /// outage that is still remembered.
    pub recovery_ramp: Span,
    /// The upper bound of that time.
    pub max_recovery_ramp: Span,
    /// How long outages are remembered.
    pub outage_memory: Span,
    /// How long machines of a lost zone are kept: while renting replacements would cost
    /// more.
    pub retain_for: Span,
}

/// The longest interval between two heartbeats, relative to the nominal one.
const MAX_REPORT_INTERVAL_RATIO: f64 = 1.25;
/// The longest delivery time of a heartbeat, in seconds.
const MAX_DELIVERY_S: f64 = 1.0;

impl Limits {
    /// The defaults for a heartbeat interval.
    pub fn of(report: Span) -> Limits {
        Limits {
            report,
            quiet_after: Span::secs(2.0),
            overdue_share: 0.2,
            partial_outage_share: 0.8,
            min_machines: 3,
            lost_after: Span::secs(5.0),
            recovery_ramp: Span::secs(3.0),
            max_recovery_ramp: Span::secs(30.0),
            outage_memory: Span::secs(120.0),
            retain_for: Span::secs(90.0),
        }
    }

    /// A machine not heard for longer has certainly missed a heartbeat.
    pub fn overdue_after(&self) -> Span {
        Span::secs(self.report.as_secs() * MAX_REPORT_INTERVAL_RATIO + MAX_DELIVERY_S)
    }
}
