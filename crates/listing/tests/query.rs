//! Queries for a page.

use hookworks_listing::{Position, Query, Show};

#[test]
fn queries_are_parsed_or_the_wrong_field_is_named() {
    let q = Query::parse("team=a%20b&class=c&state=held&since=5&page=200&after=finished%3Ajob-1")
        .unwrap();
    assert_eq!(
        (q.team.as_deref(), q.show, q.page),
        (Some("a b"), Some(Show::Held), 200)
    );
    assert_eq!(q.after, Some(Position::Finished("job-1".into())));
    for (text, named) in [
        ("state=dnoe", "state"),
        ("page=0", "page"),
        ("page=201", "page"),
        ("since=yesterday", "since"),
        ("after=job-1", "after"),
        ("tema=a", "tema"),
    ] {
        let e = Query::parse(text).unwrap_err();
        assert!(e.starts_with(named), "{e}");
    }
    assert!(!Query::parse("state=done").unwrap().wants_unfinished());
    assert!(!Query::parse("state=held").unwrap().wants_finished());
}
