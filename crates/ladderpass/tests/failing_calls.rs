//! System calls that fail for a moment, over real connections: each RPC is answered, no
//! rule breaks, and the process goes on (`docs/terms-audit.md`). The router is this test binary itself, started again.

mod common;
mod failing;

use common::{file, told};
use failing::Failure;
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use ladderpass_testbed::load::Plan;
use ladderpass_testbed::router::Start;
use ladderpass_testbed::run::{self, RunRecord, open};
use std::io::Write;
use std::net::TcpListener;
use std::process::Child;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[test]
fn router_process() {
    failing::serve_if_told();
}

static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

const DEADLINE: Span = Span::from_millis(1500);

/// What a load of two seconds saw of a router whose calls fail, from its start on or later.
fn seen(start: &Start) -> RunRecord {
    let _alone = alone();
    let plan = Plan { connections: 60, deadline: DEADLINE, ..open(5, &[(2.0, 300.0)]) };
    let seen = run::run(&Scenario::default(), start, &plan, Vec::new());
    let seen = seen.unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(seen.ended, None, "the process goes on: {}", seen.log.join("\n"));
    seen
}

/// Each RPC is served in its time.
fn play(start: &Start) -> RunRecord {
    let seen = seen(start);
    let (total, told) = (seen.outcome.total(), seen.log.join("\n"));
    assert_eq!(seen.broken(Span::from_millis(50)), Vec::<String>::new(), "{total:?}\n{told}");
    assert_eq!((total.unanswered, total.unsent, total.late), (0, 0, 0), "{total:?}\n{told}");
    assert_eq!(total.ok, total.due, "{total:?}\n{told}");
    seen
}

/// All of the failures have been, or the run shows nothing.
fn play_failing(failures: &[Failure]) {
    let seen = play(&failing::start(failures, &[]));
    let all = seen.log.iter().filter(|line| line.contains("all failures of call")).count();
    assert_eq!(all, failures.len(), "{}", seen.log.join("\n"));
}

/// These errors of one call, so many each, while clients and members connect.
fn play_errors(call: i64, errors: &[i32], count: u64) {
    let failure =
        |&errno: &i32| Failure { after: Duration::ZERO, every: 2, count, ..Failure::of(call, errno) };
    play_failing(&errors.iter().map(failure).collect::<Vec<_>>());
}

#[test]
fn calls_that_do_not_fail_change_nothing() {
    let failure = Failure { count: 0, ..Failure::of(libc::SYS_recvmsg, libc::ENOMEM) };
    play(&failing::start(&[failure], &[]));
}

/// The loop arms its sources anew each time that it waits.
#[test]
fn the_loop_goes_on_where_its_sources_can_not_be_armed() {
    play_failing(&[Failure::of(libc::SYS_epoll_ctl, libc::ENOMEM)]);
}

#[test]
fn a_read_that_fails_for_want_of_memory_is_made_again() {
    let errors = [libc::ENOMEM, libc::ENOBUFS, libc::EINTR];
    play_failing(&errors.map(|errno| Failure::of(libc::SYS_recvmsg, errno)));
}

#[test]
fn a_write_that_fails_for_want_of_memory_is_made_again() {
    let errors = [libc::ENOMEM, libc::ENOBUFS, libc::EINTR];
    play_failing(&errors.map(|errno| Failure::of(libc::SYS_sendto, errno)));
}

#[test]
fn a_client_that_can_not_be_accepted_for_a_moment_is_served() {
    use libc::{
        ECONNABORTED, EHOSTUNREACH, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, ETIMEDOUT,
    };
    let errors =
        [ECONNABORTED, EHOSTUNREACH, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, ETIMEDOUT];
    play_errors(libc::SYS_accept4, &errors, 3);
}

#[test]
fn a_client_that_can_not_be_watched_for_a_moment_is_served() {
    let adds = Some(libc::EPOLL_CTL_ADD as u64);
    let failure = |errno| Failure {
        operation: adds,
        after: Duration::ZERO,
        every: 4,
        count: 8,
        ..Failure::of(libc::SYS_epoll_ctl, errno)
    };
    play_failing(&[libc::ENOMEM, libc::ENOSPC].map(failure));
    // A client that has asked already is answered on that connection: the load above would open another.
    let _alone = alone();
    let discovery = TcpListener::bind(common::own_address()).expect("a port");
    for errno in [libc::ENOMEM, libc::ENOSPC] {
        let failure =
            Failure { operation: adds, every: 1, count: 5, ..Failure::of(libc::SYS_epoll_ctl, errno) };
        let router = Lone::start(&[failure], &discovery);
        assert!(router.is_served_within(Duration::from_secs(5)));
        std::thread::sleep(Duration::from_millis(1100));
        let mut client = std::net::TcpStream::connect(&router.address).expect("it listens");
        client.set_read_timeout(Some(Duration::from_secs(5))).expect("it can");
        client.write_all(&[common::startup(), common::query("")].concat()).expect("the kernel takes it");
        let kinds = std::iter::from_fn(|| common::next_frame(&mut client)).map(|(kind, _)| kind);
        let answered = kinds.take_while(|kind| *kind != b'I').count();
        assert!(common::next_frame(&mut client).is_some_and(|(kind, _)| kind == b'Z'), "{answered} frames");
    }
}

#[test]
fn a_member_that_can_not_be_called_for_a_moment_is_called_again() {
    use libc::{EADDRNOTAVAIL, EAGAIN, ECONNREFUSED, EHOSTUNREACH, EINTR, EMFILE, ENETUNREACH, ENFILE};
    use libc::{ENOBUFS, ENOMEM, ETIMEDOUT};
    play_errors(libc::SYS_connect, &[EADDRNOTAVAIL, EAGAIN, ECONNREFUSED], 1);
    play_errors(libc::SYS_connect, &[EHOSTUNREACH, EINTR, ENETUNREACH], 1);
    play_errors(libc::SYS_connect, &[ENOBUFS, ENOMEM, ETIMEDOUT], 1);
    play_errors(libc::SYS_socket, &[EMFILE, ENFILE], 1);
    play_errors(libc::SYS_socket, &[ENOBUFS, ENOMEM], 1);
}

