//! Stand-ins for the cases of the review, and the judge of what they see.

pub mod http;
pub mod net;
pub mod record;
pub mod scene;
pub mod sites;
pub mod state;
pub mod world;
