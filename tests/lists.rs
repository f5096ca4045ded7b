//! Lists of jobs: what readers are shown, and what they are not.

mod world;

use hookworks::api::{PublishedJobs, SharedStatus};
use hookworks::ids::*;
use hookworks::node::job_lists::finished_page;
use hookworks::sched::job::Final;
use hookworks::store::budget::Budget;
use hookworks::store::final_key;
use hookworks::time::{Clock, Time};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobState;
use hookworks_listing::{Board, Mark, Page, Position, Query};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::desk::Desk;
use world::job;
use world::store::Handle;

fn query(text: &str) -> Query {
    Query::parse(text).unwrap()
}

/// What the main loop does between two moments.
fn publish(d: &mut Desk, board: &mut Board) -> Vec<String> {
    let changed = d.s.take_changed();
    let ids = changed.iter().map(|(id, _)| id.to_string()).collect();
    for (id, line) in changed {
        match line {
            Ok(l) => board.put(l, d.now),
            Err(state) => board.remove(id.as_str(), state.unwrap().as_str(), d.now),
        }
    }
    ids
}

#[test]
fn readers_see_what_is_stored_and_only_what_changed_is_worked_on() {
    let (mut d, mut board) = (Desk::new(5), Board::default());
    for n in 1..=50 {
        d.submit(&job(n, 1));
    }
    d.stores = false;
    d.submit(&job(51, 1));
    publish(&mut d, &mut board);
    assert_eq!(board.publish().len(), 50, "shown before it was stored");
    d.store();
    assert_eq!(publish(&mut d, &mut board), ["job-000051"]);
    // A cancellation is shown once it is stored, and gone with its final state.
    d.ask(Request::Cancel("job-000007".into()));
    publish(&mut d, &mut board);
    let seen = board.publish().page(&query("state=cancelled"), 0);
    assert!(seen.jobs.is_empty(), "{seen:?}");
    d.store();
    publish(&mut d, &mut board);
    assert_eq!(board.publish().len(), 50);
    d.stores = true;
    let body = br#"{"By":"ann","Why":"x"}"#.to_vec();
    d.ask(Request::Hold("job-000009".into(), body));
    assert_eq!(publish(&mut d, &mut board), ["job-000009"]);
    let held = board.publish().page(&query("state=held"), 0);
    assert_eq!(held.jobs[0].held, ["ann: x"]);
    let last = board.publish().changes(None).next;
    let from = Mark {
        n: last.n - 2,
        ..last
    };
    let feed = board.publish().changes(Some(from)).events;
    let seen: Vec<_> = feed
        .iter()
        .map(|c| (c.job.id.as_str(), c.job.status.as_str()))
        .collect();
    assert_eq!(
        seen,
        [("job-000007", "cancelled"), ("job-000009", "queued")]
    );
    d.wait(2.0);
    assert!(
        publish(&mut d, &mut board).is_empty(),
        "nothing has changed"
    );
}

/// A leader that is none any more would tell what is no longer so.
#[test]
fn nothing_is_told_without_proof_of_the_leadership() {
    let mut board = Board::default();
    let line = hookworks_listing::Line {
        id: "job-000001".into(),
        ..Default::default()
    };
    board.put(line, 0);
    let notice = SharedStatus::default();
    let published = |until| PublishedJobs {
        jobs: board.publish(),
        valid_until: until,
    };
    assert!(notice.page(&query("")).is_none());
    let now = Instant::now();
    notice
        .jobs
        .store(Some(Arc::new(published(now + Duration::from_secs(3600)))));
    assert!(notice.page(&query("")).unwrap().body.contains("job-000001"));
    notice.jobs.store(Some(Arc::new(published(now))));
    assert!(notice.page(&query("")).is_none());
    // The scheduler says for how long.
    let mut d = Desk::new(5);
    let lease = d.s.leadership_valid_until() - Time(d.now);
    assert!(lease.as_secs() > 0.5);
    d.now += lease.0;
    assert_eq!((d.s.leadership_valid_until() - Time(d.now)).0, 0);
}

#[test]
fn finished_jobs_are_read_by_pages_within_a_budget() {
    let store = Handle::default();
    let clock = Clock::start();
    let f = Final {
        state: JobState::Done,
        done: 1,
    };
    for n in 0..1000u64 {
        let id = JobId::from(format!("job-{n:06}").as_str());
        let mut j = job(n, 1);
        j.team = if n % 100 == 0 { "blue" } else { "red" }.into();
        let j = hookworks::sched::job::Job::new(j, n, Time(0), hookworks::time::WallTime(n), 64);
        let record = match n {
            // From before there were histories.
            5 => serde_json::to_value(f).unwrap(),
            _ => j.final_record(f),
        };
        store.put(&final_key(&id), record);
    }
    let mut rich = Budget::new(1e6, 1e6);
    let mut read = |q: &Query| -> Page {
        let a = finished_page(&store, &mut rich, clock, q);
        serde_json::from_str(&a.body).unwrap()
    };
    let (mut all, mut q, mut pages) = (vec![], query("state=finished&page=150"), 0);
    loop {
        let page = read(&q);
        pages += 1;
        all.extend(page.jobs.into_iter().map(|l| l.id));
        let Some(next) = page.next else { break };
        q.after = Some(next);
    }
    // This state service gives seven at a time, whatever is asked for.
    assert!(all.len() == 1000 && all.is_sorted(), "{}", all.len());
    assert_eq!(pages, 1000usize.div_ceil(3 * 7));
    // Few match: a list still reads no more than three pages at a time, and
    // says where to go on.
    let page = read(&query("state=done&team=blue"));
    assert_eq!(page.jobs.len(), 1);
    assert_eq!(page.next, Some(Position::Finished("job-000020".into())));
    // Without budget it says so, and the state service is left alone.
    let mut poor = Budget::new(0.0, 0.0);
    let a = finished_page(&store, &mut poor, clock, &query("state=done"));
    assert_eq!((a.status, a.retry_after), (503, Some(1)));
    store.down(true);
    let a = finished_page(&store, &mut rich, clock, &query("state=done"));
    assert_eq!(a.status, 503);
}
