//! Attempts of RPCs: until when an attempt may be sent, when an attempt is withdrawn, and how its answer is used.

use crate::common::{empty_query_response, frame, query, row, startup, statement};
use crate::scenarios::{FirstAttempt, clients_that_sent, send_first_attempt};
use crate::simulation::{Client, MemberConnection, Simulation, launch_changed_by};
use ladderpass::reducer::{ConnectionId, Effect, Event};
use ladderpass_routing::Span;

/// A bounded read (a read with a maximum staleness) is sent within a tick of the decision for a member, or later if the
/// member is still known to be fresh enough. Otherwise the read is decided again. A write may wait for its connection
/// in any case.
#[test]
fn a_bounded_read_that_waited_for_its_connection_is_sent_only_if_the_member_is_still_fresh_enough() {
    let max_staleness_ms = 800;
    let waited_ms = 100;
    for (method, age_ms, expected) in [
        ("read", 0, true),
        ("read", max_staleness_ms - waited_ms - 10, true),
        ("read", max_staleness_ms - waited_ms, false),
        ("read", max_staleness_ms - 10, false),
        ("write", 0, true),
    ] {
        let text = |nth: usize| statement(&nth.to_string(), method, 2000, "1");
        let mut simulation = clients_that_sent(8, |nth| query(&text(nth)));
        (0..8).for_each(|nth| simulation.expect_statement(&text(nth), true));
        let position = (simulation.now.nanos() / 1_000_000) as u64 - age_ms;
        let health_checked: Vec<ConnectionId> = simulation.member_connections.keys().copied().collect();
        for (nth, &id) in health_checked.iter().enumerate() {
            simulation.establish(id);
            simulation.member_connections.get_mut(&id).expect("the member connection is open").query = None;
            let seconds = position as f64 / 1e3;
            let report = format!("x0={seconds:.3},x1={}", u8::from(nth == 0));
            simulation.feed(id, &row(report.as_bytes(), "follower", position));
            simulation.write(id);
        }
        simulation.advance(Span::ZERO);
        let late_connections: Vec<ConnectionId> =
            simulation.member_connections.keys().filter(|id| !health_checked.contains(id)).copied().collect();
        assert!(
            !late_connections.is_empty(),
            "no {method} waits for a connection, with data {age_ms} ms old"
        );
        simulation.now = simulation.now + Span::from_millis(waited_ms as i64);
        // Only the first late connection is established, since a read that is decided again may be sent on one of the
        // others.
        simulation.establish(late_connections[0]);
        let is_sent = simulation.member_connections[&late_connections[0]].query.is_some();
        assert_eq!(is_sent, expected, "is a {method} of data {age_ms} ms old sent?");
    }
}

/// A second statement of a client arrives while the client's first is in flight. A member answers the first statement
/// late, and the second never. The client leaves 400 ms after it sent the second statement. So the deadline of the
/// second statement is 400 ms after the statement was sent, and not 400 ms after the first statement was answered.
#[test]
fn the_deadline_of_a_pipelined_statement_runs_from_when_it_was_sent() {
    for first_answer_ms in [100, 300, 390, 700] {
        let FirstAttempt { mut simulation, client, connection } = send_first_attempt("read");
        let text = statement("9", "read", 400, "1");
        simulation.expect_statement(&text, false);
        let client_state = simulation.clients.get_mut(&client).expect("the client is connected");
        let deadline = simulation.now + Span::from_millis(400);
        (client_state.deadlines, client_state.rpc_ids) =
            (vec![client_state.deadlines[0], deadline], vec!["7".to_owned(), "9".to_owned()]);
        simulation.feed(client, &query(&text));
        let position = simulation.now.nanos() as u64 / 1_000_000;
        for step in 0..=180 {
            simulation.advance(Span::from_millis(5));
            if step * 5 == first_answer_ms {
                simulation.feed(connection, &row(b"7", "follower", position));
                simulation.write(client);
            }
            let client_state = &simulation.clients[&client];
            let answered_by_ms = first_answer_ms.max(400) + 10;
            assert!(
                step * 5 < answered_by_ms || client_state.answers == 2,
                "first answer after {first_answer_ms} ms: no second answer at {} ms",
                step * 5
            );
        }
    }
}

