//! Requests of users and workers: answered as the leader, or forwarded to it.

use super::job_lists::ListRequest;
use super::request_log::{FIRST_RETRYABLE_STATUS, RequestKind};
use super::routing::{self, KnownLeader, Route};
use super::threads::state_service::StateRequest;
use super::{Node, Origin, PendingRequest, Role};
use crate::api::redirect;
use crate::election::answer_valid_until;
use crate::ids::{ControllerId, Epoch, RequestId};
use crate::sched::Event;
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, PeerMessage, Request};
use hookworks_listing::{Query, since};

/// Within this time the state service stops naming a leader that has failed.
const LEADER_FAILOVER_TIMEOUT: Span = Span(2_600_000);

impl Node {
    /// Registers a request that awaits its answer.
    pub(super) fn register_request(
        &mut self,
        received_at: Time,
        origin: Origin,
        ask: &Request,
    ) -> RequestId {
        let req = RequestId(self.next_req);
        self.next_req += 1;
        self.pending.insert(
            req,
            PendingRequest {
                origin,
                received_at,
                timeout: timeout_of(ask),
                kind: RequestKind::from(ask),
                heartbeat: None,
                forwarded_to: None,
            },
        );
        req
    }

    /// Handles a request that another controller has forwarded.
    pub(super) fn handle_peer_request(
        &mut self,
        now: Time,
        received_at: Time,
        origin: Origin,
        ask: Request,
    ) {
        let full = self.pending.len() >= self.sizes.requests;
        let req = self.register_request(received_at, origin, &ask);
        if is_expired(&ask, now - received_at) {
            return self.answer(now, req, too_late());
        }
        if full {
            return self.answer(now, req, Answer::later("too many requests", 2));
        }
        if let Some(list_request) = read_only(&ask) {
            return self.queue_list(now, req, list_request);
        }
        if let Role::Leader(leadership) = &self.role {
            let epoch = leadership.epoch;
            let event = match (&self.pending.get(&req).map(|p| &p.origin), ask) {
                (Some(Origin::Peer { from, .. }), Request::Report(body)) => {
                    Event::Relayed(req, from.clone(), body)
                }
                (_, ask) => Event::Ask(req, ask),
            };
            self.handle_event(now, epoch, event);
        } else {
            self.answer(now, req, Answer::later("not the leader", 1));
        }
    }

    /// Handles a request that has arrived at this controller's own server.
    pub(super) fn handle_request(
        &mut self,
        now: Time,
        received_at: Time,
        origin: Origin,
        ask: Request,
    ) {
        let full = self.pending.len() >= self.sizes.requests;
        let req = self.register_request(received_at, origin, &ask);
        if self.stopping.is_some() {
            return self.answer(now, req, Answer::later("stopping", 1));
        }
        if is_expired(&ask, now - received_at) {
            return self.answer(now, req, too_late());
        }
        if full {
            return self.answer(now, req, Answer::later("too many requests", 2));
        }
        if let Request::Report(body) = &ask
            && let Some(other) = self.redirect_target(now, body)
        {
            return self.answer(now, req, redirect(Some(other)));
        }
        if let Some(list_request) = read_only(&ask) {
            // Any controller may read finished jobs; unfinished ones are the leader's to
            // list.
            let is_local = match &list_request {
                ListRequest::Page(q) if !q.wants_unfinished() => true,
                _ => !matches!(self.role, Role::Follower),
            };
            return match is_local {
                true => self.queue_list(now, req, list_request),
                false => self.forward(now, req, ask),
            };
        }
        match &self.role {
            Role::Leader(_) => self.handle_as_leader(now, req, ask),
            Role::Loading(_) => self.answer(now, req, Answer::later("taking over", 1)),
            Role::Follower => self.forward(now, req, ask),
        }
    }

    /// Passes a request to the scheduler if this controller leads.
    pub(super) fn handle_as_leader(&mut self, now: Time, req: RequestId, ask: Request) {
        if let Role::Leader(leadership) = &mut self.role {
            let epoch = leadership.epoch;
            self.handle_event(now, epoch, Event::Ask(req, ask));
        }
    }

    /// Queues a list for the thread that answers them, or refuses it if the queue is full.
    fn queue_list(&mut self, now: Time, req: RequestId, list_request: ListRequest) {
        if self.list_requests.try_send((req, list_request)).is_err() {
            self.answer(now, req, Answer::later("too many lists at a time", 1));
        }
    }

