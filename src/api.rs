//! The HTTP side: users, workers and health checks.

use crate::wire::peer::{Answer, Ask};
use crossbeam_channel::{Receiver, Sender};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

/// Largest request body.
const MAX_BODY: usize = 64 * 1024;
/// A client that sends or takes nothing for so long is dropped.
const IDLE: Duration = Duration::from_secs(60);
const READERS: usize = 4;
const WRITERS: usize = 2;
/// Bodies being read at a time, beyond those that came along with the head.
const MAX_SLOW: usize = 200;
/// A thread that reads bodies waits so long for another one.
const SPARE_FOR: Duration = Duration::from_secs(10);
/// tiny_http reads bodies up to this length before it hands a request out.
const READ_ALREADY: usize = 1024;
const KEEP_ACCEPTING: Duration = Duration::from_secs(15);
/// How often accepting may fail before the trouble is beyond us.
const MAX_SERVERS: usize = 100;

/// What the readers hand on.
pub enum Incoming {
    Ask(Request, Ask),
    Overview(Request),
}

fn listener(addr: SocketAddr) -> std::io::Result<TcpListener> {
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
pub fn start<F>(
    addr: SocketAddr,
    healthy: Arc<AtomicBool>,
    inbox: F,
) -> std::io::Result<Sender<(Request, Answer)>>
where
    F: Fn(Incoming) -> bool + Send + Clone + 'static,
{
    let listener = listener(addr)?;
    let (answers, queue) = crossbeam_channel::unbounded::<(Request, Answer)>();
    for _ in 0..WRITERS {
        let queue: Receiver<_> = queue.clone();
        crate::node::spawn("http-answer", move || {
            for (request, answer) in queue {
                respond(request, answer);
            }
        });
    }
    let first = open(&listener)?;
    let (broken, failures) = crossbeam_channel::bounded(64);
    let slow = Arc::new(AtomicUsize::new(0));
    let bodies = crossbeam_channel::bounded::<Request>(0);
    let read = move |server: Arc<Server>| {
        for _ in 0..READERS {
            let r = Reader {
                server: server.clone(),
                healthy: healthy.clone(),
                inbox: inbox.clone(),
                broken: broken.clone(),
                slow: slow.clone(),
                bodies: bodies.clone(),
            };
            crate::node::spawn("http-read", move || r.run());
        }
    };
    read(first);
    crate::node::spawn("http-watch", move || {
        for _ in 0..MAX_SERVERS {
            // The time limit of the listening socket holds for accepting, too:
            // a connection now and then keeps it from being reached.
            while failures.recv_timeout(KEEP_ACCEPTING).is_err() {
                let _ = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
            }
            // tiny_http gives up accepting after any error, such as having no
            // sockets left for a moment. Open connections go on as they are.
            tracing::warn!("accepting connections failed, begun anew");
            std::thread::sleep(Duration::from_millis(200));
            match open(&listener) {
                Ok(s) => read(s),
                Err(e) => tracing::error!(error = %e, "can't accept connections"),
            }
        }
        tracing::error!("accepting connections failed too often");
    });
    Ok(answers)
}

fn open(listener: &TcpListener) -> std::io::Result<Arc<Server>> {
    let server = Server::from_listener(listener.try_clone()?, None);
    server.map(Arc::new).map_err(std::io::Error::other)
}

/// Takes requests off the server, one at a time.
struct Reader<F> {
    server: Arc<Server>,
    healthy: Arc<AtomicBool>,
    inbox: F,
    broken: Sender<()>,
    /// Threads that read bodies, and the way to those that are free.
    slow: Arc<AtomicUsize>,
    bodies: (Sender<Request>, Receiver<Request>),
}

impl<F> Reader<F>
where
    F: Fn(Incoming) -> bool + Send + Clone + 'static,
{
    fn run(self) {
        loop {
            let Ok(request) = self.server.recv() else {
                let _ = self.broken.try_send(());
                continue;
            };
            // tiny_http has read small bodies by now; for a large one we may
            // have to wait, which must hold up nobody else.
            if body_is_here(&request) {
                Self::take(request, &self.healthy, &self.inbox);
            } else if let Err(request) = self.bodies.0.try_send(request).map_err(|e| e.into_inner())
            {
                self.another_for(request);
            }
        }
    }

    /// None that reads bodies is free: one more does, as long as there are not
    /// too many. A thread for each body once cost more than its request.
    fn another_for(&self, request: Request) {
        if self.slow.fetch_add(1, Ordering::SeqCst) >= MAX_SLOW {
            self.slow.fetch_sub(1, Ordering::SeqCst);
            return respond(request, Answer::later("too many requests", 2));
        }
        let (healthy, inbox) = (self.healthy.clone(), self.inbox.clone());
        let (slow, queue) = (self.slow.clone(), self.bodies.1.clone());
        crate::node::spawn("http-body", move || {
            Self::take(request, &healthy, &inbox);
            while let Ok(request) = queue.recv_timeout(SPARE_FOR) {
                Self::take(request, &healthy, &inbox);
            }
            slow.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn take(mut request: Request, healthy: &AtomicBool, inbox: &F) {
        match route(&mut request, healthy) {
            Ok(Routed::Ask(ask)) => {
                inbox(Incoming::Ask(request, ask));
            }
            Ok(Routed::Overview) => {
                inbox(Incoming::Overview(request));
            }
            Err(answer) => respond(request, answer),
        }
    }
}

fn body_is_here(request: &Request) -> bool {
    let waits = |h: &Header| h.field.equiv("Expect") || h.field.equiv("Transfer-Encoding");
    match request.body_length() {
        Some(n) => n <= READ_ALREADY && !request.headers().iter().any(waits),
        None => *request.method() != Method::Post,
    }
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
