//! Connections between the controllers. Each controller keeps a connection to every other
//! one and pings it twice a second, and at once on a change, with the peers that it hears
//! and the leader that it knows. Requests are forwarded over these connections, through
//! the third controller where the direct link is down. This module does the I/O;
//! [`hookworks_membership`] evaluates the pings.

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

/// A controller without a ping for longer is suspected to have failed.
const SUSPECT_AFTER: Span = Span(1_700_000);
/// The most connections accepted per other controller; an old one may stay open beside
/// the new one.
const MAX_INBOUND_PER_PEER: usize = 6;
/// Length of a link's queue, in batches of messages.
const MAX_QUEUED_BATCHES: usize = 1024;

/// The most sockets used for connections with that many other controllers.
pub fn max_sockets(others: usize) -> usize {
    // Outbound and inbound ones for each, the listening one, and one being refused.
    others * (2 + MAX_INBOUND_PER_PEER) + 2
}

/// An event from the other controllers, for the main loop.
pub enum PeerEvent {
    /// A message and the time of its arrival. Timeouts count from then, as the message may
    /// be queued for longer than an answer is useful.
    Message(Time, PeerMessage),
    /// The process with that label, or the link from it, has ended: requests forwarded to
    /// it will not be answered.
    Disconnected(ControllerId),
}

/// How many workers report to a controller, and how many it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    /// Which controller.
    pub label: ControllerId,
    /// How many workers report to it.
    pub workers: u32,
    /// The most workers that it can hold; earlier versions don't report it.
    pub max_workers: Option<u32>,
}

/// The outbound side of the link to one other controller.
struct Link {
    queue: Sender<Vec<PeerMessage>>,
    /// Number of restarts seen of that controller. A connection to an earlier process is
    /// useless, but may not fail for a while.
    restart_count: AtomicU64,
}

/// The identity of this process, and its limit of workers.
pub struct LocalController {
    /// The label of this controller.
    pub label: ControllerId,
    /// Distinguishes this process from earlier ones with the same label.
    pub instance: Instance,
    /// The most workers that it can hold.
    pub max_workers: u32,
}

/// The connections to all other controllers, shared by their threads and the main loop.
pub struct Peers {
    local: LocalController,
    clock: Clock,
    links: HashMap<ControllerId, Link>,
    membership: Mutex<Membership>,
    next_link_id: AtomicU64,
    worker_count: AtomicU32,
}

impl Peers {
    /// Starts the threads; messages to this controller go to `inbox`. The listening socket
    /// stays bound as long as the process lives.
    ///
    /// # Errors
    ///
    /// When the listening address can't be bound.
    pub fn start<F>(
        local: LocalController,
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
        for seed in seeds {
            let (queue, receiver) = bounded(MAX_QUEUED_BATCHES);
            let restart_count = AtomicU64::new(0);
            links.insert(
                seed.label.clone(),
                Link {
                    queue,
                    restart_count,
                },
            );
            queues.push((seed.label.clone(), seed.peer_addr, receiver));
        }
        let others = seeds.iter().map(|seed| seed.label.clone()).collect();
        let membership = Membership::new(local.label.clone(), others, SUSPECT_AFTER);
        let peers = Arc::new(Peers {
            local,
            clock,
            links,
            membership: Mutex::new(membership),
            next_link_id: AtomicU64::new(1),
            worker_count: AtomicU32::new(0),
        });
        for (to, addr, queue) in queues {
            let peers = peers.clone();
            crate::node::spawn("peer-out", move || peers.keep_link(&to, addr, &queue));
        }
        let acceptor = peers.clone();
        crate::node::spawn("peer-listen", move || acceptor.accept(&listener, &inbox));
        Ok(peers)
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn ping(&self) -> PeerMessage {
        let now = self.now();
        let membership = self.membership();
        PeerMessage::Ping {
            from: self.local.label.to_string(),
            leader: membership
                .announced_leader()
                .map(|(label, epoch)| (label.to_string(), epoch.0)),
            reachable: membership
                .live_peers(now)
                .map(ControllerId::to_string)
                .collect(),
            workers: self.worker_count.load(Ordering::Relaxed),
        }
    }

    /// Pings all others at once, after a change that should not wait for the next ping.
    fn ping_all(&self) {
        for link in self.links.values() {
            let _ = link.queue.try_send(vec![self.ping()]);
        }
    }

    /// The most workers that this controller can hold; announced to the others.
    pub fn max_workers(&self) -> u32 {
        self.local.max_workers
    }

    fn ping_extension(&self) -> (PingExtension, PingIdentity) {
        let extension = PingExtension {
            max_workers: Some(self.local.max_workers),
            version: versions::OWN_VERSION.0,
        };
        let instance = self.local.instance.0;
        (extension, PingIdentity { instance })
    }

    /// Sets how many workers report to this controller; announced to the others.
    pub fn set_worker_count(&self, n: u32) {
        self.worker_count.store(n, Ordering::Relaxed);
    }

    /// The load of each other controller that is directly reachable.
    pub fn worker_loads(&self) -> Vec<PeerLoad> {
        let now = self.now();
        let membership = self.membership();
        let load = |label: &ControllerId| {
            membership.status(now, label).map(|status| PeerLoad {
                label: label.clone(),
                workers: status.workers,
                max_workers: status.workers_most,
            })
        };
        membership.others().filter_map(load).collect()
    }

    /// Sets the leader that this controller knows; announced to the others.
    pub fn set_leader(&self, leader: Option<(ControllerId, Epoch)>) {
        if self.membership().set_leader(leader) {
            self.ping_all();
        }
    }

    /// The leader with the largest epoch that any connected controller has announced.
    pub fn best_leader(&self) -> Option<(ControllerId, Epoch)> {
        self.membership().latest_leader(self.now())
    }

    /// The epoch in which a connected controller claims to lead itself.
    pub fn claimed_epoch(&self, label: &ControllerId) -> Option<Epoch> {
        let membership = self.membership();
        let claim = membership.status(self.now(), label)?.leader.as_ref();
        claim.filter(|l| l.0 == *label).map(|l| l.1)
    }

    /// Whether any other controller is reachable.
    pub fn any_reachable(&self) -> bool {
        self.membership().any_reachable(self.now())
    }

    /// Controllers that are not directly reachable.
    pub fn unreachable_peers(&self) -> Vec<ControllerId> {
        self.membership().unreachable(self.now())
    }

    /// The last reported version of each controller, connected or not.
    pub fn versions(&self) -> Vec<(ControllerId, ReportedVersion)> {
        let membership = self.membership();
        let owned = |(label, reported): (&ControllerId, _)| (label.clone(), reported);
        membership.versions().map(owned).collect()
    }

    /// Whether a controller is reachable, directly or through the third one.
    pub fn reachable(&self, to: &ControllerId) -> bool {
        self.membership().route(self.now(), to).is_some()
    }

    /// Queues messages to a controller. False if it is unreachable or its queue is full;
    /// then nothing is sent.
    pub fn send(&self, to: &ControllerId, messages: Vec<PeerMessage>) -> bool {
        let via = self.membership().route(self.now(), to).cloned();
        let link = via.and_then(|label| self.links.get(&label));
        link.is_some_and(|link| link.queue.try_send(messages).is_ok())
    }
}
