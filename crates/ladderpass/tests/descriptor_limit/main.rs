//! A router with too few descriptors, and a router that starts with hundreds of members. The reducer runs on a simulated
//! machine that counts descriptors and has a simulated clock, while idle clients keep connecting.

#[path = "../common/mod.rs"]
mod common;
mod machine;

use common::{instance, query, startup, statement};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;
use machine::{ClientBytes, Discovery, address, machine};

/// Kinds of idle clients, each with its description.
const IDLE_CLIENTS: [(&str, ClientBytes); 4] = [
    ("send nothing", |_| Vec::new()),
    ("are idle after their startup", |_| startup()),
    ("stop within a statement", |_| [startup().as_slice(), b"Q\0\0"].concat()),
    ("do each of these in turn", |nth| {
        [Vec::new(), startup(), [startup().as_slice(), b"Q\0\0"].concat()][nth % 3].clone()
    }),
];

/// Idle clients use up the descriptors while discovery is down. Nevertheless the endpoint list is read within 6 s of
/// discovery's return, the new member in the list gets a health check, health checks continue, and statements are
/// served. All this holds even if the process has fewer descriptors than configured, as long as the router knows this
/// lower limit. If there are fewer descriptors than the router assumes, since the process's limit was lowered or the
/// system has no more, clients that are not accepted yet may have to wait or be rejected.
#[test]
fn idle_clients_do_not_starve_discovery_health_checks_and_attempts_of_descriptors() {
    let known_limits = [(64, 44), (96, 76), (256, 230), (1024, 1000)];
    let lowered_limits = [(24, 12), (64, 12), (1024, 12), (1024, 40), (1024, 300)];
    for (limit_is_known, (configured, free)) in known_limits
        .map(|limits| (true, limits))
        .into_iter()
        .chain(lowered_limits.map(|limits| (false, limits)))
    {
        for (name, idle_clients) in IDLE_CLIENTS {
            for outage in [Discovery::Down, Discovery::Silent] {
                let case = format!("{configured} configured, {free} free, {outage:?}, clients {name}");
                let mut machine = machine(3, configured, free);
                (machine.discovery, machine.idle_clients) = (outage, Some(idle_clients));
                machine.run_with_clients(0, 86, Span::from_millis(200));
                let entry = instance(5, &address(5), "SERVING");
                machine.list_line = format!("{{\"generation\":2,\"reset\":false,\"instances\":[{entry}]}}\n");
                machine.discovery = Discovery::Up;
                let returned_at = machine.now;
                machine.run_with_clients(86, 116, Span::from_millis(200));
                let listed_at = machine
                    .list_received_at
                    .unwrap_or_else(|| panic!("discovery sent no list within 6 s of its return: {case}"));
                machine.run_with_clients(116, 150, Span::from_millis(200));
                let health_check_deadline = listed_at + Span::from_millis(1000);
                let probed =
                    machine.health_checks.iter().any(|&(at, n)| n == 5 && at <= health_check_deadline);
                assert!(probed, "the new member got no health check: {case}");
                let probed =
                    |n: usize| machine.health_checks.iter().any(|&(at, of)| of == n && at >= returned_at);
                assert!((0..3).all(probed), "health checks of the other members have stopped: {case}");
                machine.run_for(Span::from_millis(2000));
                let unserved = machine.unserved(150);
                assert!(
                    !limit_is_known || unserved.is_empty(),
                    "clients without a row: {unserved:?}: {case}"
                );
            }
        }
    }
}

/// Idle clients hold all descriptors of the machine, which has fewer than the 1024 that the router assumes. When one of
/// these clients sends a statement, the statement's attempt gets a descriptor.
#[test]
fn an_attempt_takes_the_descriptor_of_an_idle_client_when_none_is_free() {
    for method in ["read", "write"] {
        for free in [8, 40, 200] {
            let mut machine = machine(3, 1024, free);
            machine.idle_clients = Some(|_| startup());
            machine.run_for(Span::from_millis(400));
            assert!(machine.free_descriptors == 0, "idle clients hold all descriptors");
            // Close the member connections that health checks have opened, so that idle clients take their descriptors.
            let member_connections: Vec<ConnectionId> = machine
                .member_connections
                .keys()
                .copied()
                .filter(|id| machine.open_connections.contains(id))
                .collect();
            member_connections.into_iter().for_each(|id| {
                machine.free_descriptors += usize::from(machine.open_connections.remove(&id));
                machine.apply(Event::Closed(id));
            });
            machine.run_for(Span::from_millis(20));
            assert!(machine.free_descriptors == 0, "idle clients hold all descriptors");
            let is_idle_client = |id: &ConnectionId| {
                !machine.member_connections.contains_key(id) && !machine.watches.contains(id)
            };
            let &client = machine
                .open_connections
                .iter()
                .rev()
                .find(|id| is_idle_client(id))
                .expect("an idle client is connected");
            machine.clients_by_connection.insert(client, 0);
            machine.receive(client, &query(&statement("7", method, 2000, "1")));
            machine.run_for(Span::from_millis(1000));
            assert_eq!(machine.unserved(1), [], "{method}, {free} free");
        }
    }
}

/// A router starts with 940 members in the cached endpoint list, a third of which are silent or unreachable, while
/// discovery is down or silent. Clients are accepted and served, both at once and later, with 1024 and with 4096
/// descriptors.
#[test]
fn a_router_started_with_940_members_accepts_and_serves_clients() {
    for sockets in [1024, 4096] {
        for discovery in [Discovery::Down, Discovery::Silent] {
            let case = format!("{sockets} descriptors, discovery {discovery:?}");
            let mut machine = machine(940, sockets, sockets - 20);
            machine.discovery = discovery;
            machine.is_silent = |n| n % 6 == 2;
            machine.is_unreachable = |n| n % 6 == 5;
            machine.waiting_clients.extend(0..10);
            machine.run_for(Span::from_millis(500));
            machine.run_with_clients(10, 110, Span::from_millis(50));
            machine.run_for(Span::from_millis(2000));
            let unserved = machine.unserved(110);
            assert!(unserved.is_empty(), "clients without a row: {unserved:?}: {case}");
            let last_answer =
                machine.answers.iter().filter(|(nth, _)| **nth < 10).map(|(_, (at, _))| *at).max();
            let last_ms = machine.ms(last_answer.expect("all first clients are served"));
            assert!(last_ms < 1000.0, "the first ten clients are served only by {last_ms} ms: {case}");
            println!(
                "{case}: first 10 clients served by {last_ms} ms, at most {} descriptors open",
                machine.max_open
            );
        }
    }
}
