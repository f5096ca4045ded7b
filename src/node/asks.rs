//! Requests of users and workers: answered as the leader, or passed on to it.

use super::follow::{self, KnownLeader, Route};
use super::lists::Wanted;
use super::request_log::{FIRST_RETRYABLE_STATUS, RequestKind};
use super::threads::state_service::StateRequest;
use super::{Node, Origin, Pending, Role};
use crate::api::redirect;
use crate::ids::{ControllerId, Epoch, RequestId};
use crate::sched::Event;
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, PeerMessage, Request};
use hookworks_listing::{Query, since};

/// A leader that is gone is no longer named by the state service after so long.
const LOST_AFTER: Span = Span(2_600_000);

impl Node {
    pub(super) fn new_req(&mut self, since: Time, origin: Origin, ask: &Request) -> RequestId {
        let req = RequestId(self.next_req);
        self.next_req += 1;
        self.pending.insert(
            req,
            Pending {
                origin,
                since,
                limit: limit_of(ask),
                kind: RequestKind::from(ask),
                report: None,
                with: None,
            },
        );
        req
    }

    pub(super) fn ask_from_peer(&mut self, now: Time, since: Time, origin: Origin, ask: Request) {
        let full = self.pending.len() >= self.sizes.requests;
        let req = self.new_req(since, origin, &ask);
        if is_expired(&ask, now - since) {
            return self.answer(now, req, too_late());
        }
        if full {
            return self.answer(now, req, Answer::later("too many requests", 2));
        }
        if let Some(wanted) = read_only(&ask) {
            return self.list(now, req, wanted);
        }
        if let Role::Leader(t) = &self.role {
            let epoch = t.epoch;
            let event = match (&self.pending.get(&req).map(|p| &p.origin), ask) {
                (Some(Origin::Peer { from, .. }), Request::Report(body)) => {
                    Event::Relayed(req, from.clone(), body)
                }
                (_, ask) => Event::Ask(req, ask),
            };
            self.event(now, epoch, event);
        } else {
            self.answer(now, req, Answer::later("not the leader", 1));
        }
    }

