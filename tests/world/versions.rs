//! Two versions of the controllers side by side. A controller of the production version
//! is a stand-in: it writes records as that version does and never in another form,
//! ignores fields of submissions that came later, can't read compact records and leaves
//! those jobs alone, and tells its own version. One of the current version does what the
//! product does: it tells its version, knows those of the others, and as the leader
//! stores the switch to compact records once all of them read these.

use super::followers::label;
use super::needs::NEEDS;
use super::{Ev, World, store};
use hookworks::ids::*;
use hookworks::store::client::{Outcome, ReadError, State};
use hookworks::store::{FORMAT, FormatRecord, PIECES, RecordFormat, VERSIONS};
use hookworks::time::Span;
use hookworks::versions::switch::{Decision, Reply, Step};
use hookworks::versions::{Announcer, JOB_CHAINS, JOB_LIFECYCLE, VersionTable};
use hookworks::wire::peer::Ask;
use hookworks::wire::state::{Item, Page, Txn};
use hookworks_membership::ReportedVersion;
use rand::RngExt;
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// What is in production while a day begins.
    Production,
    Current,
}

impl Version {
    /// What its pings say that it understands.
    fn reported(self) -> ControllerVersion {
        match self {
            Version::Production => JOB_LIFECYCLE,
            Version::Current => JOB_CHAINS,
        }
    }
}

/// What a controller of the current version knows of the versions.
pub struct Knowledge {
    pub versions: VersionTable,
    announcer: Announcer<store::Handle>,
    /// The switch to compact records, once it is known to be on record.
    format: Option<FormatRecord>,
}

/// A roll of the controllers, in worlds that have one.
#[derive(Default)]
pub struct Roll {
    /// Versions matter in this world; in others all controllers are current, and write
    /// records in the form that the store says.
    pub active: bool,
}

/// A step of the switch, and what became of it.
pub enum SwitchLeg {
    Step(Step),
    Reply(Reply),
}

/// What a request of the switch takes.
const SWITCH_GIVES_UP_S: f64 = 1.2;

/// The production version reads such a record.
fn production_reads(key: &str, value: &Value) -> bool {
    let part = match key.starts_with(hookworks::store::LIVE) {
        true => &value["first"],
        false => value,
    };
    let tasks = part.get("a").is_none_or(Value::is_array);
    part.is_object() && tasks && part.get("pieces").is_none() && value.get("pieces").is_none()
}

/// The state service as the production version sees it: it knows of no later keys, and
/// can't read later forms.
pub struct ProductionView(pub store::Handle);

impl State for ProductionView {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        let item = self.0.get(key)?;
        Ok(item.filter(|_| key != FORMAT && !key.starts_with(VERSIONS)))
    }

    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let mut page = self.0.page(prefix, after, limit)?;
        if prefix == PIECES {
            page.items.clear();
            page.more = false;
        }
        for item in &mut page.items {
            if !production_reads(&item.key, &item.value) {
                item.value = serde_json::json!({ "cancelled": item.value["cancelled"] });
            }
        }
        Ok(page)
    }

    fn txn(&self, t: &Txn) -> Outcome {
        self.0.txn(t)
    }

    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        self.0.grant(ttl_ms)
    }

    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        self.0.renew(lease)
    }

    fn revoke(&self, lease: u64) {
        self.0.revoke(lease)
    }
}

impl World {
    /// All controllers begin in the production version; nothing has happened yet.
    pub fn begin_in_production(&mut self) {
        self.roll.active = true;
        for ctl in &mut self.ctls {
            ctl.version = Version::Production;
        }
    }

    /// Records are written in the compact form from the beginning.
    pub fn begin_compact(&mut self) {
        let record = FormatRecord {
            records: RecordFormat::Compact,
            since: 0,
        };
        let value = serde_json::to_value(record).unwrap();
        self.store.put(FORMAT, value);
    }

    pub fn all_current(&self) -> bool {
        self.ctls.iter().all(|c| c.version == Version::Current)
    }

    /// The switch to compact records is on record.
    pub fn is_switched(&self) -> bool {
        self.store.peek(FORMAT).is_some()
    }

    /// The process ends, and comes back in the current version after so long.
    pub fn replace(&mut self, in_s: f64, i: usize, back_s: f64) {
        self.at(in_s, Ev::Kill(i));
        self.at(in_s + back_s, Ev::Replace(i));
    }

    pub(super) fn knowledge(&self, i: usize, life: u64) -> Knowledge {
        let others = (0..self.controllers).filter(|j| *j != i).map(label);
        Knowledge {
            versions: VersionTable::new(label(i), others),
            announcer: Announcer::new(self.store.of(i), label(i), Instance(life)),
            format: None,
        }
    }

