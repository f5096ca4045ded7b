//! The hollow workers' sockets: some threads, each with many workers on
//! non-blocking sockets. What a worker does is [`crate::machine`]'s affair.

use super::Shared;
use super::commands::Inbound;
use super::reports::Worker;
use crate::machine::{Context, Heartbeat, Machine, Place};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A thread that nothing happens to looks so often whether it is to end.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
const EVENTS: usize = 1024;
/// Wakes the thread; no socket has it.
const WAKE: Token = Token(usize::MAX);
/// Tokens from here on are connections on which commands come.
const INBOUND: usize = 1 << 40;

enum Command {
    Add(usize, Box<Place>, std::net::TcpListener),
    Remove(usize, Sender<()>),
}

/// A thread with its share of the workers.
struct Shard {
    shared: Arc<Shared>,
    heartbeat: Heartbeat,
    poll: Poll,
    rng: StdRng,
    workers: Vec<Option<Worker>>,
    slots: HashMap<usize, usize>,
    wakes: BinaryHeap<Reverse<(Instant, usize)>>,
    inbound: HashMap<usize, Inbound>,
    next_inbound: usize,
    commands: Receiver<Command>,
}

struct Handle {
    commands: Sender<Command>,
    waker: Waker,
}

/// All hollow workers.
pub struct Workers {
    shared: Arc<Shared>,
    shards: Vec<Handle>,
}

impl Workers {
    /// Starts `threads` threads without workers; they end once told to stop.
    ///
    /// # Errors
    /// When the system gives no thread or no poll.
    pub fn start(
        shared: &Arc<Shared>,
        heartbeat: Heartbeat,
        threads: usize,
        seed: u64,
    ) -> std::io::Result<(Workers, Vec<JoinHandle<()>>)> {
        let mut shards = vec![];
        let mut running = vec![];
        for number in 0..threads {
            let poll = Poll::new()?;
            let waker = Waker::new(poll.registry(), WAKE)?;
            let (send, commands) = unbounded();
            let mut shard = Shard {
                shared: shared.clone(),
                heartbeat,
                poll,
                rng: StdRng::seed_from_u64(seed.wrapping_add(number as u64)),
                workers: vec![],
                slots: HashMap::new(),
                wakes: BinaryHeap::new(),
                inbound: HashMap::new(),
                next_inbound: INBOUND,
                commands,
            };
            let thread = std::thread::Builder::new().name("workers".into());
            running.push(thread.spawn(move || shard.run())?);
            shards.push(Handle {
                commands: send,
                waker,
            });
        }
        let shared = shared.clone();
        Ok((Workers { shared, shards }, running))
    }

    fn shard(&self, number: usize) -> &Handle {
        &self.shards[number % self.shards.len()]
    }

    /// A machine is up: its worker listens, and begins to report.
    ///
    /// # Errors
    /// When its address can't be had.
    pub fn add(&self, number: usize, place: Place) -> std::io::Result<()> {
        let listener = std::net::TcpListener::bind(self.shared.layout.worker(number))?;
        listener.set_nonblocking(true)?;
        let shard = self.shard(number);
        let command = Command::Add(number, Box::new(place), listener);
        let _ = shard.commands.send(command);
        shard.waker.wake()
    }

    /// Machines are gone, and all that is on them, when this returns.
    pub fn remove(&self, numbers: &[usize]) {
        let (done, wait) = bounded(numbers.len());
        for number in numbers {
            let shard = self.shard(*number);
            let _ = shard.commands.send(Command::Remove(*number, done.clone()));
            let _ = shard.waker.wake();
        }
        drop(done);
        for () in &wait {}
    }
}

impl Shard {
    fn run(&mut self) {
        let mut events = Events::with_capacity(EVENTS);
        while !self.shared.stopping() {
            let now = Instant::now();
            let next = self.wakes.peek().map(|Reverse((at, _))| *at);
            let wait = next.map_or(LONGEST_WAIT, |at| at.saturating_duration_since(now));
            let polled = self.poll.poll(&mut events, Some(wait.min(LONGEST_WAIT)));
            if polled.is_err_and(|e| e.kind() != ErrorKind::Interrupted) {
                return;
            }
            self.carry_out_commands();
            for event in &events {
                self.handle_event(event.token());
            }
            self.wake_due();
        }
    }

