//! Accepts connections, whatever happens, and keeps all of them within bounds.

use crate::bounds::Bounds;
use crate::conn;
use crate::lanes::{Arrival, Lane, Lanes, Limits, Phase};
use crate::leaving::{Door, Leaving, leaving, send_away};
use crate::seats::{Guest, NoSeat, Seats};
use crate::spread::Spread;
use crate::{Answer, Service, encode};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often time limits are looked at.
const TURN: Duration = Duration::from_millis(250);
/// What has been refused is logged at most so often.
const TELL_EVERY: Duration = Duration::from_secs(10);
/// A single write may block for so long; all of an answer has a limit besides.
const WRITE: Duration = Duration::from_secs(5);
/// A connection that is about to be seated waits at most so many times so long.
const SEATING: (u32, Duration) = (25, Duration::from_millis(2));
/// Failures in a row after which the listening socket is opened anew.
const BROKEN: u32 = 20;
const BACKLOG: i32 = 512;

/// What all threads of a server share.
pub(crate) struct Shared<S> {
    pub service: S,
    pub bounds: Bounds,
    pub door: Door,
    lanes: Mutex<Lanes<Arc<TcpStream>>>,
    seats: Arc<Seats>,
    spread: Mutex<Spread>,
    started: Instant,
    /// Bytes that large bodies may still take.
    bodies: AtomicUsize,
    stopping: AtomicBool,
    accept_failed: AtomicU64,
    reopened: AtomicU64,
    not_seated: AtomicU64,
    most_open: AtomicUsize,
}

impl<S: Service> Shared<S> {
    pub fn lanes(&self) -> MutexGuard<'_, Lanes<Arc<TcpStream>>> {
        self.lanes.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// When somebody turned away should come back, in seconds.
    pub fn come_back(&self, least: u32) -> u32 {
        let second = self.started.elapsed().as_secs();
        let mut s = self.spread.lock().unwrap_or_else(|e| e.into_inner());
        s.next(second, least, &mut rand::rng())
    }

