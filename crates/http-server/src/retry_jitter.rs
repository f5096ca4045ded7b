//! `Retry-After` with jitter: refused clients are told different times, so that
//! they do not come back all at once.

use rand::RngExt;

/// The protocol's users wait no longer than so many seconds, whatever they are told.
const MAX_SECONDS: usize = 30;

/// How many clients were told to retry in each of the seconds ahead. It only chooses
/// the time of the next try, and never waits.
#[derive(Debug)]
pub struct RetryJitter {
    /// How many may be told to retry in one second.
    per_second: u32,
    /// The second that `retries[0]` stands for.
    first: u64,
    retries: [u32; MAX_SECONDS + 1],
    /// Refused in the second `first`.
    refused_now: u32,
}

impl RetryJitter {
    /// `per_second`: how many may retry in one second; at least 1.
    pub fn new(per_second: u32) -> RetryJitter {
        RetryJitter {
            per_second: per_second.max(1),
            first: 0,
            retries: [0; MAX_SECONDS + 1],
            refused_now: 0,
        }
    }

    /// Seconds for `Retry-After`, 1 to 30 and not below `least`. `second` is
    /// the present one on a clock that only goes forward.
    pub fn next(&mut self, second: u64, least: u32, rng: &mut impl rand::Rng) -> u32 {
        let gone = second
            .saturating_sub(self.first)
            .min(MAX_SECONDS as u64 + 1) as usize;
        if gone > 0 {
            self.retries.rotate_left(gone % (MAX_SECONDS + 1));
            let keep = MAX_SECONDS + 1 - gone;
            self.retries[keep..].fill(0);
            self.first = second;
            self.refused_now = 0;
        }
        self.refused_now += 1;
        let least = (least.max(1) as usize).min(MAX_SECONDS);
        // The more are refused, the wider they are spread.
        let width = (self.refused_now / self.per_second) as usize;
        let drawn = rng.random_range(least..=(least + width).min(MAX_SECONDS));
        // The next second with room, or else the emptiest of all.
        let with_room = |s: &usize| self.retries[*s] < self.per_second;
        let chosen = (drawn..=MAX_SECONDS).chain(least..drawn).find(with_room);
        let emptiest = || (least..=MAX_SECONDS).min_by_key(|s| self.retries[*s]);
        let s = chosen.or_else(emptiest).unwrap_or(least);
        self.retries[s] += 1;
        s as u32
    }
}
