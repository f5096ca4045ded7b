//! Which machines are rented, watched, returned and written off.

mod rent;

use super::job::Phase;
use super::machine::{Life, Machine};
use super::place::allowed;
use super::{Effect, Sched};
use crate::ids::{Build, Epoch, Host, JobId, Label, TaskId, Zone};
use crate::time::{Span, Time};
use crate::wire::cloud::{Hire, Listed};
use crate::wire::user::Kind;
use hookworks_job_lifecycle::Failure;
use std::collections::{BTreeMap, HashMap, HashSet};

type Flavoured = (Build, Zone, bool);

/// A refused kind of machine is not asked for again so soon.
const REFUSED_REST: Span = Span(15_000_000);
/// A machine costs at least this long.
const MIN_PAID: Span = Span(60_000_000);
/// Machines asked for in one request.
const MAX_HIRE: u32 = 50;
/// Machines that don't hear are given back one in so long.
const DEAF_EVERY: Span = Span(2_000_000);
/// A worker whose controller has lost the leader is elsewhere after so long.
const FINDS_WAY: Span = Span(8_000_000);
/// Errors in a row that put a machine aside.
const FAILS: u32 = 2;

/// Tasks of a job that found no room.
#[derive(Clone, Debug)]
pub struct Short {
    pub job: JobId,
    pub tasks: i64,
    /// The only zone in which room is of use.
    pub zone: Option<Zone>,
}

impl Short {
    pub fn anywhere(job: &JobId, tasks: i64) -> Short {
        Short {
            job: job.clone(),
            tasks,
            zone: None,
        }
    }
}

struct Pending {
    hire: Hire,
    /// When to send it (again); none while it is under way.
    next: Option<Time>,
    tries: u32,
}

pub struct Fleet {
    epoch: Epoch,
    counter: u64,
    /// Jobs with tasks that found no room though their team may run them.
    pub short: Vec<Short>,
    pending: BTreeMap<String, Pending>,
    refused: HashMap<Flavoured, Time>,
    gone: HashSet<Host>,
    /// When other controllers were last found out of reach.
    pub out_of_reach: HashMap<Label, Time>,
    /// The sequence number of the first job that came in this term; those before it
    /// were loaded.
    pub first_own: u64,
    /// The next machine that does not hear may be given back then.
    deaf_at: Time,
}

impl Fleet {
    pub fn new(epoch: Epoch) -> Fleet {
        Fleet {
            epoch,
            counter: 0,
            short: vec![],
            pending: BTreeMap::new(),
            refused: HashMap::new(),
            gone: HashSet::new(),
            out_of_reach: HashMap::new(),
            first_own: 0,
            deaf_at: Time::default(),
        }
    }

    /// Released for certain: whatever still arrives from there is a ghost.
    /// Reports by way of that controller may not have come through.
    fn cut_off(&self, now: Time, via: &Option<Label>) -> bool {
        let at = via.as_ref().and_then(|l| self.out_of_reach.get(l));
        at.is_some_and(|t| now - *t < FINDS_WAY)
    }

    pub fn is_gone(&self, h: &Host) -> bool {
        self.gone.contains(h)
    }

    /// Rental requests without an answer yet.
    pub fn under_way(&self) -> usize {
        self.pending.len()
    }

    /// Some kind of machine was not refused lately, or is on its way.
    pub fn can_rent(&self, now: Time) -> bool {
        !self.pending.is_empty() || self.refused.values().all(|t| now - *t > REFUSED_REST)
    }
}

/// A machine that has not come up by then will not.
pub(super) fn late_boot(boot_s: f64) -> Span {
    Span::secs(boot_s * 2.5 + 10.0)
}

impl Sched {
    /// Rents for what found no room, and gives back what idles.
    pub(super) fn plan_fleet(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        self.send_pending(now);
        self.rent(now);
        self.give_back(now);
        self.release_leaving(now);
    }

    pub(super) fn listed(&mut self, now: Time, list: Vec<Listed>) {
        let token = self.base_token();
        let renewed = self.maybe_renewed(now);
        let mut unexpected = 0;
        let mut unheard = vec![];
        for l in list {
            if self.fleet.is_gone(&l.host) {
                continue;
            }
            let m = self.machines.entry(l.host.clone()).or_insert_with(|| {
                unexpected += 1;
                tracing::debug!(host = %l.host, status = %l.status, "a machine that was not expected is listed");
                let hired = Time(now.0.saturating_sub(Span::secs(l.age_s).0));
                let (b, z) = (l.build.clone(), l.zone.clone());
                let mut m = Machine::new(l.host.clone(), b, z, l.spot, hired, token);
                m.answered = renewed;
                m
            });
            if !m.reported {
                // Loaded attempts name a machine, but not its type and zone.
                m.build = l.build;
                m.zone = l.zone;
                m.spot = l.spot;
                if let Some(f) = self.flavors.get(&m.build) {
                    m.set_flavor(f);
                }
            }
            m.certain = true;
            if m.addr.is_none() {
                m.addr = l.addr;
            }
            self.fences.bound(m);
            if l.status == "failed" && !matches!(m.life, Life::Leaving { .. }) {
                tracing::info!(host = %m.host, "stopped on its own, released");
                m.life = Life::Leaving { next: now };
            }
            if l.status == "running" && !m.reported {
                unheard.push(l.host);
            }
        }
        self.wish_for_reports(now, unheard);
        if unexpected > 0 {
            tracing::info!(machines = unexpected, "not expected but listed");
        }
    }

