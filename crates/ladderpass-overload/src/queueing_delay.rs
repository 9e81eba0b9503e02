//! How long statements wait for this router, once an iteration of the event loop: the greater of what is predicted for
//! those that wait now and a share of what was measured.
//!
//! The prediction leads: the measured wait tells of a queue only once it has grown as long.

use ladderpass_routing::{Span, Time};

/// Initial mean length of a statement, and how much each statement moves it.
const INITIAL_STATEMENT_BYTES: f64 = 128.0;
const MEAN_LENGTH_WEIGHT: f64 = 0.01;
/// Weight of the measured wait beside the predicted one.
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
    /// Statements of this iteration, and the sum of their waits.
    statements: f64,
    waited: Span,
    mean_statement_bytes: f64,
    /// When the process last resumed from a stall. Waits before are not this router's work.
    resumed: Time,
    current: Span,
    /// The longest wait since the last call of `take_longest`.
    longest: Span,
}

impl QueueingDelay {
    pub fn new() -> QueueingDelay {
        QueueingDelay {
            statements: 0.0,
            waited: Span::ZERO,
            mean_statement_bytes: INITIAL_STATEMENT_BYTES,
            resumed: Time::NEVER,
            current: Span::ZERO,
            longest: Span::ZERO,
        }
    }

    pub fn record_statement(&mut self, now: Time, waited: Span, length_bytes: usize) {
        let waited = waited.min((now - self.resumed).max(Span::ZERO));
        self.longest = self.longest.max(waited);
        self.waited += waited;
        self.statements += 1.0;
        self.mean_statement_bytes += (length_bytes as f64 - self.mean_statement_bytes) * MEAN_LENGTH_WEIGHT;
    }

    pub fn record_stall(&mut self, now: Time) {
        self.resumed = now;
    }

    /// Ends an iteration that leaves so many sockets and so many bytes of statements waiting.
    pub fn end_iteration(&mut self, waiting_sockets: usize, waiting_bytes: usize, costs: &MeanCosts) {
        let statements = waiting_sockets as f64 + waiting_bytes as f64 / self.mean_statement_bytes.max(1.0);
        let rejected = costs.rejected_share;
        let mean_secs = costs.serve_secs * (1.0 - rejected) + costs.reject_secs * rejected;
        let predicted = Span::from_secs_f64(statements * mean_secs);
        let mean_wait = self.waited * (1.0 / f64::max(self.statements, 1.0));
        self.waited = Span::ZERO;
        self.statements = 0.0;
        self.current = predicted.max(mean_wait * MEASURED_WAIT_WEIGHT);
    }

    pub fn current(&self) -> Span {
        self.current
    }

    pub fn take_longest(&mut self) -> Span {
        std::mem::take(&mut self.longest)
    }
}
