//! Wire formats, one module for each peer. The names of external protocols occur only
//! here.

pub mod cloud;
#[allow(missing_docs)]
pub mod peer;
pub mod peer_frame;
pub mod state;
#[allow(missing_docs)]
pub mod user;
pub mod worker;
