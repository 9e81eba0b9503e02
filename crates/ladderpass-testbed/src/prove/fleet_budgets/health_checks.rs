//! The rate of health checks that a member gets from all routers together, which must not grow with the number of routers.

use crate::drill::Drill;
use crate::drill::play::{Programs, play};
use crate::load::Phase;
use crate::prove::Table;
use crate::prove::checks::{highest, is_flat, lowest};
use crate::prove::parallel::join;
use crate::prove::scenarios::SHARED_ADMISSION_AND_BUDGETS;
use crate::prove::traffic::FLEET_SIZES;
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use std::io;
use std::thread::scope;

const REPLICAS: u32 = 11;
const CLIENTS: usize = 40;
const IDLE_S: f64 = 2.0;
const LOAD_S: f64 = 5.0;
const RPCS_PER_SECOND: f64 = 100.0;
/// Health checks are counted from this time of the load on, because all routers check all members shortly before.
const SETTLE: Span = Span::from_millis(1000);
/// The fraction of reads in a load that has only writes. No replica answers an RPC of such a load, so that routers
/// learn of replicas only from health checks.
const NO_READS: f64 = 0.0;
/// The fraction of reads in a load in which routers learn of replicas from the replicas' answers to reads, besides health
/// checks.
const MOSTLY_READS: f64 = 0.8;

/// Rates of health checks of a member, per second. Each list has one rate for each number of routers in [`FLEET_SIZES`].
pub struct HealthCheckRates {
    without_reads: Vec<f64>,
    with_reads: Vec<f64>,
}

/// Measures all rates, with the drills of all loads and numbers of routers in parallel.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn measure_health_checks(programs: Programs<'_>, seed: u64) -> io::Result<HealthCheckRates> {
    scope(|scope| {
        let start = |reads: f64| {
            FLEET_SIZES.map(|routers| scope.spawn(move || health_check_rate(programs, routers, reads, seed)))
        };
        let (without_reads, with_reads) = (start(NO_READS), start(MOSTLY_READS));
        Ok(HealthCheckRates {
            without_reads: without_reads.into_iter().map(join).collect::<io::Result<_>>()?,
            with_reads: with_reads.into_iter().map(join).collect::<io::Result<_>>()?,
        })
    })
}

fn health_check_rate(programs: Programs<'_>, routers: usize, reads: f64, seed: u64) -> io::Result<f64> {
    let mut scenario = Scenario { replicas: REPLICAS, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip([reads, 1.0 - reads]) {
        method.share = share;
    }
    let drill = Drill {
        routers,
        connection_skew: 1.0,
        clients: CLIENTS,
        phases: vec![Phase { seconds: LOAD_S, rate_per_second: RPCS_PER_SECOND }],
        operator: SHARED_ADMISSION_AND_BUDGETS.into(),
        scenario,
        idle_s: IDLE_S,
        ..Drill::default()
    };
    let record = play(&drill, programs, seed)?;
    let from = record.outcome.began + SETTLE;
    let health_checks = record.execution_log.health_checks.iter().filter(|(at, _)| *at >= from).count();
    let members = drill.scenario.member_count() as f64;
    Ok(health_checks as f64 / members / (drill.secs() - SETTLE.secs()))
}

impl HealthCheckRates {
    /// Requires that the rate of health checks does not grow with the number of routers, and that the rate is not higher in the
    /// load with reads, whose answers inform routers besides health checks, than in the load with only writes.
    pub fn require_flat(&self, table: &mut Table) {
        let (without_reads, with_reads) = (&self.without_reads, &self.with_reads);
        table.require(
            "probes a member a second, 4, 8, 16, 32",
            "flat within a fifth",
            rates_text(without_reads),
            is_flat(without_reads),
        );
        table.require(
            "  where answers tell too",
            "never more",
            rates_text(with_reads),
            highest(with_reads) <= lowest(without_reads),
        );
    }
}

fn rates_text(rates: &[f64]) -> String {
    rates.iter().map(|rate| format!("{rate:.2}")).collect::<Vec<_>>().join(", ")
}
