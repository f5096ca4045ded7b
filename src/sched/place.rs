//! Placement: where a task starts. Machines that pass the time-balance check come
//! first, by best fit; then a join that costs nothing; then renting; then, when nothing
//! is ready or rentable, any machine with room.
//!
//! All pending jobs are served in one pass, which gathers the machines with
//! room once and judges each of them once for each job. `choose` is the same
//! decision for a single task, made from scratch: it serves jobs whose tasks
//! bear on each other's zones, and the tests hold the pass against it.

use super::allowed_zones::AllowedZones;
use super::fleet::Short;
use super::job::{Job, Live, Phase};
use super::machine::{ENDLESS, Machine, Slot};
use super::order::{Order, Turn};
use super::places::Place;
use super::records::Purpose;
use super::spare::Spare;
use super::{Room, Sched, estimate};
use crate::ids::{Attempt, Host, JobId, TaskId, TaskIndex, Team};
use crate::time::{Span, Time};
use crate::wire::user::{JobKind, JobSpec};
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Machines judged for jobs in one pass, some tens of milliseconds of work.
const MAX_JUDGED_PER_PASS: u64 = 40_000;
/// How often preemption is looked into.
const PREEMPTION_INTERVAL: Span = Span(200_000);
/// A machine that has not been heard for so many heartbeat intervals,
const FRESH_HEARTBEAT_INTERVALS: f64 = 1.25;
/// and so many seconds more, takes nothing new.
const FRESH_MARGIN_S: f64 = 2.0;

/// What a pass found.
#[derive(Default)]
struct Plan {
    /// Where tasks start, in this order.
    starts: Vec<(JobId, Host)>,
    /// Which jobs lack room, for how many tasks.
    short: Vec<Short>,
    /// How many turns were served.
    served: usize,
}

/// A machine with room, as it will be once what is planned has started.
pub(super) struct Candidate<'a> {
    pub m: &'a Machine,
    pub free: Room,
    /// Remaining runtimes on it, the smallest and the largest.
    pub span: Option<(Span, Span)>,
    /// Kept free for a gang.
    pub kept: bool,
}

impl Sched {
    /// One pass over all that waits, or as much of it as one pass may judge: with
    /// 600 jobs waiting it once took a second, in which nobody was answered. The
    /// next one goes on where this one stopped, after the urgent.
    pub(super) fn place(&mut self, now: Time) {
        let order = self.order(now);
        let (served, ahead) = order.served(self, now);
        let mut short = vec![];
        let mut held = BTreeSet::new();
        let mut rest = &served[..];
        let until = self.judged.get() + MAX_JUDGED_PER_PASS;
        while !rest.is_empty() && self.judged.get() < until {
            // What must be settled before the next is looked at goes by itself.
            let alone = |t: &Turn| self.jobs.get(&t.job).is_some_and(by_itself);
            let n = rest.iter().position(alone).unwrap_or(rest.len());
            let plan = self.plan(now, &rest[..n], &held, &order, until);
            for (id, host) in plan.starts {
                self.start(now, &id, &host, None);
            }
            short.extend(plan.short);
            if plan.served < n {
                rest = &rest[plan.served..];
                break;
            }
            if let Some(t) = rest.get(n) {
                let (lack, done) = self.place_alone(now, &t.job, &mut held, &order, until);
                short.extend(lack);
                if !done {
                    rest = &rest[n..];
                    break;
                }
            }
            rest = rest.get(n + 1..).unwrap_or(&[]);
        }
        // Those that were not looked at lack what they lacked before.
        let left: BTreeSet<&JobId> = rest.iter().map(|t| &t.job).collect();
        short.extend(self.fleet.short.drain(..).filter(|s| left.contains(&s.job)));
        self.fleet.short = short;
        // Where those ahead take the whole pass, the next one does without them.
        self.stuck = !rest.is_empty() && ahead > 0 && rest.len() + ahead >= served.len();
        if !self.stuck {
            self.goes_on_at = rest.first().map(|t| t.job.clone());
        }
        for m in self.machines.values_mut() {
            let kept = held.contains(&m.host);
            m.kept_since = kept.then(|| m.kept_since.unwrap_or(now));
        }
        if now >= self.preempt_at {
            self.preempt_at = now + PREEMPTION_INTERVAL;
            self.preempt(now, &order);
        }
    }

