//! Users: they submit at their times, poll, repeat and cancel.

mod caller;
mod queue;

use super::Shared;
use crate::counters::Refusal;
use crate::http::Exchange;
use crate::judge::Answer;
use crate::pipeline::{Pipeline, Pipelines};
use crate::workload::Plan;
use caller::{Caller, answer_of};
use hdrhistogram::Histogram;
use hookworks::ids::JobId;
use hookworks::wire::user::JobState;
use queue::{RequestKind, UserRequest};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Requests of users at a time.
pub const AT_A_TIME: usize = 64;
const POLL_EVERY: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A user repeats a request for so long.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Every so many polls somebody asks about a job that nobody submitted.
const STRAY_EVERY: u64 = 50;
/// After so many accepted jobs that need others, somebody submits one that needs
/// a job that nobody submitted.
const STRAY_NEED_EVERY: u64 = 20;
/// Statuses by which a submission is refused for good.
const REFUSALS: [u16; 2] = [400, 422];
/// Longest time that the histogram tells apart.
const LONGEST_MS: u64 = 120_000;

/// What users have seen.
pub struct Observations {
    /// Milliseconds from the first attempt to the acceptance.
    pub submissions: Histogram<u64>,
    pub submitted: u64,
    pub given_up: u64,
    pub polls: u64,
    pub polls_failed: u64,
    pub cancelled: u64,
    /// Accepted jobs that need others.
    pub accepted_with_needs: u64,
    pub urgent: Vec<(JobId, Instant)>,
}

/// All users of a run.
pub struct Users {
    shared: Arc<Shared>,
    queue: Mutex<BinaryHeap<UserRequest>>,
    more: Condvar,
    pipelines: Mutex<Pipelines>,
    observations: Mutex<Observations>,
}

