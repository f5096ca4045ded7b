//! How leaderships begin and end at this controller.

use super::load::{self, Loaded};
use super::threads::cloud::CloudRequest;
use super::threads::election::ElectionCommand;
use super::{Node, Role, Term};
use crate::election::{ElectionOutcome, LeaderRecord};
use crate::ids::{ControllerId, Epoch, RequestId, Revision};
use crate::sched::{Config, Event, Sched};
use crate::store::commit::Committer;
use crate::time::{Span, Time, wall_time_now};
use crate::versions::FormatSwitch;
use crate::wire::peer::Answer;
use hookworks_listing::Board;
use std::sync::atomic::Ordering;

/// After a placement pass, all else gets so many times the time that the pass took.
const PASS_REST_FACTOR: u64 = 3;
/// But no more than this: a process may be suspended in the middle of a pass.
const MAX_PASS_REST: Span = Span(400_000);

/// Why a leadership, or the take-over before it, ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeadershipEnd {
    /// The state service says that the lease has ended.
    LeaseLost,
    /// The leader's key names another controller, or none.
    NotInKey,
    /// A change was refused as the leader's key has another revision.
    KeyLost,
    /// Another controller names a leader of a larger epoch.
    LaterLeader,
    /// The process ends in good order.
    Stopping,
}

impl Node {
    /// Acts on a step of the election.
    pub(super) fn election_outcome(&mut self, now: Time, outcome: ElectionOutcome) {
        let steps = &mut self.request_log.election;
        match outcome == ElectionOutcome::Unavailable {
            true => steps.unavailable += 1,
            false => {
                steps.answered += 1;
                self.state_ok_at = now;
            }
        }
        match outcome {
            ElectionOutcome::Following(leader) => self.follow(now, leader),
            ElectionOutcome::Elected {
                epoch,
                stamp,
                proven,
            } => self.elected(epoch, stamp, proven),
            ElectionOutcome::Renewed(proven) => self.renewed(now, proven),
            ElectionOutcome::LeaseLost => {
                tracing::warn!("leadership lost");
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
            && leader != self.seen
        {
            let address = record.address.as_ref().map(|bound| bound.addr);
            tracing::info!(leader = %record.label, epoch = %record.epoch, instance = record.instance.0, ?address, "leader observed");
        }
        // An earlier process of this controller leads no more, whatever the key says yet.
        let own_label = &self.settings.platform.label;
        let other = leader.as_ref().filter(|record| record.label != *own_label);
        let announced = other.map(|record| (record.label.clone(), record.epoch));
        self.peers.set_leader(announced);
        self.seen = leader;
    }

    /// Loads what is stored; the leadership begins when that is done.
    fn elected(&mut self, epoch: Epoch, stamp: Revision, proven: Time) {
        tracing::info!(%epoch, "elected");
        self.proven = proven;
        self.role = Role::Loading(epoch);
        self.seen = None;
        load::start(&self.settings, self.clock, self.inbox.clone(), epoch, stamp);
    }

    fn renewed(&mut self, now: Time, proven: Time) {
        self.proven = proven;
        if let Role::Leader(term) = &self.role {
            let epoch = term.epoch;
            self.event(now, epoch, Event::Proven(proven));
        }
    }

    /// Becomes a follower; whoever waits for an answer is sent to the next leader.
    pub(super) fn step_down(&mut self, now: Time, why: LeadershipEnd) {
        if let Some(epoch) = self.own_epoch() {
            let proof_age_ms = (now - self.proven).as_secs() * 1000.0;
            let token = epoch.base();
            tracing::info!(%epoch, token, ?why, proof_age_ms, "leadership ended");
        }
        self.role = Role::Follower;
        self.term.store(0, Ordering::SeqCst);
        self.peers.set_leader(None);
        self.notice.jobs.store(None);
        let open: Vec<RequestId> = self.pending.keys().copied().collect();
        for req in open {
            self.answer(now, req, Answer::later("the leader has changed", 1));
        }
    }

    /// What is stored was read: the leadership begins, unless it has ended meanwhile.
    pub(super) fn loaded(&mut self, now: Time, loaded: Loaded) {
        let (epoch, format) = (loaded.epoch, loaded.format);
        if !matches!(self.role, Role::Loading(loading) if loading == epoch) {
            return;
        }
        let term = self.new_term(now, loaded);
        self.role = Role::Leader(Box::new(term));
        if let Some(format) = format {
            self.learn_format(now, format);
        }
        let own_label = self.settings.platform.label.clone();
        self.peers.set_leader(Some((own_label, epoch)));
        self.term.store(epoch.0, Ordering::SeqCst);
        let _ = self.cloud.send(CloudRequest::Refresh);
        if !self.flavors.is_empty() {
            let known = self.flavors.clone();
            self.event(now, epoch, Event::Flavors(known));
        }
    }

    /// Scheduler and group commit of a new leadership, with what was loaded.
    fn new_term(&self, now: Time, loaded: Loaded) -> Term {
        let epoch = loaded.epoch;
        let switch = FormatSwitch::new(loaded.stamp, loaded.record_format());
        let limits = &self.settings.platform.params.state;
        let mut commit = Committer::new(loaded.stamp, limits);
        for (key, stamp) in loaded.stamps {
            commit.record_revision(key, stamp);
        }
        for (key, stamp) in loaded.litter {
            commit.add_garbage(key, stamp);
        }
        let config = Config::from(&self.settings);
        let mut sched = Sched::new(config, epoch, self.proven, now, wall_time_now());
        let token = epoch.base();
        tracing::info!(%epoch, token, jobs = loaded.jobs.len(), "leading");
        // The time of day first: no suspension between the two makes it too late.
        let (time_of_day, at) = (wall_time_now(), self.clock.now());
        if let Some(fences) = loaded.fences {
            sched.take_fences(at, time_of_day, fences);
        }
        sched.load(now, loaded.jobs, loaded.unreadable);
        Term {
            epoch,
            sched,
            commit,
            board: Board::new(epoch.0),
            switch,
        }
    }

    /// A controller has ended, or its link: nothing that it was asked will be
    /// answered, and if it led, another controller may before long.
    pub(super) fn peer_gone(&mut self, now: Time, label: &ControllerId) {
        let asked = |leader: &Option<(ControllerId, Epoch)>| {
            leader.as_ref().is_some_and(|(asked, _)| asked == label)
        };
        let lost: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| asked(&pending.with))
            .map(|(req, _)| *req)
            .collect();
        for req in lost {
            self.look_elsewhere(now, req);
        }
        let led = self.seen.as_ref().is_some_and(|l| l.label == *label);
        if led && matches!(self.role, Role::Follower) {
            let _ = self.election.try_send(ElectionCommand::SuspectLeader);
        }
    }

    /// Handles an event with which a placement pass may come, and puts the next pass
    /// off so that all else has its turn.
    pub(super) fn event_with_pass(&mut self, now: Time, epoch: Epoch, event: Event) {
        let before = self.clock.now();
        self.event(now, epoch, event);
        let after = self.clock.now();
        let rest = Span((after - before).0 * PASS_REST_FACTOR).min(MAX_PASS_REST);
        if let Some(term) = self.term(epoch) {
            term.sched.rest(after + rest);
        }
    }
}
