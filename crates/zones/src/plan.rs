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
    /// Any other work.
    Other,
}

impl Standing {
    /// What a second sooner is worth, in seconds of work lost.
    fn weight(self) -> f64 {
        match self {
            Standing::Replica => 4.0,
            Standing::Urgent => 2.0,
            Standing::Broken => 1.0,
            Standing::Other => 0.5,
        }
    }

    /// Others may have to make room for it.
    fn makes_room(self) -> bool {
        matches!(self, Standing::Replica | Standing::Urgent)
    }

    /// Nothing is being worked out there that could be lost, or come to its end.
    fn idle(self) -> bool {
        matches!(self, Standing::Replica | Standing::Broken)
    }
}

/// An attempt that may be running in a lost zone.
#[derive(Clone, Copy, Debug)]
pub struct Stake {
    /// What its job loses by waiting.
    pub standing: Standing,
    /// Work that would be done again: of a gang, that of all its members.
    pub unsaved: Span,
    /// How long it takes from its start, or from what it has saved.
    pub again: Span,
    /// How long it will go on by its estimate; zero if it should be done, and
    /// its result kept.
    pub left: Span,
    /// Until when it must be done for a deadline or an aim.
    pub due: Option<Span>,
    /// The share of a machine that it takes.
    pub size: f64,
}

/// A machine in a lost zone with what is on it.
#[derive(Clone, Debug)]
pub struct Case<M> {
    /// The machine.
    pub machine: M,
    /// The attempts on it.
    pub stakes: Vec<Stake>,
    /// Until its lease has run out for certain, if nobody renews it.
    pub lease_left: Span,
    /// How long another one takes to boot.
    pub boot: Span,
}

/// Machines' worth of room that others can start soon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Free, or about to be, beyond what is due to others.
    pub free: f64,
    /// What more could be made by stopping others, for those entitled to it.
    pub made: f64,
}

/// From the decision to the start of a task elsewhere, in seconds.
const START: f64 = 3.0;
/// What an aim met instead of missed is worth, in seconds of work.
const AIM: f64 = 30.0;
/// What a second of work, or of a machine that must boot, is worth.
const WORK: f64 = 0.5;
/// A task that is done already takes a place elsewhere for so small a share of
/// its time.
const DONE_TAKES: f64 = 0.2;

/// The chances of a zone that has been silent for `g`, over the next `w` seconds.
struct Odds {
    /// That it comes back by then.
    back: f64,
    /// When it does, on average, if it does.
    after: f64,
}

fn odds(g: f64, w: f64) -> Odds {
    if g <= 0.0 || w <= 0.0 {
        return Odds {
            back: if w > 0.0 { 1.0 } else { 0.0 },
            after: 0.0,
        };
    }
    let back = w / (g + w);
    // The mean of a waiting time with P(T > t) = g / (g + t), as far as w.
    let sum = g * (((g + w) / g).ln() - back);
    Odds {
        back,
        after: sum / back,
    }
}

/// What is gained by giving the machine back now, in seconds of work; below
/// zero if waiting is better.
pub fn worth<M>(silent: Span, c: &Case<M>) -> f64 {
    let (g, w) = (silent.as_secs(), c.lease_left.as_secs());
    let o = odds(g, w);
    let one = |s: &Stake| {
        let (left, again) = (s.left.as_secs(), s.again.as_secs());
        let idle = s.standing.idle();
        let done = !idle && left <= 0.0;
        let ends = !idle && left <= w;
        // When its job has this task behind it, or a replica up again.
        let then = if idle || ends { 0.0 } else { again };
        let comes = if idle { o.after } else { o.after.max(left) };
        let waits = o.back * comes + (1.0 - o.back) * (w + START + then);
        let moves = START + if idle || done { 0.0 } else { again };
        let due = s.due.map_or(f64::INFINITY, Span::as_secs);
        let meets = (moves <= due) as i32 - (waits <= due) as i32;
        let spared = if ends { 1.0 } else { o.back };
        let lost = if idle || done {
            0.0
        } else {
            s.unsaved.as_secs() * spared
        };
        s.size * (s.standing.weight() * (waits - moves) + AIM * meets as f64 - WORK * lost)
    };
    // If the zone is soon back, another machine has to boot in its place.
    let boot = c.boot.as_secs();
    let missed = WORK * boot * odds(g, boot).back;
    c.stakes.iter().map(one).sum::<f64>() - missed
}

/// What a look at a lost zone comes to.
#[derive(Clone, Debug)]
pub struct Plan<M> {
    /// To be given back now, in this order.
    pub machines: Vec<M>,
    /// How many are worth it, whether or not there is room for their work.
    pub worthy: usize,
    /// What is left of the budget.
    pub left: Budget,
}

/// Which machines to give back now, those first that gain most, as far as what
/// was on them can start elsewhere soon. Each look takes from the same budget.
pub fn plan<M>(silent: Span, cases: Vec<Case<M>>, mut budget: Budget) -> Plan<M> {
    let mut worthy: Vec<(f64, Case<M>)> = cases
        .into_iter()
        .filter(|c| !c.stakes.is_empty())
        .map(|c| (worth(silent, &c), c))
        .filter(|(w, _)| *w > 0.0)
        .collect();
    worthy.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut machines = vec![];
    let n = worthy.len();
    for (_, c) in worthy {
        let (mut asks, mut entitled) = (0.0, 0.0);
        for s in &c.stakes {
            let done = !s.standing.idle() && s.left == Span::ZERO;
            let size = s.size * if done { DONE_TAKES } else { 1.0 };
            match s.standing.makes_room() {
                true => entitled += size,
                false => asks += size,
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
        machines.push(c.machine);
    }
    Plan {
        machines,
        worthy: n,
        left: budget,
    }
}
