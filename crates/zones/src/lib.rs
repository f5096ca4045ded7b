//! The fleet in zones. A zone whose machines fall silent together is one event,
//! not hundreds: what it holds may be running, ending or gone, and nobody here
//! can tell which. This package turns evidence into a state for each zone
//! ([`Zones`]) and, for one that is lost, into a plan of what is worth getting
//! proof for ([`plan`]).
//!
//! It promises that verdicts come and go in order, with hysteresis, that they
//! never fall on all zones at once (then the fault is the leader's own), and
//! that the work of a look grows with zones only, that of a plan with the tasks
//! that it is given.
//!
//! It must never free anything: a verdict orders and paces. That an attempt is
//! gone is proven elsewhere, by a report, an ended session, a lease that has
//! run out or the cloud's word. No I/O, clock or threads.

mod limits;
mod plan;
mod state;

pub use limits::Limits;
pub use plan::{
    AttemptAtRisk, AttemptKind, Budget, LostMachine, ReleasePlan, plan_releases, release_benefit,
};
pub use state::{Change, Evidence, State, View, Zones};
