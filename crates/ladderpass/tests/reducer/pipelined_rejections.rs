//! Statements that a client has sent behind one that is rejected.

use crate::common::{frame, query, startup, statement};
use crate::scenarios::{answers_of, error_answer};
use crate::simulation::{Client, Simulation, default_launch};
use ladderpass::reducer::{ConnectionId, Effect, Event};
use ladderpass_routing::Span;

/// The number of statements that a client sends without waiting for answers.
const PIPELINED: usize = 3;

/// A router that serves up to two clients, both of which have a statement in flight.
fn crowded_router() -> Simulation {
    let mut launch = default_launch();
    launch.limits.clients = 2;
    let mut simulation = Simulation::with_launch(vec![255; 4000], launch);
    for nth in 0..2 {
        let id = accept_client(&mut simulation, 1);
        let text = statement(&format!("1{nth}"), "read", 480, "1");
        simulation.expect_statement(&text, false);
        simulation.receive(id, &[startup(), query(&text)].concat());
    }
    simulation
}

/// Accepts a client that will send this number of statements, and waits for a second for their answers.
fn accept_client(simulation: &mut Simulation, statements: usize) -> ConnectionId {
    let id = simulation.reducer.next_id();
    let deadlines = vec![simulation.now + Span::from_millis(1000); statements];
    simulation.clients.insert(id, Client { deadlines, ..Client::default() });
    simulation.apply(Event::Accepted(id));
    id
}

fn pipelined_statements() -> Vec<Vec<u8>> {
    (0..PIPELINED).map(|nth| query(&statement(&format!("2{nth}"), "read", 480, "1"))).collect()
}

/// Guards against lost RPCs in a crowd: statements behind a client's first, which is rejected as there are too many
/// clients, were read or came a little later, and got no answer as the connection was closed.
#[test]
fn all_pipelined_statements_of_a_client_above_the_limit_are_answered() {
    for gap_ms in [0, 1, 40] {
        let mut simulation = crowded_router();
        let id = accept_client(&mut simulation, PIPELINED);
        simulation.feed(id, &startup());
        simulation.write(id);
        for statement in pipelined_statements() {
            simulation.feed(id, &statement);
            if gap_ms > 0 {
                simulation.advance(Span::from_millis(gap_ms));
            }
        }
        simulation.advance(Span::ZERO);
        simulation.advance(Span::ZERO);
        let expected = vec![error_answer("53300"); PIPELINED];
        assert_eq!(answers_of(&simulation, id), expected, "{gap_ms} ms between two statements");
        simulation.advance(Span::from_millis(55));
        assert!(!simulation.clients.contains_key(&id), "the place of a rejected client is free soon");
        assert_eq!(simulation.clients.len(), 2, "the other clients still wait for their answers");
    }
}

/// A client that was rejected in a crowd is served on the same connection once there are fewer clients.
#[test]
fn a_client_rejected_in_a_crowd_is_served_once_there_is_room() {
    let mut simulation = crowded_router();
    let id = accept_client(&mut simulation, 2);
    simulation.receive(id, &[startup(), pipelined_statements().remove(0)].concat());
    simulation.write(id);
    assert_eq!(answers_of(&simulation, id), [error_answer("53300")]);
    let other = *simulation.clients.keys().next().expect("a client is connected");
    simulation.clients.remove(&other);
    simulation.apply(Event::Closed(other));
    let text = statement("30", "read", 480, "1");
    simulation.expect_statement(&text, false);
    simulation.receive(id, &query(&text));
    simulation.advance(Span::from_millis(10));
    assert_eq!(answers_of(&simulation, id).len(), 1, "the second statement is in flight");
    let deadline = simulation.now + Span::from_millis(470);
    while simulation.now < deadline {
        simulation.advance(Span::from_millis(5));
    }
    assert_eq!(answers_of(&simulation, id).len(), 2, "the second statement has its own answer");
}