    /// Gangs, and jobs whose tasks bear on each other's zones. The second value is
    /// false where the pass had to stop within the job.
    fn place_alone(
        &mut self,
        now: Time,
        id: &JobId,
        held: &mut BTreeSet<Host>,
        order: &Order,
        until: u64,
    ) -> (Option<Short>, bool) {
        let gang = |j: &Job| j.spec.kind == JobKind::Gang;
        if self.jobs.get(id).is_some_and(gang) {
            return (self.place_gang(now, id, held, order), true);
        }
        while let Some(j) = self.jobs.get(id) {
            let left = (j.pending() as i64).min(self.teams.left(&j.spec.team).times(&j.need));
            if left == 0 {
                break;
            }
            if self.judged.get() >= until {
                return (None, false);
            }
            // Where the first of its tasks is, all others have to be, and what one
            // of them takes closes no zone for the next.
            if j.spec.one_zone && !j.spec.spread && !j.live.is_empty() {
                return self.place_beside_others(now, id, held, order, until);
            }
            let Some(host) = self.choose(now, id, held, order) else {
                return (Some(Short::anywhere(id, left)), true);
            };
            self.start(now, id, &host, None);
        }
        (None, true)
    }

    /// A job whose zone is settled by the tasks that it has there.
    fn place_beside_others(
        &mut self,
        now: Time,
        id: &JobId,
        held: &BTreeSet<Host>,
        order: &Order,
        until: u64,
    ) -> (Option<Short>, bool) {
        let turn = Turn {
            job: id.clone(),
            most: None,
            lifted: false,
        };
        let mut plan = self.plan(now, &[turn], held, order, until);
        for (id, host) in plan.starts {
            self.start(now, &id, &host, None);
        }
        (plan.short.pop(), plan.served > 0)
    }

    /// Serves the jobs in this order, as far as room and quota go.
    fn plan(
        &self,
        now: Time,
        turns: &[Turn],
        held: &BTreeSet<Host>,
        order: &Order,
        until: u64,
    ) -> Plan {
        if turns.is_empty() {
            return Plan::default();
        }
        let mut planner = Planner::new(self, now, turns, held, order);
        for turn in turns {
            if self.judged.get() >= until {
                break;
            }
            planner.serve(turn);
            planner.plan.served += 1;
        }
        planner.plan
    }

    /// The tests hold the pass against the plain computation.
    fn agrees(
        &self,
        now: Time,
        id: &JobId,
        held: &BTreeSet<Host>,
        order: &Order,
        m: &Machine,
    ) -> bool {
        let judged = self.judged.get();
        let plain = self.choose(now, id, held, order);
        self.judged.set(judged);
        plain.as_ref() == Some(&m.host)
    }

    /// The machine for one task, judged from scratch.
    pub(super) fn choose(
        &self,
        now: Time,
        id: &JobId,
        held: &BTreeSet<Host>,
        order: &Order,
    ) -> Option<Host> {
        let j = self.jobs.get(id)?;
        let fresh = self.heard_within();
        let view = View::of(self, now, j, order, self.fleet.can_rent(now));
        let zones = AllowedZones::of(self, j);
        let spare = self.spare(now);
        let mut best: Option<(Score, &Machine)> = None;
        for m in self.machines.values() {
            if !m.open(now, fresh) {
                continue;
            }
            if !view.may_take(&spare, m.spot, 0) {
                continue;
            }
            if !zones.contains(&m.zone) {
                continue;
            }
            let (free, span) = (m.free(), m.remaining(now));
            let kept = held.contains(&m.host);
            let c = Candidate {
                m,
                free,
                span,
                kept,
            };
            let Some(score) = view.score(&c) else {
                continue;
            };
            if best.as_ref().is_none_or(|(b, _)| score < *b) {
                best = Some((score, m));
            }
        }
        best.map(|(_, m)| m.host.clone())
    }

    /// A machine that has been silent for longer takes nothing new.
    pub(super) fn heard_within(&self) -> Span {
        Span::secs(self.cfg.workers.report_s * FRESH_HEARTBEAT_INTERVALS + FRESH_MARGIN_S)
    }

