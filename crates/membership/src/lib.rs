//! Membership and failure detection of the controllers: which of them are in touch,
//! which process each is, and who leads.
//!
//! Evidence goes in with its time: a ping and the link that it came by, the end of a
//! link, the leader that the state service names. Queries are answered from it.
//!
//! A label may be taken up by a new process a fraction of a second after the earlier
//! one has ended. Each process therefore has an [`Instance`]; with a new one all that
//! was known of the label is void: its links, the leader that it named, the epoch
//! that it led. The package promises that messages of a process that has been
//! replaced are ignored, in whatever order they arrive.
//!
//! It must never do I/O, read a clock or start a thread, and its answers must never
//! be taken for proof: who leads is decided in the state service, and a controller
//! that is suspected may well be alive.

use hookworks_base::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use hookworks_base::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Instances of a label that are remembered as replaced.
const MAX_REPLACED: usize = 16;

/// A connection on which pings come in, numbered in the order of acceptance. Its number
/// is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a controller reports of itself in a ping.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Which process it is; none in versions that don't report it.
    pub instance: Option<Instance>,
    /// The controllers that it hears.
    pub live_peers: Vec<ControllerId>,
    /// The leader, as far as it knows.
    pub leader: Option<(ControllerId, Epoch)>,
    /// How many workers report to it.
    pub workers: u32,
    /// How many workers it can hold.
    pub workers_most: Option<u32>,
    /// What it understands.
    pub version: ControllerVersion,
}

/// The version of a controller, as its latest process has reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Which process it was; none in versions that don't report it.
    pub instance: Option<Instance>,
    /// What it understands.
    pub version: ControllerVersion,
    /// When that was last heard.
    pub at: Time,
}

/// What a ping has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PingOutcome {
    /// Nothing that the others need to know at once.
    Unchanged,
    /// The controller is heard for the first time, or again after it was suspected.
    Joined,
    /// A new process has taken up the label.
    Restarted,
    /// The ping is of a process that has been replaced, and is ignored.
    Stale,
}

/// The latest ping of a controller.
#[derive(Clone, Debug)]
struct LastPing {
    at: Time,
    link: LinkId,
    status: PeerStatus,
}

/// What is known of the other controllers.
#[derive(Clone, Debug)]
pub struct Membership {
    me: ControllerId,
    others: Vec<ControllerId>,
    /// Not heard for longer, a controller is suspected to have failed.
    suspect_after: Span,
    pings: BTreeMap<ControllerId, LastPing>,
    replaced: BTreeMap<ControllerId, VecDeque<Instance>>,
    /// The latest process of each label; kept while it is suspected.
    latest: BTreeMap<ControllerId, Instance>,
    /// The link by which that process was heard first.
    first_links: BTreeMap<ControllerId, LinkId>,
    /// The version of the latest process of each label; kept while it is suspected.
    versions: BTreeMap<ControllerId, ReportedVersion>,
    /// The last epoch that a replaced process of the label led.
    ended_epochs: BTreeMap<ControllerId, Epoch>,
    /// The leader, as far as this controller itself knows.
    leader: Option<(ControllerId, Epoch)>,
}

impl Membership {
    /// Nothing is known of the others yet.
    pub fn new(me: ControllerId, others: Vec<ControllerId>, suspect_after: Span) -> Membership {
        Membership {
            me,
            others,
            suspect_after,
            pings: BTreeMap::new(),
            replaced: BTreeMap::new(),
            latest: BTreeMap::new(),
            first_links: BTreeMap::new(),
            versions: BTreeMap::new(),
            ended_epochs: BTreeMap::new(),
            leader: None,
        }
    }

    /// All other controllers, in touch or not.
    pub fn others(&self) -> impl Iterator<Item = &ControllerId> {
        self.others.iter()
    }

    fn live_status(&self, now: Time, l: &ControllerId) -> Option<&PeerStatus> {
        let ping = self.pings.get(l)?;
        (now - ping.at < self.suspect_after).then_some(&ping.status)
    }

    /// Records a ping.
    pub fn record_ping(
        &mut self,
        now: Time,
        from: &ControllerId,
        link: LinkId,
        status: PeerStatus,
    ) -> PingOutcome {
        if status.instance.is_some_and(|i| self.is_replaced(from, i)) {
            return PingOutcome::Stale;
        }
        let before = self.latest.get(from).copied();
        if before.is_some() && before != status.instance && self.is_older(from, link) {
            self.remember_replaced(from, status.instance);
            return PingOutcome::Stale;
        }
        let restarted = match (before, status.instance) {
            // A ping without an instance may be of the same process as before: only
            // after one with an instance is it known to be another.
            (Some(b), now) => now != Some(b),
            (None, _) => false,
        };
        if restarted {
            self.remember_replaced(from, before);
            self.end_epoch_of(from);
        }
        if restarted || before.is_none() {
            self.first_links.insert(from.clone(), link);
        }
        match status.instance {
            Some(i) => self.latest.insert(from.clone(), i),
            None => self.latest.remove(from),
        };
        self.accept_claim(from, &status);
        let reported = ReportedVersion {
            instance: status.instance,
            version: status.version,
            at: now,
        };
        self.versions.insert(from.clone(), reported);
        let known = self.live_status(now, from).is_some();
        self.pings.insert(
            from.clone(),
            LastPing {
                at: now,
                link,
                status,
            },
        );
        match (restarted, known) {
            (true, _) => PingOutcome::Restarted,
            (false, false) => PingOutcome::Joined,
            (false, true) => PingOutcome::Unchanged,
        }
    }

