//! Look-up of the jobs that a submission names, before it is accepted.
//!
//! The leader knows jobs that are active, recently finished, or stored with an unreadable
//! record. Any other is read from the store: a consistent read of its final state tells how
//! it ended or, since all unfinished jobs were loaded, that it was never accepted.

use super::job::Final;
use super::{Effect, Scheduler};
use crate::ids::{JobId, RequestId};
use crate::store::budget::Budget;
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{JobKind, JobSpec, JobState, StartCondition};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum reads of other jobs' records in flight for submissions.
const MAX_READS: usize = 64;
/// Maximum reads in flight for one submission that names more jobs than `MAX_READS`.
const MAX_READS_PER_SUBMISSION: usize = 16;
/// Such a submission is answered after this time; its user retries.
const MAX_LOOKUP_TIME: Span = Span(3_000_000);
/// How long its results are cached for the retry, and for how many submissions.
const CACHE_TTL: Span = Span(90_000_000);
const MAX_CACHED: usize = 16;

/// Results by job: its final state, and its team if the record contains it.
type FoundJobs = HashMap<JobId, (Final, Option<String>)>;

/// A submission that names jobs of which the leader does not know all.
struct Lookup {
    spec: JobSpec,
    body: Vec<u8>,
    since: Time,
    to_read: BTreeSet<JobId>,
    reading: BTreeSet<JobId>,
    found: FoundJobs,
    /// It has been answered; only reads are still in flight.
    answered: bool,
}

/// Look-ups in flight, and the cached results of those that took too long.
pub(super) struct Lookups {
    in_flight: BTreeMap<RequestId, Lookup>,
    cached: BTreeMap<JobId, (Time, FoundJobs)>,
    /// Budget of submissions that name more jobs than may be read at once.
    budget: Budget,
}

impl Lookups {
    /// Creates an empty set with at most `reads_per_s` reads per second for large
    /// submissions.
    pub fn new(reads_per_s: f64) -> Lookups {
        Lookups {
            in_flight: BTreeMap::new(),
            cached: BTreeMap::new(),
            budget: Budget::new(reads_per_s, reads_per_s.max(1.0)),
        }
    }

    /// Reads that are in flight or will be sent regardless of the budget.
    fn reads(&self) -> usize {
        let lookup_reads = |lookup: &Lookup| match lookup.is_large() {
            true => lookup.reading.len(),
            false => lookup.reading.len() + lookup.to_read.len(),
        };
        self.in_flight.values().map(lookup_reads).sum()
    }

    fn cache(&mut self, now: Time, id: &JobId, found: FoundJobs) {
        self.cached.insert(id.clone(), (now, found));
        while self.cached.len() > MAX_CACHED {
            let oldest = self.cached.iter().min_by_key(|(_, (since, _))| *since);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.cached.remove(&id);
        }
    }
}

impl Lookup {
    fn is_large(&self) -> bool {
        self.to_read.len() + self.reading.len() + self.found.len() > MAX_READS
    }
}

impl Scheduler {
    /// Looks up the jobs that a submission names. Returns true if the submission is answered
    /// or waits for reads, false if it can proceed.
    pub(super) fn look_up_referenced(
        &mut self,
        now: Time,
        req: RequestId,
        spec: &JobSpec,
        body: &[u8],
    ) -> bool {
        if spec.start_conditions.is_empty() && spec.dependencies.is_empty() {
            return false;
        }
        if !spec.dependencies.is_empty() && !self.accepts_dependencies() {
            let text = "Awaits: not before every controller runs this version";
            self.answer(req, Answer::later(text, 1));
            return true;
        }
        if spec.dependencies.contains(&spec.id) {
            // Rejected, unless it was accepted by a version without dependencies.
            self.look_up_final(now, req, spec.id.clone(), Request::Submit(body.to_vec()));
            return true;
        }
        let found = self.submission_lookups.cached.remove(&spec.id);
        let found = found.map(|(_, found)| found).unwrap_or_default();
        let mut to_read = self.unknown_names(spec);
        to_read.retain(|id| !found.contains_key(id));
        if to_read.is_empty() {
            return self.refuse_references(req, spec, &found);
        }
        // Its own record is read as well: a repeated submission is never rejected.
        to_read.insert(spec.id.clone());
        let look_up = Lookup {
            spec: spec.clone(),
            body: body.to_vec(),
            since: now,
            to_read,
            reading: BTreeSet::new(),
            found,
            answered: false,
        };
        let reads = self.submission_lookups.reads();
        if !look_up.is_large() && reads + look_up.to_read.len() > MAX_READS {
            self.answer(req, Answer::later("too many look-ups at a time", 1));
            return true;
        }
        let all = &mut self.submission_lookups.in_flight;
        all.insert(req, look_up);
        self.read_referenced(now, req);
        true
    }

