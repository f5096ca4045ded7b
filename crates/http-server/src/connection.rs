//! One connection's routine: requests in, answers out, one after the other.

use crate::head::{self, Framing, Head, MAX_BODY, MAX_HEAD};
use crate::lanes::{ConnId, Lane, Phase, Verdict, Why};
use crate::leaving::send_away;
use crate::seats::Guest;
use crate::server::{Booking, Shared};
use crate::{Answer, Reply, Route, Service};
use chunked_transfer::Decoder;
use crossbeam_channel::bounded;
use http::Method;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Read at a time of a head.
const CHUNK: usize = 1024;
/// Read at a time of a body that is longer.
const LARGE: usize = 16 * 1024;
/// Bodies up to this length need no leave.
const SMALL: usize = 8 * 1024;
/// The service has limits of its own below this.
const SERVICE: Duration = Duration::from_secs(10);

/// How a connection ends.
enum End {
    /// Nothing is to be said any more.
    Close,
    /// A last answer, which the other side has to be able to read.
    Last(Answer),
    /// The last answer was given already.
    Said,
}

struct Conn<'a, S> {
    shared: &'a Shared<S>,
    id: ConnId,
    stream: &'a TcpStream,
    /// What was read and not used yet.
    buf: Vec<u8>,
    /// Nothing was ever asked on this connection.
    fresh: bool,
}

