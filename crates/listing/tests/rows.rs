//! The text form of a page.

use hookworks_listing::{Board, Line, Page, Query, rows};

/// A page was once one line of 80 KiB.
#[test]
fn lines_of_the_longest_page_are_short() {
    let mut b = Board::default();
    for n in 0..300 {
        let line = Line {
            id: format!("job-{n:060}"),
            class: "c".repeat(200),
            team: "t".repeat(200),
            held: vec!["h".repeat(230); 3],
            awaits: vec!["j".repeat(64); 10],
            awaits_count: 5000,
            cancelled_with: Some("j".repeat(64)),
            ..Line::default()
        };
        b.put(line, 0);
    }
    let page = b.publish().page(&Query::parse("page=200").unwrap(), 0);
    let text = rows(&page);
    assert!(text.len() > 64 * 1024);
    assert!(text.lines().all(|l| l.len() < 4096));
    assert_eq!(serde_json::from_str::<Page>(&text).unwrap(), page);
}
