//! Tests of `.ci/known-red`: which lists of known failing tests its check rejects, and that only the listed tests are skipped.

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

/// Writes a file in the temporary directory, and returns its path. `name` is different in each test.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
    std::fs::write(&path, text).expect("writes");
    path
}

/// Runs the check on a list. Returns whether it passes, its standard output and its standard error.
fn check(name: &str, list: &str) -> (bool, String, String) {
    let (list, tests) = (write_file(name, list), write_file(&format!("{name}-tests"), TESTS));
    let output = script().arg("check").args([list, tests]).output().expect("runs");
    let (stdout, stderr) = texts(&output);
    (output.status.success(), stdout, stderr)
}

/// Returns standard output and standard error of a process as text.
fn texts(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

#[test]
fn an_empty_list_skips_no_test() {
    for (name, list) in [("empty", ""), ("comment", "# test | command | seed | seen | #1\n\n  # more\n")] {
        assert_eq!(check(name, list), (true, String::new(), String::new()));
    }
}

#[test]
fn skipped_tests_are_printed() {
    let list = "# a comment\nladderpass::endings::one | cargo test --test endings one | none | a socket's end, seen late | #40\n\
                ladderpass-testbed::known_red::two | cargo test known_red|7, 11|seen|#7\n\
                ladderpass::drills::one | drills | 3 | s | #3\n\
                ladderpass::endings::one_more | endings | none | s | #3";
    let (passes, stdout, stderr) = check("good", list);
    assert!(passes, "{stderr}");
    let wanted = [
        "ladderpass::endings::one",
        "ladderpass-testbed::known_red::two",
        "ladderpass::drills::one",
        "ladderpass::endings::one_more",
    ];
    let lines: Vec<&str> = stdout.lines().map(|line| line.rsplit(' ').next().unwrap_or("")).collect();
    assert_eq!(lines, wanted);
}

#[test]
fn a_faulty_list_fails_the_check_and_the_error_names_the_line_or_the_test() {
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
        let (passes, stdout, stderr) = check(name, &list);
        assert!(!passes && stdout.is_empty(), "{name} passes or prints: {stdout}");
        assert!(stderr.contains(wanted), "{name}: {stderr}");
    }
    let absent = script().args(["check", "/dev/null/absent", "/dev/null"]).output().expect("runs");
    assert!(!absent.status.success(), "{:?}", texts(&absent));
}

/// Returns the names of this binary's tests that are not skipped when it is started through `.ci/known-red skip`, as
/// `.ci/known-red test` makes cargo do.
fn tests_not_skipped(name: &str, list: &str) -> Vec<String> {
    let own = std::env::current_exe().expect("the path of this program");
    let output = script()
        .env("CARGO_PKG_NAME", "ladderpass-testbed")
        .env("KNOWN_RED", write_file(name, list))
        .arg("skip")
        .arg(own)
        .args(["--list", "--format", "terse"])
        .output()
        .expect("runs");
    let (stdout, stderr) = texts(&output);
    assert!(output.status.success(), "{stderr}");
    stdout.lines().filter_map(|line| line.strip_suffix(": test")).map(str::to_owned).collect()
}

#[test]
fn only_the_listed_test_is_skipped() {
    let all = tests_not_skipped("none", "");
    assert!(
        all.iter().any(|test| test == "only_the_listed_test_is_skipped_and_a_faulty_list_starts_no_test")
    );
    let list = "ladderpass-testbed::known_red::only_the_listed_test_is_skipped | known_red | none | seen | #1\n\
                ladderpass::known_red::an_empty_list_skips_no_test | known_red | 1 | another package's | #1\n\
                ladderpass-testbed::drills::skipped_tests_are_printed | drills | 1 | another binary's | #1\n";
    let mut expected = all.clone();
    expected.retain(|test| test != "only_the_listed_test_is_skipped");
    assert_eq!((tests_not_skipped("one", list), expected.len() + 1), (expected, all.len()));
}

/// The name of this test must begin with the name of the test above, which checks that a listed test does not skip another one
/// whose name begins alike. This test itself checks that a faulty list makes the script fail.
#[test]
fn only_the_listed_test_is_skipped_and_a_faulty_list_starts_no_test() {
    let own = std::env::current_exe().expect("the path of this program");
    let output = script()
        .env("CARGO_PKG_NAME", "ladderpass-testbed")
        .env("KNOWN_RED", write_file("bad", "one | known_red | none | seen | #1"))
        .arg("skip")
        .arg(own)
        .arg("--list")
        .output()
        .expect("runs");
    assert!(!output.status.success(), "{:?}", texts(&output));
}

#[test]
fn shown_test_names_begin_with_package_and_binary() {
    let own = std::env::current_exe().expect("the path of this program");
    let output =
        script().env("CARGO_PKG_NAME", "ladderpass-testbed").arg("show").arg(own).output().expect("runs");
    let (stdout, _) = texts(&output);
    assert!(stdout.lines().any(|line| line == "ladderpass-testbed::known_red::skipped_tests_are_printed"));
    assert!(stdout.lines().all(|line| line.starts_with("ladderpass-testbed::known_red::")), "{stdout}");
}