impl Users {
    pub fn new(shared: Arc<Shared>) -> Users {
        let submissions = Histogram::new_with_max(LONGEST_MS, 3);
        let observations = Observations {
            submissions: submissions.unwrap_or_else(|_| unreachable!("the bounds are constants")),
            submitted: 0,
            given_up: 0,
            polls: 0,
            polls_failed: 0,
            cancelled: 0,
            accepted_with_needs: 0,
            urgent: vec![],
        };
        Users {
            shared,
            queue: Mutex::default(),
            more: Condvar::new(),
            pipelines: Mutex::default(),
            observations: Mutex::new(observations),
        }
    }

    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn queue(&self) -> MutexGuard<'_, BinaryHeap<UserRequest>> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn pipelines(&self) -> MutexGuard<'_, Pipelines> {
        self.pipelines.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts the users; the first arrival counts from `from`.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(
        self: &Arc<Self>,
        from: Instant,
        plans: Vec<Plan>,
        pipelines: Vec<Pipeline>,
    ) -> std::io::Result<()> {
        for plan in plans {
            self.submit_at(from + plan.at, Arc::new(plan));
        }
        for pipeline in pipelines {
            let at = from + pipeline.at;
            for plan in self.pipelines().begin(pipeline) {
                self.submit_at(at, plan);
            }
        }
        for number in 0..AT_A_TIME {
            let users = self.clone();
            let controller = number % users.shared.layout.controllers;
            let thread = std::thread::Builder::new().name("user".into());
            thread.spawn(move || users.run(Caller::new(controller)))?;
        }
        Ok(())
    }

    fn run(&self, mut caller: Caller) {
        while let Some(request) = self.next() {
            self.carry_out(&mut caller, request);
        }
    }

    /// The next request that is due; none at the end of the run.
    fn next(&self) -> Option<UserRequest> {
        let mut queue = self.queue();
        loop {
            if self.shared.stopping() {
                return None;
            }
            let now = Instant::now();
            let wait = match queue.peek() {
                Some(request) if request.due <= now => return queue.pop(),
                Some(request) => (request.due - now).min(Duration::from_millis(100)),
                None => Duration::from_millis(100),
            };
            let waited = self.more.wait_timeout(queue, wait);
            queue = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn submit_at(&self, due: Instant, plan: Arc<Plan>) {
        self.queue().push(UserRequest {
            due,
            kind: RequestKind::Submit,
            plan,
            first: due,
        });
        self.more.notify_one();
    }

    /// Submits the next jobs of a pipeline.
    fn submit_now(&self, plans: Vec<Arc<Plan>>) {
        let now = Instant::now();
        for plan in plans {
            self.submit_at(now, plan);
        }
    }

    fn schedule_after(&self, request: &UserRequest, kind: RequestKind, after: Duration) {
        let now = Instant::now();
        let first = if kind == request.kind {
            request.first
        } else {
            now + after
        };
        self.queue().push(UserRequest {
            due: now + after,
            kind,
            plan: request.plan.clone(),
            first,
        });
        self.more.notify_one();
    }

    fn carry_out(&self, caller: &mut Caller, request: UserRequest) {
        match request.kind {
            RequestKind::Submit | RequestKind::Repeat => self.submit(caller, &request),
            RequestKind::Poll => self.poll(caller, &request),
            RequestKind::Cancel => self.cancel(caller, &request),
        }
    }

    fn submit(&self, caller: &mut Caller, request: &UserRequest) {
        let job = &request.plan.spec.id;
        let is_first = request.kind == RequestKind::Submit && request.due == request.first;
        if is_first {
            self.shared
                .judge()
                .submitted(request.first, request.plan.clone());
            let mut observations = self.observations();
            observations.submitted += 1;
            if request.plan.is_urgent() {
                observations.urgent.push((job.clone(), request.first));
            }
        }
        let body = request.plan.submission();
        let asked = Instant::now();
        let exchange = caller.call(&self.shared, "POST", "/v2/runs", &body, SUBMIT_TIMEOUT);
        let now = Instant::now();
        let answer = answer_of(exchange.as_ref(), &REFUSALS);
        self.shared.judge().answered(asked, now, job, answer);
        match (answer, &request.kind) {
            (Answer::State(_), RequestKind::Submit) => self.accepted(caller, request, now),
            (Answer::State(_), _) => {}
            (Answer::Refused, _) => self.observations().given_up += 1,
            _ => self.try_again(request, exchange.as_ref()),
        }
    }

    fn accepted(&self, caller: &mut Caller, request: &UserRequest, now: Instant) {
        let took = now.saturating_duration_since(request.first);
        let ms = (took.as_millis() as u64).clamp(1, LONGEST_MS);
        self.observations().submissions.saturating_record(ms);
        self.schedule_after(request, RequestKind::Poll, POLL_EVERY);
        if request.plan.repeated {
            self.schedule_after(request, RequestKind::Repeat, RETRY_AFTER);
        }
        if let Some(after) = request.plan.cancel_after {
            self.schedule_after(request, RequestKind::Cancel, after);
        }
        let next = self.pipelines().accepted(&request.plan.spec.id);
        self.submit_now(next);
        if !request.plan.spec.dependencies.is_empty() {
            self.count_needs(caller, &request.plan);
        }
    }

    fn count_needs(&self, caller: &mut Caller, plan: &Plan) {
        let accepted = {
            let mut observations = self.observations();
            observations.accepted_with_needs += 1;
            observations.accepted_with_needs
        };
        if accepted % STRAY_NEED_EVERY == 0 {
            self.submit_stray(caller, plan, accepted);
        }
    }

    /// Submits a job that needs one which nobody submitted; the judge doesn't know
    /// either, so that an acceptance breaks a rule.
    fn submit_stray(&self, caller: &mut Caller, plan: &Plan, number: u64) {
        let mut stray = plan.clone();
        stray.spec.id = JobId::from(format!("job-8{number:08}").as_str());
        stray.spec.dependencies = vec![stray_job(number)];
        let asked = Instant::now();
        let body = stray.submission();
        let exchange = caller.call(&self.shared, "POST", "/v2/runs", &body, SUBMIT_TIMEOUT);
        let answer = answer_of(exchange.as_ref(), &REFUSALS);
        let mut judge = self.shared.judge();
        judge.answered(asked, Instant::now(), &stray.spec.id, answer);
    }

    fn try_again(&self, request: &UserRequest, exchange: Option<&Exchange>) {
        let why = exchange.map_or(Refusal::Connection, |e| Refusal::Status(e.response.status));
        self.shared.counters.count_refusal(why);
        let asked_for = exchange.and_then(|e| e.response.retry_after).unwrap_or(1);
        let wait = Duration::from_secs(u64::from(asked_for.min(30))).max(RETRY_AFTER);
        if Instant::now() + wait > request.first + GIVE_UP {
            self.observations().given_up += 1;
            return;
        }
        self.schedule_after(request, request.kind.clone(), wait);
    }

    fn poll(&self, caller: &mut Caller, request: &UserRequest) {
        let job = &request.plan.spec.id;
        let answer = self.ask_status(caller, job);
        let polls = {
            let mut observations = self.observations();
            observations.polls += 1;
            observations.polls_failed += u64::from(answer == Answer::Missing);
            observations.polls
        };
        if polls % STRAY_EVERY == 0 {
            self.stray(caller, polls);
        }
        if matches!(answer, Answer::State(JobState::Done | JobState::Cancelled)) {
            let next = self.pipelines().over(job);
            self.submit_now(next);
        } else {
            self.schedule_after(request, RequestKind::Poll, POLL_EVERY);
        }
    }

    /// Asks one controller about a job, on a connection of its own.
    pub fn ask_at(&self, controller: usize, job: &JobId) -> Answer {
        self.ask_status(&mut Caller::new(controller), job)
    }

    /// Asks about a job; the judge hears of the answer.
    fn ask_status(&self, caller: &mut Caller, job: &JobId) -> Answer {
        let asked = Instant::now();
        let path = format!("/v2/runs/{job}");
        let exchange = caller.call(&self.shared, "GET", &path, b"", POLL_TIMEOUT);
        let answer = answer_of(exchange.as_ref(), &[]);
        self.shared
            .judge()
            .answered(asked, Instant::now(), job, answer);
        answer
    }

    /// Asks about a job that nobody submitted.
    fn stray(&self, caller: &mut Caller, number: u64) {
        self.ask_status(caller, &stray_job(number));
    }

    fn cancel(&self, caller: &mut Caller, request: &UserRequest) {
        let job = &request.plan.spec.id;
        self.shared.judge().asked_to_cancel(job);
        let asked = Instant::now();
        let path = format!("/v2/runs/{job}/abort");
        let exchange = caller.call(&self.shared, "POST", &path, b"", SUBMIT_TIMEOUT);
        let answer = answer_of(exchange.as_ref(), &[]);
        self.shared
            .judge()
            .answered(asked, Instant::now(), job, answer);
        match answer {
            Answer::State(_) => self.observations().cancelled += 1,
            _ => self.try_again(request, exchange.as_ref()),
        }
    }
}

/// A job that nobody submits.
fn stray_job(number: u64) -> JobId {
    JobId::from(format!("job-9{number:08}").as_str())
}
