//! Reads the log lines of routers: of this program, and of earlier ones that proofs are measured beside.

use serde_json::Value;

/// Is it the first line of a graceful shutdown?
pub fn is_shutdown_begun(line: &str) -> bool {
    line.contains("stopping clients=") || line.contains("stopping: ")
}

/// Does it say that the router's overload level has changed?
pub fn is_overload_level_change(line: &str) -> bool {
    line.contains("overload level changed") || line.contains("own load")
}

/// Is it a line of the router's counts, logged every ten seconds?
pub fn is_stats(line: &str) -> bool {
    line.contains(" stats accepted=")
}

/// The overload metrics of a line, if it has them.
pub fn metrics(line: &str) -> Option<Value> {
    let (_, json) = line.split_once("metrics {").or_else(|| line.split_once("figures {"))?;
    let end = json.find('}')?;
    serde_json::from_str(&format!("{{{}}}", &json[..end].replace('\\', ""))).ok()
}

/// A number that a line has as the field of this name.
pub fn number(line: &str, name: &str) -> Option<f64> {
    let (_, value) = line.split_once(&format!(" {name}="))?;
    value.split_whitespace().next()?.parse().ok()
}

/// The sum of the counts that a line has by outcome, as in `health_checks={Ok: 12, Rejected: 3}`.
pub fn sum_by_outcome(line: &str, name: &str) -> Option<f64> {
    let (_, counts) = line.split_once(&format!(" {name}={{"))?;
    let (counts, _) = counts.split_once('}')?;
    Some(counts.split(',').filter_map(|count| count.split_once(':')?.1.trim().parse::<f64>().ok()).sum())
}
