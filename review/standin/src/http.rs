//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a
//! client with a connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(k, _)| *k == name)
            .map(|(_, v)| decode(v))
    }
}

fn decode(v: &str) -> String {
    let b = v.as_bytes();
    let mut out = vec![];
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            if let Ok(c) = u8::from_str_radix(&v[i + 1..i + 3], 16) {
                out.push(c);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The answer, or none: the connection is closed without one.
pub type Answer = Option<(u16, String)>;

/// Serves until `stop`; the listener is given bound.
pub fn serve<F>(listener: TcpListener, stop: Arc<AtomicBool>, handler: F)
where
    F: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (handler, stop) = (handler.clone(), stop.clone());
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
            let built = std::thread::Builder::new().stack_size(512 * 1024);
            let _ = built.spawn(move || connection(stream, &stop, &*handler));
        }
    });
}

fn connection(mut stream: TcpStream, stop: &AtomicBool, handler: &dyn Fn(Request) -> Answer) {
    let mut buffer = vec![];
    while !stop.load(Ordering::SeqCst) {
        let Some((head, body)) = read_message(&mut stream, &mut buffer, None) else {
            return;
        };
        let mut first = head.lines().next().unwrap_or("").split(' ');
        let method = first.next().unwrap_or("").to_string();
        let target = first.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.to_string(),
            body,
        };
        let Some((status, body)) = handler(request) else {
            return;
        };
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let close = field(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let close_field = if close { "Connection: close\r\n" } else { "" };
        let out = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close_field}\r\n{body}",
            body.len()
        );
        if stream.write_all(out.as_bytes()).is_err() || close {
            return;
        }
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(k, _)| k.trim().eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim())
}

/// Reads the head and the body of a message.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    let mut more = |buffer: &mut Vec<u8>, stream: &mut TcpStream| -> Option<()> {
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => None,
            Ok(got) => {
                buffer.extend_from_slice(&chunk[..got]);
                Some(())
            }
        }
    };
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(buffer, stream)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length: usize = field(&head, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + length {
        more(buffer, stream)?;
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some((head, body))
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<f64>,
}

/// One request on a connection of its own.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(timeout));
    let out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(out.as_bytes()).ok()?;
    let mut buffer = vec![];
    let (head, body) = read_message(&mut stream, &mut buffer, Some(until))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        body,
        retry_after: field(&head, "retry-after").and_then(|v| v.parse().ok()),
    })
}
