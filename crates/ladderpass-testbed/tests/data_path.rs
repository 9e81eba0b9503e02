//! The world around the router's own code: its counts, which the page's figures stand on, against what can be
//! worked out by hand. No CPU times here: a machine may be busy.

use ladderpass_routing::Span;
use ladderpass_testbed::capacity::data_path::simulation::{Shape, Simulation};
use ladderpass_testbed::capacity::data_path::steady;

const WARM: Span = Span::from_millis(14_000);
const SPAN: Span = Span::from_millis(30_000);

#[test]
fn the_same_seed_counts_the_same() {
    let counts = |seed| {
        let counts = steady(&Shape::of(8), WARM, SPAN, seed).unwrap();
        (counts.statements, counts.served, counts.queries, counts.probes, counts.connects)
    };
    assert_eq!(counts(7), counts(7));
    assert_ne!(counts(7), counts(8));
}

#[test]
fn a_client_that_rests_past_the_time_opens_anew() {
    // By hand: with statements by chance one in 11.35 s, so many come later than 2.1 s after the last.
    let shape = Shape::of(40);
    let counts = steady(&shape, WARM, SPAN, 3).unwrap();
    let gap = shape.clients as f64 / shape.rate;
    let share = counts.opened / counts.statements;
    assert!((share - (-2.1 / gap).exp()).abs() < 0.04, "{share} of one in {gap} s");
    // Where none is closed before it asks again, none does.
    let kept = Shape { client_idle: Some(Span::from_millis(600_000)), ..shape };
    let mut world = Simulation::new(&kept, 3).unwrap();
    world.open_all();
    world.run(WARM);
    let counts = world.run(SPAN);
    assert_eq!((counts.opened, counts.closed), (0.0, 0.0));
    assert!((counts.clients - kept.clients as f64).abs() < 1e-6, "{}", counts.clients);
}

#[test]
fn all_statements_are_answered_and_each_has_its_queries() {
    let counts = steady(&Shape::of(40), WARM, SPAN, 5).unwrap();
    // Those of the ends of the time lie on either side of it.
    assert!((counts.served - counts.statements).abs() <= 5.0 && counts.refused == 0.0, "{counts:?}");
    // A statement, or a probe, and the empty query behind it.
    let queries = 2.0 * (counts.statements + counts.probes);
    assert!((counts.queries / queries - 1.0).abs() < 0.01, "{} of {queries}", counts.queries);
    // A fifth of the statements' rate, and those that reads ask for beside.
    let share = counts.probes / counts.statements;
    assert!((0.15..0.35).contains(&share), "{share}");
}

#[test]
fn a_pair_keeps_one_connection_at_the_size_s_pace() {
    let shape = Shape::of(40);
    let counts = steady(&shape, WARM, SPAN, 9).unwrap();
    let pairs = shape.members() as f64;
    assert!((1.0..1.1).contains(&(counts.links / pairs)), "{} of {pairs}", counts.links);
    // Where a connection rests longer than it is kept, one is made anew for most statements.
    let seldom = Shape { rate: shape.rate / 100.0, ..shape };
    let counts = steady(&seldom, WARM, SPAN, 9).unwrap();
    assert!(counts.links < pairs * 0.3, "{} of {pairs}", counts.links);
    assert!(counts.connects > 0.5 * counts.statements, "{counts:?}");
}

#[test]
fn a_member_that_is_full_turns_its_writes_away() {
    let shape = Shape { full: 1.0, ..Shape::of(20) };
    let counts = steady(&shape, WARM, SPAN, 4).unwrap();
    assert!(counts.served == 0.0 && counts.refused > 0.9 * counts.statements, "{counts:?}");
    assert_eq!(counts.queries, 0.0);
    // Where a part is, so are the primaries of a part of the groups, and no other may take their writes.
    let counts = steady(&Shape { full: 0.36, ..shape }, WARM, SPAN, 4).unwrap();
    let share = counts.refused / counts.statements;
    assert!((0.03..0.25).contains(&share), "{share}");
}