    pub(super) fn start(&mut self, now: Time, id: &JobId, host: &Host, attempt: Option<Attempt>) {
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(ix) = j.take_pending() else { return };
        let est = estimate::of(j);
        let part = j.part_of(ix);
        let quick = self.quick.contains(&j.spec.class);
        self.books.started(id, ix);
        let purpose = if quick { Purpose::Now } else { Purpose::Start };
        let machine = self.machines.get(host);
        let place = machine.map(|m| Place {
            zone: m.zone.clone(),
            build: m.build.clone(),
            spot: m.spot,
        });
        let ver = j.touch(part, &mut self.dirty, purpose);
        j.live.insert(
            ix,
            Live {
                attempt,
                host: host.clone(),
                place,
                ver,
                phase: Phase::Placed,
                placed: now,
                placed_wall: wall,
                running_since: None,
                inherited: false,
                told: None,
                sent: false,
                stop: None,
                timed_out: false,
            },
        );
        self.teams.add(&j.spec.team, &j.need);
        let mut holds_image = false;
        if let Some(m) = self.machines.get_mut(host) {
            holds_image = m.has_image(&j.spec.image);
            m.used += j.need;
            let slot = Slot {
                need: j.need,
                start: now,
                estimate: est,
                endless: est == ENDLESS,
                image: j.spec.image.clone(),
            };
            m.slots.insert(task_id(id, ix), slot);
        }
        self.unsent.insert(host.clone());
        tracing::debug!(job = %id, class = %j.spec.class, task = %ix, %host, holds_image, "placed");
    }
}

/// Serves jobs in their order, and keeps account of what is left for the next.
struct Planner<'a> {
    sched: &'a Sched,
    now: Time,
    order: &'a Order,
    held: &'a BTreeSet<Host>,
    can_rent: bool,
    /// More waits than there is room for: all of it fills up, and the image decides
    /// first; otherwise that would spoil the best fit.
    crowded: bool,
    candidates: Vec<Candidate<'a>>,
    spare: Spare,
    /// What the teams may still take.
    quota: BTreeMap<&'a Team, Room>,
    /// Tasks of each job that were placed in earlier turns.
    placed: BTreeMap<&'a JobId, i64>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(
        sched: &'a Sched,
        now: Time,
        turns: &'a [Turn],
        held: &'a BTreeSet<Host>,
        order: &'a Order,
    ) -> Planner<'a> {
        let candidates = candidates(sched, now, held);
        let mut open = Room::default();
        for candidate in candidates.iter().filter(|candidate| !candidate.kept) {
            open += candidate.free;
        }
        let mut wanted = Room::default();
        for turn in turns.iter().filter(|turn| !turn.lifted) {
            if let Some(job) = sched.jobs.get(&turn.job) {
                wanted += job.need.scaled(job.pending() as i64);
            }
        }
        Planner {
            sched,
            now,
            order,
            held,
            can_rent: sched.fleet.can_rent(now),
            crowded: !open.covers(&wanted),
            candidates,
            spare: sched.spare(now),
            quota: BTreeMap::new(),
            placed: BTreeMap::new(),
            plan: Plan::default(),
        }
    }

    fn serve(&mut self, turn: &'a Turn) {
        let sched = self.sched;
        let Some(job) = sched.jobs.get(&turn.job) else {
            return;
        };
        let team = &job.spec.team;
        let quota = self.quota.entry(team);
        let left = *quota.or_insert_with(|| sched.teams.left(team));
        let placed_before = self.placed.get(&turn.job).copied().unwrap_or(0);
        let wanted = (job.pending() as i64 - placed_before).min(left.times(&job.need));
        let wanted = turn.most.map_or(wanted, |most| wanted.min(most));
        let placed = self.place_tasks(turn, job, wanted);
        self.quota
            .insert(team, left.minus(&job.need.scaled(placed)));
        self.placed.insert(&turn.job, placed_before + placed);
        // What is lifted has another turn, and is short only then.
        if placed < wanted && turn.most.is_none() {
            let short = Short::anywhere(&turn.job, wanted - placed);
            self.plan.short.push(short);
        }
    }

    /// Places up to so many tasks of a job; answers how many found room.
    fn place_tasks(&mut self, turn: &Turn, job: &Job, wanted: i64) -> i64 {
        let mut view = View::of(self.sched, self.now, job, self.order, self.can_rent);
        view.by_image |= self.crowded;
        // Room kept for quick classes is for them, and for who is below the floor.
        let may_take =
            |spare: &Spare, spot, placed| turn.lifted || view.may_take(spare, spot, placed);
        if wanted <= 0 || !may_take(&self.spare, true, 0) {
            return 0;
        }
        let mut best_first = self.scores(job, &view);
        let mut placed = 0;
        while placed < wanted && may_take(&self.spare, true, placed) {
            let Some(Reverse((_, i))) = best_first.pop() else {
                break;
            };
            if !may_take(&self.spare, self.candidates[i].m.spot, placed) {
                continue;
            }
            debug_assert!(
                self.agrees(turn, self.candidates[i].m),
                "{}: the pass and the plain choice differ",
                turn.job
            );
            self.take(&turn.job, job, view.est, i);
            placed += 1;
            if let Some(score) = view.score(&self.candidates[i]) {
                best_first.push(Reverse((score, i)));
            }
        }
        placed
    }

    /// The candidates that suit a job, the best on top.
    fn scores(&self, job: &Job, view: &View) -> BinaryHeap<Reverse<(Score, usize)>> {
        let zones = AllowedZones::of(self.sched, job);
        let candidates = self.candidates.iter().enumerate();
        let allowed = candidates.filter(|(_, candidate)| zones.contains(&candidate.m.zone));
        let scores = allowed.filter_map(|(i, c)| Some(Reverse((view.score(c)?, i))));
        scores.collect::<Vec<_>>().into()
    }

    /// A task of the job will start there.
    fn take(&mut self, id: &JobId, job: &Job, estimate: Span, i: usize) {
        let candidate = &mut self.candidates[i];
        candidate.free -= job.need;
        candidate.span = Some(match candidate.span {
            None => (estimate, estimate),
            Some((low, high)) => (low.min(estimate), high.max(estimate)),
        });
        self.spare.take(&job.need, candidate.m.spot);
        let host = candidate.m.host.clone();
        self.plan.starts.push((id.clone(), host));
    }

    /// The first start of a pass is the one that a single task would choose, where
    /// nothing but the fit decides.
    fn agrees(&self, turn: &Turn, machine: &Machine) -> bool {
        !self.plan.starts.is_empty()
            || self.crowded
            || turn.most.is_some()
            || self
                .sched
                .agrees(self.now, &turn.job, self.held, self.order, machine)
    }
}

