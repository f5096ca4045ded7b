//! The faults of a run: a controller killed and back, a zone cut off, machines
//! that end.

use crate::measure::Log;
use crate::options::RunOptions;
use crate::run::Site;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// The faults of a run, each carried out when it is due.
pub(crate) struct Faults {
    from: Instant,
    kill_at: Option<Instant>,
    back: Option<(Instant, usize)>,
    back_after: Duration,
    cut_at: Option<Instant>,
    heal_at: Option<Instant>,
    cut_for: Duration,
    machine_ends: f64,
    machines_ended: f64,
    rng: StdRng,
}

/// The zone that is cut off.
const CUT_ZONE: usize = 0;

impl Faults {
    pub fn new(o: &RunOptions, from: Instant) -> Faults {
        let at = |s: Option<f64>| s.map(|s| from + Duration::from_secs_f64(s));
        Faults {
            from,
            kill_at: at(o.kill_leader_after_s),
            back: None,
            back_after: Duration::from_secs_f64(o.back_after_s),
            cut_at: at(o.zone_away_after_s),
            heal_at: None,
            cut_for: Duration::from_secs_f64(o.zone_away_for_s),
            machine_ends: o.machine_ends,
            machines_ended: 0.0,
            rng: StdRng::seed_from_u64(o.seed),
        }
    }

    pub fn carry_out(&mut self, site: &Site, now: Instant, log: &mut Log) {
        let at = (now - self.from).as_secs_f64();
        let is_due = |t: &mut Option<Instant>| t.take_if(|t| *t <= now).is_some();
        if is_due(&mut self.kill_at) {
            let leader = site.leader().unwrap_or(site.shared.leader());
            site.controllers.kill(leader);
            log.faults
                .push(format!("controller-{leader} killed at {at:.1} s"));
            self.back = Some((now + self.back_after, leader));
        }
        if let Some((_, c)) = self.back.take_if(|(t, _)| *t <= now) {
            match site.controllers.start(c) {
                Ok(()) => log
                    .faults
                    .push(format!("controller-{c} started at {at:.1} s")),
                Err(e) => log
                    .faults
                    .push(format!("controller-{c} could not be started: {e}")),
            }
        }
        if is_due(&mut self.cut_at) {
            site.shared.cut(Some(CUT_ZONE));
            log.faults
                .push(format!("workers of zone {CUT_ZONE} cut off at {at:.1} s"));
            self.heal_at = Some(now + self.cut_for);
        }
        if is_due(&mut self.heal_at) {
            site.shared.cut(None);
            log.faults
                .push(format!("workers of zone {CUT_ZONE} back at {at:.1} s"));
        }
        while self.machines_ended < self.machine_ends * at {
            self.machines_ended += 1.0;
            let number = self.rng.random_range(1..=site.options.workers);
            if site.cloud.end_machine(number) {
                log.faults
                    .push(format!("machine {number} ended at {at:.1} s"));
            }
        }
    }
}
