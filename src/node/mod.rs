//! The controller process: its threads, and the main loop that owns all state.

pub mod balance;
mod health;
pub mod inbox;
mod invariants;
mod leadership;
mod request_log;
mod threads;
mod upgrade;
use crate::election::{BoundAddress, Candidate, ElectionOutcome, LeaderRecord, REVOCATION_DELAY};
use crate::sched::job::Final;
use crate::sched::{Effect, Event, Scheduler};
use crate::store::budget::Budget;
use crate::store::client::ReadError;
use crate::store::commit::{Committer, Step};
use crate::wire::state::Item;
use balance::WorkerBalance;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, select_biased};
use hdrhistogram::Histogram;
use hookworks_http_server::{Reply, RequestClass, Server};
use hookworks_listing::Board;
use inbox::{Inbox, InboxSenders};
use invariants::Invariants;
use leadership::LeadershipEnd;
use request_log::{RequestKind, RequestLog};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use threads::cloud::CloudRequest;
use threads::direct_calls::DirectCall;
use threads::election::ElectionCommand;
use threads::state_service::StateRequest;
use upgrade::Upgrade;
pub mod job_lists;
mod requests;
pub mod routing;
pub mod state_loading;

pub use requests::{is_expired, leader_restarted};

use crate::api::{self, ApiRequest, PublishedJobs, SharedStatus};
use crate::ids::{ControllerId, Epoch, Instance, JobId, RequestId, TxnId};
use crate::peer::{LocalController, PeerEvent, Peers};
use crate::settings::{CapacityLimits, Settings};
use crate::store::{TxnOutcome, final_key};
use crate::time::{Clock, Span, Time, wall_time_now};
use crate::versions::FormatSwitch;
use crate::wire::cloud::MachineType;
use crate::wire::peer::{Answer, PeerMessage, Request};
use state_loading::LoadedState;

/// Stack size of each thread: memory is scarce, and nothing here recurses deeply.
const STACK_BYTES: usize = 256 * 1024;
/// How often the main loop handles timeouts and periodic work.
const TICK_INTERVAL: Span = Span(250_000);
/// Messages handled in one turn before timers and writes are handled.
const MESSAGES_PER_TURN: usize = 50;
/// Share of the state service's request rate that each controller may use to look up
/// final states for polls while no leader is reachable.
const FINAL_READS_SHARE: f64 = 0.1;
/// A request queued for longer may be answered too late: a worker waits for 4 s in
/// total.
const MAX_QUEUEING_DELAY: Span = Span(700_000);
/// How long a shutdown waits until the remaining responses are written.
const SHUTDOWN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a named thread; false if the operating system refuses it.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> bool {
    let builder = std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES);
    let started = builder.spawn(f);
    if let Err(e) = &started {
        tracing::error!(name, error = %e, "thread could not be started");
    }
    started.is_ok()
}

/// Passes requests of the HTTP server to the main loop.
type HttpInbox = Box<dyn Fn(ApiRequest) -> bool + Send + Sync>;
type HttpApi = api::Api<HttpInbox>;

impl InboxSenders<Message> {
    /// Puts a message into its queue; false if the main loop has ended.
    fn enqueue(&self, message: Message) -> bool {
        let queue = match message.is_heartbeat() {
            true => &self.heartbeats,
            false => &self.others,
        };
        queue.send(message).is_ok()
    }
}

impl Message {
    /// Whether this is a worker's heartbeat, received here or forwarded by another
    /// controller.
    fn is_heartbeat(&self) -> bool {
        let (Message::Http(ApiRequest::Forwardable(_, ask))
        | Message::Peer(PeerEvent::Message(_, PeerMessage::Request { request: ask, .. }))) = self
        else {
            return false;
        };
        matches!(ask, Request::Report(_))
    }
}

