//! Cancel requests, in each state of the RPC that is to be cancelled.

use crate::common::{empty_query_response, error_response, id_and_rest, query, row, startup, statement};
use crate::scenarios::{FirstAttempt, answers_of, error_answer, send_first_attempt, served_answer};
use crate::simulation::{Client, MemberConnection, Simulation};
use ladderpass::reducer::Event;
use ladderpass_routing::Span;

/// Each client connection has a cancel key of its own. A cancel request has no effect if one bit of the key in the
/// request is wrong, if no connection has that key, or if the connection with that key has no RPC in flight.
#[test]
fn a_cancel_request_has_an_effect_only_with_the_key_of_the_connection() {
    let FirstAttempt { mut simulation, client, connection } = send_first_attempt("read");
    let (process, secret) = simulation.cancel_key_of(client);
    for bit in 0..32 {
        simulation.send_cancel_request((process, secret ^ 1 << bit));
        simulation.send_cancel_request((process ^ 1 << bit, secret));
    }
    let other = simulation.reducer.next_id();
    simulation.clients.insert(other, Client::default());
    simulation.apply(Event::Accepted(other));
    simulation.receive(other, &startup());
    simulation.write(other);
    let idle = simulation.cancel_key_of(other);
    assert!(idle.1 != secret && idle.0 != process);
    simulation.send_cancel_request(idle);
    simulation.send_cancel_request((process, idle.1));
    assert_eq!(answers_of(&simulation, client), []);
    simulation.member_connections.get_mut(&connection).expect("the member connection is open").query = None;
    simulation.receive(connection, &row(b"7", "follower", 1));
    simulation.send_cancel_request((process, secret));
    simulation.advance(Span::ZERO);
    assert_eq!(
        (answers_of(&simulation, client), answers_of(&simulation, other)),
        (vec![served_answer()], vec![])
    );
}

/// No member has answered anything yet, so the client's first statement is pending. Once the first statement is
/// cancelled, it is answered at once and never sent, and the client's next statement is served.
#[test]
fn a_cancelled_pending_statement_is_answered_at_once_and_the_next_one_is_served() {
    let mut simulation = Simulation::new(vec![255; 600]);
    let client = simulation.reducer.next_id();
    let deadlines = vec![simulation.now + Span::from_millis(2000); 2];
    let rpc_ids = vec!["7".to_owned(), "8".to_owned()];
    simulation.clients.insert(client, Client { deadlines, rpc_ids, ..Client::default() });
    simulation.apply(Event::Accepted(client));
    let texts = [statement("7", "write", 2000, "1"), statement("8", "write", 2000, "1")];
    for text in &texts {
        simulation.expect_statement(text, true);
    }
    simulation.receive(client, &[startup(), query(&texts[0]), query(&texts[1])].concat());
    simulation.write(client);
    assert_eq!(answers_of(&simulation, client), []);
    simulation.send_cancel_request(simulation.cancel_key_of(client));
    assert_eq!(answers_of(&simulation, client), [error_answer("57014")]);
    for _ in 0..200 {
        simulation.advance(Span::from_millis(5));
        let position = simulation.now.nanos() as u64 / 1_000_000;
        for id in simulation.member_connections.keys().copied().collect::<Vec<_>>() {
            let Some(member) = simulation.member_connections.get_mut(&id) else { continue };
            if !member.is_established {
                simulation.establish(id);
            } else if let Some(query_text) = member.query.take() {
                assert_ne!(id_and_rest(&query_text).0, "7", "the cancelled RPC is sent");
                let report = format!("x0={}.9,x1=1", position / 1000);
                let value =
                    if query_text == "SHOW server_load" { report } else { id_and_rest(&query_text).0 };
                simulation.feed(id, &row(value.as_bytes(), "leader", position));
            } else if std::mem::take(&mut member.sync_query_queued) {
                simulation.feed(id, &empty_query_response());
            }
        }
    }
    assert_eq!(answers_of(&simulation, client), [error_answer("57014"), served_answer()]);
}

