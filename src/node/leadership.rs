//! How this controller gains and loses the leadership.

use super::state_loading::{self, LoadedState};
use super::threads::cloud::CloudRequest;
use super::threads::election::ElectionCommand;
use super::{Leadership, Node, Role};
use crate::election::{ElectionOutcome, LeaderRecord};
use crate::ids::{ControllerId, Epoch, RequestId, Revision};
use crate::sched::{Config, Event, Scheduler};
use crate::store::commit::Committer;
use crate::time::{Span, Time, wall_time_now};
use crate::versions::FormatSwitch;
use crate::wire::peer::Answer;
use hookworks_listing::Board;
use std::sync::atomic::Ordering;

/// After a placement pass, other work gets this multiple of the pass's duration before
/// the next pass.
const PASS_REST_FACTOR: u64 = 3;
/// The longest such rest: a process may be suspended in the middle of a pass, which then
/// seems to have taken long.
const MAX_PASS_REST: Span = Span(400_000);

/// Why a leadership, or the loading of the state before it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeadershipEnd {
    /// The state service reports that the lease has expired or was revoked.
    LeaseLost,
    /// The leader's key names another controller, or none.
    NotInKey,
    /// A transaction was refused because the leader's key has another revision.
    KeyLost,
    /// Another controller announced a leader with a larger epoch.
    LaterLeader,
    /// The process shuts down gracefully.
    Stopping,
}

impl Node {
    /// Handles the outcome of an election step.
    pub(super) fn handle_election_outcome(&mut self, now: Time, outcome: ElectionOutcome) {
        let steps = &mut self.request_log.election;
        match outcome == ElectionOutcome::Unavailable {
            true => steps.unavailable += 1,
            false => {
                steps.answered += 1;
                self.state_answered_at = now;
            }
        }
        match outcome {
            ElectionOutcome::Following(leader) => self.follow(now, leader),
            ElectionOutcome::Elected {
                epoch,
                revision: stamp,
                proven,
            } => self.elected(epoch, stamp, proven),
            ElectionOutcome::Renewed(proven) => self.renewed(now, proven),
            ElectionOutcome::LeaseLost => {
                tracing::warn!("leader lease lost");
                self.step_down(now, LeadershipEnd::LeaseLost);
            }
            ElectionOutcome::Unavailable => {}
        }
    }

    fn follow(&mut self, now: Time, leader: Option<LeaderRecord>) {
        if !matches!(self.role, Role::Follower) {
            self.step_down(now, LeadershipEnd::NotInKey);
        }
        if let Some(record) = &leader
            && leader != self.observed_leader
        {
            let address = record.address.as_ref().map(|bound| bound.addr);
            tracing::info!(leader = %record.label, epoch = %record.epoch, instance = record.instance.0, ?address, "new leader observed in the state service");
        }
        // An earlier process of this controller no longer leads, even if the key still
        // names it.
        let own_label = &self.settings.platform.label;
        let other = leader.as_ref().filter(|record| record.label != *own_label);
        let announced = other.map(|record| (record.label.clone(), record.epoch));
        self.peers.set_leader(announced);
        self.observed_leader = leader;
    }

    /// Starts to load the stored state; the leadership begins when that is done.
    fn elected(&mut self, epoch: Epoch, stamp: Revision, proven: Time) {
        tracing::info!(%epoch, "elected leader; loading records");
        self.proven_at = proven;
        self.role = Role::Loading(epoch);
        self.observed_leader = None;
        state_loading::start(&self.settings, self.clock, self.inbox.clone(), epoch, stamp);
    }

    fn renewed(&mut self, now: Time, proven: Time) {
        self.proven_at = proven;
        if let Role::Leader(leadership) = &self.role {
            let epoch = leadership.epoch;
            self.handle_event(now, epoch, Event::LeadershipConfirmed(proven));
        }
    }

