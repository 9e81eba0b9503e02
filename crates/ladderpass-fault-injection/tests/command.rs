//! The command line over loopback: a link in front of an echo server, commands while the tool runs, and the record with
//! its replay.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

fn tool() -> Command {
    Command::new(env!("CARGO_BIN_EXE_ladderpass-fault-injection"))
}

/// Returns the path of a file or socket that only this test process uses.
fn unique_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("ladderpass-fault-injection-{}-{name}", std::process::id()))
}

/// Starts a server that skips the eight bytes of a startup message on each connection, and sends back all bytes that
/// follow.
fn start_echo_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                if stream.read_exact(&mut bytes[..8]).is_err() {
                    return;
                }
                while let Ok(count) = stream.read(&mut bytes)
                    && count > 0
                    && stream.write_all(&bytes[..count]).is_ok()
                {}
            });
        }
    });
    address
}

/// A running tool, with the address of its only link.
struct RunningTool {
    process: Child,
    address: String,
}

fn start_tool(arguments: &[&str]) -> RunningTool {
    let mut process = tool()
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut line = String::new();
    BufReader::new(process.stdout.take().expect("standard output is piped"))
        .read_line(&mut line)
        .expect("the tool prints its link");
    RunningTool { process, address: line.trim().rsplit(' ').next().unwrap_or_default().to_owned() }
}

impl RunningTool {
    /// Closes the tool's standard input, upon which it exits. Returns its exit code and standard error.
    fn stop(mut self) -> (Option<i32>, String) {
        drop(self.process.stdin.take());
        let output = self.process.wait_with_output().expect("the tool exits");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Sends bytes over a new connection. Returns the bytes that arrive until nothing arrives for 300 ms.
fn exchange(address: &str, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the link listens");
    stream.write_all(bytes).expect("the bytes are sent");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("the timeout is set");
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count) = stream.read(&mut chunk)
        && count > 0
    {
        received.extend_from_slice(&chunk[..count]);
    }
    received
}

#[test]
fn rules_are_added_and_lifted_at_run_time_and_a_replay_reports_the_first_difference() {
    let (plan, socket, record) = (unique_path("plan.yaml"), unique_path("control"), unique_path("record"));
    let link = format!("links: [{{name: a, listen: '127.0.0.1:0', to: '{}'}}]\n", start_echo_server());
    let rules = "seed: 7\nrules:\n  - {name: row, when: {message: DataRow, nth: 2}, do: {garble: {bytes: 1}}}\n  \
                 - {name: never, when: {connection: 99}, do: drop}\n";
    std::fs::write(&plan, format!("{link}{rules}")).expect("the file is written");
    let [plan_text, socket_text, record_text] =
        [&plan, &socket, &record].map(|path| path.to_str().expect("the path is UTF-8"));
    let bytes = [frame(b'D', b"one"), frame(b'D', b"two"), frame(b'D', b"six")].concat();
    let input = [&8u32.to_be_bytes()[..], &[0, 3, 0, 0], &bytes].concat();
    let running = start_tool(&["run", plan_text, "--control", socket_text, "--record", record_text]);
    let ctl = |words: &[&str]| tool().arg("ctl").arg(&socket).args(words).output().expect("ctl starts");
    let answer = |words: &[&str]| String::from_utf8_lossy(&ctl(words).stdout).trim().to_owned();
    assert_eq!(exchange(&running.address, &input).len(), bytes.len());
    assert_eq!(answer(&["add", "{name: all, when: {from: client}, do: drop, times: 0}"]), "ok");
    assert_eq!(exchange(&running.address, &input), []);
    assert_eq!(answer(&["wait", "all", "3", "1000"]), "ok");
    let timed_out = ctl(&["wait", "never", "1", "50"]);
    assert!(
        !timed_out.status.success()
            && String::from_utf8_lossy(&timed_out.stderr).contains("the time is over")
    );
    assert_eq!(answer(&["lift", "all"]), "ok");
    assert_eq!(exchange(&running.address, &input).len(), bytes.len());
    assert!(answer(&["list"]).contains("never 0 live") && answer(&["stats"]).starts_with("ok connections"));
    for (words, expected) in [
        (&["lift", "nothing"][..], "nothing"),
        (&["add", "{name: x, when: {message: Row}, do: drop}"], "when.message"),
        (&["shout"], "allowed are"),
    ] {
        let output = ctl(words);
        assert!(
            !output.status.success() && String::from_utf8_lossy(&output.stderr).contains(expected),
            "{words:?}"
        );
    }
    let (code, errors) = running.stop();
    assert_eq!(code, Some(0));
    assert!(errors.contains("rule never never fired"), "{errors}");
    assert!(!socket.exists(), "the socket file is removed at the end");
    let text = std::fs::read_to_string(&record).expect("the record is written");
    assert!(text.contains("\"garble\"") && text.contains("\"drop\""), "{text}");

    // A replay with the same plan and traffic gives the same record. A replay with other traffic fails and names the
    // first line that differs. The decisions of the rule that was added at run time are left out, since a replay has
    // no control socket.
    let without_added_rule: String =
        text.lines().filter(|line| line.contains("garble")).map(|line| format!("{line}\n")).collect();
    std::fs::write(&record, without_added_rule).expect("the file is written");
    for (traffic, is_same) in [(&input[..], true), (&input[..20], false)] {
        let running = start_tool(&["replay", plan_text, record_text]);
        exchange(&running.address, traffic);
        let (code, errors) = running.stop();
        assert_eq!(code, Some(i32::from(!is_same)), "{errors}");
        assert_eq!(errors.contains("differ at line 1"), !is_same, "{errors}");
    }
    for file in [plan, record] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn an_invalid_plan_is_reported_in_one_line_with_the_file_and_the_key() {
    let plan = unique_path("bad.yaml");
    for (text, expected) in [
        ("links: [{name: a, listen: '127.0.0.1:0', to: '8.8.8.8:53'}]\n", "links[0].to"),
        ("rules: [{name: r, do: vanish}]\n", "vanish"),
    ] {
        std::fs::write(&plan, text).expect("the file is written");
        let output = tool().arg("check").arg(&plan).output().expect("check starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!((output.status.code(), error.trim_end().lines().count()), (Some(1), 1), "{error}");
        assert!(error.contains(expected) && error.contains("bad.yaml"), "{error}");
    }
    let _ = std::fs::remove_file(plan);
}
