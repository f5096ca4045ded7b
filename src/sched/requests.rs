//! Requests of users: submissions, polls and cancellations.

use super::Scheduler;
use super::admission::too_many_dependencies;
use super::dependencies::ParentOutcome;
use super::job::{Final, Job, ReplyKind};
use super::records::Purpose;
use crate::ids::{JobId, RequestId};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{JobSpec, JobState, JobView};
use hookworks_fairness::JobEvent;

/// Reads of final states on behalf of requests, since the leadership began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LookUpCounts {
    /// Reads that were sent.
    pub sent: u64,
    /// Reads that got no response from the state service.
    pub failed: u64,
    /// Requests rejected because too many reads were in flight.
    pub too_many: u64,
    /// Polls rejected because their share of the state service's request quota was used up.
    pub over_budget: u64,
}

/// Maximum delay of the next placement pass after a submission.
const MAX_SUBMISSION_DELAY: Span = Span(10_000);
/// Maximum reads of old final states in flight.
const MAX_FINAL_READS: usize = 64;

pub(super) fn job_view_json(id: &JobId, state: JobState, done: u32, running: u32) -> String {
    let view = JobView {
        id: id.clone(),
        state,
        done,
        running,
    };
    serde_json::to_string(&view).unwrap_or_default()
}

fn final_response(id: &JobId, final_state: Final) -> Answer {
    Answer::new(
        200,
        job_view_json(id, final_state.state, final_state.done, 0),
    )
}

/// The response for a final state that was read from the store.
pub fn answer_final(id: &JobId, final_state: Final) -> Answer {
    final_response(id, final_state)
}

impl Scheduler {
    pub(super) fn handle_request(&mut self, now: Time, req: RequestId, ask: Request) {
        match ask {
            Request::Report(body) => self.handle_heartbeat(now, req, &body, None),
            Request::Submit(body) => match JobSpec::parse(&body) {
                Ok(spec) => self.submit(now, req, spec, body),
                Err(e) => self.answer(req, Answer::error(400, &e)),
            },
            Request::Poll(id) => self.poll(now, req, id.as_str().into()),
            Request::Cancel(id) => self.cancel(now, req, id.as_str().into()),
            Request::Hold(id, body) => self.hold(now, req, id.as_str().into(), body),
            Request::Release(id, body) => self.release(now, req, id.as_str().into(), body),
            // Lists are served elsewhere, from the published lines.
            Request::List(_) | Request::Events(_) => {
                self.answer(req, Answer::error(404, "no such path"))
            }
            Request::Show(id) => self.show_job(now, req, id.as_str().into()),
        }
    }

    pub(super) fn answer_unconfirmed(&mut self, req: RequestId) {
        let text = "leadership is not proven at the moment";
        self.answer(req, Answer::later(text, 1));
    }

    fn submit(&mut self, now: Time, req: RequestId, spec: JobSpec, body: Vec<u8>) {
        let id = spec.id.clone();
        if let Some(final_state) = self.finals.get(&id) {
            let final_state = *final_state;
            return self.answer(req, final_response(&id, final_state));
        }
        if let Some(response) = self.cancelled_for_ever(&id) {
            return self.answer(req, response);
        }
        if let Some(state) = self.unreadable.get(&id).filter(|_| self.may_start(now)) {
            // It was certainly accepted once.
            let response = Answer::new(200, job_view_json(&id, *state, 0, 0));
            return self.answer(req, response);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.parts[0].stored_version == 0 && job.parts[0].version > 0 {
                let ver = job.parts[0].version;
                job.waiters.push((ver, req, ReplyKind::Known));
                return;
            }
            if !self.may_start(now) {
                return self.answer_unconfirmed(req);
            }
            return self.answer_active(req, &id);
        }
        if !self.may_start(now) {
            return self.answer_unconfirmed(req);
        }
        if self.look_up_referenced(now, req, &spec, &body) {
            return;
        }
        self.submit_resolved(now, req, spec, body);
    }

