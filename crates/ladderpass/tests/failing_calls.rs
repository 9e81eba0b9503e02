//! System calls that fail transiently, over real connections. Each RPC is answered, no invariant is broken, and the process
//! keeps running (`docs/terms-audit.md`). The router process is this test binary, started again.

mod common;
mod failing_syscalls;
mod one_at_a_time;

use common::{router_config, temp_file};
use failing_syscalls::FailingSyscall;
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use ladderpass_testbed::load::{Phase, Plan};
use ladderpass_testbed::router::Start;
use ladderpass_testbed::run::{self, RunRecord, open_plan};
use one_at_a_time::wait_for_turn;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Serves as the router if this binary was started as one, and otherwise does nothing.
#[test]
fn router_process() {
    failing_syscalls::serve_if_planned();
}

const DEADLINE: Span = Span::from_millis(1500);

/// Runs a load of two seconds against a router whose system calls fail. The process must still run at the end.
fn run_load(start: &Start) -> RunRecord {
    let _turn = wait_for_turn();
    let plan = Plan {
        connections: 60,
        deadline: DEADLINE,
        ..open_plan(5, &[Phase { seconds: 2.0, rate_per_second: 300.0 }])
    };
    let record = run::run(&Scenario::default(), start, &plan, Vec::new());
    let record = record.unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(record.ended, None, "the process has ended: {}", record.log.join("\n"));
    record
}

/// Like [`run_load`], and checks that each RPC is served before its deadline.
fn assert_all_served(start: &Start) -> RunRecord {
    let record = run_load(start);
    let (total, log) = (record.outcome.total(), record.log.join("\n"));
    assert_eq!(record.violation_texts(Span::from_millis(50)), Vec::<String>::new(), "{total:?}\n{log}");
    assert_eq!((total.unanswered, total.unsent, total.late), (0, 0, 0), "{total:?}\n{log}");
    assert_eq!(total.ok, total.due, "{total:?}\n{log}");
    record
}

/// Like [`assert_all_served`], with these failures of system calls. All the failures must have happened, since
/// otherwise the run proves nothing.
fn assert_all_served_despite(failures: &[FailingSyscall]) {
    let record = assert_all_served(&failing_syscalls::start(failures, &[]));
    let completed = record.log.iter().filter(|line| line.contains("all failures of call")).count();
    assert_eq!(completed, failures.len(), "{}", record.log.join("\n"));
}

/// Like [`assert_all_served_despite`], with these errors of one system call. Each error happens `count` times, from the
/// start of the process on, while clients and members connect.
fn assert_all_served_despite_errors(call: i64, errors: &[i32], count: u64) {
    let failure = |&errno: &i32| FailingSyscall {
        after: Duration::ZERO,
        every: 2,
        count,
        ..FailingSyscall::with_errno(call, errno)
    };
    assert_all_served_despite(&errors.iter().map(failure).collect::<Vec<_>>());
}

#[test]
fn intercepted_calls_that_do_not_fail_change_nothing() {
    let failure = FailingSyscall { count: 0, ..FailingSyscall::with_errno(libc::SYS_recvmsg, libc::ENOMEM) };
    assert_all_served(&failing_syscalls::start(&[failure], &[]));
}

/// The event loop arms its event sources again for each wait, so a failure to arm them need not last.
#[test]
fn the_event_loop_continues_after_failing_to_arm_its_sources() {
    assert_all_served_despite(&[FailingSyscall::with_errno(libc::SYS_epoll_ctl, libc::ENOMEM)]);
}

#[test]
fn a_read_that_fails_transiently_is_retried() {
    let errors = [libc::ENOMEM, libc::ENOBUFS, libc::EINTR];
    assert_all_served_despite(&errors.map(|errno| FailingSyscall::with_errno(libc::SYS_recvmsg, errno)));
}

#[test]
fn a_write_that_fails_transiently_is_retried() {
    let errors = [libc::ENOMEM, libc::ENOBUFS, libc::EINTR];
    assert_all_served_despite(&errors.map(|errno| FailingSyscall::with_errno(libc::SYS_sendto, errno)));
}

