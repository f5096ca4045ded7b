//! Connections that wait for their sockets, all watched by one thread. Each is
//! watched for one event at a time and belongs to nobody else meanwhile.

use crate::Service;
use crate::connection::{Connection, Work};
use crate::connection_table::ConnectionId;
use crate::shared::Shared;
use polling::{Event, Events, PollMode, Poller};
use std::collections::HashMap;
use std::net::TcpStream;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Events taken from the system in one go.
const EVENTS_AT_ONCE: usize = 256;
/// Pause after waiting has failed, so that it can't spin.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interest {
    /// Bytes, or the end of them.
    Read,
    /// Room for more bytes of an answer.
    Write,
}

pub(crate) struct Readiness<R> {
    poller: Poller,
    parked: Mutex<HashMap<ConnectionId, Connection<R>>>,
    stopped: AtomicBool,
}

impl<R> Readiness<R> {
    pub fn new() -> std::io::Result<Readiness<R>> {
        Ok(Readiness {
            poller: Poller::new()?,
            parked: Mutex::new(HashMap::new()),
            stopped: AtomicBool::new(false),
        })
    }

    fn parked(&self) -> MutexGuard<'_, HashMap<ConnectionId, Connection<R>>> {
        self.parked.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Keeps a connection until its socket is ready; also if it is already.
    ///
    /// # Errors
    /// Gives the connection back if the system can't watch it.
    pub fn park(
        &self,
        mut connection: Connection<R>,
        interest: Interest,
    ) -> Result<(), Connection<R>> {
        let (id, stream) = (connection.id, connection.stream.clone());
        let watched = std::mem::replace(&mut connection.watched, true);
        // Before the system watches it, as its event may come at once.
        self.parked().insert(id, connection);
        if self.watch(id, &stream, watched, interest).is_ok() {
            return Ok(());
        }
        match self.parked().remove(&id) {
            Some(mut connection) => {
                connection.watched = watched;
                Err(connection)
            }
            None => Ok(()),
        }
    }

    fn watch(
        &self,
        id: ConnectionId,
        stream: &TcpStream,
        watched: bool,
        interest: Interest,
    ) -> std::io::Result<()> {
        let key = id.0 as usize;
        let event = match interest {
            Interest::Read => Event::readable(key),
            Interest::Write => Event::writable(key),
        };
        if watched {
            return self
                .poller
                .modify_with_mode(stream, event, PollMode::Oneshot);
        }
        // SAFETY: the socket has to be removed before it is closed. The end of a
        // connection that is watched goes by way of `forget`; those that are left when
        // the server is dropped are closed after the poller, see `Shared`.
        unsafe { self.poller.add_with_mode(stream, event, PollMode::Oneshot) }
    }

    /// The system need not watch this socket any more.
    pub fn forget(&self, stream: &TcpStream) {
        if let Err(error) = self.poller.delete(stream) {
            tracing::debug!(%error, "a socket was not watched");
        }
    }

    /// Ends the thread that waits.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = self.poller.notify();
    }

    /// Waits for sockets, and returns the connections that are ready.
    fn wait(&self, events: &mut Events) -> Vec<Connection<R>> {
        events.clear();
        if let Err(error) = self.poller.wait(events, None) {
            tracing::error!(%error, "waiting for sockets failed");
            std::thread::sleep(ERROR_PAUSE);
        }
        let mut parked = self.parked();
        let ids = events.iter().map(|event| ConnectionId(event.key as u64));
        ids.filter_map(|id| parked.remove(&id)).collect()
    }
}

impl<R> Drop for Readiness<R> {
    fn drop(&mut self) {
        for connection in std::mem::take(&mut *self.parked()).into_values() {
            self.forget(&connection.stream);
        }
    }
}

/// Hands connections whose sockets are ready to the pool, until stopped.
pub(crate) fn run<S: Service>(shared: &Arc<Shared<S>>) {
    let capacity = NonZeroUsize::new(EVENTS_AT_ONCE).unwrap_or(NonZeroUsize::MIN);
    let mut events = Events::with_capacity(capacity);
    while !shared.readiness.stopped.load(Ordering::SeqCst) {
        for connection in shared.readiness.wait(&mut events) {
            shared.submit(Work::Serve(connection));
        }
    }
}
