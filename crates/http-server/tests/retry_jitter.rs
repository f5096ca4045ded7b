//! Retries of refused clients are spread out.

use hookworks_http_server::RetryJitter;
use rand::SeedableRng;

#[test]
fn retries_of_a_wave_are_bounded_per_second() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut s = RetryJitter::new(100);
    // By the second on the clock, from 50 on.
    let mut back = [0u32; 40];
    for _ in 0..1400 {
        back[s.next(50, 1, &mut rng) as usize] += 1;
    }
    assert_eq!(back[0], 0);
    assert!(back.iter().all(|n| *n <= 100), "{back:?}");
    // Those of the next second find the others' places taken.
    for _ in 0..1400 {
        back[s.next(51, 1, &mut rng) as usize + 1] += 1;
    }
    assert!(back.iter().all(|n| *n <= 100), "{back:?}");
    // Past what thirty seconds can hold nobody is told more than thirty.
    for _ in 0..5000 {
        assert!((1..=30).contains(&s.next(52, 1, &mut rng)));
    }
}

#[test]
fn few_refused_clients_retry_at_once() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut s = RetryJitter::new(100);
    for second in 0..200 {
        for _ in 0..20 {
            assert_eq!(s.next(second, 1, &mut rng), 1);
        }
        assert_eq!(s.next(second, 4, &mut rng), 4);
    }
}