/// A message to the main loop.
pub enum Message {
    /// A request of a user, worker or operator.
    Http(ApiRequest),
    /// A message of another controller, or the end of the link to it.
    Peer(PeerEvent),
    /// The stored state was read after an election.
    Loaded(Box<LoadedState>),
    /// Machine types, which every controller caches so that a new leader need not ask.
    MachineTypes(Vec<MachineType>),
    /// Shut down gracefully.
    Stop,
    /// A scheduler event of an epoch; those of earlier epochs are dropped.
    Event(Epoch, Event),
    /// The outcome of a transaction.
    Txn(Epoch, TxnId, TxnOutcome),
    /// The value of a key whose write had an unclear outcome.
    ReadBack(Epoch, String, Result<Option<Item>, ReadError>),
    /// The answer to a request for a list of jobs.
    ListReady(RequestId, Answer),
    /// The result of a final state read while no leader is reachable.
    FinalRead(RequestId, JobId, Result<Option<Final>, ()>),
    /// News about controller versions or the switch to compact records.
    Upgrade(upgrade::UpgradeEvent),
}

/// Where the answer to a request goes.
enum Origin {
    Http(Reply),
    Peer { from: ControllerId, id: u64 },
}

/// A request without an answer yet.
struct PendingRequest {
    origin: Origin,
    received_at: Time,
    timeout: Span,
    kind: RequestKind,
    /// The body of a forwarded heartbeat, kept so that it can be sent to another leader
    /// that is elected before the answer arrives.
    heartbeat: Option<Vec<u8>>,
    /// The leader that the request was forwarded to, and its epoch.
    forwarded_to: Option<(ControllerId, Epoch)>,
}

enum Role {
    Follower,
    Loading(Epoch),
    Leader(Box<Leadership>),
}

/// The state of a leader, dropped when the leadership ends.
struct Leadership {
    epoch: Epoch,
    scheduler: Scheduler,
    commit: Committer,
    /// The list of unfinished jobs that readers see.
    board: Board,
    switch: FormatSwitch,
}

struct Node {
    settings: Settings,
    clock: Clock,
    peers: Arc<Peers>,
    role: Role,
    /// The leader that the state service last named.
    observed_leader: Option<LeaderRecord>,
    /// When the state service last answered an election step.
    state_answered_at: Time,
    /// When this controller last led or could reach a leader.
    leader_reachable_at: Time,
    /// When the last confirmed renewal of the own lease was sent.
    proven_at: Time,
    shared: Arc<SharedStatus>,
    server: Server<HttpApi>,
    /// The epoch of the own leadership, zero for none; read by the cloud thread.
    leading_epoch: Arc<AtomicU64>,
    state_requests: Sender<StateRequest>,
    cloud_requests: Sender<CloudRequest>,
    direct_calls: Sender<DirectCall>,
    list_requests: Sender<(RequestId, job_lists::ListRequest)>,
    inbox: Sender<Message>,
    pending: HashMap<RequestId, PendingRequest>,
    next_req: u64,
    sizes: CapacityLimits,
    /// Limits reads of final states while no leader is reachable.
    final_read_budget: Budget,
    worker_balance: WorkerBalance,
    /// Messages sent to other controllers at the end of this turn of the loop.
    outgoing: HashMap<ControllerId, Vec<PeerMessage>>,
    machine_types: Vec<MachineType>,
    latency: Histogram<u64>,
    request_log: RequestLog,
    invariants: Invariants,
    /// Duration of the turns of the main loop, in microseconds.
    turn_times: Histogram<u64>,
    /// Length of the inbox when the loop last took a message from it.
    queued_messages: usize,
    /// A request was queued for longer than `MAX_QUEUEING_DELAY` since the last tick.
    requests_delayed: bool,
    started: Time,
    stopping: Option<Time>,
    election: Sender<ElectionCommand>,
    upgrade: Upgrade,
}

/// The most sockets that this controller needs for its own calls.
pub fn sockets_for_calls() -> usize {
    threads::SOCKETS + state_loading::SOCKETS + upgrade::SOCKETS
}

