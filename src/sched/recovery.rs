//! Recovery after a failover: machines are probed for reports, attempts that an earlier
//! leader stored but never started are started, and the progress is logged.
//!
//! Nothing is placed on a machine before its report, and heartbeats alone would take a
//! whole interval to bring all reports. So each listed running machine gets a direct
//! call without commands for a session that does not exist: it changes nothing and
//! returns a report. Direct calls also serve urgent starts, so only a few probes are in
//! flight at a time. Machines with the most free resources are probed first, and a
//! machine that has sent a heartbeat meanwhile is skipped.
//!
//! A machine that has reported but not confirmed our token may still execute commands
//! of an earlier leader. Where that leaves attempts uncertain, an empty call in its
//! session raises the token at once rather than one or two heartbeats later.

use super::job::Phase;
use super::machine::MachineState;
use super::place::may_run_on;
use super::{Effect, Scheduler};
use crate::ids::{CallId, Host, Session, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::user::JobKind;
use crate::wire::worker::Commands;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Recent probes in flight at a time; the other threads for direct calls serve commands
/// that users wait for.
const MAX_FRESH_PROBES: usize = 8;
/// The age up to which a probe counts as recent. A machine that is gone or hangs may
/// not answer for seconds.
const MAX_FRESH_PROBE_AGE: Span = Span(400_000);
/// All probes in flight at a time.
const MAX_PROBES: usize = 12;
/// How often the progress is logged.
const PROGRESS_LOG_INTERVAL: Span = Span(1_000_000);
/// Progress is logged for no longer than this.
const MAX_PROGRESS_LOG_TIME: Span = Span(30_000_000);

/// Machines to probe, and the probes in flight.
#[derive(Default)]
pub struct Probes {
    /// Machines that have not reported, in the order of probing.
    unreported: VecDeque<Host>,
    /// Machines that have reported but not confirmed our token, and hold attempts that
    /// stay uncertain only for that reason.
    unconfirmed: BTreeSet<Host>,
    /// When each probe in flight was sent.
    in_flight: BTreeMap<CallId, Time>,
    sent_count: u64,
    /// Attempts of an earlier leader that this leader has started.
    resumed: u64,
    next_progress_log: Time,
    /// All machines have reported, and no attempt is uncertain.
    complete: bool,
}

impl Scheduler {
    /// Probes machines that are listed as running and have not reported yet.
    pub(super) fn request_reports(&mut self, now: Time, hosts: Vec<Host>) {
        let least_room_first = |host: &Host| {
            let machine = self.machines.get(host);
            machine.map_or(0, |m| m.used.cpu - m.capacity.cpu)
        };
        // The cloud's list arrives in pages.
        let mut all: BTreeSet<Host> = self.probes.unreported.drain(..).collect();
        all.extend(hosts);
        let mut all: Vec<Host> = all.into_iter().collect();
        all.sort_by_cached_key(least_room_first);
        self.probes.unreported = all.into();
        self.probe(now);
    }

    /// Requests a probe of a machine with an attempt that stays uncertain until our
    /// token is confirmed.
    pub(super) fn request_confirmation(&mut self, host: &Host) {
        self.probes.unconfirmed.insert(host.clone());
    }

    /// Sends as many probes as may be in flight.
    pub(super) fn probe(&mut self, now: Time) {
        while self.probes.may_send(now) {
            // A probe for a report confirms the token as well.
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
        machine.direct_call = Some(call);
        let orders = Commands {
            token: machine.token,
            // The session of a worker that has not reported yet is unknown.
            session: if machine.has_reported {
                machine.session
            } else {
                Session(0)
            },
            commands: vec![],
        };
        self.probes.in_flight.insert(call, now);
        self.probes.sent_count += 1;
        self.effects.push(Effect::Orders {
            call,
            host,
            addr,
            orders,
        });
    }

    /// The worker's address, if a probe of it is needed and may be sent now.
    fn probe_address(&self, now: Time, host: &Host) -> Option<String> {
        let machine = self.machines.get(host)?;
        // Calls to an unreachable zone would delay all others.
        let zone = &machine.zone;
        let silent =
            self.zone_monitor.is_silent(zone) || self.fences.inherited_since(zone).is_some();
        let busy = machine.direct_call.is_some() || now < machine.no_direct_call_until;
        let known = machine.has_reported && machine.unconfirmed_token.is_none();
        machine.addr.clone().filter(|_| !silent && !busy && !known)
    }

    /// Handles the end of a direct call, successful or not: if it was a probe, the next
    /// one is sent.
    pub(super) fn probe_finished(&mut self, now: Time, call: CallId) {
        if self.probes.in_flight.remove(&call).is_some() {
            self.probe(now);
        }
    }

    /// Starts an attempt that an earlier leader stored and provably never started, if
    /// the task could be placed on that machine now. The attempt is on record already;
    /// a new placement would wait for another write. Returns false if it must be placed
    /// again.
    ///
    /// That leader may have given its resources away since. So everything on record,
    /// this attempt included, must fit the machine and the team's quota.
    pub(super) fn resume_attempt(&mut self, now: Time, host: &Host, task: &TaskId) -> bool {
        if !self.may_resume_attempt(now, host, task) {
            return false;
        }
        let Some(active) = self.active_attempt_mut(task) else {
            return false;
        };
        // The worker rejects commands of earlier leaders from now on.
        active.inherited = false;
        active.run_sent = false;
        active.run_sent_in = None;
        active.placed = now;
        self.probes.resumed += 1;
        self.machines_with_unsent_runs.insert(host.clone());
        self.machines_to_push.insert(host.clone());
        true
    }

    fn may_resume_attempt(&self, now: Time, host: &Host, task: &TaskId) -> bool {
        let fresh = self.max_heartbeat_age();
        let machine = self
            .machines
            .get(host)
            .filter(|m| m.accepts_tasks(now, fresh));
        let (Some(machine), Some(job)) = (machine, self.jobs.get(&task.job)) else {
            return false;
        };
        let spec = &job.spec;
        let stopped = job.cancelled || job.closing_state.is_some() || job.held() || job.blocked();
        let anywhere = spec.kind == JobKind::Array && !spec.one_zone && !spec.spread;
        let left = self.teams.remaining(&spec.team);
        let fits = machine.capacity.covers(&machine.used) && left.at_least_zero() == left;
        !stopped && anywhere && fits && now >= job.backoff_until && may_run_on(spec, machine)
    }

    /// Logs the progress once a second until recovery is complete.
    pub(super) fn log_recovery_progress(&mut self, now: Time) {
        let finished = self.probes.complete || now - self.leading_since > MAX_PROGRESS_LOG_TIME;
        if finished || now < self.probes.next_progress_log {
            return;
        }
        self.probes.next_progress_log = now + PROGRESS_LOG_INTERVAL;
        let machines = self.machine_progress();
        let attempts = self.attempt_progress();
        self.probes.complete = machines.heard == machines.up && attempts.unproven == 0;
        tracing::info!(
            after_s = (now - self.leading_since).as_secs(),
            machines = machines.up,
            heard = machines.heard,
            unconfirmed = machines.unconfirmed,
            asked = self.probes.sent_count,
            to_ask = self.probes.unreported.len(),
            on_machines = attempts.on_machines,
            unproven = attempts.unproven,
            not_begun = attempts.not_begun,
            resumed = self.probes.resumed,
            writes = ?self.write_queue.lengths(),
            done = self.probes.complete,
            "recovering state after failover"
        );
    }

    fn machine_progress(&self) -> MachineProgress {
        let first_token = Token(self.epoch.base());
        let mut progress = MachineProgress::default();
        for machine in self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up)
        {
            progress.up += 1;
            progress.heard += machine.has_reported as u32;
            progress.unconfirmed += (machine.unconfirmed_token == Some(first_token)) as u32;
        }
        progress
    }

    fn attempt_progress(&self) -> AttemptProgress {
        let mut progress = AttemptProgress::default();
        for active in self.jobs.values().flat_map(|job| job.active.values()) {
            match active.phase {
                Phase::Placed if active.inherited => progress.unproven += 1,
                Phase::Placed => progress.not_begun += 1,
                _ => progress.on_machines += 1,
            }
        }
        progress
    }
}

impl Probes {
    fn may_send(&self, now: Time) -> bool {
        let fresh = |sent: &&Time| now - **sent < MAX_FRESH_PROBE_AGE;
        self.in_flight.len() < MAX_PROBES
            && self.in_flight.values().filter(fresh).count() < MAX_FRESH_PROBES
    }
}

/// Machines that are up, and how many of them have reported.
#[derive(Default)]
struct MachineProgress {
    up: u32,
    heard: u32,
    /// Those that have not confirmed the first token of this leadership.
    unconfirmed: u32,
}

/// Attempts by what is known of them.
#[derive(Default)]
struct AttemptProgress {
    on_machines: u32,
    /// Placed by an earlier leader; whether they have started is not known yet.
    unproven: u32,
    /// Placed by this leader.
    not_begun: u32,
}
