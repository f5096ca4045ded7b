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
pub enum AttemptKind {
    /// A replica of a service: every second without it counts.
    Replica,
    /// A member of a gang that can't go on any more: nothing is left to lose.
    BrokenGang,
    /// Urgent work.
    Urgent,
    /// Any other work.
    Other,
}

impl AttemptKind {
    /// What a second sooner is worth, in seconds of work lost.
    fn weight(self) -> f64 {
        match self {
            AttemptKind::Replica => 4.0,
            AttemptKind::Urgent => 2.0,
            AttemptKind::BrokenGang => 1.0,
            AttemptKind::Other => 0.5,
        }
    }

    /// Others may have to make room for it.
    fn may_preempt(self) -> bool {
        matches!(self, AttemptKind::Replica | AttemptKind::Urgent)
    }

    /// Nothing is being worked out there that could be lost, or come to its end.
    fn has_nothing_to_lose(self) -> bool {
        matches!(self, AttemptKind::Replica | AttemptKind::BrokenGang)
    }
}

/// An attempt that may be running in a lost zone.
#[derive(Clone, Copy, Debug)]
pub struct AttemptAtRisk {
    /// What its job loses by waiting.
    pub kind: AttemptKind,
    /// Work that would be done again: of a gang, that of all its members.
    pub unsaved_work: Span,
    /// How long it takes from its start, or from what it has saved.
    pub rerun_time: Span,
    /// How long it will go on by its estimate; zero if it should be done, and
    /// its result kept.
    pub remaining: Span,
    /// Until when it must be done for a deadline or an aim.
    pub due_in: Option<Span>,
    /// The share of a machine that it takes.
    pub machine_share: f64,
}

/// A machine in a lost zone with what is on it.
#[derive(Clone, Debug)]
pub struct LostMachine<M> {
    /// The machine.
    pub machine: M,
    /// The attempts on it.
    pub attempts: Vec<AttemptAtRisk>,
    /// Until its lease has run out for certain, if nobody renews it.
    pub lease_remaining: Span,
    /// How long another one takes to boot.
    pub boot_time: Span,
}

/// Machines' worth of room that others can start soon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Free, or about to be, beyond what is due to others.
    pub free: f64,
    /// What more could be made by stopping others, for those entitled to it.
    pub preemptible: f64,
}

/// From the decision to the start of a task elsewhere, in seconds.
const RESTART_DELAY_S: f64 = 3.0;
/// What an aim met instead of missed is worth, in seconds of work.
const DEADLINE_VALUE_S: f64 = 30.0;
/// What a second of work, or of a machine that must boot, is worth.
const WORK_WEIGHT: f64 = 0.5;
/// A task that is done already takes a place elsewhere for so small a share of
/// its time.
const FINISHED_TASK_SHARE: f64 = 0.2;

/// The chances of a zone that has been silent for `g`, over the next `w` seconds.
struct ReturnOdds {
    /// That it comes back by then.
    probability: f64,
    /// When it does, on average, if it does.
    mean_delay_s: f64,
}

fn return_odds(g: f64, w: f64) -> ReturnOdds {
    if g <= 0.0 || w <= 0.0 {
        return ReturnOdds {
            probability: if w > 0.0 { 1.0 } else { 0.0 },
            mean_delay_s: 0.0,
        };
    }
    let back = w / (g + w);
    // The mean of a waiting time with P(T > t) = g / (g + t), as far as w.
    let sum = g * (((g + w) / g).ln() - back);
    ReturnOdds {
        probability: back,
        mean_delay_s: sum / back,
    }
}

/// What is gained by giving the machine back now, in seconds of work; below
/// zero if waiting is better.
pub fn release_benefit<M>(silent: Span, c: &LostMachine<M>) -> f64 {
    let (g, w) = (silent.as_secs(), c.lease_remaining.as_secs());
    let o = return_odds(g, w);
    let one = |s: &AttemptAtRisk| {
        let (left, again) = (s.remaining.as_secs(), s.rerun_time.as_secs());
        let idle = s.kind.has_nothing_to_lose();
        let done = !idle && left <= 0.0;
        let ends = !idle && left <= w;
        // When its job has this task behind it, or a replica up again.
        let then = if idle || ends { 0.0 } else { again };
        let comes = if idle {
            o.mean_delay_s
        } else {
            o.mean_delay_s.max(left)
        };
        let waits = o.probability * comes + (1.0 - o.probability) * (w + RESTART_DELAY_S + then);
        let moves = RESTART_DELAY_S + if idle || done { 0.0 } else { again };
        let due = s.due_in.map_or(f64::INFINITY, Span::as_secs);
        let meets = (moves <= due) as i32 - (waits <= due) as i32;
        let spared = if ends { 1.0 } else { o.probability };
        let lost = if idle || done {
            0.0
        } else {
            s.unsaved_work.as_secs() * spared
        };
        s.machine_share
            * (s.kind.weight() * (waits - moves) + DEADLINE_VALUE_S * meets as f64
                - WORK_WEIGHT * lost)
    };
    // If the zone is soon back, another machine has to boot in its place.
    let boot = c.boot_time.as_secs();
    let missed = WORK_WEIGHT * boot * return_odds(g, boot).probability;
    c.attempts.iter().map(one).sum::<f64>() - missed
}

/// What a look at a lost zone comes to.
#[derive(Clone, Debug)]
pub struct ReleasePlan<M> {
    /// To be given back now, in this order.
    pub machines: Vec<M>,
    /// How many are worth it, whether or not there is room for their work.
    pub worthwhile: usize,
    /// What is left of the budget.
    pub remaining: Budget,
}

/// Which machines to give back now, those first that gain most, as far as what
/// was on them can start elsewhere soon. Each look takes from the same budget.
pub fn plan_releases<M>(
    silent: Span,
    cases: Vec<LostMachine<M>>,
    mut budget: Budget,
) -> ReleasePlan<M> {
    let mut worthy: Vec<(f64, LostMachine<M>)> = cases
        .into_iter()
        .filter(|c| !c.attempts.is_empty())
        .map(|c| (release_benefit(silent, &c), c))
        .filter(|(w, _)| *w > 0.0)
        .collect();
    worthy.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut machines = vec![];
    let n = worthy.len();
    for (_, c) in worthy {
        let (mut asks, mut entitled) = (0.0, 0.0);
        for s in &c.attempts {
            let done = !s.kind.has_nothing_to_lose() && s.remaining == Span::ZERO;
            let size = s.machine_share * if done { FINISHED_TASK_SHARE } else { 1.0 };
            match s.kind.may_preempt() {
                true => entitled += size,
                false => asks += size,
            }
        }
        // What may make room takes free room first, all the same.
        let from_free = entitled.min((budget.free - asks).max(0.0));
        let made = entitled - from_free;
        if asks + from_free > budget.free + 1e-9 || made > budget.preemptible + 1e-9 {
            continue;
        }
        budget.free -= asks + from_free;
        budget.preemptible -= made;
        machines.push(c.machine);
    }
    ReleasePlan {
        machines,
        worthwhile: n,
        remaining: budget,
    }
}
