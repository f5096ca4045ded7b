//! What the capacity page is worked out for: the target and today's sizes, the
//! bounds of each role with what carries it, and what was not measured.

/// The target, and what runs today.
pub(crate) const TARGET: Demand = Demand {
    name: "target, peak second",
    workers: 4500.0,
    starts: 330.0,
    teams: 150.0,
    zones: 13.0,
};
/// Jobs of a day, and tasks of a job as in the largest sites of today: what an
/// ordinary second is taken from.
pub(crate) const JOBS_A_DAY: f64 = 69_000.0;
pub(crate) const TASKS_OF_A_JOB: f64 = 80.0;
const SECONDS_OF_A_DAY: f64 = 86_400.0;
const TODAY_WORKERS: f64 = 1300.0;
const TODAY_TEAMS: f64 = 10.0;
const TODAY_ZONES: f64 = 3.0;

/// What the system has to carry.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// What it is called.
    pub name: &'static str,
    /// Workers.
    pub workers: f64,
    /// Task starts a second that arrive.
    pub starts: f64,
    /// Teams.
    pub teams: f64,
    /// Zones.
    pub zones: f64,
}

impl Demand {
    /// Today's fleet with its share of the target's starts.
    fn today(name: &'static str, target: Demand) -> Demand {
        Demand {
            name,
            workers: TODAY_WORKERS,
            starts: target.starts * TODAY_WORKERS / target.workers,
            teams: TODAY_TEAMS,
            zones: TODAY_ZONES,
        }
    }

    /// The target at `workers` machines, starts in proportion.
    pub(crate) fn at(workers: f64) -> Demand {
        let share = workers / TARGET.workers;
        Demand {
            workers,
            starts: TARGET.starts * share,
            teams: TARGET.teams,
            zones: TARGET.zones,
            ..TARGET
        }
    }

    pub(crate) fn all() -> [Demand; 4] {
        let ordinary = Demand {
            name: "target, ordinary second",
            starts: JOBS_A_DAY / SECONDS_OF_A_DAY * TASKS_OF_A_JOB,
            ..TARGET
        };
        [
            Demand::today("today, ordinary second", ordinary),
            Demand::today("today, peak second", TARGET),
            ordinary,
            TARGET,
        ]
    }
}

/// A measure that has a bound, and what carries it.
pub(crate) struct Line {
    pub measure: &'static str,
    pub role: &'static str,
    /// The controllers share it out, so that each has more when others have ended.
    pub is_shared: bool,
    /// The bound and where it comes from.
    pub bound: Option<(f64, &'static str)>,
    pub mechanism: &'static str,
}

/// Controllers that have ended, of three, and how many times what they shared out
/// each of the others then has.
pub(crate) const ENDED: [(&str, f64); 3] = [
    ("", 1.0),
    (", one controller ended", 1.5),
    (", two controllers ended", 3.0),
];

/// Bounds are those of the largest deployments of today, which a scale run's
/// settings repeat.
pub(crate) const LINES: [Line; 12] = [
    Line {
        measure: "leader cores",
        role: "leader",
        is_shared: false,
        bound: Some((0.24, "core share of a controller")),
        mechanism: "reports by way of all controllers (`src/node/balance.rs`); machines shared out so that the leader hears of changes only: missing",
    },
    Line {
        measure: "leader main loop cores",
        role: "leader",
        is_shared: false,
        bound: Some((0.24, "core share of a controller")),
        mechanism: "one pass a turn (`src/node/mod.rs`); more than one loop: missing",
    },
    Line {
        measure: "leader memory MB",
        role: "leader",
        is_shared: false,
        bound: Some((158.0, "memory of a controller")),
        mechanism: "sizes by need (`src/settings/sizes.rs`)",
    },
    Line {
        measure: "leader messages/s",
        role: "leader",
        is_shared: false,
        bound: None,
        mechanism: "reports passed on whole (`src/peer.rs`); changes only: missing",
    },
    Line {
        measure: "leader peer KB/s",
        role: "leader",
        is_shared: false,
        bound: None,
        mechanism: "reports passed on whole (`src/peer.rs`); changes only: missing",
    },
    Line {
        measure: "follower cores",
        role: "follower",
        is_shared: true,
        bound: Some((0.24, "core share of a controller")),
        mechanism: "reports spread over the controllers (`src/node/balance.rs`)",
    },
    Line {
        measure: "follower memory MB",
        role: "follower",
        is_shared: true,
        bound: Some((158.0, "memory of a controller")),
        mechanism: "sizes by need (`src/settings/sizes.rs`)",
    },
    Line {
        measure: "follower threads",
        role: "follower",
        is_shared: true,
        bound: Some((2000.0, "threads of a process")),
        mechanism: "idle connections hold no thread, a pool serves requests (`crates/http-server`)",
    },
    Line {
        measure: "follower connections",
        role: "follower",
        is_shared: true,
        bound: Some((3046.0, "sockets of a controller")),
        mechanism: "lanes and shedding (`crates/http-server`)",
    },
    Line {
        measure: "state requests/s",
        role: "state service",
        is_shared: false,
        bound: Some((150.0, "requests a second that it takes")),
        mechanism: "group commit by purpose (`src/store`)",
    },
    Line {
        measure: "state changes/s",
        role: "state service",
        is_shared: false,
        bound: Some((40.0, "changes a second that it takes")),
        mechanism: "group commit by purpose (`src/store`); records of several jobs in one change: missing",
    },
    Line {
        measure: "worker report bytes/s",
        role: "worker",
        is_shared: false,
        bound: Some((7000.0, "bytes a second of a worker")),
        mechanism: "the protocol's reports (`src/wire/worker.rs`)",
    },
];

/// What nothing was measured of; the page repeats it.
pub(crate) const NOT_MEASURED: [&str; 15] = [
    "pipelines at the target's size; they were played with 200 and 400 workers only",
    "slopes along teams without a thread for each connection",
    "a steady state: in runs this short fewer jobs end than come, so final states at the state service are too few",
    "tasks of a job as an axis: the series have jobs of 20, and changes at the state service go with jobs, see the run with jobs of 10",
    "configuration: there is no way to change it while controllers run (missing)",
    "regions apart for minutes, all controllers ended at once, the state service down for a minute, a rack",
    "gangs, services, checkpoints, spot machines; cloud calls by size",
    "jobs waiting and jobs finished as an axis of their own; the number of controllers; submissions and polls",
    "processor time by kind of event, allocations, turns of the loop, time of a take-over",
    "2,700 changes of configuration a day and the 10 s until they are in force",
    "the 6 machines set aside: runs had three controllers, each of them alone on no machine",
    "a worker's processor and memory: workers are hollow",
    "commands that go straight to workers, delayed between regions",
    "what a deployment charges for each packet and system call: processor times here are the system's own",
    "quiet cores: other work ran on the machine during every run, so processor times may be too high or, where work had to wait, starts too few",
];
