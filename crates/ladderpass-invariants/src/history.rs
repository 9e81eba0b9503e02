//! A history: what clients, members and discovery observed, as events in order of time.

use ladderpass_routing::{Span, Time};

/// An RPC of the history.
pub type RpcId = u64;
/// A member, by its place in the endpoint list.
pub type MemberIndex = u32;

/// The final answer of an RPC, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result of the statement.
    Ok,
    /// It did not run.
    Rejected,
    /// It may have run: its effect is unknown.
    Failed,
}

impl Answer {
    /// Its name in reports, which does not change with the names here.
    pub fn report_word(self) -> &'static str {
        match self {
            Answer::Ok => "Ok",
            Answer::Rejected => "PushedBack",
            Answer::Failed => "Aborted",
        }
    }
}

/// What was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventKind {
    /// A client's statement was received completely.
    Accepted {
        /// The RPC that begins.
        rpc: RpcId,
        /// When its client gives up.
        deadline: Time,
        /// Its effect must not happen twice.
        run_once: bool,
        /// A replica's data must not be older than this when an attempt is sent there.
        max_staleness: Option<Span>,
    },
    /// A client was answered.
    Answered {
        /// The RPC that ends.
        rpc: RpcId,
        /// What the client received.
        answer: Answer,
        /// The RPC for which the value was made, where the value shows it.
        made_for: Option<RpcId>,
    },
    /// The client disconnected: no answer is due any more.
    ClientLeft {
        /// Its RPC.
        rpc: RpcId,
    },
    /// The last byte of an attempt has reached the member's machine, or the fault injection in front of it.
    AttemptSent {
        /// The RPC that is attempted.
        rpc: RpcId,
        /// Where it was sent.
        member: MemberIndex,
    },
    /// That attempt has ended, as its connection shows: answered, rejected, or connection lost.
    AttemptEnded {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// Where it was sent.
        member: MemberIndex,
    },
    /// A member rejected an attempt before running it.
    Rejected {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// Who rejected it.
        member: MemberIndex,
    },
    /// A member began to run an attempt: it has its effect.
    Executed {
        /// The RPC that runs.
        rpc: RpcId,
        /// Where it runs.
        member: MemberIndex,
    },
    /// Discovery published that a member is draining.
    Draining {
        /// The member that accepts nothing new.
        member: MemberIndex,
    },
    /// Discovery published that a member serves again.
    Serving {
        /// The member that accepts RPCs.
        member: MemberIndex,
    },
    /// A member started and needs a slow start.
    Started {
        /// The member that warms up.
        member: MemberIndex,
        /// RPCs a second once it is warm.
        capacity: f64,
        /// Fraction of `capacity` that it has at its start.
        initial_fraction: f64,
        /// How long it takes to warm up.
        warm_up_time: Span,
        /// The window in which too many RPCs overload it.
        overload_window: Span,
    },
    /// A member has applied its log up to a position.
    PositionReached {
        /// The member whose position it is.
        member: MemberIndex,
        /// All that was committed up to then is applied.
        position: Time,
    },
    /// A member became or ceased to be the primary of its group, whose data is always current.
    Primary {
        /// The member whose role it is.
        member: MemberIndex,
        /// Whether it is the primary from now on.
        primary: bool,
    },
}

/// One observation of a history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it was observed, as Unix time.
    pub at: Time,
    /// What was observed.
    pub kind: EventKind,
}
