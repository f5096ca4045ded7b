//! The clocks; their times are [`hookworks_base::time`]'s.

pub use hookworks_base::time::{Span, Time, WallTime};

/// The steady clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// A clock that counts from now on.
    pub fn start() -> Clock {
        Clock(std::time::Instant::now())
    }
    /// One hour is added so that "an hour ago" can be told at the start too.
    pub fn now(&self) -> Time {
        self.time_at(std::time::Instant::now())
    }
    /// That moment on this clock.
    pub fn time_at(&self, moment: std::time::Instant) -> Time {
        Time(moment.duration_since(self.0).as_micros() as u64 + 3_600_000_000)
    }
    /// When this clock shows that.
    pub fn instant_at(&self, t: Time) -> std::time::Instant {
        self.0 + (t - Time(3_600_000_000)).std()
    }
}

/// The time of day.
pub fn wall_time_now() -> WallTime {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    WallTime(since.map_or(0, |since| since.as_millis() as u64))
}
