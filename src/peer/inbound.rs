//! Connections of the other controllers: pings go to the membership, messages for this
//! controller to the main loop, and those for the third are passed on.

use super::{FromPeers, INBOUND_EACH, Peers};
use crate::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use crate::wire::peer::{PeerMessage, PingExtension, PingIdentity};
use crate::wire::peer_frame;
use hookworks_membership::{LinkId, PeerStatus, PingOutcome};
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A live peer pings twice a second; a connection that is silent for longer is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// After a failure to accept, most likely for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Peers {
    /// Accepts connections, with a thread for each.
    pub(super) fn accept<F>(self: Arc<Self>, listener: &TcpListener, inbox: &F)
    where
        F: Fn(FromPeers) -> bool + Send + Clone + 'static,
    {
        let open = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= INBOUND_EACH * self.links.len() {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            // Numbered here: threads may begin in another order.
            let link = LinkId(self.next_link.fetch_add(1, Ordering::Relaxed));
            let (peers, inbox, now_open) = (self.clone(), inbox.clone(), open.clone());
            let started = crate::node::spawn("peer-in", move || {
                peers.listen_to(stream, link, &inbox);
                now_open.fetch_sub(1, Ordering::SeqCst);
            });
            if !started {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }

    fn listen_to(&self, stream: TcpStream, link: LinkId, inbox: &impl Fn(FromPeers) -> bool) {
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        while let Ok((message, (more, sender))) = peer_frame::read(&mut stream) {
            let goes_on = match message {
                PeerMessage::Ping { .. } => match ping_status(message, &more, sender) {
                    Some((from, status)) => self.receive_ping(from, link, status, inbox),
                    None => true,
                },
                message => self.receive(message, inbox),
            };
            if !goes_on {
                break;
            }
        }
        let gone = self.members().link_closed(link);
        if let Some(label) = gone {
            tracing::debug!(%label, "its link has ended");
            self.ping_all();
            inbox(FromPeers::Gone(label));
        }
    }

    /// Takes a message for this controller, or passes it on to where it belongs; false
    /// once nobody listens any more.
    fn receive(&self, message: PeerMessage, inbox: &impl Fn(FromPeers) -> bool) -> bool {
        let to = match &message {
            PeerMessage::Request { to, .. } | PeerMessage::Response { to, .. } => {
                ControllerId::from(to.as_str())
            }
            PeerMessage::Ping { .. } => return true,
        };
        if to == self.me.label {
            return inbox(FromPeers::Msg(self.now(), message));
        }
        // Passed on once, straight to where it belongs.
        if self.members().reachable(self.now(), &to)
            && let Some(link) = self.links.get(&to)
        {
            let _ = link.queue.try_send(vec![message]);
        }
        true
    }

    /// Takes a ping; false once nobody listens any more.
    fn receive_ping(
        &self,
        from: ControllerId,
        by: LinkId,
        status: PeerStatus,
        inbox: &impl Fn(FromPeers) -> bool,
    ) -> bool {
        let Some(link) = self.links.get(&from) else {
            return true;
        };
        let outcome = self.members().record_ping(self.now(), &from, by, status);
        match outcome {
            PingOutcome::Unchanged | PingOutcome::Stale => true,
            PingOutcome::Joined => {
                // It waits for our word that it is heard.
                self.ping_all();
                true
            }
            PingOutcome::Restarted => {
                tracing::info!(label = %from, "another process has taken up that label");
                link.process.fetch_add(1, Ordering::SeqCst);
                self.ping_all();
                inbox(FromPeers::Gone(from))
            }
        }
    }
}

/// Who sent a ping, and what it says; none if the message is no ping.
fn ping_status(
    message: PeerMessage,
    more: &PingExtension,
    sender: Option<PingIdentity>,
) -> Option<(ControllerId, PeerStatus)> {
    let PeerMessage::Ping {
        from,
        leader,
        reachable: hears,
        workers,
    } = message
    else {
        return None;
    };
    let status = PeerStatus {
        instance: sender.map(|s| Instance(s.instance)),
        live_peers: hears.iter().map(|l| l.as_str().into()).collect(),
        leader: leader.map(|(label, epoch)| (label.as_str().into(), Epoch(epoch))),
        workers,
        workers_most: more.max_workers,
        version: ControllerVersion(more.version),
    };
    Some((from.as_str().into(), status))
}
