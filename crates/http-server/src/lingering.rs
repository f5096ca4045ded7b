//! Lingering close. A connection that is closed with bytes unread is reset, and the
//! last answer is lost with it; so each is kept open, without a thread, until the
//! other side has closed or a second is over.

use crate::bounds::MAX_LINGERING;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Until a connection is closed, whatever the other side does.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes read and dropped of one connection in one go.
const DRAIN_BYTES: usize = 16 * 1024;

/// Takes connections that are to linger.
pub(crate) type LingerQueue = Sender<Arc<TcpStream>>;

/// The connections that linger; to be polled.
pub(crate) struct LingeringClose {
    queue: Receiver<Arc<TcpStream>>,
    open: Vec<(Instant, Arc<TcpStream>)>,
}

pub(crate) fn lingering_close() -> (LingerQueue, LingeringClose) {
    let (sender, queue) = bounded(MAX_LINGERING / 2);
    let open = Vec::with_capacity(MAX_LINGERING / 2);
    (sender, LingeringClose { queue, open })
}

/// Closes a connection, whose socket doesn't block, after its last answer. With too many lingering already it is
/// closed at once.
pub(crate) fn close_after_answer(sender: &LingerQueue, stream: Arc<TcpStream>) {
    let _ = stream.shutdown(Shutdown::Write);
    let _ = sender.try_send(stream);
}

impl LingeringClose {
    /// Reads and drops what has come, and closes those that are done or overdue.
    pub fn poll(&mut self, now: Instant) {
        let room = (MAX_LINGERING / 2).saturating_sub(self.open.len());
        let new = self.queue.try_iter().take(room);
        self.open.extend(new.map(|s| (now, s)));
        self.open.retain(|(since, s)| {
            let gone = drain(s);
            !gone && now.saturating_duration_since(*since) < LINGER
        });
    }
}

/// True once the other side has closed.
fn drain(stream: &TcpStream) -> bool {
    let mut dropped = [0; 2048];
    let mut left = DRAIN_BYTES;
    let mut from = stream;
    while left > 0 {
        match from.read(&mut dropped) {
            Ok(0) => return true,
            Ok(n) => left = left.saturating_sub(n),
            Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
    false
}
