//! A hollow worker's state: its lease, its token and its tasks, without any I/O.
//! It does what the protocol says a worker does; running is waiting.

use crate::judge::Judge;
use crate::options::RunOptions;
use hookworks::ids::{Attempt, Host, Image, MachineTypeId, Seq, Session, TaskId, Token, Zone};
use hookworks::wire::worker::{
    Cause, Command, Commands, Report, ReportResponse, TaskReport, TaskState,
};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Rate at which images are fetched.
pub const FETCH_GB_PER_S: f64 = 1.0;
/// Reports are never closer together.
const LEAST_GAP: Duration = Duration::from_millis(500);

/// A task on the machine.
#[derive(Clone, Debug)]
struct AssignedTask {
    report: TaskReport,
    cpus: f64,
    run: Duration,
    image: Image,
    /// When its state changes by itself.
    until: Option<Instant>,
}

/// Where a machine stands and what it has.
#[derive(Clone, Debug)]
pub struct Place {
    /// The name of a machine.
    pub host: Host,
    /// The address.
    pub address: String,
    /// Its type.
    pub build: MachineTypeId,
    /// The zone of this number.
    pub zone: Zone,
    /// The number of its zone.
    pub zone_number: usize,
    /// It may be taken back.
    pub spot: bool,
    /// Its processors.
    pub cpus: f64,
}

/// How often a worker sends its heartbeat, and for how long it may act without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// How long a worker acts without an answer.
    pub lease: Duration,
}

impl Heartbeat {
    /// Times that a run's options ask for.
    pub fn of(options: &RunOptions) -> Heartbeat {
        Heartbeat {
            interval: Duration::from_secs_f64(options.report_s),
            lease: Duration::from_secs_f64(options.lease_s),
        }
    }
}

/// What a change of a machine is checked against and recorded in.
pub struct Context<'a> {
    /// The moment.
    pub now: Instant,
    /// The record.
    pub judge: &'a mut Judge,
}

/// A report that was sent and has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// When it was sent.
    pub sent: Instant,
    /// The session it belongs to.
    pub session: Session,
}

/// A machine with its worker.
pub struct Machine {
    /// Where it stands and what it has.
    pub place: Place,
    heartbeat: Heartbeat,
    session: Session,
    seq: Seq,
    token: Token,
    tasks: Vec<AssignedTask>,
    images: HashSet<Image>,
    answered: Instant,
    last_report: Option<Instant>,
    next_report: Instant,
    changed: bool,
    /// Tasks that ended otherwise than by completion or command.
    pub lost: u64,
    /// Workers' leases that ended.
    pub lease_ends: u64,
}

impl Machine {
    /// A machine whose worker begins at `now`; its first report is due at `first`.
    pub fn new(place: Place, heartbeat: Heartbeat, now: Instant, first: Instant) -> Machine {
        Machine {
            place,
            heartbeat,
            session: Session(1),
            seq: Seq(0),
            token: Token(0),
            tasks: vec![],
            images: HashSet::new(),
            answered: now,
            last_report: None,
            next_report: first,
            changed: false,
            lost: 0,
            lease_ends: 0,
        }
    }

    /// When the next report is due.
    pub fn report_due(&self) -> Instant {
        let Some(last) = self.last_report else {
            return self.next_report;
        };
        match self.changed {
            true => self.next_report.min(last + LEAST_GAP),
            false => self.next_report,
        }
    }

    /// When the machine changes by itself: a task, or the lease's end.
    pub fn change_due(&self) -> Instant {
        let tasks = self.tasks.iter().filter_map(|t| t.until).min();
        let lease = self.answered + self.heartbeat.lease;
        tasks.map_or(lease, |t| t.min(lease))
    }

    /// The report as of now. `spread` (0 to 1) draws when the next one is due.
    pub fn begin_report(&mut self, now: Instant, spread: f64) -> (Report, InFlight) {
        self.changed = false;
        self.last_report = Some(now);
        self.next_report = now + self.heartbeat.interval.mul_f64(0.75 + 0.5 * spread);
        let sent = InFlight {
            sent: now,
            session: self.session,
        };
        (self.report(), sent)
    }

