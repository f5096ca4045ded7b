//! Controllers of two versions side by side: which version each process runs, what it
//! knows of the others, and the switch to compact records, by the product's own
//! decisions. An old process stands in for the version in production: it tells that
//! version in its pings, writes nothing of it to the state service, makes no switch,
//! and writes records as that version does.

use super::{Ev, S, World, followers::label, store::Handle};
use hookworks::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use hookworks::store::client::StateStore;
use hookworks::store::{FORMAT_KEY, LEADER_KEY, TxnOutcome, VERSIONS_PREFIX};
use hookworks::versions::switch::{Decision, FormatSwitch, Step, StepResult};
use hookworks::versions::{Announcer, JOB_LIFECYCLE, OWN_VERSION, VersionTable};
use hookworks::wire::state::Txn;
use hookworks_membership::ReportedVersion;
use std::collections::BTreeSet;

/// The version in production.
pub const OLD: ControllerVersion = JOB_LIFECYCLE;

/// A controller looks at the versions so often, as `Node::tick` does.
const LOOK_EVERY: f64 = 0.25;

/// What happens to the transaction with the switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchFault {
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is not carried out, and there is no answer.
    Lost,
    /// It is carried out so many microseconds later, without an answer.
    Late(u64),
    /// It is carried out, and the leader ends before the answer.
    LeaderEnds,
    /// It is refused: too many requests, or an outage.
    Refused,
}

pub enum VersionAct {
    Look(usize),
    /// From its next start on the controller runs this version.
    Run(usize, ControllerVersion),
    /// Pings of the two don't reach each other, or do again.
    CutPings(usize, usize, bool),
    /// A transaction is carried out late.
    Apply(Txn),
}

/// What a process knows.
struct Process {
    life: u64,
    table: VersionTable,
    announcer: Announcer<Handle>,
    announces_at: Option<u64>,
    switch: Option<(Epoch, FormatSwitch)>,
}

#[derive(Default)]
pub struct Versions {
    /// What each controller's process runs; empty where versions are not played.
    runs: Vec<ControllerVersion>,
    next: Vec<ControllerVersion>,
    processes: Vec<Process>,
    cut: BTreeSet<(usize, usize)>,
    /// What happens to the first transactions with the switch, the last one first.
    pub faults: Vec<SwitchFault>,
    /// When the third controller of the new version started, and when the switch was
    /// first on record.
    pub all_new_at: Option<u64>,
    pub stored_at: Option<u64>,
    /// Terms that began under each version.
    pub terms: Vec<ControllerVersion>,
}

impl Versions {
    pub(super) fn are_played(&self) -> bool {
        !self.runs.is_empty()
    }
}

impl World {
    /// From now on the controllers' processes run these versions.
    pub fn run_versions(&mut self, runs: &[ControllerVersion]) {
        if !self.is_switched() {
            self.store.remove(FORMAT_KEY);
        }
        self.versions.runs = runs.to_vec();
        self.versions.next = runs.to_vec();
        self.versions.processes = (0..runs.len()).map(|i| self.process(i)).collect();
        for i in 0..runs.len() {
            self.at(0.0, Ev::Versions(VersionAct::Look(i)));
        }
    }

    /// The controller ends then, and is back with this version.
    pub fn replace(&mut self, i: usize, at_s: f64, back_s: f64, version: ControllerVersion) {
        self.at(at_s, Ev::Kill(i));
        self.at(at_s, Ev::Versions(VersionAct::Run(i, version)));
        self.at(at_s + back_s, Ev::Restart(i));
    }

    fn process(&self, i: usize) -> Process {
        let life = self.ctls[i].life;
        let others = (0..self.ctls.len()).filter(|j| *j != i).map(label);
        Process {
            life,
            table: VersionTable::new(label(i), others),
            announcer: Announcer::new(self.store.of(i), label(i), Instance(life)),
            announces_at: Some(self.now),
            switch: None,
        }
    }

    /// The process knows the switch; worlds without versions are of this one alone.
    pub fn is_new(&self, i: usize) -> bool {
        self.versions.runs.get(i).is_none_or(|v| *v == OWN_VERSION)
    }

    /// Whether a follower takes that leader for one that understands this.
    pub(super) fn leader_understands(
        &self,
        i: usize,
        leader: usize,
        needs: ControllerVersion,
    ) -> bool {
        match self.versions.processes.get(i) {
            Some(p) if self.is_new(i) => p.table.understands(&label(leader), needs),
            // An old one passes on whatever it knows no better.
            _ => true,
        }
    }

    pub(super) fn version_act(&mut self, act: VersionAct) {
        match act {
            VersionAct::Look(i) => {
                self.look_at_versions(i);
                self.at(LOOK_EVERY, Ev::Versions(VersionAct::Look(i)));
            }
            VersionAct::Run(i, version) => self.versions.next[i] = version,
            VersionAct::CutPings(i, j, cut) => {
                for pair in [(i, j), (j, i)] {
                    match cut {
                        true => self.versions.cut.insert(pair),
                        false => self.versions.cut.remove(&pair),
                    };
                }
            }
            VersionAct::Apply(txn) => {
                self.store.apply(&txn);
            }
        }
    }

