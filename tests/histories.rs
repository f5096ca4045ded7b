//! Many random histories, each with its own troubles; the rules hold in all.

mod random_history;
mod world;

use random_history::{history, history_with};
use world::World;

/// `HISTORIES` asks for more than the usual number of them.
#[test]
fn rules_hold_in_many_random_histories() {
    let (mut gangs, mut holds, mut limited, mut repeated) = (0, 0, 0, 0);
    let more = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    for seed in 0..more.unwrap_or(40) {
        let mut w = history(seed);
        assert!(
            w.broken.is_empty(),
            "seed {seed}: {:#?}\n{:#?}",
            &w.broken[..w.broken.len().min(5)],
            w.log
        );
        assert!(w.started > 10, "seed {seed}: hardly anything ran");
        let i = w.leader().expect("a leader after the storm");
        let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
        assert!(left.is_empty(), "seed {seed}: never finished {left:?}");
        w.run(1.0);
        gangs += w.gangs_begun;
        holds += w.holds_told;
        limited += w.limited.len();
        repeated += w.repeated_calls.carried_out;
    }
    assert!(
        repeated > 40,
        "hardly any repeated call was carried out: {repeated}"
    );
    assert!(limited > 20, "hardly any limit was reached: {limited}");
    assert!(holds > 50, "hardly any hold was told: {holds}");
    assert!(gangs > 40, "hardly any gang began: {gangs}");
}

/// A member that is replaced keeps its attempt number, here on the machine that was told to
/// clear it.
#[test]
fn a_repeated_clear_forgets_no_replaced_member_of_a_gang() {
    for seed in [35, 147, 184] {
        let w = history(seed);
        assert!(w.broken.is_empty(), "seed {seed}: {:#?}", w.broken);
    }
}

/// The checker itself: tokens don't keep repeated calls from being carried out.
#[test]
fn repeated_starts_that_are_carried_out_are_noticed() {
    let mut faulty =
        (0..10).map(|seed| history_with(seed, |w| w.repeated_calls.ignores_tokens = true));
    let started_again = |w: &World| w.broken.iter().any(|b| b.contains("started_again"));
    assert!(faulty.any(|w| started_again(&w)));
}

/// The checker itself: of one job in twenty no question is answered.
#[test]
fn a_job_that_is_not_answered_while_all_others_are_counts_as_forgotten() {
    let faulty = (0..40).map(|seed| history_with(seed, |w| w.ignores_one_in = Some(20)));
    let found = |w: World| {
        let of_it = w
            .broken
            .iter()
            .find(|b| b.starts_with("forgotten: job-000000"));
        of_it.is_some()
    };
    // Cancelled in some of them, or never accepted.
    assert!(faulty.take(3).any(found));
}
