//! Pages of unfinished jobs.

use hookworks_listing::{Board, Change, Line, Position, Query, Snapshot};

fn line(n: u32) -> Line {
    Line {
        id: format!("job-{n:06}"),
        status: if n.is_multiple_of(2) {
            "queued"
        } else {
            "running"
        }
        .into(),
        team: if n.is_multiple_of(3) { "red" } else { "blue" }.into(),
        due_ms: Some(n as u64),
        ..Line::default()
    }
}

fn ids(snapshot: &Snapshot, mut q: Query) -> (Vec<String>, Option<Position>) {
    let mut all = vec![];
    loop {
        let page = snapshot.page(&q, 50);
        assert!(page.jobs.len() <= q.page);
        all.extend(page.jobs.into_iter().map(|l| l.id));
        match page.next {
            Some(Position::Unfinished(id)) => q.after = Some(Position::Unfinished(id)),
            end => return (all, end),
        }
    }
}

#[test]
fn pages_are_complete_while_jobs_change() {
    let mut b = Board::default();
    for n in (0..100).rev() {
        b.put(line(n), 0);
    }
    let snapshot = b.publish();
    let q = |text: &str| Query::parse(text).unwrap();
    let (all, end) = ids(&snapshot, q("page=7"));
    assert_eq!(all.len(), 100);
    assert!(all.is_sorted() && end == Some(Position::Finished(String::new())));
    let (some, end) = ids(&snapshot, q("state=queued&team=red&page=3"));
    assert_eq!((some.len(), end), (17, None));
    // A page begins after a job that is gone by then, and readers of the
    // earlier snapshot see it still.
    b.remove("job-000050", "done", 60);
    b.put(line(200), 61);
    b.put(line(200), 62);
    let later = b.publish();
    let (rest, _) = ids(&later, q("after=unfinished:job-000050"));
    assert_eq!((rest.len(), rest[0].as_str()), (50, "job-000051"));
    assert_eq!((snapshot.len(), later.len()), (100, 100));
    // The feed goes on from where the earlier snapshot stood.
    let mark = snapshot.changes(None).next;
    let changes = later.changes(Some(mark));
    let seen = |c: &Change| (c.at_ms, c.job.id.clone(), c.job.status.clone(), c.job.late);
    assert_eq!(
        changes.events.iter().map(seen).collect::<Vec<_>>(),
        [
            (60, "job-000050".into(), "done".into(), true),
            (61, "job-000200".into(), "queued".into(), false),
        ]
    );
}

#[test]
fn lateness_follows_the_clock_of_the_reader() {
    let mut b = Board::default();
    b.put(line(49), 0);
    b.put(line(51), 0);
    let page = b.publish().page(&Query::parse("").unwrap(), 50);
    let late: Vec<bool> = page.jobs.iter().map(|l| l.late).collect();
    assert_eq!(late, [true, false]);
}
