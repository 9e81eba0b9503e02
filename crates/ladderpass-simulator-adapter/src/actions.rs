//! Action lines to the simulator. Only this module maps the names in the code to the simulator's names.
//!
//! Durations are in nanoseconds, as integers. The order of the fields is the order on the wire.

use serde::Serialize;

/// The number that stands for the receiver in a gossip message to all other routers.
const ALL_ROUTERS: i64 = -1;

/// An action line.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Action<'a> {
    /// Make an attempt of an RPC.
    #[serde(rename = "SUBMIT_TO")]
    Attempt {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
        /// The name of the member to which the attempt is sent.
        #[serde(rename = "Node")]
        member: &'a str,
        /// The time after which the simulator ends the attempt, in nanoseconds, or zero if the attempt has no timeout
        /// of its own.
        #[serde(rename = "TryFor")]
        timeout: i64,
    },
    /// Reject an RPC because of overload.
    #[serde(rename = "NOT_NOW")]
    Reject {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
        /// The time after which the client may send the rejected RPC again, in nanoseconds.
        #[serde(rename = "ComeBack")]
        retry_after: i64,
    },
    /// Answer an RPC with an error.
    #[serde(rename = "FINISH_ERROR")]
    Fail {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
    },
    /// Make a health check.
    #[serde(rename = "TOUCH")]
    HealthCheck {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The name of the member to check.
        #[serde(rename = "Node")]
        member: &'a str,
    },
    /// Send a gossip message.
    #[serde(rename = "PUBLISH")]
    Gossip {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The number of the receiving router, or [`ALL_ROUTERS`].
        #[serde(rename = "Dest")]
        receiver: i64,
        /// The text of the gossip message.
        #[serde(rename = "Payload")]
        payload: &'a str,
    },
    /// Poll the endpoint list.
    #[serde(rename = "OBSERVE")]
    PollEndpoints {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Always true, which requests one poll.
        #[serde(rename = "Enable")]
        enable: bool,
    },
    /// Log a message.
    #[serde(rename = "WRITE_LOG")]
    Log {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The text that is logged.
        #[serde(rename = "NoteText")]
        message: &'a str,
    },
    /// Set a timer.
    #[serde(rename = "NOTIFY_ME")]
    SetTimer {
        /// The name of the router that requests the action.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The time from this action until the timer fires, in nanoseconds.
        #[serde(rename = "Delay")]
        delay: i64,
        /// The handle of the timer. The event of the timer carries the same number.
        #[serde(rename = "Handle")]
        handle: i64,
    },
    /// Report that a router has panicked and no longer runs.
    #[serde(rename = "BROKEN")]
    RouterFailed {
        /// The name of the router that has panicked.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The message of the router's panic.
        #[serde(rename = "NoteText")]
        message: &'a str,
    },
    /// End the actions of a batch of events.
    #[serde(rename = "END")]
    EndOfBatch,
}

impl<'a> Action<'a> {
    /// Creates the action that sends a gossip message to all other routers.
    pub fn gossip(router: &'a str, payload: &'a str) -> Action<'a> {
        Action::Gossip { router, receiver: ALL_ROUTERS, payload }
    }

    /// Appends the action to `lines` as one line of JSON.
    pub fn write(&self, lines: &mut String) {
        // Serialization can't fail, because an action has only texts, numbers and booleans.
        lines.push_str(&serde_json::to_string(self).unwrap_or_default());
        lines.push('\n');
    }
}
