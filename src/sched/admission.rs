//! Admission control: which submissions are rejected, and with which status.

use super::job::{Job, MIN_PART_TASKS, ReplyKind, compact_part_size, part_size};
use crate::ids::{JobId, Zone};
use crate::store::RecordFormat;
use crate::time::Time;
use crate::wire::peer::{Answer, Request};

use super::Resources;
use super::Scheduler;
use super::dependency_ids::DependencyIds;
use crate::settings::LimitValues;
use crate::store::limits::{MAX_TXN_BYTES, VALUE_MARGIN_BYTES, VALUE_OVERHEAD_BYTES};
use crate::store::pieces::RecordLimits;
use crate::wire::cloud::MachineType;
use crate::wire::user::{JobKind, JobSpec};

/// The response to a submission that names more unfinished jobs than its record can hold.
pub(super) fn too_many_dependencies() -> Answer {
    let text = "Awaits: too many jobs that are not done yet to be stored with this one";
    Answer::later(text, 5)
}

/// The submission that a job came from, less the dependencies that are done.
fn submission_of(job: &Job) -> Vec<u8> {
    let mut spec = job.spec.clone();
    spec.dependencies = job.needs.iter().cloned().collect();
    serde_json::to_vec(&spec).unwrap_or_default()
}

impl Scheduler {
    /// Why a job can never run, if so; `Err` if that can't be decided yet.
    pub(super) fn unsatisfiable(&self, spec: &JobSpec) -> Result<Option<String>, String> {
        let Some(limit) = self.teams.limit(&spec.team) else {
            return Ok(Some(format!("Crew: no team {}", spec.team)));
        };
        let need = Resources::of_task(spec);
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks as i64,
        };
        if let Some(part) = limit.first_lacking(&need.scaled(concurrent_tasks)) {
            return Ok(Some(format!("{part}: more than the team's limit")));
        }
        if self.machine_types.is_empty() {
            return Err("machine types are not known yet".into());
        }
        let allowed = |machine_type: &&MachineType| {
            spec.builds
                .as_ref()
                .is_none_or(|b| b.contains(&machine_type.build))
        };
        let types: Vec<&MachineType> = self.machine_types.values().filter(allowed).collect();
        if types.is_empty() {
            return Ok(Some("Builds: no such machine type".into()));
        }
        let lacking: Vec<_> = types
            .iter()
            .map(|machine_type| Resources::of_machine_type(machine_type).first_lacking(&need))
            .collect();
        if lacking.iter().all(Option::is_some) {
            let part = lacking.into_iter().flatten().next().unwrap_or("Vcpus");
            return Ok(Some(format!("{part}: more than any allowed machine has")));
        }
        let fitting = types
            .iter()
            .filter(|machine_type| Resources::of_machine_type(machine_type).fits(&need));
        let mut zones: Vec<Option<&Zone>> = vec![];
        for machine_type in fitting {
            match machine_type.zones.is_empty() {
                // No zones given: it could be any.
                true => zones.extend([None, None]),
                false => zones.extend(machine_type.zones.iter().map(Some)),
            }
        }
        let wanted = |zone: &&Option<&Zone>| match (zone, &spec.zone) {
            (Some(zone), Some(only)) => *zone == only,
            _ => true,
        };
        let zones: Vec<_> = zones.iter().filter(wanted).collect();
        if zones.is_empty() {
            return Ok(Some("Yard: no machine there has room for a task".into()));
        }
        let distinct =
            zones.len() > 1 && zones.iter().any(|zone| *zone != zones[0] || zone.is_none());
        let one = spec.one_zone || spec.zone.is_some() || !distinct;
        if spec.spread && one && concurrent_tasks > 1 {
            return Ok(Some("Scatter: all tasks would be in one zone".into()));
        }
        Ok(None)
    }

    pub(super) fn new_job(&self, now: Time, spec: JobSpec) -> Job {
        let part_tasks = match self.record_format {
            RecordFormat::Legacy => part_size(self.config.value_kb),
            RecordFormat::Compact => {
                compact_part_size(self.smallest_record_limits().max_value_bytes)
            }
        };
        let with_part_size = |size| Job::new(spec.clone(), self.next_seq, now, self.wall, size);
        let mut job = with_part_size(part_tasks);
        // With long names in the record fewer tasks fit.
        while !self.fits_smallest(&job) && job.part_size > MIN_PART_TASKS {
            job = with_part_size(job.part_size - MIN_PART_TASKS);
        }
        job
    }

    /// Whether its first record fits the smallest limits that are known, whatever happens to
    /// its tasks.
    fn fits_smallest(&self, job: &Job) -> bool {
        self.smallest_record_limits().admits(&job.largest_record())
    }

    /// The smallest limits that are announced, or that the state service has been found to
    /// have.
    fn smallest_record_limits(&self) -> RecordLimits {
        let limits = LimitValues {
            value_kb: self.config.value_kb.min(self.config.min_limits.value_kb),
            ..self.config.min_limits
        };
        let announced = RecordLimits {
            max_value_bytes: limits.value_bytes().saturating_sub(VALUE_MARGIN_BYTES),
            max_values: limits.max_record_changes(),
        };
        self.lowered_limits
            .map_or(announced, |lowered| announced.min(lowered))
    }

    /// The state service has been found to have these limits, which are lower than before.
    pub fn lower_record_limits(&mut self, limits: RecordLimits) {
        self.lowered_limits = Some(limits);
    }

    /// Drops a job that was never stored, since the state service can't hold its first
    /// record any more: its user gets the answer of a job that is too large. False if the
    /// job has to be kept, as it is stored or some of its tasks may have started.
    pub fn refuse_unstorable(&mut self, now: Time, id: &JobId) -> bool {
        let is_new = |job: &&Job| job.parts[0].stored_version == 0 && job.closing_state.is_none();
        if self.jobs.get(id).filter(is_new).is_none() {
            return false;
        }
        self.stop_all(now, id);
        if self.jobs.get(id).is_none_or(|job| !job.active.is_empty()) {
            return false;
        }
        self.withdraw_from_parents(id);
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        tracing::warn!(job = %id, "new job exceeds the state service limits; refused");
        self.write_queue.changed.insert(id.clone());
        let body = submission_of(&job);
        for (_, req, reply) in job.waiters {
            match reply {
                ReplyKind::Accept | ReplyKind::Known => {
                    self.look_up_final(now, req, id.clone(), Request::Submit(body.clone()));
                }
                ReplyKind::Cancel | ReplyKind::Hold(_) => {
                    self.look_up_final(now, req, id.clone(), Request::Poll(id.to_string()));
                }
            }
        }
        true
    }

    /// Whether the job's first record exceeds the limits of the state service, current or
    /// announced.
    pub(super) fn too_large(&self, job: &Job) -> bool {
        if !self.fits_smallest(job) {
            return true;
        }
        if self.record_format == RecordFormat::Compact {
            return false;
        }
        let limits = LimitValues {
            value_kb: self.config.value_kb,
            ..self.config.min_limits
        };
        let room = limits
            .value_bytes()
            .min(MAX_TXN_BYTES - VALUE_OVERHEAD_BYTES);
        job.largest_legacy_record().to_string().len() > room
    }

    /// Whether its first record would fit but for the names of unfinished jobs. Their number
    /// falls with time, so the job is not rejected for good.
    pub(super) fn has_too_many_dependencies(&self, job: &Job) -> bool {
        if job.needs.is_empty() || !self.too_large(job) {
            return false;
        }
        let mut without = job.clone();
        without.needs = DependencyIds::default();
        !self.too_large(&without)
    }

    /// The response to a submission that would be rejected, once it is known that no job of
    /// that name exists.
    pub(super) fn refusal_answer(&self, now: Time, body: &[u8]) -> Answer {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(e) => return Answer::error(400, &e),
        };
        if spec.dependencies.contains(&spec.id) {
            return Answer::error(422, "Awaits: a job can't need itself");
        }
        match self.unsatisfiable(&spec) {
            Ok(Some(text)) => Answer::error(422, &text),
            Ok(None) if self.has_too_many_dependencies(&self.new_job(now, spec.clone())) => {
                too_many_dependencies()
            }
            Ok(None) if self.too_large(&self.new_job(now, spec)) => {
                let text = "Builds: the job's description is too large to be stored";
                Answer::error(400, text)
            }
            _ => Answer::later("the machine types or limits have changed", 1),
        }
    }
}
