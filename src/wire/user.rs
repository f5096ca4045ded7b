//! Messages of the user API.

use crate::ids::{Class, Image, JobId, MachineTypeId, Team, Zone};
use hookworks_job_lifecycle::{HistoryEntry, Hold, JobEvent};
use hookworks_listing::Line;
use serde::{Deserialize, Deserializer, Serialize, de};
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Longest duration in seconds, and largest image in GB, of a job.
const MAX_AMOUNT: f64 = 1e9;
/// Needed jobs that a line of a list names.
const MAX_LISTED_DEPENDENCIES: usize = 10;
/// Most conditions that a job may wait for.
pub const MAX_START_CONDITIONS: usize = 16;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Id")]
    pub id: JobId,
    #[serde(rename = "Jobline")]
    pub class: Class,
    #[serde(rename = "Crew")]
    pub team: Team,
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    #[serde(rename = "Pieces")]
    pub tasks: u32,
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    #[serde(rename = "Accelerators")]
    pub gpus: f64,
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    #[serde(rename = "Bundle")]
    pub image: Image,
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    #[serde(rename = "Builds", default, skip_serializing_if = "Option::is_none")]
    pub builds: Option<Vec<MachineTypeId>>,
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    #[serde(rename = "Scatter")]
    pub spread: bool,
    #[serde(rename = "Lendable")]
    pub spot: bool,
    #[serde(rename = "GuessS")]
    pub estimate_s: f64,
    #[serde(rename = "BookmarkS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StowS")]
    pub save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// A task that runs longer is told to save its progress and end; extension of this
    /// project.
    #[serde(rename = "LimitS", default, skip_serializing_if = "Option::is_none")]
    pub limit_s: Option<f64>,
    /// Conditions on other jobs that must be met before any task starts; extension of
    /// this project.
    #[serde(rename = "After", default, skip_serializing_if = "Vec::is_empty")]
    pub start_conditions: Vec<StartCondition>,
    /// Jobs of any team that must be done before any task of this one starts
    /// (DAG dependency). Empty in records: unmet dependencies are stored beside the spec.
    #[serde(
        rename = "Awaits",
        default,
        deserialize_with = "deserialize_job_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// A list of well-formed ids, each once; null is none.
fn deserialize_job_ids<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<JobId>, D::Error> {
    let names = Option::<Vec<String>>::deserialize(d)?.unwrap_or_default();
    let mut ids = BTreeSet::new();
    for name in names {
        if !JobId::is_well_formed(&name) {
            return Err(de::Error::custom("must be a list of ids, job- and digits"));
        }
        ids.insert(JobId::from(name.as_str()));
    }
    Ok(ids.into_iter().collect())
}

/// A condition on another job of the same team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCondition {
    #[serde(rename = "Job")]
    pub job: JobId,
    #[serde(rename = "When")]
    pub when: ConditionTrigger,
    /// Each task waits for the task of the same number, not for all.
    #[serde(rename = "Each", default, skip_serializing_if = "is_false")]
    pub each: bool,
}

fn is_false(b: &bool) -> bool {
    !*b
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

/// What a job may wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionTrigger {
    /// A task of it has run.
    Start,
    /// It is over, done or cancelled.
    End,
    /// It is done.
    Success,
    /// It is cancelled, or held for having failed too often.
    Failure,
}

impl std::fmt::Display for ConditionTrigger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ConditionTrigger::Start => "start",
            ConditionTrigger::End => "end",
            ConditionTrigger::Success => "success",
            ConditionTrigger::Failure => "failure",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

/// From the most to the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "production")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl JobState {
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "cancelled",
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobView {
    #[serde(rename = "Id")]
    pub id: JobId,
    #[serde(rename = "Status")]
    pub state: JobState,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
}

/// The answer to a hold or a release that is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HoldView {
    #[serde(flatten)]
    pub job: JobView,
    #[serde(rename = "Held")]
    pub held: bool,
}

/// Run time multiplied by the resources of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceSeconds {
    #[serde(rename = "CpuS")]
    pub cpu: f64,
    #[serde(rename = "AcceleratorS")]
    pub accelerator: f64,
    #[serde(rename = "MemoryGbS")]
    pub memory_gb: f64,
}

/// A job whole, for operators and consoles. Times of day in milliseconds since
/// 1970; of a job from before there were histories only the state is known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobDetail {
    #[serde(flatten)]
    pub job: JobView,
    #[serde(rename = "Class")]
    pub class: Class,
    #[serde(rename = "Team")]
    pub team: Team,
    #[serde(rename = "Tasks")]
    pub tasks: u32,
    #[serde(rename = "SubmittedMs")]
    pub submitted_ms: u64,
    #[serde(
        rename = "FirstStartMs",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub first_start_ms: Option<u64>,
    #[serde(rename = "EndedMs", default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    #[serde(rename = "DueMs", default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    #[serde(rename = "Holds", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<Hold>,
    /// Jobs that are to be done before this one starts; the first of them.
    #[serde(rename = "Awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// How many there are.
    #[serde(rename = "AwaitsCount", default, skip_serializing_if = "is_zero")]
    pub dependency_count: usize,
    /// The job that it needed and whose cancellation cancelled it.
    #[serde(
        rename = "CancelledWith",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub cancelled_with: Option<JobId>,
    #[serde(rename = "Counts", default)]
    pub counts: BTreeMap<JobEvent, u32>,
    #[serde(rename = "Useful", default)]
    pub useful: ResourceSeconds,
    #[serde(rename = "Lost", default)]
    pub lost: ResourceSeconds,
    #[serde(rename = "History", default)]
    pub history: Vec<HistoryEntry>,
}

