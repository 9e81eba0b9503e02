//! Simulations from which the single test cases start, and the answers that clients have received in these simulations.

use crate::common::{empty_query_response, frames, query, row, sqlstate, startup, statement};
use crate::simulation::{Client, Simulation};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;

/// What a client has received after its startup, and whether its connection is closed.
pub struct Exchange {
    /// The types and bodies of the frames that the client received.
    pub frames: Vec<(u8, Vec<u8>)>,
    pub is_closed: bool,
}

/// Accepts a client that sends these bytes, and an empty query once the bytes are handled. Returns what the client
/// received.
pub fn exchange(bytes: &[u8]) -> Exchange {
    let mut simulation = Simulation::new(vec![255; 600]);
    let id = simulation.reducer.next_id();
    simulation.clients.insert(id, Client { broke_protocol: true, ..Client::default() });
    simulation.apply(Event::Accepted(id));
    simulation.receive(id, &startup());
    simulation.write(id);
    let Some(client) = simulation.clients.get_mut(&id) else {
        return Exchange { frames: Vec::new(), is_closed: true };
    };
    client.received.clear();
    simulation.receive(id, bytes);
    // After a client's error the router pauses for 100 ms before it reads from the client again.
    (0..25).for_each(|_| simulation.advance(Span::from_millis(5)));
    simulation.receive(id, &query(""));
    let mut inbox = simulation.reducer.outgoing(id).to_vec();
    if let Some(client) = simulation.clients.get(&id) {
        inbox.splice(..0, client.received.iter().copied());
    }
    Exchange { frames: frames(&inbox).0, is_closed: !simulation.clients.contains_key(&id) }
}

/// A simulation in which `count` clients have each sent the bytes that `bytes` returns for the client's number, in one
/// batch.
pub fn clients_that_sent(count: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Simulation {
    let mut simulation = Simulation::new(vec![255; 600]);
    for nth in 0..count {
        let bytes = bytes(nth);
        let id = simulation.reducer.next_id();
        let deadline = Some(simulation.now + Span::from_millis(480)).filter(|_| !bytes.is_empty());
        simulation
            .clients
            .insert(id, Client { deadlines: deadline.into_iter().collect(), ..Client::default() });
        simulation.apply(Event::Accepted(id));
        simulation.feed(id, &startup());
        simulation.write(id);
        simulation.feed(id, &bytes);
        simulation.write(id);
    }
    simulation.advance(Span::ZERO);
    simulation
}

/// A simulation of one client whose statement has its first attempt in flight.
pub struct FirstAttempt {
    pub simulation: Simulation,
    pub client: ConnectionId,
    /// The connection to the member that has the attempt.
    pub connection: ConnectionId,
}

/// Has a client send a statement of this method, with the RPC id 7, and runs the simulation until the statement's first
/// attempt is in flight.
pub fn send_first_attempt(method: &str) -> FirstAttempt {
    send_first_attempt_in(Simulation::new(vec![255; 600]), method)
}

/// As [`send_first_attempt`], in the given simulation, which must have no client yet.
pub fn send_first_attempt_in(mut simulation: Simulation, method: &str) -> FirstAttempt {
    let text = statement("7", method, 2000, "1");
    let position = simulation.now.nanos() as u64 / 1_000_000;
    simulation.expect_statement(&text, method == "write");
    let client = simulation.reducer.next_id();
    let deadlines = vec![simulation.now + Span::from_millis(2000)];
    simulation
        .clients
        .insert(client, Client { deadlines, rpc_ids: vec!["7".to_owned()], ..Client::default() });
    simulation.apply(Event::Accepted(client));
    simulation.feed(client, &[startup(), query(&text)].concat());
    for _ in 0..20 {
        simulation.advance(Span::from_millis(5));
        for id in simulation.member_connections.keys().copied().collect::<Vec<_>>() {
            if !simulation.member_connections.get(&id).is_some_and(|member| member.is_established) {
                simulation.establish(id);
            }
            let Some(member) = simulation.member_connections.get_mut(&id) else { continue };
            match member.query.as_deref() {
                Some("SHOW server_load") => {
                    let report = format!("x0={}.9,x1={}", position / 1000, u8::from(method == "write"));
                    member.query = None;
                    simulation.feed(id, &row(report.as_bytes(), "follower", position));
                }
                Some(_) => return FirstAttempt { simulation, client, connection: id },
                None if std::mem::take(&mut member.sync_query_queued) => {
                    simulation.feed(id, &empty_query_response())
                }
                None => {}
            }
        }
    }
    panic!("the attempt is not sent");
}

/// The answers that a client has received to its statements: the types of the frames of each answer, and the SQLSTATE
/// if the answer has an error.
pub fn answers_of(simulation: &Simulation, client: ConnectionId) -> Vec<(Vec<u8>, String)> {
    let found = frames(&simulation.clients[&client].received).0;
    let summary = |answer: &[(u8, Vec<u8>)]| {
        let error =
            answer.iter().find(|(kind, _)| *kind == b'E').map_or(String::new(), |(_, body)| sqlstate(body));
        (answer.iter().map(|(kind, _)| *kind).collect(), error)
    };
    found.split_inclusive(|(kind, _)| *kind == b'Z').skip(1).map(summary).collect()
}

/// The answer to an RPC that was served, in the form in which [`answers_of`] returns it.
pub fn served_answer() -> (Vec<u8>, String) {
    (b"TDCZ".to_vec(), String::new())
}

/// The answer to an RPC that failed with this SQLSTATE, in the form in which [`answers_of`] returns it.
pub fn error_answer(code: &str) -> (Vec<u8>, String) {
    (b"EZ".to_vec(), code.to_owned())
}