    fn carry_out_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Add(number, place, listener) => self.add(number, *place, listener),
                Command::Remove(number, done) => {
                    self.remove(number);
                    let _ = done.send(());
                }
            }
        }
    }

    fn add(&mut self, number: usize, place: Place, listener: std::net::TcpListener) {
        let now = Instant::now();
        let slot = self.workers.len();
        let mut listener = TcpListener::from_std(listener);
        let token = Token(2 * slot + 1);
        let registered = self
            .poll
            .registry()
            .register(&mut listener, token, Interest::READABLE);
        if registered.is_err() {
            return;
        }
        let first = now
            + self
                .heartbeat
                .interval
                .mul_f64(self.rng.random_range(0.0..1.0));
        let worker = Worker {
            machine: Machine::new(place, self.heartbeat, now, first),
            listener,
            controller: number % self.shared.layout.controllers,
            not_before: now,
            again: false,
            connection: None,
            in_flight: None,
            leaving: None,
            arriving: None,
            late_commands: vec![],
            queued: None,
        };
        self.workers.push(Some(worker));
        self.slots.insert(number, slot);
        self.schedule(slot);
    }

    fn remove(&mut self, number: usize) {
        let slot = self.slots.remove(&number);
        let Some(mut worker) = slot.and_then(|s| self.workers[s].take()) else {
            return;
        };
        let mut judge = self.shared.judge();
        let now = Instant::now();
        worker.machine.forget_all(&mut Context {
            now,
            judge: &mut judge,
        });
        drop(judge);
        let lost = worker.machine.lost;
        self.shared
            .counters
            .lost_tasks
            .fetch_add(lost, Ordering::Relaxed);
        let _ = self.poll.registry().deregister(&mut worker.listener);
        self.inbound.retain(|_, i| Some(i.slot) != slot);
    }

    fn handle_event(&mut self, token: Token) {
        if token == WAKE {
            return;
        }
        if token.0 >= INBOUND {
            return self.command_came(token);
        }
        let slot = token.0 / 2;
        if token.0 % 2 == 1 {
            return self.accept(slot);
        }
        let Some(worker) = self.workers.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        worker.report_socket_ready(&self.shared);
        self.wake(slot);
    }

    fn accept(&mut self, slot: usize) {
        let Some(worker) = self.workers.get(slot).and_then(Option::as_ref) else {
            return;
        };
        while let Ok((mut stream, _)) = worker.listener.accept() {
            let token = Token(self.next_inbound);
            self.next_inbound += 1;
            let interest = Interest::READABLE;
            if self
                .poll
                .registry()
                .register(&mut stream, token, interest)
                .is_ok()
            {
                self.inbound.insert(token.0, Inbound::new(stream, slot));
            }
        }
    }

    fn command_came(&mut self, token: Token) {
        let Some(mut inbound) = self.inbound.remove(&token.0) else {
            return;
        };
        let slot = inbound.slot;
        let worker = self.workers.get_mut(slot).and_then(Option::as_mut);
        let Some(worker) = worker else {
            return;
        };
        if inbound.ready(worker, &self.shared) {
            self.inbound.insert(token.0, inbound);
        }
        self.wake(slot);
    }

    fn wake_due(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, slot))) = self.wakes.peek().copied() {
            if at > now {
                return;
            }
            self.wakes.pop();
            if let Some(Some(worker)) = self.workers.get_mut(slot)
                && worker.queued == Some(at)
            {
                worker.queued = None;
                self.wake(slot);
            }
        }
    }

    /// Lets a worker do what is due, and notes when it is to be woken next.
    fn wake(&mut self, slot: usize) {
        let registry = self.poll.registry();
        let Some(Some(worker)) = self.workers.get_mut(slot) else {
            return;
        };
        let spread = self.rng.random_range(0.0..1.0);
        worker.act(&self.shared, registry, Token(2 * slot), spread);
        self.schedule(slot);
    }

    fn schedule(&mut self, slot: usize) {
        let Some(Some(worker)) = self.workers.get_mut(slot) else {
            return;
        };
        let next = worker.next_wake();
        if worker.queued.is_none_or(|q| next < q) {
            worker.queued = Some(next);
            self.wakes.push(Reverse((next, slot)));
        }
    }
}

/// Writes as much as the socket takes.
pub(super) fn write_all(stream: &mut TcpStream, out: &mut Vec<u8>) -> std::io::Result<()> {
    while !out.is_empty() {
        match stream.write(out) {
            Ok(n) => drop(out.drain(..n)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads all that is there; an error also means that the other side closed.
pub(super) fn read_all(stream: &mut TcpStream, input: &mut Vec<u8>) -> std::io::Result<()> {
    let mut chunk = [0; 8 * 1024];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
