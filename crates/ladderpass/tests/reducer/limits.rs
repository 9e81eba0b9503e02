//! Limits on the number of clients and on the size of buffers and tables, and which clients are evicted at these
//! limits.

use crate::common::{chunk, frame, frames, instance, query, row, sqlstate, startup, statement};
use crate::scenarios::{FirstAttempt, clients_that_sent, send_first_attempt_in};
use crate::simulation::{Client, Simulation, default_launch};
use ladderpass::reducer::{ConnectionId, Effect, Event};
use ladderpass_overload::ResourceSample;
use ladderpass_routing::Span;

/// A client that reads nothing of a large answer is closed after the timeout of slow readers, 100 ms here, which frees
/// the client's buffers. A client that reads a few bytes every 100 ms is not closed.
#[test]
fn a_client_that_reads_nothing_is_closed_and_one_that_reads_slowly_is_not() {
    for reads_some in [false, true] {
        let FirstAttempt { mut simulation, client, connection } =
            send_first_attempt_in(Simulation::overloaded(vec![255; 600]), "read");
        let position = simulation.now.nanos() as u64 / 1_000_000;
        simulation.member_connections.get_mut(&connection).expect("the member connection is open").query =
            None;
        let value = row(&[b'v'; 60_000], "follower", position);
        let mut rest = &value[..];
        while !rest.is_empty() {
            let space = simulation.reducer.read_buffer(connection);
            let count = space.len().min(rest.len());
            space[..count].copy_from_slice(&rest[..count]);
            rest = &rest[count..];
            simulation.reducer.handle(simulation.now, Event::Received(connection, count, Span::ZERO));
        }
        assert!(
            simulation.reducer.outgoing(client).len() > 50_000,
            "the answer is in the client's output buffer"
        );
        let mut is_closed = false;
        for nth in 0..20 {
            simulation.now = simulation.now + Span::from_millis(50);
            let mut effects = simulation.reducer.handle(simulation.now, Event::WriteBlocked(client));
            if reads_some && nth % 2 == 0 {
                effects.extend(simulation.reducer.handle(simulation.now, Event::Written(client, 10)));
            }
            effects.extend(
                simulation.reducer.handle(simulation.now, Event::ResourcesSampled(ResourceSample::default())),
            );
            is_closed |= effects.contains(&Effect::Close(client));
        }
        assert_eq!(is_closed, !reads_some);
    }
}

#[test]
fn idle_clients_past_the_limit_are_evicted_and_busy_ones_are_not() {
    let max_clients = default_launch().limits.clients;
    let read = |id: usize| query(&statement(&id.to_string(), "read", 480, "1"));
    // All clients, `Limits::clients` of them, are busy. Each further client gets an error at once and is closed after
    // 50 ms in which it sent nothing more, and no client that waits for an answer is closed.
    let mut simulation = clients_that_sent(max_clients + 40, read);
    let answered = simulation.clients.values().filter(|client| client.answers == 1).count();
    assert_eq!((simulation.clients.len(), answered), (max_clients + 40, 40));
    simulation.advance(Span::ZERO);
    simulation.advance(Span::from_millis(55));
    assert_eq!(simulation.clients.len(), max_clients);
    assert!(
        simulation.clients.values().all(|client| client.answers == 0),
        "only rejected clients are closed"
    );
    // All `Limits::clients` clients are idle, but none has been idle long enough to be evicted, so none is
    // closed. 110 ms later the idle clients in excess of `Limits::clients_before_eviction` are closed, except
    // one whose query is read before its close: this client stays and is served.
    let mut simulation = clients_that_sent(max_clients, read);
    (0..49).for_each(|_| simulation.advance(Span::from_millis(5)));
    let ids: Vec<ConnectionId> = simulation.clients.keys().copied().collect();
    assert_eq!(ids.len(), max_clients);
    simulation.now = simulation.now + Span::from_millis(110);
    let id = simulation.reducer.next_id();
    simulation.clients.insert(id, Client::default());
    simulation.apply(Event::Accepted(id));
    simulation
        .clients
        .get_mut(&ids[0])
        .expect("the client is connected")
        .deadlines
        .push(simulation.now + Span::from_millis(480));
    simulation.feed(ids[0], &read(max_clients));
    simulation.advance(Span::ZERO);
    let eviction_limit = default_launch().limits.clients_before_eviction;
    assert!(simulation.clients.contains_key(&ids[0]) && simulation.clients.contains_key(&id));
    assert!(
        (eviction_limit..eviction_limit + 3).contains(&simulation.clients.len()),
        "{} clients where {eviction_limit} are allowed",
        simulation.clients.len()
    );
}

