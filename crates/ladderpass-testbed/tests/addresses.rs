//! The free address that a router is started on must have no listener before the router listens.
//!
//! Guards against clients whose first connection is reset before the router's welcome, which two tests showed beside 16 busy
//! processes. An earlier version found that an address is free by listening on it for a moment. A child process that another
//! thread started at that time inherited the listener until its exec. A client connected to this listener and was reset when
//! the listener was closed. In the log of one such run, the router found the address in use, the client's connection ended, and
//! only then, 46 ms after the first line of the log, the router listened. No other test uses that address.

use ladderpass_testbed::router::free_loopback_address;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Number of child processes that the test starts.
const CHILD_PROCESSES: usize = 40;
/// Time between fork and exec of each child process.
const EXEC_DELAY: Duration = Duration::from_millis(20);

/// Runs a child process that keeps all inherited descriptors for `EXEC_DELAY`, until its exec.
fn run_child_with_delayed_exec() {
    let mut command = Command::new("true");
    // SAFETY: the closure only sleeps, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            thread::sleep(EXEC_DELAY);
            Ok(())
        });
    }
    assert!(command.status().expect("true runs").success());
}

/// Chooses addresses while child processes are started. No connection to any of them may succeed, since no router has started.
#[test]
fn a_free_address_has_no_listener_while_child_processes_start() {
    let children_done = AtomicBool::new(false);
    let connected = thread::scope(|scope| {
        scope.spawn(|| {
            (0..CHILD_PROCESSES).for_each(|_| run_child_with_delayed_exec());
            children_done.store(true, Ordering::Relaxed);
        });
        let mut connected = 0;
        while !children_done.load(Ordering::Relaxed) {
            let address = free_loopback_address().expect("a free address");
            connected += usize::from(TcpStream::connect(address).is_ok());
        }
        connected
    });
    assert_eq!(connected, 0, "connections that a listener inherited by a child process has accepted");
}
