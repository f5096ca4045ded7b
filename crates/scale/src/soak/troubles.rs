//! Carries the troubles of a schedule out, and ends them.

use super::schedule::{Target, Trouble};
use crate::interference::{LateCopy, StateTrouble, TroubleKind};
use crate::run::Site;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How much longer requests to a slow state service take.
const SLOW_BY: Duration = Duration::from_millis(300);
/// Share of the transactions whose answers are lost, or that are late.
const DISTURBED_WRITES: f64 = 0.3;
/// Share of the reports of which a copy comes late.
const COPIED_REPORTS: f64 = 0.2;
/// Share of the reports of which a copy is kept for the next leader.
const KEPT_REPORTS: f64 = 0.3;
/// Share of the direct commands that are late.
const LATE_COMMANDS: f64 = 0.3;
/// Share of the direct commands that arrive once more.
const REPEATED_COMMANDS: f64 = 0.3;
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// A trouble that has begun, with the controllers that it struck.
struct Begun {
    trouble: Trouble,
    controllers: Vec<usize>,
}

/// The troubles of a run: those to come and those under way.
pub(super) struct Troubles {
    to_come: Vec<Trouble>,
    under_way: Vec<Begun>,
    /// The latest epoch in the leader's key.
    epoch: Option<u64>,
    rng: StdRng,
}

