//! The capacity page, worked out from the slopes and from recorded runs. No
//! figure of it is written by hand.

mod model;
mod page;
mod recorded;

pub use model::Model;
pub use page::page;
pub use recorded::{Peak, Recorded};

use crate::slopes::Slopes;
use clap::Args;
use std::path::PathBuf;

/// Files of the page.
#[derive(Args, Clone, Debug)]
pub struct CapacityOptions {
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    /// The file of slopes.
    pub slopes: PathBuf,
    #[arg(long, default_value = "docs/capacity/runs.json")]
    /// The file of kept runs.
    pub runs: PathBuf,
    #[arg(long, default_value = "docs/CAPACITY.md")]
    /// The page.
    pub into: PathBuf,
}

/// Reads, works out and writes the page.
///
/// # Errors
/// When a file can't be read or written.
pub fn write(options: &CapacityOptions) -> std::io::Result<()> {
    let slopes = Slopes::read(&options.slopes)?;
    let runs = recorded::read_runs(&options.runs)?;
    std::fs::write(&options.into, page(&slopes, &runs))
}
