//! Rolling upgrades: this controller announces its version, tracks those of the others,
//! and as the leader makes the switch to compact records once all can read them.

use super::leadership::LeadershipEnd;
use super::{Message, Node, Role, spawn};
use crate::ids::{ControllerId, ControllerVersion, Epoch, Instance};
use crate::settings::Settings;
use crate::store::client::StateStore;
use crate::store::{FORMAT_KEY, FormatRecord, RecordFormat, StateClient, VERSIONS_PREFIX};
use crate::time::{Clock, Time, wall_time_now};
use crate::versions::switch::{Decision, Step, StepResult};
use crate::versions::{Announcer, VersionTable, newest_readable_format};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::time::Duration;

/// The most sockets that the thread uses: one request at a time, beside one connection
/// that may still be closing.
pub(super) const SOCKETS: usize = 2;
/// Length of the queue of the leader's requests; it makes one at a time in an epoch.
const REQUEST_QUEUE: usize = 8;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1200);

/// What the thread reports to the main loop.
pub enum UpgradeEvent {
    /// The switch to compact records is stored.
    Format(FormatRecord),
    /// The result of a request that the leader of that epoch made.
    Reply(Epoch, StepResult),
}

/// The versions of the controllers and the record format, as far as known here.
pub(super) struct Upgrade {
    pub(super) versions: VersionTable,
    /// The switch to compact records, once this controller knows that it is stored.
    format: Option<FormatRecord>,
    all_read_compact: bool,
    requests: Sender<(Epoch, Step)>,
}

impl Upgrade {
    /// Starts the thread that talks to the state service.
    pub(super) fn start(
        settings: &Settings,
        clock: Clock,
        instance: Instance,
        inbox: Sender<Message>,
    ) -> Upgrade {
        let platform = &settings.platform;
        let (requests, receiver) = bounded(REQUEST_QUEUE);
        let state = StateClient::new(platform.services.state, REQUEST_TIMEOUT);
        let announcer = Announcer::new(state, platform.label.clone(), instance);
        spawn("versions", move || {
            serve(announcer, clock, &receiver, &inbox);
        });
        let others = platform.seeds.iter().map(|seed| seed.label.clone());
        Upgrade {
            versions: VersionTable::new(platform.label.clone(), others),
            format: None,
            all_read_compact: false,
            requests,
        }
    }

    /// Whether records are written in a format that this version can't read.
    fn is_too_old(&self, version: ControllerVersion) -> bool {
        self.format
            .is_some_and(|f| newest_readable_format(version) < f.records)
    }

    /// The versions for the overview, as JSON.
    pub(super) fn overview(&self) -> serde_json::Value {
        let entry = |(label, version): (&ControllerId, Option<_>)| {
            let view = match version {
                Some((v, source)) => serde_json::json!({ "version": v, "known_by": source }),
                None => serde_json::Value::Null,
            };
            (label.to_string(), view)
        };
        let controllers: serde_json::Map<_, _> = self.versions.all().map(entry).collect();
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

/// Announces the version of this process, and executes the leader's requests in between.
fn serve(
    mut announcer: Announcer<StateClient>,
    clock: Clock,
    requests: &Receiver<(Epoch, Step)>,
    inbox: &Sender<Message>,
) {
    let mut announce_at = Some(clock.now());
    loop {
        let request = match announce_at {
            Some(at) => requests.recv_timeout((at - clock.now()).std()),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        let event = match request {
            Ok((epoch, step)) => UpgradeEvent::Reply(epoch, execute(announcer.state(), &step)),
            Err(RecvTimeoutError::Timeout) => {
                let found = announcer.step();
                announce_at = match found {
                    Some(_) => None,
                    None => Some(clock.now() + announcer.pause()),
                };
                let Some(format) = found else { continue };
                UpgradeEvent::Format(format)
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if inbox.send(Message::Upgrade(event)).is_err() {
            return;
        }
    }
}

fn execute(state: &impl StateStore, step: &Step) -> StepResult {
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
    /// Records the versions that pings have reported.
    pub(super) fn note_versions(&mut self) {
        for (label, reported) in self.peers.versions() {
            if let Some(version) = self.upgrade.versions.record_ping(&label, reported) {
                tracing::info!(%label, %version, source = "ping", "controller version changed");
                if self.upgrade.is_too_old(version) {
                    tracing::warn!(%label, %version, "controller version too old to read the stored records");
                }
            }
        }
        let all_read_compact = self.upgrade.versions.all_read(RecordFormat::Compact);
        if all_read_compact && !self.upgrade.all_read_compact {
            tracing::info!("all controllers support compact records");
        }
        self.upgrade.all_read_compact = all_read_compact;
    }

    /// Whether that controller is known to run at least this version.
    pub(super) fn understands(&mut self, label: &ControllerId, needs: ControllerVersion) -> bool {
        if !self.upgrade.versions.understands(label, needs) {
            self.note_versions();
        }
        self.upgrade.versions.understands(label, needs)
    }

    /// As the leader: takes the next step of the switch, which is made once all controllers
    /// support compact records.
    pub(super) fn advance_format_switch(&mut self, now: Time) {
        self.note_versions();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if !leadership.scheduler.may_start(now) {
            return;
        }
        let step = leadership
            .switch
            .next_step(now, wall_time_now(), &self.upgrade.versions);
        if let Some(step) = step
            && self
                .upgrade
                .requests
                .try_send((leadership.epoch, step))
                .is_err()
        {
            // The request was not sent; the stored format is read before the next one.
            let failed = StepResult::Format(Err(()));
            leadership
                .switch
                .handle_result(now, failed, &mut self.upgrade.versions);
        }
    }

    pub(super) fn handle_upgrade_event(&mut self, now: Time, event: UpgradeEvent) {
        match event {
            UpgradeEvent::Format(record) => self.set_record_format(now, record),
            UpgradeEvent::Reply(epoch, reply) => self.switch_reply(now, epoch, reply),
        }
    }

    fn switch_reply(&mut self, now: Time, epoch: Epoch, reply: StepResult) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.epoch != epoch {
            return;
        }
        match leadership
            .switch
            .handle_result(now, reply, &mut self.upgrade.versions)
        {
            Decision::Nothing => {}
            Decision::Compact(record) => {
                tracing::info!(%epoch, "switch to compact records committed");
                self.set_record_format(now, record);
            }
            Decision::Deposed => {
                tracing::warn!(%epoch, "leadership lost: the leader's key was changed by another controller");
                self.step_down(now, LeadershipEnd::KeyLost);
            }
        }
    }

    /// Records that the switch is stored; it holds for every epoch from now on.
    pub(super) fn set_record_format(&mut self, now: Time, record: FormatRecord) {
        if self.upgrade.format.is_none() {
            let since_ms = record.since;
            tracing::info!(since_ms, "writing records in the compact format");
        }
        self.upgrade.format = Some(record);
        let version = crate::versions::JOB_CHAINS;
        self.upgrade.versions.record_format(now, version);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.scheduler.set_format(record.records);
            leadership.commit.set_format(record.records);
        }
    }
}
