//! Tests that dead routers are detected in time, and that running routers are not counted as dead, or only for a short
//! time.

use crate::simulation::{Process, Simulation, address, median, ms};
use ladderpass_membership::{Faulty, Settings};
use ladderpass_routing::Span;

#[test]
fn one_dead_router_and_seventy_percent_dead_at_once_are_detected_in_time() {
    let mut sim = Simulation::converged(3, 60);
    let detected = sim.kill(&[7], ms(10_000));
    println!(
        "model: detection of one dead router of 60: median {:.2} s, worst {:.2} s",
        median(&detected),
        detected[detected.len() - 1]
    );
    assert!(median(&detected) < 3.0 && detected[detected.len() - 1] < 5.0, "{detected:?}");
    let mut sim = Simulation::converged(4, 300);
    let dead: Vec<usize> = (0..300).filter(|index| index % 10 < 7).collect();
    let detected = sim.kill(&dead, ms(20_000));
    println!(
        "model: detection of 210 of 300 routers dead at once: median {:.2} s, worst {:.2} s",
        median(&detected),
        detected[detected.len() - 1]
    );
    assert!(
        median(&detected) < 6.0 && detected[detected.len() - 1] < 12.0,
        "worst {} s",
        detected[detected.len() - 1]
    );
    assert_eq!(sim.longest_false_death(), Span::ZERO, "a running router was counted as dead");
}

#[test]
fn false_deaths_are_corrected_within_two_seconds_under_packet_loss_and_with_frozen_routers() {
    let mut sim = Simulation::converged(5, 100);
    sim.loss = 0.2;
    sim.run(ms(10_000));
    println!(
        "model: 100 routers with 20% packet loss: {} false deaths, longest {:.2} s",
        sim.false_death_count,
        sim.longest_false_death().secs()
    );
    assert!(sim.longest_false_death() < ms(2000));
    sim.reset_false_deaths();
    for round in 0..8 {
        let frozen: Vec<usize> = (0..100).filter(|index| index % 10 == round % 10).collect();
        frozen.iter().for_each(|&index| sim.routers[index].process = Process::Frozen);
        sim.run(ms(1000));
        for &index in &frozen {
            sim.resume(index);
        }
        sim.run(ms(500));
    }
    println!(
        "model: 100 routers with 20% packet loss and a tenth frozen for 1 s at a time: {} false deaths, longest {:.2} s",
        sim.false_death_count,
        sim.longest_false_death().secs()
    );
    assert!(sim.longest_false_death() < ms(2000));
    sim.loss = 0.0;
    let convergence = sim.run_until_converged(ms(6000));
    println!("model: converged {:.2} s after the packet loss ended", convergence.secs());
}

#[test]
fn a_router_frozen_for_three_and_a_half_seconds_is_confirmed_dead_and_returns_when_it_resumes() {
    let mut sim = Simulation::converged(10, 8);
    sim.routers[2].process = Process::Frozen;
    sim.run(ms(3500));
    assert_eq!(sim.routers[0].membership.view().count, 7);
    sim.resume(2);
    let convergence = sim.run_until_converged(ms(3000));
    assert!(convergence < ms(1500), "{convergence:?}");
    assert_eq!(
        sim.false_death_count, 0,
        "the resumed router counted routers as dead whose datagrams it did not receive while it was frozen"
    );
}

/// The measured values of a simulated run of routers with or without a deliberate fault.
#[derive(Debug)]
struct FaultyRun {
    false_deaths: usize,
    /// Whether router 0 counts the dead router 5 as dead, even after datagrams of router 5 have arrived late.
    is_dead_router_removed: bool,
    /// Number of routers that router 0 counts as alive while router 5 is dead.
    count: usize,
    has_converged: bool,
}

/// Each deliberate fault must show in the measured values of these tests.
#[test]
fn deliberate_faults_are_detected() {
    let run = |faulty| {
        let mut sim = Simulation::new(15, Settings { faulty, ..Settings::default() });
        (0..8).for_each(|_| sim.join());
        sim.run(ms(4000));
        sim.reset_false_deaths();
        sim.loss = 0.2;
        sim.run(ms(8000));
        let false_deaths = sim.false_death_count;
        sim.loss = 0.0;
        sim.run(ms(3000));
        let captured = sim.run_and_capture(address(5), 200);
        sim.routers[5].process = Process::Ended;
        sim.run(ms(5000));
        // Datagrams that router 5 sent while it was running arrive late.
        for (to, bytes) in captured {
            let index = sim.index_of[&to];
            sim.routers[index].membership.on_datagram(sim.now, address(5), &bytes);
        }
        let view = sim.routers[0].membership.view();
        let is_dead_router_removed =
            sim.routers[0].membership.peers(sim.now).all(|peer| peer.address != address(5));
        sim.restart(5);
        sim.run(ms(4000));
        let has_converged = sim.has_converged();
        FaultyRun { false_deaths, is_dead_router_removed, count: view.count, has_converged }
    };
    let correct = run(Faulty::NotFaulty);
    assert!(
        correct.false_deaths < 10
            && correct.is_dead_router_removed
            && correct.count == 7
            && correct.has_converged,
        "{correct:?}"
    );
    let many_false_deaths = 5 * (correct.false_deaths + 4);
    assert!(!run(Faulty::NeverSuspects).is_dead_router_removed);
    let immediate = run(Faulty::ConfirmsImmediately).false_deaths;
    assert!(
        immediate > many_false_deaths,
        "{immediate} false deaths with the fault, {} without",
        correct.false_deaths
    );
    let ignores_incarnations = run(Faulty::IgnoresIncarnations);
    assert!(
        ignores_incarnations.false_deaths > many_false_deaths
            || !ignores_incarnations.is_dead_router_removed
            || !ignores_incarnations.has_converged,
        "{ignores_incarnations:?}"
    );
    let counts_dead_routers = run(Faulty::CountsDeadRouters);
    assert!(
        counts_dead_routers.is_dead_router_removed && counts_dead_routers.count == 8,
        "{counts_dead_routers:?}"
    );
}
