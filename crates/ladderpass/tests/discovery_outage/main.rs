//! A router must know a change of the endpoint list within 6 s of when discovery has the change and can be reached. The
//! reducer runs against a simulated discovery that goes down and returns, on a simulated clock, for each way in which a
//! watch can end.

#[path = "../common/mod.rs"]
mod common;
mod crowded;
mod scenario;
mod simulation;

use common::SIMULATION_START;
use nanorand::{Rng, WyRand};
use scenario::Ending::{ErrorStatus, NoAnswer, OlderList, Random, Refused};
use scenario::{ENDINGS, Ending, MODES, Mode, NEW_PORT, OLD_PORT, OUTAGE_STARTS, OutageStart};
use simulation::{Simulation, ms};

/// The longest allowed time from the return of discovery until the router has read the change of the list, in
/// milliseconds. 6 s are allowed in operation, of which 0.5 s are left to a process that has to wait for its CPU.
const MAX_DELAY_MS: i64 = 5500;
/// The longest allowed time from the return of discovery until the router has read the change, in milliseconds, where
/// an older list may arrive: a watch that was opened before the return may be answered with an older list up to 1.4 s
/// after the return. The router accepts this list, and then the watch falls silent.
const MAX_DELAY_WITH_OLDER_LIST_MS: i64 = 5900;
const SEEDS: u64 = 60;
/// The names of two environment variables, each of which makes the test print the table of the delays. The second is
/// the former name of the variable.
const TABLE_VARIABLES: [&str; 2] = ["LADDERPASS_OUTAGE_TABLE", "TOLD_TABLE"];

/// Runs each case of the table in `docs/endings.md`: how the outage begins, how watches end during the outage, and how
/// the list is delivered.
#[test]
fn a_change_is_read_in_time_after_an_outage_however_watches_ended() {
    let mut late = Vec::new();
    for outage_start in OUTAGE_STARTS {
        for ending in ENDINGS {
            for mode in MODES {
                let after = (1..=SEEDS).map(|seed| {
                    (delay_after_return(mode, outage_start, ending, seed).unwrap_or(99_999), seed)
                });
                let (worst, seed) = after.max().expect("there is at least one seed");
                if TABLE_VARIABLES.iter().any(|name| std::env::var(name).is_ok()) {
                    println!("{outage_start:?} {ending:?} {mode:?}: {worst} ms, seed {seed}");
                }
                let bound = if matches!(ending, OlderList | Random) {
                    MAX_DELAY_WITH_OLDER_LIST_MS
                } else {
                    MAX_DELAY_MS
                };
                if worst > bound {
                    late.push(format!("{outage_start:?}, {ending:?}, {mode:?}: {worst} ms with seed {seed}"));
                }
            }
        }
    }
    assert!(late.is_empty(), "{} of {} cases:\n{}", late.len(), 15 * 5 * 5, late.join("\n"));
}

/// Discovery is unreachable for longer than lists may be late, and returns with a lower generation of the list. The
/// router accepts this list once discovery has sent it twice, the second time as a complete list.
#[test]
fn lower_generations_after_an_outage_are_accepted_in_time() {
    for (whole, seed) in
        [true, false].into_iter().flat_map(|whole| (1..=SEEDS).map(move |seed| (whole, seed)))
    {
        let outage_began = SIMULATION_START + ms(5000);
        let outage_ended = outage_began + ms(6000 + seed as i64 * 137);
        let ending = if seed % 3 == 0 { NoAnswer } else { Refused };
        let mut simulation =
            Simulation::new(Mode::Polled(60_000), seed, ending, (OLD_PORT, outage_began, outage_ended));
        simulation.generation_after_return = 2;
        simulation.sends_whole_list = whole;
        simulation.max_answer_ms = 500;
        simulation.run_until(outage_began);
        simulation.take_discovery_down(seed % 2 == 0);
        simulation.run_until(outage_ended + ms(30_000));
        let after = simulation.read_at.map_or(99_999, |at| (at - outage_ended).nanos() / 1_000_000);
        assert!((0..MAX_DELAY_MS).contains(&after), "read after {after} ms, whole: {whole}, seed {seed}");
    }
}

