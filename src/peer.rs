//! Controllers among themselves: each keeps a connection to every other, says
//! twice a second whom it hears and who leads, and at once when that changes, and
//! passes requests on; through the third controller where the direct way is cut.
//! What follows from all that is [`hookworks_membership`]'s; here are the sockets.

mod inbound;
mod outbound;

use crate::ids::{ControllerId, Epoch, Instance};
use crate::settings::Seed;
use crate::time::{Clock, Span, Time};
use crate::versions;
use crate::wire::peer::{PeerMessage, PingExtension, PingIdentity};
use crossbeam_channel::{Sender, bounded};
use hookworks_membership::{Membership, ReportedVersion};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Not heard for longer, a controller is suspected to have failed.
const SUSPECT_AFTER: Span = Span(1_700_000);
/// Connections of each other controller; an old one may linger beside the new.
const INBOUND_EACH: usize = 6;
/// Batches of messages that may wait for a link.
const QUEUED_BATCHES: usize = 1024;

/// Sockets for talk with so many other controllers.
pub fn sockets(others: usize) -> usize {
    // To each, from each, the listening one, and one that is refused.
    others * (2 + INBOUND_EACH) + 2
}

/// What comes of the talk with other controllers.
pub enum FromPeers {
    /// With the moment at which it arrived, from which answers count: it may wait
    /// its turn for longer than they are good for.
    Msg(Time, PeerMessage),
    /// The process of that label has ended, or the link by which it was heard:
    /// what it was asked will not be answered.
    Gone(ControllerId),
}

/// How many workers report to a controller, and how many it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub label: ControllerId,
    pub workers: u32,
    pub most: Option<u32>,
}

/// The way to one other controller.
struct Link {
    queue: Sender<Vec<PeerMessage>>,
    /// Counts the processes that have taken up its label: a connection to an
    /// earlier one is of no use, but may not say so for a while.
    process: AtomicU64,
}

/// Who this process is.
pub struct Own {
    pub label: ControllerId,
    pub instance: Instance,
    /// How many workers it can hold.
    pub most: u32,
}

/// Shared by the threads of this module and whoever sends.
pub struct Peers {
    me: Own,
    clock: Clock,
    links: HashMap<ControllerId, Link>,
    members: Mutex<Membership>,
    next_link: AtomicU64,
    workers: AtomicU32,
}

impl Peers {
    /// Starts the threads; what arrives for this controller goes to `inbox`. The
    /// listening socket is held as long as the process lives.
    pub fn start<F>(
        me: Own,
        clock: Clock,
        listen: SocketAddr,
        seeds: &[Seed],
        inbox: F,
    ) -> std::io::Result<Arc<Peers>>
    where
        F: Fn(FromPeers) -> bool + Send + Clone + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut links = HashMap::new();
        let mut queues = vec![];
        for s in seeds {
            let (queue, rx) = bounded(QUEUED_BATCHES);
            let process = AtomicU64::new(0);
            links.insert(s.label.clone(), Link { queue, process });
            queues.push((s.label.clone(), s.peer_addr, rx));
        }
        let others = seeds.iter().map(|s| s.label.clone()).collect();
        let members = Membership::new(me.label.clone(), others, SUSPECT_AFTER);
        let peers = Arc::new(Peers {
            me,
            clock,
            links,
            members: Mutex::new(members),
            next_link: AtomicU64::new(1),
            workers: AtomicU32::new(0),
        });
        for (to, addr, queue) in queues {
            let p = peers.clone();
            crate::node::spawn("peer-out", move || p.keep_link(&to, addr, &queue));
        }
        let p = peers.clone();
        crate::node::spawn("peer-listen", move || p.accept(&listener, &inbox));
        Ok(peers)
    }

    fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn ping(&self) -> PeerMessage {
        let now = self.now();
        let m = self.members();
        PeerMessage::Ping {
            from: self.me.label.to_string(),
            leader: m.announced_leader().map(|(l, e)| (l.to_string(), e.0)),
            reachable: m.live_peers(now).map(ControllerId::to_string).collect(),
            workers: self.workers.load(Ordering::Relaxed),
        }
    }

    /// Something has changed that the others should not wait to hear.
    fn ping_all(&self) {
        for l in self.links.values() {
            let _ = l.queue.try_send(vec![self.ping()]);
        }
    }

    /// How many workers this controller can hold; told to the others.
    pub fn most(&self) -> u32 {
        self.me.most
    }

    fn ping_extension(&self) -> (PingExtension, PingIdentity) {
        let more = PingExtension {
            max_workers: Some(self.me.most),
            version: versions::OWN_VERSION.0,
        };
        let instance = self.me.instance.0;
        (more, PingIdentity { instance })
    }

    /// How many workers report to this controller; told to the others.
    pub fn set_workers(&self, n: u32) {
        self.workers.store(n, Ordering::Relaxed);
    }

    /// How many workers report to each controller that can be talked to.
    pub fn workers(&self) -> Vec<Load> {
        let now = self.now();
        let m = self.members();
        let load = |l: &ControllerId| {
            m.status(now, l).map(|t| Load {
                label: l.clone(),
                workers: t.workers,
                most: t.workers_most,
            })
        };
        m.others().filter_map(load).collect()
    }

    /// What this controller believes; told to the others.
    pub fn set_leader(&self, l: Option<(ControllerId, Epoch)>) {
        if self.members().set_leader(l) {
            self.ping_all();
        }
    }

    /// The latest leader that any controller in touch speaks of.
    pub fn best_leader(&self) -> Option<(ControllerId, Epoch)> {
        self.members().latest_leader(self.now())
    }

    /// The epoch that a controller in touch says it leads itself.
    pub fn claimed_epoch(&self, label: &ControllerId) -> Option<Epoch> {
        let members = self.members();
        let claim = members.status(self.now(), label)?.leader.as_ref();
        claim.filter(|l| l.0 == *label).map(|l| l.1)
    }

    /// Any other controller can be talked to.
    pub fn any(&self) -> bool {
        self.members().any_reachable(self.now())
    }

    /// Controllers that can't be talked to directly.
    pub fn out_of_reach(&self) -> Vec<ControllerId> {
        self.members().unreachable(self.now())
    }

    /// The version of each controller that was ever heard, in touch or not.
    pub fn versions(&self) -> Vec<(ControllerId, ReportedVersion)> {
        let members = self.members();
        let owned = |(label, reported): (&ControllerId, _)| (label.clone(), reported);
        members.versions().map(owned).collect()
    }

    pub fn reachable(&self, to: &ControllerId) -> bool {
        self.members().route(self.now(), to).is_some()
    }

    /// False if there is no way at the moment; nothing is sent then.
    pub fn send(&self, to: &ControllerId, msgs: Vec<PeerMessage>) -> bool {
        let via = self.members().route(self.now(), to).cloned();
        let link = via.and_then(|l| self.links.get(&l));
        link.is_some_and(|l| l.queue.try_send(msgs).is_ok())
    }
}
