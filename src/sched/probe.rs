//! Catching up after a take-over: machines are asked for their reports, and how
//! far it is goes to the log.
//!
//! Nothing is placed on a machine before its report, and by themselves all would
//! have reported within one period only. So each listed machine that runs is sent
//! a command for no session of its, which changes nothing and brings its report.
//! All of them at once took every thread for direct calls: urgent starts queued
//! behind them, and what had waited for a second was dropped and its machine not
//! called for four more. Now a few are under way at a time, those with the most
//! room first, and whoever reports by itself meanwhile is not asked.

use super::job::Phase;
use super::machine::{Life, Machine};
use super::{Effect, Sched};
use crate::ids::{CallId, Host, Session, Token};
use crate::time::{Span, Time};
use crate::wire::worker::Orders;
use std::collections::{HashSet, VecDeque};

/// Calls for reports that are under way at a time. There are eight threads for
/// direct calls; the rest is for what users wait for.
const AT_ONCE: usize = 6;
/// How far it is goes to the log so often, and no longer than so long.
const TELL_EVERY: Span = Span(1_000_000);
const TELL_FOR: Span = Span(30_000_000);

/// Machines that are to be asked, and those that are being asked.
#[derive(Default)]
pub struct Probes {
    next: VecDeque<Host>,
    under_way: HashSet<CallId>,
    asked: u64,
    tell_at: Time,
    /// All have reported, and all tokens are confirmed.
    done: bool,
}

impl Sched {
    /// Machines that were listed as running and have not reported yet.
    pub(super) fn wish_for_reports(&mut self, now: Time, hosts: Vec<Host>) {
        let room = |h: &Host| {
            let m = self.machines.get(h);
            m.map_or(0, |m| m.used.cpu - m.capacity.cpu)
        };
        let mut hosts = hosts;
        hosts.sort_by_cached_key(room);
        self.probes.next = hosts.into();
        self.probe(now);
    }

    /// Asks as many as may be asked at a time.
    pub(super) fn probe(&mut self, now: Time) {
        while self.probes.under_way.len() < AT_ONCE {
            let Some(host) = self.probes.next.pop_front() else {
                return;
            };
            // Hundreds of calls into a zone that is gone held up all others.
            let silent = |m: &Machine| {
                self.watch.silent(&m.zone) || self.fences.inherited(&m.zone).is_some()
            };
            let m = self.machines.get(&host);
            let asks = m.is_some_and(|m| {
                let rests = m.direct.is_some() || now < m.no_push_until;
                !m.reported && !rests && !silent(m)
            });
            let call = CallId(self.next_call);
            let Some(m) = self.machines.get_mut(&host).filter(|_| asks) else {
                continue;
            };
            let Some(addr) = m.addr.clone() else { continue };
            self.next_call += 1;
            m.direct = Some(call);
            self.probes.under_way.insert(call);
            self.probes.asked += 1;
            let orders = Orders {
                token: m.token,
                session: Session(0),
                orders: vec![],
            };
            self.out.push(Effect::Orders {
                call,
                host,
                addr,
                orders,
            });
        }
    }

    /// A call has ended, however; if it was for a report, the next one leaves.
    pub(super) fn probed(&mut self, now: Time, call: CallId) {
        if self.probes.under_way.remove(&call) {
            self.probe(now);
        }
    }

    /// One line a second until all is as it was.
    pub(super) fn tell_progress(&mut self, now: Time) {
        if self.probes.done || now < self.probes.tell_at || now - self.began > TELL_FOR {
            return;
        }
        self.probes.tell_at = now + TELL_EVERY;
        let up = self.machines.values().filter(|m| m.life == Life::Up);
        let (mut machines, mut heard, mut unconfirmed) = (0, 0, 0);
        for m in up {
            machines += 1;
            heard += m.reported as u32;
            let confirmed = m.doubt.is_none_or(|d| d != Token(self.epoch.base()));
            unconfirmed += !confirmed as u32;
        }
        let (mut running, mut unproven, mut untold) = (0, 0, 0);
        for l in self.jobs.values().flat_map(|j| j.live.values()) {
            match l.phase {
                Phase::Placed if l.inherited => unproven += 1,
                Phase::Placed => untold += 1,
                _ => running += 1,
            }
        }
        self.probes.done = heard == machines && unproven == 0;
        tracing::info!(
            after_s = (now - self.began).as_secs(),
            machines,
            heard,
            unconfirmed,
            asked = self.probes.asked,
            to_ask = self.probes.next.len(),
            on_machines = running,
            unproven,
            not_begun = untold,
            writes = ?self.dirty.lengths(),
            done = self.probes.done,
            "catching up"
        );
    }
}
