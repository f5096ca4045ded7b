//! A bounded HTTP/1.1 server. Idle connections hold no thread: one thread watches all
//! of them, and a small pool serves the requests that are there.
//!
//! It promises that sockets, threads and memory stay within bounds that no caller
//! can pass; that each class of requests keeps its guaranteed share of the
//! connections; that a slow client runs into a timeout; and that refused clients
//! are told when to retry, each at another time.
//!
//! It must never interpret a request beyond its head's framing, block a thread on
//! the service for ever, or end because accepting failed.
//!
//! - [`Bounds::plan`] works out the bounds at start.
//! - [`ConnectionTable`] decides, without any I/O, which connections may be open.
//! - [`RetryJitter`] decides when refused clients retry.
//! - [`Server`] carries all of it out; what a request means is up to the
//!   [`Service`].

mod acceptor;
mod body;
mod bounds;
mod connection;
mod connection_table;
mod head;
mod lingering;
mod metrics;
mod pending_answer;
mod phase;
mod readiness;
mod request_class;
mod request_pool;
mod retry_jitter;
mod server;
mod shared;

pub use bounds::{
    BYTES_PER_CONNECTION, Bounds, BoundsError, BoundsSettings, LimitedBy, MachineResources,
    descriptors,
};
pub use connection_table::{Admission, ConnectionId, ConnectionTable, RequestDecision};
pub use head::{Framing, Head, MAX_BODY, MAX_HEAD, encode, may_be_complete, parse};
pub use metrics::{ClassMetrics, ServerMetrics};
pub use phase::{CloseReason, Phase, Timeouts};
pub use request_class::{ClassCounts, RequestClass};
pub use retry_jitter::RetryJitter;
pub use server::Server;

use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};
use http::Method;
use pending_answer::AnswerSink;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An answer, with a JSON body; controllers pass it on among themselves.
#[derive(Clone, Debug, PartialEq, Encode)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: String,
    /// Seconds after which a retry makes sense; jitter is added on the way.
    pub retry_after: Option<u32>,
    /// Microseconds for which the answer is valid, none: for ever. They count from
    /// when the request reached whoever answers it; where it was passed on, from when
    /// it reached the controller that did, which is earlier. The last field, as
    /// earlier versions neither send nor read it.
    pub valid_us: Option<u64>,
}

impl<C> Decode<C> for Answer {
    fn decode<D: Decoder<Context = C>>(from: &mut D) -> Result<Self, DecodeError> {
        Ok(Answer {
            status: Decode::decode(from)?,
            body: Decode::decode(from)?,
            retry_after: Decode::decode(from)?,
            valid_us: match Decode::decode(from) {
                Err(DecodeError::UnexpectedEnd { .. }) => None,
                valid => valid?,
            },
        })
    }
}

bincode::impl_borrow_decode!(Answer);

impl Answer {
    /// An answer that is valid for ever.
    pub fn new(status: u16, body: String) -> Answer {
        Answer {
            status,
            body,
            retry_after: None,
            valid_us: None,
        }
    }

    /// An answer that names an error.
    pub fn error(status: u16, text: &str) -> Answer {
        Answer::new(status, serde_json::json!({ "error": text }).to_string())
    }

    /// Its validity is over, if its request was complete at `asked`.
    pub fn is_stale(&self, asked: Instant) -> bool {
        let valid = self.valid_us.map(Duration::from_micros);
        valid.is_some_and(|valid| asked.elapsed() >= valid)
    }

    /// 503 with `Retry-After`.
    pub fn later(text: &str, seconds: u32) -> Answer {
        Answer {
            retry_after: Some(seconds),
            ..Answer::error(503, text)
        }
    }
}

/// Carries the answer back to the client. Dropped unused, it answers 503.
pub struct Reply {
    /// None once answered.
    to: Option<Arc<dyn AnswerSink>>,
    asked: Instant,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let reply = &mut f.debug_struct("Reply");
        reply.field("asked", &self.asked).finish_non_exhaustive()
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let Some(to) = self.to.take() {
            to.deliver(Answer::later("no answer in time", 1));
        }
    }
}

impl Reply {
    fn new(to: Arc<dyn AnswerSink>, asked: Instant) -> Reply {
        let to = Some(to);
        Reply { to, asked }
    }

    /// When the request was complete; the answer's validity counts from then.
    pub fn asked(&self) -> Instant {
        self.asked
    }

    /// Hands the answer, and the connection that waits for it, to the server's
    /// threads; never blocks.
    pub fn answer(mut self, answer: Answer) {
        if let Some(to) = self.to.take() {
            to.deliver(answer);
        }
    }
}

/// What to do with a request, decided by its head.
pub enum Route<R> {
    /// Answered from the head alone; a body is read and dropped.
    Respond(RequestClass, Answer),
    /// For [`Service::handle`], with its body.
    Handle(RequestClass, R),
}

/// What the server serves. Called on the threads that all connections share, so it
/// must not block.
pub trait Service: Send + Sync + 'static {
    /// What a request asks for, as found in its head.
    type Request: Send;

    /// Decides by the head what to do. The class must be none but `Users`, `Watch` and
    /// `Workers`.
    fn route(&self, method: &Method, path: &str, query: &str) -> Route<Self::Request>;

    /// Handles a request, which may be answered later from any thread.
    fn handle(&self, request: Self::Request, body: Vec<u8>, reply: Reply);

    /// For a worker that finds no slot here: true reserves one at another
    /// controller.
    fn reserve_elsewhere(&self) -> bool {
        false
    }

    /// The answer to a request whose class has no free slot; `elsewhere` is what
    /// [`Service::reserve_elsewhere`] has just returned.
    fn no_capacity(&self, class: RequestClass, elsewhere: bool) -> Answer {
        let _ = (class, elsewhere);
        Answer::later("too many connections", 1)
    }
}
