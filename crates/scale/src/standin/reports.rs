//! A hollow worker with its sockets: how its reports go out, and what it does
//! with the responses.

use super::Shared;
use super::workers::{read_all, write_all};
use crate::http::{Response, encode_request, parse_response};
use crate::machine::{InFlight, Machine, World};
use crate::tally::Counterpart;
use hookworks::wire::worker::{Redirect, Report, ReportAnswer};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A report without a response for so long has failed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// A worker tries the next controller so much later.
const NEXT_NODE_AFTER: Duration = Duration::from_secs(1);
/// A connection on which reports go out.
pub(super) struct Outbound {
    stream: TcpStream,
    connected: bool,
    out: Vec<u8>,
    input: Vec<u8>,
}

/// A machine with its sockets.
pub(super) struct Worker {
    pub machine: Machine,
    pub listener: TcpListener,
    pub node: usize,
    pub not_before: Instant,
    /// The report is sent again, to another controller.
    pub again: bool,
    pub connection: Option<Outbound>,
    pub in_flight: Option<InFlight>,
    /// A report on its way to another region.
    pub leaving: Option<(Instant, Vec<u8>)>,
    /// A response on its way from there.
    pub arriving: Option<(Instant, Response)>,
    /// The earliest time in the heap of wakes.
    pub queued: Option<Instant>,
}

impl Worker {
    pub fn next_wake(&self) -> Instant {
        let report = match self.in_flight {
            Some(sent) => sent.sent + REPORT_TIMEOUT,
            None if self.again => self.not_before,
            None => self.machine.report_due().max(self.not_before),
        };
        let ways = [
            self.leaving.as_ref().map(|l| l.0),
            self.arriving.as_ref().map(|a| a.0),
            Some(report),
        ];
        let ways = ways.into_iter().flatten();
        ways.fold(self.machine.change_due(), Instant::min)
    }

    fn is_cut(&self, shared: &Shared) -> bool {
        shared.is_cut(self.machine.place.zone_number)
    }

    fn delay(&self, shared: &Shared) -> Duration {
        let l = &shared.layout;
        l.delay(
            self.machine.place.zone_number,
            l.zone_of_controller(self.node),
        )
    }

    pub fn act(&mut self, shared: &Shared, registry: &Registry, token: Token, spread: f64) {
        let now = Instant::now();
        if self.machine.change_due() <= now {
            let mut judge = shared.judge();
            self.machine.pass_time(&mut World {
                now,
                judge: &mut judge,
            });
        }
        if self.arriving.as_ref().is_some_and(|(at, _)| *at <= now)
            && let Some((_, response)) = self.arriving.take()
        {
            self.answered(shared, &response);
        }
        if self
            .in_flight
            .is_some_and(|f| f.sent + REPORT_TIMEOUT <= now)
        {
            self.failed(shared);
        }
        if self.in_flight.is_none() {
            let due = match self.again {
                true => self.not_before,
                false => self.machine.report_due().max(self.not_before),
            };
            if due <= now {
                self.begin(shared, now, spread);
            }
        }
        if self.leaving.as_ref().is_some_and(|(at, _)| *at <= now)
            && let Some((_, bytes)) = self.leaving.take()
            && !self.is_cut(shared)
            && self.send(shared, registry, token, &bytes).is_err()
        {
            self.failed(shared);
        }
        let (lost, ends) = (self.machine.lost, self.machine.lease_ends);
        (self.machine.lost, self.machine.lease_ends) = (0, 0);
        shared.tally.lost_tasks.fetch_add(lost, Ordering::Relaxed);
        shared.tally.lease_ends.fetch_add(ends, Ordering::Relaxed);
    }

    fn begin(&mut self, shared: &Shared, now: Instant, spread: f64) {
        self.again = false;
        let (report, sent): (Report, InFlight) = self.machine.begin_report(now, spread);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let host = shared.layout.controller(self.node).to_string();
        let bytes = encode_request("POST", "/agent/beat", &host, &body);
        self.in_flight = Some(sent);
        self.leaving = Some((now + self.delay(shared), bytes));
    }

