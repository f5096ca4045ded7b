//! Zones, and the links between them: controllers and workers are in zones,
//! users, cloud and state service in the region. A link may be cut, reset what
//! passes, or hold it back until it is open again; each direction by itself.

use super::followers::Leg;
use super::handover::Act;
use super::worker::Worker;
use super::{Ev, World};
use hookworks::ids::*;
use hookworks::sched::DirectResult;
use hookworks::store::TxnOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// Chances of trouble, each per message.
#[derive(Clone, Copy, Default)]
pub struct Chaos {
    pub lose_answer: f64,
    pub late: f64,
    pub lose_txn_answer: f64,
    pub refuse_txn: f64,
    /// A report comes again, up to three leases later.
    pub copy: f64,
    /// A transaction gets no answer and is carried out 2 to 12 s later.
    pub late_txn: f64,
    /// A transaction is carried out at once and its answer alone is lost.
    pub lost_answer: f64,
    /// A direct call that was carried out arrives once more, up to minutes later.
    pub repeat_call: f64,
    /// A transaction that was carried out arrives once more, up to minutes later.
    pub repeat_txn: f64,
}

/// What becomes of messages from one zone to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Open,
    Cut,
    /// Kept, and delivered in order once the link is open.
    Held,
    /// The sender learns at once that nothing was sent.
    Reset,
}

/// Where users, cloud and state service are.
const REGION: &str = "region";
/// A caller gives up after so long.
const GIVES_UP: f64 = 1.2;

#[derive(Default)]
pub struct Links {
    shut: BTreeMap<(Zone, Zone), Link>,
    held: Vec<((Zone, Zone), Ev)>,
    /// Direct calls to machines of each zone, so far.
    pub calls: BTreeMap<Zone, usize>,
}

impl Ev {
    /// It may change what is on the workers.
    pub(super) fn touches_workers(&self) -> bool {
        let by_controllers = matches!(
            self,
            Ev::ToWorker(..) | Ev::Orders(..) | Ev::RepeatedCall(..) | Ev::Release(..)
        );
        let by_trouble = matches!(
            self,
            Ev::Preempt(_) | Ev::Hang(..) | Ev::Sick(..) | Ev::Reborn(_)
        );
        by_controllers || by_trouble
    }
}

impl World {
    pub fn zone_of(&self, i: usize) -> Zone {
        self.zones[i % self.zones.len()].clone()
    }

    fn link(&self, from: &Zone, to: &Zone) -> Link {
        let shut = self.links.shut.get(&(from.clone(), to.clone()));
        shut.copied().unwrap_or(Link::Open)
    }

    /// One direction between two zones, or a zone and the region.
    pub fn set_link(&mut self, from: &str, to: &str, l: Link) {
        let way = (Zone::from(from), Zone::from(to));
        if l != Link::Open {
            self.links.shut.insert(way, l);
            return;
        }
        self.links.shut.remove(&way);
        let held = std::mem::take(&mut self.links.held);
        let (now, still): (Vec<_>, Vec<_>) = held.into_iter().partition(|(w, _)| *w == way);
        self.links.held = still;
        for (n, (_, e)) in now.into_iter().enumerate() {
            self.at(1e-5 * (n + 1) as f64, e);
        }
    }

    /// A zone from all others and from the region, and back.
    pub fn set_zone(&mut self, z: &str, l: Link) {
        let mut others: Vec<Zone> = self
            .zones
            .iter()
            .filter(|o| o.as_str() != z)
            .cloned()
            .collect();
        others.push(REGION.into());
        for o in others {
            self.set_link(z, o.as_str(), l);
            self.set_link(o.as_str(), z, l);
        }
    }

    /// From one zone to another directly, or by way of a controller in a third.
    fn way(&self, from: &Zone, to: &Zone) -> Link {
        let direct = self.link(from, to);
        if direct == Link::Open {
            return direct;
        }
        let open = |a: &Zone, b: &Zone| a == b || self.link(a, b) == Link::Open;
        let via = |i: &usize| {
            let z = self.zone_of(*i);
            self.ctls[*i].up && open(from, &z) && open(&z, to) && open(to, &z) && open(&z, from)
        };
        match (0..self.ctls.len()).find(via) {
            Some(_) => Link::Open,
            None => direct,
        }
    }

