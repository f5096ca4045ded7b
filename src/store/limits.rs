//! The limits of the state service that are in force.
//!
//! They may fall at any moment, to those that the settings announce or to others,
//! and nobody tells when. So they are learnt from what the service refuses: too
//! much in one value or transaction, or too many changes a second.

use crate::settings::{LimitValues, StateLimits};
use crate::time::{Span, Time};

/// What no service has less of.
const MIN_VALUE_BYTES: usize = 2048;
const MIN_TXN_CHANGES: usize = 4;
/// Left for what the service may count differently.
pub const VALUE_MARGIN_BYTES: usize = 32;
/// Limits on the rate that nobody announced fall by this at a time, once a spell
/// however many refusals come.
const RATE_DECREASE_FACTOR: f64 = 0.9;
const DECREASE_INTERVAL: Span = Span(1_000_000);
/// They don't fall below this share of those in the settings.
const MIN_RATE_SHARE: f64 = 0.1;
/// After so long without a refusal the rate rises again by this share of the
/// settings' at a time.
const INCREASE_INTERVAL: Span = Span(20_000_000);
const INCREASE_SHARE: f64 = 0.05;

/// How much a transaction holds, for a refusal to be judged by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TxnSize {
    pub changes: usize,
    pub largest_value: usize,
}

impl TxnSize {
    fn exceeds(&self, limits: &LimitValues) -> bool {
        self.changes > limits.txn_ops || self.largest_value > limits.value_bytes()
    }
}

/// The limits that are in force, as far as is known.
#[derive(Clone, Debug)]
pub struct EffectiveLimits {
    settings: LimitValues,
    /// Those of later, as the settings announce them.
    announced: Option<LimitValues>,
    current: LimitValues,
    /// What was refused proves that the announced ones have come.
    announced_in_force: bool,
    lowered_at: Option<Time>,
    raised_at: Time,
}

impl EffectiveLimits {
    pub fn new(settings: &StateLimits) -> EffectiveLimits {
        EffectiveLimits {
            settings: settings.current(),
            announced: settings.announced(),
            current: settings.current(),
            announced_in_force: false,
            lowered_at: None,
            raised_at: Time::default(),
        }
    }

    pub fn values(&self) -> &LimitValues {
        &self.current
    }

    /// The most bytes that a value is given.
    pub fn value_bytes(&self) -> usize {
        let bytes = self.current.value_bytes();
        match self.is_value_limit_lowered() {
            true => bytes - VALUE_MARGIN_BYTES,
            false => bytes,
        }
    }

    fn is_value_limit_lowered(&self) -> bool {
        self.current.value_kb < self.settings.value_kb
    }

    /// A transaction was refused for its size. False if nothing smaller may be
    /// tried: it was refused for something else.
    pub fn handle_size_refusal(&mut self, size: TxnSize) -> bool {
        if size.exceeds(&self.current) {
            // It was sent before the limits were known to be lower.
            return true;
        }
        let before = self.current;
        match self.announced {
            Some(next) if !self.announced_in_force && size.exceeds(&next) => {
                self.announced_in_force = true;
                self.current = self.current.min(&next);
            }
            _ => self.halve(size),
        }
        let changed = self.current != before;
        if changed {
            self.log_change("a transaction was too large");
        }
        changed
    }

    /// Nothing announced accounts for the refusal. Whichever was closer to what is
    /// allowed, the value or the number of changes, is taken to be too large.
    fn halve(&mut self, size: TxnSize) {
        let value_bytes = (size.largest_value / 2).max(MIN_VALUE_BYTES);
        let changes = (size.changes / 2).max(MIN_TXN_CHANGES);
        let smaller_value = value_bytes < size.largest_value;
        let fewer_changes = changes < size.changes;
        let value_share = size.largest_value as f64 / self.current.value_bytes() as f64;
        let changes_share = size.changes as f64 / self.current.txn_ops as f64;
        if smaller_value && (value_share >= changes_share || !fewer_changes) {
            self.current.value_kb = self.current.value_kb.min(value_bytes as f64 / 1024.0);
        } else if fewer_changes {
            self.current.txn_ops = self.current.txn_ops.min(changes);
        }
    }

    /// A transaction was refused since too many changes came. True if less is
    /// allowed from now on.
    pub fn handle_rate_refusal(&mut self, now: Time) -> bool {
        let before = self.current;
        let announced = self
            .announced
            .filter(|next| next.write_rps < self.current.write_rps);
        if let Some(next) = announced {
            self.current.write_rps = next.write_rps;
            self.current.rps = self.current.rps.min(next.rps);
            self.lowered_at = Some(now);
        } else if self.lowered_at.is_none_or(|t| now - t > DECREASE_INTERVAL) {
            let least = self.settings.write_rps * MIN_RATE_SHARE;
            self.current.write_rps = (self.current.write_rps * RATE_DECREASE_FACTOR).max(least);
            self.lowered_at = Some(now);
        }
        self.raised_at = now;
        let changed = self.current != before;
        if changed {
            self.log_change("too many changes a second");
        }
        changed
    }

    /// Without refusals the rate slowly rises again, up to what is known to be
    /// allowed. True if it did.
    pub fn recover(&mut self, now: Time) -> bool {
        let most = match (self.announced_in_force, self.announced) {
            (true, Some(next)) => next.write_rps.min(self.settings.write_rps),
            _ => self.settings.write_rps,
        };
        if self.current.write_rps >= most || now - self.raised_at < INCREASE_INTERVAL {
            return false;
        }
        self.raised_at = now;
        let raised = self.current.write_rps + self.settings.write_rps * INCREASE_SHARE;
        self.current.write_rps = raised.min(most);
        self.log_change("no refusals for a while");
        true
    }

    fn log_change(&self, why: &str) {
        let l = &self.current;
        tracing::warn!(
            why,
            value_kb = l.value_kb,
            changes_per_transaction = l.txn_ops,
            changes_per_s = l.write_rps,
            requests_per_s = l.rps,
            announced = self.announced_in_force,
            "limits of the state service"
        );
    }

    /// For operators.
    pub fn overview(&self) -> serde_json::Value {
        let l = &self.current;
        serde_json::json!({
            "value_kb": l.value_kb, "txn_ops": l.txn_ops,
            "write_rps": l.write_rps, "rps": l.rps,
            "lowered": *l != self.settings, "announced_ones_hold": self.announced_in_force,
        })
    }
}
