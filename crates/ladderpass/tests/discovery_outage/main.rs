//! A change of the list must be known 6 s after discovery had it and could be reached: the reducer against a simulated
//! discovery that goes down and comes back, on a clock of its own, for each way in which a watch can end.

#[path = "../common/mod.rs"]
mod common;
mod scenario;
mod simulation;

use common::SIMULATION_START;
use nanorand::{Rng, WyRand};
use scenario::Ending::{Any, Hangs, OlderList, Refused, Status};
use scenario::{BEFORE, Before, ENDINGS, Ending, MODES, Mode, NEW_PORT, OLD_PORT};
use simulation::{Simulation, ms};

/// 6 s are allowed; the rest is for a process that has to wait for its CPU.
const LIMIT_MS: i64 = 5500;
/// A watch from before the return may be answered 1.4 s after it with an older list that is accepted, and fall silent then.
const LIMIT_WITH_OLDER_LIST_MS: i64 = 5900;
const SEEDS: u64 = 60;
/// Each prints the table; the second is the name of before.
const TABLE_VARIABLES: [&str; 2] = ["LADDERPASS_OUTAGE_TABLE", "TOLD_TABLE"];

/// The table of docs/endings.md: the state before, by how watches end, by how the list is delivered.
#[test]
fn a_change_is_read_in_time_after_an_outage_however_watches_ended() {
    let mut late = Vec::new();
    for before in BEFORE {
        for ending in ENDINGS {
            for mode in MODES {
                let after = (1..=SEEDS)
                    .map(|seed| (notified_after(mode, before, ending, seed).unwrap_or(99_999), seed));
                let (worst, seed) = after.max().expect("there are seeds");
                if TABLE_VARIABLES.iter().any(|name| std::env::var(name).is_ok()) {
                    println!("{before:?} {ending:?} {mode:?}: {worst} ms, seed {seed}");
                }
                let bound =
                    if matches!(ending, OlderList | Any) { LIMIT_WITH_OLDER_LIST_MS } else { LIMIT_MS };
                if worst > bound {
                    late.push(format!("{before:?}, {ending:?}, {mode:?}: {worst} ms with seed {seed}"));
                }
            }
        }
    }
    assert!(late.is_empty(), "{} of {} cases:\n{}", late.len(), 15 * 5 * 5, late.join("\n"));
}

/// Discovery is away for longer than lists may be late, and has a lower generation when it is back: its list is accepted
/// once it has been sent twice, the second time as a whole.
#[test]
fn lower_generations_after_an_outage_are_accepted_in_time() {
    for (whole, seed) in
        [true, false].into_iter().flat_map(|whole| (1..=SEEDS).map(move |seed| (whole, seed)))
    {
        let gone = SIMULATION_START + ms(5000);
        let back = gone + ms(6000 + seed as i64 * 137);
        let ending = if seed % 3 == 0 { Hangs } else { Refused };
        let mut simulation = Simulation::new(Mode::Polled(60_000), seed, ending, (OLD_PORT, gone, back));
        simulation.counts_from = 2;
        simulation.whole = whole;
        simulation.max_answer_ms = 500;
        simulation.run(gone);
        simulation.take_discovery_down(seed % 2 == 0);
        simulation.run(back + ms(30_000));
        let after = simulation.read_at.map_or(99_999, |at| (at - back).nanos() / 1_000_000);
        assert!((0..LIMIT_MS).contains(&after), "read after {after} ms, whole: {whole}, seed {seed}");
    }
}

