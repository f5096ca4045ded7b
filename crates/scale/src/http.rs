//! Just enough HTTP/1.1 for the stand-ins: whole messages with a
//! `Content-Length`, out of and into byte buffers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Most header lines of a message.
const MOST_HEADERS: usize = 32;
/// No message of the protocol is longer.
const MOST_BYTES: usize = 8 << 20;
/// How often a thread that waits for bytes looks whether it is to end.
const LOOK: Duration = Duration::from_millis(200);

/// The other side broke the rules of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed HTTP message")]
pub struct Malformed;

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// GET, POST or DELETE.
    pub method: String,
    /// What is before `?`.
    pub path: String,
    /// What is behind `?`.
    pub query: String,
    /// What follows the headers.
    pub body: Vec<u8>,
    /// The sender closes the connection after this.
    pub close: bool,
}

impl Request {
    /// The value of a parameter behind `?`.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs.find(|(n, _)| n == name).map(|(_, v)| v.into_owned())
    }
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// 200 and so on.
    pub status: u16,
    /// What follows the headers.
    pub body: Vec<u8>,
    /// Seconds after which the sender asks to be tried again.
    pub retry_after: Option<u32>,
    /// The sender closes the connection after this.
    pub close: bool,
}

impl Response {
    /// A response with this JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
        Response {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after: None,
            close: false,
        }
    }

    /// A response with `{"error": text}`.
    pub fn error(status: u16, text: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": text }))
    }

    /// The bytes of a response.
    pub fn encode(&self) -> Vec<u8> {
        let status = self.status;
        let length = self.body.len();
        let close = if self.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{close}\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The bytes of a request.
pub fn encode_request(method: &str, path: &str, host: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn field<'h>(headers: &'h [httparse::Header<'_>], name: &str) -> Option<&'h str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

fn says_close(headers: &[httparse::Header<'_>]) -> bool {
    field(headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
}

/// The body behind a head of `head` bytes, if all of it is here.
fn body_of(
    bytes: &[u8],
    head: usize,
    headers: &[httparse::Header<'_>],
) -> Result<Option<Vec<u8>>, Malformed> {
    let length = match field(headers, "content-length") {
        Some(text) => text.parse::<usize>().map_err(|_| Malformed)?,
        None => 0,
    };
    if length > MOST_BYTES || field(headers, "transfer-encoding").is_some() {
        return Err(Malformed);
    }
    Ok(bytes.get(head..head + length).map(<[u8]>::to_vec))
}

/// The first request in `bytes` and its length, if it is here whole.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed),
    };
    let target = parsed.path.unwrap_or("/").to_string();
    let method = parsed.method.unwrap_or("").to_string();
    let Some(body) = body_of(bytes, head, parsed.headers)? else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let length = head + body.len();
    let request = Request {
        method,
        path: path.to_string(),
        query: query.to_string(),
        body,
        close: says_close(parsed.headers),
    };
    Ok(Some((request, length)))
}

/// The first response in `bytes` and its length, if it is here whole.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed),
    };
    let status = parsed.code.ok_or(Malformed)?;
    let Some(body) = body_of(bytes, head, parsed.headers)? else {
        return Ok(None);
    };
    let length = head + body.len();
    let response = Response {
        status,
        body,
        retry_after: field(parsed.headers, "retry-after").and_then(|v| v.parse().ok()),
        close: says_close(parsed.headers),
    };
    Ok(Some((response, length)))
}

/// A client's connection that stays open between requests.
pub struct Client {
    address: SocketAddr,
    stream: TcpStream,
}

/// A response with the bytes that went out and came in for it.
pub struct Exchange {
    /// What came in.
    pub response: Response,
    /// Bytes of the request.
    pub sent: usize,
    /// Bytes of the response.
    pub received: usize,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    /// When nobody accepts within `timeout`.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Client { address, stream })
    }

    /// Sends a request and waits for its response, `timeout` in all.
    ///
    /// # Errors
    /// When no whole response came in time.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> std::io::Result<Exchange> {
        let until = Instant::now() + timeout;
        let request = encode_request(method, path, &self.address.to_string(), body);
        self.stream.set_write_timeout(Some(timeout))?;
        self.stream.write_all(&request)?;
        let mut bytes = vec![];
        let mut chunk = [0; 16 * 1024];
        loop {
            let parsed = parse_response(&bytes).map_err(std::io::Error::other)?;
            if let Some((response, received)) = parsed {
                let sent = request.len();
                return Ok(Exchange {
                    response,
                    sent,
                    received,
                });
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            match self.stream.read(&mut chunk)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => bytes.extend_from_slice(&chunk[..n]),
            }
        }
    }
}

/// What a request and its response took, for who counts.
pub type Count = dyn Fn(usize, usize) + Send + Sync;
/// What answers requests; none: the connection ends without an answer.
pub type Handler = dyn Fn(&Request) -> Option<Response> + Send + Sync;

/// Serves `listener` with a thread for each connection, until `stop` is set.
/// `count` is told the bytes received and sent for each request.
pub fn serve(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    handler: Arc<Handler>,
    count: Arc<Count>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    std::thread::Builder::new()
        .name("serve".into())
        .spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let (stop, handler, count) = (stop.clone(), handler.clone(), count.clone());
                let thread = std::thread::Builder::new().name("served".into());
                let _ = thread.spawn(move || {
                    let _ = serve_one(stream, &stop, &*handler, &*count);
                });
            }
        })
}

fn serve_one(
    mut stream: TcpStream,
    stop: &AtomicBool,
    handler: &Handler,
    count: &Count,
) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(LOOK))?;
    let mut bytes = vec![];
    let mut chunk = [0; 16 * 1024];
    while !stop.load(Ordering::Relaxed) {
        let parsed = parse_request(&bytes).map_err(std::io::Error::other)?;
        if let Some((request, length)) = parsed {
            let Some(response) = handler(&request) else {
                return Ok(());
            };
            let response = response.encode();
            stream.write_all(&response)?;
            count(length, response.len());
            bytes.drain(..length);
            if request.close {
                return Ok(());
            }
            continue;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