    /// Continues a submission once the jobs that it names are known.
    pub(super) fn submit_resolved(
        &mut self,
        now: Time,
        req: RequestId,
        spec: JobSpec,
        body: Vec<u8>,
    ) {
        let id = spec.id.clone();
        // A repeated submission must never get 400 or 422, so a submission that would be
        // rejected is rejected only after reading whether the job has already finished.
        match self.unsatisfiable(&spec) {
            Err(e) => {
                self.service_shares
                    .record(now, &spec.class, &spec.team, JobEvent::Refused);
                return self.answer(req, Answer::later(&e, 1));
            }
            Ok(Some(_)) => return self.look_up_final(now, req, id, Request::Submit(body)),
            Ok(None) => {}
        }
        if self.jobs.len() >= self.config.max_jobs {
            self.service_shares
                .record(now, &spec.class, &spec.team, JobEvent::Refused);
            return self.answer(req, Answer::later("too many unfinished jobs", 10));
        }
        let mut job = self.new_job(now, spec);
        if self.has_too_many_dependencies(&job) {
            return self.answer(req, too_many_dependencies());
        }
        if self.too_large(&job) {
            return self.look_up_final(now, req, id, Request::Submit(body));
        }
        self.next_seq += 1;
        // Written after the next pass, so that one write holds the job and its first starts.
        job.parts[0].version = 1;
        job.waiters.push((1, req, ReplyKind::Accept));
        self.newly_accepted.push(id.clone());
        // Its user waits, so the next pass comes soon.
        self.next_pass_at = self.next_pass_at.min(now + MAX_SUBMISSION_DELAY);
        let needs_none = job.needs.is_empty();
        self.jobs.insert(id.clone(), job);
        if needs_none {
            self.note_ready_to_run(now, &id);
        }
        self.register_dependencies(now, &id);
        self.replan = true;
    }

    fn answer_active(&mut self, req: RequestId, id: &JobId) {
        if !self.ancestors_known(id) {
            return self.answer(
                req,
                Answer::later("the job's dependencies are being looked up", 1),
            );
        }
        if let Some(job) = self.jobs.get_mut(id) {
            // Readers of the state service may already have returned the final state, so any
            // other response could be older. The outcome is known shortly.
            if job.unresolved_final_writes > 0 {
                return job.waiters.push((u64::MAX, req, ReplyKind::Known));
            }
            // Only stored state is returned: any other could be lost.
            if job.cancelled && job.parts[0].stored_version < job.cancel_version {
                return self.answer(req, Answer::later("the job is being cancelled", 1));
            }
            // `done` is returned only once it is stored as the final state.
            let response = Answer::new(
                200,
                job_view_json(id, job.state(), job.done_count, job.running()),
            );
            self.answer(req, response);
        }
    }

    /// Answers requests for final states, which needs no valid lease, and rejects others
    /// while the lease is not confirmed.
    fn answer_final_or_unconfirmed(&mut self, now: Time, req: RequestId, id: &JobId) -> bool {
        if let Some(final_state) = self.finals.get(id) {
            let final_state = *final_state;
            self.answer(req, final_response(id, final_state));
        } else if let Some(response) = self.cancelled_for_ever(id) {
            self.answer(req, response);
        } else if !self.may_start(now) {
            self.answer_unconfirmed(req);
        } else {
            return false;
        }
        true
    }

    fn poll(&mut self, now: Time, req: RequestId, id: JobId) {
        if self.answer_final_or_unconfirmed(now, req, &id) {
            return;
        }
        if let Some(state) = self.unreadable.get(&id) {
            // Any other response would let users conclude that the job was lost.
            let response = Answer::new(200, job_view_json(&id, *state, 0, 0));
            return self.answer(req, response);
        }
        match self.jobs.get(&id) {
            Some(job) if job.parts[0].stored_version == 0 && job.parts[0].version > 0 => {
                self.answer(req, Answer::later("the job is being stored", 1));
            }
            Some(_) => self.answer_active(req, &id),
            None => self.look_up_final(now, req, id.clone(), Request::Poll(id.to_string())),
        }
    }

    fn cancel(&mut self, now: Time, req: RequestId, id: JobId) {
        if self.answer_final_or_unconfirmed(now, req, &id) {
            return;
        }
        if let Some(state) = self.unreadable.get(&id) {
            let response = match state {
                JobState::Cancelled => Answer::new(200, job_view_json(&id, *state, 0, 0)),
                _ => Answer::later("the job's record can't be read", 30),
            };
            return self.answer(req, response);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return self.look_up_final(now, req, id.clone(), Request::Cancel(id.to_string()));
        };
        if job.closing_state.is_some() {
            job.waiters.push((u64::MAX, req, ReplyKind::Cancel));
            return;
        }
        if !job.cancelled {
            job.cancelled = true;
            let ver = job.mark_changed(0, &mut self.write_queue, Purpose::Now);
            job.cancel_version = ver;
            job.waiters.push((ver, req, ReplyKind::Cancel));
            self.stop_all(now, &id);
            self.finish_if_complete(&id);
            self.withdraw_from_parents(&id);
            self.replan = true;
        } else if job.parts[0].stored_version >= job.cancel_version {
            let response = Answer::new(
                200,
                job_view_json(&id, JobState::Cancelled, job.done_count, 0),
            );
            self.answer(req, response);
        } else {
            let ver = job.cancel_version;
            job.waiters.push((ver, req, ReplyKind::Cancel));
        }
    }

