//! Clocks; the types of time are in [`hookworks_base::time`].

pub use hookworks_base::time::{Span, Time, WallTime};

/// The steady clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock(std::time::Instant::now())
    }
    /// The current time. One hour is added so that "an hour ago" can be represented
    /// right after the start.
    pub fn now(&self) -> Time {
        self.time_at(std::time::Instant::now())
    }
    /// Converts an instant to the time of this clock.
    pub fn time_at(&self, moment: std::time::Instant) -> Time {
        Time(moment.duration_since(self.0).as_micros() as u64 + 3_600_000_000)
    }
    /// Converts a time of this clock to an instant.
    pub fn instant_at(&self, t: Time) -> std::time::Instant {
        self.0 + (t - Time(3_600_000_000)).std()
    }
}

/// The current wall-clock time.
pub fn wall_time_now() -> WallTime {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    WallTime(since.map_or(0, |since| since.as_millis() as u64))
}
