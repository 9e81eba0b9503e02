//! Slopes of a router's data path: idle clients, statements, connections to members, and ticks of its event loop.
//!
//! Counts and the CPU time of ticks come from the router's own code in simulated time (`simulation`). Memory and the CPU
//! time of a statement come from a real router process (`process`). `figures` computes the figures at the reference size
//! from the slopes.

mod figures;
pub mod process;
mod process_slopes;
mod reducer_slopes;
mod reference_size;
pub mod simulation;
mod size;
mod statement;
mod tables;

pub use figures::figures;
pub use process_slopes::Settings;
pub use reducer_slopes::{health_check_tick_cpu_us, idle_tick_cpu_us, reducer_slopes, steady_counts};
pub use reference_size::{CLIENTS, GROUPS, MEMBERS, ROUTERS, STATEMENTS};
pub use size::size;
pub use tables::tables;

use super::slope::Slope;
use process_slopes::{idle_client_slopes, member_slopes, statement_slopes};

/// Measures all slopes. Slopes that can't be measured are left out, and the reason is printed to standard error.
pub fn measure(seed: u64, settings: &Settings) -> Vec<Slope> {
    let mut slopes = reducer_slopes(seed, settings.long).unwrap_or_else(|error| {
        eprintln!("data path: slopes of the simulation are left out: {error}");
        Vec::new()
    });
    for measure_slopes in [idle_client_slopes, statement_slopes, member_slopes] {
        match measure_slopes(seed, settings) {
            Ok(measured) => slopes.extend(measured),
            Err(error) => eprintln!("data path: slopes of a router process are left out: {error}"),
        }
    }
    slopes
}
