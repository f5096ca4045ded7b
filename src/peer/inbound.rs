//! Inbound connections from the other controllers: pings go to the membership, messages to
//! this controller go to the main loop, and those to the third one are forwarded.

use super::{MAX_INBOUND_PER_PEER, PeerEvent, Peers};
use crate::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use crate::wire::peer::{PeerMessage, PingExtension, PingIdentity};
use crate::wire::peer_frame;
use hookworks_membership::{LinkId, PeerStatus, PingOutcome};
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A live peer pings twice a second; a connection without data for longer is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Delay after a failure to accept, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Peers {
    /// Accepts connections, with a thread for each.
    pub(super) fn accept<F>(self: Arc<Self>, listener: &TcpListener, inbox: &F)
    where
        F: Fn(PeerEvent) -> bool + Send + Clone + 'static,
    {
        let open = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= MAX_INBOUND_PER_PEER * self.links.len() {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            // Numbered here, as the threads may start in another order.
            let link = LinkId(self.next_link_id.fetch_add(1, Ordering::Relaxed));
            let (peers, inbox, open_connections) = (self.clone(), inbox.clone(), open.clone());
            let started = crate::node::spawn("peer-in", move || {
                peers.listen_to(stream, link, &inbox);
                open_connections.fetch_sub(1, Ordering::SeqCst);
            });
            if !started {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }

    fn listen_to(&self, stream: TcpStream, link: LinkId, inbox: &impl Fn(PeerEvent) -> bool) {
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        while let Ok((message, (more, sender))) = peer_frame::read(&mut stream) {
            let main_loop_runs = match message {
                PeerMessage::Ping { .. } => match ping_status(message, &more, sender) {
                    Some((from, status)) => self.receive_ping(from, link, status, inbox),
                    None => true,
                },
                message => self.receive(message, inbox),
            };
            if !main_loop_runs {
                break;
            }
        }
        let gone = self.membership().link_closed(link);
        if let Some(label) = gone {
            tracing::debug!(%label, "inbound link from controller closed");
            self.ping_all();
            inbox(PeerEvent::Disconnected(label));
        }
    }

    /// Handles a message to this controller, or forwards it to its receiver. False once
    /// the main loop has ended.
    fn receive(&self, message: PeerMessage, inbox: &impl Fn(PeerEvent) -> bool) -> bool {
        let to = match &message {
            PeerMessage::Request { to, .. } | PeerMessage::Response { to, .. } => {
                ControllerId::from(to.as_str())
            }
            PeerMessage::Ping { .. } => return true,
        };
        if to == self.local.label {
            return inbox(PeerEvent::Message(self.now(), message));
        }
        // Forwarded once, and only over a direct link.
        if self.membership().reachable(self.now(), &to)
            && let Some(link) = self.links.get(&to)
        {
            let _ = link.queue.try_send(vec![message]);
        }
        true
    }

    /// Handles a ping. False once the main loop has ended.
    fn receive_ping(
        &self,
        from: ControllerId,
        link_id: LinkId,
        status: PeerStatus,
        inbox: &impl Fn(PeerEvent) -> bool,
    ) -> bool {
        let Some(link) = self.links.get(&from) else {
            return true;
        };
        let outcome = self
            .membership()
            .record_ping(self.now(), &from, link_id, status);
        match outcome {
            PingOutcome::Unchanged | PingOutcome::Stale => true,
            PingOutcome::Joined => {
                // The peer waits for a ping that confirms that it is heard.
                self.ping_all();
                true
            }
            PingOutcome::Restarted => {
                tracing::info!(label = %from, "controller restarted under the same label");
                link.restart_count.fetch_add(1, Ordering::SeqCst);
                self.ping_all();
                inbox(PeerEvent::Disconnected(from))
            }
        }
    }
}

/// The sender and the content of a ping; none if the message is no ping.
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
