//! The long-lived duties, a thread or a few for each.

use super::{Msg, StoreJob, final_of, key_of_final, spawn};
use crate::agent::AgentClient;
use crate::cloud::CloudClient;
use crate::ids::{CallId, Epoch, Host};
use crate::lead::{Candidate, Elect, Elector};
use crate::sched::{DirectResult, Event};
use crate::settings::Settings;
use crate::store::StateClient;
use crate::store::budget::Budget;
use crate::store::client::State;
use crate::time::{Clock, Span, Time};
use crate::wire::cloud::Hire;
use crate::wire::worker::Orders;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const STORE_THREADS: usize = 8;
const AGENT_THREADS: usize = 16;
/// Those of the state service, the election, the cloud and direct calls; a
/// client may hold two while it goes from one to another.
pub(super) const SOCKETS: usize = STORE_THREADS + 4 + 4 + 2 * AGENT_THREADS;
/// Word of the election that may wait for the main loop, some ten seconds of it.
const ELECTIONS: usize = 32;
/// A direct call that has waited for longer is given up unsent.
const STALE_CALL: Span = Span(1_000_000);
const LIST_EVERY: Span = Span(5_000_000);
const FLAVORS_EVERY: Span = Span(60_000_000);

pub fn store(settings: &Settings, inbox: Sender<Msg>) -> Sender<StoreJob> {
    let (tx, rx) = unbounded::<StoreJob>();
    let client = StateClient::new(
        settings.platform.services.state,
        Duration::from_millis(2500),
    );
    for _ in 0..STORE_THREADS {
        let (rx, inbox, client): (Receiver<StoreJob>, _, _) =
            (rx.clone(), inbox.clone(), client.clone());
        spawn("store", move || {
            for job in rx {
                let msg = match job {
                    StoreJob::Txn(epoch, id, txn) => Msg::Txn(epoch, id, client.txn(&txn)),
                    StoreJob::ReadBack(epoch, key) => {
                        let r = client.get(&key);
                        if r.is_err() {
                            std::thread::sleep(Duration::from_millis(200));
                        }
                        Msg::ReadBack(epoch, key, r)
                    }
                    StoreJob::Final(epoch, id) => {
                        let r = client.get(&key_of_final(&id)).map_err(|_| ());
                        Msg::Event(epoch, Event::FinalRead(id, r.and_then(final_of)))
                    }
                    StoreJob::Record(epoch, req, id) => {
                        let r = client.get(&key_of_final(&id)).map_err(|_| ());
                        let r = r.map(|i| i.map(|i| i.value));
                        Msg::Event(epoch, Event::RecordRead(req, id, r))
                    }
                    StoreJob::Look(req, id) => {
                        let r = client.get(&key_of_final(&id)).map_err(|_| ());
                        Msg::Look(req, id, r.and_then(final_of))
                    }
                };
                if inbox.send(msg).is_err() {
                    return;
                }
            }
        });
    }
    tx
}

/// What the election's thread is told.
pub enum ToElection {
    /// The leader seems to be gone.
    Hurry,
    /// Resign and end; the sender hears when that is done.
    Stop(Sender<()>),
}

/// Looks who leads, campaigns, and keeps the leadership up. What comes of it has a
/// channel of its own, as it passes all other messages.
pub fn election(
    settings: &Settings,
    clock: Clock,
    me: Candidate,
) -> (Sender<ToElection>, Receiver<Elect>) {
    let (tell, told) = bounded::<ToElection>(8);
    let (say, said) = bounded::<Elect>(ELECTIONS);
    let p = &settings.platform;
    let ttl = Span::secs(settings.tuning.leader_lease_s);
    let timeout = Duration::from_millis(1200);
    let state = StateClient::new(p.services.state, timeout);
    let mut elector = Elector::new(state, me, ttl);
    spawn("election", move || {
        loop {
            let e = elector.step(|| clock.now());
            if say.send(e).is_err() {
                elector.resign();
                return;
            }
            // Not all at the same moment.
            let jitter = Duration::from_millis(rand::random_range(0..60));
            match told.recv_timeout(elector.pause().std() + jitter) {
                Ok(ToElection::Hurry) => elector.hurry(),
                Ok(ToElection::Stop(done)) => {
                    elector.resign();
                    let _ = done.send(());
                    return;
                }
                Err(_) => {}
            }
        }
    });
    (tell, said)
}