    /// Forwards a request to the leader, or answers it if none is reachable.
    pub(super) fn forward(&mut self, now: Time, req: RequestId, ask: Request) {
        let leader = self.known_leader(&ask);
        match routing::route(&ask, leader) {
            Route::Forward(leader, epoch) => self.forward_to(req, ask, leader, epoch),
            route => self.without_leader(now, req, ask, route),
        }
    }

    /// The leader that this controller knows of, and whether it can take this request.
    fn known_leader(&mut self, ask: &Request) -> Option<KnownLeader> {
        let own_label = &self.settings.platform.label;
        let (label, epoch) = self.peers.best_leader().filter(|l| l.0 != *own_label)?;
        Some(KnownLeader {
            reachable: self.peers.reachable(&label),
            supports_request: self.understands(&label, ask.min_version()),
            label,
            epoch,
        })
    }

    fn forward_to(&mut self, req: RequestId, ask: Request, leader: ControllerId, epoch: Epoch) {
        let msg = PeerMessage::Request {
            id: req.0,
            from: self.settings.platform.label.to_string(),
            to: leader.to_string(),
            request: ask.clone(),
        };
        self.queue_for_peer(leader.clone(), msg);
        if let Some(pending) = self.pending.get_mut(&req) {
            pending.forwarded_to = Some((leader, epoch));
            pending.heartbeat = match ask {
                Request::Report(body) => Some(body),
                _ => None,
            };
        }
    }

    /// Queues a message, which is sent in one batch with all others to that controller at
    /// the end of this turn of the loop.
    fn queue_for_peer(&mut self, to: ControllerId, msg: PeerMessage) {
        self.outgoing.entry(to).or_default().push(msg);
    }

    /// Sends the queued messages; requests that can't be sent are refused.
    pub(super) fn send_outgoing(&mut self, now: Time) {
        for (to, messages) in std::mem::take(&mut self.outgoing) {
            let request_id = |message: &PeerMessage| match message {
                PeerMessage::Request { id, .. } => Some(RequestId(*id)),
                _ => None,
            };
            let request_ids: Vec<RequestId> = messages.iter().filter_map(request_id).collect();
            if !self.peers.send(&to, messages) {
                for req in request_ids {
                    self.answer(now, req, Answer::later("the leader is out of reach", 1));
                }
            }
        }
    }

    /// Handles a forwarded request whose leader is unreachable or has restarted. A
    /// heartbeat is forwarded to the next leader as soon as there is one: workers that
    /// were redirected to a leader without network came back too late and were declared
    /// lost.
    pub(super) fn reroute(&mut self, now: Time, req: RequestId) {
        let Some(pending) = self.pending.get_mut(&req) else {
            return;
        };
        let next = self.peers.best_leader();
        let changed = next.is_some() && next != pending.forwarded_to;
        let may_wait = now - pending.received_at < LEADER_FAILOVER_TIMEOUT;
        match pending.heartbeat.take() {
            Some(body) if changed => match self.role {
                Role::Follower => self.forward(now, req, Request::Report(body)),
                _ => self.give_up(now, req, "the leader has changed"),
            },
            Some(body) if may_wait => pending.heartbeat = Some(body),
            Some(body) => {
                pending.heartbeat = Some(body);
                self.give_up(now, req, "the leader is out of reach");
            }
            None => self.give_up(now, req, "the leader is out of reach"),
        }
    }

    /// Answers a request for which no answer will come. If the state service still names
    /// the leader that a heartbeat was forwarded to, the worker is redirected there: it
    /// may reach that leader directly, which is faster than trying one controller after
    /// another.
    pub(super) fn give_up(&mut self, now: Time, req: RequestId, why: &str) {
        let heartbeat = self.pending.get(&req).filter(|p| p.heartbeat.is_some());
        let observed = self.observed_leader.as_ref().map(|l| l.label.clone());
        let answer = match heartbeat
            .and_then(|p| p.forwarded_to.clone())
            .map(|l| l.0)
            .filter(|l| observed.as_ref() == Some(l))
        {
            Some(leader) => redirect(Some(leader)),
            None => Answer::later(why, 1),
        };
        self.answer(now, req, answer);
    }

