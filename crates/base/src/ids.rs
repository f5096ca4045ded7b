//! Names, versions and counters as small types of their own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $t:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $t(Arc<str>);
        impl $t {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $t {
            fn from(s: &str) -> Self {
                $t(s.into())
            }
        }
        impl fmt::Display for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl Serialize for $t {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }
        impl<'de> Deserialize<'de> for $t {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                Ok($t(String::deserialize(d)?.into()))
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $t:ident, $n:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $t(pub $n);
        impl fmt::Display for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name!(/// A job, as its user named it.
    JobId);
name!(/// A rented machine, as the cloud named it.
    Host);
name!(/// A team with a guarantee and a limit.
    Team);
name!(/// A class of jobs, to which objectives apply.
    Class);
name!(/// A zone of the cloud.
    Zone);
name!(/// A machine type.
    MachineTypeId);
name!(/// A controller.
    ControllerId);
name!(/// An image that a task needs on its machine.
    Image);

number!(/// Distinguishes a process from an earlier one with the same label.
    Instance, u64);
number!(/// Fencing token of commands to a worker: the larger one wins.
    Token, u64);
number!(/// Protocol version of a controller; includes all smaller versions.
    ControllerVersion, u32);
number!(/// Epoch of a leadership; increases with each new leader.
    Epoch, u64);
number!(/// Number of one start of a task.
    Attempt, u64);
number!(/// A worker's session; a new one begins when its lease expires.
    Session, u64);
number!(/// Orders the reports of one session.
    Seq, u64);
number!(/// Revision of a stored key; 0 means that it does not exist.
    Revision, u64);
number!(/// Number of a task within its job.
    TaskIndex, u32);
number!(/// A pending request of a user or worker.
    RequestId, u64);
number!(/// A transaction in flight.
    TxnId, u64);
number!(/// A direct call to a worker in flight.
    CallId, u64);

impl JobId {
    /// Whether a name is `job-` followed by digits, as for all jobs of users.
    pub fn is_well_formed(s: &str) -> bool {
        s.len() <= 64
            && s.strip_prefix("job-")
                .is_some_and(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()))
    }
}

/// Number of tokens and attempts that one epoch may issue.
const NUMBERS_PER_EPOCH: u64 = 1 << 24;

impl Epoch {
    /// The first number of this epoch; later epochs have only larger ones.
    pub fn base(self) -> u64 {
        self.0 * NUMBERS_PER_EPOCH
    }
}

/// One task of a job: `job-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its number within the job.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = String::deserialize(d)?;
        let parsed = s
            .rsplit_once('/')
            .and_then(|(j, n)| Some((JobId::from(j), TaskIndex(n.parse().ok()?))));
        match parsed {
            Some((job, ix)) => Ok(TaskId { job, index: ix }),
            None => Err(serde::de::Error::custom("not a task id, JOB/NUMBER")),
        }
    }
}
