//! Connections of simulated routers to members and to discovery, and those of their clients.

use super::counts::Subject;
use super::member::HEALTH_CHECK;
use super::settings::{AddressOwner, address_owner};
use super::simulation::{Connection, ConnectionKey, Peer, Simulation, SimulationEvent};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_emulator::proto;
use ladderpass_routing::{Span, Time};
use std::net::SocketAddr;

/// Time that a member needs to answer the messages that arrive together.
const SERVICE_TIME: Span = Span::from_millis(1);

impl Simulation {
    /// Returns the time at which the answer to a message sent now arrives, if the service time is zero.
    pub(super) fn round_trip_at(&self) -> Time {
        self.now + self.shape.latency * 2.0
    }

    /// Opens a connection of a router to a member or to discovery.
    pub(super) fn connect(&mut self, key: ConnectionKey, address: SocketAddr) {
        self.counts[key.router].connections_opened += 1;
        let at = self.round_trip_at();
        let peer = match address_owner(address) {
            Some(AddressOwner::Member(member)) => {
                let result = match self.members.get(member) {
                    Some(member) if member.up => SimulationEvent::Connected(key),
                    _ => SimulationEvent::Closed(key),
                };
                // A member does not answer if its machine has failed or its region is cut off.
                let hangs = self.members.get(member).is_some_and(|member| member.hangs);
                if self.reaches_member(key.router, member) && !hangs {
                    self.schedule(at, result);
                }
                Peer::Member { member, startup_read: false, input: Vec::new() }
            }
            _ => {
                self.counts[key.router].watches_opened += 1;
                let is_up = self.discovery_up;
                let result =
                    if is_up { SimulationEvent::Connected(key) } else { SimulationEvent::Closed(key) };
                self.schedule(at, result);
                Peer::Discovery { watching: false }
            }
        };
        let connection = Connection { peer, unread: Vec::new() };
        self.routers[key.router].connections.insert(key.id, connection);
    }

    fn reaches_member(&self, router: usize, member: usize) -> bool {
        self.is_reachable(self.zone(router), self.zone_of_member(member))
    }

    /// Passes bytes that a router has written to the peer of the connection.
    pub(super) fn receive_from_router(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let Some(connection) = self.connection_mut(key) else { return };
        match &mut connection.peer {
            Peer::Discovery { watching } => {
                let is_first = !std::mem::replace(watching, true);
                if is_first {
                    self.begin_watch(key);
                }
            }
            Peer::Client { .. } => self.receive_as_client(key, bytes),
            Peer::Member { .. } => self.receive_as_member(key, bytes),
        }
    }

    fn receive_as_client(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let Some(Connection { peer: Peer::Client { startup_done, input }, .. }) =
            self.routers[key.router].connections.get_mut(&key.id)
        else {
            return;
        };
        input.extend_from_slice(bytes);
        let mut parsed = 0;
        let (mut answers, mut errors) = (0, 0);
        while let Some((kind, _, length)) = proto::parse_frame(&input[parsed..]) {
            parsed += length;
            answers += u64::from(kind == b'Z');
            errors += u64::from(kind == b'E');
        }
        input.drain(..parsed);
        // The first ReadyForQuery ends the startup, and answers no statement.
        if answers > 0 && !std::mem::replace(startup_done, true) {
            answers -= 1;
        }
        self.counts[key.router].answered += answers.saturating_sub(errors);
        self.counts[key.router].errors += errors;
        if answers > 0 {
            self.routers[key.router].idle_clients.push(key.id);
        }
    }

    fn receive_as_member(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let now = self.now;
        let Some(Connection { peer: Peer::Member { member, startup_read, input }, .. }) =
            self.routers[key.router].connections.get_mut(&key.id)
        else {
            return;
        };
        let member = *member;
        input.extend_from_slice(bytes);
        let (mut parsed, mut reply) = (0, Vec::new());
        if !*startup_read && let Some(length) = proto::parse_startup(input) {
            (*startup_read, parsed) = (true, length);
            proto::put_startup_response(&mut reply);
        }
        let mut health_checks = 0;
        while let Some((_, body, length)) = proto::parse_frame(&input[parsed..]) {
            parsed += length;
            let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
            health_checks += u64::from(statement == HEALTH_CHECK);
            self.members[member].answer(now, statement, &mut reply);
        }
        input.drain(..parsed);
        self.counts[key.router].health_checks += health_checks;
        let answers = self.members[member].up && !self.members[member].hangs;
        if !reply.is_empty() && answers && self.reaches_member(key.router, member) {
            let at = self.round_trip_at() + SERVICE_TIME;
            self.schedule(at, SimulationEvent::Bytes(key, reply));
        }
    }

    /// Delivers bytes to a router, as many as its read buffer has space for. The rest stays unread.
    pub(super) fn deliver(&mut self, router: usize, id: ConnectionId, bytes: &[u8]) {
        let subject = match self.routers[router].connections.get_mut(&id) {
            None => return,
            Some(connection) => {
                connection.unread.extend_from_slice(bytes);
                if matches!(connection.peer, Peer::Discovery { .. }) {
                    Subject::EndpointList
                } else {
                    Subject::Connections
                }
            }
        };
        loop {
            let receiver = &mut self.routers[router];
            let (Some(reducer), Some(connection)) =
                (&mut receiver.reducer, receiver.connections.get_mut(&id))
            else {
                return;
            };
            let buffer = reducer.read_buffer(id);
            let count = buffer.len().min(connection.unread.len());
            if count == 0 {
                return;
            }
            buffer[..count].copy_from_slice(&connection.unread[..count]);
            connection.unread.drain(..count);
            self.apply(router, Event::Received(id, count, Span::ZERO), subject);
        }
    }
}
