//! How long statements wait for this router, computed at the end of each iteration of the event loop. The delay is the
//! greater of the wait that is predicted for the statements in the queue and a share of the measured mean wait.
//!
//! The prediction reacts first: the measured wait shows a long queue only after statements have waited through it.

use ladderpass_routing::{Span, Time};

/// Initial value of the mean length of a statement, in bytes.
const INITIAL_STATEMENT_BYTES: f64 = 128.0;
/// Weight of one statement in the moving average of the statements' length.
const MEAN_LENGTH_WEIGHT: f64 = 0.01;
/// The measured mean wait of statements is multiplied by this factor before it is compared with the predicted wait.
const MEASURED_WAIT_WEIGHT: f64 = 0.5;

/// The current mean costs, in seconds, of serving an RPC and of rejecting one, and the share of RPCs that are rejected.
pub(crate) struct MeanCosts {
    pub serve_secs: f64,
    pub reject_secs: f64,
    pub rejected_share: f64,
}

/// The waits of statements measured in the current iteration of the event loop, and the queueing delay computed at the
/// end of the previous iteration.
#[derive(Clone, Debug)]
pub(crate) struct QueueingDelay {
    /// How many statements were handled in the current iteration of the event loop.
    statements: f64,
    /// The sum of the waits of the statements handled in the current iteration of the event loop.
    total_wait: Span,
    mean_statement_bytes: f64,
    /// When the process last resumed from a stall. Waiting time before that moment is not counted, since this router's
    /// work did not cause it.
    resumed_at: Time,
    current: Span,
    /// The longest wait of a statement since the last call of `take_longest`.
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

    /// Records that a statement of this length is being handled, and that the statement waited for this router for
    /// `waited` before.
    pub fn record_statement(&mut self, now: Time, waited: Span, length_bytes: usize) {
        let waited = waited.min((now - self.resumed_at).max(Span::ZERO));
        self.longest = self.longest.max(waited);
        self.total_wait += waited;
        self.statements += 1.0;
        self.mean_statement_bytes += (length_bytes as f64 - self.mean_statement_bytes) * MEAN_LENGTH_WEIGHT;
    }

    /// Records that the process did not run for a while and has resumed now.
    pub fn record_stall(&mut self, now: Time) {
        self.resumed_at = now;
    }

    /// Ends an iteration of the event loop, and computes the queueing delay from the sockets and the bytes of
    /// statements that are left waiting.
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

    /// The queueing delay of statements as of the end of the last iteration of the event loop.
    pub fn current(&self) -> Span {
        self.current
    }

    /// Returns the longest wait of a statement since the last call of this function, and clears the wait.
    pub fn take_longest(&mut self) -> Span {
        std::mem::take(&mut self.longest)
    }
}