    pub(super) fn ask(&mut self, now: Time, since: Time, origin: Origin, ask: Request) {
        let full = self.pending.len() >= self.sizes.requests;
        let req = self.new_req(since, origin, &ask);
        if self.stopping.is_some() {
            return self.answer(now, req, Answer::later("stopping", 1));
        }
        if is_expired(&ask, now - since) {
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
        if let Some(wanted) = read_only(&ask) {
            // Finished jobs are read by anyone, the others told by the leader.
            let here = match &wanted {
                Wanted::Page(q) if !q.wants_unfinished() => true,
                _ => !matches!(self.role, Role::Follower),
            };
            return match here {
                true => self.list(now, req, wanted),
                false => self.pass_on(now, req, ask),
            };
        }
        match &self.role {
            Role::Leader(_) => self.lead_ask(now, req, ask),
            Role::Loading(_) => self.answer(now, req, Answer::later("taking over", 1)),
            Role::Follower => self.pass_on(now, req, ask),
        }
    }

    pub(super) fn lead_ask(&mut self, now: Time, req: RequestId, ask: Request) {
        if let Role::Leader(t) = &mut self.role {
            let epoch = t.epoch;
            self.event(now, epoch, Event::Ask(req, ask));
        }
    }

    /// Pages are made by a thread of their own.
    fn list(&mut self, now: Time, req: RequestId, wanted: Wanted) {
        if self.lists.try_send((req, wanted)).is_err() {
            self.answer(now, req, Answer::later("too many lists at a time", 1));
        }
    }

    /// A follower passes everything on to the leader.
    pub(super) fn pass_on(&mut self, now: Time, req: RequestId, ask: Request) {
        let leader = self.known_leader(&ask);
        match follow::route(&ask, leader) {
            Route::PassOn(leader, epoch) => self.pass_on_to(req, ask, leader, epoch),
            route => self.without_leader(now, req, ask, route),
        }
    }

    /// Who leads elsewhere, as far as is known here, and whether this may go there.
    fn known_leader(&mut self, ask: &Request) -> Option<KnownLeader> {
        let me = &self.settings.platform.label;
        let (label, epoch) = self.peers.best_leader().filter(|l| l.0 != *me)?;
        Some(KnownLeader {
            reachable: self.peers.reachable(&label),
            understands: self.understands(&label, ask.min_version()),
            label,
            epoch,
        })
    }

    fn pass_on_to(&mut self, req: RequestId, ask: Request, leader: ControllerId, epoch: Epoch) {
        let msg = PeerMessage::Request {
            id: req.0,
            from: self.settings.platform.label.to_string(),
            to: leader.to_string(),
            request: ask.clone(),
        };
        self.tell(leader.clone(), msg);
        if let Some(p) = self.pending.get_mut(&req) {
            p.with = Some((leader, epoch));
            p.report = match ask {
                Request::Report(body) => Some(body),
                _ => None,
            };
        }
    }

    /// Leaves at the end of this turn of the loop, with all that goes there.
    fn tell(&mut self, to: ControllerId, msg: PeerMessage) {
        self.outbox.entry(to).or_default().push(msg);
    }

    pub(super) fn send_outbox(&mut self, now: Time) {
        for (to, msgs) in std::mem::take(&mut self.outbox) {
            let asked = |m: &PeerMessage| match m {
                PeerMessage::Request { id, .. } => Some(RequestId(*id)),
                _ => None,
            };
            let asks: Vec<RequestId> = msgs.iter().filter_map(asked).collect();
            if !self.peers.send(&to, msgs) {
                for req in asks {
                    self.answer(now, req, Answer::later("the leader is out of reach", 1));
                }
            }
        }
    }

    /// What was passed on finds no way there any more. A report goes to the next
    /// leader as soon as there is one: workers that were sent to a leader that
    /// had lost the network came back too late, and were taken for lost.
    pub(super) fn look_elsewhere(&mut self, now: Time, req: RequestId) {
        let Some(p) = self.pending.get_mut(&req) else {
            return;
        };
        let next = self.peers.best_leader();
        let changed = next.is_some() && next != p.with;
        let patient = now - p.since < LOST_AFTER;
        match p.report.take() {
            Some(body) if changed => match self.role {
                Role::Follower => self.pass_on(now, req, Request::Report(body)),
                _ => self.give_up(now, req, "the leader has changed"),
            },
            Some(body) if patient => p.report = Some(body),
            Some(body) => {
                p.report = Some(body);
                self.give_up(now, req, "the leader is out of reach");
            }
            None => self.give_up(now, req, "the leader is out of reach"),
        }
    }

    /// No answer will come. If the state service says that the same one still
    /// leads, a worker may well have a way of its own there, and takes that
    /// sooner than it tries one controller after another.
    pub(super) fn give_up(&mut self, now: Time, req: RequestId, why: &str) {
        let p = self.pending.get(&req).filter(|p| p.report.is_some());
        let seen = self.seen.as_ref().map(|l| l.label.clone());
        let answer = match p
            .and_then(|p| p.with.clone())
            .map(|l| l.0)
            .filter(|l| seen.as_ref() == Some(l))
        {
            Some(l) => redirect(Some(l)),
            None => Answer::later(why, 1),
        };
        self.answer(now, req, answer);
    }

    /// Carries out what was decided about a request that goes to no leader.
    fn without_leader(&mut self, now: Time, req: RequestId, ask: Request, route: Route) {
        match (route, ask) {
            (Route::Answer(a), _) => self.answer(now, req, a),
            (Route::ReadFinal(id), _) => {
                // While nobody led, questions took all requests there are, and the
                // next leader was elected a second later for that.
                if !self.looks.has(now, 1.0) {
                    return self.answer(now, req, follow::no_leader());
                }
                self.looks.take(now, 1.0);
                let _ = self.store.send(StateRequest::LookUpFinal(req, id));
            }
            (_, Request::Report(body)) => {
                // Known from the state service, but not to be reached from
                // here: the worker may well have a way of its own.
                let leader = self.seen.as_ref().map(|l| l.label.clone());
                let leader = leader.filter(|l| *l != self.settings.platform.label);
                match leader
                    .and_then(|l| self.worker_balance.note_redirect(now, &body).then_some(l))
                {
                    Some(l) => self.answer(now, req, redirect(Some(l))),
                    None => self.answer(now, req, follow::no_leader()),
                }
            }
            _ => self.answer(now, req, follow::no_leader()),
        }
    }

    pub(super) fn answer(&mut self, now: Time, req: RequestId, mut answer: Answer) {
        let Some(p) = self.pending.remove(&req) else {
            return;
        };
        // What rests on the proof of the leadership is told as long as that lasts,
        // however long this process may stand still before it leaves; it has a
        // limit already if it came from the leader. Leases of workers count from
        // when they sent their reports, so those answers need none.
        if let Role::Leader(t) = &self.role
            && p.with.is_none()
            && p.kind != RequestKind::Heartbeat
            && answer.status < FIRST_RETRYABLE_STATUS
            && t.sched.may_start(now)
        {
            answer.valid_us = Some((t.sched.proven_until() - p.since).0);
        }
        self.latency.saturating_record((now - p.since).0);
        let in_time = now - p.since <= p.limit;
        self.request_log.record(p.kind, &answer, in_time);
        let submits = p.kind == RequestKind::Submission;
        if answer.status >= FIRST_RETRYABLE_STATUS && submits {
            let after_ms = (now - p.since).0 / 1000;
            tracing::info!(status = answer.status, after_ms, why = %answer.body, "submission refused");
        }
        if submits && answer.status < FIRST_RETRYABLE_STATUS {
            let after_ms = (now - p.since).0 / 1000;
            tracing::debug!(status = answer.status, after_ms, "submission answered");
        }
        match p.origin {
            Origin::Http(reply) => reply.answer(answer),
            Origin::Peer { from, id } => {
                let to = from.to_string();
                self.tell(from, PeerMessage::Response { id, to, answer });
            }
        }
    }
}

/// The leader that was asked has begun another term since: it does not know of
/// the request any more.
pub fn replaced(asked: &(ControllerId, Epoch), now: Option<&(ControllerId, Epoch)>) -> bool {
    now.is_some_and(|(label, epoch)| *label == asked.0 && *epoch > asked.1)
}

/// What somebody wants to read, if that is all; it was checked where it came in.
fn read_only(ask: &Request) -> Option<Wanted> {
    match ask {
        Request::List(query) => Query::parse(query).ok().map(Wanted::Page),
        Request::Events(query) => since(query).ok().map(Wanted::Changes),
        _ => None,
    }
}

/// Whoever asked has given up: an answer would come too late, so that none is worked out.
pub fn is_expired(ask: &Request, waited: Span) -> bool {
    waited > limit_of(ask)
}

fn too_late() -> Answer {
    Answer::later("no answer in time", 1)
}

/// How long an asker waits, less some for the way back.
pub(super) fn limit_of(ask: &Request) -> Span {
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
