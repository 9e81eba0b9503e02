//! The engine, which decides what happens to the bytes of connections, and itself has no input or output. It takes received
//! bytes and the time, returns operations on connections, and records each decision. It uses no socket and reads no clock.
//!
//! Invariants:
//!
//! - Bytes of one direction stay in order, except where an action reorders them.
//! - Without a rule all bytes pass unchanged.
//! - Bytes that are held, postponed, delayed or stalled are bounded: once a direction has `MAX_HELD_BYTES` of them, its
//!   sender is no longer read. The copy that `Action::Repeat` makes of a response is not counted.
//! - Random draws depend only on the seed, the rule, the link, the connection and the byte offset, and not on other
//!   events.

mod active_rule;
mod connection;
mod direction;
mod operation;
mod rpc_watch;

pub use active_rule::RuleState;
pub use operation::{AcceptedConnection, ConnectionId, Operation, ScheduledOperation};
pub use rpc_watch::AttemptEvent;

use crate::errors::EngineError;
use crate::plan::{Action, Plan, Rule, Side};
use crate::random;
use crate::record::Decision;
use crate::stream::Unit;
use active_rule::{ActiveRule, Occurrence};
use connection::{Connection, StalledInput};
use direction::{Direction, Replacement};
use ladderpass_routing::Time;
use rand::rngs::SmallRng;
use rpc_watch::RpcWatch;
use std::collections::HashMap;

/// The number of held or delayed bytes of one direction of a connection from which on the sender of that direction is no longer
/// read.
pub const MAX_HELD_BYTES: usize = 512 << 10;
const NANOS_PER_MS: i64 = 1_000_000;

/// Counters of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStats {
    /// Number of open connections.
    pub open_connections: usize,
    /// Number of bytes that arrived on all connections since the engine's start.
    pub received_bytes: u64,
}

/// The state of all links, connections and rules of a plan.
pub struct Engine {
    plan: Plan,
    started_at: Time,
    rules: Vec<ActiveRule>,
    connections: HashMap<ConnectionId, Connection>,
    /// Number of connections that each link has accepted since the engine's start, by index of the link in the plan.
    opened: Vec<u64>,
    record: Vec<Decision>,
    received_bytes: u64,
    /// Whether each link is cut, by index of the link in the plan. Nothing passes a cut link in either direction.
    cut: Vec<bool>,
    rpc_watch: RpcWatch,
}

impl Engine {
    /// Returns an engine without connections for a plan that has been checked.
    pub fn new(now: Time, plan: Plan) -> Engine {
        let mut engine = Engine {
            started_at: now,
            rules: Vec::new(),
            connections: HashMap::new(),
            opened: vec![0; plan.links.len()],
            record: Vec::new(),
            received_bytes: 0,
            cut: vec![false; plan.links.len()],
            rpc_watch: RpcWatch::default(),
            plan: Plan { rules: Vec::new(), ..plan.clone() },
        };
        for rule in plan.rules {
            engine.activate(rule);
        }
        engine
    }

    fn activate(&mut self, rule: Rule) {
        let link =
            rule.link.as_ref().and_then(|name| self.plan.links.iter().position(|link| link.name == *name));
        self.plan.rules.push(rule.clone());
        self.rules.push(ActiveRule::new(rule, link));
    }

    /// Adds a rule. The new rule may have the name of a rule that has been lifted (ended by [`Engine::lift_rule`]).
    ///
    /// # Errors
    ///
    /// If the rule is invalid, or a rule with its name has not been lifted.
    pub fn add_rule(&mut self, rule: Rule) -> Result<(), EngineError> {
        rule.check(&self.plan)?;
        if self.rules.iter().any(|active| active.rule.name == rule.name && !active.lifted) {
            return Err(EngineError::DuplicateRule(rule.name));
        }
        self.activate(rule);
        Ok(())
    }

    /// Lifts a rule, so that it no longer acts, and sends the bytes that it held back. Other lasting effects, such as a
    /// limited rate or a silenced direction, are not undone.
    ///
    /// # Errors
    ///
    /// If no rule has this name, or it has been lifted already.
    pub fn lift_rule(&mut self, now: Time, name: &str) -> Result<Vec<ScheduledOperation>, EngineError> {
        let found = self.rules.iter().position(|active| active.rule.name == name && !active.lifted);
        let index = found.ok_or_else(|| EngineError::UnknownRule(name.to_owned()))?;
        self.rules[index].lifted = true;
        let mut operations = Vec::new();
        for (&id, connection) in &mut self.connections {
            for (direction, to) in connection.directions.iter_mut().zip([Side::Server, Side::Client]) {
                if direction.held_by_rule != Some(index) {
                    continue;
                }
                direction.held_by_rule = None;
                let bytes = std::mem::take(&mut direction.held_bytes);
                if !bytes.is_empty() {
                    operations.push(ScheduledOperation::new(id, now, Operation::Send(to, bytes)));
                }
                if direction.has_ended {
                    operations.push(ScheduledOperation::new(id, now, Operation::EndDirection(to)));
                }
            }
        }
        operations.sort_by_key(|scheduled| scheduled.connection);
        Ok(operations)
    }

