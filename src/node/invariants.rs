//! What must never come to pass is checked while the controller runs. A violation is
//! logged and counted; the controller goes on.

use super::{Node, Role};
use crate::time::{Span, Time};

/// For so long a follower may not have made up its mind who leads.
const LEADER_KNOWN_WITHIN: Span = Span(2_500_000);

/// Violations so far, and what may become one.
#[derive(Default)]
pub(super) struct Invariants {
    violations: u64,
    /// Since when a leader that says so itself has not been known as one.
    leader_unknown_since: Option<Time>,
}

impl Invariants {
    /// Violations since the start.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Notes whether a leader in touch is unknown; true if that is a violation, once
    /// for each time that it lasts too long.
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
    /// Checks what must hold at all times; called at each tick.
    pub(super) fn check_invariants(&mut self, now: Time) {
        let is_unknown = self.overlooks_leader();
        if self.invariants.note_unknown_leader(now, is_unknown) {
            let leader = self.seen.as_ref().map(|l| l.label.to_string());
            let leader = leader.unwrap_or_default();
            tracing::error!(invariant = "leader_known", leader, "invariant violated");
        }
    }

    /// The state service names a leader, which is in touch and says itself that it
    /// leads, and yet this follower would not pass requests on to it.
    fn overlooks_leader(&self) -> bool {
        let (Role::Follower, Some(seen)) = (&self.role, &self.seen) else {
            return false;
        };
        let known = self.peers.best_leader().map(|(_, epoch)| epoch);
        self.peers.claimed_epoch(&seen.label) == Some(seen.epoch)
            && known.is_none_or(|epoch| epoch < seen.epoch)
    }
}
