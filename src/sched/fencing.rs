//! Fencing tokens: which token a message to a worker carries, and what puts earlier
//! messages out of force. A worker rejects every message whose token is smaller than the
//! largest that it has received.
//!
//! A message that was carried out and answered may reach its worker once more, minutes
//! later. That changes nothing while the worker knows the attempts in it. After a clear it
//! no longer does, so a start would be carried out again. Therefore a message that clears
//! carries a larger token than every start sent to that worker before it.

use super::machine::Machine;
use crate::ids::Token;
use crate::wire::worker::Command;

impl Machine {
    /// The token for a message with these commands, which must be sent with no other.
    pub(super) fn token_for(&mut self, commands: &[Command]) -> Token {
        let clears = |command: &Command| matches!(command, Command::Clear { .. });
        let starts = |command: &Command| matches!(command, Command::Run { .. });
        if self.last_start_token == Some(self.token) && commands.iter().any(clears) {
            self.raise_token();
        }
        if commands.iter().any(starts) {
            self.last_start_token = Some(self.token);
        }
        self.token
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