/// All routers lose discovery at once: watches opened by the fleet in each 100 ms from then on, and per router and second.
fn fleet_watches(mode: Mode, ending: Ending) -> (Vec<usize>, f64) {
    const FLEET: u64 = 460;
    const OUTAGE: i64 = 30_000;
    let gone = SIMULATION_START + ms(5000);
    let mut bins = vec![0; (OUTAGE / 100) as usize];
    for seed in 1..=FLEET {
        let mut simulation = Simulation::new(mode, seed, ending, (OLD_PORT, gone, gone + ms(OUTAGE)));
        simulation.run(gone);
        simulation.take_discovery_down(false);
        simulation.run(gone + ms(OUTAGE - 1));
        for (at, _) in simulation.opened.iter().filter(|(at, _)| *at >= gone) {
            bins[((*at - gone).nanos() / 100_000_000) as usize] += 1;
        }
    }
    let a_second = bins.iter().sum::<usize>() as f64 / FLEET as f64 / (OUTAGE as f64 / 1000.0);
    (bins, a_second)
}

/// The fleet's watches stay spread out and few: in each 100 ms of an outage at most a fifth of the routers, or half where
/// a watch is due within part of 1 s; and per router and second at most the given rate.
#[test]
fn watches_of_a_fleet_stay_spread_out_and_rate_limited_during_an_outage() {
    for (mode, ending, most, most_a_second) in [
        (Mode::Polled(60_000), Refused, 92, 0.36),
        (Mode::Polled(60_000), Hangs, 92, 0.36),
        (Mode::Polled(10_000), Refused, 92, 0.42),
        (Mode::Pushed(60_000), Status, 92, 0.36),
        (Mode::Polled(1000), Refused, 230, 3.2),
        (Mode::Pushed(1000), Refused, 230, 3.2),
    ] {
        let (bins, a_second) = fleet_watches(mode, ending);
        let crowd = bins.iter().max().copied().unwrap_or(0);
        println!(
            "{mode:?} {ending:?}: at most {crowd} of 460 in 100 ms, {a_second:.3} calls a second by router"
        );
        assert!(crowd <= most, "{mode:?} {ending:?}: {crowd} routers call in one tenth of a second");
        assert!(a_second <= most_a_second, "{mode:?} {ending:?}: {a_second:.2} calls a second");
    }
}

/// How long after the return the change was read; None: not within 30 s.
fn notified_after(mode: Mode, before: Before, ending: Ending, seed: u64) -> Option<i64> {
    let mut random = WyRand::new_seed(seed.wrapping_mul(77));
    let calm = ms(3000 + random.generate_range(0..3000));
    // Long enough for each backoff to grow, or short.
    let outage = ms(if random.generate::<bool>() {
        random.generate_range(100..40_000)
    } else {
        random.generate_range(100..9000)
    });
    let goes = if before == Before::Start { SIMULATION_START } else { SIMULATION_START + calm };
    let port = if matches!(before, Before::HangUp | Before::HangUpInOutage) { NEW_PORT } else { OLD_PORT };
    let back = goes + outage;
    let mut simulation = Simulation::new(mode, seed, ending, (port, goes, back));
    simulation.run(goes);
    match before {
        Before::Start => {}
        Before::Watch => simulation.take_discovery_down(false),
        Before::SilentWatch => simulation.take_discovery_down(true),
        Before::HangUp => {
            simulation.reload_with_new_address(mode, seed);
            // The old address closes its watches after 1.5 s, as the platform says; or it serves on.
            if random.generate() {
                simulation.run((simulation.now + ms(1500)).min(back));
                simulation.close_watches(OLD_PORT);
            }
        }
        Before::HangUpInOutage => {
            simulation.away.0 = OLD_PORT;
            simulation.take_discovery_down(random.generate());
            let most = (outage.nanos() / 1_000_000).min(9000);
            let at = simulation.now + ms(random.generate_range(0..most as u64) as i64);
            simulation.run(at);
            simulation.away.0 = NEW_PORT;
            simulation.reload_with_new_address(mode, seed);
        }
    }
    simulation.run(back + ms(30_000));
    simulation.read_at.map(|at| {
        assert!(at >= back, "the change was there before the return");
        (at - back).nanos() / 1_000_000
    })
}
