//! Checks of invariants while the controller runs. A violation is logged and counted;
//! the controller goes on.

use super::{Node, Role};
use crate::time::{Span, Time};

/// The longest time in which a follower may not know a leader that it is connected to.
const LEADER_KNOWN_WITHIN: Span = Span(2_500_000);

/// The violations so far, and the state of the checks.
#[derive(Default)]
pub(super) struct Invariants {
    violations: u64,
    /// Since when a connected controller that claims to lead has not been known as the
    /// leader.
    leader_unknown_since: Option<Time>,
}

impl Invariants {
    /// Violations since the start.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Notes whether a connected leader is unknown. Returns true if that is a violation:
    /// once for each `LEADER_KNOWN_WITHIN` that it lasts.
    fn note_unknown_leader(&mut self, now: Time, is_unknown: bool) -> bool {
        if !is_unknown {
            self.leader_unknown_since = None;
            return false;
        }
        let since = *self.leader_unknown_since.get_or_insert(now);
        let is_violation = now - since > LEADER_KNOWN_WITHIN;
        if is_violation {
            self.violations += 1;
            self.leader_unknown_since = Some(now);
        }
        is_violation
    }
}

impl Node {
    /// Checks all invariants; called at each tick.
    pub(super) fn check_invariants(&mut self, now: Time) {
        let is_unknown = self.overlooks_leader();
        if self.invariants.note_unknown_leader(now, is_unknown) {
            let leader = self.observed_leader.as_ref().map(|l| l.label.to_string());
            let leader = leader.unwrap_or_default();
            tracing::error!(invariant = "leader_known", leader, "invariant violated");
        }
    }

    /// Whether the state service names a leader that is connected and itself claims to
    /// lead, and yet this follower would not forward requests to it.
    fn overlooks_leader(&self) -> bool {
        let (Role::Follower, Some(observed)) = (&self.role, &self.observed_leader) else {
            return false;
        };
        let known = self.peers.best_leader().map(|(_, epoch)| epoch);
        self.peers.claimed_epoch(&observed.label) == Some(observed.epoch)
            && known.is_none_or(|epoch| epoch < observed.epoch)
    }
}
