//! Decides which machines of a lost zone to release. Releasing a machine proves that
//! its attempts are gone, so their tasks can restart elsewhere, but loses unsaved work.
//! Waiting costs time, and the work ended by lease expiry.
//!
//! The length of an outage is unknown. A zone that has been silent for `g` is assumed
//! to stay silent for another `w` with probability `g / (g + w)`: the longer an outage
//! has lasted, the longer it is likely to last.

use hookworks_base::time::Span;

/// The kind of an attempt, which sets the cost of waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A replica of a service, which is missed every second.
    Replica,
    /// A member of a gang that can't continue: no work is left to lose.
    BrokenGang,
    /// Urgent work.
    Urgent,
    /// Any other work.
    Other,
}

impl AttemptKind {
    /// The value of restarting one second earlier, in seconds of lost work.
    fn weight(self) -> f64 {
        match self {
            AttemptKind::Replica => 4.0,
            AttemptKind::Urgent => 2.0,
            AttemptKind::BrokenGang => 1.0,
            AttemptKind::Other => 0.5,
        }
    }

    /// Whether other tasks may be preempted for it.
    fn may_preempt(self) -> bool {
        matches!(self, AttemptKind::Replica | AttemptKind::Urgent)
    }

    /// Whether it has no progress that could be lost or completed.
    fn has_nothing_to_lose(self) -> bool {
        matches!(self, AttemptKind::Replica | AttemptKind::BrokenGang)
    }
}

/// An attempt that may be running in a lost zone.
#[derive(Clone, Copy, Debug)]
pub struct AttemptAtRisk {
    /// Its kind.
    pub kind: AttemptKind,
    /// Work that would have to be repeated; for a gang, that of all members.
    pub unsaved_work: Span,
    /// Its runtime after a restart, from its checkpoint if it has one.
    pub rerun_time: Span,
    /// Its estimated remaining runtime; zero if it should have completed and its result
    /// is kept.
    pub remaining: Span,
    /// The time left until its deadline or objective.
    pub due_in: Option<Span>,
    /// The share of a machine that it uses.
    pub machine_share: f64,
}

/// A machine in a lost zone with its attempts.
#[derive(Clone, Debug)]
pub struct LostMachine<M> {
    /// The machine.
    pub machine: M,
    /// The attempts on it.
    pub attempts: Vec<AttemptAtRisk>,
    /// The time until its lease has certainly expired if it is not renewed.
    pub lease_remaining: Span,
    /// The boot time of a replacement.
    pub boot_time: Span,
}

/// Capacity for restarts, in machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Free now or soon, beyond what waiting tasks need.
    pub free: f64,
    /// What preemption could free in addition, for attempts entitled to it.
    pub preemptible: f64,
}

/// The delay from the decision until a task starts elsewhere, in seconds.
const RESTART_DELAY_S: f64 = 3.0;
/// The value of meeting a deadline or objective, in seconds of work.
const DEADLINE_VALUE_S: f64 = 30.0;
/// The weight of a second of lost work or of machine boot time.
const WORK_WEIGHT: f64 = 0.5;
/// The share of its resources charged for an attempt whose task has already completed,
/// which holds them elsewhere only briefly.
const FINISHED_TASK_SHARE: f64 = 0.2;

/// The odds that a zone silent for `g` seconds returns within the next `w` seconds.
struct ReturnOdds {
    /// The probability that it returns by then.
    probability: f64,
    /// The mean time until it returns, if it does.
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
    // The mean of a waiting time with P(T > t) = g / (g + t), truncated at w.
    let sum = g * (((g + w) / g).ln() - back);
    ReturnOdds {
        probability: back,
        mean_delay_s: sum / back,
    }
}

