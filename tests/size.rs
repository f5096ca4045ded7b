//! A full-sized fleet in memory. Work is bounded by counted steps and writes, not by time,
//! so that the result does not depend on the machine.

mod world;

use hookworks::ids::*;
use hookworks::sched::{Effect, Event, Purpose, WriteQueue};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::peer::Request;
use hookworks::wire::user::Priority;
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report, task};
use world::job;

const MACHINES: u32 = 850;
const CPUS: u32 = 8;

/// A scheduler whose teams may use the whole fleet.
fn desk_without_quotas() -> Desk {
    Desk::set_up(3, vec![], |cfg| {
        for t in &mut cfg.teams {
            (t.cpus, t.cpus_max) = (1e6, 1e6);
        }
    })
}

fn fleet(d: &mut Desk) {
    d.refuses = true;
    for n in 1..=MACHINES {
        d.beat(&report(n, 1, Token(0)));
    }
}

/// What the machine runs, as its worker would report it.
fn running(d: &Desk, n: u32, seq: u64) -> Report {
    let mut r = report(n, seq, Token(3 << 24));
    let m = &d.s.machines[&r.host];
    for t in m.allocations.keys() {
        let l = &d.s.jobs[&t.job].active[&t.index];
        r.tasks.push(task(
            t.job.as_str(),
            t.index.0,
            l.attempt,
            TaskState::Running,
        ));
    }
    r
}

#[test]
fn work_per_event_does_not_grow_with_machines_times_tasks() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    // Enough to fill the fleet, in jobs of a hundred tasks of 2 CPUs.
    let jobs = MACHINES * CPUS / 2 / 100;
    for n in 1..=jobs {
        d.submit(&job(n as u64, 100));
    }
    let live = |d: &Desk| d.s.jobs.values().map(|j| j.active.len()).sum::<usize>();
    assert_eq!(live(&d), jobs as usize * 100);
    // A job evaluates each machine once, and again those that it uses; the naive choice
    // would evaluate all of them for every task.
    let bound = (jobs * (MACHINES + 200)) as u64;
    assert!(
        d.s.machines_evaluated() <= bound,
        "{} > {bound}",
        d.s.machines_evaluated()
    );
    // One write holds a job and all its starts.
    assert!(d.written <= jobs as usize, "{} writes", d.written);

    // A full fleet and as much again waiting: heartbeats cost next to nothing.
    for n in 1..=jobs {
        d.submit(&job(1000 + n as u64, 100));
    }
    let (judged, written) = (d.s.machines_evaluated(), d.written);
    for n in 1..=MACHINES {
        let r = running(&d, n, 2);
        d.beat(&r);
    }
    d.wait(1.0);
    // Some machines may have been left half full by the first jobs.
    let free = d.s.machines.values().filter(|m| m.free().cpu > 0).count() as u64;
    let passes = (MACHINES + 8) as u64;
    let bound = passes * free * jobs as u64;
    assert!(
        d.s.machines_evaluated() - judged <= bound,
        "{}",
        d.s.machines_evaluated() - judged
    );
    assert_eq!(
        d.written, written,
        "reports that tell nothing new were stored"
    );

    // A task ends: its resources go to the first job in line, and few machines are
    // evaluated.
    let (judged, before) = (d.s.machines_evaluated(), live(&d));
    let mut r = running(&d, 1, 3);
    let t = r.tasks.remove(0);
    let of = t.task.job.to_string();
    r.tasks
        .push(ended(&of, t.task.index.0, t.attempt, Cause::Done));
    d.beat(&r);
    assert_eq!(
        live(&d),
        before,
        "the room of a task that ended stays empty"
    );
    let most = 4 * (free + 1) * jobs as u64;
    assert!(
        d.s.machines_evaluated() - judged <= most,
        "{}",
        d.s.machines_evaluated() - judged
    );
}

#[test]
fn huge_job_on_a_full_fleet_delays_no_heartbeat() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    let mut huge = job(1, 100_000);
    huge.priority = Priority::Low;
    let accepted = d.submit(&huge);
    assert_eq!(d.status(accepted), Some(201));
    let (judged, parts) = (
        d.s.machines_evaluated(),
        d.s.jobs[&JobId::from("job-000001")].parts.len(),
    );
    assert!(d.written <= parts + 1, "{} writes", d.written);
    for n in 1..=MACHINES {
        let r = running(&d, n, 2);
        assert!(d.beat(&r).is_some());
    }
    let per_report = (d.s.machines_evaluated() - judged) / MACHINES as u64;
    assert!(
        per_report <= 2,
        "{per_report} machines judged for each report"
    );
}

