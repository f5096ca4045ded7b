//! Looking up the jobs that a submission names, before it is taken.
//!
//! A job that this leader knows is live, over and at hand, or on record though its
//! record can't be read. Any other is read: a consistent read of its final state says
//! what became of it, or, as all live jobs were loaded, that it was never accepted.

use super::job::Final;
use super::{Effect, Sched};
use crate::ids::{JobId, RequestId};
use crate::store::budget::Budget;
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{JobKind, JobSpec, JobState, StartCondition};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Reads of other jobs' records under way for submissions.
const MAX_READS: usize = 64;
/// The same for one submission that names more than that.
const READS_OF_ONE: usize = 16;
/// Such a submission is answered after so long; its user sends it again.
const ANSWER_WITHIN: Span = Span(3_000_000);
/// What was read for it is kept for so long, and for so many submissions.
const KEPT_FOR: Span = Span(90_000_000);
const KEPT: usize = 16;

/// What a record says of a job that is over: its end, and its team if that is told.
type Found = HashMap<JobId, (Final, Option<String>)>;

/// A submission that names jobs of which this leader does not know all.
struct LookUp {
    spec: JobSpec,
    body: Vec<u8>,
    since: Time,
    to_read: BTreeSet<JobId>,
    reading: BTreeSet<JobId>,
    found: Found,
    /// It has its answer; only reads are still under way.
    answered: bool,
}

/// Look-ups under way, and what those found that took too long.
pub(super) struct LookUps {
    under_way: BTreeMap<RequestId, LookUp>,
    kept: BTreeMap<JobId, (Time, Found)>,
    /// For submissions that name more jobs than may be read at once.
    budget: Budget,
}

impl LookUps {
    /// At most so many reads a second for large submissions.
    pub fn new(reads_per_s: f64) -> LookUps {
        LookUps {
            under_way: BTreeMap::new(),
            kept: BTreeMap::new(),
            budget: Budget::new(reads_per_s, reads_per_s.max(1.0)),
        }
    }

    /// Reads that are under way, or will be without regard to the budget.
    fn reads(&self) -> usize {
        let of_one = |l: &LookUp| match l.is_large() {
            true => l.reading.len(),
            false => l.reading.len() + l.to_read.len(),
        };
        self.under_way.values().map(of_one).sum()
    }

    fn keep(&mut self, now: Time, id: &JobId, found: Found) {
        self.kept.insert(id.clone(), (now, found));
        while self.kept.len() > KEPT {
            let oldest = self.kept.iter().min_by_key(|(_, (since, _))| *since);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.kept.remove(&id);
        }
    }
}

impl LookUp {
    fn is_large(&self) -> bool {
        self.to_read.len() + self.reading.len() + self.found.len() > MAX_READS
    }
}

