//! What goes over the wire, a file for each counterpart. The names that others
//! use live only here.

pub mod cloud;
pub mod peer;
pub mod peer_frame;
pub mod state;
pub mod user;
pub mod worker;
