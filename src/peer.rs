//! Controllers among themselves: each keeps a connection to every other, says
//! twice a second whom it hears and who leads, and passes requests on; through
//! the third controller where the direct way is cut.

use crate::ids::{Epoch, Label};
use crate::settings::Seed;
use crate::time::{Clock, Span, Time};
use crate::wire::peer::{PeerMsg, PingMore, SPEAKS};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PING: Duration = Duration::from_millis(500);
/// Not heard for longer, a link counts as down.
const DOWN_AFTER: Span = Span(1_700_000);
const CALL: Duration = Duration::from_secs(1);
/// A connection over which we are not heard by then is made anew.
const UNHEARD: Duration = Duration::from_millis(2500);
const MAX_FRAME: usize = 128 * 1024;
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

#[derive(Default)]
struct Heard {
    at: Time,
    hears: Vec<String>,
    leader: Option<(Label, Epoch)>,
    workers: u32,
    /// What it says besides; of an earlier version nothing.
    more: PingMore,
}

/// How many workers report to a controller, and how many it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub label: Label,
    pub workers: u32,
    pub most: Option<u32>,
}

/// Shared by the threads of this module and whoever sends.
pub struct Peers {
    me: Label,
    clock: Clock,
    links: HashMap<Label, Sender<Vec<PeerMsg>>>,
    heard: Mutex<HashMap<Label, Heard>>,
    leader: Mutex<Option<(Label, Epoch)>>,
    workers: AtomicU32,
    most: u32,
}

