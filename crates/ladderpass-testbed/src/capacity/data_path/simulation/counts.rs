//! The counts of a simulation, and the CPU clock.

use nix::time::{ClockId, clock_gettime};

const CLOCK_SAMPLES: usize = 2000;

/// Counts of a simulation over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Length of the period in seconds.
    pub seconds: f64,
    /// Statements that clients sent.
    pub statements: f64,
    /// Statements that were answered with a row.
    pub served: f64,
    /// Statements that were answered with something else than a row, or whose connection was closed before the answer.
    pub failed: f64,
    /// Statements that were reads.
    pub reads: f64,
    /// Reads that reached a primary.
    pub reads_at_primary: f64,
    /// Statements whose client had to open a connection first.
    pub clients_reopened: f64,
    /// Idle clients whose connection the router closed.
    pub clients_closed: f64,
    /// Connections to members that were opened.
    pub member_connections_opened: f64,
    /// Health checks that reached members.
    pub health_checks: f64,
    /// Queries to members, including health checks and sync queries.
    pub queries: f64,
    /// Total size of the queries to members, in bytes.
    pub query_bytes: f64,
    /// Ticks of the event loop.
    pub ticks: f64,
    /// CPU seconds that ticks of the event loop used.
    pub tick_cpu_s: f64,
    /// CPU seconds that calls of the reducer other than ticks used.
    pub other_cpu_s: f64,
    /// Mean number of connections to members.
    pub member_connections: f64,
    /// The largest number of connections to one member at the same time.
    pub max_connections_of_member: f64,
    /// Mean number of open connections of clients.
    pub client_connections: f64,
    /// Sum of the latencies of statements, in seconds.
    pub total_latency_s: f64,
    /// The longest latency of a statement, in seconds.
    pub max_latency_s: f64,
}

/// Returns the CPU time of this thread in seconds, or 0 if the clock can't be read.
pub fn thread_cpu_s() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// Returns the time in seconds that reading the CPU clock adds to a measured time: the least of several samples.
pub(super) fn clock_overhead_s() -> f64 {
    let mut least = f64::INFINITY;
    for _ in 0..CLOCK_SAMPLES {
        let before = thread_cpu_s();
        least = least.min(thread_cpu_s() - before);
    }
    least
}
