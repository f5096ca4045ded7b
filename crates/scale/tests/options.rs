//! Bad input ends a run before anything starts, with the cause named and 2.

use clap::Parser;
use hookworks_scale::options::{BadInput, Memory, RunOptions};
use std::process::{Command, Output};

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

fn options(arguments: &[&str]) -> RunOptions {
    let all = ["scale"].iter().chain(arguments);
    Options::parse_from(all).run
}

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hookworks-scale"));
    let out = env!("CARGO_TARGET_TMPDIR");
    command.args(["run", "--out", out]).args(arguments);
    command.output().unwrap()
}

#[test]
fn the_first_option_out_of_range_is_named() {
    let wrong = [
        ("workers", "0"),
        ("starts", "0"),
        ("regions", "4"),
        ("cancel-s", "20"),
        ("port", "80"),
        ("cancelled", "1.5"),
    ];
    for (option, value) in wrong {
        let o = options(&[&format!("--{option}"), value]);
        let e = o.check_ranges().unwrap_err().to_string();
        assert!(e.starts_with(&format!("--{option}: must be")), "{e}");
    }
    assert!(options(&[]).check_ranges().is_ok());
    let late = options(&["--length-s", "10", "--zone-away-after-s", "11"]);
    assert!(matches!(late.check_ranges(), Err(BadInput::LateFault)));
}

#[test]
fn too_little_memory_or_too_few_descriptors_are_named() {
    let o = options(&["--workers", "4500"]);
    let memory = |total_mb, available_mb| Memory {
        total_mb,
        available_mb,
    };
    assert!(o.check_machine(memory(8000.0, 4000.0), 20_000).is_ok());
    // Half of the machine's memory at the most, and no more than is free.
    for short in [memory(1500.0, 1500.0), memory(8000.0, 700.0)] {
        assert!(matches!(
            o.check_machine(short, 20_000),
            Err(BadInput::Memory { .. })
        ));
    }
    let few = o.check_machine(memory(8000.0, 4000.0), 4096).unwrap_err();
    assert!(few.to_string().contains("file descriptors"), "{few}");
}

#[test]
fn the_program_ends_with_2_and_says_why() {
    let me = env!("CARGO_BIN_EXE_hookworks-scale");
    let out = scale(&["--program", me, "--workers", "0"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("--workers"));
    let out = scale(&["--program", "/nowhere/hookworks"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("/nowhere/hookworks"));
}

#[test]
fn a_port_that_is_taken_is_named_and_nothing_is_started() {
    let taken = std::net::TcpListener::bind("127.77.1.2:0").unwrap();
    let address = taken.local_addr().unwrap();
    let port = address.port().to_string();
    let me = env!("CARGO_BIN_EXE_hookworks-scale");
    let out = scale(&["--program", me, "--network", "77", "--port", &port]);
    assert_eq!(out.status.code(), Some(2));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains(&address.to_string()), "{said}");
}
