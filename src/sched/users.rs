//! What users ask: submissions, polls and cancellations.

use super::Sched;
use super::admission::too_many_names;
use super::dependencies::ParentOutcome;
use super::job::{Final, Job, Waiting};
use super::records::Purpose;
use crate::ids::{JobId, RequestId};
use crate::time::{Span, Time};
use crate::wire::peer::{Answer, Request};
use crate::wire::user::{JobSpec, JobState, JobView};
use hookworks_fairness::JobEvent as What;

/// Reads of final states that requests asked for, since the leadership began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LookUpCounts {
    /// Reads that were sent.
    pub sent: u64,
    /// Reads without an answer of the state service.
    pub failed: u64,
    /// Requests refused as too many reads were under way.
    pub too_many: u64,
    /// Questions refused as their share of the state service's requests was used up.
    pub over_budget: u64,
}

/// A submission waits no longer than that for the next pass.
const SOON: Span = Span(10_000);
/// Reads of old final states under way at a time.
const MAX_READS: usize = 64;

pub(super) fn view(id: &JobId, state: JobState, done: u32, running: u32) -> String {
    let v = JobView {
        id: id.clone(),
        state,
        done,
        running,
    };
    serde_json::to_string(&v).unwrap_or_default()
}

fn final_answer(id: &JobId, f: Final) -> Answer {
    Answer::new(200, view(id, f.state, f.done, 0))
}

/// The answer for a final state that was read from the store.
pub fn answer_final(id: &JobId, f: Final) -> Answer {
    final_answer(id, f)
}

impl Sched {
    pub(super) fn ask(&mut self, now: Time, req: RequestId, ask: Request) {
        match ask {
            Request::Report(body) => self.beat(now, req, &body, None),
            Request::Submit(body) => match JobSpec::parse(&body) {
                Ok(spec) => self.submit(now, req, spec, body),
                Err(e) => self.answer(req, Answer::error(400, &e)),
            },
            Request::Poll(id) => self.poll(now, req, id.as_str().into()),
            Request::Cancel(id) => self.cancel(now, req, id.as_str().into()),
            Request::Hold(id, body) => self.hold(now, req, id.as_str().into(), body),
            Request::Release(id, body) => self.release(now, req, id.as_str().into(), body),
            // Lists are made outside, from what is published.
            Request::List(_) | Request::Events(_) => {
                self.answer(req, Answer::error(404, "no such path"))
            }
            Request::Show(id) => self.show(now, req, id.as_str().into()),
        }
    }

    pub(super) fn no_proof(&mut self, req: RequestId) {
        let text = "leadership is not proven at the moment";
        self.answer(req, Answer::later(text, 1));
    }

    fn submit(&mut self, now: Time, req: RequestId, spec: JobSpec, body: Vec<u8>) {
        let id = spec.id.clone();
        if let Some(f) = self.finals.get(&id) {
            let f = *f;
            return self.answer(req, final_answer(&id, f));
        }
        if let Some(a) = self.cancelled_for_ever(&id) {
            return self.answer(req, a);
        }
        if let Some(state) = self.unreadable.get(&id).filter(|_| self.may_start(now)) {
            // Accepted once, for certain.
            let a = Answer::new(200, view(&id, *state, 0, 0));
            return self.answer(req, a);
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            if j.parts[0].stored == 0 && j.parts[0].ver > 0 {
                let ver = j.parts[0].ver;
                j.waiters.push((ver, req, Waiting::Known));
                return;
            }
            if !self.may_start(now) {
                return self.no_proof(req);
            }
            return self.tell_live(req, &id);
        }
        if !self.may_start(now) {
            return self.no_proof(req);
        }
        if self.look_up_named(now, req, &spec, &body) {
            return;
        }
        self.submit_named(now, req, spec, body);
    }

