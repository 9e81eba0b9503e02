//! A router without sockets: the reducer, with clients, members and a discovery service that act by random choices.

use crate::common::{
    SIMULATION_START, WATCH_HEAD, cancel, cancel_key, frames, id_and_rest, launch_with_config, router_config,
    simulated_members, startup_response,
};
use ladderpass::launch;
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_config::operator;
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A client, with the statements that it has sent and the bytes that it has received.
#[derive(Default)]
pub struct Client {
    /// The deadlines of the client's statements, in the order in which they were sent.
    pub deadlines: Vec<Time>,
    /// The ids of the client's RPCs, in the order in which they were sent.
    pub rpc_ids: Vec<String>,
    pub received: Vec<u8>,
    /// How many answers the client has received.
    pub answers: usize,
    /// When the client received its last answer, or None if it has received none.
    pub answered_at: Option<Time>,
    /// Whether this client's answers are left out of the checks: the client broke the protocol, so that no answer is
    /// due, or the test turns the checks off for another reason.
    pub broke_protocol: bool,
}

/// The other side of a connection to a member.
#[derive(Default)]
pub struct MemberConnection {
    pub is_established: bool,
    pub startup_done: bool,
    pub received: Vec<u8>,
    /// The query on this connection that the member has not answered yet.
    pub query: Option<String>,
    /// Whether an empty query has arrived after the last query.
    pub sync_query_queued: bool,
}

/// A statement that a client has sent.
pub struct SentStatement {
    /// The text of the statement without the value of the field `d`, which differs between attempts.
    pub text: String,
    /// Whether the router must not send the statement again once the statement may have run.
    pub runs_once: bool,
    pub may_have_run: bool,
}

/// The reducer, and the other ends of its connections. Each random action is drawn from `choices`.
pub struct Simulation {
    pub reducer: Reducer,
    /// Whether the router monitors its own load. If so, the load that the simulation reports to the router is too high
    /// at times.
    pub is_overloaded: bool,
    pub now: Time,
    pub choices: VecDeque<u8>,
    pub clients: BTreeMap<ConnectionId, Client>,
    pub member_connections: BTreeMap<ConnectionId, MemberConnection>,
    /// The port of the member at the other end of each member connection.
    pub ports: BTreeMap<ConnectionId, u16>,
    /// The connections on which the router watches the endpoint list, and whether each is open.
    pub watches: Vec<(ConnectionId, bool)>,
    /// The statements that clients have sent, by the id of the statement's RPC.
    pub statements: HashMap<String, SentStatement>,
    /// The generation of the last line that discovery has sent.
    pub generation: u64,
    pub exited: bool,
}

/// The launch parameters of a router with three members, at ports 7000 to 7002.
pub fn default_launch() -> launch::Launch {
    launch_changed_by(|text| text)
}

/// As [`default_launch`], with the configuration that `change` returns.
pub fn launch_changed_by(change: impl Fn(String) -> String) -> launch::Launch {
    let members = simulated_members(3);
    launch_with_config(&change(router_config(&members)))
}

impl Simulation {
    /// A simulation of a router that monitors its own load, and is overloaded at times, by random choice.
    pub fn overloaded(choices: Vec<u8>) -> Simulation {
        let mut launch = default_launch();
        launch.operator = operator::read("overload: {slow_reader: 100ms}").expect("valid operator settings");
        Simulation { is_overloaded: true, ..Simulation::with_launch(choices, launch) }
    }

    /// A simulation of a router that does not monitor its own load.
    pub fn new(choices: Vec<u8>) -> Simulation {
        Simulation::with_launch(choices, default_launch())
    }

    /// A simulation of a router with these launch parameters.
    pub fn with_launch(choices: Vec<u8>, launch: launch::Launch) -> Simulation {
        let now = SIMULATION_START;
        Simulation {
            reducer: Reducer::start(now, launch),
            is_overloaded: false,
            now,
            choices: choices.into(),
            clients: BTreeMap::new(),
            member_connections: BTreeMap::new(),
            ports: BTreeMap::new(),
            watches: Vec::new(),
            statements: HashMap::new(),
            generation: 1,
            exited: false,
        }
    }

    /// Records a statement that a client is about to send. From now on members may get the statement.
    pub fn expect_statement(&mut self, statement: &str, runs_once: bool) {
        let (id, text) = id_and_rest(statement);
        self.statements.insert(id, SentStatement { text, runs_once, may_have_run: false });
    }

    /// Returns the next random choice as a number below `limit`.
    pub fn next_choice(&mut self, limit: usize) -> usize {
        usize::from(self.choices.pop_front().unwrap_or(0)) % limit.max(1)
    }

    /// Chooses one of the options at random. Returns None if there are no options.
    pub fn choose_from<T: Copy>(&mut self, options: Vec<T>) -> Option<T> {
        let nth = self.next_choice(options.len());
        options.get(nth).copied()
    }

