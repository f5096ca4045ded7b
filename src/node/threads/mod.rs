//! The threads that make blocking calls to the state service, the cloud and workers, so
//! that the main loop never blocks: one module for each. Requests arrive by a channel;
//! results return as messages to the main loop.

pub(super) mod cloud;
pub(super) mod direct_calls;
pub(super) mod election;
pub(super) mod state_service;

/// The most sockets that all of them use. A client may hold two for a moment while it
/// replaces a connection.
pub(super) const SOCKETS: usize =
    state_service::SOCKETS + election::SOCKETS + cloud::SOCKETS + direct_calls::SOCKETS;
