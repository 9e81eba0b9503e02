//! Resource limits and timeouts of a router on sockets: sizes in bytes, counts, and durations.
//!
//! The limits are computed from the machine's resources and the settings whenever the configuration is read, at the
//! start and at SIGHUP. Values that decide where or when an RPC is sent are in `ladderpass-routing`.

use ladderpass_config::DeploymentSettings;
use ladderpass_routing::Span;
use std::time::Duration;

/// The resource limits and timeouts of one router.
#[derive(Clone, Debug)]
pub struct Limits {
    // Memory of buffers, in bytes.
    /// The size at which a connection's buffer is first allocated. An input buffer then grows up to
    /// `client_buffer_bytes`, `member_buffer_bytes` or `discovery_buffer_bytes`.
    pub buffer_initial_bytes: usize,
    /// The maximum size of a client's input buffer, which has space for statements that the client sent before it had
    /// the answers to earlier statements.
    pub client_buffer_bytes: usize,
    /// The maximum size of the input buffer of a connection to a member, which has space for one answer.
    pub member_buffer_bytes: usize,
    /// The maximum size of the input buffer of the watch of discovery.
    pub discovery_buffer_bytes: usize,
    /// The maximum size of a JSON object that discovery may send. The largest object is the complete endpoint list.
    pub discovery_line_bytes: usize,
    /// The maximum size of the first message of a client.
    pub startup_message_bytes: usize,
    /// The maximum size of a statement, including the type and the length of its message. A longer statement is
    /// rejected as soon as the header of its message has arrived.
    pub statement_bytes: usize,
    /// The total memory of all buffers above which clients' input buffers don't grow. This limit is lower than
    /// `pause_members_at_buffer_bytes`, so that statements wait before answers do.
    pub pause_clients_at_buffer_bytes: usize,
    /// The total memory of all buffers above which no input buffer grows.
    pub pause_members_at_buffer_bytes: usize,
    /// How long the rest of a statement may wait for buffer memory before the statement is rejected.
    pub memory_wait_timeout: Span,

    // Connections.
    /// The maximum number of connections of clients and members together. Connections to members may use the part that
    /// clients do not use.
    pub connections: usize,
    /// The maximum number of clients that are served. If there are more clients, up to `clients_accepted`, the statements
    /// of a new client are rejected until there are fewer.
    pub clients: usize,
    /// The maximum number of connected clients. At this number no further client is accepted.
    pub clients_accepted: usize,
    /// The number of clients above which the router evicts clients, because other clients and members may need the
    /// descriptors. It then closes the clients whose input it has awaited for the time in `eviction_ages`.
    pub clients_before_eviction: usize,
    /// How long the router waits for a client's startup message, for the rest of a statement, and for the next
    /// statement (in this order) before the client may be evicted.
    pub eviction_ages: [Span; 3],
    /// How many connections beyond `connections` are allowed while evicted clients are being closed. The close of an
    /// evicted client takes one more iteration of the event loop.
    pub evicting_clients: usize,
    /// The maximum number of other connections that are closed to free a descriptor for one connect that failed for
    /// lack of resources. If the system lacks something other than descriptors, closing more connections would not
    /// help.
    pub evictions_per_denial: u8,
    /// The pause before the connect to discovery is retried, if the connect failed for lack of resources and no other
    /// connection could be closed to free a descriptor. This is also the longest time for which the listener is
    /// suspended after an accept failed for lack of resources.
    pub denied_connect_backoff: Span,
    /// The idle time after which a client's connection is closed, however few clients there are.
    pub client_idle_timeout: Span,
    /// The idle time after which a client's connection is closed if the client was rejected because there are too many
    /// clients, or has made its last error. Statements that the client sent without waiting for the answer arrive within
    /// this time.
    pub rejected_client_idle_timeout: Span,
    /// The number of errors in a row that a client may make in its statements. The connection is closed behind the next
    /// error.
    pub client_errors: u32,
    /// The pause before the router continues to read from a client after the client's first error. The pause doubles
    /// with each further error in a row.
    pub client_error_backoff: Span,
    /// The maximum number of clients' connections that the kernel queues until the router accepts them.
    pub backlog: i32,

    // RPCs.
    /// The maximum number of RPCs in flight.
    pub rpcs_in_flight: usize,
    /// The maximum number of ids of RPCs, in flight or ended, that are remembered to recognize a second copy of an RPC
    /// from a client.
    pub remembered_ids: usize,
    /// How long the id of an RPC is remembered after the RPC's deadline.
    pub remembered_id_ttl: Span,
    /// The longest time from the end of an RPC to its deadline that counts for how long the RPC's id is remembered.
    pub remembered_id_wait: Span,
    /// The time before an RPC's deadline that the router reserves for itself, to write the answer in time.
    pub answer_margin: Span,

