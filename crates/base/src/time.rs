//! Points and lengths of time on the steady clock, in microseconds. The clock
//! itself is not here: times are passed in.

use std::ops::{Add, Sub};

/// A point on this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Wall-clock time in milliseconds, for times that must outlive a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span in seconds; negative values become zero.
    pub fn secs(s: f64) -> Span {
        Span((s.max(0.0) * 1e6) as u64)
    }
    /// A span in milliseconds.
    pub fn millis(ms: u64) -> Span {
        Span(ms * 1000)
    }
    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Longest measure of this span on another machine's clock: steady clocks differ by
    /// up to 0.05%, doubled as a safety margin.
    pub fn stretched(self) -> Span {
        Span(self.0 + self.0 / 1000)
    }
    /// Shortest measure of this span on another machine's clock.
    pub fn shrunk(self) -> Span {
        Span(self.0 - self.0 / 1000)
    }
    /// Converts to the standard library's duration.
    pub fn std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, s: Span) -> Time {
        Time(self.0 + s.0)
    }
}
impl Sub<Time> for Time {
    type Output = Span;
    /// Never below zero.
    fn sub(self, o: Time) -> Span {
        Span(self.0.saturating_sub(o.0))
    }
}
impl Add for Span {
    type Output = Span;
    fn add(self, o: Span) -> Span {
        Span(self.0 + o.0)
    }
}
impl Sub for Span {
    type Output = Span;
    fn sub(self, o: Span) -> Span {
        Span(self.0.saturating_sub(o.0))
    }
}
