//! Resource limits and timeouts of a router on sockets: sizes in bytes, counts, and durations.
//!
//! They follow from the machine's allowance and the settings, are filled in once at the start, and are handed to the
//! modules that keep them. Values that decide where or when an RPC goes are in `ladderpass-routing`.

use ladderpass_config::DeploymentSettings;
use ladderpass_routing::Span;
use std::time::Duration;

/// All limits of one router.
#[derive(Clone, Debug)]
pub struct Limits {
    // Memory of buffers, in bytes.
    /// First size of a buffer, which grows up to its limit.
    pub buffer_initial_bytes: usize,
    /// Largest input buffer of a client: statements that it has sent ahead of the answers.
    pub client_buffer_bytes: usize,
    /// Largest input buffer of a member's connection: one answer.
    pub member_buffer_bytes: usize,
    /// Largest input buffer of the watch of discovery.
    pub discovery_buffer_bytes: usize,
    /// Longest line of discovery: the complete endpoint list.
    pub discovery_line_bytes: usize,
    /// Longest first message of a client.
    pub startup_message_bytes: usize,
    /// Longest statement with its frame; a longer one is rejected by its head.
    pub statement_bytes: usize,
    /// Memory of all buffers together, in bytes, above which those of clients don't grow. Less than
    /// `pause_members_at_buffer_bytes`, so that statements wait before answers do.
    pub pause_clients_at_buffer_bytes: usize,
    /// Memory of all buffers above which none grows.
    pub pause_members_at_buffer_bytes: usize,
    /// How long a statement waits for memory to be read into, before it is rejected.
    pub memory_wait_timeout: Span,

    // Connections.
    /// Connections of clients and members together; members have those that clients leave.
    pub connections: usize,
    /// Clients that are served. Above it, and up to `clients_accepted`, new ones are rejected at their first statement.
    pub clients: usize,
    /// Clients that are connected; above it none is accepted.
    pub clients_accepted: usize,
    /// Clients from which on those that have waited for `eviction_ages` are closed: other clients, and members, may need
    /// the descriptors.
    pub clients_before_eviction: usize,
    /// How long a client may be waited for under eviction: to open its connection, to end a statement, and to begin one.
    pub eviction_ages: [Span; 3],
    /// Connections beyond `connections` while evicted clients close, which takes one more event loop iteration.
    pub evicting_clients: usize,
    /// Evictions for one connection that there was no descriptor for. If something else is missing, each further one
    /// would close a client in vain.
    pub evictions_per_denial: u8,
    /// Pause after a connection that there was no descriptor for, and nothing to evict; also of the listener after an
    /// accept that failed.
    pub denied_connect_backoff: Span,
    /// Idle time after which a client is closed in any case.
    pub client_idle_timeout: Span,
    /// Errors of a client that are answered; the next one closes its connection.
    pub client_errors: u32,
    /// Pause before a client is read again after its first error; doubled with each further one.
    pub client_error_backoff: Span,
    /// Connections that the kernel accepts ahead of the router.
    pub backlog: i32,

    // RPCs.
    /// RPCs in flight.
    pub rpcs_in_flight: usize,
    /// Ids of RPCs, in flight or ended, that are remembered, by which a client's second copy of an RPC is recognized.
    pub remembered_ids: usize,
    /// How long past its deadline an RPC's id is remembered.
    pub remembered_id_ttl: Span,
    /// Part of an RPC's time that the router needs itself, to write the answer before the deadline.
    pub answer_margin: Span,

    // Calls to members.
    /// How long a connection to a member may take to open.
    pub connect_timeout: Span,
    /// How long a health check may take.
    pub health_check_timeout: Span,
    /// Idle time after which a pooled connection is closed; shorter than the member's own, which would cross a statement.
    pub member_idle_timeout: Span,
    /// How long a decision may wait to be sent where it depends on the time (bounded staleness, a session's write, or a
    /// further attempt within the window of its idempotency key); then it is made again.
    pub fresh_send_timeout: Span,
    /// How long any other statement may take to be written: it carries the time that is left.
    pub write_timeout: Span,
    /// How long the rest of an answer that has begun may take.
    pub partial_answer_timeout: Span,
    /// How far ahead of this router a replication position may be; clocks of members are never further ahead.
    pub max_clock_lead: Span,

    // Clients that are slow.
    /// How long a client may take for its first message, and for the rest of a message that has begun.
    pub message_timeout: Span,
    /// How long a client may take to read an answer.
    pub unread_answer_timeout: Span,
    /// How long the socket of a client that overran its buffer must be empty before it counts as read. Longer than a
    /// round trip: the client's kernel may have kept the rest back until there was room.
    pub refill_quiet_time: Span,

    // The watch of discovery.
    /// How long a watch may go without a byte until its first line is complete; in all it has `watch_silence_timeout`.
    pub watch_answer_timeout: Span,
    /// How long a watch without an answer is kept beside the next one. A busy discovery answers or rejects within 2 s.
    pub late_watch_timeout: Span,
    /// How long a watch may be silent before it has failed. The protocol has an empty line every 2 s, and leaves 6 s
    /// (`notified_within`) for two further calls.
    pub watch_silence_timeout: Span,
    /// Time after a change from which on a router counts as notified of it, by the protocol.
    pub notified_within: Span,

