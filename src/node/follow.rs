//! What a controller that does not lead makes of a request. No I/O: the main loop
//! carries out what is decided here, and so does the tests' world.

use crate::ids::{ControllerId, Epoch, JobId};
use crate::sched::answer_final;
use crate::sched::job::Final;
use crate::wire::peer::{Answer, Request};
use crate::wire::user::JobSpec;

/// The latest leader that this controller has heard of, other than itself.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLeader {
    pub label: ControllerId,
    pub epoch: Epoch,
    /// There is a way, directly or through the third controller.
    pub reachable: bool,
    /// Its version understands this request.
    pub understands: bool,
}

/// Where a request goes.
#[derive(Debug, PartialEq)]
pub enum Route {
    /// To that leader, in that epoch.
    PassOn(ControllerId, Epoch),
    /// No leader is in reach. A final state may be told by anyone who reads it.
    ReadFinal(JobId),
    /// No leader is in reach for a worker's heartbeat.
    NoLeaderForReport,
    Answer(Answer),
}

/// Decides where a request goes. A follower tells nothing by itself but what is
/// malformed, whoever leads, and final states.
pub fn route(ask: &Request, leader: Option<KnownLeader>) -> Route {
    if let Request::Submit(body) = ask
        && let Err(e) = JobSpec::parse(body)
    {
        return Route::Answer(Answer::error(400, &e));
    }
    match leader.filter(|l| l.reachable) {
        Some(l) if l.understands => Route::PassOn(l.label, l.epoch),
        Some(_) => Route::Answer(Answer::later("the leader runs an earlier version", 5)),
        None => without_leader(ask),
    }
}

/// What follows if no leader is in reach.
fn without_leader(ask: &Request) -> Route {
    match ask {
        Request::Poll(id) if JobId::is_well_formed(id) => Route::ReadFinal(id.as_str().into()),
        Request::Report(_) => Route::NoLeaderForReport,
        _ => Route::Answer(no_leader()),
    }
}

/// The answer to a poll after the final state was read: that there is none says
/// nothing, as the job may well be live.
pub fn answer_read(id: &JobId, read: Result<Option<Final>, ()>) -> Answer {
    match read {
        Ok(Some(f)) => answer_final(id, f),
        Ok(None) | Err(()) => no_leader(),
    }
}

/// To whoever may ask again in a second.
pub fn no_leader() -> Answer {
    Answer::later("no leader in reach", 1)
}