    /// Whether this link was accepted before the latest process of the label was heard:
    /// then another process on it is an earlier one, whose ping was read later.
    fn is_older(&self, label: &ControllerId, link: LinkId) -> bool {
        self.first_links
            .get(label)
            .is_some_and(|first| link < *first)
    }

    fn remember_replaced(&mut self, label: &ControllerId, instance: Option<Instance>) {
        let replaced = self.replaced.entry(label.clone()).or_default();
        replaced.extend(instance);
        while replaced.len() > MAX_REPLACED {
            replaced.pop_front();
        }
    }

    /// The latest process of that label, if it reports its instance.
    pub fn latest_instance(&self, label: &ControllerId) -> Option<Instance> {
        self.latest.get(label).copied()
    }

    /// Whether that process is known to have been replaced by a later one.
    pub fn is_replaced(&self, label: &ControllerId, instance: Instance) -> bool {
        let replaced = self.replaced.get(label);
        replaced.is_some_and(|r| r.contains(&instance))
    }

    /// The process of this label has been replaced: the epoch that it led is over.
    fn end_epoch_of(&mut self, label: &ControllerId) {
        let named = self.pings.values();
        let led = named
            .filter_map(|ping| ping.status.leader.as_ref())
            .chain(&self.leader)
            .filter(|l| l.0 == *label)
            .map(|l| l.1)
            .max();
        if let Some(e) = led {
            let ended = self.ended_epochs.entry(label.clone()).or_default();
            *ended = e.max(*ended);
        }
    }

    /// The latest process of this label says what it leads itself. Its epoch may have
    /// been heard of before the process was, and been taken for one of the process
    /// before. Epochs before the one that it claims are over.
    fn accept_claim(&mut self, from: &ControllerId, status: &PeerStatus) {
        let claimed = status.leader.as_ref().filter(|l| l.0 == *from);
        let Some(Epoch(claimed)) = claimed.map(|l| l.1) else {
            return;
        };
        if let Some(ended) = self.ended_epochs.get_mut(from)
            && ended.0 >= claimed
        {
            *ended = Epoch(claimed.saturating_sub(1));
        }
    }

    /// A link has been closed. Returns the controller that was last heard by it, which
    /// is not in touch any more.
    pub fn link_closed(&mut self, link: LinkId) -> Option<ControllerId> {
        let label = self
            .pings
            .iter()
            .find(|(_, ping)| ping.link == link)?
            .0
            .clone();
        self.pings.remove(&label);
        Some(label)
    }

    /// The leader, as far as this controller itself knows; true if that has changed.
    pub fn set_leader(&mut self, l: Option<(ControllerId, Epoch)>) -> bool {
        let new = self.leader != l;
        self.leader = l;
        new
    }

    /// The leader that this controller names to the others.
    pub fn announced_leader(&self) -> Option<(ControllerId, Epoch)> {
        self.leader.clone().filter(|l| self.may_lead(l))
    }

    fn may_lead(&self, (label, epoch): &(ControllerId, Epoch)) -> bool {
        self.ended_epochs.get(label).is_none_or(|e| epoch > e)
    }

    /// The leader of the largest epoch that any controller in touch names.
    pub fn latest_leader(&self, now: Time) -> Option<(ControllerId, Epoch)> {
        let live = self.others.iter().filter_map(|l| self.live_status(now, l));
        live.filter_map(|status| status.leader.clone())
            .chain(self.leader.clone())
            .filter(|l| self.may_lead(l))
            .max_by_key(|(_, e)| *e)
    }

    /// The controllers that this one hears.
    pub fn live_peers(&self, now: Time) -> impl Iterator<Item = &ControllerId> {
        let in_touch = move |l: &&ControllerId| self.live_status(now, l).is_some();
        self.others.iter().filter(in_touch)
    }

    /// Both controllers hear each other.
    pub fn reachable(&self, now: Time, l: &ControllerId) -> bool {
        let status = self.live_status(now, l);
        status.is_some_and(|s| s.live_peers.contains(&self.me))
    }

    /// Any other controller is reachable.
    pub fn any_reachable(&self, now: Time) -> bool {
        self.others.iter().any(|l| self.reachable(now, l))
    }

    /// Controllers that can't be reached directly.
    pub fn unreachable(&self, now: Time) -> Vec<ControllerId> {
        let away = |l: &&ControllerId| !self.reachable(now, l);
        self.others.iter().filter(away).cloned().collect()
    }

    /// The controller through which `to` can be reached, if any; `to` itself where the
    /// direct way is open.
    pub fn route(&self, now: Time, to: &ControllerId) -> Option<&ControllerId> {
        let direct = self.others.iter().find(|l| *l == to);
        if let Some(l) = direct.filter(|l| self.reachable(now, l)) {
            return Some(l);
        }
        let knows = |l: &ControllerId| {
            self.live_status(now, l)
                .is_some_and(|s| s.live_peers.contains(to))
        };
        self.others
            .iter()
            .find(|l| *l != to && self.reachable(now, l) && knows(l))
    }

    /// The latest status of a controller that is reachable.
    pub fn status(&self, now: Time, l: &ControllerId) -> Option<&PeerStatus> {
        self.live_status(now, l).filter(|_| self.reachable(now, l))
    }

    /// The version of each controller that was ever heard, in touch or not.
    pub fn versions(&self) -> impl Iterator<Item = (&ControllerId, ReportedVersion)> {
        self.versions
            .iter()
            .map(|(label, reported)| (label, *reported))
    }
}
