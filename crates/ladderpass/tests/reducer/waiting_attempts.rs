//! Attempts that wait for a connection to their member, while what the routing decision rested on changes.

use crate::common::{chunk, empty_query_response, frame, instance, query, row, startup, statement};
use crate::scenarios::{FirstAttempt, send_first_attempt_in};
use crate::simulation::{Client, MemberConnection, Simulation, launch_changed_by};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;

/// How long the reads wait for their connections in all, of which the first half passes before the news arrives.
const WAIT: Span = Span::from_millis(200);

/// What shows the router that the member which was the primary no longer is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum News {
    /// The member answers a write that it is not the primary.
    WriteRefused,
    /// The member answers an RPC, and shows in the answer that it is a replica.
    AnsweredAsReplica,
    /// The member reports in a health check that it is a replica.
    HealthCheck,
    /// Another member reports in a health check that it is the primary.
    OtherPrimary,
    /// The endpoint list gives the member another address, after the member has answered a write that it is not the
    /// primary.
    NewAddress,
}

/// A router of three members that serves fresh reads, and whose primary has the first attempt of a write in flight.
fn write_in_flight() -> FirstAttempt {
    let launch = launch_changed_by(|text| text.replace("[\"bounded\",\"write\"]", "[\"fresh\",\"write\"]"));
    send_first_attempt_in(Simulation::with_launch(vec![255; 4000], launch), "write")
}

/// Accepts a client that sends a read with this id.
fn send_read(simulation: &mut Simulation, id: &str) {
    let text = statement(id, "read", 2000, "1");
    simulation.expect_statement(&text, false);
    let client = simulation.reducer.next_id();
    simulation.clients.insert(client, Client { broke_protocol: true, ..Client::default() });
    simulation.apply(Event::Accepted(client));
    simulation.feed(client, &startup());
    simulation.write(client);
    simulation.receive(client, &query(&text));
}

/// The connections to the member at this port on which a read is in flight.
fn reads_at(simulation: &Simulation, port: u16) -> Vec<ConnectionId> {
    let has_read = |member: &MemberConnection| member.query.as_deref().is_some_and(|q| q.contains("c=read"));
    let connections = simulation.member_connections.iter();
    let with_read = connections.filter(|(id, member)| simulation.ports[id] == port && has_read(member));
    with_read.map(|(id, _)| *id).collect()
}

/// The connections to the member at this port that are not established.
fn late_connections(simulation: &Simulation, port: u16) -> Vec<ConnectionId> {
    let connections = simulation.member_connections.iter();
    let late = connections.filter(|(id, member)| simulation.ports[id] == port && !member.is_established);
    late.map(|(id, _)| *id).collect()
}

/// An answer to a write from a member that is not the primary.
fn not_primary() -> Vec<u8> {
    let error = frame(b'E', b"SERROR\0C25006\0Mno primary\0\0");
    [error, frame(b'S', b"node_role\0follower\0"), frame(b'Z', b"I")].concat()
}

/// A member's answer to a health check, in which it reports that it has all data up to now.
fn load_report(simulation: &Simulation, is_primary: bool) -> Vec<u8> {
    let position = simulation.now.nanos() as u64 / 1_000_000;
    let report = format!("x0={}.{:03},x1={}", position / 1000, position % 1000, u8::from(is_primary));
    row(report.as_bytes(), "follower", position)
}

/// Lets time pass until a health check is in flight at the member at port `held`. All other health checks are answered,
/// by the member at port `primary` as the primary. Returns the connection of the health check.
fn await_health_check(simulation: &mut Simulation, primary: u16, held: u16) -> ConnectionId {
    for _ in 0..2000 {
        simulation.advance(Span::from_millis(50));
        for id in simulation.member_connections.keys().copied().collect::<Vec<_>>() {
            let port = simulation.ports[&id];
            if !simulation.member_connections[&id].is_established {
                simulation.establish(id);
            }
            match simulation.member_connections.get(&id).and_then(|member| member.query.as_deref()) {
                Some("SHOW server_load") if port == held => return id,
                Some("SHOW server_load") => {
                    let report = load_report(simulation, port == primary);
                    answer(simulation, id, &report);
                }
                _ => {}
            }
        }
    }
    panic!("no health check of the member at port {held}");
}

/// Answers the query on this connection, but not the empty query behind it, so that the connection is not free yet.
fn answer_query(simulation: &mut Simulation, connection: ConnectionId, answer: &[u8]) {
    simulation.member_connections.get_mut(&connection).expect("the connection is open").query = None;
    simulation.receive(connection, answer);
}

/// Answers the query on this connection, and the empty query behind it. The connection is then free.
fn answer(simulation: &mut Simulation, connection: ConnectionId, answer: &[u8]) {
    answer_query(simulation, connection, answer);
    answer_sync_query(simulation, connection);
}

fn answer_sync_query(simulation: &mut Simulation, connection: ConnectionId) {
    let member = simulation.member_connections.get_mut(&connection).expect("the connection is open");
    member.sync_query_queued = false;
    simulation.receive(connection, &empty_query_response());
    simulation.write(connection);
}

