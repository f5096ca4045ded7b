//! What controllers and workers do by themselves: elections and reports.

use super::followers::label;
use super::old_version::ProductionView;
use super::worker::LEASE;
use super::{Ev, S, Term, World, flavor, settings};
use hookworks::election::ElectionOutcome;
use hookworks::ids::*;
use hookworks::node::state_loading::load_state;
use hookworks::sched::{Config, Event, Scheduler};
use hookworks::settings::{NextLimits, Settings};
use hookworks::store::RecordFormat;
use hookworks::store::commit::Committer;
use hookworks::time::Time;
use hookworks::versions::FormatSwitch;
use rand::RngExt;

impl World {
    pub(super) fn elect(&mut self, i: usize) {
        self.stand(i);
        let pause = self.ctls[i].elector.step_interval().as_secs();
        self.at(pause, Ev::Elect(i));
    }

    /// One step of its election.
    pub(super) fn stand(&mut self, i: usize) {
        let now = self.time();
        if self.ctls[i].up {
            match self.ctls[i].elector.step(|| now) {
                ElectionOutcome::Elected {
                    epoch,
                    revision: stamp,
                    proven,
                } => self.won(i, epoch, stamp, proven),
                ElectionOutcome::Renewed(t) => self.event(i, Event::LeadershipConfirmed(t)),
                ElectionOutcome::Following(l) => {
                    self.ctls[i].term = None;
                    // Our own earlier process leads no more, whatever the key says yet.
                    let other = l.filter(|l| l.label != label(i));
                    self.sees(i, other.map(|l| (l.label, l.epoch)));
                }
                ElectionOutcome::LeaseLost => self.steps_down(i),
                ElectionOutcome::Unavailable => {}
            }
        }
    }

    /// It reads the records and leads.
    pub(super) fn begin_term(&mut self, i: usize, epoch: Epoch, stamp: Revision, proven: Time) {
        let now = self.time();
        let wall = self.wall();
        let service = self.store.of(i);
        self.take_up_version(i);
        let loaded = match self.is_new(i) {
            true => load_state(&service, epoch, stamp, now, wall),
            false => load_state(&ProductionView(service), epoch, stamp, now, wall),
        };
        let Ok(l) = loaded else {
            return self.load_again(i, epoch, stamp, proven);
        };
        let s = self.settings(i);
        let format = l.record_format();
        let takes_format = self.note_term(i, epoch, FormatSwitch::new(stamp, format));
        let mut commit = Committer::new(stamp, &s.platform.params.state);
        for (k, st) in l.revisions {
            commit.record_revision(k, st);
        }
        if format == RecordFormat::Compact {
            for (k, st) in l.garbage {
                commit.add_garbage(k, st);
            }
        }
        let cfg = self.config(i, &s);
        let mut sched = Scheduler::new(cfg, epoch, proven, now, wall);
        if takes_format {
            commit.set_format(format);
            sched.set_format(format);
        }
        if let Some(f) = l.fences {
            sched.load_fences(now, wall, f);
        }
        sched.load(now, l.jobs, l.unreadable);
        self.log.push(format!("{} c{i} leads {epoch}", self.now));
        self.sees(i, Some((label(i), epoch)));
        self.ctls[i].term = Some(Term {
            epoch,
            sched,
            commit,
        });
        let mut f = flavor();
        f.zones = self.zones.clone();
        self.event(i, Event::MachineTypes(vec![f]));
        self.hand_over_copies();
    }

    /// The page of settings of controller `i`.
    fn settings(&self, i: usize) -> Settings {
        let mut s = settings("x");
        // The production version takes no notice of it.
        if self.is_new(i) {
            s.platform.params.state.next = self.announced_limits.map(|l| NextLimits {
                rps: None,
                write_rps: Some(l.changes_per_s),
                value_kb: Some(l.value_bytes as f64 / 1024.0),
                txn_ops: Some(l.changes),
            });
        }
        s
    }

    /// What controller `i` is told.
    fn config(&self, i: usize, s: &Settings) -> Config {
        let mut cfg = Config::from(s);
        cfg.fairness.reserved_share = self.floor;
        cfg.fairness.max_overtaken = self.overtaken;
        cfg.workers.cancel_s = self.believed_s.unwrap_or(self.cancel_s);
        for t in &mut cfg.teams {
            for limit in [&mut t.cpus, &mut t.cpus_max, &mut t.gpus_max] {
                *limit *= self.wealth;
            }
        }
        let others = (0..self.ctls.len()).filter(|j| *j != i);
        cfg.controllers = others.map(|j| (label(j), self.zone_of(j))).collect();
        cfg
    }

    pub(super) fn beat(&mut self, h: Host) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&h) else {
            return;
        };
        w.step(now, LEASE);
        w.up = true;
        self.handover.first_report(&h, now);
        // What it is about to tell has happened.
        let ended = w.take_done();
        self.tasks_end(&h, ended);
        let Some(w) = self.workers.get_mut(&h) else {
            return;
        };
        if w.hangs {
            // It reports once it goes on.
            let again = self.rng.random_range(2.3..3.6);
            return self.at(again, Ev::Beat(h));
        }
        if now < w.next_beat {
            return;
        }
        w.next_beat = now + S / 2;
        let (cut, home) = (w.cut || w.mute, w.home);
        let body = serde_json::to_vec(&w.report()).unwrap();
        w.sent_at = now;
        let again = self.rng.random_range(2.3..3.6);
        if !cut {
            self.keep_copy(&h, &body);
            let d = self.delay();
            for i in 0..self.ctls.len() {
                // Whoever leads, or believes to, gets it: forwarding done.
                let there = home.is_none_or(|home| home == i);
                if there && self.ctls[i].up && self.ctls[i].term.is_some() {
                    self.at(d, Ev::ToCtl(i, h.clone(), now, body.clone()));
                }
            }
            if self.rng.random_bool(self.chaos.copy) {
                let i = self.rng.random_range(0..self.ctls.len());
                let late = self.rng.random_range(1.0..60.0);
                self.at(late, Ev::Copy(i, body));
            }
        }
        self.at(again, Ev::Beat(h));
    }
}
