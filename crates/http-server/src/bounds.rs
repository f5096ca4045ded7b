//! How many connections a controller can afford, worked out once at start from
//! what the machine has and what the operators allow.

use crate::lanes::Lane;
use serde::Serialize;
use thiserror::Error;

/// Sockets that are between two places: accepted but not seated yet, refused
/// or turned away and waiting for the other side to read why.
pub(crate) const AT_THE_DOOR: usize = 16;
pub(crate) const LEAVING: usize = 32;
/// Standard streams, listening sockets, a spare one, and some for surprises.
const BASICS: usize = 12;
/// What a connection takes with its thread and its buffers, measured on the
/// developers' machine (docs/notes/connections.md), with a margin.
pub const PER_CONNECTION: u64 = 20 * 1024;
/// Fewer are no use to anyone.
const FEWEST: usize = 16;
/// Threads that a process may have besides those for connections.
const OTHER_THREADS: usize = 100;
/// What a process may have in all, as the platform's users agreed.
const MOST_THREADS: usize = 2000;

/// What the machine offers, and what its owner keeps for other ends.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Sockets that the process may hold.
    pub sockets: usize,
    /// Descriptors that the system grants, if it tells.
    pub descriptors: Option<usize>,
    /// Bytes of memory.
    pub memory: u64,
    /// Sockets for calls to others, which no caller can take.
    pub aside: usize,
}

/// What operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wishes {
    /// Most threads that serve connections, one each.
    pub threads: usize,
    /// Share of the memory that connections may take.
    pub memory_share: f64,
    /// Share of the memory that large bodies may take together.
    pub body_share: f64,
    /// Guaranteed shares of all connections.
    pub workers: f64,
    pub users: f64,
    pub watch: f64,
    /// The share, and the most, of those that have not sent a request yet.
    pub fresh: f64,
}

impl Default for Wishes {
    fn default() -> Self {
        Wishes {
            threads: 1850,
            memory_share: 0.5,
            body_share: 0.1,
            workers: 0.7,
            users: 0.07,
            watch: 0.01,
            fresh: 0.03,
        }
    }
}

#[derive(Debug, Error, PartialEq)]
pub enum BoundsError {
    #[error(
        "only {left} connections can be served ({limit}), at least {FEWEST} are needed; {aside} sockets are set aside for calls to others"
    )]
    TooFew {
        left: usize,
        limit: Limit,
        aside: usize,
    },
    #[error("connection shares add up to {0}, which must not pass 1")]
    Shares(f64),
    #[error("{0} threads for connections are too many: a process may have {MOST_THREADS} in all")]
    Threads(usize),
}

/// What keeps the number of connections from being larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Limit {
    Sockets,
    Descriptors,
    Memory,
    Threads,
}

impl std::fmt::Display for Limit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Limit::Sockets => "limited by the machine's sockets",
            Limit::Descriptors => "limited by the system's descriptors",
            Limit::Memory => "limited by memory",
            Limit::Threads => "limited by threads",
        })
    }
}

