//! The links between controllers: each stream is passed on with the delay
//! between the two regions, and counted.

use crate::counters::{Counterpart, Counters};
use crate::interference::{HELD_LOOK, Interference, TroubleKind};
use crate::standin::Shared;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pieces of a stream that may be on their way.
const ON_THEIR_WAY: usize = 4096;
const CONNECT: Duration = Duration::from_millis(500);

/// One direction between two controllers.
#[derive(Clone)]
pub struct Link {
    pub from: usize,
    pub to: usize,
    delay: Duration,
    address: SocketAddr,
    counters: Arc<Counters>,
    interference: Arc<Interference>,
    stop: Arc<AtomicBool>,
}

impl Link {
    pub fn new(shared: &Shared, from: usize, to: usize) -> Link {
        let layout = &shared.layout;
        let zones = (
            layout.zone_of_controller(from),
            layout.zone_of_controller(to),
        );
        Link {
            from,
            to,
            delay: layout.delay(zones.0, zones.1),
            address: layout.cluster(to),
            counters: shared.counters.clone(),
            interference: shared.interference.clone(),
            stop: shared.stop.clone(),
        }
    }

    /// Passes on what comes at `listener` until told to stop.
    ///
    /// # Errors
    /// When the system gives no thread.
    pub fn serve(self, listener: TcpListener) -> std::io::Result<JoinHandle<()>> {
        listener.set_nonblocking(true)?;
        named("link", move || {
            while !self.stop.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((near, _)) => self.pass_on(near),
                    Err(_) => std::thread::sleep(Duration::from_millis(5)),
                }
            }
        })
    }

    fn pass_on(&self, near: TcpStream) {
        if self.interference.refuses_links() {
            self.interference.count(TroubleKind::LinksRefused);
            return;
        }
        let Ok(far) = TcpStream::connect_timeout(&self.address, CONNECT) else {
            return;
        };
        let streams = (
            near.set_nonblocking(false),
            near.try_clone(),
            far.try_clone(),
        );
        let (Ok(()), Ok(near_too), Ok(far_too)) = streams else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        self.pump(near, far, true);
        self.pump(far_too, near_too, false);
    }

    /// Copies one direction of a connection, `delay` later.
    fn pump(&self, from: TcpStream, to: TcpStream, forward: bool) {
        let (send, receive) = bounded(ON_THEIR_WAY);
        let link = self.clone();
        let _ = named("link-in", move || link.read(from, &send, forward));
        let _ = named("link-out", move || write(to, &receive));
    }

    fn read(&self, mut from: TcpStream, on: &Sender<(Instant, Vec<u8>)>, forward: bool) {
        let mut chunk = [0; 32 * 1024];
        while let Ok(n) = from.read(&mut chunk) {
            if n == 0 || self.stop.load(Ordering::Relaxed) {
                break;
            }
            let (sender, receiver) = match forward {
                true => (self.from, self.to),
                false => (self.to, self.from),
            };
            self.counters.add(sender, Counterpart::Peers, 0, n);
            self.counters.add(receiver, Counterpart::Peers, n, 0);
            if !self.may_pass(sender, receiver) {
                break;
            }
            let due = Instant::now() + self.delay;
            if on.send((due, chunk[..n].to_vec())).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
    }
}

impl Link {
    /// Waits while what `sender` sends to `receiver` is held; false if the connection
    /// breaks.
    fn may_pass(&self, sender: usize, receiver: usize) -> bool {
        if self.interference.refuses_links() {
            self.interference.count(TroubleKind::LinksRefused);
            return false;
        }
        if self.interference.is_held(sender, receiver) {
            self.interference.count(TroubleKind::LinkHeld);
        }
        while self.interference.is_held(sender, receiver) {
            if self.stop.load(Ordering::Relaxed) {
                return false;
            }
            std::thread::sleep(HELD_LOOK);
        }
        true
    }
}

fn write(mut to: TcpStream, pieces: &Receiver<(Instant, Vec<u8>)>) {
    for (due, bytes) in pieces {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn named(name: &str, work: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    let thread = std::thread::Builder::new().name(name.into());
    thread.spawn(work)
}