    /// Becomes a follower; all open requests are answered with a retryable error.
    pub(super) fn step_down(&mut self, now: Time, why: LeadershipEnd) {
        if let Some(epoch) = self.own_epoch() {
            let proof_age_ms = (now - self.proven_at).as_secs() * 1000.0;
            let token = epoch.base();
            tracing::info!(%epoch, token, ?why, proof_age_ms, "leadership ended");
        }
        self.role = Role::Follower;
        self.leading_epoch.store(0, Ordering::SeqCst);
        self.peers.set_leader(None);
        self.shared.jobs.store(None);
        let open: Vec<RequestId> = self.pending.keys().copied().collect();
        for req in open {
            self.answer(now, req, Answer::later("the leader has changed", 1));
        }
    }

    /// The stored state was loaded: the leadership begins, unless it was lost meanwhile.
    pub(super) fn loaded(&mut self, now: Time, loaded: LoadedState) {
        let (epoch, format) = (loaded.epoch, loaded.format);
        if !matches!(self.role, Role::Loading(loading) if loading == epoch) {
            return;
        }
        let leadership = self.new_leadership(now, loaded);
        self.role = Role::Leader(Box::new(leadership));
        if let Some(format) = format {
            self.set_record_format(now, format);
        }
        let own_label = self.settings.platform.label.clone();
        self.peers.set_leader(Some((own_label, epoch)));
        self.leading_epoch.store(epoch.0, Ordering::SeqCst);
        let _ = self.cloud_requests.send(CloudRequest::Refresh);
        if !self.machine_types.is_empty() {
            let known = self.machine_types.clone();
            self.handle_event(now, epoch, Event::MachineTypes(known));
        }
    }

    /// Creates the scheduler and the group commit of a new leadership from the loaded state.
    fn new_leadership(&self, now: Time, loaded: LoadedState) -> Leadership {
        let epoch = loaded.epoch;
        let switch = FormatSwitch::new(loaded.leader_revision, loaded.record_format());
        let limits = &self.settings.platform.params.state;
        let mut commit = Committer::new(loaded.leader_revision, limits);
        for (key, stamp) in loaded.revisions {
            commit.record_revision(key, stamp);
        }
        for (key, stamp) in loaded.garbage {
            commit.add_garbage(key, stamp);
        }
        let config = Config::from(&self.settings);
        let mut scheduler = Scheduler::new(config, epoch, self.proven_at, now, wall_time_now());
        let token = epoch.base();
        tracing::info!(%epoch, token, jobs = loaded.jobs.len(), "leadership started");
        // Reads the wall clock first, so that a suspension between the two reads can't
        // make it too late.
        let (time_of_day, at) = (wall_time_now(), self.clock.now());
        if let Some(fences) = loaded.fences {
            scheduler.load_fences(at, time_of_day, fences);
        }
        scheduler.load(now, loaded.jobs, loaded.unreadable);
        Leadership {
            epoch,
            scheduler,
            commit,
            board: Board::new(epoch.0),
            switch,
        }
    }

    /// Another controller, or the link to it, has ended: requests forwarded to it get no
    /// answer, and if it led, another controller may be elected soon.
    pub(super) fn peer_gone(&mut self, now: Time, label: &ControllerId) {
        let was_target = |leader: &Option<(ControllerId, Epoch)>| {
            leader.as_ref().is_some_and(|(target, _)| target == label)
        };
        let lost: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| was_target(&pending.forwarded_to))
            .map(|(req, _)| *req)
            .collect();
        for req in lost {
            self.reroute(now, req);
        }
        let was_leader = self
            .observed_leader
            .as_ref()
            .is_some_and(|l| l.label == *label);
        if was_leader && matches!(self.role, Role::Follower) {
            let _ = self.election.try_send(ElectionCommand::SuspectLeader);
        }
    }

    /// Handles an event that may start a placement pass, and delays the next pass so that
    /// other work gets its share of time.
    pub(super) fn handle_event_with_pass(&mut self, now: Time, epoch: Epoch, event: Event) {
        let started_at = self.clock.now();
        self.handle_event(now, epoch, event);
        let ended_at = self.clock.now();
        let rest = Span((ended_at - started_at).0 * PASS_REST_FACTOR).min(MAX_PASS_REST);
        if let Some(leadership) = self.leadership(epoch) {
            leadership.scheduler.defer_pass(ended_at + rest);
        }
    }
}
