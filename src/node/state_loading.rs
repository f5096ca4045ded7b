//! Loads the stored state of all unfinished jobs for a new leader.

use super::{Message, spawn};
use crate::ids::{Epoch, JobId, Revision};
use crate::sched::FenceRecord;
use crate::sched::job::Job;
use crate::settings::Settings;
use crate::store::client::{ReadError, StateStore};
use crate::store::pieces::Pieces;
use crate::store::{
    FENCES_KEY, FORMAT_KEY, FormatRecord, PARTS_PREFIX, PIECES_PREFIX, RecordFormat, StateClient,
    UNFINISHED_PREFIX,
};
use crate::time::{Clock, Time, WallTime, wall_time_now};
use crate::wire::state::Item;
use crate::wire::user::JobState;
use crossbeam_channel::Sender;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most sockets that loading uses.
pub(super) const SOCKETS: usize = 2;

/// The stored state as a new leader finds it.
pub struct LoadedState {
    /// The epoch of the new leadership.
    pub epoch: Epoch,
    /// The revision of the leader's key.
    pub leader_revision: Revision,
    /// All unfinished jobs that could be read.
    pub jobs: Vec<Job>,
    /// The keys of records in use, with their revisions.
    pub revisions: Vec<(String, Revision)>,
    /// Keys of records that belong to no unfinished job, to be deleted.
    pub garbage: Vec<(String, Revision)>,
    /// Jobs whose records can't be read; they are left as they are.
    pub unreadable: BTreeMap<JobId, JobState>,
    /// Fenced zones, as recorded by earlier leaders.
    pub fences: Option<FenceRecord>,
    /// The switch to compact records, once it is stored.
    pub format: Option<FormatRecord>,
}

impl LoadedState {
    /// The format in which records are written.
    pub fn record_format(&self) -> RecordFormat {
        self.format
            .map_or(RecordFormat::Legacy, |format| format.records)
    }
}

/// Loads the state in a thread of its own, so that the lease is renewed meanwhile.
pub fn start(
    settings: &Settings,
    clock: Clock,
    inbox: Sender<Message>,
    epoch: Epoch,
    stamp: Revision,
) {
    let addr = settings.platform.services.state;
    spawn("load", move || {
        let state = StateClient::new(addr, Duration::from_secs(4));
        // If the leadership is lost meanwhile, the main loop drops the result.
        let started_at = clock.now();
        for attempt in 0u64.. {
            let attempt_started_at = clock.now();
            let loaded = load_state(&state, epoch, stamp, attempt_started_at, wall_time_now());
            let (now, attempts) = (clock.now(), attempt + 1);
            let ms = (now - attempt_started_at).0 / 1000;
            match loaded {
                Ok(state) => {
                    let total_ms = (now - started_at).0 / 1000;
                    tracing::info!(%epoch, attempts, ms, total_ms, records = state.revisions.len(), "records loaded");
                    let _ = inbox.send(Message::Loaded(Box::new(state)));
                    return;
                }
                Err(_) => {
                    tracing::info!(%epoch, attempts, ms, "loading records failed; retrying");
                    std::thread::sleep(Duration::from_millis(100 * attempts.min(10)));
                }
            }
        }
    });
}

/// Reads all keys with that prefix, page by page.
fn read_all(state: &impl StateStore, prefix: &str) -> Result<Vec<Item>, ReadError> {
    let mut items: Vec<Item> = vec![];
    loop {
        let after = items.last().map(|i| i.key.clone());
        let page = state.page(prefix, after.as_deref(), 200)?;
        let empty = page.items.is_empty();
        items.extend(page.items);
        if !page.more || empty {
            return Ok(items);
        }
    }
}

/// Reads all unfinished jobs with their revisions, the fences and the record format.
///
/// # Errors
///
/// When a read of the state service fails.
pub fn load_state(
    state: &impl StateStore,
    epoch: Epoch,
    stamp: Revision,
    now: Time,
    wall: WallTime,
) -> Result<LoadedState, ReadError> {
    let mut jobs = BTreeMap::new();
    let mut loaded = LoadedState {
        epoch,
        leader_revision: stamp,
        jobs: vec![],
        revisions: vec![],
        garbage: vec![],
        unreadable: BTreeMap::new(),
        fences: None,
        format: None,
    };
    let pieces = Pieces::new(read_all(state, PIECES_PREFIX)?);
    for item in read_all(state, UNFINISHED_PREFIX)? {
        let id = JobId::from(item.key.trim_start_matches(UNFINISHED_PREFIX));
        let record = pieces.join(&id, 0, &item);
        match record.and_then(|value| Job::decode(&value, now, wall)) {
            Some(job) if *job.id() == id => {
                loaded.revisions.push((item.key, item.revision));
                jobs.insert(id, job);
            }
            _ => {
                tracing::error!(key = %item.key, "job record unreadable; leaving the job untouched");
                loaded
                    .unreadable
                    .insert(id, Job::state_of_unreadable(&item.value));
            }
        }
    }
    for item in read_all(state, PARTS_PREFIX)? {
        let name = item.key.trim_start_matches(PARTS_PREFIX);
        let Some((id, part)) = name.rsplit_once('/') else {
            continue;
        };
        let id = JobId::from(id);
        if loaded.unreadable.contains_key(&id) {
            continue;
        }
        let Some(job) = jobs.get_mut(&id) else {
            loaded.garbage.push((item.key, item.revision));
            continue;
        };
        let part = part.parse().ok();
        let record = part.and_then(|p| Some((p, pieces.join(&id, p, &item)?)));
        let read = record.and_then(|(p, value)| job.decode_part(p, &value, now, wall));
        if read.is_none() {
            tracing::error!(key = %item.key, "task record unreadable; its tasks will be restarted");
            job.damaged = true;
        }
        loaded.revisions.push((item.key, item.revision));
    }
    let (stamps, litter) = pieces.partition(|id| jobs.contains_key(id), &loaded.unreadable);
    loaded.revisions.extend(stamps);
    loaded.garbage.extend(litter);
    if let Some(item) = state.get(FENCES_KEY)? {
        loaded.fences = serde_json::from_value(item.value).ok();
        loaded.revisions.push((item.key, item.revision));
    }
    loaded.format = state
        .get(FORMAT_KEY)?
        .map(|item| FormatRecord::read(&item.value));
    loaded.jobs.extend(jobs.into_values());
    Ok(loaded)
}
