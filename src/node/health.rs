//! Whether this controller can serve, and numbers for operators.

use super::{Node, Role};
use crate::time::{Span, Time};
use hdrhistogram::Histogram;

/// Without a way to a leader that is there for so long, others serve better.
const CUT_OFF: Span = Span(2_500_000);

/// From a start until the others and the state service have been heard.
const SETTLING: Span = Span(1_000_000);

fn quantiles(h: &Histogram<u64>) -> serde_json::Value {
    let ms = |q| h.value_at_quantile(q) as f64 / 1000.0;
    serde_json::json!({ "p50": ms(0.5), "p99": ms(0.99), "max": h.max() as f64 / 1000.0 })
}

impl Node {
    /// Healthy unless this controller is cut off while others may not be.
    pub(super) fn can_serve(&mut self, now: Time) -> bool {
        let me = &self.settings.platform.label;
        let led = match &self.role {
            Role::Leader(t) => t.sched.may_start(now),
            Role::Loading(_) => true,
            Role::Follower => {
                let l = self.peers.best_leader().map(|l| l.0);
                l.is_some_and(|l| l != *me && self.peers.reachable(&l))
            }
        };
        if led {
            self.led_at = now;
            return true;
        }
        // Just started, it knows of nobody yet. Two probes that fail in a row cost
        // three seconds without users, or many more the next time.
        if now - self.started < SETTLING {
            return true;
        }
        // The state service says that somebody leads, but no way leads there:
        // users are served better by those that have one.
        let elsewhere = self.seen.as_ref().is_some_and(|l| l.label != *me);
        if elsewhere && now - self.led_at > CUT_OFF && now - self.state_ok_at < CUT_OFF {
            return false;
        }
        // Between two leaders, or while the state service is down for all,
        // being taken out of the balancing would only make it last longer.
        let lately = now - self.led_at < Span::secs(40.0);
        lately && (self.peers.any() || now - self.state_ok_at < Span::secs(2.0))
    }

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
            "answer_ms": quantiles(&self.latency),
            "loop_ms": quantiles(&self.turns),
            "messages_waiting": self.waiting,
            "most": { "requests": self.sizes.requests, "messages": self.sizes.inbox,
                "jobs": self.sizes.jobs, "final_states": self.sizes.finals,
                "machines_alone": self.sizes.machines },
            "connections": self.server.metrics(),
            "workers_reporting_here": self.balance.len(),
            "calls_waiting": {
                "state": self.store.len(), "cloud": self.cloud.len(), "workers": self.agents.len(),
            },
        });
        v["versions"] = self.upgrade.overview();
        if let Role::Leader(t) = &mut self.role {
            v["scheduler"] = t.sched.overview(now);
            v["store"] = t.commit.overview(now);
        }
        v
    }
}
