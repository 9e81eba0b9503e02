//! Runs the adapter as a process: the adapter reports a bad line and continues, and a timer that fires early is set
//! again.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on these lines until the end of the input, and returns the adapter's output.
fn run_adapter<'a>(lines: impl IntoIterator<Item = &'a str>) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ladderpass-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    for line in lines {
        writeln!(input, "{line}").expect("the adapter reads its input");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn bad_lines_are_reported_and_ignored() {
    let cases = [
        ("nonsense", "malformed line"),
        (r#"{"kind":"ASK","Who":"router_0"}"#, "ASK: no TICK before this"),
        (r#"{"kind":"TICK"}"#, "TICK: AtTime is missing"),
        (r#"{"kind":"TICK","AtTime":5}"#, ""),
        (r#"{"kind":"ASK","Who":"router_0"}"#, "ASK: router_0 has no CREATE before this"),
        (r#"{"kind":"ASK","Who":7}"#, "ASK: malformed line"),
        (r#"{"kind":"DANCE","Who":"router_0"}"#, "DANCE: unknown kind"),
        (r#"{"kind":"CREATE","Who":"router_0","Salt":1}"#, "CREATE: Info is missing"),
        (r#"{"kind":"DETACH","Who":"router_0"}"#, "DETACH: router_0 has no CREATE"),
        (r#"{"kind":"END"}"#, ""),
    ];
    let output = run_adapter(cases.map(|(line, _)| line));
    assert!(output.status.success(), "the adapter must exit successfully at the end of its input");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"kind\":\"END\"}\n");
    let errors = String::from_utf8_lossy(&output.stderr);
    let mut errors = errors.lines();
    for (line, expected) in cases.into_iter().filter(|(_, expected)| !expected.is_empty()) {
        let error = errors.next().unwrap_or_default();
        assert!(error.contains(expected), "{line}: {error}");
    }
}

#[test]
fn a_timer_that_fires_a_little_early_is_set_again() {
    let output = run_adapter([
        r#"{"kind":"TICK","AtTime":1000000000}"#,
        r#"{"kind":"CREATE","Who":"router_0","Salt":1,"Info":{"Allowed":{"Probes":true},"Contract":{},
"Extra":{"ReadLevel":["any"]},"Services":[{"Name":"a","Slo":500000000,"Effect":"pure"}],"Tick":5000000}}"#
            .replace('\n', "")
            .as_str(),
        r#"{"kind":"ROSTER","Buffer":0,"Entries":[{"Node":"n:1","Shard":1,"StageState":"on"}]}"#,
        r#"{"kind":"FLEET","Who":"router_0","Buffer":0,"How":"stale_copy"}"#,
        r#"{"kind":"END"}"#,
        // The timer fires 1 us after the router's creation, which is before the time for which the router has set the
        // timer. The router must accept the event of the timer, because times are rounded on the wire and a timer may
        // fire a little early.
        r#"{"kind":"TICK","AtTime":1000001000}"#,
        r#"{"kind":"TICK_DUE","Who":"router_0","Handle":1}"#,
        r#"{"kind":"END"}"#,
    ]);
    let actions = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        actions.matches("NOTIFY_ME").count(),
        2,
        "{actions}{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
