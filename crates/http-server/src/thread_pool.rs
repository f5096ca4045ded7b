//! The threads that serve connections: at most so many, each for one at a
//! time. One that is done takes the next, and ends if none comes for a while.

use crate::bounds::AT_THE_DOOR;
use crate::lanes::ConnId;
use crossbeam_channel::{RecvTimeoutError, Sender, bounded};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A thread that has nothing to do waits so long for a connection.
const SPARE_FOR: Duration = Duration::from_secs(5);
/// Nothing here recurses deeply.
const STACK: usize = 256 * 1024;

/// A connection and its number.
pub(crate) struct Guest {
    pub id: ConnId,
    pub stream: Arc<TcpStream>,
}

struct Inner {
    threads: usize,
    most: usize,
    failed: u64,
    next: u64,
    idle: Vec<(u64, Sender<Guest>)>,
    /// For these others have been told to go.
    waiting: VecDeque<Guest>,
    closed: bool,
}

pub(crate) struct Seats {
    bound: usize,
    inner: Mutex<Inner>,
}

/// Why there is no seat.
pub(crate) enum NoSeat {
    /// Others were told to go and have not gone yet.
    NotYet(Guest),
    /// The system gives no more threads.
    NoThread(Guest),
}

impl Seats {
    pub fn new(bound: usize) -> Seats {
        Seats {
            bound,
            inner: Mutex::new(Inner {
                threads: 0,
                most: 0,
                failed: 0,
                next: 0,
                idle: vec![],
                waiting: VecDeque::new(),
                closed: false,
            }),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Threads now, most so far, and how often one could not be started.
    pub fn threads(&self) -> (usize, usize, u64) {
        let i = self.inner();
        (i.threads, i.most, i.failed)
    }

    /// Threads without a connection end; others once theirs has. Answers the
    /// connections that waited for a thread.
    pub fn close(&self) -> VecDeque<Guest> {
        let mut i = self.inner();
        i.closed = true;
        i.idle.clear();
        std::mem::take(&mut i.waiting)
    }

    /// Finds a thread for a connection.
    pub fn seat<F>(self: &Arc<Seats>, guest: Guest, serve: F) -> Result<(), NoSeat>
    where
        F: Fn(Guest) + Send + 'static,
    {
        let mut i = self.inner();
        if let Some((_, to)) = i.idle.pop() {
            // It waits with an empty queue, so this neither blocks nor fails.
            return to.send(guest).map_err(|e| NoSeat::NotYet(e.0));
        }
        if i.threads >= self.bound {
            return i.wait(guest);
        }
        i.threads += 1;
        i.most = i.most.max(i.threads);
        let name = i.next;
        i.next += 1;
        drop(i);
        let (to, first) = bounded(1);
        let seats = self.clone();
        let started = std::thread::Builder::new()
            .name("connection".into())
            .stack_size(STACK)
            .spawn(move || {
                if let Ok(guest) = first.recv() {
                    seats.run(name, guest, serve);
                }
            });
        match started {
            Ok(_) => to.send(guest).map_err(|e| NoSeat::NotYet(e.0)),
            Err(e) => {
                let mut i = self.inner();
                i.threads -= 1;
                i.failed += 1;
                if i.failed.is_power_of_two() {
                    tracing::error!(error = %e, threads = i.threads, "no thread for a connection");
                }
                Err(NoSeat::NoThread(guest))
            }
        }
    }

    fn run(&self, name: u64, mut guest: Guest, serve: impl Fn(Guest)) {
        loop {
            serve(guest);
            let mut i = self.inner();
            if let Some(next) = i.waiting.pop_front() {
                guest = next;
                continue;
            }
            if i.closed {
                i.threads -= 1;
                return;
            }
            let (to, next) = bounded(1);
            i.idle.push((name, to));
            drop(i);
            guest = match next.recv_timeout(SPARE_FOR) {
                Ok(g) => g,
                Err(RecvTimeoutError::Timeout) => {
                    let mut i = self.inner();
                    if let Some(at) = i.idle.iter().position(|s| s.0 == name) {
                        i.idle.remove(at);
                        i.threads -= 1;
                        return;
                    }
                    drop(i);
                    // Somebody is on the way.
                    match next.recv() {
                        Ok(g) => g,
                        Err(_) => return self.inner().threads -= 1,
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return self.inner().threads -= 1,
            }
        }
    }
}

impl Inner {
    fn wait(&mut self, guest: Guest) -> Result<(), NoSeat> {
        if self.waiting.len() >= AT_THE_DOOR || self.closed {
            return Err(NoSeat::NotYet(guest));
        }
        self.waiting.push_back(guest);
        Ok(())
    }
}
