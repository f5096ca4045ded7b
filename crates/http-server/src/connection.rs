//! One connection: requests in, answers out, one after the other.
//!
//! Sockets never block. A pool thread serves a connection for as long as something
//! can be done at once. Then the connection goes back to [`crate::readiness`], to
//! wait for its socket, or into a [`PendingAnswer`], to wait for the service; the
//! thread is free for another one.

use crate::body::BodyDecoder;
use crate::connection_table::{ConnectionId, RequestDecision};
use crate::head::{self, Framing, Head, MAX_HEAD};
use crate::lingering::close_after_answer;
use crate::pending_answer::PendingAnswer;
use crate::phase::{CloseReason, Phase};
use crate::readiness::Interest;
use crate::request_class::RequestClass;
use crate::shared::{MemoryReservation, Shared};
use crate::{Answer, Reply, Route, Service};
use http::Method;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// Bytes read at a time while the length of what comes is not known.
const READ_CHUNK: usize = 4 * 1024;
/// Bytes read at a time of a body of known length.
const BODY_CHUNK: usize = 16 * 1024;
/// Bodies up to so many bytes need no reservation.
const SMALL_BODY: usize = 8 * 1024;
/// Heads up to so many bytes need no reservation.
const SMALL_HEAD: usize = 4 * 1024;

/// An open connection, wherever it is waiting.
pub(crate) struct Connection<R> {
    pub id: ConnectionId,
    pub stream: Arc<TcpStream>,
    /// The system has been asked to watch its socket.
    pub watched: bool,
    /// No request has come on it yet.
    fresh: bool,
    /// What was read and not used yet.
    buffer: Vec<u8>,
    stage: Stage<R>,
}

/// How far a connection has come with its present request.
enum Stage<R> {
    Opened,
    Head(HeadProgress),
    Body(Box<PartialRequest<R>>),
    Write(PartialAnswer),
}

#[derive(Default)]
struct HeadProgress {
    /// Bytes of the buffer that were searched for the end of the head.
    searched: usize,
    /// The table knows that the head has begun.
    started: bool,
    reservation: Option<MemoryReservation>,
}

/// A request whose head is complete.
struct PartialRequest<R> {
    /// What the service made of the head, or its answer already.
    request: Result<R, Answer>,
    decoder: BodyDecoder,
    traits: RequestTraits,
    reservation: Option<MemoryReservation>,
}

/// What of a request's head matters for its answer.
#[derive(Clone, Copy)]
struct RequestTraits {
    class: RequestClass,
    keep_alive: bool,
    /// To a HEAD request, which is answered without a body.
    omit_body: bool,
}

/// A request that the service has taken.
pub(crate) struct TakenRequest {
    /// When it was complete.
    pub asked: Instant,
    traits: RequestTraits,
    /// Kept until the answer is there.
    _reservation: Option<MemoryReservation>,
}

/// An answer of which a part may have been written.
struct PartialAnswer {
    bytes: Vec<u8>,
    written: usize,
    /// The connection ends with it.
    close: bool,
}

/// Work for a pool thread.
pub(crate) enum Work<R> {
    /// A new connection, or one whose socket is ready.
    Serve(Connection<R>),
    /// The service has answered.
    Respond(Box<AnsweredRequest<R>>),
}

/// A request with its answer, to be written.
pub(crate) struct AnsweredRequest<R> {
    pub connection: Connection<R>,
    pub request: TakenRequest,
    pub answer: Answer,
}

/// What a connection does next.
enum Next<S: Service> {
    /// Goes on at once.
    Continue,
    /// Waits for its socket.
    AwaitSocket(Interest),
    /// Waits for the service.
    AwaitAnswer(Arc<PendingAnswer<S>>, TakenRequest),
}

/// How a connection ends.
enum Ending {
    /// Without an answer.
    Silent,
    /// With this last answer.
    Answer(Answer),
    /// Its last answer has been written.
    Answered,
}

/// What reading from a socket came to.
enum ReadOutcome {
    Some,
    /// Nothing there yet.
    WouldBlock,
    /// The end, whatever the reason.
    End,
}

impl<R> Connection<R> {
    pub fn new(id: ConnectionId, stream: Arc<TcpStream>) -> Connection<R> {
        Connection {
            id,
            stream,
            watched: false,
            fresh: true,
            buffer: vec![],
            stage: Stage::Opened,
        }
    }
}

