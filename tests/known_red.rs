//! What `.ci/known-red` lets the tests pass over, and what it refuses.

use std::path::Path;
use std::process::Command;

/// The tests that there are, as `cargo test -- --list` prints them.
const LIST: &str = "\
a_job_ends: test
twice: test
module::b: test
c: test
d: test

5 tests, 0 benchmarks
twice: test
";

/// The arguments for the tests if the lines are accepted, and what is told about them.
fn known_red(lines: &str) -> Result<(Vec<String>, String), String> {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let name = format!("{:?}", std::thread::current().id());
    let (file, list) = (
        directory.join(format!("known-{name}")),
        directory.join(format!("list-{name}")),
    );
    std::fs::write(&file, lines).expect("a file for the lines");
    std::fs::write(&list, LIST).expect("a file for the list");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let run = Command::new(script).arg(file).arg(list).output();
    let run = run.expect("the script runs");
    let told = String::from_utf8_lossy(&run.stderr).into_owned();
    let out = String::from_utf8_lossy(&run.stdout);
    match run.status.success() {
        true => Ok((out.lines().map(str::to_owned).collect(), told)),
        false => Err(told),
    }
}

#[test]
fn known_tests_are_passed_over_by_their_whole_name_and_told() {
    let (arguments, told) =
        known_red("a_job_ends, the answer is late, 53\nmodule::b, it is lost, and so on, #54")
            .expect("both are accepted");
    let expected = ["--exact", "--skip", "a_job_ends", "--skip", "module::b"];
    assert_eq!(arguments, expected);
    assert!(
        told.contains("a_job_ends, the answer is late, 53"),
        "{told}"
    );
}

#[test]
fn an_empty_list_passes_over_nothing() {
    let (arguments, told) = known_red("\n  \n").expect("nothing to refuse");
    assert!(
        arguments.is_empty() && told.is_empty(),
        "{arguments:?} {told}"
    );
}

#[test]
fn more_than_three_lines_are_refused() {
    let line = |name: &str| format!("{name}, a fault, 53\n");
    let three: String = ["a_job_ends", "module::b", "c"].map(line).concat();
    assert!(known_red(&three).is_ok());
    let told = known_red(&(three + &line("d"))).expect_err("a fourth line");
    assert!(told.contains("at most 3"), "{told}");
}

#[test]
fn a_name_must_be_that_of_one_test_with_its_cause_and_issue() {
    for (line, told) in [
        ("gone, a fault, 53", "0 tests are called gone"),
        ("twice, a fault, 53", "2 tests are called twice"),
        ("a_job, a fault, 53", "0 tests are called a_job"),
        ("a_job_ends", "not of the form"),
        ("a_job_ends, a fault", "not of the form"),
        ("a_job_ends, , 53", "not of the form"),
        ("* , a fault, 53", "not of the form"),
    ] {
        let refused = known_red(line).expect_err(line);
        assert!(refused.contains(told), "{line}: {refused}");
    }
}
