//! Errors of subcommands.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Error of any part of the testbed, whose text is printed unchanged.
pub type BoxedError = Box<dyn Error + Send + Sync>;

/// Error of a subcommand. Its text is printed after the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file can't be read or written, or is not valid.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: BoxedError },
    /// Any other error of the testbed, as when a process, a load, a simulation or a proof fails to start or ends early.
    #[error("{0}")]
    Failed(BoxedError),
    #[error("--phases: invalid phase {0:?}; expected SECONDSxRATE, as in 5x2000")]
    Phase(String),
    #[error(
        "unknown proof {0:?}; expected overload, faults, membership, fleet-overload, fleet-budgets, fleet-ramp or capacity"
    )]
    UnknownProof(String),
    #[error("the proof falls short")]
    ProofFallsShort,
    /// The router process has ended. The value is its exit code, or `None` if a signal ended the process.
    #[error("the router ended with exit code {0:?}")]
    RouterEnded(Option<i32>),
    #[error("rules broken: {0}")]
    LoadViolations(String),
    #[error("the drill found {0} broken rules or failed routers")]
    DrillViolations(usize),
    #[error("no plan was played")]
    NoPlanPlayed,
    #[error("rules were broken")]
    PlanViolations,
}

impl CliError {
    /// Wraps an error of any part of the testbed.
    pub fn failed(error: impl Into<BoxedError>) -> CliError {
        CliError::Failed(error.into())
    }

    /// Wraps an error together with the path of the file that it concerns.
    pub fn file(path: &Path, error: impl Into<BoxedError>) -> CliError {
        CliError::File { path: path.to_owned(), source: error.into() }
    }
}
