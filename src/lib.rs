//! hookworks: a cluster scheduler that balances the tasks of each machine in
//! time, so that machines empty at the same time and are returned sooner.

#![deny(missing_docs)]
#![deny(clippy::many_single_char_names, clippy::too_many_lines)]

// `allow` marks modules with public items that lack a doc comment.
#[allow(missing_docs)]
pub mod api;
pub mod client;
#[allow(missing_docs)]
pub mod cloud;
#[allow(missing_docs)]
pub mod election;
#[allow(missing_docs)]
pub mod node;
#[allow(missing_docs)]
pub mod peer;
#[allow(missing_docs)]
pub mod sched;
pub mod settings;
#[allow(missing_docs)]
pub mod store;
pub mod time;
#[allow(missing_docs)]
pub mod versions;
pub mod wire;
#[allow(missing_docs)]
pub mod worker_client;

pub use hookworks_base::ids;