    /// Takes memory for a large body, until the booking is dropped.
    pub fn book(&self, bytes: usize) -> Option<Booking<'_>> {
        let take = |left: usize| left.checked_sub(bytes);
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let bodies = &self.bodies;
        let taken = bodies.fetch_update(set, fetch, take);
        taken.ok().map(|_| Booking { bodies, bytes })
    }

    /// Turned away before it has said anything: told why, and when to try
    /// again, without waiting for anything.
    fn turn_away(&self, stream: Arc<TcpStream>) {
        self.not_seated.fetch_add(1, Ordering::Relaxed);
        let a = Answer::later("too many connections", self.come_back(1));
        if stream.set_nonblocking(true).is_ok() {
            let mut to = &*stream;
            let _ = to.write_all(&encode(&a, true, false));
            send_away(&self.door, stream);
        }
    }

    fn arrive(self: &Arc<Self>, stream: TcpStream) {
        let stream = Arc::new(stream);
        let mut tries = 0..SEATING.0;
        let admitted = loop {
            let mut lanes = self.lanes();
            let arrival = lanes.arrive(Instant::now(), stream.clone());
            self.most_open.fetch_max(lanes.open(), Ordering::Relaxed);
            drop(lanes);
            match arrival {
                Arrival::Admitted(id) => break Some(id),
                Arrival::Instead(id, other) => {
                    let _ = other.shutdown(Shutdown::Read);
                    break Some(id);
                }
                // What comes meanwhile waits in the system's queue.
                Arrival::Refused if tries.next().is_some() => std::thread::sleep(SEATING.1),
                Arrival::Refused => break None,
            }
        };
        let Some(id) = admitted else {
            return self.turn_away(stream);
        };
        let mut guest = Guest { id, stream };
        loop {
            let shared = self.clone();
            let serve = move |g: Guest| conn::serve(&shared, g);
            guest = match self.seats.seat(guest, serve) {
                Ok(()) => return,
                // Those that were told to go need a moment for it.
                Err(NoSeat::NotYet(g)) if tries.next().is_some() => {
                    std::thread::sleep(SEATING.1);
                    g
                }
                Err(NoSeat::NotYet(g) | NoSeat::NoThread(g)) => {
                    guest = g;
                    break;
                }
            };
        }
        self.lanes().left(guest.id);
        self.turn_away(guest.stream);
    }

    /// Accepts until told to stop. Nothing that can go wrong here ends it.
    fn accept(self: &Arc<Self>, addr: SocketAddr, listener: TcpListener) {
        let mut spare = listener.try_clone().ok();
        let mut listener = Some(listener);
        let mut failures = 0;
        while !self.stopping() {
            let Some(l) = &listener else {
                // The address may be in use for a while, or the system short of
                // everything: whatever it is, it may pass.
                match listen(addr) {
                    Ok(l) => {
                        spare = l.try_clone().ok();
                        listener = Some(l);
                        failures = 0;
                        tracing::warn!(%addr, "listening again");
                    }
                    Err(e) => {
                        tracing::error!(%addr, error = %e, "can't listen");
                        std::thread::sleep(Duration::from_millis(500));
                    }
                }
                continue;
            };
            match l.accept() {
                Ok((stream, _)) => {
                    failures = 0;
                    match self.stopping() {
                        false => self.arrive(stream),
                        true => self.turn_away(Arc::new(stream)),
                    }
                    spare = spare.or_else(|| l.try_clone().ok());
                }
                Err(e) => {
                    use std::io::ErrorKind::*;
                    if matches!(e.kind(), Interrupted | WouldBlock | TimedOut) {
                        continue;
                    }
                    // Gone before we came to it: nobody's failure.
                    if matches!(e.kind(), ConnectionAborted | ConnectionReset) {
                        continue;
                    }
                    failures += 1;
                    let n = self.accept_failed.fetch_add(1, Ordering::Relaxed);
                    if n.is_power_of_two() || n.is_multiple_of(1000) {
                        tracing::error!(error = %e, times = n + 1, "accepting failed");
                    }
                    if failures > BROKEN {
                        (listener, spare) = (None, None);
                        self.reopened.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    // Most likely out of descriptors. The longest idle gives
                    // up its own, and the spare one is used to say no.
                    if let Some(h) = self.lanes().spare_one(Instant::now()) {
                        let _ = h.shutdown(Shutdown::Read);
                    }
                    if spare.take().is_some()
                        && l.set_nonblocking(true).is_ok()
                        && let Ok((stream, _)) = l.accept()
                    {
                        self.turn_away(Arc::new(stream));
                    }
                    let _ = l.set_nonblocking(false);
                    std::thread::sleep(Duration::from_millis(10));
                    spare = spare.or_else(|| l.try_clone().ok());
                }
            }
        }
    }

    /// Holds everybody to the time limits until told to stop.
    fn keep_time(&self, mut leaving: Leaving, stopped: Receiver<()>) {
        let mut told = (Instant::now(), 0);
        while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(TURN) {
            let now = Instant::now();
            let late = self.lanes().overdue(now);
            for (h, phase) in late {
                // Who doesn't read gets no more; the others are told why.
                let how = match phase {
                    Phase::Write => Shutdown::Both,
                    _ => Shutdown::Read,
                };
                let _ = h.shutdown(how);
            }
            leaving.turn(now);
            if now - told.0 > TELL_EVERY {
                let f = self.figures();
                let n = f.turned_away + f.lanes.values().map(|l| l.lost()).sum::<u64>();
                if n > told.1 {
                    let since = n - told.1;
                    tracing::warn!(since, open = f.open, threads = f.threads, lanes = ?f.lanes,
                        turned_away = f.turned_away, "connections were refused or ended");
                }
                told = (now, n);
            }
        }
    }

    fn figures(&self) -> Figures {
        let (threads, most_threads, no_thread) = self.seats.threads();
        let l = self.lanes();
        let one = |lane: Lane| {
            let c = l.counts(lane);
            let f = LaneFigures {
                open: l.used(lane),
                idle: l.idle(lane),
                guaranteed: self.bounds.guaranteed[lane as usize],
                requests: c.requests,
                refused: c.refused,
                made_room: c.made_room,
                too_slow: c.too_slow,
            };
            (lane, f)
        };
        Figures {
            bounds: self.bounds,
            open: l.open(),
            most_open: self.most_open.load(Ordering::Relaxed),
            threads,
            most_threads,
            lanes: Lane::ALL.into_iter().map(one).collect(),
            turned_away: self.not_seated.load(Ordering::Relaxed),
            accept_failed: self.accept_failed.load(Ordering::Relaxed),
            listener_reopened: self.reopened.load(Ordering::Relaxed),
            no_thread,
            body_bytes_free: self.bodies.load(Ordering::Relaxed),
        }
    }
}