#[test]
fn a_client_whose_accept_fails_transiently_is_served() {
    use libc::{
        ECONNABORTED, EHOSTUNREACH, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, ETIMEDOUT,
    };
    let errors =
        [ECONNABORTED, EHOSTUNREACH, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, ETIMEDOUT];
    assert_all_served_despite_errors(libc::SYS_accept4, &errors, 3);
}

#[test]
fn a_client_whose_epoll_registration_fails_transiently_is_served() {
    let add_operation = Some(libc::EPOLL_CTL_ADD as u64);
    let failure = |errno| FailingSyscall {
        operation: add_operation,
        after: Duration::ZERO,
        every: 4,
        count: 8,
        ..FailingSyscall::with_errno(libc::SYS_epoll_ctl, errno)
    };
    assert_all_served_despite(&[libc::ENOMEM, libc::ENOSPC].map(failure));
    // A client that has sent its statement must be answered on the connection on which it sent the statement. The load
    // above does not show this, since its clients would open another connection.
    let _turn = wait_for_turn();
    let discovery = TcpListener::bind(common::unique_loopback_address()).expect("a free port");
    for errno in [libc::ENOMEM, libc::ENOSPC] {
        let failure = FailingSyscall {
            operation: add_operation,
            every: 1,
            count: 5,
            ..FailingSyscall::with_errno(libc::SYS_epoll_ctl, errno)
        };
        let router = RouterWithoutMembers::start(&[failure], &discovery);
        assert!(router.accepts_within(Duration::from_secs(5)));
        std::thread::sleep(Duration::from_millis(1100));
        let mut client = std::net::TcpStream::connect(&router.address).expect("the router listens");
        client.set_read_timeout(Some(Duration::from_secs(5))).expect("the read timeout is set");
        client
            .write_all(&[common::startup(), common::query("")].concat())
            .expect("the kernel buffers the bytes");
        let kinds = std::iter::from_fn(|| common::next_frame(&mut client)).map(|(kind, _)| kind);
        let answered = kinds.take_while(|kind| *kind != b'I').count();
        assert!(
            common::next_frame(&mut client).is_some_and(|(kind, _)| kind == b'Z'),
            "the empty query is not answered, {answered} frames before"
        );
    }
}

#[test]
fn a_connect_to_a_member_that_fails_transiently_is_retried() {
    use libc::{EADDRNOTAVAIL, EAGAIN, ECONNREFUSED, EHOSTUNREACH, EINTR, EMFILE, ENETUNREACH, ENFILE};
    use libc::{ENOBUFS, ENOMEM, ETIMEDOUT};
    assert_all_served_despite_errors(libc::SYS_connect, &[EADDRNOTAVAIL, EAGAIN, ECONNREFUSED], 1);
    assert_all_served_despite_errors(libc::SYS_connect, &[EHOSTUNREACH, EINTR, ENETUNREACH], 1);
    assert_all_served_despite_errors(libc::SYS_connect, &[ENOBUFS, ENOMEM, ETIMEDOUT], 1);
    assert_all_served_despite_errors(libc::SYS_socket, &[EMFILE, ENFILE], 1);
    assert_all_served_despite_errors(libc::SYS_socket, &[ENOBUFS, ENOMEM], 1);
}

#[test]
fn transient_socket_option_failures_affect_no_rpc() {
    assert_all_served_despite_errors(libc::SYS_setsockopt, &[libc::ENOBUFS, libc::ENOMEM], 3);
    assert_all_served_despite_errors(libc::SYS_getsockopt, &[libc::ENOBUFS, libc::ENOMEM], 1);
}

/// The event loop and the sockets wait for events with one of these system calls.
#[test]
fn an_interrupted_epoll_wait_is_retried() {
    let mut calls = vec![failing_syscalls::EVENT_WAIT, libc::SYS_epoll_pwait, libc::SYS_epoll_pwait2];
    calls.dedup();
    let fail = |call| FailingSyscall { count: 200, ..FailingSyscall::with_errno(call, libc::EINTR) };
    let failures: Vec<FailingSyscall> = calls.into_iter().map(fail).collect();
    let record = assert_all_served(&failing_syscalls::start(&failures, &[]));
    assert!(record.log.iter().any(|line| line.contains("all failures of call")), "{}", record.log.join("\n"));
}

