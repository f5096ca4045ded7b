//! Messages between controllers, encoded with `bincode` in length-prefixed frames.

use crate::ids::ControllerVersion;
use crate::versions::{EARLIEST, JOB_CHAINS, JOB_LIFECYCLE};
use crate::wire::user;
use bincode::{Decode, Encode};
/// A complete response to a caller.
pub use hookworks_http_server::Answer;

/// A request that a controller forwards to the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request {
    Submit(Vec<u8>),
    Poll(String),
    Cancel(String),
    Report(Vec<u8>),
    /// Supported since [`JOB_LIFECYCLE`], as are all variants below.
    Hold(String, Vec<u8>),
    Release(String, Vec<u8>),
    Show(String),
    /// A page of jobs; holds the query string of the URL.
    List(String),
    /// Events; holds the query string of the URL.
    Events(String),
}

impl Request {
    /// The first controller version that supports this request.
    pub fn min_version(&self) -> ControllerVersion {
        match self {
            Request::Submit(body) if user::has_dependencies(body) => JOB_CHAINS,
            Request::Submit(_) | Request::Poll(_) | Request::Cancel(_) | Request::Report(_) => {
                EARLIEST
            }
            Request::Hold(..)
            | Request::Release(..)
            | Request::Show(_)
            | Request::List(_)
            | Request::Events(_) => JOB_LIFECYCLE,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Sent twice a second: the leader that the sender knows, the controllers that it
    /// hears, and the number of workers that report to it.
    Ping {
        from: String,
        leader: Option<(String, u64)>,
        reachable: Vec<String>,
        workers: u32,
    },
    Request {
        id: u64,
        from: String,
        to: String,
        request: Request,
    },
    Response {
        id: u64,
        to: String,
        answer: Answer,
    },
}

/// Extension after a ping in the same frame. Earlier versions don't send it, and ignore
/// trailing bytes after a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PingExtension {
    /// Maximum number of workers that the sender can serve.
    pub max_workers: Option<u32>,
    /// Version of the sender, see [`crate::versions`].
    pub version: u32,
}

/// Second extension, after [`PingExtension`]; the previous release ignores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PingIdentity {
    /// Distinguishes the sending process from an earlier one with the same label.
    pub instance: u64,
}
