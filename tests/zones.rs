//! Zone outages in a fleet of about a hundred machines in two or three zones with a
//! controller in each.

mod world;

use hookworks::ids::{Host, JobId, TaskId, Token};
use hookworks::sched::{DirectResult, Event};
use hookworks::time::Time;
use hookworks::wire::peer::Request;
use hookworks::wire::user::{JobKind, JobSpec, JobState, Priority};
use hookworks::wire::worker::Report;
use std::collections::BTreeSet;
use world::desk::{Desk, report};
use world::links::Link;
use world::{Ev, World, job};

const S: u64 = 1_000_000;

/// A fleet with machines up in all zones and tasks that have just started.
fn busy_fleet(zones: &[&str], each: usize, run_s: f64) -> World {
    let mut w = World::wide(7, zones, each);
    w.run_s = 30.0;
    w.run(2.0);
    let jobs = zones.len() as u64 * 2;
    for n in 0..jobs {
        w.submit(array_job(n, each as u32 * 2 - 4, 30.0));
    }
    w.run(48.0);
    assert!(w.done_tasks.len() > 100, "{}", w.done_tasks.len());
    w.run_s = run_s;
    for n in jobs..2 * jobs {
        w.submit(array_job(n, each as u32 * 2 - 4, run_s));
    }
    w.run(5.0);
    w
}

/// An array job that may run anywhere; a task takes a quarter of a machine.
fn array_job(n: u64, tasks: u32, run_s: f64) -> JobSpec {
    let mut j = job(n, tasks);
    j.estimate_s = run_s;
    j
}

/// The operators' overview of a zone.
fn overview(w: &World, zone: &str) -> serde_json::Value {
    let i = w.leader().expect("a leader");
    let o = w.sched(i).overview(hookworks::time::Time(w.now));
    let zones = o["zones"].as_array().unwrap();
    let one = zones.iter().find(|z| z["zone"] == zone);
    one.cloned().unwrap_or_default()
}

fn verdict(w: &World, zone: &str) -> String {
    overview(w, zone)["state"]
        .as_str()
        .unwrap_or("unknown")
        .into()
}

/// Tasks that the leader has on machines of that zone.
fn tasks_in(w: &World, zone: &str) -> BTreeSet<TaskId> {
    let s = w.sched(w.leader().unwrap());
    let there = s.machines.values().filter(|m| m.zone.as_str() == zone);
    there.flat_map(|m| m.allocations.keys().cloned()).collect()
}

/// Machines in the zone that have tasks.
fn busy_in(w: &World, zone: &str) -> BTreeSet<Host> {
    let s = w.sched(w.leader().unwrap());
    let there = s.machines.values().filter(|m| m.zone.as_str() == zone);
    let busy = there.filter(|m| !m.allocations.is_empty());
    busy.map(|m| m.host.clone()).collect()
}

/// The number of attempts started so far.
fn runs_started(w: &World) -> usize {
    w.started as usize
}

fn rented_in(w: &World, zone: &str, since: u64) -> usize {
    let there = w
        .rentals
        .iter()
        .filter(|r| r.0 > since && r.1.as_str() == zone);
    there.map(|r| r.2).sum()
}

fn released_in(w: &World, hosts: &BTreeSet<Host>, since: u64) -> usize {
    let mine = |r: &&(u64, Host)| r.0 > since && hosts.contains(&r.1);
    w.releases_of.iter().filter(mine).count()
}

/// Runs on and checks that every accepted job finishes.
fn assert_all_jobs_finish(w: &mut World, seconds: f64) {
    w.run(seconds);
    w.assert_rules();
    let i = w.leader().expect("a leader in the end");
    let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
    assert!(left.is_empty(), "never finished: {left:?}");
}

/// 610 machines were once released, and as many rented in the lost zone, for an outage
/// that most of their tasks would have survived.
#[test]
fn an_outage_shorter_than_the_lease_costs_no_running_task() {
    for (seconds, mode) in [(6.0, Link::Held), (10.0, Link::Cut), (17.0, Link::Held)] {
        let mut w = busy_fleet(&["a", "b", "c"], 40, 60.0);
        // Idle machines may be released as usual.
        let (t, hosts, there) = (w.now, busy_in(&w, "b"), tasks_in(&w, "b"));
        assert!(there.len() > 60, "{}", there.len());
        let before = runs_started(&w);
        w.set_zone("b", mode);
        w.run(seconds);
        if seconds > 9.0 {
            assert_ne!(verdict(&w, "b"), "well");
        }
        w.set_zone("b", Link::Open);
        w.run(8.0);
        assert_eq!(verdict(&w, "b"), "well");
        // The machines were kept, and none of their tasks was restarted.
        assert_eq!(released_in(&w, &hosts, t), 0, "{seconds} s");
        assert_eq!(runs_started(&w), before, "{seconds} s: restarted");
        assert_eq!(tasks_in(&w, "b"), there, "{seconds} s");
        assert_all_jobs_finish(&mut w, 120.0);
    }
}

