//! The cloud: one machine type, a list that lags, rentals and returns.

use crate::controllers::MACHINE_CPUS;
use crate::http::{Request, Response};
use crate::layout::Layout;
use crate::machine::{FETCH_GB_PER_S, Place};
use hookworks::ids::{Host, MachineTypeId, Zone};
use hookworks::store::budget::Budget;
use hookworks::time::Clock;
use hookworks::wire::cloud::{
    HostList, Hosts, ListedHost, MachineType, MachineTypes, RentalRequest,
};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

const BUILD: &str = "m8";
const MEMORY_GB: f64 = 16.0;
const BOOT: Duration = Duration::from_secs(10);
const LIST_LAG: Duration = Duration::from_secs(3);
/// A machine that ended is listed as running for so long.
const SEEMS_UP: Duration = Duration::from_secs(30);
/// The machines of the start were rented so long ago.
const HELD: Duration = Duration::from_secs(600);
const PAGE: usize = 500;
const MOST_AT_ONCE: u32 = 50;
const REQUESTS_PER_S: f64 = 8.0;

struct Entry {
    place: Place,
    rented: Option<Instant>,
    is_up: bool,
    ended: Option<Instant>,
    released: Option<Instant>,
}

struct Fleet {
    machines: BTreeMap<usize, Entry>,
    next: usize,
    hires: HashMap<String, Vec<Host>>,
    budget: Budget,
}

/// Ends machines for certain before it returns.
pub type Remove = dyn Fn(&[usize]) + Send + Sync;

/// The cloud; shared by all its connections.
pub struct Cloud {
    layout: Layout,
    capacity: usize,
    clock: Clock,
    fleet: Mutex<Fleet>,
    remove: Box<Remove>,
}

/// Where the machine of this number stands.
pub fn place(layout: &Layout, number: usize, zone_number: usize) -> Place {
    Place {
        host: layout.host(number),
        address: layout.worker(number).to_string(),
        build: MachineTypeId::from(BUILD),
        zone: layout.zone(zone_number),
        zone_number,
        spot: false,
        cpus: MACHINE_CPUS,
    }
}

fn number_of(host: &Host) -> Option<usize> {
    host.as_str().strip_prefix("n-")?.parse().ok()
}

impl Cloud {
    /// A cloud with `capacity` machines, all of them rented and up.
    pub fn new(layout: &Layout, capacity: usize, remove: Box<Remove>) -> Cloud {
        let up = |n: usize| {
            let entry = Entry {
                place: place(layout, n, n % layout.zones),
                rented: None,
                is_up: true,
                ended: None,
                released: None,
            };
            (n, entry)
        };
        let fleet = Fleet {
            machines: (1..=capacity).map(up).collect(),
            next: capacity + 1,
            hires: HashMap::new(),
            budget: Budget::new(REQUESTS_PER_S, 2.0 * REQUESTS_PER_S),
        };
        Cloud {
            layout: layout.clone(),
            capacity,
            clock: Clock::start(),
            fleet: Mutex::new(fleet),
            remove,
        }
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The machines there are, with their places.
    pub fn places(&self) -> Vec<(usize, Place)> {
        let fleet = self.fleet();
        let up = fleet.machines.iter().filter(|(_, e)| e.is_up);
        up.map(|(n, e)| (*n, e.place.clone())).collect()
    }

    /// Machines that come up by now, to be started.
    pub fn come_up(&self, now: Instant) -> Vec<(usize, Place)> {
        let mut up = vec![];
        for (number, e) in &mut self.fleet().machines {
            let due = e.rented.is_some_and(|t| t + BOOT <= now);
            if due && !e.is_up && e.released.is_none() {
                e.is_up = true;
                up.push((*number, e.place.clone()));
            }
        }
        up
    }

    /// The machine of this number ends by itself, if it is up.
    pub fn end_machine(&self, number: usize) -> bool {
        let ends = {
            let mut fleet = self.fleet();
            let entry = fleet.machines.get_mut(&number);
            let entry = entry.filter(|e| e.is_up && e.ended.is_none() && e.released.is_none());
            entry.map(|e| e.ended = Some(Instant::now())).is_some()
        };
        if ends {
            (self.remove)(&[number]);
        }
        ends
    }

    pub fn answer(&self, r: &Request) -> Response {
        let now = self.clock.now();
        let allowed = {
            let mut fleet = self.fleet();
            let allowed = fleet.budget.has(now, 1.0);
            if allowed {
                fleet.budget.take(now, 1.0);
            }
            allowed
        };
        if !allowed {
            return Response::error(429, "too many requests");
        }
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/flavors") => Response::json(200, &self.flavors()),
            ("GET", "/hosts") => Response::json(200, &self.list(r)),
            ("POST", "/hosts") => match serde_json::from_slice(&r.body) {
                Ok(hire) => self.hire(&hire),
                Err(_) => Response::error(400, "malformed"),
            },
            ("POST", "/hosts/release") => match serde_json::from_slice(&r.body) {
                Ok(hosts) => self.release(&hosts),
                Err(_) => Response::error(400, "malformed"),
            },
            _ => Response::error(400, "no such request"),
        }
    }

