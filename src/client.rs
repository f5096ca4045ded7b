//! The command-line client's requests.

use crate::store::client::{agent, finish};
use std::time::Duration;

/// Sends one request to a controller; the error is one line for the user.
fn call(method: &str, addr: &str, path: &str, body: Option<&[u8]>) -> Result<String, String> {
    let agent = agent(Duration::from_secs(6), 1);
    let url = format!("http://{addr}{path}");
    let r = match (method, body) {
        ("GET", _) => agent.get(&url).call(),
        (_, b) => agent.post(&url).send(b.unwrap_or(b"")),
    };
    let Some((status, body)) = finish(r) else {
        return Err(format!("{addr}: no answer"));
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if (200..300).contains(&status) {
        Ok(text)
    } else {
        Err(format!("{status}: {text}"))
    }
}

pub fn submit(addr: &str, file: &str) -> Result<String, String> {
    let body = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
    call("POST", addr, "/v2/runs", Some(&body))
}

pub fn status(addr: &str, job: Option<&str>) -> Result<String, String> {
    match job {
        Some(j) => call("GET", addr, &format!("/v2/runs/{j}"), None),
        None => call("GET", addr, "/v2/overview", None),
    }
}

pub fn cancel(addr: &str, job: &str) -> Result<String, String> {
    call("POST", addr, &format!("/v2/runs/{job}/abort"), None)
}