    fn unknown_names(&self, spec: &JobSpec) -> BTreeSet<JobId> {
        // Start conditions need the team of a finished job, which only its record contains.
        let conditions = spec.start_conditions.iter().map(|condition| &condition.job);
        let conditions = conditions.filter(|id| !self.jobs.contains_key(id));
        let needs = spec.dependencies.iter().filter(|id| !self.is_known(id));
        conditions.chain(needs).cloned().collect()
    }

    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.finals.contains_key(id)
            || self.unreadable.contains_key(id)
    }

    /// Sends as many reads for a submission as may be in flight.
    fn read_referenced(&mut self, now: Time, req: RequestId) {
        let all = &mut self.submission_lookups;
        let reads = all.reads();
        let Some(lookup) = all
            .in_flight
            .get_mut(&req)
            .filter(|lookup| !lookup.answered)
        else {
            return;
        };
        let large = lookup.is_large();
        let max_reads = match large {
            true => {
                MAX_READS_PER_SUBMISSION.min(MAX_READS.saturating_sub(reads) + lookup.reading.len())
            }
            false => MAX_READS,
        };
        while lookup.reading.len() < max_reads && (!large || all.budget.has(now, 1.0)) {
            let Some(id) = lookup.to_read.pop_first() else {
                return;
            };
            if large {
                all.budget.take(now, 1.0);
            }
            lookup.reading.insert(id.clone());
            self.effects.push(Effect::ReadRecord(req, id));
        }
    }

    /// Handles a record that was read. Returns true if a submission waited for it.
    pub(super) fn referenced_read(
        &mut self,
        now: Time,
        req: RequestId,
        id: &JobId,
        result: &Result<Option<Value>, ()>,
    ) -> bool {
        let all = &mut self.submission_lookups;
        let Some(lookup) = all.in_flight.get_mut(&req) else {
            return false;
        };
        lookup.reading.remove(id);
        let mut absent = false;
        match result {
            Err(()) if !lookup.answered => {
                lookup.answered = true;
                self.answer(req, Answer::later("the state service does not answer", 1));
            }
            Err(()) => {}
            Ok(Some(record)) => match serde_json::from_value::<Final>(record.clone()) {
                Ok(final_state) => {
                    let team = record["j"]["t"].as_str().map(str::to_string);
                    lookup.found.insert(id.clone(), (final_state, team));
                }
                Err(_) => tracing::error!(job = %id, "final record can't be decoded"),
            },
            Ok(None) => absent = *id != lookup.spec.id,
        }
        if absent {
            // This is enough to reject it; only its own record is read first.
            self.stop_reading(req);
        }
        self.read_referenced(now, req);
        let all = &mut self.submission_lookups.in_flight;
        let over = |lookup: &Lookup| {
            lookup.reading.is_empty() && (lookup.answered || lookup.to_read.is_empty())
        };
        if all.get(&req).is_some_and(over)
            && let Some(lookup) = all.remove(&req)
        {
            self.finish_lookup(now, req, lookup);
        }
        true
    }

    fn stop_reading(&mut self, req: RequestId) {
        let all = &mut self.submission_lookups.in_flight;
        if let Some(lookup) = all.get_mut(&req) {
            let own = lookup.to_read.take(&lookup.spec.id);
            lookup.to_read.clear();
            lookup.to_read.extend(own);
        }
    }

    /// Continues or answers a submission whose reads have all finished.
    fn finish_lookup(&mut self, now: Time, req: RequestId, lookup: Lookup) {
        if lookup.answered {
            return self
                .submission_lookups
                .cache(now, &lookup.spec.id, lookup.found);
        }
        if let Some((final_state, _)) = lookup.found.get(&lookup.spec.id) {
            // It finished long ago.
            let final_state = *final_state;
            self.cache_final(&lookup.spec.id, final_state);
            self.handle_request(now, req, Request::Submit(lookup.body));
        } else if !self.may_start(now) {
            self.answer_unconfirmed(req);
        } else if self.jobs.contains_key(&lookup.spec.id) {
            // Submitted meanwhile by another request.
            self.handle_request(now, req, Request::Submit(lookup.body));
        } else if !self.refuse_references(req, &lookup.spec, &lookup.found) {
            for (id, (final_state, _)) in &lookup.found {
                self.cache_final(id, *final_state);
            }
            let mut spec = lookup.spec;
            let done = |id: &JobId| {
                lookup
                    .found
                    .get(id)
                    .is_some_and(|final_state| final_state.0.state == JobState::Done)
            };
            spec.dependencies.retain(|id| !done(id));
            self.submit_resolved(now, req, spec, lookup.body);
        }
    }

    /// Continues large submissions and answers those that take too long.
    pub(super) fn continue_lookups(&mut self, now: Time) {
        let all = &mut self.submission_lookups;
        all.cached.retain(|_, (since, _)| now - *since < CACHE_TTL);
        let open = all.in_flight.iter().filter(|(_, lookup)| !lookup.answered);
        let requests: Vec<RequestId> = open.map(|(req, _)| *req).collect();
        for req in requests {
            self.read_referenced(now, req);
            let all = &mut self.submission_lookups.in_flight;
            let Some(lookup) = all.get_mut(&req) else {
                continue;
            };
            if !lookup.is_large() || now - lookup.since < MAX_LOOKUP_TIME {
                continue;
            }
            lookup.answered = true;
            let over = lookup.reading.is_empty();
            self.answer(req, Answer::later("the jobs named are being looked up", 1));
            if over && let Some(lookup) = self.submission_lookups.in_flight.remove(&req) {
                self.finish_lookup(now, req, lookup);
            }
        }
    }

    /// Rejects a submission whose named jobs don't allow it; true if it did.
    fn refuse_references(&mut self, req: RequestId, spec: &JobSpec, found: &FoundJobs) -> bool {
        // A job that is not stored yet may never be; then this one would wait forever.
        let names = spec
            .start_conditions
            .iter()
            .map(|condition| &condition.job)
            .chain(&spec.dependencies);
        let being_stored = |id: &JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.parts[0].stored_version == 0)
        };
        for id in names {
            if being_stored(id) {
                let text = format!("{id}, which it names, is being stored");
                self.answer(req, Answer::later(&text, 1));
                return true;
            }
        }
        let condition_error = spec
            .start_conditions
            .iter()
            .find_map(|condition| self.condition_error(spec, condition, found));
        let never = |id: &&JobId| !self.is_known(id) && !found.contains_key(*id);
        let unknown = spec.dependencies.iter().find(never);
        let unknown = unknown.map(|id| format!("Awaits: no job {id}"));
        if let Some(text) = condition_error.or(unknown) {
            self.answer(req, Answer::error(422, &text));
            return true;
        }
        false
    }

    /// Why a start condition is rejected, if it is.
    fn condition_error(
        &self,
        spec: &JobSpec,
        condition: &StartCondition,
        found: &FoundJobs,
    ) -> Option<String> {
        let team = match (self.jobs.get(&condition.job), found.get(&condition.job)) {
            (Some(job), _) => Some(job.spec.team.to_string()),
            (None, Some((_, team))) => team.clone(),
            (None, None) => return Some(format!("After: no job {}", condition.job)),
        };
        let tasks = self
            .jobs
            .get(&condition.job)
            .map(|job| (job.spec.tasks, job.spec.kind));
        if condition.each && tasks.is_some_and(|t| t != (spec.tasks, JobKind::Array)) {
            let text = format!(
                "After.Each: {} is no array of {} tasks",
                condition.job, spec.tasks
            );
            return Some(text);
        }
        // Records written before histories were introduced don't contain the team.
        if team.is_some_and(|t| t != spec.team.as_str()) {
            return Some(format!("After: {} is another team's", condition.job));
        }
        None
    }
}
