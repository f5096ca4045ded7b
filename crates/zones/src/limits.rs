//! How long, how many, how sure.

use hookworks_base::time::Span;

/// What the verdicts rest on; operators may set most of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Workers report so often, give or take a quarter.
    pub report: Span,
    /// Nothing at all heard from a zone for so long is the first sign.
    pub quiet_after: Span,
    /// The second: this share of its machines is overdue.
    pub overdue_share: f64,
    /// The share that makes a zone doubtful though some of it is heard.
    pub partial_outage_share: f64,
    /// A zone with fewer machines is not judged: each is, by itself.
    pub min_machines: u32,
    /// In doubt for so long, a zone is lost.
    pub lost_after: Span,
    /// A zone that comes back is used in full after so long; twice as long for
    /// each trouble before that is still remembered.
    pub recovery_ramp: Span,
    /// It never takes longer than this.
    pub max_recovery_ramp: Span,
    /// Troubles are remembered for so long.
    pub outage_memory: Span,
    /// Machines of a lost zone are kept for so long: while renting others in
    /// their place would cost more.
    pub retain_for: Span,
}

/// The longest that a worker waits between two reports, as a share of the period.
const MAX_REPORT_INTERVAL_RATIO: f64 = 1.25;
/// A report may be on its way for so long.
const MAX_DELIVERY_S: f64 = 1.0;

impl Limits {
    /// For workers that report so often.
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

    /// A machine not heard for longer has missed a report for certain.
    pub fn overdue_after(&self) -> Span {
        Span::secs(self.report.as_secs() * MAX_REPORT_INTERVAL_RATIO + MAX_DELIVERY_S)
    }
}
