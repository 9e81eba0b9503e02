//! A deterministic model of the members: cores, queues, replication logs, roles and connections. The model takes inputs
//! and the time and returns replies. It uses no sockets and reads no clock.
//!
//! Invariants:
//!
//! - A connection executes one statement at a time, in the order of arrival.
//! - A rejected statement never runs.
//! - Each execution is recorded exactly once.
//! - A member's position never decreases.

mod member;
mod messages;

pub use messages::{ConnectionId, Input, Output, Reply, Request};

use crate::execution_log::{Arrival, Execution, ExecutionLog};
use crate::scenario::Scenario;
use ladderpass_routing::{Span, Time};
use member::{Connection, Member, QueuedStatement};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// SQLSTATE with which a replica rejects a write: read_only_sql_transaction.
const READ_ONLY: &str = "25006";
/// SQLSTATE with which a member rejects a statement whose minimum position the member's data has not reached.
const POSITION_NOT_REACHED: &str = "72000";
/// SQLSTATE with which a member without capacity rejects a connection or a statement: too_many_connections.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// What a member does when one of its timers fires.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Reports to the client that the connection is established.
    ConnectionReady(ConnectionId),
    /// Completes a statement that runs.
    Completed { connection: ConnectionId, id: Box<str>, method: u32 },
}

/// A timer of a member. Timers are ordered by the time at which they fire, and timers of the same time by the order in
/// which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Time,
    /// Sequence number of the timer, unique within the model.
    sequence: u64,
    member: u32,
    timer: Timer,
}

/// All members of a scenario.
pub struct Model {
    scenario: Scenario,
    members: Vec<Member>,
    /// Pending timers; the earliest is at the top of the heap.
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    timers_set: u64,
    random: SmallRng,
    outputs: Vec<Output>,
    /// The executions and arrivals recorded so far.
    pub execution_log: ExecutionLog,
}

impl Model {
    /// Creates all members of the scenario. All members are up and have no connections, and the first member of each
    /// group is the primary of the group.
    pub fn new(now: Time, scenario: Scenario, seed: u64) -> Model {
        let group_size = scenario.group_size();
        let member = |index: usize| {
            Member::new(now, index as u32 / group_size, (index as u32).is_multiple_of(group_size))
        };
        Model {
            members: (0..scenario.member_count()).map(member).collect(),
            scenario,
            timers: BinaryHeap::new(),
            timers_set: 0,
            random: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
            execution_log: ExecutionLog::default(),
        }
    }

    /// Returns the scenario that describes the members.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Returns when `advance` must be called next, which is when the earliest timer fires, or `None` if no timer is
    /// set.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Removes and returns the replies produced since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether a member is up.
    pub fn is_alive(&self, member: u32) -> bool {
        self.members.get(member as usize).is_some_and(|member| member.alive)
    }

    /// Returns the number of statements in a member's queue.
    pub fn queued(&self, member: u32) -> usize {
        self.members.get(member as usize).map_or(0, |state| state.queue.len())
    }

    /// Returns the number of statements that run at a member.
    #[doc(hidden)]
    pub fn running(&self, member: u32) -> usize {
        self.members.get(member as usize).map_or(0, |state| state.running)
    }

    /// Applies an input to a member, after all timers that are due at `now`.
    pub fn apply(&mut self, now: Time, member: u32, input: Input) {
        self.advance(now);
        let Some(state) = self.members.get_mut(member as usize) else { return };
        match input {
            Input::ConnectionOpened(connection) => self.open_connection(now, member, connection),
            Input::RequestReceived(connection, request) => {
                let Some(connection_state) = state.connections.get_mut(&connection) else { return };
                if connection_state.busy {
                    connection_state.pipelined.push_back(request);
                } else {
                    self.answer(now, member, connection, request);
                }
            }
            Input::ConnectionClosed(connection) => {
                // A queued statement of the closed connection never runs. A running statement continues.
                state.connections.remove(&connection);
                state.queue.retain(|statement| statement.connection != connection);
            }
            Input::Crash => {
                state.crash();
                self.timers.retain(|Reverse(scheduled)| scheduled.member != member);
            }
            Input::Restart => state.alive = true,
            Input::BecomePrimary => {
                let group = state.group;
                for (index, other) in (0..).zip(&mut self.members) {
                    if other.group == group {
                        other.primary = index == member;
                    }
                }
            }
        }
    }

