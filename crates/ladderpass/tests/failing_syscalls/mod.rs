//! A router process whose system calls fail or are delayed as the test plans, and whose wall clock can be stepped. This
//! needs no privileges and no tracer. The router's thread has a seccomp filter through which the kernel asks another
//! thread of the same process about each intercepted call, and a function of this binary replaces the C library's
//! `clock_gettime`.

#![allow(dead_code)]

use ladderpass::launch::Launch;
use ladderpass_testbed::router::Start;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// The environment variable that makes the test `router_process` serve as a router. The variable's value is the plan of
/// the failures and clock steps, separated by semicolons.
const PLAN_VARIABLE: &str = "LADDERPASS_TEST_PLAN";

/// The system call in which the event loop waits: `epoll_wait`, or `epoll_pwait` on the architectures whose Linux has no
/// `epoll_wait`.
#[cfg(not(any(target_arch = "aarch64", target_arch = "riscv64", target_arch = "loongarch64")))]
pub const EVENT_WAIT: i64 = libc::SYS_epoll_wait;
#[cfg(any(target_arch = "aarch64", target_arch = "riscv64", target_arch = "loongarch64"))]
pub const EVENT_WAIT: i64 = libc::SYS_epoll_pwait;

/// What happens to an intercepted system call.
#[derive(Clone, Copy, Debug)]
pub enum SyscallFault {
    /// The call fails with this errno.
    Error(i32),
    /// The call is delayed by this much, which stalls the router's only thread.
    Delay(Duration),
}

impl SyscallFault {
    fn as_error(self) -> Option<i32> {
        match self {
            SyscallFault::Error(errno) => Some(errno),
            SyscallFault::Delay(_) => None,
        }
    }

    fn as_delay(self) -> Option<Duration> {
        match self {
            SyscallFault::Delay(duration) => Some(duration),
            SyscallFault::Error(_) => None,
        }
    }
}

/// System calls that fail or are delayed: `count` calls in all, namely every `every`th call that matches, from the time
/// `after` the start of the process on.
#[derive(Clone, Copy, Debug)]
pub struct FailingSyscall {
    /// The number of the system call.
    pub call: i64,
    pub fault: SyscallFault,
    /// Only calls with this second argument match, such as the operation of `epoll_ctl`.
    pub operation: Option<u64>,
    pub after: Duration,
    pub every: u64,
    pub count: u64,
}

/// A jump of the wall clock by `by`, `after` the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    pub after: Duration,
    pub by: Duration,
    /// Whether the clock jumps back rather than forward.
    pub back: bool,
}

impl FailingSyscall {
    /// Twenty calls of this system call that fail with this errno: every third call from one second after the start of
    /// the process on.
    pub fn with_errno(call: i64, errno: i32) -> FailingSyscall {
        let (fault, after) = (SyscallFault::Error(errno), Duration::from_millis(1000));
        FailingSyscall { call, fault, operation: None, after, every: 3, count: 20 }
    }

    /// Twenty calls of this system call that are delayed: every third call from one second after the start of the
    /// process on.
    pub fn delay(call: i64, duration: Duration) -> FailingSyscall {
        FailingSyscall { fault: SyscallFault::Delay(duration), ..FailingSyscall::with_errno(call, 0) }
    }

    fn encode(&self) -> String {
        let operation = self.operation.map_or(-1, |operation| operation as i64);
        let (kind, number) = match self.fault {
            SyscallFault::Error(errno) => ("error", i64::from(errno)),
            SyscallFault::Delay(duration) => ("delay", duration.as_millis() as i64),
        };
        let after = self.after.as_millis();
        format!("{kind} {number} {} {operation} {after} {} {}", self.call, self.every, self.count)
    }

    fn decode(fault: SyscallFault, numbers: [i64; 5]) -> FailingSyscall {
        let [call, operation, after, every, count] = numbers;
        FailingSyscall {
            call,
            fault,
            operation: u64::try_from(operation).ok(),
            after: Duration::from_millis(after as u64),
            every: every as u64,
            count: count as u64,
        }
    }
}

