//! A router in a process of its own whose system calls fail for a moment, or are held up, as the test says, and whose wall
//! clock can be stepped. It needs no rights and no tracer: the router's thread has a seccomp filter that asks another thread of the
//! same process about each watched call, and the wall clock is read through a function of this binary's.

#![allow(dead_code)]

use ladderpass::launch::Launch;
use ladderpass_testbed::router::Start;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Variable that makes the test `router_process` a router: its failures and steps, one a semicolon.
const PLAN: &str = "LADDERPASS_TEST_PLAN";

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Error(i32),
    /// It lasts so much longer: the router's one thread stalls.
    Hold(Duration),
}

/// `count` calls meet with that, each `every`th of those that match, from `after` the start on.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    pub call: i64,
    pub trouble: Trouble,
    /// Only calls with this second argument, such as an operation.
    pub operation: Option<u64>,
    pub after: Duration,
    pub every: u64,
    pub count: u64,
}

/// At `after` the start the wall clock jumps by so much.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub after: Duration,
    pub by: Duration,
    pub back: bool,
}

impl Failure {
    pub fn of(call: i64, errno: i32) -> Failure {
        let (trouble, after) = (Trouble::Error(errno), Duration::from_millis(1000));
        Failure { call, trouble, operation: None, after, every: 3, count: 20 }
    }

    /// Calls that are held up.
    pub fn hold(call: i64, lasts: Duration) -> Failure {
        Failure { trouble: Trouble::Hold(lasts), ..Failure::of(call, 0) }
    }

    fn written(&self) -> String {
        let operation = self.operation.map_or(-1, |operation| operation as i64);
        let (kind, number) = match self.trouble {
            Trouble::Error(errno) => ("error", i64::from(errno)),
            Trouble::Hold(lasts) => ("hold", lasts.as_millis() as i64),
        };
        let after = self.after.as_millis();
        format!("{kind} {number} {} {operation} {after} {} {}", self.call, self.every, self.count)
    }

    fn read(trouble: Trouble, numbers: [i64; 5]) -> Failure {
        let [call, operation, after, every, count] = numbers;
        Failure {
            call,
            trouble,
            operation: u64::try_from(operation).ok(),
            after: Duration::from_millis(after as u64),
            every: every as u64,
            count: count as u64,
        }
    }
}

impl Step {
    pub fn forward(after: Duration, by: Duration) -> Step {
        Step { after, by, back: false }
    }

    pub fn back(after: Duration, by: Duration) -> Step {
        Step { after, by, back: true }
    }

    fn written(&self) -> String {
        let by = self.by.as_millis() as i64;
        format!("step {} {}", self.after.as_millis(), if self.back { -by } else { by })
    }
}

/// How to start this test binary as a router with that plan.
pub fn start(failures: &[Failure], steps: &[Step]) -> Start {
    let plan: Vec<String> =
        failures.iter().map(Failure::written).chain(steps.iter().map(Step::written)).collect();
    let program = std::env::current_exe().expect("this test has a path");
    Start {
        arguments: ["--exact", "router_process", "--nocapture", "--test-threads=1"]
            .map(String::from)
            .to_vec(),
        variables: vec![(PLAN.to_owned(), plan.join(";"))],
        ..Start::new(Path::new(&program))
    }
}

/// The same, as a command that is still to be told what a router is told.
pub fn command(start: &Start) -> Command {
    let mut command = Command::new(&start.binary);
    command.args(&start.arguments).envs(start.variables.iter().cloned()).stdout(Stdio::null());
    command
}

