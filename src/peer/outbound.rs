//! The outbound connection to one other controller, for pings and messages.

use super::Peers;
use crate::ids::ControllerId;
use crate::wire::peer::PeerMessage;
use crate::wire::peer_frame::{self, MAX_FRAME_BYTES};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How often a controller pings the others.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of connecting and of each write.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// The same for the first attempts: a process that has ended may restart at once.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Number of attempts with the short delay.
const FIRST_RECONNECTS: u32 = 20;
/// A connection is replaced if the peer does not report by then that it hears this
/// controller.
const UNHEARD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The most queued batches that are added to one write.
const BATCHES_PER_WRITE: usize = 64;

/// Why a connection has ended.
#[derive(PartialEq)]
enum ConnectionEnd {
    /// It failed or is stale and is to be replaced.
    Reconnect,
    /// The sending side of the queue was dropped.
    Closed,
}

impl Peers {
    /// Keeps a connection to that controller open as long as this process lives.
    pub(super) fn keep_link(
        &self,
        to: &ControllerId,
        addr: SocketAddr,
        queue: &Receiver<Vec<PeerMessage>>,
    ) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        let mut failed_attempts = 0;
        loop {
            let restarts_at_connect = link.restart_count.load(Ordering::SeqCst);
            let Ok(mut stream) = TcpStream::connect_timeout(&addr, IO_TIMEOUT) else {
                while queue.try_recv().is_ok() {}
                std::thread::sleep(match failed_attempts < FIRST_RECONNECTS {
                    true => FIRST_RECONNECT_DELAY,
                    false => RECONNECT_DELAY,
                });
                failed_attempts += 1;
                continue;
            };
            failed_attempts = 0;
            let _ = stream.set_nodelay(true);
            let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
            let is_current = || is_unchanged(&link.restart_count, restarts_at_connect);
            if self.serve_link(&mut stream, to, queue, is_current) == ConnectionEnd::Closed {
                return;
            }
        }
    }

    /// Sends pings and messages until the connection fails, the peer does not hear this
    /// controller, or the peer has restarted.
    fn serve_link(
        &self,
        stream: &mut TcpStream,
        to: &ControllerId,
        queue: &Receiver<Vec<PeerMessage>>,
        is_current: impl Fn() -> bool,
    ) -> ConnectionEnd {
        let connected_at = Instant::now();
        let mut pinged_at = Instant::now();
        let mut ok = self.write(stream, vec![self.ping()], queue).is_ok();
        // After a crash of the peer, writes to the old connection may succeed for long.
        // Only the peer's own ping confirms that it hears this controller.
        let is_heard = || {
            connected_at.elapsed() < UNHEARD_TIMEOUT || self.membership().reachable(self.now(), to)
        };
        while ok && is_current() && is_heard() {
            match queue.recv_timeout(PING_INTERVAL.saturating_sub(pinged_at.elapsed())) {
                Ok(_) if !is_current() => break,
                Ok(messages) => ok = self.write(stream, messages, queue).is_ok(),
                Err(RecvTimeoutError::Timeout) => {
                    pinged_at = Instant::now();
                    ok = self.write(stream, vec![self.ping()], queue).is_ok();
                }
                Err(RecvTimeoutError::Disconnected) => return ConnectionEnd::Closed,
            }
            if pinged_at.elapsed() >= PING_INTERVAL {
                pinged_at = Instant::now();
                ok = ok && self.write(stream, vec![self.ping()], queue).is_ok();
            }
        }
        ConnectionEnd::Reconnect
    }

    /// Writes messages, together with some of those queued behind them.
    fn write(
        &self,
        stream: &mut TcpStream,
        messages: Vec<PeerMessage>,
        queue: &Receiver<Vec<PeerMessage>>,
    ) -> std::io::Result<()> {
        let mut frames = vec![];
        let more = queue.try_iter().take(BATCHES_PER_WRITE);
        for message in std::iter::once(messages).chain(more).flatten() {
            peer_frame::encode(&message, self.ping_extension(), &mut frames)?;
            if frames.len() > MAX_FRAME_BYTES {
                stream.write_all(&frames)?;
                frames.clear();
            }
        }
        stream.write_all(&frames)
    }
}

/// Whether the peer has not restarted since the count was read.
fn is_unchanged(restart_count: &AtomicU64, expected: u64) -> bool {
    restart_count.load(Ordering::SeqCst) == expected
}
