//! The HTTP side: what users, workers and operators may ask for. Connections
//! and their bounds are the affair of `hookworks-http-server`.

use crate::ids::ControllerId;
use crate::settings::Settings;
use crate::time::wall_time_now;
use crate::wire::peer::{Answer, Request};
use crate::wire::worker::Redirect;
use arc_swap::ArcSwapOption;
use hookworks_http_server::{
    Bounds, BoundsError, MachineResources, Reply, RequestClass, Route, Server, Service, Timeouts,
    descriptors,
};
use hookworks_listing::{Mark, Query, Snapshot, rows, since};
use http::Method;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What arrives at the main loop.
pub enum Incoming {
    Ask(Reply, Request),
    Overview(Reply),
}

/// A controller that has room for more workers.
#[derive(Debug)]
pub struct Elsewhere {
    label: ControllerId,
    room: AtomicUsize,
}

impl Elsewhere {
    pub fn new(label: ControllerId, room: usize) -> Elsewhere {
        Elsewhere {
            label,
            room: AtomicUsize::new(room),
        }
    }

    /// Books a place there, as long as there are any.
    fn book(&self) -> bool {
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let one = |n: usize| n.checked_sub(1);
        self.room.fetch_update(set, fetch, one).is_ok()
    }
}

/// What the main loop tells all connections; read without locks.
#[derive(Default)]
pub struct Notice {
    /// This controller can serve or pass on.
    pub healthy: AtomicBool,
    /// Where a worker goes that finds no room here.
    pub elsewhere: ArcSwapOption<Elsewhere>,
    /// All unfinished jobs, at the leader.
    pub jobs: ArcSwapOption<Published>,
}

/// The unfinished jobs as of a moment, to be told as long as the leadership
/// is proven.
pub struct Published {
    pub jobs: Snapshot,
    pub until: Instant,
}

impl Notice {
    /// What has changed, if this controller may tell.
    pub fn changes(&self, since: Option<Mark>) -> Option<Answer> {
        let p = self.jobs.load();
        let p = p.as_ref().filter(|p| Instant::now() < p.until)?;
        Some(Answer::new(200, rows(&p.jobs.changes(since))))
    }

    /// A page of unfinished jobs, if this controller may tell any.
    pub fn page(&self, q: &Query) -> Option<Answer> {
        let p = self.jobs.load();
        let p = p.as_ref().filter(|p| Instant::now() < p.until)?;
        Some(Answer::new(200, rows(&p.jobs.page(q, wall_time_now().0))))
    }
}

/// The routes of a controller.
pub struct Api<F> {
    notice: Arc<Notice>,
    inbox: F,
}

/// What a request asks for, before its body is here.
pub enum Wanted {
    Submit,
    Report,
    Poll(String),
    Cancel(String),
    Hold(String),
    Release(String),
    Show(String),
    List(String),
    Events(String),
    Overview,
}

/// Sends a worker to that controller, or on to the next one it knows.
pub fn redirect(leader: Option<ControllerId>) -> Answer {
    let body = serde_json::to_string(&Redirect { leader }).unwrap_or_default();
    Answer::new(421, body)
}

/// Sockets for calls to the state service, the cloud, workers and controllers,
/// none of which may be given to callers.
fn sockets_set_aside(s: &Settings) -> usize {
    crate::node::sockets_for_calls() + crate::peer::sockets(s.platform.seeds.len())
}

/// The bounds in force under these settings.
///
/// # Errors
/// When next to nothing could be served.
pub fn bounds(s: &Settings) -> Result<Bounds, BoundsError> {
    let limits = &s.platform.params.machine_limits;
    let machine = MachineResources {
        sockets: limits.max_connections,
        descriptors: descriptors(limits.max_connections),
        memory: (limits.ram_mb * 1e6) as u64,
        reserved_sockets: sockets_set_aside(s),
    };
    Bounds::plan(&machine, &s.tuning.connections.bounds_settings())
}

/// Starts the server. What reaches `inbox` is answered by way of its `Reply`.
pub fn start<F>(
    settings: &Settings,
    notice: Arc<Notice>,
    inbox: F,
) -> std::io::Result<Server<Api<F>>>
where
    F: Fn(Incoming) -> bool + Send + Sync + 'static,
{
    let bounds = bounds(settings).map_err(std::io::Error::other)?;
    let t = &settings.tuning.connections;
    let timeouts = Timeouts {
        first_head: Duration::from_secs_f64(t.head_s),
        head: Duration::from_secs_f64(t.head_s),
        body: Duration::from_secs_f64(t.body_s),
        idle: Duration::from_secs_f64(t.idle_s),
        ..Timeouts::default()
    };
    let api = Api { notice, inbox };
    let server = Server::start(settings.platform.listen, bounds, timeouts, api)?;
    tracing::info!(connections = bounds.connections, limited_by = %bounds.limited_by,
        guaranteed = ?bounds.guaranteed, set_aside = bounds.set_aside, "accepting");
    Ok(server)
}

