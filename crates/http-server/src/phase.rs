//! What a connection is doing, how long it may, and why it is closed.

use std::time::Duration;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Open, but no thread has looked at it yet.
    Starting,
    /// Open, with nothing or part of its first request head.
    FirstHead,
    /// Between two requests.
    Idle,
    /// Part of a later request head has been read.
    Head,
    /// The head is complete, the body is being read.
    Body,
    /// The service works on the answer.
    Handling,
    /// The answer is being written.
    Write,
}

/// How long a connection may stay in a phase, in all: a client that sends a byte
/// now and then does not gain time by it.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// From the opening of the connection to the end of its first head.
    pub first_head: Duration,
    /// From the first to the last byte of a later head.
    pub head: Duration,
    /// From the end of the head to the end of the body.
    pub body: Duration,
    /// For the client to take the answer.
    pub write: Duration,
    /// Between two requests.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            first_head: Duration::from_secs(8),
            head: Duration::from_secs(8),
            body: Duration::from_secs(10),
            write: Duration::from_secs(10),
            idle: Duration::from_secs(60),
        }
    }
}

/// Why the server closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its slot goes to another connection.
    Reclaimed,
    /// It stayed in this phase for too long.
    TimedOut(Phase),
}
