//! Taking over: everything unfinished is read from the store.

use super::{Message, spawn};
use crate::ids::{Epoch, JobId, Stamp};
use crate::sched::FenceRecord;
use crate::sched::job::Job;
use crate::settings::Settings;
use crate::store::client::{ReadError, State};
use crate::store::pieces::Pieces;
use crate::store::{FENCES, FORMAT, FormatRecord, LIVE, PARTS, PIECES, RecordFormat, StateClient};
use crate::time::{Clock, Time, Wall, wall};
use crate::wire::state::Item;
use crate::wire::user::JobState;
use crossbeam_channel::Sender;
use std::collections::BTreeMap;
use std::time::Duration;

/// The loader's own.
pub(super) const SOCKETS: usize = 2;

pub struct LoadedState {
    pub epoch: Epoch,
    pub leader_revision: Stamp,
    pub jobs: Vec<Job>,
    pub revisions: Vec<(String, Stamp)>,
    pub garbage: Vec<(String, Stamp)>,
    pub unreadable: BTreeMap<JobId, JobState>,
    /// Zones that earlier terms did not answer.
    pub fences: Option<FenceRecord>,
    /// The switch to compact records, once it is on record.
    pub format: Option<FormatRecord>,
}

impl LoadedState {
    /// The form in which records are written.
    pub fn record_format(&self) -> RecordFormat {
        self.format.map_or(RecordFormat::Legacy, |f| f.records)
    }
}

/// Reads in a thread of its own, so that the leadership is kept up meanwhile.
pub fn start(
    settings: &Settings,
    clock: Clock,
    inbox: Sender<Message>,
    epoch: Epoch,
    stamp: Stamp,
) {
    let addr = settings.platform.services.state;
    spawn("load", move || {
        let state = StateClient::new(addr, Duration::from_secs(4));
        // The leadership may be lost meanwhile; what is read then is dropped.
        let began = clock.now();
        for attempt in 0u64.. {
            let sent = clock.now();
            let loaded = load_state(&state, epoch, stamp, sent, wall());
            let (now, attempts) = (clock.now(), attempt + 1);
            let ms = (now - sent).0 / 1000;
            match loaded {
                Ok(l) => {
                    let total_ms = (now - began).0 / 1000;
                    tracing::info!(%epoch, attempts, ms, total_ms, records = l.revisions.len(), "records loaded");
                    let _ = inbox.send(Message::Loaded(Box::new(l)));
                    return;
                }
                Err(_) => {
                    tracing::info!(%epoch, attempts, ms, "records could not be loaded");
                    std::thread::sleep(Duration::from_millis(100 * attempts.min(10)));
                }
            }
        }
    });
}

fn all(state: &impl State, prefix: &str) -> Result<Vec<Item>, ReadError> {
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

pub fn load_state(
    state: &impl State,
    epoch: Epoch,
    stamp: Stamp,
    now: Time,
    wall: Wall,
) -> Result<LoadedState, ReadError> {
    let mut jobs = BTreeMap::new();
    let mut l = LoadedState {
        epoch,
        leader_revision: stamp,
        jobs: vec![],
        revisions: vec![],
        garbage: vec![],
        unreadable: BTreeMap::new(),
        fences: None,
        format: None,
    };
    let pieces = Pieces::new(all(state, PIECES)?);
    for i in all(state, LIVE)? {
        let id = JobId::from(i.key.trim_start_matches(LIVE));
        let whole = pieces.join(&id, 0, &i);
        match whole.and_then(|v| Job::decode(&v, now, wall)) {
            Some(j) if *j.id() == id => {
                l.revisions.push((i.key, i.stamp));
                jobs.insert(id, j);
            }
            _ => {
                tracing::error!(key = %i.key, "a record can't be read and is left alone");
                l.unreadable.insert(id, Job::state_of_unreadable(&i.value));
            }
        }
    }
    for i in all(state, PARTS)? {
        let name = i.key.trim_start_matches(PARTS);
        let Some((id, part)) = name.rsplit_once('/') else {
            continue;
        };
        let id = JobId::from(id);
        if l.unreadable.contains_key(&id) {
            continue;
        }
        let Some(j) = jobs.get_mut(&id) else {
            l.garbage.push((i.key, i.stamp));
            continue;
        };
        let part = part.parse().ok();
        let whole = part.and_then(|p| Some((p, pieces.join(&id, p, &i)?)));
        let read = whole.and_then(|(p, v)| j.decode_part(p, &v, now, wall));
        if read.is_none() {
            tracing::error!(key = %i.key, "a record can't be read; its tasks start anew later");
            j.damaged = true;
        }
        l.revisions.push((i.key, i.stamp));
    }
    let (stamps, litter) = pieces.sort(|id| jobs.contains_key(id), &l.unreadable);
    l.revisions.extend(stamps);
    l.garbage.extend(litter);
    if let Some(i) = state.get(FENCES)? {
        l.fences = serde_json::from_value(i.value).ok();
        l.revisions.push((i.key, i.stamp));
    }
    l.format = state.get(FORMAT)?.map(|i| FormatRecord::read(&i.value));
    for (_, mut j) in jobs {
        // What is loaded is stored: versions go on from 1.
        for p in &mut j.parts {
            p.version = 1;
            p.stored_version = 1;
        }
        l.jobs.push(j);
    }
    Ok(l)
}
