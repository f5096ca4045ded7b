//! What goes over the wire, a file for each counterpart. The names that others
//! use live only here.

pub mod cloud;
#[allow(missing_docs)]
pub mod peer;
pub mod peer_frame;
pub mod state;
#[allow(missing_docs)]
pub mod user;
pub mod worker;