    fn flavors(&self) -> MachineTypes {
        let zones: Vec<Zone> = (0..self.layout.zones)
            .map(|z| self.layout.zone(z))
            .collect();
        let one = MachineType {
            build: MachineTypeId::from(BUILD),
            cpus: MACHINE_CPUS,
            gpus: 0.0,
            memory_gb: MEMORY_GB,
            cache_gb: 50.0,
            fetch_gb_per_s: FETCH_GB_PER_S,
            price: 0.45,
            spot_price: None,
            boot_s: BOOT.as_secs_f64(),
            zones,
        };
        MachineTypes { builds: vec![one] }
    }

    fn list(&self, r: &Request) -> HostList {
        let now = Instant::now();
        let after = r
            .parameter("Since")
            .and_then(|s| number_of(&Host::from(s.as_str())));
        let most = r.parameter("Page").and_then(|p| p.parse().ok());
        let most = most.unwrap_or(PAGE).min(PAGE);
        let fleet = self.fleet();
        let from = (Bound::Excluded(after.unwrap_or(0)), Bound::Unbounded);
        let shown = fleet.machines.range(from).filter(|(_, e)| e.is_listed(now));
        let mut hosts: Vec<ListedHost> = shown.take(most + 1).map(|(_, e)| e.listed(now)).collect();
        let more = hosts.len() > most;
        hosts.truncate(most);
        HostList { hosts, more }
    }

    fn hire(&self, h: &RentalRequest) -> Response {
        let zone = (0..self.layout.zones).find(|z| self.layout.zone(*z) == h.zone);
        let Some(zone) = zone.filter(|_| h.build.as_str() == BUILD && h.count <= MOST_AT_ONCE)
        else {
            return Response::error(400, "malformed");
        };
        let mut fleet = self.fleet();
        if let Some(hosts) = fleet.hires.get(&h.name) {
            return Response::json(
                200,
                &Hosts {
                    hosts: hosts.clone(),
                },
            );
        }
        let held = fleet.machines.values().filter(|e| e.is_held()).count();
        let free = self.capacity.saturating_sub(held).min(h.count as usize);
        let addresses = self.layout.most_workers().saturating_sub(fleet.next);
        if free.min(addresses) == 0 || h.spot {
            return Response::error(503, "no capacity");
        }
        let hosts: Vec<Host> = (0..free.min(addresses))
            .map(|_| fleet.rent(&self.layout, zone))
            .collect();
        fleet.hires.insert(h.name.clone(), hosts.clone());
        Response::json(200, &Hosts { hosts })
    }

    fn release(&self, hosts: &Hosts) -> Response {
        let numbers: Vec<usize> = hosts.hosts.iter().filter_map(number_of).collect();
        {
            let mut fleet = self.fleet();
            for number in &numbers {
                if let Some(e) = fleet.machines.get_mut(number) {
                    e.released.get_or_insert(Instant::now());
                }
            }
        }
        (self.remove)(&numbers);
        Response::json(200, &serde_json::json!({}))
    }
}

impl Fleet {
    fn rent(&mut self, layout: &Layout, zone: usize) -> Host {
        let number = self.next;
        self.next += 1;
        let entry = Entry {
            place: place(layout, number, zone),
            rented: Some(Instant::now()),
            is_up: false,
            ended: None,
            released: None,
        };
        let host = entry.place.host.clone();
        self.machines.insert(number, entry);
        host
    }
}

impl Entry {
    /// It takes capacity.
    fn is_held(&self) -> bool {
        self.released.is_none() && self.ended.is_none()
    }

    fn is_listed(&self, now: Instant) -> bool {
        let known = self.rented.is_none_or(|t| t + LIST_LAG <= now);
        known && self.released.is_none_or(|t| now < t + LIST_LAG)
    }

    fn listed(&self, now: Instant) -> ListedHost {
        let status = match (self.is_up, self.ended) {
            (_, Some(t)) if t + SEEMS_UP <= now => "failed",
            (true, _) => "running",
            (false, _) => "booting",
        };
        let held = self
            .rented
            .map_or(HELD, |t| now.saturating_duration_since(t));
        ListedHost {
            host: self.place.host.clone(),
            addr: Some(self.place.address.clone()),
            build: self.place.build.clone(),
            zone: self.place.zone.clone(),
            spot: self.place.spot,
            status: status.into(),
            age_s: held.as_secs_f64(),
        }
    }
}
