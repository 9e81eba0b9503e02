//! The CPU time that shared admission control adds to an RPC under a calm load.

use crate::drill::Drill;
use crate::drill::play::{Programs, play};
use crate::load::Phase;
use crate::prove::Table;
use crate::prove::parallel::join;
use crate::prove::scenarios::{SEPARATE_ADMISSION, SHARED_ADMISSION};
use std::io;

const ROUTERS: usize = 2;
const CLIENTS: usize = 100;
const LOAD_S: f64 = 2.0;
const RPCS_PER_SECOND: f64 = 2000.0;
const COMPARISONS: u64 = 4;
const MAX_COST_RATIO: f64 = 1.05;

/// The CPU time of all routers per RPC, in microseconds, with shared and with separate admission control. Both are measured
/// at the same time, so that other load on the machine affects both.
struct ComparedCost {
    shared_us: f64,
    separate_us: f64,
}

impl ComparedCost {
    fn ratio(&self) -> f64 {
        self.shared_us / self.separate_us
    }
}

/// Requires that shared admission control adds little to the CPU time of an RPC.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn require_low_cost(table: &mut Table, programs: Programs<'_>, seed: u64) -> io::Result<()> {
    let compare = |index| compare_cost(programs, seed + index);
    let costs = (0..COMPARISONS).map(compare).collect::<io::Result<Vec<_>>>()?;
    let mut ratios: Vec<f64> = costs.iter().map(ComparedCost::ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let median = (ratios[1] + ratios[2]) / 2.0;
    let least_shared = costs.iter().map(|cost| cost.shared_us).fold(f64::MAX, f64::min);
    let least_separate = costs.iter().map(|cost| cost.separate_us).fold(f64::MAX, f64::min);
    table.require(
        "CPU an RPC, of the program with it off",
        "at most 1.05",
        format!("{median:.3}, the middle of four pairs; {least_shared:.1} us for {least_separate:.1} us"),
        median <= MAX_COST_RATIO,
    );
    Ok(())
}

fn compare_cost(programs: Programs<'_>, seed: u64) -> io::Result<ComparedCost> {
    std::thread::scope(|scope| {
        let shared = scope.spawn(|| cpu_us_per_rpc(programs, SHARED_ADMISSION, seed));
        let separate = scope.spawn(|| cpu_us_per_rpc(programs, SEPARATE_ADMISSION, seed));
        Ok(ComparedCost { shared_us: join(shared)?, separate_us: join(separate)? })
    })
}

fn cpu_us_per_rpc(programs: Programs<'_>, operator: &str, seed: u64) -> io::Result<f64> {
    let drill = Drill {
        routers: ROUTERS,
        connection_skew: 1.0,
        clients: CLIENTS,
        phases: vec![Phase { seconds: LOAD_S, rate_per_second: RPCS_PER_SECOND }],
        operator: operator.into(),
        ..Drill::default()
    };
    let record = play(&drill, programs, seed)?;
    Ok(record.cpu_seconds.iter().sum::<f64>() * 1e6 / record.outcome.total().due.max(1) as f64)
}
