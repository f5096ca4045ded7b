//! Ways to let readers see 4,000 unfinished jobs of which 100 change between
//! two moments, and what a page of 200 costs its reader.
//!
//!     cargo bench -p hookworks-listing

use divan::{Bencher, black_box};
use hookworks_listing::{Board, Line, Query};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, RwLock};

const JOBS: u32 = 4000;
const CHANGED: u32 = 100;

fn line(n: u32) -> Line {
    Line {
        id: format!("job-{n:06}"),
        status: "running".into(),
        class: "script-render".into(),
        team: "floor-ops".into(),
        tasks: 35,
        ..Line::default()
    }
}

/// Each time with another number of tasks done.
fn changes() -> Vec<Line> {
    static TIMES: AtomicU32 = AtomicU32::new(1);
    let done = TIMES.fetch_add(1, Ordering::Relaxed);
    let changed = |n| Line {
        done,
        ..line(n * (JOBS / CHANGED))
    };
    (0..CHANGED).map(changed).collect()
}

#[divan::bench]
fn persistent_map(b: Bencher) {
    let mut board = Board::default();
    (0..JOBS).for_each(|n| board.put(line(n), 0));
    let mut seen = board.publish();
    b.with_inputs(changes).bench_local_values(|c| {
        c.into_iter().for_each(|l| board.put(l, 0));
        seen = board.publish();
        black_box(&seen);
    });
}

#[divan::bench]
fn whole_copy(b: Bencher) {
    let mut map: BTreeMap<Arc<str>, Arc<Line>> = BTreeMap::new();
    for n in 0..JOBS {
        map.insert(line(n).id.as_str().into(), Arc::new(line(n)));
    }
    b.with_inputs(changes).bench_local_values(|c| {
        for l in c {
            map.insert(l.id.as_str().into(), Arc::new(l));
        }
        black_box(Arc::new(map.clone()));
    });
}

/// Readers hold the writer up as long as they read; that is not in the figure.
#[divan::bench]
fn locked_map(b: Bencher) {
    let map: RwLock<BTreeMap<Arc<str>, Arc<Line>>> = RwLock::default();
    b.with_inputs(changes).bench_local_values(|c| {
        let mut map = map.write().expect("not poisoned");
        for l in c {
            map.insert(l.id.as_str().into(), Arc::new(l));
        }
    });
}

#[divan::bench]
fn page_of_200(b: Bencher) {
    let mut board = Board::default();
    (0..JOBS).for_each(|n| board.put(line(n), 0));
    let snapshot = board.publish();
    let q = Query::parse("page=200&after=unfinished:job-002000").expect("a query");
    b.bench_local(|| serde_json::to_string(&snapshot.page(&q, 0)).expect("a page"));
}

fn main() {
    divan::main();
}
