//! Reconciliation after a failover: machines are asked for reports, attempts that an
//! earlier leader stored but never began are begun, and the progress is logged.
//!
//! Nothing is placed on a machine before its report, and by themselves all would
//! have reported within one heartbeat interval only. So each listed machine that runs
//! is sent a command for no session of its, which changes nothing and brings its
//! report. Direct calls are for urgent starts as well: only a few of these probes are
//! under way at a time, those to machines with the most room first, and a machine
//! that reports by itself meanwhile is not asked.
//!
//! A machine that has reported but not confirmed our token yet may still begin
//! what an earlier leader told it. Where that keeps attempts in doubt, an empty
//! command of its session raises the token at once, rather than with the next
//! report or the one after.

use super::job::Phase;
use super::machine::Life;
use super::place::allowed;
use super::{Effect, Sched};
use crate::ids::{CallId, Host, Session, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use crate::wire::worker::Commands;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Probes that are under way at a time; the other threads for direct calls are for
/// what users wait for.
const MAX_FRESH_PROBES: usize = 8;
/// A machine that is gone or hangs gives no answer for seconds: its probe counts among
/// the fresh ones no longer than this.
const FRESH_PROBE_AGE: Span = Span(400_000);
/// Probes under way, fresh or not.
const MAX_PROBES: usize = 12;
/// How often the progress is logged.
const PROGRESS_INTERVAL: Span = Span(1_000_000);
/// It is logged for no longer than this.
const MAX_PROGRESS_TIME: Span = Span(30_000_000);

/// Machines that are to be asked, and those that are being asked.
#[derive(Default)]
pub struct Probes {
    /// Machines that have not reported, in the order in which they are asked.
    unreported: VecDeque<Host>,
    /// Machines that have reported, but not confirmed our token, and hold
    /// attempts of which that is all that is not known.
    unconfirmed: BTreeSet<Host>,
    /// When each probe under way was sent.
    under_way: BTreeMap<CallId, Time>,
    sent: u64,
    /// Attempts of an earlier leader that were begun.
    resumed: u64,
    progress_at: Time,
    /// All have reported, and all tokens are confirmed.
    done: bool,
}

impl Sched {
    /// Asks machines that were listed as running and have not reported yet.
    pub(super) fn request_reports(&mut self, now: Time, hosts: Vec<Host>) {
        let least_room_first = |host: &Host| {
            let machine = self.machines.get(host);
            machine.map_or(0, |m| m.used.cpu - m.capacity.cpu)
        };
        // The list comes in pages.
        let mut all: BTreeSet<Host> = self.probes.unreported.drain(..).collect();
        all.extend(hosts);
        let mut all: Vec<Host> = all.into_iter().collect();
        all.sort_by_cached_key(least_room_first);
        self.probes.unreported = all.into();
        self.probe(now);
    }

    /// An attempt there is in doubt as long as our token is not confirmed.
    pub(super) fn request_confirmation(&mut self, host: &Host) {
        self.probes.unconfirmed.insert(host.clone());
    }

    /// Asks as many as may be asked at a time.
    pub(super) fn probe(&mut self, now: Time) {
        while self.probes.may_send(now) {
            // Whoever is asked for a report confirms the token as well.
            let unconfirmed = self.probes.unconfirmed.pop_first();
            let Some(host) = unconfirmed.or_else(|| self.probes.unreported.pop_front()) else {
                return;
            };
            self.send_probe(now, host);
        }
    }

    fn send_probe(&mut self, now: Time, host: Host) {
        let Some(addr) = self.probe_address(now, &host) else {
            return;
        };
        let call = self.next_call_id();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.direct = Some(call);
        let orders = Commands {
            token: machine.token,
            // A worker that has not reported yet is asked in no session of its.
            session: if machine.reported {
                machine.session
            } else {
                Session(0)
            },
            commands: vec![],
        };
        self.probes.under_way.insert(call, now);
        self.probes.sent += 1;
        self.out.push(Effect::Orders {
            call,
            host,
            addr,
            orders,
        });
    }

    /// Where the worker listens, if there is something to ask and it may be asked now.
    fn probe_address(&self, now: Time, host: &Host) -> Option<String> {
        let machine = self.machines.get(host)?;
        // Calls into a zone that is cut off hold up all others.
        let zone = &machine.zone;
        let silent = self.watch.silent(zone) || self.fences.inherited(zone).is_some();
        let busy = machine.direct.is_some() || now < machine.no_push_until;
        let known = machine.reported && machine.doubt.is_none();
        machine.addr.clone().filter(|_| !silent && !busy && !known)
    }

    /// A direct call has ended, however; if it was a probe, the next one leaves.
    pub(super) fn probed(&mut self, now: Time, call: CallId) {
        if self.probes.under_way.remove(&call).is_some() {
            self.probe(now);
        }
    }

    /// Begins an attempt that an earlier leader stored and provably never began, if it
    /// could be placed where it is: it is on record already, and placed anew it would
    /// wait for a write like any other.
    ///
    /// That leader may have given its resources to others since. So all that is on
    /// record, this included, must fit the machine and the team's limit.
    pub(super) fn resume(&mut self, now: Time, host: &Host, task: &TaskId) -> bool {
        if !self.may_resume(now, host, task) {
            return false;
        }
        let Some(live) = self.live_mut(task) else {
            return false;
        };
        // Whoever told the worker before us is not listened to any more.
        live.inherited = false;
        live.sent = false;
        live.told = None;
        live.placed = now;
        self.probes.resumed += 1;
        self.unsent.insert(host.clone());
        self.ready.insert(host.clone());
        true
    }

    fn may_resume(&self, now: Time, host: &Host, task: &TaskId) -> bool {
        let fresh = self.heard_within();
        let machine = self.machines.get(host).filter(|m| m.open(now, fresh));
        let (Some(machine), Some(job)) = (machine, self.jobs.get(&task.job)) else {
            return false;
        };
        let spec = &job.spec;
        let stopped = job.cancelled || job.closing.is_some() || job.held() || job.blocked();
        let anywhere = spec.kind == JobKind::Array && !spec.one_zone && !spec.spread;
        let left = self.teams.left(&spec.team);
        let fits = machine.capacity.covers(&machine.used) && left.at_least_zero() == left;
        !stopped && anywhere && fits && now >= job.backoff_until && allowed(spec, machine)
    }

    /// Logs the progress once a second until all is as it was.
    pub(super) fn tell_progress(&mut self, now: Time) {
        let over = self.probes.done || now - self.began > MAX_PROGRESS_TIME;
        if over || now < self.probes.progress_at {
            return;
        }
        self.probes.progress_at = now + PROGRESS_INTERVAL;
        let machines = self.machine_progress();
        let attempts = self.attempt_progress();
        self.probes.done = machines.heard == machines.up && attempts.unproven == 0;
        tracing::info!(
            after_s = (now - self.began).as_secs(),
            machines = machines.up,
            heard = machines.heard,
            unconfirmed = machines.unconfirmed,
            asked = self.probes.sent,
            to_ask = self.probes.unreported.len(),
            on_machines = attempts.on_machines,
            unproven = attempts.unproven,
            not_begun = attempts.not_begun,
            resumed = self.probes.resumed,
            writes = ?self.dirty.lengths(),
            done = self.probes.done,
            "catching up"
        );
    }

    fn machine_progress(&self) -> MachineProgress {
        let first_token = Token(self.epoch.base());
        let mut progress = MachineProgress::default();
        for machine in self.machines.values().filter(|m| m.life == Life::Up) {
            progress.up += 1;
            progress.heard += machine.reported as u32;
            progress.unconfirmed += (machine.doubt == Some(first_token)) as u32;
        }
        progress
    }

    fn attempt_progress(&self) -> AttemptProgress {
        let mut progress = AttemptProgress::default();
        for live in self.jobs.values().flat_map(|job| job.live.values()) {
            match live.phase {
                Phase::Placed if live.inherited => progress.unproven += 1,
                Phase::Placed => progress.not_begun += 1,
                _ => progress.on_machines += 1,
            }
        }
        progress
    }
}

impl Probes {
    fn may_send(&self, now: Time) -> bool {
        let fresh = |sent: &&Time| now - **sent < FRESH_PROBE_AGE;
        self.under_way.len() < MAX_PROBES
            && self.under_way.values().filter(fresh).count() < MAX_FRESH_PROBES
    }
}

/// Machines that are up, and how many of them are known again.
#[derive(Default)]
struct MachineProgress {
    up: u32,
    heard: u32,
    /// Those that have not confirmed the first token of this leadership.
    unconfirmed: u32,
}

/// Attempts, by what is known of them.
#[derive(Default)]
struct AttemptProgress {
    on_machines: u32,
    /// Placed by an earlier leader; whether they have begun is not known yet.
    unproven: u32,
    /// Placed by this leader.
    not_begun: u32,
}
