//! The cloud: machine types, rentals, returns and the list.

use crate::ids::Host;
use crate::sched::HireResult;
use crate::store::client::{agent, finish};
use crate::wire::cloud::{Flavor, Flavors, Hire, HostList, Hosts, Listed};
use std::net::SocketAddr;
use std::time::Duration;

pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

impl CloudClient {
    pub fn new(addr: SocketAddr) -> CloudClient {
        CloudClient {
            agent: agent(Duration::from_secs(4), 2),
            base: format!("http://{addr}"),
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let (status, body) = finish(self.agent.get(format!("{}{path}", self.base)).call())?;
        if status != 200 {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Option<(u16, Vec<u8>)> {
        let body = serde_json::to_vec(body).ok()?;
        let r = self.agent.post(format!("{}{path}", self.base));
        finish(r.header("Content-Type", "application/json").send(&body[..]))
    }

    pub fn flavors(&self) -> Option<Vec<Flavor>> {
        self.get::<Flavors>("/flavors").map(|f| f.builds)
    }

    /// One page of the list.
    pub fn page(&self, after: Option<&Host>) -> Option<(Vec<Listed>, bool)> {
        let path = match after {
            Some(h) => format!("/hosts?Since={h}&Page=500"),
            None => "/hosts?Page=500".to_string(),
        };
        self.get::<HostList>(&path).map(|l| (l.hosts, l.more))
    }

    pub fn hire(&self, h: &Hire) -> HireResult {
        match self.post("/hosts", h) {
            Some((200, b)) => match serde_json::from_slice::<Hosts>(&b) {
                Ok(l) => HireResult::Ok(l.hosts),
                Err(_) => HireResult::Unclear,
            },
            Some((503, b)) if String::from_utf8_lossy(&b).contains("capacity") => {
                HireResult::NoCapacity
            }
            Some((429 | 503, _)) => HireResult::Busy,
            Some((400, _)) => HireResult::Invalid,
            _ => HireResult::Unclear,
        }
    }

    /// True once the machines are gone for certain.
    pub fn release(&self, hosts: &[Host]) -> bool {
        let body = Hosts {
            hosts: hosts.to_vec(),
        };
        matches!(self.post("/hosts/release", &body), Some((200, _)))
    }
}
