//! How long, how many, how sure.

use hookworks_base::time::Span;

/// What the verdicts rest on; operators may set most of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Workers report so often, give or take a quarter.
    pub report: Span,
    /// Nothing at all heard from a zone for so long is the first sign.
    pub quiet: Span,
    /// The second: this share of its machines is overdue.
    pub overdue_share: f64,
    /// The share that makes a zone doubtful though some of it is heard.
    pub most_share: f64,
    /// A zone with fewer machines is not judged: each is, by itself.
    pub least: u32,
    /// In doubt for so long, a zone is lost.
    pub lost_after: Span,
    /// A zone that comes back is used in full after so long; twice as long for
    /// each trouble before that is still remembered.
    pub settle: Span,
    /// It never takes longer than this.
    pub settle_most: Span,
    /// Troubles are remembered for so long.
    pub memory: Span,
    /// Machines of a lost zone are kept for so long: while renting others in
    /// their place would cost more.
    pub keep: Span,
}

/// The longest that a worker waits between two reports, as a share of the period.
const LONGEST: f64 = 1.25;
/// A report may be on its way for so long.
const ON_ITS_WAY: f64 = 1.0;

impl Limits {
    /// For workers that report so often.
    pub fn of(report: Span) -> Limits {
        Limits {
            report,
            quiet: Span::secs(2.0),
            overdue_share: 0.2,
            most_share: 0.8,
            least: 3,
            lost_after: Span::secs(5.0),
            settle: Span::secs(3.0),
            settle_most: Span::secs(30.0),
            memory: Span::secs(120.0),
            keep: Span::secs(90.0),
        }
    }

    /// A machine not heard for longer has missed a report for certain.
    pub fn overdue_after(&self) -> Span {
        Span::secs(self.report.as_secs() * LONGEST + ON_ITS_WAY)
    }
}