    /// What this controller takes a question for.
    pub(super) fn as_understood(&self, i: usize, ask: Ask) -> Ask {
        let Ask::Submit(body) = &ask else { return ask };
        if self.ctls[i].version == Version::Current {
            return ask;
        }
        let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
            return ask;
        };
        match fields.remove(NEEDS) {
            Some(_) => Ask::Submit(Value::Object(fields).to_string().into_bytes()),
            None => ask,
        }
    }

    /// A process of the current version tells its version to the state service.
    pub(super) fn announce(&mut self, i: usize, life: u64) {
        let ctl = &mut self.ctls[i];
        if !ctl.up || ctl.life != life || ctl.version != Version::Current {
            return;
        }
        match ctl.knowledge.announcer.step() {
            Some(record) => self.learn_format(i, record),
            None => {
                let pause = ctl.knowledge.announcer.pause().as_secs();
                self.at(pause, Ev::Announce(i, life));
            }
        }
    }

    /// It hears the pings of the others, and as the leader works on the switch.
    pub(super) fn version_tick(&mut self, i: usize) {
        if !self.roll.active || self.ctls[i].version != Version::Current {
            return;
        }
        let now = self.time();
        for j in 0..self.ctls.len() {
            if j == i || !self.in_touch(i, j) || self.ctls[j].frozen_until > self.now {
                continue;
            }
            let reported = ReportedVersion {
                instance: Some(Instance(self.ctls[j].life)),
                version: self.ctls[j].version.reported(),
                at: now,
            };
            let versions = &mut self.ctls[i].knowledge.versions;
            versions.record_ping(&label(j), reported);
        }
        self.work_on_switch(i);
    }

    fn work_on_switch(&mut self, i: usize) {
        let (now, wall) = (self.time(), self.wall());
        let ctl = &mut self.ctls[i];
        let Some(term) = ctl.term.as_mut().filter(|t| t.sched.may_start(now)) else {
            return;
        };
        let versions = &ctl.knowledge.versions;
        if let Some(step) = term.switch.next(now, wall, versions) {
            let epoch = term.epoch;
            let d = self.delay();
            self.at(d, Ev::Switch(i, epoch, SwitchLeg::Step(step)));
        }
    }

    pub(super) fn switch_leg(&mut self, i: usize, epoch: Epoch, leg: SwitchLeg) {
        match leg {
            SwitchLeg::Step(step) => {
                let reply = make(&self.store.of(i), &step);
                let lost = self.chaos.lose_txn_answer.max(self.chaos.lost_answer);
                let lost = lost > 0.0 && self.rng.random_bool(lost);
                let (d, reply) = match (reply, lost) {
                    (Reply::Store(_), true) => (SWITCH_GIVES_UP_S, Reply::Store(Outcome::Unclear)),
                    (reply, _) => (self.delay(), reply),
                };
                self.at(d, Ev::Switch(i, epoch, SwitchLeg::Reply(reply)));
            }
            SwitchLeg::Reply(reply) => self.switch_reply(i, epoch, reply),
        }
    }

    fn switch_reply(&mut self, i: usize, epoch: Epoch, reply: Reply) {
        let now = self.time();
        if !self.leads(i, epoch) {
            return;
        }
        let ctl = &mut self.ctls[i];
        let Some(term) = &mut ctl.term else { return };
        match term.switch.reply(now, reply, &mut ctl.knowledge.versions) {
            Decision::Nothing => {}
            Decision::Compact(record) => self.learn_format(i, record),
            Decision::Deposed => self.steps_down(i),
        }
    }

    /// The switch is on record.
    pub(super) fn learn_format(&mut self, i: usize, record: FormatRecord) {
        let now = self.time();
        let ctl = &mut self.ctls[i];
        ctl.knowledge.format = Some(record);
        ctl.knowledge.versions.record_format(now, JOB_CHAINS);
        if let Some(term) = &mut ctl.term {
            term.sched.set_format(record.records);
            term.commit.set_format(record.records);
        }
    }

    /// While a process of the production version may lead, it reads all records.
    pub(super) fn check_readable(&mut self) {
        if !self.roll.active || self.is_switched() {
            return;
        }
        let unread = |(key, value): &(String, Value)| {
            let of_jobs =
                key.starts_with(hookworks::store::LIVE) || key.starts_with(hookworks::store::PARTS);
            key.starts_with(PIECES) || of_jobs && !production_reads(key, value)
        };
        let unread: Vec<String> = self
            .store
            .all()
            .into_iter()
            .filter(|item| unread(item))
            .map(|(key, _)| format!("unreadable: {key} while the production version may lead"))
            .collect();
        self.broken.extend(unread);
    }

    /// The form in which the leader writes, as far as it knows.
    pub(super) fn format_of_term(&self, i: usize, found: Option<FormatRecord>) -> RecordFormat {
        match self.ctls[i].version {
            Version::Production => RecordFormat::Legacy,
            Version::Current => found.map_or(RecordFormat::Legacy, |f| f.records),
        }
    }
}

fn make(state: &store::Handle, step: &Step) -> Reply {
    match step {
        Step::ReadVersions => {
            let page = state.page(VERSIONS, None, 200);
            Reply::Versions(page.map(|p| p.items).map_err(|_| ()))
        }
        Step::Store(txn) => Reply::Store(state.txn(txn)),
        Step::ReadFormat => Reply::Format(state.get(FORMAT).map_err(|_| ())),
    }
}

/// A process of the current version has just begun: it tells its version so much later.
pub const ANNOUNCES_AFTER: Span = Span(20_000);
