//! Compares the counts of the simulation of one router, from which the figures of docs/CAPACITY.md are computed, with values
//! that are computed by hand. CPU times are not tested, since the machine may be busy.

use ladderpass_routing::Span;
use ladderpass_testbed::capacity::data_path::simulation::{Shape, Simulation};
use ladderpass_testbed::capacity::data_path::steady_counts;

const WARM_UP: Span = Span::from_millis(14_000);
const MEASURED_TIME: Span = Span::from_millis(30_000);

#[test]
fn the_same_seed_gives_the_same_counts() {
    let counts = |seed| {
        let counts = steady_counts(&Shape::of(8), WARM_UP, MEASURED_TIME, seed).unwrap();
        (
            counts.statements,
            counts.served,
            counts.queries,
            counts.health_checks,
            counts.member_connections_opened,
        )
    };
    assert_eq!(counts(7), counts(7));
    assert_ne!(counts(7), counts(8));
}

#[test]
fn a_client_idle_past_the_timeout_opens_a_new_connection() {
    // The gaps between the statements of a client are exponential, with a mean of 11.35 s. The expected share of statements
    // on a new connection is the share of gaps longer than 2.1 s.
    let shape = Shape::of(40);
    let counts = steady_counts(&shape, WARM_UP, MEASURED_TIME, 3).unwrap();
    let gap = shape.clients as f64 / shape.rate;
    let share = counts.clients_reopened / counts.statements;
    assert!(
        (share - (-2.1 / gap).exp()).abs() < 0.04,
        "{share} of the statements opened a connection, at a mean gap of {gap} s"
    );
    // With an idle timeout that is longer than the simulation, no connection is closed.
    let long_timeout = Shape { client_idle_timeout: Some(Span::from_millis(600_000)), ..shape };
    let mut simulation = Simulation::new(&long_timeout, 3).unwrap();
    simulation.open_all_clients();
    simulation.run(WARM_UP);
    let counts = simulation.run(MEASURED_TIME);
    assert_eq!((counts.clients_reopened, counts.clients_closed), (0.0, 0.0));
    assert!(
        (counts.client_connections - long_timeout.clients as f64).abs() < 1e-6,
        "{}",
        counts.client_connections
    );
}

#[test]
fn all_statements_are_answered_and_each_statement_and_health_check_takes_two_queries() {
    let counts = steady_counts(&Shape::of(40), WARM_UP, MEASURED_TIME, 5).unwrap();
    // The counts differ by a few statements, which are in flight at the start or at the end of the measured time.
    assert!((counts.served - counts.statements).abs() <= 5.0 && counts.failed == 0.0, "{counts:?}");
    // Each statement and each health check is one query that is followed by a sync query.
    let queries = 2.0 * (counts.statements + counts.health_checks);
    assert!((counts.queries / queries - 1.0).abs() < 0.01, "{} of {queries} expected", counts.queries);
    // Health checks are sent at a fifth of the rate of statements, and some more because reads require them.
    let share = counts.health_checks / counts.statements;
    assert!((0.15..0.35).contains(&share), "{share}");
}

#[test]
fn a_router_keeps_one_connection_to_a_member_at_the_reference_load() {
    let shape = Shape::of(40);
    let counts = steady_counts(&shape, WARM_UP, MEASURED_TIME, 9).unwrap();
    let members = shape.members() as f64;
    assert!(
        (1.0..1.1).contains(&(counts.member_connections / members)),
        "{} of {members}",
        counts.member_connections
    );
    // At a hundredth of the load, connections are idle for longer than the idle timeout, so most statements open a new
    // connection.
    let low_load = Shape { rate: shape.rate / 100.0, ..shape };
    let counts = steady_counts(&low_load, WARM_UP, MEASURED_TIME, 9).unwrap();
    assert!(counts.member_connections < members * 0.3, "{} of {members}", counts.member_connections);
    assert!(counts.member_connections_opened > 0.5 * counts.statements, "{counts:?}");
}

#[test]
fn a_member_without_free_connections_rejects_writes() {
    let shape = Shape { full_probability: 1.0, ..Shape::of(20) };
    let counts = steady_counts(&shape, WARM_UP, MEASURED_TIME, 4).unwrap();
    assert!(counts.served == 0.0 && counts.failed > 0.9 * counts.statements, "{counts:?}");
    assert_eq!(counts.queries, 0.0);
    // If a fraction of the members has no free connections, neither have the primaries of that fraction of the groups, and the
    // writes of these groups are rejected.
    let counts =
        steady_counts(&Shape { full_probability: 0.36, ..shape }, WARM_UP, MEASURED_TIME, 4).unwrap();
    let share = counts.failed / counts.statements;
    assert!((0.03..0.25).contains(&share), "{share}");
}