impl Sched {
    /// Looks at the jobs that a submission names. True: it is answered, or
    /// waits for reads; false: go on with it.
    pub(super) fn look_up_named(
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
            // It is refused, unless it was accepted by a version that knew of no needs.
            self.look_up(now, req, spec.id.clone(), Request::Submit(body.to_vec()));
            return true;
        }
        let found = self.look_ups_for_submissions.kept.remove(&spec.id);
        let found = found.map(|(_, found)| found).unwrap_or_default();
        let mut to_read = self.unknown_names(spec);
        to_read.retain(|id| !found.contains_key(id));
        if to_read.is_empty() {
            return self.refuse_named(req, spec, &found);
        }
        // Its own record, too: a repeated submission is never refused.
        to_read.insert(spec.id.clone());
        let look_up = LookUp {
            spec: spec.clone(),
            body: body.to_vec(),
            since: now,
            to_read,
            reading: BTreeSet::new(),
            found,
            answered: false,
        };
        let reads = self.look_ups_for_submissions.reads();
        if !look_up.is_large() && reads + look_up.to_read.len() > MAX_READS {
            self.answer(req, Answer::later("too many look-ups at a time", 1));
            return true;
        }
        let all = &mut self.look_ups_for_submissions.under_way;
        all.insert(req, look_up);
        self.read_named(now, req);
        true
    }

    fn unknown_names(&self, spec: &JobSpec) -> BTreeSet<JobId> {
        // Of a job that is over its record says the team, which a condition asks for.
        let conditions = spec.start_conditions.iter().map(|a| &a.job);
        let conditions = conditions.filter(|id| !self.jobs.contains_key(id));
        let needs = spec.dependencies.iter().filter(|id| !self.is_known(id));
        conditions.chain(needs).cloned().collect()
    }

    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.finals.contains_key(id)
            || self.unreadable.contains_key(id)
    }

    /// Sends as many reads for a submission as may be under way.
    fn read_named(&mut self, now: Time, req: RequestId) {
        let all = &mut self.look_ups_for_submissions;
        let reads = all.reads();
        let Some(l) = all.under_way.get_mut(&req).filter(|l| !l.answered) else {
            return;
        };
        let large = l.is_large();
        let most = match large {
            true => READS_OF_ONE.min(MAX_READS.saturating_sub(reads) + l.reading.len()),
            false => MAX_READS,
        };
        while l.reading.len() < most && (!large || all.budget.has(now, 1.0)) {
            let Some(id) = l.to_read.pop_first() else {
                return;
            };
            if large {
                all.budget.take(now, 1.0);
            }
            l.reading.insert(id.clone());
            self.out.push(Effect::ReadRecord(req, id));
        }
    }

    /// A record that a submission waits for; true if it was one.
    pub(super) fn named_read(
        &mut self,
        now: Time,
        req: RequestId,
        id: &JobId,
        r: &Result<Option<Value>, ()>,
    ) -> bool {
        let all = &mut self.look_ups_for_submissions;
        let Some(l) = all.under_way.get_mut(&req) else {
            return false;
        };
        l.reading.remove(id);
        let mut absent = false;
        match r {
            Err(()) if !l.answered => {
                l.answered = true;
                self.answer(req, Answer::later("the state service does not answer", 1));
            }
            Err(()) => {}
            Ok(Some(v)) => match serde_json::from_value::<Final>(v.clone()) {
                Ok(f) => {
                    let team = v["j"]["t"].as_str().map(str::to_string);
                    l.found.insert(id.clone(), (f, team));
                }
                Err(_) => tracing::error!(job = %id, "a final record can't be read"),
            },
            Ok(None) => absent = *id != l.spec.id,
        }
        if absent {
            // Nothing more is needed to refuse it; its own record is read first.
            self.stop_reading(req);
        }
        self.read_named(now, req);
        let all = &mut self.look_ups_for_submissions.under_way;
        let over = |l: &LookUp| l.reading.is_empty() && (l.answered || l.to_read.is_empty());
        if all.get(&req).is_some_and(over)
            && let Some(l) = all.remove(&req)
        {
            self.looked_up(now, req, l);
        }
        true
    }

    fn stop_reading(&mut self, req: RequestId) {
        let all = &mut self.look_ups_for_submissions.under_way;
        if let Some(l) = all.get_mut(&req) {
            let own = l.to_read.take(&l.spec.id);
            l.to_read.clear();
            l.to_read.extend(own);
        }
    }

    /// All reads for a submission are over.
    fn looked_up(&mut self, now: Time, req: RequestId, l: LookUp) {
        if l.answered {
            return self.look_ups_for_submissions.keep(now, &l.spec.id, l.found);
        }
        if let Some((f, _)) = l.found.get(&l.spec.id) {
            // It was over long ago.
            let f = *f;
            self.remember_final(&l.spec.id, f);
            self.ask(now, req, Request::Submit(l.body));
        } else if !self.may_start(now) {
            self.no_proof(req);
        } else if self.jobs.contains_key(&l.spec.id) {
            // Submitted meanwhile by way of another request.
            self.ask(now, req, Request::Submit(l.body));
        } else if !self.refuse_named(req, &l.spec, &l.found) {
            for (id, (f, _)) in &l.found {
                self.remember_final(id, *f);
            }
            let mut spec = l.spec;
            let done = |id: &JobId| l.found.get(id).is_some_and(|f| f.0.state == JobState::Done);
            spec.dependencies.retain(|id| !done(id));
            self.submit_named(now, req, spec, l.body);
        }
    }

    /// Goes on with large submissions, and answers those that take too long.
    pub(super) fn go_on_looking_up(&mut self, now: Time) {
        let all = &mut self.look_ups_for_submissions;
        all.kept.retain(|_, (since, _)| now - *since < KEPT_FOR);
        let open = all.under_way.iter().filter(|(_, l)| !l.answered);
        let requests: Vec<RequestId> = open.map(|(req, _)| *req).collect();
        for req in requests {
            self.read_named(now, req);
            let all = &mut self.look_ups_for_submissions.under_way;
            let Some(l) = all.get_mut(&req) else { continue };
            if !l.is_large() || now - l.since < ANSWER_WITHIN {
                continue;
            }
            l.answered = true;
            let over = l.reading.is_empty();
            self.answer(req, Answer::later("the jobs named are being looked up", 1));
            if over && let Some(l) = self.look_ups_for_submissions.under_way.remove(&req) {
                self.looked_up(now, req, l);
            }
        }
    }

    /// Answers what can't be taken; true if it did.
    fn refuse_named(&mut self, req: RequestId, spec: &JobSpec, found: &Found) -> bool {
        // What is not stored yet may never be; then this would wait for ever.
        let names = spec
            .start_conditions
            .iter()
            .map(|a| &a.job)
            .chain(&spec.dependencies);
        let being_stored = |id: &JobId| {
            let j = self.jobs.get(id);
            j.is_some_and(|j| j.parts[0].stored == 0)
        };
        for id in names {
            if being_stored(id) {
                let text = format!("{id}, which it names, is being stored");
                self.answer(req, Answer::later(&text, 1));
                return true;
            }
        }
        let refused = spec
            .start_conditions
            .iter()
            .find_map(|a| self.refused(spec, a, found));
        let never = |id: &&JobId| !self.is_known(id) && !found.contains_key(*id);
        let unknown = spec.dependencies.iter().find(never);
        let unknown = unknown.map(|id| format!("Awaits: no job {id}"));
        if let Some(text) = refused.or(unknown) {
            self.answer(req, Answer::error(422, &text));
            return true;
        }
        false
    }

    /// Why a condition is refused.
    fn refused(&self, spec: &JobSpec, a: &StartCondition, found: &Found) -> Option<String> {
        let team = match (self.jobs.get(&a.job), found.get(&a.job)) {
            (Some(j), _) => Some(j.spec.team.to_string()),
            (None, Some((_, team))) => team.clone(),
            (None, None) => return Some(format!("After: no job {}", a.job)),
        };
        let tasks = self.jobs.get(&a.job).map(|j| (j.spec.tasks, j.spec.kind));
        if a.each && tasks.is_some_and(|t| t != (spec.tasks, JobKind::Array)) {
            let text = format!("After.Each: {} is no array of {} tasks", a.job, spec.tasks);
            return Some(text);
        }
        // The team of a job from before there were histories is not known.
        if team.is_some_and(|t| t != spec.team.as_str()) {
            return Some(format!("After: {} is another team's", a.job));
        }
        None
    }
}
