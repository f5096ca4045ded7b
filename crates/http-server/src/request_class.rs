//! What a request is for. Each class has a guaranteed share of all connections.

use serde::Serialize;

/// What a connection is for, decided by its latest request. The names are those
/// of the settings file (`fresh-share`, `watch-share`, …) and of the overview.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// No request yet.
    Fresh,
    /// Users: submissions, status, lists.
    Users,
    /// Health checks and operators.
    Watch,
    /// Workers' reports.
    Workers,
}

impl RequestClass {
    /// How many classes there are.
    pub const COUNT: usize = 4;
    /// All of them, in the order of their numbers.
    pub const ALL: [RequestClass; RequestClass::COUNT] = [
        RequestClass::Fresh,
        RequestClass::Users,
        RequestClass::Watch,
        RequestClass::Workers,
    ];
    /// Those that a connection can belong to once it has sent a request.
    pub(crate) const OF_REQUESTS: [RequestClass; 3] = [
        RequestClass::Users,
        RequestClass::Watch,
        RequestClass::Workers,
    ];
}

/// Counts of one class, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounts {
    /// Requests that were admitted.
    pub requests: u64,
    /// Requests that found no free connection slot.
    pub refused: u64,
    /// Idle connections that were closed to make room for others.
    pub made_room: u64,
    /// Connections that ran into a timeout.
    pub too_slow: u64,
}
