//! Talk among controllers: length-prefixed `bincode` frames.

use crate::ids::ControllerVersion;
use crate::versions::{EARLIEST, JOB_CHAINS, JOB_LIFECYCLE};
use crate::wire::user;
use bincode::{Decode, Encode};
/// A finished answer, ready to be written to the asker.
pub use hookworks_http_server::Answer;

/// What a controller passes on to the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request {
    Submit(Vec<u8>),
    Poll(String),
    Cancel(String),
    Report(Vec<u8>),
    /// Understood from [`JOB_LIFECYCLE`] on; so are all that follow.
    Hold(String, Vec<u8>),
    Release(String, Vec<u8>),
    Show(String),
    /// A page of jobs; what stands behind `?` in the URL.
    List(String),
    /// What has changed, likewise.
    Events(String),
}

impl Request {
    /// The version from which on a controller understands this.
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
    /// Sent twice a second: who leads, whom the sender hears, and how many
    /// workers report to it.
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

/// Follows a ping in its frame. Earlier versions neither send nor read it, and
/// ignore what stands behind a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PingExtension {
    /// How many workers the sender can hold.
    pub max_workers: Option<u32>,
    /// Its version, see [`crate::versions`].
    pub version: u32,
}

/// Follows that in turn; the release before ignores it as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PingIdentity {
    /// Tells the sending process from an earlier one under the same label.
    pub instance: u64,
}
