//! Errors of the settings object, and of any JSON that is read with them. Each names the key and what is allowed.

use serde::{Deserialize, Deserializer};

/// JSON that does not have the expected shape.
#[derive(Debug, thiserror::Error)]
#[error("{}{source}", .key.as_ref().map_or(String::new(), |key| format!("{key}: ")))]
pub struct JsonError {
    /// Path of the value, such as `Services[0].Name`; none for the document itself.
    pub key: Option<String>,
    /// What is wrong with the value.
    pub source: serde_json::Error,
}

/// A settings object that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A value is missing or has another type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// No method is named.
    #[error("Services: must name at least one")]
    NoMethods,
    /// No attempt is allowed.
    #[error("Allowed.AttemptsCap: must be at least 1")]
    NoAttempts,
    /// A number is outside of its range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The setting.
        key: &'static str,
        /// The number that was read.
        value: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// A text is none of the values that are allowed.
    #[error("{key}: unknown value {value:?}")]
    UnknownValue {
        /// The setting.
        key: String,
        /// The text that was read.
        value: String,
    },
    /// A value that a method needs is missing.
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
    /// A duration is zero.
    #[error("{key}: must be above 0")]
    NotPositive {
        /// The setting.
        key: String,
    },
    /// The endpoint list is to be polled, and the interval is missing or zero.
    #[error("Contract.MustAskIn: must be above 0 where RegistryMode is subscribe")]
    NoPollInterval,
}

/// Reads a JSON value of any shape.
///
/// # Errors
/// If the JSON is malformed or has another shape; the error names the key.
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
