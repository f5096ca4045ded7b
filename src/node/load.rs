//! Taking over: everything unfinished is read from the store.

use super::{Msg, spawn};
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

/// The loader's own.
pub(super) const SOCKETS: usize = 2;

pub struct Loaded {
    pub epoch: Epoch,
    pub stamp: Revision,
    pub jobs: Vec<Job>,
    pub stamps: Vec<(String, Revision)>,
    pub litter: Vec<(String, Revision)>,
    pub unreadable: BTreeMap<JobId, JobState>,
    /// Zones that earlier terms did not answer.
    pub fences: Option<FenceRecord>,
    /// The switch to compact records, once it is on record.
    pub format: Option<FormatRecord>,
}

impl Loaded {
    /// The form in which records are written.
    pub fn record_format(&self) -> RecordFormat {
        self.format.map_or(RecordFormat::Legacy, |f| f.records)
    }
}

/// Reads in a thread of its own, so that the leadership is kept up meanwhile.
pub fn start(settings: &Settings, clock: Clock, inbox: Sender<Msg>, epoch: Epoch, stamp: Revision) {
    let addr = settings.platform.services.state;
    spawn("load", move || {
        let state = StateClient::new(addr, Duration::from_secs(4));
        // The leadership may be lost meanwhile; what is read then is dropped.
        let began = clock.now();
        for attempt in 0u64.. {
            let sent = clock.now();
            let loaded = load(&state, epoch, stamp, sent, wall_time_now());
            let (now, attempts) = (clock.now(), attempt + 1);
            let ms = (now - sent).0 / 1000;
            match loaded {
                Ok(l) => {
                    let total_ms = (now - began).0 / 1000;
                    tracing::info!(%epoch, attempts, ms, total_ms, records = l.stamps.len(), "records loaded");
                    let _ = inbox.send(Msg::Loaded(Box::new(l)));
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

fn all(state: &impl StateStore, prefix: &str) -> Result<Vec<Item>, ReadError> {
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

pub fn load(
    state: &impl StateStore,
    epoch: Epoch,
    stamp: Revision,
    now: Time,
    wall: WallTime,
) -> Result<Loaded, ReadError> {
    let mut jobs = BTreeMap::new();
    let mut l = Loaded {
        epoch,
        stamp,
        jobs: vec![],
        stamps: vec![],
        litter: vec![],
        unreadable: BTreeMap::new(),
        fences: None,
        format: None,
    };
    let pieces = Pieces::new(all(state, PIECES_PREFIX)?);
    for i in all(state, UNFINISHED_PREFIX)? {
        let id = JobId::from(i.key.trim_start_matches(UNFINISHED_PREFIX));
        let whole = pieces.join(&id, 0, &i);
        match whole.and_then(|v| Job::decode(&v, now, wall)) {
            Some(j) if *j.id() == id => {
                l.stamps.push((i.key, i.revision));
                jobs.insert(id, j);
            }
            _ => {
                tracing::error!(key = %i.key, "a record can't be read and is left alone");
                l.unreadable.insert(id, Job::state_of_unreadable(&i.value));
            }
        }
    }
    for i in all(state, PARTS_PREFIX)? {
        let name = i.key.trim_start_matches(PARTS_PREFIX);
        let Some((id, part)) = name.rsplit_once('/') else {
            continue;
        };
        let id = JobId::from(id);
        if l.unreadable.contains_key(&id) {
            continue;
        }
        let Some(j) = jobs.get_mut(&id) else {
            l.litter.push((i.key, i.revision));
            continue;
        };
        let part = part.parse().ok();
        let whole = part.and_then(|p| Some((p, pieces.join(&id, p, &i)?)));
        let read = whole.and_then(|(p, v)| j.decode_part(p, &v, now, wall));
        if read.is_none() {
            tracing::error!(key = %i.key, "a record can't be read; its tasks start anew later");
            j.damaged = true;
        }
        l.stamps.push((i.key, i.revision));
    }
    let (stamps, litter) = pieces.partition(|id| jobs.contains_key(id), &l.unreadable);
    l.stamps.extend(stamps);
    l.litter.extend(litter);
    if let Some(i) = state.get(FENCES_KEY)? {
        l.fences = serde_json::from_value(i.value).ok();
        l.stamps.push((i.key, i.revision));
    }
    l.format = state.get(FORMAT_KEY)?.map(|i| FormatRecord::read(&i.value));
    for (_, mut j) in jobs {
        // What is loaded is stored: versions go on from 1.
        for p in &mut j.parts {
            p.ver = 1;
            p.stored = 1;
        }
        l.jobs.push(j);
    }
    Ok(l)
}
