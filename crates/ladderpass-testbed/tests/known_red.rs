//! The list of tests known to be red: what its check refuses, and that just those listed are passed over.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TESTS: &str = "ladderpass::endings::one\nladderpass::endings::one_more\nladderpass::drills::one\n\
                     ladderpass-testbed::known_red::two\nladderpass-testbed::ladderpass_testbed::both\n\
                     ladderpass-testbed::ladderpass_testbed::both\n";

fn script() -> Command {
    let mut bash = Command::new("bash");
    bash.arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red"));
    bash
}

/// A file of this test's own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
    std::fs::write(&path, text).expect("writes");
    path
}

/// Whether the check passes, with what it says.
fn check(name: &str, list: &str) -> (bool, String, String) {
    let (list, tests) = (file(name, list), file(&format!("{name}-tests"), TESTS));
    let output = script().arg("check").args([list, tests]).output().expect("runs");
    let (told, faults) = texts(&output);
    (output.status.success(), told, faults)
}

fn texts(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

#[test]
fn an_empty_list_passes_over_nothing() {
    for (name, list) in [("empty", ""), ("comment", "# test | command | seed | seen | #1\n\n  # more\n")] {
        assert_eq!(check(name, list), (true, String::new(), String::new()));
    }
}

#[test]
fn what_is_passed_over_is_printed() {
    let list = "# a comment\nladderpass::endings::one | cargo test --test endings one | none | a socket's end, seen late | #40\n\
                ladderpass-testbed::known_red::two | cargo test known_red|7, 11|seen|#7\n\
                ladderpass::drills::one | drills | 3 | s | #3\n\
                ladderpass::endings::one_more | endings | none | s | #3";
    let (passes, told, faults) = check("good", list);
    assert!(passes, "{faults}");
    let wanted = [
        "ladderpass::endings::one",
        "ladderpass-testbed::known_red::two",
        "ladderpass::drills::one",
        "ladderpass::endings::one_more",
    ];
    let lines: Vec<&str> = told.lines().map(|line| line.rsplit(' ').next().unwrap_or("")).collect();
    assert_eq!(lines, wanted);
}

#[test]
fn a_list_with_a_fault_fails_and_names_the_line_or_the_test() {
    let rest = "| endings drills known_red ladderpass_testbed faults | 4 | seen | #40";
    let of = |test: &str| format!("{test} {rest}");
    let two = format!("{}\n{}", of("ladderpass::endings::one"), of("ladderpass::endings::one"));
    for (name, list, wanted) in [
        ("unknown", of("ladderpass::endings::on"), "\"ladderpass::endings::on\" names 0 tests"),
        ("other-binary", of("ladderpass::faults::one"), "names 0 tests"),
        ("two", of("ladderpass-testbed::ladderpass_testbed::both"), "names 2 tests"),
        ("pattern", of("ladderpass::endings::.*"), "line 1: \"ladderpass::endings::.*\""),
        ("old-form", "ladderpass::endings::one | cause | #1".into(), "line 1: allowed is"),
        ("no-issue", "ladderpass::endings::one | endings | none | seen".into(), "line 1: allowed is"),
        ("no-command", "\nladderpass::endings::one | | 4 | seen | #40".into(), "line 2: allowed is"),
        ("no-seed", "ladderpass::endings::one | endings | | seen | #40".into(), "line 1: allowed is"),
        ("nothing-seen", "ladderpass::endings::one | endings | 4 | | #40".into(), "line 1: allowed is"),
        (
            "no-number",
            "ladderpass::endings::one | endings | 4 | seen | soon".into(),
            "\"soon\"; allowed is the number",
        ),
        (
            "seed",
            "ladderpass::endings::one | endings | any | seen | #40".into(),
            "\"any\"; allowed is a seed",
        ),
        (
            "command",
            "ladderpass::endings::one | cargo test | 4 | seen | #40".into(),
            "a command that names endings",
        ),
        ("fields", "ladderpass::endings::one | endings | 4 | seen | more | #40".into(), "line 1: allowed is"),
        ("no-binary", of("one"), "\"one\"; allowed is package::binary::test"),
        ("twice", two, "stands twice"),
    ] {
        let (passes, told, faults) = check(name, &list);
        assert!(!passes && told.is_empty(), "{name} passes: {told}");
        assert!(faults.contains(wanted), "{name}: {faults}");
    }
    let absent = script().args(["check", "/dev/null/absent", "/dev/null"]).output().expect("runs");
    assert!(!absent.status.success(), "{:?}", texts(&absent));
}

/// Names of this binary's tests that are left when it is started as `.ci/known-red test` has cargo start it.
fn left(name: &str, list: &str) -> Vec<String> {
    let own = std::env::current_exe().expect("it runs");
    let output = script()
        .env("CARGO_PKG_NAME", "ladderpass-testbed")
        .env("KNOWN_RED", file(name, list))
        .arg("skip")
        .arg(own)
        .args(["--list", "--format", "terse"])
        .output()
        .expect("runs");
    let (told, faults) = texts(&output);
    assert!(output.status.success(), "{faults}");
    told.lines().filter_map(|line| line.strip_suffix(": test")).map(str::to_owned).collect()
}

#[test]
fn just_the_test_listed_is_passed_over() {
    let all = left("none", "");
    assert!(all.iter().any(|test| test == "just_the_test_listed_is_passed_over_and_not_its_like"));
    let list = "ladderpass-testbed::known_red::just_the_test_listed_is_passed_over | known_red | none | seen | #1\n\
                ladderpass::known_red::an_empty_list_passes_over_nothing | known_red | 1 | another package's | #1\n\
                ladderpass-testbed::drills::what_is_passed_over_is_printed | drills | 1 | another binary's | #1\n";
    let mut rest = all.clone();
    rest.retain(|test| test != "just_the_test_listed_is_passed_over");
    assert_eq!((left("one", list), rest.len() + 1), (rest, all.len()));
}

/// Its name begins as that of the test above, which is what it is there for; and a list with a fault starts
/// nothing.
#[test]
fn just_the_test_listed_is_passed_over_and_not_its_like() {
    let own = std::env::current_exe().expect("it runs");
    let output = script()
        .env("CARGO_PKG_NAME", "ladderpass-testbed")
        .env("KNOWN_RED", file("bad", "one | known_red | none | seen | #1"))
        .arg("skip")
        .arg(own)
        .arg("--list")
        .output()
        .expect("runs");
    assert!(!output.status.success(), "{:?}", texts(&output));
}

#[test]
fn the_names_that_are_shown_hold_package_and_binary() {
    let own = std::env::current_exe().expect("it runs");
    let output =
        script().env("CARGO_PKG_NAME", "ladderpass-testbed").arg("show").arg(own).output().expect("runs");
    let (told, _) = texts(&output);
    assert!(told.lines().any(|line| line == "ladderpass-testbed::known_red::what_is_passed_over_is_printed"));
    assert!(told.lines().all(|line| line.starts_with("ladderpass-testbed::known_red::")), "{told}");
}