/// The body of the test `router_process`: serves until it is told to stop where this process has a plan, else nothing.
pub fn serve_if_told() {
    let Ok(plan) = std::env::var(PLAN) else { return };
    let began = Instant::now();
    let (mut failures, mut steps) = (Vec::new(), Vec::new());
    for line in plan.split(';').filter(|line| !line.is_empty()) {
        let (kind, numbers) = line.split_once(' ').expect("a kind");
        let numbers: Vec<i64> = numbers.split(' ').map(|text| text.parse().expect("a number")).collect();
        match (kind, numbers.as_slice()) {
            ("error", &[errno, ref numbers @ ..]) => {
                let numbers = numbers.try_into().expect("five numbers");
                failures.push(Failure::read(Trouble::Error(errno as i32), numbers));
            }
            ("hold", &[lasts, ref numbers @ ..]) => {
                let lasts = Duration::from_millis(lasts as u64);
                let numbers = numbers.try_into().expect("five numbers");
                failures.push(Failure::read(Trouble::Hold(lasts), numbers));
            }
            ("step", &[after, by]) => steps.push((Duration::from_millis(after as u64), by)),
            _ => panic!("{line}"),
        }
    }
    // Those due at once are taken before anything is read: a process that starts with a wrong clock.
    step_clock(&mut steps, Duration::ZERO);
    std::thread::spawn(move || {
        while !steps.is_empty() {
            step_clock(&mut steps, began.elapsed());
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let calls: Vec<i64> = failures.iter().map(|failure| failure.call).collect();
    let (sender, receiver) = std::sync::mpsc::channel();
    // Started before there is a filter: its own calls are not asked about.
    std::thread::spawn(move || supervise(receiver, failures, began));
    let done = std::thread::spawn(move || {
        if !calls.is_empty() {
            sender.send(filter(&calls)).expect("the supervisor waits");
        }
        let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
        // As the program's log: one that can't be written is not told on standard error, which would panic.
        log.with_max_level(tracing::Level::INFO).log_internal_errors(false).init();
        let launch = Launch::read_at_start(|key| std::env::var(key).ok(), None);
        let launch = launch.map_err(|errors| errors.to_string());
        launch.and_then(|launch| ladderpass::sockets::run(launch, None).map_err(|error| error.to_string()))
    });
    let done = done.join().expect("the router does not panic");
    if let Err(fault) = &done {
        eprintln!("the router ended: {fault}");
    }
    std::process::exit(i32::from(done.is_err()));
}

fn step_clock(steps: &mut Vec<(Duration, i64)>, elapsed: Duration) {
    steps.retain(|&(after, by)| {
        let due = after <= elapsed;
        if due {
            AHEAD_MS.fetch_add(by, Ordering::SeqCst);
        }
        !due
    });
}

// ---- the wall clock

/// By how much this process's wall clock is ahead of the system's.
static AHEAD_MS: AtomicI64 = AtomicI64::new(0);

/// In place of the C library's, for all of this binary.
#[unsafe(no_mangle)]
extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> libc::c_int {
    // SAFETY: the arguments are passed on as they came; what is written is read back where the call succeeded.
    unsafe {
        let done = libc::syscall(libc::SYS_clock_gettime, clock, time) as libc::c_int;
        let ahead = AHEAD_MS.load(Ordering::Relaxed);
        if done == 0 && clock == libc::CLOCK_REALTIME && ahead != 0 {
            let nanos = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + ahead * 1_000_000;
            (*time).tv_sec = nanos.div_euclid(1_000_000_000);
            (*time).tv_nsec = nanos.rem_euclid(1_000_000_000);
        }
        done
    }
}

/// The platform's signals are the router's own: no other thread of this process may take them.
extern "C" fn block_signals() {
    if std::env::var_os(PLAN).is_none() {
        return;
    }
    // SAFETY: the set is initialised before it is used.
    unsafe {
        let mut set = std::mem::zeroed();
        libc::sigemptyset(&mut set);
        for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
            libc::sigaddset(&mut set, signal);
        }
        libc::sigprocmask(libc::SIG_BLOCK, &set, std::ptr::null_mut());
    }
}

/// Before any thread is started.
#[used]
#[unsafe(link_section = ".init_array")]
static BLOCK_SIGNALS: extern "C" fn() = block_signals;

// ---- calls

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

#[repr(C)]
struct Response {
    id: u64,
    value: i64,
    error: i32,
    flags: u32,
}

const RECEIVE: libc::Ioctl = 0xc050_2100_u32 as libc::Ioctl;
const SEND: libc::Ioctl = 0xc018_2101_u32 as libc::Ioctl;
const CONTINUE: u32 = 1;

/// Asks about these calls of the thread that calls this, and of those that it starts; where the questions come.
fn filter(calls: &[i64]) -> i32 {
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
    // SAFETY: the program lives until the kernel has copied it.
    unsafe {
        assert_eq!(libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0), 0);
        let (mode, flags) = (libc::SECCOMP_SET_MODE_FILTER, libc::SECCOMP_FILTER_FLAG_NEW_LISTENER);
        let listener = libc::syscall(libc::SYS_seccomp, mode, flags, &program);
        assert!(listener >= 0, "no filter: {}", std::io::Error::last_os_error());
        listener as i32
    }
}

fn supervise(listener: Receiver<i32>, failures: Vec<Failure>, began: Instant) {
    let Ok(listener) = listener.recv() else { return };
    let mut left: Vec<(Failure, u64, u64)> = failures.into_iter().map(|f| (f, 0, f.count)).collect();
    loop {
        // SAFETY: both structs are the kernel's, of the size that the requests name, and zeroed as it asks.
        unsafe {
            let mut asked: Notification = std::mem::zeroed();
            if libc::ioctl(listener, RECEIVE, &mut asked) != 0 {
                continue;
            }
            let mut response = Response { id: asked.id, value: 0, error: 0, flags: CONTINUE };
            let matching = |failure: &Failure| {
                failure.call == i64::from(asked.call)
                    && failure.operation.is_none_or(|operation| operation == asked.arguments[1])
                    && began.elapsed() >= failure.after
            };
            left.iter_mut().filter(|(failure, ..)| matching(failure)).for_each(|(_, seen, _)| *seen += 1);
            let due = left.iter_mut().find(|(failure, seen, count)| {
                matching(failure) && *count > 0 && seen.is_multiple_of(failure.every)
            });
            if let Some((failure, _, count)) = due {
                *count -= 1;
                let (call, last) = (failure.call, *count == 0);
                match failure.trouble {
                    Trouble::Error(errno) => {
                        (response.error, response.flags) = (-errno, 0);
                        if last {
                            eprintln!("all failures of call {call} with {errno} have been");
                        }
                    }
                    Trouble::Hold(lasts) => {
                        if last {
                            eprintln!("all holds of call {call} have been");
                        }
                        std::thread::sleep(lasts);
                    }
                }
            }
            libc::ioctl(listener, SEND, &response);
        }
    }
}