/// Runs a controller until the process ends.
pub fn serve(settings: Settings) -> std::io::Result<()> {
    let clock = Clock::start();
    let sizes = settings.capacity_limits().map_err(std::io::Error::other)?;
    let (senders, received) = inbox::inbox::<Message>(sizes.inbox);
    let inbox = senders.others.clone();
    let platform = &settings.platform;
    let shared = Arc::new(SharedStatus::default());
    let leading_epoch = Arc::new(AtomicU64::new(0));
    let senders = Arc::new(senders);
    let http_senders = senders.clone();
    let to_inbox: HttpInbox = Box::new(move |request| http_senders.enqueue(Message::Http(request)));
    let server = api::start(&settings, shared.clone(), to_inbox)?;
    let to_inbox = move |event| senders.enqueue(Message::Peer(event));
    let max_workers = server.metrics().bounds.max_for(RequestClass::Workers) as u32;
    let instance = Instance(rand::random::<u32>() as u64);
    let local = LocalController {
        label: platform.label.clone(),
        instance,
        max_workers,
    };
    let peers = Peers::start(
        local,
        clock,
        platform.cluster_listen,
        &platform.seeds,
        to_inbox,
    )?;
    // The listening socket is bound: no other process holds that address from now on.
    let candidate = Candidate {
        label: platform.label.clone(),
        instance,
        address: Some(BoundAddress::of_this_process(platform.cluster_listen)),
        bound_at: clock.now(),
    };
    let state_requests = threads::state_service::start(&settings, &inbox);
    let cloud_requests =
        threads::cloud::start(&settings, clock, leading_epoch.clone(), inbox.clone());
    let direct_calls = threads::direct_calls::start(clock, &inbox);
    let list_requests = job_lists::start(&settings, clock, shared.clone(), inbox.clone());
    let election = threads::election::start(&settings, clock, candidate);
    let upgrade = Upgrade::start(&settings, clock, instance, inbox.clone());
    let stop_sender = inbox.clone();
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = stop_sender.send(Message::Stop);
    }) {
        tracing::warn!(error = %e, "signal handler not installed; an interrupt ends the process without a graceful shutdown");
    }
    tracing::info!(label = %platform.label, zone = %platform.zone, listen = %platform.listen, "started");
    let now = clock.now();
    let final_read_rate = settings.platform.params.state.rps * FINAL_READS_SHARE;
    let node = Node {
        settings,
        clock,
        peers,
        role: Role::Follower,
        observed_leader: None,
        state_answered_at: Time::default(),
        leader_reachable_at: now,
        proven_at: Time::default(),
        shared,
        server,
        leading_epoch,
        state_requests,
        cloud_requests,
        direct_calls,
        list_requests,
        inbox,
        pending: HashMap::new(),
        next_req: first_request_id(instance),
        sizes,
        final_read_budget: Budget::new(final_read_rate, 2.0 * final_read_rate),
        worker_balance: WorkerBalance::default(),
        outgoing: HashMap::new(),
        machine_types: vec![],
        latency: histogram()?,
        request_log: RequestLog::default(),
        invariants: Invariants::default(),
        turn_times: histogram()?,
        queued_messages: 0,
        requests_delayed: false,
        started: now,
        stopping: None,
        election: election.commands,
        upgrade,
    };
    node.run(received, election.outcomes);
    Ok(())
}

/// The first request id of a process; the ids of two processes with the same label
/// never overlap. An answer meant for an earlier process may arrive at this one, and
/// with equal ids it once answered another request.
pub fn first_request_id(instance: Instance) -> u64 {
    (instance.0 << 32) + 1
}

/// A histogram of microseconds, up to one minute.
fn histogram() -> std::io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 2).map_err(std::io::Error::other)
}

