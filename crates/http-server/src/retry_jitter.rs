//! When those that were turned away are told to come back: spread out, so that
//! they do not come back as the same wave.

use rand::RngExt;

/// The protocol's users wait no longer than this, whatever they are told.
const LONGEST: usize = 30;

/// A ledger of the seconds ahead, with how many were told to come in each.
/// The answer is at once; only the time of the next try is chosen here.
#[derive(Debug)]
pub struct Spread {
    /// How many may be told to come back in one second.
    per_second: u32,
    /// The second that `booked[0]` stands for.
    first: u64,
    booked: [u32; LONGEST + 1],
    /// Turned away in the second `first`.
    lately: u32,
}

impl Spread {
    /// `per_second`: how many may come back in one second; at least 1.
    pub fn new(per_second: u32) -> Spread {
        Spread {
            per_second: per_second.max(1),
            first: 0,
            booked: [0; LONGEST + 1],
            lately: 0,
        }
    }

    /// Seconds for `Retry-After`, 1 to 30 and not below `least`. `second` is
    /// the present one on a clock that only goes forward.
    pub fn next(&mut self, second: u64, least: u32, rng: &mut impl rand::Rng) -> u32 {
        let gone = second.saturating_sub(self.first).min(LONGEST as u64 + 1) as usize;
        if gone > 0 {
            self.booked.rotate_left(gone % (LONGEST + 1));
            let keep = LONGEST + 1 - gone;
            self.booked[keep..].fill(0);
            self.first = second;
            self.lately = 0;
        }
        self.lately += 1;
        let least = (least.max(1) as usize).min(LONGEST);
        // The more are turned away, the wider they are strewn.
        let width = (self.lately / self.per_second) as usize;
        let drawn = rng.random_range(least..=(least + width).min(LONGEST));
        // The next second with room, or else the emptiest of all.
        let with_room = |s: &usize| self.booked[*s] < self.per_second;
        let chosen = (drawn..=LONGEST).chain(least..drawn).find(with_room);
        let emptiest = || (least..=LONGEST).min_by_key(|s| self.booked[*s]);
        let s = chosen.or_else(emptiest).unwrap_or(least);
        self.booked[s] += 1;
        s as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn a_wave_that_is_turned_away_comes_back_as_many_small_ones() {
        let mut rng = rand::rngs::StdRng::seed_from_u64(7);
        let mut s = Spread::new(100);
        // By the second on the clock, from 50 on.
        let mut back = [0u32; 40];
        for _ in 0..1400 {
            back[s.next(50, 1, &mut rng) as usize] += 1;
        }
        assert_eq!(back[0], 0);
        assert!(back.iter().all(|n| *n <= 100), "{back:?}");
        // Those of the next second find the others' places taken.
        for _ in 0..1400 {
            back[s.next(51, 1, &mut rng) as usize + 1] += 1;
        }
        assert!(back.iter().all(|n| *n <= 100), "{back:?}");
        // Past what thirty seconds can hold nobody is told more than thirty.
        for _ in 0..5000 {
            assert!((1..=30).contains(&s.next(52, 1, &mut rng)));
        }
    }

    #[test]
    fn a_few_are_told_to_come_back_as_soon_as_may_be() {
        let mut rng = rand::rngs::StdRng::seed_from_u64(7);
        let mut s = Spread::new(100);
        for second in 0..200 {
            for _ in 0..20 {
                assert_eq!(s.next(second, 1, &mut rng), 1);
            }
            assert_eq!(s.next(second, 4, &mut rng), 4);
        }
    }
}
