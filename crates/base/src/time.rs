//! Points and lengths of time on the steady clock, in microseconds. The clock
//! itself is not here: times are passed in.

use std::ops::{Add, Sub};

/// A point on this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Milliseconds of the time of day, for what must outlive a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// So many seconds; never below zero.
    pub fn secs(s: f64) -> Span {
        Span((s.max(0.0) * 1e6) as u64)
    }
    /// So many milliseconds.
    pub fn millis(ms: u64) -> Span {
        Span(ms * 1000)
    }
    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// What another machine's clock may make of this span at the most: steady
    /// clocks drift apart by up to 0.05%, taken twice to be safe.
    pub fn stretched(self) -> Span {
        Span(self.0 + self.0 / 1000)
    }
    /// What another machine's clock may make of this span at the least.
    pub fn shrunk(self) -> Span {
        Span(self.0 - self.0 / 1000)
    }
    /// As the standard library has it.
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