impl ClockStep {
    /// A jump of the wall clock forward by `by`, at the time `after` the start of the process.
    pub fn forward(after: Duration, by: Duration) -> ClockStep {
        ClockStep { after, by, back: false }
    }

    /// A jump of the wall clock back by `by`, at the time `after` the start of the process.
    pub fn back(after: Duration, by: Duration) -> ClockStep {
        ClockStep { after, by, back: true }
    }

    fn encode(&self) -> String {
        let by = self.by.as_millis() as i64;
        format!("step {} {}", self.after.as_millis(), if self.back { -by } else { by })
    }
}

/// How to start this test binary as a router with these failures and clock steps.
pub fn start(failures: &[FailingSyscall], steps: &[ClockStep]) -> Start {
    let plan: Vec<String> =
        failures.iter().map(FailingSyscall::encode).chain(steps.iter().map(ClockStep::encode)).collect();
    let program = std::env::current_exe().expect("the test binary has a path");
    Start {
        arguments: ["--exact", "router_process", "--nocapture", "--test-threads=1"]
            .map(String::from)
            .to_vec(),
        variables: vec![(PLAN_VARIABLE.to_owned(), plan.join(";"))],
        ..Start::new(Path::new(&program))
    }
}

/// The command that starts this test binary as a router, as `start` says. The caller must add the environment variables
/// of the router's configuration.
pub fn command(start: &Start) -> Command {
    let mut command = Command::new(&start.binary);
    command.args(&start.arguments).envs(start.variables.iter().cloned()).stdout(Stdio::null());
    command
}

