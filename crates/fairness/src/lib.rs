//! What share of each class of jobs, and of each team, is served.
//!
//! A day on which less than half of any class or team is served has failed, and
//! nobody saw it coming: figures were kept of the fleet as a whole. [`Served`]
//! counts by group what came and what became of it, over the last minutes, and
//! with what waits now tells the share that is served. [`Floor`] says who has
//! fallen so low that room is set aside, and how much for each.
//!
//! Events go in with their time, figures come out. There is no I/O, no clock and
//! no thread here. Memory is bounded: a few counters for each group and ten
//! seconds, for [`WINDOW`].

mod largest;

pub use largest::{Largest, LargestFigures};

use hookworks_base::time::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Shares are of what happened within so long.
pub const WINDOW: Span = Span(300_000_000);
/// Counted together.
const STEP: Span = Span(10_000_000);

/// What happened to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// It was taken, or found by a new leader.
    Came,
    /// The first of its tasks runs.
    Begun,
    Done,
    Cancelled,
    /// A submission was told to come back later.
    Refused,
}

/// Jobs by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub came: u64,
    pub begun: u64,
    pub done: u64,
    pub cancelled: u64,
    pub refused: u64,
}

impl Counts {
    fn note(&mut self, what: What) {
        let n = match what {
            What::Came => &mut self.came,
            What::Begun => &mut self.begun,
            What::Done => &mut self.done,
            What::Cancelled => &mut self.cancelled,
            What::Refused => &mut self.refused,
        };
        *n += 1;
    }

    fn add(&mut self, o: &Counts) {
        self.came += o.came;
        self.begun += o.begun;
        self.done += o.done;
        self.cancelled += o.cancelled;
        self.refused += o.refused;
    }
}

/// What waits now, of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waits {
    pub jobs: u64,
    pub tasks: u64,
    /// The longest that any of them has waited.
    pub oldest: Span,
    /// Jobs that have waited for longer than their class is to wait at all.
    pub overdue: u64,
    /// The same, of those that came so long ago, whatever began of them since.
    pub late: u64,
}

impl Waits {
    /// A job with so many waiting tasks, that came so long ago and has waited for
    /// a start since then; `patience` is what its class may wait.
    pub fn note(&mut self, tasks: u64, came: Span, waited: Span, patience: Span) {
        self.jobs += 1;
        self.late += (came > patience) as u64;
        self.tasks += tasks;
        self.oldest = self.oldest.max(waited);
        self.overdue += (waited > patience) as u64;
    }
}

/// The figures of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Since this leader began.
    pub total: Counts,
    /// Within [`WINDOW`].
    pub recent: Counts,
    pub waiting_jobs: u64,
    pub waiting_tasks: u64,
    pub oldest_wait_s: f64,
    pub overdue_jobs: u64,
    pub late_jobs: u64,
    /// Of those that began lately or should have: the share that did. 1 where
    /// nothing was due.
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    total: Counts,
    recent: VecDeque<(u64, Counts)>,
}

/// Counts by group.
#[derive(Clone, Debug)]
pub struct Served<K>(BTreeMap<K, Group>);

impl<K> Default for Served<K> {
    fn default() -> Self {
        Served(BTreeMap::new())
    }
}

impl<K: Ord + Clone> Served<K> {
    pub fn note(&mut self, now: Time, group: &K, what: What) {
        if !self.0.contains_key(group) {
            self.0.insert(group.clone(), Group::default());
        }
        let Some(g) = self.0.get_mut(group) else {
            return;
        };
        g.total.note(what);
        let step = now.0 / STEP.0;
        g.forget(step);
        match g.recent.back_mut().filter(|(s, _)| *s == step) {
            Some((_, c)) => c.note(what),
            None => {
                let mut c = Counts::default();
                c.note(what);
                g.recent.push_back((step, c));
            }
        }
    }

    /// The figures of every group that ever had any, or waits now.
    pub fn figures(&mut self, now: Time, waits: &BTreeMap<K, Waits>) -> BTreeMap<K, Figures> {
        let mut all: BTreeMap<K, Figures> = BTreeMap::new();
        for (k, g) in &mut self.0 {
            g.forget(now.0 / STEP.0);
            all.insert(k.clone(), Figures::of(g, waits.get(k)));
        }
        for (k, w) in waits {
            all.entry(k.clone())
                .or_insert_with(|| Figures::of(&Group::default(), Some(w)));
        }
        all
    }
}