struct Handler<'a, S: Service> {
    shared: &'a Arc<Shared<S>>,
    connection: Connection<S::Request>,
}

/// Serves a connection as far as it goes without waiting.
pub(crate) fn serve<S: Service>(shared: &Arc<Shared<S>>, work: Work<S::Request>) {
    let (connection, answered) = match work {
        Work::Serve(connection) => (connection, None),
        Work::Respond(it) => {
            shared.no_longer_pending(it.request.asked, it.connection.id);
            (it.connection, Some((it.request, it.answer)))
        }
    };
    let mut handler = Handler { shared, connection };
    let mut next = match answered {
        Some((request, answer)) => handler.answer(&request.traits, answer, request.asked),
        None => Ok(Next::Continue),
    };
    loop {
        next = match next {
            Ok(Next::Continue) => handler.advance(),
            Ok(Next::AwaitSocket(interest)) => return handler.await_socket(interest),
            Ok(Next::AwaitAnswer(pending, request)) => {
                match pending.park(shared, handler.connection, request) {
                    None => return,
                    Some(it) => {
                        handler = Handler {
                            shared,
                            connection: it.connection,
                        };
                        handler.answer(&it.request.traits, it.answer, it.request.asked)
                    }
                }
            }
            Err(ending) => return handler.end(ending),
        }
    }
}

