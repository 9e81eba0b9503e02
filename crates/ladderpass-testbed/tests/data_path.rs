//! The simulation of one router: its counts, from which docs/CAPACITY.md is worked out, against values that are computed by
//! hand. CPU times are not tested, as the machine may be busy.

use ladderpass_routing::Span;
use ladderpass_testbed::capacity::data_path::simulation::{Shape, Simulation};
use ladderpass_testbed::capacity::data_path::steady_counts;

const WARM: Span = Span::from_millis(14_000);
const SPAN: Span = Span::from_millis(30_000);

#[test]
fn the_same_seed_counts_the_same() {
    let counts = |seed| {
        let counts = steady_counts(&Shape::of(8), WARM, SPAN, seed).unwrap();
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
    // Expected: with exponential gaps of 11.35 s on average, the fraction that is longer than 2.1 s.
    let shape = Shape::of(40);
    let counts = steady_counts(&shape, WARM, SPAN, 3).unwrap();
    let gap = shape.clients as f64 / shape.rate;
    let share = counts.clients_reopened / counts.statements;
    assert!((share - (-2.1 / gap).exp()).abs() < 0.04, "{share} of one in {gap} s");
    // With an idle timeout beyond the test, no connection is closed.
    let kept = Shape { client_idle_timeout: Some(Span::from_millis(600_000)), ..shape };
    let mut simulation = Simulation::new(&kept, 3).unwrap();
    simulation.open_all_clients();
    simulation.run(WARM);
    let counts = simulation.run(SPAN);
    assert_eq!((counts.clients_reopened, counts.clients_closed), (0.0, 0.0));
    assert!((counts.client_connections - kept.clients as f64).abs() < 1e-6, "{}", counts.client_connections);
}

#[test]
fn all_statements_are_answered_and_each_has_its_queries() {
    let counts = steady_counts(&Shape::of(40), WARM, SPAN, 5).unwrap();
    // A few are in flight at both ends of the time.
    assert!((counts.served - counts.statements).abs() <= 5.0 && counts.failed == 0.0, "{counts:?}");
    // A statement or a health check, and the sync query behind it.
    let queries = 2.0 * (counts.statements + counts.health_checks);
    assert!((counts.queries / queries - 1.0).abs() < 0.01, "{} of {queries}", counts.queries);
    // A fifth of the statements' rate, and those that reads require.
    let share = counts.health_checks / counts.statements;
    assert!((0.15..0.35).contains(&share), "{share}");
}

#[test]
fn a_router_keeps_one_connection_to_a_member_at_the_reference_load() {
    let shape = Shape::of(40);
    let counts = steady_counts(&shape, WARM, SPAN, 9).unwrap();
    let pairs = shape.members() as f64;
    assert!(
        (1.0..1.1).contains(&(counts.member_connections / pairs)),
        "{} of {pairs}",
        counts.member_connections
    );
    // If connections are idle for longer than they are kept, most statements open a new one.
    let seldom = Shape { rate: shape.rate / 100.0, ..shape };
    let counts = steady_counts(&seldom, WARM, SPAN, 9).unwrap();
    assert!(counts.member_connections < pairs * 0.3, "{} of {pairs}", counts.member_connections);
    assert!(counts.member_connections_opened > 0.5 * counts.statements, "{counts:?}");
}

#[test]
fn a_member_without_free_connections_rejects_writes() {
    let shape = Shape { full_probability: 1.0, ..Shape::of(20) };
    let counts = steady_counts(&shape, WARM, SPAN, 4).unwrap();
    assert!(counts.served == 0.0 && counts.failed > 0.9 * counts.statements, "{counts:?}");
    assert_eq!(counts.queries, 0.0);
    // If a fraction of the members is full, so are the primaries of that fraction of the groups, whose writes are rejected.
    let counts = steady_counts(&Shape { full_probability: 0.36, ..shape }, WARM, SPAN, 4).unwrap();
    let share = counts.failed / counts.statements;
    assert!((0.03..0.25).contains(&share), "{share}");
}
