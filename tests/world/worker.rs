//! A worker as the protocol describes it, in memory.

use hookworks::ids::*;
use hookworks::wire::user::{JobKind, JobSpec};
use hookworks::wire::worker::*;
use std::collections::{BTreeMap, BTreeSet};

/// 20 s by the slowest clock that there may be.
pub const LEASE: u64 = 20_010_000;
/// A member waits so long for the others.
const GANG_WAIT: u64 = 30_000_000;

/// What happens to a gang: it begins, falls apart or has completed, in each
/// case all members at once.
#[derive(Clone, Copy)]
pub enum Goes {
    Begins,
    Apart,
    Home,
}

#[derive(Clone)]
struct Task {
    attempt: Attempt,
    state: TaskState,
    cause: Option<Cause>,
    runs_at: u64,
    ends_at: u64,
    kind: JobKind,
}

pub struct Worker {
    pub host: Host,
    pub zone: Zone,
    pub spot: bool,
    pub born: u64,
    /// Since its first report; before, nobody answers there.
    pub up: bool,
    session: u64,
    seq: u64,
    pub token: u64,
    renewed: u64,
    pub sent_at: u64,
    pub next_beat: u64,
    pub cut: bool,
    /// Neither tells nor does anything until it goes on; since when, and in which
    /// session.
    pub hangs: bool,
    hung: Option<(u64, u64)>,
    /// A fault put in: it goes on with its tasks however long it hung.
    pub forgets_lease: bool,
    /// It reaches no controller, while direct commands reach it.
    pub mute: bool,
    /// Neither answers nor commands reach it.
    pub deaf: bool,
    /// No command reaches it directly.
    pub no_calls: bool,
    /// The only controller that it reports to, if so.
    pub home: Option<usize>,
    /// Fails every task that it starts.
    pub sick: bool,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    done: Vec<TaskId>,
    /// Every run that started here, to tell starts that should not be.
    pub runs: Vec<(TaskId, Attempt)>,
    /// Attempts that were cleared in this session, with the largest token that did so.
    cleared: BTreeMap<(TaskId, Attempt), u64>,
    /// Of these, those that were started again under no larger token.
    pub started_under_clear: Vec<(TaskId, Attempt)>,
}

impl Worker {
    pub fn new(host: Host, zone: Zone, spot: bool, now: u64) -> Worker {
        Worker {
            host,
            zone,
            spot,
            born: now,
            up: false,
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            sent_at: 0,
            next_beat: 0,
            cut: false,
            hangs: false,
            hung: None,
            forgets_lease: false,
            mute: false,
            deaf: false,
            no_calls: false,
            home: None,
            sick: false,
            tasks: BTreeMap::new(),
            done: vec![],
            runs: vec![],
            cleared: BTreeMap::new(),
            started_under_clear: vec![],
        }
    }

    /// What it had is gone; another session begins.
    pub fn begin_anew(&mut self, now: u64) {
        self.tasks.clear();
        self.cleared.clear();
        self.session += 1;
        self.renewed = now;
    }

    /// It hangs: its tasks stay where they are, and get no further.
    pub fn stops(&mut self, now: u64) {
        self.step(now, LEASE);
        self.hangs = true;
        self.hung.get_or_insert((now, self.session));
    }

    /// It goes on. Its lease is judged before anything else: commands that came
    /// meanwhile are for its session of before. False if it did not hang.
    pub fn goes_on(&mut self, now: u64) -> bool {
        let Some((since, session)) = self.hung.take() else {
            return false;
        };
        self.step(now, LEASE);
        self.hangs = false;
        if self.session > session {
            // Its session begins only now.
            self.renewed = now;
        }
        for t in self
            .tasks
            .values_mut()
            .filter(|t| t.state != TaskState::Ended)
        {
            t.runs_at += now - since;
            t.ends_at += now - since;
        }
        self.next_beat = now;
        true
    }

    /// Time passes: images arrive, tasks end, the lease may run out.
    pub fn step(&mut self, now: u64, lease: u64) {
        if !self.up {
            // Its session begins when it is up.
            self.renewed = now;
        }
        if now > self.renewed + lease && !self.forgets_lease {
            self.begin_anew(now);
        }
        if self.hangs {
            return;
        }
        for ((id, _), t) in &mut self.tasks {
            if t.state == TaskState::Fetching && now >= t.runs_at {
                t.state = match t.kind {
                    JobKind::Gang => TaskState::Waiting,
                    _ => TaskState::Running,
                };
            }
            if t.state == TaskState::Waiting && now >= t.runs_at + GANG_WAIT {
                t.state = TaskState::Ended;
                t.cause = Some(Cause::Alone);
            }
            if t.state == TaskState::Running && self.sick {
                t.state = TaskState::Ended;
                t.cause = Some(Cause::Error);
            }
            if t.state == TaskState::Running && now >= t.ends_at {
                t.state = TaskState::Ended;
                t.cause = Some(Cause::Done);
                self.done.push(id.clone());
            }
        }
    }

    pub fn present(&self) -> BTreeSet<TaskId> {
        let on = |t: &&Task| {
            matches!(
                t.state,
                TaskState::Waiting | TaskState::Running | TaskState::Saving
            )
        };
        let here = self.tasks.iter().filter(|(_, t)| on(t));
        here.map(|((id, _), _)| id.clone()).collect()
    }