    /// The jobs that it names are known.
    pub(super) fn submit_named(&mut self, now: Time, req: RequestId, spec: JobSpec, body: Vec<u8>) {
        let id = spec.id.clone();
        // A repeated submission must never get 400 or 422, so what would be
        // refused is only refused after a look at what is over already.
        match self.never_runs(&spec) {
            Err(e) => {
                self.books.note(now, &spec.class, &spec.team, What::Refused);
                return self.answer(req, Answer::later(&e, 1));
            }
            Ok(Some(_)) => return self.look_up(now, req, id, Request::Submit(body)),
            Ok(None) => {}
        }
        if self.jobs.len() >= self.cfg.most_jobs {
            self.books.note(now, &spec.class, &spec.team, What::Refused);
            return self.answer(req, Answer::later("too many unfinished jobs", 10));
        }
        let mut job = self.new_job(now, spec);
        if self.names_too_many(&job) {
            return self.answer(req, too_many_names());
        }
        if self.too_large(&job) {
            return self.look_up(now, req, id, Request::Submit(body));
        }
        self.next_seq += 1;
        // Written after the next pass, so that one write holds the job and
        // what it starts with.
        job.parts[0].ver = 1;
        job.waiters.push((1, req, Waiting::Accept));
        self.taken.push(id.clone());
        // Its user waits: the next pass comes soon.
        self.pass_at = self.pass_at.min(now + SOON);
        let needs_none = job.needs.is_empty();
        self.jobs.insert(id.clone(), job);
        if needs_none {
            self.note_ready_to_run(now, &id);
        }
        self.register_dependencies(now, &id);
        self.replan = true;
    }

    fn tell_live(&mut self, req: RequestId, id: &JobId) {
        if !self.ancestors_known(id) {
            return self.answer(req, Answer::later("what it needs is being looked up", 1));
        }
        if let Some(j) = self.jobs.get_mut(id) {
            // Whoever reads the state service may have told the final state already:
            // any other answer could be older. It is known in a moment.
            if j.unresolved_final_writes > 0 {
                return j.waiters.push((u64::MAX, req, Waiting::Known));
            }
            // What is not stored is not told: it could go back.
            if j.cancelled && j.parts[0].stored < j.cancel_ver {
                return self.answer(req, Answer::later("the job is being cancelled", 1));
            }
            // Done is told only once it is stored as the final state.
            let a = Answer::new(200, view(id, j.state(), j.done_count, j.running()));
            self.answer(req, a);
        }
    }

    /// What is final is told by any leader; the rest needs proof.
    fn answered_early(&mut self, now: Time, req: RequestId, id: &JobId) -> bool {
        if let Some(f) = self.finals.get(id) {
            let f = *f;
            self.answer(req, final_answer(id, f));
        } else if let Some(a) = self.cancelled_for_ever(id) {
            self.answer(req, a);
        } else if !self.may_start(now) {
            self.no_proof(req);
        } else {
            return false;
        }
        true
    }

    fn poll(&mut self, now: Time, req: RequestId, id: JobId) {
        if self.answered_early(now, req, &id) {
            return;
        }
        if let Some(state) = self.unreadable.get(&id) {
            // No user may conclude that it was forgotten.
            let a = Answer::new(200, view(&id, *state, 0, 0));
            return self.answer(req, a);
        }
        match self.jobs.get(&id) {
            Some(j) if j.parts[0].stored == 0 && j.parts[0].ver > 0 => {
                self.answer(req, Answer::later("the job is being stored", 1));
            }
            Some(_) => self.tell_live(req, &id),
            None => self.look_up(now, req, id.clone(), Request::Poll(id.to_string())),
        }
    }

    fn cancel(&mut self, now: Time, req: RequestId, id: JobId) {
        if self.answered_early(now, req, &id) {
            return;
        }
        if let Some(state) = self.unreadable.get(&id) {
            let a = match state {
                JobState::Cancelled => Answer::new(200, view(&id, *state, 0, 0)),
                _ => Answer::later("the job's record can't be read", 30),
            };
            return self.answer(req, a);
        }
        let Some(j) = self.jobs.get_mut(&id) else {
            return self.look_up(now, req, id.clone(), Request::Cancel(id.to_string()));
        };
        if j.closing.is_some() {
            j.waiters.push((u64::MAX, req, Waiting::Cancel));
            return;
        }
        if !j.cancelled {
            j.cancelled = true;
            let ver = j.touch(0, &mut self.dirty, Purpose::Now);
            j.cancel_ver = ver;
            j.waiters.push((ver, req, Waiting::Cancel));
            self.stop_all(now, &id);
            self.finish_if_over(&id);
            self.withdraw_from_parents(&id);
            self.replan = true;
        } else if j.parts[0].stored >= j.cancel_ver {
            let a = Answer::new(200, view(&id, JobState::Cancelled, j.done_count, 0));
            self.answer(req, a);
        } else {
            let ver = j.cancel_ver;
            j.waiters.push((ver, req, Waiting::Cancel));
        }
    }

