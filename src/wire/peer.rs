//! Talk among controllers: length-prefixed `bincode` frames.

use crate::ids::ControllerVersion;
use crate::versions::{EARLIEST, JOB_CHAINS, JOB_LIFECYCLE};
use crate::wire::user;
use bincode::{Decode, Encode};
/// A finished answer, ready to be written to the asker.
pub use hookworks_http_server::Answer;

/// What a controller passes on to the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Ask {
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

impl Ask {
    /// The version from which on a controller understands this.
    pub fn needs(&self) -> ControllerVersion {
        match self {
            Ask::Submit(body) if user::awaits_others(body) => JOB_CHAINS,
            Ask::Submit(_) | Ask::Poll(_) | Ask::Cancel(_) | Ask::Report(_) => EARLIEST,
            Ask::Hold(..) | Ask::Release(..) | Ask::Show(_) | Ask::List(_) | Ask::Events(_) => {
                JOB_LIFECYCLE
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMsg {
    /// Sent twice a second: who leads, whom the sender hears, and how many
    /// workers report to it.
    Ping {
        from: String,
        leader: Option<(String, u64)>,
        hears: Vec<String>,
        workers: u32,
    },
    Ask {
        id: u64,
        from: String,
        to: String,
        ask: Ask,
    },
    Tell {
        id: u64,
        to: String,
        answer: Answer,
    },
}

/// Follows a ping in its frame. Earlier versions neither send nor read it, and
/// ignore what stands behind a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PingMore {
    /// How many workers the sender can hold.
    pub workers_most: Option<u32>,
    /// Its version, see [`crate::versions`].
    pub speaks: u32,
}

/// Follows that in turn; the release before ignores it as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PingSelf {
    /// Tells the sending process from an earlier one under the same label.
    pub instance: u64,
}
