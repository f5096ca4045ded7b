//! Which jobs count as the largest of their class.

use hookworks_base::time::Span;
use hookworks_fairness::LargestJobs;

/// The average over a class said that all was well.
#[test]
fn only_the_largest_tenth_counts() {
    let mut l = LargestJobs::default();
    for n in 1..=19 {
        l.record_size(n);
        l.record_start(1, Span::secs(500.0));
    }
    l.record_size(3000);
    assert!(l.is_among_largest(3000) && !l.is_among_largest(9));
    l.record_start(3000, Span::secs(70.0));
    let waiting = [(3000, Span::secs(9.0)), (2, Span::secs(99.0))];
    let f = l.metrics(waiting.into_iter());
    assert_eq!((f.waiting, f.oldest_s), (1, 9.0));
    assert!(f.tasks_from > 10 && f.tasks_from <= 19);
    // The first of a class is its largest until others come.
    assert_eq!(f.longest_s, 500.0);
}
