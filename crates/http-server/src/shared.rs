//! What all threads of a server share.

use crate::bounds::Bounds;
use crate::connection_table::{ConnectionId, ConnectionTable};
use crate::lingering::{LingerQueue, close_after_answer};
use crate::metrics::{ClassMetrics, ServerMetrics};
use crate::pending_answer::{AnswerSink, PendingAnswer};
use crate::phase::Timeouts;
use crate::readiness::Readiness;
use crate::request_class::RequestClass;
use crate::request_pool::RequestPool;
use crate::retry_jitter::RetryJitter;
use crate::{Answer, Service, encode};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A request without an answer for so long is answered 503. The service has timeouts
/// of its own below this.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that wait for the service, the earliest first.
type PendingAnswers<S> = BTreeMap<(Instant, ConnectionId), Arc<PendingAnswer<S>>>;

/// The state of a server.
pub(crate) struct Shared<S: Service> {
    /// The first field, so that nothing is watched any more when the connections
    /// that others hold are dropped.
    pub readiness: Readiness<S::Request>,
    pub service: S,
    pub lingering: LingerQueue,
    pub pool: RequestPool<S::Request>,
    pending: Mutex<PendingAnswers<S>>,
    bounds: Bounds,
    connections: Mutex<ConnectionTable<Arc<TcpStream>>>,
    jitter: Mutex<RetryJitter>,
    started: Instant,
    /// Bytes that large bodies and heads may still take.
    body_bytes_free: Arc<AtomicUsize>,
    stopping: AtomicBool,
    pub accept_failed: AtomicU64,
    pub listener_reopened: AtomicU64,
    turned_away: AtomicU64,
    pub most_open: AtomicUsize,
}

impl<S: Service> Shared<S> {
    pub fn new(
        service: S,
        bounds: Bounds,
        timeouts: Timeouts,
        lingering: LingerQueue,
    ) -> std::io::Result<Self> {
        // A tenth of all connections in a second is a wave that can be served.
        let retries_per_second = (bounds.connections / 10).max(20) as u32;
        Ok(Shared {
            service,
            lingering,
            pool: RequestPool::new(bounds.threads),
            readiness: Readiness::new()?,
            pending: Mutex::default(),
            bounds,
            connections: Mutex::new(ConnectionTable::new(bounds, timeouts)),
            jitter: Mutex::new(RetryJitter::new(retries_per_second)),
            started: Instant::now(),
            body_bytes_free: Arc::new(AtomicUsize::new(bounds.body_bytes)),
            stopping: AtomicBool::new(false),
            accept_failed: AtomicU64::new(0),
            listener_reopened: AtomicU64::new(0),
            turned_away: AtomicU64::new(0),
            most_open: AtomicUsize::new(0),
        })
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

    /// Takes memory for a large body or head, until the reservation is dropped.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let take = |left: usize| left.checked_sub(bytes);
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let free = &self.body_bytes_free;
        free.fetch_update(set, fetch, take).ok()?;
        Some(MemoryReservation {
            free: free.clone(),
            bytes,
        })
    }

    fn pending_answers(&self) -> MutexGuard<'_, PendingAnswers<S>> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// From now on this connection waits for the service.
    pub fn pending(&self, asked: Instant, id: ConnectionId, answer: Arc<PendingAnswer<S>>) {
        self.pending_answers().insert((asked, id), answer);
    }

    pub fn no_longer_pending(&self, asked: Instant, id: ConnectionId) {
        self.pending_answers().remove(&(asked, id));
    }

    /// Answers requests that the service has left alone for too long.
    pub fn answer_overdue(&self, now: Instant) {
        loop {
            let mut pending = self.pending_answers();
            let first = pending
                .first_entry()
                .filter(|e| e.key().0 + SERVICE_TIMEOUT <= now);
            let Some(overdue) = first.map(|e| e.remove()) else {
                return;
            };
            drop(pending);
            overdue.deliver(Answer::later("no answer in time", 1));
        }
    }

    /// Refuses a connection before it has sent anything: it is told why, and when to
    /// retry, without waiting for anything.
    pub fn refuse(&self, stream: Arc<TcpStream>) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
        let answer = Answer::later("too many connections", self.retry_after(1));
        let mut to = &*stream;
        let _ = to.write_all(&encode(&answer, true, false));
        close_after_answer(&self.lingering, stream);
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

/// Memory that a request takes. It gives itself back, whichever way the request ends.
pub(crate) struct MemoryReservation {
    free: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.free.fetch_add(self.bytes, Ordering::SeqCst);
    }
}
