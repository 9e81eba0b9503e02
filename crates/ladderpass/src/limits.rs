//! The front's resource bounds: sizes, counts and times, filled once at start and handed down.
//!
//! It owns these bounds alone. It must never hold a value that decides where or when an RPC goes: those stand
//! in the decision module.

use ladderpass_config::DeploymentSettings;
use ladderpass_routing::Span;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limits {
    /// A ring starts at this size, and grows up to its bound.
    pub buffer_initial_bytes: usize,
    /// Past what one client may have sent ahead, what it sends next is answered at once.
    pub client_buffer_bytes: usize,
    pub member_buffer_bytes: usize,
    pub discovery_buffer_bytes: usize,
    pub discovery_line_bytes: usize,
    /// First message of a connection.
    pub startup_message_bytes: usize,
    /// A statement with its frame; longer ones are turned away.
    pub statement_bytes: usize,
    /// Past this much memory of all rings together no statement, and no answer, is let grow.
    pub client_buffers_total_bytes: usize,
    pub all_buffers_total_bytes: usize,
    /// A statement waits this long for memory to be read to; then it is passed over, and pushed back.
    pub memory_wait_timeout: Span,
    /// Connections of clients and members together: members have what clients leave.
    pub connections: usize,
    /// Connections of clients that are served; past this, and up to the most that are accepted, newcomers are
    /// turned away at their first statement.
    pub clients: usize,
    pub clients_accepted: usize,
    /// Past this many, those that are waited for make place after so long: to open, to end a statement, to begin one.
    /// Clients share fewer descriptors than this router has; connections that rest may be all that they have left.
    pub clients_before_eviction: usize,
    pub eviction_ages: [Span; 3],
    /// An idle connection of a client is closed after this in any case.
    pub client_idle_timeout: Span,
    /// Faults of a client that are answered in step; the next one closes its connection.
    pub client_errors: u32,
    /// Ids of RPCs that are kept, and for how long past their client's time.
    pub retired_ids: usize,
    pub retired_id_ttl: Span,
    /// Where a client that rests is to make place it goes a turn later: meanwhile there may be so many more.
    pub evicting_clients: usize,
    /// What there was no descriptor for, and nothing that could make place, is tried again after this.
    pub denied_connect_backoff: Span,
    /// A call that failed for a moment is made again after this; a loop that has failed for so long has failed for good.
    pub failed_call_backoff: Duration,
    pub event_loop_failure_timeout: Duration,
    /// What a start could not open for a moment is tried again after this, for so long.
    pub start_retry_interval: Duration,
    pub start_retry_timeout: Duration,
    pub reread: Reread,
    /// So many connections make place for one that was denied: were it for want of something else, all would
    /// go.
    pub evictions_per_denial: u8,
    /// Connections accepted, and reads from one connection, in one go: so that none starves the rest.
    pub accepts_per_event: usize,
    pub reads_per_event: usize,
    /// Sockets looked at before the reducer has its turn.
    pub sockets_per_iteration: usize,
    /// Statements of one connection looked at before the others have their turn.
    pub statements_per_iteration: usize,
    pub backlog: i32,
    pub rpcs_in_flight: usize,
    /// A connection to a member that is not up by then never came.
    pub connect_timeout: Span,
    pub health_check_timeout: Span,
    /// A pooled connection is closed once it was idle for this long, some way before the member does so.
    pub member_idle_timeout: Span,
    /// A read with a bound on its data's age, or a repeat that only a window allows, that waited longer than this to be
    /// sent is decided anew.
    pub fresh_send_timeout: Span,
    /// Any other is out whole within this: it tells the member what time is left.
    pub write_timeout: Span,
    /// What the router itself needs to write an answer before the client's time is up.
    pub answer_margin: Span,
    /// Clients: for the first message, and for the rest of a message that has begun; and to read an answer.
    pub message_timeout: Span,
    pub unread_answer_timeout: Span,
    /// A client that sent more than there was room for goes on once its socket was empty for so long: more than the way
    /// there and back, as its kernel may have kept the rest, and its end, until there was room.
    pub refill_quiet_time: Span,
    /// After a fault the next command is read this much later, doubled each time.
    pub client_error_backoff: Span,
    /// Members: for the rest of an answer that has begun.
    pub partial_answer_timeout: Span,
    /// No clock of a member is further ahead.
    pub max_clock_lead: Span,
    /// A call to discovery ends after so long without a byte, and after `watch_silence` in all, until it has
    /// given a line.
    pub watch_answer_timeout: Span,
    /// It is listened to for so long all the same, beside the next: a discovery that is crowded answers, or turns away,
    /// within 2 s.
    pub late_watch_timeout: Span,
    /// A watch that was silent for so long has failed. The protocol has an empty line every 2 s; what a silent watch
    /// would have told counts as told 6 s after it fell silent. In between two further calls have their time.
    pub watch_silence_timeout: Span,
    /// By the protocol, whatever discovery has to tell counts as told after so long at the latest.
    pub notified_within: Span,
    /// How often the log tells the tally.
    pub stats_interval: Span,
    /// The loop looks round at least this often, so that a stall of the process shows; from then on it is one.
    pub max_poll_wait: Duration,
    pub stall_threshold: Duration,
    /// Sockets that were looked at longer ago than this are looked at again before any deadline counts.
    pub max_poll_age: Duration,
    /// After SIGTERM an idle connection of a client is closed once it has rested for so long.
    pub shutdown_idle_time: Span,
    /// After SIGTERM new connections are taken for so long, and RPCs begun: SIGKILL may come as early as the longest
    /// deadline and 0.7 s after it. The process ends once what it owes is answered, however long the clients' time is.
    pub shutdown_accept_time: Span,
}

