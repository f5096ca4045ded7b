//! The threads that serve connections: a bounded number, each for one connection
//! at a time. A thread that is done takes the next connection, and ends if none
//! comes for a while.

use crate::bounds::MAX_WAITING;
use crate::connection_table::ConnectionId;
use crossbeam_channel::{RecvTimeoutError, Sender, bounded};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A thread without a connection waits so long for one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a thread's stack; nothing here recurses deeply.
const STACK_BYTES: usize = 256 * 1024;

/// A connection and its number.
pub(crate) struct Connection {
    pub id: ConnectionId,
    pub stream: Arc<TcpStream>,
}

/// Numbers of threads.
pub(crate) struct ThreadCounts {
    pub now: usize,
    /// Most at a time, since the start.
    pub most: usize,
    /// How often one could not be started.
    pub failed: u64,
}

struct Inner {
    threads: usize,
    most: usize,
    failed: u64,
    next: u64,
    idle: Vec<(u64, Sender<Connection>)>,
    /// Their slots were reclaimed from others, whose threads are about to be free.
    waiting: VecDeque<Connection>,
    closed: bool,
}

pub(crate) struct ThreadPool {
    bound: usize,
    inner: Mutex<Inner>,
}

/// Why a connection got no thread; gives it back.
pub(crate) enum PoolError {
    /// All threads are taken, and those that are to end have not ended yet.
    Busy(Connection),
    /// The system gives no more threads.
    NoThread(Connection),
}

impl ThreadPool {
    pub fn new(bound: usize) -> ThreadPool {
        ThreadPool {
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
    pub fn counts(&self) -> ThreadCounts {
        let inner = self.inner();
        ThreadCounts {
            now: inner.threads,
            most: inner.most,
            failed: inner.failed,
        }
    }

    /// Threads without a connection end; others once theirs has. Returns the
    /// connections that waited for a thread.
    pub fn close(&self) -> VecDeque<Connection> {
        let mut inner = self.inner();
        inner.closed = true;
        inner.idle.clear();
        std::mem::take(&mut inner.waiting)
    }

    /// Finds a thread for a connection.
    pub fn serve<F>(
        self: &Arc<ThreadPool>,
        connection: Connection,
        serve: F,
    ) -> Result<(), PoolError>
    where
        F: Fn(Connection) + Send + 'static,
    {
        let mut inner = self.inner();
        if let Some((_, to)) = inner.idle.pop() {
            // It waits with an empty queue, so this neither blocks nor fails.
            return to.send(connection).map_err(|e| PoolError::Busy(e.0));
        }
        if inner.threads >= self.bound {
            return inner.wait(connection);
        }
        inner.threads += 1;
        inner.most = inner.most.max(inner.threads);
        let name = inner.next;
        inner.next += 1;
        drop(inner);
        let (to, first) = bounded(1);
        let pool = self.clone();
        let started = std::thread::Builder::new()
            .name("connection".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                if let Ok(connection) = first.recv() {
                    pool.run(name, connection, serve);
                }
            });
        match started {
            Ok(_) => to.send(connection).map_err(|e| PoolError::Busy(e.0)),
            Err(e) => {
                let mut inner = self.inner();
                inner.threads -= 1;
                inner.failed += 1;
                if inner.failed.is_power_of_two() {
                    tracing::error!(error = %e, threads = inner.threads, "no thread for a connection");
                }
                Err(PoolError::NoThread(connection))
            }
        }
    }

    fn run(&self, name: u64, mut connection: Connection, serve: impl Fn(Connection)) {
        loop {
            serve(connection);
            let mut inner = self.inner();
            if let Some(next) = inner.waiting.pop_front() {
                connection = next;
                continue;
            }
            if inner.closed {
                inner.threads -= 1;
                return;
            }
            let (to, next) = bounded(1);
            inner.idle.push((name, to));
            drop(inner);
            connection = match next.recv_timeout(IDLE_TIMEOUT) {
                Ok(g) => g,
                Err(RecvTimeoutError::Timeout) => {
                    let mut inner = self.inner();
                    if let Some(at) = inner.idle.iter().position(|s| s.0 == name) {
                        inner.idle.remove(at);
                        inner.threads -= 1;
                        return;
                    }
                    drop(inner);
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
    fn wait(&mut self, connection: Connection) -> Result<(), PoolError> {
        if self.waiting.len() >= MAX_WAITING || self.closed {
            return Err(PoolError::Busy(connection));
        }
        self.waiting.push_back(connection);
        Ok(())
    }
}