/// The bounds in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Bounds {
    /// Connections served at a time, and threads that serve them.
    pub connections: usize,
    pub limited_by: Limit,
    /// What each lane can always have, by [`Lane`].
    pub guaranteed: [usize; Lane::COUNT],
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
    pub fn plan(m: &Machine, w: &Wishes) -> Result<Bounds, BoundsError> {
        let shares = w.workers + w.users + w.watch + w.fresh;
        if !(0.0..=1.0).contains(&shares) {
            return Err(BoundsError::Shares(shares));
        }
        if w.threads > MOST_THREADS - OTHER_THREADS {
            return Err(BoundsError::Threads(w.threads));
        }
        let set_aside = m.aside + BASICS + AT_THE_DOOR + LEAVING;
        let by_memory = (m.memory as f64 * w.memory_share) as u64 / PER_CONNECTION;
        let mut limits = vec![
            (w.threads, Limit::Threads),
            (m.sockets.saturating_sub(set_aside), Limit::Sockets),
            (by_memory as usize, Limit::Memory),
        ];
        if let Some(d) = m.descriptors {
            limits.push((d.saturating_sub(set_aside), Limit::Descriptors));
        }
        let (connections, limited_by) = limits
            .into_iter()
            .min_by_key(|l| l.0)
            .unwrap_or((0, Limit::Threads));
        if connections < FEWEST {
            return Err(BoundsError::TooFew {
                left: connections,
                limit: limited_by,
                aside: set_aside,
            });
        }
        let part = |share: f64, least: usize| ((connections as f64 * share) as usize).max(least);
        let mut guaranteed = [0; Lane::COUNT];
        guaranteed[Lane::Fresh as usize] = part(w.fresh, 4);
        guaranteed[Lane::Watch as usize] = part(w.watch, 2);
        guaranteed[Lane::Users as usize] = part(w.users, 2);
        // Rounding up the small ones comes out of the largest.
        let others: usize = guaranteed.iter().sum();
        guaranteed[Lane::Workers as usize] = part(w.workers, 2).min(connections - others);
        Ok(Bounds {
            connections,
            limited_by,
            guaranteed,
            set_aside,
            body_bytes: (m.memory as f64 * w.body_share) as usize,
        })
    }

    /// What a lane has when all others keep to nothing but their guarantee.
    pub fn most(&self, lane: Lane) -> usize {
        let others: usize = self.guaranteed.iter().sum::<usize>() - self.guaranteed[lane as usize];
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

#[cfg(test)]
mod tests {
    use super::*;

    const ROOMY: Machine = Machine {
        sockets: 3129,
        descriptors: Some(20_000),
        memory: 188 << 20,
        aside: 60,
    };

    #[test]
    fn the_scarcest_of_threads_sockets_descriptors_and_memory_counts() {
        let plan = |m: Machine| Bounds::plan(&m, &Wishes::default()).unwrap();
        assert_eq!(plan(ROOMY).limited_by, Limit::Threads);
        assert_eq!(plan(ROOMY).connections, 1850);
        let few = Machine {
            sockets: 300,
            ..ROOMY
        };
        assert_eq!(plan(few).limited_by, Limit::Sockets);
        assert_eq!(plan(few).connections + plan(few).set_aside, 300);
        let poor = Machine {
            memory: 8 << 20,
            ..ROOMY
        };
        assert_eq!(plan(poor).limited_by, Limit::Memory);
        let tight = Machine {
            descriptors: Some(256),
            ..ROOMY
        };
        assert_eq!(plan(tight).limited_by, Limit::Descriptors);
        // Guarantees never add up to more than there is, however few there are.
        for sockets in 140..400 {
            if let Ok(b) = Bounds::plan(&Machine { sockets, ..ROOMY }, &Wishes::default()) {
                assert!(b.guaranteed.iter().sum::<usize>() <= b.connections, "{b:?}");
            }
        }
    }

    #[test]
    fn a_controller_left_alone_holds_more_workers_than_its_largest_fleet_has() {
        let b = Bounds::plan(&ROOMY, &Wishes::default()).unwrap();
        assert!(b.most(Lane::Workers) >= 1600, "{}", b.most(Lane::Workers));
    }

    #[test]
    fn what_makes_no_sense_is_refused_at_start() {
        let w = Wishes {
            users: 0.5,
            ..Wishes::default()
        };
        assert!(matches!(
            Bounds::plan(&ROOMY, &w),
            Err(BoundsError::Shares(_))
        ));
        let w = Wishes {
            threads: 1950,
            ..Wishes::default()
        };
        assert!(matches!(
            Bounds::plan(&ROOMY, &w),
            Err(BoundsError::Threads(_))
        ));
        let m = Machine {
            sockets: 100,
            ..ROOMY
        };
        assert!(matches!(
            Bounds::plan(&m, &Wishes::default()),
            Err(BoundsError::TooFew { .. })
        ));
    }
}
