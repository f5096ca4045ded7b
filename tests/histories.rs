//! Many random histories, each with its own troubles; the rules hold in all.

mod random_history;
mod world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use random_history::{history, history_with};
use std::ops::Range;
use world::{Ev, World};

/// Share of the reports of which a copy reaches each next leader.
const KEPT_REPORTS: f64 = 0.3;
/// For how many seconds all controllers are away: for less than a leader's lease, or for
/// longer than a worker's.
const AWAY_S: Range<f64> = 0.3..30.0;
/// How often they are away in one history.
const ABSENCES: Range<usize> = 3..6;

/// A history among two more troubles: copies of reports are kept for each next leader, and
/// now and then all controllers are away at once.
fn history_with_absences(seed: u64) -> World {
    history_with(seed, |w| {
        let mut rng = StdRng::seed_from_u64(seed);
        w.at(0.0, Ev::KeepReports(KEPT_REPORTS));
        for _ in 0..rng.random_range(ABSENCES) {
            let at = rng.random_range(15.0..200.0);
            let away = rng.random_range(AWAY_S);
            for i in 0..3 {
                w.at(at + rng.random_range(0.0..0.1), Ev::Kill(i));
                w.at(at + away + rng.random_range(0.0..0.5), Ev::Restart(i));
            }
        }
    })
}

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

/// Copies of reports reach each next leader, and all controllers are away for 0.3 to 30 s.
/// `HISTORIES` asks for more of them, `HISTORIES_FROM` for another first seed.
#[test]
fn rules_hold_when_reports_are_kept_and_all_controllers_are_away() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from: u64 = number("HISTORIES_FROM").unwrap_or(0);
    let mut failures = vec![];
    for seed in from..from + number("HISTORIES").unwrap_or(40) {
        let w = history_with_absences(seed);
        let i = w.leader().expect("a leader after the storm");
        let left: Vec<_> = w.sched(i).jobs.keys().cloned().collect();
        if !w.broken.is_empty() || !left.is_empty() {
            let broken = &w.broken[..w.broken.len().min(3)];
            let text = format!("seed {seed}: {broken:?} {left:?}");
            eprintln!("{text}");
            failures.push(text);
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
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
