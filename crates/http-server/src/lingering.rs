//! Connections that have been given their last answer. Closed at once, one
//! with bytes unread would be reset, and the answer lost with it; so each is
//! kept, without a thread, until the other side has closed or a second is over.

use crate::bounds::LEAVING;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(1);
/// Read and dropped at a time, of each.
const AT_ONCE: usize = 16 * 1024;

pub(crate) type Door = Sender<Arc<TcpStream>>;

pub(crate) struct Leaving {
    queue: Receiver<Arc<TcpStream>>,
    open: Vec<(Instant, Arc<TcpStream>)>,
}

pub(crate) fn leaving() -> (Door, Leaving) {
    let (door, queue) = bounded(LEAVING / 2);
    let open = Vec::with_capacity(LEAVING / 2);
    (door, Leaving { queue, open })
}

/// Sends a connection away, after its last answer. With too many leaving
/// already it is closed at once.
pub(crate) fn send_away(door: &Door, stream: Arc<TcpStream>) {
    let _ = stream.shutdown(Shutdown::Write);
    if stream.set_nonblocking(true).is_ok() {
        let _ = door.try_send(stream);
    }
}

impl Leaving {
    /// Looks after all of them once.
    pub fn turn(&mut self, now: Instant) {
        let room = (LEAVING / 2).saturating_sub(self.open.len());
        let new = self.queue.try_iter().take(room);
        self.open.extend(new.map(|s| (now, s)));
        self.open.retain(|(since, s)| {
            let gone = drain(s);
            !gone && now.saturating_duration_since(*since) < PATIENCE
        });
    }
}

/// True once the other side has closed.
fn drain(stream: &TcpStream) -> bool {
    let mut dropped = [0; 2048];
    let mut left = AT_ONCE;
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
