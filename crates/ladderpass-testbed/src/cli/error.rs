//! Why a subcommand fails.

use std::error::Error;
use std::path::{Path, PathBuf};

/// An error of any part of the testbed that is printed as it is.
pub type BoxedError = Box<dyn Error + Send + Sync>;

/// Why a subcommand fails. Its text is printed behind the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file can't be read or written, or is not valid.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: BoxedError },
    /// A process, a load, a simulation or a proof could not be started or ended early.
    #[error("{0}")]
    Failed(BoxedError),
    #[error("--phases: {0:?}; allowed is SECONDSxRATE, as in 5x2000")]
    Phase(String),
    #[error(
        "there is no proof {0:?}; there are overload, faults, membership, fleet-overload, fleet-budgets, fleet-ramp and capacity"
    )]
    UnknownProof(String),
    #[error("the proof falls short")]
    ProofFallsShort,
    /// With the exit code, unless a signal ended it.
    #[error("the router has ended with {0:?}")]
    RouterEnded(Option<i32>),
    #[error("rules broken: {0}")]
    LoadViolations(String),
    #[error("{0} rules broken or routers fallen")]
    DrillViolations(usize),
    #[error("no plan was played")]
    NoPlanPlayed,
    #[error("rules were broken")]
    PlanViolations,
}

impl CliError {
    /// Wraps an error of the testbed.
    pub fn failed(error: impl Into<BoxedError>) -> CliError {
        CliError::Failed(error.into())
    }

    /// Wraps an error with the file that it is about.
    pub fn file(path: &Path, error: impl Into<BoxedError>) -> CliError {
        CliError::File { path: path.to_owned(), source: error.into() }
    }
}
