//! Ids of RPCs that have ended: which of them a client may use again.

use crate::common::{query, row, startup, statement};
use crate::scenarios::{
    FirstAttempt, answers_of, clients_that_sent, send_first_attempt, send_first_attempt_in,
};
use crate::simulation::{Client, Simulation, default_launch};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;

/// Lets time pass until the client has this many answers, for at most 3 s, and returns the SQLSTATEs of all answers.
fn errors_once_answered(simulation: &mut Simulation, client: ConnectionId, answers: usize) -> Vec<String> {
    for _ in 0..600 {
        if answers_of(simulation, client).len() >= answers {
            break;
        }
        simulation.advance(Span::from_millis(5));
    }
    answers_of(simulation, client).into_iter().map(|(_, error)| error).collect()
}

/// Has a client send a statement with the RPC id 7 once more.
fn send_again(simulation: &mut Simulation, client: ConnectionId, method: &str) {
    let deadline = simulation.now + Span::from_millis(480);
    simulation.clients.get_mut(&client).expect("the client is connected").deadlines.push(deadline);
    simulation.receive(client, &query(&statement("7", method, 480, "1")));
}

/// The answer 53300 says that a retry is harmless. A retry with the id of the rejected RPC must not be refused as a
/// duplicate.
#[test]
fn the_id_of_a_rejected_rpc_is_accepted_again() {
    for method in ["read", "write"] {
        let mut simulation = clients_that_sent(1, |_| query(&statement("7", method, 480, "1")));
        let client = *simulation.clients.keys().next().expect("the client is connected");
        assert_eq!(errors_once_answered(&mut simulation, client, 1), ["53300"], "{method}");
        send_again(&mut simulation, client, method);
        assert_eq!(errors_once_answered(&mut simulation, client, 2), ["53300", "53300"], "{method}");
    }
}

/// A write that may have run must not run again under the same id.
#[test]
fn the_id_of_a_write_that_may_have_run_is_not_accepted_again() {
    let FirstAttempt { mut simulation, client, .. } = send_first_attempt("write");
    assert_eq!(errors_once_answered(&mut simulation, client, 1), ["58000"]);
    send_again(&mut simulation, client, "write");
    assert_eq!(errors_once_answered(&mut simulation, client, 2), ["58000", "23505"]);
}

/// Has a new client send a statement, which becomes an RPC. Returns the client.
fn send_from_new_client(simulation: &mut Simulation, id: &str, method: &str, wait_ms: u64) -> ConnectionId {
    let client = simulation.reducer.next_id();
    simulation.clients.insert(client, Client { broke_protocol: true, ..Client::default() });
    simulation.apply(Event::Accepted(client));
    let text = statement(id, method, wait_ms, "1");
    simulation.expect_statement(&text, method == "write");
    simulation.receive(client, &[startup(), query(&text)].concat());
    simulation.write(client);
    client
}

fn leave(simulation: &mut Simulation, client: ConnectionId) {
    simulation.clients.remove(&client);
    simulation.apply(Event::Closed(client));
}

/// Guards against a write that runs twice: a client left, and its id came again after other clients had used ever new
/// ids with long deadlines. The ids that expire first were forgotten first, so the newest id went at once.
#[test]
fn the_id_of_a_write_whose_client_left_is_not_forgotten_for_newer_ids_with_later_deadlines() {
    for client_leaves in [false, true] {
        let mut launch = default_launch();
        launch.limits.remembered_ids = 8;
        let mut simulation = Simulation::with_launch(vec![255; 4000], launch);
        for nth in 100..120 {
            let other = send_from_new_client(&mut simulation, &nth.to_string(), "read", 3_600_000);
            leave(&mut simulation, other);
        }
        let FirstAttempt { mut simulation, client, connection } = send_first_attempt_in(simulation, "write");
        if client_leaves {
            leave(&mut simulation, client);
        }
        let position = simulation.now.nanos() as u64 / 1_000_000;
        simulation.receive(connection, &row(b"7", "leader", position));
        for nth in 200..204 {
            let other = send_from_new_client(&mut simulation, &nth.to_string(), "read", 3_600_000);
            leave(&mut simulation, other);
        }
        let again = send_from_new_client(&mut simulation, "7", "write", 480);
        let errors: Vec<String> =
            answers_of(&simulation, again).into_iter().map(|(_, error)| error).collect();
        assert_eq!(errors, ["23505"], "its client left: {client_leaves}");
    }
}
