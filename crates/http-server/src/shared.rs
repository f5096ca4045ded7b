//! What all threads of a server share.

use crate::bounds::Bounds;
use crate::connection_table::ConnectionTable;
use crate::lingering::{LingerQueue, close_after_answer};
use crate::metrics::{ClassMetrics, ServerMetrics};
use crate::phase::Timeouts;
use crate::request_class::RequestClass;
use crate::retry_jitter::RetryJitter;
use crate::thread_pool::ThreadPool;
use crate::{Answer, encode};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The state of a server.
pub(crate) struct Shared<S> {
    pub service: S,
    pub lingering: LingerQueue,
    pub pool: Arc<ThreadPool>,
    bounds: Bounds,
    connections: Mutex<ConnectionTable<Arc<TcpStream>>>,
    jitter: Mutex<RetryJitter>,
    started: Instant,
    /// Bytes that large bodies may still take.
    body_bytes_free: AtomicUsize,
    stopping: AtomicBool,
    pub accept_failed: AtomicU64,
    pub listener_reopened: AtomicU64,
    turned_away: AtomicU64,
    pub most_open: AtomicUsize,
}

impl<S> Shared<S> {
    pub fn new(service: S, bounds: Bounds, timeouts: Timeouts, lingering: LingerQueue) -> Self {
        // A tenth of all connections in a second is a wave that can be served.
        let retries_per_second = (bounds.connections / 10).max(20) as u32;
        Shared {
            service,
            lingering,
            pool: Arc::new(ThreadPool::new(bounds.connections)),
            bounds,
            connections: Mutex::new(ConnectionTable::new(bounds, timeouts)),
            jitter: Mutex::new(RetryJitter::new(retries_per_second)),
            started: Instant::now(),
            body_bytes_free: AtomicUsize::new(bounds.body_bytes),
            stopping: AtomicBool::new(false),
            accept_failed: AtomicU64::new(0),
            listener_reopened: AtomicU64::new(0),
            turned_away: AtomicU64::new(0),
            most_open: AtomicUsize::new(0),
        }
    }

    pub fn connections(&self) -> MutexGuard<'_, ConnectionTable<Arc<TcpStream>>> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// From now on the server is stopping; whether it was already.
    pub fn set_stopping(&self) -> bool {
        self.stopping.swap(true, Ordering::SeqCst)
    }

    /// When a refused client should retry, in seconds and no sooner than `least`.
    pub fn retry_after(&self, least: u32) -> u32 {
        let second = self.started.elapsed().as_secs();
        let mut jitter = self.jitter.lock().unwrap_or_else(|e| e.into_inner());
        jitter.next(second, least, &mut rand::rng())
    }

    /// Takes memory for a large body, until the reservation is dropped.
    pub fn reserve_body(&self, bytes: usize) -> Option<BodyReservation<'_>> {
        let take = |left: usize| left.checked_sub(bytes);
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let free = &self.body_bytes_free;
        let taken = free.fetch_update(set, fetch, take);
        taken.ok().map(|_| BodyReservation { free, bytes })
    }

    /// Refuses a connection before it has sent anything: it is told why, and when to
    /// retry, without waiting for anything.
    pub fn refuse(&self, stream: Arc<TcpStream>) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
        let answer = Answer::later("too many connections", self.retry_after(1));
        if stream.set_nonblocking(true).is_ok() {
            let mut to = &*stream;
            let _ = to.write_all(&encode(&answer, true, false));
            close_after_answer(&self.lingering, stream);
        }
    }

    pub fn metrics(&self) -> ServerMetrics {
        let threads = self.pool.counts();
        let connections = self.connections();
        let one = |class: RequestClass| {
            let counts = connections.counts(class);
            let metrics = ClassMetrics {
                open: connections.used(class),
                idle: connections.idle(class),
                guaranteed: self.bounds.guaranteed[class as usize],
                requests: counts.requests,
                refused: counts.refused,
                made_room: counts.made_room,
                too_slow: counts.too_slow,
            };
            (class, metrics)
        };
        ServerMetrics {
            bounds: self.bounds,
            open: connections.open(),
            most_open: self.most_open.load(Ordering::Relaxed),
            threads: threads.now,
            most_threads: threads.most,
            classes: RequestClass::ALL.into_iter().map(one).collect(),
            turned_away: self.turned_away.load(Ordering::Relaxed),
            accept_failed: self.accept_failed.load(Ordering::Relaxed),
            listener_reopened: self.listener_reopened.load(Ordering::Relaxed),
            no_thread: threads.failed,
            body_bytes_free: self.body_bytes_free.load(Ordering::Relaxed),
        }
    }
}

/// Memory that a body takes. It gives itself back, whichever way a request ends.
pub(crate) struct BodyReservation<'a> {
    free: &'a AtomicUsize,
    bytes: usize,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.free.fetch_add(self.bytes, Ordering::SeqCst);
    }
}
