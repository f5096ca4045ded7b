//! Controllers among themselves: each keeps a connection to every other, says
//! twice a second whom it hears and who leads, and at once when that changes, and
//! passes requests on; through the third controller where the direct way is cut.
//! What follows from all that is [`hookworks_membership`]'s; here are the sockets.

use crate::ids::{ControllerVersion, Epoch, Instance, Label};
use crate::settings::Seed;
use crate::time::{Clock, Span, Time};
use crate::versions;
use crate::wire::peer::{PeerMsg, PingMore, PingSelf};
use crate::wire::peer_frame::{self, MAX_FRAME_BYTES};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use hookworks_membership::{LinkId, Membership, PeerStatus, PingOutcome, ReportedVersion};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const PING: Duration = Duration::from_millis(500);
/// Not heard for longer, a link counts as down.
const DOWN_AFTER: Span = Span(1_700_000);
const CALL: Duration = Duration::from_secs(1);
/// A controller that can't be connected to is tried again after so long; sooner
/// at first, since a process that ended may be back in a moment.
const AGAIN: Duration = Duration::from_millis(300);
const AGAIN_SOON: (Duration, u32) = (Duration::from_millis(100), 20);
/// A connection over which we are not heard by then is made anew.
const UNHEARD: Duration = Duration::from_millis(2500);
/// Connections of each other controller; an old one may linger beside the new.
const INBOUND_EACH: usize = 6;
const QUEUE: usize = 1024;
/// Messages that leave in one go.
const BATCH: usize = 64;

/// Sockets for talk with so many other controllers.
pub fn sockets(others: usize) -> usize {
    // To each, from each, the listening one, and one that is refused.
    others * (2 + INBOUND_EACH) + 2
}

/// What comes of the talk with other controllers.
pub enum FromPeers {
    /// With the moment at which it arrived, from which answers count: it may wait
    /// its turn for longer than they are good for.
    Msg(Time, PeerMsg),
    /// The process of that label has ended, or the link by which it was heard:
    /// what it was asked will not be answered.
    Gone(Label),
}

/// How many workers report to a controller, and how many it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub label: Label,
    pub workers: u32,
    pub most: Option<u32>,
}

/// The way to one other controller.
struct Link {
    queue: Sender<Vec<PeerMsg>>,
    /// Counts the processes that have taken up its label: a connection to an
    /// earlier one is of no use, but may not say so for a while.
    process: AtomicU64,
}

/// Who this process is.
pub struct Own {
    pub label: Label,
    pub instance: Instance,
    /// How many workers it can hold.
    pub most: u32,
}

/// Shared by the threads of this module and whoever sends.
pub struct Peers {
    me: Own,
    clock: Clock,
    links: HashMap<Label, Link>,
    members: Mutex<Membership>,
    next_link: AtomicU64,
    workers: AtomicU32,
}

