//! Tests that all routers converge to the same view, with bounded traffic and memory.

use crate::simulation::{Process, Simulation, address, ms};
use ladderpass_membership::Settings;
use nanorand::Rng;

#[test]
fn three_hundred_routers_started_at_once_converge_and_then_send_few_datagrams() {
    let mut sim = Simulation::new(1, Settings::default());
    (0..300).for_each(|_| sim.join());
    let convergence = sim.run_until_converged(ms(15_000));
    println!("model: 300 routers started at once converged after {:.1} s", convergence.secs());
    let (datagrams, bytes) = sim.load(ms(2000));
    println!(
        "model: 300 converged routers: {datagrams:.1} datagrams, {bytes:.0} bytes per router and second"
    );
    assert!(datagrams < 40.0, "{datagrams} datagrams per router and second");
}

#[test]
fn the_traffic_of_a_router_does_not_grow_with_the_cluster() {
    let loads: Vec<(f64, f64)> =
        [4, 8, 32, 128].into_iter().map(|count| Simulation::converged(2, count).load(ms(10_000))).collect();
    println!("model: datagrams and bytes per router and second with 4, 8, 32, 128 routers: {loads:.1?}");
    for quantity in [0, 1] {
        let value_of = |load: &(f64, f64)| if quantity == 0 { load.0 } else { load.1 };
        let (min, max) = (
            loads.iter().map(value_of).fold(f64::MAX, f64::min),
            loads.iter().map(value_of).fold(0.0, f64::max),
        );
        assert!(max <= 1.2 * min, "{loads:?}");
    }
}

#[test]
fn replacing_a_tenth_of_the_routers_five_times_causes_no_false_deaths() {
    let mut sim = Simulation::converged(7, 50);
    for tenth in 0..5 {
        for index in tenth * 5 + 5..tenth * 5 + 10 {
            let now = sim.now;
            sim.routers[index].membership.leave(now);
            sim.transmit(index);
            sim.routers[index].process = Process::Ended;
        }
        sim.run(ms(1000));
        (0..5).for_each(|_| sim.join());
        sim.run(ms(1000));
    }
    let convergence = sim.run_until_converged(ms(5000));
    println!(
        "model: a tenth of the routers replaced five times: converged {:.2} s after the last round",
        convergence.secs()
    );
    assert_eq!(sim.false_death_count, 0);
}

#[test]
fn the_router_table_is_limited_to_max_routers() {
    let settings = Settings { max_routers: 50, ..Settings::default() };
    let mut sim = Simulation::new(14, settings);
    (0..120).for_each(|_| sim.join());
    sim.run(ms(6000));
    for index in sim.running() {
        assert!(sim.routers[index].membership.peers(sim.now).count() <= 50);
    }
}

/// Under random faults no view counts a router twice or omits its own router, and a tick is always due within a round.
/// Once the faults end, all routers converge.
#[test]
fn all_routers_converge_after_random_faults() {
    for seed in 0..12 {
        let mut sim = Simulation::new(100 + seed, Settings::default());
        let count = 3 + (seed as usize * 3) % 14;
        (0..count).for_each(|_| sim.join());
        for _ in 0..25 {
            let random_index = sim.rng.generate_range(0..sim.routers.len());
            match sim.rng.generate_range(0..7u32) {
                0 => sim.routers[random_index].process = Process::Ended,
                1 if sim.routers[random_index].process == Process::Running => {
                    sim.routers[random_index].process = Process::Frozen
                }
                2 => sim.restart(random_index),
                3 => sim.loss = sim.rng.generate::<f64>() * 0.4,
                4 => sim.is_cut = Box::new(move |from, _| from == random_index),
                5 => sim.is_cut = Box::new(move |from, to| (from < random_index) != (to < random_index)),
                _ => sim.is_cut = Box::new(|_, _| false),
            }
            sim.run(ms(300));
            for index in sim.running() {
                let view = sim.routers[index].membership.view();
                let mut alive = sim.alive_at(index);
                alive.dedup();
                assert_eq!((alive.len(), alive[view.position]), (view.count, address(index)));
                let wake_at = sim.routers[index].membership.wake_at();
                assert!(
                    wake_at - sim.now <= sim.settings.probe_interval,
                    "seed {seed}: no tick is due within a round"
                );
            }
        }
        (sim.loss, sim.is_cut) = (0.0, Box::new(|_, _| false));
        for index in 0..sim.routers.len() {
            if sim.routers[index].process == Process::Frozen {
                sim.routers[index].process = Process::Running;
            }
        }
        let convergence = sim.run_until_converged(ms(20_000));
        assert!(convergence < ms(9000), "seed {seed}: converged after {:.1} s", convergence.secs());
    }
}
