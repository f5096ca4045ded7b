//! A bounded HTTP/1.1 server: one routine per connection, and a bound on each
//! of sockets, threads and memory that no caller can pass.
//!
//! [`Bounds::plan`] works the bounds out at start. [`Lanes`] decides, without
//! any I/O, who may hold a connection; [`Spread`] decides when those that were
//! turned away come back. [`Server`] carries both out. What a request means is
//! the [`Service`]'s affair.

mod bounds;
mod conn;
mod head;
mod lanes;
mod leaving;
mod seats;
mod server;
mod spread;

pub use bounds::{Bounds, BoundsError, Limit, Machine, PER_CONNECTION, Wishes, descriptors};
pub use head::{Framing, Head, MAX_BODY, MAX_HEAD, encode, may_be_whole, parse};
pub use lanes::{Arrival, ConnId, Counts, Lane, Lanes, Limits, Phase, Verdict, Why};
pub use server::{Figures, LaneFigures, Server};
pub use spread::Spread;

use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};
use crossbeam_channel::Sender;
use http::Method;
use std::time::{Duration, Instant};

/// An answer, with a JSON body; controllers pass it on among themselves.
#[derive(Clone, Debug, PartialEq, Encode)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Seconds after which asking again makes sense; spread out on the way.
    pub retry_after: Option<u32>,
    /// Microseconds for which it may be told, none: for ever. They count from when
    /// the question reached whoever answers it; where it was passed on, from when it
    /// reached the one that did, which is earlier. Last, as earlier versions neither
    /// send nor read it.
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
    pub fn new(status: u16, body: String) -> Answer {
        Answer {
            status,
            body,
            retry_after: None,
            valid_us: None,
        }
    }

    pub fn error(status: u16, text: &str) -> Answer {
        Answer::new(status, serde_json::json!({ "error": text }).to_string())
    }

    /// It may not be told any more, if it was asked for then.
    pub fn is_stale(&self, asked: Instant) -> bool {
        let valid = self.valid_us.map(Duration::from_micros);
        valid.is_some_and(|v| asked.elapsed() >= v)
    }

    /// 503 with `Retry-After`.
    pub fn later(text: &str, seconds: u32) -> Answer {
        Answer {
            retry_after: Some(seconds),
            ..Answer::error(503, text)
        }
    }
}

/// The way back to whoever asked. Dropped unused, it answers 503.
#[derive(Debug)]
pub struct Reply {
    pub(crate) to: Sender<Answer>,
    pub(crate) asked: Instant,
}

impl Reply {
    /// When the whole request was here; the answer's validity counts from then.
    pub fn asked(&self) -> Instant {
        self.asked
    }

    /// Hands the answer to the connection's routine; never blocks.
    pub fn answer(self, a: Answer) {
        let _ = self.to.try_send(a);
    }
}

/// What a request is, as told by its head.
pub enum Route<R> {
    /// Answered from the head alone; a body is read and dropped.
    Now(Lane, Answer),
    /// For [`Service::take`], with its body.
    Take(Lane, R),
}

/// What the server serves. Called on the connections' own threads, so it must
/// not block.
pub trait Service: Send + Sync + 'static {
    type Request: Send;

    /// What the request is. The lane must be none but `Users`, `Watch` and
    /// `Workers`.
    fn route(&self, method: &Method, path: &str, query: &str) -> Route<Self::Request>;

    /// Takes a request, to be answered later from wherever.
    fn take(&self, request: Self::Request, body: Vec<u8>, reply: Reply);

    /// A worker that finds no room here could go to another controller. True
    /// books a place there.
    fn elsewhere(&self) -> bool {
        false
    }

    /// The answer for a request whose lane has no room; `elsewhere` as just
    /// answered.
    fn full(&self, lane: Lane, elsewhere: bool) -> Answer {
        let _ = (lane, elsewhere);
        Answer::later("too many connections", 1)
    }
}