fn route(method: &Method, path: &str, query: &str) -> Result<(RequestClass, Wanted), Answer> {
    let only = |m: Method| {
        if *method == m {
            Ok(())
        } else {
            Err(Answer::error(405, "method not allowed"))
        }
    };
    let none = || Answer::error(404, "no such path");
    match path {
        "/v2/runs" => only(Method::POST).map(|()| (RequestClass::Users, Wanted::Submit)),
        "/v2/jobs" => only(Method::GET).map(|()| (RequestClass::Users, Wanted::List(query.into()))),
        "/v2/events" => {
            only(Method::GET).map(|()| (RequestClass::Users, Wanted::Events(query.into())))
        }
        "/agent/beat" => only(Method::POST).map(|()| (RequestClass::Workers, Wanted::Report)),
        "/v2/overview" => only(Method::GET).map(|()| (RequestClass::Watch, Wanted::Overview)),
        _ => {
            if let Some(id) = path.strip_prefix("/v2/jobs/") {
                let show = || (RequestClass::Users, Wanted::Show(id.into()));
                return only(Method::GET).map(|()| show());
            }
            let id = path.strip_prefix("/v2/runs/").ok_or_else(none)?;
            match id.split_once('/') {
                None => only(Method::GET).map(|()| (RequestClass::Users, Wanted::Poll(id.into()))),
                Some((id, what)) => {
                    let id = id.to_string();
                    let wanted = match what {
                        "abort" => Wanted::Cancel(id),
                        "hold" => Wanted::Hold(id),
                        "release" => Wanted::Release(id),
                        _ => return Err(none()),
                    };
                    only(Method::POST).map(|()| (RequestClass::Users, wanted))
                }
            }
        }
    }
}

impl<F> Service for Api<F>
where
    F: Fn(Incoming) -> bool + Send + Sync + 'static,
{
    type Request = Wanted;

    fn route(&self, method: &Method, path: &str, query: &str) -> Route<Wanted> {
        if path == "/healthz" {
            let a = match *method == Method::GET {
                false => Answer::error(405, "method not allowed"),
                true if self.notice.healthy.load(Ordering::Relaxed) => {
                    Answer::new(200, "{}".into())
                }
                true => Answer::error(503, "no leader in reach"),
            };
            return Route::Respond(RequestClass::Watch, a);
        }
        match route(method, path, query) {
            Ok((class, wanted)) => Route::Handle(class, wanted),
            Err(a) => Route::Respond(RequestClass::Users, a),
        }
    }

    fn handle(&self, wanted: Wanted, body: Vec<u8>, reply: Reply) {
        let ask = match wanted {
            Wanted::Submit => Request::Submit(body),
            Wanted::Report => Request::Report(body),
            Wanted::Poll(id) => Request::Poll(id),
            Wanted::Cancel(id) => Request::Cancel(id),
            Wanted::Hold(id) => Request::Hold(id, body),
            Wanted::Release(id) => Request::Release(id, body),
            Wanted::Show(id) => Request::Show(id),
            Wanted::Events(query) => match since(&query) {
                Err(e) => return reply.answer(Answer::error(400, &e)),
                Ok(mark) => match self.notice.changes(mark) {
                    Some(a) => return reply.answer(a),
                    None => Request::Events(query),
                },
            },
            Wanted::List(query) => match Query::parse(&query) {
                Err(e) => return reply.answer(Answer::error(400, &e)),
                // Read here, on the connection's own thread: the main loop
                // does not hear of it.
                Ok(q) => match self.notice.page(&q).filter(|_| q.wants_unfinished()) {
                    Some(a) => return reply.answer(a),
                    None => Request::List(query),
                },
            },
            Wanted::Overview => {
                (self.inbox)(Incoming::Overview(reply));
                return;
            }
        };
        (self.inbox)(Incoming::Ask(reply, ask));
    }

    fn reserve_elsewhere(&self) -> bool {
        self.notice
            .elsewhere
            .load()
            .as_ref()
            .is_some_and(|e| e.book())
    }

    fn no_capacity(&self, class: RequestClass, elsewhere: bool) -> Answer {
        if class != RequestClass::Workers {
            return Answer::later("too many connections", 1);
        }
        let there = self.notice.elsewhere.load();
        let label = there.as_ref().filter(|_| elsewhere);
        redirect(label.map(|e| e.label.clone()))
    }
}