/// Guards against lost RPCs behind a client's last error: a statement that was sent behind it got no answer as the
/// connection was closed.
#[test]
fn a_statement_behind_the_last_error_of_a_client_is_answered() {
    let valid = || query(&statement("20", "read", 480, "1"));
    let four_errors = query("SELECT 1").repeat(4);
    for (name, bytes, expected) in [
        (
            "four errors",
            [four_errors, valid()].concat(),
            ["42601", "42601", "42601", "42601", "53300"].as_slice(),
        ),
        ("unknown message", [frame(b'z', b""), valid()].concat(), &["08P01", "53300"]),
    ] {
        let mut simulation = Simulation::new(vec![255; 4000]);
        let id = accept_client(&mut simulation, expected.len());
        simulation.receive(id, &[startup(), bytes].concat());
        assert_eq!(sqlstates_until_closed(&mut simulation, id), expected, "{name}");
    }
}

/// Lets time pass until the client's connection is closed, which must be within a second, and returns the SQLSTATEs of
/// the client's answers.
fn sqlstates_until_closed(simulation: &mut Simulation, id: ConnectionId) -> Vec<String> {
    let mut answers = Vec::new();
    for _ in 0..200 {
        if !simulation.clients.contains_key(&id) {
            return answers.into_iter().map(|(_, code)| code).collect();
        }
        answers = answers_of(simulation, id);
        simulation.advance(Span::from_millis(5));
    }
    panic!("the connection is not closed, after the answers {answers:?}");
}

/// Guards against lost RPCs of a client that is evicted in the pause after its error, when a statement behind the error
/// has been read already.
#[test]
fn a_client_evicted_in_the_pause_after_an_error_has_its_statements_answered() {
    let mut launch = default_launch();
    launch.limits.clients_before_eviction = 0;
    let mut simulation = Simulation::with_launch(vec![255; 4000], launch);
    let id = accept_client(&mut simulation, 4);
    let bytes = [query("SELECT 1").repeat(3), query(&statement("20", "read", 480, "1"))].concat();
    simulation.receive(id, &[startup(), bytes].concat());
    // The third error is answered after 300 ms, the pause behind it is 400 ms, and a client in the middle of its input
    // is evicted after 250 ms.
    assert_eq!(sqlstates_until_closed(&mut simulation, id), ["42601", "42601", "42601", "53300"]);
}

/// Guards against lost RPCs late in a shutdown: a connection whose statement was rejected was closed without a last look
/// at its socket, in which the next statement may have arrived.
#[test]
fn a_connection_is_read_once_more_before_it_is_closed_late_in_a_shutdown() {
    let mut simulation = Simulation::new(vec![255; 4000]);
    let id = accept_client(&mut simulation, 2);
    let [first, second] = [20, 21].map(|id| query(&statement(&id.to_string(), "read", 480, "1")));
    let (begun, rest) = first.split_at(20);
    simulation.receive(id, &[startup().as_slice(), begun].concat());
    simulation.apply(Event::Terminate);
    simulation.advance(Span::from_millis(650));
    simulation.receive(id, rest);
    simulation.write(id);
    assert_eq!(answers_of(&simulation, id), [error_answer("57P03")]);
    let mut effects = Vec::new();
    while !effects.iter().any(|effect| matches!(effect, Effect::CloseIfQuiet(_) | Effect::Close(_))) {
        effects = simulation.reducer.handle(simulation.now, Event::Tick);
    }
    assert!(effects.contains(&Effect::CloseIfQuiet(id)), "closed without a last look: {effects:?}");
    // The last look finds the second statement.
    simulation.receive(id, &second);
    simulation.write(id);
    assert_eq!(answers_of(&simulation, id), vec![error_answer("57P03"); 2]);
    simulation.advance(Span::ZERO);
    simulation.advance(Span::ZERO);
    assert!(simulation.exited, "the process ends once nothing more arrives");
}

/// A client that goes on sending late in a shutdown does not keep the process from ending.
#[test]
fn a_client_that_sends_without_a_pause_does_not_delay_the_end_of_a_shutdown_for_long() {
    let mut simulation = Simulation::new(vec![255; 4000]);
    let id = accept_client(&mut simulation, 0);
    simulation.clients.get_mut(&id).expect("the client is connected").broke_protocol = true;
    simulation.receive(id, &startup());
    simulation.apply(Event::Terminate);
    let end = simulation.now + Span::from_millis(3000);
    while !simulation.exited && simulation.now < end {
        if simulation.clients.contains_key(&id) {
            simulation.feed(id, &query(""));
        }
        simulation.advance(Span::from_millis(2));
    }
    assert!(simulation.exited, "the process still runs 3 s after SIGTERM");
}