pub enum CloudJob {
    Hire(Epoch, Hire),
    Release(Epoch, Vec<Host>),
    /// A new leader wants to know what there is.
    Look,
}

pub fn cloud(
    settings: &Settings,
    clock: Clock,
    term: Arc<AtomicU64>,
    inbox: Sender<Msg>,
) -> Sender<CloudJob> {
    let (tx, rx) = unbounded::<CloudJob>();
    let client = CloudClient::new(settings.platform.services.cloud);
    let rps = settings.platform.params.cloud.rps;
    spawn("cloud", move || {
        let mut budget = Budget::new(rps * 0.9, rps);
        let wait = |b: &mut Budget| {
            while !b.has(clock.now(), 1.0) {
                std::thread::sleep(Duration::from_millis(50));
            }
            b.take(clock.now(), 1.0);
        };
        let mut list_at = clock.now();
        let mut flavors_at = clock.now();
        loop {
            let now = clock.now();
            let epoch = Epoch(term.load(Ordering::SeqCst));
            let leads = epoch.0 != 0;
            let due = if leads {
                list_at - now
            } else {
                Span::secs(1.0)
            };
            let job = match rx.recv_timeout(due.std().min(Duration::from_millis(500))) {
                Ok(j) => Some(j),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = clock.now();
            match job {
                Some(CloudJob::Hire(e, h)) if e == epoch => {
                    wait(&mut budget);
                    let r = client.hire(&h);
                    let _ = inbox.send(Msg::Event(e, Event::Hired(h, r)));
                }
                Some(CloudJob::Release(e, hosts)) if e == epoch => {
                    wait(&mut budget);
                    let ok = client.release(&hosts);
                    let _ = inbox.send(Msg::Event(e, Event::Released(hosts, ok)));
                }
                Some(CloudJob::Look) => {
                    list_at = now;
                    flavors_at = now;
                }
                _ => {}
            }
            // Followers know them too, so that a take-over need not ask first.
            if now >= flavors_at {
                wait(&mut budget);
                let r = client.flavors();
                flavors_at = now
                    + if r.is_some() {
                        FLAVORS_EVERY
                    } else {
                        Span::secs(1.0)
                    };
                if let Some(f) = r {
                    let _ = inbox.send(Msg::Flavors(f));
                }
            }
            if leads && now >= list_at {
                list_at = now + LIST_EVERY;
                let mut after: Option<Host> = None;
                loop {
                    wait(&mut budget);
                    let Some((hosts, more)) = client.page(after.as_ref()) else {
                        break;
                    };
                    after = hosts.last().map(|h| h.host.clone());
                    let _ = inbox.send(Msg::Event(epoch, Event::Listed(hosts)));
                    if !more || after.is_none() {
                        break;
                    }
                }
            }
        }
    });
    tx
}

pub struct AgentJob {
    pub since: Time,
    pub epoch: Epoch,
    pub call: CallId,
    pub host: Host,
    pub addr: String,
    pub orders: Orders,
}

pub fn agents(clock: Clock, inbox: Sender<Msg>) -> Sender<AgentJob> {
    let (tx, rx) = unbounded::<AgentJob>();
    let client = Arc::new(AgentClient::new());
    for _ in 0..AGENT_THREADS {
        let (rx, inbox, client): (Receiver<AgentJob>, _, _) =
            (rx.clone(), inbox.clone(), client.clone());
        spawn("agent", move || {
            for j in rx {
                // What has waited for long is not sent at all: behind calls that
                // hang its worker would get no commands for too long.
                let r = if clock.now() - j.since > STALE_CALL {
                    DirectResult::Unsent
                } else {
                    client.orders(&j.addr, &j.orders)
                };
                let e = Event::Direct(j.call, j.host, r);
                if inbox.send(Msg::Event(j.epoch, e)).is_err() {
                    return;
                }
            }
        });
    }
    tx
}
