//! Whether this controller can serve, and numbers for operators.

use super::request_log::RequestKind;
use super::{Node, Role};
use crate::ids::Epoch;
use crate::sched::LookUpCounts;
use crate::time::{Span, Time};
use hdrhistogram::Histogram;

/// A controller that has had no way to a leader for so long, though one is there,
/// leaves its users to the others.
const MAX_UNREACHABLE_LEADER: Span = Span(2_500_000);
/// From a start until the other controllers and the state service have been heard.
const STARTUP_GRACE: Span = Span(1_000_000);
/// Without any leader for longer, a controller is not healthy.
const MAX_LEADERLESS: Span = Span(40_000_000);
/// A controller alone is in touch with the state service if that answered so lately.
const STATE_SERVICE_FRESH: Span = Span(2_000_000);

fn quantiles_ms(histogram: &Histogram<u64>) -> serde_json::Value {
    let ms = |us: u64| us as f64 / 1000.0;
    serde_json::json!({
        "p50": ms(histogram.value_at_quantile(0.5)),
        "p99": ms(histogram.value_at_quantile(0.99)),
        "max": ms(histogram.max()),
    })
}

impl Node {
    /// Healthy unless this controller is cut off while others may not be.
    pub(super) fn can_serve(&mut self, now: Time) -> bool {
        if self.has_way_to_leader(now) {
            self.led_at = now;
            return true;
        }
        // Just started, it knows of nobody yet. Two probes that fail in a row cost
        // three seconds without users, or many more the next time.
        if now - self.started < STARTUP_GRACE {
            return true;
        }
        if self.others_serve_better(now) {
            return false;
        }
        // Between two leaders, or while the state service is down for all,
        // being taken out of the load balancing would only make it last longer.
        let in_touch = self.peers.any() || now - self.state_ok_at < STATE_SERVICE_FRESH;
        now - self.led_at < MAX_LEADERLESS && in_touch
    }

    /// This controller leads, or reaches the one that does.
    fn has_way_to_leader(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(term) => term.sched.may_start(now),
            Role::Loading(_) => true,
            Role::Follower => {
                let leader = self.peers.best_leader().map(|(label, _)| label);
                let own_label = &self.settings.platform.label;
                leader.is_some_and(|l| l != *own_label && self.peers.reachable(&l))
            }
        }
    }

    /// The state service says that another controller leads, but no way leads there:
    /// users are served better by those that have one.
    fn others_serve_better(&self, now: Time) -> bool {
        let own_label = &self.settings.platform.label;
        let led_elsewhere = self.seen.as_ref().is_some_and(|l| l.label != *own_label);
        led_elsewhere
            && now - self.led_at > MAX_UNREACHABLE_LEADER
            && now - self.state_ok_at < MAX_UNREACHABLE_LEADER
    }

    /// The epoch that this controller leads, or is taking over.
    pub(super) fn own_epoch(&self) -> Option<Epoch> {
        match &self.role {
            Role::Leader(term) => Some(term.epoch),
            Role::Loading(epoch) => Some(*epoch),
            Role::Follower => None,
        }
    }

    /// How long the question that has waited longest for its answer has been here.
    fn oldest_question_ms(&self, now: Time) -> u64 {
        let questions = self.pending.values();
        let questions = questions.filter(|p| p.kind == RequestKind::Question);
        let oldest = questions.map(|p| p.since).min();
        oldest.map_or(0, |since| (now - since).0 / 1000)
    }

    /// Logs what was answered and refused since the last summary, if one is due.
    pub(super) fn log_requests(&mut self, now: Time) {
        let Some(requests) = self.request_log.take_summary(now) else {
            return;
        };
        let epoch = self.own_epoch().map_or(0, |epoch| epoch.0);
        let leader = self.peers.best_leader().map(|(label, _)| label.to_string());
        let proof_age_ms = (now - self.proven).0 / 1000;
        let election = self.request_log.election;
        let connections = self.server.metrics();
        let look_ups = match &self.role {
            Role::Leader(term) => term.sched.look_up_counts(),
            _ => LookUpCounts::default(),
        };
        tracing::info!(
            epoch,
            leader = leader.unwrap_or_default(),
            proof_age_ms,
            renewals_or_reads = election.answered,
            unavailable = election.unavailable,
            waiting = self.pending.len(),
            oldest_question_ms = self.oldest_question_ms(now),
            messages_waiting = self.waiting,
            state_requests_waiting = self.store.len(),
            workers = self.worker_balance.reporting(),
            connections = connections.open,
            turned_away = connections.turned_away,
            ?look_ups,
            requests,
            "requests by outcome"
        );
    }

    /// What operators are shown of this controller, as JSON.
    pub(super) fn overview(&mut self, now: Time) -> serde_json::Value {
        let role = match &self.role {
            Role::Follower => "follower",
            Role::Loading(_) => "taking over",
            Role::Leader(_) => "leader",
        };
        let mut v = serde_json::json!({
            "label": self.settings.platform.label,
            "role": role,
            "leader": self.peers.best_leader().map(|l| l.0),
            "waiting": self.pending.len(),
            "answers": self.latency.len(),
            "answer_ms": quantiles_ms(&self.latency),
            "loop_ms": quantiles_ms(&self.turns),
            "messages_waiting": self.waiting,
            "most": { "requests": self.sizes.requests, "messages": self.sizes.inbox,
                "jobs": self.sizes.jobs, "final_states": self.sizes.finals,
                "machines_alone": self.sizes.worker_connections },
            "connections": self.server.metrics(),
            "workers_reporting_here": self.worker_balance.reporting(),
            "calls_waiting": {
                "state": self.store.len(), "cloud": self.cloud.len(), "workers": self.agents.len(),
            },
        });
        v["answers_by_kind"] = self.request_log.overview();
        v["violations"] = self.invariants.violations().into();
        v["oldest_question_ms"] = self.oldest_question_ms(now).into();
        v["versions"] = self.upgrade.overview();
        if let Role::Leader(t) = &mut self.role {
            v["scheduler"] = t.sched.overview(now);
            v["store"] = t.commit.overview(now);
        }
        v
    }
}
