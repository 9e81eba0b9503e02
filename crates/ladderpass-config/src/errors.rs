//! Errors of the settings object, and of other JSON texts. Each error names the key and what is wrong with the value of
//! the key.

use serde::{Deserialize, Deserializer};

/// JSON that does not have the expected shape.
#[derive(Debug, thiserror::Error)]
#[error("{}{source}", .key.as_ref().map_or(String::new(), |key| format!("{key}: ")))]
pub struct JsonError {
    /// The path of the value, such as `Services[0].Name`, or `None` for the document itself.
    pub key: Option<String>,
    /// What is wrong with the JSON value.
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
    /// The maximum number of attempts for one RPC is zero.
    #[error("Allowed.AttemptsCap: must be at least 1")]
    NoAttempts,
    /// The number in a setting is outside its allowed range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The key of the setting with this error.
        key: &'static str,
        /// The number that the setting has.
        value: f64,
        /// The smallest allowed value of the setting.
        min: f64,
        /// The largest allowed value of the setting.
        max: f64,
    },
    /// The text in a setting is none of its allowed values.
    #[error("{key}: unknown value {value:?}")]
    UnknownValue {
        /// The key of the setting with this error.
        key: String,
        /// The text that the setting has.
        value: String,
    },
    /// A setting that a method requires is missing.
    #[error("{key} is missing")]
    Missing {
        /// The key of the setting with this error.
        key: String,
    },
    /// The duration in a setting is below zero.
    #[error("{key}: {nanos} is negative")]
    NegativeDuration {
        /// The key of the setting with this error.
        key: String,
        /// The duration that the setting has, in nanoseconds.
        nanos: i64,
    },
    /// The number in a setting is below zero.
    #[error("{key}: must not be negative")]
    Negative {
        /// The key of the setting with this error.
        key: String,
    },
    /// The duration in a setting is zero, but must be positive.
    #[error("{key}: must be above 0")]
    NotPositive {
        /// The key of the setting with this error.
        key: String,
    },
    /// The endpoint list must be polled, but the setting of the poll interval is missing or zero.
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
