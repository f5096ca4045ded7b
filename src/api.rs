//! The HTTP side: users, workers and health checks.

use crate::wire::peer::{Answer, Ask};
use crossbeam_channel::{Receiver, Sender};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

/// Largest request body.
const MAX_BODY: usize = 64 * 1024;
/// A client that sends or takes nothing for so long is dropped.
const IDLE: Duration = Duration::from_secs(60);
const READERS: usize = 4;
const WRITERS: usize = 2;

/// What the readers hand on.
pub enum Incoming {
    Ask(Request, Ask),
    Overview(Request),
}

fn listener(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    use socket2::{Domain, Socket, Type};
    let s = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    let _ = s.set_reuse_address(true);
    // Accepted connections inherit these, so a slow client holds up nobody.
    let _ = s.set_read_timeout(Some(IDLE));
    let _ = s.set_write_timeout(Some(Duration::from_secs(5)));
    let _ = s.set_tcp_nodelay(true);
    s.bind(&addr.into())?;
    s.listen(512)?;
    Ok(s.into())
}

/// Starts the server; answers go into the returned channel.
pub fn start(
    addr: SocketAddr,
    healthy: Arc<AtomicBool>,
    inbox: impl Fn(Incoming) -> bool + Send + Clone + 'static,
) -> std::io::Result<Sender<(Request, Answer)>> {
    let server = Server::from_listener(listener(addr)?, None).map_err(std::io::Error::other)?;
    let server = Arc::new(server);
    let (answers, queue) = crossbeam_channel::unbounded::<(Request, Answer)>();
    for _ in 0..WRITERS {
        let queue: Receiver<_> = queue.clone();
        crate::node::spawn("http-answer", move || {
            for (request, answer) in queue {
                respond(request, answer);
            }
        });
    }
    for _ in 0..READERS {
        let (server, healthy, inbox) = (server.clone(), healthy.clone(), inbox.clone());
        crate::node::spawn("http-read", move || {
            loop {
                let Ok(mut request) = server.recv() else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                match route(&mut request, &healthy) {
                    Ok(Routed::Ask(ask)) => {
                        inbox(Incoming::Ask(request, ask));
                    }
                    Ok(Routed::Overview) => {
                        inbox(Incoming::Overview(request));
                    }
                    Err(answer) => respond(request, answer),
                }
            }
        });
    }
    Ok(answers)
}

enum Routed {
    Ask(Ask),
    Overview,
}

fn route(request: &mut Request, healthy: &AtomicBool) -> Result<Routed, Answer> {
    let url = request.url().to_string();
    let path = url.split('?').next().unwrap_or("");
    let method = request.method().clone();
    let only = |m: Method| {
        if method == m {
            Ok(())
        } else {
            Err(Answer::error(405, "method not allowed"))
        }
    };
    match path {
        "/healthz" => {
            only(Method::Get)?;
            Err(if healthy.load(Ordering::Relaxed) {
                Answer::new(200, "{}".into())
            } else {
                Answer::error(503, "no leader in reach")
            })
        }
        "/v2/runs" => {
            only(Method::Post)?;
            body(request).map(|b| Routed::Ask(Ask::Submit(b)))
        }
        "/agent/beat" => {
            only(Method::Post)?;
            body(request).map(|b| Routed::Ask(Ask::Report(b)))
        }
        "/v2/overview" => {
            only(Method::Get)?;
            Ok(Routed::Overview)
        }
        _ => {
            let Some(id) = path.strip_prefix("/v2/runs/") else {
                return Err(Answer::error(404, "no such path"));
            };
            match id.split_once('/') {
                None => {
                    only(Method::Get)?;
                    Ok(Routed::Ask(Ask::Poll(id.into())))
                }
                Some((id, "abort")) => {
                    only(Method::Post)?;
                    Ok(Routed::Ask(Ask::Cancel(id.into())))
                }
                Some(_) => Err(Answer::error(404, "no such path")),
            }
        }
    }
}

fn body(request: &mut Request) -> Result<Vec<u8>, Answer> {
    let too_large = || Answer::error(413, "body: more than 64 KiB");
    if request.body_length().is_some_and(|n| n > MAX_BODY) {
        return Err(too_large());
    }
    let mut v = Vec::with_capacity(request.body_length().unwrap_or(0));
    let mut limited = request.as_reader().take(MAX_BODY as u64 + 1);
    match limited.read_to_end(&mut v) {
        Ok(n) if n <= MAX_BODY => Ok(v),
        Ok(_) => Err(too_large()),
        Err(_) => Err(Answer::error(400, "body: incomplete")),
    }
}

pub fn respond(request: Request, a: Answer) {
    let mut r = Response::from_data(a.body.into_bytes())
        .with_status_code(a.status)
        .with_chunked_threshold(usize::MAX);
    if let Ok(h) = Header::from_bytes("Content-Type", "application/json") {
        r.add_header(h);
    }
    if let Some(s) = a.retry_after
        && let Ok(h) = Header::from_bytes("Retry-After", s.to_string())
    {
        r.add_header(h);
    }
    let _ = request.respond(r);
}
