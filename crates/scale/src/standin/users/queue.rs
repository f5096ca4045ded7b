//! What users are about to ask, in the order in which it is due.

use crate::workload::Plan;
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Instant;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestKind {
    Submit,
    /// A submission that was accepted, once more.
    Repeat,
    Poll,
    Cancel,
}

#[derive(Clone)]
pub(super) struct UserRequest {
    pub due: Instant,
    pub kind: RequestKind,
    pub plan: Arc<Plan>,
    /// When the user first tried.
    pub first: Instant,
}

impl PartialEq for UserRequest {
    fn eq(&self, other: &UserRequest) -> bool {
        self.due == other.due
    }
}
impl Eq for UserRequest {}
impl PartialOrd for UserRequest {
    fn partial_cmp(&self, other: &UserRequest) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for UserRequest {
    /// The earliest is the greatest.
    fn cmp(&self, other: &UserRequest) -> Ordering {
        other.due.cmp(&self.due)
    }
}
