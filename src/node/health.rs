//! The health check of this controller, and the overview for operators.

use super::request_log::RequestKind;
use super::{Node, Role};
use crate::ids::Epoch;
use crate::sched::LookUpCounts;
use crate::time::{Span, Time};
use hdrhistogram::Histogram;

/// After this time without a route to a leader that exists, a controller reports
/// unhealthy so that users are sent to the others.
const MAX_UNREACHABLE_LEADER: Span = Span(2_500_000);
/// Time after the start in which a controller counts as healthy, until it has heard from
/// the other controllers and the state service.
const STARTUP_GRACE: Span = Span(1_000_000);
/// A controller without any leader for longer is unhealthy.
const MAX_LEADERLESS: Span = Span(40_000_000);
/// A controller that reaches no other one stays healthy if the state service answered
/// within this time.
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
    /// The result of the health check: true unless this controller is disconnected while
    /// others may not be.
    pub(super) fn can_serve(&mut self, now: Time) -> bool {
        if self.has_route_to_leader(now) {
            self.leader_reachable_at = now;
            return true;
        }
        // A controller that has just started knows no peers yet. Two failed probes in a
        // row remove it from load balancing for three seconds, and for much longer when it
        // happens again.
        if now - self.started < STARTUP_GRACE {
            return true;
        }
        if self.others_serve_better(now) {
            return false;
        }
        // During a failover or an outage of the state service all controllers are alike:
        // removal from load balancing would only prolong the interruption.
        let connected =
            self.peers.any_reachable() || now - self.state_answered_at < STATE_SERVICE_FRESH;
        now - self.leader_reachable_at < MAX_LEADERLESS && connected
    }

    /// Whether this controller leads or can reach the leader.
    fn has_route_to_leader(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(leadership) => leadership.scheduler.may_start(now),
            Role::Loading(_) => true,
            Role::Follower => {
                let leader = self.peers.best_leader().map(|(label, _)| label);
                let own_label = &self.settings.platform.label;
                leader.is_some_and(|l| l != *own_label && self.peers.reachable(&l))
            }
        }
    }

    /// Whether the state service names another controller as the leader, which this one
    /// can't reach: users are served better by controllers that can.
    fn others_serve_better(&self, now: Time) -> bool {
        let own_label = &self.settings.platform.label;
        let led_elsewhere = self
            .observed_leader
            .as_ref()
            .is_some_and(|l| l.label != *own_label);
        led_elsewhere
            && now - self.leader_reachable_at > MAX_UNREACHABLE_LEADER
            && now - self.state_answered_at < MAX_UNREACHABLE_LEADER
    }

    /// The epoch in which this controller leads, or loads the state in order to lead.
    pub(super) fn own_epoch(&self) -> Option<Epoch> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.epoch),
            Role::Loading(epoch) => Some(*epoch),
            Role::Follower => None,
        }
    }

    /// Age of the oldest unanswered question, in milliseconds.
    fn oldest_question_ms(&self, now: Time) -> u64 {
        let questions = self.pending.values();
        let questions = questions.filter(|p| p.kind == RequestKind::Question);
        let oldest = questions.map(|p| p.received_at).min();
        oldest.map_or(0, |received_at| (now - received_at).0 / 1000)
    }

    /// Logs the answered and refused requests since the last summary, if one is due.
    pub(super) fn log_requests(&mut self, now: Time) {
        let Some(requests) = self.request_log.take_summary(now) else {
            return;
        };
        let epoch = self.own_epoch().map_or(0, |epoch| epoch.0);
        let leader = self.peers.best_leader().map(|(label, _)| label.to_string());
        // A controller that does not lead has no proof whose age would mean anything.
        let proof_age_ms = self.own_epoch().map(|_| (now - self.proven_at).0 / 1000);
        let election = self.request_log.election;
        let connections = self.server.metrics();
        let look_ups = match &self.role {
            Role::Leader(leadership) => leadership.scheduler.lookup_counts(),
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
            messages_waiting = self.queued_messages,
            state_requests_waiting = self.state_requests.len(),
            workers = self.worker_balance.reporting(),
            connections = connections.open,
            turned_away = connections.turned_away,
            ?look_ups,
            requests,
            "request summary: answered and refused requests by kind"
        );
    }

    /// The overview of this controller for operators, as JSON.
    pub(super) fn overview(&mut self, now: Time) -> serde_json::Value {
        let role = match &self.role {
            Role::Follower => "follower",
            Role::Loading(_) => "taking over",
            Role::Leader(_) => "leader",
        };
        let mut overview = serde_json::json!({
            "label": self.settings.platform.label,
            "role": role,
            "leader": self.peers.best_leader().map(|l| l.0),
            "waiting": self.pending.len(),
            "answers": self.latency.len(),
            "answer_ms": quantiles_ms(&self.latency),
            "loop_ms": quantiles_ms(&self.turn_times),
            "messages_waiting": self.queued_messages,
            "most": { "requests": self.sizes.requests, "messages": self.sizes.inbox,
                "jobs": self.sizes.jobs, "final_states": self.sizes.finals,
                "machines_alone": self.sizes.worker_connections },
            "connections": self.server.metrics(),
            "workers_reporting_here": self.worker_balance.reporting(),
            "calls_waiting": {
                "state": self.state_requests.len(), "cloud": self.cloud_requests.len(), "workers": self.direct_calls.len(),
            },
        });
        overview["answers_by_kind"] = self.request_log.overview();
        overview["violations"] = self.invariants.violations().into();
        overview["oldest_question_ms"] = self.oldest_question_ms(now).into();
        overview["versions"] = self.upgrade.overview();
        if let Role::Leader(leadership) = &mut self.role {
            overview["scheduler"] = leadership.scheduler.overview(now);
            overview["store"] = leadership.commit.overview(now);
        }
        overview
    }
}
