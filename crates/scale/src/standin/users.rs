//! Users: they submit at their times, poll, repeat and cancel.

use super::Shared;
use crate::http::{Client, Exchange};
use crate::judge::Told;
use crate::pipeline::{Pipeline, Pipelines};
use crate::tally::Counterpart;
use crate::workload::Plan;
use hdrhistogram::Histogram;
use hookworks::ids::JobId;
use hookworks::wire::user::{JobState, JobView};
use std::cmp::Ordering as Order;
use std::collections::BinaryHeap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Requests of users at a time.
pub const AT_A_TIME: usize = 64;
const POLL_EVERY: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A user repeats a request for so long.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Connections that are tried for a request.
const TRIES: usize = 3;
/// Every so many polls somebody asks about a job that nobody submitted.
const STRAY_EVERY: u64 = 50;
/// After so many accepted jobs that need others, somebody submits one that needs
/// a job that nobody submitted.
const STRAY_NEED_EVERY: u64 = 20;
/// Longest time that the histogram tells apart.
const LONGEST_MS: u64 = 120_000;

#[derive(Clone, Debug, PartialEq)]
enum Deed {
    Submit,
    /// A submission that was accepted, once more.
    Repeat,
    Poll,
    Cancel,
}

#[derive(Clone)]
struct Action {
    due: Instant,
    deed: Deed,
    plan: Arc<Plan>,
    /// When the user first tried.
    first: Instant,
}

impl PartialEq for Action {
    fn eq(&self, other: &Action) -> bool {
        self.due == other.due
    }
}
impl Eq for Action {}
impl PartialOrd for Action {
    fn partial_cmp(&self, other: &Action) -> Option<Order> {
        Some(self.cmp(other))
    }
}
impl Ord for Action {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Action) -> Order {
        other.due.cmp(&self.due)
    }
}

/// What users have seen.
pub struct Seen {
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
    actions: Mutex<BinaryHeap<Action>>,
    more: Condvar,
    pipelines: Mutex<Pipelines>,
    seen: Mutex<Seen>,
}

/// A thread's connection to a controller.
struct Caller {
    node: usize,
    client: Option<Client>,
}