#[test]
fn memory_of_all_buffers_stays_within_its_limit() {
    let limits = default_launch().limits;
    let mut simulation = clients_that_sent(limits.clients, |_| Vec::new());
    let ids: Vec<ConnectionId> = simulation.clients.keys().copied().collect();
    let mut buffered_bytes = 0;
    for &id in &ids {
        // The bytes are a statement of the maximum length without its last byte.
        let mut statement = [&b"Q"[..], &(limits.statement_bytes as u32 - 1).to_be_bytes()].concat();
        statement.resize(limits.statement_bytes - 1, b' ');
        let mut rest = &statement[..];
        while !rest.is_empty() {
            let space = simulation.reducer.read_buffer(id);
            let count = space.len().min(rest.len());
            if count == 0 {
                break;
            }
            space[..count].copy_from_slice(&rest[..count]);
            rest = &rest[count..];
            buffered_bytes += count;
            simulation.apply(Event::Received(id, count, Span::ZERO));
        }
    }
    let max_bytes = limits.pause_clients_at_buffer_bytes;
    assert!(
        buffered_bytes > max_bytes / 2 && buffered_bytes < max_bytes + limits.client_buffer_bytes,
        "{buffered_bytes} bytes in buffers where {max_bytes} are allowed"
    );
    // Clients whose input waits for buffer memory are read again once other clients have left.
    let mut effects = Vec::new();
    for &id in &ids[..ids.len() / 2] {
        effects.extend(simulation.reducer.handle(simulation.now, Event::Closed(id)));
    }
    let last = ids[ids.len() - 1];
    assert!(effects.contains(&Effect::Read(last)) && !simulation.reducer.read_buffer(last).is_empty());
}

/// The id of an RPC is remembered while the RPC is open, so that a second RPC with this id is rejected. This holds even
/// if more RPCs with later deadlines follow than `Limits::remembered_ids`.
#[test]
fn the_id_of_an_open_rpc_is_not_forgotten_when_many_others_follow() {
    let mut launch = default_launch();
    launch.limits.remembered_ids = 2;
    let FirstAttempt { mut simulation, client, .. } =
        send_first_attempt_in(Simulation::with_launch(vec![255; 600], launch), "write");
    for nth in 100..110 {
        let other_client = simulation.reducer.next_id();
        simulation.clients.insert(other_client, Client { broke_protocol: true, ..Client::default() });
        simulation.apply(Event::Accepted(other_client));
        let text = statement(&nth.to_string(), "read", 3_000_000, "1");
        simulation.expect_statement(&text, false);
        simulation.receive(other_client, &[startup(), query(&text)].concat());
    }
    let second_client = simulation.reducer.next_id();
    simulation.clients.insert(second_client, Client { broke_protocol: true, ..Client::default() });
    simulation.apply(Event::Accepted(second_client));
    simulation.receive(second_client, &[startup(), query(&statement("7", "write", 2000, "1"))].concat());
    simulation.write(second_client);
    let (received, _) = frames(&simulation.clients[&second_client].received);
    assert_eq!(
        received.iter().find(|(kind, _)| *kind == b'E').map(|(_, body)| sqlstate(body)),
        Some("23505".into())
    );
    assert_eq!(simulation.clients[&client].answers, 0, "the RPC is still open");
}

/// Many clients send nothing, or half a statement. Those in excess of `Limits::clients_before_eviction` are evicted
/// once their input was awaited for 50 ms (clients that sent nothing) or 250 ms (half a statement), and the others are
/// closed within a further 2.5 s.
#[test]
fn clients_without_a_complete_statement_are_evicted_and_closed() {
    let limits = default_launch().limits;
    for (sent, evicted_after_ms) in [(&b""[..], 60), (&b"Q\0\0"[..], 260)] {
        let mut simulation = clients_that_sent(0, |_| Vec::new());
        let mut accepting = true;
        while accepting {
            let id = simulation.reducer.next_id();
            let effects = simulation.reducer.handle(simulation.now, Event::Accepted(id));
            accepting = !effects.contains(&Effect::Accept(false));
            simulation.clients.insert(id, Client { broke_protocol: true, ..Client::default() });
            if !sent.is_empty() {
                simulation.receive(id, &[startup().as_slice(), sent].concat());
            }
        }
        assert!(simulation.clients.len() >= limits.clients_accepted);
        assert!(
            simulation
                .reducer
                .wake_at()
                .is_some_and(|at| at <= simulation.now + Span::from_millis(evicted_after_ms))
        );
        simulation.advance(Span::from_millis(evicted_after_ms));
        assert!(
            simulation.clients.len() <= limits.clients_before_eviction,
            "too many clients after {evicted_after_ms} ms"
        );
        (0..500).for_each(|_| simulation.advance(Span::from_millis(5)));
        assert_eq!(simulation.clients.len(), 0, "all get an error or are closed within 2.5 s");
    }
}