    /// Members of gangs that wait or run here, and those whose gang has ended.
    pub fn gang_members(&self) -> Vec<(TaskId, Attempt, TaskState)> {
        let gang = self.tasks.iter().filter(|(_, t)| t.kind == JobKind::Gang);
        gang.map(|((id, a), t)| (id.clone(), *a, t.state)).collect()
    }

    /// What becomes of the members of a gang that are here.
    pub fn gang_goes(&mut self, job: &JobId, attempt: Attempt, goes: Goes) {
        for ((id, a), t) in &mut self.tasks {
            if id.job != *job || *a != attempt {
                continue;
            }
            (t.state, t.cause) = match (t.state, goes) {
                (TaskState::Waiting, Goes::Begins) => (TaskState::Running, None),
                (TaskState::Running, Goes::Apart) => (TaskState::Ended, Some(Cause::PeersGone)),
                (TaskState::Running, Goes::Home) => {
                    self.done.push(id.clone());
                    (TaskState::Ended, Some(Cause::Done))
                }
                (state, _) => (state, t.cause),
            };
        }
    }

    /// What takes room here.
    pub fn unfinished(&self) -> impl Iterator<Item = &TaskId> {
        let here = self.tasks.iter();
        let here = here.filter(|(_, t)| t.state != TaskState::Ended);
        here.map(|((id, _), _)| id)
    }

    /// How many tasks of a job there is room for beside what is here.
    pub fn room_for(&self, spec: &JobSpec, specs: &BTreeMap<JobId, JobSpec>) -> u32 {
        let here: Vec<&JobSpec> = self.unfinished().map(|t| &specs[&t.job]).collect();
        let times = |whole: f64, part: fn(&JobSpec) -> f64| {
            let used: f64 = here.iter().map(|s| part(s)).sum();
            match part(spec) > 0.0 {
                true => ((whole - used) / part(spec) + 1e-6).max(0.0) as u32,
                false => u32::MAX,
            }
        };
        let (cpus, gpus) = (times(8.0, |s| s.cpus), times(2.0, |s| s.gpus));
        cpus.min(gpus).min(times(32.0, |s| s.memory_gb))
    }

    pub fn take_done(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.done)
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let one = |((id, a), t): (&(TaskId, Attempt), &Task)| TaskReport {
            task: id.clone(),
            attempt: *a,
            state: t.state,
            cause: t.cause,
            kept: false,
        };
        Report {
            host: self.host.clone(),
            addr: Some("x:1".into()),
            build: "m8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: Session(self.session),
            seq: Seq(self.seq),
            token: Token(self.token),
            notice_s: None,
            tasks: self.tasks.iter().map(one).collect(),
        }
    }

    fn execute(&mut self, now: u64, o: Vec<Command>, specs: &BTreeMap<JobId, JobSpec>, run_s: f64) {
        for o in o {
            match o {
                Command::Run { task, attempt } => {
                    let key = (task.clone(), attempt);
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let busy = |((id, _), t): (&(TaskId, Attempt), &Task)| {
                        *id == task && t.state != TaskState::Ended
                    };
                    let spec = &specs[&task.job];
                    let full = self.room_for(spec, specs) == 0;
                    let cause = if self.tasks.iter().any(busy) {
                        Some(Cause::InUse)
                    } else if full {
                        Some(Cause::NoRoom)
                    } else {
                        None
                    };
                    let kind = spec.kind;
                    let lasts = match kind {
                        JobKind::Array => (run_s * 1e6) as u64,
                        // Until it is cancelled, or its gang ends.
                        JobKind::Service | JobKind::Gang => u64::MAX / 4,
                    };
                    if self.cleared.get(&key).is_some_and(|by| *by >= self.token) {
                        self.started_under_clear.push(key.clone());
                    }
                    self.runs.push((task, attempt));
                    let state = match cause {
                        Some(_) => TaskState::Ended,
                        None => TaskState::Fetching,
                    };
                    let t = Task {
                        attempt,
                        state,
                        cause,
                        runs_at: now + 500_000,
                        ends_at: now + 500_000 + lasts,
                        kind,
                    };
                    self.tasks.insert(key, t);
                }
                Command::Kill { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&(task, attempt))
                        && t.state != TaskState::Ended
                    {
                        t.state = TaskState::Ended;
                        t.cause = Some(Cause::Stopped);
                    }
                }
                Command::Clear { task, attempt } => {
                    let key = (task, attempt);
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Ended)
                    {
                        self.tasks.remove(&key);
                        self.cleared.insert(key, self.token);
                    }
                }
            }
        }
    }

    /// The answer to the report sent at `sent`; true if there is news to tell.
    pub fn answered(
        &mut self,
        now: u64,
        sent: u64,
        a: ReportResponse,
        specs: &BTreeMap<JobId, JobSpec>,
        run_s: f64,
    ) -> bool {
        if a.token.0 < self.token {
            return false;
        }
        self.token = a.token.0;
        self.renewed = sent;
        let news = !a.commands.is_empty();
        self.execute(now, a.commands, specs, run_s);
        news
    }

    pub fn direct(
        &mut self,
        now: u64,
        o: Commands,
        specs: &BTreeMap<JobId, JobSpec>,
        run_s: f64,
    ) -> Result<Box<Report>, Box<Report>> {
        self.step(now, LEASE);
        if o.token.0 < self.token || o.session.0 != self.session {
            return Err(Box::new(self.report()));
        }
        self.token = o.token.0;
        self.execute(now, o.commands, specs, run_s);
        Ok(Box::new(self.report()))
    }
}
