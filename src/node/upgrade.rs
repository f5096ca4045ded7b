//! Controllers of two versions side by side: this one tells its version, knows those
//! of the others, and as the leader makes the switch to compact records.

use super::leadership::LeadershipEnd;
use super::{Msg, Node, Role, spawn};
use crate::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use crate::settings::Settings;
use crate::store::client::StateStore;
use crate::store::{FORMAT_KEY, FormatRecord, RecordFormat, StateClient, VERSIONS_PREFIX};
use crate::time::{Clock, Time, wall_time_now};
use crate::versions::switch::{Decision, Step, StepResult};
use crate::versions::{Announcer, VersionTable, newest_readable_format};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::time::Duration;

/// The thread makes one request at a time; one connection may linger beside it.
pub(super) const SOCKETS: usize = 2;
/// Requests of the leader that may wait; it makes one at a time in a term.
const REQUESTS: usize = 8;
const TIMEOUT: Duration = Duration::from_millis(1200);

/// What comes of the thread.
pub enum UpgradeNews {
    /// The switch to compact records is on record.
    Format(FormatRecord),
    /// What became of a request of the leader of that term.
    Reply(Epoch, StepResult),
}

/// What this controller knows of the versions.
pub(super) struct Upgrade {
    pub(super) versions: VersionTable,
    /// The switch to compact records, once this controller knows it to be on record.
    format: Option<FormatRecord>,
    all_new: bool,
    requests: Sender<(Epoch, Step)>,
}

impl Upgrade {
    /// Starts the thread that talks to the state service.
    pub(super) fn start(
        settings: &Settings,
        clock: Clock,
        instance: Instance,
        inbox: Sender<Msg>,
    ) -> Upgrade {
        let platform = &settings.platform;
        let (requests, rx) = bounded(REQUESTS);
        let state = StateClient::new(platform.services.state, TIMEOUT);
        let announcer = Announcer::new(state, platform.label.clone(), instance);
        spawn("versions", move || {
            serve(announcer, clock, &rx, &inbox);
        });
        let others = platform.seeds.iter().map(|seed| seed.label.clone());
        Upgrade {
            versions: VersionTable::new(platform.label.clone(), others),
            format: None,
            all_new: false,
            requests,
        }
    }

    /// Records are written in a form that this version can't read.
    fn is_too_old(&self, version: ControllerVersion) -> bool {
        self.format
            .is_some_and(|f| newest_readable_format(version) < f.records)
    }

    /// For operators.
    pub(super) fn overview(&self) -> serde_json::Value {
        let known = |(label, version): (&ControllerId, Option<_>)| {
            let view = match version {
                Some((v, source)) => serde_json::json!({ "version": v, "known_by": source }),
                None => serde_json::Value::Null,
            };
            (label.to_string(), view)
        };
        let controllers: serde_json::Map<_, _> = self.versions.all().map(known).collect();
        let too_old = self.versions.all().filter_map(|(label, version)| {
            let (version, _) = version?;
            self.is_too_old(version).then_some(label)
        });
        serde_json::json!({
            "controllers": controllers,
            "all_new": self.versions.all_read(RecordFormat::Compact),
            "records": self.format.map_or(RecordFormat::Legacy, |f| f.records),
            "cannot_read_records": too_old.collect::<Vec<_>>(),
            "compact_since_ms": self.format.map(|f| f.since),
        })
    }
}

