//! The server: starts and stops its threads, and enforces the timeouts.

use crate::Service;
use crate::acceptor::{Acceptor, listen};
use crate::bounds::Bounds;
use crate::lingering::{LingeringClose, lingering_close};
use crate::metrics::ServerMetrics;
use crate::phase::{Phase, Timeouts};
use crate::readiness;
use crate::shared::Shared;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Refusals are logged at most so often.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The connection that wakes the accepting thread at the end.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a stopping server looks whether its threads have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A server at work; dropped, it stops.
pub struct Server<S: Service> {
    shared: Arc<Shared<S>>,
    addr: SocketAddr,
    stop: Sender<()>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl<S: Service> Server<S> {
    /// Listens, and serves until [`Server::stop`].
    ///
    /// # Errors
    /// When the address can't be had or a first thread can't be started.
    pub fn start(
        addr: SocketAddr,
        bounds: Bounds,
        timeouts: Timeouts,
        service: S,
    ) -> std::io::Result<Server<S>> {
        let listener = listen(addr, bounds.connections)?;
        let addr = listener.local_addr()?;
        let (queue, lingering) = lingering_close();
        let shared = Arc::new(Shared::new(service, bounds, timeouts, queue)?);
        let (stop, stopped) = bounded(1);
        let named = |name: &str| std::thread::Builder::new().name(name.into());
        let acceptor = Acceptor::new(shared.clone(), addr, listener);
        let accept = named("accept").spawn(move || acceptor.run())?;
        let s = shared.clone();
        let watch = named("readiness").spawn(move || readiness::run(&s))?;
        let s = shared.clone();
        let timer = named("time-limits").spawn(move || enforce_timeouts(&s, lingering, stopped))?;
        Ok(Server {
            shared,
            addr,
            stop,
            threads: vec![accept, watch, timer],
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What operators see of it.
    pub fn metrics(&self) -> ServerMetrics {
        self.shared.metrics()
    }

    /// The service that was given to [`Server::start`].
    pub fn service(&self) -> &S {
        &self.shared.service
    }

    /// Accepts no more and closes what is idle. Requests under way get their
    /// answers, with `Connection: close`.
    pub fn close(&self) {
        if self.shared.set_stopping() {
            return;
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.addr, WAKE_TIMEOUT);
        let idle = self.shared.connections().reclaim_all(Instant::now());
        for stream in idle {
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Closes, and waits up to `grace` for answers that are due. True: all
    /// threads have ended.
    pub fn stop(mut self, grace: Duration) -> bool {
        self.end(grace)
    }

    fn end(&mut self, grace: Duration) -> bool {
        self.close();
        let until = Instant::now() + grace;
        wait_until(until, || self.shared.connections().open() == 0);
        self.shared.pool.close();
        wait_until(until, || self.shared.pool.counts().now == 0);
        let _ = self.stop.try_send(());
        self.shared.readiness.stop();
        let done = self.shared.pool.counts().now == 0;
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
        done
    }
}

fn wait_until(deadline: Instant, condition: impl Fn() -> bool) {
    while !condition() && Instant::now() < deadline {
        std::thread::sleep(STOP_CHECK_INTERVAL);
    }
}

impl<S: Service> Drop for Server<S> {
    fn drop(&mut self) {
        if !self.threads.is_empty() {
            self.end(Duration::ZERO);
        }
    }
}

/// Closes connections that ran into a timeout, until told to stop.
fn enforce_timeouts<S: Service>(
    shared: &Arc<Shared<S>>,
    mut lingering: LingeringClose,
    stopped: Receiver<()>,
) {
    let mut log = RefusalLog {
        at: Instant::now(),
        lost: 0,
    };
    while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(TIMEOUT_CHECK_INTERVAL) {
        let now = Instant::now();
        let timed_out = shared.connections().expire(now);
        for (stream, phase) in timed_out {
            // A client that doesn't read gets no more; the others are told why.
            let how = match phase {
                Phase::Write => Shutdown::Both,
                _ => Shutdown::Read,
            };
            let _ = stream.shutdown(how);
        }
        shared.answer_overdue(now);
        shared.add_thread_if_needed();
        lingering.poll(now);
        if now - log.at > REFUSAL_LOG_INTERVAL {
            log.write(now, &shared.metrics());
        }
    }
}

/// When refusals were last logged, and how many there were by then.
struct RefusalLog {
    at: Instant,
    lost: u64,
}

impl RefusalLog {
    fn write(&mut self, now: Instant, m: &ServerMetrics) {
        let lost = m.turned_away + m.classes.values().map(|c| c.lost()).sum::<u64>();
        if lost > self.lost {
            let since = lost - self.lost;
            tracing::warn!(since, open = m.open, threads = m.threads, lanes = ?m.classes,
                turned_away = m.turned_away, "connections were refused or ended");
        }
        (self.at, self.lost) = (now, lost);
    }
}