    /// Until when the lease of a worker that we have just met may have been
    /// renewed: an earlier leader may go on for a while after our beginning.
    pub(super) fn maybe_renewed(&self, now: Time) -> Time {
        now.max(self.began + self.cfg.report_grace())
    }

    /// Machines that fell silent, never came up or are about to be taken.
    pub(super) fn watch_machines(&mut self, now: Time) {
        self.look_at_zones(now);
        let w = &self.cfg.workers;
        let patience = Span::secs(
            (w.lease_s * self.cfg.tuning.silent_share).max(w.report_s * 1.25 * 2.0 + 2.0),
        );
        let lease = self.lease_bound();
        // Zones in trouble are one matter, and machines that fall silent another.
        let up = |m: &&Machine| m.life == Life::Up && m.certain && !self.watch.silent(&m.zone);
        // What was not heard while this process stood still is no silence of theirs.
        let awake = self.awake;
        let all = self.machines.values().filter(up).count();
        let silent_one = |m: &&Machine| up(m) && now - m.heard.max(awake) > patience;
        let silent = self.machines.values().filter(silent_one).count();
        // When most fall silent at once, the fault is likely on our side.
        let ours = all > 2 && silent * 2 > all;
        let settled = now - self.began.max(awake) > patience;
        let mut lost: Vec<Host> = vec![];
        let mut drain: Vec<TaskId> = vec![];
        let kept: HashSet<Zone> = self.kept_zones(now);
        for m in self.machines.values_mut() {
            let zone_kept = kept.contains(&m.zone);
            // One that comes back has as long as any other to report.
            let heard = m.heard.max(self.watch.zones.returned(&m.zone)).max(awake);
            // While controllers refused each other a quarter of the fleet was
            // released, whose reports did not come through.
            let patience = match self.fleet.cut_off(now, &m.via) {
                true => patience.max(Span::secs(w.lease_s)),
                false => patience,
            };
            match m.life {
                Life::Booting => {
                    let boot = self.flavors.get(&m.build).map_or(60.0, |f| f.boot_s);
                    // A new leader has not heard them yet: of 4,500 that were up it
                    // released 1,957 in its first second.
                    if now - m.hired > late_boot(boot) && !zone_kept && settled {
                        tracing::info!(host = %m.host, "never came up, released");
                        m.life = Life::Leaving { next: now };
                    }
                }
                Life::Up => {
                    m.end_quarantine(now);
                    let taken =
                        m.notice_until.is_some_and(|t| now > t) && now - heard > Span::secs(4.5);
                    let silent = now - heard > patience && settled && !ours;
                    if (silent && !zone_kept) || taken {
                        tracing::info!(host = %m.host, tasks = m.slots.len(), "silent, released");
                        m.life = Life::Leaving { next: now };
                    }
                    if now > m.answered + lease {
                        lost.push(m.host.clone());
                    }
                    if m.notice_until.is_some() {
                        drain.extend(m.slots.keys().cloned());
                    }
                }
                Life::Leaving { .. } => {
                    if now > m.answered + lease {
                        lost.push(m.host.clone());
                    }
                }
            }
        }
        for h in lost {
            self.lease_over(now, &h);
        }
        for t in drain {
            self.drain(now, &t);
        }
    }

