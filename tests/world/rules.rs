//! The rules: of what users are told, and of what is on the machines.

use super::worker::{Goes, LEASE};
use super::{S, World};
use hookworks::ids::*;
use hookworks::store::final_key;
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::user::{ConditionTrigger, JobSpec, JobState, JobView};
use hookworks::wire::worker::{Command, TaskState};
use hookworks_job_lifecycle::HoldRequest;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct Told {
    pub(super) accepted: bool,
    /// When that was first told, to any user by any controller.
    accepted_at: u64,
    pub(super) over: Option<JobState>,
    over_at: u64,
    pub(super) cancelled_at: Option<u64>,
    pub(super) tasks: u32,
    pub(super) cancel_asked: bool,
    /// When a user was last told of it, or began to wait for that.
    pub(super) known_at: u64,
}

impl Told {
    /// Some user had been told so before that.
    pub(super) fn accepted_before(&self, sent: u64) -> bool {
        self.accepted && self.accepted_at < sent
    }
}

impl World {
    /// All troubles are over: every job that was accepted stays known.
    pub fn all_quiet(&mut self) {
        self.quiet_since = Some(self.now);
    }

    /// For 75 s, once all is quiet, no question about it was answered.
    pub(super) fn check_known(&mut self, id: &JobId) {
        let (Some(quiet), Some(t)) = (self.quiet_since, self.told.get(id)) else {
            return;
        };
        let waited = self.now - t.known_at.max(quiet);
        if t.accepted && waited > 75 * S && t.over != Some(JobState::Cancelled) {
            self.broken.push(format!("forgotten: {id} for {waited}"));
        }
    }

    /// A user is told this by nobody that the world knows of.
    pub fn told_by_mistake(&mut self, ask: Request, a: Answer) {
        self.heard(ask, a);
    }

    /// The same, as the answer to a question that was sent then.
    pub fn told_by_mistake_since(&mut self, ask: Request, a: Answer, sent: u64) {
        self.heard_since(ask, a, sent);
    }

    pub fn is_on(&self, t: &TaskId) -> bool {
        self.on.contains_key(t)
    }

    /// An answer to a question that was sent after all that users have been told.
    pub(super) fn heard(&mut self, ask: Request, a: Answer) {
        self.heard_since(ask, a, u64::MAX);
    }

    /// An answer to a question that was sent then. It may be older than what others
    /// were told since, but not than what any user had been told before.
    pub(super) fn heard_since(&mut self, ask: Request, mut a: Answer, sent: u64) {
        let view = serde_json::from_str::<JobView>(&a.body).ok();
        let id: JobId = match &ask {
            Request::Submit(b) => {
                self.judge_submission(b, &a, sent);
                match JobSpec::parse(b) {
                    Ok(spec) => spec.id,
                    // Of no job: it may not even have a name.
                    Err(_) => return self.answers.push((ask, a)),
                }
            }
            Request::Poll(i) | Request::Cancel(i) | Request::Show(i) => i.as_str().into(),
            Request::Hold(i, _) | Request::Release(i, _) => i.as_str().into(),
            Request::Report(_) | Request::List(_) | Request::Events(_) => return,
        };
        let tasks = self.specs.get(&id).map_or(0, |s| s.tasks);
        if matches!(ask, Request::Cancel(_)) {
            self.needs.note_cancel_asked(&id);
        }
        let told = self.told.entry(id.clone()).or_default();
        told.tasks = tasks;
        told.cancel_asked |= matches!(ask, Request::Cancel(_));
        let known = self.specs.contains_key(&id);
        let mut news = false;
        let number = |id: &JobId| id.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        let ignored = self
            .ignores_one_in
            .zip(number(&id))
            .is_some_and(|(n, id): (u64, u64)| id % n == 0);
        if ignored && matches!(ask, Request::Poll(_)) {
            a = Answer::later("a fault put in", 1);
        } else if a.status == 200 {
            told.known_at = self.now;
        }
        let known_before = told.accepted_before(sent);
        if known_before && matches!(a.status, 400 | 404 | 422) {
            self.broken.push(format!("forgotten: {id} {}", a.status));
        }
        if (200..300).contains(&a.status) {
            if !known {
                self.broken.push(format!("invented: {id}"));
            }
            if !told.accepted {
                (told.accepted, told.accepted_at, news) = (true, self.now, true);
            }
            let state = view.unwrap_or_else(|| panic!("{}", a.body)).state;
            // Its user has asked for that, or a job that it depends on was cancelled.
            let asked = told.cancel_asked
                || self.needs.cancel_asked_before(&id)
                || self
                    .specs
                    .get(&id)
                    .is_some_and(|s| !s.start_conditions.is_empty());
            let unasked = state == JobState::Cancelled && !asked;
            let over = matches!(state, JobState::Done | JobState::Cancelled);
            let older = told.over.is_some_and(|o| o != state);
            if unasked || older && (over || told.over_at < sent) {
                self.broken.push(format!("went_back: {id} {state:?}"));
            }
            if state == JobState::Done {
                let all = (0..tasks).all(|n| {
                    self.done_tasks.contains(&TaskId {
                        job: id.clone(),
                        index: TaskIndex(n),
                    })
                });
                if !all {
                    self.broken.push(format!("not_done: {id}"));
                }
            }
            if over && told.over.is_none() {
                (told.over, told.over_at, news) = (Some(state), self.now, true);
            }
            if state == JobState::Cancelled && told.cancelled_at.is_none() {
                told.cancelled_at = Some(self.now);
                self.needs.note_cancelled(&id, self.now);
            }
            self.check_told_orphan(&id, state);
        }
        self.answers.push((ask, a));
        if news {
            self.look_closely(&id);
        }
    }

