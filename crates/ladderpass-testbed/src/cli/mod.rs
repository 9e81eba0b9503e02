//! The command line: what it accepts, and one module for each group of subcommands that carries them out.
//!
//! | module | subcommands |
//! | --- | --- |
//! | `args` | all: options, defaults and help |
//! | `testbed` | `up`, and the emulator and router of `up` and `load` |
//! | `load` | `load`, `cost` |
//! | `report` | `report` |
//! | `prove` | `prove`, `capacity` |
//! | `drill` | `drill` |
//! | `chaos` | `chaos` |
//! | `simulated_routers` | `hollow` |
//! | `error` | why a subcommand fails |

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

/// Carries out a subcommand.
///
/// # Errors
/// If it can't be carried out, or what it checks does not hold.
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
