//! Controllers among themselves: each keeps a connection to every other, says
//! twice a second whom it hears and who leads, and at once when that changes, and
//! passes requests on; through the third controller where the direct way is cut.
//! What follows from all that is [`hookworks_membership`]'s; here are the sockets.

mod inbound;
mod outbound;

use crate::ids::{Epoch, Instance, Label};
use crate::settings::Seed;
use crate::time::{Clock, Span, Time};
use crate::versions;
use crate::wire::peer::{PeerMsg, PingMore, PingSelf};
use crossbeam_channel::{Sender, bounded};
use hookworks_membership::{Membership, ReportedVersion};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Not heard for longer, a controller is suspected to have failed.
const SUSPECT_AFTER: Span = Span(1_700_000);
/// Connections of each other controller; an old one may linger beside the new.
const MAX_INBOUND_PER_PEER: usize = 6;
/// Batches of messages that may wait for a link.
const MAX_QUEUED_BATCHES: usize = 1024;

/// Sockets for talk with so many other controllers.
pub fn max_sockets(others: usize) -> usize {
    // To each, from each, the listening one, and one that is refused.
    others * (2 + MAX_INBOUND_PER_PEER) + 2
}

/// What comes of the talk with other controllers.
pub enum PeerEvent {
    /// With the moment at which it arrived, from which answers count: it may wait
    /// its turn for longer than they are good for.
    Message(Time, PeerMsg),
    /// The process of that label has ended, or the link by which it was heard:
    /// what it was asked will not be answered.
    Disconnected(Label),
}

/// How many workers report to a controller, and how many it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    pub label: Label,
    pub workers: u32,
    pub max_workers: Option<u32>,
}

/// The way to one other controller.
struct Link {
    queue: Sender<Vec<PeerMsg>>,
    /// Counts the processes that have taken up its label: a connection to an
    /// earlier one is of no use, but may not say so for a while.
    process_count: AtomicU64,
}

/// Who this process is.
pub struct LocalController {
    pub label: Label,
    pub instance: Instance,
    /// How many workers it can hold.
    pub max_workers: u32,
}

/// Shared by the threads of this module and whoever sends.
pub struct Peers {
    local: LocalController,
    clock: Clock,
    links: HashMap<Label, Link>,
    membership: Mutex<Membership>,
    next_link_id: AtomicU64,
    worker_count: AtomicU32,
}

impl Peers {
    /// Starts the threads; what arrives for this controller goes to `inbox`. The
    /// listening socket is held as long as the process lives.
    pub fn start<F>(
        me: LocalController,
        clock: Clock,
        listen: SocketAddr,
        seeds: &[Seed],
        inbox: F,
    ) -> std::io::Result<Arc<Peers>>
    where
        F: Fn(PeerEvent) -> bool + Send + Clone + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut links = HashMap::new();
        let mut queues = vec![];
        for s in seeds {
            let (queue, rx) = bounded(MAX_QUEUED_BATCHES);
            let process = AtomicU64::new(0);
            links.insert(
                s.label.clone(),
                Link {
                    queue,
                    process_count: process,
                },
            );
            queues.push((s.label.clone(), s.peer_addr, rx));
        }
        let others = seeds.iter().map(|s| s.label.clone()).collect();
        let members = Membership::new(me.label.clone(), others, SUSPECT_AFTER);
        let peers = Arc::new(Peers {
            local: me,
            clock,
            links,
            membership: Mutex::new(members),
            next_link_id: AtomicU64::new(1),
            worker_count: AtomicU32::new(0),
        });
        for (to, addr, queue) in queues {
            let p = peers.clone();
            crate::node::spawn("peer-out", move || p.keep_link(&to, addr, &queue));
        }
        let p = peers.clone();
        crate::node::spawn("peer-listen", move || p.accept(&listener, &inbox));
        Ok(peers)
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn ping(&self) -> PeerMsg {
        let now = self.now();
        let m = self.membership();
        PeerMsg::Ping {
            from: self.local.label.to_string(),
            leader: m.announced_leader().map(|(l, e)| (l.to_string(), e.0)),
            hears: m.live_peers(now).map(Label::to_string).collect(),
            workers: self.worker_count.load(Ordering::Relaxed),
        }
    }

    /// Something has changed that the others should not wait to hear.
    fn ping_all(&self) {
        for l in self.links.values() {
            let _ = l.queue.try_send(vec![self.ping()]);
        }
    }

    /// How many workers this controller can hold; told to the others.
    pub fn max_workers(&self) -> u32 {
        self.local.max_workers
    }

    fn ping_extension(&self) -> (PingMore, PingSelf) {
        let more = PingMore {
            workers_most: Some(self.local.max_workers),
            speaks: versions::OWN.0,
        };
        let instance = self.local.instance.0;
        (more, PingSelf { instance })
    }

    /// How many workers report to this controller; told to the others.
    pub fn set_worker_count(&self, n: u32) {
        self.worker_count.store(n, Ordering::Relaxed);
    }

    /// How many workers report to each controller that can be talked to.
    pub fn worker_loads(&self) -> Vec<PeerLoad> {
        let now = self.now();
        let m = self.membership();
        let load = |l: &Label| {
            m.status(now, l).map(|t| PeerLoad {
                label: l.clone(),
                workers: t.workers,
                max_workers: t.workers_most,
            })
        };
        m.others().filter_map(load).collect()
    }

    /// What this controller believes; told to the others.
    pub fn set_leader(&self, l: Option<(Label, Epoch)>) {
        if self.membership().set_leader(l) {
            self.ping_all();
        }
    }

    /// The latest leader that any controller in touch speaks of.
    pub fn best_leader(&self) -> Option<(Label, Epoch)> {
        self.membership().latest_leader(self.now())
    }

    /// The epoch that a controller in touch says it leads itself.
    pub fn claimed_epoch(&self, label: &Label) -> Option<Epoch> {
        let members = self.membership();
        let claim = members.status(self.now(), label)?.leader.as_ref();
        claim.filter(|l| l.0 == *label).map(|l| l.1)
    }

    /// Any other controller can be talked to.
    pub fn any_reachable(&self) -> bool {
        self.membership().any_reachable(self.now())
    }

    /// Controllers that can't be talked to directly.
    pub fn unreachable_peers(&self) -> Vec<Label> {
        self.membership().unreachable(self.now())
    }

    /// The version of each controller that was ever heard, in touch or not.
    pub fn versions(&self) -> Vec<(Label, ReportedVersion)> {
        let members = self.membership();
        let owned = |(label, reported): (&Label, _)| (label.clone(), reported);
        members.versions().map(owned).collect()
    }

    pub fn reachable(&self, to: &Label) -> bool {
        self.membership().route(self.now(), to).is_some()
    }

    /// False if there is no way at the moment; nothing is sent then.
    pub fn send(&self, to: &Label, msgs: Vec<PeerMsg>) -> bool {
        let via = self.membership().route(self.now(), to).cloned();
        let link = via.and_then(|l| self.links.get(&l));
        link.is_some_and(|l| l.queue.try_send(msgs).is_ok())
    }
}