    /// Everything of the job is to leave its machines; what never left here is
    /// gone at once.
    pub(super) fn stop_all(&mut self, now: Time, id: &JobId) {
        let tasks: Vec<_> = match self.jobs.get(id) {
            Some(j) => j.live.keys().copied().collect(),
            None => return,
        };
        for t in tasks {
            self.stop(now, id, t, 0.0);
        }
    }

    pub(super) fn look_up(&mut self, now: Time, req: RequestId, id: JobId, ask: Request) {
        // No job of another form can ever have been accepted.
        if !JobId::is_well_formed(id.as_str()) {
            return self.answer(req, Answer::error(404, "no such job"));
        }
        if self.reads.len() >= MAX_READS {
            self.look_up_counts.too_many += 1;
            return self.answer(req, Answer::later("too many look-ups at a time", 1));
        }
        let first = !self.reads.contains_key(&id);
        // Questions take no more of the requests there are than their part, or all
        // of them, renewals of the leadership among them, are refused for a while.
        if first && matches!(ask, Request::Poll(_)) {
            if !self.poll_reads.has(now, 1.0) {
                self.look_up_counts.over_budget += 1;
                return self.answer(req, Answer::later("too many look-ups at a time", 1));
            }
            self.poll_reads.take(now, 1.0);
        }
        self.reads.entry(id.clone()).or_default().push((req, ask));
        if first {
            self.look_up_counts.sent += 1;
            self.read_final(&id);
        }
    }

    pub(super) fn final_read(&mut self, now: Time, id: JobId, r: Result<Option<Final>, ()>) {
        let asked = self.reads.remove(&id).unwrap_or_default();
        self.look_up_counts.failed += r.is_err() as u64;
        // A slow read says nothing of what has come to its end since it was sent.
        let r = match self.finals.get(&id) {
            Some(f) => Ok(Some(*f)),
            None => r,
        };
        match r {
            Ok(Some(f)) => {
                self.remember_final(&id, f);
                self.announce(&id, ParentOutcome::Over(f.state));
            }
            Ok(None) => self.parent_is_absent(&id),
            Err(()) => {}
        }
        for (req, ask) in asked {
            let a = match (&r, &ask) {
                (Err(()), _) => Answer::later("the state service does not answer", 1),
                (Ok(Some(f)), Request::Hold(..) | Request::Release(..)) => {
                    Answer::new(409, view(&id, f.state, f.done, 0))
                }
                (Ok(Some(f)), _) => final_answer(&id, *f),
                (Ok(None), _) if !self.may_start(now) => {
                    self.no_proof(req);
                    continue;
                }
                (Ok(None), _) if self.jobs.contains_key(&id) => {
                    Answer::later("the job is being stored", 1)
                }
                (Ok(None), Request::Submit(body)) => self.refusal(now, body),
                (Ok(None), _) => Answer::error(404, "no such job"),
            };
            self.answer(req, a);
        }
    }

    pub(super) fn tell_waiters(
        &mut self,
        now: Time,
        id: &JobId,
        ready: Vec<(u64, RequestId, Waiting)>,
    ) {
        for (_, req, what) in ready {
            // Cancelled is for ever. What else is stored may be out of date: a leader
            // that stood still once said queued of a job that was done by then.
            if what != Waiting::Cancel && !self.may_start(now) {
                self.no_proof(req);
                continue;
            }
            let (status, state) = match what {
                Waiting::Accept => (201, JobState::Queued),
                Waiting::Known => (200, JobState::Queued),
                Waiting::Cancel => (200, JobState::Cancelled),
                Waiting::Hold(held) => {
                    let a = self.hold_answer(id, held);
                    self.answer(req, a);
                    continue;
                }
            };
            let cancelled = self.jobs.get(id).is_some_and(Job::cancellation_stored);
            let state = if cancelled {
                JobState::Cancelled
            } else {
                state
            };
            self.answer(req, Answer::new(status, view(id, state, 0, 0)));
        }
    }

    /// `new`: the job was not known to anybody before this write.
    pub(super) fn tell_waiters_final(
        &mut self,
        id: &JobId,
        waiters: Vec<(u64, RequestId, Waiting)>,
        f: Final,
        new: bool,
    ) {
        for (_, req, what) in waiters {
            let mut a = final_answer(id, f);
            match what {
                Waiting::Hold(_) => a.status = 409,
                Waiting::Accept if new => a.status = 201,
                _ => {}
            }
            self.answer(req, a);
        }
    }
}