    /// Stops all attempts of the job; those whose `run` was never sent end at once.
    pub(super) fn stop_all(&mut self, now: Time, id: &JobId) {
        let tasks: Vec<_> = match self.jobs.get(id) {
            Some(job) => job.active.keys().copied().collect(),
            None => return,
        };
        for task in tasks {
            self.stop_attempt(now, id, task, 0.0);
        }
    }

    pub(super) fn look_up_final(&mut self, now: Time, req: RequestId, id: JobId, ask: Request) {
        // No job with a malformed id can ever have been accepted.
        if !JobId::is_well_formed(id.as_str()) {
            return self.answer(req, Answer::error(404, "no such job"));
        }
        if self.pending_final_reads.len() >= MAX_FINAL_READS {
            self.lookup_counts.too_many += 1;
            return self.answer(req, Answer::later("too many look-ups at a time", 1));
        }
        let first = !self.pending_final_reads.contains_key(&id);
        // Polls get a bounded share of the state service's request quota. Otherwise they
        // could use up all of it, and every request would be refused for a while, lease
        // renewals among them.
        if first && matches!(ask, Request::Poll(_)) {
            if !self.poll_budget.has(now, 1.0) {
                self.lookup_counts.over_budget += 1;
                return self.answer(req, Answer::later("too many look-ups at a time", 1));
            }
            self.poll_budget.take(now, 1.0);
        }
        self.pending_final_reads
            .entry(id.clone())
            .or_default()
            .push((req, ask));
        if first {
            self.lookup_counts.sent += 1;
            self.read_final(&id);
        }
    }

    pub(super) fn final_read(&mut self, now: Time, id: JobId, result: Result<Option<Final>, ()>) {
        let asked = self.pending_final_reads.remove(&id).unwrap_or_default();
        self.lookup_counts.failed += result.is_err() as u64;
        // A slow read says nothing about jobs that have finished since it was sent.
        let result = match self.finals.get(&id) {
            Some(final_state) => Ok(Some(*final_state)),
            None => result,
        };
        match result {
            Ok(Some(final_state)) => {
                self.cache_final(&id, final_state);
                self.announce(&id, ParentOutcome::Over(final_state.state));
            }
            Ok(None) => self.parent_is_absent(&id),
            Err(()) => {}
        }
        for (req, ask) in asked {
            let response = match (&result, &ask) {
                (Err(()), _) => Answer::later("the state service does not answer", 1),
                (Ok(Some(final_state)), Request::Hold(..) | Request::Release(..)) => Answer::new(
                    409,
                    job_view_json(&id, final_state.state, final_state.done, 0),
                ),
                (Ok(Some(final_state)), _) => final_response(&id, *final_state),
                (Ok(None), _) if !self.may_start(now) => {
                    self.answer_unconfirmed(req);
                    continue;
                }
                (Ok(None), _) if self.jobs.contains_key(&id) => {
                    Answer::later("the job is being stored", 1)
                }
                (Ok(None), Request::Submit(body)) => self.refusal_answer(now, body),
                (Ok(None), _) => Answer::error(404, "no such job"),
            };
            self.answer(req, response);
        }
    }

    pub(super) fn answer_waiters(
        &mut self,
        now: Time,
        id: &JobId,
        ready: Vec<(u64, RequestId, ReplyKind)>,
    ) {
        for (_, req, reply) in ready {
            // A cancellation is final. Any other stored state may be out of date: a leader
            // that had been paused once answered `queued` for a job that was done by then.
            if reply != ReplyKind::Cancel && !self.may_start(now) {
                self.answer_unconfirmed(req);
                continue;
            }
            let (status, state) = match reply {
                ReplyKind::Accept => (201, JobState::Queued),
                ReplyKind::Known => (200, JobState::Queued),
                ReplyKind::Cancel => (200, JobState::Cancelled),
                ReplyKind::Hold(held) => {
                    let response = self.hold_answer(id, held);
                    self.answer(req, response);
                    continue;
                }
            };
            let cancelled = self.jobs.get(id).is_some_and(Job::cancellation_stored);
            let state = if cancelled {
                JobState::Cancelled
            } else {
                state
            };
            self.answer(req, Answer::new(status, job_view_json(id, state, 0, 0)));
        }
    }

    /// `new`: nobody knew the job before this write.
    pub(super) fn answer_waiters_final(
        &mut self,
        id: &JobId,
        waiters: Vec<(u64, RequestId, ReplyKind)>,
        final_state: Final,
        new: bool,
    ) {
        for (_, req, reply) in waiters {
            let mut response = final_response(id, final_state);
            match reply {
                ReplyKind::Hold(_) => response.status = 409,
                ReplyKind::Accept if new => response.status = 201,
                _ => {}
            }
            self.answer(req, response);
        }
    }
}
