//! A token bucket: a budget that refills at a constant rate.

use crate::time::Time;

#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Time,
}

impl Budget {
    pub fn new(rate: f64, burst: f64) -> Budget {
        Budget {
            rate,
            burst,
            tokens: burst,
            refilled_at: Time::default(),
        }
    }

    fn refill(&mut self, now: Time) {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs() * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    pub fn has(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        self.tokens >= n
    }

    /// Takes tokens, more than there are if need be: then the balance is negative.
    pub fn take(&mut self, now: Time, n: f64) {
        self.refill(now);
        self.tokens -= n;
    }

    pub fn available(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Whether no more can be saved up.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.has(now, self.burst)
    }

    /// Capacity of the bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Removes all tokens; a negative balance stays.
    pub fn drain(&mut self, now: Time) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// Takes over the rate and the capacity of another budget; the balance doesn't grow.
    pub fn reconfigure(&mut self, now: Time, other: Budget) {
        self.refill(now);
        self.rate = other.rate;
        self.burst = other.burst;
        self.tokens = self.tokens.min(self.burst);
    }
}
