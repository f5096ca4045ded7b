//! The threads that serve requests, and the work that waits for them. No thread
//! waits for a client or for an answer, so a few are enough; more are started, up
//! to a bound, only when work waits although none of them takes any.

use crate::Service;
use crate::connection::{self, Work};
use crate::shared::Shared;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Threads that are started as soon as there is work for them.
const READY_THREADS: usize = 4;
/// Work that has waited for so long gets another thread.
const STALL: Duration = Duration::from_millis(20);
/// A thread without work ends after so long, unless it is the last one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads that the service never gets: they answer what needs no service, such as
/// health checks, even if the service blocks all others.
const SPARE_THREADS: usize = 2;
/// Bytes of a thread's stack; nothing here recurses deeply.
const STACK_BYTES: usize = 256 * 1024;

/// Numbers of threads.
#[derive(Clone, Copy, Default)]
pub(crate) struct ThreadCounts {
    pub now: usize,
    /// Most at a time, since the start.
    pub most: usize,
    /// How often one could not be started.
    pub failed: u64,
}

#[derive(Default)]
struct Threads {
    counts: ThreadCounts,
    closed: bool,
}

pub(crate) struct RequestPool<R> {
    bound: usize,
    /// Bounded by the number of connections, each of which is in one place only.
    /// None ends a thread.
    queue: Sender<Option<Work<R>>>,
    work: Receiver<Option<Work<R>>>,
    threads: Mutex<Threads>,
    /// Threads without work.
    idle: AtomicUsize,
    /// Threads that are with the service.
    handling: AtomicUsize,
    started: Instant,
    /// When work was last taken, in milliseconds since the start.
    taken_ms: AtomicU64,
}

impl<R> RequestPool<R> {
    pub fn new(bound: usize) -> RequestPool<R> {
        let (queue, work) = unbounded();
        RequestPool {
            bound: bound.max(SPARE_THREADS + 1),
            queue,
            work,
            threads: Mutex::default(),
            idle: AtomicUsize::new(0),
            handling: AtomicUsize::new(0),
            started: Instant::now(),
            taken_ms: AtomicU64::new(0),
        }
    }

    fn threads(&self) -> MutexGuard<'_, Threads> {
        self.threads.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn counts(&self) -> ThreadCounts {
        self.threads().counts
    }

    /// Threads end as soon as no work is left.
    pub fn close(&self) {
        let mut threads = self.threads();
        threads.closed = true;
        for _ in 0..threads.counts.now {
            let _ = self.queue.send(None);
        }
    }

    /// Leave to call the service, unless that could take the last threads.
    pub fn begin_handling(&self) -> Option<HandlingGuard<'_>> {
        let guard = HandlingGuard(&self.handling);
        let before = self.handling.fetch_add(1, Ordering::SeqCst);
        (before < self.bound - SPARE_THREADS).then_some(guard)
    }

    /// Books another thread if one is needed.
    fn book_thread(&self) -> bool {
        if self.idle.load(Ordering::SeqCst) > 0 {
            return false;
        }
        let mut threads = self.threads();
        if threads.closed || threads.counts.now >= self.bound {
            return false;
        }
        if threads.counts.now >= READY_THREADS && !self.is_stalled() {
            return false;
        }
        threads.counts.now += 1;
        threads.counts.most = threads.counts.most.max(threads.counts.now);
        true
    }

    /// Work waits, and none has been taken for a while.
    fn is_stalled(&self) -> bool {
        let taken = Duration::from_millis(self.taken_ms.load(Ordering::Relaxed));
        !self.work.is_empty() && self.started.elapsed().saturating_sub(taken) > STALL
    }

    fn thread_failed(&self, error: &std::io::Error) {
        let mut threads = self.threads();
        threads.counts.now -= 1;
        threads.counts.failed += 1;
        if threads.counts.failed.is_power_of_two() {
            tracing::error!(%error, threads = threads.counts.now, "no thread for requests");
        }
    }

    /// The next work; none: the thread ends, and is no longer counted.
    fn take(&self) -> Option<Work<R>> {
        loop {
            let work = match self.work.try_recv() {
                Ok(work) => Ok(work),
                Err(_) => self.wait(),
            };
            match work {
                Ok(Some(work)) => {
                    let now = self.started.elapsed().as_millis() as u64;
                    self.taken_ms.store(now, Ordering::Relaxed);
                    return Some(work);
                }
                Ok(None) => {
                    self.threads().counts.now -= 1;
                    return None;
                }
                Err(_) if self.retire() => return None,
                Err(_) => {}
            }
        }
    }

    /// The next work, waited for; an error if none came.
    fn wait(&self) -> Result<Option<Work<R>>, RecvTimeoutError> {
        self.idle.fetch_add(1, Ordering::SeqCst);
        let work = self.work.recv_timeout(IDLE_TIMEOUT);
        self.idle.fetch_sub(1, Ordering::SeqCst);
        work
    }

    /// A thread that found no work ends, unless it is the last one.
    fn retire(&self) -> bool {
        let mut threads = self.threads();
        let superfluous = threads.counts.now > 1 && !threads.closed;
        if superfluous {
            threads.counts.now -= 1;
        }
        superfluous
    }
}

/// Held while the service has a request.
pub(crate) struct HandlingGuard<'a>(&'a AtomicUsize);

impl Drop for HandlingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl<S: Service> Shared<S> {
    /// Hands work to the pool; never blocks.
    pub fn submit(self: &Arc<Self>, work: Work<S::Request>) {
        let _ = self.pool.queue.send(Some(work));
        self.add_thread_if_needed();
    }

    /// Starts another thread if work waits for want of one.
    pub fn add_thread_if_needed(self: &Arc<Self>) {
        if self.pool.work.is_empty() || !self.pool.book_thread() {
            return;
        }
        let shared = self.clone();
        let started = std::thread::Builder::new()
            .name("requests".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Some(work) = shared.pool.take() {
                    connection::serve(&shared, work);
                }
            });
        if let Err(error) = started {
            self.pool.thread_failed(&error);
        }
    }
}
