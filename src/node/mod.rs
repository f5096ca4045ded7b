//! A controller: its threads, and the loop that holds everything together.

mod asks;
pub mod balance;
pub mod follow;
mod health;
pub mod inbox;
mod invariants;
mod leadership;
pub mod lists;
pub mod load;
mod request_log;
mod threads;
mod upgrade;

pub use asks::{is_expired, replaced};

use crate::api::{self, Incoming, Notice, Published};
use crate::election::{BoundAddress, Candidate, ElectionOutcome, LeaderRecord};
use crate::ids::{ControllerId, Epoch, Instance, JobId, RequestId, TxnId};
use crate::peer::{FromPeers, Own, Peers};
use crate::sched::job::Final;
use crate::sched::{Effect, Event, Sched};
use crate::settings::{CapacityLimits, Settings};
use crate::store::budget::Budget;
use crate::store::client::ReadError;
use crate::store::commit::{Committer, Step};
use crate::store::{TxnOutcome, final_key};
use crate::time::{Clock, Span, Time, wall_time_now};
use crate::versions::FormatSwitch;
use crate::wire::cloud::MachineType;
use crate::wire::peer::{Answer, PeerMessage, Request};
use crate::wire::state::Item;
use balance::WorkerBalance;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, select_biased};
use hdrhistogram::Histogram;
use hookworks_http_server::{Reply, RequestClass, Server};
use hookworks_listing::Board;
use inbox::{Inbox, InboxSenders};
use invariants::Invariants;
use leadership::LeadershipEnd;
use load::Loaded;
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
type HttpInbox = Box<dyn Fn(Incoming) -> bool + Send + Sync>;
type HttpSide = api::Api<HttpInbox>;

impl InboxSenders<Msg> {
    /// Puts a message into its line; false if the main loop has ended.
    fn put(&self, message: Msg) -> bool {
        let line = match message.is_heartbeat() {
            true => &self.heartbeats,
            false => &self.others,
        };
        line.send(message).is_ok()
    }
}

impl Msg {
    /// A worker's heartbeat, from here or passed on by another controller.
    fn is_heartbeat(&self) -> bool {
        let (Msg::Http(Incoming::Ask(_, ask))
        | Msg::Peer(FromPeers::Msg(_, PeerMessage::Request { request: ask, .. }))) = self
        else {
            return false;
        };
        matches!(ask, Request::Report(_))
    }
}

/// Everything that reaches the main loop.
pub enum Msg {
    Http(Incoming),
    Peer(FromPeers),
    Loaded(Box<Loaded>),
    /// Machine types, which every controller keeps at hand.
    Flavors(Vec<MachineType>),
    /// The process is to end in good order.
    Stop,
    /// An event of a term; those of earlier terms are dropped.
    Event(Epoch, Event),
    Txn(Epoch, TxnId, TxnOutcome),
    ReadBack(Epoch, String, Result<Option<Item>, ReadError>),
    /// A page of jobs is ready.
    Listed(RequestId, Answer),
    /// A look-up of a final state without a leader.
    Look(RequestId, JobId, Result<Option<Final>, ()>),
    /// Versions of controllers, and the switch to compact records.
    Upgrade(upgrade::UpgradeNews),
}

enum Origin {
    Http(Reply),
    Peer { from: ControllerId, id: u64 },
}

struct Pending {
    origin: Origin,
    since: Time,
    limit: Span,
    kind: RequestKind,
    /// A worker's report that was passed on, in case that another leader
    /// comes before the answer.
    report: Option<Vec<u8>>,
    /// The leader that it was passed on to, and its term.
    with: Option<(ControllerId, Epoch)>,
}

enum Role {
    Follower,
    Loading(Epoch),
    Leader(Box<Term>),
}

struct Term {
    epoch: Epoch,
    sched: Sched,
    commit: Committer,
    /// What readers are shown of the unfinished jobs.
    board: Board,
    switch: FormatSwitch,
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
    notice: Arc<Notice>,
    server: Server<HttpSide>,
    term: Arc<AtomicU64>,
    store: Sender<StateRequest>,
    cloud: Sender<CloudRequest>,
    agents: Sender<DirectCall>,
    lists: Sender<(RequestId, lists::Wanted)>,
    inbox: Sender<Msg>,
    pending: HashMap<RequestId, Pending>,
    next_req: u64,
    sizes: CapacityLimits,
    /// Look-ups of final states without a leader.
    looks: Budget,
    worker_balance: WorkerBalance,
    /// What goes to other controllers at the end of this turn.
    outbox: HashMap<ControllerId, Vec<PeerMessage>>,
    flavors: Vec<MachineType>,
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
    threads::SOCKETS + load::SOCKETS + upgrade::SOCKETS
}

