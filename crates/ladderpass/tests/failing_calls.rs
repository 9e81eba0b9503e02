//! System calls that fail for a moment, and a wall clock that is stepped, over real connections: each RPC is answered, no
//! rule breaks, and the process goes on (`docs/terms-audit.md`). The router is this test binary itself, started again.

mod failing;

use failing::{Failure, Step};
use ladderpass_core::Span;
use ladderpass_fleet::Scenario;
use ladderpass_lab::bed::{self, Seen, open};
use ladderpass_lab::load::Plan;
use ladderpass_lab::router::Start;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

#[test]
fn router_process() {
    failing::serve_if_told();
}

static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

const DEADLINE: Span = Span::from_millis(1500);

/// A load of three seconds; from the second on calls fail. Each RPC has its answer in its time, and none is pushed back
/// or fails but as many as `spared` allows.
fn play(start: &Start, spared: u64) -> Seen {
    let _alone = alone();
    let plan = Plan { connections: 60, deadline: DEADLINE, ..open(5, &[(3.0, 300.0)]) };
    let seen = bed::run(&Scenario::default(), start, &plan, Vec::new());
    let seen = seen.unwrap_or_else(|fault| panic!("{fault}"));
    let total = seen.outcome.total();
    let told = seen.log.join("\n");
    assert_eq!(seen.ended, None, "the process goes on: {told}");
    assert_eq!(seen.broken(Span::from_millis(50)), Vec::<String>::new(), "{total:?}\n{told}");
    assert_eq!((total.unanswered, total.unsent, total.late), (0, 0, 0), "{total:?}\n{told}");
    assert!(total.due - total.ok <= spared, "{total:?}\n{told}");
    seen
}

/// All of the failures have been, or the run shows nothing.
fn play_failing(failures: &[Failure], spared: u64) -> Seen {
    let seen = play(&failing::start(failures, &[]), spared);
    let all = seen.log.iter().filter(|line| line.contains("all failures of call")).count();
    assert_eq!(all, failures.len(), "{}", seen.log.join("\n"));
    seen
}

#[test]
fn calls_that_do_not_fail_change_nothing() {
    play(&failing::start(&[Failure { count: 0, ..Failure::of(libc::SYS_recvmsg, libc::ENOMEM) }], &[]), 0);
}

/// The loop arms its sources anew each time that it waits.
#[test]
fn the_loop_goes_on_where_its_sources_can_not_be_armed() {
    play_failing(&[Failure::of(libc::SYS_epoll_ctl, libc::ENOMEM)], 0);
}

#[test]
fn a_read_that_fails_for_want_of_memory_is_made_again() {
    for errno in [libc::ENOMEM, libc::ENOBUFS, libc::EINTR] {
        play_failing(&[Failure::of(libc::SYS_recvmsg, errno)], 0);
    }
}

#[test]
fn a_write_that_fails_for_want_of_memory_is_made_again() {
    for errno in [libc::ENOMEM, libc::ENOBUFS, libc::EINTR] {
        play_failing(&[Failure::of(libc::SYS_sendto, errno)], 0);
    }
}

#[test]
fn a_wall_clock_that_steps_back_ends_no_rpc() {
    for by in [Duration::from_secs(5), Duration::from_secs(3600)] {
        play(&failing::start(&[], &[Step::back(Duration::from_millis(1500), by)]), 0);
    }
}
