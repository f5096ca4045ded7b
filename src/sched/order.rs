//! The order in which jobs are served, worked out once for each pass.

use super::fleet::Short;
use super::inheritance::LATE_FACTOR;
use super::job::Job;
use super::{Room, Sched, estimate};
use crate::ids::{JobId, Team};
use crate::settings::Objective;
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, Priority};
use std::collections::{BTreeMap, HashMap, HashSet};

/// How much the time for which a job would fill the fleet counts against it.
const WORK_WEIGHT: f64 = 12.0;

/// Production and high priority: the first tiers.
const URGENT: u8 = 1;

/// A job's place in the order; the smaller is served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    tier: u8,
    due: f64,
    seq: u64,
}

/// A job's turn in a pass.
#[derive(Clone, Debug)]
pub(super) struct Turn {
    pub job: JobId,
    /// No more of its tasks than this, none: all that it may.
    pub most: Option<i64>,
    /// Ahead of its place in the order, where it has another turn.
    pub lifted: bool,
}

/// The ranks of all jobs at one moment.
pub(super) struct Order {
    within: HashSet<JobId>,
    /// Some work may not use machines that the cloud can take back.
    pub plain_wanted: bool,
    /// A gang found no room at the last pass.
    pub gang_waits: bool,
    ranks: HashMap<JobId, Rank>,
}

impl Order {
    /// Fits within its team's guarantee, with the team's earlier jobs.
    pub fn within(&self, id: &JobId) -> bool {
        self.within.contains(id)
    }

    pub fn rank(&self, id: &JobId) -> Option<&Rank> {
        self.ranks.get(id)
    }

    /// Jobs with tasks to start, those first that are served first; ahead of them
    /// some tasks of those that are below the floor, which stand here twice. Also how
    /// many turns come before that of the job at which the last pass stopped.
    pub fn served(&self, s: &Sched, now: Time) -> (Vec<Turn>, usize) {
        let waits = |j: &&Job| j.pending() > 0 && now >= j.backoff_until;
        let lifted = s.books.lifted().filter_map(|id| s.jobs.get(id));
        let lifted = lifted.filter(waits).map(|j| Turn {
            job: j.id().clone(),
            most: s.books.lift(j.id()),
            lifted: true,
        });
        let waiting = s.jobs.values().filter(waits);
        let mut v: Vec<(&Rank, &JobId)> = waiting
            .filter_map(|j| Some((self.ranks.get(j.id())?, j.id())))
            .collect();
        v.sort_by(|a, b| a.0.partial_cmp(b.0).unwrap_or(std::cmp::Ordering::Equal));
        // What fails everywhere is tried a task at a time: with all of its tasks it
        // took the machines of others, and fetched its image on each, for nothing.
        let one = |j: &&Job| j.fails_everywhere() && !j.works(now);
        let rest = |j: &Job| 1 - j.live.len().min(1) as i64;
        let most = |id: &JobId| s.jobs.get(id).filter(one).map(rest);
        // Where the last pass stopped, after those that can't wait a turn.
        let from = s.goes_on_at.as_ref();
        let from = from.and_then(|id| v.iter().position(|x| x.1 == id));
        let (before, on) = v.split_at(from.unwrap_or(0));
        let (urgent, others): (Vec<_>, Vec<_>) = before.iter().partition(|x| x.0.tier <= URGENT);
        let those_ahead = urgent.len();
        let v = urgent.into_iter().chain(on).chain(others);
        let turns = v.map(|(_, id)| Turn {
            job: (*id).clone(),
            most: most(id),
            lifted: false,
        });
        let mut all: Vec<Turn> = lifted.collect();
        let ahead = all.len() + those_ahead;
        all.extend(turns);
        if s.stuck {
            all.rotate_left(ahead);
            return (all, 0);
        }
        (all, ahead)
    }
}

impl Sched {
    pub(super) fn order(&self, now: Time) -> Order {
        let within = self.within_guarantee();
        let mut whole = Room::default();
        for m in self.machines.values().filter(|m| !m.shut) {
            whole += m.capacity;
        }
        let rank = |j: &Job| {
            let within = within.contains(j.id());
            let first = self.books.goes_first(j.id());
            let tier = match j.priority() {
                _ if first => 0,
                Priority::Production => 0,
                Priority::High => 1,
                _ if within => 2,
                Priority::Normal => 3,
                Priority::Low => 4,
            };
            let due = match first {
                true => 0.0,
                false => self.latest_start(now, j, within, &whole),
            };
            let seq = j.seq;
            (j.id().clone(), Rank { tier, due, seq })
        };
        let served = |j: &&Job| j.needs.is_empty() || !j.live.is_empty();
        let ranks = self.jobs.values().filter(served).map(rank).collect();
        let plain_wanted = self
            .jobs
            .values()
            .any(|j| !j.spec.spot && j.needs.is_empty());
        let gang = |s: &Short| {
            let j = self.jobs.get(&s.job);
            j.is_some_and(|j| j.spec.kind == JobKind::Gang && !j.spec.spot)
        };
        let gang_waits = self.fleet.short.iter().any(gang);
        Order {
            within,
            plain_wanted,
            gang_waits,
            ranks,
        }
    }

