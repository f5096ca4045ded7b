//! The feed of changes.

use hookworks_listing::{Board, FEED_LENGTH, FEED_PAGE, Line, Mark};

/// Jobs in the order of their ids; each change of the same job is another one.
fn line(n: u64, change: u32) -> Line {
    Line {
        id: format!("job-{n}"),
        done: change,
        ..Line::default()
    }
}

#[test]
fn feed_reader_misses_no_change_unless_told_to_reset() {
    let mut board = Board::new(7);
    let begin = board.publish().changes(None);
    assert!(begin.reset && begin.events.is_empty());
    let mut mark = begin.next;
    let mut seen = vec![];
    for round in 0..10u64 {
        for n in 0..300 {
            board.put(line(round * 300 + n, 0), round);
        }
        loop {
            let c = board.publish().changes(Some(mark));
            assert!(!c.reset && c.events.len() <= FEED_PAGE);
            seen.extend(c.events.into_iter().map(|e| e.job.id));
            mark = c.next;
            if !c.more {
                break;
            }
        }
    }
    let all: Vec<String> = (0..3000).map(|n| line(n, 0).id).collect();
    assert_eq!(seen, all);
    // Away for too long, of another term, or of a future that never was.
    for change in 0..=FEED_LENGTH {
        board.put(line(0, 1 + change as u32), 0);
    }
    for m in [
        mark,
        Mark { term: 6, n: 1 },
        Mark {
            term: 7,
            n: 1 << 40,
        },
    ] {
        let c = board.publish().changes(Some(m));
        assert!(c.reset && c.events.is_empty() && c.next.term == 7, "{m:?}");
    }
    assert_eq!(board.publish().feed_length() as u64, FEED_LENGTH);
    let text = String::from(Mark { term: 5, n: 9 });
    assert_eq!(Mark::try_from(text), Ok(Mark { term: 5, n: 9 }));
    assert!(Mark::try_from("5".to_string()).is_err());
}
