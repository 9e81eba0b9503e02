//! `ladderpass check`, and a router started with an invalid configuration. Both report all errors at once, each in one
//! line with its file and key.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Writes `text` to a file that no other test uses, and returns the file's path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{name}-{}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Runs the `ladderpass` program with these environment variables and arguments; the router's other variables are
/// removed. Returns the lines of standard error, and the whole output.
fn run(variables: &[(&str, &str)], arguments: &[&str]) -> (Vec<String>, Output) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    for key in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "RUST_LOG"] {
        command.env_remove(key);
    }
    let output =
        command.envs(variables.iter().copied()).args(arguments).output().expect("the process starts");
    let lines = String::from_utf8_lossy(&output.stderr).lines().map(str::to_owned).collect();
    (lines, output)
}

const OPERATOR_FILE: &str = "log:\n  format: xml\noverlaod: {}\noverload:\n  delay:\n    from: 5\n  \
                        dealy: {from: 1ms}\n  fair: 0\npeers:\n  listen: here\n  listed: [127.0.0.1:1, there]\n";

/// The line, the key and the allowed values that each error of `OPERATOR_FILE` must name.
const EXPECTED_ERRORS: [[&str; 3]; 7] = [
    ["line 2: ", "log.format", "text and json"],
    ["line 3: ", "overlaod", "allowed are log, overload, peers"],
    ["line 6: ", "overload.delay.from", "written with their unit"],
    ["line 7: ", "dealy", "allowed are enabled, delay, cpu"],
    ["line 8: ", "overload.fair", "1 to 1000"],
    ["line 10: ", "peers.listen", "address:port"],
    ["line 11: ", "peers.listed", "address:port"],
];

#[test]
fn missing_variables_do_not_hide_errors_in_the_operator_file() {
    let path = write_file("operator", OPERATOR_FILE);
    let path_text = path.to_str().expect("the path is UTF-8");
    let (errors, output) = run(&[], &["check", "--operator", path_text]);
    assert_eq!((output.status.code(), output.stdout.len()), (Some(1), 0));
    let variables = ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG"];
    for key in variables {
        assert!(
            errors.iter().any(|error| error.starts_with(&format!("{key}: not set"))),
            "{key}: {errors:#?}"
        );
    }
    for expected in EXPECTED_ERRORS {
        let matches_expected = |error: &&String| {
            error.starts_with(&format!("{path_text}: {}", expected[0]))
                && expected.iter().all(|part| error.contains(part))
        };
        assert_eq!(errors.iter().filter(matches_expected).count(), 1, "{expected:?}: {errors:#?}");
    }
    assert_eq!(errors.len(), variables.len() + EXPECTED_ERRORS.len(), "{errors:#?}");
    std::fs::remove_file(path).expect("the temporary file is removed");
}

#[test]
fn errors_in_the_platform_configuration_are_reported_with_all_others() {
    let operator = write_file("beside", "overload: {fair: 0}\n");
    let platform = write_file(
        "platform",
        r#"{"seed": "xx", "limits": {"memory_mb": 0, "sockets": 3, "cores": 0},
            "known": {"generation": 1, "instances": []}, "settings": {}}"#,
    );
    let (operator_text, platform_text) =
        (operator.to_str().expect("the path is UTF-8"), platform.to_str().expect("the path is UTF-8"));
    let variables = [("RELAY_NAME", "r"), ("RELAY_LISTEN", "nowhere"), ("RELAY_DISCOVERY", "127.0.0.1:1")];
    let variables = [&variables[..], &[("RELAY_CONFIG", platform_text)]].concat();
    let (errors, output) = run(&variables, &["--operator", operator_text, "check"]);
    assert_eq!(output.status.code(), Some(1));
    let platform_error = |key: &str| format!("RELAY_CONFIG: {platform_text}: {key}: ");
    let expected = [
        "RELAY_LISTEN: \"nowhere\"".to_owned(),
        platform_error("seed"),
        platform_error("limits.memory_mb"),
        platform_error("limits.sockets"),
        platform_error("limits.cores"),
        format!("RELAY_CONFIG: {platform_text}: settings."),
        format!("{operator_text}: line 1: overload.fair: "),
    ];
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
    for (error, expected) in errors.iter().zip(expected) {
        assert!(error.starts_with(&expected), "{expected}: {errors:#?}");
    }
    // Started as a router, without the argument `check`, the process logs as many errors as `check` printed, and exits.
    let (log, output) = run(&variables, &["--operator", operator_text]);
    assert_eq!((output.status.code(), log.len()), (Some(1), errors.len()), "{log:#?}");
    for path in [operator, platform] {
        std::fs::remove_file(path).expect("the temporary file is removed");
    }
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let (errors, output) = run(&[("RELAY_CONFIG", "/dev/null/a")], &["check", "--operator", "/dev/null/b"]);
    assert_eq!(output.status.code(), Some(1));
    for expected in ["RELAY_CONFIG: /dev/null/a: ", "/dev/null/b: "] {
        assert!(errors.iter().any(|error| error.starts_with(expected)), "{expected}: {errors:#?}");
    }
}
