//! Zone outage detection. A zone whose machines fall silent together is one event, not
//! hundreds: its attempts may be running, ending or gone, and the leader can't tell
//! which. This crate turns evidence into a state for each zone ([`Zones`]) and, for a
//! lost zone, into a plan of which machines to release ([`plan_releases`]).
//!
//! Guarantees: states change in a fixed order and with hysteresis; never do all zones
//! count as silent at once (then the fault is the leader's own); the cost of an update
//! depends on the number of zones only, that of a plan on the number of tasks given.
//!
//! A state never ends an attempt or frees its resources; it only prioritizes and limits
//! actions. That an attempt is gone is proven elsewhere: by a report, an ended session,
//! an expired lease or a release confirmed by the cloud. The crate uses no I/O, clock
//! or threads.

mod limits;
mod plan;
mod state;

pub use limits::Limits;
pub use plan::{
    AttemptAtRisk, AttemptKind, Budget, LostMachine, ReleasePlan, plan_releases, release_benefit,
};
pub use state::{Change, Evidence, State, View, Zones};
