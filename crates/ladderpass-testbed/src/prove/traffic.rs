//! Traffic among routers in datagrams and bytes a second, by the number of routers.

use super::Table;
use super::checks::is_flat;
use crate::capacity::traffic::Traffic;
use crate::drill::Drill;
use crate::drill::play::{DrillRecord, Programs, play};
use crate::load::Phase;
use ladderpass_fault_injection::TrafficCounts;
use std::io;

/// The numbers of routers for which traffic is measured.
pub const FLEET_SIZES: [usize; 4] = [4, 8, 16, 32];

/// The idle time and the load of the traffic measurements, which are the same for all numbers of routers.
const IDLE_S: f64 = 2.0;
const LOAD_S: f64 = 3.0;
const LOAD_RPCS_PER_SECOND: f64 = 100.0;
const CLIENTS: usize = 40;

/// Returns the mean traffic that a router of a drill sends during the load.
pub fn traffic_of_drill(drill: &Drill, record: &DrillRecord) -> Traffic {
    let per_second = |of: fn(&TrafficCounts) -> u64| {
        let sum: u64 = record.sent.iter().map(|sent| of(&sent.after) - of(&sent.before)).sum();
        sum as f64 / drill.routers as f64 / drill.secs()
    };
    Traffic {
        datagrams_per_second: per_second(|sent| sent.datagrams),
        bytes_per_second: per_second(|sent| sent.bytes),
    }
}

/// The traffic of a router that runs among a number of routers.
#[derive(Clone, Copy, Debug)]
pub struct TrafficOfSize {
    /// The number of routers, including the measured one.
    pub routers: usize,
    /// The mean traffic that one router sends.
    pub traffic: Traffic,
}

/// Measures the traffic among routers that run with an operator's file.
///
/// # Errors
/// Returns an error if the drill can't be played.
pub fn measure_traffic(
    programs: Programs<'_>,
    routers: usize,
    operator: &str,
    seed: u64,
) -> io::Result<TrafficOfSize> {
    let drill = Drill {
        routers,
        idle_s: IDLE_S,
        phases: vec![Phase { seconds: LOAD_S, rate_per_second: LOAD_RPCS_PER_SECOND }],
        clients: CLIENTS,
        operator: operator.into(),
        ..Drill::default()
    };
    let record = play(&drill, programs, seed)?;
    Ok(TrafficOfSize { routers, traffic: traffic_of_drill(&drill, &record) })
}

/// Requires that a router's traffic does not grow with the number of routers.
pub fn require_flat_traffic(table: &mut Table, sizes: &[TrafficOfSize]) {
    let datagrams: Vec<f64> = sizes.iter().map(|size| size.traffic.datagrams_per_second).collect();
    let bytes: Vec<f64> = sizes.iter().map(|size| size.traffic.bytes_per_second).collect();
    for (unit, rates) in [("datagrams", datagrams), ("bytes", bytes)] {
        let measured = rates.iter().map(|rate| format!("{rate:.0}")).collect::<Vec<_>>().join(", ");
        let label = format!("{unit} a router a second, 4, 8, 16, 32");
        table.require(label, "flat within a fifth", measured, is_flat(&rates));
    }
}
