//! A budget that refills with time.

use crate::time::Time;

#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    have: f64,
    at: Time,
}

impl Budget {
    pub fn new(rate: f64, burst: f64) -> Budget {
        Budget {
            rate,
            burst,
            have: burst,
            at: Time::default(),
        }
    }

    fn refill(&mut self, now: Time) {
        self.have = (self.have + (now - self.at).as_secs() * self.rate).min(self.burst);
        self.at = now;
    }

    pub fn has(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        self.have >= n
    }

    pub fn take(&mut self, now: Time, n: f64) {
        self.refill(now);
        self.have -= n;
    }

    pub fn left(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.have
    }

    /// The most that it ever holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Nothing is left.
    pub fn empty(&mut self, now: Time) {
        self.refill(now);
        self.have = self.have.min(0.0);
    }

    /// Refills as another one does from now on, with no more than is left.
    pub fn change_to(&mut self, now: Time, other: Budget) {
        self.refill(now);
        self.rate = other.rate;
        self.burst = other.burst;
        self.have = self.have.min(self.burst);
    }
}
