//! The command line: one module defines what it accepts, and one module for each group of subcommands executes that group.
//!
//! | module | subcommands |
//! | --- | --- |
//! | `args` | all subcommands: options, defaults and help |
//! | `testbed` | `up`; also the emulator and the router of `up` and `load` |
//! | `load` | `load`, `cost` |
//! | `report` | `report` |
//! | `prove` | `prove`, `capacity` |
//! | `drill` | `drill` |
//! | `chaos` | `chaos` |
//! | `simulated_routers` | `hollow` |
//! | `error` | errors of all subcommands |

mod args;
mod chaos;
mod drill;
mod error;
mod load;
mod prove;
mod report;
mod simulated_routers;
mod testbed;

pub use args::Cli;

use args::Command;
use error::CliError;

/// Executes a subcommand.
///
/// # Errors
/// If the subcommand can't be executed, or if a check that it makes fails.
pub fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Up(args) => testbed::serve_until_interrupted(&args),
        Command::Load(args) => load::run_load(&args),
        Command::Report(args) => report::report_results(&args),
        Command::Prove(args) => prove::prove(&args),
        Command::Drill(args) => drill::run_drill(&args),
        Command::Chaos(args) => chaos::search_violations(&args),
        Command::Capacity(args) => prove::measure_capacity(&args),
        Command::SimulatedRouters(args) => simulated_routers::simulate(&args),
        Command::Cost(args) => load::measure_cost(&args),
    }
}
