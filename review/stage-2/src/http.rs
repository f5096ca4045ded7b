//! Just enough HTTP/1.1 for the stand-ins.

use serde_json::Value;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// A status and a body; none: the connection ends without an answer.
pub type Answer = Option<(u16, Value)>;
pub type Handler = dyn Fn(&Request) -> Answer + Send + Sync;

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map(|h| h.1.as_str())
    }
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default().to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
        .collect();
    let mut message = Message { first, headers, body: vec![] };
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        match stream.read(&mut chunk)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Ok(Some(message))
}

fn serve_one(mut stream: TcpStream, handler: &Handler) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = vec![];
    while let Some(m) = read_message(&mut stream, &mut buffer)? {
        let mut words = m.first.split(' ');
        let method = words.next().unwrap_or_default().to_string();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let close = m.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let request = Request {
            method,
            path: path.into(),
            query: query.into(),
            body: m.body,
        };
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{body}",
            body.len(),
            if close { "Connection: close\r\n" } else { "" }
        );
        stream.write_all(text.as_bytes())?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Serves a free port of loopback; the address is returned.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_one(stream, &*handler);
            });
        }
    });
    address
}

/// One request over a connection of its own: status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<(u16, Value)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut buffer = vec![];
    let m = read_message(&mut stream, &mut buffer)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    let status = m.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok((status, serde_json::from_slice(&m.body).unwrap_or(Value::Null)))
}