    // Calls to members.
    /// How long a connection to a member may take to be established, including the member's startup.
    pub connect_timeout: Span,
    /// How long a health check of a member may take.
    pub health_check_timeout: Span,
    /// The idle time after which a pooled connection to a member is closed. This time is shorter than the member's own
    /// idle timeout: otherwise the member could close the connection just as a statement is sent on it.
    pub member_idle_timeout: Span,
    /// How long an attempt may wait to be sent before its routing decision is checked again. This is also the longest
    /// time that writing a statement to a member's socket may take if the member's data must have reached a position.
    pub max_decision_age: Span,
    /// How long a statement may take to be written to a member's socket if the member's data need not have reached a
    /// position. This time is limited because the statement states the remaining time of the RPC.
    pub write_timeout: Span,
    /// How long a member's answer may take from its first byte to its end, and how long the member may then take to
    /// answer the sync query (the empty query behind each query).
    pub partial_answer_timeout: Span,

    // Slow clients.
    /// How long a client may take to send its first message, and to send the rest of a message that has begun.
    pub message_timeout: Span,
    /// How long a client may take to read an answer before its connection is closed.
    pub unread_answer_timeout: Span,
    /// After a client has filled its input buffer, the client's socket must stay empty for this long before everything
    /// that the client had sent counts as read. This time is longer than a round trip, because the client's kernel may
    /// have held back the rest until the receive window opened.
    pub refill_quiet_time: Span,

    // The watch of discovery.
    /// The longest time between two bytes from discovery until the first list of a watch is complete. The first list
    /// may take no longer than `watch_silence_timeout` in total.
    pub watch_answer_timeout: Span,
    /// How long after its request a watch without an answer may stay open, in parallel with the next watch. An
    /// overloaded discovery answers or rejects a request within 2 s.
    pub late_watch_timeout: Span,
    /// How long discovery may be silent on a watch before the watch counts as failed. In the protocol, discovery sends
    /// an empty line every 2 s. After a watch has failed, the rest of the 6 s of `notified_within` leaves time for two
    /// further requests.
    pub watch_silence_timeout: Span,
    /// The time after a change of the endpoint list from which on the protocol expects a router to know of the change.
    pub notified_within: Span,
    /// The time after a move of discovery to another address from which on the protocol expects a router to know what
    /// discovery has there.
    pub notified_after_move: Span,

    // The event loop.
    /// How many clients are accepted per event of the listener, so that clients that are already connected are not
    /// delayed.
    pub accepts_per_event: usize,
    /// How many reads are made from one connection per event, so that the other connections are not delayed.
    pub reads_per_event: usize,
    /// How many ready sockets are handled in one iteration of the event loop, before the reducer's next tick.
    pub sockets_per_iteration: usize,
    /// How many messages of one client are handled per iteration of the event loop, so that the other clients are not
    /// delayed.
    pub statements_per_iteration: usize,
    /// The longest time that the event loop waits, so that a stall of the process is noticed.
    pub max_poll_wait: Duration,
    /// How late the event loop must wake from its wait for the delay to count as a stall of the process.
    pub stall_threshold: Duration,
    /// The maximum age of the last poll of the sockets. If the last poll is older, the sockets are polled again before
    /// any deadline is checked.
    pub max_poll_age: Duration,
    /// The pause before a system call that failed temporarily is made again.
    pub failed_call_backoff: Duration,
    /// How long the event loop's own system calls may fail before the process ends.
    pub event_loop_failure_timeout: Duration,
    /// The time between two log lines with the router's statistics.
    pub stats_interval: Span,

    // Start, reload and stop.
    /// If the router's start fails with a temporary error, the start is retried after this pause.
    pub start_retry_interval: Duration,
    /// How long a start of the router that fails temporarily is retried.
    pub start_retry_timeout: Duration,
    /// The retries of a configuration that could not be read at SIGHUP.
    pub reload_retry: ReloadRetry,
    /// How long connections and RPCs are accepted after a shutdown has begun. SIGKILL may come 0.7 s after the longest
    /// deadline. The process ends once nothing is in flight.
    pub shutdown_accept_time: Span,
}

/// The retries of a configuration that could not be read at SIGHUP.
#[derive(Clone, Copy, Debug)]
pub struct ReloadRetry {
    /// The pause between two retries to read the configuration.
    pub interval: Duration,
    /// How long the retries continue. The protocol expects a router to know of a new configuration 4 s after the
    /// change.
    pub timeout: Duration,
}

/// The maximum size in bytes of a value in the protocol.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// The number of bytes that a statement or an answer may have in addition to the value that it contains.
const OVERHEAD_BYTES: usize = 8 << 10;
/// The maximum size in bytes of a statement or an answer. A value in hex takes twice the value's size.
const MAX_STATEMENT_BYTES: usize = 2 * MAX_VALUE_BYTES + OVERHEAD_BYTES;
/// The space in bytes that an input buffer has in addition to complete messages, so that the beginning of the next
/// message fits.
const BUFFER_SLACK_BYTES: usize = 16 << 10;
/// The number of statements of maximum size that a client's input buffer has space for.
const STATEMENTS_AHEAD: usize = 4;
/// The descriptors reserved for the standard streams, the event loop, signals, the listener, discovery, and those that
/// the runtime opens.
const RESERVED_DESCRIPTORS: usize = 32;
const MIN_CONNECTIONS: usize = 8;
/// The share of the member's own idle timeout after which a pooled connection is closed.
const MEMBER_IDLE_SHARE: f64 = 0.8;

