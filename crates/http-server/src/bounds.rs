//! How many connections a controller can afford, worked out once at start from
//! what the machine has and what the operators allow.

use crate::request_class::RequestClass;
use serde::Serialize;
use thiserror::Error;

/// Connections that have lost their slots and hold their sockets a moment longer.
pub(crate) const MAX_CLOSING: usize = 16;
/// Refused or finished connections whose other side has yet to read its answer.
pub(crate) const MAX_LINGERING: usize = 32;
/// Descriptors for standard streams, listening sockets, a reserve, readiness, and
/// some more.
const BASE_DESCRIPTORS: usize = 12;
/// Bytes of memory of a connection with a request under way, as measured
/// (docs/notes/connections.md), with a margin.
pub const BYTES_PER_CONNECTION: u64 = 20 * 1024;
/// With fewer connections a controller does not start.
const MIN_CONNECTIONS: usize = 16;
/// Threads that a process may have besides those for requests.
const OTHER_THREADS: usize = 100;
/// There is a thread for so many connections, at the most: no thread waits for a
/// client or an answer, so far fewer are in use.
const CONNECTIONS_PER_THREAD: usize = 32;
/// Fewer threads could not keep some for health checks.
const MIN_THREADS: usize = 8;
/// Threads that a process may have in all, as the platform's users agreed.
const MAX_THREADS: usize = 2000;
/// What is left of them for requests.
const MOST_REQUEST_THREADS: usize = MAX_THREADS - OTHER_THREADS;

/// What the machine offers, and what of it is reserved for other uses.
#[derive(Clone, Copy, Debug)]
pub struct MachineResources {
    /// Sockets that the process may hold.
    pub sockets: usize,
    /// Descriptors that the system grants, if it tells.
    pub descriptors: Option<usize>,
    /// Bytes of memory.
    pub memory: u64,
    /// Sockets for calls to others, which no caller can take.
    pub reserved_sockets: usize,
}

/// What operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundsSettings {
    /// Most threads that serve requests.
    pub threads: usize,
    /// Share of the memory that connections may take.
    pub memory_share: f64,
    /// Share of the memory that large bodies may take together.
    pub body_share: f64,
    /// Guaranteed share of all connections for workers.
    pub workers: f64,
    /// Guaranteed share for users.
    pub users: f64,
    /// Guaranteed share for health checks and operators.
    pub watch: f64,
    /// The share, and the most, of connections without a request yet.
    pub fresh: f64,
}

impl Default for BoundsSettings {
    fn default() -> Self {
        BoundsSettings {
            threads: 128,
            memory_share: 0.5,
            body_share: 0.1,
            workers: 0.7,
            users: 0.07,
            watch: 0.01,
            fresh: 0.03,
        }
    }
}

/// Why no bounds could be worked out.
#[derive(Debug, Error, PartialEq)]
pub enum BoundsError {
    #[error(
        "only {left} connections can be served ({limit}), at least {MIN_CONNECTIONS} are needed; {aside} sockets are set aside for calls to others"
    )]
    /// Too little is left for callers.
    TooFew {
        /// Connections that could be served.
        left: usize,
        /// What keeps their number so low.
        limit: LimitedBy,
        /// Sockets that callers never get.
        aside: usize,
    },
    #[error("connection shares add up to {0}, which must not pass 1")]
    /// The guaranteed shares pass the whole; their sum.
    Shares(f64),
    #[error(
        "{0} threads for requests: must be {MIN_THREADS} to {MOST_REQUEST_THREADS}, as a process may have {MAX_THREADS} in all"
    )]
    /// Too few threads, or more than a process may have.
    Threads(usize),
}

/// What keeps the number of connections from being larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitedBy {
    /// The machine's limit of sockets.
    Sockets,
    /// The system's limit of descriptors.
    Descriptors,
    /// The memory.
    Memory,
}

impl std::fmt::Display for LimitedBy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LimitedBy::Sockets => "limited by the machine's sockets",
            LimitedBy::Descriptors => "limited by the system's descriptors",
            LimitedBy::Memory => "limited by memory",
        })
    }
}