impl JobDetail {
    /// The line of a list. Whether an unfinished job is late depends on when
    /// it is read.
    pub fn into_line(self) -> Line {
        let count = |w: JobEvent| self.counts.get(&w).copied().unwrap_or(0);
        let hold = |h: &Hold| match h.why.as_str() {
            "" => h.by.clone(),
            why => format!("{}: {why}", h.by),
        };
        let awaits = self.dependencies.iter().take(MAX_LISTED_DEPENDENCIES);
        Line {
            id: self.job.id.to_string(),
            status: self.job.state.as_str().into(),
            class: self.class.to_string(),
            team: self.team.to_string(),
            tasks: self.tasks,
            done: self.job.done,
            running: self.job.running,
            failures: count(JobEvent::Failed) + count(JobEvent::TimedOut) + count(JobEvent::Lost),
            submitted_ms: self.submitted_ms,
            first_start_ms: self.first_start_ms,
            ended_ms: self.ended_ms,
            due_ms: self.due_ms,
            late: matches!((self.due_ms, self.ended_ms), (Some(d), Some(e)) if e > d),
            held: self.held.iter().map(hold).collect(),
            awaits: awaits.map(JobId::to_string).collect(),
            awaits_count: self.dependency_count,
            cancelled_with: self.cancelled_with.as_ref().map(JobId::to_string),
        }
    }
}

/// The field of a submission with the jobs that have to be done before it starts.
const DEPENDENCIES_FIELD: &str = "Awaits";

/// Whether a submission names jobs that have to be done before it starts. A version
/// that doesn't know the field would take it for a job that may start at once.
pub fn has_dependencies(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Submission {
        #[serde(rename = "Awaits", default)]
        awaits: serde_json::Value,
    }
    // The name of a field may be written with escapes.
    let named = body
        .windows(DEPENDENCIES_FIELD.len())
        .any(|w| w == DEPENDENCIES_FIELD.as_bytes());
    if !named && !body.contains(&b'\\') {
        return false;
    }
    match serde_json::from_slice::<Submission>(body).map(|s| s.awaits) {
        Ok(serde_json::Value::Null) => false,
        Ok(serde_json::Value::Array(jobs)) => !jobs.is_empty(),
        // A version that knows the field reports the malformed value.
        Ok(_) => true,
        Err(_) => named,
    }
}

impl JobSpec {
    /// Reads a submission; the error names the field that is wrong.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        // serde would also take an array of all fields in their order.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err("body: must be a JSON object".into());
        }
        let mut de = serde_json::Deserializer::from_slice(body);
        let spec: JobSpec = serde_path_to_error::deserialize(&mut de).map_err(|e| e.to_string())?;
        de.end().map_err(|e| e.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !JobId::is_well_formed(self.id.as_str()) {
            return Err("Id: must be job- and digits".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("Pieces: must be 1 to {MAX_TASKS}"));
        }
        // No upper bound: a task that fits no machine gets an error of its own.
        let taken = [
            ("Vcpus", self.cpus),
            ("Accelerators", self.gpus),
            ("RamGb", self.memory_gb),
        ];
        for (field, v) in taken {
            if !v.is_finite() || v < 0.0 {
                return Err(format!("{field}: must be 0 or more"));
            }
        }
        let amounts = [
            ("SizeGb", self.image_gb),
            ("GuessS", self.estimate_s),
            ("BookmarkS", self.checkpoint_s),
            ("StowS", self.save_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, v) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&v) {
                return Err(format!("{field}: must be 0 to {MAX_AMOUNT}"));
            }
        }
        let names = [
            ("Jobline", self.class.as_str()),
            ("Crew", self.team.as_str()),
            ("Bundle", self.image.as_str()),
        ];
        for (field, v) in names {
            if v.is_empty() || v.len() > 200 {
                return Err(format!("{field}: must have 1 to 200 bytes"));
            }
        }
        if self
            .limit_s
            .is_some_and(|l| !l.is_finite() || !(1.0..=1e9).contains(&l))
        {
            return Err("LimitS: must be 1 or more".into());
        }
        if self.start_conditions.len() > MAX_START_CONDITIONS {
            return Err(format!("After: at most {MAX_START_CONDITIONS} conditions"));
        }
        if self.start_conditions.iter().filter(|a| a.each).count() > 1 {
            return Err("After.Each: at most one such condition".into());
        }
        for a in &self.start_conditions {
            if !JobId::is_well_formed(a.job.as_str()) {
                return Err("After.Job: must be job- and digits".into());
            }
            if a.each && (a.when != ConditionTrigger::Success || self.kind != JobKind::Array) {
                return Err("After.Each: only for arrays, and for success".into());
            }
            if a.job == self.id {
                return Err("After.Job: a job can't wait for itself".into());
            }
        }
        if self.builds.as_ref().is_some_and(|b| b.len() > 64) {
            return Err("Builds: at most 64 types".into());
        }
        Ok(())
    }
}