impl Group {
    fn forget(&mut self, step: u64) {
        let steps = WINDOW.0 / STEP.0;
        while self.recent.front().is_some_and(|(s, _)| s + steps < step) {
            self.recent.pop_front();
        }
    }
}

impl Figures {
    fn of(g: &Group, waits: Option<&Waits>) -> Figures {
        let mut recent = Counts::default();
        for (_, c) in &g.recent {
            recent.add(c);
        }
        let w = waits.copied().unwrap_or_default();
        let due = recent.begun + w.overdue;
        Figures {
            total: g.total,
            recent,
            waiting_jobs: w.jobs,
            waiting_tasks: w.tasks,
            oldest_wait_s: w.oldest.as_secs(),
            overdue_jobs: w.overdue,
            late_jobs: w.late,
            share: match due {
                0 => 1.0,
                _ => recent.begun as f64 / due as f64,
            },
        }
    }
}

/// Who gets room ahead of all others, and how much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// Share of the fleet that is set aside for all such groups together; 0
    /// switches the floor off.
    pub room: f64,
    /// A group is below the floor if a smaller share of it is served.
    pub below: f64,
    /// A job is overtaken by others for no longer than this without any start; none:
    /// for as long as the order of service has it.
    pub overtaken: Option<Span>,
}

/// Of a job that was overtaken for so long, one in so many tasks begins.
const PORTION: u64 = 10;

impl Floor {
    /// Whether a group is below the floor: jobs of it are overdue, and too few
    /// began meanwhile. One that was stays so until none of its jobs is late: the
    /// first start alone would leave the rest to wait as long again.
    pub fn is_below(&self, was: bool, f: &Figures) -> bool {
        let falls = f.overdue_jobs > 0 && f.share < self.below;
        self.room > 0.0 && (falls || was && f.late_jobs > 0)
    }

    /// How many tasks of a job go ahead of others, of which so many wait and none
    /// has begun for so long. A part only: jobs of thousands of tasks would stop
    /// everyone else's.
    pub fn goes_ahead(&self, tasks: u64, waiting: u64, waited: Span) -> u64 {
        match self.overtaken {
            Some(most) if waited >= most => tasks.div_ceil(PORTION).min(waiting),
            _ => 0,
        }
    }

