//! What controllers ask of workers directly: `POST /orders` and `GET /show`.

use super::Shared;
use super::reports::{LateCommand, Worker};
use super::workers::{read_all, write_all};
use crate::counters::Counterpart;
use crate::http::{Request, Response, parse_request};
use crate::machine::Context;
use hookworks::wire::worker::Commands;
use mio::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection of a controller to a worker. Only the leader commands, so its
/// bytes count for the leader.
pub(super) struct Inbound {
    stream: TcpStream,
    /// The worker's place in its thread.
    pub slot: usize,
    input: Vec<u8>,
    out: Vec<u8>,
}

impl Inbound {
    pub fn new(stream: TcpStream, slot: usize) -> Inbound {
        Inbound {
            stream,
            slot,
            input: vec![],
            out: vec![],
        }
    }

    /// Something came, or there is room to write. False: the connection ends.
    pub fn ready(&mut self, worker: &mut Worker, shared: &Shared) -> bool {
        let read = read_all(&mut self.stream, &mut self.input);
        if shared.is_cut(worker.machine.place.zone_number) {
            self.input.clear();
            return read.is_ok();
        }
        let mut close = false;
        while let Ok(Some((request, length))) = parse_request(&self.input) {
            self.input.drain(..length);
            if let Some(delay) = delay_of(shared, &request) {
                // Its sender gets no answer.
                worker.hold_command(LateCommand {
                    due: Instant::now() + delay,
                    body: request.body,
                    is_repeated: false,
                });
                return false;
            }
            let response = answer(worker, shared, &request).encode();
            let with = Counterpart::Commands;
            shared
                .counters
                .add(shared.leader(), with, response.len(), length);
            self.out.extend_from_slice(&response);
            close |= request.close;
        }
        let written = write_all(&mut self.stream, &mut self.out);
        read.is_ok() && written.is_ok() && !(close && self.out.is_empty())
    }
}

/// How long a command is held up; questions are not.
fn delay_of(shared: &Shared, request: &Request) -> Option<Duration> {
    let is_command = request.path == "/orders";
    is_command.then(|| shared.interference.command_delay())?
}

/// A command that was carried out may arrive once more.
fn maybe_repeat(worker: &mut Worker, shared: &Shared, body: &[u8]) {
    if let Some(delay) = shared.interference.repetition_delay() {
        worker.hold_command(LateCommand {
            due: Instant::now() + delay,
            body: body.to_vec(),
            is_repeated: true,
        });
    }
}

fn answer(worker: &mut Worker, shared: &Shared, r: &Request) -> Response {
    match (r.method.as_str(), r.path.as_str()) {
        ("GET", "/show") => Response::json(200, &worker.machine.report()),
        ("POST", "/orders") => {
            let Ok(orders) = serde_json::from_slice::<Commands>(&r.body) else {
                return Response::error(400, "malformed");
            };
            let mut judge = shared.judge();
            let now = Instant::now();
            let mut context = Context {
                now,
                judge: &mut judge,
            };
            let done = worker.machine.commanded(&mut context, &orders);
            if done {
                maybe_repeat(worker, shared, &r.body);
            }
            let status = if done { 200 } else { 409 };
            Response::json(status, &worker.machine.report())
        }
        _ => Response::error(400, "no such request"),
    }
}