    fn send(
        &mut self,
        shared: &Shared,
        registry: &Registry,
        token: Token,
        bytes: &[u8],
    ) -> std::io::Result<()> {
        if self.connection.is_none() {
            let mut stream = TcpStream::connect(shared.layout.controller(self.node))?;
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            self.connection = Some(Outbound {
                stream,
                connected: false,
                out: vec![],
                input: vec![],
            });
        }
        shared
            .tally
            .add(self.node, Counterpart::Reports, bytes.len(), 0);
        match &mut self.connection {
            Some(c) => {
                c.out.extend_from_slice(bytes);
                c.write()
            }
            None => Ok(()),
        }
    }

    /// Something came, or there is room to write.
    pub fn report_socket_ready(&mut self, shared: &Shared) {
        let cut = self.is_cut(shared);
        let Some(c) = &mut self.connection else {
            return;
        };
        let done = c.write().and_then(|()| c.read());
        if cut {
            c.input.clear();
            return;
        }
        match parse_response(&c.input) {
            Ok(Some((response, length))) => {
                c.input.drain(..length);
                let from = self.node;
                shared.tally.add(from, Counterpart::Reports, 0, length);
                let at = Instant::now() + self.delay(shared);
                self.arriving = self.in_flight.map(|_| (at, response));
            }
            Ok(None) if done.is_ok() => {}
            // Closed between two reports: the next one opens another.
            Ok(None) if self.in_flight.is_none() => self.connection = None,
            _ if self.arriving.is_none() => self.failed(shared),
            _ => {}
        }
        if done.is_err() {
            self.connection = None;
        }
    }

    fn answered(&mut self, shared: &Shared, response: &Response) {
        let Some(sent) = self.in_flight.take() else {
            return;
        };
        if response.close {
            self.connection = None;
        }
        match response.status {
            200 => {
                let Ok(answer) = serde_json::from_slice::<ReportAnswer>(&response.body) else {
                    return;
                };
                let mut judge = shared.judge();
                let now = Instant::now();
                self.machine.answered(
                    &mut World {
                        now,
                        judge: &mut judge,
                    },
                    sent,
                    &answer,
                );
            }
            421 => {
                let leader = serde_json::from_slice::<Redirect>(&response.body);
                let leader = leader.ok().and_then(|r| r.leader);
                let all = 0..shared.layout.controllers;
                let named = all
                    .into_iter()
                    .find(|n| Some(shared.layout.label(*n)) == leader);
                match named.filter(|n| *n != self.node) {
                    Some(node) => {
                        self.connection = None;
                        self.node = node;
                        self.again = true;
                        self.not_before = Instant::now();
                    }
                    None => self.next_node(shared),
                }
            }
            _ => self.failed(shared),
        }
    }

    fn failed(&mut self, shared: &Shared) {
        if !self.is_cut(shared) {
            shared.tally.refusals.fetch_add(1, Ordering::Relaxed);
        }
        self.next_node(shared);
    }

    fn next_node(&mut self, shared: &Shared) {
        self.in_flight = None;
        self.leaving = None;
        self.arriving = None;
        self.connection = None;
        self.node = (self.node + 1) % shared.layout.controllers;
        self.again = true;
        self.not_before = Instant::now() + NEXT_NODE_AFTER;
    }
}

impl Outbound {
    fn write(&mut self) -> std::io::Result<()> {
        if !self.connected {
            if let Some(e) = self.stream.take_error()? {
                return Err(e);
            }
            match self.stream.peer_addr() {
                Ok(_) => self.connected = true,
                Err(_) => return Ok(()),
            }
            self.stream.set_nodelay(true)?;
        }
        write_all(&mut self.stream, &mut self.out)
    }

    fn read(&mut self) -> std::io::Result<()> {
        match self.connected {
            true => read_all(&mut self.stream, &mut self.input),
            false => Ok(()),
        }
    }
}
