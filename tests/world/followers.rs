//! Questions at any controller: a follower passes them on to the leader that it
//! knows of, or reads the final state itself. What it decides is the product's own
//! decision. Every leg of the way takes time, and may be held.

use super::{Ev, S, World};
use hookworks::election::answer_valid_until;
use hookworks::ids::*;
use hookworks::node::routing::{KnownLeader, Route, answer_final_read, no_leader, route};
use hookworks::sched::Event;
use hookworks::sched::job::Final;
use hookworks::store::final_key;
use hookworks::time::Time;
use hookworks::wire::peer::{Answer, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// What happens to a question at a controller, or on its way from there.
pub enum Leg {
    /// It arrives, from a user.
    Arrives,
    /// It arrives, passed on by that follower.
    PassedOn(usize),
    /// The follower reads the final state.
    Read(JobId),
    ReadBack(JobId, Result<Option<Final>, ()>),
    /// The answer is back from the controller that was asked.
    Returned(usize, Passed),
    /// The answer reaches the user.
    Told(Answer),
}

/// A question that a follower has passed on.
struct PassedOn {
    question: RequestId,
    follower: usize,
    /// When it arrived at the leader.
    arrived: u64,
}

/// An answer that the leader of a term has sent to a follower.
pub struct Passed {
    epoch: Epoch,
    answer: Answer,
}

/// Questions whose way takes time.
pub struct Questions {
    /// When each was sent.
    sent: BTreeMap<RequestId, u64>,
    /// When each arrived at the controller that the user asked.
    arrived: BTreeMap<RequestId, u64>,
    /// What a follower has passed on, by the request at the leader.
    passed_on: BTreeMap<RequestId, PassedOn>,
    /// Draws of its own, so that stories without followers go on as they were.
    rng: StdRng,
    /// Chance that a leg is held for up to a second and a half.
    pub held: f64,
    /// Final states that followers have told by themselves.
    pub read_by_followers: u64,
    /// Answers that reached users by way of a follower and the leader.
    pub passed_back: u64,
}

impl Questions {
    pub(super) fn new(seed: u64) -> Questions {
        Questions {
            sent: BTreeMap::new(),
            arrived: BTreeMap::new(),
            passed_on: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            held: 0.0,
            read_by_followers: 0,
            passed_back: 0,
        }
    }

    /// Seconds that the next leg takes.
    fn leg(&mut self) -> f64 {
        match self.held > 0.0 && self.rng.random_bool(self.held) {
            true => self.rng.random_range(0.01..1.5),
            false => self.rng.random_range(0.0002..0.003),
        }
    }
}

/// For how long a user waits for an answer.
fn patience(ask: &Request) -> u64 {
    match ask {
        Request::Poll(_) => 2 * S,
        _ => 5 * S,
    }
}

impl World {
    /// To a given controller, leader or not.
    pub fn ask_via(&mut self, i: usize, ask: Request) {
        if self.ctls[i].term.is_some() && self.questions.held == 0.0 {
            return self.ask(i, ask);
        }
        let q = self.note_asked(&ask);
        self.questions.sent.insert(q, self.now);
        self.question(i, q, Leg::Arrives);
    }

    fn go(&mut self, i: usize, q: RequestId, leg: Leg) {
        let d = self.questions.leg();
        self.at(d, Ev::Question(i, q, leg));
    }

    pub(super) fn question(&mut self, i: usize, q: RequestId, leg: Leg) {
        // A process that has ended answers nothing; what has left it goes on.
        if !self.ctls[i].up && !matches!(leg, Leg::Told(_)) {
            return;
        }
        let Some(ask) = self.asks.get(&q).cloned() else {
            return;
        };
        if matches!(leg, Leg::Arrives) {
            self.questions.arrived.insert(q, self.now);
        }
        match leg {
            Leg::Arrives if self.ctls[i].term.is_some() => {
                let ask = self.as_understood(i, ask);
                self.event(i, Event::Ask(q, ask));
            }
            Leg::Arrives => self.follow(i, q, &ask),
            Leg::PassedOn(from) if self.ctls[i].term.is_some() => {
                let there = RequestId(self.next_req);
                self.next_req += 1;
                let passed_on = PassedOn {
                    question: q,
                    follower: from,
                    arrived: self.now,
                };
                self.questions.passed_on.insert(there, passed_on);
                let ask = self.as_understood(i, ask);
                self.event(i, Event::Ask(there, ask));
            }
            Leg::PassedOn(from) => {
                let answer = Answer::later("not the leader", 1);
                let epoch = Epoch(0);
                self.go(from, q, Leg::Returned(i, Passed { epoch, answer }));
            }
            Leg::Read(id) => {
                let read = self.store.of(i).read(&final_key(&id)).map_err(|_| ());
                let f = read.map(|o| o.map(|x| serde_json::from_value(x.value).unwrap()));
                self.go(i, q, Leg::ReadBack(id, f));
            }
            Leg::ReadBack(id, f) => {
                self.questions.read_by_followers += u64::from(matches!(f, Ok(Some(_))));
                self.go(i, q, Leg::Told(answer_final_read(&id, f)));
            }
            Leg::Returned(_, passed) => self.tell_passed(i, q, passed),
            Leg::Told(a) => self.hears(q, &ask, a),
        }
    }

    /// The leader's answer, with for how long it may be told, as the main loop has it.
    fn pass_back(&self, leader: usize, arrived: u64, mut answer: Answer) -> Passed {
        let now = self.time();
        let term = self.ctls[leader].term.as_ref();
        if let Some(term) = term
            && answer.status < 500
            && term.sched.may_start(now)
        {
            let valid_until = answer_valid_until(now, term.sched.leadership_valid_until());
            answer.valid_us = Some((valid_until - Time(arrived)).0);
        }
        let epoch = term.map_or(Epoch(0), |term| term.epoch);
        Passed { epoch, answer }
    }

    /// A follower tells what the leader has answered, if it is valid yet. By then no later
    /// leader may have told anybody anything.
    fn tell_passed(&mut self, follower: usize, q: RequestId, passed: Passed) {
        let mut answer = passed.answer;
        let since = self.now - self.questions.arrived.get(&q).copied().unwrap_or(self.now);
        if answer.valid_us.is_some_and(|valid| since >= valid) {
            answer = Answer::later("the answer is not valid any more", 1);
        } else if answer.valid_us.is_some() {
            let later = self.latest_epoch() > passed.epoch;
            if later {
                let broken = format!("told_after_next_leader: {:?} {answer:?}", passed.epoch);
                self.broken.push(broken);
            }
        }
        self.questions.passed_back += u64::from(answer.status < 300);
        self.go(follower, q, Leg::Told(answer));
    }

    /// The epoch of the latest leader of all.
    fn latest_epoch(&self) -> Epoch {
        let led = self
            .ctls
            .iter()
            .filter_map(|c| Some(c.term.as_ref()?.epoch));
        led.max().unwrap_or(Epoch(0))
    }

    /// What a controller that does not lead makes of it.
    fn follow(&mut self, i: usize, q: RequestId, ask: &Request) {
        match route(ask, self.known_leader(i, ask)) {
            Route::Forward(leader, _) => self.go(index(&leader), q, Leg::PassedOn(i)),
            Route::ReadFinal(id) => self.go(i, q, Leg::Read(id)),
            Route::Answer(a) => self.go(i, q, Leg::Told(a)),
            Route::NoLeaderForHeartbeat => self.go(i, q, Leg::Told(no_leader())),
        }
    }

    /// The user has it, if it is not too late.
    fn hears(&mut self, q: RequestId, ask: &Request, a: Answer) {
        self.asks.remove(&q);
        let sent = self.questions.sent.remove(&q).unwrap_or(self.now);
        if self.now - sent < patience(ask) {
            self.note_hold(q, ask, &a);
            self.heard_since(ask.clone(), a, sent);
        }
    }

    /// A leader's answer to a question whose way takes time; false if it is none.
    pub(super) fn answers_question(&mut self, i: usize, req: RequestId, a: &Answer) -> bool {
        if let Some(passed_on) = self.questions.passed_on.remove(&req) {
            let passed = self.pass_back(i, passed_on.arrived, a.clone());
            let leg = Leg::Returned(i, passed);
            self.go(passed_on.follower, passed_on.question, leg);
            return true;
        }
        let routed = self.questions.sent.contains_key(&req);
        if routed {
            self.go(i, req, Leg::Told(a.clone()));
        }
        routed
    }

    /// The latest leader that it or any other controller in touch speaks of, which
    /// may be one that leads no more.
    fn known_leader(&self, i: usize, ask: &Request) -> Option<KnownLeader> {
        let in_touch = (0..self.ctls.len()).filter(|j| *j == i || self.in_touch(i, *j));
        let named = in_touch.filter_map(|j| self.ctls[j].sees);
        let (leader, epoch) = named.max_by_key(|l| l.1).filter(|l| l.0 != i)?;
        Some(KnownLeader {
            label: label(leader),
            epoch,
            reachable: self.in_touch(i, leader),
            supports_request: self.leader_understands(i, leader, ask.min_version()),
        })
    }

    /// Who leads as of now, as this controller has seen it.
    pub(super) fn sees(&mut self, i: usize, leader: Option<(ControllerId, Epoch)>) {
        let leader = leader.map(|(l, epoch)| (index(&l), epoch));
        self.ctls[i].sees = leader;
    }
}

pub(super) fn label(i: usize) -> ControllerId {
    ControllerId::from(format!("c{i}").as_str())
}

fn index(label: &ControllerId) -> usize {
    label.as_str().trim_start_matches('c').parse().unwrap()
}