    /// Two controllers can talk, directly or by way of the third.
    pub(super) fn in_touch(&self, i: usize, j: usize) -> bool {
        let (here, there) = (self.zone_of(i), self.zone_of(j));
        let both = self.ctls[i].up && self.ctls[j].up;
        let lonely = self.ctls[i].lonely || self.ctls[j].lonely;
        let open = |a: &Zone, b: &Zone| a == b || self.way(a, b) == Link::Open;
        both && !lonely && open(&here, &there) && open(&there, &here)
    }

    /// Controllers that this one can't talk to.
    pub(super) fn out_of_reach(&self, i: usize) -> Vec<ControllerId> {
        let me = self.zone_of(i);
        let away = |j: &usize| {
            let z = self.zone_of(*j);
            let shut = self.link(&me, &z) != Link::Open || self.link(&z, &me) != Link::Open;
            let lonely = self.ctls[i].lonely || self.ctls[*j].lonely;
            *j != i && (shut || lonely || !self.ctls[*j].up)
        };
        let all = (0..self.ctls.len()).filter(away);
        all.map(|j| ControllerId::from(format!("c{j}").as_str()))
            .collect()
    }

    /// From where to where the message goes, if it goes anywhere.
    fn route(&self, e: &Ev) -> Option<(Zone, Zone, bool)> {
        let region = Zone::from(REGION);
        let at = |h: &Host| self.workers.get(h).map(|w: &Worker| w.zone.clone());
        Some(match e {
            Ev::ToCtl(i, h, ..) => (at(h)?, self.zone_of(*i), true),
            Ev::ToWorker(h, _, _, i) => (self.zone_of(*i), at(h)?, true),
            Ev::Orders(i, _, _, h, _) => (self.zone_of(*i), at(h)?, false),
            // What the caller makes of silence reaches it from nowhere.
            Ev::Direct(_, _, _, _, DirectResult::Unclear | DirectResult::Refused) => return None,
            Ev::Direct(i, _, _, h, _) => (at(h)?, self.zone_of(*i), false),
            Ev::TxnDone(_, _, _, TxnOutcome::Unknown) => return None,
            Ev::Txn(i, ..) | Ev::Read(i, ..) | Ev::Final(i, ..) | Ev::Record(i, ..) => {
                (self.zone_of(*i), region, false)
            }
            Ev::Hire(i, ..) | Ev::Release(i, ..) | Ev::List(i) => (self.zone_of(*i), region, false),
            Ev::Elect(i) | Ev::ElectOnce(i) => (self.zone_of(*i), region, false),
            Ev::TxnDone(i, ..) | Ev::ReadDone(i, ..) | Ev::CloudDone(i, ..) => {
                (region, self.zone_of(*i), false)
            }
            Ev::UserVia(i, _) => (region, self.zone_of(*i), false),
            Ev::Question(i, _, leg) => {
                let here = self.zone_of(*i);
                match leg {
                    Leg::Arrives | Leg::ReadBack(..) => (region, here, false),
                    Leg::PassedOn(from) | Leg::Returned(from, _) => {
                        (self.zone_of(*from), here, true)
                    }
                    Leg::Read(_) | Leg::Told(_) => (here, region, false),
                }
            }
            _ => return None,
        })
    }