#[test]
fn new_leader_places_on_a_machine_only_after_its_heartbeat() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    for n in 1..=20 {
        d.submit(&job(n, 100));
    }
    let records: Vec<_> = d.s.jobs.values().map(|j| j.encode(0)).collect();
    let (now, wall) = (Time(d.now), WallTime(1_000_000));
    let jobs = records.iter().map(|r| {
        let mut j = hookworks::sched::job::Job::decode(r, now, wall).unwrap();
        (j.parts[0].version, j.parts[0].stored_version) = (1, 1);
        j
    });
    let mut next = Desk::set_up(4, jobs.collect(), |cfg| {
        for t in &mut cfg.teams {
            (t.cpus, t.cpus_max) = (1e6, 1e6);
        }
    });
    next.submit(&job(900, 50));
    next.wait(0.5);
    let late = |d: &Desk| d.s.jobs[&JobId::from("job-000900")].active.len();
    assert_eq!(late(&next), 0, "placed on a machine that has not reported");
    let r = running(&d, MACHINES, 7);
    next.beat(&r);
    assert!(late(&next) > 0 && late(&next) <= (CPUS / 2) as usize);
}

/// Starts once waited behind the progress of all other jobs, since a record that was already
/// queued kept its place.
#[test]
fn queued_record_moves_up_for_a_more_urgent_purpose() {
    let mut dirty = WriteQueue::default();
    let j = |n| hookworks::sched::job::Job::new(job(n, 4), n, Time(0), WallTime(0), 64);
    let (mut a, mut b) = (j(1), j(2));
    a.mark_changed(0, &mut dirty, Purpose::Progress);
    b.mark_changed(0, &mut dirty, Purpose::Progress);
    b.mark_changed(0, &mut dirty, Purpose::Now);
    let first = dirty.next(Time(0), 1.0).unwrap();
    assert_eq!(
        (first.job.as_str(), first.purpose),
        ("job-000002", Purpose::Now)
    );
    assert!(b.dequeue_write(0, first.purpose));
    // Progress is batched for a while and never uses the last of the budget.
    assert!(dirty.next(Time(0), 1.0).is_none());
    assert!(dirty.next(Time(2_000_000), 0.1).is_none());
    let next = dirty.next(Time(2_000_000), 1.0).unwrap();
    assert!(a.dequeue_write(0, next.purpose));
    // The other entry of the second job is out of date.
    let old = dirty.next(Time(2_000_000), 1.0).unwrap();
    assert!(!b.dequeue_write(0, old.purpose));
}

/// The response to a heartbeat that frees resources waits until the next task is stored, so
/// that starting it needs no direct call and no further heartbeat.
#[test]
fn heartbeat_response_waits_for_the_next_start() {
    let mut d = Desk::set_up(3, vec![], |cfg| cfg.heartbeat_hold = Span::millis(300));
    d.beat(&report(1, 1, Token(0)));
    d.submit(&job(1, 5));
    assert_eq!(d.direct().len(), 1);
    let a = d.attempt("job-000001", 0).unwrap();
    d.event(Event::Direct(
        CallId(1),
        report(1, 2, Token(0)).host,
        hookworks::sched::DirectResult::Done(Box::new(running(&d, 1, 2))),
    ));
    d.stores = false;
    let mut r = running(&d, 1, 3);
    r.tasks.retain(|t| t.task.index.0 != 0);
    r.tasks.push(ended("job-000001", 0, a, Cause::Done));
    let req = d.ask(Request::Report(serde_json::to_vec(&r).unwrap()));
    assert!(
        d.answer(req).is_none(),
        "answered before the next start was stored"
    );
    d.store();
    d.event(Event::Wake);
    let body = &d.answer(req).expect("answered once it was").body;
    let orders: ReportResponse = serde_json::from_str(body).unwrap();
    let runs = |o: &&Command| matches!(o, Command::Run { .. });
    assert_eq!(orders.commands.iter().filter(runs).count(), 1);
    assert!(d.direct().is_empty(), "a direct call was made all the same");
    // Without a stored write it is still answered in time.
    let mut r = running(&d, 1, 4);
    let t = r.tasks.pop().unwrap();
    r.tasks.push(ended(
        "job-000001",
        t.task.index.0,
        t.attempt,
        Cause::Stopped,
    ));
    let req = d.ask(Request::Report(serde_json::to_vec(&r).unwrap()));
    d.wait(0.5);
    assert!(d.answer(req).is_some(), "held for too long");
    let kept = |f: &&Effect| matches!(f, Effect::Answer(..));
    assert!(d.fx.iter().any(|f| kept(&f)));
}

/// Half of all starts fetched an image that their machine still cached: only the last twelve
/// were remembered, whatever the size of the cache.
#[test]
fn images_are_remembered_while_cached() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    let host = report(1, 1, Token(0)).host;
    let m = d.s.machines.get_mut(&host).unwrap();
    assert_eq!(m.cache_gb, 50.0);
    for n in 0..40 {
        m.note_image_use(&Image::from(format!("i{n}").as_str()), 2.0);
    }
    let held = |m: &hookworks::sched::machine::Machine, n: u32| {
        m.has_image(&Image::from(format!("i{n}").as_str()))
    };
    assert!(held(m, 39) && held(m, 15) && !held(m, 14));
    m.note_image_use(&Image::from("i15"), 2.0);
    m.note_image_use(&Image::from("new"), 2.0);
    assert!(held(m, 15) && !held(m, 16), "the longest unused goes first");
}

