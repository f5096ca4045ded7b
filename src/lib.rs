//! hookworks: a cluster scheduler that balances the tasks of each machine in
//! time, so that machines empty together and go back sooner.

pub mod agent;
pub mod api;
pub mod client;
pub mod cloud;
pub mod lead;
pub mod node;
pub mod peer;
pub mod sched;
pub mod settings;
pub mod store;
pub mod time;
pub mod versions;
pub mod wire;

pub use hookworks_base::ids;