    /// Fires all timers that are due at `now`, the earliest first.
    pub fn advance(&mut self, now: Time) {
        while self.next_wake().is_some_and(|at| at <= now)
            && let Some(Reverse(ScheduledTimer { at, member, timer, .. })) = self.timers.pop()
        {
            match timer {
                Timer::ConnectionReady(connection) => {
                    if self.is_open(member, connection) {
                        self.outputs.push(Output { connection, reply: Reply::ConnectionReady });
                    }
                }
                Timer::Completed { connection, id, method } => {
                    if let Some(state) = self.members.get_mut(member as usize) {
                        state.running = state.running.saturating_sub(1);
                    }
                    self.complete_statement(at, member, connection, id, method);
                    self.start_queued(at, member);
                }
            }
        }
    }

    /// Opens a connection if the member is up and has fewer connections than the scenario's `connections`. Otherwise
    /// rejects the connection.
    fn open_connection(&mut self, now: Time, member: u32, connection: ConnectionId) {
        let Some(state) = self.members.get_mut(member as usize) else { return };
        if !state.alive || state.connections.len() >= self.scenario.connections {
            self.outputs.push(Output { connection, reply: Reply::FatalError(TOO_MANY_CONNECTIONS) });
            return;
        }
        state.connections.insert(connection, Connection::default());
        match Span::from_secs_f64(self.scenario.connect_ms / 1e3) {
            Span::ZERO => self.outputs.push(Output { connection, reply: Reply::ConnectionReady }),
            connect_time => self.set_timer(now + connect_time, member, Timer::ConnectionReady(connection)),
        }
    }

    fn set_timer(&mut self, at: Time, member: u32, timer: Timer) {
        self.timers_set += 1;
        self.timers.push(Reverse(ScheduledTimer { at, sequence: self.timers_set, member, timer }));
    }

    fn is_open(&self, member: u32, connection: ConnectionId) -> bool {
        self.members.get(member as usize).is_some_and(|state| state.connections.contains_key(&connection))
    }

    fn writes(&self, method: u32) -> bool {
        self.scenario.methods.get(method as usize).is_some_and(|method| method.writes)
    }

    fn answer(&mut self, now: Time, member: u32, connection: ConnectionId, request: Request) {
        let position = self.position(now, member);
        let Some(state) = self.members.get(member as usize) else { return };
        let (primary, queued) = (state.primary, state.queue.len());
        let reply = match request {
            Request::EmptyQuery => Reply::EmptyQueryResponse,
            Request::LoadReport => {
                if self.scenario.history {
                    self.execution_log.health_checks.push((now, member));
                }
                Reply::LoadReport { position, primary, queued }
            }
            Request::Statement { id, method, wait, min_position } => {
                let rejection = self.rejection(member, method, min_position, position);
                if self.scenario.history {
                    let (id, rejected) = (id.clone(), rejection.is_some());
                    self.execution_log.arrivals.push(Arrival { at: now, member, id, position, rejected });
                }
                match rejection {
                    Some(sqlstate) => Reply::Error(sqlstate),
                    None => {
                        let expires_at = now + wait;
                        self.enqueue(member, QueuedStatement { connection, id, method, expires_at });
                        return self.start_queued(now, member);
                    }
                }
            }
        };
        self.outputs.push(Output { connection, reply });
    }

