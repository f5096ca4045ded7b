//! What a soak of one seed came to.

use super::schedule::Trouble;
use crate::interference::TroubleKind;
use crate::judge::Verdict;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A turn of the harness takes some hundredths of a second; one that takes longer than
/// this is told, as it delays troubles and records.
const STALL_TOLD_S: f64 = 0.5;

/// The verdict on one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakVerdict {
    /// The seed.
    pub seed: u64,
    /// What was drawn from it.
    pub schedule: Vec<Trouble>,
    /// How often each kind of trouble has taken effect.
    pub effects: BTreeMap<TroubleKind, u64>,
    /// The protocol's rules.
    pub rules: Verdict,
    /// Task starts.
    pub starts: u64,
    /// Jobs that were told to be done or cancelled.
    pub finished_jobs: usize,
    /// Accepted jobs that were not over in time after the last trouble.
    pub unserved_jobs: usize,
    /// Questions of users.
    pub polls: u64,
    /// Questions without an answer.
    pub polls_failed: u64,
    /// Controllers that were not healthy in time after the last trouble.
    pub unhealthy: Vec<usize>,
    /// Lines of the controllers' logs that tell a violated invariant.
    pub violations: usize,
    /// Controllers that ended by themselves.
    pub ended_by_themselves: Vec<usize>,
    /// Seconds from the last trouble until all jobs were over and all controllers healthy.
    pub served_after_s: Option<f64>,
    /// The longest turn of the harness itself.
    pub longest_stall_s: f64,
}

impl SoakVerdict {
    /// Kinds that were drawn and never took effect.
    pub fn without_effect(&self) -> Vec<TroubleKind> {
        let mut kinds: Vec<TroubleKind> = self.schedule.iter().map(|t| t.kind).collect();
        kinds.sort();
        kinds.dedup();
        kinds.retain(|kind| !self.effects.contains_key(kind));
        kinds
    }

    /// Something was judged: tasks started and questions were asked.
    pub fn judged_something(&self) -> bool {
        self.starts > 0 && self.polls > 0 && self.finished_jobs > 0
    }

    /// All invariants held, and something was judged.
    pub fn holds(&self) -> bool {
        self.judged_something()
            && self.rules.holds()
            && self.unserved_jobs == 0
            && self.unhealthy.is_empty()
            && self.violations == 0
            && self.ended_by_themselves.is_empty()
    }
}

impl Display for SoakVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let word = if self.holds() { "held" } else { "BROKEN" };
        writeln!(f, "soak, seed {}: {word}", self.seed)?;
        writeln!(
            f,
            "  {} troubles, {} starts, {} jobs over, {} not, {} questions ({} failed)",
            self.schedule.len(),
            self.starts,
            self.finished_jobs,
            self.unserved_jobs,
            self.polls,
            self.polls_failed
        )?;
        match self.served_after_s {
            Some(s) => writeln!(f, "  all over and healthy {s:.1} s after the last trouble")?,
            None => writeln!(
                f,
                "  NOT all over and healthy in time after the last trouble"
            )?,
        }
        writeln!(f, "  effects: {:?}", self.effects)?;
        let idle = self.without_effect();
        if !idle.is_empty() {
            writeln!(f, "  without effect: {idle:?}")?;
        }
        if self.longest_stall_s > STALL_TOLD_S {
            writeln!(
                f,
                "  the harness stood still for {:.1} s",
                self.longest_stall_s
            )?;
        }
        if self.violations > 0 {
            writeln!(f, "  {} invariants violated, see the logs", self.violations)?;
        }
        for controller in &self.unhealthy {
            writeln!(f, "  NOT healthy in time: controller-{controller}")?;
        }
        for controller in &self.ended_by_themselves {
            writeln!(f, "  ENDED by itself: controller-{controller}")?;
        }
        for (rule, count) in &self.rules.broken {
            writeln!(f, "  BROKEN {rule:?}: {count} times")?;
        }
        for breach in self.rules.breaches.iter().take(10) {
            writeln!(
                f,
                "    {:.1} s {:?}: {}",
                breach.at_s, breach.rule, breach.what
            )?;
        }
        Ok(())
    }
}