impl Peers {
    /// Starts the threads; what arrives for this controller goes to `inbox`. The
    /// listening socket is held as long as the process lives.
    pub fn start<F>(
        me: Own,
        clock: Clock,
        listen: SocketAddr,
        seeds: &[Seed],
        inbox: F,
    ) -> std::io::Result<Arc<Peers>>
    where
        F: Fn(FromPeers) -> bool + Send + Clone + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut links = HashMap::new();
        let mut queues = vec![];
        for s in seeds {
            let (queue, rx) = bounded(QUEUE);
            let process = AtomicU64::new(0);
            links.insert(s.label.clone(), Link { queue, process });
            queues.push((s.label.clone(), s.peer_addr, rx));
        }
        let others = seeds.iter().map(|s| s.label.clone()).collect();
        let members = Membership::new(me.label.clone(), others, DOWN_AFTER);
        let peers = Arc::new(Peers {
            me,
            clock,
            links,
            members: Mutex::new(members),
            next_link: AtomicU64::new(1),
            workers: AtomicU32::new(0),
        });
        for (to, addr, rx) in queues {
            let p = peers.clone();
            crate::node::spawn("peer-out", move || p.keep_link(&to, addr, rx));
        }
        let p = peers.clone();
        crate::node::spawn("peer-listen", move || p.accept(listener, inbox));
        Ok(peers)
    }

    fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn ping(&self) -> PeerMsg {
        let now = self.now();
        let m = self.members();
        PeerMsg::Ping {
            from: self.me.label.to_string(),
            leader: m.announced_leader().map(|(l, e)| (l.to_string(), e.0)),
            hears: m.live_peers(now).map(Label::to_string).collect(),
            workers: self.workers.load(Ordering::Relaxed),
        }
    }

    /// Something has changed that the others should not wait to hear.
    fn tell_all(&self) {
        for l in self.links.values() {
            let _ = l.queue.try_send(vec![self.ping()]);
        }
    }

    /// How many workers this controller can hold; told to the others.
    pub fn most(&self) -> u32 {
        self.me.most
    }

    fn more(&self) -> (PingMore, PingSelf) {
        let more = PingMore {
            workers_most: Some(self.me.most),
            speaks: versions::OWN.0,
        };
        let instance = self.me.instance.0;
        (more, PingSelf { instance })
    }

    /// How many workers report to this controller; told to the others.
    pub fn set_workers(&self, n: u32) {
        self.workers.store(n, Ordering::Relaxed);
    }

    /// How many workers report to each controller that can be talked to.
    pub fn workers(&self) -> Vec<Load> {
        let now = self.now();
        let m = self.members();
        let load = |l: &Label| {
            m.status(now, l).map(|t| Load {
                label: l.clone(),
                workers: t.workers,
                most: t.workers_most,
            })
        };
        m.others().filter_map(load).collect()
    }

    /// What this controller believes; told to the others.
    pub fn set_leader(&self, l: Option<(Label, Epoch)>) {
        if self.members().set_leader(l) {
            self.tell_all();
        }
    }

    /// The latest leader that any controller in touch speaks of.
    pub fn best_leader(&self) -> Option<(Label, Epoch)> {
        self.members().latest_leader(self.now())
    }

    /// The epoch that a controller in touch says it leads itself.
    pub fn claimed_epoch(&self, label: &Label) -> Option<Epoch> {
        let members = self.members();
        let claim = members.status(self.now(), label)?.leader.as_ref();
        claim.filter(|l| l.0 == *label).map(|l| l.1)
    }

    /// Any other controller can be talked to.
    pub fn any(&self) -> bool {
        self.members().any_reachable(self.now())
    }

    /// Controllers that can't be talked to directly.
    pub fn out_of_reach(&self) -> Vec<Label> {
        self.members().unreachable(self.now())
    }

    /// The version of each controller that was ever heard, in touch or not.
    pub fn versions(&self) -> Vec<(Label, ReportedVersion)> {
        let members = self.members();
        let owned = |(label, reported): (&Label, _)| (label.clone(), reported);
        members.versions().map(owned).collect()
    }

    pub fn reachable(&self, to: &Label) -> bool {
        self.members().route(self.now(), to).is_some()
    }

    /// False if there is no way at the moment; nothing is sent then.
    pub fn send(&self, to: &Label, msgs: Vec<PeerMsg>) -> bool {
        let via = self.members().route(self.now(), to).cloned();
        let link = via.and_then(|l| self.links.get(&l));
        link.is_some_and(|l| l.queue.try_send(msgs).is_ok())
    }

    fn keep_link(&self, to: &Label, addr: SocketAddr, queue: Receiver<Vec<PeerMsg>>) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        let mut in_vain = 0;
        loop {
            let process = link.process.load(Ordering::SeqCst);
            let Ok(mut s) = TcpStream::connect_timeout(&addr, CALL) else {
                while queue.try_recv().is_ok() {}
                let soon = in_vain < AGAIN_SOON.1;
                std::thread::sleep(if soon { AGAIN_SOON.0 } else { AGAIN });
                in_vain += 1;
                continue;
            };
            in_vain = 0;
            let _ = s.set_nodelay(true);
            let _ = s.set_write_timeout(Some(CALL));
            let mut sent = Instant::now();
            let since = Instant::now();
            let mut ok = self.write(&mut s, vec![self.ping()], &queue).is_ok();
            // A peer that came back after a crash may leave the old connection
            // unanswered for long; only its own word says that we are heard.
            let heard = || {
                let still = link.process.load(Ordering::SeqCst) == process;
                still && (since.elapsed() < UNHEARD || self.members().reachable(self.now(), to))
            };
            while ok && heard() {
                match queue.recv_timeout(PING.saturating_sub(sent.elapsed())) {
                    Ok(_) if link.process.load(Ordering::SeqCst) != process => break,
                    Ok(m) => ok = self.write(&mut s, m, &queue).is_ok(),
                    Err(RecvTimeoutError::Timeout) => {
                        sent = Instant::now();
                        ok = self.write(&mut s, vec![self.ping()], &queue).is_ok();
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if sent.elapsed() >= PING {
                    sent = Instant::now();
                    ok = ok && self.write(&mut s, vec![self.ping()], &queue).is_ok();
                }
            }
        }
    }

    /// Sends messages, along with some of what waits behind them.
    fn write(
        &self,
        s: &mut TcpStream,
        msgs: Vec<PeerMsg>,
        queue: &Receiver<Vec<PeerMsg>>,
    ) -> std::io::Result<()> {
        let mut out = vec![];
        let more = queue.try_iter().take(BATCH);
        for m in std::iter::once(msgs).chain(more).flatten() {
            peer_frame::encode(&m, self.more(), &mut out)?;
            if out.len() > MAX_FRAME_BYTES {
                s.write_all(&out)?;
                out.clear();
            }
        }
        s.write_all(&out)
    }

    fn accept<F>(self: Arc<Self>, listener: TcpListener, inbox: F)
    where
        F: Fn(FromPeers) -> bool + Send + Clone + 'static,
    {
        let open = Arc::new(AtomicUsize::new(0));
        for s in listener.incoming() {
            let Ok(s) = s else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= INBOUND_EACH * self.links.len() {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (p, inbox, now_open) = (self.clone(), inbox.clone(), open.clone());
            let started = crate::node::spawn("peer-in", move || {
                p.listen_to(s, &inbox);
                now_open.fetch_sub(1, Ordering::SeqCst);
            });
            if !started {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }

    fn listen_to(&self, s: TcpStream, inbox: &impl Fn(FromPeers) -> bool) {
        // A live peer pings twice a second.
        let _ = s.set_read_timeout(Some(Duration::from_secs(10)));
        let mut s = BufReader::with_capacity(32 * 1024, s);
        let id = LinkId(self.next_link.fetch_add(1, Ordering::Relaxed));
        while let Ok((msg, (more, own))) = peer_frame::read(&mut s) {
            let msg = match msg {
                PeerMsg::Ping {
                    from,
                    leader,
                    hears,
                    workers,
                } => {
                    let told = PeerStatus {
                        instance: own.map(|o| Instance(o.instance)),
                        live_peers: hears.iter().map(|l| l.as_str().into()).collect(),
                        leader: leader.map(|(l, e)| (l.as_str().into(), Epoch(e))),
                        workers,
                        workers_most: more.workers_most,
                        version: ControllerVersion(more.speaks),
                    };
                    if !self.hear(from.as_str().into(), id, told, inbox) {
                        break;
                    }
                    continue;
                }
                m => m,
            };
            let to = match &msg {
                PeerMsg::Ask { to, .. } | PeerMsg::Tell { to, .. } => to.as_str(),
                PeerMsg::Ping { .. } => continue,
            };
            if to == self.me.label.as_str() {
                if !inbox(FromPeers::Msg(self.now(), msg)) {
                    break;
                }
            } else {
                // Passed on once, straight to where it belongs.
                let to = Label::from(to);
                if self.members().reachable(self.now(), &to)
                    && let Some(l) = self.links.get(&to)
                {
                    let _ = l.queue.try_send(vec![msg]);
                }
            }
        }
        let gone = self.members().link_closed(id);
        if let Some(label) = gone {
            tracing::debug!(%label, "its link has ended");
            self.tell_all();
            inbox(FromPeers::Gone(label));
        }
    }

    /// Takes a ping; false once nobody listens any more.
    fn hear(
        &self,
        from: Label,
        by: LinkId,
        told: PeerStatus,
        inbox: &impl Fn(FromPeers) -> bool,
    ) -> bool {
        let Some(link) = self.links.get(&from) else {
            return true;
        };
        let news = self.members().record_ping(self.now(), &from, by, told);
        match news {
            PingOutcome::Unchanged | PingOutcome::Stale => true,
            PingOutcome::Joined => {
                // It waits for our word that it is heard.
                self.tell_all();
                true
            }
            PingOutcome::Restarted => {
                tracing::info!(label = %from, "another process has taken up that label");
                link.process.fetch_add(1, Ordering::SeqCst);
                self.tell_all();
                inbox(FromPeers::Gone(from))
            }
        }
    }
}
