//! Headroom: capacity kept free for classes that require quick starts, sized from their
//! recent arrivals, and the free capacity above it.

use super::Resources;
use super::Scheduler;
use super::job::Job;
use super::machine::Machine;
use crate::ids::Class;
use crate::time::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// The shortest time in which a machine usually boots, as a share of the boot time of
/// its type. A job that has to start sooner can't wait for a machine that is yet to be
/// rented.
const FASTEST_BOOT_SHARE: f64 = 0.6;
/// Recent arrivals of a class that determine its headroom.
const MAX_ARRIVALS_PER_CLASS: usize = 12;
/// Older arrivals are dropped, so that they don't hold machines indefinitely.
const ARRIVAL_RETENTION: Span = Span(180_000_000);

struct Arrival {
    at: Time,
    resources: Resources,
    /// The job may not use machines that the cloud can reclaim.
    ordinary: bool,
}

/// The recent arrivals of the classes that require quick starts.
#[derive(Default)]
pub struct RecentArrivals(HashMap<Class, VecDeque<Arrival>>);

/// An amount of free resources, on ordinary machines only and on all of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeCapacity {
    pub ordinary: Resources,
    pub all: Resources,
}

impl RecentArrivals {
    pub fn record(&mut self, now: Time, job: &Job) {
        let arrivals = self.0.entry(job.spec.class.clone()).or_default();
        arrivals.push_back(Arrival {
            at: now,
            resources: job.need.scaled(job.spec.tasks as i64),
            ordinary: !job.spec.spot,
        });
        while arrivals.len() > MAX_ARRIVALS_PER_CLASS
            || arrivals
                .front()
                .is_some_and(|arrival| now - arrival.at > ARRIVAL_RETENTION)
        {
            arrivals.pop_front();
        }
    }

    /// The headroom: for each class a large arrival, the 80th percentile of the recent
    /// ones, times `factor`.
    pub fn headroom(&self, now: Time, factor: f64) -> FreeCapacity {
        let mut headroom = FreeCapacity::default();
        for arrivals in self.0.values() {
            let recent = arrivals
                .iter()
                .filter(|arrival| now - arrival.at <= ARRIVAL_RETENTION);
            let mut sorted: Vec<&Arrival> = recent.collect();
            sorted.sort_by_key(|arrival| {
                (
                    arrival.resources.gpu,
                    arrival.resources.cpu,
                    arrival.resources.mem,
                )
            });
            if let Some(arrival) = sorted.get(sorted.len() * 8 / 10) {
                headroom.all += arrival.resources;
                if arrival.ordinary {
                    headroom.ordinary += arrival.resources;
                }
            }
        }
        headroom.ordinary = headroom.ordinary.scaled_f64(factor);
        headroom.all = headroom.all.scaled_f64(factor);
        headroom
    }
}

impl FreeCapacity {
    fn add(&mut self, machine: &Machine) {
        let free = machine.free().at_least_zero();
        self.all += free;
        if !machine.spot {
            self.ordinary += free;
        }
    }

    fn minus(mut self, other: &FreeCapacity) -> FreeCapacity {
        self.ordinary -= other.ordinary;
        self.all -= other.all;
        self
    }

    /// Whether a task with this need may use a machine, `spot` or ordinary.
    pub fn covers_task(&self, need: &Resources, spot: bool) -> bool {
        self.all.covers(need) && (spot || self.ordinary.covers(need))
    }

    /// Whether no resource that a task needs is overdrawn already.
    pub fn has_no_shortage(&self, need: &Resources, spot: bool) -> bool {
        let is_available = |have: &Resources| {
            let not_overdrawn = |have: i64, need: i64| need == 0 || have >= 0;
            not_overdrawn(have.cpu, need.cpu)
                && not_overdrawn(have.gpu, need.gpu)
                && not_overdrawn(have.mem, need.mem)
        };
        is_available(&self.all) && (spot || is_available(&self.ordinary))
    }

    pub fn take(&mut self, need: &Resources, spot: bool) {
        self.all -= *need;
        if !spot {
            self.ordinary -= *need;
        }
    }
}

impl Scheduler {
    /// Updates the quick classes: those with an objective for waiting that is shorter
    /// than any machine boots. Known once the machine types are.
    pub(super) fn update_quick_classes(&mut self) {
        let boot_times = self
            .machine_types
            .values()
            .map(|machine_type| machine_type.boot_s * FASTEST_BOOT_SHARE);
        let fastest_boot_s = boot_times.fold(f64::INFINITY, f64::min);
        let objectives = self
            .config
            .objectives
            .iter()
            .filter(|objective| objective.kind == "wait");
        self.fast_start_classes = objectives
            .filter(|objective| {
                fastest_boot_s.is_finite()
                    && objective
                        .within_s
                        .is_some_and(|limit_s| limit_s < fastest_boot_s)
            })
            .filter_map(|objective| objective.class.clone())
            .collect();
    }

    pub(super) fn is_quick(&self, class: &Class) -> bool {
        self.fast_start_classes.contains(class)
    }

    /// Capacity kept free for quick classes.
    pub(super) fn headroom(&self, now: Time) -> FreeCapacity {
        self.arrivals.headroom(now, self.config.tuning.headroom)
    }

    /// All capacity that is free now.
    pub(super) fn free_capacity(&self, now: Time) -> FreeCapacity {
        let max_age = self.max_heartbeat_age();
        let mut free = FreeCapacity::default();
        for machine in self
            .machines
            .values()
            .filter(|m| m.accepts_tasks(now, max_age))
        {
            free.add(machine);
        }
        free
    }

    /// Free capacity above the headroom.
    pub(super) fn free_above_headroom(&self, now: Time) -> FreeCapacity {
        self.free_capacity(now).minus(&self.headroom(now))
    }
}