    fn look_at_versions(&mut self, i: usize) {
        if !self.ctls[i].up {
            return;
        }
        self.take_up_version(i);
        let up = |j: usize| self.ctls[j].up && self.versions.processes[j].life == self.ctls[j].life;
        let all_new = (0..self.ctls.len()).all(|j| up(j) && self.is_new(j));
        if all_new && self.versions.all_new_at.is_none() {
            self.versions.all_new_at = Some(self.now);
        }
        if self.store.peek(FORMAT_KEY).is_some() && self.versions.stored_at.is_none() {
            self.versions.stored_at = Some(self.now);
            // A process of this version that has ended comes back in it.
            if !self.all_new() {
                self.broken
                    .push("compact records before all controllers are new".into());
            }
        }
        if self.is_new(i) && self.ctls[i].frozen_until <= self.now {
            self.hear_versions(i);
            self.announce(i);
            self.switch_format(i);
        }
    }

    /// A process that has just begun runs what it was to run.
    pub(super) fn take_up_version(&mut self, i: usize) {
        let life = self.versions.processes.get(i).map(|p| p.life);
        if life.is_some_and(|life| life != self.ctls[i].life) {
            self.versions.runs[i] = self.versions.next[i];
            self.versions.processes[i] = self.process(i);
        }
    }

    fn hear_versions(&mut self, i: usize) {
        for j in (0..self.ctls.len()).filter(|j| *j != i) {
            if !self.in_touch(i, j) || self.versions.cut.contains(&(i, j)) {
                continue;
            }
            // A process that has just begun has said nothing yet.
            let life = self.versions.processes[j].life;
            if life != self.ctls[j].life {
                continue;
            }
            let reported = ReportedVersion {
                instance: Some(Instance(life)),
                version: self.versions.runs[j],
                at: self.time(),
            };
            let table = &mut self.versions.processes[i].table;
            table.record_ping(&label(j), reported);
        }
    }

    fn announce(&mut self, i: usize) {
        let now = self.now;
        let process = &mut self.versions.processes[i];
        if process.announces_at.is_none_or(|at| now < at) {
            return;
        }
        let found = process.announcer.step();
        let pause = process.announcer.pause().0;
        process.announces_at = found.is_none().then_some(now + pause);
    }

    fn switch_format(&mut self, i: usize) {
        let (now, day) = (self.time(), self.wall());
        let Some(term) = &self.ctls[i].term else {
            return;
        };
        let (epoch, proven) = (term.epoch, term.sched.may_start(now));
        let process = &mut self.versions.processes[i];
        let Some((_, switch)) = process.switch.as_mut().filter(|s| s.0 == epoch && proven) else {
            return;
        };
        let Some(step) = switch.next_step(now, day, &process.table) else {
            return;
        };
        let Some(reply) = self.make(i, step) else {
            return;
        };
        let process = &mut self.versions.processes[i];
        let Some((_, switch)) = &mut process.switch else {
            return;
        };
        match switch.handle_result(now, reply, &mut process.table) {
            Decision::Nothing => {}
            Decision::Compact(record) => {
                let term = self.ctls[i].term.as_mut().unwrap();
                term.sched.set_format(record.records);
                term.commit.set_format(record.records);
            }
            Decision::Deposed => self.steps_down(i),
        }
    }

    /// Makes a request; none if the leader is not there for its answer.
    fn make(&mut self, i: usize, step: Step) -> Option<StepResult> {
        let state = self.store.of(i);
        let txn = match step {
            Step::ReadVersions => {
                let page = state.page(VERSIONS_PREFIX, None, 200);
                return Some(StepResult::Versions(page.map(|p| p.items).map_err(|_| ())));
            }
            Step::ReadFormat => {
                return Some(StepResult::Format(state.get(FORMAT_KEY).map_err(|_| ())));
            }
            Step::Store(txn) => txn,
        };
        assert!(txn.conditions.iter().any(|c| c.key == LEADER_KEY));
        let outcome = match self.versions.faults.pop() {
            None => state.apply(&txn),
            Some(SwitchFault::AnswerLost) => {
                state.apply(&txn);
                TxnOutcome::Unknown
            }
            Some(SwitchFault::Lost) => TxnOutcome::Unknown,
            Some(SwitchFault::Late(by)) => {
                self.at(by as f64 / S as f64, Ev::Versions(VersionAct::Apply(txn)));
                TxnOutcome::Unknown
            }
            Some(SwitchFault::LeaderEnds) => {
                state.apply(&txn);
                self.at(0.0, Ev::Kill(i));
                self.at(3.0, Ev::Restart(i));
                return None;
            }
            Some(SwitchFault::Refused) => TxnOutcome::NotApplied,
        };
        Some(StepResult::Store(outcome))
    }

    /// A term begins; true if its leader takes what is on record of the form.
    pub(super) fn note_term(&mut self, i: usize, epoch: Epoch, switch: FormatSwitch) -> bool {
        self.take_up_version(i);
        let new = self.is_new(i);
        if let Some(process) = self.versions.processes.get_mut(i) {
            process.switch = Some((epoch, switch));
            self.versions.terms.push(self.versions.runs[i]);
        }
        new
    }

    /// What controller `i` knows of the version of another.
    pub fn known_version(&self, i: usize, of: usize) -> Option<ControllerVersion> {
        let of: ControllerId = label(of);
        let known = self.versions.processes[i].table.version(&of);
        known.map(|(version, _)| version)
    }
}
