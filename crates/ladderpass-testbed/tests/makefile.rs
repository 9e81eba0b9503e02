//! Tests of the targets of the Makefile that build the programs for comparison in proofs. These programs can be rebuilt while
//! one of them runs.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};

/// Creates a directory with a copy of the Makefile and with scripts that replace `cargo` and `git`. This `cargo` copies the
/// program `sleep` to the place of the router's binary.
fn create_directory(name: &str) -> PathBuf {
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("makefile-{name}-{}", std::process::id()));
    // An earlier run may have left a directory of this name.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(directory.join("bin")).expect("makes a directory");
    fs::copy(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Makefile"), directory.join("Makefile"))
        .expect("copies");
    let cargo = "#!/bin/sh\ndirectory=target\nwhile [ $# -gt 0 ]; do\n  \
                 [ \"$1\" = --target-dir ] && directory=$2\n  shift\ndone\nmkdir -p \"$directory/release\"\n\
                 cp \"$(command -v sleep)\" \"$directory/release/ladderpass\"\n";
    let git = "#!/bin/sh\nmkdir -p \"$5\"\n";
    for (program, text) in [("cargo", cargo), ("git", git)] {
        // A child process writes the script. If this process wrote the script while another test forks, the forked process
        // would hold the script open for writing until its exec, and the script could not be executed.
        let write = "printf %s \"$1\" > \"$0\" && chmod 755 \"$0\"";
        let path = directory.join("bin").join(program);
        let written = Command::new("sh").args(["-c", write]).arg(path).arg(text).status();
        assert!(written.expect("sh can be started").success());
    }
    directory
}

/// Runs make in a directory of [`create_directory`].
fn make(directory: &Path, target: &str) -> Output {
    let path = format!("{}:{}", directory.join("bin").display(), std::env::var("PATH").unwrap_or_default());
    let mut make = Command::new("make");
    // If make has started this test, the variables that make has set would change the build in the test directory.
    make.env_remove("MAKEFLAGS").env_remove("MAKELEVEL").env_remove("NAME");
    make.arg(target).current_dir(directory).env("PATH", path).output().expect("make can be started")
}

/// Starts the program at this path, which sleeps for 30 seconds.
fn start(program: &Path) -> Child {
    Command::new(program).arg("30").spawn().expect("the program was built")
}

/// Builds a program and starts it, then builds it again. Requires that the first process goes on, that the second build
/// succeeds and its program starts, and that no temporary file remains in the directory of the program.
fn require_rebuild_while_running(target: &str, program: &str) {
    let directory = create_directory(target);
    let program = directory.join(program);
    let output = make(&directory, target);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut running = start(&program);
    let second_output = make(&directory, target);
    let still_runs = running.try_wait().expect("the state of the process").is_none();
    let mut rebuilt = start(&program);
    for process in [&mut running, &mut rebuilt] {
        let _ = (process.kill(), process.wait());
    }
    assert!(
        second_output.status.success() && still_runs,
        "{}",
        String::from_utf8_lossy(&second_output.stderr)
    );
    let entries = fs::read_dir(program.parent().expect("a directory")).expect("the directory can be read");
    let files: Vec<_> = entries.flatten().filter(|entry| entry.path().is_file()).collect();
    assert_eq!(files.len(), 1, "{files:?}");
    fs::remove_dir_all(directory).expect("removes the directory");
}

#[test]
fn the_faulty_program_can_be_rebuilt_while_it_runs() {
    require_rebuild_while_running("faulty", "target/faulty/ladderpass");
}

#[test]
fn the_earlier_program_can_be_rebuilt_while_it_runs() {
    require_rebuild_while_running("earlier", "target/earlier/7137192/ladderpass");
}

/// While the faulty program is being built for one proof, another proof may start the release program.
#[test]
fn building_the_faulty_program_leaves_the_release_program_unchanged() {
    let directory = create_directory("real");
    fs::create_dir_all(directory.join("target/release")).expect("makes a directory");
    fs::write(directory.join("target/release/ladderpass"), "the release program").expect("writes");
    assert!(make(&directory, "faulty").status.success());
    let content = fs::read_to_string(directory.join("target/release/ladderpass"));
    assert!(
        content.is_ok_and(|content| content == "the release program"),
        "the release program was built again"
    );
    fs::remove_dir_all(directory).expect("removes the directory");
}
