//! Bad input gets a plain message and never stops the adapter.

use std::io::Write;
use std::process::{Command, Stdio};

#[test]
fn bad_lines_are_named_and_passed_over() {
    let cases = [
        ("nonsense", "malformed line"),
        (r#"{"kind":"ASK","Who":"router_0"}"#, "ASK: the TICK before it is missing"),
        (r#"{"kind":"TICK"}"#, "TICK: AtTime is missing"),
        (r#"{"kind":"TICK","AtTime":5}"#, ""),
        (r#"{"kind":"ASK","Who":"router_0"}"#, "ASK: router_0 has no CREATE before this"),
        (r#"{"kind":"ASK","Who":7}"#, "ASK: malformed line"),
        (r#"{"kind":"DANCE","Who":"router_0"}"#, "DANCE: unknown kind"),
        (r#"{"kind":"CREATE","Who":"router_0","Salt":1}"#, "CREATE: Info is missing"),
        (r#"{"kind":"DETACH","Who":"router_0"}"#, "DETACH: router_0 has no CREATE"),
        (r#"{"kind":"END"}"#, ""),
    ];
    let mut child = Command::new(env!("CARGO_BIN_EXE_ladderpass-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for (line, _) in cases {
        writeln!(input, "{line}").expect("it reads on");
    }
    drop(input);
    let output = child.wait_with_output().expect("it ends");
    assert!(output.status.success(), "end of input is no fault");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"kind\":\"END\"}\n");
    let told = String::from_utf8_lossy(&output.stderr);
    let mut told = told.lines();
    for (line, fault) in cases.into_iter().filter(|(_, fault)| !fault.is_empty()) {
        let message = told.next().unwrap_or_default();
        assert!(message.contains(fault), "{line}: {message}");
    }
}