/// All routers of a fleet lose discovery at once. Returns how many watches the fleet opens in each 100 ms of the
/// outage, and how many watches each router opens per second on average.
fn count_fleet_watches(mode: Mode, ending: Ending) -> (Vec<usize>, f64) {
    const FLEET: u64 = 460;
    const OUTAGE: i64 = 30_000;
    let outage_began = SIMULATION_START + ms(5000);
    let mut counts = vec![0; (OUTAGE / 100) as usize];
    for seed in 1..=FLEET {
        let mut simulation =
            Simulation::new(mode, seed, ending, (OLD_PORT, outage_began, outage_began + ms(OUTAGE)));
        simulation.run_until(outage_began);
        simulation.take_discovery_down(false);
        simulation.run_until(outage_began + ms(OUTAGE - 1));
        for (at, _) in simulation.opened.iter().filter(|(at, _)| *at >= outage_began) {
            counts[((*at - outage_began).nanos() / 100_000_000) as usize] += 1;
        }
    }
    let per_second = counts.iter().sum::<usize>() as f64 / FLEET as f64 / (OUTAGE as f64 / 1000.0);
    (counts, per_second)
}

/// In each 100 ms of an outage of discovery, at most a fifth of the 460 routers open a watch, or half of them where
/// `MustAskIn` or `DrainGrace` is 1 s. Each router opens on average no more watches per second than the case's
/// `max_per_second`.
#[test]
fn watches_of_a_fleet_stay_spread_out_and_rate_limited_during_an_outage() {
    for (mode, ending, max_at_once, max_per_second) in [
        (Mode::Polled(60_000), Refused, 92, 0.36),
        (Mode::Polled(60_000), NoAnswer, 92, 0.36),
        (Mode::Polled(10_000), Refused, 92, 0.42),
        (Mode::Pushed(60_000), ErrorStatus, 92, 0.36),
        (Mode::Polled(1000), Refused, 230, 3.2),
        (Mode::Pushed(1000), Refused, 230, 3.2),
    ] {
        let (counts, per_second) = count_fleet_watches(mode, ending);
        let most_at_once = counts.iter().max().copied().unwrap_or(0);
        println!(
            "{mode:?} {ending:?}: at most {most_at_once} of 460 watches in 100 ms, {per_second:.3} watches per router and second"
        );
        assert!(
            most_at_once <= max_at_once,
            "{mode:?} {ending:?}: {most_at_once} watches opened within 100 ms"
        );
        assert!(
            per_second <= max_per_second,
            "{mode:?} {ending:?}: {per_second:.2} watches per router and second"
        );
    }
}

/// The time in milliseconds from the return of discovery until the router has read the change of the list. None if the
/// router does not read the change within 30 s.
fn delay_after_return(mode: Mode, outage_start: OutageStart, ending: Ending, seed: u64) -> Option<i64> {
    let mut random = WyRand::new_seed(seed.wrapping_mul(77));
    let time_before_outage = ms(3000 + random.generate_range(0..3000));
    // The lengths of half of the outages are drawn from a range that lets each backoff grow, the others from a shorter
    // range.
    let outage = ms(if random.generate::<bool>() {
        random.generate_range(100..40_000)
    } else {
        random.generate_range(100..9000)
    });
    let outage_began = if outage_start == OutageStart::ProcessStart {
        SIMULATION_START
    } else {
        SIMULATION_START + time_before_outage
    };
    let port = if matches!(outage_start, OutageStart::Reload | OutageStart::ReloadDuringOutage) {
        NEW_PORT
    } else {
        OLD_PORT
    };
    let outage_ended = outage_began + outage;
    let mut simulation = Simulation::new(mode, seed, ending, (port, outage_began, outage_ended));
    simulation.run_until(outage_began);
    match outage_start {
        OutageStart::ProcessStart => {}
        OutageStart::WatchCloses => simulation.take_discovery_down(false),
        OutageStart::WatchFallsSilent => simulation.take_discovery_down(true),
        OutageStart::Reload => {
            simulation.reload_with_new_address(mode, seed);
            // The old discovery address closes its watches after 1.5 s, as the platform specifies, or keeps serving
            // them.
            if random.generate() {
                simulation.run_until((simulation.now + ms(1500)).min(outage_ended));
                simulation.close_watches(OLD_PORT);
            }
        }
        OutageStart::ReloadDuringOutage => {
            simulation.unreachable.0 = OLD_PORT;
            simulation.take_discovery_down(random.generate());
            let max_wait_ms = (outage.nanos() / 1_000_000).min(9000);
            let at = simulation.now + ms(random.generate_range(0..max_wait_ms as u64) as i64);
            simulation.run_until(at);
            simulation.unreachable.0 = NEW_PORT;
            simulation.reload_with_new_address(mode, seed);
        }
    }
    simulation.run_until(outage_ended + ms(30_000));
    simulation.read_at.map(|at| {
        assert!(at >= outage_ended, "the change was read before the return of discovery");
        (at - outage_ended).nanos() / 1_000_000
    })
}