/// The machines that have room, but for those kept free for a gang.
fn candidates<'a>(sched: &'a Sched, now: Time, held: &BTreeSet<Host>) -> Vec<Candidate<'a>> {
    let fresh = sched.heard_within();
    let mut candidates = vec![];
    for machine in sched.machines.values().filter(|m| m.open(now, fresh)) {
        let (free, kept) = (machine.free(), held.contains(&machine.host));
        if free.cpu <= 0 || kept && !machine.kept_long(now) {
            continue;
        }
        candidates.push(Candidate {
            m: machine,
            free,
            span: machine.remaining(now),
            kept,
        });
    }
    candidates
}

pub(super) fn task_id(id: &JobId, ix: TaskIndex) -> TaskId {
    TaskId {
        job: id.clone(),
        index: ix,
    }
}

/// What is the same for all tasks of a job in one pass.
pub(super) struct View<'a> {
    now: Time,
    j: &'a Job,
    est: Span,
    delta: Span,
    quick: bool,
    /// It has waited for as long as any of these rules may make it wait.
    overdue: bool,
    /// And nothing of it has started meanwhile.
    stalled: bool,
    /// A machine that holds the image comes before a better fit.
    by_image: bool,
    judged: &'a Cell<u64>,
    can_rent: bool,
    /// Every machine there is has failed the job: none is avoided.
    failed_all: bool,
    /// The next aim for waiting is met by what runs by then.
    begin_by: Option<Time>,
    /// Work that may go elsewhere leaves plain machines to what may not.
    spares_plain: bool,
    /// A gang waits for whole plain machines, and may have them soon.
    gang_waits: bool,
    /// Spot machines for it can be rented.
    spot_to_rent: bool,
}

