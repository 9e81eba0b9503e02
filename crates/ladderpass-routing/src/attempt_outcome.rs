//! How attempts and health checks end, and whether an RPC may have run then.

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered.
    Ok,
    /// Answered with an error; it may have had an effect.
    Failed,
    /// Rejected without effect: the member is at its limit, or draining. Also an attempt that the front withdrew unsent
    /// because its member began to drain.
    Rejected,
    /// Not answered in time; it may have had an effect.
    TimedOut,
    /// It never ran: no connection was established in time, or it broke, or took no more bytes, before all of the query
    /// was written.
    Unreachable,
    /// The connection broke, or brought a malformed answer, after the query was written; it may have had an effect.
    ConnectionLost,
    /// Abandoned: its client has gone or cancelled it. It counts as one that may have run.
    Cancelled,
    /// The front had no connection for it, or no time was left, or its client can't be seen any more, or its statement
    /// can't be read. It is no sign about the member.
    NeverSent,
    /// Rejected without effect: the member is not the primary, or too far behind.
    NotServedHere,
    /// Never sent: its connection was up too late for the decision to hold. It is no sign about the member, and counts
    /// as no attempt.
    DecisionExpired,
}

impl AttemptOutcome {
    /// How many outcomes there are.
    pub const COUNT: usize = AttemptOutcome::DecisionExpired as usize + 1;

    /// All outcomes, in the order of their numbers.
    pub const ALL: [AttemptOutcome; AttemptOutcome::COUNT] = [
        AttemptOutcome::Ok,
        AttemptOutcome::Failed,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Unreachable,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NeverSent,
        AttemptOutcome::NotServedHere,
        AttemptOutcome::DecisionExpired,
    ];

    /// Does it prove that the RPC never ran?
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::{DecisionExpired, NeverSent, NotServedHere, Rejected, Unreachable};
        matches!(self, NeverSent | Unreachable | Rejected | NotServedHere | DecisionExpired)
    }
}
