//! The command over loopback: a link in front of an echo server, commands while it runs, the record and its replay.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

fn tool() -> Command {
    Command::new(env!("CARGO_BIN_EXE_ladderpass-fault-injection"))
}

/// A file or socket that only this run uses.
fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("ladderpass-fault-injection-{}-{name}", std::process::id()))
}

/// Starts a server that sends back what it receives behind the eight bytes of a startup.
fn start_echo_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
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

struct Running {
    process: Child,
    address: String,
}

fn run(arguments: &[&str]) -> Running {
    let mut process = tool()
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    BufReader::new(process.stdout.take().expect("its output")).read_line(&mut line).expect("its link");
    Running { process, address: line.trim().rsplit(' ').next().unwrap_or_default().to_owned() }
}

impl Running {
    /// Ends its standard input, on which it exits; returns its exit code and standard error.
    fn stop(mut self) -> (Option<i32>, String) {
        drop(self.process.stdin.take());
        let output = self.process.wait_with_output().expect("it ends");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Sends bytes; returns what comes back within a short time.
fn exchange(address: &str, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the link listens");
    stream.write_all(bytes).expect("it takes them");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time");
    let mut back = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count) = stream.read(&mut chunk)
        && count > 0
    {
        back.extend_from_slice(&chunk[..count]);
    }
    back
}

#[test]
fn rules_are_added_and_lifted_at_run_time_and_a_replay_shows_the_first_difference() {
    let (plan, socket, record) = (path("plan.yaml"), path("control"), path("record"));
    let link = format!("links: [{{name: a, listen: '127.0.0.1:0', to: '{}'}}]\n", start_echo_server());
    let rules = "seed: 7\nrules:\n  - {name: row, when: {message: DataRow, nth: 2}, do: {garble: {bytes: 1}}}\n  \
                 - {name: never, when: {connection: 99}, do: drop}\n";
    std::fs::write(&plan, format!("{link}{rules}")).expect("the file is written");
    let [plan_text, socket_text, record_text] =
        [&plan, &socket, &record].map(|path| path.to_str().expect("text"));
    let bytes = [frame(b'D', b"one"), frame(b'D', b"two"), frame(b'D', b"six")].concat();
    let out = [&8u32.to_be_bytes()[..], &[0, 3, 0, 0], &bytes].concat();
    let running = run(&["run", plan_text, "--control", socket_text, "--record", record_text]);
    let ctl = |words: &[&str]| tool().arg("ctl").arg(&socket).args(words).output().expect("it starts");
    let answer = |words: &[&str]| String::from_utf8_lossy(&ctl(words).stdout).trim().to_owned();
    assert_eq!(exchange(&running.address, &out).len(), bytes.len());
    assert_eq!(answer(&["add", "{name: all, when: {from: client}, do: drop, times: 0}"]), "ok");
    assert_eq!(exchange(&running.address, &out), []);
    assert_eq!(answer(&["wait", "all", "3", "1000"]), "ok");
    let late = ctl(&["wait", "never", "1", "50"]);
    assert!(!late.status.success() && String::from_utf8_lossy(&late.stderr).contains("the time is over"));
    assert_eq!(answer(&["lift", "all"]), "ok");
    assert_eq!(exchange(&running.address, &out).len(), bytes.len());
    assert!(answer(&["list"]).contains("never 0 live") && answer(&["stats"]).starts_with("ok connections"));
    for (words, wanted) in [
        (&["lift", "nothing"][..], "nothing"),
        (&["add", "{name: x, when: {message: Row}, do: drop}"], "when.message"),
        (&["shout"], "allowed are"),
    ] {
        let output = ctl(words);
        assert!(
            !output.status.success() && String::from_utf8_lossy(&output.stderr).contains(wanted),
            "{words:?}"
        );
    }
    let (code, errors) = running.stop();
    assert_eq!(code, Some(0));
    assert!(errors.contains("rule never never fired"), "{errors}");
    assert!(!socket.exists(), "its socket file is removed");
    let text = std::fs::read_to_string(&record).expect("its record");
    assert!(text.contains("\"garble\"") && text.contains("\"drop\""), "{text}");

    // The same plan and traffic give the same record; other traffic shows the first difference.
    let plain: String =
        text.lines().filter(|line| line.contains("garble")).map(|line| format!("{line}\n")).collect();
    std::fs::write(&record, plain).expect("the file is written");
    for (traffic, same) in [(&out[..], true), (&out[..20], false)] {
        let running = run(&["replay", plan_text, record_text]);
        exchange(&running.address, traffic);
        let (code, errors) = running.stop();
        assert_eq!(code, Some(i32::from(!same)), "{errors}");
        assert_eq!(errors.contains("differ at line 1"), !same, "{errors}");
    }
    for file in [plan, record] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn an_invalid_plan_gives_one_line_with_the_key() {
    let plan = path("bad.yaml");
    for (text, wanted) in [
        ("links: [{name: a, listen: '127.0.0.1:0', to: '8.8.8.8:53'}]\n", "links[0].to"),
        ("rules: [{name: r, do: vanish}]\n", "vanish"),
    ] {
        std::fs::write(&plan, text).expect("the file is written");
        let output = tool().arg("check").arg(&plan).output().expect("it starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!((output.status.code(), error.trim_end().lines().count()), (Some(1), 1), "{error}");
        assert!(error.contains(wanted) && error.contains("bad.yaml"), "{error}");
    }
    let _ = std::fs::remove_file(plan);
}
