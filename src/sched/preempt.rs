//! Who has to make room, in the cases that the protocol allows.

use super::job::{Job, Phase};
use super::place::allowed;
use super::{Sched, estimate};
use crate::ids::{Host, JobId, TaskIx};
use crate::time::{Span, Time};
use crate::wire::user::{Kind, Priority};

/// Tasks stopped in one go; the next pass sees what came of it.
const MAX_STOPS: usize = 12;
/// A task that has run for this share of its estimate is let finish.
const NEARLY_DONE: f64 = 0.85;

/// Work that a task may lose to make room for what is not urgent.
const CHEAP_S: f64 = 6.0;
/// The same for borrowed room that its owner wants back.
const BORROWED_S: f64 = 12.0;
/// A job that made room waits so long before it starts anything.
const YIELD: Span = Span(1_000_000);
/// A start that is undone sooner was in vain.
const SETTLED_S: f64 = 31.0;

struct Victim {
    cost: f64,
    host: Host,
    job: JobId,
    task: TaskIx,
    cpu: i64,
}

impl Sched {
    /// Stops tasks for those that found no room and have a right to it.
    pub(super) fn preempt(&mut self, now: Time) {
        let mut stopping: i64 = 0;
        for j in self.jobs.values() {
            let s = j.live.values().filter(|l| l.stop.is_some()).count() as i64;
            stopping += s * j.need.cpu;
        }
        let mut stops: Vec<Victim> = vec![];
        let within = self.within_guarantee();
        let spare = self.spare_cpu(now, self.heard_within());
        for (id, wanted) in self.fleet.short.clone() {
            let Some(j) = self.jobs.get(&id) else {
                continue;
            };
            let urgent = j.spec.priority <= Priority::High;
            if j.spec.priority == Priority::Low && !within.contains(&id) {
                continue;
            }
            // Room that is kept for quick classes is not for these; stopping
            // others would only fill it up.
            if !self.fleet.is_quick(&j.spec.class, &self.cfg.objectives) && spare < 0 {
                continue;
            }
            // What is being stopped already makes room for the first of them.
            let asked = j.need.cpu * wanted;
            let mut need = (asked - stopping).max(0);
            stopping = (stopping - asked).max(0);
            if need == 0 {
                continue;
            }
            let mut victims = self.victims(now, j, urgent, &within);
            // The cheapest first: what would lose least.
            victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
            for v in victims {
                if need <= 0 || stops.len() >= MAX_STOPS {
                    break;
                }
                if stops.iter().any(|s| s.job == v.job && s.task == v.task) {
                    continue;
                }
                tracing::info!(job = %v.job, task = %v.task, host = %v.host, for_job = %id, "preempted");
                need -= v.cpu;
                stops.push(v);
            }
        }
        for v in stops {
            if let Some(j) = self.jobs.get_mut(&v.job) {
                // Others first, or it takes the same room again.
                j.backoff_until = j.backoff_until.max(now + YIELD);
            }
            self.stop(now, &v.job, v.task, 0.0);
        }
    }

    /// Tasks that may be stopped for this job: those of lower priority, and
    /// what other teams run beyond their guarantee while this one is within.
    fn victims(
        &self,
        now: Time,
        j: &Job,
        urgent: bool,
        within: &std::collections::BTreeSet<JobId>,
    ) -> Vec<Victim> {
        let fresh = self.heard_within();
        let mut victims = vec![];
        let mine = self.rank(now, j, within);
        for v in self.jobs.values() {
            // Room left by one that is served earlier would go back to it: tasks
            // were stopped and placed anew many times a second.
            if self.rank(now, v, within) <= mine {
                continue;
            }
            let lower = v.spec.priority > j.spec.priority;
            let borrowed = within.contains(j.id())
                && !within.contains(v.id())
                && v.spec.team != j.spec.team
                && v.spec.priority >= j.spec.priority
                && self.teams.beyond_guarantee(&v.spec.team);
            if !(borrowed || lower) || v.spec.kind != Kind::Array {
                continue;
            }
            for (t, l) in &v.live {
                let Some(m) = self.machines.get(&l.host) else {
                    continue;
                };
                if l.stop.is_some() || !m.open(now, fresh) || !allowed(&j.spec, m) {
                    continue;
                }
                let ran = match (l.phase, l.running_since) {
                    (Phase::Running, Some(s)) => (now - s).as_secs(),
                    _ => 0.0,
                };
                if ran > NEARLY_DONE * estimate::of(v).as_secs() {
                    continue;
                }
                let lost = if v.spec.checkpoint_s > 0.0 {
                    ran % v.spec.checkpoint_s
                } else {
                    ran
                };
                // For what is not urgent only those stop that lose little, and
                // whose start has counted.
                let cheap = v.spec.checkpoint_s > 0.0 && lost < CHEAP_S && ran > SETTLED_S;
                let gives_back = borrowed && lost < BORROWED_S;
                if !(gives_back || urgent && lower || cheap && lower) {
                    continue;
                }
                victims.push(Victim {
                    cost: lost * v.spec.cpus,
                    host: l.host.clone(),
                    job: v.id().clone(),
                    task: *t,
                    cpu: v.need.cpu,
                });
            }
        }
        victims
    }
}
