//! What operators see of the server. Field names are those of the overview and of
//! the log; counts are since the start.

use crate::bounds::Bounds;
use crate::request_class::RequestClass;
use serde::Serialize;
use std::collections::BTreeMap;

/// What operators see of one class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClassMetrics {
    /// Open connections.
    pub open: usize,
    /// Of these, those without a request under way.
    pub idle: usize,
    /// Connections that the class can always have.
    pub guaranteed: usize,
    /// Requests that were admitted.
    pub requests: u64,
    /// Requests that found no free connection slot.
    pub refused: u64,
    /// Idle connections that were closed to make room for others.
    pub made_room: u64,
    /// Connections that ran into a timeout.
    pub too_slow: u64,
}

impl ClassMetrics {
    /// Requests and connections that were refused or closed early.
    pub(crate) fn lost(&self) -> u64 {
        self.refused + self.made_room + self.too_slow
    }
}

/// What operators see of all connections.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerMetrics {
    /// The bounds in force.
    pub bounds: Bounds,
    /// Open connections.
    pub open: usize,
    /// Most open connections at a time.
    pub most_open: usize,
    /// Threads that serve requests.
    pub threads: usize,
    /// Most threads at a time.
    pub most_threads: usize,
    /// Each class by itself.
    #[serde(rename = "lanes")]
    pub classes: BTreeMap<RequestClass, ClassMetrics>,
    /// Connections that got 503 before they had sent anything.
    pub turned_away: u64,
    /// Accepting failed, as it does when descriptors run out.
    pub accept_failed: u64,
    /// The listening socket was given up and opened anew.
    pub listener_reopened: u64,
    /// Threads that could not be started.
    pub no_thread: u64,
    /// Bytes that large bodies may still take.
    pub body_bytes_free: usize,
}
