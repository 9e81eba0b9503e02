//! Tests of reports that are false, old, or from routers that are not alive.

use crate::simulation::{GROUP, LOW, STEP, Simulation, uneven_overload};
use ladderpass_admission::{AdmissionController, Faulty};

#[test]
fn a_router_that_reports_tenfold_load_is_limited_and_starves_nobody() {
    let faulty = |index| if index == 7 { Faulty::ReportsTenfold } else { Faulty::NotFaulty };
    let mut sim = Simulation::new(4, uneven_overload(8, 300.0), 300.0, faulty);
    sim.run(40);
    let served = sim.run_and_measure(20);
    let clamped: usize = sim.routers[0].metrics().map(|group| group.clamped_reports).sum();
    println!("model: false reports: high {:.3}, used {:.3}, clamped {clamped}", served.high, served.used);
    assert!(served.high > 0.97 && served.used > 0.9 && clamped > 0, "{served:?}, {clamped} reports clamped");
}

#[test]
fn reports_of_dead_routers_fade_and_those_of_strangers_are_dropped() {
    let mut sim = Simulation::new(5, uneven_overload(4, 300.0), 300.0, |_| Faulty::NotFaulty);
    sim.run(20);
    let reports = |sim: &Simulation| sim.routers[0].metrics().map(|group| group.reports).sum::<usize>();
    assert_eq!(reports(&sim), 3);
    sim.alive[3] = false;
    // The membership does not notify the routers of the death, and the reports still expire.
    sim.run(20);
    assert_eq!(reports(&sim), 2);
    let bytes = sim.routers[1].encode_reports(sim.now, 210);
    let mut stranger = AdmissionController::start(sim.now, 99, Faulty::NotFaulty);
    stranger.on_reports(sim.now, &bytes);
    assert_eq!(stranger.metrics().count(), 0);
    stranger.record_offered(GROUP, LOW);
    stranger.tick(sim.now + STEP * 2.0, &[]);
    assert_eq!(stranger.metrics().map(|group| group.reports).sum::<usize>(), 0);
}