    /// Handles a request that can't be forwarded to a leader, as `route` says.
    fn without_leader(&mut self, now: Time, req: RequestId, ask: Request, route: Route) {
        match (route, ask) {
            (Route::Answer(answer), _) => self.answer(now, req, answer),
            (Route::ReadFinal(id), _) => {
                // Limited: while nobody led, polls used up the state service's whole
                // request rate, which delayed the next election by a second.
                if !self.final_read_budget.has(now, 1.0) {
                    return self.answer(now, req, routing::no_leader());
                }
                self.final_read_budget.take(now, 1.0);
                let _ = self.state_requests.send(StateRequest::LookUpFinal(req, id));
            }
            (_, Request::Report(body)) => {
                // The leader is named by the state service but is unreachable from here:
                // the worker may reach it directly.
                let leader = self.observed_leader.as_ref().map(|l| l.label.clone());
                let leader = leader.filter(|l| *l != self.settings.platform.label);
                match leader
                    .and_then(|l| self.worker_balance.note_redirect(now, &body).then_some(l))
                {
                    Some(leader) => self.answer(now, req, redirect(Some(leader))),
                    None => self.answer(now, req, routing::no_leader()),
                }
            }
            _ => self.answer(now, req, routing::no_leader()),
        }
    }

    /// Answers a request, unless it was answered before, and records the outcome.
    pub(super) fn answer(&mut self, now: Time, req: RequestId, mut answer: Answer) {
        let Some(pending) = self.pending.remove(&req) else {
            return;
        };
        // An answer that relies on the proven lease is valid no longer than that lease, even
        // if this process is suspended before the answer is sent, and for a short time only,
        // as the lease may be revoked soon after this process has ended. A forwarded
        // request's answer already carries a limit from the leader. The lease of a worker
        // counts from when it sent its heartbeat, so that answer needs no limit.
        if let Role::Leader(leadership) = &self.role
            && pending.forwarded_to.is_none()
            && pending.kind != RequestKind::Heartbeat
            && answer.status < FIRST_RETRYABLE_STATUS
            && leadership.scheduler.may_start(now)
        {
            let lease_valid_until = leadership.scheduler.leadership_valid_until();
            let valid_until = answer_valid_until(now, lease_valid_until);
            answer.valid_us = Some((valid_until - pending.received_at).0);
        }
        self.latency
            .saturating_record((now - pending.received_at).0);
        let in_time = now - pending.received_at <= pending.timeout;
        self.request_log.record(pending.kind, &answer, in_time);
        let submits = pending.kind == RequestKind::Submission;
        if answer.status >= FIRST_RETRYABLE_STATUS && submits {
            let after_ms = (now - pending.received_at).0 / 1000;
            tracing::info!(status = answer.status, after_ms, why = %answer.body, "job submission refused");
        }
        if submits && answer.status < FIRST_RETRYABLE_STATUS {
            let after_ms = (now - pending.received_at).0 / 1000;
            tracing::debug!(status = answer.status, after_ms, "job submission answered");
        }
        match pending.origin {
            Origin::Http(reply) => reply.answer(answer),
            Origin::Peer { from, id } => {
                let to = from.to_string();
                self.queue_for_peer(from, PeerMessage::Response { id, to, answer });
            }
        }
    }
}

/// Whether the leader that a request was forwarded to leads again with a larger epoch,
/// so that it no longer knows the request.
pub fn leader_restarted(
    forwarded_to: &(ControllerId, Epoch),
    current: Option<&(ControllerId, Epoch)>,
) -> bool {
    current.is_some_and(|(label, epoch)| *label == forwarded_to.0 && *epoch > forwarded_to.1)
}

/// The list that a request asks for, if it is one. Its query was validated on arrival.
fn read_only(ask: &Request) -> Option<ListRequest> {
    match ask {
        Request::List(query) => Query::parse(query).ok().map(ListRequest::Page),
        Request::Events(query) => since(query).ok().map(ListRequest::Changes),
        _ => None,
    }
}

/// Whether a request has waited so long that its sender has timed out; it is not handled
/// any more.
pub fn is_expired(ask: &Request, waited: Span) -> bool {
    waited > timeout_of(ask)
}

fn too_late() -> Answer {
    Answer::later("no answer in time", 1)
}

/// How long the client waits for an answer, less a margin for the transmission.
pub(super) fn timeout_of(ask: &Request) -> Span {
    match ask {
        Request::Poll(_) | Request::Show(_) | Request::List(_) | Request::Events(_) => {
            Span::millis(1600)
        }
        Request::Report(_) => Span::millis(3500),
        Request::Submit(_) | Request::Cancel(_) | Request::Hold(..) | Request::Release(..) => {
            Span::millis(4200)
        }
    }
}
