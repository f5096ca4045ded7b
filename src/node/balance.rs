//! Spreads the workers over the controllers. Any controller accepts heartbeats and
//! forwards them to the leader, so that none needs a connection to every worker and a
//! failover moves no worker. A controller with too many workers redirects some of them
//! to another one; none is assigned more workers than its limit.

use super::{Node, Role};
use crate::api::RedirectTarget;
use crate::ids::{ControllerId, Host};
use crate::peer::PeerLoad;
use crate::time::{Span, Time};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;

/// A worker without a heartbeat for longer is taken to report to another controller.
const REPORTING_TIMEOUT: Span = Span(8_000_000);
/// A redirected worker that returns within this time stays: it may not reach the other
/// controller.
const REDIRECT_HOLDOFF: Span = Span(30_000_000);
/// The most workers that are redirected between two ticks.
pub const MAX_REDIRECTS_PER_TICK: u32 = 8;
/// Weight of a worker at the leader, which has much other work to do.
const LEADER_WEIGHT: f64 = 8.0;
/// A controller starts to redirect workers above this multiple of its share
const SHARE_TOLERANCE: f64 = 1.2;
/// plus this number of workers.
const EXCESS_TOLERANCE: f64 = 8.0;

/// How many workers a controller can be assigned.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// Weight of one worker at this controller.
    pub weight: f64,
    /// The most workers that it can hold; earlier versions don't report it.
    pub max_workers: Option<u32>,
}

/// The load of another controller, as of its last ping.
#[derive(Clone, Debug)]
pub struct ControllerLoad {
    /// Which controller.
    pub label: ControllerId,
    /// How many workers report to it.
    pub workers: u32,
    /// How many it can be assigned.
    pub capacity: Capacity,
}

/// Splits `workers` among controllers by weight, without exceeding the limit of any.
/// Returns the share of each, in their order.
pub fn shares(workers: f64, capacities: &[Capacity]) -> Vec<f64> {
    let mut shares = vec![0.0; capacities.len()];
    let mut open: Vec<usize> = (0..capacities.len()).collect();
    let mut left = workers;
    loop {
        let sum: f64 = open.iter().map(|i| 1.0 / capacities[*i].weight).sum();
        let fair = |i: usize| left / capacities[i].weight / sum;
        let full = |i: &usize| {
            let max_workers = capacities[*i].max_workers;
            max_workers.is_some_and(|max| fair(*i) > max as f64)
        };
        let Some(position) = open.iter().position(full) else {
            for i in &open {
                shares[*i] = fair(*i);
            }
            return shares;
        };
        let i = open.swap_remove(position);
        shares[i] = capacities[i].max_workers.unwrap_or(0) as f64;
        left = (left - shares[i]).max(0.0);
    }
}

/// The sender of a heartbeat; the other fields are not needed here.
#[derive(Deserialize)]
struct ReportSender {
    #[serde(rename = "Host")]
    host: Host,
}

/// The workers that report to this controller, compared with the loads of the others.
#[derive(Default)]
pub struct WorkerBalance {
    last_reports: HashMap<Host, Time>,
    redirected: HashMap<Host, Time>,
    redirects_left: u32,
    own: Capacity,
    others: Vec<ControllerLoad>,
}

impl WorkerBalance {
    /// Records the loads of the controllers, and drops workers that no longer report here.
    /// Returns how many do.
    pub fn tick(&mut self, now: Time, own: Capacity, others: Vec<ControllerLoad>) -> u32 {
        self.own = own;
        self.others = others;
        self.redirects_left = MAX_REDIRECTS_PER_TICK;
        self.last_reports
            .retain(|_, at| now - *at < REPORTING_TIMEOUT);
        self.redirected.retain(|_, at| now - *at < REDIRECT_HOLDOFF);
        self.last_reports.len() as u32
    }

    /// How many workers report here.
    pub fn reporting(&self) -> usize {
        self.last_reports.len()
    }

