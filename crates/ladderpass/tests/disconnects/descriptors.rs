//! Router processes with too few descriptors.

use crate::common::{close, query, startup, statement, temp_file};
use crate::router_harness::{accept_connection_within, bind_listener, execute, start_harness_with};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Changes the command so that the router is limited to 24 descriptors.
fn limit_descriptors(command: &mut Command) {
    run_in_shell("ulimit -n 24; exec \"$0\"", command);
}

/// Changes a command so that a shell script starts its program, which is `$0` in the script.
fn run_in_shell(shell: &str, command: &mut Command) {
    let program = command.get_program().to_owned();
    let envs: Vec<_> =
        command.get_envs().filter_map(|(key, value)| Some((key.to_owned(), value?.to_owned()))).collect();
    *command = Command::new("sh");
    command.args(["-c", shell]).arg(program).envs(envs);
}

/// While the router has no descriptor left, clients wait at the listener. The clients are served once descriptors are
/// free again.
#[test]
fn clients_waiting_to_be_accepted_are_served_once_descriptors_are_free_again() {
    let mut harness =
        start_harness_with(vec![bind_listener(), bind_listener()], |config| config, limit_descriptors);
    harness.assert_write_succeeds("1");
    let mut waiting_clients: Vec<TcpStream> =
        (0..30).map(|_| TcpStream::connect(&harness.address).expect("the router listens")).collect();
    waiting_clients.truncate(25);
    sleep(Duration::from_millis(200));
    waiting_clients.clear();
    harness.assert_write_succeeds("2");
}

/// Silent clients use all descriptors that the router leaves to clients. Attempts of RPCs get descriptors nevertheless.
#[test]
fn attempts_get_descriptors_although_clients_use_all_that_they_may() {
    let mut harness =
        start_harness_with(vec![bind_listener(), bind_listener()], |config| config, limit_descriptors);
    let mut clients: Vec<TcpStream> = (0..4).map(|_| harness.client()).collect();
    let waiting_clients: Vec<TcpStream> =
        (0..30).map(|_| TcpStream::connect(&harness.address).expect("the router listens")).collect();
    sleep(Duration::from_millis(100));
    for (nth, client) in clients.iter_mut().enumerate() {
        client.write_all(&query(&statement(&nth.to_string(), "write", 5000, "1"))).expect("the router reads");
        let (id, link) = harness.next_rpc(0);
        assert_eq!(id, nth.to_string());
        close(link);
    }
    drop(waiting_clients);
}

/// The router has no descriptor for a connection to a member, and nothing that it could close to free one. The shortage
/// does not count as a failure of the member: the RPCs are rejected at once, and the first RPC after the shortage is
/// served.
#[test]
fn a_shortage_of_descriptors_is_not_counted_as_a_member_failure() {
    let mut harness = start_harness_with(vec![bind_listener(), bind_listener()], |config| config, |_| {});
    let mut client = harness.client();
    harness.settle();
    let descriptor_folder = format!("/proc/{}/fd", harness.process.id());
    let set_descriptor_limit = |count: usize| {
        let pid = harness.process.id().to_string();
        let status =
            Command::new("prlimit").args(["--pid", &pid, &format!("--nofile={count}:1024")]).status();
        assert!(status.expect("prlimit of util-linux is installed").success());
    };
    // The router closes idle clients during this pause, so that no client is left that it could close to free a
    // descriptor.
    sleep(Duration::from_millis(2500));
    assert_eq!(execute(&mut client, ""), (Vec::new(), "the connection has ended".into()));
    let mut client = harness.client();
    let lowest_unused = (0..)
        .find(|n| !PathBuf::from(format!("{descriptor_folder}/{n}")).exists())
        .expect("some descriptor is unused");
    set_descriptor_limit(lowest_unused);
    for nth in 0..4 {
        let started_at = Instant::now();
        assert_eq!(execute(&mut client, &statement(&nth.to_string(), "write", 60_000, "1")).1, "53300");
        assert!(started_at.elapsed() < Duration::from_secs(5), "the RPC was rejected only after 5 s");
    }
    set_descriptor_limit(1024);
    close(client);
    harness.assert_write_succeeds("after");
}

/// The router accepts clients that have already disconnected. It releases the descriptor of each such client before it
/// accepts the next one.
#[test]
fn clients_that_disconnect_before_accept_hold_no_descriptors() {
    let log = temp_file("");
    let shell = format!("ulimit -n 24; exec \"$0\" 2>{}", log.display());
    let harness = start_harness_with(
        vec![bind_listener(), bind_listener()],
        |config| config,
        |command| run_in_shell(&shell, command),
    );
    harness.pause();
    (0..100)
        .for_each(|_| close(TcpStream::connect(&harness.address).expect("the kernel completes the connect")));
    harness.resume();
    harness.settle();
    let log_text = std::fs::read_to_string(&log).expect("the log is readable");
    std::fs::remove_file(log).expect("the temporary file is removed");
    assert!(!log_text.contains("Too many open files"), "{log_text}");
}

/// Idle clients keep connecting to a router process with fewer descriptors than configured, while discovery is down.
/// The router connects to discovery within 6 s of discovery's return.
#[test]
fn discovery_is_watched_again_in_time_although_idle_clients_fill_the_descriptors() {
    for count in [24, 100] {
        let shell = format!("ulimit -n {count}; exec \"$0\"");
        let mut harness = start_harness_with(
            vec![bind_listener()],
            |config| config,
            |command| run_in_shell(&shell, command),
        );
        let discovery_address = harness.discovery.local_addr().expect("the listener has an address");
        (harness.discovery, harness.watch) = (bind_listener(), None);
        let stop = Arc::new(AtomicBool::new(false));
        let idle_clients = connect_idle_clients(harness.address.clone(), stop.clone());
        sleep(Duration::from_millis(4500));
        harness.discovery = TcpListener::bind(discovery_address).expect("the address is still free");
        let watch_connection = accept_connection_within(&harness.discovery, Duration::from_secs(6));
        assert!(
            watch_connection.is_some(),
            "the router did not connect to discovery within 6 s, {count} descriptors"
        );
        stop.store(true, Ordering::Relaxed);
        idle_clients.join().expect("the thread does not panic");
    }
}

/// Keeps 120 client connections open that send no statement. Every second connection sends a startup message.
fn connect_idle_clients(address: String, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut idle: Vec<TcpStream> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            // A read on a closed connection returns the end of the stream or an error. An open connection holds the
            // answer to the startup message, or nothing.
            idle.retain_mut(|stream| match stream.read(&mut [0; 512]) {
                Ok(count) => count > 0,
                Err(fault) => fault.kind() == ErrorKind::WouldBlock,
            });
            while idle.len() < 120 {
                let mut stream = TcpStream::connect(&address).expect("the router listens");
                stream.set_nonblocking(true).expect("non-blocking mode is set");
                if idle.len().is_multiple_of(2) {
                    stream.write_all(&startup()).expect("the kernel buffers the bytes");
                }
                idle.push(stream);
            }
            sleep(Duration::from_millis(5));
        }
    })
}
