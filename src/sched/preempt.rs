//! Who has to make room, in the cases that the protocol allows.

use super::Sched;
use super::estimate;
use super::job::Phase;
use super::place::allowed;
use crate::ids::{Host, JobId, TaskIx};
use crate::time::Time;
use crate::wire::user::{Kind, Priority};

/// Tasks stopped in one go; the next pass sees what came of it.
const MAX_STOPS: usize = 12;

impl Sched {
    /// Stops tasks of lower priority for urgent ones that found no room.
    pub(super) fn preempt(&mut self, now: Time) {
        let fresh = self.heard_within();
        let mut stopping: i64 = 0;
        for j in self.jobs.values() {
            let s = j.live.values().filter(|l| l.stop.is_some()).count() as i64;
            stopping += s * j.need.cpu;
        }
        let short = self.fleet.short.clone();
        let mut stops: Vec<(JobId, TaskIx)> = vec![];
        for (id, wanted) in short {
            let Some(j) = self.jobs.get(&id) else {
                continue;
            };
            if j.spec.priority > Priority::High {
                continue;
            }
            let mut need = j.need.cpu * wanted - stopping.max(0);
            stopping -= j.need.cpu * wanted;
            // The cheapest victims first: what lost least.
            let mut victims: Vec<(f64, Host, JobId, TaskIx, i64)> = vec![];
            for v in self.jobs.values() {
                let array = v.spec.kind == Kind::Array;
                if v.spec.priority <= j.spec.priority || !array {
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
                    let lost = if v.spec.checkpoint_s > 0.0 {
                        ran % v.spec.checkpoint_s
                    } else {
                        ran
                    };
                    if ran > 0.9 * estimate::of(v).as_secs() {
                        continue;
                    }
                    let cost = lost * v.spec.cpus;
                    victims.push((cost, l.host.clone(), v.id().clone(), *t, v.need.cpu));
                }
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, host, job, t, cpu) in victims {
                if need <= 0 || stops.len() >= MAX_STOPS {
                    break;
                }
                tracing::info!(%job, task = %t, %host, urgent = %id, "preempted");
                stops.push((job, t));
                need -= cpu;
            }
        }
        for (job, t) in stops {
            self.stop(now, &job, t, 0.0);
        }
    }
}
