//! A hollow worker with its sockets: how its reports go out, and what it does
//! with the responses.

use super::Shared;
use super::workers::{read_all, write_all};
use crate::counters::{Counterpart, Refusal};
use crate::http::{Response, encode_request, parse_response};
use crate::interference::TroubleKind;
use crate::machine::{Context, InFlight, Machine};
use hookworks::wire::worker::{Commands, Redirect, Report, ReportResponse};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A report without a response for so long has failed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// A worker tries the next controller so much later.
const NEXT_CONTROLLER_AFTER: Duration = Duration::from_secs(1);
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
    pub controller: usize,
    pub not_before: Instant,
    /// The report is sent again, to another controller.
    pub again: bool,
    pub connection: Option<Outbound>,
    pub in_flight: Option<InFlight>,
    /// A report on its way to another region.
    pub leaving: Option<(Instant, Vec<u8>)>,
    /// A response on its way from there.
    pub arriving: Option<(Instant, Response)>,
    /// Commands that are carried out later.
    pub late_commands: Vec<LateCommand>,
    /// The earliest time in the heap of wakes.
    pub queued: Option<Instant>,
}

/// A direct command that is carried out later than it was sent.
pub(super) struct LateCommand {
    pub due: Instant,
    pub body: Vec<u8>,
    /// It was carried out and answered before.
    pub is_repeated: bool,
}

impl Worker {
    pub fn next_wake(&self) -> Instant {
        let report = match self.in_flight {
            Some(sent) => sent.sent + REPORT_TIMEOUT,
            None => self.next_report(),
        };
        let ways = [
            self.leaving.as_ref().map(|l| l.0),
            self.arriving.as_ref().map(|a| a.0),
            Some(report),
            self.late_commands.iter().map(|late| late.due).min(),
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
            l.zone_of_controller(self.controller),
        )
    }

    /// Does what is due by now.
    pub fn act(&mut self, shared: &Shared, registry: &Registry, token: Token, spread: f64) {
        let now = Instant::now();
        self.pass_time(shared, now);
        self.carry_out_late(shared, now);
        self.take_arrived(shared, now);
        self.time_out(shared, now);
        if self.in_flight.is_none() && self.next_report() <= now {
            self.begin(shared, now, spread);
        }
        self.send_leaving(shared, registry, token, now);
        self.count_losses(shared);
    }

    fn pass_time(&mut self, shared: &Shared, now: Instant) {
        if self.machine.change_due() <= now {
            let mut judge = shared.judge();
            self.machine.pass_time(&mut Context {
                now,
                judge: &mut judge,
            });
        }
    }

    /// A command is carried out later.
    pub fn hold_command(&mut self, command: LateCommand) {
        self.late_commands.push(command);
    }

    /// Carries out late commands that are due, if token and session still match.
    fn carry_out_late(&mut self, shared: &Shared, now: Instant) {
        let (due, later) = std::mem::take(&mut self.late_commands)
            .into_iter()
            .partition(|late| late.due <= now);
        self.late_commands = later;
        let due: Vec<LateCommand> = due;
        for late in due {
            let Ok(orders) = serde_json::from_slice::<Commands>(&late.body) else {
                continue;
            };
            let mut judge = shared.judge();
            let mut context = Context {
                now,
                judge: &mut judge,
            };
            if !late.is_repeated {
                self.machine.commanded(&mut context, &orders);
            } else if self.machine.commanded_again(&mut context, &orders) {
                shared.interference.count(TroubleKind::RepeatedCommands);
            }
        }
    }

    fn take_arrived(&mut self, shared: &Shared, now: Instant) {
        if let Some((_, response)) = self.arriving.take_if(|(at, _)| *at <= now) {
            self.answered(shared, &response);
        }
    }

    fn time_out(&mut self, shared: &Shared, now: Instant) {
        let is_late = |f: InFlight| f.sent + REPORT_TIMEOUT <= now;
        if self.in_flight.is_some_and(is_late) {
            self.failed(shared, Refusal::Timeout);
        }
    }

