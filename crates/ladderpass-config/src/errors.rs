//! Errors of the settings object, and of other JSON. Each error names the key and what is wrong with its value.

use serde::{Deserialize, Deserializer};

/// JSON that does not have the expected shape.
#[derive(Debug, thiserror::Error)]
#[error("{}{source}", .key.as_ref().map_or(String::new(), |key| format!("{key}: ")))]
pub struct JsonError {
    /// The path of the value, such as `Services[0].Name`, or `None` for the document itself.
    pub key: Option<String>,
    /// What is wrong with the value.
    pub source: serde_json::Error,
}

/// A settings object that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A value is missing or has a wrong type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The settings name no method.
    #[error("Services: must name at least one")]
    NoMethods,
    /// The maximum number of attempts is zero.
    #[error("Allowed.AttemptsCap: must be at least 1")]
    NoAttempts,
    /// A number is outside its range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The setting.
        key: &'static str,
        /// The number that was read.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A text is none of the allowed values.
    #[error("{key}: unknown value {value:?}")]
    UnknownValue {
        /// The setting.
        key: String,
        /// The text that was read.
        value: String,
    },
    /// A value that a method requires is missing.
    #[error("{key} is missing")]
    Missing {
        /// The setting.
        key: String,
    },
    /// A duration is below zero.
    #[error("{key}: {nanos} is negative")]
    NegativeDuration {
        /// The setting.
        key: String,
        /// The duration that was read, in nanoseconds.
        nanos: i64,
    },
    /// A number is below zero.
    #[error("{key}: must not be negative")]
    Negative {
        /// The setting.
        key: String,
    },
    /// A duration that must be positive is zero.
    #[error("{key}: must be above 0")]
    NotPositive {
        /// The setting.
        key: String,
    },
    /// The endpoint list must be polled, but the interval is missing or zero.
    #[error("Contract.MustAskIn: must be above 0 where RegistryMode is subscribe")]
    NoPollInterval,
}

/// Reads a value from JSON.
///
/// # Errors
/// Returns an error that names the key if the JSON is malformed or does not have the shape of `T`.
pub fn parse<'de, T, D>(from: D) -> Result<T, JsonError>
where
    T: Deserialize<'de>,
    D: Deserializer<'de, Error = serde_json::Error>,
{
    serde_path_to_error::deserialize(from).map_err(|error| {
        let path = error.path().to_string();
        JsonError { key: Some(path).filter(|path| path != "."), source: error.into_inner() }
    })
}