/// The bounds in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Bounds {
    /// Connections open at a time.
    pub connections: usize,
    /// Most threads that serve their requests.
    pub threads: usize,
    /// What keeps the number of connections from being larger.
    pub limited_by: LimitedBy,
    /// Connections that each class can always have, by [`RequestClass`].
    pub guaranteed: [usize; RequestClass::COUNT],
    /// Sockets that are never given to callers.
    pub set_aside: usize,
    /// Bytes of large bodies under way, all connections together.
    pub body_bytes: usize,
}

impl Bounds {
    /// Works the bounds out.
    ///
    /// # Errors
    /// When shares or threads make no sense, or too little is left to serve.
    pub fn plan(
        machine: &MachineResources,
        settings: &BoundsSettings,
    ) -> Result<Bounds, BoundsError> {
        let shares = settings.workers + settings.users + settings.watch + settings.fresh;
        if !(0.0..=1.0).contains(&shares) {
            return Err(BoundsError::Shares(shares));
        }
        if !(MIN_THREADS..=MOST_REQUEST_THREADS).contains(&settings.threads) {
            return Err(BoundsError::Threads(settings.threads));
        }
        let set_aside = machine.reserved_sockets + BASE_DESCRIPTORS + MAX_CLOSING + MAX_LINGERING;
        let by_memory =
            (machine.memory as f64 * settings.memory_share) as u64 / BYTES_PER_CONNECTION;
        let mut limits = vec![
            (
                machine.sockets.saturating_sub(set_aside),
                LimitedBy::Sockets,
            ),
            (by_memory as usize, LimitedBy::Memory),
        ];
        if let Some(d) = machine.descriptors {
            limits.push((d.saturating_sub(set_aside), LimitedBy::Descriptors));
        }
        let (connections, limited_by) = limits
            .into_iter()
            .min_by_key(|l| l.0)
            .unwrap_or((0, LimitedBy::Sockets));
        if connections < MIN_CONNECTIONS {
            return Err(BoundsError::TooFew {
                left: connections,
                limit: limited_by,
                aside: set_aside,
            });
        }
        let part = |share: f64, least: usize| ((connections as f64 * share) as usize).max(least);
        let mut guaranteed = [0; RequestClass::COUNT];
        guaranteed[RequestClass::Fresh as usize] = part(settings.fresh, 4);
        guaranteed[RequestClass::Watch as usize] = part(settings.watch, 2);
        guaranteed[RequestClass::Users as usize] = part(settings.users, 2);
        // Rounding up the small ones comes out of the largest.
        let others: usize = guaranteed.iter().sum();
        guaranteed[RequestClass::Workers as usize] =
            part(settings.workers, 2).min(connections - others);
        let threads = connections / CONNECTIONS_PER_THREAD;
        Ok(Bounds {
            connections,
            threads: threads.clamp(MIN_THREADS, settings.threads),
            limited_by,
            guaranteed,
            set_aside,
            body_bytes: (machine.memory as f64 * settings.body_share) as usize,
        })
    }

    /// Most connections of a class, when all others use no more than their guarantee.
    pub fn max_for(&self, class: RequestClass) -> usize {
        let others: usize = self.guaranteed.iter().sum::<usize>() - self.guaranteed[class as usize];
        self.connections - others
    }
}

/// Descriptors that this process may open; asks the system for as many as it
/// grants, up to `wanted`. None where the system does not tell.
pub fn descriptors(wanted: usize) -> Option<usize> {
    let wanted = wanted as u64;
    match rlimit::Resource::NOFILE.get() {
        Ok((soft, _)) if soft >= wanted => Some(soft as usize),
        Ok((soft, hard)) => {
            let more = hard.min(wanted);
            let got = rlimit::Resource::NOFILE.set(more, hard).map(|()| more);
            Some(got.unwrap_or(soft) as usize)
        }
        Err(_) => None,
    }
}
