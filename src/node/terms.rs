//! How terms begin and end at this controller.

use super::duties::{CloudJob, ToElection};
use super::load::{self, Loaded};
use super::{Node, Role, Term};
use crate::ids::{Epoch, Label, ReqId};
use crate::lead::Elect;
use crate::sched::{Config, Event, Sched};
use crate::store::commit::Committer;
use crate::time::{Span, Time, wall};
use crate::versions::Switch;
use crate::wire::peer::Answer;
use hookworks_listing::Board;
use std::sync::atomic::Ordering;

/// Passes leave so many times as long as they take to all else, but no more than
/// this: a process may stand still in the middle of one.
const REST: (u64, Span) = (3, Span(400_000));

impl Node {
    pub(super) fn elect(&mut self, now: Time, e: Elect) {
        if e != Elect::NoAnswer {
            self.state_ok_at = now;
        }
        match e {
            Elect::Seen(l) => {
                if !matches!(self.role, Role::Follower) {
                    self.step_down(now);
                }
                if l.is_some() && l != self.seen {
                    tracing::info!(leader = ?l, "leader seen");
                }
                // Our own earlier process leads no more, whatever the key says yet.
                let me = &self.settings.platform.label;
                let told = l.as_ref().filter(|l| l.label != *me);
                self.peers
                    .set_leader(told.map(|l| (l.label.clone(), l.epoch)));
                self.seen = l;
            }
            Elect::Won {
                epoch,
                stamp,
                proven,
            } => {
                tracing::info!(%epoch, "elected");
                self.proven = proven;
                self.role = Role::Loading(epoch);
                self.seen = None;
                load::start(&self.settings, self.clock, self.inbox.clone(), epoch, stamp);
            }
            Elect::Proven(t) => {
                self.proven = t;
                if let Role::Leader(term) = &self.role {
                    let epoch = term.epoch;
                    self.event(now, epoch, Event::Proven(t));
                }
            }
            Elect::Lost => {
                tracing::warn!("leadership lost");
                self.step_down(now);
            }
            Elect::NoAnswer => {}
        }
    }

    pub(super) fn step_down(&mut self, now: Time) {
        self.role = Role::Follower;
        self.term.store(0, Ordering::SeqCst);
        self.peers.set_leader(None);
        self.notice.jobs.store(None);
        let open: Vec<ReqId> = self.pending.keys().copied().collect();
        for req in open {
            self.answer(now, req, Answer::later("the leader has changed", 1));
        }
    }

    pub(super) fn loaded(&mut self, now: Time, l: Loaded) {
        if !matches!(self.role, Role::Loading(e) if e == l.epoch) {
            return;
        }
        let switch = Switch::new(l.stamp, l.record_format());
        let format = l.format;
        let limits = &self.settings.platform.params.state;
        let mut commit = Committer::new(l.stamp, limits);
        for (k, s) in l.stamps {
            commit.know(k, s);
        }
        for (k, s) in l.litter {
            commit.add_litter(k, s);
        }
        let cfg = Config::from(&self.settings);
        let mut sched = Sched::new(cfg, l.epoch, self.proven, now, wall());
        tracing::info!(epoch = %l.epoch, jobs = l.jobs.len(), "leading");
        // The time of day first: no freeze between the two makes it too late.
        let (day, at) = (wall(), self.clock.now());
        if let Some(f) = l.fences {
            sched.take_fences(at, day, f);
        }
        sched.load(now, l.jobs, l.unreadable);
        self.role = Role::Leader(Box::new(Term {
            epoch: l.epoch,
            sched,
            commit,
            board: Board::new(l.epoch.0),
            switch,
        }));
        if let Some(format) = format {
            self.learn_format(now, format);
        }
        let me = self.settings.platform.label.clone();
        self.peers.set_leader(Some((me, l.epoch)));
        self.term.store(l.epoch.0, Ordering::SeqCst);
        let _ = self.cloud.send(CloudJob::Look);
        if !self.flavors.is_empty() {
            let known = self.flavors.clone();
            self.event(now, l.epoch, Event::Flavors(known));
        }
    }

    /// A controller has ended, or its link: nothing that it was asked will be
    /// answered, and if it led, somebody else may before long.
    pub(super) fn gone(&mut self, now: Time, label: &Label) {
        let asked = |l: &Option<(Label, _)>| l.as_ref().is_some_and(|l| l.0 == *label);
        let lost: Vec<ReqId> = self
            .pending
            .iter()
            .filter(|(_, p)| asked(&p.with))
            .map(|(r, _)| *r)
            .collect();
        for req in lost {
            self.look_elsewhere(now, req);
        }
        let leads = self.seen.as_ref().is_some_and(|l| l.label == *label);
        if leads && matches!(self.role, Role::Follower) {
            let _ = self.election.try_send(ToElection::Hurry);
        }
    }

    /// An event with which a pass over the jobs may come, and the rest after it.
    pub(super) fn pass(&mut self, now: Time, epoch: Epoch, e: Event) {
        let before = self.clock.now();
        self.event(now, epoch, e);
        let after = self.clock.now();
        let rest = Span((after - before).0 * REST.0).min(REST.1);
        if let Some(t) = self.term(epoch) {
            t.sched.rest(after + rest);
        }
    }
}
