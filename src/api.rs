//! The HTTP API for users, workers and operators. `hookworks-http-server` handles the
//! connections and their limits.

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

/// A request that the main loop answers.
pub enum ApiRequest {
    /// A request of a user or worker, which a follower may forward to the leader.
    Forwardable(Reply, Request),
    /// A request for the overview of this controller.
    Overview(Reply),
}

/// Another controller that can take more workers.
#[derive(Debug)]
pub struct RedirectTarget {
    label: ControllerId,
    free_places: AtomicUsize,
}

impl RedirectTarget {
    /// Creates a target that can take that many more workers.
    pub fn new(label: ControllerId, free_places: usize) -> RedirectTarget {
        RedirectTarget {
            label,
            free_places: AtomicUsize::new(free_places),
        }
    }

    /// Reserves a place for a worker; false if there is none left.
    fn reserve(&self) -> bool {
        let (set_order, fetch_order) = (Ordering::SeqCst, Ordering::SeqCst);
        let decrement = |places: usize| places.checked_sub(1);
        self.free_places
            .fetch_update(set_order, fetch_order, decrement)
            .is_ok()
    }
}

/// State that the main loop publishes to all connections; read without locks.
#[derive(Default)]
pub struct SharedStatus {
    /// The result of the health check: this controller can answer or forward requests.
    pub healthy: AtomicBool,
    /// Where workers are redirected if this controller has no capacity for them.
    pub redirect_target: ArcSwapOption<RedirectTarget>,
    /// All unfinished jobs, if this controller leads.
    pub jobs: ArcSwapOption<PublishedJobs>,
}

/// A snapshot of the unfinished jobs, valid as long as the leader's lease is proven.
pub struct PublishedJobs {
    /// The jobs.
    pub jobs: Snapshot,
    /// The end of the proven lease; the snapshot must not be served after it.
    pub valid_until: Instant,
}

impl SharedStatus {
    /// The changes since a mark, if this controller holds a valid snapshot.
    pub fn changes(&self, since: Option<Mark>) -> Option<Answer> {
        let published = self.jobs.load();
        let published = published
            .as_ref()
            .filter(|p| Instant::now() < p.valid_until)?;
        Some(Answer::new(200, rows(&published.jobs.changes(since))))
    }

    /// A page of unfinished jobs, if this controller holds a valid snapshot.
    pub fn page(&self, query: &Query) -> Option<Answer> {
        let published = self.jobs.load();
        let published = published
            .as_ref()
            .filter(|p| Instant::now() < p.valid_until)?;
        Some(Answer::new(
            200,
            rows(&published.jobs.page(query, wall_time_now().0)),
        ))
    }
}

/// The HTTP service of a controller.
pub struct Api<F> {
    shared: Arc<SharedStatus>,
    inbox: F,
}