    /// Jobs that fit within their team's guarantee along with the team's
    /// earlier unfinished ones. What needs others is not among these before they are
    /// done, and comes in the order in which that happened.
    fn within_guarantee(&self) -> HashSet<JobId> {
        let counts = |j: &&Job| !j.cancelled && j.needs.is_empty();
        let mut by_seq: Vec<_> = self.jobs.values().filter(counts).collect();
        by_seq.sort_by_key(|j| j.seq);
        let mut used: BTreeMap<&Team, (Room, Room)> = BTreeMap::new();
        let mut within = HashSet::new();
        for j in by_seq {
            let team = &j.spec.team;
            let Some(g) = self.teams.guarantee(team) else {
                continue;
            };
            let (sum, g) = used.entry(team).or_insert((Room::default(), g));
            *sum += j.need.scaled(j.unfinished() as i64);
            if sum.cpu <= g.cpu && sum.gpu <= g.gpu {
                within.insert(j.id().clone());
            }
        }
        within
    }

    /// When the job must start for the next of its aims that it can still
    /// meet; those that can meet none come last.
    fn latest_start(&self, now: Time, j: &Job, within: bool, whole: &Room) -> f64 {
        let run = estimate::of(j).as_secs();
        let run = if run > 1e9 { 0.0 } else { run };
        let arrived = j.arrived.0 as f64 / 1e6;
        let ready = j.ready.0 as f64 / 1e6;
        let now = now.0 as f64 / 1e6;
        let mut best = f64::INFINITY;
        let mut take = |start: f64| {
            if start >= now && start < best {
                best = start;
            }
        };
        if let Some(d) = j.spec.deadline_s {
            take(arrived + d - run);
            take(arrived + LATE_FACTOR * d - run);
        }
        // For the last of those that need it, on the longest way.
        let inherited = j.inherited.due;
        for due in [inherited.in_time, inherited.late].into_iter().flatten() {
            take(due.0 as f64 / 1e6 - run);
        }
        for o in &self.cfg.objectives {
            let mine = o.class.as_ref() == Some(&j.spec.class);
            let Some(s) = o.within_s else { continue };
            match o.kind.as_str() {
                "finished" if mine => take(ready + s - run),
                "wait" if mine => take(ready + s),
                "guarantee" if within => take(ready + s),
                _ => {}
            }
        }
        // Of two that are pressed alike, the one that needs less of the fleet:
        // more jobs meet their aims that way.
        let work = j.need.share_of(whole) * j.unfinished() as f64 * run;
        best + WORK_WEIGHT * work
    }

    /// The next moment by which the job is to be done, that it can still meet.
    pub(super) fn next_due(&self, now: Time, j: &Job) -> Option<Time> {
        let class =
            |o: &&Objective| o.kind == "finished" && o.class.as_ref() == Some(&j.spec.class);
        let aims = self
            .cfg
            .objectives
            .iter()
            .filter(class)
            .filter_map(|o| o.within_s);
        let aims = aims.map(|s| j.ready + Span::secs(s));
        let deadline = j.spec.deadline_s.into_iter();
        let deadline = deadline.flat_map(|d| [d, LATE_FACTOR * d]);
        let deadline = deadline.map(|s| j.arrived + Span::secs(s));
        let inherited = [j.inherited.due.in_time, j.inherited.due.late];
        let all = aims.chain(deadline).chain(inherited.into_iter().flatten());
        all.filter(|t| *t > now).min()
    }

    /// Until when a task of the job should have begun to run, for the next of
    /// the aims for waiting that it can still meet.
    pub(super) fn begin_by(&self, now: Time, j: &Job, within: bool) -> Option<Time> {
        let counts = |o: &&Objective| match o.kind.as_str() {
            "wait" => o.class.as_ref() == Some(&j.spec.class),
            "guarantee" => within,
            _ => false,
        };
        let aims = self.cfg.objectives.iter().filter(counts);
        let by = aims.filter_map(|o| Some(j.ready + Span::secs(o.within_s?)));
        by.filter(|t| *t > now).min()
    }
}
