//! How a follower routes a request. There is no I/O here: the main loop carries out the
//! decision, and so does the simulation in the tests.

use crate::ids::{ControllerId, Epoch, JobId};
use crate::sched::answer_final;
use crate::sched::job::Final;
use crate::wire::peer::{Answer, Request};
use crate::wire::user::JobSpec;

/// The latest leader that this controller knows of, other than itself.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLeader {
    /// Which controller leads.
    pub label: ControllerId,
    /// The epoch of its leadership.
    pub epoch: Epoch,
    /// It is reachable, directly or through the third controller.
    pub reachable: bool,
    /// Its version supports this request.
    pub supports_request: bool,
}

/// Where a request goes.
#[derive(Debug, PartialEq)]
pub enum Route {
    /// Forward to that leader, in that epoch.
    Forward(ControllerId, Epoch),
    /// No leader is reachable. Any controller may read and report a final state.
    ReadFinal(JobId),
    /// No leader is reachable for a worker's heartbeat.
    NoLeaderForHeartbeat,
    /// Answer right away.
    Answer(Answer),
}

/// Decides where a request goes. Without the leader, a follower answers only malformed
/// submissions and polls for final states.
pub fn route(ask: &Request, leader: Option<KnownLeader>) -> Route {
    if let Request::Submit(body) = ask
        && let Err(e) = JobSpec::parse(body)
    {
        return Route::Answer(Answer::error(400, &e));
    }
    match leader.filter(|l| l.reachable) {
        Some(leader) if leader.supports_request => Route::Forward(leader.label, leader.epoch),
        Some(_) => Route::Answer(Answer::later("the leader runs an earlier version", 5)),
        None => without_leader(ask),
    }
}

/// The route of a request while no leader is reachable.
fn without_leader(ask: &Request) -> Route {
    match ask {
        Request::Poll(id) if JobId::is_well_formed(id) => Route::ReadFinal(id.as_str().into()),
        Request::Report(_) => Route::NoLeaderForHeartbeat,
        _ => Route::Answer(no_leader()),
    }
}

/// The answer to a poll after the final state was read. A missing final state proves
/// nothing: the job may be unfinished, so the client is asked to retry.
pub fn answer_final_read(id: &JobId, read: Result<Option<Final>, ()>) -> Answer {
    match read {
        Ok(Some(final_state)) => answer_final(id, final_state),
        Ok(None) | Err(()) => no_leader(),
    }
}

/// A retryable error with a delay of one second.
pub fn no_leader() -> Answer {
    Answer::later("no leader in reach", 1)
}
