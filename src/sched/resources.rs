//! Amounts of CPUs, accelerators and memory, in thousandths of a unit so that sums stay
//! exact, and bytes of the worker's report.

use super::worker_messages;
use crate::wire::cloud::MachineType;
use crate::wire::user::{JobSpec, MAX_TASKS};
use std::fmt;
use std::ops::{AddAssign, SubAssign};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    pub cpu: i64,
    pub gpu: i64,
    pub mem: i64,
    /// Bytes in the report of a worker, which lists every task on its machine. They limit how
    /// many tasks a machine takes, and count in no share.
    pub report: i64,
}

/// Stands for no limit: far above any sum of task needs, and far from overflow.
const UNLIMITED: i64 = i64::MAX / 4;
/// A submission may name any amount. Larger ones are capped here, so that the sum over
/// all tasks of a job stays within [`UNLIMITED`].
const MAX_PER_TASK: i64 = UNLIMITED / MAX_TASKS as i64;

fn to_milli_ceil(v: f64) -> i64 {
    (v * 1000.0 - 1e-6).ceil() as i64
}

fn to_milli_floor(v: f64) -> i64 {
    (v * 1000.0 + 1e-6).floor() as i64
}

impl Resources {
    /// The need of one task of the job, rounded up.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpu: to_milli_ceil(spec.cpus).min(MAX_PER_TASK),
            gpu: to_milli_ceil(spec.gpus).min(MAX_PER_TASK),
            mem: to_milli_ceil(spec.memory_gb).min(MAX_PER_TASK),
            report: worker_messages::task_report_bytes(spec),
        }
    }
    /// The capacity of a machine, rounded down.
    pub fn of_machine_type(flavor: &MachineType) -> Resources {
        Resources {
            cpu: to_milli_floor(flavor.cpus),
            gpu: to_milli_floor(flavor.gpus),
            mem: to_milli_floor(flavor.memory_gb),
            report: worker_messages::MAX_TASK_BYTES,
        }
    }
    /// A team's limit on CPUs and accelerators. Memory is unlimited, and so is an
    /// amount given as 0: otherwise a team with a limit on accelerators alone has every
    /// job refused for its CPUs.
    pub fn limit(cpus: f64, gpus: f64) -> Resources {
        let amount = |v: f64| {
            if v > 0.0 {
                to_milli_floor(v)
            } else {
                UNLIMITED
            }
        };
        Resources {
            cpu: amount(cpus),
            gpu: amount(gpus),
            mem: UNLIMITED,
            report: UNLIMITED,
        }
    }
    pub fn fits(&self, need: &Resources) -> bool {
        self.tasks_that_fit(need) > 0
    }
    /// How many tasks of this need fit.
    pub fn tasks_that_fit(&self, need: &Resources) -> i64 {
        let fitting = |have: i64, need: i64| match need {
            0 if have >= 0 => i64::MAX,
            0 => 0,
            _ => have.max(0) / need,
        };
        fitting(self.cpu, need.cpu)
            .min(fitting(self.gpu, need.gpu))
            .min(fitting(self.mem, need.mem))
            .min(fitting(self.report, need.report))
            .min(1_000_000)
    }
    /// The first resource, by its name in submissions, of which this has less than
    /// `need`.
    pub fn first_lacking(&self, need: &Resources) -> Option<&'static str> {
        let amounts = [
            ("Vcpus", self.cpu, need.cpu),
            ("Accelerators", self.gpu, need.gpu),
            ("RamGb", self.mem, need.mem),
        ];
        let lacking = amounts.into_iter().find(|(_, have, need)| have < need);
        lacking.map(|(name, ..)| name)
    }
    pub fn scaled(&self, factor: i64) -> Resources {
        Resources {
            cpu: self.cpu * factor,
            gpu: self.gpu * factor,
            mem: self.mem * factor,
            report: self.report * factor,
        }
    }
    pub fn scaled_f64(&self, factor: f64) -> Resources {
        let scale = |v: i64| (v as f64 * factor) as i64;
        Resources {
            cpu: scale(self.cpu),
            gpu: scale(self.gpu),
            mem: scale(self.mem),
            report: scale(self.report),
        }
    }
    pub fn at_least_zero(self) -> Resources {
        Resources {
            cpu: self.cpu.max(0),
            gpu: self.gpu.max(0),
            mem: self.mem.max(0),
            report: self.report.max(0),
        }
    }
    /// Whether there is enough of each resource that is needed; resources that are not
    /// needed may be short.
    pub fn covers(&self, need: &Resources) -> bool {
        let is_covered = |have: i64, need: i64| need <= 0 || have >= need;
        is_covered(self.cpu, need.cpu)
            && is_covered(self.gpu, need.gpu)
            && is_covered(self.mem, need.mem)
            && is_covered(self.report, need.report)
    }
    /// Selects the resource of which `need` takes the largest share of this amount.
    pub fn dominant_resource(&self, need: &Resources) -> fn(&Resources) -> i64 {
        let share = |n: i64, of: i64| n as f64 / of.max(1) as f64;
        let cpu = share(need.cpu, self.cpu);
        let (gpu, mem) = (share(need.gpu, self.gpu), share(need.mem, self.mem));
        if cpu >= gpu && cpu >= mem {
            |r| r.cpu
        } else if gpu >= mem {
            |r| r.gpu
        } else {
            |r| r.mem
        }
    }
    pub fn minus(mut self, other: &Resources) -> Resources {
        self -= *other;
        self
    }
    /// The largest share of `whole` that this is, over the resources in `asked`.
    pub fn largest_free_share(&self, whole: &Resources, asked: &Resources) -> f64 {
        let if_asked = |left: i64, n: i64| if n > 0 { left } else { 0 };
        let left = Resources {
            cpu: if_asked(self.cpu, asked.cpu),
            gpu: if_asked(self.gpu, asked.gpu),
            mem: if_asked(self.mem, asked.mem),
            report: 0,
        };
        left.dominant_share_of(whole)
    }
    /// The smallest share of `whole` that this is, over all resources.
    pub fn smallest_share_of(&self, whole: &Resources) -> f64 {
        let share = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 1.0 };
        share(self.cpu, whole.cpu)
            .min(share(self.gpu, whole.gpu))
            .min(share(self.mem, whole.mem))
    }
    /// The dominant share: the largest share of `whole` that this is, over all
    /// resources.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        let share = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
        share(self.cpu, whole.cpu)
            .max(share(self.gpu, whole.gpu))
            .max(share(self.mem, whole.mem))
    }
}

/// CPUs, accelerators and memory, in whole units.
impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cpu, gpu, mem) = (self.cpu / 1000, self.gpu / 1000, self.mem / 1000);
        write!(f, "{cpu}/{gpu}/{mem}")
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.mem += other.mem;
        self.report += other.report;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpu -= other.cpu;
        self.gpu -= other.gpu;
        self.mem -= other.mem;
        self.report -= other.report;
    }
}
