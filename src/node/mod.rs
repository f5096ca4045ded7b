pub mod balance;
mod health;
pub mod inbox;
mod invariants;
mod leadership;
mod request_log;
mod threads;
mod upgrade;
use crate::election::{BoundAddress, Candidate, ElectionOutcome, LeaderRecord};
use crate::ids::{Epoch, Instance, JobId, Label, ReqId, TxnId};
use crate::sched::job::Final;
use crate::sched::{Effect, Event, Scheduler};
use crate::settings::{Settings, Sizes};
use crate::store::budget::Budget;
use crate::store::client::ReadError;
use crate::store::commit::{Committer, Step};
use crate::store::{Outcome, final_key};
use crate::time::{Clock, Span, Time, wall};
use crate::versions::Switch;
use crate::wire::cloud::Flavor;
use crate::wire::peer::{Answer, Ask, PeerMsg};
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
use crate::peer::{LocalController, PeerEvent, Peers};
use state_loading::LoadedState;

/// Stack of a thread: the machine is small, and nothing here recurses deeply.
const STACK_BYTES: usize = 256 * 1024;
/// How often the loop looks at what time alone makes due.
const TICK_INTERVAL: Span = Span(250_000);
/// Messages taken before the loop looks at its other duties.
const MESSAGES_PER_TURN: usize = 50;
/// Share of the state service's requests that each controller may take for final
/// states that it is asked about while no leader is in reach.
const FINAL_READS_SHARE: f64 = 0.1;
/// A request that has waited here for so long may be answered too late: a worker
/// waits for 4 s in all.
const BEHIND_AFTER: Span = Span(700_000);
/// At the end, answers that are due have so long to be written.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(500);

/// False if the system gives no more threads.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> bool {
    let b = std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES);
    let started = b.spawn(f);
    if let Err(e) = &started {
        tracing::error!(name, error = %e, "a thread could not be started");
    }
    started.is_ok()
}

/// The server, and how it reaches the main loop.
type HttpInbox = Box<dyn Fn(ApiRequest) -> bool + Send + Sync>;
type HttpSide = api::Api<HttpInbox>;

impl InboxSenders<Message> {
    /// Puts a message into its line; false if the main loop has ended.
    fn put(&self, message: Message) -> bool {
        let line = match message.is_heartbeat() {
            true => &self.heartbeats,
            false => &self.others,
        };
        line.send(message).is_ok()
    }
}

impl Message {
    /// A worker's heartbeat, from here or passed on by another controller.
    fn is_heartbeat(&self) -> bool {
        let (Message::Http(ApiRequest::Forwardable(_, ask))
        | Message::Peer(PeerEvent::Message(_, PeerMsg::Ask { ask, .. }))) = self
        else {
            return false;
        };
        matches!(ask, Ask::Report(_))
    }
}

/// Everything that reaches the main loop.
pub enum Message {
    Http(ApiRequest),
    Peer(PeerEvent),
    Loaded(Box<LoadedState>),
    /// Machine types, which every controller keeps at hand.
    MachineTypes(Vec<Flavor>),
    /// The process is to end in good order.
    Stop,
    /// An event of a term; those of earlier terms are dropped.
    Event(Epoch, Event),
    Txn(Epoch, TxnId, Outcome),
    ReadBack(Epoch, String, Result<Option<Item>, ReadError>),
    /// A page of jobs is ready.
    ListReady(ReqId, Answer),
    /// A look-up of a final state without a leader.
    FinalRead(ReqId, JobId, Result<Option<Final>, ()>),
    /// Versions of controllers, and the switch to compact records.
    Upgrade(upgrade::UpgradeNews),
}

enum Origin {
    Http(Reply),
    Peer { from: Label, id: u64 },
}

struct PendingRequest {
    origin: Origin,
    since: Time,
    limit: Span,
    kind: RequestKind,
    /// A worker's report that was passed on, in case that another leader
    /// comes before the answer.
    report: Option<Vec<u8>>,
    /// The leader that it was passed on to, and its term.
    with: Option<(Label, Epoch)>,
}

