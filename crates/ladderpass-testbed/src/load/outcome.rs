//! Outcomes of a load's RPCs: counts and utility by time slice and method, latencies, and a journal with an entry per
//! RPC.

use hdrhistogram::Histogram;
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};
use serde::Serialize;

/// Outcome of one RPC, as its client observed it. Each retry by the client has a separate record.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcRecord {
    /// Number of the RPC in the load. Numbers increase in the order of sending.
    pub number: u64,
    /// Index of the router that the RPC was sent to.
    pub router: usize,
    /// Index of the RPC's method in the scenario.
    pub method: usize,
    /// When the RPC was sent.
    pub sent: Time,
    /// When the client gives up on the RPC.
    pub deadline: Time,
    /// The answer, if there was one.
    pub answered: Option<RpcAnswer>,
    /// When the connection ended without an answer to the RPC, if it did.
    pub lost: Option<Time>,
    /// How that connection ended, if it ended without an answer to the RPC.
    pub connection_end: Option<ConnectionEnd>,
    /// Whether the connection was refused because nothing listened at the router's address.
    pub refused: bool,
}

/// How a router ended a connection with an unanswered RPC, as the kernels of both sides show it.
///
/// If bytes arrive at a connection that a process has closed, or has left unread in it at the close, the kernel of the
/// process resets the connection. So a connection that ends without a reset ended after the process had read all bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The router's end of the stream, and no reset: the router had read all that its client had sent.
    Closed,
    /// The router's end of the stream, and then a reset: the RPC, the client's last one, arrived after the router had
    /// closed the connection.
    ClosedBeforeArrival,
    /// The router's end of the stream, and then a reset: a later RPC arrived after the router had closed the connection.
    /// Whether the router had read this RPC is not known.
    ClosedBeforeLaterArrival,
    /// A reset without an end of the stream: bytes of the client were unread when the router closed the connection.
    Reset,
}

/// The answer to an RPC, as its client received it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RpcAnswer {
    /// When the answer was received.
    pub at: Time,
    /// Kind of the answer.
    pub answer: Answer,
    /// Number of the RPC that the answer's value was made for, if the answer has a value from which that number can be
    /// read.
    pub made_for: Option<u64>,
}

/// Numbers of RPCs by outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// RPCs that were due.
    pub due: u64,
    /// RPCs that were answered ok by their deadline, with 50 ms of grace for the answer's transmission.
    pub ok: u64,
    /// RPCs that were answered ok by their soft deadline.
    pub good: u64,
    /// RPCs that were rejected and not retried.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// RPCs that were answered with another error than a rejection. Whether such an RPC had an effect is unknown.
    pub aborted: u64,
    /// RPCs that were answered more than 50 ms after their deadline, but before the load checked for expired RPCs.
    pub late: u64,
    /// RPCs that were sent and not answered when the load checked for expired RPCs, or when their connection ended.
    pub unanswered: u64,
    /// RPCs that were never sent, because no connection was free before their deadline or before the load ended.
    pub unsent: u64,
}

impl Counts {
    /// Adds other counts to these counts.
    pub fn add(&mut self, other: &Counts) {
        self.due += other.due;
        self.ok += other.ok;
        self.good += other.good;
        self.rejected += other.rejected;
        self.aborted += other.aborted;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
    }
}

/// The RPCs that were due within one [`SLICE`] of time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slice {
    /// Start of the slice, in seconds from the start of the load.
    pub at_s: f64,
    /// Counts of the slice's RPCs, by method.
    pub counts: Vec<Counts>,
    /// Total utility of the slice's RPCs that were answered within their soft deadline.
    pub utility: f64,
}

/// Length of a [`Slice`].
pub const SLICE: Span = Span::from_millis(100);

/// The result of a load.
pub struct Outcome {
    /// Consecutive time slices from the start of the load, without gaps.
    pub slices: Vec<Slice>,
    /// Latencies of ok answers, from when the RPC was due, in microseconds and by method.
    pub ok_us: Vec<Histogram<u64>>,
    /// Latencies of rejections, from when the RPC was due, in microseconds.
    pub rejected_us: Histogram<u64>,
    /// Retry-After values of rejections, in milliseconds.
    pub retry_after_ms: Histogram<u64>,
    /// Counts of the RPCs of flooding connections, which are not in `slices`.
    pub flood: Counts,
    /// Faults in the router's answers: answers without an RPC, values of another RPC, malformed rows.
    pub faults: Vec<String>,
    /// Start of the load, which is the earliest time at which an RPC can be due.
    pub began: Time,
    /// Time over which RPCs were due.
    pub duration: Span,
    /// Longest time from when an RPC was due until it was sent. For a client's retry, the time counts from when the
    /// first attempt was due.
    pub max_send_delay: Span,
    /// One record per RPC in the order of sending. The list is empty unless the plan's `journal` is set.
    pub journal: Vec<RpcRecord>,
}

impl Outcome {
    /// Returns the counts of the whole load.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// Returns the counts of one method.
    pub fn of(&self, method: usize) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().filter_map(|slice| slice.counts.get(method)).for_each(|counts| total.add(counts));
        total
    }

    /// Returns the slices that start in `from..to`, in seconds from the start of the load.
    pub fn within(&self, from: f64, to: f64) -> impl Iterator<Item = &Slice> {
        self.slices.iter().filter(move |slice| slice.at_s >= from - 1e-9 && slice.at_s < to - 1e-9)
    }

    /// Returns the utility per second over the slices that start in `from..to`, in seconds from the start of the
    /// load.
    pub fn utility_rate(&self, from: f64, to: f64) -> f64 {
        self.within(from, to).map(|slice| slice.utility).sum::<f64>() / (to - from).max(1e-9)
    }
}

/// Creates a histogram for times in microseconds or milliseconds, with values of 1 to 120 million and a precision of
/// three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("these bounds are allowed")
}