    /// The event, if it arrives now; otherwise what its sender learns.
    pub(super) fn passes(&mut self, e: Ev) -> Option<Ev> {
        if let Ev::Orders(_, _, _, h, _) = &e
            && let Some(w) = self.workers.get(h)
        {
            *self.links.calls.entry(w.zone.clone()).or_default() += 1;
        }
        let lonely = self.cut_off(&e);
        if self.links.shut.is_empty() && !lonely {
            return Some(e);
        }
        let Some((from, to, relayed)) = self.route(&e) else {
            return Some(e);
        };
        let link = match relayed {
            _ if lonely => Link::Cut,
            true => self.way(&from, &to),
            false => self.link(&from, &to),
        };
        if link == Link::Open {
            return Some(e);
        }
        let unclear = match &e {
            Ev::Orders(i, t, call, h, _) | Ev::Direct(i, t, call, h, _) => {
                let r = match (link, &e) {
                    (Link::Reset, Ev::Orders(..)) => DirectResult::Refused,
                    _ => DirectResult::Unclear,
                };
                Some(Ev::Direct(*i, *t, *call, h.clone(), r))
            }
            Ev::Txn(i, t, id, _) | Ev::TxnDone(i, t, id, _) => {
                Some(Ev::TxnDone(*i, *t, *id, TxnOutcome::Unknown))
            }
            _ => None,
        };
        if let Some(u) = unclear {
            self.at(GIVES_UP, u);
        }
        match e {
            // These are done again and again until they get through.
            Ev::Elect(i) => self.at(0.4, Ev::Elect(i)),
            Ev::List(i) => self.at(5.0, Ev::List(i)),
            Ev::Read(..) | Ev::ReadDone(..) | Ev::Hire(..) | Ev::CloudDone(..) => self.at(1.0, e),
            e if link == Link::Held => self.links.held.push(((from, to), e)),
            _ => {}
        }
        None
    }

    /// On its way between a controller that is alone with its workers, and the
    /// state service or the cloud.
    fn cut_off(&self, e: &Ev) -> bool {
        let i = match e {
            Ev::Txn(i, ..) | Ev::Read(i, ..) | Ev::Final(i, ..) | Ev::Record(i, ..) => i,
            Ev::Hire(i, ..) | Ev::Release(i, ..) | Ev::List(i) => i,
            Ev::Elect(i) | Ev::ElectOnce(i) => i,
            Ev::TxnDone(i, _, _, o) if *o != TxnOutcome::Unknown => i,
            Ev::ReadDone(i, ..) | Ev::CloudDone(i, ..) => i,
            Ev::Question(i, _, Leg::Read(_) | Leg::ReadBack(..)) => i,
            Ev::Question(i, _, Leg::PassedOn(from) | Leg::Returned(from, _)) => {
                return self.ctls[*i].lonely || self.ctls[*from].lonely;
            }
            _ => return false,
        };
        self.ctls[*i].lonely
    }

    /// What reaches a process that stands still waits until it goes on.
    pub(super) fn awake(&mut self, e: Ev) -> Option<Ev> {
        let i = match &e {
            Ev::Elect(i) | Ev::ElectOnce(i) | Ev::Tick(i) | Ev::Wake(i) => *i,
            Ev::List(i) | Ev::ListOnce(i) => *i,
            Ev::ToCtl(i, ..) | Ev::Direct(i, ..) | Ev::TxnDone(i, ..) | Ev::Copy(i, ..) => *i,
            Ev::ReadDone(i, ..) | Ev::Final(i, ..) | Ev::Record(i, ..) => *i,
            Ev::CloudDone(i, ..) | Ev::UserVia(i, ..) => *i,
            Ev::HandOver(Act::Resign(i, _) | Act::GiveUpKey(i, _) | Act::Load(i, ..)) => *i,
            // What is on its way to the user goes on.
            Ev::Question(_, _, Leg::Told(_)) => return Some(e),
            Ev::Question(i, ..) => *i,
            _ => return Some(e),
        };
        let until = self.ctls[i].frozen_until;
        if self.now >= until || !self.ctls[i].up {
            return Some(e);
        }
        self.at((until - self.now) as f64 / 1e6, e);
        None
    }

    pub fn calls_to(&self, z: &str) -> usize {
        self.links.calls.get(&z.into()).copied().unwrap_or(0)
    }

    /// Machines by zone, as the cloud sees them.
    pub fn machines_in(&self, z: &str) -> BTreeSet<Host> {
        let there = self.workers.values().filter(|w| w.zone.as_str() == z);
        there.map(|w| w.host.clone()).collect()
    }
}