/// With hundreds of jobs waiting, one pass took a second and requests waited for it.
#[test]
fn pass_is_bounded_and_the_next_resumes_where_it_stopped() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    // Every machine has room for half of what most jobs need.
    let mut most = job(1, MACHINES);
    most.cpus = 7.0;
    d.submit(&most);
    let mut longest = 0;
    for n in 0..300 {
        let judged = d.s.machines_evaluated();
        d.submit(&job(100 + n, 4));
        longest = longest.max(d.s.machines_evaluated() - judged);
    }
    // The lease renewal, the submission and its record: a pass each.
    assert!(longest < 3 * 45_000, "{longest} machines judged at once");
    // Small enough to fit, and last in line.
    let mut small = job(2, 1);
    small.cpus = 1.0;
    d.submit(&small);
    let placed = |d: &Desk, n: u64| !d.s.jobs[&job(n, 1).id].active.is_empty();
    let mut passes = 0;
    while !placed(&d, 2) {
        passes += 1;
        assert!(passes < 30, "passed over");
        d.wait(0.25);
    }
    // Urgent jobs don't wait for their turn.
    let mut urgent = job(3, 1);
    (urgent.cpus, urgent.priority) = (1.0, Priority::High);
    d.submit(&urgent);
    assert!(placed(&d, 3));
}

/// Fifty messages with a pass due after each made a turn of 5.8 s, in which heartbeats and
/// lease renewals waited. The test counts steps, not time.
#[test]
fn messages_trigger_no_pass_and_passes_can_be_deferred() {
    let mut d = Desk::set_up(5, vec![], |c| {
        c.teams[0].cpus_max = 1e6;
        c.pass_interval = Span::millis(40);
    });
    fleet(&mut d);
    d.wait(0.25);
    let judged = d.s.machines_evaluated();
    for n in 0..50 {
        let mut j = job(100 + n, 4);
        if n % 2 == 0 {
            // Of a class with fast starts, for which a pass is due at once.
            (j.class, j.priority) = ("quick".into(), Priority::High);
        }
        d.submit(&j);
        d.now += 5_000;
    }
    assert_eq!(
        d.s.machines_evaluated(),
        judged,
        "a message brought a pass of its own"
    );
    assert!(d.s.wake_at().is_some_and(|t| t <= Time(d.now)));
    d.event(Event::Wake);
    let one = d.s.machines_evaluated() - judged;
    assert!(one > 0 && one < 45_000, "{one} machines judged in a turn");
    // After a long pass the next one is deferred, whatever arrives.
    let until = Time(d.now + 400_000);
    d.s.defer_pass(until);
    let judged = d.s.machines_evaluated();
    let mut urgent = job(3, 1);
    (urgent.class, urgent.priority) = ("quick".into(), Priority::High);
    d.submit(&urgent);
    while Time(d.now) < until {
        assert_eq!(d.s.machines_evaluated(), judged, "no rest");
        d.now += 50_000;
        d.event(Event::Wake);
    }
    assert!(d.s.machines_evaluated() > judged, "passed over");
    assert!(!d.s.jobs[&urgent.id].active.is_empty());
}

/// Its tasks used to be placed one by one, evaluating each machine for each of them against
/// all other tasks of the job, and nothing else ran meanwhile.
#[test]
fn a_large_array_within_one_zone_is_placed_within_the_bound_of_a_pass() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    let tasks = 500;
    let mut array = job(1, tasks);
    array.one_zone = true;
    d.submit(&array);
    let judged = d.s.machines_evaluated();
    let bound = (2 * MACHINES + 3 * tasks) as u64;
    assert!(judged <= bound, "{judged} > {bound}");
    let job = d.s.jobs.values().next().unwrap();
    assert_eq!(job.active.len() as u32, tasks);
    let zones = job.active.values().map(|l| &d.s.machines[&l.host].zone);
    assert_eq!(zones.collect::<std::collections::BTreeSet<_>>().len(), 1);
}

/// A pass that has evaluated its maximum of machines resumes with the same job later.
#[test]
fn a_large_array_spread_over_zones_is_placed_in_several_passes() {
    let mut d = desk_without_quotas();
    fleet(&mut d);
    let tasks = 500;
    let mut array = job(1, tasks);
    array.spread = true;
    let mut judged = d.s.machines_evaluated();
    d.submit(&array);
    for _ in 0..120 {
        let now = d.s.machines_evaluated();
        // The lease renewal, the event and its writes: a pass each.
        assert!(now - judged < 3 * 45_000, "{} judged at once", now - judged);
        judged = now;
        d.wait(0.25);
    }
    let job = d.s.jobs.values().next().unwrap();
    let in_zone = |zone: &str| {
        let hosts = job.active.values().map(|l| &d.s.machines[&l.host].zone);
        hosts.filter(|z| z.as_str() == zone).count() as u32
    };
    assert_eq!((in_zone("a"), in_zone("b")), (tasks / 2, tasks / 2));
}