    /// The present report; each has a larger number.
    pub fn report(&mut self) -> Report {
        self.seq.0 += 1;
        Report {
            host: self.place.host.clone(),
            addr: Some(self.place.address.clone()),
            build: self.place.build.clone(),
            zone: self.place.zone.clone(),
            spot: self.place.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    /// The answer to a report. One of an earlier session, or with a lower token,
    /// is dropped.
    pub fn answered(&mut self, context: &mut Context, to: InFlight, answer: &ReportResponse) {
        if to.session != self.session || answer.token < self.token {
            return;
        }
        self.answered = self.answered.max(to.sent);
        self.see_token(answer.token);
        self.execute(context, &answer.commands);
    }

    /// Commands that came straight; false: nothing was carried out.
    pub fn commanded(&mut self, context: &mut Context, orders: &Commands) -> bool {
        let accepted = self.accept(orders);
        if accepted {
            self.execute(context, &orders.commands);
        }
        accepted
    }

    /// Whether session and token still match; the token counts as seen then.
    fn accept(&mut self, orders: &Commands) -> bool {
        let accepted = orders.session == self.session && orders.token >= self.token;
        if accepted {
            self.see_token(orders.token);
        }
        accepted
    }

    /// Carries out a command that was carried out before: it should start nothing now.
    pub fn commanded_again(&mut self, context: &mut Context, orders: &Commands) -> bool {
        let accepted = self.accept(orders);
        for command in orders.commands.iter().filter(|_| accepted) {
            if let Command::Run { task, attempt } = command
                && self.position(task, *attempt).is_none()
            {
                let host = &self.place.host;
                context.judge.started_again(context.now, task, host);
            }
            self.execute(context, std::slice::from_ref(command));
        }
        accepted
    }

    fn see_token(&mut self, token: Token) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    fn execute(&mut self, context: &mut Context, orders: &[Command]) {
        for order in orders {
            match order {
                Command::Run { task, attempt } => self.run(context, task, *attempt),
                Command::Kill { task, attempt, .. } => self.kill(context, task, *attempt),
                Command::Clear { task, attempt } => self.clear(task, *attempt),
            }
        }
    }

    fn position(&self, task: &TaskId, attempt: Attempt) -> Option<usize> {
        let is_it = |t: &AssignedTask| t.report.task == *task && t.report.attempt == attempt;
        self.tasks.iter().position(is_it)
    }

    fn run(&mut self, context: &mut Context, task: &TaskId, attempt: Attempt) {
        if self.position(task, attempt).is_some() {
            return;
        }
        self.changed = true;
        let report = TaskReport {
            task: task.clone(),
            attempt,
            state: TaskState::Fetching,
            cause: None,
            kept: false,
        };
        let mut held = AssignedTask {
            report,
            cpus: 0.0,
            run: Duration::ZERO,
            image: Image::from(""),
            until: None,
        };
        match self.admit(context, task, &mut held) {
            Ok(()) => {}
            Err(cause) => {
                held.report.state = TaskState::Ended;
                held.report.cause = Some(cause);
                self.lost += 1;
            }
        }
        self.tasks.push(held);
        self.pass_time(context);
    }

    /// Makes room for a task, or says why there is none.
    fn admit(
        &self,
        context: &Context,
        task: &TaskId,
        held: &mut AssignedTask,
    ) -> Result<(), Cause> {
        let plan = context.judge.plan(&task.job).ok_or(Cause::Unknown)?;
        if task.index.0 >= plan.spec.tasks {
            return Err(Cause::Unknown);
        }
        let here = |t: &&AssignedTask| t.report.state != TaskState::Ended;
        if self
            .tasks
            .iter()
            .filter(here)
            .any(|t| t.report.task == *task)
        {
            return Err(Cause::InUse);
        }
        let used: f64 = self.tasks.iter().filter(here).map(|t| t.cpus).sum();
        if used + plan.spec.cpus > self.place.cpus + 1e-6 {
            return Err(Cause::NoRoom);
        }
        let fetch_s = match self.images.contains(&plan.spec.image) {
            true => 0.0,
            false => plan.spec.image_gb / FETCH_GB_PER_S,
        };
        held.cpus = plan.spec.cpus;
        held.image = plan.spec.image.clone();
        held.run = match context.judge.is_done(task) {
            true => Duration::ZERO,
            false => plan.run,
        };
        held.until = Some(context.now + Duration::from_secs_f64(fetch_s));
        Ok(())
    }

    fn kill(&mut self, context: &mut Context, task: &TaskId, attempt: Attempt) {
        let Some(i) = self.position(task, attempt) else {
            return;
        };
        if self.tasks[i].report.state != TaskState::Ended {
            self.end(context, i, Cause::Stopped);
        }
    }

    fn clear(&mut self, task: &TaskId, attempt: Attempt) {
        let found = self.position(task, attempt);
        let ended = found.filter(|i| self.tasks[*i].report.state == TaskState::Ended);
        if let Some(i) = ended {
            self.tasks.remove(i);
            self.changed = true;
        }
    }

    fn end(&mut self, context: &mut Context, i: usize, cause: Cause) {
        let held = &mut self.tasks[i];
        if held.report.state == TaskState::Running {
            let done = cause == Cause::Done;
            context
                .judge
                .gone(context.now, &held.report.task, &self.place.host, done);
        }
        held.report.state = TaskState::Ended;
        held.report.cause = Some(cause);
        held.until = None;
        self.changed = true;
    }

    /// Carries out what is due by now.
    pub fn pass_time(&mut self, context: &mut Context) {
        for i in 0..self.tasks.len() {
            while self.tasks[i].until.is_some_and(|t| t <= context.now) {
                self.step(context, i);
            }
        }
        if context.now > self.answered + self.heartbeat.lease {
            self.lease_ended(context);
        }
    }

    fn step(&mut self, context: &mut Context, i: usize) {
        let held = &mut self.tasks[i];
        if held.report.state == TaskState::Running {
            return self.end(context, i, Cause::Done);
        }
        held.report.state = TaskState::Running;
        held.until = Some(context.now + held.run);
        self.images.insert(held.image.clone());
        self.changed = true;
        let (task, place) = (&held.report.task, &self.place);
        context
            .judge
            .started(context.now, task, &place.host, &place.zone);
    }

    fn lease_ended(&mut self, context: &mut Context) {
        self.lease_ends += 1;
        self.forget_all(context);
        self.session.0 += 1;
        self.answered = context.now;
        self.changed = true;
    }

    /// All tasks are gone: the lease has ended, or the machine.
    pub fn forget_all(&mut self, context: &mut Context) {
        for held in std::mem::take(&mut self.tasks) {
            if held.report.state == TaskState::Running {
                self.lost += 1;
                context
                    .judge
                    .gone(context.now, &held.report.task, &self.place.host, false);
            }
        }
    }
}