impl Node {
    fn run(mut self, mut inbox: Inbox<Message>, elections: Receiver<ElectionOutcome>) {
        // The first tick is due at once, as health checks depend on it.
        let mut last_tick = Time::default();
        loop {
            let now = self.clock.now();
            let mut wake_at = last_tick + TICK_INTERVAL;
            if let Role::Leader(leadership) = &self.role
                && let Some(pass) = leadership.scheduler.wake_at()
            {
                wake_at = wake_at.min(pass.max(now + Span::millis(3)));
            }
            let mut turn_start = wake_at;
            let wait = (wake_at - now).std().max(Duration::from_millis(1));
            let first_message = select_biased! {
                recv(elections) -> outcome => {
                    if let Ok(outcome) = outcome {
                        self.handle_election_outcome(self.clock.now(), outcome);
                    }
                    Err(RecvTimeoutError::Timeout)
                }
                recv(inbox.others) -> m => m.map_err(|_| RecvTimeoutError::Disconnected),
                recv(inbox.heartbeats) -> m => m.map_err(|_| RecvTimeoutError::Disconnected),
                default(wait) => Err(RecvTimeoutError::Timeout),
            };
            match first_message {
                Ok(message) => {
                    self.queued_messages = inbox.waiting();
                    turn_start = self.clock.now();
                    self.handle_message(message);
                    // Handles what has arrived meanwhile before anything is written.
                    for _ in 0..MESSAGES_PER_TURN {
                        let Some(message) = inbox.try_next() else {
                            break;
                        };
                        // Lease renewals go first: without a proven lease nothing may be
                        // answered.
                        for outcome in elections.try_iter() {
                            self.handle_election_outcome(self.clock.now(), outcome);
                        }
                        self.handle_message(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if let Role::Leader(leadership) = &self.role
                && leadership.scheduler.wake_at().is_some_and(|at| now >= at)
            {
                let epoch = leadership.epoch;
                self.handle_event_with_pass(now, epoch, Event::Wake);
            }
            if now - last_tick >= TICK_INTERVAL {
                last_tick = now;
                self.tick(now);
            }
            self.flush(now);
            self.send_outgoing(now);
            if turn_start < now {
                self.turn_times
                    .saturating_record((self.clock.now() - turn_start).0);
            }
            if let Some(since) = self.stopping
                && (self.pending.is_empty() || now - since > Span::secs(3.0))
            {
                // Steps down before resigning, so that nothing is sent under an epoch whose
                // key was released, and resigns once nothing sent before may be told.
                let led = self.own_epoch().is_some();
                self.step_down(now, LeadershipEnd::Stopping);
                self.send_outgoing(now);
                if led {
                    std::thread::sleep(REVOCATION_DELAY.std());
                }
                self.resign();
                self.server.stop(SHUTDOWN_RESPONSE_TIMEOUT);
                return;
            }
        }
    }

    /// Releases the leader's lease, so that the next leader is elected at once.
    fn resign(&mut self) {
        let (done, resigned) = crossbeam_channel::bounded(1);
        if self.election.send(ElectionCommand::Stop(done)).is_ok() {
            let _ = resigned.recv_timeout(Duration::from_secs(3));
        }
        tracing::info!("controller stopped");
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Http(ApiRequest::Forwardable(reply, ask)) => {
                // Counts from the arrival, so that time in the queue is included.
                let received_at = self.clock.time_at(reply.asked()).min(now);
                self.requests_delayed |= now - received_at > MAX_QUEUEING_DELAY;
                self.handle_request(now, received_at, Origin::Http(reply), ask);
            }
            Message::Http(ApiRequest::Overview(reply)) => {
                let body = self.overview(now).to_string();
                reply.answer(Answer::new(200, body));
            }
            Message::Peer(PeerEvent::Disconnected(label)) => self.peer_gone(now, &label),
            Message::Peer(PeerEvent::Message(
                received_at,
                PeerMessage::Request {
                    id,
                    from,
                    request: ask,
                    ..
                },
            )) => {
                let from = ControllerId::from(from.as_str());
                let origin = Origin::Peer { from, id };
                self.requests_delayed |= now - received_at > MAX_QUEUEING_DELAY;
                self.handle_peer_request(now, received_at, origin, ask);
            }
            Message::Peer(PeerEvent::Message(_, PeerMessage::Response { id, answer, .. })) => {
                self.answer(now, RequestId(id), answer);
            }
            Message::Peer(PeerEvent::Message(_, PeerMessage::Ping { .. })) => {}
            Message::Loaded(loaded) => self.loaded(now, *loaded),
            Message::MachineTypes(machine_types) => {
                self.machine_types = machine_types.clone();
                if let Role::Leader(leadership) = &self.role {
                    let epoch = leadership.epoch;
                    self.handle_event(now, epoch, Event::MachineTypes(machine_types));
                }
            }
            Message::Event(epoch, event) => self.handle_event(now, epoch, event),
            Message::Txn(epoch, id, outcome) => {
                if let Some(leadership) = self.leadership(epoch) {
                    let (events, steps) = leadership.commit.handle_outcome(
                        now,
                        id,
                        outcome,
                        &mut leadership.scheduler,
                    );
                    self.after_commit(now, events, steps);
                }
            }
            Message::ReadBack(epoch, key, item) => {
                if let Some(leadership) = self.leadership(epoch) {
                    let (events, steps) =
                        leadership
                            .commit
                            .handle_read(key, item, &mut leadership.scheduler);
                    self.after_commit(now, events, steps);
                }
            }
            Message::Stop => {
                tracing::info!(open = self.pending.len(), "controller stopping");
                self.stopping = Some(now);
                self.shared.healthy.store(false, Ordering::Relaxed);
                self.server.close();
            }
            Message::ListReady(req, answer) => self.answer(now, req, answer),
            Message::FinalRead(req, id, final_state) => {
                self.answer(now, req, routing::answer_final_read(&id, final_state));
            }
            Message::Upgrade(news) => self.handle_upgrade_event(now, news),
        }
    }

    /// The leadership of that epoch, unless it has ended.
    fn leadership(&mut self, epoch: Epoch) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) if leadership.epoch == epoch => Some(leadership),
            _ => None,
        }
    }

