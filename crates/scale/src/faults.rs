//! The faults of a run: controllers killed and back, a zone cut off, machines
//! that end, limits of the state service that fall.

use crate::measure::Log;
use crate::options::RunOptions;
use crate::run::Site;
use crate::standin::state::Limits;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// The zone that is cut off.
const CUT_ZONE: usize = 0;

/// The faults of a run, each carried out when it is due.
pub(crate) struct Faults {
    from: Instant,
    kill_at: Option<Instant>,
    /// When controllers are started again, and which.
    back: Option<(Instant, Vec<usize>)>,
    back_after: Duration,
    cut_at: Option<Instant>,
    heal_at: Option<Instant>,
    cut_for: Duration,
    limits_fall_at: Option<Instant>,
    machine_ends: f64,
    machines_ended: f64,
    rng: StdRng,
}

/// Whether the time has come; it comes once.
fn is_due(at: &mut Option<Instant>, now: Instant) -> bool {
    at.take_if(|at| *at <= now).is_some()
}

impl Faults {
    pub fn new(options: &RunOptions, from: Instant) -> Faults {
        let at = |s: Option<f64>| s.map(|s| from + Duration::from_secs_f64(s));
        Faults {
            from,
            kill_at: at(options.kill_leader_after_s),
            back: None,
            back_after: Duration::from_secs_f64(options.back_after_s),
            cut_at: at(options.zone_away_after_s),
            heal_at: None,
            cut_for: Duration::from_secs_f64(options.zone_away_for_s),
            limits_fall_at: at(options.next_limits.after_s),
            machine_ends: options.machine_ends,
            machines_ended: 0.0,
            rng: StdRng::seed_from_u64(options.seed),
        }
    }

    pub fn carry_out(&mut self, site: &Site, now: Instant, log: &mut Log) {
        self.kill_controllers(site, now, log);
        self.start_controllers(site, now, log);
        self.cut_zone(site, now, log);
        self.lower_limits(site, now, log);
        self.end_machines(site, now, log);
    }

    /// Notes a fault with its time in the run's log.
    fn note(&self, log: &mut Log, now: Instant, what: &str) {
        let at_s = (now - self.from).as_secs_f64();
        log.faults.push(format!("{what} at {at_s:.1} s"));
    }

    /// The leader is killed, and as many others as were asked for.
    fn kill_controllers(&mut self, site: &Site, now: Instant, log: &mut Log) {
        if !is_due(&mut self.kill_at, now) {
            return;
        }
        let leader = site.leader().unwrap_or(site.shared.leader());
        let all = site.options.controllers;
        let from_leader = (0..all).map(|n| (leader + n) % all);
        let killed: Vec<usize> = from_leader.take(site.options.killed).collect();
        for controller in &killed {
            site.controllers.kill(*controller);
            site.shared.judge().trouble_began();
            self.note(log, now, &format!("controller-{controller} killed"));
        }
        self.back = Some((now + self.back_after, killed));
    }

    fn start_controllers(&mut self, site: &Site, now: Instant, log: &mut Log) {
        let Some((_, controllers)) = self.back.take_if(|(at, _)| *at <= now) else {
            return;
        };
        for controller in controllers {
            let what = match site.controllers.start(controller) {
                Ok(()) => format!("controller-{controller} started"),
                Err(e) => format!("controller-{controller} could not be started ({e})"),
            };
            site.shared.judge().trouble_ended(now);
            self.note(log, now, &what);
        }
    }

    fn cut_zone(&mut self, site: &Site, now: Instant, log: &mut Log) {
        if is_due(&mut self.cut_at, now) {
            site.shared.cut(Some(CUT_ZONE));
            site.shared.judge().trouble_began();
            self.note(log, now, &format!("workers of zone {CUT_ZONE} cut off"));
            self.heal_at = Some(now + self.cut_for);
        }
        if is_due(&mut self.heal_at, now) {
            site.shared.cut(None);
            site.shared.judge().trouble_ended(now);
            self.note(log, now, &format!("workers of zone {CUT_ZONE} back"));
        }
    }

    fn lower_limits(&mut self, site: &Site, now: Instant, log: &mut Log) {
        if is_due(&mut self.limits_fall_at, now) {
            site.state.set_limits(Limits::later(&site.options));
            self.note(log, now, "limits of the state service fell");
        }
    }

    fn end_machines(&mut self, site: &Site, now: Instant, log: &mut Log) {
        let at_s = (now - self.from).as_secs_f64();
        while self.machines_ended < self.machine_ends * at_s {
            self.machines_ended += 1.0;
            let number = self.rng.random_range(1..=site.options.workers);
            if site.cloud.end_machine(number) {
                self.note(log, now, &format!("machine {number} ended"));
            }
        }
    }
}