impl Troubles {
    pub fn new(mut schedule: Vec<Trouble>, seed: u64) -> Troubles {
        schedule.reverse();
        Troubles {
            to_come: schedule,
            under_way: vec![],
            epoch: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn are_over(&self) -> bool {
        self.to_come.is_empty() && self.under_way.is_empty()
    }

    /// Begins and ends what is due `since` the first arrival.
    pub fn carry_out(&mut self, site: &Site, now: Instant, since: Duration) {
        let (over, rest) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|b: &Begun| b.trouble.until() <= since);
        self.under_way = rest;
        for begun in over {
            self.end(site, now, &begun);
        }
        while self.to_come.last().is_some_and(|t| t.at() <= since) {
            if let Some(trouble) = self.to_come.pop() {
                self.begin(site, trouble);
            }
        }
        self.watch_leader(site);
        for copy in site.shared.interference.due_copies(now) {
            deliver(site, &copy);
        }
    }

    /// Copies that are kept for the next leader are due once there is one.
    fn watch_leader(&mut self, site: &Site) {
        let epoch = site.leader_epoch();
        if epoch.is_none() || epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        let layout = &site.shared.layout;
        let addresses: Vec<SocketAddr> = (0..layout.controllers)
            .map(|number| layout.controller(number))
            .collect();
        site.shared.interference.leader_changed(&addresses);
    }

    fn begin(&mut self, site: &Site, trouble: Trouble) {
        site.shared.judge().trouble_began();
        let interference = &site.shared.interference;
        let controllers = controllers_of(site, trouble.target);
        match (trouble.kind, trouble.target) {
            (kind @ (TroubleKind::Restart | TroubleKind::AllAway), _) => {
                for controller in &controllers {
                    site.controllers.kill(*controller);
                    interference.count(kind);
                }
            }
            (TroubleKind::Pause, _) => {
                for controller in &controllers {
                    if site.controllers.pause(*controller) {
                        interference.count(TroubleKind::Pause);
                    }
                }
            }
            (TroubleKind::LinkHeld, Target::Link(from, to)) => {
                interference.hold_link(from, to, true);
            }
            (TroubleKind::LinksRefused, _) => interference.refuse_links(true),
            (TroubleKind::ZoneCut, Target::Zone(zone)) => site.shared.cut(Some(zone)),
            (TroubleKind::MachinesEnd, Target::Machines(count)) => self.end_machines(site, count),
            (TroubleKind::LateReports, _) => interference.copy_reports(COPIED_REPORTS),
            (TroubleKind::KeptReports, _) => interference.keep_reports(KEPT_REPORTS),
            (TroubleKind::LateCommands, _) => interference.delay_commands(LATE_COMMANDS),
            (TroubleKind::RepeatedCommands, _) => interference.repeat_commands(REPEATED_COMMANDS),
            (TroubleKind::CloudOut, _) => interference.set_cloud_out(true),
            (kind, _) => set_state(site, &controllers, Some(state_trouble(kind))),
        }
        self.under_way.push(Begun {
            trouble,
            controllers,
        });
    }

    fn end(&self, site: &Site, now: Instant, begun: &Begun) {
        let interference = &site.shared.interference;
        let kind = begun.trouble.kind;
        // Another trouble of the same kind may go on.
        let goes_on = self.under_way.iter().any(|b| b.trouble.kind == kind);
        match (kind, begun.trouble.target) {
            (TroubleKind::Restart | TroubleKind::AllAway, _) => {
                for controller in &begun.controllers {
                    start_if_ended(site, *controller);
                }
            }
            (TroubleKind::Pause, _) => {
                for controller in &begun.controllers {
                    site.controllers.resume(*controller);
                }
            }
            (TroubleKind::LinkHeld, Target::Link(from, to)) => {
                interference.hold_link(from, to, false);
            }
            (TroubleKind::LinksRefused, _) => interference.refuse_links(goes_on),
            (TroubleKind::ZoneCut, _) if !goes_on => site.shared.cut(None),
            (TroubleKind::LateReports, _) if !goes_on => interference.copy_reports(0.0),
            (TroubleKind::KeptReports, _) if !goes_on => interference.keep_reports(0.0),
            (TroubleKind::LateCommands, _) if !goes_on => interference.delay_commands(0.0),
            (TroubleKind::RepeatedCommands, _) if !goes_on => interference.repeat_commands(0.0),
            (TroubleKind::CloudOut, _) => interference.set_cloud_out(goes_on),
            (
                TroubleKind::ZoneCut
                | TroubleKind::LateReports
                | TroubleKind::KeptReports
                | TroubleKind::LateCommands
                | TroubleKind::RepeatedCommands
                | TroubleKind::MachinesEnd,
                _,
            ) => {}
            (TroubleKind::StateOut, _) => {
                set_state(site, &begun.controllers, None);
                site.state.outage_ended();
            }
            _ => set_state(site, &begun.controllers, None),
        }
        site.shared.judge().trouble_ended(now);
    }

    fn end_machines(&mut self, site: &Site, count: usize) {
        for _ in 0..count {
            let number = self.rng.random_range(1..=site.options.workers);
            if site.cloud.end_machine(number) {
                site.shared.interference.count(TroubleKind::MachinesEnd);
            }
        }
    }
}

fn state_trouble(kind: TroubleKind) -> StateTrouble {
    match kind {
        TroubleKind::StateSlow => StateTrouble::Slow(SLOW_BY),
        TroubleKind::AnswersLost => StateTrouble::AnswersLost(DISTURBED_WRITES),
        TroubleKind::LateWrites => StateTrouble::LateWrites(DISTURBED_WRITES),
        other => StateTrouble::Refusing(other),
    }
}

fn set_state(site: &Site, controllers: &[usize], trouble: Option<StateTrouble>) {
    if trouble == Some(StateTrouble::Refusing(TroubleKind::StateOut)) {
        site.state.outage_began();
    }
    for controller in controllers {
        site.shared.interference.set_state(*controller, trouble);
    }
}

/// The controllers that a target names at present.
fn controllers_of(site: &Site, target: Target) -> Vec<usize> {
    let all = site.options.controllers;
    match target {
        Target::LeaderAnd(others) => {
            let leader = site.leader().unwrap_or(0);
            let from_leader = (0..all).map(|n| (leader + n) % all);
            from_leader.take(1 + others).collect()
        }
        Target::Controller(number) => vec![number],
        Target::All => (0..all).collect(),
        Target::Link(..) | Target::Zone(_) | Target::Machines(_) => vec![],
    }
}

fn start_if_ended(site: &Site, controller: usize) {
    if site.controllers.is_down(controller) {
        // A program that can't be started is noticed: nobody answers there.
        let _ = site.controllers.start(controller);
    }
}

/// Delivers a copy of an old report; nobody waits for its answer.
fn deliver(site: &Site, copy: &LateCopy) {
    let connected = TcpStream::connect_timeout(&copy.to, COPY_TIMEOUT);
    let written = connected.and_then(|mut s| {
        s.write_all(&copy.bytes)?;
        // Held open for a moment: what is closed at once may not be read.
        std::thread::spawn(move || {
            std::thread::sleep(COPY_TIMEOUT);
            drop(s);
        });
        Ok(())
    });
    if written.is_ok() {
        site.shared.interference.count(copy.trouble);
    }
}
