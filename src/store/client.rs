//! Blocking client of the state service.

use crate::ids::Revision;
use crate::wire::state::{Item, Lease, LeaseRequest, Page, Txn, TxnApplied, TxnFailed};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::config::Config;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnOutcome {
    Ok(Revision),
    /// These keys did not have the expected revisions.
    Conflict(Vec<String>),
    /// Not applied: the service is unavailable, or gave no known reason.
    NotApplied,
    /// Not applied: the transaction or one of its values exceeds a size limit.
    TooLarge,
    /// Not applied: the rate limit for requests or changes is exceeded.
    RateLimited,
    /// Not applied: the lease does not exist.
    NoLease,
    /// No response: it may have been applied, or may still be.
    Unknown,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    Failed,
}

/// The operations of the state service. Tests implement it in memory.
pub trait StateStore: Send {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError>;
    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError>;
    fn txn(&self, t: &Txn) -> TxnOutcome;
    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError>;
    /// `Ok(false)`: the lease has expired.
    fn renew(&self, lease: u64) -> Result<bool, ReadError>;
    /// Revokes a lease, which deletes its keys. An unknown outcome is not reported:
    /// a caller that depends on it reads the key.
    fn revoke(&self, lease: u64);
}

#[derive(Clone)]
pub struct StateClient {
    agent: ureq::Agent,
    base_url: String,
}

/// Parses numeric addresses only. The default resolver would start a thread for each
/// request.
#[derive(Debug)]
struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &ureq::http::Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let addr = uri.authority().and_then(|a| a.as_str().parse().ok());
        let mut found = self.empty();
        found.push(addr.ok_or(ureq::Error::HostNotFound)?);
        Ok(found)
    }
}

pub(crate) fn http_agent(timeout: Duration, idle: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .max_idle_age(Duration::from_secs(20))
        .input_buffer_size(16 * 1024)
        .output_buffer_size(16 * 1024)
        .proxy(None)
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), NumericResolver)
}

type RawResponse = (u16, Vec<u8>);

impl StateClient {
    pub fn new(addr: SocketAddr, timeout: Duration) -> StateClient {
        StateClient {
            agent: http_agent(timeout, 8),
            base_url: format!("http://{addr}"),
        }
    }

    fn read(&self, path: &str) -> Option<RawResponse> {
        let url = format!("{}{path}", self.base_url);
        read_response(self.agent.get(&url).call())
    }

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Option<RawResponse> {
        let url = format!("{}{path}", self.base_url);
        let body = serde_json::to_vec(body).ok()?;
        let r = self.agent.post(&url);
        read_response(r.header("Content-Type", "application/json").send(&body[..]))
    }
}

/// Reads status and body; none if the response is incomplete.
pub(crate) fn read_response(
    r: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Option<(u16, Vec<u8>)> {
    match r {
        Ok(mut r) => {
            let status = r.status().as_u16();
            let body = r.body_mut().with_config().limit(8 << 20).read_to_vec();
            body.ok().map(|b| (status, b))
        }
        Err(e) => {
            tracing::debug!(error = %e, "http request failed");
            None
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ReadError> {
    serde_json::from_slice(body).map_err(|_| ReadError::Failed)
}

impl StateStore for StateClient {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        match self.read(&format!("/store/{key}")) {
            Some((200, b)) => parse(&b).map(Some),
            Some((404, _)) => Ok(None),
            _ => Err(ReadError::Failed),
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let mut path = format!("/store?Under={prefix}&Page={limit}");
        if let Some(a) = after {
            path.push_str(&format!("&Since={a}"));
        }
        match self.read(&path) {
            Some((200, b)) => parse(&b),
            _ => Err(ReadError::Failed),
        }
    }

    fn txn(&self, t: &Txn) -> TxnOutcome {
        match self.post("/txn", t) {
            Some((200, b)) => match parse::<TxnApplied>(&b) {
                Ok(a) => TxnOutcome::Ok(a.revision),
                Err(_) => TxnOutcome::Unknown,
            },
            Some((409, b)) => match parse::<TxnFailed>(&b) {
                Ok(f) => TxnOutcome::Conflict(f.failed),
                Err(_) => TxnOutcome::Unknown,
            },
            Some((429, _)) => TxnOutcome::RateLimited,
            Some((503, _)) => TxnOutcome::NotApplied,
            Some((400, b)) => {
                let text = String::from_utf8_lossy(&b);
                if text.contains("no such lease") {
                    return TxnOutcome::NoLease;
                }
                tracing::error!(%text, "transaction rejected by the state service");
                // Transactions are well formed, so only the size can be the reason.
                TxnOutcome::TooLarge
            }
            _ => TxnOutcome::Unknown,
        }
    }

    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        match self.post("/grants", &LeaseRequest { ttl_ms }) {
            Some((200, b)) => parse::<Lease>(&b).map(|l| l.lease),
            _ => Err(ReadError::Failed),
        }
    }

    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        match self.post(&format!("/grants/{lease}/renew"), &serde_json::json!({})) {
            Some((200, _)) => Ok(true),
            Some((404, _)) => Ok(false),
            _ => Err(ReadError::Failed),
        }
    }

    fn revoke(&self, lease: u64) {
        let url = format!("{}/grants/{lease}", self.base_url);
        let _ = self.agent.delete(&url).call();
    }
}
