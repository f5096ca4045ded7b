//! Keys, values and conditions that are written for an entry of the write queue.

use super::super::pieces::{self, RecordLimits};
use super::super::{final_key, part_key};
use super::Committer;
use super::draft::{Draft, KeyWrite, SizedChange, WriteTarget};
use crate::ids::{JobId, Revision};
use crate::sched::job::{Final, Job};
use crate::store::RecordFormat;
use serde_json::Value;

impl Committer {
    /// The values of a part's record.
    pub(super) fn record_values(&self, job: &Job, part: usize) -> Vec<Value> {
        if self.format == RecordFormat::Legacy {
            return vec![job.encode_legacy(part, self.limits.value_bytes())];
        }
        let room = self.record_limits();
        pieces::split_record(job.encode_compact(part, room), room.max_value_bytes)
    }

    pub(super) fn record_limits(&self) -> RecordLimits {
        RecordLimits {
            max_value_bytes: self.limits.value_bytes(),
            max_values: self.limits.max_record_changes(),
        }
    }

    pub(super) fn part_write(
        &self,
        job: &Job,
        part: usize,
    ) -> (WriteTarget, Vec<KeyWrite>, Vec<SizedChange>) {
        let values = self.record_values(job, part);
        let keys: Vec<String> = pieces::record_keys(job.id(), part, values.len()).collect();
        let puts = keys.iter().cloned().zip(values);
        let puts = puts.map(|(key, value)| SizedChange::put(key, value));
        let puts = puts.collect();
        let keys = keys.into_iter().map(|key| KeyWrite { key, put: true });
        (
            WriteTarget::Part(part, job.parts[part].version),
            keys.collect(),
            puts,
        )
    }

    pub(super) fn final_write(
        &self,
        job: &Job,
        end: Final,
    ) -> (WriteTarget, Vec<KeyWrite>, Vec<SizedChange>) {
        let key = final_key(job.id());
        let mut change = SizedChange::put(key.clone(), job.final_record(end));
        if change.value_bytes > self.limits.value_bytes() {
            // The state must be stored even if long names make the record too large.
            let state = serde_json::to_value(end).unwrap_or_default();
            change = SizedChange::put(key.clone(), state);
        }
        let mut changes = vec![change];
        let first = part_key(job.id(), 0);
        // The first record identifies the job; without it the others are garbage.
        if self.revisions.contains_key(&first) {
            changes.push(SizedChange::delete(first.clone()));
        }
        // Without a known revision the job was never stored, as far as is known. Its
        // first write may still have been applied without a response: if left there,
        // the next leader would load the job in its initial state. The condition on
        // the key detects that.
        let keys = [(key, true), (first, false)];
        let keys = keys.map(|(key, put)| KeyWrite { key, put });
        (WriteTarget::End, keys.into(), changes)
    }

    pub(super) fn add_conditions(
        &self,
        draft: &mut Draft,
        job: &JobId,
        what: &WriteTarget,
        keys: &[KeyWrite],
    ) {
        for k in keys {
            draft.add_condition(k.key.clone(), self.revision(&k.key));
        }
        if let WriteTarget::Part(0, _) = what
            && self.revision(&keys[0].key) == Revision(0)
        {
            // A new job must not have a final state yet.
            draft.add_condition(final_key(job), Revision(0));
        }
    }
}
