//! A drill (a run of several router processes with fault events) that is interrupted by ctrl-C leaves no process
//! behind. This test has a binary of its own because the signal goes to the whole process.

use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::{Programs, interrupted, play};
use nix::sys::signal::{Signal, kill};
use std::path::Path;
use std::time::{Duration, Instant};

/// The `/proc/PID/stat` lines of the children of this process, without zombies.
fn children() -> Vec<String> {
    let own_pid = std::process::id().to_string();
    let processes = std::fs::read_dir("/proc").expect("/proc is readable").filter_map(Result::ok);
    let stats = processes.filter_map(|entry| std::fs::read_to_string(entry.path().join("stat")).ok());
    stats
        .filter(|stat| {
            let fields_after_name =
                stat.rsplit_once(')').map_or("", |(_, fields_after_name)| fields_after_name);
            let mut fields = fields_after_name.split_whitespace();
            fields.next() != Some("Z") && fields.next() == Some(&own_pid)
        })
        .collect()
}

#[test]
fn ctrl_c_ends_a_drill_and_all_its_processes() {
    interrupted();
    let drill = Drill::read("{routers: 4, phases: [[60, 40]], clients: 20}").expect("the drill is valid");
    let program = Path::new(env!("CARGO_BIN_EXE_ladderpass"));
    let started_at = Instant::now();
    let drill_run = std::thread::spawn(move || {
        let programs = Programs { router: program, faulty: None, earlier: None };
        play(&drill, programs, 1).err().map(|fault| fault.kind())
    });
    while children().len() < 4 {
        assert!(started_at.elapsed() < Duration::from_secs(30), "the routers did not start");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(1));
    kill(nix::unistd::Pid::this(), Signal::SIGINT).expect("the signal is sent");
    let ended = drill_run.join().expect("the drill does not panic");
    assert_eq!(ended, Some(std::io::ErrorKind::Interrupted));
    assert_eq!(children(), Vec::<String>::new());
    assert!(started_at.elapsed() < Duration::from_secs(40));
}
