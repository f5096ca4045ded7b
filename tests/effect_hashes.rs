//! Hashes of all that the schedulers give out in the random histories: equal before and
//! after a change that is meant to leave the behaviour as it is.
//!
//! ```text
//! EFFECT_HASHES=200 cargo test --test effect_hashes -- --nocapture | grep '^seed ' > before.txt
//! ```
//!
//! The same after the change, and `diff before.txt after.txt` shows the seeds that differ.

mod random_history;
mod world;

use random_history::history;
use std::collections::BTreeSet;

/// How many seeds are played unless `EFFECT_HASHES` says otherwise.
const SEEDS: u64 = 3;

fn seeds() -> u64 {
    let wanted = std::env::var("EFFECT_HASHES").ok();
    wanted.map_or(SEEDS, |n| n.parse().expect("EFFECT_HASHES is a number"))
}

fn line(seed: u64) -> String {
    let played = history(seed);
    let (hash, effects) = (played.effect_log.hash(), played.effect_log.effects());
    format!("seed {seed} {hash:08x} {effects}")
}

#[test]
fn the_same_seed_gives_the_same_effects_and_another_seed_others() {
    let first: Vec<String> = (0..seeds()).map(line).collect();
    println!("\n{}", first.join("\n"));
    let again: Vec<String> = (0..SEEDS).map(line).collect();
    assert_eq!(first[..SEEDS as usize], again);
    let hash = |line: &String| line.split(' ').nth(2).map(str::to_owned);
    let different: BTreeSet<_> = first.iter().map(hash).collect();
    assert_eq!(different.len(), first.len(), "{first:?}");
}
