//! Tests of `.ci/known-red`, which checks the list of tests that CI leaves out.

use std::path::Path;
use std::process::{Command, Output};

/// The tests that exist, as `cargo test -- --list --format terse` prints them.
const TESTS: &str = "upgrades::survives: test\nrestart: test\ntwofold: test\ntwofold: test\nspeed: bench\n";
/// An entry without an error.
const VALID: &str = "upgrades::survives | `cargo test survives`, no seed: 3 of 30 rounds failed | issue 41\n";

/// Checks a list with the given lines.
fn check(name: &str, list: &str) -> Output {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let list_path = directory.join(format!("known-red-{name}.txt"));
    let tests_path = directory.join(format!("known-red-{name}-tests.txt"));
    std::fs::write(&list_path, list).unwrap();
    std::fs::write(&tests_path, TESTS).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    Command::new(script).args([list_path, tests_path]).output().unwrap()
}

#[test]
fn valid_entries_are_printed_with_their_issues() {
    let entries = VALID.to_string() + &VALID.replace("upgrades::survives |", "restart |");
    let output = check("valid", &format!("# A comment | with bars.\n\n{entries}"));
    assert!(output.status.success(), "{output:?}");
    let expected = "known failure, skipped: upgrades::survives (issue 41)\n\
                    known failure, skipped: restart (issue 41)\n";
    assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
    assert!(check("empty", "# No entries.\n").status.success());
}

#[test]
fn each_error_in_the_list_fails_the_check() {
    let cases = [
        ("unknown-test", VALID.replace("survives |", "survive |"), "names 0 tests"),
        ("benchmark", VALID.replace("upgrades::survives |", "speed |"), "names 0 tests"),
        ("ambiguous-test", VALID.replace("upgrades::survives |", "twofold |"), "names 2 tests"),
        ("listed-twice", VALID.repeat(2), "listed twice"),
        ("no-command", VALID.replace('`', ""), "an entry needs"),
        ("no-observation", VALID.replace(", no seed: 3 of 30 rounds failed", ""), "an entry needs"),
        ("no-issue", VALID.replace(" | issue 41", ""), "an entry needs"),
        ("no-issue-number", VALID.replace("41", "later"), "an entry needs"),
        ("no-test", VALID.replace("upgrades::survives ", ""), "an entry needs"),
    ];
    for (name, list, message) in cases {
        let output = check(name, &list);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && errors.contains(message), "{name}: {errors}");
    }
}
