//! Amounts of a machine, in thousandths, so that sums stay exact.

use crate::wire::cloud::MachineType;
use crate::wire::user::{JobSpec, MAX_TASKS};
use std::fmt;
use std::ops::{AddAssign, SubAssign};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    pub cpu: i64,
    pub gpu: i64,
    pub mem: i64,
}

/// Far above any sum of tasks, and far from the end of the range.
const UNLIMITED: i64 = i64::MAX / 4;
/// A submission may name any amount. More than that is no more than this, so that all
/// tasks of a job together stay within what is unlimited.
const MOST_OF_A_TASK: i64 = UNLIMITED / MAX_TASKS as i64;

fn up(v: f64) -> i64 {
    (v * 1000.0 - 1e-6).ceil() as i64
}

fn down(v: f64) -> i64 {
    (v * 1000.0 + 1e-6).floor() as i64
}

impl Room {
    /// What one task of the job takes, rounded up.
    pub fn of_task(s: &JobSpec) -> Room {
        Room {
            cpu: up(s.cpus).min(MOST_OF_A_TASK),
            gpu: up(s.gpus).min(MOST_OF_A_TASK),
            mem: up(s.memory_gb).min(MOST_OF_A_TASK),
        }
    }
    /// What a machine offers, rounded down.
    pub fn of_flavor(f: &MachineType) -> Room {
        Room {
            cpu: down(f.cpus),
            gpu: down(f.gpus),
            mem: down(f.memory_gb),
        }
    }
    /// A team's limit on CPUs and accelerators; memory has none, nor has a
    /// part that is given as 0: where only accelerators were limited, every
    /// job was once refused for its CPUs.
    pub fn limit(cpus: f64, gpus: f64) -> Room {
        let part = |v: f64| if v > 0.0 { down(v) } else { UNLIMITED };
        Room {
            cpu: part(cpus),
            gpu: part(gpus),
            mem: UNLIMITED,
        }
    }
    pub fn fits(&self, need: &Room) -> bool {
        self.times(need) > 0
    }
    /// How many tasks of this need fit.
    pub fn times(&self, need: &Room) -> i64 {
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
    pub fn lacks(&self, need: &Room) -> Option<&'static str> {
        let parts = [
            ("Vcpus", self.cpu, need.cpu),
            ("Accelerators", self.gpu, need.gpu),
            ("RamGb", self.mem, need.mem),
        ];
        let short = parts.into_iter().find(|(_, have, need)| have < need);
        short.map(|(name, ..)| name)
    }
    pub fn scaled(&self, n: i64) -> Room {
        Room {
            cpu: self.cpu * n,
            gpu: self.gpu * n,
            mem: self.mem * n,
        }
    }
    pub fn times_f64(&self, n: f64) -> Room {
        let one = |v: i64| (v as f64 * n) as i64;
        Room {
            cpu: one(self.cpu),
            gpu: one(self.gpu),
            mem: one(self.mem),
        }
    }
    pub fn at_least_zero(self) -> Room {
        Room {
            cpu: self.cpu.max(0),
            gpu: self.gpu.max(0),
            mem: self.mem.max(0),
        }
    }
    /// There is enough of each part that is asked for.
    pub fn covers(&self, need: &Room) -> bool {
        let one = |have: i64, n: i64| n <= 0 || have >= n;
        one(self.cpu, need.cpu) && one(self.gpu, need.gpu) && one(self.mem, need.mem)
    }
    /// The part of which `need` takes the largest share of this.
    pub fn scarcest(&self, need: &Room) -> fn(&Room) -> i64 {
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
    pub fn minus(mut self, o: &Room) -> Room {
        self -= *o;
        self
    }
    /// Share of `whole` that is left of what was asked for, by the part of
    /// which most is left.
    pub fn share_left(&self, whole: &Room, asked: &Room) -> f64 {
        let one = |left: i64, n: i64| if n > 0 { left } else { 0 };
        let left = Room {
            cpu: one(self.cpu, asked.cpu),
            gpu: one(self.gpu, asked.gpu),
            mem: one(self.mem, asked.mem),
        };
        left.share_of(whole)
    }
    /// Share of `whole` that this is, by the part of which there is least.
    pub fn least_share_of(&self, whole: &Room) -> f64 {
        let one = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 1.0 };
        one(self.cpu, whole.cpu)
            .min(one(self.gpu, whole.gpu))
            .min(one(self.mem, whole.mem))
    }
    /// Share of `whole` that this is, by its scarcest part.
    pub fn share_of(&self, whole: &Room) -> f64 {
        let one = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
        one(self.cpu, whole.cpu)
            .max(one(self.gpu, whole.gpu))
            .max(one(self.mem, whole.mem))
    }
}

/// CPUs, accelerators and memory, in whole units.
impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cpu, gpu, mem) = (self.cpu / 1000, self.gpu / 1000, self.mem / 1000);
        write!(f, "{cpu}/{gpu}/{mem}")
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, o: Room) {
        self.cpu += o.cpu;
        self.gpu += o.gpu;
        self.mem += o.mem;
    }
}

impl SubAssign for Room {
    fn sub_assign(&mut self, o: Room) {
        self.cpu -= o.cpu;
        self.gpu -= o.gpu;
        self.mem -= o.mem;
    }
}