impl Peers {
    /// Starts the threads; what arrives for this controller goes to `inbox`.
    pub fn start<F>(
        me: Label,
        clock: Clock,
        listen: SocketAddr,
        seeds: &[Seed],
        most: u32,
        inbox: F,
    ) -> std::io::Result<Arc<Peers>>
    where
        F: Fn(PeerMsg) -> bool + Send + Clone + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut links = HashMap::new();
        let mut queues = vec![];
        for s in seeds {
            let (tx, rx) = bounded(QUEUE);
            links.insert(s.label.clone(), tx);
            queues.push((s.label.clone(), s.peer_addr, rx));
        }
        let peers = Arc::new(Peers {
            me,
            clock,
            links,
            heard: Mutex::default(),
            leader: Mutex::new(None),
            workers: AtomicU32::new(0),
            most,
        });
        for (to, addr, rx) in queues {
            let p = peers.clone();
            crate::node::spawn("peer-out", move || p.keep_link(&to, addr, rx));
        }
        let p = peers.clone();
        crate::node::spawn("peer-listen", move || p.accept(listener, inbox));
        Ok(peers)
    }

    fn heard(&self) -> std::sync::MutexGuard<'_, HashMap<Label, Heard>> {
        self.heard.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn ping(&self) -> PeerMsg {
        let now = self.clock.now();
        let heard = self.heard();
        let fresh = heard.iter().filter(|(_, h)| now - h.at < DOWN_AFTER);
        let hears = fresh.map(|(l, _)| l.to_string()).collect();
        drop(heard);
        let leader = self.own_leader().map(|(l, e)| (l.to_string(), e.0));
        PeerMsg::Ping {
            from: self.me.to_string(),
            leader,
            hears,
            workers: self.workers.load(Ordering::Relaxed),
        }
    }

    /// How many workers this controller can hold; told to the others.
    pub fn most(&self) -> u32 {
        self.most
    }

    fn more(&self) -> PingMore {
        PingMore {
            workers_most: Some(self.most),
            speaks: SPEAKS,
        }
    }

    /// How many workers report to this controller; told to the others.
    pub fn set_workers(&self, n: u32) {
        self.workers.store(n, Ordering::Relaxed);
    }

    /// How many workers report to each controller that can be talked to.
    pub fn workers(&self) -> Vec<Load> {
        let near = self.links.keys().filter(|l| self.both_ways(l));
        let near: Vec<Label> = near.cloned().collect();
        let heard = self.heard();
        let load = |l: Label| {
            heard.get(&l).map(|h| Load {
                label: l,
                workers: h.workers,
                most: h.more.workers_most,
            })
        };
        near.into_iter().filter_map(load).collect()
    }

    fn own_leader(&self) -> Option<(Label, Epoch)> {
        self.leader
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// What this controller believes; told to the others.
    pub fn set_leader(&self, l: Option<(Label, Epoch)>) {
        *self.leader.lock().unwrap_or_else(|e| e.into_inner()) = l;
    }

    /// The latest leader that any controller in touch speaks of.
    pub fn best_leader(&self) -> Option<(Label, Epoch)> {
        let now = self.clock.now();
        let heard = self.heard();
        let told = heard.values().filter(|h| now - h.at < DOWN_AFTER);
        let told = told.filter_map(|h| h.leader.clone());
        told.chain(self.own_leader()).max_by_key(|(_, e)| *e)
    }

    fn both_ways(&self, l: &Label) -> bool {
        let now = self.clock.now();
        let heard = self.heard();
        let me = self.me.as_str();
        heard
            .get(l)
            .is_some_and(|h| now - h.at < DOWN_AFTER && h.hears.iter().any(|x| x == me))
    }

    /// Any other controller can be talked to.
    pub fn any(&self) -> bool {
        self.links.keys().any(|l| self.both_ways(l))
    }

    /// Controllers that can't be talked to directly.
    pub fn out_of_reach(&self) -> Vec<Label> {
        let all = self.links.keys().cloned();
        all.filter(|l| !self.both_ways(l)).collect()
    }

    /// The neighbour through which `to` can be reached, if any.
    fn route(&self, to: &Label) -> Option<Label> {
        if self.both_ways(to) {
            return Some(to.clone());
        }
        let via = |l: &&Label| {
            let knows = self
                .heard()
                .get(*l)
                .is_some_and(|h| h.hears.iter().any(|x| x == to.as_str()));
            *l != to && self.both_ways(l) && knows
        };
        self.links.keys().find(via).cloned()
    }

    /// Whether that controller understands what needs this.
    pub fn speaks(&self, to: &Label, needs: u32) -> bool {
        needs == 0 || self.heard().get(to).is_some_and(|h| h.more.speaks >= needs)
    }

    pub fn reachable(&self, to: &Label) -> bool {
        self.route(to).is_some()
    }

    /// False if there is no way at the moment; nothing is sent then.
    pub fn send(&self, to: &Label, msgs: Vec<PeerMsg>) -> bool {
        let Some(via) = self.route(to) else {
            return false;
        };
        self.links
            .get(&via)
            .is_some_and(|q| q.try_send(msgs).is_ok())
    }

    fn keep_link(&self, to: &Label, addr: SocketAddr, queue: Receiver<Vec<PeerMsg>>) {
        loop {
            let Ok(mut s) = TcpStream::connect_timeout(&addr, CALL) else {
                while queue.try_recv().is_ok() {}
                std::thread::sleep(Duration::from_millis(300));
                continue;
            };
            let _ = s.set_nodelay(true);
            let _ = s.set_write_timeout(Some(CALL));
            let mut sent = std::time::Instant::now();
            let since = std::time::Instant::now();
            let mut ok = self.write(&mut s, vec![self.ping()], &queue).is_ok();
            // A peer that came back after a crash may leave the old connection
            // unanswered for long; only its own word says that we are heard.
            while ok && (since.elapsed() < UNHEARD || self.both_ways(to)) {
                match queue.recv_timeout(PING.saturating_sub(sent.elapsed())) {
                    Ok(m) => ok = self.write(&mut s, m, &queue).is_ok(),
                    Err(RecvTimeoutError::Timeout) => {
                        sent = std::time::Instant::now();
                        ok = self.write(&mut s, vec![self.ping()], &queue).is_ok();
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if sent.elapsed() >= PING {
                    sent = std::time::Instant::now();
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
            frame(&m, self.more(), &mut out)?;
            if out.len() > MAX_FRAME {
                s.write_all(&out)?;
                out.clear();
            }
        }
        s.write_all(&out)
    }

    fn accept<F>(self: Arc<Self>, listener: TcpListener, inbox: F)
    where
        F: Fn(PeerMsg) -> bool + Send + Clone + 'static,
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

    fn listen_to(&self, s: TcpStream, inbox: &impl Fn(PeerMsg) -> bool) {
        // A live peer pings twice a second.
        let _ = s.set_read_timeout(Some(Duration::from_secs(10)));
        let mut s = BufReader::with_capacity(32 * 1024, s);
        while let Ok((msg, more)) = read(&mut s) {
            let msg = match msg {
                PeerMsg::Ping {
                    from,
                    leader,
                    hears,
                    workers,
                } => {
                    let leader = leader.map(|(l, e)| (l.as_str().into(), Epoch(e)));
                    let heard = Heard {
                        at: self.clock.now(),
                        hears,
                        leader,
                        workers,
                        more,
                    };
                    self.heard().insert(from.as_str().into(), heard);
                    continue;
                }
                m => m,
            };
            let to = match &msg {
                PeerMsg::Ask { to, .. } | PeerMsg::Tell { to, .. } => to.as_str(),
                PeerMsg::Ping { .. } => continue,
            };
            if to == self.me.as_str() {
                if !inbox(msg) {
                    return;
                }
            } else {
                // Passed on once, straight to where it belongs.
                let to = Label::from(to);
                if self.both_ways(&to)
                    && let Some(q) = self.links.get(&to)
                {
                    let _ = q.try_send(vec![msg]);
                }
            }
        }
    }
}

fn frame(m: &PeerMsg, more: PingMore, out: &mut Vec<u8>) -> std::io::Result<()> {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let config = bincode::config::standard();
    let failed = |e: bincode::error::EncodeError| std::io::Error::other(e.to_string());
    let mut len = bincode::encode_into_std_write(m, out, config).map_err(failed)?;
    if matches!(m, PeerMsg::Ping { .. }) {
        len += bincode::encode_into_std_write(more, out, config).map_err(failed)?;
    }
    out[start..start + 4].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(())
}

fn read(s: &mut impl Read) -> std::io::Result<(PeerMsg, PingMore)> {
    let mut len = [0; 4];
    s.read_exact(&mut len)?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME {
        return Err(std::io::Error::other("frame too long"));
    }
    let mut body = vec![0; len];
    s.read_exact(&mut body)?;
    let config = bincode::config::standard().with_limit::<MAX_FRAME>();
    let (m, taken) = bincode::decode_from_slice(&body, config)
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    // Of an earlier version nothing more comes.
    let more = bincode::decode_from_slice(&body[taken..], config).map(|m| m.0);
    Ok((m, more.unwrap_or_default()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ping() -> PeerMsg {
        PeerMsg::Ping {
            from: "a".into(),
            leader: None,
            hears: vec![],
            workers: 3,
        }
    }

    /// Controllers are restarted one after the other, so two versions talk.
    #[test]
    fn pings_are_understood_between_versions() {
        let more = PingMore {
            workers_most: Some(7),
            speaks: 1,
        };
        let mut new = vec![];
        frame(&ping(), more, &mut new).unwrap();
        assert_eq!(read(&mut &new[..]).unwrap(), (ping(), more));
        // An earlier version sends no more than the message, and reads no more.
        let old = bincode::encode_to_vec(ping(), bincode::config::standard()).unwrap();
        let mut framed = (old.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&old);
        assert_eq!(
            read(&mut &framed[..]).unwrap(),
            (ping(), PingMore::default())
        );
        assert_eq!(new[4..4 + old.len()], old);
    }
}
