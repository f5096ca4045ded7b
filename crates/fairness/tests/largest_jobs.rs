//! Which jobs count as the largest of their class.

use hookworks_base::time::Span;
use hookworks_fairness::LargestJobs;

/// Guards against delays of the largest jobs that an average over the class hides.
#[test]
fn only_the_largest_tenth_counts() {
    let mut largest = LargestJobs::default();
    for n in 1..=19 {
        largest.record_size(n);
        largest.record_start(1, Span::secs(500.0));
    }
    largest.record_size(3000);
    assert!(largest.is_among_largest(3000) && !largest.is_among_largest(9));
    largest.record_start(3000, Span::secs(70.0));
    let waiting = [(3000, Span::secs(9.0)), (2, Span::secs(99.0))];
    let metrics = largest.metrics(waiting.into_iter());
    assert_eq!((metrics.waiting, metrics.oldest_s), (1, 9.0));
    assert!(metrics.tasks_from > 10 && metrics.tasks_from <= 19);
    // The first job of a class counts as its largest until others are recorded.
    assert_eq!(metrics.longest_s, 500.0);
}
