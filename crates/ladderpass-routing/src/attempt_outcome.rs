//! The outcomes of attempts and health checks, and which of them prove that an RPC never ran.

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The member answered without an error.
    Ok,
    /// The member answered with an error. The RPC may have had an effect.
    Failed,
    /// The member rejected the RPC without effect, because the member is at its limit or draining. This is also the
    /// outcome of an attempt that the front withdrew before the send because the member began to drain.
    Rejected,
    /// The member did not answer in time. The RPC may have had an effect.
    TimedOut,
    /// The RPC never ran. No connection was established in time, or the connection broke or took no more bytes before
    /// the whole query was written.
    Unreachable,
    /// The connection broke or brought a malformed answer after the query was written. The RPC may have had an effect.
    ConnectionLost,
    /// The attempt was abandoned because the client has left or has cancelled the RPC. The RPC counts as one that may
    /// have run.
    Cancelled,
    /// The attempt was never sent: the front had no connection for it, no time was left, the front can no longer see
    /// whether the client is connected, or the statement can't be read. The outcome says nothing about the member.
    NeverSent,
    /// The member rejected the RPC without effect, because it is not the primary or is too far behind.
    NotServedHere,
    /// The attempt was never sent, because its connection was established only after the decision to send the attempt
    /// had expired. The outcome says nothing about the member, and the attempt does not count against the maximum
    /// number of attempts.
    DecisionExpired,
}

impl AttemptOutcome {
    /// The number of outcomes.
    pub const COUNT: usize = AttemptOutcome::DecisionExpired as usize + 1;

    /// All outcomes, in the order of their discriminants.
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

    /// Returns whether the outcome proves that the RPC never ran.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::{DecisionExpired, NeverSent, NotServedHere, Rejected, Unreachable};
        matches!(self, NeverSent | Unreachable | Rejected | NotServedHere | DecisionExpired)
    }
}
