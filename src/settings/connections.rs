//! Limits of connections: number, shares of request classes and timeouts.

use super::{SettingsError, check_ranges};
use hookworks_http_server::BoundsSettings;
use serde::{Deserialize, Serialize};

/// `<connections><threads>128</threads>…</connections>`; all optional.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Connections {
    /// Most threads that serve requests.
    pub threads: usize,
    /// Machines that a single remaining controller has to serve; `hookworks check` fails
    /// if it can't. 0: not set.
    pub machines: usize,
    /// Share of the machine's memory that connections may take.
    pub memory_share: f64,
    /// Share of the memory that bodies over 8 KiB may take together.
    pub body_share: f64,
    /// Guaranteed share of workers.
    pub workers_share: f64,
    /// Guaranteed share of users.
    pub users_share: f64,
    /// Guaranteed share of health checks and operators.
    pub watch_share: f64,
    /// Guaranteed and maximum share of connections without a request yet.
    pub fresh_share: f64,
    /// Timeout in seconds from a connection's opening, or the first byte, to a complete
    /// head.
    pub head_s: f64,
    /// Timeout in seconds from the end of the head to the end of the body.
    pub body_s: f64,
    /// Timeout in seconds between two requests.
    pub idle_s: f64,
}

impl Default for Connections {
    fn default() -> Self {
        let defaults = BoundsSettings::default();
        Connections {
            threads: defaults.threads,
            machines: 0,
            memory_share: defaults.memory_share,
            body_share: defaults.body_share,
            workers_share: defaults.workers,
            users_share: defaults.users,
            watch_share: defaults.watch,
            fresh_share: defaults.fresh,
            head_s: 8.0,
            body_s: 10.0,
            idle_s: 60.0,
        }
    }
}

impl Connections {
    /// The settings of the connection layer.
    pub fn bounds_settings(&self) -> BoundsSettings {
        BoundsSettings {
            threads: self.threads,
            memory_share: self.memory_share,
            body_share: self.body_share,
            workers: self.workers_share,
            users: self.users_share,
            watch: self.watch_share,
            fresh: self.fresh_share,
        }
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let all = [
            ("memory-share", self.memory_share, 0.01, 0.9),
            ("body-share", self.body_share, 0.01, 0.9),
            ("workers-share", self.workers_share, 0.0, 1.0),
            ("users-share", self.users_share, 0.0, 1.0),
            ("watch-share", self.watch_share, 0.0, 1.0),
            ("fresh-share", self.fresh_share, 0.0, 1.0),
            ("head-s", self.head_s, 0.5, 600.0),
            ("body-s", self.body_s, 0.5, 600.0),
            ("idle-s", self.idle_s, 1.0, 3600.0),
        ];
        check_ranges(file, "connections/", all)
    }
}
