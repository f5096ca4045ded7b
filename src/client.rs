//! Requests of the command-line client to a controller.

use crate::store::client::{http_agent, read_response};
use std::time::Duration;

/// Sends one request to a controller; the error is one line for the user.
fn call(method: &str, addr: &str, path: &str, body: Option<&[u8]>) -> Result<String, String> {
    let agent = http_agent(Duration::from_secs(6), 1);
    let url = format!("http://{addr}{path}");
    let response = match (method, body) {
        ("GET", _) => agent.get(&url).call(),
        (_, body) => agent.post(&url).send(body.unwrap_or(b"")),
    };
    let Some((status, body)) = read_response(response) else {
        return Err(format!("{addr}: no answer"));
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if (200..300).contains(&status) {
        Ok(text)
    } else {
        Err(format!("{status}: {text}"))
    }
}

/// Submits the job described in a file; returns the controller's answer.
///
/// # Errors
///
/// The file can't be read, there is no answer, or the job is refused. The error is one
/// line for the user, as for all requests here.
pub fn submit(addr: &str, file: &str) -> Result<String, String> {
    let body = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
    call("POST", addr, "/v2/runs", Some(&body))
}

/// The state of a job, or the controller's own overview.
///
/// # Errors
///
/// No answer, or a refusal.
pub fn status(addr: &str, job: Option<&str>) -> Result<String, String> {
    match job {
        Some(job) => call("GET", addr, &format!("/v2/runs/{job}"), None),
        None => call("GET", addr, "/v2/overview", None),
    }
}

/// Cancels a job.
///
/// # Errors
///
/// No answer, or a refusal.
pub fn cancel(addr: &str, job: &str) -> Result<String, String> {
    call("POST", addr, &format!("/v2/runs/{job}/abort"), None)
}

/// A job in full: history, resource usage and holds.
///
/// # Errors
///
/// No answer, or a refusal.
pub fn show(addr: &str, job: &str) -> Result<String, String> {
    call("GET", addr, &format!("/v2/jobs/{job}"), None)
}

/// Holds a job; `kind` is `user` or `operator`, and `stop` also stops its running tasks.
///
/// # Errors
///
/// No answer, or a refusal.
pub fn hold(
    addr: &str,
    job: &str,
    kind: &str,
    by: &str,
    why: &str,
    stop: bool,
) -> Result<String, String> {
    let body = serde_json::json!({ "Kind": kind, "By": by, "Why": why, "Stop": stop });
    let path = format!("/v2/runs/{job}/hold");
    call("POST", addr, &path, Some(body.to_string().as_bytes()))
}

/// Releases the hold of that kind.
///
/// # Errors
///
/// No answer, or a refusal.
pub fn release(addr: &str, job: &str, kind: &str, by: &str) -> Result<String, String> {
    let body = serde_json::json!({ "Kind": kind, "By": by });
    let path = format!("/v2/runs/{job}/release");
    call("POST", addr, &path, Some(body.to_string().as_bytes()))
}

/// A page of jobs; `filters` are `name=value`, as the API takes them.
///
/// # Errors
///
/// A malformed filter, no answer, or a refusal.
pub fn jobs(addr: &str, filters: &[String]) -> Result<String, String> {
    let mut query = form_urlencoded::Serializer::new(String::new());
    for filter in filters {
        let (name, value) = filter
            .split_once('=')
            .ok_or_else(|| format!("{filter}: must be name=value"))?;
        query.append_pair(name, value);
    }
    call("GET", addr, &format!("/v2/jobs?{}", query.finish()), None)
}
