//! Jobs that fail everywhere, and machines that fail everything.

mod world;

use hookworks::ids::*;
use hookworks::sched::Effect;
use hookworks::sched::job::Job;
use hookworks::time::{Time, WallTime};
use hookworks::wire::user::JobState;
use hookworks::wire::worker::*;
use world::desk::{Desk, ended, report};
use world::job;

fn host(n: u32) -> Host {
    Host::from(format!("n-{n:06}").as_str())
}

fn hosts_of(d: &Desk, j: &str) -> Vec<Host> {
    let j = &d.s.jobs[&JobId::from(j)];
    j.active.values().map(|l| l.host.clone()).collect()
}

/// Reports errors for all attempts on the machine; returns their number.
fn all_fail(d: &mut Desk, n: u32, seq: u64) -> usize {
    let mut r = report(n, seq, Token(0));
    for j in d.s.jobs.values() {
        for (t, l) in j.active.iter().filter(|(_, l)| l.host == r.host) {
            let name = j.id().to_string();
            r.tasks.push(ended(&name, t.0, l.attempt, Cause::Error));
        }
    }
    d.beat(&r);
    r.tasks.len()
}

#[test]
fn machine_that_fails_several_jobs_is_quarantined() {
    let mut d = Desk::new(1);
    d.beat(&report(1, 1, Token(0)));
    for n in 1..=2 {
        d.submit(&job(n, 2));
    }
    assert_eq!(all_fail(&mut d, 1, 2), 4);
    assert!(d.s.machines[&host(1)].quarantined);
    // Its tasks move to another machine, and it is released.
    d.beat(&report(2, 1, Token(0)));
    assert!(hosts_of(&d, "job-000001").iter().all(|h| *h == host(2)));
    d.wait(1.0);
    let back = |f: &Effect| matches!(f, Effect::Release(h) if h.contains(&host(1)));
    assert!(d.fx.iter().any(back));
}

#[test]
fn job_that_fails_everywhere_backs_off_and_quarantines_no_machine() {
    let mut d = Desk::new(1);
    for n in 1..=4 {
        d.beat(&report(n, 1, Token(0)));
    }
    d.submit(&job(1, 1));
    for round in 0..3u64 {
        for n in 1..=4 {
            all_fail(&mut d, n, 2 + round);
        }
    }
    let j = &d.s.jobs[&JobId::from("job-000001")];
    assert!(j.active.is_empty() && j.backoff_until > Time(d.now));
    assert!(d.s.machines.values().all(|m| !m.quarantined));
}

/// Guards against a broken job that took a dozen machines from other jobs at each retry.
#[test]
fn job_that_fails_everywhere_retries_one_task_at_a_time() {
    let mut d = Desk::new(1);
    d.refuses = true;
    for n in 1..=3 {
        d.beat(&report(n, 1, Token(0)));
    }
    let id = JobId::from("job-000001");
    d.submit(&job(1, 40));
    assert_eq!(d.s.jobs[&id].active.len(), 6);
    let mut tries = 0;
    for seq in 2..60 {
        for n in 1..=3 {
            tries += all_fail(&mut d, n, seq);
        }
        assert!(seq < 4 || d.s.jobs[&id].active.len() <= 1);
        d.wait(3.0);
    }
    assert!((8..20).contains(&tries), "{tries} tries in three minutes");
    assert!(d.s.machines.values().all(|m| !m.quarantined));
    assert_eq!(d.s.jobs[&id].state(), JobState::Queued);
    // The next leader learns it from the record.
    let j = &d.s.jobs[&id];
    let again = Job::decode(&j.encode(0), Time(d.now), WallTime(d.now / 1000)).unwrap();
    assert!(again.failed_on_many_machines());
    // Other jobs are not affected, and one success clears the suspicion. The previous
    // machines were released.
    d.beat(&report(4, 1, Token(0)));
    d.submit(&job(2, 3));
    assert_eq!(hosts_of(&d, "job-000002").len(), 3);
    for seq in 2..25 {
        d.beat(&report(4, seq, Token(0)));
        d.wait(3.0);
    }
    let (t, l) = d.s.jobs[&id].active.iter().next().unwrap();
    let mut r = report(4, 100, Token(0));
    r.tasks = vec![ended(id.as_str(), t.0, l.attempt, Cause::Done)];
    d.beat(&r);
    assert!(!d.s.jobs[&id].failed_on_many_machines());
}

/// Many broken jobs at once quarantine no healthy machine for good. A machine that fails
/// everything is told apart from them by what else succeeds there.
#[test]
fn many_broken_jobs_quarantine_no_machine() {
    let mut d = Desk::new(1);
    d.refuses = true;
    for n in 1..=4 {
        d.beat(&report(n, 1, Token(0)));
    }
    for n in 1..=3 {
        d.submit(&job(n, 2));
    }
    for seq in 2..30 {
        for n in 1..=4 {
            all_fail(&mut d, n, seq);
        }
        d.wait(3.0);
    }
    assert!(d.s.machines.values().all(|m| !m.quarantined));
    assert!(d.s.jobs.values().all(|j| j.failed_on_many_machines()));
}
