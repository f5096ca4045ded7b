//! Client of the cloud: machine types, machines rented and returned, and the list.

use crate::ids::Host;
use crate::sched::HireResult;
use crate::store::client::{http_agent, read_response};
use crate::wire::cloud::{HostList, Hosts, MachineType, MachineTypes, RentalRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Machines on a page of the list.
const PAGE_SIZE: usize = 500;

/// Makes one request at a time; keeps no state but its connections.
pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

impl CloudClient {
    /// For the cloud at that address. Nothing is sent yet.
    pub fn new(addr: SocketAddr) -> CloudClient {
        CloudClient {
            agent: http_agent(REQUEST_TIMEOUT, MAX_IDLE_CONNECTIONS),
            base: format!("http://{addr}"),
        }
    }

    /// The machine types, or none if the request failed.
    pub fn flavors(&self) -> Option<Vec<MachineType>> {
        let flavors: MachineTypes = self.get("/flavors")?;
        Some(flavors.builds)
    }

    /// The page of machines that follows `after`, or the first one; none if the
    /// request failed.
    pub fn machines(&self, after: Option<&Host>) -> Option<HostList> {
        match after {
            Some(host) => self.get(&format!("/hosts?Since={host}&Page={PAGE_SIZE}")),
            None => self.get(&format!("/hosts?Page={PAGE_SIZE}")),
        }
    }

    /// Rents machines; idempotent by the name of the request.
    pub fn rent(&self, request: &RentalRequest) -> HireResult {
        match self.post("/hosts", request) {
            Some((200, body)) => match serde_json::from_slice::<Hosts>(&body) {
                Ok(rented) => HireResult::Ok(rented.hosts),
                Err(_) => HireResult::Unclear,
            },
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                HireResult::NoCapacity
            }
            Some((429 | 503, _)) => HireResult::Busy,
            Some((400, _)) => HireResult::Invalid,
            _ => HireResult::Unclear,
        }
    }

    /// Returns machines; true once they are gone for certain.
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
