//! Ids of RPCs that have ended: which of them a client may use again.

use crate::common::{query, statement};
use crate::scenarios::{FirstAttempt, answers_of, clients_that_sent, send_first_attempt};
use crate::simulation::Simulation;
use ladderpass::reducer::ConnectionId;
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
