//! What of a lost zone is worth getting proof for: giving a machine back proves
//! that all on it is gone, so that it can start elsewhere, and loses what was
//! worked out there and not saved. Waiting costs time, and what a lease ends.
//!
//! How long a zone stays away is not known. One that has been silent for `g`
//! is taken to be silent for another `w` with a chance of `g / (g + w)`: an
//! absence that has lasted is likely to last as long again.

use hookworks_base::time::Span;

/// What an attempt's job loses by waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// A replica of a service: every second without it counts.
    Replica,
    /// A member of a gang that can't go on any more: nothing is left to lose.
    Broken,
    /// Urgent work.
    Urgent,
    /// Waiting makes it miss a deadline or an aim that it can still meet.
    Due,
    Other,
}

impl Standing {
    /// What a second sooner is worth, in seconds of work lost.
    fn weight(self) -> f64 {
        match self {
            Standing::Replica => 6.0,
            Standing::Broken => 3.0,
            Standing::Urgent => 2.0,
            Standing::Due => 1.5,
            Standing::Other => 0.5,
        }
    }

    /// Others may have to make room for it.
    fn makes_room(self) -> bool {
        matches!(self, Standing::Replica | Standing::Urgent)
    }
}

/// An attempt that may be running in a lost zone.
#[derive(Clone, Copy, Debug)]
pub struct Stake {
    pub standing: Standing,
    /// Work that would be done again: of a gang, that of all its members.
    pub unsaved: Span,
    /// How long it will go on by its estimate.
    pub left: Span,
    /// The share of a machine that it takes.
    pub size: f64,
}

/// A machine in a lost zone with what is on it.
#[derive(Clone, Debug)]
pub struct Case<M> {
    pub machine: M,
    pub stakes: Vec<Stake>,
    /// Until its lease has run out for certain, if nobody renews it.
    pub lease_left: Span,
}

/// Machines' worth of room that others can start soon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Free, or soon so, beyond what waits already.
    pub free: f64,
    /// What more could be made by stopping others, for those entitled to it.
    pub made: f64,
}

/// What is gained by giving the machine back now, in seconds of work; below
/// zero if waiting is better.
pub fn worth<M>(silent: Span, c: &Case<M>) -> f64 {
    let (g, w) = (silent.as_secs(), c.lease_left.as_secs());
    let stays = if g + w > 0.0 { g / (g + w) } else { 1.0 };
    let one = |s: &Stake| {
        let lost = match s.standing {
            Standing::Replica | Standing::Broken => 0.0,
            _ => s.unsaved.as_secs(),
        };
        let endless = matches!(s.standing, Standing::Replica | Standing::Broken);
        // It ends before its lease does, and its result is kept.
        if !endless && s.left <= c.lease_left {
            return -lost * s.size;
        }
        (s.standing.weight() * w * stays - lost * (1.0 - stays)) * s.size
    };
    c.stakes.iter().map(one).sum()
}

/// Which machines to give back now, those first that gain most, as far as what
/// was on them can start elsewhere soon. Each look takes from the same budget.
pub fn plan<M>(silent: Span, cases: Vec<Case<M>>, mut budget: Budget) -> Vec<M> {
    let mut worthy: Vec<(f64, Case<M>)> = cases
        .into_iter()
        .filter(|c| !c.stakes.is_empty())
        .map(|c| (worth(silent, &c), c))
        .filter(|(w, _)| *w > 0.0)
        .collect();
    worthy.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut chosen = vec![];
    for (_, c) in worthy {
        let (mut asks, mut entitled) = (0.0, 0.0);
        for s in &c.stakes {
            match s.standing.makes_room() {
                true => entitled += s.size,
                false => asks += s.size,
            }
        }
        // What may make room takes free room first, all the same.
        let from_free = entitled.min((budget.free - asks).max(0.0));
        let made = entitled - from_free;
        if asks + from_free > budget.free + 1e-9 || made > budget.made + 1e-9 {
            continue;
        }
        budget.free -= asks + from_free;
        budget.made -= made;
        chosen.push(c.machine);
    }
    chosen
}