/// What could not be read at SIGHUP is tried again after a rest, for so long: what is told there counts after 4 s.
#[derive(Clone, Copy, Debug)]
pub struct Reread {
    pub rest: Duration,
    pub tries: Duration,
}

const VALUE: usize = 64 << 10;

impl Limits {
    /// The allowance of the machine, split between clients, members and discovery.
    pub fn of(memory_mb: u64, sockets: usize, facts: &DeploymentSettings) -> Limits {
        // In hex a value takes twice its size; the rest of a statement or an answer is short.
        let statement = 2 * VALUE + (8 << 10);
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        // Standard streams, epoll, signals, listener, discovery, and what the runtime opens.
        let usable = sockets.saturating_sub(32).max(8);
        Limits {
            buffer_initial_bytes: 4 << 10,
            client_buffer_bytes: 4 * statement + (16 << 10),
            member_buffer_bytes: statement + (16 << 10),
            discovery_buffer_bytes: 64 << 10,
            discovery_line_bytes: 8 << 20,
            startup_message_bytes: 10_000,
            statement_bytes: statement,
            client_buffers_total_bytes: memory / 4,
            all_buffers_total_bytes: memory / 3,
            memory_wait_timeout: Span::from_millis(100),
            connections: usable,
            clients_before_eviction: sockets / 4,
            clients: usable * 11 / 16,
            clients_accepted: usable * 3 / 4,
            eviction_ages: [50, 250, 100].map(Span::from_millis),
            client_idle_timeout: Span::from_millis(2100),
            client_errors: 3,
            retired_ids: 1 << 16,
            retired_id_ttl: Span::from_millis(5000),
            evicting_clients: 8,
            denied_connect_backoff: Span::from_millis(100),
            failed_call_backoff: Duration::from_millis(1),
            event_loop_failure_timeout: Duration::from_secs(10),
            start_retry_interval: Duration::from_millis(20),
            start_retry_timeout: Duration::from_secs(5),
            reread: Reread { rest: Duration::from_millis(100), tries: Duration::from_secs(4) },
            evictions_per_denial: 8,
            accepts_per_event: 64,
            reads_per_event: 8,
            sockets_per_iteration: 256,
            statements_per_iteration: 32,
            backlog: 1024,
            rpcs_in_flight: facts
                .max_in_flight
                .and_then(|most| usize::try_from(most).ok())
                .unwrap_or(usize::MAX),
            connect_timeout: facts.connect_timeout.unwrap_or(Span::from_millis(1000)),
            health_check_timeout: facts.connect_timeout.unwrap_or(Span::from_millis(1000)),
            member_idle_timeout: facts.idle_timeout.map_or(Span::from_millis(10_000), |idle| idle * 0.8),
            fresh_send_timeout: facts.deployment.tick,
            write_timeout: Span::from_millis(100),
            answer_margin: Span::from_millis(4),
            message_timeout: Span::from_millis(2000),
            unread_answer_timeout: Span::from_millis(10_000),
            refill_quiet_time: Span::from_millis(20),
            client_error_backoff: Span::from_millis(100),
            partial_answer_timeout: Span::from_millis(250),
            max_clock_lead: Span::from_millis(1000),
            watch_answer_timeout: Span::from_millis(1500),
            late_watch_timeout: Span::from_millis(2200),
            watch_silence_timeout: Span::from_millis(3000),
            notified_within: Span::from_millis(6000),
            stats_interval: Span::from_millis(10_000),
            max_poll_wait: Duration::from_millis(50),
            stall_threshold: Duration::from_millis(100),
            max_poll_age: Duration::from_millis(10),
            shutdown_idle_time: Span::from_millis(200),
            shutdown_accept_time: Span::from_millis(600),
        }
    }
}