/// Serves a connection until its end.
pub(crate) fn serve<S: Service>(shared: &Shared<S>, guest: Guest) {
    let mut conn = Conn {
        shared,
        id: guest.id,
        stream: &guest.stream,
        buf: vec![],
        fresh: true,
    };
    let end = match conn.enter(Phase::Silent) {
        Some(why) => conn.told(why),
        // It came while the server was closing: its answer is due all the same.
        // One whose thread began a moment too late once got none.
        None if shared.stopping() => conn.told(Why::Room),
        None => loop {
            if let Err(end) = conn.one() {
                break end;
            }
        },
    };
    let last = match end {
        End::Close => false,
        End::Said => true,
        End::Last(mut a) => {
            a.retry_after = a.retry_after.map(|s| shared.come_back(s));
            conn.say(&a, true, false).is_ok()
        }
    };
    shared.lanes().left(guest.id);
    if last {
        send_away(&shared.door, guest.stream);
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

impl<'a, S: Service> Conn<'a, S> {
    /// One request and its answer.
    fn one(&mut self) -> Result<(), End> {
        let (head, taken) = self.head()?;
        self.buf.drain(..taken);
        let (lane, request) = match self
            .shared
            .service
            .route(&head.method, &head.path, &head.query)
        {
            Route::Now(lane, a) => (lane, Err(a)),
            Route::Take(lane, r) => (lane, Ok(r)),
        };
        self.admit(lane)?;
        self.fresh = false;
        let (body, booked) = self.body(&head)?;
        let asked = Instant::now();
        let answer = match request {
            Err(a) => a,
            Ok(r) => {
                if let Some(why) = self.enter(Phase::Service) {
                    return Err(self.told(why));
                }
                let (to, answer) = bounded(1);
                self.shared.service.take(r, body, Reply { to, asked });
                let none = |_| Answer::later("no answer in time", 1);
                answer.recv_timeout(SERVICE).unwrap_or_else(none)
            }
        };
        drop(booked);
        self.answer(lane, &head, answer, asked)
    }

    fn answer(
        &mut self,
        lane: Lane,
        head: &Head,
        mut a: Answer,
        asked: Instant,
    ) -> Result<(), End> {
        let mut lanes = self.shared.lanes();
        let told = lanes.enter(self.id, Phase::Write, Instant::now());
        let close = !head.keep_alive || told.is_some() || lanes.crowded(lane);
        drop(lanes);
        let close = close || self.shared.stopping();
        // Looked at last: this process may have stood still since the answer was
        // made, while another one told its user something newer.
        if a.is_stale(asked) {
            a = Answer::later("no longer certain", 1);
        }
        if lane == Lane::Users {
            a.retry_after = a.retry_after.map(|s| self.shared.come_back(s));
        }
        let bare = head.method == Method::HEAD;
        if self.say(&a, close, bare).is_err() {
            return Err(End::Close);
        }
        if close {
            return Err(End::Said);
        }
        if self.buf.is_empty() {
            self.buf = vec![];
        }
        match self.enter(Phase::Idle) {
            None if self.shared.stopping() => Err(End::Close),
            None => Ok(()),
            Some(_) => Err(End::Close),
        }
    }

    fn say(&self, a: &Answer, close: bool, bare: bool) -> std::io::Result<()> {
        let mut to = self.stream;
        to.write_all(&head::encode(a, close, bare))
    }

    fn enter(&self, phase: Phase) -> Option<Why> {
        self.shared.lanes().enter(self.id, phase, Instant::now())
    }

    /// Reads the head of the next request, as far as it is not here yet.
    fn head(&mut self) -> Result<(Head, usize), End> {
        let mut seen = 0;
        let mut began = false;
        loop {
            let whole = head::may_be_whole(&self.buf, seen) || self.buf.len() >= MAX_HEAD;
            if whole && let Some(found) = head::parse(&self.buf).map_err(End::Last)? {
                return Ok(found);
            }
            if !self.buf.is_empty() && !std::mem::replace(&mut began, true) {
                let mut lanes = self.shared.lanes();
                if !lanes.began(self.id, Instant::now()) {
                    let why = lanes.told(self.id).unwrap_or(Why::Room);
                    drop(lanes);
                    return Err(self.told(why));
                }
            }
            seen = self.buf.len();
            if !self.fill() {
                let why = self.shared.lanes().told(self.id);
                return Err(match why {
                    // Between two requests there is nothing to answer.
                    Some(why) if self.fresh || !self.buf.is_empty() => self.told(why),
                    _ => End::Close,
                });
            }
        }
    }

    /// Reads some more. False: there is no more. By way of the stack, so that
    /// a connection that waits holds no memory for what may come.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; CHUNK];
        let got = read(self.stream, &mut chunk);
        self.buf.extend_from_slice(&chunk[..got]);
        got > 0
    }

    /// Reads up to so many bytes of a body that is known to come.
    fn fill_large(&mut self, most: usize) -> bool {
        let at = self.buf.len();
        self.buf.resize(at + most, 0);
        let got = read(self.stream, &mut self.buf[at..]);
        self.buf.truncate(at + got);
        got > 0
    }

    fn told(&self, why: Why) -> End {
        End::Last(match why {
            Why::Room => Answer::later("too many connections", 1),
            Why::Slow(_) => Answer::error(408, "too slow"),
        })
    }

    /// The request's lane has room for this connection, or makes some.
    fn admit(&mut self, lane: Lane) -> Result<(), End> {
        let routed = |make_room| {
            let mut lanes = self.shared.lanes();
            lanes.routed(self.id, lane, make_room, Instant::now())
        };
        // A worker that another controller has room for makes nobody leave.
        let mut verdict = routed(lane != Lane::Workers);
        let mut elsewhere = false;
        if matches!(verdict, Verdict::Full) && lane == Lane::Workers {
            elsewhere = self.shared.service.elsewhere();
            if !elsewhere {
                verdict = routed(true);
            }
        }
        match verdict {
            Verdict::Go => Ok(()),
            Verdict::GoInstead(other) => {
                let _ = other.shutdown(Shutdown::Read);
                Ok(())
            }
            Verdict::Full => {
                self.shared.lanes().refused(lane);
                Err(End::Last(self.shared.service.full(lane, elsewhere)))
            }
            Verdict::Gone(why) => Err(self.told(why)),
        }
    }

    /// The body, and what was booked for it.
    fn body(&mut self, head: &Head) -> Result<(Vec<u8>, Option<Booking<'a>>), End> {
        let length = match head.framing {
            Framing::None => return Ok((vec![], None)),
            Framing::Length(n) => n,
            Framing::Chunked => MAX_BODY,
        };
        let mut booked = None;
        if length > SMALL {
            let full = || End::Last(Answer::later("too many large bodies", 1));
            booked = Some(self.shared.book(length).ok_or_else(full)?);
        }
        Ok((self.read_body(head, length)?, booked))
    }

    fn read_body(&mut self, head: &Head, length: usize) -> Result<Vec<u8>, End> {
        if head.expects && self.buf.is_empty() {
            let mut to = self.stream;
            if to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return Err(End::Close);
            }
        }
        if head.framing == Framing::Chunked {
            return self.chunked();
        }
        while self.buf.len() < length {
            let missing = length - self.buf.len();
            if !self.fill_large(missing.min(LARGE)) {
                return Err(self.broken_off());
            }
        }
        let rest = self.buf.split_off(length);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn chunked(&mut self) -> Result<Vec<u8>, End> {
        let mut body = vec![];
        let mut source = std::mem::take(&mut self.buf);
        let all = (&source[..]).chain(self.stream);
        // The framing itself may take as much again, and no more.
        let mut all = all.take(2 * MAX_BODY as u64);
        let read = Decoder::new(&mut all)
            .take(MAX_BODY as u64 + 1)
            .read_to_end(&mut body);
        let unread = all.get_ref().get_ref().0.len();
        self.buf = source.split_off(source.len() - unread);
        match read {
            Ok(_) if body.len() > MAX_BODY => Err(End::Last(head::too_large())),
            Ok(_) => Ok(body),
            Err(_) => Err(self.broken_off()),
        }
    }

    /// The body ended too early, or was cut off.
    fn broken_off(&self) -> End {
        match self.shared.lanes().told(self.id) {
            Some(why) => self.told(why),
            None => End::Last(Answer::error(400, "body: incomplete")),
        }
    }
}