#[test]
fn log_write_failures_affect_no_rpc() {
    let errors = [libc::ENOSPC, libc::EIO, libc::EAGAIN, libc::EPIPE, libc::EINTR];
    let at_once = |errno| FailingSyscall {
        after: Duration::ZERO,
        every: 1,
        ..FailingSyscall::with_errno(libc::SYS_write, errno)
    };
    assert_all_served(&failing_syscalls::start(&errors.map(at_once), &[]));
}

/// Each of these errors of a read or a write shows that a connection is lost. Only the RPC in flight on the connection
/// fails, and no RPC runs twice.
#[test]
fn a_broken_connection_fails_only_the_rpc_in_flight_on_it() {
    for call in [libc::SYS_recvmsg, libc::SYS_sendto] {
        let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET, libc::EPIPE];
        let failures = errors.map(|errno| FailingSyscall {
            every: 40,
            count: 3,
            ..FailingSyscall::with_errno(call, errno)
        });
        let record = run_load(&failing_syscalls::start(&failures, &[]));
        let violations = record.violations(Span::from_millis(50));
        assert!(violations.iter().all(|violation| violation.rule == 1), "{violations:?}");
        let total = record.outcome.total();
        assert!(total.due - total.ok <= 2 * 3 * failures.len() as u64, "{total:?}");
    }
}

/// A router without members, for which the test plays discovery.
struct RouterWithoutMembers {
    process: Child,
    config: std::path::PathBuf,
    address: String,
}

impl Drop for RouterWithoutMembers {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.config));
    }
}

impl RouterWithoutMembers {
    fn start(failures: &[FailingSyscall], discovery: &TcpListener) -> RouterWithoutMembers {
        let start = failing_syscalls::start(failures, &[]);
        let address = common::router_address();
        RouterWithoutMembers::spawn(failing_syscalls::command(&start), address, discovery)
    }

    fn spawn(mut command: Command, address: String, discovery: &TcpListener) -> RouterWithoutMembers {
        let config = temp_file(&router_config(&[]));
        command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", &address).env("RELAY_CONFIG", &config);
        command
            .env("RELAY_DISCOVERY", discovery.local_addr().expect("the listener has an address").to_string());
        let process = command.spawn().expect("the process starts");
        RouterWithoutMembers { process, config, address }
    }

