//! What a simulation measures: messages and statements by router, and CPU time by the subject of events.

use ladderpass_routing::Span;
use nix::time::{ClockId, clock_gettime};

/// Datagrams or messages that were sent, with their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// How many there were.
    pub datagrams: u64,
    /// Bytes of all of them.
    pub bytes: u64,
}

impl Flow {
    pub(super) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// What one router sent, received and answered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Gossip about members that it sent.
    pub gossip: Flow,
    /// Messages of the membership protocol that it sent.
    pub membership: Flow,
    /// Datagrams that it received.
    pub received: u64,
    /// Datagrams to it that were lost, or came while it was not running.
    pub lost: u64,
    /// Health checks that it sent to members.
    pub health_checks: u64,
    /// Statements of its clients.
    pub statements: u64,
    /// Statements that it answered without an error.
    pub answered: u64,
    /// Statements that it answered with an error.
    pub errors: u64,
    /// Statements for which no client connection was free.
    pub unsent: u64,
    /// Connections that it opened.
    pub connections_opened: u64,
    /// Watches of the endpoint list that it opened, which are connections too.
    pub watches_opened: u64,
    /// Bytes of complete endpoint lists that it received.
    pub list_bytes: u64,
    /// Ticks of its event loop.
    pub ticks: u64,
}

/// The subject of an event, by which CPU time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Gossip about members.
    Gossip,
    /// The membership protocol.
    Membership,
    /// Connections of clients and members.
    Connections,
    /// The endpoint list.
    EndpointList,
    /// A tick after datagrams alone, or by a timer.
    IdleTick,
    /// A tick after data.
    DataTick,
}

const SUBJECTS: usize = 6;
const CLOCK_SAMPLES: i64 = 10_000;

/// Events of the observed routers and their CPU time, by subject.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// How many events there were.
    pub events: [u64; SUBJECTS],
    /// Their CPU time in nanoseconds.
    pub nanos: [u64; SUBJECTS],
}

impl Cost {
    /// Mean CPU time of an event, in seconds.
    pub fn mean_seconds(&self, subject: Subject) -> f64 {
        self.nanos[subject as usize] as f64 / 1e9 / self.events[subject as usize].max(1) as f64
    }

    pub(super) fn add_event(&mut self, subject: Subject, nanos: i64) {
        self.events[subject as usize] += 1;
        self.nanos[subject as usize] += nanos.max(0) as u64;
    }
}

/// CPU time of this thread.
pub fn thread_cpu_time() -> Span {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("every thread has that clock");
    Span::from_nanos(time.tv_sec() * 1_000_000_000 + time.tv_nsec())
}

/// CPU time that reading that clock takes, in nanoseconds, so that it can be subtracted.
pub(super) fn clock_overhead_ns() -> i64 {
    let began = thread_cpu_time();
    for _ in 0..CLOCK_SAMPLES {
        std::hint::black_box(thread_cpu_time());
    }
    (thread_cpu_time() - began).nanos() / CLOCK_SAMPLES
}