/// The body of the test `router_process`. If the environment has a plan, this process serves as a router until it gets
/// a signal. Otherwise the function does nothing.
pub fn serve_if_planned() {
    let Ok(plan) = std::env::var(PLAN_VARIABLE) else { return };
    let started_at = Instant::now();
    let (failures, mut steps) = read_plan(&plan);
    // Clock steps that are due at once are made before the clock is read for the first time, so that the process starts
    // with a wrong clock.
    step_clock(&mut steps, Duration::ZERO);
    std::thread::spawn(move || {
        while !steps.is_empty() {
            step_clock(&mut steps, started_at.elapsed());
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let calls: Vec<i64> = failures.iter().map(|failure| failure.call).collect();
    let (sender, receiver) = std::sync::mpsc::channel();
    // This thread is started before the seccomp filter is installed, so that the thread's own calls are not
    // intercepted.
    std::thread::spawn(move || supervise(receiver, failures, started_at));
    let done = std::thread::spawn(move || {
        if !calls.is_empty() {
            sender.send(install_filter(&calls)).expect("the supervisor thread waits for the descriptor");
        }
        let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
        // As in the `ladderpass` program, a failed log write is not reported on standard error, since the report would
        // panic.
        log.with_max_level(tracing::Level::INFO).log_internal_errors(false).init();
        let launch = Launch::read_at_start(|key| std::env::var(key).ok(), None);
        let launch = launch.map_err(|errors| errors.to_string());
        launch.and_then(|launch| ladderpass::sockets::run(launch, None).map_err(|error| error.to_string()))
    });
    let done = done.join().expect("the router does not panic");
    if let Err(error) = &done {
        eprintln!("the router ended: {error}");
    }
    std::process::exit(i32::from(done.is_err()));
}

/// Parses the failures and clock steps of a plan. Each clock step is returned as the time when it is due, and the
/// milliseconds by which the clock jumps.
fn read_plan(plan: &str) -> (Vec<FailingSyscall>, Vec<(Duration, i64)>) {
    let (mut failures, mut steps) = (Vec::new(), Vec::new());
    for line in plan.split(';').filter(|line| !line.is_empty()) {
        let (kind, numbers) = line.split_once(' ').expect("an entry begins with its kind");
        let numbers: Vec<i64> = numbers.split(' ').map(|text| text.parse().expect("a number")).collect();
        match (kind, numbers.as_slice()) {
            ("error", &[errno, ref numbers @ ..]) => {
                let numbers = numbers.try_into().expect("five numbers");
                failures.push(FailingSyscall::decode(SyscallFault::Error(errno as i32), numbers));
            }
            ("delay", &[duration, ref numbers @ ..]) => {
                let duration = Duration::from_millis(duration as u64);
                let numbers = numbers.try_into().expect("five numbers");
                failures.push(FailingSyscall::decode(SyscallFault::Delay(duration), numbers));
            }
            ("step", &[after, by]) => steps.push((Duration::from_millis(after as u64), by)),
            _ => panic!("{line}"),
        }
    }
    (failures, steps)
}

/// Makes the clock steps that are due, and removes them from the list.
fn step_clock(steps: &mut Vec<(Duration, i64)>, elapsed: Duration) {
    steps.retain(|&(after, by)| {
        let due = after <= elapsed;
        if due {
            WALL_CLOCK_OFFSET_MS.fetch_add(by, Ordering::SeqCst);
        }
        !due
    });
}

// ---- the wall clock

/// The milliseconds by which this process's wall clock is ahead of the system's.
static WALL_CLOCK_OFFSET_MS: AtomicI64 = AtomicI64::new(0);

/// Replaces the C library's function `clock_gettime` in all of this binary.
#[unsafe(no_mangle)]
extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> libc::c_int {
    // SAFETY: the caller's arguments are passed on unchanged, and `time` is read only after the call has written to it.
    unsafe {
        let done = libc::syscall(libc::SYS_clock_gettime, clock, time) as libc::c_int;
        let ahead = WALL_CLOCK_OFFSET_MS.load(Ordering::Relaxed);
        if done == 0 && clock == libc::CLOCK_REALTIME && ahead != 0 {
            let nanos = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + ahead * 1_000_000;
            (*time).tv_sec = nanos.div_euclid(1_000_000_000);
            (*time).tv_nsec = nanos.rem_euclid(1_000_000_000);
        }
        done
    }
}

/// Blocks signals in this process if it is a router, so that only the router's thread receives them.
extern "C" fn block_signals() {
    if std::env::var_os(PLAN_VARIABLE).is_none() {
        return;
    }
    // SAFETY: the signal set is initialised before it is used.
    unsafe {
        let mut set = std::mem::zeroed();
        libc::sigemptyset(&mut set);
        for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
            libc::sigaddset(&mut set, signal);
        }
        libc::sigprocmask(libc::SIG_BLOCK, &set, std::ptr::null_mut());
    }
}

/// The dynamic loader calls the function in this static before any thread is started.
#[used]
#[unsafe(link_section = ".init_array")]
static BLOCK_SIGNALS: extern "C" fn() = block_signals;

// ---- system calls

/// The kernel's question about a system call: `struct seccomp_notif`.
#[repr(C)]
struct Notification {
    id: u64,
    process: u32,
    flags: u32,
    call: i32,
    architecture: u32,
    instruction: u64,
    arguments: [u64; 6],
}

/// The answer to the kernel's question about a system call: `struct seccomp_notif_resp`.
#[repr(C)]
struct Response {
    id: u64,
    value: i64,
    error: i32,
    flags: u32,
}

/// The ioctl that receives a question of the kernel, `SECCOMP_IOCTL_NOTIF_RECV`.
const RECEIVE_NOTIFICATION: libc::Ioctl = 0xc050_2100_u32 as libc::Ioctl;
/// The ioctl that answers a question of the kernel, `SECCOMP_IOCTL_NOTIF_SEND`.
const SEND_RESPONSE: libc::Ioctl = 0xc018_2101_u32 as libc::Ioctl;
/// The flag of an answer that lets the kernel carry out the call, `SECCOMP_USER_NOTIF_FLAG_CONTINUE`.
const CONTINUE_CALL: u32 = 1;

/// Has the kernel ask about these system calls of the current thread and of threads that it starts. Returns the descriptor
/// from which the questions are read.
fn install_filter(calls: &[i64]) -> i32 {
    let step = |code: u32, jt: u8, jf: u8, k: u32| libc::sock_filter { code: code as u16, jt, jf, k };
    let load = libc::BPF_LD | libc::BPF_W | libc::BPF_ABS;
    let equals = libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K;
    let answer = libc::BPF_RET | libc::BPF_K;
    let mut program = vec![step(load, 0, 0, 0)];
    for (nth, &call) in calls.iter().enumerate() {
        program.push(step(equals, (calls.len() - nth) as u8, 0, call as u32));
    }
    program.push(step(answer, 0, 0, libc::SECCOMP_RET_ALLOW));
    program.push(step(answer, 0, 0, libc::SECCOMP_RET_USER_NOTIF));
    let program = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
    // SAFETY: the filter program lives until the kernel has copied it.
    unsafe {
        assert_eq!(libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0), 0);
        let (mode, flags) = (libc::SECCOMP_SET_MODE_FILTER, libc::SECCOMP_FILTER_FLAG_NEW_LISTENER);
        let listener = libc::syscall(libc::SYS_seccomp, mode, flags, &program);
        assert!(listener >= 0, "the seccomp filter is not installed: {}", std::io::Error::last_os_error());
        listener as i32
    }
}

/// Answers the kernel's questions about system calls. Each call is carried out, fails or is delayed, as `failures` say.
fn supervise(listener: Receiver<i32>, failures: Vec<FailingSyscall>, started_at: Instant) {
    let Ok(listener) = listener.recv() else { return };
    let mut remaining: Vec<RemainingFaults> =
        failures.into_iter().map(|plan| RemainingFaults { plan, seen: 0, count: plan.count }).collect();
    loop {
        // SAFETY: both structs have the kernel's layout and the size that the ioctl numbers encode. The notification is
        // zeroed, as the kernel requires.
        unsafe {
            let mut notification: Notification = std::mem::zeroed();
            if libc::ioctl(listener, RECEIVE_NOTIFICATION, &mut notification) != 0 {
                continue;
            }
            let mut response = Response { id: notification.id, value: 0, error: 0, flags: CONTINUE_CALL };
            let matches = |failure: &FailingSyscall| {
                failure.call == i64::from(notification.call)
                    && failure.operation.is_none_or(|operation| operation == notification.arguments[1])
                    && started_at.elapsed() >= failure.after
            };
            remaining.iter_mut().filter(|faults| matches(&faults.plan)).for_each(|faults| faults.seen += 1);
            // A call may be delayed and then fail.
            if let Some((duration, last)) = take_due(&mut remaining, matches, SyscallFault::as_delay) {
                if last {
                    eprintln!("all delays of call {} have happened", notification.call);
                }
                std::thread::sleep(duration);
            }
            if let Some((errno, last)) = take_due(&mut remaining, matches, SyscallFault::as_error) {
                (response.error, response.flags) = (-errno, 0);
                if last {
                    eprintln!("all failures of call {} with {errno} have happened", notification.call);
                }
            }
            libc::ioctl(listener, SEND_RESPONSE, &response);
        }
    }
}

/// The faults that are left of one entry of the plan.
struct RemainingFaults {
    plan: FailingSyscall,
    /// The number of calls so far that match the entry.
    seen: u64,
    /// The number of faults that are still to happen.
    count: u64,
}

/// Uses up a fault that is due, of those that `matches` and `kind` select. Returns its value, and whether it is the last
/// fault of its entry.
fn take_due<T>(
    remaining: &mut [RemainingFaults],
    matches: impl Fn(&FailingSyscall) -> bool,
    kind: impl Fn(SyscallFault) -> Option<T>,
) -> Option<(T, bool)> {
    remaining.iter_mut().find_map(|faults| {
        let is_due =
            matches(&faults.plan) && faults.count > 0 && faults.seen.is_multiple_of(faults.plan.every);
        let value = kind(faults.plan.fault).filter(|_| is_due)?;
        faults.count -= 1;
        Some((value, faults.count == 0))
    })
}