    /// Passes an event to the scheduler of that epoch and applies its effects.
    fn handle_event(&mut self, now: Time, epoch: Epoch, event: Event) {
        let Some(leadership) = self.leadership(epoch) else {
            return;
        };
        let effects = leadership.scheduler.handle(now, event);
        self.apply_effects(now, epoch, effects);
    }

    fn apply_effects(&mut self, now: Time, epoch: Epoch, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(req, answer) => self.answer(now, req, answer),
                Effect::ReadFinal(id) => {
                    let _ = self.state_requests.send(StateRequest::ReadFinal(epoch, id));
                }
                Effect::ReadRecord(req, id) => {
                    let _ = self
                        .state_requests
                        .send(StateRequest::ReadRecord(epoch, req, id));
                }
                Effect::Orders {
                    call,
                    host,
                    addr,
                    orders,
                } => {
                    let direct_call = DirectCall {
                        since: now,
                        epoch,
                        call,
                        host,
                        addr,
                        orders,
                    };
                    let _ = self.direct_calls.send(direct_call);
                }
                Effect::Rent(request) => {
                    let _ = self.cloud_requests.send(CloudRequest::Rent(epoch, request));
                }
                Effect::Release(hosts) => {
                    let _ = self.cloud_requests.send(CloudRequest::Return(epoch, hosts));
                }
            }
        }
    }

    fn after_commit(&mut self, now: Time, events: Vec<Event>, steps: Vec<Step>) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let epoch = leadership.epoch;
        for event in events {
            self.handle_event(now, epoch, event);
        }
        for step in steps {
            match step {
                Step::Read(key) => {
                    let _ = self.state_requests.send(StateRequest::ReadBack(epoch, key));
                }
                Step::Deposed => {
                    tracing::warn!(%epoch, "leadership lost: the leader's key was changed by another controller");
                    self.step_down(now, LeadershipEnd::KeyLost);
                    return;
                }
            }
        }
    }

    /// Sends the transactions that may be committed now.
    fn flush(&mut self, now: Time) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some((id, txn)) = leadership.commit.next_txn(now, &mut leadership.scheduler) {
            let _ = self
                .state_requests
                .send(StateRequest::Commit(leadership.epoch, id, txn));
        }
    }

    /// Publishes changed jobs to readers, as long as the lease is proven.
    fn publish(&mut self, now: Time) {
        let wall_time = wall_time_now().0;
        let published = match &mut self.role {
            Role::Leader(leadership) => {
                for (id, line) in leadership.scheduler.take_changed() {
                    match line {
                        Ok(line) => leadership.board.put(line, wall_time),
                        Err(state) => {
                            let state = state.map_or("done", |s| s.as_str());
                            leadership.board.remove(id.as_str(), state, wall_time);
                        }
                    }
                }
                let until = leadership.scheduler.leadership_valid_until();
                (now < until).then(|| PublishedJobs {
                    jobs: leadership.board.publish(),
                    valid_until: self.clock.instant_at(until),
                })
            }
            _ => None,
        };
        self.shared.jobs.store(published.map(Arc::new));
    }

    fn tick(&mut self, now: Time) {
        // A leader that can't reach the state service learns from the other controllers
        // that it was replaced.
        if let (Some(own_epoch), Some((label, epoch))) =
            (self.own_epoch(), self.peers.best_leader())
            && epoch > own_epoch
        {
            tracing::warn!(%label, %epoch, "another controller leads with a larger epoch; stepping down");
            self.step_down(now, LeadershipEnd::LaterLeader);
        }
        if let Role::Leader(leadership) = &self.role {
            let epoch = leadership.epoch;
            let unreachable = self.peers.unreachable_peers();
            self.handle_event(now, epoch, Event::Unreachable(unreachable));
            if std::mem::take(&mut self.requests_delayed) {
                self.handle_event(now, epoch, Event::Overloaded);
            }
            self.handle_event_with_pass(now, epoch, Event::Tick(wall_time_now()));
        }
        let timed_out: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, p)| now - p.received_at > p.timeout)
            .map(|(r, _)| *r)
            .collect();
        for req in timed_out {
            self.give_up(now, req, "no answer in time");
        }
        // Requests forwarded to a leader that is unreachable or has restarted get no
        // answer from it.
        let current_leader = self.peers.best_leader();
        let lost: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, p)| {
                p.forwarded_to.as_ref().is_some_and(|leader| {
                    !self.peers.reachable(&leader.0)
                        || requests::leader_restarted(leader, current_leader.as_ref())
                })
            })
            .map(|(r, _)| *r)
            .collect();
        for req in lost {
            self.reroute(now, req);
        }
        self.advance_format_switch(now);
        self.balance_workers(now);
        self.publish(now);
        self.log_requests(now);
        self.check_invariants(now);
        let is_healthy = self.stopping.is_none() && self.can_serve(now);
        if is_healthy != self.shared.healthy.swap(is_healthy, Ordering::Relaxed) {
            tracing::info!(healthy = is_healthy, "health check result changed");
        }
    }
}

/// Decodes a stored final state, if there is one.
pub(crate) fn final_of(item: Option<Item>) -> Result<Option<Final>, ()> {
    match item {
        None => Ok(None),
        Some(item) => serde_json::from_value(item.value).map(Some).map_err(|_| ()),
    }
}

/// The key of the final state of a job.
pub(crate) fn key_of_final(id: &JobId) -> String {
    final_key(id)
}