/// The operation that a request asks for, known before its body is received.
pub enum Operation {
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

/// Redirects a worker to that controller, or to the next one it knows if none is given.
pub fn redirect(leader: Option<ControllerId>) -> Answer {
    let body = serde_json::to_string(&Redirect { leader }).unwrap_or_default();
    Answer::new(421, body)
}

/// Sockets reserved for calls to the state service, the cloud, workers and other
/// controllers, not available to incoming connections.
fn reserved_sockets(settings: &Settings) -> usize {
    crate::node::sockets_for_calls() + crate::peer::max_sockets(settings.platform.seeds.len())
}

/// The connection limits that result from these settings.
///
/// # Errors
///
/// When the machine's resources are too small to serve requests.
pub fn bounds(settings: &Settings) -> Result<Bounds, BoundsError> {
    let limits = &settings.platform.params.machine_limits;
    let machine = MachineResources {
        sockets: limits.max_connections,
        descriptors: descriptors(limits.max_connections),
        memory: (limits.ram_mb * 1e6) as u64,
        reserved_sockets: reserved_sockets(settings),
    };
    Bounds::plan(&machine, &settings.tuning.connections.bounds_settings())
}

/// Starts the server. Requests passed to `inbox` are answered through their `Reply`.
///
/// # Errors
///
/// When the limits can't be planned or the address can't be bound.
pub fn start<F>(
    settings: &Settings,
    notice: Arc<SharedStatus>,
    inbox: F,
) -> std::io::Result<Server<Api<F>>>
where
    F: Fn(ApiRequest) -> bool + Send + Sync + 'static,
{
    let bounds = bounds(settings).map_err(std::io::Error::other)?;
    let tuning = &settings.tuning.connections;
    let timeouts = Timeouts {
        first_head: Duration::from_secs_f64(tuning.head_s),
        head: Duration::from_secs_f64(tuning.head_s),
        body: Duration::from_secs_f64(tuning.body_s),
        idle: Duration::from_secs_f64(tuning.idle_s),
        ..Timeouts::default()
    };
    let api = Api {
        shared: notice,
        inbox,
    };
    let server = Server::start(settings.platform.listen, bounds, timeouts, api)?;
    tracing::info!(connections = bounds.connections, limited_by = %bounds.limited_by,
        guaranteed = ?bounds.guaranteed, set_aside = bounds.set_aside, "HTTP server started; accepting connections");
    Ok(server)
}

/// The request class and operation of a path, or the error to answer.
fn route(method: &Method, path: &str, query: &str) -> Result<(RequestClass, Operation), Answer> {
    let only = |allowed: Method| {
        if *method == allowed {
            Ok(())
        } else {
            Err(Answer::error(405, "method not allowed"))
        }
    };
    let not_found = || Answer::error(404, "no such path");
    match path {
        "/v2/runs" => only(Method::POST).map(|()| (RequestClass::Users, Operation::Submit)),
        "/v2/jobs" => {
            only(Method::GET).map(|()| (RequestClass::Users, Operation::List(query.into())))
        }
        "/v2/events" => {
            only(Method::GET).map(|()| (RequestClass::Users, Operation::Events(query.into())))
        }
        "/agent/beat" => only(Method::POST).map(|()| (RequestClass::Workers, Operation::Report)),
        "/v2/overview" => only(Method::GET).map(|()| (RequestClass::Watch, Operation::Overview)),
        _ => {
            if let Some(id) = path.strip_prefix("/v2/jobs/") {
                let show = || (RequestClass::Users, Operation::Show(id.into()));
                return only(Method::GET).map(|()| show());
            }
            let id = path.strip_prefix("/v2/runs/").ok_or_else(not_found)?;
            match id.split_once('/') {
                None => {
                    only(Method::GET).map(|()| (RequestClass::Users, Operation::Poll(id.into())))
                }
                Some((id, action)) => {
                    let id = id.to_string();
                    let operation = match action {
                        "abort" => Operation::Cancel(id),
                        "hold" => Operation::Hold(id),
                        "release" => Operation::Release(id),
                        _ => return Err(not_found()),
                    };
                    only(Method::POST).map(|()| (RequestClass::Users, operation))
                }
            }
        }
    }
}

impl<F> Service for Api<F>
where
    F: Fn(ApiRequest) -> bool + Send + Sync + 'static,
{
    type Request = Operation;

    fn route(&self, method: &Method, path: &str, query: &str) -> Route<Operation> {
        if path == "/healthz" {
            let answer = match *method == Method::GET {
                false => Answer::error(405, "method not allowed"),
                true if self.shared.healthy.load(Ordering::Relaxed) => {
                    Answer::new(200, "{}".into())
                }
                true => Answer::error(503, "no leader in reach"),
            };
            return Route::Respond(RequestClass::Watch, answer);
        }
        match route(method, path, query) {
            Ok((class, operation)) => Route::Handle(class, operation),
            Err(answer) => Route::Respond(RequestClass::Users, answer),
        }
    }

    fn handle(&self, operation: Operation, body: Vec<u8>, reply: Reply) {
        let ask = match operation {
            Operation::Submit => Request::Submit(body),
            Operation::Report => Request::Report(body),
            Operation::Poll(id) => Request::Poll(id),
            Operation::Cancel(id) => Request::Cancel(id),
            Operation::Hold(id) => Request::Hold(id, body),
            Operation::Release(id) => Request::Release(id, body),
            Operation::Show(id) => Request::Show(id),
            Operation::Events(query) => match since(&query) {
                Err(e) => return reply.answer(Answer::error(400, &e)),
                Ok(mark) => match self.shared.changes(mark) {
                    Some(answer) => return reply.answer(answer),
                    None => Request::Events(query),
                },
            },
            Operation::List(query) => match Query::parse(&query) {
                Err(e) => return reply.answer(Answer::error(400, &e)),
                // Answered on the connection's own thread, without the main loop.
                Ok(parsed) => match self
                    .shared
                    .page(&parsed)
                    .filter(|_| parsed.wants_unfinished())
                {
                    Some(answer) => return reply.answer(answer),
                    None => Request::List(query),
                },
            },
            Operation::Overview => {
                (self.inbox)(ApiRequest::Overview(reply));
                return;
            }
        };
        (self.inbox)(ApiRequest::Forwardable(reply, ask));
    }

    fn reserve_elsewhere(&self) -> bool {
        self.shared
            .redirect_target
            .load()
            .as_ref()
            .is_some_and(|target| target.reserve())
    }

    fn no_capacity(&self, class: RequestClass, elsewhere: bool) -> Answer {
        if class != RequestClass::Workers {
            return Answer::later("too many connections", 1);
        }
        let current = self.shared.redirect_target.load();
        let target = current.as_ref().filter(|_| elsewhere);
        redirect(target.map(|target| target.label.clone()))
    }
}