fn read(mut from: &TcpStream, into: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match from.read(into) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl<S: Service> Handler<'_, S> {
    fn advance(&mut self) -> Result<Next<S>, Ending> {
        match &self.connection.stage {
            Stage::Opened => self.open(),
            Stage::Head(_) => self.read_head(),
            Stage::Body(_) => self.read_body(),
            Stage::Write(_) => self.write_rest(),
        }
    }

    fn open(&mut self) -> Result<Next<S>, Ending> {
        match self.enter_phase(Phase::FirstHead) {
            Some(reason) => Err(closed_for(reason)),
            // It came while the server was closing: its answer is due all the same.
            None if self.shared.stopping() => Err(closed_for(CloseReason::Reclaimed)),
            None => {
                self.connection.stage = Stage::Head(HeadProgress::default());
                Ok(Next::Continue)
            }
        }
    }

    /// Reads the head of the next request, as far as it is not here yet.
    fn read_head(&mut self) -> Result<Next<S>, Ending> {
        let id = self.connection.id;
        let Stage::Head(progress) = &mut self.connection.stage else {
            return Ok(Next::Continue);
        };
        let buffer = &self.connection.buffer;
        let complete = head::may_be_complete(buffer, progress.searched) || buffer.len() >= MAX_HEAD;
        if complete && let Some((head, taken)) = head::parse(buffer).map_err(Ending::Answer)? {
            self.connection.buffer.drain(..taken);
            return self.start_request(&head);
        }
        progress.searched = buffer.len();
        if !buffer.is_empty() && !std::mem::replace(&mut progress.started, true) {
            let mut connections = self.shared.connections();
            if !connections.head_started(id, Instant::now()) {
                let reason = connections.close_reason(id);
                return Err(closed_for(reason.unwrap_or(CloseReason::Reclaimed)));
            }
        }
        if buffer.len() > SMALL_HEAD && progress.reservation.is_none() {
            progress.reservation = Some(self.shared.reserve(MAX_HEAD).ok_or_else(out_of_memory)?);
        }
        match self.fill() {
            ReadOutcome::Some => Ok(Next::Continue),
            ReadOutcome::WouldBlock => Ok(Next::AwaitSocket(Interest::Read)),
            ReadOutcome::End => Err(self.ended_in_head()),
        }
    }

    fn ended_in_head(&self) -> Ending {
        let reason = self.shared.connections().close_reason(self.connection.id);
        match reason {
            // Between two requests there is nothing to answer.
            Some(reason) if self.connection.fresh || !self.connection.buffer.is_empty() => {
                closed_for(reason)
            }
            _ => Ending::Silent,
        }
    }

    /// A head is complete: finds its class a slot, and prepares for its body.
    fn start_request(&mut self, head: &Head) -> Result<Next<S>, Ending> {
        let route = self
            .shared
            .service
            .route(&head.method, &head.path, &head.query);
        let (class, request) = match route {
            Route::Respond(class, answer) => (class, Err(answer)),
            Route::Handle(class, request) => (class, Ok(request)),
        };
        self.admit(class)?;
        self.connection.fresh = false;
        let decoder = BodyDecoder::new(head.framing);
        let most = decoder.most_bytes();
        let reservation = match most > SMALL_BODY {
            true => Some(self.shared.reserve(most).ok_or_else(out_of_memory)?),
            false => None,
        };
        let body_is_due = head.framing != Framing::None && self.connection.buffer.is_empty();
        if head.expects_continue && body_is_due {
            let mut to = &*self.connection.stream;
            to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|_| Ending::Silent)?;
        }
        let traits = RequestTraits {
            class,
            keep_alive: head.keep_alive,
            omit_body: head.method == Method::HEAD,
        };
        self.connection.stage = Stage::Body(Box::new(PartialRequest {
            request,
            decoder,
            traits,
            reservation,
        }));
        Ok(Next::Continue)
    }

    /// Finds a connection slot in the request's class, or reclaims one.
    fn admit(&mut self, class: RequestClass) -> Result<(), Ending> {
        let classify = |reclaim| {
            let mut connections = self.shared.connections();
            connections.classify(self.connection.id, class, reclaim, Instant::now())
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
            RequestDecision::Closing(reason) => Err(closed_for(reason)),
        }
    }

    /// Reads the body, as far as it is not here yet, and hands the request over.
    fn read_body(&mut self) -> Result<Next<S>, Ending> {
        let connection = &mut self.connection;
        let Stage::Body(partial) = &mut connection.stage else {
            return Ok(Next::Continue);
        };
        let decoded = partial.decoder.decode(&mut connection.buffer);
        if let Some(body) = decoded.map_err(Ending::Answer)? {
            let stage = Stage::Head(HeadProgress::default());
            if let Stage::Body(partial) = std::mem::replace(&mut connection.stage, stage) {
                return self.handle(*partial, body);
            }
            return Ok(Next::Continue);
        }
        let outcome = match partial.decoder.missing_bytes(&connection.buffer) {
            Some(missing) => self.fill_known(missing.min(BODY_CHUNK)),
            None => self.fill(),
        };
        match outcome {
            ReadOutcome::Some => Ok(Next::Continue),
            ReadOutcome::WouldBlock => Ok(Next::AwaitSocket(Interest::Read)),
            ReadOutcome::End => Err(self.incomplete_body()),
        }
    }

    /// The body ended too early, or was cut off.
    fn incomplete_body(&self) -> Ending {
        match self.shared.connections().close_reason(self.connection.id) {
            Some(reason) => closed_for(reason),
            None => Ending::Answer(crate::body::incomplete()),
        }
    }

    /// A request is complete: it is answered, or handed to the service.
    fn handle(
        &mut self,
        partial: PartialRequest<S::Request>,
        body: Vec<u8>,
    ) -> Result<Next<S>, Ending> {
        let asked = Instant::now();
        // A connection that waits holds no memory for what may come.
        if self.connection.buffer.is_empty() {
            self.connection.buffer = vec![];
        }
        let request = match partial.request {
            Ok(request) => request,
            Err(answer) => return self.answer(&partial.traits, answer, asked),
        };
        if let Some(reason) = self.enter_phase(Phase::Handling) {
            return Err(closed_for(reason));
        }
        let Some(_handling) = self.shared.pool.begin_handling() else {
            let busy = Answer::later("too many requests under way", 1);
            return self.answer(&partial.traits, busy, asked);
        };
        let pending = PendingAnswer::new(self.shared);
        let reply = Reply::new(pending.clone(), asked);
        self.shared.service.handle(request, body, reply);
        let request = TakenRequest {
            asked,
            traits: partial.traits,
            _reservation: partial.reservation,
        };
        Ok(Next::AwaitAnswer(pending, request))
    }

    fn answer(
        &mut self,
        request: &RequestTraits,
        mut answer: Answer,
        asked: Instant,
    ) -> Result<Next<S>, Ending> {
        let mut connections = self.shared.connections();
        let closing = connections.enter_phase(self.connection.id, Phase::Write, Instant::now());
        let close =
            !request.keep_alive || closing.is_some() || connections.is_nearly_full(request.class);
        drop(connections);
        let close = close || self.shared.stopping();
        // Checked last: this process may have been suspended since the answer was
        // made, while another one told its user something newer.
        if answer.is_stale(asked) {
            answer = Answer::later("no longer certain", 1);
        }
        if request.class == RequestClass::Users {
            answer.retry_after = answer.retry_after.map(|s| self.shared.retry_after(s));
        }
        self.connection.stage = Stage::Write(PartialAnswer {
            bytes: head::encode(&answer, close, request.omit_body),
            written: 0,
            close,
        });
        Ok(Next::Continue)
    }

    /// Writes what is left of an answer.
    fn write_rest(&mut self) -> Result<Next<S>, Ending> {
        let connection = &mut self.connection;
        let Stage::Write(answer) = &mut connection.stage else {
            return Ok(Next::Continue);
        };
        let mut to = &*connection.stream;
        while answer.written < answer.bytes.len() {
            match to.write(&answer.bytes[answer.written..]) {
                Ok(0) => return Err(Ending::Silent),
                Ok(n) => answer.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return Ok(Next::AwaitSocket(Interest::Write));
                }
                Err(_) => return Err(Ending::Silent),
            }
        }
        if answer.close {
            return Err(Ending::Answered);
        }
        connection.stage = Stage::Head(HeadProgress::default());
        match self.enter_phase(Phase::Idle) {
            None if self.shared.stopping() => Err(Ending::Silent),
            // The next request is hardly ever here already.
            None if self.connection.buffer.is_empty() => Ok(Next::AwaitSocket(Interest::Read)),
            None => Ok(Next::Continue),
            Some(_) => Err(Ending::Silent),
        }
    }

    fn enter_phase(&self, phase: Phase) -> Option<CloseReason> {
        self.shared
            .connections()
            .enter_phase(self.connection.id, phase, Instant::now())
    }

    /// Reads some more, by way of the stack, so that the buffer grows only with what
    /// has come.
    fn fill(&mut self) -> ReadOutcome {
        let mut chunk = [0; READ_CHUNK];
        let result = read(&self.connection.stream, &mut chunk);
        if let Ok(got) = result {
            self.connection.buffer.extend_from_slice(&chunk[..got]);
        }
        ReadOutcome::of(&result)
    }

    /// Reads up to so many bytes that are known to come.
    fn fill_known(&mut self, most: usize) -> ReadOutcome {
        let buffer = &mut self.connection.buffer;
        let at = buffer.len();
        buffer.resize(at + most, 0);
        let result = read(&self.connection.stream, &mut buffer[at..]);
        buffer.truncate(at + result.as_ref().copied().unwrap_or(0));
        ReadOutcome::of(&result)
    }

    fn await_socket(self, interest: Interest) {
        let (shared, id) = (self.shared, self.connection.id);
        if let Err(connection) = shared.readiness.park(self.connection, interest) {
            tracing::error!(id = id.0, "the system does not watch a socket");
            Handler { shared, connection }.end(Ending::Silent);
        }
    }

    fn end(self, ending: Ending) {
        let stream = self.connection.stream;
        // Whoever has its last answer finds the memory given back.
        drop(self.connection.stage);
        let answered = match ending {
            Ending::Silent => false,
            Ending::Answered => true,
            Ending::Answer(mut answer) => {
                answer.retry_after = answer.retry_after.map(|s| self.shared.retry_after(s));
                let mut to = &*stream;
                to.write_all(&head::encode(&answer, true, false)).is_ok()
            }
        };
        if self.connection.watched {
            self.shared.readiness.forget(&stream);
        }
        self.shared.connections().remove(self.connection.id);
        if answered {
            close_after_answer(&self.shared.lingering, stream);
        }
    }
}

impl ReadOutcome {
    fn of(result: &std::io::Result<usize>) -> ReadOutcome {
        match result {
            Ok(n) if *n > 0 => ReadOutcome::Some,
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
            _ => ReadOutcome::End,
        }
    }
}

fn closed_for(reason: CloseReason) -> Ending {
    Ending::Answer(match reason {
        CloseReason::Reclaimed => Answer::later("too many connections", 1),
        CloseReason::TimedOut(_) => Answer::error(408, "too slow"),
    })
}

fn out_of_memory() -> Ending {
    Ending::Answer(Answer::later("too many large requests", 1))
}