/// The benefit of releasing the machine now, in seconds of work; negative if waiting is
/// better.
pub fn release_benefit<M>(silent: Span, machine: &LostMachine<M>) -> f64 {
    let (g, w) = (silent.as_secs(), machine.lease_remaining.as_secs());
    let odds = return_odds(g, w);
    let benefit = |attempt: &AttemptAtRisk| {
        let (remaining_s, rerun_s) = (attempt.remaining.as_secs(), attempt.rerun_time.as_secs());
        let nothing_to_lose = attempt.kind.has_nothing_to_lose();
        let done = !nothing_to_lose && remaining_s <= 0.0;
        let completes = !nothing_to_lose && remaining_s <= w;
        // Time from a restart after lease expiry until the task is completed or the
        // replica is up again.
        let after_expiry_s = if nothing_to_lose || completes {
            0.0
        } else {
            rerun_s
        };
        let back_after_s = if nothing_to_lose {
            odds.mean_delay_s
        } else {
            odds.mean_delay_s.max(remaining_s)
        };
        let wait_s = odds.probability * back_after_s
            + (1.0 - odds.probability) * (w + RESTART_DELAY_S + after_expiry_s);
        let move_s = RESTART_DELAY_S
            + if nothing_to_lose || done {
                0.0
            } else {
                rerun_s
            };
        let due_s = attempt.due_in.map_or(f64::INFINITY, Span::as_secs);
        let deadline_gain = (move_s <= due_s) as i32 - (wait_s <= due_s) as i32;
        let kept_share = if completes { 1.0 } else { odds.probability };
        let lost_s = if nothing_to_lose || done {
            0.0
        } else {
            attempt.unsaved_work.as_secs() * kept_share
        };
        attempt.machine_share
            * (attempt.kind.weight() * (wait_s - move_s) + DEADLINE_VALUE_S * deadline_gain as f64
                - WORK_WEIGHT * lost_s)
    };
    // If the zone returns soon, a replacement for the released machine must boot.
    let boot_s = machine.boot_time.as_secs();
    let boot_cost = WORK_WEIGHT * boot_s * return_odds(g, boot_s).probability;
    machine.attempts.iter().map(benefit).sum::<f64>() - boot_cost
}

/// The planned releases for a lost zone.
#[derive(Clone, Debug)]
pub struct ReleasePlan<M> {
    /// Machines to release now, in this order.
    pub machines: Vec<M>,
    /// How many machines have a positive benefit, whether or not the budget suffices.
    pub worthwhile: usize,
    /// What is left of the budget.
    pub remaining: Budget,
}

/// Chooses the machines to release now, highest benefit first, as far as their tasks
/// can start elsewhere soon within `budget`. Returns the rest of the budget for further
/// zones.
pub fn plan_releases<M>(
    silent: Span,
    lost_machines: Vec<LostMachine<M>>,
    mut budget: Budget,
) -> ReleasePlan<M> {
    let mut candidates: Vec<(f64, LostMachine<M>)> = lost_machines
        .into_iter()
        .filter(|machine| !machine.attempts.is_empty())
        .map(|machine| (release_benefit(silent, &machine), machine))
        .filter(|(benefit, _)| *benefit > 0.0)
        .collect();
    candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut machines = vec![];
    let worthwhile = candidates.len();
    for (_, machine) in candidates {
        let (mut needed, mut may_preempt) = (0.0, 0.0);
        for attempt in &machine.attempts {
            let done = !attempt.kind.has_nothing_to_lose() && attempt.remaining == Span::ZERO;
            let share = attempt.machine_share * if done { FINISHED_TASK_SHARE } else { 1.0 };
            match attempt.kind.may_preempt() {
                true => may_preempt += share,
                false => needed += share,
            }
        }
        // Attempts that may preempt others use free capacity first.
        let from_free = may_preempt.min((budget.free - needed).max(0.0));
        let from_preemption = may_preempt - from_free;
        if needed + from_free > budget.free + 1e-9 || from_preemption > budget.preemptible + 1e-9 {
            continue;
        }
        budget.free -= needed + from_free;
        budget.preemptible -= from_preemption;
        machines.push(machine.machine);
    }
    ReleasePlan {
        machines,
        worthwhile,
        remaining: budget,
    }
}
