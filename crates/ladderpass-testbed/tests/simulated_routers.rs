//! Tests of the simulation of many routers. Each datagram is received, lost or in flight, and the same seed gives the same
//! simulation. Routers find each other, and learn of the end of a router, of a change of the endpoint list and of another
//! primary. Also tests that the figures of docs/CAPACITY.md can be parsed.

use ladderpass_routing::Span;
use ladderpass_testbed::capacity::simulated_routers::{Counts, Shape, Simulation, member_id};
use ladderpass_testbed::capacity::slope::Claim;

fn simulation(shape: Shape) -> Simulation {
    Simulation::start(shape).expect("the temporary folder can be written to")
}

fn run(simulation: &mut Simulation, ms: i64) {
    simulation.run(Span::from_millis(ms)).expect("the temporary folder can be written to");
}

#[test]
fn each_datagram_is_received_lost_or_in_flight() {
    for (loss, killed) in [(0.0, false), (0.3, false), (0.1, true)] {
        let mut simulation = simulation(Shape { loss, fleet: true, ..Shape::of(8, 4) });
        run(&mut simulation, 3000);
        if killed {
            simulation.kill(3);
        }
        run(&mut simulation, 3000);
        let total = |count: fn(&Counts) -> u64| simulation.counts.iter().map(count).sum::<u64>();
        let sent = total(|counts| counts.gossip.datagrams + counts.membership.datagrams);
        let (received, lost) = (total(|counts| counts.received), total(|counts| counts.lost));
        assert_eq!(sent, received + lost + simulation.datagrams_in_flight(), "loss {loss}, killed {killed}");
        assert!(sent > 500 && (lost > 0) == (loss > 0.0), "{sent} sent, {lost} lost");
        assert_eq!(total(|counts| counts.unsent), 0);
    }
}

#[test]
fn the_same_seed_gives_the_same_simulation() {
    let counts = |seed| {
        let mut simulation = simulation(Shape { seed, ..Shape::of(6, 4) });
        run(&mut simulation, 4000);
        simulation.counts.clone()
    };
    assert_eq!(counts(7), counts(7));
    assert_ne!(counts(7), counts(8));
}

#[test]
fn statements_are_answered_and_routers_find_each_other_and_detect_the_end_of_one() {
    let mut simulation = simulation(Shape::of(8, 4));
    run(&mut simulation, 6000);
    for (router, counts) in simulation.counts.iter().enumerate() {
        assert!(counts.statements > 100 && counts.errors == 0, "{router}: {counts:?}");
        assert!(counts.answered + 2 >= counts.statements, "{router}: {counts:?}");
        assert_eq!(
            simulation.reducer(router).and_then(|reducer| reducer.fleet_view()).map(|view| view.0),
            Some(8)
        );
    }
    simulation.kill(2);
    run(&mut simulation, 4000);
    for router in (0..8).filter(|&router| router != 2) {
        assert_eq!(
            simulation.reducer(router).and_then(|reducer| reducer.fleet_view()).map(|view| view.0),
            Some(7)
        );
    }
}

#[test]
fn all_routers_learn_of_a_list_change_and_of_another_primary() {
    let mut simulation = simulation(Shape::of(4, 2));
    run(&mut simulation, 4000);
    let generation = simulation.change_endpoint(5, "DRAINING");
    run(&mut simulation, 100);
    for router in 0..4 {
        assert_eq!(simulation.reducer(router).map(|reducer| reducer.generation()), Some(generation));
    }
    // Group 0 has the members 0, 2 and 4.
    let routers_with_primary = |simulation: &Simulation, member: usize| {
        let known_position = |router| simulation.reducer(router)?.known_position(&member_id(member));
        (0..4).filter_map(known_position).filter(|known| known.is_primary).count()
    };
    assert_eq!((routers_with_primary(&simulation, 0), routers_with_primary(&simulation, 2)), (4, 0));
    simulation.members[0].primary = false;
    simulation.members[2].primary = true;
    run(&mut simulation, 5000);
    assert_eq!((routers_with_primary(&simulation, 0), routers_with_primary(&simulation, 2)), (0, 4));
}

#[test]
fn each_figure_of_the_capacity_page_is_parsed_and_states_an_error() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md"))
        .expect("docs/CAPACITY.md can be read");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once("` |"));
    let names: Vec<&'static str> =
        rows.map(|(name, _)| &*Box::leak(name.to_owned().into_boxed_str())).collect();
    assert!(names.len() > 30, "{} figures", names.len());
    for name in names {
        let claim =
            Claim::read(&page, name).unwrap_or_else(|| panic!("{name} can't be parsed, or has several rows"));
        assert!(claim.value > 0.0 && (0.005..0.95).contains(&claim.within), "{claim:?}");
    }
}
