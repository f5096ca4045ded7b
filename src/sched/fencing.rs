//! Fencing tokens: which token a message to a worker carries, and what puts earlier
//! messages out of force. A worker rejects every message whose token is smaller than the
//! largest that it has received.
//!
//! A message that was carried out and answered may reach its worker once more, minutes
//! later. That changes nothing while the worker knows the attempts in it. After a clear it
//! no longer does, so a start would be carried out again. Therefore a message that clears
//! carries a larger token than every start sent to that worker before it; and one that
//! starts an attempt whose number was used before carries a larger token than every clear,
//! which would make the worker forget the new one.

use super::machine::Machine;
use super::worker_commands::Delivery;
use crate::ids::Token;
use crate::time::Span;
use crate::wire::worker::Command;

/// The commands of one message to a worker.
#[derive(Default)]
pub(super) struct CommandBatch {
    /// What the worker is to do, in order.
    pub(super) commands: Vec<Command>,
    /// Whether an attempt that is started may have been on this machine before: a replaced
    /// member of a gang keeps its attempt number.
    pub(super) may_reuse_attempts: bool,
    /// Whether a start waits until the worker has cleared an attempt of the same number.
    pub(super) start_waits_for_clear: bool,
}

impl CommandBatch {
    /// Whether it must not wait for the next answer, as most clears can.
    pub(super) fn is_urgent(&self) -> bool {
        let any_other = self.commands.iter().any(|command| !command.is_clear());
        any_other || self.start_waits_for_clear && self.clears()
    }

    fn clears(&self) -> bool {
        self.commands.iter().any(Command::is_clear)
    }

    fn starts(&self) -> bool {
        self.commands.iter().any(Command::is_run)
    }
}

impl Machine {
    /// The token for a message with these commands, which must be sent with no other.
    pub(super) fn token_for(&mut self, batch: &CommandBatch) -> Token {
        let started_under_this = self.last_start_token == Some(self.token);
        let cleared_under_this = self.last_clear_token == Some(self.token);
        if batch.clears() && started_under_this || batch.may_reuse_attempts && cleared_under_this {
            self.raise_token();
        }
        if batch.starts() {
            self.last_start_token = Some(self.token);
        }
        if batch.clears() {
            self.last_clear_token = Some(self.token);
        }
        self.token
    }

    /// Logs what a message tells the worker, and how long ago the leadership was proven,
    /// without which nothing starts.
    pub(super) fn log_commands(&self, batch: &CommandBatch, delivery: Delivery, proof_age: Span) {
        if batch.commands.is_empty() {
            return;
        }
        tracing::debug!(
            host = %self.host,
            token = %self.token,
            session = %self.session,
            ?delivery,
            proof_age_ms = proof_age.0 / 1000,
            direct_call = ?self.direct_call,
            unconfirmed_token = ?self.unconfirmed_token,
            commands = ?batch.commands,
            "commands sent to a worker"
        );
    }

    /// Puts all earlier messages out of force, once the worker receives the new token.
    pub(super) fn raise_token(&mut self) {
        self.token = Token(self.token.0 + 1);
    }

    /// Earlier commands may be executed until the worker confirms a new token.
    pub(super) fn await_confirmation(&mut self) {
        self.raise_token();
        self.unconfirmed_token = Some(self.token);
    }
}
