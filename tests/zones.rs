//! A zone that is lost and comes back, in a fleet of a hundred machines in two
//! and three zones with a controller in each.

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

/// Machines up in all zones, with tasks that have just begun to run.
fn at_work(zones: &[&str], each: usize, run_s: f64) -> World {
    let mut w = World::wide(7, zones, each);
    w.run_s = 30.0;
    w.run(2.0);
    let jobs = zones.len() as u64 * 2;
    for n in 0..jobs {
        w.submit(work(n, each as u32 * 2 - 4, 30.0));
    }
    w.run(48.0);
    assert!(w.done_tasks.len() > 100, "{}", w.done_tasks.len());
    w.run_s = run_s;
    for n in jobs..2 * jobs {
        w.submit(work(n, each as u32 * 2 - 4, run_s));
    }
    w.run(5.0);
    w
}

/// An array that may run anywhere: a task takes a quarter of a machine.
fn work(n: u64, tasks: u32, run_s: f64) -> JobSpec {
    let mut j = job(n, tasks);
    j.estimate_s = run_s;
    j
}

/// What operators see of a zone.
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

/// Machines there that have tasks.
fn busy_in(w: &World, zone: &str) -> BTreeSet<Host> {
    let s = w.sched(w.leader().unwrap());
    let there = s.machines.values().filter(|m| m.zone.as_str() == zone);
    let busy = there.filter(|m| !m.allocations.is_empty());
    busy.map(|m| m.host.clone()).collect()
}