/// Runs a controller until the process ends.
pub fn serve(settings: Settings) -> std::io::Result<()> {
    let clock = Clock::start();
    let sizes = settings.capacity_limits().map_err(std::io::Error::other)?;
    let (senders, received) = inbox::inbox::<Msg>(sizes.inbox);
    let inbox = senders.others.clone();
    let p = &settings.platform;
    let notice = Arc::new(Notice::default());
    let term = Arc::new(AtomicU64::new(0));
    let senders = Arc::new(senders);
    let lines = senders.clone();
    let to_inbox: HttpInbox = Box::new(move |incoming| lines.put(Msg::Http(incoming)));
    let server = api::start(&settings, notice.clone(), to_inbox)?;
    let to_inbox = move |from_peers| senders.put(Msg::Peer(from_peers));
    let most = server.metrics().bounds.max_for(RequestClass::Workers) as u32;
    let instance = Instance(rand::random::<u32>() as u64);
    let own = Own {
        label: p.label.clone(),
        instance,
        most,
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
    let lists = lists::start(&settings, clock, notice.clone(), inbox.clone());
    let election = threads::election::start(&settings, clock, me);
    let upgrade = Upgrade::start(&settings, clock, instance, inbox.clone());
    let tx = inbox.clone();
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = tx.send(Msg::Stop);
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
        next_req: first_request(instance),
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
pub fn first_request(instance: Instance) -> u64 {
    (instance.0 << 32) + 1
}

/// Microseconds, up to a minute.
fn histogram() -> std::io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 2).map_err(std::io::Error::other)
}

impl Node {
    fn run(mut self, mut inbox: Inbox<Msg>, elections: Receiver<ElectionOutcome>) {
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

    fn take(&mut self, m: Msg) {
        let now = self.clock.now();
        match m {
            Msg::Http(Incoming::Ask(reply, ask)) => {
                // From when it was here, not from when it had waited its turn.
                let since = self.clock.time_at(reply.asked()).min(now);
                self.behind |= now - since > BEHIND_AFTER;
                self.ask(now, since, Origin::Http(reply), ask);
            }
            Msg::Http(Incoming::Overview(reply)) => {
                let body = self.overview(now).to_string();
                reply.answer(Answer::new(200, body));
            }
            Msg::Peer(FromPeers::Gone(label)) => self.peer_gone(now, &label),
            Msg::Peer(FromPeers::Msg(
                since,
                PeerMessage::Request {
                    id,
                    from,
                    request: ask,
                    ..
                },
            )) => {
                let from = ControllerId::from(from.as_str());
                let origin = Origin::Peer { from, id };
                self.behind |= now - since > BEHIND_AFTER;
                self.ask_from_peer(now, since, origin, ask);
            }
            Msg::Peer(FromPeers::Msg(_, PeerMessage::Response { id, answer, .. })) => {
                self.answer(now, RequestId(id), answer);
            }
            Msg::Peer(FromPeers::Msg(_, PeerMessage::Ping { .. })) => {}
            Msg::Loaded(l) => self.loaded(now, *l),
            Msg::Flavors(f) => {
                self.flavors = f.clone();
                if let Role::Leader(t) = &self.role {
                    let epoch = t.epoch;
                    self.event(now, epoch, Event::Flavors(f));
                }
            }
            Msg::Event(epoch, e) => self.event(now, epoch, e),
            Msg::Txn(epoch, id, outcome) => {
                if let Some(t) = self.term(epoch) {
                    let (events, steps) = t.commit.handle_outcome(now, id, outcome, &mut t.sched);
                    self.after_commit(now, events, steps);
                }
            }
            Msg::ReadBack(epoch, key, r) => {
                if let Some(t) = self.term(epoch) {
                    let (events, steps) = t.commit.handle_read(key, r, &mut t.sched);
                    self.after_commit(now, events, steps);
                }
            }
            Msg::Stop => {
                tracing::info!(open = self.pending.len(), "stopping");
                self.stopping = Some(now);
                self.notice.healthy.store(false, Ordering::Relaxed);
                self.server.close();
            }
            Msg::Listed(req, a) => self.answer(now, req, a),
            Msg::Look(req, id, r) => {
                self.answer(now, req, follow::answer_read(&id, r));
            }
            Msg::Upgrade(news) => self.upgrade_news(now, news),
        }
    }

    fn term(&mut self, epoch: Epoch) -> Option<&mut Term> {
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
                Effect::Hire(h) => {
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
        while let Some((id, txn)) = t.commit.next_txn(now, &mut t.sched) {
            let _ = self.store.send(StateRequest::Commit(t.epoch, id, txn));
        }
    }

    /// Shows readers what has changed, as long as the leadership is proven.
    fn publish(&mut self, now: Time) {
        let at = wall_time_now().0;
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
                let until = t.sched.proven_until();
                (now < until).then(|| Published {
                    jobs: t.board.publish(),
                    until: self.clock.instant_at(until),
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
            let away = self.peers.out_of_reach();
            self.event(now, epoch, Event::OutOfReach(away));
            if std::mem::take(&mut self.behind) {
                self.event(now, epoch, Event::Behind);
            }
            self.event_with_pass(now, epoch, Event::Tick(wall_time_now()));
        }
        let late: Vec<RequestId> = self
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
        let lost: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, p)| {
                p.with.as_ref().is_some_and(|l| {
                    !self.peers.reachable(&l.0) || asks::replaced(l, best.as_ref())
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
