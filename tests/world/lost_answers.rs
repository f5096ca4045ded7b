//! Transactions that are carried out at once and of which the answer alone is lost:
//! the sender learns nothing until it gives up.

use super::{Ev, World};
use hookworks::ids::*;
use hookworks::store::TxnOutcome;
use rand::RngExt;
use std::collections::BTreeSet;

/// Seconds after which the sender gives up, counted from when it was carried out.
const SENDER_GIVES_UP_S: f64 = 2.4;

#[derive(Default)]
pub struct LostAnswers {
    /// Which transaction of those that are sent loses its answer.
    pub one: Option<u64>,
    chosen: BTreeSet<(usize, Epoch, TxnId)>,
    /// How many have lost theirs.
    pub lost: u64,
}

impl World {
    /// The latest transaction is on its way.
    pub(super) fn note_sent(&mut self, i: usize, epoch: Epoch, id: TxnId) {
        if self.lost_answers.one == Some(self.transactions) {
            self.lost_answers.chosen.insert((i, epoch, id));
        }
    }

    /// It has been carried out, or not; its sender hears of that, or never.
    pub(super) fn answer_transaction(&mut self, i: usize, epoch: Epoch, id: TxnId, o: TxnOutcome) {
        let unheard = self.rng.random_bool(self.chaos.lose_txn_answer);
        let d = self.delay();
        // Drawn only where it may happen: other stories go on as they were.
        let chance = self.chaos.lost_answer;
        let lost = self.lost_answers.chosen.remove(&(i, epoch, id))
            || chance > 0.0 && self.rng.random_bool(chance);
        self.lost_answers.lost += u64::from(lost);
        let (d, o) = match (lost, unheard) {
            (true, _) => (SENDER_GIVES_UP_S, TxnOutcome::Unknown),
            (false, true) => (d, TxnOutcome::Unknown),
            (false, false) => (d, o),
        };
        self.at(d, Ev::TxnDone(i, epoch, id, o));
    }
}