#[test]
fn tasks_ended_by_lease_expiry_restart_elsewhere_and_machines_are_kept() {
    let mut w = busy_fleet(&["a", "b", "c"], 40, 60.0);
    let (t, hosts, there) = (w.now, w.machines_in("b"), tasks_in(&w, "b"));
    w.set_zone("b", Link::Held);
    w.run(4.0);
    let (noticed, calls) = (w.now, w.calls_to("b"));
    assert_ne!(verdict(&w, "b"), "well", "not noticed within 4 s");
    w.submit(array_job(90, 60, w.run_s));
    w.run(14.0);
    // Until their leases expire, the leader assumes that they are running.
    assert_eq!(tasks_in(&w, "b"), there);
    w.run(12.0);
    // They have restarted elsewhere, as far as resources allowed.
    assert!(tasks_in(&w, "b").is_empty());
    assert_eq!(rented_in(&w, "b", noticed), 0, "rented in the silent zone");
    assert_eq!(w.calls_to("b"), calls, "direct calls into the silent zone");
    assert_eq!(released_in(&w, &hosts, t), 0);
    w.set_zone("b", Link::Open);
    w.run(8.0);
    assert_eq!(verdict(&w, "b"), "well");
    w.submit(array_job(92, 200, 20.0));
    w.run(3.0);
    assert!(!tasks_in(&w, "b").is_empty(), "its machines serve again");
    assert_eq!(w.machines_in("b"), hosts);
    assert_all_jobs_finish(&mut w, 250.0);
}

/// After a failover during a zone outage the new leader counted every lease there from
/// its own election.
#[test]
fn a_failover_in_any_phase_of_an_outage_counts_leases_from_the_last_answer() {
    // Seconds into the outage at which the leader ends: before detection, in doubt,
    // lost, after lease expiry, and as the zone returns.
    for at in [1.0, 4.0, 12.0, 26.0, 40.5] {
        let mut w = busy_fleet(&["a", "b", "c"], 30, 60.0);
        let leader = w.leader().unwrap();
        let zone = ["a", "b", "c"][(leader + 1) % 3];
        let (t, there) = (w.now, tasks_in(&w, zone));
        w.at(at, Ev::Kill(leader));
        w.at(at + 6.0, Ev::Restart(leader));
        w.set_zone(zone, Link::Held);
        w.run(32.0);
        let gone = tasks_in(&w, zone).intersection(&there).count();
        if (4.0..30.0).contains(&at) {
            // The lease of 20 s counts from the last answer, not from the election.
            assert_eq!(
                gone,
                0,
                "{at} s: still waited for after {} s",
                (w.now - t) / S
            );
        }
        w.run(8.0);
        w.set_zone(zone, Link::Open);
        w.run(12.0);
        assert_eq!(verdict(&w, zone), "well", "{at}");
        assert_all_jobs_finish(&mut w, 300.0);
    }
}

/// In the partitioned zone the old leader goes on answering for a while: attempts whose
/// leases it renews must not start elsewhere.
#[test]
fn the_zone_of_the_leader_is_lost() {
    for (seconds, mode) in [(12.0, Link::Held), (45.0, Link::Held), (70.0, Link::Cut)] {
        let mut w = busy_fleet(&["a", "b", "c"], 30, 50.0);
        let old = w.leader().unwrap();
        let zone = w.zone_of(old);
        let others: Vec<_> = ["a", "b", "c"]
            .into_iter()
            .filter(|z| *z != zone.as_str())
            .collect();
        w.set_zone(zone.as_str(), mode);
        w.run(6.0);
        let new = w.leader().unwrap();
        assert_ne!(new, old, "another leads");
        for z in &others {
            assert_eq!(verdict(&w, z), "well", "healthy zones count as lost");
        }
        w.run(seconds - 6.0);
        w.set_zone(zone.as_str(), Link::Open);
        w.run(10.0);
        assert_all_jobs_finish(&mut w, 300.0);
    }
}