/// A member connection is reused only once nothing more can follow the last answer on it, so that surplus bytes after
/// an answer are never taken for the answer to another RPC.
#[test]
fn surplus_bytes_after_an_answer_close_the_connection_before_it_is_reused() {
    for surplus in [row(b"7", "follower", 1), b"\x07noise".to_vec(), frame(b'S', b"server_load\0x")] {
        let FirstAttempt { mut simulation, client, connection } = send_first_attempt("read");
        simulation.member_connections.get_mut(&connection).expect("the member connection is open").query =
            None;
        simulation.feed(connection, &row(b"7", "follower", 1));
        simulation.write(client);
        assert_eq!(simulation.clients[&client].answers, 1);
        assert!(
            simulation.member_connections[&connection].sync_query_queued,
            "an empty query follows the one that was answered"
        );
        simulation.feed(connection, &surplus);
        simulation.feed(connection, &empty_query_response());
        assert!(!simulation.member_connections.contains_key(&connection));
    }
}

/// The time for which a query waits in the router to be written, or an answer to be read, is not counted as answer time
/// of the member. Otherwise a busy router would take idle members for overloaded ones.
#[test]
fn the_answer_time_of_a_member_excludes_delays_of_the_router() {
    let FirstAttempt { mut simulation, client, connection } = send_first_attempt("read");
    let before = simulation.reducer.answered_attempts();
    simulation.now = simulation.now + Span::from_millis(300);
    let answer = row(b"7", "follower", simulation.now.nanos() as u64 / 1_000_000);
    let space = simulation.reducer.read_buffer(connection);
    space[..answer.len()].copy_from_slice(&answer);
    simulation.apply(Event::Received(connection, answer.len(), Span::from_millis(299)));
    simulation.write(client);
    assert_eq!(simulation.clients[&client].answers, 1);
    let (count, time) = simulation.reducer.answered_attempts();
    assert_eq!(count, before.0 + 1);
    assert!(
        time - before.1 < Span::from_millis(20),
        "answer times sum up to {time:?}, but the member took a millisecond"
    );
}

/// A client leaves before any byte of its query is written to the member, or after part of the query is written. The
/// member never gets the whole query. Over loopback the kernel accepts every statement at once, so this test simulates
/// a socket that accepts nothing.
#[test]
fn a_query_that_is_not_fully_written_when_its_client_leaves_is_withdrawn() {
    for written in [0, 10] {
        let FirstAttempt { mut simulation, connection, .. } = send_first_attempt("write");
        let position = simulation.now.nanos() as u64 / 1_000_000;
        simulation.receive(connection, &[row(b"7", "leader", position), empty_query_response()].concat());
        let client = simulation.reducer.next_id();
        simulation.clients.insert(client, Client { broke_protocol: true, ..Client::default() });
        simulation.apply(Event::Accepted(client));
        let bytes = [startup(), query(&statement("8", "write", 2000, "1"))].concat();
        simulation.reducer.read_buffer(client)[..bytes.len()].copy_from_slice(&bytes);
        // The effects of these events are not carried out, since the simulated socket to the member accepts nothing.
        for event in [Event::Received(client, bytes.len(), Span::ZERO), Event::Tick] {
            simulation.reducer.handle(simulation.now, event);
        }
        let output = String::from_utf8_lossy(simulation.reducer.outgoing(connection)).into_owned();
        assert!(output.contains("id=8,"), "not in the output: {output}");
        if written > 0 {
            simulation.reducer.handle(simulation.now, Event::Written(connection, written));
        }
        let effects = simulation.reducer.handle(simulation.now, Event::Closed(client));
        assert_eq!(
            effects.contains(&Effect::Close(connection)),
            written > 0,
            "a connection is closed if part of a query is written"
        );
        assert!(simulation.reducer.outgoing(connection).is_empty(), "no more of the query is sent");
        let in_flight = simulation.reducer.attempts_in_flight();
        assert_eq!((in_flight.rpcs, in_flight.connections), (0, 0));
    }
}

