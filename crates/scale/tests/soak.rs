//! The soak: its schedules, what it refuses, what its verdict notices, and a short one
//! with real controllers.

use clap::Parser;
use hookworks_scale::interference::TroubleKind;
use hookworks_scale::judge::{Rule, Verdict};
use hookworks_scale::options::BadInput;
use hookworks_scale::soak::schedule::{Frame, Target, Trouble, draw};
use hookworks_scale::soak::{SoakOptions, SoakVerdict, run_seed};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    soak: SoakOptions,
}

fn options(arguments: &str) -> SoakOptions {
    let all = ["soak"].into_iter().chain(arguments.split_whitespace());
    Options::parse_from(all).soak
}

fn frame() -> Frame {
    Frame {
        controllers: 3,
        zones: 3,
        length_s: 45.0,
        kinds: TroubleKind::ALL.to_vec(),
    }
}

#[test]
fn a_seed_always_gives_the_same_schedule_and_another_seed_another_one() {
    assert_eq!(draw(7, &frame()), draw(7, &frame()));
    assert_ne!(draw(7, &frame()), draw(8, &frame()));
}

#[test]
fn troubles_overlap_end_in_time_and_all_kinds_come() {
    let mut kinds: Vec<TroubleKind> = vec![];
    for seed in 1..=20 {
        let schedule = draw(seed, &frame());
        let ends = schedule.iter().map(|t| t.at_s + t.for_s);
        assert!(ends.fold(0.0, f64::max) <= frame().length_s, "seed {seed}");
        let overlaps = |t: &Trouble| {
            let others = schedule.iter().filter(|o| *o != t);
            let mut during =
                others.filter(|o| o.at_s < t.at_s + t.for_s && t.at_s < o.at_s + o.for_s);
            during.next().is_some()
        };
        assert!(
            schedule.iter().any(overlaps),
            "seed {seed}: nothing overlaps"
        );
        kinds.extend(schedule.iter().map(|t| t.kind));
    }
    for kind in TroubleKind::ALL {
        assert!(kinds.contains(&kind), "{kind:?} never comes");
    }
}

#[test]
fn bad_input_is_refused_with_the_option_named() {
    let refused = |arguments: &str| options(arguments).check().unwrap_err().to_string();
    let program = "--program /proc/self/exe";
    assert!(refused(&format!("--seeds 0 {program}")).contains("--seeds"));
    assert!(refused(&format!("--length-s 1 {program}")).contains("--length-s"));
    let too_many = options(&format!("--workers 20000 --controllers 6 {program}"));
    let mut run = too_many.run_options(1);
    run.controller_mb = 8192.0;
    assert!(matches!(
        run.check(),
        Err(BadInput::Memory { .. } | BadInput::Descriptors { .. })
    ));
    let unknown = Options::try_parse_from(["soak", "--troubles", "earthquake"]);
    let text = unknown.err().expect("an unknown trouble").to_string();
    assert!(text.contains("--troubles"), "{text}");
}

fn held() -> SoakVerdict {
    SoakVerdict {
        starts: 100,
        finished_jobs: 30,
        polls: 200,
        ..SoakVerdict::default()
    }
}

#[test]
fn verdict_notices_each_broken_invariant() {
    assert!(held().holds());
    let broken = [Rule::RanTwice, Rule::Forgotten, Rule::Orphaned].map(|rule| SoakVerdict {
        rules: Verdict {
            broken: [(rule, 1)].into(),
            breaches: vec![],
        },
        ..held()
    });
    assert!(broken.iter().all(|v| !v.holds()));
    let unserved = SoakVerdict {
        unserved_jobs: 1,
        ..held()
    };
    let unhealthy = SoakVerdict {
        unhealthy: vec![2],
        ..held()
    };
    let ended = SoakVerdict {
        ended_by_themselves: vec![0],
        ..held()
    };
    let violated = SoakVerdict {
        violations: 1,
        ..held()
    };
    let nothing_judged = SoakVerdict { polls: 0, ..held() };
    for verdict in [unserved, unhealthy, ended, violated, nothing_judged] {
        assert!(!verdict.holds(), "{verdict}");
    }
}

#[test]
fn a_trouble_without_effect_is_told() {
    let trouble = Trouble {
        kind: TroubleKind::ZoneCut,
        target: Target::Zone(1),
        at_s: 2.0,
        for_s: 3.0,
    };
    let mut verdict = SoakVerdict {
        schedule: vec![trouble],
        ..held()
    };
    assert_eq!(verdict.without_effect(), [TroubleKind::ZoneCut]);
    verdict.effects = [(TroubleKind::ZoneCut, 4)].into();
    assert_eq!(verdict.without_effect(), []);
}

/// The controllers' program of this build; built here if nobody has yet.
fn program() -> PathBuf {
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--quiet", "--package", "hookworks"])
        .status();
    assert!(
        built.is_ok_and(|s| s.success()),
        "the controllers can't be built"
    );
    let test = std::env::current_exe().expect("the path of this test");
    // target/debug/deps/soak-…
    let folder = test.ancestors().nth(2).expect("the target folder");
    folder.join("hookworks")
}

/// Another run of these tests at the same time has other loopback addresses.
fn own_network() -> u8 {
    100 + (std::process::id() % 100) as u8
}

#[test]
fn short_soak_with_real_controllers_holds() {
    let folder = std::env::temp_dir().join(format!("hookworks-soak-{}", std::process::id()));
    let soak = SoakOptions {
        program: program(),
        out: folder.clone(),
        network: own_network(),
        ..options("--length-s 20 --workers 40 --port 18190")
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    let mut effects = std::collections::BTreeMap::new();
    for seed in [3, 5] {
        let verdict = run_seed(&soak, seed, &interrupted).expect("a soak that can start");
        assert!(verdict.holds(), "{verdict}");
        for (kind, times) in verdict.effects {
            *effects.entry(kind).or_insert(0) += times;
        }
    }
    assert!(effects.len() >= 4, "too few kinds took effect: {effects:?}");
    std::fs::remove_dir_all(folder).expect("its own folder");
}