    /// A hold that is told stands until somebody asks for its release.
    pub(super) fn note_hold(&mut self, req: RequestId, ask: &Request, a: &Answer) {
        let (Some(sent), Request::Hold(id, body)) = (self.holds_asked.remove(&req), ask) else {
            return;
        };
        let key = (
            JobId::from(id.as_str()),
            HoldRequest::parse(body).unwrap().kind,
        );
        let released = self.releases.get(&key).copied().unwrap_or(0);
        if a.status == 200 {
            self.holds_told += 1;
            if released == sent {
                self.held.insert(key);
            }
        }
    }

    /// Nothing of a held job is told to run.
    pub(super) fn check_held(&mut self, orders: &[Command]) {
        for o in orders {
            if let Command::Run { task, .. } = o
                && self.held.iter().any(|(id, _)| *id == task.job)
            {
                self.broken.push(format!("held_started: {task}"));
            }
            if let Command::Run { task, .. } = o {
                // Its conditions: the others are over, for all to see.
                for a in &self.specs[&task.job].start_conditions {
                    let key = final_key(&a.job);
                    let unfinished = matches!(self.store.read(&key), Ok(None));
                    let other = TaskId {
                        job: a.job.clone(),
                        index: task.index,
                    };
                    let early = a.each && !self.done_tasks.contains(&other);
                    if early || a.when == ConditionTrigger::End && unfinished {
                        self.broken.push(format!("began_early: {task}"));
                    }
                }
            }
        }
    }

