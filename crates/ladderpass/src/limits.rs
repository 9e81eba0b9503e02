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
    pub ring_start: usize,
    /// Past what one client may have sent ahead, what it sends next is answered at once.
    pub client_ring: usize,
    pub member_ring: usize,
    pub discovery_ring: usize,
    pub list_line: usize,
    /// First message of a connection.
    pub opening: usize,
    /// A statement with its frame; longer ones are turned away.
    pub statement: usize,
    /// Past this much memory of all rings together no statement, and no answer, is let grow.
    pub rings_of_clients: usize,
    pub rings_together: usize,
    /// A statement waits this long for memory to be read to; then it is passed over, and pushed back.
    pub memory_wait: Span,
    /// Connections of clients and members together: members have what clients leave.
    pub connections: usize,
    /// Connections of clients that are served; past this, and up to the most that are accepted, newcomers are
    /// turned away at their first statement.
    pub clients: usize,
    pub clients_most: usize,
    /// Past this many, those that are waited for make place after so long: to open, to end a statement, to begin one.
    /// Clients share fewer descriptors than this router has; connections that rest may be all that they have left.
    pub clients_eased: usize,
    pub client_waits: [Span; 3],
    /// An idle connection of a client is closed after this in any case.
    pub client_idle: Span,
    /// Faults of a client that are answered in step; the next one closes its connection.
    pub faults: u32,
    /// Ids of RPCs that are kept, and for how long past their client's time.
    pub ids: usize,
    pub id_rest: Span,
    /// Where a client that rests is to make place it goes a turn later: meanwhile there may be so many more.
    pub leaving: usize,
    /// What there was no descriptor for, and nothing that could make place, is tried again after this.
    pub denied_rest: Span,
    /// A call that failed for a moment is made again after this; a loop that has failed for so long has failed for good.
    pub postponed_rest: Duration,
    pub loop_fails: Duration,
    /// What a start could not open for a moment is tried again after this, for so long.
    pub start_rest: Duration,
    pub start_tries: Duration,
    pub reread: Reread,
    /// So many connections make place for one that was denied: were it for want of something else, all would
    /// go.
    pub denials: u8,
    /// Connections accepted, and reads from one connection, in one go: so that none starves the rest.
    pub accepts: usize,
    pub reads: usize,
    /// Sockets looked at before the reducer has its turn.
    pub events: usize,
    /// Statements of one connection looked at before the others have their turn.
    pub statements: usize,
    pub backlog: i32,
    pub most_held: usize,
    /// A connection to a member that is not up by then never came.
    pub connect: Span,
    pub probe: Span,
    /// A pooled connection is closed once it was idle for this long, some way before the member does so.
    pub idle: Span,
    /// A read with a bound on its data's age, or a repeat that only a window allows, that waited longer than this to be
    /// sent is decided anew.
    pub sent_within: Span,
    /// Any other is out whole within this: it tells the member what time is left.
    pub written_within: Span,
    /// What the router itself needs to write an answer before the client's time is up.
    pub answer: Span,
    /// Clients: for the first message, and for the rest of a message that has begun; and to read an answer.
    pub message: Span,
    pub unread: Span,
    /// A client that sent more than there was room for goes on once its socket was empty for so long: more than the way
    /// there and back, as its kernel may have kept the rest, and its end, until there was room.
    pub refill: Span,
    /// After a fault the next command is read this much later, doubled each time.
    pub fault_rest: Span,
    /// Members: for the rest of an answer that has begun.
    pub rest_of_answer: Span,
    /// No clock of a member is further ahead.
    pub ahead: Span,
    /// A call to discovery ends after so long without a byte, and after `watch_silence` in all, until it has
    /// given a line.
    pub watch_answer: Span,
    /// It is listened to for so long all the same, beside the next: a discovery that is crowded answers, or turns away,
    /// within 2 s.
    pub watch_late: Span,
    /// A watch that was silent for so long has failed. The protocol has an empty line every 2 s; what a silent watch
    /// would have told counts as told 6 s after it fell silent. In between two further calls have their time.
    pub watch_silence: Span,
    /// By the protocol, whatever discovery has to tell counts as told after so long at the latest.
    pub told_within: Span,
    /// How often the log tells the tally.
    pub tally: Span,
    /// The loop looks round at least this often, so that a stall of the process shows; from then on it is one.
    pub longest_wait: Duration,
    pub stall: Duration,
    /// Sockets that were looked at longer ago than this are looked at again before any deadline counts.
    pub looked_at_within: Duration,
    /// After SIGTERM an idle connection of a client is closed once it has rested for so long.
    pub stopping_rest: Span,
    /// After SIGTERM new connections are taken for so long, and RPCs begun: SIGKILL may come as early as the longest
    /// deadline and 0.7 s after it. The process ends once what it owes is answered, however long the clients' time is.
    pub still_accepting: Span,
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
            ring_start: 4 << 10,
            client_ring: 4 * statement + (16 << 10),
            member_ring: statement + (16 << 10),
            discovery_ring: 64 << 10,
            list_line: 8 << 20,
            opening: 10_000,
            statement,
            rings_of_clients: memory / 4,
            rings_together: memory / 3,
            memory_wait: Span::from_millis(100),
            connections: usable,
            clients_eased: sockets / 4,
            clients: usable * 11 / 16,
            clients_most: usable * 3 / 4,
            client_waits: [50, 250, 100].map(Span::from_millis),
            client_idle: Span::from_millis(2100),
            faults: 3,
            ids: 1 << 16,
            id_rest: Span::from_millis(5000),
            leaving: 8,
            denied_rest: Span::from_millis(100),
            postponed_rest: Duration::from_millis(1),
            loop_fails: Duration::from_secs(10),
            start_rest: Duration::from_millis(20),
            start_tries: Duration::from_secs(5),
            reread: Reread { rest: Duration::from_millis(100), tries: Duration::from_secs(4) },
            denials: 8,
            accepts: 64,
            reads: 8,
            events: 256,
            statements: 32,
            backlog: 1024,
            most_held: facts.max_in_flight.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX),
            connect: facts.connect_timeout.unwrap_or(Span::from_millis(1000)),
            probe: facts.connect_timeout.unwrap_or(Span::from_millis(1000)),
            idle: facts.idle_timeout.map_or(Span::from_millis(10_000), |idle| idle * 0.8),
            sent_within: facts.deployment.tick,
            written_within: Span::from_millis(100),
            answer: Span::from_millis(4),
            message: Span::from_millis(2000),
            unread: Span::from_millis(10_000),
            refill: Span::from_millis(20),
            fault_rest: Span::from_millis(100),
            rest_of_answer: Span::from_millis(250),
            ahead: Span::from_millis(1000),
            watch_answer: Span::from_millis(1500),
            watch_late: Span::from_millis(2200),
            watch_silence: Span::from_millis(3000),
            told_within: Span::from_millis(6000),
            tally: Span::from_millis(10_000),
            longest_wait: Duration::from_millis(50),
            stall: Duration::from_millis(100),
            looked_at_within: Duration::from_millis(10),
            stopping_rest: Span::from_millis(200),
            still_accepting: Span::from_millis(600),
        }
    }
}