/// Members are replaced by new ones with new ids 198 times, every 4 s of simulated time. The router's table of members
/// does not grow with the number of replacements.
#[test]
fn the_member_table_does_not_grow_when_members_are_replaced() {
    let mut simulation = clients_that_sent(0, |_| Vec::new());
    for generation in 2..200 {
        // By the protocol discovery sends an empty line every 2 s.
        for _ in 0..2 {
            simulation.now = simulation.now + Span::from_millis(2000);
            if let Some(&(id, true)) = simulation.watches.first() {
                simulation.feed(id, b"1\r\n\n\r\n");
            }
            simulation.advance(Span::ZERO);
        }
        let Some((id, is_open)) = simulation.watches.first().copied() else { continue };
        if !is_open {
            simulation.open_watch(id);
        }
        let entry = |n: usize, lifecycle| instance(n, "127.0.0.1:7000", lifecycle);
        let entries = [entry(generation + 3, "SERVING"), entry(generation, "DELETED")].join(",");
        let line = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[{entries}]}}\n");
        simulation.feed(id, &chunk(line.as_bytes()));
    }
    assert!(simulation.reducer.member_count() < 30, "{} members", simulation.reducer.member_count());
}

/// Clients that keep their connections open after one statement do not prevent other clients from connecting.
#[test]
fn clients_that_stay_connected_after_one_statement_do_not_keep_others_out() {
    let max_clients = default_launch().limits.clients_before_eviction + 30;
    let mut simulation = clients_that_sent(0, |_| Vec::new());
    let mut statement_count = 0;
    for _ in 0..200 {
        for _ in 0..10 {
            let id = simulation.reducer.next_id();
            let deadlines = vec![simulation.now + Span::from_millis(60)];
            simulation.clients.insert(id, Client { deadlines, ..Client::default() });
            simulation.apply(Event::Accepted(id));
            statement_count += 1;
            simulation.feed(
                id,
                &[startup(), query(&statement(&statement_count.to_string(), "read", 60, "1"))].concat(),
            );
            simulation.write(id);
        }
        (0..4).for_each(|_| simulation.advance(Span::from_millis(5)));
        assert!(
            simulation.reducer.accepts_clients() && simulation.clients.len() < max_clients,
            "{} clients",
            simulation.clients.len()
        );
    }
}

/// Guards against late answers to other clients: a client that sent small messages at full speed had as many of them
/// handled in each iteration of the event loop as its whole input held, instead of `Limits::statements_per_iteration`.
#[test]
fn each_client_has_the_same_share_of_an_iteration_however_fast_it_sends() {
    let per_iteration = default_launch().limits.statements_per_iteration;
    let mut simulation = clients_that_sent(1, |_| Vec::new());
    let id = *simulation.clients.keys().next().expect("the client is connected");
    simulation.write(id);
    simulation.clients.get_mut(&id).expect("the client is connected").broke_protocol = true;
    // Each Sync message gets one answer. Eight pieces arrive in each iteration, as a socket is read up to eight times.
    let (message, answer) = (frame(b'S', b""), frame(b'Z', b"I"));
    let (piece_bytes, mut sent) = (250, 0);
    let messages = message.repeat(piece_bytes);
    for iteration in 0..10 {
        for _ in 0..8 {
            let space = simulation.reducer.read_buffer(id);
            let (from, count) = (sent % message.len(), space.len().min(piece_bytes));
            space[..count].copy_from_slice(&messages[from..from + count]);
            sent += count;
            simulation.reducer.handle(simulation.now, Event::Received(id, count, Span::ZERO));
        }
        let written = simulation.reducer.outgoing(id).len();
        simulation.reducer.handle(simulation.now, Event::Written(id, written));
        simulation.reducer.handle(simulation.now, Event::Tick);
        let handled = simulation.reducer.outgoing(id).len() / answer.len();
        assert!((1..=per_iteration).contains(&handled), "{handled} messages in iteration {iteration}");
    }
}