    /// When the next report is sent if none is in flight.
    fn next_report(&self) -> Instant {
        match self.again {
            true => self.not_before,
            false => self.machine.report_due().max(self.not_before),
        }
    }

    fn send_leaving(&mut self, shared: &Shared, registry: &Registry, token: Token, now: Instant) {
        let Some((_, bytes)) = self.leaving.take_if(|(at, _)| *at <= now) else {
            return;
        };
        let is_cut = self.is_cut(shared);
        if is_cut {
            shared.interference.count(TroubleKind::ZoneCut);
        }
        if !is_cut && self.send(shared, registry, token, &bytes).is_err() {
            self.failed(shared, Refusal::Connection);
        }
    }

    /// Moves what the machine has counted to the run's counters.
    fn count_losses(&mut self, shared: &Shared) {
        let lost = std::mem::take(&mut self.machine.lost);
        let lease_ends = std::mem::take(&mut self.machine.lease_ends);
        let counters = &shared.counters;
        counters.lost_tasks.fetch_add(lost, Ordering::Relaxed);
        counters.lease_ends.fetch_add(lease_ends, Ordering::Relaxed);
    }

    fn begin(&mut self, shared: &Shared, now: Instant, spread: f64) {
        self.again = false;
        let (report, sent): (Report, InFlight) = self.machine.begin_report(now, spread);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let host = shared.layout.controller(self.controller).to_string();
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
            let mut stream = TcpStream::connect(shared.layout.controller(self.controller))?;
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            self.connection = Some(Outbound {
                stream,
                connected: false,
                out: vec![],
                input: vec![],
            });
        }
        let to = shared.layout.controller(self.controller);
        shared.interference.report_sent(to, bytes);
        shared
            .counters
            .add(self.controller, Counterpart::Reports, bytes.len(), 0);
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
                let from = self.controller;
                shared.counters.add(from, Counterpart::Reports, 0, length);
                let at = Instant::now() + self.delay(shared);
                self.arriving = self.in_flight.map(|_| (at, response));
            }
            Ok(None) if done.is_ok() => {}
            // Closed between two reports: the next one opens another.
            Ok(None) if self.in_flight.is_none() => self.connection = None,
            _ if self.arriving.is_none() => self.failed(shared, Refusal::Connection),
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
            200 => self.heartbeat_answered(shared, sent, response),
            421 => self.redirected(shared, response),
            status => self.failed(shared, Refusal::Status(status)),
        }
    }

    fn heartbeat_answered(&mut self, shared: &Shared, sent: InFlight, response: &Response) {
        let Ok(answer) = serde_json::from_slice::<ReportResponse>(&response.body) else {
            return;
        };
        let mut judge = shared.judge();
        let mut context = Context {
            now: Instant::now(),
            judge: &mut judge,
        };
        self.machine.answered(&mut context, sent, &answer);
    }

    /// Reports again at once to the controller that the response names, if it is
    /// another one.
    fn redirected(&mut self, shared: &Shared, response: &Response) {
        let redirect = serde_json::from_slice::<Redirect>(&response.body);
        let leader = redirect.ok().and_then(|r| r.leader);
        let mut all = 0..shared.layout.controllers;
        let named = all.find(|n| Some(shared.layout.label(*n)) == leader);
        match named.filter(|n| *n != self.controller) {
            Some(controller) => {
                self.connection = None;
                self.controller = controller;
                self.again = true;
                self.not_before = Instant::now();
            }
            None => self.next_controller(shared),
        }
    }

    fn failed(&mut self, shared: &Shared, why: Refusal) {
        if !self.is_cut(shared) {
            shared.counters.count_refusal(why);
        }
        self.next_controller(shared);
    }

    fn next_controller(&mut self, shared: &Shared) {
        self.in_flight = None;
        self.leaving = None;
        self.arriving = None;
        self.connection = None;
        self.controller = (self.controller + 1) % shared.layout.controllers;
        self.again = true;
        self.not_before = Instant::now() + NEXT_CONTROLLER_AFTER;
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