/// The socket to a member accepts part of a statement or none of it. The time left that the statement carries, and the
/// freshness of a read's data, must still be right when the statement's last byte is written. So the attempt of
/// a write is withdrawn if the statement is not written within 100 ms, and the attempt of a read if the statement is not
/// written within a tick of 5 ms.
#[test]
fn a_query_that_the_socket_does_not_accept_in_time_is_withdrawn() {
    for (method, timeout_ms) in [("write", 100), ("read", 5)] {
        for written in [0, 10] {
            let FirstAttempt { mut simulation, client, connection } = send_first_attempt(method);
            let position = simulation.now.nanos() as u64 / 1_000_000;
            simulation.receive(connection, &[row(b"7", "leader", position), empty_query_response()].concat());
            simulation.write(client);
            simulation.clients.get_mut(&client).expect("the client is connected").broke_protocol = true;
            let bytes = query(&statement("8", method, 2000, "1"));
            simulation.reducer.read_buffer(client)[..bytes.len()].copy_from_slice(&bytes);
            // The effects of these events are not carried out, since the simulated socket to the member accepts
            // nothing.
            for event in [Event::Received(client, bytes.len(), Span::ZERO), Event::Tick] {
                simulation.reducer.handle(simulation.now, event);
            }
            let carries_statement = |&&id: &&ConnectionId| {
                String::from_utf8_lossy(simulation.reducer.outgoing(id)).contains("id=8,")
            };
            let Some(&connection) = simulation.member_connections.keys().find(carries_statement) else {
                panic!("{method}: the attempt is not sent")
            };
            if written > 0 {
                simulation.reducer.handle(simulation.now, Event::Written(connection, written));
            }
            simulation.reducer.handle(simulation.now, Event::WriteBlocked(connection));
            let after_timeout = simulation.now + Span::from_millis(timeout_ms + 1);
            let effects = simulation.reducer.handle(after_timeout, Event::Tick);
            assert!(
                effects.contains(&Effect::Close(connection)),
                "{method}, {written} bytes written: the connection is not closed, but {effects:?}"
            );
        }
    }
}

/// The position of a session's last write is compared with the positions that members report, and not with the router's
/// clock, which may be behind the positions of the write and of the members. In this test all members report positions
/// 0.8 s ahead of the router's clock. If the write is 100 ms after the members' positions, the session's read goes to
/// the primary; if the write is 100 ms before them, the read goes to a replica.
#[test]
fn a_session_read_sees_the_last_write_although_the_clock_is_behind() {
    for (short_by_ms, port) in [(100_i64, 7000), (-100, 7001)] {
        let session = |text: String| text.replace("[\"bounded\",\"write\"]", "[\"session\",\"write\"]");
        let mut simulation = Simulation::with_launch(vec![255; 600], launch_changed_by(session));
        let client = simulation.reducer.next_id();
        simulation.clients.insert(client, Client { broke_protocol: true, ..Client::default() });
        simulation.apply(Event::Accepted(client));
        let position_ms = simulation.now.nanos() / 1_000_000 + 800;
        let last_write = format!(",cluster=1,after={} */", position_ms + short_by_ms);
        let text = statement("7", "read", 2000, "1").replace(",cluster=1 */", &last_write);
        simulation.expect_statement(&text, false);
        simulation.receive(client, &startup());
        for _ in 0..6 {
            simulation.advance(Span::from_millis(5));
            for id in simulation.member_connections.keys().copied().collect::<Vec<_>>() {
                if !simulation.member_connections[&id].is_established {
                    simulation.establish(id);
                }
                let Some(member) = simulation.member_connections.get_mut(&id) else { continue };
                if member.query.take().is_some() {
                    let is_primary = simulation.ports[&id] == 7000;
                    let report = format!(
                        "x0={}.{:03},x1={}",
                        position_ms / 1000,
                        position_ms % 1000,
                        u8::from(is_primary)
                    );
                    simulation.feed(id, &row(report.as_bytes(), "follower", 0));
                } else if std::mem::take(&mut member.sync_query_queued) {
                    simulation.feed(id, &empty_query_response());
                }
            }
        }
        simulation.receive(client, &query(&text));
        simulation.advance(Span::ZERO);
        let port_with_read = |(id, member): (&ConnectionId, &MemberConnection)| {
            let has_read = member.query.as_deref().is_some_and(|text| text.contains("id=7,"));
            has_read.then(|| simulation.ports[id])
        };
        let ports_with_read: Vec<u16> = simulation
            .member_connections
            .iter()
            .filter_map(port_with_read)
            .map(|port| port.min(7001))
            .collect();
        assert_eq!(ports_with_read, [port], "positions {short_by_ms} ms behind the write");
    }
}

/// The router gives up an answer of a member that begins and does not end after 250 ms, which leaves time for another
/// attempt.
#[test]
fn an_answer_that_does_not_end_is_given_up_before_the_deadline() {
    let FirstAttempt { mut simulation, client, connection } = send_first_attempt("read");
    simulation.feed(connection, &row(b"7", "follower", 1)[..40]);
    (0..60).for_each(|_| simulation.advance(Span::from_millis(5)));
    assert!(!simulation.member_connections.contains_key(&connection), "the attempt is given up");
    assert_eq!(simulation.clients[&client].answers, 0, "the read may be retried");
    let FirstAttempt { mut simulation, client, connection } = send_first_attempt("write");
    simulation.feed(connection, &row(b"7", "leader", 1)[..40]);
    (0..60).for_each(|_| simulation.advance(Span::from_millis(5)));
    assert_eq!(simulation.clients[&client].answers, 1, "the write may have run, so its client gets an error");
}
