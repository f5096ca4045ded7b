//! Where everything of a run stands: zones, regions, and the loopback address of
//! each counterpart. Each controller has addresses of its own for the state
//! service, the cloud and each other controller, so that delays and bytes are
//! known by controller.

use crate::options::RunOptions;
use hookworks::ids::{ControllerId, Host, Zone};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Workers behind one value of the third byte of their address.
const HOSTS_PER_BYTE: usize = 250;
/// Third bytes below are the controllers' and the services'.
const FIRST_WORKER_BYTE: usize = 10;

/// The places of a run.
#[derive(Clone, Debug)]
pub struct Layout {
    network: u8,
    port: u16,
    /// Controllers.
    pub controllers: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    region_delay: Duration,
}

impl Layout {
    /// Made from the options or the parts given.
    pub fn new(options: &RunOptions) -> Layout {
        Layout {
            network: options.network,
            port: options.port,
            controllers: options.controllers,
            zones: options.zones,
            regions: options.regions,
            region_delay: Duration::from_secs_f64(options.region_delay_ms / 1000.0),
        }
    }

    fn address(&self, third: usize, fourth: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network, third as u8, fourth as u8);
        (ip, self.port).into()
    }

    /// Where users, workers and health checks reach a controller.
    pub fn controller(&self, number: usize) -> SocketAddr {
        self.address(1, number + 1)
    }

    /// Where a controller listens for the others.
    pub fn cluster(&self, number: usize) -> SocketAddr {
        self.address(2, number + 1)
    }

    /// Where `from` finds `to`: a link with the delay between their regions.
    pub fn link(&self, from: usize, to: usize) -> SocketAddr {
        self.address(3, from * self.controllers + to + 1)
    }

    /// Where a controller finds the state service.
    pub fn state(&self, number: usize) -> SocketAddr {
        self.address(4, number + 1)
    }

    /// Where a controller finds the cloud.
    pub fn cloud(&self, number: usize) -> SocketAddr {
        self.address(5, number + 1)
    }

    /// Where a worker takes commands; machines are numbered from 1.
    pub fn worker(&self, number: usize) -> SocketAddr {
        let third = FIRST_WORKER_BYTE + number / HOSTS_PER_BYTE;
        self.address(third, number % HOSTS_PER_BYTE + 1)
    }

    /// How many machines have addresses, replaced ones counted.
    pub fn most_workers(&self) -> usize {
        (256 - FIRST_WORKER_BYTE) * HOSTS_PER_BYTE
    }

    /// The label of a controller.
    pub fn label(&self, number: usize) -> ControllerId {
        ControllerId::from(format!("controller-{number}").as_str())
    }

    /// The name of a machine.
    pub fn host(&self, number: usize) -> Host {
        Host::from(format!("n-{number:06}").as_str())
    }

    /// The zone of this number.
    pub fn zone(&self, number: usize) -> Zone {
        Zone::from(format!("zone-{:02}", number % self.zones).as_str())
    }

    /// The zone of a controller: each in another region as far as there are any.
    pub fn zone_of_controller(&self, number: usize) -> usize {
        number % self.zones
    }

    /// The region of a zone; neighbouring zones lie in different regions.
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// One-way delay between two zones.
    pub fn delay(&self, from_zone: usize, to_zone: usize) -> Duration {
        match self.region(from_zone) == self.region(to_zone) {
            true => Duration::ZERO,
            false => self.region_delay,
        }
    }

    /// One-way delay from a controller to the services, which are in the region
    /// of the first zone.
    pub fn service_delay(&self, controller: usize) -> Duration {
        self.delay(self.zone_of_controller(controller), 0)
    }
}