    // The event loop.
    /// Connections accepted in one go, so that clients that are connected get their turn.
    pub accepts_per_event: usize,
    /// Reads from one connection in one go, so that others get their turn.
    pub reads_per_event: usize,
    /// Sockets that are handled before the reducer's tick.
    pub sockets_per_iteration: usize,
    /// Statements of one connection that are handled before the others get their turn.
    pub statements_per_iteration: usize,
    /// How long the event loop waits at most, so that a stall of the process shows.
    pub max_poll_wait: Duration,
    /// How long past its wait the event loop may wake before that counts as a stall.
    pub stall_threshold: Duration,
    /// Sockets that were polled longer ago are polled again before a deadline counts.
    pub max_poll_age: Duration,
    /// Pause before a system call that failed for a moment is made again.
    pub failed_call_backoff: Duration,
    /// How long the event loop's own calls may fail before the process ends.
    pub event_loop_failure_timeout: Duration,
    /// How often statistics are logged.
    pub stats_interval: Span,

    // Start, reload and stop.
    /// Pause before a start opens again what it could not open for a moment.
    pub start_retry_interval: Duration,
    /// How long a start does so.
    pub start_retry_timeout: Duration,
    /// Retries of a configuration that could not be read at SIGHUP.
    pub reload_retry: ReloadRetry,
    /// Idle time after which a client is closed that awaited a statement when the stop began.
    pub shutdown_idle_time: Span,
    /// How long a stop accepts connections and RPCs. SIGKILL may come 0.7 s after the longest deadline; the process ends
    /// once nothing is in flight.
    pub shutdown_accept_time: Span,
}

/// Retries of a configuration that could not be read at SIGHUP.
#[derive(Clone, Copy, Debug)]
pub struct ReloadRetry {
    /// Pause between two retries.
    pub interval: Duration,
    /// How long they go on. By the protocol, a router counts as notified of a new configuration after 4 s.
    pub timeout: Duration,
}

/// Longest value of the protocol.
const VALUE_BYTES: usize = 64 << 10;
/// What a statement or an answer has beside its value.
const FRAME_BYTES: usize = 8 << 10;
/// In hex a value takes twice its size.
const STATEMENT_BYTES: usize = 2 * VALUE_BYTES + FRAME_BYTES;
/// What a buffer has beside complete statements, so that the head of the next one fits.
const BUFFER_SLACK_BYTES: usize = 16 << 10;
/// Statements that a client may send ahead.
const STATEMENTS_AHEAD: usize = 4;
/// Standard streams, event loop, signals, listener, discovery, and what the runtime opens.
const RESERVED_DESCRIPTORS: usize = 32;
const MIN_CONNECTIONS: usize = 8;
/// Share of the member's own idle timeout after which a pooled connection is closed.
const MEMBER_IDLE_SHARE: f64 = 0.8;

/// Limits for a machine and settings that set none.
const DEFAULTS: Limits = Limits {
    buffer_initial_bytes: 4 << 10,
    client_buffer_bytes: STATEMENTS_AHEAD * STATEMENT_BYTES + BUFFER_SLACK_BYTES,
    member_buffer_bytes: STATEMENT_BYTES + BUFFER_SLACK_BYTES,
    discovery_buffer_bytes: 64 << 10,
    discovery_line_bytes: 8 << 20,
    startup_message_bytes: 10_000,
    statement_bytes: STATEMENT_BYTES,
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
    client_errors: 3,
    client_error_backoff: Span::from_millis(100),
    backlog: 1024,
    rpcs_in_flight: usize::MAX,
    remembered_ids: 1 << 16,
    remembered_id_ttl: Span::from_millis(5000),
    answer_margin: Span::from_millis(4),
    connect_timeout: Span::from_millis(1000),
    health_check_timeout: Span::from_millis(1000),
    member_idle_timeout: Span::from_millis(10_000),
    fresh_send_timeout: Span::ZERO,
    write_timeout: Span::from_millis(100),
    partial_answer_timeout: Span::from_millis(250),
    max_clock_lead: Span::from_millis(1000),
    message_timeout: Span::from_millis(2000),
    unread_answer_timeout: Span::from_millis(10_000),
    refill_quiet_time: Span::from_millis(20),
    watch_answer_timeout: Span::from_millis(1500),
    late_watch_timeout: Span::from_millis(2200),
    watch_silence_timeout: Span::from_millis(3000),
    notified_within: Span::from_millis(6000),
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
    shutdown_idle_time: Span::from_millis(200),
    shutdown_accept_time: Span::from_millis(600),
};

impl Limits {
    /// The limits of a router that may use `memory_mb` MiB of memory and may open `descriptors`.
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
            fresh_send_timeout: settings.deployment.tick,
            ..DEFAULTS
        }
    }
}
