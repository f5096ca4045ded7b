//! Options of the smaller limits that the state service gets during a run.

use super::{BadInput, RunOptions, within};
use clap::Args;
use serde::Serialize;

/// Limits that the state service has from some moment on.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct NextLimitsOptions {
    /// Size of a stored value at the most, later.
    #[arg(id = "next-value-kb", long = "next-value-kb")]
    pub value_kb: Option<f64>,
    /// Puts and deletes of a transaction at the most, later.
    #[arg(id = "next-txn-ops", long = "next-txn-ops")]
    pub txn_ops: Option<usize>,
    /// Puts and deletes that the state service takes a second, later.
    #[arg(id = "next-write-rps", long = "next-write-rps")]
    pub write_rps: Option<f64>,
    /// Leave the later limits out of the controllers' settings (`state.next`).
    #[arg(id = "next-unannounced", long = "next-unannounced")]
    pub unannounced: bool,
    /// Fault: the later limits come into force so long after the first arrival;
    /// without it they never do.
    #[arg(id = "limits-fall-after-s", long = "limits-fall-after-s")]
    pub after_s: Option<f64>,
}

impl NextLimitsOptions {
    /// Whether any limit is to change.
    pub fn is_any(&self) -> bool {
        self.value_kb.is_some() || self.txn_ops.is_some() || self.write_rps.is_some()
    }

    /// Checks them against the limits at the start: limits only fall.
    pub(super) fn check_ranges(&self, now: &RunOptions) -> Result<(), BadInput> {
        if let Some(kb) = self.value_kb {
            within("next-value-kb", kb, 2.0, now.value_kb)?;
        }
        if let Some(ops) = self.txn_ops {
            within("next-txn-ops", ops as f64, 4.0, now.txn_ops as f64)?;
        }
        if let Some(rps) = self.write_rps {
            within("next-write-rps", rps, 1.0, now.state_write_rps)?;
        }
        if self.is_any() || (self.after_s.is_none() && !self.unannounced) {
            return Ok(());
        }
        Err(BadInput::NoNextLimits)
    }
}
