//! Whether a submission can be taken: what is refused, and as what.

use super::job::{Job, LATER, LEAST_PART, compact_part_size, part_size};
use super::needs::Needs;
use super::{Room, Sched};
use crate::ids::Zone;
use crate::store::RecordFormat;
use crate::store::limits::VALUE_MARGIN_BYTES;
use crate::time::Time;
use crate::wire::cloud::MachineType;
use crate::wire::peer::Answer;
use crate::wire::user::{JobKind, JobSpec};

/// The answer to a submission that names more unfinished jobs than its record holds.
pub(super) fn too_many_names() -> Answer {
    let text = "Awaits: too many jobs that are not done yet to be stored with this one";
    Answer::later(text, 5)
}

impl Sched {
    /// Why a job can never run, if so; `Err` when that can't be told yet.
    pub(super) fn never_runs(&self, s: &JobSpec) -> Result<Option<String>, String> {
        let Some(limit) = self.teams.limit(&s.team) else {
            return Ok(Some(format!("Crew: no team {}", s.team)));
        };
        let need = Room::of_task(s);
        let at_once = match s.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => s.tasks as i64,
        };
        if let Some(part) = limit.lacks(&need.scaled(at_once)) {
            return Ok(Some(format!("{part}: more than the team's limit")));
        }
        if self.flavors.is_empty() {
            return Err("machine types are not known yet".into());
        }
        let allowed = |f: &&MachineType| s.builds.as_ref().is_none_or(|b| b.contains(&f.build));
        let types: Vec<&MachineType> = self.flavors.values().filter(allowed).collect();
        if types.is_empty() {
            return Ok(Some("Builds: no such machine type".into()));
        }
        let lacks: Vec<_> = types
            .iter()
            .map(|f| Room::of_flavor(f).lacks(&need))
            .collect();
        if lacks.iter().all(Option::is_some) {
            let part = lacks.into_iter().flatten().next().unwrap_or("Vcpus");
            return Ok(Some(format!("{part}: more than any allowed machine has")));
        }
        let fitting = types.iter().filter(|f| Room::of_flavor(f).fits(&need));
        let mut zones: Vec<Option<&Zone>> = vec![];
        for f in fitting {
            match f.zones.is_empty() {
                // Not told: it could be any.
                true => zones.extend([None, None]),
                false => zones.extend(f.zones.iter().map(Some)),
            }
        }
        let wanted = |z: &&Option<&Zone>| match (z, &s.zone) {
            (Some(z), Some(only)) => *z == only,
            _ => true,
        };
        let zones: Vec<_> = zones.iter().filter(wanted).collect();
        if zones.is_empty() {
            return Ok(Some("Yard: no machine there has room for a task".into()));
        }
        let distinct = zones.len() > 1 && zones.iter().any(|z| *z != zones[0] || z.is_none());
        let one = s.one_zone || s.zone.is_some() || !distinct;
        if s.spread && one && at_once > 1 {
            return Ok(Some("Scatter: all tasks would be in one zone".into()));
        }
        Ok(None)
    }

    pub(super) fn new_job(&self, now: Time, spec: JobSpec) -> Job {
        let usual = match self.record_format {
            RecordFormat::Legacy => part_size(self.cfg.value_kb),
            RecordFormat::Compact => compact_part_size(self.smallest_value()),
        };
        let of_size = |size| Job::new(spec.clone(), self.next_seq, now, self.wall, size);
        let mut job = of_size(usual);
        // Beside long names fewer tasks fit.
        while !self.fits_smallest(&job) && job.part_size > LEAST_PART {
            job = of_size(job.part_size - LEAST_PART);
        }
        job
    }

    /// Its first record can be written under the smallest limits that are known to
    /// come, whatever becomes of its tasks.
    fn fits_smallest(&self, job: &Job) -> bool {
        job.most_values(self.smallest_value()) <= self.cfg.smallest.txn_ops
    }

    /// Bytes of the smallest value that is known to come.
    fn smallest_value(&self) -> usize {
        let kb = self.cfg.value_kb.min(self.cfg.smallest.value_kb);
        ((kb * 1024.0) as usize).saturating_sub(VALUE_MARGIN_BYTES)
    }

    /// The state service would not take the job's first record, now or under the
    /// smaller limits of later.
    pub(super) fn too_large(&self, job: &Job) -> bool {
        if !self.fits_smallest(job) {
            return true;
        }
        if self.record_format == RecordFormat::Compact {
            return false;
        }
        let size = part_size(self.cfg.value_kb);
        let room = (self.cfg.value_kb * 1024.0) as usize;
        let first = job.encode(0).to_string().len() + LATER;
        first + size.min(job.spec.tasks) as usize * 42 > room
    }

    /// Its first record would be small enough but for the names of jobs that are not
    /// done. They become fewer with time, so it is no reason to refuse the job for good.
    pub(super) fn names_too_many(&self, job: &Job) -> bool {
        if job.needs.is_empty() || !self.too_large(job) {
            return false;
        }
        let mut without = job.clone();
        without.needs = Needs::default();
        !self.too_large(&without)
    }

    /// What a submission gets that would be refused, now that nothing is known of
    /// a job of that name.
    pub(super) fn refusal(&self, now: Time, body: &[u8]) -> Answer {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(e) => return Answer::error(400, &e),
        };
        if spec.dependencies.contains(&spec.id) {
            return Answer::error(422, "Awaits: a job can't need itself");
        }
        match self.never_runs(&spec) {
            Ok(Some(text)) => Answer::error(422, &text),
            Ok(None) if self.names_too_many(&self.new_job(now, spec.clone())) => too_many_names(),
            Ok(None) if self.too_large(&self.new_job(now, spec)) => {
                let text = "Builds: the job's description is too large to be stored";
                Answer::error(400, text)
            }
            _ => Answer::later("the machine types have changed", 1),
        }
    }
}
