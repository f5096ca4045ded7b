//! Catching up after a take-over: machines are asked for their reports, attempts
//! that an earlier leader stored but never began are begun, and how far it is
//! goes to the log.
//!
//! Nothing is placed on a machine before its report, and by themselves all would
//! have reported within one period only. So each listed machine that runs is sent
//! a command for no session of its, which changes nothing and brings its report.
//! All of them at once took every thread for direct calls: urgent starts queued
//! behind them, and what had waited for a second was dropped and its machine not
//! called for four more. Now a few are under way at a time, those with the most
//! room first, and whoever reports by itself meanwhile is not asked.
//!
//! A machine that has reported but not confirmed our token yet may still begin
//! what an earlier leader told it. Where that keeps attempts in doubt, an empty
//! command of its session raises the token at once, rather than with the next
//! report or the one after.

use super::job::Phase;
use super::machine::Life;
use super::place::allowed;
use super::{Effect, Sched};
use crate::ids::{CallId, Host, Session, TaskId, Token};
use crate::time::{Span, Time};
use crate::wire::user::Kind;
use crate::wire::worker::Orders;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Calls for reports that are under way at a time; the other threads for direct
/// calls are for what users wait for. A machine that is gone or hangs gives no
/// answer for seconds: after a while its call does not count.
const AT_ONCE: usize = 8;
const COUNTS_FOR: Span = Span(400_000);
const AT_MOST: usize = 12;
/// How far it is goes to the log so often, and no longer than so long.
const TELL_EVERY: Span = Span(1_000_000);
const TELL_FOR: Span = Span(30_000_000);

/// Machines that are to be asked, and those that are being asked.
#[derive(Default)]
pub struct Probes {
    next: VecDeque<Host>,
    /// Machines that have reported, but not confirmed our token, and hold
    /// attempts of which that is all that is not known.
    confirm: BTreeSet<Host>,
    under_way: BTreeMap<CallId, Time>,
    asked: u64,
    resumed: u64,
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
        // The list comes in pages.
        let mut all: BTreeSet<Host> = self.probes.next.drain(..).collect();
        all.extend(hosts);
        let mut all: Vec<Host> = all.into_iter().collect();
        all.sort_by_cached_key(room);
        self.probes.next = all.into();
        self.probe(now);
    }

    /// An attempt there is in doubt as long as our token is not confirmed.
    pub(super) fn wish_for_token(&mut self, host: &Host) {
        self.probes.confirm.insert(host.clone());
    }

    /// Asks as many as may be asked at a time.
    pub(super) fn probe(&mut self, now: Time) {
        let counts = |since: &&Time| now - **since < COUNTS_FOR;
        while self.probes.under_way.len() < AT_MOST
            && self.probes.under_way.values().filter(counts).count() < AT_ONCE
        {
            // Whoever is asked for a report confirms the token as well.
            let confirm = self.probes.confirm.pop_first();
            let Some(host) = confirm.or_else(|| self.probes.next.pop_front()) else {
                return;
            };
            self.ask_for_report(now, host);
        }
    }

    fn ask_for_report(&mut self, now: Time, host: Host) {
        let Some(m) = self.machines.get(&host) else {
            return;
        };
        // Hundreds of calls into a zone that is gone held up all others.
        let silent = self.watch.silent(&m.zone) || self.fences.inherited(&m.zone).is_some();
        let rests = m.direct.is_some() || now < m.no_push_until;
        let known = m.reported && m.doubt.is_none();
        let Some(addr) = m.addr.clone().filter(|_| !silent && !rests && !known) else {
            return;
        };
        let orders = Orders {
            token: m.token,
            // A worker that has not reported yet is asked in no session of its.
            session: if m.reported { m.session } else { Session(0) },
            orders: vec![],
        };
        let call = self.next_call_id();
        if let Some(m) = self.machines.get_mut(&host) {
            m.direct = Some(call);
        }
        self.probes.under_way.insert(call, now);
        self.probes.asked += 1;
        self.out.push(Effect::Orders {
            call,
            host,
            addr,
            orders,
        });
    }

    /// A call has ended, however; if it was for a report, the next one leaves.
    pub(super) fn probed(&mut self, now: Time, call: CallId) {
        if self.probes.under_way.remove(&call).is_some() {
            self.probe(now);
        }
    }

    /// An attempt that an earlier leader stored and never began, proven so: it is
    /// begun now, if it could be placed where it is, as it is on record already.
    /// Placed anew it waits for a write like any other; after four crashes within
    /// eight seconds that were a thousand tasks, and five seconds for the last.
    ///
    /// That leader may have given its room to others since, and a successor that
    /// began it after all took a team past its limit. So all that is on record,
    /// this included, must fit the machine and the team's limit.
    pub(super) fn resume(&mut self, now: Time, host: &Host, t: &TaskId) -> bool {
        let fresh = self.heard_within();
        let m = self.machines.get(host).filter(|m| m.open(now, fresh));
        let (Some(m), Some(j)) = (m, self.jobs.get(&t.job)) else {
            return false;
        };
        let ready = !(j.cancelled || j.closing.is_some() || j.held() || j.blocked());
        let anywhere = j.spec.kind == Kind::Array && !j.spec.one_zone && !j.spec.spread;
        let left = self.teams.left(&j.spec.team);
        let fits = m.capacity.covers(&m.used) && left.at_least_zero() == left;
        if !(ready && anywhere && fits && now >= j.backoff_until && allowed(&j.spec, m)) {
            return false;
        }
        let Some(l) = self.live_mut(t) else {
            return false;
        };
        // Whoever told the worker before us is not listened to any more.
        (l.inherited, l.sent, l.told) = (false, false, None);
        l.placed = now;
        self.probes.resumed += 1;
        self.unsent.insert(host.clone());
        self.ready.insert(host.clone());
        true
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
            resumed = self.probes.resumed,
            writes = ?self.dirty.lengths(),
            done = self.probes.done,
            "catching up"
        );
    }
}
