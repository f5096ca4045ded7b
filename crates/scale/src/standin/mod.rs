//! The stand-ins: hollow workers, the cloud, the state service and users. Each
//! speaks the real protocol over real sockets and keeps the common record.

pub mod cloud;
mod commands;
mod reports;
pub mod state;
pub mod users;
pub mod workers;

use crate::counters::Counters;
use crate::interference::Interference;
use crate::judge::Judge;
use crate::layout::Layout;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// No zone is cut off.
const NO_ZONE: usize = usize::MAX;

/// What all stand-ins of a run share.
pub struct Shared {
    pub layout: Layout,
    pub counters: Arc<Counters>,
    pub stop: Arc<AtomicBool>,
    pub interference: Arc<Interference>,
    judge: Mutex<Judge>,
    cut_zone: AtomicUsize,
    leader: AtomicUsize,
}

impl Shared {
    pub fn new(layout: Layout, judge: Judge, stop: Arc<AtomicBool>) -> Shared {
        Shared {
            counters: Arc::new(Counters::new(layout.controllers)),
            layout,
            stop,
            interference: Arc::default(),
            judge: Mutex::new(judge),
            cut_zone: AtomicUsize::new(NO_ZONE),
            leader: AtomicUsize::new(0),
        }
    }

    pub fn judge(&self) -> MutexGuard<'_, Judge> {
        self.judge.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// The controller that led when it was last looked at.
    pub fn leader(&self) -> usize {
        self.leader.load(Ordering::Relaxed)
    }

    pub fn set_leader(&self, controller: usize) {
        self.leader.store(controller, Ordering::Relaxed);
    }

    /// Cuts the workers of a zone off, or none.
    pub fn cut(&self, zone: Option<usize>) {
        self.cut_zone
            .store(zone.unwrap_or(NO_ZONE), Ordering::Relaxed);
    }

    pub fn is_cut(&self, zone: usize) -> bool {
        self.cut_zone.load(Ordering::Relaxed) == zone
    }
}
