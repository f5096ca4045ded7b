//! The loop of one connection's thread: requests in, answers out, one after the
//! other.

use crate::connection_table::{ConnectionId, RequestDecision};
use crate::head::{self, Framing, Head, MAX_BODY, MAX_HEAD};
use crate::lingering::close_after_answer;
use crate::phase::{CloseReason, Phase};
use crate::request_class::RequestClass;
use crate::shared::{BodyReservation, Shared};
use crate::thread_pool::Connection;
use crate::{Answer, Reply, Route, Service};
use chunked_transfer::Decoder;
use crossbeam_channel::bounded;
use http::Method;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Bytes read at a time of a head.
const HEAD_CHUNK: usize = 1024;
/// Bytes read at a time of a body.
const BODY_CHUNK: usize = 16 * 1024;
/// Bodies up to so many bytes need no reservation.
const SMALL_BODY: usize = 8 * 1024;
/// The service has timeouts of its own below this.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// How a connection ends.
enum Ending {
    /// Without an answer.
    Silent,
    /// With this last answer.
    Answer(Answer),
    /// Its last answer has been written.
    Answered,
}

struct Handler<'a, S> {
    shared: &'a Shared<S>,
    id: ConnectionId,
    stream: &'a TcpStream,
    /// What was read and not used yet.
    buffer: Vec<u8>,
    /// No request has come on this connection yet.
    fresh: bool,
}

/// Serves a connection until its end.
pub(crate) fn serve<S: Service>(shared: &Shared<S>, connection: Connection) {
    let mut handler = Handler {
        shared,
        id: connection.id,
        stream: &connection.stream,
        buffer: vec![],
        fresh: true,
    };
    let ending = match handler.enter_phase(Phase::FirstHead) {
        Some(reason) => handler.closed_for(reason),
        // It came while the server was closing: its answer is due all the same.
        // A connection whose thread started a moment too late once got none.
        None if shared.stopping() => handler.closed_for(CloseReason::Reclaimed),
        None => loop {
            if let Err(ending) = handler.serve_request() {
                break ending;
            }
        },
    };
    let answered = match ending {
        Ending::Silent => false,
        Ending::Answered => true,
        Ending::Answer(mut a) => {
            a.retry_after = a.retry_after.map(|s| shared.retry_after(s));
            handler.write_answer(&a, true, false).is_ok()
        }
    };
    shared.connections().remove(connection.id);
    if answered {
        close_after_answer(&shared.lingering, connection.stream);
    }
}

/// Bytes read; 0 at the end, whatever the reason.
fn read(mut from: &TcpStream, into: &mut [u8]) -> usize {
    loop {
        match from.read(into) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            r => return r.unwrap_or(0),
        }
    }
}

impl<'a, S: Service> Handler<'a, S> {
    /// One request and its answer.
    fn serve_request(&mut self) -> Result<(), Ending> {
        let (head, taken) = self.head()?;
        self.buffer.drain(..taken);
        let (class, request) =
            match self
                .shared
                .service
                .route(&head.method, &head.path, &head.query)
            {
                Route::Respond(class, a) => (class, Err(a)),
                Route::Handle(class, r) => (class, Ok(r)),
            };
        self.admit(class)?;
        self.fresh = false;
        let (body, reserved) = self.body(&head)?;
        let asked = Instant::now();
        let answer = match request {
            Err(a) => a,
            Ok(r) => {
                if let Some(reason) = self.enter_phase(Phase::Handling) {
                    return Err(self.closed_for(reason));
                }
                let (to, answer) = bounded(1);
                self.shared.service.handle(r, body, Reply { to, asked });
                let none = |_| Answer::later("no answer in time", 1);
                answer.recv_timeout(SERVICE_TIMEOUT).unwrap_or_else(none)
            }
        };
        drop(reserved);
        self.answer(class, &head, answer, asked)
    }

    fn answer(
        &mut self,
        class: RequestClass,
        head: &Head,
        mut a: Answer,
        asked: Instant,
    ) -> Result<(), Ending> {
        let mut connections = self.shared.connections();
        let closing = connections.enter_phase(self.id, Phase::Write, Instant::now());
        let close = !head.keep_alive || closing.is_some() || connections.is_nearly_full(class);
        drop(connections);
        let close = close || self.shared.stopping();
        // Checked last: this process may have been suspended since the answer was
        // made, while another one told its user something newer.
        if a.is_stale(asked) {
            a = Answer::later("no longer certain", 1);
        }
        if class == RequestClass::Users {
            a.retry_after = a.retry_after.map(|s| self.shared.retry_after(s));
        }
        let omit_body = head.method == Method::HEAD;
        if self.write_answer(&a, close, omit_body).is_err() {
            return Err(Ending::Silent);
        }
        if close {
            return Err(Ending::Answered);
        }
        if self.buffer.is_empty() {
            self.buffer = vec![];
        }
        match self.enter_phase(Phase::Idle) {
            None if self.shared.stopping() => Err(Ending::Silent),
            None => Ok(()),
            Some(_) => Err(Ending::Silent),
        }
    }

    fn write_answer(&self, a: &Answer, close: bool, omit_body: bool) -> std::io::Result<()> {
        let mut to = self.stream;
        to.write_all(&head::encode(a, close, omit_body))
    }

    fn enter_phase(&self, phase: Phase) -> Option<CloseReason> {
        self.shared
            .connections()
            .enter_phase(self.id, phase, Instant::now())
    }

