//! A history: the observations of clients, members and discovery, as events in order of time.

use ladderpass_routing::{Span, Time};

/// Number that identifies an RPC in the history.
pub type RpcId = u64;
/// Index of a member in the endpoint list.
pub type MemberIndex = u32;

/// The final answer to an RPC, as the RPC's client received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The client received the result of the statement.
    Ok,
    /// The client received an error that says that the RPC did not run.
    Rejected,
    /// The client received an error after which the RPC may have run, so its effect is unknown.
    Failed,
}

impl Answer {
    /// Returns the name of the answer in reports, which stays the same when a variant is renamed.
    pub fn report_word(self) -> &'static str {
        match self {
            Answer::Ok => "Ok",
            Answer::Rejected => "PushedBack",
            Answer::Failed => "Aborted",
        }
    }
}

/// What can be observed, with the details of each observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventKind {
    /// A client's statement was completely received.
    Accepted {
        /// The RPC that begins with this statement.
        rpc: RpcId,
        /// When the client stops waiting for an answer.
        deadline: Time,
        /// Whether the RPC must not take effect twice.
        run_once: bool,
        /// Maximum age of a replica's data when an attempt is sent to that replica.
        max_staleness: Option<Span>,
    },
    /// A client received an answer.
    Answered {
        /// The RPC that ends with this answer.
        rpc: RpcId,
        /// The answer that the client received.
        answer: Answer,
        /// The RPC for which the value in the answer was made, if the value shows for which RPC it is.
        made_for: Option<RpcId>,
    },
    /// The client disconnected, so it needs no answer any more.
    ClientLeft {
        /// The RPC of that client.
        rpc: RpcId,
    },
    /// The last byte of an attempt reached the member's machine, or the fault injection in front of the member.
    AttemptSent {
        /// The RPC that is attempted.
        rpc: RpcId,
        /// The member to which the attempt was sent.
        member: MemberIndex,
    },
    /// The attempt in flight of an RPC ended, as its connection shows: it was answered or rejected, or the connection
    /// was lost.
    AttemptEnded {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// The member to which the attempt was sent.
        member: MemberIndex,
    },
    /// A member rejected an attempt before running it.
    Rejected {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// The member that rejected the attempt.
        member: MemberIndex,
    },
    /// A member began to run an attempt, which counts as the effect of the RPC.
    Executed {
        /// The RPC that runs.
        rpc: RpcId,
        /// The member that runs the attempt.
        member: MemberIndex,
    },
    /// Discovery published that a member is draining.
    Draining {
        /// The draining member, which accepts no new attempts.
        member: MemberIndex,
    },
    /// Discovery published that a member serves again.
    Serving {
        /// The member that accepts attempts again.
        member: MemberIndex,
    },
    /// A member started and needs a slow start.
    Started {
        /// The member in slow start.
        member: MemberIndex,
        /// Capacity of the member after its slow start, in RPCs per second.
        capacity: f64,
        /// Fraction of `capacity` that the member has at its start.
        initial_fraction: f64,
        /// Duration of the member's slow start.
        warm_up_time: Span,
        /// Length of the window in which too many RPCs overload the member.
        overload_window: Span,
    },
    /// A member reported the position up to which it has applied its replication log.
    PositionReached {
        /// The member that reported its position.
        member: MemberIndex,
        /// The position, as a time of commit. The member has applied all commits up to this time.
        position: Time,
    },
    /// A member became or ceased to be the primary of its group. The data of a primary is always current.
    Primary {
        /// The member whose role changed.
        member: MemberIndex,
        /// Whether the member is the primary from this time on.
        primary: bool,
    },
}

/// One observation of a history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When the observation was made, as Unix time.
    pub at: Time,
    /// What was observed.
    pub kind: EventKind,
}