/// Three leaders within half a minute: the first goes on answering in the lost zone,
/// the second ends while the first may still do so, and the third must allow for both.
#[test]
fn the_zone_of_the_leader_is_lost_and_then_the_next_leader() {
    for at in [4.0, 7.0, 11.0, 15.0, 19.0, 23.0] {
        let mut w = busy_fleet(&["a", "b", "c"], 20, 120.0);
        let old = w.leader().unwrap();
        let zone = w.zone_of(old);
        w.set_zone(zone.as_str(), Link::Held);
        w.run(at);
        let second = w.leader().unwrap();
        assert_ne!(second, old);
        w.at(0.0, Ev::Kill(second));
        w.at(6.0, Ev::Restart(second));
        w.run(65.0 - at);
        w.assert_rules();
        w.set_zone(zone.as_str(), Link::Open);
        w.run(10.0);
        assert_all_jobs_finish(&mut w, 400.0);
    }
}

#[test]
fn the_state_service_is_back_before_the_zone() {
    let mut w = busy_fleet(&["a", "b"], 30, 30.0);
    let old = w.leader().unwrap();
    let zone = w.zone_of(old);
    w.set_zone(zone.as_str(), Link::Held);
    w.at(0.0, Ev::StoreDown(true));
    w.at(9.0, Ev::StoreDown(false));
    w.run(50.0);
    w.set_zone(zone.as_str(), Link::Open);
    w.run(10.0);
    assert_all_jobs_finish(&mut w, 300.0);
}

#[test]
fn a_second_zone_is_lost_while_the_first_returns() {
    for zones in [vec!["a", "b", "c"], vec!["a", "b"]] {
        let mut w = busy_fleet(&zones, 30, 40.0);
        let leader = w.leader().unwrap();
        let at = zones
            .iter()
            .position(|z| *z == w.zone_of(leader).as_str())
            .unwrap();
        let first = zones[(at + 1) % zones.len()];
        let second = zones[(at + zones.len() - 1) % zones.len()];
        w.set_zone(first, Link::Held);
        w.run(30.0);
        w.set_zone(first, Link::Open);
        w.run(1.0);
        let second = if second == first { zones[at] } else { second };
        w.set_zone(second, Link::Held);
        w.run(35.0);
        w.set_zone(second, Link::Open);
        w.run(40.0);
        assert_eq!(verdict(&w, first), "well");
        assert_all_jobs_finish(&mut w, 300.0);
    }
}

#[test]
fn a_flapping_zone_does_not_move_the_fleet() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 120.0);
    let (t, hosts, before) = (w.now, busy_in(&w, "b"), runs_started(&w));
    for _ in 0..6 {
        w.set_zone("b", Link::Held);
        w.run(8.0);
        w.set_zone("b", Link::Open);
        w.run(7.0);
    }
    assert_eq!(released_in(&w, &hosts, t), 0);
    assert_eq!(rented_in(&w, "b", t + 3 * S), 0);
    assert_eq!(runs_started(&w), before, "restarted");
    // Remembered outages are forgotten in the end.
    w.run(160.0);
    assert_eq!(verdict(&w, "b"), "well");
    assert_all_jobs_finish(&mut w, 300.0);
}

/// Machines of a zone that never returns are kept for a while and then released.
#[test]
fn a_zone_whose_machines_died_is_released_in_the_end() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 40.0);
    let (t, hosts) = (w.now, w.machines_in("b"));
    for h in &hosts {
        w.workers.remove(h);
    }
    w.run(40.0);
    assert_eq!(
        released_in(&w, &hosts, t),
        0,
        "released while the zone may return"
    );
    w.run(100.0);
    assert_eq!(released_in(&w, &hosts, t), hosts.len(), "kept forever");
    let given_back = &overview(&w, "b")["since_trouble"]["machines_given_back"];
    assert!(given_back.as_u64() > Some(10), "{given_back}");
    assert_all_jobs_finish(&mut w, 300.0);
    // The zone is tried again, and used once a machine there reports.
    w.submit(array_job(91, 300, w.run_s));
    w.run(60.0);
    assert!(!w.machines_in("b").is_empty(), "never used again");
    assert_all_jobs_finish(&mut w, 250.0);
}

