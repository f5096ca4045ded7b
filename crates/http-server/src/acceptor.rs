//! The thread that accepts connections. Nothing that can go wrong here ends it.

use crate::Service;
use crate::bounds::MAX_CLOSING;
use crate::connection::{Connection, Work};
use crate::connection_table::{Admission, ConnectionId};
use crate::shared::Shared;
use std::io::{Error, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A connection without a slot is tried so many times again, with this delay.
const ADMISSION_RETRIES: u32 = 25;
const ADMISSION_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Failures in a row after which the listening socket is opened anew.
const MAX_ACCEPT_FAILURES: u32 = 20;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Connections that may wait to be accepted. Where these count as sockets of the
/// process, more of them could take those that are set aside for its own calls.
const BACKLOG: i32 = 512;

/// Opens a listening socket.
pub(crate) fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit this.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections for a server.
pub(crate) struct Acceptor<S: Service> {
    shared: Arc<Shared<S>>,
    addr: SocketAddr,
    /// None while it can't be opened.
    listener: Option<TcpListener>,
    /// A descriptor in reserve, given up to refuse a connection when no other is left.
    reserve: Option<TcpListener>,
    /// Failures in a row.
    failures: u32,
}

impl<S: Service> Acceptor<S> {
    pub fn new(shared: Arc<Shared<S>>, addr: SocketAddr, listener: TcpListener) -> Self {
        Acceptor {
            shared,
            addr,
            reserve: listener.try_clone().ok(),
            listener: Some(listener),
            failures: 0,
        }
    }

    /// Accepts until the server is stopping.
    pub fn run(mut self) {
        while !self.shared.stopping() {
            let Some(listener) = &self.listener else {
                self.reopen();
                continue;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    self.failures = 0;
                    // One that can't be served without blocking is closed.
                    if stream.set_nonblocking(true).is_ok() {
                        match self.shared.stopping() {
                            false => self.admit(stream),
                            true => self.shared.refuse(Arc::new(stream)),
                        }
                    }
                    self.refill_reserve();
                }
                Err(e) => self.accept_failed(&e),
            }
        }
    }

    fn refill_reserve(&mut self) {
        if self.reserve.is_none() {
            self.reserve = self.listener.as_ref().and_then(|l| l.try_clone().ok());
        }
    }

    /// The address may be in use for a while, or the system short of everything:
    /// whatever it is, it may pass.
    fn reopen(&mut self) {
        let addr = self.addr;
        match listen(addr) {
            Ok(listener) => {
                self.reserve = listener.try_clone().ok();
                self.listener = Some(listener);
                self.failures = 0;
                tracing::warn!(%addr, "listening again");
            }
            Err(e) => {
                tracing::error!(%addr, error = %e, "can't listen");
                std::thread::sleep(LISTEN_RETRY_DELAY);
            }
        }
    }

    fn accept_failed(&mut self, error: &Error) {
        use ErrorKind::*;
        if matches!(error.kind(), Interrupted | WouldBlock | TimedOut) {
            return;
        }
        // Closed by the client before it was accepted: not a failure.
        if matches!(error.kind(), ConnectionAborted | ConnectionReset) {
            return;
        }
        self.failures += 1;
        let n = self.shared.accept_failed.fetch_add(1, Ordering::Relaxed);
        if n.is_power_of_two() || n.is_multiple_of(1000) {
            tracing::error!(error = %error, times = n + 1, "accepting failed");
        }
        if self.failures > MAX_ACCEPT_FAILURES {
            (self.listener, self.reserve) = (None, None);
            let reopened = &self.shared.listener_reopened;
            reopened.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.free_a_descriptor();
        std::thread::sleep(ACCEPT_RETRY_DELAY);
        self.refill_reserve();
    }

    /// Most likely the process is out of descriptors: the longest idle connection
    /// gives up its own, and the reserve is used to refuse the next one.
    fn free_a_descriptor(&mut self) {
        let idle = self.shared.connections().reclaim_any(Instant::now());
        if let Some(idle) = idle {
            let _ = idle.shutdown(Shutdown::Read);
        }
        let Some(listener) = &self.listener else {
            return;
        };
        if self.reserve.take().is_some()
            && listener.set_nonblocking(true).is_ok()
            && let Ok((stream, _)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
        {
            self.shared.refuse(Arc::new(stream));
        }
        let _ = listener.set_nonblocking(false);
    }

    /// Finds a slot for a new connection, or refuses it.
    fn admit(&self, stream: TcpStream) {
        let stream = Arc::new(stream);
        match self.find_slot(&stream) {
            Some(id) => self.shared.submit(Work::Serve(Connection::new(id, stream))),
            None => self.shared.refuse(stream),
        }
    }

    fn find_slot(&self, stream: &Arc<TcpStream>) -> Option<ConnectionId> {
        let mut retries = 0..ADMISSION_RETRIES;
        loop {
            match self.try_admit(stream) {
                Admission::Admitted(id) => return Some(id),
                Admission::AdmittedReplacing(id, other) => {
                    let _ = other.shutdown(Shutdown::Read);
                    return Some(id);
                }
                // New connections wait in the system's queue meanwhile.
                Admission::Refused if retries.next().is_some() => {
                    std::thread::sleep(ADMISSION_RETRY_DELAY);
                }
                Admission::Refused => return None,
            }
        }
    }

    fn try_admit(&self, stream: &Arc<TcpStream>) -> Admission<Arc<TcpStream>> {
        let mut connections = self.shared.connections();
        // Those that have lost their slots hold their sockets a moment longer.
        if connections.open() >= connections.bounds().connections + MAX_CLOSING {
            return Admission::Refused;
        }
        let admission = connections.admit(Instant::now(), stream.clone());
        let most_open = &self.shared.most_open;
        most_open.fetch_max(connections.open(), Ordering::Relaxed);
        admission
    }
}