    /// What each of the groups below the floor may still take ahead of others,
    /// given what they use of a fleet of this size. Below zero: it has more than
    /// its part already, as one has that floods the fleet and is not served by half
    /// for that; its part is the others'.
    pub fn budgets<K: Ord + Clone>(&self, fleet: i64, used: &BTreeMap<K, i64>) -> BTreeMap<K, i64> {
        let all = (fleet as f64 * self.room) as i64;
        let mut uses: Vec<i64> = used.values().copied().collect();
        uses.sort_unstable();
        // The largest leave, one by one, as long as they have more than an equal part.
        while uses.len() > 1 && uses.last().is_some_and(|u| *u > all / uses.len() as i64) {
            uses.pop();
        }
        let part = all / uses.len().max(1) as i64;
        let most = uses.last().copied().unwrap_or(0);
        let left = |(k, used): (&K, &i64)| match *used > most {
            true => (k.clone(), -used),
            false => (k.clone(), part - used),
        };
        used.iter().map(left).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Time {
        Time(10_000_000_000 + s * 1_000_000)
    }

    fn waits(jobs: &[(u64, f64, f64)]) -> Waits {
        let mut w = Waits::default();
        for (tasks, waited, patience) in jobs {
            let waited = Span::secs(*waited);
            w.note(*tasks, waited, waited, Span::secs(*patience));
        }
        w
    }

    fn share(s: &mut Served<&'static str>, now: Time, w: Waits) -> f64 {
        s.figures(now, &BTreeMap::from([("a", w)]))["a"].share
    }

    #[test]
    fn the_share_is_of_what_began_or_should_have() {
        let mut s = Served::default();
        for n in 0..6 {
            s.note(at(n), &"a", What::Came);
        }
        assert_eq!(share(&mut s, at(10), waits(&[(3, 5.0, 60.0)])), 1.0);
        s.note(at(11), &"a", What::Begun);
        // Two of them should have begun; one has come just now.
        let w = waits(&[(3, 61.0, 60.0), (1, 90.0, 60.0), (9, 2.0, 60.0)]);
        assert_eq!(share(&mut s, at(12), w), 1.0 / 3.0);
        let f = s.figures(at(12), &BTreeMap::from([("a", w)]))["a"];
        assert_eq!(
            (f.waiting_jobs, f.waiting_tasks, f.overdue_jobs),
            (3, 13, 2)
        );
        assert_eq!((f.recent.came, f.oldest_wait_s), (6, 90.0));
    }

    /// A class that began well in the morning starved unseen at noon.
    #[test]
    fn what_began_long_ago_does_not_count_for_now() {
        let mut s = Served::default();
        for n in 0..100 {
            s.note(at(n), &"a", What::Begun);
        }
        let w = waits(&[(1, 90.0, 60.0)]);
        assert!(share(&mut s, at(100), w) > 0.99);
        assert_eq!(share(&mut s, at(500), w), 0.0);
        let f = s.figures(at(500), &BTreeMap::new())["a"];
        assert_eq!((f.total.begun, f.recent.begun, f.share), (100, 0, 1.0));
        // A group of which nothing was ever heard but that it waits is shown.
        let all = s.figures(at(500), &BTreeMap::from([("b", w)]));
        assert_eq!(all["b"].share, 0.0);
    }

    #[test]
    fn below_the_floor_is_who_is_overdue_and_hardly_served() {
        let floor = Floor {
            room: 0.1,
            below: 0.7,
            overtaken: None,
        };
        let of = |overdue_jobs, share| Figures {
            overdue_jobs,
            share,
            ..Figures::default()
        };
        assert!(floor.is_below(false, &of(3, 0.5)));
        assert!(!floor.is_below(false, &of(3, 0.9)));
        assert!(!floor.is_below(false, &of(0, 0.0)));
        let late = Figures {
            late_jobs: 1,
            ..of(0, 0.5)
        };
        assert!(floor.is_below(true, &late) && !floor.is_below(false, &late));
        let off = Floor { room: 0.0, ..floor };
        assert!(!off.is_below(true, &of(3, 0.5)));
    }

    /// The largest jobs were overtaken for ever by a flood of small ones.
    #[test]
    fn a_job_is_overtaken_for_so_long_and_then_goes_ahead_in_part() {
        let floor = Floor {
            room: 0.0,
            below: 0.7,
            overtaken: Some(Span::secs(100.0)),
        };
        let ahead = |tasks, waiting, s| floor.goes_ahead(tasks, waiting, Span::secs(s));
        assert_eq!(ahead(3000, 3000, 99.0), 0);
        assert_eq!((ahead(3000, 3000, 100.0), ahead(1, 1, 100.0)), (300, 1));
        assert_eq!(ahead(3000, 7, 500.0), 7);
        let never = Floor {
            overtaken: None,
            ..floor
        };
        assert_eq!(never.goes_ahead(3000, 3000, Span::secs(1e6)), 0);
    }

    /// A class floods the fleet, is served by less than half for that, and is not
    /// to take the part of one that has nothing.
    #[test]
    fn who_has_more_than_its_part_leaves_it_to_the_others() {
        let floor = Floor {
            room: 0.1,
            below: 0.7,
            overtaken: None,
        };
        let used = BTreeMap::from([("flood", 900), ("none", 0), ("little", 20)]);
        let left = floor.budgets(1000, &used);
        assert_eq!(
            (left["none"], left["little"], left["flood"]),
            (50, 30, -900)
        );
        assert_eq!(floor.budgets(0, &BTreeMap::from([("a", 0)]))["a"], 0);
    }

    /// Whatever they use, together they are never set aside more than the floor.
    #[test]
    fn the_room_set_aside_is_bounded() {
        arbtest::arbtest(|u| {
            let floor = Floor {
                room: 0.1,
                below: 0.7,
                overtaken: None,
            };
            let fleet: i64 = u.int_in_range(0..=10_000_000)?;
            let mut used = BTreeMap::new();
            for k in 0..u.int_in_range(1..=8)? {
                used.insert(k, u.int_in_range(0..=fleet)?);
            }
            let left = floor.budgets(fleet, &used);
            let parts = left.iter().filter(|(_, l)| **l >= 0);
            let most: i64 = parts.map(|(k, l)| l + used[k]).sum();
            assert!(most as f64 <= fleet as f64 * 0.1 + 1.0);
            assert_eq!(left.len(), used.len());
            Ok(())
        });
    }
}
