//! Measurements of a simulation: messages and statements by router, and CPU time by the subject of events.

use ladderpass_routing::Span;
use nix::time::{ClockId, clock_gettime};

/// Number and bytes of datagrams or messages that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Number of datagrams or messages.
    pub datagrams: u64,
    /// Total size of the datagrams or messages, in bytes.
    pub bytes: u64,
}

impl Flow {
    pub(super) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Counts of one router: messages, connections, statements and ticks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Gossip about members that the router sent.
    pub gossip: Flow,
    /// Messages of the membership protocol that the router sent.
    pub membership: Flow,
    /// Datagrams that the router received.
    pub received: u64,
    /// Datagrams to the router that were lost, or arrived while it was not running.
    pub lost: u64,
    /// Health checks that the router sent to members.
    pub health_checks: u64,
    /// Statements that the router's clients sent.
    pub statements: u64,
    /// Statements that the router answered without an error.
    pub answered: u64,
    /// Statements that the router answered with an error.
    pub errors: u64,
    /// Statements that were not sent, because no client connection was free.
    pub unsent: u64,
    /// Connections that the router began to open to members and to discovery.
    pub connections_opened: u64,
    /// Connections that the router began to open to discovery, to watch the endpoint list. `connections_opened`
    /// includes these connections.
    pub watches_opened: u64,
    /// Bytes of the responses with a complete endpoint list that discovery sent to the router.
    pub list_bytes: u64,
    /// Ticks of the router's event loop.
    pub ticks: u64,
}

/// The subject of an event. CPU time is measured by subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An event of gossip about members.
    Gossip,
    /// An event of the membership protocol.
    Membership,
    /// An event of a client or member connection, or the opening or closing of a connection to discovery.
    Connections,
    /// An event that concerns the endpoint list.
    EndpointList,
    /// A tick due to a timer, or after events that are not of [`Subject::Connections`].
    IdleTick,
    /// A tick after events of [`Subject::Connections`].
    DataTick,
}

const SUBJECTS: usize = 6;
const CLOCK_SAMPLES: i64 = 10_000;

/// Events of the observed routers and their CPU time, by subject.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Number of events.
    pub events: [u64; SUBJECTS],
    /// CPU time of the events in nanoseconds.
    pub nanos: [u64; SUBJECTS],
}

impl Cost {
    /// Returns the mean CPU time of an event in seconds.
    pub fn mean_seconds(&self, subject: Subject) -> f64 {
        self.nanos[subject as usize] as f64 / 1e9 / self.events[subject as usize].max(1) as f64
    }

    pub(super) fn add_event(&mut self, subject: Subject, nanos: i64) {
        self.events[subject as usize] += 1;
        self.nanos[subject as usize] += nanos.max(0) as u64;
    }
}

/// Returns the CPU time that this thread has used.
pub fn thread_cpu_time() -> Span {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("every thread has a CPU clock");
    Span::from_nanos(time.tv_sec() * 1_000_000_000 + time.tv_nsec())
}

/// Returns the CPU time in nanoseconds of one reading of the CPU clock, to be subtracted from measured times.
pub(super) fn clock_overhead_ns() -> i64 {
    let began = thread_cpu_time();
    for _ in 0..CLOCK_SAMPLES {
        std::hint::black_box(thread_cpu_time());
    }
    (thread_cpu_time() - began).nanos() / CLOCK_SAMPLES
}
