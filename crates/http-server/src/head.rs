//! Parsing of request heads, and encoding of answers: HTTP/1.1 as in RFC 9112.
//! Pipelining is not used, but harmless.

use crate::Answer;
use http::{Method, StatusCode, Uri};
use std::fmt::Write;
use std::time::SystemTime;

/// A longer head gets 431.
pub const MAX_HEAD: usize = 16 * 1024;
/// A longer body gets 413.
pub const MAX_BODY: usize = 64 * 1024;
/// More header fields get 431.
const MAX_FIELDS: usize = 64;

/// How the body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// By `Content-Length`.
    Length(usize),
    /// By `Transfer-Encoding: chunked`.
    Chunked,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// Without the query.
    pub path: String,
    /// The part behind `?`, still encoded.
    pub query: String,
    /// How the body is delimited.
    pub framing: Framing,
    /// The client waits for 100 before it sends the body.
    pub expects_continue: bool,
    /// The connection stays open after the answer.
    pub keep_alive: bool,
}

fn malformed(why: &str) -> Answer {
    Answer::error(400, why)
}

/// Whether the end of a head may have come with the bytes from `from` on;
/// spares parsing a head again for every byte that trickles in.
pub fn may_be_complete(buf: &[u8], from: usize) -> bool {
    let tail = &buf[from.saturating_sub(3).min(buf.len())..];
    tail.windows(2).any(|w| w == b"\n\n") || tail.windows(3).any(|w| w == b"\n\r\n")
}

/// Reads a head; `None` as long as it is incomplete. Besides the head tells
/// how many bytes it took.
///
/// # Errors
/// The answer to what is no head, after which the connection has to end, as
/// nobody knows where the next request begins.
pub fn parse(buf: &[u8]) -> Result<Option<(Head, usize)>, Answer> {
    let too_long = || Answer::error(431, "head: more than 16 KiB or 64 fields");
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let taken = match request.parse(buf) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(too_long()),
        Err(e) => return Err(malformed(&format!("head: {e}"))),
    };
    let method = request.method.unwrap_or("").parse::<Method>();
    let target = request.path.unwrap_or("").parse::<Uri>();
    let (Ok(method), Ok(target)) = (method, target) else {
        return Err(malformed("head: method or target"));
    };
    let old = request.version == Some(0);
    let mut head = Head {
        method,
        path: target.path().to_string(),
        query: target.query().unwrap_or("").to_string(),
        framing: Framing::None,
        expects_continue: false,
        keep_alive: !old,
    };
    let mut length: Option<&str> = None;
    for f in request.headers.iter() {
        let is = |name: &str| f.name.eq_ignore_ascii_case(name);
        let value = || std::str::from_utf8(f.value).map(str::trim);
        if is("Content-Length") {
            let v = value().map_err(|_| malformed("Content-Length"))?;
            if length.is_some_and(|l| l != v) {
                return Err(malformed("Content-Length: two of them"));
            }
            length = Some(v);
        } else if is("Transfer-Encoding") {
            if head.framing == Framing::Chunked || old {
                return Err(malformed("Transfer-Encoding"));
            }
            if !value().is_ok_and(|v| v.eq_ignore_ascii_case("chunked")) {
                return Err(Answer::error(501, "Transfer-Encoding: only chunked"));
            }
            head.framing = Framing::Chunked;
        } else if is("Expect") {
            if !value().is_ok_and(|v| v.eq_ignore_ascii_case("100-continue")) {
                return Err(Answer::error(417, "Expect: only 100-continue"));
            }
            head.expects_continue = !old;
        } else if is("Connection") {
            for token in value().unwrap_or("").split(',').map(str::trim) {
                if token.eq_ignore_ascii_case("close") {
                    head.keep_alive = false;
                } else if token.eq_ignore_ascii_case("keep-alive") && old {
                    head.keep_alive = true;
                }
            }
        }
    }
    if let Some(l) = length {
        if head.framing == Framing::Chunked {
            // Two lengths for one body: an old way to smuggle requests in.
            return Err(malformed("Content-Length beside Transfer-Encoding"));
        }
        if l.is_empty() || !l.bytes().all(|b| b.is_ascii_digit()) {
            return Err(malformed("Content-Length"));
        }
        let n: usize = l.parse().unwrap_or(usize::MAX);
        if n > MAX_BODY {
            return Err(too_large());
        }
        head.framing = Framing::Length(n);
    }
    Ok(Some((head, taken)))
}

/// The answer to a body past [`MAX_BODY`].
pub fn too_large() -> Answer {
    Answer::error(413, "body: more than 64 KiB")
}

/// An answer as it goes over the wire; `close` says that the connection ends
/// with it, `omit_body` leaves the body out (HEAD).
pub fn encode(a: &Answer, close: bool, omit_body: bool) -> Vec<u8> {
    let reason = StatusCode::from_u16(a.status)
        .ok()
        .and_then(|s| s.canonical_reason())
        .unwrap_or("Unknown");
    let mut head = String::with_capacity(200);
    let date = httpdate::HttpDate::from(SystemTime::now());
    // Writing into a string can't fail.
    let _ = write!(
        head,
        "HTTP/1.1 {} {reason}\r\nDate: {date}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        a.status,
        a.body.len()
    );
    if let Some(s) = a.retry_after {
        let _ = write!(head, "Retry-After: {s}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    if !omit_body {
        out.extend_from_slice(a.body.as_bytes());
    }
    out
}
