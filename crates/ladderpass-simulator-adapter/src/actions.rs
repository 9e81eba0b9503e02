//! Action lines to the simulator: the terms of the field, mapped here and nowhere else onto its words.
//!
//! Durations are whole nanoseconds. The order of the fields is the order on the wire.

use serde::Serialize;

/// Where a gossip message goes: to all other routers.
const ALL_ROUTERS: i64 = -1;

/// An action line.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Action<'a> {
    /// Make an attempt of an RPC.
    #[serde(rename = "SUBMIT_TO")]
    Attempt {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
        /// Name of the member to send it to.
        #[serde(rename = "Node")]
        member: &'a str,
        /// When the attempt is to end; zero for no timeout of its own.
        #[serde(rename = "TryFor")]
        timeout: i64,
    },
    /// Reject an RPC because of overload.
    #[serde(rename = "NOT_NOW")]
    Reject {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
        /// When the client may retry.
        #[serde(rename = "ComeBack")]
        retry_after: i64,
    },
    /// Answer an RPC with an error.
    #[serde(rename = "FINISH_ERROR")]
    Fail {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Id of the RPC.
        #[serde(rename = "RequestId")]
        request_id: &'a str,
    },
    /// Make a health check.
    #[serde(rename = "TOUCH")]
    HealthCheck {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Name of the member to check.
        #[serde(rename = "Node")]
        member: &'a str,
    },
    /// Send a gossip message.
    #[serde(rename = "PUBLISH")]
    Gossip {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Number of the receiver.
        #[serde(rename = "Dest")]
        receiver: i64,
        /// Text of the message.
        #[serde(rename = "Payload")]
        payload: &'a str,
    },
    /// Poll the endpoint list.
    #[serde(rename = "OBSERVE")]
    PollEndpoints {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Always true: one more poll.
        #[serde(rename = "Enable")]
        enable: bool,
    },
    /// Log a message.
    #[serde(rename = "WRITE_LOG")]
    Log {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The message.
        #[serde(rename = "NoteText")]
        message: &'a str,
    },
    /// Set a timer.
    #[serde(rename = "NOTIFY_ME")]
    SetTimer {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// Time until it fires.
        #[serde(rename = "Delay")]
        delay: i64,
        /// Comes back with the event.
        #[serde(rename = "Handle")]
        handle: i64,
    },
    /// A router panicked, and is gone.
    #[serde(rename = "BROKEN")]
    RouterFailed {
        /// Name of the router.
        #[serde(rename = "Who")]
        router: &'a str,
        /// The panic's message.
        #[serde(rename = "NoteText")]
        message: &'a str,
    },
    /// All actions of the batch are out.
    #[serde(rename = "END")]
    EndOfBatch,
}

impl<'a> Action<'a> {
    /// Sends a gossip message to all other routers.
    pub fn gossip(router: &'a str, payload: &'a str) -> Action<'a> {
        Action::Gossip { router, receiver: ALL_ROUTERS, payload }
    }

    /// Appends the action's line.
    pub fn write(&self, lines: &mut String) {
        // Texts and numbers can always be written as JSON.
        lines.push_str(&serde_json::to_string(self).unwrap_or_default());
        lines.push('\n');
    }
}
