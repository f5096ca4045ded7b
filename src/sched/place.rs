//! Where a task starts, in the order of the design: machines that pass the
//! spread check, by best fit; then a join that costs nothing; then renting;
//! then, when nothing is ready or rentable, any machine with room.

use super::job::{Job, Live, Phase};
use super::machine::{ENDLESS, Machine, Slot};
use super::{Sched, estimate};
use crate::ids::{Attempt, Host, JobId, TaskId, TaskIx, Zone};
use crate::time::{Span, Time};
use crate::wire::user::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Jobs in the order in which they are served.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    tier: u8,
    due: f64,
    seq: u64,
}

impl Sched {
    /// Jobs that fit within their team's guarantee along with the team's
    /// earlier unfinished ones.
    pub(super) fn within_guarantee(&self) -> BTreeSet<JobId> {
        let mut by_seq: Vec<_> = self.jobs.values().filter(|j| !j.cancelled).collect();
        by_seq.sort_by_key(|j| j.seq);
        let mut used = BTreeMap::new();
        let mut within = BTreeSet::new();
        for j in by_seq {
            let Some(g) = self.teams.guarantee(&j.spec.team) else {
                continue;
            };
            let sum: &mut super::Room = used.entry(j.spec.team.clone()).or_default();
            *sum += j.need.scaled(j.unfinished() as i64);
            if sum.cpu <= g.cpu && sum.gpu <= g.gpu {
                within.insert(j.id().clone());
            }
        }
        within
    }

    /// When the job must start for the next of its aims that it can still
    /// meet; those that can meet none come last.
    fn latest_start(&self, now: Time, j: &Job, within: bool) -> f64 {
        let run = estimate::of(j).as_secs();
        let run = if run > 1e9 { 0.0 } else { run };
        let arrived = j.arrived.0 as f64 / 1e6;
        let now = now.0 as f64 / 1e6;
        let mut best = f64::INFINITY;
        let mut take = |start: f64| {
            if start >= now && start < best {
                best = start;
            }
        };
        if let Some(d) = j.spec.deadline_s {
            take(arrived + d - run);
            take(arrived + 1.5 * d - run);
        }
        for o in &self.cfg.objectives {
            let mine = o.class.as_ref() == Some(&j.spec.class);
            let Some(s) = o.within_s else { continue };
            match o.kind.as_str() {
                "finished" if mine => take(arrived + s - run),
                "wait" if mine => take(arrived + s),
                "guarantee" if within => take(arrived + s),
                _ => {}
            }
        }
        // Of two that are pressed alike, the one that needs less of the fleet:
        // more jobs meet their aims that way.
        let whole: i64 = self.machines.values().map(|m| m.capacity.cpu).sum();
        let work = j.need.cpu as f64 * j.unfinished() as f64 * run;
        best + WORK_WEIGHT * work / (whole.max(1) as f64)
    }

    pub(super) fn rank(&self, now: Time, j: &Job, within: &BTreeSet<JobId>) -> Rank {
        let within = within.contains(j.id());
        let tier = match j.spec.priority {
            Priority::Production => 0,
            Priority::High => 1,
            _ if within => 2,
            Priority::Normal => 3,
            Priority::Low => 4,
        };
        let due = self.latest_start(now, j, within);
        let seq = j.seq;
        Rank { tier, due, seq }
    }

    pub(super) fn ranked(&self, now: Time) -> Vec<(Rank, JobId)> {
        let within = self.within_guarantee();
        let mut v: Vec<(Rank, JobId)> = self
            .jobs
            .values()
            .filter(|j| j.pending() > 0 && now >= j.backoff_until && j.parts[0].stored > 0)
            .map(|j| (self.rank(now, j, &within), j.id().clone()))
            .collect();
        v.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        v
    }

    pub(super) fn place(&mut self, now: Time) {
        let mut short = vec![];
        let mut held = BTreeSet::new();
        for (_, id) in self.ranked(now) {
            let mut wanted = 0;
            if self
                .jobs
                .get(&id)
                .is_some_and(|j| j.spec.kind == Kind::Gang)
            {
                let n = self.place_gang(now, &id, &mut held);
                if n > 0 {
                    short.push((id, n));
                }
                continue;
            }
            while let Some(j) = self.jobs.get(&id) {
                let left = j.pending() as i64;
                if left == 0 {
                    break;
                }
                let quota = self.teams.left(&j.spec.team).times(&j.need);
                if quota == 0 {
                    break;
                }
                let Some(host) = self.choose(now, &id, &held) else {
                    wanted = left.min(quota);
                    break;
                };
                self.start(now, &id, &host, None);
            }
            if wanted > 0 {
                short.push((id, wanted));
            }
        }
        self.fleet.short = short;
        self.preempt(now);
    }