/// When an RPC is cancelled, the query of the RPC is not written to the member yet, or only in part. The client is
/// answered at once, and no more of the query is sent.
#[test]
fn a_query_that_is_not_fully_written_when_it_is_cancelled_is_withdrawn() {
    for written in [0, 10] {
        let FirstAttempt { mut simulation, connection, .. } = send_first_attempt("write");
        let position = simulation.now.nanos() as u64 / 1_000_000;
        simulation.receive(connection, &[row(b"7", "leader", position), empty_query_response()].concat());
        let client = simulation.reducer.next_id();
        let deadlines = vec![simulation.now + Span::from_millis(2000)];
        simulation.clients.insert(client, Client { deadlines, ..Client::default() });
        simulation.apply(Event::Accepted(client));
        simulation.receive(client, &startup());
        simulation.write(client);
        let bytes = query(&statement("8", "write", 2000, "1"));
        simulation.reducer.read_buffer(client)[..bytes.len()].copy_from_slice(&bytes);
        for event in [Event::Received(client, bytes.len(), Span::ZERO), Event::Tick] {
            simulation.reducer.handle(simulation.now, event);
        }
        assert!(String::from_utf8_lossy(simulation.reducer.outgoing(connection)).contains("id=8,"));
        if written > 0 {
            simulation.reducer.handle(simulation.now, Event::Written(connection, written));
        }
        simulation.send_cancel_request(simulation.cancel_key_of(client));
        assert_eq!(
            !simulation.member_connections.contains_key(&connection),
            written > 0,
            "a connection is closed if part of a query is written"
        );
        assert!(simulation.reducer.outgoing(connection).is_empty(), "no more of the query is sent");
        let in_flight = simulation.reducer.attempts_in_flight();
        assert_eq!((in_flight.rpcs, in_flight.connections), (0, 0));
        simulation.write(client);
        assert_eq!(answers_of(&simulation, client), [error_answer("57014")]);
    }
}

/// A cancelled RPC whose attempt is in flight is settled by the outcome of that attempt. The RPC is served if the
/// outcome is good. Otherwise no further attempt is made, and the answer says whether the RPC may have had an effect.
#[test]
fn no_further_attempt_is_made_for_an_rpc_cancelled_in_flight() {
    for (method, outcome, expected) in [
        ("read", "answered", served_answer()),
        ("write", "answered", served_answer()),
        ("read", "rejected", error_answer("57014")),
        ("write", "rejected", error_answer("57014")),
        ("read", "closed", error_answer("57014")),
        ("write", "closed", error_answer("58000")),
    ] {
        let FirstAttempt { mut simulation, client, connection } = send_first_attempt(method);
        let position = simulation.now.nanos() as u64 / 1_000_000;
        simulation.send_cancel_request(simulation.cancel_key_of(client));
        simulation.send_cancel_request(simulation.cancel_key_of(client));
        assert_eq!(answers_of(&simulation, client), [], "answered while the attempt is in flight");
        simulation.member_connections.get_mut(&connection).expect("the member connection is open").query =
            None;
        match outcome {
            "answered" => simulation.receive(
                connection,
                &row(b"7", if method == "read" { "follower" } else { "leader" }, position),
            ),
            "rejected" => simulation.receive(connection, &error_response("53300")),
            _ => {
                simulation.member_connections.remove(&connection);
                simulation.apply(Event::Closed(connection));
            }
        }
        simulation.advance(Span::ZERO);
        assert_eq!(answers_of(&simulation, client), [expected], "{method}, attempt {outcome}");
        for _ in 0..100 {
            simulation.advance(Span::from_millis(5));
            let carries_rpc =
                |member: &MemberConnection| member.query.as_ref().is_some_and(|text| text.contains("id=7,"));
            assert!(
                !simulation.member_connections.values().any(carries_rpc),
                "{method}, attempt {outcome}: a further attempt is made"
            );
        }
    }
}