impl Users {
    pub fn new(shared: Arc<Shared>) -> Users {
        let submissions = Histogram::new_with_max(LONGEST_MS, 3);
        let seen = Seen {
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
            actions: Mutex::default(),
            more: Condvar::new(),
            pipelines: Mutex::default(),
            seen: Mutex::new(seen),
        }
    }

    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn actions(&self) -> MutexGuard<'_, BinaryHeap<Action>> {
        self.actions.lock().unwrap_or_else(|e| e.into_inner())
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
            let node = number % users.shared.layout.controllers;
            let thread = std::thread::Builder::new().name("user".into());
            thread.spawn(move || users.work(Caller { node, client: None }))?;
        }
        Ok(())
    }

    fn work(&self, mut caller: Caller) {
        while let Some(action) = self.next() {
            self.carry_out(&mut caller, action);
        }
    }

    /// The next action that is due; none at the end of the run.
    fn next(&self) -> Option<Action> {
        let mut actions = self.actions();
        loop {
            if self.shared.stopping() {
                return None;
            }
            let now = Instant::now();
            let wait = match actions.peek() {
                Some(a) if a.due <= now => return actions.pop(),
                Some(a) => (a.due - now).min(Duration::from_millis(100)),
                None => Duration::from_millis(100),
            };
            let waited = self.more.wait_timeout(actions, wait);
            actions = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn submit_at(&self, due: Instant, plan: Arc<Plan>) {
        self.actions().push(Action {
            due,
            deed: Deed::Submit,
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

    fn later(&self, action: &Action, deed: Deed, after: Duration) {
        let now = Instant::now();
        let first = if deed == action.deed {
            action.first
        } else {
            now + after
        };
        self.actions().push(Action {
            due: now + after,
            deed,
            plan: action.plan.clone(),
            first,
        });
        self.more.notify_one();
    }

    fn carry_out(&self, caller: &mut Caller, a: Action) {
        match a.deed {
            Deed::Submit | Deed::Repeat => self.submit(caller, &a),
            Deed::Poll => self.poll(caller, &a),
            Deed::Cancel => self.cancel(caller, &a),
        }
    }

    fn submit(&self, caller: &mut Caller, a: &Action) {
        let job = &a.plan.spec.id;
        let is_first = a.deed == Deed::Submit && a.due == a.first;
        if is_first {
            self.shared.judge().submitted(a.first, a.plan.clone());
            let mut seen = self.seen();
            seen.submitted += 1;
            if a.plan.is_urgent() {
                seen.urgent.push((job.clone(), a.first));
            }
        }
        let body = a.plan.submission();
        let asked = Instant::now();
        let exchange = self.call(caller, "POST", "/v2/runs", &body, SUBMIT_TIMEOUT);
        let now = Instant::now();
        let told = told(exchange.as_ref(), &[400, 422]);
        self.shared.judge().told(asked, now, job, told);
        match (told, &a.deed) {
            (Told::State(_), Deed::Submit) => self.accepted(caller, a, now),
            (Told::State(_), _) => {}
            (Told::Refused, _) => self.seen().given_up += 1,
            _ => self.try_again(a, exchange.as_ref()),
        }
    }

    fn accepted(&self, caller: &mut Caller, a: &Action, now: Instant) {
        let took = now.saturating_duration_since(a.first);
        let ms = (took.as_millis() as u64).clamp(1, LONGEST_MS);
        self.seen().submissions.saturating_record(ms);
        self.later(a, Deed::Poll, POLL_EVERY);
        if a.plan.repeated {
            self.later(a, Deed::Repeat, RETRY_AFTER);
        }
        if let Some(after) = a.plan.cancel_after {
            self.later(a, Deed::Cancel, after);
        }
        let next = self.pipelines().accepted(&a.plan.spec.id);
        self.submit_now(next);
        if !a.plan.needs.is_empty() {
            self.count_needs(caller, &a.plan);
        }
    }

    fn count_needs(&self, caller: &mut Caller, plan: &Plan) {
        let accepted = {
            let mut seen = self.seen();
            seen.accepted_with_needs += 1;
            seen.accepted_with_needs
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
        stray.needs = vec![stray_job(number)];
        let asked = Instant::now();
        let body = stray.submission();
        let exchange = self.call(caller, "POST", "/v2/runs", &body, SUBMIT_TIMEOUT);
        let told = told(exchange.as_ref(), &[400, 422]);
        let mut judge = self.shared.judge();
        judge.told(asked, Instant::now(), &stray.spec.id, told);
    }

    fn try_again(&self, a: &Action, exchange: Option<&Exchange>) {
        self.shared.tally.refusals.fetch_add(1, Ordering::Relaxed);
        let asked_for = exchange.and_then(|e| e.response.retry_after).unwrap_or(1);
        let wait = Duration::from_secs(u64::from(asked_for.min(30))).max(RETRY_AFTER);
        if Instant::now() + wait > a.first + GIVE_UP {
            self.seen().given_up += 1;
            return;
        }
        self.later(a, a.deed.clone(), wait);
    }

    fn poll(&self, caller: &mut Caller, a: &Action) {
        let job = &a.plan.spec.id;
        let asked = Instant::now();
        let exchange = self.call(caller, "GET", &format!("/v2/runs/{job}"), b"", POLL_TIMEOUT);
        let told = told(exchange.as_ref(), &[]);
        self.shared.judge().told(asked, Instant::now(), job, told);
        let polls = {
            let mut seen = self.seen();
            seen.polls += 1;
            seen.polls_failed += u64::from(told == Told::Nothing);
            seen.polls
        };
        if polls % STRAY_EVERY == 0 {
            self.stray(caller, polls);
        }
        if matches!(told, Told::State(JobState::Done | JobState::Cancelled)) {
            let next = self.pipelines().over(job);
            self.submit_now(next);
        } else {
            self.later(a, Deed::Poll, POLL_EVERY);
        }
    }

    /// Asks about a job that nobody submitted.
    fn stray(&self, caller: &mut Caller, number: u64) {
        let job = stray_job(number);
        let asked = Instant::now();
        let exchange = self.call(caller, "GET", &format!("/v2/runs/{job}"), b"", POLL_TIMEOUT);
        let told = told(exchange.as_ref(), &[]);
        self.shared.judge().told(asked, Instant::now(), &job, told);
    }

    fn cancel(&self, caller: &mut Caller, a: &Action) {
        let job = &a.plan.spec.id;
        self.shared.judge().asked_to_cancel(job);
        let asked = Instant::now();
        let path = format!("/v2/runs/{job}/abort");
        let exchange = self.call(caller, "POST", &path, b"", SUBMIT_TIMEOUT);
        let told = told(exchange.as_ref(), &[]);
        self.shared.judge().told(asked, Instant::now(), job, told);
        match told {
            Told::State(_) => self.seen().cancelled += 1,
            _ => self.try_again(a, exchange.as_ref()),
        }
    }

    fn call(
        &self,
        caller: &mut Caller,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Exchange> {
        for _ in 0..TRIES {
            if caller.client.is_none() {
                let address = self.shared.layout.controller(caller.node);
                caller.client = Client::connect(address, CONNECT_TIMEOUT).ok();
            }
            if let Some(client) = caller.client.as_mut() {
                let exchange = client.call(method, path, body, timeout).ok();
                if let Some(e) = &exchange {
                    let with = Counterpart::Users;
                    self.shared.tally.add(caller.node, with, e.sent, e.received);
                }
                if exchange.as_ref().is_none_or(|e| e.response.close) {
                    caller.move_on(self.shared.layout.controllers);
                }
                return exchange;
            }
            caller.move_on(self.shared.layout.controllers);
        }
        None
    }
}

impl Caller {
    fn move_on(&mut self, controllers: usize) {
        self.client = None;
        self.node = (self.node + 1) % controllers;
    }
}

/// A job that nobody submits.
fn stray_job(number: u64) -> JobId {
    JobId::from(format!("job-9{number:08}").as_str())
}

fn told(exchange: Option<&Exchange>, refusals: &[u16]) -> Told {
    let Some(e) = exchange else {
        return Told::Nothing;
    };
    match e.response.status {
        200 | 201 => match serde_json::from_slice::<JobView>(&e.response.body) {
            Ok(view) => Told::State(view.state),
            Err(_) => Told::Nothing,
        },
        404 => Told::NotFound,
        status if refusals.contains(&status) => Told::Refused,
        _ => Told::Nothing,
    }
}