enum Role {
    Follower,
    Loading(Epoch),
    Leader(Box<Leadership>),
}

struct Leadership {
    epoch: Epoch,
    sched: Scheduler,
    commit: Committer,
    /// What readers are shown of the unfinished jobs.
    board: Board,
    switch: Switch,
}

struct Node {
    settings: Settings,
    clock: Clock,
    peers: Arc<Peers>,
    role: Role,
    seen: Option<LeaderRecord>,
    state_ok_at: Time,
    led_at: Time,
    proven: Time,
    notice: Arc<SharedStatus>,
    server: Server<HttpSide>,
    term: Arc<AtomicU64>,
    store: Sender<StateRequest>,
    cloud: Sender<CloudRequest>,
    agents: Sender<DirectCall>,
    lists: Sender<(ReqId, job_lists::ListRequest)>,
    inbox: Sender<Message>,
    pending: HashMap<ReqId, PendingRequest>,
    next_req: u64,
    sizes: Sizes,
    /// Look-ups of final states without a leader.
    looks: Budget,
    worker_balance: WorkerBalance,
    /// What goes to other controllers at the end of this turn.
    outbox: HashMap<Label, Vec<PeerMsg>>,
    flavors: Vec<Flavor>,
    latency: Histogram<u64>,
    request_log: RequestLog,
    invariants: Invariants,
    /// How long the turns of the loop take.
    turns: Histogram<u64>,
    /// Messages that waited when the loop last looked.
    waiting: usize,
    /// A request has waited for too long since the last tick.
    behind: bool,
    started: Time,
    stopping: Option<Time>,
    election: Sender<ElectionCommand>,
    upgrade: Upgrade,
}

/// Sockets that this controller may need for its own calls.
pub fn sockets_for_calls() -> usize {
    threads::SOCKETS + state_loading::SOCKETS + upgrade::SOCKETS
}

/// Runs a controller until the process ends.
pub fn serve(settings: Settings) -> std::io::Result<()> {
    let clock = Clock::start();
    let sizes = settings.sizes().map_err(std::io::Error::other)?;
    let (senders, received) = inbox::inbox::<Message>(sizes.inbox);
    let inbox = senders.others.clone();
    let p = &settings.platform;
    let notice = Arc::new(SharedStatus::default());
    let term = Arc::new(AtomicU64::new(0));
    let senders = Arc::new(senders);
    let lines = senders.clone();
    let to_inbox: HttpInbox = Box::new(move |incoming| lines.put(Message::Http(incoming)));
    let server = api::start(&settings, notice.clone(), to_inbox)?;
    let to_inbox = move |from_peers| senders.put(Message::Peer(from_peers));
    let most = server.metrics().bounds.max_for(RequestClass::Workers) as u32;
    let instance = Instance(rand::random::<u32>() as u64);
    let own = LocalController {
        label: p.label.clone(),
        instance,
        max_workers: most,
    };
    let peers = Peers::start(own, clock, p.cluster_listen, &p.seeds, to_inbox)?;
    // From here on no other process holds that address.
    let me = Candidate {
        label: p.label.clone(),
        instance,
        address: Some(BoundAddress::of_this_process(p.cluster_listen)),
    };
    let store = threads::state_service::start(&settings, &inbox);
    let cloud = threads::cloud::start(&settings, clock, term.clone(), inbox.clone());
    let agents = threads::direct_calls::start(clock, &inbox);
    let lists = job_lists::start(&settings, clock, notice.clone(), inbox.clone());
    let election = threads::election::start(&settings, clock, me);
    let upgrade = Upgrade::start(&settings, clock, instance, inbox.clone());
    let tx = inbox.clone();
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = tx.send(Message::Stop);
    }) {
        tracing::warn!(error = %e, "an interrupt will end the process at once");
    }
    tracing::info!(label = %p.label, zone = %p.zone, listen = %p.listen, "started");
    let now = clock.now();
    let looks = settings.platform.params.state.rps * FINAL_READS_SHARE;
    let node = Node {
        settings,
        clock,
        peers,
        role: Role::Follower,
        seen: None,
        state_ok_at: Time::default(),
        led_at: now,
        proven: Time::default(),
        notice,
        server,
        term,
        store,
        cloud,
        agents,
        lists,
        inbox,
        pending: HashMap::new(),
        next_req: first_request_id(instance),
        sizes,
        looks: Budget::new(looks, 2.0 * looks),
        worker_balance: WorkerBalance::default(),
        outbox: HashMap::new(),
        flavors: vec![],
        latency: histogram()?,
        request_log: RequestLog::default(),
        invariants: Invariants::default(),
        turns: histogram()?,
        waiting: 0,
        behind: false,
        started: now,
        stopping: None,
        election: election.commands,
        upgrade,
    };
    node.run(received, election.outcomes);
    Ok(())
}

