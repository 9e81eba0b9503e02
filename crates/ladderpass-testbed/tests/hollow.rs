//! Hollow worlds: what is sent is received or counted lost; the same seed gives the same world; routers find
//! each other, learn of a death, of a change of the list and of another primary.

use ladderpass_routing::Span;
use ladderpass_testbed::capacity::simulated_routers::{Shape, Simulation, member_id};
use ladderpass_testbed::capacity::slope::Claim;

fn world(shape: Shape) -> Simulation {
    Simulation::start(shape).expect("the temporary folder can be written to")
}

fn run(world: &mut Simulation, ms: i64) {
    world.run(Span::from_millis(ms)).expect("the temporary folder can be written to");
}

#[test]
fn what_is_sent_is_heard_or_lost_or_on_its_way() {
    for (loss, killed) in [(0.0, false), (0.3, false), (0.1, true)] {
        let mut world = world(Shape { loss, fleet: true, ..Shape::of(8, 4) });
        run(&mut world, 3000);
        if killed {
            world.kill(3);
        }
        run(&mut world, 3000);
        let total = |of: fn(&ladderpass_testbed::capacity::simulated_routers::Counts) -> u64| {
            world.counts.iter().map(of).sum::<u64>()
        };
        let sent = total(|counts| counts.words.datagrams + counts.membership.datagrams);
        let (heard, lost) = (total(|counts| counts.heard), total(|counts| counts.lost));
        assert_eq!(sent, heard + lost + world.flying(), "loss {loss}, killed {killed}");
        assert!(sent > 500 && (lost > 0) == (loss > 0.0), "{sent} sent, {lost} lost");
        assert_eq!(total(|counts| counts.crowded), 0);
    }
}

#[test]
fn the_same_seed_gives_the_same_world() {
    let counts = |seed| {
        let mut world = world(Shape { seed, ..Shape::of(6, 4) });
        run(&mut world, 4000);
        world.counts.clone()
    };
    assert_eq!(counts(7), counts(7));
    assert_ne!(counts(7), counts(8));
}

#[test]
fn statements_are_answered_and_routers_find_each_other() {
    let mut world = world(Shape::of(8, 4));
    run(&mut world, 6000);
    for (router, counts) in world.counts.iter().enumerate() {
        assert!(counts.statements > 100 && counts.refused == 0, "{router}: {counts:?}");
        assert!(counts.answered + 2 >= counts.statements, "{router}: {counts:?}");
        assert_eq!(
            world.reducer(router).and_then(|reducer| reducer.fleet_view()).map(|view| view.0),
            Some(8)
        );
    }
    world.kill(2);
    run(&mut world, 4000);
    for router in (0..8).filter(|&router| router != 2) {
        assert_eq!(
            world.reducer(router).and_then(|reducer| reducer.fleet_view()).map(|view| view.0),
            Some(7)
        );
    }
}

#[test]
fn a_change_of_the_list_and_another_primary_are_known_everywhere() {
    let mut world = world(Shape::of(4, 2));
    run(&mut world, 4000);
    let generation = world.change(5, "DRAINING");
    run(&mut world, 100);
    for router in 0..4 {
        assert_eq!(world.reducer(router).map(|reducer| reducer.generation()), Some(generation));
    }
    // Group 0 has the members 0, 2 and 4.
    let leads = |world: &Simulation, member: usize| {
        let knows = |router| world.reducer(router)?.known_position(&member_id(member));
        (0..4).filter_map(knows).filter(|&(_, primary)| primary).count()
    };
    assert_eq!((leads(&world, 0), leads(&world, 2)), (4, 0));
    world.members[0].primary = false;
    world.members[2].primary = true;
    run(&mut world, 5000);
    assert_eq!((leads(&world, 0), leads(&world, 2)), (0, 4));
}

#[test]
fn each_figure_of_the_page_can_be_read_and_states_an_error() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md"))
        .expect("the page is there");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once("` |"));
    let names: Vec<&'static str> =
        rows.map(|(name, _)| &*Box::leak(name.to_owned().into_boxed_str())).collect();
    assert!(names.len() > 30, "{} figures", names.len());
    for name in names {
        let claim =
            Claim::read(&page, name).unwrap_or_else(|| panic!("{name} is not to be read, or stands twice"));
        assert!(claim.value > 0.0 && (0.005..0.95).contains(&claim.within), "{claim:?}");
    }
}
