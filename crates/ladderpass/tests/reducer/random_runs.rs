//! Random runs of a simulated router, with the rules on answers and attempts checked after every step.

use crate::simulation::Simulation;
use ladderpass::reducer::Event;
use ladderpass_routing::Span;
use quickcheck::{Gen, QuickCheck};

/// Checks a property for `count` sequences of up to `size` random choices. The seed is fixed, so the sequences are the
/// same each time.
pub fn check_random_runs(count: u64, size: usize, property: fn(Vec<u8>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(size, 7)).tests(count).quickcheck(property);
}

#[test]
fn rules_hold_after_every_step() {
    check_random_runs(300, 1500, |choices| rules_hold(Simulation::new(choices)));
}

#[test]
fn rules_hold_after_every_step_while_the_router_sheds() {
    check_random_runs(300, 1500, |choices| rules_hold(Simulation::overloaded(choices)));
}

fn rules_hold(mut simulation: Simulation) -> bool {
    let shuts_down = simulation.choices.front().is_some_and(|&first| first % 3 == 0);
    while !simulation.choices.is_empty() && !simulation.exited {
        simulation.step();
    }
    if shuts_down {
        simulation.apply(Event::Terminate);
    }
    // Each accepted statement is answered by its deadline, whatever the members do, and a router that gets SIGTERM
    // exits afterwards.
    for _ in 0..2500 {
        simulation.advance(Span::from_millis(5));
    }
    let unanswered = simulation
        .clients
        .values()
        .filter(|client| !client.broke_protocol && client.answers < client.deadlines.len())
        .count();
    assert_eq!(unanswered, 0, "rule 1: statements without an answer");
    assert!(!shuts_down || simulation.exited, "the router exits after SIGTERM");
    true
}
