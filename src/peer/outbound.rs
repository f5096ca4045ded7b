//! The connection to one other controller: pings and messages leave by it.

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
/// For connecting, and for each write.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A controller that can't be connected to is tried again after so long.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// The same for the first attempts: a process that ended may be back in a moment.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const FIRST_RECONNECTS: u32 = 20;
/// A connection over which we are not heard by then is made anew.
const UNHEARD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Batches of messages that leave in one go.
const BATCHES_PER_WRITE: usize = 64;

/// How a connection came to its end.
#[derive(PartialEq)]
enum ConnectionEnd {
    /// It is to be made anew.
    Reconnect,
    /// Nobody sends any more.
    Closed,
}

impl Peers {
    /// Keeps a connection to that controller as long as this process lives.
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
            let process = link.process.load(Ordering::SeqCst);
            let Ok(mut stream) = TcpStream::connect_timeout(&addr, CALL_TIMEOUT) else {
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
            let _ = stream.set_write_timeout(Some(CALL_TIMEOUT));
            let is_current = || is_process(&link.process, process);
            if self.serve_link(&mut stream, to, queue, is_current) == ConnectionEnd::Closed {
                return;
            }
        }
    }

    /// Sends pings and messages until the connection fails, the other side does not hear
    /// us, or another process has taken up its label.
    fn serve_link(
        &self,
        stream: &mut TcpStream,
        to: &ControllerId,
        queue: &Receiver<Vec<PeerMessage>>,
        is_current: impl Fn() -> bool,
    ) -> ConnectionEnd {
        let connected = Instant::now();
        let mut pinged = Instant::now();
        let mut ok = self.write(stream, vec![self.ping()], queue).is_ok();
        // A peer that came back after a crash may leave the old connection
        // unanswered for long; only its own word says that we are heard.
        let is_heard =
            || connected.elapsed() < UNHEARD_TIMEOUT || self.members().reachable(self.now(), to);
        while ok && is_current() && is_heard() {
            match queue.recv_timeout(PING_INTERVAL.saturating_sub(pinged.elapsed())) {
                Ok(_) if !is_current() => break,
                Ok(messages) => ok = self.write(stream, messages, queue).is_ok(),
                Err(RecvTimeoutError::Timeout) => {
                    pinged = Instant::now();
                    ok = self.write(stream, vec![self.ping()], queue).is_ok();
                }
                Err(RecvTimeoutError::Disconnected) => return ConnectionEnd::Closed,
            }
            if pinged.elapsed() >= PING_INTERVAL {
                pinged = Instant::now();
                ok = ok && self.write(stream, vec![self.ping()], queue).is_ok();
            }
        }
        ConnectionEnd::Reconnect
    }

    /// Sends messages, along with some of what waits behind them.
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

/// No other process has taken up the label meanwhile.
fn is_process(now: &AtomicU64, process: u64) -> bool {
    now.load(Ordering::SeqCst) == process
}
