//! The threads that wait for the state service, the cloud and workers, so that the
//! main loop never does: a module for each counterpart. Requests go in by a channel;
//! results come back as messages of the main loop.

pub(super) mod cloud;
pub(super) mod direct_calls;
pub(super) mod election;
pub(super) mod state_service;

/// The most sockets that all of them use; a client may hold two while it goes from
/// one to another.
pub(super) const SOCKETS: usize =
    state_service::SOCKETS + election::SOCKETS + cloud::SOCKETS + direct_calls::SOCKETS;
