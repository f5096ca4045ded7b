//! Hashes of all that the schedulers give out in the random histories: equal before and
//! after a change that is meant to leave the behaviour as it is.
//!
//! ```text
//! cargo test --test effect_hashes -- --ignored --nocapture | grep '^seed ' > before.txt
//! ```
//!
//! The same after the change, and `diff before.txt after.txt` shows the seeds that differ.

mod random_history;
mod world;

use random_history::history;

/// Seeds whose hashes are compared before and after a change of the scheduler.
const SEEDS: u64 = 200;

fn line(seed: u64) -> String {
    let played = history(seed);
    let (hash, effects) = (played.effect_log.hash(), played.effect_log.effects());
    format!("seed {seed} {hash:08x} {effects}")
}

#[test]
fn the_same_seed_gives_the_same_effects_and_another_seed_others() {
    let lines = |seeds: std::ops::Range<u64>| seeds.map(line).collect::<Vec<_>>();
    let first = lines(0..3);
    assert_eq!(first, lines(0..3));
    let hash = |line: &String| line.split(' ').nth(2).map(str::to_owned);
    let different: std::collections::BTreeSet<_> = first.iter().map(hash).collect();
    assert_eq!(different.len(), 3, "{first:?}");
}

#[test]
#[ignore = "prints lines to compare by hand; takes a minute"]
fn prints_the_hash_of_each_seed() {
    println!();
    for seed in 0..SEEDS {
        println!("{}", line(seed));
    }
}
