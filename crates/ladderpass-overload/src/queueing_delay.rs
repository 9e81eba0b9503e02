//! How long statements wait for this router, once an iteration of the event loop: the greater of what is predicted for
//! those that wait now and a share of what was measured.
//!
//! The prediction leads: the measured wait tells of a queue only once it has grown as long.

use ladderpass_routing::{Span, Time};

/// The mean length of a statement at the start.
const INITIAL_STATEMENT_BYTES: f64 = 128.0;
/// Weight of one statement in the mean length.
const MEAN_LENGTH_WEIGHT: f64 = 0.01;
/// Factor on the measured mean wait, where it is compared with the predicted one.
const MEASURED_WAIT_WEIGHT: f64 = 0.5;

/// What an RPC costs on average at present, in seconds, and the share of RPCs that are rejected.
pub(crate) struct MeanCosts {
    pub serve_secs: f64,
    pub reject_secs: f64,
    pub rejected_share: f64,
}

/// Waits of the current iteration and the delay of the one before.
#[derive(Clone, Debug)]
pub(crate) struct QueueingDelay {
    /// How many statements were handled in this iteration.
    statements: f64,
    /// The sum of their waits.
    total_wait: Span,
    mean_statement_bytes: f64,
    /// When the process last resumed from a stall. Waits before are not this router's work.
    resumed_at: Time,
    current: Span,
    /// The longest wait since the last call of `take_longest`.
    longest: Span,
}

impl QueueingDelay {
    pub fn new() -> QueueingDelay {
        QueueingDelay {
            statements: 0.0,
            total_wait: Span::ZERO,
            mean_statement_bytes: INITIAL_STATEMENT_BYTES,
            resumed_at: Time::NEVER,
            current: Span::ZERO,
            longest: Span::ZERO,
        }
    }

    /// A statement of this length is handled, after it has waited for this router.
    pub fn record_statement(&mut self, now: Time, waited: Span, length_bytes: usize) {
        let waited = waited.min((now - self.resumed_at).max(Span::ZERO));
        self.longest = self.longest.max(waited);
        self.total_wait += waited;
        self.statements += 1.0;
        self.mean_statement_bytes += (length_bytes as f64 - self.mean_statement_bytes) * MEAN_LENGTH_WEIGHT;
    }

    /// The process did not run until now.
    pub fn record_stall(&mut self, now: Time) {
        self.resumed_at = now;
    }

    /// Ends an iteration that leaves so many sockets and so many bytes of statements waiting.
    pub fn end_iteration(&mut self, waiting_sockets: usize, waiting_bytes: usize, costs: &MeanCosts) {
        let statements = waiting_sockets as f64 + waiting_bytes as f64 / self.mean_statement_bytes.max(1.0);
        let rejected = costs.rejected_share;
        let mean_secs = costs.serve_secs * (1.0 - rejected) + costs.reject_secs * rejected;
        let predicted = Span::from_secs_f64(statements * mean_secs);
        let mean_wait = self.total_wait * (1.0 / self.statements.max(1.0));
        self.total_wait = Span::ZERO;
        self.statements = 0.0;
        self.current = predicted.max(mean_wait * MEASURED_WAIT_WEIGHT);
    }

    /// The delay of the last iteration.
    pub fn current(&self) -> Span {
        self.current
    }

    /// The longest wait since the last call.
    pub fn take_longest(&mut self) -> Span {
        std::mem::take(&mut self.longest)
    }
}
