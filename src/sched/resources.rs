//! Amounts of a machine, in thousandths, so that sums stay exact.

use crate::wire::cloud::Flavor;
use crate::wire::user::{JobSpec, MAX_TASKS};
use std::fmt;
use std::ops::{AddAssign, SubAssign};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    pub cpu: i64,
    pub gpu: i64,
    pub mem: i64,
}

/// Far above any sum of tasks, and far from the end of the range.
const UNLIMITED: i64 = i64::MAX / 4;
/// A submission may name any amount. More than that is no more than this, so that all
/// tasks of a job together stay within what is unlimited.
const MAX_PER_TASK: i64 = UNLIMITED / MAX_TASKS as i64;

fn to_milli_ceil(v: f64) -> i64 {
    (v * 1000.0 - 1e-6).ceil() as i64
}

fn to_milli_floor(v: f64) -> i64 {
    (v * 1000.0 + 1e-6).floor() as i64
}

impl Resources {
    /// What one task of the job takes, rounded up.
    pub fn of_task(s: &JobSpec) -> Resources {
        Resources {
            cpu: to_milli_ceil(s.cpus).min(MAX_PER_TASK),
            gpu: to_milli_ceil(s.gpus).min(MAX_PER_TASK),
            mem: to_milli_ceil(s.memory_gb).min(MAX_PER_TASK),
        }
    }
    /// What a machine offers, rounded down.
    pub fn of_machine_type(f: &Flavor) -> Resources {
        Resources {
            cpu: to_milli_floor(f.cpus),
            gpu: to_milli_floor(f.gpus),
            mem: to_milli_floor(f.memory_gb),
        }
    }
    /// A team's limit on CPUs and accelerators; memory has none, nor has a
    /// part that is given as 0: where only accelerators were limited, every
    /// job was once refused for its CPUs.
    pub fn limit(cpus: f64, gpus: f64) -> Resources {
        let part = |v: f64| {
            if v > 0.0 {
                to_milli_floor(v)
            } else {
                UNLIMITED
            }
        };
        Resources {
            cpu: part(cpus),
            gpu: part(gpus),
            mem: UNLIMITED,
        }
    }
    pub fn fits(&self, need: &Resources) -> bool {
        self.tasks_that_fit(need) > 0
    }
    /// How many tasks of this need fit.
    pub fn tasks_that_fit(&self, need: &Resources) -> i64 {
        let one = |have: i64, n: i64| match n {
            0 if have >= 0 => i64::MAX,
            0 => 0,
            _ => have.max(0) / n,
        };
        one(self.cpu, need.cpu)
            .min(one(self.gpu, need.gpu))
            .min(one(self.mem, need.mem))
            .min(1_000_000)
    }
    /// The first part, by its name for users, that this has too little of.
    pub fn first_lacking(&self, need: &Resources) -> Option<&'static str> {
        let parts = [
            ("Vcpus", self.cpu, need.cpu),
            ("Accelerators", self.gpu, need.gpu),
            ("RamGb", self.mem, need.mem),
        ];
        let short = parts.into_iter().find(|(_, have, need)| have < need);
        short.map(|(name, ..)| name)
    }
    pub fn scaled(&self, n: i64) -> Resources {
        Resources {
            cpu: self.cpu * n,
            gpu: self.gpu * n,
            mem: self.mem * n,
        }
    }
    pub fn scaled_f64(&self, n: f64) -> Resources {
        let one = |v: i64| (v as f64 * n) as i64;
        Resources {
            cpu: one(self.cpu),
            gpu: one(self.gpu),
            mem: one(self.mem),
        }
    }
    pub fn at_least_zero(self) -> Resources {
        Resources {
            cpu: self.cpu.max(0),
            gpu: self.gpu.max(0),
            mem: self.mem.max(0),
        }
    }
    /// There is enough of each part that is asked for.
    pub fn covers(&self, need: &Resources) -> bool {
        let one = |have: i64, n: i64| n <= 0 || have >= n;
        one(self.cpu, need.cpu) && one(self.gpu, need.gpu) && one(self.mem, need.mem)
    }
    /// The part of which `need` takes the largest share of this.
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
    pub fn minus(mut self, o: &Resources) -> Resources {
        self -= *o;
        self
    }
    /// Share of `whole` that is left of what was asked for, by the part of
    /// which most is left.
    pub fn largest_free_share(&self, whole: &Resources, asked: &Resources) -> f64 {
        let one = |left: i64, n: i64| if n > 0 { left } else { 0 };
        let left = Resources {
            cpu: one(self.cpu, asked.cpu),
            gpu: one(self.gpu, asked.gpu),
            mem: one(self.mem, asked.mem),
        };
        left.dominant_share_of(whole)
    }
    /// Share of `whole` that this is, by the part of which there is least.
    pub fn smallest_share_of(&self, whole: &Resources) -> f64 {
        let one = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 1.0 };
        one(self.cpu, whole.cpu)
            .min(one(self.gpu, whole.gpu))
            .min(one(self.mem, whole.mem))
    }
    /// Share of `whole` that this is, by its scarcest part.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        let one = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
        one(self.cpu, whole.cpu)
            .max(one(self.gpu, whole.gpu))
            .max(one(self.mem, whole.mem))
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
    fn add_assign(&mut self, o: Resources) {
        self.cpu += o.cpu;
        self.gpu += o.gpu;
        self.mem += o.mem;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        self.cpu -= o.cpu;
        self.gpu -= o.gpu;
        self.mem -= o.mem;
    }
}