    /// Has the reducer handle an event, and carries out its effects.
    pub fn apply(&mut self, event: Event) {
        let effects = self.reducer.handle(self.now, event);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect(id, address) if address.port() == 8500 => {
                    // If a connect to discovery got no descriptor, the router connects again with the same connection
                    // id.
                    self.watches.retain(|(watch, _)| *watch != id);
                    self.watches.push((id, false));
                }
                Effect::Connect(id, address) => {
                    self.ports.insert(id, address.port());
                    self.member_connections.insert(id, MemberConnection::default());
                }
                // In some cases a socket accepts nothing until the next call of `advance`.
                Effect::Write(_) if self.choices.len() % 5 == 4 => {}
                Effect::Write(id) => self.write(id),
                Effect::Close(id) => {
                    self.member_connections.remove(&id);
                    self.watches.retain(|(watch, _)| *watch != id);
                    if let Some(client) = self.clients.remove(&id) {
                        let unanswered = client.deadlines.len() > client.answers;
                        assert!(
                            client.broke_protocol || !unanswered,
                            "rule 1: closed before the client had its answers"
                        );
                    }
                }
                Effect::Exit => self.exited = true,
                Effect::StopListening => self.apply(Event::ListenerClosed),
                // A simulated socket holds no bytes that were not delivered to the router yet.
                Effect::Read(id) => self.apply(Event::SocketEmpty(id)),
                Effect::CloseIfQuiet(id) => self.apply(Event::ReadToEnd(id)),
                Effect::Accept(_) | Effect::SendDatagrams => {}
            }
        }
    }

    /// Establishes a connection to a member, and answers the startup message on it. A query that waited for the
    /// connection is in flight then.
    pub fn establish(&mut self, id: ConnectionId) {
        self.member_connections.insert(
            id,
            MemberConnection { is_established: true, startup_done: true, ..MemberConnection::default() },
        );
        self.apply(Event::Connected(id));
        self.write(id);
        self.member_connections.get_mut(&id).expect("the member connection is open").received.clear();
        let member = self.member_connections.get_mut(&id).expect("the member connection is open");
        (member.query, member.sync_query_queued) = (None, false);
        self.feed(id, &startup_response());
        self.write(id);
    }

    /// Delivers bytes to the router in pieces. Bytes for which the connection's read buffer has no space are dropped.
    pub fn feed(&mut self, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let max_piece = 1 + self.next_choice(40) * 7;
            let space = self.reducer.read_buffer(id);
            let count = space.len().min(bytes.len()).min(max_piece);
            if count == 0 {
                return;
            }
            let (piece, rest) = bytes.split_at(count);
            space[..count].copy_from_slice(piece);
            bytes = rest;
            self.apply(Event::Received(id, count, Span::ZERO));
        }
    }

    /// Delivers bytes as a batch of their own, which the reducer's tick follows.
    pub fn receive(&mut self, id: ConnectionId, bytes: &[u8]) {
        self.feed(id, bytes);
        self.apply(Event::Tick);
    }

    /// Establishes the connection of the router's first watch, and sends the head of discovery's response.
    pub fn open_watch(&mut self, id: ConnectionId) {
        self.watches[0].1 = true;
        self.apply(Event::Connected(id));
        self.feed(id, WATCH_HEAD);
    }

    /// The process id and the secret key for cancel requests, from the answer to a client's startup message.
    pub fn cancel_key_of(&self, client: ConnectionId) -> (u32, u32) {
        cancel_key(&frames(&self.clients[&client].received).0)
    }

    /// Sends a cancel request on a connection of its own, and checks that the router closes this connection without an
    /// answer.
    pub fn send_cancel_request(&mut self, key: (u32, u32)) {
        let id = self.reducer.next_id();
        self.apply(Event::Accepted(id));
        let bytes = cancel(key);
        self.reducer.read_buffer(id)[..bytes.len()].copy_from_slice(&bytes);
        let mut effects = self.reducer.handle(self.now, Event::Received(id, bytes.len(), Span::ZERO));
        effects.extend(self.reducer.handle(self.now, Event::Tick));
        assert!(self.reducer.outgoing(id).is_empty(), "a cancel request gets no answer");
        assert!(effects.contains(&Effect::Close(id)), "the connection of a cancel request is closed");
        self.carry_out(effects);
    }

    /// Lets the time `span` pass: the reducer does what is due, and the sockets accept what the reducer has written.
    pub fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        self.apply(Event::Tick);
        let ids: Vec<ConnectionId> =
            self.clients.keys().chain(self.member_connections.keys()).copied().collect();
        ids.into_iter().for_each(|id| self.write(id));
        self.apply(Event::Tick);
    }
}