    /// Gangs begin together, end together, and fall apart together.
    fn step_gangs(&mut self) {
        let mut members: BTreeMap<(JobId, Attempt), Vec<TaskState>> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !w.hangs) {
            for (t, a, state) in w.gang_members() {
                members.entry((t.job, a)).or_default().push(state);
            }
        }
        let now = self.now;
        for (gang, states) in members {
            let n = self.specs[&gang.0].tasks as usize;
            let are = |s: TaskState| states.iter().filter(|x| **x == s).count();
            let goes = match self.gangs.get(&gang) {
                None if are(TaskState::Waiting) == n => {
                    self.gangs_begun += 1;
                    let ends = now + (self.run_s * 1e6) as u64;
                    self.gangs.insert(gang.clone(), Some(ends));
                    Goes::Begins
                }
                // Someone is missing, or hangs: the others notice.
                Some(Some(_)) if are(TaskState::Running) < n => {
                    self.gangs.insert(gang.clone(), None);
                    Goes::Apart
                }
                Some(Some(end)) if now >= *end => {
                    self.gangs.insert(gang.clone(), None);
                    Goes::Home
                }
                Some(None) if are(TaskState::Running) > 0 => Goes::Apart,
                _ => continue,
            };
            for w in self.workers.values_mut().filter(|w| !w.hangs) {
                w.gang_goes(&gang.0, gang.1, goes);
            }
        }
    }

    /// The rules, after every event.
    pub(super) fn check(&mut self) {
        let mut on: BTreeMap<TaskId, BTreeSet<Host>> = BTreeMap::new();
        let mut used: BTreeMap<Team, f64> = BTreeMap::new();
        let mut accelerators: BTreeMap<Team, f64> = BTreeMap::new();
        let mut ended = vec![];
        let now = self.now;
        for w in self.workers.values_mut() {
            w.step(now, LEASE);
        }
        self.step_gangs();
        for w in self.workers.values_mut() {
            for t in w.present() {
                on.entry(t.clone()).or_default().insert(w.host.clone());
                let s = &self.specs[&t.job];
                *used.entry(s.team.clone()).or_default() += s.cpus;
                *accelerators.entry(s.team.clone()).or_default() += s.gpus;
                if w.spot && !s.spot || s.zone.as_ref().is_some_and(|z| *z != w.zone) {
                    self.broken.push(format!("wrong_place: {t}"));
                }
                let told = self.told.get(&t.job).and_then(|t| t.cancelled_at);
                if let Some(at) = told {
                    self.outlived = self.outlived.max(now - at);
                    if now > at + (self.cancel_s * 1e6) as u64 {
                        self.broken.push(format!("ran_cancelled: {t}"));
                    }
                }
            }
            for (task, attempt) in std::mem::take(&mut w.started_under_clear) {
                let host = &w.host;
                self.broken.push(format!(
                    "{now} started_under_clear: {task} {attempt} {host}"
                ));
            }
            ended.push((w.host.clone(), w.take_done()));
        }
        for (host, tasks) in ended {
            self.tasks_end(&host, tasks);
        }
        self.check_starts(&on);
        self.check_tasks_wait(&on);
        for (t, hosts) in &on {
            let before = self.on.get(t);
            if before != Some(hosts) {
                self.started += 1;
                if hosts.len() > 1 {
                    self.broken.push(format!("{now} ran_twice: {t} {hosts:?}"));
                }
            }
            let s = &self.specs[&t.job];
            if s.spread && before != Some(hosts) {
                let zone = |h: &Host| self.workers[h].zone.clone();
                let here: BTreeSet<_> = hosts.iter().map(zone).collect();
                let others = on.iter().filter(|(o, _)| o.job == t.job);
                let near = others.filter(|(_, hs)| hs.iter().any(|h| here.contains(&zone(h))));
                if near.count() > s.tasks.div_ceil(2) as usize {
                    self.broken.push(format!("wrong_place: {t} not scattered"));
                }
            }
            if s.one_zone {
                let zones: BTreeSet<_> = on
                    .iter()
                    .filter(|(o, _)| o.job == t.job)
                    .flat_map(|(_, h)| h.iter().map(|h| self.workers[h].zone.clone()))
                    .collect();
                if zones.len() > 1 {
                    self.broken.push(format!("wrong_place: {t} {zones:?}"));
                }
            }
        }
        self.on = on;
        for (team, n) in accelerators {
            if team.as_str() == "red" && n > 3.0 * self.wealth + 1e-6 {
                self.broken
                    .push(format!("{now} quota: {team} {n} accelerators"));
            }
        }
        for (team, cpus) in used {
            let max = if team.as_str() == "red" { 12.0 } else { 16.0 };
            if cpus > max * self.wealth + 1e-6 {
                self.broken.push(format!("{now} quota: {team} {cpus}"));
            }
        }
    }

    pub fn assert_rules(&self) {
        assert!(
            self.broken.is_empty(),
            "{:#?}\n{:#?}",
            &self.broken[..self.broken.len().min(5)],
            self.log
        );
    }
}
