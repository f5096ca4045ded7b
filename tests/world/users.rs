//! What users ask for, and what they are told.

use super::World;
use super::submissions::submitted_id;
use hookworks::ids::*;
use hookworks::sched::Event;
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::user::{JobSpec, JobState, JobView};
use hookworks_job_lifecycle::{HoldRequest, ReleaseRequest};

impl World {
    pub fn submit(&mut self, spec: JobSpec) {
        let body = serde_json::to_vec(&spec).unwrap();
        self.specs.insert(spec.id.clone(), spec);
        self.user(Request::Submit(body));
    }

    pub fn user(&mut self, ask: Request) {
        if let Request::Poll(id) = &ask {
            self.check_known(&id.as_str().into());
        }
        // Who stands still gives no answer in time.
        let leader = self.leader();
        let Some(i) = leader.filter(|i| self.ctls[*i].frozen_until <= self.now) else {
            let a = Answer::later("no leader", 1);
            return self.heard(ask, a);
        };
        self.ask(i, ask);
    }

    /// To a controller that leads, or believes to; answered without delay.
    pub fn ask(&mut self, i: usize, ask: Request) {
        let req = self.note_asked(&ask);
        let ask = self.as_understood(i, ask);
        self.event(i, Event::Ask(req, ask));
    }

    /// A user asks this now.
    pub(super) fn note_asked(&mut self, ask: &Request) -> RequestId {
        let req = RequestId(self.next_req);
        self.next_req += 1;
        self.asks.insert(req, ask.clone());
        match ask {
            Request::Submit(body) => self.note_submission(body),
            Request::Cancel(id) => {
                self.needs.note_cancel_asked(&id.as_str().into());
                let told = self.told.entry(id.as_str().into()).or_default();
                told.cancel_asked = true;
            }
            Request::Release(id, body) => {
                let key = (
                    id.as_str().into(),
                    ReleaseRequest::parse(body).unwrap().kind,
                );
                self.held.remove(&key);
                *self.releases.entry(key).or_default() += 1;
            }
            Request::Hold(id, body) => {
                let key = (id.as_str().into(), HoldRequest::parse(body).unwrap().kind);
                let sent = self.releases.get(&key).copied().unwrap_or(0);
                self.holds_asked.insert(req, sent);
            }
            _ => {}
        }
        req
    }

    pub fn answers_to(&self, id: &str) -> Vec<u16> {
        let of = |a: &Request| match a {
            Request::Submit(b) => submitted_id(b).map_or(String::new(), |id| id.to_string()),
            Request::Poll(i) | Request::Cancel(i) | Request::Show(i) => i.clone(),
            Request::Hold(i, _) | Request::Release(i, _) => i.clone(),
            Request::Report(_) | Request::List(_) | Request::Events(_) => String::new(),
        };
        let mine = self.answers.iter().filter(|(a, _)| of(a) == id);
        mine.map(|(_, a)| a.status).collect()
    }

    pub fn state_of(&mut self, id: &str) -> Option<JobState> {
        self.user(Request::Poll(id.into()));
        self.run(0.5);
        let polls = |x: &&(Request, Answer)| matches!(&x.0, Request::Poll(i) if i == id);
        let last = self.answers.iter().rfind(polls)?;
        serde_json::from_str::<JobView>(&last.1.body)
            .ok()
            .map(|v| v.state)
    }

    /// Jobs whose cancellation was confirmed.
    pub fn cancellations(&self) -> usize {
        let told = self.told.values();
        told.filter(|t| t.cancelled_at.is_some()).count()
    }
}
