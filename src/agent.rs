//! Commands that go straight to workers.

use crate::sched::DirectResult;
use crate::store::client::agent;
use crate::wire::worker::Orders;
use std::time::Duration;

pub struct AgentClient(ureq::Agent);

impl AgentClient {
    pub fn new() -> AgentClient {
        // Hardly ever the same worker twice in a while: none is kept open.
        AgentClient(agent(Duration::from_millis(2500), 0))
    }

    pub fn orders(&self, addr: &str, orders: &Orders) -> DirectResult {
        let Ok(body) = serde_json::to_vec(orders) else {
            return DirectResult::Refused;
        };
        let r = self.0.post(format!("http://{addr}/orders"));
        let r = r.header("Content-Type", "application/json");
        let r = r.header("Connection", "close").send(&body[..]);
        if let Err(ureq::Error::Io(e)) = &r
            && e.kind() == std::io::ErrorKind::ConnectionRefused
        {
            return DirectResult::Refused;
        }
        match crate::store::client::finish(r) {
            Some((200, b)) => match serde_json::from_slice(&b) {
                Ok(r) => DirectResult::Done(Box::new(r)),
                Err(_) => DirectResult::Unclear,
            },
            Some((409, b)) => match serde_json::from_slice(&b) {
                Ok(r) => DirectResult::Conflict(Box::new(r)),
                Err(_) => DirectResult::Refused,
            },
            Some((400, _)) => DirectResult::Refused,
            _ => DirectResult::Unclear,
        }
    }
}

impl Default for AgentClient {
    fn default() -> Self {
        AgentClient::new()
    }
}