/// How many runs were begun, for each task that was begun at all.
fn runs(w: &World) -> usize {
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

/// Everything that was accepted comes to its end, services but for their users.
fn all_end(w: &mut World, seconds: f64) {
    w.run(seconds);
    w.assert_rules();
    let i = w.leader().expect("a leader in the end");
    let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
    assert!(left.is_empty(), "never finished: {left:?}");
}

/// 610 machines were once given back, and as many rented in the zone that was
/// gone, for a cut that most of their work would have outlived.
#[test]
fn a_cut_shorter_than_the_lease_costs_no_running_task() {
    for (seconds, mode) in [(6.0, Link::Held), (10.0, Link::Cut), (17.0, Link::Held)] {
        let mut w = at_work(&["a", "b", "c"], 40, 60.0);
        // Those that idle may go back as ever.
        let (t, hosts, there) = (w.now, busy_in(&w, "b"), tasks_in(&w, "b"));
        assert!(there.len() > 60, "{}", there.len());
        let before = runs(&w);
        w.set_zone("b", mode);
        w.run(seconds);
        if seconds > 9.0 {
            assert_ne!(verdict(&w, "b"), "well");
        }
        w.set_zone("b", Link::Open);
        w.run(8.0);
        assert_eq!(verdict(&w, "b"), "well");
        // They were still there, and nothing of them was begun again.
        assert_eq!(released_in(&w, &hosts, t), 0, "{seconds} s");
        assert_eq!(runs(&w), before, "{seconds} s: begun again");
        assert_eq!(tasks_in(&w, "b"), there, "{seconds} s");
        all_end(&mut w, 120.0);
    }
}

#[test]
fn what_a_lease_has_ended_starts_elsewhere_and_the_machines_wait_for_their_zone() {
    let mut w = at_work(&["a", "b", "c"], 40, 60.0);
    let (t, hosts, there) = (w.now, w.machines_in("b"), tasks_in(&w, "b"));
    w.set_zone("b", Link::Held);
    w.run(4.0);
    let (noticed, calls) = (w.now, w.calls_to("b"));
    assert_ne!(verdict(&w, "b"), "well", "not noticed within 4 s");
    w.submit(work(90, 60, w.run_s));
    w.run(14.0);
    // Until their leases are over, the leader counts on them to be running.
    assert_eq!(tasks_in(&w, "b"), there);
    w.run(12.0);
    // They have started elsewhere, as far as there was room.
    assert!(tasks_in(&w, "b").is_empty());
    assert_eq!(
        rented_in(&w, "b", noticed),
        0,
        "rented where nothing is heard"
    );
    assert_eq!(w.calls_to("b"), calls, "called where nobody can answer");
    assert_eq!(released_in(&w, &hosts, t), 0);
    w.set_zone("b", Link::Open);
    w.run(8.0);
    assert_eq!(verdict(&w, "b"), "well");
    w.submit(work(92, 200, 20.0));
    w.run(3.0);
    assert!(!tasks_in(&w, "b").is_empty(), "its machines serve again");
    assert_eq!(w.machines_in("b"), hosts);
    all_end(&mut w, 250.0);
}

/// The leader that knew how long the zone had been gone ends: its successor
/// counted every lease there from its own election.
#[test]
fn a_take_over_in_any_phase_neither_forgets_nor_believes() {
    // Seconds into the cut at which the leader ends: before anyone noticed, in
    // doubt, lost, after the leases, and as the zone comes back.
    for at in [1.0, 4.0, 12.0, 26.0, 40.5] {
        let mut w = at_work(&["a", "b", "c"], 30, 60.0);
        let leader = w.leader().unwrap();
        let zone = ["a", "b", "c"][(leader + 1) % 3];
        let (t, there) = (w.now, tasks_in(&w, zone));
        w.at(at, Ev::Kill(leader));
        w.at(at + 6.0, Ev::Restart(leader));
        w.set_zone(zone, Link::Held);
        w.run(32.0);
        let gone = tasks_in(&w, zone).intersection(&there).count();
        if (4.0..30.0).contains(&at) {
            // 20 s of lease from the last answer, not from the election.
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
        all_end(&mut w, 300.0);
    }
}

/// In the zone that is cut off the old leader goes on answering for a while:
/// what it keeps alive must not begin anywhere else.
#[test]
fn the_leaders_own_zone_is_lost() {
    for (seconds, mode) in [(12.0, Link::Held), (45.0, Link::Held), (70.0, Link::Cut)] {
        let mut w = at_work(&["a", "b", "c"], 30, 50.0);
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
            assert_eq!(verdict(&w, z), "well", "the others are not condemned");
        }
        w.run(seconds - 6.0);
        w.set_zone(zone.as_str(), Link::Open);
        w.run(10.0);
        all_end(&mut w, 300.0);
    }
}

/// Three leaders within half a minute: the first goes on in the lost zone, the
/// second ends while it may still do so, the third must know of both.
#[test]
fn the_leaders_own_zone_is_lost_and_the_next_leader_with_it() {
    for at in [4.0, 7.0, 11.0, 15.0, 19.0, 23.0] {
        let mut w = at_work(&["a", "b", "c"], 20, 120.0);
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
        all_end(&mut w, 400.0);
    }
}

#[test]
fn the_state_service_is_back_before_the_zone() {
    let mut w = at_work(&["a", "b"], 30, 30.0);
    let old = w.leader().unwrap();
    let zone = w.zone_of(old);
    w.set_zone(zone.as_str(), Link::Held);
    w.at(0.0, Ev::StoreDown(true));
    w.at(9.0, Ev::StoreDown(false));
    w.run(50.0);
    w.set_zone(zone.as_str(), Link::Open);
    w.run(10.0);
    all_end(&mut w, 300.0);
}

#[test]
fn a_second_zone_is_lost_while_the_first_returns() {
    for zones in [vec!["a", "b", "c"], vec!["a", "b"]] {
        let mut w = at_work(&zones, 30, 40.0);
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
        all_end(&mut w, 300.0);
    }
}

#[test]
fn a_flapping_zone_does_not_move_the_fleet() {
    let mut w = at_work(&["a", "b", "c"], 30, 120.0);
    let (t, hosts, before) = (w.now, busy_in(&w, "b"), runs(&w));
    for _ in 0..6 {
        w.set_zone("b", Link::Held);
        w.run(8.0);
        w.set_zone("b", Link::Open);
        w.run(7.0);
    }
    assert_eq!(released_in(&w, &hosts, t), 0);
    assert_eq!(rented_in(&w, "b", t + 3 * S), 0);
    assert_eq!(runs(&w), before, "begun again");
    // What was remembered is forgotten in the end.
    w.run(160.0);
    assert_eq!(verdict(&w, "b"), "well");
    all_end(&mut w, 300.0);
}

/// The others must not be taken for lost, nor what comes back be waited for.
#[test]
fn a_zone_whose_machines_really_died_is_given_up_in_the_end() {
    let mut w = at_work(&["a", "b", "c"], 30, 40.0);
    let (t, hosts) = (w.now, w.machines_in("b"));
    for h in &hosts {
        w.workers.remove(h);
    }
    w.run(40.0);
    assert_eq!(released_in(&w, &hosts, t), 0, "kept while it may come back");
    w.run(100.0);
    assert_eq!(released_in(&w, &hosts, t), hosts.len(), "not kept for ever");
    let given_back = &overview(&w, "b")["since_trouble"]["machines_given_back"];
    assert!(given_back.as_u64() > Some(10), "{given_back}");
    all_end(&mut w, 300.0);
    // It is tried again, and used once something there reports.
    w.submit(work(91, 300, w.run_s));
    w.run(60.0);
    assert!(!w.machines_in("b").is_empty(), "never used again");
    all_end(&mut w, 250.0);
}

/// A few that hang here and there are no zone, and neither is a controller that
/// is lost with the machines that reported to it.
#[test]
fn one_controller_or_some_machines_are_not_a_zone() {
    let mut w = at_work(&["a", "b", "c"], 30, 60.0);
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
    all_end(&mut w, 200.0);
}

/// Two zones that can't reach each other, with a controller in a third between:
/// reports come by way of that.
#[test]
fn two_zones_apart_are_both_well() {
    let mut w = at_work(&["a", "b", "c"], 30, 60.0);
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
    all_end(&mut w, 200.0);
}

#[test]
fn cancelled_and_held_during_the_cut() {
    let mut w = at_work(&["a", "b", "c"], 30, 90.0);
    let ids: Vec<JobId> = w.specs.keys().rev().cloned().collect();
    w.set_zone("b", Link::Held);
    w.run(5.0);
    w.user(Request::Cancel(ids[0].to_string()));
    let hold = serde_json::json!({"By": "a", "Kind": "user", "Why": "b", "Stop": false});
    w.user(Request::Hold(ids[1].to_string(), hold.to_string().into()));
    w.run(50.0);
    // Told as cancelled, its tasks there must be gone by now by themselves.
    w.assert_rules();
    assert_eq!(w.state_of(ids[0].as_str()), Some(JobState::Cancelled));
    w.set_zone("b", Link::Open);
    w.run(10.0);
    let release = serde_json::json!({"By": "a", "Kind": "user"});
    w.user(Request::Release(
        ids[1].to_string(),
        release.to_string().into(),
    ));
    all_end(&mut w, 400.0);
}

#[test]
fn a_gang_on_both_sides_and_a_service_that_must_not_be_elsewhere() {
    let mut w = at_work(&["a", "b"], 20, 30.0);
    let mut gang = work(80, 24, w.run_s);
    (gang.kind, gang.priority) = (JobKind::Gang, Priority::High);
    let mut service = work(81, 6, w.run_s);
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
    // Its scatter forbids the other half: it waits, and stops nobody.
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
    all_end(&mut w, 300.0);
}

/// Work that may run only in the lost zone waits, and asks for nothing.
#[test]
fn work_of_the_lost_zone_alone_waits_for_it() {
    let mut w = at_work(&["a", "b", "c"], 20, 30.0);
    let leader = w.zone_of(w.leader().unwrap());
    let lost = if leader.as_str() == "b" { "c" } else { "b" };
    w.set_zone(lost, Link::Held);
    w.run(6.0);
    let (t, mut only) = (w.now, work(70, 30, w.run_s));
    only.zone = Some(lost.into());
    w.submit(only);
    w.run(30.0);
    assert_eq!(rented_in(&w, lost, t), 0);
    assert_eq!(w.state_of("job-000070"), Some(JobState::Queued));
    w.set_zone(lost, Link::Open);
    all_end(&mut w, 250.0);
}

/// Long arrays of the lost zone must not fill the others ahead of what is
/// urgent there, nor the urgent starve the rest.
#[test]
fn a_loss_under_a_burst_leaves_the_urgent_its_starts_and_everyone_a_share() {
    let mut w = at_work(&["a", "b", "c"], 20, 40.0);
    let jobs: Vec<JobSpec> = (60..64).map(|n| work(n, 150, 40.0)).collect();
    for j in &jobs {
        w.submit(j.clone());
    }
    w.run(5.0);
    w.set_zone("b", Link::Held);
    w.run(25.0);
    let mut urgent = work(65, 20, 10.0);
    urgent.priority = Priority::High;
    w.submit(urgent.clone());
    w.run(6.0);
    let started = w.sched(w.leader().unwrap()).jobs[&urgent.id].active.len();
    assert_eq!(started, 20, "urgent work waits behind what was lost");
    w.run(15.0);
    w.set_zone("b", Link::Open);
    w.run(60.0);
    for j in &jobs {
        let done = w.done_tasks.iter().filter(|t| t.job == j.id).count();
        assert!(done > 0, "{} got nothing", j.id);
    }
    all_end(&mut w, 300.0);
}

/// Results that came about during the cut are kept, also those of attempts
/// whose place was given away.
#[test]
fn what_was_done_during_the_cut_is_not_run_again() {
    let mut w = at_work(&["a", "b", "c"], 30, 15.0);
    let there = tasks_in(&w, "b");
    w.set_zone("b", Link::Held);
    // Whatever is free elsewhere is taken, so that what is given up has to wait.
    w.run_s = 100.0;
    let mut filler = work(93, 700, 100.0);
    filler.priority = Priority::High;
    w.submit(filler);
    w.run(30.0);
    let given_up = tasks_in(&w, "b").is_empty();
    assert!(given_up, "their leases were over");
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
    assert!(waiting.iter().all(known), "they wait to be run once more");
    all_end(&mut w, 400.0);
}

/// Calls that were held up in the cut are answered before any report comes: the zone is
/// there, though its machines take nothing until they report.
#[test]
fn answers_to_calls_show_that_a_zone_is_back() {
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
