//! Tests of reports that are false, old, or from routers that are not alive.

use crate::simulation::{GROUP, LOW, STEP, Simulation, uneven_overload};
use ladderpass_admission::{AdmissionController, Faulty};

#[test]
fn reports_of_tenfold_load_are_clamped_and_high_priority_rpcs_are_served() {
    let faulty = |index| if index == 7 { Faulty::ReportsTenfold } else { Faulty::NotFaulty };
    let mut sim = Simulation::new(4, uneven_overload(8, 300.0), 300.0, faulty);
    sim.run(40);
    let served = sim.run_and_measure(20);
    let clamped: usize = sim.routers[0].metrics().map(|group| group.clamped_reports).sum();
    println!(
        "model: false reports: high {:.3}, utilisation {:.3}, clamped {clamped}",
        served.high, served.utilisation
    );
    assert!(
        served.high > 0.97 && served.utilisation > 0.9 && clamped > 0,
        "{served:?}, {clamped} reports clamped"
    );
}

#[test]
fn reports_of_dead_routers_expire_and_reports_of_unknown_routers_are_dropped() {
    let mut sim = Simulation::new(5, uneven_overload(4, 300.0), 300.0, |_| Faulty::NotFaulty);
    sim.run(20);
    let reports = |sim: &Simulation| sim.routers[0].metrics().map(|group| group.reports).sum::<usize>();
    assert_eq!(reports(&sim), 3);
    sim.alive[3] = false;
    // The other routers are not notified that router 3 died. Its reports expire all the same.
    sim.run(20);
    assert_eq!(reports(&sim), 2);
    let bytes = sim.routers[1].encode_reports(sim.now, 210);
    let mut newcomer = AdmissionController::start(sim.now, 99, Faulty::NotFaulty);
    newcomer.on_reports(sim.now, &bytes);
    assert_eq!(newcomer.metrics().count(), 0);
    newcomer.record_offered(GROUP, LOW);
    newcomer.tick(sim.now + STEP * 2.0, &[]);
    assert_eq!(newcomer.metrics().map(|group| group.reports).sum::<usize>(), 0);
}
