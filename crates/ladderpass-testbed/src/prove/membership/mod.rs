//! Proof of the membership protocol. Routers detect each other's failures without long false alarms, take over the health
//! checks of dead routers, and each sends hardly more datagrams and bytes when there are more routers. Faulty builds must be
//! distinguished from the real one.

mod datagram_rules;
mod detection;
mod faulty_builds;
mod faulty_routers;
mod health_checks;
mod views;

use super::Table;
use super::checks::require_no_violations;
use super::parallel::join;
use super::traffic::{FLEET_SIZES, TrafficOfSize, measure_traffic, require_flat_traffic};
use crate::charts::{self, Line};
use crate::drill::Drill;
use crate::drill::play::{DrillRecord, Programs, play};
use detection::{detection_drill, require_detection};
use faulty_builds::{Beliefs, play_builds, require_faults_shown};
use faulty_routers::{FaultyRouterCase, FaultyRouterRecords, faulty_router_cases, require_violations_found};
use health_checks::{HealthCheckRecords, play_health_checks, require_health_checks};
use std::io;
use std::path::Path;

/// Routers of the traffic measurement have nothing in the operator's file but `peers`.
const NO_OPERATOR: &str = "";

/// The records of all drills.
struct Measurements {
    detection: DrillRecord,
    traffic: Vec<TrafficOfSize>,
    health_checks: HealthCheckRecords,
    builds: Vec<Beliefs>,
    faulty_routers: Vec<FaultyRouterRecords>,
}

/// Runs the proof, prints its table, and writes the drill's records and charts to `out`. Returns whether it passes.
///
/// # Errors
/// Returns an error if a drill can't be played, or a file can't be written.
pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("membership");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let drill = detection_drill();
    let measured = measure(&drill, programs, seed)?;
    require_start(&mut table, &measured.detection);
    require_detection(&mut table, &measured.detection);
    require_no_violations(&mut table, "kills, freeze, deafness, loss, split", &measured.detection);
    require_faults_shown(&mut table, &measured.builds);
    require_violations_found(&mut table, &measured.faulty_routers);
    require_health_checks(&mut table, &measured.health_checks, drill.scenario.member_count());
    require_flat_traffic(&mut table, &measured.traffic);
    measured.detection.write(&drill, out)?;
    write_traffic_chart(&measured.traffic, out)?;
    Ok(table.print())
}

/// Plays all drills. Drills that use little CPU are played in parallel, and those that need all cores one after the other.
fn measure(drill: &Drill, programs: Programs<'_>, seed: u64) -> io::Result<Measurements> {
    let (heavy, light): (Vec<_>, Vec<_>) =
        faulty_router_cases().into_iter().partition(FaultyRouterCase::needs_all_cores);
    let mut measured = std::thread::scope(|scope| {
        let detection = scope.spawn(|| play(drill, programs, seed));
        let health_checks = scope.spawn(|| play_health_checks(programs, seed));
        let builds = faulty_builds::BUILDS_BY_THREAD
            .map(|builds| scope.spawn(move || play_builds(builds, programs, seed)));
        let faulty_routers = scope.spawn(|| play_cases(light, programs, seed));
        let traffic = scope.spawn(|| {
            let measure = |routers| measure_traffic(programs, routers, NO_OPERATOR, seed);
            FLEET_SIZES.into_iter().map(measure).collect()
        });
        let builds = builds.into_iter().map(join).collect::<io::Result<Vec<_>>>()?;
        io::Result::Ok(Measurements {
            builds: builds.into_iter().flatten().collect(),
            detection: join(detection)?,
            traffic: join(traffic)?,
            health_checks: join(health_checks)?,
            faulty_routers: join(faulty_routers)?,
        })
    })?;
    measured.faulty_routers.extend(play_cases(heavy, programs, seed)?);
    Ok(measured)
}

fn play_cases(
    cases: Vec<FaultyRouterCase>,
    programs: Programs<'_>,
    seed: u64,
) -> io::Result<Vec<FaultyRouterRecords>> {
    cases.into_iter().map(|case| case.play(programs, seed)).collect()
}

/// Requires that routers that start at the same time find each other.
fn require_start(table: &mut Table, record: &DrillRecord) {
    let measured = record.settled.map_or("no".to_owned(), |span| format!("{:.2} s", span.secs()));
    table.require("ten started at once find each other", "within 6 s", measured, record.settled.is_some());
}

fn write_traffic_chart(sizes: &[TrafficOfSize], out: &Path) -> io::Result<()> {
    let points = sizes.iter().map(|size| (size.routers as f64, size.traffic.datagrams_per_second)).collect();
    let lines = [Line::new("datagrams", points)];
    charts::lines(&out.join("load.svg"), "Datagrams a router", ("routers", "a second"), &lines, false)
}
