//! The programs that proofs are measured against: making them anew while one of them runs.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};

/// A copy of the Makefile in a directory of its own, where `cargo` and `git` stand for themselves: what cargo
/// builds is a program that sleeps.
fn place(name: &str) -> PathBuf {
    let place =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("makefile-{name}-{}", std::process::id()));
    // Left by an earlier run.
    let _ = fs::remove_dir_all(&place);
    fs::create_dir_all(place.join("bin")).expect("makes a directory");
    fs::copy(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Makefile"), place.join("Makefile"))
        .expect("copies");
    let cargo = "#!/bin/sh\ndirectory=target\nwhile [ $# -gt 0 ]; do\n  \
                 [ \"$1\" = --target-dir ] && directory=$2\n  shift\ndone\nmkdir -p \"$directory/release\"\n\
                 cp \"$(command -v sleep)\" \"$directory/release/ladderpass\"\n";
    let git = "#!/bin/sh\nmkdir -p \"$5\"\n";
    for (program, text) in [("cargo", cargo), ("git", git)] {
        // Written by a process of its own: one that this process had open could not be run while another test
        // forks.
        let write = "printf %s \"$1\" > \"$0\" && chmod 755 \"$0\"";
        let path = place.join("bin").join(program);
        let written = Command::new("sh").args(["-c", write]).arg(path).arg(text).status();
        assert!(written.expect("sh is there").success());
    }
    place
}

fn make(place: &Path, target: &str) -> Output {
    let path = format!("{}:{}", place.join("bin").display(), std::env::var("PATH").unwrap_or_default());
    let mut make = Command::new("make");
    // This test may itself be run by make.
    make.env_remove("MAKEFLAGS").env_remove("MAKELEVEL").env_remove("NAME");
    make.arg(target).current_dir(place).env("PATH", path).output().expect("make is there")
}

/// The program at this path, running.
fn runs(program: &Path) -> Child {
    Command::new(program).arg("30").spawn().expect("it was made")
}

fn is_made_anew_while_it_runs(target: &str, program: &str) {
    let place = place(target);
    let program = place.join(program);
    let output = make(&place, target);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut running = runs(&program);
    let again = make(&place, target);
    let still = running.try_wait().expect("it can be asked").is_none();
    let mut anew = runs(&program);
    for process in [&mut running, &mut anew] {
        let _ = (process.kill(), process.wait());
    }
    assert!(again.status.success() && still, "{}", String::from_utf8_lossy(&again.stderr));
    let beside = fs::read_dir(program.parent().expect("it is in one")).expect("it is there");
    let left: Vec<_> = beside.flatten().filter(|entry| entry.path().is_file()).collect();
    assert_eq!(left.len(), 1, "{left:?}");
    fs::remove_dir_all(place).expect("its own directory");
}

#[test]
fn the_faulty_program_is_made_anew_while_it_runs() {
    is_made_anew_while_it_runs("faulty", "target/faulty/ladderpass");
}

#[test]
fn the_earlier_program_is_made_anew_while_it_runs() {
    is_made_anew_while_it_runs("earlier", "target/earlier/7137192/ladderpass");
}

/// Another proof may start the real one at any time.
#[test]
fn the_real_program_is_not_touched_by_the_faulty_one() {
    let place = place("real");
    fs::create_dir_all(place.join("target/release")).expect("makes a directory");
    fs::write(place.join("target/release/ladderpass"), "the real one").expect("writes");
    assert!(make(&place, "faulty").status.success());
    let left = fs::read_to_string(place.join("target/release/ladderpass"));
    assert!(left.is_ok_and(|left| left == "the real one"), "it was built anew");
    fs::remove_dir_all(place).expect("its own directory");
}
