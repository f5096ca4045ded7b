//! A scale run: real controllers as processes on loopback, and beside them, in
//! this program, hollow workers, a cloud, a state service and users that speak
//! the real protocol over real sockets.
//!
//! [`run::run`] carries out one run of [`options::RunOptions`] and gives
//! figures; [`judge::Judge`] checks the rules from the stand-ins'
//! own record. [`slopes`] runs several sizes and fits lines; [`capacity`] works
//! the capacity page out from them.

pub mod bounds;
pub mod capacity;
pub mod controllers;
pub mod counters;
mod faults;
mod figures;
pub mod fit;
pub mod http;
pub mod interference;
pub mod judge;
pub mod layout;
mod links;
pub mod machine;
mod measure;
pub mod options;
pub mod pipeline;
mod plot;
mod process;
pub mod run;
pub mod slopes;
pub mod soak;
mod standin;
pub mod workload;

pub use standin::cloud::place;
pub use standin::state::{Limits, StateService};