#[test]
fn options_that_can_not_be_set_or_read_for_a_moment_cost_nothing() {
    play_errors(libc::SYS_setsockopt, &[libc::ENOBUFS, libc::ENOMEM], 3);
    play_errors(libc::SYS_getsockopt, &[libc::ENOBUFS, libc::ENOMEM], 1);
}

/// Whichever of these calls the loop and the sockets wait with.
#[test]
fn a_wait_that_is_interrupted_is_made_again() {
    let calls = [libc::SYS_epoll_wait, libc::SYS_epoll_pwait, libc::SYS_epoll_pwait2];
    let failures = calls.map(|call| Failure { count: 200, ..Failure::of(call, libc::EINTR) });
    let seen = play(&failing::start(&failures, &[]));
    assert!(seen.log.iter().any(|line| line.contains("all failures of call")), "{}", seen.log.join("\n"));
}

#[test]
fn a_log_that_can_not_be_written_stops_nothing() {
    let errors = [libc::ENOSPC, libc::EIO, libc::EAGAIN, libc::EPIPE, libc::EINTR];
    let at_once = |errno| Failure { after: Duration::ZERO, every: 1, ..Failure::of(libc::SYS_write, errno) };
    play(&failing::start(&errors.map(at_once), &[]));
}

/// A connection that breaks shows in all of these ways; it costs what is out on it, and no more, and nothing runs twice.
#[test]
fn a_broken_connection_costs_no_more_than_itself() {
    for call in [libc::SYS_recvmsg, libc::SYS_sendto] {
        let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET, libc::EPIPE];
        let failures = errors.map(|errno| Failure { every: 40, count: 3, ..Failure::of(call, errno) });
        let seen = seen(&failing::start(&failures, &[]));
        let broken = seen.violations(Span::from_millis(50));
        assert!(broken.iter().all(|violation| violation.rule == 1), "{broken:?}");
        let total = seen.outcome.total();
        assert!(total.due - total.ok <= 2 * 3 * failures.len() as u64, "{total:?}");
    }
}

/// A router without members, before a discovery of the test's.
struct Lone {
    process: Child,
    config: std::path::PathBuf,
    address: String,
}

impl Drop for Lone {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.config));
    }
}

impl Lone {
    fn start(failures: &[Failure], discovery: &TcpListener) -> Lone {
        let start = failing::start(failures, &[]);
        let config = file(&told(&[]));
        let address = common::router_address();
        let mut command = failing::command(&start);
        command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", &address).env("RELAY_CONFIG", &config);
        command.env("RELAY_DISCOVERY", discovery.local_addr().expect("an address").to_string());
        let process = command.spawn().expect("it starts");
        Lone { process, config, address }
    }

    fn is_served_within(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if std::net::TcpStream::connect(&self.address).is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

fn called_within(discovery: &TcpListener, patience: Duration) -> bool {
    discovery.set_nonblocking(true).expect("it can");
    let until = Instant::now() + patience;
    while Instant::now() < until {
        if discovery.accept().is_ok() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}

/// What the new discovery has counts as told 4 s after SIGHUP, though the file could not be read at once.
#[test]
fn a_configuration_that_can_not_be_read_for_a_moment_is_read_again() {
    let _alone = alone();
    let [first, second] = [(); 2].map(|()| TcpListener::bind(common::own_address()).expect("a port"));
    for errno in [libc::EMFILE, libc::ENFILE, libc::EIO, libc::EINTR, libc::ENOMEM] {
        let failure = Failure { every: 1, count: 5, ..Failure::of(libc::SYS_openat, errno) };
        let router = Lone::start(&[failure], &first);
        assert!(called_within(&first, Duration::from_secs(5)), "it starts");
        std::thread::sleep(Duration::from_millis(1200));
        let good = std::fs::read_to_string(&router.config).expect("its file");
        let moved = format!("{{\"discovery\":\"{}\",", second.local_addr().expect("an address"));
        std::fs::write(&router.config, good.replacen('{', &moved, 1)).expect("written");
        let pid = nix::unistd::Pid::from_raw(router.process.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).expect("it runs");
        assert!(called_within(&second, Duration::from_secs(2)), "error {errno}");
    }
}

/// Nor does any of the calls that a start makes refuse it.
#[test]
fn calls_that_fail_at_the_start_refuse_nothing() {
    let _alone = alone();
    let discovery = TcpListener::bind(common::own_address()).expect("a port");
    let at_start =
        |call, errno| Failure { after: Duration::ZERO, every: 1, count: 3, ..Failure::of(call, errno) };
    for failure in [
        at_start(libc::SYS_epoll_ctl, libc::ENOMEM),
        at_start(libc::SYS_epoll_create1, libc::EMFILE),
        at_start(libc::SYS_socket, libc::ENFILE),
        at_start(libc::SYS_bind, libc::EADDRINUSE),
        at_start(libc::SYS_listen, libc::EADDRINUSE),
        at_start(libc::SYS_openat, libc::ENFILE),
        at_start(libc::SYS_signalfd4, libc::ENOMEM),
    ] {
        let router = Lone::start(&[failure], &discovery);
        assert!(router.is_served_within(Duration::from_secs(5)), "{failure:?}");
        assert!(called_within(&discovery, Duration::from_secs(5)), "{failure:?}");
    }
}
