//! The limits of the state service that are in force.
//!
//! They may be lowered at any time without notice, to those that the settings
//! announce or to others. They are inferred from rejections: a value or transaction
//! that is too large, or too many changes per second.

use crate::settings::{LimitValues, StateLimits};
use crate::time::{Span, Time};

/// Lower bounds: no service has smaller limits.
const MIN_VALUE_BYTES: usize = 2048;
const MIN_TXN_CHANGES: usize = 4;
/// Margin for differences in how the service counts bytes.
pub const VALUE_MARGIN_BYTES: usize = 32;
/// Size limit of a transaction with several records, and of the record of a new job with
/// all that may be added to it. The service allows 64 KiB.
pub const MAX_TXN_BYTES: usize = 56 * 1024;
/// Size limit of a transaction with a single record. Earlier versions accepted records up
/// to [`MAX_TXN_BYTES`] without counting what is added to them later.
pub const MAX_SINGLE_RECORD_TXN_BYTES: usize = 63 * 1024;
/// Upper bound of the bytes that a value takes in a transaction besides its own: its key
/// of at most 90 bytes, twice, and its condition.
pub const VALUE_OVERHEAD_BYTES: usize = 2 * 90 + CHANGE_OVERHEAD_BYTES;
/// Bytes that a change and its condition take besides the key and the value.
pub const CHANGE_OVERHEAD_BYTES: usize = 80;
/// Factor by which the rate limit is reduced on rejections that no announced limit
/// explains, at most once per interval.
const RATE_DECREASE_FACTOR: f64 = 0.9;
const DECREASE_INTERVAL: Span = Span(1_000_000);
/// Lowest rate limit, as a share of the configured one.
const MIN_RATE_SHARE: f64 = 0.1;
/// After this long without a rejection the rate limit is raised by this share of the
/// configured one.
const INCREASE_INTERVAL: Span = Span(20_000_000);
const INCREASE_SHARE: f64 = 0.05;

/// Size of a transaction, kept to evaluate a rejection.
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

/// The limits that are in force, as far as known.
#[derive(Clone, Debug)]
pub struct EffectiveLimits {
    settings: LimitValues,
    /// Future limits that the settings announce.
    announced: Option<LimitValues>,
    current: LimitValues,
    /// A rejection has shown that the announced limits are in force.
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

    /// Maximum size of a value in bytes.
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

    /// Maximum number of changes of one record. Rejections for the rate don't lower it, as
    /// other callers may have caused them.
    pub fn max_record_changes(&self) -> usize {
        let write_rps = self.known_write_rps();
        let known = LimitValues {
            write_rps,
            ..self.current
        };
        known.max_record_changes()
    }

    /// The rate limit that is known to be in force, without rejections for the rate.
    fn known_write_rps(&self) -> f64 {
        match (self.announced_in_force, self.announced) {
            (true, Some(next)) => next.write_rps.min(self.settings.write_rps),
            _ => self.settings.write_rps,
        }
    }

    /// Handles a transaction that was rejected for its size. False if no smaller size is
    /// left to try, so that the rejection has another reason.
    pub fn handle_size_refusal(&mut self, size: TxnSize) -> bool {
        if size.exceeds(&self.current) {
            // Sent before the limits were found to be lower.
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
            self.log_change("transaction too large");
        }
        changed
    }

    /// No announced limit explains the rejection: halves the value size or the number of
    /// changes, whichever was closer to its limit.
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

    /// Handles a transaction that was rejected for its rate. True if the limits were
    /// lowered.
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
            self.log_change("change rate too high");
        }
        changed
    }

    /// Raises the rate limit step by step after a time without rejections, up to the known
    /// limit. True if it was raised.
    pub fn recover(&mut self, now: Time) -> bool {
        let most = self.known_write_rps();
        if self.current.write_rps >= most || now - self.raised_at < INCREASE_INTERVAL {
            return false;
        }
        self.raised_at = now;
        let raised = self.current.write_rps + self.settings.write_rps * INCREASE_SHARE;
        self.current.write_rps = raised.min(most);
        self.log_change("no recent rejections");
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
            "state service limits changed"
        );
    }

    /// Status for the overview.
    pub fn overview(&self) -> serde_json::Value {
        let l = &self.current;
        serde_json::json!({
            "value_kb": l.value_kb, "txn_ops": l.txn_ops,
            "write_rps": l.write_rps, "rps": l.rps,
            "lowered": *l != self.settings, "announced_ones_hold": self.announced_in_force,
        })
    }
}
