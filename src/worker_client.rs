//! Client for direct calls to workers.

use crate::sched::DirectResult;
use crate::store::client::{http_agent, read_response};
use crate::wire::worker::Commands;
use std::io::ErrorKind;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same worker is rarely called twice within a short time, so no connection is kept.
const MAX_IDLE_CONNECTIONS: usize = 0;

/// A blocking client; keeps no state.
pub struct WorkerClient(ureq::Agent);

impl WorkerClient {
    /// Creates a client; sends nothing yet.
    pub fn new() -> WorkerClient {
        WorkerClient(http_agent(CALL_TIMEOUT, MAX_IDLE_CONNECTIONS))
    }

    /// Sends commands to the worker at `addr`. The result says what its answer proves.
    pub fn send_orders(&self, addr: &str, orders: &Commands) -> DirectResult {
        let Ok(body) = serde_json::to_vec(orders) else {
            return DirectResult::Refused;
        };
        let request = self.0.post(format!("http://{addr}/orders"));
        let request = request
            .header("Content-Type", "application/json")
            .header("Connection", "close");
        let answer = request.send(&body[..]);
        if let Err(ureq::Error::Io(e)) = &answer
            && e.kind() == ErrorKind::ConnectionRefused
        {
            return DirectResult::Refused;
        }
        match read_response(answer) {
            Some((200, body)) => match serde_json::from_slice(&body) {
                Ok(report) => DirectResult::Done(Box::new(report)),
                Err(_) => DirectResult::Unclear,
            },
            Some((409, body)) => match serde_json::from_slice(&body) {
                Ok(report) => DirectResult::Conflict(Box::new(report)),
                Err(_) => DirectResult::Refused,
            },
            Some((400, _)) => DirectResult::Refused,
            _ => DirectResult::Unclear,
        }
    }
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient::new()
    }
}