/// Memory that a body takes. It gives itself back, whichever way a request ends.
pub(crate) struct Booking<'a> {
    bodies: &'a AtomicUsize,
    bytes: usize,
}

impl Drop for Booking<'_> {
    fn drop(&mut self) {
        self.bodies.fetch_add(self.bytes, Ordering::SeqCst);
    }
}

/// What operators see of a lane; counts are since the start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LaneFigures {
    pub open: usize,
    pub idle: usize,
    pub guaranteed: usize,
    pub requests: u64,
    pub refused: u64,
    pub made_room: u64,
    pub too_slow: u64,
}

impl LaneFigures {
    fn lost(&self) -> u64 {
        self.refused + self.made_room + self.too_slow
    }
}

/// What operators see of the connections; counts are since the start.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    pub bounds: Bounds,
    pub open: usize,
    pub most_open: usize,
    pub threads: usize,
    pub most_threads: usize,
    pub lanes: BTreeMap<Lane, LaneFigures>,
    /// Got 503 before they had said anything.
    pub turned_away: u64,
    /// Accepting failed, as it does when descriptors run out.
    pub accept_failed: u64,
    /// The listening socket was given up and opened anew.
    pub listener_reopened: u64,
    /// Threads that could not be started.
    pub no_thread: u64,
    pub body_bytes_free: usize,
}

/// A server at work; dropped, it stops.
pub struct Server<S: Service> {
    shared: Arc<Shared<S>>,
    addr: SocketAddr,
    stop: Sender<()>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let s = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    s.set_reuse_address(true)?;
    // Accepted connections inherit these.
    s.set_write_timeout(Some(WRITE))?;
    s.set_tcp_nodelay(true)?;
    s.bind(&addr.into())?;
    s.listen(BACKLOG)?;
    Ok(s.into())
}

impl<S: Service> Server<S> {
    /// Listens, and serves until [`Server::stop`].
    ///
    /// # Errors
    /// When the address can't be had or a first thread can't be started.
    pub fn start(
        addr: SocketAddr,
        bounds: Bounds,
        limits: Limits,
        service: S,
    ) -> std::io::Result<Server<S>> {
        let listener = listen(addr)?;
        let addr = listener.local_addr()?;
        let (door, leaving) = leaving();
        // A tenth of all connections in a second is a wave that can be served.
        let wave = (bounds.connections / 10).max(20) as u32;
        let shared = Arc::new(Shared {
            service,
            bounds,
            door,
            lanes: Mutex::new(Lanes::new(bounds, limits)),
            seats: Arc::new(Seats::new(bounds.connections)),
            spread: Mutex::new(Spread::new(wave)),
            started: Instant::now(),
            bodies: AtomicUsize::new(bounds.body_bytes),
            stopping: AtomicBool::new(false),
            accept_failed: AtomicU64::new(0),
            reopened: AtomicU64::new(0),
            not_seated: AtomicU64::new(0),
            most_open: AtomicUsize::new(0),
        });
        let (stop, stopped) = bounded(1);
        let named = |name: &str| std::thread::Builder::new().name(name.into());
        let s = shared.clone();
        let accept = named("accept").spawn(move || s.accept(addr, listener))?;
        let s = shared.clone();
        let time = named("time-limits").spawn(move || s.keep_time(leaving, stopped))?;
        Ok(Server {
            shared,
            addr,
            stop,
            threads: vec![accept, time],
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn figures(&self) -> Figures {
        self.shared.figures()
    }

    pub fn service(&self) -> &S {
        &self.shared.service
    }

    /// Accepts no more and closes what is idle. Requests under way get their
    /// answers, with `Connection: close`.
    pub fn close(&self) {
        if self.shared.stopping.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        let idle = self.shared.lanes().close(Instant::now());
        for h in idle {
            let _ = h.shutdown(Shutdown::Read);
        }
        for g in self.shared.seats.close() {
            self.shared.lanes().left(g.id);
            self.shared.turn_away(g.stream);
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
        while self.shared.seats.threads().0 > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = self.stop.try_send(());
        let done = self.shared.seats.threads().0 == 0;
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
        done
    }
}

impl<S: Service> Drop for Server<S> {
    fn drop(&mut self) {
        if !self.threads.is_empty() {
            self.end(Duration::ZERO);
        }
    }
}