    /// Notes that the sender of a heartbeat is redirected to a leader that this controller
    /// can't reach. False if it was redirected recently and has returned, or if the
    /// heartbeat can't be parsed.
    pub fn note_redirect(&mut self, now: Time, report: &[u8]) -> bool {
        let Ok(ReportSender { host }) = serde_json::from_slice(report) else {
            return false;
        };
        let came_back = self
            .redirected
            .get(&host)
            .is_some_and(|at| now - *at < REDIRECT_HOLDOFF);
        if !came_back {
            self.redirected.insert(host, now);
        }
        !came_back
    }

    /// Records a heartbeat; returns the controller that its worker is redirected to, if any.
    pub fn redirect_target(&mut self, now: Time, host: &Host) -> Option<ControllerId> {
        self.last_reports.insert(host.clone(), now);
        let shares = shares(self.workers_of_all(), &self.capacities());
        let tolerated = shares[0] * SHARE_TOLERANCE + EXCESS_TOLERANCE;
        if self.redirects_left == 0 || self.last_reports.len() as f64 <= tolerated {
            return None;
        }
        let target = self.least_loaded(&shares[1..])?;
        if self.redirected.contains_key(host) {
            return None;
        }
        self.redirects_left -= 1;
        self.last_reports.remove(host);
        self.redirected.insert(host.clone(), now);
        Some(target)
    }

    fn workers_of_all(&self) -> f64 {
        let elsewhere: f64 = self.others.iter().map(|o| o.workers as f64).sum();
        self.last_reports.len() as f64 + elsewhere
    }

    /// The capacity of this controller first, then those of the others.
    fn capacities(&self) -> Vec<Capacity> {
        let others = self.others.iter().map(|o| o.capacity);
        std::iter::once(self.own).chain(others).collect()
    }

    /// The other controller with the largest free fraction of its share, if any is free.
    fn least_loaded(&self, shares: &[f64]) -> Option<ControllerId> {
        let loads = self.others.iter().zip(shares);
        let free = loads.map(|(o, share)| (o, 1.0 - o.workers as f64 / share.max(1.0)));
        let (other, free) = free.max_by(|a, b| a.1.total_cmp(&b.1))?;
        (free > 0.0).then(|| other.label.clone())
    }
}

/// The controller that can take the most additional workers, if any can.
pub fn most_free_controller(loads: &[PeerLoad]) -> Option<RedirectTarget> {
    let free = |load: &PeerLoad| {
        load.max_workers
            .map_or(0, |max| max.saturating_sub(load.workers))
    };
    let best = loads.iter().max_by_key(|load| free(load))?;
    let free = free(best);
    (free > 0).then(|| RedirectTarget::new(best.label.clone(), free as usize))
}

impl Node {
    /// The controller that the sender of this heartbeat should report to instead, if any.
    pub(super) fn redirect_target(&mut self, now: Time, report: &[u8]) -> Option<ControllerId> {
        if matches!(self.role, Role::Loading(_)) {
            return None;
        }
        let sender: ReportSender = serde_json::from_slice(report).ok()?;
        self.worker_balance.redirect_target(now, &sender.host)
    }

    /// Compares the loads of the controllers, and announces this one's to the others.
    pub(super) fn balance_workers(&mut self, now: Time) {
        let own_label = self.settings.platform.label.clone();
        let leader = match &self.role {
            Role::Leader(_) => Some(own_label.clone()),
            _ => self.peers.best_leader().map(|(label, _)| label),
        };
        let capacity = |label: &ControllerId, max_workers| {
            let leads = leader.as_ref() == Some(label);
            Capacity {
                weight: if leads { LEADER_WEIGHT } else { 1.0 },
                max_workers,
            }
        };
        let loads = self.peers.worker_loads();
        let target = most_free_controller(&loads).map(Arc::new);
        self.shared.redirect_target.store(target);
        let others = loads.into_iter().map(|load| ControllerLoad {
            capacity: capacity(&load.label, load.max_workers),
            label: load.label,
            workers: load.workers,
        });
        let own = capacity(&own_label, Some(self.peers.max_workers()));
        let reporting = self.worker_balance.tick(now, own, others.collect());
        self.peers.set_worker_count(reporting);
    }
}