/// Answers the write that is in flight on this connection that the member is not the primary. The write has not run.
/// The connection is not free yet.
fn refuse_write(simulation: &mut Simulation, connection: ConnectionId) {
    simulation.statements.values_mut().for_each(|statement| statement.may_have_run = false);
    answer_query(simulation, connection, &not_primary());
}

/// A router of which some fresh reads are about to be sent to the primary, which soon is the primary no longer.
struct Demotion {
    simulation: Simulation,
    /// The port of the primary.
    port: u16,
    /// The connection on which the news will arrive.
    connection: ConnectionId,
}

fn before_demotion(news: News) -> Demotion {
    let FirstAttempt { mut simulation, connection, .. } = write_in_flight();
    let port = simulation.ports[&connection];
    let held = match news {
        News::WriteRefused | News::AnsweredAsReplica | News::NewAddress => {
            return Demotion { simulation, port, connection };
        }
        News::HealthCheck => port,
        News::OtherPrimary => other_port(port),
    };
    let position = simulation.now.nanos() as u64 / 1_000_000;
    answer(&mut simulation, connection, &row(b"7", "leader", position));
    let connection = await_health_check(&mut simulation, port, held);
    Demotion { simulation, port, connection }
}

fn other_port(port: u16) -> u16 {
    if port == 7000 { 7001 } else { 7000 }
}

/// Delivers the news that the member at `port` is the primary no longer.
fn deliver(simulation: &mut Simulation, news: News, port: u16, connection: ConnectionId) {
    let position = simulation.now.nanos() as u64 / 1_000_000;
    match news {
        News::WriteRefused => {
            refuse_write(simulation, connection);
            answer_sync_query(simulation, connection);
        }
        News::NewAddress => {
            refuse_write(simulation, connection);
            move_member(simulation, port);
        }
        News::AnsweredAsReplica => answer(simulation, connection, &row(b"7", "follower", position)),
        News::HealthCheck | News::OtherPrimary => {
            let report = load_report(simulation, news == News::OtherPrimary);
            answer(simulation, connection, &report);
        }
    }
}

/// Has discovery give the member at this port an address with a port that is ten higher.
fn move_member(simulation: &mut Simulation, port: u16) {
    let (watch, _) = simulation.watches[0];
    simulation.open_watch(watch);
    let n = usize::from(port - 7000);
    let entry = instance(n, &format!("127.0.0.1:{}", port + 10), "SERVING").replace("leader", "follower");
    let line = format!("{{\"generation\":2,\"reset\":false,\"instances\":[{entry}]}}\n");
    simulation.receive(watch, &chunk(line.as_bytes()));
}

/// Guards against stale reads at a former primary: a read that only the primary may serve waits for its connection, or
/// gets one that became free, after the router was shown that the member is not the primary any more.
#[test]
fn a_fresh_read_that_waited_for_its_connection_is_not_sent_to_a_former_primary() {
    let mut stale_reads = Vec::new();
    for news in
        [News::WriteRefused, News::AnsweredAsReplica, News::HealthCheck, News::OtherPrimary, News::NewAddress]
    {
        let Demotion { mut simulation, port, connection } = before_demotion(news);
        for nth in 0..4 {
            send_read(&mut simulation, &format!("1{nth}"));
        }
        let waiting = late_connections(&simulation, port);
        assert!(!waiting.is_empty(), "{news:?}: no read waits for a connection");
        simulation.advance(WAIT * 0.5);
        let before = reads_at(&simulation, port);
        deliver(&mut simulation, news, port, connection);
        simulation.advance(WAIT * 0.5);
        let port_now = if let News::NewAddress = news { port + 10 } else { port };
        for id in late_connections(&simulation, port_now) {
            simulation.establish(id);
        }
        let sent = [reads_at(&simulation, port), reads_at(&simulation, port + 10)].concat();
        stale_reads.extend(sent.iter().filter(|id| !before.contains(id)).map(|_| news));
        if news == News::OtherPrimary {
            let other = other_port(port);
            let decided_again =
                reads_at(&simulation, other).len() + late_connections(&simulation, other).len();
            assert!(decided_again > 0, "the reads go to the new primary");
        }
    }
    assert_eq!(stale_reads, [], "reads sent to the former primary, by the news that came before");
}

/// Guards against stale reads at a former primary whose address changes: a waiting read moves to the new address, and its
/// connection there is established at once.
#[test]
fn a_fresh_read_that_moved_to_a_new_address_is_not_sent_by_its_old_decision() {
    let Demotion { mut simulation, port, connection } = before_demotion(News::NewAddress);
    for nth in 0..4 {
        send_read(&mut simulation, &format!("1{nth}"));
    }
    simulation.advance(WAIT);
    deliver(&mut simulation, News::NewAddress, port, connection);
    let moved = late_connections(&simulation, port + 10);
    assert!(!moved.is_empty(), "no read waits for the new address");
    for id in moved {
        simulation.establish(id);
    }
    assert_eq!(reads_at(&simulation, port + 10), [], "reads sent to the former primary at its new address");
}
