//! Errors of the configuration that a router starts with. Each error names the variable or the file, the key and, where
//! there is one, the allowed range. An error prints as one line, unless it quotes text that has several lines.

use crate::faulty::FaultyError;
use ladderpass_config::operator::OperatorFileError;
use ladderpass_config::{ErrorList, JsonError, SettingsError};
use std::fmt::Display;
use std::io;
use std::path::PathBuf;

/// All errors that were found in the configuration.
pub type LaunchErrors = ErrorList<LaunchError>;

/// All errors that were found in the file that `RELAY_CONFIG` names.
pub(super) type ConfigFileErrors = ErrorList<ConfigFileError>;

/// An error of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A required environment variable is not set, or is empty.
    #[error("{variable}: not set; expected {expected}")]
    NotSet {
        /// The environment variable's name.
        variable: &'static str,
        /// A description of the value that the environment variable should have.
        expected: &'static str,
    },
    /// The value of an environment variable is not an address.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The file that `RELAY_CONFIG` names has an error.
    #[error("{}", prefix_lines(&format!("RELAY_CONFIG: {}: ", .path), .error))]
    ConfigFile {
        /// The path of the file that has the error or can't be read.
        path: String,
        /// The error that was found in the file.
        error: ConfigFileError,
    },
    /// The operator's file can't be read.
    #[error("{}: {source}", .path.display())]
    OperatorFileUnreadable {
        /// The path of the file that has the error or can't be read.
        path: PathBuf,
        /// The system's error when the file was read.
        source: io::Error,
    },
    /// The operator's file has an error.
    #[error("{}: {error}", .path.display())]
    OperatorFile {
        /// The path of the file that has the error or can't be read.
        path: PathBuf,
        /// The error that was found in the file.
        error: OperatorFileError,
    },
    /// The value of an environment variable of builds for fault injection is invalid. The error's text names the
    /// variable.
    #[error("{0}")]
    FaultInjection(#[from] FaultyError),
}

/// An error of the file that `RELAY_CONFIG` names.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file that `RELAY_CONFIG` names can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is not JSON, or a value is missing or has another type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The seed of the router's random number generators is invalid.
    #[error("seed: {0:?} is not a hexadecimal number of at most 64 bits")]
    Seed(String),
    /// The address of discovery is invalid.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The memory that the router may use, in MiB, is out of range.
    #[error("limits.memory_mb: must be above 0, and at most {max}")]
    Memory {
        /// The largest allowed value of `limits.memory_mb`.
        max: u64,
    },
    /// The number of descriptors that the router may open is too small.
    #[error("limits.sockets: {sockets}; must be at least {min}")]
    Sockets {
        /// The configured number of descriptors.
        sockets: usize,
        /// The smallest allowed number of descriptors.
        min: usize,
    },
    /// The number of cores that the router may use is out of range.
    #[error("limits.cores: {cores}; must be above 0, and at most {max}")]
    Cores {
        /// The configured number of cores.
        cores: f64,
        /// The largest allowed number of cores.
        max: f64,
    },
    /// The settings of the deployment have an error.
    #[error("settings.{0}")]
    Settings(#[from] SettingsError),
}

/// A text that is not an address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {text:?} is not an address with a port; allowed is address:port")]
pub struct AddressError {
    /// The name of the environment variable or key that has the text as its value.
    pub key: &'static str,
    /// The text that is not an address with a port.
    pub text: String,
}

/// Returns the text of an error with a prefix before each line. The text may have several lines, because JSON errors
/// quote the input.
fn prefix_lines(prefix: &str, error: &impl Display) -> String {
    error.to_string().lines().map(|line| format!("{prefix}{line}")).collect::<Vec<_>>().join("\n")
}
