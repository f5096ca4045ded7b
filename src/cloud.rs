//! Client of the cloud API: machine types, rental and return of machines, and their list.

use crate::ids::Host;
use crate::sched::RentalResult;
use crate::store::client::{http_agent, read_response};
use crate::wire::cloud::{HostList, Hosts, MachineType, MachineTypes, RentalRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Number of machines on a page of the list.
const PAGE_SIZE: usize = 500;

/// A blocking client; it keeps no state but its connections.
pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

impl CloudClient {
    /// Creates a client of the cloud at that address; sends nothing yet.
    pub fn new(addr: SocketAddr) -> CloudClient {
        CloudClient {
            agent: http_agent(REQUEST_TIMEOUT, MAX_IDLE_CONNECTIONS),
            base: format!("http://{addr}"),
        }
    }

    /// The machine types, or none if the request failed.
    pub fn machine_types(&self) -> Option<Vec<MachineType>> {
        let machine_types: MachineTypes = self.get("/flavors")?;
        Some(machine_types.builds)
    }

    /// The page of machines that follows `after`, or the first one; none if the
    /// request failed.
    pub fn machines(&self, after: Option<&Host>) -> Option<HostList> {
        match after {
            Some(host) => self.get(&format!("/hosts?Since={host}&Page={PAGE_SIZE}")),
            None => self.get(&format!("/hosts?Page={PAGE_SIZE}")),
        }
    }

    /// Rents machines; idempotent by the name in the request.
    pub fn rent(&self, request: &RentalRequest) -> RentalResult {
        match self.post("/hosts", request) {
            Some((200, body)) => match serde_json::from_slice::<Hosts>(&body) {
                Ok(rented) => RentalResult::Ok(rented.hosts),
                Err(_) => RentalResult::Unclear,
            },
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                RentalResult::NoCapacity
            }
            Some((429 | 503, _)) => RentalResult::Busy,
            Some((400, _)) => RentalResult::Invalid,
            _ => RentalResult::Unclear,
        }
    }

    /// Returns machines; true if the cloud has confirmed it.
    pub fn return_machines(&self, hosts: &[Host]) -> bool {
        let body = Hosts {
            hosts: hosts.to_vec(),
        };
        matches!(self.post("/hosts/release", &body), Some((200, _)))
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("{}{path}", self.base);
        let (status, body) = read_response(self.agent.get(url).call())?;
        if status != 200 {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Option<(u16, Vec<u8>)> {
        let body = serde_json::to_vec(body).ok()?;
        let request = self.agent.post(format!("{}{path}", self.base));
        let request = request.header("Content-Type", "application/json");
        read_response(request.send(&body[..]))
    }
}
