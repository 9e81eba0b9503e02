//! Where a router that is about to start listens.
//!
//! What happened: beside 16 busy processes the first connection of a test ended before its welcome
//! (`told_anew_it_keeps_serving_...`, `large_values_pass_...`). Why: the address was found free by listening on it for a
//! moment. A child that another thread started just then inherited that listener until it became its own program; a
//! client connected to it, and was reset when it closed. What showed it, in one run (times of the log):
//! "47.971 WARN RELAY_LISTEN: 127.53.215.2:35003: Address already in use; tried again", then the client's end, then
//! "48.017 INFO n0 listens on 127.53.215.2:35003": the router had not listened yet, and no other test uses that address.

use ladderpass_testbed::router::free_loopback_address;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Children that are started in this test, and for how long each takes to become its own program.
const CHILDREN: usize = 40;
const SLOW_START: Duration = Duration::from_millis(20);

/// Starts a child that keeps all that it inherits for a while.
fn start_a_slow_child() {
    let mut command = Command::new("true");
    // SAFETY: what is done between fork and exec is a sleep, which is safe after a fork.
    unsafe {
        command.pre_exec(|| {
            thread::sleep(SLOW_START);
            Ok(())
        });
    }
    assert!(command.status().expect("true runs").success());
}

/// Addresses are taken while children are started: nobody takes a connection at any of them, as no router has started.
#[test]
fn nobody_listens_where_a_router_is_about_to_start() {
    let over = AtomicBool::new(false);
    let connected = thread::scope(|scope| {
        scope.spawn(|| {
            (0..CHILDREN).for_each(|_| start_a_slow_child());
            over.store(true, Ordering::Relaxed);
        });
        let mut connected = 0;
        while !over.load(Ordering::Relaxed) {
            let address = free_loopback_address().expect("one is free");
            connected += usize::from(TcpStream::connect(address).is_ok());
        }
        connected
    });
    assert_eq!(connected, 0, "connections that a child's copy of a listener has taken");
}
