//! Leaders that change often, machines that are up at once, lists that lag, and
//! links and writes that are slow.

use super::{Ev, World};
use hookworks::election::REVOCATION_DELAY;
use hookworks::ids::{Epoch, Host, Revision};
use hookworks::time::Time;
use hookworks::wire::cloud::ListedHost;
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};

/// A range in seconds from which each delay is drawn.
pub type Seconds = (f64, f64);

/// What is in force; nothing by default.
#[derive(Clone, Copy, Default)]
pub struct Conditions {
    /// From a rental request until the machine's first report.
    pub boot: Option<Seconds>,
    /// From a request to the cloud until it is carried out, and until its answer.
    pub cloud: Option<Seconds>,
    /// A list shows the machines as they were up to twice so many seconds ago.
    pub list_lag_s: f64,
    /// Each message from and to workers, the cloud and the state service.
    pub links: Option<Seconds>,
    /// A transaction, until it is carried out.
    pub writes: Option<Seconds>,
    /// The reading of all records by a new leader.
    pub load: Option<Seconds>,
}

/// What the story of a hand-over needs besides.
#[derive(Default)]
pub struct HandOver {
    pub now: Conditions,
    /// Lists of machines as they were, the latest last.
    lists: VecDeque<(u64, Vec<ListedHost>)>,
    /// How the leadership was taken from whoever had it, so far.
    pub changes: Vec<Change>,
    /// Machines that were up before the answer to their rental's request.
    pub before_answer: usize,
    awaits_answer: BTreeMap<Host, u64>,
    /// The terms in which rental requests were named.
    names: BTreeMap<String, Epoch>,
    /// The latest election that each controller has won.
    won: BTreeMap<usize, Epoch>,
}

impl HandOver {
    /// A machine reports, for the first time or not.
    pub(super) fn first_report(&mut self, h: &Host, now: u64) {
        if let Some(answered) = self.awaits_answer.remove(h) {
            self.before_answer += (now < answered) as usize;
        }
    }
}

/// How a leader comes to lead no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// It finishes what it has in hand and gives up the key.
    InOrder,
    Ends,
    Freezes,
    /// The state service refuses it alone.
    Refused,
}

pub enum Act {
    Hold(fn(&mut Conditions)),
    /// The list of machines as it is now is kept, for lists that lag.
    KeepList,
    /// Whoever leads loses the leadership in this way; it is back, or goes on, after
    /// so many seconds.
    Change(Change, f64),
    /// It leads no more and is about to end, if it is still in that life.
    Resign(usize, u64),
    /// It gives up the key and ends, if it is still in that life.
    GiveUpKey(usize, u64),
    /// All records are read, if it is still in that life.
    Load(usize, u64, Epoch, Revision, Time),
}

/// Lists are kept so often.
const KEEP_EVERY: f64 = 0.2;
/// A new leader that can't read the records tries again after so long.
const LOAD_AGAIN: f64 = 0.2;
/// For a caller over slow links there is no answer after so long.
const GIVES_UP: f64 = 2.5;

impl World {
    fn draw(&mut self, range: Seconds) -> f64 {
        self.rng.random_range(range.0..range.1)
    }

    /// What a message takes, if links are slow.
    pub(super) fn slow_link(&mut self) -> Option<f64> {
        self.handover.now.links.map(|l| self.draw(l))
    }

    /// What a transaction takes, if writes lag.
    pub(super) fn slow_write(&mut self) -> Option<f64> {
        self.handover.now.writes.map(|w| self.draw(w))
    }

    /// When the caller gives a request up that takes so long.
    pub(super) fn gives_up(&self, takes: f64, usually: f64) -> Option<f64> {
        match self.handover.now.links.or(self.handover.now.writes) {
            Some(_) => Some(GIVES_UP),
            None => (takes > 1.0).then_some(usually),
        }
    }

    /// What a request to the cloud takes, or its answer.
    pub(super) fn cloud_delay(&mut self) -> f64 {
        let c = self.handover.now;
        c.cloud.or(c.links).map_or(0.1, |l| self.draw(l))
    }

    /// Until a machine that is rented now reports.
    pub(super) fn boots_in(&mut self) -> f64 {
        let usual = (6.0, 14.0);
        self.draw(self.handover.now.boot.unwrap_or(usual))
    }

    /// The name of a rental request belongs to one term for ever.
    pub(super) fn check_name(&mut self, name: &str, epoch: Epoch) {
        let named = self.handover.names.entry(name.into()).or_insert(epoch);
        if *named != epoch {
            self.broken.push(format!("request name used again: {name}"));
        }
    }

    /// The answer to a rental request leaves so long after it was carried out.
    pub(super) fn note_rented(&mut self, hosts: &[Host], answer_s: f64) {
        let answered = self.now + (answer_s * 1e6) as u64;
        for h in hosts {
            self.handover.awaits_answer.insert(h.clone(), answered);
        }
    }

    /// Which machines the cloud shows now.
    pub(super) fn shown_list(&mut self) -> Vec<ListedHost> {
        let lag = self.handover.now.list_lag_s;
        if lag == 0.0 {
            return self.list();
        }
        let age = (self.draw((0.0, 2.0 * lag)) * 1e6) as u64;
        let as_of = self.now.saturating_sub(age);
        let lists = &self.handover.lists;
        let kept = lists.iter().rev().find(|l| l.0 <= as_of);
        kept.map_or(vec![], |l| l.1.clone())
    }