impl<'a> View<'a> {
    pub(super) fn of(
        s: &'a Sched,
        now: Time,
        j: &'a Job,
        order: &Order,
        can_rent: bool,
    ) -> View<'a> {
        let t = &s.cfg.tuning;
        let est = estimate::of(j);
        let quick = s.is_quick(&j.spec.class);
        let spares_plain = j.spec.spot && order.plain_wanted;
        View {
            now,
            j,
            est,
            delta: estimate::delta(est, t.delta_factor, t.delta_floor_s),
            quick,
            overdue: j.overdue(now),
            stalled: j.stalled(now),
            by_image: quick,
            judged: &s.judged,
            // What can't wait for a machine to boot does not rent one.
            can_rent: can_rent && !quick && !j.overdue(now),
            failed_all: j.error_hosts.len() >= s.machines.len(),
            begin_by: s.begin_by(now, j, order.within(j.id())),
            spares_plain,
            gang_waits: spares_plain && order.gang_waits,
            spot_to_rent: spares_plain && s.spot_rentable(now, j),
        }
    }

    /// Room that is kept for quick classes is not for others, but for a single task
    /// of who is stalled; `got`: tasks that this pass has placed.
    fn may_take(&self, spare: &Spare, spot: bool, got: i64) -> bool {
        self.quick || self.stalled && got == 0 || spare.allows(&self.j.need, spot)
    }

    /// How well the machine suits, if it may be taken at all.
    pub(super) fn score(&self, c: &Candidate) -> Option<Score> {
        let j = self.j;
        self.judged.set(self.judged.get() + 1);
        if !c.free.fits(&j.need) || !allowed(&j.spec, c.m) {
            return None;
        }
        if c.kept && !(self.overdue && c.m.kept_long(self.now)) {
            return None;
        }
        // A machine that failed this job is not tried again soon.
        if !(self.failed_all || self.overdue) && j.error_hosts.contains(&c.m.host) {
            return None;
        }
        let mut class = class_of(c.span, self.est, self.delta);
        // One that services hold open will not empty for a gang, but others do,
        // unless what is lendable fills them up again and again.
        let empties = c.span.is_none_or(|(_, high)| high < ENDLESS);
        if self.gang_waits && !self.overdue && !c.m.spot && empties {
            return None;
        }
        // An empty plain machine costs several times what a spot one does, be
        // it for work that needs one or until it is given back.
        if self.spot_to_rent && !c.m.spot && c.span.is_none() {
            class = LAST_RESORT;
        }
        if class == LAST_RESORT && self.can_rent {
            return None;
        }
        let no_image = !c.m.has_image(&j.spec.image);
        // An image that is fetched for longer than an aim allows decides more
        // than the fit: starts were late on machines that fitted best.
        let late = no_image
            && self.begin_by.is_some_and(|by| {
                self.now + c.m.fetch_time(self.now, &j.spec.image, j.spec.image_gb) > by
            });
        Some(Score {
            late,
            class,
            image: self.by_image && no_image,
            plain: self.spares_plain && !c.m.spot,
            strands: j.need.gpu == 0 && c.m.capacity.gpu > 0,
            extends: c.span.is_some_and(|(_, high)| high < self.est),
            left: c.free.minus(&j.need).share_left(&c.m.capacity, &j.need),
            no_image,
        })
    }
}

pub(super) fn by_itself(j: &Job) -> bool {
    j.spec.kind == JobKind::Gang || j.spec.one_zone || j.spec.spread
}

fn class_of(span: Option<(Span, Span)>, est: Span, delta: Span) -> u8 {
    match span {
        Some((low, high)) if high.max(est) - low.min(est) <= delta => 0,
        // It stays up for so long anyway.
        Some((_, high)) if high >= est => 1,
        // Rented already and ready: costs what renting would, sooner.
        None => 2,
        // Only when nothing else has room.
        Some(_) => LAST_RESORT,
    }
}

const LAST_RESORT: u8 = 3;
/// Smaller is better; fields count in this order.
#[derive(Clone, Debug)]
pub(super) struct Score {
    pub late: bool,
    class: u8,
    image: bool,
    plain: bool,
    /// It would take CPUs beside accelerators that it has no use for.
    strands: bool,
    /// The machine would have to stay up for longer: of those that pass the
    /// spread check, one that stays up anyway costs nothing more.
    extends: bool,
    left: f64,
    no_image: bool,
}

impl Ord for Score {
    fn cmp(&self, o: &Score) -> Ordering {
        let first = |s: &Score| (s.late, s.class, s.image, s.plain, s.strands, s.extends);
        let first = first(self).cmp(&first(o));
        let then = first.then_with(|| self.left.total_cmp(&o.left));
        then.then_with(|| self.no_image.cmp(&o.no_image))
    }
}
impl PartialOrd for Score {
    fn partial_cmp(&self, o: &Score) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl PartialEq for Score {
    fn eq(&self, o: &Score) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Score {}

/// The job may run on this machine.
pub(super) fn allowed(s: &JobSpec, m: &Machine) -> bool {
    s.builds.as_ref().is_none_or(|b| b.contains(&m.build))
        && s.zone.as_ref().is_none_or(|z| *z == m.zone)
        && (s.spot || !m.spot)
}
