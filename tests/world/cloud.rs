//! The cloud: which machines there are, and rents more as far as it has any.

use super::worker::Worker;
use super::{Ev, World};
use hookworks::ids::*;
use hookworks::sched::{Event, RentalResult};
use hookworks::wire::cloud::{ListedHost, RentalRequest};

impl World {
    /// Which machines there are, as a leader is told by the cloud.
    pub(super) fn list_to(&mut self, i: usize) {
        if self.ctls[i].up && self.ctls[i].term.is_some() {
            let list = self.shown_list();
            self.event(i, Event::Listed(list));
        }
    }

    pub(super) fn list(&self) -> Vec<ListedHost> {
        let age = |w: &Worker| (self.now - w.born) as f64 / 1e6;
        let one = |w: &Worker| {
            serde_json::from_value(serde_json::json!({
                "Id": w.host, "Endpoint": "x:1", "Build": "m8", "Yard": w.zone,
                "Lendable": w.spot, "Status": if w.up { "running" } else { "booting" },
                "HeldS": age(w)
            }))
            .unwrap()
        };
        self.workers.values().map(one).collect()
    }

    /// Machines are given back, unless the cloud refuses that.
    pub(super) fn release(&mut self, i: usize, epoch: Epoch, hosts: Vec<Host>) {
        let carried_out = !self.refuses_releases;
        if carried_out {
            for h in &hosts {
                self.workers.remove(h);
                self.releases_of.push((self.now, h.clone()));
            }
        }
        let e = Event::Released(hosts, carried_out);
        self.at(0.1, Ev::CloudDone(i, epoch, Box::new(e)));
    }

    pub(super) fn hire(&mut self, i: usize, epoch: Epoch, h: RentalRequest) {
        self.check_name(&h.name, epoch);
        let r = match self.hires.get(&h.name) {
            Some(hosts) => RentalResult::Ok(hosts.clone()),
            None => {
                let same = |w: &&Worker| w.zone == h.zone && w.spot == h.spot;
                let have = self.workers.values().filter(same).count();
                let n = (h.count as usize).min(self.capacity.saturating_sub(have));
                if n == 0 {
                    RentalResult::NoCapacity
                } else {
                    let mut hosts = vec![];
                    for _ in 0..n {
                        let host = Host::from(format!("n-{:06}", self.next_host).as_str());
                        self.next_host += 1;
                        let boot = self.boots_in();
                        let w = Worker::new(host.clone(), h.zone.clone(), h.spot, self.now);
                        self.workers.insert(host.clone(), w);
                        self.at(boot, Ev::Beat(host.clone()));
                        hosts.push(host);
                    }
                    self.rentals.push((self.now, h.zone.clone(), hosts.len()));
                    self.hires.insert(h.name.clone(), hosts.clone());
                    RentalResult::Ok(hosts)
                }
            }
        };
        let d = self.cloud_delay();
        if let RentalResult::Ok(hosts) = &r {
            self.note_rented(hosts, d);
        }
        let e = Box::new(Event::RentalResult(h, r));
        self.at(d, Ev::CloudDone(i, epoch, e));
    }
}