    /// Returns the SQLSTATE with which a member rejects a statement, or `None` if the member accepts the statement.
    fn rejection(
        &mut self,
        member: u32,
        method: u32,
        min_position: Option<Time>,
        position: Time,
    ) -> Option<&'static str> {
        let writes = self.writes(method);
        let state = self.members.get(member as usize)?;
        if writes && !state.primary {
            Some(READ_ONLY)
        } else if min_position.is_some_and(|min_position| min_position > position) {
            Some(POSITION_NOT_REACHED)
        } else if state.queue.len() >= self.scenario.queue {
            self.execution_log.rejected += 1;
            Some(TOO_MANY_CONNECTIONS)
        } else {
            None
        }
    }

    /// Queues a statement at a member and marks the statement's connection as busy.
    fn enqueue(&mut self, member: u32, statement: QueuedStatement) {
        let Some(state) = self.members.get_mut(member as usize) else { return };
        if let Some(connection_state) = state.connections.get_mut(&statement.connection) {
            connection_state.busy = true;
        }
        state.queue.push_back(statement);
    }

    /// Starts queued statements of a member while one of the member's cores is free.
    fn start_queued(&mut self, now: Time, member: u32) {
        loop {
            let position = self.position(now, member);
            let Some(state) = self.members.get_mut(member as usize) else { return };
            if state.running >= self.scenario.cores {
                return;
            }
            let Some(statement) = state.queue.pop_front() else { return };
            if statement.expires_at < now {
                self.expire_statement(now, member, statement, position);
            } else {
                self.start_statement(now, member, statement, position);
            }
        }
    }

    /// Rejects a statement that has waited in the member's queue until after its `expires_at`.
    fn expire_statement(&mut self, now: Time, member: u32, statement: QueuedStatement, position: Time) {
        let QueuedStatement { connection, id, .. } = statement;
        self.execution_log.expired += 1;
        if self.scenario.history {
            let arrival = Arrival { at: now, member, id, position, rejected: true };
            self.execution_log.arrivals.push(arrival);
        }
        self.outputs.push(Output { connection, reply: Reply::Error(TOO_MANY_CONNECTIONS) });
        self.answer_pipelined(now, member, connection);
    }

    /// Starts a statement. A statement of a method without work completes at once.
    fn start_statement(&mut self, now: Time, member: u32, statement: QueuedStatement, position: Time) {
        let QueuedStatement { connection, id, method, .. } = statement;
        let writes = self.writes(method);
        let execution = Execution { at: now, member, id: id.clone(), method, writes, position };
        self.execution_log.executions.push(execution);
        let mean_work = self.scenario.mean_work(method as usize);
        if mean_work == Span::ZERO {
            self.complete_statement(now, member, connection, id, method);
            return;
        }
        if let Some(state) = self.members.get_mut(member as usize) {
            state.running += 1;
        }
        let work_factor: f64 = self.random.sample(Exp1);
        let completed_at = now + mean_work * work_factor;
        self.set_timer(completed_at, member, Timer::Completed { connection, id, method });
    }

    /// Completes a statement: commits a write if the statement's method writes, and answers the statement if its
    /// connection is still open.
    fn complete_statement(
        &mut self,
        now: Time,
        member: u32,
        connection: ConnectionId,
        id: Box<str>,
        method: u32,
    ) {
        if self.writes(method) {
            self.commit(now, member);
        }
        let position = self.position(now, member);
        let primary = self.members.get(member as usize).is_some_and(|state| state.primary);
        if self.is_open(member, connection) {
            self.outputs.push(Output { connection, reply: Reply::Row { id, method, primary, position } });
            self.answer_pipelined(now, member, connection);
        }
    }

    /// Answers the requests that a connection received while its statement ran or was queued, up to the next statement.
    fn answer_pipelined(&mut self, now: Time, member: u32, connection: ConnectionId) {
        loop {
            let Some(state) = self.members.get_mut(member as usize) else { return };
            let Some(connection_state) = state.connections.get_mut(&connection) else { return };
            connection_state.busy = false;
            let Some(request) = connection_state.pipelined.pop_front() else { return };
            // A request that is not a statement is answered at once, and the loop goes on. A statement may make the
            // connection busy, so the loop ends, and this function is called again when the statement ends.
            let is_statement = matches!(request, Request::Statement { .. });
            self.answer(now, member, connection, request);
            if is_statement {
                return;
            }
        }
    }

    /// Commits a write at the primary, and schedules when the replicas of the group apply the write.
    fn commit(&mut self, now: Time, primary: u32) {
        let Some(group) = self.members.get(primary as usize).map(|state| state.group) else { return };
        let apply_time = Span::from_secs_f64(self.scenario.apply_ms / 1e3);
        let transfer_time = Span::from_secs_f64(self.scenario.log_ms / 1e3);
        for replica in self.members.iter_mut().filter(|state| state.group == group && !state.primary) {
            replica.replicate(now, transfer_time, apply_time);
        }
    }

    /// Returns the replication position of a member's data.
    fn position(&mut self, now: Time, member: u32) -> Time {
        let transfer_time = Span::from_secs_f64(self.scenario.log_ms / 1e3);
        let Some(state) = self.members.get_mut(member as usize) else { return Time::NEVER };
        state.position(now, transfer_time)
    }
}