    /// Starts recording the attempts of RPCs.
    pub fn start_watch(&mut self) {
        self.rpc_watch.start();
    }

    /// Returns the attempts recorded since `start_watch`, and stops the recording.
    pub fn take_attempts(&mut self) -> Vec<AttemptEvent> {
        self.rpc_watch.take()
    }

    /// Cuts a link: nothing passes it until it is healed, and its connections stay open on both sides.
    ///
    /// # Errors
    ///
    /// If no link has this name.
    pub fn cut(&mut self, link: &str) -> Result<(), EngineError> {
        let index = self.link_index(link)?;
        self.cut[index] = true;
        Ok(())
    }

    /// Ends the cut of a link. The bytes that arrived during the cut pass now, as the kernel would retransmit them.
    ///
    /// # Errors
    ///
    /// If no link has this name.
    pub fn heal(&mut self, now: Time, link: &str) -> Result<Vec<ScheduledOperation>, EngineError> {
        let index = self.link_index(link)?;
        let mut operations = Vec::new();
        if !std::mem::take(&mut self.cut[index]) {
            return Ok(operations);
        }
        let mut ids: Vec<ConnectionId> =
            self.connections.keys().filter(|id| id.link == index).copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            let stalled = std::mem::take(&mut connection.stalled);
            for (sender, unit) in stalled.units {
                self.pass_unit(now, id, sender, unit, &mut operations);
            }
            for sender in stalled.ends {
                operations.extend(self.end_direction(now, id, sender));
            }
        }
        Ok(operations)
    }

    fn link_index(&self, name: &str) -> Result<usize, EngineError> {
        let found = self.plan.links.iter().position(|link| link.name == name);
        found.ok_or_else(|| EngineError::UnknownLink(name.to_owned()))
    }

    /// Returns the state of each rule, in the order in which the rules were added.
    pub fn rule_states(&self) -> Vec<RuleState<'_>> {
        self.rules.iter().map(ActiveRule::state).collect()
    }

    /// Returns the names of the rules that have never acted.
    pub fn never_fired(&self) -> Vec<&str> {
        let idle = self.rules.iter().filter(|active| active.hits == 0);
        idle.map(|active| active.rule.name.as_str()).collect()
    }

    /// Returns all decisions since the start.
    pub fn record(&self) -> &[Decision] {
        &self.record
    }

    /// Returns the current counters.
    pub fn stats(&self) -> EngineStats {
        EngineStats { open_connections: self.connections.len(), received_bytes: self.received_bytes }
    }

    /// Returns whether more bytes may be read from a side. `unsent_bytes` is the number of that side's bytes that the
    /// driver has yet to send.
    pub fn may_read(&self, id: ConnectionId, side: Side, unsent_bytes: usize) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        let direction = &connection.directions[side as usize];
        // A direction that `Action::Silence` has silenced is still read and its bytes are dropped, since a full socket would
        // show the sender the fault.
        if direction.is_silenced {
            return true;
        }
        let stalled_bytes = connection.stalled.bytes[side as usize];
        unsent_bytes + stalled_bytes + direction.buffered_bytes() < MAX_HELD_BYTES
    }

    /// Handles a connection that the driver has accepted on a link.
    pub fn on_accepted(&mut self, now: Time, link: usize) -> AcceptedConnection {
        self.opened[link] += 1;
        let id = ConnectionId { link, number: self.opened[link] };
        let protocol = self.plan.links[link].protocol;
        let directions = [Direction::new(protocol, Side::Client), Direction::new(protocol, Side::Server)];
        let connection = Connection { directions, is_closed: false, stalled: StalledInput::default() };
        self.connections.insert(id, connection);
        let unit = Unit { offset: 0, kind: "open", bytes: Vec::new() };
        let elapsed_ms = self.elapsed_ms(now);
        let occurrence =
            Occurrence { connection: id, sender: Side::Client, unit: &unit, opens: true, elapsed_ms };
        let (mut forwarded, mut operations) = (true, Vec::new());
        for index in self.triggered_rules(&occurrence) {
            let refused = self.rules[index].rule.action == Action::Refuse;
            self.record_decision(index, id, Side::Client, &unit, Vec::new());
            forwarded = false;
            if refused {
                operations.push(ScheduledOperation::new(id, now, Operation::Reset));
            }
        }
        AcceptedConnection { connection: id, forwarded, operations }
    }

    /// Handles bytes that have arrived from a side.
    pub fn on_bytes(
        &mut self,
        now: Time,
        id: ConnectionId,
        side: Side,
        bytes: &[u8],
    ) -> Vec<ScheduledOperation> {
        self.received_bytes += bytes.len() as u64;
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        let units = connection.directions[side as usize].scanner.feed(bytes);
        let mut operations = Vec::new();
        for unit in units {
            if side == Side::Client {
                self.rpc_watch.on_unit(now, id, side, &unit);
            }
            if self.cut[id.link] {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.stalled.bytes[side as usize] += unit.bytes.len();
                    connection.stalled.units.push((side, unit));
                }
                continue;
            }
            self.pass_unit(now, id, side, unit, &mut operations);
        }
        operations
    }

    /// Handles the end of a direction: the given side sends no more bytes.
    pub fn on_end(&mut self, now: Time, id: ConnectionId, side: Side) -> Vec<ScheduledOperation> {
        if side == Side::Client {
            self.rpc_watch.on_ended(now, id);
        }
        if self.cut[id.link] {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.stalled.ends.push(side);
            }
            return Vec::new();
        }
        self.end_direction(now, id, side)
    }

    fn end_direction(&mut self, now: Time, id: ConnectionId, side: Side) -> Vec<ScheduledOperation> {
        let mut operations = Vec::new();
        let Some(connection) = self.connections.get_mut(&id) else { return operations };
        if let Some(unit) = connection.directions[side as usize].scanner.end() {
            self.pass_unit(now, id, side, unit, &mut operations);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return operations };
        let direction = &mut connection.directions[side as usize];
        direction.has_ended = true;
        let at = direction.earliest_send_at.max(now);
        if let Some(bytes) = direction.take_postponed() {
            operations.push(ScheduledOperation::new(id, at, Operation::Send(side.other(), bytes)));
        }
        if direction.held_by_rule.is_none() && !direction.is_silenced {
            operations.push(ScheduledOperation::new(id, at, Operation::EndDirection(side.other())));
        }
        operations
    }

    /// Handles the closing of both sockets of a connection.
    pub fn on_closed(&mut self, now: Time, id: ConnectionId) {
        self.rpc_watch.on_ended(now, id);
        self.connections.remove(&id);
    }

    /// Returns the milliseconds since the engine's start.
    fn elapsed_ms(&self, now: Time) -> i64 {
        (now - self.started_at).nanos() / NANOS_PER_MS
    }

    /// Returns the indexes of the rules that act on a unit or on the opening of a connection, in the order in which the
    /// rules were added. Also counts the matches of each rule.
    fn triggered_rules(&mut self, occurrence: &Occurrence<'_>) -> Vec<usize> {
        // The names of the rules that have acted are collected only if the trigger of some rule waits for another rule.
        let any_rule_waits = self.rules.iter().any(|active| active.rule.when.after_rule.is_some());
        let acted = self.rules.iter().filter(|active| any_rule_waits && active.hits > 0);
        let acted: Vec<String> = acted.map(|active| active.rule.name.clone()).collect();
        let mut triggered = Vec::new();
        for (index, active) in self.rules.iter_mut().enumerate() {
            if active.record_match(occurrence, &acted) {
                triggered.push(index);
            }
        }
        triggered
    }

    fn record_decision(&mut self, index: usize, id: ConnectionId, side: Side, unit: &Unit, drawn: Vec<u64>) {
        let rule = &self.rules[index].rule;
        self.record.push(Decision {
            link: self.plan.links[id.link].name.clone(),
            conn: id.number,
            side,
            byte: unit.offset,
            kind: unit.kind.to_owned(),
            rule: rule.name.clone(),
            action: rule.action.name().to_owned(),
            drawn,
        });
    }

    /// Returns the generator of a rule's random draws for a [`Unit`] of a stream.
    fn draw_generator(&self, index: usize, id: ConnectionId, unit: &Unit) -> SmallRng {
        let name = self.rules[index].rule.name.bytes();
        let name_hash = name.fold(0, |hash, byte| random::mix(hash, u64::from(byte)));
        random::generator(self.plan.seed, [name_hash, id.link as u64, id.number, unit.offset])
    }

    /// Applies the rules that a [`Unit`] of a stream triggers, and passes the result to the side that did not send the unit.
    fn pass_unit(
        &mut self,
        now: Time,
        id: ConnectionId,
        sender: Side,
        unit: Unit,
        operations: &mut Vec<ScheduledOperation>,
    ) {
        if self.connections.get(&id).is_none_or(|connection| connection.is_closed) {
            return;
        }
        if sender == Side::Server {
            self.rpc_watch.on_unit(now, id, sender, &unit);
        }
        let mut replacement = Replacement::unchanged(&unit);
        let elapsed_ms = self.elapsed_ms(now);
        let occurrence = Occurrence { connection: id, sender, unit: &unit, opens: false, elapsed_ms };
        for index in self.triggered_rules(&occurrence) {
            let action = self.rules[index].rule.action.clone();
            let mut random = self.draw_generator(index, id, &unit);
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let direction = &mut connection.directions[sender as usize];
            let drawn = direction.apply_action(&action, index, &unit, &mut random, &mut replacement);
            self.record_decision(index, id, sender, &unit, drawn);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let direction = &mut connection.directions[sender as usize];
        let ends_response = unit.kind == "ReadyForQuery";
        direction.continue_actions(ends_response, &mut replacement);
        if direction.held_by_rule.is_some() {
            direction.held_bytes.extend(replacement.pieces.concat());
            return;
        }
        connection.send(now, id, sender, replacement, operations);
    }
}
