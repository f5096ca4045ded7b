//! Who is served, by class and by team, and room for who hardly is.
//!
//! The figures are [`hookworks_fairness`]'s; here is what happens to jobs, what
//! waits, and what follows for placing. A class or team below the floor gets the
//! room set aside for it ahead of all but production work, and keeps it from being
//! stopped, until it has that much; the rest of its jobs keep their place in the
//! order. Gangs, services and jobs of a single zone are counted, but not lifted:
//! room for them is found by other rules.

use super::job::Job;
use super::place::by_itself;
use super::{Room, Sched};
use crate::ids::{Class, JobId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use hookworks_fairness::{
    FairnessPolicy as Floor, GroupMetrics as Figures, JobEvent as What, LargestJobs as Largest,
    LargestJobsMetrics as LargestFigures, ShareTracker as Served, WaitingJobs as Waits,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Figures are made up so often.
const LOOK_EVERY: Span = Span(1_000_000);
/// Share of the fleet that goes ahead at a look to jobs that were overtaken for long.
const AHEAD: f64 = 0.01;
/// A class without aims may wait so long.
const PATIENCE_S: f64 = 120.0;

/// Figures by class and by team.
#[derive(Default, Serialize)]
pub struct View {
    pub classes: BTreeMap<String, Figures>,
    pub teams: BTreeMap<String, Figures>,
    /// The largest jobs of each class, until they begin.
    pub largest: BTreeMap<String, LargestFigures>,
}

pub struct Books {
    floor: Floor,
    classes: Served<Class>,
    teams: Served<Team>,
    figures: (BTreeMap<Class, Figures>, BTreeMap<Team, Figures>),
    largest: BTreeMap<Class, Largest>,
    largest_figures: BTreeMap<Class, LargestFigures>,
    look_at: Time,
    /// Tasks that may start ahead of others until the next look.
    lifted: BTreeMap<JobId, i64>,
    /// Jobs that go first as a whole, as no part of them can start by itself.
    first: BTreeSet<JobId>,
    /// Who is below the floor.
    low: (BTreeSet<Class>, BTreeSet<Team>),
    /// Tasks that were started so, until they are gone.
    kept: BTreeSet<TaskId>,
}

impl Books {
    pub fn new(floor: Floor) -> Books {
        Books {
            floor,
            classes: Served::default(),
            teams: Served::default(),
            figures: Default::default(),
            largest: BTreeMap::new(),
            largest_figures: BTreeMap::new(),
            look_at: Time::default(),
            lifted: BTreeMap::new(),
            first: BTreeSet::new(),
            low: Default::default(),
            kept: BTreeSet::new(),
        }
    }

    pub fn note(&mut self, now: Time, class: &Class, team: &Team, what: What) {
        self.classes.note(now, class, what);
        self.teams.note(now, team, what);
    }

    fn came(&mut self, class: &Class, tasks: u32) {
        if !self.largest.contains_key(class) {
            self.largest.insert(class.clone(), Largest::default());
        }
        if let Some(l) = self.largest.get_mut(class) {
            l.came(tasks as u64);
        }
    }

    /// So many of its tasks may start ahead of others.
    pub fn lift(&self, id: &JobId) -> Option<i64> {
        self.lifted.get(id).copied().filter(|n| *n > 0)
    }

    /// It has been overtaken for as long as it may be, and goes first.
    pub fn goes_first(&self, id: &JobId) -> bool {
        self.first.contains(id)
    }

    pub fn lifted(&self) -> impl Iterator<Item = &JobId> {
        self.lifted
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|(id, _)| id)
    }

    /// One of its tasks starts.
    pub fn started(&mut self, id: &JobId, ix: TaskIndex) {
        if let Some(n) = self.lifted.get_mut(id).filter(|n| **n > 0) {
            *n -= 1;
            let job = id.clone();
            self.kept.insert(TaskId { job, index: ix });
        }
    }

    pub fn gone(&mut self, t: &TaskId) {
        self.kept.remove(t);
    }

    /// It is not stopped for others: its room was set aside for it.
    pub fn guards(&self, t: &TaskId) -> bool {
        self.kept.contains(t)
    }

    pub fn view(&self) -> View {
        let (classes, teams) = &self.figures;
        let names = |(k, f): (&Class, &Figures)| (k.to_string(), *f);
        let teams = teams.iter().map(|(k, f)| (k.to_string(), *f));
        View {
            classes: classes.iter().map(names).collect(),
            teams: teams.collect(),
            largest: self
                .largest_figures
                .iter()
                .map(|(k, f)| (k.to_string(), *f))
                .collect(),
        }
    }
}

/// Since when a job has waited for a start of the tasks that it still has.
fn waits_since(j: &Job) -> Time {
    let latest = j.live.values().map(|l| l.placed).max();
    latest.map_or(j.ready, |t| t.max(j.ready))
}

impl Sched {
    /// What a class may wait: the longest of its aims.
    fn patience(&self) -> BTreeMap<Class, Span> {
        let mut all: BTreeMap<Class, f64> = BTreeMap::new();
        for o in &self.cfg.objectives {
            if let (Some(c), Some(s)) = (&o.class, o.within_s) {
                let longest = all.entry(c.clone()).or_default();
                *longest = longest.max(s);
            }
        }
        all.into_iter().map(|(c, s)| (c, Span::secs(s))).collect()
    }

    /// Jobs that a new leader finds on record.
    pub(super) fn book_loaded(&mut self, now: Time) {
        for j in self.jobs.values().filter(|j| j.needs.is_empty()) {
            let (class, team) = (&j.spec.class, &j.spec.team);
            self.books.note(now, class, team, What::Came);
            self.books.came(class, j.spec.tasks);
            if j.history.first_start().is_some() {
                self.books.note(now, class, team, What::Begun);
            }
        }
    }

    pub(super) fn book(&mut self, now: Time, id: &JobId, what: What) {
        if let Some(j) = self.jobs.get(id) {
            self.books.note(now, &j.spec.class, &j.spec.team, what);
            let class = &j.spec.class;
            match what {
                What::Came => self.books.came(class, j.spec.tasks),
                What::Begun => {
                    if let Some(l) = self.books.largest.get_mut(class) {
                        l.begun(j.spec.tasks as u64, now - j.ready);
                    }
                }
                _ => {}
            }
        }
    }

    /// Makes the figures up, and decides who is below the floor.
    pub(super) fn look_at_shares(&mut self, now: Time) {
        if now < self.books.look_at {
            return;
        }
        self.books.look_at = now + LOOK_EVERY;
        let patience = self.patience();
        let usual = Span::secs(PATIENCE_S);
        let mut by_class: BTreeMap<Class, Waits> = BTreeMap::new();
        let mut by_team: BTreeMap<Team, Waits> = BTreeMap::new();
        let mut unbegun: BTreeMap<Class, Vec<(u64, Span)>> = BTreeMap::new();
        // One that fails everywhere waits for its user, not for room.
        let waits = |j: &&Job| j.pending() > 0 && !j.fails_everywhere();
        for j in self.jobs.values().filter(waits) {
            let (tasks, waited) = (j.pending() as u64, now - waits_since(j));
            let came = now - j.ready;
            let p = patience.get(&j.spec.class).copied().unwrap_or(usual);
            let class = by_class.entry(j.spec.class.clone()).or_default();
            class.note(tasks, came, waited, p);
            let team = by_team.entry(j.spec.team.clone()).or_default();
            team.note(tasks, came, waited, p);
            if j.history.first_start().is_none() {
                let class = unbegun.entry(j.spec.class.clone()).or_default();
                class.push((j.spec.tasks as u64, came));
            }
        }
        let b = &mut self.books;
        b.figures = (
            b.classes.figures(now, &by_class),
            b.teams.figures(now, &by_team),
        );
        let figures = |(class, l): (&Class, &Largest)| {
            let waiting = unbegun.get(class).into_iter().flatten().copied();
            (class.clone(), l.figures(waiting))
        };
        b.largest_figures = b.largest.iter().map(figures).collect();
        self.set_room_aside();
        self.put_ahead(now);
    }

    /// Jobs that have been overtaken for as long as they may be without any start.
    /// Where many large ones were late for all their aims, they came last of all and
    /// never began. A little at a time, the longest waiting first: under a flood with
    /// hundreds of them, a part of each at once took all writes there were, and the
    /// leader could not keep up.
    fn put_ahead(&mut self, now: Time) {
        let floor = self.books.floor;
        let waits = |j: &&Job| {
            let begun = j.history.first_start().is_some() || !j.live.is_empty();
            j.pending() > 0 && !begun && now >= j.backoff_until && !j.fails_everywhere()
        };
        let ahead = |j: &Job| {
            let waiting = j.pending() as u64;
            floor.goes_ahead(j.spec.tasks as u64, waiting, now - j.ready) as i64
        };
        let mut late: Vec<(&Job, i64)> = self
            .jobs
            .values()
            .filter(waits)
            .map(|j| (j, ahead(j)))
            .filter(|(_, n)| *n > 0)
            .collect();
        late.sort_by_key(|(j, _)| (j.ready, j.seq));
        let fleet: i64 = self.machines.values().map(|m| m.capacity.cpu).sum();
        let mut left = (fleet as f64 * AHEAD) as i64;
        let mut first = BTreeSet::new();
        for (j, n) in late {
            if by_itself(j) {
                first.insert(j.id().clone());
                left -= j.need.cpu * j.pending() as i64;
            } else {
                let lifted = self.books.lifted.entry(j.id().clone()).or_default();
                *lifted = n.max(*lifted);
                left -= j.need.cpu * n;
            }
            if left <= 0 {
                break;
            }
        }
        self.books.first = first;
    }

    /// Room for the classes and teams below the floor, job by job.
    fn set_room_aside(&mut self) {
        let floor = self.books.floor;
        let (classes, teams) = &self.books.figures;
        let mut classes: BTreeMap<Class, i64> = below(classes, &self.books.low.0, &floor);
        let mut teams: BTreeMap<Team, i64> = below(teams, &self.books.low.1, &floor);
        self.books.low.0 = classes.keys().cloned().collect();
        self.books.low.1 = teams.keys().cloned().collect();
        self.books.lifted.clear();
        if classes.is_empty() && teams.is_empty() {
            return;
        }
        let mut fleet = Room::default();
        for m in self.machines.values() {
            fleet += m.capacity;
        }
        for j in self.jobs.values() {
            let uses = j.need.cpu * j.live.len() as i64;
            if let Some(n) = classes.get_mut(&j.spec.class) {
                *n += uses;
            }
            if let Some(n) = teams.get_mut(&j.spec.team) {
                *n += uses;
            }
        }
        // Both tables together are set aside no more than the floor.
        let part = |groups: usize, others: usize| match others {
            0 => fleet.cpu,
            _ => fleet.cpu * groups as i64 / (groups + others) as i64,
        };
        let (c, t) = (classes.len(), teams.len());
        let mut classes = floor.budgets(part(c, t), &classes);
        let mut teams = floor.budgets(part(t, c), &teams);
        // Those that have waited for longest first.
        let waits = |j: &&Job| j.pending() > 0 && !by_itself(j) && !j.fails_everywhere();
        let mut waiting: Vec<&Job> = self.jobs.values().filter(waits).collect();
        waiting.sort_by_key(|j| (waits_since(j), j.seq));
        let mut lifted = BTreeMap::new();
        for j in waiting {
            let class = classes.get_mut(&j.spec.class).filter(|n| **n > 0);
            let left = match class {
                Some(n) => Some(n),
                None => teams.get_mut(&j.spec.team).filter(|n| **n > 0),
            };
            let Some(left) = left else { continue };
            let need = j.need.cpu.max(1);
            let tasks = (*left).div_euclid(need).max(1).min(j.pending() as i64);
            *left -= tasks * need;
            lifted.insert(j.id().clone(), tasks);
        }
        self.books.lifted = lifted;
    }

    /// CPUs that a team's attempts take, all that are not proven gone.
    pub fn team_use(&self, t: &Team) -> f64 {
        let used = self.teams.used(t).unwrap_or_default();
        used.cpu as f64 / 1000.0
    }

    /// One line for whoever reads the log.
    pub(super) fn tell_shares(&self) {
        let line = |all: BTreeMap<String, Figures>| {
            let one = |(k, f): (String, Figures)| {
                let (r, w) = (f.recent, f.waiting_jobs);
                let (oldest, share) = (f.oldest_wait_s, f.share);
                format!(
                    "{k}: came {} begun {} done {} refused {} waits {w}/{} oldest {oldest:.0} share {share:.2}",
                    r.came, r.begun, r.done, r.refused, f.waiting_tasks
                )
            };
            let all: Vec<String> = all.into_iter().map(one).collect();
            all.join("; ")
        };
        let v = self.books.view();
        let below = self.books.lifted().count();
        let one = |(k, f): (&String, &LargestFigures)| {
            let (from, begun, waiting) = (f.tasks_from, f.begun, f.waiting);
            let (longest, oldest) = (f.longest_s, f.oldest_s);
            format!(
                "{k}: from {from} tasks begun {begun} after {longest:.0} at most, waits {waiting} for {oldest:.0}"
            )
        };
        let largest: Vec<String> = v.largest.iter().map(one).collect();
        tracing::info!(largest = %largest.join("; "), classes = %line(v.classes), teams = %line(v.teams), lifted_jobs = below, "served");
    }
}

/// Groups below the floor; what they use is yet to be added up.
fn below<K: Ord + Clone>(
    all: &BTreeMap<K, Figures>,
    were: &BTreeSet<K>,
    floor: &Floor,
) -> BTreeMap<K, i64> {
    let low = all
        .iter()
        .filter(|(k, f)| floor.is_below(were.contains(k), f));
    low.map(|(k, _)| (k.clone(), 0)).collect()
}