    /// The worker's lease has run out by any clock, so its tasks are gone.
    fn lease_over(&mut self, now: Time, host: &Host) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.answered = now;
        m.reported = false;
        let (zone, up) = (m.zone.clone(), m.life == Life::Up);
        // One that reports all the same is looked after in `give_back`.
        let unreachable = m.unreachable_since.is_some();
        let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
        // A lost zone's machines are good for its next session, when it is back.
        if up
            && !unreachable
            && !self.keeps_zone(now, &zone)
            && let Some(m) = self.machines.get_mut(host)
        {
            m.life = Life::Leaving { next: now };
        }
        self.watch.ended(&zone, tasks.len());
        if !tasks.is_empty() {
            tracing::info!(%host, tasks = tasks.len(), "lease has run out, tasks restart");
        }
        for t in tasks {
            self.gone_by(now, &t, Some(Failure::Lost), false);
        }
    }

    /// A task on a machine that is about to be taken: it saves while it can.
    fn drain(&mut self, now: Time, t: &TaskId) {
        let Some(j) = self.jobs.get(&t.job) else {
            return;
        };
        let save_s = j.spec.save_s;
        let saves = j.spec.checkpoint_s > 0.0;
        let Some(l) = j.live.get(&t.ix) else { return };
        let until = self.machines.get(&l.host).and_then(|m| m.notice_until);
        let Some(until) = until else { return };
        let margin = Span::secs(save_s * 1.5 + 4.0);
        if l.stop.is_some() {
            return;
        }
        match j.spec.kind {
            // Moved while its machine still stands.
            Kind::Service => return self.stop(now, &t.job.clone(), t.ix, save_s + 1.0),
            Kind::Gang if saves && l.phase == Phase::Running && now + margin >= until => {
                return self.stop_gang(now, &t.job.clone());
            }
            Kind::Gang => return,
            Kind::Array => {}
        }
        if saves && l.phase == Phase::Running && now + margin >= until {
            self.stop(now, &t.job.clone(), t.ix, save_s + 1.0);
        }
    }

    /// A task ended with an error: the machine's fault, or the job's?
    pub(super) fn failed(&mut self, now: Time, host: &Host, t: &TaskId) {
        let Some(j) = self.jobs.get_mut(&t.job) else {
            return;
        };
        j.errors += 1;
        j.error_hosts.insert(host.clone());
        let works_elsewhere = j.done_count > 0;
        if j.fails_everywhere() {
            // It fails everywhere: its machines are not to blame.
            // Short enough that it is not left waiting once the cause is mended.
            let pause = 5.0 * 2f64.powi((j.errors / 3).min(3) as i32);
            j.backoff_until = now + Span::secs(pause);
            tracing::info!(job = %t.job, pause, "fails everywhere, backs off");
            let id = t.job.clone();
            for m in self.machines.values_mut() {
                if m.fail_jobs.remove(&id) && m.fail_jobs.is_empty() {
                    m.fails = 0;
                    m.quarantined = false;
                }
            }
            return;
        }
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.fails += 1;
        m.fail_jobs.insert(t.job.clone());
        m.rest_until = now + Span::secs(5.0);
        let blamed = m.fail_jobs.len() > 1 || works_elsewhere;
        if m.fails >= FAILS && blamed && !m.quarantined {
            tracing::info!(%host, fails = m.fails, "quarantined");
            (m.quarantined, m.quarantined_at) = (true, now);
            self.forgive(host);
        }
    }

    fn give_back(&mut self, now: Time) {
        let keep = self.headroom(now);
        let mut free = self.free_room(now);
        let t = &self.cfg.tuning;
        let mut idle: Vec<(bool, Time, Host)> = self
            .machines
            .values()
            .filter(|m| m.life == Life::Up && m.reported && !m.shut && m.slots.is_empty())
            .map(|m| (m.spot, m.idle_since, m.host.clone()))
            .collect();
        // Ordinary machines cost more, so they go first.
        idle.sort();
        for (spot, since, h) in idle {
            let Some(m) = self.machines.get(&h) else {
                continue;
            };
            let mut done_with = m.quarantined || m.notice_until.is_some();
            if let Some(since) = m.unreachable_since {
                // Many at a time are likely to be a matter of the network: they are
                // neither given up nor replaced in one moment.
                if now - since < self.lease_bound() + self.lease_bound() || now < self.fleet.deaf_at
                {
                    continue;
                }
                self.fleet.deaf_at = now + DEAF_EVERY;
                done_with = true;
            }
            let limit = Span::secs(if spot { t.idle_spot_s } else { t.idle_s });
            let idles = now - since > limit && now - m.hired > MIN_PAID;
            let useful = |s: &Short| {
                let j = self.jobs.get(&s.job);
                j.is_some_and(|j| allowed(&j.spec, m))
                    && s.zone.as_ref().is_none_or(|z| *z == m.zone)
            };
            let wanted = self.fleet.short.iter().any(useful);
            let mut rest = free;
            rest.take(&m.capacity, spot);
            let kept = !rest.all.covers(&keep.all) || !spot && !rest.plain.covers(&keep.plain);
            if !done_with && (!idles || wanted || kept) {
                continue;
            }
            if !done_with {
                free = rest;
            }
            tracing::info!(host = %h, spot, "given back");
            if let Some(m) = self.machines.get_mut(&h) {
                m.life = Life::Leaving { next: now };
            }
        }
    }

    fn release_leaving(&mut self, now: Time) {
        let mut hosts = vec![];
        for m in self.machines.values_mut() {
            if let Life::Leaving { next } = &mut m.life
                && now >= *next
                && hosts.len() < 100
            {
                // Asked again if no answer says that it is gone.
                *next = now + Span::secs(6.0);
                hosts.push(m.host.clone());
            }
        }
        if !hosts.is_empty() {
            self.out.push(Effect::Release(hosts));
        }
    }

    pub(super) fn released(&mut self, now: Time, hosts: Vec<Host>, ok: bool) {
        if !ok {
            return;
        }
        for h in hosts {
            let Some(m) = self.machines.get(&h) else {
                continue;
            };
            if !matches!(m.life, Life::Leaving { .. }) {
                continue;
            }
            let zone = m.zone.clone();
            let tasks: Vec<TaskId> = m.slots.keys().cloned().collect();
            for t in tasks {
                self.gone_by(now, &t, Some(Failure::Lost), false);
            }
            self.watch.given_back(&zone);
            self.machines.remove(&h);
            self.fleet.gone.insert(h);
        }
    }
}
