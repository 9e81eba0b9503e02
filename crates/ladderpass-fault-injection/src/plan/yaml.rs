//! Deserialization of YAML, with errors on one line.

use crate::errors::PlanError;
use serde::Deserialize;

fn one_line(text: String) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Deserializes YAML, where an empty text stands for an empty mapping. An error is one line, which begins with the key
/// if the YAML itself is well-formed.
pub fn parse_yaml<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, PlanError> {
    let syntax = |text: String| PlanError::Syntax(one_line(text));
    let value: serde_json::Value = serde_saphyr::from_str(text).map_err(|error| syntax(error.to_string()))?;
    let value = if value.is_null() { serde_json::json!({}) } else { value };
    serde_path_to_error::deserialize(value)
        .map_err(|error| syntax(format!("{}: {}", error.path(), error.inner())))
}