    pub(super) fn choose(&self, now: Time, id: &JobId, held: &BTreeSet<Host>) -> Option<Host> {
        let j = self.jobs.get(id)?;
        let est = estimate::of(j);
        let t = &self.cfg.tuning;
        let delta = estimate::delta(est, t.delta_factor, t.delta_floor_s);
        let fresh = self.heard_within();
        let quick = self.fleet.is_quick(&j.spec.class, &self.cfg.objectives);
        let spare = if quick {
            i64::MAX
        } else {
            self.spare_cpu(now, fresh)
        };
        if spare < j.need.cpu {
            return None;
        }
        let mut best: Option<(Score, &Machine)> = None;
        for m in self.machines.values() {
            if !m.open(now, fresh) || !allowed(&j.spec, m) || !m.free().fits(&j.need) {
                continue;
            }
            if held.contains(&m.host) {
                continue;
            }
            if (j.spec.one_zone || j.spec.spread) && !self.zone_suits(j, &m.zone) {
                continue;
            }
            // A machine that failed this job is not tried again soon.
            if j.error_hosts.contains(&m.host) && j.error_hosts.len() < self.machines.len() {
                continue;
            }
            let class = class(m, now, est, delta);
            if class == LAST_RESORT && self.fleet.can_rent(now) {
                continue;
            }
            let left = m.free().minus(&j.need).share_of(&m.capacity);
            let score = Score {
                class,
                image: quick && !m.images.contains(&j.spec.image),
                left,
                no_image: !m.images.contains(&j.spec.image),
            };
            if best.as_ref().is_none_or(|(b, _)| score < *b) {
                best = Some((score, m));
            }
        }
        best.map(|(_, m)| m.host.clone())
    }

    /// Judged against all tasks that may still be somewhere.
    fn zone_suits(&self, j: &Job, zone: &Zone) -> bool {
        let zone_of = |l: &Live| self.machines.get(&l.host).map(|m| m.zone.clone());
        let mut here = 0;
        for l in j.live.values() {
            match zone_of(l) {
                Some(z) if z == *zone => here += 1,
                // Known to be elsewhere.
                Some(z) if !z.as_str().is_empty() => {
                    if j.spec.one_zone {
                        return false;
                    }
                }
                // It could be anywhere.
                _ => return false,
            }
        }
        !j.spec.spread || here < j.spec.tasks.div_ceil(2)
    }

    /// A machine that has been silent for longer takes nothing new.
    pub(super) fn heard_within(&self) -> Span {
        Span::secs(self.cfg.workers.report_s * 1.25 + 2.0)
    }

    /// Free CPUs above what is kept for classes that want quick starts.
    pub(super) fn spare_cpu(&self, now: Time, fresh: Span) -> i64 {
        let open = self.machines.values().filter(|m| m.open(now, fresh));
        let free: i64 = open.map(|m| m.free().cpu.max(0)).sum();
        free - self.fleet.headroom(&self.cfg.tuning)
    }

    pub(super) fn start(&mut self, now: Time, id: &JobId, host: &Host, attempt: Option<Attempt>) {
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(ix) = j.take_pending() else { return };
        let est = estimate::of(j);
        let part = j.part_of(ix);
        let ver = j.touch(part, &mut self.dirty, true);
        j.live.insert(
            ix,
            Live {
                attempt,
                host: host.clone(),
                ver,
                phase: Phase::Placed,
                placed: now,
                placed_wall: wall,
                running_since: None,
                told: None,
                sent: false,
                stop: None,
            },
        );
        self.teams.add(&j.spec.team, &j.need);
        if let Some(m) = self.machines.get_mut(host) {
            m.used += j.need;
            let slot = Slot {
                need: j.need,
                start: now,
                estimate: est,
                endless: est == ENDLESS,
            };
            m.slots.insert(task_id(id, ix), slot);
        }
        tracing::debug!(job = %id, task = %ix, %host, "placed");
    }
}

fn task_id(id: &JobId, ix: TaskIx) -> TaskId {
    TaskId {
        job: id.clone(),
        ix,
    }
}

/// In which step of the design the machine takes a task of this estimate.
pub(super) fn class(m: &Machine, now: Time, est: Span, delta: Span) -> u8 {
    match m.remaining(now) {
        Some((low, high)) if high.max(est) - low.min(est) <= delta => 0,
        // It stays up for so long anyway.
        Some((_, high)) if high >= est => 1,
        // Rented already and ready: costs what renting would, sooner.
        None => 2,
        // Only when nothing else has room.
        Some(_) => LAST_RESORT,
    }
}

/// How much the time for which a job would fill the fleet counts against it.
const WORK_WEIGHT: f64 = 12.0;

const LAST_RESORT: u8 = 3;

/// Smaller is better; fields count in this order.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
struct Score {
    class: u8,
    image: bool,
    left: f64,
    no_image: bool,
}

/// The job may run on this machine.
pub(super) fn allowed(s: &JobSpec, m: &Machine) -> bool {
    s.builds.as_ref().is_none_or(|b| b.contains(&m.build))
        && s.zone.as_ref().is_none_or(|z| *z == m.zone)
        && (s.spot || !m.spot)
}