/// Single hanging machines are no zone outage, and neither is the loss of a controller
/// together with the machines that reported to it.
#[test]
fn failures_of_one_controller_or_some_machines_are_no_zone_outage() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 60.0);
    let some: Vec<Host> = w.workers.keys().step_by(4).cloned().collect();
    for h in some {
        w.at(0.0, Ev::Hang(h.clone(), true));
        w.at(9.0, Ev::Hang(h, false));
    }
    let other = (w.leader().unwrap() + 1) % 3;
    w.at(0.0, Ev::Kill(other));
    w.at(20.0, Ev::Restart(other));
    for _ in 0..25 {
        w.run(1.0);
        for z in ["a", "b", "c"] {
            assert_eq!(verdict(&w, z), "well");
        }
    }
    assert_all_jobs_finish(&mut w, 200.0);
}

/// Two zones can't reach each other; heartbeats are forwarded by a controller in a
/// third zone.
#[test]
fn two_zones_that_cannot_reach_each_other_are_both_well() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 60.0);
    w.set_link("a", "b", Link::Held);
    w.set_link("b", "a", Link::Held);
    for _ in 0..30 {
        w.run(1.0);
        for z in ["a", "b", "c"] {
            assert_eq!(verdict(&w, z), "well");
        }
    }
    w.set_link("a", "b", Link::Open);
    w.set_link("b", "a", Link::Open);
    assert_all_jobs_finish(&mut w, 200.0);
}

#[test]
fn jobs_are_cancelled_and_held_during_an_outage() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 90.0);
    let ids: Vec<JobId> = w.specs.keys().rev().cloned().collect();
    w.set_zone("b", Link::Held);
    w.run(5.0);
    w.user(Request::Cancel(ids[0].to_string()));
    let hold = serde_json::json!({"By": "a", "Kind": "user", "Why": "b", "Stop": false});
    w.user(Request::Hold(ids[1].to_string(), hold.to_string().into()));
    w.run(50.0);
    // The user was told that the job is cancelled, so its tasks there must have ended
    // by themselves by now.
    w.assert_rules();
    assert_eq!(w.state_of(ids[0].as_str()), Some(JobState::Cancelled));
    w.set_zone("b", Link::Open);
    w.run(10.0);
    let release = serde_json::json!({"By": "a", "Kind": "user"});
    w.user(Request::Release(
        ids[1].to_string(),
        release.to_string().into(),
    ));
    assert_all_jobs_finish(&mut w, 400.0);
}

#[test]
fn a_gang_across_zones_and_a_spread_service_survive_an_outage() {
    let mut w = busy_fleet(&["a", "b"], 20, 30.0);
    let mut gang = array_job(80, 24, w.run_s);
    (gang.kind, gang.priority) = (JobKind::Gang, Priority::High);
    let mut service = array_job(81, 6, w.run_s);
    (service.kind, service.priority, service.spread) =
        (JobKind::Service, Priority::Production, true);
    w.submit(service.clone());
    w.submit(gang);
    w.run(40.0);
    let lost = match w.zone_of(w.leader().unwrap()).as_str() {
        "a" => "b",
        _ => "a",
    };
    let of_service = |w: &World, zone: &str| {
        let there = tasks_in(w, zone);
        there.iter().filter(|t| t.job == service.id).count()
    };
    assert_eq!(of_service(&w, lost), 3);
    w.set_zone(lost, Link::Held);
    w.run(45.0);
    // The spread rule forbids placing the other half: it waits and preempts nothing.
    let s = w.sched(w.leader().unwrap());
    assert_eq!(s.jobs[&service.id].active.len(), 3);
    w.assert_rules();
    w.set_zone(lost, Link::Open);
    w.run(30.0);
    assert_eq!(
        w.sched(w.leader().unwrap()).jobs[&service.id].active.len(),
        6
    );
    w.user(Request::Cancel(service.id.to_string()));
    assert_all_jobs_finish(&mut w, 300.0);
}

/// Jobs that may run only in the lost zone wait, and nothing is rented for them.
#[test]
fn jobs_bound_to_the_lost_zone_wait_for_it() {
    let mut w = busy_fleet(&["a", "b", "c"], 20, 30.0);
    let leader = w.zone_of(w.leader().unwrap());
    let lost = if leader.as_str() == "b" { "c" } else { "b" };
    w.set_zone(lost, Link::Held);
    w.run(6.0);
    let (t, mut only) = (w.now, array_job(70, 30, w.run_s));
    only.zone = Some(lost.into());
    w.submit(only);
    w.run(30.0);
    assert_eq!(rented_in(&w, lost, t), 0);
    assert_eq!(w.state_of("job-000070"), Some(JobState::Queued));
    w.set_zone(lost, Link::Open);
    assert_all_jobs_finish(&mut w, 250.0);
}

