//! Direct calls and transactions that were carried out and answered, and that arrive once
//! more.

use super::{Ev, World};
use hookworks::ids::*;
use hookworks::store::TxnOutcome;
use hookworks::wire::state::Txn;
use hookworks::wire::worker::Commands;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A repetition arrives soon, while what it is about may still be moving, ...
const SOON_S: std::ops::Range<f64> = 0.3..12.0;
/// ... or minutes later.
const LATE_S: std::ops::Range<f64> = 12.0..180.0;

/// What has become of the repetitions.
pub struct RepeatedCalls {
    /// Its own, so that all else in a story stays as it was.
    rng: StdRng,
    /// Every call arrives once more after so many seconds, whatever the chances say.
    pub each_after_s: Option<f64>,
    /// A fault put in: workers take repetitions whatever their token.
    pub ignores_tokens: bool,
    /// Repetitions that reached a worker.
    pub arrived: u64,
    /// Those that matched its token and session, so that it carried them out.
    pub carried_out: u64,
    /// Repeated transactions that reached the state service.
    pub transactions: u64,
}

impl RepeatedCalls {
    pub fn new(seed: u64) -> RepeatedCalls {
        RepeatedCalls {
            rng: StdRng::seed_from_u64(seed),
            each_after_s: None,
            ignores_tokens: false,
            arrived: 0,
            carried_out: 0,
            transactions: 0,
        }
    }

    /// After how many seconds a message arrives once more, if it does.
    fn delay_s(&mut self, chance: f64) -> Option<f64> {
        if !self.rng.random_bool(chance) {
            return None;
        }
        let range = if self.rng.random_bool(0.5) {
            SOON_S
        } else {
            LATE_S
        };
        Some(self.rng.random_range(range))
    }
}

impl World {
    /// A worker has carried out this call: it may arrive once more.
    pub(super) fn maybe_repeat_call(&mut self, host: &Host, commands: &Commands) {
        let fixed = self.repeated_calls.each_after_s;
        let chance = self.chaos.repeat_call;
        let Some(after_s) = fixed.or_else(|| self.repeated_calls.delay_s(chance)) else {
            return;
        };
        let repeated = Ev::RepeatedCall(host.clone(), commands.clone());
        self.at(after_s, repeated);
    }

    /// The state service has carried out this transaction: it may arrive once more.
    pub(super) fn maybe_repeat_txn(&mut self, i: usize, txn: &Txn) {
        let chance = self.chaos.repeat_txn;
        if let Some(after_s) = self.repeated_calls.delay_s(chance) {
            self.at(after_s, Ev::RepeatedTxn(i, txn.clone()));
        }
    }

    /// The repetition changes nothing: its conditions hold no more.
    pub(super) fn repeated_txn_arrives(&mut self, i: usize, txn: &Txn) {
        self.repeated_calls.transactions += 1;
        let outcome = self.store.of(i).apply(txn);
        if matches!(outcome, TxnOutcome::Ok(_)) && !txn.changes.is_empty() {
            self.broken
                .push(format!("{} applied_again: {txn:?}", self.now));
        }
    }

    /// The repetition reaches the worker, which answers nobody. Whatever it starts has run
    /// there before.
    pub(super) fn repeated_call_arrives(&mut self, host: Host, mut commands: Commands) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&host) else {
            return;
        };
        if !worker.up || worker.hangs {
            return;
        }
        self.repeated_calls.arrived += 1;
        if self.repeated_calls.ignores_tokens {
            commands.token = Token(worker.token);
        }
        let runs_before = worker.runs.len();
        let carried_out = worker
            .direct(now, commands, &self.specs, self.run_s)
            .is_ok();
        for (task, attempt) in &worker.runs[runs_before..] {
            self.broken
                .push(format!("{now} started_again: {task} {attempt} {host}"));
        }
        if carried_out {
            self.repeated_calls.carried_out += 1;
            self.at(0.5, Ev::Beat(host));
        }
    }
}