/// Tells the version of this process, and makes the leader's requests in between.
fn serve(
    mut announcer: Announcer<StateClient>,
    clock: Clock,
    requests: &Receiver<(Epoch, Step)>,
    inbox: &Sender<Msg>,
) {
    let mut due = Some(clock.now());
    loop {
        let request = match due {
            Some(at) => requests.recv_timeout((at - clock.now()).std()),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        let news = match request {
            Ok((epoch, step)) => UpgradeNews::Reply(epoch, make(announcer.state(), &step)),
            Err(RecvTimeoutError::Timeout) => {
                let found = announcer.step();
                due = match found {
                    Some(_) => None,
                    None => Some(clock.now() + announcer.pause()),
                };
                let Some(format) = found else { continue };
                UpgradeNews::Format(format)
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if inbox.send(Msg::Upgrade(news)).is_err() {
            return;
        }
    }
}

fn make(state: &impl StateStore, step: &Step) -> StepResult {
    match step {
        Step::ReadVersions => {
            let page = state.page(VERSIONS_PREFIX, None, 200);
            StepResult::Versions(page.map(|p| p.items).map_err(|_| ()))
        }
        Step::Store(txn) => StepResult::Store(state.txn(txn)),
        Step::ReadFormat => StepResult::Format(state.get(FORMAT_KEY).map_err(|_| ())),
    }
}

impl Node {
    /// Takes the versions that pings have told.
    pub(super) fn note_versions(&mut self) {
        for (label, reported) in self.peers.versions() {
            if let Some(version) = self.upgrade.versions.record_ping(&label, reported) {
                tracing::info!(%label, %version, source = "ping", "version of a controller");
                if self.upgrade.is_too_old(version) {
                    tracing::warn!(%label, %version, "a controller can't read the records");
                }
            }
        }
        let all_new = self.upgrade.versions.all_read(RecordFormat::Compact);
        if all_new && !self.upgrade.all_new {
            tracing::info!("all controllers run a version that reads compact records");
        }
        self.upgrade.all_new = all_new;
    }

    /// Whether that controller is known to understand what needs this version.
    pub(super) fn understands(&mut self, label: &ControllerId, needs: ControllerVersion) -> bool {
        if !self.upgrade.versions.understands(label, needs) {
            self.note_versions();
        }
        self.upgrade.versions.understands(label, needs)
    }

    /// As the leader: makes the switch once all controllers read compact records.
    pub(super) fn switch_format(&mut self, now: Time) {
        self.note_versions();
        let Role::Leader(term) = &mut self.role else {
            return;
        };
        if !term.sched.may_start(now) {
            return;
        }
        let step = term
            .switch
            .next_step(now, wall_time_now(), &self.upgrade.versions);
        if let Some(step) = step
            && self.upgrade.requests.try_send((term.epoch, step)).is_err()
        {
            // It was not sent; what is stored is read before the next one.
            let failed = StepResult::Format(Err(()));
            term.switch
                .handle_result(now, failed, &mut self.upgrade.versions);
        }
    }

    pub(super) fn upgrade_news(&mut self, now: Time, news: UpgradeNews) {
        match news {
            UpgradeNews::Format(record) => self.learn_format(now, record),
            UpgradeNews::Reply(epoch, reply) => self.switch_reply(now, epoch, reply),
        }
    }

    fn switch_reply(&mut self, now: Time, epoch: Epoch, reply: StepResult) {
        let Role::Leader(term) = &mut self.role else {
            return;
        };
        if term.epoch != epoch {
            return;
        }
        match term
            .switch
            .handle_result(now, reply, &mut self.upgrade.versions)
        {
            Decision::Nothing => {}
            Decision::Compact(record) => {
                tracing::info!(%epoch, "the switch to compact records is on record");
                self.learn_format(now, record);
            }
            Decision::Deposed => {
                tracing::warn!(%epoch, "the leader's key is no longer ours");
                self.step_down(now, LeadershipEnd::KeyLost);
            }
        }
    }

    /// The switch is on record: this holds for every term from now on.
    pub(super) fn learn_format(&mut self, now: Time, record: FormatRecord) {
        if self.upgrade.format.is_none() {
            let since_ms = record.since;
            tracing::info!(since_ms, "records are written in the compact form");
        }
        self.upgrade.format = Some(record);
        let version = crate::versions::JOB_CHAINS;
        self.upgrade.versions.record_format(now, version);
        if let Role::Leader(term) = &mut self.role {
            term.sched.set_format(record.records);
            term.commit.set_format(record.records);
        }
    }
}
