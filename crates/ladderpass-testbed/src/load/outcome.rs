//! What became of a load's RPCs: counts and utility by time slice and method, latencies, and one entry an RPC.

use hdrhistogram::Histogram;
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};
use serde::Serialize;

/// What became of one RPC, as its client saw it. A client's retry has an entry of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcRecord {
    /// Number of the RPC in this load, rising in the order of sending.
    pub number: u64,
    /// The router that it was sent to.
    pub router: usize,
    /// Index of its method in the scenario.
    pub method: usize,
    /// When it was sent.
    pub sent: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// How it was answered, if it was.
    pub answered: Option<RpcAnswer>,
    /// When its connection ended without an answer.
    pub lost: Option<Time>,
    /// That connection was refused: nobody listened.
    pub refused: bool,
}

/// The answer to an RPC, as its client got it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RpcAnswer {
    /// When it came.
    pub at: Time,
    /// What kind of answer it is.
    pub answer: Answer,
    /// Number of the RPC that the answer's value was made for, if there is a value that can be read.
    pub made_for: Option<u64>,
}

/// What became of a number of RPCs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// RPCs that were due.
    pub due: u64,
    /// Answered ok before their deadline.
    pub ok: u64,
    /// Answered ok within the soft deadline.
    pub good: u64,
    /// Rejected, and not retried.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Failed: their effect is unknown.
    pub aborted: u64,
    /// Answered after their deadline.
    pub late: u64,
    /// Sent and never answered.
    pub unanswered: u64,
    /// Never sent: no connection was free before their deadline.
    pub unsent: u64,
}

impl Counts {
    /// Adds other counts to these.
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
    /// Its start, in seconds from the start of the load.
    pub at_s: f64,
    /// By method.
    pub counts: Vec<Counts>,
    /// Utility of the answers within their soft deadline.
    pub utility: f64,
}

/// Length of a [`Slice`].
pub const SLICE: Span = Span::from_millis(100);

/// The result of a load.
pub struct Outcome {
    /// One after the other, without a gap, from the start of the load.
    pub slices: Vec<Slice>,
    /// Latencies of ok answers from due to answered, in microseconds, by method.
    pub ok_us: Vec<Histogram<u64>>,
    /// Latencies of rejections from due to answered, in microseconds.
    pub rejected_us: Histogram<u64>,
    /// Retry-After of rejections, in milliseconds.
    pub retry_after_ms: Histogram<u64>,
    /// What became of the RPCs of the flooding connections, which are not in `slices`.
    pub flood: Counts,
    /// Protocol errors of the router: answers without an RPC, values of another RPC, malformed rows.
    pub faults: Vec<String>,
    /// When the first RPC could be due.
    pub began: Time,
    /// For how long RPCs were due.
    pub duration: Span,
    /// The longest time from when an RPC was due to when it was sent.
    pub max_send_delay: Span,
    /// One entry an RPC, in the order of sending, if the plan asks for it.
    pub journal: Vec<RpcRecord>,
}

impl Outcome {
    /// Counts of the whole load.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// Counts of one method.
    pub fn of(&self, method: usize) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().filter_map(|slice| slice.counts.get(method)).for_each(|counts| total.add(counts));
        total
    }

    /// Slices that start in `from..to`, in seconds from the start of the load.
    pub fn within(&self, from: f64, to: f64) -> impl Iterator<Item = &Slice> {
        self.slices.iter().filter(move |slice| slice.at_s >= from - 1e-9 && slice.at_s < to - 1e-9)
    }

    /// Utility a second over the slices that start in `from..to`, in seconds from the start of the load.
    pub fn utility_rate(&self, from: f64, to: f64) -> f64 {
        self.within(from, to).map(|slice| slice.utility).sum::<f64>() / (to - from).max(1e-9)
    }
}

/// A histogram for times in microseconds or milliseconds: 1 to 120 million, to three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("these bounds are allowed")
}