/// Long arrays from the lost zone must not fill the other zones ahead of urgent jobs,
/// nor may urgent jobs starve the rest.
#[test]
fn an_outage_during_a_burst_starves_neither_urgent_nor_other_jobs() {
    let mut w = busy_fleet(&["a", "b", "c"], 20, 40.0);
    let jobs: Vec<JobSpec> = (60..64).map(|n| array_job(n, 150, 40.0)).collect();
    for j in &jobs {
        w.submit(j.clone());
    }
    w.run(5.0);
    w.set_zone("b", Link::Held);
    w.run(25.0);
    let mut urgent = array_job(65, 20, 10.0);
    urgent.priority = Priority::High;
    w.submit(urgent.clone());
    w.run(6.0);
    let started = w.sched(w.leader().unwrap()).jobs[&urgent.id].active.len();
    assert_eq!(
        started, 20,
        "urgent job waits behind tasks of the lost zone"
    );
    w.run(15.0);
    w.set_zone("b", Link::Open);
    w.run(60.0);
    for j in &jobs {
        let done = w.done_tasks.iter().filter(|t| t.job == j.id).count();
        assert!(done > 0, "{} got nothing", j.id);
    }
    assert_all_jobs_finish(&mut w, 300.0);
}

/// Results completed during an outage are kept, also those of attempts already presumed
/// lost.
#[test]
fn tasks_completed_during_an_outage_are_not_run_again() {
    let mut w = busy_fleet(&["a", "b", "c"], 30, 15.0);
    let there = tasks_in(&w, "b");
    w.set_zone("b", Link::Held);
    // All free resources elsewhere are taken, so that tasks of the lost zone have to
    // wait.
    w.run_s = 100.0;
    let mut filler = array_job(93, 700, 100.0);
    filler.priority = Priority::High;
    w.submit(filler);
    w.run(30.0);
    let given_up = tasks_in(&w, "b").is_empty();
    assert!(given_up, "leases have not expired");
    let s = w.sched(w.leader().unwrap());
    let open = |t: &&TaskId| {
        s.jobs
            .get(&t.job)
            .is_some_and(|j| !j.active.contains_key(&t.index))
    };
    let waiting: Vec<TaskId> = there.iter().filter(open).cloned().collect();
    assert!(waiting.len() > 10, "{}", waiting.len());
    assert!(waiting.iter().all(|t| w.done_tasks.contains(t)));
    w.set_zone("b", Link::Open);
    w.run(3.0);
    let s = w.sched(w.leader().unwrap());
    let known = |t: &TaskId| s.jobs.get(&t.job).is_none_or(|j| j.is_done(t.index));
    assert!(
        waiting.iter().all(known),
        "completed tasks wait to run again"
    );
    assert_all_jobs_finish(&mut w, 400.0);
}

/// Direct calls delayed by the outage are answered before any heartbeat arrives: the
/// zone has returned, though its machines get no tasks until they report.
#[test]
fn answers_to_direct_calls_end_a_zone_outage() {
    let mut d = Desk::new(5);
    let from = |zone: &str, n: u32, seq: u64, token: Token| Report {
        zone: zone.into(),
        ..report(n, seq, token)
    };
    let state = |d: &Desk| {
        let o = d.s.overview(Time(d.now));
        let zones = o["zones"].as_array().unwrap().clone();
        let a = zones.into_iter().find(|z| z["zone"] == "a").unwrap();
        a["state"].as_str().unwrap().to_string()
    };
    for n in 1..=8 {
        d.beat(&from(if n <= 4 { "a" } else { "b" }, n, 1, Token(0)));
    }
    d.submit(&job(1, 6));
    d.submit(&job(2, 6));
    let calls = d.direct();
    for seq in 2..14 {
        d.wait(1.0);
        for n in 5..=8 {
            d.beat(&from("b", n, seq, Token(0)));
        }
    }
    assert_eq!(state(&d), "lost");
    for (call, host, orders) in calls {
        let n: u32 = host.as_str()[2..].parse().unwrap();
        if n <= 4 {
            let shown = Box::new(from("a", n, 2, orders.token));
            d.event(Event::Direct(call, host, DirectResult::Done(shown)));
        }
    }
    d.wait(0.5);
    assert_ne!(state(&d), "lost");
}