    /// Connects as soon as the router listens, or returns None if the router does not listen within `timeout`.
    fn connect_within(&self, timeout: Duration) -> Option<TcpStream> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(&self.address) {
                return Some(stream);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn accepts_within(&self, timeout: Duration) -> bool {
        self.connect_within(timeout).is_some()
    }
}

/// Whether the router connects to discovery within `timeout`.
fn is_watched_within(discovery: &TcpListener, timeout: Duration) -> bool {
    discovery.set_nonblocking(true).expect("non-blocking mode is set");
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if discovery.accept().is_ok() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}

/// A change of the configuration must apply 4 s after SIGHUP. The router connects to the new discovery address within 2 s,
/// although the file cannot be read at first.
#[test]
fn a_configuration_read_that_fails_transiently_is_retried() {
    let _turn = wait_for_turn();
    let [old_discovery, new_discovery] =
        [(); 2].map(|()| TcpListener::bind(common::unique_loopback_address()).expect("a free port"));
    for errno in [libc::EMFILE, libc::ENFILE, libc::EIO, libc::EINTR, libc::ENOMEM] {
        let failure =
            FailingSyscall { every: 1, count: 5, ..FailingSyscall::with_errno(libc::SYS_openat, errno) };
        let router = RouterWithoutMembers::start(&[failure], &old_discovery);
        assert!(
            is_watched_within(&old_discovery, Duration::from_secs(5)),
            "the router watches the old address"
        );
        std::thread::sleep(Duration::from_millis(1200));
        let valid_config =
            std::fs::read_to_string(&router.config).expect("the configuration file is readable");
        let new_discovery_key = format!(
            "{{\"discovery\":\"{}\",",
            new_discovery.local_addr().expect("the listener has an address")
        );
        std::fs::write(&router.config, valid_config.replacen('{', &new_discovery_key, 1))
            .expect("the configuration is written");
        let pid = nix::unistd::Pid::from_raw(router.process.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).expect("the process runs");
        assert!(
            is_watched_within(&new_discovery, Duration::from_secs(2)),
            "the new configuration is not used after errno {errno}"
        );
    }
}

/// The start of the router survives transient failures of the system calls that the start makes.
#[test]
fn calls_that_fail_transiently_at_start_do_not_prevent_serving() {
    let _turn = wait_for_turn();
    let discovery = TcpListener::bind(common::unique_loopback_address()).expect("a free port");
    let at_start = |call, errno| FailingSyscall {
        after: Duration::ZERO,
        every: 1,
        count: 3,
        ..FailingSyscall::with_errno(call, errno)
    };
    for failure in [
        at_start(libc::SYS_epoll_ctl, libc::ENOMEM),
        at_start(libc::SYS_epoll_create1, libc::EMFILE),
        at_start(libc::SYS_socket, libc::ENFILE),
        at_start(libc::SYS_bind, libc::EADDRINUSE),
        at_start(libc::SYS_listen, libc::EADDRINUSE),
        at_start(libc::SYS_openat, libc::ENFILE),
        at_start(libc::SYS_signalfd4, libc::ENOMEM),
    ] {
        let router = RouterWithoutMembers::start(&[failure], &discovery);
        assert!(router.accepts_within(Duration::from_secs(5)), "{failure:?}");
        assert!(is_watched_within(&discovery, Duration::from_secs(5)), "{failure:?}");
    }
}

/// A client that has connected to a router is not reset because a later step of the router's start fails and the start
/// is retried.
#[test]
fn a_start_that_fails_transiently_resets_no_client() {
    const EPOLL_ADDITIONS_AT_START: u64 = 8;
    let _turn = wait_for_turn();
    let discovery = TcpListener::bind(common::unique_loopback_address()).expect("a free port");
    for nth in 1..=EPOLL_ADDITIONS_AT_START {
        // A delay before the failure gives the client time to connect, if the router listens already.
        let of_nth_addition = |failure| FailingSyscall {
            operation: Some(libc::EPOLL_CTL_ADD as u64),
            after: Duration::ZERO,
            every: nth,
            count: 1,
            ..failure
        };
        let failures = [
            FailingSyscall::delay(libc::SYS_epoll_ctl, Duration::from_millis(60)),
            FailingSyscall::with_errno(libc::SYS_epoll_ctl, libc::ENOMEM),
        ];
        let router = RouterWithoutMembers::start(&failures.map(of_nth_addition), &discovery);
        let mut client = router.connect_within(Duration::from_secs(5)).expect("the router listens");
        client.set_read_timeout(Some(Duration::from_secs(5))).expect("the read timeout is set");
        let sent = client.write_all(&[common::startup(), common::query("")].concat());
        let is_answered =
            std::iter::from_fn(|| common::next_frame(&mut client)).any(|(kind, _)| kind == b'I');
        assert!(sent.is_ok() && is_answered, "reset because addition {nth} to an epoll set failed");
    }
}

/// A SIGHUP must not end a router whose start is retried because its address still belongs to another process.
#[test]
fn a_sighup_while_the_start_is_retried_does_not_end_the_router() {
    let _turn = wait_for_turn();
    let discovery = TcpListener::bind(common::unique_loopback_address()).expect("a free port");
    let address = common::router_address();
    let earlier_process = TcpListener::bind(&address).expect("the address is free");
    let command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    let mut router = RouterWithoutMembers::spawn(command, address, &discovery);
    let pid = nix::unistd::Pid::from_raw(router.process.id() as i32);
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(50));
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).expect("the process runs");
    }
    drop(earlier_process);
    let ended = router.process.try_wait().expect("the process can be waited for");
    assert_eq!(ended, None, "SIGHUP has ended the process");
    assert!(is_watched_within(&discovery, Duration::from_secs(5)), "the router does not serve");
}
