//! Who can't reach whom at present, and the links between controllers that go by it.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
pub struct Cuts {
    /// Zones that are cut off from everything else.
    pub zones: BTreeSet<String>,
    /// Pairs of zones that can't reach each other.
    pub pairs: Vec<(String, String)>,
    /// Controllers without the state service, the other controllers, the workers.
    pub no_state: BTreeSet<usize>,
    pub no_peers: BTreeSet<usize>,
    pub no_workers: BTreeSet<usize>,
    /// Links between controllers are refused, not held.
    pub refuse_peers: bool,
}

pub struct Net {
    cuts: Mutex<Cuts>,
    /// The zone of each controller.
    pub zones: Vec<String>,
}

impl Net {
    pub fn new(zones: Vec<String>) -> Net {
        Net { cuts: Mutex::default(), zones }
    }

    pub fn change(&self, f: impl FnOnce(&mut Cuts)) {
        f(&mut self.cuts.lock().unwrap());
    }

    fn apart(cuts: &Cuts, a: &str, b: &str) -> bool {
        let pair = |p: &(String, String)| p.0 == a && p.1 == b || p.0 == b && p.1 == a;
        a != b && (cuts.zones.contains(a) || cuts.zones.contains(b) || cuts.pairs.iter().any(pair))
    }

    pub fn worker_cut(&self, node: usize, zone: &str) -> bool {
        let cuts = self.cuts.lock().unwrap();
        cuts.no_workers.contains(&node) || Self::apart(&cuts, &self.zones[node], zone)
    }

    /// From the state service, the cloud and the users.
    pub fn region_cut(&self, node: usize) -> bool {
        self.cuts.lock().unwrap().zones.contains(&self.zones[node])
    }

    pub fn state_cut(&self, node: usize) -> bool {
        self.region_cut(node) || self.cuts.lock().unwrap().no_state.contains(&node)
    }

    pub fn peer_cut(&self, a: usize, b: usize) -> bool {
        let cuts = self.cuts.lock().unwrap();
        cuts.no_peers.contains(&a) || cuts.no_peers.contains(&b) || Self::apart(&cuts, &self.zones[a], &self.zones[b])
    }

    pub fn peers_refused(&self) -> bool {
        self.cuts.lock().unwrap().refuse_peers
    }

    /// Waits while that holds.
    pub fn hold(&self, cut: impl Fn(&Net) -> bool) {
        while cut(self) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The address by which controller `a` reaches controller `b`, who listens at `to`.
    pub fn link(self: &Arc<Net>, a: usize, b: usize, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let net = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if net.peers_refused() {
                    continue;
                }
                let net = net.clone();
                std::thread::spawn(move || {
                    net.hold(|n| n.peer_cut(a, b));
                    let Ok(other) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    };
                    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                    let (Ok(s), Ok(o)) = (stream.try_clone(), other.try_clone()) else { return };
                    let n = net.clone();
                    std::thread::spawn(move || copy(&n, a, b, o, s));
                    copy(&net, a, b, stream, other);
                });
            }
        });
        at
    }
}

fn copy(net: &Net, a: usize, b: usize, mut from: TcpStream, mut to: TcpStream) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(200)));
    let mut chunk = [0; 16 * 1024];
    loop {
        if net.peers_refused() {
            break;
        }
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => {
                net.hold(|n| n.peer_cut(a, b));
                let far = net.zones[a] != net.zones[b];
                std::thread::sleep(Duration::from_micros(if far { 1000 } else { 200 }));
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
