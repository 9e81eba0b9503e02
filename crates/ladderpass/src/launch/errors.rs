//! Errors of the configuration that a router starts with. Each prints as one line with the variable or the file, the key
//! and what is allowed.

use crate::faulty::FaultyError;
use ladderpass_config::operator::OperatorFileError;
use ladderpass_config::{ErrorList, JsonError, SettingsError};
use std::fmt::Display;
use std::io;
use std::path::PathBuf;

/// Everything that is wrong with the configuration.
pub type LaunchErrors = ErrorList<LaunchError>;

/// Everything that is wrong with the file that `RELAY_CONFIG` names.
pub(super) type ConfigFileErrors = ErrorList<ConfigFileError>;

/// One thing that is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A variable that is needed is not set, or is empty.
    #[error("{variable}: not set; needed is {needed}")]
    NotSet {
        /// The variable's name.
        variable: &'static str,
        /// What it should hold.
        needed: &'static str,
    },
    /// A variable holds no address.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The file that `RELAY_CONFIG` names.
    #[error("{}", prefix_lines(&format!("RELAY_CONFIG: {}: ", .path), .error))]
    ConfigFile {
        /// The file's path.
        path: String,
        /// What is wrong with it.
        error: ConfigFileError,
    },
    /// The operator's file can't be read.
    #[error("{}: {source}", .path.display())]
    OperatorFileUnreadable {
        /// The file's path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The operator's file holds something that is not allowed.
    #[error("{}: {error}", .path.display())]
    OperatorFile {
        /// The file's path.
        path: PathBuf,
        /// What is wrong with it.
        error: OperatorFileError,
    },
    /// A variable of builds for fault injection, with its name.
    #[error("{0}")]
    FaultInjection(#[from] FaultyError),
}

/// One thing that is wrong with the file that `RELAY_CONFIG` names.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is not JSON, or a value is missing or has another type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The seed of the random numbers.
    #[error("seed: {0:?} is not a number in hex of at most 64 bits")]
    Seed(String),
    /// The address of discovery.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The memory that the router may use, in MiB.
    #[error("limits.memory_mb: must be above 0, and at most {max}")]
    Memory {
        /// The most that is allowed.
        max: u64,
    },
    /// The descriptors that the router may open.
    #[error("limits.sockets: {sockets} is less than the {min} needed")]
    Sockets {
        /// The number that was read.
        sockets: usize,
        /// The least that is allowed.
        min: usize,
    },
    /// The cores that the router may use.
    #[error("limits.cores: {cores} is not above 0 and up to {max}")]
    Cores {
        /// The number that was read.
        cores: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// The settings of the deployment.
    #[error("settings.{0}")]
    Settings(#[from] SettingsError),
}

/// A text that is not an address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {text:?} is no address and port; allowed is address:port")]
pub struct AddressError {
    /// The variable or key.
    pub key: &'static str,
    /// The text that was read.
    pub text: String,
}

/// The text of an error with a prefix before each line: JSON errors quote what was read, which may have several.
fn prefix_lines(prefix: &str, error: &impl Display) -> String {
    error.to_string().lines().map(|line| format!("{prefix}{line}")).collect::<Vec<_>>().join("\n")
}