    /// Reads the head of the next request, as far as it is not here yet.
    fn head(&mut self) -> Result<(Head, usize), Ending> {
        let mut seen = 0;
        let mut started = false;
        loop {
            let whole = head::may_be_complete(&self.buffer, seen) || self.buffer.len() >= MAX_HEAD;
            if whole && let Some(found) = head::parse(&self.buffer).map_err(Ending::Answer)? {
                return Ok(found);
            }
            if !self.buffer.is_empty() && !std::mem::replace(&mut started, true) {
                let mut connections = self.shared.connections();
                if !connections.head_started(self.id, Instant::now()) {
                    let reason = connections
                        .close_reason(self.id)
                        .unwrap_or(CloseReason::Reclaimed);
                    drop(connections);
                    return Err(self.closed_for(reason));
                }
            }
            seen = self.buffer.len();
            if !self.fill() {
                let reason = self.shared.connections().close_reason(self.id);
                return Err(match reason {
                    // Between two requests there is nothing to answer.
                    Some(reason) if self.fresh || !self.buffer.is_empty() => {
                        self.closed_for(reason)
                    }
                    _ => Ending::Silent,
                });
            }
        }
    }

    /// Reads some more; false at the end. By way of the stack, so that a connection
    /// that waits holds no memory for what may come.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; HEAD_CHUNK];
        let got = read(self.stream, &mut chunk);
        self.buffer.extend_from_slice(&chunk[..got]);
        got > 0
    }

    /// Reads up to so many bytes of a body that is known to come; false at the end.
    fn fill_large(&mut self, most: usize) -> bool {
        let at = self.buffer.len();
        self.buffer.resize(at + most, 0);
        let got = read(self.stream, &mut self.buffer[at..]);
        self.buffer.truncate(at + got);
        got > 0
    }

    fn closed_for(&self, reason: CloseReason) -> Ending {
        Ending::Answer(match reason {
            CloseReason::Reclaimed => Answer::later("too many connections", 1),
            CloseReason::TimedOut(_) => Answer::error(408, "too slow"),
        })
    }

    /// Finds a connection slot in the request's class, or reclaims one.
    fn admit(&mut self, class: RequestClass) -> Result<(), Ending> {
        let classify = |reclaim| {
            let mut connections = self.shared.connections();
            connections.classify(self.id, class, reclaim, Instant::now())
        };
        // For a worker that another controller has a slot for, none is reclaimed.
        let mut verdict = classify(class != RequestClass::Workers);
        let mut elsewhere = false;
        if matches!(verdict, RequestDecision::Full) && class == RequestClass::Workers {
            elsewhere = self.shared.service.reserve_elsewhere();
            if !elsewhere {
                verdict = classify(true);
            }
        }
        match verdict {
            RequestDecision::Proceed => Ok(()),
            RequestDecision::ProceedReplacing(other) => {
                let _ = other.shutdown(Shutdown::Read);
                Ok(())
            }
            RequestDecision::Full => {
                self.shared.connections().record_refusal(class);
                Err(Ending::Answer(
                    self.shared.service.no_capacity(class, elsewhere),
                ))
            }
            RequestDecision::Closing(reason) => Err(self.closed_for(reason)),
        }
    }

    /// The body, and the memory reserved for it.
    fn body(&mut self, head: &Head) -> Result<(Vec<u8>, Option<BodyReservation<'a>>), Ending> {
        let length = match head.framing {
            Framing::None => return Ok((vec![], None)),
            Framing::Length(n) => n,
            Framing::Chunked => MAX_BODY,
        };
        let mut reserved = None;
        if length > SMALL_BODY {
            let full = || Ending::Answer(Answer::later("too many large bodies", 1));
            reserved = Some(self.shared.reserve_body(length).ok_or_else(full)?);
        }
        Ok((self.read_body(head, length)?, reserved))
    }

    fn read_body(&mut self, head: &Head, length: usize) -> Result<Vec<u8>, Ending> {
        if head.expects_continue && self.buffer.is_empty() {
            let mut to = self.stream;
            if to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return Err(Ending::Silent);
            }
        }
        if head.framing == Framing::Chunked {
            return self.chunked();
        }
        while self.buffer.len() < length {
            let missing = length - self.buffer.len();
            if !self.fill_large(missing.min(BODY_CHUNK)) {
                return Err(self.incomplete_body());
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn chunked(&mut self) -> Result<Vec<u8>, Ending> {
        let mut body = vec![];
        let mut source = std::mem::take(&mut self.buffer);
        let all = (&source[..]).chain(self.stream);
        // The framing itself may take as much again, and no more.
        let mut all = all.take(2 * MAX_BODY as u64);
        let read = Decoder::new(&mut all)
            .take(MAX_BODY as u64 + 1)
            .read_to_end(&mut body);
        let unread = all.get_ref().get_ref().0.len();
        self.buffer = source.split_off(source.len() - unread);
        match read {
            Ok(_) if body.len() > MAX_BODY => Err(Ending::Answer(head::too_large())),
            Ok(_) => Ok(body),
            Err(_) => Err(self.incomplete_body()),
        }
    }

    /// The body ended too early, or was cut off.
    fn incomplete_body(&self) -> Ending {
        match self.shared.connections().close_reason(self.id) {
            Some(reason) => self.closed_for(reason),
            None => Ending::Answer(Answer::error(400, "body: incomplete")),
        }
    }
}