/// Numbers of requests that no other process under this label has used: what an
/// earlier one was to be told arrives here, and once answered others' requests.
pub fn first_request_id(instance: Instance) -> u64 {
    (instance.0 << 32) + 1
}

/// Microseconds, up to a minute.
fn histogram() -> std::io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 2).map_err(std::io::Error::other)
}

impl Node {
    fn run(mut self, mut inbox: Inbox<Message>, elections: Receiver<ElectionOutcome>) {
        // The first one is due at once: health checks are waiting.
        let mut tick = Time::default();
        loop {
            let now = self.clock.now();
            let mut until = tick + TICK_INTERVAL;
            if let Role::Leader(t) = &self.role
                && let Some(pass) = t.sched.wake_at()
            {
                until = until.min(pass.max(now + Span::millis(3)));
            }
            let mut turn = until;
            let wait = (until - now).std().max(Duration::from_millis(1));
            let first = select_biased! {
                recv(elections) -> e => {
                    if let Ok(e) = e {
                        self.election_outcome(self.clock.now(), e);
                    }
                    Err(RecvTimeoutError::Timeout)
                }
                recv(inbox.others) -> m => m.map_err(|_| RecvTimeoutError::Disconnected),
                recv(inbox.heartbeats) -> m => m.map_err(|_| RecvTimeoutError::Disconnected),
                default(wait) => Err(RecvTimeoutError::Timeout),
            };
            match first {
                Ok(m) => {
                    self.waiting = inbox.waiting();
                    turn = self.clock.now();
                    self.take(m);
                    // What has come meanwhile is seen before anything is written.
                    for _ in 0..MESSAGES_PER_TURN {
                        let Some(m) = inbox.try_next() else { break };
                        // Proofs pass all else: without one nothing may be answered.
                        for e in elections.try_iter() {
                            self.election_outcome(self.clock.now(), e);
                        }
                        self.take(m);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if let Role::Leader(t) = &self.role
                && t.sched.wake_at().is_some_and(|at| now >= at)
            {
                let epoch = t.epoch;
                self.event_with_pass(now, epoch, Event::Wake);
            }
            if now - tick >= TICK_INTERVAL {
                tick = now;
                self.tick(now);
            }
            self.flush(now);
            self.send_outbox(now);
            if turn < now {
                self.turns.saturating_record((self.clock.now() - turn).0);
            }
            if let Some(since) = self.stopping
                && (self.pending.is_empty() || now - since > Span::secs(3.0))
            {
                // Nothing leaves under a term whose key is given up.
                self.step_down(now, LeadershipEnd::Stopping);
                self.send_outbox(now);
                self.resign();
                self.server.stop(LAST_ANSWERS_TIMEOUT);
                return;
            }
        }
    }

    /// Gives up the leadership, so that the next leader takes over at once.
    fn resign(&mut self) {
        let (done, resigned) = crossbeam_channel::bounded(1);
        if self.election.send(ElectionCommand::Stop(done)).is_ok() {
            let _ = resigned.recv_timeout(Duration::from_secs(3));
        }
        tracing::info!("stopped");
    }

    fn take(&mut self, m: Message) {
        let now = self.clock.now();
        match m {
            Message::Http(ApiRequest::Forwardable(reply, ask)) => {
                // From when it was here, not from when it had waited its turn.
                let since = self.clock.at(reply.asked()).min(now);
                self.behind |= now - since > BEHIND_AFTER;
                self.ask(now, since, Origin::Http(reply), ask);
            }
            Message::Http(ApiRequest::Overview(reply)) => {
                let body = self.overview(now).to_string();
                reply.answer(Answer::new(200, body));
            }
            Message::Peer(PeerEvent::Disconnected(label)) => self.peer_gone(now, &label),
            Message::Peer(PeerEvent::Message(since, PeerMsg::Ask { id, from, ask, .. })) => {
                let from = Label::from(from.as_str());
                let origin = Origin::Peer { from, id };
                self.behind |= now - since > BEHIND_AFTER;
                self.ask_from_peer(now, since, origin, ask);
            }
            Message::Peer(PeerEvent::Message(_, PeerMsg::Tell { id, answer, .. })) => {
                self.answer(now, ReqId(id), answer);
            }
            Message::Peer(PeerEvent::Message(_, PeerMsg::Ping { .. })) => {}
            Message::Loaded(l) => self.loaded(now, *l),
            Message::MachineTypes(f) => {
                self.flavors = f.clone();
                if let Role::Leader(t) = &self.role {
                    let epoch = t.epoch;
                    self.event(now, epoch, Event::MachineTypes(f));
                }
            }
            Message::Event(epoch, e) => self.event(now, epoch, e),
            Message::Txn(epoch, id, outcome) => {
                if let Some(t) = self.term(epoch) {
                    let (events, steps) = t.commit.finished(now, id, outcome, &mut t.sched);
                    self.after_commit(now, events, steps);
                }
            }
            Message::ReadBack(epoch, key, r) => {
                if let Some(t) = self.term(epoch) {
                    let (events, steps) = t.commit.read_back(key, r, &mut t.sched);
                    self.after_commit(now, events, steps);
                }
            }
            Message::Stop => {
                tracing::info!(open = self.pending.len(), "stopping");
                self.stopping = Some(now);
                self.notice.healthy.store(false, Ordering::Relaxed);
                self.server.close();
            }
            Message::ListReady(req, a) => self.answer(now, req, a),
            Message::FinalRead(req, id, r) => {
                self.answer(now, req, routing::answer_final_read(&id, r));
            }
            Message::Upgrade(news) => self.upgrade_news(now, news),
        }
    }

    fn term(&mut self, epoch: Epoch) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(t) if t.epoch == epoch => Some(t),
            _ => None,
        }
    }

    fn event(&mut self, now: Time, epoch: Epoch, e: Event) {
        let Some(t) = self.term(epoch) else { return };
        let effects = t.sched.handle(now, e);
        self.effects(now, epoch, effects);
    }

    fn effects(&mut self, now: Time, epoch: Epoch, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Answer(req, a) => self.answer(now, req, a),
                Effect::ReadFinal(id) => {
                    let _ = self.store.send(StateRequest::ReadFinal(epoch, id));
                }
                Effect::ReadRecord(req, id) => {
                    let _ = self.store.send(StateRequest::ReadRecord(epoch, req, id));
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
                    let _ = self.agents.send(direct_call);
                }
                Effect::Rent(h) => {
                    let _ = self.cloud.send(CloudRequest::Rent(epoch, h));
                }
                Effect::Release(hosts) => {
                    let _ = self.cloud.send(CloudRequest::Return(epoch, hosts));
                }
            }
        }
    }

    fn after_commit(&mut self, now: Time, events: Vec<Event>, steps: Vec<Step>) {
        let Role::Leader(t) = &self.role else { return };
        let epoch = t.epoch;
        for e in events {
            self.event(now, epoch, e);
        }
        for s in steps {
            match s {
                Step::Read(key) => {
                    let _ = self.store.send(StateRequest::ReadBack(epoch, key));
                }
                Step::Deposed => {
                    tracing::warn!(%epoch, "the leader's key is no longer ours");
                    self.step_down(now, LeadershipEnd::KeyLost);
                    return;
                }
            }
        }
    }

    /// Sends what may be committed now.
    fn flush(&mut self, now: Time) {
        let Role::Leader(t) = &mut self.role else {
            return;
        };
        while let Some((id, txn)) = t.commit.next(now, &mut t.sched) {
            let _ = self.store.send(StateRequest::Commit(t.epoch, id, txn));
        }
    }

    /// Shows readers what has changed, as long as the leadership is proven.
    fn publish(&mut self, now: Time) {
        let at = wall().0;
        let published = match &mut self.role {
            Role::Leader(t) => {
                for (id, line) in t.sched.take_changed() {
                    match line {
                        Ok(l) => t.board.put(l, at),
                        Err(state) => {
                            let state = state.map_or("done", |s| s.as_str());
                            t.board.remove(id.as_str(), state, at);
                        }
                    }
                }
                let until = t.sched.leadership_valid_until();
                (now < until).then(|| PublishedJobs {
                    jobs: t.board.publish(),
                    valid_until: self.clock.moment(until),
                })
            }
            _ => None,
        };
        self.notice.jobs.store(published.map(Arc::new));
    }

    fn tick(&mut self, now: Time) {
        // Cut off from the state service, a leader learns from the others that
        // it is none any more.
        if let (Some(mine), Some((label, epoch))) = (self.own_epoch(), self.peers.best_leader())
            && epoch > mine
        {
            tracing::warn!(%label, %epoch, "a later leader is known");
            self.step_down(now, LeadershipEnd::LaterLeader);
        }
        if let Role::Leader(t) = &self.role {
            let epoch = t.epoch;
            let away = self.peers.unreachable_peers();
            self.event(now, epoch, Event::Unreachable(away));
            if std::mem::take(&mut self.behind) {
                self.event(now, epoch, Event::Overloaded);
            }
            self.event_with_pass(now, epoch, Event::Tick(wall()));
        }
        let late: Vec<ReqId> = self
            .pending
            .iter()
            .filter(|(_, p)| now - p.since > p.limit)
            .map(|(r, _)| *r)
            .collect();
        for req in late {
            self.give_up(now, req, "no answer in time");
        }
        // What was passed to a leader that has fallen silent is not waited for, nor
        // what an earlier process of the one there is now was asked.
        let best = self.peers.best_leader();
        let lost: Vec<ReqId> = self
            .pending
            .iter()
            .filter(|(_, p)| {
                p.with.as_ref().is_some_and(|l| {
                    !self.peers.reachable(&l.0) || requests::leader_restarted(l, best.as_ref())
                })
            })
            .map(|(r, _)| *r)
            .collect();
        for req in lost {
            self.look_elsewhere(now, req);
        }
        self.switch_format(now);
        self.balance_workers(now);
        self.publish(now);
        self.log_requests(now);
        self.check_invariants(now);
        let ok = self.stopping.is_none() && self.can_serve(now);
        if ok != self.notice.healthy.swap(ok, Ordering::Relaxed) {
            tracing::info!(healthy = ok, "health changed");
        }
    }
}

/// Where final states are looked up.
pub(crate) fn final_of(item: Option<Item>) -> Result<Option<Final>, ()> {
    match item {
        None => Ok(None),
        Some(i) => serde_json::from_value(i.value).map(Some).map_err(|_| ()),
    }
}

pub(crate) fn key_of_final(id: &JobId) -> String {
    final_key(id)
}
