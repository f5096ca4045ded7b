//! Room that is kept free for classes that want quick starts, sized from what
//! arrived lately, and what there is above it.

use super::Resources;
use super::Scheduler;
use super::job::Job;
use super::machine::Machine;
use crate::ids::Class;
use crate::time::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// The quickest that a machine usually is up, as a share of its boot time.
/// Whoever wants to start sooner can't wait for one that is yet to be rented.
const FASTEST_BOOT_SHARE: f64 = 0.6;
/// Arrivals of a class that make its headroom.
const MAX_ARRIVALS_PER_CLASS: usize = 12;
/// What came long ago is no reason to hold machines for ever.
const ARRIVAL_RETENTION: Span = Span(180_000_000);

struct Arrival {
    at: Time,
    room: Resources,
    /// It may not use machines that the cloud can take back.
    plain: bool,
}

/// What arrived lately of the classes that want quick starts.
#[derive(Default)]
pub struct RecentArrivals(HashMap<Class, VecDeque<Arrival>>);

/// An amount of room, on plain machines and on all of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeCapacity {
    pub plain: Resources,
    pub all: Resources,
}

impl RecentArrivals {
    pub fn record(&mut self, now: Time, job: &Job) {
        let seen = self.0.entry(job.spec.class.clone()).or_default();
        seen.push_back(Arrival {
            at: now,
            room: job.need.scaled(job.spec.tasks as i64),
            plain: !job.spec.spot,
        });
        while seen.len() > MAX_ARRIVALS_PER_CLASS
            || seen.front().is_some_and(|f| now - f.at > ARRIVAL_RETENTION)
        {
            seen.pop_front();
        }
    }

    /// Kept free: a usual large arrival of each class, so many times over.
    pub fn headroom(&self, now: Time, times: f64) -> FreeCapacity {
        let mut keep = FreeCapacity::default();
        for seen in self.0.values() {
            let lately = seen.iter().filter(|a| now - a.at <= ARRIVAL_RETENTION);
            let mut v: Vec<&Arrival> = lately.collect();
            v.sort_by_key(|a| (a.room.gpu, a.room.cpu, a.room.mem));
            if let Some(a) = v.get(v.len() * 8 / 10) {
                keep.all += a.room;
                if a.plain {
                    keep.plain += a.room;
                }
            }
        }
        keep.plain = keep.plain.scaled_f64(times);
        keep.all = keep.all.scaled_f64(times);
        keep
    }
}

impl FreeCapacity {
    fn add(&mut self, m: &Machine) {
        let free = m.free().at_least_zero();
        self.all += free;
        if !m.spot {
            self.plain += free;
        }
    }

    fn minus(mut self, o: &FreeCapacity) -> FreeCapacity {
        self.plain -= o.plain;
        self.all -= o.all;
        self
    }

    /// A task may take this much of a machine of that kind.
    pub fn covers_task(&self, need: &Resources, spot: bool) -> bool {
        self.all.covers(need) && (spot || self.plain.covers(need))
    }

    /// Nothing that a task asks for is short already.
    pub fn has_no_shortage(&self, need: &Resources, spot: bool) -> bool {
        let one = |have: &Resources| {
            let fine = |have: i64, n: i64| n == 0 || have >= 0;
            fine(have.cpu, need.cpu) && fine(have.gpu, need.gpu) && fine(have.mem, need.mem)
        };
        one(&self.all) && (spot || one(&self.plain))
    }

    pub fn take(&mut self, need: &Resources, spot: bool) {
        self.all -= *need;
        if !spot {
            self.plain -= *need;
        }
    }
}

impl Scheduler {
    /// Classes with an aim for waiting that renting is too slow for. Known
    /// once the machine types are.
    pub(super) fn update_quick_classes(&mut self) {
        let boots = self
            .machine_types
            .values()
            .map(|f| f.boot_s * FASTEST_BOOT_SHARE);
        let boot = boots.fold(f64::INFINITY, f64::min);
        let waits = self.config.objectives.iter().filter(|o| o.kind == "wait");
        self.fast_start_classes = waits
            .filter(|o| boot.is_finite() && o.within_s.is_some_and(|s| s < boot))
            .filter_map(|o| o.class.clone())
            .collect();
    }

    pub(super) fn is_quick(&self, class: &Class) -> bool {
        self.fast_start_classes.contains(class)
    }

    /// Room kept free for quick classes.
    pub(super) fn headroom(&self, now: Time) -> FreeCapacity {
        self.arrivals.headroom(now, self.config.tuning.headroom)
    }

    /// All room that is free now.
    pub(super) fn free_capacity(&self, now: Time) -> FreeCapacity {
        let fresh = self.max_heartbeat_age();
        let mut free = FreeCapacity::default();
        for m in self
            .machines
            .values()
            .filter(|m| m.accepts_tasks(now, fresh))
        {
            free.add(m);
        }
        free
    }

    /// Free room above what is kept.
    pub(super) fn free_above_headroom(&self, now: Time) -> FreeCapacity {
        self.free_capacity(now).minus(&self.headroom(now))
    }
}