/// The default limits, for those that neither the machine's resources nor the settings determine.
const DEFAULTS: Limits = Limits {
    buffer_initial_bytes: 4 << 10,
    client_buffer_bytes: STATEMENTS_AHEAD * MAX_STATEMENT_BYTES + BUFFER_SLACK_BYTES,
    member_buffer_bytes: MAX_STATEMENT_BYTES + BUFFER_SLACK_BYTES,
    discovery_buffer_bytes: 64 << 10,
    discovery_line_bytes: 8 << 20,
    startup_message_bytes: 10_000,
    statement_bytes: MAX_STATEMENT_BYTES,
    pause_clients_at_buffer_bytes: usize::MAX,
    pause_members_at_buffer_bytes: usize::MAX,
    memory_wait_timeout: Span::from_millis(100),
    connections: usize::MAX,
    clients: usize::MAX,
    clients_accepted: usize::MAX,
    clients_before_eviction: usize::MAX,
    eviction_ages: [Span::from_millis(50), Span::from_millis(250), Span::from_millis(100)],
    evicting_clients: 8,
    evictions_per_denial: 8,
    denied_connect_backoff: Span::from_millis(100),
    client_idle_timeout: Span::from_millis(2100),
    rejected_client_idle_timeout: Span::from_millis(50),
    client_errors: 3,
    client_error_backoff: Span::from_millis(100),
    backlog: 1024,
    rpcs_in_flight: usize::MAX,
    remembered_ids: 1 << 16,
    remembered_id_ttl: Span::from_millis(5000),
    remembered_id_wait: Span::from_millis(60_000),
    answer_margin: Span::from_millis(4),
    connect_timeout: Span::from_millis(1000),
    health_check_timeout: Span::from_millis(1000),
    member_idle_timeout: Span::from_millis(10_000),
    max_decision_age: Span::ZERO,
    write_timeout: Span::from_millis(100),
    partial_answer_timeout: Span::from_millis(250),
    message_timeout: Span::from_millis(2000),
    unread_answer_timeout: Span::from_millis(10_000),
    refill_quiet_time: Span::from_millis(20),
    watch_answer_timeout: Span::from_millis(1500),
    late_watch_timeout: Span::from_millis(2200),
    watch_silence_timeout: Span::from_millis(3000),
    notified_within: Span::from_millis(6000),
    notified_after_move: Span::from_millis(4000),
    accepts_per_event: 64,
    reads_per_event: 8,
    sockets_per_iteration: 256,
    statements_per_iteration: 32,
    max_poll_wait: Duration::from_millis(50),
    stall_threshold: Duration::from_millis(100),
    max_poll_age: Duration::from_millis(10),
    failed_call_backoff: Duration::from_millis(1),
    event_loop_failure_timeout: Duration::from_secs(10),
    stats_interval: Span::from_millis(10_000),
    start_retry_interval: Duration::from_millis(20),
    start_retry_timeout: Duration::from_secs(5),
    reload_retry: ReloadRetry { interval: Duration::from_millis(100), timeout: Duration::from_secs(4) },
    shutdown_accept_time: Span::from_millis(600),
};

impl Limits {
    /// Returns the limits of a router that may use `memory_mb` MiB of memory and open `descriptors` descriptors.
    pub fn of(memory_mb: u64, descriptors: usize, settings: &DeploymentSettings) -> Limits {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
        let rpcs_in_flight = settings.max_in_flight.and_then(|max| usize::try_from(max).ok());
        let member_idle_timeout = settings.idle_timeout.map(|idle| idle * MEMBER_IDLE_SHARE);
        Limits {
            pause_clients_at_buffer_bytes: memory / 4,
            pause_members_at_buffer_bytes: memory / 3,
            connections,
            clients: connections * 11 / 16,
            clients_accepted: connections * 3 / 4,
            clients_before_eviction: descriptors / 4,
            rpcs_in_flight: rpcs_in_flight.unwrap_or(DEFAULTS.rpcs_in_flight),
            connect_timeout: settings.connect_timeout.unwrap_or(DEFAULTS.connect_timeout),
            health_check_timeout: settings.connect_timeout.unwrap_or(DEFAULTS.health_check_timeout),
            member_idle_timeout: member_idle_timeout.unwrap_or(DEFAULTS.member_idle_timeout),
            max_decision_age: settings.deployment.tick,
            ..DEFAULTS
        }
    }
}