    fn keep_list(&mut self) {
        let lag = self.handover.now.list_lag_s;
        if lag == 0.0 {
            return self.handover.lists.clear();
        }
        let list = (self.now, self.list());
        let oldest = self.now.saturating_sub((3.0 * lag * 1e6) as u64);
        self.handover.lists.push_back(list);
        self.handover.lists.retain(|l| l.0 >= oldest);
        self.at(KEEP_EVERY, Ev::HandOver(Act::KeepList));
    }

    /// These conditions hold from now on.
    pub fn set(&mut self, c: Conditions) {
        let keeps = self.handover.now.list_lag_s > 0.0;
        self.handover.now = c;
        if !keeps {
            self.keep_list();
        }
    }

    /// These conditions hold besides from then on, for so many seconds.
    pub fn conditions(&mut self, from_s: f64, for_s: f64, change: fn(&mut Conditions)) {
        let usual = |c: &mut Conditions| *c = Conditions::default();
        self.at(from_s, Ev::HandOver(Act::Hold(change)));
        self.at(from_s + for_s, Ev::HandOver(Act::Hold(usual)));
    }

    /// So many changes of leader within so many seconds from then on, each at a
    /// moment and in a way of its own.
    pub fn change_leaders(&mut self, from_s: f64, times: u32, within_s: f64) {
        for _ in 0..times {
            let at = from_s + self.draw((0.0, within_s));
            let (change, back) = self.any_change();
            self.at(at, Ev::HandOver(Act::Change(change, back)));
        }
    }

    /// One way of losing the leadership, and for how long.
    pub fn any_change(&mut self) -> (Change, f64) {
        match self.rng.random_range(0..4) {
            0 => (Change::InOrder, self.draw((0.02, 1.0))),
            1 => (Change::Ends, self.draw((0.02, 1.0))),
            2 => (Change::Freezes, self.draw((1.7, 6.0))),
            _ => (Change::Refused, self.draw((1.7, 6.0))),
        }
    }

    pub(super) fn act(&mut self, a: Act) {
        match a {
            Act::Hold(change) => {
                let mut c = self.handover.now;
                change(&mut c);
                self.set(c);
            }
            Act::KeepList => self.keep_list(),
            Act::Change(change, back) => self.change(change, back),
            Act::Resign(i, life) if self.lives(i, life) => {
                // It tells nothing any more, and gives the key up once nothing may be told
                // that it has answered.
                self.ctls[i].term = None;
                let delay = REVOCATION_DELAY.as_secs();
                self.at(delay, Ev::HandOver(Act::GiveUpKey(i, life)));
            }
            Act::GiveUpKey(i, life) if self.lives(i, life) => {
                self.ctls[i].elector.resign();
                self.ctls[i].up = false;
            }
            Act::Load(i, life, epoch, stamp, proven) if self.lives(i, life) => {
                let latest = self.handover.won.get(&i) == Some(&epoch);
                if latest && self.ctls[i].elector.leads() {
                    self.begin_term(i, epoch, stamp, proven);
                }
            }
            Act::Resign(..) | Act::GiveUpKey(..) | Act::Load(..) => {}
        }
    }

    /// The records can't be read at the moment.
    pub(super) fn load_again(&mut self, i: usize, epoch: Epoch, stamp: Revision, proven: Time) {
        if self.handover.now.load.is_none() {
            return self.ctls[i].elector.resign();
        }
        let e = Act::Load(i, self.ctls[i].life, epoch, stamp, proven);
        self.at(LOAD_AGAIN, Ev::HandOver(e));
    }

    fn lives(&self, i: usize, life: u64) -> bool {
        self.ctls[i].up && self.ctls[i].life == life
    }

    fn change(&mut self, change: Change, back: f64) {
        let Some(i) = self.leader() else { return };
        self.handover.changes.push(change);
        match change {
            Change::InOrder => {
                // It waits for what it has in hand, at most for 3 s.
                let stops = self.draw((0.0, 3.0));
                let life = self.ctls[i].life;
                self.at(stops, Ev::HandOver(Act::Resign(i, life)));
                self.at(stops + back, Ev::Restart(i));
            }
            Change::Ends => {
                self.at(0.0, Ev::Kill(i));
                self.at(back, Ev::Restart(i));
            }
            Change::Freezes => self.at(0.0, Ev::Freeze(i, back)),
            Change::Refused => {
                self.at(0.0, Ev::Refuse(i, true));
                self.at(back, Ev::Refuse(i, false));
            }
        }
    }

    /// The records are read at once, or slowly.
    pub(super) fn won(&mut self, i: usize, epoch: Epoch, stamp: Revision, proven: Time) {
        self.handover.won.insert(i, epoch);
        match self.handover.now.load {
            None => self.begin_term(i, epoch, stamp, proven),
            Some(takes) => {
                let takes = self.draw(takes);
                let life = self.ctls[i].life;
                let e = Act::Load(i, life, epoch, stamp, proven);
                self.at(takes, Ev::HandOver(e));
            }
        }
    }

    /// Machines that were rented so far.
    pub fn rented(&self) -> usize {
        self.rentals.iter().map(|r| r.2).sum()
    }
}
