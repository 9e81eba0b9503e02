//! Parses log lines of routers, both of the current version and of earlier versions that proofs compare it with.

use serde_json::Value;

/// Returns whether a line is the first one of a graceful shutdown.
pub fn is_shutdown_begun(line: &str) -> bool {
    line.contains("stopping clients=") || line.contains("stopping: ")
}

/// Returns whether a line reports a change of the router's overload level.
pub fn is_overload_level_change(line: &str) -> bool {
    line.contains("overload level changed") || line.contains("own load")
}

/// Returns whether a line has the router's counts, which it logs every ten seconds.
pub fn is_stats(line: &str) -> bool {
    line.contains(" stats accepted=")
}

/// Returns the overload metrics that a line reports, or `None` if the line reports none.
pub fn metrics(line: &str) -> Option<Value> {
    let (_, json) = line.split_once("metrics {").or_else(|| line.split_once("figures {"))?;
    let end = json.find('}')?;
    serde_json::from_str(&format!("{{{}}}", &json[..end].replace('\\', ""))).ok()
}

/// Returns the number in the field `name` of a line, as in `cpu_used=0.5`, or `None` if the line has no such field.
pub fn number(line: &str, name: &str) -> Option<f64> {
    let (_, value) = line.split_once(&format!(" {name}="))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Returns the sum of the counts by outcome in the field `name` of a line, as in `health_checks={Ok: 12, Rejected: 3}`.
pub fn sum_by_outcome(line: &str, name: &str) -> Option<f64> {
    let (_, counts) = line.split_once(&format!(" {name}={{"))?;
    let (counts, _) = counts.split_once('}')?;
    Some(counts.split(',').filter_map(|count| count.split_once(':')?.1.trim().parse::<f64>().ok()).sum())
}
