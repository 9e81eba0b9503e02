//! Tests of links between routers that are cut, in one direction or both, and repaired.

use crate::simulation::{Process, Simulation, ms};
use ladderpass_membership::Settings;

#[test]
fn each_side_of_a_partition_counts_only_its_own_routers_and_both_merge_after_repair() {
    let mut sim = Simulation::converged(6, 60);
    sim.is_cut = Box::new(|from, to| (from < 24) != (to < 24));
    sim.run(ms(10_000));
    for index in 0..60 {
        let view = sim.routers[index].membership.view();
        assert_eq!(view.count, if index < 24 { 24 } else { 36 }, "router {index}: {view:?}");
    }
    sim.is_cut = Box::new(|_, _| false);
    sim.reset_false_deaths();
    let convergence = sim.run_until_converged(ms(10_000));
    println!("model: the sides of a partition of 10 s merged {:.2} s after its repair", convergence.secs());
    assert!(convergence < ms(4000), "{convergence:?}");
    assert!(sim.longest_false_death() < ms(2000));
}

#[test]
fn two_routers_without_a_link_between_them_do_not_count_each_other_as_dead() {
    let mut sim = Simulation::converged(8, 8);
    sim.is_cut = Box::new(|from, to| from + to == 7 && from.min(to) == 3);
    sim.run(ms(10_000));
    assert_eq!(sim.false_death_count, 0);
    assert!(sim.has_converged());
}

#[test]
fn an_isolated_router_disseminates_no_deaths() {
    let mut sim = Simulation::converged(9, 8);
    sim.is_cut = Box::new(|from, _| from == 3);
    sim.run(ms(8000));
    let others = sim.running().into_iter().filter(|&index| index != 3);
    for index in others {
        assert_eq!(sim.routers[index].membership.view().count, 7, "router {index}");
    }
    sim.is_cut = Box::new(|_, _| false);
    sim.reset_false_deaths();
    let convergence = sim.run_until_converged(ms(6000));
    // The isolated router corrects its findings that other routers are dead after the first ack. No other router may
    // have applied any of these findings.
    let others: usize = sim
        .routers
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != 3)
        .map(|(_, router)| router.false_death_count)
        .sum();
    assert_eq!(
        others, 0,
        "the isolated router disseminated deaths that it found while it was isolated; converged after {convergence:?}"
    );
}

#[test]
fn a_router_without_any_running_listed_router_runs_alone_and_joins_when_they_start() {
    let mut sim = Simulation::new(12, Settings::default());
    (0..5).for_each(|_| sim.join());
    (0..3).for_each(|index| sim.routers[index].process = Process::Ended);
    sim.run(ms(3000));
    assert_eq!(sim.routers[4].membership.view().count, 1);
    (0..3).for_each(|index| sim.restart(index));
    sim.run_until_converged(ms(4000));
}
